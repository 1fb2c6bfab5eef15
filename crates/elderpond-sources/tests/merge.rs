//! The one list under random and under hard interleavings of sources.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use elderpond::interface::Condition;
use elderpond_sources::{Authority, Kind, Member, Merge, Out, Patience, SourceId, Word};
use proptest::prelude::*;

const PATIENCE: Patience = Patience {
    lifetimes: 3.0,
    least_ms: 1000.0,
    pace: 2,
};
const LIFETIME_MS: f64 = 2000.0;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 8080))
}

/// As the roster lists it.
fn rostered(number: u8, condition: Condition) -> Member {
    Member {
        name: format!("w-{number}").into(),
        address: Some(address(number)),
        zone: ["a", "b"][usize::from(number % 2)].into(),
        weight: 1.0 + f64::from(number),
        started: Some(0.0),
        condition,
    }
}

/// As service records list it.
fn resolved(number: u8) -> Member {
    Member {
        name: format!("runner{number}.example.org:8080").into(),
        started: None,
        weight: 1.0,
        ..rostered(number, Condition::Ready)
    }
}

/// What whoever is told would hold, by name.
#[derive(Default)]
struct Mirror(BTreeMap<Arc<str>, Member>);

impl Mirror {
    fn told(&mut self, out: Option<Out>) {
        let Some(out) = out else {
            return;
        };
        if matches!(out.kind, Kind::Whole | Kind::Known) {
            self.0.clear();
        }
        for member in out.members {
            match member.condition {
                Condition::Gone => drop(self.0.remove(&member.name)),
                _ => drop(self.0.insert(member.name.clone(), member)),
            }
        }
    }

    fn conditions(&self) -> BTreeMap<Option<SocketAddr>, Condition> {
        self.0
            .values()
            .map(|member| (member.address, member.condition))
            .collect()
    }

    fn ready(&self, number: u8) -> bool {
        self.conditions().get(&Some(address(number))) == Some(&Condition::Ready)
    }
}

fn listed(merge: &Merge) -> BTreeMap<Option<SocketAddr>, Condition> {
    let list = merge.snapshot().list;
    list.values()
        .map(|member| (member.address, member.condition))
        .collect()
}

fn pair() -> (Merge, SourceId, SourceId) {
    let mut merge = Merge::default();
    let roster = merge.add("roster", Authority::Deciding, 1, Patience::default());
    let dns = merge.add("dns", Authority::Listing, 3, PATIENCE);
    (merge, roster, dns)
}

fn answer(server: u16, members: Vec<Member>) -> Word {
    Word::Answer {
        server,
        members,
        lifetime_ms: LIFETIME_MS,
        whole: true,
    }
}

fn all_answer(merge: &mut Merge, mirror: &mut Mirror, now: f64, dns: SourceId, numbers: &[u8]) {
    for server in 0..3 {
        let members = numbers.iter().map(|number| resolved(*number)).collect();
        mirror.told(merge.hear(now, dns, answer(server, members)));
    }
}

fn condition() -> impl Strategy<Value = Condition> {
    prop_oneof![
        4 => Just(Condition::Ready),
        2 => Just(Condition::Draining),
        2 => Just(Condition::Gone),
    ]
}

fn roster_word() -> impl Strategy<Value = Word> {
    let member = (0u8..12, condition()).prop_map(|(number, condition)| rostered(number, condition));
    // One entry of each worker in a word.
    let members = proptest::collection::vec(member, 0..8).prop_map(|members| {
        let mut seen = BTreeSet::new();
        let fresh = |member: &Member| seen.insert(member.address);
        members.into_iter().filter(fresh).collect::<Vec<_>>()
    });
    let members = members.boxed();
    let whole = |mut members: Vec<Member>| {
        members.retain(|member| member.condition != Condition::Gone);
        members
    };
    prop_oneof![
        1 => members.clone().prop_map(move |members| Word::Known(whole(members))),
        2 => members.clone().prop_map(move |members| Word::Whole(whole(members))),
        5 => members.prop_map(Word::Changes),
        1 => Just(Word::Unchanged),
        1 => Just(Word::Failed),
    ]
}

