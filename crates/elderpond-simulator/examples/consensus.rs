//! Figures of the consensus on a simulated network (0.9 ms one way, 1 Gbit/s where not told otherwise, one
//! message after the other on the way from one hive to another) and disk (0.5 ms a sync); prints the tables
//! of docs/results.md.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use bytes::Bytes;
use elderpond_consensus::{Action, Event, Found, Message, Record, Replica, Rules, Stored};
use elderpond_control_wire::{HiveToHive, encode};

const WAY: u64 = 900;
const SYNC: u64 = 500;

fn ip(node: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, node as u8 + 1)
}

enum Coming {
    Message(usize, usize, Message),
    Written(usize, u64),
}

#[derive(Default)]
struct Node {
    replica: Option<Replica>,
    stored: Option<Stored>,
    writing: Option<(u64, Record)>,
    slower: u64,
}

/// Microseconds; bytes and writes since they were last set to zero.
struct World {
    now: u64,
    tick: u64,
    nodes: Vec<Node>,
    coming: BTreeMap<(u64, u64), Coming>,
    count: u64,
    acknowledged: BTreeMap<u64, u64>,
    /// Megabits a second of each way, and until when it is taken.
    mbit: u64,
    taken: BTreeMap<(usize, usize), u64>,
    sent: u64,
    largest: u64,
    arrived: Vec<u64>,
    written: u64,
    writes: u64,
    spent: Vec<std::time::Duration>,
}

impl World {
    fn of(voters: usize) -> Self {
        let mut world = Self {
            now: 0,
            tick: 50_000,
            nodes: (0..voters)
                .map(|_| Node {
                    slower: 1,
                    ..Node::default()
                })
                .collect(),
            coming: BTreeMap::new(),
            count: 0,
            acknowledged: BTreeMap::new(),
            mbit: 1_000,
            taken: BTreeMap::new(),
            sent: 0,
            largest: 0,
            arrived: vec![0; voters],
            written: 0,
            writes: 0,
            spent: vec![Default::default(); voters],
        };
        (0..voters).for_each(|node| world.start(node, true));
        world.run(3_000_000);
        world
    }

    fn start(&mut self, node: usize, first_start: bool) {
        let rules = Rules {
            minimum_voters: self.nodes.len(),
            ..Rules::default()
        };
        let seeds = (0..3).map(ip).collect();
        let seed = 77 + self.now + node as u64;
        let found = Found {
            me: ip(node),
            seeds,
            first_start,
            seed,
        };
        let mut out = Vec::new();
        let stored = self.nodes[node].stored.clone();
        self.nodes[node].replica = Some(Replica::new(
            self.now / 1000,
            found,
            rules,
            stored,
            &mut out,
        ));
        self.act(node, out);
        self.meet();
    }

    fn meet(&mut self) {
        let up = |it: &usize| self.nodes[*it].replica.is_some();
        let alive: Vec<Ipv4Addr> = (0..self.nodes.len()).filter(up).map(ip).collect();
        for node in 0..self.nodes.len() {
            self.give(node, Event::Alive(alive.clone()));
        }
    }

    fn stop(&mut self, node: usize) {
        self.nodes[node] = Node {
            slower: 1,
            ..Node::default()
        };
        self.meet();
    }

    fn give(&mut self, node: usize, event: Event) {
        let began = std::time::Instant::now();
        let now = self.now / 1000;
        let mut out = Vec::new();
        if let Some(replica) = &mut self.nodes[node].replica {
            replica.handle(now, event, &mut out);
        }
        self.spent[node] += began.elapsed();
        self.act(node, out);
    }

    fn later(&mut self, wait: u64, coming: Coming) {
        self.count += 1;
        self.coming.insert((self.now + wait, self.count), coming);
    }

