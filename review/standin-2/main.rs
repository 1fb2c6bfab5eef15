//! Stand-ins for the cases 4 to 6 of the review: the platform, the operator, workers and clients.
//!
//! `standin-2 CASE FOLDER TROUBLE` plays one case against the program of the deploy file, writes
//! `record.txt` into the folder, and ends with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With a `TROUBLE` of 0 the disruption is left out.

mod cases;
mod clients;
mod fleet;
mod http;
mod sys;
mod worker;

use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, trouble] = arguments.as_slice() else {
        eprintln!("usage: standin-2 CASE FOLDER TROUBLE");
        return ExitCode::from(2);
    };
    let trouble = trouble != "0";
    let played = match case.as_str() {
        "grace" => cases::grace(folder, trouble),
        "last" => cases::last(folder, trouble),
        "limits" => cases::limits(folder, trouble),
        _ => Err(format!("no case {case}")),
    };
    match played {
        Ok(Verdict::Held) => ExitCode::from(0),
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(why) => {
            eprintln!("the case could not run: {why}");
            ExitCode::from(2)
        }
    }
}
