//! The checkers can fail: managers that are broken on purpose are each caught by the rule that they
//! break and by no other, in runs that the real manager passes.

use std::collections::{BTreeMap, BTreeSet};

use elderpond::Manager;
use elderpond::interface::{Action, Condition, Entry, Event, ListKind, Retry, Scope, WorkerId};
use elderpond_emulator::policy::Decider;
use elderpond_emulator::virtually;
use elderpond_model::rules::Rule;
use elderpond_model::{Report, Scenario, World};

/// What is wrong with a manager.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Never hears that a worker drains or is gone.
    IgnoresDrains,
    /// Passes drains on 6 s late.
    LateDrains,
    /// Has every class tried again after any failure.
    RetriesAll,
    /// The same, twice.
    RetriesTwice,
    /// Takes the idempotency window for endless.
    RetriesKeyed,
    /// Orders a cold worker so many times its weight.
    HerdsOntoCold,
    /// Forgets when workers started, and trusts whoever is new with more.
    ForgetsStarts,
    /// Empties its tables after 10 s and orders nothing more.
    EmptiesTables,
    /// Puts every proxy on a table that has no line.
    BindsToNothing,
    /// Bars every proxy from every worker.
    BarsAll,
    /// Puts every proxy on its table again with each batch.
    Floods,
    /// Sends a little something to everyone ten times a second.
    Chatters,
    /// Never binds one proxy.
    ForgetsProxy,
    /// Keeps to the list that it started with.
    YesterdaysList,
    /// Names the next owner of a slice as it takes it from the former one.
    TwoOwners,
}

struct Broken {
    inner: Manager,
    fault: Fault,
    started: BTreeMap<WorkerId, f64>,
    weights: BTreeMap<WorkerId, f64>,
    joined: BTreeSet<u16>,
    first: Option<f64>,
    late: Vec<(f64, Event)>,
    spoken: f64,
}

impl Broken {
    fn new(inner: Manager, fault: Fault) -> Self {
        let (started, weights, joined) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        Self {
            inner,
            fault,
            started,
            weights,
            joined,
            first: None,
            late: Vec::new(),
            spoken: 0.0,
        }
    }

    /// What it makes of an event.
    fn hears(&mut self, now: f64, event: &Event) -> Option<Event> {
        let Event::List { kind, entries } = event else {
            match event {
                Event::Joined(joined) => drop(self.joined.insert(joined.proxy)),
                Event::Left { proxy } => drop(self.joined.remove(proxy)),
                _ => {}
            }
            return Some(event.clone());
        };
        for entry in entries {
            self.started.insert(entry.worker, entry.started);
            self.weights.insert(entry.worker, entry.weight);
        }
        let mut entries: Vec<Entry> = entries.clone();
        let mut kind = *kind;
        let leaves = |entry: &Entry| entry.condition != Condition::Ready;
        match self.fault {
            Fault::IgnoresDrains => {
                entries.retain(|entry| !leaves(entry));
                if kind == ListKind::Full {
                    kind = ListKind::Delta;
                }
            }
            Fault::LateDrains => {
                let late: Vec<Entry> = entries
                    .iter()
                    .filter(|entry| leaves(entry))
                    .cloned()
                    .collect();
                entries.retain(|entry| !leaves(entry));
                if !late.is_empty() {
                    self.late.push((
                        now + 6000.0,
                        Event::List {
                            kind: ListKind::Delta,
                            entries: late,
                        },
                    ));
                }
            }
            Fault::ForgetsStarts => entries.iter_mut().for_each(|entry| {
                if entry.started > 0.0 {
                    (entry.started, entry.weight) = (0.0, entry.weight * 2.0);
                }
            }),
            Fault::YesterdaysList if kind != ListKind::Cached => return None,
            _ => {}
        }
        Some(Event::List { kind, entries })
    }

