//! Stand-ins for the review's cases: the platform, workers, an operator and clients, as the users' pages have
//! them. `standin CASE RECORD FOLDER` plays a case against the built program, writes its record,
//! and keeps settings, logs and disks in FOLDER. Ends
//! with 1 if the rule was broken, 0 if it held, 2 if the case could not be played. `TROUBLE=0` leaves out the
//! disruption.

mod clients;
mod fleet;
mod http;
mod pipeline;
mod recover;
mod worker;

use std::fmt::Display;
use std::fs::File;
use std::io::Write;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use fleet::Fleet;

/// What a case needs beside its own steps.
pub struct Play {
    /// Whether the disruption takes place.
    pub trouble: bool,
    /// The repository's root.
    pub root: PathBuf,
    /// Where settings, logs and disks are.
    pub folder: PathBuf,
    started: Instant,
    file: Mutex<File>,
    /// What is to be ended, whatever happens.
    pub fleet: Mutex<Option<Arc<Fleet>>>,
}

impl Play {
    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Adds a line to the record.
    pub fn note(&self, what: impl Display) {
        let line = format!("{:9.3}  {what}\n", self.now());
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.write_all(line.as_bytes());
    }

    /// Adds a line to the record, and prints it.
    pub fn say(&self, what: impl Display) {
        println!("{:9.3}  {what}", self.now());
        self.note(what);
    }

    /// Ends all processes, and this one.
    fn end(&self, status: i32) -> ! {
        if let Some(fleet) = self.fleet.lock().unwrap_or_else(PoisonError::into_inner).take() {
            fleet.close();
        }
        self.say(format!("ends with {status}"));
        std::process::exit(status);
    }
}

/// A case that takes longer than this is ended.
const LONGEST_S: f64 = 112.0;

/// How a case ends: whether the rule held, or why it could not be played.
pub type Outcome = Result<bool, String>;

/// Numbers that look drawn, the same for the same seed (splitmix64).
pub struct Draw(pub u64);

impl Draw {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Letters and digits.
    pub fn token(&mut self, length: usize) -> String {
        const ALL: &[u8; 62] = b"0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";
        (0..length)
            .map(|_| ALL[(self.next() % 62) as usize] as char)
            .collect()
    }
}

/// Sleeps; `seconds` may be below 0.
pub fn pause(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut next = || arguments.next().unwrap_or_default();
    let (case, record, folder) = (next(), next(), PathBuf::from(next()));
    let Ok(file) = File::create(&record) else {
        eprintln!("the record {record} can't be written");
        std::process::exit(2);
    };
    if !folder.is_dir() {
        eprintln!("there is no folder {}", folder.display());
        std::process::exit(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let root = std::env::current_dir().unwrap_or_default();
    let play = Arc::new(Play {
        trouble,
        root,
        folder,
        started: Instant::now(),
        file: Mutex::new(file),
        fleet: Mutex::default(),
    });
    let watched = play.clone();
    std::thread::spawn(move || {
        pause(LONGEST_S);
        watched.say("it took too long");
        watched.end(2);
    });
    play.say(format!(
        "case {case}, the disruption {}",
        if trouble { "takes place" } else { "is left out" }
    ));
    let played = catch_unwind(AssertUnwindSafe(|| match case.as_str() {
        "recover" => recover::play(&play),
        "pipeline" => pipeline::play(&play),
        _ => Err("there is no such case".to_owned()),
    }));
    let outcome = played.unwrap_or_else(|_| Err("the stand-in gave up".to_owned()));
    let status = match outcome {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(why) => {
            play.say(format!("the case could not be played: {why}"));
            2
        }
    };
    play.end(status);
}
