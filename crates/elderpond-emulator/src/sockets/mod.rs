//! Plays a scenario in real time against the built manager: starts the program under the platform's
//! own form of configuration, and plays relay, discovery, collectors and workers on loopback.
//!
//! One task owns the world and its clock; the peers are tasks that hand it what a manager does and
//! are handed what a manager is told. The rules are watched in the world, as in simulated time, with
//! the slack that the platform gives managers on sockets.

mod child;
mod collectors;
mod discovery;
mod http;
mod relay;
mod workers;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use elderpond::interface::{Action, Entry, Event, ProbeOutcome, WorkerId};
use elderpond_model::time::Time;
use elderpond_model::{Report, Scenario, Step, World};
use elderpond_settings::Labels;
use elderpond_wire::Numbering;
use elderpond_wire::discovery::Listed;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use child::Child;
use collectors::Collectors;
use discovery::Discovery;
use relay::Relay;
use workers::Workers;

/// The platform gives the time limits of rules so much more on sockets.
const SLACK: Time = 300_000;
/// The loop looks at its clock this often at the least.
const PAUSE: Duration = Duration::from_millis(20);
/// Messages from peers that may wait for the world.
const MAIL: usize = 4096;

/// Why a run on sockets came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum SocketsError {
    /// The system.
    #[error("{what}: {cause}")]
    System {
        /// What was tried.
        what: &'static str,
        /// What came of it.
        cause: std::io::Error,
    },
    /// The program could not be started.
    #[error("cannot start {program}: {cause}")]
    Program {
        /// The program.
        program: PathBuf,
        /// Why.
        cause: std::io::Error,
    },
    /// The program ended by itself.
    #[error("manager {manager} ended by itself {at_s:.1} s into the run: {how}; its log: {log}")]
    Crashed {
        /// Which one.
        manager: usize,
        /// When.
        at_s: f64,
        /// Its status.
        how: String,
        /// The end of its log.
        log: String,
    },
    /// The program never answered.
    #[error("manager {0} gave no sign of life within 10 s")]
    NotReady(usize),
    /// What is written for it.
    #[error("configuration: {0}")]
    Config(#[from] elderpond_wire::Malformed),
}

fn system(what: &'static str) -> impl Fn(std::io::Error) -> SocketsError {
    move |cause| SocketsError::System { what, cause }
}

/// Who waits for a probe: its outcome and the load report go there.
type Prober = oneshot::Sender<(ProbeOutcome, Vec<f64>)>;

/// What a peer hands to the world.
enum Input {
    /// A call with orders; the answer is how many were taken, or none if nobody is there.
    Orders {
        manager: usize,
        life: u32,
        orders: Vec<Action>,
        taken: oneshot::Sender<usize>,
    },
    /// A probe; the answer is its outcome and the load report.
    Probe {
        manager: usize,
        worker: WorkerId,
        answer: Prober,
    },
}

/// What workers and classes are called on the wire.
pub struct Book {
    labels: Labels,
    /// Ids below this have been listed.
    workers: AtomicU32,
}

fn worker_name(id: WorkerId) -> String {
    format!("w-{id:04x}")
}

impl Numbering for Book {
    fn worker_id(&self, name: &str) -> Option<WorkerId> {
        let id = u32::from_str_radix(name.strip_prefix("w-")?, 16).ok()?;
        let known = id < self.workers.load(Ordering::Relaxed) && worker_name(id) == name;
        known.then_some(id)
    }

    fn class_index(&self, name: &str) -> Option<usize> {
        self.labels
            .classes
            .iter()
            .position(|class| class.name == name)
    }
}

/// All that belongs to one manager.
struct Seat {
    listen: SocketAddr,
    relay: Relay,
    discovery: Discovery,
    collectors: Collectors,
    workers: Workers,
    child: Option<Child>,
    life: u32,
    /// Probes that are under way.
    probes: Vec<(WorkerId, Prober)>,
}

/// Where a run stands.
struct Play {
    world: World,
    program: PathBuf,
    folder: PathBuf,
    book: Arc<Book>,
    seats: Vec<Seat>,
    begun: Option<Instant>,
}

