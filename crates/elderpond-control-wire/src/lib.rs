//! The managers' own wire: messages and frames.
//!
//! A frame is four bytes of length, most significant first, one byte of the wire's version, and a
//! message in postcard's encoding. Hives and foragers speak over TCP; the hives' probes of each
//! other are datagrams that hold a version byte and a packet.

mod assembly;
mod frame;
mod message;
mod pack;

pub use assembly::{AssembledVersion, Assembly, MisplacedPart, version_frames};
pub use frame::{ControlWireError, Frames, datagram, encode, encode_as, read_datagram};
pub use message::{
    FromForager, FromHive, Heartbeat, Hello, HiveToHive, Line, Link, Pulse, VersionForm,
    VersionPart, Vouch, WireVersions,
};
pub use pack::{pack, unpack};

/// The newest version of the wire. One that is not known is refused.
///
/// A proxy says with the first frame of a link which one it speaks, a control node with its heartbeats: the
/// newest that both do. The end of a link, or silence on it, says nothing about versions.
pub const VERSION: u8 = 6;
/// The version that frames bear whose messages it knows: programs of that version read them.
pub const COMMON: u8 = 5;
/// The oldest version that is read still: since then messages were only added.
pub const OLDEST: u8 = 2;
/// Bytes of a message at most: the largest configuration, of 8 MiB, and what is said around it.
pub const LARGEST: usize = (8 << 20) + (64 << 10);
