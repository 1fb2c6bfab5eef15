//! How long what a hive knows may pass for fresh.
//!
//! A hive vouches for what it tells foragers by a lease: it confirmed, by a round trip to a majority of the
//! voters' disks, that the newest configuration is in force here. The lease counts from when that round trip
//! *began*, on the steady clock, so neither a late answer nor a standstill prolongs it. Acknowledgements and
//! reads do not lean on it: each has a round trip of its own.

use std::collections::VecDeque;

use super::Ticket;
use crate::Millis;

/// How long a confirmation is relied on, from its beginning, in ms: three that follow may be lost.
pub const LEASE: Millis = 1200;
/// Between two confirmations while the lease runs, and while there is none, in ms.
const RENEW: Millis = 350;
const RETRY: Millis = 100;
/// Confirmations under way at most.
const ASKED: usize = 8;
/// Whoever handles nothing for this long stood still, in ms: time is told each 50.
const STANDSTILL: Millis = 1000;
/// For so long after a standstill, what is read may have waited all the while, in ms.
pub const LEFTOVERS: Millis = 500;
/// Confirmations are named from here on; calls are counted from 1.
const OWN: Ticket = 1 << 63;

/// The lease, and what a standstill leaves.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Contact {
    woken: Millis,
    /// When the newest confirmation that ended began.
    confirmed: Option<Millis>,
    asked: VecDeque<(Ticket, Millis)>,
    count: Ticket,
    leftovers_until: Millis,
}

impl Contact {
    /// Starts at `now` (ms on the steady clock) with no lease.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self {
            woken: now,
            confirmed: None,
            asked: VecDeque::new(),
            count: OWN,
            leftovers_until: 0,
        }
    }

    /// Something is about to be handled; for how long the hive stood still before, if it did. To be called
    /// before anything else, as what waited may be handled before time is told.
    pub fn wake(&mut self, now: Millis) -> Option<Millis> {
        let stood = now.saturating_sub(self.woken);
        self.woken = self.woken.max(now);
        if stood <= STANDSTILL {
            return None;
        }
        self.leftovers_until = now + LEFTOVERS;
        Some(stood)
    }

    /// Begins a confirmation, by the name that is returned, unless one was begun lately.
    pub fn ask(&mut self, now: Millis) -> Option<Ticket> {
        let span = if self.vouches(now) { RENEW } else { RETRY };
        if (self.asked.back()).is_some_and(|(_, began)| now < began + span) {
            return None;
        }
        if self.asked.len() >= ASKED {
            self.asked.pop_front();
        }
        self.count += 1;
        self.asked.push_back((self.count, now));
        Some(self.count)
    }

    /// Whether a confirmation, and no call, has this name.
    #[must_use]
    pub fn owns(ticket: Ticket) -> bool {
        ticket >= OWN
    }

    /// A confirmation has ended well.
    pub fn confirmed(&mut self, ticket: Ticket) {
        if let Some((_, began)) = self.asked.iter().find(|(asked, _)| *asked == ticket) {
            self.confirmed = self.confirmed.max(Some(*began));
        }
    }

    /// For how long the newest confirmation has been relied on, in ms.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.confirmed.map(|began| now.saturating_sub(began))
    }

    /// Whether the lease runs.
    #[must_use]
    pub fn vouches(&self, now: Millis) -> bool {
        self.age(now).is_some_and(|age| age <= LEASE)
    }

    /// Whether what is read now may have waited while the hive stood still.
    #[must_use]
    pub fn leftovers(&self, now: Millis) -> bool {
        now < self.leftovers_until
    }
}
