//! What goes wrong: when, for whom, and what follows from it.

use elderpond::interface::Condition;

use crate::chronicle::Topic;
use crate::proxies::Proxy;
use crate::rules::Parties;
use crate::scenario::{Kind, Trouble};
use crate::tables::Snapshot;
use crate::time::{Time, ms, us};
use crate::workers::{Up, Worker};
use crate::world::{Event, World};

/// How often workers that age are slowed a little more.
const AGE_STEP: Time = 500_000;
/// A worker that is released goes on for so long beyond the grace of drains.
const RELEASE_MORE: f64 = 1500.0;

/// A trouble as it goes on.
#[derive(Clone, Debug, Default)]
pub struct Going {
    /// Whom it strikes: workers, proxies or managers, by its kind.
    pub struck: Vec<usize>,
    /// Whether it is on.
    pub on: bool,
    /// When it began.
    pub began: Time,
}

/// A moment of a trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Those that it strikes are drawn.
    Begin,
    /// It is on.
    On,
    /// It is off for a while.
    Off,
    /// It is over.
    End,
}

/// Whom a kind of trouble strikes.
enum Whom {
    Workers,
    Proxies,
    Managers,
    World,
}

fn whom(kind: Kind) -> Whom {
    match kind {
        Kind::ProxyKill | Kind::ProxyCut => Whom::Proxies,
        Kind::ManagerKill | Kind::ManagerPause | Kind::SlowChannel => Whom::Managers,
        Kind::Cut | Kind::Heavy | Kind::Rush | Kind::ListDown => Whom::World,
        _ => Whom::Workers,
    }
}

impl World {
    /// Sets all troubles.
    pub(crate) fn set_troubles(&mut self) {
        for (index, trouble) in self.scenario.troubles.iter().enumerate() {
            let at = us(trouble.at_ms);
            self.queue
                .push(at, Event::Trouble(index as u16, Phase::Begin));
            self.queue.push(
                at + us(trouble.for_ms),
                Event::Trouble(index as u16, Phase::End),
            );
        }
    }

    /// A moment of a trouble has come.
    pub(crate) fn trouble(&mut self, index: u16, phase: Phase) {
        let at = usize::from(index);
        let trouble = self.scenario.troubles[at].clone();
        let end = us(trouble.at_ms + trouble.for_ms);
        match phase {
            Phase::Begin => {
                self.going[at].struck = self.draw_struck(&trouble);
                self.going[at].began = self.now;
                let (name, kind) = (&trouble.name, trouble.kind.name());
                let text = format!(
                    "trouble `{name}` ({kind}) begins: {:?}",
                    self.going[at].struck
                );
                self.chronicle
                    .note(self.now, Topic::Trouble, Parties::default(), text);
                self.trouble(index, Phase::On);
            }
            Phase::On => {
                self.going[at].on = true;
                self.strike(at, &trouble, true);
                if let Some((on, _)) = trouble.flap
                    && self.now + us(on) < end
                {
                    self.queue
                        .push(self.now + us(on), Event::Trouble(index, Phase::Off));
                }
            }
            Phase::Off => {
                self.going[at].on = false;
                self.strike(at, &trouble, false);
                if let Some((_, off)) = trouble.flap
                    && self.now + us(off) < end
                {
                    self.queue
                        .push(self.now + us(off), Event::Trouble(index, Phase::On));
                }
            }
            Phase::End => {
                if std::mem::take(&mut self.going[at].on) {
                    self.strike(at, &trouble, false);
                }
                let text = format!("trouble `{}` ends", trouble.name);
                self.chronicle
                    .note(self.now, Topic::Trouble, Parties::default(), text);
            }
        }
    }

