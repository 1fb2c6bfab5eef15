//! Which control node a proxy follows while some of them are cut off from the others.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::ops::Range;

use elderpond_forage::{Chance, ControlNodeChoice, START_UNVOUCHED_AFTER, Step};

const ZONES: [&str; 5] = ["a", "a", "b", "b", "c"];
/// The first node of each zone.
const SEEDS: [usize; 3] = [0, 2, 4];
/// How long a node vouches after it was cut off (ms).
const LEASE: u64 = 1_200;
const HEARTBEAT: u64 = 400;
const CUT: u64 = 12_000;
/// Within this a change is to be in force on every proxy (ms): the tightest bound of the deployments.
const IN_FORCE: u64 = 2_500;

fn address(node: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, 1 + node as u8)
}

/// Five control nodes, some of which reach only each other from 0 to [`CUT`].
struct Core {
    cut: Vec<usize>,
    /// When each side takes the nodes of the other for dead (ms after the cut).
    noticed: u64,
}

impl Core {
    fn reaches(&self, from: usize, to: usize, now: u64) -> bool {
        !(self.noticed..CUT).contains(&now) || self.cut.contains(&from) == self.cut.contains(&to)
    }

    fn vouches(&self, node: usize, now: u64) -> bool {
        !self.cut.contains(&node) || !(LEASE..CUT).contains(&now)
    }

    fn tells(&self, choice: &mut ControlNodeChoice, node: usize, now: u64) {
        let alive: Vec<_> = (0..ZONES.len())
            .filter(|other| self.reaches(node, *other, now))
            .map(|other| (address(other), ZONES[other].to_owned()))
            .collect();
        choice.heartbeat(now, self.vouches(node, now), &alive);
    }
}

/// The longest time (ms) for which a proxy of `zone` heard nothing of those that were not cut off, where
/// it followed `first` when the cut began.
fn longest_without_news(core: &Core, zone: &str, first: usize, seed: u64) -> u64 {
    let mut chance = Chance::new(seed);
    let mut choice = ControlNodeChoice::new(zone, &SEEDS.map(address));
    choice.connected(0, address(first));
    core.tells(&mut choice, first, 0);
    let (mut news_at, mut longest) = (0, 0);
    let (mut heartbeat_at, mut home_at) = (seed % HEARTBEAT, 1_000);
    for now in 1..CUT {
        if let Step::Dial(dialled) = choice.step(now, &mut chance) {
            choice.connected(now, dialled);
            heartbeat_at = now + 2;
        }
        let followed = (0..ZONES.len()).find(|node| choice.node() == Some(address(*node)));
        if let Some(node) = followed
            && now >= heartbeat_at
        {
            heartbeat_at = now + HEARTBEAT;
            core.tells(&mut choice, node, now);
            if !core.cut.contains(&node) {
                longest = longest.max(now - news_at);
                news_at = now;
            }
        }
        if now >= home_at {
            home_at = now + 1_000;
            if choice.returns_to_zone(now, &mut chance) {
                choice.disconnected(now, &mut chance);
            }
        }
    }
    longest.max(CUT - news_at)
}

#[yare::parameterized(
    soon = { 600 },
    as_usual = { 1_200 },
    late = { 2_400 },
    never = { CUT },
)]
fn proxies_that_followed_nodes_now_cut_off_are_not_late_with_a_change(noticed: u64) {
    let mut late = Vec::new();
    let mut cases = 0;
    for (one, other) in (0..5).flat_map(|one| (0..one).map(move |other| (one, other))) {
        let core = Core {
            cut: vec![one, other],
            noticed,
        };
        for seed in 0..60 {
            let zone = ["a", "b", "c"][seed as usize % 3];
            let first = core.cut[seed as usize / 3 % 2];
            let gap = longest_without_news(&core, zone, first, seed);
            cases += 1;
            if gap > IN_FORCE {
                late.push((gap, core.cut.clone(), zone, seed));
            }
        }
    }
    late.sort_unstable_by(|one, other| other.cmp(one));
    let shown = &late[..late.len().min(5)];
    assert!(
        late.is_empty(),
        "{} of {cases} are late: {shown:?}",
        late.len()
    );
}

#[test]
fn a_short_message_in_pieces_is_no_reason_to_stay_with_a_node_that_does_not_vouch() {
    let mut choice = ControlNodeChoice::new("a", &[address(0)]);
    choice.connected(0, address(0));
    for now in (0..1_500).step_by(100) {
        choice.heard(now);
        choice.message_part(now, 400);
        choice.heartbeat(now, false, &[(address(0), "a".to_owned())]);
    }
    assert!(choice.is_stale(1_500));
}

