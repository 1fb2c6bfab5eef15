//! Starts a fleet, carries out what is scheduled while clients go on, and ends it.

use std::cell::{Cell, RefCell};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, bail};
use bytes::Bytes;
use hyper::Method;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::SoakOptions;
use super::clients::SoakClients;
use super::judge::{Evidence, ReadBack, ended_in_order, judge, recovered};
use super::layout::lay_out;
use super::margins::margins;
use super::processes::Processes;
use super::relay::Relay;
use super::resources::Resources;
use super::schedule::{Event, Planned, Size};
use super::versions::{Limits, Purpose, Reply, Versions};
use super::worker_places::WorkerPlaces;
use crate::call::Control;
use crate::clients::Front;
use crate::fleet::{Fleet, bounds};
use crate::judge::{Check, Report, count};
use crate::ledger::Ledger;

/// Seconds that the fleet may take to be ready.
const READY_S: f64 = 20.0;
/// Seconds that what was scheduled may take beyond what it takes by itself.
const BEYOND_S: f64 = 30.0;
/// Seconds of calm at the end in which a proxy need not serve yet.
const RECOVERY_S: f64 = 4.0;
/// Seconds of calm behind these, in which every proxy has to serve.
const SERVED_S: f64 = 2.0;
/// Clients at a time for each request a second.
const CLIENTS_PER_RATE: f64 = 0.4;
/// Between two looks at what processes use, and between two reads of the configuration.
const LOOK: Duration = Duration::from_secs(1);
const READ: Duration = Duration::from_millis(700);
/// Between two questions of the platform whether a proxy is ready.
const PLATFORM: Duration = Duration::from_millis(500);
/// Routes beside those that are asked for, of one version in so many.
const FILLERS: u32 = 2_900;
const FILLED_ONE_IN: u32 = 12;

/// All that takes part in a soak.
struct Soak {
    fleet: Rc<Fleet>,
    ledger: Rc<Ledger>,
    versions: Rc<Versions>,
    fronts: Rc<Vec<Front>>,
    processes: Processes,
    relay: Rc<Relay>,
    /// Routes of every configuration that nobody asks for; 0 where they are drawn.
    idle_routes: u32,
    workers: WorkerPlaces,
    reads: RefCell<Vec<ReadBack>>,
    resources: Resources,
    over: Cell<bool>,
}

/// Plays, unless a signal comes first; ends the fleet in any case.
pub async fn watched(
    options: &SoakOptions,
    size: Size,
    seed: u64,
    events: Vec<Planned>,
    program: PathBuf,
    folder: &Path,
) -> anyhow::Result<Report> {
    let (fleet, relay) = lay_out(size, options.link_mbit, &program, folder).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let soak = Soak::new(&fleet, relay, options.idle_routes);
    let done = tokio::select! {
        done = play(&soak, options, size, seed, events) => done,
        _ = terminate.recv() => Err(anyhow::anyhow!("stopped by SIGTERM")),
        _ = interrupt.recv() => Err(anyhow::anyhow!("stopped by SIGINT")),
    };
    let own_ends = fleet.own_ends();
    let wrong = fleet.stop().await;
    done.map(|mut report| {
        let mut faults = soak.processes.faults.take();
        faults.extend(soak.workers.faults.take());
        faults.extend(own_ends);
        faults.extend(wrong);
        report
            .checks
            .push(ended_in_order(&faults, fleet.machines.len()));
        report
    })
}

impl Soak {
    fn new(fleet: &Rc<Fleet>, relay: Rc<Relay>, idle_routes: u32) -> Rc<Self> {
        let ledger = Rc::new(Ledger::new());
        let fronts = Rc::new(Front::of(fleet));
        Rc::new(Self {
            processes: Processes::new(fleet, &fronts, &ledger),
            workers: WorkerPlaces::new(fleet, &ledger),
            fleet: fleet.clone(),
            relay,
            idle_routes,
            ledger,
            versions: Rc::default(),
            fronts,
            reads: RefCell::default(),
            resources: Resources::default(),
            over: Cell::new(false),
        })
    }

