//! The budget of further tries, divided among the foragers.
//!
//! Over any span of the window's length a service may receive `ratio` times its requests, and
//! `slack` more, beyond the first arrival of each request. The ratio's part divides by itself: each
//! forager spends on the requests that came to it. The slack is divided by the foragers that there
//! are. A forager that started forgets what it spent in its last life, so its slack comes in over
//! one window.

use std::collections::VecDeque;

use crate::Millis;

/// The figures of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Means {
    /// Further arrivals for each request.
    pub ratio: f64,
    /// Further arrivals free, over all foragers.
    pub slack: f64,
    /// Over how long they are counted.
    pub window: Millis,
}

/// Part of what is allowed that is spent: windows slide, and here they slide by slots.
const SPENT: f64 = 0.8;
/// Slots of a window.
const SLOTS: u64 = 10;

/// One service's budget at one forager.
#[derive(Debug)]
pub struct Budget {
    means: Means,
    born: Millis,
    slots: VecDeque<Slot>,
    requests: f64,
    spent: f64,
}

#[derive(Debug)]
struct Slot {
    number: u64,
    requests: f64,
    spent: f64,
}

impl Budget {
    /// One of a forager that started at `born`.
    pub fn new(born: Millis, means: Means) -> Self {
        Self {
            means,
            born,
            slots: VecDeque::new(),
            requests: 0.0,
            spent: 0.0,
        }
    }

    fn slot(&mut self, now: Millis) -> &mut Slot {
        let number = now * SLOTS / self.means.window.max(SLOTS);
        // a slot more than the window, so that no sliding window is missed
        while let Some(old) = self.slots.front()
            && old.number + SLOTS < number
        {
            self.requests -= old.requests;
            self.spent -= old.spent;
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| slot.number < number) {
            self.slots.push_back(Slot {
                number,
                requests: 0.0,
                spent: 0.0,
            });
        }
        let at = self.slots.len() - 1;
        &mut self.slots[at]
    }

    /// Whether nothing of what it counts matters any more: a new one would allow the same.
    pub fn is_over(&self, now: Millis) -> bool {
        let counted = |slot: &&Slot| slot.requests > 0.0 || slot.spent > 0.0;
        let last = self.slots.iter().rev().find(counted);
        let number = now * SLOTS / self.means.window.max(SLOTS);
        last.is_none_or(|last| last.number + SLOTS < number)
    }

    /// Notes a request of a client for the service.
    pub fn request(&mut self, now: Millis) {
        self.slot(now).requests += 1.0;
        self.requests += 1.0;
    }

    /// Whether a further arrival is allowed, `part` of the whole budget at the most; if so, it is
    /// spent.
    pub fn spend(&mut self, now: Millis, foragers: usize, part: f64) -> bool {
        self.slot(now);
        let age = now.saturating_sub(self.born) as f64 / self.means.window.max(1) as f64;
        let slack = self.means.slack / foragers.max(1) as f64 * age.min(1.0);
        let allowed = (self.means.ratio * self.requests + slack) * SPENT * part;
        if self.spent + 1.0 > allowed {
            return false;
        }
        self.slot(now).spent += 1.0;
        self.spent += 1.0;
        true
    }
}
