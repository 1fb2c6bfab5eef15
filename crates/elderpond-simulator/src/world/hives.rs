//! Hives: started, stopped, told what comes, their actions carried out.

use super::*;

impl World {
    pub(super) fn start(&mut self, hive: usize) {
        let apart = self.is_apart(hive);
        let machine = &mut self.machines[hive];
        if machine.hive.is_some() || !machine.in_use || machine.gone {
            return;
        }
        machine.life += 1;
        machine.writing = None;
        machine.frozen = None;
        let place = Place {
            me: ip(hive),
            name: format!("hive-{hive}"),
            zone: ZONES[hive % 3].into(),
            control_port: 8544,
            seeds: machine.seeds.clone(),
            first_start: std::mem::take(&mut machine.first),
            losses: self.story.hives / 2,
            beat: BEAT,
            reuse: 2_000,
            grace: GRACE,
            apply: APPLY,
            drain: DRAIN,
            incarnation: machine.clock + self.now,
            random: self.story.seed ^ (hive as u64) << 8 ^ machine.life << 16,
        };
        let mut out = Vec::new();
        let stored = machine.disk.stored();
        let mutant = match self.story.mutant {
            Some(Mutant::Consensus(mutant)) => Some(mutant),
            _ => None,
        };
        machine.hive = Some(Hive::mutated(self.now, place, stored, mutant, &mut out));
        in_one_order(&mut out);
        (machine.ill, machine.stood, machine.dark) = (self.now, self.now, false);
        machine.lost_until = match apart {
            true => Millis::MAX, // until the cut is over
            false => self.now + if self.now < 1_000 { 0 } else { CATCH_UP },
        };
        self.ledger.unsettled = self.now;
        if self.story.mutant == Some(Mutant::DeafAtStart) && self.now > 6_000 {
            self.deaf = Some((hive, self.now + 6_000));
        }
        self.print(&format!("hive {hive} starts"));
        self.carry_out(hive, out);
        self.returned(hive);
    }

    /// The process ends; without power, what was not synced is lost too.
    pub(super) fn down(&mut self, hive: usize, power: bool, wiped: bool) {
        let machine = &mut self.machines[hive];
        if machine.hive.is_none() && !wiped {
            return;
        }
        let how = [("killed", "without power"), ("wiped", "wiped")][usize::from(wiped)];
        let how = if power { how.1 } else { how.0 };
        machine.hive = None;
        (machine.busy, machine.dark) = (false, power);
        machine.links.clear();
        machine.dials.clear();
        // What was being written may be there or not, however the process ends.
        if let Some((_, record)) = machine.writing.take()
            && self.chance.below(2) == 0
        {
            machine.disk.put(*record);
        }
        if wiped {
            self.summary.wiped += 1;
            machine.disk = Disk::default();
        }
        machine.ill = self.now;
        machine.lost_until = Millis::MAX;
        self.ledger.unsettled = self.now;
        self.print(&format!("hive {hive} is {how}"));
        if power {
            return;
        }
        for forager in 0..self.foragers.len() {
            if let Some((link, _)) = self.foragers[forager].link.filter(|it| it.1 == hive) {
                self.after(2, Coming::LinkLostAtForager { forager, link });
            }
        }
    }

    pub(super) fn tell(&mut self, hive: usize, event: Event) {
        let machine = &mut self.machines[hive];
        if let Some(waits) = machine.frozen.as_mut().filter(|_| machine.hive.is_some()) {
            let room = match event {
                Event::Tick => false,
                Event::Packet { .. } => waits.len() < PACKETS,
                _ => true,
            };
            if room {
                waits.push_back(event);
            }
            return;
        }
        let deaf = self
            .deaf
            .is_some_and(|(deaf, until)| deaf == hive && self.now < until);
        if deaf && matches!(event, Event::FromHive { .. }) {
            return;
        }
        if let Some(it) = &mut machine.hive {
            let mut out = Vec::new();
            it.handle(self.now, event, &mut out);
            in_one_order(&mut out);
            self.carry_out(hive, out);
        }
    }

