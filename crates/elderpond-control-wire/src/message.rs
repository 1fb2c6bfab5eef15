//! What managers say to each other.

use std::fmt;
use std::net::Ipv4Addr;

use bytes::Bytes;
use elderpond_registry::{Change, Life, Number, State};
use serde::{Deserialize, Serialize};

use crate::{COMMON, OLDEST, VERSION, encode, encode_as};

/// The first message on a connection to a hive's inner port: who is there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Link {
    /// A hive; [`HiveToHive`] follows, one way.
    Hive {
        /// Its machine.
        node: Ipv4Addr,
    },
    /// A forager; [`FromForager`] follows, and [`FromHive`] comes back.
    Forager(Hello),
}

/// A forager names itself and what it knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Its machine.
    pub node: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// Drawn at its start.
    pub life: u64,
    /// The version in force there; 0 for none.
    pub version: u64,
    /// Lives that it knows to have left, the newest.
    pub departed: Vec<(Number, State)>,
}

/// What a forager met at a worker since its last report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Which life.
    pub worker: Number,
    /// Tries that ended and had run or should have.
    pub tries: u32,
    /// Those without a good answer.
    pub failed: u32,
    /// Tries that it turned away, full.
    pub shed: u32,
    /// Mean time of the good ones, in milliseconds.
    pub took_ms: u32,
    /// Requests running, waiting, and slots, as it said last.
    pub load: Option<(u16, u16, u16)>,
}

/// What a forager says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromForager {
    /// What it met. Sent about once a second, empty where there was nothing.
    Report {
        /// Milliseconds that it covers.
        covers_ms: u32,
        /// A line for each worker that was tried.
        lines: Vec<Line>,
        /// Lives whose address was found to belong to another.
        misplaced: Vec<Number>,
    },
    /// It goes in order.
    Leaving,
    /// It has taken in this version: the next one may be told.
    Taken {
        /// The version's number.
        version: u64,
    },
    /// It can't use the difference or the parts that came: it is to be told the version in force whole.
    AskWhole,
    /// It has taken in so many messages with departures on this connection, in all.
    DeparturesTaken {
        /// How many.
        count: u64,
    },
}

/// What a hive tells about twice a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pulse {
    /// Whether it reaches a majority of the voters.
    pub majority: bool,
    /// Foragers in the whole system, as far as it knows.
    pub foragers: u16,
    /// Hives that are alive, with their zones.
    pub hives: Vec<(Ipv4Addr, String)>,
}

/// Whether what a control node has told may pass for current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Vouch {
    /// No: it can't confirm with a majority of the voters that it knows the newest.
    No,
    /// Not yet: it knows the newest, which is still on its way to this proxy.
    Behind,
    /// Yes.
    Current,
}

/// What a control node tells about twice a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Whether what it has told on this connection may pass for current.
    pub vouch: Vouch,
    /// Proxies in the whole system, as far as it knows.
    pub proxies: u16,
    /// Control nodes that are alive, with their zones.
    pub control_nodes: Vec<(Ipv4Addr, String)>,
}

impl Heartbeat {
    /// Its frame to a proxy that speaks this version of the wire: it bears the newest that both do.
    #[must_use]
    pub fn frame(self, spoken_by_proxy: u8) -> Bytes {
        let wire = spoken_by_proxy.min(VERSION);
        if wire <= COMMON {
            return encode(&FromHive::Pulse(self.into()));
        }
        encode_as(wire, &FromHive::Heartbeat(self))
    }
}

impl From<Heartbeat> for Pulse {
    /// What version 5 of the wire says in the same place.
    fn from(heartbeat: Heartbeat) -> Self {
        Self {
            majority: heartbeat.vouch == Vouch::Current,
            foragers: heartbeat.proxies,
            hives: heartbeat.control_nodes,
        }
    }
}

impl From<Pulse> for Heartbeat {
    /// What version 5 of the wire says in the same place.
    fn from(pulse: Pulse) -> Self {
        Self {
            vouch: match pulse.majority {
                true => Vouch::Current,
                false => Vouch::No,
            },
            proxies: pulse.foragers,
            control_nodes: pulse.hives,
        }
    }
}

/// Versions of the wire that a program reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireVersions {
    /// The oldest.
    pub oldest: u8,
    /// The newest.
    pub newest: u8,
}

impl WireVersions {
    /// Those that this program reads.
    pub const HERE: Self = Self {
        oldest: OLDEST,
        newest: VERSION,
    };
}

impl fmt::Display for WireVersions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} to {}", self.oldest, self.newest)
    }
}

/// What the bytes of a version are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VersionForm {
    /// The configuration as the operator sent it.
    Whole,
    /// What differs from the version that the proxy was told before.
    Difference,
}

/// A part of a version that is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionPart {
    /// The version's number.
    pub version: u64,
    /// What its bytes are.
    pub form: VersionForm,
    /// How many there are in all parts.
    pub length: u32,
    /// How many there are in the parts before this one.
    pub offset: u32,
    /// Those of this part.
    pub bytes: Bytes,
}

/// What a hive says to a forager.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromHive {
    /// A version that is in force.
    Version {
        /// Its number.
        version: u64,
        /// As the operator sent it.
        body: Bytes,
    },
    /// The whole table.
    Whole {
        /// Whether the hive has heard of all who beat; otherwise lines it lacks may stay.
        settled: bool,
        /// The table, as a change from nothing.
        table: Change,
    },
    /// What differs since.
    Change(Change),
    /// That it is there.
    Pulse(Pulse),
    /// One of the others, deflated: see [`crate::pack`].
    Packed(Bytes),
    /// A part of a version; to peers of version 6 of the wire, in place of [`Self::Version`].
    VersionPart(VersionPart),
    /// That it is there; to peers of version 6 of the wire, in place of [`Self::Pulse`].
    Heartbeat(Heartbeat),
    /// The proxy speaks a version of the wire that is not read here; the link ends behind this.
    Refused {
        /// The version that it speaks.
        spoken: u8,
        /// Those that are read here.
        read: WireVersions,
    },
}

/// What a hive says to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum HiveToHive {
    /// About versions, marks and voters.
    Consensus(elderpond_consensus::Message),
    /// Lives, new or changed.
    Lives(Vec<Life>),
    /// Lives heard again that are otherwise as known: which, and milliseconds since.
    Heard(Vec<(Number, u32)>),
    /// Asks for all lives.
    AskLives,
    /// All lives; `settled` as in [`FromHive::Whole`].
    AllLives {
        /// Whether the sender has heard of all who beat.
        settled: bool,
        /// Every life known.
        lives: Vec<Life>,
    },
    /// What its foragers met, folded.
    Met {
        /// Milliseconds covered.
        covers_ms: u32,
        /// A line for each worker.
        lines: Vec<Line>,
    },
    /// How many foragers follow it.
    Foragers(u16),
}