    /// What it makes of an order.
    fn says(&self, now: f64, action: Action) -> Option<Action> {
        let again = |retry| match action {
            Action::Allow {
                scope,
                classes,
                quota,
                ..
            } => Action::Allow {
                scope,
                classes,
                quota,
                retry,
            },
            ref other => other.clone(),
        };
        Some(match (self.fault, &action) {
            (Fault::RetriesAll, Action::Allow { .. }) => again(Retry::Once),
            (Fault::RetriesTwice, Action::Allow { .. }) => again(Retry::Twice),
            // The class of index 1 has a key.
            (Fault::RetriesKeyed, Action::Allow { classes: 2, .. }) => again(Retry::Once),
            (
                Fault::HerdsOntoCold,
                Action::SetWeight {
                    table,
                    worker,
                    weight,
                },
            ) if *weight > 0.0 => {
                let started = self.started.get(worker).copied().unwrap_or(0.0);
                let cold = started > 0.0 && now - started < 12_000.0;
                Action::set_weight(*table, *worker, if cold { weight * 40.0 } else { *weight })
            }
            (Fault::ForgetsProxy, Action::Bind { proxy: 0, .. }) => return None,
            (Fault::BindsToNothing, Action::Bind { proxy, .. }) => Action::bind(0, 77, *proxy),
            (Fault::EmptiesTables, order) if now - self.first? > 10_000.0 => match order {
                Action::Timer { .. } => action,
                _ => return None,
            },
            _ => action,
        })
    }
}

impl Decider for Broken {
    fn decide(&mut self, now: f64, events: &[Event], _: &World, out: &mut Vec<Action>) {
        self.first = self.first.or(Some(now));
        let mut heard: Vec<Event> = events
            .iter()
            .filter_map(|event| self.hears(now, event))
            .collect();
        let due = self.late.extract_if(.., |(at, _)| *at <= now);
        heard.extend(due.map(|(_, event)| event));
        let mut orders = Vec::new();
        self.inner.handle(now, &heard, &mut orders);
        if self.fault == Fault::TwoOwners {
            let ids: Vec<WorkerId> = self.weights.keys().copied().collect();
            let taken = orders.iter().filter_map(|order| match order {
                Action::SetWeight {
                    table,
                    worker,
                    weight,
                } if *weight == 0.0 => {
                    let next = ids.iter().find(|id| *id > worker).or(ids.first())?;
                    Some(Action::set_weight(*table, *next, 1.0))
                }
                _ => None,
            });
            let taken: Vec<Action> = taken.collect();
            orders.extend(taken);
        }
        out.extend(orders.into_iter().filter_map(|order| self.says(now, order)));
        let age = now - self.first.unwrap_or(now);
        match self.fault {
            Fault::EmptiesTables if age > 10_000.0 => out.push(Action::Clear { table: 0 }),
            Fault::BarsAll if age > 10_000.0 && self.spoken == 0.0 => {
                self.spoken = now;
                out.extend(self.weights.keys().map(|worker| Action::HoldBack {
                    worker: *worker,
                    out: true,
                }));
            }
            Fault::Floods if age > 3000.0 => {
                out.extend(self.joined.iter().map(|proxy| Action::bind(0, 0, *proxy)));
            }
            Fault::Chatters if now - self.spoken >= 100.0 => {
                self.spoken = now;
                let (scope, quota, retry) = (Scope::Table(0), 1e6, Retry::Proven);
                out.push(Action::Allow {
                    scope,
                    classes: 1,
                    quota,
                    retry,
                });
            }
            _ => {}
        }
    }
}

fn scenario(more: &str) -> Scenario {
    let base = include_str!("../../../scenarios/base.ini");
    let head = "[scenario]\nbase = base.ini\nduration = 40s\n";
    Scenario::parse_over("broken.ini", &format!("{head}{more}"), |_| {
        Ok(base.to_owned())
    })
    .unwrap()
}

fn play(scenario: &Scenario, fault: Option<Fault>) -> Report {
    let mut make = |_, seed, world: &World| -> Box<dyn Decider> {
        let inner = Manager::new(seed, world.settings().clone());
        match fault {
            Some(fault) => Box::new(Broken::new(inner, fault)),
            None => Box::new(inner),
        }
    };
    virtually::play_with(scenario.clone(), 3, &mut make, &mut |_| {}).0
}

fn broken(report: &Report) -> Vec<&'static str> {
    let broken = report.rules.iter().filter(|(_, outcome)| !outcome.kept);
    broken.map(|(name, _)| *name).collect()
}

