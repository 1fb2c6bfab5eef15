//! The managers' own wire: messages and frames.
//!
//! A frame is four bytes of length, most significant first, one byte of the wire's version, and a
//! message in postcard's encoding. Hives and foragers speak over TCP; the hives' probes of each
//! other are datagrams that hold a version byte and a packet.

mod frame;
mod message;
mod pack;

pub use frame::{ControlWireError, Frames, datagram, encode, read_datagram};
pub use message::{FromForager, FromHive, Hello, HiveToHive, Line, Link, Pulse};
pub use pack::{pack, unpack};

/// The wire's version. One that is not known is refused.
pub const VERSION: u8 = 5;
/// The oldest version that is read still: since then messages were only added.
pub const OLDEST: u8 = 2;
/// Bytes of a message at most: the largest configuration, of 8 MiB, and what is said around it.
pub const LARGEST: usize = (8 << 20) + (64 << 10);
