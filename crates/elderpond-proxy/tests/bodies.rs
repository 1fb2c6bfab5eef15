//! Bodies that are too large to be held, and the memory for those that are.

mod world;

use world::*;
use yare::parameterized;

/// Bytes of a body that flows.
const LARGE: usize = 2 << 20;

fn large() -> String {
    "abcdefgh".repeat(LARGE / 8)
}

#[parameterized(
    with_a_length = {"Content-Length: 2097152\r\n", "", "", false},
    with_a_length_cut = {"Content-Length: 2097152\r\n", "", "", true},
    chunked = {"Transfer-Encoding: chunked\r\n", "200000\r\n", "\r\n0\r\n\r\n", false},
    chunked_cut = {"Transfer-Encoding: chunked\r\n", "200000\r\n", "\r\n0\r\n\r\n", true},
)]
fn a_large_answer_comes_whole_or_is_seen_to_be_cut(more: &str, begin: &str, end: &str, cut: bool) {
    story(USUAL, async |world| {
        let sent = answer("1", "200 OK", more, &[begin, &large(), end].concat());
        let mut client = world.asks(ask("unsafe", "1")).await;
        let (mut worker, _) = world.a.asked().await;
        if cut {
            let half = async {
                worker.send(&sent[..LARGE / 2]).await;
                drop(worker);
            };
            let (got, ()) = tokio::join!(client.message(), half);
            assert_eq!((got.status(), got.whole), (200, false));
            return client.is_gone().await;
        }
        let (got, ()) = tokio::join!(client.message(), worker.send(&sent));
        assert!(got.whole && got.body == large().as_bytes());
        // the connection is kept
        client.send(ask("safe", "2")).await;
        worker.message().await;
        worker.send(good("2", "ok")).await;
        assert_eq!(client.message().await.body, b"ok");
    });
}

#[test]
fn a_large_answer_waits_for_who_reads_it() {
    story(USUAL, async |world| {
        let body = "x".repeat(64 << 20);
        let mut client = world.asks(ask("safe", "1")).await;
        let (mut worker, _) = world.a.asked().await;
        let sent = good("1", &body);
        let wait = std::time::Duration::from_millis(200);
        let all = tokio::time::timeout(wait, worker.send(&sent)).await;
        assert!(all.is_err(), "the proxy took 64 MiB that nobody reads");
        assert_eq!(client.message_to("HEAD").await.status(), 200);
    });
}

#[parameterized(
    that_is_answered = {"safe", "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Server-Seal: 1\r\n\
        Content-Length: 0\r\n\r\n", 200},
    that_is_lost = {"safe", "", 502},
    that_is_lost_and_not_safe = {"unsafe", "", 502},
    that_was_not_run = {"unsafe", FULL, 503},
)]
fn a_large_request(kind: &str, said: &str, status: u16) {
    story(USUAL, async |world| {
        let body = large();
        let sent = request("POST", &format!("/{kind}/x"), "1", body.as_bytes());
        let mut client = world.client().await;
        let ((), (mut worker, got)) = tokio::join!(client.send(&sent), world.a.asked());
        assert!(got.whole && got.body == body.as_bytes());
        worker.send(said).await;
        drop(worker);
        assert_eq!(client.message().await.status(), status);
        world.a.is_left_alone().await;
        world.b.is_left_alone().await;
    });
}

#[test]
fn a_large_chunked_request_over_the_bound_ends_with_413() {
    story(USUAL, async |world| {
        let body = "x".repeat(4_000_001);
        let head = "POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\n\
                    Transfer-Encoding: chunked\r\n\r\n";
        let sent = format!("{head}{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
        let mut client = world.client().await;
        let ((), (_, request)) = tokio::join!(client.send(sent), world.a.asked());
        assert!(!request.whole, "a worker must not take it for whole");
        let got = client.message().await;
        assert_eq!(got.status(), 413);
    });
}

#[test]
fn held_bodies_take_their_part_of_the_memory_and_no_more() {
    // 35 % of 16 MB
    story(USUAL.with(|it| it.memory_mb = 16.0), async |world| {
        let body = vec![b'x'; 250 << 10];
        let mut held = Vec::new();
        loop {
            assert!(held.len() < 30, "no bound on what is held");
            let id = held.len().to_string();
            let mut client = world.asks(request("POST", "/safe/x", &id, &body)).await;
            tokio::select! {
                worker = world.a.accept() => held.push((client, worker)),
                worker = world.b.accept() => held.push((client, worker)),
                refused = client.message() => {
                    assert_eq!(refused.status(), 503);
                    assert!(refused.header("retry-after").is_some());
                    break;
                }
            }
        }
        assert!(held.len() > 10, "only {} bodies are held", held.len());
    });
}
