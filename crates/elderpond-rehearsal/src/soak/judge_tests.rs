//! Each rule of the judge of a soak is broken by a ledger that was forged for it.

use std::thread::sleep;
use std::time::Duration;

use serde_json::{Value, json};

use super::judge::{Evidence, ReadBack, ended_in_order, judge, recovered};
use super::margins::{Margin, margins};
use super::timeline::{Cause, Timeline, Trouble};
use super::versions::{Purpose, Reply, Version, service};
use crate::ledger::{Arrival, End, Id, Kind, Leaving, Ledger, Run, Seen, digest};

const ID: Id = 7;
/// The proxy behind the control nodes.
const PROXY: usize = 3;

/// What a forged soak saw.
struct Forged {
    ledger: Ledger,
    timeline: Timeline,
    versions: Vec<Version>,
    reads: Vec<ReadBack>,
    /// The service of the worker that runs it.
    worker_of: &'static str,
}

impl Forged {
    /// One request of a kind that was sent whole; its ledger's clock is at 0.
    fn new(kind: Kind) -> Self {
        let ledger = Ledger::new();
        ledger.send(ID, kind, (0, 0), 1);
        ledger.sent_whole(ID, false);
        Self {
            ledger,
            timeline: Timeline {
                control_nodes: PROXY,
                troubles: Vec::new(),
            },
            versions: Vec::new(),
            reads: Vec::new(),
            worker_of: service(kind),
        }
    }

    fn version(mut self, number: u64, purpose: Purpose, reply: Reply) -> Self {
        let nth = self.versions.len();
        let text = text(number, nth);
        let before = self.versions.iter().enumerate();
        let kept = before.filter(|(_, it)| it.purpose == Purpose::Change);
        let mut routes: Vec<u32> = kept.map(|(nth, _)| nth as u32).collect();
        routes.push(nth as u32);
        self.versions.push(Version {
            number,
            purpose,
            reply,
            sent_at: -10.0,
            routes,
            digest: digest(&text),
        });
        self
    }

    fn answered(self, status: u16) -> Self {
        let good = status == 200;
        let seal = good.then(|| "seal".to_owned());
        let seen = Seen {
            status,
            seal,
            foreign: false,
            body: 5,
        };
        self.ledger.see(ID, seen);
        self
    }

    /// A worker began it, and is at it for so long.
    fn run(self, work_s: f64) -> Self {
        self.ledger.arrive(&format!("{ID:016x}"));
        let run = Run {
            at: self.ledger.now(),
            service: self.worker_of,
            asked: 1,
            seal: "seal".to_owned(),
            body: 5,
            work_s,
            ended: None,
        };
        self.ledger.run(ID, run);
        self
    }

    fn trouble(mut self, cause: Cause, from: f64, to: f64) -> Self {
        self.timeline.troubles.push(Trouble {
            machine: PROXY,
            cause,
            from,
            to,
        });
        self
    }

    fn evidence(&self) -> Evidence<'_> {
        Evidence {
            ledger: &self.ledger,
            timeline: &self.timeline,
            versions: &self.versions,
            reads: &self.reads,
            seconds: 10.0,
        }
    }

    fn margins(&self) -> Vec<Margin> {
        margins(&self.evidence())
    }

    fn broken(&self) -> Vec<&'static str> {
        let checks = judge(&self.evidence());
        let broken = checks.into_iter().filter(|check| !check.held);
        broken.map(|check| check.rule).collect()
    }
}

/// A configuration.
fn text(number: u64, nth: usize) -> Value {
    json!({"version-number": format!("r{number}"), "nth": nth})
}

const NONE: [&str; 0] = [];
const BUDGET: &str = "further arrivals within the budget";
const DENIED: &str = "proper requests not denied";
const ROUTE: &str = "ROUTE: requests are run by the service of their route";
const LOST: &str = "LOST: planned ends cost no request that was read";
const GONE: &str = "GONE: work ends for clients that left";
const DRAIN: &str = "DRAIN: nothing reached a drained worker";
const IN_TIME: &str = "CONFIG: versions are in force in time";
const GOES_BACK: &str = "CONFIG: no proxy goes back";
const REFUSED: &str = "CONFIG: nothing refused is in force";
const READS: &str = "CONFIG: reads are never older";