    /// Sends a version until it has a clear answer, or the time for it is over.
    async fn send(&self, number: u64, purpose: Purpose) -> Reply {
        let fillers = match self.idle_routes {
            0 => draw_fillers(),
            idle_routes => idle_routes,
        };
        let (nth, body) = (self.versions).add(number, purpose, fillers, self.ledger.now());
        let until = Instant::now() + Duration::from_secs_f64(bounds::ACKNOWLEDGE_S);
        let mut control = Control::new(&self.fleet.controls());
        while Instant::now() < until && !self.over.get() {
            let answer = control.call(Method::POST, "/configuration/replace", &body);
            match answer.await {
                Ok(answer) if answer.good() => {
                    let reply = Reply::Acknowledged(self.ledger.now());
                    self.versions.replied(nth, reply);
                    return reply;
                }
                Ok(answer) if matches!(answer.status, 400 | 409 | 412 | 413 | 422) => {
                    let reply = Reply::Refused(answer.status);
                    self.versions.replied(nth, reply);
                    return reply;
                }
                _ => {}
            }
            control.move_on();
            sleep(Duration::from_millis(100)).await;
        }
        Reply::Unclear
    }

    /// Sends changes at a pace, whether or not those before them were answered.
    async fn send_changes(self: &Rc<Self>, count: u32, every_s: f64) {
        let mut sent = Vec::new();
        for _ in 0..count {
            let soak = self.clone();
            let number = self.versions.next_number();
            sent.push(spawn_local(async move {
                soak.send(number, Purpose::Change).await;
            }));
            sleep(Duration::from_secs_f64(every_s)).await;
        }
        for task in sent {
            let _ = task.await;
        }
    }

    /// Carries out one event, to its end.
    async fn carry_out(self: Rc<Self>, event: Event) {
        let processes = &self.processes;
        match event {
            Event::Terminate(machine) => processes.terminate(processes.place(machine)).await,
            Event::Kill(machine, down_s) => processes.kill(processes.place(machine), down_s).await,
            Event::Freeze(machine, frozen_s) => {
                processes.freeze(processes.place(machine), frozen_s).await;
            }
            Event::Reload(machine) => processes.reload(processes.place(machine)),
            Event::Roll(every_s) => self.roll(every_s).await,
            Event::Starve(machine, stopped_s, span_s) => {
                processes
                    .starve(processes.place(machine), stopped_s, span_s)
                    .await;
            }
            Event::StarveAll(stopped_s, span_s) => self.starve_all(stopped_s, span_s).await,
            Event::Limits(idle_s, header_s) => {
                self.versions.set_limits(Limits { idle_s, header_s });
                self.send(self.versions.next_number(), Purpose::Change)
                    .await;
            }
            Event::Empty(node, down_s) => processes.empty(node.into(), down_s).await,
            Event::Cut(one, other, cut_s) => {
                let (one, other) = (processes.place(one), processes.place(other));
                processes.cut(&self.relay, one, other, cut_s).await;
            }
            Event::Isolate(one, other, cut_s) => {
                let (one, other) = (one.into(), other.into());
                processes.isolate(&self.relay, one, other, cut_s).await;
            }
            Event::Blackout(down_s) => self.black_out(down_s).await,
            Event::Changes(count, every_s) => self.send_changes(count, every_s).await,
            Event::Invalid => {
                self.send(self.versions.next_number(), Purpose::Invalid)
                    .await;
            }
            Event::Race => {
                let number = self.versions.next_number();
                let one = self.send(number, Purpose::Race);
                let other = self.send(number, Purpose::Race);
                tokio::join!(one, other);
            }
            Event::Drain(place) => self.workers.drain(place).await,
            Event::Crash(place) => self.workers.crash(place).await,
            Event::Swap(one, other) => self.workers.swap(one, other).await,
            Event::Slow(place, span_s) => self.workers.slow_down(place, span_s).await,
        }
    }

