//! What stand-in workers answer: bodies of which no two are alike, some as long as a proxy holds.

use bytes::Bytes;

use crate::ledger::digest;

/// Pieces of a usual answer, at most.
const PIECES: usize = 4;
/// Words of a piece, at most.
const WORDS: usize = 64;
/// One in so many answers is long, where some are.
const LONG_ONE_IN: usize = 12;
/// Bytes of an answer that a proxy holds before it passes it on.
pub const HELD: usize = 256 << 10;
/// By how many bytes an answer close to that differs from it, at most.
pub const CLOSE: usize = 2_000;
/// Bytes of a long answer, at most.
const LONGEST: usize = 600_000;
/// Bytes of a piece of a long answer.
const LONG_PIECE: usize = 20_000;

/// The body of an answer to a try of that id by that worker, in pieces; the same each time.
pub fn answer_body(id: &str, worker: &str, may_be_long: bool) -> Vec<Bytes> {
    let mut chance = fastrand::Rng::with_seed(digest((id, worker)));
    if may_be_long && chance.usize(..LONG_ONE_IN) == 0 {
        return long_body(&mut chance);
    }
    let pieces = 1 + chance.usize(..PIECES);
    let piece = |_| {
        let words = 1 + chance.usize(..WORDS);
        let text: String = (0..words)
            .map(|_| format!("{:016x} ", chance.u64(..)))
            .collect();
        Bytes::from(format!("{id} {worker} {text}\n"))
    };
    (0..pieces).map(piece).collect()
}

/// A body as long as a proxy holds, a little shorter or longer; or of any length up to the longest.
fn long_body(chance: &mut fastrand::Rng) -> Vec<Bytes> {
    let length = match chance.u8(..3) {
        0 => HELD,
        1 => chance.usize(HELD - CLOSE..=HELD + CLOSE),
        _ => chance.usize(HELD..=LONGEST),
    };
    let mut bytes = vec![0; length];
    chance.fill(&mut bytes);
    let pieces = bytes.chunks(LONG_PIECE);
    pieces.map(Bytes::copy_from_slice).collect()
}
