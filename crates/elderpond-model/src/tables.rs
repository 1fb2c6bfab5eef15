//! Tables as managers order them and as proxies hold them.
//!
//! A proxy that has applied a message holds its tables as they stood when the message was ordered.
//! All proxies on a table share one copy of each of its versions.

use std::collections::BTreeMap;
use std::sync::Arc;

use elderpond::interface::{Retry, WorkerId};

use crate::chance::{Chance, Wheel};
use crate::scenario::Pick;

/// What a class is let in by, and how it is tried again.
pub type Level = (f64, Retry);

/// One version of a table.
#[derive(Debug)]
pub struct Snapshot {
    /// The workers of its lines.
    pub workers: Vec<u32>,
    /// Levels that were ordered, by class.
    pub levels: Vec<Option<Level>>,
    wheel: Wheel,
    /// Running sums of the weights, for even picks.
    sums: Vec<f64>,
}

impl Snapshot {
    /// A version with these lines; those without weight are left out.
    pub fn new(lines: impl Iterator<Item = (u32, f64)>, levels: Vec<Option<Level>>) -> Arc<Self> {
        let (workers, weights): (Vec<u32>, Vec<f64>) =
            lines.filter(|(_, weight)| *weight > 0.0).unzip();
        let mut sum = 0.0;
        let sums = weights.iter().map(|weight| {
            sum += weight;
            sum
        });
        let sums = sums.collect();
        Arc::new(Self {
            workers,
            levels,
            wheel: Wheel::new(weights),
            sums,
        })
    }

    /// A line by weight; `turn` counts the picks of whoever picks evenly.
    pub fn draw(&self, pick: Pick, turn: &mut u64, chance: &mut Chance) -> Option<u32> {
        let place = match pick {
            Pick::Pair | Pick::Lottery => self.wheel.spin(chance)?,
            Pick::Wheel => {
                // Steps by the golden ratio visit the whole circle as evenly as steps can.
                *turn = turn.wrapping_add(0x9e37_79b9_7f4a_7c15);
                let at = *turn as f64 / u64::MAX as f64 * self.sums.last()?;
                self.sums
                    .partition_point(|sum| *sum <= at)
                    .min(self.workers.len() - 1)
            }
        };
        self.workers.get(place).copied()
    }
}

/// A table as its manager has ordered it.
#[derive(Debug, Default)]
pub struct Table {
    lines: BTreeMap<WorkerId, f64>,
    levels: Vec<Option<Level>>,
    newest: Option<Arc<Snapshot>>,
}

impl Table {
    /// Sets a line; 0 removes it. What it was before.
    pub fn set(&mut self, worker: WorkerId, weight: f64) -> f64 {
        self.newest = None;
        let before = match weight > 0.0 {
            true => self.lines.insert(worker, weight),
            false => self.lines.remove(&worker),
        };
        before.unwrap_or(0.0)
    }

    /// Removes all lines.
    pub fn clear(&mut self) {
        self.newest = None;
        self.lines.clear();
    }

    /// Sets a level.
    pub fn level(&mut self, class: usize, level: Level) {
        self.newest = None;
        if self.levels.len() <= class {
            self.levels.resize(class + 1, None);
        }
        self.levels[class] = Some(level);
    }

    /// Lines and levels: what whoever is put on it is sent.
    pub fn size(&self) -> usize {
        self.lines.len() + self.levels.iter().flatten().count()
    }

    /// Its newest version.
    pub fn snapshot(&mut self) -> Arc<Snapshot> {
        let (lines, levels) = (&self.lines, &self.levels);
        let new = || {
            Snapshot::new(
                lines.iter().map(|(worker, weight)| (*worker, *weight)),
                levels.clone(),
            )
        };
        self.newest.get_or_insert_with(new).clone()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::chance::Purpose;

    #[test]
    fn picks_follow_the_weights() {
        let table = Snapshot::new([(7, 1.0), (8, 0.0), (9, 3.0)].into_iter(), Vec::new());
        assert_eq!(table.workers, [7, 9]);
        for pick in [Pick::Lottery, Pick::Wheel, Pick::Pair] {
            let (mut turn, mut chance) = (0, Chance::new(1, Purpose::Proxies));
            let nines = (0..40_000).filter(|_| table.draw(pick, &mut turn, &mut chance) == Some(9));
            let part = nines.count() as f64 / 40_000.0;
            assert!((part - 0.75).abs() < 0.01, "{pick:?}: {part}");
        }
        let empty = Snapshot::new([].into_iter(), Vec::new());
        let (mut turn, mut chance) = (0, Chance::new(1, Purpose::Proxies));
        assert_eq!(empty.draw(Pick::Wheel, &mut turn, &mut chance), None);
        assert_eq!(empty.draw(Pick::Pair, &mut turn, &mut chance), None);
    }

    #[test]
    fn a_version_stays_as_it_was() {
        let mut table = Table::default();
        assert_eq!(table.set(1, 2.0), 0.0);
        table.level(1, (0.5, Retry::No));
        let first = table.snapshot();
        assert!(Arc::ptr_eq(&first, &table.snapshot()));
        assert_eq!((table.set(1, 0.0), table.size()), (2.0, 1));
        let second = table.snapshot();
        assert_eq!((&*first.workers, second.workers.len()), (&[1][..], 0));
        assert_eq!(second.levels, [None, Some((0.5, Retry::No))]);
    }
}
