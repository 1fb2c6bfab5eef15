//! The gateway's command line: a module a verb.
//!
//! Status 0: done. 1: it could not be done. 2: what it was told is wrong (arguments, a settings
//! file, a configuration, an export). 3: `config diff` found differences.

mod call;
mod check;
mod completion;
mod config;
mod export;
mod outcome;
mod room;
mod run;
mod status;
mod storage;

use std::process::ExitCode;

use argh::{ArgsInfo, FromArgs};
use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};

use crate::outcome::{DIFFERS, FAILED, Outcome, TOLD_WRONG, Told};

/// elderpond: an API gateway that repairs itself.
#[derive(ArgsInfo, FromArgs)]
struct Command {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(ArgsInfo, FromArgs)]
#[argh(subcommand)]
enum Verb {
    Hive(run::Hive),
    Proxy(run::Proxy),
    Check(check::Check),
    Status(status::Status),
    Workers(status::Workers),
    Room(room::Room),
    Config(config::Config),
    Storage(storage::StorageVerb),
    Rehearse(elderpond_rehearsal::Options),
    Soak(elderpond_rehearsal::soak::SoakOptions),
    Completion(completion::Completion),
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args_os()
        .map(|word| word.to_string_lossy().into_owned())
        .collect();
    let mut words: Vec<&str> = words.iter().skip(1).map(String::as_str).collect();
    if let Some(verb) = words.first_mut() {
        *verb = name_of_today(verb);
    }
    let command = match Command::from_args(&["elderpond"], &words) {
        Ok(command) => command,
        Err(early) if early.status.is_ok() => {
            println!("{}", early.output);
            return ExitCode::SUCCESS;
        }
        Err(early) => {
            eprintln!(
                "{}\nelderpond --help says what there is.",
                early.output.trim_end()
            );
            return ExitCode::from(TOLD_WRONG);
        }
    };
    if let Err(error) = log_to_stderr() {
        eprintln!("elderpond: {error:#}");
        return ExitCode::from(FAILED);
    }
    let done = match command.verb {
        Verb::Hive(told) => told.run(),
        Verb::Proxy(told) => told.run(),
        Verb::Check(told) => told.run(),
        Verb::Status(told) => told.run(),
        Verb::Workers(told) => told.run(),
        Verb::Room(told) => told.run(),
        Verb::Config(told) => told.run(),
        Verb::Storage(told) => told.run(),
        Verb::Rehearse(options) => rehearse(options),
        Verb::Soak(options) => soak(&options),
        Verb::Completion(told) => told.run(&Command::get_args_info()),
    };
    match done {
        Ok(Outcome::Done) => ExitCode::SUCCESS,
        Ok(Outcome::Differs) => ExitCode::from(DIFFERS),
        Err(error) => {
            eprintln!("elderpond: {error:#}");
            ExitCode::from(outcome::status(&error))
        }
    }
}

/// The name of a subcommand, also for its older one: deploy files and scripts have that still.
fn name_of_today(verb: &str) -> &str {
    match verb {
        "forager" => "proxy",
        other => other,
    }
}

fn rehearse(options: elderpond_rehearsal::Options) -> Told {
    let report = elderpond_rehearsal::run(options)?;
    print!("{report}");
    anyhow::ensure!(report.held(), "the rehearsal did not hold");
    Ok(Outcome::Done)
}

fn soak(options: &elderpond_rehearsal::soak::SoakOptions) -> Told {
    let report = elderpond_rehearsal::soak::soak(options)?;
    print!("{report}");
    anyhow::ensure!(report.held(), "the soak did not hold");
    Ok(Outcome::Done)
}

fn log_to_stderr() -> anyhow::Result<()> {
    let stderr = ConsoleAppender::builder().target(Target::Stderr).build();
    let config = Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(stderr)))
        .build(Root::builder().appender("stderr").build(LevelFilter::Info))?;
    log4rs::init_config(config)?;
    Ok(())
}
