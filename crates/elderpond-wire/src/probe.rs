//! A worker's answer to a probe.

use elderpond::interface::LoadField;

use super::{Malformed, in_order, named};

/// Path that answers with the load report, where the deployment has them.
pub const STATS: &str = "/stats";

/// Reads a load report in text form, `TEXT name=value, name=value`; empty if there is none.
pub fn decode(body: &[u8], order: &[LoadField]) -> Result<Vec<f64>, Malformed> {
    if body.trim_ascii().is_empty() || order.is_empty() {
        return Ok(Vec::new());
    }
    let text = std::str::from_utf8(body).map_err(|_| Malformed::Load)?;
    let values = text.trim().strip_prefix("TEXT ").ok_or(Malformed::Load)?;
    let pairs = values.split(',').map(|pair| {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        (name.trim(), value.trim().parse().unwrap_or(f64::NAN))
    });
    in_order(pairs, order)
}

/// Path that answers without one.
pub const LIVE: &str = "/health/live";

/// Writes a load report in text form; empty if there is none.
pub fn encode(load: &[f64], order: &[LoadField]) -> String {
    let pairs = named(load, order).map(|(name, value)| format!("{name}={value}"));
    let pairs: Vec<String> = pairs.collect();
    match pairs.is_empty() {
        true => String::new(),
        false => format!("TEXT {}", pairs.join(", ")),
    }
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
        // Where the deployment has no load reports, what is there is none.
        assert!(decode(b"fine", &[]).unwrap().is_empty());
    }

    #[test]
    fn what_a_worker_writes_is_what_is_read() {
        for load in [vec![0.61, 2.0], vec![]] {
            assert_eq!(
                decode(encode(&load, &ORDER).as_bytes(), &ORDER).unwrap(),
                load
            );
        }
    }

    #[test]
    fn turns_away_what_is_no_whole_report() {
        for load in [
            "util=NaN",
            "util=-1",
            "util=inf",
            "util=x",
            "util",
            "inflight=1",
        ] {
            let body = format!("TEXT queue=2, {load}");
            assert!(decode(body.as_bytes(), &ORDER).is_err(), "{body}");
        }
        assert!(decode(b"\xff\xfe", &ORDER).is_err());
        assert!(decode(b"fine", &ORDER).is_err());
    }
}
