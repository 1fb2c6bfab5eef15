//! Which worker a request goes to.

use elderpond_registry::Number;

use super::{BAD, KnownWorkers, Service, Want};
use crate::{Chance, Millis};

/// Milliseconds after its rest for which a worker that lost a request is not sent what may run once; a
/// fifth of it for one that was not reached. Then what was seen of it is too old to hold it out: in a
/// service of which no request may run twice nothing else would ever bring it back.
const LAPSE: Millis = 5000;
/// One of the few is taken if it is likely done within this multiple of the usual time: if it has
/// a slot free and nothing is wrong with it.
const FREE: f64 = 1.35;
/// A worker that is slow from its start takes this multiple.
const COLD: f64 = 2.0;

impl KnownWorkers {
    /// The worker for a request; none where every one is full, resting or out of the question.
    pub fn pick(&self, now: Millis, want: &Want, chance: &mut Chance) -> Option<Number> {
        let service = self.services.get(want.service)?;
        let mut best: Option<(f64, Number)> = None;
        let mut look = |list: &[Number], away_ms: f64| {
            for number in list.iter().filter(|number| !want.but.contains(number)) {
                let Some(cost) = self.cost(now, *number, service, want) else {
                    continue;
                };
                let cost = (cost + away_ms) * (1.0 + 0.02 * chance.unit());
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, *number));
                }
            }
            best
        };
        let (few, more) = service
            .home
            .split_at(self.tuning.few.min(service.home.len()));
        let free = service.usual_ms() * FREE;
        if let Some((cost, number)) = look(few, 0.0)
            && cost <= free
        {
            return Some(number);
        }
        // over one stretch of each list, from a place that moves with time
        let start = (now as usize).wrapping_mul(7) ^ want.but.len();
        let most = self.tuning.many;
        stretch(more, start, most).for_each(|part| {
            look(part, 0.0);
        });
        stretch(&service.away, start, most).for_each(|part| {
            look(part, want.away_ms * service.weighs());
        });
        best.map(|(_, number)| number)
    }

    /// Milliseconds in which a worker would likely be done; none where it may not be sent to.
    fn cost(&self, now: Millis, number: Number, service: &Service, want: &Want) -> Option<f64> {
        let worker = self.workers.get(&number)?;
        if worker.entry.weight == 0 || now < worker.rests_until {
            return None;
        }
        if worker.failures > 0 && worker.rests_until > 0 {
            // on trial: one at a time, for a while of those that may run again
            let lapse = if worker.cost { LAPSE } else { LAPSE / 5 };
            if worker.holds > 0 || !want.safe && now < worker.rests_until + lapse {
                return None;
            }
        }
        if worker.holds as usize >= service.connections.unwrap_or(self.tuning.connections) {
            return None;
        }
        let slots = f64::from(worker.entry.slots);
        let held = worker.likely_held(now, service, self.tuning.fade_ms);
        if held + 1.0 > slots * if want.free { 1.0 } else { self.tuning.fill } {
            return None;
        }
        let usual = service.usual_ms();
        let mut pace = match worker.pace_ms {
            0.0 => usual,
            pace => pace,
        };
        if now < worker.warm_at {
            pace = pace.max(usual) * COLD;
        }
        let weight = f64::from(worker.entry.weight) / 100.0;
        let mut done = pace * (((held + 1.0) / slots).max(1.0) + 0.4 * held / slots) / weight;
        if done > want.left_ms && held >= slots {
            return None;
        }
        let quiet = now.saturating_sub(worker.quiet_since) as f64;
        if worker.holds > 0 && quiet > (3.0 * usual).max(300.0) {
            done = done * 4.0 + usual;
        }
        // what fails is run again, or is lost; one failure alone says nothing
        let bad = (worker.bad - BAD).max(0.0);
        Some(done * (1.0 + bad * if want.safe { 4.0 } else { 12.0 }))
    }
}

/// Up to `most` of a list from a place on, in two parts where it runs over the end.
fn stretch(list: &[Number], start: usize, most: usize) -> impl Iterator<Item = &[Number]> {
    let start = if list.is_empty() {
        0
    } else {
        start % list.len()
    };
    let (before, after) = list.split_at(start);
    let first = &after[..most.min(after.len())];
    let second = &before[..(most - first.len()).min(before.len())];
    [first, second].into_iter()
}
