//! A configuration as the operator writes it.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use validator::Validate;

/// The number of a version; written as `r` and the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}

impl FromStr for Version {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let number = text.strip_prefix('r').and_then(|rest| rest.parse().ok());
        let number = number.filter(|number| *number > 0);
        number
            .map(Self)
            .ok_or_else(|| format!("{text:?} is no version: an r and a number above 0, as in r12"))
    }
}

impl Serialize for Version {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Version {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        String::deserialize(from)?
            .parse()
            .map_err(serde::de::Error::custom)
    }
}

/// A whole configuration.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
pub struct Configuration {
    /// Which version this is; the highest prevails.
    pub version_number: Version,
    /// What a client may send, and how long it may take.
    #[serde(default)]
    #[validate(nested)]
    pub limits: Limits,
    /// The routes, by host.
    #[validate(nested)]
    pub listener_list: Vec<Listener>,
    /// The services.
    #[validate(nested)]
    pub cluster_list: Vec<Cluster>,
}

/// Bounds on clients.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(rename_all = "kebab-case", default)]
pub struct Limits {
    /// Bytes of a request's head, at most.
    #[validate(range(min = 1))]
    pub max_header_bytes: usize,
    /// Bytes of a request's body, at most.
    pub max_body_bytes: u64,
    /// Seconds that a head may take from its first byte.
    #[validate(range(exclusive_min = 0.0))]
    pub header_timeout_s: f64,
    /// Seconds that a connection may be idle.
    #[validate(range(exclusive_min = 0.0))]
    pub idle_timeout_s: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            header_timeout_s: 3.0,
            idle_timeout_s: 15.0,
        }
    }
}

/// The routes of a host.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
pub struct Listener {
    /// As clients name it in `Host`.
    #[validate(length(min = 1))]
    pub host: String,
    /// Its routes.
    #[validate(nested)]
    pub rule_set: Vec<Rule>,
}

/// A route.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
pub struct Rule {
    /// Its name.
    pub name: String,
    /// `safe` or `unsafe`.
    pub kind: String,
    /// Seconds within which an answer earns its full worth.
    #[serde(default)]
    pub target_latency_s: f64,
    /// Rank, 0 being highest.
    #[serde(default)]
    pub priority: u32,
    /// Which requests it is for.
    pub match_condition: Match,
    /// What becomes of them.
    #[validate(nested)]
    pub route_action: Act,
}

/// Which requests a route is for.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Match {
    /// What their paths begin with.
    pub path_prefix: String,
}

/// What becomes of a route's requests.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
pub struct Act {
    /// The service, where there is one only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// The services, where they share.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[validate(nested)]
    pub weighted_split: Vec<Split>,
    /// Seconds that a request may be held.
    #[validate(range(exclusive_min = 0.0, max = 600.0))]
    pub timeout_s: f64,
    /// Workers that one try may be sent to, at most.
    #[validate(range(min = 1))]
    pub attempts: u32,
}

impl Act {
    /// The services that requests go to, each with its weight: those of the split that have any, or the only
    /// one.
    pub fn weighted_services(&self) -> Vec<(&str, f64)> {
        let split = self.weighted_split.iter().filter(|part| part.weight > 0.0);
        let split: Vec<_> = split
            .map(|part| (part.service.as_str(), part.weight))
            .collect();
        match &self.service {
            Some(service) if split.is_empty() => vec![(service, 1.0)],
            _ => split,
        }
    }
}

/// A service's share of a route.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
pub struct Split {
    /// Which service.
    pub service: String,
    /// Its share, against the sum of the route's.
    #[validate(range(min = 0.0))]
    pub weight: f64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
pub struct Cluster {
    /// Its name.
    #[validate(length(min = 1))]
    pub name: String,
    /// Where a worker tells of its health.
    #[serde(default)]
    pub health_check_path: String,
    /// Connections that a worker takes from all callers together; 0 for no limit.
    #[serde(default)]
    pub connection_limit: u32,
}
