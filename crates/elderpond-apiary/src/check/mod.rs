//! `check`: every fault of a settings file, a configuration or a deploy file.

mod configuration;
mod deploy;
mod mend;
mod settings;

use std::fmt;
use std::path::{Path, PathBuf};

use argh::{ArgsInfo, FromArgs};
use elderpond_process_settings::{ProcessSettingsError, VARIABLE};

use crate::outcome::{Outcome, Told, wrong};

/// say what is wrong with a settings file, a configuration or a deploy file: every fault, with its field
#[derive(ArgsInfo, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// a settings file; the one that ELDERPOND_BOOT names, if no file is given
    #[argh(option)]
    settings: Option<PathBuf>,
    /// a configuration, as the operator would send it
    #[argh(option)]
    configuration: Option<PathBuf>,
    /// a deploy file
    #[argh(option)]
    deploy: Option<PathBuf>,
}

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The path of the field; empty for the whole.
    pub field: String,
    /// What is wrong with it.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.field.is_empty() {
            true => f.write_str(&self.what),
            false => write!(f, "{}: {}", self.field, self.what),
        }
    }
}

fn fault(field: impl Into<String>, what: impl Into<String>) -> Fault {
    Fault {
        field: field.into(),
        what: what.into(),
    }
}

/// How a kind of file is looked at.
type Look = fn(&Path, &str) -> Found;

/// What a look at a file found.
#[derive(Default)]
pub struct Found {
    /// It can't be used.
    faults: Vec<Fault>,
    /// It can be used, and may not do what was meant.
    notes: Vec<Fault>,
}

impl Check {
    /// Prints what is wrong.
    pub fn run(self) -> Told {
        let mut files: Vec<(PathBuf, Look)> = Vec::new();
        files.extend(self.settings.map(|path| (path, settings::look as _)));
        files.extend(
            self.configuration
                .map(|path| (path, configuration::look as _)),
        );
        files.extend(self.deploy.map(|path| (path, deploy::look as _)));
        if files.is_empty() {
            let path = std::env::var_os(VARIABLE).ok_or(ProcessSettingsError::Unnamed)?;
            files.push((path.into(), settings::look));
        }
        let mut faults = 0;
        for (path, look) in files {
            let found = match std::fs::read_to_string(&path) {
                Ok(text) => look(&path, &text),
                Err(error) => Found {
                    faults: vec![fault("", error.to_string())],
                    notes: Vec::new(),
                },
            };
            let name = path.display();
            for note in &found.notes {
                println!("{name}: note: {note}");
            }
            for fault in &found.faults {
                println!("{name}: {fault}");
            }
            if found.faults.is_empty() {
                println!("{name}: nothing wrong");
            }
            faults += found.faults.len();
        }
        match faults {
            0 => Ok(Outcome::Done),
            1 => Err(wrong("1 fault")),
            _ => Err(wrong(format!("{faults} faults"))),
        }
    }
}

/// The nearest of the names known, as the end of a sentence; nothing if none is near.
fn meant<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    match nearest(word, known) {
        Some(name) => format!("; did you mean {name:?}?"),
        None => String::new(),
    }
}

fn nearest<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let near = |name: &str| strsim::normalized_damerau_levenshtein(word, name);
    let scored = known.into_iter().map(|name| (near(name), name));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(a.1)))?;
    (best.0 >= 0.6).then_some(best.1)
}
