//! The replica's records on disk, by sled, synced to outlive a loss of power.
//!
//! In the folder given, `cell-N` is the database; `fresh-N` one not complete yet, removed at the next
//! opening; `damaged-N` one which could not be read. Of these the first and the newest are never removed;
//! those between are once there are more than eight, or there is less than 100 MB of room. sled's own flush
//! does not outlive a loss of power: each file is synced after it. What sled leaves behind of bodies replaced
//! is got rid of by moving into a fresh database.

mod keeper;
mod store;

use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

use elderpond_consensus::{Record, Stored};

pub use keeper::Keeper;
use store::Store;

/// Beyond this many bytes the database is moved into a fresh one.
pub const LARGE: u64 = 48 << 20;

/// A put is refused with less room than this left and twice its bodies (bytes): sled hangs on a full disk.
const ROOM: u64 = 4 << 20;

/// How many damaged databases are kept aside at most.
const ASIDE: usize = 8;

/// With less room than this left (bytes), damaged databases between the first and the newest are given up:
/// what a database may take, twice, since it is moved into a fresh one.
const TIGHT: u64 = 2 * LARGE + ROOM;

/// Why records could not be read or kept.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The file system failed.
    #[error("{}: {source}", path.display())]
    Io {
        /// Where.
        path: PathBuf,
        /// What it said.
        source: io::Error,
    },
    /// The database failed or is held open by another process.
    #[error("the database in {}: {said}", folder.display())]
    Database {
        /// Where.
        folder: PathBuf,
        /// What sled said.
        said: String,
    },
    /// A hive runs on it.
    #[error("{}: a process has it open; stop the hive first", folder.display())]
    Open {
        /// Where.
        folder: PathBuf,
    },
    /// It is to be filled and is not empty.
    #[error("{}: not empty", folder.display())]
    NotEmpty {
        /// Where.
        folder: PathBuf,
    },
    /// Records cannot be read.
    #[error("the database in {} is damaged: {said}", folder.display())]
    Damaged {
        /// Where.
        folder: PathBuf,
        /// What is wrong.
        said: String,
    },
    /// A later version of this program wrote it.
    #[error(
        "{} was written in format {found}, by a later version; this one reads up to {known}",
        folder.display()
    )]
    Newer {
        /// Where.
        folder: PathBuf,
        /// The format found.
        found: u8,
        /// The newest format known.
        known: u8,
    },
}

pub(crate) fn at(path: &Path) -> impl FnOnce(io::Error) -> StorageError + '_ {
    move |source| StorageError::Io {
        path: path.to_owned(),
        source,
    }
}

/// The durable side of one replica. Every call may block for as long as the disk does.
pub struct Storage {
    dir: PathBuf,
    number: u64,
    store: Option<Store>,
    note: Option<String>,
    lost: bool,
    large: u64,
}

impl Storage {
    /// Opens the database in this folder, creating both; what cannot be read is moved aside (see
    /// [`Storage::note`]).
    ///
    /// # Errors
    /// When the disk refuses, another process has it open, or a later version wrote it.
    pub fn open(dir: &Path) -> Result<(Self, Option<Stored>), StorageError> {
        fs::create_dir_all(dir).map_err(at(dir))?;
        let mut older = numbered(dir, "cell-")?;
        for (_, path) in &older {
            store::known(path)?;
        }
        let newest = older.pop();
        let mut number = newest.as_ref().map_or(1, |(number, _)| *number);
        let mut note = None;
        let opened = match &newest {
            None => None,
            Some((_, path)) => match Store::open(path) {
                Ok(opened) => Some(opened),
                Err(StorageError::Damaged { said, .. }) => {
                    // An older one left over is no state to go on from, but somebody may want to look at it.
                    for (_, path) in older.drain(..) {
                        set_aside(dir, &path, "it was being replaced")?;
                    }
                    note = Some(set_aside(dir, path, &said)?);
                    number += 1;
                    None
                }
                Err(error) => return Err(error),
            },
        };
        // Left over if it stopped before a fresh database was complete, or before the old one was removed.
        for (_, path) in numbered(dir, "fresh-")?.into_iter().chain(older) {
            fs::remove_dir_all(&path).map_err(at(&path))?;
        }
        let (store, stored) = match opened {
            Some(opened) => opened,
            None => (Store::create(dir, number, None)?, None),
        };
        let lost = stored.is_none() && !numbered(dir, "damaged-")?.is_empty();
        Ok((
            Self {
                dir: dir.to_owned(),
                number,
                store: Some(store),
                note,
                lost,
                large: LARGE,
            },
            stored,
        ))
    }

