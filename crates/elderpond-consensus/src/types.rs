//! What is said between hives, what is kept on disk and what passes between the replica and its host.

use std::net::Ipv4Addr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Milliseconds on a steady clock; only differences matter.
pub type Millis = u64;

/// The content of a body in 128 bits, the same on every machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub u128);

impl Digest {
    /// The digest of these bytes.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(xxhash_rust::xxh3::xxh3_128(bytes))
    }
}

/// A machine's disk: a machine whose disk came back empty is another voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Voter {
    /// The machine.
    pub node: Ipv4Addr,
    /// Drawn when the disk was formatted; 0 for those of the founders.
    pub disk: u64,
}

/// The voters of one epoch, with those of the epoch before, from whom the state is taken over.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterSet {
    /// The number of the set, from 1.
    pub epoch: u64,
    /// Who votes, in order.
    pub voters: Vec<Voter>,
    /// Who voted in the epoch before; empty for the first.
    pub previous: Vec<Voter>,
}

impl VoterSet {
    /// How many voters make a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// An attempt to have something agreed; the highest round wins. Unique: `life` differs at each start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Raised at each attempt.
    pub round: u64,
    /// Who attempts.
    pub node: u32,
    /// Which start of that machine.
    pub life: u64,
}

/// Names one version's body, and the attempt which brought it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Tag {
    /// The configuration's version.
    pub version: u64,
    /// The attempt by which it was accepted.
    pub ballot: Ballot,
    /// Of the body.
    pub digest: Digest,
}

/// A version with its body.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Held {
    /// What it is.
    pub tag: Tag,
    /// The configuration, to about 1 MB.
    pub body: Bytes,
}

/// One mark; marks are only ever added, and the oldest forgotten beyond the bound.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Mark {
    /// Larger for later marks.
    pub order: u64,
    /// What is marked.
    pub key: String,
    /// What is known of it.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// With which body each number was held, also those that a newer version has overtaken.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Numbers {
    /// Of numbers up to this nothing is known any more.
    pub forgotten: u64,
    /// What was accepted last, one for each number, in any order.
    pub given: Vec<Tag>,
}

impl Numbers {
    /// Applies changes, as [`Record::numbers`] has them.
    pub fn apply(&mut self, changes: Self) {
        self.forgotten = self.forgotten.max(changes.forgotten);
        for tag in changes.given {
            self.given.retain(|old| old.version != tag.version);
            self.given.push(tag);
        }
        self.given.retain(|tag| tag.version > self.forgotten);
        self.given.sort_unstable_by_key(|tag| tag.version);
    }
}

/// All of the durable state but bodies, numbers and marks: small, written whole.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    /// This disk's id.
    pub disk: u64,
    /// The newest decided set of voters known.
    pub set: Option<VoterSet>,
    /// The latest epoch for which this disk holds all that was acknowledged before it.
    pub active_in: u64,
    /// No promise was ever given to a round at or above this.
    pub ceiling: u64,
    /// The highest ballot promised for the next set.
    pub promised: Ballot,
    /// The set accepted as the next one.
    pub accepted: Option<(Ballot, Vec<Voter>)>,
    /// The newest version known to be held by a majority.
    pub committed: Option<Tag>,
}

/// One durable change, to be applied as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Replaces the head.
    pub head: Option<Head>,
    /// The newest accepted body. Of older bodies only the committed one need be kept.
    pub held: Option<Held>,
    /// Added or replaced by key.
    pub marks: Vec<Mark>,
    /// Keys of marks forgotten.
    pub dropped: Vec<String>,
    /// Replaces what is held of these numbers; those up to `forgotten` go.
    pub numbers: Option<Numbers>,
}

/// What was on disk at the start.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stored {
    /// The newest head.
    pub head: Head,
    /// The bodies, in order of version.
    pub held: Vec<Held>,
    /// In any order.
    pub marks: Vec<Mark>,
    /// All numbers; nothing on a disk that was written before they were kept.
    pub numbers: Option<Numbers>,
}

