//! One redb database: its tables, and what is checked when it is opened.

use std::collections::BTreeMap;
use std::fs::{self, File, TryLockError};
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

use bytes::{Bytes, BytesMut};
use elderpond_consensus::{Digest, Head, Held, Mark, Numbers, Record, Stored, Tag};
use redb::{
    Builder, Database, ReadTransaction, ReadableDatabase, ReadableTable, StorageBackend,
    TableDefinition, TableError,
};

use crate::files::{Backend, Files};
use crate::frame::{self, damaged, frame};
use crate::{StorageError, at};

/// The database's file.
pub(crate) const FILE: &str = "records";

/// A file beside: how many puts are durable, and first of all the format. A database that holds fewer has
/// lost what was durable.
pub(crate) const COUNT_FILE: &str = "elderpond-count";

/// The head, and how many puts there were.
const RECORDS: TableDefinition<&str, &[u8]> = TableDefinition::new("records");
const HEAD: &str = "head";
const COUNT: &str = "count";
/// Up to which number nothing is known any more; missing where numbers were never kept.
const FORGOTTEN: &str = "forgotten";

/// By version: the tag, and how many bytes its body has.
const HELD: TableDefinition<u64, &[u8]> = TableDefinition::new("held");

/// Bodies, by version and place. A piece fills a page of 64 KiB.
const PIECES: TableDefinition<(u64, u32), &[u8]> = TableDefinition::new("pieces");
const PIECE: usize = 65_000;

/// What each number was given.
const NUMBERS: TableDefinition<u64, &[u8]> = TableDefinition::new("numbers");

const MARKS: TableDefinition<&str, &[u8]> = TableDefinition::new("marks");

/// What redb may keep in memory (bytes). Half of it is for a put; of a larger one the rest is written twice.
const CACHE: usize = 4 << 20;

pub(crate) struct Store {
    folder: PathBuf,
    files: Files,
    db: Database,
    /// The bodies in it.
    held: BTreeMap<u64, Digest>,
    committed: Option<u64>,
    count: u64,
    /// What the file beside says.
    told: Option<u64>,
}

impl Store {
    /// Builds a database in this folder, which is made: complete and durable, but for the folder's own name.
    pub(crate) fn build(
        files: &Files,
        folder: &Path,
        stored: Option<&Stored>,
    ) -> Result<(), StorageError> {
        if folder.exists() {
            files.remove(folder)?;
        }
        files.make(folder)?;
        let path = folder.join(FILE);
        let file = files.create(&path)?;
        let db = database(folder, backend(files, file, &path))?;
        let mut store = Self {
            folder: folder.to_owned(),
            files: files.clone(),
            db,
            held: BTreeMap::new(),
            committed: None,
            count: 0,
            told: None,
        };
        if let Some(stored) = stored {
            let bodies = stored.held.iter().map(|held| Record {
                held: Some(held.clone()),
                ..Record::default()
            });
            let rest = Record {
                head: Some(stored.head.clone()),
                marks: stored.marks.clone(),
                numbers: stored.numbers.clone(),
                ..Record::default()
            };
            store.put(&bodies.chain([rest]).collect::<Vec<_>>())?;
        }
        store.settle()?;
        store.db.close().map_err(|error| failed(folder, error))?;
        files.sync(folder)
    }

    /// Opens it, with what it holds. All of that is durable then: redb syncs what a process that was killed
    /// wrote last before it reads.
    pub(crate) fn open(
        files: &Files,
        folder: &Path,
    ) -> Result<(Self, Option<Stored>), StorageError> {
        let path = folder.join(FILE);
        let file = open_file(folder, &path)?;
        lock(folder, || file.try_lock())?;
        let db = database(folder, backend(files, file, &path))?;
        let (stored, count) = load(folder, &db)?;
        let told = told(folder);
        if told.is_some_and(|told| told > count) {
            return Err(damaged(folder, "it misses what was durable"));
        }
        let held = stored.iter().flat_map(|stored| &stored.held);
        let store = Self {
            folder: folder.to_owned(),
            files: files.clone(),
            db,
            held: held
                .map(|held| (held.tag.version, held.tag.digest))
                .collect(),
            committed: stored
                .as_ref()
                .and_then(|stored| Some(stored.head.committed?.version)),
            count,
            told,
        };
        Ok((store, stored))
    }

