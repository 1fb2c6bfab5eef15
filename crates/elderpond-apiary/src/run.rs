//! `hive` and `proxy`: the two roles.

use std::path::PathBuf;

use argh::{ArgsInfo, FromArgs};
use elderpond_process_settings::Followed;

use crate::outcome::{Outcome, Told};

/// run a hive: takes workers' beats and the operator's configurations, keeps and spreads them
#[derive(ArgsInfo, FromArgs)]
#[argh(subcommand, name = "hive")]
pub struct Hive {
    /// settings file; without it, the one that ELDERPOND_BOOT names
    #[argh(option)]
    settings: Option<PathBuf>,
}

/// run a proxy: passes clients' requests on to workers
#[derive(ArgsInfo, FromArgs)]
#[argh(subcommand, name = "proxy")]
pub struct Proxy {
    /// settings file; without it, the one that ELDERPOND_BOOT names
    #[argh(option)]
    settings: Option<PathBuf>,
    /// file of tenants; without it, each host is a tenant
    #[argh(option)]
    tenants: Option<PathBuf>,
}

impl Hive {
    /// Runs until told to end.
    pub fn run(self) -> Told {
        let (file, process_settings) = Followed::open(self.settings.as_deref())?;
        elderpond_hive::run(file, process_settings)?;
        Ok(Outcome::Done)
    }
}

impl Proxy {
    /// Runs until told to end.
    pub fn run(self) -> Told {
        let (file, process_settings) = Followed::open(self.settings.as_deref())?;
        elderpond_proxy::run(file, process_settings, self.tenants)?;
        Ok(Outcome::Done)
    }
}
