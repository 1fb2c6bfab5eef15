//! The workers that a forager knows, and which of them a request goes to.
//!
//! The published weight says how much of a worker is to be used at all; among workers the request
//! goes where it is likely to be done soonest, by how many requests a worker was seen to hold. A
//! worker of another zone is as good as one that takes `away_ms` longer.

mod abandoned;
mod outcome;
mod pick;

use std::sync::Arc;

use ahash::RandomState;
use elderpond_control_wire::Line;
use elderpond_registry::{Change, Entry, Number, State, Table};
use hashbrown::HashMap;

use crate::{Chance, End, Millis};

/// What is wanted of a worker.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// Of which service.
    pub service: &'a str,
    /// Workers that are out of the question.
    pub but: &'a [Number],
    /// By how many milliseconds a worker of another zone counts as slower, for an answer of
    /// [`LARGE`] bytes; less for smaller ones, as what is dear is bytes between zones.
    pub away_ms: f64,
    /// Milliseconds after which an answer is of no use.
    pub left_ms: f64,
    /// Whether it has to have a slot free.
    pub free: bool,
    /// Whether the request may run more than once.
    pub safe: bool,
}

/// What came of a try.
#[derive(Clone, Copy, Debug)]
pub struct Met {
    /// How it ended.
    pub end: End,
    /// Milliseconds that it took.
    pub took_ms: f64,
    /// Requests running, waiting, and slots, if the worker said.
    pub load: Option<(u16, u16, u16)>,
    /// Bytes of the answer's body.
    pub bytes: usize,
}

/// An answer of this many bytes is large enough to be kept within a zone.
pub const LARGE: f64 = 5000.0;
/// Bytes that go to and fro beside the answer's body.
const HEADS: f64 = 700.0;

/// How the picking weighs what it sees.
#[derive(Clone, Copy, Debug)]
pub struct PickTuning {
    /// Requests that a worker may hold, in multiples of its slots.
    pub fill: f64,
    /// How fast what a worker said of its load is forgotten, in milliseconds.
    pub fade_ms: f64,
    /// Workers of a service in the own zone that are looked at first. Few, so that each is seen
    /// often enough to be known.
    pub few: usize,
    /// Workers of each zone's list that are looked at where none of the few has a slot free.
    pub many: usize,
    /// Drawn for the forager: which are its few.
    pub seed: u64,
    /// Connections that one worker may be given here where the service tells no limit.
    pub connections: usize,
}

impl Default for PickTuning {
    fn default() -> Self {
        Self {
            fill: 3.0,
            fade_ms: 500.0,
            few: 6,
            many: 12,
            seed: 0,
            connections: 16,
        }
    }
}

/// A worker as this forager sees it.
#[derive(Debug)]
pub struct KnownWorker {
    /// Its line of the table.
    pub entry: Entry,
    /// Requests of this forager that it has.
    pub holds: u32,
    warm_at: Millis,
    /// Requests of others that it was seen to hold, and when.
    others: f64,
    seen_at: Millis,
    /// Mean time for a request without waiting, in milliseconds.
    pace_ms: f64,
    /// Since when it has answered nothing though it holds something.
    quiet_since: Millis,
    /// Milliseconds for which it had answered nothing when the last request that it held was taken back.
    silence_before: Millis,
    failures: u32,
    /// Part of the newest tries that failed.
    bad: f64,
    /// Whether one of its failures cost a request, rather than only not being reached.
    cost: bool,
    /// Whether it was reported silent and has not answered since.
    doubted: bool,
    rests_until: Millis,
    line: Option<Line>,
    took_sum: f64,
}

#[derive(Debug, Default)]
struct Service {
    home: Vec<Number>,
    away: Vec<Number>,
    /// Mean of what workers are seen to hold for others, and when one last said.
    others: f64,
    said_at: Millis,
    /// Mean time without waiting, in milliseconds; 0 while nothing is known.
    pace_ms: f64,
    /// Mean bytes of an answer; 0 while nothing is known.
    bytes: f64,
    /// Part of the answers that take twice the usual time.
    tail: f64,
    /// Connections that one of its workers may be given here, where that is told.
    connections: Option<usize>,
}

