//! Hives that leave, with their disks or for a moment, amid losses.

mod world;

use elderpond_consensus::{Event, HandOver, Rules};
use world::{Op, Outcome, World, ip};

/// A hive that was told to end is killed after this (ms).
const GRACE: u64 = 6_000;

fn started(seed: u64, founders: u8, losses: usize) -> World {
    let rules = Rules {
        minimum_voters: 2 * losses + 1,
        ..Rules::default()
    };
    let mut world = World::founded(seed, founders, rules);
    world.run(1_500);
    world
}

fn leave(world: &mut World, n: u8) {
    world.give(ip(n), Event::Ending);
}

fn done(world: &World, n: u8) -> bool {
    matches!(world.replica(n).hand_over(), HandOver::Done { .. })
}

/// Told to leave, each of these ends once it may, or is killed; the disks of those that are removed go.
/// Whether all had handed over.
fn ended(world: &mut World, all: &[u8], removed: bool) -> bool {
    all.iter().for_each(|&n| leave(world, n));
    let (mut left, by) = (all.to_vec(), world.now + GRACE);
    while !left.is_empty() && world.now < by {
        world.run(10);
        let (over, on): (Vec<u8>, Vec<u8>) = left.iter().partition(|&&n| done(world, n));
        left = on;

        over.iter().for_each(|&n| end(world, n, removed));
    }
    left.iter().for_each(|&n| end(world, n, removed));
    left.is_empty()
}

fn end(world: &mut World, n: u8, removed: bool) {
    for other in world.up() {
        world.give(other, Event::Leaving(ip(n)));
    }
    world.crash(ip(n));
    if removed {
        world.nodes.remove(&ip(n));
    }
}

fn propose(world: &mut World, n: u8, version: u64) {
    let ticket = world.propose(n, version, "body");
    world.run(900);
    assert_eq!(world.outcomes.get(&ticket), Some(&Outcome::Acknowledged));
}

/// The third's disk is lost; three of four vote, each of them needed for the next set. One of these leaves
/// for good, on links that lose a fifth of all messages.
#[test]
fn given_a_lost_disk_when_one_of_those_needed_leaves_then_the_rest_have_all_it_had() {
    for seed in 0..150 {
        let mut world = started(seed, 4, 1);
        propose(&mut world, 1, 7);
        let mark = world.ask(ip(1), Op::Mark("w".into()));
        world.run(200);
        assert_eq!(world.outcomes.get(&mark), Some(&Outcome::Acknowledged));
        world.wipe(ip(3));
        world.loss = 0.2;
        assert!(ended(&mut world, &[1], true), "seed {seed}");
        // As many as may be at one time are lost still: the others go on.
        world.loss = 0.0;
        world.run(1_500);
        propose(&mut world, 2, 8);
        world.calm();
    }
}

/// Where three are wanted, two of five leave at once, and as soon as they have, another's disk is lost.
#[yare::parameterized(removed = { true }, back_soon = { false })]
fn given_two_that_leave_at_once_when_a_disk_is_lost_then_nothing_is(removed: bool) {
    for seed in 0..60 {
        let mut world = started(seed, 5, 1);
        propose(&mut world, 1, 7);
        assert!(ended(&mut world, &[1, 2], removed), "seed {seed}");
        world.wipe(ip(3));
        world.start(ip(3));
        world.run(1_500);
        propose(&mut world, 4, 8);
        world.calm();
    }
}

/// The third is cut off and has not heard of version 7; the first is removed meanwhile. The third is back,
/// and the second's disk is lost once the third has had time to catch up.
#[test]
fn given_one_behind_when_another_is_replaced_then_the_next_loss_takes_nothing() {
    for seed in 0..100 {
        let mut world = started(seed, 4, 1);
        for n in [1, 2, 4] {
            world.cut.extend([(ip(n), ip(3)), (ip(3), ip(n))]);
        }
        world.run(200);
        propose(&mut world, 1, 7);
        assert!(ended(&mut world, &[1], true), "seed {seed}");
        world.run(500);
        world.cut.clear();
        world.run(4_000);
        world.wipe(ip(2));
        let read = world.read(3);
        world.run(900);
        assert!(
            matches!(world.outcomes.get(&read), Some(Outcome::Read(Some((7, _))))),
            "seed {seed}: {:?}",
            world.outcomes.get(&read)
        );
        world.calm();
    }
}