    /// All control nodes are killed at once.
    async fn black_out(self: &Rc<Self>, down_s: f64) {
        let nodes = 0..self.fleet.controls().len();
        self.at_once(nodes, async move |processes, node| {
            processes.kill(node, down_s).await
        })
        .await;
    }

    /// All proxies are short of time.
    async fn starve_all(self: &Rc<Self>, stopped_s: f64, span_s: f64) {
        let starve =
            async move |processes: &Processes, at| processes.starve(at, stopped_s, span_s).await;
        self.at_once(self.proxies(), starve).await;
    }

    /// All proxies are told to end in turn, whether or not those before are back.
    async fn roll(self: &Rc<Self>, every_s: f64) {
        let first = self.proxies().start;
        let roll = async move |processes: &Processes, at: usize| {
            let turn = (at - first) as f64;
            sleep(Duration::from_secs_f64(every_s * turn)).await;
            processes.terminate(at).await;
        };
        self.at_once(self.proxies(), roll).await;
    }

    /// Where the proxies are among the machines.
    fn proxies(&self) -> Range<usize> {
        self.fleet.controls().len()..self.fleet.machines.len()
    }

    /// Does the same with several processes, each in a task of its own.
    async fn at_once(
        self: &Rc<Self>,
        places: Range<usize>,
        work: impl AsyncFn(&Processes, usize) + Clone + 'static,
    ) {
        let tasks = places.map(|at| {
            let (soak, work) = (self.clone(), work.clone());
            spawn_local(async move { work(&soak.processes, at).await })
        });
        for task in tasks.collect::<Vec<JoinHandle<()>>>() {
            let _ = task.await;
        }
    }

    /// Asks proxies whether they are ready, as the platform does, for good.
    async fn ask_proxies(self: Rc<Self>) {
        loop {
            for proxy in 0..self.fronts.len() {
                let soak = self.clone();
                spawn_local(async move { soak.fronts[proxy].ask().await });
            }
            sleep(PLATFORM).await;
        }
    }

    /// Looks at what processes use, for good.
    async fn look_at_processes(self: Rc<Self>) {
        loop {
            for (at, machine) in self.fleet.machines.iter().enumerate() {
                if let Some(process) = self.fleet.pid(at) {
                    self.resources.look(&machine.name, process);
                }
            }
            sleep(LOOK).await;
        }
    }

    /// Reads the configuration back from one control node after the other, for good.
    async fn read_on(self: Rc<Self>) {
        for node in (0..self.fleet.controls().len()).cycle() {
            self.read(node).await;
            sleep(READ).await;
        }
    }

    async fn read(&self, node: usize) -> bool {
        let asked = self.ledger.now();
        let control = Control::only(self.fleet.controls()[node]);
        let nothing = Bytes::new();
        let answer = control.call(Method::GET, "/configuration/read", &nothing);
        let answer = answer.await.ok().filter(crate::call::Answer::good);
        let text = answer.and_then(|answer| serde_json::from_slice(&answer.body).ok());
        let told = text.map(|text| ReadBack::new(asked, node, &text));
        self.reads.borrow_mut().extend(told.clone());
        told.is_some()
    }

