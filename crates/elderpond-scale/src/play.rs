//! One scale run: the phases, and what is measured in each.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::{Context, bail, ensure};
use argh::FromArgs;
use bytes::Bytes;
use elderpond_rehearsal::fleet::{Fleet, Role, ZONES};
use elderpond_rehearsal::{Answer, call};
use hyper::Method;
use serde_json::Value;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};

use crate::fit::{Row, Size};
use crate::foragers::{self, Foragers};
use crate::seen::{KINDS, Seen};
use crate::workers::{self, Workers};
use crate::{configuration, requests, usage};

/// Hollow foragers at most, and workers.
const FORAGERS: usize = 5_000;
const WORKERS: usize = 40_000;
/// Real processes of a role at most: far below 300 in all.
const REAL: u8 = 15;
/// Of the machine's memory, what this process and those that it started may hold.
const MEMORY: f64 = 0.45;
/// A run takes no longer.
const WHOLE: Duration = Duration::from_secs(600);
/// Something that has to come about does so within this, or the run fails.
const SOON: Duration = Duration::from_secs(60);
/// Clock ticks a second.
const TICKS: f64 = 100.0;

/// run real hives beside hollow foragers and workers, and print what each role takes, as rows of a table
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Options {
    /// the gateway's program
    #[argh(option)]
    pub program: PathBuf,
    /// the name of the sweep that the rows belong to
    #[argh(option, default = "\"one\".to_owned()")]
    pub sweep: String,
    /// hives, from 1 to 15; 3 if not given
    #[argh(option, default = "3")]
    pub hives: u8,
    /// hollow foragers, at most 5000
    #[argh(option, default = "30")]
    pub foragers: usize,
    /// real foragers, at most 15
    #[argh(option, default = "2")]
    pub real: u8,
    /// hollow workers, at most 40000
    #[argh(option, default = "300")]
    pub workers: usize,
    /// services; a 29th of the workers if not given
    #[argh(option)]
    pub services: Option<usize>,
    /// routes; 64 for each 110 workers if not given
    #[argh(option)]
    pub routes: Option<usize>,
    /// workers that a hollow forager tells of in its report of a second; 20 if not given
    #[argh(option, default = "20")]
    pub lines: usize,
    /// seconds between two beats of a worker; 1.5 if not given
    #[argh(option, default = "1.5")]
    pub beat: f64,
    /// seconds of calm that are measured; 8 if not given
    #[argh(option, default = "8.0")]
    pub calm: f64,
    /// configurations sent one after the other; 8 if not given
    #[argh(option, default = "8")]
    pub changes: u64,
    /// seconds from one of them to the next; 0.5 if not given
    #[argh(option, default = "0.5")]
    pub pause: f64,
    /// seconds over which foragers start anew, workers are replaced and requests are sent; 4 if not given
    #[argh(option, default = "4.0")]
    pub span: f64,
    /// hollow foragers that start anew, one after the other; 100 if not given
    #[argh(option, default = "100")]
    pub joins: usize,
    /// workers that are replaced, one after the other; 40 if not given
    #[argh(option, default = "40")]
    pub replaces: usize,
    /// times that a hive is killed and started again; 1 if not given
    #[argh(option, default = "1")]
    pub kills: usize,
    /// requests a second through the real foragers; none if not given
    #[argh(option, default = "0.0")]
    pub requests: f64,
    /// each beat on a connection of its own
    #[argh(switch)]
    pub apart: bool,
    /// file that the rows are added to
    #[argh(option)]
    pub table: Option<PathBuf>,
}

/// What was measured.
pub type Rows = Vec<Row>;

/// Plays a run, and prints what happens to standard error.
///
/// # Errors
///
/// An option is out of bounds, the fleet does not come about, or a bound of time or memory is reached. What
/// was started is ended in any case.
pub fn run(options: &Options) -> anyhow::Result<Rows> {
    let bound = |name: &str, value: f64, least: f64, most: f64| {
        let ok = (least..=most).contains(&value);
        ensure!(ok, "--{name} {value}: has to be from {least} to {most}");
        Ok(())
    };
    bound("hives", options.hives.into(), 1.0, REAL.into())?;
    bound("real", options.real.into(), 0.0, REAL.into())?;
    bound("foragers", options.foragers as f64, 1.0, FORAGERS as f64)?;
    bound("workers", options.workers as f64, 8.0, WORKERS as f64)?;
    bound("routes", options.routes() as f64, 1.0, 100_000.0)?;
    bound("services", options.services() as f64, 1.0, 9_999.0)?;
    bound("lines", options.lines as f64, 0.0, 1_000.0)?;
    bound("beat", options.beat, 0.2, 60.0)?;
    bound("calm", options.calm, 1.0, 120.0)?;
    bound("span", options.span, 0.5, 60.0)?;
    bound("pause", options.pause, 0.05, 10.0)?;
    bound("requests", options.requests, 0.0, 5_000.0)?;
    let folder = tempfile::Builder::new()
        .prefix("elderpond-scale-")
        .tempdir()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, watched(options, folder.path()))
}

