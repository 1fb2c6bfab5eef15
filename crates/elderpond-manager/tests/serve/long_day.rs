//! A long day: all workers are replaced again and again, streams break, and strangers stay. What the
//! manager keeps must not add up.

use crate::common::World;
use crate::{report, sets};

const ROUNDS: usize = 40;

#[tokio::test]
async fn nothing_adds_up_as_workers_streams_and_strangers_come_and_go() {
    let world = World::start().await;
    let manager = world.manager().await;
    world.relay.bind(0, "a").await;
    world.relay.bind(1, "b").await;
    let mut old = ["w1", "w2", "w3", "w4"].map(str::to_owned);
    let mut strangers = Vec::new();
    for round in 0..ROUNDS {
        for _ in 0..4 {
            let mut stranger = manager.connect().await;
            stranger.heartbeat().await;
            strangers.push(stranger);
        }
        let mut collector = manager.collector("a").await;
        collector.send(report(&old[0], 5, 0)).await;
        let new = [0, 1, 2, 3].map(|number| format!("r{round}-{number}"));
        for name in &new {
            world.list(name, "a", "Ready");
        }
        for name in &old {
            world.list(name, "a", "Gone");
        }
        let out = sets(&old[3], |weight| weight == 0.0);
        world.relay.until_taken("the old ones are out", out).await;
        if round % 10 == 0 {
            world.relay.break_news(9);
        }
        old = new;
    }
    // Who only asked for signs of life is gone after its time.
    let what = "no connection is open";
    let counters = manager.until_counts(what, |count| count("listener_open") == 0);
    let counters = counters.await;
    assert!(counters["list_names"] <= 64 + 4, "{counters:?}");
    assert_eq!(counters["news_joined"], 2);
    assert_eq!(counters["listener_connections"], 5 * ROUNDS as u64);
    assert_eq!(counters.get("invariants_broken"), None);
}
