//! A forager's side of one try at an order: when it may send, what it owes its hives, what its client
//! is told.

use elderpond_consensus::Millis;

use crate::order::{Answer, Claim, Outcome, Owner, Word};

/// What a client is told where its order's own outcome, fresh from the worker, is not what it gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The first's outcome, byte for byte.
    Again(Outcome),
    /// It was run; its answer is not kept any more, or never was here.
    NotKept,
    /// It is at work still.
    AtWork,
    /// Another order has this key.
    Differs,
    /// It may have been run: the operator will tell.
    Unknown,
    /// It was not sent: there is no room for another key, or no majority was reached.
    Refused,
}

impl Reply {
    /// The HTTP status.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::Again(outcome) => outcome.status,
            Self::NotKept | Self::AtWork | Self::Unknown => 409,
            Self::Differs => 422,
            Self::Refused => 503,
        }
    }

    /// Whether the client may come back with the same order: it then has a `Retry-After`.
    #[must_use]
    pub fn may_come_back(&self) -> bool {
        matches!(self, Self::AtWork | Self::Refused)
    }
}

/// What the worker made of an order that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ran {
    /// It answered.
    Answered(Outcome),
    /// It said that it did not run it, or no byte of it left the forager.
    Not,
    /// It may have.
    Unknown,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Tell the hive that is followed now; the answer goes to [`Errand::answered`].
    Say(Word),
    /// Send the order to a worker, if [`Errand::may_send`] still says so.
    Send,
    /// Tell the client.
    Reply(Reply),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    Asking,
    Granted,
    Sent,
    /// The word is said until a hive has it.
    Telling(Word),
    Over,
}

/// One try. Its owner is used for nothing else, ever.
#[derive(Clone, Debug)]
pub struct Errand {
    claim: Claim,
    begun: Millis,
    again: Millis,
    every: Millis,
    stage: Stage,
}

impl Errand {
    /// Begins at `now` (ms of a steady clock); what is not answered is said again `every` so often (ms).
    #[must_use]
    pub fn begin(now: Millis, claim: Claim, every: Millis) -> (Self, Step) {
        let said = Step::Say(Word::Claim(claim.clone()));
        let errand = Self {
            claim,
            begun: now,
            again: now + every,
            every,
            stage: Stage::Asking,
        };
        (errand, said)
    }

    /// Whose try it is.
    #[must_use]
    pub fn owner(&self) -> Owner {
        self.claim.owner
    }

    /// Whether nothing is owed any more.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.stage == Stage::Over
    }

    fn tell(&mut self, now: Millis, word: Word) -> Step {
        self.stage = Stage::Telling(word.clone());
        self.again = now + self.every;
        Step::Say(word)
    }

    /// What a hive answered to a word of this errand, however late.
    pub fn answered(&mut self, now: Millis, word: &Word, answer: Answer) -> Vec<Step> {
        match (&self.stage, word) {
            (Stage::Asking, Word::Claim(_)) => self.claimed(now, answer),
            (Stage::Telling(telling), word) if telling == word => {
                if matches!(answer, Answer::Recorded | Answer::Overtaken) {
                    self.stage = Stage::Over;
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn claimed(&mut self, now: Millis, answer: Answer) -> Vec<Step> {
        let reply = match answer {
            Answer::Granted => {
                self.stage = Stage::Granted;
                return vec![Step::Send];
            }
            Answer::Known(outcome) if outcome.body.is_some() => Reply::Again(outcome),
            Answer::Known(_) => Reply::NotKept,
            Answer::AtWork => Reply::AtWork,
            Answer::Differs => Reply::Differs,
            Answer::Unknown => Reply::Unknown,
            _ => Reply::Refused,
        };
        // Where a majority has not spoken, the claim may be held by some and come to count yet.
        if matches!(reply, Reply::AtWork | Reply::Refused) {
            let owed = self.tell(now, Word::NotRun(self.owner()));
            return vec![Step::Reply(reply), owed];
        }
        self.stage = Stage::Over;
        vec![Step::Reply(reply)]
    }

    /// To be asked right before the first byte goes to a worker, once: no after the claim's patience, since
    /// others may think it lost by then. The steps are to be done either way.
    pub fn may_send(&mut self, now: Millis) -> (bool, Vec<Step>) {
        if self.stage != Stage::Granted {
            return (false, Vec::new());
        }
        if now >= self.begun + self.claim.patience {
            let owed = self.tell(now, Word::NotRun(self.owner()));
            return (false, vec![Step::Reply(Reply::Refused), owed]);
        }
        self.stage = Stage::Sent;
        (true, Vec::new())
    }

    /// The worker is through with it, or the way to it is. Nothing to do if it was never sent.
    pub fn ran(&mut self, now: Millis, ran: Ran) -> Vec<Step> {
        let owner = self.owner();
        match (&self.stage, ran) {
            (Stage::Sent, Ran::Answered(outcome)) => {
                vec![self.tell(now, Word::Done(owner, outcome))]
            }
            (Stage::Sent, Ran::Not) => vec![self.tell(now, Word::NotRun(owner))],
            (Stage::Sent, Ran::Unknown) => vec![self.tell(now, Word::Lost(owner))],
            // An answer after all.
            (Stage::Telling(Word::Lost(_)) | Stage::Over, Ran::Answered(outcome)) => {
                vec![self.tell(now, Word::Done(owner, outcome))]
            }
            _ => Vec::new(),
        }
    }

    /// The client waits no longer, or is gone. A claim is given up; what was sent goes on.
    pub fn give_up(&mut self, now: Millis) -> Vec<Step> {
        match self.stage {
            Stage::Asking | Stage::Granted => vec![self.tell(now, Word::NotRun(self.owner()))],
            _ => Vec::new(),
        }
    }

    /// Time passed: what is not answered is said again, by then perhaps to another hive.
    pub fn tick(&mut self, now: Millis) -> Option<Step> {
        if now < self.again {
            return None;
        }
        self.again = now + self.every;
        match &self.stage {
            Stage::Asking => Some(Step::Say(Word::Claim(self.claim.clone()))),
            Stage::Telling(word) => Some(Step::Say(word.clone())),
            _ => None,
        }
    }
}
