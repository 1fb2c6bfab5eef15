//! Which control node a proxy follows.
//!
//! One at a time, in its own zone if there is one. A node that is silent, or that does not vouch for what
//! it tells (it confirms with a majority of the voters that nothing newer is in force), is left for
//! another. What such a node says of other nodes is not believed: it may be cut off.

mod candidates;

use std::net::Ipv4Addr;

use crate::{Chance, Millis};

use candidates::Candidates;
pub use candidates::NodeInZone;

/// A node that was not heard of for this long is left (ms); it sends a heartbeat each 400 ms.
const SILENCE: Millis = 1100;
/// A node that does not vouch for this long is left (ms): it can within a few ms, and again each 400 ms.
const VOUCH_PATIENCE: Millis = 1100;
/// One that says that it does not vouch is left after this (ms), unless it does.
const UNVOUCHED_PATIENCE: Millis = 500;
/// A node that vouches for itself may be behind with what it tells here for this long without any part of it
/// coming (ms).
const CATCH_UP_PATIENCE: Millis = 5000;
/// Bytes of a message that may take long on a slow link: a quarter of a second at half a megabit a second.
const LONG_MESSAGE: usize = 16 << 10;
/// A dial takes no longer than this (ms).
pub const DIAL: Millis = 400;
/// The pause before the next dial is drawn up to this (ms): many proxies lose a node at the same moment.
const FIRST_PAUSE: usize = 60;
/// It doubles with each failure in a row from this on (ms), at most so often and to so much.
const PAUSE: usize = 50;
const MOST_FAILURES: u32 = 6;
const LONGEST_PAUSE: usize = 800;
/// One in so many proxies returns to its zone at a time, as all of them learn of a node at the same moment.
const RETURNS_ONE_IN: usize = 3;
/// A process that starts with nothing goes by what a node holds that does not vouch for it once it has
/// looked for another for this long (ms): the core may be down for long, and what is old serves better
/// than nothing.
pub const START_UNVOUCHED_AFTER: Millis = 6000;

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Leave the present node, if there is one, and dial this one.
    Dial(Ipv4Addr),
    /// Go on.
    Stay,
}

/// What one connection to a control node has brought so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Visit {
    /// When it was connected.
    pub connected_at: Millis,
    /// When it last vouched for what it tells.
    pub vouched_at: Option<Millis>,
    /// Heartbeats in which it did not vouch, since it last did.
    pub unvouched_heartbeats: u32,
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    Paused { until: Millis },
    Dialled { node: Ipv4Addr, at: Millis },
    Connected { node: Ipv4Addr, heard_at: Millis },
}

/// The choice of the control node that a proxy follows.
#[derive(Clone, Debug)]
pub struct ControlNodeChoice {
    candidates: Candidates,
    state: State,
    /// When this process began to look for a node.
    began_at: Option<Millis>,
    /// When the node that is followed is to be left, unless it vouches before.
    leave_at: Millis,
    /// The nodes that it reaches, if it did not vouch last.
    partition: Vec<Ipv4Addr>,
    /// When a node, whichever it was, last vouched for what it told.
    vouched_at: Option<Millis>,
    /// When the node that is followed last vouched, or told a part of what it was behind with.
    progress_at: Millis,
    /// The present connection, or the last one.
    visit: Visit,
    /// Failures in a row without a vouch in between.
    failures: u32,
}

impl ControlNodeChoice {
    /// For a proxy of that zone which knows the seeds only.
    #[must_use]
    pub fn new(zone: &str, seeds: &[Ipv4Addr]) -> Self {
        let mut candidates = Candidates::new(zone);
        candidates.set_seeds(seeds);
        Self {
            candidates,
            state: State::Paused { until: 0 },
            began_at: None,
            leave_at: 0,
            partition: Vec::new(),
            vouched_at: None,
            progress_at: 0,
            visit: Visit::default(),
            failures: 0,
        }
    }

    /// Takes in new seeds.
    pub fn set_seeds(&mut self, seeds: &[Ipv4Addr]) {
        self.candidates.set_seeds(seeds);
    }

    // ---- What the node that is followed says ----

    /// Takes in a heartbeat: whether the node vouches for what it tells, and which nodes it lists as alive.
    pub fn heartbeat(&mut self, now: Millis, vouches: bool, alive: &[NodeInZone]) {
        match vouches {
            true => self.vouched(now, alive),
            false => self.not_vouched(now, alive),
        }
        self.heard(now);
    }

    /// Takes in a heartbeat of a node that knows the newest, and has not told it here whole yet.
    pub fn catching_up(&mut self, now: Millis, alive: &[NodeInZone]) {
        self.candidates.replace_all(self.node(), alive);
        self.partition.clear();
        if now < self.progress_at + CATCH_UP_PATIENCE {
            self.leave_at = now + VOUCH_PATIENCE;
        }
        self.heard(now);
    }

    fn vouched(&mut self, now: Millis, alive: &[NodeInZone]) {
        self.candidates.replace_all(self.node(), alive);
        self.leave_at = now + VOUCH_PATIENCE;
        self.progress_at = now;
        self.partition.clear();
        self.vouched_at = Some(now);
        self.visit.vouched_at = Some(now);
        self.visit.unvouched_heartbeats = 0;
        self.failures = 0;
    }

