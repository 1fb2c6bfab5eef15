//! The replica's records on disk, in a redb database, synced to outlive a loss of power.
//!
//! In the folder given, `cell-N` is the database; `fresh-N` one not complete yet, removed at the next
//! opening; `damaged-N` one which could not be read. Of these the first and the newest are never removed;
//! those between are once there are more than eight, or there is less than 100 MB of room. A put is one
//! transaction with one sync, whatever it holds. A database of format 1, which sled wrote, is replaced by one
//! of this format when it is opened; so is one that has grown beyond [`LARGE`], or of which a sync failed.

mod files;
mod format1;
mod frame;
mod keeper;
mod store;

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

use elderpond_consensus::{Record, Stored};

use files::{Files, above};
#[doc(hidden)]
pub use files::{Step, Watch};
pub use keeper::Keeper;
use store::Store;

/// Beyond this many bytes the database is moved into a fresh one.
pub const LARGE: u64 = 48 << 20;

/// How many damaged databases are kept aside at most.
const ASIDE: usize = 8;

/// With less room than this left (bytes), damaged databases between the first and the newest are given up:
/// what a database may take, twice, since it is moved into a fresh one.
const TIGHT: u64 = 100 << 20;

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
    /// The database failed.
    #[error("the database in {}: {said}", folder.display())]
    Database {
        /// Where.
        folder: PathBuf,
        /// What it said.
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
    files: Files,
    number: u64,
    store: Option<Store>,
    note: Option<String>,
    lost: bool,
}

impl Storage {
    /// Opens the database in this folder, creating both; what cannot be read is moved aside (see
    /// [`Storage::note`]).
    ///
    /// # Errors
    /// When the disk refuses, another process has it open, or a later version wrote it.
    pub fn open(dir: &Path) -> Result<(Self, Option<Stored>), StorageError> {
        Self::open_by(Files::new(dir, None), dir)
    }

    /// As [`Storage::open`], with each step on files told before it is taken.
    ///
    /// # Errors
    /// As [`Storage::open`].
    #[doc(hidden)]
    pub fn open_watched(dir: &Path, watch: Watch) -> Result<(Self, Option<Stored>), StorageError> {
        Self::open_by(Files::new(dir, Some(watch)), dir)
    }

    fn open_by(files: Files, dir: &Path) -> Result<(Self, Option<Stored>), StorageError> {
        files.make_all(dir)?;
        let mut older = numbered(dir, "cell-")?;
        for (_, path) in &older {
            store::known(path)?;
        }
        // One that was given its name just before it stopped may go by it only now.
        files.sync(dir)?;
        files.sync(above(dir))?;
        let newest = older.pop();
        let mut storage = Self {
            dir: dir.to_owned(),
            files,
            number: newest.as_ref().map_or(0, |(number, _)| *number),
            store: None,
            note: None,
            lost: false,
        };
        let mut stored = None;
        let mut replaced = newest.is_none();
        if let Some((_, path)) = &newest {
            let mut found = storage.read_newest(path);
            if found.is_err() && storage.files.distrusted() {
                found = storage.read_newest(path);
            }
            match found {
                Ok((found, of_format_1)) => (stored, replaced) = (found, of_format_1),
                Err(StorageError::Damaged { said, .. }) => {
                    // An older one left over is no state to go on from, but somebody may want to look at it.
                    for (_, path) in older.drain(..) {
                        set_aside(&storage.files, dir, &path, "it was being replaced")?;
                    }
                    storage.note = Some(set_aside(&storage.files, dir, path, &said)?);
                    replaced = true;
                }
                Err(error) => return Err(error),
            }
        }
        // Left over if it stopped before a fresh database was complete, or before the old one was removed.
        for (_, path) in numbered(dir, "fresh-")?.into_iter().chain(older) {
            storage.files.remove(&path)?;
        }
        if replaced || storage.files.distrusted() {
            storage.move_on(stored.as_ref())?;
        }
        storage.lost = stored.is_none() && !numbered(dir, "damaged-")?.is_empty();
        Ok((storage, stored))
    }

    /// What the newest database holds, and whether it is of format 1.
    fn read_newest(&mut self, path: &Path) -> Result<(Option<Stored>, bool), StorageError> {
        if of_format_1(path) {
            return Ok((format1::read(path)?, true));
        }
        if self.files.distrusted() {
            return Ok((Store::read_only(path)?, false));
        }
        let (store, stored) = Store::open(&self.files, path)?;
        self.store = Some(store);
        Ok((stored, false))
    }