/// Plays a run against `program`, the built manager. `folder` takes configurations and logs.
/// `progress` is told the milliseconds gone.
///
/// # Errors
/// What the system refuses, and a manager that does not start or ends by itself.
pub fn play(
    scenario: Scenario,
    seed: u64,
    (program, folder): (PathBuf, PathBuf),
    progress: &mut dyn FnMut(f64),
) -> Result<(Report, World), SocketsError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(system("cannot start a runtime"))?;
    runtime.block_on(async {
        let (input, mut inputs) = mpsc::channel(MAIL);
        let mut play = Play::new(scenario, seed, program, folder, input).await?;
        let outcome = play.run(&mut inputs, progress).await;
        for seat in &mut play.seats {
            if let Some(mut child) = seat.child.take() {
                child.kill().await;
            }
        }
        outcome.map(|report| (report, play.world))
    })
}

impl Play {
    async fn new(
        scenario: Scenario,
        seed: u64,
        program: PathBuf,
        folder: PathBuf,
        input: mpsc::Sender<Input>,
    ) -> Result<Self, SocketsError> {
        let managers = scenario.managers.count;
        let mut world = World::new(scenario, seed);
        world.set_slack(SLACK);
        let labels = world.labels().clone();
        let workers = AtomicU32::new(world.workers() as u32);
        let book = Arc::new(Book { labels, workers });
        let order = Arc::new(world.settings().load_fields.clone());
        let mut seats = Vec::new();
        for manager in 0..managers {
            let listen = free_address()
                .await
                .map_err(system("no address for a manager"))?;
            let relay = Relay::start(manager, book.clone(), input.clone()).await;
            let discovery = Discovery::start().await;
            let addresses = world.scenario().workers();
            let workers = Workers::start((manager, addresses), order.clone(), input.clone()).await;
            let zones = world.labels().zones.clone();
            seats.push(Seat {
                listen,
                relay: relay.map_err(system("no address for the relay"))?,
                discovery: discovery.map_err(system("no address for discovery"))?,
                collectors: Collectors::start(listen, zones, order.clone()),
                workers: workers.map_err(system("no address for a worker"))?,
                child: None,
                life: 0,
                probes: Vec::new(),
            });
        }
        Ok(Self {
            world,
            program,
            folder,
            book,
            seats,
            begun: None,
        })
    }

    fn now(&self) -> Time {
        self.begun
            .map_or(0, |begun| begun.elapsed().as_micros() as Time)
    }

    async fn run(
        &mut self,
        inputs: &mut mpsc::Receiver<Input>,
        progress: &mut dyn FnMut(f64),
    ) -> Result<Report, SocketsError> {
        // Clients come once all managers are ready.
        while let step = self.world.next(0)
            && step != Step::Reached
        {
            self.carry_out(step).await?;
        }
        for (manager, seat) in self.seats.iter_mut().enumerate() {
            if !child::is_ready(seat.listen).await {
                return Err(SocketsError::NotReady(manager));
            }
        }
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        self.world.set_epoch(unix.as_secs_f64() * 1000.0);
        self.begun = Some(Instant::now());
        loop {
            match self.world.next(self.now()) {
                Step::Over => return Ok(self.world.report()),
                Step::Reached => {}
                step => {
                    self.carry_out(step).await?;
                    continue;
                }
            }
            progress(self.now() as f64 / 1000.0);
            self.look_after().await?;
            let next = self
                .world
                .next_at()
                .unwrap_or(Time::MAX)
                .saturating_sub(self.now());
            let pause = Duration::from_micros(next).min(PAUSE);
            tokio::select! {
                Some(input) = inputs.recv() => {
                    self.take_in(input);
                    while let Ok(input) = inputs.try_recv() {
                        self.take_in(input);
                    }
                }
                () = sleep_until(Instant::now() + pause) => {}
            }
        }
    }

    /// A manager that ends by itself has crashed.
    async fn look_after(&mut self) -> Result<(), SocketsError> {
        let at_s = self.now() as f64 / 1e6;
        for (manager, seat) in self.seats.iter_mut().enumerate() {
            if let Some(child) = &mut seat.child
                && let Some(how) = child.ended()
            {
                let log = child.log_end();
                return Err(SocketsError::Crashed {
                    manager,
                    at_s,
                    how,
                    log,
                });
            }
        }
        Ok(())
    }