    fn draw_struck(&mut self, trouble: &Trouble) -> Vec<usize> {
        let zone = |other: u16| trouble.zone.is_none_or(|zone| zone == usize::from(other));
        let places: Vec<usize> = match whom(trouble.kind) {
            Whom::Workers => {
                let kind = |worker: &Worker| {
                    trouble
                        .machine
                        .is_none_or(|machine| machine == usize::from(worker.machine))
                };
                let fits = |worker: &Worker| {
                    worker.condition == Condition::Ready && zone(worker.zone) && kind(worker)
                };
                let workers = self.workers.iter().enumerate();
                workers
                    .filter(|(_, worker)| fits(worker))
                    .map(|(at, _)| at)
                    .collect()
            }
            Whom::Proxies => {
                let proxies = self.proxies.iter().enumerate();
                proxies
                    .filter(|(_, proxy)| zone(proxy.zone))
                    .map(|(at, _)| at)
                    .collect()
            }
            Whom::Managers => {
                let managers = self.managers.iter().enumerate();
                managers
                    .filter(|(_, manager)| zone(manager.zone))
                    .map(|(at, _)| at)
                    .collect()
            }
            Whom::World => return Vec::new(),
        };
        let whole = matches!(trouble.kind, Kind::ZoneLoss | Kind::SharedSlow);
        let part = if whole { 1.0 } else { trouble.part };
        let part = (part * places.len() as f64).round() as usize;
        let count = trouble
            .count
            .unwrap_or_else(|| part.max(1))
            .min(places.len());
        self.draws.troubles.some_of(places, count)
    }

    /// A trouble comes or goes.
    fn strike(&mut self, index: usize, trouble: &Trouble, on: bool) {
        let struck = self.going[index].struck.clone();
        let strength = trouble.strength;
        match trouble.kind {
            Kind::Cut => {
                let zone = trouble.zone.unwrap_or(0);
                if on {
                    self.cuts[zone] += 1;
                    self.cut_streams(zone);
                } else {
                    self.cuts[zone] -= 1;
                }
            }
            Kind::Heavy => {
                let part = if on { strength } else { -strength };
                let class = trouble.class.unwrap_or(0);
                self.heavy[class] = (self.heavy[class] + part).max(0.0);
            }
            Kind::Rush => self.rush *= if on { strength } else { 1.0 / strength },
            Kind::ListDown => {
                self.list_down = self.list_down.wrapping_add_signed(if on { 1 } else { -1 })
            }
            Kind::SlowChannel => {
                let factor = if on { strength } else { 1.0 / strength };
                struck
                    .iter()
                    .for_each(|manager| self.slow_channel(*manager, factor));
            }
            Kind::ManagerKill => struck
                .iter()
                .for_each(|manager| self.kill_manager(*manager, on)),
            Kind::ManagerPause => {
                for number in struck {
                    let manager = &mut self.managers[number];
                    manager.paused = manager.paused.wrapping_add_signed(if on { 1 } else { -1 });
                    self.set_tick(number);
                }
            }
            Kind::ProxyKill => struck.iter().for_each(|proxy| self.kill_proxy(*proxy, on)),
            Kind::ProxyCut => {
                for number in struck {
                    let proxy = &mut self.proxies[number];
                    proxy.cut_off = proxy.cut_off.wrapping_add_signed(if on { 1 } else { -1 });
                    if on {
                        self.breaks(number);
                    }
                }
            }
            Kind::Crash | Kind::Vanish | Kind::ZoneLoss => {
                let up = if trouble.kind == Kind::Vanish {
                    Up::Silent
                } else {
                    Up::Dead
                };
                for worker in struck {
                    if on {
                        self.goes_down(worker, up);
                    } else {
                        self.comes_back(worker);
                    }
                }
                if trouble.kind == Kind::ZoneLoss && strength > 0.0 {
                    let zone = trouble.zone.unwrap_or(0);
                    let there = |proxy: &Proxy| usize::from(proxy.zone) == zone;
                    let proxies = self.proxies.iter().enumerate();
                    let proxies = proxies.filter(|(_, proxy)| there(proxy)).map(|(at, _)| at);
                    let proxies: Vec<usize> = proxies.collect();
                    proxies
                        .into_iter()
                        .for_each(|proxy| self.kill_proxy(proxy, on));
                }
            }
            Kind::Drain => {
                for worker in struck {
                    if on {
                        self.workers[worker].condition = Condition::Draining;
                        self.announce(worker);
                    } else {
                        self.goes(worker);
                    }
                }
            }
            Kind::Release if on => {
                let step = us(trouble.for_ms) / (struck.len().max(1) as u64);
                for (turn, worker) in struck.iter().enumerate() {
                    let at = self.now + step * turn as u64;
                    self.queue.push(at, Event::Drains(*worker as u32));
                }
            }
            Kind::Release => {}
            kind => {
                for worker in &struck {
                    self.ails(*worker, (index as u16, kind, strength), on, trouble);
                }
                if kind == Kind::Ageing && on {
                    self.queue
                        .push(self.now + AGE_STEP, Event::Ages(index as u16));
                }
            }
        }
    }