/// The manager with this fault breaks this rule and no other; the real one none.
fn is_caught(fault: Fault, rule: Rule, more: &str) {
    let scenario = scenario(more);
    let report = play(&scenario, None);
    assert_eq!(
        broken(&report),
        [""; 0],
        "the real manager: {:?}",
        report.rules
    );
    let report = play(&scenario, Some(fault));
    assert_eq!(
        broken(&report),
        [rule.name()],
        "{fault:?}: {:?}",
        report.rules
    );
    let first = report.rules[rule.name()]
        .first
        .clone()
        .expect("a broken rule has a first breach");
    assert!(!first.what.is_empty() && first.at_ms <= report.simulated_ms);
}

const OWNERS: &str = "[workers fast]\ncancel = stops\n[workers standard]\ncancel = stops\n\
    [workers small]\ncount = 0\ncancel = stops\n[slices]\ncount = 64\n\
    one_owner = yes\n[rules]\nunserved = 15s\n\
    [clients]\nrate = 120\nkeys = 20000\nkey_skew = 0.3\n\
    [trouble slow]\nkind = slow\nat = 6s\nfor = 20s\npart = 15%\nstrength = 12\n";
const RELEASE: &str = "[trouble release]\nkind = release\nat = 6s\nfor = 12s\npart = 40%\n";
const ERRORS: &str =
    "[trouble errors]\nkind = fast-errors\nat = 8s\nfor = 10s\npart = 40%\nstrength = 0.9\n";

#[test]
fn one_that_ignores_drains() {
    is_caught(Fault::IgnoresDrains, Rule::DrainsKept, RELEASE);
}

#[test]
fn one_that_passes_drains_on_too_late() {
    is_caught(Fault::LateDrains, Rule::DrainsKept, RELEASE);
}

#[test]
fn one_that_forgets_a_joined_proxy() {
    is_caught(Fault::ForgetsProxy, Rule::DrainsKept, RELEASE);
}

#[test]
fn one_that_keeps_to_yesterdays_list() {
    is_caught(Fault::YesterdaysList, Rule::DrainsKept, RELEASE);
}

#[test]
fn one_that_has_submits_tried_again() {
    is_caught(Fault::RetriesAll, Rule::NoEffectTwice, ERRORS);
    is_caught(Fault::RetriesTwice, Rule::NoEffectTwice, ERRORS);
}

#[test]
fn one_that_takes_a_window_for_endless() {
    // A try is waited for as long as the aim: 800 ms, past a window of 300.
    let slow = "[class save-result]\nrepeat = keyed all 300ms\n\
        [trouble slow]\nkind = slow\nat = 8s\nfor = 10s\npart = 30%\nstrength = 8\n";
    is_caught(Fault::RetriesKeyed, Rule::NoEffectTwice, slow);
}

#[test]
fn one_that_herds_onto_the_cold() {
    is_caught(Fault::HerdsOntoCold, Rule::NoColdWorkerPushedOver, RELEASE);
}

#[test]
fn one_that_forgets_when_workers_started() {
    let busy = format!("[clients]\nrate = 220\n[rules]\nstart_capacity = 10%\n{RELEASE}");
    is_caught(Fault::ForgetsStarts, Rule::NoColdWorkerPushedOver, &busy);
}

#[test]
fn one_that_empties_its_tables() {
    is_caught(Fault::EmptiesTables, Rule::NobodyLeftWithout, "");
}

#[test]
fn one_that_binds_to_nothing() {
    is_caught(Fault::BindsToNothing, Rule::NobodyLeftWithout, "");
}

#[test]
fn one_that_bars_everyone() {
    is_caught(Fault::BarsAll, Rule::NobodyLeftWithout, "");
}

#[test]
fn one_that_gives_a_slice_two_owners() {
    is_caught(Fault::TwoOwners, Rule::NoEffectTwice, OWNERS);
}

#[test]
fn one_that_floods_the_channel() {
    is_caught(
        Fault::Floods,
        Rule::QueueBounded,
        "[managers]\nqueue_cap = 1500\n",
    );
}

#[test]
fn one_that_chatters() {
    let paced = "[managers]\nupdate_cap = 30\nupdate_span = 10s\n";
    is_caught(Fault::Chatters, Rule::QueueBounded, paced);
}
