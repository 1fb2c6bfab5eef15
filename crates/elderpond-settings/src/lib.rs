//! The settings, as JSON text, into those of the interface. They have the same names wherever a
//! manager runs: on the bench's wire and in the configuration of a manager on sockets.

use elderpond::interface::{Admit, Class, LoadField, Repeat, Settings};
use serde::Deserialize;

/// Why settings could not be read.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// Not JSON, a missing key, or a value of the wrong kind.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// More classes than an order can name.
    #[error("{0} classes are more than 16")]
    Classes(usize),
}

#[derive(Deserialize)]
struct Wire {
    tick_ms: f64,
    membership_mode: Mode,
    services: Vec<Service>,
    guarantees: Guarantees,
    specifics: Specifics,
    limits: Limits,
    report: Report,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Mode {
    Automatic,
    Subscribe,
}

#[derive(Deserialize)]
struct Service {
    aim_ms: f64,
    give_up_ms: f64,
    worth: f64,
    repeat: WireRepeat,
    #[serde(default)]
    group: Option<String>,
    #[serde(default)]
    window_ms: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireRepeat {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

#[derive(Deserialize)]
struct Guarantees {
    #[serde(default)]
    ask_within_ms: Option<f64>,
    cold_ms: f64,
    fall_ms: f64,
    start_capacity: f64,
    stop_sending_within_ms: f64,
    tip_multiple: f64,
}

#[derive(Deserialize)]
struct Limits {
    probes: bool,
    #[serde(default)]
    connect_timeout_ms: f64,
}

#[derive(Deserialize)]
struct Report {
    #[serde(default)]
    fields: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireAdmit {
    Ratio,
    Rps,
    Off,
}

#[derive(Deserialize)]
struct Specifics {
    admit: WireAdmit,
    channel_rate: f64,
    #[serde(default)]
    ejects: u32,
    first_wait: f64,
    head: f64,
    interval_ms: f64,
    queue_cap: f64,
    unserved_max_ms: f64,
    #[serde(default)]
    initial_set: usize,
    #[serde(default)]
    home_only: Vec<bool>,
    #[serde(default)]
    writers: Vec<bool>,
    #[serde(default)]
    messages_over_ms: f64,
    #[serde(default)]
    one_owner: bool,
    #[serde(default)]
    proxy_count: usize,
    #[serde(default)]
    push_delay_ms: f64,
    #[serde(default)]
    push_delay_max_ms: f64,
    #[serde(default)]
    shards: u16,
    #[serde(default)]
    tenure_ms: f64,
    #[serde(default)]
    update_cap: usize,
    #[serde(default)]
    write_life_ms: f64,
}

/// What the settings call zones and classes, in the order of their index.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Labels {
    /// The zones.
    #[serde(rename = "areas")]
    pub zones: Vec<String>,
    /// The classes of request.
    #[serde(rename = "services")]
    pub classes: Vec<Label>,
}

/// What one thing is called.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Label {
    /// The name.
    pub name: String,
}

/// Reads what the settings call zones and classes.
pub fn labels(text: &[u8]) -> Result<Labels, SettingsError> {
    Ok(serde_json::from_slice(text)?)
}

/// Reads the settings; keys it does not know are skipped.
pub fn parse(text: &[u8]) -> Result<Settings, SettingsError> {
    let wire: Wire = serde_json::from_slice(text)?;
    if wire.services.len() > 16 {
        return Err(SettingsError::Classes(wire.services.len()));
    }
    let (own, rules) = (wire.specifics, wire.guarantees);
    let flag = |flags: &[bool], index: usize| flags.get(index).copied().unwrap_or(false);
    let classes = wire
        .services
        .into_iter()
        .enumerate()
        .map(|(index, service)| Class {
            aim_ms: service.aim_ms,
            give_up_ms: service.give_up_ms,
            worth: service.worth,
            repeat: match service.repeat {
                WireRepeat::ReadLike => Repeat::ReadLike,
                WireRepeat::IdempotencyKey => Repeat::Keyed {
                    window_ms: service.window_ms.unwrap_or(0.0),
                    all: service.group.as_deref() == Some("all"),
                },
                WireRepeat::NonIdempotent => Repeat::Never,
            },
            home_only: flag(&own.home_only, index),
            writes: flag(&own.writers, index),
        });
    Ok(Settings {
        classes: classes.collect(),
        tick_ms: wire.tick_ms,
        subscribe: matches!(wire.membership_mode, Mode::Subscribe),
        ask_within_ms: rules.ask_within_ms.unwrap_or(0.0),
        cold_ms: rules.cold_ms,
        start_capacity: rules.start_capacity,
        tip_multiple: rules.tip_multiple,
        fall_ms: rules.fall_ms,
        drain_grace_ms: rules.stop_sending_within_ms,
        unserved_max_ms: own.unserved_max_ms,
        probes: wire.limits.probes,
        connect_timeout_ms: wire.limits.connect_timeout_ms,
        admit: match own.admit {
            WireAdmit::Ratio => Admit::Ratio,
            WireAdmit::Rps => Admit::Rate,
            WireAdmit::Off => Admit::Off,
        },
        report_interval_ms: own.interval_ms,
        push_delay_ms: own.push_delay_ms,
        push_delay_max_ms: own.push_delay_max_ms,
        channel_rate: own.channel_rate,
        queue_cap: own.queue_cap,
        head_lines: own.head,
        update_cap: own.update_cap,
        update_span_ms: own.messages_over_ms,
        first_wait: own.first_wait,
        proxies: own.proxy_count,
        standing_lines: own.initial_set,
        ejects: own.ejects,
        slices: own.shards,
        single_owner: own.one_owner,
        tenure_ms: own.tenure_ms,
        write_life_ms: own.write_life_ms,
        load_fields: wire
            .report
            .fields
            .iter()
            .map(|name| load_field(name))
            .collect(),
    })
}

/// The value of a load report that has this name.
pub fn load_field(name: &str) -> LoadField {
    match name {
        "active" => LoadField::Active,
        "waiting" => LoadField::Waiting,
        "cpu" => LoadField::Cpu,
        "avg_ms" => LoadField::AverageMs,
        "rps" => LoadField::Rate,
        "err_rps" => LoadField::ErrorRate,
        _ => LoadField::Other,
    }
}

/// The name of a value of a load report in the settings.
pub fn load_field_name(field: LoadField) -> &'static str {
    match field {
        LoadField::Active => "active",
        LoadField::Waiting => "waiting",
        LoadField::Cpu => "cpu",
        LoadField::AverageMs => "avg_ms",
        LoadField::Rate => "rps",
        LoadField::ErrorRate => "err_rps",
        LoadField::Other => "other",
    }
}

/// Writes settings as JSON text that [`parse`] and [`labels`] read again: for whoever plays the
/// platform. Classes beyond those of `labels` are named by their index.
pub fn write(settings: &Settings, labels: &Labels) -> String {
    let classes = settings.classes.iter().enumerate();
    let services = classes.map(|(index, class)| {
        let label = labels.classes.get(index);
        let name = label.map_or_else(|| format!("class-{index}"), |label| label.name.clone());
        let (repeat, window, group) = match class.repeat {
            Repeat::ReadLike => ("read_like", 0.0, "all"),
            Repeat::Keyed { window_ms, all } => (
                "idempotency_key",
                window_ms,
                ["zone", "all"][usize::from(all)],
            ),
            Repeat::Never => ("non_idempotent", 0.0, "all"),
        };
        serde_json::json!({"name": name, "aim_ms": class.aim_ms, "give_up_ms": class.give_up_ms,
            "worth": class.worth, "repeat": repeat, "window_ms": window, "group": group})
    });
    let services: Vec<_> = services.collect();
    let flags =
        |flag: fn(&Class) -> bool| -> Vec<bool> { settings.classes.iter().map(flag).collect() };
    let fields = settings
        .load_fields
        .iter()
        .map(|field| load_field_name(*field));
    let fields: Vec<&str> = fields.collect();
    let admit = match settings.admit {
        Admit::Ratio => "ratio",
        Admit::Rate => "rps",
        Admit::Off => "off",
    };
    serde_json::json!({
        "tick_ms": settings.tick_ms,
        "membership_mode": if settings.subscribe { "subscribe" } else { "automatic" },
        "areas": labels.zones,
        "services": services,
        "guarantees": {
            "ask_within_ms": settings.ask_within_ms, "cold_ms": settings.cold_ms,
            "fall_ms": settings.fall_ms, "start_capacity": settings.start_capacity,
            "stop_sending_within_ms": settings.drain_grace_ms,
            "tip_multiple": settings.tip_multiple,
        },
        "limits": {
            "probes": settings.probes, "connect_timeout_ms": settings.connect_timeout_ms,
        },
        "report": {"fields": fields, "how": if fields.is_empty() { "off" } else { "inline" }},
        "specifics": {
            "admit": admit, "channel_rate": settings.channel_rate, "ejects": settings.ejects,
            "first_wait": settings.first_wait, "head": settings.head_lines,
            "interval_ms": settings.report_interval_ms, "queue_cap": settings.queue_cap,
            "unserved_max_ms": settings.unserved_max_ms, "initial_set": settings.standing_lines,
            "home_only": flags(|class| class.home_only), "writers": flags(|class| class.writes),
            "messages_over_ms": settings.update_span_ms, "one_owner": settings.single_owner,
            "proxy_count": settings.proxies, "push_delay_ms": settings.push_delay_ms,
            "push_delay_max_ms": settings.push_delay_max_ms, "shards": settings.slices,
            "tenure_ms": settings.tenure_ms, "update_cap": settings.update_cap,
            "write_life_ms": settings.write_life_ms,
        },
    })
    .to_string()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Only what has to be there, with names that no manager knows.
    fn least(services: &str) -> String {
        format!(
            r#"{{"tick_ms": 2.0, "membership_mode": "automatic", "unheard_of": [1],
            "areas": ["north", "south"], "services": [{services}],
            "guarantees": {{"cold_ms": 9000.0, "fall_ms": 1500.0, "start_capacity": 0.2,
                "stop_sending_within_ms": 2000.0, "tip_multiple": 3.0}},
            "limits": {{"probes": true}}, "report": {{"fields": ["waiting", "mood", "cpu"]}},
            "specifics": {{"admit": "ratio", "channel_rate": 5000.0, "first_wait": 1.0, "head": 3.0,
                "interval_ms": 1000.0, "queue_cap": 5000.0, "unserved_max_ms": 2000.0,
                "home_only": [false, true], "writers": [true]}}}}"#
        )
    }

    const READ: &str = r#"{"name": "read", "aim_ms": 500.0, "give_up_ms": 1500.0, "worth": 1.0,
        "repeat": "read_like"}"#;
    const SAVE: &str = r#"{"name": "save", "aim_ms": 800.0, "give_up_ms": 2500.0, "worth": 5.0,
        "repeat": "idempotency_key", "group": "zone", "window_ms": 1500.0}"#;

    #[test]
    fn reads_what_is_there_and_takes_the_rest_for_absent() {
        let text = least(&format!("{READ}, {SAVE}"));
        let settings = parse(text.as_bytes()).unwrap();
        assert_eq!((settings.tick_ms, settings.cold_ms), (2.0, 9000.0));
        assert_eq!((settings.drain_grace_ms, settings.proxies), (2000.0, 0));
        assert!(settings.probes && !settings.subscribe && settings.admit == Admit::Ratio);
        let fields = [LoadField::Waiting, LoadField::Other, LoadField::Cpu];
        assert_eq!(settings.load_fields, fields);
        let [read, save] = &settings.classes[..] else {
            panic!("not two classes");
        };
        assert_eq!(
            (read.repeat, read.home_only, read.writes),
            (Repeat::ReadLike, false, true)
        );
        let keyed = Repeat::Keyed {
            window_ms: 1500.0,
            all: false,
        };
        assert_eq!(
            (save.repeat, save.home_only, save.writes),
            (keyed, true, false)
        );
    }

    #[test]
    fn labels_are_in_the_order_of_their_index() {
        let labels = labels(least(&format!("{SAVE}, {READ}")).as_bytes()).unwrap();
        assert_eq!(labels.zones, ["north", "south"]);
        let classes: Vec<&str> = labels.classes.iter().map(|class| &*class.name).collect();
        assert_eq!(classes, ["save", "read"]);
    }

    #[test]
    fn settings_that_were_written_are_read_again() {
        let text = least(&format!("{READ}, {SAVE}"));
        let (settings, labels) = (
            parse(text.as_bytes()).unwrap(),
            labels(text.as_bytes()).unwrap(),
        );
        let again = write(&settings, &labels);
        assert_eq!(parse(again.as_bytes()).unwrap(), settings);
        assert_eq!(super::labels(again.as_bytes()).unwrap(), labels);
    }

    #[test]
    fn says_what_is_wrong() {
        let fault = parse(b"{}").unwrap_err().to_string();
        assert!(fault.contains("tick_ms"), "{fault}");
        let fault = parse(least(&[READ; 17].join(",")).as_bytes()).unwrap_err();
        assert_eq!(fault.to_string(), "17 classes are more than 16");
        let strange = READ.replace("read_like", "at_leisure");
        assert!(parse(least(&strange).as_bytes()).is_err());
    }
}
