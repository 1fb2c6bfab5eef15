//! A forager's decisions: workers to pick, tries, budget, limits, what an answer is worth, without
//! I/O.
//!
//! Nothing here holds a socket, a clock or a thread. Times are milliseconds on the host's steady
//! clock.

mod answer;
mod budget;
mod chance;
mod client_departure;
mod control_nodes;
mod heads;
mod proxy_count;
mod resend;
mod retries;
mod workers;

pub use answer::{Head, Named, Ours, Verdict, named, verdict};
pub use budget::{Budget, Means};
pub use chance::Chance;
pub use client_departure::{AfterClientLeft, Underway, after_client_left};
pub use control_nodes::{ControlNodeChoice, DIAL, NodeInZone, START_UNVOUCHED_AFTER, Step, Visit};
pub use heads::Heads;
pub use proxy_count::ProxyCount;
pub use resend::{Heard, May, Sent, end_of, keeps, may};
pub use retries::{Ask, End, Next, RetryState};
pub use workers::{KnownWorker, KnownWorkers, LARGE, Met, PickTuning, Want};

/// Milliseconds on a steady clock.
pub type Millis = u64;
