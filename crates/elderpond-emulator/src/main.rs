//! The emulator's command line.

use std::cell::Cell;
use std::fs::File;
use std::io::{BufReader, BufWriter, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Instant;

use argh::FromArgs;
use elderpond::Manager;
use elderpond_emulator::listing;
use elderpond_emulator::policy::{Decider, Kind};
use elderpond_emulator::scenarios::{self, ScenarioError};
use elderpond_emulator::trace::{self, TraceError};
use elderpond_emulator::{sockets, virtually};
use elderpond_model::{Report, Scenario, World};
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;

/// Rehearses incidents: plays a scenario against elderpond and says what came of it.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(Run),
    Compare(Compare),
    Sources(Sources),
    Check(Check),
    List(List),
    Explain(Explain),
}

/// Plays a scenario once.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// the scenario: a name of `list`, or a file
    #[argh(positional)]
    scenario: String,
    /// for random numbers (1)
    #[argh(option, default = "1")]
    seed: u64,
    /// what decides: elderpond, listed, uniform, least-reported or oracle (elderpond)
    #[argh(option, default = "Kind::Elderpond", from_str_fn(policy))]
    policy: Kind,
    /// virtual, in simulated time, or sockets, against the built manager in real time (virtual)
    #[argh(option, default = "Drive::Virtual", from_str_fn(drive))]
    drive: Drive,
    /// the built manager, for sockets (elderpond-manager beside this program)
    #[argh(option)]
    manager: Option<PathBuf>,
    /// with sockets: keeps configurations and logs of the managers in this folder
    #[argh(option)]
    keep: Option<PathBuf>,
    /// how many times as fast as real time; sockets are honest at 1 only
    #[argh(option)]
    speed: Option<f64>,
    /// so many times the workers, proxies and requests (1)
    #[argh(option, default = "1.0")]
    grow: f64,
    /// where the report goes, as JSON; `-` for standard output
    #[argh(option)]
    json: Option<PathBuf>,
    /// where a trace goes, for `explain`
    #[argh(option)]
    trace: Option<PathBuf>,
    /// leaves out of the JSON what differs from machine to machine: the wall time
    #[argh(switch)]
    reproducible: bool,
}

/// Plays a scenario with every policy over several seeds.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
struct Compare {
    /// the scenario: a name of `list`, or a file
    #[argh(positional)]
    scenario: String,
    /// how many seeds, from 1 on (20)
    #[argh(option, default = "20")]
    seeds: u64,
    /// runs at a time (as many as there are cores)
    #[argh(option, default = "0")]
    jobs: usize,
    /// where the table goes, as JSON; `-` for standard output
    #[argh(option)]
    json: Option<PathBuf>,
}

/// Plays a scenario with DNS beside the roster that dies, denies and lies by thirds of the run, by the
/// merge and by naive rules.
#[derive(FromArgs)]
#[argh(subcommand, name = "sources")]
struct Sources {
    /// the scenario: a name of `list`, or a file
    #[argh(positional)]
    scenario: String,
    /// how many seeds, from 1 on (10)
    #[argh(option, default = "10")]
    seeds: u64,
}

/// Reads a scenario and says what is wrong with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the scenario: a name of `list`, or a file
    #[argh(positional)]
    scenario: String,
}

/// Lists the scenarios that come with the program.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

/// Says what stood at a moment of a run.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// a trace that `run --trace` wrote
    #[argh(positional)]
    trace: PathBuf,
    /// the moment, as a span from the start: 12s, 1500ms
    #[argh(option, from_str_fn(span))]
    at: f64,
}

/// What moves time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Drive {
    Virtual,
    Sockets,
}

fn drive(name: &str) -> Result<Drive, String> {
    match name {
        "virtual" => Ok(Drive::Virtual),
        "sockets" => Ok(Drive::Sockets),
        _ => Err("must be virtual or sockets".to_owned()),
    }
}

fn policy(name: &str) -> Result<Kind, String> {
    let names = Kind::NAMES.map(|(name, _)| name).join(", ");
    Kind::parse(name).ok_or_else(|| format!("must be one of {names}"))
}

fn span(text: &str) -> Result<f64, String> {
    <elderpond_config::Span as elderpond_config::Value>::read(text).map(|span| span.0)
}

