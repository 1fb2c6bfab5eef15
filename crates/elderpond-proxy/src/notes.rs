//! The newest notable events, kept in memory and logged when something has gone wrong.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt::Write;

use elderpond_forage::Millis;

/// Events that are kept.
const KEPT: usize = 256;
/// Milliseconds between two times that they are logged, at least.
const APART: Millis = 5000;

/// One event.
#[derive(Clone, Copy, Debug)]
struct Note {
    at: Millis,
    what: &'static str,
    whom: u64,
}

/// The newest events that were not logged yet.
#[derive(Default)]
pub struct Notes {
    notes: RefCell<VecDeque<Note>>,
    quiet_until: Cell<Millis>,
}

impl Notes {
    /// Notes an event; `whom` is the number of a worker's life, a version or whatever it is about.
    pub fn note(&self, at: Millis, what: &'static str, whom: u64) {
        let mut notes = self.notes.borrow_mut();
        if notes.len() >= KEPT {
            notes.pop_front();
        }
        notes.push_back(Note { at, what, whom });
    }

    /// What is to be logged now that `what` went wrong; none where that was done a moment ago.
    pub fn spill(&self, now: Millis, what: &str) -> Option<String> {
        if now < self.quiet_until.get() {
            return None;
        }
        self.quiet_until.set(now + APART);
        let notes = std::mem::take(&mut *self.notes.borrow_mut());
        let mut text = format!("{what}; {} events before, milliseconds ago:", notes.len());
        for note in notes {
            let ago = now.saturating_sub(note.at);
            let _ = write!(text, " {ago} {} {:x};", note.what, note.whom);
        }
        Some(text)
    }
}
