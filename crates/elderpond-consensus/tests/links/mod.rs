//! Hives on links of a bounded rate, with disks, freezes, and a ledger of what they say.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use bytes::Bytes;
use elderpond_consensus::{
    Action, Ballot, Digest, Event, Found, Head, Held, Mark, Message, Record, Replica, Rules,
    Stored, Tag, Voter, VoterSet,
};

pub fn ip(node: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, node as u8 + 1)
}

pub const PIECE: usize = 64 << 10;
/// Bytes a millisecond: 10 Mbit/s.
pub const SLOW: usize = 1_250;
/// 1000 Mbit/s.
pub const FAST: usize = 125_000;

/// About what a message takes.
fn size(message: &Message) -> usize {
    let marks = |marks: &[Mark]| marks.iter().map(|it| it.key.len() + 16).sum::<usize>();
    60 + match message {
        Message::Accept { held, .. } | Message::Body { held, .. } => held.body.len(),
        Message::Piece { bytes, .. } => bytes.len(),
        Message::Marks(told) | Message::MarksPage { marks: told, .. } => marks(told),
        Message::MarksDiffer { sums, .. } => 12 * sums.len(),
        Message::StateReply {
            held, marks: told, ..
        } => held.as_ref().map_or(0, |held| held.body.len()) + marks(told),
        _ => 0,
    }
}

/// Three hives; a message waits for those before it on its way.
pub struct Links {
    pub now: u64,
    pub replicas: Vec<Option<Replica>>,
    pub stored: Vec<Option<Stored>>,
    /// Of each hive's ways, in bytes a millisecond; a way is as slow as the slower of its ends.
    pub rate: [usize; 3],
    pub flying: BTreeMap<(u64, u64), (usize, usize, Message)>,
    taken: BTreeMap<(usize, usize), u64>,
    count: u64,
    /// Of bodies and marks, by receiver; and the longest message.
    pub arrived: [usize; 3],
    pub longest: usize,
    /// What a hive does to a piece that it sends.
    pub alter: Option<usize>,
    /// Tickets, and when.
    pub acknowledged: BTreeMap<u64, u64>,
    /// Tickets of reads that ended, and the version told.
    pub read: BTreeMap<u64, u64>,
    /// The highest version acknowledged, and what each read has to tell at least.
    newest: u64,
    asked: BTreeMap<u64, u64>,
    proposed: BTreeMap<u64, u64>,
    /// By hive: what came in force, and when.
    pub forced: [Vec<(u64, u64)>; 3],
    bodies: BTreeMap<u64, Digest>,
    /// Who stands still, and what waits in its sockets.
    frozen: BTreeMap<usize, Vec<(usize, Message)>>,
    /// Bytes of heads, bodies and marks written, by hive.
    pub written: [usize; 3],
    pub seed: u64,
}

impl Links {
    /// All hold this on disk; the third nothing, unless it lacks only one mark.
    pub fn of(body: &Bytes, marks: usize, third_lacks: Option<usize>) -> Self {
        let mut links = Self {
            now: 0,
            replicas: vec![None, None, None],
            stored: vec![None, None, None],
            rate: [SLOW; 3],
            flying: BTreeMap::new(),
            taken: BTreeMap::new(),
            count: 0,
            arrived: [0; 3],
            longest: 0,
            alter: None,
            acknowledged: BTreeMap::new(),
            read: BTreeMap::new(),
            newest: 0,
            asked: BTreeMap::new(),
            proposed: BTreeMap::new(),
            forced: [vec![], vec![], vec![]],
            bodies: BTreeMap::new(),
            frozen: BTreeMap::new(),
            written: [0; 3],
            seed: 5,
        };
        let voters: Vec<Voter> = (0..3)
            .map(|n| Voter {
                node: ip(n),
                disk: 0,
            })
            .collect();
        let tag = Tag {
            version: 1,
            ballot: Ballot {
                round: 1,
                node: 1,
                life: 1,
            },
            digest: Digest::of(body),
        };
        let held = Held {
            tag,
            body: body.clone(),
        };
        let mark = |nth: usize| Mark {
            order: nth as u64 + 1,
            key: format!("i-{nth:08x}@worker"),
            value: b"g".to_vec(),
        };
        for node in 0..3 {
            let lacks = third_lacks.filter(|_| node == 2);
            let stored = Stored {
                head: Head {
                    disk: 0,
                    set: Some(VoterSet {
                        epoch: 1,
                        voters: voters.clone(),
                        previous: vec![],
                    }),
                    active_in: 1,
                    ceiling: 1 << 32,
                    promised: Ballot::default(),
                    accepted: None,
                    committed: Some(tag).filter(|_| !body.is_empty()),
                },
                held: Some(held.clone())
                    .into_iter()
                    .filter(|_| !body.is_empty())
                    .collect(),
                marks: (0..marks)
                    .filter(|nth| Some(*nth) != lacks)
                    .map(mark)
                    .collect(),
                numbers: None,
            };
            let empty = node == 2 && third_lacks.is_none();
            links.stored[node] = Some(stored).filter(|_| !empty);
            links.start(node);
        }
        links
    }

