//! How a member of a new set of voters takes over what the set before it held.
//!
//! It asks all members of both sets, and votes once it holds what a majority of the old set held when they
//! knew of the new one, or all that one holds which votes in the new set already.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use crate::repair::same;
use crate::replica::Replica;
use crate::types::{Ballot, Held, Mark, Message, Millis, Mutant, Numbers, Tag, Voter, VoterSet};

/// What was taken over for the present set so far.
#[derive(Clone, Default, Hash)]
pub(crate) struct Transfer {
    next: Millis,
    answers: BTreeSet<Ipv4Addr>,
    voted: bool,
    /// What others hold that does not go into one message, and is still to come.
    told: BTreeMap<Ipv4Addr, Told>,
}

impl Transfer {
    pub(crate) fn told(&self) -> usize {
        self.told.len()
    }
}

#[derive(Clone, Hash)]
struct Told {
    disk: u64,
    active_in: u64,
    held: Option<Tag>,
    /// Whether its marks have still to be compared.
    marks: bool,
}

fn key(tag: Tag) -> (u64, Ballot) {
    (tag.version, tag.ballot)
}

impl Replica {
    /// Asks for what the old voters hold, while this hive is to vote but does not yet.
    pub(crate) fn ask(&mut self) {
        if !self.is_member() || self.is_active() || self.now < self.transfer.next {
            return;
        }
        self.transfer.next = self.now + self.rules.retry;
        let Some(set) = self.set.clone() else { return };
        // An answer may come after the next start: it must not leave out what that start has not got.
        let (held, marks) = self.on_disk();
        let mut nodes: Vec<_> = set
            .previous
            .iter()
            .chain(&set.voters)
            .map(|voter| voter.node)
            .collect();
        nodes.sort_unstable();
        nodes.dedup();
        // Who answered may vote by now, and then it alone is enough.
        let over = |node: &Ipv4Addr| {
            let votes = set.voters.iter().any(|voter| voter.node == *node);
            self.transfer.answers.contains(node) && !votes
        };
        for node in nodes
            .into_iter()
            .filter(|node| !over(node))
            .filter(|node| !self.transfer.told.contains_key(node))
            .collect::<Vec<_>>()
        {
            self.send(
                node,
                Message::StateRequest {
                    set: set.clone(),
                    held,
                    marks,
                },
            );
        }
        self.count_told();
        let lacked = self.lacked().max_by_key(|(_, tag)| key(*tag));
        if let Some((node, tag)) = lacked {
            self.fetch(tag, node);
        }
    }

    pub(crate) fn on_state_request(
        &mut self,
        from: Ipv4Addr,
        set: VoterSet,
        held: Option<Tag>,
        marks: u64,
    ) {
        let epoch = set.epoch;
        self.adopt_set(set);
        if self.epoch() > epoch {
            let beat = self.beat();
            return self.send(from, beat);
        }
        let held = self
            .held
            .clone()
            .filter(|mine| held.is_none_or(|theirs| key(theirs) < key(mine.tag)));
        let alike = marks == self.marks.digest();
        let committed = self.force.as_ref().map(|held| held.tag);
        let (disk, active_in) = (self.disk, self.active_in);
        let piece = self.rules.piece;
        let long = held.as_ref().is_some_and(|held| held.body.len() > piece);
        if long || (!alike && self.marks.bytes() > piece) {
            let stands = Message::StateSummary {
                epoch,
                disk,
                active_in,
                held: held.map(|held| held.tag),
                committed,
                marks: self.marks.digest(),
            };
            return self.tell_state(from, epoch, stands);
        }
        let marks = match alike {
            true => Vec::new(),
            false => self.marks.page(&[], None, usize::MAX).0,
        };
        let reply = Message::StateReply {
            epoch,
            disk,
            active_in,
            held,
            committed,
            marks,
        };
        self.tell_state(from, epoch, reply);
    }

