//! The worst delays of versions and departures on their way to proxies, as operators are told of them.

use std::net::Ipv4Addr;

use serde::Serialize;

use crate::Millis;

/// Between two lines in the log about the worst delays, in ms.
const REPORT_EVERY: Millis = 10_000;
/// Between two lines about a bound that is nearly spent, in ms.
const WARN_EVERY: Millis = 1_000;

/// What a proxy was late with, as the control node that it follows sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Late {
    /// From a version's coming in force at the control node to the proxy's word that it has it.
    Version,
    /// From a departure's being told to the proxy's word that it has it.
    Departure,
}

/// One delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Delay {
    /// Its length, in ms.
    pub delay_ms: Millis,
    /// The proxy's machine.
    pub proxy: Ipv4Addr,
}

/// The worst delays since the last report, and of all time.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Worst {
    lately: Option<Delay>,
    ever: Option<Delay>,
}

impl Worst {
    fn note(&mut self, delay: Delay) {
        for worst in [&mut self.lately, &mut self.ever] {
            if worst.is_none_or(|worst| worst.delay_ms < delay.delay_ms) {
                *worst = Some(delay);
            }
        }
    }
}

/// Keeps the worst delays, and says when a bound of the rules is nearly spent.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Lag {
    versions: Worst,
    departures: Worst,
    /// What half of the bounds is, in ms.
    #[serde(skip)]
    nearly: (Millis, Millis),
    #[serde(skip)]
    report_at: Millis,
    #[serde(skip)]
    warn_at: Millis,
}

impl Lag {
    /// For versions that are to be in force, and departures that are to be known, within these bounds, in ms.
    #[must_use]
    pub fn new(now: Millis, apply: Millis, drain: Millis) -> Self {
        Self {
            versions: Worst::default(),
            departures: Worst::default(),
            nearly: (apply / 2, drain / 2),
            report_at: now + REPORT_EVERY,
            warn_at: now,
        }
    }

    /// Notes a delay; a line for the log, if half of the bound is spent.
    pub fn note(&mut self, now: Millis, late: Late, delay: Delay) -> Option<String> {
        let (worst, nearly) = match late {
            Late::Version => (&mut self.versions, self.nearly.0),
            Late::Departure => (&mut self.departures, self.nearly.1),
        };
        worst.note(delay);
        if delay.delay_ms < nearly || now < self.warn_at {
            return None;
        }
        self.warn_at = now + WARN_EVERY;
        let Delay { delay_ms, proxy } = delay;
        Some(format!(
            "lag: kind={late:?} proxy={proxy} delay_ms={delay_ms} half_of_bound_ms={nearly}"
        ))
    }

    /// A line with the worst delays since the last one, when that is due and there were any.
    pub fn report(&mut self, now: Millis) -> Option<String> {
        if now < self.report_at {
            return None;
        }
        self.report_at = now + REPORT_EVERY;
        let (versions, departures) = (self.versions.lately.take(), self.departures.lately.take());
        if versions.is_none() && departures.is_none() {
            return None;
        }
        let text = |worst: Option<Delay>| {
            worst.map_or_else(
                || "none".to_owned(),
                |worst| format!("{} ms at {}", worst.delay_ms, worst.proxy),
            )
        };
        Some(format!(
            "worst lag of proxies lately: versions {}, departures {}",
            text(versions),
            text(departures)
        ))
    }
}
