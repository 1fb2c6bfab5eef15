//! What was asked for and what was answered, by class and by the second in which it was asked.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::scenario::{ClassOf, Score};
use crate::time::{SECOND, Time, ms};

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A good answer, however late.
    Answered,
    /// A failure that it was told of.
    Refused,
    /// It waited no longer.
    TimedOut,
}

/// Requests by how they ended. `asked` is the sum of the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// First tries of clients.
    pub asked: u64,
    /// Those with a good answer.
    pub answered: u64,
    /// Of these, within the aim.
    pub in_time: u64,
    /// Those whose client was told that it failed.
    pub refused: u64,
    /// Those whose client waited no longer.
    pub timed_out: u64,
    /// Those not ended yet.
    pub in_flight: u64,
}

impl Counts {
    /// Whether every request is accounted for.
    pub fn conserved(&self) -> bool {
        self.asked == self.answered + self.refused + self.timed_out + self.in_flight
    }
}

/// What was spent, over the whole run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spent {
    /// Tries that proxies made.
    pub tries: u64,
    /// Of these, further ones on a manager's word or after proof.
    pub retries: u64,
    /// Tries that crossed zones.
    pub crossing: u64,
    /// Further tries of clients.
    pub client_retries: u64,
    /// New connections.
    pub handshakes: u64,
    /// Probes.
    pub probes: u64,
    /// Lines of messages to proxies, heads included.
    pub lines: f64,
    /// Messages to proxies.
    pub messages: u64,
    /// Work done, in milliseconds of a core of speed 1.
    pub work_ms: f64,
    /// Of this, without an answer that a client got.
    pub wasted_ms: f64,
    /// Effects of one request beyond its first, by the doing of its client.
    pub doubled_by_clients: u64,
    /// The same, by the doing of proxies on a manager's orders.
    pub doubled_by_orders: u64,
    /// Repeats that workers dropped.
    pub dropped_repeats: u64,
    /// Cold workers that fell over.
    pub fallen: u64,
}

/// Counts as the run goes on.
pub struct Tally {
    goal: Score,
    /// Requests.
    pub counts: Counts,
    /// Work and messages.
    pub spent: Spent,
    /// By second of arrival: worth asked for and worth earned.
    seconds: Vec<(f64, f64)>,
    /// By class: worth asked for and worth earned.
    classes: Vec<(f64, f64)>,
    late_failed: f64,
    took: hdrhistogram::Histogram<u64>,
}

/// The service of a run and what it is made of.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Service {
    /// The figure: the parts, mixed, less the deductions.
    pub service: f64,
    /// Worth earned over worth asked for.
    pub whole: f64,
    /// The same over the worst 10 s.
    pub worst_10s: f64,
    /// When these began, in seconds.
    pub worst_10s_at: usize,
    /// The same for the worst class.
    pub worst_class: f64,
    /// Tenfold steps that the unserved share lies below the whole, over each 5 s; in full at 2.
    pub nines: f64,
    /// By class.
    pub by_class: BTreeMap<String, f64>,
    /// What came off, by its cause.
    pub deductions: BTreeMap<&'static str, f64>,
    /// Time to a good answer, in milliseconds, by percentile.
    pub took_ms: BTreeMap<&'static str, f64>,
    /// By second of arrival.
    pub seconds: Vec<f64>,
}

fn part((asked, earned): (f64, f64)) -> f64 {
    if asked > 0.0 { earned / asked } else { 1.0 }
}

fn sum(seconds: &[(f64, f64)]) -> (f64, f64) {
    seconds
        .iter()
        .fold((0.0, 0.0), |all, one| (all.0 + one.0, all.1 + one.1))
}

impl Tally {
    /// Nothing counted yet.
    pub fn new(goal: Score, classes: usize) -> Self {
        // Three figures of a time from 1 us to an hour: always within bounds.
        let took = hdrhistogram::Histogram::new_with_bounds(1, 3_600_000_000, 3);
        Self {
            goal,
            counts: Counts::default(),
            spent: Spent::default(),
            seconds: Vec::new(),
            classes: vec![(0.0, 0.0); classes],
            late_failed: 0.0,
            took: took.unwrap_or_else(|_| unreachable!("the bounds are constant and valid")),
        }
    }

