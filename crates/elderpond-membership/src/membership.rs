//! The state of one hive's view and how it moves.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use crate::message::{About, Kind, Packet, Record, Status};
use crate::pace::{Millis, Pace};

/// Records in a packet that holds all, and in an ordinary one.
const ALL_NEWS: usize = 16;
const SOME_NEWS: usize = 6;
/// Members known at most, and second opinions under way for others.
const MEMBERS: usize = 64;
const ERRANDS: usize = 32;
/// Mean span between knocks at a seed or a member that is down, in ms, and knocks a call at most.
const KNOCK_EVERY: Millis = 1000;
const KNOCKS: usize = 2;
/// Farewells sent at once; those who miss theirs are told in turn or by others.
const FAREWELLS: usize = 16;
/// Rounds in which each member has its turn.
const TURN: usize = 3;
/// A silence of the host longer than so many rounds is its own standstill, nobody else's.
const STANDSTILL: Millis = 4;

/// What happened.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// Time has passed; to be told every 50 ms or so.
    Tick,
    /// A packet has come.
    Packet {
        /// Where from.
        from: Ipv4Addr,
        /// The packet.
        packet: Packet,
    },
    /// Addresses where hives may be; they replace those known before.
    Seeds(&'a [Ipv4Addr]),
    /// This hive is about to stop.
    Leave,
}

/// What the host is to do, or to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a packet.
    Send {
        /// Where to.
        to: Ipv4Addr,
        /// The packet.
        packet: Packet,
    },
    /// A hive is there, for the first time or again.
    Up(Ipv4Addr),
    /// A hive did not answer; it still counts as there.
    Suspect(Ipv4Addr),
    /// A hive is down.
    Down(Ipv4Addr),
    /// A hive has left as planned.
    Left(Ipv4Addr),
}

/// How a member stands, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member<'a> {
    /// Which hive.
    pub node: Ipv4Addr,
    /// How it stands.
    pub status: Status,
    /// Its incarnation.
    pub incarnation: u64,
    /// What it says of itself.
    pub about: &'a About,
    /// Since when it stands so, in ms.
    pub since: Millis,
    /// When the last probe of this hive that it answered directly was sent, in ms.
    pub answered: Option<Millis>,
}

#[derive(Debug)]
struct Known {
    record: Record,
    since: Millis,
    answered: Option<Millis>,
    /// How often this was told to others.
    told: u32,
}

#[derive(Debug)]
struct Probe {
    node: Ipv4Addr,
    /// From when its answer is waited for; put off when the host stood still.
    sent: Millis,
    /// When it was first sent: its answer shows contact from then on, however late it is read.
    began: Millis,
    /// Whether helpers have been asked.
    asked: bool,
    /// Whether no answer means nothing: a knock, or an errand.
    idle: bool,
    /// Who wants to know, and their number for it.
    errand: Option<(Ipv4Addr, u32)>,
}

/// One hive's view of all.
#[derive(Debug)]
pub struct Membership {
    now: Millis,
    own: Record,
    pace: Pace,
    random: u64,
    seeds: BTreeSet<Ipv4Addr>,
    known: BTreeMap<Ipv4Addr, Known>,
    /// Who is probed next, from the end.
    turn: Vec<Ipv4Addr>,
    probes: BTreeMap<u32, Probe>,
    knock_at: BTreeMap<Ipv4Addr, Millis>,
    round_at: Millis,
    seq: u32,
}

impl Membership {
    /// A hive that knows itself and some addresses.
    ///
    /// `now` is in ms on the steady clock of all later calls. The incarnation is to be higher than that of
    /// an earlier life: the wall clock at the start. If it is not, others tell, and it is raised.
    pub fn new(
        now: Millis,
        me: Ipv4Addr,
        incarnation: u64,
        about: About,
        seeds: &[Ipv4Addr],
        pace: Pace,
        seed: u64,
    ) -> Self {
        let mut membership = Self {
            now,
            own: Record {
                node: me,
                incarnation,
                status: Status::Alive,
                about: about.bounded(),
            },
            pace,
            random: seed ^ u64::from(u32::from(me)),
            seeds: BTreeSet::new(),
            known: BTreeMap::new(),
            turn: Vec::new(),
            probes: BTreeMap::new(),
            knock_at: BTreeMap::new(),
            round_at: now,
            seq: 0,
        };
        membership.seq = membership.draw(u64::from(u32::MAX)) as u32;
        membership.set_seeds(seeds);
        membership
    }

