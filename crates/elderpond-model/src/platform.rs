//! The platform between managers and the rest: streams, the order channel, the list of workers,
//! reports, and managers that die and come back.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use elderpond::interface::{
    Action, Condition, Entry, Event as Told, Heard, Joined, ListKind, ProxyId, Retry, Scope,
    TableId,
};

use crate::chronicle::Topic;
use crate::proxies::Outcome;
use crate::rules::{Parties, Rule};
use crate::slab::Key;
use crate::tables::{Snapshot, Table};
use crate::time::{NEVER, SECOND, Time, ms, us};
use crate::workers::{ALL_LOADS, Up};
use crate::world::{Event, Step, World, is_blocked};

/// How often delayed report lines are handed on while there are more than may come.
const INTAKE: Time = 100_000;
/// How often the first rule looks at proxies that lack a line.
pub(crate) const LOOK: Time = 100_000;
/// Vanished machines are missed by the list so much later than those that die.
const SILENCE: f64 = 2.0;

/// One message to a proxy: what it will hold once it has applied it.
pub struct Message {
    slices: Arc<Vec<Arc<Snapshot>>>,
    views: Vec<Option<Arc<Snapshot>>>,
    barred: Arc<BTreeSet<u32>>,
    lines: f64,
    mark: Option<u64>,
    ordered_at: Time,
}

/// What a manager is told at a moment that was set.
pub enum Later {
    /// Its timer.
    Timer {
        /// Which manager.
        manager: usize,
        /// In which of its lives.
        life: u32,
        /// As it was set.
        token: u64,
    },
    /// A proxy has applied what was marked.
    Applied {
        /// Which manager.
        manager: usize,
        /// In which of its lives.
        life: u32,
        /// Which proxy.
        proxy: u16,
        /// The mark.
        mark: u64,
    },
}

/// What the proxies of a zone met at a worker since the last report.
#[derive(Clone, Copy, Default)]
struct Cell {
    tries: u32,
    failed: u32,
    took_ms: f64,
    load: Option<[f32; 6]>,
}

/// One manager, as the platform sees it.
pub struct Manager {
    /// Its zone.
    pub zone: u16,
    /// Whether it runs, and which of its lives this is.
    pub alive: bool,
    /// Counts its lives.
    pub life: u32,
    /// Troubles that have it stand still.
    pub paused: u32,
    /// Troubles that keep it dead.
    pub downs: u32,
    /// By how much its channel is slower than it should be.
    pub slow: f64,
    /// By worker: since when it is known to drain or to be gone, and to have started.
    pub told_out: Vec<Time>,
    /// By worker: when it was told of the last start.
    pub told_start: Vec<Time>,
    /// Requests that came to each proxy and those let in without an answer, by class.
    pub demand: Vec<Vec<(u32, u32)>>,
    /// Proxies joined to it.
    pub joined: BTreeSet<usize>,
    /// Proxies whose streams have broken without its knowing.
    leaving: BTreeSet<usize>,
    inbox: Vec<Told>,
    tick_set: bool,
    last_tick: Option<Time>,
    tables: BTreeMap<TableId, Table>,
    bindings: BTreeMap<usize, Vec<Option<TableId>>>,
    barred: Arc<BTreeSet<u32>>,
    free_at: Time,
    waiting: VecDeque<(Time, f64)>,
    waiting_lines: f64,
    sent: BTreeMap<usize, VecDeque<Time>>,
    /// The list as it was told, and how it came to be.
    list: BTreeMap<u32, Entry>,
    history: Vec<(Time, Entry)>,
    /// What it will be told of the list, and when.
    news: VecDeque<(Time, Vec<Entry>, ListKind)>,
    /// Since when it has been listed a warm worker that is ready.
    open_since: Time,
    /// By worker and zone, and those that hold something.
    cells: Vec<Cell>,
    touched: Vec<u32>,
    zones: usize,
    gathered: Time,
    reports: VecDeque<(Time, Told)>,
    handed: f64,
}

impl Manager {
    /// A manager that does not run yet.
    pub fn new(
        (zone, zones): (u16, usize),
        workers: usize,
        sources: usize,
        classes: usize,
    ) -> Self {
        Self {
            zone,
            alive: false,
            life: 0,
            paused: 0,
            downs: 0,
            slow: 1.0,
            told_out: vec![NEVER; workers],
            told_start: vec![NEVER; workers],
            demand: vec![vec![(0, 0); classes]; sources],
            joined: BTreeSet::new(),
            leaving: BTreeSet::new(),
            inbox: Vec::new(),
            tick_set: false,
            last_tick: None,
            tables: BTreeMap::new(),
            bindings: BTreeMap::new(),
            barred: Arc::default(),
            free_at: 0,
            waiting: VecDeque::new(),
            waiting_lines: 0.0,
            sent: BTreeMap::new(),
            list: BTreeMap::new(),
            history: Vec::new(),
            news: VecDeque::new(),
            open_since: NEVER,
            cells: vec![Cell::default(); workers * zones],
            touched: Vec::new(),
            zones,
            gathered: 0,
            reports: VecDeque::new(),
            handed: 0.0,
        }
    }

