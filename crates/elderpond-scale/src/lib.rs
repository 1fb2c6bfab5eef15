//! A scale run: real hives and a few real foragers on loopback, beside many hollow foragers and workers that
//! speak the real wires and do nothing else; and what each role costs, fitted against size.
//!
//! Hollow processes share this one. Nothing but the programs under test runs outside of it, everything has a
//! bound in time, in memory and in number, and what was started is ended before [`play::run`] returns.

pub mod chart;
pub mod fit;
pub mod foragers;
pub mod model;
pub mod play;
mod requests;
pub mod seen;
pub mod usage;
pub mod workers;

/// The configuration that the run's operator sends: routes of about 256 bytes with names drawn once, to
/// services in turn, and one to the workers that answer. From version to version one route differs.
pub fn configuration(version: u64, routes: usize, services: usize) -> String {
    let mut drawn = fastrand::Rng::with_seed(7);
    let mut word = |length: usize| -> String { (0..length).map(|_| drawn.lowercase()).collect() };
    let rule = |name: &str, prefix: &str, service: &str, timeout: u64| {
        format!(r#"{{"name":"r-{name}","kind":"safe","target-latency-s":0.6,"priority":1,"#)
            + &format!(r#""match-condition":{{"path-prefix":"{prefix}"}},"route-action":"#)
            + &format!(r#"{{"service":"{service}","timeout-s":{timeout},"attempts":2}}}}"#)
    };
    let mut hosts = vec![format!(
        r#"{{"host":"live.example","rule-set":[{}]}}"#,
        rule("live", "/live/", workers::LIVE, 5)
    )];
    let (mut rules, changed) = (Vec::new(), version as usize % routes.max(1));
    for route in 0..routes {
        let service = format!("service-{:04}", route % services.max(1));
        let prefix = format!("/{}/{}/", word(12), word(8));
        let timeout = if route == changed {
            2 + version % 50
        } else {
            60
        };
        rules.push(rule(&word(7), &prefix, &service, timeout));
        if rules.len() == 10 || route + 1 == routes {
            let host = format!("{}.{}.example", word(9), word(7));
            let rules = std::mem::take(&mut rules).join(",");
            hosts.push(format!(r#"{{"host":"{host}","rule-set":[{rules}]}}"#));
        }
    }
    let cluster = |name: &str| {
        format!(r#"{{"name":"{name}","health-check-path":"/health","connection-limit":110,"#)
            + r#""protocol":"h1","transport-security":false}"#
    };
    let mut clusters = vec![cluster(workers::LIVE)];
    clusters.extend((0..services.max(1)).map(|at| cluster(&format!("service-{at:04}"))));
    format!(
        r#"{{"version-number":"r{version}","limits":{{"max-header-bytes":16384,"max-body-bytes":67108864,"#
    ) + r#""header-timeout-s":3,"idle-timeout-s":15},"listener-list":["#
        + &hosts.join(",")
        + r#"],"cluster-list":["#
        + &clusters.join(",")
        + "]}"
}
