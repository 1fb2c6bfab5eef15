//! A worker's answer to a probe.

use elderpond::interface::LoadField;

use super::{Malformed, in_order};

/// Path that answers with the load report, where the deployment has them.
pub const STATS: &str = "/stats";

/// Reads a load report in text form, `TEXT name=value, name=value`; empty if there is none.
pub fn decode(body: &[u8], order: &[LoadField]) -> Result<Vec<f64>, Malformed> {
    let text = String::from_utf8_lossy(body);
    let Some(values) = text.trim().strip_prefix("TEXT ") else {
        return Ok(Vec::new());
    };
    let pairs = values.split(',').filter_map(|pair| {
        let (name, value) = pair.split_once('=')?;
        Some((name.trim(), value.trim().parse().unwrap_or(f64::NAN)))
    });
    in_order(pairs, order)
}

#[cfg(test)]
mod tests {
    use super::*;

    const ORDER: [LoadField; 2] = [LoadField::Cpu, LoadField::Waiting];

    #[test]
    fn reads_a_report_in_the_order_of_the_settings() {
        let body = b"TEXT inflight=7, queue=2, util=0.61\n";
        assert_eq!(decode(body, &ORDER).unwrap(), [0.61, 2.0]);
        assert!(decode(b"", &ORDER).unwrap().is_empty());
        assert!(decode(b"\xff\xfe", &ORDER).unwrap().is_empty());
    }

    #[test]
    fn turns_away_figures_that_measure_nothing() {
        for body in [
            "TEXT util=NaN",
            "TEXT util=-1",
            "TEXT util=inf",
            "TEXT util=x",
        ] {
            assert!(decode(body.as_bytes(), &ORDER).is_err(), "{body}");
        }
    }
}
