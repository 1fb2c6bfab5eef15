//! Orders to the relay, its answers, and its news of proxies.

use std::borrow::Cow;

use elderpond::interface::{Action, Retry, Scope};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::{LARGEST, LONGEST_MS, Malformed, figure};
use crate::roster::Names;

/// Path of a call with orders.
pub const ORDERS: &str = "/orders";
/// Path of the news.
pub const EVENTS: &str = "/events";
/// Bytes of orders that a call may hold.
pub const LARGEST_CALL: usize = 60_000;
/// What stands around the orders of a call.
const HEAD: &str = "{\"changes\":[";
const TAIL: &str = "]}";

/// What an order sets. A later order of the same key makes an earlier one idle.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// A line of a table.
    Line(u16, u32),
    /// A whole table.
    Table(u16),
    /// What a proxy is bound to for some classes.
    Binding(u16, u16),
    /// Whether a worker is shut out.
    Barred(u32),
    /// The level of some classes in a table, or in all.
    Level(Option<u16>, u16),
    /// An answer asked for.
    Mark(u64),
}

/// One order, ready to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// What it sets.
    pub key: Key,
    /// The JSON object.
    pub text: String,
}

#[derive(Default, Serialize)]
struct Change<'a> {
    op: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    id: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    table: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    target: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    classes: Option<Vec<&'a str>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    rps: Option<f32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    level: Option<f32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry: Option<u8>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    flag: Option<u8>,
}

/// The order of an action; none if it is not one for the relay or names a worker that is unknown.
pub fn order(action: &Action, names: &Names) -> Option<Order> {
    let blank = Change::default();
    let (key, change) = match *action {
        Action::SetWeight {
            table,
            worker,
            weight,
        } => (
            Key::Line(table, worker),
            Change {
                op: "SET",
                table: Some(table),
                target: Some(names.worker(worker)?),
                rps: Some(weight as f32),
                ..blank
            },
        ),
        Action::Clear { table } => (
            Key::Table(table),
            Change {
                op: "DEL",
                table: Some(table),
                ..blank
            },
        ),
        Action::Bind {
            classes,
            table,
            proxy,
        } => (
            Key::Binding(proxy, classes),
            Change {
                op: "USE",
                id: Some(proxy),
                table: Some(table),
                classes: names.classes(classes),
                ..blank
            },
        ),
        Action::HoldBack { worker, out } => (
            Key::Barred(worker),
            Change {
                op: if out { "OUT" } else { "IN" },
                target: Some(names.worker(worker)?),
                ..blank
            },
        ),
        Action::Allow {
            scope,
            classes,
            quota,
            retry,
        } => {
            let table = match scope {
                Scope::Table(table) => Some(table),
                Scope::All => None,
            };
            (
                Key::Level(table, classes),
                Change {
                    op: "LIMIT",
                    table,
                    classes: names.classes(classes),
                    level: Some(quota as f32),
                    retry: Some(match retry {
                        Retry::No => 0,
                        Retry::Proven => 1,
                        Retry::Once => 2,
                        Retry::Twice => 3,
                    }),
                    ..blank
                },
            )
        }
        Action::Mark { mark } => (
            Key::Mark(mark),
            Change {
                op: "SYNC",
                ticket: Some(mark),
                flag: Some(0),
                ..blank
            },
        ),
        Action::Timer { .. }
        | Action::Probe { .. }
        | Action::Log { .. }
        | Action::Observe
        | Action::QueryList => return None,
    };
    let text = serde_json::to_string(&change).ok()?;
    Some(Order { key, text })
}

/// How many of these orders, from the first, one call holds; one at least.
pub fn fitting(orders: &[Order]) -> usize {
    let mut length = HEAD.len() + TAIL.len();
    let fits = orders.iter().take_while(|order| {
        length += order.text.len() + 1;
        length <= LARGEST_CALL
    });
    fits.count().max(1).min(orders.len())
}

/// The body of a call.
pub fn call(orders: &[Order]) -> String {
    let texts: Vec<&str> = orders.iter().map(|order| &*order.text).collect();
    format!("{HEAD}{}{TAIL}", texts.join(","))
}

/// What the relay says to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// So many orders, from the first, were taken.
    Taken(usize),
    /// Nothing was done; the run has not begun.
    Throttled,
    /// It was no such call.
    Invalid,
}

#[derive(Deserialize)]
struct AnswerBody<'a> {
    #[serde(default)]
    taken: Option<usize>,
    #[serde(borrow, default)]
    error: Option<&'a RawValue>,
}

/// Reads an answer to a call of `sent` orders; none if it cannot be read, and so says nothing.
pub fn answer(body: &[u8], sent: usize) -> Option<Answer> {
    let body: AnswerBody = serde_json::from_slice(body).ok()?;
    if let Some(error) = body.error {
        return match error.get() {
            error if error.contains("throttled") => Some(Answer::Throttled),
            error if error.contains("invalid") => Some(Answer::Invalid),
            _ => None,
        };
    }
    body.taken.filter(|taken| *taken <= sent).map(Answer::Taken)
}

/// One line of news.
#[derive(Debug, PartialEq)]
pub enum News<'a> {
    /// Only a sign of life.
    Alive,
    /// A proxy's stream is up.
    Attach {
        /// Its number.
        proxy: u16,
        /// Name of its zone.
        zone: Cow<'a, str>,
        /// Requests a second; rough.
        rate: f64,
        /// Whether it holds no table that was ordered.
        fresh: bool,
    },
    /// A proxy's stream is down.
    Detach {
        /// Its number.
        proxy: u16,
    },
    /// A proxy has applied everything up to a mark.
    Done {
        /// Its number.
        proxy: u16,
        /// The mark.
        mark: u64,
    },
    /// A type that is none of these.
    Unknown,
}

#[derive(Deserialize)]
struct Envelope<'a> {
    #[serde(borrow, default, rename = "type")]
    kind: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    object: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct AttachObject<'a> {
    id: u16,
    #[serde(borrow)]
    site: Cow<'a, str>,
    #[serde(default)]
    rps: f64,
    #[serde(default)]
    new: bool,
}

#[derive(Deserialize)]
struct DetachObject {
    id: u16,
}

#[derive(Deserialize)]
struct DoneObject {
    id: u16,
    seq: u64,
    #[serde(default)]
    ms: f64,
}

/// Reads one line of news.
pub fn news(line: &[u8]) -> Result<News<'_>, Malformed> {
    let envelope: Envelope = serde_json::from_slice(line)?;
    let Some(kind) = envelope.kind else {
        return Ok(News::Alive);
    };
    let object = envelope.object.map_or("{}", RawValue::get);
    Ok(match &*kind {
        "attach" => {
            let object: AttachObject = serde_json::from_str(object)?;
            News::Attach {
                proxy: object.id,
                zone: object.site,
                rate: figure("rps", object.rps, LARGEST)?,
                fresh: object.new,
            }
        }
        "detach" => {
            let object: DetachObject = serde_json::from_str(object)?;
            News::Detach { proxy: object.id }
        }
        "done" => {
            let object: DoneObject = serde_json::from_str(object)?;
            figure("ms", object.ms, LONGEST_MS)?;
            News::Done {
                proxy: object.id,
                mark: object.seq,
            }
        }
        _ => News::Unknown,
    })
}
