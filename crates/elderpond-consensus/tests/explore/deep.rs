//! Every order of what may happen, breadth first, each state visited once.
//!
//! **What a state is.** A machine's state, a message and a history of promises are each kept once and named
//! by 64 bits of their content; a state of the whole is these names and the troubles left. What a step makes
//! of a machine depends on that machine and the input alone, so it is worked out once for each pair of names
//! and looked up from then on. Of states that were visited, 128 bits are kept. With n states, two of them
//! have the same by chance with probability below n² / 2^129: 10^-23 for 10^8. With k parts (machines,
//! messages, histories) two have the same name with k² / 2^65: 3 · 10^-8 for 10^6, the larger of the two.
//! That holds as far as the digests are as good as random.
//!
//! **Reductions** (`Reductions`); each can be left out, and `main.rs` compares what is found without them.
//!
//! *Level.* Random draws choose waits (and a wiped disk's name, drawn at the start) but no answer; the count
//! of writes only pairs a write with its end, and one is under way at most. States which differ in these
//! alone are taken for one (`Replica::level`). So what is searched is every order under one choice of waits.
//!
//! *Dead letters.* A message is taken off the wire once its arrival can change nothing, now or later; see
//! `is_dead`. To deliver it would be a step from a state to itself, so only copies of states go.
//!
//! *Alike.* Machines to whom no operator speaks never have a ballot of their own while no time passes, and
//! names are compared in ballots only. So exchanging them gives a state that goes on in the same way; of such
//! states one is visited. See `alike.rs`. A look into calm begins from the one visited.
//!
//! **An order** (`Bounds::order`), where every order is too much: what could happen next has an order,
//! drawn once by a number, and its first happens, while calls and troubles (as many as are left) may come
//! at any time. At `Troubles::delays` places on one way another thing happens before its turn, or a message
//! is lost. This bounds how far an order may be from the drawn one, and not how deep it goes ("delay
//! bounding"): so a story of two losses, some thirty moves long, is seen to its end. It is no reduction:
//! other orders are left out. The order is by names, so machines are not taken for alike.
//!
//! *Threads* take part in batches of fixed size, whose results are put together in order: the verdict and all
//! figures are the same with any number of them.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::hash::{BuildHasherDefault, Hasher};
use std::sync::{Arc, Mutex};

use elderpond_consensus::{Ballot, Digest, Event, Message, Tag};

use crate::alike::{self, AS_THEY_ARE, Names as Called, marked, renamed};
use crate::search::{
    Effect, Flight, History, Node, Op, Outcome, STEP, State, Troubles, World, at, digest, ip, whole,
};

/// States whose successors are worked out at once.
const BATCH: usize = 2_048;

/// Above those that are given while a story is set up.
const FIRST_TICKET: u64 = 1_000;

/// Names are digests already.
#[derive(Default)]
pub struct Plain(u64);

impl Hasher for Plain {
    fn write(&mut self, _: &[u8]) {
        unreachable!("names only");
    }

    fn write_u64(&mut self, word: u64) {
        self.0 = self.0.rotate_left(29).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ word;
    }

    fn write_u128(&mut self, word: u128) {
        self.0 = word as u64;
    }

    fn write_u8(&mut self, byte: u8) {
        self.write_u64(byte.into());
    }

    fn finish(&self) -> u64 {
        self.0
    }
}

type Map<K, V> = HashMap<K, V, BuildHasherDefault<Plain>>;
type Set<K> = HashSet<K, BuildHasherDefault<Plain>>;

/// Which states are taken for one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reductions {
    pub level: bool,
    pub dead_letters: bool,
    pub alike: bool,
}

pub const ALL: Reductions = Reductions {
    level: true,
    dead_letters: true,
    alike: true,
};

/// A state of the whole, by names.
#[derive(Clone)]
struct Whole {
    nodes: Vec<u64>,
    /// In order.
    wire: Vec<u64>,
    history: u64,
    left: Troubles,
    /// Which of the operators' doings are still to come, by bits.
    ops: u32,
}

/// What one input does to one machine, by names.
struct Step {
    node: u64,
    sends: Vec<u64>,
    effects: Vec<Effect>,
}

/// What is often asked of a machine.
#[derive(Clone, Copy)]
struct Brief {
    /// Of what its disk holds.
    stored: u64,
    writing: bool,
    /// Its epoch and how many vote in it, if it votes.
    votes: Option<(u64, usize)>,
}

/// What is often asked of a message.
#[derive(Clone, Copy)]
struct Label {
    from: usize,
    to: usize,
    kind: Kind,
}

#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Look,
    Proposal,
    Other,
}

#[derive(Clone, Default)]
struct Names {
    nodes: Map<u64, Arc<Node>>,
    flights: Map<u64, Arc<Flight>>,
    histories: Map<u64, Arc<History>>,
}

