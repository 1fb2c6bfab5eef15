//! Spoilt messages of collectors: each costs itself, wholly, and nothing around it.

use tokio::io::AsyncWriteExt;

use crate::common::World;
use crate::report;

#[tokio::test]
async fn a_spoilt_line_costs_itself_and_is_counted_by_kind() {
    let world = World::start().await;
    let manager = world.manager().await;
    manager.until_counted("lists_taken", 2).await;
    let mut collector = manager.collector("a").await;
    let spoilt = [
        "[1,2]\n",
        "{\"type\":\"upstream_stats\"}\n",
        "{\"type\":7}\n",
        "{\"type\":\"client_stats\",\"id\":1,\"lane\":\"read\",\"count\":-1,\"fail\":0,\"over\":1}\n",
        "{\"type\":\"client_stats\",\"id\":1e30,\"lane\":\"read\",\"count\":1,\"fail\":0,\"over\":1}\n",
        // Without a mean: it would pass for answers within no time.
        "{\"type\":\"upstream_stats\",\"site\":\"a\",\"target\":\"w1\",\"count\":5,\"fail\":0,\"over\":9}\n",
    ];
    let unlisted = [
        "{\"type\":\"client_stats\",\"id\":8,\"lane\":\"read\",\"count\":1,\"fail\":0,\"over\":1}\n",
        "{\"type\":\"client_stats\",\"id\":1,\"lane\":\"x\",\"count\":1,\"fail\":0,\"over\":1}\n",
        &report("nobody", 5, 0),
    ];
    for line in spoilt.into_iter().chain(unlisted) {
        collector.send(report("w1", 5, 0)).await;
        collector.send(line).await;
    }
    collector.send("{\"type\":\"poem\"}\n").await;
    collector.send(report("w1", 5, 0)).await;
    collector.heartbeat().await;
    let counters = manager.counters().await;
    assert_eq!(counters["collector_spoilt"], 6);
    assert_eq!(counters["collector_unlisted"], 3);
    assert_eq!(counters["collector_unknown"], 1);
    assert_eq!(counters["collector_upstream"], 10);
    assert_eq!(counters.get("collector_unreadable"), None);
}

/// A connection that goes on with what is no JSON tells nothing more: its collector comes back
/// only once it is closed.
#[tokio::test]
async fn a_stream_that_has_lost_its_framing_is_closed_and_no_other() {
    let world = World::start().await;
    let manager = world.manager().await;
    manager.until_counted("lists_taken", 2).await;
    let mut other = manager.collector("b").await;
    let mut lost = manager.collector("a").await;
    lost.send(report("w1", 5, 0)).await;
    lost.send(b"{\"type\":\"upstr\x07\xff\xfe no end of it\n")
        .await;
    lost.closed().await;
    let mut endless = manager.collector("a").await;
    while endless.0.write_all(&[b'x'; 1 << 16]).await.is_ok() {}
    let mut back = manager.collector("a").await;
    back.send(report("w1", 5, 0)).await;
    back.heartbeat().await;
    other.heartbeat().await;
    let counters = manager.counters().await;
    assert_eq!(counters["collector_unreadable"], 2);
    assert_eq!(counters["collector_upstream"], 2);
}

#[tokio::test]
async fn the_log_is_bounded_whatever_peers_do() {
    let world = World::start().await;
    let manager = world.manager().await;
    let mut collector = manager.collector("a").await;
    for _ in 0..1000 {
        collector.send("{\"type\":\"client_stats\"}\n").await;
    }
    collector.heartbeat().await;
    let logged = manager.log();
    let lines = logged.iter().filter(|line| line.contains("line dropped"));
    assert!(lines.count() <= 10, "{logged:?}");
    let counters = manager.counted_at_its_end().await;
    assert_eq!(counters["collector_spoilt"], 1000);
}
