//! What a majority holds, as it becomes known here, and its body.

use std::net::Ipv4Addr;

use bytes::Bytes;

use crate::repair::same;
use crate::replica::Replica;
use crate::types::{Action, Digest, Held, Millis, Tag};

impl Replica {
    pub(crate) fn body_of(&self, tag: Tag) -> Option<Bytes> {
        let held = self
            .held
            .iter()
            .chain(&self.force)
            .find(|held| same(held.tag, tag))
            .map(|held| held.body.clone());
        let lent = || self.lent_body(tag);
        let proposal = || {
            self.proposals
                .get(&tag.version)
                .filter(|proposal| proposal.digest == tag.digest)?
                .body
                .clone()
        };
        held.or_else(lent).or_else(proposal)
    }

    pub(crate) fn on_body(&mut self, from: Ipv4Addr, held: Held, committed: bool) {
        if held.tag.digest == Digest::of(&held.body) {
            self.body_came(from, held, committed);
        }
    }

    /// A body that fits its digest: what is known to be in force, or what a proposal waits for.
    pub(crate) fn take_body(&mut self, from: Ipv4Addr, held: Held, committed: bool) {
        let Held { tag, body } = held;
        if committed || self.known.is_some_and(|known| same(known, tag)) {
            return self.learn(tag, Some(body), from);
        }
        if let Some(proposal) = self.proposals.get_mut(&tag.version)
            && proposal.lacks(tag)
        {
            proposal.body = Some(body);
            self.store(tag.version);
        }
    }

    /// A majority holds this version.
    pub(crate) fn learn(&mut self, tag: Tag, body: Option<Bytes>, from: Ipv4Addr) {
        let news = self.known.is_none_or(|known| known.version < tag.version);
        if news {
            self.known = Some(tag);
        }
        self.note_decided(tag);
        if tag.version > self.force_version()
            && let Some(body) = body.or_else(|| self.body_of(tag))
        {
            self.proposals
                .retain(|&version, it| version != tag.version || it.overtaken);
            self.pull.take_if(|pull| pull.tag.version <= tag.version);
            let held = Held {
                tag,
                body: body.clone(),
            };
            self.force = Some(held.clone());
            self.head_dirty = true;
            self.hold(held);
            self.ledger.join(tag, self.rules.numbers);
            self.ledger.decide(tag);
            self.out.push(Action::InForce {
                version: tag.version,
                body,
            });
            self.known_by = self.known_by.map(|(by, _)| (by, 0));
        }
        self.fetch_known(news, from);
        if news {
            self.ledger.decide(tag);
            self.overtake(tag.version);
        }
    }

    /// Asks for the newest body known to be in force, if it is not here: at once, and again after a while.
    fn fetch_known(&mut self, news: bool, from: Ipv4Addr) {
        let force = self.force_version();
        let Some(known) = self
            .known
            .filter(|known| known.version > force && from != self.me)
        else {
            return;
        };
        if self.is_busy() {
            if news {
                self.fetch(known, from);
            }
        } else if !self.fetches() {
            self.known_by = Some((from, self.now));
            self.fetch(known, from);
        }
    }

    /// Whether somebody was asked lately for the newest body known to be in force.
    pub(crate) fn fetches(&self) -> bool {
        let lately = |(_, at): (Ipv4Addr, Millis)| self.now < at + self.rules.retry;
        let lacks = self
            .known
            .is_some_and(|known| known.version > self.force_version());
        lacks && self.known_by.is_some_and(lately)
    }
}
