//! How many proxies there are, by what control nodes tell.
//!
//! Connections to workers and the budget of retries are shared out by this number, so one that is too low
//! lets each proxy take more than its share.

/// Taken for the number until a control node tells it.
const UNKNOWN: usize = 16;

/// The number of proxies in the whole system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyCount(usize);

impl Default for ProxyCount {
    fn default() -> Self {
        Self(UNKNOWN)
    }
}

impl ProxyCount {
    /// The number, at least 1.
    #[must_use]
    pub fn get(self) -> usize {
        self.0
    }

    /// A control node counts so many. One that does not vouch may count only those of its own side of a
    /// cut: it is not believed that there are fewer.
    #[must_use]
    pub fn told(self, count: usize, vouched: bool) -> Self {
        let least = if vouched { 1 } else { self.0 };
        Self(count.max(least))
    }
}