/// One thread's names, and what it worked out so far; what it lacks it takes from those of all.
struct Desk<'a> {
    world: &'a World,
    ops: &'a [Op],
    reductions: Reductions,
    all: &'a Mutex<Names>,
    names: Names,
    steps: Map<(u64, u64), Arc<Step>>,
    dead: Map<(u64, u64, u8), bool>,
    briefs: Map<u64, Brief>,
    labels: Map<u64, Label>,
    /// Above which there is no version.
    highest: u64,
    /// What the order of what happens next is drawn by, if there is one.
    order: Option<u64>,
    /// Machines that play the same part.
    alike: &'a [usize],
    /// Digests under other names.
    renamed: Map<(u64, u64), u64>,
}

/// What may happen.
enum Move {
    Deliver {
        doubled: bool,
        what: u64,
    },
    Written(usize, bool),
    Crash {
        node: usize,
        written: bool,
    },
    Wipe(usize),
    Tick(usize),
    /// One of the operators' doings, by number.
    Ask(usize),
    /// This before its turn.
    Ahead(Box<Move>),
    /// A message is never delivered.
    Lost(u64),
}

/// What happens to one machine.
enum Input {
    Deliver(u64),
    Written(bool),
    Crash {
        written: bool,
        wiped: bool,
    },
    Tick,
    /// One of the operators' doings, by number.
    Ask(usize),
}

fn find<T>(
    mine: &mut Map<u64, Arc<T>>,
    all: &Mutex<Names>,
    of: fn(&mut Names) -> &mut Map<u64, Arc<T>>,
    name: u64,
) -> Arc<T> {
    match mine.entry(name) {
        Entry::Occupied(it) => it.get().clone(),
        Entry::Vacant(place) => {
            let mut all = all.lock().expect("no panic elsewhere");
            place.insert(of(&mut all)[&name].clone()).clone()
        }
    }
}

/// Notes what goes by this name, if nobody did.
fn keep<T>(
    mine: &mut Map<u64, Arc<T>>,
    all: &Mutex<Names>,
    of: fn(&mut Names) -> &mut Map<u64, Arc<T>>,
    name: u64,
    it: T,
) -> u64 {
    if let Entry::Vacant(place) = mine.entry(name) {
        let mut all = all.lock().expect("no panic elsewhere");
        let it = of(&mut all).entry(name).or_insert_with(|| Arc::new(it));
        place.insert(it.clone());
    }
    name
}

