//! The manager on sockets: feeds elderpond's decisions with what peers tell and carries out what
//! they order. It decides nothing.

mod clock;
mod collectors;
mod config;
mod counters;
mod decide;
mod discovery;
mod http;
mod logger;
mod operator;
mod outage;
mod probes;
mod relay;
mod reload;
mod roster;
mod sources;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};

use argh::FromArgs;
use elderpond::Manager;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::collectors::Collectors;
use crate::config::{Config, ConfigError};
use crate::counters::Counters;
use crate::decide::{Decide, Outlets};
use crate::discovery::Discovery;
use crate::operator::{Operator, OperatorError};
use crate::probes::Probes;
use crate::relay::news::Newsreader;
use crate::relay::orders::Orders;
use crate::reload::Reload;
use crate::roster::{ListNews, Roster};
use crate::sources::Sources;

/// Events that may wait for the module; whoever sends more of what is never dropped waits.
const EVENTS: usize = 4096;
/// Reports that may wait for the module; more are dropped.
const REPORTS: usize = 16_384;
/// Messages that may wait for the list, the relay, discovery or the probes.
const MAIL: usize = 256;

/// Tells forwarding proxies which workers to send to.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Version(Version),
    CheckConfig(CheckConfig),
    Config(ShowConfig),
    Sources(ShowSources),
}

/// Runs a manager until SIGTERM. SIGHUP has it read its configuration again, SIGUSR1 log its
/// counters.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration; by default the file that RELAY_CONFIG names
    #[argh(option)]
    config: Option<PathBuf>,
    /// the operator's own file; by default the one that ELDERPOND_OPERATOR names, or deploy/elderpond.ini
    #[argh(option)]
    operator: Option<PathBuf>,
}

/// Prints the operator's settings that hold.
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
struct ShowConfig {
    /// writes every default out
    #[argh(switch)]
    #[allow(dead_code, reason = "without it there is nothing else to print yet")]
    show: bool,
    /// the operator's own file; by default the one that ELDERPOND_OPERATOR names, or deploy/elderpond.ini
    #[argh(option)]
    operator: Option<PathBuf>,
}

/// Asks every source once, and prints the one list, who says what, and where they differ.
#[derive(FromArgs)]
#[argh(subcommand, name = "sources")]
struct ShowSources {
    /// the configuration; by default the file that RELAY_CONFIG names
    #[argh(option)]
    config: Option<PathBuf>,
    /// the operator's own file; by default the one that ELDERPOND_OPERATOR names, or deploy/elderpond.ini
    #[argh(option)]
    operator: Option<PathBuf>,
    /// goes on, and prints again what has changed
    #[argh(switch)]
    watch: bool,
}

/// Prints the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Reads a configuration, says what is wrong with it, and serves nothing.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
struct CheckConfig {
    /// the configuration; by default the file that RELAY_CONFIG names
    #[argh(option)]
    config: Option<PathBuf>,
    /// the operator's own file; by default the one that ELDERPOND_OPERATOR names, or deploy/elderpond.ini
    #[argh(option)]
    operator: Option<PathBuf>,
}

/// Why the program ends.
#[derive(Debug, thiserror::Error)]
enum Fault {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("{0}")]
    Operator(#[from] OperatorError),
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        address: SocketAddr,
        cause: std::io::Error,
    },
    #[error("cannot start: {0}")]
    Start(std::io::Error),
    #[error("an actor has ended: {0}")]
    Actor(&'static str),
}