    /// What the sender holds of all numbers counts with the rest of its state, or not at all.
    pub(crate) fn on_state(
        &mut self,
        from: Ipv4Addr,
        epoch: u64,
        numbers: Numbers,
        state: Message,
    ) {
        match &state {
            Message::StateReply { epoch: of, .. } | Message::StateSummary { epoch: of, .. }
                if *of == epoch => {}
            _ => return,
        }
        if self.takes_over(epoch) {
            self.ledger.merge(numbers, self.rules.numbers);
        }
        self.message(from, state);
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn on_state_reply(
        &mut self,
        from: Ipv4Addr,
        epoch: u64,
        disk: u64,
        active_in: u64,
        held: Option<Held>,
        committed: Option<Tag>,
        marks: Vec<Mark>,
    ) {
        if active_in == epoch && self.counts(from, epoch, disk) {
            let version = committed.map_or(0, |tag| tag.version);
            self.note_word(from, disk, version, Ok(&marks));
        }
        marks.into_iter().for_each(|mark| self.join(mark));
        if self.takes_over(epoch) {
            if let Some(held) = held {
                self.hold(held);
            }
            self.count(from, disk, epoch, active_in);
        }
        if let Some(tag) = committed {
            self.learn(tag, None, from);
        }
    }

    /// Whether what others hold counts for the set of that epoch, in which this hive is to vote.
    fn takes_over(&self, epoch: u64) -> bool {
        let mutated = self.rules.mutant == Some(Mutant::AnyEpoch);
        (epoch == self.epoch() || mutated) && self.is_member() && !self.is_active()
    }

    /// All that this hive held when it took part in no earlier epoch any more is here.
    fn count(&mut self, from: Ipv4Addr, disk: u64, epoch: u64, active_in: u64) {
        let Some(set) = &self.set else { return };
        if set.previous.contains(&Voter { node: from, disk }) {
            self.transfer.answers.insert(from);
            self.transfer.voted |= active_in + 1 >= epoch;
        }
        let majority = match self.rules.mutant {
            Some(Mutant::OldMajorityForgotten) => 1,
            _ => set.previous.len() / 2 + 1,
        };
        let enough = self.transfer.answers.len() >= majority && self.transfer.voted;
        if enough || active_in == epoch {
            self.active_in = epoch;
            self.head_dirty = true;
            self.beat_soon = true;
            self.recover_at = Some(self.now);
            self.transfer.told.clear();
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn on_state_summary(
        &mut self,
        from: Ipv4Addr,
        epoch: u64,
        disk: u64,
        active_in: u64,
        held: Option<Tag>,
        committed: Option<Tag>,
        marks: u64,
    ) {
        if active_in == epoch && self.counts(from, epoch, disk) {
            let version = committed.map_or(0, |tag| tag.version);
            self.note_word(from, disk, version, Err(marks));
        }
        if self.takes_over(epoch) && !self.transfer.told.contains_key(&from) {
            let told = Told {
                disk,
                active_in,
                held,
                marks: marks != self.marks.digest(),
            };
            self.transfer.told.insert(from, told);
            // What was compared with it before may lack what it held when it took part no more.
            self.walk.take_if(|walk| walk.with == from);
            self.count_told();
        }
        if let Some(tag) = committed {
            self.learn(tag, None, from);
        }
        let lacked = self.lacked().find(|(node, _)| *node == from);
        if let Some((node, tag)) = lacked {
            self.fetch(tag, node);
        }
    }

    /// Who told of bodies newer than what is held here.
    pub(crate) fn lacked(&self) -> impl Iterator<Item = (Ipv4Addr, Tag)> {
        let held = self.held.as_ref().map(|held| key(held.tag));
        let told = self.transfer.told.iter();
        let told = told.filter_map(|(&node, told)| Some((node, told.held?)));
        told.filter(move |(_, tag)| Some(key(*tag)) > held)
    }

    /// Under what tags that body was told of and is lacked.
    pub(crate) fn told_of(&self, tag: Tag) -> impl Iterator<Item = Tag> {
        let lacked = self.lacked().map(|(_, told)| told);
        lacked.filter(move |told| same(*told, tag))
    }

    /// Who told of that body.
    pub(crate) fn tellers(&self, tag: Tag) -> impl Iterator<Item = Ipv4Addr> {
        let lacked = self.lacked().filter(move |(_, told)| same(*told, tag));
        lacked.map(|(node, _)| node)
    }

    /// Counts whose state is here by now, and has marks compared that are not.
    pub(crate) fn count_told(&mut self) {
        if self.transfer.told.is_empty() {
            return;
        }
        let lacked: Vec<Tag> = self.lacked().map(|(_, tag)| tag).collect();
        for tag in lacked {
            if let Some(body) = self.body_of(tag) {
                self.hold(Held { tag, body });
            }
        }
        let lacked: BTreeSet<Ipv4Addr> = self.lacked().map(|(node, _)| node).collect();
        let told = self.transfer.told.iter();
        let done = told.filter(|(node, told)| !told.marks && !lacked.contains(*node));
        let done: Vec<_> = done
            .map(|(&node, told)| (node, told.disk, told.active_in))
            .collect();
        for (node, disk, active_in) in done {
            self.transfer.told.remove(&node);
            if !self.is_active() {
                self.count(node, disk, self.epoch(), active_in);
            }
        }
        let told = self.transfer.told.iter();
        let left: Vec<Ipv4Addr> = told
            .filter(|(_, told)| told.marks)
            .map(|(&node, _)| node)
            .collect();
        // One after the other: the second may have no more than the first.
        let now = self.walks_with();
        if now.is_some_and(|node| left.contains(&node)) {
            return;
        }
        if let Some(&node) = left.get(self.draw() as usize % left.len().max(1)) {
            self.begin_walk(node);
        }
    }

    /// Marks were compared with that hive to the end.
    pub(crate) fn walked(&mut self, from: Ipv4Addr, disk: u64) {
        if let Some(told) = self.transfer.told.get_mut(&from) {
            told.marks = false;
            if told.disk != disk {
                self.transfer.told.remove(&from);
            }
            self.count_told();
        }
    }
}
