//! How a process that was told to end spends its grace period.
//!
//! It goes on serving while clients and the platform learn that it ends. A request that could not be answered
//! before the process is gone is refused, so that its client tries elsewhere with time left: taken and then
//! cut, it would be lost. What its worker has not answered shortly before the end is answered by the process,
//! early enough that this answer and those that wait behind it on their connection are delivered.

use std::time::Duration;

use elderpond_forage::Millis;

/// Part of the grace period during which each request is taken, and the longest that this lasts.
const TAKES_ALL: f64 = 0.4;
const TAKES_ALL_MOST: Millis = 2_500;
/// Part of the grace period that is waited at least, for who has not heard yet.
const LEAST: f64 = 0.35;
/// Part of it by which requests that are taken late have to be answered.
const ANSWERED: f64 = 0.82;
/// Part of it after which no worker is waited for any more: not before its last sixth.
const CUT_OFF: f64 = 0.835;
/// Part of it that connections have to close, at most.
const CLOSING: f64 = 0.1;
/// Part of it after which the process exits: what it is short of time by comes on top.
const EXIT: f64 = 0.905;

/// The times of an end, in milliseconds on the process's own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ending {
    takes_all_until: Millis,
    /// Nothing that is quiet ends before.
    pub least: Millis,
    /// By when requests that are taken late have to be answered.
    pub answered_by: Millis,
    /// When the process itself answers what is still in hand.
    pub cut_off: Millis,
    /// When it exits at the latest.
    pub exit_by: Millis,
    closing: Millis,
}

impl Ending {
    /// Of a process that was told to end at `now`, and is killed after `grace`.
    #[must_use]
    pub fn new(now: Millis, grace: Duration) -> Self {
        let part = |part: f64| (grace.as_secs_f64() * 1000.0 * part) as Millis;
        Self {
            takes_all_until: now + part(TAKES_ALL).min(TAKES_ALL_MOST),
            least: now + part(LEAST),
            answered_by: now + part(ANSWERED),
            cut_off: now + part(CUT_OFF),
            exit_by: now + part(EXIT),
            closing: part(CLOSING),
        }
    }

    /// Whether every request that came by `now` is taken.
    #[must_use]
    pub fn takes_all(&self, now: Millis) -> bool {
        now < self.takes_all_until
    }

    /// Whether a request that came at `now` and is to be answered by `deadline` is taken.
    #[must_use]
    pub fn takes(&self, now: Millis, deadline: Millis) -> bool {
        self.takes_all(now) || deadline <= self.answered_by
    }

    /// Until when connections may close that begin to at `now`; a process that is late has less time.
    #[must_use]
    pub fn closed_by(&self, now: Millis) -> Millis {
        (now + self.closing).min(self.exit_by)
    }
}
