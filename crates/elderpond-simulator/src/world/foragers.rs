//! Foragers, as far as control concerns them.

use elderpond_control_wire::{
    Assembly, COMMON, Heartbeat, Pulse, VERSION, VersionForm, VersionPart, Vouch,
};
use elderpond_flora::Difference;

use super::*;

/// Bytes of a message of which a part has come.
const SHORT_MESSAGE: usize = 400;

/// Every other forager speaks the version of the wire before the newest.
fn wire(forager: usize) -> u8 {
    match forager % 2 {
        0 => VERSION,
        _ => COMMON,
    }
}

/// A configuration laid out, if it is valid.
fn content(body: &Bytes) -> Option<Routes> {
    let read = elderpond_flora::read(body).ok()?;
    Some(Routes::new(&read))
}

impl World {
    pub(super) fn start_forager(&mut self, forager: usize) {
        let seeds: Vec<Ipv4Addr> = self.seed_list.clone().into_iter().map(ip).collect();
        let it = &mut self.foragers[forager];
        if it.up {
            return;
        }
        it.life += 1;
        (it.up, it.table, it.version, it.link) = (true, Default::default(), 0, None);
        (it.frozen, it.told, it.begun, it.offered) = (None, false, false, None);
        (it.assembly, it.content) = (Assembly::default(), None);
        it.follow = ControlNodeChoice::new(ZONES[forager % 3], &seeds);
        it.ill = self.now;
    }

    fn tell_hive(&mut self, forager: usize, link: LinkId, hive: usize, message: FromForager) {
        let coming = Coming::FromForager {
            forager,
            link,
            hive,
            message,
        };
        self.stream(FORAGERS + forager, hive, link, coming);
    }

    pub(super) fn drive_forager(&mut self, forager: usize) {
        let now = self.now;
        let it = &mut self.foragers[forager];
        if !it.up || it.frozen.is_some() {
            return;
        }
        if let Some((link, hive)) = it.link
            && now >= it.report_at
        {
            it.report_at = now + 1_000;
            let (covers_ms, lines, misplaced) = (1_000, Vec::new(), Vec::new());
            let message = FromForager::Report {
                covers_ms,
                lines,
                misplaced,
            };
            self.tell_hive(forager, link, hive, message);
        }
        let it = &mut self.foragers[forager];
        if it.follow.due_at() > now && it.follow.node().is_some() {
            return;
        }
        if it.link.is_some() {
            // The next one is chosen once this one is given up, or it would be taken for the one that failed.
            if it.follow.is_stale(now) {
                self.leave(forager);
            }
            return;
        }
        let Step::Dial(node) = it.follow.step(now, &mut it.chance) else {
            return;
        };
        if self.refused(FORAGERS + forager, at(node)) {
            self.leave(forager);
            return;
        }
        self.count += 1;
        let (link, life, hive) = (self.count, self.foragers[forager].life, at(node));
        if !self.cut(FORAGERS + forager, hive) && !self.cut(hive, FORAGERS + forager) {
            self.after(
                4,
                Coming::Joined {
                    forager,
                    life,
                    link,
                    hive,
                },
            );
        }
    }

    /// The link ends, from this side or the other.
    pub(super) fn leave(&mut self, forager: usize) {
        let it = &mut self.foragers[forager];
        it.follow.disconnected(self.now, &mut it.chance);
        if let Some((link, hive)) = it.link.take() {
            self.after(2, Coming::LinkLostAtHive { hive, link });
        }
    }

    pub(super) fn joined(&mut self, forager: usize, life: u64, link: LinkId, hive: usize) {
        let it = &mut self.foragers[forager];
        if !it.up || it.life != life || it.link.is_some() || it.follow.node() != Some(ip(hive)) {
            return;
        }
        if self.machines[hive].hive.is_none() {
            // Without power there is no answer, and the dial runs out.
            it.follow.disconnected(self.now, &mut it.chance);
            return;
        }
        it.follow.connected(self.now, ip(hive));
        it.link = Some((link, hive));
        it.assembly = Assembly::default();
        it.report_at = self.now + 1_000;
        let version = match self.story.mutant {
            Some(Mutant::TakesOlder) => 0,
            _ => it.version,
        };
        let hello = Hello {
            node: Ipv4Addr::new(10, 0, 1, forager as u8),
            zone: ZONES[forager % 3].into(),
            life,
            version,
            departed: it.table.departed(256),
        };
        self.print(&format!(
            "forager {forager} with {version} follows hive {hive}"
        ));
        self.tell(
            hive,
            Event::ForagerJoined {
                link,
                hello,
                wire: wire(forager),
            },
        );
    }

