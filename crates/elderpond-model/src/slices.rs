//! Slices of the key space: a table each, kept in a store that outlives managers, and at most one
//! worker at a time for the writes of each where the deployment says so.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use elderpond::interface::{Event as Told, Stored, TableId};

use crate::rules::{Parties, Rule};
use crate::slab::Key;
use crate::tables::{Snapshot, Table};
use crate::time::{NEVER, Time, us};
use crate::world::{Event, World};

/// How often a request that waits for a worker looks again.
const AGAIN: Time = 20_000;

/// Who has the writes of a slice.
#[derive(Default)]
struct Holding {
    /// Writes in hand, by worker.
    in_hand: BTreeMap<u32, u32>,
    /// The worker that last accepted one, and those that did before another.
    owner: Option<u32>,
    former: BTreeSet<u32>,
}

/// The store.
#[derive(Default)]
pub struct Store {
    tables: Vec<Table>,
    lines: Vec<BTreeMap<u32, f64>>,
    holding: Vec<Holding>,
    /// All tables as they stand; whoever reads the store shares it.
    newest: Arc<Vec<Arc<Snapshot>>>,
}

impl Store {
    /// All tables as they stand.
    pub fn read(&self) -> Arc<Vec<Arc<Snapshot>>> {
        self.newest.clone()
    }

    /// The table of a slice, to change it; it is read anew afterwards.
    pub fn table(&mut self, slice: TableId) -> Option<&mut Table> {
        self.tables.get_mut(usize::from(slice))
    }

    /// Notes a line as it is set.
    pub fn line(&mut self, slice: TableId, worker: u32, weight: f64) {
        if let Some(holding) = self.holding.get_mut(usize::from(slice))
            && weight > 0.0
        {
            // Named again it is no former owner, if the one after it has let go.
            holding.former.remove(&worker);
        }
        if let Some(lines) = self.lines.get_mut(usize::from(slice)) {
            match weight > 0.0 {
                true => drop(lines.insert(worker, weight)),
                false => drop(lines.remove(&worker)),
            }
        }
    }

    /// Forgets the lines of a slice.
    pub fn clear(&mut self, slice: TableId) {
        if let Some(lines) = self.lines.get_mut(usize::from(slice)) {
            lines.clear();
        }
    }

    /// Lets readers see what has changed.
    pub fn renew(&mut self) {
        if self.tables.is_empty() {
            return;
        }
        self.newest = Arc::new(self.tables.iter_mut().map(Table::snapshot).collect());
    }
}

impl World {
    /// The slice of a key; none without slices.
    pub(crate) fn slice(&self, key: u32) -> Option<usize> {
        let slices = self.scenario.slices.as_ref()?;
        // Neighbours in popularity lie in different slices.
        Some((key.wrapping_mul(0x9e37_79b1) >> 8) as usize % usize::from(slices.count))
    }

    /// At the start each slice names one worker.
    pub(crate) fn lay_store(&mut self) {
        let Some(slices) = &self.scenario.slices else {
            return;
        };
        let listed: Vec<usize> = (0..self.workers.len()).collect();
        for slice in 0..usize::from(slices.count) {
            let worker = listed[slice % listed.len()] as u32;
            let mut table = Table::default();
            table.set(worker, 1.0);
            self.store.tables.push(table);
            self.store.lines.push(BTreeMap::from([(worker, 1.0)]));
            self.store.holding.push(Holding::default());
        }
        self.store.renew();
    }

    /// A manager that starts is given its slices, as the store has them.
    pub(crate) fn give_slices(&mut self, manager: usize) {
        for slice in 0..self.store.tables.len() {
            let lines: Vec<(u32, f64)> = self.store.lines[slice]
                .iter()
                .map(|(worker, weight)| (*worker, *weight))
                .collect();
            let slice = slice as TableId;
            self.tell(manager, Told::Charge { slice, given: true });
            for (worker, weight) in lines {
                self.tell(
                    manager,
                    Told::Stored(Stored {
                        slice,
                        worker,
                        weight,
                    }),
                );
            }
        }
    }

