//! The fleet at size: the same hives and foragers' decisions at any number of machines, in calm and at one
//! event at a time, with everything that crosses between machines counted.
//!
//! Counts are messages and bytes in the wire's own encoding, not time, so they are the same on every machine.

mod cases;
mod field;
mod tally;

pub use cases::{Row, patches, rows};
pub use field::{Field, Size, configuration};
pub use tally::{Count, Tally, most};
