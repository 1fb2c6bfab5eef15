//! The lease by which a hive vouches, in every order of answers, standstills and lost or late messages within
//! small bounds: nothing passes for fresh later than the bound. The very lease and the very forager's choice.

use std::collections::{HashSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::net::Ipv4Addr;

use elderpond_forage::{Chance, ControlNodeChoice, Step};
use elderpond_hive::{Contact, LEASE, Millis, Ticket};

/// A step of all clocks: a pulse, in ms.
const STEP: Millis = 400;
const STEPS: Millis = 6;
/// LEASE_STEPS=7 for more.
const _: () = assert!(STEPS * STEP > LEASE + VOUCH);
/// From joining a hive a forager waits so long for its vouch, in ms.
const VOUCH: Millis = 1100;

/// A fault put in, which has to be found.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mutant {
    None,
    /// The hive vouches without a lease.
    NoLease,
    /// The lease counts from when the answer is read.
    LateAnswer,
    /// The forager reads what waited while it, or its hive, stood still.
    ReadsOn,
    /// The forager begins with what it is told.
    NotHeldBack,
}

#[derive(Clone, Debug)]
enum Flight {
    /// Begun at this time.
    Ask(Millis, Ticket),
    /// What a majority held when it answered.
    Answer(Millis, Ticket, u64),
}

#[derive(Clone, Debug)]
enum Word {
    Version(u64),
    Pulse(bool),
}

#[derive(Clone, Debug)]
struct State {
    steps: Millis,
    now: Millis,
    /// When version 2 was acknowledged, by a majority without the hive; version 1 is old.
    acknowledged: Option<Millis>,
    flights: Vec<Flight>,
    hive: Contact,
    in_force: u64,
    /// Whether the hive, and the forager, stand still; and how often they may yet.
    frozen: [bool; 2],
    freezes: [u8; 2],
    follow: ControlNodeChoice,
    link: Option<VecDeque<Word>>,
    offered: u64,
    version: u64,
}

fn node() -> Ipv4Addr {
    Ipv4Addr::LOCALHOST
}

impl State {
    fn new(steps: Millis) -> Self {
        Self {
            steps,
            now: 0,
            acknowledged: None,
            flights: Vec::new(),
            hive: Contact::new(0),
            in_force: 1,
            frozen: [false; 2],
            freezes: [1; 2],
            follow: ControlNodeChoice::new("", &[node()]),
            link: None,
            offered: 0,
            version: 0,
        }
    }

    /// The newest version acknowledged more than `span` ago.
    fn due(&self, span: Millis) -> u64 {
        let old = self.acknowledged.is_some_and(|at| at + span < self.now);
        1 + u64::from(old)
    }

    /// The hive says what it holds, and whether that passes for fresh.
    fn say(&mut self, whole: bool, mutant: Mutant) -> Option<String> {
        let vouches = self.hive.vouches(self.now) || mutant == Mutant::NoLease;
        let due = self.due(LEASE);
        let old = vouches && self.in_force < due;
        let fault = old.then(|| {
            format!(
                "{}: {} told as fresh, {due} is due",
                self.now, self.in_force
            )
        });
        let Some(link) = self.link.as_mut() else {
            return fault;
        };
        if whole {
            link.push_back(Word::Version(self.in_force));
        }
        // of two alike the older is heard: that is the worse
        if !matches!(link.back(), Some(Word::Pulse(last)) if *last == vouches) {
            link.push_back(Word::Pulse(vouches));
        }
        fault
    }

    fn ask(&mut self) {
        if self.flights.is_empty()
            && let Some(ticket) = self.hive.ask(self.now)
        {
            self.flights.push(Flight::Ask(self.now, ticket));
        }
    }

    fn tick(&mut self, mutant: Mutant) -> Option<String> {
        self.now += STEP;
        if self.frozen[0] {
            return None;
        }
        self.hive.wake(self.now);
        self.ask();
        self.say(false, mutant)
    }

    fn arrives(&mut self, at: usize, mutant: Mutant) -> Option<String> {
        match self.flights.remove(at) {
            Flight::Ask(began, ticket) => {
                let held = 1 + u64::from(self.acknowledged.is_some());
                self.flights.insert(at, Flight::Answer(began, ticket, held));
                None
            }
            Flight::Answer(_, ticket, held) => {
                self.hive.wake(self.now);
                let told = held > self.in_force;
                self.in_force = self.in_force.max(held);
                if mutant == Mutant::LateAnswer {
                    let late = self.hive.ask(self.now);
                    late.into_iter().for_each(|it| self.hive.confirmed(it));
                }
                self.hive.confirmed(ticket);
                self.say(told, mutant)
            }
        }
    }

    fn joins(&mut self, mutant: Mutant) -> Option<String> {
        let mut follow = self.follow.clone();
        let dials = (self.now..=self.now + STEP / 2)
            .any(|now| matches!(follow.step(now, &mut Chance::new(1)), Step::Dial(_)));
        if !dials {
            return None;
        }
        follow.connected(self.now, node());
        (self.follow, self.link) = (follow, Some(VecDeque::new()));
        self.hive.wake(self.now);
        let fault = self.say(true, mutant);
        self.ask();
        fault
    }

