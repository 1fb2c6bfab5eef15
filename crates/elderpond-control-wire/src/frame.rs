//! Frames of the wire.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{COMMON, LARGEST, OLDEST, VERSION};

/// What is wrong with what came; the connection is of no further use.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum ControlWireError {
    /// A message over the bound.
    #[error("a message of {0} bytes; at most {LARGEST} are read")]
    Long(usize),
    /// Another version of the wire.
    #[error("version {0} of the wire; {OLDEST} to {VERSION} are read here")]
    Version(u8),
    /// Not a message.
    #[error("no message: {0}")]
    Malformed(postcard::Error),
    /// More bytes than the message.
    #[error("{0} bytes after the message")]
    Trailing(usize),
    /// Packed badly, or longer than a message may be.
    #[error("what was packed can't be read, or is over {LARGEST} bytes")]
    Packed,
    /// A frame without a version.
    #[error("an empty frame")]
    Empty,
}

/// A message as a frame.
pub fn encode<M: Serialize>(message: &M) -> Bytes {
    encode_as(COMMON, message)
}

/// A message as a frame of a version of the wire. With the first one on a connection, a program says which
/// messages it understands.
pub fn encode_as<M: Serialize>(version: u8, message: &M) -> Bytes {
    let head: &[u8] = &[0, 0, 0, 0, version];
    let mut frame = head.to_vec();
    // the message types hold nothing that can't be written
    frame = postcard::to_extend(message, frame).unwrap_or_default();
    let length = frame.len().saturating_sub(4) as u32;
    if let Some(at) = frame.get_mut(..4) {
        at.copy_from_slice(&length.to_be_bytes());
    }
    frame.into()
}

/// A packet as a datagram.
pub fn datagram<M: Serialize>(packet: &M) -> Bytes {
    let mut frame = BytesMut::new();
    frame.put_u8(COMMON);
    frame.put_slice(&postcard::to_allocvec(packet).unwrap_or_default());
    frame.freeze()
}

/// The packet in a datagram.
///
/// # Errors
///
/// What is wrong with it.
pub fn read_datagram<M: DeserializeOwned>(datagram: &[u8]) -> Result<M, ControlWireError> {
    let (version, rest) = datagram.split_first().ok_or(ControlWireError::Empty)?;
    if !(OLDEST..=VERSION).contains(version) {
        return Err(ControlWireError::Version(*version));
    }
    let (packet, rest) = postcard::take_from_bytes(rest).map_err(ControlWireError::Malformed)?;
    match rest.len() {
        0 => Ok(packet),
        more => Err(ControlWireError::Trailing(more)),
    }
}

/// Cuts a stream of bytes into messages.
#[derive(Debug, Default)]
pub struct Frames {
    /// What has come and was not read yet; append to it.
    pub buffer: BytesMut,
    /// The version of the wire that the last frame bore; 0 before the first one.
    version: u8,
}

impl Frames {
    /// The bytes of the message of which a part has come, if that part tells its length.
    #[must_use]
    pub fn partial(&self) -> Option<usize> {
        let head = self.buffer.first_chunk::<4>()?;
        Some(u32::from_be_bytes(*head) as usize)
    }

    /// The version of the wire that the last frame bore; 0 before the first one.
    #[must_use]
    pub fn version(&self) -> u8 {
        self.version
    }

    /// The next message, once it is there whole.
    ///
    /// # Errors
    ///
    /// What is wrong with the stream; it is of no further use.
    pub fn read<M: DeserializeOwned>(&mut self) -> Result<Option<M>, ControlWireError> {
        let Some(head) = self.buffer.first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        if length > LARGEST {
            return Err(ControlWireError::Long(length));
        }
        if self.buffer.len() < 4 + length {
            return Ok(None);
        }
        self.buffer.advance(4);
        let frame = self.buffer.split_to(length);
        self.version = frame.first().copied().unwrap_or_default();
        read_datagram(&frame).map(Some)
    }
}
