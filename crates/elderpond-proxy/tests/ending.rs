//! Which requests a process takes that was told to end.

use std::time::Duration;

use elderpond_proxy::ending::Ending;
use yare::parameterized;

const TOLD: u64 = 1_000;

#[parameterized(
    at_once = { 0, 30_000, true },
    while_others_learn_of_it = { 2_300, 30_000, true },
    late_and_long = { 2_500, 3_000, false },
    late_and_short = { 2_500, 2_400, true },
    at_the_end = { 4_900, 100, false },
)]
fn given_six_seconds_then_what_could_not_be_answered_is_not_taken(
    after: u64,
    within: u64,
    taken: bool,
) {
    let ending = Ending::new(TOLD, Duration::from_secs(6));
    let now = TOLD + after;
    assert_eq!(ending.takes(now, now + within), taken);
}

/// Requests sent up to 3 s after the signal may be cut in the second half of the grace period; later ones
/// never.
#[parameterized(six = { 6 }, ten = { 10 }, thirty = { 30 })]
fn given_any_grace_then_nothing_is_taken_blindly_three_seconds_after(seconds: u64) {
    let grace = Duration::from_secs(seconds);
    let ending = Ending::new(TOLD, grace);
    assert!(!ending.takes(TOLD + 2_900, u64::MAX));
    let killed = TOLD + seconds * 1_000;
    assert!(ending.exit_by < killed - 400, "the process ends by itself");
}

/// LOST: an answer of the process's own in place of a worker's counts as lost before the last sixth of the
/// grace period; after it, it has to be delivered, and what waits behind it, before the process exits.
#[parameterized(one = { 1 }, six = { 6 }, ten = { 10 }, thirty = { 30 })]
fn given_any_grace_then_workers_are_waited_for_up_to_its_last_sixth_and_no_longer(seconds: u64) {
    let grace = Duration::from_secs(seconds);
    let ending = Ending::new(TOLD, grace);
    let last_sixth = TOLD + (seconds * 1_000).div_ceil(6) * 5;
    assert!(ending.cut_off >= last_sixth);
    assert!(ending.exit_by - ending.cut_off >= seconds * 1_000 / 15);
}

/// A process that was late with one step of its end took the full time for the next, and was killed.
#[test]
fn given_a_process_short_of_time_then_it_exits_no_later() {
    let ending = Ending::new(TOLD, Duration::from_secs(6));
    assert_eq!(ending.closed_by(TOLD + 3_000), TOLD + 3_600);
    assert_eq!(ending.closed_by(TOLD + 5_300), ending.exit_by);
    assert_eq!(ending.closed_by(TOLD + 5_900), ending.exit_by);
}
