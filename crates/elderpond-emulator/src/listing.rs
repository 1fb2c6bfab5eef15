//! What a manager is told of the list when DNS stands beside the roster: by the merge of
//! `elderpond-sources`, or by a naive rule that it is compared with.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

use elderpond::interface::{Action, Condition, Entry, Event, ListKind, WorkerId};
use elderpond_model::World;
use elderpond_sources::{Authority, Kind as OutKind, Member, Merge, Out, Patience, SourceId, Word};

use crate::policy::Decider;

/// Servers of the name service.
const SERVERS: u16 = 3;
/// Lifetime of its answers, and how late they are, in milliseconds.
const LIFETIME_MS: f64 = 2000.0;
const LATE_MS: f64 = 8000.0;

/// How two sources become one list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The roster alone.
    RosterAlone,
    /// The merge of `elderpond-sources`.
    Merged,
    /// Whoever either lists, as the last that spoke has it.
    Union,
    /// Whoever both list.
    Intersection,
}

impl Rule {
    /// All rules with their names.
    pub const NAMES: [(&'static str, Self); 4] = [
        ("roster alone", Self::RosterAlone),
        ("merged", Self::Merged),
        ("naive union", Self::Union),
        ("naive intersection", Self::Intersection),
    ];
}

/// What is wrong with the name service, in parts of a run.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// It answers nothing from the first to the second of these, in milliseconds.
    pub dead: (f64, f64),
    /// Every server denies the name between these.
    pub denies: (f64, f64),
    /// One of the servers denies the name between these.
    pub lies: (f64, f64),
}

/// What came of a list, against the truth.
#[derive(Clone, Copy, Debug, Default)]
pub struct Kept {
    /// Worker-seconds for which a worker that was ready, and that the roster had told, was not listed.
    pub dropped_s: f64,
    /// Worker-seconds for which one that drained or was gone, as the roster had told, was listed ready.
    pub undead_s: f64,
}

fn address(worker: WorkerId) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + worker), 8080))
}

fn member(entry: &Entry) -> Member {
    Member {
        name: entry.worker.to_string().into(),
        address: Some(address(entry.worker)),
        zone: entry.zone.to_string().into(),
        weight: entry.weight,
        started: Some(entry.started),
        condition: entry.condition,
    }
}

fn entry(member: &Member) -> Option<Entry> {
    let SocketAddr::V4(address) = member.address? else {
        return None;
    };
    Some(Entry {
        worker: u32::from(*address.ip()) - 0x0a00_0000,
        weight: member.weight,
        zone: member.zone.parse().ok()?,
        started: member.started.unwrap_or(0.0),
        condition: member.condition,
    })
}

/// A decider behind two sources.
pub struct Behind<D> {
    inner: D,
    rule: Rule,
    faults: Faults,
    merge: Merge,
    ids: (SourceId, SourceId),
    /// The list as the roster has told it, and as the decider was told.
    roster: BTreeMap<WorkerId, Entry>,
    told: BTreeMap<WorkerId, Entry>,
    /// What DNS lists, by when, and what it last answered.
    truth: VecDeque<(f64, BTreeMap<WorkerId, Entry>)>,
    answered: BTreeMap<WorkerId, Entry>,
    asked_at: f64,
    turn: u16,
    begun: Option<f64>,
    looked_at: f64,
    kept: std::rc::Rc<std::cell::Cell<Kept>>,
}

impl<D: Decider> Behind<D> {
    /// A decider that is told one list by a rule; what comes of it is added to `kept`.
    pub fn new(
        inner: D,
        rule: Rule,
        faults: Faults,
        kept: std::rc::Rc<std::cell::Cell<Kept>>,
    ) -> Self {
        let mut merge = Merge::default();
        let roster = merge.add("roster", Authority::Deciding, 1, Patience::default());
        let dns = merge.add("dns", Authority::Listing, SERVERS, Patience::default());
        Self {
            inner,
            rule,
            faults,
            merge,
            ids: (roster, dns),
            roster: BTreeMap::new(),
            told: BTreeMap::new(),
            truth: VecDeque::new(),
            answered: BTreeMap::new(),
            asked_at: f64::NEG_INFINITY,
            turn: 0,
            begun: None,
            looked_at: 0.0,
            kept,
        }
    }

    /// What the name service says now, if it is asked: what is true of so long ago, or what is wrong.
    fn asks(&mut self, now: f64, world: &World) -> Vec<Word> {
        let ready = (0..world.workers())
            .filter(|at| world.truth(*at).ready)
            .map(|at| {
                let known = self.roster.get(&(at as WorkerId));
                let weight = known.map_or(1.0, |entry| entry.weight);
                let zone = world.truth(at).zone;
                let (worker, started, condition) = (at as WorkerId, 0.0, Condition::Ready);
                (
                    worker,
                    Entry {
                        worker,
                        weight,
                        zone,
                        started,
                        condition,
                    },
                )
            });
        self.truth.push_back((now, ready.collect()));
        while self.truth.len() > 1 && self.truth[1].0 <= now - LATE_MS {
            self.truth.pop_front();
        }
        let age = now - self.begun.unwrap_or(now);
        let within = |(from, to): (f64, f64)| (from..to).contains(&age);
        if now - self.asked_at < LIFETIME_MS * 0.8 {
            return Vec::new();
        }
        self.asked_at = now;
        if within(self.faults.dead) {
            return vec![Word::Failed];
        }
        let listed: BTreeMap<WorkerId, Entry> = self
            .truth
            .front()
            .map(|(_, entries)| entries.clone())
            .unwrap_or_default();
        let answer = |server: u16| {
            let denies = within(self.faults.denies) || server == 1 && within(self.faults.lies);
            let members = listed.values().filter(|_| !denies).map(|entry| Member {
                started: None,
                ..member(entry)
            });
            Word::Answer {
                server,
                members: members.collect(),
                lifetime_ms: LIFETIME_MS,
                whole: true,
            }
        };
        self.turn = (self.turn + 1) % SERVERS;
        let first = answer(self.turn);
        let Word::Answer { members, .. } = &first else {
            return Vec::new();
        };
        // Whoever an answer lacks has every server asked, as the resolver does.
        let doubt = members.len() < self.answered.len();
        let entries: Vec<Entry> = members.iter().filter_map(entry).collect();
        self.answered = entries
            .into_iter()
            .map(|entry| (entry.worker, entry))
            .collect();
        match doubt {
            true => (0..SERVERS).map(answer).collect(),
            false => vec![first],
        }
    }

