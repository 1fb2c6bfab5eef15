//! Changes that don't end: who is behind catches up while they go on, and all keep on deciding.
//!
//! `CHANGES_RUNS=20 cargo test -p elderpond-consensus --test changes measured -- --nocapture` prints the
//! tables of docs/control/hundreds-of-changes.md.

mod links;

use bytes::Bytes;
use elderpond_consensus::{Action, Event, Found, Mark, Message, Replica, Rules};
use links::{FAST, Links, SLOW, body, ip, stamped};

/// A change each 100 ms, at these hives in turn.
struct Changes {
    base: Bytes,
    next: u64,
    due: u64,
    at: &'static [usize],
}

impl Changes {
    fn of(size: usize, at: &'static [usize]) -> Self {
        Self {
            base: body(size),
            next: 2,
            due: 0,
            at,
        }
    }

    fn go_on(&mut self, links: &mut Links, span: u64) {
        let until = links.now + span;
        while links.now < until {
            if links.now >= self.due {
                self.due = links.now + 100;
                let node = self.at[self.next as usize % self.at.len()];
                links.propose(node, self.next, stamped(&self.base, self.next));
                self.next += 1;
            }
            links.run(self.due.min(until));
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    /// Its disk is lost; it is back after 1 s.
    Wiped,
    /// It ends and is back with its disk after 5 s.
    Restarted,
    /// It stands still for 20 s, then takes in all that waited.
    Thawed,
}

/// What became of the third of three hives.
#[derive(Debug)]
struct Return {
    /// Until it voted, and until it had what was the newest when it was back (ms).
    votes: u64,
    current: u64,
    /// The longest time that it had one version for, afterwards (ms).
    longest: u64,
    /// The others' longest time between two versions, in all (ms).
    others: u64,
}

/// The longest time (ms) between two versions there, from the first of them to now.
fn longest(links: &Links, node: usize) -> u64 {
    let times = links.forced[node].iter().map(|it| it.1);
    let times: Vec<u64> = times.chain([links.now]).collect();
    times
        .windows(2)
        .map(|two| two[1] - two[0])
        .max()
        .unwrap_or(u64::MAX)
}

/// How long a body takes on a way of the third hive (ms).
fn transfer(size: usize, rate: usize) -> u64 {
    (size / rate) as u64
}

fn come_back(trouble: Trouble, size: usize, rate: usize, seed: u64) -> Return {
    let mut changes = Changes::of(size, &[0, 1]);
    let mut links = Links::of(&stamped(&changes.base, 1), 0, Some(0));
    (links.rate, links.seed) = ([FAST, FAST, rate], 1_000 * seed);
    changes.go_on(&mut links, 2_000 + seed * 37 % 100);
    match trouble {
        Trouble::Wiped => links.wipe(2),
        Trouble::Restarted => links.stop(2),
        Trouble::Thawed => links.freeze(2),
    }
    let away = match trouble {
        Trouble::Wiped => 1_000,
        Trouble::Restarted => 5_000,
        Trouble::Thawed => 20_000,
    };
    changes.go_on(&mut links, away + seed * 13 % 100);
    let (since, newest) = (links.now, changes.next - 1);
    match trouble {
        Trouble::Thawed => links.thaw(2),
        _ => links.start(2),
    }
    let mut back = Return {
        votes: 0,
        current: 0,
        longest: 0,
        others: 0,
    };
    let span = 3 * transfer(size, rate) + 4_000;
    while links.now < since + span {
        changes.go_on(&mut links, 10);
        let took = links.now - since;
        if back.votes == 0 && links.replica(2).is_active() {
            back.votes = took;
        }
        if back.current == 0 && links.in_force(2).is_some_and(|it| it.0 >= newest) {
            back.current = took;
            links.forced[2].retain(|it| it.0 >= newest);
        }
    }
    assert!(
        back.votes > 0 && back.current > 0,
        "{trouble:?} {size}: {back:?}"
    );
    back.longest = longest(&links, 2);
    back.others = longest(&links, 0);
    back
}

#[yare::parameterized(
    wiped_500_kb = { Trouble::Wiped, 500_000, SLOW },
    wiped_2_mb = { Trouble::Wiped, 2_000_000, SLOW },
    wiped_8_mb = { Trouble::Wiped, 8_000_000, SLOW },
    wiped_8_mb_fast = { Trouble::Wiped, 8_000_000, FAST },
    restarted_2_mb = { Trouble::Restarted, 2_000_000, SLOW },
    restarted_8_mb_fast = { Trouble::Restarted, 8_000_000, FAST },
    thawed_2_mb = { Trouble::Thawed, 2_000_000, SLOW },
    thawed_8_mb_fast = { Trouble::Thawed, 8_000_000, FAST },
)]
fn given_changes_that_go_on_when_a_hive_is_back_then_it_is_one_transfer_behind_and_stays_so(
    trouble: Trouble,
    size: usize,
    rate: usize,
) {
    let one = transfer(size, rate);
    let back = come_back(trouble, size, rate, 1);
    // Two transfers at most: one was begun when it was back.
    assert!(back.votes <= one * 5 / 4 + 700, "{back:?}");
    assert!(back.current <= 2 * one * 5 / 4 + 700, "{back:?}");
    assert!(back.longest <= one * 5 / 4 + 500, "{back:?}");
    assert!(back.others <= 500, "{back:?}");
}