fn main() -> ExitCode {
    let outcome = match argh::from_env::<Arguments>().command {
        Command::Serve(Serve { config, operator }) => serve(config, operator),
        Command::Config(ShowConfig { operator, .. }) => Operator::load(operator.as_deref())
            .map(|operator| print!("{}", operator.show()))
            .map_err(Fault::from),
        Command::Sources(arguments) => show_sources(arguments),
        Command::Version(Version {}) => {
            println!("elderpond-manager {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::CheckConfig(CheckConfig { config, operator }) => check(config, operator),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("elderpond-manager: {fault}");
            ExitCode::FAILURE
        }
    }
}

/// Says what is wrong with either file, in one pass.
fn check(config: Option<PathBuf>, operator: Option<PathBuf>) -> Result<(), Fault> {
    let own = Operator::load(operator.as_deref());
    let config = config::load(config);
    if let (Err(cause), Err(_)) = (&own, &config) {
        eprintln!("elderpond-manager: {cause}");
    }
    let (config, own) = (config?, own?);
    let (name, proxies) = (config.name, config.settings.proxies);
    println!("{name}: listens on {}, {proxies} proxies", config.listen);
    for dns in own.dns {
        let known = config
            .labels
            .zones
            .iter()
            .any(|zone| **zone == *dns.settings.zone);
        let zone = if known {
            ""
        } else {
            ", in a zone that the settings do not name: nobody of it is used"
        };
        println!("source {}: {}{zone}", dns.label, dns.settings.name);
    }
    Ok(())
}

/// Prints the one list: once when every source has spoken or time is up, or again and again.
fn show_sources(arguments: ShowSources) -> Result<(), Fault> {
    let own = Operator::load(arguments.operator.as_deref())?;
    let config = config::load(arguments.config)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(Fault::Start)?;
    runtime.block_on(sources::show(&config, own, arguments.watch));
    Ok(())
}

fn serve(path: Option<PathBuf>, own: Option<PathBuf>) -> Result<(), Fault> {
    let config = config::load(path.clone())?;
    let operator = Operator::load(own.as_deref())?;
    let counters = Arc::new(Counters::default());
    logger::start(counters.clone(), operator.log);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let outcome = runtime.map_err(Fault::Start)?.block_on(run(
        (path, own),
        (config, operator),
        counters.clone(),
    ));
    log::info!(target: logger::ON_REQUEST, "counters: {counters}");
    log::logger().flush();
    outcome
}

async fn run(
    paths: (Option<PathBuf>, Option<PathBuf>),
    (mut config, operator): (Config, Operator),
    counters: Arc<Counters>,
) -> Result<(), Fault> {
    // Before anybody can know of the program: a signal that is not handled would end it.
    let mut hangup = signal(SignalKind::hangup()).map_err(Fault::Start)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(Fault::Start)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Fault::Start)?;
    let mut report = signal(SignalKind::user_defined1()).map_err(Fault::Start)?;
    let address = config.listen;
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|cause| Fault::Listen { address, cause })?;
    let address = listener.local_addr().map_err(Fault::Start)?;
    let known = config.known.take();
    let reload = Reload::new(paths, (config.clone(), operator), counters.clone());
    log::info!("{} listens on {address}", config.name);

    let (events, events_in) = mpsc::channel(EVENTS);
    let (reports, reports_in) = mpsc::channel(REPORTS);
    let (orders, orders_in) = mpsc::channel(MAIL);
    let (probes, probes_in) = mpsc::channel(MAIL);
    let (calls, calls_in) = mpsc::channel(MAIL);
    let (list, list_in) = mpsc::channel(MAIL);
    let (told, told_in) = mpsc::channel(MAIL);
    let sources = Sources::new(reload.operator(), told, counters.clone());
    let (roster, names) = Roster::new(config.labels, events.clone(), counters.clone());
    if let Some(known) = known {
        // The mailbox is empty still.
        let _ = list.try_send(ListNews::Known(known));
    }
    let order = config.settings.load_fields.clone();
    // Where the settings do not say how many there are, any number may be one.
    let proxies = match config.settings.proxies {
        0 => usize::from(u16::MAX) + 1,
        proxies => proxies,
    };
    let tick_ms = config.settings.tick_ms;
    let manager = Manager::new(config.seed, config.settings);
    let out = Outlets {
        orders,
        probes,
        list: calls,
    };
    let inlets = (events_in, reports_in);
    let decide = Decide::new(manager, tick_ms, inlets, out, counters.clone());
    let collectors = Arc::new(Collectors {
        names: names.clone(),
        order: order.clone(),
        proxies,
        reports,
        sockets: config.sockets,
        counters: counters.clone(),
        connections: Mutex::default(),
    });
    let news = Newsreader::new(
        reload.relay(),
        names.clone(),
        proxies,
        events.clone(),
        counters.clone(),
    );
    let senders = Orders::new(reload.relay(), names.clone(), counters.clone());
    let discovery = Discovery::new(reload.discovery(), list, counters.clone());
    let probes = Probes {
        names,
        order,
        sockets: config.sockets,
        events,
        counters: counters.clone(),
    };

    let mut actors = JoinSet::new();
    actors.spawn(named("sources", sources.run(list_in)));
    actors.spawn(named("list", roster.run(told_in)));
    actors.spawn(named("module", decide.run()));
    actors.spawn(named("orders", senders.run(orders_in)));
    actors.spawn(named("discovery", discovery.run(calls_in)));
    actors.spawn(named("probes", probes.run(probes_in)));
    actors.spawn(named("news", news.run()));
    actors.spawn(named("collectors", collectors.run(listener)));
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => reload.again(),
            _ = report.recv() => log::info!(target: logger::ON_REQUEST, "counters: {counters}"),
            // No actor ends for anything that a peer does: one that ends has met a fault of ours.
            Some(ended) = actors.join_next() => {
                return Err(Fault::Actor(ended.unwrap_or("panicked")));
            }
        }
    }
}

/// An actor that says which one has ended.
async fn named(name: &'static str, actor: impl Future<Output = ()>) -> &'static str {
    actor.await;
    name
}