    /// Starts with what is on its disk.
    pub fn start(&mut self, node: usize) {
        let found = Found {
            me: ip(node),
            seeds: (0..3).map(ip).collect(),
            first_start: false,
            seed: self.seed + node as u64,
        };
        self.seed += 77;
        let rules = Rules {
            minimum_voters: 3,
            ..Rules::default()
        };
        self.forced[node].clear();
        let mut out = Vec::new();
        let stored = self.stored[node].clone();
        self.replicas[node] = Some(Replica::new(self.now, found, rules, stored, &mut out));
        self.act(node, out);
        self.meet();
    }

    /// Ends without a word.
    pub fn stop(&mut self, node: usize) {
        self.replicas[node] = None;
        self.meet();
    }

    pub fn wipe(&mut self, node: usize) {
        self.stop(node);
        self.stored[node] = None;
    }

    /// Stands still; what is sent to it waits.
    pub fn freeze(&mut self, node: usize) {
        self.frozen.insert(node, vec![]);
        self.meet();
    }

    /// Goes on, with all that waited at once.
    pub fn thaw(&mut self, node: usize) {
        for (from, message) in self.frozen.remove(&node).unwrap_or_default() {
            let from = ip(from);
            self.give(node, Event::Message { from, message });
        }
        self.meet();
    }

    pub fn meet(&mut self) {
        let there = |it: &usize| self.replicas[*it].is_some() && !self.frozen.contains_key(it);
        let alive: Vec<_> = (0..3).filter(there).map(ip).collect();
        (0..3).for_each(|node| self.give(node, Event::Alive(alive.clone())));
    }

    pub fn give(&mut self, node: usize, event: Event) {
        if self.frozen.contains_key(&node) {
            return;
        }
        let Some(replica) = &mut self.replicas[node] else {
            return;
        };
        let mut out = Vec::new();
        replica.handle(self.now, event, &mut out);
        self.act(node, out);
    }

    pub fn propose(&mut self, node: usize, version: u64, body: Bytes) -> u64 {
        self.count += 1;
        let ticket = self.count;
        self.proposed.insert(ticket, version);
        self.give(
            node,
            Event::Propose {
                ticket,
                version,
                body,
            },
        );
        ticket
    }

    pub fn ask(&mut self, node: usize) -> u64 {
        self.count += 1;
        let ticket = self.count;
        self.asked.insert(ticket, self.newest);
        self.give(node, Event::Read { ticket });
        ticket
    }

