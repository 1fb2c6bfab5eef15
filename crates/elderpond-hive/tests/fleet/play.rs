//! The stage: what hives do is carried out on a simulated clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;

use bytes::Bytes;
use elderpond_consensus::{Head, Held, Mark, Numbers, Record, Stored};
use elderpond_control_wire::{
    COMMON, Frames, FromForager, FromHive, Hello, HiveToHive, Line, Pulse, unpack,
};
use elderpond_forage::{Chance, ControlNodeChoice, START_UNVOUCHED_AFTER, Step};
use elderpond_hive::{Action, Answer, Command, Event, Hive, LEASE, LinkId, Place, Ticket};
use elderpond_registry::{Number, Table};

pub const BEAT: u64 = 1500;
/// What passes for fresh lacks nothing that was acknowledged longer ago: the lease, and the way (ms).
pub const FRESH: u64 = LEASE + 10;
/// What waits for a hive that stands still, at most.
const WAITS: usize = 20_000;
const ZONES: [&str; 3] = ["a", "b", "c"];

pub fn ip(hive: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, hive as u8 + 1)
}

/// What outlives a hive.
#[derive(Default)]
struct Disk {
    head: Option<Head>,
    held: Vec<Held>,
    marks: BTreeMap<String, Mark>,
    numbers: Option<Numbers>,
}

impl Disk {
    fn put(&mut self, record: Record) {
        self.head = record.head.or(self.head.take());
        if let Some(held) = record.held {
            self.held.retain(|old| old.tag.version != held.tag.version);
            self.held.push(held);
            self.held.sort_by_key(|held| held.tag.version);
        }
        if let Some(numbers) = record.numbers {
            self.numbers.get_or_insert_default().apply(numbers);
        }
        for mark in record.marks {
            self.marks.insert(mark.key.clone(), mark);
        }
        for key in record.dropped {
            self.marks.remove(&key);
        }
    }

    fn stored(&self) -> Option<Stored> {
        Some(Stored {
            head: self.head.clone()?,
            held: self.held.clone(),
            marks: self.marks.values().cloned().collect(),
            numbers: self.numbers.clone(),
        })
    }
}

/// A forager, as far as hives see it.
#[derive(Default)]
pub struct Forager {
    pub hive: usize,
    pub link: LinkId,
    pub up: bool,
    pub table: Table,
    pub version: u64,
    pub settled: bool,
    pub pulse: Option<Pulse>,
    /// What it met, reported each second.
    pub lines: Vec<Line>,
    pub quiet: bool,
    /// Its own choice of a hive; without one it stays where the story put it.
    pub follow: Option<(ControlNodeChoice, Chance)>,
    /// Hives that it can't reach.
    pub cuts: BTreeSet<usize>,
    /// Told when it had nothing, and held back.
    offered: u64,
    /// When it started, and when it began to serve.
    pub started: u64,
    pub began: Option<u64>,
    /// Since when the hive that it follows has vouched without a break.
    pub vouched: Option<u64>,
}

impl Forager {
    pub fn lists(&self, id: &str) -> bool {
        let number = Number::of(id);
        self.table.lines().any(|(line, _)| *line == number)
    }

    pub fn weight(&self, id: &str) -> Option<u8> {
        let number = Number::of(id);
        let mut lines = self.table.lines();
        lines
            .find(|(line, _)| **line == number)
            .map(|(_, line)| line.weight)
    }

    fn hear(&mut self, message: FromHive) {
        match message {
            FromHive::Version { version, .. } if self.follow.is_some() && self.version == 0 => {
                self.offered = self.offered.max(version);
            }
            FromHive::Version { version, .. } => {
                assert!(
                    version >= self.version || self.follow.is_some(),
                    "versions go back"
                );
                self.version = self.version.max(version);
            }
            FromHive::Whole { settled, table } => {
                self.settled = settled;
                self.table.replace(settled, &table);
            }
            FromHive::Change(change) => self.table.apply(&change),
            FromHive::Pulse(pulse) => self.pulse = Some(pulse),
            FromHive::Packed(_)
            | FromHive::VersionPart(_)
            | FromHive::Heartbeat(_)
            | FromHive::Refused { .. } => {
                unreachable!("unpacked before, and of a later wire")
            }
        }
    }
}

