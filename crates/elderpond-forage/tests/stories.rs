//! What a forager decides: given what it knows, when something happens, then what it does.

use elderpond_flora::Kind;
use elderpond_forage::*;
use elderpond_registry::{Change, Entry, Number, State};
use yare::parameterized;

fn line(id: &str, zone: &str, weight: u8) -> Entry {
    Entry {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: zone.to_owned(),
        slots: 4,
        cold_ms: 0,
        weight,
    }
}

fn workers(lines: Vec<Entry>) -> KnownWorkers {
    let mut workers = KnownWorkers::new("home", PickTuning::default());
    let whole = Change {
        lines,
        ..Change::default()
    };
    workers.replace(0, true, &whole);
    workers
}

fn want<'a>(but: &'a [Number]) -> Want<'a> {
    Want {
        service: "s",
        but,
        away_ms: 140.0,
        left_ms: 1000.0,
        free: false,
        safe: true,
    }
}

fn met(end: End, load: Option<(u16, u16, u16)>) -> Met {
    Met {
        end,
        took_ms: 100.0,
        load,
        bytes: 5000,
    }
}

fn picked(workers: &KnownWorkers, now: u64, but: &[Number]) -> Option<Number> {
    workers.pick(now, &want(but), &mut Chance::new(now))
}

#[test]
fn own_zone_first_while_it_has_room_then_elsewhere() {
    let (home, away) = (Number::of("a"), Number::of("b"));
    let mut workers = workers(vec![line("a", "home", 100), line("b", "away", 100)]);
    let mut went = [0, 0];
    for _ in 0..12 {
        let number = picked(&workers, 0, &[]).expect("there is room");
        workers.sent(0, number);
        went[usize::from(number == away)] += 1;
    }
    assert!(went[0] > went[1] && went[1] > 0, "{went:?}");
    assert_eq!(picked(&workers, 0, &[home]), Some(away));
}

#[parameterized(large = { 5000, "a" }, small = { 300, "b" })]
fn small_answers_leave_the_zone_sooner(bytes: usize, goes_to: &str) {
    let mut workers = workers(vec![line("a", "home", 100), line("b", "away", 100)]);
    let home = Number::of("a");
    workers.sent(0, home);
    let met = Met {
        bytes,
        ..met(End::Good, Some((5, 0, 4)))
    };
    workers.ended(100, home, met);
    assert_eq!(picked(&workers, 100, &[]), Some(Number::of(goes_to)));
}

#[test]
fn a_worker_that_is_silent_while_others_wait_is_told_of_at_once() {
    let mut workers = workers(vec![line("a", "home", 100), line("b", "away", 100)]);
    let mute = Number::of("a");
    workers.sent(10, mute);
    workers.late(400, mute, 10);
    assert_eq!(
        picked(&workers, 400, &[]),
        Some(Number::of("b")),
        "it rests"
    );
    let (_, lines, _) = workers.report(500).expect("something was met");
    assert_eq!((lines[0].tries, lines[0].failed), (1, 1));
    workers.ended(2500, mute, met(End::Late, None));
    assert!(
        workers.report(2600).expect("its load").1[0].tries == 0,
        "told once"
    );
}

#[test]
fn a_worker_that_answered_since_is_not_doubted() {
    let mut workers = workers(vec![line("a", "home", 100)]);
    let number = Number::of("a");
    workers.sent(10, number);
    workers.sent(20, number);
    workers.ended(120, number, met(End::Good, None));
    workers.late(400, number, 10);
    assert_eq!(picked(&workers, 400, &[]), Some(number));
}

#[test]
fn what_may_run_once_is_not_sent_on_trial() {
    let mut workers = workers(vec![line("a", "home", 100)]);
    let number = Number::of("a");
    workers.sent(0, number);
    workers.ended(0, number, met(End::Unsent, None));
    let once = Want {
        safe: false,
        ..want(&[])
    };
    assert_eq!(workers.pick(300, &once, &mut Chance::new(1)), None);
    assert_eq!(picked(&workers, 300, &[]), Some(number));
}

