//! Frames come in any pieces; what is no frame is refused.

use elderpond_waggle::{Frames, FromForager, LARGEST, VERSION, WaggleError, encode};

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
fn what_is_no_frame_is_refused() {
    let next = |bytes: &[u8]| {
        let mut frames = Frames::default();
        frames.buffer.extend_from_slice(bytes);
        frames.read::<FromForager>()
    };
    assert_eq!(next(&[0, 0, 0, 1, 9]), Err(WaggleError::Version(9)));
    assert_eq!(next(&[0, 0, 0, 0]), Err(WaggleError::Empty));
    assert_eq!(next(&[255; 8]), Err(WaggleError::Long(u32::MAX as usize)));
    assert_eq!(
        next(&[0, 0, 0, 3, VERSION, 1, 0]),
        Err(WaggleError::Trailing(1))
    );
    assert!(matches!(
        next(&[0, 0, 0, 2, VERSION, 77]),
        Err(WaggleError::Malformed(_))
    ));
    assert!(LARGEST < u32::MAX as usize);
}
