//! Reads: the newest version that a majority of disks tells of.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use crate::replica::{Replica, epoch_of};
use crate::types::{Action, Millis, Refusal, Tag};

/// A look for the newest version.
#[derive(Clone, Hash)]
pub(crate) struct ReadQuorum {
    pub(crate) id: u64,
    pub(crate) ticket: Option<u64>,
    pub(crate) until: Millis,
    pub(crate) next: Millis,
    /// Who answered, and what is on its disk of what it holds.
    pub(crate) answers: BTreeMap<Ipv4Addr, Option<Tag>>,
    pub(crate) held: Option<(Tag, Ipv4Addr)>,
    pub(crate) committed: Option<(Tag, Ipv4Addr)>,
    /// Once a majority answered: done when this version is in force here.
    pub(crate) target: Option<u64>,
}

impl ReadQuorum {
    pub(crate) fn restart(&mut self, next: Millis) {
        self.answers.clear();
        self.target = None;
        self.next = next;
    }
}

impl Replica {
    pub(crate) fn read(&mut self, ticket: Option<u64>) {
        if self.reads.len() >= self.rules.requests {
            if let Some(ticket) = ticket {
                self.out.push(Action::Refused {
                    ticket,
                    why: Refusal::Unavailable,
                });
            }
            return;
        }
        let (id, until) = (self.next_id(), self.now + self.rules.patience);
        let read = ReadQuorum {
            id,
            ticket,
            until,
            next: self.now,
            answers: BTreeMap::new(),
            held: None,
            committed: None,
            target: None,
        };
        self.reads.push(read);
    }

    pub(crate) fn on_read_reply(
        &mut self,
        from: Ipv4Addr,
        id: u64,
        held: Option<Tag>,
        written: bool,
        committed: Option<Tag>,
    ) {
        let (majority, epoch) = (self.majority(), self.epoch());
        let Some(read) = self
            .reads
            .iter_mut()
            .find(|read| read.id == id && read.target.is_none())
        else {
            return;
        };
        read.answers.insert(from, held.filter(|_| written));
        let key = |tag: Option<(Tag, Ipv4Addr)>| tag.map(|(tag, _)| (tag.version, tag.ballot));
        read.held = [read.held, held.map(|tag| (tag, from))]
            .into_iter()
            .max_by_key(|&tag| key(tag))
            .flatten();
        let committed = committed.map(|tag| (tag, from));
        read.committed = [read.committed, committed]
            .into_iter()
            .max_by_key(|&tag| key(tag))
            .flatten();
        if read.answers.len() < majority {
            return;
        }
        let (held, committed) = (read.held, read.committed);
        let alike = |tag: Tag| read.answers.values().filter(|it| **it == Some(tag)).count();
        // What a majority has on disk by one ballot of this set is decided, whoever knew it first. By one of
        // an older set it may only have been copied when the state was taken over.
        let decided = |tag: Tag| alike(tag) >= majority && epoch_of(tag.ballot) == epoch;
        let decided = held.is_some_and(|(tag, _)| decided(tag));
        let newest = |tag: Option<(Tag, Ipv4Addr)>| tag.map_or(0, |(tag, _)| tag.version);
        read.target = Some(newest(held).max(newest(committed)));
        if let Some((tag, from)) = committed {
            self.learn(tag, None, from);
        }
        if let Some((tag, from)) = held
            && newest(held) > newest(committed)
            && self.known.is_none_or(|known| known.version < tag.version)
        {
            if decided {
                return self.learn(tag, None, from);
            }
            let body = self.body_of(tag);
            // Whoever proposed it may be about to end it.
            let next = self.now + self.rules.retry / 2;
            self.begin_proposal(tag.version, tag.digest, body, from, next);
        }
    }
}
