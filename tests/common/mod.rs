//! A bed for tests: one manager, what it ordered, and what proxies would hold of it.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use elderpond::Manager;
use elderpond::interface::*;

/// Settings of a small, plain site.
pub fn settings() -> Settings {
    Settings {
        tick_ms: 5.0,
        classes: vec![
            class(500.0, 1.0, Repeat::ReadLike),
            class(1000.0, 5.0, Repeat::Never),
        ],
        cold_ms: 10_000.0,
        start_capacity: 0.2,
        tip_multiple: 4.0,
        fall_ms: 1500.0,
        drain_grace_ms: 2000.0,
        unserved_max_ms: 2000.0,
        probes: true,
        connect_timeout_ms: 250.0,
        admit: Admit::Ratio,
        report_interval_ms: 1000.0,
        push_delay_ms: 200.0,
        push_delay_max_ms: 500.0,
        channel_rate: 10_000.0,
        queue_cap: 10_000.0,
        head_lines: 3.0,
        update_span_ms: 10_000.0,
        first_wait: 1.0,
        ..Settings::default()
    }
}

pub fn class(aim_ms: f64, worth: f64, repeat: Repeat) -> Class {
    Class {
        aim_ms,
        give_up_ms: 3.0 * aim_ms,
        worth,
        repeat,
        home_only: false,
        writes: repeat != Repeat::ReadLike,
    }
}

pub fn entry(worker: WorkerId) -> Entry {
    Entry {
        worker,
        weight: 1.0,
        zone: 0,
        started: 0.0,
        condition: Condition::Ready,
    }
}

pub fn entry_in(zone: ZoneId, worker: WorkerId) -> Entry {
    Entry {
        zone,
        ..entry(worker)
    }
}

pub fn heard(worker: WorkerId, tries: u32, failed: u32, took_ms: f64) -> Event {
    Event::Heard(Heard {
        zone: 0,
        worker,
        tries,
        failed,
        took_ms,
        covers_ms: 1000.0,
        load: Vec::new(),
    })
}

pub fn joined(proxy: ProxyId) -> Event {
    joined_in(0, proxy, 1.0)
}

pub fn joined_in(zone: ZoneId, proxy: ProxyId, rate: f64) -> Event {
    Event::Joined(Joined {
        proxy,
        zone,
        rate,
        fresh: true,
    })
}

/// A manager and the state that its orders leave behind.
pub struct Bed {
    pub manager: Manager,
    pub now: f64,
    pub settings: Settings,
    pub workers: BTreeMap<WorkerId, Entry>,
    pub tables: BTreeMap<TableId, BTreeMap<WorkerId, f64>>,
    pub levels: BTreeMap<u16, (f64, Retry)>,
    pub joined: BTreeSet<ProxyId>,
    pub bound: BTreeMap<ProxyId, BTreeSet<TableId>>,
    /// Lines waiting in a channel that runs at its rate.
    pub queue: f64,
    pub longest_queue: f64,
    /// The part of its rate that the channel runs at; the manager is not told.
    pub pace: f64,
    /// Whether proxies answer marks; those on their way: a proxy reached, the lines ordered by then,
    /// and when the last of them left the channel.
    pub answers: bool,
    pub marks: VecDeque<(u64, ProxyId, f64, Option<f64>)>,
    pub ordered: f64,
    pub messages: BTreeMap<ProxyId, Vec<f64>>,
    pub probed: Vec<WorkerId>,
    pub logs: Vec<String>,
    /// All actions of the last step.
    pub last: Vec<Action>,
}

impl Bed {
    pub fn new(settings: Settings) -> Self {
        Self {
            manager: Manager::new(7, settings.clone()),
            now: 100_000.0,
            settings,
            workers: BTreeMap::new(),
            tables: BTreeMap::new(),
            levels: BTreeMap::new(),
            joined: BTreeSet::new(),
            bound: BTreeMap::new(),
            queue: 0.0,
            longest_queue: 0.0,
            pace: 1.0,
            answers: true,
            marks: VecDeque::new(),
            ordered: 0.0,
            messages: BTreeMap::new(),
            probed: Vec::new(),
            logs: Vec::new(),
            last: Vec::new(),
        }
    }

    /// A site at work: so many workers, and proxies bound to their table.
    pub fn running(settings: Settings, workers: u32, proxies: u16) -> Self {
        let mut bed = Self::new(settings);
        bed.list(ListKind::Cached, (1..=workers).map(entry).collect());
        for proxy in 0..proxies {
            bed.step(0.0, &[joined(proxy)]);
        }
        bed.pass(2000.0);
        bed
    }

