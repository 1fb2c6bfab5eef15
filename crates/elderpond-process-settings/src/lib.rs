//! The settings file of a process of the gateway: reading, checking, following its changes.
//!
//! A process_settings is the basket that a colony is put into: what stands in this file is all that a process
//! is told about its place. Fields that are not known are ignored.

mod tenants;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use serde::Deserialize;
use validator::{Validate, ValidationError};

pub use tenants::Tenants;

/// The variable that names the settings file.
pub const VARIABLE: &str = "ELDERPOND_BOOT";

/// What is wrong with a settings file; each names the file.
#[derive(Debug, thiserror::Error)]
pub enum ProcessSettingsError {
    /// No file was named.
    #[error("no settings file: {VARIABLE} is not set and --settings not given")]
    Unnamed,
    /// It can't be read.
    #[error("{0}: {1}")]
    Unreadable(PathBuf, std::io::Error),
    /// A field is missing or of another kind.
    #[error("{0}: {1}")]
    Mistyped(PathBuf, serde_norway::Error),
    /// A field's value is out of bounds.
    #[error("{0}: {1}")]
    Invalid(PathBuf, String),
    /// The role needs a field that is not there.
    #[error("{0}: {1} is missing, and this role needs it")]
    Missing(PathBuf, &'static str),
}

/// What a process is told. Spans are seconds.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
pub struct ProcessSettings {
    /// The machine's name.
    pub node_name: String,
    /// The machine's address.
    pub ip_address: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// Where the process is called from outside.
    #[serde(default)]
    pub listen_addresses: Listen,
    /// First and last port free for traffic between managers.
    #[validate(custom(function = ports))]
    pub internal_port_range: (u16, u16),
    /// `control` addresses of some hives.
    pub seed_nodes: Vec<SocketAddrV4>,
    /// Whether the whole system starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Whether the machine's loss counts among those to be borne.
    #[serde(default)]
    pub loss_counted: bool,
    /// Where files last; none where there is no disk.
    #[serde(default)]
    pub data_directory: Option<PathBuf>,
    /// Seconds between two beats of a worker.
    #[serde(default = "beat_every")]
    #[validate(range(exclusive_min = 0.0))]
    pub heartbeat_interval_s: f64,
    /// What may be lost at one time.
    #[serde(default)]
    pub tolerated_losses: Losses,
    /// What the machine has.
    #[serde(default)]
    #[validate(nested)]
    pub limits: Limits,
    /// The figures of the rules.
    #[serde(default)]
    #[validate(nested)]
    pub bounds: Bounds,
}

/// Addresses that are called from outside.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Listen {
    /// For clients.
    pub front_http: Option<SocketAddrV4>,
    /// For whoever asks whether clients may be sent.
    pub readiness: Option<SocketAddrV4>,
    /// For workers and operators.
    pub control: Option<SocketAddrV4>,
}

/// What may be lost at one time while all rules hold.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Losses {
    /// Machines whose loss counts.
    pub machines: usize,
}

/// What the machine has.
#[derive(Clone, Copy, Debug, Deserialize, Validate)]
#[serde(rename_all = "kebab-case", default)]
pub struct Limits {
    /// Part of a core.
    #[validate(range(exclusive_min = 0.0))]
    pub cpu_share: f64,
    /// Megabytes of memory.
    #[validate(range(min = 16.0))]
    pub memory_mb: f64,
    /// Descriptors of a process.
    #[validate(range(min = 64))]
    pub file_descriptors: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            cpu_share: 1.0,
            memory_mb: 256.0,
            file_descriptors: 1024,
        }
    }
}

