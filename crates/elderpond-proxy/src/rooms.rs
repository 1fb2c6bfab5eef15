//! Who holds what of which a proxy has little: memory for bodies, clients that wait, connections
//! to workers.
//!
//! The decisions stand in `elderpond-space`; here are the three things that are counted, and the tenants.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use ahash::RandomState;
use elderpond_flora::{Route, Routes};
use elderpond_forage::Millis;
use elderpond_process_settings::Tenants;
use elderpond_space::{Party, Places, RANKS, Refusal, Space, Tenant};
use hashbrown::HashMap;
use serde::Serialize;

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// Bytes of bodies that are held.
    Bodies,
    /// Clients' connections with a request in hand.
    Clients,
    /// Connections to workers with a request on them.
    Workers,
}

impl What {
    /// Why a request was refused.
    pub fn lacked(self, why: Refusal) -> &'static str {
        match (self, why) {
            (Self::Bodies, Refusal::Full) => "no memory for bodies",
            (Self::Bodies, Refusal::KeptForOthers) => "memory is kept for other tenants",
            (Self::Bodies, Refusal::KeptForRank) => "memory is kept for other ranks",
            (Self::Clients, Refusal::Full) => "no room for requests",
            (Self::Clients, Refusal::KeptForOthers) => "room is kept for other tenants",
            (Self::Clients, Refusal::KeptForRank) => "room is kept for other ranks",
            (Self::Workers, Refusal::Full) => "no connections left",
            (Self::Workers, Refusal::KeptForOthers) => "connections are kept for other tenants",
            (Self::Workers, Refusal::KeptForRank) => "connections are kept for other ranks",
        }
    }
}

/// Names of [`What`], for people.
const NAMES: [&str; 3] = ["bodies", "clients", "workers"];
/// Milliseconds that room is held at the most: as long as a request may be in hand.
const LONGEST: Millis = 660_000;

/// What there is of each.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Bytes of bodies.
    pub bodies: usize,
    /// Connections of clients.
    pub clients: usize,
    /// Connections to workers.
    pub workers: usize,
}

/// A tenant in the version in force.
#[derive(Debug)]
struct Known {
    place: usize,
    /// Of its routes, each once, the highest first.
    priorities: Vec<u32>,
}

struct State {
    spaces: [Space; 3],
    places: Places,
    /// By host.
    hosts: HashMap<Arc<str>, Rc<Known>, RandomState>,
    /// The tenant at each place, and for each thing how often it was refused, by rank.
    names: Vec<(String, [[u64; RANKS]; 3])>,
}

/// Room for tenants and ranks.
pub struct Rooms {
    started: Instant,
    sizes: [u64; 3],
    state: RefCell<State>,
}

impl Rooms {
    /// For nobody yet: all of it is anybody's until a version is in force.
    pub fn new(sizes: Sizes) -> Self {
        let sizes = [sizes.bodies, sizes.clients, sizes.workers].map(|size| size as u64);
        Self {
            started: Instant::now(),
            sizes,
            state: RefCell::new(State {
                spaces: sizes.map(|size| Space::new(size, &[])),
                places: Places::new(LONGEST),
                hosts: HashMap::default(),
                names: Vec::new(),
            }),
        }
    }

    fn now(&self) -> Millis {
        self.started.elapsed().as_millis() as Millis
    }

    /// Shares out by the tenants of a version.
    pub fn share_out(&self, routes: &Routes, tenants: &Tenants) {
        let now = self.now();
        let mut owned: HashMap<&str, Vec<u32>> = HashMap::new();
        for route in routes.all() {
            let tenant = owned.entry(tenants.of(&route.host)).or_default();
            if let Err(at) = tenant.binary_search(&route.priority) {
                tenant.insert(at, route.priority);
            }
        }
        let mut names: Vec<&str> = owned.keys().copied().collect();
        names.sort_unstable();
        let mut state = self.state.borrow_mut();
        let places = state.places.assign(now, &names);
        let mut told = vec![Tenant::GONE; state.places.len()];
        let mut known: HashMap<&str, Rc<Known>> = HashMap::new();
        state.names.resize_with(told.len(), Default::default);
        for (name, place) in names.into_iter().zip(places) {
            let priorities = owned.remove(name).unwrap_or_default();
            told[place] = Tenant {
                weight: tenants.weight(name),
                ranks: priorities.len(),
            };
            if state.names[place].0 != name {
                state.names[place] = (name.to_owned(), Default::default());
            }
            known.insert(name, Rc::new(Known { place, priorities }));
        }
        state.hosts = (routes.all())
            .filter_map(|route| {
                let known = known.get(tenants.of(&route.host))?;
                Some((route.host.clone(), known.clone()))
            })
            .collect();
        for space in &mut state.spaces {
            space.share_out(now, &told);
        }
    }

