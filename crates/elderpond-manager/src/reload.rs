//! New configurations: on SIGHUP the file is read again, in this one place, and the addresses that
//! it names are published. The peers' actors move themselves.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use tokio::sync::watch;

use crate::config::{self, Config};
use crate::counters::Counters;
use crate::operator::Operator;

/// Where peers are, as of the newest configuration that could be read.
pub struct Reload {
    path: Option<PathBuf>,
    /// What the program was started with.
    started: Config,
    discovery: watch::Sender<SocketAddr>,
    relay: watch::Sender<SocketAddr>,
    /// The operator's own file, and what it says.
    own: Option<PathBuf>,
    operator: watch::Sender<Arc<Operator>>,
    counters: Arc<Counters>,
}

impl Reload {
    /// For the configuration that the program starts with, and the place that it was read from.
    pub fn new(
        (path, own): (Option<PathBuf>, Option<PathBuf>),
        (started, operator): (Config, Operator),
        counters: Arc<Counters>,
    ) -> Self {
        let (discovery, relay) = (started.discovery, started.relay);
        Self {
            path,
            started,
            discovery: watch::channel(discovery).0,
            relay: watch::channel(relay).0,
            own,
            operator: watch::channel(Arc::new(operator)).0,
            counters,
        }
    }

    /// Where discovery answers.
    pub fn discovery(&self) -> watch::Receiver<SocketAddr> {
        self.discovery.subscribe()
    }

    /// Where the relay answers.
    pub fn relay(&self) -> watch::Receiver<SocketAddr> {
        self.relay.subscribe()
    }

    /// What the operator sets.
    pub fn operator(&self) -> watch::Receiver<Arc<Operator>> {
        self.operator.subscribe()
    }

    /// Reads both files again. One that cannot be used is logged, and what stood of it goes on.
    pub fn again(&self) {
        self.again_operator();
        self.again_config();
    }

    fn again_operator(&self) {
        match Operator::load(self.own.as_deref()) {
            Ok(new) => drop(self.operator.send_if_modified(|standing| {
                let differs = **standing != new;
                if differs {
                    *standing = Arc::new(new);
                }
                differs
            })),
            Err(cause) => {
                self.counters.reloads_bad.one();
                log::error!("operator's file not taken, the old one goes on: {cause}");
            }
        }
    }

    /// Reads the file again. One that cannot be used is logged, and what stood goes on.
    fn again_config(&self) {
        let new = match config::load(self.path.clone()) {
            Ok(new) => new,
            Err(cause) => {
                self.counters.reloads_bad.one();
                log::error!("configuration not taken, the old one goes on: {cause}");
                return;
            }
        };
        self.counters.reloads.one();
        let moved = [
            (&self.discovery, new.discovery, "discovery"),
            (&self.relay, new.relay, "the relay"),
        ];
        let moved = moved.into_iter().filter(|(standing, address, peer)| {
            let moves = standing.send_if_modified(|standing| {
                let moves = standing != address;
                *standing = *address;
                moves
            });
            if moves {
                log::info!(
                    peer = peer, address:% = address;
                    "configuration read again: {peer} is at {address}"
                );
            }
            moves
        });
        if moved.count() == 0 {
            log::info!("configuration read again: no peer has moved");
        }
        for key in self.started.needs_restart(&new) {
            log::warn!(key = key; "configuration read again: {key} differs, which needs a restart");
        }
    }
}
