//! Given, when, then.

use elderpond_control_wire::Line;
use elderpond_hive::{Command, Event};
use elderpond_registry::Number;
use yare::parameterized;

use crate::play::{BEAT, Fleet, configuration, ip, replace};

#[parameterized(quiet = { 0 }, lossy = { 15 })]
fn a_beat_at_one_hive_reaches_the_foragers_of_all(loss: u64) {
    // given
    let mut fleet = Fleet::settled(3);
    fleet.loss = loss;
    // when
    fleet.worker_joins(1, "w1");
    // then
    fleet.run(if loss == 0 { 120 } else { 4000 });
    assert!(fleet.lists_everywhere("w1"));
    fleet.run(20_000);
    assert!(fleet.lists_everywhere("w1"), "heard again and again");
}

#[test]
fn a_worker_that_falls_silent_is_not_listed_until_it_beats_again() {
    let mut fleet = Fleet::settled(3);
    fleet.worker_joins(0, "w1");
    fleet.run(500);
    // when it crashes
    fleet.forget_worker("w1");
    fleet.run(BEAT * 5);
    assert!(fleet.listed_nowhere("w1"));
    // when it was only cut off
    fleet.say(2, "w1", "ready");
    fleet.run(200);
    assert!(fleet.lists_everywhere("w1"));
}

#[parameterized(draining = { "draining" }, gone = { "gone" })]
fn a_departure_acknowledged_outlives_the_end_of_all_hives(how: &str) {
    // given
    let mut fleet = Fleet::settled(3);
    fleet.worker_joins(0, "w1");
    fleet.worker_joins(0, "w2");
    fleet.run(2000);
    // when
    fleet.forget_worker("w1");
    let command = match how {
        "gone" => Command::Leave { id: "w1".into() },
        state => fleet.beat("w1", state),
    };
    let (status, _) = fleet.ask(2, command);
    // then
    assert_eq!(status, 200);
    fleet.run(200);
    assert!(fleet.listed_nowhere("w1"));
    // and when all hives end, foragers too, and a beat from before comes late
    for at in 0..3 {
        fleet.kill(at);
    }
    fleet.foragers.clear();
    fleet.run(500);
    for at in 0..3 {
        fleet.start(at, false);
    }
    fleet.run(300);
    for at in 0..3 {
        fleet.follow(at);
        fleet.say(at, "w1", "ready");
    }
    fleet.run(8000);
    assert!(fleet.listed_nowhere("w1"));
    assert!(fleet.lists_everywhere("w2"));
}

#[test]
fn a_departure_is_not_acknowledged_while_disks_stall() {
    let mut fleet = Fleet::settled(3);
    fleet.worker_joins(0, "w1");
    fleet.run(1000);
    fleet.disk_stalls(1);
    fleet.disk_stalls(2);
    let beat = fleet.beat("w1", "draining");
    assert_eq!(fleet.ask(0, beat).0, 503);
    assert!(fleet.listed_nowhere("w1"), "not sent to all the same");
}

#[test]
fn a_hive_that_is_cut_off_acknowledges_nothing_and_believes_no_silence() {
    // given
    let mut fleet = Fleet::settled(3);
    fleet.worker_joins(0, "w0");
    fleet.worker_joins(1, "w1");
    fleet.run(3000);
    let first = configuration(1, "2");
    assert_eq!(fleet.ask(0, replace(&first)).0, 200);
    // when
    fleet.cut_off(2);
    fleet.run(5000);
    // then
    assert_eq!(fleet.ask(2, replace(&configuration(2, "3"))).0, 503);
    assert_eq!(fleet.ask(2, Command::Read).0, 503);
    let beat = fleet.beat("w1", "draining");
    assert_eq!(fleet.ask(2, beat).0, 503);
    fleet.worker_joins(2, "w2");
    fleet.run(100);
    assert!(fleet.foragers[2].lists("w2"), "learnt");
    let beat = fleet.beat("w2", "ready");
    assert_eq!(fleet.ask(2, beat).0, 503, "for the others to hear of it");
    let pulse = fleet.foragers[2].pulse.clone().expect("a pulse");
    assert!(!pulse.majority);
    fleet.run(60_000);
    assert!(fleet.foragers[2].lists("w0"), "it may be well");
    assert_eq!(fleet.ask(0, replace(&configuration(3, "3"))).0, 200);
    // and when it is over
    fleet.join();
    fleet.run(4000);
    assert!(fleet.lists_everywhere("w0"));
    assert!(fleet.lists_everywhere("w2"));
    assert!(fleet.listed_nowhere("w1"), "what it was told still holds");
    assert!(fleet.foragers.iter().all(|it| it.version == 3));
    assert_eq!(fleet.ask(2, Command::Read), (200, configuration(3, "3")));
}

