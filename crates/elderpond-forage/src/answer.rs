//! What a worker's answer is worth.

/// What of an answer's head decides.
#[derive(Clone, Copy, Debug, Default)]
pub struct Head<'a> {
    /// The status.
    pub status: u16,
    /// `X-Attempt-Id`, where there is one.
    pub attempt: Option<&'a [u8]>,
    /// Whether there is an `X-Server-Seal`.
    pub sealed: bool,
    /// Whether there is an `X-Request-Not-Run`.
    pub not_run: bool,
    /// Whether there is a `Content-Encoding`, which was not asked for.
    pub encoded: bool,
}

/// What an answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A success of this request; only whole may it be passed on as one.
    Good,
    /// The worker ran it, or refuses it for good, and says so; may be passed on.
    Own,
    /// Turned away without being run: no room.
    Full,
    /// Turned away without being run: another life has the address.
    Misplaced,
    /// Not an answer to this request; it may have run.
    Spoilt,
}

/// What an answer to the request of id `attempt` is.
pub fn verdict(attempt: &[u8], head: Head) -> Verdict {
    if head.attempt.is_some_and(|id| id != attempt) {
        return Verdict::Spoilt;
    }
    match head.status {
        421 => Verdict::Misplaced,
        _ if head.not_run => Verdict::Full,
        // a worker repeats the id in its answers; what lacks it belongs to no request
        _ if head.attempt.is_none() => Verdict::Spoilt,
        200..=299 if head.sealed && !head.encoded => Verdict::Good,
        // passed on these promise that it never ran, which this worker doesn't say
        408 | 429 | 503 => Verdict::Spoilt,
        300..=599 => Verdict::Own,
        _ => Verdict::Spoilt,
    }
}