/// The figures of the rules; seconds where the name ends in `_s`.
#[derive(Clone, Copy, Debug, Deserialize, Validate)]
#[serde(rename_all = "kebab-case", default)]
pub struct Bounds {
    /// How far the operator's list of hives lags.
    pub seed_delay_s: f64,
    /// When an ended worker's address may be given to another.
    pub address_reuse_s: f64,
    /// A machine calm for this long counts as in touch.
    #[validate(range(exclusive_min = 0.0))]
    pub contact_window_s: f64,
    /// An order of the operator is acknowledged within this.
    #[validate(range(exclusive_min = 0.0))]
    pub acknowledge_s: f64,
    /// A machine that returns counts as lost for this long.
    pub catch_up_s: f64,
    /// Nothing reaches a leaving worker later than this after the acknowledgement.
    #[validate(range(exclusive_min = 0.0))]
    pub drain_s: f64,
    /// From SIGTERM to SIGKILL.
    #[validate(range(exclusive_min = 0.0))]
    pub grace_period_s: f64,
    /// A version is in force everywhere within this.
    #[validate(range(exclusive_min = 0.0))]
    pub configuration_apply_s: f64,
    /// Arrivals beyond the first, as a part of the requests.
    #[validate(range(min = 0.0))]
    pub retry_budget_ratio: f64,
    /// Over how long they are counted.
    #[validate(range(exclusive_min = 0.0))]
    pub retry_window_s: f64,
    /// Arrivals beyond the first that are free.
    #[validate(range(min = 0.0))]
    pub retry_budget_slack: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            seed_delay_s: 3.0,
            address_reuse_s: 2.0,
            contact_window_s: 3.0,
            acknowledge_s: 5.0,
            catch_up_s: 4.0,
            drain_s: 2.5,
            grace_period_s: 6.0,
            configuration_apply_s: 2.5,
            retry_budget_ratio: 0.1,
            retry_window_s: 10.0,
            retry_budget_slack: 10.0,
        }
    }
}

fn beat_every() -> f64 {
    1.5
}

fn ports(range: &(u16, u16)) -> Result<(), ValidationError> {
    if range.0 == 0 || range.1 < range.0 {
        return Err(ValidationError::new("internal-port-range")
            .with_message("has to be two ports, the second not below the first".into()));
    }
    Ok(())
}

impl ProcessSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// What is wrong, with the file and the field.
    pub fn read(path: &Path) -> Result<Self, ProcessSettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ProcessSettingsError::Unreadable(path.to_owned(), error))?;
        Self::parse(path, &text)
    }

    /// Checks the text of a settings file; `path` is named in errors.
    ///
    /// # Errors
    ///
    /// What is wrong, with the file and the field.
    pub fn parse(path: &Path, text: &str) -> Result<Self, ProcessSettingsError> {
        let process_settings: Self = serde_norway::from_str(text)
            .map_err(|error| ProcessSettingsError::Mistyped(path.to_owned(), error))?;
        process_settings.validate().map_err(|errors| {
            let line = errors.to_string().replace('\n', "; ").replace('_', "-");
            ProcessSettingsError::Invalid(path.to_owned(), line)
        })?;
        Ok(process_settings)
    }

    /// The hives' own addresses among the seeds.
    pub fn seeds(&self) -> Vec<Ipv4Addr> {
        self.seed_nodes.iter().map(|seed| *seed.ip()).collect()
    }

    /// The port on which hives meet each other and foragers.
    pub fn inner_port(&self) -> u16 {
        self.internal_port_range.0
    }
}

/// A settings file that is read again when it changes.
#[derive(Debug)]
pub struct Followed {
    path: PathBuf,
    seen: Option<SystemTime>,
}

impl Followed {
    /// The file named by `given`, or else by the variable; with what it says.
    ///
    /// # Errors
    ///
    /// What is wrong, with the file and the field.
    pub fn open(given: Option<&Path>) -> Result<(Self, ProcessSettings), ProcessSettingsError> {
        let path = match given {
            Some(path) => path.to_owned(),
            None => std::env::var_os(VARIABLE)
                .ok_or(ProcessSettingsError::Unnamed)?
                .into(),
        };
        let process_settings = ProcessSettings::read(&path)?;
        let seen = modified(&path);
        Ok((Self { path, seen }, process_settings))
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// What it says now, if it was written since; `always` reads it whatever its time.
    ///
    /// # Errors
    ///
    /// What is wrong with the new text; the old settings go on.
    pub fn changed(
        &mut self,
        always: bool,
    ) -> Result<Option<ProcessSettings>, ProcessSettingsError> {
        let now = modified(&self.path);
        if now == self.seen && !always {
            return Ok(None);
        }
        self.seen = now;
        ProcessSettings::read(&self.path).map(Some)
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|about| about.modified())
        .ok()
}