#[parameterized(not_reached = { End::Unsent, 1, 1_000 }, lost = { End::Lost, 3, 5_000 })]
fn given_only_requests_that_may_run_once_then_a_worker_that_failed_comes_back(
    end: End,
    times: u32,
    lapse: Millis,
) {
    let mut workers = workers(vec![line("a", "home", 100)]);
    let number = Number::of("a");
    for _ in 0..times {
        workers.sent(0, number);
        workers.ended(0, number, met(end, None));
    }
    let once = Want {
        safe: false,
        ..want(&[])
    };
    let mut chance = Chance::new(1);
    assert_eq!(workers.pick(199 + lapse, &once, &mut chance), None);
    assert_eq!(workers.pick(200 + lapse, &once, &mut chance), Some(number));
    workers.sent(200 + lapse, number);
    let second = workers.pick(200 + lapse, &once, &mut chance);
    assert_eq!(second, None, "one at a time");
    workers.ended(300 + lapse, number, met(End::Good, None));
    assert_eq!(workers.pick(300 + lapse, &once, &mut chance), Some(number));
}

#[parameterized(one = { 1, "a" }, several = { 3, "b" })]
fn one_failure_alone_sends_nothing_out_of_the_zone(failures: u32, goes_to: &str) {
    let mut workers = workers(vec![line("a", "home", 100), line("b", "away", 100)]);
    let home = Number::of("a");
    for _ in 0..failures {
        workers.sent(0, home);
        workers.ended(100, home, met(End::Own { status: 500 }, Some((0, 0, 4))));
    }
    let once = Want {
        safe: false,
        ..want(&[])
    };
    let picked = workers.pick(100, &once, &mut Chance::new(1));
    assert_eq!(picked, Some(Number::of(goes_to)));
}

#[test]
fn a_worker_that_says_it_is_busy_is_spared() {
    let mut workers = workers(vec![line("a", "home", 100), line("b", "home", 100)]);
    let busy = Number::of("a");
    workers.sent(0, busy);
    workers.ended(10, busy, met(End::Good, Some((4, 5, 4))));
    for now in 10..60 {
        assert_eq!(picked(&workers, now, &[]), Some(Number::of("b")));
    }
}

#[test]
fn none_is_sent_more_than_it_can_hold() {
    let mut workers = workers(vec![line("a", "home", 100)]);
    let mut sent = 0;
    while let Some(number) = picked(&workers, 0, &[]) {
        workers.sent(0, number);
        sent += 1;
        assert!(sent < 100);
    }
    assert_eq!(sent, 12);
}

#[parameterized(
    weightless = { Change { weights: vec![(Number::of("a"), 0)], ..Change::default() } },
    draining = { Change { departed: vec![(Number::of("a"), State::Draining)], ..Change::default() } },
    silent = { Change { silent: vec![Number::of("a")], ..Change::default() } },
)]
fn who_is_out_of_the_table_is_not_sent_to(change: Change) {
    let mut workers = workers(vec![line("a", "home", 100), line("b", "away", 100)]);
    workers.change(5, &change);
    assert_eq!(picked(&workers, 5, &[]), Some(Number::of("b")));
}

#[test]
fn a_worker_found_dead_rests_and_is_tried_by_one_request() {
    let mut workers = workers(vec![line("a", "home", 100)]);
    let number = Number::of("a");
    workers.sent(0, number);
    workers.ended(0, number, met(End::Unsent, None));
    assert_eq!(picked(&workers, 100, &[]), None);
    assert_eq!(picked(&workers, 300, &[]), Some(number));
    workers.sent(300, number);
    assert_eq!(picked(&workers, 300, &[]), None, "one at a time");
    workers.ended(400, number, met(End::Good, None));
    assert_eq!(picked(&workers, 400, &[]), Some(number));
}

#[test]
fn a_report_tells_what_was_met_once() {
    let mut workers = workers(vec![line("a", "home", 100)]);
    let number = Number::of("a");
    for end in [End::Good, End::Lost, End::Full, End::Misplaced] {
        workers.sent(0, number);
        workers.ended(0, number, met(end, Some((1, 0, 4))));
    }
    let (_, lines, misplaced) = workers.report(1000).expect("something was met");
    let told = &lines[0];
    assert_eq!(
        (told.tries, told.failed, told.shed, told.took_ms),
        (2, 1, 1, 100)
    );
    assert_eq!(misplaced, [number]);
    assert!(workers.report(2000).is_none());
}