    /// What is in it, from a copy in memory; the file is only read.
    pub(crate) fn read_only(folder: &Path) -> Result<Option<Stored>, StorageError> {
        let path = folder.join(FILE);
        let file = open_file(folder, &path)?;
        lock(folder, || file.try_lock_shared())?;
        let bytes = fs::read(&path).map_err(at(&path))?;
        let copy = redb::backends::InMemoryBackend::new();
        copy.set_len(bytes.len() as u64)
            .and_then(|()| copy.write(0, &bytes))
            .map_err(at(&path))?;
        let (stored, count) = load(folder, &database(folder, copy)?)?;
        if told(folder).is_some_and(|told| told > count) {
            return Err(damaged(folder, "it misses what was durable"));
        }
        Ok(stored)
    }

    /// Makes the records durable, as one.
    pub(crate) fn put(&mut self, records: &[Record]) -> Result<(), StorageError> {
        let folder = self.folder.clone();
        catch_unwind(AssertUnwindSafe(|| self.commit(records)))
            .unwrap_or_else(|_| Err(redb::Error::Corrupted("redb gave up".into())))
            .map_err(|error| StorageError::Database {
                folder,
                said: error.to_string(),
            })
    }

    fn commit(&mut self, records: &[Record]) -> Result<(), redb::Error> {
        let mut committed = self.committed;
        let last_head = records.iter().rev().find_map(|record| record.head.as_ref());
        if let Some(head) = last_head {
            committed = head.committed.map(|tag| tag.version);
        }
        // Of each version the last one counts.
        let new: BTreeMap<u64, &Held> = records
            .iter()
            .filter_map(|record| Some((record.held.as_ref()?.tag.version, record.held.as_ref()?)))
            .collect();
        let mut held = self.held.clone();
        held.extend(
            new.iter()
                .map(|(version, held)| (*version, held.tag.digest)),
        );
        let newest = held.keys().last().copied();
        held.retain(|version, _| Some(*version) == newest || Some(*version) == committed);

        let write = self.db.begin_write()?;
        {
            let mut table = write.open_table(RECORDS)?;
            if let Some(head) = last_head {
                table.insert(HEAD, frame(head).as_slice())?;
            }
            table.insert(COUNT, frame(&(self.count + 1)).as_slice())?;
            let (mut tags, mut pieces) = (write.open_table(HELD)?, write.open_table(PIECES)?);
            for (version, digest) in &self.held {
                if held.get(version) != Some(digest) {
                    tags.remove(version)?;
                    pieces.retain_in((*version, 0)..=(*version, u32::MAX), |_, _| false)?;
                }
            }
            for (version, new) in new.iter().filter(|(version, _)| held.contains_key(version)) {
                tags.insert(version, frame(&(new.tag, new.body.len())).as_slice())?;
                // By a later ballot the body is the same.
                if self.held.get(version) != Some(&new.tag.digest) {
                    for (place, piece) in (0..).zip(new.body.chunks(PIECE)) {
                        pieces.insert((*version, place), piece)?;
                    }
                }
            }
            let mut numbers = write.open_table(NUMBERS)?;
            for changes in records.iter().filter_map(|record| record.numbers.as_ref()) {
                for tag in &changes.given {
                    numbers.insert(tag.version, frame(tag).as_slice())?;
                }
                numbers.retain_in(..=changes.forgotten, |_, _| false)?;
                table.insert(FORGOTTEN, frame(&changes.forgotten).as_slice())?;
            }
            let mut marks = write.open_table(MARKS)?;
            for record in records {
                for mark in &record.marks {
                    marks.insert(mark.key.as_str(), frame(mark).as_slice())?;
                }
                for dropped in &record.dropped {
                    marks.remove(dropped.as_str())?;
                }
            }
        }
        write.commit()?;
        self.count += 1;
        (self.held, self.committed) = (held, committed);
        Ok(())
    }

