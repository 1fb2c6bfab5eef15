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
        });
    }

    pub(super) fn drive_worker(&mut self, worker: usize) {
        let hives = self.in_use();
        let (now, pick) = (self.now, hives[self.chance.below(hives.len())]);
        let it = &mut self.workers[worker];
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
        let ticket = self.call(hive, Caller::Worker(worker), command);
        self.workers[worker].waits = Some((ticket, now));
    }
}