#[test]
fn workers_that_were_all_full_are_tried_again_soon() {
    let mut workers = workers(vec![line("a", "home", 100), line("b", "away", 100)]);
    let (a, b) = (Number::of("a"), Number::of("b"));
    // a crowd after a restart: each answer tells of full queues, until nobody is sent to
    let mut now = 0;
    for turn in 0..80 {
        now = turn * 5;
        let number = if turn % 2 == 0 { a } else { b };
        workers.sent(now, number);
        workers.ended(now, number, met(End::Good, Some((4, 16, 4))));
    }
    assert_eq!(picked(&workers, now, &[]), None, "all are full");
    // nothing more is heard of them
    assert!(picked(&workers, now + 1500, &[]).is_some());
}

#[test]
fn a_request_that_runs_late_goes_only_where_a_slot_is_free() {
    let mut workers = workers(vec![line("a", "home", 100), line("b", "home", 100)]);
    for _ in 0..4 {
        workers.sent(0, Number::of("a"));
    }
    let free = Want {
        free: true,
        ..want(&[])
    };
    assert_eq!(
        workers.pick(0, &free, &mut Chance::new(1)),
        Some(Number::of("b"))
    );
    let but = [Number::of("b")];
    let free = Want {
        free: true,
        ..want(&but)
    };
    assert_eq!(workers.pick(0, &free, &mut Chance::new(1)), None);
}

#[parameterized(
    quick = { 400.0, 120.0, 240 },
    tight = { 400.0, 250.0, 325 },
    no_aim = { 0.0, 100.0, 240 },
)]
fn late_is_when_another_could_still_be_in_time(aim: f64, pace: f64, after: u64) {
    assert_eq!(retries(Kind::Safe, 2).double_after(aim, pace), after);
    assert!(retries(Kind::Safe, 2).may_double(0) && !retries(Kind::Unsafe, 2).may_double(0));
}

fn retries(kind: Kind, attempts: u32) -> RetryState {
    RetryState::new(Ask {
        kind,
        attempts,
        deadline: 1000,
    })
}

#[parameterized(
    safe_lost = { Kind::Safe, End::Lost, Next::Again },
    safe_own_failure = { Kind::Safe, End::Own { status: 500 }, Next::Again },
    safe_refused_for_good = { Kind::Safe, End::Own { status: 400 }, Next::Pass },
    safe_late = { Kind::Safe, End::Late, Next::Again },
    unsafe_lost = { Kind::Unsafe, End::Lost, Next::Broken },
    unsafe_own_failure = { Kind::Unsafe, End::Own { status: 500 }, Next::Pass },
    unsafe_late = { Kind::Unsafe, End::Late, Next::Late },
    unsafe_full = { Kind::Unsafe, End::Full, Next::Again },
    unsafe_misplaced = { Kind::Unsafe, End::Misplaced, Next::Again },
    unsafe_unsent = { Kind::Unsafe, End::Unsent, Next::Again },
)]
fn only_what_may_run_again_is_sent_again(kind: Kind, end: End, next: Next) {
    let mut retries = retries(kind, 2);
    retries.goes_to(Number(1));
    assert_eq!(retries.ended(0, end, || true), next);
}

#[parameterized(
    attempts = { 1, 0, true },
    deadline = { 2, 990, true },
    budget = { 2, 0, false },
)]
fn no_further_try_beyond_attempts_deadline_and_budget(attempts: u32, now: u64, allowed: bool) {
    let mut retries = retries(Kind::Unsafe, attempts);
    retries.goes_to(Number(1));
    assert_eq!(retries.ended(now, End::Full, || allowed), Next::Refuse);
}

#[test]
fn what_may_have_run_is_never_refused_as_not_run() {
    let mut retries = retries(Kind::Safe, 2);
    retries.goes_to(Number(1));
    assert_eq!(retries.ended(0, End::Lost, || true), Next::Again);
    retries.goes_to(Number(2));
    assert_eq!(retries.ended(0, End::Full, || true), Next::Broken);
}

#[test]
fn a_dead_worker_costs_no_budget_and_no_attempt() {
    let mut retries = retries(Kind::Unsafe, 1);
    retries.goes_to(Number(1));
    assert_eq!(retries.ended(0, End::Unsent, || false), Next::Again);
    retries.goes_to(Number(2));
    assert_eq!(retries.ended(0, End::Good, || false), Next::Pass);
}

