//! How the proxy ends clients' connections: a request that has come is answered, one that crosses the end is
//! left unread, so that its client knows that it has not run.

mod world;

use std::net::SocketAddrV4;
use std::ops::Range;
use std::thread;
use std::time::Duration;

use elderpond_proxy::Command;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use world::*;

/// A connection may be idle for 0.4 s.
const IDLE: &str = r#"{"header-timeout-s":5,"idle-timeout-s":0.4}"#;

#[test]
fn a_request_that_crosses_the_end_of_an_idle_connection_is_left_unread() {
    story(USUAL.with(|it| it.limits = IDLE), async |world| {
        let (mut client, _worker) = world.acquainted().await;
        client.ends().await;
        client.send(ask("unsafe", "2")).await;
        sleep(Duration::from_millis(400)).await;
        // a socket that is closed over unread bytes is reset; one that was read from is not
        assert!(client.was_reset(), "the request was read and dropped");
        world.a.is_left_alone().await;
    });
}

/// The client's second request is passed on to the worker, and answered.
async fn is_served(client: &mut Wire, worker: &mut Wire, otherwise: &str) {
    let asked = timeout(Duration::from_secs(2), worker.message()).await;
    let asked = asked.expect(otherwise);
    assert_eq!(asked.header("x-attempt-id"), Some("2"));
    worker.send(good("2", "two")).await;
    assert_eq!(client.message().await.body, b"two");
}

/// Bytes of one answer, which the proxy hands over at once.
const BYTES: usize = 6_000;
/// Answers that together are more than the sockets between take in.
const ANSWERS: usize = 2000;

/// A client that has asked for many answers, and takes none yet.
async fn client_of_many_answers(front: SocketAddrV4, workers: Worker) -> Wire {
    spawn_local(async move {
        loop {
            let mut worker = workers.accept().await;
            spawn_local(async move {
                while let Some(asked) = worker.message_if_any().await {
                    let id = asked.header("x-attempt-id").expect("an id");
                    worker.send(good(id, &"x".repeat(BYTES))).await;
                }
            });
        }
    });
    let mut client = Wire::narrow(front, 64 << 10).await;
    // none is begun before its turn
    let two = [ask("unsafe", "1"), ask("unsafe", "2")].concat();
    client.send(two.repeat(ANSWERS / 2)).await;
    client
}

#[test]
fn answers_that_wait_to_be_taken_are_not_cut_by_the_end_of_the_process() {
    story(USUAL, async |world| {
        let mut client = client_of_many_answers(world.front, world.a).await;
        sleep(Duration::from_millis(300)).await;
        world.commands.send(Command::Stop).expect("a proxy");
        sleep(Duration::from_millis(700)).await;
        let mut answers = 0;
        while let Some(answer) = client.message_if_any().await {
            if answer.status() == 503 {
                break;
            }
            assert_eq!(answer.body.len(), BYTES, "of answer {answers}");
            answers += 1;
        }
        assert!(answers > 0);
    });
}

#[test]
fn a_request_that_came_while_the_process_stood_still_is_answered_on_its_idle_connection() {
    story(USUAL.with(|it| it.limits = IDLE), async |world| {
        let (mut client, mut worker) = world.acquainted().await;
        let late = spawn_local(async move {
            sleep(Duration::from_millis(340)).await;
            client.send(ask("safe", "2")).await;
            client
        });
        sleep(Duration::from_millis(300)).await;
        // nothing of the process runs; all that is due by then comes before what the system tells of sockets
        thread::sleep(Duration::from_millis(300));
        let mut client = late.await.expect("a client");
        is_served(&mut client, &mut worker, "ended as idle").await;
    });
}

/// For how long the process stands still: not so long that it would notice.
const STILL: Duration = Duration::from_millis(30);

/// Tells a story for each of these moments, some at a time.
fn at_each_moment(moments: Range<u64>, step: usize, tell: fn(Duration)) {
    let moments: Vec<u64> = moments.step_by(step).collect();
    for some in moments.chunks(4) {
        let stories: Vec<_> = some
            .iter()
            .map(|ms| {
                let after = Duration::from_millis(*ms);
                thread::spawn(move || tell(after))
            })
            .collect();
        for story in stories {
            story.join().expect("the story ends well");
        }
    }
}

