//! A rehearsal: a small fleet of the real programs on loopback, with stand-in workers, an operator,
//! clients, and a ledger of what each of them saw.
//!
//! Nothing but the programs under rehearsal runs outside of the caller's process, everything has a
//! bound in time, and what was started is ended before [`run`] returns.

mod answer_body;
#[cfg(test)]
mod answer_body_tests;
mod call;
mod clients;
pub mod fleet;
mod judge;
mod ledger;
mod operator;
pub mod soak;
mod workers;

use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, bail};
use argh::{ArgsInfo, FromArgs};
use bytes::Bytes;
use serde_json::Value;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

pub use crate::call::{Answer, Line, call, open};
pub use crate::judge::{Check, Report};

use crate::clients::{Clients, Front};
use crate::fleet::{Fleet, Role, ZONES, bounds};
use crate::ledger::Ledger;
use crate::operator::{ADDED_SERVICE, BAD, CHANGE, FIRST, Operator, READ_SERVICE, WRITE_SERVICE};
use crate::workers::{Kept, Worker};

const CONTROL_NODES: u8 = 3;
const PROXIES: u8 = 3;
/// Workers of each service.
const WORKERS: u8 = 4;
/// The share of successes that a calm run has to reach.
const CALM: f64 = 0.95;
/// Seconds that the fleet may take to be ready.
const READY_S: f64 = 15.0;
/// Seconds that a rehearsal may take beyond its requests.
const BEYOND_S: f64 = 60.0;
/// Seconds from the start of a process until it has to take its part.
const BACK_S: f64 = bounds::CONTACT_S + 4.0;

/// play a small fleet of the real programs on loopback, and say what became of the requests
#[derive(ArgsInfo, Clone, Debug, FromArgs)]
#[argh(subcommand, name = "rehearse")]
pub struct Options {
    /// seconds of requests, from 3 to 600; 10 if not given
    #[argh(option, default = "10.0")]
    pub seconds: f64,
    /// requests a second, from 1 to 2000; 200 if not given
    #[argh(option, default = "200.0")]
    pub rate: f64,
    /// how many workers are drained in the course of it, at most 3; 1 if not given
    #[argh(option, default = "1")]
    pub drain_worker: u8,
    /// kill a control node in the middle and start it again
    #[argh(switch, long = "lose-hive")]
    pub lose_control_node: bool,
    /// kill a proxy in the middle and start it again
    #[argh(switch, long = "lose-forager")]
    pub lose_proxy: bool,
    /// tell every control node and every proxy to end, one of each at a time, and start it again; requests
    /// go on until all are back
    #[argh(switch)]
    pub roll: bool,
    /// send an invalid configuration too
    #[argh(switch)]
    pub bad_configuration: bool,
    /// what chance is drawn from; drawn itself if not given
    #[argh(option)]
    pub seed: Option<u64>,
    /// the program; this one if not given
    #[argh(option)]
    pub program: Option<PathBuf>,
    /// leave the folder with settings, logs and disks
    #[argh(switch)]
    pub keep: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seconds: 10.0,
            rate: 200.0,
            drain_worker: 1,
            lose_control_node: false,
            lose_proxy: false,
            roll: false,
            bad_configuration: false,
            seed: None,
            program: None,
            keep: false,
        }
    }
}

/// Plays a rehearsal and prints what happens; the report still has to be printed.
///
/// # Errors
///
/// The fleet does not start, or the rehearsal was stopped by a signal. A rule that did not hold is
/// no error: it stands in the report.
pub fn run(options: Options) -> anyhow::Result<Report> {
    if !(3.0..=600.0).contains(&options.seconds) {
        bail!("--seconds has to be from 3 to 600");
    }
    if !(1.0..=2000.0).contains(&options.rate) {
        bail!("--rate has to be from 1 to 2000");
    }
    if options.drain_worker >= WORKERS {
        bail!("--drain-worker has to be below {WORKERS}, how many there are of the service");
    }
    if options.roll && (options.lose_control_node || options.lose_proxy) {
        bail!(
            "--roll takes one machine of a role away at a time: --lose-hive and --lose-forager \
             do not go with it"
        );
    }
    let program = match &options.program {
        Some(program) => program.clone(),
        None => std::env::current_exe()?,
    };
    let seed = options.seed.unwrap_or_else(|| fastrand::u64(..1 << 20));
    fastrand::seed(seed);
    println!("seed {seed}");
    let folder = tempfile::Builder::new()
        .prefix("elderpond-rehearsal-")
        .tempdir()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let done = LocalSet::new().block_on(&runtime, watched(&options, program, folder.path()));
    if options.keep {
        println!(
            "settings, logs and disks stay in {}",
            folder.keep().display()
        );
    }
    done
}

