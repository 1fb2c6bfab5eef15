//! Every order of what may happen, breadth first, each state visited once. Lost messages are those which are
//! never delivered.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::fmt;
use std::hash::{Hash, Hasher};
use std::net::Ipv4Addr;
use std::sync::Arc;

use bytes::Bytes;
use elderpond_comb::{Action, Comb, Event, Found, Message, Record, Rules, Stored};

/// A step of a node's clock: what is unanswered is sent again, and what is due begins.
const STEP: u64 = 60;

pub fn ip(node: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, node as u8 + 1)
}

fn at(node: Ipv4Addr) -> usize {
    usize::from(node.octets()[3]) - 1
}

/// Many small pieces: a word at a time.
struct Mix(u64);

impl Hasher for Mix {
    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            self.write_u64(u64::from_le_bytes(word));
        }
    }

    fn write_u64(&mut self, word: u64) {
        let mixed = (self.0.rotate_left(5) ^ word).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        self.0 = mixed ^ (mixed >> 32);
    }

    fn write_u8(&mut self, word: u8) {
        self.write_u64(word.into());
    }

    fn write_usize(&mut self, word: usize) {
        self.write_u64(word as u64);
    }

    fn finish(&self) -> u64 {
        let mixed = (self.0 ^ (self.0 >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed ^ (mixed >> 32)
    }
}

fn digest(what: &impl Hash) -> u64 {
    let mut hasher = Mix(1);
    what.hash(&mut hasher);
    hasher.finish()
}

/// What an operator does, where.
#[derive(Clone, Debug, Hash)]
pub enum Op {
    Propose(usize, u64, &'static str),
    Read(usize),
}

/// How much of each trouble there may be on one way.
#[derive(Clone, Copy, Debug, Default, Hash)]
pub struct Troubles {
    pub doubles: u8,
    pub crashes: u8,
    pub wipes: u8,
    pub failures: u8,
    pub ticks: u8,
}

#[derive(Clone, Debug)]
pub enum Move {
    Deliver { doubled: bool, what: Arc<Flight> },
    Written(usize, bool),
    Crash { node: usize, written: bool },
    Wipe(usize),
    Tick(usize),
    Ask(Op),
}

impl fmt::Display for Move {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Deliver { doubled, what } => {
                let again = if *doubled { " (and again)" } else { "" };
                write!(
                    f,
                    "{} -> {}{again}: {:?}",
                    what.from + 1,
                    what.to + 1,
                    what.message
                )
            }
            Self::Written(node, ok) => write!(f, "{}'s write ends: {ok}", node + 1),
            Self::Crash { node, written } => {
                write!(f, "{} loses power; its write is there: {written}", node + 1)
            }
            Self::Wipe(node) => write!(f, "{} loses its disk", node + 1),
            Self::Tick(node) => write!(f, "time passes at {}", node + 1),
            Self::Ask(op) => write!(f, "{op:?}"),
        }
    }
}

#[derive(Debug, Hash)]
pub struct Flight {
    pub from: usize,
    pub to: usize,
    pub message: Message,
}

#[derive(Clone, Default, Hash)]
struct Disk {
    stored: Option<Stored>,
    pending: Option<(u64, Record)>,
}

impl Disk {
    fn put(&mut self) {
        let Some((_, record)) = self.pending.take() else {
            return;
        };
        if let Some(head) = record.head {
            match &mut self.stored {
                Some(stored) => stored.head = head,
                none => {
                    let (held, marks) = (vec![], vec![]);
                    *none = Some(Stored { head, held, marks });
                }
            }
        }
        let stored = self.stored.as_mut().expect("the first record has a head");
        if let Some(held) = record.held {
            stored
                .held
                .retain(|old| old.tag.version != held.tag.version);
            stored.held.push(held);
            stored.held.sort_by_key(|held| held.tag.version);
            let newest = stored.held.last().map(|held| held.tag.version);
            let committed = stored.head.committed.map(|tag| tag.version);
            let kept = [newest, committed];
            stored
                .held
                .retain(|held| kept.contains(&Some(held.tag.version)));
        }
    }
}

#[derive(Clone)]
struct Node {
    comb: Comb,
    disk: Disk,
    now: u64,
    life: u64,
    in_force: u64,
    digest: u64,
}

