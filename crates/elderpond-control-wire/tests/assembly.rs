//! Versions in parts.

use bytes::Bytes;
use elderpond_control_wire::{
    AssembledVersion, Assembly, Frames, FromHive, MisplacedPart, VersionForm, VersionPart, unpack,
    version_frames,
};
use yare::parameterized;

fn parts(frames: &[Bytes]) -> Vec<VersionPart> {
    let part = |frame: &Bytes| {
        let mut read = Frames::default();
        read.buffer.extend_from_slice(frame);
        match unpack(read.read().expect("a frame").expect("a whole one")) {
            Ok(FromHive::VersionPart(part)) => part,
            other => panic!("{other:?}"),
        }
    };
    frames.iter().map(part).collect()
}

fn body(length: usize) -> Bytes {
    (0..length).map(|at| (at * at % 251) as u8).collect()
}

#[parameterized(
    nothing = { 0, 1 },
    a_byte = { 1, 1 },
    one_part = { 32 << 10, 1 },
    a_byte_more = { (32 << 10) + 1, 2 },
    the_longest = { 8 << 20, 256 },
)]
fn given_a_version_in_parts_when_all_have_come_then_it_is_whole(length: usize, count: usize) {
    let body = body(length);
    let parts = parts(&version_frames(7, VersionForm::Whole, &body));
    assert_eq!(parts.len(), count);
    let mut assembly = Assembly::default();
    let last = parts.len() - 1;
    for (at, part) in parts.into_iter().enumerate() {
        let expected = (at == last).then(|| AssembledVersion {
            version: 7,
            form: VersionForm::Whole,
            bytes: body.to_vec(),
        });
        assert!(assembly.take_in(part) == Ok(expected));
    }
}

#[test]
fn given_a_part_that_is_lost_then_the_next_one_is_refused_and_a_first_one_begins_anew() {
    let body = body(100 << 10);
    let parts = parts(&version_frames(7, VersionForm::Difference, &body));
    let mut assembly = Assembly::default();
    assert_eq!(assembly.take_in(parts[0].clone()), Ok(None));
    let misplaced = MisplacedPart {
        version: 7,
        offset: 64 << 10,
        held: 32 << 10,
    };
    assert_eq!(assembly.take_in(parts[2].clone()), Err(misplaced));
    assert!(
        assembly.take_in(parts[3].clone()).is_err(),
        "what was held is dropped"
    );
    let whole = parts.into_iter().map(|part| assembly.take_in(part));
    let last = whole
        .last()
        .expect("a part")
        .expect("in order")
        .expect("the last");
    assert!(last.bytes == body);
}

#[test]
fn given_parts_of_two_versions_or_more_bytes_than_told_then_they_are_refused() {
    let (old, new) = (body(40 << 10), body(80 << 10));
    let old = parts(&version_frames(7, VersionForm::Whole, &old));
    let new = parts(&version_frames(8, VersionForm::Whole, &new));
    let mut assembly = Assembly::default();
    assert_eq!(assembly.take_in(old[0].clone()), Ok(None));
    assert!(assembly.take_in(new[1].clone()).is_err());
    let long = VersionPart {
        bytes: body(9),
        length: 8,
        ..new[0].clone()
    };
    assert!(assembly.take_in(long).is_err());
    let too_long = VersionPart {
        length: u32::MAX,
        ..new[0].clone()
    };
    assert!(assembly.take_in(too_long).is_err());
}