#[test]
fn what_is_in_order_breaks_nothing() {
    let forged = Forged::new(Kind::Version(0))
        .version(1, Purpose::Change, Reply::Acknowledged(-9.0))
        .run(0.0)
        .answered(200);
    assert_eq!(forged.broken(), NONE);
}

#[test]
fn a_request_run_by_another_service_breaks_route() {
    let mut forged = Forged::new(Kind::Read);
    forged.worker_of = service(Kind::Write);
    assert_eq!(forged.run(0.0).answered(200).broken(), [ROUTE]);
}

#[test]
fn a_request_cut_by_a_planned_end_breaks_lost() {
    let cut = || {
        let forged = Forged::new(Kind::Read)
            .run(0.01)
            .trouble(Cause::Planned, -1.0, 9.0);
        forged.ledger.run_ended(ID, 0, false);
        forged.ledger.cut(ID, false);
        forged
    };
    assert_eq!(cut().broken(), [LOST]);
    assert_eq!(
        cut().trouble(Cause::Unplanned, -2.0, -1.0).broken(),
        NONE,
        "a kill"
    );
    let broken_off = cut();
    broken_off.ledger.run_ended(ID, 0, true);
    assert_eq!(broken_off.broken(), NONE, "the worker broke off");
}

#[test]
fn an_answer_in_the_place_of_a_worker_that_was_stopped_breaks_lost() {
    let stopped = |status| {
        let forged = Forged::new(Kind::Read).run(2.0).answered(status);
        forged.ledger.run_ended(ID, 0, false);
        forged.trouble(Cause::Planned, -1.0, 9.0)
    };
    assert_eq!(stopped(502).broken(), [LOST]);
    assert_eq!(stopped(500).broken(), NONE, "its worker's own");
}

#[test]
fn work_for_clients_that_left_breaks_gone() {
    let forged = Forged::new(Kind::Long).run(2.0);
    forged.ledger.depart(ID);
    assert_eq!(forged.broken(), [GONE]);
    forged.ledger.run_ended(ID, 0, false);
    assert_eq!(forged.broken(), NONE, "it was stopped at once");
}

#[test]
fn a_request_at_a_worker_long_drained_breaks_drain() {
    let forged = Forged::new(Kind::Read);
    forged.ledger.drain("worker");
    forged.ledger.drained("worker");
    let mut leaving = forged.ledger.leaving.borrow_mut();
    let (at, proxy) = (3.0, Some(0));
    leaving[0].arrivals.push(Arrival { at, proxy });
    drop(leaving);
    assert_eq!(forged.broken(), [DRAIN]);
    assert_eq!(
        forged.trouble(Cause::Unplanned, 1.0, 2.0).broken(),
        NONE,
        "out of touch"
    );
}

#[test]
fn an_old_version_breaks_in_force_in_time() {
    let behind = |acknowledged| {
        Forged::new(Kind::Version(0))
            .version(1, Purpose::Change, Reply::Unclear)
            .version(2, Purpose::Change, Reply::Acknowledged(acknowledged))
            .answered(404)
    };
    assert_eq!(behind(-3.0).broken(), [IN_TIME]);
    assert_eq!(behind(-2.0).broken(), NONE, "it had time");
    let cut = |from, to| behind(-3.0).trouble(Cause::CutFromControlNodes, from, to);
    assert_eq!(cut(-9.0, 9.0).broken(), [IN_TIME], "the rest is in touch");
    assert_eq!(cut(-2.0, 9.0).broken(), NONE, "the cut has just begun");
    let out_of_touch = behind(-3.0).trouble(Cause::Unplanned, -2.0, -1.0);
    assert_eq!(out_of_touch.broken(), NONE, "out of touch");
}

