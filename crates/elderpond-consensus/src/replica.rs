//! The hive's state, what it writes, and the marks.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::mem::take;
use std::net::Ipv4Addr;

use crate::handover::Farewell;
use crate::marking::Marking;
use crate::marks::Marks;
use crate::numbers::Ledger;
use crate::proposer::{Proposal, Waiting};
use crate::reads::ReadQuorum;
use crate::reconfiguration::SetProposal;
use crate::repair::{Lent, Pull, Walk, same};
use crate::state_transfer::Transfer;
use crate::types::{
    Action, Ballot, Beat, Event, Found, Held, Message, Millis, Mutant, Record, Rules, Status,
    Stored, Tag, Voter, VoterSet, VoterStatus,
};
use bytes::Bytes;

/// That a machine leaves is remembered for so long, unless it comes back or another tells it again (ms).
const LEAVING_REMEMBERED: Millis = 16_000;

/// For so many beats after a machine came with another disk, its former one is not believed.
pub(crate) const LATE: Millis = 4;

#[derive(Clone, Default, Hash)]
pub(crate) struct Peer {
    pub(crate) beat: Option<Beat>,
    pub(crate) heard: Millis,
    pub(crate) down_since: Option<Millis>,
    /// Disks it had until lately: what still arrives of them is late. And until when (ms) that holds.
    retired: Vec<(u64, Millis)>,
    /// The disk that it named last when it was asked for it, and the question that is open.
    pub(crate) sure: Option<u64>,
    pub(crate) asked: Option<u64>,
}

impl Peer {
    /// Its disk is another by now: what was heard of this one is not believed any more.
    pub(crate) fn retire(&mut self, disk: u64, until: Millis) {
        if self.beat.as_ref().and_then(|beat| beat.disk) == Some(disk) {
            self.beat = None;
        }
        self.retired.push((disk, until));
    }
}

/// One hive's part in what a majority holds. Give it events in any order; do its actions in theirs.
#[derive(Clone, Hash)]
pub struct Replica {
    pub(crate) rules: Rules,
    pub(crate) now: Millis,
    pub(crate) started: Millis,
    pub(crate) me: Ipv4Addr,
    pub(crate) disk: u64,
    pub(crate) life: u64,
    pub(crate) random: u64,
    pub(crate) seeds: Vec<Ipv4Addr>,
    pub(crate) alive: BTreeSet<Ipv4Addr>,
    pub(crate) leaving: BTreeMap<Ipv4Addr, Millis>,
    /// Whether this hive was told to end.
    pub(crate) ending: bool,
    pub(crate) peers: BTreeMap<Ipv4Addr, Peer>,
    // The set of voters.
    pub(crate) set: Option<VoterSet>,
    /// Since when it is known in this life.
    pub(crate) set_since: Millis,
    pub(crate) active_in: u64,
    pub(crate) promised: Ballot,
    pub(crate) accepted: Option<(Ballot, Vec<Voter>)>,
    pub(crate) set_proposal: Option<SetProposal>,
    pub(crate) propose_set_after: Option<Millis>,
    pub(crate) transfer: Transfer,
    pub(crate) farewell: Farewell,
    // The register.
    pub(crate) round: u64,
    pub(crate) floor: u64,
    pub(crate) ceiling: u64,
    pub(crate) ceiling_durable: u64,
    pub(crate) promises: BTreeMap<u64, Ballot>,
    /// Below which version promises are forgotten, and the highest of those.
    pub(crate) forgotten: (u64, Ballot),
    pub(crate) ledger: Ledger,
    pub(crate) held: Option<Held>,
    pub(crate) force: Option<Held>,
    pub(crate) known: Option<Tag>,
    pub(crate) known_by: Option<(Ipv4Addr, Millis)>,
    pub(crate) proposals: BTreeMap<u64, Proposal>,
    pub(crate) waiting: Vec<Waiting>,
    pub(crate) reads: Vec<ReadQuorum>,
    pub(crate) recover_at: Option<Millis>,
    /// The version in force while a newer one is held, and since when both are so.
    pub(crate) stuck: (u64, Millis),
    pub(crate) next_id: u64,
    // Repair.
    pub(crate) pull: Option<Pull>,
    pub(crate) lent: BTreeMap<Ipv4Addr, Lent>,
    pub(crate) walk: Option<Walk>,
    // Marks.
    pub(crate) marks: Marks,
    pub(crate) marking: Vec<Marking>,
    // Writing.
    pub(crate) head_dirty: bool,
    pub(crate) held_dirty: bool,
    pub(crate) next_write: u64,
    pub(crate) outstanding: Option<(u64, Millis, Record)>,
    pub(crate) rewrite_at: Option<Millis>,
    pub(crate) formatted: bool,
    pub(crate) durable: u64,
    /// The newest held as it is on disk.
    pub(crate) on_disk: Option<Tag>,
    pub(crate) owed_now: Vec<(Ipv4Addr, Message)>,
    pub(crate) owed_next: Vec<(Ipv4Addr, Message)>,
    // Saying.
    pub(crate) beat_at: Millis,
    pub(crate) beat_soon: bool,
    pub(crate) local: VecDeque<Message>,
    pub(crate) out: Vec<Action>,
}

