//! Slices of keys: who has each, and when the next one may.

use super::*;

/// How many slices each worker has.
type Held = BTreeMap<WorkerId, usize>;

impl Manager {
    /// A slice stays where it is until its worker cannot serve, and then goes to the fit worker
    /// that holds least. With a single owner nobody has it until all have let go of the former.
    /// Slices that have lost their worker together are dealt out, or all would go to one, cold perhaps.
    pub(super) fn wanted_slice(&self, table: &Table, held: &mut Held) -> Lines {
        let ready = |id: &WorkerId| self.workers.get(id).is_some_and(Worker::ready);
        let fit = |id: &WorkerId| ready(id) && self.part(&self.workers[id]) >= SICK;
        let mut lines = table.lines.clone();
        let any = self.workers.keys().any(fit);
        lines.retain(|id, _| if any { fit(id) } else { ready(id) });
        let released = table.holding.is_empty() && self.now >= table.free_at;
        let must_wait = self.set.single_owner && !(table.lines.is_empty() && released);
        if lines.is_empty() && !must_wait {
            let more = |id: &WorkerId| held.get(id).map_or(1.0, |held| *held as f64 + 1.0);
            let able = |w: &Worker| w.entry.weight * self.part(w);
            let load = |id: &WorkerId| more(id) / able(&self.workers[id]);
            let least = self.workers.keys().filter(|id| fit(id));
            let least = least.min_by(|a, b| load(a).total_cmp(&load(b))).copied();
            if let Some(id) = least {
                lines.insert(id, 1.0);
                *held.entry(id).or_default() += 1;
            }
        }
        lines
    }

    pub(super) fn held(&self) -> Held {
        let mut held = Held::new();
        for &id in self.tables.values().flat_map(|table| table.lines.keys()) {
            *held.entry(id).or_default() += 1;
        }
        held
    }

    /// With a single owner: the longest that one who was not reached may still be written to.
    pub(super) fn release_ms(&self) -> f64 {
        self.set.tenure_ms + self.set.write_life_ms + self.set.push_delay_max_ms
    }

    /// A proxy has let go of what was cleared up to `mark`; its writes may live on from `at`.
    pub(super) fn let_go(&mut self, proxy: ProxyId, mark: u64, at: f64) {
        for table in self.tables.values_mut() {
            if table.mark <= mark && table.holding.remove(&proxy) {
                table.free_at = table.free_at.max(at + self.set.write_life_ms);
            }
        }
    }
}
