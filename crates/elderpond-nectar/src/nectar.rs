//! All services and workers, by their own names and numbers.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

use elderpond::interface as core;

use crate::service::{Brought, Met, Service};

/// A time, or a span, in milliseconds on a steady clock.
pub type Millis = u64;

/// What is the same for all services.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Probes a second that a service may be sent at most; 0 for none.
    pub probes_per_s: f64,
    /// Whether load reports tell how busy a worker is: running over slots. Then busy workers are eased
    /// by it, else by the times of their answers.
    pub use_load: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            probes_per_s: 2.0,
            use_load: false,
        }
    }
}

/// What the routes of a service ask of it; a service may be named for each of its routes, and the
/// mean of the aims holds.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceAims {
    /// Which service.
    pub service: String,
    /// An answer within this span earns the full worth, in ms.
    pub aim_ms: f64,
    /// The client waits no longer, in ms.
    pub give_up_ms: f64,
    /// Whether its requests may run twice. Recorded only: tries are not decided here.
    pub safe: bool,
}

/// What a worker says of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u16,
    /// Requests waiting.
    pub waiting: u16,
    /// Requests that may run at once; 0 if unknown.
    pub slots: u16,
}

impl Load {
    /// Busy part of the slots; 1 while something waits.
    pub fn busy(&self) -> f64 {
        match (self.waiting, self.slots) {
            (1.., _) => 1.0,
            (0, 0) => 0.0,
            (0, slots) => (f64::from(self.running) / f64::from(slots)).min(1.0),
        }
    }
}

/// What one forager met at a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Line {
    /// Which worker.
    pub worker: u64,
    /// Tries that ended, those turned away for want of room not among them.
    pub tries: u32,
    /// Those of `tries` without a good answer.
    pub failed: u32,
    /// Tries that the worker turned away, not run, because it was full; not among `tries`.
    pub shed: u32,
    /// Mean time of the good ones, in ms.
    pub took_ms: f64,
    /// Latest load report, if any.
    pub load: Option<Load>,
    /// Zone of the forager.
    pub zone: u16,
}

/// What the list says of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Taking work.
    Ready,
    /// Finishing what it has; send nothing new.
    Draining,
    /// No longer there.
    Gone,
}

/// What a look brought.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A worker's published weight has changed.
    Weight {
        /// Which worker.
        worker: u64,
        /// The weight, from 0 to 1.
        weight: f32,
    },
    /// Probe a worker.
    Probe {
        /// Which worker.
        worker: u64,
    },
    /// A line for the operators.
    Log {
        /// Which service.
        service: String,
        /// The line.
        text: String,
    },
}

/// Why a worker has its weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It has its listed weight.
    Listed,
    /// It answers, but badly or late, or comes back by steps.
    Lowered,
    /// It is held out.
    HeldOut,
    /// It is draining.
    Draining,
    /// Its service is not configured, so nothing is known of it.
    NoService,
}

/// A worker's state, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Explained {
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: u16,
    /// Why it has its weight.
    pub standing: Standing,
    /// The published weight, from 0 to 1.
    pub weight: f32,
    /// When that last changed, in ms.
    pub since: Millis,
    /// Mean aim of its service's routes, in ms, and the longest that a client waits.
    pub aim_ms: Option<(f64, f64)>,
    /// Tries of the present and the last whole second.
    pub tries: u32,
    /// Those without a good answer.
    pub failed: u32,
    /// Tries turned away in that time.
    pub shed: u32,
    /// Mean time of the good ones, in ms; 0 if there were none.
    pub took_ms: f64,
    /// The latest probe: when it ended (ms), whether it was answered well, and its time in ms.
    pub probe: Option<(Millis, bool, f64)>,
    /// The latest load report.
    pub load: Option<Load>,
}

/// Counts of one second, for operators.
#[derive(Clone, Copy, Default)]
struct Second {
    tries: u32,
    failed: u32,
    shed: u32,
    time: f64,
}

