//! What a worker's answer is worth.

/// What of an answer's head decides.
#[derive(Clone, Copy, Debug, Default)]
pub struct Head {
    /// The status.
    pub status: u16,
    /// Whose it is, by its `X-Attempt-Id`.
    pub named: Named,
    /// Whether its connection carried another request before: what names nobody may be that one's.
    pub kept: bool,
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

/// Whose an answer is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Named {
    /// It does not say.
    #[default]
    Nobody,
    /// The request's that is in hand.
    This,
    /// Another request's, or more than one's.
    Another,
}

/// That an answer names the request in hand. Only with this may its connection be kept.
#[derive(Debug)]
pub struct Ours(());

impl Head {
    /// The proof that this answer names the request in hand, if it does.
    pub fn ours(&self) -> Option<Ours> {
        (self.named == Named::This).then_some(Ours(()))
    }
}

/// Whose an answer is that repeats `ids`, when the request of id `attempt` is in hand. A request without an
/// id is named by none.
pub fn named<'a>(attempt: &[u8], ids: impl IntoIterator<Item = &'a [u8]>) -> Named {
    ids.into_iter()
        .fold(Named::Nobody, |before, id| match before {
            Named::Nobody | Named::This if id == attempt && !id.is_empty() => Named::This,
            _ => Named::Another,
        })
}

/// What an answer to the request in hand is.
pub fn verdict(head: Head) -> Verdict {
    match (head.named, head.status) {
        (Named::Another, _) => Verdict::Spoilt,
        // one answer too many to the request before, for all that is known
        (Named::Nobody, _) if head.kept => Verdict::Spoilt,
        (_, 421) => Verdict::Misplaced,
        _ if head.not_run => Verdict::Full,
        // a worker repeats the id in its answers; what lacks it belongs to no request
        (Named::Nobody, _) => Verdict::Spoilt,
        (_, 200..=299) if head.sealed && !head.encoded => Verdict::Good,
        // passed on these promise that it never ran, which this worker doesn't say
        (_, 408 | 429 | 503) => Verdict::Spoilt,
        (_, 300..=599) => Verdict::Own,
        _ => Verdict::Spoilt,
    }
}
