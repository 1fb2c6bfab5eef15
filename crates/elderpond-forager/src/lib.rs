//! The forager: carries clients' requests to workers.
//!
//! What it decides stands in `elderpond-forage`; here are the sockets around it. One thread runs
//! everything.

mod carry;
mod exchange;
mod front;
mod link;
mod pool;
mod shared;

use std::rc::Rc;
use std::time::Duration;

use elderpond_skep::{Followed, Skep, SkepError};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

use crate::shared::Shared;

/// How often the settings file is looked at.
const LOOK: Duration = Duration::from_secs(2);

/// Runs a forager until it is told to stop.
///
/// # Errors
///
/// A settings file that lacks what the role needs, or an address that can't be listened at.
pub fn run(settings: Followed, skep: Skep) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve(settings, skep))
}

async fn serve(mut settings: Followed, skep: Skep) -> anyhow::Result<()> {
    let missing = |field| SkepError::Missing(settings.path().to_owned(), field);
    let listen = &skep.listen_addresses;
    let front = (listen.front_http).ok_or_else(|| missing("listen-addresses.front-http"))?;
    let ready = (listen.readiness).ok_or_else(|| missing("listen-addresses.readiness"))?;
    let (mut term, mut hangup) = (
        signal(SignalKind::terminate())?,
        signal(SignalKind::hangup())?,
    );
    let front = TcpListener::bind(front).await?;
    let ready = TcpListener::bind(ready).await?;
    let grace = Duration::from_secs_f64(skep.bounds.grace_period_s);
    let shared = Rc::new(Shared::new(&skep));
    tokio::task::spawn_local(link::follow(shared.clone(), skep));
    tokio::task::spawn_local(front::readiness(shared.clone(), ready));
    let clients = tokio::task::spawn_local(front::clients(shared.clone(), front));
    let mut look = tokio::time::interval(LOOK);
    loop {
        let hup = tokio::select! {
            _ = term.recv() => break,
            _ = hangup.recv() => true,
            _ = look.tick() => false,
        };
        match settings.changed(hup) {
            Ok(Some(skep)) => shared.seeds(&skep.seeds()),
            Ok(None) => {}
            Err(error) => log::warn!("the old settings go on: {error}"),
        }
    }
    shared.stop();
    // clients are told by each answer that the connection ends; whoever comes late is still served
    let until = tokio::time::Instant::now() + grace.mul_f64(0.75);
    let least = tokio::time::Instant::now() + grace.mul_f64(0.35);
    let mut calm = 0;
    while tokio::time::Instant::now() < until && calm < 3 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let quiet = shared.in_hand() == 0 && tokio::time::Instant::now() >= least;
        calm = if quiet { calm + 1 } else { 0 };
    }
    shared.close();
    clients.abort();
    let _ = tokio::time::timeout(grace.mul_f64(0.1), shared.all_closed()).await;
    Ok(())
}
