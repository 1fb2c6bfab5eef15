//! What hollow processes have seen, counted for all of them together.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Messages and their bytes.
#[derive(Debug, Default)]
pub struct Count {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl Count {
    /// Adds a message.
    pub fn add(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Messages and bytes so far.
    pub fn get(&self) -> (u64, u64) {
        let get = |it: &AtomicU64| it.load(Ordering::Relaxed);
        (get(&self.messages), get(&self.bytes))
    }
}

/// Kinds of message on a link between hive and forager, in the order of [`Seen::kinds`].
pub const KINDS: [&str; 6] = ["version", "table", "change", "pulse", "hello", "report"];

/// How many have a version, and when the last of them had it.
#[derive(Clone, Copy, Debug)]
pub struct Reached {
    /// Foragers.
    pub foragers: usize,
    /// When.
    pub last: Instant,
}

/// All that is counted.
#[derive(Debug, Default)]
pub struct Seen {
    /// By kind of message.
    pub kinds: [Count; KINDS.len()],
    /// Links that hold.
    pub linked: AtomicU64,
    /// Links that ended without being told to.
    pub lost: AtomicU64,
    /// Beats acknowledged, with the bytes of their bodies.
    pub beats: Count,
    /// Calls of workers that failed.
    pub failed: AtomicU64,
    /// Workers that were replaced.
    pub replaced: AtomicU64,
    reached: Mutex<HashMap<u64, Reached>>,
    table: Mutex<(usize, usize)>,
}

impl Seen {
    /// A forager has this version now.
    pub fn reach(&self, version: u64) {
        let mut reached = self.reached.lock().unwrap_or_else(PoisonError::into_inner);
        let last = Instant::now();
        let one = reached
            .entry(version)
            .or_insert(Reached { foragers: 0, last });
        (one.foragers, one.last) = (one.foragers + 1, last);
    }

    /// How far a version has come.
    pub fn reached(&self, version: u64) -> Option<Reached> {
        let reached = self.reached.lock().unwrap_or_else(PoisonError::into_inner);
        reached.get(&version).copied()
    }

    /// A whole table came with so many lines, in so many bytes.
    pub fn table(&self, lines: usize, bytes: usize) {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        *table = (*table).max((lines, bytes));
    }

    /// The longest table so far: lines and bytes.
    pub fn longest(&self) -> (usize, usize) {
        *self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
