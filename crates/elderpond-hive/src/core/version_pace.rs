//! When a proxy is told the next version of the configuration, and how far behind it is.
//!
//! A proxy's link carries its clients' answers, departures and versions alike, and may be slow. So at most
//! one version is on its way to a proxy, the newest when it was sent; the proxy says when it has taken it,
//! and the link then rests for a multiple of the time that this took. Versions that are overtaken meanwhile
//! are never sent.

use crate::Millis;

/// How often the time that a version took is rested: versions take a third of a busy link at most.
const REST_TIMES: Millis = 2;
/// The longest rest, in ms: the bound within which a version is to be in force is 2.5 s and more.
const REST_MOST: Millis = 800;
/// A version of which nothing is heard for so long since it was written is taken for told, in ms: who is to
/// answer may be a program that does not.
const UNANSWERED: Millis = 2_000;

/// A version that was sent and not yet answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OnItsWay {
    sent_at: Millis,
    /// When its last byte was written to the connection.
    written_at: Option<Millis>,
}

/// What one proxy was told of versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionPace {
    /// The newest version that it was told, or said that it has.
    told: u64,
    on_its_way: Option<OnItsWay>,
    rest_until: Millis,
    /// The newest version that it has.
    held: u64,
    /// Since when a newer one is known to be in force.
    behind_since: Option<Millis>,
    /// The newest version that was learnt late: since when it is in force is not known.
    learnt_late: u64,
    /// Whether the proxy says when it has taken a version.
    answers: bool,
}

impl VersionPace {
    /// Of a proxy that says that it has this version, and `answers` when it has taken another.
    #[must_use]
    pub fn new(version: u64, answers: bool) -> Self {
        Self {
            answers,
            told: version,
            on_its_way: None,
            rest_until: 0,
            held: version,
            behind_since: None,
            learnt_late: 0,
        }
    }

    /// The newest version that it was told, or said that it has; 0 for none.
    #[must_use]
    pub fn told(&self) -> u64 {
        self.told
    }

    /// Whether it was not told that version.
    #[must_use]
    pub fn lacks(&self, version: u64) -> bool {
        version > self.told
    }

    /// That version is in force from now on; or was `learnt_late`, and may be so for long.
    pub fn in_force(&mut self, now: Millis, version: u64, learnt_late: bool) {
        if version > self.held {
            self.behind_since.get_or_insert(now);
        }
        if learnt_late {
            self.learnt_late = version;
        }
    }

    /// Whether it is to be told `newest` now.
    #[must_use]
    pub fn is_due(&self, now: Millis, newest: u64) -> bool {
        let waits = self.on_its_way.is_some_and(|version| {
            (version.written_at).is_none_or(|written_at| now < written_at + UNANSWERED)
        });
        self.lacks(newest) && !waits && now >= self.rest_until
    }

    /// Whether it lacks a version that was in force longer ago than `patience`, in ms, or may have been.
    #[must_use]
    pub fn is_behind(&self, now: Millis, patience: Millis) -> bool {
        self.held < self.learnt_late || self.behind(now) > patience
    }

    /// For how long a newer version than it has has been known to be in force, in ms.
    #[must_use]
    pub fn behind(&self, now: Millis) -> Millis {
        self.behind_since
            .map_or(0, |since| now.saturating_sub(since))
    }

    /// That version was sent to it.
    pub fn sent(&mut self, now: Millis, version: u64) {
        self.told = version;
        self.on_its_way = Some(OnItsWay {
            sent_at: now,
            written_at: None,
        });
        if !self.answers {
            self.held = version;
            self.behind_since = None;
        }
    }

    /// The last byte of that version was written to its connection.
    pub fn written(&mut self, now: Millis, version: u64) {
        if version == self.told
            && let Some(on_its_way) = &mut self.on_its_way
        {
            on_its_way.written_at = Some(now);
        }
    }

    /// It said that it has taken that version, while `newest` is in force. For how long it was behind, in ms.
    pub fn taken(&mut self, now: Millis, version: u64, newest: u64) -> Millis {
        let behind = self.behind(now);
        self.held = self.held.max(version);
        if version >= self.told
            && let Some(on_its_way) = self.on_its_way.take()
        {
            let took = now.saturating_sub(on_its_way.sent_at);
            self.rest_until = now + (REST_TIMES * took).min(REST_MOST);
            // it was the newest then; what has come in force since is not held yet
            self.behind_since = Some(on_its_way.sent_at);
        }
        if self.held >= newest {
            self.behind_since = None;
        }
        behind
    }

    /// It can't use what it was sent: it is to be told the newest version whole.
    pub fn refused(&mut self) {
        self.told = 0;
        self.on_its_way = None;
    }
}