    fn hears(&mut self, mutant: Mutant) -> Option<String> {
        let word = self.link.as_mut()?.pop_front()?;
        if self.follow.is_stale(self.now) && mutant != Mutant::ReadsOn {
            self.follow.disconnected(self.now, &mut Chance::new(1));
            self.link = None;
            return None;
        }
        self.follow.heard(self.now);
        match word {
            Word::Version(version) => self.offered = self.offered.max(version),
            Word::Pulse(vouches) => self.follow.heartbeat(self.now, vouches, &[]),
        }
        let begins = self.version == 0 && self.offered > 0;
        if begins && (self.follow.may_start(self.now) || mutant == Mutant::NotHeldBack) {
            self.version = self.offered;
            // nothing that it does from now on matters here
            (self.link, self.follow) = (None, ControlNodeChoice::new("", &[node()]));
            let due = self.due(LEASE + VOUCH);
            let old = self.version < due && !self.follow_alone();
            return old
                .then(|| format!("{}: begins with {}, {due} is due", self.now, self.version));
        }
        None
    }

    /// The bound after which a forager begins with what no hive vouches for is longer than any story here.
    fn follow_alone(&self) -> bool {
        self.now >= elderpond_forage::START_UNVOUCHED_AFTER
    }

    /// All that may happen next; what was said wrongly by it.
    fn moves(&self, mutant: Mutant) -> Vec<(String, Self, Option<String>)> {
        let mut all = Vec::new();
        let mut add = |what: String, change: &dyn Fn(&mut Self) -> Option<String>| {
            let mut next = self.clone();
            let fault = change(&mut next);
            all.push((what, next, fault));
        };
        if self.now < self.steps * STEP {
            add("time".into(), &|it| it.tick(mutant));
        }
        if self.acknowledged.is_none() {
            add("a version is acknowledged".into(), &|it| {
                it.acknowledged = Some(it.now);
                None
            });
        }
        for (at, flight) in self.flights.iter().enumerate() {
            if matches!(flight, Flight::Ask(..)) || !self.frozen[0] {
                add(format!("{flight:?} arrives"), &|it| it.arrives(at, mutant));
            }
        }
        for who in 0..2 {
            if self.frozen[who] || self.freezes[who] > 0 {
                add(format!("{who} stands still, or goes on"), &|it| {
                    it.freezes[who] -= u8::from(!it.frozen[who]);
                    it.frozen[who] = !it.frozen[who];
                    None
                });
            }
        }
        if !self.frozen[0] && !self.frozen[1] && self.link.is_none() && self.version == 0 {
            add("the forager joins".into(), &|it| it.joins(mutant));
        }
        if !self.frozen[1] && self.link.as_ref().is_some_and(|it| !it.is_empty()) {
            add("the forager hears".into(), &|it| it.hears(mutant));
        }
        all
    }
}

/// What the future depends on: of the lease its age, whether it was just asked for, and what is under way.
fn digest(lane: u64, state: &State) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    let flights: Vec<_> = (state.flights.iter())
        .map(|flight| match flight {
            Flight::Ask(began, _) => (*began, 0),
            Flight::Answer(began, _, held) => (*began, *held),
        })
        .collect();
    let age = state.hive.age(state.now).map(|age| age.min(LEASE + 1));
    let hive = (age, state.hive.clone().ask(state.now).is_some(), flights);
    let forager = (&state.follow, &state.link, state.offered, state.version);
    let rest = (
        state.in_force,
        state.frozen,
        state.freezes,
        state.acknowledged,
    );
    format!("{lane} {} {hive:?} {forager:?} {rest:?}", state.now).hash(&mut hasher);
    hasher.finish()
}

/// Every state once, breadth first: how many there are, or the shortest story to a fault.
fn explore(steps: Millis, mutant: Mutant) -> Result<usize, Vec<String>> {
    let mut known = HashSet::new();
    let mut rows: Vec<(usize, String)> = vec![(0, String::new())];
    let mut next = VecDeque::from([(0, State::new(steps))]);
    while let Some((row, state)) = next.pop_front() {
        for (what, after, fault) in state.moves(mutant) {
            if let Some(fault) = fault {
                let mut story = vec![fault, what];
                let mut at = row;
                while at > 0 {
                    story.push(rows[at].1.clone());
                    at = rows[at].0;
                }
                story.reverse();
                return Err(story);
            }
            let seen = [1, 2].map(|lane| digest(lane, &after));
            if known.insert(seen) {
                rows.push((row, what));
                next.push_back((rows.len() - 1, after));
            }
        }
    }
    Ok(known.len())
}

#[test]
fn given_any_order_of_answers_and_standstills_then_nothing_passes_for_fresh_later_than_the_bound() {
    let steps = std::env::var("LEASE_STEPS").ok();
    let steps = steps.and_then(|it| it.parse().ok()).unwrap_or(STEPS);
    let states = explore(steps, Mutant::None).unwrap();
    println!("{steps} steps: {states} states, all");
}

#[yare::parameterized(
    no_lease = { Mutant::NoLease }, late_answer = { Mutant::LateAnswer },
    reads_on = { Mutant::ReadsOn }, not_held_back = { Mutant::NotHeldBack }
)]
fn given_a_fault_put_in_when_explored_then_it_is_found(mutant: Mutant) {
    println!(
        "{mutant:?}: {:#?}",
        explore(STEPS + 1, mutant).expect_err("it is found")
    );
}
