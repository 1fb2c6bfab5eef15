//! The shared table and the hands as they should stand, cold workers by what is certain of them.

use super::*;

/// In a jam clients and proxies ask up to this many times as often, sooner than reports tell.
const SURGE: f64 = 4.0;
/// A hand with so many times the fleet's load, for what its workers can do, names no cold worker.
const CROWD: f64 = 2.0;

impl Manager {
    /// The part of its listed weight that a worker is to carry: its ceiling; while it is cold, or
    /// back from a fault and perhaps cold, what it can do for certain: by that measure it is never
    /// nearer to its limit than the others (rule 4), whoever else sends to it.
    pub(super) fn part(&self, worker: &Worker) -> f64 {
        let warmth = self.warmth(worker);
        let covered = self.set.tip_multiple >= SURGE && self.set.admit == Admit::Ratio;
        let frail = warmth * self.set.tip_multiple < 1.0 || self.fleet.min(self.admitted) < ROOMY;
        let sure = warmth * self.relief * (self.set.tip_multiple / SURGE).min(1.0);
        match warmth < 1.0 {
            // As a jam begins, proxies avoid worker after worker, and all would go to a new one.
            true if self.set.ejects > 0 && !covered && frail => 0.0,
            true => (sure * worker.proven).min(worker.cap),
            false if worker.backoff > 0.0 => worker.cap * self.relief,
            false => worker.cap,
        }
    }

    /// All tables as they should stand: the lower of listed weight and ceiling; if that leaves a
    /// table nothing, the listed weights. A hand without a warm worker, or crowded, names no cold one.
    pub(super) fn wanted(&self, loads: &BTreeMap<TableId, f64>) -> BTreeMap<TableId, Lines> {
        let slices = self.set.slices > 0;
        let mut held = self.held();
        let mut slice = |table| slices.then(|| self.wanted_slice(table, &mut held));
        let tables = self.tables.iter();
        let tables = tables.map(|(&id, table)| (id, slice(table).unwrap_or_default()));
        let mut wanted: BTreeMap<TableId, Lines> = tables.collect();
        let ready = || self.workers.iter().filter(|(_, w)| w.ready() && !slices);
        for (&id, worker) in ready() {
            let weight = worker.entry.weight * self.part(worker);
            for table in [SHARED, worker.hand] {
                let lines = wanted.get_mut(&table).filter(|_| weight > 0.0);
                lines.map(|lines| lines.insert(id, weight));
            }
        }
        // The users of a hand whose workers are nearly all new would push the cold ones over.
        let able = |id: &WorkerId| self.workers[id].entry.weight * self.warmth(&self.workers[id]);
        let able = |lines: &Lines| lines.keys().map(able).sum::<f64>().max(1e-9);
        let mean = loads.values().sum::<f64>() / wanted.get(&SHARED).map_or(1.0, able);
        for (id, lines) in wanted.range_mut(HANDS..).filter(|_| !self.home) {
            let warm = |id: &WorkerId| self.warmth(&self.workers[id]) >= 1.0;
            let crowded = loads.get(id).copied().unwrap_or(0.0) > CROWD * mean * able(lines);
            if crowded || !lines.keys().any(warm) {
                lines.retain(|id, _| warm(id));
            }
        }
        let bare = |id, lines: &Lines| lines.is_empty() && (id == SHARED || self.home);
        for (&id, lines) in wanted.iter_mut().filter(|(id, lines)| bare(**id, lines)) {
            let own = ready().filter(|(_, w)| id == SHARED || w.hand == id);
            lines.extend(own.map(|(&id, w)| (id, w.entry.weight * self.warmth(w))));
        }
        wanted
    }

    /// The part of its capacity that a started worker has for certain.
    pub(super) fn warmth(&self, worker: &Worker) -> f64 {
        let (started, cold_ms) = (worker.entry.started, self.set.cold_ms);
        let age = (self.now - started).max(0.0);
        if started <= 0.0 || age >= cold_ms {
            return 1.0;
        }
        let grown = age / cold_ms * (1.0 - self.set.start_capacity);
        let part = (self.set.start_capacity + grown).clamp(0.05, 1.0);
        (part * 20.0).floor() / 20.0
    }
}
