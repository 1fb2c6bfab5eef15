//! The acceptor: what this disk promised and holds.

use std::net::Ipv4Addr;

use crate::replica::{Replica, STEP};
use crate::types::{Ballot, Digest, Held, Message, Tag};

/// Promises kept; the lowest versions' are forgotten first, and those refused from then on.
const PROMISES: usize = 256;

impl Replica {
    /// The round by which this ballot is superseded for the version, if it is.
    pub(crate) fn superseded(&self, version: u64, ballot: Ballot) -> Option<u64> {
        let held = self
            .held
            .as_ref()
            .filter(|held| held.tag.version == version)
            .map(|held| held.tag.ballot);
        let bar = self.promises.get(&version).copied().max(held);
        if bar.is_some_and(|bar| ballot < bar) {
            return bar.map(|bar| bar.round);
        }
        let forgotten = version <= self.forgotten && bar.is_none();
        (ballot.round < self.floor || forgotten).then_some(self.floor)
    }

    pub(crate) fn promise(&mut self, version: u64, ballot: Ballot) {
        self.round = self.round.max(ballot.round);
        self.promises.insert(version, ballot);
        while self.promises.len() > PROMISES {
            if let Some((version, _)) = self.promises.pop_first() {
                self.forgotten = self.forgotten.max(version);
            }
        }
        if ballot.round >= self.ceiling {
            self.ceiling = ((ballot.round >> STEP) + 1).saturating_mul(1 << STEP);
            self.head_dirty = true;
        }
    }

    /// Whether a proposal comes too late here; if so, its proposer is told what stands above it.
    pub(crate) fn nacks(
        &mut self,
        from: Ipv4Addr,
        epoch: u64,
        version: u64,
        ballot: Ballot,
    ) -> bool {
        let above = Some(self.held_version()).filter(|&held| held > version);
        let superseded = self.superseded(version, ballot);
        if above.is_none() && superseded.is_none() {
            return false;
        }
        let round = superseded.unwrap_or(0);
        let refusal = Message::Nack {
            epoch,
            version,
            ballot,
            round,
            above,
        };
        self.send(from, refusal);
        true
    }

    pub(crate) fn on_prepare(&mut self, from: Ipv4Addr, epoch: u64, version: u64, ballot: Ballot) {
        if !self.votes_in(from, epoch) {
            return;
        }
        if self.nacks(from, epoch, version, ballot) {
            return;
        }
        self.promise(version, ballot);
        let held = self
            .held
            .as_ref()
            .map(|held| held.tag)
            .filter(|tag| tag.version == version);
        let message = Message::Promise {
            epoch,
            disk: self.disk,
            version,
            ballot,
            held,
        };
        if ballot.round < self.ceiling_durable {
            self.send(from, message);
        } else {
            self.send_durable(from, message);
        }
    }

    pub(crate) fn on_accept(&mut self, from: Ipv4Addr, epoch: u64, held: Held) {
        if held.tag.digest == Digest::of(&held.body) {
            self.accept_here(from, epoch, held);
        }
    }

    /// Holds a body that fits its digest, and says so once it is on disk.
    pub(crate) fn accept_here(&mut self, from: Ipv4Addr, epoch: u64, held: Held) {
        if !self.votes_in(from, epoch) {
            return;
        }
        let Tag {
            version, ballot, ..
        } = held.tag;
        if self.nacks(from, epoch, version, ballot) {
            return;
        }
        self.promise(version, ballot);
        if self.held.as_ref().is_none_or(|old| old.tag != held.tag) {
            self.hold(held);
        }
        self.send_durable(
            from,
            Message::Accepted {
                epoch,
                disk: self.disk,
                version,
                ballot,
            },
        );
    }

    /// Takes this in as the newest held, unless a newer is.
    pub(crate) fn hold(&mut self, held: Held) {
        let old = self
            .held
            .as_ref()
            .map(|old| (old.tag.version, old.tag.ballot));
        if old.is_none_or(|old| old < (held.tag.version, held.tag.ballot)) {
            let version = held.tag.version;
            self.promises.retain(|&promised, _| promised >= version);
            self.held = Some(held);
            self.held_dirty = true;
        }
    }
}
