//! Combs on a network which loses, doubles and reorders, with disks which lose what was not synced.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::Ipv4Addr;

use bytes::Bytes;
use elderpond_consensus::{Action, Event, Found, Message, Record, Refusal, Replica, Rules, Stored};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub fn ip(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n)
}

#[derive(Default)]
pub struct Disk {
    pub stored: Option<Stored>,
    pub pending: VecDeque<(u64, Record)>,
    pub stalled: bool,
}

impl Disk {
    fn apply(&mut self, record: Record) {
        if let Some(head) = &record.head {
            match &mut self.stored {
                Some(stored) => stored.head = head.clone(),
                none => {
                    *none = Some(Stored {
                        head: head.clone(),
                        held: vec![],
                        marks: vec![],
                        numbers: None,
                    })
                }
            }
        }
        let stored = self.stored.as_mut().expect("the first record has a head");
        if let Some(held) = record.held {
            stored
                .held
                .retain(|old| old.tag.version != held.tag.version);
            stored.held.push(held);
            stored.held.sort_by_key(|held| held.tag.version);
            let newest = stored.held.last().map(|held| held.tag.version);
            let committed = stored.head.committed.map(|tag| tag.version);
            stored
                .held
                .retain(|held| [newest, committed].contains(&Some(held.tag.version)));
        }
        if let Some(numbers) = record.numbers {
            stored.numbers.get_or_insert_default().apply(numbers);
        }
        stored
            .marks
            .retain(|mark| !record.dropped.contains(&mark.key));
        for mark in record.marks {
            stored.marks.retain(|old| old.key != mark.key);
            stored.marks.push(mark);
        }
    }
}

pub struct Node {
    pub replica: Option<Replica>,
    pub disk: Disk,
    pub life: u64,
    pub first_start: bool,
    pub in_force: u64,
    pub marks: BTreeMap<String, Vec<u8>>,
    pub alive: Vec<Ipv4Addr>,
    /// When it was last up (ms).
    last_up: u64,
}

