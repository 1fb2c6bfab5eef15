//! Foragers: their table, its changes, their reports.

use bytes::Bytes;
use elderpond_control_wire::{FromForager, FromHive, Hello, Line, Pulse, encode, pack};
use elderpond_registry::{Change, Entry, Number, State};

use super::{Action, COUNTED, FOLLOWS, Forager, Hive, LEASE, LinkId, VersionPace};
use crate::Millis;
use crate::journal::What;

/// Departed lives in a whole table, at most: those that left last.
const DEPARTED: usize = 2048;
/// For how long a whole table may be told again while nothing has changed: what a line says of a worker's
/// cold time ages with it.
const WHOLE: Millis = 500;

impl Hive {
    pub(super) fn joined(&mut self, link: LinkId, hello: Hello, out: &mut Vec<Action>) {
        if self.stopping {
            out.push(Action::CloseLink { link });
            return;
        }
        for (number, state) in &hello.departed {
            if *state > State::Ready {
                self.registry.raise_number(self.now, *number, *state);
            }
        }
        self.fold();
        self.journal.note(self.now, What::ForagerJoined(hello.node));
        let zone = self.zone(&hello.zone);
        let (node, heard_at) = (hello.node, self.now);
        let versions = VersionPace::new(hello.version);
        let forager = Forager {
            node,
            zone,
            heard_at,
            versions,
        };
        self.foragers.insert(link, forager);
        self.tell_versions(out);
        let frame = self.whole();
        out.push(Action::ToForager { link, frame });
        let frame = encode(&self.word(self.vouches()));
        out.push(Action::ToForager { link, frame });
        if !self.vouches() {
            self.vouched = false;
            self.renew(out); // until it ends, who begins with what was told here holds it back
        }
        self.pulse_at = self.now;
    }

    pub(super) fn lost(&mut self, link: LinkId) {
        if let Some(forager) = self.foragers.remove(&link) {
            self.journal.note(self.now, What::ForagerLost(forager.node));
            self.pulse_at = self.now;
        }
    }

    /// Sends the version in force to each forager that is due to be told a newer one.
    pub(super) fn tell_versions(&mut self, out: &mut Vec<Action>) {
        let (now, catches_up) = (self.now, !self.vouches());
        let Some(in_force) = &mut self.in_force else {
            return;
        };
        let version = in_force.version;
        for (link, forager) in &mut self.foragers {
            // What this hive learns before it vouches may be old: it goes out before the word that vouches.
            let due = forager.versions.is_due(now, version);
            let at_once = catches_up && forager.versions.lacks(version);
            if !(due || at_once) {
                continue;
            }
            let frame = in_force.frame.get_or_insert_with(|| {
                let body = in_force.body.clone();
                pack(&FromHive::Version { version, body })
            });
            forager.versions.sent(now, version);
            out.push(Action::ToForager {
                link: *link,
                frame: frame.clone(),
            });
        }
    }

    pub(super) fn hear_forager(
        &mut self,
        link: LinkId,
        message: FromForager,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(forager) = self.foragers.get_mut(&link) else {
            return;
        };
        forager.heard_at = now;
        if let FromForager::Taken { version } = message {
            forager.versions.taken(now, version);
            return self.tell_versions(out);
        }
        if self.contact.leftovers(now) {
            return; // it may have been met long ago
        }
        let zone = forager.zone;
        match message {
            FromForager::Report {
                covers_ms,
                lines,
                misplaced,
            } => {
                self.met_covers = self.met_covers.max(covers_ms);
                for line in &lines {
                    let sum = self.met.entry(line.worker).or_insert_with(|| Line {
                        tries: 0,
                        failed: 0,
                        shed: 0,
                        took_ms: 0,
                        ..line.clone()
                    });
                    add(sum, line);
                }
                self.report(&lines, covers_ms, zone);
                for number in misplaced {
                    self.misplaced(number);
                }
            }
            FromForager::Leaving | FromForager::Taken { .. } => {}
        }
    }

    /// A forager found another at a life's address: it is over, unless it was heard of lately.
    fn misplaced(&mut self, number: Number) {
        let Some(life) = self.registry.life(self.now, number) else {
            return;
        };
        if Millis::from(life.silent_ms) > self.place.beat * 6 / 5
            && self.registry.raise_number(self.now, number, State::Gone)
        {
            self.fresh.insert(number);
        }
    }

    // ---- Changes ----

    /// Takes in what has changed of the lives.
    pub(super) fn fold(&mut self) {
        for number in self.registry.changed() {
            self.whole = None;
            let Some(life) = self.registry.life(self.now, number) else {
                continue;
            };
            if life.state > State::Ready {
                self.journal
                    .note(self.now, What::Departed(life.id.clone(), life.state));
                self.urgent = true;
                if self.places.get(&life.address) == Some(&number) {
                    self.places.remove(&life.address);
                }
            } else if !self.registry.listed(number) {
                if self.trusts_silence() {
                    self.gone_silent(number);
                } else {
                    self.doubted.insert(number);
                }
                continue;
            }
            if life.state == State::Ready {
                self.places.insert(life.address, number);
            }
            self.doubted.remove(&number);
            self.pending.insert(number);
            self.list(number, &life);
        }
    }

    pub(super) fn gone_silent(&mut self, number: Number) {
        if let Some(life) = self.registry.life(self.now, number)
            && life.state == State::Ready
        {
            self.whole = None;
            self.journal.note(self.now, What::Silent(life.id.clone()));
            self.pending.insert(number);
            self.list(number, &life);
        }
    }