struct Known {
    /// Its short number.
    id: u32,
    service: String,
    zone: u16,
    condition: Condition,
    /// What the manager has in its table, and what is published of it: nothing while it drains.
    table: f32,
    weight: f32,
    since: Millis,
    met: Met,
    load: Option<Load>,
    probe: Option<(Millis, bool, f64)>,
    second: Millis,
    counts: [Second; 2],
}

/// The policy for all services.
pub struct Nectar {
    seed: u64,
    rules: Rules,
    services: BTreeMap<String, Service>,
    workers: HashMap<u64, Known>,
    /// Workers by their short numbers.
    numbers: BTreeMap<u32, u64>,
    next_id: u32,
    /// Workers with something met since the last look, by short number.
    dirty: BTreeSet<u32>,
    /// Weights to be told.
    changed: BTreeMap<u64, f32>,
    brought: Vec<Brought>,
}

impl Nectar {
    /// Knows no service and no worker.
    pub fn new(seed: u64, rules: Rules) -> Self {
        Self {
            seed,
            rules,
            services: BTreeMap::new(),
            workers: HashMap::new(),
            numbers: BTreeMap::new(),
            next_id: 0,
            dirty: BTreeSet::new(),
            changed: BTreeMap::new(),
            brought: Vec::new(),
        }
    }

    /// Takes a new configuration at `now` (ms). Services that stay keep their readings and ceilings;
    /// workers of services that go stand at their listed weight.
    pub fn services(&mut self, now: Millis, aims: &[ServiceAims]) {
        let named: BTreeSet<&str> = aims.iter().map(|aims| aims.service.as_str()).collect();
        self.services
            .retain(|name, _| named.contains(name.as_str()));
        for name in named {
            let of: Vec<&ServiceAims> = aims.iter().filter(|aims| aims.service == name).collect();
            let sound = |span: f64| if span.is_finite() { span.max(1.0) } else { 1.0 };
            let mean = of.iter().map(|aims| sound(aims.aim_ms)).sum::<f64>() / of.len() as f64;
            let give_up = of.iter().map(|aims| sound(aims.give_up_ms));
            let service = match self.services.get_mut(name) {
                Some(service) => service,
                None => self.begin(name),
            };
            (service.aim_ms, service.give_up_ms) = (mean, give_up.fold(0.0, f64::max));
        }
        let left: Vec<u64> = self
            .workers
            .iter()
            .filter(|(_, known)| known.condition == Condition::Ready)
            .filter(|(_, known)| !self.services.contains_key(&known.service))
            .map(|(number, _)| *number)
            .collect();
        for number in left {
            self.publish(now, number, 1.0);
        }
    }

    /// Sets up a service with the workers that are already listed for it.
    fn begin(&mut self, name: &str) -> &mut Service {
        let mut hasher = DefaultHasher::new();
        (self.seed, name).hash(&mut hasher);
        let mut service = Service::new(hasher.finish(), &self.rules);
        for number in self.numbers.values() {
            if let Some(known) = self
                .workers
                .get(number)
                .filter(|known| known.service == name)
            {
                service.list(known.id, known.zone, known.condition.into());
            }
        }
        self.services.entry(name.to_owned()).or_insert(service)
    }

    /// Takes what the list says of a worker at `now` (ms). What takes it out holds from this call on; a
    /// new one has its listed weight at once, and one that returns has it back by the next second.
    pub fn worker(
        &mut self,
        now: Millis,
        number: u64,
        service: &str,
        zone: u16,
        condition: Condition,
    ) {
        if self
            .workers
            .get(&number)
            .is_some_and(|known| known.service != service)
        {
            self.remove(now, number);
        }
        if condition == Condition::Gone {
            self.remove(now, number);
            return;
        }
        let fresh = !self.workers.contains_key(&number);
        if fresh {
            self.add(now, number, service, zone);
        }
        let Some(known) = self.workers.get_mut(&number) else {
            return;
        };
        if !fresh && (known.zone, known.condition) == (zone, condition) {
            return;
        }
        (known.zone, known.condition) = (zone, condition);
        let (id, known_table) = (known.id, known.table);
        let managed = self.services.get_mut(service);
        let alone = managed.is_none();
        if let Some(service) = managed {
            service.list(id, zone, condition.into());
        }
        // One that returns before the manager has looked has what it had.
        let table = if fresh || alone { 1.0 } else { known_table };
        self.publish(
            now,
            number,
            if condition == Condition::Ready {
                table
            } else {
                0.0
            },
        );
    }

