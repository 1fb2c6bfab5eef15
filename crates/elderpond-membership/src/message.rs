//! What hives say to each other.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

/// Bytes of a zone's name at most; what is longer is cut.
const ZONE_BYTES: usize = 32;

/// What a hive says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct About {
    /// Its zone; 32 bytes at most are kept.
    pub zone: String,
    /// The port that its clients reach it by.
    pub port: u16,
}

impl About {
    /// The same, cut to the bounds.
    pub(crate) fn bounded(mut self) -> Self {
        let end = self.zone.floor_char_boundary(ZONE_BYTES);
        self.zone.truncate(end);
        self
    }
}

/// How a hive stands; of two words on the same incarnation the later in this order holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    /// It answers, as far as is known.
    Alive,
    /// It did not answer; it may refute that.
    Suspect,
    /// It did not refute in time.
    Down,
    /// It has left as planned.
    Left,
}

/// One word on a hive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Which hive.
    pub node: Ipv4Addr,
    /// Raised by that hive alone: at its starts, and to refute.
    pub incarnation: u64,
    /// How it stands.
    pub status: Status,
    /// What it says of itself.
    pub about: About,
}

/// What a packet is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Asks for an [`Kind::Ack`].
    Ping {
        /// Returned with the answer.
        seq: u32,
        /// Whether the answer is to hold all that is known.
        all: bool,
    },
    /// Answers a [`Kind::Ping`].
    Ack {
        /// As it was asked.
        seq: u32,
    },
    /// Asks for a second opinion on a hive.
    Try {
        /// Returned with the answer.
        seq: u32,
        /// Which hive.
        node: Ipv4Addr,
    },
    /// The hive has answered the helper.
    Tried {
        /// As it was asked.
        seq: u32,
        /// Which hive.
        node: Ipv4Addr,
    },
}

/// What one hive sends another: under 1200 bytes with postcard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// What it is for.
    pub kind: Kind,
    /// The sender on itself.
    pub own: Record,
    /// Its words on others, 16 at most.
    pub news: Vec<Record>,
}
