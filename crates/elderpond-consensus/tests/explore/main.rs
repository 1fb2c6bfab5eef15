//! The replica's state machines in every order of messages, losses, doubles, crashes and empty disks within
//! small bounds; and faults put in on purpose, each of which has to be found.

mod alike;
mod deep;
mod numbers;
mod search;
mod second_loss;

use deep::{ALL, Bounds, Explored, Reductions, Story, explore};
use elderpond_consensus::{Event, Message, Mutant, Rules};
use search::{Flight, Op, State, Troubles, ip};

fn rules(voters: usize, mutant: Option<Mutant>) -> Rules {
    Rules {
        minimum_voters: voters,
        patience: 800,
        founding_patience: 1_000,
        retry: 50,
        recover: 100,
        beat: 200,
        gone: 300,
        rewrite: 50,
        marks: 8,
        numbers: 8,
        requests: 16,
        piece: 64 << 10,
        window: 4,
        mutant,
    }
}

fn calm(voters: usize, mutant: Option<Mutant>) -> State {
    let mut state = State::calm(voters, rules(voters, mutant), true);
    state.world.beats = false;
    state
}

const NONE: Troubles = Troubles {
    doubles: 0,
    crashes: 0,
    wipes: 0,
    failures: 0,
    ticks: 0,
};

/// From the environment, for runs by hand.
fn wish(name: &str, else_it_is: usize) -> usize {
    let wish = std::env::var(name).ok();
    wish.and_then(|it| it.parse().ok()).unwrap_or(else_it_is)
}

fn bounds(states: usize) -> Bounds {
    let states = wish("EXPLORE_STATES", states);
    Bounds {
        states,
        calm: (states as u64 / 200).next_power_of_two().max(512),
        threads: wish("EXPLORE_THREADS", 2),
        reductions: ALL,
        tell: wish("EXPLORE_TELL", 0) > 0,
    }
}

fn visit(name: &str, state: State) -> Result<Explored, Story> {
    let began = std::time::Instant::now();
    let done = explore(state, bounds(100_000));
    if let Ok(it) = &done {
        let all = match it.whole {
            true => "all".into(),
            false => format!("all {} moves deep", it.depth),
        };
        println!(
            "{name}: {} states, {all}; {} moves; {} ends; {} histories; parts {:?}; {:?}",
            it.states,
            it.moves,
            it.disks.len(),
            it.histories.len(),
            it.parts,
            began.elapsed()
        );
    }
    done
}

#[yare::parameterized(
    two_versions = { "two versions", 3, &[Op::Propose(0, 1, "a"), Op::Propose(1, 2, "b")], NONE },
    two_versions_crash = { "two versions, a crash", 3,
        &[Op::Propose(0, 1, "a"), Op::Propose(1, 2, "b")], Troubles { crashes: 1, ..NONE } },
    two_bodies = { "two bodies", 3, &[Op::Propose(0, 1, "a"), Op::Propose(1, 1, "b")], NONE },
    a_read = { "a read", 3, &[Op::Propose(0, 1, "a"), Op::Read(2)], NONE },
    a_crash = { "a crash", 3, &[Op::Propose(0, 1, "a")], Troubles { crashes: 1, ..NONE } },
    two_crashes = { "two crashes", 3, &[Op::Propose(0, 1, "a")], Troubles { crashes: 2, ..NONE } },
    a_wipe = { "a wipe", 3, &[Op::Propose(0, 1, "a"), Op::Read(2)], Troubles { wipes: 1, ..NONE } },
    doubles = { "doubles", 3, &[Op::Propose(0, 1, "a")], Troubles { doubles: 1, ..NONE } },
    failures = { "failed writes", 3, &[Op::Propose(0, 1, "a")],
        Troubles { failures: 1, ticks: 1, ..NONE } },
    five = { "five", 5, &[Op::Propose(0, 1, "a")], NONE },
    five_crash = { "five, a crash", 5, &[Op::Propose(0, 1, "a")], Troubles { crashes: 1, ..NONE } },
)]
fn given_voters_when_asked_in_any_order_then_nothing_acknowledged_is_lost(
    name: &str,
    voters: usize,
    ops: &[Op],
    left: Troubles,
) {
    visit(name, asked(voters, ops, left)).unwrap();
}

/// Voters of whom this is asked amid such troubles.
fn asked(voters: usize, ops: &[Op], left: Troubles) -> State {
    let mut state = State::calm(voters, rules(voters, None), false);
    (state.ops, state.left) = (ops.to_vec(), left);
    state
}

