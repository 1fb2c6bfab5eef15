//! What a process that was told to end answers when its time is over, on connections whose first request
//! takes longer than that.

mod world;

use std::time::Duration;

use elderpond_proxy::Command;
use tokio::time::sleep;
use world::*;

const GATEWAY_TIMEOUT: u16 = 504;

/// Requests that outlast the grace period of a second: their clients wait for 3 s.
const LONG: [&str; 2] = ["safe", "unsafe"];

/// LOST: answers that had come for requests behind a long one were dropped as the process exited.
#[test]
fn answers_behind_a_request_that_outlasts_the_grace_period_are_delivered() {
    story(USUAL, async |mut world| {
        let behind = ["2", "3", "4"];
        let requests = ["1", "2", "3", "4"].map(|id| ask("safe", id)).concat();
        let mut client = world.asks(requests).await;
        let mut workers = Vec::new();
        for _ in 0..4 {
            workers.push(world.asked().await);
        }
        world.commands.send(Command::Stop).expect("a proxy");
        for (worker, asked) in &mut workers {
            let id = asked.header("x-attempt-id").expect("an id");
            if id != "1" {
                worker.send(good(id, id)).await;
            }
        }
        let long = world.answer_before_the_end(&mut client).await;
        assert_eq!(long.expect("an answer").status(), GATEWAY_TIMEOUT);
        for id in behind {
            let answer = world.answer_before_the_end(&mut client).await;
            let answer = answer.unwrap_or_else(|| panic!("{id}: its worker's answer is dropped"));
            assert_eq!((answer.status(), &*answer.body), (200, id.as_bytes()));
        }
        (&mut world.proxy).await.expect("it ends by itself");
    });
}

/// LOST: requests whose workers were still silent at the end were cut without a word, and those behind them.
#[test]
fn requests_that_outlast_the_grace_period_are_told_so() {
    for kind in LONG {
        story(USUAL, async |mut world| {
            let requests = [ask(kind, "1"), ask("safe", "2")].concat();
            let mut client = world.asks(requests).await;
            let _worker = world.asked().await;
            world.commands.send(Command::Stop).expect("a proxy");
            let first = world.answer_before_the_end(&mut client).await;
            let first = first.expect("an answer");
            assert_eq!(first.status(), GATEWAY_TIMEOUT, "{kind}");
            if kind == "safe" {
                assert_eq!(first.header("connection"), None, "another was passed on");
                let second = world.answer_before_the_end(&mut client).await;
                let second = second.expect("an answer");
                assert_eq!(second.status(), GATEWAY_TIMEOUT);
                assert_eq!(second.header("connection"), Some("close"));
            } else {
                assert_eq!(first.header("connection"), Some("close"));
            }
            client.ends().await;
            (&mut world.proxy).await.expect("it ends by itself");
        });
    }
}

/// LOST: the same for a request whose body is still on its way.
#[test]
fn a_request_whose_body_outlasts_the_grace_period_is_told_so() {
    story(USUAL, async |mut world| {
        let mut whole = request("POST", "/safe/x", "1", b"a body");
        whole.truncate(whole.len() - 2);
        let mut client = world.asks(whole).await;
        sleep(Duration::from_millis(50)).await;
        world.commands.send(Command::Stop).expect("a proxy");
        let answer = world.answer_before_the_end(&mut client).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status(), GATEWAY_TIMEOUT);
        assert_eq!(answer.header("connection"), Some("close"));
        (&mut world.proxy).await.expect("it ends by itself");
    });
}

/// A worker that answers in the grace period is waited for, also if that takes most of it.
#[test]
fn an_answer_that_comes_late_in_the_grace_period_is_passed_on() {
    story(USUAL, async |mut world| {
        let (mut client, mut worker) = world.acquainted().await;
        client.send(ask("safe", "2")).await;
        worker.message().await;
        world.commands.send(Command::Stop).expect("a proxy");
        sleep(Duration::from_millis(780)).await;
        worker.send(good("2", "late")).await;
        assert_eq!(client.message().await.body, b"late");
        (&mut world.proxy).await.expect("it ends by itself");
    });
}
