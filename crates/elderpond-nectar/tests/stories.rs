//! Stories of a service whose workers fail, recover, drain and fill up.

use std::collections::BTreeMap;

use elderpond_nectar::*;
use yare::parameterized;

const SERVICE: &str = "nectary";

/// How a worker answers.
#[derive(Clone, Copy)]
struct Worker {
    failing: f64,
    took_ms: f64,
    full: bool,
    healthy: bool,
    running: u16,
}

const SOUND: Worker = Worker {
    failing: 0.0,
    took_ms: 20.0,
    full: false,
    healthy: true,
    running: 12,
};
const DEAD: Worker = Worker {
    failing: 1.0,
    healthy: false,
    ..SOUND
};
const LIAR: Worker = Worker {
    healthy: true,
    ..DEAD
};

struct Site {
    now: Millis,
    nectar: Nectar,
    workers: BTreeMap<u64, Worker>,
    /// Weights as told.
    told: BTreeMap<u64, f32>,
    probes: Vec<(Millis, u64)>,
    /// Every weight of every worker since the start.
    seen: Vec<(u64, f32)>,
}

fn aims(service: &str, aim_ms: f64) -> ServiceAims {
    ServiceAims {
        service: service.to_owned(),
        aim_ms,
        give_up_ms: 5.0 * aim_ms,
        safe: true,
    }
}

impl Site {
    fn new(workers: u64) -> Self {
        Self::ruled(workers, Rules::default())
    }

    fn ruled(workers: u64, rules: Rules) -> Self {
        let mut nectar = Nectar::new(7, rules);
        nectar.services(1000, &[aims(SERVICE, 200.0)]);
        for number in 1..=workers {
            nectar.worker(1000, number << 40, SERVICE, 1, Condition::Ready);
        }
        Self {
            now: 1000,
            nectar,
            workers: (1..=workers).map(|number| (number << 40, SOUND)).collect(),
            told: BTreeMap::new(),
            probes: Vec::new(),
            seen: Vec::new(),
        }
    }

    /// Ten foragers report in turn, one each 100 ms, each of one second.
    fn run(&mut self, ms: Millis) {
        for _ in 0..ms / 100 {
            let line = |(&worker, how): (&u64, &Worker)| {
                let tries = (40.0 * self.nectar.weight(worker)) as u32;
                Line {
                    worker,
                    tries: if how.full { 0 } else { tries },
                    failed: (f64::from(tries) * how.failing) as u32,
                    shed: if how.full { tries } else { 0 },
                    took_ms: how.took_ms,
                    load: Some(Load {
                        running: how.running,
                        waiting: 0,
                        slots: 40,
                    }),
                    ..Line::default()
                }
            };
            let lines: Vec<Line> = self.workers.iter().map(line).collect();
            self.nectar.report(self.now, &lines, 1000.0);
            self.look();
            self.now += 100;
        }
    }

    fn look(&mut self) {
        let mut out = Vec::new();
        self.nectar.look(self.now, &mut out);
        for outcome in out {
            match outcome {
                Outcome::Weight { worker, weight } => {
                    self.told.insert(worker, weight);
                    self.seen.push((worker, weight));
                }
                Outcome::Probe { worker } => {
                    self.probes.push((self.now, worker));
                    let ok = self.workers[&worker].healthy;
                    self.nectar.probed(self.now + 5, worker, ok, 5.0, None);
                }
                Outcome::Log { service, text } => {
                    assert_eq!(service, SERVICE);
                    assert!(!text.starts_with("worker 1 "), "a short number: {text}");
                }
            }
        }
    }

    fn set(&mut self, number: u64, how: Worker) {
        self.workers.insert(number << 40, how);
    }

    fn weight(&self, number: u64) -> f32 {
        let weight = self.nectar.weight(number << 40);
        assert_eq!(
            self.told.get(&(number << 40)).copied().unwrap_or(0.0),
            weight
        );
        weight
    }

    fn listed(&self) -> usize {
        self.workers
            .keys()
            .filter(|w| self.nectar.weight(**w) == 1.0)
            .count()
    }
}

#[test]
fn given_one_dead_worker_of_ten_when_reports_come_then_it_is_out_and_returns_by_steps() {
    let mut site = Site::new(10);
    site.run(5000);
    assert_eq!(site.listed(), 10);
    site.set(3, DEAD);
    site.run(4000);
    assert_eq!((site.weight(3), site.listed()), (0.0, 9));
    let explained = site.nectar.explain(3 << 40).unwrap();
    assert_eq!(explained.standing, Standing::HeldOut);
    site.run(10_000);
    assert_eq!(site.weight(3), 0.0, "a failed probe gives no step");
    site.seen.clear();
    site.set(3, SOUND);
    site.run(15_000);
    let steps: Vec<f32> = site
        .seen
        .iter()
        .filter(|s| s.0 == 3 << 40)
        .map(|s| s.1)
        .collect();
    assert!(steps.len() >= 4 && steps.is_sorted(), "{steps:?}");
    assert!(steps[0] <= 0.1 && steps.last() == Some(&1.0), "{steps:?}");
}

#[parameterized(
    late = { Worker { took_ms: 400.0, ..SOUND } },
    half_failing = { Worker { failing: 0.5, ..SOUND } },
)]
fn given_a_bad_worker_that_answers_when_reports_come_then_it_is_lowered(how: Worker) {
    let mut site = Site::new(10);
    site.run(5000);
    site.set(3, how);
    site.run(8000);
    assert!(site.weight(3) <= 0.5, "{}", site.weight(3));
    assert_eq!(site.listed(), 9);
}