#[test]
fn a_dropped_route_that_is_served_breaks_in_force_in_time() {
    let mut forged = Forged::new(Kind::Version(0))
        .version(1, Purpose::Change, Reply::Acknowledged(-9.0))
        .version(2, Purpose::Change, Reply::Acknowledged(-3.0))
        .run(0.0)
        .answered(200);
    assert_eq!(forged.broken(), NONE, "it is kept");
    forged.versions[1].routes = vec![1];
    assert_eq!(forged.broken(), [IN_TIME]);
    let unclear = forged.version(3, Purpose::Change, Reply::Unclear);
    assert_eq!(unclear.broken(), NONE, "one that may be in force has it");
}

#[test]
fn a_proxy_that_goes_back_is_found() {
    let forged = Forged::new(Kind::Version(0))
        .version(1, Purpose::Change, Reply::Unclear)
        .run(0.0)
        .answered(200);
    sleep(Duration::from_millis(300));
    forged.ledger.send(8, Kind::Version(0), (0, 0), 1);
    let not_found = Seen {
        status: 404,
        seal: None,
        foreign: false,
        body: 0,
    };
    forged.ledger.see(8, not_found);
    assert_eq!(forged.broken(), [GOES_BACK]);
}

#[test]
fn what_was_refused_or_invalid_and_is_in_force_is_found() {
    let shown = |purpose, reply| {
        Forged::new(Kind::Version(0))
            .version(1, purpose, reply)
            .run(0.0)
            .answered(200)
    };
    assert_eq!(
        shown(Purpose::Invalid, Reply::Refused(400)).broken(),
        [REFUSED]
    );
    assert_eq!(
        shown(Purpose::Race, Reply::Refused(409)).broken(),
        [REFUSED]
    );
    let acknowledged = shown(Purpose::Race, Reply::Acknowledged(0.0));
    assert_eq!(acknowledged.broken(), NONE);
    let both = acknowledged.version(1, Purpose::Race, Reply::Acknowledged(0.0));
    assert_eq!(both.broken(), [REFUSED]);
}

#[test]
fn an_older_version_read_back_is_found() {
    let mut forged = Forged::new(Kind::Read)
        .version(1, Purpose::Change, Reply::Acknowledged(0.0))
        .version(2, Purpose::Change, Reply::Acknowledged(1.0));
    forged.reads.push(ReadBack::new(2.0, 0, &text(1, 0)));
    assert_eq!(forged.broken(), [READS]);
    forged.reads[0].asked = 0.5;
    assert_eq!(forged.broken(), NONE, "it was the newest then");
    forged.reads[0] = ReadBack::new(2.0, 0, &json!({"version-number": "r2"}));
    assert_eq!(forged.broken(), [READS], "nobody sent it so");
}

#[test]
fn arrivals_beyond_the_first_without_end_break_budget() {
    let forged = Forged::new(Kind::Read).run(0.0).answered(200);
    // one request, of which 58 further arrivals are free
    let arrive = |times: u32| {
        for _ in 0..times {
            forged.ledger.arrive(&format!("{ID:016x}"));
        }
    };
    arrive(58);
    assert_eq!(forged.broken(), NONE);
    arrive(1);
    assert_eq!(forged.broken(), [BUDGET]);
}

#[test]
fn proper_requests_that_are_denied_break_denied() {
    let forged = Forged::new(Kind::Read).answered(404);
    let deny = |times: u32| {
        for _ in 0..times {
            forged.ledger.end(Kind::Read, End::of_status(404), 0.1);
        }
    };
    deny(5);
    assert_eq!(forged.broken(), NONE);
    deny(1);
    assert_eq!(forged.broken(), [DENIED]);
}

#[test]
fn a_proxy_that_serves_nothing_or_a_silent_control_node_breaks_recover() {
    let forged = Forged::new(Kind::Read).run(0.0).answered(200);
    let recovers =
        |proxies, after, told: &[bool]| recovered(&forged.ledger, proxies, after, told).held;
    assert!(recovers(1, -1.0, &[true, true]));
    assert!(!recovers(2, -1.0, &[true, true]), "the second proxy");
    assert!(!recovers(1, 1.0, &[true, true]), "it served before");
    assert!(!recovers(1, -1.0, &[true, false]), "a control node");
    let refused = Forged::new(Kind::Read).answered(503);
    let told = recovered(&refused.ledger, 1, -1.0, &[]);
    assert!(!told.held);
    assert_eq!(told.detail, "proxy-1 served none of 1 requests");
}