enum Coming {
    Packet(usize, usize, Bytes),
    Frame(usize, usize, Bytes),
    Linked(usize, usize),
    Written(usize, u64, u64, Box<Record>),
    ToForager(LinkId, Bytes),
}

struct Node {
    hive: Option<Hive>,
    life: u64,
    disk: Disk,
    /// Whether writes end.
    writes: bool,
    frozen: bool,
    /// What stands in its sockets while it is frozen.
    waits: VecDeque<Event>,
    linked: BTreeSet<usize>,
    stopped: bool,
}

pub struct Worker {
    pub id: String,
    pub hive: usize,
    pub sequence: u64,
    beat_at: u64,
    /// Whether it calls another hive after a refusal or a second of silence, and the call that it waits for.
    pub roams: bool,
    waits: Option<(Ticket, u64)>,
    /// When a beat was acknowledged last, and by which hive.
    pub heard: Option<(u64, usize)>,
}

pub struct Fleet {
    pub now: u64,
    nodes: Vec<Node>,
    wire: BTreeMap<(u64, u64), Coming>,
    seq: u64,
    random: u64,
    /// Of a hundred messages, so many are lost.
    pub loss: u64,
    cuts: BTreeSet<(usize, usize)>,
    pub foragers: Vec<Forager>,
    pub workers: Vec<Worker>,
    answers: BTreeMap<Ticket, Answer>,
    /// When the last word to a forager arrives.
    said: BTreeMap<LinkId, u64>,
    /// Orders, and when which version was acknowledged.
    orders: BTreeMap<Ticket, u64>,
    pub acknowledged: Vec<(u64, u64)>,
    /// Who was probed, by which hive, and when.
    pub probes: Vec<(u64, usize, String)>,
    pub well: bool,
    /// What hives said in their logs.
    pub logs: Vec<(usize, String)>,
    next: u64,
}

impl Fleet {
    /// Hives that start together on empty disks, each with a forager, and have found each other.
    pub fn settled(hives: usize) -> Self {
        Self::drawn(hives, 7)
    }

    /// The same, with other delays.
    pub fn drawn(hives: usize, random: u64) -> Self {
        let mut fleet = Self {
            now: 0,
            nodes: Vec::new(),
            wire: BTreeMap::new(),
            seq: 0,
            random,
            loss: 0,
            cuts: BTreeSet::new(),
            foragers: Vec::new(),
            workers: Vec::new(),
            answers: BTreeMap::new(),
            said: BTreeMap::new(),
            orders: BTreeMap::new(),
            acknowledged: Vec::new(),
            probes: Vec::new(),
            well: true,
            logs: Vec::new(),
            next: 1,
        };
        for at in 0..hives {
            fleet.nodes.push(Node {
                hive: None,
                life: 0,
                disk: Disk::default(),
                writes: true,
                frozen: false,
                waits: VecDeque::new(),
                linked: BTreeSet::new(),
                stopped: false,
            });
            fleet.start(at, true);
        }
        for at in 0..hives {
            fleet.follow(at);
        }
        fleet.run(4000);
        fleet
    }

    pub fn start(&mut self, at: usize, first_start: bool) {
        let node = &mut self.nodes[at];
        node.life += 1;
        let place = Place {
            me: ip(at),
            name: format!("hive-{at}"),
            zone: ZONES[at % 3].into(),
            control_port: 8544,
            seeds: (0..3).map(ip).collect(),
            first_start,
            losses: 1,
            beat: BEAT,
            reuse: 2000,
            grace: 6_000,
            apply: 2_500,
            drain: 2_500,
            incarnation: 1_000_000 + self.now,
            random: 0x5eed ^ (at as u64) << 8 ^ node.life,
        };
        let mut out = Vec::new();
        let stored = node.disk.stored();
        node.hive = Some(Hive::new(self.now, place, stored, &mut out));
        self.carry_out(at, out);
    }

