//! Databases of format 1, by sled: read at an opening, and then replaced.

use std::fs;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::thread;
use std::time::Duration;

use elderpond_consensus::{Head, Held, Mark, Stored};
use sled::{Db, Mode};

use crate::StorageError;
use crate::frame::{self, damaged};
use crate::store::COUNT_FILE;

/// sled's file.
pub(crate) const FILE: &str = "db";

/// What such a database holds.
///
/// # Errors
/// When it is damaged, held open by another process, or the disk refuses.
pub(crate) fn read(folder: &Path) -> Result<Option<Stored>, StorageError> {
    // sled panics at some kinds of damage.
    catch_unwind(AssertUnwindSafe(|| {
        let db = open(folder)?;
        let mut count = 0_u64;
        let mut head: Option<Head> = None;
        let (mut held, mut marks) = (Vec::<Held>::new(), Vec::<Mark>::new());
        for entry in db.iter() {
            let (key, value) = entry.map_err(|error| failed(folder, error))?;
            if &*key == b"head" {
                head = Some(frame::read(folder, &value)?);
            } else if &*key == b"count" {
                count = frame::read(folder, &value)?;
            } else if key.starts_with(b"held/") {
                held.push(frame::read(folder, &value)?);
            } else if key.starts_with(b"mark/") {
                marks.push(frame::read(folder, &value)?);
            }
        }
        // Torn by a loss of power, it says nothing.
        let beside = fs::read(folder.join(COUNT_FILE)).ok();
        if beside
            .and_then(|beside| frame::read::<u64>(folder, &beside).ok())
            .is_some_and(|beside| beside > count)
        {
            return Err(damaged(folder, "it misses what was durable"));
        }
        match head {
            None if held.is_empty() && marks.is_empty() => Ok(None),
            None => Err(damaged(folder, "its head is missing")),
            Some(head) => Ok(Some(Stored {
                head,
                held,
                marks,
                numbers: None,
            })),
        }
    }))
    .unwrap_or_else(|_| Err(damaged(folder, "sled cannot read it")))
}

fn open(folder: &Path) -> Result<Db, StorageError> {
    let config = sled::Config::new()
        .path(folder)
        .cache_capacity(1 << 20)
        .flush_every_ms(None)
        .mode(Mode::LowSpace);
    let mut tries = 0;
    loop {
        match config.open() {
            // One just closed here lets go of its lock a moment later.
            Err(sled::Error::Io(error)) if error.to_string().contains("lock") && tries < 50 => {
                tries += 1;
                thread::sleep(Duration::from_millis(20));
            }
            opened => return opened.map_err(|error| failed(folder, error)),
        }
    }
}

fn failed(folder: &Path, error: sled::Error) -> StorageError {
    let folder = folder.to_owned();
    let said = error.to_string();
    let damage = match &error {
        sled::Error::Io(io) => {
            matches!(
                io.kind(),
                io::ErrorKind::UnexpectedEof | io::ErrorKind::InvalidData
            ) || (io.kind() == io::ErrorKind::Other
                && io.raw_os_error().is_none()
                && !said.contains("lock"))
        }
        _ => true,
    };
    if damage {
        StorageError::Damaged { folder, said }
    } else {
        StorageError::Database { folder, said }
    }
}
