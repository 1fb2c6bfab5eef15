//! The built program among stand-ins for its peers, over loopback sockets.

mod common;
mod long_day;
mod reload;
mod sources;
mod spoilt;
mod strangers;

use std::time::{Duration, Instant};

use common::{EXAMPLE, Plan, World, config_file, program, uses};
use serde_json::{Value, json};

const DRAIN_GRACE: Duration = Duration::from_millis(2000);

/// Whether an order sets a line of `worker` to such a weight.
fn sets(worker: &str, line: impl Fn(f64) -> bool) -> impl Fn(&Value) -> bool {
    move |order| {
        let weight = order["rps"].as_f64();
        order["op"] == "SET" && order["target"] == worker && weight.is_some_and(&line)
    }
}

/// How many of the orders are wanted ones.
fn named(orders: &[Value], wanted: impl Fn(&Value) -> bool) -> usize {
    orders.iter().filter(|order| wanted(order)).count()
}

/// The load report of a worker that answers, as its zone's collector forwards it.
fn report(worker: &str, count: u32, fail: u32) -> String {
    let line = json!({"type": "upstream_stats", "site": "a", "target": worker, "count": count,
        "fail": fail, "mean": 40.0, "over": 2000.0, "util": {"inflight": 3, "queue": 0, "util": 0.4}});
    format!("{line}\n")
}

#[tokio::test]
async fn gives_signs_of_life_on_any_connection_before_any_peer_is_there() {
    let world = World::start().await;
    let mut config = world.config();
    // Nobody listens at the lowest ports.
    config["hub"]["address"] = json!("127.0.0.1:1");
    config["discovery"] = json!("127.0.0.1:1");
    let manager = world.manager_with(&config).await;
    let (mut one, mut other) = (manager.connect().await, manager.connect().await);
    one.heartbeat().await;
    other
        .send("{\"type\":\"telemetry\",\"site\":\"a\"}\n")
        .await;
    other.heartbeat().await;
    one.heartbeat().await;
}

#[tokio::test]
async fn a_proxy_that_attaches_is_bound_to_a_table_that_has_lines() {
    let world = World::start().await;
    let _manager = world.manager().await;
    world.relay.attach(3, "b");
    let bound = world.relay.until_taken("proxy 3 is bound", uses(3)).await;
    let orders = world.relay.taken();
    let table = &bound["table"];
    let at = orders.iter().position(uses(3)).expect("it was taken");
    for worker in ["w1", "w2", "w3", "w4"] {
        let line =
            |order: &Value| sets(worker, |weight| weight > 0.0)(order) && &order["table"] == table;
        assert_eq!(named(&orders[..at], line), 1, "{worker} in {orders:?}");
    }
}

#[tokio::test]
async fn a_drain_becomes_an_order_within_its_grace() {
    let world = World::start().await;
    let _manager = world.manager().await;
    world.relay.bind(0, "a").await;
    let told = Instant::now();
    world.list("w2", "b", "Terminating");
    let gone = sets("w2", |weight| weight == 0.0);
    world
        .relay
        .until_taken("w2 is out of the table", gone)
        .await;
    assert!(told.elapsed() < DRAIN_GRACE, "{:?}", told.elapsed());
}

#[tokio::test]
async fn a_start_in_mid_run_goes_by_the_old_list_until_a_newer_one_is_there() {
    let world = World::start().await;
    world.relay.attach(5, "a");
    world.discovery.silence(true);
    let mut config = world.config();
    config["known"] = json!({"index": 1, "snapshot": true, "endpoints": [
        {"name": "w1", "address": world.worker.address.to_string(), "zone": "a", "type": "m2",
         "group": 1, "status": "Ready", "weight": 1.0, "since_ms": 0},
        {"name": "w9", "address": world.worker.address.to_string(), "zone": "a", "type": "m2",
         "group": 1, "status": "Ready", "weight": 1.0, "since_ms": 0}]});
    let _manager = world.manager_with(&config).await;
    world.relay.until_taken("proxy 5 is bound", uses(5)).await;
    world.discovery.silence(false);
    let gone = sets("w9", |weight| weight == 0.0);
    world
        .relay
        .until_taken("w9, which is listed no longer, is out", gone)
        .await;
    let listed = sets("w4", |weight| weight > 0.0);
    world.relay.until_taken("w4 is in", listed).await;
}

