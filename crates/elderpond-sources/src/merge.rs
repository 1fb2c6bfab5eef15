//! The sources, what each has said, and the one list.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use elderpond::interface::Condition;
use imbl::OrdMap;

use crate::absence::Absence;
use crate::{Authority, Claim, Identity, Member, Patience, Verdict, verdict};

/// Names a source for the life of a [`Merge`].
pub type SourceId = u16;

/// Disagreements shown in a snapshot at the most; all are counted.
const SHOWN: usize = 1000;

/// That a worker is gone is remembered for so long, in milliseconds, whoever lists it meanwhile: a
/// slower source may drop it and list it again.
const TOMB_MS: f64 = 3_600_000.0;
/// And of so many workers at the most; of more, the longest gone are forgotten.
const TOMBS: usize = 100_000;

/// What a source says.
#[derive(Clone, Debug, PartialEq)]
pub enum Word {
    /// Its list as it was known before the start, perhaps stale.
    Known(Vec<Member>),
    /// Its whole list; whoever is not in it is gone, by a source that decides.
    Whole(Vec<Member>),
    /// What has changed in it.
    Changes(Vec<Member>),
    /// An answer without news.
    Unchanged,
    /// One server's answer of a source that only lists: its whole list, as that server has it.
    Answer {
        /// Which server, from 0 on.
        server: u16,
        /// What it lists; nobody, for a name or records that do not exist.
        members: Vec<Member>,
        /// How long the answer may be relied on, in milliseconds.
        lifetime_ms: f64,
        /// Whether whoever is not in it is not listed: else it was cut off, or addresses were not found.
        whole: bool,
    },
    /// It failed, timed out, or is silent. Nobody goes for that.
    Failed,
}

/// How what is told is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// As last known, perhaps stale.
    Known,
    /// The whole list.
    Whole,
    /// Changes only.
    Changes,
    /// An answer without news.
    Unchanged,
    /// A call has failed.
    Failed,
}

/// What the module's list is to be told.
#[derive(Clone, Debug, PartialEq)]
pub struct Out {
    /// How to read it.
    pub kind: Kind,
    /// The entries; those that are gone have that condition.
    pub members: Vec<Member>,
}

/// Sources that differ about a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Disagreement {
    /// Who.
    pub identity: Identity,
    /// Since when, in milliseconds.
    pub since: f64,
    /// What each source says, by its name.
    pub said: Vec<(Arc<str>, Claim)>,
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Words taken in.
    pub words: u64,
    /// Words of failure.
    pub failures: u64,
    /// Workers that a source that lists lacks while another has them.
    pub missing: u64,
    /// Workers that a source lists though one that decides has them gone or draining.
    pub overruled: u64,
    /// Workers dropped after a confirmed absence.
    pub confirmed: u64,
    /// Workers whose absence was confirmed and that stay, as the last of their zone or by the pace.
    pub spared: u64,
}

/// The list and what is known about it, at one moment. Cheap to take and to keep.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The one list.
    pub list: OrdMap<Identity, Arc<Member>>,
    /// Who says what of whom, where sources differ.
    pub disagreements: Vec<Disagreement>,
    /// What was counted.
    pub counts: Counts,
}

/// What a source said of a worker.
#[derive(Clone, Debug)]
struct Said {
    member: Member,
    claim: Claim,
    absence: Absence,
    first_seen: f64,
}

struct Source {
    name: Arc<str>,
    authority: Authority,
    servers: u16,
    patience: Patience,
    lifetime_ms: f64,
    /// How many have gone, and since when that is counted.
    went: (usize, f64),
    said: BTreeMap<Identity, Said>,
    /// Of one that decides, the names under which it has listed: where an address moved, the former one
    /// is given up.
    names: BTreeMap<Arc<str>, Identity>,
}

/// The entry that says that a worker is gone.
fn gone(member: &Member) -> Member {
    Member {
        condition: Condition::Gone,
        ..member.clone()
    }
}

/// Any number of sources, merged.
#[derive(Default)]
pub struct Merge {
    sources: BTreeMap<SourceId, Source>,
    next: SourceId,
    list: OrdMap<Identity, Arc<Member>>,
    differs: OrdMap<Identity, f64>,
    /// Who is gone, the longest gone first.
    tombs: VecDeque<(f64, SourceId, Identity)>,
    /// By name in the list: names are unique there, whoever gave them.
    taken: BTreeMap<Arc<str>, Identity>,
    counts: Counts,
}

