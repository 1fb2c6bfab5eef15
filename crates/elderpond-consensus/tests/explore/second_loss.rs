//! What is struck again before the set of voters is whole, or just after.

use std::collections::BTreeSet;

use elderpond_consensus::{Event, HandOver, Message, Mutant, Rules};

use crate::search::{Flight, Op, State, ip};
use crate::{calm, is_beat, rules, wish};

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

/// What strikes a machine, right before the next thing happens.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Strike {
    /// Power; whether what was being written is there.
    Power { written: bool },
    /// The disk too, where the rules of losses allow it.
    Wipe,
    /// It is told to end; when it has handed over it is back with its disk, or without.
    End { removed: bool },
}

/// Voters, of which so many losses are borne; the first has just lost its disk.
fn struck(voters: usize, losses: usize, mutant: Option<Mutant>) -> State {
    let rules = Rules {
        minimum_voters: 2 * losses + 1,
        ..rules(voters, mutant)
    };
    let mut state = State::calm(voters, rules, true);
    state.ask(&Op::Propose(0, 1, "a"));
    // Of those who stay, just enough hold it.
    let enough = voters / 2;
    state.settle(&|what| what.to <= enough && what.from <= enough);
    assert_eq!(state.acknowledged(), 1);
    state.lose(&|what| !is_beat(what));
    state.world.beats = true;
    state.crash(0, false, true);
    state
}

struct Run {
    state: State,
    losses: usize,
    /// Whose disk was lost since all voted last.
    lost: BTreeSet<usize>,
    ending: Option<(usize, bool)>,
    ended: bool,
    /// Splitmix64; in order if none.
    random: Option<u64>,
}

impl Run {
    fn draw(&mut self, below: usize) -> usize {
        let Some(random) = &mut self.random else {
            return 0;
        };
        *random = random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = *random;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) as usize % below
    }

    fn strike(&mut self, node: usize, strike: Strike) {
        match strike {
            Strike::Power { written } => self.state.crash(node, written, false),
            Strike::Wipe => {
                let more = usize::from(!self.lost.contains(&node));
                if self.lost.len() + more > self.losses {
                    return;
                }
                self.lost.insert(node);
                self.state.crash(node, false, true);
            }
            // One of more than are wanted, and only once; its successor is there already.
            Strike::End { removed } => {
                let spare = self.state.nodes.len() > self.state.world.rules.minimum_voters;
                if !self.ended && (spare || !removed) {
                    self.ended = true;
                    self.ending = Some((node, removed));
                    self.state.give(node, Event::Ending);
                }
                return;
            }
        }
        self.ending.take_if(|(ending, _)| *ending == node);
    }

    /// The next thing happens: a message arrives, a write ends, or time passes.
    fn step(&mut self) {
        if let Some((node, removed)) = self.ending
            && matches!(self.state.replica(node).hand_over(), HandOver::Done { .. })
        {
            self.state.crash(node, false, removed);
            self.ending = None;
        }
        if self.state.whole() {
            self.lost.clear();
        }
        let writing = |it: &usize| self.state.nodes[*it].disk.pending.is_some();
        let writes: Vec<usize> = (0..self.state.nodes.len()).filter(writing).collect();
        let flying = self.state.wire.len();
        let pick = self.draw((flying + writes.len()).max(1) + usize::from(self.random.is_some()));
        if pick < flying {
            let (_, what) = self.state.wire.remove(pick);
            let (from, message) = (ip(what.from), what.message.clone());
            self.state.give(what.to, Event::Message { from, message });
        } else if let Some(&node) = writes.get(pick - flying) {
            self.state.written(node);
        } else {
            for node in 0..self.state.nodes.len() {
                self.state.tick(node, 20);
            }
        }
        let least = self.state.world.rules.minimum_voters;
        let voters = |it: usize| self.state.replica(it).voters();
        let few = (0..self.state.nodes.len()).find(|&it| (1..least).contains(&voters(it).len()));
        if let Some(few) = few {
            let fault = format!("too few vote: {:?}", voters(few));
            self.state.fault.get_or_insert(fault);
        }
    }

    /// Whether it all ends well: in calm, and after a loss of all power with a disk more.
    fn end(mut self) -> Option<String> {
        if let Some((node, removed)) = self.ending {
            let over = matches!(self.state.replica(node).hand_over(), HandOver::Done { .. });
            self.state.crash(node, false, removed && over);
        }
        if let Some(fault) = self.state.fault {
            return Some(fault);
        }
        let ends = self.state.stands_the_end();
        ends.or_else(|| self.state.goes_well())
    }
}