#[tokio::test]
async fn times_of_start_are_on_the_manager_s_clock() {
    let world = World::start().await;
    let _manager = world.manager().await;
    world.relay.bind(0, "a").await;
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let now = unix.expect("after 1970").as_millis() as f64;
    let address = world.worker.address;
    world
        .discovery
        .list("cold", address, "a", "Ready", now - 500.0);
    world
        .discovery
        .list("warm", address, "a", "Ready", now - 60_000.0);
    let line = |worker| sets(worker, |weight| weight > 0.0);
    let cold = world
        .relay
        .until_taken("the cold worker has a line", line("cold"))
        .await;
    let warm = world
        .relay
        .until_taken("the warm worker has a line", line("warm"))
        .await;
    assert_eq!(warm["rps"], 1.0);
    assert!(
        cold["rps"].as_f64().is_some_and(|weight| weight < 0.5),
        "{cold}"
    );
}

#[tokio::test]
async fn news_that_breaks_is_opened_again_and_reconciled() {
    let world = World::start().await;
    let manager = world.manager().await;
    world.relay.attach(1, "a");
    world.relay.attach(2, "b");
    world.relay.until_taken("proxy 1 is bound", uses(1)).await;
    world.relay.until_taken("proxy 2 is bound", uses(2)).await;
    world.relay.break_news(2);
    // Proxy 1 may have left and joined anew: it is bound again. Proxy 2 is not there any more.
    let again = || (named(&world.relay.taken(), uses(1)) >= 2).then_some(());
    world.changes.until("proxy 1 is bound again", again).await;
    let counters = manager.until_counted("news_vanished", 1).await;
    assert_eq!((counters["news_vanished"], counters["news_opened"]), (1, 2));
    assert_eq!(named(&world.relay.taken(), uses(2)), 1);
}

#[tokio::test]
async fn news_that_falls_silent_is_opened_again() {
    let world = World::start().await;
    let manager = world.manager().await;
    manager.until_counted("news_opened", 1).await;
    world.relay.mute(true);
    let again = || (world.relay.opened() >= 2).then_some(());
    world.changes.until("the news is opened again", again).await;
    world.relay.mute(false);
    world.relay.bind(4, "a").await;
}

/// A relay that takes connections and drops them again was called without a pause.
#[tokio::test]
async fn news_that_ends_at_once_is_opened_at_a_bounded_pace() {
    let world = World::start().await;
    world.relay.be_curt(true);
    let begun = Instant::now();
    let _manager = world.manager().await;
    let often = || (world.relay.opened() >= 8).then(|| begun.elapsed());
    let took = world.changes.until("eight openings", often).await;
    assert!(took >= Duration::from_millis(600), "{took:?}");
    world.relay.be_curt(false);
    world.relay.bind(4, "a").await;
}

/// An agent that answers watches without a wait was called without a pause.
#[tokio::test]
async fn a_hasty_agent_is_called_at_a_bounded_pace() {
    let world = World::start().await;
    let manager = world.manager().await;
    manager.until_counted("lists_taken", 2).await;
    world.discovery.be_hasty();
    let (calls, begun) = (world.discovery.calls(), Instant::now());
    world.discovery.until_called(calls + 12).await;
    assert!(
        begun.elapsed() >= Duration::from_millis(200),
        "{:?}",
        begun.elapsed()
    );
}

#[tokio::test]
async fn a_proxy_that_leaves_and_comes_back_is_bound_again() {
    let world = World::start().await;
    let _manager = world.manager().await;
    world.relay.bind(1, "a").await;
    world.relay.detach(1);
    world.relay.attach(1, "a");
    let again = || (named(&world.relay.taken(), uses(1)) >= 2).then_some(());
    world.changes.until("proxy 1 is bound again", again).await;
}

