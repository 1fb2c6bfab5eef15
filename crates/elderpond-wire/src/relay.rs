//! Orders to the relay, its answers, and its news of proxies.

use std::borrow::Cow;

use elderpond::interface::{Action, Retry, Scope, WorkerId};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::{LARGEST, LONGEST_MS, Malformed, Naming, Numbering, figure, object};

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
    /// An answer asked for: one to a later mark answers for all before it.
    Mark,
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
pub fn order(action: &Action, names: &impl Naming) -> Option<Order> {
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
            Key::Mark,
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

/// What a call asks for, as far as it can be read.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The orders, from the first, up to the first that cannot be read.
    pub orders: Vec<Action>,
    /// Orders that the call held.
    pub sent: usize,
}

#[derive(Deserialize)]
struct CallBody<'a> {
    #[serde(borrow)]
    changes: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct ReadChange<'a> {
    #[serde(borrow)]
    op: Cow<'a, str>,
    id: Option<u16>,
    table: Option<Place>,
    #[serde(borrow, default)]
    target: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    classes: Option<Classes<'a>>,
    rps: Option<f64>,
    level: Option<f64>,
    retry: Option<u8>,
    ticket: Option<u64>,
}

/// A table by its number, or `*` for all.
#[derive(Deserialize)]
#[serde(untagged)]
enum Place {
    One(u16),
    All(String),
}

/// Classes by their names, or `*` for all.
#[derive(Deserialize)]
#[serde(untagged)]
enum Classes<'a> {
    Some(#[serde(borrow)] Vec<Cow<'a, str>>),
    All(String),
}

/// Reads a call, as the relay does: in sequence, halting at the first order that cannot be read.
///
/// # Errors
/// What is no such call at all; it is answered with [`Answer::Invalid`].
pub fn read_call(body: &[u8], names: &impl Numbering) -> Result<Call, Malformed> {
    let body: CallBody = object(body)?;
    let sent = body.changes.len();
    let orders = body.changes.into_iter();
    let orders = orders.map_while(|change| read_order(change.get().as_bytes(), names));
    Ok(Call {
        orders: orders.collect(),
        sent,
    })
}

/// One order; none if it cannot be read or used.
fn read_order(text: &[u8], names: &impl Numbering) -> Option<Action> {
    let change: ReadChange = object(text).ok()?;
    let (table, every) = match change.table {
        None => (None, true),
        Some(Place::One(table)) => (Some(table), false),
        Some(Place::All(star)) => (None, star == "*"),
    };
    let classes = match change.classes {
        None => 0,
        Some(Classes::All(star)) if star == "*" => 0,
        Some(Classes::All(_)) => return None,
        Some(Classes::Some(named)) => {
            let bit = |name: &Cow<str>| names.class_index(name).filter(|index| *index < 16);
            let bits = named
                .iter()
                .map(|name| bit(name).map(|index| 1u16 << index));
            bits.sum::<Option<u16>>()?
        }
    };
    let worker = |target: Option<Cow<str>>| -> Option<WorkerId> { names.worker_id(&target?) };
    let positive = |value: Option<f64>| value.and_then(|value| figure("", value, LARGEST).ok());
    Some(match &*change.op {
        "SET" => Action::SetWeight {
            table: table?,
            worker: worker(change.target)?,
            weight: positive(change.rps)?,
        },
        "DEL" => Action::Clear { table: table? },
        "USE" => Action::Bind {
            classes,
            table: table?,
            proxy: change.id?,
        },
        "OUT" | "IN" => Action::HoldBack {
            worker: worker(change.target)?,
            out: change.op == "OUT",
        },
        "LIMIT" => Action::Allow {
            scope: match table {
                Some(table) => Scope::Table(table),
                None if every => Scope::All,
                None => return None,
            },
            classes,
            quota: positive(change.level)?,
            retry: match change.retry? {
                0 => Retry::No,
                1 => Retry::Proven,
                2 => Retry::Once,
                3 => Retry::Twice,
                _ => return None,
            },
        },
        "SYNC" => Action::Mark {
            mark: change.ticket?,
        },
        _ => return None,
    })
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
    error: Option<Cow<'a, str>>,
}

