//! The comb's state machines in every order of messages, losses, doubles, crashes and empty disks within
//! small bounds; and faults put in on purpose, each of which has to be found.

mod search;

use elderpond_comb::{Event, Message, Mutant, Rules};
use search::{Explored, Flight, Op, State, Story, Troubles, explore, ip};

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
        requests: 16,
        piece: 64 << 10,
        window: 4,
        mutant,
    }
}

fn calm(voters: usize, nodes: usize, mutant: Option<Mutant>) -> State {
    let mut state = State::calm(voters, nodes, rules(voters, mutant));
    state.beats = false;
    state
}

const NONE: Troubles = Troubles {
    doubles: 0,
    crashes: 0,
    wipes: 0,
    failures: 0,
    ticks: 0,
};

/// The states visited in one case at the most; `EXPLORE_STATES` for more.
fn most(few: usize) -> usize {
    let most = std::env::var("EXPLORE_STATES").ok();
    most.and_then(|most| most.parse().ok()).unwrap_or(few)
}

fn visit(name: &str, state: State) -> Result<Explored, Story> {
    let began = std::time::Instant::now();
    let done = explore(state, most(40_000), 512);
    if let Ok(Explored {
        states,
        disks,
        whole,
    }) = &done
    {
        let all = if *whole { "all" } else { "nearest" };
        println!(
            "{name}: {states} states, {all}; {disks} ends; {:?}",
            began.elapsed()
        );
    }
    done
}

#[yare::parameterized(
    two_versions = { "two versions", 3, &[Op::Propose(0, 1, "a"), Op::Propose(1, 2, "b")], NONE },
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
    let mut state = calm(voters, voters, None);
    (state.ops, state.left) = (ops.to_vec(), left);
    visit(name, state).unwrap();
}

fn is_beat(what: &Flight) -> bool {
    matches!(what.message, Message::Beat(_))
}

fn is_store(what: &Flight) -> bool {
    matches!(what.message, Message::Store { .. })
}

/// Version 1 is held by the first two of three; the first lost its disk; the second has just had the next set
/// decided.
fn wiped(mutant: Option<Mutant>) -> State {
    let mut state = calm(3, 3, mutant);
    state.ask(&Op::Propose(0, 1, "a"));
    state.settle(&|what| what.to != 2);
    assert_eq!(state.acknowledged(), 1);
    state.lose(&|_| true);
    state.beats = true;
    state.wipe(0);
    state.settle(&|what| is_beat(what) && what.from + what.to == 1);
    state.lose(&|_| true);
    for _ in 0..10 {
        state.tick(1, 60);
        state.lose(&is_beat);
        let election = |what: &Flight| {
            use Message::{Elect, Elected, Settle, Settled};
            matches!(
                what.message,
                Elect { .. } | Elected { .. } | Settle { .. } | Settled { .. }
            )
        };
        state.settle(&election);
        if state.comb(1).epoch() == 2 {
            break;
        }
    }
    assert_eq!([0, 1, 2].map(|it| state.comb(it).epoch()), [1, 2, 1]);
    state.beats = false;
    state.settle(&|what| is_beat(what) && what.from == 1);
    state
}

/// Three vote; the second may have asked them to hold version 1, and hears nothing any more. The first and
/// third have decided that a fourth votes in its place, which has taken over; a fifth, who never votes,
/// knows the old set.
fn replaced(mutant: Option<Mutant>, asks: bool) -> State {
    let mut state = calm(3, 3, mutant);
    let (next, watcher) = (state.newcomer(), state.newcomer());
    state.beats = true;
    state.settle(&|_| true);
    for node in 0..3 {
        state.tick(node, 300);
    }
    state.settle(&|_| true);
    assert_eq!(state.comb(watcher).epoch(), 1);
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
        if state.comb(next).is_active() && state.comb(next).epoch() == 2 {
            break;
        }
    }
    state.lose(&|what| !is_store(what));
    assert_eq!(
        [0, 1, 2, 3, 4].map(|it| state.comb(it).epoch()),
        [2, 1, 2, 2, 1]
    );
    assert!(state.comb(next).is_active());
    state
}

fn story(mutant: Mutant) -> State {
    let mutant = Some(mutant);
    match mutant {
        Some(Mutant::BeforeTheSync | Mutant::WipedIsCounted) | None => {
            let mut state = calm(3, 3, mutant);
            state.ops = vec![Op::Propose(0, 1, "a"), Op::Read(2)];
            state.left.wipes = 1;
            state
        }
        Some(Mutant::BeforeCaughtUp) => overtaken(mutant),
        Some(Mutant::NoFence) => fenced(mutant),
        Some(Mutant::AnyEpoch) => late(mutant),
    }
}

fn overtaken(mutant: Option<Mutant>) -> State {
    let mut state = wiped(mutant);
    state.ops = vec![Op::Read(2), Op::Propose(2, 2, "b")];
    state
}

fn fenced(mutant: Option<Mutant>) -> State {
    let mut state = replaced(mutant, true);
    state.beats = false;
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
    state.settle(&|what| matches!(what.message, Message::Seek { .. }) && what.to < 2);
    state.beats = false;
    state
}

#[yare::parameterized(
    before_the_sync = { Mutant::BeforeTheSync },
    wiped_is_counted = { Mutant::WipedIsCounted },
    before_caught_up = { Mutant::BeforeCaughtUp },
    no_fence = { Mutant::NoFence },
    any_epoch = { Mutant::AnyEpoch },
)]
fn given_a_fault_put_in_when_explored_then_it_is_found(mutant: Mutant) {
    let found = explore(story(mutant), most(60_000), u64::MAX);
    println!("{mutant:?}: {:?}", found.expect_err("it is found"));
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
