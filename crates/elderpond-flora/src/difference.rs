//! What differs between two versions of the configuration.

use serde::{Deserialize, Serialize};

use crate::document::{Cluster, Limits, Rule, Version};

/// Names a route: no two of a configuration have the same.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RouteKey {
    /// The host, in small letters.
    pub host: String,
    /// What the paths of its requests begin with.
    pub path_prefix: String,
}

/// A route of a host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostRule {
    /// The host, in small letters.
    pub host: String,
    /// The route.
    pub rule: Rule,
}

/// A version and the digest of its routes and services.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionDigest {
    /// The version.
    pub version: Version,
    /// The sum of the digests of all routes and services.
    pub digest: u64,
}

/// What leads from one version to a later one.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Difference {
    /// What it can be applied to.
    pub from: VersionDigest,
    /// What comes of it.
    pub to: VersionDigest,
    /// The limits of the later version.
    pub limits: Limits,
    /// Routes that the later version lacks.
    pub removed_routes: Vec<RouteKey>,
    /// Routes that are new in it, or other than before.
    pub routes: Vec<HostRule>,
    /// Services that it lacks.
    pub removed_services: Vec<String>,
    /// Services that are new in it, or other than before.
    pub services: Vec<Cluster>,
}

/// Why a difference can't be used; the whole version can.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DifferenceError {
    /// Not as a difference is written.
    #[error("it can't be read: {0}")]
    Unreadable(String),
    /// It leads from something else.
    #[error("it leads from {from}, and {held} is held, or another content of that number")]
    OtherBase {
        /// The version that it leads from.
        from: Version,
        /// The version that it was to be applied to.
        held: Version,
    },
    /// What would come of it is not the later version.
    #[error("it does not lead to {0}")]
    OtherResult(Version),
}

impl Difference {
    /// As it is sent.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // it holds nothing that JSON can't
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads what [`Self::encode`] wrote.
    ///
    /// # Errors
    ///
    /// It was not.
    pub fn decode(bytes: &[u8]) -> Result<Self, DifferenceError> {
        serde_json::from_slice(bytes)
            .map_err(|error| DifferenceError::Unreadable(error.to_string()))
    }
}
