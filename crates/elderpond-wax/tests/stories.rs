//! Given hives, foragers and a worker, when something happens to an order, then it still has one effect.

mod world;

use bytes::Bytes;
use elderpond_consensus::Digest;
use elderpond_wax::{Action, Answer, Claim, Event, Found, Outcome, Owner, Rules, Wax, Word};
use world::{Op, Stage, World, ip, rules};

/// Until that forager has sent its order, and no further.
fn until_sent(world: &mut World, forager: usize) {
    while world.foragers[forager].stage != Stage::Sent {
        assert!(world.step(), "it is never granted");
    }
}

fn answer(world: &World, forager: usize) -> Answer {
    match &world.foragers[forager].stage {
        Stage::Over(answer) => answer.clone(),
        stage => panic!("still {stage:?}"),
    }
}

fn claim(owner: u64, body: &str) -> Word {
    let owner = Owner {
        forager: owner,
        attempt: 1,
    };
    Word::Claim(Claim {
        owner,
        order: Digest::of(body.as_bytes()),
        tenant: String::new(),
        route: String::new(),
        patience: 1_000,
    })
}

#[test]
fn given_an_order_at_work_when_it_comes_again_then_it_waits_and_gets_the_first_answer() {
    let mut world = World::new(3, rules(), 4);
    world.foragers[1].wait = 2_000;
    world.foragers[2].body = "another order";
    world.op(Op::Ask(0, 1));
    until_sent(&mut world, 0);
    let at_worker = std::mem::take(&mut world.queue);

    // Within the same millisecond, on other hives.
    for forager in 1..4 {
        world.op(Op::Ask(forager, 2 + (forager as u8 % 2)));
        world.settle();
    }
    assert_eq!(world.foragers[1].stage, Stage::Asking);
    assert_eq!(answer(&world, 2), Answer::Differs);
    assert_eq!(answer(&world, 3), Answer::AtWork);
    world.play(&[Op::Pass(480)]);

    world.queue = at_worker;
    world.settle();
    let Answer::Known(outcome) = answer(&world, 1) else {
        panic!("{:?}", world.foragers[1].stage);
    };
    assert_eq!((outcome.status, world.runs("k")), (201, 1));
    assert_eq!(outcome.body, Some(Bytes::from("run by 1 at 1480")));
}

#[test]
fn given_a_cut_when_both_halves_see_a_key_at_once_then_only_the_majority_sends_it() {
    let mut world = World::new(3, rules(), 2);
    world.op(Op::Cut(&[3]));
    world.op(Op::Ask(1, 3));
    world.op(Op::Ask(0, 1));
    world.settle();
    world.play(&[Op::Pass(480)]);
    assert_eq!(answer(&world, 0), Answer::Recorded);
    assert_eq!(answer(&world, 1), Answer::Unavailable);

    world.play(&[Op::Heal, Op::Ask(1, 3)]);
    assert!(matches!(answer(&world, 1), Answer::Known(_)));
    assert_eq!(world.runs("k"), 1);
}

#[test]
fn given_a_hive_wiped_after_the_record_when_the_voters_change_then_the_claim_is_not_lost() {
    let mut world = World::new(3, rules(), 2);
    world.op(Op::Cut(&[3]));
    world.op(Op::Ask(0, 1));
    until_sent(&mut world, 0);
    world.op(Op::Die(0));
    world.settle();
    world.play(&[Op::Wipe(2), Op::Heal, Op::Turn(&[1, 2, 3], 3)]);
    world.play(&[Op::Pass(60), Op::Ask(1, 2), Op::Pass(400)]);
    assert_eq!(answer(&world, 1), Answer::AtWork);
    world.wipe(ip(1));
    world.play(&[Op::Turn(&[1, 2, 3], 2), Op::Pass(60), Op::Ask(1, 3)]);
    world.play(&[Op::Pass(2_000), Op::Ask(1, 1)]);
    assert_eq!(answer(&world, 1), Answer::Unknown);
    assert_eq!(world.runs("k"), 1);
}

