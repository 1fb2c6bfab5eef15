//! One service: its manager, and turns at probes.

use std::collections::BTreeMap;

use elderpond::Manager;
use elderpond::interface as core;

use crate::nectar::{Load, Millis, Rules};

/// How long a failed probe stands in for those that had no turn, in ms.
pub const STANDS_MS: Millis = 30_000;
/// The aim that the manager is told, in ms; times are scaled to it.
const AIM_MS: f64 = 1000.0;
/// The one virtual proxy that reads the shared table, and that table.
const PROXY: core::ProxyId = 0;
const SHARED: core::TableId = 0;
/// A wish for a probe is dropped after this span, in ms: the manager repeats it each second. One that
/// found no turn for the shorter span is answered by the failure of before.
const WISH_MS: Millis = 1500;
const UNMET_MS: Millis = 1000;
/// A good probe earns another turn at once if the one before is longer ago than this, in ms.
const PAIR_MS: Millis = 3000;
/// What no queue or channel reaches here.
const UNBOUNDED: f64 = 1e12;

/// What foragers met at a worker since the last look.
#[derive(Debug, Default)]
pub(crate) struct Met {
    pub(crate) tries: u32,
    pub(crate) failed: u32,
    /// Times of the good ones together, in ms.
    pub(crate) time: f64,
    pub(crate) covers_ms: f64,
}

/// A worker's turns at probes.
#[derive(Debug, Default)]
struct Turn {
    /// The first wish that is not met, and the latest.
    wished: Option<(Millis, Millis)>,
    sent: Option<Millis>,
    good: Option<Millis>,
    failed: Option<Millis>,
    /// The last one was good, and another makes a pair.
    pair: bool,
}

/// What a look at a service brought; workers by their short number.
pub(crate) enum Brought {
    Weight(u32, f64),
    Probe(u32),
    Log(String),
}

pub(crate) struct Service {
    manager: Manager,
    /// Mean aim of the routes, in ms.
    pub(crate) aim_ms: f64,
    /// The longest that a client waits, in ms.
    pub(crate) give_up_ms: f64,
    use_load: bool,
    events: Vec<core::Event>,
    turns: BTreeMap<u32, Turn>,
    probe_at: f64,
    probe_gap: f64,
    actions: Vec<core::Action>,
}

impl Service {
    pub(crate) fn new(seed: u64, rules: &Rules) -> Self {
        let joined = core::Joined {
            proxy: PROXY,
            zone: 0,
            rate: 1.0,
            fresh: true,
        };
        let probes = rules.probes_per_s > 0.0;
        Self {
            manager: Manager::new(seed, settings(probes, rules)),
            aim_ms: AIM_MS,
            give_up_ms: AIM_MS,
            use_load: rules.use_load,
            events: vec![core::Event::Joined(joined)],
            turns: BTreeMap::new(),
            probe_at: 0.0,
            probe_gap: if probes {
                1000.0 / rules.probes_per_s
            } else {
                f64::INFINITY
            },
            actions: Vec::new(),
        }
    }

    pub(crate) fn list(&mut self, worker: u32, zone: u16, condition: core::Condition) {
        if condition != core::Condition::Ready {
            self.turns.remove(&worker);
        }
        let entry = core::Entry {
            worker,
            weight: 1.0,
            zone,
            started: 0.0,
            condition,
        };
        if let Some(core::Event::List { entries, .. }) = self.events.last_mut() {
            entries.push(entry);
            return;
        }
        self.events.push(core::Event::List {
            kind: core::ListKind::Delta,
            entries: vec![entry],
        });
    }

    pub(crate) fn met(&mut self, worker: u32, zone: u16, met: &Met, load: Option<Load>) {
        let good = met.tries.saturating_sub(met.failed);
        let mean = met.time / f64::from(good.max(1));
        self.events.push(core::Event::Heard(core::Heard {
            zone,
            worker,
            tries: met.tries,
            failed: met.failed,
            took_ms: mean / self.aim_ms * AIM_MS,
            covers_ms: met.covers_ms,
            load: self.load(load),
        }));
    }

    pub(crate) fn probed(
        &mut self,
        now: Millis,
        worker: u32,
        ok: bool,
        took_ms: f64,
        load: Option<Load>,
    ) {
        let turn = self.turns.entry(worker).or_default();
        let lone = turn.good.is_none_or(|at| now.saturating_sub(at) > PAIR_MS);
        turn.pair = ok && lone;
        (turn.good, turn.failed) = if ok {
            (Some(now), None)
        } else {
            (None, Some(now))
        };
        let load = self.load(load);
        self.push_probed(worker, ok, took_ms, load);
    }

