//! What happens to a soaked fleet, and when: drawn from a seed, or read from a file.
//!
//! One event a line: seconds since the first request, what happens, to which machine, and for how long.

use std::fmt;

use anyhow::{Context, bail};

/// A starved process is stopped once in each span of so many seconds.
pub const STARVE_EVERY_S: f64 = 0.5;

/// How many machines there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Control nodes.
    pub control_nodes: u8,
    /// Proxies.
    pub proxies: u8,
    /// Workers.
    pub workers: u8,
}

impl Size {
    /// Control nodes that may be away at one time.
    #[must_use]
    pub fn losses(&self) -> u8 {
        (self.control_nodes - 1) / 2
    }
}

/// A machine with a process of the program; counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Machine {
    /// A control node.
    Control(u8),
    /// A proxy.
    Proxy(u8),
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// SIGTERM; it is started again once it has ended.
    Terminate(Machine),
    /// SIGKILL; it is started again after so many seconds.
    Kill(Machine, f64),
    /// SIGSTOP, and SIGCONT after so many seconds.
    Freeze(Machine, f64),
    /// SIGHUP.
    Reload(Machine),
    /// All proxies get SIGTERM, one each so many seconds.
    Roll(f64),
    /// It runs for a part of each half second only: stopped for so many seconds of each, for so many in all.
    Starve(Machine, f64, f64),
    /// The same for all proxies at once.
    StarveAll(f64, f64),
    /// From now on configurations let clients be idle, and within a head, for so many seconds.
    Limits(f64, f64),
    /// A control node is killed and its disk emptied; it is started again after so many seconds.
    Empty(u8, f64),
    /// All control nodes are killed, and started again after so many seconds.
    Blackout(f64),
    /// The way between two machines is cut for so many seconds.
    Cut(Machine, Machine, f64),
    /// Two control nodes, which still reach each other, are cut off from all others for so many seconds.
    Isolate(u8, u8, f64),
    /// So many changes, one each so many seconds.
    Changes(u32, f64),
    /// A configuration that is not valid is sent.
    Invalid,
    /// Two configurations under one number are sent at once.
    Race,
    /// A worker is drained and leaves; another takes its place.
    Drain(u8),
    /// A worker ends without a word; another takes its place.
    Crash(u8),
    /// Two workers end without a word; each one's address becomes that of the other's successor.
    Swap(u8, u8),
    /// A worker takes several times as long for so many seconds.
    Slow(u8, f64),
}

/// An event and its moment, in seconds since the first request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Planned {
    /// When.
    pub at_s: f64,
    /// What.
    pub event: Event,
}

impl Planned {
    /// Seconds since the first request until it is over on a fleet of that size, about.
    #[must_use]
    pub fn ends_at_s(&self, size: Size) -> f64 {
        let turns_s = match self.event {
            Event::Roll(every_s) => every_s * f64::from(size.proxies),
            _ => 0.0,
        };
        self.at_s + turns_s + self.event.lasts_s()
    }
}

impl Event {
    /// Seconds until its machine is back, about.
    #[must_use]
    pub fn lasts_s(&self) -> f64 {
        match *self {
            Self::Terminate(_) | Self::Drain(_) | Self::Swap(..) | Self::Roll(_) => 3.0,
            Self::Kill(_, down_s) | Self::Empty(_, down_s) | Self::Blackout(down_s) => down_s,
            Self::Freeze(_, span_s) | Self::Slow(_, span_s) => span_s,
            Self::Starve(_, _, span_s) | Self::StarveAll(_, span_s) => span_s,
            Self::Cut(_, _, cut_s) | Self::Isolate(_, _, cut_s) => cut_s,
            Self::Changes(count, every_s) => f64::from(count) * every_s,
            Self::Reload(_) | Self::Invalid | Self::Race | Self::Crash(_) | Self::Limits(..) => 0.0,
        }
    }

