//! The thread which writes, so that a disk which hangs stops nothing else.

use std::io;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use elderpond_consensus::Record;

use crate::Storage;

type Failure = Arc<Mutex<Option<String>>>;

/// Hands records to a thread of its own, in order; those queued meanwhile are made durable at once.
///
/// Dropping it lets the thread end after what is queued, without waiting for it.
pub struct Keeper {
    queue: Sender<(u64, Record)>,
    failure: Failure,
}

impl Keeper {
    /// Starts the thread. `done` is called there with each write and whether it is durable.
    ///
    /// # Errors
    /// When no thread can be started.
    pub fn spawn(storage: Storage, done: Box<dyn Fn(u64, bool) + Send>) -> io::Result<Self> {
        let (queue, queued) = channel();
        let failure = Failure::default();
        let said = failure.clone();
        thread::Builder::new()
            .name("storage".into())
            .spawn(move || keep(storage, &queued, &done, &said))?;
        Ok(Self { queue, failure })
    }

    /// Why the latest write failed, if it did.
    #[must_use]
    pub fn failure(&self) -> Option<String> {
        self.failure
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Queues a write. Never blocks.
    pub fn send(&self, write: u64, record: Record) {
        // The thread ends only after this is dropped; if it died, no write is ever reported, as of a stalled
        // disk.
        let _ = self.queue.send((write, record));
    }
}

fn keep(
    mut storage: Storage,
    queued: &Receiver<(u64, Record)>,
    done: &dyn Fn(u64, bool),
    failure: &Failure,
) {
    let mut next = queued.recv().ok();
    while let Some(first) = next {
        let (writes, records): (Vec<u64>, Vec<Record>) =
            std::iter::once(first).chain(queued.try_iter()).unzip();
        let put = storage.put(&records);
        let ok = put.is_ok();
        *failure.lock().unwrap_or_else(PoisonError::into_inner) =
            put.err().map(|error| error.to_string());
        for write in writes {
            done(write, ok);
        }
        next = queued.try_recv().ok().or_else(|| {
            // All that is durable stays so if this fails; it is tried again after the next write.
            let _ = storage.settle();
            queued.recv().ok()
        });
    }
}
