//! Foragers: their table, its changes, their reports.

use std::collections::VecDeque;

use bytes::Bytes;
use elderpond_control_wire::{
    FromForager, FromHive, Heartbeat, Hello, Line, VERSION, Vouch, encode, pack,
};
use elderpond_registry::{Change, Entry, Number, State};

use super::lag::{Delay, Late};
use super::{Action, COUNTED, FOLLOWS, Forager, Hive, LinkId, VersionPace};
use crate::Millis;
use crate::journal::What;

/// The first version of the wire whose foragers say when they have taken a version.
const TAKEN_SINCE: u8 = 5;
/// Messages with departures whose confirmation is awaited, at most; a forager that confirms none is of an
/// older version.
const UNCONFIRMED: usize = 256;
/// Departed lives in a whole table, at most: those that left last.
const DEPARTED: usize = 2048;
/// For how long a whole table may be told again while nothing has changed: what a line says of a worker's
/// cold time ages with it.
const WHOLE: Millis = 500;

impl Hive {
    pub(super) fn joined(&mut self, link: LinkId, hello: Hello, wire: u8, out: &mut Vec<Action>) {
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
        let mut versions = VersionPace::new(hello.version, wire >= TAKEN_SINCE);
        if let Some(in_force) = &self.in_force {
            versions.in_force(self.now, in_force.version, true);
        }
        let forager = Forager {
            node: hello.node,
            zone,
            wire,
            heard_at: self.now,
            versions,
            departures: Departures::default(),
        };
        if wire < VERSION {
            let node = forager.node;
            out.push(Action::Log(format!(
                "proxy {node} speaks version {wire} of the wire, and this control node {VERSION}"
            )));
        }
        self.foragers.insert(link, forager);
        self.tell_versions(out);
        let frame = self.whole();
        out.push(Action::ToForager { link, frame });
        self.tell_word_to(link, out);
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
        let zone = forager.zone;
        let (covers_ms, lines, misplaced) = match message {
            FromForager::Taken { version } => return self.version_taken(link, version, out),
            FromForager::AskWhole => return self.version_refused(link, out),
            FromForager::DeparturesTaken { count } => {
                return self.departures_taken(link, count, out);
            }
            FromForager::Leaving => return,
            FromForager::Report {
                covers_ms,
                lines,
                misplaced,
            } => (covers_ms, lines, misplaced),
        };
        if self.contact.leftovers(now) {
            return; // it may have been met long ago
        }
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
        if !change.departed.is_empty() {
            for forager in self.foragers.values_mut() {
                forager.departures.told(self.now);
            }
        }
        self.tell_foragers(&FromHive::Change(change), out);
    }

    /// A forager has taken in departures.
    fn departures_taken(&mut self, link: LinkId, count: u64, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(forager) = self.foragers.get_mut(&link) else {
            return;
        };
        if let Some(delay_ms) = forager.departures.taken(now, count) {
            let proxy = forager.node;
            let line = (self.lag).note(now, Late::Departure, Delay { delay_ms, proxy });
            out.extend(line.map(Action::Log));
        }
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

    /// The frame of a heartbeat to a forager of that version of the wire.
    fn word(&self, vouch: Vouch, wire: u8) -> Bytes {
        let proxies = u16::try_from(self.foragers_of_all()).unwrap_or(u16::MAX);
        let zone = |node| self.membership.about(node).map(|about| about.zone.clone());
        let control_nodes = (self.membership.alive())
            .map(|node| (node, zone(node).unwrap_or_default()))
            .collect();
        let heartbeat = Heartbeat {
            vouch,
            proxies,
            control_nodes,
        };
        heartbeat.frame(wire)
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

    /// Vouches to each forager that has all that was in force as long ago as the lease is long.
    fn tell_word(&self, out: &mut Vec<Action>) {
        let mut frames: Vec<((Vouch, u8), Bytes)> = Vec::new();
        for (link, forager) in &self.foragers {
            let kind = (self.vouch(*link, self.vouched), forager.wire);
            let made = frames.iter().find(|(of, _)| *of == kind);
            let frame = match made {
                Some((_, frame)) => frame.clone(),
                None => {
                    let frame = self.word(kind.0, kind.1);
                    frames.push((kind, frame.clone()));
                    frame
                }
            };
            out.push(Action::ToForager { link: *link, frame });
        }
    }

    /// The same, to one forager.
    pub(super) fn tell_word_to(&self, link: LinkId, out: &mut Vec<Action>) {
        if let Some(forager) = self.foragers.get(&link) {
            let vouch = self.vouch(link, self.vouches());
            let frame = self.word(vouch, forager.wire);
            out.push(Action::ToForager { link, frame });
        }
    }
}

/// Messages with departures that a forager was told and has not confirmed.
#[derive(Debug, Default)]
pub(super) struct Departures {
    /// How many it was told in all.
    told: u64,
    /// When it was told those that it has not confirmed, the oldest first.
    unconfirmed: VecDeque<Millis>,
}

impl Departures {
    fn told(&mut self, now: Millis) {
        self.told += 1;
        self.unconfirmed.push_back(now);
        if self.unconfirmed.len() > UNCONFIRMED {
            self.unconfirmed.pop_front();
        }
    }

    /// It has taken in so many in all; how long the slowest of those that are new took.
    fn taken(&mut self, now: Millis, count: u64) -> Option<Millis> {
        let open = usize::try_from(self.told.saturating_sub(count)).unwrap_or(usize::MAX);
        let confirmed = self.unconfirmed.len().saturating_sub(open);
        let slowest = self.unconfirmed.drain(..confirmed).next();
        slowest.map(|told_at| now.saturating_sub(told_at))
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
