//! The workers that a forager knows, and which of them a request goes to.
//!
//! The published weight says how much of a worker is to be used at all; among workers the request
//! goes where it is likely to be done soonest, by how many requests a worker was seen to hold. A
//! worker of another zone is as good as one that takes `away_ms` longer.

use std::sync::Arc;

use ahash::RandomState;
use elderpond_brood::{Change, Entry, Number, State, Table};
use elderpond_waggle::Line;
use hashbrown::HashMap;

use crate::{Chance, End, Millis};

/// What is wanted of a worker.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// Of which service.
    pub service: &'a str,
    /// Workers that are out of the question.
    pub but: &'a [Number],
    /// By how many milliseconds a worker of another zone counts as slower.
    pub away_ms: f64,
    /// Milliseconds after which an answer is of no use.
    pub left_ms: f64,
    /// Whether it has to have a slot free.
    pub free: bool,
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
}

/// How the picking weighs what it sees.
#[derive(Clone, Copy, Debug)]
pub struct Taste {
    /// Requests that a worker may hold, in multiples of its slots.
    pub fill: f64,
    /// How fast what a worker said of its load is forgotten, in milliseconds.
    pub fade_ms: f64,
    /// A service with more workers than this is not gone over whole for a request.
    pub whole: usize,
    /// Connections that one worker may be given here where the service tells no limit.
    pub connections: usize,
}

impl Default for Taste {
    fn default() -> Self {
        Self {
            fill: 3.0,
            fade_ms: 500.0,
            whole: 24,
            connections: 16,
        }
    }
}

/// A worker as this forager sees it.
#[derive(Debug)]
pub struct Flower {
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
    failures: u32,
    rests_until: Millis,
    line: Option<Line>,
    took_sum: f64,
}

#[derive(Debug, Default)]
struct Service {
    home: Vec<Number>,
    away: Vec<Number>,
    /// Mean of what workers are seen to hold for others.
    others: f64,
    /// Mean time without waiting, in milliseconds; 0 while nothing is known.
    pace_ms: f64,
    /// Connections that one of its workers may be given here, where that is told.
    connections: Option<usize>,
}

/// All workers that are known.
#[derive(Debug)]
pub struct Patch {
    zone: String,
    taste: Taste,
    table: Table,
    flowers: HashMap<Number, Flower, RandomState>,
    services: HashMap<Arc<str>, Service, RandomState>,
    misplaced: Vec<Number>,
    reported_at: Millis,
}

/// Time without waiting that is taken for likely while nothing is known.
const PACE_MS: f64 = 150.0;
/// A worker that is slow from its start takes this multiple.
const COLD: f64 = 2.0;

impl Patch {
    /// One that knows nobody.
    pub fn new(zone: &str, taste: Taste) -> Self {
        Self {
            zone: zone.to_owned(),
            taste,
            table: Table::default(),
            flowers: HashMap::default(),
            services: HashMap::default(),
            misplaced: Vec::new(),
            reported_at: 0,
        }
    }

