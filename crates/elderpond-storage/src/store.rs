//! One sled database: its keys, the framing of values, and syncing.

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

use elderpond_consensus::{Head, Held, Mark, Numbers, Record, Stored, Tag};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sled::{Batch, Db, Mode};

use crate::{StorageError, at, cell};

/// Written before each value. Formats up to this are read.
const FORMAT: u8 = 1;

const HEAD: &[u8] = b"head";
const HELD: &[u8] = b"held/";
const MARK: &[u8] = b"mark/";
const NUMBER: &[u8] = b"number/";
/// Up to which number nothing is known any more; missing where numbers were never kept.
const FORGOTTEN: &[u8] = b"forgotten";

/// How many puts there were; also kept in a file beside, one put late: where sled holds fewer it silently
/// dropped what was durable.
const COUNT: &[u8] = b"count";
const COUNT_FILE: &str = "elderpond-count";

/// Refuses a database that a later version wrote, as far as the file beside it tells, without opening it:
/// sled writes when it opens.
pub(crate) fn known(folder: &Path) -> Result<(), StorageError> {
    let beside = fs::read(folder.join(COUNT_FILE)).unwrap_or_default();
    match unframe(folder, &beside) {
        Err(error @ StorageError::Newer { .. }) => Err(error),
        _ => Ok(()),
    }
}

pub(crate) struct Store {
    folder: PathBuf,
    db: Db,
    /// Versions of the bodies in it.
    held: BTreeSet<u64>,
    /// Numbers of which it tells what they were given.
    numbers: BTreeSet<u64>,
    committed: Option<u64>,
    count: u64,
}

impl Store {
    pub(crate) fn open(folder: &Path) -> Result<(Self, Option<Stored>), StorageError> {
        // sled panics at some kinds of damage.
        let opened = catch_unwind(AssertUnwindSafe(|| {
            let db = open(folder)?;
            let (held, committed) = (BTreeSet::new(), None);
            let mut store = Self {
                folder: folder.to_owned(),
                db,
                held,
                numbers: BTreeSet::new(),
                committed,
                count: 0,
            };
            let stored = store.load()?;
            if let Some(count) = store.db.get(COUNT).map_err(|error| failed(folder, error))? {
                store.count = store.read(&count)?;
            }
            // Torn by a loss of power, it says nothing.
            let beside = fs::read(folder.join(COUNT_FILE)).ok();
            if beside
                .and_then(|beside| store.read::<u64>(&beside).ok())
                .is_some_and(|b| b > store.count)
            {
                return Err(damaged(folder, "it misses what was durable"));
            }
            if let Some(stored) = &stored {
                store.held = stored.held.iter().map(|held| held.tag.version).collect();
                let numbers = stored.numbers.iter().flat_map(|numbers| &numbers.given);
                store.numbers = numbers.map(|tag| tag.version).collect();
                store.committed = stored.head.committed.map(|tag| tag.version);
            }
            Ok((store, stored))
        }));
        opened.unwrap_or_else(|_| Err(damaged(folder, "sled cannot read it")))
    }

    /// Builds `cell-number`, complete or not at all.
    pub(crate) fn create(
        dir: &Path,
        number: u64,
        stored: Option<&Stored>,
    ) -> Result<Self, StorageError> {
        let fresh = dir.join(format!("fresh-{number}"));
        if fresh.exists() {
            fs::remove_dir_all(&fresh).map_err(at(&fresh))?;
        }
        let (mut store, _) = Self::open(&fresh)?;
        if let Some(stored) = stored {
            let bodies = stored.held.iter();
            let mut records: Vec<_> = bodies
                .map(|held| Record {
                    held: Some(held.clone()),
                    ..Record::default()
                })
                .collect();
            let (head, marks) = (Some(stored.head.clone()), stored.marks.clone());
            records.push(Record {
                head,
                marks,
                numbers: stored.numbers.clone(),
                ..Record::default()
            });
            store.put(&records)?;
        }
        sync_all(&fresh)?;
        drop(store);
        let folder = cell(dir, number);
        fs::rename(&fresh, &folder).map_err(at(&folder))?;
        sync(dir)?;
        if let Some(parent) = dir.parent().filter(|parent| !parent.as_os_str().is_empty()) {
            sync(parent)?;
        }
        Self::open(&folder).map(|(store, _)| store)
    }

    pub(crate) fn load(&self) -> Result<Option<Stored>, StorageError> {
        let mut head: Option<Head> = None;
        let (mut held, mut marks) = (Vec::<Held>::new(), Vec::<Mark>::new());
        let (mut given, mut forgotten) = (Vec::<Tag>::new(), None);
        for entry in self.db.iter() {
            let (key, value) = entry.map_err(|error| failed(&self.folder, error))?;
            if &*key == HEAD {
                head = Some(self.read(&value)?);
            } else if key.starts_with(HELD) {
                held.push(self.read(&value)?);
            } else if key.starts_with(MARK) {
                marks.push(self.read(&value)?);
            } else if key.starts_with(NUMBER) {
                given.push(self.read(&value)?);
            } else if &*key == FORGOTTEN {
                forgotten = Some(self.read(&value)?);
            }
        }
        match head {
            None if held.is_empty() && marks.is_empty() => Ok(None),
            None => Err(self.damaged("its head is missing")),
            Some(head) => Ok(Some(Stored {
                head,
                held,
                marks,
                numbers: forgotten.map(|forgotten| Numbers { forgotten, given }),
            })),
        }
    }