impl Merge {
    /// Adds a source. One that decides gives whole lists and changes; one that only lists gives the
    /// answers of so many servers.
    pub fn add(
        &mut self,
        name: &str,
        authority: Authority,
        servers: u16,
        patience: Patience,
    ) -> SourceId {
        let id = self.next;
        self.next += 1;
        let source = Source {
            name: name.into(),
            authority,
            servers,
            patience,
            lifetime_ms: 0.0,
            went: (0, f64::NEG_INFINITY),
            said: BTreeMap::new(),
            names: BTreeMap::new(),
        };
        self.sources.insert(id, source);
        id
    }

    /// A source that lists has moved to other servers: nobody goes for it, and absences are counted anew.
    pub fn moved(&mut self, id: SourceId, servers: u16, patience: Patience) {
        if let Some(source) = self.sources.get_mut(&id) {
            (source.servers, source.patience) = (servers, patience);
            for said in source.said.values_mut() {
                said.absence = Absence::default();
            }
        }
    }

    /// Removes a source, and with it whoever only it knew.
    pub fn remove(&mut self, now: f64, id: SourceId) -> Option<Out> {
        let source = self.sources.remove(&id)?;
        let touched: BTreeSet<Identity> = source.said.into_keys().collect();
        self.changes(now, touched)
    }

    /// The list and what is known about it.
    pub fn snapshot(&self) -> Snapshot {
        let shown = self
            .differs
            .iter()
            .take(SHOWN)
            .map(|(identity, since)| Disagreement {
                identity: identity.clone(),
                since: *since,
                said: self
                    .claims(identity)
                    .map(|(name, _, claim)| (name, claim))
                    .collect(),
            });
        Snapshot {
            list: self.list.clone(),
            disagreements: shown.collect(),
            counts: self.counts,
        }
    }

    /// Sources differ about so many workers.
    pub fn differing(&self) -> usize {
        self.differs.len()
    }

    /// Takes in a word, and says what the list is to be told.
    pub fn hear(&mut self, now: f64, id: SourceId, word: Word) -> Option<Out> {
        self.forget(now);
        let source = self.sources.get_mut(&id)?;
        self.counts.words += 1;
        match word {
            Word::Failed => {
                self.counts.failures += 1;
                source.says(Kind::Failed)
            }
            Word::Unchanged => source.says(Kind::Unchanged),
            Word::Answer {
                server,
                members,
                lifetime_ms,
                whole,
            } => {
                source.lifetime_ms = lifetime_ms;
                let touched = source.answered(now, server, members, whole);
                self.changes(now, touched)
            }
            Word::Known(members) => Some(self.decided(now, id, members, Kind::Known)),
            Word::Whole(members) => Some(self.decided(now, id, members, Kind::Whole)),
            Word::Changes(members) => Some(self.decided(now, id, members, Kind::Changes)),
        }
    }

    /// Forgets who has been gone for long, unless somebody lists it still.
    fn forget(&mut self, now: f64) {
        while let Some((at, ..)) = self.tombs.front()
            && (now - at > TOMB_MS || self.tombs.len() > TOMBS)
        {
            let Some((_, id, identity)) = self.tombs.pop_front() else {
                return;
            };
            let lists = |claim: Claim| !matches!(claim, Claim::Unheard | Claim::Gone);
            if self.claims(&identity).any(|(.., claim)| lists(claim)) {
                self.tombs.push_back((now, id, identity));
                if now - self.tombs[0].0 <= TOMB_MS {
                    return;
                }
            } else if let Some(source) = self.sources.get_mut(&id) {
                let said = source.said.remove(&identity);
                let name = said.map(|said| said.member.name);
                if let Some(name) = name.filter(|name| source.names.get(name) == Some(&identity)) {
                    source.names.remove(&name);
                }
            }
        }
    }

