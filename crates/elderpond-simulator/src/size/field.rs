//! Machines, clock and network; nothing goes wrong by itself.

use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;

use bytes::Bytes;
use elderpond_consensus::Record;
use elderpond_control_wire::{
    COMMON, FromForager, FromHive, Hello, HiveToHive, Link, encode, unpack,
};
use elderpond_forage::{Chance, ControlNodeChoice, End, KnownWorkers, Met, PickTuning, Step, Want};
use elderpond_hive::{Action, Command, Event, Hive, LinkId, Place};
use elderpond_registry::Number;

use super::tally::{Made, Tally, from_forager, to_forager, to_hive};
use crate::Millis;
use crate::parts::Disk;
use crate::world::decode;

const BEAT: Millis = 1_500;
const TICK: Millis = 50;
const REPORT: Millis = 1_000;
const ZONES: [&str; 3] = ["a", "b", "c"];
const SERVICES: [&str; 3] = ["s0", "s1", "s2"];
/// Requests a second for each worker, and what one takes.
const RATE: f64 = 8.0;
const WORK: Millis = 160;
/// A link's number holds its forager's in the low bits.
const BEES: u64 = 1 << 16;

/// How many machines there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Foragers.
    pub foragers: usize,
    /// Workers, of three services in three zones.
    pub workers: usize,
    /// Hives.
    pub hives: usize,
}

enum Coming {
    Tick(usize),
    Packet(usize, usize, Bytes),
    Linked(usize, usize, u64),
    Frame(usize, usize, u64, Bytes),
    Written(usize, u64, u64, Box<Record>),
    Step(usize),
    Joined(usize, LinkId, usize),
    ToBee(LinkId, Bytes),
    FromBee(LinkId, usize, FromForager),
    HiveLost(usize, LinkId),
    BeeLost(LinkId),
    Report(LinkId),
    Request(usize),
    Ended(usize, Number, Millis),
    Beat(usize),
}

struct Node {
    hive: Option<Hive>,
    life: u64,
    disk: Disk,
    made: Made,
    links: BTreeMap<usize, u64>,
}

struct Bee {
    up: bool,
    follow: ControlNodeChoice,
    workers: KnownWorkers,
    chance: Chance,
    version: u64,
    link: Option<(LinkId, usize)>,
}

struct Worker {
    id: String,
    state: &'static str,
    ill: bool,
    sequence: u64,
    running: u16,
}

/// A whole fleet.
pub struct Field {
    now: Millis,
    size: Size,
    chance: Chance,
    coming: BTreeMap<(Millis, u64), Coming>,
    count: u64,
    nodes: Vec<Node>,
    bees: Vec<Bee>,
    workers: Vec<Worker>,
    places: HashMap<Number, usize>,
    tally: Tally,
}

fn ip(hive: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, hive as u8 + 1)
}

fn at(node: Ipv4Addr) -> usize {
    usize::from(node.octets()[3]) - 1
}

fn told(frame: &[u8]) -> FromHive {
    unpack(decode(frame)).expect("a message")
}

impl Field {
    /// A fleet that serves: hives know each other, a configuration of ten routes is in force, every forager
    /// follows a hive and knows every worker.
    ///
    /// # Panics
    ///
    /// Where that is not so after 14 s.
    pub fn settled(size: Size) -> Self {
        let mut field = Self {
            now: 0,
            size,
            chance: Chance::new(7),
            coming: BTreeMap::new(),
            count: 0,
            nodes: Vec::new(),
            bees: Vec::new(),
            workers: Vec::new(),
            places: HashMap::new(),
            tally: Tally::default(),
        };
        for hive in 0..size.hives {
            field.nodes.push(Node {
                hive: None,
                life: 0,
                disk: Disk::default(),
                made: Made::default(),
                links: BTreeMap::new(),
            });
            field.start_hive(hive, true);
        }
        for bee in 0..size.foragers {
            let seed = 1_000 + bee as u64;
            field.bees.push(Bee {
                up: false,
                follow: ControlNodeChoice::new("", &[]),
                workers: KnownWorkers::new("", PickTuning::default()),
                chance: Chance::new(seed),
                version: 0,
                link: None,
            });
            let begins = 500 + field.chance.below(400) as Millis;
            field.start_forager(bee, begins);
            let first = 12_000 + field.chance.below(500) as Millis;
            field.after(first, Coming::Request(bee));
        }
        for worker in 0..size.workers {
            let id = format!("{}-worker-{worker:05}", SERVICES[worker % 3]);
            field.places.insert(Number::of(&id), worker);
            field.workers.push(Worker {
                id,
                state: "ready",
                ill: false,
                sequence: 0,
                running: 0,
            });
            let first = 500 + field.chance.below(BEAT as usize) as Millis;
            field.after(first, Coming::Beat(worker));
        }
        field.run(8_000);
        field.order(1, 10);
        field.run(6_000);
        assert!(field.all_have(1), "every forager has the configuration");
        assert!(
            field
                .bees
                .iter()
                .all(|bee| bee.workers.len() == size.workers),
            "every forager knows every worker"
        );
        field.take();
        field
    }