    /// Something reaches a forager, which may stand still.
    pub(super) fn reach(&mut self, forager: usize, heard: Heard) {
        let it = &mut self.foragers[forager];
        if let Some(waits) = &mut it.frozen {
            waits.push_back(heard);
            return;
        }
        match heard {
            // What stood in the socket of a connection that was given up is read by nobody.
            Heard::Message(link, ..) | Heard::Lost(link)
                if it.link.is_none_or(|it| it.0 != link) => {}
            Heard::Message(_, message, sent) => self.hear(forager, message, sent),
            Heard::Lost(_) => self.leave(forager),
        }
    }

    pub(super) fn hear(&mut self, forager: usize, message: FromHive, sent: Millis) {
        let now = self.now;
        let it = &mut self.foragers[forager];
        if it.link.is_some() && it.follow.is_stale(now) {
            return self.leave(forager); // it waited, and is old
        }
        it.follow.heard(now);
        let Some(message) = self.in_common_form(forager, message) else {
            return;
        };
        let it = &mut self.foragers[forager];
        let mutant = self.story.mutant;
        match message {
            FromHive::Version { version, .. }
                if mutant == Some(Mutant::DeafToVersions) && version.is_multiple_of(2) => {}
            FromHive::Version { version, body } => {
                let older = version < it.version && mutant == Some(Mutant::TakesOlder);
                let known = it.offered.as_ref().map_or(it.version, |it| it.0);
                if version > known || older {
                    it.offered = Some((version, body));
                }
                if let Some((link, hive)) = it.link {
                    self.tell_hive(forager, link, hive, FromForager::Taken { version });
                }
            }
            FromHive::Whole { settled, table } => {
                it.table.replace(settled, &table);
                it.told = true;
            }
            FromHive::Change(change) if mutant == Some(Mutant::DeafToDepartures) => {
                it.table.apply(&Change {
                    departed: Vec::new(),
                    ..change
                });
            }
            FromHive::Change(change) => it.table.apply(&change),
            FromHive::Pulse(mut pulse) => {
                pulse.majority |= mutant == Some(Mutant::SaysMajority);
                it.follow.heartbeat(now, pulse.majority, &pulse.hives);
                if pulse.majority {
                    it.vouched = it.vouched.max(sent);
                    let from = it.link.map_or(0, |it| it.1);
                    let apart = sent.saturating_sub(self.machines[from].together);
                    if apart > PULSE {
                        let fault = format!(
                            "hive {from} said that it reaches a majority, {apart} ms after it last did"
                        );
                        self.ledger.say(now, Rule::Stale, fault);
                    }
                }
            }
            FromHive::Packed(_)
            | FromHive::VersionPart(_)
            | FromHive::Heartbeat(_)
            | FromHive::Refused { .. } => {
                unreachable!("in the common form by now")
            }
        }
        // the read has ended inside the next message
        let it = &mut self.foragers[forager];
        it.follow.message_part(now, SHORT_MESSAGE);
        let it = &mut self.foragers[forager];
        if (it.version > 0 || it.follow.may_start(now))
            && let Some((version, body)) = it.offered.take()
        {
            self.take_version(forager, version, &body);
        }
        let it = &mut self.foragers[forager];
        if it.version > 0 && it.told && !std::mem::replace(&mut it.begun, true) {
            self.first_table(forager);
        }
    }

    /// A message as one of version 5 of the wire, if it means one.
    fn in_common_form(&mut self, forager: usize, message: FromHive) -> Option<FromHive> {
        let now = self.now;
        match message {
            FromHive::VersionPart(part) => self.whole_version(forager, part),
            FromHive::Heartbeat(Heartbeat {
                vouch: Vouch::Behind,
                control_nodes,
                ..
            }) => {
                (self.foragers[forager].follow).catching_up(now, &control_nodes);
                None
            }
            FromHive::Heartbeat(heartbeat) => Some(FromHive::Pulse(Pulse {
                majority: heartbeat.vouch == Vouch::Current,
                foragers: heartbeat.proxies,
                hives: heartbeat.control_nodes,
            })),
            FromHive::Version { version, body } => {
                self.foragers[forager].content = content(&body);
                Some(FromHive::Version { version, body })
            }
            message => Some(message),
        }
    }