#[test]
fn a_configuration_is_with_every_forager_within_a_second() {
    let mut fleet = Fleet::settled(5);
    assert_eq!(fleet.ask(3, Command::Read).0, 404);
    let body = configuration(7, "2.5");
    assert_eq!(fleet.ask(4, replace(&body)).0, 200);
    fleet.run(1000);
    assert!(fleet.foragers.iter().all(|it| it.version == 7));
    // an older one is acknowledged and has no effect
    assert_eq!(fleet.ask(0, replace(&configuration(6, "1"))).0, 200);
    for hive in 0..5 {
        assert_eq!(fleet.ask(hive, Command::Read), (200, body.clone()));
    }
    // a forager that comes now is told, one that knows is not
    fleet.follow(1);
    fleet.run(50);
    assert_eq!(fleet.foragers.last().map(|it| it.version), Some(7));
}

#[test]
fn of_two_contents_under_one_number_one_is_in_force() {
    let mut fleet = Fleet::settled(3);
    let (one, two) = (configuration(4, "1"), configuration(4, "2"));
    let first = fleet.call(0, replace(&one));
    let second = fleet.call(1, replace(&two));
    fleet.run(1000);
    let status = |ticket| fleet.answer(ticket).expect("an answer").status();
    let both = [status(first), status(second)];
    assert!(both.contains(&200) && both.contains(&409), "{both:?}");
    let held = if both[0] == 200 { one } else { two };
    assert_eq!(fleet.ask(2, Command::Read), (200, held));
}

