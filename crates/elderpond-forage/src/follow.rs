//! Which hive a forager follows.
//!
//! One at a time, in its own zone if there is one. A hive that is not heard of, or that does not
//! reach a majority of the voters, is left for another.

use std::net::Ipv4Addr;

use crate::{Chance, Millis};

/// A hive that may be followed.
#[derive(Clone, Debug, PartialEq)]
pub struct Known {
    /// Its machine.
    pub node: Ipv4Addr,
    /// Its zone; empty where it is not known.
    pub zone: String,
    failed_at: Option<Millis>,
    /// Whether the last one that vouched counted it among those that are there.
    listed: bool,
    /// How often it was left since it last vouched because it did not.
    barren: u32,
}

impl Known {
    /// Whether it may be dialled again while there are others, `times` as late as usual.
    fn rested(&self, now: Millis, times: Millis) -> bool {
        let rest = (REST * times) << self.barren.saturating_sub(1).min(RESTS);
        self.failed_at.is_none_or(|at| now >= at + rest)
    }
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Leave the present hive, if there is one, and dial this one.
    Dial(Ipv4Addr),
    /// Go on.
    Stay,
}

/// What one connection to a control node has brought so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Visit {
    /// When it was joined.
    pub joined_at: Millis,
    /// When it last vouched for what it tells.
    pub vouched_at: Option<Millis>,
    /// Heartbeats in which it did not vouch, since it last did.
    pub unvouched_heartbeats: u32,
}

#[derive(Clone, Debug, PartialEq)]
enum Now {
    Nobody { until: Millis },
    Dialled { node: Ipv4Addr, at: Millis },
    With { node: Ipv4Addr, heard: Millis },
}

/// The choice of a hive.
#[derive(Clone, Debug)]
pub struct Follow {
    zone: String,
    seeds: Vec<Ipv4Addr>,
    known: Vec<Known>,
    now: Now,
    /// When this process began to look for a hive.
    began: Option<Millis>,
    /// When the node that is followed is to be left, unless it vouches before.
    leave_at: Millis,
    /// Those that it reaches, if it did not vouch last.
    same_side: Vec<Ipv4Addr>,
    /// When a hive last vouched for what it told.
    vouched_at: Option<Millis>,
    /// The present connection, or the last one.
    visit: Visit,
    failures: u32,
}

/// A hive that was not heard of for this long is left; it is heard each 400 ms.
const SILENCE: Millis = 1100;
/// One that does not vouch for what it tells for this long is left: it confirms that within a few ms if it
/// can, and again each 400 ms.
const MINORITY: Millis = 1100;
/// One that says that it does not vouch is left after this, unless it does.
const UNVOUCHED: Millis = 500;
/// Bytes of a message that may take long on a slow link: a quarter of a second at half a megabit a second.
const LONG_MESSAGE: usize = 16 << 10;
/// A dial takes no longer than this.
const DIAL: Millis = 400;
/// One that failed is not dialled again for this long while there is another; where it was left because it
/// did not vouch, for twice as long each further time, so often.
const REST: Millis = 1500;
const RESTS: u32 = 3;
/// A process that starts with nothing goes by what a hive holds that does not vouch for it once it has looked
/// for another for this long: the core may be down for long, and what is old serves better than nothing.
pub const ALONE: Millis = 6000;

impl Follow {
    /// One that knows the seeds only.
    pub fn new(zone: &str, seeds: &[Ipv4Addr]) -> Self {
        let mut follow = Self {
            zone: zone.to_owned(),
            seeds: Vec::new(),
            known: Vec::new(),
            now: Now::Nobody { until: 0 },
            began: None,
            leave_at: 0,
            same_side: Vec::new(),
            vouched_at: None,
            visit: Visit::default(),
            failures: 0,
        };
        follow.seeds(seeds);
        follow
    }

    /// Takes in new seeds.
    pub fn seeds(&mut self, seeds: &[Ipv4Addr]) {
        self.seeds = seeds.to_vec();
        for seed in seeds {
            self.note(*seed, "");
        }
    }

