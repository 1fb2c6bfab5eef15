//! Clients that leave before they are answered: what workers do for them ends, and nothing more is begun.

mod world;

use std::time::Duration;

use tokio::time::timeout;
use world::*;

/// A worker may go on for this long after its client has left.
const PROMPT: Duration = Duration::from_millis(500);

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Leaving {
    Close,
    Reset,
    /// It sends no more, and would still read.
    HalfClose,
}

const WAYS: [Leaving; 3] = [Leaving::Close, Leaving::Reset, Leaving::HalfClose];

/// The client leaves; what is left of its connection, which has to be kept for as long as the story goes on.
async fn leaves(mut client: Wire, how: Leaving) -> Option<Wire> {
    match how {
        Leaving::Close => drop(client),
        Leaving::Reset => client.reset(),
        Leaving::HalfClose => {
            client.half_close().await;
            return Some(client);
        }
    }
    None
}

/// Plays a scenario once for each way to leave, each time with a proxy that knows nothing of the others: a
/// worker that was silent before is doubted, and the next client sent elsewhere.
fn in_each_way(scenario: impl AsyncFn(World, Leaving)) {
    for how in WAYS {
        story(USUAL, async |world| scenario(world, how).await);
    }
}

/// The worker's connection ends soon, which tells it to stop.
async fn stops(worker: &mut Wire, what: &str) {
    let gone = timeout(PROMPT, worker.is_gone()).await;
    assert!(gone.is_ok(), "{what}: the worker goes on");
}

#[test]
fn a_worker_stops_when_the_client_of_a_safe_request_leaves() {
    in_each_way(async |world, how| {
        let (_kept, mut worker) = world.acquainted().await;
        let client = world.asks(ask("safe", "2")).await;
        assert_eq!(worker.message().await.header("x-attempt-id"), Some("2"));
        let _rest = leaves(client, how).await;
        stops(&mut worker, &format!("{how:?}")).await;
        world.b.is_left_alone().await;
    });
}

#[test]
fn workers_stop_for_all_requests_that_a_client_sent_ahead() {
    in_each_way(async |world, how| {
        let ahead = [ask("safe", "1"), ask("safe", "2"), ask("safe", "3")].concat();
        let client = world.asks(ahead).await;
        let mut workers = Vec::new();
        for _ in 0..3 {
            workers.push(world.a.asked().await.0);
        }
        let _rest = leaves(client, how).await;
        for worker in &mut workers {
            stops(worker, &format!("{how:?}")).await;
        }
        world.b.is_left_alone().await;
    });
}

#[test]
fn nothing_is_sent_for_a_client_that_has_left() {
    story(USUAL, async |world| {
        let bodies: [&[u8]; 2] = [b"", b"body"];
        for how in WAYS {
            for kind in ["safe", "unsafe"] {
                for body in bodies {
                    let sent = request("POST", &format!("/{kind}/x"), "1", body);
                    let client = world.asks(sent).await;
                    // before the proxy has read any of it
                    let _rest = leaves(client, how).await;
                    world.a.is_left_alone().await;
                }
            }
        }
        world.b.is_left_alone().await;
    });
}

#[test]
fn an_unsafe_request_that_may_have_begun_runs_on_and_once() {
    story(USUAL, async |world| {
        for how in WAYS {
            let (_kept, mut worker) = world.acquainted().await;
            let client = world.asks(ask("unsafe", "2")).await;
            worker.message().await;
            let _rest = leaves(client, how).await;
            let stopped = timeout(PROMPT, worker.is_gone()).await;
            assert!(stopped.is_err(), "{how:?}: it was stopped halfway");
            worker.send(good("2", "two")).await;
            // its connection is kept, so that nothing but that answer was due on it
            let mut next = world.asks(ask("unsafe", "3")).await;
            assert_eq!(worker.message().await.header("x-attempt-id"), Some("3"));
            worker.send(good("3", "three")).await;
            assert_eq!(next.message().await.body, b"three");
        }
        world.a.is_left_alone().await;
        world.b.is_left_alone().await;
    });
}

#[test]
fn a_worker_that_answers_soon_after_its_client_left_keeps_its_connection() {
    story(USUAL, async |world| {
        let (_kept, mut worker) = world.acquainted().await;
        for how in WAYS {
            let client = world.asks(ask("safe", "2")).await;
            worker.message().await;
            let _rest = leaves(client, how).await;
            worker.send(good("2", "late")).await;
            let mut next = world.asks(ask("safe", "3")).await;
            assert_eq!(worker.message().await.header("x-attempt-id"), Some("3"));
            worker.send(good("3", "next")).await;
            assert_eq!(next.message().await.body, b"next");
        }
    });
}

