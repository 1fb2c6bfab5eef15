//! The list of workers: owns it, deals ids to names, and turns its news into events.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use elderpond::interface::{Condition, Entry, Event, ListKind, WorkerId};
use elderpond_settings::Labels;
use tokio::sync::{mpsc, watch};

use crate::counters::Counters;
use crate::wire::discovery::{Listed, Listing};

/// Names of workers that are gone are kept for this many: orders and reports may still name them.
const GONE_KEPT: usize = 4096;

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

    /// Names of the classes whose bits are set; none where that means all.
    pub fn classes(&self, bits: u16) -> Option<Vec<&str>> {
        let classes = self.labels.classes.iter().enumerate();
        let named = classes.filter(|(k, _)| bits >> k & 1 == 1);
        (bits != 0).then(|| named.map(|(_, class)| &*class.name).collect())
    }

    /// Id of a worker that was ever listed.
    pub fn id(&self, name: &str) -> Option<WorkerId> {
        self.by_name.get(name).copied()
    }

    /// Name of a worker.
    pub fn worker(&self, id: WorkerId) -> Option<&str> {
        self.by_id.get(&id).map(|(name, _)| &**name)
    }

    /// Address of a worker that is listed.
    pub fn address(&self, id: WorkerId) -> Option<SocketAddr> {
        self.by_id.get(&id).and_then(|(_, address)| *address)
    }
}

/// The list's actor.
pub struct Roster {
    names: Names,
    next: WorkerId,
    /// Workers of the newest list that are not gone.
    listed: BTreeMap<WorkerId, ()>,
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
            next: 1,
            listed: BTreeMap::new(),
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
        if kind != ListKind::Delta {
            self.counters.lists_whole.one();
            for (id, ()) in std::mem::take(&mut self.listed) {
                self.gone.push_back(id);
            }
        }
        let entries = listing.entries.iter();
        let entries: Vec<Entry> = entries.filter_map(|entry| self.entry(entry)).collect();
        self.forget();
        let (named, known) = (self.names.by_name.len(), self.names.by_id.len());
        self.counters.hold(named == known, "a name has one id");
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
                log::warn!("{} is listed in a zone that is not known", listed.name);
                return None;
            }
        };
        let id = known.unwrap_or_else(|| self.deal(&listed.name));
        if let Some((_, address)) = self.names.by_id.get_mut(&id) {
            *address = listed.address.parse().ok();
        }
        self.gone.retain(|other| *other != id);
        if gone {
            self.listed.remove(&id);
            self.gone.push_back(id);
        } else {
            self.listed.insert(id, ());
        }
        Some(Entry {
            worker: id,
            weight: listed.weight,
            zone,
            started: listed.started,
            condition: listed.condition,
        })
    }

    /// A new id: a name has one for as long as it is known.
    fn deal(&mut self, name: &str) -> WorkerId {
        let (id, name): (_, Arc<str>) = (self.next, name.into());
        self.next = self.next.wrapping_add(1);
        self.names.by_name.insert(name.clone(), id);
        self.names.by_id.insert(id, (name, None));
        id
    }

    /// Drops the names of those that are gone the longest.
    fn forget(&mut self) {
        while self.gone.len() > GONE_KEPT {
            let Some(id) = self.gone.pop_front() else {
                return;
            };
            if let Some((name, _)) = self.names.by_id.remove(&id) {
                self.names.by_name.remove(&name);
            }
        }
    }
}
