//! The hive's decisions: events in, actions out.

mod calls;
mod contact;
mod follow;
mod lag;
mod others;
mod policy;
mod proxy_versions;
mod report;
mod version_pace;

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use ahash::RandomState;
use bytes::Bytes;
use elderpond_consensus::{Found, HandOver, Record, Replica, Rules, Stored};
use elderpond_control_wire::{FromForager, Hello, HiveToHive, Line, datagram, read_datagram};
use elderpond_membership::{About, Membership};
use elderpond_nectar::{Load, Nectar};
use elderpond_registry::{Number, Pace, Registry, State};
use hashbrown::HashMap;

pub use contact::{Contact, LEASE, LEFTOVERS};
pub use version_pace::VersionPace;

use follow::Departures;
use lag::Lag;
use proxy_versions::InForce;

use crate::journal::{Journal, What};
use crate::{Answer, Command, Millis};

/// Names a call; drawn by the host.
pub type Ticket = u64;
/// Names a forager's connection; drawn by the host.
pub type LinkId = u64;

type Map<K, V> = HashMap<K, V, RandomState>;

/// A hive that answered a probe within this counts as reached.
const REACHED: Millis = 1200;
/// Between two pulses.
const PULSE: Millis = 400;
/// A hive whose foragers were not told for this long is not counted.
const COUNTED: Millis = 3000;
/// A forager's link silent for this long is closed.
const FOLLOWS: Millis = 3500;
/// Between two batches of beats and of readings to the other hives.
const BATCH: Millis = 1000;
/// So long after the very first start beats are taken though no majority is reached: all are starting.
const FOUNDING: Millis = 5000;
/// A hive that ends says what it waits for once this has taken so long.
const WAITS: Millis = 500;
/// So long after a majority is back, silence is believed again; so long after one is lost, beats are
/// turned away.
const DOUBT: Millis = 1500;

/// Where a hive stands and what it is told.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its machine.
    pub me: Ipv4Addr,
    /// Its name, for people.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The port of `control`, the same on every machine.
    pub control_port: u16,
    /// Where other hives may be.
    pub seeds: Vec<Ipv4Addr>,
    /// The very first start, on an empty disk.
    pub first_start: bool,
    /// Machines that may be lost at one time.
    pub losses: usize,
    /// Milliseconds between two beats of a worker.
    pub beat: Millis,
    /// Milliseconds after which an ended worker's address may be another's.
    pub reuse: Millis,
    /// Milliseconds after which a hive that was told to end is killed.
    pub grace: Millis,
    /// Milliseconds within which a version is to be in force everywhere.
    pub apply: Millis,
    /// Milliseconds within which a departure is to be known everywhere.
    pub drain: Millis,
    /// Higher than at any earlier start: the time of day.
    pub incarnation: u64,
    /// Different at each start.
    pub random: u64,
}

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// Time has passed; each 50 ms or so.
    Tick,
    /// Somebody called.
    Call {
        /// To be named in the answer.
        ticket: Ticket,
        /// What for.
        command: Command,
    },
    /// A datagram of a hive.
    Packet {
        /// Its machine.
        from: Ipv4Addr,
        /// As it came.
        datagram: Bytes,
    },
    /// The connection to a hive is there, or there again.
    HiveLinked(Ipv4Addr),
    /// A hive's message.
    FromHive {
        /// Its machine.
        from: Ipv4Addr,
        /// The message.
        message: HiveToHive,
    },
    /// A forager has connected.
    ForagerJoined {
        /// Its connection.
        link: LinkId,
        /// What it says of itself.
        hello: Hello,
        /// The version of the wire that it speaks.
        wire: u8,
    },
    /// The last byte of a version was written to a forager's connection.
    VersionWritten {
        /// The connection.
        link: LinkId,
        /// The version's number.
        version: u64,
    },
    /// A forager's message.
    FromForager {
        /// Its connection.
        link: LinkId,
        /// The message.
        message: FromForager,
    },
    /// A forager's connection has ended.
    ForagerLost {
        /// Which.
        link: LinkId,
    },
    /// A write ended.
    Written {
        /// Which.
        write: u64,
        /// Whether it is durable.
        ok: bool,
    },
    /// A probe has ended; one that was answered by another life is not told.
    Probed {
        /// Of which life.
        worker: Number,
        /// Whether it was answered well.
        ok: bool,
        /// After how long.
        took_ms: f64,
        /// What the worker said of its load.
        load: Option<Load>,
    },
    /// The settings name other hives.
    Seeds(Vec<Ipv4Addr>),
    /// The hive is to end.
    Stop,
}