    /// A new worker has a place in what is kept by worker.
    pub fn grow(&mut self, workers: usize) {
        self.told_out.resize(workers, NEVER);
        self.told_start.resize(workers, NEVER);
        self.cells.resize(workers * self.zones, Cell::default());
    }

    /// Takes a try into the next report.
    pub fn hear(
        &mut self,
        worker: u32,
        zone: u16,
        outcome: Outcome,
        took: f64,
        load: Option<[f32; 6]>,
    ) {
        let place = worker as usize * self.zones + usize::from(zone);
        let cell = &mut self.cells[place];
        if cell.tries == 0 {
            self.touched.push(place as u32);
        }
        cell.tries += 1;
        if outcome == Outcome::Good {
            cell.took_ms += took;
        } else {
            cell.failed += 1;
        }
        cell.load = load.or(cell.load);
    }

    /// Lines that wait in its channel.
    fn backlog(&mut self, now: Time) -> f64 {
        while let Some((leaves, lines)) = self.waiting.front().copied() {
            if leaves > now {
                break;
            }
            self.waiting.pop_front();
            self.waiting_lines -= lines;
        }
        self.waiting_lines
    }
}

impl World {
    /// Milliseconds of the clock that managers are told.
    pub(crate) fn clock(&self, at: Time) -> f64 {
        self.epoch_ms + ms(at)
    }

    /// Tells a manager something, at its next batch.
    pub(crate) fn tell(&mut self, manager: usize, event: Told) {
        let state = &mut self.managers[manager];
        if !state.alive {
            return;
        }
        state.inbox.push(event);
        self.set_tick(manager);
    }

    pub(crate) fn set_tick(&mut self, manager: usize) {
        let tick = us(self.scenario.managers.tick_ms);
        let state = &mut self.managers[manager];
        if state.tick_set || state.paused > 0 || state.inbox.is_empty() {
            return;
        }
        state.tick_set = true;
        let at = state
            .last_tick
            .map_or(self.now, |last| (last + tick).max(self.now));
        self.queue.push(at, Event::Tick(manager as u16, state.life));
    }

    /// A manager takes in what has come.
    pub(crate) fn tick(&mut self, manager: u16, life: u32) {
        let at_ms = self.clock(self.now);
        let number = usize::from(manager);
        let state = &mut self.managers[number];
        if state.life != life {
            return;
        }
        state.tick_set = false;
        if state.paused > 0 {
            return;
        }
        state.last_tick = Some(self.now);
        let events = std::mem::take(&mut state.inbox);
        self.steps.push_back(Step::Batch {
            manager: number,
            at_ms,
            events,
        });
    }

    // ---- Lives of managers ----

    /// A manager starts, with the list as it last had it.
    pub(crate) fn manager_starts(&mut self, number: usize, first: bool) {
        let now = self.now;
        let seed = self.draws.platform.bits();
        let known_at = now.saturating_sub(us(self.scenario.managers.known_age_ms));
        let now_listed: Vec<Entry> = (0..self.workers.len())
            .filter_map(|at| self.listed(at))
            .collect();
        let state = &mut self.managers[number];
        (state.alive, state.life) = (true, state.life + 1);
        let known: BTreeMap<u32, Entry> = match first {
            true => now_listed
                .into_iter()
                .map(|entry| (entry.worker, entry))
                .collect(),
            false => {
                let until = state.history.iter().filter(|(at, _)| *at <= known_at);
                until
                    .map(|(_, entry)| (entry.worker, entry.clone()))
                    .collect()
            }
        };
        let there = |entry: &&Entry| entry.condition != Condition::Gone;
        let known: Vec<Entry> = known.values().filter(there).cloned().collect();
        if first {
            state
                .history
                .extend(known.iter().map(|entry| (now, entry.clone())));
        }
        state.list = known
            .iter()
            .map(|entry| (entry.worker, entry.clone()))
            .collect();
        state.told_out.fill(NEVER);
        state.told_start.fill(NEVER);
        for entry in &known {
            let at = entry.worker as usize;
            if entry.condition != Condition::Ready {
                state.told_out[at] = now;
            }
            if entry.started > 0.0 {
                state.told_start[at] = now;
            }
        }
        state.open_since = NEVER;
        state.gathered = now;
        let (life, at_ms) = (state.life, self.clock(now));
        let parties = Parties::manager(number);
        let text = format!("manager {number} starts with {} workers known", known.len());
        self.chronicle.note(now, Topic::Manager, parties, text);
        self.steps.push_back(Step::Start {
            manager: number,
            at_ms,
            seed,
            known,
        });
        self.give_slices(number);
        let late = self.list_late(1.0);
        self.queue
            .push(now + late, Event::Whole(number as u16, life));
        let report = us(self.scenario.managers.report_ms);
        let stagger = self.draws.platform.unit();
        let first = now + (report as f64 * (0.5 + 0.5 * stagger)) as Time;
        self.queue.push(first, Event::Gather(number as u16, life));
    }

