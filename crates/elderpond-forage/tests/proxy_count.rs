//! The number of proxies by which shares are dealt.

use elderpond_forage::{Millis, ProxyCount};

/// Milliseconds for which no higher number is told before a lower one is believed.
const WINDOW: Millis = 10_000;

fn told_74() -> ProxyCount {
    ProxyCount::default().told(0, 74, true, WINDOW)
}

#[yare::parameterized(
    fewer_with_a_vouch = { 5, true, 5 },
    none_with_a_vouch = { 0, true, 1 },
    more_with_a_vouch = { 90, true, 90 },
    fewer_from_a_node_that_may_be_cut_off = { 5, false, 74 },
    more_from_a_node_that_may_be_cut_off = { 90, false, 90 },
)]
fn a_node_that_is_cut_off_does_not_widen_the_shares(count: usize, vouched: bool, expected: usize) {
    let mut known = told_74();
    for now in (0..=WINDOW).step_by(500) {
        known = known.told(now, count, vouched, WINDOW);
        let least = if now < WINDOW { 74 } else { expected };
        assert_eq!(known.get(), least.max(expected), "after {now} ms");
    }
}

#[test]
fn the_first_number_is_believed_whatever_was_taken_for_it() {
    assert_eq!(ProxyCount::default().told(0, 3, true, WINDOW).get(), 3);
}

/// BUDGET: after all control nodes were killed each proxy took a share as if it were alone.
#[test]
fn control_nodes_that_count_anew_do_not_widen_the_shares() {
    let mut known = told_74();
    for (now, count) in [(0, 1), (400, 20), (900, 55), (4_000, 71), (9_900, 71)] {
        known = known.told(now, count, true, WINDOW);
        assert_eq!(known.get(), 74, "after {now} ms");
    }
    // three did not come back
    assert_eq!(known.told(WINDOW, 71, true, WINDOW).get(), 71);
}

#[test]
fn a_number_that_is_told_again_meanwhile_keeps_the_shares_as_they_are() {
    let known = told_74().told(0, 5, true, WINDOW);
    let known = known.told(WINDOW / 2, 74, true, WINDOW);
    assert_eq!(known.told(WINDOW, 5, true, WINDOW).get(), 74);
}
