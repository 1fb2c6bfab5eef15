//! Operators: they send configurations, again where no answer comes, and read back.

use super::*;

impl World {
    pub(super) fn order(&mut self, version: u64, word: u64, valid: bool) {
        let body = configuration(version, word, valid);
        if valid {
            self.ledger
                .sent
                .entry(version)
                .or_default()
                .push(body.clone());
        }
        let hives = self.in_use();
        let hive = hives[self.chance.below(hives.len())];
        let (since, next) = (self.now, self.now);
        let (ticket, ended) = (None, false);
        self.orders.push(Order {
            version,
            body,
            valid,
            since,
            hive,
            next,
            ticket,
            ended,
        });
    }

    pub(super) fn drive_order(&mut self, order: usize) {
        let hives = self.in_use();
        let now = self.now;
        if self.orders[order].ended || now < self.orders[order].next {
            return;
        }
        let it = &mut self.orders[order];
        it.next = now + 1_500;
        if it.ticket.is_some() {
            it.hive = hives[self.chance.below(hives.len())];
        }
        let (hive, body, valid) = (it.hive, it.body.clone(), it.valid);
        match Command::replace(body) {
            Ok(_) if !valid => self
                .ledger
                .say(now, "an invalid configuration is taken".into()),
            Ok(command) => {
                let ticket = self.call(hive, Caller::Order(order), command);
                self.orders[order].ticket = Some(ticket);
            }
            Err(_) => self.orders[order].ended = true,
        }
    }

    pub(super) fn ask_back(&mut self) {
        let hives = self.in_use();
        let hive = hives[self.chance.below(hives.len())];
        let least = self.ledger.acknowledged.0;
        self.call(hive, Caller::Read(least), Command::Read);
    }

    pub(super) fn call(&mut self, hive: usize, caller: Caller, command: Command) -> Ticket {
        self.count += 1;
        let (ticket, wait) = (self.count, self.latency());
        self.callers.insert(ticket, caller);
        self.after(
            wait,
            Coming::Call {
                hive,
                ticket,
                command,
            },
        );
        ticket
    }

    pub(super) fn answered(&mut self, hive: usize, ticket: Ticket, answer: &Answer) {
        let (now, status) = (self.now, answer.status());
        match self.callers.remove(&ticket) {
            Some(Caller::Worker(worker)) => {
                let touch = now >= self.machines[hive].ill + CONTACT && self.ledger.settled(now);
                let hives = self.in_use();
                let pick = hives[self.chance.below(hives.len())];
                let it = &mut self.workers[worker];
                if it.waits.is_none_or(|(waits, _)| waits != ticket) {
                    return;
                }
                it.waits = None;
                if status != 200 {
                    (it.hive, it.beat_at) = (pick, now + 200);
                } else if it.state == State::Draining && it.departed.is_none() {
                    it.departed = Some((now, touch));
                    self.summary.departed += 1;
                } else if let Some(hive) = heartbeat_address(&answer.body) {
                    it.hive = hive;
                }
            }
            Some(Caller::Order(order)) => {
                let it = &mut self.orders[order];
                if it.ended {
                    return;
                }
                match status {
                    200 => {
                        it.ended = true;
                        let (version, body) = (it.version, it.body.clone());
                        self.summary.acknowledged += 1;
                        self.print(&format!("hive {hive} acknowledges {version}"));
                        self.ledger.taken(now, version, &body);
                        self.just_acknowledged(hive);
                    }
                    409 => it.ended = true,
                    _ => it.next = now + 200,
                }
            }
            Some(Caller::Read(least)) => match status {
                200 => {
                    self.summary.reads += 1;
                    self.ledger.read(now, least, Some(&answer.body));
                }
                404 => self.ledger.read(now, least, None),
                _ => {}
            },
            None => {}
        }
    }
}
