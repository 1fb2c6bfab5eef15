//! Readings of workers, and the ceilings and steps that come of them.

use super::*;

/// The design page's starting values: a reading counts this long at least; a worker held below its
/// listed weight is probed this often.
const SPAN_MS: f64 = 3000.0;
const PROBE_MS: f64 = 1000.0;
/// Lines of one worker this close, or within half an interval, are one reading: a quorum must not
/// count zones of proxies, and a reading of a very quick report holds too few tries.
const FOLD_MIN_MS: f64 = 500.0;
const FULL: f64 = 0.85; // a reading this good against the fleet: small ones are no better than that
/// A worker this busy, and so much more than the idler third, is about to queue, and may go down
/// to `LEAST_BUSY`, no less: what else runs on the machine shows there too.
const HOT: f64 = 0.8;
const MORE_BUSY: f64 = 1.1;
/// Part of the fleet's weight that workers which answer may lose: more pushes the rest over.
const MOST_LOST: f64 = 0.2;
/// First step of a worker that comes back, and each step above a half.
const TRIAL: f64 = 0.1;
const STEP: f64 = 0.15;

impl Manager {
    fn fold_ms(&self) -> f64 {
        (self.set.report_interval_ms / 2.0).max(FOLD_MIN_MS)
    }

    /// Enters what a report line or a probe says of a worker.
    pub(super) fn note(&mut self, id: WorkerId, met: (u32, u32, f64), load: &[f64], probe: bool) {
        let (at, (tries, good, took_ms)) = (self.now, met);
        let busy = self.set.load(LoadField::Cpu, load);
        let fold = self.fold_ms();
        let settle = self.set.report_interval_ms + self.set.push_delay_max_ms + GATHER_MS;
        let Some(worker) = self.workers.get_mut(&id).filter(|_| tries > 0) else {
            return;
        };
        let time = took_ms.max(0.0).min(f64::from(u32::MAX)) * f64::from(good); // NaN counts as 0
        if let Some(last) = worker.readings.back_mut().filter(|last| !last.probe) {
            if probe && at - last.at < 2.0 * fold {
                return; // a probe tells less than work does: it speaks where there is none
            }
            if !probe && at - last.at < fold {
                last.tries = last.tries.saturating_add(tries);
                last.good = last.good.saturating_add(good);
                last.time += time;
                last.busy = busy;
                return;
            }
        }
        // The tries were made by the weight of before a change that is still on its way.
        let late = at - worker.stepped_at < settle;
        let carried = if late { worker.cap_before } else { worker.cap };
        let mut reading = Reading::default();
        (reading.part, reading.busy, reading.time) = (1.0, busy, time);
        (reading.at, reading.probe, reading.carried) = (at, probe, carried);
        (reading.tries, reading.good) = (tries, good);
        worker.readings.push_back(reading);
    }

    fn aim_ms(&self) -> f64 {
        let came = || self.set.classes.iter().zip(&self.demand);
        let sum: f64 = came().map(|(class, n)| class.aim_ms * (n + 1.0)).sum();
        let count: f64 = came().map(|(_, n)| n + 1.0).sum();
        (sum / count.max(1.0)).max(1.0)
    }

