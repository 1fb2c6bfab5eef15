//! Workers: they beat, leave, and come again.

use super::*;

impl World {
    pub(super) fn start_worker(&mut self, place: usize) {
        self.count += 1;
        let hives = self.in_use();
        let hive = hives[self.chance.below(hives.len())];
        self.workers.push(Worker {
            id: format!("w{place}-{}", self.count),
            place,
            state: State::Ready,
            sequence: 0,
            hive,
            beat_at: self.now + self.chance.below(BEAT as usize) as Millis,
            waits: None,
            departed: None,
            heir: false,
            leaves: None,
            gone_at: None,
        });
    }

    pub(super) fn drive_worker(&mut self, worker: usize) {
        let (now, pick) = (self.now, self.another(self.workers[worker].hive));
        let it = &mut self.workers[worker];
        if it.gone_at.is_some_and(|at| now >= at) {
            (it.state, it.waits, it.beat_at) = (State::Gone, None, Millis::MAX);
            return;
        }
        if let Some((_, since)) = it.waits {
            if now < since + 1_000 {
                return;
            }
            (it.waits, it.hive, it.beat_at) = (None, pick, now);
        }
        let over = it.departed.is_some_and(|(at, _)| now >= at + DRAIN + 500);
        if it.state == State::Draining && over {
            it.state = State::Gone;
            it.beat_at = now;
            if it.heir {
                let place = it.place;
                self.after(100, Coming::StartWorker { place });
            }
        }
        let it = &mut self.workers[worker];
        if now < it.beat_at {
            return;
        }
        it.sequence += 1;
        let command = if it.state == State::Gone {
            Command::Leave { id: it.id.clone() }
        } else {
            let state = if it.state == State::Ready {
                "ready"
            } else {
                "draining"
            };
            let (place, sequence, zone) = (it.place + 1, it.sequence, ZONES[it.place % 3]);
            let port = it.sequence.min(1) + it.number().0 % 20_000 + 1_024;
            let body = format!(
                r#"{{"address":"10.9.0.{place}:{port}","information":{{"service":"s","zone":"{zone}",
                "slots":4}},"status":{{"state":"{state}","call-sequence":{sequence}}}}}"#
            );
            Command::beat(&it.id, body.as_bytes()).expect("a beat")
        };
        it.beat_at = if it.state == State::Gone {
            Millis::MAX
        } else {
            now + BEAT
        };
        let hive = it.hive;
        let ticket = self.call(hive, Asked::Worker(worker), command);
        self.workers[worker].waits = Some((ticket, now));
    }

    /// It says that it leaves; on a short notice it is gone whatever it is told.
    pub(super) fn drain(&mut self, worker: usize, heir: bool, notice: Option<Millis>) {
        let now = self.now;
        let it = &mut self.workers[worker];
        if it.state != State::Ready || it.gone_at.is_some() {
            return;
        }
        (it.state, it.heir, it.beat_at, it.waits) = (State::Draining, heir, now, None);
        (it.leaves, it.gone_at) = (Some(now), notice.map(|notice| now + notice));
        let place = it.place;
        if notice.is_some() {
            self.after(4_000, Coming::StartWorker { place });
        }
    }
}
