//! What is done to files, one step after the other. A test sees each step before it is taken, and may refuse
//! it.

use std::fs::{self, File};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::{StorageError, at};

/// A step that changes what is on disk, or makes it last.
#[doc(hidden)]
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub enum Step {
    Folder(PathBuf),
    Create(PathBuf),
    Write {
        path: PathBuf,
        at: u64,
        bytes: Vec<u8>,
    },
    Length {
        path: PathBuf,
        length: u64,
    },
    /// A file's content, or the names in a folder.
    Sync(PathBuf),
    Rename {
        from: PathBuf,
        to: PathBuf,
    },
    /// A folder with all that is in it.
    Remove(PathBuf),
}

/// Told of each step before it is taken; the step is not taken where this fails.
#[doc(hidden)]
pub type Watch = Arc<dyn Fn(&Step) -> io::Result<()> + Send + Sync>;

/// Lies in a replica's folder from a failed sync until all was written anew, so that a process which starts
/// meanwhile knows of it. A loss of power may take it: then what is on disk is all there is to be read.
pub(crate) const UNSYNCED: &str = "unsynced";

/// The operations on files that a replica's records need.
#[derive(Clone)]
pub(crate) struct Files {
    watch: Option<Watch>,
    mark: PathBuf,
    /// A sync failed: what was written before it may never reach the disk, whatever a later one says.
    unsynced: Arc<AtomicBool>,
}

impl Files {
    pub(crate) fn new(dir: &Path, watch: Option<Watch>) -> Self {
        let mark = dir.join(UNSYNCED);
        let unsynced = Arc::new(AtomicBool::new(mark.exists()));
        Self {
            watch,
            mark,
            unsynced,
        }
    }

    /// Whether a sync failed, or something else must not be relied on.
    pub(crate) fn distrusted(&self) -> bool {
        self.unsynced.load(Ordering::Relaxed)
    }

    /// Until all of it was written anew, nothing counts as durable.
    pub(crate) fn distrust(&self) {
        self.unsynced.store(true, Ordering::Relaxed);
        // Where not even this can be made, the process that runs still knows.
        let _ = File::create(&self.mark);
    }

    /// All that counts was written anew.
    pub(crate) fn trust(&self) {
        if self.distrusted() {
            self.unsynced.store(false, Ordering::Relaxed);
            let _ = fs::remove_file(&self.mark);
        }
    }

    fn tell(&self, step: impl FnOnce() -> Step) -> io::Result<()> {
        self.watch.as_ref().map_or(Ok(()), |watch| watch(&step()))
    }

    /// Makes a folder and those above it; each lasts, its name too.
    pub(crate) fn make_all(&self, folder: &Path) -> Result<(), StorageError> {
        if folder.is_dir() {
            return Ok(());
        }
        self.make_all(above(folder))?;
        self.make(folder)?;
        self.sync(above(folder))
    }

    pub(crate) fn make(&self, folder: &Path) -> Result<(), StorageError> {
        self.tell(|| Step::Folder(folder.to_owned()))
            .and_then(|()| fs::create_dir(folder))
            .map_err(at(folder))
    }

    pub(crate) fn create(&self, path: &Path) -> Result<File, StorageError> {
        let mut options = File::options();
        self.tell(|| Step::Create(path.to_owned()))
            .and_then(|()| {
                options
                    .read(true)
                    .write(true)
                    .create(true)
                    .truncate(false)
                    .open(path)
            })
            .map_err(at(path))
    }

    fn write(&self, file: &File, path: &Path, at: u64, bytes: &[u8]) -> io::Result<()> {
        self.tell(|| Step::Write {
            path: path.to_owned(),
            at,
            bytes: bytes.to_owned(),
        })?;
        file.write_all_at(bytes, at)
    }

    /// Writes a small file in place, and makes it last.
    pub(crate) fn put(&self, path: &Path, bytes: &[u8]) -> Result<(), StorageError> {
        let file = self.create(path)?;
        self.write(&file, path, 0, bytes).map_err(at(path))?;
        self.sync(path)
    }

    /// Makes a file's content last, or the names in a folder.
    pub(crate) fn sync(&self, path: &Path) -> Result<(), StorageError> {
        self.synced(path, || File::open(path)?.sync_all())
            .map_err(at(path))
    }

    fn synced(&self, path: &Path, by: impl FnOnce() -> io::Result<()>) -> io::Result<()> {
        let synced = self
            .tell(|| Step::Sync(path.to_owned()))
            .and_then(|()| by());
        if synced.is_err() {
            self.distrust();
        }
        synced
    }

    pub(crate) fn rename(&self, from: &Path, to: &Path) -> Result<(), StorageError> {
        self.tell(|| Step::Rename {
            from: from.to_owned(),
            to: to.to_owned(),
        })
        .and_then(|()| fs::rename(from, to))
        .map_err(at(to))
    }

    pub(crate) fn remove(&self, folder: &Path) -> Result<(), StorageError> {
        self.tell(|| Step::Remove(folder.to_owned()))
            .and_then(|()| fs::remove_dir_all(folder))
            .map_err(at(folder))
    }
}

/// The folder that holds this name.
pub(crate) fn above(path: &Path) -> &Path {
    match path.parent() {
        Some(parent) if parent.as_os_str().is_empty() => Path::new("."),
        Some(parent) => parent,
        None => path,
    }
}

/// The file under a database.
pub(crate) struct Backend {
    pub(crate) file: File,
    pub(crate) path: PathBuf,
    pub(crate) files: Files,
}

impl std::fmt::Debug for Backend {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Backend").field(&self.path).finish()
    }
}

impl redb::StorageBackend for Backend {
    fn len(&self) -> io::Result<u64> {
        Ok(self.file.metadata()?.len())
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.file.read_exact_at(out, offset)
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.files.tell(|| Step::Length {
            path: self.path.clone(),
            length,
        })?;
        self.file.set_len(length)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.files.synced(&self.path, || self.file.sync_data())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.files.write(&self.file, &self.path, offset, data)
    }
}