impl Desk<'_> {
    fn node(&mut self, name: u64) -> Arc<Node> {
        find(&mut self.names.nodes, self.all, |all| &mut all.nodes, name)
    }

    fn flight(&mut self, name: u64) -> Arc<Flight> {
        find(
            &mut self.names.flights,
            self.all,
            |all| &mut all.flights,
            name,
        )
    }

    fn history(&mut self, name: u64) -> Arc<History> {
        find(
            &mut self.names.histories,
            self.all,
            |all| &mut all.histories,
            name,
        )
    }

    fn name_node(&mut self, mut node: Node) -> u64 {
        if self.reductions.level {
            node.level();
        }
        let name = digest(&node);
        let mine = &mut self.names.nodes;
        keep(mine, self.all, |all| &mut all.nodes, name, node)
    }

    fn brief(&mut self, name: u64) -> Brief {
        if let Some(brief) = self.briefs.get(&name) {
            return *brief;
        }
        let node = self.node(name);
        let replica = &node.replica;
        let place = at(replica.status().me.node);
        let stored = match self.alike.contains(&place) {
            true => renamed(&marked(self.alike, place), &node.disk.stored),
            false => digest(&node.disk.stored),
        };
        let brief = Brief {
            stored,
            writing: node.disk.pending.is_some(),
            votes: replica
                .is_active()
                .then(|| (replica.epoch(), replica.voters().len())),
        };
        self.briefs.insert(name, brief);
        brief
    }

    fn label(&mut self, name: u64) -> Label {
        if let Some(label) = self.labels.get(&name) {
            return *label;
        }
        let flight = self.flight(name);
        let kind = match flight.message {
            Message::Read { .. } => Kind::Look,
            Message::Prepare { .. }
            | Message::Accept { .. }
            | Message::PrepareNumber { .. }
            | Message::AcceptNumber { .. } => Kind::Proposal,
            _ => Kind::Other,
        };
        let (from, to) = (flight.from, flight.to);
        let label = Label { from, to, kind };
        self.labels.insert(name, label);
        label
    }

    fn name_flight(&mut self, flight: Flight) -> u64 {
        let (name, mine) = (digest(&flight), &mut self.names.flights);
        keep(mine, self.all, |all| &mut all.flights, name, flight)
    }

    fn name_history(&mut self, history: History) -> u64 {
        let (name, mine) = (history.digest(), &mut self.names.histories);
        keep(mine, self.all, |all| &mut all.histories, name, history)
    }

    fn pack(&mut self, state: &State) -> Whole {
        let nodes = state.nodes.iter().map(|it| self.name_node((**it).clone()));
        let nodes = nodes.collect();
        let flights = state.wire.iter().map(|(_, it)| Flight::clone(it));
        let mut wire: Vec<u64> = flights.map(|it| self.name_flight(it)).collect();
        wire.sort_unstable();
        Whole {
            nodes,
            wire,
            history: self.name_history((*state.history).clone()),
            left: state.left,
            ops: (1 << state.ops.len()) - 1,
        }
    }

    /// The state as one that can be gone on with in calm.
    fn unpack(&mut self, start: &State, whole: &Whole) -> State {
        let mut state = start.clone();
        let nodes = whole.nodes.iter().map(|&it| self.node(it));
        state.nodes = nodes.collect();
        let wire = whole.wire.iter().map(|&it| (it, self.flight(it)));
        state.wire = wire.collect();
        state.history = self.history(whole.history);
        state
    }

    /// What this input does to that machine; the name of the input without its call's content says enough.
    fn step(&mut self, at: usize, node: u64, input: Input) -> Arc<Step> {
        let key = match &input {
            Input::Deliver(flight) => *flight,
            Input::Written(ok) => digest(&(1, ok)),
            Input::Crash { written, wiped } => digest(&(2, written, wiped)),
            Input::Tick => digest(&3),
            Input::Ask(op) => digest(&(4, op)),
        };
        if let Some(step) = self.steps.get(&(node, key)) {
            return step.clone();
        }
        let mut it = (*self.node(node)).clone();
        let mut outcome = Outcome::default();
        match input {
            Input::Deliver(flight) => {
                let flight = self.flight(flight);
                let (from, message) = (ip(flight.from), flight.message.clone());
                let event = Event::Message { from, message };
                it.take(self.world, at, event, &mut outcome);
            }
            Input::Written(ok) => it.written(self.world, at, ok, &mut outcome),
            Input::Crash { written, wiped } => {
                (it, outcome) = it.crash(self.world, at, written, wiped);
            }
            Input::Tick => {
                it.now += STEP;
                it.take(self.world, at, Event::Tick, &mut outcome);
            }
            Input::Ask(number) => {
                let event = self.ops[number].event(FIRST_TICKET + number as u64);
                it.take(self.world, at, event, &mut outcome);
            }
        }
        let sends = outcome.sends.into_iter().map(|it| self.name_flight(it));
        let step = Arc::new(Step {
            sends: sends.collect(),
            node: self.name_node(it),
            effects: outcome.effects,
        });
        self.steps.insert((node, key), step.clone());
        step
    }

    fn moves(&mut self, whole: &Whole) -> Vec<Move> {
        let all = self.all_moves(whole);
        let Some(order) = self.order else { return all };
        // Deliveries and ends of writes have their turns.
        let turn = |it: &Move| match it {
            Move::Deliver { what, .. } => Some(digest(&(order, what))),
            Move::Written(node, true) => Some(digest(&(order, node))),
            _ => None,
        };
        let first = all.iter().filter_map(turn).min();
        let (due, free): (Vec<Move>, Vec<Move>) = all
            .into_iter()
            .partition(|it| turn(it).is_some() && turn(it) != first);
        let mut moves = free;
        if whole.left.delays > 0 {
            moves.extend(due.into_iter().map(|it| Move::Ahead(Box::new(it))));
            moves.extend(whole.wire.iter().map(|&what| Move::Lost(what)));
        }
        moves
    }

    fn all_moves(&mut self, whole: &Whole) -> Vec<Move> {
        let mut moves = Vec::new();
        let Troubles { doubles, .. } = whole.left;
        for &what in &whole.wire {
            if doubles > 0 {
                let doubled = true;
                moves.push(Move::Deliver { doubled, what });
            }
            let doubled = false;
            moves.push(Move::Deliver { doubled, what });
        }
        let wipes = whole.left.wipes > 0 && self.stands_a_wipe(whole);
        for (node, &name) in whole.nodes.iter().enumerate() {
            let writing = self.brief(name).writing;
            if writing {
                moves.push(Move::Written(node, true));
                if whole.left.failures > 0 {
                    moves.push(Move::Written(node, false));
                }
            }
            if whole.left.crashes > 0 {
                let written = false;
                moves.push(Move::Crash { node, written });
                if writing {
                    let written = true;
                    moves.push(Move::Crash { node, written });
                }
            }
            if wipes {
                moves.push(Move::Wipe(node));
            }
            if whole.left.ticks > 0 {
                moves.push(Move::Tick(node));
            }
        }
        let to_come = (0..self.ops.len()).filter(|number| whole.ops & (1 << number) != 0);
        moves.extend(to_come.map(Move::Ask));
        moves
    }

    fn stands_a_wipe(&mut self, whole_state: &Whole) -> bool {
        let nodes = whole_state.nodes.iter();
        let nodes: Vec<_> = nodes.map(|&it| self.node(it)).collect();
        whole(&nodes)
    }

    /// The state after this move, and what is wrong with it, if anything is.
    fn after(&mut self, before: &Whole, step: &Move, state: &mut Whole) -> Option<String> {
        if let Move::Ahead(step) = step {
            let fault = self.after(before, step, state);
            state.left.delays -= 1;
            return fault;
        }
        state.clone_from(before);
        let (at, input) = match step {
            Move::Ahead(_) => unreachable!("seen above"),
            Move::Lost(what) => {
                state.left.delays -= 1;
                state.wire.retain(|it| it != what);
                return None;
            }
            Move::Deliver { doubled, what } => {
                match (*doubled, state.wire.binary_search(what)) {
                    (false, Ok(place)) => drop(state.wire.remove(place)),
                    _ => state.left.doubles -= 1,
                }
                (self.label(*what).to, Input::Deliver(*what))
            }
            Move::Written(node, ok) => {
                state.left.failures -= u8::from(!ok);
                (*node, Input::Written(*ok))
            }
            Move::Crash { node, written } => {
                state.left.crashes -= 1;
                let (written, wiped) = (*written, false);
                (*node, Input::Crash { written, wiped })
            }
            Move::Wipe(node) => {
                state.left.wipes -= 1;
                let (written, wiped) = (false, true);
                (*node, Input::Crash { written, wiped })
            }
            Move::Tick(node) => {
                state.left.ticks -= 1;
                (*node, Input::Tick)
            }
            Move::Ask(number) => {
                let (number, op) = (*number, &self.ops[*number]);
                state.ops &= !(1 << number);
                let mut history = (*self.history(state.history)).clone();
                history.asked(FIRST_TICKET + number as u64, op);
                state.history = self.name_history(history);
                (op.at(), Input::Ask(number))
            }
        };
        let done = self.step(at, state.nodes[at], input);
        state.nodes[at] = done.node;
        for &flight in &done.sends {
            if let Err(place) = state.wire.binary_search(&flight) {
                state.wire.insert(place, flight);
            }
        }
        let mut fault = None;
        if !done.effects.is_empty() {
            let mut history = (*self.history(state.history)).clone();
            for effect in &done.effects {
                fault = fault.or(history.take(effect.clone()));
            }
            state.history = self.name_history(history);
        }
        if self.reductions.dead_letters {
            let mut wire = std::mem::take(&mut state.wire);
            wire.retain(|it| !self.is_dead(state, *it));
            state.wire = wire;
        }
        fault.or_else(|| self.two_majorities(state))
    }

    /// Whether a majority of two different sets vote, each in its own.
    fn two_majorities(&mut self, state: &Whole) -> Option<String> {
        let first = self.brief(state.nodes[0]).votes;
        let same = |it: &u64| self.brief(*it).votes == first;
        if state.nodes.iter().all(same) {
            return None;
        }
        let votes: Vec<_> = state.nodes.iter().map(|&it| self.brief(it).votes).collect();
        let full = |vote: &Option<(u64, usize)>| {
            let voting = votes.iter().filter(|it| *it == vote).count();
            vote.is_some_and(|(_, voters)| voting > voters / 2)
        };
        let mut full: Vec<_> = votes.iter().copied().filter(full).flatten().collect();
        full.dedup();
        let differ = full.iter().any(|it| *it != full[0]);
        differ.then(|| format!("majorities that do not meet vote in (epoch, voters) {full:?}"))
    }

    /// Whether the arrival of this message can change nothing, now or later.
    ///
    /// An answer to a ballot or read: it is without effect now, of an epoch that its receiver knows or is
    /// past, and stays so. A proposal never returns to a ballot or stage that it left, a read never asks
    /// again in the same epoch once a majority answered, and a restarted machine has new ballots and reads. A
    /// refusal raises its receiver's round besides, which may fall at a crash: so it is dead only when
    /// there is none to come. `Commit` and `Body` of what is in force tell a machine nothing until it
    /// forgets that it is; after a crash it may, unless its disk says so. `PromiseSet`, `AcceptedSet` and
    /// `NackSet` are as answers to proposals.
    ///
    /// A machine with the highest version of all in force, without a proposal under way and of which no older
    /// version will be asked, never proposes again while no time passes, so a refusal has no meaning for it.
    ///
    /// A question is dead if it changes nothing where it arrives, its answer is dead, and so will be any
    /// other that it may get later (beats do not fly): a `Read` whose answer no longer counts; a refused
    /// `Prepare` or `Accept` (of a body or a number) of one that never proposes again. The latter will be
    /// refused until a crash, as the bar only rises; but a later refusal may name a higher round, which one
    /// that proposes again would take up. Where a newer version is held than that of a body it is refused
    /// for that, and no round is named: so it is dead also for one that proposes again, by other ballots.
    fn is_dead(&mut self, state: &Whole, name: u64) -> bool {
        let label = self.label(name);
        let (crashes, wipes) = (state.left.crashes > 0, state.left.wipes > 0);
        let node = state.nodes[label.to];
        match label.kind {
            Kind::Look => self.answer_is_dead(state, name, label),
            Kind::Proposal => {
                let asker = state.nodes[label.from];
                let asked = self.is_asked_older(state, label.from);
                let asker = self.node(asker);
                let done = self.proposes_no_more(&asker, asked) || self.is_overtaken(name, node);
                done && !crashes && !wipes && self.answer_is_dead(state, name, label)
            }
            Kind::Other => {
                let asked = u8::from(self.is_asked_older(state, label.to));
                let troubles = u8::from(crashes) + 2 * u8::from(wipes);
                self.is_vain(node, name, troubles + 4 * asked)
            }
        }
    }

    /// Whether this asks for a body of a version below the one held where it arrives: it is refused for that
    /// for ever, and such a refusal names no round.
    fn is_overtaken(&mut self, name: u64, node: u64) -> bool {
        let version = match &self.flight(name).message {
            Message::Prepare { version, .. } => *version,
            Message::Accept { held, .. } => held.tag.version,
            _ => return false,
        };
        let node = self.node(node);
        let stored = node.disk.stored.as_ref();
        let held = stored.and_then(|it| it.held.iter().map(|held| held.tag.version).max());
        held.is_some_and(|held| held > version)
    }

    /// Whether that machine will be asked to decide an older number than the highest of all.
    fn is_asked_older(&self, state: &Whole, node: usize) -> bool {
        let mut to_come = (0..self.ops.len()).filter(|number| state.ops & (1 << number) != 0);
        to_come.any(|number| match self.ops[number] {
            Op::Propose(at, version, _) => at == node && version < self.highest,
            Op::Read(_) | Op::Confirm(_) => false,
        })
    }

    fn proposes_no_more(&self, node: &Node, asked: bool) -> bool {
        node.in_force >= self.highest && !asked && !node.replica.is_proposing()
    }

    fn answer_is_dead(&mut self, state: &Whole, name: u64, label: Label) -> bool {
        let node = state.nodes[label.to];
        let step = self.step(label.to, node, Input::Deliver(name));
        if step.node != node || !step.effects.is_empty() || step.sends.len() != 1 {
            return false;
        }
        let answer = step.sends[0];
        let same = match self.flight(answer).message {
            Message::ReadReply { .. } => label.kind == Kind::Look,
            Message::Nack { .. } => label.kind == Kind::Proposal,
            _ => false,
        };
        same && self.label(answer).to == label.from && self.is_dead(state, answer)
    }

    fn is_vain(&mut self, node: u64, name: u64, troubles: u8) -> bool {
        if let Some(&dead) = self.dead.get(&(node, name, troubles)) {
            return dead;
        }
        let dead = self.is_vain_afresh(node, name, troubles);
        self.dead.insert((node, name, troubles), dead);
        dead
    }

    fn is_vain_afresh(&mut self, node: u64, name: u64, troubles: u8) -> bool {
        let (flight, known) = (self.flight(name), self.node(node));
        let (wipes, forgets) = (troubles & 2 > 0, troubles & 3 > 0);
        let epoch = known.replica.epoch();
        let stored = known.disk.stored.as_ref();
        let on_disk = stored.and_then(|it| it.head.committed);
        let on_disk = on_disk.map_or(0, |tag| tag.version);
        let in_force = match (wipes, forgets) {
            (true, _) => 0,
            (_, true) => known.in_force.min(on_disk),
            _ => known.in_force,
        };
        let proposes_no_more =
            in_force >= self.highest && self.proposes_no_more(&known, troubles & 4 > 0);
        let over = match &flight.message {
            Message::Promise { epoch: of, .. }
            | Message::Accepted { epoch: of, .. }
            | Message::PromiseSet { epoch: of, .. }
            | Message::AcceptedSet { epoch: of, .. } => *of <= epoch,
            Message::ReadReply {
                epoch: of,
                disk,
                id,
                ..
            } => {
                // While the look goes on, an answer may count again once another replaced it.
                let highest = Tag {
                    version: u64::MAX,
                    ballot: Ballot::default(),
                    digest: Digest(0),
                };
                let (epoch_asked, from, to) = (*of, flight.from, flight.to);
                let any = Message::ReadReply {
                    epoch: epoch_asked,
                    disk: *disk,
                    id: *id,
                    held: Some(highest),
                    written: true,
                    committed: None,
                };
                epoch_asked <= epoch && self.does_nothing(node, from, to, any)
            }
            Message::Nack { epoch: of, .. } | Message::NackSet { epoch: of, .. } => {
                *of <= epoch && (proposes_no_more || !forgets)
            }
            Message::Commit(tag) => tag.version <= in_force,
            Message::Body { held, .. } => held.tag.version <= in_force,
            _ => false,
        };
        let refused = matches!(flight.message, Message::Nack { .. }) && proposes_no_more;
        over && (refused || {
            let message = flight.message.clone();
            self.does_nothing(node, flight.from, flight.to, message)
        })
    }

    fn does_nothing(&mut self, node: u64, from: usize, to: usize, message: Message) -> bool {
        let mut it = (*self.node(node)).clone();
        let mut outcome = Outcome::default();
        let event = Event::Message {
            from: ip(from),
            message,
        };
        it.take(self.world, to, event, &mut outcome);
        if self.reductions.level {
            it.level();
        }
        digest(&it) == node && outcome.sends.is_empty() && outcome.effects.is_empty()
    }

    fn digest(&mut self, state: &Whole) -> u128 {
        if self.alike.is_empty() {
            return lanes(state, &state.nodes, &state.wire);
        }
        let mut order: Vec<(u64, usize)> = Vec::with_capacity(self.alike.len());
        for &one in self.alike {
            order.push((self.part_of(state, one), one));
        }
        order.sort_unstable();
        let mut names = AS_THEY_ARE;
        for (&(_, one), &name) in order.iter().zip(self.alike) {
            names[one] = name as u8;
        }
        let mut nodes = state.nodes.clone();
        for (place, &node) in state.nodes.iter().enumerate() {
            nodes[usize::from(names[place])] = self.renamed_node(&names, node);
        }
        let wire = state.wire.iter().map(|&it| self.renamed_flight(&names, it));
        let mut wire: Vec<u64> = wire.collect();
        wire.sort_unstable();
        lanes(state, &nodes, &wire)
    }

    /// What this machine is to the whole, whatever it is called: equal for machines whose exchange changes
    /// nothing. Of others that have it equal by chance, only the order is left to chance.
    fn part_of(&mut self, state: &Whole, one: usize) -> u64 {
        let names = marked(self.alike, one);
        let mut part = 0_u64;
        for (place, &node) in state.nodes.iter().enumerate() {
            if place == one || !self.alike.contains(&place) {
                part = part.rotate_left(7) ^ self.renamed_node(&names, node);
            }
        }
        let wire = state.wire.iter().map(|&it| self.renamed_flight(&names, it));
        wire.fold(part, u64::wrapping_add)
    }

    fn renamed_node(&mut self, names: &Called, node: u64) -> u64 {
        let key = (node, alike::code(names));
        if let Some(&digest) = self.renamed.get(&key) {
            return digest;
        }
        let digest = renamed(names, &*self.node(node));
        self.renamed.insert(key, digest);
        digest
    }

    fn renamed_flight(&mut self, names: &Called, name: u64) -> u64 {
        let key = (name, alike::code(names));
        if let Some(&digest) = self.renamed.get(&key) {
            return digest;
        }
        let flight = self.flight(name);
        let (from, to) = (names[flight.from], names[flight.to]);
        let digest = digest(&(from, to, renamed(names, &flight.message)));
        self.renamed.insert(key, digest);
        digest
    }

    /// Of what a loss of all power leaves.
    fn durable(&mut self, state: &Whole) -> Option<u64> {
        let history = self.history(state.history);
        if history.acknowledged == 0 {
            return None;
        }
        let mut disks: Vec<u64> = state
            .nodes
            .iter()
            .map(|&it| self.brief(it).stored)
            .collect();
        // Disks name machines of this kind in sets of all of them, if any.
        let mut alike: Vec<u64> = self.alike.iter().map(|&it| disks[it]).collect();
        alike.sort_unstable();
        self.alike
            .iter()
            .zip(alike)
            .for_each(|(&place, disk)| disks[place] = disk);
        Some(digest(&(disks, &history.promised, history.acknowledged)))
    }

    fn tell(&mut self, step: &Move) -> String {
        let at = |node: usize| node + 1;
        match step {
            Move::Deliver { doubled, what } => {
                let again = if *doubled { " (and again)" } else { "" };
                let what = self.flight(*what);
                let (from, to) = (at(what.from), at(what.to));
                format!("{from} -> {to}{again}: {:?}", what.message)
            }
            Move::Written(node, ok) => format!("{}'s write ends: {ok}", at(*node)),
            Move::Crash { node, written } => {
                format!("{} loses power; its write is there: {written}", at(*node))
            }
            Move::Wipe(node) => format!("{} loses its disk", at(*node)),
            Move::Tick(node) => format!("time passes at {}", at(*node)),
            Move::Ask(number) => format!("{:?}", self.ops[*number]),
            Move::Ahead(step) => format!("ahead of its turn: {}", self.tell(step)),
            Move::Lost(what) => format!("lost: {:?}", self.flight(*what)),
        }
    }
}