/// What the host is to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Answer a call.
    Answer {
        /// Which.
        ticket: Ticket,
        /// What.
        answer: Answer,
    },
    /// Send a datagram.
    Packet {
        /// Where to.
        to: Ipv4Addr,
        /// What.
        datagram: Bytes,
    },
    /// Keep a connection to a hive; where there is one, begin it anew.
    Dial(Ipv4Addr),
    /// Keep none.
    Hang(Ipv4Addr),
    /// Send a frame to a hive; it may be lost.
    ToHive {
        /// Which.
        to: Ipv4Addr,
        /// The frame of a [`HiveToHive`].
        frame: Bytes,
    },
    /// Send a frame to a forager.
    ToForager {
        /// Its connection.
        link: LinkId,
        /// The frame of an [`elderpond_control_wire::FromHive`].
        frame: Bytes,
    },
    /// Send a version to a forager, in these frames and behind any version before it; other frames go first.
    /// To be answered by [`Event::VersionWritten`].
    VersionToForager {
        /// Its connection.
        link: LinkId,
        /// The version's number.
        version: u64,
        /// Frames of [`elderpond_control_wire::FromHive`].
        frames: Arc<[Bytes]>,
    },
    /// Close a forager's connection.
    CloseLink {
        /// Which.
        link: LinkId,
    },
    /// Make durable, then tell.
    Write {
        /// Names the write.
        write: u64,
        /// What.
        record: Box<Record>,
    },
    /// Probe a worker's health.
    Probe {
        /// Which life.
        worker: Number,
        /// As it names itself.
        id: String,
        /// Where.
        address: SocketAddrV4,
        /// The path.
        path: String,
    },
    /// Worth a line in the log.
    Log(String),
    /// Every call in hand is answered: the process may end.
    Stopped,
}

/// A call that waits for the disks.
#[derive(Debug)]
struct Waiting {
    until: Millis,
    what: Wanted,
}

#[derive(Debug)]
enum Wanted {
    Mark(Number, State),
    Version(u64),
    Read,
}

#[derive(Debug)]
struct Forager {
    node: Ipv4Addr,
    zone: u16,
    /// The version of the wire that it speaks.
    wire: u8,
    heard_at: Millis,
    versions: VersionPace,
    departures: Departures,
}

#[derive(Debug, Default)]
struct Other {
    /// Foragers that follow it, and when it said so.
    foragers: Option<(u16, Millis)>,
    /// Whether it did not answer lately.
    astray: bool,
    /// When all lives were last asked of it.
    asked_at: Option<Millis>,
}

/// What is asked of a service.
#[derive(Debug)]
struct Asked {
    aim_ms: f64,
    health: String,
}