    /// The version that a part completes, with the text that the operator sent.
    fn whole_version(&mut self, forager: usize, part: VersionPart) -> Option<FromHive> {
        let now = self.now;
        let it = &mut self.foragers[forager];
        it.follow.message_part(now, part.length as usize);
        let assembled = it.assembly.take_in(part).expect("links are in order")?;
        let (version, bytes) = (assembled.version, Bytes::from(assembled.bytes));
        if assembled.form == VersionForm::Whole {
            it.content = content(&bytes);
            return Some(FromHive::Version {
                version,
                body: bytes,
            });
        }
        let difference = Difference::decode(&bytes).expect("a difference");
        let applied = (it.content.as_mut()).is_some_and(|held| held.apply(&difference).is_ok());
        if !applied {
            let (link, hive) = it.link?;
            self.tell_hive(forager, link, hive, FromForager::AskWhole);
            return None;
        }
        let digest = it.content.as_ref()?.version_digest();
        let same = |body: &&Bytes| content(body).is_some_and(|it| it.version_digest() == digest);
        let sent = self.ledger.sent.get(&version);
        let Some(body) = sent.and_then(|sent| sent.iter().find(same)).cloned() else {
            let fault =
                format!("forager {forager} comes to a version {version} that nobody sent so");
            self.ledger.say(now, Rule::Unsent, fault);
            return None;
        };
        Some(FromHive::Version { version, body })
    }

    fn take_version(&mut self, forager: usize, version: u64, body: &Bytes) {
        let now = self.now;
        let it = &mut self.foragers[forager];
        let before = std::mem::replace(&mut it.version, version);
        let from = it.link.map_or(0, |it| it.1);
        let within = it.reaches.is_some_and(|since| now >= since + REACH);
        self.print(&format!("forager {forager} has {version} from hive {from}"));
        self.ledger.seen(now, version, body, "a forager");
        if version < before {
            let fault = format!("forager {forager} falls from {before} to {version}");
            self.ledger.say(now, Rule::Falls, fault);
        }
        let known = self.ledger.known_for(now, APPLY);
        if before == 0 && version < known && within {
            let fault =
                format!("forager {forager} starts with {version} of hive {from}, {known} is known");
            self.ledger.say(now, Rule::OldStart, fault);
        }
    }

    /// The table that a life begins with holds nobody who was let go.
    fn first_table(&mut self, forager: usize) {
        let now = self.now;
        let it = &self.foragers[forager];
        let within = it.reaches.is_some_and(|since| now >= since + REACH);
        let gone = |worker: &&Worker| {
            let over = worker.departed.is_some_and(|(at, _)| now > at + DRAIN);
            over && it.table.line(worker.number()).is_some()
        };
        if within && let Some(worker) = self.workers.iter().find(gone) {
            let fault = format!(
                "forager {forager} starts with {}, which was let go",
                worker.id
            );
            self.ledger.say(now, Rule::OldStart, fault);
        }
    }

    /// A forager of the hive's zone starts meanwhile, and one when it is over.
    pub(super) fn start_meanwhile(&mut self, hive: usize, span: Millis) {
        let zone = |it: &usize| it % 3 == hive % 3;
        let found = (0..self.foragers.len()).find(zone);
        for share in [span / 2, span] {
            let wait = share + self.chance.below(900) as Millis;
            if let Some(forager) = found {
                self.after(wait, Coming::RestartForager { forager });
            }
        }
    }

    pub(super) fn restart_forager(&mut self, forager: usize) {
        let wait = 300 + self.chance.below(700) as Millis;
        let it = &mut self.foragers[forager];
        (it.up, it.ill) = (false, self.now);
        if let Some((link, hive)) = it.link.take() {
            self.after(2, Coming::LinkLostAtHive { hive, link });
        }
        self.after(wait, Coming::StartForager { forager });
    }
}