    /// A manager dies: its process, its tables, and what waits or travels.
    pub(crate) fn manager_dies(&mut self, number: usize) {
        let now = self.now;
        let state = &mut self.managers[number];
        if !state.alive {
            return;
        }
        (state.alive, state.tick_set, state.last_tick) = (false, false, None);
        state.life += 1;
        state.inbox.clear();
        state.tables.clear();
        state.bindings.clear();
        state.barred = Arc::default();
        (state.free_at, state.waiting_lines) = (now, 0.0);
        state.waiting.clear();
        state.sent.clear();
        state.reports.clear();
        for place in state.touched.drain(..) {
            state.cells[place as usize] = Cell::default();
        }
        state.news.clear();
        state.leaving.clear();
        state
            .demand
            .iter_mut()
            .flatten()
            .for_each(|counts| *counts = (0, 0));
        let joined = std::mem::take(&mut state.joined);
        let parties = Parties::manager(number);
        self.chronicle.note(
            now,
            Topic::Manager,
            parties,
            format!("manager {number} dies"),
        );
        self.steps.push_back(Step::Stop { manager: number });
        for proxy in joined {
            // Its machine resets the streams.
            self.stream_ends(proxy, 0);
        }
    }

    // ---- Streams ----

    /// A proxy's stream is no more; it notices after `notice` and dials again.
    fn stream_ends(&mut self, number: usize, notice: Time) {
        let now = self.now;
        let redial = self.scenario.proxies.redial_ms;
        let wait = us(self.draws.platform.between(redial.0, redial.1));
        let proxy = &mut self.proxies[number];
        proxy.manager = None;
        proxy.left_at = proxy.left_at.min(now);
        proxy.stream += 1;
        proxy.inbox.clear();
        proxy.inbox_at = 0;
        let stream = proxy.stream;
        self.queue
            .push(self.now + notice + wait, Event::Dial(number as u16, stream));
    }

    /// A stream breaks without a reset: both ends notice in their own time.
    pub(crate) fn breaks(&mut self, number: usize) {
        let Some(manager) = self.proxies[number].manager else {
            return;
        };
        let notice = self.scenario.proxies.notice_ms;
        let [ours, theirs] = [(); 2].map(|()| us(self.draws.platform.between(notice.0, notice.1)));
        self.stream_ends(number, ours);
        self.unjoined(manager, number, theirs);
    }

    /// A proxy dies: its machine resets the stream.
    pub(crate) fn resets(&mut self, number: usize) {
        if let Some(manager) = self.proxies[number].manager {
            self.stream_ends(number, 0);
            self.unjoined(manager, number, 0);
        }
    }

    fn unjoined(&mut self, manager: usize, number: usize, after: Time) {
        let state = &mut self.managers[manager];
        state.joined.remove(&number);
        state.bindings.remove(&number);
        state.sent.remove(&number);
        state.leaving.insert(number);
        let event = Event::LeftTold(manager as u16, state.life, number as u16);
        self.queue.push(self.now + after, event);
        let parties = Parties {
            manager: Some(manager),
            proxy: Some(number),
            worker: None,
        };
        let text = format!("the stream of proxy {number} to manager {manager} breaks");
        self.chronicle.note(self.now, Topic::Proxy, parties, text);
    }

    /// A manager notices that a stream has broken.
    pub(crate) fn left_told(&mut self, manager: u16, life: u32, proxy: u16) {
        let (manager, number) = (usize::from(manager), usize::from(proxy));
        let state = &mut self.managers[manager];
        if state.life == life && state.leaving.remove(&number) {
            self.tell(
                manager,
                Told::Left {
                    proxy: proxy as ProxyId,
                },
            );
        }
    }

