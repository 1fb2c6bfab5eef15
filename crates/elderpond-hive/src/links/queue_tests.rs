//! What waits on a link, and what is dropped.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use elderpond_control_wire::LARGEST;

use super::queue::{CHUNK, MOST_BYTES, MOST_FRAMES, Queue};

fn frame(filler: u8, length: usize) -> Bytes {
    vec![filler; length].into()
}

#[test]
fn pieces_of_a_body_hold_up_no_heartbeat_and_push_none_out() {
    let queue = Queue::apart();
    for _ in 0..2 * MOST_FRAMES {
        queue.push(frame(7, CHUNK));
    }
    assert!(queue.push(frame(1, 100)), "none of its kind goes");
    assert_eq!(queue.pop().map(|next| next.frame[0]), Some(1));
    let left = std::iter::from_fn(|| queue.pop()).count();
    assert_eq!(left, MOST_FRAMES);
}

/// Guards against RECOVER: a version of over 4 MiB and the table behind it closed each link as it was joined.
#[test]
fn the_longest_message_waits_beside_others_and_is_not_dropped_for_them() {
    let queue = Queue::default();
    assert!(queue.push(frame(0, LARGEST)));
    assert!(queue.push(frame(1, MOST_BYTES - LARGEST - 8)));
    assert!(queue.push(frame(2, 8)));
    assert_eq!(queue.pop().map(|next| next.frame.len()), Some(LARGEST));
}

#[test]
fn bytes_that_wait_are_bounded_and_the_oldest_frame_goes() {
    let queue = Queue::default();
    assert!(queue.push(frame(0, LARGEST)));
    assert!(queue.push(frame(1, MOST_BYTES - LARGEST)));
    assert!(!queue.push(frame(2, 1)), "one byte over the bound");
    assert_eq!(queue.pop().map(|next| next.frame[0]), Some(1));
}

#[test]
fn frames_that_wait_are_bounded_and_the_oldest_frame_goes() {
    let queue = Queue::default();
    for filler in 0..MOST_FRAMES {
        assert!(queue.push(frame(filler as u8, 8)));
    }
    assert!(!queue.push(frame(3, 8)), "one frame over the bound");
    assert_eq!(queue.pop().map(|next| next.frame[0]), Some(1));
}

fn version(frames: &[u8]) -> Arc<[Bytes]> {
    frames.iter().map(|filler| frame(*filler, CHUNK)).collect()
}

/// Guards against DRAIN: a departure waited behind the whole version before it.
#[test]
fn what_is_urgent_goes_between_the_parts_of_a_version() {
    let queue = Queue::default();
    queue.push_version(3, version(&[1, 2, 3]));
    assert_eq!(queue.pop().map(|next| next.frame[0]), Some(1));
    assert!(queue.push(frame(9, 100)));
    let order: Vec<u8> = std::iter::from_fn(|| queue.pop())
        .map(|next| next.frame[0])
        .collect();
    assert_eq!(order, [9, 2, 3]);
}

#[test]
fn versions_are_written_one_behind_the_other_and_the_end_of_each_is_told() {
    let queue = Queue::default();
    queue.push_version(3, version(&[1, 2]));
    queue.push_version(4, version(&[3]));
    let ends: Vec<_> = std::iter::from_fn(|| queue.pop())
        .map(|next| next.ends)
        .collect();
    assert_eq!(ends, [None, Some(3), Some(4)]);
}

#[tokio::test]
async fn the_writer_returns_once_a_version_was_written_whole() {
    let queue = Queue::default();
    queue.push_version(3, version(&[1, 2]));
    assert!(queue.push(frame(9, 100)));
    let mut written = Vec::new();
    assert_eq!(
        queue.write(&mut written, Duration::from_secs(1)).await,
        Some(3)
    );
    assert_eq!(written.len(), 100 + 2 * CHUNK);
    assert_eq!((written[0], written[100], written[100 + CHUNK]), (9, 1, 2));
}