/// Plays, unless a signal or the end of the time comes first; ends the fleet in any case.
async fn watched(options: &Options, program: PathBuf, folder: &Path) -> anyhow::Result<Report> {
    let fleet = Rc::new(Fleet::new(program, folder, CONTROL_NODES, PROXIES)?);
    let ledger = Rc::new(Ledger::new());
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let whole = Duration::from_secs_f64(options.seconds + BEYOND_S);
    let mut stopped = true;
    let done = tokio::select! {
        done = timeout(whole, play(options, &fleet, &ledger)) => {
            stopped = false;
            done.context("the rehearsal takes too long").flatten()
        }
        _ = terminate.recv() => Err(anyhow::anyhow!("stopped by SIGTERM")),
        _ = interrupt.recv() => Err(anyhow::anyhow!("stopped by SIGINT")),
    };
    let own_ends = fleet.own_ends();
    say(&ledger, "every process is told to end");
    let wrong = fleet.stop().await;
    let done = done.map(|mut report| {
        let rule = "no process ended by itself";
        report.checks.push(Check::new(
            rule,
            &own_ends,
            format!("{} ran", CONTROL_NODES + PROXIES),
        ));
        let rule = "every process ended when told";
        report.checks.push(Check::new(
            rule,
            &wrong,
            "within the grace period".to_owned(),
        ));
        report
    });
    if !stopped && done.as_ref().map_or(true, |report| !report.held()) {
        for machine in &fleet.machines {
            tell_log(&fleet.log(machine));
        }
    }
    done
}

/// The rehearsal itself.
async fn play(options: &Options, fleet: &Rc<Fleet>, ledger: &Rc<Ledger>) -> anyhow::Result<Report> {
    for at in 0..fleet.machines.len() {
        fleet.start(at)?;
    }
    say(
        ledger,
        &format!("started {CONTROL_NODES} control nodes and {PROXIES} proxies"),
    );
    let control_nodes = fleet.controls();
    let workers = workers(fleet, ledger).await?;
    let operator = Rc::new(Operator::new(&control_nodes, ledger));
    let clients = Rc::new(Clients::new(Front::of(fleet), ledger));
    spawn_local(clients.clone().platform());

    let body = Bytes::from(operator::text(FIRST).to_string());
    let status = operator
        .replace((FIRST, true), body, Duration::from_secs_f64(READY_S))
        .await;
    let status = status.context("the first configuration")?;
    if status != 200 {
        bail!("the first configuration was answered {status}");
    }
    say(ledger, &format!("r{FIRST} acknowledged"));
    let until = Instant::now() + Duration::from_secs_f64(READY_S);
    let ready = || clients.fronts.iter().all(Front::is_in) && workers.iter().all(|it| it.known());
    while !ready() && Instant::now() < until && fleet.own_ends().is_empty() {
        sleep(Duration::from_millis(50)).await;
    }
    if !ready() {
        let fronts = clients.fronts.iter().filter(|front| front.is_in()).count();
        let known = workers.iter().filter(|worker| worker.known()).count();
        bail!(
            "only {fronts} of {PROXIES} proxies are ready and {known} of {} workers known",
            workers.len()
        );
    }
    say(
        ledger,
        "every proxy is ready, every worker known; requests begin",
    );
    sleep(Duration::from_millis(300)).await;

    let begin = Instant::now();
    let until = begin + Duration::from_secs_f64(options.seconds);
    let events = events(options, fleet, ledger, &operator, &clients, &workers);
    let rolled = options.roll.then(|| {
        let (fleet, ledger) = (fleet.clone(), ledger.clone());
        spawn_local(roll(fleet, ledger, operator.clone(), clients.clone()))
    });
    let under_way = || rolled.as_ref().is_some_and(|it| !it.is_finished());
    let over = || Instant::now() >= until && !under_way();
    clients.clone().go(options.rate, over).await;
    let seconds = begin.elapsed().as_secs_f64();
    say(ledger, "requests are over");
    for event in events {
        timeout(Duration::from_secs(20), event)
            .await
            .context("an event takes too long")??;
    }
    if clients.held_back.get() > 0 {
        let held_back = clients.held_back.get();
        say(
            ledger,
            &format!("{held_back} requests not sent: too many under way"),
        );
    }

    let mut report = judge::count(ledger);
    report.checks = judge::judge(ledger, &report, seconds);
    report
        .checks
        .push(read_back(&operator, ledger, &control_nodes).await);
    if let Some(rolled) = rolled {
        report.checks.push(rolled.await?);
    }
    if options.bad_configuration {
        report.checks.push(bad_refused(ledger));
    }
    if !options.lose_control_node && !options.lose_proxy {
        let share = 100.0 * report.success();
        let few = (report.success() < CALM).then(|| format!("only {share:.2} %"));
        let rule = "95 % of the requests succeed";
        report
            .checks
            .push(Check::new(rule, few.as_slice(), format!("{share:.2} %")));
    }
    Ok(report)
}

