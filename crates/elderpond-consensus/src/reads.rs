//! Reads: the newest version that a majority of disks tells of; confirmations, which have all marks too.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use crate::ballots::epoch_of;
use crate::replica::Replica;
use crate::types::{Action, Message, Millis, Refusal, Tag};

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
    /// Whether it only looks.
    pub(crate) confirms: bool,
    /// Of a confirmation: the newest version that each who answered knows of.
    pub(crate) heights: BTreeMap<Ipv4Addr, u64>,
    /// Of a confirmation: the voters of which all marks that they had after it began are here.
    marks_of: BTreeSet<Ipv4Addr>,
    /// Larger than that of every comparison of marks begun before it.
    began: u64,
}

impl ReadQuorum {
    pub(crate) fn restart(&mut self, next: Millis) {
        self.answers.clear();
        self.heights.clear();
        self.marks_of.clear();
        self.target = None;
        self.next = next;
    }

    /// Whether its answer may be given, with that version in force here and so many voters as a majority.
    pub(crate) fn is_done(&self, in_force: u64, majority: usize) -> bool {
        self.has_marks(majority) && self.target.is_some_and(|target| target <= in_force)
    }

    /// Whether voters have still to be asked.
    pub(crate) fn is_open(&self, majority: usize) -> bool {
        !self.has_marks(majority) || self.target.is_none()
    }

    /// Whether it needs no marks, or has those of a majority.
    fn has_marks(&self, majority: usize) -> bool {
        !self.confirms || self.marks_of.len() >= majority
    }
}

impl Replica {
    /// A read changes what it finds: it ends a proposal that it meets. A confirmation only looks.
    pub(crate) fn read(&mut self, ticket: Option<u64>, confirms: bool) {
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
            confirms,
            heights: BTreeMap::new(),
            marks_of: BTreeSet::new(),
            began: self.ids_drawn(),
        };
        self.reads.push(read);
    }

    /// Asks the voters what they hold, for that read.
    pub(crate) fn ask_for_read(&mut self, id: u64, confirms: bool) {
        let epoch = self.epoch();
        let marks = self.marks.digest();
        self.send_voters(&match confirms {
            true => Message::Confirm { epoch, id, marks },
            false => Message::Read { epoch, id },
        });
    }

    /// What this voter holds, for the read of that number.
    pub(crate) fn read_reply(&self, id: u64) -> Message {
        let held = self.held.as_ref().map(|held| held.tag);
        Message::ReadReply {
            epoch: self.epoch(),
            disk: self.disk,
            id,
            held,
            written: self.on_disk == held,
            committed: self.force.as_ref().map(|held| held.tag),
        }
    }

    /// The marks that a voter had when it answered are counted if they are all here, and compared otherwise.
    pub(crate) fn on_confirmed(&mut self, from: Ipv4Addr, alike: bool, reply: Message) {
        let Message::ReadReply {
            epoch, disk, id, ..
        } = reply
        else {
            return;
        };
        if !self.counts(from, epoch, disk) {
            return;
        }
        match alike {
            true => self.count_marks_of(from, |read| read.id == id),
            false => self.compare(from),
        }
        self.message(from, reply);
    }

    /// Marks were compared with that voter to the end, from when so many ids were drawn.
    pub(crate) fn marks_compared(&mut self, from: Ipv4Addr, disk: u64, began: u64) {
        if self.counts(from, self.epoch(), disk) {
            self.count_marks_of(from, |read| read.began <= began);
        }
    }

    fn count_marks_of(&mut self, from: Ipv4Addr, of: impl Fn(&ReadQuorum) -> bool) {
        for read in self.reads.iter_mut().filter(|read| of(read)) {
            read.marks_of.insert(from);
        }
    }

    /// What may have been decided before the confirmation began is its target: what so many voters hold, with
    /// those who have not answered, as make a majority. It falls as more of them answer.
    fn on_heights(&mut self, from: Ipv4Addr, id: u64, held: Option<Tag>, committed: Option<Tag>) {
        let (majority, voters, epoch) = (self.majority(), self.voters().len(), self.epoch());
        let Some(read) = self.reads.iter_mut().find(|read| read.id == id) else {
            return;
        };
        let newest = [held, committed].into_iter().flatten();
        let newest = newest.map(|tag| tag.version).max().unwrap_or(0);
        read.heights.insert(from, newest);
        if read.heights.len() >= majority {
            let mut heights: Vec<u64> = read.heights.values().copied().collect();
            heights.sort_unstable_by(|one, other| other.cmp(one));
            let silent = voters.saturating_sub(heights.len());
            let place = majority.saturating_sub(1 + silent);
            read.target = heights.get(place).copied();
        }
        // What a majority has on disk by one ballot of this set is decided, as in a read.
        let decided = held.filter(|tag| epoch_of(tag.ballot) == epoch);
        let decided = decided.filter(|tag| {
            let alike = read.answers.values().filter(|it| **it == Some(*tag));
            alike.count() >= majority
        });
        for tag in [committed, decided].into_iter().flatten() {
            self.learn(tag, None, from);
        }
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
            .find(|read| read.id == id && (read.confirms || read.target.is_none()))
        else {
            return;
        };
        read.answers.insert(from, held.filter(|_| written));
        if read.confirms {
            return self.on_heights(from, id, held, committed);
        }
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
            if body.is_none() && self.pulls_for_proposal() {
                return; // it could not be fetched now
            }
            // Whoever proposed it may be about to end it.
            let next = self.now + self.rules.retry / 2;
            self.begin_proposal(tag.version, tag.digest, body, from, next);
        }
    }
}
