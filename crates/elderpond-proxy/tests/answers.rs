//! What becomes of what workers answer, and of workers that do not.

mod world;

use world::*;
use yare::parameterized;

#[parameterized(
    plain = {"GET", "200 OK", "Content-Length: 2\r\n", "ok", 200, "ok"},
    chunked_with_trailers = {"GET", "200 OK", "Transfer-Encoding: chunked\r\nTrailer: T\r\n",
        "2\r\nok\r\n0\r\nT: 1\r\n\r\n", 200, "ok"},
    after_a_1xx = {"GET", "103 Hints\r\n\r\nHTTP/1.1 200 OK", "X-Attempt-Id: 1\r\nX-Server-Seal: 1\r\n\
        Content-Length: 2\r\n", "ok", 200, "ok"},
    no_content = {"GET", "204 None", "", "", 204, ""},
    not_modified = {"GET", "304 Same", "", "", 304, ""},
    head = {"HEAD", "200 OK", "Content-Length: 2\r\n", "", 200, ""},
    its_own_failure = {"GET", "404 Nothing", "Content-Length: 2\r\n", "no", 404, "no"},
)]
fn whole_answers_are_passed_on(
    method: &str,
    status: &str,
    more: &str,
    sent: &str,
    passed: u16,
    body: &str,
) {
    story(USUAL, async |world| {
        for kind in ["safe", "unsafe"] {
            let path = format!("/{kind}/x?y=1");
            let mut client = world.asks(request(method, &path, "1", b"")).await;
            let (mut worker, asked) = world.a.asked().await;
            assert!(asked.head.starts_with(&format!("{method} {path} HTTP/1.1")));
            assert_eq!(asked.header("x-expected-instance"), Some("a"));
            assert_eq!(asked.header("x-attempt-id"), Some("1"));
            worker.send(answer("1", status, more, sent)).await;
            let got = client.message_to(method).await;
            assert_eq!((got.status(), got.whole), (passed, true), "{got:?}");
            assert_eq!(String::from_utf8_lossy(&got.body), body);
            drop((client, worker));
        }
    });
}

#[parameterized(
    a_cut_body = {"ID SEAL Content-Length: 9\r\n\r\nok"},
    a_cut_chunked_body = {"ID SEAL Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"},
    both_lengths = {"ID SEAL Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
    two_lengths = {"ID SEAL Content-Length: 2\r\nContent-Length: 1\r\n\r\nok"},
    no_length = {"ID SEAL \r\nok"},
    a_coding_of_the_way = {"ID SEAL Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
    no_seal = {"ID Content-Length: 2\r\n\r\nok"},
    encoded = {"ID SEAL Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok"},
    another_id = {"HTTP/1.1 200 OK\r\nX-Attempt-Id: 2\r\nSEAL Content-Length: 2\r\n\r\nok"},
    garbage = {"\u{1}\u{2}\u{3}\r\n\r\n"},
    nothing = {""},
    a_reset = {"reset"},
)]
fn what_is_no_whole_answer_is_never_passed_on(sent: &str) {
    let sent = sent.replace("ID ", "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n");
    let sent = sent.replace("SEAL ", "X-Server-Seal: 1\r\n");
    story(USUAL, async |world| {
        for kind in ["safe", "unsafe"] {
            let mut client = world.asks(ask(kind, "1")).await;
            let (mut worker, _) = world.a.asked().await;
            if sent == "reset" {
                worker.reset();
            } else {
                worker.send(&sent).await;
                drop(worker);
            }
            if kind == "safe" {
                let (mut other, _) = world.b.asked().await;
                other.send(good("1", "well")).await;
                assert_eq!(client.message().await.body, b"well");
            } else {
                assert_eq!(client.message().await.status(), 502);
                world.a.is_left_alone().await;
                world.b.is_left_alone().await;
            }
        }
    });
}

#[test]
fn a_second_answer_right_behind_the_first_ends_the_connection() {
    story(USUAL, async |world| {
        let mut client = world.asks(ask("safe", "1")).await;
        let (mut worker, _) = world.a.asked().await;
        worker.send(good("1", "one") + &good("1", "more")).await;
        assert_eq!(client.message().await.body, b"one");
        worker.is_gone().await;
        client.send(ask("unsafe", "2")).await;
        let (mut worker, _) = world.a.asked().await;
        worker.send(good("2", "two")).await;
        assert_eq!(client.message().await.body, b"two");
    });
}

#[parameterized(safe = {"safe"}, not_safe = {"unsafe"})]
fn an_answer_too_many_where_the_next_is_due_is_known_by_its_id(kind: &str) {
    story(USUAL, async |world| {
        let (mut client, mut worker) = world.acquainted().await;
        client.send(ask(kind, "2")).await;
        assert_eq!(worker.message().await.header("x-attempt-id"), Some("2"));
        worker.send(good("1", "one more") + &good("2", "two")).await;
        if kind == "safe" {
            let (mut other, _) = world.b.asked().await;
            other.send(good("2", "elsewhere")).await;
            assert_eq!(client.message().await.body, b"elsewhere");
        } else {
            assert_eq!(client.message().await.status(), 502);
            world.b.is_left_alone().await;
        }
        worker.is_gone().await;
        world.a.is_left_alone().await;
    });
}