    /// The next moment at which [`Self::tick`] may have something to say.
    pub fn next_at(&self) -> Option<f64> {
        let due = self.sources.values().flat_map(|source| {
            let missing = source
                .said
                .values()
                .filter(|said| said.claim == Claim::Missing);
            missing.filter_map(|said| source.due(said))
        });
        due.min_by(f64::total_cmp)
    }

    /// Time has gone by: workers whose absence is confirmed go, at the pace, and never the last one
    /// of a zone.
    pub fn tick(&mut self, now: f64) -> Option<Out> {
        let due: Vec<(SourceId, Identity)> = self
            .sources
            .iter()
            .flat_map(|(id, source)| {
                let missing = source
                    .said
                    .iter()
                    .filter(|(_, said)| said.claim == Claim::Missing);
                let due =
                    missing.filter(|(_, said)| source.due(said).is_some_and(|due| due <= now));
                due.map(|(identity, _)| (*id, identity.clone()))
            })
            .collect();
        if due.is_empty() {
            return None;
        }
        // Workers of each zone that are ready and stay.
        let mut ready: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for member in self
            .list
            .values()
            .filter(|member| member.condition == Condition::Ready)
        {
            *ready.entry(member.zone.clone()).or_default() += 1;
        }
        let mut touched = BTreeSet::new();
        for (id, identity) in due {
            let elsewhere = self.sources.iter().any(|(other, source)| {
                let claim = source.said.get(&identity).map(|said| said.claim);
                *other != id && matches!(claim, Some(Claim::Ready | Claim::Draining))
            });
            let left = self
                .list
                .get(&identity)
                .and_then(|member| ready.get_mut(&member.zone));
            let Some(source) = self.sources.get_mut(&id) else {
                continue;
            };
            let span = source.lifetime_ms.max(source.patience.least_ms);
            if now - source.went.1 >= span {
                source.went = (0, now);
            }
            let last = left.as_ref().is_some_and(|left| **left <= 1);
            if elsewhere || last || source.went.0 >= source.patience.pace.max(1) {
                self.counts.spared += u64::from(!elsewhere);
                // Looked at again after another lifetime.
                if let Some(said) = source.said.get_mut(&identity) {
                    let since = now - span * (source.patience.lifetimes - 1.0);
                    said.absence = Absence::default();
                    (0..source.servers)
                        .for_each(|server| said.absence.answered(since, server, false));
                }
                continue;
            }
            source.went.0 += 1;
            source.said.remove(&identity);
            self.counts.confirmed += 1;
            if let Some(left) = left {
                *left -= 1;
            }
            touched.insert(identity);
        }
        self.changes(now, touched)
    }

    fn claims(&self, identity: &Identity) -> impl Iterator<Item = (Arc<str>, Authority, Claim)> {
        self.sources.values().map(|source| {
            let claim = source
                .said
                .get(identity)
                .map_or(Claim::Unheard, |said| said.claim);
            (source.name.clone(), source.authority, claim)
        })
    }