#[tokio::test]
async fn a_call_taken_in_part_loses_only_the_order_that_cannot_be_used() {
    let world = World::start().await;
    world.relay.plan(&[Plan::Halt(0)]);
    let manager = world.manager().await;
    world.relay.bind(0, "a").await;
    let (plan, first) = world.relay.calls().swap_remove(0);
    assert_eq!(plan, Plan::Halt(0));
    let rest = &world.relay.calls()[1].1;
    assert_eq!(
        rest[..],
        first[1..],
        "what follows the first order of the first call"
    );
    let counters = manager.counters().await;
    assert_eq!(
        (counters["calls_short"], counters["orders_dropped"]),
        (1, 1)
    );
}

/// The first two calls meet `plan`. The first one must be repeated to the letter before anything
/// newer; if it may have been carried out, only once the relay is seen to answer.
async fn repeats_first_call_after(plan: Plan) {
    let world = World::start().await;
    world.relay.plan(&[plan, plan]);
    let _manager = world.manager().await;
    world.relay.bind(0, "a").await;
    let calls = world.relay.calls();
    let (first, probes) = (&calls[0].1, if plan == Plan::Throttle { 1 } else { 2 });
    let between = &calls[1..=probes];
    if plan == Plan::Throttle {
        assert_eq!(between, [(plan, first.clone())]);
    } else {
        assert_eq!(between, [(plan, vec![]), (Plan::Take, vec![])]);
    }
    assert_eq!(calls[probes + 1], (Plan::Take, first.clone()));
    let later = &calls[probes + 2..];
    assert!(
        later.iter().all(|(_, orders)| orders != first),
        "not repeated further: {calls:?}"
    );
}

#[tokio::test]
async fn a_call_without_an_answer_is_repeated_before_anything_newer() {
    repeats_first_call_after(Plan::Ignore).await;
}

#[tokio::test]
async fn a_call_that_breaks_is_repeated_before_anything_newer() {
    repeats_first_call_after(Plan::Break).await;
}

#[tokio::test]
async fn a_call_with_an_unreadable_answer_is_repeated_before_anything_newer() {
    repeats_first_call_after(Plan::Mumble).await;
}

#[tokio::test]
async fn a_call_before_the_run_is_repeated_until_it_is_taken() {
    repeats_first_call_after(Plan::Throttle).await;
}

#[tokio::test]
async fn a_list_goes_on_after_silence_and_after_a_gap() {
    let world = World::start().await;
    let manager = world.manager().await;
    world.relay.bind(0, "a").await;
    world.discovery.silence(true);
    manager.until_counted("lists_failed", 2).await;
    world.list("w5", "a", "Ready");
    world.discovery.silence(false);
    let said = |text: &str| {
        manager
            .log()
            .iter()
            .filter(|line| line.contains(text))
            .count()
    };
    let well = || (said("discovery: well again after") > 0).then_some(());
    world
        .changes
        .until("discovery is said to be well", well)
        .await;
    assert_eq!(said("discovery: no answer in time"), 1);
    let listed = sets("w5", |weight| weight > 0.0);
    world
        .relay
        .until_taken("w5, listed meanwhile, is in", listed)
        .await;
    world.discovery.forget("w1");
    let gone = sets("w1", |weight| weight == 0.0);
    world
        .relay
        .until_taken("w1, missing from the whole list, is out", gone)
        .await;
}

#[tokio::test]
async fn a_watch_follows_its_answer_within_its_span() {
    let world = World::start().await;
    let manager = world.manager().await;
    manager.until_counted("lists_taken", 2).await;
    for round in 0..5 {
        let (before, told) = (world.discovery.calls(), Instant::now());
        world.list(&format!("n{round}"), "a", "Ready");
        let next = || (world.discovery.calls() > before).then(|| told.elapsed());
        let took = world.changes.until("the next watch", next).await;
        assert!(took < Duration::from_millis(200), "{took:?}");
    }
}