    /// A proxy dials: a manager by chance among those that answer.
    pub(crate) fn dial(&mut self, proxy: u16, stream: u32) {
        let number = usize::from(proxy);
        let state = &self.proxies[number];
        if !state.alive || state.manager.is_some() || state.stream != stream {
            return;
        }
        let zone = state.zone;
        let cut = |other: u16| is_blocked(&self.cuts, zone, other);
        let managers = self.managers.iter().enumerate();
        let reached = managers.filter(|(_, manager)| manager.alive && !cut(manager.zone));
        let reached: Vec<usize> = reached.map(|(manager, _)| manager).collect();
        if reached.is_empty() || state.cut_off > 0 {
            let redial = self.scenario.proxies.redial_ms;
            let wait = us(self.draws.platform.between(redial.0, redial.1)).max(1000);
            self.queue.push(self.now + wait, Event::Dial(proxy, stream));
            return;
        }
        let manager = reached[self.draws.platform.below(reached.len())];
        // Whoever comes back has left, noticed or not.
        if self.managers[manager].leaving.remove(&number) {
            self.tell(manager, Told::Left { proxy });
        }
        let rough = self.draws.platform.between(0.7, 1.4);
        let state = &mut self.proxies[number];
        state.manager = Some(manager);
        state.joined_at = self.now;
        state.left_at = NEVER;
        // Whoever joins reads the store.
        state.slices = self.store.read();
        state.stream += 1;
        let rate = state.share * self.scenario.clients.rate * rough;
        let (zone, fresh) = (state.zone, state.fresh);
        self.managers[manager].joined.insert(number);
        let classes = self.scenario.classes.len();
        self.managers[manager]
            .bindings
            .insert(number, vec![None; classes]);
        self.tell(
            manager,
            Told::Joined(Joined {
                proxy,
                zone,
                rate,
                fresh,
            }),
        );
        let parties = Parties {
            manager: Some(manager),
            proxy: Some(number),
            worker: None,
        };
        let text = format!("proxy {number} joins manager {manager}");
        self.chronicle.note(self.now, Topic::Proxy, parties, text);
        self.note_bare(number);
    }

    /// Notes since when a proxy lacks a line for some class, or slice.
    pub(crate) fn note_bare(&mut self, number: usize) {
        let now = self.now;
        let proxy = &mut self.proxies[number];
        proxy.note_bare(now);
        if proxy.bare == NEVER {
            self.bare.remove(&number);
        } else {
            self.bare.insert(number);
        }
    }

    /// The first rule: looks at the proxies that lack a line.
    pub(crate) fn look(&mut self) {
        self.queue.push(self.now + LOOK, Event::Look);
        let (now, cold) = (self.now, self.scenario.rules.cold_ms);
        let clock = self.clock(now);
        for manager in &mut self.managers {
            let warm = |entry: &Entry| entry.started <= 0.0 || clock - entry.started >= cold;
            let mut ready = manager
                .list
                .values()
                .filter(|entry| entry.condition == Condition::Ready);
            if !manager.alive || !ready.any(warm) {
                manager.open_since = NEVER;
            } else if manager.open_since == NEVER {
                manager.open_since = now;
            }
        }
        for &number in &self.bare {
            let proxy = &self.proxies[number];
            let Some(manager) = proxy.manager.filter(|_| proxy.alive) else {
                continue;
            };
            let open = self.managers[manager].open_since;
            let since = proxy.bare.max(proxy.joined_at).max(open);
            if open != NEVER && now > since + self.spans.unserved {
                let parties = Parties {
                    manager: Some(manager),
                    proxy: Some(number),
                    worker: None,
                };
                self.watch.breach(&self.chronicle, Rule::NobodyLeftWithout, now, parties, || {
                    let lacking = ms(now - since) / 1000.0;
                    format!(
                        "proxy {number} has lacked a worker for {lacking:.2} s while manager {manager} is \
                         listed a warm one that is ready"
                    )
                });
            }
        }
    }

    // ---- The list ----

    fn list_late(&mut self, factor: f64) -> Time {
        let (low, high) = self.scenario.managers.list_late_ms;
        us(self.draws.platform.between(low, high) * factor)
    }

    /// What the list says of a worker; none if it has no entry.
    pub(crate) fn listed(&self, at: usize) -> Option<Entry> {
        let worker = &self.workers[at];
        let condition = if worker.up == Up::Yes {
            worker.condition
        } else {
            Condition::Gone
        };
        (condition != Condition::Gone).then(|| self.entry(at, condition))
    }

    fn entry(&self, at: usize, condition: Condition) -> Entry {
        let worker = &self.workers[at];
        Entry {
            worker: at as u32,
            weight: worker.weight,
            zone: worker.zone,
            started: worker.started.map_or(0.0, |started| self.clock(started)),
            condition,
        }
    }

