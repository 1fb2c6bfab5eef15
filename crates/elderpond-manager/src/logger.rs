//! The program's own logger: plain lines on standard error, bounded in pace, never waited for.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use log::{LevelFilter, Log, Metadata, Record};

use crate::counters::Counters;

/// Lines that may wait to be written; a reader of standard error may be slow or gone.
const WAITING: usize = 256;
/// Lines a second; what peers do wrong must not fill a disk.
const LINES_PER_S: u64 = 50;
/// Target of lines that somebody has asked for: those do not count against the pace.
pub const ON_REQUEST: &str = "on request";
/// A line is cut to so many bytes.
const LONGEST: usize = 512;
const LONGEST_ASKED: usize = 4096;

struct Logger {
    lines: SyncSender<Line>,
    counters: Arc<Counters>,
    started: Instant,
    /// The second that is counted, and lines written in it.
    second: AtomicU64,
    count: AtomicU64,
}

enum Line {
    Text(String),
    Flush(SyncSender<()>),
}

/// Starts the logger. Lines are written by a thread of their own, so that a full pipe stalls
/// nothing but them.
pub fn start(counters: Arc<Counters>) {
    let (lines, waiting) = sync_channel(WAITING);
    let logger = Logger {
        lines,
        counters,
        started: Instant::now(),
        second: AtomicU64::new(0),
        count: AtomicU64::new(0),
    };
    let writer = std::thread::Builder::new().name("logger".to_owned());
    if writer.spawn(move || write(&waiting)).is_ok()
        && log::set_boxed_logger(Box::new(logger)).is_ok()
    {
        log::set_max_level(LevelFilter::Info);
    }
}

fn write(waiting: &Receiver<Line>) {
    let mut out = std::io::stderr();
    for line in waiting {
        match line {
            Line::Text(text) => drop(out.write_all(text.as_bytes())),
            Line::Flush(done) => drop(done.send(())),
        }
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let age = self.started.elapsed();
        if self.second.swap(age.as_secs(), Ordering::Relaxed) != age.as_secs() {
            self.count.store(0, Ordering::Relaxed);
        }
        let asked = record.target() == ON_REQUEST;
        if !asked && self.count.fetch_add(1, Ordering::Relaxed) >= LINES_PER_S {
            self.counters.log_dropped.one();
            return;
        }
        let longest = if asked { LONGEST_ASKED } else { LONGEST };
        let mut text = format!(
            "{:9.3} {:5} {}",
            age.as_secs_f64(),
            record.level(),
            record.args()
        );
        text.truncate(text.floor_char_boundary(longest));
        text.push('\n');
        if self.lines.try_send(Line::Text(text)).is_err() {
            self.counters.log_dropped.one();
        }
    }

    /// Waits, not for long, until what was logged is written.
    fn flush(&self) {
        let (done, wait) = sync_channel(1);
        if self.lines.try_send(Line::Flush(done)).is_ok() {
            let _ = wait.recv_timeout(Duration::from_millis(200));
        }
    }
}