    /// The forager whose connection this is.
    fn forager_on(&self, link: LinkId) -> Option<usize> {
        let follows = |it: &Forager| it.link.is_some_and(|followed| followed.0 == link);
        self.foragers.iter().position(follows)
    }

    fn send_to_forager(&mut self, hive: usize, link: LinkId, frame: Bytes) {
        let Some(forager) = self.forager_on(link) else {
            return;
        };
        let coming = Coming::ToForager {
            forager,
            link,
            frame,
            sent: self.now,
        };
        self.stream(hive, FORAGERS + forager, link, coming);
    }

    /// Links hold whatever is written at once.
    fn send_version(&mut self, hive: usize, link: LinkId, version: u64, frames: &[Bytes]) {
        for frame in frames {
            self.send_to_forager(hive, link, frame.clone());
        }
        self.after(
            1,
            Coming::VersionWritten {
                hive,
                link,
                version,
            },
        );
    }

    pub(super) fn carry_out(&mut self, hive: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Answer { ticket, answer } => self.answers(hive, ticket, answer),
                Action::Packet { to, datagram } => {
                    if at(to) < self.machines.len() && self.chance.below(500) > 0 {
                        let (from, to, wait) = (hive, at(to), self.latency());
                        self.after(wait, Coming::Packet { from, to, datagram });
                    }
                }
                Action::Dial(node) => {
                    self.count += 1;
                    let (to, dial) = (at(node), self.count);
                    self.machines[hive].links.remove(&to);
                    self.machines[hive].dials.insert(to, dial);
                    self.after(
                        2,
                        Coming::Linked {
                            from: hive,
                            to,
                            dial,
                        },
                    );
                }
                Action::Hang(node) => {
                    self.machines[hive].links.remove(&at(node));
                    self.machines[hive].dials.remove(&at(node));
                }
                Action::ToHive { to, frame } => {
                    let (from, to) = (hive, at(to));
                    let link = self.machines[hive].links.get(&to).copied();
                    if let Some((dial, life)) = link {
                        if self.machines[to].life != life || self.machines[to].hive.is_none() {
                            // The other end says so, or somebody does once it is there again.
                            self.machines[hive].links.remove(&to);
                            self.after(100, Coming::Linked { from, to, dial });
                        } else {
                            self.stream(
                                from,
                                to,
                                dial,
                                Coming::Frame {
                                    from,
                                    to,
                                    dial,
                                    frame,
                                },
                            );
                        }
                    }
                }
                Action::ToForager { link, frame } => self.send_to_forager(hive, link, frame),
                Action::VersionToForager {
                    link,
                    version,
                    frames,
                } => self.send_version(hive, link, version, &frames),
                Action::CloseLink { link } => {
                    let forager = self.forager_on(link);
                    if let Some(forager) =
                        forager.filter(|forager| !self.cut(hive, FORAGERS + forager))
                    {
                        self.stream(
                            hive,
                            FORAGERS + forager,
                            link,
                            Coming::LinkLostAtForager { forager, link },
                        );
                    }
                }
                Action::Write { write, record } => {
                    let machine = &mut self.machines[hive];
                    machine.writing = Some((write, record));
                    // Most syncs are short, some are not.
                    let long = if self.chance.below(16) == 0 { 30 } else { 4 };
                    let usual = 1 + self.chance.below(long) as Millis;
                    let wait = match machine.condition {
                        DiskCondition::Well | DiskCondition::Full => usual,
                        DiskCondition::Slow(times) => times / 2,
                        DiskCondition::Stalled => continue,
                    };
                    let life = machine.life;
                    self.after(wait, Coming::Written { hive, life, write });
                }
                Action::Probe { worker, .. } => {
                    let (ok, took_ms, load) = (true, 20.0, None);
                    self.tell(
                        hive,
                        Event::Probed {
                            worker,
                            ok,
                            took_ms,
                            load,
                        },
                    );
                }
                Action::Log(text) => self.print(&format!("hive {hive}: {text}")),
                Action::Stopped => {
                    self.after(1, Coming::Gone { hive });
                }
            }
        }
    }

    pub(super) fn linked(&mut self, from: usize, to: usize, dial: u64) {
        if self.machines[from].hive.is_none() || self.machines[from].dials.get(&to) != Some(&dial) {
            return;
        }
        if self.machines[to].hive.is_none() {
            self.after(100, Coming::Linked { from, to, dial });
            return;
        }
        let life = self.machines[to].life;
        self.machines[from].links.insert(to, (dial, life));
        self.tell(from, Event::HiveLinked(ip(to)));
    }

    pub(super) fn written(&mut self, hive: usize, life: u64, write: u64) {
        let machine = &mut self.machines[hive];
        let stalled = machine.condition == DiskCondition::Stalled;
        if machine.frozen.is_some() && machine.life == life {
            // The thread that writes stands still as well.
            let coming = Coming::Written { hive, life, write };
            self.after(50, coming);
            return;
        }
        if machine.life != life || machine.hive.is_none() || stalled {
            return;
        }
        let Some((_, record)) = machine.writing.take_if(|it| it.0 == write) else {
            return;
        };
        let ok = machine.condition != DiskCondition::Full;
        if ok && self.story.mutant == Some(Mutant::DurableTooSoon) {
            self.after(200, Coming::Late { hive, life, record });
        } else if ok {
            machine.disk.put(*record);
        }
        self.tell(hive, Event::Written { write, ok });
    }

    /// An answer goes on its way; some mutants spoil it.
    fn answers(&mut self, hive: usize, ticket: Ticket, mut answer: Answer) {
        let (now, mut wait) = (self.now, self.latency());
        let asked = self.callers.get(&ticket).map(|caller| caller.asked);
        let ok = answer.status() == 200;
        let no = |kind| Answer::error(kind, "a fault put in");
        match (self.story.mutant, asked) {
            (Some(Mutant::RefusesAgain), Some(Asked::Order(order))) if ok => {
                let it = &self.orders[order];
                if self.ledger.confirmed.get(&it.version) == Some(&it.body) {
                    answer = no(ErrorKind::Conflict);
                }
            }
            (Some(Mutant::TakesRefused), Some(Asked::Order(_))) if answer.status() == 409 => {
                answer = Answer::done();
            }
            (Some(Mutant::NeverAcknowledges), Some(Asked::Order(_))) if ok && now > 20_000 => {
                answer = no(ErrorKind::Unavailable);
            }
            (Some(Mutant::NeverLetsGo), Some(Asked::Worker(worker)))
                if self.workers[worker].state == State::Draining =>
            {
                answer = no(ErrorKind::Unavailable);
            }
            (Some(Mutant::AnswersLate), _) if ticket.is_multiple_of(40) => wait += 1_500,
            (Some(Mutant::AnswersTwice), _) if ticket.is_multiple_of(40) => {
                let answer = answer.clone();
                let again = Coming::Answer {
                    hive,
                    ticket,
                    answer,
                };
                self.after(wait + 1, again);
            }
            _ => {}
        }
        self.after(
            wait,
            Coming::Answer {
                hive,
                ticket,
                answer,
            },
        );
    }
}

/// What goes to several comes out of a table in any order: in one order, a seed plays the same day again.
fn in_one_order(actions: &mut [Action]) {
    let key = |action: &Action| match action {
        Action::ToHive { to, .. } => (1, u64::from(to.to_bits())),
        Action::ToForager { link, .. } | Action::VersionToForager { link, .. } => (2, *link),
        Action::CloseLink { link } => (3, *link),
        Action::Dial(to) => (4, u64::from(to.to_bits())),
        Action::Answer { ticket, .. } => (5, *ticket),
        _ => (0, 0),
    };
    let alike = |one: &Action, other: &Action| key(one).0 == key(other).0;
    for run in actions.chunk_by_mut(alike) {
        run.sort_by_key(key); // stable: what goes to one of them stays in its order
    }
}
