//! Who should vote next: each rule alone, and what holds for every input.

mod world;

use elderpond_consensus::{Selection, Standing, Voter};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use world::ip;

fn voter(n: u8) -> Voter {
    Voter {
        node: ip(n),
        disk: u64::from(n),
    }
}

fn reformatted(n: u8) -> Voter {
    Voter {
        node: ip(n),
        disk: 100 + u64::from(n),
    }
}

/// `s` stays, `r` is reformatted, `l` leaves, `d` is down; machines are numbered from 1, spares go on from
/// there.
fn select(standings: &str, spares: u8, minimum: usize) -> Vec<Voter> {
    let standing = |(n, letter): (u8, char)| match letter {
        's' => (voter(n), Standing::Stays),
        'r' => (voter(n), Standing::Reformatted(reformatted(n))),
        'l' => (voter(n), Standing::Leaves),
        _ => (voter(n), Standing::Down),
    };
    let voters: Vec<_> = (1..).zip(standings.chars()).map(standing).collect();
    let first = voters.len() as u8 + 1;
    let spares: Vec<_> = (first..first + spares).map(voter).collect();
    let selection = Selection {
        voters: &voters,
        spares: &spares,
        minimum,
    };
    selection.next_voters()
}

#[yare::parameterized(
    nothing_happened = { "sss", 0, 3, &[1, 2, 3] },
    one_down_and_nobody_there = { "ssd", 0, 3, &[1, 2, 3] },
    one_down_and_a_spare = { "ssd", 1, 3, &[1, 2, 4] },
    one_leaves_and_a_spare = { "lss", 1, 3, &[2, 3, 4] },
    one_leaves_and_nobody_there = { "lss", 0, 3, &[1, 2, 3] },
    one_leaves_another_is_down_one_spare = { "lsd", 1, 3, &[2, 3, 4] },
    a_lone_spare_waits = { "sss", 1, 3, &[1, 2, 3] },
    two_spares_join = { "sss", 2, 3, &[1, 2, 3, 4, 5] },
    a_lone_voter_takes_any = { "s", 1, 3, &[1, 2] },
    two_take_a_third = { "ss", 1, 3, &[1, 2, 3] },
    four_drop_the_lost_one = { "sssd", 0, 3, &[1, 2, 3] },
    four_replace_the_lost_one_and_stay_even = { "sssd", 1, 3, &[1, 2, 3, 5] },
    five_keep_the_lost_one = { "ssssd", 0, 3, &[1, 2, 3, 4, 5] },
    five_drop_two_lost_ones = { "sssdd", 0, 3, &[1, 2, 3] },
    five_of_five_replace_one_of_two = { "sssdd", 1, 5, &[1, 2, 3, 5, 6] },
    two_never_shrink_to_one_by_a_loss = { "ssd", 0, 1, &[1, 2, 3] },
    one_of_five_leaves_where_three_do = { "lssss", 0, 3, &[2, 3, 4, 5] },
)]
fn given_standings_then_these_vote_next(standings: &str, spares: u8, minimum: usize, next: &[u8]) {
    let next: Vec<_> = next.iter().copied().map(voter).collect();
    assert_eq!(select(standings, spares, minimum), next);
}

#[test]
fn given_a_reformatted_voter_then_its_new_disk_votes_and_no_spare_does() {
    let next = select("srs", 1, 3);
    assert_eq!(next, [voter(1), reformatted(2), voter(3)]);
}

/// How many more losses a set survives of which so many can be reached.
fn survives(reachable: usize, size: usize) -> isize {
    reachable as isize - (size as isize / 2 + 1)
}

#[test]
fn given_any_standings_then_losses_alone_never_make_a_set_that_survives_less() {
    let mut random = StdRng::seed_from_u64(5);
    for _ in 0..20_000 {
        let size = random.random_range(1..8);
        let letters = ['s', 's', 'r', 'd'];
        let standings: String = (0..size)
            .map(|_| letters[random.random_range(0..4)])
            .collect();
        let (spares, minimum) = (random.random_range(0..4), random.random_range(1..6));
        let next = select(&standings, spares, minimum);
        let down = |it: &&Voter| {
            let at = usize::from(it.node.octets()[3]) - 1;
            standings.chars().nth(at) == Some('d')
        };
        let lost = standings.matches('d').count();
        let still_lost = next.iter().filter(down).count();
        let before = survives(size - lost, size);
        let after = survives(next.len() - still_lost, next.len());
        let told = format!("{standings}, {spares} spares, minimum {minimum}: {next:?}");
        assert!(after >= before, "{told}");
        assert!(next.len() >= size.min(minimum), "{told}");
        assert!(
            next.len() % 2 == 1 || size % 2 == 0 || size == 1,
            "odd stays odd: {told}"
        );
        let distinct: std::collections::BTreeSet<_> = next.iter().map(|it| it.node).collect();
        assert_eq!(distinct.len(), next.len(), "{told}");
    }
}
