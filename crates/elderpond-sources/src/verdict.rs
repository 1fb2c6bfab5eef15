//! What holds of a worker when sources differ. The table of `docs/sources.md`, in one function.

use elderpond::interface::Condition;

/// How much a source's word weighs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Authority {
    /// It lists workers that others do not know, and takes nobody away that another lists.
    Listing,
    /// It says who drains and who is gone, over all others.
    Deciding,
}

/// What a source last said of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Claim {
    /// It never spoke of it.
    Unheard,
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
    /// It was there, and the source has said or shown that it no longer is.
    Gone,
    /// A source that only lists: its answers lack the worker, not confirmed yet.
    Missing,
}

/// What the list is to say of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It is no part of the list.
    Absent,
    /// It stands in the list like this.
    Listed(Condition),
}

/// Decides from what all sources say of one worker, the order of the sources aside.
///
/// - a going, then a drain, told by a source that decides wins over every other word, and only that
///   source's own newer word brings the worker back (its claim is then no longer that);
/// - else any word that it is ready lists it; a source that only lists and misses it changes nothing
///   while another lists it;
/// - what only sources that list speak of stays until its absence is confirmed.
pub fn verdict(claims: impl Iterator<Item = (Authority, Claim)>) -> Verdict {
    let (mut gone, mut draining, mut ready, mut drained_listing) = (false, false, false, false);
    for (authority, claim) in claims {
        match (authority, claim) {
            (Authority::Deciding, Claim::Gone) => gone = true,
            (Authority::Deciding, Claim::Draining) => draining = true,
            (Authority::Listing, Claim::Draining) => drained_listing = true,
            (_, Claim::Ready) | (Authority::Listing, Claim::Missing) => ready = true,
            (Authority::Deciding, Claim::Missing) => ready = true,
            (_, Claim::Unheard) | (Authority::Listing, Claim::Gone) => {}
        }
    }
    if gone {
        Verdict::Absent
    } else if draining || drained_listing && !ready {
        Verdict::Listed(Condition::Draining)
    } else if ready {
        Verdict::Listed(Condition::Ready)
    } else {
        Verdict::Absent
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The table of the page, cell by cell: what the roster says, what a source that lists says, and
    /// what holds.
    #[test]
    fn every_cell_of_the_table() {
        use Claim::{Draining, Gone, Missing, Ready, Unheard};
        let (ready, draining) = (
            Verdict::Listed(Condition::Ready),
            Verdict::Listed(Condition::Draining),
        );
        let absent = Verdict::Absent;
        let table = [
            (
                Ready,
                [
                    (Unheard, ready),
                    (Ready, ready),
                    (Draining, ready),
                    (Missing, ready),
                    (Gone, ready),
                ],
            ),
            (
                Draining,
                [
                    (Unheard, draining),
                    (Ready, draining),
                    (Draining, draining),
                    (Missing, draining),
                    (Gone, draining),
                ],
            ),
            (
                Gone,
                [
                    (Unheard, absent),
                    (Ready, absent),
                    (Draining, absent),
                    (Missing, absent),
                    (Gone, absent),
                ],
            ),
            (
                Unheard,
                [
                    (Unheard, absent),
                    (Ready, ready),
                    (Draining, draining),
                    (Missing, ready),
                    (Gone, absent),
                ],
            ),
        ];
        for (roster, row) in table {
            for (listing, expected) in row {
                let claims = [(Authority::Deciding, roster), (Authority::Listing, listing)];
                assert_eq!(
                    verdict(claims.into_iter()),
                    expected,
                    "{roster:?} {listing:?}"
                );
                assert_eq!(
                    verdict(claims.into_iter().rev()),
                    expected,
                    "{listing:?} {roster:?}"
                );
            }
        }
    }

    #[test]
    fn among_those_that_decide_the_worst_word_wins() {
        let order = [Claim::Unheard, Claim::Ready, Claim::Draining, Claim::Gone];
        for (worse, a) in order.into_iter().enumerate() {
            for b in order.into_iter().take(worse + 1) {
                let alone = verdict([(Authority::Deciding, a)].into_iter());
                let both = [(Authority::Deciding, a), (Authority::Deciding, b)];
                assert_eq!(verdict(both.into_iter()), alone, "{a:?} over {b:?}");
            }
        }
    }
}