    fn act(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let size = encode(&HiveToHive::Consensus(message.clone())).len() as u64;
                    let to = usize::from(to.octets()[3]) - 1;
                    if to < self.nodes.len() {
                        self.sent += size;
                        self.largest = self.largest.max(size);
                        self.arrived[to] += size;
                        let taken = self.taken.entry((node, to)).or_default();
                        *taken = self.now.max(*taken) + size * 8 / self.mbit;
                        let wait = *taken - self.now + WAY;
                        self.later(wait, Coming::Message(node, to, message));
                    }
                }
                Action::Write { write, record } => {
                    self.writes += 1;
                    self.written += encode(&record).len() as u64;
                    let wait = SYNC * self.nodes[node].slower;
                    self.nodes[node].writing = Some((write, record));
                    self.later(wait, Coming::Written(node, write));
                }
                Action::Acknowledged { ticket } => {
                    self.acknowledged.insert(ticket, self.now);
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            let next = self
                .coming
                .first_key_value()
                .map_or(u64::MAX, |(key, _)| key.0);
            if next.min(self.tick) > end {
                self.now = end;
                break;
            }
            if self.tick < next {
                self.now = self.tick;
                self.tick += 50_000;
                (0..self.nodes.len()).for_each(|node| self.give(node, Event::Tick));
                continue;
            }
            let Some(((at, _), coming)) = self.coming.pop_first() else {
                break;
            };
            self.now = at;
            match coming {
                Coming::Message(from, to, message) => {
                    let from = ip(from);
                    self.give(to, Event::Message { from, message });
                }
                Coming::Written(node, write) => {
                    if let Some((_, record)) = self.nodes[node].writing.take_if(|it| it.0 == write)
                    {
                        put(&mut self.nodes[node].stored, record);
                        self.give(node, Event::Written { write, ok: true });
                    }
                }
            }
        }
    }

    fn mark(&mut self, marks: usize) {
        for mark in 0..marks {
            let (ticket, key) = (1 << 32 | mark as u64, format!("i-{mark:08x}@worker"));
            let value = b"g".to_vec();
            self.give(0, Event::Mark { ticket, key, value });
            self.run(1_000);
        }
    }

    fn propose(&mut self, node: usize, version: u64, body: Bytes) {
        let ticket = version;
        self.give(
            node,
            Event::Propose {
                ticket,
                version,
                body,
            },
        );
    }
}

fn put(stored: &mut Option<Stored>, record: Record) {
    if let Some(head) = record.head {
        let old = stored.take();
        *stored = Some(match old {
            Some(old) => Stored { head, ..old },
            None => Stored {
                head,
                held: vec![],
                marks: vec![],
                numbers: None,
            },
        });
    }
    let Some(stored) = stored else { return };
    if let Some(held) = record.held {
        stored.held = vec![held];
    }
    stored.marks.extend(record.marks);
    if let Some(numbers) = record.numbers {
        stored.numbers.get_or_insert_default().apply(numbers);
    }
}

/// A configuration of so many routes.
fn configuration(version: u64, routes: usize) -> Bytes {
    let rules: Vec<String> = (0..routes)
        .map(|route| {
            format!(
                r#"{{"name":"route-{route}","kind":"safe","target-latency-s":0.4,
                "match-condition":{{"path-prefix":"/route-{route}/"}},
                "route-action":{{"service":"catalogo","timeout-s":1.0,"attempts":2}}}}"#
            )
        })
        .collect();
    let text = format!(
        r#"{{"version-number":"r{version}","listener-list":[{{"host":"h","rule-set":[{}]}}],
        "cluster-list":[{{"name":"catalogo","health-check-path":"/health","connection-limit":110}}]}}"#,
        rules.join(",")
    );
    text.into()
}

