//! The operator's own file: what the platform does not set. Without it everything here is off.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use elderpond_config::{Document, Faults, Section, Span, Value};
use elderpond_dns::cache::Lifetimes;
use elderpond_sources::Patience;
use hickory_proto::rr::Name;

use crate::logger::Format;

/// Where the file is looked for if nobody says where it is.
pub const PLACE: &str = "deploy/elderpond.ini";
/// The variable that names it.
pub const VARIABLE: &str = "ELDERPOND_OPERATOR";

/// Kinds of section that the file may have.
const SECTIONS: [&str; 2] = ["dns", "log"];

/// Why the file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// It was named and cannot be read.
    #[error("cannot read {path}: {cause}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: std::io::Error,
    },
    /// What is wrong with it.
    #[error(transparent)]
    Faulty(#[from] Faults),
}

/// All that an operator sets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    /// Service records as sources of workers, by name.
    pub dns: Vec<Dns>,
    /// How log lines are laid out; matters to a start only.
    pub log: Format,
}

/// A source of service records.
#[derive(Clone, Debug, PartialEq)]
pub struct Dns {
    /// What it is called here.
    pub label: String,
    /// What is asked, and how.
    pub settings: elderpond_dns::Settings,
    /// How patient it is with what answers lack.
    pub patience: Patience,
}

struct Service(Name);

impl Value for Service {
    fn read(text: &str) -> Result<Self, String> {
        let allowed = || "a domain name, as in _lab._tcp.example.org".to_owned();
        let name = Name::from_ascii(text).map_err(|_| allowed())?;
        (name.num_labels() > 0)
            .then_some(Self(name))
            .ok_or_else(allowed)
    }
    fn stand_in() -> Self {
        Self(Name::root())
    }
}

struct Server(SocketAddr);

impl Value for Server {
    fn read(text: &str) -> Result<Self, String> {
        let address = text
            .parse()
            .or_else(|_| text.parse().map(|ip| SocketAddr::new(ip, 53)));
        address
            .map(Self)
            .map_err(|_| "an address, with a port if it is not 53".to_owned())
    }
    fn stand_in() -> Self {
        Self(SocketAddr::from(([127, 0, 0, 1], 53)))
    }
}

impl Operator {
    /// Reads the file at `path`, or where the variable says, or at its usual place. Where nobody named
    /// one, and the usual place has none, all is off.
    ///
    /// # Errors
    /// A file that was named and cannot be read, or all that is wrong with it.
    pub fn load(path: Option<&Path>) -> Result<Self, OperatorError> {
        let named = path
            .map(Path::to_owned)
            .or_else(|| std::env::var_os(VARIABLE).map(PathBuf::from));
        let path = named.clone().unwrap_or_else(|| PathBuf::from(PLACE));
        match std::fs::read_to_string(&path) {
            Ok(text) => Ok(Self::parse(&path.display().to_string(), &text)?),
            Err(cause) if named.is_none() && cause.kind() == std::io::ErrorKind::NotFound => {
                Ok(Self::default())
            }
            Err(cause) => Err(OperatorError::Unreadable { path, cause }),
        }
    }

    /// Reads a text; `file` is what faults call it.
    ///
    /// # Errors
    /// All that is wrong with it, with file, line and key.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let document = Document::parse(file, text)?;
        let dns = document
            .sections("dns")
            .map(|(label, section)| dns(label, &section))
            .collect();
        let log = document
            .section_or_empty("log")
            .word("format", &Format::NAMES);
        document.finish(&SECTIONS)?;
        Ok(Self {
            dns,
            log: Format::ALL[log],
        })
    }

    /// The file that would set what is set, with every default written out.
    pub fn show(&self) -> String {
        let span = |ms: f64| format!("{ms}ms");
        let shown = self.dns.iter().map(|dns| {
            let (settings, lives) = (&dns.settings, &dns.settings.lifetimes);
            let servers: Vec<String> = settings.servers.iter().map(SocketAddr::to_string).collect();
            let millis = |span: Duration| format!("{}ms", span.as_secs_f64() * 1000.0);
            let keys = [
                ("name", settings.name.to_ascii()),
                ("servers", servers.join(", ")),
                ("zone", settings.zone.to_string()),
                ("floor", span(lives.floor_ms)),
                ("ceiling", span(lives.ceiling_ms)),
                ("stale", span(lives.stale_ms)),
                ("wait", millis(settings.wait)),
                ("hedge", millis(settings.hedge)),
                ("queries", settings.queries.to_string()),
                ("records", settings.records.to_string()),
                ("weight_unit", settings.weight_unit.to_string()),
                ("confirm", dns.patience.lifetimes.to_string()),
                ("confirm_least", span(dns.patience.least_ms)),
                ("pace", dns.patience.pace.to_string()),
            ];
            let keys = keys.map(|(key, value)| format!("{key} = {value}\n"));
            format!("[dns {}]\n{}", dns.label, keys.concat())
        });
        let mut text = format!("[log]\nformat = {}\n", self.log.name());
        shown.for_each(|section| text += &format!("\n{section}"));
        text
    }
}

