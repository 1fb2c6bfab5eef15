//! The workers of a soak, by their places: they leave, crash, and others take their places.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::versions::service;
use crate::fleet::{Fleet, ZONES, bounds};
use crate::ledger::{Kind, Ledger};
use crate::workers::{Kept, Worker};

/// Milliseconds that a worker takes for a request, and workers in turn for one of the long kind: up to what
/// a route allows.
const WORK_MS: f64 = 12.0;
const LONG_WORK_MS: [f64; 4] = [1500.0, 500.0, 1000.0, 2000.0];
/// By how much a slowed worker takes longer.
const SLOW_FACTOR: f64 = 6.0;

/// All workers of a soak.
pub struct WorkerPlaces {
    fleet: Rc<Fleet>,
    ledger: Rc<Ledger>,
    all: RefCell<Vec<Rc<Worker>>>,
    /// Places whose worker is being replaced.
    changing: RefCell<HashSet<u8>>,
    /// Workers that could not be started.
    pub faults: RefCell<Vec<String>>,
}

impl WorkerPlaces {
    /// No workers yet.
    pub fn new(fleet: &Rc<Fleet>, ledger: &Rc<Ledger>) -> Self {
        Self {
            fleet: fleet.clone(),
            ledger: ledger.clone(),
            all: RefCell::default(),
            changing: RefCell::default(),
            faults: RefCell::default(),
        }
    }

    /// Starts so many workers, each at an address of its own.
    ///
    /// # Errors
    ///
    /// One cannot be started.
    pub async fn start_all(&self, count: u8) -> anyhow::Result<()> {
        for place in 0..count {
            let worker = self.start(place, self.own_address(place)).await?;
            self.all.borrow_mut().push(worker);
        }
        Ok(())
    }

    /// Whether control nodes have heard of all of them.
    pub fn are_known(&self) -> bool {
        self.all.borrow().iter().all(|worker| worker.known())
    }

    /// Starts the worker of a place among them at an address; port 0 stands for any that is free.
    async fn start(&self, place: u8, at: SocketAddrV4) -> anyhow::Result<Rc<Worker>> {
        let kind = [Kind::Read, Kind::Write, Kind::Long][usize::from(place) % 3];
        let kept = Kept {
            service: service(kind),
            zone: ZONES[usize::from(place) % ZONES.len()],
            slots: 4,
            work_ms: match kind {
                Kind::Long => LONG_WORK_MS[usize::from(place) / 3 % LONG_WORK_MS.len()],
                _ => WORK_MS,
            },
            tells_load: kind != Kind::Write,
            answers_long: kind == Kind::Read,
        };
        let beat = Duration::from_secs_f64(bounds::BEAT_S);
        Worker::start(at, kept, beat, &self.fleet.controls(), &self.ledger).await
    }

    /// An address that is a worker's own.
    fn own_address(&self, place: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.fleet.worker(place), 0)
    }

    /// Has another worker stand in for one that has gone.
    async fn replace(&self, place: u8, at: SocketAddrV4) {
        match self.start(place, at).await {
            Ok(worker) => self.all.borrow_mut()[usize::from(place)] = worker,
            Err(error) => {
                let fault = format!("worker-{} cannot be started: {error:#}", place + 1);
                self.faults.borrow_mut().push(fault);
            }
        }
    }

    fn worker(&self, place: u8) -> Rc<Worker> {
        self.all.borrow()[usize::from(place)].clone()
    }

    /// Whether none of these places changes its worker; they do until [`Self::release`].
    fn claim(&self, places: &[u8]) -> bool {
        let mut changing = self.changing.borrow_mut();
        let free = !places.iter().any(|place| changing.contains(place));
        if free {
            changing.extend(places);
        }
        free
    }

    fn release(&self, places: &[u8]) {
        let mut changing = self.changing.borrow_mut();
        places.iter().for_each(|place| {
            changing.remove(place);
        });
    }

    /// A worker says that it leaves, leaves, and another takes its place.
    pub async fn drain(&self, place: u8) {
        if !self.claim(&[place]) {
            return;
        }
        let drain = Duration::from_secs_f64(bounds::DRAIN_S);
        self.worker(place).retire(drain).await;
        self.replace(place, self.own_address(place)).await;
        self.release(&[place]);
    }

    /// A worker ends without a word, and another takes its place.
    pub async fn crash(&self, place: u8) {
        if !self.claim(&[place]) {
            return;
        }
        self.worker(place).crash();
        self.replace(place, self.own_address(place)).await;
        self.release(&[place]);
    }

    /// Two workers end, and their addresses change hands once they may.
    pub async fn swap(&self, one: u8, other: u8) {
        if one == other || !self.claim(&[one, other]) {
            return;
        }
        let (at_one, at_other) = (self.worker(one).address(), self.worker(other).address());
        self.worker(one).crash();
        self.worker(other).crash();
        sleep(Duration::from_secs_f64(bounds::ADDRESS_REUSE_S)).await;
        self.replace(one, at_other).await;
        self.replace(other, at_one).await;
        self.release(&[one, other]);
    }

    /// A worker takes several times as long for a while.
    pub async fn slow_down(&self, place: u8, span_s: f64) {
        let worker = self.worker(place);
        worker.slow_down(SLOW_FACTOR);
        sleep(Duration::from_secs_f64(span_s)).await;
        worker.slow_down(1.0);
    }
}
