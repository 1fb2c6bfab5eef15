//! Who decides: elderpond's module, or one of the baselines that it is compared with. Baselines live
//! here and never in the module.

use std::collections::{BTreeMap, BTreeSet};

use elderpond::Manager;
use elderpond::interface::{
    Action, Condition, Entry, Event, ListKind, LoadField, Settings, WorkerId,
};
use elderpond_model::World;

/// The one table of a baseline.
const TABLE: u16 = 0;
/// A baseline orders at most once in so many milliseconds.
const GATHER_MS: f64 = 1000.0;
/// Parts of the queue cap that a baseline fills with what can wait, and with what cannot.
const ORDINARY: f64 = 0.35;
const URGENT: f64 = 0.8;
/// Weights of a baseline move in steps of this part.
const STEP: f64 = 0.1;

/// What decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// elderpond's module.
    Elderpond,
    /// The listed weights, changes at once.
    Listed,
    /// The same weight for all.
    Uniform,
    /// Listed weight over one plus the load last reported.
    LeastReported,
    /// What is true of every worker, as nobody can know it.
    Oracle,
}

impl Kind {
    /// All kinds with their names.
    pub const NAMES: [(&'static str, Self); 5] = [
        ("elderpond", Self::Elderpond),
        ("listed", Self::Listed),
        ("uniform", Self::Uniform),
        ("least-reported", Self::LeastReported),
        ("oracle", Self::Oracle),
    ];

    /// Its name.
    pub fn name(self) -> &'static str {
        Self::NAMES
            .iter()
            .find(|(_, kind)| *kind == self)
            .map_or("?", |(name, _)| name)
    }

    /// The kind of a name.
    pub fn parse(name: &str) -> Option<Self> {
        Self::NAMES
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, kind)| *kind)
    }
}

/// What decides for one manager.
pub trait Decider {
    /// Takes in what has happened by `now` and appends what is to be done.
    fn decide(&mut self, now: f64, events: &[Event], world: &World, out: &mut Vec<Action>);
}

impl Decider for Manager {
    fn decide(&mut self, now: f64, events: &[Event], _: &World, out: &mut Vec<Action>) {
        self.handle(now, events, out);
    }
}

/// A decider of a kind, for a manager that starts.
pub fn start(kind: Kind, seed: u64, settings: &Settings) -> Box<dyn Decider> {
    match kind {
        Kind::Elderpond => Box::new(Manager::new(seed, settings.clone())),
        kind => Box::new(Plain {
            kind: Some(kind),
            settings: settings.clone(),
            ..Plain::default()
        }),
    }
}

/// A baseline: one table of all that is listed ready, by a plain rule.
#[derive(Default)]
struct Plain {
    kind: Option<Kind>,
    settings: Settings,
    list: BTreeMap<WorkerId, Entry>,
    /// Load last reported, by worker.
    loads: BTreeMap<WorkerId, f64>,
    proxies: BTreeMap<u16, bool>,
    ordered: BTreeMap<WorkerId, f64>,
    /// Lines that are thought to wait in the channel, as of when.
    queue: f64,
    queue_at: f64,
    ordered_at: f64,
    /// When the table was last gone over, and whether something asks for it since.
    looked_at: f64,
    changed: bool,
    timed: bool,
}

impl Plain {
    fn follow(&mut self, kind: ListKind, entries: &[Entry]) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.list.clear();
        }
        for entry in entries {
            match entry.condition {
                Condition::Gone => drop(self.list.remove(&entry.worker)),
                _ => drop(self.list.insert(entry.worker, entry.clone())),
            }
        }
    }

    fn wanted(&self, world: &World) -> BTreeMap<WorkerId, f64> {
        let mut wanted = BTreeMap::new();
        if self.kind == Some(Kind::Oracle) {
            for id in 0..world.workers() {
                let truth = world.truth(id);
                if truth.ready && !truth.cold && !world.is_cut(truth.zone) {
                    wanted.insert(id as WorkerId, truth.capacity);
                }
            }
        } else {
            for (id, entry) in &self.list {
                let load = self.loads.get(id).copied().unwrap_or(0.0);
                let weight = match self.kind {
                    Some(Kind::Uniform) => 1.0,
                    Some(Kind::LeastReported) => entry.weight.max(0.1) / (1.0 + load),
                    _ => entry.weight,
                };
                if entry.condition == Condition::Ready {
                    wanted.insert(*id, weight);
                }
            }
        }
        // Only what moved by a step is worth a line.
        for (id, weight) in &mut wanted {
            if let Some(ordered) = self.ordered.get(id)
                && (*weight / ordered - 1.0).abs() < STEP
            {
                *weight = *ordered;
            }
        }
        wanted.retain(|_, weight| *weight > 0.0);
        wanted
    }

    fn room(&self, part: f64) -> f64 {
        self.settings.queue_cap * part - self.queue
    }
}