    fn not_vouched(&mut self, now: Millis, alive: &[NodeInZone]) {
        self.candidates.add_all(alive);
        self.leave_at = self.leave_at.min(now + UNVOUCHED_PATIENCE);
        self.partition = alive.iter().map(|(node, _)| *node).collect();
        self.visit.unvouched_heartbeats += 1;
    }

    /// Something came from the node that is followed.
    pub fn heard(&mut self, now: Millis) {
        if let State::Connected { heard_at, .. } = &mut self.state {
            *heard_at = now;
        }
    }

    /// Part of a message, or of a version, of that many bytes came. What vouches for it comes behind it, so a
    /// long one may take its time; any other is through before a node is left.
    pub fn message_part(&mut self, now: Millis, message_bytes: usize) {
        self.progress_at = now;
        if message_bytes >= LONG_MESSAGE {
            self.leave_at = self.leave_at.max(now + VOUCH_PATIENCE);
        }
    }

    // ---- The connection ----

    /// The connection to `node` is up.
    pub fn connected(&mut self, now: Millis, node: Ipv4Addr) {
        self.state = State::Connected {
            node,
            heard_at: now,
        };
        self.leave_at = now + VOUCH_PATIENCE;
        self.progress_at = now;
        self.partition.clear();
        self.visit = Visit {
            connected_at: now,
            ..Visit::default()
        };
    }

    /// The connection, or a dial, has failed.
    pub fn disconnected(&mut self, now: Millis, chance: &mut Chance) {
        let was_connected = matches!(self.state, State::Connected { .. });
        let fruitless = was_connected && self.visit.vouched_at.is_none();
        if let Some(node) = self.node() {
            self.candidates.failed(now, node, fruitless);
        }
        let partition = std::mem::take(&mut self.partition);
        self.candidates.rest_partition(now, &partition);
        self.failures = (self.failures + 1).min(MOST_FAILURES);
        let most = match self.failures {
            1 => FIRST_PAUSE,
            more => (PAUSE << more).min(LONGEST_PAUSE),
        };
        let until = now + chance.below(most) as Millis;
        self.state = State::Paused { until };
    }

    /// What is to be done now.
    pub fn step(&mut self, now: Millis, chance: &mut Chance) -> Step {
        self.began_at.get_or_insert(now);
        if matches!(self.state, State::Paused { until } if now < until) {
            return Step::Stay;
        }
        let stale = self.is_stale(now);
        if !stale && self.node().is_some() {
            return Step::Stay;
        }
        if stale {
            self.disconnected(now, chance);
        }
        let Some(node) = self.candidates.choose(now, chance) else {
            return Step::Stay;
        };
        self.state = State::Dialled { node, at: now };
        Step::Dial(node)
    }

    /// When nothing comes before, [`Self::step`] is to be asked again at this time.
    #[must_use]
    pub fn due_at(&self) -> Millis {
        match self.state {
            State::Paused { until } => until,
            State::Dialled { at, .. } => at + DIAL,
            State::Connected { heard_at, .. } => (heard_at + SILENCE).min(self.leave_at),
        }
    }

    /// Whether the node that is dialled or followed is to be left. To be asked before what came is taken
    /// in, too: it may have waited while this process stood still.
    #[must_use]
    pub fn is_stale(&self, now: Millis) -> bool {
        self.node().is_some() && now >= self.due_at()
    }

    /// Whether to leave the node that is followed for one of the own zone; to be asked about once a second.
    pub fn returns_to_zone(&self, now: Millis, chance: &mut Chance) -> bool {
        self.return_target(now).is_some() && chance.below(RETURNS_ONE_IN) == 0
    }

    /// A node of the own zone, where the one that is followed stands elsewhere and this one has been well
    /// for a while.
    #[must_use]
    pub fn return_target(&self, now: Millis) -> Option<Ipv4Addr> {
        match self.state {
            State::Connected { node, .. } => self.candidates.return_target(now, node),
            State::Paused { .. } | State::Dialled { .. } => None,
        }
    }

    // ---- What is known here ----

    /// The node that is dialled or followed.
    #[must_use]
    pub fn node(&self) -> Option<Ipv4Addr> {
        match self.state {
            State::Paused { .. } => None,
            State::Dialled { node, .. } | State::Connected { node, .. } => Some(node),
        }
    }

    /// Whether what is known here is known to be current.
    #[must_use]
    pub fn is_current(&self, now: Millis) -> bool {
        let hears =
            matches!(self.state, State::Connected { heard_at, .. } if now < heard_at + SILENCE);
        hears && self.vouched_at.is_some_and(|at| now < at + SILENCE)
    }

    /// Whether a process that has nothing yet may start with what the nodes told it: the one that is
    /// followed has vouched for it since it was connected, or none that does was found for long.
    #[must_use]
    pub fn may_start(&self, now: Millis) -> bool {
        let connected = matches!(self.state, State::Connected { .. });
        let vouched = connected && self.visit.vouched_at.is_some() && !self.is_stale(now);
        let looked_for = self.began_at.map_or(0, |at| now.saturating_sub(at));
        vouched || looked_for >= START_UNVOUCHED_AFTER
    }

    /// What the present connection has brought so far, or the last one had.
    #[must_use]
    pub fn visit(&self) -> Visit {
        self.visit
    }

    /// When a node, whichever it was, last vouched for what it told.
    #[must_use]
    pub fn vouched_at(&self) -> Option<Millis> {
        self.vouched_at
    }
}
