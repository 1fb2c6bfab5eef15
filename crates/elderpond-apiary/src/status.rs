//! `status` and `workers`: what a hive says of itself and of the workers it knows.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use argh::{ArgsInfo, FromArgs};
use bytes::Bytes;
use hyper::Method;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::call::{call, good};
use crate::outcome::{Outcome, Told};

/// say where a hive stands
#[derive(ArgsInfo, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// its control address, as in 10.1.0.37:8544
    #[argh(option)]
    hive: String,
    /// print the hive's own words
    #[argh(switch)]
    json: bool,
}

/// list the workers that a hive knows, with their weights and why
#[derive(ArgsInfo, FromArgs)]
#[argh(subcommand, name = "workers")]
pub struct Workers {
    /// its control address, as in 10.1.0.37:8544
    #[argh(option)]
    hive: String,
    /// print the hive's own words
    #[argh(switch)]
    json: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Stand {
    node: String,
    address: String,
    zone: String,
    up_ms: u64,
    majority: bool,
    #[serde(default)]
    settled: bool,
    #[serde(default)]
    stopping: bool,
    #[serde(default)]
    hives: Vec<String>,
    epoch: u64,
    votes: bool,
    voters: Vec<VoterStand>,
    in_force: u64,
    #[serde(default)]
    marks: usize,
    #[serde(default)]
    writing_ms: Option<u64>,
    #[serde(default)]
    workers_ready: usize,
    #[serde(default)]
    foragers_here: usize,
    #[serde(default)]
    proxies_by_wire: BTreeMap<u8, usize>,
    #[serde(default)]
    foragers: usize,
    #[serde(default)]
    calls_waiting: usize,
}

#[derive(Deserialize)]
struct VoterStand {
    voter: Voter,
    alive: bool,
    active: bool,
    version: u64,
    behind: u64,
}

#[derive(Deserialize)]
struct Voter {
    node: String,
    disk: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WorkerStand {
    id: String,
    service: String,
    address: String,
    zone: String,
    slots: u64,
    state: String,
    listed: bool,
    silent_ms: u64,
    #[serde(default)]
    cold_ms: u64,
    weight: u64,
    #[serde(default)]
    why: Option<String>,
    #[serde(default)]
    tries: u64,
    #[serde(default)]
    failed: u64,
    #[serde(default)]
    took_ms: f64,
}

impl Status {
    /// Prints it.
    pub fn run(self) -> Told {
        tell(&self.hive, "/hive/status", self.json, |stand: Stand| {
            stand.told()
        })
    }
}

impl Workers {
    /// Prints them.
    pub fn run(self) -> Told {
        tell(
            &self.hive,
            "/hive/workers",
            self.json,
            |all: Vec<WorkerStand>| listed(&all),
        )
    }
}

fn tell<T: DeserializeOwned>(
    hive: &str,
    path: &str,
    json: bool,
    told: impl FnOnce(T) -> String,
) -> Told {
    let body = good(call(hive, Method::GET, path, Bytes::new())?, hive)?;
    if json {
        println!("{}", String::from_utf8_lossy(&body));
        return Ok(Outcome::Done);
    }
    let read = serde_json::from_slice(&body).map_err(|error| {
        anyhow::anyhow!(
            "hive {hive}, {path}: {error}; is a hive of this version there? --json prints its words"
        )
    })?;
    print!("{}", told(read));
    Ok(Outcome::Done)
}

impl Stand {
    fn told(&self) -> String {
        let yes = |it: bool| if it { "yes" } else { "no" };
        let mut lines = vec![
            (
                "hive",
                format!("{} at {} in {}", self.node, self.address, self.zone),
            ),
            (
                "up",
                format!(
                    "{:.1} s{}",
                    self.up_ms as f64 / 1e3,
                    if self.stopping { ", ending" } else { "" }
                ),
            ),
            ("reaches a majority", yes(self.majority).into()),
            ("has heard all workers", yes(self.settled).into()),
            (
                "in force",
                if self.in_force == 0 {
                    "nothing yet".into()
                } else {
                    format!("r{}", self.in_force)
                },
            ),
            ("hives that answer", self.hives.join(", ")),
            ("workers ready", self.workers_ready.to_string()),
            (
                "foragers",
                format!("{}, {} of them here", self.foragers, self.foragers_here),
            ),
            ("departures kept", self.marks.to_string()),
            ("calls that wait", self.calls_waiting.to_string()),
        ];
        if !self.proxies_by_wire.is_empty() {
            lines.push(("wire of proxies", counts_by_wire(&self.proxies_by_wire)));
        }
        if let Some(ms) = self.writing_ms {
            lines.push(("disk", format!("a write takes {ms} ms so far")));
        }
        let voting = if self.votes {
            "this hive votes"
        } else {
            "this hive does not vote"
        };
        lines.push(("voters", format!("set {}, {voting}", self.epoch)));
        let mut text = String::new();
        for (name, value) in lines {
            let _ = writeln!(text, "{name:<22}{value}");
        }
        for it in &self.voters {
            let state = match (it.alive, it.active) {
                (false, _) => "away",
                (true, false) => "there, takes over what the set before held",
                (true, true) => "votes",
            };
            let held = if it.version == 0 {
                "holds nothing".into()
            } else {
                format!("holds r{}", it.version)
            };
            let behind = if it.behind == 0 {
                String::new()
            } else {
                format!(", behind by {}", it.behind)
            };
            let disk = if it.voter.disk == 0 {
                "founder".into()
            } else {
                format!("{:016x}", it.voter.disk)
            };
            let _ = writeln!(
                text,
                "  {:<16}disk {disk:<18}{state}; {held}{behind}",
                it.voter.node
            );
        }
        text
    }
}

fn listed(all: &[WorkerStand]) -> String {
    let head = [
        "service", "worker", "address", "zone", "slots", "state", "weight", "why", "heard",
        "tries", "mean",
    ];
    let mut rows: Vec<Vec<String>> = vec![head.map(String::from).to_vec()];
    for it in all {
        let state = match (it.state.to_lowercase().as_str(), it.listed, it.cold_ms) {
            ("ready", false, _) => "silent".to_owned(),
            ("ready", true, 1..) => format!("cold {:.1} s", it.cold_ms as f64 / 1e3),
            (state, ..) => state.to_owned(),
        };
        rows.push(vec![
            it.service.clone(),
            it.id.clone(),
            it.address.clone(),
            it.zone.clone(),
            it.slots.to_string(),
            state,
            format!("{:.2}", it.weight as f64 / 100.0),
            it.why.clone().unwrap_or_else(|| "-".into()),
            format!("{:.1} s ago", it.silent_ms as f64 / 1e3),
            format!("{}/{} failed", it.failed, it.tries),
            format!("{:.0} ms", it.took_ms),
        ]);
    }
    let wide = |column: usize| rows.iter().map(|row| row[column].chars().count()).max();
    let wide: Vec<usize> = (0..head.len())
        .map(|column| wide(column).unwrap_or(0))
        .collect();
    let mut text = String::new();
    for row in &rows {
        let cells: Vec<String> = (row.iter().zip(&wide))
            .map(|(cell, wide)| format!("{cell:<wide$}"))
            .collect();
        let _ = writeln!(text, "{}", cells.join("  ").trim_end());
    }
    if all.is_empty() {
        text.push_str("no worker has beaten yet\n");
    }
    text
}

/// How many proxies speak each version of the wire, as in "version 6: 3".
fn counts_by_wire(counts: &BTreeMap<u8, usize>) -> String {
    let counts = (counts.iter()).map(|(version, count)| format!("version {version}: {count}"));
    counts.collect::<Vec<_>>().join(", ")
}