    fn note(&mut self, node: Ipv4Addr, zone: &str) {
        match self.known.iter_mut().find(|known| known.node == node) {
            Some(known) if zone.is_empty() || known.zone == zone => {}
            Some(known) => known.zone = zone.to_owned(),
            None => self.known.push(Known {
                node,
                zone: zone.to_owned(),
                failed_at: None,
                listed: false,
                barren: 0,
            }),
        }
    }

    /// Takes in a heartbeat of the node that is followed: whether it vouches, and which nodes it counts as there.
    pub fn pulse(&mut self, now: Millis, majority: bool, hives: &[(Ipv4Addr, String)]) {
        for (node, zone) in hives {
            self.note(*node, zone);
        }
        match majority {
            true => self.vouched(now, hives),
            false => self.not_vouched(now, hives),
        }
        self.heard(now);
    }

    fn vouched(&mut self, now: Millis, alive: &[(Ipv4Addr, String)]) {
        let (seeds, with) = (&self.seeds, self.node());
        for known in &mut self.known {
            known.listed = alive.iter().any(|(node, _)| *node == known.node);
        }
        // neither seed nor alive: not dialled any more
        self.known.retain(|known| {
            known.listed || seeds.contains(&known.node) || Some(known.node) == with
        });
        if let Some(known) = self.known.iter_mut().find(|known| Some(known.node) == with) {
            known.barren = 0;
        }
        self.leave_at = now + MINORITY;
        self.same_side.clear();
        self.vouched_at = Some(now);
        self.visit.vouched_at = Some(now);
        self.visit.unvouched_heartbeats = 0;
        self.failures = 0;
    }

    /// A node that does not vouch may be cut off: those that it misses stay known, and those that it reaches may be
    /// cut off with it.
    fn not_vouched(&mut self, now: Millis, alive: &[(Ipv4Addr, String)]) {
        self.leave_at = self.leave_at.min(now + UNVOUCHED);
        self.visit.unvouched_heartbeats += 1;
        self.same_side = alive.iter().map(|(node, _)| *node).collect();
    }

    /// Notes that something came from the hive that is followed.
    pub fn heard(&mut self, now: Millis) {
        if let Now::With { heard, .. } = &mut self.now {
            *heard = now;
        }
    }

    /// Part of a message of that many bytes came. What vouches for it stands behind it, so a long one may take its
    /// time; any other is through before a node is left.
    pub fn part(&mut self, now: Millis, message_bytes: usize) {
        if message_bytes >= LONG_MESSAGE {
            self.leave_at = self.leave_at.max(now + MINORITY);
        }
    }

    /// The link to `node` is up.
    pub fn joined(&mut self, now: Millis, node: Ipv4Addr) {
        self.now = Now::With { node, heard: now };
        self.leave_at = now + MINORITY;
        self.same_side.clear();
        self.visit = Visit {
            joined_at: now,
            ..Visit::default()
        };
    }

    /// What the present connection has brought so far, or the last one had.
    #[must_use]
    pub fn visit(&self) -> Visit {
        self.visit
    }

    /// When a control node, whichever it was, last vouched for what it told.
    #[must_use]
    pub fn vouched_at(&self) -> Option<Millis> {
        self.vouched_at
    }

    /// Whether a process that has nothing yet may begin with what the hives told it: the one that is followed
    /// has vouched for it since it was joined, or none that does was found for long.
    pub fn may_begin(&self, now: Millis) -> bool {
        let vouched = self.visit.vouched_at.is_some()
            && matches!(self.now, Now::With { .. })
            && !self.stale(now);
        vouched || self.began.is_some_and(|at| now >= at + ALONE)
    }

    /// The link, or a dial, has failed.
    pub fn lost(&mut self, now: Millis, chance: &mut Chance) {
        let barren = matches!(self.now, Now::With { .. }) && self.visit.vouched_at.is_none();
        if let Some(node) = self.node()
            && let Some(known) = self.known.iter_mut().find(|known| known.node == node)
        {
            known.failed_at = Some(now);
            known.barren = known.barren.saturating_add(barren.into());
        }
        self.rest_same_side(now);
        self.failures = (self.failures + 1).min(6);
        // many foragers lose a hive at the same moment
        let most = if self.failures <= 1 {
            60
        } else {
            50 << self.failures
        };
        let until = now + chance.below(most.min(800)) as Millis;
        self.now = Now::Nobody { until };
    }

