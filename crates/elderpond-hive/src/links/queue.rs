//! Frames that wait to be written on a link.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
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

#[derive(Default)]
struct Lanes {
    first: Lane,
    second: Lane,
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

    pub(super) fn pop(&self) -> Option<Bytes> {
        let mut lanes = self.lanes.lock().unwrap_or_else(PoisonError::into_inner);
        let first = lanes.first.pop();
        first.or_else(|| lanes.second.pop())
    }

    /// Writes what waits, small frames together, until the connection fails.
    pub(super) async fn write(&self, to: &mut (impl AsyncWrite + Unpin), patience: Duration) {
        let mut chunk = BytesMut::new();
        loop {
            let Some(frame) = self.pop() else {
                self.more.notified().await;
                continue;
            };
            let mut next = Some(frame);
            while let Some(frame) = next.take() {
                if chunk.is_empty() && frame.len() >= CHUNK {
                    if !written(to, &frame, patience).await {
                        return;
                    }
                } else {
                    chunk.extend_from_slice(&frame);
                }
                if chunk.len() < CHUNK {
                    next = self.pop();
                }
            }
            if !chunk.is_empty() && !written(to, &chunk, patience).await {
                return;
            }
            chunk.clear();
        }
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