impl Options {
    fn services(&self) -> usize {
        self.services.unwrap_or(self.workers.div_ceil(29))
    }

    fn routes(&self) -> usize {
        self.routes.unwrap_or((self.workers * 64).div_ceil(110))
    }
}

async fn watched(options: &Options, folder: &Path) -> anyhow::Result<Rows> {
    let program = options.program.clone();
    let mut fleet = Fleet::new(program, folder, options.hives, options.real)?;
    fleet.beat_s = options.beat;
    fleet.losses = (options.hives - 1) / 2;
    let fleet = Rc::new(fleet);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let done = tokio::select! {
        done = timeout(WHOLE, play(options, fleet.clone())) => {
            done.context("the run takes too long").flatten()
        }
        _ = terminate.recv() => Err(anyhow::anyhow!("stopped by SIGTERM")),
        _ = interrupt.recv() => Err(anyhow::anyhow!("stopped by SIGINT")),
    };
    let ends = fleet.own_ends();
    let wrong = fleet.stop().await;
    for end in ends.iter().chain(&wrong) {
        eprintln!("a process ended by itself, or not in order: {end}");
    }
    let rows = done?;
    ensure!(ends.is_empty(), "processes ended by themselves");
    Ok(rows)
}

// ---- What is looked at ----

/// One look at all that grows.
struct Look {
    at: Instant,
    /// Clock ticks of each process, in the order of the machines.
    ticks: Vec<u64>,
    kinds: [(u64, u64); KINDS.len()],
    beats: (u64, u64),
    replaced: u64,
    /// Bytes that each hive had from the others.
    links: Vec<u64>,
}

struct Run {
    options: Options,
    fleet: Rc<Fleet>,
    seen: Arc<Seen>,
    size: Size,
    rows: Rows,
    version: u64,
    /// Processor time that the hives take in calm, in ticks a second, all together.
    calm: f64,
}

impl Run {
    fn row(&mut self, measure: &str, value: f64) {
        let row = Row {
            sweep: self.options.sweep.clone(),
            size: self.size,
            measure: measure.to_owned(),
            value,
        };
        eprintln!("{measure}: {}", crate::fit::short(value));
        self.rows.push(row);
    }

    fn hives(&self) -> usize {
        usize::from(self.options.hives)
    }

    fn look(&self) -> anyhow::Result<Look> {
        let mut held = memory(std::process::id())?.1;
        let mut ticks = Vec::new();
        for at in 0..self.fleet.machines.len() {
            let pid = self.fleet.pid(at).context("a process is gone")?;
            let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
            ticks.push(usage::ticks(&stat).context("/proc/PID/stat")?);
            held += memory(pid)?.1;
        }
        let whole = std::fs::read_to_string("/proc/meminfo")?;
        let whole = whole
            .split_whitespace()
            .nth(1)
            .and_then(|it| it.parse().ok());
        let most = MEMORY * whole.unwrap_or(0.0);
        ensure!(
            (held as f64) < most,
            "{held} kB are held; {most} are the bound"
        );
        let get = |it: &std::sync::atomic::AtomicU64| it.load(Ordering::Relaxed);
        Ok(Look {
            at: Instant::now(),
            ticks,
            kinds: std::array::from_fn(|kind| self.seen.kinds[kind].get()),
            beats: self.seen.beats.get(),
            replaced: get(&self.seen.replaced),
            links: self.links(),
        })
    }

    /// By `ss`, where there is one: what came on connections on which nothing goes back, as between hives.
    fn links(&self) -> Vec<u64> {
        let mut ss = std::process::Command::new("ss");
        let text = ss.args(["-tinH", "src", "127.0.0.0/8"]).output();
        let text = text.map(|it| String::from_utf8_lossy(&it.stdout).into_owned());
        let all = usage::connections(&text.unwrap_or_default());
        let inners = self.fleet.inners();
        let to = |hive| {
            let its = all.iter().filter(move |(ends, _)| ends.here == hive);
            let its = its.filter(|(_, carried)| carried.sent == 0);
            its.map(|(_, carried)| carried.received).sum()
        };
        inners.into_iter().map(to).collect()
    }

