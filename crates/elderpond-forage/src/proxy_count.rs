//! How many proxies there are, by what control nodes tell.
//!
//! Connections to workers and the budget of retries are shared out by this number, so one that is too low
//! lets each proxy take more than its share. Control nodes that were all killed count proxies anew as
//! these come back to them, and vouch meanwhile: so the number falls only once none higher was told for a
//! while.

use crate::Millis;

/// Taken for the number until a control node tells it.
const UNKNOWN: usize = 16;

/// The number of proxies in the whole system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyCount {
    number: usize,
    /// Whether a control node that vouches has told it.
    known: bool,
    fewer: Option<Fewer>,
}

/// Fewer are told than are counted with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Fewer {
    since: Millis,
    /// The most that were told since.
    most: usize,
}

impl Default for ProxyCount {
    fn default() -> Self {
        Self {
            number: UNKNOWN,
            known: false,
            fewer: None,
        }
    }
}

impl ProxyCount {
    /// The number, at least 1.
    #[must_use]
    pub fn get(self) -> usize {
        self.number
    }

    /// A control node counts so many at `now`. More are believed at once; fewer, once none higher was told
    /// for `window` milliseconds. One that does not vouch may count only those of its own side of a cut:
    /// it is not believed that there are fewer.
    #[must_use]
    pub fn told(self, now: Millis, count: usize, vouched: bool, window: Millis) -> Self {
        let count = count.max(1);
        if count >= self.number || vouched && !self.known {
            return Self {
                number: count,
                known: self.known || vouched,
                fewer: None,
            };
        }
        if !vouched {
            return self;
        }
        let fewer = self.fewer.map_or(
            Fewer {
                since: now,
                most: count,
            },
            |fewer| Fewer {
                most: fewer.most.max(count),
                ..fewer
            },
        );
        if now < fewer.since + window {
            return Self {
                fewer: Some(fewer),
                ..self
            };
        }
        Self {
            number: fewer.most,
            fewer: None,
            ..self
        }
    }
}
