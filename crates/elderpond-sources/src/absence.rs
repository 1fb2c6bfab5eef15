//! When a worker that the answers of a listing source lack is gone.
//!
//! One answer proves little: a server may lie, lag or be cut off from the truth. A worker is gone when
//! every server of the source has lacked it, without a break, for a stated number of lifetimes. How
//! many go at a time is bounded, and the last one of a zone never goes.

use std::collections::BTreeMap;

/// How patient a source is with what its answers lack.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Patience {
    /// Lifetimes that every server must have lacked a worker for.
    pub lifetimes: f64,
    /// Shortest span that counts as a lifetime, in milliseconds: answers may have none.
    pub least_ms: f64,
    /// Workers that may go within a lifetime; one at least.
    pub pace: usize,
}

impl Default for Patience {
    fn default() -> Self {
        Self {
            lifetimes: 3.0,
            least_ms: 5000.0,
            pace: 2,
        }
    }
}

/// Since when each server has lacked a worker without a break.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Absence {
    since: BTreeMap<u16, f64>,
}

impl Absence {
    /// A server's answer has the worker, or lacks it.
    pub fn answered(&mut self, now: f64, server: u16, present: bool) {
        match present {
            true => drop(self.since.remove(&server)),
            false => drop(self.since.entry(server).or_insert(now)),
        }
    }

    /// When its absence is confirmed, if all of so many servers lack it.
    pub fn confirmed_at(&self, servers: u16, lifetime_ms: f64, patience: &Patience) -> Option<f64> {
        let all = (0..servers).all(|server| self.since.contains_key(&server));
        let last = self
            .since
            .values()
            .copied()
            .fold(f64::NEG_INFINITY, f64::max);
        let span = lifetime_ms.max(patience.least_ms) * patience.lifetimes;
        (all && servers > 0).then_some(last + span)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_server_must_lack_it_for_so_many_lifetimes_without_a_break() {
        let patience = Patience {
            lifetimes: 2.0,
            least_ms: 1000.0,
            pace: 1,
        };
        let mut absence = Absence::default();
        absence.answered(0.0, 0, false);
        absence.answered(500.0, 1, false);
        assert_eq!(absence.confirmed_at(3, 10_000.0, &patience), None);
        absence.answered(700.0, 2, false);
        assert_eq!(absence.confirmed_at(3, 10_000.0, &patience), Some(20_700.0));
        absence.answered(9000.0, 1, true);
        assert_eq!(absence.confirmed_at(3, 10_000.0, &patience), None);
        absence.answered(9500.0, 1, false);
        absence.answered(9600.0, 0, false);
        assert_eq!(absence.confirmed_at(3, 10_000.0, &patience), Some(29_500.0));
        // A lifetime of none counts as the least.
        assert_eq!(absence.confirmed_at(3, 0.0, &patience), Some(11_500.0));
        assert_eq!(Absence::default().confirmed_at(0, 0.0, &patience), None);
    }
}
