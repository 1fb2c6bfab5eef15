//! The life of one order: its states, what may be said of it, and what then becomes of it.

use bytes::Bytes;
use elderpond_consensus::{Digest, Millis};
use serde::{Deserialize, Serialize};

/// One try of one life of a forager: whoever may send an order to a worker, once.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Owner {
    /// Drawn at the forager's start.
    pub forager: u64,
    /// Its try, never used again by that life.
    pub attempt: u64,
}

/// Who wants to send what.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Who.
    pub owner: Owner,
    /// Of the order: method, path and body.
    pub order: Digest,
    /// Whose order it is, for the operator.
    pub tenant: String,
    /// The route it goes by, for the operator.
    pub route: String,
    /// The owner sends nothing and expects no answer later than this after its claim (ms).
    pub patience: Millis,
}

/// What the worker answered.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// The HTTP status; 0 if an operator settled the order as run, and there is no answer to give.
    pub status: u16,
    /// The headers to be given again, in order.
    pub headers: Vec<(String, Bytes)>,
    /// The body; nothing if it is not kept.
    pub body: Option<Bytes>,
    /// The body's length in bytes.
    pub length: u64,
    /// The body's digest.
    pub digest: Digest,
}

impl Outcome {
    /// An answer whose body is kept.
    #[must_use]
    pub fn new(status: u16, headers: Vec<(String, Bytes)>, body: Bytes) -> Self {
        Self {
            status,
            headers,
            length: body.len() as u64,
            digest: Digest::of(&body),
            body: Some(body),
        }
    }

    /// What an operator's word leaves: the order was run, and nobody has the answer.
    #[must_use]
    pub fn ran() -> Self {
        Self {
            body: None,
            ..Self::new(0, Vec::new(), Bytes::new())
        }
    }

    /// Bytes of room that this takes.
    #[must_use]
    pub fn room(&self) -> usize {
        let headers = self.headers.iter();
        let headers = headers.map(|(name, value)| name.len() + value.len());
        self.body.as_ref().map_or(0, Bytes::len) + headers.sum::<usize>()
    }
}

/// What a key's register holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Value {
    /// Its owner may send it, or has.
    Claimed(Claim),
    /// A worker has run it.
    Done(Claim, Outcome),
    /// No worker has run it for this owner, who will not send it.
    NotRun(Owner),
    /// Nobody knows whether a worker has run it.
    Unknown(Claim),
    /// Its time is over: as if it had never been seen.
    Ended,
}

/// What is said of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Word {
    /// May this owner send it?
    Claim(Claim),
    /// Its owner has the worker's answer.
    Done(Owner, Outcome),
    /// Its owner has not sent it and will not, or the worker said that it did not run it.
    NotRun(Owner),
    /// Its owner sent it and has no answer, or is gone.
    Lost(Owner),
    /// The operator knows what became of this owner's try: whether it was run.
    Settle(Owner, bool),
    /// Its outcome was kept for long enough.
    End(Owner),
}

/// What becomes of a word.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// The owner may send it, once.
    Granted,
    /// Another owner is at it.
    AtWork,
    /// It was run, with this outcome.
    Known(Outcome),
    /// Another order has this key.
    Differs,
    /// It may have been run: only the operator can tell.
    Unknown,
    /// This owner was said to have given it up.
    GivenUp,
    /// The word is held by a majority, or was already.
    Recorded,
    /// The word came too late to change anything.
    Overtaken,
    /// There is no room for another key. Nothing was granted.
    Full,
    /// No majority answered in time. The word may yet take effect.
    Unavailable,
}

/// What a word makes of what the register holds: the value to be held next, if it changes, and the answer.
#[must_use]
pub fn turn(word: &Word, now: Option<&Value>) -> (Option<Value>, Answer) {
    match word {
        Word::Claim(claim) => claimed(claim, now),
        Word::Done(owner, outcome) => match now {
            Some(Value::Claimed(claim) | Value::Unknown(claim)) if claim.owner == *owner => (
                Some(Value::Done(claim.clone(), outcome.clone())),
                Answer::Recorded,
            ),
            Some(Value::Done(claim, _)) if claim.owner == *owner => (None, Answer::Recorded),
            _ => (None, Answer::Overtaken),
        },
        Word::NotRun(owner) => match now {
            None | Some(Value::Ended) => (Some(Value::NotRun(*owner)), Answer::Recorded),
            Some(Value::Claimed(claim) | Value::Unknown(claim)) if claim.owner == *owner => {
                (Some(Value::NotRun(*owner)), Answer::Recorded)
            }
            Some(Value::Done(claim, _)) if claim.owner == *owner => (None, Answer::Overtaken),
            _ => (None, Answer::Recorded),
        },
        Word::Lost(owner) => match now {
            Some(Value::Claimed(claim)) if claim.owner == *owner => {
                (Some(Value::Unknown(claim.clone())), Answer::Recorded)
            }
            _ => (None, Answer::Recorded),
        },
        Word::Settle(owner, ran) => match now {
            Some(Value::Unknown(claim)) if claim.owner == *owner => {
                let settled = match ran {
                    true => Value::Done(claim.clone(), Outcome::ran()),
                    false => Value::NotRun(*owner),
                };
                (Some(settled), Answer::Recorded)
            }
            _ => (None, Answer::Overtaken),
        },
        Word::End(owner) => match now {
            Some(Value::Done(claim, _)) if claim.owner == *owner => {
                (Some(Value::Ended), Answer::Recorded)
            }
            Some(Value::NotRun(last)) if last == owner => (Some(Value::Ended), Answer::Recorded),
            _ => (None, Answer::Recorded),
        },
    }
}

fn claimed(claim: &Claim, now: Option<&Value>) -> (Option<Value>, Answer) {
    let held = match now {
        None | Some(Value::Ended) => None,
        Some(Value::NotRun(owner)) if *owner == claim.owner => return (None, Answer::GivenUp),
        Some(Value::NotRun(_)) => None,
        Some(Value::Claimed(held)) if held.owner == claim.owner => return (None, Answer::Granted),
        Some(Value::Claimed(held)) => Some((held, Answer::AtWork)),
        Some(Value::Done(held, outcome)) => Some((held, Answer::Known(outcome.clone()))),
        Some(Value::Unknown(held)) => Some((held, Answer::Unknown)),
    };
    match held {
        None => (Some(Value::Claimed(claim.clone())), Answer::Granted),
        Some((held, _)) if held.order != claim.order => (None, Answer::Differs),
        Some((_, answer)) => (None, answer),
    }
}