/// A body of two pieces, each asked for when the one before it has come.
#[yare::parameterized(
    two_bodies = { "pieces, two bodies", &[Op::Propose(1, 1, "def")], NONE },
    a_read = { "pieces, a read", &[Op::Read(2)], NONE },
    a_crash = { "pieces, a crash", &[], Troubles { crashes: 1, ..NONE } },
    a_wipe = { "pieces, a wipe", &[], Troubles { wipes: 1, ..NONE } },
)]
fn given_bodies_in_pieces_when_in_any_order_then_nothing_acknowledged_is_lost(
    name: &str,
    ops: &[Op],
    left: Troubles,
) {
    let rules = Rules {
        piece: 2,
        window: 1,
        ..rules(3, None)
    };
    let mut state = State::calm(3, rules, true);
    state.world.beats = false;
    state.ask(&Op::Propose(0, 1, "abc"));
    state.settle(&|what| {
        use Message::{Prepare, Promise};
        matches!(what.message, Prepare { .. } | Promise { .. })
    });
    (state.ops, state.left) = (ops.to_vec(), left);
    let explored = visit(name, state).unwrap();
    assert!(!explored.disks.is_empty());
}

fn is_beat(what: &Flight) -> bool {
    matches!(what.message, Message::Beat(_))
}

fn is_store(what: &Flight) -> bool {
    matches!(what.message, Message::Accept { .. })
}

/// Version 1 is held by the first two of three; the first lost its disk; the second has just had the next set
/// decided.
fn wiped(mutant: Option<Mutant>) -> State {
    let mut state = calm(3, mutant);
    state.ask(&Op::Propose(0, 1, "a"));
    state.settle(&|what| what.to != 2);
    assert_eq!(state.acknowledged(), 1);
    state.lose(&|_| true);
    state.world.beats = true;
    state.wipe(0);
    state.settle(&|what| is_beat(what) && what.from + what.to == 1);
    state.lose(&|_| true);
    change_of_set(&mut state);
    state
}

/// The second has the next set decided, and tells.
fn change_of_set(state: &mut State) {
    for _ in 0..10 {
        state.tick(1, 60);
        state.lose(&is_beat);
        let set_proposal = |what: &Flight| {
            use Message::{AcceptSet, AcceptedSet, PrepareSet, PromiseSet};
            matches!(
                what.message,
                PrepareSet { .. } | PromiseSet { .. } | AcceptSet { .. } | AcceptedSet { .. }
            )
        };
        state.settle(&set_proposal);
        if state.replica(1).epoch() == 2 {
            break;
        }
    }
    assert_eq!([0, 1, 2].map(|it| state.replica(it).epoch()), [1, 2, 1]);
    state.world.beats = false;
    state.settle(&|what| is_beat(what) && what.from == 1);
}

/// Three vote; the second may have asked them to hold version 1, and hears nothing any more. The first and
/// third have decided that a fourth votes in its place, which has taken over; a fifth, who never votes,
/// knows the old set.
fn replaced(mutant: Option<Mutant>, asks: bool) -> State {
    let mut state = calm(3, mutant);
    let (next, watcher) = (state.newcomer(), state.newcomer());
    state.world.beats = true;
    state.settle(&|_| true);
    for node in 0..3 {
        state.tick(node, 300);
    }
    state.settle(&|_| true);
    assert_eq!(state.replica(watcher).epoch(), 1);
    if asks {
        state.ask(&Op::Propose(1, 1, "a"));
    }
    state.settle(&|what| !is_store(what) && what.from + what.to == 3);
    state.lose(&|what| !(is_store(what) && what.to == 2));
    state.give(0, Event::Alive([0, 1, 2, next].map(ip).to_vec()));
    state.give(0, Event::Leaving(ip(1)));
    let within = |what: &Flight| [0, 2, 3].contains(&what.from) && [0, 2, 3].contains(&what.to);
    for _ in 0..20 {
        state.tick(0, 60);
        state.tick(next, 60);
        state.settle(&|what| within(what) && !is_store(what));
        if state.replica(next).is_active() && state.replica(next).epoch() == 2 {
            break;
        }
    }
    state.lose(&|what| !is_store(what));
    assert_eq!(
        [0, 1, 2, 3, 4].map(|it| state.replica(it).epoch()),
        [2, 1, 2, 2, 1]
    );
    assert!(state.replica(next).is_active());
    state
}

fn story(mutant: Mutant) -> State {
    let mutant = Some(mutant);
    match mutant {
        Some(Mutant::BeforeTheSync | Mutant::WipedIsCounted) | None => {
            let mut state = calm(3, mutant);
            state.ops = vec![Op::Propose(0, 1, "a"), Op::Read(2)];
            state.left.wipes = 1;
            state
        }
        Some(Mutant::BeforeCaughtUp | Mutant::OldMajorityForgotten) => overtaken(mutant),
        Some(Mutant::NoFence) => fenced(mutant),
        Some(Mutant::AnyEpoch) => late(mutant),
        Some(mutant) => numbers::story(mutant),
    }
}

