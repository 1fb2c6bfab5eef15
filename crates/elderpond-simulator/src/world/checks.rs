//! What is looked at all the while, and at the end of the day.

use super::*;

impl World {
    /// The machines that run and reach so many of the core both ways, themselves among them.
    fn reaching(&self, least: usize) -> Vec<usize> {
        let runs =
            |it: &usize| self.machines[*it].hive.is_some() && self.machines[*it].frozen.is_none();
        let running: Vec<usize> = self.in_use().into_iter().filter(runs).collect();
        let reaches = |hive: &usize| {
            let reached = running
                .iter()
                .filter(|it| *it == hive || !(self.cut(*hive, **it) || self.cut(**it, *hive)));
            reached.count() >= least
        };
        running.iter().copied().filter(reaches).collect()
    }

    /// The machines that run and reach more than half of the core both ways.
    pub(super) fn together(&self) -> Vec<usize> {
        self.reaching(self.in_use().len() / 2 + 1)
    }

    pub(super) fn look(&mut self) {
        let now = self.now;
        let together = self.together();
        let hives = self.in_use();
        // While machines are exchanged the voters may be fewer than those in use.
        for hive in self.reaching(self.story.hives / 2 + 1) {
            self.machines[hive].together = now;
        }
        if together.len() <= hives.len() / 2 {
            (self.ledger.unsettled, self.ledger.scattered) = (now, now);
        }
        // A minority that is lost or cannot write keeps nobody from an acknowledgement.
        let sick = |it: &&usize| {
            let machine = &self.machines[**it];
            machine.lost_until > now || machine.condition != DiskCondition::Well
        };
        let sick = hives.iter().filter(sick).count();
        let unable = |it: &&usize| {
            let machine = &self.machines[**it];
            machine.lost_until > now || !machine.condition.works()
        };
        if hives.iter().filter(unable).count() > self.story.hives / 2 {
            self.ledger.overwhelmed = now;
        }
        // Nobody is repaired by a disk that does not write: whoever is behind has its time after that.
        if hives.iter().any(|it| !self.machines[*it].condition.works()) {
            for it in &hives {
                let until = &mut self.machines[*it].lost_until;
                if *until > now && *until < Millis::MAX {
                    *until = now + CATCH_UP;
                }
            }
        }
        let losing = now < self.losing_until || !self.cuts.is_empty();
        if sick > self.story.hives / 2 || losing || now < self.ledger.unsettled + 100 {
            self.ledger.harmed = now;
        }
        if let Some((hive, until)) = self.slow
            && now < until
        {
            // A slow machine is lost, and no core with one is settled.
            (self.machines[hive].ill, self.ledger.unsettled) = (now, now);
            let lost = &mut self.machines[hive].lost_until;
            *lost = (until + CATCH_UP).max(*lost);
        }
        for hive in 0..self.machines.len() {
            let cut = self.cuts.keys().any(|way| way.0 == hive || way.1 == hive);
            let apart = self.cut(hive, hive);
            let machine = &mut self.machines[hive];
            let stands = machine.hive.is_none() || machine.frozen.is_some();
            if stands || machine.condition != DiskCondition::Well || cut {
                machine.ill = now;
            }
            if stands || apart {
                machine.stood = now;
            }
        }
        for forager in 0..self.foragers.len() {
            self.look_at_forager(forager, &together);
        }
        self.look_at_orders();
        self.look_at_workers();
        self.look_at_callers();
    }

    fn look_at_forager(&mut self, forager: usize, together: &[usize]) {
        let (now, me) = (self.now, FORAGERS + forager);
        let cut = |hive: &usize| self.cut(me, *hive) || self.cut(*hive, me);
        let apart = together.iter().any(cut);
        let within = together.iter().any(|hive| !cut(hive));
        let it = &mut self.foragers[forager];
        if apart || !it.up || it.frozen.is_some() {
            it.ill = now;
        }
        it.reaches = within.then(|| it.reaches.unwrap_or(now));
        if !it.up || it.frozen.is_some() {
            return;
        }
        if it.follow.is_current(now) && now > it.vouched + CURRENT {
            let fault = format!(
                "forager {forager} takes itself for current, {} ms after a hive vouched for it",
                now - it.vouched
            );
            self.ledger.say(now, Rule::Stale, fault);
        }
        let it = &self.foragers[forager];
        let due = self.ledger.due(now, it.ill);
        if it.version < due {
            let fault = format!(
                "forager {forager} has version {} where {due} is due",
                it.version
            );
            self.ledger.say(now, Rule::Config, fault);
        }
        if now < it.ill + CONTACT || !self.ledger.settled(now) {
            return;
        }
        // Whoever acknowledged it: a majority holds it, and has had the time to say so.
        let long = now >= self.ledger.unsettled + CONTACT + DRAIN;
        let over = |at: Millis, touch: bool| now > at + DRAIN && (touch || long);
        let gone = |worker: &&Worker| {
            let over = worker.departed.is_some_and(|(at, touch)| over(at, touch));
            over && it.table.line(worker.number()).is_some()
        };
        if let Some(worker) = self.workers.iter().find(gone) {
            let fault = format!(
                "forager {forager} still lists {}, which was let go",
                worker.id
            );
            self.ledger.say(now, Rule::Drain, fault);
        }
    }