#[parameterized(
    no_json = { "{", "can't be read whole" },
    unknown_service = { r#""service":"x""#, "listener-list[0].rule-set[0].route-action" },
    too_long = { r#""timeout-s":601"#, "listener-list[0].rule-set[0].route-action.timeout-s" },
    no_attempts = { r#""attempts":0"#, "listener-list[0].rule-set[0].route-action.attempts" },
)]
fn an_invalid_configuration_is_refused_with_its_fault(part: &str, named: &str) {
    let sound = String::from_utf8(configuration(1, "2").to_vec()).expect("text");
    let body = match part.split_once(':') {
        Some((field, _)) => {
            let (before, after) = sound.rsplit_once(&format!("{field}:")).expect("the field");
            let end = after.find([',', '}']).expect("its end");
            format!("{before}{part}{}", &after[end..])
        }
        None => part.to_owned(),
    };
    let answer = Command::replace(body.into()).expect_err("refused");
    assert_eq!(answer.status(), 400);
    let said = String::from_utf8_lossy(&answer.body);
    assert!(said.contains(named), "{said}");
}

#[test]
fn after_a_restart_of_all_hives_tables_stay_until_all_had_time_to_beat() {
    let mut fleet = Fleet::settled(3);
    fleet.worker_joins(0, "w0");
    fleet.worker_joins(1, "dies");
    fleet.run(3000);
    // when all hives are killed, and a worker with them
    for at in 0..3 {
        fleet.kill(at);
    }
    fleet.forget_worker("dies");
    fleet.run(200);
    for at in 0..3 {
        fleet.start(at, false);
        fleet.follow(at);
    }
    // then
    for _ in 0..20 {
        fleet.run(100);
        assert!(fleet.lists_everywhere("w0"));
        assert!(fleet.foragers.iter().all(|it| !it.settled));
    }
    fleet.run(4000);
    assert!(fleet.foragers.iter().all(|it| it.settled));
    assert!(fleet.lists_everywhere("w0"));
    assert!(fleet.listed_nowhere("dies"));
    // and one that is restarted alone is settled by what the others know
    fleet.kill(2);
    fleet.start(2, false);
    fleet.follow(2);
    fleet.run(1500);
    assert!(fleet.foragers[2].settled && fleet.foragers[2].lists("w0"));
}

#[test]
fn a_hive_that_stood_still_takes_nobody_for_silent() {
    let mut fleet = Fleet::settled(3);
    fleet.worker_joins(0, "w0");
    fleet.run(3000);
    fleet.freeze(2, true);
    fleet.run(12_000);
    fleet.freeze(2, false);
    for _ in 0..100 {
        fleet.run(100);
        assert!(fleet.foragers[2].lists("w0"));
    }
}

#[test]
fn a_worker_is_sent_to_the_hive_of_its_zone_while_that_is_well() {
    // given a worker of the zone of hive 1
    let mut fleet = Fleet::settled(3);
    let says = |fleet: &mut Fleet, hive| {
        let beat = fleet.beat("w1", "ready");
        let (status, body) = fleet.ask(hive, beat);
        assert_eq!(status, 200);
        String::from_utf8(body.to_vec()).expect("text")
    };
    let there = format!(r#"{{"heartbeat-address":"{}:8544"}}"#, ip(1));
    assert_eq!(says(&mut fleet, 0), there);
    assert_eq!(says(&mut fleet, 1), "{}");
    // when
    fleet.kill(1);
    fleet.run(1500);
    // then
    assert_eq!(says(&mut fleet, 0), "{}");
}

#[test]
fn a_bad_worker_is_lowered_in_every_table_and_probed_by_one_hive() {
    // given
    let mut fleet = Fleet::settled(3);
    for id in ["w0", "w1", "bad"] {
        fleet.worker_joins(0, id);
    }
    assert_eq!(fleet.ask(0, replace(&configuration(1, "2"))).0, 200);
    fleet.run(1000);
    // when
    let met = |id, failed| Line {
        worker: Number::of(id),
        tries: 20,
        failed,
        shed: 0,
        took_ms: 100,
        load: None,
    };
    fleet.well = false;
    for forager in &mut fleet.foragers {
        forager.lines = vec![met("w0", 0), met("w1", 0), met("bad", 20)];
    }
    fleet.run(4000);
    for forager in &mut fleet.foragers {
        forager.lines = vec![met("w0", 0), met("w1", 0)];
    }
    fleet.run(4000);
    // then
    for forager in &fleet.foragers {
        assert_eq!(forager.weight("w0"), Some(100));
        assert!(forager.weight("bad").is_some_and(|weight| weight < 50));
    }
    assert!(!fleet.probes.is_empty());
    let first = fleet.probes[0].1;
    assert!(
        fleet
            .probes
            .iter()
            .all(|(_, hive, id)| *hive == first && id == "bad")
    );
    // and when it is well again
    fleet.well = true;
    fleet.run(15_000);
    assert!(
        fleet
            .foragers
            .iter()
            .all(|it| it.weight("bad") == Some(100))
    );
}

#[test]
fn foragers_are_counted_over_all_hives_and_silent_ones_are_closed() {
    let mut fleet = Fleet::settled(3);
    fleet.follow(0);
    fleet.run(1500);
    let counted = |fleet: &Fleet| fleet.foragers[2].pulse.as_ref().map(|it| it.foragers);
    assert_eq!(counted(&fleet), Some(4));
    fleet.foragers[0].quiet = true;
    fleet.run(5000);
    assert!(!fleet.foragers[0].up);
    assert_eq!(counted(&fleet), Some(3));
    fleet.kill(1);
    fleet.run(5000);
    assert_eq!(counted(&fleet), Some(2));
}

#[test]
fn an_address_given_to_a_new_life_is_taken_from_the_one_before() {
    let mut fleet = Fleet::settled(3);
    fleet.worker_joins(0, "w1@x");
    fleet.run(500);
    fleet.forget_worker("w1@x");
    fleet.run(2200);
    assert!(fleet.lists_everywhere("w1@x"), "not silent for long");
    fleet.worker_joins(0, "w2@x");
    fleet.run(200);
    assert!(fleet.listed_nowhere("w1@x"));
    assert!(fleet.lists_everywhere("w2@x"));
}

#[test]
fn a_hive_that_ends_is_no_voter_any_more_so_a_disk_may_be_lost_at_once() {
    let mut fleet = Fleet::settled(4);
    let (status, _) = fleet.ask(1, replace(&configuration(1, "2")));
    assert_eq!(status, 200);
    fleet.tell(0, Event::Stop);
    while !fleet.stopped(0) {
        fleet.run(10);
    }
    fleet.kill(0);
    fleet.wipe(1);
    fleet.run(500);
    fleet.start(1, false);
    fleet.run(4000);
    assert_eq!(fleet.ask(2, replace(&configuration(2, "2"))).0, 200);
    assert_eq!(fleet.ask(1, Command::Read), (200, configuration(2, "2")));
}

#[test]
fn a_hive_that_is_told_to_end_finishes_what_it_has() {
    let mut fleet = Fleet::settled(3);
    let ticket = fleet.call(0, replace(&configuration(1, "2")));
    fleet.tell(0, Event::Stop);
    assert!(fleet.answer(ticket).is_none() && !fleet.stopped(0));
    assert!(!fleet.foragers[0].up, "it is to follow another");
    fleet.run(400);
    assert_eq!(
        fleet.answer(ticket).map(|answer| answer.status()),
        Some(200)
    );
    assert!(fleet.stopped(0));
    let beat = fleet.beat("w1", "ready");
    assert_eq!(fleet.ask(0, beat).0, 503);
}

/// How long the hive takes to end (ms), 6 s at the most; and what it says of it.
fn ends(fleet: &mut Fleet, hive: usize) -> (u64, Vec<String>) {
    fleet.logs.clear();
    fleet.tell(hive, Event::Stop);
    let began = fleet.now;
    while !fleet.stopped(hive) && fleet.now < began + 6_000 {
        fleet.run(10);
    }
    let said = fleet.logs.iter().filter(|it| it.0 == hive);
    (fleet.now - began, said.map(|it| it.1.clone()).collect())
}

#[test]
fn given_others_that_hold_all_when_a_hive_ends_then_it_says_so_and_ends_at_once() {
    let mut fleet = Fleet::settled(3);
    assert_eq!(put(&mut fleet, 0, 7), 200);
    let (took, said) = ends(&mut fleet, 0);
    assert!(took <= 200, "{took} ms");
    let all = format!("on the disks of {}, {}", ip(1), ip(2));
    let says = |it: &String| it.contains("version 7 and 0 marks") && it.contains(&all);
    assert!(said.iter().any(says), "{said:?}");
}

#[test]
fn given_nobody_to_take_over_when_a_hive_ends_then_it_waits_says_for_whom_and_ends_before_it_is_killed()
 {
    let mut fleet = Fleet::settled(3);
    assert_eq!(put(&mut fleet, 0, 7), 200);
    fleet.kill(2);
    fleet.run(1_000);
    let (took, said) = ends(&mut fleet, 0);
    assert!((4_500..5_500).contains(&took), "{took} ms");
    let missing = format!("no word of {}", ip(2));
    let waits = said.iter().filter(|it| it.contains(&missing)).count();
    assert_eq!(waits, 2, "{said:?}");
    assert!(
        said.last()
            .is_some_and(|it| it.contains("ends all the same"))
    );
}

#[test]
fn given_a_hive_that_waits_for_another_when_that_is_back_then_it_ends() {
    let mut fleet = Fleet::settled(3);
    assert_eq!(put(&mut fleet, 0, 7), 200);
    fleet.kill(2);
    fleet.run(1_000);
    assert_eq!(put(&mut fleet, 0, 8), 200);
    fleet.tell(0, Event::Stop);
    fleet.run(2_000);
    assert!(!fleet.stopped(0));
    fleet.start(2, false);
    fleet.run(1_500);
    assert!(fleet.stopped(0));
}

#[test]
fn given_a_table_just_told_when_a_worker_leaves_then_the_next_to_join_is_not_told_of_it() {
    let mut fleet = Fleet::settled(3);
    fleet.worker_joins(0, "w1");
    fleet.worker_joins(0, "w2");
    fleet.run(400);
    fleet.follow(0);
    fleet.say(0, "w1", "draining");
    fleet.follow(0);
    fleet.run(100);
    assert!(fleet.listed_nowhere("w1"));
    assert!(fleet.lists_everywhere("w2"));
}

/// How the voter on this machine stands in the eyes of a hive: the number of the set, its disk, whether it is
/// there, whether it votes, and by how much it is behind.
fn stand(fleet: &mut Fleet, asked: usize, of: usize) -> (u64, u64, bool, bool, u64) {
    let (status, body) = fleet.ask(asked, Command::Status);
    assert_eq!(status, 200);
    let status: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
    let voters = status["voters"].as_array().expect("a list");
    let it = voters
        .iter()
        .find(|it| it["voter"]["node"] == ip(of).to_string());
    let it = it.expect("a voter");
    (
        status["epoch"].as_u64().expect("a number"),
        it["voter"]["disk"].as_u64().expect("a number"),
        it["alive"].as_bool().expect("yes or no"),
        it["active"].as_bool().expect("yes or no"),
        it["behind"].as_u64().expect("a number"),
    )
}

fn put(fleet: &mut Fleet, hive: usize, version: u64) -> u16 {
    fleet.ask(hive, replace(&configuration(version, "2"))).0
}

/// The steps of "When something is lost" in docs/operating.md, in their order.
#[test]
fn the_operators_steps_for_what_is_lost_lead_where_the_page_says() {
    let mut fleet = Fleet::settled(3);
    assert_eq!(put(&mut fleet, 0, 5), 200);
    // A hive is away: nothing stops, and the others show it within two seconds.
    fleet.kill(2);
    fleet.run(2_000);
    assert_eq!(put(&mut fleet, 0, 6), 200);
    assert!(matches!(stand(&mut fleet, 0, 2), (1, 0, false, ..)));
    // It is started again, and catches up by itself.
    fleet.start(2, false);
    fleet.run(2_000);
    assert_eq!(stand(&mut fleet, 0, 2), (1, 0, true, true, 0));
    // Its disk is lost: an empty folder, `first-start: false`; soon a new set holds its new disk.
    fleet.wipe(2);
    fleet.run(1_000);
    fleet.start(2, false);
    fleet.run(2_000);
    let (epoch, disk, there, votes, behind) = stand(&mut fleet, 0, 2);
    assert!(epoch > 1 && disk != 0 && there && votes && behind == 0);
    assert_eq!(fleet.ask(2, Command::Read), (200, configuration(6, "2")));
    // Two of three are away: nothing is acknowledged or read.
    fleet.kill(1);
    fleet.kill(2);
    fleet.run(2_000);
    assert!(put(&mut fleet, 0, 7) != 200 && fleet.ask(0, Command::Read).0 != 200);
    // A second one is started; the same call, sent again, is answered.
    fleet.start(1, false);
    fleet.run(4_000);
    assert_eq!(put(&mut fleet, 0, 7), 200);
    fleet.start(2, false);
    fleet.run(4_000);
    // Two disks are lost for good: those left refuse, whatever comes back empty.
    fleet.wipe(1);
    fleet.wipe(2);
    fleet.run(1_000);
    (1..3).for_each(|hive| fleet.start(hive, false));
    fleet.run(8_000);
    assert!(put(&mut fleet, 0, 8) != 200 && fleet.ask(0, Command::Read).0 != 200);
    // All are stopped, found anew on empty disks, and are sent what the best of the old ones held.
    (0..3).for_each(|hive| fleet.wipe(hive));
    fleet.run(1_000);
    (0..3).for_each(|hive| fleet.start(hive, true));
    fleet.run(4_000);
    assert_eq!(put(&mut fleet, 0, 7), 200);
    fleet.run(2_000);
    for hive in 0..3 {
        assert_eq!(fleet.ask(hive, Command::Read), (200, configuration(7, "2")));
        assert_eq!(stand(&mut fleet, 0, hive), (1, 0, true, true, 0));
    }
}
