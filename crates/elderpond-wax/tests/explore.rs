//! The orders' state machines in every order of losses, delays, doubles, crashes, empty disks and repeats,
//! each story with so many departures from its course, at any points; and faults put in on purpose, each of
//! which has to be found.
//!
//! `EXPLORE_DEPARTURES=3 cargo test -p elderpond-wax --test explore -- --nocapture` for more.

mod world;

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use elderpond_wax::{Mutant, Rules};
use world::{Item, Op, Stage, World, ip, rules};

/// What may go otherwise at one point.
#[derive(Clone, Debug)]
enum Departure {
    Lose,
    Double,
    Delay,
    Crash(u8, bool),
    AllLosePower,
    Die(usize),
    /// What comes next in the story happens now.
    Soon,
}

fn departures(world: &World) -> Vec<Departure> {
    let mut all = Vec::new();
    if let Some(front) = world.queue.front() {
        if let Item::Said(..) = front {
            all.extend([Departure::Lose, Departure::Double]);
        }
        if world.queue.len() > 1 {
            all.push(Departure::Delay);
        }
        if !world.script.is_empty() {
            all.push(Departure::Soon);
        }
    }
    for node in world.hives.keys() {
        let node = node.octets()[3];
        all.push(Departure::Crash(node, false));
        if world.queue.contains(&Item::Written(ip(node))) {
            all.push(Departure::Crash(node, true));
        }
    }
    all.push(Departure::AllLosePower);
    for (at, forager) in world.foragers.iter().enumerate() {
        if !matches!(forager.stage, Stage::Idle | Stage::Over(_) | Stage::Dead) {
            all.push(Departure::Die(at));
        }
    }
    all
}

fn depart(world: &mut World, departure: &Departure) {
    match departure {
        Departure::Lose => drop(world.queue.pop_front()),
        Departure::Double => {
            let front = world.queue.front().cloned();
            world.queue.extend(front);
        }
        Departure::Delay => world.queue.rotate_left(1),
        Departure::Crash(node, kept) => world.crash(ip(*node), *kept),
        Departure::AllLosePower => {
            for node in world.hives.keys().copied().collect::<Vec<_>>() {
                world.crash(node, false);
            }
        }
        Departure::Die(at) => world.op(Op::Die(*at)),
        Departure::Soon => drop(world.next_op()),
    }
}

struct Search {
    seen: HashMap<u64, usize>,
    ends: usize,
}

impl Search {
    /// Plays on to the end, and from each point on the way with each departure.
    fn play(
        &mut self,
        mut world: World,
        left: usize,
        told: &mut Vec<String>,
    ) -> Result<(), String> {
        loop {
            let mut hasher = DefaultHasher::new();
            world.hash(&mut hasher);
            let best = self.seen.entry(hasher.finish()).or_insert(usize::MAX);
            if *best != usize::MAX && *best >= left {
                return Ok(());
            }
            *best = left;
            if left > 0 {
                for departure in departures(&world) {
                    let mut other = world.clone();
                    depart(&mut other, &departure);
                    told.push(format!("{departure:?} before {:?}", world.queue.front()));
                    self.play(other, left - 1, told)?;
                    told.pop();
                }
            }
            let on = world.step();
            if !on {
                self.ends += 1;
                world.calm();
            }
            if let Some(fault) = &world.fault {
                return Err(format!("{fault}\n{}", told.join("\n")));
            }
            if !on {
                return Ok(());
            }
        }
    }
}

fn explore(name: &str, world: World, departures: usize) -> Result<usize, String> {
    let began = std::time::Instant::now();
    let more = std::env::var("EXPLORE_DEPARTURES").ok();
    let most = more
        .and_then(|more| more.parse().ok())
        .unwrap_or(departures);
    let mut search = Search {
        seen: HashMap::new(),
        ends: 0,
    };
    // Fewer first: the story of a fault is then a short one.
    for left in 0..=most {
        search.play(world.clone(), left, &mut Vec::new())?;
    }
    let states = search.seen.len();
    println!(
        "{name}: {states} states, {} ends, {most} departures; {:?}",
        search.ends,
        began.elapsed()
    );
    Ok(states)
}

fn mutated(mutant: Option<Mutant>) -> Rules {
    Rules { mutant, ..rules() }
}

