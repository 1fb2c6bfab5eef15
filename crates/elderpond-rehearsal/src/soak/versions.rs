//! The configurations of a soak. Each has a route of its own, by which it is seen which version a proxy is
//! at.
//!
//! A version keeps the routes of the last valid ones before it and drops older ones. Of two versions that
//! were sent under one number each has its route alone.

use std::cell::{Cell, RefCell};

use bytes::Bytes;
use serde_json::{Value, json};

use crate::ledger::{Kind, digest};
use crate::operator::{self, ADDED_SERVICE, AIM_S, READ_SERVICE, WRITE_SERVICE};

/// Versions whose routes a later one keeps.
const KEPT: usize = 10;
/// The newest versions, on whose routes requests are sent: those that were dropped lately among them.
const ASKED: u32 = 24;
/// Seconds that a request may take on any route.
const TIMEOUT_S: f64 = 3.0;

/// What a version is sent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A change like any other.
    Change,
    /// One of two under one number.
    Race,
    /// It has a fault, and is to be refused.
    Invalid,
}

/// What became of a version at the operator's.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    /// No clear answer: it may be in force or not.
    Unclear,
    /// Acknowledged at that moment, in seconds since the start.
    Acknowledged(f64),
    /// Refused with this status.
    Refused(u16),
}

/// A version that was sent.
#[derive(Clone, Debug)]
pub struct Version {
    /// The number that it bears.
    pub number: u64,
    /// What for.
    pub purpose: Purpose,
    /// What became of it.
    pub reply: Reply,
    /// When it was sent first, in seconds since the start.
    pub sent_at: f64,
    /// The versions whose routes it has, itself among them, by their places.
    pub routes: Vec<u32>,
    /// Digest of the configuration.
    pub digest: u64,
}

/// All versions, in the order in which they were sent.
#[derive(Debug, Default)]
pub struct Versions {
    all: RefCell<Vec<Version>>,
    limits: Cell<Limits>,
}

/// How long clients may take, by the versions made from now on.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Seconds that a connection may be idle.
    pub idle_s: f64,
    /// Seconds that a head may take.
    pub header_s: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            idle_s: 15.0,
            header_s: 3.0,
        }
    }
}

impl Versions {
    /// Makes the next version, to be sent now, with so many routes beside that nobody asks for; its place,
    /// and the configuration as it is sent.
    pub fn add(&self, number: u64, purpose: Purpose, fillers: u32, now: f64) -> (u32, Bytes) {
        let mut all = self.all.borrow_mut();
        let nth = all.len() as u32;
        let kept = (0..nth).rev().filter(|nth| {
            let earlier = &all[*nth as usize];
            earlier.purpose == Purpose::Change && earlier.number < number
        });
        let mut routes: Vec<u32> = kept.take(KEPT).collect();
        routes.push(nth);
        let mut text = configuration(number, &routes, purpose, fillers);
        let limits = self.limits.get();
        text["limits"]["idle-timeout-s"] = json!(limits.idle_s);
        text["limits"]["header-timeout-s"] = json!(limits.header_s);
        all.push(Version {
            number,
            purpose,
            reply: Reply::Unclear,
            sent_at: now,
            routes,
            digest: digest(&text),
        });
        (nth, text.to_string().into())
    }

    /// Versions made from now on have these limits.
    pub fn set_limits(&self, limits: Limits) {
        self.limits.set(limits);
    }

    /// Notes what became of a version.
    pub fn replied(&self, nth: u32, reply: Reply) {
        if let Some(version) = self.all.borrow_mut().get_mut(nth as usize) {
            version.reply = reply;
        }
    }

    /// The next number.
    pub fn next_number(&self) -> u64 {
        let all = self.all.borrow();
        all.iter().map(|it| it.number).max().unwrap_or(0) + 1
    }

    /// All of them.
    pub fn all(&self) -> Vec<Version> {
        self.all.borrow().clone()
    }

    /// One of the newest, by what was drawn.
    pub fn recent(&self, drawn: u32) -> Option<u32> {
        let count = self.all.borrow().len() as u32;
        (count > 0).then(|| count - 1 - drawn % count.min(ASKED))
    }
}

/// The service that requests of a kind go to.
pub fn service(kind: Kind) -> &'static str {
    match kind {
        Kind::Write => WRITE_SERVICE,
        Kind::Long => ADDED_SERVICE,
        _ => READ_SERVICE,
    }
}

fn rule(kind: Kind, service: &str) -> Value {
    json!({
        "name": kind.prefix().trim_matches('/').replace('/', "-"),
        "kind": if kind.repeatable() { "safe" } else { "unsafe" },
        "target-latency-s": AIM_S,
        "priority": 1,
        "match-condition": {"path-prefix": kind.prefix()},
        "route-action": {"service": service, "timeout-s": TIMEOUT_S, "attempts": 2},
    })
}

/// A route that nobody asks for, the same in each version; its name hardly deflates.
fn idle_rule(nth: u32) -> Value {
    let key = format!("{:016x}{:016x}", digest(nth), digest((nth, nth)));
    let mut rule = rule(Kind::Read, READ_SERVICE);
    rule["name"] = json!(format!("idle-{key}"));
    rule["match-condition"]["path-prefix"] = json!(format!("/idle/{key}/"));
    rule
}

fn configuration(number: u64, routes: &[u32], purpose: Purpose, fillers: u32) -> Value {
    let own = routes.last().copied().unwrap_or(0);
    let wrong = |nth: u32| purpose == Purpose::Invalid && nth == own;
    let target = |nth| if wrong(nth) { "nowhere" } else { READ_SERVICE };
    let staying = [Kind::Read, Kind::Write, Kind::Long];
    let staying = staying.into_iter().map(|kind| rule(kind, service(kind)));
    let versions = routes
        .iter()
        .map(|nth| rule(Kind::Version(*nth), target(*nth)));
    let rules: Vec<Value> = staying
        .chain(versions)
        .chain((0..fillers).map(idle_rule))
        .collect();
    operator::configuration(number, &rules)
}
