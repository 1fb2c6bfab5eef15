//! How much of their bounds changes of the configuration and departures of workers took, at the worst.

use std::fmt;

use super::judge::Evidence;
use super::versions::Reply;
use crate::fleet::bounds;
use crate::ledger::Try;

/// The longest that something with a bound took.
#[derive(Clone, Debug, PartialEq)]
pub struct Margin {
    /// What has the bound.
    pub of: &'static str,
    /// Seconds that it took at the worst.
    pub worst_s: f64,
    /// Seconds that it may take.
    pub bound_s: f64,
    /// Where and when that was seen; empty if nothing was.
    pub seen: String,
}

impl Margin {
    fn new(of: &'static str, bound_s: f64) -> Self {
        Self {
            of,
            worst_s: 0.0,
            bound_s,
            seen: String::new(),
        }
    }

    fn add(&mut self, seconds: f64, seen: impl FnOnce() -> String) {
        if seconds > self.worst_s {
            self.worst_s = seconds;
            self.seen = seen();
        }
    }
}

impl fmt::Display for Margin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (of, worst_s, bound_s) = (self.of, self.worst_s, self.bound_s);
        write!(f, "{of}: {worst_s:.2} s at the worst, of {bound_s} s")?;
        match self.seen.as_str() {
            "" => Ok(()),
            seen => write!(f, ": {seen}"),
        }
    }
}

/// All that have a bound, for proxies in touch.
#[must_use]
pub fn margins(evidence: &Evidence<'_>) -> Vec<Margin> {
    vec![versions(evidence), departures(evidence)]
}

/// From the acknowledgement of a version to the last request that was handled by an older one.
fn versions(evidence: &Evidence<'_>) -> Margin {
    let mut margin = Margin::new("CONFIG, a version in force", bounds::APPLY_S);
    let acknowledged = evidence.versions.iter().filter_map(|it| match it.reply {
        Reply::Acknowledged(at) => Some((it.number, at)),
        _ => None,
    });
    let mut acknowledged: Vec<(u64, f64)> = acknowledged.collect();
    acknowledged.sort_by_key(|(number, _)| *number);
    for of in evidence.ledger.tries.borrow().values() {
        if !(evidence.timeline).in_touch(evidence.machine(of), of.sent) {
            continue;
        }
        for (number, at) in not_in_force(evidence, &acknowledged, of) {
            margin.add(of.sent - at, || {
                let (proxy, sent) = (of.proxy.0 + 1, of.sent);
                format!("r{number} at proxy-{proxy}, where an older one handled what was sent at {sent:.2} s")
            });
        }
    }
    margin
}

/// The versions, of these in the order of their numbers, that were not in force yet where a request was
/// handled.
fn not_in_force<'a>(
    evidence: &Evidence<'_>,
    versions: &'a [(u64, f64)],
    of: &Try,
) -> &'a [(u64, f64)] {
    // a request that was handled by a version older than one was so by one older than each after it
    let first = versions.partition_point(|(number, _)| !evidence.only_older_than(*number, of));
    &versions[first..]
}

/// From the acknowledgement that a worker leaves to the last request that reached it.
fn departures(evidence: &Evidence<'_>) -> Margin {
    let mut margin = Margin::new("DRAIN, a departure", bounds::DRAIN_S);
    for worker in evidence.ledger.leaving.borrow().iter() {
        let Some(acknowledged) = worker.acknowledged else {
            continue;
        };
        for arrival in evidence.arrivals_in_touch(worker) {
            margin.add(arrival.at - acknowledged, || {
                format!("{} got a request at {:.2} s", worker.id, arrival.at)
            });
        }
    }
    margin
}