    /// Tells the file beside how many puts are durable.
    pub(crate) fn settle(&mut self) -> Result<(), StorageError> {
        if self.told != Some(self.count) {
            let beside = self.folder.join(COUNT_FILE);
            self.files.put(&beside, &frame(&self.count))?;
            self.told = Some(self.count);
        }
        Ok(())
    }
}

/// Refuses a database that a later version wrote, as far as the file beside it tells, without opening it.
pub(crate) fn known(folder: &Path) -> Result<(), StorageError> {
    let beside = fs::read(folder.join(COUNT_FILE)).unwrap_or_default();
    match frame::read::<u64>(folder, &beside) {
        Err(error @ StorageError::Newer { .. }) => Err(error),
        _ => Ok(()),
    }
}

/// What the file beside says; torn by a loss of power, nothing.
fn told(folder: &Path) -> Option<u64> {
    let beside = fs::read(folder.join(COUNT_FILE)).ok()?;
    frame::read(folder, &beside).ok()
}

fn open_file(folder: &Path, path: &Path) -> Result<File, StorageError> {
    let opened = File::options().read(true).write(true).open(path);
    let file = opened.map_err(|error| match error.kind() {
        io::ErrorKind::NotFound => damaged(folder, &format!("it holds no file {FILE}")),
        _ => at(path)(error),
    })?;
    // redb would begin anew there.
    match file.metadata().map_err(at(path))?.len() {
        0 => Err(damaged(folder, "its database is empty")),
        _ => Ok(file),
    }
}

/// Whoever has just closed it lets go a moment later.
pub(crate) fn lock(
    folder: &Path,
    mut tried: impl FnMut() -> Result<(), TryLockError>,
) -> Result<(), StorageError> {
    let mut tries = 0;
    loop {
        match tried() {
            Ok(()) => return Ok(()),
            Err(TryLockError::WouldBlock) if tries < 25 => {
                tries += 1;
                std::thread::sleep(std::time::Duration::from_millis(20));
            }
            Err(TryLockError::WouldBlock) => {
                let folder = folder.to_owned();
                return Err(StorageError::Open { folder });
            }
            Err(TryLockError::Error(error)) => return Err(at(folder)(error)),
        }
    }
}

fn backend(files: &Files, file: File, path: &Path) -> Backend {
    Backend {
        file,
        path: path.to_owned(),
        files: files.clone(),
    }
}

/// Opens a database with all checksums of its pages compared; a put that was not complete is undone.
fn database(folder: &Path, backend: impl StorageBackend) -> Result<Database, StorageError> {
    let mut builder = Builder::new();
    builder
        .set_cache_size(CACHE)
        .set_check_integrity_on_open(true);
    catch_unwind(AssertUnwindSafe(|| builder.create_with_backend(backend)))
        .unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::InvalidData).into()))
        .map_err(|error| failed(folder, error))
}

fn load(folder: &Path, db: &Database) -> Result<(Option<Stored>, u64), StorageError> {
    let read = db.begin_read().map_err(|error| failed(folder, error))?;
    let caught = catch_unwind(AssertUnwindSafe(|| raw(&read)));
    let raw = caught
        .unwrap_or_else(|_| Err(redb::Error::Corrupted("redb cannot read it".into())))
        .map_err(|error| failed(folder, error))?;
    let head: Option<Head> = match raw.head {
        Some(head) => Some(frame::read(folder, &head)?),
        None => None,
    };
    let count = match raw.count {
        Some(count) => frame::read(folder, &count)?,
        None => 0,
    };
    let mut held = Vec::new();
    for tag in &raw.held {
        let (tag, length): (Tag, usize) = frame::read(folder, tag)?;
        let caught = catch_unwind(AssertUnwindSafe(|| body(&read, tag.version, length)));
        let body = caught
            .unwrap_or_else(|_| Err(redb::Error::Corrupted("redb cannot read it".into())))
            .map_err(|error| failed(folder, error))?;
        if body.len() != length {
            return Err(damaged(folder, "a body is cut short"));
        }
        held.push(Held { tag, body });
    }
    let marks = raw.marks.iter().map(|mark| frame::read(folder, mark));
    let marks: Vec<Mark> = marks.collect::<Result<_, _>>()?;
    let given = raw.numbers.iter().map(|tag| frame::read(folder, tag));
    let given: Vec<Tag> = given.collect::<Result<_, _>>()?;
    let numbers = match raw.forgotten {
        Some(forgotten) => Some(Numbers {
            forgotten: frame::read(folder, &forgotten)?,
            given,
        }),
        None => None,
    };
    match head {
        None if held.is_empty() && marks.is_empty() => Ok((None, count)),
        None => Err(damaged(folder, "its head is missing")),
        Some(head) => {
            let stored = Stored {
                head,
                held,
                marks,
                numbers,
            };
            Ok((Some(stored), count))
        }
    }
}

