//! Troubles: what is done at each, and for how long.

use super::*;

impl World {
    pub(super) fn in_use(&self) -> Vec<usize> {
        (0..self.machines.len())
            .filter(|it| self.machines[*it].in_use)
            .collect()
    }

    pub(super) fn seeds(&self) -> Vec<usize> {
        self.in_use().into_iter().take(3).collect()
    }

    /// Whether this one may be lost now; for a disk to be lost the others' have to work.
    pub(super) fn may_lose(&self, hive: usize, wiped: bool) -> bool {
        let now = self.now;
        let lost = |it: &usize| *it != hive && self.machines[*it].lost_until > now;
        let sick = |it: &usize| *it != hive && !self.machines[*it].condition.works();
        let hives = self.in_use();
        let lost = hives.iter().filter(|it| lost(it)).count();
        let sick = hives.iter().any(|it| wiped && sick(it));
        lost < self.story.hives / 2 && !sick
    }

    pub(super) fn trouble(&mut self, trouble: Trouble) {
        let Trouble {
            kind, span, target, ..
        } = trouble;
        let hives = self.in_use();
        let hive = hives[target % hives.len()];
        let forager = target % self.foragers.len();
        let wait = 300 + self.chance.below(700) as Millis;
        let loses = matches!(
            kind,
            Kind::CoreCut
                | Kind::OneWay
                | Kind::HiveCut
                | Kind::HiveKill
                | Kind::HiveTerm
                | Kind::HiveFreeze
                | Kind::ClockStep
                | Kind::SeedTurnover
        );
        if self.calm {
            return;
        }
        self.print(&format!(
            "{kind:?} at hive {hive} or forager {forager} for {span} ms"
        ));
        if loses && !self.may_lose(hive, false) {
            self.after(500, Coming::Trouble(trouble));
            return;
        }
        match kind {
            Kind::AfterAckKill
            | Kind::AfterAckWipe
            | Kind::CloseKill
            | Kind::ClosePower
            | Kind::CloseWipe => self.armed.push((kind, hive, self.now)),
            Kind::DiskFull | Kind::DiskSlow | Kind::DiskStall => {
                let times = 30 + self.chance.below(170) as Millis;
                self.machines[hive].condition = match kind {
                    Kind::DiskFull => DiskCondition::Full,
                    Kind::DiskSlow => DiskCondition::Slow(times),
                    _ => DiskCondition::Stalled,
                };
                self.after(span.min(6_000), Coming::Mend { hive });
            }
            Kind::CoreCut | Kind::OneWay => {
                let others = hives.iter().copied().filter(|it| *it != hive);
                let mut ways: Vec<(Endpoint, Endpoint)> =
                    others.clone().map(|it| (hive, it)).collect();
                if kind == Kind::CoreCut {
                    ways.extend(others.map(|it| (it, hive)));
                }
                self.cut_all(ways, span, Some(hive));
            }
            Kind::HiveCut => {
                let foragers = (0..self.foragers.len()).map(|it| FORAGERS + it);
                let others = (0..self.machines.len())
                    .filter(|it| *it != hive)
                    .chain(foragers);
                let mut ways: Vec<(Endpoint, Endpoint)> =
                    others.flat_map(|it| [(hive, it), (it, hive)]).collect();
                ways.push((hive, hive)); // from workers and operators
                self.cut_all(ways, span, Some(hive));
            }
            Kind::ForagerCut => {
                let me = FORAGERS + forager;
                let others = 0..self.machines.len();
                let ways = others.flat_map(|it| [(me, it), (it, me)]).collect();
                self.cut_all(ways, span, None);
            }
            Kind::HiveKill => {
                self.down(hive, false, false);
                self.after(wait, Coming::Start { hive });
            }
            Kind::HiveFreeze => {
                let machine = &mut self.machines[hive];
                if machine.hive.is_some() && machine.frozen.is_none() {
                    machine.frozen = Some(VecDeque::new());
                    machine.lost_until = Millis::MAX;
                    self.ledger.unsettled = self.now;
                    let life = machine.life;
                    self.after(span, Coming::Thaw { hive, life });
                }
            }
            Kind::ForagerFreeze => {
                let it = &mut self.foragers[forager];
                if it.up && it.frozen.is_none() {
                    (it.frozen, it.ill) = (Some(VecDeque::new()), self.now);
                    let life = it.life;
                    self.after(span, Coming::ThawForager { forager, life });
                }
            }
            Kind::ClockStep => {
                // An hour at most, to either side.
                let step = self.chance.below(2_000) * 1_800;
                self.machines[hive].clock = 4_000_000 + step as Millis;
                self.down(hive, false, false);
                self.after(wait, Coming::Start { hive });
            }
            Kind::HiveTerm => {
                self.machines[hive].lost_until = Millis::MAX;
                self.after(0, Coming::Stop { hive });
            }
            Kind::ForagerKill => {
                let it = &mut self.foragers[forager];
                (it.up, it.ill) = (false, self.now);
                if let Some((link, hive)) = it.link.take() {
                    self.after(2, Coming::LinkLostAtHive { hive, link });
                }
                self.after(wait, Coming::StartForager { forager });
            }
            Kind::CoreKill | Kind::CorePower => self.stop_core(kind == Kind::CorePower),
            Kind::SeedTurnover => self.turn_over(trouble, hive),
            Kind::Storm => {
                for nth in 0..8 {
                    self.order_at(self.now + nth * (50 + span / 40));
                }
            }
            Kind::Race => {
                self.version += 2;
                let version = self.version;
                for (version, word) in [(version, 1), (version, 2), (version - 1, 3)] {
                    let wait = self.chance.below(30) as Millis;
                    self.after(
                        wait,
                        Coming::Order {
                            version,
                            word,
                            valid: true,
                        },
                    );
                }
            }
            Kind::Bad => {
                for nth in 0..3 {
                    let (version, word) = (self.version + 100 + nth, 0);
                    self.after(
                        nth * 300,
                        Coming::Order {
                            version,
                            word,
                            valid: false,
                        },
                    );
                }
            }
            Kind::Old => {
                let (version, word) = (self.version.saturating_sub(1).max(1), 77);
                self.order(version, word, true);
            }
            Kind::Release | Kind::ScaleIn => {
                let ready = |it: &usize| self.workers[*it].state == State::Ready;
                let ready: Vec<usize> = (0..self.workers.len()).filter(ready).collect();
                let heir = kind == Kind::Release;
                let most = if heir { ready.len() } else { ready.len() / 2 };
                for (nth, worker) in ready.into_iter().take(most).enumerate() {
                    let wait = nth as Millis * (200 + span / 8);
                    self.after(wait, Coming::Drain { worker, heir });
                }
            }
        }
    }