/// A loss of a disk, and these strikes, each before the step of that number; in calm then.
fn play(
    voters: usize,
    losses: usize,
    strikes: &[(usize, usize, Strike)],
    random: Option<u64>,
    mutant: Option<Mutant>,
) -> Option<String> {
    let mut run = Run {
        state: struck(voters, losses, mutant),
        losses,
        lost: [0].into(),
        ending: None,
        ended: false,
        random,
    };
    for nth in 0..STEPS {
        for &(_, node, strike) in strikes.iter().filter(|it| it.0 == nth) {
            run.strike(node, strike);
        }
        if nth == STEPS / 3 {
            run.state.ask(&Op::Read(voters - 1));
            run.state.ask(&Op::Propose(voters - 2, 2, "b"));
        }
        run.step();
    }
    run.end()
}

/// Until all is quiet again after a lost disk, and more.
const STEPS: usize = 150;

const STRIKES: [Strike; 5] = [
    Strike::Power { written: false },
    Strike::Power { written: true },
    Strike::Wipe,
    Strike::End { removed: false },
    Strike::End { removed: true },
];

/// Each message and write after the loss, in order: any machine is struck before it.
#[yare::parameterized(
    three = { 3, 1, 8 },
    four_of_three = { 4, 1, 6 },
    five = { 5, 2, 20 },
    six_of_five = { 6, 2, 40 },
)]
fn given_a_lost_disk_when_any_step_is_struck_then_nothing_is_lost_and_all_vote_again(
    voters: usize,
    losses: usize,
    every: usize,
) {
    let every = wish("STRIKE_EVERY", every);
    let mut runs = 0;
    for nth in 0..STEPS {
        for node in 0..voters {
            for (kind, strike) in STRIKES.into_iter().enumerate() {
                if (nth + node + kind).is_multiple_of(every) {
                    runs += 1;
                    let fault = play(voters, losses, &[(nth, node, strike)], None, None);
                    assert_eq!(fault, None, "step {nth}: {strike:?} of {}", node + 1);
                }
            }
        }
    }
    println!("{runs} runs");
}

/// Two to four strikes at drawn steps, all that happens in a drawn order.
#[yare::parameterized(
    three = { 3, 1 },
    four_of_three = { 4, 1 },
    five = { 5, 2 },
    six_of_five = { 6, 2 },
)]
fn given_a_lost_disk_when_drawn_strikes_follow_then_nothing_is_lost_and_all_vote_again(
    voters: usize,
    losses: usize,
) {
    for seed in 0..wish("STRIKE_SEEDS", 40) as u64 {
        let seed = seed + wish("STRIKE_FROM", 0) as u64;
        let strikes = drawn_strikes(seed, voters, losses);
        let fault = play(voters, losses, &strikes, Some(seed), None);
        assert_eq!(fault, None, "seed {seed}: {strikes:?}");
    }
}

fn drawn_strikes(seed: u64, voters: usize, losses: usize) -> Vec<(usize, usize, Strike)> {
    let mut draws = Run {
        state: struck(voters, losses, None),
        losses,
        lost: BTreeSet::new(),
        ending: None,
        ended: false,
        random: Some(seed ^ 0xdead),
    };
    let many = 2 + draws.draw(3);
    let strike = |_| {
        let (step, node) = (draws.draw(STEPS), draws.draw(voters));
        (step, node, STRIKES[draws.draw(STRIKES.len())])
    };
    (0..many).map(strike).collect()
}

#[yare::parameterized(
    counted_twice = { Mutant::CountedTwice, 3, 1 },
    ends_unproven = { Mutant::EndsUnproven, 4, 1 },
)]
fn given_a_fault_put_in_when_struck_then_it_is_found(mutant: Mutant, voters: usize, losses: usize) {
    let found = (0..3_000).find_map(|seed| {
        let strikes = drawn_strikes(seed, voters, losses);
        let fault = play(voters, losses, &strikes, Some(seed), Some(mutant));
        fault.map(|fault| format!("seed {seed}: {strikes:?}: {fault}"))
    });
    println!("{mutant:?}: {}", found.expect("it is found"));
}
