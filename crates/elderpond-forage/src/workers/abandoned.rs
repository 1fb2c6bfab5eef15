//! What requests tell of a worker that were taken back from it, as their clients had left.

use elderpond_registry::Number;

use super::{KnownWorker, KnownWorkers, SERVICE_PART, WORKER_PART, move_towards};
use crate::Millis;

/// A worker is doubted that kept silent for this multiple of the usual time while it held requests.
const SILENT: f64 = 4.0;
/// A worker in doubt has had its chance after this part of the usual time.
const ENOUGH_OF_USUAL: f64 = 0.5;

impl KnownWorkers {
    /// Whether a worker has no place free, by what it holds and likely holds for others.
    #[must_use]
    pub fn is_full(&self, now: Millis, number: Number) -> bool {
        let Some(worker) = self.workers.get(&number) else {
            return false;
        };
        let Some(service) = self.services.get(worker.entry.service.as_str()) else {
            return false;
        };
        let held = worker.likely_held(now, service, self.tuning.fade_ms);
        held >= f64::from(worker.entry.slots)
    }

    /// Notes that a request was taken back from a worker that had it since `since`, as its client had left.
    ///
    /// It is no failure of the worker: clients leave workers that are well, too. But it
    /// tells that the request would have taken longer than it did; and of a worker that
    /// never answers nothing else may ever be heard where clients are impatient, so that
    /// its silence has to count.
    pub(super) fn abandoned(&mut self, now: Millis, number: Number, since: Millis) {
        let Some(worker) = self.workers.get_mut(&number) else {
            return;
        };
        let held = worker.held();
        worker.taken_back(now);
        let Some(service) = self.services.get_mut(worker.entry.service.as_str()) else {
            return;
        };
        let usual_ms = service.usual_ms();
        let slots = f64::from(worker.entry.slots);
        let at_least_ms = now.saturating_sub(since) as f64 / (held / slots).max(1.0);
        if now >= worker.warm_at {
            raise(&mut service.pace_ms, at_least_ms, SERVICE_PART);
            raise(&mut worker.pace_ms, at_least_ms, WORKER_PART);
        }
        let doubted = worker.doubted;
        if doubted && at_least_ms > ENOUGH_OF_USUAL * usual_ms {
            // it was tried once more, and is as silent as before
            worker.failed(now, 1);
        }
        if !doubted && worker.silence(now) as f64 > SILENT * usual_ms {
            self.late(now, number, since);
        }
    }
}

/// Moves a mean towards a time that was at least taken, if that is more. A mean of nothing stays unknown.
fn raise(mean_ms: &mut f64, at_least_ms: f64, part: f64) {
    if *mean_ms > 0.0 && at_least_ms > *mean_ms {
        move_towards(mean_ms, at_least_ms, part);
    }
}

impl KnownWorker {
    /// One request fewer, of which nothing was heard.
    fn taken_back(&mut self, now: Millis) {
        self.holds = self.holds.saturating_sub(1);
        if self.holds == 0 {
            self.silence_before = now.saturating_sub(self.quiet_since);
        }
    }

    /// Milliseconds for which it has held requests and said nothing.
    fn silence(&self, now: Millis) -> Millis {
        match self.holds {
            0 => self.silence_before,
            _ => now.saturating_sub(self.quiet_since),
        }
    }
}
