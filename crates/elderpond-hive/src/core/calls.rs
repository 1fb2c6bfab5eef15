//! Calls of workers and operators.

use bytes::Bytes;
use elderpond_consensus::Refusal;
use elderpond_registry::{Life, Number, State};
use serde::Serialize;

use super::{Action, Contact, Hive, REACHED, Ticket, Waiting, Wanted};
use crate::journal::What;
use crate::{Answer, Command, ErrorKind, Millis};

/// How long a departure may take to the disks; the worker waits for a second.
const MARK_PATIENCE: Millis = 700;
/// The same of the operator's calls: after a second of silence it calls another hive.
const CALL_PATIENCE: Millis = 700;
/// How long what it asks for is pursued, answered or not.
pub(super) const ORDER_PATIENCE: Millis = 900;
/// Calls that wait at most.
const CALLS: usize = 2048;
/// Departures remembered as durable.
const DURABLE: usize = 4096;

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Taken<'a> {
    heartbeat_address: &'a str,
}

impl Hive {
    pub(super) fn call(&mut self, ticket: Ticket, command: Command, out: &mut Vec<Action>) {
        let answer = match command {
            Command::Status => Some(self.status()),
            Command::Workers => Some(self.workers()),
            Command::Journal => {
                let entries: Vec<_> = self.journal.entries().collect();
                Some(Answer::json(&entries))
            }
            _ if self.stopping => Some(Answer::error(ErrorKind::Stopping, "this hive ends")),
            Command::Beat(life) => self.beat(ticket, &life, out),
            Command::Leave { id } => self.depart(ticket, &id, State::Gone, out),
            Command::Replace { version, body } => self.replace(ticket, version.0, body, out),
            Command::Read => self.read(ticket, out),
        };
        if let Some(answer) = answer {
            out.push(Action::Answer { ticket, answer });
        }
    }

    // ---- Workers ----

    fn beat(&mut self, ticket: Ticket, said: &Life, out: &mut Vec<Action>) -> Option<Answer> {
        if said.state == State::Ready && self.contact.leftovers(self.now) {
            return Some(unavailable()); // it may have been said long ago, by a worker that is no more
        }
        let number = Number::of(&said.id);
        let known = self.registry.life(self.now, number).is_some();
        if self.registry.learn(self.now, said) {
            self.fresh.insert(number);
            if !known {
                self.journal
                    .note(self.now, What::WorkerJoined(said.id.clone()));
                self.displace(said, number);
            }
        } else {
            self.heard.insert(number, self.now);
        }
        if said.state > State::Ready {
            return self.depart(ticket, &said.id, said.state, out);
        }
        if self.cut_off() {
            // It is learnt; but hives that are together have to hear of it too.
            return Some(unavailable());
        }
        Some(match self.nearer(&said.zone) {
            Some(address) => Answer::json(&Taken {
                heartbeat_address: &address,
            }),
            None => Answer::done(),
        })
    }

    /// A new life at an address: the one before it there is over.
    fn displace(&mut self, said: &Life, number: Number) {
        let Some(before) = self.places.insert(said.address, number) else {
            return;
        };
        let before = self.registry.life(self.now, before).filter(|life| {
            life.address == said.address
                && life.id != said.id
                && Millis::from(life.silent_ms) >= self.place.reuse
        });
        if let Some(life) = before
            && self.registry.raise(self.now, &life.id, State::Gone)
        {
            self.fresh.insert(Number::of(&life.id));
        }
    }

    /// Where a worker of another zone is to beat, if a hive of its own is well.
    fn nearer(&self, zone: &str) -> Option<String> {
        if zone == self.place.zone || zone.is_empty() {
            return None;
        }
        let well = self.membership.members().filter(|member| {
            member.status == elderpond_membership::Status::Alive
                && member.about.zone == zone
                && (member.answered).is_some_and(|at| self.now.saturating_sub(at) <= REACHED)
        });
        let chosen = well.min_by_key(|member| member.node)?;
        Some(format!("{}:{}", chosen.node, chosen.about.port))
    }

    /// A worker goes: nobody here sends to it any more, and a majority of disks is to know.
    fn depart(
        &mut self,
        ticket: Ticket,
        id: &str,
        state: State,
        out: &mut Vec<Action>,
    ) -> Option<Answer> {
        let number = Number::of(id);
        if self.registry.raise(self.now, id, state) {
            self.fresh.insert(number);
        }
        self.urgent = true;
        if !self.majority.0 {
            return Some(unavailable());
        }
        if self.durable.get(&number).is_some_and(|held| *held >= state) {
            return Some(Answer::done());
        }
        let value = match state {
            State::Gone => b"g".to_vec(),
            State::Ready | State::Draining => b"d".to_vec(),
        };
        let (key, what) = (id.to_owned(), Wanted::Mark(number, state));
        self.wait(ticket, MARK_PATIENCE, what, out).then(|| {
            self.tell_replica(elderpond_consensus::Event::Mark { ticket, key, value }, out)
        });
        None
    }

