//! What each worker ran, by attempt id, against what clients saw.

use std::borrow::Cow;
use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use tokio::time::Instant;

/// A try's id.
pub type Id = u64;

/// A short digest, to compare what was sent with what came.
pub fn digest(of: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    of.hash(&mut hasher);
    hasher.finish()
}

/// What a route's requests are there to show.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Safe, on a route that stays.
    Read,
    /// Unsafe, on a route that stays.
    Write,
    /// Unsafe, on a route that the change takes to another service.
    Moved,
    /// Safe, on a route that the change adds.
    Added,
    /// Safe, on a route that the change removes.
    Dropped,
    /// Safe, of which a worker has work for longer than a second.
    Long,
    /// Safe, on a route that came with that version of a soak.
    Version(u32),
}

impl Kind {
    /// Whether its requests may run more than once.
    pub fn repeatable(self) -> bool {
        !matches!(self, Self::Write | Self::Moved)
    }

    /// Whether every configuration has its route.
    pub fn stays(self) -> bool {
        !matches!(self, Self::Added | Self::Dropped | Self::Version(_))
    }

    /// What its paths begin with.
    pub fn prefix(self) -> Cow<'static, str> {
        Cow::Borrowed(match self {
            Self::Read => "/read/",
            Self::Write => "/write/",
            Self::Moved => "/moved/",
            Self::Added => "/added/",
            Self::Dropped => "/dropped/",
            Self::Long => "/long/",
            Self::Version(nth) => return Cow::Owned(format!("/version/{nth}/")),
        })
    }
}

/// One begun piece of work of a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Seconds since the start.
    pub at: f64,
    /// The worker's service.
    pub service: &'static str,
    /// Digest of method, path and body as they came.
    pub asked: u64,
    /// The seal of its answer.
    pub seal: String,
    /// Digest of the body of its answer.
    pub body: u64,
    /// Seconds that it takes where nobody stops it.
    pub work_s: f64,
    /// Seconds since the start when it was done or stopped; none while it goes on.
    pub ended: Option<f64>,
}

/// What a client got for a try.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The status.
    pub status: u16,
    /// The seal, if there was one.
    pub seal: Option<String>,
    /// Whether it repeats the id of another try.
    pub foreign: bool,
    /// Digest of the body.
    pub body: u64,
}

/// One try of a client.
#[derive(Debug)]
pub struct Try {
    /// Its route.
    pub kind: Kind,
    /// Seconds since the start when it was sent.
    pub sent: f64,
    /// Which proxy, and in which of its lives.
    pub proxy: (usize, u32),
    /// Digest of method, path and body as sent.
    pub asked: u64,
    /// What came back; none after a failure.
    pub seen: Option<Seen>,
    /// How often it reached workers, run or turned away.
    pub arrivals: u32,
    /// What workers began.
    pub runs: Vec<Run>,
    /// Seconds since the start when its client left without having its answer.
    pub departed: Option<f64>,
    /// Seconds since the start when its connection ended with no whole answer, while its client waited.
    pub cut: Option<f64>,
    /// Whether that was by a reset.
    pub reset: bool,
    /// Seconds since the start when its last byte was sent; none before.
    pub sent_whole: Option<f64>,
    /// Whether it was sent where the proxy need not read it: behind another, or after the end was told.
    pub behind: bool,
    /// Whether a worker broke off while it had it.
    pub broken_off: bool,
}

impl Try {
    /// Whether it was answered with a success.
    #[must_use]
    pub fn was_served(&self) -> bool {
        let status = self.seen.as_ref().map(|seen| seen.status);
        status.is_some_and(|status| End::of_status(status) == End::Served)
    }
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A 2xx within its aim.
    Served,
    /// A 2xx, after its aim.
    Late,
    /// Turned away with a promise, and no time or tries left.
    Refused,
    /// Denied with another 3xx or 4xx.
    Denied,
    /// Everything else.
    Failed,
}

impl End {
    /// The end of a request that was answered with a status, if it came in time.
    pub fn of_status(status: u16) -> Self {
        match status {
            200..300 => Self::Served,
            408 | 421 | 429 | 503 => Self::Refused,
            300..500 => Self::Denied,
            _ => Self::Failed,
        }
    }
}

/// A version that the operator sent.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// Its number.
    pub version: u64,
    /// Whether it is a valid one.
    pub valid: bool,
    /// Seconds since the start when it was first sent.
    pub at: f64,
    /// Seconds since the start when it was acknowledged.
    pub acknowledged: Option<f64>,
}

/// A request that reached a worker.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Seconds since the start.
    pub at: f64,
    /// Which proxy sent it on; none where no client had sent it.
    pub proxy: Option<usize>,
}

/// A worker that left.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// Which one.
    pub id: String,
    /// Seconds since the start when its drain was acknowledged.
    pub acknowledged: Option<f64>,
    /// Requests that it then still got, health and 421 apart.
    pub arrivals: Vec<Arrival>,
}

/// Everything that was seen on the rehearsal's own sockets.
#[derive(Debug)]
pub struct Ledger {
    start: Instant,
    /// Tries by id.
    pub tries: RefCell<HashMap<Id, Try>>,
    /// Requests on routes that stay, with the seconds they took.
    pub ends: RefCell<Vec<(Kind, End, f64)>>,
    /// Versions in the order they were sent.
    pub sent: RefCell<Vec<Sent>>,
    /// Workers that left.
    pub leaving: RefCell<Vec<Leaving>>,
    /// Ids that came to workers and that no client had sent.
    pub strangers: RefCell<Vec<String>>,
}