impl Replica {
    /// Starts with what is on disk, at `now` (ms). Tells first of what is in force and marked already.
    pub fn new(
        now: Millis,
        found: Found,
        rules: Rules,
        stored: Option<Stored>,
        out: &mut Vec<Action>,
    ) -> Self {
        let mut replica = Self {
            rules,
            now,
            started: now,
            me: found.me,
            disk: 0,
            life: 0,
            random: found.seed ^ (u64::from(u32::from(found.me)) << 32),
            seeds: found.seeds,
            alive: BTreeSet::new(),
            leaving: BTreeMap::new(),
            ending: false,
            peers: BTreeMap::new(),
            set: None,
            set_since: now,
            active_in: 0,
            promised: Ballot::default(),
            accepted: None,
            set_proposal: None,
            propose_set_after: None,
            transfer: Transfer::default(),
            farewell: Farewell::default(),
            round: 0,
            floor: 0,
            ceiling: 0,
            ceiling_durable: 0,
            promises: BTreeMap::new(),
            forgotten: (0, Ballot::default()),
            ledger: Ledger::fresh(),
            held: None,
            force: None,
            known: None,
            known_by: None,
            proposals: BTreeMap::new(),
            waiting: Vec::new(),
            reads: Vec::new(),
            recover_at: Some(now),
            stuck: (0, now),
            next_id: 0,
            pull: None,
            lent: BTreeMap::new(),
            walk: None,
            marks: Marks::default(),
            marking: Vec::new(),
            head_dirty: false,
            held_dirty: false,
            next_write: 0,
            outstanding: None,
            rewrite_at: None,
            formatted: false,
            durable: 0,
            on_disk: None,
            owed_now: Vec::new(),
            owed_next: Vec::new(),
            beat_at: now,
            beat_soon: true,
            local: VecDeque::new(),
            out: Vec::new(),
        };
        replica.life = replica.draw();
        match stored {
            Some(stored) => replica.load(stored),
            None => replica.format(found.first_start),
        }
        replica.settle_down();
        out.append(&mut replica.out);
        replica
    }

    fn format(&mut self, first_start: bool) {
        let first_start = first_start || self.mutated(Mutant::WipedIsCounted);
        if first_start && self.seeds.contains(&self.me) {
            let mut voters: Vec<Voter> = self
                .seeds
                .iter()
                .map(|&node| Voter { node, disk: 0 })
                .collect();
            voters.sort_unstable();
            voters.dedup();
            self.set = Some(VoterSet {
                epoch: 1,
                voters,
                previous: Vec::new(),
            });
            self.active_in = 1;
        } else {
            self.disk = self.draw().max(1);
        }
        self.head_dirty = true;
    }