    async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let until = Instant::now() + Duration::from_secs_f64(READY_S);
        let ready = || self.workers.are_known() && self.fronts.iter().all(Front::is_in);
        while !ready() {
            if Instant::now() >= until || !self.fleet.own_ends().is_empty() {
                let ready = self.fronts.iter().filter(|front| front.is_in()).count();
                bail!("only {ready} of {} proxies are ready", self.fronts.len());
            }
            sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    /// Has every proxy asked, for as long as it has to serve one at least; clients may have left one out.
    async fn ask_every_proxy(&self, clients: &Rc<SoakClients>, seed: u64) {
        let until = Instant::now() + Duration::from_secs_f64(SERVED_S);
        let asked = (0..self.fronts.len()).map(|proxy| {
            let (clients, seed) = (clients.clone(), seed ^ ((proxy as u64) << 48));
            spawn_local(async move {
                let _ = timeout_at(until, clients.ask_until_served(proxy, seed)).await;
            })
        });
        for asked in asked.collect::<Vec<JoinHandle<()>>>() {
            let _ = asked.await;
        }
        sleep_until(until).await;
    }

    /// Every proxy served and every control node told its configuration in the calm at the end.
    async fn check_recovery(&self, recovered_at: f64) -> Check {
        let mut told = Vec::new();
        for node in 0..self.fleet.controls().len() {
            told.push(self.read(node).await);
        }
        recovered(&self.ledger, self.fronts.len(), recovered_at, &told)
    }
}

async fn play(
    soak: &Rc<Soak>,
    options: &SoakOptions,
    size: Size,
    seed: u64,
    events: Vec<Planned>,
) -> anyhow::Result<Report> {
    for at in 0..soak.fleet.machines.len() {
        soak.fleet.start(at)?;
    }
    soak.workers.start_all(size.workers).await?;
    let background = [
        spawn_local(soak.clone().ask_proxies()),
        spawn_local(soak.clone().look_at_processes()),
    ];
    let first = soak.send(1, Purpose::Change).await;
    if !matches!(first, Reply::Acknowledged(_)) {
        bail!("the first configuration was not acknowledged: {first:?}");
    }
    soak.wait_until_ready().await?;
    let begun = Instant::now();
    let clients = start_clients(soak, options.rate, seed);
    let reading = spawn_local(soak.clone().read_on());
    let ends = events.iter().map(|planned| planned.ends_at_s(size));
    let ends_at_s = ends.fold(options.seconds, f64::max);
    let mut under_way = Vec::new();
    for planned in events {
        sleep_until(begun + Duration::from_secs_f64(planned.at_s)).await;
        println!("{:8.2} s  {}", soak.ledger.now(), planned.event);
        under_way.push(spawn_local(soak.clone().carry_out(planned.event)));
    }
    sleep_until(begun + Duration::from_secs_f64(options.seconds)).await;
    let until = begun + Duration::from_secs_f64(ends_at_s + BEYOND_S);
    for event in under_way {
        let ended = timeout_at(until, event).await;
        ended.context("an event takes too long")??;
    }
    sleep(Duration::from_secs_f64(RECOVERY_S)).await;
    let recovered_at = soak.ledger.now();
    soak.ask_every_proxy(&clients, seed).await;
    let recovery = soak.check_recovery(recovered_at).await;
    soak.over.set(true);
    clients.over.set(true);
    reading.abort();
    background.iter().for_each(JoinHandle::abort);
    let mut report = count(&soak.ledger);
    let versions = soak.versions.all();
    let evidence = Evidence {
        ledger: &soak.ledger,
        timeline: &soak.processes.timeline.borrow(),
        versions: &versions,
        reads: &soak.reads.borrow(),
        seconds: begun.elapsed().as_secs_f64(),
    };
    report.checks = judge(&evidence);
    report.margins = margins(&evidence);
    report.checks.extend([recovery, soak.resources.check()]);
    Ok(report)
}

/// Routes of the next version that nobody asks for: none most often.
fn draw_fillers() -> u32 {
    match fastrand::u32(..FILLED_ONE_IN) {
        0 => fastrand::u32(..FILLERS),
        _ => 0,
    }
}

fn start_clients(soak: &Rc<Soak>, rate: f64, seed: u64) -> Rc<SoakClients> {
    let clients = Rc::new(SoakClients {
        fronts: soak.fronts.clone(),
        ledger: soak.ledger.clone(),
        versions: soak.versions.clone(),
        over: Cell::new(false),
    });
    let count = (rate * CLIENTS_PER_RATE).ceil().max(1.0);
    for nth in 0..count as u64 {
        let pause_s = count / rate;
        spawn_local(clients.clone().client(seed ^ (nth << 32), pause_s));
    }
    clients
}
