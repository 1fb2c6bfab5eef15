//! What each worker yields: ceilings and published weights by elderpond's decisions, one manager a service.
//!
//! [`Nectar`] holds an [`elderpond::Manager`] for each service. Reports and results of probes are
//! folded per worker and handed to it in one batch a look; what it writes to the one shared table is the
//! published weight. Everything is listed with weight 1.
//!
//! What this crate adds to the manager's decisions, and why:
//!
//! - *Times are told as parts of the service's aim.* A manager's classes are fixed for its life, and it asks
//!   them for the mean aim only. So a new configuration keeps readings and ceilings.
//! - *Tries that a worker turned away because it was full are no reading.* They are neither failed nor
//!   good: full is no fault, and no sign of room either.
//! - *Probes are bounded.* Turns go to who waits longest; a good answer earns one more turn at once, as it
//!   takes two to earn a step. Where turns are rare, a failed probe stands until the next turn, for
//!   [`STANDS_MS`] at most: else the lapse of readings would put dead workers back to work.
//! - *Drains take effect in the call that tells of them*, before any look.

mod nectar;
mod service;

pub use nectar::{
    Condition, Explained, Line, Load, Millis, Nectar, Outcome, Rules, ServiceAims, Standing,
};
pub use service::STANDS_MS;
