//! One monotonic clock, set to Unix time once at the start.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::{Duration, Instant};

/// Tells Unix time in milliseconds; never steps back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    zero: Instant,
    unix_ms: f64,
}

impl Clock {
    /// A clock that agrees with the system's now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            zero: Instant::now(),
            unix_ms: unix.unwrap_or_default().as_secs_f64() * 1000.0,
        }
    }

    /// Now, in milliseconds.
    pub fn now_ms(&self) -> f64 {
        self.unix_ms + self.zero.elapsed().as_secs_f64() * 1000.0
    }

    /// The moment of a time in milliseconds; far ones are cut to an hour.
    pub fn moment(&self, at_ms: f64) -> Instant {
        let after = (at_ms - self.now_ms()).clamp(0.0, 3_600_000.0);
        Instant::now() + Duration::from_secs_f64(after / 1000.0)
    }
}
