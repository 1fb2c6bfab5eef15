//! Machines, their disks, what flies between them and what was promised to callers. Lost messages are those
//! which are never delivered.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::net::Ipv4Addr;
use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use elderpond_consensus::{
    Action, Event, Found, Message, Record, Refusal, Replica, Rules, Stored, Voter,
};

/// A step of a node's clock: what is unanswered is sent again, and what is due begins.
pub const STEP: u64 = 60;

pub fn ip(node: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, node as u8 + 1)
}

pub fn at(node: Ipv4Addr) -> usize {
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

pub fn digest(what: &impl Hash) -> u64 {
    let mut hasher = Mix(1);
    what.hash(&mut hasher);
    hasher.finish()
}

/// What an operator does, where.
#[derive(Clone, Debug, Hash, PartialEq)]
pub enum Op {
    Propose(usize, u64, &'static str),
    Read(usize),
}

impl Op {
    /// Which machine is spoken to.
    pub fn at(&self) -> usize {
        let (Self::Propose(node, ..) | Self::Read(node)) = *self;
        node
    }

    pub fn event(&self, ticket: u64) -> Event {
        match *self {
            Self::Propose(_, version, body) => Event::Propose {
                ticket,
                version,
                body: Bytes::from_static(body.as_bytes()),
            },
            Self::Read(_) => Event::Read { ticket },
        }
    }
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

#[derive(Clone, Debug, Hash)]
pub struct Flight {
    pub from: usize,
    pub to: usize,
    pub message: Message,
}

#[derive(Clone, Default, Hash)]
pub struct Disk {
    pub stored: Option<Stored>,
    pub pending: Option<(u64, Record)>,
    /// What a loss of power leaves, if the last write is not safe.
    safe: Option<Option<Stored>>,
}

impl Disk {
    pub fn put(&mut self) {
        let Some((_, record)) = self.pending.take() else {
            return;
        };
        if let Some(head) = record.head {
            match &mut self.stored {
                Some(stored) => stored.head = head,
                none => {
                    let (held, marks) = (vec![], vec![]);
                    *none = Some(Stored {
                        head,
                        held,
                        marks,
                        numbers: None,
                    });
                }
            }
        }
        let stored = self.stored.as_mut().expect("the first record has a head");
        if let Some(numbers) = record.numbers {
            stored.numbers.get_or_insert_default().apply(numbers);
        }
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

/// The source of a machine's draws in one of its lives.
fn seed(node: usize, life: u64) -> u64 {
    life * 64 + node as u64
}

/// The machine and life of which this is one of the first two numbers drawn: that life's name, and a disk's.
/// No more than three lives are known here.
pub fn drawn(word: u64) -> Option<(usize, u64)> {
    static DRAWN: OnceLock<HashMap<u64, (usize, u64)>> = OnceLock::new();
    let all = DRAWN.get_or_init(|| {
        let lives = (0..5).flat_map(|node| (1..4).map(move |life| (node, life)));
        let names = lives.flat_map(|(node, life)| {
            let [first, second] = first_two(node, life);
            [(first, (node, 2 * life)), (second, (node, 2 * life + 1))]
        });
        names.collect()
    });
    all.get(&word).copied()
}

fn first_two(node: usize, life: u64) -> [u64; 2] {
    let fresh = |first_start| {
        let found = Found {
            me: ip(node),
            seeds: vec![ip(node), ip(5)],
            first_start,
            seed: seed(node, life),
        };
        Replica::new(0, found, Rules::default(), None, &mut Vec::new())
    };
    let (mut founder, mut out) = (fresh(true), Vec::new());
    founder.handle(0, Op::Propose(node, 1, "").event(1), &mut out);
    let ballots = out.iter().filter_map(|it| match it {
        Action::Send {
            message: Message::Prepare { ballot, .. },
            ..
        } => Some(ballot.life),
        _ => None,
    });
    let life = ballots.last().expect("another voter is asked");
    [life, fresh(false).status().me.disk]
}

/// What all machines know from outside.
#[derive(Clone)]
pub struct World {
    pub rules: Rules,
    /// How many machines there are.
    pub nodes: usize,
    /// Whether beats and marks fly.
    pub beats: bool,
    /// A fault put in: the end of a write is told though a loss of power may still take it.
    pub flushed_only: bool,
}

/// What a machine does to callers, or shows of what must not differ.
#[derive(Clone)]
pub enum Effect {
    Acknowledged(u64),
    /// Whether for another body of its number.
    Refused(u64, bool),
    Found(u64, Option<(u64, Bytes)>),
    InForce(u64, Bytes),
    Voters(u64, Vec<Voter>),
    Fault(String),
}

/// What a machine does to the rest by one step.
#[derive(Default)]
pub struct Outcome {
    pub sends: Vec<Flight>,
    pub effects: Vec<Effect>,
}

#[derive(Clone)]
pub struct Node {
    pub replica: Replica,
    pub disk: Disk,
    pub now: u64,
    life: u64,
    pub in_force: u64,
    /// The newest epoch of which its voters were told.
    told: u64,
}

impl Node {
    /// Starts with what is on disk; only in the first life an empty disk is a founder's.
    fn start(world: &World, node: usize, life: u64, disk: Disk, now: u64) -> (Self, Outcome) {
        let founders = world.rules.minimum_voters;
        let found = Found {
            me: ip(node),
            seeds: (0..founders).map(ip).collect(),
            first_start: life == 1,
            seed: seed(node, life),
        };
        let mut actions = Vec::new();
        let (rules, stored) = (world.rules.clone(), disk.stored.clone());
        let replica = Replica::new(now, found, rules, stored, &mut actions);
        let (in_force, told) = (0, 0);
        let mut it = Self {
            replica,
            disk,
            now,
            life,
            in_force,
            told,
        };
        let mut outcome = Outcome::default();
        it.act(world, node, actions, &mut outcome);
        let alive = (0..world.nodes).map(ip).collect();
        it.take(world, node, Event::Alive(alive), &mut outcome);
        (it, outcome)
    }

    pub fn crash(self, world: &World, node: usize, written: bool, wiped: bool) -> (Self, Outcome) {
        let mut disk = self.disk;
        match written {
            true => disk.put(),
            false => disk.pending = None,
        }
        if let Some(safe) = disk.safe.take() {
            disk.stored = safe;
        }
        if wiped {
            disk = Disk::default();
        }
        Self::start(world, node, self.life + 1, disk, self.now)
    }

    pub fn take(&mut self, world: &World, node: usize, event: Event, outcome: &mut Outcome) {
        let mut actions = Vec::new();
        self.replica.handle(self.now, event, &mut actions);
        self.act(world, node, actions, outcome);
    }

    /// The write that is under way ends.
    pub fn written(&mut self, world: &World, node: usize, ok: bool, outcome: &mut Outcome) {
        let write = self.disk.pending.as_ref().expect("offered").0;
        self.disk.safe = world.flushed_only.then(|| self.disk.stored.clone());
        match ok {
            true => self.disk.put(),
            false => self.disk.pending = None,
        }
        self.take(world, node, Event::Written { write, ok }, outcome);
    }

    fn act(&mut self, world: &World, from: usize, actions: Vec<Action>, outcome: &mut Outcome) {
        for action in actions {
            let effect = match action {
                Action::Send { to, message } => {
                    let to = at(to);
                    let noise = matches!(
                        message,
                        Message::Beat(_) | Message::MarksAsk | Message::Marks(_)
                    );
                    if to < world.nodes && (world.beats || !noise) {
                        outcome.sends.push(Flight { from, to, message });
                    }
                    continue;
                }
                Action::Write { write, record } => {
                    assert!(self.disk.pending.is_none(), "one write at a time");
                    self.disk.pending = Some((write, record));
                    continue;
                }
                Action::MarkLearned { .. } | Action::Log(_) => continue,
                Action::Acknowledged { ticket } => Effect::Acknowledged(ticket),
                Action::Refused { ticket, why } => {
                    Effect::Refused(ticket, why == Refusal::Conflict)
                }
                Action::ReadDone { ticket, held } => Effect::Found(ticket, held),
                Action::InForce { version, body } => {
                    if version <= self.in_force {
                        let fault = format!("in force went back to {version}");
                        outcome.effects.push(Effect::Fault(fault));
                    }
                    self.in_force = version;
                    Effect::InForce(version, body)
                }
            };
            outcome.effects.push(effect);
        }
        let epoch = self.replica.epoch();
        if epoch > self.told {
            self.told = epoch;
            let voters = self.replica.voters().to_vec();
            outcome.effects.push(Effect::Voters(epoch, voters));
        }
    }

    /// Sets back what no answer depends on, see `Replica::level`.
    pub fn level(&mut self) {
        self.replica.level();
        if let Some((write, _)) = &mut self.disk.pending {
            *write = 1;
        }
    }
}

impl Hash for Node {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (
            &self.replica,
            &self.disk,
            self.now,
            self.life,
            self.in_force,
        )
            .hash(state);
    }
}

/// What was promised to callers, and what must not differ.
#[derive(Clone, Default)]
pub struct History {
    pub acknowledged: u64,
    /// The body of each number that was in force or acknowledged anywhere: one for ever.
    taken: BTreeMap<u64, Bytes>,
    /// Those acknowledged.
    pub promised: BTreeMap<u64, Bytes>,
    /// Bodies that were refused for their number: never in force or acknowledged, before or after.
    refused: BTreeSet<(u64, Bytes)>,
    sets: BTreeMap<u64, Vec<Voter>>,
    /// Running calls: a proposal, or a read and what it has to find at least.
    calls: BTreeMap<u64, Result<(u64, Bytes), u64>>,
    answered: BTreeMap<u64, bool>,
}

impl History {
    /// Of all but how ended calls were answered, on which nothing depends any more.
    pub fn digest(&self) -> u64 {
        let sets = (&self.sets, &self.calls, &self.refused);
        digest(&(self.acknowledged, &self.taken, &self.promised, sets))
    }

    /// Notes what was seen; what is wrong about it, if anything is.
    pub fn take(&mut self, effect: Effect) -> Option<String> {
        match effect {
            Effect::Fault(fault) => Some(fault),
            Effect::Acknowledged(ticket) => self.ended_well(ticket),
            Effect::Refused(ticket, for_another) => {
                self.answered.insert(ticket, false);
                let call = self.calls.remove(&ticket).filter(|_| for_another);
                let (version, body) = call?.ok()?;
                let taken = self.taken.get(&version) == Some(&body);
                self.refused.insert((version, body));
                taken.then(|| format!("r{version}: taken, and then refused"))
            }
            Effect::Found(ticket, held) => self.found(ticket, held),
            Effect::InForce(version, body) => self.takes(version, body, "in force"),
            Effect::Voters(epoch, voters) => {
                let other = self.sets.insert(epoch, voters.clone());
                let other = other.filter(|other| *other != voters)?;
                Some(format!("two sets of epoch {epoch}: {other:?}, {voters:?}"))
            }
        }
    }

    pub fn asked(&mut self, ticket: u64, op: &Op) {
        let call = match *op {
            Op::Propose(_, version, body) => Ok((version, Bytes::from_static(body.as_bytes()))),
            Op::Read(_) => Err(self.acknowledged),
        };
        self.calls.insert(ticket, call);
    }

    fn ended_well(&mut self, ticket: u64) -> Option<String> {
        self.answered.insert(ticket, true);
        let Ok((version, body)) = self.calls.remove(&ticket)? else {
            return None;
        };
        self.acknowledged = self.acknowledged.max(version);
        self.promised.insert(version, body.clone());
        self.takes(version, body, "acknowledged")
    }

    fn takes(&mut self, version: u64, body: Bytes, what: &str) -> Option<String> {
        if self.refused.contains(&(version, body.clone())) {
            return Some(format!("r{version}: refused, and then {what}"));
        }
        let other = self.taken.insert(version, body.clone());
        let differs = other.is_some_and(|other| other != body);
        differs.then(|| format!("r{version}: another body {what}"))
    }

    fn found(&mut self, ticket: u64, held: Option<(u64, Bytes)>) -> Option<String> {
        self.answered.insert(ticket, true);
        let Err(least) = self.calls.remove(&ticket)? else {
            return None;
        };
        let (version, body) = held.unwrap_or_default();
        let promised = self.promised.get(&version);
        if version < least {
            Some(format!("read {version} after {least} was acknowledged"))
        } else if promised.is_some_and(|promised| *promised != body) {
            Some(format!("version {version} is read with another body"))
        } else {
            None
        }
    }
}

#[derive(Clone)]
pub struct State {
    pub world: World,
    pub nodes: Vec<Arc<Node>>,
    /// Ordered by digest, so that the order of sending makes no other state.
    pub wire: Vec<(u64, Arc<Flight>)>,
    pub history: Arc<History>,
    pub left: Troubles,
    pub ops: Vec<Op>,
    pub fault: Option<String>,
    /// How many calls were made while the story was set up.
    pub tickets: u64,
}

impl State {
    /// Founders that started together on empty disks a while ago; whether they heard each other's beats.
    pub fn calm(founders: usize, rules: Rules, beats: bool) -> Self {
        let world = World {
            rules,
            nodes: founders,
            beats,
            flushed_only: false,
        };
        let mut state = Self {
            world,
            nodes: Vec::new(),
            wire: Vec::new(),
            history: Arc::default(),
            left: Troubles::default(),
            ops: Vec::new(),
            fault: None,
            tickets: 0,
        };
        for node in 0..founders {
            let (it, outcome) = Node::start(&state.world, node, 1, Disk::default(), 0);
            state.nodes.push(Arc::new(it));
            state.note(outcome);
        }
        state.run(30);
        state
    }

    pub fn give(&mut self, node: usize, event: Event) {
        let mut outcome = Outcome::default();
        let it = Arc::make_mut(&mut self.nodes[node]);
        it.take(&self.world, node, event, &mut outcome);
        self.note(outcome);
    }

    fn note(&mut self, outcome: Outcome) {
        for flight in outcome.sends {
            let digest = digest(&flight);
            if let Err(place) = self.wire.binary_search_by_key(&digest, |it| it.0) {
                self.wire.insert(place, (digest, Arc::new(flight)));
            }
        }
        for effect in outcome.effects {
            let fault = Arc::make_mut(&mut self.history).take(effect);
            self.fault = fault.or(self.fault.take());
        }
    }

    pub fn ask(&mut self, op: &Op) -> u64 {
        self.tickets += 1;
        Arc::make_mut(&mut self.history).asked(self.tickets, op);
        self.give(op.at(), op.event(self.tickets));
        self.tickets
    }

    fn crash(&mut self, node: usize, written: bool, wiped: bool) {
        let it = (*self.nodes[node]).clone();
        let (it, outcome) = it.crash(&self.world, node, written, wiped);
        self.nodes[node] = Arc::new(it);
        self.note(outcome);
    }

    /// What passes arrives, and no write ends.
    pub fn arrive(&mut self, passes: &dyn Fn(&Flight) -> bool) {
        while let Some(place) = self.wire.iter().position(|(_, what)| passes(what)) {
            let (_, what) = self.wire.remove(place);
            let (from, message) = (ip(what.from), what.message.clone());
            self.give(what.to, Event::Message { from, message });
        }
    }

    pub fn written(&mut self, node: usize) {
        let mut outcome = Outcome::default();
        let it = Arc::make_mut(&mut self.nodes[node]);
        it.written(&self.world, node, true, &mut outcome);
        self.note(outcome);
    }

    pub fn tick(&mut self, node: usize, by: u64) {
        Arc::make_mut(&mut self.nodes[node]).now += by;
        self.give(node, Event::Tick);
    }

    fn whole(&self) -> bool {
        whole(&self.nodes)
    }

    /// Another machine, told of the seeds, whom nobody knows yet.
    pub fn newcomer(&mut self) -> usize {
        let (node, now) = (self.nodes.len(), self.nodes[0].now);
        self.world.nodes += 1;
        let (it, outcome) = Node::start(&self.world, node, 2, Disk::default(), now);
        self.nodes.push(Arc::new(it));
        self.note(outcome);
        node
    }

    /// What passes arrives, and writes end, until there is no more of it; the rest goes on flying.
    pub fn settle(&mut self, passes: &dyn Fn(&Flight) -> bool) {
        loop {
            let found = self.wire.iter().position(|(_, what)| passes(what));
            let writes = self.nodes.iter().position(|it| it.disk.pending.is_some());
            match (found, writes) {
                (Some(place), _) => {
                    let (_, what) = self.wire.remove(place);
                    let (from, message) = (ip(what.from), what.message.clone());
                    self.give(what.to, Event::Message { from, message });
                }
                (None, Some(node)) => self.written(node),
                (None, None) => return,
            }
        }
    }

    /// What passes arrives, and no write ends.
    pub fn deliver(&mut self, passes: &dyn Fn(&Flight) -> bool) {
        while let Some(place) = self.wire.iter().position(|(_, what)| passes(what)) {
            let (_, what) = self.wire.remove(place);
            let (from, message) = (ip(what.from), what.message.clone());
            self.give(what.to, Event::Message { from, message });
        }
    }

    pub fn lose(&mut self, lost: &dyn Fn(&Flight) -> bool) {
        self.wire.retain(|(_, what)| !lost(what));
    }

    /// Loses power and starts again.
    /// Loses power and is back; what is being written is lost.
    pub fn restart(&mut self, node: usize) {
        self.crash(node, false, false);
    }

    pub fn wipe(&mut self, node: usize) {
        assert!(self.whole());
        self.crash(node, false, true);
    }

    /// Whether this call ended well.
    pub fn answered(&self, ticket: u64) -> bool {
        self.history.answered.get(&ticket) == Some(&true)
    }

    pub fn acknowledged(&self) -> u64 {
        self.history.acknowledged
    }

    pub fn replica(&self, node: usize) -> &Replica {
        &self.nodes[node].replica
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
                    if self.nodes[node].disk.pending.is_some() {
                        self.written(node);
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
    pub fn goes_well(mut self) -> Option<String> {
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
    pub fn stands_the_end(&self) -> Option<String> {
        let mut ends = vec![None];
        // Two cannot bear the loss of one.
        if self.world.rules.minimum_voters > 2 && self.whole() {
            ends.extend((0..self.nodes.len()).map(Some));
        }
        for wiped in ends {
            let mut state = self.clone();
            (state.world.beats, state.wire) = (true, Vec::new());
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

/// Whether a lost disk costs nothing: all voters durably vote in the newest set.
pub fn whole(nodes: &[Arc<Node>]) -> bool {
    let newest = nodes.iter().max_by_key(|it| it.replica.epoch());
    let newest = newest.expect("nodes");
    let epoch = newest.replica.epoch();
    newest.replica.voters().iter().all(|voter| {
        let stored = nodes[at(voter.node)].disk.stored.as_ref();
        stored.is_some_and(|stored| {
            let set = stored.head.set.as_ref();
            let known = set.is_some_and(|set| set.epoch == epoch);
            known && stored.head.disk == voter.disk && stored.head.active_in == epoch
        })
    })
}