/// What was promised to callers, and what must not differ.
#[derive(Clone, Default, Hash)]
struct History {
    acknowledged: u64,
    bodies: BTreeMap<u64, Bytes>,
    promised: BTreeMap<u64, Bytes>,
    sets: BTreeMap<u64, Vec<elderpond_comb::Voter>>,
    /// Running calls: a proposal, or a read and what it has to find at least.
    calls: BTreeMap<u64, Result<(u64, Bytes), u64>>,
    answered: BTreeMap<u64, bool>,
}

#[derive(Clone)]
pub struct State {
    rules: Rules,
    nodes: Vec<Arc<Node>>,
    /// Ordered by digest, so that the order of sending makes no other state.
    wire: Vec<(u64, Arc<Flight>)>,
    history: Arc<History>,
    pub left: Troubles,
    pub ops: Vec<Op>,
    pub beats: bool,
    pub fault: Option<String>,
    tickets: u64,
}

impl State {
    /// Nodes that started together on empty disks and know each other; the first `founders` vote.
    pub fn calm(founders: usize, nodes: usize, rules: Rules) -> Self {
        let mut state = Self {
            rules,
            nodes: Vec::new(),
            wire: Vec::new(),
            history: Arc::default(),
            left: Troubles::default(),
            ops: Vec::new(),
            beats: true,
            fault: None,
            tickets: 0,
        };
        for node in 0..nodes {
            state.start(node, founders, 1, Disk::default(), 0);
        }
        state.run(30);
        state
    }

    fn founders(&self) -> usize {
        self.rules.minimum_voters
    }

    fn start(&mut self, node: usize, seeds: usize, life: u64, disk: Disk, now: u64) {
        let found = Found {
            me: ip(node),
            seeds: (0..seeds).map(ip).collect(),
            first_start: life == 1,
            seed: life * 64 + node as u64,
        };
        let mut out = Vec::new();
        let comb = Comb::new(
            now,
            found,
            self.rules.clone(),
            disk.stored.clone(),
            &mut out,
        );
        let (in_force, digest) = (0, 0);
        let fresh = Node {
            comb,
            disk,
            now,
            life,
            in_force,
            digest,
        };
        match self.nodes.get_mut(node) {
            Some(old) => *old = Arc::new(fresh),
            None => self.nodes.push(Arc::new(fresh)),
        }
        self.act(node, out);
        let all = self.nodes.len().max(self.founders());
        self.give(node, Event::Alive((0..all).map(ip).collect()));
    }

    pub fn give(&mut self, node: usize, event: Event) {
        let it = Arc::make_mut(&mut self.nodes[node]);
        let mut out = Vec::new();
        it.comb.handle(it.now, event, &mut out);
        self.act(node, out);
    }

