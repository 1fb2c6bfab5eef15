//! What a link with a rate carries.

use std::time::Duration;

use tokio::time::Instant;

use super::link_rate::{Link, LinkRate};

#[tokio::test(start_paused = true)]
async fn bytes_cross_a_link_behind_those_before_and_other_links_at_once() {
    // 100,000 bytes a second
    let rate = LinkRate::new(0.8);
    let begun = Instant::now();
    let two = async {
        rate.cross(Link::To(5), 10_000).await;
        rate.cross(Link::To(5), 10_000).await;
        begun.elapsed()
    };
    let beside = async {
        rate.cross(Link::To(5), 20_000).await;
        begun.elapsed()
    };
    let back = async {
        rate.cross(Link::From(5), 30_000).await;
        begun.elapsed()
    };
    let (two, beside, back) = tokio::join!(two, beside, back);
    let about = |ms| Duration::from_millis(ms)..Duration::from_millis(ms + 5);
    assert!(about(300).contains(&beside), "behind the first: {beside:?}");
    assert!(about(400).contains(&two), "behind both: {two:?}");
    assert!(about(300).contains(&back), "beside them: {back:?}");
}
