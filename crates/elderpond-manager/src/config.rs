//! The configuration that the platform hands over.

use std::net::SocketAddr;
use std::path::PathBuf;

use elderpond::interface::Settings;
use elderpond_settings::Labels;
use serde::Deserialize;
use serde_json::value::RawValue;

use elderpond_wire::discovery::{self, Listing};

/// The variable that names the file.
pub const VARIABLE: &str = "RELAY_CONFIG";

/// Why there is no configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Nobody said where it is.
    #[error("no configuration: give --config or set {VARIABLE}")]
    Unnamed,
    /// The file cannot be read.
    #[error("cannot read {path}: {cause}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: std::io::Error,
    },
    /// The file is not a configuration.
    #[error("{path}: {cause}")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: Fault,
    },
}

/// What is wrong with a configuration.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// Not JSON, a missing key, or a value of the wrong kind.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A key that holds no address.
    #[error("{key}: {text:?} is not an address and port")]
    Address {
        /// The key.
        key: &'static str,
        /// What it holds.
        text: String,
    },
    /// The seed.
    #[error("seed: {0:?} is not a hexadecimal number of 64 bits")]
    Seed(String),
    /// The settings.
    #[error("settings: {0}")]
    Settings(#[from] elderpond_settings::SettingsError),
    /// A figure of the settings that no manager can run by.
    #[error("settings: {0} is not a positive number")]
    Figure(&'static str),
    /// The list as last known.
    #[error("known: {0}")]
    Known(#[from] elderpond_wire::Malformed),
}

/// All that a manager is told before it starts.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where the relay answers.
    pub relay: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// File descriptors that it may hold.
    pub sockets: usize,
    /// The list as it was last known.
    pub known: Option<Listing>,
    /// The settings.
    pub settings: Settings,
    /// What the settings call zones and classes.
    pub labels: Labels,
}

impl Config {
    /// Keys that differ in `new` and that a running manager does not follow. The seed and the list
    /// as last known matter to a start only.
    pub fn needs_restart(&self, new: &Self) -> Vec<&'static str> {
        let differ = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("limits.sockets", self.sockets != new.sockets),
            (
                "settings",
                self.settings != new.settings || self.labels != new.labels,
            ),
        ];
        let differ = differ.into_iter().filter(|(_, differs)| *differs);
        differ.map(|(key, _)| key).collect()
    }
}

#[derive(Deserialize)]
struct File<'a> {
    #[serde(default)]
    name: String,
    listen: String,
    discovery: String,
    seed: String,
    hub: Hub,
    #[serde(default)]
    limits: Limits,
    #[serde(borrow, default)]
    known: Option<&'a RawValue>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

#[derive(Deserialize)]
struct Hub {
    address: String,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        // The least that the platform gives.
        Self { sockets: 1024 }
    }
}

/// Reads the file at `path`, or at the place that [`VARIABLE`] names.
pub fn load(path: Option<PathBuf>) -> Result<Config, ConfigError> {
    let path = path.or_else(|| std::env::var_os(VARIABLE).map(PathBuf::from));
    let path = path.ok_or(ConfigError::Unnamed)?;
    let text = std::fs::read(&path);
    let text = text.map_err(|cause| ConfigError::Unreadable {
        path: path.clone(),
        cause,
    })?;
    parse(&text).map_err(|cause| ConfigError::Malformed { path, cause })
}

/// Reads a configuration; keys it does not know are skipped.
pub fn parse(text: &[u8]) -> Result<Config, Fault> {
    let file: File = serde_json::from_slice(text)?;
    let settings = elderpond_settings::parse(file.settings.get().as_bytes())?;
    let labels = elderpond_settings::labels(file.settings.get().as_bytes())?;
    if !(settings.tick_ms.is_finite() && settings.tick_ms >= 0.0) {
        return Err(Fault::Figure("tick_ms"));
    }
    let known = file.known.filter(|known| known.get() != "null");
    Ok(Config {
        listen: address("listen", file.listen)?,
        discovery: address("discovery", file.discovery)?,
        relay: address("hub.address", file.hub.address)?,
        seed: u64::from_str_radix(&file.seed, 16).map_err(|_| Fault::Seed(file.seed))?,
        known: known
            .map(|known| discovery::decode(known.get().as_bytes()))
            .transpose()?,
        sockets: file.limits.sockets,
        name: file.name,
        settings,
        labels,
    })
}

fn address(key: &'static str, text: String) -> Result<SocketAddr, Fault> {
    text.parse().map_err(|_| Fault::Address { key, text })
}

#[cfg(test)]
mod tests {
    use elderpond_settings::Label;
    use elderpond_wire::handover::{self, Handover};

    use super::*;

    #[test]
    fn what_the_platform_hands_over_is_read_as_it_was_meant() {
        let settings = Settings {
            tick_ms: 2.0,
            proxies: 8,
            ..Settings::default()
        };
        let zones = vec!["a".to_owned()];
        let classes: Vec<Label> = Vec::new();
        let labels = Labels { zones, classes };
        let known = Listing {
            version: 41,
            whole: true,
            entries: Vec::new(),
            dropped: 0,
        };
        let text = handover::encode(&Handover {
            name: "n3",
            listen: "127.0.0.1:1",
            discovery: "127.0.0.1:2",
            relay: "127.0.0.1:3",
            seed: 0x8c1f_30d2_7a5b_e964,
            sockets: 512,
            memory_mb: 32,
            cores: 0.1,
            known: Some(&known),
            settings: &elderpond_settings::write(&settings, &labels),
        });
        let config = parse(text.unwrap().as_bytes()).unwrap();
        assert_eq!((&*config.name, config.seed), ("n3", 0x8c1f_30d2_7a5b_e964));
        let places = [config.listen, config.discovery, config.relay].map(|place| place.port());
        assert_eq!((places, config.sockets), ([1, 2, 3], 512));
        assert_eq!((config.known, config.settings), (Some(known), settings));
        assert_eq!(config.labels, labels);
    }
}