/// Periods and bounds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rules {
    /// How many voters there should be before configurations are taken: twice the losses to stand, and one.
    pub minimum_voters: usize,
    /// How long a request is tried before it is refused (ms).
    pub patience: Millis,
    /// How long after the start too small a set holds requests back (ms).
    pub founding_patience: Millis,
    /// Unanswered messages are sent again after this (ms).
    pub retry: Millis,
    /// Between looks for a newest version not yet known to be held by a majority (ms).
    pub recover: Millis,
    /// Between beats (ms).
    pub beat: Millis,
    /// A voter out of reach for longer is replaced by a spare machine, if there is one (ms).
    pub gone: Millis,
    /// A failed write is tried again after this (ms).
    pub rewrite: Millis,
    /// At most so many marks are kept.
    pub marks: usize,
    /// What a number was given is kept for so many of the highest.
    pub numbers: usize,
    /// At most so many requests wait at once.
    pub requests: usize,
    /// Longer bodies, and more marks, go in pieces of so many bytes.
    pub piece: usize,
    /// Pieces of a body that are asked for at once.
    pub window: usize,
    /// A fault put in on purpose, which the tests have to find.
    #[doc(hidden)]
    #[serde(skip)]
    pub mutant: Option<Mutant>,
}

/// What a check of this package has to notice. Nothing but tests sets one.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutant {
    /// Answers go out before what they tell is on disk.
    BeforeTheSync,
    /// A founder whose disk came back empty is taken for the founder.
    WipedIsCounted,
    /// A member of a new set votes before it has taken over what the old voters hold.
    BeforeCaughtUp,
    /// A member of a new set is content with what one of the old voters holds.
    OldMajorityForgotten,
    /// Who knows a newer set goes on voting in the older one.
    NoFence,
    /// Answers count whatever set they were given in.
    AnyEpoch,
    /// A machine whose disk is replaced counts twice among those who stay when another leaves.
    CountedTwice,
    /// A hive that leaves ends once a set without it is decided, whatever that holds.
    EndsUnproven,
    /// Of numbers below the newest any body is confirmed.
    NewestNumberOnly,
    /// What this disk accepted for a number is taken for what a majority holds.
    OwnNumbersOnly,
    /// What was accepted for a number is forgotten once a newer is held.
    OvertakenForgotten,
    /// Of numbers the newest alone outlives a start.
    NumbersInMemory,
    /// What is told of a number is not on disk yet.
    NumberToldUnsynced,
    /// What members of a new set copied of a number is taken for what they accepted.
    CopiesDecide,
    /// Numbers are not handed over to the next set of voters.
    NumbersNotHandedOver,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            minimum_voters: 1,
            patience: 800,
            founding_patience: 5_000,
            retry: 200,
            recover: 300,
            beat: 1_000,
            gone: 500,
            rewrite: 500,
            marks: 8_192,
            numbers: 4_096,
            requests: 4_096,
            piece: 64 << 10,
            window: 4,
            mutant: None,
        }
    }
}

/// Who this is and whom to found with.
#[derive(Clone, Debug)]
pub struct Found {
    /// This machine.
    pub me: Ipv4Addr,
    /// Whom to ask; also the founders when `first_start`.
    pub seeds: Vec<Ipv4Addr>,
    /// The very first start: an empty disk of a seed is then a founder's. Never set it for a wiped disk.
    pub first_start: bool,
    /// Randomness, different at each start.
    pub seed: u64,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed; about each 100 ms.
    Tick,
    /// Another hive said something.
    Message {
        /// Who.
        from: Ipv4Addr,
        /// What.
        message: Message,
    },
    /// Have a configuration held by a majority.
    Propose {
        /// Names the request in its answer.
        ticket: u64,
        /// Higher wins.
        version: u64,
        /// The configuration.
        body: Bytes,
    },
    /// Find the newest configuration.
    Read {
        /// Names the request in its answer.
        ticket: u64,
    },
    /// Find out whether the newest configuration is in force here and all marks are, and change nothing. It
    /// ends as a read does, once what is in force here is no older than all that was acknowledged before it
    /// began, and all marks are here that were acknowledged before it began; unlike a read it ends no
    /// proposal that it meets, so it may be asked for at any pace.
    Confirm {
        /// Names the request in its answer.
        ticket: u64,
    },
    /// Have a mark held by a majority.
    Mark {
        /// Names the request in its answer.
        ticket: u64,
        /// What is marked.
        key: String,
        /// What is known of it.
        value: Vec<u8>,
    },
    /// A write ended.
    Written {
        /// Which.
        write: u64,
        /// Whether it is durable.
        ok: bool,
    },
    /// The hives reachable now; this one counts whether in it or not.
    Alive(Vec<Ipv4Addr>),
    /// Whom to ask, from now on.
    Seeds(Vec<Ipv4Addr>),
    /// That hive leaves for good.
    Leaving(Ipv4Addr),
    /// This hive is to end, and its disk may go: what it holds is handed over first.
    Ending,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// That number was given to another body, which was in force or acknowledged, or may yet be.
    Conflict,
    /// That number is below all of which is still known what they were given: it may have been taken.
    Forgotten,
    /// No majority answered in time. The request may yet take effect.
    Unavailable,
}