/// Reads an answer to a call of `sent` orders; none if it cannot be read, and so says nothing.
pub fn answer(body: &[u8], sent: usize) -> Option<Answer> {
    let body: AnswerBody = object(body).ok()?;
    if let Some(error) = body.error {
        return match &*error {
            "throttled" => Some(Answer::Throttled),
            "invalid" => Some(Answer::Invalid),
            _ => None,
        };
    }
    body.taken.filter(|taken| *taken <= sent).map(Answer::Taken)
}

/// The body of an answer.
pub fn write_answer(answer: Answer) -> String {
    match answer {
        Answer::Taken(taken) => format!("{{\"taken\":{taken}}}"),
        Answer::Throttled => "{\"error\":\"throttled\"}".to_owned(),
        Answer::Invalid => "{\"error\":\"invalid\"}".to_owned(),
    }
}

/// One line of news.
#[derive(Clone, Debug, PartialEq)]
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
        /// How long it took, in milliseconds.
        took_ms: f64,
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
    rps: f64,
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
    ms: f64,
}

/// Reads one line of news.
pub fn news(line: &[u8]) -> Result<News<'_>, Malformed> {
    let envelope: Envelope = object(line)?;
    let Some(kind) = envelope.kind else {
        return Ok(News::Alive);
    };
    let body = envelope.object.map_or("{}", RawValue::get).as_bytes();
    Ok(match &*kind {
        "attach" => {
            let object: AttachObject = object(body)?;
            News::Attach {
                proxy: object.id,
                zone: object.site,
                rate: figure("rps", object.rps, LARGEST)?,
                fresh: object.new,
            }
        }
        "detach" => {
            let object: DetachObject = object(body)?;
            News::Detach { proxy: object.id }
        }
        "done" => {
            let object: DoneObject = object(body)?;
            News::Done {
                proxy: object.id,
                mark: object.seq,
                took_ms: figure("ms", object.ms, LONGEST_MS)?,
            }
        }
        _ => News::Unknown,
    })
}

