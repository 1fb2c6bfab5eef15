//! Links of proxies that carry so many bits a second in each direction.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// One direction of a proxy's link; the proxy by its place in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Link {
    /// To the proxy.
    To(usize),
    /// From the proxy.
    From(usize),
}

/// What the links of all proxies carry.
#[derive(Debug)]
pub struct LinkRate {
    bytes_per_s: f64,
    /// When what was sent on a link has crossed it.
    free_at: RefCell<HashMap<Link, Instant>>,
}

impl LinkRate {
    /// Links of so many megabits a second.
    #[must_use]
    pub fn new(megabits_per_s: f64) -> Self {
        Self {
            bytes_per_s: megabits_per_s * 1e6 / 8.0,
            free_at: RefCell::default(),
        }
    }

    /// Waits until so many bytes have crossed a link, behind all that was sent on it before.
    pub async fn cross(&self, link: Link, bytes: usize) {
        sleep_until(self.send(link, bytes)).await;
    }

    /// Notes that bytes are sent on a link; when they have crossed it.
    fn send(&self, link: Link, bytes: usize) -> Instant {
        let takes = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        let now = Instant::now();
        let mut free_at = self.free_at.borrow_mut();
        let free = free_at.entry(link).or_insert(now);
        *free = now.max(*free) + takes;
        *free
    }
}
