//! A hive that is behind: bodies in pieces, marks by the buckets that differ, on links of 10 Mbit/s.

mod links;

use std::collections::BTreeSet;

use bytes::Bytes;
use elderpond_consensus::{Ballot, Digest, Event, Message, Replica, Tag, Voter, VoterSet};
use links::{Links, PIECE, body, ip};

#[yare::parameterized(
    routes_2_000 = { 406 << 10, 0 },
    routes_10_000 = { 2_039 << 10, 0 },
    with_all_marks = { 2_039 << 10, 8_192 },
)]
fn given_an_empty_disk_when_back_then_it_votes_within_catch_up_and_each_byte_came_once(
    size: usize,
    marks: usize,
) {
    let body = body(size);
    let mut links = Links::of(&body, marks, None);
    links.run(4_000);
    assert_eq!(links.in_force(2), Some((1, Digest::of(&body))));
    let replica = links.replicas[2].as_ref().expect("it is up");
    assert!(replica.is_active() && replica.status().marks == marks);
    let due = size + marks * 33;
    assert!(
        links.arrived[2] < due + 3 * PIECE,
        "{} of {due}",
        links.arrived[2]
    );
    assert!(links.longest < PIECE * 9 / 8, "{}", links.longest);
}

#[test]
fn given_the_holder_dies_halfway_then_another_sends_the_rest_and_what_came_is_kept() {
    let body = body(2_039 << 10);
    let mut links = Links::of(&body, 0, None);
    links.run(900);
    let before = links.arrived;
    links.run(901 + 60);
    // Whoever sends: pieces come from one at a time.
    let sends = |links: &Links, node: usize| {
        let pieces = |it: &&(usize, usize, Message)| matches!(it.2, Message::Piece { .. });
        links.flying.values().filter(pieces).any(|it| it.0 == node)
    };
    let holder = (0..2).find(|node| sends(&links, *node)).expect("halfway");
    assert!(before[2] > body.len() / 3 && links.in_force(2).is_none());
    links.replicas[holder] = None;
    links.meet();
    links.run(2_300);
    assert_eq!(links.in_force(2), Some((1, Digest::of(&body))));
    let again = links.arrived[2] - body.len();
    assert!(again < 5 * PIECE, "{again} came again");
}

#[test]
fn given_a_holder_that_alters_pieces_then_they_never_count_and_another_is_asked() {
    let body = body(300 << 10);
    for liar in [0, 1] {
        let mut links = Links::of(&body, 0, None);
        links.alter = Some(liar);
        links.run(4_000);
        assert_eq!(links.in_force(2), Some((1, Digest::of(&body))));
    }
}

#[test]
fn given_a_newer_version_in_the_middle_then_the_older_is_not_fetched_to_its_end() {
    let old = body(2_039 << 10);
    let mut links = Links::of(&old, 0, None);
    links.run(500);
    let new = Bytes::from_static(b"short");
    let ticket = links.propose(0, 2, new.clone());
    links.run(1_500);
    assert!(links.acknowledged.contains_key(&ticket));
    assert_eq!(links.in_force(2), Some((2, Digest::of(&new))));
    links.run(4_000);
    assert!(links.arrived[2] < old.len() / 2, "{}", links.arrived[2]);
}

#[test]
fn given_a_long_proposal_then_it_crosses_each_link_once_and_is_in_force_everywhere() {
    let new = body(2_039 << 10);
    let mut links = Links::of(&Bytes::new(), 1, Some(1));
    links.run(100);
    links.propose(0, 1, new.clone());
    links.run(2_000);
    for node in 0..3 {
        assert_eq!(links.in_force(node), Some((1, Digest::of(&new))));
        assert!(links.arrived[node] < new.len() + 10_000);
    }
}

#[test]
fn given_one_mark_of_8_192_missing_then_a_few_kb_bring_it() {
    let mut links = Links::of(&Bytes::new(), 8_192, Some(4_711));
    links.run(900);
    let replica = links.replicas[2].as_ref().expect("it is up");
    assert!(replica.marked(&format!("i-{:08x}@worker", 4_711)).is_some());
    let all: usize = links.arrived.iter().sum();
    assert!(all < 16_000, "{all} bytes");
}

/// A member of a new set; the one who told it of a long body has yet to send that.
#[test]
fn given_a_body_only_told_of_then_its_holder_does_not_count_until_it_is_whole() {
    let mut links = Links::of(&Bytes::new(), 0, Some(0));
    let lone = BTreeSet::from([1, 2]);
    lone.iter().for_each(|&node| links.replicas[node] = None);
    links.flying.clear();
    let voters: Vec<Voter> = (0..3)
        .map(|n| Voter {
            node: ip(n),
            disk: 0,
        })
        .collect();
    let set = VoterSet {
        epoch: 2,
        voters: voters.clone(),
        previous: voters,
    };
    let body = body(100 << 10);
    let ballot = Ballot {
        round: 1,
        node: 1,
        life: 1,
    };
    let tag = Tag {
        version: 3,
        ballot,
        digest: Digest::of(&body),
    };
    let from = ip(1);
    let hear = |links: &mut Links, message| links.give(0, Event::Message { from, message });
    hear(
        &mut links,
        Message::StateRequest {
            set,
            held: None,
            marks: 0,
        },
    );
    let stands = Message::StateSummary {
        epoch: 2,
        disk: 0,
        active_in: 1,
        held: Some(tag),
        committed: None,
        marks: 0,
    };
    hear(&mut links, stands);
    let active = |links: &Links| links.replicas[0].as_ref().is_some_and(Replica::is_active);
    let piece = |at: usize| Message::Piece {
        tag,
        committed: false,
        size: body.len() as u64,
        at: at as u64,
        bytes: body.slice(at..(at + PIECE).min(body.len())),
    };
    hear(&mut links, piece(0));
    assert!(!active(&links));
    hear(&mut links, piece(PIECE));
    assert!(active(&links), "it holds what both held");
}
