//! Workers' lives, folded from their beats, and the differences sent on, without I/O.
//!
//! Every start of a worker is a life. What is known of a life only grows: its state rises from
//! ready over draining to gone, its `call-sequence` rises with each call. So whatever is learnt in
//! whatever order, from workers, other hives or foragers, twice or late, comes to the same.

mod beat;
mod fold;
mod table;

pub use beat::{Beat, BeatError};
pub use fold::{Pace, Registry};
pub use table::{Change, Entry, Table};

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

/// Milliseconds on a steady clock.
pub type Millis = u64;

/// The number of a life: a digest of its identifier, the same everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Number(pub u64);

impl Number {
    /// Of an identifier. The digest (FNV-1a, 64 bits) is part of the wire.
    pub fn of(id: &str) -> Self {
        let digest = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |sum, byte| {
            (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        Self(digest)
    }
}

/// How far a life has come; it never goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Over.
    Gone,
}

/// What is known of a life.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Life {
    /// As the worker names itself.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Where it is reached.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u16,
    /// How far it has come.
    pub state: State,
    /// Of its newest call.
    pub sequence: u64,
    /// Milliseconds since it was heard of by any hive, when this was written.
    pub silent_ms: u32,
    /// Milliseconds for which it is still slow from its start, when this was written.
    pub cold_ms: u32,
}
