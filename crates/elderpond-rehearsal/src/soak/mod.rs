//! A soak: a fleet of the real programs on loopback, under overlapping trouble, storms of configurations
//! and clients that keep their connections, judged by what clients, workers and the operator saw.

mod clients;
pub mod draw;
pub mod judge;
#[cfg(test)]
mod judge_tests;
mod layout;
#[cfg(test)]
mod layout_tests;
mod link_rate;
#[cfg(test)]
mod link_rate_tests;
pub mod margins;
mod play;
mod processes;
mod relay;
mod resources;
#[cfg(test)]
mod resources_tests;
mod response;
pub mod schedule;
#[cfg(test)]
mod schedule_tests;
pub mod timeline;
pub mod versions;
mod worker_places;

use std::path::{Path, PathBuf};

use anyhow::{Context, bail};
use argh::{ArgsInfo, FromArgs};
use tokio::task::LocalSet;

pub use crate::judge::{Check, Report};
use schedule::{Planned, Size};

/// Proxies, at most.
const MOST_PROXIES: u8 = 100;
/// Routes that nobody asks for, at most.
const MOST_IDLE_ROUTES: u32 = 3_000;
/// Megabytes that a process of the program may take in a soak.
const PROCESS_MB: u64 = 32;

/// Megabytes of memory of this machine.
fn memory_mb() -> anyhow::Result<u64> {
    let text = std::fs::read_to_string("/proc/meminfo")?;
    let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let total = total.and_then(|total| total.trim().trim_end_matches(" kB").parse::<u64>().ok());
    Ok(total.context("/proc/meminfo tells no total")? / 1024)
}

/// soak a fleet of real processes on loopback in overlapping trouble, and judge what was seen
#[derive(ArgsInfo, Clone, Debug, FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct SoakOptions {
    /// what all that is drawn follows from; drawn itself if not given
    #[argh(option)]
    pub seed: Option<u64>,
    /// seconds of requests, from 10 to 3600; 60 if not given
    #[argh(option, default = "60.0")]
    pub seconds: f64,
    /// control nodes, from 3 to 9; 5 if not given
    #[argh(option, default = "5")]
    pub control_nodes: u8,
    /// proxies, from 1 to 100; 8 if not given
    #[argh(option, default = "8")]
    pub proxies: u8,
    /// workers, from 6 to 150; 60 if not given
    #[argh(option, default = "60")]
    pub workers: u8,
    /// requests a second, from 1 to 2000; 200 if not given
    #[argh(option, default = "200.0")]
    pub rate: f64,
    /// megabits a second that a proxy's link to the control nodes carries in each direction, from 0.1 to
    /// 1000; as many as the machine bears if not given
    #[argh(option)]
    pub link_mbit: Option<f64>,
    /// routes that nobody asks for, in every configuration, from 0 to 3000; if not given, up to 2900 in some
    #[argh(option, default = "0")]
    pub idle_routes: u32,
    /// play the events of this file, as a soak prints them, instead of drawn ones
    #[argh(option)]
    pub schedule: Option<PathBuf>,
    /// the program; this one if not given
    #[argh(option)]
    pub program: Option<PathBuf>,
    /// leave the folder with settings, logs and disks also where all rules held
    #[argh(switch)]
    pub keep: bool,
}

impl Default for SoakOptions {
    fn default() -> Self {
        Self {
            seed: None,
            seconds: 60.0,
            control_nodes: 5,
            proxies: 8,
            workers: 60,
            rate: 200.0,
            link_mbit: None,
            idle_routes: 0,
            schedule: None,
            program: None,
            keep: false,
        }
    }
}

impl SoakOptions {
    /// Checks all that can be before anything is started.
    fn validate(&self) -> anyhow::Result<Size> {
        if !(10.0..=3600.0).contains(&self.seconds) {
            bail!("--seconds has to be from 10 to 3600");
        }
        if !(1.0..=2000.0).contains(&self.rate) {
            bail!("--rate has to be from 1 to 2000");
        }
        if !(3..=9).contains(&self.control_nodes) {
            bail!("--control-nodes has to be from 3 to 9");
        }
        if !(1..=MOST_PROXIES).contains(&self.proxies) {
            bail!("--proxies has to be from 1 to {MOST_PROXIES}");
        }
        if !(6..=150).contains(&self.workers) {
            bail!("--workers has to be from 6 to 150");
        }
        if !(self
            .link_mbit
            .is_none_or(|rate| (0.1..=1000.0).contains(&rate)))
        {
            bail!("--link-mbit has to be from 0.1 to 1000");
        }
        if self.idle_routes > MOST_IDLE_ROUTES {
            bail!("--idle-routes has to be from 0 to {MOST_IDLE_ROUTES}");
        }
        let processes = u64::from(self.control_nodes) + u64::from(self.proxies);
        let bears = memory_mb()? / 2 / PROCESS_MB;
        if processes > bears {
            bail!(
                "--proxies: half of this machine's memory bears {bears} processes, not {processes}"
            );
        }
        Ok(Size {
            control_nodes: self.control_nodes,
            proxies: self.proxies,
            workers: self.workers,
        })
    }

    fn events(&self, seed: u64, size: Size) -> anyhow::Result<Vec<Planned>> {
        let Some(file) = &self.schedule else {
            return Ok(draw::draw(seed, size, self.seconds));
        };
        let named = || format!("--schedule {}", file.display());
        let text = std::fs::read_to_string(file).with_context(named)?;
        schedule::parse(&text, size).with_context(named)
    }
}

/// Plays a soak and prints what is scheduled; the report still has to be printed.
///
/// # Errors
///
/// An option or a schedule is wrong, the fleet does not start, or a signal stopped the soak. A rule that
/// did not hold is no error: it stands in the report, and the folder with settings, logs and disks is kept.
pub fn soak(options: &SoakOptions) -> anyhow::Result<Report> {
    let size = options.validate()?;
    let seed = options.seed.unwrap_or_else(|| fastrand::u64(..1 << 20));
    let events = options.events(seed, size)?;
    let program = match &options.program {
        Some(program) => program.clone(),
        None => std::env::current_exe()?,
    };
    fastrand::seed(seed);
    println!("# seed {seed}, {size:?}, {} s", options.seconds);
    for planned in &events {
        println!("{planned}");
    }
    let folder = tempfile::Builder::new()
        .prefix("elderpond-soak-")
        .tempdir()?;
    std::fs::write(folder.path().join("schedule"), written(&events))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let played = play::watched(options, size, seed, events, program, folder.path());
    let report = LocalSet::new().block_on(&runtime, played);
    let held = report.as_ref().is_ok_and(Report::held);
    if options.keep || !held {
        tell_how_to_repeat(options, seed, &folder.keep());
    }
    report
}

fn written(events: &[Planned]) -> String {
    let lines = events.iter().map(|planned| format!("{planned}\n"));
    lines.collect()
}

fn tell_how_to_repeat(options: &SoakOptions, seed: u64, folder: &Path) {
    println!(
        "settings, logs, disks and schedule stay in {}",
        folder.display()
    );
    let link = (options.link_mbit).map_or_else(String::new, |rate| format!(" --link-mbit {rate}"));
    println!(
        "again: elderpond soak --seed {seed} --seconds {} --control-nodes {} --proxies {} --workers {} \
         --rate {} --idle-routes {}{link} --schedule {}",
        options.seconds,
        options.control_nodes,
        options.proxies,
        options.workers,
        options.rate,
        options.idle_routes,
        folder.join("schedule").display()
    );
}