/// One hive.
pub struct Hive {
    now: Millis,
    place: Place,
    began: Millis,
    contact: Contact,
    /// Whether foragers were told last that this hive vouches.
    vouched: bool,
    /// Until then beats are taken without a majority.
    founding_until: Millis,
    /// When all lives are to be asked of the others, as what came before may be old.
    catch_up_at: Option<Millis>,
    replica: Replica,
    membership: Membership,
    registry: Registry,
    nectar: Nectar,
    journal: Journal,
    stopping: bool,
    /// Until when it waits for others to hold what it holds, and when it says that it waits.
    stop_by: Millis,
    waits_at: Option<Millis>,
    /// Whether the others were told so.
    left: bool,
    /// Whether a majority of voters is reached, and since when that is so.
    majority: (bool, Millis),
    settled: bool,
    /// No silence is believed before.
    doubt_until: Millis,
    in_force: Option<InForce>,
    /// How late versions and departures are at foragers.
    lag: Lag,
    services: Map<String, Asked>,
    zones: Vec<String>,
    calls: Map<Ticket, Waiting>,
    /// Departures that a majority of disks holds, and their order.
    durable: Map<Number, State>,
    durable_order: std::collections::VecDeque<Number>,
    others: Map<Ipv4Addr, Other>,
    foragers: Map<LinkId, Forager>,
    /// The newest life at an address.
    places: Map<SocketAddrV4, Number>,
    /// To be told to foragers; and whether at once.
    pending: BTreeSet<Number>,
    urgent: bool,
    /// Silent, but not believed to be.
    doubted: BTreeSet<Number>,
    /// To be told to hives.
    fresh: BTreeSet<Number>,
    /// Beats since the last batch.
    heard: Map<Number, Millis>,
    /// Met since the last batch.
    met: Map<Number, Line>,
    met_covers: u32,
    /// Weights as told, in hundredths; 100 where there is none.
    weights: Map<Number, u8>,
    /// The frame of the whole table and when it was made, while nothing has changed since.
    whole: Option<(Millis, Bytes)>,
    /// When a probe was first wished for that another hive is to make.
    wished: Map<Number, Millis>,
    pulse_at: Millis,
    batch_at: Millis,
    look_at: Millis,
}

impl Hive {
    /// Starts at `now` with what is on disk; appends what is to be done.
    pub fn new(now: Millis, place: Place, stored: Option<Stored>, out: &mut Vec<Action>) -> Self {
        Self::mutated(now, place, stored, None, out)
    }

    /// The same with a fault put in; nothing but tests does so.
    #[doc(hidden)]
    pub fn mutated(
        now: Millis,
        place: Place,
        stored: Option<Stored>,
        mutant: Option<elderpond_consensus::Mutant>,
        out: &mut Vec<Action>,
    ) -> Self {
        let about = About {
            zone: place.zone.clone(),
            port: place.control_port,
        };
        let found = Found {
            me: place.me,
            seeds: place.seeds.clone(),
            first_start: place.first_start,
            seed: place.random,
        };
        let rules = Rules {
            minimum_voters: 2 * place.losses + 1,
            patience: calls::ORDER_PATIENCE,
            mutant,
            ..Rules::default()
        };
        let pace = Pace {
            end: 600_000.max(place.beat * 20), // a worker that was cut off for long may come back
            ..Pace::of(place.beat)
        };
        let mut said = Vec::new();
        let mut hive = Self {
            now,
            began: now,
            contact: Contact::new(now),
            vouched: false,
            founding_until: if place.first_start { now + FOUNDING } else { 0 },
            catch_up_at: None,
            replica: Replica::new(now, found, rules, stored, &mut said),
            membership: Membership::new(
                now,
                place.me,
                place.incarnation,
                about,
                &place.seeds,
                elderpond_membership::Pace::default(),
                place.random,
            ),
            registry: Registry::new(pace),
            nectar: Nectar::new(place.random, elderpond_nectar::Rules::default()),
            journal: Journal::default(),
            stopping: false,
            stop_by: 0,
            waits_at: None,
            left: false,
            majority: (false, now),
            settled: false,
            doubt_until: now,
            in_force: None,
            lag: Lag::new(now, place.apply, place.drain),
            services: Map::default(),
            zones: Vec::new(),
            calls: Map::default(),
            durable: Map::default(),
            durable_order: Default::default(),
            others: Map::default(),
            foragers: Map::default(),
            places: Map::default(),
            pending: BTreeSet::new(),
            urgent: false,
            doubted: BTreeSet::new(),
            fresh: BTreeSet::new(),
            heard: Map::default(),
            met: Map::default(),
            met_covers: 0,
            weights: Map::default(),
            whole: None,
            wished: Map::default(),
            pulse_at: now,
            batch_at: now,
            look_at: now,
            place,
        };
        hive.heed_replica(said, out);
        hive.tell(out);
        hive
    }

