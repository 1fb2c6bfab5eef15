//! The limit on heads of requests is that of the version in force when a head is read, also on connections
//! that were opened under another one.

mod world;

use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;
use world::*;

const LOW: &str = r#"{"max-header-bytes":2000,"idle-timeout-s":5}"#;
const HIGH: &str = r#"{"max-header-bytes":16000,"idle-timeout-s":5}"#;
/// Bytes of a header that only the higher limit lets pass.
const LARGE: usize = 12_000;
const TOO_LARGE: u16 = 431;

/// A request with this id and a header of so many bytes.
fn with_header(method: &str, id: &str, bytes: usize, body: &[u8]) -> Vec<u8> {
    let mut request = request(method, "/safe/x", id, body);
    let header = format!("X-Signed-By: {}\r\n", "s".repeat(bytes));
    let first_line_end = request.iter().position(|byte| *byte == b'\n');
    let at = first_line_end.expect("a first line") + 1;
    request.splice(at..at, header.into_bytes());
    request
}

fn large(id: &str) -> Vec<u8> {
    with_header("GET", id, LARGE, b"")
}

/// Answers whatever comes with a success that repeats its id.
fn serve_all(worker: Worker) {
    spawn_local(async move {
        loop {
            let mut connection = worker.accept().await;
            spawn_local(async move {
                while let Some(asked) = connection.message_if_any().await {
                    let id = asked.header("x-attempt-id").expect("an id").to_owned();
                    connection.send(good(&id, &id)).await;
                }
            });
        }
    });
}

async fn is_answered(client: &mut Wire, id: &str) {
    let answer = client.message().await;
    assert_eq!((answer.status(), &*answer.body), (200, id.as_bytes()));
}

async fn is_refused(client: &mut Wire) {
    let answer = client.message().await;
    assert_eq!(answer.status(), TOO_LARGE);
    assert_eq!(answer.header("connection"), Some("close"));
}

/// CONFIG: connections that were open when a version raised the limit went on answering 431 by the old one.
#[test]
fn a_kept_connection_takes_heads_as_large_as_a_newer_version_allows() {
    story(USUAL.with(|it| it.limits = LOW), async |mut world| {
        let mut client = world.asks(ask("safe", "1")).await;
        let mut unused = world.client().await;
        let (mut worker, _) = world.a.asked().await;
        worker.send(good("1", "1")).await;
        is_answered(&mut client, "1").await;
        world.puts_in_force(2, HIGH).await;
        client.send(large("2")).await;
        worker.message().await;
        worker.send(good("2", "2")).await;
        is_answered(&mut client, "2").await;
        unused.send(large("3")).await;
        worker.message().await;
        worker.send(good("3", "3")).await;
        is_answered(&mut unused, "3").await;
    });
}

/// CONFIG: connections that were open when a version lowered the limit went on taking larger heads.
#[test]
fn a_kept_connection_takes_no_larger_heads_than_a_newer_version_allows() {
    story(USUAL.with(|it| it.limits = HIGH), async |mut world| {
        let mut client = world.asks(large("1")).await;
        let (mut worker, _) = world.a.asked().await;
        worker.send(good("1", "1")).await;
        is_answered(&mut client, "1").await;
        world.puts_in_force(2, LOW).await;
        client.send(large("2")).await;
        is_refused(&mut client).await;
    });
}

/// CONFIG: the same behind a request with a body, where what follows may have been read with it.
#[test]
fn a_connection_that_carried_a_body_follows_the_limit() {
    story(USUAL.with(|it| it.limits = LOW), async |mut world| {
        let mut client = world.asks(with_header("POST", "1", 10, b"body")).await;
        let (mut worker, _) = world.a.asked().await;
        worker.send(good("1", "1")).await;
        is_answered(&mut client, "1").await;
        let (begins, rest) = {
            let mut bytes = large("2");
            let rest = bytes.split_off(1000);
            (bytes, rest)
        };
        client.send(&begins).await;
        world.puts_in_force(2, HIGH).await;
        client.send(&rest).await;
        worker.message().await;
        worker.send(good("2", "2")).await;
        is_answered(&mut client, "2").await;
        client.send([large("3"), large("4")].concat()).await;
        for id in ["3", "4"] {
            worker.message().await;
            worker.send(good(id, id)).await;
            is_answered(&mut client, id).await;
        }
        world.puts_in_force(3, LOW).await;
        client.send(large("5")).await;
        is_refused(&mut client).await;
    });
}

