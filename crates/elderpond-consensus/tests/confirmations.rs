//! Confirmations: what a machine may call current after it was cut off.

mod world;

use elderpond_consensus::Rules;
use world::{Op, Outcome, World, ip};

fn calm(seed: u64, voters: u8) -> World {
    let rules = Rules {
        minimum_voters: voters.into(),
        ..Rules::default()
    };
    let mut world = World::founded(seed, voters, rules);
    world.run(1_500);
    world
}

fn cut_off(world: &mut World, n: u8) {
    for other in world.up() {
        world.cut.extend([(ip(n), other), (other, ip(n))]);
    }
}

fn marked(world: &mut World, n: u8, key: &str) {
    let mark = world.ask(ip(n), Op::Mark(key.into()));
    world.run(300);
    assert_eq!(world.outcomes.get(&mark), Some(&Outcome::Acknowledged));
}

/// Departures were acknowledged elsewhere while it was away; no configuration was.
#[yare::parameterized(three = { 3 }, five = { 5 })]
fn given_marks_it_missed_when_it_confirms_then_it_has_them_first(voters: u8) {
    for seed in 0..40 {
        let mut world = calm(seed, voters);
        cut_off(&mut world, voters);
        world.run(200);
        for mark in 0..20 {
            marked(&mut world, 1, &format!("worker {mark}"));
        }
        world.cut.clear();
        let mut confirmations = Vec::new();
        for _ in 0..10 {
            confirmations.push(world.confirm(voters));
            world.run(1 + seed % 7);
        }
        world.run(900);
        for confirmation in confirmations {
            let outcome = world.outcomes.get(&confirmation);
            assert!(
                matches!(outcome, Some(Outcome::Read(_))),
                "seed {seed}: {outcome:?}"
            );
        }
    }
}

/// One of those that answer is lost in the middle of the comparison.
#[test]
fn given_a_voter_lost_while_marks_are_compared_then_a_later_confirmation_ends() {
    for seed in 0..40 {
        let mut world = calm(seed, 5);
        cut_off(&mut world, 5);
        world.run(200);
        marked(&mut world, 1, "worker");
        world.cut.clear();
        world.confirm(5);
        world.run(1 + seed % 20);
        world.crash(ip(1));
        world.run(500);
        let confirmation = world.confirm(5);
        world.run(800);
        let outcome = world.outcomes.get(&confirmation);
        assert!(
            matches!(outcome, Some(Outcome::Read(_))),
            "seed {seed}: {outcome:?}"
        );
    }
}