/// Whether a hive that leaves may end, and its disk go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HandOver {
    /// It may: these voters have on disk what it has, or nobody needs it.
    Done {
        /// By their own word, given after a sync.
        by: Vec<Ipv4Addr>,
    },
    /// Not yet.
    Waits {
        /// Who has it all.
        by: Vec<Ipv4Addr>,
        /// Of whom there is no such word.
        missing: Vec<Ipv4Addr>,
        /// How many have to have it.
        needed: usize,
    },
}

/// What the host is to do.
#[derive(Clone, Debug, Hash)]
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
    /// A proposal or mark is held by a majority.
    Acknowledged {
        /// Which request.
        ticket: u64,
    },
    /// A request ended without success.
    Refused {
        /// Which request.
        ticket: u64,
        /// Why.
        why: Refusal,
    },
    /// A read or a confirmation ended.
    ReadDone {
        /// Which request.
        ticket: u64,
        /// The newest version and its body; nothing if none was ever accepted.
        held: Option<(u64, Bytes)>,
    },
    /// A version is held by a majority. Versions only rise within a life.
    InForce {
        /// Which.
        version: u64,
        /// The configuration.
        body: Bytes,
    },
    /// A mark was learnt.
    MarkLearned {
        /// What is marked.
        key: String,
        /// What is known of it.
        value: Vec<u8>,
    },
    /// Worth a line in the log.
    Log(String),
}

/// A short word on where a hive stands, said each second and at changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Beat {
    /// Its disk, once formatted and until it leaves: who leaves is not to be made a voter again.
    pub disk: Option<u64>,
    /// The newest set it knows.
    pub set: Option<VoterSet>,
    /// Whether it votes in that set.
    pub active: bool,
    /// Its highest round seen.
    pub round: u64,
    /// The newest version it has in force.
    pub committed: Option<Tag>,
    /// The newest version its disk holds.
    pub durable: u64,
    /// Digest of its marks.
    pub marks: u64,
}