    /// Since when an acknowledgement is owed in time.
    pub(super) fn calm_since(&self) -> Millis {
        self.ledger.harmed.max(self.ledger.unsettled) + CONTACT
    }

    fn look_at_orders(&mut self) {
        let (now, calm) = (self.now, self.calm_since());
        let late = |it: &&Order| !it.ended && !it.hard && now > it.since.max(calm) + ACKNOWLEDGE;
        if let Some(order) = self.orders.iter().find(late) {
            let fault = format!("version {} was not acknowledged in calm", order.version);
            self.ledger.say(now, Rule::Acks, fault);
        }
    }

    fn look_at_workers(&mut self) {
        let (now, calm) = (self.now, self.calm_since());
        let late = |it: &&Worker| {
            let since = it.leaves.filter(|_| it.departed.is_none());
            // One that had only a short notice has waited until it was gone.
            let until = it.gone_at.map_or(now, |at| at.min(now));
            since.is_some_and(|since| match it.gone_at {
                Some(_) => now >= until && it.state == State::Gone && since >= calm,
                None => now > since.max(calm) + ACKNOWLEDGE,
            })
        };
        if let Some(worker) = self.workers.iter().find(late) {
            let fault = format!(
                "{} leaves, and that was not acknowledged in calm",
                worker.id
            );
            self.ledger.say(now, Rule::LeaveAcks, fault);
        }
    }

    /// Whoever calls a hive that runs is answered in time to go on.
    fn look_at_callers(&mut self) {
        let now = self.now;
        let recent = (self.callers.iter().rev()).take_while(|(_, it)| now < it.at + ANSWER + 200);
        let late = recent.map(|(_, it)| it).find(|it| {
            let machine = &self.machines[it.hive];
            let runs = machine.hive.is_some() && machine.life == it.life;
            runs && machine.stood < it.at && now > it.at + ANSWER
        });
        if let Some(late) = late {
            let fault = format!("hive {} did not answer for {} ms", late.hive, now - late.at);
            self.ledger.say(now, Rule::Unanswered, fault);
        }
    }

    /// After a calm end all agree, go on, and list just those workers that are there.
    pub(super) fn close(&mut self) {
        if self.ledger.fault.is_some() {
            return;
        }
        self.version += 1;
        let version = self.version;
        self.order(version, 0, true);
        for hive in self.in_use() {
            let least = self.ledger.least();
            self.call(hive, Asked::Read(least), Command::Read);
        }
        let reads = self.summary.reads;
        let end = self.now + 3_000;
        while self.now < end && self.ledger.fault.is_none() {
            self.now += 1;
            let now = self.now;
            while let Some(entry) = self.coming.first_entry()
                && entry.key().0 <= now
            {
                let coming = entry.remove();
                self.come(coming);
            }
            self.now -= 1;
            self.step();
        }
        let now = self.now;
        if self.summary.reads < reads + self.in_use().len() as u64 {
            let fault = "not every hive could read in calm".into();
            self.ledger.say(now, Rule::Ending, fault);
        }
        if self.ledger.acknowledged.0 != version {
            let fault = "the last version was not acknowledged".into();
            self.ledger.say(now, Rule::Ending, fault);
        }
        for forager in 0..self.foragers.len() {
            let it = &self.foragers[forager];
            let mut listed: Vec<_> = it.table.lines().map(|(number, _)| *number).collect();
            let mut there: Vec<_> = (self.workers.iter())
                .filter(|it| it.state == State::Ready)
                .map(Worker::number)
                .collect();
            listed.sort_unstable();
            there.sort_unstable();
            let have = it.version;
            if listed != there {
                let fault = format!(
                    "forager {forager} lists {} of {}",
                    listed.len(),
                    there.len()
                );
                self.ledger.say(now, Rule::Ending, fault);
            }
            if have != version {
                self.ledger.say(
                    now,
                    Rule::Ending,
                    format!("forager {forager} ends with version {have} of {version}"),
                );
            }
        }
    }
}
