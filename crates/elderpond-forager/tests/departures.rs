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

/// The worker's connection ends soon, which tells it to stop.
async fn stops(worker: &mut Wire, what: &str) {
    let gone = timeout(PROMPT, worker.is_gone()).await;
    assert!(gone.is_ok(), "{what}: the worker goes on");
}

#[test]
fn a_worker_stops_when_the_client_of_a_safe_request_leaves() {
    story(USUAL, async |world| {
        for how in WAYS {
            // one that never answers is doubted, and the next client sent elsewhere
            let (_kept, mut worker) = world.acquainted().await;
            let client = world.asks(ask("safe", "2")).await;
            assert_eq!(worker.message().await.header("x-attempt-id"), Some("2"));
            let _rest = leaves(client, how).await;
            stops(&mut worker, &format!("{how:?}")).await;
        }
        world.b.is_left_alone().await;
    });
}

#[test]
fn workers_stop_for_all_requests_that_a_client_sent_ahead() {
    story(USUAL, async |world| {
        for how in WAYS {
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
        }
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