/// The machines that may be exchanged: to whom nobody speaks, while no time passes and no beats fly.
fn alike(start: &State, reductions: Reductions) -> Vec<usize> {
    if !reductions.alike || start.left.ticks > 0 || start.world.beats {
        return Vec::new();
    }
    let spoken_to = |node: usize| start.ops.iter().any(|op| op.at() == node);
    let alike: Vec<_> = (0..start.world.nodes)
        .filter(|&it| !spoken_to(it))
        .collect();
    match alike.len() {
        0 | 1 => Vec::new(),
        _ => alike,
    }
}

/// The highest version of all, where the story tells it: it begins with nothing, and no time passes.
fn highest(start: &State) -> u64 {
    let versions = start.ops.iter().map(|op| match op {
        Op::Propose(_, version, _) => *version,
        Op::Read(_) | Op::Confirm(_) => 0,
    });
    let nothing = start.wire.is_empty() && start.tickets == 0;
    let told = nothing && start.left.ticks == 0 && !start.world.beats;
    versions.max().filter(|_| told).unwrap_or(u64::MAX)
}

fn lanes(state: &Whole, nodes: &[u64], wire: &[u64]) -> u128 {
    let Troubles {
        doubles,
        crashes,
        wipes,
        failures,
        ticks,
        delays,
    } = state.left;
    let left = u64::from_le_bytes([doubles, crashes, wipes, failures, ticks, delays, 0, 0]);
    let sizes = u64::from(state.ops) << 32 | wire.len() as u64;
    let lanes = [1, 2].map(|lane| {
        let mut lane = Lane(lane);
        let words = nodes.iter().chain(wire).copied();
        words
            .chain([left, state.history, sizes])
            .for_each(|it| lane.add(it));
        lane.0
    });
    u128::from(lanes[0]) << 64 | u128::from(lanes[1])
}

