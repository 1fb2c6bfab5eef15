//! Schedules as they are printed, and read again.

use super::draw::draw;
use super::schedule::{Event, Planned, Size, parse};

const SIZE: Size = Size {
    control_nodes: 5,
    proxies: 8,
    workers: 60,
};

/// Guards against a printed run that could not be played again: "there is no event `s`".
#[test]
fn a_schedule_is_read_as_it_is_printed_before_a_run_and_while_it_is_played() {
    for seed in 1..20 {
        let drawn = draw(seed, SIZE, 60.0);
        let before: Vec<String> = drawn.iter().map(ToString::to_string).collect();
        let played = drawn
            .iter()
            .map(|it| format!("{:8.3} s  {}", it.at_s, it.event));
        let played: Vec<String> = played.collect();
        for printed in [before.join("\n"), played.join("\n")] {
            let read = parse(&printed, SIZE).expect("as it was printed");
            let again: Vec<String> = read.iter().map(ToString::to_string).collect();
            assert_eq!(again, before);
        }
    }
}

/// Guards against a run that ended without a verdict: "an event takes too long", with 74 proxies rolled.
#[test]
fn a_roll_is_given_the_time_that_it_takes() {
    let roll = Planned {
        at_s: 54.9,
        event: Event::Roll(0.984),
    };
    let proxies = |proxies| Size { proxies, ..SIZE };
    assert!(roll.ends_at_s(proxies(74)) > 54.9 + 0.984 * 74.0);
    assert!(roll.ends_at_s(proxies(8)) < 54.9 + 0.984 * 8.0 + 5.0);
}