    /// Something is wrong with a worker, or no longer.
    fn ails(&mut self, at: usize, ill: (u16, Kind, f64), on: bool, trouble: &Trouble) {
        let (index, kind, _) = ill;
        let ills = &mut self.workers[at].ills;
        if on {
            let strength = match kind {
                Kind::ClassFail => f64::from(1u16 << trouble.class.unwrap_or(0)),
                _ => ill.2,
            };
            ills.push((index, kind, strength));
        } else {
            ills.retain(|(other, ..)| *other != index);
        }
        self.feels(at);
        if on {
            return;
        }
        match kind {
            Kind::Hang => {
                for key in self.workers[at].drop_all(self.now) {
                    self.lose(key);
                }
            }
            Kind::Ageing => {
                self.goes_down(at, Up::Dead);
                self.comes_back(at);
            }
            _ => {}
        }
    }

    /// A worker's figures follow what is wrong with it.
    pub(crate) fn feels(&mut self, at: usize) {
        let now = self.now;
        let (going, troubles) = (&self.going, &self.scenario.troubles);
        let ageing = |index: u16, strength: f64| {
            let index = usize::from(index);
            let age = ms(now - going[index].began) / troubles[index].for_ms;
            1.0 + (strength - 1.0) * age.min(1.0)
        };
        self.workers[at].feel(ageing);
        self.paces(at);
    }

    /// A worker's rate follows its state; what runs there finishes accordingly.
    pub(crate) fn paces(&mut self, at: usize) {
        let mut finishes = std::mem::take(&mut self.finishes);
        self.workers[at].pace(self.now, &self.scenario.rules, &mut finishes);
        for (place, stamp, due) in finishes.drain(..) {
            self.queue.push(due, Event::Done(at as u32, place, stamp));
        }
        self.finishes = finishes;
    }

    /// Workers that age are slower by a little more.
    pub(crate) fn ages(&mut self, index: u16) {
        if !self.going[usize::from(index)].on {
            return;
        }
        self.queue.push(self.now + AGE_STEP, Event::Ages(index));
        for at in self.going[usize::from(index)].struck.clone() {
            self.feels(at);
        }
    }

    /// A worker's process or machine is lost, with all that it holds.
    pub(crate) fn goes_down(&mut self, at: usize, up: Up) {
        let worker = &mut self.workers[at];
        worker.downs += 1;
        if worker.up != Up::Yes {
            if up == Up::Silent {
                worker.up = up;
            }
            return;
        }
        worker.up = up;
        worker.open = 0;
        worker.life += 1;
        for key in self.workers[at].drop_all(self.now) {
            match up {
                Up::Silent => self.lose(key),
                _ => self.answer(key, crate::proxies::Outcome::Failed),
            }
        }
        let parties = Parties::worker(at);
        let how = if up == Up::Silent {
            "goes silent"
        } else {
            "dies"
        };
        self.chronicle.note(
            self.now,
            Topic::Worker,
            parties,
            format!("worker {at} {how}"),
        );
        self.announce(at);
    }

    /// A worker comes back, cold, once nothing holds it down.
    pub(crate) fn comes_back(&mut self, at: usize) {
        let worker = &mut self.workers[at];
        worker.downs = worker.downs.saturating_sub(1);
        if worker.downs > 0 || worker.condition == Condition::Gone {
            return;
        }
        worker.restart(self.now);
        let parties = Parties::worker(at);
        self.chronicle.note(
            self.now,
            Topic::Worker,
            parties,
            format!("worker {at} starts, cold"),
        );
        self.feels(at);
        self.set_warm(at);
        self.announce(at);
    }

    /// A cold worker's next step of warmth.
    pub(crate) fn set_warm(&mut self, at: usize) {
        let step = (us(self.scenario.rules.cold_ms) / 20).max(1000);
        let life = self.workers[at].life;
        self.queue
            .push(self.now + step, Event::Warms(at as u32, life));
    }

    /// A cold worker is a little warmer.
    pub(crate) fn warms(&mut self, at: u32, life: u32) {
        let at = at as usize;
        if self.workers[at].life == life {
            self.paces(at);
            if self.workers[at].is_cold(self.now, &self.scenario.rules) {
                self.set_warm(at);
            }
        }
    }