/// One half of a state's digest.
struct Lane(u64);

impl Lane {
    fn add(&mut self, word: u64) {
        let product = u128::from(self.0 ^ word ^ 0x9e37_79b9_7f4a_7c15)
            * u128::from(0xd6e8_feb8_6659_fd93 ^ self.0.rotate_left(32));
        self.0 = (product as u64 ^ (product >> 64) as u64).wrapping_add(word.rotate_left(23));
    }
}

/// What was visited.
#[derive(Debug)]
pub struct Explored {
    pub states: usize,
    /// Moves tried.
    pub moves: usize,
    /// All states that as many moves lead to were visited.
    pub depth: usize,
    /// Different sets of disks after an acknowledgement, all of which were brought up again.
    pub disks: Set<u64>,
    /// Different histories of promises and of what was in force.
    pub histories: Set<u64>,
    /// Different states of one machine, and messages.
    pub parts: (usize, usize),
    /// Whether there was nothing left to visit.
    pub whole: bool,
}

/// The shortest way to a fault, or one of them.
pub struct Story {
    pub fault: String,
    pub moves: Vec<String>,
}

impl fmt::Debug for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}, after", self.fault)?;
        self.moves.iter().try_for_each(|it| writeln!(f, "  {it}"))
    }
}

/// How far to go.
#[derive(Clone, Copy)]
pub struct Bounds {
    /// States visited at the most.
    pub states: usize,
    /// One state in so many is gone on with in calm.
    pub calm: u64,
    pub threads: usize,
    pub reductions: Reductions,
    /// An order of what happens next, drawn by this.
    pub order: Option<u64>,
    /// Whether to tell of each layer.
    pub tell: bool,
}