fn dns_word() -> impl Strategy<Value = Word> {
    let members = proptest::collection::btree_set(0u8..14, 0..8)
        .prop_map(|numbers| numbers.into_iter().map(resolved).collect::<Vec<_>>());
    prop_oneof![
        6 => (0u16..3, members).prop_map(|(server, members)| answer(server, members)),
        1 => Just(Word::Failed),
        1 => (0u16..3).prop_map(|server| answer(server, Vec::new())),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// With the roster alone the list is told what the roster says, word for word.
    #[test]
    fn the_roster_alone_passes_through(words in proptest::collection::vec(roster_word(), 0..30)) {
        let mut merge = Merge::default();
        let roster = merge.add("roster", Authority::Deciding, 1, Patience::default());
        for (at, word) in words.into_iter().enumerate() {
            let expected = match word.clone() {
                Word::Known(members) => Out { kind: Kind::Known, members },
                Word::Whole(members) => Out { kind: Kind::Whole, members },
                Word::Changes(members) => Out { kind: Kind::Changes, members },
                Word::Unchanged => Out { kind: Kind::Unchanged, members: Vec::new() },
                _ => Out { kind: Kind::Failed, members: Vec::new() },
            };
            prop_assert_eq!(merge.hear(at as f64, roster, word), Some(expected));
            prop_assert_eq!(merge.tick(at as f64), None);
        }
    }

    /// What was told adds up to the list; a worker that the roster drains or drops is not ready in it
    /// before the roster says so again; and whoever the roster lists ready is in it.
    #[test]
    fn the_list_keeps_to_the_rule_whatever_comes(
        words in proptest::collection::vec((any::<bool>(), roster_word(), dns_word(), 1u32..4000), 0..60)
    ) {
        let (mut merge, roster, dns) = pair();
        let mut mirror = Mirror::default();
        let mut says: BTreeMap<u8, Condition> = BTreeMap::new();
        let mut now = 0.0;
        for (of_roster, roster_says, dns_says, pause) in words {
            now += f64::from(pause);
            mirror.told(merge.tick(now));
            if of_roster {
                let numbered = |members: &[Member]| -> Vec<(u8, Condition)> {
                    let number = |member: &Member| member.name[2..].parse().unwrap();
                    members.iter().map(|member| (number(member), member.condition)).collect()
                };
                match &roster_says {
                    Word::Known(members) | Word::Whole(members) => {
                        says.values_mut().for_each(|condition| *condition = Condition::Gone);
                        says.extend(numbered(members));
                    }
                    Word::Changes(members) => says.extend(numbered(members)),
                    _ => {}
                }
                mirror.told(merge.hear(now, roster, roster_says));
            } else {
                mirror.told(merge.hear(now, dns, dns_says));
            }
            prop_assert_eq!(mirror.conditions(), listed(&merge));
            for (number, condition) in &says {
                prop_assert_eq!(mirror.ready(*number), *condition == Condition::Ready, "worker {}", number);
            }
        }
    }

    /// Equal knowledge makes an equal list, in whatever order it arrives.
    #[test]
    fn the_order_of_arrival_does_not_matter(
        rostered_ones in proptest::collection::btree_map(0u8..10, any::<bool>(), 0..8),
        answers in proptest::collection::vec(proptest::collection::btree_set(0u8..12, 0..8), 3),
        order in Just([0usize, 1, 2, 3]).prop_shuffle(),
    ) {
        let word = |place: usize| match place {
            0 => {
                let condition = |ready: &bool| if *ready { Condition::Ready } else { Condition::Draining };
                let members = rostered_ones.iter();
                let members = members.map(|(number, ready)| rostered(*number, condition(ready)));
                (true, Word::Whole(members.collect()))
            }
            server => {
                let members = answers[server - 1].iter().map(|number| resolved(*number)).collect();
                (false, answer(server as u16 - 1, members))
            }
        };
        let play = |order: [usize; 4]| {
            let (mut merge, roster, dns) = pair();
            for place in order {
                let (of_roster, word) = word(place);
                merge.hear(0.0, if of_roster { roster } else { dns }, word);
            }
            listed(&merge)
        };
        prop_assert_eq!(play(order), play([0, 1, 2, 3]));
    }
}

#[test]
fn dns_that_dies_for_longer_than_every_lifetime_drops_nobody() {
    let (mut merge, roster, dns) = pair();
    let mut mirror = Mirror::default();
    mirror.told(merge.hear(
        0.0,
        roster,
        Word::Whole(vec![rostered(1, Condition::Ready)]),
    ));
    all_answer(&mut merge, &mut mirror, 0.0, dns, &[1, 2, 3]);
    assert_eq!(mirror.0.len(), 3);
    for second in 1..600 {
        let now = f64::from(second) * 1000.0;
        mirror.told(merge.hear(now, dns, Word::Failed));
        mirror.told(merge.tick(now));
    }
    assert_eq!((mirror.0.len(), merge.next_at()), (3, None));
}

#[test]
fn dns_that_flaps_each_lifetime_drops_nobody() {
    let (mut merge, roster, dns) = pair();
    let mut mirror = Mirror::default();
    mirror.told(merge.hear(
        0.0,
        roster,
        Word::Whole(vec![rostered(1, Condition::Ready)]),
    ));
    for round in 0..100 {
        // Denied by every server, then listed again, then not to be had.
        let now = f64::from(round) * LIFETIME_MS;
        match round % 3 {
            0 => all_answer(&mut merge, &mut mirror, now, dns, &[1, 2, 3]),
            1 => all_answer(&mut merge, &mut mirror, now, dns, &[]),
            _ => mirror.told(merge.hear(now, dns, Word::Failed)),
        }
        mirror.told(merge.tick(now));
        assert_eq!(mirror.0.len(), 3, "{round}");
    }
}

#[test]
fn one_server_of_three_that_lies_with_an_empty_answer_drops_nobody() {
    let (mut merge, _, dns) = pair();
    let mut mirror = Mirror::default();
    for second in 0..120 {
        let now = f64::from(second) * 1000.0;
        for server in 0..3 {
            let members = if server == 1 {
                Vec::new()
            } else {
                vec![resolved(1), resolved(2)]
            };
            mirror.told(merge.hear(now, dns, answer(server, members)));
        }
        mirror.told(merge.tick(now));
        assert_eq!(mirror.0.len(), 2, "{second}");
    }
}

#[test]
fn an_absence_that_every_server_confirms_drops_at_a_pace_and_never_the_last_of_a_zone() {
    let (mut merge, _, dns) = pair();
    let mut mirror = Mirror::default();
    all_answer(&mut merge, &mut mirror, 0.0, dns, &[1, 2, 3, 4, 5, 6, 7, 8]);
    let mut sizes = Vec::new();
    for second in 1..120 {
        let now = f64::from(second) * 1000.0;
        all_answer(&mut merge, &mut mirror, now, dns, &[]);
        mirror.told(merge.tick(now));
        sizes.push(mirror.0.len());
    }
    // Nobody within three lifetimes of 2 s, then two a lifetime at the most.
    assert!(sizes[..6].iter().all(|size| *size == 8), "{sizes:?}");
    assert!(
        sizes.windows(2).all(|pair| pair[0] - pair[1] <= 2),
        "{sizes:?}"
    );
    let zones: BTreeSet<Arc<str>> = mirror
        .0
        .values()
        .map(|member| member.zone.clone())
        .collect();
    assert_eq!((mirror.0.len(), zones.len()), (2, 2), "one of each zone");
    assert!(merge.snapshot().counts.spared > 0);
}

#[test]
fn what_dns_lacks_and_the_roster_lists_stays_and_is_shown_for_as_long() {
    let (mut merge, roster, dns) = pair();
    let mut mirror = Mirror::default();
    let both = vec![rostered(1, Condition::Ready), rostered(2, Condition::Ready)];
    mirror.told(merge.hear(0.0, roster, Word::Whole(both)));
    all_answer(&mut merge, &mut mirror, 0.0, dns, &[1, 2]);
    for second in 1..200 {
        let now = f64::from(second) * 1000.0;
        all_answer(&mut merge, &mut mirror, now, dns, &[2]);
        mirror.told(merge.tick(now));
        // Nothing is due at once again and again.
        assert!(merge.next_at().is_none_or(|at| at > now), "{second}");
    }
    assert!(mirror.ready(1));
    let shown = merge.snapshot();
    let [differs] = &shown.disagreements[..] else {
        panic!("{:?}", shown.disagreements);
    };
    assert_eq!((differs.since, shown.counts.confirmed), (1000.0, 0));
    assert_eq!(shown.counts.missing, 1);
}

#[test]
fn what_the_roster_drains_never_comes_back_by_dns() {
    let (mut merge, roster, dns) = pair();
    let mut mirror = Mirror::default();
    let both = vec![rostered(6, Condition::Ready), rostered(7, Condition::Ready)];
    mirror.told(merge.hear(0.0, roster, Word::Whole(both)));
    all_answer(&mut merge, &mut mirror, 0.0, dns, &[6, 7]);
    mirror.told(merge.hear(
        1.0,
        roster,
        Word::Changes(vec![rostered(7, Condition::Draining)]),
    ));
    for round in 0..50 {
        // It drops it and lists it again, on and on; meanwhile the roster lets it go.
        let now = 10.0 + f64::from(round) * 3000.0;
        let numbers: &[u8] = if round % 3 == 0 { &[6] } else { &[6, 7] };
        all_answer(&mut merge, &mut mirror, now, dns, numbers);
        mirror.told(merge.tick(now));
        assert!(!mirror.ready(7) && mirror.ready(6), "{round}");
        if round == 20 {
            let without = vec![rostered(6, Condition::Ready)];
            mirror.told(merge.hear(now, roster, Word::Whole(without)));
        }
    }
    assert!(!mirror.conditions().contains_key(&Some(address(7))));
    let snapshot = merge.snapshot();
    assert_eq!(
        snapshot.disagreements.len(),
        1,
        "{:?}",
        snapshot.disagreements
    );
    // The roster's own newer word brings it back.
    mirror.told(merge.hear(
        1e6,
        roster,
        Word::Changes(vec![rostered(7, Condition::Ready)]),
    ));
    assert!(mirror.ready(7));
}

#[test]
fn what_only_dns_knows_is_cold_from_when_it_was_first_seen() {
    let (mut merge, roster, dns) = pair();
    let mut mirror = Mirror::default();
    all_answer(&mut merge, &mut mirror, 5000.0, dns, &[1]);
    all_answer(&mut merge, &mut mirror, 9000.0, dns, &[1]);
    let only = mirror.0.values().next().unwrap();
    assert_eq!(
        (only.started, only.condition),
        (Some(5000.0), Condition::Ready)
    );
    // The roster knows its start, and has its own name for it: still one worker.
    mirror.told(merge.hear(
        9500.0,
        roster,
        Word::Whole(vec![rostered(1, Condition::Ready)]),
    ));
    assert_eq!(mirror.0.len(), 1, "{:?}", mirror.0);
    assert_eq!(mirror.0.values().next().unwrap().started, Some(0.0));
}

#[test]
fn a_name_whose_address_moved_is_a_new_worker_and_cold() {
    let (mut merge, _, dns) = pair();
    let mut mirror = Mirror::default();
    all_answer(&mut merge, &mut mirror, 0.0, dns, &[1, 3]);
    let moved = Member {
        address: Some(address(9)),
        ..resolved(1)
    };
    for server in 0..3 {
        mirror.told(merge.hear(
            4000.0,
            dns,
            answer(server, vec![moved.clone(), resolved(3)]),
        ));
    }
    let at = |number| {
        let mut members = mirror.0.values();
        members
            .find(|member| member.address == Some(address(number)))
            .and_then(|member| member.started)
    };
    assert_eq!((at(1), at(9)), (Some(0.0), Some(4000.0)));
    mirror.told(merge.tick(4000.0 + 3.0 * LIFETIME_MS));
    assert!(!mirror.conditions().contains_key(&Some(address(1))));
    assert!(mirror.ready(9) && mirror.ready(3));
}

#[test]
fn a_release_while_a_source_is_thirty_seconds_late_loses_no_ready_worker() {
    let (mut merge, roster, dns) = pair();
    let mut mirror = Mirror::default();
    let old: Vec<Member> = (0..10)
        .map(|number| rostered(number, Condition::Ready))
        .collect();
    mirror.told(merge.hear(0.0, roster, Word::Whole(old)));
    let mut truth: BTreeMap<u8, bool> = (0..10).map(|number| (number, true)).collect();
    let mut history: Vec<Vec<u8>> = Vec::new();
    for second in 0..90u32 {
        let now = f64::from(second) * 1000.0;
        // Six in ten are replaced, one every five seconds.
        if second % 5 == 0 && second / 5 < 6 {
            let number = (second / 5) as u8;
            truth.insert(number, false);
            truth.insert(20 + number, true);
            let changes = vec![
                rostered(number, Condition::Gone),
                rostered(20 + number, Condition::Ready),
            ];
            mirror.told(merge.hear(now, roster, Word::Changes(changes)));
        }
        history.push(
            truth
                .iter()
                .filter(|(_, there)| **there)
                .map(|(number, _)| *number)
                .collect(),
        );
        let late = history[second.saturating_sub(30) as usize].clone();
        all_answer(&mut merge, &mut mirror, now, dns, &late);
        mirror.told(merge.tick(now));
        for (number, there) in &truth {
            assert_eq!(
                mirror.ready(*number),
                *there,
                "worker {number} at {second} s"
            );
        }
    }
}

#[test]
fn both_start_empty_and_either_may_come_first() {
    let (mut merge, roster, dns) = pair();
    let mut mirror = Mirror::default();
    mirror.told(merge.hear(0.0, roster, Word::Known(Vec::new())));
    mirror.told(merge.hear(0.0, roster, Word::Failed));
    mirror.told(merge.hear(0.0, dns, Word::Failed));
    assert!(mirror.0.is_empty());
    // The roster is down: DNS serves.
    all_answer(&mut merge, &mut mirror, 1000.0, dns, &[1, 2]);
    assert!(mirror.ready(1) && mirror.ready(2));
    // The roster comes with another view; whom it never knew stays.
    mirror.told(merge.hear(
        2000.0,
        roster,
        Word::Whole(vec![rostered(2, Condition::Draining)]),
    ));
    assert!(mirror.ready(1) && !mirror.ready(2));
}

#[test]
fn a_source_that_is_removed_takes_along_whom_only_it_knew() {
    let (mut merge, roster, dns) = pair();
    let mut mirror = Mirror::default();
    mirror.told(merge.hear(
        0.0,
        roster,
        Word::Whole(vec![rostered(1, Condition::Ready)]),
    ));
    all_answer(&mut merge, &mut mirror, 0.0, dns, &[1, 2]);
    mirror.told(merge.remove(1.0, dns));
    assert!(mirror.ready(1) && !mirror.ready(2));
    assert_eq!(merge.hear(2.0, dns, answer(0, vec![resolved(2)])), None);
}
