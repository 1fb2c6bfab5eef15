//! How a record stands on disk: the format's number, a check sum, the value.

use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::StorageError;

/// Written before each value. Formats up to this are read.
pub(crate) const FORMAT: u8 = 2;

pub(crate) fn frame<T: Serialize>(value: &T) -> Vec<u8> {
    let start = vec![FORMAT, 0, 0, 0, 0];
    let mut framed = postcard::to_extend(value, start).expect("these always serialise");
    let sum = crc32fast::hash(&framed[5..]);
    framed[1..5].copy_from_slice(&sum.to_le_bytes());
    framed
}

/// The value in a frame of a format that is known.
pub(crate) fn read<T: DeserializeOwned>(folder: &Path, framed: &[u8]) -> Result<T, StorageError> {
    let Some((&[format, a, b, c, d], value)) = framed.split_first_chunk::<5>() else {
        return Err(damaged(folder, "a record is cut short"));
    };
    if crc32fast::hash(value) != u32::from_le_bytes([a, b, c, d]) {
        return Err(damaged(folder, "a record fails its checksum"));
    }
    if format > FORMAT {
        return Err(StorageError::Newer {
            folder: folder.to_owned(),
            found: format,
            known: FORMAT,
        });
    }
    postcard::from_bytes(value).map_err(|_| damaged(folder, "a record cannot be understood"))
}

pub(crate) fn damaged(folder: &Path, said: &str) -> StorageError {
    StorageError::Damaged {
        folder: folder.to_owned(),
        said: said.into(),
    }
}