/// Of five that bear two losses one disk is lost, another hive leaves for good before the first is whole
/// again, and the moment it is gone a second disk is lost.
#[test]
fn given_five_when_losses_overlap_and_one_leaves_then_nothing_is_lost() {
    for seed in 0..100 {
        let mut world = started(seed, 6, 2);
        propose(&mut world, 1, 7);
        world.wipe(ip(2));
        world.loss = 0.2;
        world.start(ip(2));
        assert!(ended(&mut world, &[1], true), "seed {seed}");
        world.wipe(ip(3));
        world.loss = 0.0;
        world.run(1_500);
        propose(&mut world, 4, 8);
        world.calm();
    }
}

#[test]
fn given_nobody_to_take_over_when_one_leaves_then_it_waits_and_says_for_whom() {
    let mut world = started(1, 3, 1);
    propose(&mut world, 1, 7);
    world.crash(ip(3));
    world.run(100);
    leave(&mut world, 1);
    world.run(2_000);
    let waits = HandOver::Waits {
        by: vec![ip(2)],
        missing: vec![ip(3)],
        needed: 2,
    };
    assert_eq!(world.replica(1).hand_over(), waits);
    world.start(ip(3));
    world.run(1_000);
    let by = vec![ip(2), ip(3)];
    assert_eq!(world.replica(1).hand_over(), HandOver::Done { by });
}

/// What is in memory is nobody's word.
#[yare::parameterized(version = { false }, mark = { true })]
fn given_disks_that_stall_when_one_leaves_then_it_waits_for_what_they_hold(mark: bool) {
    let mut world = started(2, 3, 1);
    propose(&mut world, 1, 7);
    leave(&mut world, 1);
    world.run(500);
    assert!(done(&world, 1));
    // What comes next, the first and second hold; the third has it in memory.
    world.nodes.get_mut(&ip(3)).unwrap().disk.stalled = true;
    match mark {
        false => propose(&mut world, 2, 8),
        true => {
            let mark = world.ask(ip(2), Op::Mark("w".into()));
            world.run(500);
            assert_eq!(world.outcomes.get(&mark), Some(&Outcome::Acknowledged));
        }
    }
    world.run(1_000);
    assert!(!done(&world, 1));
    world.resume(ip(3));
    world.run(500);
    assert!(done(&world, 1));
}

#[test]
fn given_a_hive_alone_or_one_that_nobody_needs_when_it_leaves_then_it_waits_for_nobody() {
    let alone = started(3, 1, 0);
    assert!(done(&alone, 1));
    let mut world = started(3, 4, 1);
    assert!(ended(&mut world, &[4], false));
    world.run(500);
    propose(&mut world, 1, 7);
    // It is back and voted out already; the set after the one that it was in votes.
    world.run(1_000);
    assert_eq!(world.replica(1).voters().len(), 3);
}

/// The first has just been started and has heard of nobody yet. It is a voter still when the others answer.
#[test]
fn given_a_hive_just_started_when_it_is_told_to_end_then_it_waits_for_a_set_without_it() {
    for seed in 0..60 {
        let mut world = started(seed, 4, 1);
        propose(&mut world, 1, 7);
        world.crash(ip(1));
        world.run(300);
        world.start(ip(1));
        // It hears answers and no beats.
        let set = world.replica(1).epoch();
        leave(&mut world, 1);
        world.run(20 + seed);
        if done(&world, 1) {
            assert!(world.replica(2).epoch() > set, "seed {seed}");
        }
        assert!(ended(&mut world, &[1], true), "seed {seed}");
        world.wipe(ip(2));
        world.run(1_500);
        propose(&mut world, 3, 8);
        world.calm();
    }
}

/// What it is told does not reach the first any more, so it waits on; the others go on without it.
#[test]
fn given_one_that_waits_long_when_it_left_the_voters_then_it_is_not_made_one_again() {
    let mut world = started(4, 4, 1);
    propose(&mut world, 1, 7);
    leave(&mut world, 1);
    while world.replica(2).epoch() == 1 {
        world.run(1);
    }
    world.cut.extend([2, 3, 4].map(|n| (ip(n), ip(1))));
    for _ in 0..40 {
        world.run(100);
        let voters = world.replica(2).voters();
        assert!(voters.iter().all(|voter| voter.node != ip(1)), "{voters:?}");
    }
    assert!(!done(&world, 1));
}