enum Happening {
    Tick(Ipv4Addr, u64),
    Deliver(Ipv4Addr, Ipv4Addr, Message),
    Synced(Ipv4Addr, u64),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Op {
    Propose(u64, Bytes),
    Read {
        at_least: u64,
    },
    Mark(String),
    /// What was acknowledged before.
    Confirm {
        at_least: u64,
        marks: BTreeSet<String>,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Acknowledged,
    Refused(Refusal),
    Read(Option<(u64, Bytes)>),
}

pub struct World {
    pub now: u64,
    pub rng: StdRng,
    pub rules: Rules,
    pub seeds: Vec<Ipv4Addr>,
    pub nodes: BTreeMap<Ipv4Addr, Node>,
    queue: BTreeMap<(u64, u64), Happening>,
    count: u64,
    pub loss: f64,
    pub double: f64,
    pub failing: f64,
    pub cut: BTreeSet<(Ipv4Addr, Ipv4Addr)>,
    /// Whether a machine that any other reaches counts as alive with all.
    pub second_opinions: bool,
    /// For so long a machine that crashed still counts as alive with the others (ms).
    pub detection: u64,
    pub ops: HashMap<u64, Op>,
    pub outcomes: BTreeMap<u64, Outcome>,
    /// The highest version acknowledged.
    pub acked: u64,
    /// The body of each number that was acknowledged or in force anywhere: one for ever.
    pub taken: BTreeMap<u64, Bytes>,
    /// Those whose acknowledgement was given.
    pub acked_bodies: BTreeMap<u64, Bytes>,
    /// Bodies that were refused for their number: never in force or acknowledged, before or after.
    refused: BTreeSet<(u64, Bytes)>,
    pub acked_marks: BTreeSet<String>,
    /// The highest version that was in force anywhere.
    in_force: u64,
    pub sent: u64,
    pub epochs: u64,
}

impl World {
    /// Founders 1..=n, all started.
    pub fn founded(seed: u64, founders: u8, rules: Rules) -> Self {
        let mut world = Self {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            rules,
            seeds: (1..=founders).map(ip).collect(),
            nodes: BTreeMap::new(),
            queue: BTreeMap::new(),
            count: 0,
            loss: 0.0,
            double: 0.0,
            failing: 0.0,
            cut: BTreeSet::new(),
            second_opinions: false,
            detection: 0,
            ops: HashMap::new(),
            outcomes: BTreeMap::new(),
            acked: 0,
            taken: BTreeMap::new(),
            acked_bodies: BTreeMap::new(),
            refused: BTreeSet::new(),
            acked_marks: BTreeSet::new(),
            in_force: 0,
            sent: 0,
            epochs: 0,
        };
        for n in 1..=founders {
            world.start(ip(n));
            world.nodes.get_mut(&ip(n)).unwrap().first_start = false;
        }
        world
    }

    pub fn start(&mut self, node: Ipv4Addr) {
        let first = self.now == 0;
        let fresh = Node {
            replica: None,
            disk: Disk::default(),
            life: 0,
            first_start: first,
            in_force: 0,
            marks: BTreeMap::new(),
            alive: vec![],
            last_up: 0,
        };
        let state = self.nodes.entry(node).or_insert(fresh);
        assert!(state.replica.is_none());
        state.life += 1;
        state.in_force = 0;
        state.marks.clear();
        state.alive.clear();
        let life = state.life;
        let found = Found {
            me: node,
            seeds: self.seeds.clone(),
            first_start: state.first_start,
            seed: self.rng.random(),
        };
        let mut out = Vec::new();
        let replica = Replica::new(
            self.now,
            found,
            self.rules.clone(),
            state.disk.stored.clone(),
            &mut out,
        );
        state.replica = Some(replica);
        self.act(node, out);
        let at = self.now + self.rng.random_range(1..100);
        self.later(at, Happening::Tick(node, life));
    }

    /// Loss of power: of what was being written, some may be there.
    pub fn crash(&mut self, node: Ipv4Addr) {
        let state = self.nodes.get_mut(&node).unwrap();
        state.replica = None;
        state.disk.stalled = false;
        let survive = self.rng.random_range(0..=state.disk.pending.len());
        let pending: Vec<_> = state.disk.pending.drain(..).take(survive).collect();
        for (_, record) in pending {
            state.disk.apply(record);
        }
    }

    pub fn wipe(&mut self, node: Ipv4Addr) {
        self.crash(node);
        self.nodes.get_mut(&node).unwrap().disk = Disk::default();
    }

    pub fn up(&self) -> Vec<Ipv4Addr> {
        self.nodes
            .iter()
            .filter(|(_, node)| node.replica.is_some())
            .map(|(&node, _)| node)
            .collect()
    }

    pub fn replica(&self, n: u8) -> &Replica {
        self.nodes[&ip(n)].replica.as_ref().expect("it is up")
    }

    fn later(&mut self, at: u64, happening: Happening) {
        self.count += 1;
        self.queue.insert((at, self.count), happening);
    }

    pub fn give(&mut self, node: Ipv4Addr, event: Event) {
        let now = self.now;
        let Some(replica) = self
            .nodes
            .get_mut(&node)
            .and_then(|node| node.replica.as_mut())
        else {
            return;
        };
        let mut out = Vec::new();
        replica.handle(now, event, &mut out);
        self.epochs = self.epochs.max(replica.epoch());
        self.act(node, out);
    }

    pub fn ask(&mut self, node: Ipv4Addr, op: Op) -> u64 {
        self.count += 1;
        let ticket = self.count;
        self.ops.insert(ticket, op.clone());
        let event = match op {
            Op::Propose(version, body) => Event::Propose {
                ticket,
                version,
                body,
            },
            Op::Read { .. } => Event::Read { ticket },
            Op::Confirm { .. } => Event::Confirm { ticket },
            Op::Mark(key) => Event::Mark {
                ticket,
                key,
                value: vec![7],
            },
        };
        self.give(node, event);
        ticket
    }

    pub fn propose(&mut self, n: u8, version: u64, body: &str) -> u64 {
        self.ask(
            ip(n),
            Op::Propose(version, Bytes::copy_from_slice(body.as_bytes())),
        )
    }

    pub fn read(&mut self, n: u8) -> u64 {
        let at_least = self.acked;
        self.ask(ip(n), Op::Read { at_least })
    }

    pub fn confirm(&mut self, n: u8) -> u64 {
        let (at_least, marks) = (self.acked, self.acked_marks.clone());
        self.ask(ip(n), Op::Confirm { at_least, marks })
    }

    fn act(&mut self, node: Ipv4Addr, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.post(node, to, message),
                Action::Write { write, record } => {
                    let disk = &mut self.nodes.get_mut(&node).unwrap().disk;
                    assert!(disk.pending.is_empty(), "one write at a time");
                    disk.pending.push_back((write, record));
                    if !disk.stalled {
                        let at = self.now + self.rng.random_range(1..25);
                        let life = self.nodes[&node].life;
                        self.later(at, Happening::Synced(node, life));
                    }
                }
                Action::Acknowledged { ticket } => self.ended(ticket, Outcome::Acknowledged),
                Action::Refused { ticket, why } => self.ended(ticket, Outcome::Refused(why)),
                Action::ReadDone { ticket, held } => {
                    self.confirmed(node, ticket, &held);
                    self.ended(ticket, Outcome::Read(held));
                }
                Action::InForce { version, body } => {
                    let state = self.nodes.get_mut(&node).unwrap();
                    assert!(version > state.in_force, "in force went back");
                    state.in_force = version;
                    self.in_force = self.in_force.max(version);
                    self.take(version, &body, "in force");
                }
                Action::MarkLearned { key, value } => {
                    let old = self
                        .nodes
                        .get_mut(&node)
                        .unwrap()
                        .marks
                        .insert(key, value.clone());
                    assert_ne!(old, Some(value), "learnt twice");
                }
                Action::Log(_) => {}
            }
        }
    }