/// All there is but bodies, in frames.
#[derive(Default)]
struct Raw {
    head: Option<Vec<u8>>,
    count: Option<Vec<u8>>,
    forgotten: Option<Vec<u8>>,
    numbers: Vec<Vec<u8>>,
    held: Vec<Vec<u8>>,
    marks: Vec<Vec<u8>>,
}

fn raw(read: &ReadTransaction) -> Result<Raw, redb::Error> {
    let mut raw = Raw::default();
    if let Some(table) = table(read, RECORDS)? {
        raw.head = table.get(HEAD)?.map(|value| value.value().to_vec());
        raw.count = table.get(COUNT)?.map(|value| value.value().to_vec());
        raw.forgotten = table.get(FORGOTTEN)?.map(|value| value.value().to_vec());
    }
    if let Some(table) = table(read, HELD)? {
        for entry in table.iter()? {
            raw.held.push(entry?.1.value().to_vec());
        }
    }
    if let Some(table) = table(read, NUMBERS)? {
        for entry in table.iter()? {
            raw.numbers.push(entry?.1.value().to_vec());
        }
    }
    if let Some(table) = table(read, MARKS)? {
        for entry in table.iter()? {
            raw.marks.push(entry?.1.value().to_vec());
        }
    }
    Ok(raw)
}

fn body(read: &ReadTransaction, version: u64, length: usize) -> Result<Bytes, redb::Error> {
    let mut body = BytesMut::with_capacity(length);
    if let Some(table) = table(read, PIECES)? {
        for piece in table.range((version, 0)..=(version, u32::MAX))? {
            body.extend_from_slice(piece?.1.value());
        }
    }
    Ok(body.freeze())
}

/// A table; none where nothing was ever put in it.
fn table<K: redb::Key + 'static, V: redb::Value + 'static>(
    read: &ReadTransaction,
    definition: TableDefinition<K, V>,
) -> Result<Option<redb::ReadOnlyTable<K, V>>, redb::Error> {
    match read.open_table(definition) {
        Ok(table) => Ok(Some(table)),
        Err(TableError::TableDoesNotExist(_)) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

fn failed(folder: &Path, error: impl Into<redb::Error>) -> StorageError {
    let folder = folder.to_owned();
    match error.into() {
        redb::Error::Io(source)
            if !matches!(
                source.kind(),
                io::ErrorKind::UnexpectedEof | io::ErrorKind::InvalidData
            ) =>
        {
            let path = folder.join(FILE);
            StorageError::Io { path, source }
        }
        error @ (redb::Error::PreviousIo | redb::Error::DatabaseClosed) => StorageError::Database {
            folder,
            said: error.to_string(),
        },
        error => StorageError::Damaged {
            folder,
            said: error.to_string(),
        },
    }
}

/// Of all files in it (bytes).
pub(crate) fn size(folder: &Path) -> Result<u64, StorageError> {
    let mut size = 0;
    for entry in fs::read_dir(folder).map_err(at(folder))? {
        let path = entry.map_err(at(folder))?.path();
        match fs::symlink_metadata(&path) {
            Ok(data) if data.is_dir() => size += self::size(&path)?,
            Ok(data) => size += data.len(),
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(error) => return Err(at(&path)(error)),
        }
    }
    Ok(size)
}
