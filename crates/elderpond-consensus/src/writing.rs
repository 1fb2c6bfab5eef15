//! What is written to the disk, one write at a time, and what is said only once that lasts.

use std::mem::take;
use std::net::Ipv4Addr;

use crate::replica::Replica;
use crate::types::{Action, Head, Message, Mutant, Record, Tag};

/// Answers waiting for a write; repeated questions are not answered twice, so this is far from reached.
const OWED: usize = 4_096;

impl Replica {
    /// The newest held as it is on disk, and the digest of all marks if all of them are.
    pub(crate) fn on_disk(&self) -> (Option<Tag>, u64) {
        let written = |record: &Record| record.marks.is_empty() && record.dropped.is_empty();
        let outstanding = self.outstanding.as_ref();
        let marks = !self.marks_dirty() && outstanding.is_none_or(|it| written(&it.2));
        (self.on_disk, if marks { self.marks.digest() } else { 0 })
    }

    /// Sends once all is durable that is held now.
    pub(crate) fn send_durable(&mut self, to: Ipv4Addr, message: Message) {
        let dirty = self.is_dirty();
        if self.mutated(Mutant::BeforeTheSync) {
            return self.send(to, message);
        }
        let owed = if dirty {
            &mut self.owed_next
        } else if self.outstanding.is_some() || self.rewrite_at.is_some() {
            &mut self.owed_now
        } else {
            return self.send(to, message);
        };
        if owed.len() < OWED
            && !owed
                .iter()
                .any(|(who, what)| *who == to && *what == message)
        {
            owed.push((to, message));
        }
    }

    fn is_dirty(&self) -> bool {
        self.head_dirty || self.held_dirty || self.marks_dirty() || self.ledger.is_dirty()
    }

    fn marks_dirty(&self) -> bool {
        !self.marks.dirty.is_empty() || !self.marks.dropped.is_empty()
    }

    /// Hands out what is to be written, one write at a time: what changes meanwhile goes into the next.
    pub(crate) fn write(&mut self) {
        let dirty = self.is_dirty();
        if !dirty || self.outstanding.is_some() || self.rewrite_at.is_some_and(|at| self.now < at) {
            return;
        }
        self.rewrite_at = None;
        let mut record = Record::default();
        if take(&mut self.head_dirty) {
            record.head = Some(Head {
                disk: self.disk,
                set: self.set.clone(),
                active_in: self.active_in,
                ceiling: self.ceiling,
                promised: self.promised,
                accepted: self.accepted.clone(),
                committed: self.force.as_ref().map(|held| held.tag),
            });
        }
        if take(&mut self.held_dirty) {
            record.held = self.held.clone();
        }
        record.marks = take(&mut self.marks.dirty)
            .iter()
            .filter_map(|key| self.marks.get(key).cloned())
            .collect();
        record.dropped = take(&mut self.marks.dropped).into_iter().collect();
        self.marks.handed_out();
        record.numbers = self.ledger.changes();
        self.owed_now.append(&mut self.owed_next);
        self.next_write += 1;
        let write = self.next_write;
        self.outstanding = Some((write, self.now, record.clone()));
        self.out.push(Action::Write { write, record });
    }

    pub(crate) fn written(&mut self, write: u64, ok: bool) {
        let Some((_, _, record)) = self
            .outstanding
            .take_if(|(outstanding, ..)| *outstanding == write)
        else {
            return;
        };
        if !ok {
            self.out.push(Action::Log(
                "a write to the replica's disk failed; it is tried again".into(),
            ));
            self.head_dirty |= record.head.is_some();
            self.held_dirty |= record.held.is_some();
            self.marks.not_written(record.marks, record.dropped);
            if let Some(numbers) = record.numbers {
                self.ledger.write_again(&numbers);
            }
            self.rewrite_at = Some(self.now + self.rules.rewrite);
            // All that is owed waits for the next write.
            let mut owed = take(&mut self.owed_now);
            owed.append(&mut self.owed_next);
            self.owed_next = owed;
            return;
        }
        self.marks.written();
        if let Some(head) = record.head {
            self.ceiling_durable = head.ceiling;
            if !self.formatted {
                self.formatted = true;
                self.beat_soon = true;
            }
        }
        if let Some(held) = record.held {
            self.durable = self.durable.max(held.tag.version);
            self.on_disk = Some(held.tag);
        }
        for (to, message) in take(&mut self.owed_now) {
            self.send(to, message);
        }
    }
}