    /// A word of a source that decides. It is told on as it came, but for what others have to say of
    /// the same workers; whom only others know is added to a whole list.
    fn decided(&mut self, now: f64, id: SourceId, members: Vec<Member>, kind: Kind) -> Out {
        let Some(source) = self.sources.get_mut(&id) else {
            return Out {
                kind,
                members: Vec::new(),
            };
        };
        let named: BTreeSet<Identity> = members.iter().map(Member::identity).collect();
        let mut touched = BTreeSet::new();
        if kind != Kind::Changes {
            for (identity, said) in &mut source.said {
                if !named.contains(identity) && said.claim != Claim::Gone {
                    said.claim = Claim::Gone;
                    self.tombs.push_back((now, id, identity.clone()));
                    touched.insert(identity.clone());
                }
            }
        }
        for member in &members {
            let told = source.tells(now, member.clone());
            let leaves = |identity: &&Identity| {
                source
                    .said
                    .get(*identity)
                    .is_some_and(|said| said.claim == Claim::Gone)
            };
            self.tombs.extend(
                told.iter()
                    .filter(leaves)
                    .map(|identity| (now, id, identity.clone())),
            );
            touched.extend(told);
        }
        let others = self.sources.len() > 1;
        let mut told = Vec::with_capacity(members.len());
        let mut seen = BTreeSet::new();
        for member in members {
            let identity = member.identity();
            touched.remove(&identity);
            seen.insert(identity.clone());
            let before = self.list.get(&identity).cloned();
            let merged = self.judge(now, &identity);
            // Another source's name for it is given up: the module knows workers by name.
            let renamed = before.filter(|before| before.name != member.name);
            let renamed = renamed.filter(|_| kind == Kind::Changes);
            told.extend(renamed.map(|before| gone(&before)));
            // As it came, where nobody else has a say in it.
            let plain = !others
                || merged
                    .as_ref()
                    .is_none_or(|merged| merged.condition == member.condition);
            told.push(match merged {
                _ if plain => member,
                Some(merged) => Member {
                    condition: merged.condition,
                    ..member
                },
                None => Member {
                    condition: Condition::Gone,
                    ..member
                },
            });
        }
        let names: BTreeSet<Arc<str>> = told.iter().map(|member| member.name.clone()).collect();
        if let Some(more) = self.changes(now, touched) {
            let whole = kind != Kind::Changes;
            // A whole list says who is gone by leaving them out, and a name that has moved is not gone.
            let says = |member: &Member| {
                let leaves = member.condition == Condition::Gone;
                !leaves || !whole && !names.contains(&member.name)
            };
            let more = more.members.into_iter().filter(says);
            for member in more {
                seen.insert(member.identity());
                told.push(member);
            }
        }
        if kind != Kind::Changes && others {
            let added = self
                .list
                .iter()
                .filter(|(identity, _)| !seen.contains(*identity));
            let added = added.filter(|(_, member)| !names.contains(&member.name));
            told.extend(added.map(|(_, member)| Member::clone(member)));
        }
        Out {
            kind,
            members: told,
        }
    }

    /// What has changed in the list for these workers.
    fn changes(&mut self, now: f64, touched: BTreeSet<Identity>) -> Option<Out> {
        let mut members = Vec::new();
        for identity in touched {
            let before = self.list.get(&identity).cloned();
            let after = self.judge(now, &identity);
            match (before, after) {
                (Some(before), None) => members.push(gone(&before)),
                (before, Some(after)) if before.as_ref() != Some(&after) => {
                    let renamed = before.filter(|before| before.name != after.name);
                    members.extend(renamed.map(|before| gone(&before)));
                    members.push(Member::clone(&after));
                }
                _ => {}
            }
        }
        (!members.is_empty()).then_some(Out {
            kind: Kind::Changes,
            members,
        })
    }

    /// Brings the list's entry for a worker up to date.
    fn judge(&mut self, now: f64, identity: &Identity) -> Option<Arc<Member>> {
        let claims: Vec<(Arc<str>, Authority, Claim)> = self.claims(identity).collect();
        let heard = || claims.iter().filter(|(.., claim)| *claim != Claim::Unheard);
        let lists = |claim: Claim| matches!(claim, Claim::Ready | Claim::Draining);
        let decided = heard().find(|(_, authority, _)| *authority == Authority::Deciding);
        let missing = heard().any(|(.., claim)| *claim == Claim::Missing);
        let overruled = decided.is_some_and(|(.., claim)| {
            let out = matches!(claim, Claim::Gone | Claim::Draining);
            out && heard().any(|(_, authority, claim)| {
                *authority == Authority::Listing && *claim == Claim::Ready
            })
        });
        let differs = overruled || missing && heard().any(|(.., claim)| lists(*claim));
        match (differs, self.differs.contains_key(identity)) {
            (true, false) => {
                self.counts.overruled += u64::from(overruled);
                self.counts.missing += u64::from(!overruled);
                self.differs.insert(identity.clone(), now);
            }
            (false, true) => drop(self.differs.remove(identity)),
            _ => {}
        }
        let entry = match verdict(
            claims
                .iter()
                .map(|(_, authority, claim)| (*authority, *claim)),
        ) {
            Verdict::Absent => None,
            Verdict::Listed(condition) => self.entry(identity, condition),
        };
        match entry {
            Some(entry) => {
                self.taken.insert(entry.name.clone(), identity.clone());
                self.list.insert(identity.clone(), entry.clone());
                Some(entry)
            }
            None => {
                if let Some(before) = self.list.remove(identity)
                    && self.taken.get(&before.name) == Some(identity)
                {
                    self.taken.remove(&before.name);
                }
                None
            }
        }
    }

