//! The model tells the truth: queues wait as the closed forms say, and no request is lost or counted
//! twice, whatever goes wrong.

use elderpond::interface::{Action, Event};
use elderpond_model::{Scenario, Step, World};
use proptest::prelude::*;

/// A queue with `cores` servers at a load, over a long run, with nothing between it and its clients.
fn queue(cores: usize, load: f64, seconds: u32) -> World {
    let rate = load * cores as f64 * 100.0;
    let text = format!(
        "[scenario]\nduration = {seconds}s\n[network]\nwithin = 0us\nacross = 0us\nidle = 1h\n\
         [workers w]\ncount = 1\ncores = {cores}\n\
         [class c]\nwork = exponential 10ms\naim = 10s\ngive_up = 1000s\nrepeat = never\n\
         [clients]\nrate = {rate}\n[proxies]\ncount = 1\nusual_retry = no\n[managers]\nprobes = no\n"
    );
    World::new(Scenario::parse("queue.ini", &text).unwrap(), 7)
}

/// The probability that a request has to wait in an M/M/c queue (Erlang C).
fn erlang_c(cores: usize, load: f64) -> f64 {
    let offered = load * cores as f64;
    // Erlang B by its recurrence, then C from B.
    let blocked = (1..=cores).fold(1.0, |b, c| offered * b / (c as f64 + offered * b));
    blocked / (1.0 - load * (1.0 - blocked))
}

fn matches_the_closed_form(cores: usize, load: f64, seconds: u32) {
    let mut world = queue(cores, load, seconds);
    let report = world.play(|_, _, _| {});
    let service_ms = 10.0;
    let wait = erlang_c(cores, load) * service_ms / (cores as f64 * (1.0 - load));
    let mean = report.service.took_ms["mean"];
    let expected = wait + service_ms;
    assert!(
        (mean / expected - 1.0).abs() < 0.02,
        "{cores} cores at {load}: {mean} for {expected}"
    );
    let used = world.busy_ms(0) / (report.simulated_ms * cores as f64);
    assert!(
        (used / load - 1.0).abs() < 0.02,
        "{cores} cores at {load}: busy {used}"
    );
    assert_eq!(report.requests.answered, report.requests.asked);
}

#[test]
fn one_server_waits_as_the_closed_form_says() {
    matches_the_closed_form(1, 0.5, 10_000);
    matches_the_closed_form(1, 0.8, 20_000);
}

#[test]
fn several_servers_wait_as_the_closed_form_says() {
    matches_the_closed_form(4, 0.7, 4000);
    matches_the_closed_form(8, 0.9, 4000);
}

/// A scenario of anything: some machines, classes and troubles.
fn any_scenario() -> impl Strategy<Value = String> {
    let trouble = (0usize..24, 0u32..4000, 1u32..4000, 1u32..100, any::<bool>());
    let troubles = proptest::collection::vec(trouble, 0..5);
    let retry = prop_oneof!["no", "proven", "once", "twice"];
    let pick = prop_oneof!["pair", "lottery", "wheel"];
    let cancel = prop_oneof!["keeps", "drops-waiting", "stops"];
    (troubles, retry, pick, cancel, 0u32..3, 20u32..300, 1u32..4, 0u32..3).prop_map(
        |(troubles, retry, pick, cancel, ejects, rate, managers, retries)| {
            let mut text = format!(
                "[scenario]\nduration = 5s\nzones = a, b, c\n[network]\nidle = 2s\nstreams = 2\n\
                 [workers w]\ncount = 6\ncores = 2\nqueue = 8\nconnections = 20..60\ncancel = {cancel}\n\
                 key_memory = 1s\nkey_gain = 20%\nkeys = 20\ncrowding = 10%\n\
                 [class read]\nwork = exponential 30ms\naim = 200ms\ngive_up = 800ms\n\
                 repeat = read-like\npatience = 60%\n\
                 [class save]\nwork = lognormal 20ms 0.8\naim = 200ms\ngive_up = 1s\n\
                 repeat = keyed all 300ms\nwrites = yes\n\
                 [class submit]\nwork = pareto 10ms 2.1\naim = 300ms\ngive_up = 900ms\nrepeat = never\n\
                 [clients]\nrate = {rate}\nretries = {retries}\nbackoff = 10ms..200ms\nkeys = 50\n\
                 key_skew = 1\n[proxies]\ncount = 6\nskew = 1\nusual_retry = {retry}\npick = {pick}\n\
                 ejects = {ejects}\neject = 500ms\nnotice = 50ms..200ms\nredial = 50ms..200ms\nline = 20us\n\
                 [managers]\ncount = {managers}\nlist_late = 100ms..400ms\nreport = 500ms\n\
                 [rules]\ncold = 2s\ndown = 2s\n"
            );
            for (number, (kind, at, span, part, flaps)) in troubles.into_iter().enumerate() {
                let kind = elderpond_model::scenario::Kind::NAMES[kind].0;
                text += &format!(
                    "[trouble t{number}]\nkind = {kind}\nat = {at}ms\nfor = {span}ms\npart = {part}%\n\
                     zone = b\nclass = save\n"
                );
                if flaps {
                    text += "flap = 300ms 200ms\n";
                }
            }
            text
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    /// Asked = answered + refused + timed out + in flight, at every step; nothing is kept at the end;
    /// and the same scenario and seed make the same run.
    #[test]
    fn no_request_is_lost_or_counted_twice(text in any_scenario(), seed in any::<u64>()) {
        let scenario = Scenario::parse("any.ini", &text).unwrap();
        let run = || {
            let mut world = World::new(scenario.clone(), seed);
            loop {
                let step = world.next(u64::MAX);
                let counts = world.counts();
                assert!(counts.conserved(), "{counts:?} in\n{text}");
                let (requests, _) = world.kept();
                assert!(requests as u64 >= counts.in_flight);
                match step {
                    Step::Over => break,
                    Step::Batch { manager, ref events, .. } => {
                        // Binds whoever joins to a table of all that is listed.
                        let mut orders = Vec::new();
                        for event in events {
                            match event {
                                Event::List { entries, .. } => orders.extend(
                                    entries.iter().map(|entry| Action::set_weight(0, entry.worker, 1.0)),
                                ),
                                Event::Joined(joined) => orders.push(Action::bind(0, 0, joined.proxy)),
                                _ => {}
                            }
                        }
                        world.obey(manager, &orders);
                    }
                    _ => {}
                }
            }
            let counts = world.counts();
            assert_eq!(counts.in_flight, 0);
            (serde_json::to_string(&world.report()).unwrap(), world.kept())
        };
        let (first, (requests, tries)) = run();
        // Work that its clients have left may go on in the workers; nothing else is kept.
        prop_assert!(requests <= tries, "{requests} requests, {tries} tries in\n{text}");
        prop_assert_eq!(first, run().0);
    }
}
