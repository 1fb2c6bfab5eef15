//! What is said between hives, what is kept on disk and what passes between the wax and its host.

use std::net::Ipv4Addr;

use elderpond_consensus::{Ballot, Millis, VoterSet};
use serde::{Deserialize, Serialize};

use crate::order::{Answer, Claim, Value, Word};

/// Names an order: the client's key, with whatever the host sets before it (a tenant, say). Some hundred
/// bytes at most; the host refuses longer ones.
pub type Key = String;

/// What a register holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cell {
    /// The set of voters in which it was stored. Orders values before the ballot does: what a lone voter
    /// of an older set was left with never beats what the newer set decided.
    pub epoch: u64,
    /// The attempt by which it was stored.
    pub ballot: Ballot,
    /// The order's state.
    pub value: Value,
}

impl Cell {
    /// What decides between two values of one register: the higher wins.
    #[must_use]
    pub fn rank(&self) -> (u64, Ballot) {
        (self.epoch, self.ballot)
    }
}

/// A register as it is on disk, or taken over.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Kept {
    /// Which order.
    pub key: Key,
    /// What it holds.
    pub cell: Cell,
    /// On disk: when it came to this state, on the disk's own count of time lived (ms). In a message: how
    /// long ago that was.
    pub since: Millis,
}

/// All of the durable state but the registers: small, written with each record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    /// The newest set of voters known.
    pub set: Option<VoterSet>,
    /// The latest epoch for which this disk holds all that was acknowledged before it.
    pub active_in: u64,
    /// No promise was ever given to a round at or above this.
    pub ceiling: u64,
    /// Epoch and round of the latest register forgotten: absent ones take nothing at or below.
    pub forgotten: (u64, u64),
    /// How long the processes on this disk have run in all, as far as written down (ms).
    pub lived: Millis,
}

/// One durable change, to be applied as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Replaces the head.
    pub head: Head,
    /// Added, or replaced by key.
    pub cells: Vec<Kept>,
    /// Registers forgotten.
    pub dropped: Vec<Key>,
}

/// What was on disk at the start.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stored {
    /// The newest head.
    pub head: Head,
    /// In any order.
    pub cells: Vec<Kept>,
}

/// Who this is.
#[derive(Clone, Debug)]
pub struct Found {
    /// This machine.
    pub me: Ipv4Addr,
    /// The replica's number of this disk.
    pub disk: u64,
    /// The epoch in which the replica on this disk votes, 0 for none: where nothing of the wax is on disk
    /// yet, it begins there. For a disk that came back empty it is 0.
    pub active_in: u64,
    /// Randomness, different at each start.
    pub seed: u64,
}

/// Periods and bounds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rules {
    /// How long an outcome is given again (ms), at least: the promised time.
    pub keep: Millis,
    /// How long a try that was not run is remembered (ms).
    pub spare: Millis,
    /// An owner silent for this beyond its patience is taken for gone (ms).
    pub grace: Millis,
    /// Between the voters' turns at ending what is due, and at finishing what ended (ms).
    pub turn: Millis,
    /// At most so many keys; a claim of another is refused.
    pub keys: usize,
    /// At most so many bytes of outcomes are kept; beyond, only length and digest of a body.
    pub bytes: usize,
    /// Longer bodies are kept by length and digest only (bytes).
    pub body: usize,
    /// At most so many words wait at once on one hive.
    pub requests: usize,
    /// How long a majority is waited for (ms).
    pub patience: Millis,
    /// Unanswered messages are sent again after this (ms).
    pub retry: Millis,
    /// A claim that waits for an outcome looks again after this, if nothing told it earlier (ms).
    pub look: Millis,
    /// A failed write is tried again after this (ms).
    pub rewrite: Millis,
    /// The time lived is written down at least so often while there are keys (ms).
    pub note: Millis,
    /// So many registers are taken over in one message.
    pub page: usize,
    /// A fault put in on purpose, which the tests have to find.
    #[doc(hidden)]
    #[serde(skip)]
    pub mutant: Option<Mutant>,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            keep: 24 * 3_600_000,
            spare: 60_000,
            grace: 2_000,
            turn: 2_000,
            keys: 100_000,
            bytes: 32 << 20,
            body: 16 << 10,
            requests: 4_096,
            patience: 800,
            retry: 200,
            look: 500,
            rewrite: 500,
            note: 60_000,
            page: 256,
            mutant: None,
        }
    }
}

