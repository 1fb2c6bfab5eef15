//! What must hold: an account of what operators, foragers, workers and clients saw, and of nothing else.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

use bytes::Bytes;

use crate::Millis;

/// The users' bounds, in milliseconds.
pub(crate) const CONTACT: Millis = 3_000;
pub(crate) const ACKNOWLEDGE: Millis = 5_000;
pub(crate) const CATCH_UP: Millis = 4_000;
pub(crate) const DRAIN: Millis = 2_500;
pub(crate) const APPLY: Millis = 2_500;
pub(crate) const OUTER: Millis = 8_000;
/// Our own: a call is answered within this, or its caller has gone on.
pub(crate) const ANSWER: Millis = 1_000;
/// Our own: a hive that reaches no majority says so in pulses at the latest after this.
pub(crate) const PULSE: Millis = 1_700;
/// Our own: what a forager takes for current was vouched for at most so long ago.
pub(crate) const CURRENT: Millis = 2_900;

/// What may be broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// What was acknowledged, or read before, is not read back.
    Lost,
    /// A forager in touch has an older version than is due.
    Config,
    /// A forager that starts begins with an older version or table than one acknowledged more than the bound
    /// ago, though a hive with a majority could be reached.
    OldStart,
    /// Of one number two bodies were acknowledged or in force.
    TwoBodies,
    /// A body that was acknowledged is refused when it comes again.
    RefusedAgain,
    /// A body that was refused is in force, or is acknowledged.
    RefusedInForce,
    /// A version in a forager's life fell.
    Falls,
    /// Something that nobody sent, or that is invalid, is in force or acknowledged.
    Unsent,
    /// A departure that was acknowledged is forgotten.
    Drain,
    /// A machine that is back is behind, or has no vote, after `catch-up-s`.
    CatchUp,
    /// A proper order was not acknowledged in time while the core was settled.
    Acks,
    /// The same of a worker that leaves.
    LeaveAcks,
    /// A call was not answered in time for its caller to go on.
    Unanswered,
    /// An answer to nothing that was asked, or a second one.
    Unasked,
    /// A hive or forager takes itself for current and is not.
    Stale,
    /// At the end of a calm day not all agree.
    Ending,
}

impl Rule {
    /// All of them.
    pub const ALL: [Self; 16] = [
        Self::Lost,
        Self::Config,
        Self::OldStart,
        Self::TwoBodies,
        Self::RefusedAgain,
        Self::RefusedInForce,
        Self::Falls,
        Self::Unsent,
        Self::Drain,
        Self::CatchUp,
        Self::Acks,
        Self::LeaveAcks,
        Self::Unanswered,
        Self::Unasked,
        Self::Stale,
        Self::Ending,
    ];
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

impl FromStr for Rule {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let known = || Self::ALL.map(|rule| rule.to_string()).join(", ");
        let found = Self::ALL.into_iter().find(|rule| rule.to_string() == name);
        found.ok_or_else(|| format!("{name} is no rule; there are {}", known()))
    }
}

/// What operators, foragers and workers were told.
#[derive(Default)]
pub(crate) struct Ledger {
    /// The newest version acknowledged, and when.
    pub(crate) acknowledged: (u64, Millis),
    /// Each version acknowledged that was the newest then.
    pub(crate) history: Vec<(u64, Millis)>,
    /// The newest version that was read.
    pub(crate) read: u64,
    /// Valid bodies that were sent.
    pub(crate) sent: BTreeMap<u64, Vec<Bytes>>,
    /// Bodies acknowledged, of any number.
    pub(crate) confirmed: BTreeMap<u64, Bytes>,
    /// Bodies refused.
    refused: BTreeSet<(u64, Bytes)>,
    /// Bodies seen in force.
    in_force: BTreeMap<u64, Bytes>,
    /// The core was last unsettled, and last without a connected majority.
    pub(crate) unsettled: Millis,
    pub(crate) scattered: Millis,
    /// Any link, or too many disks, were last in trouble.
    pub(crate) harmed: Millis,
    /// When more machines were last lost, or unable to write, than are to be borne: what one disk of three
    /// holds can neither be confirmed nor handed on.
    pub(crate) overwhelmed: Millis,
    /// Rules whose breach is only counted.
    past: Vec<Rule>,
    pub(crate) passed: BTreeMap<Rule, u64>,
    pub(crate) fault: Option<String>,
}

impl Ledger {
    pub(crate) fn new(past: Vec<Rule>) -> Self {
        Self {
            past,
            ..Self::default()
        }
    }

