//! Operators: they send configurations, again where no answer comes, and read back.

use super::*;

impl World {
    pub(super) fn order(&mut self, version: u64, word: u64, valid: bool) {
        let body = configuration(version, word, valid);
        self.send_order(version, body, valid, None, false);
    }

    /// To the hive named, or to any; `hard`: to that one until it answers.
    pub(super) fn send_order(
        &mut self,
        version: u64,
        body: Bytes,
        valid: bool,
        hive: Option<usize>,
        hard: bool,
    ) {
        if valid {
            let sent = self.ledger.sent.entry(version).or_default();
            sent.push(body.clone());
        }
        if self.ledger.confirmed.get(&version) == Some(&body) {
            self.summary.again += 1;
        }
        let drawn = self.pick();
        let losing = match self.now < self.losing_until {
            true => 1 + self.chance.below(2),
            false => 0,
        };
        self.orders.push(Order {
            version,
            body,
            valid,
            since: self.now,
            hive: hive.unwrap_or(drawn),
            next: self.now,
            ticket: None,
            ended: false,
            hard,
            losing,
        });
    }

    /// Any hive in use.
    pub(super) fn pick(&mut self) -> usize {
        let hives = self.in_use();
        hives[self.chance.below(hives.len())]
    }

    /// The next one in the operator's list.
    pub(super) fn another(&self, hive: usize) -> usize {
        let hives = self.in_use();
        let later = hives.iter().find(|it| **it > hive);
        *later.unwrap_or(&hives[0])
    }

    pub(super) fn drive_order(&mut self, order: usize) {
        let now = self.now;
        if self.orders[order].ended || now < self.orders[order].next {
            return;
        }
        let another = self.another(self.orders[order].hive);
        let it = &mut self.orders[order];
        it.next = now + 1_100;
        if it.ticket.is_some() && !it.hard {
            it.hive = another;
        }
        let (hive, body, valid) = (it.hive, it.body.clone(), it.valid);
        match Command::replace(body) {
            Ok(_) if !valid => {
                let fault = "an invalid configuration is taken".into();
                self.ledger.say(now, Rule::Unsent, fault);
            }
            Ok(command) => {
                let ticket = self.call(hive, Asked::Order(order), command);
                self.orders[order].ticket = Some(ticket);
                self.just_sent(hive);
            }
            Err(_) => self.orders[order].ended = true,
        }
    }

    pub(super) fn ask_back(&mut self) {
        let hive = self.pick();
        let least = self.ledger.least();
        self.call(hive, Asked::Read(least), Command::Read);
    }

    /// Asks a machine that is back how it stands, where nothing has troubled the core since.
    pub(super) fn ask_caught_up(&mut self, hive: usize, life: u64, since: Millis) {
        let machine = &self.machines[hive];
        let runs = machine.life == life && machine.hive.is_some() && machine.frozen.is_none();
        let calm = self
            .ledger
            .harmed
            .max(self.ledger.unsettled)
            .max(machine.ill)
            <= since + 150;
        if !runs || !calm || machine.leaves || since < 6_000 {
            return;
        }
        let least = self.ledger.known_for(self.now, 500);
        let votes = self.in_use().len() == self.story.hives;
        self.call(hive, Asked::Status(least, votes), Command::Status);
    }

    pub(super) fn call(&mut self, hive: usize, asked: Asked, command: Command) -> Ticket {
        self.count += 1;
        let (ticket, wait) = (self.count, self.latency());
        let (at, life) = (self.now, self.machines[hive].life);
        let caller = Caller {
            asked,
            hive,
            life,
            at,
        };
        self.callers.insert(ticket, caller);
        if let (Asked::Worker(worker), Some((side, until))) = (asked, self.side)
            && at < until
            && self.workers[worker].place % 3 == side % 3
            && hive != side
        {
            self.callers.remove(&ticket); // it does not get there
            return ticket;
        }
        let machine = &self.machines[hive];
        let closed = machine.hive.is_none() && !machine.dark;
        let coming = match self.refused(hive, hive) || closed {
            true => Coming::NoCall { ticket },
            false => Coming::Call {
                hive,
                ticket,
                command,
            },
        };
        self.after(wait, coming);
        ticket
    }

