//! Requests that a client sends behind each other on one connection, and the order of their answers.

use std::cell::Cell;
use std::rc::Rc;

/// The requests of one connection that were begun.
#[derive(Debug, Default)]
pub struct Pipeline {
    /// How many, in all.
    begun: Cell<u64>,
    /// Whether an answer is being passed on as it comes, and may still break off.
    flows: Cell<bool>,
}

impl Pipeline {
    /// Begins a request whose turn it is: all before it are answered.
    pub fn begin_in_turn(self: &Rc<Self>) -> PipelinePlace {
        self.flows.set(false);
        self.begin_behind()
    }

    /// Begins a request before its turn.
    pub fn begin_behind(self: &Rc<Self>) -> PipelinePlace {
        self.begun.set(self.begun.get() + 1);
        PipelinePlace {
            pipeline: self.clone(),
            number: self.begun.get(),
        }
    }

    /// Whether others may be begun behind those that are: none that would be lost with an answer that breaks
    /// off, and with it the connection.
    pub fn may_begin_behind(&self) -> bool {
        !self.flows.get()
    }
}

/// Where a request stands among those of its connection.
#[derive(Clone, Debug)]
pub struct PipelinePlace {
    pipeline: Rc<Pipeline>,
    number: u64,
}

impl PipelinePlace {
    /// Whether requests behind this one were begun: the end of its connection would lose their answers.
    pub fn is_followed(&self) -> bool {
        self.pipeline.begun.get() > self.number
    }

    /// From now on the answer to this request is passed on as it comes.
    pub fn flows(&self) {
        self.pipeline.flows.set(true);
    }
}
