//! What clients send, how long they take, and how the proxy leaves them.

mod world;

use std::time::{Duration, Instant};

use elderpond_proxy::Command;
use world::*;
use yare::parameterized;

#[test]
fn no_route_is_said_only_by_who_hears_a_control_node() {
    story(USUAL, async |world| {
        let mut client = world.asks(ask("other", "1")).await;
        assert_eq!(client.message().await.status(), 404);
        world.control_node.abort();
        loop {
            client.send(ask("other", "1")).await;
            let answer = client.message().await;
            if answer.status() == 503 {
                assert!(answer.header("retry-after").is_some());
                break;
            }
            assert_eq!(answer.status(), 404);
        }
        // it goes on by what it knows
        client.send(ask("safe", "2")).await;
        let (mut worker, _) = world.a.asked().await;
        worker.send(good("2", "ok")).await;
        assert_eq!(client.message().await.body, b"ok");
    });
}

/// Three requests sent at once by one client, and the worker's connections that they came on.
async fn three_ahead(world: &World) -> (Wire, [Wire; 3]) {
    let ahead = [ask("safe", "1"), ask("safe", "2"), ask("safe", "3")].concat();
    let client = world.asks(ahead).await;
    let mut wires = [const { None }; 3];
    for _ in 0..3 {
        let (wire, asked) = world.a.asked().await;
        let id: usize = asked.header("x-attempt-id").unwrap().parse().unwrap();
        wires[id - 1] = Some(wire);
    }
    (
        client,
        wires.map(|wire| wire.expect("each is asked for once")),
    )
}

#[test]
fn requests_sent_ahead_are_begun_at_once_and_answered_in_order() {
    story(USUAL, async |world| {
        let (mut client, [mut first, mut second, mut third]) = three_ahead(&world).await;
        third.send(good("3", "three")).await;
        first.send(good("1", "one")).await;
        // none is held back for what was sent behind it
        assert_eq!(client.message().await.body, b"one");
        second.send(good("2", "two")).await;
        assert_eq!(client.message().await.body, b"two");
        assert_eq!(client.message().await.body, b"three");
    });
}

/// Bytes of an answer that is longer than what is held of one that nothing was begun behind.
const LONG: usize = 400_000;

/// Guards against LOST: a long answer that broke off closed its connection, and with it was lost what sound
/// workers had answered to requests behind it.
#[test]
fn a_long_answer_that_breaks_off_takes_none_of_those_behind_it_along() {
    story(USUAL, async |world| {
        let (mut client, [mut first, mut second, mut third]) = three_ahead(&world).await;
        second.send(good("2", "two")).await;
        third.send(good("3", "three")).await;
        let head = answer("1", "200 OK", &format!("Content-Length: {LONG}\r\n"), "");
        first.send(head).await;
        first.send(vec![b'x'; LONG / 2]).await;
        drop(first);
        let (mut again, asked) = world.b.asked().await;
        assert_eq!(asked.header("x-attempt-id"), Some("1"));
        let whole = "y".repeat(LONG);
        again.send(good("1", &whole)).await;
        assert_eq!(client.message().await.body, whole.as_bytes());
        assert_eq!(client.message().await.body, b"two");
        assert_eq!(client.message().await.body, b"three");
    });
}

#[test]
fn nothing_is_begun_behind_a_long_answer_that_is_passed_on_as_it_comes() {
    story(USUAL, async |world| {
        let mut client = world.asks(ask("safe", "1")).await;
        let (mut worker, _) = world.a.asked().await;
        let head = answer("1", "200 OK", &format!("Content-Length: {LONG}\r\n"), "");
        worker.send(head).await;
        worker.send(vec![b'x'; LONG / 2]).await;
        client.take_some(LONG / 4).await;
        client.send(ask("safe", "2")).await;
        world.a.is_left_alone().await;
        worker.send(vec![b'x'; LONG - LONG / 2]).await;
        let asked = worker.message().await;
        assert_eq!(asked.header("x-attempt-id"), Some("2"));
    });
}