/// A line of news with its end, as the relay writes it.
pub fn write_news(news: &News) -> String {
    let line = match news {
        News::Alive | News::Unknown => serde_json::json!({}),
        News::Attach {
            proxy,
            zone,
            rate,
            fresh,
        } => serde_json::json!({"type": "attach",
            "object": {"id": proxy, "site": zone, "rps": rate, "new": fresh}}),
        News::Detach { proxy } => serde_json::json!({"type": "detach", "object": {"id": proxy}}),
        News::Done {
            proxy,
            mark,
            took_ms,
        } => serde_json::json!({"type": "done",
            "object": {"id": proxy, "seq": mark, "ms": took_ms}}),
    };
    format!("{line}\n")
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    /// One worker of id 1 and two classes.
    struct Names;

    const WORKER: &str = "s-5be2a07c";
    const CLASSES: [&str; 2] = ["lookup", "save"];

    impl Naming for Names {
        fn worker(&self, id: WorkerId) -> Option<&str> {
            (id == 1).then_some(WORKER)
        }
        fn classes(&self, bits: u16) -> Option<Vec<&str>> {
            let named = (0..2).filter(|k| bits >> k & 1 == 1).map(|k| CLASSES[k]);
            (bits != 0).then(|| named.collect())
        }
    }

    impl Numbering for Names {
        fn worker_id(&self, name: &str) -> Option<WorkerId> {
            (name == WORKER).then_some(1)
        }
        fn class_index(&self, name: &str) -> Option<usize> {
            CLASSES.iter().position(|class| *class == name)
        }
    }

    fn text(action: &Action) -> Option<String> {
        order(action, &Names).map(|order| order.text)
    }

    fn any_order() -> impl Strategy<Value = Action> {
        // Weights and levels go over the wire with the precision of an f32: eighths are exact.
        let figure = || (0u32..1 << 20).prop_map(|eighths| f64::from(eighths) / 8.0);
        let retry =
            (0usize..4).prop_map(|k| [Retry::No, Retry::Proven, Retry::Once, Retry::Twice][k]);
        let scope = proptest::option::of(any::<u16>())
            .prop_map(|table| table.map_or(Scope::All, Scope::Table));
        prop_oneof![
            (any::<u16>(), figure())
                .prop_map(|(table, weight)| Action::set_weight(table, 1, weight)),
            any::<u16>().prop_map(|table| Action::Clear { table }),
            (0u16..4, any::<u16>(), any::<u16>())
                .prop_map(|(classes, table, proxy)| Action::bind(classes, table, proxy)),
            any::<bool>().prop_map(|out| Action::HoldBack { worker: 1, out }),
            (scope, 0u16..4, figure(), retry).prop_map(|(scope, classes, quota, retry)| {
                Action::Allow {
                    scope,
                    classes,
                    quota,
                    retry,
                }
            }),
            any::<u64>().prop_map(|mark| Action::Mark { mark }),
        ]
    }

    proptest! {
        #[test]
        fn what_is_ordered_is_what_the_relay_reads(
            orders in proptest::collection::vec(any_order(), 0..20)
        ) {
            let written: Vec<Order> = orders.iter().filter_map(|one| order(one, &Names)).collect();
            let read = read_call(call(&written).as_bytes(), &Names).unwrap();
            prop_assert_eq!(read.sent, orders.len());
            prop_assert_eq!(read.orders, orders);
        }

        #[test]
        fn no_bytes_upset_whoever_reads_a_call_or_news(
            body in proptest::collection::vec(any::<u8>(), 0..200)
        ) {
            let _ = read_call(&body, &Names);
            let _ = news(&body);
            let _ = answer(&body, 3);
        }
    }

    #[test]
    fn a_call_halts_at_the_first_order_that_cannot_be_used() {
        let good = r#"{"op":"DEL","table":4}"#;
        for bad in [
            r#"{"op":"SET","table":4,"target":"nobody","rps":1}"#,
            r#"{"op":"SET","table":4,"target":"s-5be2a07c","rps":-1}"#,
            r#"{"op":"SET","target":"s-5be2a07c","rps":1}"#,
            r#"{"op":"USE","id":1,"table":4,"classes":["nothing"]}"#,
            r#"{"op":"LIMIT","level":1,"retry":4}"#,
            r#"{"op":"SING"}"#,
            "7",
        ] {
            let body = format!(r#"{{"changes":[{good},{bad},{good}]}}"#);
            let call = read_call(body.as_bytes(), &Names).unwrap();
            assert_eq!((call.orders.len(), call.sent), (1, 3), "{bad}");
        }
        assert!(read_call(b"{}", &Names).is_err());
        let all = br#"{"changes":[{"op":"LIMIT","table":"*","classes":"*","level":1,"retry":0}]}"#;
        let call = read_call(all, &Names).unwrap();
        let scope = Scope::All;
        assert_eq!(
            call.orders,
            [Action::Allow {
                scope,
                classes: 0,
                quota: 1.0,
                retry: Retry::No
            }]
        );
    }

    #[test]
    fn answers_and_news_are_read_as_they_were_written() {
        for said in [Answer::Taken(2), Answer::Throttled, Answer::Invalid] {
            assert_eq!(answer(write_answer(said).as_bytes(), 2), Some(said));
        }
        for said in [
            News::Alive,
            News::Attach {
                proxy: 17,
                zone: "a \"b\"".into(),
                rate: 21.5,
                fresh: true,
            },
            News::Detach { proxy: 17 },
            News::Done {
                proxy: 17,
                mark: u64::MAX,
                took_ms: 0.25,
            },
        ] {
            assert_eq!(news(write_news(&said).trim_end().as_bytes()).unwrap(), said);
        }
    }

    #[test]
    fn writes_the_orders_of_the_protocol() {
        let worker = 1;
        let set = Action::set_weight(4, worker, 1.5);
        assert_eq!(
            text(&set).unwrap(),
            r#"{"op":"SET","table":4,"target":"s-5be2a07c","rps":1.5}"#
        );
        assert_eq!(
            text(&Action::Clear { table: 4 }).unwrap(),
            r#"{"op":"DEL","table":4}"#
        );
        assert_eq!(
            text(&Action::bind(1, 4, 17)).unwrap(),
            r#"{"op":"USE","id":17,"table":4,"classes":["lookup"]}"#
        );
        assert_eq!(
            text(&Action::bind(0, 4, 17)).unwrap(),
            r#"{"op":"USE","id":17,"table":4}"#
        );
        let bar = |out| Action::HoldBack { worker, out };
        assert_eq!(
            text(&bar(true)).unwrap(),
            r#"{"op":"OUT","target":"s-5be2a07c"}"#
        );
        assert_eq!(
            text(&bar(false)).unwrap(),
            r#"{"op":"IN","target":"s-5be2a07c"}"#
        );
        assert_eq!(
            text(&Action::allow(Scope::Table(4), 1, (0.9, Retry::Proven))).unwrap(),
            r#"{"op":"LIMIT","table":4,"classes":["save"],"level":0.9,"retry":1}"#
        );
        let all = Action::Allow {
            scope: Scope::All,
            classes: 0,
            quota: 1.0,
            retry: Retry::No,
        };
        assert_eq!(
            text(&all).unwrap(),
            r#"{"op":"LIMIT","level":1.0,"retry":0}"#
        );
        assert_eq!(
            text(&Action::Mark { mark: 905 }).unwrap(),
            r#"{"op":"SYNC","ticket":905,"flag":0}"#
        );
    }

    #[test]
    fn has_no_order_for_what_is_not_the_relay_s_or_has_no_name() {
        assert_eq!(text(&Action::Observe), None);
        assert_eq!(text(&Action::set_weight(4, 99, 1.5)), None);
    }

    #[test]
    fn a_call_holds_what_fits() {
        let long = |length| Order {
            key: Key::Mark,
            text: "x".repeat(length),
        };
        assert_eq!(fitting(&[]), 0);
        assert_eq!(fitting(&[long(LARGEST_CALL * 2), long(1)]), 1);
        let orders = vec![long(999); 100];
        let fits = fitting(&orders);
        assert!(call(&orders[..fits]).len() <= LARGEST_CALL);
        assert!(call(&orders[..fits + 1]).len() > LARGEST_CALL);
        assert_eq!(call(&[long(1), long(2)]), r#"{"changes":[x,xx]}"#);
    }

    #[test]
    fn reads_answers() {
        assert_eq!(answer(br#"{"taken":2}"#, 2), Some(Answer::Taken(2)));
        assert_eq!(
            answer(br#"{"error":"throttled"}"#, 2),
            Some(Answer::Throttled)
        );
        assert_eq!(answer(br#"{"error":"invalid"}"#, 2), Some(Answer::Invalid));
        for body in [
            "",
            "{}",
            "{\"tak",
            r#"{"taken":3}"#,
            r#"{"taken":-1}"#,
            r#"{"error":"internal"}"#,
        ] {
            assert_eq!(answer(body.as_bytes(), 2), None, "{body}");
        }
    }

    #[test]
    fn reads_news() {
        assert_eq!(news(b"{}").unwrap(), News::Alive);
        let line = br#"{"type":"attach","object":{"id":17,"site":"a","rps":21.5,"new":true}}"#;
        let attach = News::Attach {
            proxy: 17,
            zone: "a".into(),
            rate: 21.5,
            fresh: true,
        };
        assert_eq!(news(line).unwrap(), attach);
        let line = br#"{"type":"detach","object":{"id":17}}"#;
        assert_eq!(news(line).unwrap(), News::Detach { proxy: 17 });
        let line = br#"{"type":"done","object":{"id":17,"seq":905,"ms":310.4}}"#;
        let done = News::Done {
            proxy: 17,
            mark: 905,
            took_ms: 310.4,
        };
        assert_eq!(news(line).unwrap(), done);
        assert_eq!(
            news(br#"{"type":"poem","object":{}}"#).unwrap(),
            News::Unknown
        );
        for line in [
            "",
            "[]",
            r#"{"type":"attach","object":{"id":17}}"#,
            r#"{"type":"attach","object":{"id":17,"site":"a","rps":21.5}}"#,
            r#"{"type":"done","object":{"id":17,"seq":905}}"#,
            r#"{"type":"detach"}"#,
        ] {
            assert!(news(line.as_bytes()).is_err(), "{line}");
        }
    }
}
