//! The agent of discovery on a manager's machine: the whole list, and watches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use elderpond::interface::{Condition, ListKind};
use elderpond_wire::discovery::{self, Asked, Listed, Listing};
use hyper::StatusCode;
use tokio::sync::watch;
use tokio::time::timeout;

use super::http::{answer, serve};

/// The list, and how it came to be.
#[derive(Default)]
struct State {
    version: u64,
    list: BTreeMap<String, Listed>,
    /// Changes since `since`, each with its version.
    changes: Vec<(u64, Listed)>,
    since: u64,
}

impl State {
    /// What is newer than a version.
    fn newer(&self, after: u64) -> Listing {
        let whole = after < self.since || after > self.version;
        let entries = match whole {
            true => self.list.values().cloned().collect(),
            false => {
                let newer = self.changes.iter().filter(|(version, _)| *version > after);
                newer.map(|(_, entry)| entry.clone()).collect()
            }
        };
        Listing {
            version: self.version,
            whole,
            entries,
            dropped: 0,
        }
    }

    fn whole(&self) -> Listing {
        let entries = self.list.values().cloned().collect();
        Listing {
            version: self.version,
            whole: true,
            entries,
            dropped: 0,
        }
    }
}

fn look(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The agent.
pub struct Discovery {
    /// Where it answers.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    versions: watch::Sender<u64>,
}

impl Discovery {
    /// Starts it.
    pub async fn start() -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let (versions, seen) = watch::channel(0);
        let shared = state.clone();
        let address = serve(move |request| {
            let asked = request
                .uri()
                .path_and_query()
                .and_then(|target| discovery::asked(target.as_str()));
            let (shared, mut seen) = (shared.clone(), seen.clone());
            async move {
                let listing = match asked? {
                    Asked::List => look(&shared).whole(),
                    Asked::Watch { after, wait_ms } => {
                        let newer = seen.wait_for(|version| *version != after);
                        let _ = timeout(Duration::from_millis(wait_ms), newer).await;
                        look(&shared).newer(after)
                    }
                };
                Some(answer(StatusCode::OK, discovery::encode(&listing)))
            }
        });
        Ok(Self {
            address: address.await?,
            state,
            versions,
        })
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        let mut state = look(&self.state);
        state.version += 1;
        change(&mut state);
        self.versions.send_replace(state.version);
    }

    /// The list as a manager that starts last had it: the agent knows no more until it is told.
    pub fn known(&self, known: &[Listed]) {
        self.change(|state| {
            state.list = known
                .iter()
                .map(|entry| (entry.name.clone(), entry.clone()))
                .collect();
            (state.since, state.changes) = (state.version, Vec::new());
        });
    }

    /// Discovery tells the agent something.
    pub fn tell(&self, kind: ListKind, entries: Vec<Listed>) {
        self.change(|state| {
            if kind != ListKind::Delta {
                state.list.clear();
                (state.since, state.changes) = (state.version, Vec::new());
            }
            for entry in entries {
                match entry.condition {
                    Condition::Gone => drop(state.list.remove(&entry.name)),
                    _ => drop(state.list.insert(entry.name.clone(), entry.clone())),
                }
                if kind == ListKind::Delta {
                    state.changes.push((state.version, entry));
                }
            }
        });
    }
}
