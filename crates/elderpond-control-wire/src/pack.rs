//! Large messages to foragers, deflated: a forager's link may be a thousandth of a hive's.

use bytes::Bytes;
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;

use crate::{ControlWireError, FromHive, LARGEST, encode};

/// Frames shorter than this go as they are, in bytes.
const SMALL: usize = 2048;
/// Of 10: a hive deflates once for all its foragers.
const LEVEL: u8 = 3;
/// Bytes before the message in a frame: length and version.
const HEAD: usize = 5;

/// A message as a frame, deflated where that makes a large one smaller.
pub fn pack(message: &FromHive) -> Bytes {
    let plain = encode(message);
    let Some(inner) = plain.get(HEAD..).filter(|_| plain.len() >= SMALL) else {
        return plain;
    };
    let packed = encode(&FromHive::Packed(compress_to_vec(inner, LEVEL).into()));
    if packed.len() < plain.len() {
        packed
    } else {
        plain
    }
}

/// The message itself, if it was packed.
///
/// # Errors
///
/// What was packed is no message, is packed once more, or is longer than a message may be.
pub fn unpack(message: FromHive) -> Result<FromHive, ControlWireError> {
    let FromHive::Packed(packed) = message else {
        return Ok(message);
    };
    let inner =
        decompress_to_vec_with_limit(&packed, LARGEST).map_err(|_| ControlWireError::Packed)?;
    match postcard::take_from_bytes(&inner).map_err(ControlWireError::Malformed)? {
        (FromHive::Packed(_), _) => Err(ControlWireError::Packed),
        (message, []) => Ok(message),
        (_, rest) => Err(ControlWireError::Trailing(rest.len())),
    }
}