fn acknowledge(voters: usize, what: &str) {
    let mut world = World::of(voters);
    match what {
        "one voter gone" => world.stop(voters - 1),
        "a disk 30 times slower" => world.nodes[voters - 1].slower = 30,
        _ => {}
    }
    world.run(1_000_000);
    (world.sent, world.written, world.writes) = (0, 0, 0);
    let there = if what == "one voter gone" {
        voters - 1
    } else {
        voters
    };
    let (most, began) = (999_usize, world.now);
    let mut times: Vec<u64> = Vec::new();
    for nth in 0..most {
        let (version, since) = (nth as u64 + 1, world.now);
        world.propose(nth % there, version, configuration(version, 10));
        world.run(100_000 + nth as u64 % 50);
        times.push(
            world
                .acknowledged
                .get(&version)
                .map_or(u64::MAX, |at| at - since),
        );
    }
    times.sort_unstable();
    let (sent, written, writes) = (world.sent, world.written, world.writes);
    // What beats cost in the same time.
    let span = world.now - began;
    world.sent = 0;
    world.run(span);
    let per = |sum: u64| sum as f64 / most as f64;
    println!(
        "| {voters} | {what} | {:.1} | {:.1} | {:.0} | {:.1} | {:.1} |",
        times[most / 2] as f64 / 1000.0,
        times[most * 99 / 100] as f64 / 1000.0,
        per(sent.saturating_sub(world.sent)) / 1024.0,
        per(written) / 1024.0,
        per(writes)
    );
}

/// A hive of three comes back with an empty disk.
fn catch_up(routes: usize, marks: usize, mbit: u64) {
    let mut world = World::of(3);
    let body = configuration(1, routes);
    let size = body.len();
    world.propose(0, 1, body);
    world.mark(marks);
    world.run(2_000_000);
    world.stop(2);
    world.run(1_000_000);
    world.mbit = mbit;
    (world.arrived[2], world.spent[2], world.largest) = (0, Default::default(), 0);
    let since = world.now;
    world.start(2, false);
    let mut held = 0;
    loop {
        world.run(1_000);
        let replica = world.nodes[2].replica.as_ref().expect("it is up");
        if held == 0 && replica.in_force().is_some() {
            held = world.now - since;
        }
        let head = world.nodes[2].stored.as_ref().map(|stored| &stored.head);
        if head.is_some_and(|head| head.active_in == 2) {
            break;
        }
    }
    println!(
        "| {routes} | {marks} | {mbit} | {:.1} | {:.0} | {:.0} | {:.1} | {:.1} | {:.2} |",
        size as f64 / 1024.0,
        held as f64 / 1000.0,
        (world.now - since) as f64 / 1000.0,
        world.arrived[2] as f64 / 1024.0,
        world.largest as f64 / 1024.0,
        world.spent[2].as_secs_f64() * 1000.0
    );
}

/// One of three silently lacks one mark.
fn diverge(marks: usize) {
    let mut world = World::of(3);
    world.mark(marks);
    world.run(2_000_000);
    let mut stored = world.nodes[2].stored.clone();
    let lost = stored.as_mut().and_then(|stored| stored.marks.pop());
    world.stop(2);
    world.nodes[2].stored = stored;
    world.start(2, false);
    world.largest = 0;
    let before = world.sent;
    let (since, mut there) = (world.now, 0);
    while world.now < since + 3_000_000 {
        world.run(1_000);
        let replica = world.nodes[2].replica.as_ref().expect("it is up");
        if there == 0
            && lost
                .as_ref()
                .is_some_and(|it| replica.marked(&it.key).is_some())
        {
            there = world.now - since;
        }
    }
    let sent = world.sent - before;
    let before = world.sent;
    world.run(3_000_000);
    println!(
        "| {marks} | {:.0} | {:.1} | {:.1} |",
        there as f64 / 1000.0,
        sent.saturating_sub(world.sent - before) as f64 / 1024.0,
        world.largest as f64 / 1024.0
    );
}

