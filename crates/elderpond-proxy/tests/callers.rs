//! Every answer goes to the caller that it is for, and what may run once is sent once: whatever comes
//! late, early, twice or not at all.

mod world;

use world::*;
use yare::parameterized;

/// The next request goes on a new connection to `a`, and gets its own answer.
async fn all_is_new(world: &World, client: &mut Wire) {
    client.send(ask("unsafe", "99")).await;
    let (mut worker, asked) = world.a.asked().await;
    assert_eq!(asked.header("x-attempt-id"), Some("99"));
    worker.send(good("99", "new")).await;
    assert_eq!(client.message().await.body, b"new");
}

#[parameterized(
    safe_refusal = {"safe", FULL},
    refusal = {"unsafe", FULL},
    safe_misdirected = {"safe", "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n"},
    misdirected = {"unsafe", "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n"},
)]
fn given_a_kept_connection_when_a_refusal_names_nobody_then_it_promises_nothing(
    kind: &str,
    late: &str,
) {
    story(USUAL, async |world| {
        let (mut client, mut worker) = world.acquainted().await;
        client.send(ask(kind, "2")).await;
        assert_eq!(worker.message().await.header("x-attempt-id"), Some("2"));
        worker.send(late).await;
        if kind == "safe" {
            let (mut other, _) = world.b.asked().await;
            other.send(good("2", "elsewhere")).await;
            assert_eq!(client.message().await.body, b"elsewhere");
        } else {
            assert_eq!(client.message().await.status(), 502);
            world.b.is_left_alone().await;
        }
        worker.is_gone().await;
        all_is_new(&world, &mut client).await;
    });
}

#[test]
fn given_a_body_under_way_when_it_is_answered_then_nobody_else_waits_for_its_end() {
    story(USUAL, async |world| {
        let sent = request("POST", "/unsafe/x", "1", &vec![b'x'; 2 << 20]);
        // the rest never comes
        let mut slow = world.asks(&sent[..600 << 10]).await;
        let mut worker = world.a.accept().await;
        worker.message_to("HEAD").await;
        worker.send(good("1", "early")).await;
        assert_eq!(slow.message().await.body, b"early");
        all_is_new(&world, &mut world.client().await).await;
        worker.is_gone().await;
    });
}

#[parameterized(safe = {"safe"}, not_safe = {"unsafe"})]
fn given_a_body_that_nobody_reads_when_it_is_answered_then_its_connection_carries_no_other(
    kind: &str,
) {
    let limits = r#"{"max-body-bytes":99000000}"#;
    let place = USUAL.with(|it| (it.window, it.limits) = (4096, limits));
    story(place, async |world| {
        // more than all buffers on the way hold
        let body = vec![b'x'; 64 << 20];
        let sent = request("POST", &format!("/{kind}/x"), "1", &body);
        let mut client = world.client().await;
        let answered = async {
            let mut worker = world.a.accept().await;
            worker.message_to("HEAD").await;
            worker.send(good("1", "early")).await;
            worker
        };
        let mut worker = tokio::select! {
            () = client.send(sent) => panic!("all of it was taken"),
            worker = answered => worker,
        };
        assert_eq!(client.message().await.body, b"early");
        // at once, though the client still holds the rest
        worker.is_gone().await;
        all_is_new(&world, &mut world.client().await).await;
        drop(client);
    });
}

#[test]
fn given_a_body_under_way_when_it_is_turned_away_then_all_of_it_goes_elsewhere() {
    story(USUAL, async |world| {
        let body = vec![b'x'; 200 << 10];
        let mut client = world.asks(request("POST", "/unsafe/x", "1", &body)).await;
        let mut worker = world.a.accept().await;
        worker.message_to("HEAD").await;
        worker.send(full("1")).await;
        let (mut other, asked) = world.b.asked().await;
        assert!(asked.whole && asked.body == body);
        other.send(good("1", "elsewhere")).await;
        assert_eq!(client.message().await.body, b"elsewhere");
    });
}

#[test]
fn given_one_id_twice_when_its_first_answer_comes_again_then_the_second_request_does_not_get_it() {
    story(USUAL, async |world| {
        let (mut client, mut worker) = world.acquainted().await;
        client.send(request("GET", "/unsafe/y", "1", b"")).await;
        let (mut other, asked) = world.a.asked().await;
        assert!(asked.head.starts_with("GET /unsafe/y"));
        worker.send(good("1", "one more")).await;
        other.send(good("1", "its own")).await;
        assert_eq!(client.message().await.body, b"its own");
    });
}

#[parameterized(
    of_this_request = {"HTTP/1.1 103 Hints\r\nX-Attempt-Id: 2\r\n\r\n"},
    of_the_one_before = {"HTTP/1.1 103 Hints\r\nX-Attempt-Id: 1\r\n\r\n"},
    many = {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Going\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n"},
)]
fn given_an_interim_answer_when_the_last_one_comes_then_that_is_passed_on(interim: &str) {
    story(USUAL, async |world| {
        let (mut client, mut worker) = world.acquainted().await;
        client.send(ask("unsafe", "2")).await;
        worker.message().await;
        worker.send(interim).await;
        worker.send(good("2", "two")).await;
        assert_eq!(client.message().await.body, b"two");
    });
}

