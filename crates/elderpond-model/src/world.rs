//! The pieces put together: what happens next.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use elderpond::interface::{Action, Class, Condition, Entry, Event as Told, Settings};
use elderpond_settings::{Label, Labels};
use serde::Serialize;

use crate::chance::{Chance, Purpose, Wheel};
use crate::chronicle::Chronicle;
use crate::clients::Request;
use crate::platform::{LOOK, Later, Manager};
use crate::proxies::{Proxy, Try};
use crate::queue::{Lane, Queue};
use crate::rules::{Outcome, RULES, Rule, Watch};
use crate::scenario::{Listing, Scenario};
use crate::score::{Counts, Service, Spent, Tally};
use crate::slab::{Key, Slab};
use crate::slices::Store;
use crate::tables::Snapshot;
use crate::time::{SECOND, Time, ms, us};
use crate::troubles::{Going, Phase};
use crate::workers::{Finish, Up, Worker};

/// The clock of a world that nobody has set, in milliseconds: starts are told by it, and 0 means
/// long ago.
const EPOCH_MS: f64 = 1_000_000.0;

/// What happens in a world.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    Arrive,
    Again(Key, u16),
    ClientOver(Key, u16),
    Reach(Key),
    Done(u32, u16, u32),
    Back(Key),
    TryOver(Key),
    Unconnected(Key),
    Refresh(u32),
    Warms(u32, u32),
    Restart(u32),
    Drains(u32),
    Replaced(u32),
    Ages(u16),
    Trouble(u16, Phase),
    Tick(u16, u32),
    Later(Key),
    Whole(u16, u32),
    News(u16, u32),
    Gather(u16, u32),
    Intake(u16, u32),
    LeftTold(u16, u32, u16),
    Deliver(u16, u32),
    Dial(u16, u32),
    Held(Key, u16),
    Sweep,
    Look,
}

/// What the host is to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A manager starts.
    Start {
        /// Which one.
        manager: usize,
        /// The clock, in milliseconds.
        at_ms: f64,
        /// For its random numbers.
        seed: u64,
        /// The list as it last had it.
        known: Vec<Entry>,
    },
    /// A manager takes in a batch; what it orders goes to [`World::obey`].
    Batch {
        /// Which one.
        manager: usize,
        /// The clock, in milliseconds.
        at_ms: f64,
        /// What has happened.
        events: Vec<Told>,
    },
    /// A manager has died.
    Stop {
        /// Which one.
        manager: usize,
    },
    /// Nothing more happens until the limit.
    Reached,
    /// The run is over.
    Over,
}

/// What is true of a worker, whoever knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Truth {
    /// Its zone.
    pub zone: u16,
    /// Whether it runs and is meant to take work.
    pub ready: bool,
    /// Whether it drains or is gone, as the platform has it.
    pub condition: Condition,
    /// Work that it does in a millisecond, less what it fails, in milliseconds of a core of speed 1.
    pub capacity: f64,
    /// Whether it is cold.
    pub cold: bool,
}

/// A run as it stands.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The figure, and what it is made of.
    #[serde(flatten)]
    pub service: Service,
    /// Requests by how they ended.
    pub requests: Counts,
    /// What was spent.
    pub spent: Spent,
    /// The rules.
    pub rules: BTreeMap<&'static str, Outcome>,
    /// Events that happened in the world.
    pub events: u64,
    /// Orders that could not be obeyed.
    pub bad_orders: u64,
    /// Simulated time, in milliseconds.
    pub simulated_ms: f64,
}

/// Spans that are looked up for each request.
pub(crate) struct Spans {
    pub(crate) give_up: Vec<Time>,
    pub(crate) patience: Vec<Time>,
    pub(crate) wait: Vec<Time>,
    /// One way within a zone, and across.
    pub(crate) way: [Time; 2],
    pub(crate) connect: Time,
    pub(crate) drain_grace: Time,
    pub(crate) unserved: Time,
    pub(crate) refresh: Time,
}

