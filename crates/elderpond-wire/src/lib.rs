//! The platform's protocol (its page PROTOCOL), both directions: what each peer says and is told, as
//! plain values. No socket, no clock, no state.
//!
//! A manager uses the half that reads what peers say and writes orders; whoever plays the peers, as
//! the emulator does, uses the other half. What one half writes the other reads again unchanged.

pub mod collector;
pub mod discovery;
pub mod handover;
pub mod lines;
pub mod probe;
pub mod relay;

use std::collections::BTreeMap;

use elderpond::interface::{LoadField, WorkerId};
use serde::Deserialize;
use serde::de::IgnoredAny;

/// No span or mean time is longer than a day.
const LONGEST_MS: f64 = 86_400_000.0;
/// No count, rate or load value is larger: beyond it a figure is a fault, not a measurement.
const LARGEST: f64 = 1e9;

/// Why a message is not used.
#[derive(Debug, thiserror::Error)]
pub enum Malformed {
    /// Not JSON, a missing field, or a value of the wrong kind.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// Not JSON at all: the framing of its stream is lost.
    #[error("not JSON")]
    NotJson,
    /// Not a JSON object.
    #[error("not an object")]
    NotObject,
    /// A figure that measures nothing.
    #[error("{0} is missing, negative or too large")]
    Figure(&'static str),
    /// A load report without all of its values.
    #[error("load lacks a value")]
    Load,
}

/// What ids and bits stand for, as the platform names it.
pub trait Naming {
    /// Name of a worker; none if it is not known.
    fn worker(&self, id: WorkerId) -> Option<&str>;
    /// Names of the classes whose bits are set; none where that means all of them.
    fn classes(&self, bits: u16) -> Option<Vec<&str>>;
}

/// What names stand for: [`Naming`] the other way about.
pub trait Numbering {
    /// Id of a worker that was ever listed.
    fn worker_id(&self, name: &str) -> Option<WorkerId>;
    /// Index of a class.
    fn class_index(&self, name: &str) -> Option<usize>;
}

/// Reads a JSON object. What is read into a record could be an array as well, by the order of the
/// record's fields; no peer means that.
fn object<'a, T: Deserialize<'a>>(text: &'a [u8]) -> Result<T, Malformed> {
    if text.trim_ascii_start().first() != Some(&b'{') {
        return Err(Malformed::NotObject);
    }
    Ok(serde_json::from_slice(text)?)
}

/// Whether a line is JSON at all. One that is not shows that its stream has lost its framing; one
/// that is and says nothing useful is merely spoilt.
fn is_json(line: &[u8]) -> bool {
    std::str::from_utf8(line).is_ok_and(|text| serde_json::from_str::<IgnoredAny>(text).is_ok())
}

/// Passes a figure that can be one.
fn figure(name: &'static str, value: f64, most: f64) -> Result<f64, Malformed> {
    if (0.0..=most).contains(&value) {
        Ok(value)
    } else {
        Err(Malformed::Figure(name))
    }
}

/// What the settings call a value of a load report; workers and collectors have other names.
fn settings_name(name: &str) -> &str {
    match name {
        "inflight" => "active",
        "queue" => "waiting",
        "util" => "cpu",
        "latency_ms" => "avg_ms",
        "qps" | "rate" => "rps",
        "eps" => "err_rps",
        name => name,
    }
}

/// What workers and collectors call a value of a load report; none for a value without a name.
pub fn load_name(field: LoadField) -> Option<&'static str> {
    Some(match field {
        LoadField::Active => "inflight",
        LoadField::Waiting => "queue",
        LoadField::Cpu => "util",
        LoadField::AverageMs => "latency_ms",
        LoadField::Rate => "qps",
        LoadField::ErrorRate => "eps",
        LoadField::Other => return None,
    })
}

/// The values of a load report with their names, in the order of the settings.
fn named<'a>(
    load: &'a [f64],
    order: &'a [LoadField],
) -> impl Iterator<Item = (&'static str, f64)> + 'a {
    let pairs = order.iter().zip(load);
    pairs.filter_map(|(field, value)| Some((load_name(*field)?, *value)))
}

/// Values of a load report by name, put in the order of the settings; none where nothing is known.
/// A report has all of them or is spoilt: what is missing would pass for 0, an idle worker.
fn in_order<'a>(
    values: impl Iterator<Item = (&'a str, f64)>,
    order: &[LoadField],
) -> Result<Vec<f64>, Malformed> {
    let mut named = BTreeMap::new();
    for (name, value) in values {
        let field = elderpond_settings::load_field(settings_name(name));
        if let Some(place) = order.iter().position(|wanted| *wanted == field) {
            named.insert(place, figure("load", value, LARGEST)?);
        }
    }
    if !named.is_empty() && (0..order.len()).any(|place| !named.contains_key(&place)) {
        return Err(Malformed::Load);
    }
    Ok(named.into_values().collect())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn load_is_known_by_the_names_of_the_peers() {
        use LoadField::{Active, AverageMs, Cpu, ErrorRate, Rate, Waiting};
        let order = [Active, Waiting, Cpu, AverageMs, Rate, ErrorRate];
        let names = [
            "eps",
            "qps",
            "latency_ms",
            "util",
            "queue",
            "inflight",
            "weather",
        ];
        let values = names.into_iter().zip((1..).map(f64::from));
        assert_eq!(
            in_order(values, &order).unwrap(),
            [6.0, 5.0, 4.0, 3.0, 2.0, 1.0]
        );
        let none = [("weather", 1.0)].into_iter();
        assert!(in_order(none, &order).unwrap().is_empty());
        let some = [("util", 1.0), ("qps", 1.0)].into_iter();
        assert!(in_order(some, &order).is_err());
    }

    #[test]
    fn spoilt_lines_are_json_and_lost_framing_is_not() {
        for line in ["{}", "[1,2]", "{\"a\":1e999}", " {\"b\":[null]} \r"] {
            assert!(is_json(line.as_bytes()), "{line}");
        }
        for line in [
            &b"hello"[..],
            b"{\"a\":",
            b"{\"a\x01\":1}",
            b"{\"a\":\"\xff\"}",
            b"GET /",
        ] {
            assert!(!is_json(line), "{line:?}");
        }
    }
}
