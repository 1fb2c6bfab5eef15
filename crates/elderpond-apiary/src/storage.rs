//! `storage`: what lasts of a stopped hive, in its folder. Only `import` writes there.

use std::path::{Path, PathBuf};

use argh::{ArgsInfo, FromArgs};
use elderpond_consensus::{Digest, Stored, VoterSet};
use elderpond_storage::{Folder, Storage, StorageError};

use crate::export;
use crate::outcome::{Outcome, Told, wrong};

/// look into a stopped hive's folder, or carry it elsewhere
#[derive(ArgsInfo, FromArgs)]
#[argh(subcommand, name = "storage")]
pub struct StorageVerb {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(ArgsInfo, FromArgs)]
#[argh(subcommand)]
enum Verb {
    List(List),
    Show(Show),
    Verify(Verify),
    Export(Export),
    Import(Import),
}

/// list the databases in a folder, and the versions in the newest; changes nothing
#[derive(ArgsInfo, FromArgs)]
#[argh(subcommand, name = "list")]
struct List {
    /// the hive's data-directory
    #[argh(positional)]
    dir: PathBuf,
}

/// show the disk's id, its voters, versions and departures; changes nothing
#[derive(ArgsInfo, FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {
    /// the hive's data-directory
    #[argh(positional)]
    dir: PathBuf,
    /// print the newest configuration instead, as it was sent
    #[argh(switch)]
    body: bool,
}

/// read all of it, and say whether it is whole; changes nothing
#[derive(ArgsInfo, FromArgs)]
#[argh(subcommand, name = "verify")]
struct Verify {
    /// the hive's data-directory
    #[argh(positional)]
    dir: PathBuf,
}

/// write all of it to one file of JSON, with a digest; changes nothing
#[derive(ArgsInfo, FromArgs)]
#[argh(subcommand, name = "export")]
struct Export {
    /// the hive's data-directory
    #[argh(positional)]
    dir: PathBuf,
    /// the file; it must not be there yet
    #[argh(positional)]
    file: PathBuf,
}

/// fill an empty folder from an export; never for a hive that has run since the export was made
#[derive(ArgsInfo, FromArgs)]
#[argh(subcommand, name = "import")]
struct Import {
    /// the hive's data-directory; empty, or not there yet
    #[argh(positional)]
    dir: PathBuf,
    /// the export
    #[argh(positional)]
    file: PathBuf,
    /// do it; without it, only what would be done is said
    #[argh(switch)]
    yes: bool,
}

impl StorageVerb {
    /// Does it.
    pub fn run(self) -> Told {
        match self.verb {
            Verb::List(told) => list(&told.dir),
            Verb::Show(told) => show(&told.dir, told.body),
            Verb::Verify(told) => verify(&told.dir),
            Verb::Export(told) => {
                let stored = read(&told.dir)?;
                export::write(&told.file, &stored)?;
                println!("{}: {}", told.file.display(), summary(&stored));
                Ok(Outcome::Done)
            }
            Verb::Import(told) => import(&told),
        }
    }
}

/// What is in the folder; an error where there is nothing.
fn read(dir: &Path) -> anyhow::Result<Stored> {
    let name = dir.display();
    let folder = Folder::look(dir).map_err(told)?;
    if folder.cells.is_empty() {
        return Err(wrong(match folder.strange.first() {
            Some(other) => format!("{name}: no hive's folder: holds {other:?} and no cell-N"),
            None => format!("{name}: empty: no hive has kept anything here"),
        }));
    }
    let stored = Storage::read_only(dir).map_err(told)?;
    stored.ok_or_else(|| wrong(format!("{name}: a hive began here and kept nothing yet")))
}

/// A newer format is for a newer program: what was told is wrong; damage is a failure.
fn told(error: StorageError) -> anyhow::Error {
    match error {
        StorageError::Newer { .. } | StorageError::Io { .. } => wrong(error.to_string()),
        error => error.into(),
    }
}

fn list(dir: &Path) -> Told {
    let folder = Folder::look(dir).map_err(told)?;
    for (name, size) in folder.cells.iter().chain(&folder.aside) {
        println!("{name:<14}{:>10} bytes", size);
    }
    for name in &folder.strange {
        println!("{name:<14}no part of a replica");
    }
    let stored = read(dir)?;
    for held in &stored.held {
        let committed = stored.head.committed == Some(held.tag);
        let known = if committed {
            "held by a majority"
        } else {
            "not known to be held by a majority"
        };
        println!(
            "r{:<13}{:>10} bytes, {known}",
            held.tag.version,
            held.body.len()
        );
    }
    println!("{} departures", stored.marks.len());
    Ok(Outcome::Done)
}

