//! Numbers: with which body each was held here, also those that a newer version has overtaken, as far back as
//! the bound; and proposals that decide the body of a number once it can't be in force any more.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use crate::proposer::answer;
use crate::replica::Replica;
use crate::types::{Ballot, Digest, Message, Mutant, Numbers, Stored, Tag};

/// What is held of one number.
#[derive(Clone, Hash)]
struct Given {
    tag: Tag,
    /// Whether a majority is known to hold it: then it never changes.
    decided: bool,
}

/// What this disk holds of each number.
#[derive(Clone, Default, Hash)]
pub(crate) struct Ledger {
    /// Of numbers up to this nothing is known any more.
    forgotten: u64,
    given: BTreeMap<u64, Given>,
    /// What is to be written, if anything is.
    dirty: Option<BTreeSet<u64>>,
}

impl Ledger {
    /// Of so many numbers it is kept what they were given.
    pub(crate) fn len(&self) -> usize {
        self.given.len()
    }

    /// That of an empty disk, still to be written.
    pub(crate) fn fresh() -> Self {
        Self {
            dirty: Some(BTreeSet::new()),
            ..Self::default()
        }
    }

    /// That of this disk. Where it was written, at last, by a program that kept no numbers, nothing is known
    /// of those below its newest body.
    pub(crate) fn load(stored: &Stored, bound: usize) -> Self {
        let tags = stored.held.iter().map(|held| held.tag);
        let newest = tags.max_by_key(|tag| (tag.version, tag.ballot));
        let whole = |numbers: &&Numbers| {
            newest.is_none_or(|newest| {
                let same = |tag: &Tag| tag.version == newest.version && tag.ballot >= newest.ballot;
                newest.version <= numbers.forgotten || numbers.given.iter().any(same)
            })
        };
        if let Some(numbers) = stored.numbers.as_ref().filter(whole) {
            let mut ledger = Self::default();
            ledger.merge(numbers.clone(), bound);
            ledger.dirty = None;
            return ledger;
        }
        let mut ledger = Self::fresh();
        if let Some(newest) = newest {
            ledger.forget(newest.version.saturating_sub(1));
            ledger.join(newest, bound);
        }
        ledger
    }

    /// The attempt accepted last for this number.
    pub(crate) fn tag(&self, version: u64) -> Option<Tag> {
        self.given.get(&version).map(|given| given.tag)
    }

    /// The body of this number, where a majority is known to hold it.
    pub(crate) fn decided(&self, version: u64) -> Option<Digest> {
        let given = self.given.get(&version).filter(|given| given.decided);
        given.map(|given| given.tag.digest)
    }

    /// Whether this number is out of the bound: what it was given, if anything, is not known here.
    pub(crate) fn forgot(&self, version: u64, bound: usize) -> bool {
        let lowest = self
            .given
            .first_key_value()
            .map_or(0, |(&lowest, _)| lowest);
        version <= self.forgotten || (self.given.len() >= bound && version < lowest)
    }

    /// Takes this in, if it is of a higher ballot than what is held of its number. Beyond the bound the
    /// lowest numbers are forgotten.
    pub(crate) fn join(&mut self, tag: Tag, bound: usize) {
        let old = self.given.get(&tag.version);
        if tag.version <= self.forgotten || old.is_some_and(|old| old.tag.ballot >= tag.ballot) {
            return;
        }
        // What is decided is in every higher ballot.
        let decided = old.is_some_and(|old| old.decided);
        self.given.insert(tag.version, Given { tag, decided });
        self.dirty.get_or_insert_default().insert(tag.version);
        while self.given.len() > bound.max(1) {
            let lowest = self
                .given
                .first_key_value()
                .map_or(0, |(&lowest, _)| lowest);
            self.forget(lowest);
        }
    }

    /// A majority holds this.
    pub(crate) fn decide(&mut self, tag: Tag) {
        if let Some(given) = self.given.get_mut(&tag.version)
            && given.tag.digest == tag.digest
        {
            given.decided = true;
        }
    }

    /// Nothing is known any more of numbers up to this.
    fn forget(&mut self, version: u64) {
        if version > self.forgotten {
            self.forgotten = version;
            self.given.retain(|&given, _| given > version);
            self.dirty.get_or_insert_default();
        }
    }

    /// Takes in what another disk holds.
    pub(crate) fn merge(&mut self, other: Numbers, bound: usize) {
        self.forget(other.forgotten);
        other
            .given
            .into_iter()
            .for_each(|tag| self.join(tag, bound));
    }