/// A repeat by another hive, once the first is through; or, as a departure, at any time before.
const REPEAT: &[Op] = &[Op::Ask(0, 1), Op::Ask(1, 2), Op::Retell(0, 3)];
/// One hive hears nothing of the first, and is asked by the second.
const CUT: &[Op] = &[
    Op::Cut(&[3]),
    Op::Ask(0, 1),
    Op::Heal,
    Op::Ask(1, 3),
    Op::Retell(0, 2),
];
/// A hive loses its disk after the record, while another knows nothing of it; the voters change to hold it.
const WIPE: &[Op] = &[
    Op::Cut(&[3]),
    Op::Ask(0, 1),
    Op::Wipe(2),
    Op::Heal,
    Op::Ask(1, 3),
    Op::Turn(&[1, 2, 3], 3),
    Op::Pass(60),
    Op::Ask(1, 2),
];
/// A worker turns the order away; a forager dies on it; nobody knows; the operator speaks.
const UNKNOWN: &[Op] = &[
    Op::TurnAway,
    Op::Ask(0, 1),
    Op::Ask(0, 2),
    Op::Pass(1_800),
    Op::Ask(1, 3),
    Op::Settle(1, false),
    Op::Ask(1, 2),
];
/// An outcome is ended while one voter is away, which holds the claim only.
const END: &[Op] = &[
    Op::Ask(0, 1),
    Op::Cut(&[3]),
    Op::Retell(0, 1),
    Op::Pass(4_000),
    Op::Ask(1, 2),
    Op::Pass(6_100),
    Op::Pass(400),
    Op::Heal,
    Op::Ask(1, 3),
];
/// Two of three voters are replaced by fresh machines; an old one has not heard of it.
const REPLACE: &[Op] = &[
    Op::Ask(0, 1),
    Op::Cut(&[3]),
    Op::Turn(&[1, 4, 5], 4),
    Op::Pass(60),
    Op::Ask(1, 5),
    Op::Cut(&[2, 3]),
    Op::Ask(2, 3),
];
/// A voter may be left alone with a claim, and be a voter of the next set, whose others know nothing of it.
const ALONE: &[Op] = &[
    Op::Ask(2, 1),
    Op::Ask(0, 1),
    Op::Cut(&[1]),
    Op::Pass(480),
    Op::Turn(&[1, 4, 5], 4),
    Op::Pass(60),
    Op::Ask(1, 4),
];

fn all(mutant: Option<Mutant>, departures: [usize; 7]) -> Result<usize, String> {
    let cases = [
        ("repeat", REPEAT, 3),
        ("cut", CUT, 3),
        ("wipe", WIPE, 3),
        ("unknown", UNKNOWN, 3),
        ("end", END, 3),
        ("replace", REPLACE, 5),
        ("alone", ALONE, 5),
    ];
    let mut states = 0;
    for ((name, script, hives), departures) in cases.into_iter().zip(departures) {
        let mut world = World::new(hives, mutated(mutant), 3).then(script);
        if script == ALONE {
            world.foragers[2].key = "another".into();
        }
        states += explore(name, world, departures).map_err(|fault| format!("{name}: {fault}"))?;
    }
    Ok(states)
}

#[test]
fn given_any_departures_when_an_order_is_repeated_then_it_runs_once_and_its_answer_is_the_first() {
    if let Err(fault) = all(None, [2, 2, 2, 1, 1, 1, 1]) {
        panic!("{fault}");
    }
}

#[yare::parameterized(
    before_the_sync = { Mutant::BeforeTheSync },
    wiped_is_counted = { Mutant::WipedIsCounted },
    unknown_is_absent = { Mutant::UnknownIsAbsent },
    any_epoch = { Mutant::AnyEpoch },
    before_caught_up = { Mutant::BeforeCaughtUp },
    ends_early = { Mutant::EndsEarly },
    forgotten_by_majority = { Mutant::ForgottenByMajority },
    rank_without_epoch = { Mutant::RankWithoutEpoch },
)]
fn given_a_fault_put_in_when_explored_then_it_is_found(mutant: Mutant) {
    let found = all(Some(mutant), [1; 7]);
    if let Err(fault) = &found {
        println!("{mutant:?}: {fault}");
    }
    assert!(found.is_err(), "{mutant:?} is not found");
}
