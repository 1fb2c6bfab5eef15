//! Lives only rise, whoever tells of them, in whatever order.

use elderpond_registry::{Beat, Change, Entry, Life, Number, Pace, Registry, State, Table};
use yare::parameterized;

fn beat(id: &str, sequence: u64, state: &str) -> Life {
    let body = format!(
        r#"{{"address":"10.128.0.9:8080","information":{{"service":"s","version-number":"v1","zone":"a",
        "slots":4}},"status":{{"state":"{state}","call-sequence":{sequence},"cold-remaining-s":1.5}}}}"#
    );
    Beat::read(id, body.as_bytes()).expect("it is proper")
}

#[parameterized(
    in_order = { &[(1, "ready"), (2, "draining")] },
    late_beat = { &[(2, "draining"), (1, "ready")] },
    later_number = { &[(1, "draining"), (2, "ready")] },
    twice = { &[(2, "draining"), (2, "draining"), (3, "ready")] },
)]
fn nothing_undrains(told: &[(u64, &str)]) {
    let mut registry = Registry::new(Pace::of(1500));
    for (sequence, state) in told {
        registry.learn(1000, &beat("w", *sequence, state));
    }
    let number = Number::of("w");
    assert_eq!(
        registry.life(1000, number).map(|life| life.state),
        Some(State::Draining)
    );
    assert!(!registry.listed(number));
}

#[test]
fn a_silent_worker_is_out_until_it_is_heard_again() {
    let mut registry = Registry::new(Pace::of(1500));
    registry.learn(1000, &beat("w", 1, "ready"));
    assert_eq!(registry.changed(), [Number::of("w")]);
    registry.tick(6000);
    assert!(registry.changed().is_empty() && registry.listed(Number::of("w")));
    registry.tick(7000);
    assert_eq!(registry.changed(), [Number::of("w")]);
    assert!(!registry.listed(Number::of("w")));
    // another hive heard of it half a second ago
    registry.heard(7100, Number::of("w"), 500);
    assert!(registry.listed(Number::of("w")));
    assert_eq!(registry.changed(), [Number::of("w")]);
}

#[test]
fn a_departure_that_came_first_holds_when_the_life_is_learnt() {
    let mut registry = Registry::new(Pace::of(1500));
    assert!(registry.raise(1000, "w", State::Draining));
    assert!(!registry.raise(1000, "w", State::Draining));
    registry.learn(1500, &beat("w", 5, "ready"));
    let life = registry.life(1500, Number::of("w")).expect("it is known");
    assert_eq!(
        (life.state, &*life.service, life.cold_ms),
        (State::Draining, "s", 1500)
    );
}

#[test]
fn a_table_never_takes_back_who_has_left() {
    let line = Entry::of(&beat("w", 1, "ready"), 100);
    let whole = Change {
        lines: vec![line],
        ..Change::default()
    };
    let mut table = Table::default();
    table.replace(true, &whole);
    assert_eq!(table.len(), 1);
    table.apply(&Change {
        departed: vec![(Number::of("w"), State::Draining)],
        ..Change::default()
    });
    table.replace(true, &whole);
    assert!(table.is_empty());
    assert_eq!(table.departed(9), [(Number::of("w"), State::Draining)]);
}

#[test]
fn the_table_of_a_hive_that_knows_little_drops_nobody() {
    let mut table = Table::default();
    let line = Entry::of(&beat("w", 1, "ready"), 100);
    table.replace(
        true,
        &Change {
            lines: vec![line],
            ..Change::default()
        },
    );
    table.replace(false, &Change::default());
    assert_eq!(table.len(), 1);
    table.replace(true, &Change::default());
    assert!(table.is_empty());
}