fn dns(label: &str, section: &Section) -> Dns {
    let span = |key: &str, default: f64| section.or(key, Span(default)).0;
    let lifetimes = Lifetimes {
        floor_ms: span("floor", 2000.0),
        ceiling_ms: span("ceiling", 300_000.0),
        stale_ms: span("stale", 600_000.0),
    };
    section.check(
        "floor",
        lifetimes.floor_ms >= 100.0,
        "must not be below 100ms",
    );
    section.check(
        "ceiling",
        lifetimes.ceiling_ms >= lifetimes.floor_ms,
        "must not be below `floor`",
    );
    let servers: Vec<Server> = section.required("servers");
    section.check(
        "servers",
        !servers.is_empty(),
        "must name one server at least",
    );
    let wait = span("wait", 1000.0);
    section.check(
        "wait",
        (10.0..=60_000.0).contains(&wait),
        "must be from 10ms to 60s",
    );
    let queries = section.or("queries", 8usize);
    section.check(
        "queries",
        (1..=64).contains(&queries),
        "must be from 1 to 64",
    );
    let records = section.or("records", 4000usize);
    section.check(
        "records",
        (1..=20_000).contains(&records),
        "must be from 1 to 20000",
    );
    let weight_unit = section.or("weight_unit", 100.0);
    section.check("weight_unit", weight_unit > 0.0, "must be above 0");
    let patience = Patience {
        lifetimes: section.or("confirm", 3.0),
        least_ms: span("confirm_least", 5000.0),
        pace: section.or("pace", 2),
    };
    section.check(
        "confirm",
        patience.lifetimes >= 1.0,
        "must be 1 or more lifetimes",
    );
    Dns {
        label: label.to_owned(),
        settings: elderpond_dns::Settings {
            name: section.required::<Service>("name").0,
            servers: servers.into_iter().map(|server| server.0).collect(),
            lifetimes,
            wait: Duration::from_secs_f64(wait.clamp(10.0, 60_000.0) / 1000.0),
            hedge: Duration::from_secs_f64(span("hedge", 300.0) / 1000.0),
            queries,
            records,
            weight_unit,
            zone: section.required::<String>("zone").into(),
        },
        patience,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const OWN: &str = include_str!("../../../deploy/elderpond.ini");

    #[test]
    fn the_file_that_is_deployed_sets_nothing() {
        assert_eq!(Operator::parse(PLACE, OWN).unwrap(), Operator::default());
    }

    /// What the file says in remarks is what may be set.
    #[test]
    fn the_remarks_of_the_file_that_is_deployed_are_true() {
        let set: String = OWN
            .lines()
            .filter_map(|line| line.strip_prefix(";= "))
            .map(|line| format!("{line}\n"))
            .collect();
        let operator = Operator::parse("remarks.ini", &set).unwrap();
        assert_eq!(operator.dns.len(), 1);
        // Shown, it reads as the same again.
        assert_eq!(
            Operator::parse("shown.ini", &operator.show()).unwrap(),
            operator
        );
    }

    #[test]
    fn every_fault_is_told_with_its_line() {
        let text = "[dns a]\nname = _x._tcp.example.org\nservers = 127.0.0.1, nowhere\nzone = a\n\
            cieling = 5m\nfloor = 1\n[dsn b]\n";
        let faults = Operator::parse("op.ini", text).unwrap_err().to_string();
        for part in [
            "op.ini:3: [dns a] servers: `127.0.0.1, nowhere` must be a list, each of it an address",
            "op.ini:5: [dns a] cieling: no such key; did you mean `ceiling`?",
            "op.ini:6: [dns a] floor: `1` must be a span with its unit",
            "op.ini:7: [dsn b]: no such section; did you mean `dns`?",
        ] {
            assert!(faults.contains(part), "{part} in\n{faults}");
        }
    }
}