    /// What was sent since the last call.
    pub fn take(&mut self) -> Tally {
        std::mem::take(&mut self.tally)
    }

    /// Whether every forager has this version.
    pub fn all_have(&self, version: u64) -> bool {
        self.bees.iter().all(|bee| bee.version == version)
    }

    /// How many foragers follow each hive that is there.
    pub fn followers(&self) -> Vec<usize> {
        let there = (0..self.nodes.len()).filter(|hive| self.nodes[*hive].hive.is_some());
        let links = |hive| {
            self.bees
                .iter()
                .filter(move |bee| bee.link.is_some_and(|it| it.1 == hive))
        };
        there.map(|hive| links(hive).count()).collect()
    }

    /// How many foragers send to this worker, if asked.
    pub fn listing(&self, worker: usize) -> usize {
        let number = Number::of(&self.workers[worker].id);
        let lists = |bee: &&Bee| bee.workers.worker(number).is_some();
        self.bees.iter().filter(lists).count()
    }

    /// A worker answers nothing but errors, or is well again.
    pub fn ill(&mut self, worker: usize, ill: bool) {
        self.workers[worker].ill = ill;
    }

    /// A worker says that it is leaving.
    pub fn drain(&mut self, worker: usize) {
        self.workers[worker].state = "draining";
        self.beat(worker);
    }

    /// An operator sends a configuration of so many routes to the first hive.
    pub fn order(&mut self, version: u64, routes: usize) {
        let command = Command::replace(configuration(version, routes));
        let command = command.expect("a configuration");
        let ticket = self.next();
        self.tell(0, Event::Call { ticket, command });
    }

    /// A forager's process ends; it is to be started again.
    pub fn kill_forager(&mut self, bee: usize) {
        self.bees[bee].up = false;
        if let Some((link, hive)) = self.bees[bee].link.take() {
            self.after(1, Coming::HiveLost(hive, link));
        }
    }

    /// A forager starts, knowing nothing.
    pub fn start_forager(&mut self, bee: usize, wait: Millis) {
        let zone = ZONES[bee % 3];
        let seeds: Vec<Ipv4Addr> = (0..self.size.hives.min(3)).map(ip).collect();
        let it = &mut self.bees[bee];
        let seed = it.chance.draw();
        let tuning = PickTuning {
            seed,
            ..PickTuning::default()
        };
        (it.up, it.version, it.link) = (true, 0, None);
        it.follow = ControlNodeChoice::new(zone, &seeds);
        it.workers = KnownWorkers::new(zone, tuning);
        self.after(wait, Coming::Step(bee));
    }

    /// A hive's process ends.
    pub fn kill_hive(&mut self, hive: usize) {
        self.nodes[hive].hive = None;
        self.nodes[hive].links.clear();
        for bee in 0..self.bees.len() {
            if let Some((link, _)) = self.bees[bee].link.filter(|it| it.1 == hive) {
                self.after(1, Coming::BeeLost(link));
            }
        }
    }

    /// A hive starts, with what its disk holds.
    pub fn start_hive(&mut self, hive: usize, first_start: bool) {
        let node = &mut self.nodes[hive];
        node.life += 1;
        let place = Place {
            me: ip(hive),
            name: format!("hive-{hive}"),
            zone: ZONES[hive % 3].into(),
            control_port: 8544,
            seeds: (0..self.size.hives.min(3)).map(ip).collect(),
            first_start,
            losses: (self.size.hives - 1) / 2,
            beat: BEAT,
            reuse: 2000,
            grace: 6_000,
            apply: 2_500,
            drain: 2_500,
            incarnation: 1_000_000 + self.now,
            random: 0x5eed ^ (hive as u64) << 8 ^ node.life,
        };
        let mut out = Vec::new();
        let stored = node.disk.stored();
        node.hive = Some(Hive::new(self.now, place, stored, &mut out));
        self.carry_out(hive, out);
        self.after(1 + hive as Millis * 7 % TICK, Coming::Tick(hive));
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while let Some(entry) = self.coming.first_entry()
            && entry.key().0 <= end
        {
            let ((now, _), coming) = entry.remove_entry();
            self.now = now;
            self.come(coming);
        }
        self.now = end;
    }