    fn damaged(&self, said: &str) -> StorageError {
        damaged(&self.folder, said)
    }

    fn read<T: DeserializeOwned>(&self, value: &[u8]) -> Result<T, StorageError> {
        let value = unframe(&self.folder, value)?;
        postcard::from_bytes(value).map_err(|_| self.damaged("a record cannot be understood"))
    }

    /// Makes the records durable; the size of all files then (bytes).
    pub(crate) fn put(&mut self, records: &[Record]) -> Result<u64, StorageError> {
        let mut batch = Batch::default();
        let mut held = self.held.clone();
        let mut numbers = self.numbers.clone();
        let mut committed = self.committed;
        let last_head = records.iter().rev().find_map(|record| record.head.as_ref());
        if let Some(head) = last_head {
            batch.insert(HEAD, frame(head));
            committed = head.committed.map(|tag| tag.version);
        }
        held.extend(
            records
                .iter()
                .filter_map(|record| Some(record.held.as_ref()?.tag.version)),
        );
        let newest = held.last().copied();
        let kept = |version: u64| Some(version) == newest || Some(version) == committed;
        for record in records {
            if let Some(held) = record.held.as_ref().filter(|held| kept(held.tag.version)) {
                batch.insert(key(HELD, &held.tag.version.to_be_bytes()), frame(held));
            }
            for mark in &record.marks {
                batch.insert(key(MARK, mark.key.as_bytes()), frame(mark));
            }
            for dropped in &record.dropped {
                batch.remove(key(MARK, dropped.as_bytes()));
            }
            let Some(changes) = &record.numbers else {
                continue;
            };
            for tag in &changes.given {
                batch.insert(key(NUMBER, &tag.version.to_be_bytes()), frame(tag));
                numbers.insert(tag.version);
            }
            while let Some(&lowest) = numbers.first().filter(|it| **it <= changes.forgotten) {
                batch.remove(key(NUMBER, &lowest.to_be_bytes()));
                numbers.remove(&lowest);
            }
            batch.insert(FORGOTTEN, frame(&changes.forgotten));
        }
        for version in held.iter().copied().filter(|&version| !kept(version)) {
            batch.remove(key(HELD, &version.to_be_bytes()));
        }
        held.retain(|&version| kept(version));
        batch.insert(COUNT, frame(&(self.count + 1)));
        let written = catch_unwind(AssertUnwindSafe(|| {
            self.db.apply_batch(batch)?;
            self.db.flush()
        }));
        let said = "sled gave up".to_owned();
        let folder = self.folder.clone();
        written
            .unwrap_or_else(|_| Err(sled::Error::ReportableBug(said)))
            .map_err(|error| StorageError::Database {
                folder,
                said: error.to_string(),
            })?;
        let beside = self.folder.join(COUNT_FILE);
        fs::write(&beside, frame(&self.count)).map_err(at(&beside))?;
        let size = sync_all(&self.folder)?;
        self.count += 1;
        (self.held, self.numbers, self.committed) = (held, numbers, committed);
        Ok(size)
    }
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

fn key(prefix: &[u8], rest: &[u8]) -> Vec<u8> {
    [prefix, rest].concat()
}

fn frame<T: Serialize>(value: &T) -> Vec<u8> {
    let start = vec![FORMAT, 0, 0, 0, 0];
    let mut framed = postcard::to_extend(value, start).expect("these always serialise");
    let sum = crc32fast::hash(&framed[5..]);
    framed[1..5].copy_from_slice(&sum.to_le_bytes());
    framed
}

/// The value in a frame of a format that is known.
fn unframe<'a>(folder: &Path, framed: &'a [u8]) -> Result<&'a [u8], StorageError> {
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
    Ok(value)
}

fn damaged(folder: &Path, said: &str) -> StorageError {
    StorageError::Damaged {
        folder: folder.to_owned(),
        said: said.into(),
    }
}

pub(crate) fn sync(path: &Path) -> Result<(), StorageError> {
    File::open(path)
        .and_then(|file| file.sync_all())
        .map_err(at(path))
}

/// Syncs every file and folder in it; the size of the files (bytes).
fn sync_all(folder: &Path) -> Result<u64, StorageError> {
    each(folder, &|path| match sync(path) {
        // sled removes files of its own beside us.
        Err(StorageError::Io { source, .. }) if source.kind() == io::ErrorKind::NotFound => Ok(()),
        synced => synced,
    })
}

pub(crate) fn size(folder: &Path) -> Result<u64, StorageError> {
    each(folder, &|_| Ok(()))
}

fn each(
    folder: &Path,
    with: &dyn Fn(&Path) -> Result<(), StorageError>,
) -> Result<u64, StorageError> {
    let mut size = 0;
    for entry in fs::read_dir(folder).map_err(at(folder))? {
        let path = entry.map_err(at(folder))?.path();
        match fs::symlink_metadata(&path) {
            Ok(data) if data.is_dir() => size += each(&path, with)?,
            Ok(data) => {
                with(&path)?;
                size += data.len();
            }
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(error) => return Err(at(&path)(error)),
        }
    }
    with(folder)?;
    Ok(size)
}
