//! Days of a whole fleet in memory, by seed: hives as they run, foragers as far as control concerns them,
//! workers that beat and leave, operators, and the troubles of a deployment alone and together.
//!
//! A [`Story`] says what goes wrong when; [`play`] plays it and says which promise was broken first;
//! [`shortest`] drops troubles and shortens spans for as long as one still is.

mod ledger;
mod parts;
pub mod size;
mod story;
mod world;

pub use ledger::Rule;
#[doc(hidden)]
pub use story::Mutant;
pub use story::{Aim, Cut, How, Kind, PAIRS, Story, Trouble, shortest};
pub use world::{Summary, play};

/// Milliseconds on the simulated clock.
pub type Millis = u64;
