//! The proxy: sends clients' requests on to workers.
//!
//! What it decides stands in `elderpond-forage`; here are the sockets around it. One thread runs
//! everything.

mod body;
mod client_connections;
mod client_departure;
mod client_session;
mod client_socket;
mod client_stream;
pub mod connection;
mod connection_end;
mod control_link;
pub mod ending;
mod exchange;
mod front;
mod http_connection;
mod metrics;
mod notes;
mod pipeline;
mod pool;
mod request;
mod rooms;
mod shared;

use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use elderpond_process_settings::{Followed, ProcessSettings, ProcessSettingsError, Tenants};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::timeout;

use crate::ending::Ending;
use crate::shared::Shared;

/// How often the settings file is looked at.
const LOOK: Duration = Duration::from_secs(2);

/// How often a process that ends looks whether anything is in hand.
const LOOK_IN_HAND: Duration = Duration::from_millis(50);

/// Where a proxy is called.
pub struct Listeners {
    /// By clients.
    pub front: TcpListener,
    /// By whoever asks whether clients may be sent.
    pub readiness: TcpListener,
}

/// What a running proxy is asked to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// To seek control nodes at other addresses.
    Seeds(Vec<Ipv4Addr>),
    /// To share room among other tenants.
    Tenants(Tenants),
    /// To go, in order.
    Stop,
}

/// Runs a proxy until the process gets a SIGTERM. The file of tenants, if there is one, is read
/// again on SIGHUP.
///
/// # Errors
///
/// A settings file that lacks what the role needs, a file of tenants that can't be used, or an
/// address that can't be listened at.
pub fn run(
    settings: Followed,
    process_settings: ProcessSettings,
    tenants: Option<PathBuf>,
) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, process(settings, process_settings, tenants))
}

async fn process(
    mut settings: Followed,
    process_settings: ProcessSettings,
    tenants: Option<PathBuf>,
) -> anyhow::Result<()> {
    let owned = tenants.as_deref().map(Tenants::read).transpose()?;
    let missing = |field| ProcessSettingsError::Missing(settings.path().to_owned(), field);
    let listen = &process_settings.listen_addresses;
    let front = (listen.front_http).ok_or_else(|| missing("listen-addresses.front-http"))?;
    let ready = (listen.readiness).ok_or_else(|| missing("listen-addresses.readiness"))?;
    let (mut term, mut hangup) = (
        signal(SignalKind::terminate())?,
        signal(SignalKind::hangup())?,
    );
    let listeners = Listeners {
        front: TcpListener::bind(front).await?,
        readiness: TcpListener::bind(ready).await?,
    };
    log::info!(
        "proxy {} in zone {} serves at {front}; control nodes are sought by {:?}",
        process_settings.node_name,
        process_settings.zone,
        process_settings.seeds()
    );
    let (sender, commands) = mpsc::unbounded_channel();
    if let Some(owned) = owned {
        sender.send(Command::Tenants(owned))?;
    }
    tokio::task::spawn_local(async move {
        let mut look = tokio::time::interval(LOOK);
        loop {
            let hup = tokio::select! {
                _ = term.recv() => break,
                _ = hangup.recv() => true,
                _ = look.tick() => false,
            };
            match tenants.as_deref().filter(|_| hup).map(Tenants::read) {
                Some(Ok(owned)) => {
                    let _ = sender.send(Command::Tenants(owned));
                }
                Some(Err(error)) => log::warn!("the old tenants go on: {error}"),
                None => {}
            }
            match settings.changed(hup) {
                Ok(Some(process_settings)) => {
                    let _ = sender.send(Command::Seeds(process_settings.seeds()));
                }
                Ok(None) => {}
                Err(error) => log::warn!("the old settings go on: {error}"),
            }
        }
        let _ = sender.send(Command::Stop);
    });
    serve(process_settings, listeners, commands).await;
    Ok(())
}

/// Serves until told to stop, and until what is in hand then is answered. Has to run in a
/// [`LocalSet`].
pub async fn serve(
    process_settings: ProcessSettings,
    listeners: Listeners,
    mut commands: mpsc::UnboundedReceiver<Command>,
) {
    let grace = Duration::from_secs_f64(process_settings.bounds.grace_period_s);
    let shared = Rc::new(Shared::new(&process_settings));
    tokio::task::spawn_local(control_link::follow(shared.clone(), process_settings));
    tokio::task::spawn_local(front::readiness(shared.clone(), listeners.readiness));
    tokio::task::spawn_local(front::sweep(shared.clone()));
    let clients = tokio::task::spawn_local(front::clients(shared.clone(), listeners.front));
    loop {
        match commands.recv().await {
            Some(Command::Seeds(seeds)) => shared.seeds(&seeds),
            Some(Command::Tenants(tenants)) => shared.tenants(tenants),
            Some(Command::Stop) | None => break,
        }
    }
    let ending = Ending::new(shared.now(), grace);
    shared.stop(ending);
    wait_until_quiet(&shared, ending).await;
    shared.close();
    // ends at once, with all accepted that have connected
    let _ = clients.await;
    // what still came meanwhile is answered like all before
    let _ = timeout(
        shared.time_until(ending.answered_by),
        wait_until_served(&shared),
    )
    .await;
    let closing_time = shared.time_until(ending.closed_by(shared.now()));
    let _ = timeout(closing_time, close_connections(&shared, ending)).await;
    let cut_off = shared.metrics.requests_cut_off();
    if cut_off > 0 {
        log::warn!("{cut_off} requests were answered without their workers, as the process ends");
    }
}

/// Waits until all clients' connections are closed. Workers that take too long are not waited for: those
/// clients, and whoever waits behind them on their connection, get an answer while there is time for it.
async fn close_connections(shared: &Shared, ending: Ending) {
    let served = timeout(
        shared.time_until(ending.cut_off),
        shared.client_connections.all_served(),
    );
    if served.await.is_err() {
        shared.cut_off();
    }
    shared.client_connections.all_left().await;
}

/// Waits until no client is served any more, and no request of one that has left runs on.
async fn wait_until_served(shared: &Shared) {
    shared.client_connections.all_served().await;
    while shared.in_hand() > 0 {
        tokio::time::sleep(LOOK_IN_HAND).await;
    }
}

/// Clients are told by each answer that the connection ends; whoever comes late is still served, or refused.
async fn wait_until_quiet(shared: &Shared, ending: Ending) {
    let mut calm = 0;
    while shared.now() < ending.answered_by && calm < 3 {
        tokio::time::sleep(LOOK_IN_HAND).await;
        let quiet = shared.in_hand() == 0 && shared.now() >= ending.least;
        calm = if quiet { calm + 1 } else { 0 };
    }
}
