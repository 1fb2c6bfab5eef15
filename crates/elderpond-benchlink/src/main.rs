//! Hosts elderpond managers on the bench's wire: reads batches of events on standard input and
//! writes one reply per batch on standard output. It decides nothing.

mod decode;
mod encode;
mod host;

use std::io::{self, Read, Write};
use std::process::ExitCode;

/// Why the program ends before its input does.
#[derive(Debug, thiserror::Error)]
enum Fault {
    #[error(transparent)]
    Frame(#[from] decode::FrameError),
    #[error("cannot read or write: {0}")]
    Io(#[from] io::Error),
}

fn main() -> ExitCode {
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("elderpond-benchlink: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), Fault> {
    let mut host = host::Host::default();
    let mut offset = 0;
    while let Some(frame) = decode::read_frame(input, offset)? {
        let reply = host.batch(&frame, offset)?;
        offset += frame.len() as u64;
        output.write_all(&reply)?;
        output.flush()?;
    }
    Ok(())
}
