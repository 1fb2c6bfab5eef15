//! Frames that wait to be written on a link.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use elderpond_control_wire::LARGEST;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Bytes that may wait in a lane: the longest message there is, and this much beside it.
pub(super) const MOST_BYTES: usize = LARGEST + (4 << 20);
/// Frames that may wait in a lane.
pub(super) const MOST_FRAMES: usize = 256;
/// Bytes written at a time; on links between control nodes, longer frames let shorter ones go first.
pub(super) const CHUNK: usize = 16 << 10;

/// Frames that are written in the order in which they came.
#[derive(Default)]
struct Lane {
    frames: VecDeque<Bytes>,
    bytes: usize,
}

impl Lane {
    fn is_over(&self) -> bool {
        self.bytes > MOST_BYTES || self.frames.len() > MOST_FRAMES
    }

    /// Adds a frame; the oldest are dropped beyond the bounds. Whether none was.
    fn push(&mut self, frame: Bytes) -> bool {
        self.bytes += frame.len();
        self.frames.push_back(frame);
        let mut dropped = false;
        while self.is_over() && self.pop().is_some() {
            dropped = true;
        }
        !dropped
    }

    fn pop(&mut self) -> Option<Bytes> {
        let frame = self.frames.pop_front()?;
        self.bytes -= frame.len();
        Some(frame)
    }
}

/// A version that waits to be written in several frames.
struct WaitingVersion {
    version: u64,
    frames: Arc<[Bytes]>,
    next: usize,
}

/// What is to be written next.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Next {
    pub(super) frame: Bytes,
    /// The version whose last frame this is.
    pub(super) ends: Option<u64>,
}

impl From<Bytes> for Next {
    fn from(frame: Bytes) -> Self {
        Self { frame, ends: None }
    }
}

#[derive(Default)]
struct Lanes {
    first: Lane,
    second: Lane,
    /// Versions, one frame at a time behind all others. Who sends them has at most one on its way, or
    /// two where one was not answered.
    versions: VecDeque<WaitingVersion>,
}

impl Lanes {
    fn pop(&mut self) -> Option<Next> {
        let frame = self.first.pop().or_else(|| self.second.pop());
        frame.map(Next::from).or_else(|| self.pop_version())
    }

    fn pop_version(&mut self) -> Option<Next> {
        let waiting = self.versions.front_mut()?;
        let frame = waiting
            .frames
            .get(waiting.next)
            .cloned()
            .unwrap_or_default();
        waiting.next += 1;
        let ends = (waiting.next >= waiting.frames.len()).then_some(waiting.version);
        if ends.is_some() {
            self.versions.pop_front();
        }
        Some(Next { frame, ends })
    }
}

/// Frames that wait to be written: those that go first, and those that wait for them.
#[derive(Default)]
pub(super) struct Queue {
    lanes: Mutex<Lanes>,
    more: Notify,
    /// Whether long frames let short ones go first. Only where their order does not matter.
    apart: bool,
}

impl Queue {
    /// Between control nodes messages may be reordered: pieces of a body hold up no heartbeat.
    pub(super) fn apart() -> Self {
        Self {
            apart: true,
            ..Self::default()
        }
    }

    /// Adds a frame; whether none of its lane was dropped for it.
    pub(super) fn push(&self, frame: Bytes) -> bool {
        let mut lanes = self.lanes.lock().unwrap_or_else(PoisonError::into_inner);
        let whole = match self.apart && frame.len() >= CHUNK {
            true => lanes.second.push(frame),
            false => lanes.first.push(frame),
        };
        self.more.notify_one();
        whole
    }

    /// Adds a version, behind those that wait.
    pub(super) fn push_version(&self, version: u64, frames: Arc<[Bytes]>) {
        let mut lanes = self.lanes.lock().unwrap_or_else(PoisonError::into_inner);
        lanes.versions.push_back(WaitingVersion {
            version,
            frames,
            next: 0,
        });
        self.more.notify_one();
    }

    pub(super) fn pop(&self) -> Option<Next> {
        let mut lanes = self.lanes.lock().unwrap_or_else(PoisonError::into_inner);
        lanes.pop()
    }

    /// Writes what waits, small frames together, until a version was written whole, which is returned, or the
    /// connection fails.
    pub(super) async fn write(
        &self,
        to: &mut (impl AsyncWrite + Unpin),
        patience: Duration,
    ) -> Option<u64> {
        let mut chunk = BytesMut::new();
        loop {
            let Some(next) = self.pop() else {
                self.more.notified().await;
                continue;
            };
            let ended = self.fill(&mut chunk, next);
            if !written(to, &chunk, patience).await {
                return None;
            }
            if ended.is_some() {
                return ended;
            }
            chunk.clear();
        }
    }

    /// Fills a chunk with `next` and what waits behind it; the version that ends with it, if one does.
    fn fill(&self, chunk: &mut BytesMut, next: Next) -> Option<u64> {
        let mut next = Some(next);
        while let Some(Next { frame, ends }) = next.take() {
            chunk.extend_from_slice(&frame);
            if ends.is_some() {
                return ends;
            }
            if chunk.len() < CHUNK {
                next = self.pop();
            }
        }
        None
    }
}

/// Writes bytes, each piece of them within that time; whether all were.
pub(super) async fn written(
    to: &mut (impl AsyncWrite + Unpin),
    bytes: &[u8],
    patience: Duration,
) -> bool {
    for part in bytes.chunks(CHUNK * 4) {
        if !matches!(timeout(patience, to.write_all(part)).await, Ok(Ok(()))) {
            return false;
        }
    }
    true
}
