//! What the ledger says: what became of the requests, and which rules held.

use std::collections::HashMap;
use std::fmt;

use crate::fleet::bounds;
use crate::ledger::{End, Kind, Ledger, Sent, Try};
use crate::operator::{CHANGE, FIRST, services};
use crate::soak::margins::Margin;

/// A rule, and whether it held.
#[derive(Clone, Debug)]
pub struct Check {
    /// What has to be.
    pub rule: &'static str,
    /// Whether it was.
    pub held: bool,
    /// What was counted, or what broke it.
    pub detail: String,
}

impl Check {
    pub(crate) fn new(rule: &'static str, broken: &[String], counted: String) -> Self {
        let detail = match broken {
            [] => counted,
            [one] => one.clone(),
            [one, rest @ ..] => format!("{one}; and {} more", rest.len()),
        };
        Self {
            rule,
            held: broken.is_empty(),
            detail,
        }
    }
}

/// What became of a rehearsal.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Requests that clients sent on routes that stay.
    pub sent: usize,
    /// Of these, answered with a success inside their aim.
    pub served: usize,
    /// Answered with a success, later.
    pub late: usize,
    /// Turned away with a promise.
    pub refused: usize,
    /// Denied with another 3xx or 4xx.
    pub denied: usize,
    /// All others.
    pub failed: usize,
    /// Median of the successes' times from the first try, in milliseconds.
    pub p50_ms: f64,
    /// Their 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// The rules.
    pub checks: Vec<Check>,
    /// How much was taken of bounds, where that was looked at.
    pub margins: Vec<Margin>,
}

impl Report {
    /// Whether all rules held.
    pub fn held(&self) -> bool {
        self.checks.iter().all(|check| check.held)
    }

    /// Which part of the requests ended with a success, from 0 to 1.
    pub fn success(&self) -> f64 {
        (self.served + self.late) as f64 / (self.sent as f64).max(1.0)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} requests: {} served, {} late, {} refused, {} denied, {} failed ({:.2} % successes)",
            self.sent,
            self.served,
            self.late,
            self.refused,
            self.denied,
            self.failed,
            100.0 * self.success()
        )?;
        writeln!(
            f,
            "successes took {:.1} ms at the median, {:.1} ms at p99",
            self.p50_ms, self.p99_ms
        )?;
        for check in &self.checks {
            let mark = if check.held { "held  " } else { "BROKEN" };
            writeln!(f, "{mark}  {}: {}", check.rule, check.detail)?;
        }
        for margin in &self.margins {
            writeln!(f, "margin  {margin}")?;
        }
        Ok(())
    }
}

/// Counts the ends of requests.
pub fn count(ledger: &Ledger) -> Report {
    let ends = ledger.ends.borrow();
    let of = |end: End| ends.iter().filter(|(_, it, _)| *it == end).count();
    let mut took: Vec<f64> = (ends.iter())
        .filter(|(_, end, _)| matches!(end, End::Served | End::Late))
        .map(|(_, _, took)| took * 1000.0)
        .collect();
    took.sort_by(f64::total_cmp);
    let part = |part: f64| {
        took.get((took.len() as f64 * part) as usize)
            .copied()
            .unwrap_or(0.0)
    };
    Report {
        sent: ends.len(),
        served: of(End::Served),
        late: of(End::Late),
        refused: of(End::Refused),
        denied: of(End::Denied),
        failed: of(End::Failed),
        p50_ms: part(0.5),
        p99_ms: part(0.99),
        ..Report::default()
    }
}

/// Every rule of a rehearsal that the ledger can tell about.
pub fn judge(ledger: &Ledger, report: &Report, seconds: f64) -> Vec<Check> {
    let mut checks = judge_requests(ledger, report, seconds);
    let tries = ledger.tries.borrow();
    let mut tries: Vec<(u64, &Try)> = tries.iter().map(|(id, of)| (*id, of)).collect();
    tries.sort_by(|a, b| a.1.sent.total_cmp(&b.1.sent));
    checks.push(drained(ledger));
    checks.push(in_force(&ledger.sent.borrow(), &tries));
    checks
}

