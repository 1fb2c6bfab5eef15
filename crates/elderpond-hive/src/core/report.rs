//! What operators are told of a hive.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use elderpond_consensus::VoterStatus;
use elderpond_registry::State;
use serde::Serialize;

use super::Hive;
use crate::{Answer, Millis};

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Status<'a> {
    node: &'a str,
    address: Ipv4Addr,
    zone: &'a str,
    up_ms: Millis,
    majority: bool,
    /// How long ago the confirmation began by which it vouches.
    confirmed_ms: Option<Millis>,
    settled: bool,
    stopping: bool,
    hives: Vec<Ipv4Addr>,
    epoch: u64,
    votes: bool,
    voters: Vec<VoterStatus>,
    in_force: u64,
    marks: usize,
    writing_ms: Option<Millis>,
    workers_ready: usize,
    foragers_here: usize,
    /// How many of them speak which version of the wire.
    proxies_by_wire: BTreeMap<u8, usize>,
    foragers: usize,
    calls_waiting: usize,
    /// How late versions and departures were at the foragers that follow it.
    lag: &'a super::lag::Lag,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Worker {
    id: String,
    service: String,
    address: SocketAddrV4,
    zone: String,
    slots: u16,
    state: State,
    listed: bool,
    silent_ms: u32,
    cold_ms: u32,
    weight: u8,
    why: Option<String>,
    tries: u32,
    failed: u32,
    took_ms: f64,
}

impl Hive {
    fn proxies_by_wire(&self) -> BTreeMap<u8, usize> {
        let mut counts = BTreeMap::new();
        for forager in self.foragers.values() {
            *counts.entry(forager.wire).or_default() += 1;
        }
        counts
    }

    pub(super) fn status(&self) -> Answer {
        let replica = self.replica.status();
        Answer::json(&Status {
            node: &self.place.name,
            address: self.place.me,
            zone: &self.place.zone,
            up_ms: self.now.saturating_sub(self.began),
            majority: self.majority.0,
            confirmed_ms: self.contact.age(self.now),
            settled: self.settled,
            stopping: self.stopping,
            hives: self.membership.alive().collect(),
            epoch: replica.epoch,
            votes: replica.active,
            voters: replica.voters,
            in_force: replica.in_force,
            marks: replica.marks,
            writing_ms: replica
                .writing_since
                .map(|since| self.now.saturating_sub(since)),
            workers_ready: self.registry.ready(),
            foragers_here: self.foragers.len(),
            proxies_by_wire: self.proxies_by_wire(),
            foragers: self.foragers_of_all(),
            calls_waiting: self.calls.len(),
            lag: &self.lag,
        })
    }

    pub(super) fn workers(&self) -> Answer {
        let mut all: Vec<Worker> = (self.registry.all(self.now))
            .map(|(number, life)| {
                let explained = self.nectar.explain(number.0);
                let told = self.weights.get(&number).copied();
                Worker {
                    listed: self.registry.listed(number),
                    weight: told.unwrap_or(100),
                    why: explained.as_ref().map(|it| format!("{:?}", it.standing)),
                    tries: explained.as_ref().map_or(0, |it| it.tries),
                    failed: explained.as_ref().map_or(0, |it| it.failed),
                    took_ms: explained.as_ref().map_or(0.0, |it| it.took_ms),
                    id: life.id,
                    service: life.service,
                    address: life.address,
                    zone: life.zone,
                    slots: life.slots,
                    state: life.state,
                    silent_ms: life.silent_ms,
                    cold_ms: life.cold_ms,
                }
            })
            .collect();
        all.sort_by(|a, b| (&a.service, &a.id).cmp(&(&b.service, &b.id)));
        Answer::json(&all)
    }
}