    fn hive_ticks(&self, look: &Look) -> f64 {
        look.ticks[..self.hives()].iter().sum::<u64>() as f64
    }

    /// Processor time of all hives between two looks beyond what calm takes, in ms.
    fn beyond_calm(&self, from: &Look, to: &Look) -> f64 {
        let ticks = self.hive_ticks(to) - self.hive_ticks(from);
        let calm = self.calm * (to.at - from.at).as_secs_f64();
        (ticks - calm) / TICKS * 1000.0
    }

    async fn status(&self, hive: usize) -> anyhow::Result<Value> {
        let to = self.fleet.controls()[hive];
        let get = call(
            to.into(),
            Method::GET,
            "/hive/status",
            Bytes::new(),
            SOON / 30,
        );
        Ok(serde_json::from_slice(&get.await?.body)?)
    }

    /// Waits until a hive says so.
    async fn until(
        &self,
        hive: usize,
        what: &str,
        is: impl Fn(&Value) -> bool,
    ) -> anyhow::Result<()> {
        let by = Instant::now() + SOON;
        let mut last = None;
        while Instant::now() < by {
            last = Some(self.status(hive).await);
            if matches!(&last, Some(Ok(status)) if is(status)) {
                return Ok(());
            }
            sleep(Duration::from_millis(10)).await;
        }
        bail!("hive {hive} is not {what}: {last:?}")
    }

    /// Sends the next version to a hive until it is acknowledged; when, and how long the last try took.
    async fn order(&mut self, hive: usize) -> anyhow::Result<(Instant, f64)> {
        self.version += 1;
        let (routes, services) = (self.options.routes(), self.options.services());
        let body = Bytes::from(configuration(self.version, routes, services));
        let to: SocketAddr = self.fleet.controls()[hive % self.hives()].into();
        let path = "/configuration/replace";
        let mut last = None;
        for _ in 0..20 {
            let begun = Instant::now();
            let answer = call(to, Method::POST, path, body.clone(), SOON / 6).await;
            if answer.as_ref().is_ok_and(Answer::good) {
                let now = Instant::now();
                return Ok((now, (now - begun).as_secs_f64() * 1000.0));
            }
            last = Some(answer);
            sleep(Duration::from_millis(250)).await;
        }
        bail!("no acknowledgement of {} bytes: {last:?}", body.len())
    }

    /// Waits until all hollow foragers have the version; milliseconds from `acknowledged` on.
    async fn in_force(&self, acknowledged: Instant) -> anyhow::Result<f64> {
        let by = Instant::now() + SOON;
        while Instant::now() < by {
            match self.seen.reached(self.version) {
                Some(reached) if reached.foragers >= self.options.foragers => {
                    let last = Instant::from_std(reached.last);
                    return Ok(last.saturating_duration_since(acknowledged).as_secs_f64() * 1000.0);
                }
                _ => sleep(Duration::from_millis(5)).await,
            }
        }
        let reached = self.seen.reached(self.version).map_or(0, |it| it.foragers);
        bail!("r{} is with {reached} foragers only", self.version)
    }

    async fn linked(&self) -> anyhow::Result<()> {
        let by = Instant::now() + SOON;
        while self.seen.linked.load(Ordering::Relaxed) < self.options.foragers as u64 {
            let linked = self.seen.linked.load(Ordering::Relaxed);
            ensure!(Instant::now() < by, "{linked} foragers are linked only");
            sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }
}

/// Memory of a process in kB: the most so far, and now.
fn memory(pid: u32) -> anyhow::Result<(u64, u64)> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    usage::memory(&status).context("/proc/PID/status")
}

fn largest(values: impl IntoIterator<Item = f64>) -> f64 {
    values.into_iter().fold(0.0, f64::max)
}