/// Why the program ends.
#[derive(Debug, thiserror::Error)]
enum Fault {
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    #[error("{path}: {cause}")]
    File {
        path: PathBuf,
        cause: std::io::Error,
    },
    #[error("{path}: {cause}")]
    Trace { path: PathBuf, cause: TraceError },
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("--grow must be above 0")]
    Grow,
    #[error(
        "--speed {0}: a manager on sockets has spans of its own that no scenario scales, so a run is \
         honest at \
         speed 1 only; simulated time is as fast as the machine"
    )]
    Speed(f64),
    #[error("sockets run the built manager: --policy {0} is for simulated time")]
    Policy(&'static str),
    #[error("the scenario has slices: --policy {0} knows none")]
    Slices(&'static str),
    #[error("the scenario has slices, which the platform's protocol on sockets does not carry")]
    SlicesOnSockets,
    #[error("{path} is not there; build it (cargo build --release) or name it with --manager")]
    Manager { path: PathBuf },
    #[error(transparent)]
    Sockets(#[from] sockets::SocketsError),
    #[error("cannot start {0}")]
    Jobs(#[from] rayon::ThreadPoolBuildError),
}

fn main() -> ExitCode {
    let outcome = match argh::from_env::<Arguments>().command {
        Command::Run(arguments) => run(arguments),
        Command::Compare(arguments) => compare(arguments),
        Command::Sources(arguments) => sources(&arguments),
        Command::Check(Check { scenario }) => check(&scenario),
        Command::List(List {}) => list(),
        Command::Explain(arguments) => explain(arguments),
    };
    match outcome {
        Ok(code) => code,
        Err(fault) => {
            eprintln!("elderpond-emulator: {fault}");
            ExitCode::from(2)
        }
    }
}

fn progress(scenario: &Scenario) -> ProgressBar {
    // Draws nothing where standard error is no terminal.
    let bar = ProgressBar::new((scenario.duration_ms / 1000.0) as u64);
    let style = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len} s simulated, {elapsed}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.set_message(scenario.title.clone());
    bar
}

/// The report, with what the run was and how long it took.
fn whole_report(report: &Report, of: (&str, &str, u64), wall_ms: Option<f64>) -> serde_json::Value {
    let (scenario, policy, seed) = of;
    let mut text = serde_json::json!(report);
    text["scenario"] = scenario.into();
    text["policy"] = policy.into();
    text["seed"] = seed.into();
    text["wall_ms"] = serde_json::json!(wall_ms);
    text
}

fn write(path: &PathBuf, text: &str) -> Result<(), Fault> {
    if path.as_os_str() == "-" {
        println!("{text}");
        return Ok(());
    }
    let written = std::fs::write(path, format!("{text}\n"));
    written.map_err(|cause| Fault::File {
        path: path.clone(),
        cause,
    })
}

fn run(arguments: Run) -> Result<ExitCode, Fault> {
    let mut scenario = scenarios::load(&arguments.scenario)?;
    if arguments.grow <= 0.0 || !arguments.grow.is_finite() {
        return Err(Fault::Grow);
    }
    if arguments.grow != 1.0 {
        scenario = scenario.grown(arguments.grow);
    }
    if scenario.slices.is_some() && arguments.policy != Kind::Elderpond {
        return Err(Fault::Slices(arguments.policy.name()));
    }
    if scenario.slices.is_some() && arguments.drive == Drive::Sockets {
        return Err(Fault::SlicesOnSockets);
    }
    let (begun, bar) = (Instant::now(), progress(&scenario));
    let mut gone = |ms: f64| bar.set_position((ms / 1000.0) as u64);
    let (report, world) = match arguments.drive {
        Drive::Virtual => virtually::play(scenario, arguments.seed, arguments.policy, &mut gone),
        Drive::Sockets => on_sockets(scenario, &arguments, &mut gone)?,
    };
    bar.finish_and_clear();
    let wall_ms = begun.elapsed().as_secs_f64() * 1000.0;
    let policy = arguments.policy.name();
    if let Some(path) = &arguments.trace {
        let fault = |cause| Fault::File {
            path: path.clone(),
            cause,
        };
        let mut file = BufWriter::new(File::create(path).map_err(fault)?);
        trace::write(&mut file, &world, arguments.seed, policy).map_err(fault)?;
        file.flush().map_err(fault)?;
    }
    let quiet = arguments
        .json
        .as_ref()
        .is_some_and(|path| path.as_os_str() == "-");
    if let Some(path) = &arguments.json {
        let shown = (!arguments.reproducible).then_some(wall_ms);
        let text = whole_report(
            &report,
            (&arguments.scenario, policy, arguments.seed),
            shown,
        );
        write(path, &serde_json::to_string_pretty(&text)?)?;
    }
    if !quiet {
        println!(
            "{} by {policy}, seed {}",
            world.scenario().title,
            arguments.seed
        );
        print!("{}", summary(&report, &world, wall_ms));
    }
    let kept = report.rules.values().all(|rule| rule.kept);
    Ok(if kept {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn on_sockets(
    scenario: Scenario,
    arguments: &Run,
    gone: &mut dyn FnMut(f64),
) -> Result<(Report, World), Fault> {
    if let Some(speed) = arguments.speed.filter(|speed| *speed != 1.0) {
        return Err(Fault::Speed(speed));
    }
    if arguments.policy != Kind::Elderpond {
        return Err(Fault::Policy(arguments.policy.name()));
    }
    let beside = std::env::current_exe()
        .ok()
        .map(|own| own.with_file_name("elderpond-manager"));
    let program = arguments.manager.clone().or(beside).unwrap_or_default();
    if !program.is_file() {
        return Err(Fault::Manager { path: program });
    }
    let own = std::env::temp_dir().join(format!("elderpond-emulator-{}", std::process::id()));
    let folder = arguments.keep.clone().unwrap_or_else(|| own.clone());
    let made = std::fs::create_dir_all(&folder);
    made.map_err(|cause| Fault::File {
        path: folder.clone(),
        cause,
    })?;
    let outcome = sockets::play(scenario, arguments.seed, (program, folder), gone);
    if arguments.keep.is_none() {
        let _ = std::fs::remove_dir_all(own);
    }
    Ok(outcome?)
}

/// What a person wants to see of a run.
fn summary(report: &Report, world: &World, wall_ms: f64) -> String {
    let (service, counts, spent) = (&report.service, &report.requests, &report.spent);
    let mut text = format!("service        {:.3}\n", service.service);
    text += &format!("whole run      {:.3}\n", service.whole);
    text += &format!(
        "worst 10 s     {:.3} from second {}\n",
        service.worst_10s, service.worst_10s_at
    );
    for (name, part) in &service.by_class {
        text += &format!("  {name:<12} {part:.3}\n");
    }
    let off = service.deductions.iter().filter(|(_, off)| **off >= 0.0005);
    let off: Vec<String> = off.map(|(name, off)| format!("{name} {off:.3}")).collect();
    text += &format!("comes off      {}\n", off.join(", "));
    text += &format!(
        "requests       {} asked: {} answered ({} in time), {} refused, {} timed out\n",
        counts.asked, counts.answered, counts.in_time, counts.refused, counts.timed_out
    );
    let took = &service.took_ms;
    text += &format!(
        "answers        {:.0} ms in the mean, {:.0} the median, {:.0} at 99 in 100\n",
        took["mean"], took["p50"], took["p99"]
    );
    text += &format!(
        "tries          {} ({} further, {} by clients again), {} repeats dropped, {} cold workers fell\n",
        spent.tries, spent.retries, spent.client_retries, spent.dropped_repeats, spent.fallen
    );
    for (rule, outcome) in &report.rules {
        let Some(first) = &outcome.first else {
            text += &format!("rule kept      {rule}\n");
            continue;
        };
        text += &format!(
            "RULE BROKEN    {rule}, {} times; first at {:.3} s: {}\n",
            outcome.breaches,
            first.at_ms / 1000.0,
            first.what
        );
        for link in &first.chain {
            text += &format!("               {link}\n");
        }
    }
    let rate = counts.asked as f64 / wall_ms * 1000.0;
    text += &format!(
        "played         {} workers, {:.0} s simulated in {:.0} ms: {rate:.0} requests a second\n",
        world.workers(),
        report.simulated_ms / 1000.0,
        wall_ms
    );
    text
}

/// Mean, least and most.
fn spread(values: &[f64]) -> (f64, f64, f64) {
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    (mean, least, values.iter().copied().fold(0.0, f64::max))
}

fn compare(arguments: Compare) -> Result<ExitCode, Fault> {
    let scenario = scenarios::load(&arguments.scenario)?;
    let seeds: Vec<u64> = (1..=arguments.seeds.max(1)).collect();
    let pool = rayon::ThreadPoolBuilder::new()
        .num_threads(arguments.jobs)
        .build()?;
    println!("{} over {} seeds", scenario.title, seeds.len());
    println!(
        "policy          service (least to most)   whole  worst 10 s  worst class  rules broken"
    );
    let mut table = Vec::new();
    // Baselines have one table and know no slices.
    let played = |kind: &Kind| scenario.slices.is_none() || *kind == Kind::Elderpond;
    for (name, kind) in Kind::NAMES.into_iter().filter(|(_, kind)| played(kind)) {
        let play = |seed: &u64| virtually::play(scenario.clone(), *seed, kind, &mut |_| {}).0;
        let reports: Vec<Report> = pool.install(|| seeds.par_iter().map(play).collect());
        let of = |part: fn(&Report) -> f64| -> Vec<f64> { reports.iter().map(part).collect() };
        let services = of(|report| report.service.service);
        let (mean, least, most) = spread(&services);
        let (whole, ..) = spread(&of(|report| report.service.whole));
        let (worst, ..) = spread(&of(|report| report.service.worst_10s));
        let (class, ..) = spread(&of(|report| report.service.worst_class));
        let broken = |report: &&Report| report.rules.values().any(|rule| !rule.kept);
        let broken = reports.iter().filter(broken).count();
        println!(
            "{name:<15} {mean:.3} ({least:.3} to {most:.3})    {whole:.3}  {worst:.3}       \
             {class:.3}        \
             {broken} of {}",
            seeds.len()
        );
        table.push(
            serde_json::json!({"policy": name, "service": mean, "least": least, "most": most,
            "whole": whole, "worst_10s": worst, "worst_class": class, "broken": broken,
            "services": services}),
        );
    }
    if let Some(path) = &arguments.json {
        let text =
            serde_json::json!({"scenario": arguments.scenario, "seeds": seeds, "policies": table});
        write(path, &serde_json::to_string_pretty(&text)?)?;
    }
    Ok(ExitCode::SUCCESS)
}

fn sources(arguments: &Sources) -> Result<ExitCode, Fault> {
    let scenario = scenarios::load(&arguments.scenario)?;
    let third = scenario.duration_ms / 3.0;
    let faults = listing::Faults {
        dead: (third * 0.2, third),
        denies: (third * 1.2, third * 2.0),
        lies: (third * 2.2, third * 3.0),
    };
    println!(
        "{} over {} seeds; DNS dead, denying, then one server in three lying",
        scenario.title, arguments.seeds
    );
    println!(
        "rule                service (least to most)   ready, not listed   out, listed ready   rules broken"
    );
    for (name, rule) in listing::Rule::NAMES {
        let (mut services, mut broken, kept) = (Vec::new(), 0, Rc::new(Cell::default()));
        for seed in 1..=arguments.seeds.max(1) {
            let mut make = |_, seed, world: &World| -> Box<dyn Decider> {
                let inner = Manager::new(seed, world.settings().clone());
                Box::new(listing::Behind::new(inner, rule, faults, kept.clone()))
            };
            let (report, _) = virtually::play_with(scenario.clone(), seed, &mut make, &mut |_| {});
            services.push(report.service.service);
            broken += u64::from(report.rules.values().any(|rule| !rule.kept));
        }
        let (mean, least, most) = spread(&services);
        let listing::Kept {
            dropped_s,
            undead_s,
        } = kept.get();
        let runs = arguments.seeds.max(1) as f64;
        println!(
            "{name:<19} {mean:.3} ({least:.3} to {most:.3})    {:>9.1} s         {:>9.1} s         \
             {broken} of {}",
            dropped_s / runs,
            undead_s / runs,
            arguments.seeds.max(1)
        );
    }
    Ok(ExitCode::SUCCESS)
}

fn check(name: &str) -> Result<ExitCode, Fault> {
    let scenario = scenarios::load(name)?;
    let (asked, there) = scenario.load();
    println!(
        "{}: {} workers in {} zones, {} proxies, {} managers, {:.0} requests a second for {:.0} s \
         at {:.0}% of \
         capacity, {} troubles",
        scenario.title,
        scenario.workers(),
        scenario.zones.len(),
        scenario.proxies.count,
        scenario.managers.count,
        scenario.clients.rate,
        scenario.duration_ms / 1000.0,
        asked / there * 100.0,
        scenario.troubles.len()
    );
    Ok(ExitCode::SUCCESS)
}

fn list() -> Result<ExitCode, Fault> {
    for (name, _) in scenarios::OWN {
        let scenario = scenarios::load(name)?;
        println!(
            "{name:<20} {} ({} workers)",
            scenario.title,
            scenario.workers()
        );
    }
    Ok(ExitCode::SUCCESS)
}

fn explain(arguments: Explain) -> Result<ExitCode, Fault> {
    let path = arguments.trace;
    let file = File::open(&path);
    let file = file.map_err(|cause| Fault::File {
        path: path.clone(),
        cause,
    })?;
    let text = trace::explain(BufReader::new(file), arguments.at);
    print!("{}", text.map_err(|cause| Fault::Trace { path, cause })?);
    Ok(ExitCode::SUCCESS)
}