    /// It goes on where it stood: the clock first, then what has waited.
    pub(super) fn thaw(&mut self, hive: usize, life: u64) {
        let machine = &mut self.machines[hive];
        if machine.life != life || machine.hive.is_none() {
            return;
        }
        let waits = machine.frozen.take().unwrap_or_default();
        (machine.ill, machine.lost_until) = (self.now, self.now + CATCH_UP);
        self.ledger.unsettled = self.now;
        self.print(&format!(
            "hive {hive} goes on, {} events waited",
            waits.len()
        ));
        self.tell(hive, Event::Tick);
        for event in waits {
            self.tell(hive, event);
        }
    }

    pub(super) fn thaw_forager(&mut self, forager: usize, life: u64) {
        let it = &mut self.foragers[forager];
        if it.life != life || !it.up {
            return;
        }
        it.ill = self.now;
        for heard in it.frozen.take().unwrap_or_default() {
            self.reach(forager, heard);
        }
    }

    pub(super) fn turn_over(&mut self, trouble: Trouble, hive: usize) {
        let fresh = (0..self.machines.len()).find(|it| self.machines[*it].life == 0);
        let Some(fresh) = fresh else { return };
        // The new one comes, is told where others are, and then the old one goes.
        self.machines[fresh].in_use = true;
        self.machines[fresh].seeds = self.seeds().into_iter().map(ip).collect();
        self.start(fresh);
        let seeds: Vec<Ipv4Addr> = self
            .in_use()
            .into_iter()
            .filter(|it| *it != hive)
            .take(3)
            .map(ip)
            .collect();
        for it in self.in_use() {
            self.machines[it].seeds = seeds.clone();
            if it != fresh {
                self.tell(it, Event::Seeds(seeds.clone()));
            }
        }
        for forager in &mut self.foragers {
            forager.follow.seeds(&seeds);
        }
        self.machines[hive].leaves = true;
        let next = Trouble {
            kind: Kind::SeedTurnover,
            target: trouble.target,
            ..trouble
        };
        self.after(4_000, Coming::Stop { hive });
        if self.machines.iter().any(|it| it.life == 0) {
            self.after(9_500, Coming::Trouble(next));
        }
    }