fn node(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

/// The node that is dialled first in that time.
fn dialled(
    choice: &mut ControlNodeChoice,
    chance: &mut Chance,
    mut times: Range<u64>,
) -> Option<Ipv4Addr> {
    times.find_map(|now| match choice.step(now, chance) {
        Step::Dial(node) => Some(node),
        Step::Stay => None,
    })
}

#[test]
fn a_control_node_that_is_silent_or_alone_is_left() {
    let mut chance = Chance::new(1);
    let mut choice = ControlNodeChoice::new("home", &[node(1), node(2)]);
    let first = dialled(&mut choice, &mut chance, 0..1).expect("somebody has to be dialled");
    choice.connected(5, first);
    let nodes = [(node(1), String::new()), (node(2), String::new())];
    for now in (100..2000).step_by(400) {
        choice.heartbeat(now, true, &nodes);
        assert_eq!(choice.step(now, &mut chance), Step::Stay);
        assert!(choice.is_current(now));
    }
    // it goes on telling, but reaches no majority
    for now in (2100..2600).step_by(100) {
        choice.heartbeat(now, false, &nodes);
        assert_eq!(choice.step(now, &mut chance), Step::Stay);
    }
    assert!(!choice.is_current(2800));
    let mut now = 2600;
    let second = loop {
        if let Step::Dial(node) = choice.step(now, &mut chance) {
            break node;
        }
        now += 20;
        assert!(now < 2800);
    };
    assert_ne!(second, first);
    // once the last vouch has run out, joining one does not make what is known here current
    let now = 2800;
    choice.connected(now, second);
    assert!(!choice.is_current(now));
    choice.heartbeat(now + 100, true, &nodes);
    assert!(choice.is_current(now + 100));
}

#[test]
fn a_control_node_that_is_given_up_is_the_one_that_rests() {
    let mut chance = Chance::new(1);
    let mut choice = ControlNodeChoice::new("home", &[node(1), node(2)]);
    let first = dialled(&mut choice, &mut chance, 0..1).expect("somebody has to be dialled");
    choice.connected(0, first);
    assert!(!choice.is_stale(1000) && choice.is_stale(1100));
    assert_eq!(choice.node(), Some(first), "none is chosen by asking");
    choice.disconnected(1100, &mut chance);
    let next = dialled(&mut choice, &mut chance, 1100..1300);
    assert!(next.is_some_and(|next| next != first));
}

/// Pulses that a process reads once it goes on after a standstill are as old as that.
#[test]
fn given_a_process_that_stood_still_when_it_goes_on_then_its_node_is_stale_before_what_waited_is_read()
 {
    let mut chance = Chance::new(1);
    let mut choice = ControlNodeChoice::new("home", &[node(1)]);
    choice.step(0, &mut chance);
    choice.connected(0, node(1));
    let nodes = [(node(1), String::new())];
    choice.heartbeat(100, true, &nodes);
    assert!(!choice.is_stale(1100) && choice.is_current(1100));
    assert!(choice.is_stale(20_000) && !choice.is_current(20_000));
    assert!(!choice.may_start(1300), "not by a vouch that is old");
}

#[test]
fn given_a_process_with_nothing_when_a_control_node_vouches_then_it_may_begin_and_not_by_one_that_does_not()
 {
    let mut chance = Chance::new(1);
    let mut choice = ControlNodeChoice::new("home", &[node(1), node(2)]);
    let nodes = [(node(1), String::new()), (node(2), String::new())];
    choice.step(0, &mut chance);
    choice.connected(1, node(1));
    choice.heartbeat(2, false, &nodes);
    assert!(!choice.may_start(500));
    choice.disconnected(1200, &mut chance);
    choice.connected(1300, node(2));
    assert!(!choice.may_start(1301));
    choice.heartbeat(1302, true, &nodes);
    assert!(choice.may_start(1303));
    // a vouch of one node is none of the next
    choice.disconnected(2000, &mut chance);
    choice.connected(2100, node(1));
    assert!(!choice.may_start(2101));
}

#[test]
fn given_no_node_that_vouches_when_long_enough_has_passed_then_a_process_begins_with_what_it_was_told()
 {
    let mut chance = Chance::new(1);
    let mut choice = ControlNodeChoice::new("home", &[node(1)]);
    choice.step(500, &mut chance);
    choice.connected(501, node(1));
    choice.heartbeat(502, false, &[(node(1), String::new())]);
    assert!(
        !choice.may_start(500 + START_UNVOUCHED_AFTER - 1)
            && choice.may_start(500 + START_UNVOUCHED_AFTER)
    );
    assert!(
        !choice.is_current(500 + START_UNVOUCHED_AFTER),
        "and does not take it for current"
    );
}

#[test]
fn given_a_long_message_on_a_slow_link_when_it_still_comes_then_the_control_node_is_not_left() {
    let mut chance = Chance::new(1);
    let mut choice = ControlNodeChoice::new("home", &[node(1)]);
    choice.step(0, &mut chance);
    choice.connected(0, node(1));
    for now in (0..8000).step_by(500) {
        assert!(!choice.is_stale(now));
        choice.heard(now);
        choice.message_part(now, 1 << 20);
    }
    assert!(
        !choice.may_start(5000) && !choice.is_current(5000),
        "it has vouched for nothing yet"
    );
    assert!(choice.is_stale(9000), "nor does it once nothing more comes");
}

#[test]
fn given_control_nodes_that_cannot_vouch_when_they_fail_again_then_the_one_that_can_is_dialled_more_often()
 {
    for seed in 0..50 {
        let mut chance = Chance::new(seed);
        let mut choice = ControlNodeChoice::new("home", &[node(1), node(2), node(3)]);
        let nodes = [(node(1), "home"), (node(2), "away"), (node(3), "away")];
        let nodes = nodes.map(|(node, zone)| (node, zone.to_owned()));
        let (mut now, mut dials) = (0, 0);
        loop {
            if let Step::Dial(dialled) = choice.step(now, &mut chance) {
                dials += 1;
                choice.connected(now, dialled);
                choice.heartbeat(now, dialled == node(3), &nodes);
                if dialled == node(3) {
                    break;
                }
            }
            now += 10;
        }
        assert!(dials <= 3 && now <= 4000, "{dials} dials, {now} ms");
    }
}

#[test]
fn a_control_node_of_the_own_zone_is_dialled_first() {
    for seed in 0..20 {
        let mut chance = Chance::new(seed);
        let mut choice = ControlNodeChoice::new("home", &[node(1)]);
        assert_eq!(choice.step(0, &mut chance), Step::Dial(node(1)));
        choice.connected(0, node(1));
        let nodes = [(node(1), "away"), (node(2), "away"), (node(3), "home")];
        let nodes = nodes.map(|(node, zone)| (node, zone.to_owned()));
        choice.heartbeat(10, true, &nodes);
        assert_eq!(choice.return_target(10), Some(node(3)));
        let goes = (0..30).position(|_| choice.returns_to_zone(10, &mut chance));
        assert!(goes.is_some(), "it does not stay with the seed");
        choice.disconnected(20, &mut chance);
        let next = dialled(&mut choice, &mut chance, 20..400);
        assert_eq!(next, Some(node(3)));
    }
}

/// One that was told of 10,000 nodes, each in a list without a vouch.
fn told_of_many(chance: &mut Chance) -> ControlNodeChoice {
    let mut choice = ControlNodeChoice::new("a", &[node(1)]);
    choice.step(0, chance);
    choice.connected(0, node(1));
    for last in 0..10_000_u32 {
        let unknown = Ipv4Addr::from_bits(0x0b00_0000 + last);
        choice.heartbeat(1, false, &[(unknown, "b".to_owned())]);
    }
    choice
}

/// All that are dialled in an hour in which each dial fails.
fn dialled_in_an_hour(choice: &mut ControlNodeChoice, chance: &mut Chance) -> BTreeSet<Ipv4Addr> {
    let times = (1_000..3_600_000).step_by(1_000);
    times
        .filter_map(|now| dialled(choice, chance, now..now + 1))
        .collect()
}

#[test]
fn lists_without_a_vouch_add_nodes_within_a_bound() {
    let mut chance = Chance::new(1);
    let mut choice = told_of_many(&mut chance);
    choice.disconnected(3, &mut chance);
    let known = dialled_in_an_hour(&mut choice, &mut chance).len();
    assert!((200..=256).contains(&known), "{known}");
}

#[test]
fn a_list_with_a_vouch_takes_the_place_of_all_that_came_without() {
    let mut chance = Chance::new(1);
    let mut choice = told_of_many(&mut chance);
    choice.heartbeat(2, true, &[(node(2), "a".to_owned())]);
    choice.disconnected(3, &mut chance);
    let known = dialled_in_an_hour(&mut choice, &mut chance);
    assert_eq!(known, BTreeSet::from([node(1), node(2)]));
}