    /// What a stopped replica left in this folder, without changing anything there.
    ///
    /// # Errors
    /// When it cannot be read, or a process has it open.
    pub fn read_only(dir: &Path) -> Result<Option<Stored>, StorageError> {
        let Some((_, path)) = numbered(dir, "cell-")?.pop() else {
            return Ok(None);
        };
        // Held while it is copied, as sled holds it: nobody writes meanwhile.
        let file = path.join("db");
        let file = File::open(&file).map_err(|error| match error.kind() {
            io::ErrorKind::NotFound => StorageError::Damaged {
                folder: path.clone(),
                said: "it holds no file db".into(),
            },
            _ => at(&file)(error),
        })?;
        // Whoever has just closed it lets go a moment later.
        let mut tries = 0;
        while let Err(TryLockError::WouldBlock) = file.try_lock_shared() {
            if tries == 25 {
                return Err(StorageError::Open { folder: path });
            }
            tries += 1;
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
        let name = format!(
            "elderpond-storage-{}-{:?}",
            std::process::id(),
            std::thread::current().id()
        );
        let copy = std::env::temp_dir().join(name);
        let read =
            copy_all(&path, &copy).and_then(|()| Store::open(&copy).map(|(_, stored)| stored));
        let _ = fs::remove_dir_all(&copy);
        read.map_err(|error| match error {
            StorageError::Damaged { said, .. } => StorageError::Damaged {
                folder: path.clone(),
                said,
            },
            StorageError::Newer { found, known, .. } => StorageError::Newer {
                folder: path.clone(),
                found,
                known,
            },
            error => error,
        })
    }

    /// Fills an empty folder with what another disk held, complete or not at all.
    ///
    /// # Errors
    /// When the folder is not empty, or the disk refuses.
    pub fn fill(dir: &Path, stored: &Stored) -> Result<(), StorageError> {
        fs::create_dir_all(dir).map_err(at(dir))?;
        if fs::read_dir(dir).map_err(at(dir))?.next().is_some() {
            let folder = dir.to_owned();
            return Err(StorageError::NotEmpty { folder });
        }
        Store::create(dir, 1, Some(stored)).map(drop)
    }

    /// What there is to say about the opening: where a damaged database was moved. The disk then counts as
    /// empty.
    #[must_use]
    pub fn note(&self) -> Option<&str> {
        self.note.as_deref()
    }

    /// Whether it holds nothing while a damaged database lies beside it: also at the openings after the one
    /// that moved it there. Such a disk is never a founder's.
    #[must_use]
    pub fn lost(&self) -> bool {
        self.lost
    }

    /// How much the database takes on disk (bytes).
    ///
    /// # Errors
    /// When the folder cannot be read.
    pub fn size(&self) -> Result<u64, StorageError> {
        store::size(&cell(&self.dir, self.number))
    }

    /// Makes these records durable, as one, before it returns. After an error it may be tried again.
    ///
    /// # Errors
    /// When the disk refuses; nothing of it counts as kept then.
    pub fn put(&mut self, records: &[Record]) -> Result<(), StorageError> {
        let bodies = records
            .iter()
            .filter_map(|record| Some(record.held.as_ref()?.body.len() as u64));
        let need = ROOM + 2 * bodies.sum::<u64>();
        if self.free()? < need {
            // What sled left behind may be in the way.
            let _ = self.move_on();
            if self.free()? < need {
                return Err(at(&self.dir)(io::ErrorKind::StorageFull.into()));
            }
        }
        let mut tried = false;
        loop {
            let store = match &mut self.store {
                Some(store) => store,
                None => self
                    .store
                    .insert(Store::open(&cell(&self.dir, self.number))?.0),
            };
            match store.put(records) {
                Ok(size) if size <= self.large => return Ok(()),
                Ok(_) => {
                    // The records are durable already; moving may as well succeed next time.
                    let _ = self.move_on();
                    return Ok(());
                }
                // sled says an error again for good: only opening it anew helps.
                Err(error) => {
                    self.store = None;
                    if tried {
                        return Err(error);
                    }
                    tried = true;
                }
            }
        }
    }

    fn free(&self) -> Result<u64, StorageError> {
        fs2::available_space(&self.dir).map_err(at(&self.dir))
    }

    fn move_on(&mut self) -> Result<(), StorageError> {
        let Some(store) = &self.store else {
            return Ok(());
        };
        let stored = store.load()?;
        let store = Store::create(&self.dir, self.number + 1, stored.as_ref())?;
        self.store = Some(store);
        let old = cell(&self.dir, self.number);
        self.number += 1;
        fs::remove_dir_all(&old).map_err(at(&old))
    }
}

/// What lies in a replica's folder, by name and size (bytes); nothing is opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Folder {
    /// Databases; the last one counts.
    pub cells: Vec<(String, u64)>,
    /// Those set aside as damaged, and one not complete yet.
    pub aside: Vec<(String, u64)>,
    /// What is no part of a replica.
    pub strange: Vec<String>,
}

