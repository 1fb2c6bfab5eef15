//! The records that a manager keeps. Nothing here decides or holds a tuned value.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::interface::*;

/// Fading sums of what all workers met together and of the weight published meanwhile.
#[derive(Default)]
pub(crate) struct Met {
    pub(crate) tries: f64,
    pub(crate) good: f64,
    pub(crate) weight: f64,
    /// The most good answers that a unit of weight was seen to give.
    pub(crate) most: f64,
}

pub(crate) struct Worker {
    pub(crate) entry: Entry,
    pub(crate) hand: TableId,
    pub(crate) readings: VecDeque<Reading>,
    /// The ceiling, as far as the steps of a return allow; 1 is the listed weight.
    pub(crate) cap: f64,
    pub(crate) stepped_at: f64,
    pub(crate) backoff: f64,
    /// What stood before the last step or fall.
    pub(crate) cap_before: f64,
    pub(crate) probed_at: f64,
}

/// One report's (or probe's) word on a worker, its lines by zone of the proxies folded.
#[derive(Default)]
pub(crate) struct Reading {
    pub(crate) at: f64,
    pub(crate) tries: u32,
    pub(crate) good: u32,
    pub(crate) time: f64,
    pub(crate) busy: f64,
    pub(crate) probe: bool,
    pub(crate) carried: f64,
    pub(crate) part: f64,
}

pub(crate) struct Proxy {
    pub(crate) who: Joined,
    /// The table it follows: the shared one or a hand; none until it is bound.
    pub(crate) on: Option<TableId>,
    pub(crate) sent: VecDeque<f64>,
}

/// What a class is let in by, and how it is tried again.
pub(crate) type Level = (f64, Retry);

pub(crate) type Lines = BTreeMap<WorkerId, f64>;

/// What is ordered of a table.
pub(crate) enum Order {
    Line(WorkerId, f64),
    Level(usize, Level),
}

/// A table as ordered so far.
#[derive(Default)]
pub(crate) struct Table {
    pub(crate) lines: Lines,
    pub(crate) levels: BTreeMap<usize, Level>,
    /// With a single owner: who may still write to the former one, and until when.
    pub(crate) holding: BTreeSet<ProxyId>,
    pub(crate) mark: u64,
    pub(crate) free_at: f64,
}
