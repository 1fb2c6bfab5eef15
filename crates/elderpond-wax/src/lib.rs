//! Orders that carry a key, held by a majority of disks so that each takes effect once, without I/O.
//!
//! **A key is a register of its own, changed by ballots: no log, no leader, no lease.**
//!
//! A change asks a majority of the voters for what they hold, works out the next value from the one with the
//! highest ballot, and has it held on a majority's disks before it tells anybody. So two claims of a key at
//! once, on whatever hives, give one owner; what a hive leaves half done is finished by whoever asks next.
//! The voters are the replica's, and so are the rules by which their sets change; see `docs/keys.md`.

mod errand;
mod order;
mod types;
mod voters;
mod wax;

pub use errand::{Errand, Ran, Reply, Step};
pub use order::{Answer, Claim, Outcome, Owner, Value, Word, turn};
#[doc(hidden)]
pub use types::Mutant;
pub use types::{
    Action, Cell, Event, Found, Head, Kept, Key, Listed, Message, Record, Rules, Stored,
};
pub use wax::Wax;
