//! Workers: cores, a queue, connections, memory of keys, warmth, and what is wrong with them.
//!
//! A worker is a queue with several servers: `cores` requests run at a time, each on a core of its
//! own, the rest wait in the order they came. All cores run at one rate; when it changes, what runs
//! keeps the work it has left and finishes at the new rate.

use std::collections::VecDeque;

use elderpond::interface::{Condition, LoadField};

use crate::chance::Chance;
use crate::scenario::{Between, Cancel, Kind, Machine, Rules};
use crate::slab::Key;
use crate::time::{Time, ms, us};

/// Steps of the warm-up curve.
const WARM_STEPS: f64 = 20.0;

/// Whether a worker's process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Up {
    /// It runs.
    Yes,
    /// It does not; its machine resets connections.
    Dead,
    /// Nothing comes back.
    Silent,
}

/// One request on a core.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Which try.
    pub key: Key,
    /// Work left when it was last looked at, in milliseconds of a core of speed 1.
    left: f64,
    since: Time,
    /// Tells a finish that is due from one that was set before the rate changed.
    pub stamp: u32,
}

/// When a core will have finished: its place, its stamp, and the moment.
pub type Finish = (u16, u32, Time);

/// What became of a request that reached a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Received {
    /// It runs.
    Runs(Option<Finish>),
    /// It waits.
    Waits,
    /// It was turned away unseen.
    Full,
}

/// One worker.
pub struct Worker {
    /// Whoever is at this address; a replacement has it too.
    pub address: u32,
    /// Its zone.
    pub zone: u16,
    /// Its kind of machine.
    pub machine: u16,
    /// Cores.
    pub cores: usize,
    /// Speed of a core when nothing is wrong.
    pub speed: f64,
    /// Listed weight.
    pub weight: f64,
    /// Whether it runs.
    pub up: Up,
    /// Troubles that hold it down.
    pub downs: u32,
    /// What the platform has it do.
    pub condition: Condition,
    /// When it started; none for long ago.
    pub started: Option<Time>,
    /// Counts its lives: connections of an earlier one are gone.
    pub life: u32,
    /// What is wrong with it: trouble, kind, strength.
    pub ills: Vec<(u16, Kind, f64)>,
    /// Probability that a request fails at once.
    pub errors: f64,
    /// Bits of the classes that fail.
    pub fails: u16,
    /// Its answers are lost.
    pub one_sided: bool,
    /// It reports to be idle.
    pub lies: bool,
    /// Open connections, and how many there may be.
    pub open: u32,
    /// The most connections.
    pub connections: u32,
    /// Values of its last load report, in the order of [`ALL_LOADS`].
    pub load: [f32; 6],
    /// What waits, the first first; entries that were cancelled stay until their turn.
    pub waiting: VecDeque<Key>,
    /// How many of them are not cancelled.
    pub waits: usize,
    running: Vec<Option<Run>>,
    busy: usize,
    stamp: u32,
    rate: f64,
    factor: f64,
    crowding: f64,
    queue: usize,
    /// What happens to work whose client has gone.
    pub cancel: Cancel,
    memory_us: Time,
    gain: f64,
    memory: Vec<(u32, Time)>,
    area: f64,
    area_at: Time,
    refreshed: Time,
    served: u32,
    failed: u32,
    /// Sum of service times since the last refresh, in milliseconds.
    served_ms: f64,
    /// Work sent of late while cold: when, how much, and whether the sender knew.
    pub sent: VecDeque<(Time, f64, bool)>,
    /// Sums over `sent`: all of it, and what knew.
    pub sent_sum: (f64, f64),
}

/// The values that a worker can report.
pub const ALL_LOADS: [LoadField; 6] = [
    LoadField::Active,
    LoadField::Waiting,
    LoadField::Cpu,
    LoadField::AverageMs,
    LoadField::Rate,
    LoadField::ErrorRate,
];

fn drawn(range: Between, chance: &mut Chance) -> f64 {
    chance.between(range.0, range.1)
}

impl Worker {
    /// A worker on a machine, its figures drawn.
    pub fn build(machine: (u16, &Machine), zone: u16, address: u32, chance: &mut Chance) -> Self {
        let (number, machine) = machine;
        let memory = if machine.key_memory_ms.1 > 0.0 {
            machine.keys
        } else {
            0
        };
        Self {
            address,
            zone,
            machine: number,
            cores: machine.cores,
            speed: drawn(machine.speed, chance),
            weight: 1.0,
            up: Up::Yes,
            downs: 0,
            condition: Condition::Ready,
            started: None,
            life: 0,
            ills: Vec::new(),
            errors: 0.0,
            fails: 0,
            one_sided: false,
            lies: false,
            open: 0,
            connections: drawn(machine.connections, chance) as u32,
            load: [0.0; 6],
            waiting: VecDeque::new(),
            waits: 0,
            running: vec![None; machine.cores],
            busy: 0,
            stamp: 0,
            rate: 1.0,
            factor: 1.0,
            crowding: machine.crowding,
            queue: machine.queue,
            cancel: machine.cancel,
            memory_us: us(drawn(machine.key_memory_ms, chance)),
            gain: drawn(machine.key_gain, chance),
            memory: vec![(u32::MAX, 0); memory],
            area: 0.0,
            area_at: 0,
            refreshed: 0,
            served: 0,
            failed: 0,
            served_ms: 0.0,
            sent: VecDeque::new(),
            sent_sum: (0.0, 0.0),
        }
    }