    /// Takes in what has happened by `now` and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if let Some(stood) = self.contact.wake(self.now) {
            self.stood_still(stood);
        }
        match event {
            Event::Tick => self.tick(out),
            Event::Call { ticket, command } => self.call(ticket, command, out),
            Event::Packet { from, datagram } => {
                if let Ok(packet) = read_datagram(&datagram) {
                    self.tell_membership(elderpond_membership::Event::Packet { from, packet }, out);
                }
            }
            Event::HiveLinked(node) => self.linked(node, out),
            Event::FromHive { from, message } => self.hear_hive(from, message, out),
            Event::ForagerJoined { link, hello, wire } => self.joined(link, hello, wire, out),
            Event::VersionWritten { link, version } => self.version_written(link, version),
            Event::FromForager { link, message } => self.hear_forager(link, message, out),
            Event::ForagerLost { link } => self.lost(link),
            Event::Written { write, ok } => {
                self.tell_replica(elderpond_consensus::Event::Written { write, ok }, out);
            }
            Event::Probed {
                worker,
                ok,
                took_ms,
                load,
            } => self.probed(worker, ok, took_ms, load, out),
            Event::Seeds(seeds) => {
                self.tell_membership(elderpond_membership::Event::Seeds(&seeds), out);
                self.tell_replica(elderpond_consensus::Event::Seeds(seeds), out);
            }
            Event::Stop => self.stop(out),
        }
        self.fold();
        if self.urgent {
            self.tell(out);
        }
    }

    fn tick(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        if self.catch_up_at.take_if(|at| now >= *at).is_some() {
            self.catch_up(out);
        }
        self.tell_membership(elderpond_membership::Event::Tick, out);
        self.tell_replica(elderpond_consensus::Event::Tick, out);
        self.take_stock(out);
        self.expire(out);
        if self.trusts_silence() {
            self.registry.tick(now);
            self.fold();
            for number in std::mem::take(&mut self.doubted) {
                if !self.registry.listed(number) {
                    self.gone_silent(number);
                }
            }
        }
        self.settle(out);
        if now >= self.look_at {
            self.look_at = now + 100;
            self.look(out);
        }
        if now >= self.pulse_at || self.vouched != self.vouches() {
            self.pulse_at = now + PULSE;
            self.pulse(out);
        }
        if now >= self.batch_at {
            self.batch_at = now + BATCH;
            self.batch(out);
        }
        self.tell_versions(out);
        self.tell(out);
        out.extend(self.lag.report(now).map(Action::Log));
        if self.stopping && self.calls.is_empty() {
            match self.left {
                true => out.push(Action::Stopped),
                false => self.hand_over(out),
            }
        }
    }

    /// Leaves once those who stay hold what it holds, or when there is no more time.
    fn hand_over(&mut self, out: &mut Vec<Action>) {
        let list = |nodes: &[Ipv4Addr]| {
            let nodes: Vec<_> = nodes.iter().map(Ipv4Addr::to_string).collect();
            match nodes.is_empty() {
                true => "nobody".to_owned(),
                false => nodes.join(", "),
            }
        };
        let status = self.replica.status();
        let what = format!(
            "version {} and {} marks, epoch {}",
            status.in_force, status.marks, status.epoch
        );
        match self.replica.hand_over() {
            HandOver::Done { by } => {
                if !by.is_empty() {
                    let by = list(&by);
                    out.push(Action::Log(format!("{what}: on the disks of {by}")));
                }
                self.leave(out);
            }
            HandOver::Waits {
                by,
                missing,
                needed,
            } => {
                let late = self.now >= self.stop_by;
                if late || self.waits_at.is_some_and(|at| self.now >= at) {
                    self.waits_at = None;
                    let end = if late { "; it ends all the same" } else { "" };
                    let (by, missing) = (list(&by), list(&missing));
                    let text = format!(
                        "it ends, and nobody takes over yet: {what}: on the disks of {by}, \
                         {needed} are needed, no word of {missing}{end}"
                    );
                    self.journal.note(self.now, What::Said(text.clone()));
                    out.push(Action::Log(text));
                }
                if late {
                    self.leave(out);
                }
            }
        }
    }

    /// What was known before is old, and so is what is read first.
    fn stood_still(&mut self, stood: Millis) {
        let now = self.now;
        self.journal.note(now, What::Standstill(stood));
        self.doubt_until = now + self.place.beat * 2 + BATCH;
        self.majority = (false, now.saturating_sub(DOUBT)); // nothing is taken on credit
        self.founding_until = 0;
        self.settled = false;
        self.whole = None;
        self.catch_up_at = Some(now + LEFTOVERS);
        for other in self.others.values_mut() {
            other.astray = true; // begins their links anew
            other.foragers = None;
        }
    }

    /// Whether what is told to foragers may pass for fresh.
    fn vouches(&self) -> bool {
        self.majority.0 && self.contact.vouches(self.now)
    }

    /// Has the lease renewed, if that is due.
    fn renew(&mut self, out: &mut Vec<Action>) {
        if let Some(ticket) = self.contact.ask(self.now) {
            self.tell_replica(elderpond_consensus::Event::Confirm { ticket }, out);
        }
    }

    /// Whether a majority of the voters is reached, and which hives have come back.
    fn take_stock(&mut self, out: &mut Vec<Action>) {
        let (now, membership) = (self.now, &self.membership);
        let reached = |node| membership.reached_within(now, node, REACHED);
        let majority = self.replica.has_majority(&reached);
        if majority != self.majority.0 {
            self.majority = (majority, now);
            self.whole = None;
            if majority && self.settled {
                self.tell_whole(out); // as settled once more
            }
            self.journal.note(now, What::Majority(majority));
            if !majority && let Some(lines) = self.journal.write_out() {
                out.push(Action::Log(format!(
                    "no majority is reached; before: {lines}"
                )));
            }
        }
        let nodes: Vec<Ipv4Addr> = self.others.keys().copied().collect();
        for node in nodes {
            let there = self.membership.reached_within(now, node, REACHED);
            if let Some(other) = self.others.get_mut(&node)
                && there == other.astray
            {
                other.astray = !there;
                if there {
                    out.push(Action::Dial(node));
                }
            }
        }
    }

    /// Whether a worker that is not heard of is taken for silent: not while this hive may be the deaf one.
    fn trusts_silence(&self) -> bool {
        let (majority, since) = self.majority;
        majority && self.now >= since + DOUBT && self.now >= self.doubt_until
    }

    /// Whether this hive has long been without a majority of the voters.
    fn cut_off(&self) -> bool {
        let (majority, since) = self.majority;
        !majority && self.now >= self.founding_until && self.now >= since + DOUBT
    }

    /// Whether what it knows of workers may be told as all that there is to know.
    fn tells_all(&self) -> bool {
        self.settled && self.majority.0
    }

    /// Takes it that all who beat were heard, once they had the time for it.
    fn settle(&mut self, out: &mut Vec<Action>) {
        if self.cut_off() {
            self.settled = false; // others were heard elsewhere meanwhile
        }
        let time = self.place.beat * 11 / 5;
        let since = self.began.max(self.majority.1);
        if !self.settled && self.trusts_silence() && self.now >= since + time {
            self.become_settled(out);
        }
    }

    fn become_settled(&mut self, out: &mut Vec<Action>) {
        if !self.settled {
            self.settled = true;
            self.journal.note(self.now, What::Settled);
            self.tell_whole(out);
        }
    }

    fn stop(&mut self, out: &mut Vec<Action>) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        // While it is still there to vote, the others are given a set of voters without it, and what it
        // holds.
        self.stop_by = self.now + self.place.grace * 4 / 5;
        self.waits_at = Some(self.now + WAITS);
        self.tell_replica(elderpond_consensus::Event::Ending, out);
        for (link, _) in self.foragers.drain() {
            out.push(Action::CloseLink { link });
        }
    }

    /// Tells the others, once calls in hand need them no more.
    fn leave(&mut self, out: &mut Vec<Action>) {
        self.left = true;
        self.tell_membership(elderpond_membership::Event::Leave, out);
    }

    // ---- The parts ----

    fn tell_replica(&mut self, event: elderpond_consensus::Event, out: &mut Vec<Action>) {
        let mut said = Vec::new();
        self.replica.handle(self.now, event, &mut said);
        self.heed_replica(said, out);
    }

    fn heed_replica(&mut self, said: Vec<elderpond_consensus::Action>, out: &mut Vec<Action>) {
        use elderpond_consensus::Action as Said;
        for action in said {
            match action {
                Said::Send { to, message } => {
                    let frame = elderpond_control_wire::encode(&HiveToHive::Consensus(message));
                    out.push(Action::ToHive { to, frame });
                }
                Said::Write { write, record } => out.push(Action::Write {
                    write,
                    record: Box::new(record),
                }),
                Said::Acknowledged { ticket } => self.acknowledged(ticket, out),
                Said::Refused { ticket, why } => self.refused(ticket, why, out),
                Said::ReadDone { ticket, held } => self.read_done(ticket, held, out),
                Said::InForce { version, body } => self.now_in_force(version, body, out),
                Said::MarkLearned { key, value } => self.mark_learned(&key, &value),
                Said::Log(text) => {
                    self.journal.note(self.now, What::Said(text.clone()));
                    out.push(Action::Log(text));
                }
            }
        }
    }

    fn tell_membership(&mut self, event: elderpond_membership::Event<'_>, out: &mut Vec<Action>) {
        use elderpond_membership::Action as Said;
        let mut said = Vec::new();
        self.membership.handle(self.now, event, &mut said);
        let mut moved = false;
        for action in said {
            moved |= !matches!(action, Said::Send { .. });
            match action {
                Said::Send { to, packet } => {
                    let datagram = datagram(&packet);
                    out.push(Action::Packet { to, datagram });
                }
                Said::Up(node) => {
                    self.journal.note(self.now, What::HiveUp(node));
                    self.others.insert(node, Other::default());
                    out.push(Action::Dial(node));
                }
                Said::Suspect(node) => self.journal.note(self.now, What::HiveSuspect(node)),
                Said::Down(node) => {
                    self.journal.note(self.now, What::HiveDown(node));
                    self.others.remove(&node);
                    out.push(Action::Hang(node));
                }
                Said::Left(node) => {
                    self.journal.note(self.now, What::HiveLeft(node));
                    self.others.remove(&node);
                    out.push(Action::Hang(node));
                    self.tell_replica(elderpond_consensus::Event::Leaving(node), out);
                }
            }
        }
        if moved {
            let alive = self.membership.alive().collect();
            self.tell_replica(elderpond_consensus::Event::Alive(alive), out);
            self.pulse_at = self.now;
        }
    }

    /// The number of a zone's name.
    fn zone(&mut self, name: &str) -> u16 {
        let known = self.zones.iter().position(|zone| zone == name);
        let at = known.unwrap_or_else(|| {
            self.zones.push(name.to_owned());
            self.zones.len() - 1
        });
        u16::try_from(at).unwrap_or(u16::MAX)
    }

    /// What happened here last.
    pub fn journal(&mut self) -> &mut Journal {
        &mut self.journal
    }
}
