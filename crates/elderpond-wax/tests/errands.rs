//! Given a forager's try at an order, when its hives or its worker fail it, then it never sends too late and
//! owes what it knows until a hive has it.

use elderpond_consensus::Digest;
use elderpond_wax::{Answer, Claim, Errand, Outcome, Owner, Ran, Reply, Step, Word};

const OWNER: Owner = Owner {
    forager: 7,
    attempt: 1,
};

fn begin() -> (Errand, Word) {
    let claim = Claim {
        owner: OWNER,
        order: Digest::of(b"order"),
        tenant: "school".into(),
        route: "renew".into(),
        patience: 1_000,
    };
    let (errand, step) = Errand::begin(0, claim.clone(), 200);
    assert_eq!(step, Step::Say(Word::Claim(claim.clone())));
    (errand, Word::Claim(claim))
}

#[test]
fn given_two_hives_asked_when_both_grant_then_it_is_sent_once_and_its_outcome_told_until_heard() {
    let (mut errand, claim) = begin();
    assert_eq!(errand.tick(200), Some(Step::Say(claim.clone())));
    let first = errand.answered(210, &claim, Answer::Granted);
    assert_eq!(first, [Step::Send]);
    assert!(errand.may_send(211).0);
    assert!(errand.answered(212, &claim, Answer::Granted).is_empty());
    assert!(!errand.may_send(213).0);

    let outcome = Outcome::new(201, Vec::new(), "paid".into());
    let told = Word::Done(OWNER, outcome.clone());
    let steps = errand.ran(300, Ran::Answered(outcome));
    assert_eq!(steps, [Step::Say(told.clone())]);
    errand.answered(310, &told, Answer::Unavailable);
    assert_eq!(errand.tick(500), Some(Step::Say(told.clone())));
    errand.answered(510, &told, Answer::Recorded);
    assert!(errand.is_over() && errand.tick(900).is_none());
}

#[test]
fn given_a_forager_frozen_after_the_grant_when_it_thaws_too_late_then_it_does_not_send() {
    let (mut errand, claim) = begin();
    errand.answered(5, &claim, Answer::Granted);
    let given_up = Step::Say(Word::NotRun(OWNER));
    let (sends, steps) = errand.may_send(1_000);
    assert_eq!(
        (sends, steps),
        (false, vec![Step::Reply(Reply::Refused), given_up])
    );
}

#[yare::parameterized(
    given_up = { None },
    refused = { Some(Answer::Unavailable) },
    busy = { Some(Answer::AtWork) },
)]
fn given_a_claim_not_granted_in_time_when_a_grant_comes_late_then_it_is_never_sent(
    answer: Option<Answer>,
) {
    let (mut errand, claim) = begin();
    let steps = match answer {
        Some(answer) => errand.answered(100, &claim, answer),
        None => errand.give_up(100),
    };
    assert_eq!(steps.last(), Some(&Step::Say(Word::NotRun(OWNER))));
    assert!(errand.answered(101, &claim, Answer::Granted).is_empty());
    assert!(!errand.may_send(102).0);
    assert_eq!(errand.tick(300), Some(Step::Say(Word::NotRun(OWNER))));
}

#[test]
fn given_an_answer_lost_on_the_way_when_the_worker_answers_after_all_then_that_is_told() {
    let (mut errand, claim) = begin();
    errand.answered(5, &claim, Answer::Granted);
    assert!(errand.may_send(6).0);
    assert!(errand.give_up(7).is_empty(), "what was sent goes on");
    let lost = Word::Lost(OWNER);
    assert_eq!(errand.ran(900, Ran::Unknown), [Step::Say(lost.clone())]);
    errand.answered(905, &lost, Answer::Recorded);
    let outcome = Outcome::new(201, Vec::new(), "paid".into());
    let steps = errand.ran(1_500, Ran::Answered(outcome.clone()));
    assert_eq!(steps, [Step::Say(Word::Done(OWNER, outcome))]);
}

#[yare::parameterized(
    differs = { Answer::Differs, 422, false },
    unknown = { Answer::Unknown, 409, false },
    at_work = { Answer::AtWork, 409, true },
    not_kept = { Answer::Known(Outcome::ran()), 409, false },
    full = { Answer::Full, 503, true },
)]
fn given_a_claim_that_is_not_granted_then_the_client_is_told_why(
    answer: Answer,
    status: u16,
    may_come_back: bool,
) {
    let (mut errand, claim) = begin();
    let steps = errand.answered(5, &claim, answer);
    let Some(Step::Reply(reply)) = steps.first() else {
        panic!("{steps:?}");
    };
    assert_eq!(
        (reply.status(), reply.may_come_back()),
        (status, may_come_back)
    );
}
