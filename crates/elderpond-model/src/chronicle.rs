//! What happened, for whoever asks why: rare events only, never single requests.

use serde::{Deserialize, Serialize};

use crate::rules::Parties;
use crate::time::{SECOND, Time, ms};

/// Notes kept at the most; the oldest half goes when there are more.
const MOST: usize = 200_000;
/// A chain looks back so far, and names so many notes.
const BACK: Time = 30 * SECOND;
const LINKS: usize = 12;

/// What a note is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Topic {
    /// A trouble begins or ends.
    Trouble,
    /// A worker starts, falls, drains or goes.
    Worker,
    /// A manager was told something of the list.
    Told,
    /// A manager starts or ends.
    Manager,
    /// A proxy joins, leaves, starts or ends.
    Proxy,
    /// A manager has ordered something.
    Orders,
    /// A manager's own line for operators.
    Says,
    /// A rule was broken.
    Breach,
}

/// One note.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Note {
    /// When, in milliseconds.
    pub at_ms: f64,
    /// About what.
    pub topic: Topic,
    /// Which manager.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub manager: Option<usize>,
    /// Which proxy.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub proxy: Option<usize>,
    /// Which worker.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<usize>,
    /// What.
    pub text: String,
}

/// The notes, the oldest first.
#[derive(Default)]
pub struct Chronicle {
    notes: Vec<Note>,
    /// Notes that were let go.
    pub forgotten: usize,
}

impl Chronicle {
    /// Writes a note.
    pub fn note(&mut self, now: Time, topic: Topic, parties: Parties, text: String) {
        if self.notes.len() >= MOST {
            self.notes.drain(..MOST / 2);
            self.forgotten += MOST / 2;
        }
        let Parties {
            manager,
            proxy,
            worker,
        } = parties;
        self.notes.push(Note {
            at_ms: ms(now),
            topic,
            manager,
            proxy,
            worker,
            text,
        });
    }

    /// All notes.
    pub fn notes(&self) -> &[Note] {
        &self.notes
    }

    /// What led to something about these parties, the oldest first: notes that name one of them and
    /// nobody else of that kind, and troubles.
    pub fn about(&self, now: Time, parties: Parties) -> Vec<String> {
        let since = ms(now.saturating_sub(BACK));
        let fits = |ours: Option<usize>, theirs: Option<usize>| theirs.is_none() || ours == theirs;
        let concerns = |note: &&Note| {
            let named = note.manager.is_some() || note.proxy.is_some() || note.worker.is_some();
            let fits = fits(parties.manager, note.manager)
                && fits(parties.proxy, note.proxy)
                && fits(parties.worker, note.worker);
            fits && (named || note.topic == Topic::Trouble)
        };
        let notes = self
            .notes
            .iter()
            .rev()
            .take_while(|note| note.at_ms >= since);
        let chain = notes.filter(concerns).take(LINKS);
        let mut chain: Vec<String> = chain
            .map(|note| format!("{:.3} s: {}", note.at_ms / 1000.0, note.text))
            .collect();
        chain.reverse();
        chain
    }
}
