//! What is looked at all the while, and at the end of the day.

use super::*;

impl World {
    /// The machines that run and reach more than half of the core both ways.
    pub(super) fn together(&self) -> Vec<usize> {
        let hives = self.in_use();
        let runs =
            |it: &usize| self.machines[*it].hive.is_some() && self.machines[*it].frozen.is_none();
        let running: Vec<usize> = hives.iter().copied().filter(runs).collect();
        let reaches = |hive: &usize| {
            let reached = running
                .iter()
                .filter(|it| *it == hive || !(self.cut(*hive, **it) || self.cut(**it, *hive)));
            reached.count() > hives.len() / 2
        };
        running.iter().copied().filter(reaches).collect()
    }

    pub(super) fn look(&mut self) {
        let now = self.now;
        let together = self.together();
        if together.len() <= self.in_use().len() / 2 {
            (self.ledger.unsettled, self.ledger.scattered) = (now, now);
        }
        let ill = |it: &Machine| it.condition != DiskCondition::Well || it.frozen.is_some();
        let ill = self.machines.iter().any(ill);
        if ill || !self.cuts.is_empty() || now < self.ledger.unsettled + 100 {
            self.ledger.harmed = now;
        }
        for hive in 0..self.machines.len() {
            let cut = self.cuts.keys().any(|way| way.0 == hive || way.1 == hive);
            let machine = &self.machines[hive];
            let stands = machine.hive.is_none() || machine.frozen.is_some();
            if stands || machine.condition != DiskCondition::Well || cut {
                self.machines[hive].ill = now;
            }
        }
        let gone: Vec<_> = (self.workers.iter())
            .filter(|it| {
                it.departed
                    .is_some_and(|(at, touch)| touch && now > at + DRAIN)
            })
            .map(|it| (it.id.clone(), it.number()))
            .collect();
        for forager in 0..self.foragers.len() {
            let me = FORAGERS + forager;
            let apart = together
                .iter()
                .any(|it| self.cut(me, *it) || self.cut(*it, me));
            if apart || !self.foragers[forager].up || self.foragers[forager].frozen.is_some() {
                self.foragers[forager].ill = now;
            }
            let it = &self.foragers[forager];
            let due = self.ledger.due(now, it.ill);
            if it.version < due {
                let fault = format!(
                    "forager {forager} has version {} where {due} is due",
                    it.version
                );
                self.ledger.say(now, fault);
            }
            if now >= it.ill + CONTACT && self.ledger.settled(now) {
                let listed = gone
                    .iter()
                    .find(|(_, number)| it.table.line(*number).is_some());
                if let Some((id, _)) = listed {
                    let fault = format!("forager {forager} still lists {id}, which was let go");
                    self.ledger.say(now, fault);
                }
            }
        }
        let calm_since = self.ledger.harmed.max(self.ledger.unsettled) + CONTACT;
        let late = self
            .orders
            .iter()
            .find(|it| !it.ended && now > it.since + ACKNOWLEDGE && it.since >= calm_since);
        if let Some(order) = late {
            let fault = format!("version {} was not acknowledged in calm", order.version);
            self.ledger.say(now, fault);
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
            let least = self.ledger.acknowledged.0;
            self.call(hive, Caller::Read(least), Command::Read);
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
            self.ledger
                .say(now, "not every hive could read in calm".into());
        }
        if self.ledger.acknowledged.0 != version {
            self.ledger
                .say(now, "the last version was not acknowledged".into());
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
                self.ledger.say(now, fault);
            }
            if have != version {
                self.ledger.say(
                    now,
                    format!("forager {forager} ends with version {have} of {version}"),
                );
            }
        }
    }
}