/// CONFIG: a head whose first bytes came before the limit was raised was judged by the old one.
#[test]
fn a_head_that_comes_while_the_limit_is_raised_is_taken() {
    story(USUAL.with(|it| it.limits = LOW), async |mut world| {
        let mut client = world.asks(ask("safe", "1")).await;
        let (mut worker, _) = world.a.asked().await;
        worker.send(good("1", "1")).await;
        is_answered(&mut client, "1").await;
        let mut begins = large("2");
        let rest = begins.split_off(1000);
        client.send(begins).await;
        world.puts_in_force(2, HIGH).await;
        client.send(rest).await;
        worker.message().await;
        worker.send(good("2", "2")).await;
        is_answered(&mut client, "2").await;
    });
}

/// CONFIG: what was sent behind a request in hand was judged by the limit under which that one was read.
#[test]
fn a_head_behind_a_request_in_hand_is_judged_by_the_limit_in_force_when_it_is_read() {
    for kind in ["safe", "unsafe"] {
        story(USUAL.with(|it| it.limits = LOW), async |mut world| {
            let mut client = world.asks(ask(kind, "1")).await;
            let (mut worker, _) = world.a.asked().await;
            world.puts_in_force(2, HIGH).await;
            client.send(large("2")).await;
            sleep(Duration::from_millis(50)).await;
            serve_all(world.a);
            worker.send(good("1", "1")).await;
            is_answered(&mut client, "1").await;
            if kind == "unsafe" {
                worker.message().await;
                worker.send(good("2", "2")).await;
            }
            is_answered(&mut client, "2").await;
        });
    }
}

/// CONFIG: a request that was passed on before its turn was refused by a limit that came into force later.
#[test]
fn a_request_that_was_begun_is_not_refused_by_a_limit_that_is_lowered_then() {
    story(USUAL.with(|it| it.limits = HIGH), async |mut world| {
        // as many as are read ahead together
        let medium = |id| with_header("GET", id, 5_000, b"");
        let mut client = world
            .asks([ask("safe", "1"), medium("2"), medium("3")].concat())
            .await;
        let mut workers = Vec::new();
        for _ in 0..3 {
            workers.push(world.asked().await);
        }
        world.puts_in_force(2, LOW).await;
        for (worker, asked) in &mut workers {
            let id = asked.header("x-attempt-id").expect("an id");
            worker.send(good(id, id)).await;
        }
        for id in ["1", "2", "3"] {
            is_answered(&mut client, id).await;
        }
        client.send(medium("4")).await;
        is_refused(&mut client).await;
    });
}

/// No byte of an answer that a slow client has not taken yet is lost as its connection takes up another
/// limit.
#[test]
fn an_answer_that_is_still_being_taken_is_whole_when_the_limit_changes() {
    const BYTES: usize = 250_000;
    story(USUAL.with(|it| it.limits = LOW), async |mut world| {
        let mut client = Wire::narrow(world.front, 4096).await;
        client.send(ask("safe", "1")).await;
        let (mut worker, _) = world.a.asked().await;
        worker.send(good("1", &"x".repeat(BYTES))).await;
        sleep(Duration::from_millis(50)).await;
        world.puts_in_force(2, HIGH).await;
        client.send(large("2")).await;
        serve_all(world.a);
        sleep(Duration::from_millis(50)).await;
        spawn_local(async move {
            while let Some(asked) = worker.message_if_any().await {
                let id = asked.header("x-attempt-id").expect("an id").to_owned();
                worker.send(good(&id, &id)).await;
            }
        });
        let first = client.message().await;
        assert_eq!((first.status(), first.body.len()), (200, BYTES));
        is_answered(&mut client, "2").await;
    });
}
