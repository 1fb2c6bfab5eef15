//! Priorities and weights of service records (RFC 2782) as listed weights.

use std::sync::Arc;

use elderpond::interface::Condition;

use crate::Member;

/// One service record with one of its addresses.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Lower goes first.
    pub priority: u16,
    /// Share within its priority.
    pub weight: u16,
    /// Host name of the target.
    pub target: Arc<str>,
    /// One address of the target, with the record's port.
    pub address: std::net::SocketAddr,
}

/// Part of the smallest other weight that a record of weight 0 gets: "a very small chance of being
/// selected" (RFC 2782) in the presence of others.
const ZERO_PART: f64 = 0.1;

/// The members that records make: those of the first priority that has any, with weights in units of
/// `unit`. Records of weight 0 count as 1 where all are, and nearly nothing beside others. A target
/// with several addresses shares its weight out among them.
pub fn listed(records: &[Service], unit: f64, zone: &Arc<str>) -> Vec<Member> {
    let Some(first) = records.iter().map(|record| record.priority).min() else {
        return Vec::new();
    };
    let group: Vec<&Service> = records
        .iter()
        .filter(|record| record.priority == first)
        .collect();
    let above = group
        .iter()
        .map(|record| record.weight)
        .filter(|weight| *weight > 0)
        .min();
    let members = group.iter().map(|record| {
        let same = |other: &&&Service| other.target.eq_ignore_ascii_case(&record.target);
        let addresses = group.iter().filter(same).count().max(1) as f64;
        let weight = match above {
            None => 1.0,
            Some(least) if record.weight == 0 => f64::from(least) / unit * ZERO_PART,
            Some(_) => f64::from(record.weight) / unit,
        };
        Member {
            name: format!(
                "{}:{}",
                record.target.trim_end_matches('.'),
                record.address.port()
            )
            .into(),
            address: Some(record.address),
            zone: zone.clone(),
            weight: weight / addresses,
            started: None,
            condition: Condition::Ready,
        }
    });
    members.collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record(priority: u16, weight: u16, host: u8) -> Service {
        let target = format!("runner{host}.example.org.").into();
        let address = std::net::SocketAddr::from(([10, 0, 0, host], 8080));
        Service {
            priority,
            weight,
            target,
            address,
        }
    }

    fn weights(records: &[Service]) -> Vec<f64> {
        let zone: Arc<str> = "a".into();
        listed(records, 100.0, &zone)
            .iter()
            .map(|member| member.weight)
            .collect()
    }

    #[test]
    fn weights_are_in_units_and_zero_is_nearly_nothing_beside_others() {
        assert_eq!(weights(&[record(1, 100, 1), record(1, 50, 2)]), [1.0, 0.5]);
        assert_eq!(weights(&[record(1, 0, 1), record(1, 0, 2)]), [1.0, 1.0]);
        assert_eq!(weights(&[record(1, 0, 1), record(1, 50, 2)]), [0.05, 0.5]);
        assert!(weights(&[]).is_empty());
    }

    #[test]
    fn the_next_priority_follows_when_a_group_is_gone() {
        let all = [record(20, 100, 1), record(10, 100, 2), record(10, 100, 3)];
        let names = |records: &[Service]| -> Vec<String> {
            listed(records, 100.0, &"".into())
                .iter()
                .map(|member| member.name.to_string())
                .collect()
        };
        assert_eq!(
            names(&all),
            ["runner2.example.org:8080", "runner3.example.org:8080"]
        );
        assert_eq!(names(&all[..1]), ["runner1.example.org:8080"]);
    }

    #[test]
    fn a_target_with_two_addresses_shares_its_weight_out() {
        let mut second = record(1, 100, 1);
        second.address = "10.0.0.9:8080".parse().unwrap();
        assert_eq!(
            weights(&[record(1, 100, 1), second, record(1, 100, 2)]),
            [0.5, 0.5, 1.0]
        );
    }
}
