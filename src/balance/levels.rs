//! What is let in while the fleet is short, and what is tried again.

use super::*;

/// Parts of the capacity seen that are let in while a little is late, and while dead work drains.
const LET_IN: f64 = 0.8;
const DRAIN: f64 = 0.35;
const FADE: f64 = 0.7; // what a second leaves of recent counts: they span the age of readings
const OPEN_RATE: f64 = 1e6; // requests a second that no proxy reaches

impl Manager {
    /// Compares what comes with the most that was seen to be served.
    pub(super) fn measure(&mut self) {
        let met = &mut self.met;
        let top = [HANDS, TableId::MAX][usize::from(self.set.slices > 0)];
        let laid = self.tables.range(..top);
        let weight: f64 = laid.flat_map(|(_, table)| table.lines.values()).sum();
        met.weight += weight;
        if weight >= 0.95 * (1.0 - FADE) * met.weight {
            // Answers come from the weight of before: while it falls they would seem too many.
            let most = met.good / f64::max(met.weight, 1e-9);
            if most > met.most {
                (met.most, met.busy) = (most, self.busy);
            }
        }
        let capacity = met.most * met.weight;
        // In coarse steps, or every report would move the weights of cold workers.
        let relief = (capacity / met.busy.clamp(SICK, 1.0) / met.tries.max(1e-9)).clamp(0.05, 1.0);
        // Reports come every second time or so: what came seems to double and halve in between.
        let before = std::mem::replace(&mut self.relief_seen, relief);
        self.relief = 0.8f64.powf(((relief + before) / 2.0).log(0.8).ceil());
        self.best = (self.best * 0.997).max(0.05); // where aims are tight, not short for ever
        let came: f64 = self.demand.iter().sum();
        let can = (capacity / came.max(1e-9)).max(0.1);
        if self.fleet < SHORT {
            let let_in = DRAIN + (LET_IN - DRAIN) * self.fleet / SHORT;
            self.admitted = self.admitted.min(let_in * can);
        } else if self.fleet > ROOMY {
            let most = (can / LET_IN).clamp(self.admitted, 1.0);
            self.admitted = (self.admitted + 0.1).min(most);
        }
        let sums = [&mut met.tries, &mut met.good, &mut met.weight];
        for sum in sums.into_iter().chain(&mut self.demand) {
            *sum *= FADE;
        }
    }

    /// What each class is let in by: the least worth gives way first, and is refused at once. It is tried
    /// again after proof that the first try never ran, unless half the fleet is busy and answers are short.
    pub(super) fn wanted_levels(&self) -> Vec<Level> {
        let classes = &self.set.classes;
        let mut order: Vec<usize> = (0..classes.len()).collect();
        order.sort_by(|a, b| classes[*a].worth.total_cmp(&classes[*b].worth));
        let mut refuse = (1.0 - self.admitted) * self.demand.iter().sum::<f64>();
        let calm = self.busy < LEAST_BUSY || self.admitted >= 1.0 && self.fleet >= SHORT;
        let mut levels = vec![(1.0, Retry::No); order.len()];
        for index in order {
            let demand = self.demand[index].max(1e-9);
            let part = (refuse / demand).min(0.95);
            refuse -= part * demand;
            let quota = match self.set.admit {
                Admit::Ratio => ((1.0 - part) * 10.0).ceil() / 10.0,
                Admit::Rate | Admit::Off => OPEN_RATE,
            };
            let again = calm && !(self.set.single_owner && classes[index].writes);
            levels[index] = (quota, if again { Retry::Proven } else { Retry::No });
        }
        levels
    }
}
