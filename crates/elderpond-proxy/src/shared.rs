//! What the tasks of a proxy share.

use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ahash::RandomState;
use elderpond_flora::{Difference, DifferenceError, Limits, Routes, Version};
use elderpond_forage::{
    Budget, Chance, ControlNodeChoice, KnownWorkers, Means, Millis, PickTuning, ProxyCount,
};
use elderpond_process_settings::{ProcessSettings, Tenants};
use hashbrown::HashMap;
use tokio::sync::watch;

use crate::client_connections::ClientConnections;
use crate::ending::Ending;
use crate::metrics::Metrics;
use crate::notes::Notes;
use crate::pool::Pool;
use crate::rooms::{Rooms, Sizes};

/// What the tasks of a proxy share.
pub struct Shared {
    started: Instant,
    /// The workers that are known.
    pub workers: RefCell<KnownWorkers>,
    /// Connections to workers.
    pub pool: Pool,
    /// The choice of a control node.
    pub control_node: RefCell<ControlNodeChoice>,
    /// The routes in force.
    pub routes: RefCell<Option<Rc<Routes>>>,
    /// What a process that has none yet was told, until a control node vouches for it.
    offered: RefCell<Option<Routes>>,
    /// What is drawn.
    pub chance: RefCell<Chance>,
    budgets: RefCell<HashMap<Arc<str>, Budget, RandomState>>,
    means: Means,
    wary: RefCell<HashMap<String, Millis, RandomState>>,
    /// How many proxies there are.
    pub proxies: Cell<ProxyCount>,
    /// Whether a table has come.
    pub table: Cell<bool>,
    /// Clients' connections.
    pub client_connections: ClientConnections,
    /// Room for tenants and ranks.
    pub rooms: Rc<Rooms>,
    tenants: RefCell<Tenants>,
    notes: Notes,
    /// Figures that the process tells.
    pub metrics: Metrics,
    hand: Cell<usize>,
    phase: watch::Sender<Phase>,
    /// Once this process was told to end.
    ending: Cell<Option<Ending>>,
    /// Seeds that the settings file names.
    pub seeds: watch::Sender<Vec<Ipv4Addr>>,
}

/// Milliseconds for which what may run once only goes by new connections, after one was not clean.
const WARY: Millis = 10_000;

/// Descriptors that are kept for files.
const FILES: usize = 200;
/// Descriptors for listeners, the control node and the runtime.
const OTHERS: usize = 16;

/// What a process may use of its machine.
fn room(limits: &elderpond_process_settings::Limits) -> Sizes {
    let sockets = limits.file_descriptors.saturating_sub(FILES + OTHERS);
    let clients = (sockets * 5 / 8).max(16);
    Sizes {
        clients,
        workers: sockets.saturating_sub(clients).max(16),
        bodies: (limits.memory_mb * 0.35) as usize * 1_000_000,
    }
}

/// How far the process has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serving.
    Open,
    /// Answers end their connections.
    Stopping,
    /// Connections end once they are idle.
    Closing,
    /// The process itself answers what is still in hand.
    CutOff,
}