    /// One body for each number, whatever came of it, and none that was refused.
    fn take(&mut self, version: u64, body: &Bytes, what: &str) {
        let taken = self.taken.entry(version).or_insert(body.clone());
        assert_eq!(taken, body, "r{version}: another body {what}");
        let refused = self.refused.contains(&(version, body.clone()));
        assert!(!refused, "r{version}: refused, and then {what}");
    }

    /// A confirmation ended there: all that was acknowledged before it began is known to that machine.
    fn confirmed(&self, node: Ipv4Addr, ticket: u64, held: &Option<(u64, Bytes)>) {
        let Op::Confirm { at_least, marks } = &self.ops[&ticket] else {
            return;
        };
        let version = held.as_ref().map_or(0, |held| held.0);
        assert!(
            version >= *at_least,
            "{node} confirms r{version}, r{at_least} was acknowledged"
        );
        for mark in marks {
            let known = self.nodes[&node].marks.contains_key(mark);
            assert!(known, "{node} confirms, and lacks the mark {mark}");
        }
    }

    fn ended(&mut self, ticket: u64, outcome: Outcome) {
        match (&self.ops[&ticket], &outcome) {
            (Op::Propose(version, body), Outcome::Acknowledged) => {
                let (version, body) = (*version, body.clone());
                self.take(version, &body, "acknowledged");
                self.acked = self.acked.max(version);
                self.acked_bodies.insert(version, body);
            }
            (Op::Propose(version, body), Outcome::Refused(Refusal::Conflict)) => {
                let taken = self.taken.get(version);
                assert_ne!(taken, Some(body), "r{version}: taken, and then refused");
                self.refused.insert((*version, body.clone()));
            }
            (Op::Mark(key), Outcome::Acknowledged) => {
                self.acked_marks.insert(key.clone());
            }
            (Op::Read { at_least }, Outcome::Read(held)) => {
                let read = held.as_ref().map_or(0, |held| held.0);
                assert!(
                    read >= *at_least,
                    "read {read} after {at_least} was acknowledged"
                );
                if let Some((version, body)) = held {
                    let acked = self.acked_bodies.get(version);
                    assert!(
                        acked.is_none_or(|acked| acked == body),
                        "another body than acknowledged"
                    );
                }
            }
            _ => {}
        }
        assert!(
            self.outcomes.insert(ticket, outcome).is_none(),
            "answered twice"
        );
    }

