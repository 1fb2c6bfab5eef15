//! What a majority holds, as it becomes known here, and its body.

use std::net::Ipv4Addr;

use bytes::Bytes;

use crate::repair::same;
use crate::replica::Replica;
use crate::types::{Action, Digest, Held, Tag};

impl Replica {
    pub(crate) fn body_of(&self, tag: Tag) -> Option<Bytes> {
        let held = self
            .held
            .iter()
            .chain(&self.force)
            .find(|held| same(held.tag, tag))
            .map(|held| held.body.clone());
        let proposal = || {
            self.proposals
                .get(&tag.version)
                .filter(|proposal| proposal.digest == tag.digest)?
                .body
                .clone()
        };
        held.or_else(proposal)
    }

    pub(crate) fn on_fetch(&mut self, from: Ipv4Addr, tag: Tag) {
        // A newer one in force serves as well.
        let force = self
            .force
            .as_ref()
            .filter(|held| held.tag.version >= tag.version)
            .cloned();
        let (held, committed) = match (force, self.body_of(tag)) {
            (Some(held), _) => (held, true),
            (None, Some(body)) => (Held { tag, body }, false),
            (None, None) => return,
        };
        let answer = self.first_piece(held, committed);
        self.send(from, answer);
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
            self.known_by = None;
            self.pull.take_if(|pull| pull.tag.version < tag.version);
        }
        if tag.version > self.force_version() {
            if let Some(body) = body.or_else(|| self.body_of(tag)) {
                self.proposals
                    .retain(|&version, it| version != tag.version || it.overtaken);
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
            } else if self.known_by.is_none() && from != self.me {
                self.known_by = Some((from, self.now));
                self.fetch(tag, from);
            }
        }
        if news {
            self.ledger.decide(tag);
            self.overtake(tag.version);
        }
    }
}