    /// The entry of a worker: as the first source that decides and lists it has it, else as the
    /// first that lists it, cold from the moment it was first seen unless its start is known.
    fn entry(&self, identity: &Identity, condition: Condition) -> Option<Arc<Member>> {
        let lists = |said: &&Said| !matches!(said.claim, Claim::Gone | Claim::Unheard);
        let said = |authority: Authority| {
            let sources = self
                .sources
                .values()
                .filter(move |source| source.authority == authority);
            sources
                .filter_map(|source| source.said.get(identity))
                .find(lists)
        };
        let best = said(Authority::Deciding).or_else(|| said(Authority::Listing))?;
        let mut member = best.member.clone();
        member.condition = condition;
        member.started = Some(member.started.unwrap_or(best.first_seen));
        let holder = self.taken.get(&member.name);
        if holder.is_some_and(|holder| holder != identity) {
            // Another worker has the name: this one goes by its address too.
            member.name = format!("{}@{identity}", member.name).into();
        }
        Some(Arc::new(member))
    }
}

impl Source {
    /// What is told of a word without members: the calls of one that only lists are its own affair.
    fn says(&self, kind: Kind) -> Option<Out> {
        let members = Vec::new();
        (self.authority == Authority::Deciding).then_some(Out { kind, members })
    }

    /// One that decides tells of a worker. Whom that touches: where it moved, its former self too.
    fn tells(&mut self, now: f64, member: Member) -> Vec<Identity> {
        let identity = member.identity();
        let claim = match member.condition {
            Condition::Ready => Claim::Ready,
            Condition::Draining => Claim::Draining,
            Condition::Gone => Claim::Gone,
        };
        let mut touched = vec![identity.clone()];
        let former = self.names.insert(member.name.clone(), identity.clone());
        if let Some(former) = former.filter(|former| *former != identity) {
            // What is told of a name goes for the address that it had, when it is told without one.
            let without = member.address.is_none() && claim != Claim::Ready;
            let kept = if without { claim } else { Claim::Gone };
            if let Some(said) = self.said.get_mut(&former) {
                said.claim = kept;
                touched.push(former.clone());
            }
            if without {
                self.names.insert(member.name.clone(), former);
            }
        }
        match self.said.get_mut(&identity) {
            Some(said) => (said.member, said.claim) = (member, claim),
            None => {
                let said = Said {
                    member,
                    claim,
                    absence: Absence::default(),
                    first_seen: now,
                };
                self.said.insert(identity, said);
            }
        }
        touched
    }

    /// A server of one that only lists has answered. Whom that touches.
    fn answered(
        &mut self,
        now: f64,
        server: u16,
        members: Vec<Member>,
        whole: bool,
    ) -> BTreeSet<Identity> {
        let mut touched = BTreeSet::new();
        let mut present = BTreeSet::new();
        for member in members {
            let identity = member.identity();
            present.insert(identity.clone());
            touched.insert(identity.clone());
            let claim = if member.condition == Condition::Draining {
                Claim::Draining
            } else {
                Claim::Ready
            };
            let said = self.said.entry(identity).or_insert_with(|| Said {
                member: member.clone(),
                claim,
                absence: Absence::default(),
                first_seen: now,
            });
            (said.member, said.claim) = (member, claim);
            said.absence.answered(now, server, true);
        }
        if !whole {
            return touched;
        }
        for (identity, said) in self
            .said
            .iter_mut()
            .filter(|(identity, _)| !present.contains(*identity))
        {
            said.absence.answered(now, server, false);
            // It is missing when every server lacks it, however long.
            let patience = Patience {
                lifetimes: 0.0,
                ..self.patience
            };
            if said
                .absence
                .confirmed_at(self.servers, 0.0, &patience)
                .is_some()
            {
                said.claim = Claim::Missing;
                touched.insert(identity.clone());
            }
        }
        touched
    }

    /// When a worker that it lacks goes.
    fn due(&self, said: &Said) -> Option<f64> {
        said.absence
            .confirmed_at(self.servers, self.lifetime_ms, &self.patience)
    }
}
