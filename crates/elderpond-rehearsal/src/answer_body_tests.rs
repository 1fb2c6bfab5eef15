//! Lengths of what stand-in workers answer.

use bytes::Bytes;

use crate::answer_body::{CLOSE, HELD, answer_body};

fn length(id: &str, may_be_long: bool) -> usize {
    let body = answer_body(id, "w", may_be_long);
    body.iter().map(Bytes::len).sum()
}

#[test]
fn long_answers_are_on_both_sides_of_what_a_proxy_holds_and_at_it() {
    let ids: Vec<String> = (0..2_000).map(|nth| format!("{nth:x}")).collect();
    let lengths: Vec<usize> = ids.iter().map(|id| length(id, true)).collect();
    let close = |length: &usize| length.abs_diff(HELD) <= CLOSE;
    assert!(lengths.contains(&HELD));
    assert!(lengths.iter().any(|it| close(it) && *it < HELD));
    assert!(lengths.iter().any(|it| close(it) && *it > HELD));
    assert!(lengths.iter().any(|it| *it > 2 * HELD));
    assert!(ids.iter().all(|id| length(id, false) < 10_000));
}

#[test]
fn an_answer_is_the_same_each_time_and_no_other_is() {
    for may_be_long in [false, true] {
        let body = |id| answer_body(id, "w", may_be_long).concat();
        assert_eq!(body("7"), body("7"));
        assert_ne!(body("7"), body("8"));
    }
}