impl Folder {
    /// Looks into a folder.
    ///
    /// # Errors
    /// When it cannot be read.
    pub fn look(dir: &Path) -> Result<Self, StorageError> {
        let mut known = Vec::new();
        let mut folder = Self::default();
        for prefix in ["cell-", "damaged-", "fresh-"] {
            for (number, path) in numbered(dir, prefix)? {
                let name = format!("{prefix}{number}");
                let list = match prefix {
                    "cell-" => &mut folder.cells,
                    _ => &mut folder.aside,
                };
                list.push((name.clone(), store::size(&path)?));
                known.push(name);
            }
        }
        for entry in fs::read_dir(dir).map_err(at(dir))? {
            let name = entry.map_err(at(dir))?.file_name();
            let name = name.to_string_lossy().into_owned();
            if !known.contains(&name) {
                folder.strange.push(name);
            }
        }
        folder.strange.sort();
        Ok(folder)
    }
}

pub(crate) fn cell(dir: &Path, number: u64) -> PathBuf {
    dir.join(format!("cell-{number}"))
}

fn numbered(dir: &Path, prefix: &str) -> Result<Vec<(u64, PathBuf)>, StorageError> {
    let mut found = Vec::new();
    for entry in fs::read_dir(dir).map_err(at(dir))? {
        let entry = entry.map_err(at(dir))?;
        let name = entry.file_name();
        if let Some(number) = name
            .to_str()
            .and_then(|name| name.strip_prefix(prefix)?.parse().ok())
        {
            found.push((number, entry.path()));
        }
    }
    found.sort_unstable();
    Ok(found)
}

/// Moves a damaged database out of the way; what is to be said about it.
fn set_aside(dir: &Path, path: &Path, said: &str) -> Result<String, StorageError> {
    let mut aside = numbered(dir, "damaged-")?;
    let number = aside.last().map_or(1, |(number, _)| number + 1);
    let to = dir.join(format!("damaged-{number}"));
    fs::rename(path, &to).map_err(at(&to))?;
    store::sync(dir)?;
    let mut told = format!(
        "{} is damaged ({said}): moved to {}, started empty",
        path.display(),
        to.display()
    );
    aside.push((number, to));
    let mut room = fs2::available_space(dir).map_err(at(dir))?;
    while let Some(nth) = given_up(aside.len(), room) {
        let (_, path) = aside.remove(nth);
        room += store::size(&path)?;
        fs::remove_dir_all(&path).map_err(at(&path))?;
        told += &format!("; {} had to make room", path.display());
    }
    Ok(told)
}

/// Which of so many set aside, the first one first, has to go with this much room left (bytes). The first
/// holds what was there before the trouble began, the newest shows that it goes on.
fn given_up(aside: usize, room: u64) -> Option<usize> {
    (aside > 2 && (aside > ASIDE || room < TIGHT)).then_some(1)
}

fn copy_all(from: &Path, to: &Path) -> Result<(), StorageError> {
    fs::create_dir_all(to).map_err(at(to))?;
    for entry in fs::read_dir(from).map_err(at(from))? {
        let path = entry.map_err(at(from))?.path();
        let copy = to.join(path.file_name().unwrap_or_default());
        if path.is_dir() {
            copy_all(&path, &copy)?;
        } else {
            fs::copy(&path, &copy).map_err(at(&path))?;
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::{ASIDE, TIGHT, given_up};

    #[yare::parameterized(
        few = { 2, 0, None },
        room = { ASIDE, TIGHT, None },
        many = { ASIDE + 1, u64::MAX, Some(1) },
        tight = { 3, TIGHT - 1, Some(1) },
    )]
    fn given_so_many_set_aside_and_so_much_room_then_the_first_and_the_newest_stay(
        aside: usize,
        room: u64,
        gone: Option<usize>,
    ) {
        assert_eq!(given_up(aside, room), gone);
    }
}
