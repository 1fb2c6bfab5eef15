//! The five rules, checked against the world and not against what a manager says.

use serde::Serialize;

use crate::chronicle::Chronicle;
use crate::time::{Time, ms};

/// The rules, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// No joined proxy without a worker while a warm one is listed ready.
    NobodyLeftWithout,
    /// No effect twice.
    NoEffectTwice,
    /// Drains are kept within the grace.
    DrainsKept,
    /// No cold worker pushed over.
    NoColdWorkerPushedOver,
    /// The channel's queue, and its pace of messages, are bounded.
    QueueBounded,
}

/// All rules.
pub const RULES: [Rule; 5] = [
    Rule::NobodyLeftWithout,
    Rule::NoEffectTwice,
    Rule::DrainsKept,
    Rule::NoColdWorkerPushedOver,
    Rule::QueueBounded,
];

impl Rule {
    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::NobodyLeftWithout => "nobody_left_without",
            Self::NoEffectTwice => "no_effect_twice",
            Self::DrainsKept => "drains_kept",
            Self::NoColdWorkerPushedOver => "no_cold_worker_pushed_over",
            Self::QueueBounded => "queue_bounded",
        }
    }
}

/// Who a breach is about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Parties {
    /// The manager in charge.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub manager: Option<usize>,
    /// The proxy.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub proxy: Option<usize>,
    /// The worker.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub worker: Option<usize>,
}

impl Parties {
    /// A manager alone.
    pub fn manager(manager: usize) -> Self {
        Self {
            manager: Some(manager),
            ..Self::default()
        }
    }

    /// A proxy alone.
    pub fn proxy(proxy: usize) -> Self {
        Self {
            proxy: Some(proxy),
            ..Self::default()
        }
    }

    /// A worker alone.
    pub fn worker(worker: usize) -> Self {
        Self {
            worker: Some(worker),
            ..Self::default()
        }
    }
}

/// The first moment at which a rule was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    /// When, in milliseconds.
    pub at_ms: f64,
    /// Who.
    pub parties: Parties,
    /// What happened.
    pub what: String,
    /// What led to it, the oldest first.
    pub chain: Vec<String>,
}

/// One rule's outcome.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// Whether it was kept.
    pub kept: bool,
    /// How often it was broken.
    pub breaches: u64,
    /// The first time.
    pub first: Option<Breach>,
}

/// Watches the rules.
#[derive(Default)]
pub struct Watch {
    broken: [Outcome; 5],
}

impl Watch {
    /// Notes a breach. The chain is what the chronicle has about the parties.
    pub fn breach(
        &mut self,
        chronicle: &Chronicle,
        rule: Rule,
        now: Time,
        parties: Parties,
        what: impl FnOnce() -> String,
    ) {
        let outcome = &mut self.broken[rule as usize];
        outcome.breaches += 1;
        if outcome.first.is_none() {
            let (at_ms, what) = (ms(now), what());
            let chain = chronicle.about(now, parties);
            outcome.first = Some(Breach {
                at_ms,
                parties,
                what,
                chain,
            });
        }
    }

    /// How a rule stands.
    pub fn outcome(&self, rule: Rule) -> Outcome {
        let mut outcome = self.broken[rule as usize].clone();
        outcome.kept = outcome.breaches == 0;
        outcome
    }

    /// Rules that were broken.
    pub fn broken(&self) -> Vec<Rule> {
        let broken = |rule: &Rule| self.broken[*rule as usize].breaches > 0;
        RULES.into_iter().filter(broken).collect()
    }
}