fn overtaken(mutant: Option<Mutant>) -> State {
    let mut state = wiped(mutant);
    state.ops = vec![Op::Read(2), Op::Propose(2, 2, "b")];
    state
}

fn fenced(mutant: Option<Mutant>) -> State {
    let mut state = replaced(mutant, true);
    state.world.beats = false;
    state.ops = vec![Op::Read(3), Op::Propose(0, 2, "b")];
    state
}

/// Version 2 is held by the third and fourth; the fifth asks the old voters and hears of the new ones.
fn late(mutant: Option<Mutant>) -> State {
    let mut state = replaced(mutant, false);
    state.lose(&|_| true);
    state.ask(&Op::Propose(2, 2, "b"));
    state.settle(&|what| what.from + what.to == 5 && what.from.min(what.to) == 2);
    assert_eq!(state.acknowledged(), 2);
    state.lose(&|_| true);
    state.ask(&Op::Read(4));
    state.settle(&|what| matches!(what.message, Message::Read { .. }) && what.to < 2);
    state.world.beats = false;
    state
}

/// What is found must not depend on which states are taken for one.
#[yare::parameterized(
    a_crash = { asked(3, &[Op::Propose(0, 1, "a")], Troubles { crashes: 1, ..NONE }) },
    doubles = { asked(3, &[Op::Propose(0, 1, "a")], Troubles { doubles: 1, ..NONE }) },
    a_read = { asked(3, &[Op::Propose(0, 1, "a"), Op::Read(0)], NONE) },
    two_versions = { asked(2, &[Op::Propose(0, 1, "a"), Op::Propose(1, 2, "b")], NONE) },
    two_versions_crash = { asked(2, &[Op::Propose(0, 1, "a"), Op::Propose(1, 2, "b")],
        Troubles { crashes: 1, ..NONE }) },
    two_bodies = { asked(2, &[Op::Propose(0, 1, "a"), Op::Propose(1, 1, "b")], NONE) },
    late_answers = { late(None) },
)]
fn given_reductions_when_explored_then_the_same_ends_and_histories_are_found(state: State) {
    let explore = |reductions| {
        let bounds = Bounds {
            calm: u64::MAX,
            reductions,
            ..bounds(usize::MAX)
        };
        explore(state.clone(), bounds).unwrap()
    };
    let plain = explore(Reductions::default());
    let fewer = explore(Reductions {
        alike: false,
        ..ALL
    });
    let fewest = explore(ALL);
    println!("states {} {} {}", plain.states, fewer.states, fewest.states);
    assert!(plain.whole && fewer.whole && fewest.whole);
    assert!(fewer.states < plain.states && fewest.states <= fewer.states);
    assert_eq!(
        (&fewer.disks, &fewer.histories),
        (&plain.disks, &plain.histories)
    );
    assert_eq!(fewest.histories, plain.histories);
}

#[yare::parameterized(
    before_the_sync = { Mutant::BeforeTheSync },
    wiped_is_counted = { Mutant::WipedIsCounted },
    before_caught_up = { Mutant::BeforeCaughtUp },
    old_majority_forgotten = { Mutant::OldMajorityForgotten },
    no_fence = { Mutant::NoFence },
    any_epoch = { Mutant::AnyEpoch },
    newest_number_only = { Mutant::NewestNumberOnly },
    own_numbers_only = { Mutant::OwnNumbersOnly },
    overtaken_forgotten = { Mutant::OvertakenForgotten },
    numbers_in_memory = { Mutant::NumbersInMemory },
    number_told_unsynced = { Mutant::NumberToldUnsynced },
    numbers_not_handed_over = { Mutant::NumbersNotHandedOver },
)]
fn given_a_fault_put_in_when_explored_then_it_is_found(mutant: Mutant) {
    let found = explore(
        story(mutant),
        Bounds {
            calm: u64::MAX,
            ..bounds(60_000)
        },
    );
    println!("{mutant:?}: {:?}", found.expect_err("it is found"));
}

#[test]
fn given_a_write_that_a_loss_of_power_takes_after_its_end_when_explored_then_it_is_found() {
    let mut state = asked(3, &[Op::Propose(0, 1, "a"), Op::Read(2)], NONE);
    state.world.flushed_only = true;
    let found = explore(state, bounds(60_000));
    println!("{:?}", found.expect_err("it is found"));
}

#[yare::parameterized(
    a_disk = { "a disk replaced", overtaken },
    a_machine = { "a machine replaced", fenced },
    late_answers = { "late answers", late },
)]
fn given_a_change_of_voters_when_any_order_then_nothing_acknowledged_is_lost(
    name: &str,
    story: fn(Option<Mutant>) -> State,
) {
    visit(name, story(None)).unwrap();
}
