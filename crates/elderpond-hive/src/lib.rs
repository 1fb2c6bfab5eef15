//! The hive: takes beats and configurations, keeps and spreads them, and brings foragers their table.
//!
//! [`Hive`] is the whole of its decisions, without sockets, clocks or threads: events go in, actions come
//! out, so that a fleet of hives runs in memory. It joins what the smaller packages know: the replica (what a
//! majority of disks holds), the membership (which hives there are), the registry (workers' lives) and nectar
//! (published weights). [`run`] puts it on sockets; calls from outside are decoded into [`Command`]s, which
//! the one task that owns the hive carries out.
//!
//! What holds it together:
//!
//! - *What is known only grows.* Lives rise from ready over draining to gone, versions rise; every message
//!   may be lost, doubled or late. Lives that were told and not heard of are asked for again, whole.
//! - *A departure is acknowledged when a majority of disks holds it* and this hive reaches a majority itself.
//! - *A hive that stood still, or is cut off, takes nobody for silent:* it would have heard nothing.
//! - *One hive probes a worker,* the same in everyone's view; its answer is told to the others.

mod command;
mod core;
mod error;
mod journal;
mod links;
mod probe;
mod run;
mod serve;

pub use command::{Answer, Command};
pub use core::{
    Action, Contact, Event, Hive, LEASE, LEFTOVERS, LinkId, Place, Ticket, VersionPace,
};
pub use error::ErrorKind;
pub use journal::{Journal, Noted, What};
pub use probe::{Probed, probe};
pub use run::run;

/// Milliseconds on a steady clock.
pub type Millis = u64;
