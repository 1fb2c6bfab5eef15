//! Frames come in any pieces; what is no frame is refused.

use bytes::Bytes;
use elderpond_control_wire::{
    ControlWireError, Frames, FromForager, FromHive, Heartbeat, HiveToHive, LARGEST, OLDEST,
    VERSION, Vouch, encode, pack, unpack,
};

#[test]
fn messages_are_read_in_any_pieces() {
    let sent = FromForager::Report {
        covers_ms: 7,
        lines: Vec::new(),
        misplaced: vec![],
    };
    let bytes = [encode(&sent), encode(&FromForager::Leaving)].concat();
    for piece in 1..bytes.len() {
        let mut frames = Frames::default();
        let mut came = Vec::new();
        for part in bytes.chunks(piece) {
            frames.buffer.extend_from_slice(part);
            while let Some(message) = frames.read::<FromForager>().expect("it is proper") {
                came.push(message);
            }
        }
        assert_eq!(came, [sent.clone(), FromForager::Leaving]);
    }
}

#[test]
fn the_length_of_a_message_is_known_once_its_head_has_come() {
    let frame = encode(&HiveToHive::Foragers(7));
    let mut frames = Frames::default();
    frames.buffer.extend_from_slice(&frame[..3]);
    assert_eq!(frames.partial(), None);
    frames.buffer.extend_from_slice(&frame[3..5]);
    assert_eq!(frames.partial(), Some(frame.len() - 4));
}

#[test]
fn what_is_no_frame_is_refused() {
    let next = |bytes: &[u8]| {
        let mut frames = Frames::default();
        frames.buffer.extend_from_slice(bytes);
        frames.read::<FromForager>()
    };
    assert_eq!(next(&[0, 0, 0, 1, 9]), Err(ControlWireError::Version(9)));
    assert_eq!(next(&[0, 0, 0, 0]), Err(ControlWireError::Empty));
    assert_eq!(
        next(&[255; 8]),
        Err(ControlWireError::Long(u32::MAX as usize))
    );
    assert_eq!(
        next(&[0, 0, 0, 3, VERSION, 1, 0]),
        Err(ControlWireError::Trailing(1))
    );
    assert!(matches!(
        next(&[0, 0, 0, 2, VERSION, 77]),
        Err(ControlWireError::Malformed(_))
    ));
    assert!(LARGEST < u32::MAX as usize);
}

/// Frames as versions 2 and 3 wrote them: since then messages were only added, so all are read and mean the
/// same.
#[test]
fn frames_of_the_version_before_are_read_and_those_of_the_one_before_that_are_not() {
    let tag = "0709020390dc9dd6fe92f1f8cb95ddb7fa9ff3f7fa2e";
    let held = format!("{tag}04626f6479");
    let old = [
        (
            "Consensus(Beat(",
            format!("000000220200000101000109 01{tag} 07ac02"),
        ),
        ("Consensus(Accept {", format!("0000001f02000401{held}")),
        ("Consensus(Body {", format!("0000001f020008{held}01")),
        ("Consensus(Marks([", "0000000902000e010501770167".into()),
        (
            "Consensus(StateReply {",
            format!("0000003f02001502010101{held}01{tag}010501770167"),
        ),
        ("AskLives", "000000020203".into()),
    ];
    for (what, hex) in old {
        let hex: String = hex.split(' ').collect();
        let digits: Vec<u32> = hex.chars().filter_map(|it| it.to_digit(16)).collect();
        let bytes: Vec<u8> = digits
            .chunks(2)
            .map(|it| (it[0] * 16 + it[1]) as u8)
            .collect();
        let read = |version: u8| {
            let mut frames = Frames::default();
            frames.buffer.extend_from_slice(&bytes);
            frames.buffer[4] = version;
            frames.read::<HiveToHive>()
        };
        for known in [2, 3, 4, 5, 6] {
            let message = read(known).expect("it is read").expect("it is whole");
            assert!(format!("{message:?}").starts_with(what), "{message:?}");
            assert_eq!(encode(&message)[5..], bytes[5..], "it is written the same");
        }
        for unknown in [OLDEST - 1, VERSION + 1] {
            let refused = read(unknown).expect_err("it is refused");
            let plain = format!("version {unknown} of the wire; 2 to 6 are read here");
            assert_eq!(refused.to_string(), plain);
        }
    }
}

/// The frame of a heartbeat says which version a control node speaks on that link.
#[test]
fn a_heartbeat_bears_the_newest_version_that_both_ends_speak() {
    let heartbeat = Heartbeat {
        vouch: Vouch::Current,
        proxies: 3,
        control_nodes: Vec::new(),
    };
    for (spoken, borne) in [(5, 5), (6, 6), (7, 6)] {
        let mut frames = Frames::default();
        let frame = heartbeat.clone().frame(spoken);
        frames.buffer.extend_from_slice(&frame);
        let message = frames.read().expect("a frame").expect("a whole one");
        assert_eq!(frames.version(), borne);
        match message {
            FromHive::Heartbeat(read) => assert_eq!((read, borne), (heartbeat.clone(), 6)),
            FromHive::Pulse(read) => {
                assert_eq!((Heartbeat::from(read), borne), (heartbeat.clone(), 5))
            }
            other => panic!("{other:?}"),
        }
    }
}

fn packed(inner: &[u8]) -> FromHive {
    FromHive::Packed(miniz_oxide::deflate::compress_to_vec(inner, 3).into())
}

#[test]
fn given_a_large_version_when_packed_then_it_is_small_and_the_same_again() {
    let version = |body: Vec<u8>| FromHive::Version {
        version: 7,
        body: body.into(),
    };
    let large = version(b"a route like the others, ".repeat(4000));
    let frame = pack(&large);
    assert!(frame.len() < 2000, "{}", frame.len());
    let mut frames = Frames::default();
    frames.buffer.extend_from_slice(&frame);
    let read = frames.read().expect("a frame").expect("a whole one");
    assert_eq!(unpack(read), Ok(large));
    let small = version(b"short".to_vec());
    assert_eq!(pack(&small), encode(&small));
}

#[test]
fn given_the_largest_configuration_that_does_not_pack_when_sent_then_it_is_read() {
    let mix = |at: u64| (at ^ (at >> 9)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let noise = (0..8 << 20).map(|at| (mix(mix(at)) >> 56) as u8);
    let noise: Vec<u8> = noise.collect();
    let largest = FromHive::Version {
        version: u64::MAX,
        body: noise.into(),
    };
    for frame in [pack(&largest), encode(&largest)] {
        let mut frames = Frames::default();
        frames.buffer.extend_from_slice(&frame);
        let read = frames.read().expect("a frame").expect("a whole one");
        assert!(unpack(read) == Ok(largest.clone()));
    }
}

#[test]
fn given_bad_packing_when_unpacked_then_it_is_refused() {
    let bomb = packed(&vec![0; LARGEST + 1]);
    let nested = &encode(&packed(b"x"))[5..];
    let pulse = &encode(&FromHive::Change(Default::default()))[5..];
    let rest = [pulse, b"x"].concat();
    let torn = FromHive::Packed(Bytes::from_static(b"\x01\x02\x03"));
    for bad in [bomb, packed(nested), torn] {
        assert_eq!(unpack(bad), Err(ControlWireError::Packed));
    }
    assert_eq!(unpack(packed(&rest)), Err(ControlWireError::Trailing(1)));
}