    pub(crate) fn say(&mut self, now: Millis, rule: Rule, fault: String) {
        if self.past.contains(&rule) {
            *self.passed.entry(rule).or_default() += 1;
        } else if self.fault.is_none() {
            self.fault = Some(format!("{rule}: {now} ms: {fault}"));
        }
    }

    /// A version was seen in force somewhere, or read back.
    pub(crate) fn seen(&mut self, now: Millis, version: u64, body: &Bytes, what: &str) {
        let sent = self.sent.get(&version);
        if !sent.is_some_and(|sent| sent.contains(body)) {
            let fault = format!("{what} has a version {version} that nobody sent so");
            self.say(now, Rule::Unsent, fault);
        }
        if *self.in_force.entry(version).or_insert_with(|| body.clone()) != *body {
            let fault = format!("{what} has another version {version} than others");
            self.say(now, Rule::TwoBodies, fault);
        }
        if self.confirmed.get(&version).is_some_and(|it| it != body) {
            let fault = format!("{what} has another version {version} than was acknowledged");
            self.say(now, Rule::TwoBodies, fault);
        }
        if self.refused.contains(&(version, body.clone())) {
            let fault = format!("{what} has a version {version} that was refused");
            self.say(now, Rule::RefusedInForce, fault);
        }
    }

    /// An operator was told that it is done.
    pub(crate) fn acknowledge(&mut self, now: Millis, version: u64, body: &Bytes) {
        if self
            .confirmed
            .entry(version)
            .or_insert_with(|| body.clone())
            != body
        {
            let fault = format!("two bodies of version {version} are acknowledged");
            self.say(now, Rule::TwoBodies, fault);
        }
        if self.in_force.get(&version).is_some_and(|it| it != body) {
            let fault =
                format!("version {version} is acknowledged with another body than is in force");
            self.say(now, Rule::TwoBodies, fault);
        }
        if self.refused.contains(&(version, body.clone())) {
            let fault = format!("version {version} is acknowledged after it was refused");
            self.say(now, Rule::RefusedInForce, fault);
        }
        if version > self.acknowledged.0 {
            self.acknowledged = (version, now);
            self.history.push((version, now));
        }
    }

    /// An operator was told that this body may not be in force.
    pub(crate) fn refuse(&mut self, now: Millis, version: u64, body: &Bytes) {
        if self.confirmed.get(&version) == Some(body) {
            let fault =
                format!("version {version} was acknowledged, and is refused when it comes again");
            self.say(now, Rule::RefusedAgain, fault);
        }
        if self.in_force.get(&version) == Some(body) {
            let fault = format!("version {version} was in force, and is refused");
            self.say(now, Rule::RefusedInForce, fault);
        }
        self.refused.insert((version, body.clone()));
    }

    /// What a read that begins now has to find.
    pub(crate) fn least(&self) -> u64 {
        self.acknowledged.0.max(self.read)
    }

    pub(crate) fn read(&mut self, now: Millis, least: u64, body: Option<&Bytes>) {
        let Some(body) = body else {
            if least > 0 {
                let fault = format!("nothing is read, after {least} was acknowledged or read");
                self.say(now, Rule::Lost, fault);
            }
            return;
        };
        match elderpond_flora::read(body) {
            Ok(read) => {
                let version = read.version_number.0;
                if version < least {
                    let fault =
                        format!("{version} is read, after {least} was acknowledged or read");
                    self.say(now, Rule::Lost, fault);
                }
                self.read = self.read.max(version);
                self.seen(now, version, body, "a read");
            }
            Err(fault) => {
                let fault = format!("an invalid configuration is read: {fault}");
                self.say(now, Rule::Unsent, fault);
            }
        }
    }

    pub(crate) fn settled(&self, now: Millis) -> bool {
        now >= self.unsettled + CONTACT
    }

    /// The newest version acknowledged more than so long ago.
    pub(crate) fn known_for(&self, now: Millis, bound: Millis) -> u64 {
        let mut in_time = self.history.iter().filter(|(_, at)| now > at + bound);
        in_time.next_back().map_or(0, |(version, _)| *version)
    }

    /// What a forager that was last in trouble at `ill` has to have by now.
    pub(crate) fn due(&self, now: Millis, ill: Millis) -> u64 {
        if now < ill + CONTACT || now < self.overwhelmed + CONTACT {
            return 0;
        }
        if self.settled(now) {
            self.known_for(now, APPLY)
        } else if now >= self.scattered + APPLY + OUTER {
            self.known_for(now, APPLY + OUTER)
        } else {
            0
        }
    }
}
