//! What is done with a request that is on its way when its client leaves.

use elderpond_flora::Kind;

use crate::{Millis, Sent};

/// A worker is likely done within this multiple of the usual time, or much later.
const LIKELY: f64 = 2.0;
/// Milliseconds for which a worker may go on for a client that has left, at most.
const LONGEST: Millis = 300;

/// What is done with a try when its client leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterClientLeft {
    /// It is given up at once: no worker has any of it.
    Drop,
    /// The worker is told to stop, by the end of its connection, if it has not answered by then.
    Stop {
        /// How long it still has, in milliseconds.
        within: Millis,
    },
    /// It goes on: a worker may be at work on what runs once, and half of that helps nobody.
    RunOn,
}

/// A try as it is when its client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Underway {
    /// Whether the request may run more than once.
    pub kind: Kind,
    /// How much of it may have been sent.
    pub sent: Sent,
    /// Milliseconds since it was begun.
    pub taken: Millis,
    /// Milliseconds that one of its service usually takes.
    pub usual_ms: f64,
    /// Whether its worker has no place free, so that others wait for this one's.
    pub full: bool,
}

/// What is done with a try when its client leaves.
///
/// A connection that ends costs the worker and this process a new one. So a worker that is
/// likely to answer soon may do so where nobody waits for its place; where others do, it is
/// stopped at once.
#[must_use]
pub fn after_client_left(it: Underway) -> AfterClientLeft {
    match (it.kind, it.sent) {
        (_, Sent::Nothing | Sent::Connecting) => AfterClientLeft::Drop,
        (Kind::Unsafe, _) => AfterClientLeft::RunOn,
        (Kind::Safe, _) if it.full => AfterClientLeft::Stop { within: 0 },
        (Kind::Safe, _) => {
            let likely = (LIKELY * it.usual_ms) as Millis;
            let within = likely.saturating_sub(it.taken).min(LONGEST);
            AfterClientLeft::Stop { within }
        }
    }
}
