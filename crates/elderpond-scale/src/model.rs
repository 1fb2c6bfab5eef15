//! What each role's cost is made of, and what the users' size makes of it. No I/O.

use crate::fit::{Run, parts};

/// A cost that grows with several sizes.
pub struct Cost {
    /// The measure, as in the table.
    pub measure: &'static str,
    /// What it grows with, with units; the first is there always.
    pub with: &'static [&'static str],
    /// Those sizes of a run.
    pub sizes: fn(&Run) -> Vec<f64>,
    /// Sweeps that say nothing of it.
    pub without: &'static [&'static str],
}

fn hives(run: &Run) -> f64 {
    f64::from(run.size.hives)
}

fn foragers(run: &Run) -> f64 {
    f64::from(run.size.foragers)
}

fn routes(run: &Run) -> f64 {
    f64::from(run.size.routes)
}

fn workers(run: &Run) -> f64 {
    f64::from(run.size.workers)
}

/// The costs that are parted.
pub const COSTS: [Cost; 6] = [
    Cost {
        measure: "calm: a hive, % of a core",
        with: &[
            "always",
            "own beats a second",
            "beats a second that others tell of",
            "workers",
            "foragers that follow it",
            "lines of reports a second",
        ],
        sizes: |run| {
            let (beats, hives) = (run.figure("calm: beats a second, all"), hives(run));
            let follow = foragers(run) / hives;
            let told = beats - beats / hives;
            let lines = follow * f64::from(run.size.lines);
            vec![1.0, beats / hives, told, workers(run), follow, lines]
        },
        without: &["apart"],
    },
    Cost {
        measure: "calm: a hive's memory, MB",
        with: &["always", "workers", "foragers that follow it", "routes"],
        sizes: |run| vec![1.0, workers(run), foragers(run) / hives(run), routes(run)],
        without: &["apart"],
    },
    Cost {
        measure: "calm: a real forager's memory, MB",
        with: &["always", "workers", "routes"],
        sizes: |run| vec![1.0, workers(run), routes(run)],
        without: &[],
    },
    Cost {
        measure: "a forager's memory at its peak, MB",
        with: &["always", "workers", "routes"],
        sizes: |run| vec![1.0, workers(run), routes(run)],
        without: &[],
    },
    Cost {
        measure: "a change: processor time of a real forager, ms",
        with: &["always", "routes"],
        sizes: |run| vec![1.0, routes(run)],
        without: &["requests"],
    },
    Cost {
        measure: "a change: processor time of all hives, ms",
        with: &[
            "hives",
            "routes, a hive",
            "services times routes, a hive",
            "foragers",
        ],
        sizes: |run| {
            let (of, routes) = (hives(run), routes(run));
            let pairs = routes * f64::from(run.size.services);
            vec![of, of * routes, of * pairs, foragers(run)]
        },
        without: &["requests"],
    },
];

/// A cost's parts as they came out.
pub struct Parted {
    /// For each unit, in the order of [`Cost::with`].
    pub parts: Vec<f64>,
    /// Runs that it rests on.
    pub runs: usize,
    /// The middle one of the errors, in parts of the figure, and the largest.
    pub off: (f64, f64),
    /// The largest of each size that was seen.
    pub most: Vec<f64>,
}

impl Cost {
    /// Its parts, by these runs; trials and runs in which beats did not get through are left out.
    pub fn part(&self, runs: &[Run]) -> Option<Parted> {
        let counts = |run: &&Run| {
            let asked = !run.sweep.starts_with("trial") && !self.without.contains(&run.sweep);
            asked && run.figure("calls of workers that failed until then") == 0.0
        };
        let points: Vec<(Vec<f64>, f64)> = runs
            .iter()
            .filter(counts)
            .map(|run| ((self.sizes)(run), run.figure(self.measure)))
            .filter(|(_, value)| *value > 0.0)
            .collect();
        let parts = parts(&points)?;
        let sum = |sizes: &[f64]| -> f64 { sizes.iter().zip(&parts).map(|(a, b)| a * b).sum() };
        let errors = points
            .iter()
            .map(|(sizes, value)| (sum(sizes) / value - 1.0).abs());
        let mut errors: Vec<f64> = errors.collect();
        errors.sort_by(f64::total_cmp);
        let most = |at: usize| {
            points
                .iter()
                .map(|(sizes, _)| sizes[at])
                .fold(0.0, f64::max)
        };
        Some(Parted {
            runs: points.len(),
            off: (errors[errors.len() / 2], errors[errors.len() - 1]),
            most: (0..self.with.len()).map(most).collect(),
            parts,
        })
    }
}