    pub fn kill(&mut self, at: usize) {
        self.nodes[at].hive = None;
        self.nodes[at].linked.clear();
        for forager in self.foragers.iter_mut().filter(|it| it.hive == at) {
            forager.up = false;
        }
    }

    /// Ends without its disk.
    pub fn wipe(&mut self, at: usize) {
        self.kill(at);
        self.nodes[at].disk = Disk::default();
    }

    /// Stops a hive, or has it go on: then all that stood in its sockets is read before time is told.
    pub fn freeze(&mut self, at: usize, frozen: bool) {
        self.nodes[at].frozen = frozen;
        while !frozen && let Some(event) = self.nodes[at].waits.pop_front() {
            self.tell(at, event);
        }
    }

    pub fn disk_stalls(&mut self, at: usize) {
        self.nodes[at].writes = false;
    }

    pub fn stopped(&self, at: usize) -> bool {
        self.nodes[at].stopped
    }

    /// Cuts a hive off from all others.
    pub fn cut_off(&mut self, at: usize) {
        for other in 0..self.nodes.len() {
            self.cuts.insert((at, other));
            self.cuts.insert((other, at));
        }
    }

    /// From now on nothing comes from `from` to `to`.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    pub fn join(&mut self) {
        self.cuts.clear();
        self.foragers.iter_mut().for_each(|it| it.cuts.clear());
    }

    /// A forager starts with nothing and looks for a hive by itself.
    pub fn roam(&mut self, zone: usize) -> usize {
        let seeds: Vec<Ipv4Addr> = (0..3).map(ip).collect();
        let chance = Chance::new(self.draw(1 << 30));
        self.foragers.push(Forager {
            follow: Some((ControlNodeChoice::new(ZONES[zone % 3], &seeds), chance)),
            started: self.now,
            hive: zone,
            ..Forager::default()
        });
        self.foragers.len() - 1
    }

    /// The newest version acknowledged longer ago than what passes for fresh may lack.
    fn due(&self) -> u64 {
        let old = self
            .acknowledged
            .iter()
            .filter(|(at, _)| at + FRESH < self.now);
        old.map(|(_, version)| *version).max().unwrap_or(0)
    }

    /// A roaming forager leaves its hive, or dials one.
    fn fly(&mut self, at: usize) {
        let now = self.now;
        let it = &mut self.foragers[at];
        let Some((follow, chance)) = &mut it.follow else {
            return;
        };
        if it.up {
            if follow.is_stale(now) {
                follow.disconnected(now, chance);
                (it.up, it.vouched) = (false, None);
                let (hive, link) = (it.hive, it.link);
                if !it.cuts.contains(&hive) {
                    self.tell(hive, Event::ForagerLost { link });
                }
            }
        } else if let Step::Dial(node) = follow.step(now, chance) {
            let hive = usize::from(node.octets()[3]) - 1;
            if self.nodes[hive].hive.is_some() && !it.cuts.contains(&hive) {
                follow.connected(now, node);
                it.hive = hive;
                self.enter(at);
            }
        }
    }

    fn enter(&mut self, at: usize) {
        self.next += 1;
        let (link, forager) = (self.next, &mut self.foragers[at]);
        (forager.link, forager.up, forager.vouched) = (link, true, None);
        let hive = forager.hive;
        let hello = Hello {
            node: Ipv4Addr::new(10, 0, 1, at as u8),
            zone: ZONES[hive % 3].into(),
            life: link,
            version: forager.version,
            departed: forager.table.departed(64),
        };
        self.tell(
            hive,
            Event::ForagerJoined {
                link,
                hello,
                wire: COMMON,
            },
        );
    }

    /// A forager hears its hive, which must not pass off as fresh what is old.
    fn heard(&mut self, at: usize, message: FromHive) {
        let (now, due) = (self.now, self.due());
        let it = &mut self.foragers[at];
        if let Some((follow, _)) = &mut it.follow {
            if follow.is_stale(now) {
                return;
            }
            follow.heard(now);
            if let FromHive::Pulse(pulse) = &message {
                follow.heartbeat(now, pulse.majority, &pulse.hives);
            }
        }
        let vouches = match &message {
            FromHive::Pulse(pulse) => Some(pulse.majority),
            _ => None,
        };
        let taken = match &message {
            FromHive::Version { version, .. } => Some(*version),
            _ => None,
        };
        it.hear(message);
        let told = it.version.max(it.offered);
        if vouches == Some(true) {
            assert!(
                told >= due,
                "{now}: {told} passes for fresh where {due} was acknowledged"
            );
        }
        it.vouched = match vouches {
            Some(true) => it.vouched.or(Some(now)),
            Some(false) => None,
            None => it.vouched,
        };
        if let Some((follow, _)) = &it.follow
            && it.offered > it.version
            && (it.version > 0 || follow.may_start(now))
        {
            it.version = it.offered;
            it.began = it.began.or(Some(now));
            let alone = now >= it.started + START_UNVOUCHED_AFTER;
            assert!(
                told >= due || alone,
                "{now}: begins with {told} where {due} was acknowledged"
            );
        }
        if let Some(version) = taken {
            self.say_taken(at, version);
        }
    }

    fn say_taken(&mut self, at: usize, version: u64) {
        let forager = &self.foragers[at];
        if forager.quiet || forager.cuts.contains(&forager.hive) {
            return;
        }
        let (hive, link) = (forager.hive, forager.link);
        let message = FromForager::Taken { version };
        self.tell(hive, Event::FromForager { link, message });
    }

    /// A forager begins to follow a hive, or one that lost its hive does so anew.
    pub fn follow(&mut self, hive: usize) {
        let at = match (self.foragers.iter())
            .position(|it| it.hive == hive && !it.up && it.follow.is_none())
        {
            Some(at) => at,
            None => {
                self.foragers.push(Forager::default());
                self.foragers.len() - 1
            }
        };
        self.foragers[at].hive = hive;
        self.enter(at);
    }

    pub fn tell(&mut self, at: usize, event: Event) {
        let node = &mut self.nodes[at];
        if node.frozen {
            if !matches!(event, Event::Tick) && node.waits.len() < WAITS {
                node.waits.push_back(event);
            }
            return;
        }
        if let Some(hive) = &mut node.hive {
            let mut out = Vec::new();
            hive.handle(self.now, event, &mut out);
            self.carry_out(at, out);
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random = self
            .random
            .wrapping_mul(0x5851_f42d_4c95_7f2d)
            .wrapping_add(11);
        (self.random >> 33) % below
    }

    fn later(&mut self, coming: Coming) {
        let delay = 1 + self.draw(4);
        self.seq += 1;
        self.wire.insert((self.now + delay, self.seq), coming);
    }

    /// What is said to a forager arrives in its order.
    fn in_order(&mut self, link: LinkId, frame: Bytes) {
        let last = self.said.get(&link).copied().unwrap_or(0);
        let at = (self.now + 1 + self.draw(4)).max(last);
        self.said.insert(link, at);
        self.seq += 1;
        self.wire
            .insert((at, self.seq), Coming::ToForager(link, frame));
    }

    fn passes(&mut self, from: usize, to: usize) -> bool {
        !self.cuts.contains(&(from, to)) && self.draw(100) >= self.loss
    }

    fn carry_out(&mut self, at: usize, actions: Vec<Action>) {
        let find = |node: Ipv4Addr| usize::from(node.octets()[3]) - 1;
        for action in actions {
            match action {
                Action::Answer { ticket, answer } => {
                    if let Some(version) = self.orders.get(&ticket)
                        && answer.status() == 200
                    {
                        self.acknowledged.push((self.now, *version));
                    }
                    let before = self.answers.insert(ticket, answer);
                    assert!(before.is_none(), "answered twice");
                }
                Action::Packet { to, datagram } => {
                    if self.passes(at, find(to)) {
                        self.later(Coming::Packet(at, find(to), datagram));
                    }
                }
                Action::Dial(node) => {
                    self.nodes[at].linked.remove(&find(node));
                    self.later(Coming::Linked(at, find(node)));
                }
                Action::Hang(node) => {
                    self.nodes[at].linked.remove(&find(node));
                }
                Action::ToHive { to, frame } => {
                    let linked = self.nodes[at].linked.contains(&find(to));
                    if linked && self.passes(at, find(to)) {
                        self.later(Coming::Frame(at, find(to), frame));
                    }
                }
                Action::ToForager { link, frame } => self.in_order(link, frame),
                Action::VersionToForager {
                    link,
                    version,
                    frames,
                } => {
                    for frame in frames.iter() {
                        self.in_order(link, frame.clone());
                    }
                    self.tell(at, Event::VersionWritten { link, version });
                }
                Action::CloseLink { link } => {
                    for forager in self.foragers.iter_mut().filter(|it| it.link == link) {
                        forager.up = false;
                    }
                }
                Action::Write { write, record } => {
                    let life = self.nodes[at].life;
                    self.later(Coming::Written(at, life, write, record));
                }
                Action::Probe { worker, id, .. } => {
                    self.probes.push((self.now, at, id));
                    let (ok, load) = (self.well, None);
                    let event = Event::Probed {
                        worker,
                        ok,
                        took_ms: 20.0,
                        load,
                    };
                    self.tell(at, event);
                }
                Action::Log(text) => self.logs.push((at, text)),
                Action::Stopped => {
                    self.nodes[at].stopped = true;
                }
            }
        }
    }

    fn come(&mut self, coming: Coming) {
        match coming {
            Coming::Packet(from, to, datagram) => {
                let from = ip(from);
                self.tell(to, Event::Packet { from, datagram });
            }
            Coming::Frame(from, to, frame) => {
                let message = decode::<HiveToHive>(&frame);
                let from = ip(from);
                self.tell(to, Event::FromHive { from, message });
            }
            Coming::Linked(at, to) => {
                if self.nodes[to].hive.is_some() && !self.cuts.contains(&(at, to)) {
                    self.nodes[at].linked.insert(to);
                    self.tell(at, Event::HiveLinked(ip(to)));
                }
            }
            Coming::Written(at, life, write, record) => {
                let node = &mut self.nodes[at];
                if node.writes {
                    node.disk.put(*record);
                    if node.life == life {
                        self.tell(at, Event::Written { write, ok: true });
                    }
                }
            }
            Coming::ToForager(link, frame) => {
                let at = self.foragers.iter().position(|it| it.link == link && it.up);
                if let Some(at) = at {
                    let cut = self.foragers[at].cuts.contains(&self.foragers[at].hive);
                    if !cut {
                        self.heard(at, unpack(decode(&frame)).expect("a message"));
                    }
                }
            }
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += 1;
            while let Some(entry) = self.wire.first_entry()
                && entry.key().0 <= self.now
            {
                let coming = entry.remove();
                self.come(coming);
            }
            for at in 0..self.nodes.len() {
                if (self.now + at as u64 * 17).is_multiple_of(50) {
                    self.tell(at, Event::Tick);
                }
            }
            for at in 0..self.workers.len() {
                self.work(at);
                if self.workers[at].beat_at <= self.now {
                    self.workers[at].beat_at = self.now + BEAT;
                    let (id, hive) = (self.workers[at].id.clone(), self.workers[at].hive);
                    let ticket = self.say(hive, &id, "ready");
                    self.workers[at].waits = Some((ticket, self.now));
                }
            }
            for at in 0..self.foragers.len() {
                if (self.now + at as u64).is_multiple_of(10) {
                    self.fly(at);
                }
            }
            if self.now.is_multiple_of(1000) {
                self.report();
            }
        }
    }

    /// What a worker makes of the answer to its beat, or of a second of silence.
    fn work(&mut self, at: usize) {
        let now = self.now;
        let it = &mut self.workers[at];
        let Some((ticket, since)) = it.waits else {
            return;
        };
        match self.answers.get(&ticket).map(Answer::status) {
            Some(200) => it.heard = Some((now, it.hive)),
            None if now < since + 1000 => return,
            _ if it.roams => {
                it.beat_at = now + 50; // a pause
                let others = self.nodes.len();
                let next = 1 + self.draw(others as u64 - 1) as usize;
                self.workers[at].hive = (self.workers[at].hive + next) % others;
            }
            _ => {}
        }
        self.workers[at].waits = None;
    }

    fn report(&mut self) {
        for at in 0..self.foragers.len() {
            let forager = &self.foragers[at];
            if forager.up && !forager.quiet && !forager.cuts.contains(&forager.hive) {
                let message = FromForager::Report {
                    covers_ms: 1000,
                    lines: forager.lines.clone(),
                    misplaced: Vec::new(),
                };
                let (hive, link) = (forager.hive, forager.link);
                self.tell(hive, Event::FromForager { link, message });
            }
        }
    }

    // ---- Calls ----

    pub fn call(&mut self, hive: usize, command: Command) -> Ticket {
        self.next += 1;
        let ticket = self.next;
        if let Command::Replace { version, .. } = &command {
            self.orders.insert(ticket, version.0);
        }
        self.tell(hive, Event::Call { ticket, command });
        ticket
    }

    pub fn answer(&self, ticket: Ticket) -> Option<&Answer> {
        self.answers.get(&ticket)
    }

    /// Calls, and waits for the answer for a second; 0 for none.
    pub fn ask(&mut self, hive: usize, command: Command) -> (u16, Bytes) {
        let ticket = self.call(hive, command);
        for _ in 0..100 {
            if let Some(answer) = self.answers.get(&ticket) {
                return (answer.status(), answer.body.clone());
            }
            self.run(10);
        }
        (0, Bytes::new())
    }

    /// A worker that beats at a hive from now on.
    pub fn worker_joins(&mut self, hive: usize, id: &str) {
        let worker = Worker {
            id: id.to_owned(),
            hive,
            sequence: 0,
            beat_at: self.now,
            roams: false,
            waits: None,
            heard: None,
        };
        self.workers.push(worker);
    }

    /// A worker's beat at a hive.
    pub fn say(&mut self, hive: usize, id: &str, state: &str) -> Ticket {
        let command = self.beat(id, state);
        self.call(hive, command)
    }

    pub fn beat(&mut self, id: &str, state: &str) -> Command {
        let worker = self.workers.iter_mut().find(|worker| worker.id == id);
        let sequence = worker.map_or(1, |worker| {
            worker.sequence += 1;
            worker.sequence
        });
        let place = Number::of(id.split('@').next_back().unwrap_or(id)).0 % 200 + 1;
        let body = format!(
            r#"{{"address":"10.9.0.{place}:80","information":{{"service":"s","zone":"b","slots":4}},
            "status":{{"state":"{state}","call-sequence":{sequence}}}}}"#
        );
        Command::beat(id, body.as_bytes()).expect("a beat")
    }

    pub fn forget_worker(&mut self, id: &str) {
        self.workers.retain(|worker| worker.id != id);
    }

    pub fn lists_everywhere(&self, id: &str) -> bool {
        self.foragers.iter().all(|forager| forager.lists(id))
    }

    pub fn listed_nowhere(&self, id: &str) -> bool {
        !self.foragers.iter().any(|forager| forager.lists(id))
    }
}

fn decode<M: serde::de::DeserializeOwned>(frame: &[u8]) -> M {
    let mut frames = Frames::default();
    frames.buffer.extend_from_slice(frame);
    frames.read().expect("a frame").expect("a whole one")
}

/// A configuration of one route.
pub fn configuration(version: u64, timeout: &str) -> Bytes {
    let text = format!(
        r#"{{"version-number":"r{version}","listener-list":[{{"host":"h","rule-set":[{{"name":"n",
        "kind":"safe","target-latency-s":0.5,"match-condition":{{"path-prefix":"/p/"}},
        "route-action":{{"service":"s","timeout-s":{timeout},"attempts":2}}}}]}}],
        "cluster-list":[{{"name":"s","health-check-path":"/health","connection-limit":10}}]}}"#
    );
    text.into()
}

pub fn replace(body: &Bytes) -> Command {
    Command::replace(body.clone()).expect("a configuration")
}