    /// A worker has changed: the list will say so, in its own time.
    pub(crate) fn announce(&mut self, at: usize) {
        let silent = self.workers[at].up == Up::Silent;
        let entry = self
            .listed(at)
            .unwrap_or_else(|| self.entry(at, Condition::Gone));
        for number in 0..self.managers.len() {
            let late = self.list_late(if silent { SILENCE } else { 1.0 });
            let state = &mut self.managers[number];
            if !state.alive {
                continue;
            }
            let last = state.news.back().map_or(0, |(due, ..)| *due);
            let due = (self.now + late).max(last);
            let life = state.life;
            state
                .news
                .push_back((due, vec![entry.clone()], ListKind::Delta));
            self.queue.push(due, Event::News(number as u16, life));
        }
    }

    /// A manager is told the whole list, in its turn.
    pub(crate) fn whole(&mut self, manager: u16, life: u32) {
        let number = usize::from(manager);
        if self.managers[number].life != life {
            return;
        }
        let entries = (0..self.workers.len())
            .filter_map(|at| self.listed(at))
            .collect();
        let state = &mut self.managers[number];
        // What it says is newer than all that was to be told.
        state.news.clear();
        state.news.push_back((self.now, entries, ListKind::Full));
        self.news(manager, life);
    }

    /// What is due of the list is told.
    pub(crate) fn news(&mut self, manager: u16, life: u32) {
        let number = usize::from(manager);
        let (now, down) = (self.now, self.list_down > 0);
        if self.managers[number].life != life {
            return;
        }
        while let Some((due, ..)) = self.managers[number].news.front() {
            if *due > now {
                return;
            }
            if down {
                self.queue.push(now + LOOK, Event::News(manager, life));
                return;
            }
            let Some((_, entries, kind)) = self.managers[number].news.pop_front() else {
                return;
            };
            self.told_list(number, &entries, kind);
            self.tell(number, Told::List { kind, entries });
        }
    }

    fn told_list(&mut self, number: usize, entries: &[Entry], kind: ListKind) {
        let now = self.now;
        let state = &mut self.managers[number];
        let mut changes: Vec<Entry> = entries.to_vec();
        if kind == ListKind::Full {
            let named: BTreeSet<u32> = entries.iter().map(|entry| entry.worker).collect();
            let lacking = state
                .list
                .values()
                .filter(|entry| !named.contains(&entry.worker));
            let gone = |entry: &Entry| Entry {
                condition: Condition::Gone,
                ..entry.clone()
            };
            changes.extend(lacking.map(gone).collect::<Vec<_>>());
        }
        for entry in changes {
            let at = entry.worker as usize;
            let before = state.list.get(&entry.worker).cloned();
            if before.as_ref() == Some(&entry) {
                continue;
            }
            if entry.condition == Condition::Ready {
                state.told_out[at] = NEVER;
            } else if state.told_out[at] == NEVER {
                state.told_out[at] = now;
            }
            if before.is_none_or(|before| before.started != entry.started) && entry.started > 0.0 {
                state.told_start[at] = now;
            }
            let says = match entry.condition {
                Condition::Ready if entry.started > 0.0 => "ready, started",
                Condition::Ready => "ready",
                Condition::Draining => "draining",
                Condition::Gone => "gone",
            };
            let parties = Parties {
                manager: Some(number),
                worker: Some(at),
                proxy: None,
            };
            let text = format!("manager {number} is told that worker {at} is {says}");
            self.chronicle.note(now, Topic::Told, parties, text);
            state.history.push((now, entry.clone()));
            if entry.condition == Condition::Gone {
                state.list.remove(&entry.worker);
            } else {
                state.list.insert(entry.worker, entry);
            }
        }
    }

    // ---- Reports ----

    /// The values of a worker's last load report, in the order of the settings.
    pub(crate) fn load_of(&self, at: usize) -> Vec<f64> {
        self.in_order(&self.workers[at].load)
    }

    fn in_order(&self, load: &[f32; 6]) -> Vec<f64> {
        let value = |field| {
            ALL_LOADS
                .iter()
                .position(|known| known == field)
                .map(|k| f64::from(load[k]))
        };
        self.scenario
            .managers
            .load
            .iter()
            .filter_map(value)
            .collect()
    }

