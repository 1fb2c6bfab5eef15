//! How often and how patiently hives are probed.

use std::fmt;

/// A time, or a span, in milliseconds on a steady clock.
pub type Millis = u64;

/// How often and how patiently hives are probed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Span between two rounds of probes, in ms.
    pub probe_every: Millis,
    /// Members probed in a round.
    pub fan: usize,
    /// An answer is due within this span, in ms; a second opinion within three of it.
    pub answer_within: Millis,
    /// How long a member is suspected before it is down, in ms.
    pub suspicion: Millis,
    /// How long a member that is down or has left is remembered, in ms.
    pub forget: Millis,
    /// Members asked for a second opinion.
    pub helpers: usize,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            probe_every: 200,
            fan: 2,
            answer_within: 150,
            suspicion: 900,
            forget: 60_000,
            helpers: 2,
        }
    }
}

/// What is wrong with a [`Pace`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceError {
    /// A span or a count that must be above 0 is 0.
    Zero(&'static str),
    /// More than 8 members a round, or more than 8 helpers.
    TooMany(&'static str),
    /// A suspected member could not be probed and refute in the span of suspicion.
    Hasty,
    /// Members would be forgotten before others have heard that they are down.
    Forgetful,
}

impl fmt::Display for PaceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Zero(name) => write!(f, "{name} must be above 0"),
            Self::TooMany(name) => write!(f, "{name} must be 8 at most"),
            Self::Hasty => write!(f, "suspicion must be at least twice answer_within"),
            Self::Forgetful => write!(f, "forget must be at least ten times suspicion"),
        }
    }
}

impl std::error::Error for PaceError {}

impl Pace {
    /// The pace itself if it can work.
    ///
    /// # Errors
    /// Says what is wrong with it.
    pub fn checked(self) -> Result<Self, PaceError> {
        let spans = [
            ("probe_every", self.probe_every),
            ("answer_within", self.answer_within),
            ("suspicion", self.suspicion),
        ];
        if let Some((name, _)) = spans.iter().find(|(_, span)| *span == 0) {
            return Err(PaceError::Zero(name));
        }
        if self.fan == 0 {
            return Err(PaceError::Zero("fan"));
        }
        let counts = [("fan", self.fan), ("helpers", self.helpers)];
        if let Some((name, _)) = counts.iter().find(|(_, count)| *count > 8) {
            return Err(PaceError::TooMany(name));
        }
        if self.suspicion < self.answer_within.saturating_mul(2) {
            return Err(PaceError::Hasty);
        }
        if self.forget < self.suspicion.saturating_mul(10) {
            return Err(PaceError::Forgetful);
        }
        Ok(self)
    }
}