impl Decider for Plain {
    fn decide(&mut self, now: f64, events: &[Event], world: &World, out: &mut Vec<Action>) {
        let passed = (now - self.queue_at).max(0.0) / 1000.0;
        (self.queue, self.queue_at) = (
            (self.queue - passed * self.settings.channel_rate * 0.8).max(0.0),
            now,
        );
        for event in events {
            let asks = matches!(event, Event::List { .. } | Event::Joined(_));
            self.changed |= asks;
            match event {
                Event::List { kind, entries } => self.follow(*kind, entries),
                Event::Joined(joined) => drop(self.proxies.insert(joined.proxy, false)),
                Event::Left { proxy } => drop(self.proxies.remove(proxy)),
                Event::Heard(heard) => {
                    let settings = &self.settings;
                    let waits = settings.load(LoadField::Waiting, &heard.load);
                    let held = settings.load(LoadField::Active, &heard.load);
                    let busy = settings.load(LoadField::Cpu, &heard.load);
                    self.loads.insert(heard.worker, waits + held + busy);
                }
                Event::Timer { .. } => self.timed = false,
                _ => {}
            }
        }
        if !self.timed {
            self.timed = true;
            out.push(Action::Timer {
                after_ms: 100.0,
                token: 0,
            });
        }
        if !self.changed && now - self.looked_at < GATHER_MS / 2.0 {
            return;
        }
        (self.looked_at, self.changed) = (now, false);
        let wanted = self.wanted(world);
        let users: Vec<u16> = self
            .proxies
            .iter()
            .filter(|(_, bound)| **bound)
            .map(|(id, _)| *id)
            .collect();
        let gone: BTreeSet<WorkerId> = self
            .ordered
            .keys()
            .filter(|id| !wanted.contains_key(id))
            .copied()
            .collect();
        let mut changes: Vec<(WorkerId, f64)> = gone.iter().map(|id| (*id, 0.0)).collect();
        let urgent = changes.len();
        let moved = wanted
            .iter()
            .filter(|(id, weight)| self.ordered.get(id) != Some(weight));
        changes.extend(moved.map(|(id, weight)| (*id, *weight)));
        let head = self.settings.head_lines;
        let cost = |lines: usize| users.len() as f64 * (head + lines as f64);
        let due = now - self.ordered_at >= GATHER_MS || users.is_empty();
        let mut count = 0;
        if due && cost(changes.len()) <= self.room(ORDINARY) || users.is_empty() {
            count = changes.len();
        } else if urgent > 0 && cost(urgent) <= self.room(URGENT) {
            count = urgent;
        }
        if count > 0 {
            self.ordered_at = now;
            self.queue += cost(count);
        }
        for (id, weight) in changes.into_iter().take(count) {
            out.push(Action::set_weight(TABLE, id, weight));
            match weight > 0.0 {
                true => drop(self.ordered.insert(id, weight)),
                false => drop(self.ordered.remove(&id)),
            }
        }
        let joiners: Vec<u16> = self
            .proxies
            .iter()
            .filter(|(_, bound)| !**bound)
            .map(|(id, _)| *id)
            .collect();
        for proxy in joiners {
            let lines = head + 1.0 + self.ordered.len() as f64;
            if self.ordered.is_empty() || lines > self.room(URGENT) {
                self.changed = true;
                break;
            }
            self.queue += lines;
            self.proxies.insert(proxy, true);
            out.push(Action::bind(0, TABLE, proxy));
        }
    }
}