/// A state found: its digest, its parent and the number of the move that led there.
struct Found {
    digest: u128,
    way: (u32, u16),
    /// Of the disks, if something is acknowledged.
    durable: Option<u64>,
    state: Whole,
    fault: Option<String>,
}

/// Visits all states that can be reached, `bounds.states` of them at the most. One in `bounds.calm` is gone
/// on with in calm; each set of disks is, after a loss of all power.
pub fn explore(start: State, bounds: Bounds) -> Result<Explored, Story> {
    let all = Mutex::default();
    let alike = match bounds.order {
        Some(_) => Vec::new(),
        None => alike(&start, bounds.reductions),
    };
    let desk = || Desk {
        world: &start.world,
        ops: &start.ops,
        reductions: bounds.reductions,
        all: &all,
        names: Names::default(),
        steps: Map::default(),
        dead: Map::default(),
        briefs: Map::default(),
        labels: Map::default(),
        highest: highest(&start),
        order: bounds.order,
        alike: &alike,
        renamed: Map::default(),
    };
    let mut desks: Vec<Desk<'_>> = (0..bounds.threads.max(1)).map(|_| desk()).collect();
    let first = desks[0].pack(&start);
    let mut seen = Set::default();
    let mut done = Explored {
        states: 0,
        moves: 0,
        depth: 0,
        disks: Set::default(),
        histories: Set::default(),
        parts: (0, 0),
        whole: true,
    };
    let mut ways: Vec<(u32, u16)> = vec![(0, 0)];
    let durable = desks[0].durable(&first);
    let digest = desks[0].digest(&first);
    seen.insert(digest);
    let mut layer = vec![(0_u32, digest, durable, first.clone())];
    while !layer.is_empty() {
        let mut next = Vec::new();
        for batch in layer.chunks(BATCH) {
            // What is to be looked at more closely: the first after a set of disks, and some in calm.
            let mut looks = Vec::new();
            for (at, digest, durable, state) in batch {
                done.histories.insert(state.history);
                let ends = durable.is_some_and(|it| done.disks.insert(it));
                let calm = digest.is_multiple_of(bounds.calm.into());
                if ends || calm {
                    looks.push((*at, state, ends, calm));
                }
            }
            let faults = shared(&mut desks, &looks, |desk, (at, state, ends, calm)| {
                let state = desk.unpack(&start, state);
                let calm = calm.then(|| {
                    let mut state = state.clone();
                    state.world.beats = true;
                    state.goes_well()
                });
                let ends = ends.then(|| state.stands_the_end());
                let fault = calm.flatten().or(ends.flatten());
                fault.map(|fault| (*at, fault)).into_iter().collect()
            });
            if let Some((at, fault)) = faults.into_iter().next() {
                return Err(story(&mut desks[0], &first, &ways, at, fault));
            }
            if seen.len() >= bounds.states {
                done.whole = false;
                continue;
            }
            let visited = &seen;
            let found = shared(&mut desks, batch, |desk, (at, _, _, state)| {
                let moves = desk.moves(state);
                let mut found = Vec::with_capacity(moves.len());
                let mut after = state.clone();
                for (number, step) in moves.iter().enumerate() {
                    let fault = desk.after(state, step, &mut after);
                    let digest = desk.digest(&after);
                    let news = !visited.contains(&digest) || fault.is_some();
                    found.push(news.then(|| Found {
                        digest,
                        way: (*at, number as u16),
                        durable: desk.durable(&after),
                        state: after.clone(),
                        fault,
                    }));
                }
                found
            });
            done.moves += found.len();
            for found in found.into_iter().flatten() {
                if let Some(fault) = found.fault {
                    ways.push(found.way);
                    let at = ways.len() as u32 - 1;
                    return Err(story(&mut desks[0], &first, &ways, at, fault));
                }
                if seen.insert(found.digest) {
                    next.push((ways.len() as u32, found.digest, found.durable, found.state));
                    ways.push(found.way);
                }
            }
        }
        done.depth += usize::from(done.whole);
        if bounds.tell {
            let (depth, states, next) = (done.depth, seen.len(), next.len());
            eprintln!("{depth} moves deep: {states} states, {next} to go on from");
        }
        layer = next;
    }
    let names = all.lock().expect("no panic elsewhere");
    done.parts = (names.nodes.len(), names.flights.len());
    done.states = seen.len();
    Ok(done)
}

