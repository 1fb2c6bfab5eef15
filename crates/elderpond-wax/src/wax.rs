//! The registers of one hive: what it is asked as a voter, what it asks as a proposer, and what it writes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::mem::take;
use std::net::Ipv4Addr;

use elderpond_consensus::{Ballot, Millis, Voter, VoterSet};

use crate::order::{Answer, Outcome, Value, Word, turn};
use crate::types::{
    Action, Cell, Event, Found, Head, Kept, Key, Listed, Message, Mutant, Record, Rules, Stored,
};
use crate::voters::Transfer;

/// Rounds promised ahead of those written down.
const AHEAD: u64 = 4_096;

/// Answers waiting for a write.
const OWED: usize = 16_384;

/// At most so many keys that are due are ended in one tick.
const ENDS: usize = 256;

/// One register as a voter holds it.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct Slot {
    /// Nothing below this rank is taken.
    promised: (u64, Ballot),
    pub(crate) cell: Option<Cell>,
    /// When it came to this state, on the disk's count of time lived.
    pub(crate) since: Millis,
    due: Option<Millis>,
    /// Durable once writes have come to this level.
    level: u64,
}

#[derive(Clone, Debug, Hash)]
struct Request {
    /// Nothing for what a hive does by itself.
    ticket: Option<u64>,
    word: Word,
    /// No majority is waited for any longer.
    until: Millis,
    /// Another's outcome is not, either.
    waits_until: Millis,
    not_before: Millis,
    /// What it is answered when its time is over.
    last: Answer,
}

#[derive(Clone, Debug, Hash)]
enum Phase {
    Asking(BTreeMap<Ipv4Addr, Option<Cell>>),
    Storing {
        cell: Box<Cell>,
        answer: Answer,
        stored: BTreeSet<Ipv4Addr>,
    },
    /// Outbid: a new ballot is tried then.
    Resting(Millis),
}

#[derive(Clone, Debug, Hash)]
struct Bid {
    request: Request,
    ballot: Ballot,
    phase: Phase,
    refused: BTreeSet<Ipv4Addr>,
    full: BTreeSet<Ipv4Addr>,
    again: Millis,
    attempts: u32,
}

/// What this hive has to do for one key.
#[derive(Clone, Debug, Default, Hash)]
struct Work {
    bid: Option<Bid>,
    queue: VecDeque<Request>,
}

/// A claim that this hive brought to be held, and the ballot that was promised to it for the next word.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Lead {
    ballot: Ballot,
    value: Value,
}

/// One hive's part in the orders' registers. Give it events in any order; do its actions in theirs.
#[derive(Clone, Debug, Hash)]
pub struct Wax {
    pub(crate) rules: Rules,
    pub(crate) now: Millis,
    started: Millis,
    lived_before: Millis,
    noted: Millis,
    pub(crate) me: Ipv4Addr,
    pub(crate) disk: u64,
    life: u64,
    random: u64,
    pub(crate) empty_start: bool,
    // The set of voters.
    pub(crate) set: Option<VoterSet>,
    pub(crate) active_in: u64,
    pub(crate) active_on_disk: u64,
    pub(crate) transfer: Transfer,
    // The registers.
    pub(crate) slots: BTreeMap<Key, Slot>,
    due: BTreeSet<(Millis, Key)>,
    unknown: BTreeSet<Key>,
    /// How many hold something; the others are promised only.
    full_slots: usize,
    bytes: usize,
    pub(crate) forgotten: (u64, u64),
    floor: u64,
    ceiling: u64,
    // Proposing.
    round: u64,
    work: BTreeMap<Key, Work>,
    requests: usize,
    pub(crate) leads: BTreeMap<Key, Lead>,
    // Writing.
    pub(crate) head_dirty: bool,
    /// As on disk: promises at or above it wait for a write.
    ceiling_on_disk: u64,
    dirty: BTreeSet<Key>,
    dropped: BTreeSet<Key>,
    level: u64,
    done: u64,
    next_write: u64,
    outstanding: Option<(u64, u64, Record)>,
    rewrite_at: Option<Millis>,
    owed: VecDeque<(u64, Ipv4Addr, Message)>,
    local: VecDeque<Message>,
    pub(crate) out: Vec<Action>,
}