    pub(super) fn mark_learned(&mut self, key: &str, value: &[u8]) {
        let state = if value == b"g" {
            State::Gone
        } else {
            State::Draining
        };
        self.registry.raise(self.now, key, state);
    }

    // ---- The operator ----

    fn replace(
        &mut self,
        ticket: Ticket,
        version: u64,
        body: Bytes,
        out: &mut Vec<Action>,
    ) -> Option<Answer> {
        if self.cut_off() || self.contact.leftovers(self.now) {
            return Some(unavailable());
        }
        self.wait(ticket, CALL_PATIENCE, Wanted::Version(version), out)
            .then(|| {
                let event = elderpond_consensus::Event::Propose {
                    ticket,
                    version,
                    body,
                };
                self.tell_replica(event, out);
            });
        None
    }

    fn read(&mut self, ticket: Ticket, out: &mut Vec<Action>) -> Option<Answer> {
        if self.cut_off() || self.contact.leftovers(self.now) {
            return Some(unavailable());
        }
        self.wait(ticket, CALL_PATIENCE, Wanted::Read, out)
            .then(|| self.tell_replica(elderpond_consensus::Event::Read { ticket }, out));
        None
    }

    // ---- Waiting ----

    /// The call that waits by this name, unless its time is over: what a hive that stood still finds out late
    /// is no answer.
    fn waited(&mut self, ticket: Ticket, out: &mut Vec<Action>) -> Option<Waiting> {
        let call = self.calls.remove(&ticket)?;
        if self.now >= call.until {
            let answer = unavailable();
            out.push(Action::Answer { ticket, answer });
            return None;
        }
        Some(call)
    }

    /// Whether the call may wait; else it is answered.
    fn wait(
        &mut self,
        ticket: Ticket,
        patience: Millis,
        what: Wanted,
        out: &mut Vec<Action>,
    ) -> bool {
        if self.calls.len() >= CALLS {
            let answer = Answer::error(ErrorKind::Overloaded, "too many calls wait");
            out.push(Action::Answer { ticket, answer });
            return false;
        }
        let until = self.now + patience;
        self.calls.insert(ticket, Waiting { until, what });
        true
    }

    pub(super) fn expire(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let over = self.calls.extract_if(|_, call| now >= call.until);
        out.extend(over.map(|(ticket, _)| Action::Answer {
            ticket,
            answer: unavailable(),
        }));
    }

    pub(super) fn acknowledged(&mut self, ticket: Ticket, out: &mut Vec<Action>) {
        let Some(call) = self.waited(ticket, out) else {
            return;
        };
        let answer = match call.what {
            Wanted::Mark(number, state) => {
                self.remember(number, state);
                let (now, membership) = (self.now, &self.membership);
                let reached = |node| membership.reached_within(now, node, REACHED);
                match self.replica.has_majority(&reached) {
                    true => Answer::done(),
                    false => unavailable(),
                }
            }
            Wanted::Version(_) | Wanted::Read => Answer::done(),
        };
        out.push(Action::Answer { ticket, answer });
    }

    fn remember(&mut self, number: Number, state: State) {
        let held = self.durable.insert(number, state);
        match held {
            Some(held) => {
                self.durable.insert(number, held.max(state));
            }
            None => self.durable_order.push_back(number),
        }
        if self.durable_order.len() > DURABLE
            && let Some(oldest) = self.durable_order.pop_front()
        {
            self.durable.remove(&oldest);
        }
    }

    pub(super) fn refused(&mut self, ticket: Ticket, why: Refusal, out: &mut Vec<Action>) {
        let Some(call) = self.waited(ticket, out) else {
            return;
        };
        let answer = match why {
            Refusal::Conflict => {
                let what = "version-number: this version is held with another content";
                Answer::error(ErrorKind::Conflict, what)
            }
            Refusal::Forgotten => {
                let what = "version-number: too far below the newest to know what it was given";
                Answer::error(ErrorKind::Forgotten, what)
            }
            Refusal::Unavailable => unavailable(),
        };
        if let Wanted::Version(version) = call.what {
            self.journal
                .note(self.now, What::Refused(version, answer.status()));
        }
        out.push(Action::Answer { ticket, answer });
    }

    pub(super) fn read_done(
        &mut self,
        ticket: Ticket,
        held: Option<(u64, Bytes)>,
        out: &mut Vec<Action>,
    ) {
        if Contact::owns(ticket) {
            self.contact.confirmed(ticket);
            if self.vouches() && !self.vouched {
                self.pulse(out); // whoever joined waits for it
            }
            return;
        }
        if self.waited(ticket, out).is_some() {
            let answer = match held {
                Some((_, body)) => Answer::body(body),
                None => Answer::error(ErrorKind::NotFound, "no configuration was ever accepted"),
            };
            out.push(Action::Answer { ticket, answer });
        }
    }
}

fn unavailable() -> Answer {
    Answer::error(
        ErrorKind::Unavailable,
        "no majority of disks answered in time",
    )
}
