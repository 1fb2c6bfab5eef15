//! A client's departure: when it closed its connection, in order or by a reset, while it was owed an answer.

use std::cell::Cell;

use elderpond_forage::Millis;
use tokio::sync::Notify;

/// Whether, and since when, nobody waits any more for the answers that are due on a client's connection.
#[derive(Debug, Default)]
pub struct ClientDeparture {
    at: Cell<Option<Millis>>,
    happened: Notify,
}

impl ClientDeparture {
    /// The client has left. Only the first call counts.
    pub fn happens(&self, now: Millis) {
        if self.at.get().is_none() {
            self.at.set(Some(now));
            self.happened.notify_waiters();
        }
    }

    /// When the client left, in milliseconds on the process's own clock.
    #[must_use]
    pub fn at(&self) -> Option<Millis> {
        self.at.get()
    }

    /// Whether the client has left.
    #[must_use]
    pub fn has_happened(&self) -> bool {
        self.at.get().is_some()
    }

    /// Waits until the client leaves.
    pub async fn wait(&self) {
        let happened = self.happened.notified();
        if !self.has_happened() {
            happened.await;
        }
    }
}
