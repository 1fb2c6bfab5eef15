//! New configurations on SIGHUP: the peers move, and nothing is lost, doubled or overtaken.

use serde_json::{Value, json};

use crate::common::{Discovery, Plan, Relay, World, uses};
use crate::{named, sets};

/// The configuration with other addresses.
fn moved(world: &World, relay: &Relay, discovery: &Discovery) -> Value {
    let mut config = world.config();
    config["hub"]["address"] = json!(relay.address.to_string());
    config["discovery"] = json!(discovery.address.to_string());
    config
}

/// Another agent, whose list has versions of its own.
async fn another_agent(world: &World, workers: &[(&str, &str)]) -> Discovery {
    let agent = Discovery::start(&world.changes).await;
    for (name, zone) in workers {
        agent.list(name, world.worker.address, zone, "Ready", 0.0);
    }
    agent
}

const WORKERS: [(&str, &str); 4] = [("w1", "a"), ("w2", "b"), ("w3", "a"), ("w4", "b")];

/// Waits until the news is followed at the new address only, and shuts the old one.
async fn until_moved(world: &World, relay: &Relay) {
    let moved = || (relay.is_followed() && !world.relay.is_followed()).then_some(());
    let what = "the news is followed at the new address only";
    world.changes.until(what, moved).await;
    world.relay.shut();
}

/// Has the module order something, and waits for it.
async fn until_ordered(relay: &Relay, agent: &Discovery, world: &World, worker: &str) {
    agent.list(worker, world.worker.address, "a", "Ready", 0.0);
    let listed = sets(worker, |weight| weight > 0.0);
    relay.until_taken("the worker has a line", listed).await;
}

#[tokio::test]
async fn all_peers_move_and_proxies_that_hold_what_was_ordered_are_not_bound_again() {
    let world = World::start().await;
    let manager = world.manager().await;
    for proxy in 0..4 {
        world.relay.bind(proxy, "a").await;
    }
    // Versions of the old agent's list are far ahead of the new one's.
    for round in 0..20 {
        world.list(&format!("n{}", round % 4), "a", "Ready");
    }
    // What was never ordered would not be taken back.
    let ordered = sets("n0", |weight| weight > 0.0);
    world.relay.until_taken("n0 has a line", ordered).await;
    let relay = world.relay.elsewhere().await;
    let agent = another_agent(&world, &WORKERS).await;
    let before = relay.doors().len();
    manager
        .reload(&moved(&world, &relay, &agent).to_string())
        .await;
    until_moved(&world, &relay).await;
    let gone = sets("n0", |weight| weight == 0.0);
    let what = "what only the old agent listed is out";
    relay.until_taken(what, gone).await;
    until_ordered(&relay, &agent, &world, "w5").await;
    relay.bind(6, "b").await;
    let counters = manager.until_counted("news_kept", 4).await;
    assert_eq!((counters["reloads"], counters["news_moved"]), (1, 1));
    assert_eq!(counters.get("calls_repeated"), None);
    for proxy in [0, 1, 2, 3, 6] {
        assert_eq!(named(&relay.taken(), uses(proxy)), 1, "proxy {proxy}");
    }
    let doors = relay.doors();
    let first = doors.iter().position(|door| *door == relay.address);
    let (old, new) = doors.split_at(first.expect("it is called there"));
    assert!(
        old.len() >= before && new.iter().all(|door| *door == relay.address),
        "{doors:?}"
    );
}

/// Proxies that come, leave or start over while the news moves are not missed.
#[tokio::test]
async fn what_the_new_address_tells_otherwise_is_believed() {
    let world = World::start().await;
    let manager = world.manager().await;
    for proxy in 0..3 {
        world.relay.bind(proxy, "a").await;
    }
    let other = World::start().await;
    // This relay knows proxy 0 as one that has started over, and does not know proxy 1.
    other.relay.attach(0, "a");
    other.relay.attach(2, "b");
    let config = moved(&world, &other.relay, &world.discovery);
    manager.reload(&config.to_string()).await;
    let what = "proxy 0, which started over, is bound again";
    other.relay.until_taken(what, uses(0)).await;
    let what = "proxy 2, now in another zone, is bound again";
    other.relay.until_taken(what, uses(2)).await;
    manager.until_counted("news_vanished", 1).await;
    assert_eq!(named(&other.relay.taken(), uses(1)), 0);
}

