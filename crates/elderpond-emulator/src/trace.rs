//! Traces: what happened in a run, as lines of JSON, and what stood at a moment of it.

use std::collections::BTreeMap;
use std::io::{BufRead, Write};

use elderpond_model::World;
use elderpond_model::chronicle::{Note, Topic};
use serde::{Deserialize, Serialize};

/// Notes shown around a moment.
const AROUND: usize = 12;

/// One line of a trace.
#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
enum Line {
    Head(Head),
    Note(Note),
    Second(Second),
}

/// The first line.
#[derive(Debug, Serialize, Deserialize)]
struct Head {
    scenario: String,
    seed: u64,
    policy: String,
    workers: usize,
}

/// Service of the requests that came in one second.
#[derive(Debug, Serialize, Deserialize)]
struct Second {
    second: usize,
    service: f64,
}

/// Why a trace cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The file.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A line of it.
    #[error("line {line}: {cause}")]
    Line {
        /// Its number, from 1 on.
        line: usize,
        /// What is wrong.
        cause: serde_json::Error,
    },
    /// It has no first line.
    #[error("not a trace: the first line does not say of what")]
    Headless,
}

/// Writes the trace of a run.
///
/// # Errors
/// What the writer meets.
pub fn write(out: &mut impl Write, world: &World, seed: u64, policy: &str) -> std::io::Result<()> {
    let head = Head {
        scenario: world.scenario().title.clone(),
        seed,
        policy: policy.to_owned(),
        workers: world.workers(),
    };
    writeln!(out, "{}", serde_json::to_string(&head)?)?;
    for note in world.chronicle().notes() {
        writeln!(out, "{}", serde_json::to_string(note)?)?;
    }
    let report = world.report();
    for (second, service) in report.service.seconds.into_iter().enumerate() {
        writeln!(
            out,
            "{}",
            serde_json::to_string(&Second { second, service })?
        )?;
    }
    Ok(())
}

/// Says what stood at a moment: troubles under way, workers and managers that were not well, what
/// the managers had been told, service around it, and what happened just before.
///
/// # Errors
/// A trace that cannot be read.
pub fn explain(trace: impl BufRead, at_ms: f64) -> Result<String, TraceError> {
    let (mut head, mut notes, mut seconds) = (None, Vec::new(), BTreeMap::new());
    for (number, line) in trace.lines().enumerate() {
        let line = line?;
        let read = serde_json::from_str(&line);
        match read.map_err(|cause| TraceError::Line {
            line: number + 1,
            cause,
        })? {
            Line::Head(first) => head = Some(first),
            Line::Note(note) => notes.push(note),
            Line::Second(Second { second, service }) => drop(seconds.insert(second, service)),
        }
    }
    let head = head.ok_or(TraceError::Headless)?;
    let mut text = format!(
        "{} (seed {}, {}) at {:.3} s\n",
        head.scenario,
        head.seed,
        head.policy,
        at_ms / 1000.0
    );
    let second = (at_ms / 1000.0) as usize;
    let around = seconds.range(second.saturating_sub(3)..second + 4);
    let around: Vec<String> = around
        .map(|(at, service)| format!("{}{at}: {service:.2}", if *at == second { ">" } else { "" }))
        .collect();
    text += &format!(
        "service of what came in each second: {}\n",
        around.join("  ")
    );
    let past: Vec<&Note> = notes.iter().filter(|note| note.at_ms <= at_ms).collect();
    let mut troubles: BTreeMap<&str, &str> = BTreeMap::new();
    let mut workers: BTreeMap<usize, &str> = BTreeMap::new();
    let mut told: BTreeMap<(usize, usize), &str> = BTreeMap::new();
    let mut managers: BTreeMap<usize, &str> = BTreeMap::new();
    let mut unjoined: BTreeMap<usize, &str> = BTreeMap::new();
    for note in &past {
        match (note.topic, note.worker, note.manager, note.proxy) {
            (Topic::Trouble, ..) => {
                let name = note.text.split('`').nth(1).unwrap_or_default();
                match note.text.ends_with("ends") {
                    true => drop(troubles.remove(name)),
                    false => drop(troubles.insert(name, &note.text)),
                }
            }
            (Topic::Worker, Some(worker), ..) => drop(workers.insert(worker, &note.text)),
            (Topic::Told, Some(worker), Some(manager), _) => {
                told.insert((manager, worker), &*note.text);
            }
            (Topic::Manager, _, Some(manager), _) => drop(managers.insert(manager, &note.text)),
            (Topic::Proxy, _, _, Some(proxy)) => match note.text.contains("joins") {
                true => drop(unjoined.remove(&proxy)),
                false => drop(unjoined.insert(proxy, &note.text)),
            },
            _ => {}
        }
    }
    let mut section = |title: &str, lines: Vec<&str>| {
        if !lines.is_empty() {
            text += &format!("{title}:\n  {}\n", lines.join("\n  "));
        }
    };
    section("troubles under way", troubles.into_values().collect());
    section(
        "workers, the last that happened to each",
        workers.into_values().collect(),
    );
    let out = told.into_values().filter(|text| !text.contains("ready"));
    section("told to drain or to be gone", out.collect());
    section("managers", managers.into_values().collect());
    section(
        "proxies that are not joined",
        unjoined.into_values().collect(),
    );
    let last = past.iter().rev().take(AROUND).rev();
    let last: Vec<String> = last
        .map(|note| format!("{:9.3} {}", note.at_ms / 1000.0, note.text))
        .collect();
    section("just before", last.iter().map(|line| &**line).collect());
    let next = notes
        .iter()
        .filter(|note| note.at_ms > at_ms)
        .take(AROUND / 2);
    let next: Vec<String> = next
        .map(|note| format!("{:9.3} {}", note.at_ms / 1000.0, note.text))
        .collect();
    section("just after", next.iter().map(|line| &**line).collect());
    Ok(text)
}