    /// Whether a proxy may send a request of a class now: writes stop a tenure after it lost its
    /// manager, where a slice has a single owner.
    pub(crate) fn may_write(&self, proxy: usize, class: usize) -> bool {
        let Some(slices) = self
            .scenario
            .slices
            .as_ref()
            .filter(|slices| slices.one_owner)
        else {
            return true;
        };
        let left = self.proxies[proxy].left_at;
        let within = left == NEVER || self.now <= left + us(slices.tenure_ms);
        !self.scenario.classes[class].writes || within
    }

    /// A request finds no worker: it waits a little where there are slices. Whether it does.
    pub(crate) fn holds(&mut self, key: Key) -> bool {
        let Some(slices) = &self.scenario.slices else {
            return false;
        };
        let Some(request) = self.requests.get(key) else {
            return false;
        };
        let waits = self.now + AGAIN <= request.taken_at + us(slices.hold_ms);
        if waits {
            self.queue
                .push(self.now + AGAIN, Event::Held(key, request.client_try));
        }
        waits
    }

    /// A request that waits for a worker looks again.
    pub(crate) fn held(&mut self, key: Key, number: u16) {
        let request = self.requests.get(key);
        if request.is_some_and(|request| request.client_try == number && request.waiting) {
            self.route(key);
        }
    }

    /// A worker accepts a write: with a single owner, nobody else may have one in hand, and nobody
    /// may have followed it.
    pub(crate) fn accepts_write(&mut self, key: Key) {
        let Some((slice, worker, class, proxy)) = self.write_of(key) else {
            return;
        };
        let holding = &mut self.store.holding[slice];
        let other = holding
            .in_hand
            .keys()
            .find(|other| **other != worker)
            .copied();
        let follows = holding.former.contains(&worker);
        *holding.in_hand.entry(worker).or_default() += 1;
        if holding.owner != Some(worker) && !follows {
            holding.former.extend(holding.owner);
            holding.owner = Some(worker);
        }
        if let Some(tried) = self.tries.get_mut(key) {
            tried.holds = true;
        }
        if other.is_none() && !follows {
            return;
        }
        let manager = self.proxies[proxy].manager;
        let parties = Parties {
            manager,
            proxy: Some(proxy),
            worker: Some(worker as usize),
        };
        let name = &self.scenario.classes[class].name;
        self.watch.breach(&self.chronicle, Rule::NoEffectTwice, self.now, parties, || match other {
            Some(other) => format!(
                "a `{name}` of slice {slice} reaches worker {worker} while worker {other} has one in hand"
            ),
            None => format!("a `{name}` of slice {slice} reaches worker {worker}, a former owner"),
        });
    }

    /// A worker has a write in hand no longer.
    pub(crate) fn lets_go_of_write(&mut self, key: Key) {
        let Some((slice, worker, ..)) = self.write_of(key) else {
            return;
        };
        let Some(tried) = self.tries.get_mut(key).filter(|tried| tried.holds) else {
            return;
        };
        tried.holds = false;
        let in_hand = &mut self.store.holding[slice].in_hand;
        if let Some(count) = in_hand.get_mut(&worker) {
            *count -= 1;
            if *count == 0 {
                in_hand.remove(&worker);
            }
        }
    }

    /// Slice, worker, class and proxy of a try that writes where slices have a single owner.
    fn write_of(&self, key: Key) -> Option<(usize, u32, usize, usize)> {
        self.scenario
            .slices
            .as_ref()
            .filter(|slices| slices.one_owner)?;
        let tried = self.tries.get(key).filter(|tried| tried.probe.is_none())?;
        let request = self.requests.get(tried.request)?;
        let writes = self.scenario.classes[request.class].writes;
        let slice = self.slice(request.key).filter(|_| writes)?;
        Some((slice, tried.worker, request.class, request.proxy))
    }
}