    pub fn list(&mut self, kind: ListKind, entries: Vec<Entry>) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.workers.clear();
        }
        for entry in &entries {
            self.workers.insert(entry.worker, entry.clone());
        }
        self.step(0.0, &[Event::List { kind, entries }]);
    }

    /// Lets time pass in looks of a tenth of a second.
    pub fn pass(&mut self, span_ms: f64) {
        let until = self.now + span_ms;
        while self.now < until {
            self.step(100.0, &[Event::Timer { token: 0 }]);
        }
    }

    /// A second in which each worker answers as `met` says: tries, failures, mean time.
    pub fn second(&mut self, met: impl Fn(WorkerId) -> (u32, u32, f64)) {
        let mut events = Vec::new();
        for &worker in self.workers.keys() {
            let (tries, failed, took_ms) = met(worker);
            if tries > 0 {
                events.push(heard(worker, tries, failed, took_ms));
            }
        }
        self.step(100.0, &events);
        self.pass(900.0);
    }

    /// Hands over events after a span and books what is ordered.
    pub fn step(&mut self, span_ms: f64, events: &[Event]) {
        self.now += span_ms;
        let sent = span_ms / 1000.0 * self.settings.channel_rate * self.pace;
        self.queue = (self.queue - sent).max(0.0);
        let events = &[&self.answered(), events].concat()[..];
        for event in events {
            match event {
                Event::Joined(Joined { proxy, .. }) => {
                    self.joined.insert(*proxy);
                    self.bound.remove(proxy);
                    self.messages.remove(proxy);
                }
                Event::Left { proxy } => {
                    self.joined.remove(proxy);
                    self.bound.remove(proxy);
                }
                _ => {}
            }
        }
        let mut actions = Vec::new();
        self.manager.handle(self.now, events, &mut actions);
        let mut lines: BTreeMap<ProxyId, f64> = BTreeMap::new();
        for action in &actions {
            self.book(action, &mut lines);
        }
        let mark = actions.iter().find_map(|action| match action {
            Action::Mark { mark } => Some(*mark),
            _ => None,
        });
        let reached = lines.keys().next().copied();
        for (proxy, lines) in lines {
            self.queue += lines + self.settings.head_lines;
            self.ordered += lines + self.settings.head_lines;
            self.messages.entry(proxy).or_default().push(self.now);
        }
        if let (Some(mark), Some(proxy)) = (mark, reached) {
            self.marks.push_back((mark, proxy, self.ordered, None));
        }
        self.longest_queue = self.longest_queue.max(self.queue);
        self.last = actions;
    }

    /// Answers to marks: they come when all before has left the channel, a mean way later.
    fn answered(&mut self) -> Vec<Event> {
        let (left, now) = (self.ordered - self.queue, self.now);
        for (_, _, lines, at) in &mut self.marks {
            if at.is_none() && *lines <= left + 1e-6 {
                *at = Some(now);
            }
        }
        let mut events = Vec::new();
        while let Some(&(mark, proxy, _, Some(at))) = self.marks.front()
            && now >= at + self.settings.push_delay_ms
        {
            self.marks.pop_front();
            if self.answers && self.joined.contains(&proxy) {
                events.push(Event::Applied { mark, proxy });
            }
        }
        events
    }

    fn book(&mut self, action: &Action, lines: &mut BTreeMap<ProxyId, f64>) {
        let slices = self.settings.slices > 0;
        let (joined, bound) = (&self.joined, &self.bound);
        let reached = |table: TableId| {
            let on_it =
                move |proxy: &&ProxyId| bound.get(proxy).is_some_and(|on| on.contains(&table));
            joined
                .iter()
                .filter(move |proxy| slices || on_it(proxy))
                .copied()
        };
        match *action {
            Action::SetWeight {
                table,
                worker,
                weight,
            } => {
                assert!(weight.is_finite() && weight >= 0.0, "{action:?}");
                for proxy in reached(table) {
                    *lines.entry(proxy).or_default() += 1.0;
                }
                let table = self.tables.entry(table).or_default();
                match weight > 0.0 {
                    true => table.insert(worker, weight),
                    false => table.remove(&worker),
                };
            }
            Action::Allow {
                scope,
                classes,
                quota,
                retry,
            } => {
                assert!(quota.is_finite() && quota >= 0.0, "{action:?}");
                if let Scope::Table(table) = scope {
                    for proxy in reached(table) {
                        *lines.entry(proxy).or_default() += 1.0;
                    }
                }
                self.levels.insert(classes, (quota, retry));
            }
            Action::Bind {
                classes,
                table,
                proxy,
            } => {
                assert!(!slices && self.joined.contains(&proxy), "{action:?}");
                let held = self.tables.get(&table).map_or(0, BTreeMap::len);
                *lines.entry(proxy).or_default() += 1.0 + (held + self.levels.len()) as f64;
                let on = self.bound.entry(proxy).or_default();
                if classes == 0 {
                    on.clear(); // for all classes: it takes the place of what was bound before
                }
                on.insert(table);
            }
            Action::Probe { worker } => self.probed.push(worker),
            Action::Log { ref text } => self.logs.push(text.clone()),
            _ => {}
        }
    }

    /// The tables that proxies are on, each once.
    pub fn in_use(&self) -> BTreeSet<TableId> {
        self.bound.values().flatten().copied().collect()
    }

    /// Whether any joined proxy is on a table that names the worker.
    pub fn is_named(&self, worker: WorkerId) -> bool {
        let names = |table: &TableId| self.tables[table].contains_key(&worker);
        self.in_use().iter().any(names)
    }

    pub fn weight(&self, worker: WorkerId) -> f64 {
        let table = self.tables.get(&0);
        table
            .and_then(|table| table.get(&worker))
            .copied()
            .unwrap_or(0.0)
    }
}
