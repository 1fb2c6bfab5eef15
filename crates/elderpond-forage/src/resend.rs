//! What may be done with a request, by what was sent of it and what was met.
//!
//! The one rule: a request that may run once only, and of which any byte may have reached a worker, is
//! never sent again and never answered by a promise (408, 421, 429, 503), unless that worker itself said
//! that it was not run.

use elderpond_flora::Kind;

use crate::{End, Next};

/// How much of a request may have left this process on the connection at hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Sent {
    /// Nothing; and nothing will, as the connection is closed or was not used.
    Nothing,
    /// Nothing: the connection is being made.
    Connecting,
    /// A part of its head.
    HeadPartly,
    /// Its head, and nothing of its body.
    HeadWhole,
    /// Its head and a part of its body.
    BodyPartly,
    /// All of it.
    All,
}

impl Sent {
    /// Every one.
    pub const ALL: [Self; 6] = [
        Self::Nothing,
        Self::Connecting,
        Self::HeadPartly,
        Self::HeadWhole,
        Self::BodyPartly,
        Self::All,
    ];
}

/// What was met while an answer was due. An answer is an early one where not all was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Nothing so far.
    Silence,
    /// An interim answer (1xx).
    Interim,
    /// The connection was reset.
    Reset,
    /// The worker closed the connection, or its half of it.
    Closed,
    /// A connection that was kept from an earlier request ended before a byte of an answer came.
    IdleRace,
    /// A whole success of this request.
    Success,
    /// The worker's own failure, or a refusal for good, with this request's id.
    Failure {
        /// Its status.
        status: u16,
    },
    /// `X-Request-Not-Run`: the worker turned it away.
    NotRun,
    /// 421: another life has the address, and turned it away.
    Misdirected,
    /// An answer that is not this request's: of another id, of none, or one that nobody can judge.
    Foreign,
    /// Bytes that are no answer, or an answer that broke off.
    Spoilt,
    /// The time of the request is over.
    Deadline,
    /// The client went away.
    ClientGone,
    /// This process was told to end, in order.
    Terminated,
}

impl Heard {
    /// Every one; of failures one that a safe request may be spared, and one that it may not.
    pub const ALL: [Self; 15] = [
        Self::Silence,
        Self::Interim,
        Self::Reset,
        Self::Closed,
        Self::IdleRace,
        Self::Success,
        Self::Failure { status: 500 },
        Self::Failure { status: 404 },
        Self::NotRun,
        Self::Misdirected,
        Self::Foreign,
        Self::Spoilt,
        Self::Deadline,
        Self::ClientGone,
        Self::Terminated,
    ];
}

/// How a try has ended; none where it goes on.
pub fn end_of(sent: Sent, heard: Heard) -> Option<End> {
    Some(match (sent, heard) {
        // a worker may be at work on it, or the connection may yet come up
        (_, Heard::Silence | Heard::Interim | Heard::Terminated) => return None,
        // where it is taken back at all: see `after_client_left`
        (_, Heard::ClientGone) => End::Abandoned,
        // an answer to nothing is nobody's
        (
            Sent::Nothing | Sent::Connecting,
            Heard::Reset
            | Heard::Closed
            | Heard::IdleRace
            | Heard::Success
            | Heard::Failure { .. }
            | Heard::NotRun
            | Heard::Misdirected
            | Heard::Foreign
            | Heard::Spoilt
            | Heard::Deadline,
        ) => End::Unsent,
        (Sent::HeadPartly | Sent::HeadWhole | Sent::BodyPartly | Sent::All, heard) => match heard {
            Heard::Success => End::Good,
            Heard::Failure { status } => End::Own { status },
            Heard::NotRun => End::Full,
            Heard::Misdirected => End::Misplaced,
            Heard::Reset | Heard::Closed | Heard::IdleRace | Heard::Foreign | Heard::Spoilt => {
                End::Lost
            }
            Heard::Deadline => End::Late,
            Heard::ClientGone => End::Abandoned,
            Heard::Silence | Heard::Interim | Heard::Terminated => return None,
        },
    })
}

/// Whether the connection may carry another request: all of this one was sent, and its own answer came.
pub fn keeps(sent: Sent, heard: Heard) -> bool {
    match heard {
        Heard::Success | Heard::Failure { .. } | Heard::NotRun => sent == Sent::All,
        Heard::Silence
        | Heard::Interim
        | Heard::Reset
        | Heard::Closed
        | Heard::IdleRace
        | Heard::Misdirected
        | Heard::Foreign
        | Heard::Spoilt
        | Heard::Deadline
        | Heard::ClientGone
        | Heard::Terminated => false,
    }
}

/// What is allowed after a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct May {
    /// Whether it may go to another worker.
    pub again: bool,
    /// What is done where it can't, or may not.
    pub or: Next,
}

/// What is allowed after a try that ended so; `run` says whether it may have run, by this try or one before.
pub fn may(kind: Kind, run: bool, end: End) -> May {
    let safe = kind == Kind::Safe;
    match end {
        End::Good => May {
            again: false,
            or: Next::Pass,
        },
        End::Own { status } => May {
            again: safe && status >= 500,
            or: Next::Pass,
        },
        End::Full | End::Misplaced | End::Unsent => May {
            again: safe || !run,
            or: if run { Next::Broken } else { Next::Refuse },
        },
        End::Lost => May {
            again: safe,
            or: Next::Broken,
        },
        End::Late => May {
            again: safe,
            or: Next::Late,
        },
        // nobody is left to be answered
        End::Abandoned => May {
            again: false,
            or: Next::Broken,
        },
    }
}