    fn post(&mut self, from: Ipv4Addr, to: Ipv4Addr, message: Message) {
        assert_ne!(from, to);
        self.sent += 1;
        if self.cut.contains(&(from, to)) || self.rng.random_bool(self.loss) {
            return;
        }
        if self.rng.random_bool(self.double) {
            let at = self.now + self.rng.random_range(1..800);
            self.later(at, Happening::Deliver(from, to, message.clone()));
        }
        let slow = self.loss > 0.0 && self.rng.random_bool(0.05);
        let at = self.now
            + if slow {
                self.rng.random_range(50..600)
            } else {
                self.rng.random_range(1..15)
            };
        self.later(at, Happening::Deliver(from, to, message));
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some(entry) = self
            .queue
            .first_entry()
            .filter(|entry| entry.key().0 <= end)
        {
            let ((at, _), happening) = entry.remove_entry();
            self.now = at;
            match happening {
                Happening::Tick(node, life) => {
                    if self
                        .nodes
                        .get(&node)
                        .is_none_or(|n| n.life != life || n.replica.is_none())
                    {
                        continue;
                    }
                    let alive = self.seen_alive_by(node);
                    if self.nodes[&node].alive != alive {
                        self.nodes.get_mut(&node).unwrap().alive = alive.clone();
                        self.give(node, Event::Alive(alive));
                    }
                    self.give(node, Event::Tick);
                    let at = self.now + self.rng.random_range(90..110);
                    self.later(at, Happening::Tick(node, life));
                }
                Happening::Deliver(from, to, message) => {
                    self.give(to, Event::Message { from, message })
                }
                Happening::Synced(node, life) => {
                    let Some(state) = self.nodes.get_mut(&node) else {
                        continue;
                    };
                    if state.life != life || state.replica.is_none() || state.disk.stalled {
                        continue;
                    }
                    let Some((write, record)) = state.disk.pending.pop_front() else {
                        continue;
                    };
                    let ok = !self.rng.random_bool(self.failing);
                    if ok {
                        state.disk.apply(record);
                    }
                    self.give(node, Event::Written { write, ok });
                }
            }
        }
        self.now = end;
    }

    fn seen_alive_by(&mut self, node: Ipv4Addr) -> Vec<Ipv4Addr> {
        for up in self.up() {
            self.nodes.get_mut(&up).unwrap().last_up = self.now;
        }
        let (now, detection) = (self.now, self.detection);
        let there = |it: &Node| it.replica.is_some() || now < it.last_up + detection;
        let hears = |from: Ipv4Addr, to: Ipv4Addr| !self.cut.contains(&(from, to));
        let through = |other: Ipv4Addr, third: Ipv4Addr| hears(other, third) && hears(third, node);
        let second_opinion = |other: Ipv4Addr| {
            let mut thirds = self.up().into_iter().filter(|third| *third != other);
            self.second_opinions && thirds.any(|third| through(other, third))
        };
        let reached =
            |&other: &Ipv4Addr| other != node && (hears(other, node) || second_opinion(other));
        let nodes = self.nodes.iter();
        nodes
            .filter(|(other, state)| reached(other) && there(state))
            .map(|(&other, _)| other)
            .collect()
    }

