//! What a key costs: delay, syncs and bytes, in virtual time, at several rates.
//!
//! `cargo run --release -p elderpond-wax --example cost`
//!
//! Three hives in three zones, 0.9 ms one way between zones and from a forager to its hive, 0.5 ms a sync,
//! one sync at a time; answers of workers after 160 ms, with 1 kB of body. No time is charged for
//! computing.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::Ipv4Addr;

use elderpond_consensus::{Digest, Voter, VoterSet};
use elderpond_wax::{Action, Answer, Claim, Event, Found, Outcome, Owner, Rules, Wax, Word};

const WAY: u64 = 900;
const SYNC: u64 = 500;
const WORK: u64 = 160_000;
const SECONDS: u64 = 30;

struct Fleet {
    now: u64,
    hives: BTreeMap<Ipv4Addr, Wax>,
    /// By time (us) and order.
    due: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, (Ipv4Addr, Event)>,
    next: u64,
    syncs: u64,
    sent: u64,
    written: u64,
    /// When each word was said (us), and its answer's time.
    answered: BTreeMap<u64, (u64, Answer)>,
}

impl Fleet {
    fn at(&mut self, time: u64, node: Ipv4Addr, event: Event) {
        self.next += 1;
        self.due.push(Reverse((time, self.next)));
        self.events.insert(self.next, (node, event));
    }

    fn run_until(&mut self, end: u64) {
        while let Some(&Reverse((time, id))) = self.due.peek() {
            if time > end {
                break;
            }
            self.due.pop();
            let Some((node, event)) = self.events.remove(&id) else {
                continue;
            };
            self.now = time;
            let mut out = Vec::new();
            if let Some(hive) = self.hives.get_mut(&node) {
                hive.handle(time / 1_000, event, &mut out);
            }
            for action in out {
                match action {
                    Action::Send { to, message } => {
                        self.sent += postcard::to_stdvec(&message).map_or(0, |it| it.len() as u64);
                        self.at(
                            time + WAY,
                            to,
                            Event::Message {
                                from: node,
                                message,
                            },
                        );
                    }
                    Action::Write { write, record } => {
                        self.syncs += 1;
                        self.written +=
                            postcard::to_stdvec(&record).map_or(0, |it| it.len() as u64);
                        self.at(time + SYNC, node, Event::Written { write, ok: true });
                    }
                    Action::Answered { ticket, answer } => {
                        self.answered.insert(ticket, (time, answer));
                    }
                    Action::Log(_) => {}
                }
            }
        }
        self.now = end;
    }
}

fn ip(node: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, node)
}

fn millis(sorted: &[u64], share: f64) -> f64 {
    let at = (sorted.len() as f64 * share) as usize;
    sorted[at.min(sorted.len() - 1)] as f64 / 1_000.0
}

fn play(rate: u64) {
    let voters = (1..=3).map(|node| Voter {
        node: ip(node),
        disk: 0,
    });
    let set = VoterSet {
        epoch: 1,
        voters: voters.collect(),
        previous: Vec::new(),
    };
    let mut fleet = Fleet {
        now: 0,
        hives: BTreeMap::new(),
        due: BinaryHeap::new(),
        events: BTreeMap::new(),
        next: 0,
        syncs: 0,
        sent: 0,
        written: 0,
        answered: BTreeMap::new(),
    };
    for node in 1..=3 {
        let found = Found {
            me: ip(node),
            disk: 0,
            active_in: 1,
            seed: u64::from(node),
        };
        let rules = Rules {
            keys: usize::MAX,
            bytes: usize::MAX,
            ..Rules::default()
        };
        let wax = Wax::new(0, found, rules, None);
        fleet.hives.insert(ip(node), wax);
        fleet.at(0, ip(node), Event::Voters(set.clone()));
        for tick in 0..(SECONDS + 2) * 50 {
            fleet.at(tick * 20_000, ip(node), Event::Tick);
        }
    }
    fleet.run_until(1_000_000);
    (fleet.syncs, fleet.sent, fleet.written) = (0, 0, 0);

    // Orders come in evenly with a jitter, at hives in turn; the outcome 160 ms after the grant.
    let keys = rate * SECONDS;
    let mut random = 1_u64;
    let mut said = BTreeMap::new();
    for key in 0..keys {
        random = random.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(1);
        let jitter = (random >> 33) % (1_000_000 / rate);
        let at = 1_000_000 + key * 1_000_000 / rate + jitter;
        let owner = Owner {
            forager: 1,
            attempt: key,
        };
        let claim = Word::Claim(Claim {
            owner,
            order: Digest::of(&key.to_le_bytes()),
            tenant: "school.example".into(),
            route: "license".into(),
            patience: 1_200,
        });
        let body = vec![b'x'; 1_000].into();
        let headers = vec![("content-type".to_owned(), "application/json".into())];
        let done = Word::Done(owner, Outcome::new(201, headers, body));
        for (ticket, word, at) in [(2 * key, claim, at), (2 * key + 1, done, at + WORK)] {
            said.insert(ticket, at);
            let event = Event::Say {
                ticket,
                key: format!("school.example/{key:032}"),
                word,
                wait: 0,
            };
            fleet.at(at + WAY, ip(1 + (key % 3) as u8), event);
        }
    }
    fleet.run_until(1_000_000 * (SECONDS + 2));
    let mut delays = [Vec::new(), Vec::new()];
    for (ticket, at) in said {
        let (time, answer) = fleet.answered.remove(&ticket).expect("each is answered");
        let good = [Answer::Granted, Answer::Recorded];
        assert_eq!(answer, good[(ticket % 2) as usize]);
        delays[(ticket % 2) as usize].push(time + WAY - at);
    }
    delays.iter_mut().for_each(|delays| delays.sort_unstable());
    let per = |count: u64| count as f64 / keys as f64;
    println!(
        "| {rate} | {:.1}, {:.1} | {:.1}, {:.1} | {:.2} | {:.0} | {:.0} |",
        millis(&delays[0], 0.5),
        millis(&delays[0], 0.99),
        millis(&delays[1], 0.5),
        millis(&delays[1], 0.99),
        per(fleet.syncs) / 3.0,
        per(fleet.sent),
        per(fleet.written) / 3.0,
    );
}

fn main() {
    println!(
        "| keys a second | claim ms, p99 | outcome ms, p99 | syncs a key and disk | bytes sent a key \
         | bytes written a key and disk |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    [1, 10, 66, 300, 1_000, 3_000].into_iter().for_each(play);
}