fn middle(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

// ---- The phases ----

async fn play(options: &Options, fleet: Rc<Fleet>) -> anyhow::Result<Rows> {
    let seen = Arc::new(Seen::default());
    let size = Size {
        hives: options.hives.into(),
        foragers: options.foragers as u32 + u32::from(options.real),
        workers: options.workers as u32,
        services: options.services() as u32,
        routes: options.routes() as u32,
        lines: options.lines as u32,
    };
    let mut run = Run {
        options: options.clone(),
        fleet: fleet.clone(),
        seen: seen.clone(),
        size,
        rows: Vec::new(),
        version: 0,
        calm: 0.0,
    };
    for at in 0..fleet.machines.len() {
        fleet.start(at)?;
    }
    for hive in 0..run.hives() {
        let ready = |status: &Value| status["votes"] == true && status["majority"] == true;
        run.until(hive, "a voter", ready).await?;
    }
    let zones: Vec<String> = fleet
        .of(Role::ControlNode)
        .map(|(_, it)| it.zone.to_owned())
        .collect();
    let workers = Workers::start(
        workers::Plan {
            count: options.workers,
            live: 4,
            services: options.services(),
            hives: fleet.controls(),
            zones,
            net: fleet.net().wrapping_add(1).max(2),
            every: Duration::from_secs_f64(options.beat),
            apart: options.apart,
        },
        seen.clone(),
    )?;
    let (_, first) = run.order(0).await?;
    run.row("first acknowledgement, ms", first);
    let net = if fleet.net() == 99 { 98 } else { 99 };
    let foragers = Foragers::start(
        foragers::Plan {
            count: options.foragers,
            hives: fleet.inners(),
            from: Ipv4Addr::new(127, net, 0, 1),
            zones: ZONES.map(str::to_owned).to_vec(),
            lines: options.lines,
            workers: workers::numbers(options.workers),
            pace: 400,
        },
        seen.clone(),
    )?;
    run.linked().await?;
    // two rounds of beats, so that every hive has heard of every worker that it will hear of
    sleep(Duration::from_secs_f64(2.2 * options.beat)).await;
    for hive in 0..run.hives() {
        run.until(hive, "settled", |status| status["settled"] == true)
            .await?;
    }
    calm(&mut run).await?;
    changes(&mut run).await?;
    joins(&mut run, &foragers).await?;
    replaces(&mut run, &workers).await?;
    if options.requests > 0.0 {
        through(&mut run, &workers).await?;
    }
    for kill in 0..options.kills {
        kills(&mut run, kill % usize::from(options.hives)).await?;
    }
    let peaks: Vec<f64> = (0..fleet.machines.len())
        .filter_map(|at| memory(fleet.pid(at)?).ok())
        .map(|(most, _)| most as f64 / 1024.0)
        .collect();
    run.row(
        "a hive's memory at its peak, MB",
        largest(peaks[..run.hives()].iter().copied()),
    );
    if options.real > 0 {
        let most = largest(peaks[run.hives()..].iter().copied());
        run.row("a forager's memory at its peak, MB", most);
    }
    run.row(
        "this process's memory at its peak, MB",
        memory(std::process::id())?.0 as f64 / 1024.0,
    );
    Ok(run.rows)
}

async fn calm(run: &mut Run) -> anyhow::Result<()> {
    let hives = run.hives();
    let from = run.look()?;
    sleep(Duration::from_secs_f64(run.options.calm)).await;
    let to = run.look()?;
    let span = (to.at - from.at).as_secs_f64();
    run.calm = (run.hive_ticks(&to) - run.hive_ticks(&from)) / span;
    let share = |at: usize| (to.ticks[at] - from.ticks[at]) as f64 / TICKS / span * 100.0;
    run.row(
        "calm: the busiest hive, % of a core",
        largest((0..hives).map(share)),
    );
    run.row("calm: a hive, % of a core", run.calm / hives as f64);
    let real = usize::from(run.options.real);
    if real > 0 {
        let sum: f64 = (hives..hives + real).map(share).sum();
        run.row("calm: a real forager, % of a core", sum / real as f64);
    }
    let rate = |now: u64, then: u64| (now - then) as f64 / span;
    run.row("calm: beats a second, all", rate(to.beats.0, from.beats.0));
    let failed = run.seen.failed.load(Ordering::Relaxed) as f64;
    run.row("calls of workers that failed until then", failed);
    let foragers = run.options.foragers as f64;
    for (at, kind) in KINDS.into_iter().enumerate() {
        let bytes = rate(to.kinds[at].1, from.kinds[at].1) / foragers;
        run.row(&format!("calm: a forager's {kind}s, B/s"), bytes);
    }
    if to.links.iter().any(|bytes| *bytes > 0) {
        let links = to.links.iter().zip(&from.links);
        let most = links.map(|(now, then)| rate(now.saturating_sub(*then), 0));
        run.row("calm: from other hives to one, B/s", largest(most));
    }
    let status = run.status(0).await?;
    let listed = status["workers-ready"].as_f64().unwrap_or(0.0);
    run.row("workers that a hive lists", listed);
    let (lines, bytes) = run.seen.longest();
    run.row("lines of a whole table", lines as f64);
    run.row("bytes of a whole table as sent", bytes as f64);
    let held: Vec<f64> = (0..run.fleet.machines.len())
        .filter_map(|at| memory(run.fleet.pid(at)?).ok())
        .map(|(_, now)| now as f64 / 1024.0)
        .collect();
    run.row(
        "calm: a hive's memory, MB",
        largest(held[..hives].iter().copied()),
    );
    if real > 0 {
        run.row(
            "calm: a real forager's memory, MB",
            largest(held[hives..].iter().copied()),
        );
    }
    Ok(())
}

async fn changes(run: &mut Run) -> anyhow::Result<()> {
    let (mut acknowledged, mut all) = (Vec::new(), Vec::new());
    let from = run.look()?;
    for change in 0..run.options.changes {
        let begun = Instant::now();
        let (at, took) = run.order(change as usize).await?;
        acknowledged.push(took);
        all.push(run.in_force(at).await?);
        let pause = Duration::from_secs_f64(run.options.pause);
        tokio::time::sleep_until(begun + pause).await;
    }
    let to = run.look()?;
    let count = run.options.changes.max(1) as f64;
    let bytes = (to.kinds[0].1 - from.kinds[0].1) as f64;
    let body = configuration(run.version, run.options.routes(), run.options.services());
    run.row("a change: bytes of the configuration", body.len() as f64);
    run.row(
        "a change: acknowledged, ms, largest",
        largest(acknowledged.iter().copied()),
    );
    run.row(
        "a change: acknowledged, ms, middle",
        middle(&mut acknowledged),
    );
    run.row(
        "a change: then with all foragers, ms, largest",
        largest(all.iter().copied()),
    );
    run.row(
        "a change: then with all foragers, ms, middle",
        middle(&mut all),
    );
    run.row(
        "a change: bytes to a forager",
        bytes / count / run.options.foragers as f64,
    );
    run.row(
        "a change: processor time of all hives, ms",
        run.beyond_calm(&from, &to) / count,
    );
    let real = usize::from(run.options.real);
    if real > 0 {
        let of = |look: &Look| look.ticks[run.hives()..].iter().sum::<u64>() as f64;
        let each = (of(&to) - of(&from)) / TICKS * 1000.0 / count / real as f64;
        run.row("a change: processor time of a real forager, ms", each);
    }
    Ok(())
}

async fn joins(run: &mut Run, foragers: &Foragers) -> anyhow::Result<()> {
    let from = run.look()?;
    let (count, over) = (run.options.joins, Duration::from_secs_f64(run.options.span));
    if count == 0 {
        return Ok(());
    }
    foragers.ask(foragers::Ask::Restart(count, over)).await?;
    sleep(over + Duration::from_millis(500)).await;
    run.linked().await?;
    let to = run.look()?;
    let joined = (to.kinds[4].0 - from.kinds[4].0).max(1) as f64;
    let bytes = (to.kinds[0].1 + to.kinds[1].1 - from.kinds[0].1 - from.kinds[1].1) as f64;
    run.row("a forager starts: bytes to it", bytes / joined);
    let each = run.beyond_calm(&from, &to) / joined;
    run.row("a forager starts: processor time of the hives, ms", each);
    Ok(())
}

async fn replaces(run: &mut Run, workers: &Workers) -> anyhow::Result<()> {
    let from = run.look()?;
    let (count, over) = (
        run.options.replaces,
        Duration::from_secs_f64(run.options.span),
    );
    if count == 0 {
        return Ok(());
    }
    workers.ask(workers::Ask::Replace(count, over)).await?;
    sleep(over + Duration::from_millis(500)).await;
    let to = run.look()?;
    let done = to.replaced - from.replaced;
    run.row(
        "workers replaced, of those asked for, %",
        done as f64 / count as f64 * 100.0,
    );
    let (done, foragers) = (done.max(1) as f64, run.options.foragers as f64);
    let bytes = (to.kinds[2].1 - from.kinds[2].1) as f64;
    run.row(
        "a worker replaced: bytes to a forager",
        bytes / foragers / done,
    );
    let each = run.beyond_calm(&from, &to) / done;
    run.row("a worker replaced: processor time of all hives, ms", each);
    Ok(())
}

async fn through(run: &mut Run, workers: &Workers) -> anyhow::Result<()> {
    let (rate, span) = (
        run.options.requests,
        Duration::from_secs_f64(run.options.span),
    );
    let straight: Vec<SocketAddr> = workers.live.iter().map(|it| (*it).into()).collect();
    let mut fronts = Vec::new();
    for (_, forager) in run.fleet.of(Role::Proxy) {
        let (front, readiness) = run.fleet.fronts(forager);
        let by = Instant::now() + SOON;
        loop {
            let ready = call(
                readiness.into(),
                Method::GET,
                "/readiness",
                Bytes::new(),
                SOON / 60,
            );
            if ready.await.is_ok_and(|answer| answer.good()) {
                break;
            }
            ensure!(Instant::now() < by, "{front} is not ready");
            sleep(Duration::from_millis(50)).await;
        }
        fronts.push(SocketAddr::from(front));
    }
    requests::send(&fronts, rate, Duration::from_secs(1)).await?; // connections come up
    let from = run.look()?;
    let way = requests::send(&fronts, rate, span).await?;
    let to = run.look()?;
    let none = requests::send(&straight, rate, span).await?;
    let of = |look: &Look| look.ticks[run.hives()..].iter().sum::<u64>() as f64;
    let sent = (way.good.len() + way.failed).max(1) as f64;
    let each = (of(&to) - of(&from)) / TICKS * 1e6 / sent;
    run.row("requests a second through real foragers", rate);
    run.row(
        "requests without a good answer, %",
        way.failed as f64 / sent * 100.0,
    );
    run.row("a request: processor time of a real forager, us", each);
    // the same once more while versions come
    let pause = Duration::from_secs_f64(run.options.pause);
    let sent = requests::send(&fronts, rate, span);
    let (beside, ordered) = tokio::join!(sent, orders(run, pause, span));
    let (beside, ordered) = (beside?, ordered?);
    run.row("versions beside requests", ordered as f64);
    for (part, name) in [(0.5, "p50"), (0.99, "p99"), (0.999, "p999")] {
        let all = [
            ("straight", &none),
            ("through a forager", &way),
            ("through a forager beside versions", &beside),
        ];
        for (how, times) in all {
            run.row(&format!("a request: {how}, {name}, ms"), times.part(part));
        }
    }
    Ok(())
}

/// Sends versions one after the other, for so long; how many.
async fn orders(run: &mut Run, pause: Duration, span: Duration) -> anyhow::Result<u64> {
    let (begun, first) = (Instant::now(), run.version);
    while begun.elapsed() + pause < span {
        let at = Instant::now();
        run.order(0).await?;
        tokio::time::sleep_until(at + pause).await;
    }
    Ok(run.version - first)
}

/// A hive is killed, and an order goes to another at once; then it starts again.
async fn kills(run: &mut Run, hive: usize) -> anyhow::Result<()> {
    let before = run.status(hive).await?;
    let killed = Instant::now();
    run.fleet.lose(hive).await;
    if run.hives() > 2 {
        let (at, _) = run.order(hive + 1).await?;
        run.row(
            "a hive killed: the next acknowledgement, ms",
            (at - killed).as_secs_f64() * 1000.0,
        );
        run.linked().await?;
        let took = killed.elapsed().as_secs_f64() * 1000.0;
        run.row("a hive killed: all foragers have another, ms", took);
        let all = run.in_force(at).await?;
        run.row("a hive killed: that version with all, ms", all);
    }
    sleep(Duration::from_secs(2)).await;
    let begun = Instant::now();
    run.fleet.start(hive)?;
    let count = before["workers-ready"].as_u64().unwrap_or(0);
    let settled = |status: &Value| {
        let (ready, current) = (
            status["workers-ready"].as_u64(),
            status["in-force"].as_u64(),
        );
        status["settled"] == true
            && status["votes"] == true
            && current > Some(0)
            && ready >= Some(count)
    };
    run.until(hive, "settled again", settled).await?;
    let took = begun.elapsed().as_secs_f64() * 1000.0;
    run.row("a hive starts again: settled, a voter, knows all, ms", took);
    let most = run.fleet.pid(hive).map(memory).transpose()?;
    run.row(
        "a hive starts again: memory at its peak, MB",
        most.map_or(0.0, |it| it.0 as f64 / 1024.0),
    );
    Ok(())
}