/// The rules of requests and answers, which hold at any time.
pub fn judge_requests(ledger: &Ledger, report: &Report, seconds: f64) -> Vec<Check> {
    let tries = ledger.tries.borrow();
    let mut tries: Vec<(u64, &Try)> = tries.iter().map(|(id, of)| (*id, of)).collect();
    tries.sort_by(|a, b| a.1.sent.total_cmp(&b.1.sent));
    let all = |wrong: &dyn Fn(&Try) -> Option<String>| -> Vec<String> {
        let wrongs = tries
            .iter()
            .filter_map(|(id, of)| Some((id, of, wrong(of)?)));
        wrongs
            .map(|(id, of, what)| format!("{:?} {id:016x} at {:.2} s {what}", of.kind, of.sent))
            .collect()
    };
    let unsafe_runs = tries
        .iter()
        .filter(|(_, of)| !of.kind.repeatable() && !of.runs.is_empty())
        .count();
    let refusals = |of: &Try| {
        of.seen
            .as_ref()
            .filter(|it| End::of_status(it.status) == End::Refused)
            .is_some()
    };
    let refused = tries.iter().filter(|(_, of)| refusals(of)).count();
    let good = tries.iter().filter(|(_, of)| succeeded(of)).count();
    let extra: u32 = tries
        .iter()
        .map(|(_, of)| of.arrivals.saturating_sub(1))
        .sum();
    let free = bounds::RETRY_SLACK * (seconds / 10.0).ceil();
    let budget = bounds::RETRY_RATIO * tries.len() as f64 + free;
    let over = (f64::from(extra) > budget).then(|| format!("{extra} arrivals beyond the first"));
    let strangers = ledger.strangers.borrow();
    let mut unasked = all(&|of| {
        let changed = of.runs.iter().any(|run| run.asked != of.asked);
        changed.then(|| "reached a worker changed".to_owned())
    });
    unasked.extend(strangers.iter().map(|id| format!("no client sent {id}")));
    let denied_at_most = 5 + report.sent / 500;
    let denied = report.denied > denied_at_most;
    let denied = denied.then(|| format!("{} proper requests denied", report.denied));
    vec![
        Check::new(
            "no unsafe request ran twice",
            &all(&|of| {
                let twice = !of.kind.repeatable() && of.runs.len() > 1;
                twice.then(|| format!("ran {} times", of.runs.len()))
            }),
            format!("{unsafe_runs} ran"),
        ),
        Check::new(
            "no unsafe request that was refused ran",
            &all(&|of| {
                let ran = !of.kind.repeatable() && refusals(of) && !of.runs.is_empty();
                ran.then(|| {
                    format!(
                        "was answered {} and ran",
                        of.seen.as_ref().map_or(0, |it| it.status)
                    )
                })
            }),
            format!("{refused} tries refused"),
        ),
        Check::new(
            "no answer mixed",
            &all(&mixed),
            format!("{good} successes compared"),
        ),
        Check::new(
            "every request came as it was sent",
            &unasked,
            format!("{} tries", tries.len()),
        ),
        Check::new(
            "proper requests not denied",
            denied.as_slice(),
            format!("{} of at most {denied_at_most}", report.denied),
        ),
        Check::new(
            "further arrivals within the budget",
            over.as_slice(),
            format!("{extra} of at most {budget:.0}"),
        ),
    ]
}

fn succeeded(of: &Try) -> bool {
    of.seen
        .as_ref()
        .is_some_and(|it| (200..300).contains(&it.status))
}