    /// A request was asked.
    pub fn asked(&mut self, at: Time, class: usize, worth: f64) {
        self.counts.asked += 1;
        self.counts.in_flight += 1;
        let second = (at / SECOND) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, (0.0, 0.0));
        }
        self.seconds[second].0 += worth;
        self.classes[class].0 += worth;
    }

    /// A request has ended.
    pub fn ended(&mut self, (at, now): (Time, Time), (index, class): (usize, &ClassOf), end: End) {
        let took_ms = ms(now - at);
        let counts = &mut self.counts;
        counts.in_flight -= 1;
        let in_time = took_ms <= class.aim_ms;
        match end {
            End::Answered => {
                counts.answered += 1;
                counts.in_time += u64::from(in_time);
                let part = if in_time { 1.0 } else { class.late_share };
                self.seconds[(at / SECOND) as usize].1 += class.worth * part;
                self.classes[index].1 += class.worth * part;
                self.took.saturating_record((now - at).max(1));
            }
            End::Refused => counts.refused += 1,
            End::TimedOut => counts.timed_out += 1,
        }
        if end != End::Answered && !in_time {
            self.late_failed += class.worth;
        }
    }

    /// The service so far. `channel` is what the channels would carry at their pace in that time.
    pub fn service(&self, classes: &[ClassOf], channel: f64) -> Service {
        let goal = &self.goal;
        let all = sum(&self.seconds);
        let window = 10.min(self.seconds.len().max(1));
        let windows = self
            .seconds
            .windows(window)
            .map(|seconds| part(sum(seconds)));
        let worst = windows.enumerate().min_by(|a, b| a.1.total_cmp(&b.1));
        let (worst_10s_at, worst_10s) = worst.unwrap_or((0, 1.0));
        let by_class = self.classes.iter().map(|class| part(*class));
        let worst_class = by_class.clone().fold(1.0, f64::min);
        let nines = self.seconds.chunks(5).map(|seconds| {
            let unserved = 1.0 - part(sum(seconds));
            (-unserved.max(0.01).log10() / 2.0).clamp(0.0, 1.0)
        });
        let nines: Vec<f64> = nines.collect();
        let nines = nines.iter().sum::<f64>() / nines.len().max(1) as f64;
        let parts = [
            (goal.whole, part(all)),
            (goal.worst_10s, worst_10s),
            (goal.worst_class, worst_class),
            (goal.nines, nines),
        ];
        let weight: f64 = parts.iter().map(|(weight, _)| weight).sum();
        let mixed: f64 = parts.iter().map(|(weight, part)| weight * part).sum();
        let first = (self.counts.asked as f64).max(1.0);
        let spent = &self.spent;
        let deductions = BTreeMap::from([
            (
                "cross_zone",
                goal.cross_zone * spent.crossing as f64 / first,
            ),
            (
                "waste",
                goal.waste * spent.wasted_ms / spent.work_ms.max(1e-9),
            ),
            ("probe", goal.probe * spent.probes as f64 / first),
            (
                "handshake",
                goal.handshake * spent.handshakes as f64 / first,
            ),
            (
                "late_fail",
                goal.late_fail * self.late_failed / all.0.max(1e-9),
            ),
            ("orders", goal.orders * spent.lines / channel.max(1e-9)),
        ]);
        let took = |percent: f64| self.took.value_at_quantile(percent / 100.0) as f64 / 1000.0;
        Service {
            service: (mixed / weight.max(1e-9) - deductions.values().sum::<f64>()).max(0.0),
            whole: part(all),
            worst_10s,
            worst_10s_at,
            worst_class,
            nines,
            by_class: classes
                .iter()
                .map(|class| class.name.clone())
                .zip(by_class)
                .collect(),
            deductions,
            took_ms: BTreeMap::from([
                ("mean", self.took.mean() / 1000.0),
                ("p50", took(50.0)),
                ("p90", took(90.0)),
                ("p99", took(99.0)),
                ("p999", took(99.9)),
            ]),
            seconds: self.seconds.iter().map(|second| part(*second)).collect(),
        }
    }
}