    fn load(&mut self, mut stored: Stored) {
        if self.mutated(Mutant::NumbersInMemory)
            && let Some(numbers) = &mut stored.numbers
        {
            let newest = stored.held.iter().map(|held| held.tag.version).max();
            numbers.given.retain(|tag| Some(tag.version) == newest);
        }
        self.ledger = Ledger::load(&stored, self.rules.numbers);
        let head = stored.head;
        self.formatted = true;
        self.disk = head.disk;
        self.set = head.set;
        self.active_in = head.active_in;
        self.promised = head.promised;
        self.accepted = head.accepted;
        self.floor = head.ceiling;
        self.ceiling = head.ceiling;
        self.ceiling_durable = head.ceiling;
        self.round = head.ceiling.max(self.promised.round);
        self.held = stored
            .held
            .iter()
            .max_by_key(|held| (held.tag.version, held.tag.ballot))
            .cloned();
        self.durable = self.held_version();
        self.on_disk = self.held.as_ref().map(|held| held.tag);
        let committed = head.committed.and_then(|tag| {
            let mut held = stored.held.iter();
            held.find(|held| same(held.tag, tag)).cloned()
        });
        if let Some(held) = committed {
            self.known = Some(held.tag);
            self.ledger.decide(held.tag);
            self.out.push(Action::InForce {
                version: held.tag.version,
                body: held.body.clone(),
            });
            self.force = Some(held);
        }
        for mark in stored.marks {
            self.join(mark);
        }
        self.marks.dirty.clear();
        self.marks.handed_out();
        self.marks.written();
    }

