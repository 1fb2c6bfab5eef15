//! Losses that follow each other as closely as the tolerance of losses allows, again and again.

mod world;

use std::net::Ipv4Addr;

use elderpond_consensus::{Event, HandOver, Rules};
use rand::RngExt;
use rand::seq::IndexedRandom;
use world::{Outcome, World, ip};

/// How one machine is lost.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    /// For good; an empty machine comes later.
    Replaced,
    /// An empty machine comes, and then it is told to end.
    Planned,
    /// It is told to end and goes with its disk; an empty machine comes later.
    Removed,
    /// It comes back with an empty disk.
    Wiped,
    /// It comes back with its disk.
    Power,
    /// It hears and says nothing for a while.
    Frozen,
}

const ALL: [Loss; 6] = [
    Loss::Replaced,
    Loss::Planned,
    Loss::Removed,
    Loss::Wiped,
    Loss::Power,
    Loss::Frozen,
];

/// Until a machine that crashed is taken for down by the others (ms).
const DETECTION: u64 = 2_000;
/// Until the successor of a lost machine starts, or it is back itself (ms).
const BACK: u64 = 1_000;
/// From then on until the next loss may come (ms): a deployment's `catch-up-s`.
const CATCH_UP: u64 = 4_000;
/// Until a machine that was told to end is killed (ms).
const GRACE: u64 = 6_000;

struct Fleet {
    world: World,
    newest: u8,
    version: u64,
}

impl Fleet {
    fn founded(seed: u64, losses: u8) -> Self {
        let rules = Rules {
            minimum_voters: usize::from(2 * losses + 1),
            ..Rules::default()
        };
        let founders = 2 * losses + 1;
        let mut world = World::founded(seed, founders, rules);
        world.detection = DETECTION;
        world.run(2_000);
        Self {
            world,
            newest: founders,
            version: 0,
        }
    }

    /// A change each quarter of a second, at any machine; the last of them has to be acknowledged.
    fn run_changes(&mut self, ms: u64, must: bool) {
        let mut last = None;
        for _ in 0..ms / 250 {
            let up = self.world.up();
            let node = *up.choose(&mut self.world.rng).unwrap();
            self.version += 1;
            last = Some(self.world.propose(node.octets()[3], self.version, "body"));
            self.world.run(250);
        }
        self.world.run(1_000);
        let outcome = last.and_then(|last| self.world.outcomes.get(&last));
        assert!(
            !must || outcome == Some(&Outcome::Acknowledged),
            "r{}: {outcome:?}",
            self.version
        );
    }

    fn start_another(&mut self) {
        self.newest += 1;
        self.world.start(ip(self.newest));
    }

    fn remove(&mut self, node: Ipv4Addr) {
        self.world.crash(node);
        self.world.nodes.remove(&node);
    }

    fn end(&mut self, node: Ipv4Addr) {
        self.world.give(node, Event::Ending);
        let killed = self.world.now + GRACE;
        let n = node.octets()[3];
        let done = |world: &World| matches!(world.replica(n).hand_over(), HandOver::Done { .. });
        while self.world.now < killed && !done(&self.world) {
            self.world.run(10);
        }
        for other in self.world.up() {
            self.world.give(other, Event::Leaving(node));
        }
        self.remove(node);
    }

    /// Machines of the same number are lost at the same moment, each in its way.
    fn lose(&mut self, losses: &[(Ipv4Addr, Loss)]) {
        for &(node, loss) in losses {
            match loss {
                Loss::Replaced => self.remove(node),
                Loss::Removed => self.end(node),
                Loss::Planned => self.start_another(),
                Loss::Wiped => self.world.wipe(node),
                Loss::Power => self.world.crash(node),
                Loss::Frozen => self.freeze(node),
            }
        }
        self.run_changes(BACK, false);
        for &(node, loss) in losses {
            match loss {
                Loss::Replaced | Loss::Removed => self.start_another(),
                Loss::Planned => self.end(node),
                Loss::Wiped | Loss::Power => self.world.start(node),
                Loss::Frozen => {}
            }
        }
        self.world.cut.clear();
    }

    fn freeze(&mut self, node: Ipv4Addr) {
        for other in self.world.up() {
            self.world.cut.extend([(node, other), (other, node)]);
        }
    }
}

/// Twenty times in a row as many machines as are borne are lost.
fn lost_in_a_row(seed: u64, borne: u8, kinds: &[Loss]) {
    let mut fleet = Fleet::founded(seed, borne);
    fleet.run_changes(1_000, true);
    for _ in 0..20 {
        let up = fleet.world.up();
        let lost: Vec<_> = up
            .sample(&mut fleet.world.rng, borne.into())
            .copied()
            .collect();
        let mut losses = Vec::new();
        for node in lost {
            losses.push((node, kinds[fleet.world.rng.random_range(0..kinds.len())]));
        }
        fleet.lose(&losses);
        fleet.run_changes(CATCH_UP - 1_000, true);
    }
    fleet.world.calm();
}

#[yare::parameterized(
    three_replaced = { 1, &[Loss::Replaced] },
    three_planned = { 1, &[Loss::Planned] },
    three_removed = { 1, &[Loss::Removed] },
    three_wiped = { 1, &[Loss::Wiped] },
    three_power = { 1, &[Loss::Power] },
    three_frozen = { 1, &[Loss::Frozen] },
    three_of_any_kind = { 1, &ALL },
    five_replaced = { 2, &[Loss::Replaced] },
    five_wiped = { 2, &[Loss::Wiped] },
    five_of_any_kind = { 2, &ALL },
)]
fn given_losses_in_a_row_then_changes_are_acknowledged_and_nothing_is_lost(
    borne: u8,
    kinds: &[Loss],
) {
    let wished = std::env::var("LOSS_SEEDS").ok();
    let seeds = wished.and_then(|seeds| seeds.parse().ok()).unwrap_or(12);
    for seed in 0..seeds {
        lost_in_a_row(seed, borne, kinds);
    }
}
