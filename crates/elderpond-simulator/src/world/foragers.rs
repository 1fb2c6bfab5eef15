//! Foragers, as far as control concerns them.

use super::*;

impl World {
    pub(super) fn start_forager(&mut self, forager: usize) {
        let seeds: Vec<Ipv4Addr> = self.seeds().into_iter().map(ip).collect();
        let it = &mut self.foragers[forager];
        if it.up {
            return;
        }
        it.life += 1;
        (it.up, it.table, it.version, it.link) = (true, Default::default(), 0, None);
        it.frozen = None;
        it.follow = Follow::new(ZONES[forager % 3], &seeds);
        it.ill = self.now;
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
            let coming = Coming::FromForager {
                forager,
                link,
                hive,
                message,
            };
            self.stream(FORAGERS + forager, hive, link, coming);
        }
        let it = &mut self.foragers[forager];
        if it.follow.due() > now && it.follow.node().is_some() {
            return;
        }
        let Step::Dial(node) = it.follow.step(now, &mut it.chance) else {
            return;
        };
        if it.link.is_some() {
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
        it.follow.lost(self.now, &mut it.chance);
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
            it.follow.lost(self.now, &mut it.chance);
            return;
        }
        it.follow.joined(self.now, ip(hive));
        it.link = Some((link, hive));
        it.report_at = self.now + 1_000;
        let version = it.version;
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
        self.tell(hive, Event::ForagerJoined { link, hello });
    }

    /// Something reaches a forager, which may stand still.
    pub(super) fn reach(&mut self, forager: usize, heard: Heard) {
        let it = &mut self.foragers[forager];
        if let Some(waits) = &mut it.frozen {
            waits.push_back(heard);
            return;
        }
        match heard {
            Heard::Message(message) => self.hear(forager, message),
            Heard::Lost(link) if it.link.is_some_and(|it| it.0 == link) => self.leave(forager),
            Heard::Lost(_) => {}
        }
    }

    pub(super) fn hear(&mut self, forager: usize, message: FromHive) {
        let now = self.now;
        let it = &mut self.foragers[forager];
        it.follow.heard(now);
        let mutant = self.story.mutant;
        match message {
            FromHive::Version { version, .. }
                if mutant == Some(Mutant::DeafToVersions) && version.is_multiple_of(2) => {}
            FromHive::Version { version, body } => {
                if version > it.version {
                    it.version = version;
                    let from = it.link.map_or(0, |it| it.1);
                    self.print(&format!("forager {forager} has {version} from hive {from}"));
                    self.ledger.seen(now, version, &body, "a forager");
                }
            }
            FromHive::Whole { settled, table } => it.table.replace(settled, &table),
            FromHive::Change(change) if mutant == Some(Mutant::DeafToDepartures) => {
                it.table.apply(&Change {
                    departed: Vec::new(),
                    ..change
                });
            }
            FromHive::Change(change) => it.table.apply(&change),
            FromHive::Pulse(pulse) => it.follow.pulse(now, pulse.majority, &pulse.hives),
            FromHive::Packed(_) => unreachable!("unpacked before"),
        }
    }
}
