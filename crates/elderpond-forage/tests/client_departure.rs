//! What becomes of a request whose client leaves: by its kind, by what was sent of it, and by its time.

use elderpond_flora::Kind;
use elderpond_forage::*;

const USUAL_MS: f64 = 200.0;
/// What the users allow: work may go on for half a second.
const ALLOWED: Millis = 500;

const SAFE: Underway = Underway {
    kind: Kind::Safe,
    sent: Sent::All,
    taken: 0,
    usual_ms: USUAL_MS,
    full: false,
};

#[test]
fn given_a_client_that_leaves_then_only_what_runs_once_and_may_have_begun_goes_on() {
    for sent in Sent::ALL {
        let begun = sent >= Sent::HeadPartly;
        for (taken, full) in [(0, false), (100, true), (1000, false)] {
            let of = |kind| {
                after_client_left(Underway {
                    kind,
                    sent,
                    taken,
                    full,
                    ..SAFE
                })
            };
            let (safe, once) = (of(Kind::Safe), of(Kind::Unsafe));
            match begun {
                false => assert_eq!((safe, once), (AfterClientLeft::Drop, AfterClientLeft::Drop)),
                true => {
                    assert!(matches!(safe, AfterClientLeft::Stop { .. }), "{sent:?}");
                    assert_eq!(once, AfterClientLeft::RunOn, "{sent:?}");
                }
            }
        }
    }
}

fn within(it: Underway) -> Millis {
    match after_client_left(it) {
        AfterClientLeft::Stop { within } => within,
        other => panic!("{other:?}"),
    }
}

fn after(taken: Millis) -> Underway {
    Underway { taken, ..SAFE }
}

#[test]
fn given_a_worker_that_is_likely_done_soon_then_it_may_finish_and_a_late_one_is_stopped_at_once() {
    assert!(within(after(100)) >= 100);
    assert_eq!(within(after(1000)), 0);
    assert!(within(after(150)) > within(after(250)));
}

#[test]
fn given_others_that_wait_for_its_place_then_a_worker_is_stopped_at_once() {
    let full = Underway { full: true, ..SAFE };
    assert_eq!(within(full), 0);
}

#[test]
fn given_any_time_then_no_worker_goes_on_for_as_long_as_half_a_second() {
    for usual_ms in [0.0, 1.0, 150.0, 400.0, 60_000.0, f64::INFINITY, f64::NAN] {
        for taken in [0, 1, 100, 10_000, Millis::MAX] {
            let it = Underway {
                taken,
                usual_ms,
                ..SAFE
            };
            assert!(within(it) < ALLOWED, "{it:?}");
        }
    }
}