/// The call under way ends where it was begun; what is newer comes behind it, at the new address.
#[tokio::test]
async fn a_call_under_way_is_not_overtaken() {
    let world = World::start().await;
    let manager = world.manager().await;
    world.relay.bind(0, "a").await;
    let relay = world.relay.elsewhere().await;
    world.relay.plan(&[Plan::Ignore]);
    world.list("w5", "a", "Ready");
    let under_way = || {
        let calls = relay.calls();
        let (plan, orders) = calls.last()?;
        (*plan == Plan::Ignore).then(|| orders.clone())
    };
    let first = world.changes.until("a call is under way", under_way).await;
    let config = moved(&world, &relay, &world.discovery);
    manager.reload(&config.to_string()).await;
    until_ordered(&relay, &world.discovery, &world, "w6").await;
    let calls = relay.calls();
    let ignored = calls.iter().position(|(plan, _)| *plan == Plan::Ignore);
    let after = &calls[ignored.expect("it came") + 1..];
    // In doubt: first a call that costs nothing, then the same again, then what is newer.
    let expected = [(Plan::Take, vec![]), (Plan::Take, first)];
    assert_eq!(after[..2], expected);
    let doors = relay.doors();
    assert!(doors[doors.len() - after.len()..].contains(&relay.address));
}

#[tokio::test]
async fn a_bad_configuration_is_logged_and_the_old_one_goes_on() {
    let world = World::start().await;
    let manager = world.manager().await;
    let good = world.config().to_string();
    let mut nowhere = world.config();
    nowhere["hub"]["address"] = json!("nowhere");
    let mut unset = world.config();
    unset["settings"] = json!({});
    let bad = [
        "",
        &good[..good.len() / 2],
        &nowhere.to_string(),
        &unset.to_string(),
    ];
    for (count, text) in (1..).zip(bad) {
        manager.reload(text).await;
        manager.until_counted("reloads_bad", count).await;
    }
    manager
        .until_logged("configuration not taken, the old one goes on")
        .await;
    world.relay.bind(0, "a").await;
    until_ordered(&world.relay, &world.discovery, &world, "w5").await;
    manager.connect().await.heartbeat().await;
}

#[tokio::test]
async fn the_same_addresses_move_nobody_and_other_keys_want_a_restart() {
    let world = World::start().await;
    let manager = world.manager().await;
    world.relay.bind(0, "a").await;
    let mut config = world.config();
    config["seed"] = json!("1");
    config["limits"]["sockets"] = json!(512);
    config["settings"]["tick_ms"] = json!(5.0);
    manager.reload(&config.to_string()).await;
    manager.until_logged("no peer has moved").await;
    manager.until_logged("limits.sockets differs").await;
    manager.until_logged("settings differs").await;
    assert!(!manager.log().iter().any(|line| line.contains("listen ")));
    let counters = manager.counters().await;
    assert_eq!((counters["reloads"], counters["news_opened"]), (1, 1));
}

/// An address at which nobody answers is as good as an old one that still does; the next
/// configuration may come before the last one has been followed.
#[tokio::test]
async fn a_reload_during_a_reload_ends_at_the_last_addresses() {
    let world = World::start().await;
    let manager = world.manager().await;
    world.relay.bind(0, "a").await;
    let mut config = world.config();
    // Nobody listens at the lowest ports.
    config["hub"]["address"] = json!("127.0.0.1:1");
    config["discovery"] = json!("127.0.0.1:1");
    manager.reload(&config.to_string()).await;
    manager.until_counted("lists_failed", 1).await;
    until_ordered(&world.relay, &world.discovery, &world, "w5").await;
    let relay = world.relay.elsewhere().await;
    let agent = another_agent(&world, &WORKERS).await;
    manager.reload(&world.config().to_string()).await;
    let config = moved(&world, &relay, &agent);
    manager.reload(&config.to_string()).await;
    until_moved(&world, &relay).await;
    until_ordered(&relay, &agent, &world, "w7").await;
    assert_eq!(named(&relay.taken(), uses(0)), 1);
    assert_eq!(relay.doors().last(), Some(&relay.address));
}

#[tokio::test]
async fn a_sigterm_during_a_reload_ends_it_promptly_and_well() {
    let world = World::start().await;
    let manager = world.manager().await;
    world.relay.bind(0, "a").await;
    let relay = world.relay.elsewhere().await;
    let config = moved(&world, &relay, &world.discovery);
    manager.reload(&config.to_string()).await;
    manager.counted_at_its_end().await;
}