impl Wax {
    /// Starts with what is on disk, at `now` (ms of a steady clock).
    #[must_use]
    pub fn new(now: Millis, found: Found, rules: Rules, stored: Option<Stored>) -> Self {
        let empty_start = stored.is_none();
        let stored = stored.unwrap_or_else(|| Stored {
            head: Head {
                set: None,
                active_in: found.active_in,
                ceiling: 0,
                forgotten: (0, 0),
                lived: 0,
            },
            cells: Vec::new(),
        });
        let head = stored.head;
        let mut wax = Self {
            rules,
            now,
            started: now,
            lived_before: head.lived,
            noted: now,
            me: found.me,
            disk: found.disk,
            life: 0,
            random: found.seed ^ (u64::from(u32::from(found.me)) << 32),
            empty_start,
            set: head.set,
            active_in: head.active_in,
            active_on_disk: if empty_start { 0 } else { head.active_in },
            transfer: Transfer::default(),
            slots: BTreeMap::new(),
            due: BTreeSet::new(),
            unknown: BTreeSet::new(),
            full_slots: 0,
            bytes: 0,
            forgotten: head.forgotten,
            floor: head.ceiling,
            ceiling: head.ceiling,
            round: head.ceiling,
            work: BTreeMap::new(),
            requests: 0,
            leads: BTreeMap::new(),
            head_dirty: empty_start,
            ceiling_on_disk: head.ceiling,
            dirty: BTreeSet::new(),
            dropped: BTreeSet::new(),
            level: 1,
            done: 0,
            next_write: 0,
            outstanding: None,
            rewrite_at: None,
            owed: VecDeque::new(),
            local: VecDeque::new(),
            out: Vec::new(),
        };
        wax.life = wax.draw();
        for Kept { key, cell, since } in stored.cells {
            wax.hold(&key, cell, since);
        }
        wax.dirty.clear();
        wax.slots.values_mut().for_each(|slot| slot.level = 0);
        wax
    }