#[test]
fn the_margin_of_a_version_counts_from_the_first_that_was_not_in_force() {
    let acknowledged = |at| Reply::Acknowledged(at);
    let forged = |status| {
        Forged::new(Kind::Version(1))
            .version(1, Purpose::Change, acknowledged(-9.0))
            .version(2, Purpose::Change, acknowledged(-2.0))
            .version(3, Purpose::Change, acknowledged(-1.0))
            .answered(status)
    };
    let behind = forged(404).margins().remove(0);
    assert!((2.0..2.5).contains(&behind.worst_s), "{behind}");
    assert!(behind.seen.starts_with("r2 at proxy-1"), "{behind}");
    let in_force = forged(200).run(0.0).margins().remove(0);
    assert_eq!(in_force.worst_s, 0.0, "{in_force}");
    let not_in_touch = forged(404).trouble(Cause::Planned, -1.0, 9.0);
    assert_eq!(not_in_touch.margins()[0].worst_s, 0.0);
}

#[test]
fn the_margin_of_a_departure_counts_to_the_last_request() {
    let forged = Forged::new(Kind::Read);
    let arrival = |at, proxy| Arrival { at, proxy };
    forged.ledger.leaving.borrow_mut().push(Leaving {
        id: "w".to_owned(),
        acknowledged: Some(1.0),
        arrivals: vec![
            arrival(1.1, Some(0)),
            arrival(1.4, Some(0)),
            arrival(5.0, None),
        ],
    });
    let margin = forged.margins().remove(1);
    assert!((margin.worst_s - 0.4).abs() < 1e-9, "{margin}");
}

#[test]
fn a_process_that_ends_otherwise_than_told_is_found() {
    assert!(ended_in_order(&[], 13).held);
    assert!(!ended_in_order(&["proxy-1 ended by itself".to_owned()], 13).held);
}

#[test]
fn a_late_cut_is_excused_in_the_last_sixth_of_the_grace_period_alone() {
    // told 3.5, 4.7 or 5.2 s ago; the request is sent, begun and cut now
    let cut = |told_ago: f64, sent_ago: f64| {
        let forged = Forged::new(Kind::Read).run(9.0);
        forged.ledger.run_ended(ID, 0, false);
        forged.ledger.cut(ID, false);
        let mut tries = forged.ledger.tries.borrow_mut();
        tries.get_mut(&ID).expect("sent").sent -= sent_ago;
        drop(tries);
        forged.trouble(Cause::Planned, -told_ago, 9.0)
    };
    assert_eq!(cut(5.2, 2.4).broken(), NONE, "sent 2.8 s after the signal");
    assert_eq!(cut(5.2, 1.0).broken(), [LOST], "sent 4.2 s after it");
    assert_eq!(cut(4.7, 2.4).broken(), [LOST], "before the last sixth");
}

#[test]
fn a_request_that_was_reset_unread_breaks_nothing() {
    let cut = |reset| {
        let forged = Forged::new(Kind::Read).trouble(Cause::Planned, -1.0, 9.0);
        sleep(Duration::from_millis(250));
        forged.ledger.cut(ID, reset);
        forged
    };
    assert_eq!(cut(false).broken(), [LOST]);
    assert_eq!(cut(true).broken(), NONE);
}

#[test]
fn a_process_short_of_time_is_not_excused_where_it_loses() {
    let forged = Forged::new(Kind::Read).run(0.01);
    forged.ledger.run_ended(ID, 0, false);
    forged.ledger.cut(ID, false);
    let forged = forged
        .trouble(Cause::Planned, -1.0, 9.0)
        .trouble(Cause::ShortOfTime, -2.0, 9.0);
    assert_eq!(forged.broken(), [LOST]);
}
