//! The workers that a forager knows, and which of them a request goes to.
//!
//! The published weight says how much of a worker is to be used at all; among workers the request
//! goes where it is likely to be done soonest, by how many requests a worker was seen to hold. A
//! worker of another zone is as good as one that takes `away_ms` longer.

mod abandoned;

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
/// Milliseconds after its rest for which a worker that lost a request is not sent what may run once; a
/// fifth of it for one that was not reached. Then what was seen of it is too old to hold it out: in a
/// service of which no request may run twice nothing else would ever bring it back.
const LAPSE: Millis = 5000;
/// Where fewer than this part of the answers take twice the usual time, one that does is odd.
const TAIL: f64 = 0.04;
/// How much the newest try weighs in the part that failed.
const BAD: f64 = 0.15;
/// One of the few is taken if it is likely done within this multiple of the usual time: if it has
/// a slot free and nothing is wrong with it.
const FREE: f64 = 1.35;
/// A worker that is slow from its start takes this multiple.
const COLD: f64 = 2.0;

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

    /// The worker for a request; none where every one is full, resting or out of the question.
    pub fn pick(&self, now: Millis, want: &Want, chance: &mut Chance) -> Option<Number> {
        let service = self.services.get(want.service)?;
        let mut best: Option<(f64, Number)> = None;
        let mut look = |list: &[Number], away_ms: f64| {
            for number in list.iter().filter(|number| !want.but.contains(number)) {
                let Some(cost) = self.cost(now, *number, service, want) else {
                    continue;
                };
                let cost = (cost + away_ms) * (1.0 + 0.02 * chance.unit());
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, *number));
                }
            }
            best
        };
        let (few, more) = service
            .home
            .split_at(self.tuning.few.min(service.home.len()));
        let free = service.usual_ms() * FREE;
        if let Some((cost, number)) = look(few, 0.0)
            && cost <= free
        {
            return Some(number);
        }
        // over one stretch of each list, from a place that moves with time
        let start = (now as usize).wrapping_mul(7) ^ want.but.len();
        let most = self.tuning.many;
        stretch(more, start, most).for_each(|part| {
            look(part, 0.0);
        });
        stretch(&service.away, start, most).for_each(|part| {
            look(part, want.away_ms * service.weighs());
        });
        best.map(|(_, number)| number)
    }

    /// Milliseconds in which a worker would likely be done; none where it may not be sent to.
    fn cost(&self, now: Millis, number: Number, service: &Service, want: &Want) -> Option<f64> {
        let worker = self.workers.get(&number)?;
        if worker.entry.weight == 0 || now < worker.rests_until {
            return None;
        }
        if worker.failures > 0 && worker.rests_until > 0 {
            // on trial: one at a time, for a while of those that may run again
            let lapse = if worker.cost { LAPSE } else { LAPSE / 5 };
            if worker.holds > 0 || !want.safe && now < worker.rests_until + lapse {
                return None;
            }
        }
        if worker.holds as usize >= service.connections.unwrap_or(self.tuning.connections) {
            return None;
        }
        let slots = f64::from(worker.entry.slots);
        let held = f64::from(worker.holds) + worker.others(now, service, self.tuning.fade_ms);
        if held + 1.0 > slots * if want.free { 1.0 } else { self.tuning.fill } {
            return None;
        }
        let usual = service.usual_ms();
        let mut pace = match worker.pace_ms {
            0.0 => usual,
            pace => pace,
        };
        if now < worker.warm_at {
            pace = pace.max(usual) * COLD;
        }
        let weight = f64::from(worker.entry.weight) / 100.0;
        let mut done = pace * (((held + 1.0) / slots).max(1.0) + 0.4 * held / slots) / weight;
        if done > want.left_ms && held >= slots {
            return None;
        }
        let quiet = now.saturating_sub(worker.quiet_since) as f64;
        if worker.holds > 0 && quiet > (3.0 * usual).max(300.0) {
            done = done * 4.0 + usual;
        }
        // what fails is run again, or is lost; one failure alone says nothing
        let bad = (worker.bad - BAD).max(0.0);
        Some(done * (1.0 + bad * if want.safe { 4.0 } else { 12.0 }))
    }

    /// Notes that a request goes to a worker.
    pub fn sent(&mut self, now: Millis, number: Number) {
        if let Some(worker) = self.workers.get_mut(&number) {
            if worker.holds == 0 {
                worker.quiet_since = now.saturating_sub(worker.silence_before);
            }
            worker.holds += 1;
        }
    }

    /// Whether it is odd that a request sent to a worker at `since` has not been answered in twice
    /// the usual time: because few take as long, or since the worker has said nothing meanwhile.
    pub fn odd(&self, number: Number, since: Millis) -> bool {
        let Some(worker) = self.workers.get(&number) else {
            return true;
        };
        let service = self.services.get(worker.entry.service.as_str());
        worker.quiet_since <= since || service.is_some_and(|service| service.tail < TAIL)
    }

    /// A request sent at `since` is late: a worker that has answered nothing since counts as
    /// failing, before the request's time is over.
    pub fn late(&mut self, now: Millis, number: Number, since: Millis) {
        let Some(worker) = self.workers.get_mut(&number) else {
            return;
        };
        if worker.quiet_since > since || worker.doubted {
            return;
        }
        worker.doubted = true;
        worker.cost = true;
        worker.failed(now, ENOUGH);
        let line = worker.line(number);
        line.tries += 1;
        line.failed += 1;
    }

    /// Notes what came of it.
    pub fn ended(&mut self, now: Millis, number: Number, met: Met) {
        if met.end == End::Abandoned {
            return self.abandoned(now, number, now.saturating_sub(met.took_ms as Millis));
        }
        let fade = self.tuning.fade_ms;
        let Some(worker) = self.workers.get_mut(&number) else {
            return;
        };
        let service = self.services.get_mut(worker.entry.service.as_str());
        let held = worker.held();
        worker.holds = worker.holds.saturating_sub(1);
        if let Some((running, waiting, slots)) = met.load {
            worker.entry.slots = slots.max(1);
            let total = f64::from(running) + f64::from(waiting);
            worker.others = (total - f64::from(worker.holds)).max(0.0);
            worker.seen_at = now;
            if let Some(service) = service {
                let mean = service.others(now, fade);
                service.others = mean + 0.05 * (worker.others - mean);
                service.said_at = now;
                if met.end == End::Good {
                    let long = met.took_ms > 2.0 * service.usual_ms();
                    service.tail += 0.02 * (f64::from(u8::from(long)) - service.tail);
                    let bytes = met.bytes as f64;
                    match service.bytes {
                        0.0 => service.bytes = bytes,
                        mean => service.bytes += 0.02 * (bytes - mean),
                    }
                    let alone = met.took_ms / (held / f64::from(worker.entry.slots)).max(1.0);
                    let toward = |mean: &mut f64, part: f64| match *mean {
                        0.0 => *mean = alone,
                        _ => *mean += part * (alone - *mean),
                    };
                    if now >= worker.warm_at {
                        toward(&mut service.pace_ms, 0.02);
                        if worker.pace_ms == 0.0 {
                            worker.pace_ms = service.pace_ms;
                        }
                        toward(&mut worker.pace_ms, 0.1);
                    }
                }
            }
        } else if now > worker.seen_at + fade as Millis * 4 {
            worker.seen_at = now;
        }
        let good = matches!(met.end, End::Good | End::Own { status: ..=499 });
        let run = !matches!(met.end, End::Full | End::Misplaced);
        if run {
            worker.bad += BAD * (f64::from(u8::from(!good)) - worker.bad);
        }
        let told = worker.doubted && !good;
        let line = worker.line(number);
        line.load = met.load.or(line.load);
        if run && !told {
            line.tries += 1;
            line.failed += u32::from(!good);
        }
        line.shed += u32::from(met.end == End::Full);
        match met.end {
            End::Good | End::Own { status: ..=499 } => {
                worker.took_sum += met.took_ms;
                worker.well(now);
            }
            End::Own { .. } => {
                worker.heard(now);
                worker.doubted = false;
            }
            End::Full => {
                worker.others = worker.others.max(f64::from(worker.entry.slots) * 2.0);
                worker.seen_at = now;
                worker.heard(now);
            }
            End::Misplaced => self.misplaced.push(number),
            End::Unsent => worker.failed(now, ENOUGH),
            End::Lost | End::Late => {
                worker.cost = true;
                worker.failed(now, 1);
            }
            End::Abandoned => {} // noted above
        }
    }

    /// What was met since the last call; none where nothing was.
    pub fn report(&mut self, now: Millis) -> Option<(u32, Vec<Line>, Vec<Number>)> {
        let covers = now.saturating_sub(self.reported_at) as u32;
        let mut lines = Vec::new();
        for worker in self.workers.values_mut() {
            if let Some(mut line) = worker.line.take() {
                let good = line.tries.saturating_sub(line.failed);
                line.took_ms = (worker.took_sum / f64::from(good.max(1))) as u32;
                worker.took_sum = 0.0;
                lines.push(line);
            }
        }
        let misplaced = std::mem::take(&mut self.misplaced);
        if lines.is_empty() && misplaced.is_empty() {
            return None;
        }
        self.reported_at = now;
        Some((covers, lines, misplaced))
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

/// Up to `most` of a list from a place on, in two parts where it runs over the end.
fn stretch(list: &[Number], start: usize, most: usize) -> impl Iterator<Item = &[Number]> {
    let start = if list.is_empty() {
        0
    } else {
        start % list.len()
    };
    let (before, after) = list.split_at(start);
    let first = &after[..most.min(after.len())];
    let second = &before[..(most - first.len()).min(before.len())];
    [first, second].into_iter()
}

/// A worker's place in this forager's order; the lowest are its few.
fn rank(seed: u64, number: Number) -> u64 {
    Chance::new(seed ^ number.0).draw()
}
