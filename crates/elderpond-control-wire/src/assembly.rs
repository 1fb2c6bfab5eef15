//! Long versions in parts, between which short messages go.

use bytes::Bytes;

use crate::message::{FromHive, VersionForm, VersionPart};
use crate::{LARGEST, pack};

/// Bytes of a version in one part, before it is deflated.
const PART: usize = 32 << 10;

/// A version as frames, to be written in this order; other messages may go between them.
pub fn version_frames(version: u64, form: VersionForm, bytes: &Bytes) -> Vec<Bytes> {
    let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
    let offsets = (0..bytes.len().max(1)).step_by(PART);
    let part = |offset: usize| {
        let end = bytes.len().min(offset + PART);
        pack(&FromHive::VersionPart(VersionPart {
            version,
            form,
            length,
            offset: offset as u32,
            bytes: bytes.slice(offset..end),
        }))
    };
    offsets.map(part).collect()
}

/// A version whose parts have all come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssembledVersion {
    /// Its number.
    pub version: u64,
    /// What the bytes are.
    pub form: VersionForm,
    /// All of them.
    pub bytes: Vec<u8>,
}

/// A part that fits to none before it; the version has to be asked for again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a part of r{version} at byte {offset}, and {held} bytes are held")]
pub struct MisplacedPart {
    /// The version's number.
    pub version: u64,
    /// Where the part begins.
    pub offset: u32,
    /// Bytes that had come in order.
    pub held: usize,
}

/// Puts the parts of one version at a time together.
#[derive(Debug, Default)]
pub struct Assembly {
    partial: Option<Partial>,
}

#[derive(Debug)]
struct Partial {
    version: u64,
    form: VersionForm,
    length: usize,
    bytes: Vec<u8>,
}

impl Assembly {
    /// Takes in a part; the version, if that was the last one. A first part begins anew.
    ///
    /// # Errors
    ///
    /// The part belongs to something else, or is too long. What was held is dropped.
    pub fn take_in(
        &mut self,
        part: VersionPart,
    ) -> Result<Option<AssembledVersion>, MisplacedPart> {
        let length = part.length as usize;
        let mut partial = match (part.offset, self.partial.take()) {
            (0, _) => Partial {
                version: part.version,
                form: part.form,
                length,
                bytes: Vec::new(),
            },
            (_, Some(partial)) => partial,
            (offset, None) => {
                return Err(MisplacedPart {
                    version: part.version,
                    offset,
                    held: 0,
                });
            }
        };
        let held = partial.bytes.len();
        let same =
            (partial.version, partial.form, partial.length) == (part.version, part.form, length);
        let fits = held == part.offset as usize && held + part.bytes.len() <= length;
        if !same || !fits || length > LARGEST {
            return Err(MisplacedPart {
                version: part.version,
                offset: part.offset,
                held,
            });
        }
        partial.bytes.extend_from_slice(&part.bytes);
        if partial.bytes.len() < length {
            self.partial = Some(partial);
            return Ok(None);
        }
        Ok(Some(AssembledVersion {
            version: partial.version,
            form: partial.form,
            bytes: partial.bytes,
        }))
    }
}
