//! Simulated time: whole microseconds since the world's start.

/// A moment, or a span, in microseconds.
pub type Time = u64;

/// A moment that never comes.
pub const NEVER: Time = Time::MAX;
/// Microseconds in a second.
pub const SECOND: Time = 1_000_000;

/// No span is longer than this: some 30,000 years.
const LONGEST: f64 = 1e18;

/// A span of milliseconds in microseconds; not below 0, and never so long that moments overflow.
pub fn us(ms: f64) -> Time {
    (ms * 1000.0 + 0.5).min(LONGEST) as Time
}

/// A span of microseconds in milliseconds.
pub fn ms(us: Time) -> f64 {
    us as f64 / 1000.0
}