#[test]
fn given_one_bad_reading_when_it_stays_alone_then_nothing_is_lowered() {
    let mut site = Site::new(10);
    site.run(5000);
    site.set(3, DEAD);
    site.run(300);
    site.set(3, SOUND);
    site.run(5000);
    assert!(site.seen.iter().all(|(_, weight)| *weight == 1.0));
}

#[test]
fn given_a_full_worker_when_it_turns_tries_away_then_it_keeps_its_weight() {
    let mut site = Site::new(10);
    site.run(3000);
    site.set(
        3,
        Worker {
            full: true,
            ..SOUND
        },
    );
    site.run(10_000);
    assert_eq!(site.weight(3), 1.0);
    assert!(site.nectar.explain(3 << 40).unwrap().shed > 100);
}

#[parameterized(told = { true, 0.9 }, not_told = { false, 1.0 })]
fn given_a_worker_with_no_slot_left_when_load_is_told_then_it_is_eased(use_load: bool, most: f32) {
    let rules = Rules {
        use_load,
        ..Rules::default()
    };
    let mut site = Site::ruled(10, rules);
    let running = 40;
    site.set(3, Worker { running, ..SOUND });
    site.run(6000);
    assert!((0.6..=most).contains(&site.weight(3)), "{}", site.weight(3));
    assert_eq!(site.weight(3) < 1.0, use_load);
}

#[test]
fn given_no_probes_and_no_reports_when_readings_lapse_then_the_listed_weight_returns() {
    let rules = Rules {
        probes_per_s: 0.0,
        ..Rules::default()
    };
    let mut site = Site::ruled(10, rules);
    site.set(3, DEAD);
    site.run(2500);
    assert_eq!(site.weight(3), 0.0);
    site.workers.clear(); // nothing is reported any more
    site.run(60_000);
    assert!(site.probes.is_empty());
    assert_eq!(site.nectar.weight(3 << 40), 1.0);
}

#[test]
fn given_all_workers_dead_when_reports_come_then_the_listed_weights_stand() {
    let mut site = Site::new(10);
    site.run(3000);
    for number in 1..=10 {
        site.set(number, DEAD);
    }
    site.run(10_000);
    assert_eq!(site.listed(), 10);
}

#[test]
fn given_a_drain_when_it_is_told_then_it_holds_before_any_look_and_ends_as_it_began() {
    let mut site = Site::new(10);
    site.run(3000);
    site.nectar
        .worker(site.now, 4 << 40, SERVICE, 1, Condition::Draining);
    assert_eq!(site.nectar.weight(4 << 40), 0.0);
    site.look();
    assert_eq!(site.weight(4), 0.0);
    site.run(5000);
    site.nectar
        .worker(site.now, 4 << 40, SERVICE, 1, Condition::Ready);
    site.run(1200);
    assert_eq!(site.weight(4), 1.0);
    for condition in [Condition::Draining, Condition::Ready] {
        site.nectar.worker(site.now, 4 << 40, SERVICE, 1, condition);
    }
    assert_eq!(
        site.nectar.weight(4 << 40),
        1.0,
        "drained and back between two looks"
    );
    site.nectar
        .worker(site.now, 4 << 40, SERVICE, 1, Condition::Gone);
    site.run(2000);
    assert_eq!((site.weight(4), site.nectar.explain(4 << 40)), (0.0, None));
}

#[test]
fn given_a_new_configuration_when_a_service_stays_then_its_ceilings_do() {
    let mut site = Site::new(10);
    site.nectar
        .worker(site.now, 99, "other", 1, Condition::Ready);
    site.set(3, DEAD);
    site.run(5000);
    assert_eq!(
        site.nectar.explain(99).unwrap().standing,
        Standing::NoService
    );
    let now = site.now;
    site.nectar.services(
        now,
        &[
            aims(SERVICE, 100.0),
            aims(SERVICE, 300.0),
            aims("other", 9.0),
        ],
    );
    site.run(3000);
    assert_eq!((site.weight(3), site.listed()), (0.0, 9));
    assert_eq!(
        site.nectar.explain(3 << 40).unwrap().aim_ms,
        Some((200.0, 1500.0))
    );
    site.nectar.services(site.now, &[]);
    site.run(100);
    assert_eq!((site.weight(3), site.nectar.weight(99)), (1.0, 1.0));
}

#[parameterized(
    dead = { DEAD, 0.1 },
    lying = { LIAR, 0.25 },
)]
fn given_many_bad_workers_when_they_are_probed_then_two_a_second_keep_them_out(
    how: Worker,
    most: f32,
) {
    let mut site = Site::new(93);
    site.run(3000);
    for number in 1..=30 {
        site.set(number, how);
    }
    site.run(10_000);
    let (from, mut sum, looks) = (site.now, 0.0, 600);
    for _ in 0..looks {
        site.run(100);
        sum += (1..=30).map(|number| site.weight(number)).sum::<f32>();
    }
    let mean = sum / looks as f32 / 30.0;
    assert!(
        mean <= most / 2.0,
        "bad workers carry {mean} of their weight"
    );
    let probes = site.probes.iter().filter(|probe| probe.0 >= from).count();
    assert!((100..=121).contains(&probes), "{probes}");
    for number in 1..=30 {
        site.set(number, SOUND);
    }
    site.run(60_000);
    assert_eq!(site.listed(), 93);
}
