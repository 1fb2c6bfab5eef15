//! Connections to workers, kept for further requests.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ahash::RandomState;
use elderpond_forage::Millis;
use elderpond_registry::Number;
use hashbrown::HashMap;
use hyper::header::HeaderValue;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::body::OutgoingBody;
use crate::connection::{Clean, Idle};
use crate::shared::Shared;

/// Connections to workers.
pub struct Pool {
    idle: RefCell<HashMap<Number, Vec<Idle<OutgoingBody>>, RandomState>>,
    open: Rc<Cell<usize>>,
    most: usize,
}

/// A connection that was idle longer than this is not trusted, whatever the worker said.
pub const KEEP: Millis = 8000;
/// Idle connections kept to one worker, at most.
const MOST: usize = 8;

/// An open connection, counted until this is dropped.
pub struct Counted(Rc<Cell<usize>>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Pool {
    /// At most `most` to all workers together.
    pub fn new(most: usize) -> Self {
        Self {
            idle: RefCell::default(),
            open: Rc::default(),
            most,
        }
    }

    /// Counts a connection that opens.
    pub fn opens(&self) -> Counted {
        self.open.set(self.open.get() + 1);
        Counted(self.open.clone())
    }

    /// Makes room for a connection to a worker at which `held` requests of `most` are, the one
    /// that it is for among them; whether there is any.
    fn room(&self, worker: Number, held: usize, most: usize) -> bool {
        let mut all = self.idle.borrow_mut();
        if let Some(list) = all.get_mut(&worker) {
            // the oldest stand first
            let over = (list.len() + held).saturating_sub(most);
            list.drain(..over.min(list.len()));
        }
        if self.open.get() < self.most {
            return true;
        }
        let idle = all.values_mut().find(|list| !list.is_empty());
        idle.map(|list| list.remove(0)).is_some()
    }

    /// The connection that was used last, if one is fresh enough, for a request of this id.
    pub fn take(
        &self,
        now: Millis,
        worker: Number,
        keep: Millis,
        id: &HeaderValue,
    ) -> Option<Clean<OutgoingBody>> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&worker)?;
        while let Some(last) = list.pop() {
            if last.is_fresh(now, keep)
                && let Some(clean) = last.for_request(id)
            {
                return Some(clean);
            }
        }
        None
    }

    /// Keeps a connection.
    pub fn put(&self, now: Millis, idle: Idle<OutgoingBody>) {
        let mut all = self.idle.borrow_mut();
        let list = all.entry(idle.worker()).or_default();
        if list.len() < MOST && idle.is_fresh(now, Millis::MAX) {
            list.push(idle);
        }
    }

    /// Drops what was idle for too long.
    pub fn sweep(&self, now: Millis) {
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|idle| idle.is_fresh(now, Millis::MAX));
            !list.is_empty()
        });
    }
}

/// Opens a connection to a worker of a service.
pub async fn connect(
    shared: &Rc<Shared>,
    service: &str,
    worker: Number,
    address: SocketAddrV4,
    within: Duration,
) -> anyhow::Result<Clean<OutgoingBody>> {
    let (held, most) = shared.workers.borrow().connections(worker);
    anyhow::ensure!(shared.pool.room(worker, held, most), "no descriptors left");
    let stream = timeout(within, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let (open, shared, service) = (shared.pool.opens(), shared.clone(), service.to_owned());
    let ends = move |in_order: bool| {
        drop(open);
        shared.be_wary(&service, !in_order);
    };
    Ok(Clean::new(worker, TokioIo::new(stream), ends).await?)
}