/// The moment in which it comes back matters: it may be told of two versions, or of one never decided.
#[test]
fn given_a_lost_disk_whenever_it_is_back_then_it_votes_and_has_a_version_after_one_transfer() {
    for seed in 0..10 {
        let back = come_back(Trouble::Wiped, 2_000_000, SLOW, seed);
        let one = transfer(2_000_000, SLOW) * 5 / 4 + 300;
        assert!(back.votes <= one && back.current <= one, "{seed}: {back:?}");
    }
}

#[test]
fn given_a_shorter_version_in_the_middle_then_it_is_there_before_the_rest_would_be() {
    let long = body(2_000_000);
    let mut links = Links::of(&long, 0, None);
    links.run(500);
    links.propose(0, 2, body(300_000));
    links.run(1_300);
    assert_eq!(links.in_force(2).map(|it| it.0), Some(2));
}

/// The longest time between two versions at any of three hives, whose links carry less than the changes.
fn progress(size: usize, at: &'static [usize], down: Option<usize>, span: u64, seed: u64) -> u64 {
    let mut changes = Changes::of(size, at);
    let mut links = Links::of(&stamped(&changes.base, 1), 0, Some(0));
    links.seed = 1_000 * seed;
    (0..3).for_each(|node| links.start(node));
    links.run(links.now + seed * 41 % 300);
    down.into_iter().for_each(|node| links.stop(node));
    changes.go_on(&mut links, span);
    let up = (0..3).filter(|node| Some(*node) != down);
    up.map(|node| longest(&links, node)).max().unwrap_or(0)
}

#[yare::parameterized(
    all_at_one = { 500_000, &[0], None },
    all_at_one_2_mb = { 2_000_000, &[0], None },
    at_each = { 500_000, &[0, 1, 2], None },
    at_each_2_mb = { 2_000_000, &[0, 1, 2], None },
    at_each_8_mb = { 8_000_000, &[0, 1, 2], None },
    at_each_of_two = { 2_000_000, &[0, 1], Some(2) },
)]
fn given_links_that_carry_less_than_the_changes_then_one_after_the_other_is_decided(
    size: usize,
    at: &'static [usize],
    down: Option<usize>,
) {
    let one = transfer(size, SLOW);
    for seed in 0..3 {
        let longest = progress(size, at, down, 6 * one + 5_000, seed);
        assert!(
            longest <= 2 * one + 1_000,
            "{longest} ms, a transfer takes {one}"
        );
    }
}

#[test]
fn given_10_000_versions_and_restarts_then_no_more_is_kept_than_after_ten() {
    let mut changes = Changes::of(1_000, &[0, 1, 2]);
    let mut links = Links::of(&stamped(&changes.base, 1), 0, Some(0));
    links.rate = [FAST; 3];
    let kept = |links: &mut Links| {
        links.run(links.now + 4_000);
        let kept = |node| links.replica(node).kept();
        [kept(0), kept(1), kept(2)]
    };
    changes.go_on(&mut links, 1_000);
    let after_ten = kept(&mut links);
    for nth in 0..100 {
        changes.go_on(&mut links, 10_000);
        let node = nth % 3;
        match nth % 5 {
            0 => links.wipe(node),
            _ => links.stop(node),
        }
        changes.go_on(&mut links, 200);
        links.start(node);
    }
    assert!(changes.next > 10_000 && links.newest_acknowledged() + 1 == changes.next);
    // What numbers were given, and promised, has a bound of its own.
    let most = Rules::default().numbers;
    for (now, ten) in kept(&mut links).iter().zip(&after_ten) {
        let bound = |what: &str| match what {
            "numbers" | "promises" => most,
            _ => ten[what],
        };
        assert!(
            now.iter().all(|(what, much)| *much <= bound(what)),
            "{now:?}, then {ten:?}"
        );
    }
    let disk = |node: usize| links.stored[node].as_ref().expect("it wrote");
    assert!((0..3).all(|node| disk(node).held.len() <= 2));
    // Each version is written once a hive, but where one started or proposed anew.
    let most = 1_000 * changes.next as usize * 21 / 20;
    assert!(
        links.written.iter().all(|it| *it < most),
        "{:?}",
        links.written
    );
}

