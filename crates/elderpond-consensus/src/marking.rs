//! Marks that are to be held by a majority of disks: asked for, counted and told on.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use crate::replica::Replica;
use crate::types::{Action, Mark, Message, Millis, Refusal};

/// A mark that is to be held by a majority.
#[derive(Clone, Hash)]
pub(crate) struct Marking {
    id: u64,
    ticket: u64,
    mark: Mark,
    until: Millis,
    again: Millis,
    stored: BTreeSet<Ipv4Addr>,
}

impl Marking {
    /// Has all voters of a new set asked.
    pub(crate) fn restart(&mut self, now: Millis) {
        self.stored.clear();
        self.again = now;
    }
}

impl Replica {
    pub(crate) fn join(&mut self, mark: Mark) {
        let (key, value) = (mark.key.clone(), mark.value.clone());
        if self.marks.join(mark, self.rules.marks) {
            self.out.push(Action::MarkLearned { key, value });
        }
    }

    pub(crate) fn mark(&mut self, ticket: u64, key: String, value: Vec<u8>) {
        if self.marking.len() >= self.rules.requests {
            return self.out.push(Action::Refused {
                ticket,
                why: Refusal::Unavailable,
            });
        }
        let order = match self.marks.get(&key) {
            Some(old) if old.value == value => old.order,
            _ => self.marks.next_order(),
        };
        let mark = Mark { order, key, value };
        self.join(mark.clone());
        let (id, until) = (self.next_id(), self.now + self.rules.patience);
        let again = self.now + self.rules.retry;
        self.marking.push(Marking {
            id,
            ticket,
            mark: mark.clone(),
            until,
            again,
            stored: BTreeSet::new(),
        });
        self.send_voters(&Message::MarkStore {
            epoch: self.epoch(),
            id,
            mark,
        });
    }

    pub(crate) fn on_mark_stored(&mut self, from: Ipv4Addr, id: u64) {
        let majority = self.majority();
        let Some(at) = self.marking.iter().position(|marking| marking.id == id) else {
            return;
        };
        self.marking[at].stored.insert(from);
        if self.marking[at].stored.len() >= majority {
            let done = self.marking.swap_remove(at);
            self.out.push(Action::Acknowledged {
                ticket: done.ticket,
            });
            let voters: BTreeSet<_> = self.voters().iter().map(|voter| voter.node).collect();
            for node in self.company() {
                if !voters.contains(&node) {
                    self.send(node, Message::Marks(vec![done.mark.clone()]));
                }
            }
        }
    }

    pub(crate) fn tick_marks(&mut self) {
        let (now, retry, epoch) = (self.now, self.rules.retry, self.epoch());
        let out = &mut self.out;
        self.marking.retain(|marking| {
            if now >= marking.until {
                out.push(Action::Refused {
                    ticket: marking.ticket,
                    why: Refusal::Unavailable,
                });
            }
            now < marking.until
        });
        let mut sends = Vec::new();
        for marking in &mut self.marking {
            if now >= marking.again {
                marking.again = now + retry;
                let message = Message::MarkStore {
                    epoch,
                    id: marking.id,
                    mark: marking.mark.clone(),
                };
                sends.push((marking.stored.clone(), message));
            }
        }
        let voters: Vec<_> = self.voters().iter().map(|voter| voter.node).collect();
        for (stored, message) in sends {
            for &node in voters.iter().filter(|node| !stored.contains(*node)) {
                self.send(node, message.clone());
            }
        }
    }
}