impl Shared {
    /// For a process that starts now.
    pub fn new(process_settings: &ProcessSettings) -> Self {
        let seed =
            u64::from(process_settings.ip_address.to_bits()) << 32 ^ u64::from(std::process::id());
        let bounds = &process_settings.bounds;
        let tuning = PickTuning {
            seed,
            ..PickTuning::default()
        };
        let room = room(&process_settings.limits);
        Self {
            started: Instant::now(),
            workers: RefCell::new(KnownWorkers::new(&process_settings.zone, tuning)),
            pool: Pool::new(room.workers),
            control_node: RefCell::new(ControlNodeChoice::new(
                &process_settings.zone,
                &process_settings.seeds(),
            )),
            routes: RefCell::new(None),
            offered: RefCell::new(None),
            chance: RefCell::new(Chance::new(seed)),
            budgets: RefCell::default(),
            wary: RefCell::default(),
            means: Means {
                ratio: bounds.retry_budget_ratio,
                slack: bounds.retry_budget_slack,
                window: (bounds.retry_window_s * 1000.0) as Millis,
            },
            proxies: Cell::default(),
            table: Cell::new(false),
            client_connections: ClientConnections::new(room.clients),
            rooms: Rc::new(Rooms::new(room)),
            tenants: RefCell::default(),
            notes: Notes::default(),
            metrics: Metrics::default(),
            hand: Cell::new(0),
            phase: watch::channel(Phase::Open).0,
            ending: Cell::new(None),
            seeds: watch::channel(process_settings.seeds()).0,
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> Millis {
        self.started.elapsed().as_millis() as Millis
    }

    /// How long it is until a moment.
    pub fn time_until(&self, moment: Millis) -> Duration {
        Duration::from_millis(moment.saturating_sub(self.now()))
    }

    /// Whether clients may be sent here.
    pub fn ready(&self) -> bool {
        self.phase() == Phase::Open && self.table.get() && self.routes.borrow().is_some()
    }

    /// What clients may send, and how long they may take.
    pub fn limits(&self) -> Limits {
        (self.routes.borrow().as_ref()).map_or_else(Limits::default, |routes| routes.limits)
    }

    /// Notes an event, about a worker's life or a version.
    pub fn note(&self, what: &'static str, whom: u64) {
        self.notes.note(self.now(), what, whom);
    }

    /// Something has gone wrong: what was noted lately is logged.
    pub fn spill(&self, what: &str) {
        if let Some(text) = self.notes.spill(self.now(), what) {
            log::warn!("{text}");
        }
    }

    /// How far the process has come.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// To be told how far the process comes.
    pub fn phases(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// From now on answers end their connections.
    pub fn stop(&self, ending: Ending) {
        self.ending.set(Some(ending));
        self.phase.send_replace(Phase::Stopping);
    }

    /// Whether a request that came at `now` and is to be answered by `deadline` can be, before this process
    /// ends.
    pub fn takes(&self, now: Millis, deadline: Millis) -> bool {
        (self.ending.get()).is_none_or(|ending| ending.takes(now, deadline))
    }

    /// Whether all is taken that clients have sent, whatever its deadline.
    pub fn takes_all(&self) -> bool {
        let now = self.now();
        self.phase() < Phase::Closing
            && self.ending.get().is_none_or(|ending| ending.takes_all(now))
    }

    /// From now on connections end once they are idle.
    pub fn close(&self) {
        self.phase.send_replace(Phase::Closing);
    }

    /// From now on no worker is waited for.
    pub fn cut_off(&self) {
        self.phase.send_replace(Phase::CutOff);
    }

    /// Waits until no worker is waited for any more.
    pub async fn is_cut_off(&self) {
        let _ = (self.phases().wait_for(|phase| *phase == Phase::CutOff)).await;
    }

    /// New seeds.
    pub fn seeds(&self, seeds: &[Ipv4Addr]) {
        self.control_node.borrow_mut().set_seeds(seeds);
        self.seeds.send_replace(seeds.to_vec());
    }

    /// Requests in hand.
    pub fn in_hand(&self) -> usize {
        self.hand.get()
    }

    /// Notes that a request is in hand until what is returned is dropped.
    pub fn take(self: &Rc<Self>) -> InHand {
        self.hand.set(self.hand.get() + 1);
        InHand(self.clone())
    }

    /// Works on a service's budget.
    pub fn budget<T>(&self, service: &Arc<str>, work: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let budget = (budgets.entry(service.clone())).or_insert_with(|| Budget::new(0, self.means));
        work(budget)
    }

    /// Whether connections to workers of a service were lately found to be other than clean.
    pub fn wary(&self, service: &str) -> bool {
        let now = self.now();
        (self.wary.borrow().get(service)).is_some_and(|until| now < *until)
    }

    /// Notes that a kept connection to a worker of a service was not clean, if it was `so`.
    pub fn be_wary(&self, service: &str, so: bool) {
        if so {
            let until = self.now() + WARY;
            self.wary.borrow_mut().insert(service.to_owned(), until);
        }
    }

    /// Other tenants.
    pub fn tenants(&self, tenants: Tenants) {
        if let Some(routes) = self.routes.borrow().as_ref() {
            self.rooms.share_out(routes, &tenants);
        }
        self.tenants.replace(tenants);
    }

    /// A control node tells how many proxies it counts, and whether it vouches.
    pub fn proxies_counted(&self, count: usize, vouched: bool) {
        let known = self.proxies.get();
        let told = known.told(self.now(), count, vouched, self.means.window);
        self.proxies.set(told);
        if told.get() != known.get() {
            self.share_out();
        }
    }

    /// Shares the connections that each service's workers take among the proxies.
    fn share_out(&self) {
        let routes = self.routes.borrow();
        let Some(routes) = routes.as_ref() else {
            return;
        };
        let mut workers = self.workers.borrow_mut();
        for service in routes.services() {
            let limit = service.connection_limit as usize;
            // not every proxy is at its share of every worker at once
            let part = (2 * limit).div_ceil(self.proxies.get().get()).min(limit);
            workers.limit(&service.name, (limit > 0).then_some(part));
        }
    }

    /// A control node tells a version. The first is held back, as it may be long out of date: see
    /// [`Self::begin`]. A later one that is above it is newer in any case.
    pub fn told(&self, routes: Routes) {
        if self.routes.borrow().is_some() {
            return self.put_in_force(routes);
        }
        let mut offered = self.offered.borrow_mut();
        if (offered.as_ref()).is_none_or(|offered| offered.version < routes.version) {
            *offered = Some(routes);
        }
    }

    /// A control node tells what leads to a version from the one that it told before.
    ///
    /// # Errors
    ///
    /// It leads from another, and the version has to be told whole.
    pub fn told_difference(&self, difference: &Difference) -> Result<(), DifferenceError> {
        let mut held = self.routes.borrow_mut();
        let Some(routes) = held.as_mut() else {
            let mut offered = self.offered.borrow_mut();
            let none = DifferenceError::OtherBase {
                from: difference.from.version,
                held: Version(0),
            };
            return offered.as_mut().ok_or(none)?.apply(difference);
        };
        // in place, unless a request is looking its route up
        Rc::make_mut(routes).apply(difference)?;
        drop(held);
        self.version_changed();
        Ok(())
    }

    /// Begins with the newest version that was told, if it `may`.
    pub fn begin(&self, may: bool) {
        if may && let Some(routes) = self.offered.borrow_mut().take() {
            self.put_in_force(routes);
        }
    }

    /// Puts a version in force, if it is above the one that is.
    fn put_in_force(&self, routes: Routes) {
        let mut held = self.routes.borrow_mut();
        if held
            .as_ref()
            .is_some_and(|held| held.version >= routes.version)
        {
            return;
        }
        *held = Some(Rc::new(routes));
        drop(held);
        self.version_changed();
    }

    /// Another version is in force: what depends on it follows.
    fn version_changed(&self) {
        let routes = self.routes.borrow().clone();
        let Some(routes) = routes else {
            return;
        };
        let now = self.now();
        // what a service has spent counts on if the next version has it again
        (self.budgets.borrow_mut())
            .retain(|service, budget| routes.service(service).is_some() || !budget.is_over(now));
        (self.wary.borrow_mut())
            .retain(|service, until| routes.service(service).is_some() || now < *until);
        self.rooms.share_out(&routes, &self.tenants.borrow());
        log::info!("version {} is in force", routes.version);
        self.notes.note(self.now(), "version", routes.version.0);
        self.share_out();
    }
}

/// A request in hand.
pub struct InHand(Rc<Shared>);

impl Drop for InHand {
    fn drop(&mut self) {
        self.0.hand.set(self.0.hand.get() - 1);
    }
}
