//! Ballots of an older set of voters against those of a newer one.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;

use bytes::Bytes;
use elderpond_consensus::{
    Action, Ballot, Digest, Event, Found, Head, Held, Message, Replica, Rules, Stored, Tag, Voter,
    VoterSet,
};

fn ip(node: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, node)
}

/// Whether a message (from, to) arrives.
type Passes<'a> = &'a dyn Fn(u8, u8, &Message) -> bool;

const ALL: Passes = &|_, _, _| true;

/// Five replicas whose writes last at once; each message passes or is lost, as the story says.
struct World {
    now: u64,
    replicas: BTreeMap<u8, Replica>,
    down: &'static [u8],
    queue: VecDeque<(u8, u8, Message)>,
    acknowledged: Vec<u64>,
    read: Option<(u64, Bytes)>,
    /// The bodies that were in force, by version.
    bodies: BTreeMap<u64, BTreeSet<Bytes>>,
}

impl World {
    fn founded_by_three_of_five() -> Self {
        let mut world = Self {
            now: 1_000,
            replicas: BTreeMap::new(),
            down: &[4, 5],
            queue: VecDeque::new(),
            acknowledged: Vec::new(),
            read: None,
            bodies: BTreeMap::new(),
        };
        // Who is cut off keeps its vote: others join beside it.
        let rules = Rules {
            minimum_voters: 3,
            gone: 60_000,
            ..Rules::default()
        };
        for node in 1..=5 {
            let found = Found {
                me: ip(node),
                seeds: vec![ip(1), ip(2), ip(3)],
                first_start: node <= 3,
                seed: node.into(),
            };
            let mut out = Vec::new();
            let replica = Replica::new(world.now, found, rules.clone(), None, &mut out);
            world.replicas.insert(node, replica);
            world.act(node, out);
        }
        for node in 1..=3 {
            world.event(node, Event::Alive(vec![ip(1), ip(2), ip(3)]));
        }
        world.pass(1_500, ALL);
        world
    }

