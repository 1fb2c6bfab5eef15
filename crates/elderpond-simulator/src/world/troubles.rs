//! Troubles: what is done at each, and for how long.

use super::*;

impl World {
    pub(super) fn in_use(&self) -> Vec<usize> {
        (0..self.machines.len())
            .filter(|it| self.machines[*it].in_use)
            .collect()
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

    /// The hive that a trouble is aimed at.
    fn aimed(&self, trouble: &Trouble) -> usize {
        let hives = self.in_use();
        let drawn = hives[trouble.target % hives.len()];
        let aimed = match trouble.how.aim {
            Aim::Drawn => drawn,
            Aim::Leader => self.leader,
            Aim::Reader => self.reader,
            Aim::Seed => self.seed_list[trouble.target % self.seed_list.len()],
        };
        if hives.contains(&aimed) { aimed } else { drawn }
    }

    fn struck(&mut self, trouble: &Trouble) {
        self.summary.struck.push((trouble.kind, trouble.how));
    }

    pub(super) fn trouble(&mut self, mut trouble: Trouble) {
        trouble.span = trouble.span.min(self.calm_from().saturating_sub(self.now));
        let Trouble {
            kind, how, span, ..
        } = trouble;
        let hive = self.aimed(&trouble);
        let forager = trouble.target % self.foragers.len();
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
                | Kind::SeedsCut
                | Kind::BothCut
                | Kind::SideCut
                | Kind::PairCut
                | Kind::Resets
                | Kind::SlowLinks
        );
        let wipes = matches!(kind, Kind::Replace | Kind::SecondWipe);
        if self.calm {
            return;
        }
        self.print(&format!(
            "{kind:?} at hive {hive} or forager {forager} for {span} ms"
        ));
        if (loses || wipes) && !self.may_lose(hive, wipes) {
            self.after(500, Coming::Trouble(trouble));
            return;
        }
        let armed = matches!(
            kind,
            Kind::AfterAckKill
                | Kind::AfterAckWipe
                | Kind::TimedKill
                | Kind::TimedWipe
                | Kind::TakenKill
                | Kind::CoreTaken
                | Kind::WipeAndPower
        );
        if matches!(kind, Kind::TakenKill | Kind::CoreTaken) {
            let ready = |it: &usize| self.workers[*it].state == State::Ready;
            let leaves: Vec<usize> = (0..self.workers.len()).filter(ready).collect();
            for worker in leaves.into_iter().take(2) {
                let (heir, notice) = (true, None);
                self.drain(worker, heir, notice);
            }
        }
        if armed || kind.closes() {
            self.armed.push(trouble);
            return;
        }
        self.struck(&trouble);
        if loses && how.starts {
            self.start_meanwhile(hive, span);
        }
        match kind {
            Kind::DiskFull | Kind::DiskSlow | Kind::DiskStall => {
                let times = 30 + self.chance.below(170) as Millis;
                self.machines[hive].condition = match kind {
                    Kind::DiskFull => DiskCondition::Full,
                    Kind::DiskSlow => DiskCondition::Slow(times),
                    _ => DiskCondition::Stalled,
                };
                self.after(span.min(6_000), Coming::Mend { hive });
            }
            Kind::CoreCut
            | Kind::OneWay
            | Kind::SeedsCut
            | Kind::BothCut
            | Kind::SideCut
            | Kind::PairCut => self.core_cut(&trouble, hive),
            Kind::HiveCut => {
                let foragers = (0..self.foragers.len()).map(|it| FORAGERS + it);
                let others = (0..self.machines.len())
                    .filter(|it| *it != hive)
                    .chain(foragers);
                let mut ways: Vec<(Endpoint, Endpoint)> =
                    others.flat_map(|it| [(hive, it), (it, hive)]).collect();
                ways.push((hive, hive)); // from workers and operators
                self.cut_all(ways, &trouble, &[hive]);
            }
            Kind::ForagerCut => {
                let me = FORAGERS + forager;
                let others = 0..self.machines.len();
                let ways = others.flat_map(|it| [(me, it), (it, me)]).collect();
                self.cut_all(ways, &trouble, &[]);
            }
            Kind::HiveKill => {
                self.machines[hive].meets = Some(how);
                self.down(hive, false, false);
                self.after(wait, Coming::Start { hive });
            }
            Kind::HiveFreeze => {
                let machine = &mut self.machines[hive];
                if machine.hive.is_some() && machine.frozen.is_none() {
                    machine.frozen = Some(VecDeque::new());
                    machine.lost_until = Millis::MAX;
                    machine.meets = Some(how);
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
                self.machines[hive].meets = Some(how);
                self.down(hive, false, false);
                self.after(wait, Coming::Start { hive });
            }
            Kind::HiveTerm => {
                self.machines[hive].lost_until = Millis::MAX;
                self.machines[hive].meets = Some(how);
                self.terminate(hive, how);
            }
            Kind::ForagerKill => self.restart_forager(forager),
            Kind::CoreKill | Kind::CorePower => self.stop_core(kind == Kind::CorePower),
            Kind::SeedTurnover => self.turn_over(trouble, hive),
            Kind::Storm => {
                for nth in 0..8 {
                    self.order_at(self.now + nth * (50 + span / 40));
                }
            }
            Kind::Stream => {
                let gap = 100 + self.chance.below(300) as Millis;
                let mut at = self.now;
                while at < self.calm_from() - 2_000 {
                    self.order_at(at);
                    at += gap;
                }
            }
            Kind::Race => {
                self.version += 2;
                let version = self.version;
                for (version, word) in [(version, 1), (version, 2), (version - 1, 3)] {
                    let wait = self.chance.below(30) as Millis;
                    let valid = true;
                    self.after(
                        wait,
                        Coming::Order {
                            version,
                            word,
                            valid,
                        },
                    );
                }
            }
            Kind::Eight => self.eight(),
            Kind::Bad => {
                for nth in 0..3 {
                    let (version, word) = (self.version + 100 + nth, 0);
                    let valid = false;
                    self.after(
                        nth * 300,
                        Coming::Order {
                            version,
                            word,
                            valid,
                        },
                    );
                }
            }
            Kind::Old => {
                let (version, word) = (self.version.saturating_sub(1).max(1), 77);
                self.order(version, word, true);
            }
            Kind::Again => {
                let known: Vec<u64> = self.ledger.confirmed.keys().copied().collect();
                for nth in 0..4.min(known.len() as u64) {
                    // The newest, and any.
                    let at =
                        [known.len() - 1, self.chance.below(known.len())][usize::from(nth > 0)];
                    let version = known[at];
                    let body = self.ledger.confirmed[&version].clone();
                    self.after(nth * 40, Coming::Again { version, body });
                }
            }
            Kind::LostAnswers => {
                self.losing_until = self.now + span;
                for nth in 0..4 {
                    self.order_at(self.now + nth * (50 + span / 8));
                }
            }
            Kind::Release | Kind::ScaleIn | Kind::Spot => {
                let ready = |it: &usize| self.workers[*it].state == State::Ready;
                let ready: Vec<usize> = (0..self.workers.len()).filter(ready).collect();
                let heir = kind == Kind::Release;
                let most = if heir { ready.len() } else { ready.len() / 2 };
                for (nth, worker) in ready.into_iter().take(most).enumerate() {
                    let wait = nth as Millis * (200 + span / 8);
                    let notice = (kind == Kind::Spot).then_some(2_000);
                    self.after(
                        wait,
                        Coming::Drain {
                            worker,
                            heir,
                            notice,
                        },
                    );
                }
            }
            Kind::RollTerm => {
                let left = self.in_use();
                self.roll(left, trouble);
            }
            Kind::Replace => self.replace_lost(trouble, hive),
            Kind::Resets => {
                let (core, all) = (self.machines.len(), self.foragers.len());
                let others = (0..core).chain((0..all).map(|it| FORAGERS + it));
                let ways: Vec<_> = others.flat_map(|it| [(hive, it), (it, hive)]).collect();
                self.ledger.unsettled = self.now;
                self.machines[hive].ill = self.now;
                self.reset(&ways);
            }
            Kind::SlowLinks => self.slow = Some((hive, self.now + span)),
            Kind::SecondWipe => {
                self.machines[hive].meets = Some(how);
                self.down(hive, true, true);
                self.after(wait, Coming::Start { hive });
                let soon = wait + CATCH_UP + self.chance.below(400) as Millis;
                let second = Coming::Second { trouble, not: hive };
                self.after(soon, second);
            }
            _ => unreachable!("armed above"),
        }
    }

    // ---- Cuts ----

    fn core_cut(&mut self, trouble: &Trouble, hive: usize) {
        let (how, span) = (trouble.how, trouble.span);
        let partner = self.partner(trouble, hive);
        let minority: Vec<usize> = [hive].into_iter().chain(partner).collect();
        let mut others: Vec<usize> = self.in_use();
        others.retain(|it| !minority.contains(it));
        let out: Vec<(Endpoint, Endpoint)> = (minority.iter())
            .flat_map(|it| others.iter().map(|other| (*it, *other)))
            .collect();
        let back: Vec<(Endpoint, Endpoint)> = out.iter().map(|(from, to)| (*to, *from)).collect();
        let mut ways = match (trouble.kind, how.power) {
            (Kind::OneWay, false) => out,
            (Kind::OneWay, true) => back,
            _ => [out, back].concat(),
        };
        if trouble.kind == Kind::SideCut {
            // Half of the foragers stay with it, the others with the rest.
            for forager in 0..self.foragers.len() {
                let mine = forager % 2 == trouble.target % 2;
                for it in self.in_use().into_iter().filter(|it| (*it == hive) != mine) {
                    ways.extend([(FORAGERS + forager, it), (it, FORAGERS + forager)]);
                }
            }
            self.side = Some((hive, self.now + span));
        }
        self.machines[hive].meets = Some(how);
        self.cut_all(ways, trouble, &minority);
        if how.meet {
            let how = How {
                drain: false,
                ..how
            };
            self.after(span / 2, Coming::Meet { hive, how });
        }
        match trouble.kind {
            Kind::SeedsCut => {
                let mut seeds = vec![hive];
                seeds.extend(others.iter().take(2));
                self.name_seeds(seeds, None);
                for nth in 0..2 {
                    let forager = (trouble.target + nth) % self.foragers.len();
                    let wait = 200 + nth as Millis * 700;
                    self.after(wait, Coming::RestartForager { forager });
                }
            }
            Kind::BothCut => {
                self.after(span / 3, Coming::Restart { hive });
                for hive in others {
                    let wait = self.chance.below(800) as Millis;
                    self.after(span * 2 / 3 + wait, Coming::Restart { hive });
                }
            }
            _ => {}
        }
    }

    /// The hive that is cut off together with this one, if so many may be lost now.
    fn partner(&self, trouble: &Trouble, hive: usize) -> Option<usize> {
        let core = self.in_use();
        let at = core.iter().position(|it| *it == hive)?;
        let partner = core[(at + 1) % core.len()];
        let lost = |it: &&usize| **it != hive && self.machines[**it].lost_until > self.now;
        let others_are_well = !core.iter().any(|it| lost(&it));
        let two_may_be_lost = self.story.hives / 2 >= 2 && others_are_well;
        (trouble.kind == Kind::PairCut && two_may_be_lost).then_some(partner)
    }

    fn cut_all(&mut self, ways: Vec<(Endpoint, Endpoint)>, trouble: &Trouble, cut_off: &[usize]) {
        let cut = trouble.how.cut;
        if cut == Cut::Reset {
            self.reset(&ways);
        }
        for way in &ways {
            let (count, refuse) = self.cuts.entry(*way).or_default();
            *count += 1;
            // All that meet at a way meet the same until the last of them is over.
            *refuse += u32::from(cut != Cut::Silent);
        }
        for hive in cut_off.iter().copied() {
            self.machines[hive].lost_until = Millis::MAX;
            self.machines[hive].stood = self.now;
            self.ledger.unsettled = self.now;
        }
        self.after(trouble.span, Coming::Join { ways });
    }

    /// Connections along these ways end at both ends, with what was on them.
    fn reset(&mut self, ways: &[(Endpoint, Endpoint)]) {
        for (from, to) in ways.iter().copied() {
            if from < FORAGERS && to < FORAGERS {
                self.machines[from].links.remove(&to);
                if self.machines[from].dials.contains_key(&to) {
                    self.count += 1;
                    let dial = self.count;
                    self.machines[from].dials.insert(to, dial);
                    self.after(100, Coming::Linked { from, to, dial });
                }
            } else if from >= FORAGERS {
                let forager = from - FORAGERS;
                if let Some((link, hive)) = self.foragers[forager].link
                    && hive == to
                {
                    self.after(1, Coming::LinkLostAtForager { forager, link });
                    self.after(1, Coming::LinkLostAtHive { hive, link });
                }
            }
        }
    }

    pub(super) fn join(&mut self, ways: &[(Endpoint, Endpoint)]) {
        let mut hives = BTreeSet::new();
        for way in ways {
            if let Some((count, refuse)) = self.cuts.get_mut(way) {
                *count -= 1;
                *refuse = (*refuse).min(*count);
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
            let apart = self.is_apart(hive);
            let machine = &mut self.machines[hive];
            if machine.lost_until == Millis::MAX && machine.hive.is_some() && core && !apart {
                machine.lost_until = self.now + CATCH_UP;
                machine.stood = self.now;
                self.returned(hive);
            }
        }
        if core {
            self.ledger.unsettled = self.now;
        }
        for coming in std::mem::take(&mut self.held) {
            self.after(1, coming);
        }
    }

    /// Whether that machine is still cut off from another of the core, either way.
    pub(super) fn is_apart(&self, hive: usize) -> bool {
        let core = self.in_use();
        core.iter()
            .any(|it| self.cut(hive, *it) || self.cut(*it, hive))
    }

    // ---- Machines ----

    /// It is back: asked later how it stands, and met.
    pub(super) fn returned(&mut self, hive: usize) {
        let machine = &mut self.machines[hive];
        let (life, since) = (machine.life, self.now);
        if let Some(how) = machine.meets.take() {
            let wait = 1 + self.chance.below(400) as Millis;
            self.after(wait, Coming::Meet { hive, how });
        }
        self.after(CATCH_UP, Coming::CaughtUp { hive, life, since });
    }

    /// A change is sent to it, as it is back or while it is cut off.
    pub(super) fn meet(&mut self, hive: usize, how: How) {
        if self.calm {
            return;
        }
        if how.meet {
            self.version += 1;
            let (version, word) = (self.version, self.chance.draw() % 1_000);
            let body = configuration(version, word, true);
            self.send_order(version, body, true, Some(hive), how.hard);
            if how.race {
                let body = configuration(version, word + 1_000, true);
                self.send_order(version, body, true, None, false);
            }
        }
        let mine = |it: &usize| {
            let worker = &self.workers[*it];
            worker.state == State::Ready && worker.place % 3 == hive % 3
        };
        let leave: Vec<usize> = (0..self.workers.len()).filter(mine).collect();
        for worker in leave.into_iter().filter(|_| how.drain) {
            let wait = self.chance.below(600) as Millis;
            let (heir, notice) = (true, None);
            self.after(
                wait,
                Coming::Drain {
                    worker,
                    heir,
                    notice,
                },
            );
        }
    }

    /// It goes on where it stood: its clock and what has waited, in either order.
    pub(super) fn thaw(&mut self, hive: usize, life: u64) {
        let apart = self.is_apart(hive);
        let machine = &mut self.machines[hive];
        if machine.life != life || machine.hive.is_none() {
            return;
        }
        let waits = machine.frozen.take().unwrap_or_default();
        (machine.ill, machine.stood) = (self.now, self.now);
        machine.lost_until = match apart {
            true => Millis::MAX,
            false => self.now + CATCH_UP,
        };
        self.ledger.unsettled = self.now;
        self.print(&format!(
            "hive {hive} goes on, {} events waited",
            waits.len()
        ));
        let tick = [0, self.chance.below(waits.len() + 1), waits.len()][self.chance.below(3)];
        for (nth, event) in waits.into_iter().enumerate() {
            if nth == tick {
                self.tell(hive, Event::Tick);
            }
            self.tell(hive, event);
        }
        self.tell(hive, Event::Tick);
        self.returned(hive);
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

    /// It is told to end: at once, or as it is called.
    fn terminate(&mut self, hive: usize, how: How) {
        let life = self.machines[hive].life;
        self.machines[hive].busy = how.busy;
        let wait = if how.busy { 2_000 } else { 0 };
        self.after(wait, Coming::Stop { hive, life });
    }

    /// The next one is told to end, once that may be.
    pub(super) fn roll(&mut self, mut left: Vec<usize>, trouble: Trouble) {
        let Some(hive) = left.first().copied().filter(|_| !self.calm) else {
            return;
        };
        if self.machines[hive].hive.is_none() || self.may_lose(hive, false) {
            left.remove(0);
        }
        if self.machines[hive].hive.is_some() && !left.contains(&hive) {
            self.machines[hive].lost_until = Millis::MAX;
            self.machines[hive].meets = Some(trouble.how);
            self.terminate(hive, trouble.how);
        }
        self.after(500, Coming::Roll { left, trouble });
    }

    /// Names other seeds to all but those that are to be told at their start.
    fn name_seeds(&mut self, seeds: Vec<usize>, fresh: Option<usize>) {
        let nodes: Vec<Ipv4Addr> = seeds.iter().copied().map(ip).collect();
        for it in self.in_use() {
            self.machines[it].seeds = nodes.clone();
            if Some(it) != fresh {
                self.tell(it, Event::Seeds(nodes.clone()));
            }
        }
        for forager in &mut self.foragers {
            forager.follow.set_seeds(&nodes);
        }
        self.seed_list = seeds;
    }

    /// A machine that was never in use.
    fn fresh(&mut self) -> Option<usize> {
        let fresh = (0..self.machines.len()).find(|it| self.machines[*it].life == 0)?;
        self.machines[fresh].in_use = true;
        self.machines[fresh].seeds = self.seed_list.iter().copied().map(ip).collect();
        self.start(fresh);
        Some(fresh)
    }

    fn turn_over(&mut self, trouble: Trouble, hive: usize) {
        // The new one comes, is told where others are, and then the old one goes.
        let Some(fresh) = self.fresh() else { return };
        let left = self.in_use().into_iter().filter(|it| *it != hive);
        self.name_seeds(left.take(3).collect(), Some(fresh));
        self.machines[hive].leaves = true;
        let life = self.machines[hive].life;
        self.after(4_000, Coming::Stop { hive, life });
        if self.machines.iter().any(|it| it.life == 0) {
            self.after(9_500, Coming::Trouble(trouble));
        }
    }

    /// A machine is lost for good, and another comes, before or after it.
    fn replace_lost(&mut self, trouble: Trouble, hive: usize) {
        let Some(fresh) = self.fresh() else { return };
        let left = self.in_use().into_iter().filter(|it| *it != hive);
        let left: Vec<usize> = left.take(3).collect();
        self.down(hive, true, true);
        self.machines[hive].gone = true;
        self.machines[fresh].meets = Some(trouble.how);
        self.name_seeds(left, Some(fresh));
        // It counts as lost until its successor has had its time.
        self.after(CATCH_UP, Coming::Removed { hive });
    }

    fn stop_core(&mut self, power: bool) {
        for hive in self.in_use() {
            let wait = 300 + self.chance.below(700) as Millis;
            self.down(hive, power, false);
            self.after(wait, Coming::Start { hive });
        }
    }

    // ---- At an answer, or after a change was sent ----

    pub(super) fn just_acknowledged(&mut self, hive: usize) {
        for trouble in std::mem::take(&mut self.armed) {
            let timed = matches!(
                trouble.kind,
                Kind::TimedKill
                    | Kind::TimedWipe
                    | Kind::TakenKill
                    | Kind::CoreTaken
                    | Kind::CloseKillTimed
                    | Kind::ClosePowerTimed
                    | Kind::CloseWipeTimed
            );
            match timed {
                true => self.armed.push(trouble),
                false => self.strike(trouble, hive),
            }
        }
    }

    pub(super) fn just_let_go(&mut self, hive: usize) {
        for trouble in std::mem::take(&mut self.armed) {
            match trouble.kind {
                Kind::TakenKill | Kind::CoreTaken => self.strike(trouble, hive),
                _ => self.armed.push(trouble),
            }
        }
    }

    pub(super) fn just_sent(&mut self, hive: usize) {
        for trouble in std::mem::take(&mut self.armed) {
            let timed = matches!(
                trouble.kind,
                Kind::TimedKill
                    | Kind::TimedWipe
                    | Kind::CloseKillTimed
                    | Kind::ClosePowerTimed
                    | Kind::CloseWipeTimed
            );
            if timed {
                let wait = 5 + self.chance.below(395) as Millis;
                self.after(wait, Coming::Strike { trouble, hive });
            } else {
                self.armed.push(trouble);
            }
        }
    }

    /// What was armed strikes; or waits for the next time, if more would be lost than may be.
    pub(super) fn strike(&mut self, trouble: Trouble, hive: usize) {
        if self.calm {
            return;
        }
        let wait = 300 + self.chance.below(2_700) as Millis;
        let wiped = matches!(trouble.kind, Kind::AfterAckWipe | Kind::TimedWipe);
        // Those that lose their disks may be drawn too.
        let drawn = wiped && trouble.how.power;
        let hive = if drawn { self.aimed(&trouble) } else { hive };
        let stands = match trouble.kind {
            Kind::AfterAckKill
            | Kind::AfterAckWipe
            | Kind::TimedKill
            | Kind::TimedWipe
            | Kind::TakenKill => {
                let may = self.may_lose(hive, wiped) && self.machines[hive].hive.is_some();
                if may {
                    self.machines[hive].meets = Some(trouble.how);
                    self.down(hive, true, wiped);
                    self.after(wait, Coming::Start { hive });
                }
                may
            }
            Kind::CoreTaken | Kind::ClosePower | Kind::ClosePowerTimed => {
                self.stop_core(true);
                true
            }
            Kind::CloseKill | Kind::CloseKillTimed => {
                self.stop_core(false);
                true
            }
            _ => self.wipe_some(trouble.target),
        };
        match stands {
            true => self.struck(&trouble),
            false => self.armed.push(trouble),
        }
    }

    /// As many disks as may be are lost, and all others lose power.
    fn wipe_some(&mut self, target: usize) -> bool {
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

    /// Another disk is lost, as soon as that may be.
    pub(super) fn second(&mut self, trouble: Trouble, not: usize) {
        let others: Vec<usize> = self.in_use().into_iter().filter(|it| *it != not).collect();
        let hive = others[self.chance.below(others.len())];
        if self.calm {
            return;
        }
        if !self.may_lose(hive, true) {
            self.after(200, Coming::Second { trouble, not });
            return;
        }
        for it in self.in_use() {
            if it == hive || trouble.how.power {
                let wait = 300 + self.chance.below(700) as Millis;
                self.down(it, true, it == hive);
                self.after(wait, Coming::Start { hive: it });
            }
        }
    }

    /// Eight orders at once: two numbers with two contents each and one of these again, two with one.
    fn eight(&mut self) {
        let first = self.version + 1;
        self.version += 4;
        let word = self.chance.draw() % 1_000;
        let drawn = [
            (first, word),
            (first, word + 1_000),
            (first, word),
            (first + 1, word),
            (first + 2, word),
            (first + 2, word + 1_000),
            (first + 2, word),
            (first + 3, word),
        ];
        for (version, word) in drawn {
            self.order(version, word, true);
        }
    }
}