pub(crate) struct Lanes {
    pub(crate) client: Vec<Lane>,
    pub(crate) wait: Vec<Lane>,
    pub(crate) way: [Lane; 2],
    pub(crate) probe: Lane,
    pub(crate) refresh: Lane,
}

pub(crate) struct Draws {
    pub(crate) clients: Chance,
    pub(crate) retries: Chance,
    pub(crate) proxies: Chance,
    pub(crate) platform: Chance,
    pub(crate) troubles: Chance,
    pub(crate) workers: Chance,
}

pub(crate) struct Wheels {
    pub(crate) classes: Wheel,
    pub(crate) proxies: Wheel,
    /// None where all keys are as popular.
    pub(crate) keys: Option<Wheel>,
}

/// Whether nothing passes between two zones: `cuts` counts the troubles that cut each of them off.
pub(crate) fn is_blocked(cuts: &[u32], one: u16, other: u16) -> bool {
    one != other && (cuts[usize::from(one)] > 0 || cuts[usize::from(other)] > 0)
}

/// A world for managers to fail in.
pub struct World {
    pub(crate) scenario: Scenario,
    pub(crate) settings: Settings,
    labels: Labels,
    pub(crate) epoch_ms: f64,
    pub(crate) now: Time,
    pub(crate) queue: Queue<Event>,
    pub(crate) workers: Vec<Worker>,
    /// Busy time of each worker at its last load report.
    pub(crate) areas: Vec<f64>,
    pub(crate) proxies: Vec<Proxy>,
    pub(crate) managers: Vec<Manager>,
    pub(crate) requests: Slab<Request>,
    pub(crate) tries: Slab<Try>,
    pub(crate) later: Slab<Later>,
    pub(crate) draws: Draws,
    pub(crate) wheels: Wheels,
    pub(crate) spans: Spans,
    pub(crate) lanes: Lanes,
    /// Troubles that cut each zone off.
    pub(crate) cuts: Vec<u32>,
    /// Part of each class's requests that are heavy.
    pub(crate) heavy: Vec<f64>,
    pub(crate) rush: f64,
    pub(crate) list_down: u32,
    /// Proxies that lack a line.
    pub(crate) bare: BTreeSet<usize>,
    pub(crate) going: Vec<Going>,
    /// Tables of slices, as the store has them, and who holds writes of each.
    pub(crate) store: Store,
    pub(crate) tally: Tally,
    pub(crate) watch: Watch,
    pub(crate) chronicle: Chronicle,
    pub(crate) steps: VecDeque<Step>,
    pub(crate) finishes: Vec<Finish>,
    pub(crate) bad_orders: u64,
    events: u64,
}

/// The weights of a Zipf law over so many places.
fn zipf(count: usize, exponent: f64) -> Vec<f64> {
    (1..=count)
        .map(|rank| (rank as f64).powf(-exponent))
        .collect()
}

