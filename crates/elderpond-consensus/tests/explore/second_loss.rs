//! What is struck again before the set of voters is whole, or just after.

use elderpond_consensus::Message;

use crate::search::{Flight, Op};
use crate::{calm, is_beat};

fn sets(what: &Flight) -> bool {
    use Message::{AcceptSet, AcceptedSet, PrepareSet, PromiseSet};
    matches!(
        what.message,
        PrepareSet { .. } | PromiseSet { .. } | AcceptSet { .. } | AcceptedSet { .. }
    )
}

fn state_of(what: &Flight) -> bool {
    use Message::{State, StateRequest};
    matches!(what.message, StateRequest { .. } | State { .. })
}

/// Version 1 is held by the first two of three. The first comes back with an empty disk, learns the version,
/// is told of the new set, says what it has, and loses power once more before any of it is on its disk. What
/// it is answered then was meant for the life before.
#[test]
fn given_an_answer_to_a_life_before_when_taken_over_then_what_that_life_lost_is_not_missing() {
    let mut state = calm(3, None);
    state.ask(&Op::Propose(0, 1, "a"));
    state.settle(&|what| what.to != 2);
    assert_eq!(state.acknowledged(), 1);
    state.lose(&|_| true);
    state.world.beats = true;
    state.wipe(0);
    state.written(0);
    let between = |what: &Flight, one: usize, other: usize| {
        (what.from, what.to) == (one, other) || (what.from, what.to) == (other, one)
    };
    state.arrive(&|what| is_beat(what) && between(what, 0, 1));
    // It learns version 1; the write does not end.
    state.arrive(&|what| between(what, 0, 1) && !is_beat(what));
    assert_eq!(state.replica(0).in_force().map(|held| held.0), Some(1));
    state.lose(&|_| true);
    for _ in 0..10 {
        state.tick(1, 60);
        state.lose(&is_beat);
        state.arrive(&sets);
        for node in [1, 2] {
            if state.nodes[node].disk.pending.is_some() {
                state.written(node);
            }
        }
        state.arrive(&sets);
        if state.replica(1).epoch() == 2 {
            break;
        }
    }
    assert_eq!([0, 1, 2].map(|it| state.replica(it).epoch()), [1, 2, 1]);
    // It is told of the set, and asks; the second answers, and that is late.
    state.arrive(&|what| is_beat(what) && between(what, 0, 1));
    state.arrive(&|what| state_of(what) && what.to == 1);
    state.written(1);
    let late = |what: &Flight| state_of(what) && (what.from, what.to) == (1, 0);
    assert!(state.wire.iter().any(|(_, what)| late(what)));
    state.lose(&|what| !late(what));
    state.restart(0);
    assert_eq!(state.replica(0).in_force(), None);
    state.arrive(&|what| is_beat(what) && between(what, 0, 1));
    assert_eq!(state.replica(0).epoch(), 2);
    state.arrive(&late);
    // With what the third holds that would be a majority of the old voters.
    state.settle(&|what| state_of(what) && between(what, 0, 2));
    // The second is lost now: as many as may be at one time.
    let left = |what: &Flight| what.from != 1 && what.to != 1;
    state.lose(&|what| !left(what));
    state.tick(2, 60);
    state.settle(&left);
    let read = state.ask(&Op::Read(2));
    state.settle(&left);
    assert_eq!(state.fault, None);
    assert!(state.answered(read));
}