    fn act(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.post(node, at(to), message),
                Action::Write { write, record } => {
                    let disk = &mut Arc::make_mut(&mut self.nodes[node]).disk;
                    assert!(disk.pending.is_none(), "one write at a time");
                    disk.pending = Some((write, record));
                }
                Action::Acknowledged { ticket } => self.ended_well(ticket),
                Action::Refused { ticket, .. } => {
                    let history = Arc::make_mut(&mut self.history);
                    history.calls.remove(&ticket);
                    history.answered.insert(ticket, false);
                }
                Action::ReadDone { ticket, held } => self.found(ticket, held),
                Action::InForce { version, body } => {
                    let it = Arc::make_mut(&mut self.nodes[node]);
                    if version <= it.in_force {
                        self.fault = Some(format!("in force went back to {version}"));
                    }
                    it.in_force = version;
                    self.body(version, body);
                }
                Action::MarkLearned { .. } | Action::Log(_) => {}
            }
        }
        let it = Arc::make_mut(&mut self.nodes[node]);
        it.digest = digest(&(&it.comb, &it.disk, it.now, it.life));
        let (epoch, voters) = (it.comb.epoch(), it.comb.voters().to_vec());
        if epoch > 0 && self.history.sets.get(&epoch) != Some(&voters) {
            let sets = &mut Arc::make_mut(&mut self.history).sets;
            if let Some(other) = sets.insert(epoch, voters.clone()) {
                self.fault = Some(format!("two sets of epoch {epoch}: {other:?}, {voters:?}"));
            }
        }
    }

    fn body(&mut self, version: u64, body: Bytes) {
        if self.history.bodies.get(&version) == Some(&body) {
            return;
        }
        let bodies = &mut Arc::make_mut(&mut self.history).bodies;
        if bodies.insert(version, body).is_some() {
            self.fault = Some(format!("two bodies in force of version {version}"));
        }
    }

    fn ended_well(&mut self, ticket: u64) {
        let history = Arc::make_mut(&mut self.history);
        history.answered.insert(ticket, true);
        let Some(Ok((version, body))) = history.calls.remove(&ticket) else {
            return;
        };
        history.acknowledged = history.acknowledged.max(version);
        let newest = history
            .bodies
            .last_key_value()
            .map_or(0, |(version, _)| *version);
        if version >= newest {
            let other = history.promised.insert(version, body.clone());
            if other.is_some_and(|other| other != body) {
                self.fault = Some(format!("two bodies acknowledged of version {version}"));
            }
        }
    }

    fn found(&mut self, ticket: u64, held: Option<(u64, Bytes)>) {
        let history = Arc::make_mut(&mut self.history);
        history.answered.insert(ticket, true);
        let Some(Err(least)) = history.calls.remove(&ticket) else {
            return;
        };
        let (version, body) = held.unwrap_or_default();
        let other = history
            .promised
            .get(&version)
            .is_some_and(|promised| *promised != body);
        if version < least {
            self.fault = Some(format!("read {version} after {least} was acknowledged"));
        } else if other {
            self.fault = Some(format!("version {version} is read with another body"));
        }
    }

    fn post(&mut self, from: usize, to: usize, message: Message) {
        let noise = matches!(
            message,
            Message::Beat(_) | Message::MarksAsk | Message::Marks(_)
        );
        if to >= self.nodes.len().max(self.founders()) || (noise && !self.beats) {
            return;
        }
        let flight = Flight { from, to, message };
        let digest = digest(&flight);
        if let Err(place) = self.wire.binary_search_by_key(&digest, |it| it.0) {
            self.wire.insert(place, (digest, Arc::new(flight)));
        }
    }

    pub fn ask(&mut self, op: &Op) -> u64 {
        self.tickets += 1;
        let ticket = self.tickets;
        let least = self.history.acknowledged;
        let calls = &mut Arc::make_mut(&mut self.history).calls;
        match *op {
            Op::Propose(node, version, body) => {
                let body = Bytes::from_static(body.as_bytes());
                calls.insert(ticket, Ok((version, body.clone())));
                self.give(
                    node,
                    Event::Propose {
                        ticket,
                        version,
                        body,
                    },
                );
            }
            Op::Read(node) => {
                calls.insert(ticket, Err(least));
                self.give(node, Event::Read { ticket });
            }
        }
        ticket
    }

    fn crash(&mut self, node: usize, written: bool, wiped: bool) {
        let it = Arc::make_mut(&mut self.nodes[node]);
        let (life, now, mut disk) = (it.life + 1, it.now, std::mem::take(&mut it.disk));
        match written {
            true => disk.put(),
            false => disk.pending = None,
        }
        if wiped {
            disk = Disk::default();
        }
        self.start(node, self.founders(), life, disk, now);
    }

    pub fn apply(&mut self, step: &Move) {
        match step {
            Move::Deliver { doubled, what } => {
                let digest = digest(&**what);
                let place = self.wire.iter().position(|it| it.0 == digest);
                if *doubled {
                    self.left.doubles -= 1;
                } else if let Some(place) = place {
                    self.wire.remove(place);
                }
                let (from, message) = (ip(what.from), what.message.clone());
                self.give(what.to, Event::Message { from, message });
            }
            Move::Written(node, ok) => {
                let disk = &mut Arc::make_mut(&mut self.nodes[*node]).disk;
                let write = disk.pending.as_ref().expect("offered").0;
                if *ok {
                    disk.put();
                } else {
                    disk.pending = None;
                    self.left.failures -= 1;
                }
                self.give(*node, Event::Written { write, ok: *ok });
            }
            Move::Crash { node, written } => {
                self.left.crashes -= 1;
                self.crash(*node, *written, false);
            }
            Move::Wipe(node) => {
                self.left.wipes -= 1;
                self.crash(*node, false, true);
            }
            Move::Tick(node) => {
                self.left.ticks -= 1;
                self.tick(*node, STEP);
            }
            Move::Ask(op) => {
                let same = |it: &Op| format!("{it:?}") == format!("{op:?}");
                let place = self.ops.iter().position(same).expect("offered");
                self.ops.remove(place);
                self.ask(op);
            }
        }
    }

    pub fn tick(&mut self, node: usize, by: u64) {
        Arc::make_mut(&mut self.nodes[node]).now += by;
        self.give(node, Event::Tick);
    }

    fn moves(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        for (_, what) in &self.wire {
            let what = what.clone();
            if self.left.doubles > 0 {
                moves.push(Move::Deliver {
                    doubled: true,
                    what: what.clone(),
                });
            }
            moves.push(Move::Deliver {
                doubled: false,
                what,
            });
        }
        for (node, it) in self.nodes.iter().enumerate() {
            let writes = it.disk.pending.is_some();
            if writes {
                moves.push(Move::Written(node, true));
                if self.left.failures > 0 {
                    moves.push(Move::Written(node, false));
                }
            }
            if self.left.crashes > 0 {
                moves.push(Move::Crash {
                    node,
                    written: false,
                });
                if writes {
                    moves.push(Move::Crash {
                        node,
                        written: true,
                    });
                }
            }
            if self.left.wipes > 0 && self.whole() {
                moves.push(Move::Wipe(node));
            }
            if self.left.ticks > 0 {
                moves.push(Move::Tick(node));
            }
        }
        moves.extend(self.ops.iter().cloned().map(Move::Ask));
        moves
    }

    /// Whether a lost disk costs nothing: all voters durably vote in the newest set.
    fn whole(&self) -> bool {
        let newest = self
            .nodes
            .iter()
            .max_by_key(|it| it.comb.epoch())
            .expect("nodes");
        let epoch = newest.comb.epoch();
        newest.comb.voters().iter().all(|voter| {
            let stored = self.nodes[at(voter.node)].disk.stored.as_ref();
            stored.is_some_and(|stored| {
                let set = stored.head.set.as_ref();
                let known = set.is_some_and(|set| set.epoch == epoch);
                known && stored.head.disk == voter.disk && stored.head.active_in == epoch
            })
        })
    }

    fn digest(&self) -> u64 {
        let nodes: Vec<u64> = self.nodes.iter().map(|it| it.digest).collect();
        let wire: Vec<u64> = self.wire.iter().map(|it| it.0).collect();
        digest(&(
            nodes,
            wire,
            &*self.history,
            self.left,
            &self.ops,
            self.fault.is_some(),
        ))
    }

    /// Of what a loss of all power leaves.
    fn durable(&self) -> u64 {
        let disks: Vec<_> = self.nodes.iter().map(|it| &it.disk.stored).collect();
        digest(&(disks, &self.history.promised, self.history.acknowledged))
    }

    /// Another machine, told of the seeds, whom nobody knows yet.
    pub fn newcomer(&mut self) -> usize {
        let (node, now) = (self.nodes.len(), self.nodes[0].now);
        self.start(node, self.founders(), 2, Disk::default(), now);
        node
    }

    /// What passes arrives, and writes end, until there is no more of it; the rest goes on flying.
    pub fn settle(&mut self, passes: &dyn Fn(&Flight) -> bool) {
        loop {
            let found = self.wire.iter().find(|(_, what)| passes(what)).cloned();
            let writes = self.nodes.iter().position(|it| it.disk.pending.is_some());
            let step = match (found, writes) {
                (Some((_, what)), _) => Move::Deliver {
                    doubled: false,
                    what,
                },
                (None, Some(node)) => Move::Written(node, true),
                (None, None) => return,
            };
            self.apply(&step);
        }
    }

    pub fn lose(&mut self, lost: &dyn Fn(&Flight) -> bool) {
        self.wire.retain(|(_, what)| !lost(what));
    }

    pub fn wipe(&mut self, node: usize) {
        assert!(self.whole());
        self.crash(node, false, true);
    }

    pub fn acknowledged(&self) -> u64 {
        self.history.acknowledged
    }

    pub fn comb(&self, node: usize) -> &Comb {
        &self.nodes[node].comb
    }

    /// All that flies and is written ends, in order, and time passes for so many steps of 50 ms.
    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            let mut rounds = 0;
            loop {
                let wire: VecDeque<_> = std::mem::take(&mut self.wire).into();
                let quiet = wire.is_empty();
                for (_, what) in wire {
                    let (from, message) = (ip(what.from), what.message.clone());
                    self.give(what.to, Event::Message { from, message });
                }
                let mut wrote = false;
                for node in 0..self.nodes.len() {
                    if let Some((write, _)) = self.nodes[node].disk.pending {
                        Arc::make_mut(&mut self.nodes[node]).disk.put();
                        self.give(node, Event::Written { write, ok: true });
                        wrote = true;
                    }
                }
                rounds += 1;
                if (quiet && !wrote) || rounds > 40 {
                    break;
                }
            }
            let now = self.nodes.iter().map(|it| it.now).max().unwrap_or(0);
            for node in 0..self.nodes.len() {
                let mine = self.nodes[node].now;
                self.tick(node, now + 50 - mine);
            }
        }
    }

    /// What a calm day brings from here: reads go back nowhere, and a new version is acknowledged and in
    /// force everywhere.
    fn goes_well(mut self) -> Option<String> {
        for node in 0..self.nodes.len() {
            self.ask(&Op::Read(node));
        }
        self.run(30);
        let reads: Vec<u64> = (0..self.nodes.len())
            .map(|it| self.ask(&Op::Read(it)))
            .collect();
        self.run(6);
        let last = self.ask(&Op::Propose(0, 99, "last"));
        self.run(8);
        let done = |ticket: &u64| self.history.answered.get(ticket) == Some(&true);
        if self.fault.is_some() {
            return self.fault;
        }
        if !reads.iter().all(done) || !done(&last) {
            return Some("no progress in calm".into());
        }
        let lags = self.nodes.iter().any(|it| it.in_force != 99);
        lags.then(|| "the last version is not everywhere".into())
    }

    /// What all power lost, and then one disk more, leaves.
    fn stands_the_end(&self) -> Option<String> {
        let mut ends = vec![None];
        if self.whole() {
            ends.extend((0..self.nodes.len()).map(Some));
        }
        for wiped in ends {
            let mut state = self.clone();
            (state.beats, state.wire) = (true, Vec::new());
            let now = state.nodes.iter().map(|it| it.now).max().unwrap_or(0);
            for node in 0..state.nodes.len() {
                Arc::make_mut(&mut state.nodes[node]).now = now;
            }
            for node in 0..state.nodes.len() {
                state.crash(node, false, wiped == Some(node));
            }
            if let Some(fault) = state.goes_well() {
                let wiped = wiped.map_or(String::new(), |it| format!(", {} its disk", it + 1));
                return Some(format!("all lose power{wiped}: {fault}"));
            }
        }
        None
    }
}

