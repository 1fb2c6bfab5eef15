//! Several sources of workers, one list, and a stated rule when they disagree.
//!
//! Sans-IO: whoever listens to a source hands its words to [`Merge::hear`] with the time, and gets
//! what the list of the module is to be told. The rule of disagreement is `docs/sources.md`, decided
//! in [`verdict`] and nowhere else.
//!
//! | file | its one concern |
//! | --- | --- |
//! | `member` | who a worker is, whoever speaks of it |
//! | `verdict` | what holds of a worker when sources differ: one function |
//! | `absence` | when a worker that an answer lacks is gone |
//! | `srv` | priorities and weights of service records |
//! | `merge` | the sources, what each has said, and the one list |

mod absence;
mod member;
mod merge;
mod srv;
mod verdict;

pub use absence::Patience;
pub use member::{Identity, Member};
pub use merge::{Counts, Disagreement, Kind, Merge, Out, Snapshot, SourceId, Word};
pub use srv::{Service, listed};
pub use verdict::{Authority, Claim, Verdict, verdict};
