//! The other hives: what is told and asked.

use std::net::Ipv4Addr;

use elderpond_control_wire::{HiveToHive, encode};
use elderpond_registry::{Number, State};

use super::{Action, Hive};
use crate::Millis;

/// All lives are asked of a hive no more often.
const ASK_EVERY: Millis = 2000;

impl Hive {
    fn send(&self, to: Ipv4Addr, message: &HiveToHive, out: &mut Vec<Action>) {
        let frame = encode(message);
        out.push(Action::ToHive { to, frame });
    }

    /// To every other hive that is there.
    pub(super) fn send_all(&self, message: &HiveToHive, out: &mut Vec<Action>) {
        if self.others.is_empty() {
            return;
        }
        let frame = encode(message);
        out.extend(self.others.keys().map(|to| Action::ToHive {
            to: *to,
            frame: frame.clone(),
        }));
    }

    pub(super) fn linked(&mut self, node: Ipv4Addr, out: &mut Vec<Action>) {
        if let Some(other) = self.others.get_mut(&node) {
            other.asked_at = Some(self.now);
            self.send(node, &HiveToHive::AskLives, out);
            self.tell_count(out);
        }
    }

    pub(super) fn hear_hive(&mut self, from: Ipv4Addr, message: HiveToHive, out: &mut Vec<Action>) {
        let now = self.now;
        // after a standstill: what rises only is taken in, all else asked for anew
        let message = match message {
            HiveToHive::Lives(lives) | HiveToHive::AllLives { lives, .. }
                if self.contact.leftovers(now) =>
            {
                let lives = lives.into_iter().filter(|life| life.state > State::Ready);
                HiveToHive::Lives(lives.collect())
            }
            HiveToHive::Heard(_) | HiveToHive::Met { .. } | HiveToHive::Foragers(_)
                if self.contact.leftovers(now) =>
            {
                return;
            }
            message => message,
        };
        match message {
            HiveToHive::Consensus(message) => {
                self.tell_replica(elderpond_consensus::Event::Message { from, message }, out);
            }
            HiveToHive::Lives(lives) => {
                for life in &lives {
                    self.registry.learn(now, life);
                }
            }
            HiveToHive::Heard(beats) => {
                let mut strange = false;
                for (number, silent_ms) in beats {
                    strange |= self.registry.life(now, number).is_none();
                    self.registry.heard(now, number, silent_ms);
                }
                if strange {
                    self.ask(from, out);
                }
            }
            HiveToHive::AskLives => {
                let lives = self.registry.all(now).map(|(_, life)| life);
                let lives = lives.filter(|life| !life.id.is_empty()).collect();
                let settled = self.tells_all();
                self.send(from, &HiveToHive::AllLives { settled, lives }, out);
            }
            HiveToHive::AllLives { settled, lives } => {
                for life in &lives {
                    self.registry.learn(now, life);
                }
                if settled {
                    self.fold();
                    self.become_settled(out);
                }
            }
            HiveToHive::Met {
                covers_ms: 0,
                lines,
            } => self.others_probed(&lines),
            HiveToHive::Met { covers_ms, lines } => self.report(&lines, covers_ms, u16::MAX),
            HiveToHive::Foragers(count) => {
                if let Some(other) = self.others.get_mut(&from) {
                    other.foragers = Some((count, now));
                }
            }
        }
    }

    /// Asks all others for all lives, once what waited during a standstill has been read.
    pub(super) fn catch_up(&mut self, out: &mut Vec<Action>) {
        let nodes: Vec<Ipv4Addr> = self.others.keys().copied().collect();
        for node in nodes {
            self.linked(node, out);
        }
    }

    fn ask(&mut self, node: Ipv4Addr, out: &mut Vec<Action>) {
        let now = self.now;
        if let Some(other) = self.others.get_mut(&node)
            && other.asked_at.is_none_or(|at| now >= at + ASK_EVERY)
        {
            other.asked_at = Some(now);
            self.send(node, &HiveToHive::AskLives, out);
        }
    }

    /// Lives that are new or changed.
    pub(super) fn tell_lives(&mut self, out: &mut Vec<Action>) {
        if self.fresh.is_empty() {
            return;
        }
        let fresh = std::mem::take(&mut self.fresh);
        let lives = fresh
            .iter()
            .filter_map(|it| self.registry.life(self.now, *it));
        let lives = lives.filter(|life| !life.id.is_empty()).collect();
        self.send_all(&HiveToHive::Lives(lives), out);
    }

    pub(super) fn tell_count(&self, out: &mut Vec<Action>) {
        let count = u16::try_from(self.foragers.len()).unwrap_or(u16::MAX);
        self.send_all(&HiveToHive::Foragers(count), out);
    }

    /// Beats and readings of the last second.
    pub(super) fn batch(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let heard: Vec<(Number, u32)> = (self.heard.drain())
            .map(|(number, at)| (number, u32::try_from(now - at).unwrap_or(u32::MAX)))
            .collect();
        if !heard.is_empty() {
            self.send_all(&HiveToHive::Heard(heard), out);
        }
        let covers_ms = std::mem::take(&mut self.met_covers).max(1);
        let met = std::mem::take(&mut self.met);
        let lines: Vec<_> = (met.into_values())
            .filter(|line| self.telling(line))
            .collect();
        if !lines.is_empty() {
            self.send_all(&HiveToHive::Met { covers_ms, lines }, out);
        }
    }
}