    /// The second set's four voters, who hold these bodies of version 11 by these rounds of the first.
    fn of_a_second_set(held: [(u64, &'static str); 4]) -> Self {
        let voters: Vec<Voter> = (1..=4)
            .map(|node| Voter {
                node: ip(node),
                disk: 0,
            })
            .collect();
        let mut world = Self {
            now: 1_000,
            replicas: BTreeMap::new(),
            down: &[5],
            queue: VecDeque::new(),
            acknowledged: Vec::new(),
            read: None,
            bodies: BTreeMap::new(),
        };
        for (node, (round, body)) in (1..=4).zip(held) {
            let tag = Tag {
                version: 11,
                ballot: Ballot {
                    round: (1 << 48) + round,
                    node: 1,
                    life: round,
                },
                digest: Digest::of(body.as_bytes()),
            };
            let head = Head {
                disk: 0,
                set: Some(VoterSet {
                    epoch: 2,
                    voters: voters.clone(),
                    previous: voters.clone(),
                }),
                active_in: 2,
                ceiling: (1 << 48) + (1 << 32),
                promised: Ballot::default(),
                accepted: None,
                committed: None,
            };
            let stored = Stored {
                head,
                held: vec![Held {
                    tag,
                    body: Bytes::from(body),
                }],
                marks: vec![],
                numbers: None,
            };
            let found = Found {
                me: ip(node),
                seeds: vec![ip(1), ip(2), ip(3)],
                first_start: false,
                seed: node.into(),
            };
            let mut out = Vec::new();
            let rules = Rules::default();
            let replica = Replica::new(world.now, found, rules, Some(stored), &mut out);
            world.replicas.insert(node, replica);
            world.act(node, out);
        }
        for node in 1..=4 {
            world.event(node, Event::Alive((1..=4).map(ip).collect()));
        }
        world
    }

    fn event(&mut self, node: u8, event: Event) {
        if self.down.contains(&node) {
            return;
        }
        let mut out = Vec::new();
        let replica = self.replicas.get_mut(&node).expect("one of five");
        replica.handle(self.now, event, &mut out);
        self.act(node, out);
    }

    fn act(&mut self, node: u8, out: Vec<Action>) {
        let mut out = VecDeque::from(out);
        while let Some(action) = out.pop_front() {
            match action {
                Action::Send { to, message } => {
                    self.queue.push_back((node, to.octets()[3], message));
                }
                Action::Write { write, .. } => {
                    let mut more = Vec::new();
                    let replica = self.replicas.get_mut(&node).expect("one of five");
                    replica.handle(self.now, Event::Written { write, ok: true }, &mut more);
                    out.extend(more);
                }
                Action::Acknowledged { ticket } => self.acknowledged.push(ticket),
                Action::ReadDone { held, .. } => self.read = held,
                Action::InForce { version, body } => {
                    self.bodies.entry(version).or_default().insert(body);
                }
                _ => {}
            }
        }
    }

    fn deliver(&mut self, passes: Passes) {
        while let Some((from, to, message)) = self.queue.pop_front() {
            if passes(from, to, &message) {
                let from = ip(from);
                self.event(to, Event::Message { from, message });
            }
        }
    }

    fn pass(&mut self, ms: u64, passes: Passes) {
        for _ in 0..ms / 50 {
            self.now += 50;
            (1..=5).for_each(|node| self.event(node, Event::Tick));
            self.deliver(passes);
        }
    }

    fn propose(&mut self, node: u8, version: u64, body: &'static str, passes: Passes) {
        let ticket = version * 10 + u64::from(node);
        let body = Bytes::from(body);
        let event = Event::Propose {
            ticket,
            version,
            body,
        };
        self.event(node, event);
        self.deliver(passes);
    }
}

/// Two of five held "low" in the first set, and one "high", by a ballot which a majority had promised that
/// did not know of "low". Neither was decided; of the four of the next set one more took "low" over.
#[test]
fn given_a_majority_that_took_over_what_nobody_decided_when_read_twice_then_one_body_is_told() {
    let held = [(5, "low"), (5, "low"), (5, "low"), (7, "high")];
    let mut world = World::of_a_second_set(held);
    let without = |node: u8| move |from: u8, to: u8, _: &Message| from != node && to != node;
    world.event(1, Event::Read { ticket: 1 });
    world.deliver(&without(4));
    if world.read.is_none() {
        world.pass(200, &without(4));
    }
    let first = world.read.take();
    assert!(first.is_some());
    world.event(4, Event::Read { ticket: 2 });
    world.pass(700, &without(1));
    assert_eq!(world.read, first);
}

#[test]
fn given_a_voter_left_with_a_body_by_a_high_round_when_a_new_set_acknowledges_another_then_that_lasts()
 {
    let mut world = World::founded_by_three_of_five();
    // Rounds rise at 1 and 2, and 3 hears of none; at last 1 is left with a body that nobody else holds.
    let without_3 = |from: u8, to: u8, _: &Message| (from == 3) == (to == 3);
    for version in 1..=10 {
        world.propose(1, version, "old", &without_3);
        world.pass(50, &without_3);
    }
    let promised = |from: u8, to: u8, message: &Message| {
        without_3(from, to, message) && !matches!(message, Message::Accept { .. })
    };
    world.propose(1, 11, "alone", &promised);

    // 1 is cut off and two hives come: 3 has them made voters, while the beats of 2 are lost.
    world.down = &[];
    let turnover = |from: u8, to: u8, message: &Message| {
        let lost = from == 2 || (from > 3 && to == 2);
        from != 1 && to != 1 && !(lost && matches!(message, Message::Beat(_)))
    };
    for node in 3..=5 {
        let alive = vec![ip(2), ip(3), ip(4), ip(5)];
        world.event(node, Event::Alive(alive));
    }
    world.pass(1_000, &turnover);
    assert!([3, 4, 5].iter().all(|node| {
        let replica = &world.replicas[node];
        replica.epoch() == 2 && replica.is_active()
    }));
    let three = |from: u8, to: u8, message: &Message| {
        from > 2 && to > 2 && !matches!(message, Message::Commit(_))
    };
    world.propose(4, 11, "acknowledged", &three);
    assert!(world.acknowledged.contains(&114));

    // Two of five are lost, and 1 is back.
    world.down = &[3, 4];
    for node in [1, 2, 5] {
        world.event(node, Event::Alive(vec![ip(1), ip(2), ip(5)]));
    }
    world.pass(3_000, ALL);
    world.event(2, Event::Read { ticket: 1 });
    world.pass(1_000, ALL);
    assert_eq!(world.read, Some((11, Bytes::from("acknowledged"))));
}

#[test]
fn given_members_that_copied_a_body_of_an_older_set_when_read_then_it_is_not_taken_for_decided() {
    let mut world = World::founded_by_three_of_five();
    // Two bodies of one number: 2 is left with the one, 3 with the other, by a higher ballot; 1 with none.
    let not_held = |from: u8, to: u8, message: &Message| match message {
        Message::Accept { .. } => false,
        _ => from != 3 && to != 3,
    };
    world.propose(2, 1, "copied", &not_held);
    let without_2 = |from: u8, to: u8, message: &Message| match message {
        Message::Accept { .. } => false,
        _ => from != 2 && to != 2,
    };
    world.propose(3, 1, "higher", &without_2);
    // Two more come while 3 is cut off: 1, 2, 4 and 5 take over what 1 and 2 hold, and later 3 what it holds
    // too.
    world.down = &[];
    for node in [1, 2, 4, 5] {
        world.event(node, Event::Alive(vec![ip(1), ip(2), ip(4), ip(5)]));
    }
    let quiet = |message: &Message| {
        let asks = matches!(message, Message::Prepare { .. } | Message::Read { .. });
        !asks && !matches!(message, Message::Accept { .. })
    };
    let joining = |from: u8, to: u8, message: &Message| from != 3 && to != 3 && quiet(message);
    world.pass(1_500, &joining);
    let returning = |_: u8, _: u8, message: &Message| quiet(message);
    world.pass(1_500, &returning);
    assert!((1..=5).all(|node| {
        let replica = &world.replicas[&node];
        replica.epoch() == 2 && replica.is_active()
    }));
    assert!(world.bodies.is_empty());
    // Four of five have the first body on disk, by one ballot.
    world.event(1, Event::Read { ticket: 1 });
    world.pass(500, &|from, to, message| {
        let tells = matches!(message, Message::Beat(_) | Message::Commit(_));
        let others_ask = from != 1 && matches!(message, Message::Read { .. });
        from != 3 && to != 3 && !tells && !others_ask
    });
    assert_eq!(world.read, Some((1, Bytes::from("copied"))));
    // The first is lost with what it alone knows, and 3 is asked.
    world.down = &[1, 5];
    world.event(3, Event::Read { ticket: 2 });
    world.pass(1_500, ALL);
    assert_eq!(world.read, Some((1, Bytes::from("copied"))));
    let bodies = &world.bodies[&1];
    assert_eq!(bodies.len(), 1, "one number, one body: {bodies:?}");
}

/// One of three, started with that on its disk; the ballot of its first proposal, and its disk then.
fn first_ballot(stored: Option<Stored>, life: u64) -> (Ballot, Stored) {
    let found = Found {
        me: ip(1),
        seeds: vec![ip(1), ip(2), ip(3)],
        first_start: stored.is_none(),
        seed: life,
    };
    let mut out = Vec::new();
    let mut replica = Replica::new(1_000, found, Rules::default(), stored.clone(), &mut out);
    let (ticket, version, body) = (1, 1, Bytes::new());
    let propose = Event::Propose {
        ticket,
        version,
        body,
    };
    replica.handle(1_000, propose, &mut out);
    let (mut stored, mut ballot, mut out) = (stored, None, VecDeque::from(out));
    while let Some(action) = out.pop_front() {
        match action {
            Action::Write { write, record } => {
                let marks = vec![];
                stored = record.head.map(|head| Stored {
                    head,
                    held: vec![],
                    marks,
                    numbers: None,
                });
                let mut more = Vec::new();
                replica.handle(1_000, Event::Written { write, ok: true }, &mut more);
                out.extend(more);
            }
            Action::Send {
                message: Message::Prepare { ballot: first, .. },
                ..
            } => ballot = Some(first),
            _ => {}
        }
    }
    (ballot.expect("it proposes"), stored.expect("it wrote"))
}

#[test]
fn given_100_000_starts_in_one_set_then_its_rounds_stay_below_those_of_the_next() {
    let (mut last, mut stored) = first_ballot(None, 1);
    for life in 2..100_000 {
        let (ballot, next) = first_ballot(Some(stored), life);
        assert!(ballot > last, "a start goes back");
        (last, stored) = (ballot, next);
    }
    stored.head.set.as_mut().expect("founded").epoch = 2;
    stored.head.active_in = 2;
    stored.head.ceiling = 0;
    let (next, _) = first_ballot(Some(stored), 1);
    assert!(next > last, "{next:?} {last:?}");
}

#[yare::parameterized(
    first = { 1 }, many = { 32_767 }, more = { 32_768 }, more_still = { 65_536 }, millions = { 8_000_000 },
)]
fn given_many_sets_then_the_ballots_of_each_are_above_those_of_the_one_before(epoch: u64) {
    let (_, stored) = first_ballot(None, 1);
    let of = |epoch: u64| {
        let mut stored = stored.clone();
        stored.head.set.as_mut().expect("founded").epoch = epoch;
        stored.head.active_in = epoch;
        stored.head.ceiling = 0;
        first_ballot(Some(stored), 1).0.round
    };
    // With room for millions of starts between them.
    assert!(of(epoch + 1) - of(epoch) >= 1 << 40);
}