    /// The sums since the last time are gathered; they come later.
    pub(crate) fn gather(&mut self, manager: u16, life: u32) {
        let number = usize::from(manager);
        if self.managers[number].life != life {
            return;
        }
        let settings = &self.scenario.managers;
        let (low, high) = settings.report_late_ms;
        let again = self.now + us(settings.report_ms);
        let late = us(self.draws.platform.between(low, high));
        let zones = self.scenario.zones.len();
        let state = &mut self.managers[number];
        state.touched.sort_unstable();
        let taken = state.touched.drain(..).map(|place| {
            let cell = std::mem::take(&mut state.cells[place as usize]);
            (
                (place / zones as u32, (place as usize % zones) as u16),
                cell,
            )
        });
        let cells: Vec<((u32, u16), Cell)> = taken.collect();
        let covers_ms = ms(self.now - self.managers[number].gathered);
        let due = (self.now + late).max(
            self.managers[number]
                .reports
                .back()
                .map_or(0, |(due, _)| *due),
        );
        let mut lines = Vec::new();
        for ((worker, zone), cell) in cells {
            let good = f64::from(cell.tries - cell.failed).max(1.0);
            let noise = 1.0 + self.draws.platform.between(-1.0, 1.0) * self.scenario.managers.noise;
            let took_ms = cell.took_ms / good * noise;
            let load = cell.load.map_or_else(Vec::new, |load| self.in_order(&load));
            let (tries, failed) = (cell.tries, cell.failed);
            lines.push(Told::Heard(Heard {
                zone,
                worker,
                tries,
                failed,
                took_ms,
                covers_ms,
                load,
            }));
        }
        let state = &mut self.managers[number];
        for (source, classes) in state.demand.iter_mut().enumerate() {
            for (class, counts) in classes.iter_mut().enumerate() {
                let (came, unanswered) = std::mem::take(counts);
                if came > 0 || unanswered > 0 {
                    let source = source as u16;
                    lines.push(Told::Demand {
                        source,
                        class,
                        came,
                        unanswered,
                        covers_ms,
                    });
                }
            }
        }
        let idle = state.reports.is_empty();
        state
            .reports
            .extend(lines.into_iter().map(|line| (due, line)));
        state.gathered = self.now;
        if idle && !state.reports.is_empty() {
            self.queue.push(due, Event::Intake(manager, life));
        }
        self.queue.push(again, Event::Gather(manager, life));
    }

    /// Report lines that are due are handed on, as many as may come.
    pub(crate) fn intake(&mut self, manager: u16, life: u32) {
        let number = usize::from(manager);
        let now = self.now;
        let most = self.scenario.managers.report_lines * INTAKE as f64 / SECOND as f64;
        let state = &mut self.managers[number];
        if state.life != life {
            return;
        }
        state.handed = most.max(1.0);
        let mut events = Vec::new();
        while state.handed >= 1.0
            && let Some((due, _)) = state.reports.front()
            && *due <= now
        {
            state.handed -= 1.0;
            events.extend(state.reports.pop_front().map(|(_, line)| line));
        }
        if let Some((due, _)) = state.reports.front() {
            self.queue
                .push((now + INTAKE).max(*due), Event::Intake(manager, life));
        }
        state.inbox.extend(events);
        self.set_tick(number);
    }

    // ---- Orders ----