fn show(dir: &Path, body: bool) -> Told {
    let stored = read(dir)?;
    if body {
        let newest = stored.held.last();
        let held = newest.ok_or_else(|| wrong(format!("{}: holds no version", dir.display())))?;
        print!("{}", String::from_utf8_lossy(&held.body));
        return Ok(Outcome::Done);
    }
    let head = &stored.head;
    println!("disk            {:016x}", head.disk);
    match &head.set {
        Some(set) => println!("voters          set {}: {}", set.epoch, voters(set)),
        None => println!("voters          none known"),
    }
    println!("complete since  set {}", head.active_in);
    println!("rounds below    {}", head.ceiling);
    match &head.committed {
        Some(tag) => println!("in force        r{}", tag.version),
        None => println!("in force        nothing known"),
    }
    for held in &stored.held {
        println!(
            "holds           r{}, digest {:032x}",
            held.tag.version, held.tag.digest.0
        );
    }
    println!("departures      {}", stored.marks.len());
    for mark in &stored.marks {
        let what = match mark.value.as_slice() {
            b"g" => "gone",
            b"d" => "draining",
            _ => "?",
        };
        println!("  {:<8}{:<24}{what}", mark.order, mark.key);
    }
    Ok(Outcome::Done)
}

fn verify(dir: &Path) -> Told {
    let stored = read(dir)?;
    let faults = faults(&stored);
    for fault in &faults {
        println!("{}: {fault}", dir.display());
    }
    anyhow::ensure!(
        faults.is_empty(),
        "{}: {} faults",
        dir.display(),
        faults.len()
    );
    println!("{}: whole: {}", dir.display(), summary(&stored));
    Ok(Outcome::Done)
}

/// What the checksums do not find: records that contradict each other.
fn faults(stored: &Stored) -> Vec<String> {
    let mut faults = Vec::new();
    for held in &stored.held {
        let version = held.tag.version;
        if Digest::of(&held.body) != held.tag.digest {
            faults.push(format!("r{version}: its body is not the one of its digest"));
        }
        match elderpond_flora::read(&held.body) {
            Ok(read) if read.version_number.0 != version => {
                faults.push(format!("r{version}: its body says {}", read.version_number));
            }
            Ok(_) => {}
            Err(fault) => faults.push(format!("r{version}: {fault}")),
        }
    }
    if let Some(tag) = stored.head.committed
        && !stored
            .held
            .iter()
            .any(|held| held.tag.version >= tag.version)
    {
        faults.push(format!(
            "r{} is in force, and neither it nor a higher one is here",
            tag.version
        ));
    }
    if let Some(set) = &stored.head.set
        && stored.head.active_in > set.epoch
    {
        faults.push(format!(
            "complete since set {}, and knows only set {}",
            stored.head.active_in, set.epoch
        ));
    }
    faults
}

fn import(told: &Import) -> Told {
    let stored = export::read(&told.file)?;
    let (file, dir) = (told.file.display(), told.dir.display());
    let faults = faults(&stored);
    if let Some(first) = faults.first() {
        return Err(wrong(format!("{file}: {first}")));
    }
    if told.dir.exists() {
        let held =
            std::fs::read_dir(&told.dir).map_err(|error| wrong(format!("{dir}: {error}")))?;
        if let Some(Ok(entry)) = held.into_iter().next() {
            let name = entry.file_name();
            return Err(wrong(format!(
                "{dir}: not empty: holds {name:?}; an import replaces nothing"
            )));
        }
    }
    if !told.yes {
        println!("{dir} would be filled with {}", summary(&stored));
        return Err(wrong(
            "nothing was done: say --yes if no hive has run on this disk since the export, \
             or if every disk of the system is lost",
        ));
    }
    Storage::fill(&told.dir, &stored)?;
    println!("{dir}: {}", summary(&stored));
    Ok(Outcome::Done)
}

fn summary(stored: &Stored) -> String {
    let versions: Vec<String> = stored
        .held
        .iter()
        .map(|it| format!("r{}", it.tag.version))
        .collect();
    let versions = if versions.is_empty() {
        "no version".into()
    } else {
        versions.join(", ")
    };
    format!(
        "disk {:016x}, {versions}, {} departures",
        stored.head.disk,
        stored.marks.len()
    )
}

fn voters(set: &VoterSet) -> String {
    let all = set
        .voters
        .iter()
        .map(|it| format!("{}/{:x}", it.node, it.disk));
    all.collect::<Vec<_>>().join(", ")
}