    /// Takes in what a manager does. The world has been brought up to now.
    fn take_in(&mut self, input: Input) {
        match input {
            Input::Orders {
                manager,
                life,
                orders,
                taken,
            } => {
                if self.seats[manager].life != life || !self.world.is_alive(manager) {
                    return; // from before it was killed: nobody hears the answer
                }
                let usable = |order: &&Action| self.world.can_obey(manager, order);
                let count = orders.iter().take_while(usable).count();
                self.world.obey(manager, &orders[..count]);
                let _ = taken.send(count);
            }
            Input::Probe {
                manager,
                worker,
                answer,
            } => {
                self.seats[manager].probes.push((worker, answer));
                self.world.probe_worker(manager, worker);
            }
        }
    }

    async fn carry_out(&mut self, step: Step) -> Result<(), SocketsError> {
        match step {
            Step::Over | Step::Reached => {}
            Step::Start {
                manager,
                seed,
                known,
                ..
            } => self.start(manager, seed, &known)?,
            Step::Stop { manager } => {
                let seat = &mut self.seats[manager];
                seat.life += 1;
                seat.relay.dies(seat.life);
                seat.probes.clear();
                if let Some(mut child) = seat.child.take() {
                    child.kill().await;
                }
            }
            Step::Batch {
                manager, events, ..
            } => {
                self.book
                    .workers
                    .store(self.world.workers() as u32, Ordering::Relaxed);
                for event in events {
                    self.tell(manager, event);
                }
            }
        }
        Ok(())
    }

    fn listed(&self, manager: usize, entries: &[Entry]) -> Vec<Listed> {
        let zones = &self.book.labels.zones;
        let listed = entries.iter().map(|entry| Listed {
            name: worker_name(entry.worker),
            address: self.seats[manager]
                .workers
                .address(self.world.address(entry.worker as usize)),
            zone: zones[usize::from(entry.zone)].clone(),
            weight: entry.weight,
            started: entry.started,
            condition: entry.condition,
        });
        listed.collect()
    }

    /// Starts a manager's program. What it is told of the list as it last was is in its configuration.
    fn start(&mut self, manager: usize, seed: u64, known: &[Entry]) -> Result<(), SocketsError> {
        let known = self.listed(manager, known);
        let settings = elderpond_settings::write(self.world.settings(), &self.book.labels);
        let seat = &mut self.seats[manager];
        seat.discovery.known(&known);
        let child = Child::start(
            &self.program,
            &self.folder,
            child::Told {
                manager,
                seed,
                listen: seat.listen,
                discovery: seat.discovery.address,
                relay: seat.relay.address,
                known,
                settings,
            },
        )?;
        seat.child = Some(child);
        Ok(())
    }

    /// Tells a manager something, in the way of the peer whose business it is.
    fn tell(&mut self, manager: usize, event: Event) {
        let zones = &self.book.labels.zones;
        match event {
            Event::List { kind, ref entries } => {
                for entry in entries {
                    let address = self.world.address(entry.worker as usize);
                    self.seats[manager].workers.put(address, entry);
                }
                let entries = self.listed(manager, entries);
                self.seats[manager].discovery.tell(kind, entries);
            }
            Event::Joined(joined) => {
                let zone = zones[usize::from(joined.zone)].clone();
                self.seats[manager]
                    .relay
                    .joined(joined.proxy, zone, (joined.rate, joined.fresh));
            }
            Event::Left { proxy } => self.seats[manager].relay.left(proxy),
            Event::Applied { mark, proxy } => self.seats[manager].relay.applied(mark, proxy),
            Event::Heard(heard) => {
                let name = worker_name(heard.worker);
                self.seats[manager].collectors.heard(&name, &heard);
            }
            Event::Demand {
                source,
                class,
                came,
                unanswered,
                covers_ms,
            } => {
                let class = &self.book.labels.classes[class].name;
                let seat = &self.seats[manager];
                seat.collectors
                    .demand(source, class, (came, unanswered, covers_ms));
            }
            Event::Probed(probed) => {
                let probes = &mut self.seats[manager].probes;
                if let Some(place) = probes
                    .iter()
                    .position(|(worker, _)| *worker == probed.worker)
                {
                    let (_, answer) = probes.remove(place);
                    let _ = answer.send((probed.outcome, probed.load));
                }
            }
            Event::Timer { .. } | Event::Charge { .. } | Event::Stored(_) | Event::Peer => {}
        }
    }
}

/// An address that nobody listens at now.
async fn free_address() -> std::io::Result<SocketAddr> {
    tokio::net::TcpListener::bind("127.0.0.1:0")
        .await?
        .local_addr()
}
