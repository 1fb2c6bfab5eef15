//! What the world is made of: disks, foragers, workers, orders.

use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;

use bytes::Bytes;
use elderpond_consensus::{Head, Held, Mark, Numbers, Record, Stored};
use elderpond_control_wire::{Assembly, FromHive};
use elderpond_flora::Routes;
use elderpond_forage::{Chance, ControlNodeChoice};
use elderpond_hive::{Event, Hive, LinkId, Ticket};
use elderpond_registry::{Number, State, Table};

use crate::Millis;
use crate::story::How;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiskCondition {
    Well,
    Slow(Millis),
    Stalled,
    Full,
}

impl DiskCondition {
    /// Whether what is written lasts, sooner or later.
    pub(crate) fn works(self) -> bool {
        matches!(self, Self::Well | Self::Slow(_))
    }
}

/// What outlives a hive.
#[derive(Default)]
pub(crate) struct Disk {
    head: Option<Head>,
    held: Vec<Held>,
    marks: BTreeMap<String, Mark>,
    numbers: Option<Numbers>,
}

impl Disk {
    pub(crate) fn put(&mut self, record: Record) {
        self.head = record.head.or(self.head.take());
        if let Some(held) = record.held {
            self.held.retain(|old| old.tag.version != held.tag.version);
            self.held.push(held);
            self.held.sort_by_key(|held| held.tag.version);
        }
        let newest = self.held.last().map(|held| held.tag.version);
        let committed = (self.head.as_ref()).and_then(|head| Some(head.committed?.version));
        let kept = [newest, committed];
        self.held
            .retain(|held| kept.contains(&Some(held.tag.version)));
        if let Some(numbers) = record.numbers {
            self.numbers.get_or_insert_default().apply(numbers);
        }
        for mark in record.marks {
            self.marks.insert(mark.key.clone(), mark);
        }
        for key in record.dropped {
            self.marks.remove(&key);
        }
    }

    pub(crate) fn stored(&self) -> Option<Stored> {
        Some(Stored {
            head: self.head.clone()?,
            held: self.held.clone(),
            marks: self.marks.values().cloned().collect(),
            numbers: self.numbers.clone(),
        })
    }
}

pub(crate) struct Machine {
    pub(crate) hive: Option<Hive>,
    pub(crate) life: u64,
    pub(crate) disk: Disk,
    pub(crate) condition: DiskCondition,
    pub(crate) writing: Option<(u64, Box<Record>)>,
    pub(crate) seeds: Vec<Ipv4Addr>,
    pub(crate) first: bool,
    /// Whether it is in use at all.
    pub(crate) in_use: bool,
    /// Connections to others: which, and to which life.
    pub(crate) links: BTreeMap<usize, (u64, u64)>,
    /// Whom it is to have a connection to, and by which dial.
    pub(crate) dials: BTreeMap<usize, u64>,
    /// Whether it is in use no more once it has ended.
    pub(crate) leaves: bool,
    /// It counts as lost until then.
    pub(crate) lost_until: Millis,
    /// When it was last in trouble.
    pub(crate) ill: Millis,
    /// What waits for it while it stands still.
    pub(crate) frozen: Option<VecDeque<Event>>,
    /// Its time of day when the day began.
    pub(crate) clock: Millis,
    /// When it last stood still, began, or was cut off from callers.
    pub(crate) stood: Millis,
    /// When it last was one of a majority that run and reach each other.
    pub(crate) together: Millis,
    /// What is met when it is back.
    pub(crate) meets: Option<How>,
    /// Lost for good.
    pub(crate) gone: bool,
    /// Without power.
    pub(crate) dark: bool,
    /// It is told to end once it is called.
    pub(crate) busy: bool,
}

pub(crate) struct Forager {
    pub(crate) up: bool,
    pub(crate) life: u64,
    pub(crate) follow: ControlNodeChoice,
    pub(crate) chance: Chance,
    pub(crate) table: Table,
    pub(crate) version: u64,
    /// What it was told when it had none, until a hive vouches for it.
    pub(crate) offered: Option<(u64, Bytes)>,
    pub(crate) link: Option<(LinkId, usize)>,
    pub(crate) report_at: Millis,
    pub(crate) ill: Millis,
    /// What waits for it while it stands still.
    pub(crate) frozen: Option<VecDeque<Heard>>,
    /// Since when it could reach a hive with a majority.
    pub(crate) reaches: Option<Millis>,
    /// Whether it was told a table in this life.
    pub(crate) told: bool,
    /// Whether it has a version and a table, and serves by them.
    pub(crate) begun: bool,
    /// When that was sent by which it last heard of a majority.
    pub(crate) vouched: Millis,
    /// Parts of a version that have come.
    pub(crate) assembly: Assembly,
    /// The newest version that it was told.
    pub(crate) content: Option<Routes>,
}

/// What reaches a forager: a message, or the end of its link.
pub(crate) enum Heard {
    /// On which connection, and when it was sent.
    Message(LinkId, FromHive, Millis),
    Lost(LinkId),
}

pub(crate) struct Worker {
    pub(crate) id: String,
    pub(crate) place: usize,
    pub(crate) state: State,
    pub(crate) sequence: u64,
    pub(crate) hive: usize,
    pub(crate) beat_at: Millis,
    pub(crate) waits: Option<(Ticket, Millis)>,
    /// When its leaving was acknowledged, by a hive in touch or not.
    pub(crate) departed: Option<(Millis, bool)>,
    /// Whether it is to be replaced by another life once it has gone.
    pub(crate) heir: bool,
    /// When it first said that it leaves.
    pub(crate) leaves: Option<Millis>,
    /// When it is gone, whatever it was told.
    pub(crate) gone_at: Option<Millis>,
}

impl Worker {
    pub(crate) fn number(&self) -> Number {
        Number::of(&self.id)
    }
}

pub(crate) struct Order {
    pub(crate) version: u64,
    pub(crate) body: Bytes,
    pub(crate) valid: bool,
    pub(crate) since: Millis,
    pub(crate) hive: usize,
    pub(crate) next: Millis,
    pub(crate) ticket: Option<Ticket>,
    pub(crate) ended: bool,
    /// Sent to the same hive until it answers.
    pub(crate) hard: bool,
    /// Answers to be lost.
    pub(crate) losing: usize,
}

/// A configuration of one route.
pub(crate) fn configuration(version: u64, word: u64, valid: bool) -> Bytes {
    let attempts = if valid { 2 } else { 0 };
    let text = format!(
        r#"{{"version-number":"r{version}","listener-list":[{{"host":"h","rule-set":[{{"name":"n{word}",
        "kind":"safe","target-latency-s":0.5,"match-condition":{{"path-prefix":"/p/"}},
        "route-action":{{"service":"s","timeout-s":1,"attempts":{attempts}}}}}]}}],
        "cluster-list":[{{"name":"s","health-check-path":"/health","connection-limit":10}}]}}"#
    );
    text.into()
}