fn settings(scenario: &Scenario) -> Settings {
    let (managers, rules) = (&scenario.managers, &scenario.rules);
    let classes = scenario.classes.iter().map(|class| Class {
        aim_ms: class.aim_ms,
        give_up_ms: class.give_up_ms,
        worth: class.worth,
        repeat: class.repeat,
        home_only: false,
        writes: class.writes,
    });
    Settings {
        tick_ms: managers.tick_ms,
        classes: classes.collect(),
        subscribe: false,
        ask_within_ms: 0.0,
        cold_ms: rules.cold_ms,
        start_capacity: rules.start_capacity,
        tip_multiple: rules.tip_multiple,
        fall_ms: rules.fall_ms,
        drain_grace_ms: rules.drain_grace_ms,
        unserved_max_ms: rules.unserved_ms,
        probes: managers.probes,
        connect_timeout_ms: scenario.network.connect_timeout_ms,
        admit: managers.admit,
        report_interval_ms: managers.report_ms,
        push_delay_ms: managers.push_ms,
        push_delay_max_ms: managers.push_max_ms,
        channel_rate: managers.channel_rate,
        queue_cap: managers.queue_cap,
        head_lines: managers.head,
        update_cap: managers.update_cap,
        update_span_ms: managers.update_span_ms,
        first_wait: scenario.proxies.first_wait,
        proxies: scenario.proxies.count,
        standing_lines: scenario.proxies.standing,
        ejects: scenario.proxies.ejects,
        slices: scenario.slices.as_ref().map_or(0, |slices| slices.count),
        single_owner: scenario
            .slices
            .as_ref()
            .is_some_and(|slices| slices.one_owner),
        tenure_ms: scenario
            .slices
            .as_ref()
            .map_or(0.0, |slices| slices.tenure_ms),
        write_life_ms: scenario
            .slices
            .as_ref()
            .map_or(0.0, |slices| slices.write_life_ms),
        load_fields: managers.load.clone(),
    }
}