#[test]
fn given_a_forager_killed_at_work_when_nobody_knows_then_only_the_operator_ends_it() {
    let mut world = World::new(3, rules(), 3);
    world.op(Op::Ask(0, 1));
    until_sent(&mut world, 0);
    world.op(Op::Die(0));
    world.settle();
    world.play(&[Op::Pass(1_200), Op::Ask(1, 2)]);
    assert_eq!(answer(&world, 1), Answer::Unknown);
    let listed = world.hives[&ip(3)].wax.unknown(None, 10);
    assert_eq!((listed.len(), &*listed[0].claim.tenant), (1, "school"));

    let mut ran = world.clone();
    ran.play(&[Op::Settle(2, true), Op::Ask(1, 3)]);
    assert_eq!(answer(&ran, 1), Answer::Known(Outcome::ran()));
    assert!(ran.hives[&ip(3)].wax.unknown(None, 10).is_empty());

    world.play(&[Op::Settle(2, false), Op::Ask(1, 3)]);
    assert_eq!(answer(&world, 1), Answer::Recorded, "it is run again");
}

#[test]
fn given_a_claim_taken_for_lost_when_the_worker_answers_late_then_that_answer_counts() {
    let mut world = World::new(3, rules(), 2);
    world.op(Op::Ask(0, 1));
    until_sent(&mut world, 0);
    let at_worker = std::mem::take(&mut world.queue);
    world.play(&[Op::Pass(1_200), Op::Ask(1, 2)]);
    assert_eq!(answer(&world, 1), Answer::Unknown);
    world.queue = at_worker;
    world.settle();
    assert_eq!(answer(&world, 0), Answer::Recorded);
    world.play(&[Op::Ask(1, 2)]);
    assert!(matches!(answer(&world, 1), Answer::Known(_)));
}

#[test]
fn given_a_try_given_up_when_its_claim_arrives_late_then_it_is_not_granted() {
    let mut world = World::new(3, rules(), 1);
    world.op(Op::Ask(0, 1));
    let late = std::mem::take(&mut world.queue);
    world.play(&[Op::Retell(0, 2)]);
    assert_eq!(answer(&world, 0), Answer::Recorded);
    world.foragers[0].stage = Stage::Asking;
    world.queue = late;
    world.settle();
    assert_eq!(answer(&world, 0), Answer::GivenUp);
    assert_eq!(world.runs("k"), 0);
}

#[test]
fn given_hives_that_restart_all_the_time_when_an_outcome_is_kept_then_it_ends_late_and_never_early()
{
    let mut world = World::new(3, rules(), 2);
    world.play(&[Op::Ask(0, 1)]);
    // Each life sees 2.4 s, of which no note was made.
    for _ in 0..8 {
        world.play(&[Op::Pass(2_400)]);
        for node in 1..=3 {
            world.crash(ip(node), false);
        }
        world.play(&[Op::Ask(1, 2)]);
        assert!(matches!(answer(&world, 1), Answer::Known(_)));
    }
    world.play(&[Op::Pass(10_000), Op::Pass(400), Op::Pass(400)]);
    let rooms = world.hives.values().map(|hive| hive.wax.room());
    assert!(rooms.into_iter().all(|room| room == (0, 0)));
    let disks = world.hives.values().map(|hive| &hive.stored);
    assert!(disks.flatten().all(|stored| stored.cells.is_empty()));
}

#[test]
fn given_a_flood_of_strangers_keys_when_there_is_no_room_then_nothing_is_granted_until_keys_end() {
    let small = Rules { keys: 4, ..rules() };
    let mut world = World::new(3, small, 6);
    for forager in 0..6 {
        world.foragers[forager].key = format!("stranger {forager}");
        world.play(&[Op::Ask(forager, 1 + (forager as u8 % 3))]);
    }
    assert_eq!(
        [4, 5].map(|at| answer(&world, at)),
        [Answer::Full, Answer::Full]
    );
    assert_eq!(world.runs("stranger 4") + world.runs("stranger 5"), 0);
    // What is known is given again all the same.
    world.play(&[Op::Ask(0, 2)]);
    assert!(matches!(answer(&world, 0), Answer::Known(_)));

    world.play(&[Op::Pass(10_000), Op::Pass(400), Op::Ask(4, 1)]);
    assert_eq!(
        (answer(&world, 4), world.runs("stranger 4")),
        (Answer::Recorded, 1)
    );
}