    /// The connection was refused, or hangs: the caller goes on.
    pub(super) fn no_call(&mut self, ticket: Ticket) {
        let Some(caller) = self.callers.remove(&ticket) else {
            return;
        };
        let (now, another) = (self.now, self.another(caller.hive));
        match caller.asked {
            Asked::Worker(worker) => {
                let it = &mut self.workers[worker];
                if it.waits.is_some_and(|(waits, _)| waits == ticket) {
                    (it.waits, it.hive, it.beat_at) = (None, another, now + 200);
                }
            }
            Asked::Order(order) => self.orders[order].next = now + 200,
            Asked::Read(_) | Asked::Status(..) => {}
        }
    }

    pub(super) fn answered(&mut self, hive: usize, ticket: Ticket, answer: &Answer) {
        let (now, status) = (self.now, answer.status());
        let Some(caller) = self.callers.remove(&ticket) else {
            let fault = format!("hive {hive} answers {status} to what was not asked, or again");
            self.ledger.say(now, Rule::Unasked, fault);
            return;
        };
        match caller.asked {
            Asked::Worker(worker) => self.worker_answered(hive, ticket, worker, answer),
            Asked::Order(order) => self.order_answered(hive, order, status),
            Asked::Read(least) => match status {
                200 => {
                    self.summary.reads += 1;
                    self.reader = hive;
                    self.ledger.read(now, least, Some(&answer.body));
                }
                404 => self.ledger.read(now, least, None),
                _ => {}
            },
            Asked::Status(least, votes) => {
                let told: Standing = serde_json::from_slice(&answer.body).expect("a status");
                self.summary.caught_up += 1;
                if told.in_force < least || (votes && !told.votes) {
                    let fault = format!(
                        "hive {hive} is back and has {} of {least}, votes: {}",
                        told.in_force, told.votes
                    );
                    self.ledger.say(now, Rule::CatchUp, fault);
                }
            }
        }
    }

    fn worker_answered(&mut self, hive: usize, ticket: Ticket, worker: usize, answer: &Answer) {
        let (now, status, another) = (self.now, answer.status(), self.another(hive));
        let touch = now >= self.machines[hive].ill + CONTACT && self.ledger.settled(now);
        let it = &mut self.workers[worker];
        if it.waits.is_none_or(|(waits, _)| waits != ticket) {
            return;
        }
        it.waits = None;
        if status != 200 {
            (it.hive, it.beat_at) = (another, now + 200);
        } else if it.state == State::Draining && it.departed.is_none() {
            it.departed = Some((now, touch));
            self.summary.departed += 1;
            self.just_let_go(hive);
        } else if let Some(hive) = heartbeat_address(&answer.body) {
            it.hive = hive;
        }
    }

    fn order_answered(&mut self, hive: usize, order: usize, status: u16) {
        let now = self.now;
        let it = &mut self.orders[order];
        if it.losing > 0 {
            it.losing -= 1; // the operator waits, and sends it again
            return;
        }
        let (version, body) = (it.version, it.body.clone());
        if std::mem::take(&mut it.hard) {
            it.since = now; // it clung to a machine that may have been in trouble
        }
        match status {
            200 => {
                it.ended = true;
                self.summary.acknowledged += 1;
                self.leader = hive;
                self.print(&format!("hive {hive} acknowledges {version}"));
                self.ledger.acknowledge(now, version, &body);
                self.just_acknowledged(hive);
            }
            400.. if status < 500 => {
                it.ended = true;
                self.summary.refused += 1;
                self.print(&format!("hive {hive} refuses {version}"));
                self.ledger.refuse(now, version, &body);
            }
            _ => it.next = now + 200,
        }
    }
}

/// What a hive tells of itself.
#[derive(serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Standing {
    votes: bool,
    in_force: u64,
}
