//! Probes of workers, each on a connection of its own.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use elderpond::interface::{Event, LoadField, ProbeOutcome, Probed, WorkerId};
use hyper::{Method, StatusCode};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::Instant;

use crate::counters::Counters;
use crate::http::{Link, within};
use crate::roster::Names;
use elderpond_wire::probe;

/// A worker that has not answered a probe by then does not serve.
const LIMIT: Duration = Duration::from_millis(500);
/// Probes under way at the most, and the part of the descriptors that they may hold.
const AT_ONCE: usize = 128;
const SOCKETS_PART: usize = 4;
/// Bytes of a load report at the most.
const LARGEST: usize = 4096;

/// The probes' actor.
pub struct Probes {
    /// Names and addresses.
    pub names: watch::Receiver<Arc<Names>>,
    /// The order of a load report's values.
    pub order: Vec<LoadField>,
    /// File descriptors of the process.
    pub sockets: usize,
    /// To the module.
    pub events: mpsc::Sender<Event>,
    /// Counts.
    pub counters: Arc<Counters>,
}

impl Probes {
    /// Probes until the module is gone.
    pub async fn run(self, mut mailbox: mpsc::Receiver<WorkerId>) {
        let at_once = AT_ONCE.min(self.sockets / SOCKETS_PART).max(1);
        let places = Arc::new(Semaphore::new(at_once));
        let order: Arc<[LoadField]> = self.order.into();
        while let Some(worker) = mailbox.recv().await {
            let address = self.names.borrow().address(worker);
            let place = places.clone().try_acquire_owned();
            let (Some(address), Ok(place)) = (address, place) else {
                self.counters.probes_dropped.one();
                continue;
            };
            self.counters.probes_sent.one();
            let (events, order) = (self.events.clone(), order.clone());
            let counters = self.counters.clone();
            tokio::spawn(async move {
                let sent = Instant::now();
                let call = async {
                    let mut link = Link::open(address).await?;
                    link.call(Method::GET, probe::STATS, Bytes::new(), LARGEST)
                        .await
                };
                let answer = within(LIMIT, call).await;
                drop(place);
                let mut load = Vec::new();
                let (outcome, count) = match answer {
                    Ok(Ok((StatusCode::OK, body))) => {
                        let Ok(values) = probe::decode(&body, &order) else {
                            // Spoilt, it says neither that the worker is well nor that it fails.
                            counters.probes_spoilt.one();
                            return;
                        };
                        load = values;
                        (ProbeOutcome::Ok, &counters.probes_ok)
                    }
                    Ok(Ok((StatusCode::TOO_MANY_REQUESTS, _))) => {
                        (ProbeOutcome::Rejected, &counters.probes_rejected)
                    }
                    _ => (ProbeOutcome::Failed, &counters.probes_failed),
                };
                count.one();
                let took_ms = sent.elapsed().as_secs_f64() * 1000.0;
                let probed = Probed {
                    worker,
                    outcome,
                    took_ms,
                    load,
                };
                // If the module is gone, nobody is left to tell.
                let _ = events.send(Event::Probed(probed)).await;
            });
        }
    }
}