    /// What a stopped replica left in this folder, without changing anything there.
    ///
    /// # Errors
    /// When it cannot be read, or a process has it open.
    pub fn read_only(dir: &Path) -> Result<Option<Stored>, StorageError> {
        let Some((_, path)) = numbered(dir, "cell-")?.pop() else {
            return Ok(None);
        };
        if !of_format_1(&path) {
            store::known(&path)?;
            return Store::read_only(&path);
        }
        // Held while it is copied, as sled holds it: nobody writes meanwhile.
        let file = path.join(format1::FILE);
        let file = File::open(&file).map_err(at(&file))?;
        store::lock(&path, || file.try_lock_shared())?;
        let name = format!(
            "elderpond-storage-{}-{:?}",
            std::process::id(),
            std::thread::current().id()
        );
        let copy = std::env::temp_dir().join(name);
        let read = copy_all(&path, &copy).and_then(|()| format1::read(&copy));
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
        let files = Files::new(dir, None);
        files.make_all(dir)?;
        if fs::read_dir(dir).map_err(at(dir))?.next().is_some() {
            let folder = dir.to_owned();
            return Err(StorageError::NotEmpty { folder });
        }
        let mut storage = Self {
            dir: dir.to_owned(),
            files,
            number: 0,
            store: None,
            note: None,
            lost: false,
        };
        storage.move_on(Some(stored))
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
    /// When the disk refuses; nothing of it counts as kept then, though it may be there after an opening.
    pub fn put(&mut self, records: &[Record]) -> Result<(), StorageError> {
        let mut tried = false;
        loop {
            let put = self.trusted().and_then(|store| store.put(records));
            let Err(error) = put else { return Ok(()) };
            // The database says an error again for good: only opening it anew helps.
            self.store = None;
            if tried {
                return Err(error);
            }
            tried = true;
        }
    }

    /// What nobody has to wait for after puts: how many there were is told beside, for later openings, and a
    /// database that has grown too large is replaced.
    ///
    /// # Errors
    /// When the disk refuses; what was put stays durable.
    pub fn settle(&mut self) -> Result<(), StorageError> {
        self.trusted()?.settle()?;
        if self.size()? > LARGE {
            let (_, stored) = self.opened_anew()?;
            self.move_on(stored.as_ref())?;
        }
        Ok(())
    }

    /// The database, all of which is durable. Where a sync failed, nothing is before it was written anew.
    fn trusted(&mut self) -> Result<&mut Store, StorageError> {
        if self.files.distrusted() {
            self.store = None;
            // Nothing more is written to it: what it has on disk is all that is durable.
            let stored = Store::read_only(&cell(&self.dir, self.number))?;
            self.move_on(stored.as_ref())?;
        } else if self.store.is_none() {
            self.store = Some(self.opened_anew()?.0);
        }
        Ok(self.store.as_mut().expect("just opened"))
    }

    fn opened_anew(&mut self) -> Result<(Store, Option<Stored>), StorageError> {
        self.store = None;
        Store::open(&self.files, &cell(&self.dir, self.number))
    }

    /// Goes on in a fresh database that holds this, and removes those before it.
    fn move_on(&mut self, stored: Option<&Stored>) -> Result<(), StorageError> {
        let next = self.number + 1;
        let fresh = self.dir.join(format!("fresh-{next}"));
        let path = cell(&self.dir, next);
        Store::build(&self.files, &fresh, stored)?;
        // From here on the fresh one is what an opening finds, unless its name is lost.
        self.store = None;
        self.files.distrust();
        self.files.rename(&fresh, &path)?;
        self.number = next;
        self.files.sync(&self.dir)?;
        self.files.sync(above(&self.dir))?;
        self.store = Some(Store::open(&self.files, &path)?.0);
        self.files.trust();
        for (number, old) in numbered(&self.dir, "cell-")? {
            if number < next {
                // If it stays, the next opening removes it.
                let _ = self.files.remove(&old);
            }
        }
        Ok(())
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
            if !known.contains(&name) && name != files::UNSYNCED {
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

/// sled names its files otherwise.
fn of_format_1(cell: &Path) -> bool {
    cell.join(format1::FILE).exists() && !cell.join(store::FILE).exists()
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
fn set_aside(files: &Files, dir: &Path, path: &Path, said: &str) -> Result<String, StorageError> {
    let mut aside = numbered(dir, "damaged-")?;
    let number = aside.last().map_or(1, |(number, _)| number + 1);
    let to = dir.join(format!("damaged-{number}"));
    files.rename(path, &to)?;
    files.sync(dir)?;
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
        files.remove(&path)?;
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