impl Service {
    /// What part of the handicap of other zones its answers are worth.
    fn weighs(&self) -> f64 {
        match self.bytes {
            0.0 => 1.0,
            bytes => ((bytes + HEADS) / (LARGE + HEADS)).min(1.0),
        }
    }

    /// Of a service that nobody is sent to nothing is heard: were the mean kept, a moment at which
    /// all were full would last for ever.
    fn others(&self, now: Millis, fade_ms: f64) -> f64 {
        let age = now.saturating_sub(self.said_at) as f64;
        self.others * (-0.5 * age / fade_ms).exp()
    }
}

/// All workers that are known.
#[derive(Debug)]
pub struct KnownWorkers {
    zone: String,
    tuning: PickTuning,
    table: Table,
    workers: HashMap<Number, KnownWorker, RandomState>,
    services: HashMap<Arc<str>, Service, RandomState>,
    misplaced: Vec<Number>,
    reported_at: Millis,
}

/// Time without waiting that is taken for likely while nothing is known.
const PACE_MS: f64 = 150.0;
/// Failures in a row after which a worker rests.
const ENOUGH: u32 = 3;
/// How much the newest try weighs in the part that failed.
const BAD: f64 = 0.15;

/// Weight of the newest request in the mean time of its worker, and in its service's.
const WORKER_PART: f64 = 0.1;
const SERVICE_PART: f64 = 0.02;

impl KnownWorkers {
    /// One that knows nobody.
    pub fn new(zone: &str, tuning: PickTuning) -> Self {
        Self {
            zone: zone.to_owned(),
            tuning,
            table: Table::default(),
            workers: HashMap::default(),
            services: HashMap::default(),
            misplaced: Vec::new(),
            reported_at: 0,
        }
    }

    /// How the picking weighs; may be changed at any time.
    pub fn tuning(&mut self) -> &mut PickTuning {
        &mut self.tuning
    }

    /// Takes in differences of the table.
    pub fn change(&mut self, now: Millis, change: &Change) {
        self.table.apply(change);
        let touched = (change.lines.iter().map(|line| Number::of(&line.id)))
            .chain(change.weights.iter().map(|(number, _)| *number))
            .chain(change.departed.iter().map(|(number, _)| *number))
            .chain(change.silent.iter().copied());
        for number in touched {
            self.match_line(now, number);
        }
    }

    /// Takes in a whole table; see [`Table::replace`].
    pub fn replace(&mut self, now: Millis, settled: bool, whole: &Change) {
        self.table.replace(settled, whole);
        let known: Vec<Number> = self.workers.keys().copied().collect();
        let listed: Vec<Number> = self.table.lines().map(|(number, _)| *number).collect();
        for number in known.into_iter().chain(listed) {
            self.match_line(now, number);
        }
    }

    /// A worker is found to be elsewhere or gone: it is not sent to any more.
    pub fn depart(&mut self, now: Millis, number: Number, state: State) {
        self.table.depart(number, state);
        self.match_line(now, number);
    }

    /// Brings one worker in line with the table.
    fn match_line(&mut self, now: Millis, number: Number) {
        let Some(line) = self.table.line(number).cloned() else {
            if let Some(worker) = self.workers.remove(&number) {
                self.unlist(number, &worker.entry.service);
            }
            return;
        };
        let warm_at = now + Millis::from(line.cold_ms);
        if let Some(worker) = self.workers.get_mut(&number) {
            if worker.entry.service == line.service && worker.entry.zone == line.zone {
                if worker.entry.address != line.address {
                    worker.rests_until = 0;
                }
                if worker.entry.cold_ms != line.cold_ms {
                    worker.warm_at = warm_at;
                }
                worker.entry = line;
                return;
            }
            let service = worker.entry.service.clone();
            self.workers.remove(&number);
            self.unlist(number, &service);
        }
        let service = (self.services.entry(Arc::from(line.service.as_str()))).or_default();
        let list = match line.zone == self.zone {
            true => &mut service.home,
            false => &mut service.away,
        };
        let seed = self.tuning.seed;
        let place = list.partition_point(|other| rank(seed, *other) < rank(seed, number));
        list.insert(place, number);
        let worker = KnownWorker {
            entry: line,
            holds: 0,
            warm_at,
            others: service.others(now, self.tuning.fade_ms),
            seen_at: now,
            pace_ms: 0.0,
            quiet_since: now,
            silence_before: 0,
            failures: 0,
            bad: 0.0,
            cost: false,
            doubted: false,
            rests_until: 0,
            line: None,
            took_sum: 0.0,
        };
        self.workers.insert(number, worker);
    }