    /// Carries out what a manager orders in one reply. What a manager cannot be obeyed in is counted.
    pub fn obey(&mut self, manager: usize, actions: &[Action]) {
        let now = self.now;
        if !self.managers[manager].alive {
            return;
        }
        let life = self.managers[manager].life;
        let classes = self.scenario.classes.len();
        let mut touched: BTreeMap<TableId, usize> = BTreeMap::new();
        let mut bound: BTreeMap<usize, (usize, Vec<TableId>)> = BTreeMap::new();
        let (mut to_all, mut mark) = (0, None);
        for action in actions {
            match *action {
                Action::Timer { after_ms, token } => {
                    let due = now + us(after_ms.max(0.0));
                    let later = Later::Timer {
                        manager,
                        life,
                        token,
                    };
                    let later = self.later.insert(later);
                    self.queue.push(due, Event::Later(later));
                }
                Action::Log { ref text } => {
                    let parties = Parties::manager(manager);
                    let text = format!("manager {manager} says: {text}");
                    self.chronicle.note(now, Topic::Says, parties, text);
                }
                Action::Probe { worker } => self.probe(manager, worker),
                Action::Observe | Action::QueryList => {
                    self.queue
                        .push(now + 1000, Event::Whole(manager as u16, life));
                }
                Action::SetWeight {
                    table,
                    worker,
                    weight,
                } => {
                    if worker as usize >= self.workers.len() || weight.is_nan() || weight < 0.0 {
                        self.bad_orders += 1;
                        continue;
                    }
                    let before = match &self.scenario.slices {
                        Some(_) => {
                            self.store.line(table, worker, weight);
                            self.store
                                .table(table)
                                .map(|table| table.set(worker, weight))
                        }
                        None => {
                            let tables = &mut self.managers[manager].tables;
                            Some(tables.entry(table).or_default().set(worker, weight))
                        }
                    };
                    let Some(before) = before else {
                        self.bad_orders += 1;
                        continue;
                    };
                    *touched.entry(table).or_default() += 1;
                    if (before > 0.0) != (weight > 0.0) {
                        let worker = Some(worker as usize);
                        let parties = Parties {
                            manager: Some(manager),
                            proxy: None,
                            worker,
                        };
                        let text =
                            format!("manager {manager} sets it to {weight:.2} in table {table}");
                        self.chronicle.note(now, Topic::Orders, parties, text);
                    }
                }
                Action::Clear { table } => {
                    self.store.clear(table);
                    match self.store.table(table) {
                        Some(table) => table.clear(),
                        None => {
                            let tables = &mut self.managers[manager].tables;
                            tables.entry(table).or_default().clear();
                        }
                    }
                    *touched.entry(table).or_default() += 1;
                }
                Action::Bind {
                    classes: bits,
                    table,
                    proxy,
                } => {
                    let number = usize::from(proxy);
                    let state = &mut self.managers[manager];
                    if !state.joined.contains(&number) || self.scenario.slices.is_some() {
                        self.bad_orders += 1;
                        continue;
                    }
                    let size = state.tables.entry(table).or_default().size();
                    let binding = state
                        .bindings
                        .entry(number)
                        .or_insert_with(|| vec![None; classes]);
                    for (class, on) in binding.iter_mut().enumerate() {
                        if bits == 0 || bits >> class & 1 == 1 {
                            *on = Some(table);
                        }
                    }
                    let (lines, tables) = bound.entry(number).or_default();
                    *lines += 1 + size;
                    tables.push(table);
                }
                Action::HoldBack { worker, out } => {
                    let barred = Arc::make_mut(&mut self.managers[manager].barred);
                    if out {
                        barred.insert(worker)
                    } else {
                        barred.remove(&worker)
                    };
                    to_all += 1;
                }
                Action::Allow {
                    scope,
                    classes: bits,
                    quota,
                    retry,
                } => {
                    self.allow(manager, scope, (bits, classes), (quota, retry));
                    match scope {
                        Scope::Table(table) => *touched.entry(table).or_default() += 1,
                        Scope::All => to_all += 1,
                    }
                }
                Action::Mark { mark: number } => mark = Some(number),
            }
        }
        self.send_orders(manager, &touched, &bound, to_all, mark);
    }

    fn allow(
        &mut self,
        manager: usize,
        scope: Scope,
        (bits, classes): (u16, usize),
        level: (f64, Retry),
    ) {
        let state = &mut self.managers[manager];
        let chosen = |class: &usize| bits == 0 || bits >> class & 1 == 1;
        for class in (0..classes).filter(chosen) {
            match scope {
                Scope::Table(table) => match self.store.table(table) {
                    Some(table) => table.level(class, level),
                    None => state.tables.entry(table).or_default().level(class, level),
                },
                Scope::All => state
                    .tables
                    .values_mut()
                    .for_each(|table| table.level(class, level)),
            }
        }
    }