    pub(super) fn stop_core(&mut self, power: bool) {
        for hive in self.in_use() {
            let wait = 300 + self.chance.below(700) as Millis;
            self.down(hive, power, false);
            self.after(wait, Coming::Start { hive });
        }
    }

    pub(super) fn just_acknowledged(&mut self, hive: usize) {
        let armed = std::mem::take(&mut self.armed);
        for (kind, target, since) in armed {
            let wiped = kind == Kind::AfterAckWipe;
            let wait = 300 + self.chance.below(2_700) as Millis;
            match kind {
                Kind::AfterAckKill | Kind::AfterAckWipe if self.may_lose(hive, wiped) => {
                    self.down(hive, true, wiped);
                    self.after(wait, Coming::Start { hive });
                }
                Kind::CloseKill => self.stop_core(false),
                Kind::ClosePower => self.stop_core(true),
                Kind::CloseWipe if self.close_wipe(target) => {}
                _ => self.armed.push((kind, target, since)),
            }
        }
    }

    pub(super) fn close_wipe(&mut self, target: usize) -> bool {
        let hives = self.in_use();
        let whole = |it: &usize| {
            let machine = &self.machines[*it];
            machine.lost_until <= self.now && machine.condition.works()
        };
        if hives.len() != self.story.hives || !hives.iter().all(whole) {
            return false;
        }
        for nth in 0..hives.len() {
            let hive = hives[(target + nth) % hives.len()];
            self.down(hive, true, nth < self.story.hives / 2);
            let wait = 300 + self.chance.below(700) as Millis;
            self.after(wait, Coming::Start { hive });
        }
        true
    }

    pub(super) fn cut_all(
        &mut self,
        ways: Vec<(Endpoint, Endpoint)>,
        span: Millis,
        hive: Option<usize>,
    ) {
        for way in &ways {
            *self.cuts.entry(*way).or_default() += 1;
        }
        if let Some(hive) = hive {
            self.machines[hive].lost_until = Millis::MAX;
            self.ledger.unsettled = self.now;
        }
        self.after(span, Coming::Join { ways });
    }

    pub(super) fn join(&mut self, ways: &[(Endpoint, Endpoint)]) {
        let mut hives = BTreeSet::new();
        for way in ways {
            if let Some(count) = self.cuts.get_mut(way) {
                *count -= 1;
                if *count == 0 {
                    self.cuts.remove(way);
                }
            }
            hives.extend([way.0, way.1].into_iter().filter(|it| *it < FORAGERS));
        }
        let core = ways
            .iter()
            .any(|(from, to)| *from < FORAGERS && *to < FORAGERS);
        for hive in hives {
            let machine = &mut self.machines[hive];
            if machine.lost_until == Millis::MAX && machine.hive.is_some() && core {
                machine.lost_until = self.now + CATCH_UP;
            }
        }
        if core {
            self.ledger.unsettled = self.now;
        }
        for coming in std::mem::take(&mut self.held) {
            self.after(1, coming);
        }
    }
}
