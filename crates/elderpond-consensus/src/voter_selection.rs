//! Who should vote next, given what is known of the present voters and of the machines that could stand in.
//!
//! One rule, without state, clock or I/O:
//!
//! 1. A voter whose machine came back with another disk is replaced by that disk.
//! 2. A voter that leaves, or is down, is replaced by a spare machine in the same step. Nobody votes beside
//!    the one that it stands in for: the set never grows to an even size because a voter was lost.
//! 3. Without a spare, a voter that leaves is dropped if enough voters remain; one that is down is dropped if
//!    enough reachable voters remain and their number is odd.
//! 4. Spares that replace nobody join so that the number of voters is odd: an even set needs a larger
//!    majority and survives no more losses than the odd one below it. Only a lone voter takes any spare.
//!
//! Spare machines beyond that stay without a vote. They hold what is in force and stand in for the next loss.

use crate::types::Voter;

/// What is known of a present voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It takes part, or is not known to be gone yet.
    Stays,
    /// Its machine is there with this other disk.
    Reformatted(Voter),
    /// It was told to end.
    Leaves,
    /// It cannot be reached.
    Down,
}

/// All that decides who should vote next.
pub struct Selection<'a> {
    /// The present voters.
    pub voters: &'a [(Voter, Standing)],
    /// Machines with a disk that could vote and do not, the preferred ones first.
    pub spares: &'a [Voter],
    /// How many voters there should be.
    pub minimum: usize,
}

impl Selection<'_> {
    /// The voters that there should be, in order.
    #[must_use]
    pub fn next_voters(&self) -> Vec<Voter> {
        let mut spares = self.spares.iter().copied();
        let mut next = self.remaining();
        let leaving = self.replace(Standing::Leaves, &mut spares, &mut next);
        let down = self.replace(Standing::Down, &mut spares, &mut next);
        if next.len() + down.len() < self.minimum {
            next.extend(leaving);
        }
        next.extend(self.kept_although_down(next.len(), down));
        join_to_an_odd_size(&mut next, spares);
        next.sort_unstable();
        next.dedup();
        next
    }

    /// Those who stay, each with the disk that its machine has now.
    fn remaining(&self) -> Vec<Voter> {
        let remaining = |&(voter, standing): &(Voter, Standing)| match standing {
            Standing::Stays => Some(voter),
            Standing::Reformatted(replacement) => Some(replacement),
            Standing::Leaves | Standing::Down => None,
        };
        self.voters.iter().filter_map(remaining).collect()
    }

    /// Replaces voters of that standing while there are spares; tells for whom there was none.
    fn replace(
        &self,
        standing: Standing,
        spares: &mut impl Iterator<Item = Voter>,
        next: &mut Vec<Voter>,
    ) -> Vec<Voter> {
        let mut unreplaced = Vec::new();
        for &(voter, _) in self.voters.iter().filter(|(_, its)| *its == standing) {
            match spares.next() {
                Some(spare) => next.push(spare),
                None => unreplaced.push(voter),
            }
        }
        unreplaced
    }

    /// Which of those who are down keep their vote beside so many others: all, while fewer than the minimum
    /// would be left; else at most one, which makes the number odd.
    fn kept_although_down(&self, others: usize, down: Vec<Voter>) -> Vec<Voter> {
        let kept = match others < self.minimum {
            true => down.len(),
            false => usize::from(others.is_multiple_of(2)),
        };
        down.into_iter().take(kept).collect()
    }
}

/// Adds spares in pairs, and first a single one where that makes the number odd.
fn join_to_an_odd_size(next: &mut Vec<Voter>, spares: impl Iterator<Item = Voter>) {
    let spares: Vec<Voter> = spares.collect();
    let odd = (next.len() + spares.len()) % 2 == 1;
    let joining = match odd || next.len() == 1 {
        true => spares.len(),
        false => spares.len().saturating_sub(1),
    };
    next.extend(&spares[..joining]);
}