    fn push_probed(&mut self, worker: u32, ok: bool, took_ms: f64, load: Vec<f64>) {
        let outcome = match ok {
            true => core::ProbeOutcome::Ok,
            false => core::ProbeOutcome::Failed,
        };
        self.events.push(core::Event::Probed(core::Probed {
            worker,
            outcome,
            took_ms,
            load,
        }));
    }

    /// The load as the manager reads it: busy slots, and full while something waits.
    fn load(&self, load: Option<Load>) -> Vec<f64> {
        if !self.use_load {
            return Vec::new();
        }
        load.map(|load| vec![load.busy()]).unwrap_or_default()
    }

    /// Hands over what was gathered and brings what follows from it.
    pub(crate) fn look(&mut self, now: Millis, out: &mut Vec<Brought>) {
        self.stand_in(now);
        let at = now as f64;
        self.events.push(core::Event::Timer { token: 0 }); // has it look, whatever its own pace
        self.manager.handle(at, &self.events, &mut self.actions);
        self.events.clear();
        let mut marks = Vec::new();
        for action in self.actions.drain(..) {
            match action {
                core::Action::SetWeight {
                    table: SHARED,
                    worker,
                    weight,
                } => out.push(Brought::Weight(worker, weight)),
                core::Action::Probe { worker } => {
                    let turn = self.turns.entry(worker).or_default();
                    let first = turn.wished.map_or(now, |(first, _)| first);
                    turn.wished = Some((first, now));
                }
                core::Action::Log { text } => out.push(Brought::Log(text)),
                core::Action::Mark { mark } => {
                    marks.push(core::Event::Applied { mark, proxy: PROXY })
                }
                _ => {}
            }
        }
        if !marks.is_empty() {
            self.manager.handle(at, &marks, &mut self.actions); // at once: nothing is on its way here
            self.actions.clear();
        }
        self.take_turns(now, out);
    }

    /// Where a wish finds no turn, the failure of before stands for a while.
    fn stand_in(&mut self, now: Millis) {
        let mut waiting = Vec::new();
        for (&worker, turn) in &mut self.turns {
            let failed = turn.failed;
            let stands = failed.is_some_and(|at| now.saturating_sub(at) <= STANDS_MS);
            let first = turn.wished.as_mut().map(|(first, _)| first);
            let unmet = first.filter(|first| now.saturating_sub(**first) >= UNMET_MS && stands);
            if let Some(first) = unmet {
                *first = now;
                waiting.push(worker);
            }
        }
        for worker in waiting {
            self.push_probed(worker, false, 0.0, Vec::new());
        }
    }

    /// Gives the next turns, evenly spread.
    fn take_turns(&mut self, now: Millis, out: &mut Vec<Brought>) {
        let at = now as f64;
        self.probe_at = self.probe_at.max(at - self.probe_gap.min(100.0));
        while self.probe_at <= at {
            let wishes = self.turns.iter().filter(|(_, turn)| {
                let wished = turn.wished;
                wished.is_some_and(|(_, last)| now.saturating_sub(last) <= WISH_MS)
            });
            let next = wishes.min_by_key(|(_, turn)| (!turn.pair, turn.sent));
            let Some(worker) = next.map(|(worker, _)| *worker) else {
                return;
            };
            let turn = self.turns.entry(worker).or_default();
            (turn.wished, turn.sent, turn.pair) = (None, Some(now), false);
            self.probe_at += self.probe_gap;
            out.push(Brought::Probe(worker));
        }
    }
}

fn settings(probes: bool, rules: &Rules) -> core::Settings {
    let class = core::Class {
        aim_ms: AIM_MS,
        give_up_ms: AIM_MS,
        worth: 1.0,
        repeat: core::Repeat::ReadLike,
        home_only: false,
        writes: false,
    };
    let told = rules.use_load.then_some(core::LoadField::Cpu);
    core::Settings {
        classes: vec![class],
        cold_ms: 0.0,
        start_capacity: 1.0,
        tip_multiple: 4.0,
        drain_grace_ms: 1000.0,
        unserved_max_ms: 1000.0,
        probes,
        connect_timeout_ms: 1000.0,
        admit: core::Admit::Off,
        report_interval_ms: 1000.0,
        push_delay_ms: 50.0,
        push_delay_max_ms: 200.0,
        channel_rate: UNBOUNDED,
        queue_cap: UNBOUNDED,
        first_wait: 1.0,
        proxies: 1,
        standing_lines: 1,
        load_fields: told.into_iter().collect(),
        ..core::Settings::default()
    }
}
