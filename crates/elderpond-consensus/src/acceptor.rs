//! The acceptor: what this disk promised and holds.

use std::net::Ipv4Addr;

use crate::ballots::STEP;
use crate::numbers::Ledger;
use crate::replica::Replica;
use crate::types::{Ballot, Digest, Held, Message, Mutant, Tag};

impl Replica {
    /// The round by which this ballot is superseded for the version, if it is.
    pub(crate) fn superseded(&self, version: u64, ballot: Ballot) -> Option<u64> {
        let promised = self.promises.get(&version).copied();
        let (below, forgotten) = self.forgotten;
        let forgotten = Some(forgotten).filter(|_| promised.is_none() && version <= below);
        let accepted = self.ledger.tag(version).map(|tag| tag.ballot);
        let bar = promised.max(forgotten).max(accepted);
        if bar.is_some_and(|bar| ballot < bar) {
            return bar.map(|bar| bar.round);
        }
        (ballot.round < self.floor).then_some(self.floor)
    }

    pub(crate) fn promise(&mut self, version: u64, ballot: Ballot) {
        self.round = self.round.max(ballot.round);
        self.promises.insert(version, ballot);
        while self.promises.len() > self.rules.numbers.max(1) {
            if let Some((version, ballot)) = self.promises.pop_first() {
                let (below, highest) = self.forgotten;
                self.forgotten = (below.max(version), highest.max(ballot));
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
        self.refuses(from, epoch, version, ballot, above)
    }

    /// Whether a promise or acceptance is refused: for what stands above it, for its ballot, or, without a
    /// word, as what its number was given is forgotten here.
    pub(crate) fn refuses(
        &mut self,
        from: Ipv4Addr,
        epoch: u64,
        version: u64,
        ballot: Ballot,
        above: Option<u64>,
    ) -> bool {
        // What stands above ends the ballot, whatever its round.
        let superseded = match above {
            Some(_) => Some(0),
            None => self.superseded(version, ballot),
        };
        let Some(round) = superseded else {
            return self.forgot(version);
        };
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
        let promise = self.promise_to(epoch, version, ballot);
        if ballot.round < self.ceiling_durable {
            self.send(from, promise);
        } else {
            self.send_durable(from, promise);
        }
    }

    pub(crate) fn promise_to(&mut self, epoch: u64, version: u64, ballot: Ballot) -> Message {
        self.promise(version, ballot);
        Message::Promise {
            epoch,
            disk: self.disk,
            version,
            ballot,
            held: self.ledger.tag(version),
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
        self.accepted_by(from, epoch, version, ballot);
    }

    /// Says that this is accepted, once it is on disk.
    pub(crate) fn accepted_by(&mut self, to: Ipv4Addr, epoch: u64, version: u64, ballot: Ballot) {
        self.send_durable(
            to,
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
            if self.rules.mutant == Some(Mutant::OvertakenForgotten) {
                self.ledger = Ledger::fresh();
            }
            self.ledger.join(held.tag, self.rules.numbers);
            self.held = Some(held);
            self.held_dirty = true;
        }
    }
}
