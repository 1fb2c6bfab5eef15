//! Given tenants and ranks that share what is counted, when some ask for more than there is, then
//! others still find their part.

use elderpond_space::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use yare::parameterized;

const URGENT: usize = 0;
const BULK: usize = 1;

fn party(tenant: usize, rank: usize) -> Party {
    Party { tenant, rank }
}

fn two_ranks(weight: u32) -> Tenant {
    Tenant { weight, ranks: 2 }
}

/// Takes one at a time until there is none; how many that were, and why no more.
fn fill(space: &mut Space, now: Millis, who: Party) -> (u64, Refusal) {
    let mut taken = 0;
    loop {
        match space.take(now, who, 1) {
            Ok(()) => taken += 1,
            Err(why) => return (taken, why),
        }
    }
}

#[test]
fn given_all_bulk_at_once_when_the_bell_rings_then_urgent_work_finds_room() {
    let mut space = Space::new(1000, &[two_ranks(1)]);
    let (bulk, why) = fill(&mut space, 0, party(0, BULK));
    assert_eq!(why, Refusal::KeptForRank);
    // a quarter of the urgent half of the guaranteed half is kept though nobody asked
    assert_eq!(bulk, 1000 - 500 / 2 / 4);
    let (urgent, why) = fill(&mut space, 1, party(0, URGENT));
    assert_eq!((urgent, why), (62, Refusal::Full));
    // what bulk gives back now is kept until urgent work has its whole guarantee
    for _ in 0..400 {
        space.give_back(2, party(0, BULK), 1);
    }
    let (more, _) = fill(&mut space, 3, party(0, BULK));
    assert_eq!(more, 400 - (2 * 63 - 62));
    let (urgent, _) = fill(&mut space, 4, party(0, URGENT));
    assert!(urgent >= 60, "{urgent}");
}

#[test]
fn given_a_tenant_with_a_thousand_slow_readers_then_another_has_its_guarantee_once_they_end() {
    let mut space = Space::new(1000, &[two_ranks(1), two_ranks(1)]);
    let (slow, _) = fill(&mut space, 0, party(0, URGENT));
    assert!(slow > 800, "what is not asked for is lent: {slow}");
    let mut held = 0;
    // each second a tenth of the slow ones end; both ask again at once
    for second in 1..=20 {
        for _ in 0..slow / 10 {
            space.give_back(second * 1000, party(0, URGENT), 1);
        }
        held += fill(&mut space, second * 1000, party(1, URGENT)).0;
        fill(&mut space, second * 1000, party(0, URGENT));
    }
    assert!(held >= 250 / 8 * 8, "{held} of a guarantee of 250");
}

#[test]
fn given_urgent_work_without_end_then_bulk_has_its_eighth() {
    let mut space = Space::new(800, &[two_ranks(1)]);
    fill(&mut space, 0, party(0, BULK));
    for _ in 0..800 {
        space.give_back(1, party(0, BULK), 1);
    }
    fill(&mut space, 2, party(0, URGENT));
    let (bulk, _) = fill(&mut space, 3, party(0, BULK));
    assert_eq!(bulk, 800 / 2 / 8);
}

#[test]
fn given_nobody_else_asks_for_long_then_what_is_lent_grows() {
    let mut space = Space::new(1000, &[two_ranks(1), two_ranks(1)]);
    fill(&mut space, 0, party(1, BULK));
    let lately = fill(&mut space, 1, party(0, BULK)).0;
    assert!(lately < 40, "what is kept for it: {lately}");
    for _ in 0..900 {
        space.give_back(2, party(1, BULK), 1);
    }
    let while_remembered = fill(&mut space, 3, party(0, BULK)).0;
    // each call forgets for one tenant
    let later: u64 = (0..2)
        .map(|more| fill(&mut space, 30_000 + more, party(0, BULK)).0)
        .sum();
    assert!(later > 100, "{while_remembered} and then {later}");
}

#[test]
fn given_a_version_without_a_tenant_then_what_it_holds_counts_until_it_is_given_back() {
    let mut places = Places::new(60_000);
    assert_eq!(places.assign(0, &["a", "b"]), [0, 1]);
    let mut space = Space::new(100, &[two_ranks(1), two_ranks(1)]);
    for _ in 0..40 {
        space.take(0, party(0, URGENT), 1).expect("room");
    }
    assert_eq!(
        places.assign(1, &["b", "c"]),
        [1, 2],
        "a may hold something"
    );
    space.share_out(1, &[Tenant::GONE, two_ranks(1), two_ranks(1)]);
    let (others, why) = fill(&mut space, 2, party(2, URGENT));
    assert!(others <= 60 && why != Refusal::Full, "{others}, {why:?}");
    for _ in 0..40 {
        space.give_back(3, party(0, URGENT), 1);
    }
    assert_eq!(space.held(), others);
    assert_eq!(places.assign(60_001, &["b", "c", "d"]), [1, 2, 0]);
}

#[parameterized(
    alone = { &[1] },
    two = { &[1, 1] },
    uneven = { &[1, 7, 2] },
    many = { &[1; 40] },
)]
fn given_any_orders_then_no_more_is_held_than_there_is_and_who_asks_little_is_never_refused(
    weights: &[u32],
) {
    for seed in 0..15 {
        let mut rng = StdRng::seed_from_u64(seed);
        let tenants: Vec<Tenant> = weights.iter().map(|&weight| two_ranks(weight)).collect();
        let capacity = rng.random_range(500..5000);
        let all: u64 = weights.iter().map(|&weight| u64::from(weight)).sum();
        let mut space = Space::new(capacity, &tenants);
        let mut held: Vec<(Party, u64)> = Vec::new();
        let mut now = 0;
        for _ in 0..3000 {
            now += rng.random_range(0..40);
            if rng.random_bool(0.45) && !held.is_empty() {
                let (who, amount) = held.swap_remove(rng.random_range(0..held.len()));
                space.give_back(now, who, amount);
                continue;
            }
            let who = party(rng.random_range(0..tenants.len()), rng.random_range(0..2));
            let amount = rng.random_range(1..20);
            let (holds, kept) = space.stands(who);
            let before = space.held();
            match space.take(now, who, amount) {
                Ok(()) => held.push((who, amount)),
                Err(why) => {
                    assert_eq!(space.held(), before);
                    // what is kept at least was not asked for
                    let part = capacity / 2 * u64::from(weights[who.tenant]) / all / 8;
                    let floor = part * [4, 1][who.rank] / 4;
                    assert!(holds + amount > floor, "{why:?} with {holds} of {floor}");
                    // and it is told the truth
                    let free = capacity - before;
                    assert_eq!(why == Refusal::Full, free < amount, "{holds} {kept} {free}");
                }
            }
            let sum: u64 = held.iter().map(|(_, amount)| amount).sum();
            assert_eq!(space.held(), sum);
            assert!(sum <= capacity);
        }
        for (who, amount) in held.drain(..) {
            space.give_back(now, who, amount);
        }
        assert_eq!(space.held(), 0);
        // with all given back, an urgent party finds its quarter whatever the others do
        now += 60_000;
        for tenant in 1..tenants.len() {
            fill(&mut space, now, party(tenant, BULK));
        }
        let guarantee = capacity / 2 * u64::from(weights[0]) / all;
        // less what is kept for its own bulk
        for _ in 0..(guarantee / 4).saturating_sub(guarantee / 8 / 4) {
            assert_eq!(space.take(now, party(0, URGENT), 1), Ok(()));
        }
    }
}
