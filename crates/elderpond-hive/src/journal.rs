//! What happened here last, in a ring; written out when something goes wrong, and on demand.

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use elderpond_registry::State;
use serde::Serialize;

use crate::Millis;

/// Entries kept.
const KEPT: usize = 256;

/// One thing that happened.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// A hive is there, or there again.
    HiveUp(Ipv4Addr),
    /// A hive does not answer.
    HiveSuspect(Ipv4Addr),
    /// A hive is down.
    HiveDown(Ipv4Addr),
    /// A hive has left as planned.
    HiveLeft(Ipv4Addr),
    /// Whether this hive reaches a majority of the voters.
    Majority(bool),
    /// This hive has heard of all who beat.
    Settled,
    /// This hive's processor stood still, for so many milliseconds.
    Standstill(Millis),
    /// A version is in force.
    InForce(u64),
    /// A version was brought and refused.
    Refused(u64, u16),
    /// A life was first heard of.
    WorkerJoined(String),
    /// A life has come this far.
    Departed(String, State),
    /// A life is not heard of any more.
    Silent(String),
    /// A life's published weight, in hundredths.
    Weight(String, u8),
    /// A forager follows this hive.
    ForagerJoined(Ipv4Addr),
    /// A forager does not follow this hive any more.
    ForagerLost(Ipv4Addr),
    /// A word of a part.
    Said(String),
}

/// An entry.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Noted {
    /// When, on the hive's clock.
    pub at: Millis,
    /// What.
    pub what: What,
}

/// The newest entries.
#[derive(Debug, Default)]
pub struct Journal {
    entries: VecDeque<Noted>,
    unwritten: usize,
}

impl Journal {
    /// Adds an entry.
    pub fn note(&mut self, at: Millis, what: What) {
        if self.entries.len() >= KEPT {
            self.entries.pop_front();
        }
        self.entries.push_back(Noted { at, what });
        self.unwritten += 1;
    }

    /// The entries, oldest first.
    pub fn entries(&self) -> impl Iterator<Item = &Noted> {
        self.entries.iter()
    }

    /// The entries that were not written out yet, as one line; none if there are none.
    pub fn write_out(&mut self) -> Option<String> {
        let fresh = std::mem::take(&mut self.unwritten).min(self.entries.len());
        let entries = self.entries.iter().skip(self.entries.len() - fresh);
        let lines: Vec<String> = entries
            .map(|entry| format!("{} {:?}", entry.at, entry.what))
            .collect();
        (!lines.is_empty()).then(|| lines.join("; "))
    }
}