    /// The control nodes that it takes away for a while.
    #[must_use]
    pub fn takes_control_nodes(&self) -> Vec<u8> {
        match *self {
            Self::Terminate(Machine::Control(node))
            | Self::Kill(Machine::Control(node), _)
            | Self::Freeze(Machine::Control(node), _)
            | Self::Cut(Machine::Control(node), Machine::Control(_), _)
            | Self::Empty(node, _) => vec![node],
            Self::Isolate(one, other, _) => vec![one, other],
            _ => Vec::new(),
        }
    }
}

impl fmt::Display for Machine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Control(node) => write!(f, "control-{}", node + 1),
            Self::Proxy(proxy) => write!(f, "proxy-{}", proxy + 1),
        }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Terminate(machine) => write!(f, "terminate {machine}"),
            Self::Kill(machine, down_s) => write!(f, "kill {machine} {down_s:.3}"),
            Self::Freeze(machine, frozen_s) => write!(f, "freeze {machine} {frozen_s:.3}"),
            Self::Reload(machine) => write!(f, "reload {machine}"),
            Self::Roll(every_s) => write!(f, "roll {every_s:.3}"),
            Self::Starve(machine, stopped_s, span_s) => {
                write!(f, "starve {machine} {stopped_s:.3} {span_s:.3}")
            }
            Self::StarveAll(stopped_s, span_s) => {
                write!(f, "starve-all {stopped_s:.3} {span_s:.3}")
            }
            Self::Limits(idle_s, header_s) => write!(f, "limits {idle_s:.3} {header_s:.3}"),
            Self::Empty(node, down_s) => write!(f, "empty {} {down_s:.3}", Machine::Control(*node)),
            Self::Blackout(down_s) => write!(f, "blackout {down_s:.3}"),
            Self::Cut(one, other, cut_s) => write!(f, "cut {one} {other} {cut_s:.3}"),
            Self::Isolate(one, other, cut_s) => {
                let (one, other) = (Machine::Control(*one), Machine::Control(*other));
                write!(f, "isolate {one} {other} {cut_s:.3}")
            }
            Self::Changes(count, every_s) => write!(f, "changes {count} {every_s:.3}"),
            Self::Invalid => write!(f, "invalid"),
            Self::Race => write!(f, "race"),
            Self::Drain(worker) => write!(f, "drain worker-{}", worker + 1),
            Self::Crash(worker) => write!(f, "crash worker-{}", worker + 1),
            Self::Swap(one, other) => write!(f, "swap worker-{} worker-{}", one + 1, other + 1),
            Self::Slow(worker, span_s) => write!(f, "slow worker-{} {span_s:.3}", worker + 1),
        }
    }
}

impl fmt::Display for Planned {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:8.3} {}", self.at_s, self.event)
    }
}

/// Reads a schedule as it is printed before a run, or while it is played. Empty lines, and lines that begin
/// with `#`, say nothing.
///
/// # Errors
///
/// A line that names no event, no machine of that size, or no time: with the line's number.
pub fn parse(text: &str, size: Size) -> anyhow::Result<Vec<Planned>> {
    let mut all = Vec::new();
    for (number, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let planned = parse_line(line, size);
        all.push(planned.with_context(|| format!("line {}: `{line}`", number + 1))?);
    }
    Ok(all)
}

/// Stands behind the time of an event that is played.
const SECONDS: &str = "s";

