//! Voters that the others do not hear, though a machine without a vote reaches them.

mod world;

use std::net::Ipv4Addr;

use elderpond_consensus::Rules;
use world::{Outcome, World, ip};

/// Until the others have replaced a voter of which no beat comes (ms).
const REPLACED: u64 = 6_000;

/// Three voters, and the third of them then cut off from the other two.
fn third_voter_cut_off(seed: u64) -> World {
    let rules = Rules {
        minimum_voters: 3,
        ..Rules::default()
    };
    let mut world = World::founded(seed, 3, rules);
    world.second_opinions = true;
    world.run(2_000);
    for other in [ip(1), ip(2)] {
        world.cut.extend([(ip(3), other), (other, ip(3))]);
    }
    world
}

fn voters(world: &World) -> Vec<Ipv4Addr> {
    let voters = world.replica(1).voters().iter();
    voters.map(|voter| voter.node).collect()
}

#[test]
fn a_voter_that_only_a_spare_machine_reaches_is_replaced_before_the_next_disk_is_lost() {
    for seed in 0..20 {
        let mut world = third_voter_cut_off(seed);
        world.start(ip(4));
        world.run(REPLACED);
        assert_eq!(voters(&world), [ip(1), ip(2), ip(4)], "seed {seed}");
        world.crash(ip(3));
        world.nodes.remove(&ip(3));
        world.wipe(ip(2));
        world.start(ip(2));
        world.run(2_000);
        let ticket = world.propose(1, 1, "one");
        world.run(1_000);
        assert_eq!(
            world.outcomes.get(&ticket),
            Some(&Outcome::Acknowledged),
            "seed {seed}"
        );
    }
}

#[test]
fn a_voter_that_is_not_heard_keeps_its_vote_where_no_machine_can_stand_in() {
    let mut world = third_voter_cut_off(0);
    world.run(REPLACED);
    assert_eq!(voters(&world), [ip(1), ip(2), ip(3)]);
    world.calm();
}

#[test]
fn a_replaced_voter_that_is_heard_again_takes_part_again() {
    let mut world = third_voter_cut_off(0);
    world.start(ip(4));
    world.run(REPLACED);
    assert_eq!(voters(&world), [ip(1), ip(2), ip(4)]);
    world.cut.clear();
    world.start(ip(5));
    world.calm();
    assert_eq!(world.replica(3).voters().len(), 5);
}