    /// Brings each worker's ceiling and steps up to date.
    ///
    /// A worker is judged against the fleet's median, so that what strikes all lowers no ceiling and
    /// herds no load. Nothing answered takes the whole weight. Failures and late answers may be a
    /// fault or a queue: they take half at most, and what is met at the lower weight tells more.
    /// While the fleet is short nothing is lowered, since every worker then looks sick in turn; that
    /// harms where more than half the fleet is truly sick.
    pub(super) fn judge(&mut self, out: &mut Vec<Action>) {
        let (now, interval) = (self.now, self.set.report_interval_ms);
        let (aim, fold) = (self.aim_ms(), self.fold_ms());
        let age = SPAN_MS.max(2.5 * interval).max(1.5 * self.period);
        // Readings that must agree: a slow report sums up as many tries as several quick ones.
        let quorum = 1 + usize::from(2.0 * interval <= SPAN_MS && self.period <= SPAN_MS);
        let told = self.set.load_fields.contains(&LoadField::Cpu);
        let (mut qualities, mut times, mut busy) = (Vec::new(), Vec::new(), Vec::new());
        let (mut all, mut lost) = (0.0, 0.0);
        let quality = |reading: &Reading| reading.answered() * reading.in_time(aim);
        for worker in self.workers.values_mut() {
            worker.readings.retain(|reading| now - reading.at <= age);
            for reading in worker.readings.iter_mut().filter(|_| !told) {
                reading.busy = (2.0 * reading.time_in(aim)).min(1.0); // nearest to a load there is
            }
            if worker.ready() {
                all += worker.entry.weight;
                lost += worker.entry.weight * (1.0 - worker.cap);
                let work = worker.readings.iter().rev().find(|last| !last.probe);
                qualities.extend(work.map(quality));
                let met = work.filter(|reading| told || reading.good > 0);
                let failing = |reading: &Reading| if told { reading.answered() } else { 1.0 };
                times.extend(met.map(|reading| failing(reading) * reading.in_time(aim)));
                busy.extend(work.map(|reading| reading.busy));
            }
        }
        // Not known to be short, nor to have room, until work has been reported. Where load is not
        // told, failures beside answers in time are a fault, however many workers have it.
        let times = ranked(times, |n| n / 2).unwrap_or(self.best * (SHORT + ROOMY) / 2.0);
        (self.best, self.fleet) = (self.best.max(times), times / self.best.max(times));
        let usual = ranked(busy.clone(), |n| n / 2).filter(|_| told);
        self.busy = usual.unwrap_or(1.0);
        let middle = ranked(qualities, |n| n / 2).unwrap_or(1.0);
        let hot = (MORE_BUSY * ranked(busy, |n| n / 3).unwrap_or(0.0)).max(HOT);
        let short = self.fleet < SHORT;
        let settle = self.period.max(interval + GATHER_MS) + self.set.push_delay_max_ms;
        let first_backoff = interval.max(PROBE_MS);
        let last_backoff = first_backoff.max(self.set.cold_ms / 2.0);
        for (id, worker) in &mut self.workers {
            let open = |reading: &&mut Reading| now - reading.at < fold;
            for reading in worker.readings.iter_mut().filter(open) {
                let (part, carried) = (quality(reading) / middle.max(0.05), reading.carried);
                let full = part >= FULL;
                let next = reading.busy * (carried + STEP) / carried;
                reading.part = match lost < all * MOST_LOST {
                    // Answers are in time, but the load report says that they soon will not be.
                    _ if (full || short) && reading.busy > hot && lost < all * 2.0 * MOST_LOST => {
                        LEAST_BUSY.max((carried * hot / reading.busy * 10.0).floor() / 10.0)
                    }
                    _ if full && (LEAST_BUSY..1.0).contains(&carried) && next > hot => carried,
                    _ if full || short && part >= SICK => 1.0,
                    _ if !short && reading.good == 0 && reading.tries as usize + quorum > 2 => 0.0,
                    true if !short => (carried * part.max(SICK) * 10.0).round() / 10.0,
                    _ => carried,
                };
            }
            // A cold worker that carries its part with room to spare can do more than is certain.
            let work = worker.readings.back().filter(|last| told && !last.probe);
            if let Some(last) = work.filter(|last| last.at - worker.proven_at > settle) {
                let step = (LEAST_BUSY / last.busy.max(TRIAL)).clamp(SICK, 1.0 + SICK);
                worker.proven = (worker.proven * step).clamp(1.0, 1.0 / TRIAL);
                worker.proven_at = last.at;
            }
            // The quorum-th lowest recent reading, once a quorum is in.
            let parts = worker.readings.iter().map(|reading| reading.part);
            let ceiling = ranked(parts.collect(), |_| quorum - 1).unwrap_or(1.0);
            if ceiling < worker.cap {
                lost += worker.entry.weight * (worker.cap - ceiling);
                worker.set_cap(now, ceiling);
                if ceiling == 0.0 {
                    worker.backoff = (2.0 * worker.backoff).clamp(first_backoff, last_backoff);
                    out.push(Action::log(format!("worker {id} held out: it fails")));
                }
            }
            // Return by steps: a quorum of good readings in a row earns the next one. Without any
            // reading (where none may be asked for) the lapse stands in for them.
            let since = worker.readings.iter().rev();
            let since = since.take_while(|last| last.at > worker.stepped_at && last.part >= 1.0);
            let earned = since.count() >= quorum
                || worker.readings.is_empty() && now - worker.stepped_at > age;
            let waits = worker.cap == 0.0 && now - worker.stepped_at < worker.backoff;
            if worker.cap < 1.0 && !waits && earned {
                let step = [STEP, worker.cap.max(TRIAL)][usize::from(worker.cap < SICK)];
                worker.set_cap(now, worker.cap + step);
                worker.readings.clear();
                if worker.cap >= 1.0 {
                    worker.backoff = 0.0;
                    out.push(Action::log(format!("worker {id} back in full")));
                }
            }
            let last = worker.readings.back();
            let idle = last.is_none_or(|last| last.probe || now - last.at >= PROBE_MS);
            let held = worker.ready() && worker.cap < 1.0;
            if self.set.probes && held && idle && now - worker.probed_at >= PROBE_MS {
                worker.probed_at = now;
                out.push(Action::Probe { worker: *id });
            }
        }
    }
}

impl Worker {
    fn set_cap(&mut self, now: f64, cap: f64) {
        (self.cap_before, self.stepped_at) = (self.cap, now);
        self.cap = if cap > 0.99 { 1.0 } else { cap };
    }
}

impl Reading {
    /// Share of good answers, one failure forgiven as chance.
    fn answered(&self) -> f64 {
        let good = f64::from(self.good) + f64::from(self.good.min(1));
        (good / f64::from(self.tries.max(1))).min(1.0)
    }

    /// The part of them in time: a slow worker gives good answers too.
    fn in_time(&self, aim: f64) -> f64 {
        1.0 / (1.0 + self.time_in(aim).powi(4))
    }

    /// Mean time of the good answers as a part of the aim.
    fn time_in(&self, aim: f64) -> f64 {
        self.time / f64::from(self.good.max(1)) / aim
    }
}

/// The value at a place, counted from 0, of so many that are sorted from the lowest.
fn ranked(mut values: Vec<f64>, place: impl Fn(usize) -> usize) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(place(values.len())).copied()
}