    /// Those that the one that did not vouch still reached rest with it, if there are others.
    fn rest_same_side(&mut self, now: Millis) {
        let same_side = std::mem::take(&mut self.same_side);
        let there_are_others = self
            .known
            .iter()
            .any(|known| !same_side.contains(&known.node));
        if !there_are_others {
            return;
        }
        for known in &mut self.known {
            if same_side.contains(&known.node) {
                known.failed_at = Some(now);
            }
        }
    }

    /// The hive that is dialled or followed.
    pub fn node(&self) -> Option<Ipv4Addr> {
        match self.now {
            Now::Nobody { .. } => None,
            Now::Dialled { node, .. } | Now::With { node, .. } => Some(node),
        }
    }

    /// Whether what is known here is known to be current.
    pub fn current(&self, now: Millis) -> bool {
        matches!(self.now, Now::With { heard, .. }
            if now < heard + SILENCE)
            && self.vouched_at.is_some_and(|at| now < at + SILENCE)
    }

    /// When nothing comes before, [`Self::step`] is to be asked again at this time.
    pub fn due(&self) -> Millis {
        match self.now {
            Now::Nobody { until } => until,
            Now::Dialled { at, .. } => at + DIAL,
            Now::With { heard, .. } => (heard + SILENCE).min(self.leave_at),
        }
    }

    /// Whether the hive that is dialled or followed is to be left. To be asked before what came is taken in,
    /// too: it may have waited while this process stood still.
    pub fn stale(&self, now: Millis) -> bool {
        match self.now {
            Now::Nobody { .. } => false,
            Now::Dialled { at, .. } => now >= at + DIAL,
            Now::With { heard, .. } => now >= heard + SILENCE || now >= self.leave_at,
        }
    }

    /// What is to be done now.
    pub fn step(&mut self, now: Millis, chance: &mut Chance) -> Step {
        self.began.get_or_insert(now);
        if matches!(self.now, Now::Nobody { until } if now < until) {
            return Step::Stay;
        }
        let left = self.stale(now);
        if !left && self.node().is_some() {
            return Step::Stay;
        }
        if left {
            self.lost(now, chance);
        }
        let Some(node) = self.chosen(now, chance) else {
            return Step::Stay;
        };
        self.now = Now::Dialled { node, at: now };
        Step::Dial(node)
    }

    /// One of those that did not fail lately, in the own zone if there is one; where all did, one of those that did
    /// so longest ago, so that each has its turn.
    fn chosen(&self, now: Millis, chance: &mut Chance) -> Option<Ipv4Addr> {
        let rested = |known: &&Known| known.rested(now, 1);
        let home = |known: &&Known| known.zone == self.zone;
        let mut pool: Vec<&Known> = self.known.iter().filter(rested).collect();
        if pool.iter().any(home) {
            pool.retain(home);
        }
        if pool.is_empty() {
            let first = self.known.iter().map(|known| known.failed_at).min();
            pool = (self.known.iter())
                .filter(|known| Some(known.failed_at) == first)
                .collect();
        }
        pool.get(chance.below(pool.len())).map(|known| known.node)
    }

    /// Whether to leave the hive that is followed for one of the own zone; to be asked about once
    /// a second. One in three goes at a time, as many foragers learn of a hive at the same moment.
    pub fn goes_home(&self, now: Millis, chance: &mut Chance) -> bool {
        self.home(now).is_some() && chance.below(3) == 0
    }

    /// A hive of the own zone, where one that is followed stands elsewhere and this one has been
    /// well for a while.
    pub fn home(&self, now: Millis) -> Option<Ipv4Addr> {
        let Now::With { node, .. } = self.now else {
            return None;
        };
        let zone = |node| self.known.iter().find(|known| known.node == node);
        if zone(node).is_some_and(|known| known.zone == self.zone || known.zone.is_empty()) {
            return None;
        }
        let mut homes = (self.known.iter()).filter(|known| known.zone == self.zone && known.listed);
        let home = homes.find(|known| known.rested(now, 4));
        home.map(|known| known.node)
    }
}
