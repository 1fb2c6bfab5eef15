//! A forager's decisions: workers to pick, tries, budget, limits, what an answer is worth, without
//! I/O.
//!
//! Nothing here holds a socket, a clock or a thread. Times are milliseconds on the host's steady
//! clock.

mod answer;
mod budget;
mod chance;
mod departure;
mod follow;
mod heads;
mod patch;
mod resend;
mod trip;

pub use answer::{Head, Named, Ours, Verdict, named, verdict};
pub use budget::{Budget, Means};
pub use chance::Chance;
pub use departure::{AfterDeparture, Underway, after_departure};
pub use follow::{ALONE, Follow, Known, Step};
pub use heads::Heads;
pub use patch::{Flower, LARGE, Met, Patch, Taste, Want};
pub use resend::{Heard, May, Sent, end_of, keeps, may};
pub use trip::{Ask, End, Next, Trip};

/// Milliseconds on a steady clock.
pub type Millis = u64;