    // ---- Network ----

    fn next(&mut self) -> u64 {
        self.count += 1;
        self.count
    }

    fn after(&mut self, wait: Millis, coming: Coming) {
        let count = self.next();
        self.coming.insert((self.now + wait, count), coming);
    }

    fn tell(&mut self, hive: usize, event: Event) {
        if let Some(it) = &mut self.nodes[hive].hive {
            let mut out = Vec::new();
            it.handle(self.now, event, &mut out);
            self.carry_out(hive, out);
        }
    }

    fn sent(&mut self, from: usize, kind: &'static str, frame: &Bytes) {
        let (bytes, anew) = (frame.len() as u64, self.nodes[from].made.anew(frame));
        self.tally.kinds.entry(kind).or_default().add(bytes, anew);
        self.tally.hives.entry(from).or_default().add(bytes, anew);
    }

    fn carry_out(&mut self, hive: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Packet { to, datagram } => {
                    self.sent(hive, "packet", &datagram);
                    self.after(1, Coming::Packet(hive, at(to), datagram));
                }
                Action::Dial(node) => {
                    let dial = self.next();
                    self.nodes[hive].links.remove(&at(node));
                    self.after(2, Coming::Linked(hive, at(node), dial));
                }
                Action::Hang(node) => {
                    self.nodes[hive].links.remove(&at(node));
                }
                Action::ToHive { to, frame } => {
                    let to = at(to);
                    if let Some(dial) = self.nodes[hive].links.get(&to).copied() {
                        self.sent(hive, to_hive(&decode(&frame)), &frame);
                        let into = self.tally.to_hives.entry(to).or_default();
                        into.add(frame.len() as u64, false);
                        self.after(1, Coming::Frame(hive, to, dial, frame));
                    }
                }
                Action::ToForager { link, frame } => {
                    let bee = (link % BEES) as usize;
                    self.sent(hive, to_forager(&told(&frame)), &frame);
                    let into = self.tally.to_foragers.entry(bee).or_default();
                    into.add(frame.len() as u64, false);
                    self.after(1, Coming::ToBee(link, frame));
                }
                Action::VersionToForager { link, frames, .. } => {
                    for frame in frames.iter() {
                        let bee = (link % BEES) as usize;
                        self.sent(hive, to_forager(&told(frame)), frame);
                        let into = self.tally.to_foragers.entry(bee).or_default();
                        into.add(frame.len() as u64, false);
                        self.after(1, Coming::ToBee(link, frame.clone()));
                    }
                }
                Action::CloseLink { link } => self.after(1, Coming::BeeLost(link)),
                Action::Write { write, record } => {
                    let life = self.nodes[hive].life;
                    self.after(1, Coming::Written(hive, life, write, record));
                }
                Action::Probe { worker, .. } => {
                    let ok = self
                        .places
                        .get(&worker)
                        .is_none_or(|it| !self.workers[*it].ill);
                    let event = Event::Probed {
                        worker,
                        ok,
                        took_ms: 20.0,
                        load: None,
                    };
                    self.tell(hive, event);
                }
                Action::Answer { .. } | Action::Log(_) | Action::Stopped => {}
            }
        }
    }

    fn come(&mut self, coming: Coming) {
        match coming {
            Coming::Tick(hive) => {
                self.tell(hive, Event::Tick);
                if self.nodes[hive].hive.is_some() {
                    self.after(TICK, Coming::Tick(hive));
                }
            }
            Coming::Packet(from, to, datagram) => {
                let from = ip(from);
                self.tell(to, Event::Packet { from, datagram });
            }
            Coming::Linked(from, to, dial) => {
                if self.nodes[to].hive.is_some() && self.nodes[from].hive.is_some() {
                    self.nodes[from].links.insert(to, dial);
                    self.tell(from, Event::HiveLinked(ip(to)));
                }
            }
            Coming::Frame(from, to, dial, frame) => {
                if self.nodes[from].links.get(&to) == Some(&dial) {
                    let (from, message) = (ip(from), decode::<HiveToHive>(&frame));
                    self.tell(to, Event::FromHive { from, message });
                }
            }
            Coming::Written(hive, life, write, record) => {
                if self.nodes[hive].life == life {
                    self.nodes[hive].disk.put(*record);
                    self.tell(hive, Event::Written { write, ok: true });
                }
            }
            Coming::Step(bee) => self.step(bee),
            Coming::Joined(bee, link, hive) => self.joined(bee, link, hive),
            Coming::ToBee(link, frame) => self.hear(link, told(&frame)),
            Coming::FromBee(link, hive, message) => {
                self.tell(hive, Event::FromForager { link, message });
            }
            Coming::HiveLost(hive, link) => self.tell(hive, Event::ForagerLost { link }),
            Coming::BeeLost(link) => {
                let bee = (link % BEES) as usize;
                if self.bees[bee].link.is_some_and(|it| it.0 == link) {
                    self.leave(bee);
                }
            }
            Coming::Report(link) => self.report(link),
            Coming::Request(bee) => self.request(bee),
            Coming::Ended(bee, number, since) => self.ended(bee, number, since),
            Coming::Beat(worker) => {
                self.beat(worker);
                self.after(BEAT, Coming::Beat(worker));
            }
        }
    }

    // ---- Foragers ----

    fn step(&mut self, bee: usize) {
        let now = self.now;
        let it = &mut self.bees[bee];
        if !it.up {
            return;
        }
        if it.link.is_some() && it.follow.is_stale(now) {
            self.leave(bee);
        } else if let Step::Dial(node) = it.follow.step(now, &mut it.chance) {
            let link = self.next() * BEES + bee as u64;
            self.after(4, Coming::Joined(bee, link, at(node)));
        }
        let wait = self.bees[bee].follow.due_at().saturating_sub(now).max(5);
        self.after(wait.min(500), Coming::Step(bee));
    }

    fn leave(&mut self, bee: usize) {
        let it = &mut self.bees[bee];
        it.follow.disconnected(self.now, &mut it.chance);
        if let Some((link, hive)) = it.link.take() {
            self.after(1, Coming::HiveLost(hive, link));
        }
    }

    fn joined(&mut self, bee: usize, link: LinkId, hive: usize) {
        let there = self.nodes[hive].hive.is_some();
        let it = &mut self.bees[bee];
        if !it.up || it.link.is_some() || it.follow.node() != Some(ip(hive)) {
            return;
        }
        if !there {
            it.follow.disconnected(self.now, &mut it.chance);
            return;
        }
        it.follow.connected(self.now, ip(hive));
        it.link = Some((link, hive));
        let hello = Hello {
            node: Ipv4Addr::new(10, 1, (bee >> 8) as u8, bee as u8),
            zone: ZONES[bee % 3].into(),
            life: link,
            version: it.version,
            departed: it.workers.departed(256),
        };
        let bytes = encode(&Link::Forager(hello.clone())).len() as u64;
        self.tally
            .kinds
            .entry("hello")
            .or_default()
            .add(bytes, true);
        let first = 1 + self.chance.below(REPORT as usize) as Millis;
        self.after(first, Coming::Report(link));
        self.tell(
            hive,
            Event::ForagerJoined {
                link,
                hello,
                wire: COMMON,
            },
        );
    }

    fn hear(&mut self, link: LinkId, message: FromHive) {
        let now = self.now;
        let it = &mut self.bees[(link % BEES) as usize];
        if it.link.is_none_or(|here| here.0 != link) {
            return;
        }
        it.follow.heard(now);
        match message {
            FromHive::Version { version, .. } => {
                it.version = it.version.max(version);
                let hive = it.link.map_or(0, |here| here.1);
                let bee = (link % BEES) as usize;
                self.say(bee, link, hive, FromForager::Taken { version });
            }
            FromHive::Whole { settled, table } => it.workers.replace(now, settled, &table),
            FromHive::Change(change) => it.workers.change(now, &change),
            FromHive::Pulse(pulse) => it.follow.heartbeat(now, pulse.majority, &pulse.hives),
            FromHive::Packed(_)
            | FromHive::VersionPart(_)
            | FromHive::Heartbeat(_)
            | FromHive::Refused { .. } => {
                unreachable!("unpacked before, and of a later wire")
            }
        }
    }

    fn report(&mut self, link: LinkId) {
        let bee = (link % BEES) as usize;
        let it = &mut self.bees[bee];
        let Some((_, hive)) = it.link.filter(|here| here.0 == link) else {
            return;
        };
        let (covers_ms, lines, misplaced) = it.workers.report(self.now).unwrap_or_default();
        let message = FromForager::Report {
            covers_ms,
            lines,
            misplaced,
        };
        self.say(bee, link, hive, message);
        self.after(REPORT, Coming::Report(link));
    }

    /// A forager says something to its hive.
    fn say(&mut self, bee: usize, link: LinkId, hive: usize, message: FromForager) {
        let bytes = encode(&message).len() as u64;
        let kind = from_forager(&message);
        self.tally.kinds.entry(kind).or_default().add(bytes, true);
        self.tally.foragers.entry(bee).or_default().add(bytes, true);
        self.tally
            .to_hives
            .entry(hive)
            .or_default()
            .add(bytes, false);
        self.after(1, Coming::FromBee(link, hive, message));
    }

    fn request(&mut self, bee: usize) {
        let gap = self.size.foragers as f64 * 1000.0 / (RATE * self.size.workers as f64);
        let wait = 1 + self.chance.below((2.0 * gap) as usize) as Millis;
        self.after(wait, Coming::Request(bee));
        let service = SERVICES[self.chance.below(3)];
        let want = Want {
            service,
            but: &[],
            away_ms: 50.0,
            left_ms: 1000.0,
            free: false,
            safe: true,
        };
        let it = &mut self.bees[bee];
        if let Some(number) = it.workers.pick(self.now, &want, &mut it.chance) {
            it.workers.sent(self.now, number);
            let worker = self.places.get(&number).map(|it| &mut self.workers[*it]);
            let running = worker.map_or(0, |worker| {
                worker.running += 1;
                worker.running
            });
            let took = WORK * Millis::from(running.max(4)) / 4;
            self.after(took, Coming::Ended(bee, number, self.now));
        }
    }

    fn ended(&mut self, bee: usize, number: Number, since: Millis) {
        let Some(worker) = self.places.get(&number).map(|it| &mut self.workers[*it]) else {
            return;
        };
        worker.running -= 1;
        let end = match worker.ill {
            true => End::Own { status: 500 },
            false => End::Good,
        };
        let met = Met {
            end,
            took_ms: (self.now - since) as f64,
            load: Some((worker.running.min(4), worker.running.saturating_sub(4), 4)),
            bytes: 2_000,
        };
        self.bees[bee].workers.ended(self.now, number, met);
    }

    // ---- Workers ----

    fn beat(&mut self, worker: usize) {
        let (zone, hives) = (worker / 3 % 3, self.size.hives);
        // a hive of the own zone, as they are told to
        let near = (0..hives).filter(|hive| hive % 3 == zone).count();
        let hive = zone + worker / 9 % near * 3;
        let it = &mut self.workers[worker];
        it.sequence += 1;
        let (high, low) = (worker / 200, worker % 200 + 1);
        let body = format!(
            r#"{{"address":"10.9.{high}.{low}:8080","information":{{"service":"{}","zone":"{}","slots":4}},
            "status":{{"state":"{}","call-sequence":{}}}}}"#,
            SERVICES[worker % 3],
            ZONES[zone],
            it.state,
            it.sequence
        );
        let command = Command::beat(&it.id, body.as_bytes()).expect("a beat");
        let kinds = self.tally.kinds.entry("beat");
        kinds.or_default().add(body.len() as u64, true);
        let ticket = self.next();
        self.tell(hive, Event::Call { ticket, command });
    }
}

/// A configuration of so many routes to three services, about 200 bytes each.
pub fn configuration(version: u64, routes: usize) -> Bytes {
    let rules: Vec<String> = (0..routes)
        .map(|route| {
            format!(
                r#"{{"name":"route-{route}","kind":"safe","target-latency-s":0.6,"priority":1,
"match-condition":{{"path-prefix":"/p{route}/"}},
"route-action":{{"service":"{}","timeout-s":1.2,"attempts":2}}}}"#,
                SERVICES[route % 3]
            )
        })
        .collect();
    let clusters = SERVICES.map(|service| {
        format!(r#"{{"name":"{service}","health-check-path":"/health","connection-limit":60}}"#)
    });
    let text = format!(
        r#"{{"version-number":"r{version}","listener-list":[{{"host":"h","rule-set":[{}]}}],
        "cluster-list":[{}]}}"#,
        rules.join(","),
        clusters.join(",")
    );
    text.into()
}