#[test]
fn who_stops_answers_all_that_was_begun_on_a_connection() {
    story(USUAL, async |world| {
        let (mut client, wires) = three_ahead(&world).await;
        world.commands.send(Command::Stop).expect("a proxy");
        tokio::task::yield_now().await;
        for (mut wire, id) in wires.into_iter().zip(["1", "2", "3"]) {
            wire.send(good(id, id)).await;
            let answer = client.message().await;
            assert_eq!(answer.body, id.as_bytes());
            let last = (id == "3").then_some("close");
            assert_eq!(answer.header("connection"), last);
        }
        client.ends().await;
    });
}

#[parameterized(
    may_run_once = { ask("unsafe", "2") },
    has_a_body = { request("POST", "/safe/x", "2", &ask("safe", "9")) },
)]
fn what_is_more_than_a_safe_head_waits_for_its_turn(behind: Vec<u8>) {
    story(USUAL, async |world| {
        let ahead = [ask("safe", "1"), behind, ask("safe", "3")].concat();
        let mut client = world.asks(ahead).await;
        let (mut worker, _) = world.a.asked().await;
        world.a.is_left_alone().await;
        worker.send(good("1", "one")).await;
        assert_eq!(client.message().await.body, b"one");
        for id in ["2", "3"] {
            let asked = worker.message().await;
            assert_eq!(asked.header("x-attempt-id"), Some(id));
            worker.send(good(id, id)).await;
            assert_eq!(client.message().await.body, id.as_bytes());
        }
    });
}

#[test]
fn the_last_answer_arrives_whatever_was_sent_behind() {
    story(USUAL, async |world| {
        let behind = ask("unsafe", "2").repeat(2000);
        let mut client = world.asks([ask("safe", "1"), behind].concat()).await;
        let (mut worker, _) = world.a.asked().await;
        world.commands.send(Command::Stop).expect("a proxy");
        // there is no time for all of it any more
        tokio::time::sleep(Duration::from_millis(450)).await;
        worker.send(good("1", "one")).await;
        let answer = client.message().await;
        assert_eq!(answer.header("connection"), Some("close"));
        assert_eq!(answer.body, b"one");
        client.ends().await;
    });
}

#[parameterized(
    safe = { "safe" },
    run_once = { "unsafe" },
)]
fn what_came_behind_a_request_before_the_process_was_told_to_end_is_answered(kind: &str) {
    story(USUAL, async |world| {
        let mut client = world
            .asks([ask("unsafe", "1"), ask(kind, "2")].concat())
            .await;
        let (mut worker, _) = world.a.asked().await;
        world.commands.send(Command::Stop).expect("a proxy");
        tokio::task::yield_now().await;
        worker.send(good("1", "one")).await;
        let first = client.message().await;
        assert_eq!(
            (&*first.body, first.header("connection")),
            (&b"one"[..], None)
        );
        assert_eq!(worker.message().await.header("x-attempt-id"), Some("2"));
        worker.send(good("2", "two")).await;
        let second = client.message().await;
        assert_eq!(
            (&*second.body, second.header("connection")),
            (&b"two"[..], Some("close"))
        );
        client.ends().await;
    });
}

#[test]
fn who_stops_answers_what_is_in_hand_and_what_still_comes() {
    story(USUAL, async |world| {
        let mut early = world.asks(ask("unsafe", "1")).await;
        let (mut first, _) = world.a.asked().await;
        let mut idle = world.client().await;
        world.commands.send(Command::Stop).expect("a proxy");
        tokio::task::yield_now().await;
        let mut late = world.asks(ask("safe", "2")).await;
        let (mut second, _) = world.a.asked().await;
        second.send(good("2", "late")).await;
        let answer = late.message().await;
        assert_eq!(
            (&*answer.body, answer.header("connection")),
            (&b"late"[..], Some("close"))
        );
        idle.ends().await;
        assert!(!world.proxy.is_finished());
        first.send(good("1", "early")).await;
        assert_eq!(early.message().await.body, b"early");
        early.ends().await;
        world.proxy.await.expect("it ends by itself");
    });
}

