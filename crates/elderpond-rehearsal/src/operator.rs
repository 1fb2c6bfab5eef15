//! The operator: sends configurations until they are acknowledged, and reads back.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use anyhow::bail;
use bytes::Bytes;
use hyper::Method;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::call::Control;
use crate::ledger::{Kind, Ledger};

/// Connections that a worker takes from all callers together.
pub const CONNECTIONS: usize = 110;
/// The host that clients name.
pub const HOST: &str = "rehearsal.example";
/// Seconds within which an answer earns its full worth.
pub const AIM_S: f64 = 0.6;
/// The first version.
pub const FIRST: u64 = 1;
/// The invalid version, which must never be in force.
pub const BAD: u64 = 9;
/// The version of the change.
pub const CHANGE: u64 = 5;
/// The service of the read routes.
pub const READ_SERVICE: &str = "simulator";
/// The service of the write route.
pub const WRITE_SERVICE: &str = "writes";
/// The service that the change brings into use.
pub const ADDED_SERVICE: &str = "added";

fn rule(kind: Kind, action: Value) -> Value {
    let prefix = kind.prefix();
    let mut action = action;
    action["timeout-s"] = json!(2.5);
    action["attempts"] = json!(2);
    json!({
        "name": format!("r-{}", prefix.trim_matches('/')),
        "kind": if kind.repeatable() { "safe" } else { "unsafe" },
        "target-latency-s": AIM_S,
        "priority": if kind.repeatable() { 2 } else { 1 },
        "match-condition": {"path-prefix": prefix},
        "route-action": action,
    })
}

/// The services that a route may use by a version; none where the version has no such route.
pub fn services(version: u64, kind: Kind) -> &'static [&'static str] {
    match (kind, version) {
        (Kind::Read, FIRST) | (Kind::Moved | Kind::Dropped, FIRST) => &[READ_SERVICE],
        (Kind::Read, CHANGE) => &[READ_SERVICE, ADDED_SERVICE],
        (Kind::Write, FIRST | CHANGE) => &[WRITE_SERVICE],
        (Kind::Moved | Kind::Added, CHANGE) => &[ADDED_SERVICE],
        _ => &[],
    }
}

/// The text of a version.
pub fn text(version: u64) -> Value {
    let mut rules = Vec::new();
    for kind in [
        Kind::Read,
        Kind::Write,
        Kind::Moved,
        Kind::Added,
        Kind::Dropped,
    ] {
        let action = match services(version, kind) {
            [] if version == BAD => json!({"service": "nowhere"}),
            [] => continue,
            [one] => json!({"service": one}),
            [one, other, ..] => json!({
                "weighted-split": [{"service": one, "weight": 80}, {"service": other, "weight": 20}],
            }),
        };
        rules.push(rule(kind, action));
    }
    configuration(version, &rules)
}

/// A configuration of this number with these rules, over all services.
pub fn configuration(number: u64, rules: &[Value]) -> Value {
    let cluster = |name: &str| {
        json!({
            "name": name,
            "health-check-path": "/health",
            "connection-limit": CONNECTIONS,
            "protocol": "h1",
            "transport-security": false,
        })
    };
    json!({
        "version-number": format!("r{number}"),
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 1 << 20,
            "header-timeout-s": 3,
            "idle-timeout-s": 15,
        },
        "listener-list": [{"host": HOST, "rule-set": rules}],
        "cluster-list": [cluster(READ_SERVICE), cluster(WRITE_SERVICE), cluster(ADDED_SERVICE)],
    })
}

/// The operator.
pub struct Operator {
    control_nodes: Vec<SocketAddrV4>,
    ledger: Rc<Ledger>,
}

impl Operator {
    /// An operator of these control nodes.
    pub fn new(control_nodes: &[SocketAddrV4], ledger: &Rc<Ledger>) -> Self {
        Self {
            control_nodes: control_nodes.to_vec(),
            ledger: ledger.clone(),
        }
    }

    /// Sends a version until there is a clear answer, to any node; tells the status.
    pub async fn replace(
        &self,
        (version, valid): (u64, bool),
        body: Bytes,
        within: Duration,
    ) -> anyhow::Result<u16> {
        self.ledger.version(version, valid);
        let (mut control, mut others) = (Control::new(&self.control_nodes), 0);
        let (until, mut pause) = (Instant::now() + within, Duration::from_millis(50));
        while Instant::now() < until {
            match control
                .call(Method::POST, "/configuration/replace", &body)
                .await
            {
                Ok(answer) if answer.good() => {
                    self.ledger.acknowledge(version);
                    return Ok(answer.status);
                }
                Ok(answer) => {
                    let status = answer.status;
                    others +=
                        usize::from((400..500).contains(&status) && ![408, 429].contains(&status));
                    if [400, 409, 412, 413, 422].contains(&status) || others >= 3 {
                        return Ok(status);
                    }
                }
                Err(_) => {}
            }
            control.move_on();
            sleep(pause).await;
            pause = (pause * 2).min(Duration::from_secs(1));
        }
        bail!(
            "r{version} has no clear answer after {:.1} s",
            within.as_secs_f64()
        )
    }

    /// Reads the configuration back from one node, asking again until it comes or the time is over.
    pub async fn read(&self, node: SocketAddrV4, within: Duration) -> anyhow::Result<Value> {
        let (until, control) = (Instant::now() + within, Control::only(node));
        loop {
            let answer = control
                .call(Method::GET, "/configuration/read", &Bytes::new())
                .await;
            let why = match answer {
                Ok(answer) if answer.good() => return Ok(serde_json::from_slice(&answer.body)?),
                Ok(answer) => format!("status {}", answer.status),
                Err(error) => format!("{error:#}"),
            };
            if Instant::now() >= until {
                bail!("{node} does not tell its configuration: {why}");
            }
            sleep(Duration::from_millis(100)).await;
        }
    }
}