impl World {
    /// A world at its start. Equal scenarios and seeds make equal worlds.
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let mut build = Chance::new(seed, Purpose::Build);
        let classes = scenario.classes.len();
        let zones = scenario.zones.len();
        let mut workers = Vec::new();
        for (kind, machine) in scenario.machines.iter().enumerate() {
            for _ in 0..machine.count {
                // Evenly over the zones, whatever the order of the kinds.
                let (zone, address) = ((workers.len() % zones) as u16, workers.len() as u32);
                let mut worker = Worker::build((kind as u16, machine), zone, address, &mut build);
                let size = worker.speed * worker.cores as f64;
                worker.weight = match scenario.managers.weights {
                    Listing::Nominal => size,
                    Listing::Rough => {
                        (size * build.between(0.8, 1.25) * 4.0).round().max(1.0) / 4.0
                    }
                    Listing::Off => 1.0,
                };
                workers.push(worker);
            }
        }
        let mut shares = zipf(scenario.proxies.count, scenario.proxies.skew);
        let all: f64 = shares.iter().sum();
        shares.iter_mut().for_each(|share| *share /= all);
        let slices = scenario
            .slices
            .as_ref()
            .map_or(0, |slices| usize::from(slices.count));
        let sources = scenario.proxies.count.max(slices);
        let managers = (0..scenario.managers.count).map(|number| {
            let zone = (number % zones) as u16;
            Manager::new((zone, zones), workers.len(), sources, classes)
        });
        let mut queue = Queue::default();
        let lanes = Lanes {
            client: (0..classes).map(|_| queue.lane()).collect(),
            wait: (0..classes).map(|_| queue.lane()).collect(),
            way: [queue.lane(), queue.lane()],
            probe: queue.lane(),
            refresh: queue.lane(),
        };
        let of_class = |span: fn(&crate::scenario::ClassOf) -> f64| -> Vec<Time> {
            scenario
                .classes
                .iter()
                .map(|class| us(span(class)))
                .collect()
        };
        let waits = scenario
            .classes
            .iter()
            .map(|class| us(class.aim_ms * scenario.proxies.first_wait));
        let refresh = scenario.managers.load_refresh_ms;
        let spans = Spans {
            give_up: of_class(|class| class.give_up_ms),
            patience: of_class(|class| class.give_up_ms * class.patience),
            wait: waits.collect(),
            way: [
                us(scenario.network.within_ms),
                us(scenario.network.across_ms),
            ],
            connect: us(scenario.network.connect_timeout_ms),
            drain_grace: us(scenario.rules.drain_grace_ms),
            unserved: us(scenario.rules.unserved_ms),
            refresh: us(build.between(refresh.0, refresh.1)).max(1000),
        };
        let clients = &scenario.clients;
        let keys = clients.key_skew > 0.0;
        let wheels = Wheels {
            classes: Wheel::new(scenario.classes.iter().map(|class| class.share).collect()),
            proxies: Wheel::new(shares.clone()),
            keys: keys.then(|| Wheel::new(zipf(clients.keys, clients.key_skew))),
        };
        let label = |name: &String| Label { name: name.clone() };
        let draw = |purpose| Chance::new(seed, purpose);
        let mut world = Self {
            settings: settings(&scenario),
            labels: Labels {
                zones: scenario.zones.clone(),
                classes: scenario
                    .classes
                    .iter()
                    .map(|class| label(&class.name))
                    .collect(),
            },
            epoch_ms: EPOCH_MS,
            now: 0,
            queue,
            areas: vec![0.0; workers.len()],
            managers: managers.collect(),
            workers,
            proxies: Vec::new(),
            requests: Slab::default(),
            tries: Slab::default(),
            later: Slab::default(),
            draws: Draws {
                clients: draw(Purpose::Clients),
                retries: draw(Purpose::Retries),
                proxies: draw(Purpose::Proxies),
                platform: draw(Purpose::Platform),
                troubles: draw(Purpose::Troubles),
                workers: draw(Purpose::Workers),
            },
            wheels,
            spans,
            lanes,
            cuts: vec![0; zones],
            heavy: vec![0.0; classes],
            rush: 1.0,
            list_down: 0,
            bare: BTreeSet::new(),
            going: vec![Going::default(); scenario.troubles.len()],
            store: Store::default(),
            tally: Tally::new(scenario.score.clone(), classes),
            watch: Watch::default(),
            chronicle: Chronicle::default(),
            steps: VecDeque::new(),
            finishes: Vec::new(),
            bad_orders: 0,
            events: 0,
            scenario,
        };
        world.lay_store();
        for (number, share) in shares.into_iter().enumerate() {
            let zone = (number % zones) as u16;
            let table = world.standing(zone);
            let mut proxy = Proxy::new(zone, share, table, classes);
            proxy.slices = world.store.read();
            world.proxies.push(proxy);
        }
        world.begin();
        world
    }

    fn begin(&mut self) {
        for number in 0..self.workers.len() {
            self.feels(number);
            let first = (self.draws.platform.unit() * self.spans.refresh as f64) as Time;
            self.queue.push(first, Event::Refresh(number as u32));
        }
        for number in 0..self.managers.len() {
            self.manager_starts(number, true);
        }
        for number in 0..self.proxies.len() {
            let wait = self.draws.platform.between(0.0, 500.0);
            self.queue.push(us(wait), Event::Dial(number as u16, 0));
        }
        self.set_troubles();
        self.set_arrival();
        self.queue.push(SECOND, Event::Sweep);
        self.queue.push(LOOK, Event::Look);
    }

    /// A table of listed workers, drawn by chance in a zone if it has three, else anywhere.
    pub(crate) fn standing(&mut self, zone: u16) -> Arc<Snapshot> {
        let listed: Vec<usize> = (0..self.workers.len())
            .filter(|at| self.listed(*at).is_some())
            .collect();
        let near = listed
            .iter()
            .copied()
            .filter(|at| self.workers[*at].zone == zone);
        let near: Vec<usize> = near.collect();
        let from = if near.len() >= 3 { near } else { listed };
        let drawn = self
            .draws
            .platform
            .some_of(from, self.scenario.proxies.standing);
        let lines = drawn
            .into_iter()
            .map(|at| (at as u32, self.workers[at].weight));
        Snapshot::new(lines, Vec::new())
    }

    /// Sets the clock that managers are told: what it says at the world's start, in milliseconds.
    pub fn set_epoch(&mut self, epoch_ms: f64) {
        self.epoch_ms = epoch_ms;
    }

    /// Gives the time limits of the first and third rule so much more: for managers on real sockets.
    pub fn set_slack(&mut self, slack: Time) {
        self.spans.drain_grace += slack;
        self.spans.unserved += slack;
    }

    /// What is fixed for the life of its managers.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// What the settings call zones and classes.
    pub fn labels(&self) -> &Labels {
        &self.labels
    }

    /// What is played.
    pub fn scenario(&self) -> &Scenario {
        &self.scenario
    }

    /// Microseconds since the start.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Requests by how they ended, at this moment.
    pub fn counts(&self) -> Counts {
        self.tally.counts
    }

    /// Requests and tries whose records are kept.
    pub fn kept(&self) -> (usize, usize) {
        (self.requests.len(), self.tries.len())
    }

    /// Workers there have been; ids are below this.
    pub fn workers(&self) -> usize {
        self.workers.len()
    }

    /// The address that a worker is at; one that replaces another has the same.
    pub fn address(&self, worker: usize) -> u32 {
        self.workers[worker].address
    }

    /// What is true of a worker.
    pub fn truth(&self, at: usize) -> Truth {
        let worker = &self.workers[at];
        let condition = if worker.up == Up::Yes {
            worker.condition
        } else {
            Condition::Gone
        };
        let good = if worker.one_sided {
            0.0
        } else {
            1.0 - worker.errors
        };
        Truth {
            zone: worker.zone,
            ready: condition == Condition::Ready,
            condition,
            capacity: worker.capacity() * good,
            cold: worker.is_cold(self.now, &self.scenario.rules),
        }
    }

    /// Busy core time of a worker so far, in milliseconds.
    pub fn busy_ms(&mut self, at: usize) -> f64 {
        let now = self.now;
        self.workers[at].busy_ms(now)
    }

    /// Whether a zone is cut off from the others.
    pub fn is_cut(&self, zone: u16) -> bool {
        self.cuts[usize::from(zone)] > 0
    }

    /// Whether a manager runs.
    pub fn is_alive(&self, manager: usize) -> bool {
        self.managers[manager].alive
    }

    /// What happened, for whoever asks why.
    pub fn chronicle(&self) -> &Chronicle {
        &self.chronicle
    }

    /// Rules that were broken so far.
    pub fn broken(&self) -> Vec<Rule> {
        self.watch.broken()
    }

    /// A probe that did not come as an order: on sockets it comes to the worker.
    pub fn probe_worker(&mut self, manager: usize, worker: u32) {
        if self.managers[manager].alive {
            self.probe(manager, worker);
        }
    }

    /// When something happens next, in microseconds.
    pub fn next_at(&self) -> Option<Time> {
        self.queue.next_at()
    }

    /// Whether an order can be carried out: the relay halts at the first that cannot.
    pub fn can_obey(&self, manager: usize, order: &Action) -> bool {
        match *order {
            Action::SetWeight { worker, weight, .. } => {
                (worker as usize) < self.workers.len() && weight >= 0.0
            }
            Action::Bind { proxy, .. } => {
                self.managers[manager].joined.contains(&usize::from(proxy))
            }
            Action::HoldBack { worker, .. } => (worker as usize) < self.workers.len(),
            _ => true,
        }
    }

    /// Lets the world go on, up to `limit` at the most, and says what the host is to do.
    pub fn next(&mut self, limit: Time) -> Step {
        loop {
            if let Some(step) = self.steps.pop_front() {
                return step;
            }
            if self.is_over() {
                return Step::Over;
            }
            match self.queue.next_at() {
                Some(at) if at <= limit => {}
                Some(_) => {
                    self.now = self.now.max(limit);
                    return Step::Reached;
                }
                None => return Step::Over,
            }
            let Some((at, event)) = self.queue.pop() else {
                return Step::Over;
            };
            debug_assert!(at >= self.now, "time goes on");
            self.now = at;
            self.events += 1;
            self.happen(event);
        }
    }

    /// Requests no longer come, and none is in flight.
    fn is_over(&self) -> bool {
        self.now >= us(self.scenario.duration_ms) && self.tally.counts.in_flight == 0
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Again(key, number) => self.client_again(key, number),
            Event::ClientOver(key, number) => self.client_over(key, number),
            Event::Reach(key) => self.reach(key),
            Event::Done(worker, place, stamp) => self.done(worker, place, stamp),
            Event::Back(key) => self.back(key),
            Event::TryOver(key) => self.try_over(key),
            Event::Unconnected(key) => self.unconnected(key),
            Event::Refresh(worker) => self.refresh(worker),
            Event::Warms(worker, life) => self.warms(worker, life),
            Event::Restart(worker) => self.comes_back(worker as usize),
            Event::Drains(worker) => self.drains(worker),
            Event::Replaced(worker) => self.replaced(worker),
            Event::Ages(trouble) => self.ages(trouble),
            Event::Trouble(trouble, phase) => self.trouble(trouble, phase),
            Event::Tick(manager, life) => self.tick(manager, life),
            Event::Later(key) => self.later(key),
            Event::Whole(manager, life) => self.whole(manager, life),
            Event::News(manager, life) => self.news(manager, life),
            Event::Gather(manager, life) => self.gather(manager, life),
            Event::Intake(manager, life) => self.intake(manager, life),
            Event::LeftTold(manager, life, proxy) => self.left_told(manager, life, proxy),
            Event::Deliver(proxy, stream) => self.deliver(proxy, stream),
            Event::Dial(proxy, stream) => self.dial(proxy, stream),
            Event::Held(key, number) => self.held(key, number),
            Event::Sweep => self.sweep(),
            Event::Look => self.look(),
        }
    }

    /// A worker renews its load report.
    fn refresh(&mut self, number: u32) {
        let at = number as usize;
        if self.workers[at].condition == Condition::Gone {
            return;
        }
        self.areas[at] = self.workers[at].refresh(self.now, self.areas[at]);
        if self.scenario.machines[usize::from(self.workers[at].machine)].crowding > 0.0 {
            self.paces(at);
        }
        let next = self.now + self.spans.refresh;
        self.queue
            .push_in(self.lanes.refresh, next, Event::Refresh(number));
    }

    /// Proxies close the connections that they have not used for long.
    fn sweep(&mut self) {
        let idle = us(self.scenario.network.idle_ms);
        let before = self.now.saturating_sub(idle);
        self.queue
            .push(self.now + (idle / 4).max(SECOND), Event::Sweep);
        for proxy in &mut self.proxies {
            for (worker, life, closed) in proxy.close_idle(before) {
                let worker = &mut self.workers[worker as usize];
                if worker.life == life {
                    worker.open = worker.open.saturating_sub(closed);
                }
            }
        }
    }

    /// The run as it stands.
    pub fn report(&self) -> Report {
        let managers = &self.scenario.managers;
        let channel = managers.channel_rate * managers.count as f64 * ms(self.now) / 1000.0;
        let outcome = |rule: Rule| (rule.name(), self.watch.outcome(rule));
        Report {
            service: self.tally.service(&self.scenario.classes, channel),
            requests: self.tally.counts,
            spent: self.tally.spent,
            rules: RULES.into_iter().map(outcome).collect(),
            events: self.events,
            bad_orders: self.bad_orders,
            simulated_ms: ms(self.now),
        }
    }

    /// Plays the whole run with managers that `decide`: they are given the manager's number, its step
    /// and a place for what they order.
    pub fn play(&mut self, mut decide: impl FnMut(&Self, &Step, &mut Vec<Action>)) -> Report {
        let mut orders = Vec::new();
        loop {
            let step = self.next(Time::MAX);
            if step == Step::Over {
                return self.report();
            }
            decide(self, &step, &mut orders);
            if let Step::Batch { manager, .. } = step {
                self.obey(manager, &orders);
            }
            orders.clear();
        }
    }
}
