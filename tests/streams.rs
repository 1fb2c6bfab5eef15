//! Random legal streams of events, from fixed seeds: the rules' invariants hold at every step.

mod common;

use std::collections::BTreeSet;

use common::*;
use elderpond::interface::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

fn random_settings(rng: &mut StdRng) -> Settings {
    let mut set = settings();
    set.report_interval_ms = [0.0, 500.0, 1000.0, 2000.0, 1e7][rng.random_range(0..5)];
    set.cold_ms = [0.0, 5000.0, 18_000.0][rng.random_range(0..3)];
    set.start_capacity = [0.0, 0.2, 1.0][rng.random_range(0..3)];
    set.update_cap = [0, 20, 60][rng.random_range(0..3)];
    set.admit = [Admit::Ratio, Admit::Rate, Admit::Off][rng.random_range(0..3)];
    set.probes = rng.random_bool(0.7);
    set.slices = if rng.random_bool(0.3) { 6 } else { 0 };
    set.single_owner = set.slices > 0 && rng.random_bool(0.5);
    set.queue_cap = [800.0, 10_000.0][rng.random_range(0..2)];
    set.channel_rate = set.queue_cap;
    set.first_wait = [0.0, 1.0, f64::NAN][rng.random_range(0..3)];
    // Large by its settings: joiners are dealt hands.
    set.proxies = [0, 8, 3000, usize::MAX][rng.random_range(0..4)];
    set.standing_lines = [0, 3, usize::MAX][rng.random_range(0..3)];
    set.drain_grace_ms = [0.0, 2000.0, f64::NAN][rng.random_range(0..3)];
    set.classes[1].home_only = rng.random_bool(0.2);
    if rng.random_bool(0.2) {
        set.classes.clear();
    }
    set
}

fn random_entry(rng: &mut StdRng, worker: WorkerId, now: f64) -> Entry {
    Entry {
        worker,
        weight: [0.0, 1.0, 2.5, -1.0, f64::NAN, f64::INFINITY][rng.random_range(0..6)],
        zone: rng.random_range(0..3),
        started: [0.0, now, now - 3000.0, now + 500.0][rng.random_range(0..4)],
        condition: match rng.random_range(0..6) {
            0 => Condition::Gone,
            1 => Condition::Draining,
            _ => Condition::Ready,
        },
    }
}

fn random_event(rng: &mut StdRng, bed: &Bed) -> Event {
    let worker = rng.random_range(1..14);
    let proxy = rng.random_range(0..8);
    match rng.random_range(0..10) {
        0 => Event::Left { proxy },
        1 | 2 => joined(proxy),
        3 => Event::Probed(Probed {
            worker,
            outcome: [
                ProbeOutcome::Ok,
                ProbeOutcome::Rejected,
                ProbeOutcome::Failed,
            ][rng.random_range(0..3)],
            took_ms: 3.0,
            load: Vec::new(),
        }),
        4 => Event::Demand {
            source: proxy,
            class: rng.random_range(0..4),
            came: [0, 7, u32::MAX][rng.random_range(0..3)],
            unanswered: 0,
            covers_ms: 1000.0,
        },
        5 => Event::Applied {
            mark: rng.random_range(0..90),
            proxy,
        },
        6 if bed.settings.slices > 0 => Event::Charge {
            slice: rng.random_range(0..6),
            given: rng.random_bool(0.8),
        },
        _ => {
            let tries = [0, 1, 5, 20, u32::MAX][rng.random_range(0..5)];
            let took = [0.0, 90.0, 2000.0, f64::NAN, f64::INFINITY][rng.random_range(0..5)];
            heard(worker, tries, rng.random_range(0..=tries), took)
        }
    }
}

fn check(bed: &Bed, given: &BTreeSet<TableId>, step: usize) {
    let ready = |id: &WorkerId| {
        let entry = bed.workers.get(id);
        entry.is_some_and(|entry| entry.condition == Condition::Ready)
    };
    let slices = bed.settings.slices > 0;
    if !slices && bed.workers.keys().any(ready) && !bed.bound.is_empty() {
        assert!(
            !bed.tables[&0].is_empty(),
            "step {step}: the last line is gone"
        );
    }
    for action in &bed.last {
        match *action {
            Action::SetWeight {
                table,
                worker,
                weight,
            } => {
                assert!(
                    weight == 0.0 || ready(&worker),
                    "step {step}: {action:?} reopens"
                );
                assert!(!slices || given.contains(&table), "step {step}: {action:?}");
            }
            Action::Allow { classes, retry, .. } => {
                assert!(classes < 4, "step {step}: {action:?}");
                let repeat = &bed.settings.classes[classes.trailing_zeros() as usize].repeat;
                let harmless = matches!(retry, Retry::No | Retry::Proven);
                assert!(
                    harmless || *repeat == Repeat::ReadLike,
                    "step {step}: {action:?}"
                );
            }
            Action::Probe { worker } => assert!(bed.settings.probes && ready(&worker)),
            Action::Timer { after_ms, .. } => assert!(after_ms >= bed.settings.tick_ms),
            _ => {}
        }
    }
    assert!(
        bed.queue <= bed.settings.queue_cap,
        "step {step}: {} lines wait",
        bed.queue
    );
    if bed.settings.update_cap > 0 {
        for times in bed.messages.values() {
            let late = times.iter().filter(|at| bed.now - *at <= 10_000.0).count();
            assert!(
                late <= bed.settings.update_cap,
                "step {step}: {late} messages"
            );
        }
    }
}

#[test]
fn random_streams_keep_the_rules() {
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut bed = Bed::new(random_settings(&mut rng));
        let mut given = BTreeSet::new();
        bed.list(ListKind::Cached, (1..6).map(entry).collect());
        for step in 0..400 {
            if rng.random_bool(0.1) {
                let kind = [ListKind::Delta, ListKind::Full, ListKind::Failed];
                let kind = kind[rng.random_range(0..3)];
                let count = if kind == ListKind::Failed {
                    0
                } else {
                    rng.random_range(0..8)
                };
                let ids: BTreeSet<u32> = (0..count).map(|_| rng.random_range(1..12)).collect();
                let now = bed.now;
                let entries = ids
                    .iter()
                    .map(|id| random_entry(&mut rng, *id, now))
                    .collect();
                bed.list(kind, entries);
                check(&bed, &given, step);
            }
            let mut events = Vec::new();
            for _ in 0..rng.random_range(0..4) {
                let event = random_event(&mut rng, &bed);
                let left = matches!(event, Event::Left { proxy } if !bed.joined.contains(&proxy));
                let again =
                    matches!(event, Event::Joined(ref who) if bed.joined.contains(&who.proxy));
                if let Event::Charge { slice, given: now } = event {
                    bed.tables.remove(&slice);
                    if now {
                        given.insert(slice)
                    } else {
                        given.remove(&slice)
                    };
                }
                if !left && !again {
                    events.push(event);
                }
            }
            bed.step([0.0, 5.0, 100.0, 900.0][rng.random_range(0..4)], &events);
            check(&bed, &given, step);
        }
    }
}
