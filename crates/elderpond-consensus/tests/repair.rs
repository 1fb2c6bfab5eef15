//! A hive that is behind: bodies in pieces, marks by the buckets that differ, on links of 10 Mbit/s.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use bytes::Bytes;
use elderpond_consensus::{
    Action, Ballot, Digest, Event, Found, Head, Held, Mark, Message, Replica, Rules, Stored, Tag,
    Voter, VoterSet,
};

fn ip(node: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, node as u8 + 1)
}

const PIECE: usize = 64 << 10;
/// Bytes a millisecond: 10 Mbit/s.
const RATE: usize = 1_250;

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
struct Links {
    now: u64,
    replicas: Vec<Option<Replica>>,
    flying: BTreeMap<(u64, u64), (usize, usize, Message)>,
    taken: BTreeMap<(usize, usize), u64>,
    count: u64,
    /// Of bodies and marks, by receiver; and the longest message.
    arrived: [usize; 3],
    longest: usize,
    /// What a hive does to a piece that it sends.
    alter: Option<usize>,
    acknowledged: bool,
}

impl Links {
    /// All hold this on disk; the third nothing, unless it lacks only one mark.
    fn of(body: &Bytes, marks: usize, third_lacks: Option<usize>) -> Self {
        let mut links = Self {
            now: 0,
            replicas: vec![None, None, None],
            flying: BTreeMap::new(),
            taken: BTreeMap::new(),
            count: 0,
            arrived: [0; 3],
            longest: 0,
            alter: None,
            acknowledged: false,
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
            links.start(node, Some(stored).filter(|_| !empty));
        }
        links
    }

    fn start(&mut self, node: usize, stored: Option<Stored>) {
        let found = Found {
            me: ip(node),
            seeds: (0..3).map(ip).collect(),
            first_start: false,
            seed: 5 + node as u64,
        };
        let rules = Rules {
            minimum_voters: 3,
            ..Rules::default()
        };
        let mut out = Vec::new();
        self.replicas[node] = Some(Replica::new(self.now, found, rules, stored, &mut out));
        self.act(node, out);
        self.meet();
    }

    fn meet(&mut self) {
        let alive: Vec<_> = (0..3)
            .filter(|it| self.replicas[*it].is_some())
            .map(ip)
            .collect();
        (0..3).for_each(|node| self.give(node, Event::Alive(alive.clone())));
    }

    fn give(&mut self, node: usize, event: Event) {
        let Some(replica) = &mut self.replicas[node] else {
            return;
        };
        let mut out = Vec::new();
        replica.handle(self.now, event, &mut out);
        self.act(node, out);
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
                    self.longest = self.longest.max(size(&message));
                    let taken = self.taken.entry((node, to)).or_default();
                    *taken = self.now.max(*taken) + (size(&message) / RATE) as u64;
                    self.count += 1;
                    self.flying
                        .insert((*taken + 1, self.count), (node, to, message));
                }
                Action::Write { write, .. } => {
                    self.give(node, Event::Written { write, ok: true });
                }
                Action::Acknowledged { .. } => self.acknowledged = true,
                _ => {}
            }
        }
    }

    fn run(&mut self, until: u64) {
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
                    let from = ip(from);
                    self.give(to, Event::Message { from, message });
                }
            }
            if self.now.is_multiple_of(50) {
                (0..3).for_each(|node| self.give(node, Event::Tick));
            }
        }
    }

    fn in_force(&self, node: usize) -> Option<(u64, Digest)> {
        let (version, body) = self.replicas[node].as_ref()?.in_force()?;
        Some((version, Digest::of(&body)))
    }
}

/// What no piece of it is like another.
fn body(size: usize) -> Bytes {
    (0..size / 8)
        .flat_map(|it| (it as u64 * 77).to_le_bytes())
        .collect()
}

#[yare::parameterized(
    routes_2_000 = { 406 << 10, 0 },
    routes_10_000 = { 2_039 << 10, 0 },
    with_all_marks = { 2_039 << 10, 8_192 },
)]
fn given_an_empty_disk_when_back_then_it_votes_within_catch_up_and_each_byte_came_once(
    size: usize,
    marks: usize,
) {
    let body = body(size);
    let mut links = Links::of(&body, marks, None);
    links.run(4_000);
    assert_eq!(links.in_force(2), Some((1, Digest::of(&body))));
    let replica = links.replicas[2].as_ref().expect("it is up");
    assert!(replica.is_active() && replica.status().marks == marks);
    let due = size + marks * 33;
    assert!(
        links.arrived[2] < due + 3 * PIECE,
        "{} of {due}",
        links.arrived[2]
    );
    assert!(links.longest < PIECE * 9 / 8, "{}", links.longest);
}