async fn workers(fleet: &Fleet, ledger: &Rc<Ledger>) -> anyhow::Result<Vec<Rc<Worker>>> {
    let mut all = Vec::new();
    let every = Duration::from_secs_f64(bounds::BEAT_S);
    for service in [READ_SERVICE, WRITE_SERVICE, ADDED_SERVICE] {
        for n in 0..WORKERS {
            let zone = ZONES[usize::from(n) % ZONES.len()];
            let work_ms = 4.0 + 12.0 * fastrand::f64();
            let kept = Kept {
                service,
                zone,
                slots: 4,
                work_ms,
                tells_load: service != WRITE_SERVICE,
                answers_long: false,
            };
            let at = SocketAddrV4::new(fleet.worker(all.len() as u8), 0);
            all.push(Worker::start(at, kept, every, &fleet.controls(), ledger).await?);
        }
    }
    Ok(all)
}

/// What happens while requests go on, each at its own time.
fn events(
    options: &Options,
    fleet: &Rc<Fleet>,
    ledger: &Rc<Ledger>,
    operator: &Rc<Operator>,
    clients: &Rc<Clients>,
    workers: &[Rc<Worker>],
) -> Vec<JoinHandle<()>> {
    let after = |part: f64| sleep(Duration::from_secs_f64(part * options.seconds));
    let mut events = Vec::new();
    let leaving = workers
        .iter()
        .filter(|worker| worker.service() == WRITE_SERVICE);
    for worker in leaving.take(options.drain_worker.into()).cloned() {
        let (ledger, wait) = (ledger.clone(), after(0.15));
        events.push(spawn_local(async move {
            wait.await;
            say(
                &ledger,
                &format!("{} of {} drains", worker.id, worker.service()),
            );
            let heard = worker
                .retire(Duration::from_secs_f64(bounds::DRAIN_S))
                .await;
            let heard = heard.map_or("never acknowledged".to_owned(), |at| {
                format!("acknowledged at {at:.2} s")
            });
            say(
                &ledger,
                &format!("{} has left; its drain was {heard}", worker.id),
            );
        }));
    }
    let (of, by, wait, bad) = (
        ledger.clone(),
        operator.clone(),
        after(0.25),
        options.bad_configuration,
    );
    let again = Duration::from_secs_f64(0.1 * options.seconds);
    events.push(spawn_local(async move {
        wait.await;
        if bad {
            send(&of, &by, BAD).await;
        }
        send(&of, &by, CHANGE).await;
        sleep(again).await;
        send(&of, &by, FIRST).await;
    }));
    let away = Duration::from_secs_f64((0.1 * options.seconds).max(0.8));
    let lost = [
        (options.lose_control_node, Role::ControlNode),
        (options.lose_proxy, Role::Proxy),
    ];
    for (_, role) in lost.into_iter().filter(|(lose, _)| *lose) {
        let all: Vec<usize> = fleet.of(role).map(|(at, _)| at).collect();
        let nth = fastrand::usize(..all.len());
        let (fleet, clients, ledger) = (fleet.clone(), clients.clone(), ledger.clone());
        let (at, wait) = (all[nth], after(0.45));
        events.push(spawn_local(async move {
            wait.await;
            let name = fleet.machines[at].name.clone();
            fleet.lose(at).await;
            say(&ledger, &format!("{name} was killed"));
            if role == Role::Proxy {
                let life = &clients.fronts[nth].life;
                life.set(life.get() + 1);
            }
            sleep(away).await;
            match fleet.start(at) {
                Ok(()) => say(&ledger, &format!("{name} was started again")),
                Err(error) => say(
                    &ledger,
                    &format!("{name} can't be started again: {error:#}"),
                ),
            }
        }));
    }
    events
}