#[yare::parameterized(stalled = { false }, failing = { true })]
fn given_a_disk_that_takes_nothing_when_marks_come_and_go_then_little_is_kept_of_the_gone(
    fails: bool,
) {
    let found = Found {
        me: ip(0),
        seeds: vec![ip(0)],
        first_start: true,
        seed: 1,
    };
    let rules = Rules {
        marks: 10,
        ..Rules::default()
    };
    let (mut out, mut writes, mut asked) = (Vec::new(), 0, None);
    let mut replica = Replica::new(0, found, rules, None, &mut out);
    for nth in 0..2_000 {
        for action in std::mem::take(&mut out) {
            if let Action::Write { write, .. } = action {
                (writes, asked) = (writes + 1, Some(write));
            }
        }
        // The first ten marks and the head are on disk, then nothing more.
        let ok = nth < 11;
        if let Some(write) = asked.take_if(|_| ok || fails) {
            replica.handle(nth * 1_000, Event::Written { write, ok }, &mut out);
        }
        let (order, key, value) = (nth + 1, format!("{nth}"), vec![]);
        let mark = Mark { order, key, value };
        let (from, message) = (ip(1), Message::Marks(vec![mark]));
        replica.handle(
            nth * 1_000 + 500,
            Event::Message { from, message },
            &mut out,
        );
    }
    assert!(writes >= 10);
    let kept = replica.kept();
    assert!(kept["marks"] == 10 && kept["dropped"] <= 20, "{kept:?}");
}

/// A hive that lacks 600 versions, cut off from all others.
#[test]
fn given_no_contact_when_a_hive_starts_with_an_old_version_then_it_answers_and_ends_nothing() {
    let mut changes = Changes::of(1_000, &[0, 1]);
    let mut links = Links::of(&stamped(&changes.base, 1), 0, Some(0));
    changes.go_on(&mut links, 1_000);
    links.stop(2);
    let old = links.stored[2].as_ref().and_then(|it| it.head.committed);
    let old = old.expect("it had one").version;
    changes.go_on(&mut links, 60_000);
    (0..2).for_each(|node| links.freeze(node));
    links.start(2);
    let asked = links.ask(2);
    let next = changes.next + 5;
    let proposed = links.propose(2, next, stamped(&changes.base, next));
    links.run(links.now + 3_000);
    assert!(!links.read.contains_key(&asked) && !links.acknowledged.contains_key(&proposed));
    assert_eq!(links.in_force(2).map(|it| it.0), Some(old));
    // What it says meanwhile takes nothing back at those that know better; the ledger looks on.
    (0..2).for_each(|node| links.thaw(node));
    let newest = links.in_force(0).map(|it| it.0);
    links.run(links.now + 3_000);
    assert!(newest >= Some(old + 590));
    assert!((0..3).all(|node| links.in_force(node).map(|it| it.0) >= newest));
}

/// p50, p99 and longest of these (ms).
fn ranks(mut all: Vec<u64>) -> String {
    all.sort_unstable();
    let at = |share: usize| all[(all.len() - 1) * share / 100];
    format!("{}, {}, {}", at(50), at(99), at(100))
}

#[test]
fn measured() {
    let runs = std::env::var("CHANGES_RUNS")
        .ok()
        .and_then(|it| it.parse().ok());
    let Some(runs) = runs else { return };
    println!("| size | link | trouble | votes | current | longest, then | others |");
    for size in [500_000, 2_000_000, 8_000_000] {
        for rate in [FAST, SLOW] {
            for trouble in [Trouble::Wiped, Trouble::Restarted, Trouble::Thawed] {
                let all: Vec<Return> = (0..runs)
                    .map(|seed| come_back(trouble, size, rate, seed))
                    .collect();
                let of = |part: fn(&Return) -> u64| ranks(all.iter().map(part).collect());
                println!(
                    "| {} MB | {} Mbit/s | {trouble:?} | {} | {} | {} | {} |",
                    size as f64 / 1e6,
                    rate / 125,
                    of(|it| it.votes),
                    of(|it| it.current),
                    of(|it| it.longest),
                    of(|it| it.others)
                );
            }
        }
    }
    println!("| size | at | down | longest between two decided |");
    for size in [500_000, 2_000_000, 8_000_000] {
        let span = 6 * transfer(size, SLOW) + 5_000;
        for (at, down) in [(&[0][..], None), (&[0, 1, 2], None), (&[0, 1], Some(2))] {
            let all = (0..runs)
                .map(|seed| progress(size, at, down, span, seed))
                .collect();
            println!(
                "| {} MB | {at:?} | {down:?} | {} |",
                size as f64 / 1e6,
                ranks(all)
            );
        }
    }
}
