//! The list of workers: owns it, deals ids to names, and turns its news into events.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use elderpond::interface::{Condition, Entry, Event, ListKind, WorkerId};
use elderpond_settings::Labels;
use tokio::sync::{mpsc, watch};

use crate::counters::Counters;
use elderpond_wire::Naming;
use elderpond_wire::discovery::{Listed, Listing};

/// Names of workers that are gone are kept for this many at least, and for so many fleets of the
/// size that is listed: orders and reports may still name them, and those of long ago only add up.
const GONE_KEPT: usize = 64;
const GONE_FLEETS: usize = 2;

/// Names in a line of the log.
const NAMES_A_LINE: usize = 16;

/// What the list says, or that it says nothing.
#[derive(Debug)]
pub enum ListNews {
    /// The list as it was known before the start.
    Known(Listing),
    /// A list or changes.
    Told(Listing),
    /// A call that the module asked for is answered, and nothing has changed.
    Unchanged,
    /// A call that the module asked for has failed.
    Failed,
}

/// Names and addresses, as of the newest list that the module was told.
#[derive(Clone, Debug, Default)]
pub struct Names {
    labels: Arc<Labels>,
    by_name: BTreeMap<Arc<str>, WorkerId>,
    by_id: BTreeMap<WorkerId, (Arc<str>, Option<SocketAddr>)>,
}

impl Names {
    /// With the names of zones and classes, and no worker.
    pub fn new(labels: Labels) -> Self {
        Self {
            labels: Arc::new(labels),
            ..Self::default()
        }
    }

    fn enter(&mut self, id: WorkerId, name: &str) {
        let name: Arc<str> = name.into();
        self.by_name.insert(name.clone(), id);
        self.by_id.insert(id, (name, None));
    }

    /// Index of a zone.
    pub fn zone(&self, name: &str) -> Option<u16> {
        let place = self.labels.zones.iter().position(|zone| zone == name)?;
        u16::try_from(place).ok()
    }

    /// Index of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        let mut classes = self.labels.classes.iter();
        classes.position(|class| class.name == name)
    }

    /// Id of a worker that was ever listed.
    pub fn id(&self, name: &str) -> Option<WorkerId> {
        self.by_name.get(name).copied()
    }

    /// Address of a worker, as it was last listed.
    pub fn address(&self, id: WorkerId) -> Option<SocketAddr> {
        self.by_id.get(&id).and_then(|(_, address)| *address)
    }
}

impl Naming for Names {
    fn worker(&self, id: WorkerId) -> Option<&str> {
        self.by_id.get(&id).map(|(name, _)| &**name)
    }

    fn classes(&self, bits: u16) -> Option<Vec<&str>> {
        let classes = self.labels.classes.iter().enumerate();
        let named = classes.filter(|(k, _)| bits >> k & 1 == 1);
        (bits != 0).then(|| named.map(|(_, class)| &*class.name).collect())
    }
}

/// The list's actor.
pub struct Roster {
    names: Names,
    /// The last id dealt. A name has one for as long as it is known.
    dealt: WorkerId,
    /// Workers of the newest list that are not gone.
    listed: BTreeSet<WorkerId>,
    /// Workers that are gone, the longest gone first.
    gone: VecDeque<WorkerId>,
    published: watch::Sender<Arc<Names>>,
    events: mpsc::Sender<Event>,
    counters: Arc<Counters>,
}

impl Roster {
    /// A list that knows nobody yet, and where its names are published.
    pub fn new(
        labels: Labels,
        events: mpsc::Sender<Event>,
        counters: Arc<Counters>,
    ) -> (Self, watch::Receiver<Arc<Names>>) {
        let names = Names::new(labels);
        let (published, names_seen) = watch::channel(Arc::new(names.clone()));
        let roster = Self {
            names,
            dealt: 0,
            listed: BTreeSet::new(),
            gone: VecDeque::new(),
            published,
            events,
            counters,
        };
        (roster, names_seen)
    }

    /// Follows the list until discovery's actor is gone.
    pub async fn run(mut self, mut mailbox: mpsc::Receiver<ListNews>) {
        while let Some(news) = mailbox.recv().await {
            let event = self.take_in(news);
            // List changes are never dropped: this waits until the module has room.
            if self.events.send(event).await.is_err() {
                return;
            }
        }
    }

    /// The event of some news; names are published first, so that whoever hears of a worker from
    /// the module can name it.
    fn take_in(&mut self, news: ListNews) -> Event {
        let (kind, listing) = match news {
            ListNews::Known(listing) => (ListKind::Cached, listing),
            ListNews::Told(listing) if listing.whole => (ListKind::Full, listing),
            ListNews::Told(listing) => (ListKind::Delta, listing),
            ListNews::Unchanged => {
                let (kind, entries) = (ListKind::Delta, Vec::new());
                return Event::List { kind, entries };
            }
            ListNews::Failed => {
                let (kind, entries) = (ListKind::Failed, Vec::new());
                return Event::List { kind, entries };
            }
        };
        self.counters.lists_taken.one();
        if listing.dropped > 0 {
            self.counters.list_entries_dropped.add(listing.dropped);
            log::warn!(count = listing.dropped; "list: {} entries cannot be read", listing.dropped);
        }
        if kind != ListKind::Delta {
            self.counters.lists_whole.one();
            self.gone.extend(std::mem::take(&mut self.listed));
        }
        let before = self.dealt;
        let entries = listing.entries.iter();
        let entries: Vec<Entry> = entries.filter_map(|entry| self.entry(entry)).collect();
        self.log_names(before);
        self.forget();
        let (named, known) = (self.names.by_name.len(), self.names.by_id.len());
        self.counters.hold(named == known, "a name has one id");
        self.counters.list_names.set(known);
        self.published.send_replace(Arc::new(self.names.clone()));
        Event::List { kind, entries }
    }