/// Every process is told to end and started again: a control node and a proxy at a time, the next of the
/// role only once the last takes its part again.
async fn roll(
    fleet: Rc<Fleet>,
    ledger: Rc<Ledger>,
    operator: Rc<Operator>,
    clients: Rc<Clients>,
) -> Check {
    let in_turn = async |role: Role| -> anyhow::Result<()> {
        for (nth, (at, machine)) in fleet.of(role).enumerate() {
            let told = ledger.now();
            fleet.end(at).await;
            let ended = ledger.now();
            if role == Role::Proxy {
                let life = &clients.fronts[nth].life;
                life.set(life.get() + 1);
            }
            fleet.start(at)?;
            let within = Duration::from_secs_f64(BACK_S);
            match role {
                Role::ControlNode => {
                    operator.read(fleet.controls()[nth], within).await?;
                }
                Role::Proxy => {
                    let ready = async {
                        while !clients.fronts[nth].ask().await {
                            sleep(Duration::from_millis(50)).await;
                        }
                    };
                    let ready = timeout(within, ready).await;
                    ready.with_context(|| format!("{} is not ready", machine.name))?;
                }
            }
            let (took, away) = (ended - told, ledger.now() - ended);
            let name = &machine.name;
            let text = format!("{name} ended in {took:.2} s and was back {away:.2} s later");
            say(&ledger, &text);
        }
        Ok(())
    };
    let (control_nodes, proxies) = tokio::join!(in_turn(Role::ControlNode), in_turn(Role::Proxy));
    let broken = [control_nodes, proxies].into_iter().filter_map(Result::err);
    let broken: Vec<String> = broken.map(|error| format!("{error:#}")).collect();
    let rule = "every process told to end came back";
    Check::new(rule, &broken, format!("{} did", fleet.machines.len()))
}

async fn send(ledger: &Ledger, operator: &Operator, version: u64) {
    let begun = ledger.now();
    let body = Bytes::from(operator::text(version).to_string());
    let within = Duration::from_secs_f64(bounds::ACKNOWLEDGE_S + 2.0);
    let answer = operator
        .replace((version, version != BAD), body, within)
        .await;
    let took = 1000.0 * (ledger.now() - begun);
    match answer {
        Ok(status) => say(
            ledger,
            &format!("r{version} sent: {status} after {took:.0} ms"),
        ),
        Err(error) => say(ledger, &format!("{error:#}")),
    }
}

/// Every control node has to tell the newest version acknowledged, or a newer one without a clear answer.
async fn read_back(operator: &Operator, ledger: &Ledger, control_nodes: &[SocketAddrV4]) -> Check {
    let sent = ledger.sent.borrow().clone();
    let valid = || sent.iter().filter(|it| it.valid);
    let newest = valid()
        .filter(|it| it.acknowledged.is_some())
        .map(|it| it.version)
        .max();
    let mut may: Vec<Value> = valid()
        .filter(|it| Some(it.version) >= newest)
        .map(|it| operator::text(it.version))
        .collect();
    may.sort_by_key(|text| text["version-number"].to_string());
    let (mut broken, mut told) = (Vec::new(), Vec::new());
    for node in control_nodes {
        let within = Duration::from_secs_f64(BACK_S);
        match operator.read(*node, within).await {
            Ok(text) if may.contains(&text) => told.push(text["version-number"].to_string()),
            Ok(text) => broken.push(format!(
                "{node} tells {} or differs",
                text["version-number"]
            )),
            Err(error) => broken.push(format!("{error:#}")),
        }
    }
    if !sent
        .iter()
        .any(|it| it.version == CHANGE && it.acknowledged.is_some())
    {
        broken.push(format!("r{CHANGE} was never acknowledged"));
    }
    let rule = "the configuration read back is the newest acknowledged";
    Check::new(
        rule,
        &broken,
        format!("the control nodes tell {}", told.join(", ")),
    )
}

fn bad_refused(ledger: &Ledger) -> Check {
    let sent = ledger.sent.borrow();
    let taken = sent
        .iter()
        .any(|it| it.version == BAD && it.acknowledged.is_some());
    let broken = taken.then(|| format!("r{BAD} was acknowledged"));
    Check::new(
        "the invalid configuration is refused",
        broken.as_slice(),
        "it was".to_owned(),
    )
}

fn say(ledger: &Ledger, what: &str) {
    println!("{:7.2} s  {what}", ledger.now());
}

/// The last lines of a process's log.
fn tell_log(path: &Path) {
    let Ok(text) = std::fs::read_to_string(path) else {
        return;
    };
    let lines: Vec<&str> = text.lines().collect();
    println!(
        "{}, last lines of {}:",
        path.file_name().unwrap_or_default().display(),
        lines.len()
    );
    for line in &lines[lines.len().saturating_sub(8)..] {
        println!("    {line}");
    }
}
