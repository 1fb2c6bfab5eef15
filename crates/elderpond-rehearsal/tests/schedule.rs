//! What a soak schedules: it follows from the seed, is read as it is printed, and takes no more away than
//! is borne.

use elderpond_rehearsal::soak::draw::draw;
use elderpond_rehearsal::soak::schedule::{Event, Planned, Size, parse};
use yare::parameterized;

const SIZE: Size = Size {
    control_nodes: 5,
    proxies: 8,
    workers: 60,
};

/// Seconds for which a machine counts as lost after it is back.
const CATCH_UP_S: f64 = 4.0;

fn written(events: &[Planned]) -> String {
    events
        .iter()
        .map(|planned| format!("{planned}\n"))
        .collect()
}

#[test]
fn a_drawn_schedule_follows_from_its_seed_and_is_read_as_it_is_printed() {
    for seed in 0..200 {
        let drawn = draw(seed, SIZE, 120.0);
        assert_eq!(drawn, draw(seed, SIZE, 120.0));
        let read = parse(&written(&drawn), SIZE).expect("what was printed");
        assert_eq!(read, drawn, "seed {seed}");
    }
    assert_ne!(draw(1, SIZE, 120.0), draw(2, SIZE, 120.0));
}

#[test]
fn no_more_control_nodes_are_away_at_a_time_than_are_borne() {
    for seed in 0..500 {
        let events = draw(seed, SIZE, 300.0);
        for planned in &events {
            // who was taken away counts until it has caught up
            let still = |other: &&Planned| {
                let back_s = other.at_s + other.event.lasts_s() + CATCH_UP_S;
                other.at_s <= planned.at_s && planned.at_s < back_s
            };
            let still = events.iter().filter(still);
            let away = still.flat_map(|it| it.event.takes_control_nodes());
            let away = away.collect::<std::collections::BTreeSet<u8>>();
            assert!(
                away.len() <= 2,
                "seed {seed} at {} s: {away:?}",
                planned.at_s
            );
            if matches!(planned.event, Event::Blackout(_)) {
                assert!(away.is_empty(), "seed {seed} at {} s", planned.at_s);
            }
        }
    }
}

#[test]
fn events_overlap_and_each_kind_is_drawn() {
    let events: Vec<Planned> = (0..50).flat_map(|seed| draw(seed, SIZE, 120.0)).collect();
    let named = |verb: &str| {
        let begins = |planned: &&Planned| planned.event.to_string().starts_with(verb);
        events.iter().filter(begins).count()
    };
    for verb in [
        "terminate",
        "kill",
        "freeze",
        "reload",
        "empty",
        "blackout",
        "changes",
        "invalid",
        "race",
        "drain",
        "crash",
        "cut",
        "isolate",
        "swap",
        "slow",
        "roll",
        "starve proxy-",
        "starve-all",
        "limits",
    ] {
        assert!(named(verb) > 0, "{verb} was never drawn");
    }
    let within_a_second = events
        .windows(2)
        .filter(|two| (0.0..1.0).contains(&(two[1].at_s - two[0].at_s)));
    assert!(within_a_second.count() > events.len() / 2);
}

#[parameterized(
    no_time = { "soon kill proxy-1 1.0", "names no time" },
    no_event = { "1.0", "names no event" },
    unknown_event = { "1.0 flood proxy-1", "there is no event `flood`" },
    no_machine = { "1.0 kill", "names no machine" },
    unknown_machine = { "1.0 kill proxy-9 1.0", "there is no machine `proxy-9`" },
    no_span = { "1.0 freeze proxy-1", "names no time" },
    no_disk = { "1.0 empty proxy-1 1.0", "a proxy has no disk" },
    no_count = { "1.0 changes many 0.1", "names no count" },
    stopped_for_good = { "1.0 starve proxy-1 0.5 4.0", "a starved process runs for a part of each 0.5 s" },
    no_limit = { "1.0 limits 0 1", "a limit is above 0 s" },
    unknown_worker = { "1.0 crash worker-61", "there is no machine `worker-61`" },
    too_much = { "1.0 race twice", "`twice` is too much" },
)]
fn a_line_that_says_nothing_is_named(line: &str, why: &str) {
    let text = format!("# events\n\n{line}\n");
    let error = parse(&text, SIZE).expect_err("a wrong line");
    let said = format!("{error:#}");
    assert!(said.contains("line 3") && said.contains(why), "{said}");
}