    /// One on the same machine as another, which it replaces.
    pub fn replaced(&self, machine: &Machine, chance: &mut Chance) -> Self {
        let mut new = Self::build((self.machine, machine), self.zone, self.address, chance);
        (new.speed, new.weight) = (self.speed, self.weight);
        (new.connections, new.gain, new.memory_us) = (self.connections, self.gain, self.memory_us);
        new
    }

    /// The part of its capacity that it has, by the time since its start.
    pub fn warmth(&self, now: Time, rules: &Rules) -> f64 {
        let Some(started) = self.started else {
            return 1.0;
        };
        let age = ms(now.saturating_sub(started)) / rules.cold_ms.max(1e-9);
        let age = (age * WARM_STEPS).floor() / WARM_STEPS;
        (rules.start_capacity + (1.0 - rules.start_capacity) * age).min(1.0)
    }

    /// Whether it is cold still.
    pub fn is_cold(&self, now: Time, rules: &Rules) -> bool {
        self.started
            .is_some_and(|started| now < started + us(rules.cold_ms))
    }

    /// Work that it does in a millisecond of full use, in milliseconds of a core of speed 1.
    pub fn capacity(&self) -> f64 {
        if self.up == Up::Yes {
            self.rate * self.cores as f64
        } else {
            0.0
        }
    }

    /// Takes what is wrong with it into its figures; the rate is set by [`Self::pace`].
    pub fn feel(&mut self, ageing: impl Fn(u16, f64) -> f64) {
        (self.errors, self.fails) = (0.0, 0);
        (self.one_sided, self.lies, self.factor) = (false, false, 1.0);
        for (trouble, kind, strength) in &self.ills {
            match kind {
                Kind::FastErrors => self.errors = self.errors.max(*strength),
                Kind::ClassFail => self.fails |= *strength as u16,
                Kind::Slow | Kind::SharedSlow => self.factor /= strength,
                Kind::Neighbour => self.factor *= 1.0 - strength,
                Kind::Ageing => self.factor /= ageing(*trouble, *strength),
                Kind::Pause | Kind::Hang => self.factor = 0.0,
                Kind::OneSided => self.one_sided = true,
                Kind::FalseLoad => self.lies = true,
                _ => {}
            }
        }
    }

    /// Sets the rate that its state asks for, and lists when its cores will have finished if that
    /// changed.
    pub fn pace(&mut self, now: Time, rules: &Rules, finishes: &mut Vec<Finish>) {
        let crowd = f64::from(self.open) / f64::from(self.connections.max(1));
        let crowd = 1.0 - self.crowding * crowd.min(1.0);
        let rate = self.speed * self.factor * self.warmth(now, rules) * crowd;
        if rate == self.rate {
            return;
        }
        for (place, run) in self.running.iter_mut().enumerate() {
            let Some(run) = run else {
                continue;
            };
            run.left = (run.left - ms(now - run.since) * self.rate).max(0.0);
            self.stamp = self.stamp.wrapping_add(1);
            (run.since, run.stamp) = (now, self.stamp);
            if rate > 0.0 {
                finishes.push((place as u16, run.stamp, now + us(run.left / rate)));
            }
        }
        self.rate = rate;
    }

    /// Takes a request in, if it has room.
    pub fn receive(&mut self, now: Time, key: Key, work: f64) -> Received {
        if self.busy < self.cores {
            return Received::Runs(self.start(now, key, work));
        }
        if self.waits >= self.queue {
            return Received::Full;
        }
        self.waiting.push_back(key);
        self.waits += 1;
        Received::Waits
    }

    /// Puts a request on a free core; when it will have finished, if the worker does not stand still.
    pub fn start(&mut self, now: Time, key: Key, work: f64) -> Option<Finish> {
        let place = self.running.iter().position(Option::is_none)?;
        self.tell_busy(now);
        self.busy += 1;
        self.stamp = self.stamp.wrapping_add(1);
        let (since, stamp) = (now, self.stamp);
        self.running[place] = Some(Run {
            key,
            left: work,
            since,
            stamp,
        });
        (self.rate > 0.0).then(|| (place as u16, stamp, now + us(work / self.rate)))
    }