/// What is wrong with an answer, against what workers sent.
fn mixed(of: &Try) -> Option<String> {
    let seen = of.seen.as_ref()?;
    if seen.foreign {
        return Some("got the answer of another request".to_owned());
    }
    if !succeeded(of) {
        return None;
    }
    let Some(seal) = &seen.seal else {
        return Some("succeeded without a seal".to_owned());
    };
    match of.runs.iter().find(|run| run.seal == *seal) {
        None => Some("carries the seal of no run of it".to_owned()),
        Some(run) if run.body != seen.body => Some("has not its worker's body".to_owned()),
        Some(_) => None,
    }
}

fn drained(ledger: &Ledger) -> Check {
    let rule = "nothing reached a drained worker";
    let leaving = ledger.leaving.borrow();
    let (mut broken, mut counted) = (Vec::new(), Vec::new());
    for it in leaving.iter() {
        let Some(acknowledged) = it.acknowledged else {
            broken.push(format!("the drain of {} was never acknowledged", it.id));
            continue;
        };
        let last = it
            .arrivals
            .last()
            .map_or(0.0, |last| (last.at - acknowledged).max(0.0));
        counted.push(format!(
            "{} got its last {last:.2} s after the acknowledgement",
            it.id
        ));
        if last > bounds::DRAIN_S {
            broken.push(format!(
                "{} got one {last:.2} s after the acknowledgement",
                it.id
            ));
        }
    }
    let counted = if counted.is_empty() {
        "none drained".to_owned()
    } else {
        counted.join(", ")
    };
    Check::new(rule, &broken, counted)
}

/// Which version's doing a try shows, where only one's can be.
fn shows(of: &Try) -> Option<u64> {
    let status = of.seen.as_ref().map(|it| it.status);
    let ran_at = of.runs.first().map(|run| run.service);
    let by =
        |version: u64| ran_at.is_some_and(|service| services(version, of.kind).contains(&service));
    match of.kind {
        Kind::Read | Kind::Write | Kind::Long | Kind::Version(_) => None,
        _ if by(CHANGE) => Some(CHANGE),
        _ if by(FIRST) => Some(FIRST),
        Kind::Added if status == Some(404) => Some(FIRST),
        Kind::Dropped if status == Some(404) => Some(CHANGE),
        _ => None,
    }
}