    fn add(&mut self, now: Millis, number: u64, service: &str, zone: u16) {
        while self.numbers.contains_key(&self.next_id) {
            self.next_id = self.next_id.wrapping_add(1);
        }
        let id = self.next_id;
        self.next_id = id.wrapping_add(1);
        self.numbers.insert(id, number);
        let known = Known {
            id,
            service: service.to_owned(),
            zone,
            condition: Condition::Ready,
            table: 0.0,
            weight: 0.0,
            since: now,
            met: Met::default(),
            load: None,
            probe: None,
            second: now / 1000,
            counts: Default::default(),
        };
        self.workers.insert(number, known);
    }

    fn remove(&mut self, now: Millis, number: u64) {
        self.publish(now, number, 0.0);
        let Some(known) = self.workers.remove(&number) else {
            return;
        };
        self.numbers.remove(&known.id);
        self.dirty.remove(&known.id);
        if let Some(service) = self.services.get_mut(&known.service) {
            service.list(known.id, known.zone, core::Condition::Gone);
        }
    }

    fn publish(&mut self, now: Millis, number: u64, weight: f32) {
        if let Some(known) = self.workers.get_mut(&number)
            && known.weight != weight
        {
            (known.weight, known.since) = (weight, now);
            self.changed.insert(number, weight);
        }
    }

    /// Takes a forager's report at `now` (ms), counted over `covers_ms`. Lines on unknown workers are
    /// left aside.
    pub fn report(&mut self, now: Millis, lines: &[Line], covers_ms: f64) {
        for line in lines {
            let Some(known) = self.workers.get_mut(&line.worker) else {
                continue;
            };
            let failed = line.failed.min(line.tries);
            let took_ms = line.took_ms.max(0.0).min(f64::from(u32::MAX)); // NaN counts as 0
            let time = took_ms * f64::from(line.tries - failed);
            known.load = line.load.or(known.load);
            let second = known.second(now);
            second.tries = second.tries.saturating_add(line.tries);
            second.failed = second.failed.saturating_add(failed);
            second.shed = second.shed.saturating_add(line.shed);
            second.time += time;
            if line.tries > 0 {
                let met = &mut known.met;
                met.tries = met.tries.saturating_add(line.tries);
                met.failed = met.failed.saturating_add(failed);
                met.time += time;
                met.covers_ms = met.covers_ms.max(covers_ms);
                self.dirty.insert(known.id);
            }
        }
    }

    /// Takes the result of a probe that ended at `now` (ms) and took `took_ms`.
    pub fn probed(&mut self, now: Millis, worker: u64, ok: bool, took_ms: f64, load: Option<Load>) {
        let Some(known) = self.workers.get_mut(&worker) else {
            return;
        };
        known.load = load.or(known.load);
        known.probe = Some((now, ok, took_ms));
        if known.condition == Condition::Ready
            && let Some(service) = self.services.get_mut(&known.service)
        {
            service.probed(now, known.id, ok, took_ms, load);
        }
    }

