//! What must hold.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::Millis;

/// The users' bounds, in milliseconds.
pub(crate) const CONTACT: Millis = 3_000;
pub(crate) const ACKNOWLEDGE: Millis = 5_000;
pub(crate) const CATCH_UP: Millis = 4_000;
pub(crate) const DRAIN: Millis = 2_500;
pub(crate) const APPLY: Millis = 2_500;
pub(crate) const OUTER: Millis = 8_000;

/// What operators and workers were told.
#[derive(Default)]
pub(crate) struct Ledger {
    /// The newest version acknowledged, and when.
    pub(crate) acknowledged: (u64, Millis),
    /// Each version acknowledged that was the newest then.
    pub(crate) history: Vec<(u64, Millis)>,
    /// Valid bodies that were sent.
    pub(crate) sent: BTreeMap<u64, Vec<Bytes>>,
    /// Bodies seen in force.
    in_force: BTreeMap<u64, Bytes>,
    /// The core was last unsettled, and last without a connected majority.
    pub(crate) unsettled: Millis,
    pub(crate) scattered: Millis,
    /// Any link or disk was last in trouble.
    pub(crate) harmed: Millis,
    pub(crate) fault: Option<String>,
}

impl Ledger {
    pub(crate) fn say(&mut self, now: Millis, fault: String) {
        if self.fault.is_none() {
            self.fault = Some(format!("{now} ms: {fault}"));
        }
    }

    /// A version was seen in force somewhere, or read back.
    pub(crate) fn seen(&mut self, now: Millis, version: u64, body: &Bytes, what: &str) {
        if !self
            .sent
            .get(&version)
            .is_some_and(|sent| sent.contains(body))
        {
            self.say(
                now,
                format!("{what} has a version {version} that nobody sent so"),
            );
        }
        let known = self.in_force.entry(version).or_insert_with(|| body.clone());
        if *known != *body {
            self.say(
                now,
                format!("{what} has another version {version} than others"),
            );
        }
    }

    pub(crate) fn taken(&mut self, now: Millis, version: u64, body: &Bytes) {
        if version > self.acknowledged.0 {
            self.acknowledged = (version, now);
            self.history.push((version, now));
            let newest = self
                .in_force
                .last_key_value()
                .map_or(0, |(version, _)| *version);
            if version >= newest {
                self.seen(now, version, body, "an operator");
            }
        }
    }

    pub(crate) fn read(&mut self, now: Millis, least: u64, body: Option<&Bytes>) {
        let Some(body) = body else {
            if least > 0 {
                self.say(
                    now,
                    format!("nothing is read, after {least} was acknowledged"),
                );
            }
            return;
        };
        match elderpond_flora::read(body) {
            Ok(read) => {
                let version = read.version_number.0;
                if version < least {
                    self.say(
                        now,
                        format!("{version} is read, after {least} was acknowledged"),
                    );
                }
                self.seen(now, version, body, "a read");
            }
            Err(fault) => self.say(now, format!("an invalid configuration is read: {fault}")),
        }
    }

    pub(crate) fn settled(&self, now: Millis) -> bool {
        now >= self.unsettled + CONTACT
    }

    /// What a forager that was last in trouble at `ill` has to have by now.
    pub(crate) fn due(&self, now: Millis, ill: Millis) -> u64 {
        if now < ill + CONTACT {
            return 0;
        }
        let by = |bound: Millis| {
            let mut in_time = self.history.iter().filter(|(_, at)| now > at + bound);
            in_time.next_back().map_or(0, |(version, _)| *version)
        };
        if self.settled(now) {
            by(APPLY)
        } else if now >= self.scattered + APPLY + OUTER {
            by(APPLY + OUTER)
        } else {
            0
        }
    }
}