/// Does this to each in turn, shared among the desks; the results in order.
fn shared<'a, T: Sync, R: Send>(
    desks: &mut [Desk<'a>],
    all: &[T],
    work: impl Fn(&mut Desk<'a>, &T) -> Vec<R> + Sync,
) -> Vec<R> {
    let work = &work;
    let portion = all.len().div_ceil(desks.len()).max(1);
    if desks.len() == 1 || all.len() < 64 {
        return all.iter().flat_map(|it| work(&mut desks[0], it)).collect();
    }
    std::thread::scope(|scope| {
        let parts = all
            .chunks(portion)
            .zip(desks.iter_mut())
            .map(|(part, desk)| {
                scope.spawn(move || {
                    part.iter()
                        .flat_map(|it| work(desk, it))
                        .collect::<Vec<R>>()
                })
            });
        let parts: Vec<_> = parts.collect();
        let results = parts.into_iter().map(|it| it.join().expect("no panic"));
        results.flatten().collect()
    })
}

fn story(desk: &mut Desk<'_>, first: &Whole, ways: &[(u32, u16)], at: u32, fault: String) -> Story {
    let mut numbers = Vec::new();
    let mut at = at as usize;
    while at > 0 {
        numbers.push(ways[at].1);
        at = ways[at].0 as usize;
    }
    let (mut state, mut moves) = (first.clone(), Vec::new());
    for &number in numbers.iter().rev() {
        let step = &desk.moves(&state)[usize::from(number)];
        moves.push(desk.tell(step));
        let mut after = state.clone();
        desk.after(&state, step, &mut after);
        state = after;
    }
    Story { fault, moves }
}
