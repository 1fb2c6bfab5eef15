//! Rehearses incidents: plays a scenario against elderpond's decisions in simulated time, or against
//! the built manager on loopback sockets, and says what service came of it and whether the rules held.

pub mod listing;
pub mod policy;
pub mod scenarios;
pub mod sockets;
pub mod trace;
pub mod virtually;