    fn entry(&mut self, listed: &Listed) -> Option<Entry> {
        let gone = listed.condition == Condition::Gone;
        let known = self.names.id(&listed.name);
        let zone = match self.names.zone(&listed.zone) {
            Some(zone) => zone,
            None if gone && known.is_some() => 0,
            None => {
                self.counters.list_entries_dropped.one();
                let (worker, zone) = (listed.name.as_str(), listed.zone.as_str());
                log::warn!(
                    worker = worker, zone = zone;
                    "{worker} is listed in a zone that is not known"
                );
                return None;
            }
        };
        let id = known.unwrap_or_else(|| {
            self.dealt += 1;
            self.names.enter(self.dealt, &listed.name);
            self.dealt
        });
        if let Some((_, address)) = self.names.by_id.get_mut(&id) {
            *address = listed.address.parse().ok();
        }
        if !gone {
            if self.listed.insert(id) && known.is_some() {
                self.gone.retain(|other| *other != id);
            }
        } else if self.listed.remove(&id) || known.is_none() {
            self.gone.push_back(id);
        }
        Some(Entry {
            worker: id,
            weight: listed.weight,
            zone,
            started: listed.started,
            condition: listed.condition,
        })
    }

    /// The module's log lines have ids: says whose those are that were dealt after `before`.
    fn log_names(&self, before: WorkerId) {
        let new = self.names.by_id.range(before + 1..);
        let new: Vec<String> = new.map(|(id, (name, _))| format!("{id} {name}")).collect();
        for names in new.chunks(NAMES_A_LINE) {
            log::info!("workers by number: {}", names.join(", "));
        }
    }

    /// Drops the names of those that are gone the longest.
    fn forget(&mut self) {
        let kept = GONE_KEPT.max(GONE_FLEETS * self.listed.len());
        while self.gone.len() > kept {
            let Some(id) = self.gone.pop_front() else {
                return;
            };
            if let Some((name, _)) = self.names.by_id.remove(&id) {
                self.names.by_name.remove(&name);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn listed(name: &str, zone: &str, condition: Condition) -> Listed {
        Listed {
            name: name.to_owned(),
            address: "127.0.0.1:80".to_owned(),
            zone: zone.to_owned(),
            weight: 1.0,
            started: 0.0,
            condition,
        }
    }

    fn told(whole: bool, entries: Vec<Listed>) -> ListNews {
        let version = 1;
        ListNews::Told(Listing {
            version,
            whole,
            entries,
            dropped: 0,
        })
    }

    fn roster() -> (Roster, watch::Receiver<Arc<Names>>) {
        let labels = Labels {
            zones: vec!["a".into(), "b".into()],
            classes: Vec::new(),
        };
        Roster::new(labels, mpsc::channel(1).0, Arc::default())
    }

    fn entries(event: Event) -> (ListKind, Vec<(WorkerId, u16, Condition)>) {
        let Event::List { kind, entries } = event else {
            panic!("not a list");
        };
        let entries = entries.iter();
        let entries = entries.map(|entry| (entry.worker, entry.zone, entry.condition));
        (kind, entries.collect())
    }

    #[test]
    fn a_name_keeps_its_id_through_changes_gaps_and_its_return() {
        use Condition::{Draining, Gone, Ready};
        let (mut roster, names) = roster();
        let whole = vec![listed("x", "a", Ready), listed("y", "b", Ready)];
        let event = roster.take_in(told(true, whole));
        assert_eq!(
            entries(event),
            (ListKind::Full, vec![(1, 0, Ready), (2, 1, Ready)])
        );
        let event = roster.take_in(told(false, vec![listed("y", "b", Draining)]));
        assert_eq!(entries(event), (ListKind::Delta, vec![(2, 1, Draining)]));
        // What is gone may be told without a zone.
        let event = roster.take_in(told(false, vec![listed("y", "", Gone)]));
        assert_eq!(entries(event), (ListKind::Delta, vec![(2, 0, Gone)]));
        let whole = vec![listed("z", "a", Ready), listed("y", "b", Ready)];
        let event = roster.take_in(told(true, whole));
        assert_eq!(
            entries(event),
            (ListKind::Full, vec![(3, 0, Ready), (2, 1, Ready)])
        );
        // Orders may still name a worker that a whole list lacks.
        assert_eq!(names.borrow().worker(1), Some("x"));
        assert_eq!(names.borrow().id("y"), Some(2));
    }

    #[test]
    fn an_unknown_zone_costs_its_entry_only() {
        let (mut roster, names) = roster();
        let whole = vec![
            listed("x", "atlantis", Condition::Ready),
            listed("y", "b", Condition::Ready),
        ];
        let event = roster.take_in(told(true, whole));
        assert_eq!(entries(event).1, [(1, 1, Condition::Ready)]);
        assert_eq!(names.borrow().id("x"), None);
    }

    #[test]
    fn names_of_workers_long_gone_are_dropped_and_no_others() {
        let (mut roster, names) = roster();
        let keep = |names: &Names| names.id("stays").is_some();
        let stays = listed("stays", "a", Condition::Ready);
        roster.take_in(told(false, vec![stays]));
        for number in 0..GONE_KEPT + 10 {
            let name = format!("w{number}");
            roster.take_in(told(false, vec![listed(&name, "a", Condition::Ready)]));
            roster.take_in(told(false, vec![listed(&name, "a", Condition::Gone)]));
            roster.take_in(told(false, vec![listed(&name, "a", Condition::Gone)]));
        }
        let names = names.borrow();
        assert_eq!(names.by_name.len(), GONE_KEPT + 1);
        assert!(keep(&names) && names.id("w9").is_none() && names.id("w10").is_some());
    }
}
