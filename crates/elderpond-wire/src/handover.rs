//! The configuration that the platform hands a manager (its page DEPLOY), as it is written. The
//! manager reads it with more care than this: it names what is wrong.

use super::Malformed;
use crate::discovery::{self, Listing};

/// All that a manager is told before it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Handover<'a> {
    /// Its name, the same after a restart.
    pub name: &'a str,
    /// Address and port that it listens on.
    pub listen: &'a str,
    /// Address and port of discovery.
    pub discovery: &'a str,
    /// Address and port of the relay.
    pub relay: &'a str,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// File descriptors that it may hold.
    pub sockets: usize,
    /// Memory that it may use, in MB.
    pub memory_mb: usize,
    /// Cores that it may use.
    pub cores: f64,
    /// The list as this manager last had it.
    pub known: Option<&'a Listing>,
    /// The settings, as JSON.
    pub settings: &'a str,
}

/// Variables of the environment that name the same things.
pub const NAME: &str = "RELAY_NAME";
/// Address and port that a manager listens on.
pub const LISTEN: &str = "RELAY_LISTEN";
/// Address and port of discovery.
pub const DISCOVERY: &str = "RELAY_DISCOVERY";
/// Path of the configuration.
pub const CONFIG: &str = "RELAY_CONFIG";

/// Writes a configuration.
///
/// # Errors
/// Settings that are not JSON.
pub fn encode(handover: &Handover) -> Result<String, Malformed> {
    let settings: serde_json::Value = serde_json::from_str(handover.settings)?;
    let mut text = serde_json::json!({
        "name": handover.name,
        "listen": handover.listen,
        "discovery": handover.discovery,
        "hub": {"address": handover.relay},
        "seed": format!("{:016x}", handover.seed),
        "limits": {"cores": handover.cores, "memory_mb": handover.memory_mb,
            "sockets": handover.sockets},
        "settings": settings,
    });
    if let Some(known) = handover.known {
        text["known"] = serde_json::from_str(&discovery::encode(known))?;
    }
    Ok(text.to_string())
}
