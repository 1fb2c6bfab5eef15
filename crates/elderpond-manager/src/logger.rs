//! Log lines on standard error: laid out by `logforth`, bounded in pace and length, never waited for.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use log::LevelFilter;
use logforth::bridge::log::LogBridge;
use logforth::kv::KeyValues;
use logforth::layout::{JsonLayout, LogfmtLayout, TextLayout};
use logforth::record::Record;
use logforth::{Append, Diagnostic, Error, Layout};

use crate::counters::Counters;

/// Lines that may wait to be written; a reader of standard error may be slow or gone.
const WAITING: usize = 256;
/// Lines a second; what peers do wrong must not fill a disk.
const LINES_PER_S: u64 = 50;
/// Target of lines that somebody has asked for: those do not count against the pace.
pub const ON_REQUEST: &str = "on request";
/// A line holds so many bytes at the most.
const LONGEST: usize = 512;
const LONGEST_ASKED: usize = 4096;
/// What a layout puts around a message at the most: of a line that is too long, so much of the bound
/// is not the message's.
const AROUND: usize = 256;

/// How lines are laid out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// A JSON object a line.
    Json,
    /// `key=value` pairs.
    Logfmt,
}

impl Format {
    /// Their names in the operator's file, in the order of the enum.
    pub const NAMES: [&'static str; 3] = ["text", "json", "logfmt"];
    /// All of them, in the same order.
    pub const ALL: [Self; 3] = [Self::Text, Self::Json, Self::Logfmt];

    /// Its name.
    pub fn name(self) -> &'static str {
        Self::NAMES[self as usize]
    }

    fn layout(self) -> Box<dyn Layout> {
        match self {
            Self::Text => Box::new(TextLayout::default().no_color()),
            Self::Json => Box::new(JsonLayout::default()),
            Self::Logfmt => Box::new(LogfmtLayout::default()),
        }
    }
}

/// Takes lines as they are laid out, as many and as long as may be, and hands them to the writer.
#[derive(Debug)]
struct Bounded {
    layout: Box<dyn Layout>,
    lines: SyncSender<Line>,
    counters: Arc<Counters>,
    started: Instant,
    /// The second that is counted, and lines written in it.
    second: AtomicU64,
    count: AtomicU64,
}

#[derive(Debug)]
enum Line {
    Text(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Starts the logger. Lines are written by a thread of their own, so that a full pipe stalls
/// nothing but them.
pub fn start(counters: Arc<Counters>, format: Format) {
    let (lines, waiting) = sync_channel(WAITING);
    let writer = std::thread::Builder::new().name("logger".to_owned());
    if writer.spawn(move || write(&waiting)).is_err() {
        return;
    }
    let bounded = Bounded {
        layout: format.layout(),
        lines,
        counters,
        started: Instant::now(),
        second: AtomicU64::new(0),
        count: AtomicU64::new(0),
    };
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.append(bounded))
        .build();
    if log::set_boxed_logger(Box::new(LogBridge::new(logger))).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
}

fn write(waiting: &Receiver<Line>) {
    let mut out = std::io::stderr();
    for line in waiting {
        match line {
            Line::Text(text) => drop(out.write_all(&text)),
            Line::Flush(done) => drop(done.send(())),
        }
    }
}

impl Bounded {
    /// A line within the bound. One that is too long keeps the beginning of its message, laid out anew,
    /// so that it can be read by whatever reads the others.
    fn line(&self, record: &Record, longest: usize) -> Result<Vec<u8>, Error> {
        let mut line = self.layout.format(record, &[])?;
        if line.len() > longest {
            let mut message = record.payload().to_string();
            // Signs that a layout escapes take up to six times their room.
            let room = longest.saturating_sub(AROUND);
            let cost = |sign: char| {
                if sign.is_control() || "\"\\".contains(sign) {
                    6
                } else {
                    sign.len_utf8()
                }
            };
            let mut used = 0;
            let end = message.char_indices().find(|(_, sign)| {
                used += cost(*sign);
                used > room
            });
            message.truncate(end.map_or(message.len(), |(end, _)| end));
            let short = record.to_builder().key_values(KeyValues::empty());
            line = self
                .layout
                .format(&short.payload(format_args!("{message}")).build(), &[])?;
        }
        line.push(b'\n');
        Ok(line)
    }
}

impl Append for Bounded {
    fn append(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let age = self.started.elapsed();
        if self.second.swap(age.as_secs(), Ordering::Relaxed) != age.as_secs() {
            self.count.store(0, Ordering::Relaxed);
        }
        let asked = record.target() == ON_REQUEST;
        if !asked && self.count.fetch_add(1, Ordering::Relaxed) >= LINES_PER_S {
            self.counters.log_dropped.one();
            return Ok(());
        }
        let line = self.line(record, if asked { LONGEST_ASKED } else { LONGEST })?;
        if self.lines.try_send(Line::Text(line)).is_err() {
            self.counters.log_dropped.one();
        }
        Ok(())
    }

