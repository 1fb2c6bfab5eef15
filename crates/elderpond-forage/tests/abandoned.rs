//! Requests that are taken back from workers, as their clients have left: what they tell of a
//! worker, and what not.

use elderpond_forage::*;
use elderpond_registry::{Change, Entry, Number};

const SLOTS: u16 = 4;
const IDLE: (u16, u16, u16) = (0, 0, SLOTS);

fn line(id: &str) -> Entry {
    Entry {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "home".to_owned(),
        slots: SLOTS,
        cold_ms: 0,
        weight: 100,
    }
}

fn workers(ids: &[&str]) -> KnownWorkers {
    let mut workers = KnownWorkers::new("home", PickTuning::default());
    let whole = Change {
        lines: ids.iter().copied().map(line).collect(),
        ..Change::default()
    };
    workers.replace(0, true, &whole);
    workers
}

fn picked(workers: &KnownWorkers, now: Millis) -> Option<Number> {
    let want = Want {
        service: "s",
        but: &[],
        away_ms: 100.0,
        left_ms: 1000.0,
        free: false,
        safe: true,
    };
    workers.pick(now, &want, &mut Chance::new(now))
}

/// A request that goes to a worker at `now` and ends so after some milliseconds.
fn request(workers: &mut KnownWorkers, now: Millis, worker: Number, (end, took): (End, Millis)) {
    workers.sent(now, worker);
    let met = Met {
        end,
        took_ms: took as f64,
        load: (end == End::Good).then_some(IDLE),
        bytes: 100,
    };
    workers.ended(now + took, worker, met);
}

#[test]
fn given_impatient_clients_then_a_worker_that_never_answers_is_still_left() {
    let silent = Number::of("a");
    let mut workers = workers(&["a", "b"]);
    let mut to_silent = 0;
    for turn in 0..100 {
        let now = turn * 200;
        let worker = picked(&workers, now).expect("a worker");
        let outcome = match worker == silent {
            true => (End::Abandoned, 100),
            false => (End::Good, 100),
        };
        to_silent += u32::from(worker == silent);
        request(&mut workers, now, worker, outcome);
    }
    assert!(to_silent > 0, "it was never asked");
    assert!(
        to_silent < 20,
        "{to_silent} of 100 went where nobody answers"
    );
}

#[test]
fn given_a_worker_that_answers_others_then_clients_that_leave_say_nothing_against_it() {
    let worker = Number::of("a");
    let mut workers = workers(&["a"]);
    for turn in 0..50 {
        let now = turn * 200;
        assert_eq!(picked(&workers, now), Some(worker), "turn {turn}");
        request(&mut workers, now, worker, (End::Abandoned, 90));
        request(&mut workers, now + 100, worker, (End::Good, 90));
    }
    let (_, lines, _) = workers.report(20_000).expect("a report");
    assert_eq!((lines[0].tries, lines[0].failed), (50, 0));
}

#[test]
fn given_a_worker_with_nothing_to_do_then_its_silence_is_not_held_against_it() {
    let worker = Number::of("a");
    let mut workers = workers(&["a"]);
    for turn in 0..5 {
        let now = turn * 60_000;
        assert_eq!(picked(&workers, now), Some(worker), "turn {turn}");
        request(&mut workers, now, worker, (End::Abandoned, 50));
    }
}

#[test]
fn given_clients_that_do_not_wait_for_slow_workers_then_the_usual_time_still_rises() {
    let worker = Number::of("a");
    let mut workers = workers(&["a"]);
    for turn in 0..50 {
        request(&mut workers, turn * 100, worker, (End::Good, 100));
    }
    let before = workers.pace_ms("s");
    for turn in 0..50 {
        request(
            &mut workers,
            10_000 + turn * 300,
            worker,
            (End::Abandoned, 300),
        );
    }
    let after = workers.pace_ms("s");
    assert!(after > 1.5 * before, "{before} ms, then {after} ms");
    assert!(after <= 300.0, "{after} ms: more than was ever waited");
}

#[test]
fn given_requests_taken_back_then_a_worker_has_its_places_again() {
    let worker = Number::of("a");
    let mut workers = workers(&["a"]);
    for _ in 0..SLOTS {
        assert!(!workers.is_full(0, worker));
        workers.sent(0, worker);
    }
    assert!(workers.is_full(0, worker));
    let met = Met {
        end: End::Abandoned,
        took_ms: 10.0,
        load: None,
        bytes: 0,
    };
    workers.ended(10, worker, met);
    assert!(!workers.is_full(10, worker));
}