    /// Takes in what has happened by `now` (ms) and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event<'_>, out: &mut Vec<Action>) {
        self.pass(now);
        match event {
            Event::Tick => self.tick(out),
            Event::Packet { from, packet } => self.receive(from, packet, out),
            Event::Seeds(seeds) => self.set_seeds(seeds),
            Event::Leave => self.leave(out),
        }
    }

    /// The hives that are there, in order: this one unless it has left, and suspects too.
    pub fn alive(&self) -> impl Iterator<Item = Ipv4Addr> {
        let own = (self.own.status == Status::Alive).then_some(self.own.node);
        let others = self.known.values().filter(|known| known.there());
        let all: BTreeSet<Ipv4Addr> = own
            .into_iter()
            .chain(others.map(|known| known.record.node))
            .collect();
        all.into_iter()
    }

    /// Whether a hive answered directly a probe that this one sent within the last `span` ms. Not when the
    /// answer is read counts: one that waited while this host stood still shows no contact now.
    pub fn reached_within(&self, now: Millis, node: Ipv4Addr, span: Millis) -> bool {
        let answered = self.known.get(&node).and_then(|known| known.answered);
        node == self.own.node || answered.is_some_and(|at| now.saturating_sub(at) <= span)
    }

    /// What a hive says of itself, this one included.
    pub fn about(&self, node: Ipv4Addr) -> Option<&About> {
        if node == self.own.node {
            return Some(&self.own.about);
        }
        self.known.get(&node).map(|known| &known.record.about)
    }

    /// The present incarnation of this hive.
    pub fn incarnation(&self) -> u64 {
        self.own.incarnation
    }

    /// How the other members stand, for operators.
    pub fn members(&self) -> impl Iterator<Item = Member<'_>> {
        self.known.values().map(|known| Member {
            node: known.record.node,
            status: known.record.status,
            incarnation: known.record.incarnation,
            about: &known.record.about,
            since: known.since,
            answered: known.answered,
        })
    }

    // ---- Time ----

    /// Moves the clock on. What fell due while the host stood still is put off, since nobody's answer
    /// could be taken in.
    fn pass(&mut self, now: Millis) {
        let gap = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        if gap <= STANDSTILL.saturating_mul(self.pace.probe_every) {
            return;
        }
        for probe in self.probes.values_mut() {
            probe.sent = probe.sent.saturating_add(gap);
        }
        for known in self.known.values_mut().filter(|known| known.there()) {
            known.since = known.since.saturating_add(gap);
        }
    }

    fn tick(&mut self, out: &mut Vec<Action>) {
        if self.own.status == Status::Alive {
            self.chase(out);
            self.judge(out);
            self.knock(out);
        }
        if self.now >= self.round_at {
            let early = self.draw(self.pace.probe_every / 4 + 1);
            self.round_at = self.now + self.pace.probe_every.saturating_sub(early);
            self.round(out);
        }
    }

    /// Probes the next few members in turn.
    fn round(&mut self, out: &mut Vec<Action>) {
        // However many there are, none waits longer than five rounds: two turns of three, first and last.
        let there = self.known.values().filter(|known| known.there()).count();
        let mut left = self.pace.fan.max(there.div_ceil(TURN));
        let mut fresh = true;
        while left > 0 {
            let Some(node) = self.turn.pop() else {
                if !std::mem::take(&mut fresh) {
                    return;
                }
                self.deal();
                continue;
            };
            let there = self.known.get(&node).is_some_and(Known::there);
            if there && !self.probes.values().any(|p| p.node == node && !p.idle) {
                left -= 1;
                if self.own.status == Status::Left {
                    let seq = self.next_seq();
                    self.send(node, Kind::Ping { seq, all: false }, None, out); // only tells
                } else {
                    self.probe(node, false, None, out);
                }
            }
        }
    }

    /// Deals a new order of turns.
    fn deal(&mut self) {
        let there = self.known.values().filter(|known| known.there());
        self.turn = there.map(|known| known.record.node).collect();
        for place in (1..self.turn.len()).rev() {
            let other = self.draw(place as u64 + 1) as usize;
            self.turn.swap(place, other);
        }
    }

    /// Follows up probes that were not answered: another try and second opinions, then suspicion.
    fn chase(&mut self, out: &mut Vec<Action>) {
        let (now, wait) = (self.now, self.pace.answer_within);
        let late = |probe: &Probe, waits: u64| now >= probe.sent.saturating_add(waits * wait);
        let due: Vec<(u32, Ipv4Addr)> = self
            .probes
            .iter()
            .filter(|(_, probe)| !probe.idle && !probe.asked && late(probe, 1))
            .map(|(seq, probe)| (*seq, probe.node))
            .collect();
        for (seq, node) in due {
            if let Some(probe) = self.probes.get_mut(&seq) {
                probe.asked = true;
            }
            self.send(node, Kind::Ping { seq, all: false }, None, out);
            for helper in self.helpers(node) {
                self.send(helper, Kind::Try { seq, node }, Some(node), out);
            }
        }
        let over: Vec<u32> = self
            .probes
            .iter()
            .filter(|(_, probe)| late(probe, 3))
            .map(|(seq, _)| *seq)
            .collect();
        for seq in over {
            let probe = self.probes.remove(&seq).filter(|probe| !probe.idle);
            let node = probe.map(|probe| probe.node);
            let Some(known) = node.and_then(|node| self.known.get(&node)) else {
                continue;
            };
            if known.record.status == Status::Alive {
                let mut record = known.record.clone();
                record.status = Status::Suspect;
                self.enter(record, out);
            }
        }
    }

    /// A few members to ask about another: those that answer, at random.
    fn helpers(&mut self, about: Ipv4Addr) -> Vec<Ipv4Addr> {
        let fit =
            |known: &&Known| known.record.status == Status::Alive && known.record.node != about;
        let fit = self.known.values().filter(fit);
        let mut fit: Vec<Ipv4Addr> = fit.map(|known| known.record.node).collect();
        let mut chosen = Vec::new();
        while chosen.len() < self.pace.helpers && !fit.is_empty() {
            let place = self.draw(fit.len() as u64) as usize;
            chosen.push(fit.swap_remove(place));
        }
        chosen
    }

    /// Ends suspicions that have lasted, and forgets who has long been away.
    fn judge(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let lasted = |known: &Known, span: Millis| now >= known.since.saturating_add(span);
        let over: Vec<Record> = self
            .known
            .values()
            .filter(|known| known.record.status == Status::Suspect)
            .filter(|known| lasted(known, self.pace.suspicion))
            .map(|known| known.record.clone())
            .collect();
        for mut record in over {
            record.status = Status::Down;
            self.enter(record, out);
        }
        let forget = self.pace.forget;
        self.known
            .retain(|_, known| known.there() || !lasted(known, forget));
    }

    /// Knocks at seeds and at members that are down, a few at a time, so that they are found again.
    fn knock(&mut self, out: &mut Vec<Action>) {
        let down = |known: &&Known| known.record.status == Status::Down;
        let down = self.known.values().filter(down);
        let mut doors: BTreeSet<Ipv4Addr> = down.map(|known| known.record.node).collect();
        doors.extend(&self.seeds);
        doors.retain(|node| !self.known.get(node).is_some_and(Known::there));
        self.knock_at.retain(|node, _| doors.contains(node));
        let mut due: Vec<(Millis, Ipv4Addr)> = doors
            .into_iter()
            .map(|node| (self.knock_at.get(&node).copied().unwrap_or(0), node))
            .filter(|(at, _)| *at <= self.now)
            .collect();
        due.sort_unstable();
        for (_, node) in due.into_iter().take(KNOCKS) {
            let spread = self.draw(KNOCK_EVERY / 2);
            let at = self.now + KNOCK_EVERY * 3 / 4 + spread;
            self.knock_at.insert(node, at);
            self.probe(node, true, None, out);
        }
    }

    // ---- Packets ----

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    fn probe(
        &mut self,
        node: Ipv4Addr,
        idle: bool,
        errand: Option<(Ipv4Addr, u32)>,
        out: &mut Vec<Action>,
    ) {
        let seq = self.next_seq();
        let (sent, asked) = (self.now, false);
        let probe = Probe {
            node,
            sent,
            began: sent,
            asked,
            idle,
            errand,
        };
        self.probes.insert(seq, probe);
        let all = !self.known.get(&node).is_some_and(Known::there);
        self.send(node, Kind::Ping { seq, all }, None, out);
    }

    fn receive(&mut self, from: Ipv4Addr, packet: Packet, out: &mut Vec<Action>) {
        let Packet { kind, own, news } = packet;
        if from == self.own.node || own.node != from {
            return; // an echo, or one that is known by another address
        }
        let first = !self.known.get(&from).is_some_and(Known::there);
        self.enter(own, out);
        // What a hive in doubt says of others is left aside, as it may be deaf; what it holds of this
        // one is not, or two that hold each other down would never meet.
        let sound = self.known.get(&from);
        let sound = sound.is_some_and(|known| known.record.status == Status::Alive);
        for record in news.into_iter().take(ALL_NEWS) {
            if record.node == self.own.node {
                self.refute(&record);
            } else if sound && record.node != from {
                self.hear(record, out);
            }
        }
        match kind {
            Kind::Ping { seq, all } => {
                let ack = Kind::Ack { seq };
                if all || first {
                    self.send_all(from, ack, out);
                } else {
                    self.send(from, ack, None, out);
                }
            }
            Kind::Ack { seq } => {
                if self
                    .probes
                    .get(&seq)
                    .is_some_and(|probe| probe.node == from)
                {
                    self.answered(seq, from, out);
                }
            }
            Kind::Try { seq, node } => {
                let errands = self.probes.values().filter(|p| p.errand.is_some());
                let may = errands.count() < ERRANDS && self.own.status == Status::Alive;
                if may && node != self.own.node && self.known.contains_key(&node) {
                    self.probe(node, true, Some((from, seq)), out);
                }
            }
            Kind::Tried { seq, node } => {
                if self
                    .probes
                    .get(&seq)
                    .is_some_and(|probe| probe.node == node)
                {
                    self.probes.remove(&seq);
                }
            }
        }
    }

    /// A probe was answered by whom it was sent to.
    fn answered(&mut self, seq: u32, from: Ipv4Addr, out: &mut Vec<Action>) {
        let probe = self.probes.remove(&seq);
        if let (Some(known), Some(probe)) = (self.known.get_mut(&from), &probe) {
            known.answered = known.answered.max(Some(probe.began));
        }
        if let Some((asker, seq)) = probe.and_then(|probe| probe.errand) {
            self.send(asker, Kind::Tried { seq, node: from }, Some(from), out);
        }
    }

    /// Sends a packet with the newest news, what is held of the receiver, and one more record.
    fn send(&mut self, to: Ipv4Addr, kind: Kind, also: Option<Ipv4Addr>, out: &mut Vec<Action>) {
        let most = 3 * (usize::BITS - self.known.len().leading_zeros()).max(1);
        let must = |known: &Known| {
            let node = known.record.node;
            also == Some(node) || node == to && known.record.status != Status::Alive
        };
        let mut fresh: Vec<&mut Known> = self
            .known
            .values_mut()
            .filter(|known| must(known) || known.told < most && known.record.node != to)
            .collect();
        fresh.sort_by_key(|known| (!must(known), std::cmp::Reverse(known.since)));
        let mut news = Vec::new();
        for known in fresh.into_iter().take(SOME_NEWS) {
            known.told = known.told.saturating_add(1);
            news.push(known.record.clone());
        }
        self.push(to, kind, news, out);
    }

    /// Sends all that is known.
    fn send_all(&mut self, to: Ipv4Addr, kind: Kind, out: &mut Vec<Action>) {
        let mut all: Vec<&Known> = self.known.values().collect();
        all.sort_by_key(|known| {
            let node = known.record.node;
            (node != to, !known.there(), std::cmp::Reverse(known.since))
        });
        let news = all.into_iter().take(ALL_NEWS);
        let news = news.map(|known| known.record.clone()).collect();
        self.push(to, kind, news, out);
    }

    fn push(&self, to: Ipv4Addr, kind: Kind, news: Vec<Record>, out: &mut Vec<Action>) {
        let own = self.own.clone();
        let packet = Packet { kind, own, news };
        out.push(Action::Send { to, packet });
    }

    fn leave(&mut self, out: &mut Vec<Action>) {
        if self.own.status == Status::Left {
            return;
        }
        self.own.status = Status::Left;
        self.probes.clear();
        let there: Vec<Ipv4Addr> = self
            .known
            .values()
            .filter(|known| known.there())
            .map(|known| known.record.node)
            .take(FAREWELLS)
            .collect();
        for node in there {
            let seq = self.next_seq();
            self.send(node, Kind::Ping { seq, all: false }, None, out);
        }
    }

    // ---- Words on hives ----

    /// Raises the own incarnation over a word that this hive is not as it is.
    fn refute(&mut self, record: &Record) {
        let mine = (self.own.incarnation, self.own.status);
        if self.own.status == Status::Alive && (record.incarnation, record.status) > mine {
            self.own.incarnation = record.incarnation.saturating_add(1);
        }
    }

    /// Takes another's word: that a hive is down counts as a suspicion, which this one ends itself.
    fn hear(&mut self, mut record: Record, out: &mut Vec<Action>) {
        let known = self.known.get(&record.node);
        if record.status == Status::Down && known.is_none_or(Known::there) {
            if known.is_none() {
                return; // or two would remind each other of it for ever
            }
            record.status = Status::Suspect;
        }
        self.enter(record, out);
    }

    /// Enters a word if it is newer than what is known.
    fn enter(&mut self, record: Record, out: &mut Vec<Action>) {
        let (node, status, now) = (record.node, record.status, self.now);
        let before = self.known.get(&node).map(|known| &known.record);
        let newer = before.is_none_or(|before| {
            (record.incarnation, status) > (before.incarnation, before.status)
        });
        let stranger = before.is_none() && (status >= Status::Down || self.known.len() >= MEMBERS);
        if node == self.own.node || !newer || stranger {
            return;
        }
        let was = before.map(|before| before.status);
        let answered = self.known.get(&node).and_then(|known| known.answered);
        let about = record.about.clone().bounded();
        // That a suspicion of a higher incarnation replaces another does not prolong it for ever: it was
        // refuted in between.
        let known = Known {
            record: Record { about, ..record },
            since: now,
            answered,
            told: 0,
        };
        self.known.insert(node, known);
        if status != Status::Alive {
            // Whoever hears of it looks soon: that also tells the hive, which can then refute.
            self.turn.retain(|other| *other != node);
            self.turn.push(node);
        }
        let there = |status: Status| status <= Status::Suspect;
        if there(status) && !was.is_some_and(there) {
            out.push(Action::Up(node));
        }
        match status {
            Status::Suspect if was != Some(Status::Suspect) => out.push(Action::Suspect(node)),
            Status::Down if was.is_some_and(there) => out.push(Action::Down(node)),
            Status::Left if was != Some(Status::Left) => out.push(Action::Left(node)),
            _ => {}
        }
    }

    // ---- Seeds and chance ----

    fn set_seeds(&mut self, seeds: &[Ipv4Addr]) {
        self.seeds = seeds.iter().copied().collect();
        self.seeds.remove(&self.own.node);
    }

    /// A number below `below`, which is above 0 (splitmix64).
    fn draw(&mut self, below: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % below.max(1)
    }
}

impl Known {
    fn there(&self) -> bool {
        self.record.status <= Status::Suspect
    }
}
