//! Connections to workers, kept for further requests.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ahash::RandomState;
use bytes::Bytes;
use elderpond_brood::Number;
use elderpond_forage::Millis;
use hashbrown::HashMap;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::shared::Shared;

/// A connection that no request waits on.
pub struct Idle {
    /// Its near end.
    pub sender: SendRequest<Full<Bytes>>,
    /// Since when it is idle.
    pub since: Millis,
    /// How long it may be idle, in milliseconds.
    pub keep: Millis,
}

/// Connections to workers.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<Number, Vec<Idle>, RandomState>>,
}

/// A connection that was idle longer than this is not trusted, whatever the worker said.
pub const KEEP: Millis = 8000;
/// Idle connections kept to one worker, at most.
const MOST: usize = 8;
/// Bytes of an answer that are read ahead.
const AHEAD: usize = 32 << 10;

impl Pool {
    /// The connection that was used last, if one is fresh enough.
    pub fn take(
        &self,
        now: Millis,
        worker: Number,
        keep: Millis,
    ) -> Option<SendRequest<Full<Bytes>>> {
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
    address: SocketAddrV4,
    within: Duration,
) -> anyhow::Result<SendRequest<Full<Bytes>>> {
    let stream = tokio::time::timeout(within, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let (sender, connection) = Builder::new()
        .max_buf_size(AHEAD)
        .handshake(TokioIo::new(stream))
        .await?;
    let (shared, service) = (shared.clone(), service.to_owned());
    tokio::task::spawn_local(async move {
        // whoever waits on it is told; bytes that nobody asked for are told here alone
        shared.be_wary(&service, connection.await.is_err());
    });
    Ok(sender)
}