fn parse_line(line: &str, size: Size) -> anyhow::Result<Planned> {
    let mut words = line.split_whitespace().peekable();
    let at_s = parse_seconds(words.next())?;
    words.next_if_eq(&SECONDS);
    let event = match words.next().context("names no event")? {
        "terminate" => Event::Terminate(parse_machine(words.next(), size)?),
        "kill" => Event::Kill(
            parse_machine(words.next(), size)?,
            parse_seconds(words.next())?,
        ),
        "freeze" => Event::Freeze(
            parse_machine(words.next(), size)?,
            parse_seconds(words.next())?,
        ),
        "reload" => Event::Reload(parse_machine(words.next(), size)?),
        "roll" => Event::Roll(parse_seconds(words.next())?),
        "starve" => Event::Starve(
            parse_machine(words.next(), size)?,
            parse_stopped(words.next())?,
            parse_seconds(words.next())?,
        ),
        "starve-all" => {
            Event::StarveAll(parse_stopped(words.next())?, parse_seconds(words.next())?)
        }
        "limits" => Event::Limits(parse_limit(words.next())?, parse_limit(words.next())?),
        "empty" => match parse_machine(words.next(), size)? {
            Machine::Control(node) => Event::Empty(node, parse_seconds(words.next())?),
            Machine::Proxy(_) => bail!("a proxy has no disk"),
        },
        "cut" => Event::Cut(
            parse_machine(words.next(), size)?,
            parse_machine(words.next(), size)?,
            parse_seconds(words.next())?,
        ),
        "isolate" => Event::Isolate(
            parse_numbered(words.next(), "control-", size.control_nodes)?,
            parse_numbered(words.next(), "control-", size.control_nodes)?,
            parse_seconds(words.next())?,
        ),
        "blackout" => Event::Blackout(parse_seconds(words.next())?),
        "changes" => {
            let count = words.next().and_then(|count| count.parse().ok());
            Event::Changes(
                count.context("names no count")?,
                parse_seconds(words.next())?,
            )
        }
        "invalid" => Event::Invalid,
        "race" => Event::Race,
        "drain" => Event::Drain(parse_numbered(words.next(), "worker-", size.workers)?),
        "crash" => Event::Crash(parse_numbered(words.next(), "worker-", size.workers)?),
        "swap" => Event::Swap(
            parse_numbered(words.next(), "worker-", size.workers)?,
            parse_numbered(words.next(), "worker-", size.workers)?,
        ),
        "slow" => Event::Slow(
            parse_numbered(words.next(), "worker-", size.workers)?,
            parse_seconds(words.next())?,
        ),
        other => bail!("there is no event `{other}`"),
    };
    match words.next() {
        Some(word) => bail!("`{word}` is too much"),
        None => Ok(Planned { at_s, event }),
    }
}

fn parse_seconds(word: Option<&str>) -> anyhow::Result<f64> {
    let seconds = word.and_then(|word| word.parse::<f64>().ok());
    let seconds = seconds.filter(|seconds| (0.0..=86_400.0).contains(seconds));
    seconds.context("names no time in seconds")
}

/// Seconds of each half second for which a starved process is stopped.
fn parse_stopped(word: Option<&str>) -> anyhow::Result<f64> {
    let seconds = parse_seconds(word)?;
    if seconds >= STARVE_EVERY_S {
        bail!("a starved process runs for a part of each {STARVE_EVERY_S} s");
    }
    Ok(seconds)
}

fn parse_limit(word: Option<&str>) -> anyhow::Result<f64> {
    let seconds = parse_seconds(word)?;
    if seconds <= 0.0 {
        bail!("a limit is above 0 s");
    }
    Ok(seconds)
}

fn parse_machine(word: Option<&str>, size: Size) -> anyhow::Result<Machine> {
    if let Ok(node) = parse_numbered(word, "control-", size.control_nodes) {
        return Ok(Machine::Control(node));
    }
    parse_numbered(word, "proxy-", size.proxies).map(Machine::Proxy)
}

/// The place, from 0, of what is counted from 1 behind a prefix.
fn parse_numbered(word: Option<&str>, prefix: &str, count: u8) -> anyhow::Result<u8> {
    let word = word.context("names no machine")?;
    let number = word
        .strip_prefix(prefix)
        .and_then(|it| it.parse::<u8>().ok());
    let number = number.filter(|number| (1..=count).contains(number));
    number
        .map(|number| number - 1)
        .with_context(|| format!("there is no machine `{word}`"))
}
