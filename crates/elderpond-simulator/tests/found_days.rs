//! Days that once broke a rule; each guards against the fault that its test is named for.

use elderpond_simulator::{How, Kind, Story, Trouble, play};

/// The cut does not reach a control node that starts after it, so the voter that is cut off passes for
/// alive until it ends.
#[test]
fn a_voter_that_ends_while_only_a_newcomer_reaches_it_is_replaced() {
    let trouble = |kind, how, at, span| Trouble {
        kind,
        how,
        at,
        span,
        target: 4,
    };
    let meet_race = How {
        meet: true,
        race: true,
        ..How::default()
    };
    let story = Story {
        troubles: vec![
            trouble(Kind::Spot, How::default(), 20_807, 5_028),
            trouble(Kind::SeedsCut, meet_race, 25_358, 10_354),
            trouble(Kind::SeedTurnover, How::default(), 25_495, 100),
            trouble(Kind::CloseWipeTimed, How::default(), 34_000, 122),
        ],
        ..Story::of(3_579)
    };
    assert_eq!(play(&story).map(|_| ()), Ok(()), "{story}");
}