    /// Ends what runs at a place, if the finish is not from before a change of rate.
    pub fn finish(&mut self, now: Time, place: u16, stamp: u32) -> Option<Key> {
        let run = self.running.get(usize::from(place)).copied().flatten();
        let run = run.filter(|run| run.stamp == stamp)?;
        self.running[usize::from(place)] = None;
        self.tell_busy(now);
        self.busy -= 1;
        Some(run.key)
    }

    /// Stops a request that runs, if it is there.
    pub fn stop(&mut self, now: Time, key: Key) -> bool {
        let place = self
            .running
            .iter()
            .position(|run| run.is_some_and(|run| run.key == key));
        if let Some(place) = place {
            self.running[place] = None;
            self.tell_busy(now);
            self.busy -= 1;
        }
        place.is_some()
    }

    /// Drops all that it holds: what ran, then what waited.
    pub fn drop_all(&mut self, now: Time) -> Vec<Key> {
        self.tell_busy(now);
        self.busy = 0;
        self.waits = 0;
        let ran = self
            .running
            .iter_mut()
            .filter_map(Option::take)
            .map(|run| run.key);
        let ran: Vec<Key> = ran.collect();
        ran.into_iter().chain(self.waiting.drain(..)).collect()
    }

    /// Starts anew, cold, with nothing in hand or in mind.
    pub fn restart(&mut self, now: Time) {
        (self.up, self.started, self.open) = (Up::Yes, Some(now), 0);
        self.life = self.life.wrapping_add(1);
        self.memory.fill((u32::MAX, 0));
        self.sent.clear();
        self.sent_sum = (0.0, 0.0);
        self.load = [0.0; 6];
    }

    /// The part of its work that a request with this key is spared; the key is remembered.
    pub fn recall(&mut self, now: Time, key: u32) -> f64 {
        if self.memory.is_empty() {
            return 0.0;
        }
        let place = key.wrapping_mul(0x9e37_79b1) as usize % self.memory.len();
        let (known, at) = self.memory[place];
        self.memory[place] = (key, now);
        let fresh = known == key && now - at <= self.memory_us;
        if fresh { self.gain } else { 0.0 }
    }

    /// Counts an answer for the load report.
    pub fn served(&mut self, took_ms: f64, good: bool) {
        self.served += 1;
        self.failed += u32::from(!good);
        self.served_ms += took_ms;
    }

    fn tell_busy(&mut self, now: Time) {
        self.area += self.busy as f64 * (now - self.area_at) as f64;
        self.area_at = now;
    }

    /// Busy core time since the start, in milliseconds.
    pub fn busy_ms(&mut self, now: Time) -> f64 {
        self.tell_busy(now);
        ms(self.area as Time)
    }

    /// Renews its load report.
    pub fn refresh(&mut self, now: Time, before: f64) -> f64 {
        let area = self.busy_ms(now);
        let span = ms(now - self.refreshed).max(1e-9);
        let cpu = (area - before) / span / self.cores.max(1) as f64;
        let served = f64::from(self.served.max(1));
        let figures = [
            (self.busy + self.waits) as f64,
            self.waits as f64,
            cpu.min(1.0),
            self.served_ms / served,
            f64::from(self.served) / span * 1000.0,
            f64::from(self.failed) / span * 1000.0,
        ];
        self.load = if self.lies {
            [0.0; 6]
        } else {
            figures.map(|figure| figure as f32)
        };
        (self.served, self.failed, self.served_ms) = (0, 0, 0.0);
        self.refreshed = now;
        area
    }