#[test]
fn given_the_holder_dies_halfway_then_another_sends_the_rest_and_what_came_is_kept() {
    let body = body(2_039 << 10);
    let mut links = Links::of(&body, 0, None);
    links.run(900);
    let before = links.arrived;
    links.run(901 + 60);
    // Whoever sends: pieces come from one at a time.
    let sends = |links: &Links, node: usize| {
        let pieces = |it: &&(usize, usize, Message)| matches!(it.2, Message::Piece { .. });
        links.flying.values().filter(pieces).any(|it| it.0 == node)
    };
    let holder = (0..2).find(|node| sends(&links, *node)).expect("halfway");
    assert!(before[2] > body.len() / 3 && links.in_force(2).is_none());
    links.replicas[holder] = None;
    links.meet();
    links.run(2_300);
    assert_eq!(links.in_force(2), Some((1, Digest::of(&body))));
    let again = links.arrived[2] - body.len();
    assert!(again < 5 * PIECE, "{again} came again");
}

#[test]
fn given_a_holder_that_alters_pieces_then_they_never_count_and_another_is_asked() {
    let body = body(300 << 10);
    for liar in [0, 1] {
        let mut links = Links::of(&body, 0, None);
        links.alter = Some(liar);
        links.run(4_000);
        assert_eq!(links.in_force(2), Some((1, Digest::of(&body))));
    }
}

#[test]
fn given_a_newer_version_in_the_middle_then_the_older_is_not_fetched_to_its_end() {
    let old = body(2_039 << 10);
    let mut links = Links::of(&old, 0, None);
    links.run(500);
    let new = Bytes::from_static(b"short");
    let (ticket, version) = (1, 2);
    let propose = Event::Propose {
        ticket,
        version,
        body: new.clone(),
    };
    links.give(0, propose);
    links.run(1_500);
    assert!(links.acknowledged);
    assert_eq!(links.in_force(2), Some((2, Digest::of(&new))));
    links.run(4_000);
    assert!(links.arrived[2] < old.len() / 2, "{}", links.arrived[2]);
}

#[test]
fn given_a_long_proposal_then_it_crosses_each_link_once_and_is_in_force_everywhere() {
    let new = body(2_039 << 10);
    let mut links = Links::of(&Bytes::new(), 1, Some(1));
    links.run(100);
    let (ticket, version) = (1, 1);
    links.give(
        0,
        Event::Propose {
            ticket,
            version,
            body: new.clone(),
        },
    );
    links.run(2_000);
    for node in 0..3 {
        assert_eq!(links.in_force(node), Some((1, Digest::of(&new))));
        assert!(links.arrived[node] < new.len() + 10_000);
    }
}

#[test]
fn given_one_mark_of_8_192_missing_then_a_few_kb_bring_it() {
    let mut links = Links::of(&Bytes::new(), 8_192, Some(4_711));
    links.run(900);
    let replica = links.replicas[2].as_ref().expect("it is up");
    assert!(replica.marked(&format!("i-{:08x}@worker", 4_711)).is_some());
    let all: usize = links.arrived.iter().sum();
    assert!(all < 16_000, "{all} bytes");
}

/// A member of a new set; the one who told it of a long body has yet to send that.
#[test]
fn given_a_body_only_told_of_then_its_holder_does_not_count_until_it_is_whole() {
    let mut links = Links::of(&Bytes::new(), 0, Some(0));
    let lone = BTreeSet::from([1, 2]);
    lone.iter().for_each(|&node| links.replicas[node] = None);
    links.flying.clear();
    let voters: Vec<Voter> = (0..3)
        .map(|n| Voter {
            node: ip(n),
            disk: 0,
        })
        .collect();
    let set = VoterSet {
        epoch: 2,
        voters: voters.clone(),
        previous: voters,
    };
    let body = body(100 << 10);
    let ballot = Ballot {
        round: 1,
        node: 1,
        life: 1,
    };
    let tag = Tag {
        version: 3,
        ballot,
        digest: Digest::of(&body),
    };
    let from = ip(1);
    let hear = |links: &mut Links, message| links.give(0, Event::Message { from, message });
    hear(
        &mut links,
        Message::StateRequest {
            set,
            held: None,
            marks: 0,
        },
    );
    let stands = Message::StateSummary {
        epoch: 2,
        disk: 0,
        active_in: 1,
        held: Some(tag),
        committed: None,
        marks: 0,
    };
    hear(&mut links, stands);
    let active = |links: &Links| links.replicas[0].as_ref().is_some_and(Replica::is_active);
    let piece = |at: usize| Message::Piece {
        tag,
        committed: false,
        size: body.len() as u64,
        at: at as u64,
        bytes: body.slice(at..(at + PIECE).min(body.len())),
    };
    hear(&mut links, piece(0));
    assert!(!active(&links));
    hear(&mut links, piece(PIECE));
    assert!(active(&links), "it holds what both held");
}