#[derive(Debug)]
pub struct Explored {
    pub states: usize,
    /// Different sets of disks after an acknowledgement, all of which were brought up again.
    pub disks: usize,
    /// Whether there was nothing left to visit.
    pub whole: bool,
}

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

/// Visits all states that can be reached, `most` of them at the most. One in `calm` is gone on with in calm;
/// each set of disks is, after a loss of all power.
pub fn explore(start: State, most: usize, calm: u64) -> Result<Explored, Story> {
    let mut seen: HashSet<u64> = HashSet::from([start.digest()]);
    let mut durable = HashSet::new();
    // The way to each state: its parent, and the move.
    let mut ways: Vec<(usize, Option<Move>)> = vec![(0, None)];
    let mut next = VecDeque::from([(0, start)]);
    let story = |ways: &[(usize, Option<Move>)], mut at: usize, fault: String| {
        let mut moves = Vec::new();
        while let (parent, Some(step)) = &ways[at] {
            moves.push(step.to_string());
            at = *parent;
        }
        moves.reverse();
        Err(Story { fault, moves })
    };
    while let Some((at, state)) = next.pop_front() {
        if let Some(fault) = &state.fault {
            return story(&ways, at, fault.clone());
        }
        if state.history.acknowledged > 0
            && durable.insert(state.durable())
            && let Some(fault) = state.stands_the_end()
        {
            return story(&ways, at, fault);
        }
        if state.digest().is_multiple_of(calm) {
            let mut calmed = state.clone();
            calmed.beats = true;
            if let Some(fault) = calmed.goes_well() {
                return story(&ways, at, fault);
            }
        }
        if seen.len() >= most {
            continue;
        }
        for step in state.moves() {
            let mut after = state.clone();
            after.apply(&step);
            if seen.insert(after.digest()) {
                ways.push((at, Some(step)));
                next.push_back((ways.len() - 1, after));
            }
        }
    }
    let (states, disks) = (seen.len(), durable.len());
    Ok(Explored {
        states,
        disks,
        whole: states < most,
    })
}
