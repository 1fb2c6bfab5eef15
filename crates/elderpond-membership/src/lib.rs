//! Which hives there are: probes in turn, second opinions and suspicion, without I/O.
//!
//! A hive probes a few others in turn. Who does not answer is probed once more, and a few helpers are
//! asked to try as well, since a datagram may be lost and a cut may be one-way. Who answers nobody is
//! suspected, which is told to all and to itself; it refutes by raising its incarnation, or is down when the
//! suspicion has lasted. Nobody is taken for down by hearsay: the word of another only starts a
//! suspicion, so that a hive which hears nothing cannot pull the others down.
//!
//! Each packet holds its sender's own record and the newest news. Seeds and members that are down are
//! knocked at slowly, and a first contact exchanges all that both know.

mod membership;
mod message;
mod pace;

pub use membership::{Action, Event, Member, Membership};
pub use message::{About, Kind, Packet, Record, Status};
pub use pace::{Millis, Pace, PaceError};