    pub(crate) fn all(&self) -> Numbers {
        Numbers {
            forgotten: self.forgotten,
            given: self.given.values().map(|given| given.tag).collect(),
        }
    }

    pub(crate) fn is_dirty(&self) -> bool {
        self.dirty.is_some()
    }

    /// What is to be written.
    pub(crate) fn changes(&mut self) -> Option<Numbers> {
        let dirty = self.dirty.take()?;
        Some(Numbers {
            forgotten: self.forgotten,
            given: dirty
                .into_iter()
                .filter_map(|version| self.tag(version))
                .collect(),
        })
    }

    /// These changes did not last.
    pub(crate) fn write_again(&mut self, changes: &Numbers) {
        let versions = changes.given.iter().map(|tag| tag.version);
        self.dirty.get_or_insert_default().extend(versions);
    }
}

impl Replica {
    /// The body of this number, as far as known here without asking anybody.
    pub(crate) fn decided(&self, version: u64) -> Option<Digest> {
        let known = self.known.filter(|known| known.version == version);
        let decided = known.map(|known| known.digest);
        let decided = decided.or_else(|| self.ledger.decided(version));
        match self.rules.mutant {
            Some(Mutant::OwnNumbersOnly) => {
                decided.or_else(|| Some(self.ledger.tag(version)?.digest))
            }
            _ => decided,
        }
    }

    /// A newer version is known to be in force: who waits for an older one is told what its number was given,
    /// or that is decided now.
    pub(crate) fn overtake(&mut self, newest: u64) {
        let waiting: BTreeSet<u64> = self.waiting.iter().map(|waiting| waiting.version).collect();
        let now = self.now;
        self.proposals.retain(|version, proposal| {
            if *version < newest && !proposal.overtaken {
                proposal.overtaken = true;
                proposal.body = None;
                proposal.idle(now);
            }
            *version >= newest || waiting.contains(version)
        });
        for version in waiting.range(..=newest) {
            self.tell(*version);
        }
    }

    /// Answers who waits for this number, once its body is decided.
    fn tell(&mut self, version: u64) {
        let Some(digest) = self.decided(version) else {
            return;
        };
        let out = &mut self.out;
        self.waiting.retain(|waiting| {
            if waiting.version == version {
                out.push(answer(waiting.ticket, waiting.digest != digest));
            }
            waiting.version != version
        });
        self.proposals
            .retain(|&other, proposal| other != version || !proposal.overtaken);
    }

    /// A majority has this on disk for a number that was overtaken.
    pub(crate) fn number_decided(&mut self, tag: Tag) {
        self.ledger.join(tag, self.rules.numbers);
        self.ledger.decide(tag);
        self.tell(tag.version);
    }

    /// Whether no answer may be given for this number.
    pub(crate) fn forgot(&self, version: u64) -> bool {
        self.ledger.forgot(version, self.rules.numbers)
    }

    pub(crate) fn on_prepare_number(
        &mut self,
        from: Ipv4Addr,
        epoch: u64,
        version: u64,
        ballot: Ballot,
    ) {
        if self.votes_in(from, epoch) && !self.refuses(from, epoch, version, ballot, None) {
            // What it tells of is on disk: who hears the same of a majority knows that it is decided.
            let promise = self.promise_to(epoch, version, ballot);
            match self.rules.mutant {
                Some(Mutant::NumberToldUnsynced) => self.send(from, promise),
                _ => self.send_durable(from, promise),
            }
        }
    }

    pub(crate) fn on_accept_number(&mut self, from: Ipv4Addr, epoch: u64, tag: Tag) {
        let (version, ballot) = (tag.version, tag.ballot);
        if self.votes_in(from, epoch) && !self.refuses(from, epoch, version, ballot, None) {
            self.promise(version, ballot);
            self.ledger.join(tag, self.rules.numbers);
            self.accepted_by(from, epoch, version, ballot);
        }
    }

    /// What this disk holds of all numbers goes with what it hands over.
    pub(crate) fn tell_state(&mut self, to: Ipv4Addr, epoch: u64, state: Message) {
        let state = match self.rules.mutant {
            Some(Mutant::NumbersNotHandedOver) => state,
            _ => Message::State {
                epoch,
                numbers: self.ledger.all(),
                state: Box::new(state),
            },
        };
        self.send_durable(to, state);
    }
}