fn in_force(sent: &[Sent], tries: &[(u64, &Try)]) -> Check {
    let mut broken = Vec::new();
    let valid = |version: u64| sent.iter().find(|it| it.version == version && it.valid);
    let change = valid(CHANGE);
    let due = change
        .and_then(|it| it.acknowledged)
        .map(|at| at + bounds::APPLY_S);
    let mut first_seen: HashMap<(usize, u32), f64> = HashMap::new();
    for (_, of) in tries.iter().filter(|(_, of)| shows(of) == Some(CHANGE)) {
        let at = of.runs.first().map_or(of.sent, |run| run.at);
        let first = first_seen.entry(of.proxy).or_insert(at);
        *first = first.min(at);
    }
    let (mut by_first, mut by_change, mut lag) = (0, 0, 0.0_f64);
    for (id, of) in tries {
        let what = format!("{:?} {id:016x} at {:.2} s", of.kind, of.sent);
        for run in &of.runs {
            let allowed = sent.iter().filter(|it| it.valid && it.at <= run.at);
            if !allowed
                .clone()
                .any(|it| services(it.version, of.kind).contains(&run.service))
            {
                broken.push(format!(
                    "{what} ran at {}, which no version allows",
                    run.service
                ));
            }
        }
        match shows(of) {
            Some(CHANGE) => by_change += 1,
            Some(_) => {
                by_first += 1;
                if let Some(at) = change.and_then(|it| it.acknowledged) {
                    lag = lag.max(of.sent - at);
                }
                if due.is_some_and(|due| of.sent > due) {
                    broken.push(format!("{what} was handled by the old version"));
                }
                let seen = first_seen.get(&of.proxy);
                if seen.is_some_and(|seen| of.sent > seen + bounds::ROLLBACK_S) {
                    broken.push(format!("{what}: proxy {} went back", of.proxy.0 + 1));
                }
            }
            None => {}
        }
    }
    let counted = format!(
        "{by_first} tries show the first version, {by_change} the change, the last of the first \
         {lag:.2} s after the acknowledgement"
    );
    Check::new("the version in force is the right one", &broken, counted)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ledger::{Run, Seen};

    /// A ledger with one try that ran at these services, and was seen with this status.
    fn one(kind: Kind, services: &[&'static str], status: u16, body: u64) -> Ledger {
        let ledger = Ledger::new();
        ledger.version(FIRST, true);
        ledger.acknowledge(FIRST);
        ledger.send(7, kind, (0, 0), 1);
        for service in services {
            let (at, seal) = (ledger.now(), "s".to_owned());
            ledger.run(
                7,
                Run {
                    at,
                    service,
                    asked: 1,
                    seal,
                    body: 5,
                    work_s: 0.0,
                    ended: Some(at),
                },
            );
        }
        let (seal, foreign) = ((status == 200).then(|| "s".to_owned()), false);
        ledger.see(
            7,
            Seen {
                status,
                seal,
                foreign,
                body,
            },
        );
        ledger
    }

    fn broken(ledger: &Ledger) -> Vec<&'static str> {
        let checks = judge(ledger, &count(ledger), 10.0);
        checks
            .iter()
            .filter(|check| !check.held)
            .map(|check| check.rule)
            .collect()
    }

    #[test]
    fn what_is_in_order_is_not_held_against_anyone() {
        assert_eq!(
            broken(&one(Kind::Write, &["writes"], 200, 5)),
            Vec::<&str>::new()
        );
        assert_eq!(
            broken(&one(Kind::Read, &["simulator", "simulator"], 200, 5)),
            Vec::<&str>::new()
        );
        assert_eq!(broken(&one(Kind::Write, &[], 503, 0)), Vec::<&str>::new());
        assert_eq!(broken(&one(Kind::Added, &[], 404, 0)), Vec::<&str>::new());
    }

    #[test]
    fn each_rule_is_found_broken() {
        let twice = one(Kind::Write, &["writes", "writes"], 200, 5);
        assert_eq!(broken(&twice), ["no unsafe request ran twice"]);
        let refused = one(Kind::Write, &["writes"], 503, 0);
        assert_eq!(broken(&refused), ["no unsafe request that was refused ran"]);
        let mixed = one(Kind::Read, &["simulator"], 200, 6);
        assert_eq!(broken(&mixed), ["no answer mixed"]);
        let elsewhere = one(Kind::Read, &["writes"], 200, 5);
        assert_eq!(
            broken(&elsewhere),
            ["the version in force is the right one"]
        );
        let stranger = one(Kind::Read, &["simulator"], 200, 5);
        assert_eq!(stranger.arrive("8"), None);
        assert_eq!(broken(&stranger), ["every request came as it was sent"]);
    }

    #[test]
    fn a_forager_that_goes_back_is_found() {
        let ledger = one(Kind::Read, &["simulator"], 200, 5);
        ledger.version(CHANGE, true);
        ledger.acknowledge(CHANGE);
        ledger.send(8, Kind::Dropped, (0, 0), 1);
        let gone = Seen {
            status: 404,
            seal: None,
            foreign: false,
            body: 0,
        };
        ledger.see(8, gone.clone());
        std::thread::sleep(std::time::Duration::from_millis(300));
        ledger.send(9, Kind::Added, (1, 0), 1);
        ledger.see(9, gone.clone());
        assert_eq!(broken(&ledger), Vec::<&str>::new());
        ledger.send(10, Kind::Added, (0, 0), 1);
        ledger.see(10, gone);
        assert_eq!(broken(&ledger), ["the version in force is the right one"]);
    }
}