#[parameterized(
    half_closed = {"", false},
    half_closed_after_an_interim_answer = {"HTTP/1.1 103 Hints\r\n\r\n", false},
    reset_after_an_interim_answer = {"HTTP/1.1 103 Hints\r\n\r\n", true},
    half_closed_within_a_head = {"HTTP/1.1 503 Busy\r\nX-Request-Not-Run: 1\r\n", false},
)]
fn given_an_unsafe_request_was_read_when_no_answer_ends_it_then_it_is_neither_sent_again_nor_promised(
    said: &str,
    reset: bool,
) {
    story(USUAL, async |world| {
        for kept in [false, true] {
            let mut client = world.client().await;
            let mut worker = match kept {
                false => {
                    client.send(ask("unsafe", "1")).await;
                    world.a.asked().await.0
                }
                true => {
                    let (known, mut worker) = world.acquainted().await;
                    client = known;
                    client.send(ask("unsafe", "2")).await;
                    worker.message().await;
                    worker
                }
            };
            worker.send(said).await;
            match reset {
                true => worker.reset(),
                false => worker.half_close().await,
            }
            assert_eq!(client.message().await.status(), 502, "kept: {kept}");
            world.a.is_left_alone().await;
            world.b.is_left_alone().await;
        }
    });
}

#[test]
fn given_a_client_that_went_when_its_answer_comes_then_the_next_client_gets_its_own() {
    story(USUAL, async |world| {
        let gone = world.asks(ask("unsafe", "1")).await;
        let (mut worker, _) = world.a.asked().await;
        drop(gone);
        let mut client = world.client().await;
        worker.send(good("1", "one")).await;
        // by when this is answered, that was read
        for _ in 0..3 {
            client.send(ask("other", "0")).await;
            assert_eq!(client.message().await.status(), 404);
        }
        client.send(ask("unsafe", "2")).await;
        let asked = worker.message().await;
        assert_eq!(asked.header("x-attempt-id"), Some("2"));
        worker.send(good("2", "two")).await;
        assert_eq!(client.message().await.body, b"two");
    });
}

#[test]
fn given_a_client_that_goes_within_an_answer_then_the_rest_of_it_is_nobodys() {
    story(USUAL, async |world| {
        let sent = good("1", &"x".repeat(2 << 20));
        let mut gone = world.asks(ask("unsafe", "1")).await;
        let (mut worker, _) = world.a.asked().await;
        worker.send(&sent[..600 << 10]).await;
        assert_eq!(gone.message_to("HEAD").await.status(), 200);
        gone.reset();
        worker.is_gone().await;
        all_is_new(&world, &mut world.client().await).await;
    });
}

#[test]
fn given_a_client_that_knows_no_chunks_when_its_answer_breaks_off_then_it_gets_none_of_it() {
    story(USUAL, async |world| {
        let old = "GET /unsafe/x HTTP/1.0\r\nHost: h\r\nX-Attempt-Id: 1\r\n\r\n";
        let mut client = world.asks(old).await;
        let (mut worker, _) = world.a.asked().await;
        let chunk = format!("{:x}\r\n{}\r\n", 600 << 10, "x".repeat(600 << 10));
        let sent = answer("1", "200 OK", "Transfer-Encoding: chunked\r\n", &chunk);
        worker.send(sent).await;
        drop(worker);
        assert_eq!(client.message().await.status(), 502);
    });
}

#[test]
fn given_a_deadline_that_passed_when_the_answer_comes_then_it_has_nowhere_to_go() {
    story(USUAL, async |world| {
        let late = "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\n\
                    X-Deadline-Remaining-Ms: 150\r\nContent-Length: 0\r\n\r\n";
        let mut client = world.asks(late).await;
        let (mut worker, _) = world.a.asked().await;
        assert_eq!(client.message().await.status(), 504);
        // its end is seen before anything can be said
        worker.is_gone().await;
        all_is_new(&world, &mut client).await;
        world.b.is_left_alone().await;
    });
}

#[parameterized(
    bytes_behind_a_head = {"HEAD", "200 OK", "Content-Length: 2\r\n", "xx"},
    bytes_behind_no_content = {"GET", "204 None", "", "xx"},
    a_failure_of_two_lengths = {"GET", "404 No", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
        "2\r\nno\r\n0\r\n\r\n"},
    that_closes = {"GET", "200 OK", "Connection: close\r\nContent-Length: 2\r\n", "ok"},
)]
fn given_an_answer_whose_end_is_in_doubt_then_its_connection_carries_no_other(
    method: &str,
    status: &str,
    more: &str,
    body: &str,
) {
    story(USUAL, async |world| {
        let mut client = world.asks(request(method, "/unsafe/x", "1", b"")).await;
        let (mut worker, _) = world.a.asked().await;
        worker.send(answer("1", status, more, body)).await;
        let got = client.message_to(method).await;
        assert_eq!(got.status().to_string(), status[..3]);
        worker.is_gone().await;
        all_is_new(&world, &mut client).await;
    });
}