    /// For whom a route's requests take room.
    pub fn party(&self, route: &Route) -> Party {
        let state = self.state.borrow();
        let known = state.hosts.get(&route.host);
        known.map_or(Party { tenant: 0, rank: 0 }, |known| Party {
            tenant: known.place,
            rank: known.priorities.partition_point(|it| *it < route.priority),
        })
    }

    /// Whether there is room for this party.
    ///
    /// # Errors
    ///
    /// Why there is none.
    pub fn ask(&self, what: What, party: Party, amount: usize) -> Result<(), Refusal> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let asked = state.spaces[what as usize].ask(now, party, amount as u64);
        if asked.is_err()
            && let Some((_, refused)) = state.names.get_mut(party.tenant)
        {
            refused[what as usize][party.rank.min(RANKS - 1)] += 1;
        }
        asked
    }

    /// Takes room for this party until what is returned is dropped.
    ///
    /// # Errors
    ///
    /// Why there is none.
    pub fn take(self: &Rc<Self>, what: What, party: Party) -> Result<Taken, Refusal> {
        self.ask(what, party, 1)?;
        let mut taken = Taken::nothing(self, what, party);
        taken.add(1);
        Ok(taken)
    }

    /// Who holds what, in JSON.
    pub fn told(&self) -> String {
        let state = self.state.borrow();
        let tenants = state.names.iter().enumerate().map(|(tenant, (name, _))| {
            let of = |what: usize| {
                let space = &state.spaces[what];
                let stands = |rank| space.stands(Party { tenant, rank });
                Part {
                    what: NAMES[what],
                    held: std::array::from_fn(|rank| match rank <= space.last(tenant) {
                        true => stands(rank).0,
                        false => 0,
                    }),
                    kept: stands(0).1,
                    refused: state.names[tenant].1[what],
                }
            };
            Stand {
                tenant: name,
                room: std::array::from_fn(of),
            }
        });
        let all = All {
            sizes: std::array::from_fn(|what| (NAMES[what], self.sizes[what])),
            held: std::array::from_fn(|what| (NAMES[what], state.spaces[what].held())),
            tenants: tenants.collect(),
        };
        // nothing in it can't be written
        serde_json::to_string(&all).unwrap_or_default()
    }
}

#[derive(Serialize)]
struct All<'a> {
    sizes: [(&'static str, u64); 3],
    held: [(&'static str, u64); 3],
    tenants: Vec<Stand<'a>>,
}

#[derive(Serialize)]
struct Stand<'a> {
    tenant: &'a str,
    room: [Part; 3],
}

/// By rank, the most urgent first.
#[derive(Serialize)]
struct Part {
    what: &'static str,
    held: [u64; RANKS],
    kept: u64,
    refused: [u64; RANKS],
}

/// Room that is held, until it is dropped.
pub struct Taken {
    rooms: Rc<Rooms>,
    what: What,
    party: Party,
    amount: usize,
}

impl Taken {
    /// Nothing of it yet.
    pub fn nothing(rooms: &Rc<Rooms>, what: What, party: Party) -> Self {
        Self {
            rooms: rooms.clone(),
            what,
            party,
            amount: 0,
        }
    }

    /// For whom.
    pub fn party(&self) -> Party {
        self.party
    }

    /// Whether there is room for more.
    pub fn may_grow(&self, amount: usize) -> bool {
        self.rooms.ask(self.what, self.party, amount).is_ok()
    }

    /// More, whether there is room or not.
    pub fn add(&mut self, amount: usize) {
        self.amount += amount;
        let now = self.rooms.now();
        let space = &mut self.rooms.state.borrow_mut().spaces[self.what as usize];
        space.hold(now, self.party, amount as u64);
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        let now = self.rooms.now();
        let space = &mut self.rooms.state.borrow_mut().spaces[self.what as usize];
        space.give_back(now, self.party, self.amount as u64);
    }
}