    /// Tells foragers and hives what has changed since.
    pub(super) fn tell(&mut self, out: &mut Vec<Action>) {
        self.urgent = false;
        self.tell_lives(out);
        if self.pending.is_empty() {
            return;
        }
        self.whole = None;
        let mut change = Change::default();
        for number in std::mem::take(&mut self.pending) {
            if let Some(weight) = self.line(number, &mut change) {
                self.weights.insert(number, weight);
            }
        }
        self.tell_foragers(&FromHive::Change(change), out);
    }

    pub(super) fn tell_foragers(&self, message: &FromHive, out: &mut Vec<Action>) {
        if self.foragers.is_empty() {
            return;
        }
        let frame = encode(message);
        self.send_foragers(&frame, out);
    }

    pub(super) fn send_foragers(&self, frame: &bytes::Bytes, out: &mut Vec<Action>) {
        out.extend(self.foragers.keys().map(|link| Action::ToForager {
            link: *link,
            frame: frame.clone(),
        }));
    }

    /// Adds what is to be told of a life; the weight, if that is told.
    fn line(&self, number: Number, change: &mut Change) -> Option<u8> {
        let life = self.registry.life(self.now, number)?;
        if life.state > State::Ready {
            change.departed.push((number, life.state));
        } else if self.registry.listed(number) || self.doubted.contains(&number) {
            let weight = self.weight(number);
            change.lines.push(Entry::of(&life, weight));
            return Some(weight);
        } else {
            change.silent.push(number);
        }
        None
    }

    /// The frame of the whole table: made once for all that join while nothing changes.
    fn whole(&mut self) -> Bytes {
        if let Some((at, frame)) = &self.whole
            && self.now < at + WHOLE
        {
            return frame.clone();
        }
        let mut departed: Vec<(u32, Number)> = Vec::new();
        let mut table = Change::default();
        for (number, life) in self.registry.all(self.now) {
            if life.state > State::Ready {
                departed.push((life.silent_ms, number));
            } else if self.registry.listed(number) || self.doubted.contains(&number) {
                let weight = self.weight(number);
                table.lines.push(Entry::of(&life, weight));
            }
        }
        departed.sort_unstable();
        departed.truncate(DEPARTED);
        for (_, number) in departed {
            self.line(number, &mut table);
        }
        let settled = self.tells_all();
        let frame = pack(&FromHive::Whole { settled, table });
        self.whole = Some((self.now, frame.clone()));
        frame
    }

    pub(super) fn tell_whole(&mut self, out: &mut Vec<Action>) {
        self.whole = None;
        if !self.foragers.is_empty() {
            let frame = self.whole();
            self.send_foragers(&frame, out);
        }
    }

    // ---- Pulses ----

    /// How many foragers there are in the whole system.
    pub(super) fn foragers_of_all(&self) -> usize {
        let told = self.others.values().filter_map(|other| other.foragers);
        let fresh = told.filter(|(_, at)| self.now.saturating_sub(*at) <= COUNTED);
        self.foragers.len() + fresh.map(|(count, _)| usize::from(count)).sum::<usize>()
    }

    fn word(&self, majority: bool) -> FromHive {
        FromHive::Pulse(Pulse {
            majority,
            foragers: u16::try_from(self.foragers_of_all()).unwrap_or(u16::MAX),
            hives: (self.membership.alive())
                .map(|node| {
                    let zone = self.membership.about(node).map(|about| about.zone.clone());
                    (node, zone.unwrap_or_default())
                })
                .collect(),
        })
    }

    pub(super) fn pulse(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let silent = |forager: &Forager| now.saturating_sub(forager.heard_at) > FOLLOWS;
        let links: Vec<LinkId> = (self.foragers.iter())
            .filter(|(_, forager)| silent(forager))
            .map(|(link, _)| *link)
            .collect();
        for link in links {
            self.lost(link);
            out.push(Action::CloseLink { link });
        }
        if !self.foragers.is_empty() {
            self.renew(out);
        }
        self.vouched = self.vouches();
        self.tell_word(out);
        self.tell_count(out);
    }

    /// Vouches to each forager that was told all that was in force as long ago as the lease is long.
    fn tell_word(&self, out: &mut Vec<Action>) {
        if self.foragers.is_empty() {
            return;
        }
        let word = encode(&self.word(self.vouched));
        let mut unvouched = None;
        for (link, forager) in &self.foragers {
            let frame = match forager.versions.behind(self.now) <= LEASE {
                true => &word,
                false => unvouched.get_or_insert_with(|| encode(&self.word(false))),
            };
            out.push(Action::ToForager {
                link: *link,
                frame: frame.clone(),
            });
        }
    }
}

/// Adds a line's readings to a sum.
fn add(sum: &mut Line, line: &Line) {
    let good = |line: &Line| f64::from(line.tries.saturating_sub(line.failed));
    let time = good(sum) * f64::from(sum.took_ms) + good(line) * f64::from(line.took_ms);
    sum.tries = sum.tries.saturating_add(line.tries);
    sum.failed = sum.failed.saturating_add(line.failed);
    sum.shed = sum.shed.saturating_add(line.shed);
    sum.took_ms = (time / good(sum).max(1.0)) as u32;
    sum.load = line.load.or(sum.load);
}
