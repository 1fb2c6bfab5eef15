//! The budget of further tries, over changes of the configuration.

mod world;

use std::time::Duration;

use tokio::time::sleep;
use world::*;

/// One further try in a window, once the process has run for most of one.
const ONE_FURTHER_TRY: Place = Place {
    ratio: 0.0,
    slack: 2.0,
    retry_window_s: 2.0,
    ..USUAL
};

/// A worker turns the request of this id away; whether it is sent to the other one, which answers it.
async fn is_tried_again(world: &World, id: &str) -> bool {
    let mut client = world.asks(ask("safe", id)).await;
    let (mut first, _) = world.a.asked().await;
    first.send(full(id)).await;
    tokio::select! {
        (mut second, _) = world.b.asked() => {
            second.send(good(id, "ok")).await;
            assert_eq!(client.message().await.body, b"ok");
            true
        }
        answer = client.message() => {
            assert_eq!(answer.status(), 503);
            false
        }
    }
}

/// BUDGET: a service that a version lacked for a moment had its whole budget again.
#[test]
fn what_a_service_has_spent_is_remembered_by_a_version_that_has_it_again() {
    story(ONE_FURTHER_TRY, async |mut world| {
        sleep(Duration::from_millis(1700)).await;
        assert!(is_tried_again(&world, "1").await);
        assert!(!is_tried_again(&world, "2").await, "the budget is spent");
        world.changes(2, |place| place.has_service = false).await;
        world.changes(3, |place| place.has_service = true).await;
        assert!(!is_tried_again(&world, "3").await, "it was forgotten");
    });
}