#[test]
fn a_request_that_lies_unread_when_its_idle_connection_is_due_to_end_is_answered() {
    // the limit is looked at somewhere in this time
    at_each_moment(390..530, 10, |after| {
        story(USUAL.with(|it| it.limits = IDLE), async |world| {
            let (mut client, mut worker) = world.acquainted().await;
            let late = spawn_local(async move {
                sleep(after).await;
                let in_time = !client.has_ended();
                if in_time {
                    client.send(ask("safe", "2")).await;
                }
                (client, in_time)
            });
            sleep(after - STILL / 2).await;
            thread::sleep(STILL);
            let (mut client, in_time) = late.await.expect("a client");
            if in_time {
                let why = format!("closed over a request after {after:?}");
                is_served(&mut client, &mut worker, &why).await;
            }
        });
    });
}

#[test]
fn the_time_for_which_the_process_stood_still_is_no_silence_of_its_clients() {
    story(USUAL.with(|it| it.limits = IDLE), async |world| {
        // by then the proxy looks as often as these limits need
        sleep(Duration::from_millis(600)).await;
        let (mut client, mut worker) = world.acquainted().await;
        sleep(Duration::from_millis(250)).await;
        thread::sleep(Duration::from_millis(300));
        // silent for 0.55 s, of which the process ran for 0.25 s
        sleep(Duration::from_millis(20)).await;
        client.send(ask("safe", "2")).await;
        is_served(&mut client, &mut worker, "ended as idle").await;
    });
}

#[test]
fn a_request_sent_behind_an_answer_that_ends_late_is_left_unread_or_answered() {
    story(USUAL, async |world| {
        let (mut client, mut worker) = world.acquainted().await;
        client.send(ask("safe", "2")).await;
        worker.message().await;
        // more than is held: it flows, and its head does not say that the connection ends
        const BODY: usize = 600_000;
        let length = format!("Content-Length: {BODY}\r\n");
        worker
            .send(answer("2", "200 OK", &length, &"x".repeat(BODY - 1)))
            .await;
        client.take_some(BODY / 2).await;
        world.commands.send(Command::Stop).expect("a proxy");
        // by then no answer is waited for any more
        sleep(Duration::from_millis(950)).await;
        worker.send("x").await;
        let late = client.message().await;
        assert_eq!((late.body.len(), late.header("connection")), (BODY, None));
        client.send(ask_within(60, "3")).await;
        let answered = client.message_if_any().await.is_some();
        sleep(Duration::from_millis(100)).await;
        assert!(answered || client.was_reset(), "it was read and dropped");
    });
}

/// Bytes of an answer that is held whole, and more than a narrow client takes in.
const LONG_ANSWER: usize = 250_000;

/// LOST: what came behind an answer that ends its connection was passed on while that answer was being
/// written, and never answered.
#[test]
fn nothing_is_passed_on_behind_an_answer_that_ends_its_connection() {
    story(USUAL.with(|it| it.grace_s = 4.0), async |world| {
        let mut client = Wire::over_a_network(world.front, 4096).await;
        client.send(ask("safe", "1")).await;
        let (mut worker, _) = world.a.asked().await;
        world.commands.send(Command::Stop).expect("a proxy");
        sleep(Duration::from_millis(50)).await;
        worker.send(good("1", &"x".repeat(LONG_ANSWER))).await;
        sleep(Duration::from_millis(100)).await;
        client.send(ask("safe", "2")).await;
        let passed_on = timeout(Duration::from_millis(200), async {
            tokio::select! {
                _ = worker.message_if_any() => {}
                _ = world.asked() => {}
            }
        });
        assert!(passed_on.await.is_err(), "it can't be answered any more");
        let answer = client.message().await;
        assert_eq!(answer.body.len(), LONG_ANSWER);
        assert_eq!(answer.header("connection"), Some("close"));
        client.ends().await;
    });
}

/// LOST: a connection whose first answer was taken slowly was ended by that request's deadline alone,
/// whatever time those behind it had left.
#[test]
fn an_answer_that_is_taken_late_does_not_end_the_time_of_those_behind_it() {
    story(USUAL, async |world| {
        let mut client = Wire::over_a_network(world.front, 4096).await;
        client
            .send([ask_within(100, "1"), ask_within(3000, "2")].concat())
            .await;
        for _ in 0..2 {
            let (mut worker, asked) = world.asked().await;
            let body = match asked.header("x-attempt-id") {
                Some("1") => "x".repeat(LONG_ANSWER),
                _ => "two".to_owned(),
            };
            let id = asked.header("x-attempt-id").expect("an id");
            worker.send(good(id, &body)).await;
        }
        // longer than the first request may take, and its answer to be taken
        sleep(Duration::from_millis(2600)).await;
        assert_eq!(client.message().await.body.len(), LONG_ANSWER);
        let second = client.message_if_any().await;
        assert_eq!(second.expect("it has time left").body, b"two");
    });
}

