//! Whoever has not joined as a collector: answered, turned away in time, and in nobody's way.

use std::time::{Duration, Instant};

use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::task::JoinSet;

use crate::common::{Line, Manager, World};
use crate::report;

/// A bad client is owed a close or a rejection so long after connecting,
const OWED: Duration = Duration::from_secs(3);
/// or so long if what it sends never ends.
const OWED_ENDLESS: Duration = Duration::from_secs(6);
const REJECT: &str = "{\"type\":\"reject\"}\n";

/// Connects, says `text`, and is turned away in time; returns what it was told.
async fn turned_away(manager: &Manager, text: &[u8]) -> String {
    let connected = Instant::now();
    let mut stranger = manager.connect().await;
    stranger.send(text).await;
    let said = stranger.turned_away().await;
    let took = connected.elapsed();
    let shown = String::from_utf8_lossy(&text[..text.len().min(80)]);
    assert!(took < OWED, "{took:?} for {shown}");
    said
}

#[tokio::test]
async fn a_first_offence_is_rejected_whatever_it_is() {
    let world = World::start().await;
    let manager = world.manager().await;
    let offences = [
        &b"hello\n"[..],
        b"\n",
        b"\xff\xfe\x00\x01\n",
        b"[1,2]\n",
        b"{}\n",
        b"{\"type\":7}\n",
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"{\"type\":\"telemetry\",\"site\":\"atlantis\"}\n",
        b"{\"type\":\"telemetry\"}\n",
        b"{\"type\":\"attach\",\"id\":3,\"site\":\"a\",\"rps\":1.0,\"new\":true}\n",
        b"{\"type\":\"assign\"}\n",
        b"{\"op\":\"SET\",\"table\":0,\"target\":\"w1\",\"rps\":0.0}\n",
        b"{\"type\":\"client_stats\",\"id\":1,\"lane\":\"read\",\"count\":1,\"fail\":0,\"over\":1}\n",
        report("w1", 5, 5).as_bytes(),
        // Signs of life before it change nothing, nor does what comes behind it.
        b"nonsense\n{\"type\":\"telemetry\",\"site\":\"a\"}\n",
        &[b'{'; 64 << 10],
    ]
    .map(<[u8]>::to_vec);
    let count = offences.len() as u64;
    for offence in offences {
        assert_eq!(turned_away(&manager, &offence).await, REJECT);
    }
    let counters = manager.counters().await;
    assert_eq!(counters["strangers_rejected"], count);
    for none in ["collector_connections", "collector_upstream"] {
        assert_eq!(counters.get(none), None);
    }
}

#[tokio::test]
async fn who_does_not_join_is_turned_away_in_time_whatever_it_says() {
    let world = World::start().await;
    let manager = world.manager().await;
    let half = b"{\"type\":\"telemetry\",\"si";
    let length = [0xff, 0xff, 0xff, 0xff, b'{'];
    let (silent, half, length, drip, signs) = tokio::join!(
        turned_away(&manager, b""),
        turned_away(&manager, half),
        turned_away(&manager, &length),
        async {
            let connected = Instant::now();
            let mut stranger = manager.connect().await;
            // A byte at a time: none of them renews the time limit.
            while stranger.0.write_all(b" ").await.is_ok() {
                assert!(connected.elapsed() < OWED_ENDLESS, "it goes on and on");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            connected.elapsed()
        },
        async {
            let connected = Instant::now();
            let mut stranger = manager.connect().await;
            stranger.heartbeat().await;
            stranger.heartbeat().await;
            stranger.turned_away().await;
            connected.elapsed()
        },
    );
    assert_eq!([silent, half, length], [REJECT; 3]);
    assert!(drip < OWED && signs < OWED, "{drip:?}, {signs:?}");
    let second = Duration::from_secs(1);
    assert!(signs >= second, "a collector has a second to join");
}

#[tokio::test]
async fn what_never_ends_is_cut_off_in_time() {
    let world = World::start().await;
    let manager = world.manager().await;
    for chunk in [vec![b'x'; 1 << 16], b"{\"type\":\"hb\"}\n".repeat(1 << 12)] {
        let connected = Instant::now();
        let mut stranger = manager.connect().await;
        while stranger.0.write_all(&chunk).await.is_ok() {
            assert!(connected.elapsed() < OWED_ENDLESS, "it goes on and on");
        }
    }
    manager.connect().await.heartbeat().await;
}

/// With the fewest descriptors that a manager is given.
#[tokio::test]
async fn hundreds_at_once_are_all_seen_off_and_collectors_among_them_join() {
    let world = World::start().await;
    let mut config = world.config();
    config["limits"]["sockets"] = json!(256);
    let manager = world.manager_with(&config).await;
    manager.until_counted("lists_taken", 2).await;
    let mut early = manager.collector("b").await;
    let mut strangers = JoinSet::new();
    let mut late = Vec::new();
    for number in 0..400 {
        let connected = Instant::now();
        let mut stranger = manager.connect().await;
        if number % 2 == 0 {
            stranger.send("{\"ty").await;
        }
        strangers.spawn(async move {
            stranger.turned_away().await;
            connected.elapsed()
        });
        if number % 100 == 50 {
            late.push(manager.collector("a").await);
        }
    }
    let took = strangers.join_all().await;
    assert!(took.iter().all(|took| *took < OWED), "{took:?}");
    early.send(report("w1", 5, 0)).await;
    for collector in &mut late {
        collector.send(report("w2", 5, 0)).await;
    }
    let counters = manager.until_counted("collector_upstream", 5).await;
    assert_eq!(counters["collector_connections"], 5);
    early.heartbeat().await;
    manager.connect().await.heartbeat().await;
}

#[tokio::test]
async fn a_joined_collector_may_say_what_is_not_known_and_stay_silent() {
    let world = World::start().await;
    let manager = world.manager().await;
    manager.until_counted("lists_taken", 2).await;
    let mut collector: Line = manager.collector("a").await;
    collector.send("{\"type\":\"poem\"}\n\n").await;
    let joined = Instant::now();
    // Others come and are turned away for being silent meanwhile; it is not.
    turned_away(&manager, b"").await;
    assert!(joined.elapsed() > Duration::from_secs(1));
    collector.send(report("w1", 5, 0)).await;
    collector.heartbeat().await;
    let counters = manager.counters().await;
    assert_eq!(
        (
            counters["collector_unknown"],
            counters["collector_upstream"]
        ),
        (1, 1)
    );
}
