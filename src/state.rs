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
    /// How busy the middle of the fleet said it was then.
    pub(crate) busy: f64,
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
    /// How many times what is certain it has shown to bear while cold, and when that last changed.
    pub(crate) proven: f64,
    pub(crate) proven_at: f64,
}

impl Worker {
    /// One that nothing is known of.
    pub(crate) fn new(entry: &Entry, hand: TableId) -> Self {
        Self {
            entry: entry.clone(),
            hand,
            readings: VecDeque::new(),
            cap: 1.0,
            stepped_at: f64::NEG_INFINITY,
            backoff: 0.0,
            cap_before: 1.0,
            probed_at: f64::NEG_INFINITY,
            proven: 1.0,
            proven_at: f64::NEG_INFINITY,
        }
    }

    /// Whether the list has it take work.
    pub(crate) fn ready(&self) -> bool {
        self.entry.condition == Condition::Ready
    }
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
    /// When something was last ordered of it.
    pub(crate) written_at: f64,
}

/// What was sent into the channel, and what answers to marks tell to have left it.
#[derive(Default)]
pub(crate) struct Channel {
    /// Lines sent so far, and those known to have left.
    pub(crate) sent: f64,
    carried: f64,
    /// What had left when this was last measured.
    measured: f64,
    /// Marks on their way: each with when it was sent and the lines sent by then.
    marks: VecDeque<(u64, f64, f64)>,
    /// How long the answer to the newest mark took that was answered since the last measurement.
    took: Option<f64>,
}

impl Channel {
    /// No more marks are kept than this: where nobody answers, the oldest go.
    const MARKS: usize = 4096;

    /// Lines that may still wait.
    pub(crate) fn under_way(&self) -> f64 {
        self.sent - self.carried
    }

    /// So many lines are taken to have left, whether or not anybody answers.
    pub(crate) fn carry(&mut self, lines: f64) {
        self.carried = (self.carried + lines).min(self.sent);
    }

    /// A mark was sent behind all that was sent so far.
    pub(crate) fn marked(&mut self, mark: u64, now: f64) {
        self.marks.push_back((mark, now, self.sent));
        let surplus = self.marks.len().saturating_sub(Self::MARKS);
        self.marks.drain(..surplus);
    }

    /// A mark was answered: messages leave in turn, so what was sent before has left too.
    pub(crate) fn answered(&mut self, mark: u64, now: f64) {
        if let Some(place) = self.marks.iter().position(|(sent, ..)| *sent == mark) {
            let (_, at, lines) = self.marks[place];
            (self.carried, self.took) = (self.carried.max(lines), Some(now - at));
            self.marks.drain(..=place);
        }
    }

    /// The time that the newest answer took, if any came, and the lines that have left, since this
    /// was last asked.
    pub(crate) fn measure(&mut self) -> (Option<f64>, f64) {
        let left = self.carried - self.measured;
        self.measured = self.carried;
        (self.took.take(), left)
    }
}
