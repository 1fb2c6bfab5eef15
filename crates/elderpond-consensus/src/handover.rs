//! A hive that leaves: who holds what it holds, on the durable word of those who stay.
//!
//! It asks them as one that takes the state over does (`StateRequest`), and they answer once all that they
//! tell is on disk. Beats prove nothing: they tell what is in memory.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use crate::replica::Replica;
use crate::types::{HandOver, Mark, Message, Millis, Mutant, Voter};

/// What one voter has on disk, by its own word.
#[derive(Clone, Hash)]
struct Word {
    disk: u64,
    /// Of what is in force there; 0 for nothing.
    version: u64,
    /// The digest of this hive's marks, if the voter has them all.
    marks: Option<u64>,
}

/// What those who stay have told in the present epoch.
#[derive(Clone, Default, Hash)]
pub(crate) struct Farewell {
    next: Millis,
    words: BTreeMap<Ipv4Addr, Word>,
}

impl Replica {
    fn others(&self) -> impl Iterator<Item = Voter> {
        let here = (self.me, self.disk);
        let voters = self.voters().iter().copied();
        voters.filter(move |voter| (voter.node, voter.disk) != here)
    }

    fn holds_all(&self, voter: &Voter) -> bool {
        let word = self.farewell.words.get(&voter.node);
        word.is_some_and(|word| {
            let marks = word.marks == Some(self.marks.digest());
            word.disk == voter.disk && word.version >= self.force_version() && marks
        })
    }

    /// Asks those who stay what they hold, until enough hold all.
    pub(crate) fn tick_farewell(&mut self) {
        if !self.ending || self.now < self.farewell.next {
            return;
        }
        self.farewell.next = self.now + self.rules.retry;
        let Some(set) = self.set.clone() else { return };
        let held = self.held.as_ref().map(|held| held.tag);
        // Never their digest: so they tell all their marks, or the digest of them.
        let marks = !self.marks.digest();
        let lack: Vec<Voter> = self.others().filter(|it| !self.holds_all(it)).collect();
        for voter in lack {
            let set = set.clone();
            self.send(voter.node, Message::StateRequest { set, held, marks });
        }
    }

    /// A voter that takes part in the present epoch told what is on its disk: all its marks or, where these
    /// are too many for a message, their digest.
    pub(crate) fn note_word(
        &mut self,
        from: Ipv4Addr,
        disk: u64,
        version: u64,
        marks: Result<&[Mark], u64>,
    ) {
        if !self.ending {
            return;
        }
        let mine = self.marks.digest();
        let all = match marks {
            Ok(theirs) => self.marks.are_all_in(theirs),
            Err(digest) => digest == mine,
        };
        let marks = all.then_some(mine);
        let word = Word {
            disk,
            version,
            marks,
        };
        self.farewell.words.insert(from, word);
        if !all || version < self.force_version() {
            // It fetches what it lacks, once it hears what there is.
            let beat = self.beat();
            self.send(from, beat);
        }
    }

    /// Whether this hive may end, and its disk go, with nothing lost that it has a part in: a majority of the
    /// newest set without it hold on disk what it holds. Means something once it was told that it ends.
    #[must_use]
    pub fn hand_over(&self) -> HandOver {
        let here = self.this_voter();
        let Some(set) = &self.set else {
            return HandOver::Done { by: Vec::new() };
        };
        let needless = !set.voters.contains(&here) && !set.previous.contains(&here);
        if needless || (set.voters == [here] && self.rules.minimum_voters <= 1) {
            return HandOver::Done { by: Vec::new() };
        }
        let (by, missing): (Vec<Voter>, Vec<Voter>) =
            self.others().partition(|voter| self.holds_all(voter));
        let nodes = |voters: Vec<Voter>| voters.into_iter().map(|voter| voter.node).collect();
        let enough = by.len() >= set.majority() || self.mutated(Mutant::EndsUnproven);
        match enough && !self.is_on_its_way_out() {
            true => HandOver::Done { by: nodes(by) },
            false => HandOver::Waits {
                by: nodes(by),
                missing: nodes(missing),
                needed: set.majority(),
            },
        }
    }
}
