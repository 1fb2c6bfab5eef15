//! What each peer says and is told, as plain values: no socket, no clock, no state.

pub mod collector;
pub mod discovery;
pub mod lines;
pub mod probe;
pub mod relay;

use std::collections::BTreeMap;

use elderpond::interface::LoadField;
use serde::Deserialize;

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
    /// Not a JSON object.
    #[error("not an object")]
    NotObject,
    /// A figure that measures nothing.
    #[error("{0} is negative or too large")]
    Figure(&'static str),
}

/// Reads a JSON object. What is read into a record could be an array as well, by the order of the
/// record's fields; no peer means that.
fn object<'a, T: Deserialize<'a>>(text: &'a [u8]) -> Result<T, Malformed> {
    if text.trim_ascii_start().first() != Some(&b'{') {
        return Err(Malformed::NotObject);
    }
    Ok(serde_json::from_slice(text)?)
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

/// Values of a load report by name, put in the order of the settings; none where nothing is known.
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
    if named.is_empty() {
        return Ok(Vec::new());
    }
    let value = |place| named.get(&place).copied().unwrap_or(0.0);
    Ok((0..order.len()).map(value).collect())
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
    }
}
