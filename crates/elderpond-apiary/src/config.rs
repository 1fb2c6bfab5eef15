//! `config get|put|diff`: the operator's configuration, at a hive.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use anyhow::Context;
use argh::{ArgsInfo, FromArgs};
use bytes::Bytes;
use elderpond_flora::{Configuration, Rule};
use elderpond_rehearsal::Answer;
use hyper::Method;
use serde::Serialize;
use serde_json::Value;

use crate::call::{call, good, words};
use crate::outcome::{Outcome, Told, wrong};

/// read, send and compare configurations
#[derive(ArgsInfo, FromArgs)]
#[argh(subcommand, name = "config")]
pub struct Config {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(ArgsInfo, FromArgs)]
#[argh(subcommand)]
enum Verb {
    Get(Get),
    Put(Put),
    Diff(Diff),
}

/// print the newest configuration that a majority of disks holds, or write it to a file
#[derive(ArgsInfo, FromArgs)]
#[argh(subcommand, name = "get")]
struct Get {
    /// a hive's control address, as in 10.1.0.37:8544
    #[argh(option)]
    hive: String,
    /// where to; standard output if not given
    #[argh(positional)]
    file: Option<PathBuf>,
}

/// send a configuration, and print the answer
#[derive(ArgsInfo, FromArgs)]
#[argh(subcommand, name = "put")]
struct Put {
    /// a hive's control address, as in 10.1.0.37:8544
    #[argh(option)]
    hive: String,
    /// the configuration
    #[argh(positional)]
    file: PathBuf,
}

/// compare a file with what is in force, route by route; status 3 if they differ
#[derive(ArgsInfo, FromArgs)]
#[argh(subcommand, name = "diff")]
struct Diff {
    /// a hive's control address, as in 10.1.0.37:8544
    #[argh(option)]
    hive: String,
    /// the configuration
    #[argh(positional)]
    file: PathBuf,
}

impl Config {
    /// Does it.
    pub fn run(self) -> Told {
        match self.verb {
            Verb::Get(told) => told.run(),
            Verb::Put(told) => told.run(),
            Verb::Diff(told) => told.run(),
        }
    }
}

fn in_force(hive: &str) -> anyhow::Result<Answer> {
    call(hive, Method::GET, "/configuration/read", Bytes::new())
}

/// The file's bytes, if they are a configuration that may be in force.
fn sound(file: &Path) -> anyhow::Result<(Bytes, Configuration)> {
    let name = file.display();
    let body = std::fs::read(file).map_err(|error| wrong(format!("{name}: {error}")))?;
    let read = elderpond_flora::read(&body).map_err(|fault| {
        wrong(format!(
            "{name}: {fault}; elderpond check --configuration {name} tells all"
        ))
    })?;
    Ok((body.into(), read))
}

impl Get {
    fn run(self) -> Told {
        let body = good(in_force(&self.hive)?, &self.hive)?;
        match self.file {
            Some(file) => {
                std::fs::write(&file, &body).with_context(|| file.display().to_string())?
            }
            None => println!("{}", String::from_utf8_lossy(&body)),
        }
        Ok(Outcome::Done)
    }
}

impl Put {
    fn run(self) -> Told {
        let (body, read) = sound(&self.file)?;
        let version = read.version_number;
        let answer = call(&self.hive, Method::POST, "/configuration/replace", body)?;
        match answer.status {
            200 => println!(
                "{} answered 200: {version}, or a higher version, is held",
                self.hive
            ),
            400..500 => return Err(wrong(format!("{version}: {}", words(&answer, &self.hive)))),
            _ => {
                let words = words(&answer, &self.hive);
                anyhow::bail!(
                    "{version}: {words}; it may yet take effect: send it again unchanged, to any hive"
                );
            }
        }
        Ok(Outcome::Done)
    }
}

impl Diff {
    fn run(self) -> Told {
        let (_, ours) = sound(&self.file)?;
        let answer = in_force(&self.hive)?;
        if answer.status == 404 {
            println!(
                "nothing is in force; {} would be the first",
                ours.version_number
            );
            return Ok(Outcome::Differs);
        }
        let body = good(answer, &self.hive)?;
        let theirs = elderpond_flora::read(&body)
            .with_context(|| format!("what {} has in force", self.hive))?;
        let lines = compared(&theirs, &ours);
        for line in &lines {
            println!("{line}");
        }
        if lines.is_empty() {
            println!("no difference: {}", ours.version_number);
            return Ok(Outcome::Done);
        }
        Ok(Outcome::Differs)
    }
}

/// What would change if the second took the place of the first.
fn compared(before: &Configuration, after: &Configuration) -> Vec<String> {
    let mut lines = Vec::new();
    let versions = (before.version_number, after.version_number);
    if versions.0 != versions.1 {
        let late = if versions.1 < versions.0 {
            "; sent now, it would have no effect"
        } else {
            ""
        };
        lines.push(format!("version {} -> {}{late}", versions.0, versions.1));
    }
    changes(
        "limits",
        &told(&before.limits),
        &told(&after.limits),
        &mut lines,
    );
    sorted("route", &routes(before), &routes(after), &mut lines);
    sorted("service", &services(before), &services(after), &mut lines);
    lines
}

type Named = BTreeMap<String, Value>;

fn told<T: Serialize>(it: &T) -> Value {
    serde_json::to_value(it).unwrap_or_default()
}

fn routes(it: &Configuration) -> Named {
    let all = it.listener_list.iter().flat_map(|listener| {
        let named = |rule: &Rule| format!("{}{}", listener.host, rule.match_condition.path_prefix);
        listener
            .rule_set
            .iter()
            .map(move |rule| (named(rule), told(rule)))
    });
    all.collect()
}

fn services(it: &Configuration) -> Named {
    it.cluster_list
        .iter()
        .map(|it| (it.name.clone(), told(it)))
        .collect()
}

fn sorted(kind: &str, before: &Named, after: &Named, lines: &mut Vec<String>) {
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    for name in names {
        match (before.get(name), after.get(name)) {
            (Some(_), None) => lines.push(format!("- {kind} {name}")),
            (None, Some(it)) => lines.push(format!("+ {kind} {name} {}", short(it))),
            (Some(old), Some(new)) => changes(&format!("{kind} {name}"), old, new, lines),
            (None, None) => {}
        }
    }
}

/// A route's way, or nothing.
fn short(it: &Value) -> String {
    it.get("route-action")
        .map_or_else(String::new, |it| format!("-> {it}"))
}

/// Each field that differs, on a line of its own.
fn changes(path: &str, before: &Value, after: &Value, lines: &mut Vec<String>) {
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        if before != after {
            lines.push(format!("~ {path}: {before} -> {after}"));
        }
        return;
    };
    let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
    names.sort();
    names.dedup();
    for name in names {
        let of = |it: &serde_json::Map<String, Value>| it.get(name).cloned().unwrap_or_default();
        changes(&format!("{path} {name}"), &of(old), &of(new), lines);
    }
}
