//! Rounds of ballots: those of a newer set of voters are above all of an older one.

use crate::replica::Replica;
use crate::types::Ballot;

/// Bits of a round that count attempts; those above hold the epoch.
const ROUNDS: u32 = 48;
/// From this epoch on, each has fewer rounds: so that there are epochs for good.
const MANY: u64 = 1 << 15;
/// Bits of a round in epochs from there on.
const FEWER: u32 = 40;
/// Bits of a round that a start and a promise above the ceiling skip.
pub(crate) const STEP: u32 = 16;

/// The epoch in which that ballot was made.
pub(crate) fn epoch_of(ballot: Ballot) -> u64 {
    let many = MANY << ROUNDS;
    match ballot.round.checked_sub(many) {
        Some(above) => MANY + (above >> FEWER),
        None => ballot.round >> ROUNDS,
    }
}

impl Replica {
    /// Ballots of this set have higher rounds, those of older sets lower ones.
    pub(crate) fn least_round(&self) -> u64 {
        let epoch = self.epoch();
        let late = epoch.saturating_sub(MANY).min((1 << (64 - FEWER - 1)) - 1);
        (epoch.min(MANY) << ROUNDS) + (late << FEWER)
    }

    /// Above all ballots of older sets, of which the members of this one need not have heard: what one voter
    /// of an older set was left with never beats what this set decides.
    pub(crate) fn next_ballot(&mut self) -> Ballot {
        self.round = self.round.max(self.least_round()) + 1;
        Ballot {
            round: self.round,
            node: self.me.into(),
            life: self.life,
        }
    }
}