    /// Enters work sent to it while cold, and drops what is older than the span of the rule. Says
    /// whether that is more than it bears, and whether two thirds of it came from who knew.
    pub fn burden(&mut self, now: Time, work: f64, knew: bool, rules: &Rules) -> Option<bool> {
        let oldest = now.saturating_sub(us(rules.fall_ms));
        self.sent.push_back((now, work, knew));
        let part = |knew: bool, work: f64| if knew { work } else { 0.0 };
        self.sent_sum.0 += work;
        self.sent_sum.1 += part(knew, work);
        while let Some((at, work, knew)) = self.sent.front().copied() {
            if at >= oldest {
                break;
            }
            self.sent.pop_front();
            self.sent_sum.0 -= work;
            self.sent_sum.1 -= part(knew, work);
        }
        let present = self.speed * self.warmth(now, rules) * self.cores as f64;
        // One request more than the budget is chance.
        let budget = rules.tip_multiple * present * rules.fall_ms + work;
        let (all, knew) = self.sent_sum;
        (all > budget).then_some(knew >= all * 2.0 / 3.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::chance::Purpose;
    use crate::scenario::Scenario;
    use crate::slab::Slab;

    fn worker(more: &str) -> (Worker, Scenario) {
        let text = format!(
            "[scenario]\nduration = 1s\n[workers w]\ncount = 1\ncores = 2\nspeed = 2\n{more}\n\
             [class c]\nwork = fixed 10ms\naim = 1s\ngive_up = 1s\nrepeat = never\n\
             [clients]\nrate = 1\n[rules]\ncold = 10s\nstart_capacity = 0.2\ntip_multiple = 2\n"
        );
        let scenario = Scenario::parse("test", &text).unwrap();
        let mut chance = Chance::new(1, Purpose::Build);
        let worker = Worker::build((0, &scenario.machines[0]), 0, 0, &mut chance);
        (worker, scenario)
    }

    fn keys(count: usize) -> Vec<Key> {
        let mut slab = Slab::default();
        (0..count).map(|number| slab.insert(number)).collect()
    }

    #[test]
    fn cores_run_side_by_side_and_the_rest_waits_or_is_turned_away() {
        let (mut worker, scenario) = worker("queue = 1");
        worker.pace(0, &scenario.rules, &mut Vec::new());
        let keys = keys(4);
        assert_eq!(
            worker.receive(0, keys[0], 10.0),
            Received::Runs(Some((0, 1, 5000)))
        );
        assert_eq!(
            worker.receive(1000, keys[1], 10.0),
            Received::Runs(Some((1, 2, 6000)))
        );
        assert_eq!(worker.receive(1000, keys[2], 10.0), Received::Waits);
        assert_eq!(worker.receive(1000, keys[3], 10.0), Received::Full);
        assert_eq!(worker.finish(5000, 0, 1), Some(keys[0]));
        assert_eq!(worker.finish(5000, 0, 1), None);
        assert_eq!(worker.busy_ms(5000), 9.0);
    }

    #[test]
    fn a_change_of_rate_keeps_the_work_that_is_left() {
        let (mut worker, scenario) = worker("");
        worker.pace(0, &scenario.rules, &mut Vec::new());
        let keys = keys(1);
        worker.receive(0, keys[0], 10.0);
        worker.ills.push((0, Kind::Slow, 4.0));
        worker.feel(|_, _| 1.0);
        let mut finishes = Vec::new();
        worker.pace(2500, &scenario.rules, &mut finishes);
        // Half of it is done; the rest takes four times as long.
        assert_eq!(finishes, [(0, 2, 12_500)]);
        assert_eq!(worker.finish(5000, 0, 1), None);
        worker.ills = vec![(0, Kind::Pause, 1.0)];
        worker.feel(|_, _| 1.0);
        finishes.clear();
        worker.pace(7500, &scenario.rules, &mut finishes);
        assert!(finishes.is_empty());
        worker.ills.clear();
        worker.feel(|_, _| 1.0);
        worker.pace(100_000, &scenario.rules, &mut finishes);
        assert_eq!(finishes, [(0, 4, 101_250)]);
        assert_eq!(worker.finish(101_250, 0, 4), Some(keys[0]));
    }

    #[test]
    fn warmth_grows_from_the_start_and_a_burst_tips_what_is_cold() {
        let (mut worker, scenario) = worker("");
        let rules = &scenario.rules;
        assert_eq!(worker.warmth(0, rules), 1.0);
        worker.restart(0);
        assert_eq!(worker.warmth(0, rules), 0.2);
        assert!((worker.warmth(us(5000.0), rules) - 0.6).abs() < 1e-9);
        assert_eq!(worker.warmth(us(10_000.0), rules), 1.0);
        assert!(worker.is_cold(us(9_999.0), rules) && !worker.is_cold(us(10_000.0), rules));
        // Two cores of speed 2 at a fifth, twice that for 1.5 s: 2,400 ms of work, and one more.
        let mut tipped = None;
        for request in 1..=30 {
            tipped = worker.burden(0, 100.0, request > 9, rules);
            assert_eq!(tipped.is_some(), request > 25, "{request}");
            if tipped.is_some() {
                break;
            }
        }
        assert_eq!(tipped, Some(false));
        // What came longer ago than the span of the rule no longer counts.
        assert_eq!(worker.burden(us(1501.0), 100.0, true, rules), None);
    }

    #[test]
    fn a_key_met_lately_is_less_work_until_it_is_forgotten() {
        let (mut worker, _) = worker("key_memory = 3s\nkey_gain = 25%\nkeys = 4");
        assert_eq!(worker.recall(0, 7), 0.0);
        assert_eq!(worker.recall(us(3000.0), 7), 0.25);
        assert_eq!(worker.recall(us(6001.0), 7), 0.0);
        for key in 0..64 {
            worker.recall(us(6002.0), key);
        }
        worker.restart(us(6003.0));
        assert_eq!(worker.recall(us(6004.0), 63), 0.0);
    }
}