/// What hives say to each other. May be lost, doubled and reordered.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum Message {
    /// Where the sender stands.
    Beat(Box<Beat>),
    /// May this ballot decide the version's body?
    Prepare {
        epoch: u64,
        version: u64,
        ballot: Ballot,
    },
    /// It may; and what was accepted for the version so far.
    Promise {
        epoch: u64,
        disk: u64,
        version: u64,
        ballot: Ballot,
        held: Option<Tag>,
    },
    /// Not this ballot: a higher round was promised, or a version above is held.
    Nack {
        epoch: u64,
        version: u64,
        ballot: Ballot,
        round: u64,
        above: Option<u64>,
    },
    /// Hold this on disk.
    Accept { epoch: u64, held: Held },
    /// Held on disk.
    Accepted {
        epoch: u64,
        disk: u64,
        version: u64,
        ballot: Ballot,
    },
    /// A majority holds this.
    Commit(Tag),
    /// Send the body.
    Fetch(Tag),
    /// The body; whether a majority is known to hold it.
    Body { held: Held, committed: bool },
    /// What is the newest held?
    Read { epoch: u64, id: u64 },
    /// This is.
    ReadReply {
        epoch: u64,
        disk: u64,
        id: u64,
        held: Option<Tag>,
        /// Whether that is on disk.
        written: bool,
        committed: Option<Tag>,
    },
    /// Hold this mark on disk.
    MarkStore { epoch: u64, id: u64, mark: Mark },
    /// Held on disk.
    MarkStored { epoch: u64, disk: u64, id: u64 },
    /// Send all marks.
    MarksAsk,
    /// Marks to learn.
    Marks(Vec<Mark>),
    /// May this ballot decide the set after this epoch?
    PrepareSet { epoch: u64, ballot: Ballot },
    /// It may; and what was accepted so far.
    PromiseSet {
        epoch: u64,
        disk: u64,
        ballot: Ballot,
        accepted: Option<(Ballot, Vec<Voter>)>,
    },
    /// Accept this as the set after this epoch.
    AcceptSet {
        epoch: u64,
        ballot: Ballot,
        voters: Vec<Voter>,
    },
    /// Accepted.
    AcceptedSet {
        epoch: u64,
        disk: u64,
        ballot: Ballot,
    },
    /// Not this ballot: a higher round was promised for the set after this epoch.
    NackSet { epoch: u64, round: u64 },
    /// This set is decided: send what you hold, if it is more than this.
    StateRequest {
        set: VoterSet,
        held: Option<Tag>,
        marks: u64,
    },
    /// What the sender holds, who takes no part in epochs before `epoch` any more.
    StateReply {
        epoch: u64,
        disk: u64,
        active_in: u64,
        held: Option<Held>,
        committed: Option<Tag>,
        marks: Vec<Mark>,
    },
    /// Hold this on disk; its body, of so many bytes, is to be fetched.
    Offer { epoch: u64, tag: Tag, size: u64 },
    /// Send so many bytes of that body from there on.
    PieceAsk { tag: Tag, at: u64, length: u64 },
    /// A piece of a body of so many bytes; whether a majority is known to hold that.
    Piece {
        tag: Tag,
        committed: bool,
        size: u64,
        at: u64,
        bytes: Bytes,
    },
    /// Send the marks of buckets that differ from these sums, after this place.
    MarksDiffer {
        id: u64,
        sums: Vec<(u8, u64)>,
        after: Option<Place>,
    },
    /// Marks of such buckets, and where to go on, if there are more.
    MarksPage {
        id: u64,
        disk: u64,
        marks: Vec<Mark>,
        next: Option<Place>,
    },
    /// What the sender holds, as in `State`, where that is too much for one message: the body's tag and the
    /// digest of its marks.
    StateSummary {
        epoch: u64,
        disk: u64,
        active_in: u64,
        held: Option<Tag>,
        committed: Option<Tag>,
        marks: u64,
    },
    /// As `Prepare`, for a number that a version in force has overtaken.
    PrepareNumber {
        epoch: u64,
        version: u64,
        ballot: Ballot,
    },
    /// As `Accept`, for such a number: the body has no effect any more, and its digest is enough.
    AcceptNumber { epoch: u64, tag: Tag },
    /// `StateReply` or `StateSummary` for members of `epoch`, with what the sender holds of all numbers.
    State {
        epoch: u64,
        numbers: Numbers,
        state: Box<Message>,
    },
    /// As `Read`, with the digest of all marks of the sender.
    Confirm { epoch: u64, id: u64, marks: u64 },
    /// The `ReadReply` to a `Confirm`, and whether the sender's marks have the digest that was asked about.
    Confirmed { alike: bool, reply: Box<Message> },
}

/// A place among the marks: the bucket, and the key last told.
pub type Place = (u8, String);

/// Where one voter stands, as far as known here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterStatus {
    /// Who.
    pub voter: Voter,
    /// Whether it is reachable.
    pub alive: bool,
    /// Whether it was last heard to vote in this epoch.
    pub active: bool,
    /// The newest version its disk was last heard to hold; 0 for none.
    pub version: u64,
    /// By how many versions it is behind what is in force.
    pub behind: u64,
}

/// Where this hive stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// This hive.
    pub me: Voter,
    /// The epoch; 0 while no set is known.
    pub epoch: u64,
    /// Whether this hive votes.
    pub active: bool,
    /// The voters.
    pub voters: Vec<VoterStatus>,
    /// The version in force; 0 for none.
    pub in_force: u64,
    /// How many marks are held.
    pub marks: usize,
    /// Since when the present write is outstanding, if one is (ms of this machine's steady clock).
    pub writing_since: Option<Millis>,
}
