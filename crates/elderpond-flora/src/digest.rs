//! Digests of a configuration's routes and services, the same in every process.

use crate::document::{Cluster, Rule};

/// FNV-1a, 64 bits.
struct Hasher(u64);

impl Hasher {
    fn new(kind: &str) -> Self {
        let mut hasher = Self(0xcbf2_9ce4_8422_2325);
        hasher.text(kind);
        hasher
    }

    fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn text(&mut self, text: &str) {
        self.number(text.len() as u64);
        self.bytes(text.as_bytes());
    }

    fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    fn float(&mut self, number: f64) {
        self.number(number.to_bits());
    }

    /// The digest, mixed so that a sum of digests tells sets apart.
    fn finish(self) -> u64 {
        let mixed = (self.0 ^ self.0 >> 33).wrapping_mul(0xff51_afd7_ed55_8ccd);
        let mixed = (mixed ^ mixed >> 33).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
        mixed ^ mixed >> 33
    }
}

/// The digest of a route of a host, whose name is in small letters.
pub(crate) fn of_route(host: &str, rule: &Rule) -> u64 {
    let mut hasher = Hasher::new("route");
    hasher.text(host);
    hasher.text(&rule.match_condition.path_prefix);
    hasher.text(&rule.name);
    hasher.text(&rule.kind);
    hasher.float(rule.target_latency_s);
    hasher.number(rule.priority.into());
    let action = &rule.route_action;
    hasher.text(action.service.as_deref().unwrap_or_default());
    hasher.number(action.weighted_split.len() as u64);
    for part in &action.weighted_split {
        hasher.text(&part.service);
        hasher.float(part.weight);
    }
    hasher.float(action.timeout_s);
    hasher.number(action.attempts.into());
    hasher.finish()
}

/// The digest of a service.
pub(crate) fn of_service(cluster: &Cluster) -> u64 {
    let mut hasher = Hasher::new("service");
    hasher.text(&cluster.name);
    hasher.text(&cluster.health_check_path);
    hasher.number(cluster.connection_limit.into());
    hasher.finish()
}
