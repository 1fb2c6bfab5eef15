//! Hives, foragers and a worker in memory, with a ledger of what the worker was sent. Nothing here waits.
#![allow(dead_code)] // each test uses its part

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;

use bytes::Bytes;
use elderpond_consensus::{Digest, Millis, Voter, VoterSet};
use elderpond_wax::{
    Action, Answer, Claim, Event, Found, Key, Message, Outcome, Owner, Record, Rules, Stored, Wax,
    Word,
};

pub fn ip(node: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, node)
}

/// Small periods, so that a story is short.
pub fn rules() -> Rules {
    Rules {
        keep: 10_000,
        spare: 3_000,
        grace: 100,
        turn: 100,
        retry: 50,
        look: 50,
        patience: 400,
        ..Rules::default()
    }
}

#[derive(Clone, Debug, Hash)]
pub struct Hive {
    pub wax: Wax,
    pub disk: u64,
    pub stored: Option<Stored>,
    pending: Option<(u64, Record)>,
    lives: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Item {
    Said(Ipv4Addr, Ipv4Addr, Message),
    Written(Ipv4Addr),
    /// A forager's word on its way to a hive.
    Asks(usize, Ipv4Addr, Word),
    /// Its answer, to the life that asked.
    Told(usize, Owner, Word, Answer),
    AtWorker(usize, Owner),
    FromWorker(usize, Owner, Option<Outcome>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    Idle,
    Asking,
    Sent,
    Telling(Word),
    Over(Answer),
    Dead,
}

#[derive(Clone, Debug, Hash)]
pub struct Forager {
    pub owner: Owner,
    pub stage: Stage,
    pub key: Key,
    pub body: &'static str,
    pub wait: Millis,
    hive: Ipv4Addr,
}

/// What happens in a story, one after the other, each once all is quiet; or sooner, where that is explored.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Op {
    /// That forager sends its order, by way of that hive.
    Ask(usize, u8),
    /// It hears nothing: a claim is given up, an outcome told again, to that hive.
    Retell(usize, u8),
    /// It dies.
    Die(usize),
    /// These hives hear the others no more.
    Cut(&'static [u8]),
    Heal,
    Wipe(u8),
    /// The voters decide on these as the next ones; one hears of it first.
    Turn(&'static [u8], u8),
    Pass(Millis),
    /// The operator's word on what is unknown on that hive.
    Settle(u8, bool),
    /// The worker turns the next order away without running it.
    TurnAway,
}

#[derive(Clone, Debug, Default, Hash)]
struct Ledger {
    /// Runs that may not be followed by another before their time is over.
    runs: Vec<(Millis, Owner)>,
    outcomes: BTreeSet<Bytes>,
    recorded: Option<(Millis, Outcome)>,
    settled_as_run: bool,
}

#[derive(Clone, Debug, Hash)]
pub struct World {
    pub now: Millis,
    pub rules: Rules,
    pub hives: BTreeMap<Ipv4Addr, Hive>,
    pub queue: VecDeque<Item>,
    pub foragers: Vec<Forager>,
    pub script: VecDeque<Op>,
    pub set: VoterSet,
    cut: BTreeSet<Ipv4Addr>,
    turn_away: bool,
    tickets: BTreeMap<(Ipv4Addr, u64), (usize, Owner, Word)>,
    next_ticket: u64,
    ledger: BTreeMap<Key, Ledger>,
    pub fault: Option<String>,
}

impl World {
    /// That many hives, of whom the first three vote.
    pub fn new(hives: u8, rules: Rules, foragers: usize) -> Self {
        let voters = (1..=3).map(|node| Voter {
            node: ip(node),
            disk: 0,
        });
        let set = VoterSet {
            epoch: 1,
            voters: voters.collect(),
            previous: Vec::new(),
        };
        let foragers = (0..foragers).map(|at| Forager {
            owner: Owner {
                forager: at as u64 + 1,
                attempt: 0,
            },
            stage: Stage::Idle,
            key: "k".into(),
            body: "order",
            wait: 0,
            hive: ip(1),
        });
        let mut world = Self {
            now: 1_000,
            rules,
            hives: BTreeMap::new(),
            queue: VecDeque::new(),
            foragers: foragers.collect(),
            script: VecDeque::new(),
            set: set.clone(),
            cut: BTreeSet::new(),
            turn_away: false,
            tickets: BTreeMap::new(),
            next_ticket: 0,
            ledger: BTreeMap::new(),
            fault: None,
        };
        for node in 1..=hives {
            let voter = node <= 3;
            world.start(ip(node), u64::from(!voter) * u64::from(node), None, voter);
            world.event(ip(node), Event::Voters(set.clone()));
        }
        world.settle();
        world
    }

    pub fn then(mut self, script: &[Op]) -> Self {
        self.script.extend(script.iter().cloned());
        self
    }

    fn start(&mut self, node: Ipv4Addr, disk: u64, stored: Option<Stored>, founder: bool) {
        let lives = self.hives.get(&node).map_or(0, |hive| hive.lives) + 1;
        let found = Found {
            me: node,
            disk,
            active_in: u64::from(founder),
            seed: lives,
        };
        let wax = Wax::new(self.now, found, self.rules.clone(), stored.clone());
        let hive = Hive {
            wax,
            disk,
            stored,
            pending: None,
            lives,
        };
        self.hives.insert(node, hive);
        self.tickets.retain(|(at, _), _| *at != node);
    }

    /// The hive's process ends and starts again; its outstanding write is on disk, or not.
    pub fn crash(&mut self, node: Ipv4Addr, kept: bool) {
        let hive = &self.hives[&node];
        let (disk, mut stored) = (hive.disk, hive.stored.clone());
        if let Some((_, record)) = hive.pending.clone().filter(|_| kept) {
            apply(&mut stored, record);
        }
        self.queue
            .retain(|item| !matches!(item, Item::Written(at) if *at == node));
        let founder = disk == 0 && stored.is_none();
        self.start(node, disk, stored, founder);
        // The replica on its disk tells of the newest set that it knew.
        let known = self.hives[&node].wax.epoch();
        if known == 0 && founder {
            let set = self.set.clone();
            self.event(node, Event::Voters(set));
        }
    }

    pub fn wipe(&mut self, node: Ipv4Addr) {
        self.queue
            .retain(|item| !matches!(item, Item::Written(at) if *at == node));
        let disk = 100 * (self.hives[&node].lives + 1) + u64::from(node.octets()[3]);
        self.start(node, disk, None, false);
        let set = self.set.clone();
        self.event(node, Event::Voters(set));
    }

    pub fn event(&mut self, node: Ipv4Addr, event: Event) {
        let mut out = Vec::new();
        let Some(hive) = self.hives.get_mut(&node) else {
            return;
        };
        hive.wax.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send { to, message } => {
                    self.queue.push_back(Item::Said(node, to, message));
                }
                Action::Write { write, record } => {
                    if let Some(hive) = self.hives.get_mut(&node) {
                        assert!(hive.pending.is_none(), "one write at a time");
                        hive.pending = Some((write, record));
                    }
                    self.queue.push_back(Item::Written(node));
                }
                Action::Answered { ticket, answer } => {
                    if let Some((forager, owner, word)) = self.tickets.remove(&(node, ticket)) {
                        let told = Item::Told(forager, owner, word, answer);
                        self.queue.push_back(told);
                    }
                }
                Action::Log(_) => {}
            }
        }
    }

    fn say(&mut self, forager: usize, node: Ipv4Addr, word: Word) {
        self.queue.push_back(Item::Asks(forager, node, word));
    }

    /// Takes the first of what is under way; or, if nothing is, the next line of the script. False at
    /// the end.
    pub fn step(&mut self) -> bool {
        if let Some(item) = self.queue.pop_front() {
            self.take(item);
            return true;
        }
        self.next_op()
    }

    pub fn next_op(&mut self) -> bool {
        let Some(op) = self.script.pop_front() else {
            return false;
        };
        self.op(op);
        true
    }

    /// Until nothing is under way.
    pub fn settle(&mut self) {
        for _ in 0..20_000 {
            let Some(item) = self.queue.pop_front() else {
                return;
            };
            self.take(item);
        }
        panic!("it never comes to rest");
    }

    pub fn play(&mut self, script: &[Op]) {
        for op in script {
            self.op(op.clone());
            self.settle();
        }
        assert_eq!(self.fault, None);
    }

    fn is_apart(&self, a: Ipv4Addr, b: Ipv4Addr) -> bool {
        self.cut.contains(&a) != self.cut.contains(&b)
    }

    fn take(&mut self, item: Item) {
        match item {
            Item::Said(from, to, _) if self.is_apart(from, to) => {}
            Item::Said(from, to, message) => self.event(to, Event::Message { from, message }),
            Item::Written(node) => {
                let Some(hive) = self.hives.get_mut(&node) else {
                    return;
                };
                let Some((write, record)) = hive.pending.take() else {
                    return;
                };
                apply(&mut hive.stored, record);
                self.event(node, Event::Written { write, ok: true });
            }
            Item::Asks(forager, node, word) => {
                self.next_ticket += 1;
                let ticket = self.next_ticket;
                let (key, owner, wait) = {
                    let asks = &self.foragers[forager];
                    (asks.key.clone(), asks.owner, asks.wait)
                };
                let asked = (forager, owner, word.clone());
                self.tickets.insert((node, ticket), asked);
                let say = Event::Say {
                    ticket,
                    key,
                    word,
                    wait,
                };
                self.event(node, say);
            }
            Item::Told(forager, owner, word, answer) => self.told(forager, owner, word, answer),
            Item::AtWorker(forager, owner) => self.at_worker(forager, owner),
            Item::FromWorker(at, owner, outcome) => {
                let forager = &mut self.foragers[at];
                if forager.owner != owner || forager.stage != Stage::Sent {
                    return;
                }
                let word = match outcome {
                    Some(outcome) => Word::Done(owner, outcome),
                    None => Word::NotRun(owner),
                };
                forager.stage = Stage::Telling(word.clone());
                let hive = forager.hive;
                self.say(at, hive, word);
            }
        }
    }

    fn told(&mut self, at: usize, owner: Owner, word: Word, answer: Answer) {
        let key = self.foragers[at].key.clone();
        let ledger = self.ledger.entry(key).or_default();
        if let (Word::Done(_, outcome), Answer::Recorded) = (&word, &answer) {
            ledger.recorded.get_or_insert((self.now, outcome.clone()));
        }
        if let Answer::Known(outcome) = &answer {
            let first = ledger.recorded.as_ref().map(|(_, first)| first);
            let same = match (first, &outcome.body) {
                (Some(first), None) if !ledger.settled_as_run => first.digest == outcome.digest,
                (Some(first), _) if !ledger.settled_as_run => first == outcome,
                (_, Some(body)) => ledger.outcomes.contains(body),
                (_, None) => ledger.settled_as_run,
            };
            if !same {
                self.fault = Some(format!("an answer that is not the first's: {outcome:?}"));
            }
        }
        let forager = &mut self.foragers[at];
        if forager.owner != owner || forager.stage == Stage::Dead {
            return;
        }
        match (&forager.stage, &word) {
            (Stage::Asking, Word::Claim(_)) => match answer {
                Answer::Granted => {
                    forager.stage = Stage::Sent;
                    self.queue.push_back(Item::AtWorker(at, owner));
                }
                answer => forager.stage = Stage::Over(answer),
            },
            (Stage::Telling(telling), word) if telling == word => match answer {
                Answer::Recorded | Answer::Overtaken => forager.stage = Stage::Over(answer),
                _ => {}
            },
            _ => {}
        }
    }

    fn at_worker(&mut self, at: usize, owner: Owner) {
        if std::mem::take(&mut self.turn_away) {
            return self.queue.push_back(Item::FromWorker(at, owner, None));
        }
        let key = self.foragers[at].key.clone();
        let ledger = self.ledger.entry(key).or_default();
        let (now, keep) = (self.now, self.rules.keep);
        // What is not on record, or is settled by nobody, keeps others away for ever.
        let over = |recorded: &Option<(Millis, Outcome)>| {
            recorded
                .as_ref()
                .is_some_and(|(since, _)| now >= since + keep)
        };
        if over(&ledger.recorded) {
            (ledger.runs, ledger.recorded) = (Vec::new(), None);
            ledger.outcomes.clear();
        }
        if let Some((since, first)) = ledger.runs.first() {
            let late = now - since;
            self.fault = Some(format!(
                "a worker sees the order twice: {first:?}, {owner:?} after {late} ms"
            ));
        }
        ledger.runs.push((now, owner));
        let body = Bytes::from(format!("run by {} at {now}", owner.forager));
        ledger.outcomes.insert(body.clone());
        let header = ("content-type".to_owned(), Bytes::from_static(b"text/plain"));
        let outcome = Outcome::new(201, vec![header], body);
        let item = Item::FromWorker(at, owner, Some(outcome));
        self.queue.push_back(item);
    }

    pub fn op(&mut self, op: Op) {
        match op {
            Op::Ask(at, hive) => {
                let forager = &mut self.foragers[at];
                if forager.stage == Stage::Dead {
                    return;
                }
                forager.owner.attempt += 1;
                (forager.stage, forager.hive) = (Stage::Asking, ip(hive));
                let claim = Claim {
                    owner: forager.owner,
                    order: Digest::of(forager.body.as_bytes()),
                    tenant: "school".into(),
                    route: "renew".into(),
                    patience: 1_000,
                };
                self.say(at, ip(hive), Word::Claim(claim));
            }
            Op::Retell(at, hive) => {
                let forager = &mut self.foragers[at];
                forager.hive = ip(hive);
                let word = match &forager.stage {
                    Stage::Asking => Word::NotRun(forager.owner),
                    Stage::Telling(word) => word.clone(),
                    _ => return,
                };
                forager.stage = Stage::Telling(word.clone());
                self.say(at, ip(hive), word);
            }
            Op::Die(at) => self.foragers[at].stage = Stage::Dead,
            Op::Cut(nodes) => self.cut = nodes.iter().map(|&node| ip(node)).collect(),
            Op::Heal => self.cut.clear(),
            Op::Wipe(node) => self.wipe(ip(node)),
            Op::Turn(nodes, first) => self.turn(nodes, first),
            Op::Pass(ms) => {
                // No jumps: timers fire as they come due.
                for _ in 0..4 {
                    self.now += ms / 4;
                    for node in self.hives.keys().copied().collect::<Vec<_>>() {
                        self.event(node, Event::Tick);
                    }
                }
            }
            Op::Settle(node, ran) => {
                let unknown = self.hives[&ip(node)].wax.unknown(None, 10);
                for listed in unknown {
                    let owner = listed.claim.owner;
                    let ledger = self.ledger.entry(listed.key.clone()).or_default();
                    if ran {
                        ledger.settled_as_run = true;
                    } else {
                        ledger.runs.retain(|(_, by)| *by != owner);
                    }
                    self.next_ticket += 1;
                    let say = Event::Say {
                        ticket: self.next_ticket,
                        key: listed.key,
                        word: Word::Settle(owner, ran),
                        wait: 0,
                    };
                    self.event(ip(node), say);
                }
            }
            Op::TurnAway => self.turn_away = true,
        }
    }

    /// What the replicas do: a majority of the voters, all of whom vote in the wax, decides on the next.
    fn turn(&mut self, nodes: &[u8], first: u8) {
        let vote = |voter: &&Voter| {
            self.hives.get(&voter.node).is_some_and(|hive| {
                hive.disk == voter.disk
                    && hive.wax.epoch() == self.set.epoch
                    && hive.wax.is_settled()
                    && !self.is_apart(voter.node, ip(first))
            })
        };
        if self.set.voters.iter().filter(vote).count() < self.set.majority() {
            return;
        }
        let voters = nodes.iter().map(|&node| Voter {
            node: ip(node),
            disk: self.hives[&ip(node)].disk,
        });
        self.set = VoterSet {
            epoch: self.set.epoch + 1,
            voters: voters.collect(),
            previous: self.set.voters.clone(),
        };
        let set = self.set.clone();
        self.event(ip(first), Event::Voters(set));
    }

    /// All is well again; then one more repeat, by a hive that votes. What it has to be told is known.
    pub fn calm(&mut self) {
        self.cut.clear();
        self.settle();
        let set = self.set.clone();
        for node in self.hives.keys().copied().collect::<Vec<_>>() {
            self.event(node, Event::Voters(set.clone()));
        }
        for at in 0..self.foragers.len() {
            self.op(Op::Retell(at, set.voters[0].node.octets()[3]));
        }
        for _ in 0..6 {
            self.op(Op::Pass(240));
            self.settle();
        }
        let key: Key = "k".into();
        let mut probe = self.foragers[0].clone();
        probe.owner.forager = 999;
        probe.stage = Stage::Idle;
        probe.key = key.clone();
        self.foragers.push(probe);
        let at = self.foragers.len() - 1;
        let ledger = self.ledger.entry(key).or_default().clone();
        let (now, keep) = (self.now, self.rules.keep);
        let orphans = self.foragers.iter().any(|f| f.stage == Stage::Dead);
        for voter in set.voters {
            self.foragers[at].stage = Stage::Idle;
            self.op(Op::Ask(at, voter.node.octets()[3]));
            self.settle();
            for _ in 0..8 {
                self.op(Op::Pass(60));
                self.settle();
            }
            let stage = self.foragers[at].stage.clone();
            let recorded = ledger.recorded.as_ref();
            let fresh = recorded.is_some_and(|(since, _)| now < since + keep);
            let sane = match &stage {
                Stage::Over(Answer::Known(_)) => true,
                Stage::Over(Answer::Recorded) => !fresh,
                Stage::Over(Answer::Unknown | Answer::AtWork) => {
                    recorded.is_none() || (!fresh && orphans)
                }
                _ => false,
            };
            if !sane && self.fault.is_none() {
                self.fault = Some(format!("a repeat in calm ends as {stage:?}"));
            }
        }
    }

    pub fn runs(&self, key: &str) -> usize {
        self.ledger.get(key).map_or(0, |ledger| ledger.runs.len())
    }
}

fn apply(stored: &mut Option<Stored>, record: Record) {
    let stored = stored.get_or_insert_with(|| Stored {
        head: record.head.clone(),
        cells: Vec::new(),
    });
    stored.head = record.head;
    stored.cells.retain(|kept| {
        !record.dropped.contains(&kept.key) && record.cells.iter().all(|new| new.key != kept.key)
    });
    stored.cells.extend(record.cells);
}
