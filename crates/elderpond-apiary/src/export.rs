//! A replica in one file of JSON, whole or not at all: `storage export` writes it, `storage import` reads it.

use std::fs::File;
use std::io::Write as _;
use std::path::Path;

use anyhow::Context;
use elderpond_consensus::{Digest, Head, Held, Mark, Numbers, Stored, Tag};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::outcome::wrong;

const KIND: &str = "elderpond-comb";
/// Exports up to this format are read.
const FORMAT: u64 = 2;

/// The file. The digest is of the state's own bytes.
#[derive(Serialize, Deserialize)]
struct Export {
    kind: String,
    format: u64,
    #[serde(default)]
    digest: String,
    #[serde(default)]
    state: Option<Box<RawValue>>,
}

#[derive(Serialize, Deserialize)]
struct State {
    head: Head,
    bodies: Vec<Body>,
    marks: Vec<Departure>,
    /// Missing in format 1.
    #[serde(default)]
    numbers: Option<Numbers>,
}

#[derive(Serialize, Deserialize)]
struct Body {
    tag: Tag,
    body: String,
}

#[derive(Serialize, Deserialize)]
struct Departure {
    order: u64,
    key: String,
    value: String,
}

/// Writes the file, which must not be there yet.
///
/// # Errors
/// The file is there, or can't be written; or a record is no text.
pub fn write(file: &Path, stored: &Stored) -> anyhow::Result<()> {
    let name = file.display();
    let text = |what: String, bytes: &[u8]| {
        String::from_utf8(bytes.to_vec()).with_context(|| format!("{what} is no text"))
    };
    let bodies = stored.held.iter().map(|held| {
        let body = text(format!("r{}", held.tag.version), &held.body)?;
        Ok(Body {
            tag: held.tag,
            body,
        })
    });
    let marks = stored.marks.iter().map(|mark| {
        let value = text(format!("the departure of {}", mark.key), &mark.value)?;
        let (order, key) = (mark.order, mark.key.clone());
        Ok(Departure { order, key, value })
    });
    let state = State {
        head: stored.head.clone(),
        bodies: bodies.collect::<anyhow::Result<_>>()?,
        marks: marks.collect::<anyhow::Result<_>>()?,
        numbers: stored.numbers.clone(),
    };
    let state = serde_json::to_string(&state)?;
    let export = Export {
        kind: KIND.into(),
        format: FORMAT,
        digest: digest(&state),
        state: Some(RawValue::from_string(state)?),
    };
    anyhow::ensure!(
        !file.exists(),
        "{name} is there already; an export replaces nothing"
    );
    let half = file.with_added_extension("half");
    let written = File::create(&half).and_then(|mut to| {
        to.write_all(&serde_json::to_vec(&export)?)?;
        to.sync_all()
    });
    written
        .and_then(|()| std::fs::rename(&half, file))
        .with_context(|| name.to_string())
}

/// Reads a file that `write` wrote.
///
/// # Errors
/// It is no export, half of one, of a later version, or was changed.
pub fn read(file: &Path) -> anyhow::Result<Stored> {
    let name = file.display();
    let bytes = std::fs::read(file).map_err(|error| wrong(format!("{name}: {error}")))?;
    let export: Export = serde_json::from_slice(&bytes).map_err(|error| {
        wrong(match error.is_eof() {
            true => format!("{name}: half an export, it ends too soon: {error}"),
            false => format!("{name}: is no export of a replica: {error}"),
        })
    })?;
    if export.kind != KIND {
        let what = format!(
            "{name}: kind: is an export of {:?}, not of {KIND:?}",
            export.kind
        );
        return Err(wrong(what));
    }
    if export.format > FORMAT {
        return Err(wrong(format!(
            "{name}: format: {}, by a later version; this one reads up to {FORMAT}",
            export.format
        )));
    }
    let state = export
        .state
        .ok_or_else(|| wrong(format!("{name}: state: is missing")))?;
    let found = digest(state.get());
    if found != export.digest {
        return Err(wrong(format!(
            "{name}: digest: says {:?}, and the state's is {found}: it was changed or damaged",
            export.digest
        )));
    }
    let state: State = serde_json::from_str(state.get())
        .map_err(|error| wrong(format!("{name}: state: {error}")))?;
    let held = state.bodies.into_iter().map(|it| Held {
        tag: it.tag,
        body: it.body.into(),
    });
    let marks = state.marks.into_iter().map(|it| Mark {
        order: it.order,
        key: it.key,
        value: it.value.into(),
    });
    Ok(Stored {
        head: state.head,
        held: held.collect(),
        marks: marks.collect(),
        numbers: state.numbers,
    })
}

fn digest(state: &str) -> String {
    format!("{:032x}", Digest::of(state.as_bytes()).0)
}