#[test]
fn who_ends_refuses_late_what_it_could_not_answer_before_it_is_gone() {
    story(USUAL, async |world| {
        let mut early = world.asks(ask("unsafe", "1")).await;
        let (mut first, _) = world.a.asked().await;
        world.commands.send(Command::Stop).expect("a proxy");
        tokio::time::sleep(Duration::from_millis(450)).await;
        let mut late = world.asks(ask_within(30_000, "2")).await;
        let refused = late.message().await;
        assert_eq!(
            (refused.status(), refused.header("connection")),
            (503, Some("close"))
        );
        assert!(refused.header("retry-after").is_some());
        let mut short = world.asks(ask_within(150, "3")).await;
        let (mut second, asked) = world.a.asked().await;
        assert_eq!(asked.header("x-attempt-id"), Some("3"));
        second.send(good("3", "short")).await;
        assert_eq!(short.message().await.body, b"short");
        first.send(good("1", "early")).await;
        assert_eq!(early.message().await.body, b"early");
        world.proxy.await.expect("it ends by itself");
    });
}

const SMALL: &str =
    r#"{"max-header-bytes":1000,"max-body-bytes":1000,"header-timeout-s":0.1,"idle-timeout-s":5}"#;

#[parameterized(
    a_long_body = {request("POST", "/safe/x", "1", &[b'x'; 1001]), 413},
    a_long_chunked_body = {chunked(&[b'x'; 1001]), 413},
    a_long_head = {request("GET", &format!("/safe/{}", "x".repeat(1001)), "1", b""), 431},
    a_body_within = {request("POST", "/safe/x", "1", &[b'x'; 1000]), 200},
    a_chunked_body_within = {chunked(&[b'x'; 1000]), 200},
)]
fn limits_on_clients_are_kept(request: Vec<u8>, status: u16) {
    story(USUAL.with(|it| it.limits = SMALL), async |world| {
        let mut client = world.asks(request).await;
        if status == 200 {
            let (mut worker, asked) = world.a.asked().await;
            assert_eq!((asked.body.len(), asked.whole), (1000, true));
            worker.send(good("1", "ok")).await;
        }
        assert_eq!(client.message().await.status(), status);
        if status != 200 {
            client.ends().await;
            world.a.is_left_alone().await;
        }
    });
}

fn chunked(body: &[u8]) -> Vec<u8> {
    let head = "POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\n\
                Transfer-Encoding: chunked\r\n\r\n";
    let mut request = head.as_bytes().to_vec();
    for chunk in body.chunks(900) {
        request.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
        request.extend([chunk, b"\r\n"].concat());
    }
    request.extend(b"0\r\n\r\n");
    request
}

#[test]
fn a_head_has_less_time_than_an_idle_connection() {
    story(USUAL.with(|it| it.limits = SMALL), async |world| {
        let mut idle = world.client().await;
        let mut slow = world.asks("GET /safe/x HTTP/1.1\r\n").await;
        let start = Instant::now();
        slow.is_gone().await;
        let took = start.elapsed();
        assert!(took >= Duration::from_millis(90), "cut after {took:?}");
        assert!(took < Duration::from_secs(4), "cut after {took:?}");
        idle.send(ask("safe", "1")).await;
        let (mut worker, _) = world.a.asked().await;
        worker.send(good("1", "ok")).await;
        assert_eq!(idle.message().await.body, b"ok");
    });
}

#[test]
fn an_idle_connection_ends_in_order() {
    let limits = r#"{"header-timeout-s":0.1,"idle-timeout-s":0.4}"#;
    story(USUAL.with(|it| it.limits = limits), async |world| {
        let (mut client, _) = world.acquainted().await;
        let start = Instant::now();
        client.ends().await;
        let took = start.elapsed();
        assert!(took >= Duration::from_millis(300), "ended after {took:?}");
    });
}

#[test]
fn who_is_idle_for_the_longest_makes_room() {
    // the least that there is: 16 connections of clients
    story(USUAL.with(|it| it.descriptors = 64), async |world| {
        let mut idle = Vec::new();
        for _ in 0..40 {
            idle.push(world.client().await);
        }
        world.acquainted().await;
        idle[0].ends().await;
    });
}
