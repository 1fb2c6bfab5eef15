//! Cost against size: nothing that is counted grows faster than what it has to touch.

use elderpond_simulator::size::{Field, Row, Size, rows};

const SMALL: Size = Size {
    foragers: 9,
    workers: 29,
    hives: 3,
};
const GROWN: Size = Size {
    foragers: 74,
    workers: 212,
    hives: 5,
};
const LARGER: Size = Size {
    foragers: 160,
    workers: 500,
    hives: 5,
};

/// What is sent, and what is encoded for it, may grow so many times as much as what it touches.
const MOST: f64 = 1.3;

#[test]
fn given_larger_fleets_when_something_happens_then_its_cost_grows_with_what_it_touches() {
    let made = |row: &Row| match row.makes {
        0 => 0.0,
        makes => row.cost.made as f64 / makes as f64,
    };
    let [small, grown, larger] = [SMALL, GROWN, LARGER].map(rows);
    let mut faults = Vec::new();
    for other in [grown, larger] {
        for (first, row) in small.iter().zip(&other) {
            if row.each() > MOST * first.each() || made(row) > MOST * made(first) {
                faults.push(format!("{row:?} after {first:?}"));
            }
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

#[test]
fn given_nine_hives_when_nothing_happens_then_no_lives_are_asked_for_again() {
    let mut field = Field::settled(Size {
        foragers: 9,
        workers: 90,
        hives: 9,
    });
    field.run(20_000);
    assert_eq!(field.take().of(&["all lives"]).messages, 0);
}