#[test]
fn what_may_have_run_on_a_kept_connection_is_not_sent_again() {
    story(USUAL, async |world| {
        let (mut client, mut worker) = world.acquainted().await;
        client.send(ask("unsafe", "2")).await;
        assert_eq!(worker.message().await.header("x-attempt-id"), Some("2"));
        worker.reset();
        assert_eq!(client.message().await.status(), 502);
        world.a.is_left_alone().await;
        world.b.is_left_alone().await;
    });
}

#[test]
fn what_was_not_written_on_a_stale_connection_goes_on_a_new_one() {
    story(USUAL, async |world| {
        let (mut client, worker) = world.acquainted().await;
        drop(worker);
        client.send(ask("unsafe", "2")).await;
        let (mut worker, _) = world.a.asked().await;
        worker.send(good("2", "two")).await;
        assert_eq!(client.message().await.body, b"two");
    });
}

#[parameterized(safe = {"safe"}, not_safe = {"unsafe"})]
fn another_life_at_the_address_is_not_asked_again(kind: &str) {
    story(USUAL, async |world| {
        let mut client = world.asks(ask(kind, "1")).await;
        let (mut worker, _) = world.a.asked().await;
        worker
            .send("HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")
            .await;
        let (mut other, _) = world.b.asked().await;
        other.send(good("1", "one")).await;
        assert_eq!(client.message().await.body, b"one");
        client.send(ask(kind, "2")).await;
        other.message().await;
        other.send(good("2", "two")).await;
        assert_eq!(client.message().await.body, b"two");
        world.a.is_left_alone().await;
    });
}

#[parameterized(safe = {"safe"}, not_safe = {"unsafe"})]
fn what_a_full_worker_did_not_run_goes_elsewhere(kind: &str) {
    story(USUAL, async |world| {
        let mut client = world.asks(ask(kind, "1")).await;
        let (mut worker, _) = world.a.asked().await;
        worker.send(full("1")).await;
        let (mut other, _) = world.b.asked().await;
        other.send(good("1", "one")).await;
        assert_eq!(client.message().await.body, b"one");
        client.send(ask(kind, "2")).await;
        worker.message().await;
        worker.send(full("2")).await;
        other.message().await;
        other.send(full("2")).await;
        let refused = client.message().await;
        assert_eq!(refused.status(), 503);
        assert!(refused.header("retry-after").is_some());
    });
}

#[parameterized(safe = {"safe"}, not_safe = {"unsafe"})]
fn without_a_budget_it_is_refused_at_once(kind: &str) {
    story(USUAL.with(|it| it.ratio = 0.0), async |world| {
        let mut client = world.asks(ask(kind, "1")).await;
        let (mut worker, _) = world.a.asked().await;
        worker.send(FULL).await;
        let refused = client.message().await;
        assert_eq!(refused.status(), 503);
        assert!(refused.header("retry-after").is_some());
        world.b.is_left_alone().await;
    });
}

#[parameterized(with = {9.0}, without = {0.0})]
fn what_runs_late_goes_to_one_more_worker_if_the_budget_allows(ratio: f64) {
    let place = USUAL.with(|it| (it.ratio, it.aim_s) = (ratio, 0.1));
    story(place, async |world| {
        let mut client = world.asks(ask("safe", "1")).await;
        let (mut a, _) = world.a.asked().await;
        if ratio > 0.0 {
            let (mut b, _) = world.b.asked().await;
            b.send(good("1", "two")).await;
            assert_eq!(client.message().await.body, b"two");
        } else {
            // past the moment at which it counts as late
            tokio::time::sleep(std::time::Duration::from_millis(400)).await;
            world.b.is_left_alone().await;
            a.send(good("1", "one")).await;
            assert_eq!(client.message().await.body, b"one");
        }
    });
}

#[test]
fn a_worker_is_given_its_part_of_the_connections() {
    let place = USUAL.with(|it| (it.connection_limit, it.proxies) = (2, 4));
    story(place, async |world| {
        let mut first = world.asks(ask("safe", "1")).await;
        let (mut a, _) = world.a.asked().await;
        let mut second = world.asks(ask("safe", "2")).await;
        let (mut b, _) = world.b.asked().await;
        let mut third = world.asks(ask("safe", "3")).await;
        assert_eq!(third.message().await.status(), 503);
        a.send(good("1", "one")).await;
        b.send(good("2", "two")).await;
        assert_eq!(first.message().await.body, b"one");
        assert_eq!(second.message().await.body, b"two");
    });
}