/// Clients enough that the system is asked for news between the ends of their connections.
const CLIENTS: usize = 120;

/// A process is told to end. `after` that, while it stands still, all its clients ask for what may take until
/// shortly before the last moment.
async fn ask_an_ending_process(world: World, after: Duration) {
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        clients.push(world.client().await);
    }
    world.commands.send(Command::Stop).expect("a proxy");
    let late = spawn_local(async move {
        sleep(after).await;
        for client in &mut clients {
            client.send(ask_within(350, "1")).await;
        }
        clients
    });
    sleep(after - STILL / 2).await;
    thread::sleep(STILL);
    let _clients = late.await.expect("clients");
    let passed_on = timeout(Duration::from_millis(100), world.a.asked()).await;
    sleep(Duration::from_millis(150)).await;
    let waits = !world.proxy.is_finished();
    assert!(
        waits || passed_on.is_err(),
        "the process ends over a request that it passed on {after:?} after it was told to end"
    );
}

#[test]
fn a_process_that_ends_waits_for_all_that_it_passed_on() {
    // its last look whether anything is in hand comes somewhere in this time
    at_each_moment(380..540, 10, |after| {
        story(USUAL, async |world| {
            ask_an_ending_process(world, after).await;
        });
    });
}

/// LOST: a connection that was made and not accepted yet was reset when the process closed its listener.
#[test]
fn a_request_on_a_connection_that_waits_to_be_accepted_when_a_process_closes_is_answered() {
    // its listener closes somewhere in this time
    at_each_moment(380..600, 10, |after| {
        story(USUAL, async |world| {
            world.commands.send(Command::Stop).expect("a proxy");
            sleep(after).await;
            let client = world.asks_at_once_if_open(ask_within(60, "1"));
            thread::sleep(STILL);
            if let Some(mut client) = client {
                let answered = client.message_if_any().await.is_some();
                assert!(answered, "cut without an answer after {after:?}");
            }
        });
    });
}

#[test]
fn half_a_head_that_came_before_a_process_closes_is_waited_for() {
    story(USUAL.with(|it| it.grace_s = 2.0), async |world| {
        let (mut client, mut worker) = world.acquainted().await;
        world.commands.send(Command::Stop).expect("a proxy");
        let request = ask_within(300, "2");
        let (head, rest) = request.split_at(40);
        sleep(Duration::from_millis(600)).await;
        client.send(head).await;
        // nothing else is in hand: the process closes what is idle meanwhile
        sleep(Duration::from_millis(500)).await;
        client.send(rest).await;
        let asked = worker.message().await;
        assert_eq!(asked.header("x-attempt-id"), Some("2"));
        worker.send(good("2", "two")).await;
        let answer = client.message().await;
        assert_eq!(
            (&*answer.body, answer.header("connection")),
            (&b"two"[..], Some("close"))
        );
        world.proxy.await.expect("it ends by itself");
    });
}

#[test]
fn a_connection_that_was_busy_makes_room_once_it_is_idle() {
    // the least that there is: 16 connections of clients
    story(USUAL.with(|it| it.descriptors = 64), async |world| {
        let mut busy = Vec::new();
        for id in 0..16 {
            let client = world.asks_at_once(ask("safe", &id.to_string()));
            let (worker, _) = world.a.asked().await;
            busy.push((client, worker));
        }
        let mut waiting = world.asks_at_once(ask("safe", "16"));
        world.a.is_left_alone().await;
        let (mut client, mut worker) = busy.swap_remove(0);
        worker.send(good("0", "first")).await;
        assert_eq!(client.message().await.body, b"first");
        drop(worker);
        let asked = timeout(Duration::from_secs(2), world.a.asked()).await;
        let (mut worker, asked) = asked.expect("the idle connection made room");
        assert_eq!(asked.header("x-attempt-id"), Some("16"));
        worker.send(good("16", "next")).await;
        assert_eq!(waiting.message().await.body, b"next");
    });
}