/// A proposal is acknowledged over slow ways, or refused.
fn propose_slowly(routes: usize, mbit: u64) {
    let mut world = World::of(3);
    world.mbit = mbit;
    (world.sent, world.largest) = (0, 0);
    let since = world.now;
    world.propose(0, 1, configuration(1, routes));
    let mut everywhere = 0;
    while everywhere == 0 && world.now < since + 60_000_000 {
        world.run(1_000);
        let there = |node: &Node| {
            node.replica
                .as_ref()
                .is_some_and(|it| it.in_force().is_some())
        };
        if world.nodes.iter().all(there) {
            everywhere = world.now - since;
        }
    }
    let acknowledged = match world.acknowledged.get(&1) {
        Some(at) => format!("{:.0}", (at - since) as f64 / 1000.0),
        None => "refused".into(),
    };
    println!(
        "| {routes} | {mbit} | {acknowledged} | {:.0} | {:.1} | {:.1} |",
        everywhere as f64 / 1000.0,
        world.sent as f64 / 1024.0,
        world.largest as f64 / 1024.0
    );
}

fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|it| it.parse::<f64>().ok());
    pages.unwrap_or_default() * 4.0
}

fn memory(routes: usize, marks: usize) {
    const MANY: usize = 20;
    let bodies: Vec<Bytes> = (0..MANY).map(|_| configuration(1, routes)).collect();
    let size = bodies[0].len();
    let before = resident();
    let mut kept = Vec::new();
    for body in bodies {
        let found = Found {
            me: ip(0),
            seeds: vec![ip(0)],
            first_start: true,
            seed: 1,
        };
        let mut out = Vec::new();
        let mut replica = Replica::new(0, found, Rules::default(), None, &mut out);
        let mut step = |event: Option<Event>| {
            let mut out = Vec::new();
            if let Some(event) = event {
                replica.handle(1, event, &mut out);
            }
            while let Some(write) = out.iter().find_map(|action| match action {
                Action::Write { write, .. } => Some(*write),
                _ => None,
            }) {
                out.clear();
                replica.handle(1, Event::Written { write, ok: true }, &mut out);
            }
        };
        replica_written(&out, &mut step);
        step(Some(Event::Propose {
            ticket: 1,
            version: 1,
            body,
        }));
        for mark in 0..marks {
            let (ticket, key) = (2 + mark as u64, format!("i-{mark:08x}@worker"));
            step(Some(Event::Mark {
                ticket,
                key,
                value: b"g".to_vec(),
            }));
        }
        assert!(replica.in_force().is_some());
        kept.push(replica);
    }
    let own = (resident() - before) / MANY as f64;
    println!(
        "| {routes} | {marks} | {:.1} | {own:.0} |",
        size as f64 / 1024.0
    );
    drop(kept);
}

fn replica_written(out: &[Action], step: &mut impl FnMut(Option<Event>)) {
    for action in out {
        if let Action::Write { write, .. } = action {
            step(Some(Event::Written {
                write: *write,
                ok: true,
            }));
        }
    }
}

fn main() {
    println!("| voters | | median, ms | p99, ms | KB sent a version | KB written | writes |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for voters in [3, 5] {
        for what in ["calm", "one voter gone", "a disk 30 times slower"] {
            acknowledge(voters, what);
        }
    }
    print!(
        "\n| routes | marks | Mbit/s | KB | in force after, ms | votes after, ms | KB received "
    );
    println!("| largest message, KB | processor, ms |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for routes in [10, 100, 1_000, 2_000, 10_000] {
        catch_up(routes, 0, 1_000);
    }
    for (routes, marks) in [(2_000, 0), (10_000, 0), (10_000, 8_192)] {
        catch_up(routes, marks, 10);
    }
    println!(
        "\n| routes | Mbit/s | acknowledged, ms | in force everywhere, ms | KB sent | largest, KB |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for (routes, mbit) in [(2_000, 1_000), (10_000, 1_000), (2_000, 10), (10_000, 10)] {
        propose_slowly(routes, mbit);
    }
    println!(
        "\n| marks, one of them missing at one | there after, ms | KB sent | largest message, KB |"
    );
    println!("| --- | --- | --- | --- |");
    for marks in [100, 8_192] {
        diverge(marks);
    }
    println!("\n| routes | marks | KB of configuration | KB of memory beside it |");
    println!("| --- | --- | --- | --- |");
    for (routes, marks) in [(10, 0), (10, 8_192), (10_000, 0), (10_000, 8_192)] {
        memory(routes, marks);
    }
}