    /// Takes in one event at `now` (ms) and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(),
            Event::Message { from, message } => self.message(from, message),
            Event::Propose {
                ticket,
                version,
                body,
            } => self.propose(ticket, version, body),
            Event::Read { ticket } => self.read(Some(ticket), false),
            Event::Confirm { ticket } => self.read(Some(ticket), true),
            Event::Mark { ticket, key, value } => self.mark(ticket, key, value),
            Event::Written { write, ok } => self.written(write, ok),
            Event::Alive(alive) => self.alive(alive),
            Event::Seeds(seeds) => self.seeds = seeds,
            Event::Leaving(node) => {
                self.leaving.insert(node, self.now);
            }
            Event::Ending => {
                self.ending = true;
                self.leaving.insert(self.me, self.now);
                self.beat_soon = true;
                self.tick_farewell();
            }
        }
        self.settle_down();
        out.append(&mut self.out);
    }

    /// Whether a majority of the present voters is reached, this hive counted as such.
    #[must_use]
    pub fn has_majority(&self, reached: &dyn Fn(Ipv4Addr) -> bool) -> bool {
        self.set.as_ref().is_some_and(|set| {
            let there = |v: &&Voter| {
                if v.node == self.me {
                    v.disk == self.disk
                } else {
                    reached(v.node)
                }
            };
            set.voters.iter().filter(there).count() >= set.majority()
        })
    }

    /// The present voters; none while no set is known.
    #[must_use]
    pub fn voters(&self) -> &[Voter] {
        self.set.as_ref().map_or(&[], |set| &set.voters)
    }

    /// The number of the present set; 0 while none is known.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.set.as_ref().map_or(0, |set| set.epoch)
    }

    /// The newest version known here to be held by a majority, with its body.
    #[must_use]
    pub fn in_force(&self) -> Option<(u64, Bytes)> {
        self.force
            .as_ref()
            .map(|held| (held.tag.version, held.body.clone()))
    }

    /// Whether this hive votes in the present epoch.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.set.as_ref().is_some_and(|set| {
            (self.active_in == set.epoch || self.mutated(Mutant::BeforeCaughtUp))
                && set.voters.contains(&Voter {
                    node: self.me,
                    disk: self.disk,
                })
        })
    }

    /// The value of a mark.
    #[must_use]
    pub fn marked(&self, key: &str) -> Option<&[u8]> {
        self.marks.get(key).map(|mark| &*mark.value)
    }

    /// Where this hive stands, for people.
    #[must_use]
    pub fn status(&self) -> Status {
        let in_force = self.force_version();
        let voters = self.voters().iter().map(|&voter| {
            let beat = self
                .peers
                .get(&voter.node)
                .and_then(|peer| peer.beat.as_ref());
            let beat = beat.filter(|beat| beat.disk == Some(voter.disk));
            let me = voter.node == self.me && voter.disk == self.disk;
            let version = if me {
                self.durable
            } else {
                beat.map_or(0, |beat| beat.durable)
            };
            let heard = beat
                .is_some_and(|b| b.active && b.set.as_ref().map(|s| s.epoch) == Some(self.epoch()));
            VoterStatus {
                voter,
                alive: me || (voter.node != self.me && self.alive.contains(&voter.node)),
                active: if me { self.is_active() } else { heard },
                version,
                behind: in_force.saturating_sub(version),
            }
        });
        Status {
            me: Voter {
                node: self.me,
                disk: self.disk,
            },
            epoch: self.epoch(),
            active: self.is_active(),
            voters: voters.collect(),
            in_force,
            marks: self.marks.len(),
            writing_since: self.outstanding.as_ref().map(|&(_, since, _)| since),
        }
    }

    /// For checks: how much of everything is kept, in items, and of bodies in bytes.
    #[doc(hidden)]
    #[must_use]
    pub fn kept(&self) -> BTreeMap<&'static str, usize> {
        let bodies = self.held.iter().chain(&self.force).map(|it| it.body.len());
        let writes = self
            .outstanding
            .iter()
            .map(|(_, _, record)| record.dropped.len());
        let retired = self.peers.values().map(|peer| peer.retired.len());
        BTreeMap::from([
            ("bodies", bodies.sum::<usize>() + self.bytes_lent()),
            ("dropped", self.marks.dropped.len() + writes.sum::<usize>()),
            ("leaving", self.leaving.len()),
            ("lent", self.lent.len()),
            ("local", self.local.len()),
            ("marking", self.marking.len()),
            ("marks", self.marks.len()),
            ("numbers", self.ledger.len()),
            ("owed", self.owed_now.len() + self.owed_next.len()),
            ("peers", self.peers.len()),
            ("promises", self.promises.len()),
            ("proposals", self.proposals.len()),
            ("reads", self.reads.len()),
            ("retired", retired.sum()),
            ("told", self.transfer.told()),
            ("waiting", self.waiting.len()),
        ])
    }

    pub(crate) fn mutated(&self, mutant: Mutant) -> bool {
        self.rules.mutant == Some(mutant)
    }

    pub(crate) fn held_version(&self) -> u64 {
        self.held.as_ref().map_or(0, |held| held.tag.version)
    }

    pub(crate) fn force_version(&self) -> u64 {
        self.force.as_ref().map_or(0, |held| held.tag.version)
    }

    /// Splitmix64.
    pub(crate) fn draw(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Whether a proposal is under way here, as checks want to know.
    #[doc(hidden)]
    #[must_use]
    pub fn is_proposing(&self) -> bool {
        !self.proposals.is_empty()
    }

    /// For checks that visit each state once: sets back what no answer depends on. Random waits are drawn as
    /// at the start, and the number of the write under way, if one is, becomes 1.
    #[doc(hidden)]
    pub fn level(&mut self) {
        self.random = u64::from(u32::from(self.me));
        self.next_write = u64::from(self.outstanding.is_some());
        if let Some((write, ..)) = &mut self.outstanding {
            *write = 1;
        }
    }

    /// How many ids were drawn in this life.
    pub(crate) fn ids_drawn(&self) -> u64 {
        self.next_id
    }

    pub(crate) fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.life.wrapping_add(self.next_id)
    }

    pub(crate) fn send(&mut self, to: Ipv4Addr, message: Message) {
        if to == self.me {
            self.local.push_back(message);
        } else {
            self.out.push(Action::Send { to, message });
        }
    }

    pub(crate) fn send_voters(&mut self, message: &Message) {
        let voters: Vec<_> = self.voters().iter().map(|voter| voter.node).collect();
        for node in voters {
            self.send(node, message.clone());
        }
    }

    /// Everybody worth telling, without this hive.
    pub(crate) fn company(&self) -> Vec<Ipv4Addr> {
        let set = self
            .set
            .iter()
            .flat_map(|set| set.voters.iter().chain(&set.previous))
            .map(|voter| voter.node);
        let all: BTreeSet<_> = set
            .chain(self.alive.iter().copied())
            .chain(self.seeds.iter().copied())
            .collect();
        let mut all: Vec<_> = all.into_iter().filter(|&node| node != self.me).collect();
        all.sort_unstable();
        all
    }

    /// Whether this answer is of a voter of this epoch.
    pub(crate) fn counts(&self, from: Ipv4Addr, epoch: u64, disk: u64) -> bool {
        if self.mutated(Mutant::AnyEpoch) {
            return true;
        }
        self.set.as_ref().is_some_and(|set| {
            set.epoch == epoch && set.voters.contains(&Voter { node: from, disk })
        })
    }

    pub(crate) fn majority(&self) -> usize {
        self.set.as_ref().map_or(usize::MAX, VoterSet::majority)
    }

    /// Whether questions of that epoch are to be answered; who asks in another is told of
    /// the one known here, or answers with a newer one.
    pub(crate) fn votes_in(&mut self, from: Ipv4Addr, epoch: u64) -> bool {
        if epoch != self.epoch() {
            let beat = self.beat();
            self.send(from, beat);
        }
        let fenced = epoch != self.epoch() && !self.mutated(Mutant::NoFence);
        !fenced && self.is_active()
    }

    pub(crate) fn beat(&self) -> Message {
        Message::Beat(Box::new(Beat {
            disk: (self.formatted && !self.ending).then_some(self.disk),
            set: self.set.clone(),
            active: self.is_active(),
            round: self.round,
            committed: self.force.as_ref().map(|held| held.tag),
            durable: self.durable,
            marks: self.marks.digest(),
        }))
    }

    fn tell_beat(&mut self) {
        let beat = self.beat();
        for node in self.company() {
            self.send(node, beat.clone());
        }
    }

    fn alive(&mut self, alive: Vec<Ipv4Addr>) {
        let alive: BTreeSet<_> = alive.into_iter().filter(|&node| node != self.me).collect();
        if alive.iter().any(|node| !self.alive.contains(node)) {
            self.beat_soon = true;
        }
        for &node in self.alive.difference(&alive) {
            self.peers.entry(node).or_default().down_since = Some(self.now);
        }
        for &node in &alive {
            if !self.alive.contains(&node) {
                self.leaving.remove(&node); // it came back
            }
            self.peers.entry(node).or_default().down_since = None;
        }
        self.alive = alive;
        let kept: BTreeSet<_> = self.company().into_iter().collect();
        self.peers.retain(|node, _| kept.contains(node));
        let back: Vec<Ipv4Addr> = self.alive.iter().copied().collect();
        if back.into_iter().any(|node| self.has_another_disk(node)) {
            self.consider_set();
        }
    }

    fn tick(&mut self) {
        if self.now >= self.beat_at {
            self.beat_soon = true;
        }
        let now = self.now;
        let ends = self.ending.then_some(self.me);
        self.leaving
            .retain(|node, since| Some(*node) == ends || now < *since + LEAVING_REMEMBERED);
        self.tick_register();
        self.tick_reconfiguration();
        self.tick_farewell();
        self.tick_pull();
        self.tick_marks();
    }

    fn settle_down(&mut self) {
        loop {
            self.pump_register();
            self.write();
            let Some(message) = self.local.pop_front() else {
                break;
            };
            self.message(self.me, message);
        }
        if take(&mut self.beat_soon) {
            self.beat_at = self.now + self.rules.beat;
            self.tell_beat();
        }
    }

    pub(crate) fn on_beat(&mut self, from: Ipv4Addr, beat: Beat) {
        self.round = self.round.max(beat.round);
        let theirs = beat.set.as_ref().map_or(0, |set| set.epoch);
        if theirs < self.epoch() {
            let answer = self.beat();
            self.send(from, answer);
        }
        if let Some(set) = &beat.set {
            self.adopt_set(set.clone());
        }
        if beat.marks != self.marks.digest() {
            self.compare(from);
        }
        if let Some(tag) = beat.committed {
            self.learn(tag, None, from);
        }
        let now = self.now;
        let voter = self
            .set
            .as_ref()
            .and_then(|set| set.voters.iter().find(|voter| voter.node == from));
        let voter = voter.map(|voter| voter.disk);
        let peer = self.peers.entry(from).or_default();
        peer.retired.retain(|&(_, until)| now < until);
        if let Some(disk) = beat.disk {
            if peer.retired.iter().any(|&(retired, _)| retired == disk) {
                return;
            }
            let last = peer.beat.as_ref().and_then(|beat| beat.disk);
            let until = now + LATE * self.rules.beat;
            let old = [last, voter]
                .into_iter()
                .flatten()
                .filter(|&old| old != disk);
            peer.retired.extend(old.map(|old| (old, until)));
        }
        peer.heard = self.now;
        peer.beat = Some(beat);
        if self.has_another_disk(from) {
            self.make_sure(from);
        }
    }

    /// Starts all that is in flight again, for a new set.
    pub(crate) fn restart_requests(&mut self) {
        let now = self.now;
        for marking in &mut self.marking {
            marking.restart(now);
        }
        for proposal in self.proposals.values_mut() {
            proposal.idle(now);
        }
        for read in &mut self.reads {
            read.restart(now);
        }
    }
}