    fn unlist(&mut self, number: Number, service: &str) {
        if let Some(service) = self.services.get_mut(service) {
            service.home.retain(|other| *other != number);
            service.away.retain(|other| *other != number);
        }
    }

    /// A worker, if it is known and may be sent to.
    pub fn worker(&self, number: Number) -> Option<&KnownWorker> {
        self.workers.get(&number)
    }

    /// Each worker of the service may be given this many connections here, at most, if that is told.
    pub fn limit(&mut self, service: &str, connections: Option<usize>) {
        let service = self.services.entry(Arc::from(service)).or_default();
        service.connections = connections;
    }

    /// Requests of this forager that a worker has, and connections that it may be given here.
    pub fn connections(&self, number: Number) -> (usize, usize) {
        let worker = self.workers.get(&number);
        let service = worker.and_then(|it| self.services.get(it.entry.service.as_str()));
        let most = service.and_then(|service| service.connections);
        (
            worker.map_or(0, |worker| worker.holds as usize),
            most.unwrap_or(self.tuning.connections),
        )
    }

    /// How many workers are known.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Whether no worker is known.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Mean time of the service's requests without waiting, in milliseconds.
    pub fn pace_ms(&self, service: &str) -> f64 {
        self.services
            .get(service)
            .map_or(PACE_MS, Service::usual_ms)
    }

    /// The newest lives known to have left.
    pub fn departed(&self, most: usize) -> Vec<(Number, State)> {
        self.table.departed(most)
    }
}

impl Service {
    /// Mean time without waiting, in milliseconds.
    fn usual_ms(&self) -> f64 {
        match self.pace_ms {
            0.0 => PACE_MS,
            pace => pace,
        }
    }
}

impl KnownWorker {
    /// Requests of others that it likely holds now.
    fn others(&self, now: Millis, service: &Service, fade_ms: f64) -> f64 {
        let age = now.saturating_sub(self.seen_at) as f64;
        // a load lasts longer where requests do
        let fresh = (-age / (fade_ms + 2.0 * service.usual_ms())).exp();
        self.others * fresh + service.others(now, fade_ms) * (1.0 - fresh)
    }

    /// Requests that it likely holds now, of whomever.
    fn likely_held(&self, now: Millis, service: &Service, fade_ms: f64) -> f64 {
        f64::from(self.holds) + self.others(now, service, fade_ms)
    }

    fn line(&mut self, worker: Number) -> &mut Line {
        self.line.get_or_insert(Line {
            worker,
            tries: 0,
            failed: 0,
            shed: 0,
            took_ms: 0,
            load: None,
        })
    }

    /// Counts failures; after enough of them in a row it rests, longer each time.
    fn failed(&mut self, now: Millis, count: u32) {
        self.failures += count;
        if self.failures >= ENOUGH {
            let rest = 200_u64 << (self.failures / ENOUGH - 1).min(4);
            self.rests_until = now + rest;
        }
    }

    fn well(&mut self, now: Millis) {
        self.failures = 0;
        self.cost = false;
        self.doubted = false;
        self.rests_until = 0;
        self.heard(now);
    }

    /// It has answered something.
    fn heard(&mut self, now: Millis) {
        self.quiet_since = now;
        self.silence_before = 0;
    }

    /// Requests that it holds, and those of others that it was last seen to hold.
    fn held(&self) -> f64 {
        f64::from(self.holds) + self.others
    }
}

/// Moves a mean towards the newest value by a part of the distance; 0 stands for a mean of nothing.
fn move_towards(mean: &mut f64, newest: f64, part: f64) {
    match *mean {
        0.0 => *mean = newest,
        _ => *mean += part * (newest - *mean),
    }
}

/// A worker's place in this forager's order; the lowest are its few.
fn rank(seed: u64, number: Number) -> u64 {
    Chance::new(seed ^ number.0).draw()
}
