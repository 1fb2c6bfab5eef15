//! What a majority of disks holds: the configuration's register, departures and the set of voters, without
//! I/O.
//!
//! **Versions are acknowledged once a majority of disks holds them: no log, no leader.**
//!
//! *The register.* Each version is decided by itself in two steps: a majority promises to take no lower
//! ballot for it (and tells what it accepted), then a majority holds the body on disk. An acceptor holds one
//! body only, the highest version's; it nacks lower ones. Of two bodies of one version, the one with the
//! highest ballot among a majority's answers is gone on with, whoever asks; so at most one is ever
//! acknowledged, and a recovery without the proposers ends the same way. Promises are not written one by one:
//! the disk holds a ceiling above every round promised, and after a start lower rounds are refused.
//!
//! *Numbers.* What an acceptor accepted of a version, ballot and digest, outlives the body, for as many of
//! the highest numbers as the bound has. Once a higher version is in force the same decree goes on by digest
//! alone, so that a number is given to one body for ever, overtaken or not.
//!
//! *Repair.* What is too long for one message goes in pieces that the receiver asks for, of anyone who holds
//! it; marks are compared by the sums of their buckets. A body counts once it is whole and fits its digest.
//!
//! *The set of voters.* The voters of epoch n decide the set of n + 1 by a single decree. A hive which knows
//! of n + 1 takes no part in n any more. A member of the new set votes once it has merged what a majority of
//! the old voters held when they knew of the new set (at least one of which had itself voted in n), or all of
//! what a hive holds which already votes in n + 1. So whatever was acknowledged lives on while a majority of
//! each old set does, until the new one has taken over. Accepting a set fences nobody: only its decision
//! does.

mod acceptor;
mod ballots;
mod dispatch;
mod handover;
mod learner;
mod marking;
mod marks;
mod numbers;
mod proposer;
mod reads;
mod reconfiguration;
mod repair;
mod replica;
mod state_transfer;
mod types;
mod voter_selection;
mod writing;

pub use replica::Replica;
#[doc(hidden)]
pub use types::Mutant;
pub use types::{
    Action, Ballot, Beat, Digest, Event, Found, HandOver, Head, Held, Mark, Message, Millis,
    Numbers, Place, Record, Refusal, Rules, Status, Stored, Tag, Voter, VoterSet, VoterStatus,
};
pub use voter_selection::{Selection, Standing};
