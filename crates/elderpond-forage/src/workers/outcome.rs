//! What becomes of requests, and what that tells of their workers.

use elderpond_control_wire::Line;
use elderpond_registry::Number;

use super::move_towards;
use super::{BAD, ENOUGH, KnownWorker, KnownWorkers, Met, SERVICE_PART, Service, WORKER_PART};
use crate::{End, Millis};

/// Where fewer than this part of the answers take twice the usual time, one that does is odd.
const TAIL: f64 = 0.04;
/// Weight of the newest answer in a service's mean size and part of late ones.
const ANSWER_PART: f64 = 0.02;
/// Weight of the newest load in the mean of what its workers hold for others.
const OTHERS_PART: f64 = 0.05;

impl KnownWorkers {
    /// Notes that a request goes to a worker.
    pub fn sent(&mut self, now: Millis, number: Number) {
        if let Some(worker) = self.workers.get_mut(&number) {
            if worker.holds == 0 {
                worker.quiet_since = now.saturating_sub(worker.silence_before);
            }
            worker.holds += 1;
        }
    }

    /// Whether it is odd that a request sent to a worker at `since` has not been answered in twice
    /// the usual time: because few take as long, or since the worker has said nothing meanwhile.
    pub fn odd(&self, number: Number, since: Millis) -> bool {
        let Some(worker) = self.workers.get(&number) else {
            return true;
        };
        let service = self.services.get(worker.entry.service.as_str());
        worker.quiet_since <= since || service.is_some_and(|service| service.tail < TAIL)
    }

    /// A request sent at `since` is late: a worker that has answered nothing since counts as
    /// failing, before the request's time is over.
    pub fn late(&mut self, now: Millis, number: Number, since: Millis) {
        let Some(worker) = self.workers.get_mut(&number) else {
            return;
        };
        if worker.quiet_since > since || worker.doubted {
            return;
        }
        worker.doubted = true;
        worker.cost = true;
        worker.failed(now, ENOUGH);
        let line = worker.line(number);
        line.tries += 1;
        line.failed += 1;
    }

    /// Notes what came of it.
    pub fn ended(&mut self, now: Millis, number: Number, met: Met) {
        if met.end == End::Abandoned {
            return self.abandoned(now, number, now.saturating_sub(met.took_ms as Millis));
        }
        let fade_ms = self.tuning.fade_ms;
        let Some(worker) = self.workers.get_mut(&number) else {
            return;
        };
        let held = worker.held();
        worker.holds = worker.holds.saturating_sub(1);
        match met.load {
            Some(load) => {
                worker.tells_load(now, load);
                if let Some(service) = self.services.get_mut(worker.entry.service.as_str()) {
                    service.hears_load(now, worker.others, fade_ms);
                    if met.end == End::Good {
                        worker.teaches(now, service, held, &met);
                    }
                }
            }
            None if now > worker.seen_at + fade_ms as Millis * 4 => worker.seen_at = now,
            None => {}
        }
        worker.counts(number, &met);
        worker.ends_one(now, &met);
        if met.end == End::Misplaced {
            self.misplaced.push(number);
        }
    }

    /// What was met since the last call; none where nothing was.
    pub fn report(&mut self, now: Millis) -> Option<(u32, Vec<Line>, Vec<Number>)> {
        let covers = now.saturating_sub(self.reported_at) as u32;
        let mut lines = Vec::new();
        for worker in self.workers.values_mut() {
            if let Some(mut line) = worker.line.take() {
                let good = line.tries.saturating_sub(line.failed);
                line.took_ms = (worker.took_sum / f64::from(good.max(1))) as u32;
                worker.took_sum = 0.0;
                lines.push(line);
            }
        }
        let misplaced = std::mem::take(&mut self.misplaced);
        if lines.is_empty() && misplaced.is_empty() {
            return None;
        }
        self.reported_at = now;
        Some((covers, lines, misplaced))
    }
}

impl Service {
    /// One of its workers was seen to hold so much for others.
    fn hears_load(&mut self, now: Millis, others: f64, fade_ms: f64) {
        let mean = self.others(now, fade_ms);
        self.others = mean + OTHERS_PART * (others - mean);
        self.said_at = now;
    }

    /// A whole answer has come, of this size and after this time.
    fn hears_answer(&mut self, met: &Met) {
        let long = met.took_ms > 2.0 * self.usual_ms();
        self.tail += ANSWER_PART * (f64::from(u8::from(long)) - self.tail);
        move_towards(&mut self.bytes, met.bytes as f64, ANSWER_PART);
    }
}

impl KnownWorker {
    /// It has told its requests running, waiting, and its slots.
    fn tells_load(&mut self, now: Millis, (running, waiting, slots): (u16, u16, u16)) {
        self.entry.slots = slots.max(1);
        let total = f64::from(running) + f64::from(waiting);
        self.others = (total - f64::from(self.holds)).max(0.0);
        self.seen_at = now;
    }

    /// It has answered well while it held so many: what that tells of its pace and of its service's.
    fn teaches(&mut self, now: Millis, service: &mut Service, held: f64, met: &Met) {
        service.hears_answer(met);
        if now < self.warm_at {
            return;
        }
        let alone_ms = met.took_ms / (held / f64::from(self.entry.slots)).max(1.0);
        move_towards(&mut service.pace_ms, alone_ms, SERVICE_PART);
        if self.pace_ms == 0.0 {
            self.pace_ms = service.pace_ms;
        }
        move_towards(&mut self.pace_ms, alone_ms, WORKER_PART);
    }

    /// Counts a request that is over, for the next report and for how often it fails.
    fn counts(&mut self, number: Number, met: &Met) {
        let good = is_good(met.end);
        let run = !matches!(met.end, End::Full | End::Misplaced);
        if run {
            self.bad += BAD * (f64::from(u8::from(!good)) - self.bad);
        }
        let told = self.doubted && !good;
        let line = self.line(number);
        line.load = met.load.or(line.load);
        if run && !told {
            line.tries += 1;
            line.failed += u32::from(!good);
        }
        line.shed += u32::from(met.end == End::Full);
    }

    /// A request has ended so: what follows for whether it is sent others.
    fn ends_one(&mut self, now: Millis, met: &Met) {
        match met.end {
            End::Good | End::Own { status: ..=499 } => {
                self.took_sum += met.took_ms;
                self.well(now);
            }
            End::Own { .. } => {
                self.heard(now);
                self.doubted = false;
            }
            End::Full => {
                self.others = self.others.max(f64::from(self.entry.slots) * 2.0);
                self.seen_at = now;
                self.heard(now);
            }
            End::Unsent => self.failed(now, ENOUGH),
            End::Lost | End::Late => {
                self.cost = true;
                self.failed(now, 1);
            }
            End::Misplaced | End::Abandoned => {} // noted by who calls
        }
    }
}

/// Whether a worker that ended a request so is well.
fn is_good(end: End) -> bool {
    matches!(end, End::Good | End::Own { status: ..=499 })
}