    /// Whether the loss of one disk costs nothing: all are up, and durably vote in the newest epoch.
    pub fn whole(&self) -> bool {
        let newest = self
            .nodes
            .values()
            .filter_map(|node| node.replica.as_ref())
            .max_by_key(|replica| replica.epoch());
        newest.is_some_and(|newest| {
            newest.voters().len() == self.nodes.len()
                && newest.voters().iter().all(|voter| {
                    let Some(node) = self.nodes.get(&voter.node) else {
                        return false;
                    };
                    node.replica.is_some()
                        && node.disk.stored.as_ref().is_some_and(|stored| {
                            let head = &stored.head;
                            head.disk == voter.disk
                                && head.active_in == newest.epoch()
                                && head
                                    .set
                                    .as_ref()
                                    .is_some_and(|set| set.epoch == newest.epoch())
                        })
                })
        })
    }

    /// Ends all trouble; then everybody has to agree on all that was acknowledged, and go on.
    pub fn calm(&mut self) {
        (self.loss, self.double, self.failing) = (0.0, 0.0, 0.0);
        self.cut.clear();
        let down: Vec<_> = self
            .nodes
            .iter()
            .filter(|(_, node)| node.replica.is_none())
            .map(|(&ip, _)| ip)
            .collect();
        for node in down {
            self.start(node);
        }
        for node in self.up() {
            self.resume(node);
        }
        self.run(15_000);
        let reader = self.up()[0];
        let at_least = self.acked;
        let read = self.ask(reader, Op::Read { at_least });
        self.run(1_000);
        assert!(
            matches!(self.outcomes.get(&read), Some(Outcome::Read(_))),
            "a read ends: {:?}",
            self.outcomes.get(&read)
        );
        self.asks_again();
        let version = self.in_force.max(self.acked) + 1_000;
        let last = self.ask(reader, Op::Propose(version, Bytes::from_static(b"last")));
        self.run(3_000);
        assert_eq!(self.outcomes.get(&last), Some(&Outcome::Acknowledged));
        let up = self.up().len();
        for (ip, node) in &self.nodes {
            let replica = node.replica.as_ref().unwrap();
            assert_eq!(
                replica.in_force(),
                Some((version, Bytes::from_static(b"last"))),
                "{ip}"
            );
            assert!(replica.is_active(), "{ip} votes");
            assert_eq!(replica.voters().len(), up);
            assert!(
                self.acked_marks
                    .iter()
                    .all(|key| replica.marked(key).is_some()),
                "{ip} misses a mark"
            );
        }
    }

    /// In calm each hive acknowledges what any did, and refuses another body for its number.
    fn asks_again(&mut self) {
        let newest = self.acked_bodies.iter().rev().take(8);
        let taken: Vec<(u64, Bytes)> = newest.map(|(it, body)| (*it, body.clone())).collect();
        let mut asked = Vec::new();
        for (version, body) in taken {
            for node in self.up() {
                let other = Bytes::from_static(b"never sent before");
                let same = self.ask(node, Op::Propose(version, body.clone()));
                asked.push((same, Outcome::Acknowledged));
                let other = self.ask(node, Op::Propose(version, other));
                asked.push((other, Outcome::Refused(Refusal::Conflict)));
            }
            self.run(950);
        }
        for (ticket, outcome) in asked {
            let (op, ended) = (&self.ops[&ticket], &self.outcomes[&ticket]);
            let open = [Refusal::Forgotten, Refusal::Unavailable].map(Outcome::Refused);
            let kept = self.rules.numbers > 1_000;
            assert!(
                *ended == outcome || (!kept && open.contains(ended)),
                "{op:?}: {ended:?}"
            );
        }
    }

    /// The disk goes on after a stall.
    pub fn resume(&mut self, node: Ipv4Addr) {
        let state = self.nodes.get_mut(&node).unwrap();
        if std::mem::take(&mut state.disk.stalled) && !state.disk.pending.is_empty() {
            let (at, life) = (self.now + 1, state.life);
            self.later(at, Happening::Synced(node, life));
        }
    }
}