#[tokio::test]
async fn reports_of_any_collector_reach_the_module_and_a_failing_worker_is_probed() {
    let world = World::start().await;
    let manager = world.manager().await;
    world.relay.bind(0, "a").await;
    manager.until_counted("lists_taken", 2).await;
    let mut collector = manager.collector("a").await;
    for worker in ["w2", "w3", "w4"] {
        collector.send(report(worker, 50, 0)).await;
    }
    let failing = report("w1", 50, 50);
    // In pieces, as a network may deliver it.
    for piece in failing.as_bytes().chunks(7) {
        collector.send(piece).await;
    }
    let out = sets("w1", |weight| weight == 0.0);
    world
        .relay
        .until_taken("w1, which fails, is out", out)
        .await;
    let probed = || (world.worker.probes() > 0).then_some(());
    world.changes.until("w1 is probed", probed).await;
    let counters = manager.until_counted("probes_ok", 1).await;
    assert_eq!(counters["collector_upstream"], 4);
    assert_eq!(counters["collector_connections"], 1);
}

#[tokio::test]
async fn probes_that_are_turned_away_or_stay_unanswered_fail_in_time() {
    let world = World::start().await;
    world.worker.answer_with(Some(503));
    let manager = world.manager().await;
    manager.until_counted("lists_taken", 2).await;
    let mut collector = manager.collector("a").await;
    for worker in ["w2", "w3", "w4"] {
        collector.send(report(worker, 50, 0)).await;
    }
    collector.send(report("w1", 50, 50)).await;
    let counters = manager.until_counted("probes_failed", 1).await;
    assert_eq!(counters.get("probes_ok"), None);
    world.worker.answer_with(None);
    // The one under way may have been answered still: a further one was not.
    let sent = counters["probes_sent"];
    manager.until_counted("probes_failed", sent + 1).await;
    world.worker.answer_with(Some(200));
    manager.until_counted("probes_ok", 1).await;
}

#[tokio::test]
async fn bad_news_is_dropped_and_the_rest_goes_on() {
    let world = World::start().await;
    let manager = world.manager().await;
    manager.until_counted("news_opened", 1).await;
    for line in [
        "nonsense",
        r#"{"type":"attach","object":{"id":8,"site":"a","rps":1,"new":true}}"#,
        r#"{"type":"attach","object":{"id":1,"site":"atlantis","rps":1,"new":true}}"#,
        r#"{"type":"attach","object":{"id":1,"site":"a","rps":-1,"new":true}}"#,
        r#"{"type":"done","object":{"id":1}}"#,
        r#"{"type":"detach"}"#,
    ] {
        world.relay.tell(line);
    }
    world.relay.bind(2, "a").await;
    assert_eq!(manager.counters().await["news_bad_lines"], 6);
}

#[tokio::test]
async fn collectors_that_vanished_make_room_for_new_ones_of_their_zone_only() {
    let world = World::start().await;
    let manager = world.manager().await;
    manager.until_counted("lists_taken", 2).await;
    let mut other = manager.collector("b").await;
    let mut collectors = Vec::new();
    for count in 0..5 {
        let collector = manager.collector("a").await;
        manager
            .until_counted("collector_connections", count + 2)
            .await;
        collectors.push(collector);
    }
    collectors[0].closed().await;
    other.heartbeat().await;
    collectors[1].heartbeat().await;
    assert_eq!(manager.counters().await["listener_shed"], 1);
}

#[tokio::test]
async fn a_sigterm_ends_it_promptly_and_well() {
    let world = World::start().await;
    let manager = world.manager().await;
    let mut line = manager.connect().await;
    line.heartbeat().await;
    let counters = manager.counted_at_its_end().await;
    assert_eq!(counters["listener_heartbeats"], 1);
}