    /// How the picking weighs; may be changed at any time.
    pub fn taste(&mut self) -> &mut Taste {
        &mut self.taste
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
        let known: Vec<Number> = self.flowers.keys().copied().collect();
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
            if let Some(flower) = self.flowers.remove(&number) {
                self.unlist(number, &flower.entry.service);
            }
            return;
        };
        let warm_at = now + Millis::from(line.cold_ms);
        if let Some(flower) = self.flowers.get_mut(&number) {
            if flower.entry.service == line.service && flower.entry.zone == line.zone {
                if flower.entry.address != line.address {
                    flower.rests_until = 0;
                }
                if flower.entry.cold_ms != line.cold_ms {
                    flower.warm_at = warm_at;
                }
                flower.entry = line;
                return;
            }
            let service = flower.entry.service.clone();
            self.flowers.remove(&number);
            self.unlist(number, &service);
        }
        let service = (self.services.entry(Arc::from(line.service.as_str()))).or_default();
        let list = match line.zone == self.zone {
            true => &mut service.home,
            false => &mut service.away,
        };
        list.push(number);
        let flower = Flower {
            entry: line,
            holds: 0,
            warm_at,
            others: service.others,
            seen_at: now,
            pace_ms: 0.0,
            quiet_since: now,
            failures: 0,
            rests_until: 0,
            line: None,
            took_sum: 0.0,
        };
        self.flowers.insert(number, flower);
    }

    fn unlist(&mut self, number: Number, service: &str) {
        if let Some(service) = self.services.get_mut(service) {
            service.home.retain(|other| *other != number);
            service.away.retain(|other| *other != number);
        }
    }

    /// A worker, if it is known and may be sent to.
    pub fn flower(&self, number: Number) -> Option<&Flower> {
        self.flowers.get(&number)
    }

    /// Whether any worker of the service is known.
    pub fn serves(&self, service: &str) -> bool {
        (self.services.get(service)).is_some_and(|it| !it.home.is_empty() || !it.away.is_empty())
    }

    /// Each worker of the service may be given this many connections here, at most, if that is told.
    pub fn limit(&mut self, service: &str, connections: Option<usize>) {
        let service = self.services.entry(Arc::from(service)).or_default();
        service.connections = connections;
    }

    /// Requests of this forager that a worker has, and connections that it may be given here.
    pub fn connections(&self, number: Number) -> (usize, usize) {
        let flower = self.flowers.get(&number);
        let service = flower.and_then(|it| self.services.get(it.entry.service.as_str()));
        let most = service.and_then(|service| service.connections);
        (
            flower.map_or(0, |flower| flower.holds as usize),
            most.unwrap_or(self.taste.connections),
        )
    }

    /// How many workers are known.
    pub fn len(&self) -> usize {
        self.flowers.len()
    }

    /// Whether no worker is known.
    pub fn is_empty(&self) -> bool {
        self.flowers.is_empty()
    }

    /// Mean time of the service's requests without waiting, in milliseconds.
    pub fn pace_ms(&self, service: &str) -> f64 {
        match self.services.get(service) {
            Some(service) if service.pace_ms > 0.0 => service.pace_ms,
            _ => PACE_MS,
        }
    }

    /// The newest lives known to have left.
    pub fn departed(&self, most: usize) -> Vec<(Number, State)> {
        self.table.departed(most)
    }

    /// The worker for a request; none where every one is full, resting or out of the question.
    pub fn pick(&self, now: Millis, want: &Want, chance: &mut Chance) -> Option<Number> {
        let service = self.services.get(want.service)?;
        let all = service.home.len() + service.away.len();
        let mut best: Option<(f64, Number)> = None;
        // where the published weights are 0 for all, the listed ones stand; see the hive
        let mut look = |number: &Number, away: bool| {
            if want.but.contains(number) {
                return;
            }
            let Some(cost) = self.cost(now, *number, service, want) else {
                return;
            };
            let cost = cost + if away { want.away_ms } else { 0.0 };
            let cost = cost * (1.0 + 0.02 * chance.unit());
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *number));
            }
        };
        if all <= self.taste.whole {
            service.home.iter().for_each(|number| look(number, false));
            service.away.iter().for_each(|number| look(number, true));
        } else {
            let mut some = Chance::new(now ^ (want.but.len() as u64) << 32 ^ all as u64);
            some.draw();
            let most = self.taste.whole / 2;
            sample(&service.home, most, &mut some).for_each(|number| look(number, false));
            sample(&service.away, most, &mut some).for_each(|number| look(number, true));
        }
        best.map(|(_, number)| number)
    }

    /// Milliseconds in which a worker would likely be done; none where it may not be sent to.
    fn cost(&self, now: Millis, number: Number, service: &Service, want: &Want) -> Option<f64> {
        let flower = self.flowers.get(&number)?;
        if flower.entry.weight == 0 || now < flower.rests_until {
            return None;
        }
        if flower.failures > 0 && flower.rests_until > 0 && flower.holds > 0 {
            return None; // on trial: one at a time
        }
        if flower.holds as usize >= service.connections.unwrap_or(self.taste.connections) {
            return None;
        }
        let slots = f64::from(flower.entry.slots);
        let held = f64::from(flower.holds) + flower.others(now, service, self.taste.fade_ms);
        if held + 1.0 > slots * self.taste.fill {
            return None;
        }
        if want.free && held + 1.0 > slots {
            return None;
        }
        let usual = match service.pace_ms {
            0.0 => PACE_MS,
            pace => pace,
        };
        let mut pace = match flower.pace_ms {
            0.0 => usual,
            pace => pace,
        };
        if now < flower.warm_at {
            pace = pace.max(usual) * COLD;
        }
        let weight = f64::from(flower.entry.weight) / 100.0;
        let done = pace * (((held + 1.0) / slots).max(1.0) + 0.4 * held / slots) / weight;
        let quiet = now.saturating_sub(flower.quiet_since) as f64;
        let silent = flower.holds > 0 && quiet > (3.0 * usual).max(300.0);
        if done > want.left_ms && held >= slots {
            return None;
        }
        Some(if silent { done * 4.0 + usual } else { done })
    }

    /// Notes that a request goes to a worker.
    pub fn sent(&mut self, now: Millis, number: Number) {
        if let Some(flower) = self.flowers.get_mut(&number) {
            if flower.holds == 0 {
                flower.quiet_since = now;
            }
            flower.holds += 1;
        }
    }

    /// Notes what came of it.
    pub fn ended(&mut self, now: Millis, number: Number, met: Met) {
        let fade = self.taste.fade_ms;
        let Some(flower) = self.flowers.get_mut(&number) else {
            return;
        };
        let service = self.services.get_mut(flower.entry.service.as_str());
        let held = f64::from(flower.holds) + flower.others;
        flower.holds = flower.holds.saturating_sub(1);
        if let Some((running, waiting, slots)) = met.load {
            flower.entry.slots = slots.max(1);
            let total = f64::from(running) + f64::from(waiting);
            flower.others = (total - f64::from(flower.holds)).max(0.0);
            flower.seen_at = now;
            if let Some(service) = service {
                service.others += 0.05 * (flower.others - service.others);
                if met.end == End::Good {
                    let alone = met.took_ms / (held / f64::from(flower.entry.slots)).max(1.0);
                    let toward = |mean: &mut f64, part: f64| match *mean {
                        0.0 => *mean = alone,
                        _ => *mean += part * (alone - *mean),
                    };
                    if now >= flower.warm_at {
                        toward(&mut service.pace_ms, 0.02);
                        if flower.pace_ms == 0.0 {
                            flower.pace_ms = service.pace_ms;
                        }
                        toward(&mut flower.pace_ms, 0.1);
                    }
                }
            }
        } else if now > flower.seen_at + fade as Millis * 4 {
            flower.seen_at = now;
        }
        let line = flower.line.get_or_insert(Line {
            worker: number,
            tries: 0,
            failed: 0,
            shed: 0,
            took_ms: 0,
            load: None,
        });
        line.load = met.load.or(line.load);
        match met.end {
            End::Good | End::Own { status: ..=499 } => {
                line.tries += 1;
                flower.took_sum += met.took_ms;
                flower.well(now);
            }
            End::Own { .. } => {
                line.tries += 1;
                line.failed += 1;
                flower.quiet_since = now;
            }
            End::Full => {
                line.shed += 1;
                flower.others = flower.others.max(f64::from(flower.entry.slots) * 2.0);
                flower.seen_at = now;
                flower.quiet_since = now;
            }
            End::Misplaced => self.misplaced.push(number),
            End::Unsent | End::Lost | End::Late => {
                line.tries += 1;
                line.failed += 1;
                flower.failures += 1;
                let enough = if met.end == End::Unsent { 1 } else { 3 };
                if flower.failures >= enough {
                    let rest = 200_u64 << (flower.failures - enough).min(4);
                    flower.rests_until = now + rest;
                }
            }
        }
    }

    /// What was met since the last call; none where nothing was.
    pub fn report(&mut self, now: Millis) -> Option<(u32, Vec<Line>, Vec<Number>)> {
        let covers = now.saturating_sub(self.reported_at) as u32;
        let mut lines = Vec::new();
        for flower in self.flowers.values_mut() {
            if let Some(mut line) = flower.line.take() {
                let good = line.tries.saturating_sub(line.failed);
                line.took_ms = (flower.took_sum / f64::from(good.max(1))) as u32;
                flower.took_sum = 0.0;
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

impl Flower {
    /// Requests of others that it likely holds now.
    fn others(&self, now: Millis, service: &Service, fade_ms: f64) -> f64 {
        let age = now.saturating_sub(self.seen_at) as f64;
        let fresh = (-age / fade_ms).exp();
        self.others * fresh + service.others * (1.0 - fresh)
    }

    fn well(&mut self, now: Millis) {
        self.failures = 0;
        self.rests_until = 0;
        self.quiet_since = now;
    }
}

/// Up to `most` of a list, from a place drawn.
fn sample<'a>(
    list: &'a [Number],
    most: usize,
    chance: &mut Chance,
) -> impl Iterator<Item = &'a Number> {
    let start = chance.below(list.len());
    list.iter().cycle().skip(start).take(most.min(list.len()))
}