#[test]
fn given_a_long_body_or_no_room_for_bodies_when_it_is_repeated_then_its_digest_is_known_only() {
    let small = Rules {
        body: 40,
        bytes: 100,
        ..rules()
    };
    let mut world = World::new(3, small, 5);
    // Each outcome takes 38 bytes: there is room for two.
    for forager in 0..3 {
        world.foragers[forager].key = format!("{forager}");
        world.play(&[Op::Ask(forager, 1), Op::Ask(forager, 2)]);
    }
    let bodies = [0, 1, 2].map(|at| match answer(&world, at) {
        Answer::Known(outcome) => (outcome.body.is_some(), outcome.length),
        answer => panic!("{answer:?}"),
    });
    assert_eq!(bodies, [(true, 16), (true, 16), (false, 16)]);
    world.rules.body = 37;
    world.crash(ip(1), true);
    world.foragers[4].key = "long".into();
    world.play(&[
        Op::Pass(10_000),
        Op::Pass(400),
        Op::Ask(4, 1),
        Op::Ask(4, 2),
    ]);
    let Answer::Known(outcome) = answer(&world, 4) else {
        panic!("{:?}", world.foragers[4].stage);
    };
    assert_eq!((outcome.body, outcome.length), (None, 17));
}

/// A hive that is its own majority, and writes as slowly as its test likes.
fn alone() -> Wax {
    let world = World::new(3, rules(), 0);
    let mut set = world.set.clone();
    set.voters.truncate(1);
    let found = Found {
        me: ip(1),
        disk: 0,
        active_in: 1,
        seed: 1,
    };
    let patient = Rules {
        patience: 2_000,
        ..rules()
    };
    let mut wax = Wax::new(0, found, patient, None);
    let mut out = Vec::new();
    wax.handle(0, Event::Voters(set), &mut out);
    // The first claim of a life has room for promises written down as well.
    let (key, word) = ("first".to_owned(), claim(0, "order"));
    let say = Event::Say {
        ticket: 0,
        key,
        word,
        wait: 0,
    };
    wax.handle(0, say, &mut out);
    for write in 1..5 {
        wax.handle(0, Event::Written { write, ok: true }, &mut out);
    }
    wax
}

#[test]
fn given_many_claims_while_a_write_is_under_way_when_it_ends_then_one_write_takes_them_all() {
    let (mut wax, mut out) = (alone(), Vec::new());
    for ticket in 0..200 {
        let (key, word) = (format!("{ticket}"), claim(ticket, "order"));
        wax.handle(
            1,
            Event::Say {
                ticket,
                key,
                word,
                wait: 0,
            },
            &mut out,
        );
    }
    let (mut writes, mut granted, mut most) = (0, 0, 0);
    while !out.is_empty() {
        for action in std::mem::take(&mut out) {
            match action {
                Action::Write { write, record } => {
                    writes += 1;
                    most = most.max(record.cells.len());
                    wax.handle(2, Event::Written { write, ok: true }, &mut out);
                }
                Action::Answered { answer, .. } => {
                    assert_eq!(answer, Answer::Granted);
                    granted += 1;
                }
                action => panic!("{action:?}"),
            }
        }
    }
    assert_eq!((granted, writes, most), (200, 2, 199));
}

#[test]
fn given_a_disk_that_refuses_when_a_claim_is_written_then_nothing_is_granted_before_it_is_kept() {
    let (mut wax, mut out) = (alone(), Vec::new());
    let (key, word) = ("k".to_owned(), claim(1, "order"));
    let say = Event::Say {
        ticket: 1,
        key,
        word,
        wait: 0,
    };
    wax.handle(1, say, &mut out);
    let Some(Action::Write { write, record }) = out.pop() else {
        panic!("{out:?}");
    };
    wax.handle(1, Event::Written { write, ok: false }, &mut out);
    wax.handle(100, Event::Tick, &mut out);
    assert!(matches!(&out[..], [Action::Log(_)]), "{out:?}");
    out.clear();
    wax.handle(501, Event::Tick, &mut out);
    let Some(Action::Write {
        write,
        record: again,
    }) = out.first().cloned()
    else {
        panic!("{out:?}");
    };
    assert_eq!(again.cells[0].cell, record.cells[0].cell);
    out.clear();
    wax.handle(502, Event::Written { write, ok: true }, &mut out);
    let granted = Action::Answered {
        ticket: 1,
        answer: Answer::Granted,
    };
    assert!(out.contains(&granted), "{out:?}");
}
