//! What may be done with a request: every kind, by all that may have been sent and all that may be met,
//! against the rule said in other words.

use elderpond_flora::Kind;
use elderpond_forage::*;
use elderpond_registry::Number;

const KINDS: [Kind; 2] = [Kind::Safe, Kind::Unsafe];

/// A try of a request of this kind, and what follows; none where it goes on.
fn after(
    retries: &mut RetryState,
    worker: u64,
    (sent, heard): (Sent, Heard),
    budget: bool,
) -> Option<Next> {
    retries.goes_to(Number(worker));
    let now = if heard == Heard::Deadline { 1000 } else { 0 };
    Some(retries.ended(now, end_of(sent, heard)?, || budget))
}

fn retries(kind: Kind) -> RetryState {
    RetryState::new(Ask {
        kind,
        attempts: 9,
        deadline: 1000,
    })
}

fn met() -> impl Iterator<Item = (Sent, Heard)> {
    let all = Sent::ALL.into_iter();
    all.flat_map(|sent| Heard::ALL.into_iter().map(move |heard| (sent, heard)))
}

/// Whether the worker may have run it, or may yet: any byte may have reached it, and it did not say that
/// it turned the request away.
fn may_run((sent, heard): (Sent, Heard)) -> bool {
    sent >= Sent::HeadPartly && !matches!(heard, Heard::NotRun | Heard::Misdirected)
}

/// Whether the client can be given the worker's own words.
fn has_words((sent, heard): (Sent, Heard)) -> bool {
    sent >= Sent::HeadPartly && matches!(heard, Heard::Success | Heard::Failure { .. })
}

fn goes_on(heard: Heard) -> bool {
    use Heard::*;
    matches!(heard, Silence | Interim | Terminated)
}

#[test]
fn given_any_byte_may_have_reached_a_worker_then_an_unsafe_request_is_not_sent_again_nor_promised()
{
    for (kind, budget) in KINDS
        .into_iter()
        .flat_map(|kind| [(kind, true), (kind, false)])
    {
        for it in met() {
            let told = (kind, budget, it);
            let Some(next) = after(&mut retries(kind), 1, it, budget) else {
                assert!(goes_on(it.1), "{told:?} ended");
                continue;
            };
            assert!(!goes_on(it.1), "{told:?} goes on");
            if it.1 == Heard::ClientGone {
                assert_eq!(
                    next,
                    Next::Broken,
                    "{told:?}: nobody is left to be answered"
                );
            } else if may_run(it) {
                assert_ne!(next, Next::Refuse, "{told:?}: a promise that may be broken");
                if kind == Kind::Unsafe {
                    assert_ne!(next, Next::Again, "{told:?}: it may run twice");
                }
            } else {
                // an arrival that can't have run is made good, or promised
                let in_time = it.1 != Heard::Deadline;
                let free = it.0 < Sent::HeadPartly;
                let again = in_time && (budget || free);
                let owed = if again { Next::Again } else { Next::Refuse };
                assert_eq!(next, owed, "{told:?}");
            }
            assert!(
                next != Next::Pass || has_words(it),
                "{told:?}: passes on what nobody said"
            );
            if next == Next::Late {
                assert_eq!(it.1, Heard::Deadline, "{told:?}");
            }
            if next == Next::Again {
                assert_ne!(it.1, Heard::Deadline, "{told:?}: sent again after its time");
            }
        }
    }
}

#[test]
fn given_any_two_tries_then_no_unsafe_request_may_run_twice_and_no_promise_is_broken() {
    let mut pairs = 0;
    for kind in KINDS {
        for first in met() {
            for second in met() {
                let mut retries = retries(kind);
                if after(&mut retries, 1, first, true) != Some(Next::Again) {
                    continue;
                }
                pairs += 1;
                if kind == Kind::Unsafe {
                    assert!(!may_run(first), "{first:?} was sent again");
                }
                let next = after(&mut retries, 2, second, false);
                if may_run(first) || may_run(second) {
                    assert_ne!(next, Some(Next::Refuse), "{kind:?}: {first:?}, {second:?}");
                }
                if next == Some(Next::Pass) {
                    assert!(has_words(second), "{kind:?}: {first:?}, {second:?}");
                }
            }
        }
    }
    assert!(pairs > 1000, "{pairs} pairs only");
}

#[test]
fn given_it_may_have_run_then_nothing_is_allowed_that_runs_or_promises_it() {
    let ends = met().filter_map(|(sent, heard)| end_of(sent, heard));
    for end in ends.collect::<Vec<_>>() {
        for kind in KINDS {
            let (run, not) = (may(kind, true, end), may(kind, false, end));
            assert_ne!(run.or, Next::Refuse, "{kind:?}, {end:?}");
            assert!(kind == Kind::Safe || !run.again, "{kind:?}, {end:?}");
            // of what did not run both is owed
            let free = matches!(end, End::Unsent | End::Full | End::Misplaced);
            assert_eq!(
                not.again && not.or == Next::Refuse,
                free,
                "{kind:?}, {end:?}"
            );
        }
    }
}

#[test]
fn given_an_exchange_that_is_not_whole_then_its_connection_carries_no_other() {
    for it in met() {
        let own = matches!(it.1, Heard::Success | Heard::Failure { .. } | Heard::NotRun);
        assert_eq!(keeps(it.0, it.1), own && it.0 == Sent::All, "{it:?}");
    }
}