#[tokio::test]
async fn a_bad_configuration_is_named_in_one_line() {
    let world = World::start().await;
    let good = world.config();
    let mut bad = Vec::new();
    for (key, value, word) in [
        ("listen", json!("nowhere"), "listen"),
        ("hub", json!({}), "address"),
        ("seed", json!("xyz"), "seed"),
        ("settings", json!({}), "tick_ms"),
        ("known", json!({"index": "new"}), "known"),
    ] {
        let mut config = good.clone();
        config[key] = value;
        bad.push((config.to_string(), word));
    }
    bad.push(("{".to_owned(), "EOF"));
    for (text, word) in bad {
        for command in ["serve", "check-config"] {
            let path = config_file(&text);
            let output = program()
                .arg(command)
                .arg("--config")
                .arg(path)
                .output()
                .await;
            let output = output.expect("it starts");
            assert!(!output.status.success(), "{command} of {text}");
            let said = String::from_utf8_lossy(&output.stderr);
            assert_eq!(said.lines().count(), 1, "{said}");
            assert!(said.contains(word), "{said}");
        }
    }
    for arguments in [
        &["serve"][..],
        &["check-config"],
        &["serve", "--config", "/nowhere/at-all"],
    ] {
        let output = program().args(arguments).output().await.expect("it starts");
        assert!(!output.status.success(), "{arguments:?}");
        assert_eq!(String::from_utf8_lossy(&output.stderr).lines().count(), 1);
    }
    let path = config_file(EXAMPLE);
    let output = program()
        .args(["check-config"])
        .env("RELAY_CONFIG", path)
        .output()
        .await;
    assert!(output.expect("it starts").status.success());
}

#[tokio::test]
async fn an_address_that_is_taken_is_named() {
    let world = World::start().await;
    let mut config = world.config();
    config["listen"] = json!(world.relay.address.to_string());
    let path = config_file(&config.to_string());
    let output = program()
        .args(["serve", "--config"])
        .arg(path)
        .output()
        .await;
    let output = output.expect("it starts");
    assert!(!output.status.success());
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(said.contains(&world.relay.address.to_string()), "{said}");
}

/// Replies that wait while the relay is out of reach came out of it as a burst of messages: the
/// channel's cap of waiting lines counts each of them.
#[tokio::test]
async fn replies_that_waited_for_the_relay_leave_as_one_call() {
    let world = World::start().await;
    let manager = world.manager().await;
    world.relay.bind(0, "a").await;
    world.relay.plan(&[Plan::Ignore; 10]);
    let before = world.relay.calls().len();
    // Each drain is urgent, and so a reply of its own.
    for worker in ["w1", "w2", "w3"] {
        let made = manager.counters().await["orders_made"];
        world.list(
            worker,
            if worker == "w2" { "b" } else { "a" },
            "Terminating",
        );
        manager.until_counted("orders_made", made + 1).await;
    }
    for worker in ["w1", "w2", "w3"] {
        let gone = sets(worker, |weight| weight == 0.0);
        world
            .relay
            .until_taken("the drained worker is out", gone)
            .await;
    }
    let calls = world.relay.calls().split_off(before);
    let with_orders = calls.iter().filter(|(_, orders)| !orders.is_empty());
    let plans: Vec<Plan> = with_orders.map(|(plan, _)| *plan).collect();
    // The one that was under way, twice, and all that waited.
    let expected = [Plan::Ignore, Plan::Take, Plan::Take];
    assert_eq!(plans, expected, "{calls:?}");
}

/// A manager that stands still for a second finds the answer and its time limit at once: the answer
/// counts, or the call would be repeated for nothing.
#[tokio::test]
async fn an_answer_that_came_while_the_manager_stood_still_counts() {
    let world = World::start().await;
    let manager = world.manager().await;
    world.relay.bind(0, "a").await;
    const ROUNDS: u64 = 4;
    for round in 0..ROUNDS {
        let worker = format!("x{round}");
        world.relay.hold(true);
        world.list(&worker, "a", "Ready");
        let named = sets(&worker, |weight| weight > 0.0);
        world
            .relay
            .until_taken("the worker's line has come", named)
            .await;
        manager.signal("STOP").await;
        world.relay.hold(false);
        // Standing still for longer than the answer's limit is what is tested.
        tokio::time::sleep(Duration::from_millis(400)).await;
        manager.signal("CONT").await;
        manager.until_counted("calls_taken", 3 + round).await;
    }
    let counters = manager.counters().await;
    // On a busy machine a stop may come after the limit once; every time it is the fault.
    let silent = counters.get("calls_silent").copied().unwrap_or(0);
    assert!(silent < ROUNDS, "{counters:?}");
}
