//! The gateway's command line.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use elderpond_skep::{Followed, SkepError};
use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};

/// elderpond: an API gateway that repairs itself.
#[derive(FromArgs)]
struct Command {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Verb {
    Hive(Hive),
    Forager(Forager),
    Check(Check),
    Rehearse(elderpond_rehearsal::Options),
}

/// run a hive: takes workers' beats and the operator's configurations, keeps and spreads them
#[derive(FromArgs)]
#[argh(subcommand, name = "hive")]
struct Hive {
    /// settings file; without it, the one that ELDERPOND_BOOT names
    #[argh(option)]
    settings: Option<PathBuf>,
}

/// run a forager: carries clients' requests to workers
#[derive(FromArgs)]
#[argh(subcommand, name = "forager")]
struct Forager {
    /// settings file; without it, the one that ELDERPOND_BOOT names
    #[argh(option)]
    settings: Option<PathBuf>,
}

/// say what is wrong with a settings file
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// settings file; without it, the one that ELDERPOND_BOOT names
    #[argh(option)]
    settings: Option<PathBuf>,
}

/// What is wrong with what the program was told: status 2.
const USAGE: u8 = 2;

fn main() -> ExitCode {
    let command: Command = argh::from_env();
    if let Err(error) = log_to_stderr() {
        eprintln!("elderpond: {error:#}");
        return ExitCode::FAILURE;
    }
    let done = match command.verb {
        Verb::Hive(told) => Followed::open(told.settings.as_deref())
            .map_err(Into::into)
            .and_then(|(file, skep)| elderpond_hive::run(file, skep)),
        Verb::Forager(told) => Followed::open(told.settings.as_deref())
            .map_err(Into::into)
            .and_then(|(file, skep)| elderpond_forager::run(file, skep)),
        Verb::Check(told) => Followed::open(told.settings.as_deref())
            .map(|(file, _)| println!("{}: nothing wrong", file.path().display()))
            .map_err(Into::into),
        Verb::Rehearse(options) => elderpond_rehearsal::run(options).and_then(|report| {
            print!("{report}");
            anyhow::ensure!(report.held(), "the rehearsal did not hold");
            Ok(())
        }),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("elderpond: {error:#}");
            match error.downcast_ref::<SkepError>() {
                Some(_) => ExitCode::from(USAGE),
                None => ExitCode::FAILURE,
            }
        }
    }
}

fn log_to_stderr() -> anyhow::Result<()> {
    let stderr = ConsoleAppender::builder().target(Target::Stderr).build();
    let config = Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(stderr)))
        .build(Root::builder().appender("stderr").build(LevelFilter::Info))?;
    log4rs::init_config(config)?;
    Ok(())
}