    /// Takes in one event at `now` (ms) and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(),
            Event::Voters(set) => self.adopt(set),
            Event::Message { from, message } => self.message(from, message),
            Event::Say {
                ticket,
                key,
                word,
                wait,
            } => self.say(Some(ticket), key, word, wait),
            Event::Written { write, ok } => self.written(write, ok),
        }
        loop {
            self.write();
            let Some(message) = self.local.pop_front() else {
                break;
            };
            self.message(self.me, message);
        }
        out.append(&mut self.out);
    }

    /// The number of the present set; 0 while none is known.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.set.as_ref().map_or(0, |set| set.epoch)
    }

    /// How many keys this disk holds, and how many bytes of outcomes.
    #[must_use]
    pub fn room(&self) -> (usize, usize) {
        (self.full_slots, self.bytes)
    }

    /// Orders of which nobody knows whether they ran, as this disk holds them: at most `most`, in order of
    /// their keys, those after `after`.
    #[must_use]
    pub fn unknown(&self, after: Option<&Key>, most: usize) -> Vec<Listed> {
        let start = after.map_or(std::ops::Bound::Unbounded, std::ops::Bound::Excluded);
        let keys = self
            .unknown
            .range::<Key, _>((start, std::ops::Bound::Unbounded));
        let listed = keys.filter_map(|key| {
            let slot = self.slots.get(key)?;
            let Some(Value::Unknown(claim)) = slot.cell.as_ref().map(|cell| &cell.value) else {
                return None;
            };
            Some(Listed {
                key: key.clone(),
                claim: claim.clone(),
                age: self.lived().saturating_sub(slot.since),
            })
        });
        listed.take(most).collect()
    }

    pub(crate) fn mutated(&self, mutant: Mutant) -> bool {
        self.rules.mutant == Some(mutant)
    }

    /// How long processes on this disk have run, as far as known: only time that one of them has seen.
    pub(crate) fn lived(&self) -> Millis {
        self.lived_before + (self.now - self.started)
    }

    /// Splitmix64.
    fn draw(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Each attempt takes two rounds: the second is for the word after a claim.
    fn next_ballot(&mut self) -> Ballot {
        let round = self.round + 1;
        self.round += 2;
        Ballot {
            round,
            node: self.me.into(),
            life: self.life,
        }
    }

    pub(crate) fn send(&mut self, to: Ipv4Addr, message: Message) {
        if to == self.me {
            self.local.push_back(message);
        } else {
            self.out.push(Action::Send { to, message });
        }
    }

    fn voters(&self) -> Vec<Ipv4Addr> {
        let voters = self.set.iter().flat_map(|set| &set.voters);
        voters.map(|voter| voter.node).collect()
    }

    fn counts(&self, from: Ipv4Addr, epoch: u64, disk: u64) -> bool {
        let voter = Voter { node: from, disk };
        self.mutated(Mutant::AnyEpoch)
            || self
                .set
                .as_ref()
                .is_some_and(|set| set.epoch == epoch && set.voters.contains(&voter))
    }

    /// Whether questions of that epoch are to be answered; who asks in an older one is told.
    fn votes_in(&mut self, from: Ipv4Addr, epoch: u64) -> bool {
        if self.mutated(Mutant::AnyEpoch) {
            return true;
        }
        if epoch < self.epoch()
            && let Some(set) = self.set.clone()
        {
            self.send(from, Message::Newer(set));
        }
        epoch == self.epoch() && self.is_active()
    }

    fn rank(&self, epoch: u64, ballot: Ballot) -> (u64, Ballot) {
        match self.mutated(Mutant::RankWithoutEpoch) {
            true => (0, ballot),
            false => (epoch, ballot),
        }
    }

    fn cell_rank(&self, cell: &Cell) -> (u64, Ballot) {
        self.rank(cell.epoch, cell.ballot)
    }

    // Writing.

    /// Sends once writes have come to this level.
    pub(crate) fn send_durable(&mut self, to: Ipv4Addr, message: Message, level: u64) {
        if level <= self.done || self.mutated(Mutant::BeforeTheSync) {
            return self.send(to, message);
        }
        // Asked again and again while the disk hangs: as good as lost on the way.
        if self.owed.len() < OWED {
            self.owed.push_back((level, to, message));
        }
    }

    /// The level at which all that is held now is durable.
    pub(crate) fn level_of_all(&self) -> u64 {
        if self.head_dirty || !self.dirty.is_empty() || !self.dropped.is_empty() {
            self.level
        } else {
            self.level - 1
        }
    }

    fn write(&mut self) {
        let dirty = self.head_dirty || !self.dirty.is_empty() || !self.dropped.is_empty();
        if !dirty || self.outstanding.is_some() || self.rewrite_at.is_some_and(|at| self.now < at) {
            return;
        }
        self.rewrite_at = None;
        let head = Head {
            set: self.set.clone(),
            active_in: self.active_in,
            ceiling: self.ceiling,
            forgotten: self.forgotten,
            lived: self.lived(),
        };
        self.head_dirty = false;
        let cells = take(&mut self.dirty).into_iter().filter_map(|key| {
            let slot = self.slots.get(&key)?;
            let cell = slot.cell.clone()?;
            let since = slot.since;
            Some(Kept { key, cell, since })
        });
        let record = Record {
            head,
            cells: cells.collect(),
            dropped: take(&mut self.dropped).into_iter().collect(),
        };
        self.noted = self.now;
        self.next_write += 1;
        self.outstanding = Some((self.next_write, self.level, record.clone()));
        self.level += 1;
        let write = self.next_write;
        self.out.push(Action::Write { write, record });
    }

    fn written(&mut self, write: u64, ok: bool) {
        let Some((_, level, record)) = self.outstanding.take_if(|(number, ..)| *number == write)
        else {
            return;
        };
        if !ok {
            self.out.push(Action::Log(
                "a write of orders failed; it is tried again".into(),
            ));
            self.head_dirty = true;
            let cells = record.cells.into_iter().map(|kept| kept.key);
            for key in cells.chain(record.dropped) {
                match self.slots.get(&key).is_some_and(|slot| slot.cell.is_some()) {
                    true => self.dirty.insert(key),
                    false => self.dropped.insert(key),
                };
            }
            self.rewrite_at = Some(self.now + self.rules.rewrite);
            return;
        }
        self.done = level;
        self.active_on_disk = record.head.active_in;
        self.ceiling_on_disk = record.head.ceiling;
        let owed = take(&mut self.owed);
        for (level, to, message) in owed {
            match level <= self.done {
                true => self.send(to, message),
                false => self.owed.push_back((level, to, message)),
            }
        }
    }

    // The registers.

    /// Holds a value in memory, to be written; `since` on this disk's count of time lived.
    pub(crate) fn hold(&mut self, key: &Key, cell: Cell, since: Millis) {
        self.unindex(key);
        let rank = self.cell_rank(&cell);
        let rank_in_voters = self.place();
        let due = self.due_at(&cell.value, since, rank_in_voters);
        let (level, slot) = (self.level, self.slots.entry(key.clone()).or_default());
        slot.promised = slot.promised.max(rank);
        (slot.since, slot.due, slot.level) = (since, due, level);
        self.full_slots += 1;
        if let Value::Done(_, outcome) = &cell.value {
            self.bytes += outcome.room();
        }
        if let Value::Unknown(_) = cell.value {
            self.unknown.insert(key.clone());
        }
        slot.cell = Some(cell);
        if let Some(due) = due {
            self.due.insert((due, key.clone()));
        }
        self.dirty.insert(key.clone());
        self.dropped.remove(key);
    }

    fn unindex(&mut self, key: &Key) {
        let Some(slot) = self.slots.get(key) else {
            return;
        };
        let Some(cell) = &slot.cell else { return };
        if let Some(due) = slot.due {
            self.due.remove(&(due, key.clone()));
        }
        if let Value::Done(_, outcome) = &cell.value {
            self.bytes -= outcome.room();
        }
        self.full_slots -= 1;
        self.unknown.remove(key);
    }

    pub(crate) fn forget(&mut self, key: &Key) {
        self.unindex(key);
        if self
            .slots
            .remove(key)
            .is_some_and(|slot| slot.cell.is_some())
        {
            self.dirty.remove(key);
            self.dropped.insert(key.clone());
        }
    }

    /// Which of the voters this is: they take turns at what is due.
    fn place(&self) -> u64 {
        let place = self.voters().iter().position(|&node| node == self.me);
        place.unwrap_or(0) as u64
    }

    fn due_at(&self, value: &Value, since: Millis, place: u64) -> Option<Millis> {
        let after = match value {
            Value::Claimed(claim) => claim.patience + self.rules.grace,
            Value::Done(..) if self.mutated(Mutant::EndsEarly) => 0,
            Value::Done(..) => self.rules.keep,
            Value::NotRun(_) => self.rules.spare,
            Value::Ended => self.rules.turn,
            Value::Unknown(_) => return None,
        };
        Some(since + after + place * self.rules.turn)
    }

    /// Whether a round this high may be promised or stored, and what it takes otherwise.
    fn admits(&self, key: &Key, epoch: u64, ballot: Ballot) -> Result<(), u64> {
        if ballot.round <= self.floor {
            return Err(self.floor);
        }
        match self.slots.get(key) {
            Some(slot) if self.rank(epoch, ballot) < slot.promised => Err(slot.promised.1.round),
            None if (epoch, ballot.round) <= self.forgotten => Err(self.forgotten.1),
            _ => Ok(()),
        }
    }

    /// Raises the ceiling well before rounds come to it; the level at which this round may be promised.
    fn ceil(&mut self, round: u64) -> u64 {
        self.round = self.round.max(round);
        if round + AHEAD / 2 >= self.ceiling {
            self.ceiling = round + AHEAD;
            self.head_dirty = true;
        }
        match round < self.ceiling_on_disk {
            true => 0,
            false => self.level_of_all(),
        }
    }

    fn is_full(&self, key: &Key) -> bool {
        let held = self.slots.get(key).is_some_and(|slot| slot.cell.is_some());
        !held && self.full_slots >= self.rules.keys
    }

    fn refuse(&mut self, from: Ipv4Addr, key: Key, ballot: Ballot, why: Option<u64>) {
        let message = Message::Refuse {
            epoch: self.epoch(),
            disk: self.disk,
            key,
            ballot,
            round: why.unwrap_or(0),
            full: why.is_none(),
        };
        self.send(from, message);
    }

    fn on_prepare(&mut self, from: Ipv4Addr, epoch: u64, key: Key, ballot: Ballot) {
        if !self.votes_in(from, epoch) {
            return;
        }
        if let Err(round) = self.admits(&key, epoch, ballot) {
            return self.refuse(from, key, ballot, Some(round));
        }
        if self.is_full(&key) {
            return self.refuse(from, key, ballot, None);
        }
        self.spare_promises();
        let level = self.ceil(ballot.round + 1);
        let promised = self.rank(epoch, ballot);
        let slot = self.slots.entry(key.clone()).or_default();
        slot.promised = promised;
        let (cell, level) = (slot.cell.clone(), level.max(slot.level));
        let disk = self.disk;
        let message = Message::Promise {
            epoch,
            disk,
            key,
            ballot,
            cell,
        };
        self.send_durable(from, message, level);
    }

    /// Forgets promises of keys that hold nothing, when they are many: absent ones then take nothing as low.
    fn spare_promises(&mut self) {
        if self.slots.len() - self.full_slots < self.rules.requests.max(1) * 4 {
            return;
        }
        let absent = self.slots.values().filter(|slot| slot.cell.is_none());
        let highest = absent.map(|slot| slot.promised).max();
        if let Some((epoch, ballot)) = highest {
            self.forgotten = self.forgotten.max((epoch, ballot.round));
        }
        self.slots.retain(|_, slot| slot.cell.is_some());
    }

    fn on_store(&mut self, from: Ipv4Addr, key: Key, cell: Cell) {
        let (epoch, ballot) = (cell.epoch, cell.ballot);
        if !self.votes_in(from, epoch) {
            return;
        }
        let rank = self.cell_rank(&cell);
        let slot = self.slots.get(&key);
        let held = slot.and_then(|slot| slot.cell.as_ref());
        if held.is_none_or(|held| self.cell_rank(held) != rank) {
            if let Err(round) = self.admits(&key, epoch, ballot) {
                return self.refuse(from, key, ballot, Some(round));
            }
            if self.is_full(&key) {
                return self.refuse(from, key, ballot, None);
            }
            let same = held.is_some_and(|held| held.value == cell.value);
            let since = match slot {
                Some(slot) if same => slot.since,
                _ => self.lived(),
            };
            let claimed = matches!(cell.value, Value::Claimed(_));
            self.hold(&key, cell, since);
            if claimed && let Some(slot) = self.slots.get_mut(&key) {
                slot.promised.1.round += 1;
            }
            if !same {
                self.wake(&key);
            }
        }
        let level = self.ceil(ballot.round + 1);
        let level = level.max(self.slots.get(&key).map_or(0, |slot| slot.level));
        let disk = self.disk;
        let message = Message::Stored {
            epoch,
            disk,
            key,
            ballot,
        };
        self.send_durable(from, message, level);
    }

    fn on_drop(&mut self, epoch: u64, key: &Key, ballot: Ballot) {
        let slot = self.slots.get(key);
        let cell = slot.and_then(|slot| slot.cell.as_ref());
        let ended = cell.is_some_and(|cell| {
            cell.value == Value::Ended && (cell.epoch, cell.ballot) == (epoch, ballot)
        });
        if ended && epoch == self.epoch() {
            self.forgotten = self.forgotten.max((epoch, ballot.round));
            self.forget(key);
        }
    }

    // Proposing.

    fn say(&mut self, ticket: Option<u64>, key: Key, word: Word, wait: Millis) {
        if self.requests >= self.rules.requests {
            return self.answer(ticket, Answer::Unavailable);
        }
        let word = self.fitted(word);
        let waits = if matches!(word, Word::Claim(_)) {
            wait
        } else {
            0
        };
        self.requests += 1;
        let work = self.work.entry(key.clone()).or_default();
        // What a hive does by itself comes again; nobody waits behind it.
        let own = |bid: &mut Bid| bid.request.ticket.is_none();
        if work.bid.take_if(own).is_some() {
            self.requests -= 1;
        }
        work.queue.push_back(Request {
            ticket,
            word,
            until: self.now + self.rules.patience.max(waits),
            waits_until: self.now + waits,
            not_before: self.now,
            last: Answer::Unavailable,
        });
        self.pump(&key);
    }

    /// Without the body, if it is long or there is no room for it.
    fn fitted(&self, word: Word) -> Word {
        match word {
            Word::Done(owner, outcome)
                if outcome.room() > self.rules.body
                    || self.bytes + outcome.room() > self.rules.bytes =>
            {
                let headers = Vec::new();
                let body = None;
                Word::Done(
                    owner,
                    Outcome {
                        headers,
                        body,
                        ..outcome
                    },
                )
            }
            word => word,
        }
    }

    fn answer(&mut self, ticket: Option<u64>, answer: Answer) {
        if let Some(ticket) = ticket {
            self.out.push(Action::Answered { ticket, answer });
        }
    }

    /// Something became of the key: those who wait for it look again.
    fn wake(&mut self, key: &Key) {
        let now = self.now;
        if let Some(work) = self.work.get_mut(key) {
            work.queue
                .iter_mut()
                .for_each(|request| request.not_before = now);
        }
        self.pump(key);
    }

    /// Begins the next request of a key, if none is under way.
    fn pump(&mut self, key: &Key) {
        let now = self.now;
        let Some(work) = self.work.get_mut(key) else {
            return;
        };
        if work.bid.is_some() {
            return;
        }
        let ready = work.queue.iter().position(|r| r.not_before <= now);
        let Some(request) = ready.and_then(|at| work.queue.remove(at)) else {
            if work.queue.is_empty() {
                self.work.remove(key);
            }
            return;
        };
        let lead = match request.word {
            Word::Claim(_) => None,
            _ => self.leads.remove(key),
        };
        let mut bid = Bid {
            request,
            ballot: Ballot::default(),
            phase: Phase::Asking(BTreeMap::new()),
            refused: BTreeSet::new(),
            full: BTreeSet::new(),
            again: now + self.rules.retry,
            attempts: 0,
        };
        if let Some(lead) = lead
            && let (Some(value), answer) = turn(&bid.request.word, Some(&lead.value))
        {
            bid.ballot = lead.ballot;
            bid.phase = self.storing(lead.ballot, value, answer);
        } else {
            bid.ballot = self.next_ballot();
        }
        self.bring(key, bid);
    }

    fn storing(&self, ballot: Ballot, value: Value, answer: Answer) -> Phase {
        let epoch = self.epoch();
        Phase::Storing {
            cell: Box::new(Cell {
                epoch,
                ballot,
                value,
            }),
            answer,
            stored: BTreeSet::new(),
        }
    }

    /// Says a bid's present question to the voters that have not answered it, and keeps it.
    fn bring(&mut self, key: &Key, bid: Bid) {
        let epoch = self.epoch();
        let ballot = bid.ballot;
        let (message, answered): (_, BTreeSet<_>) = match &bid.phase {
            Phase::Asking(answers) => (
                Message::Prepare {
                    epoch,
                    key: key.clone(),
                    ballot,
                },
                answers.keys().copied().collect(),
            ),
            Phase::Storing { cell, stored, .. } => (
                Message::Store {
                    key: key.clone(),
                    cell: (**cell).clone(),
                },
                stored.clone(),
            ),
            Phase::Resting(_) => {
                self.work.entry(key.clone()).or_default().bid = Some(bid);
                return;
            }
        };
        self.work.entry(key.clone()).or_default().bid = Some(bid);
        for node in self.voters() {
            if !answered.contains(&node) {
                self.send(node, message.clone());
            }
        }
    }

    fn take_bid(&mut self, key: &Key, ballot: Ballot) -> Option<Bid> {
        let work = self.work.get_mut(key)?;
        work.bid.take_if(|bid| bid.ballot == ballot)
    }

    fn keep_bid(&mut self, key: &Key, bid: Bid) {
        self.work.entry(key.clone()).or_default().bid = Some(bid);
    }

    fn majority(&self) -> usize {
        self.set.as_ref().map_or(usize::MAX, VoterSet::majority)
    }

    fn on_promise(&mut self, from: Ipv4Addr, key: &Key, ballot: Ballot, cell: Option<Cell>) {
        let Some(mut bid) = self.take_bid(key, ballot) else {
            return;
        };
        let Phase::Asking(answers) = &mut bid.phase else {
            return self.keep_bid(key, bid);
        };
        answers.insert(from, cell);
        if answers.len() < self.majority() {
            return self.keep_bid(key, bid);
        }
        let best = answers.values().flatten();
        let best = best.max_by_key(|cell| self.cell_rank(cell)).cloned();
        let agreed = answers.values().all(|cell| *cell == best);
        let held = best.as_ref().map(|cell| &cell.value);
        let held = match held {
            Some(Value::Unknown(_)) if self.mutated(Mutant::UnknownIsAbsent) => None,
            held => held,
        };
        let finishing = matches!(
            (&bid.request.word, held),
            (Word::End(_), Some(Value::Ended))
        );
        match (turn(&bid.request.word, held), best) {
            ((Some(value), answer), _) => bid.phase = self.storing(ballot, value, answer),
            // Only what a majority holds may be told.
            ((None, answer), Some(best)) if !agreed || finishing => {
                bid.phase = self.storing(ballot, best.value, answer);
            }
            ((None, answer), _) => return self.finish(key, bid, answer),
        }
        bid.again = self.now + self.rules.retry;
        bid.refused.clear();
        self.bring(key, bid);
    }

    fn on_stored(&mut self, from: Ipv4Addr, key: &Key, ballot: Ballot) {
        let Some(mut bid) = self.take_bid(key, ballot) else {
            return;
        };
        let Phase::Storing {
            cell,
            answer,
            stored,
        } = &mut bid.phase
        else {
            return self.keep_bid(key, bid);
        };
        stored.insert(from);
        let ends = cell.value == Value::Ended && !self.mutated(Mutant::ForgottenByMajority);
        let enough = match &self.set {
            Some(set) if ends => set.voters.len(),
            Some(set) => set.majority(),
            None => usize::MAX,
        };
        if stored.len() < enough {
            return self.keep_bid(key, bid);
        }
        let (cell, answer) = (cell.clone(), answer.clone());
        if cell.value == Value::Ended {
            for node in self.voters() {
                let (epoch, key) = (cell.epoch, key.clone());
                self.send(node, Message::Drop { epoch, key, ballot });
            }
        } else if let Value::Claimed(_) = &cell.value
            && answer == Answer::Granted
            && self.leads.len() < self.rules.requests
        {
            let mut ballot = ballot;
            ballot.round += 1;
            let value = cell.value;
            self.leads.insert(key.clone(), Lead { ballot, value });
        }
        self.finish(key, bid, answer);
    }

    fn on_refuse(&mut self, from: Ipv4Addr, key: &Key, ballot: Ballot, round: u64, full: bool) {
        self.round = self.round.max(round);
        let Some(mut bid) = self.take_bid(key, ballot) else {
            return;
        };
        if let Phase::Resting(_) = bid.phase {
            return self.keep_bid(key, bid);
        }
        bid.refused.insert(from);
        if full {
            bid.full.insert(from);
        }
        let voters = self.voters().len();
        if bid.refused.len() <= voters - self.majority().min(voters) {
            return self.keep_bid(key, bid);
        }
        if !bid.full.is_empty() && bid.full.len() == bid.refused.len() {
            return self.finish(key, bid, Answer::Full);
        }
        bid.attempts += 1;
        let rest = match bid.attempts {
            1 => 0,
            n => 1 + self.draw() % (8 * u64::from(n.min(16))),
        };
        bid.phase = Phase::Resting(self.now + rest);
        if rest == 0 {
            self.begin_again(key, bid);
        } else {
            self.keep_bid(key, bid);
        }
    }

    fn begin_again(&mut self, key: &Key, mut bid: Bid) {
        bid.ballot = self.next_ballot();
        bid.phase = Phase::Asking(BTreeMap::new());
        bid.refused.clear();
        bid.full.clear();
        bid.again = self.now + self.rules.retry;
        self.bring(key, bid);
    }

    /// A word is decided: told, unless it is a claim that may wait for another's outcome.
    fn finish(&mut self, key: &Key, bid: Bid, answer: Answer) {
        let mut request = bid.request;
        if answer == Answer::AtWork && self.now < request.waits_until {
            request.until = request.waits_until;
            request.last = Answer::AtWork;
            request.not_before = self.now + self.rules.look;
            self.work
                .entry(key.clone())
                .or_default()
                .queue
                .push_back(request);
        } else {
            self.requests -= 1;
            self.answer(request.ticket, answer);
        }
        self.pump(key);
    }

    /// Starts all that is under way again, for a new set.
    pub(crate) fn restart(&mut self) {
        for key in self.work.keys().cloned().collect::<Vec<_>>() {
            let bid = self.work.get_mut(&key).and_then(|work| work.bid.take());
            if let Some(bid) = bid {
                self.begin_again(&key, bid);
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        self.take_over();
        for key in self.work.keys().cloned().collect::<Vec<_>>() {
            self.tick_work(&key);
        }
        if self.is_active() {
            self.end_what_is_due();
        }
        if self.full_slots > 0 && now >= self.noted + self.rules.note {
            self.noted = now;
            self.head_dirty = true;
        }
    }

    fn tick_work(&mut self, key: &Key) {
        let now = self.now;
        let Some(work) = self.work.get_mut(key) else {
            return;
        };
        let late = work.queue.extract_if_late(now);
        let bid = work.bid.take();
        for request in late {
            self.requests -= 1;
            self.answer(request.ticket, request.last);
        }
        match bid {
            Some(bid) if now >= bid.request.until => {
                self.requests -= 1;
                self.answer(bid.request.ticket, bid.request.last);
            }
            Some(bid) => match bid.phase {
                Phase::Resting(at) if now >= at => self.begin_again(key, bid),
                Phase::Resting(_) => self.keep_bid(key, bid),
                _ if now >= bid.again => {
                    let mut bid = bid;
                    bid.again = now + self.rules.retry;
                    self.bring(key, bid);
                }
                _ => self.keep_bid(key, bid),
            },
            None => {}
        }
        self.pump(key);
    }

    fn end_what_is_due(&mut self) {
        let lived = self.lived();
        for _ in 0..ENDS {
            let Some((due, key)) = self.due.first().cloned() else {
                return;
            };
            if due > lived || self.requests >= self.rules.requests {
                return;
            }
            self.due.pop_first();
            let again = lived + self.rules.turn * (1 + self.voters().len() as u64);
            let Some(slot) = self.slots.get_mut(&key) else {
                continue;
            };
            let Some(cell) = &slot.cell else { continue };
            let word = match &cell.value {
                Value::Claimed(claim) => Word::Lost(claim.owner),
                Value::Done(claim, _) => Word::End(claim.owner),
                Value::NotRun(owner) => Word::End(*owner),
                Value::Ended => Word::End(Default::default()),
                Value::Unknown(_) => continue,
            };
            slot.due = Some(again);
            self.due.insert((again, key.clone()));
            self.say(None, key, word, 0);
        }
    }

    fn message(&mut self, from: Ipv4Addr, message: Message) {
        match message {
            Message::Prepare { epoch, key, ballot } => self.on_prepare(from, epoch, key, ballot),
            Message::Promise {
                epoch,
                disk,
                key,
                ballot,
                cell,
            } => {
                if self.counts(from, epoch, disk) {
                    self.on_promise(from, &key, ballot, cell);
                }
            }
            Message::Refuse {
                epoch,
                disk,
                key,
                ballot,
                round,
                full,
            } => {
                if self.counts(from, epoch, disk) {
                    self.on_refuse(from, &key, ballot, round, full);
                }
            }
            Message::Store { key, cell } => self.on_store(from, key, cell),
            Message::Stored {
                epoch,
                disk,
                key,
                ballot,
            } => {
                if self.counts(from, epoch, disk) {
                    self.on_stored(from, &key, ballot);
                }
            }
            Message::Drop { epoch, key, ballot } => self.on_drop(epoch, &key, ballot),
            Message::Take { set, after } => self.on_take(from, set, after),
            Message::State {
                epoch,
                disk,
                active_in,
                forgotten,
                after,
                cells,
                more,
            } => {
                self.on_state(from, epoch, disk, active_in, forgotten, after, cells, more);
            }
            Message::Newer(set) => self.adopt(set),
        }
    }
}

trait Late {
    fn extract_if_late(&mut self, now: Millis) -> Vec<Request>;
}

impl Late for VecDeque<Request> {
    fn extract_if_late(&mut self, now: Millis) -> Vec<Request> {
        let (late, rest) = take(self).into_iter().partition(|r| now >= r.until);
        *self = rest;
        Vec::from_iter::<VecDeque<_>>(late)
    }
}