#[test]
fn nothing_is_tried_again_for_a_client_that_has_left() {
    story(USUAL, async |world| {
        for said in ["", FULL] {
            let client = world.asks(ask("safe", "1")).await;
            let (mut worker, _) = world.a.asked().await;
            drop(client);
            worker.send(said).await;
            drop(worker);
            world.a.is_left_alone().await;
            world.b.is_left_alone().await;
        }
    });
}

#[test]
fn both_workers_stop_that_have_a_request_whose_client_leaves() {
    story(USUAL.with(|it| it.aim_s = 0.2), async |world| {
        let client = world.asks(ask("safe", "1")).await;
        let (mut first, _) = world.a.asked().await;
        // it runs late, so that another worker is asked beside it
        let (mut second, _) = world.b.asked().await;
        drop(client);
        stops(&mut first, "the first").await;
        stops(&mut second, "the second").await;
    });
}

#[test]
fn a_worker_stops_when_its_client_leaves_within_a_body() {
    story(USUAL, async |world| {
        for kind in ["safe", "unsafe"] {
            for how in WAYS {
                let sent = request("POST", &format!("/{kind}/x"), "1", &vec![b'x'; 2 << 20]);
                let client = world.asks(&sent[..600 << 10]).await;
                let mut worker = world.a.accept().await;
                worker.message_to("HEAD").await;
                let _rest = leaves(client, how).await;
                stops(&mut worker, &format!("{kind}, {how:?}")).await;
            }
        }
    });
}

#[test]
fn a_worker_that_reads_no_body_stops_when_its_client_resets() {
    let limits = r#"{"max-body-bytes":99000000}"#;
    let place = USUAL.with(|it| (it.window, it.limits) = (4096, limits));
    story(place, async |world| {
        // more than all buffers on the way hold
        let sent = request("POST", "/safe/x", "1", &vec![b'x'; 64 << 20]);
        let mut client = world.client().await;
        let begun = async {
            let mut worker = world.a.accept().await;
            worker.message_to("HEAD").await;
            worker
        };
        let mut worker = tokio::select! {
            () = client.send(sent) => panic!("all of it was taken"),
            worker = begun => worker,
        };
        client.reset();
        stops(&mut worker, "a body that waits").await;
    });
}

#[test]
fn a_worker_stops_though_more_was_sent_behind_a_body() {
    in_each_way(async |world, how| {
        let (_kept, mut worker) = world.acquainted().await;
        let behind = ask("unsafe", "9").repeat(20);
        let sent = [request("POST", "/safe/x", "2", b"body"), behind].concat();
        let client = world.asks(sent).await;
        assert_eq!(worker.message().await.header("x-attempt-id"), Some("2"));
        let _rest = leaves(client, how).await;
        stops(&mut worker, &format!("{how:?}")).await;
        world.a.is_left_alone().await;
    });
}

#[test]
fn a_worker_stops_when_its_client_leaves_within_the_answer() {
    story(USUAL, async |world| {
        for kind in ["safe", "unsafe"] {
            for how in WAYS {
                let sent = good("1", &"x".repeat(2 << 20));
                let mut client = world.asks(ask(kind, "1")).await;
                let (mut worker, _) = world.a.asked().await;
                worker.send(&sent[..600 << 10]).await;
                assert_eq!(client.message_to("HEAD").await.status(), 200);
                let _rest = leaves(client, how).await;
                stops(&mut worker, &format!("{kind}, {how:?}")).await;
            }
        }
    });
}

#[test]
fn departures_are_counted_and_told() {
    story(USUAL, async |world| {
        let client = world.asks(ask("safe", "1")).await;
        let (mut worker, _) = world.a.asked().await;
        drop(client);
        stops(&mut worker, "the worker").await;
        let told = world.metrics().await;
        for figure in [
            "elderpond_client_departures_total 1",
            "elderpond_tries_at_departure_total 1",
            "elderpond_tries_stopped_total 1",
            "elderpond_tries_begun_after_departure_total 0",
            "elderpond_tries_outliving_client_total 0",
        ] {
            assert!(told.lines().any(|line| line == figure), "{figure}: {told}");
        }
    });
}