    /// A worker is gone for good.
    fn goes(&mut self, at: usize) {
        self.workers[at].condition = Condition::Gone;
        self.goes_down(at, Up::Dead);
        self.announce(at);
    }

    /// A release takes its next worker: it drains, and is replaced after the grace.
    pub(crate) fn drains(&mut self, at: u32) {
        let number = at as usize;
        let worker = &mut self.workers[number];
        if worker.up != Up::Yes || worker.condition != Condition::Ready {
            return;
        }
        worker.condition = Condition::Draining;
        let parties = Parties::worker(number);
        self.chronicle.note(
            self.now,
            Topic::Worker,
            parties,
            format!("worker {number} drains"),
        );
        self.announce(number);
        let late = self.scenario.managers.list_late_ms.1;
        let after = late + self.scenario.rules.drain_grace_ms + RELEASE_MORE;
        self.queue.push(self.now + us(after), Event::Replaced(at));
    }

    /// A released worker goes, and another takes its address, under a new id and cold.
    pub(crate) fn replaced(&mut self, at: u32) {
        let number = at as usize;
        if self.workers[number].condition != Condition::Draining {
            return;
        }
        self.goes(number);
        let machine = &self.scenario.machines[usize::from(self.workers[number].machine)];
        let mut new = self.workers[number].replaced(machine, &mut self.draws.troubles);
        new.restart(self.now);
        self.workers.push(new);
        self.areas.push(0.0);
        let new = self.workers.len() - 1;
        self.managers
            .iter_mut()
            .for_each(|manager| manager.grow(new + 1));
        let parties = Parties::worker(new);
        let text = format!("worker {new} starts, cold, where worker {number} was");
        self.chronicle.note(self.now, Topic::Worker, parties, text);
        self.feels(new);
        self.set_warm(new);
        self.queue
            .push(self.now + self.spans.refresh, Event::Refresh(new as u32));
        self.announce(new);
    }

    fn cut_streams(&mut self, zone: usize) {
        for number in 0..self.proxies.len() {
            let Some(manager) = self.proxies[number].manager else {
                continue;
            };
            let (ours, theirs) = (self.proxies[number].zone, self.managers[manager].zone);
            if ours != theirs && (usize::from(ours) == zone || usize::from(theirs) == zone) {
                self.breaks(number);
            }
        }
    }

    fn kill_manager(&mut self, number: usize, on: bool) {
        let manager = &mut self.managers[number];
        manager.downs = manager.downs.wrapping_add_signed(if on { 1 } else { -1 });
        match (on, manager.downs) {
            (true, 1) => self.manager_dies(number),
            (false, 0) => self.manager_starts(number, false),
            _ => {}
        }
    }

    fn kill_proxy(&mut self, number: usize, on: bool) {
        if on {
            if !std::mem::take(&mut self.proxies[number].alive) {
                return;
            }
            self.resets(number);
            // What it had out is lost with it; its clients wait in vain.
            for (worker, life, open) in self.proxies[number].forget() {
                let worker = &mut self.workers[worker as usize];
                if worker.life == life {
                    worker.open = worker.open.saturating_sub(open);
                }
            }
            let table = Snapshot::new([].into_iter(), Vec::new());
            self.proxies[number].views.fill(table);
        } else if !self.proxies[number].alive {
            let table = self.standing(self.proxies[number].zone);
            let proxy = &mut self.proxies[number];
            (proxy.alive, proxy.fresh) = (true, true);
            proxy.views.fill(table);
            proxy.barred = Default::default();
            proxy.ordered_at = 0;
            proxy.slices = self.store.read();
            // It has lost its tenure: it writes nothing before it has joined.
            proxy.left_at = 0;
            let stream = proxy.stream;
            let redial = self.scenario.proxies.redial_ms;
            let wait = us(self.draws.platform.between(redial.0, redial.1));
            self.queue
                .push(self.now + wait, Event::Dial(number as u16, stream));
        }
        let parties = Parties::proxy(number);
        let how = if on { "dies" } else { "starts" };
        self.chronicle.note(
            self.now,
            Topic::Proxy,
            parties,
            format!("proxy {number} {how}"),
        );
        self.note_bare(number);
    }
}
