//! Connections to workers, kept for further requests.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ahash::RandomState;
use elderpond_forage::Millis;
use elderpond_registry::Number;
use hashbrown::HashMap;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::freight::Freight;
use crate::shared::Shared;

/// A connection that no request waits on.
pub struct Idle {
    /// Its near end.
    pub sender: SendRequest<Freight>,
    /// Since when it is idle.
    pub since: Millis,
    /// How long it may be idle, in milliseconds.
    pub keep: Millis,
}

/// Connections to workers.
pub struct Pool {
    idle: RefCell<HashMap<Number, Vec<Idle>, RandomState>>,
    open: Cell<usize>,
    most: usize,
}

/// A connection that was idle longer than this is not trusted, whatever the worker said.
pub const KEEP: Millis = 8000;
/// Idle connections kept to one worker, at most.
const MOST: usize = 8;
/// Bytes of an answer that are read ahead.
const AHEAD: usize = 32 << 10;

impl Pool {
    /// At most `most` to all workers together.
    pub fn new(most: usize) -> Self {
        Self {
            idle: RefCell::default(),
            open: Cell::new(0),
            most,
        }
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

    /// The connection that was used last, if one is fresh enough.
    pub fn take(&self, now: Millis, worker: Number, keep: Millis) -> Option<SendRequest<Freight>> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&worker)?;
        while let Some(last) = list.pop() {
            let fresh = now < last.since + last.keep.min(keep);
            if fresh && !last.sender.is_closed() {
                return Some(last.sender);
            }
        }
        None
    }

    /// Keeps a connection that is clean.
    pub fn put(&self, worker: Number, idle: Idle) {
        let mut all = self.idle.borrow_mut();
        let list = all.entry(worker).or_default();
        if list.len() < MOST && !idle.sender.is_closed() {
            list.push(idle);
        }
    }

    /// Drops what was idle for too long.
    pub fn sweep(&self, now: Millis) {
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|idle| now < idle.since + idle.keep && !idle.sender.is_closed());
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
) -> anyhow::Result<SendRequest<Freight>> {
    let (held, most) = shared.patch.borrow().connections(worker);
    anyhow::ensure!(shared.pool.room(worker, held, most), "no descriptors left");
    let stream = tokio::time::timeout(within, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let (sender, connection) = Builder::new()
        .max_buf_size(AHEAD)
        .handshake(TokioIo::new(stream))
        .await?;
    let (shared, service) = (shared.clone(), service.to_owned());
    shared.pool.open.set(shared.pool.open.get() + 1);
    tokio::task::spawn_local(async move {
        // whoever waits on it is told; bytes that nobody asked for are told here alone
        let ended = connection.await;
        shared.pool.open.set(shared.pool.open.get() - 1);
        shared.be_wary(&service, ended.is_err());
    });
    Ok(sender)
}