    /// Waits, not for long, until what was logged is written.
    fn flush(&self) -> Result<(), Error> {
        let (done, wait) = sync_channel(1);
        if self.lines.try_send(Line::Flush(done)).is_ok() {
            let _ = wait.recv_timeout(Duration::from_millis(200));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use logforth::record::Level;

    use super::*;

    fn bounded(format: Format) -> (Bounded, Receiver<Line>) {
        let (lines, waiting) = sync_channel(WAITING);
        let bounded = Bounded {
            layout: format.layout(),
            lines,
            counters: Arc::default(),
            started: Instant::now(),
            second: AtomicU64::new(0),
            count: AtomicU64::new(0),
        };
        (bounded, waiting)
    }

    fn taken(waiting: &Receiver<Line>) -> Vec<Vec<u8>> {
        let texts = waiting.try_iter().filter_map(|line| match line {
            Line::Text(text) => Some(text),
            Line::Flush(_) => None,
        });
        texts.collect()
    }

    fn say(bounded: &Bounded, target: &str, message: &str) {
        let message = format_args!("{message}");
        let record = Record::builder().level(Level::Info).target(target);
        bounded
            .append(&record.payload(message).build(), &[])
            .unwrap();
    }

    #[test]
    fn lines_are_bounded_in_length_and_can_be_read_all_the_same() {
        let hard = "\"\\\n\u{1}\u{e9}".repeat(400);
        for format in Format::ALL {
            for message in ["short", &"x".repeat(5000), &hard] {
                let (bounded, waiting) = bounded(format);
                say(&bounded, "here", message);
                let [line] = &taken(&waiting)[..] else {
                    panic!("not one line");
                };
                assert!(
                    line.len() <= LONGEST + 1,
                    "{format:?}: {} bytes",
                    line.len()
                );
                let text = std::str::from_utf8(line).unwrap();
                if format == Format::Json {
                    let read: serde_json::Value = serde_json::from_str(text).unwrap();
                    assert!(read.is_object());
                }
            }
        }
    }

    #[test]
    fn lines_are_bounded_in_pace_but_for_those_asked_for() {
        let (bounded, waiting) = bounded(Format::Text);
        (0..80).for_each(|_| say(&bounded, "here", "again"));
        say(&bounded, ON_REQUEST, "counters");
        assert_eq!(taken(&waiting).len() as u64, LINES_PER_S + 1);
        assert_eq!(bounded.counters.log_dropped.get(), 30);
    }

    #[test]
    fn nobody_waits_for_a_writer_that_stands_still() {
        let (bounded, waiting) = bounded(Format::Text);
        (0..WAITING + 10).for_each(|_| say(&bounded, ON_REQUEST, "again"));
        assert_eq!(bounded.counters.log_dropped.get(), 10);
        assert_eq!(taken(&waiting).len(), WAITING);
    }
}