    /// Decides by all that was told and appends what is to be done at `now` (ms); to be called each 100
    /// ms, and may be called sooner to have drains told.
    pub fn look(&mut self, now: Millis, out: &mut Vec<Outcome>) {
        for id in std::mem::take(&mut self.dirty) {
            let known = self.numbers.get(&id).and_then(|n| self.workers.get_mut(n));
            let Some(known) = known else {
                continue;
            };
            let met = std::mem::take(&mut known.met);
            if let Some(service) = self.services.get_mut(&known.service) {
                service.met(id, known.zone, &met, known.load);
            }
        }
        let mut brought = std::mem::take(&mut self.brought);
        let names: Vec<String> = self.services.keys().cloned().collect();
        for name in names {
            if let Some(service) = self.services.get_mut(&name) {
                service.look(now, &mut brought);
            }
            for item in brought.drain(..) {
                self.carry_out(now, &name, item, out);
            }
        }
        self.brought = brought;
        for (worker, weight) in std::mem::take(&mut self.changed) {
            out.push(Outcome::Weight { worker, weight });
        }
    }

    fn carry_out(&mut self, now: Millis, service: &str, item: Brought, out: &mut Vec<Outcome>) {
        match item {
            Brought::Weight(id, weight) => {
                let Some(&number) = self.numbers.get(&id) else {
                    return;
                };
                let Some(known) = self.workers.get_mut(&number) else {
                    return;
                };
                known.table = weight.clamp(0.0, 1.0) as f32;
                if known.condition == Condition::Ready {
                    let weight = known.table;
                    self.publish(now, number, weight);
                }
            }
            Brought::Probe(id) => {
                if let Some(&worker) = self.numbers.get(&id) {
                    out.push(Outcome::Probe { worker });
                }
            }
            Brought::Log(text) => {
                let service = service.to_owned();
                let text = self.by_number(text);
                out.push(Outcome::Log { service, text });
            }
        }
    }

    /// A line of the manager with our number in place of the short one.
    fn by_number(&self, text: String) -> String {
        let named = text.strip_prefix("worker ").and_then(|rest| {
            let (id, rest) = rest.split_once(' ')?;
            let number = self.numbers.get(&id.parse().ok()?)?;
            Some(format!("worker {number} {rest}"))
        });
        named.unwrap_or(text)
    }

    /// The published weight of a worker, from 0 to 1; 0 for one that is not known.
    pub fn weight(&self, worker: u64) -> f32 {
        self.workers.get(&worker).map_or(0.0, |known| known.weight)
    }

    /// A worker's state, for operators.
    pub fn explain(&self, worker: u64) -> Option<Explained> {
        let known = self.workers.get(&worker)?;
        let service = self.services.get(&known.service);
        let standing = match known.condition {
            Condition::Draining | Condition::Gone => Standing::Draining,
            Condition::Ready if service.is_none() => Standing::NoService,
            Condition::Ready if known.weight <= 0.0 => Standing::HeldOut,
            Condition::Ready if known.weight < 1.0 => Standing::Lowered,
            Condition::Ready => Standing::Listed,
        };
        let [last, this] = known.counts;
        let tries = last.tries.saturating_add(this.tries);
        let failed = last.failed.saturating_add(this.failed);
        Some(Explained {
            service: known.service.clone(),
            zone: known.zone,
            standing,
            weight: known.weight,
            since: known.since,
            aim_ms: service.map(|service| (service.aim_ms, service.give_up_ms)),
            tries,
            failed,
            shed: last.shed.saturating_add(this.shed),
            took_ms: (last.time + this.time) / f64::from(tries.saturating_sub(failed).max(1)),
            probe: known.probe,
            load: known.load,
        })
    }
}

impl Known {
    /// The counts of the present second.
    fn second(&mut self, now: Millis) -> &mut Second {
        let second = now / 1000;
        if second > self.second {
            let last = if second == self.second + 1 {
                self.counts[1]
            } else {
                Second::default()
            };
            self.counts = [last, Second::default()];
            self.second = second;
        }
        &mut self.counts[1]
    }
}

impl From<Condition> for core::Condition {
    fn from(condition: Condition) -> Self {
        match condition {
            Condition::Ready => Self::Ready,
            Condition::Draining => Self::Draining,
            Condition::Gone => Self::Gone,
        }
    }
}