    /// One reply becomes one message for each proxy that it concerns.
    fn send_orders(
        &mut self,
        manager: usize,
        touched: &BTreeMap<TableId, usize>,
        bound: &BTreeMap<usize, (usize, Vec<TableId>)>,
        to_all: usize,
        mark: Option<u64>,
    ) {
        if touched.is_empty() && bound.is_empty() && to_all == 0 && mark.is_none() {
            return;
        }
        let now = self.now;
        self.store.renew();
        let settings = &self.scenario.managers;
        let rate = settings.channel_rate / self.managers[manager].slow;
        let (head, cap) = (settings.head, settings.queue_cap);
        let (mean, longest) = (settings.push_ms, settings.push_max_ms);
        let (most, span) = (settings.update_cap, us(settings.update_span_ms));
        let mut sent = 0;
        for number in self.managers[manager]
            .joined
            .iter()
            .copied()
            .collect::<Vec<_>>()
        {
            let state = &mut self.managers[manager];
            let binding = state.bindings.get(&number).cloned().unwrap_or_default();
            let (bind_lines, fresh) = bound
                .get(&number)
                .map_or((0, &[][..]), |(lines, on)| (*lines, on));
            let mut tables: Vec<TableId> = binding.iter().flatten().copied().collect();
            tables.sort_unstable();
            tables.dedup();
            let follows = tables.iter().filter(|table| !fresh.contains(table));
            let lines: usize = follows
                .map(|table| touched.get(table).copied().unwrap_or(0))
                .sum();
            // With slices every proxy follows every table.
            let sliced = self.scenario.slices.is_some();
            let lines = if sliced {
                touched.values().sum()
            } else {
                lines
            };
            let lines = lines + bind_lines + to_all;
            if lines == 0 && mark.is_none() {
                continue;
            }
            sent += 1;
            let cost = head + lines as f64;
            let views = binding.iter().map(|on| {
                let table = state.tables.entry((*on)?).or_default();
                Some(table.snapshot())
            });
            let views: Vec<Option<Arc<Snapshot>>> = views.collect();
            let barred = state.barred.clone();
            state.free_at = state.free_at.max(now) + (cost / rate * SECOND as f64) as Time;
            let leaves = state.free_at;
            let backlog = state.backlog(now) + cost;
            state.waiting.push_back((leaves, cost));
            state.waiting_lines += cost;
            let way = (mean * self.draws.platform.exponential()).min(longest);
            self.tally.spent.lines += cost;
            self.tally.spent.messages += 1;
            let proxy = &mut self.proxies[number];
            proxy.inbox_at = (leaves + us(way)).max(proxy.inbox_at);
            let lines = lines as f64;
            proxy.inbox.push_back(Message {
                slices: self.store.read(),
                views,
                barred,
                lines,
                mark,
                ordered_at: now,
            });
            self.queue
                .push(proxy.inbox_at, Event::Deliver(number as u16, proxy.stream));
            if backlog > cap {
                let parties = Parties::manager(manager);
                self.watch.breach(&self.chronicle, Rule::QueueBounded, now, parties, || {
                    format!("{backlog:.0} lines wait in the channel of manager {manager}, {cap:.0} may")
                });
            }
            if most > 0 {
                let times = self.managers[manager].sent.entry(number).or_default();
                while times.front().is_some_and(|at| at + span < now) {
                    times.pop_front();
                }
                times.push_back(now);
                if times.len() > most {
                    let count = times.len();
                    let parties = Parties {
                        manager: Some(manager),
                        proxy: Some(number),
                        worker: None,
                    };
                    self.watch.breach(&self.chronicle, Rule::QueueBounded, now, parties, || {
                        format!("manager {manager} writes {count} messages to proxy {number} in the span")
                    });
                }
            }
        }
        if sent > 0 && (!bound.is_empty() || to_all > 0) {
            let parties = Parties::manager(manager);
            let text = format!(
                "manager {manager} binds {} proxies and writes to {sent}",
                bound.len()
            );
            self.chronicle.note(now, Topic::Orders, parties, text);
        }
    }

    /// A message reaches its proxy, which applies it.
    pub(crate) fn deliver(&mut self, number: u16, stream: u32) {
        let now = self.now;
        let proxy = &mut self.proxies[usize::from(number)];
        if proxy.stream != stream || !proxy.alive {
            return;
        }
        let Some(message) = proxy.inbox.pop_front() else {
            return;
        };
        proxy.ordered_at = message.ordered_at;
        proxy.barred = message.barred;
        proxy.slices = message.slices;
        for (view, new) in proxy.views.iter_mut().zip(message.views) {
            if let Some(new) = new {
                *view = new;
                proxy.fresh = false;
            }
        }
        let stall = (message.lines * self.scenario.proxies.line_us) as Time;
        proxy.stalled = proxy.stalled.max(now) + stall;
        if let (Some(mark), Some(manager)) = (message.mark, proxy.manager) {
            let due = proxy.stalled + self.spans.way[0];
            let life = self.managers[manager].life;
            let later = Later::Applied {
                manager,
                life,
                proxy: number,
                mark,
            };
            let later = self.later.insert(later);
            self.queue.push(due, Event::Later(later));
        }
        self.note_bare(usize::from(number));
    }

    /// A manager's timer falls due, or it hears that a proxy has applied what was marked.
    pub(crate) fn later(&mut self, key: Key) {
        match self.later.remove(key) {
            Some(Later::Timer {
                manager,
                life,
                token,
            }) if self.managers[manager].life == life => {
                self.tell(manager, Told::Timer { token });
            }
            Some(Later::Applied {
                manager,
                life,
                proxy,
                mark,
            }) => {
                let state = &self.managers[manager];
                if state.life == life && state.joined.contains(&usize::from(proxy)) {
                    self.tell(manager, Told::Applied { mark, proxy });
                }
            }
            _ => {}
        }
    }

    /// A channel is slower by a factor from now on.
    pub(crate) fn slow_channel(&mut self, manager: usize, factor: f64) {
        self.managers[manager].slow *= factor;
    }
}
