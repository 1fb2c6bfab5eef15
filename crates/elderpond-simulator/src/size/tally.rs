//! What crosses between machines, counted.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use elderpond_consensus::Message;
use elderpond_control_wire::{FromForager, FromHive, HiveToHive};

/// A sum of messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// How many.
    pub messages: u64,
    /// Their bytes on the wire.
    pub bytes: u64,
    /// Bytes that were encoded anew; a frame that goes to many is encoded once.
    pub made: u64,
}

impl Count {
    pub(crate) fn add(&mut self, bytes: u64, made: bool) {
        self.messages += 1;
        self.bytes += bytes;
        self.made += if made { bytes } else { 0 };
    }
}

impl std::ops::AddAssign for Count {
    fn add_assign(&mut self, other: Self) {
        self.messages += other.messages;
        self.bytes += other.bytes;
        self.made += other.made;
    }
}

/// What was sent since the last look, by kind and by machine.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// By kind of message.
    pub kinds: BTreeMap<&'static str, Count>,
    /// What each hive sent, by its number.
    pub hives: BTreeMap<usize, Count>,
    /// What each hive was sent.
    pub to_hives: BTreeMap<usize, Count>,
    /// What each forager was sent, by its number.
    pub to_foragers: BTreeMap<usize, Count>,
    /// What each forager sent.
    pub foragers: BTreeMap<usize, Count>,
}

impl Tally {
    /// The sum over these kinds.
    pub fn of(&self, kinds: &[&str]) -> Count {
        let mut sum = Count::default();
        for kind in kinds {
            sum += self.kinds.get(kind).copied().unwrap_or_default();
        }
        sum
    }
}

/// The most that one machine has.
pub fn most(machines: &BTreeMap<usize, Count>) -> Count {
    let mut most = Count::default();
    for count in machines.values() {
        most.messages = most.messages.max(count.messages);
        most.bytes = most.bytes.max(count.bytes);
        most.made = most.made.max(count.made);
    }
    most
}

/// The newest frames that a hive made; kept, so that one with the same place in memory is the same.
#[derive(Default)]
pub(crate) struct Made(VecDeque<Bytes>);

impl Made {
    /// Whether this frame is seen for the first time.
    pub(crate) fn anew(&mut self, frame: &Bytes) -> bool {
        let place = |frame: &Bytes| (frame.as_ptr(), frame.len());
        if self.0.iter().any(|other| place(other) == place(frame)) {
            return false;
        }
        self.0.push_back(frame.clone());
        if self.0.len() > 64 {
            self.0.pop_front();
        }
        true
    }
}

pub(crate) fn to_hive(message: &HiveToHive) -> &'static str {
    match message {
        HiveToHive::Consensus(Message::Beat(_)) => "replica: beat",
        HiveToHive::Consensus(Message::MarkStore { .. } | Message::MarkStored { .. }) => {
            "replica: mark"
        }
        HiveToHive::Consensus(_) => "replica: other",
        HiveToHive::Lives(_) => "lives",
        HiveToHive::Heard(_) => "heard",
        HiveToHive::AskLives | HiveToHive::AllLives { .. } => "all lives",
        HiveToHive::Met { .. } => "met",
        HiveToHive::Foragers(_) => "count",
    }
}

pub(crate) fn to_forager(message: &FromHive) -> &'static str {
    match message {
        FromHive::Version { .. } => "version",
        FromHive::Whole { .. } => "whole",
        FromHive::Change(_) => "change",
        FromHive::Pulse(_) => "pulse",
        FromHive::Packed(_) => "packed",
        FromHive::VersionPart(_) => "version part",
        FromHive::Heartbeat(_) => "heartbeat",
        FromHive::Refused { .. } => "refused",
    }
}

pub(crate) fn from_forager(message: &FromForager) -> &'static str {
    match message {
        FromForager::Report { .. } => "report",
        FromForager::Leaving => "leaving",
        FromForager::Taken { .. } => "taken",
        FromForager::AskWhole => "ask whole",
        FromForager::DeparturesTaken { .. } => "departures taken",
    }
}