/// A budget is kept for as long as what it counts limits what it allows.
#[test]
fn a_budget_is_over_once_nothing_of_it_is_counted() {
    let means = Means {
        ratio: 0.0,
        slack: 2.0,
        window: 10_000,
    };
    let mut budget = Budget::new(0, means);
    assert!(budget.spend(20_000, 1, 1.0));
    for now in (20_000..31_000).step_by(500) {
        assert!(!budget.is_over(now), "{now}");
        assert!(!budget.spend(now, 1, 1.0), "{now}");
    }
    assert!(budget.is_over(31_000));
    assert!(budget.spend(31_000, 1, 1.0));
}

/// Every sliding window of every service keeps to the budget, however requests are spread.
#[parameterized(even = { 9, 1 }, all_at_one = { 9, 9 }, alone = { 1, 1 })]
fn the_budget_holds_in_every_window(foragers: usize, lumped: usize) {
    let means = Means {
        ratio: 0.2,
        slack: 58.0,
        window: 10_000,
    };
    let mut budgets: Vec<Budget> = (0..foragers).map(|_| Budget::new(0, means)).collect();
    let mut chance = Chance::new(7);
    let (mut requests, mut spent) = (Vec::new(), Vec::new());
    for now in (0..60_000).step_by(10) {
        let at = chance
            .below(foragers / lumped.min(foragers))
            .min(foragers - 1);
        // bursts and lulls
        if (now / 7000) % 2 == 0 {
            budgets[at].request(now);
            requests.push(now);
        }
        let at = chance.below(foragers);
        if budgets[at].spend(now, foragers, 1.0) {
            spent.push(now);
        }
    }
    assert!(spent.len() > 100);
    for from in (0..50_000_i64).step_by(250) {
        let within = |list: &[u64], from: i64| {
            let span = from..from + 10_000;
            list.iter()
                .filter(|at| span.contains(&(**at as i64)))
                .count()
        };
        // requests count in that window, the one before or half a window before, as the rules say
        let count = [from, from - 5000, from - 10_000].map(|from| within(&requests, from));
        let most = 0.2 * *count.iter().max().expect("three") as f64 + 58.0;
        assert!(within(&spent, from) as f64 <= most, "from {from}");
    }
}

#[parameterized(
    good = { 200, &["x"], true, false, Verdict::Good },
    another = { 200, &["y"], true, false, Verdict::Spoilt },
    also_another = { 200, &["x", "y"], true, false, Verdict::Spoilt },
    another_first = { 200, &["y", "x"], true, false, Verdict::Spoilt },
    twice = { 200, &["x", "x"], true, false, Verdict::Good },
    without_id = { 200, &[], true, false, Verdict::Spoilt },
    with_an_empty_id = { 200, &[""], true, false, Verdict::Spoilt },
    unsealed = { 200, &["x"], false, false, Verdict::Spoilt },
    failure = { 500, &["x"], true, false, Verdict::Own },
    full = { 503, &[], false, true, Verdict::Full },
    full_by_id = { 503, &["x"], false, true, Verdict::Full },
    busy_but_run = { 503, &["x"], true, false, Verdict::Spoilt },
    slow_down_but_run = { 429, &["x"], true, false, Verdict::Spoilt },
    late_refusal_of_another = { 503, &["y"], false, true, Verdict::Spoilt },
    misplaced = { 421, &[], false, false, Verdict::Misplaced },
    unchanged = { 304, &["x"], true, false, Verdict::Own },
    odd = { 101, &["x"], true, false, Verdict::Spoilt },
)]
fn an_answer_is_what_its_head_says(
    status: u16,
    ids: &[&str],
    sealed: bool,
    not_run: bool,
    want: Verdict,
) {
    for kept in [false, true] {
        let head = Head {
            status,
            named: named(b"x", ids.iter().map(|id| id.as_bytes())),
            kept,
            sealed,
            not_run,
            encoded: false,
        };
        // on a kept connection what names nobody may be the answer to the request before
        let nobody = ids.is_empty() && kept;
        assert_eq!(verdict(head), if nobody { Verdict::Spoilt } else { want });
        let ours = !ids.is_empty() && ids.iter().all(|id| *id == "x");
        assert_eq!(head.ours().is_some(), ours);
    }
}

#[test]
fn a_request_without_an_id_is_named_by_no_answer() {
    assert_eq!(named(b"", [&b""[..]]), Named::Another);
    assert_eq!(named(b"", [&b"x"[..]]), Named::Another);
    assert_eq!(named(b"", []), Named::Nobody);
}