/// What a check of this package has to notice. Nothing but tests sets one.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutant {
    /// Answers go out before what they tell is on disk.
    BeforeTheSync,
    /// A disk that came back empty is taken for the one that was lost.
    WipedIsCounted,
    /// An order of which nobody knows whether it ran is claimed as if never seen.
    UnknownIsAbsent,
    /// Answers count whatever set they were given in, and who knows a newer set votes on in the older.
    AnyEpoch,
    /// A member of a new set votes before it has taken over what the old voters hold.
    BeforeCaughtUp,
    /// Outcomes are ended at once.
    EndsEarly,
    /// An ended key is forgotten once a majority holds that it ended.
    ForgottenByMajority,
    /// What one voter of an older set was left with may beat what a newer set decided.
    RankWithoutEpoch,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed; about each 20 ms.
    Tick,
    /// The replica knows of a set of voters.
    Voters(VoterSet),
    /// Another hive said something.
    Message {
        /// Who.
        from: Ipv4Addr,
        /// What.
        message: Message,
    },
    /// Have a word held by a majority.
    Say {
        /// Names it in its answer.
        ticket: u64,
        /// Of which order.
        key: Key,
        /// What.
        word: Word,
        /// How long a claim may wait for another owner's outcome (ms).
        wait: Millis,
    },
    /// A write ended.
    Written {
        /// Which.
        write: u64,
        /// Whether it is durable.
        ok: bool,
    },
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send to another hive; may be lost.
    Send {
        /// To whom.
        to: Ipv4Addr,
        /// What.
        message: Message,
    },
    /// Make durable, then say `Written`. At most one is outstanding.
    Write {
        /// Names the write.
        write: u64,
        /// What to write.
        record: Record,
    },
    /// What became of a word; each gets one answer.
    Answered {
        /// Which.
        ticket: u64,
        /// What.
        answer: Answer,
    },
    /// Worth a line in the log.
    Log(String),
}

/// An order of which nobody knows whether it ran, for the operator.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Listed {
    /// Which.
    pub key: Key,
    /// Whose, by what route, by what try.
    pub claim: Claim,
    /// Since when, as far as this disk has seen (ms ago).
    pub age: Millis,
}

/// What hives say to each other. May be lost, doubled and reordered.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum Message {
    /// May this ballot change the register?
    Prepare {
        epoch: u64,
        key: Key,
        ballot: Ballot,
    },
    /// It may; and what the register holds.
    Promise {
        epoch: u64,
        disk: u64,
        key: Key,
        ballot: Ballot,
        cell: Option<Cell>,
    },
    /// Not this ballot: a round this high is due, or there is no room for the key.
    Refuse {
        epoch: u64,
        disk: u64,
        key: Key,
        ballot: Ballot,
        round: u64,
        full: bool,
    },
    /// Hold this on disk.
    Store { key: Key, cell: Cell },
    /// Held on disk.
    Stored {
        epoch: u64,
        disk: u64,
        key: Key,
        ballot: Ballot,
    },
    /// Every voter holds that the key ended by this ballot: forget it.
    Drop {
        epoch: u64,
        key: Key,
        ballot: Ballot,
    },
    /// This set is decided: send what you hold, after that key.
    Take { set: VoterSet, after: Option<Key> },
    /// What the sender holds, who takes no part in epochs before `epoch` any more.
    State {
        epoch: u64,
        disk: u64,
        active_in: u64,
        forgotten: (u64, u64),
        after: Option<Key>,
        cells: Vec<Kept>,
        more: bool,
    },
    /// There is a newer set.
    Newer(VoterSet),
}
