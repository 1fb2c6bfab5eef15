//! The control nodes that a proxy knows of, and which of them it connects to next.

use std::net::Ipv4Addr;

use crate::{Chance, Millis};

/// One that failed is not dialled again for this long while there is another (ms).
const REST: Millis = 1500;
/// The rest doubles with each visit in which a node did not vouch, at most so often.
const MOST_DOUBLINGS: u32 = 3;
/// A node of the own zone is returned to after this multiple of its rest.
const RESTS_BEFORE_RETURN: Millis = 4;
/// Nodes that are known at a time, at most: lists without a vouch only add to them.
const MOST_KNOWN: usize = 256;

/// A control node, and where it stands.
pub type NodeInZone = (Ipv4Addr, String);

/// A control node that may be connected to.
#[derive(Clone, Debug, PartialEq)]
struct Candidate {
    node: Ipv4Addr,
    /// Empty where it is not known.
    zone: String,
    failed_at: Option<Millis>,
    /// Whether the last heartbeat with a vouch listed it as alive.
    listed: bool,
    /// Visits in a row in which it did not vouch.
    fruitless_visits: u32,
}

impl Candidate {
    /// Whether `multiple` times its rest has passed since it failed.
    fn rested(&self, now: Millis, multiple: Millis) -> bool {
        let doublings = self.fruitless_visits.saturating_sub(1).min(MOST_DOUBLINGS);
        let rest = (REST * multiple) << doublings;
        self.failed_at.is_none_or(|at| now >= at + rest)
    }
}

/// The control nodes that a proxy of one zone knows of.
#[derive(Clone, Debug)]
pub(super) struct Candidates {
    zone: String,
    seeds: Vec<Ipv4Addr>,
    all: Vec<Candidate>,
}

impl Candidates {
    /// None yet, for a proxy of that zone.
    pub(super) fn new(zone: &str) -> Self {
        Self {
            zone: zone.to_owned(),
            seeds: Vec::new(),
            all: Vec::new(),
        }
    }

    /// Replaces the nodes that stay known whatever other nodes list.
    pub(super) fn set_seeds(&mut self, seeds: &[Ipv4Addr]) {
        self.seeds = seeds.to_vec();
        for seed in seeds {
            self.add(*seed, "");
        }
    }

    /// Adds the nodes of a list that came without a vouch: its sender may be cut off from the others.
    pub(super) fn add_all(&mut self, nodes: &[NodeInZone]) {
        for (node, zone) in nodes {
            self.add(*node, zone);
        }
    }

    /// Takes a list that `sender` vouches for as the whole, but for the seeds.
    pub(super) fn replace_all(&mut self, sender: Option<Ipv4Addr>, nodes: &[NodeInZone]) {
        let listed = |node: Ipv4Addr| nodes.iter().any(|(listed, _)| *listed == node);
        let seeds = &self.seeds;
        self.all.retain(|candidate| {
            let node = candidate.node;
            listed(node) || seeds.contains(&node) || Some(node) == sender
        });
        self.add_all(nodes);
        for candidate in &mut self.all {
            candidate.listed = listed(candidate.node);
        }
        if let Some(sender) = sender.and_then(|node| self.get_mut(node)) {
            sender.fruitless_visits = 0;
        }
    }

    fn add(&mut self, node: Ipv4Addr, zone: &str) {
        let full = self.all.len() >= MOST_KNOWN;
        match self.get_mut(node) {
            Some(known) if zone.is_empty() || known.zone == zone => {}
            Some(known) => known.zone = zone.to_owned(),
            None if full => {}
            None => self.all.push(Candidate {
                node,
                zone: zone.to_owned(),
                failed_at: None,
                listed: false,
                fruitless_visits: 0,
            }),
        }
    }

    fn get(&self, node: Ipv4Addr) -> Option<&Candidate> {
        self.all.iter().find(|candidate| candidate.node == node)
    }

    fn get_mut(&mut self, node: Ipv4Addr) -> Option<&mut Candidate> {
        self.all.iter_mut().find(|candidate| candidate.node == node)
    }

    /// A dial or a connection has failed; `fruitless` if the node was connected and never vouched.
    pub(super) fn failed(&mut self, now: Millis, node: Ipv4Addr, fruitless: bool) {
        if let Some(candidate) = self.get_mut(node) {
            candidate.failed_at = Some(now);
            candidate.fruitless_visits += u32::from(fruitless);
        }
    }

    /// A node that did not vouch reached only these. They rest with it, unless there are no others.
    pub(super) fn rest_partition(&mut self, now: Millis, reached: &[Ipv4Addr]) {
        let reaches = |candidate: &Candidate| reached.contains(&candidate.node);
        if self.all.iter().all(reaches) {
            return;
        }
        for candidate in self.all.iter_mut().filter(|candidate| reaches(candidate)) {
            candidate.failed_at = Some(now);
        }
    }

    /// One of those that have rested, in the own zone if there is one; where none has, one of those that
    /// failed longest ago, so that each has its turn.
    pub(super) fn choose(&self, now: Millis, chance: &mut Chance) -> Option<Ipv4Addr> {
        let rested = |candidate: &&Candidate| candidate.rested(now, 1);
        let in_own_zone = |candidate: &&Candidate| candidate.zone == self.zone;
        let mut pool: Vec<&Candidate> = self.all.iter().filter(rested).collect();
        if pool.iter().any(in_own_zone) {
            pool.retain(in_own_zone);
        }
        if pool.is_empty() {
            let longest_ago = self.all.iter().map(|candidate| candidate.failed_at).min()?;
            pool = (self.all.iter())
                .filter(|candidate| candidate.failed_at == longest_ago)
                .collect();
        }
        pool.get(chance.below(pool.len()))
            .map(|candidate| candidate.node)
    }

    /// A node of the own zone that has been well for a while, where `followed` stands in another.
    pub(super) fn return_target(&self, now: Millis, followed: Ipv4Addr) -> Option<Ipv4Addr> {
        let zone = self.get(followed).map(|candidate| candidate.zone.as_str());
        if zone.is_some_and(|zone| zone == self.zone || zone.is_empty()) {
            return None;
        }
        let mut in_own_zone =
            (self.all.iter()).filter(|candidate| candidate.zone == self.zone && candidate.listed);
        let target = in_own_zone.find(|candidate| candidate.rested(now, RESTS_BEFORE_RETURN));
        target.map(|candidate| candidate.node)
    }
}
