//! When a proxy is told the next version of the configuration.
//!
//! A proxy's link carries its clients' answers, departures and versions alike, and may be slow. So at most
//! one version is on its way to a proxy, the newest when it was sent; the proxy says when it has taken it,
//! and the link then rests for a multiple of the time that this took. Versions that are overtaken meanwhile
//! are never sent, and a departure waits behind one version at most.

use crate::Millis;

/// How often the time that a version took is rested: versions take a third of a busy link at most.
const REST_TIMES: Millis = 2;
/// The longest rest, in ms: the bound within which a version is to be in force is 2.5 s and more.
const REST_MOST: Millis = 800;
/// A version of which nothing is heard for so long is taken for told, in ms: who is to answer may be a
/// program that does not.
const UNANSWERED: Millis = 2_000;

/// What one proxy was told of versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionPace {
    /// The newest version that it was told, or said that it has.
    told: u64,
    /// When that was sent, until it is answered.
    sent_at: Option<Millis>,
    rest_until: Millis,
    /// Since when a newer one is held back.
    behind_since: Option<Millis>,
}

impl VersionPace {
    /// Of a proxy that says that it has this version.
    #[must_use]
    pub fn new(version: u64) -> Self {
        Self {
            told: version,
            sent_at: None,
            rest_until: 0,
            behind_since: None,
        }
    }

    /// Whether it was not told that version.
    #[must_use]
    pub fn lacks(&self, version: u64) -> bool {
        version > self.told
    }

    /// Whether it is to be told `newest` now; if that has to wait, it is behind from now on.
    pub fn is_due(&mut self, now: Millis, newest: u64) -> bool {
        if !self.lacks(newest) {
            return false;
        }
        let waits = self.sent_at.is_some_and(|at| now < at + UNANSWERED) || now < self.rest_until;
        if waits {
            self.behind_since.get_or_insert(now);
        }
        !waits
    }

    /// For how long a newer version than it was told has been held back, in ms.
    #[must_use]
    pub fn behind(&self, now: Millis) -> Millis {
        self.behind_since
            .map_or(0, |since| now.saturating_sub(since))
    }

    /// That version was sent to it.
    pub fn sent(&mut self, now: Millis, version: u64) {
        self.told = version;
        self.sent_at = Some(now);
        self.behind_since = None;
    }

    /// It said that it has taken that version.
    pub fn taken(&mut self, now: Millis, version: u64) {
        if version < self.told {
            return;
        }
        if let Some(at) = self.sent_at.take() {
            let took = now.saturating_sub(at);
            self.rest_until = now + (REST_TIMES * took).min(REST_MOST);
        }
    }
}
