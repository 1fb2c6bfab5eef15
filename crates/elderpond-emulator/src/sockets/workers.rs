//! Workers as a manager meets them: an address each that answers probes as the world decides.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use elderpond::interface::{Condition, Entry, LoadField, ProbeOutcome, WorkerId};
use elderpond_wire::probe;
use hyper::{Method, StatusCode};
use tokio::sync::{mpsc, oneshot};

use super::Input;
use super::http::{answer, serve};

/// The addresses of all workers, as one manager is told them.
pub struct Workers {
    places: Vec<(SocketAddr, Arc<AtomicU32>)>,
}

impl Workers {
    /// Starts so many.
    pub async fn start(
        (manager, count): (usize, usize),
        order: Arc<Vec<LoadField>>,
        input: mpsc::Sender<Input>,
    ) -> std::io::Result<Self> {
        let mut places = Vec::with_capacity(count);
        for place in 0..count {
            // Whoever is there now: a replacement takes the address of the one before.
            let here = Arc::new(AtomicU32::new(place as WorkerId));
            let (now, order, input) = (here.clone(), order.clone(), input.clone());
            let address = serve(move |request| {
                let worker = now.load(Ordering::Relaxed);
                let path = request.uri().path();
                let asked =
                    request.method() == Method::GET && [probe::STATS, probe::LIVE].contains(&path);
                let (order, input) = (order.clone(), input.clone());
                async move {
                    if !asked {
                        return Some(answer(StatusCode::NOT_FOUND, ""));
                    }
                    let (reply, outcome) = oneshot::channel();
                    input
                        .send(Input::Probe {
                            manager,
                            worker,
                            answer: reply,
                        })
                        .await
                        .ok()?;
                    match outcome.await.ok()? {
                        (ProbeOutcome::Ok, load) => {
                            Some(answer(StatusCode::OK, probe::encode(&load, &order)))
                        }
                        (ProbeOutcome::Rejected, _) => {
                            Some(answer(StatusCode::SERVICE_UNAVAILABLE, ""))
                        }
                        (ProbeOutcome::Failed, _) => None,
                    }
                }
            });
            places.push((address.await?, here));
        }
        Ok(Self { places })
    }

    /// The address of a place.
    pub fn address(&self, place: u32) -> String {
        self.places
            .get(place as usize)
            .map_or_else(String::new, |(address, _)| address.to_string())
    }

    /// A worker that is listed is at its address from now on.
    pub fn put(&self, place: u32, entry: &Entry) {
        if let Some((_, here)) = self.places.get(place as usize)
            && entry.condition == Condition::Ready
        {
            here.store(entry.worker, Ordering::Relaxed);
        }
    }
}
