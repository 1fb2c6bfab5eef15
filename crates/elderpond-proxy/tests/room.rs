//! Room that bulk work leaves to urgent work.

mod world;

use world::*;

/// The route of the lower rank.
const BULK: &str = "safe";
/// The route of the higher rank.
const URGENT: &str = "unsafe";

#[test]
fn given_bulk_holds_all_that_it_may_when_the_bell_rings_then_urgent_work_is_carried() {
    // 24 connections to workers, of which one is kept for the first rank
    let place = USUAL.with(|it| (it.descriptors, it.priorities) = (280, [1, 0]));
    story(place, async |world| {
        let (mut clients, mut wires) = (Vec::new(), Vec::new());
        for id in 1..=23 {
            clients.push(world.asks(ask(BULK, &id.to_string())).await);
            tokio::select! {
                asked = world.a.asked() => wires.push(asked),
                asked = world.b.asked() => wires.push(asked),
            }
        }
        let mut client = world.asks(ask(BULK, "24")).await;
        let refused = client.message().await;
        assert_eq!(refused.status(), 503);
        assert!(refused.header("retry-after").is_some());
        client.send(ask(URGENT, "25")).await;
        let (mut worker, asked) = tokio::select! {
            asked = world.a.asked() => asked,
            asked = world.b.asked() => asked,
        };
        assert_eq!(asked.header("x-attempt-id"), Some("25"));
        worker.send(good("25", "open")).await;
        assert_eq!(client.message().await.body, b"open");
        // bulk goes on when some of it has ended: twice what the bell asked for is kept now
        for (id, (worker, asked)) in wires.iter_mut().enumerate().take(2) {
            let id = (id + 1).to_string();
            assert_eq!(asked.header("x-attempt-id"), Some(&*id));
            worker.send(good(&id, "late, but whole")).await;
        }
        assert_eq!(clients[1].message().await.body, b"late, but whole");
        assert_eq!(clients[0].message().await.body, b"late, but whole");
        clients[0].send(ask(BULK, "26")).await;
        let (first, second) = wires.split_at_mut(1);
        let more = tokio::select! {
            more = first[0].0.message() => more,
            more = second[0].0.message() => more,
            (_, more) = world.a.asked() => more,
            (_, more) = world.b.asked() => more,
        };
        assert_eq!(more.header("x-attempt-id"), Some("26"));
    });
}