    /// The list by a naive rule, as a whole list.
    fn naive(&self, now: f64) -> Vec<Entry> {
        let roster = self
            .roster
            .values()
            .filter(|entry| entry.condition != Condition::Gone);
        let mut list: BTreeMap<WorkerId, Entry> =
            roster.map(|entry| (entry.worker, entry.clone())).collect();
        if self.rule == Rule::Intersection {
            list.retain(|worker, _| self.answered.contains_key(worker));
            return list.into_values().collect();
        }
        for (worker, entry) in &self.answered {
            let known = self.told.get(worker).map_or(now, |told| told.started);
            let cold = Entry {
                started: known,
                ..entry.clone()
            };
            let listed = list.entry(*worker).or_insert(cold);
            listed.condition = Condition::Ready;
        }
        list.into_values().collect()
    }

    /// The decider is told of the list.
    fn event(&mut self, kind: ListKind, entries: Vec<Entry>) -> Event {
        if matches!(kind, ListKind::Cached | ListKind::Full) {
            self.told.clear();
        }
        for entry in &entries {
            match entry.condition {
                Condition::Gone => drop(self.told.remove(&entry.worker)),
                _ => drop(self.told.insert(entry.worker, entry.clone())),
            }
        }
        Event::List { kind, entries }
    }

    fn merged(&mut self, out: Option<Out>) -> Option<Event> {
        let Out { kind, members } = out?;
        let kind = match kind {
            OutKind::Known => ListKind::Cached,
            OutKind::Whole => ListKind::Full,
            OutKind::Changes | OutKind::Unchanged => ListKind::Delta,
            OutKind::Failed => ListKind::Failed,
        };
        let entries = members.iter().filter_map(entry).collect();
        Some(self.event(kind, entries))
    }

    fn count(&mut self, now: f64) {
        let span = (now - self.looked_at).max(0.0) / 1000.0;
        let mut kept = self.kept.get();
        let ready =
            |entry: Option<&Entry>| entry.is_some_and(|entry| entry.condition == Condition::Ready);
        let all: BTreeSet<&WorkerId> = self.roster.keys().chain(self.told.keys()).collect();
        for worker in all {
            let (roster, told) = (ready(self.roster.get(worker)), ready(self.told.get(worker)));
            let spoken = self.roster.contains_key(worker);
            kept.dropped_s += if roster && !told { span } else { 0.0 };
            kept.undead_s += if spoken && !roster && told { span } else { 0.0 };
        }
        self.kept.set(kept);
        self.looked_at = now;
    }
}

impl<D: Decider> Decider for Behind<D> {
    fn decide(&mut self, now: f64, events: &[Event], world: &World, out: &mut Vec<Action>) {
        if self.begun.is_none() {
            (self.begun, self.looked_at) = (Some(now), now);
        }
        self.count(now);
        let mut heard = Vec::with_capacity(events.len());
        for event in events {
            let Event::List { kind, entries } = event else {
                heard.push(event.clone());
                continue;
            };
            if matches!(kind, ListKind::Cached | ListKind::Full) {
                self.roster
                    .values_mut()
                    .for_each(|entry| entry.condition = Condition::Gone);
            }
            self.roster
                .extend(entries.iter().map(|entry| (entry.worker, entry.clone())));
            let members: Vec<Member> = entries.iter().map(member).collect();
            let word = match kind {
                ListKind::Cached => Word::Known(members),
                ListKind::Full => Word::Whole(members),
                ListKind::Delta => Word::Changes(members),
                ListKind::Failed => Word::Failed,
            };
            let merged = self.merge.hear(now, self.ids.0, word);
            match self.rule {
                Rule::Merged => heard.extend(self.merged(merged)),
                Rule::RosterAlone => heard.push(self.event(*kind, entries.clone())),
                Rule::Union | Rule::Intersection => {
                    let list = self.naive(now);
                    heard.push(self.event(ListKind::Full, list));
                }
            }
        }
        for word in self.asks(now, world) {
            let merged = self.merge.hear(now, self.ids.1, word);
            if self.rule == Rule::Merged {
                heard.extend(self.merged(merged));
            }
        }
        if self.asked_at == now && matches!(self.rule, Rule::Union | Rule::Intersection) {
            let list = self.naive(now);
            heard.push(self.event(ListKind::Full, list));
        }
        let ticked = self.merge.tick(now);
        if self.rule == Rule::Merged {
            heard.extend(self.merged(ticked));
        }
        self.inner.decide(now, &heard, world, out);
    }
}