impl Ledger {
    /// An empty ledger; time is counted from now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            tries: RefCell::default(),
            ends: RefCell::default(),
            sent: RefCell::default(),
            leaving: RefCell::default(),
            strangers: RefCell::default(),
        }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Whether a try was answered with a success.
    pub fn was_served(&self, id: Id) -> bool {
        self.tries.borrow().get(&id).is_some_and(Try::was_served)
    }

    /// A client sends a try.
    pub fn send(&self, id: Id, kind: Kind, proxy: (usize, u32), asked: u64) {
        let sent = self.now();
        let fresh = Try {
            kind,
            sent,
            proxy,
            asked,
            seen: None,
            arrivals: 0,
            runs: Vec::new(),
            departed: None,
            cut: None,
            reset: false,
            sent_whole: None,
            behind: false,
            broken_off: false,
        };
        self.tries.borrow_mut().insert(id, fresh);
    }

    /// A client got a whole answer.
    pub fn see(&self, id: Id, seen: Seen) {
        if let Some(of) = self.tries.borrow_mut().get_mut(&id) {
            of.seen = Some(seen);
        }
    }

    /// A try reached a worker.
    pub fn arrive(&self, id: &str) -> Option<Id> {
        let mut tries = self.tries.borrow_mut();
        let number = Id::from_str_radix(id, 16).ok();
        match number.and_then(|number| tries.get_mut(&number)) {
            Some(of) => {
                of.arrivals += 1;
                number
            }
            None => {
                self.strangers.borrow_mut().push(id.to_owned());
                None
            }
        }
    }

    /// A worker began to work on a try; which of its runs that is.
    pub fn run(&self, id: Id, run: Run) -> usize {
        let mut tries = self.tries.borrow_mut();
        tries.get_mut(&id).map_or(0, |of| {
            of.runs.push(run);
            of.runs.len() - 1
        })
    }

    /// A worker is done with a run, was stopped, or broke off.
    pub fn run_ended(&self, id: Id, run: usize, broken_off: bool) {
        let now = self.now();
        self.change(id, |of| {
            of.broken_off |= broken_off;
            if let Some(run) = of.runs.get_mut(run) {
                run.ended.get_or_insert(now);
            }
        });
    }

    /// The last byte of a try was sent; whether where the proxy need not read it.
    pub fn sent_whole(&self, id: Id, behind: bool) {
        let now = self.now();
        self.change(id, |of| (of.sent_whole, of.behind) = (Some(now), behind));
    }

    /// The client of a try left.
    pub fn depart(&self, id: Id) {
        let now = self.now();
        self.change(id, |of| of.departed = Some(now));
    }

    /// The connection of a try ended with no whole answer; whether by a reset, as a socket is closed that
    /// holds bytes nobody has read.
    pub fn cut(&self, id: Id, reset: bool) {
        let now = self.now();
        self.change(id, |of| (of.cut, of.reset) = (Some(now), reset));
    }

    fn change(&self, id: Id, change: impl FnOnce(&mut Try)) {
        if let Some(of) = self.tries.borrow_mut().get_mut(&id) {
            change(of);
        }
    }

    /// A request reached a leaving worker.
    pub fn reach(&self, worker: &str, id: Option<Id>) {
        let at = self.now();
        let tries = self.tries.borrow();
        let proxy = id.and_then(|id| tries.get(&id)).map(|of| of.proxy.0);
        let mut leaving = self.leaving.borrow_mut();
        if let Some(it) = leaving.iter_mut().find(|it| it.id == worker) {
            it.arrivals.push(Arrival { at, proxy });
        }
    }

    /// The operator sends a version.
    pub fn version(&self, version: u64, valid: bool) {
        let at = self.now();
        let mut sent = self.sent.borrow_mut();
        if !sent.iter().any(|it| it.version == version) {
            sent.push(Sent {
                version,
                valid,
                at,
                acknowledged: None,
            });
        }
    }

    /// A version was acknowledged.
    pub fn acknowledge(&self, version: u64) {
        let now = self.now();
        let mut sent = self.sent.borrow_mut();
        if let Some(it) = sent.iter_mut().find(|it| it.version == version) {
            it.acknowledged.get_or_insert(now);
        }
    }

    /// A worker begins to leave.
    pub fn drain(&self, worker: &str) {
        let (id, arrivals) = (worker.to_owned(), Vec::new());
        self.leaving.borrow_mut().push(Leaving {
            id,
            acknowledged: None,
            arrivals,
        });
    }

    /// That a worker leaves was acknowledged.
    pub fn drained(&self, worker: &str) -> f64 {
        let now = self.now();
        let mut leaving = self.leaving.borrow_mut();
        if let Some(it) = leaving.iter_mut().find(|it| it.id == worker) {
            it.acknowledged = Some(now);
        }
        now
    }

    /// A request is over.
    pub fn end(&self, kind: Kind, end: End, took: f64) {
        self.ends.borrow_mut().push((kind, end, took));
    }
}