    fn act(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, mut message } => {
                    if let (true, Message::Piece { bytes, .. }) =
                        (self.alter == Some(node), &mut message)
                    {
                        *bytes = vec![0; bytes.len()].into();
                    }
                    let to = usize::from(to.octets()[3]) - 1;
                    let size = size(&message);
                    self.longest = self.longest.max(size);
                    let rate = self.rate[node].min(self.rate[to]);
                    let taken = self.taken.entry((node, to)).or_default();
                    *taken = self.now.max(*taken) + (size / rate) as u64;
                    self.count += 1;
                    self.flying
                        .insert((*taken + 1, self.count), (node, to, message));
                }
                Action::Write { write, record } => {
                    self.written[node] += record.held.as_ref().map_or(0, |held| held.body.len());
                    put(&mut self.stored[node], record);
                    self.give(node, Event::Written { write, ok: true });
                }
                Action::Acknowledged { ticket } => {
                    self.acknowledged.insert(ticket, self.now);
                    self.newest = self.newest.max(self.proposed[&ticket]);
                }
                Action::ReadDone { ticket, held } => {
                    let told = held.map_or(0, |held| held.0);
                    assert!(told >= self.asked[&ticket], "an old version is told");
                    self.read.insert(ticket, told);
                }
                Action::InForce { version, body } => {
                    let last = self.forced[node].last().map_or(0, |last| last.0);
                    assert!(version > last, "in force went back");
                    self.forced[node].push((version, self.now));
                    let digest = Digest::of(&body);
                    assert_eq!(*self.bodies.entry(version).or_insert(digest), digest);
                }
                _ => {}
            }
        }
    }

    pub fn run(&mut self, until: u64) {
        while self.now < until {
            self.now += 1;
            while let Some(next) = self
                .flying
                .first_entry()
                .filter(|it| it.key().0 <= self.now)
            {
                let (from, to, message) = next.remove();
                // What a machine had sent when it died is lost with it.
                if self.replicas[from].is_some() && self.replicas[to].is_some() {
                    self.arrived[to] += size(&message);
                    if let Some(waits) = self.frozen.get_mut(&to) {
                        waits.push((from, message));
                        continue;
                    }
                    let from = ip(from);
                    self.give(to, Event::Message { from, message });
                }
            }
            if self.now.is_multiple_of(50) {
                (0..3).for_each(|node| self.give(node, Event::Tick));
            }
        }
    }

    pub fn in_force(&self, node: usize) -> Option<(u64, Digest)> {
        let (version, body) = self.replicas[node].as_ref()?.in_force()?;
        Some((version, Digest::of(&body)))
    }

    pub fn newest_acknowledged(&self) -> u64 {
        self.newest
    }

    pub fn replica(&self, node: usize) -> &Replica {
        self.replicas[node].as_ref().expect("it is up")
    }
}

fn put(stored: &mut Option<Stored>, record: Record) {
    if let Some(head) = record.head {
        let old = stored.take();
        let (held, marks, numbers) =
            old.map_or_else(Default::default, |old| (old.held, old.marks, old.numbers));
        *stored = Some(Stored {
            head,
            held,
            marks,
            numbers,
        });
    }
    let Some(stored) = stored else { return };
    if let Some(numbers) = record.numbers {
        stored.numbers.get_or_insert_default().apply(numbers);
    }
    if let Some(held) = record.held {
        stored
            .held
            .retain(|old| old.tag.version != held.tag.version);
        let committed = stored.head.committed.map(|tag| tag.version);
        stored.held.retain(|old| Some(old.tag.version) == committed);
        stored.held.push(held);
    }
    stored
        .marks
        .retain(|mark| !record.dropped.contains(&mark.key));
    if !record.marks.is_empty() {
        let mut marks: BTreeMap<String, Mark> = stored
            .marks
            .drain(..)
            .map(|mark| (mark.key.clone(), mark))
            .collect();
        marks.extend(
            record
                .marks
                .into_iter()
                .map(|mark| (mark.key.clone(), mark)),
        );
        stored.marks = marks.into_values().collect();
    }
}

/// What no piece of it is like another.
pub fn body(size: usize) -> Bytes {
    (0..size / 8)
        .flat_map(|it| (it as u64 * 77).to_le_bytes())
        .collect()
}

/// The same, of one version.
pub fn stamped(base: &Bytes, version: u64) -> Bytes {
    let mut body = base.to_vec();
    body[..8].copy_from_slice(&version.to_le_bytes());
    body.into()
}
