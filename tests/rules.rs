//! The five rules, each as a scenario through the interface.

mod common;

use common::*;
use std::collections::BTreeMap;

use elderpond::interface::*;

const SOUND: (u32, u32, f64) = (20, 0, 100.0);

fn listed(worker: WorkerId, condition: Condition) -> Entry {
    Entry {
        condition,
        ..entry(worker)
    }
}

fn restarted(worker: WorkerId, started: f64) -> Entry {
    Entry {
        started,
        ..entry(worker)
    }
}

// ---- Rule 1: nobody without a worker ----

#[test]
fn a_joiner_is_bound_at_once_to_a_table_with_lines() {
    let mut bed = Bed::running(settings(), 4, 0);
    bed.step(10.0, &[joined(9)]);
    assert!(bed.bound[&9].contains(&0));
    assert_eq!(bed.tables[&0].len(), 4);
}

#[test]
fn a_manager_without_a_list_binds_nobody_to_an_empty_table() {
    let mut bed = Bed::new(settings());
    bed.step(10.0, &[joined(9)]);
    bed.pass(1000.0);
    assert!(bed.bound.is_empty());
    bed.list(ListKind::Full, vec![entry(1)]);
    assert!(bed.bound[&9].contains(&0));
}

#[test]
fn classes_bound_to_a_zone_get_a_table_of_that_zone() {
    let mut set = settings();
    set.classes[1].home_only = true;
    let mut bed = Bed::new(set);
    bed.list(
        ListKind::Cached,
        vec![entry_in(0, 1), entry_in(1, 2), entry_in(1, 3)],
    );
    bed.step(10.0, &[joined_in(1, 5, 1.0)]);
    bed.pass(200.0);
    // One table of the zone for all classes, the only one that every class of it may use.
    assert_eq!(bed.bound[&5].len(), 1);
    let table = *bed.bound[&5].iter().next().unwrap();
    let named = |bed: &Bed| bed.tables[&table].keys().copied().collect::<Vec<_>>();
    assert_eq!(named(&bed), [2, 3]);
    // All of the zone fail: its own lines stand, whatever other zones have.
    for _ in 0..6 {
        bed.second(|worker| if worker == 1 { SOUND } else { (20, 20, 0.0) });
        assert!(!named(&bed).is_empty());
        assert!(!named(&bed).contains(&1));
    }
}

#[test]
fn a_proxy_of_a_zone_without_workers_follows_its_zone_once_it_has_one() {
    let mut set = settings();
    set.classes[1].home_only = true;
    let mut bed = Bed::new(set);
    bed.list(ListKind::Cached, vec![entry_in(0, 1)]);
    bed.step(10.0, &[joined_in(1, 5, 1.0)]);
    bed.pass(2000.0);
    assert!(bed.is_named(1));
    bed.list(ListKind::Delta, vec![entry_in(1, 2)]);
    bed.pass(1000.0);
    assert!(bed.is_named(2) && !bed.is_named(1));
    let binds = |bed: &Bed| bed.messages[&5].len();
    let before = binds(&bed);
    bed.pass(5000.0);
    assert_eq!(binds(&bed), before);
}

// ---- Rule 2: no effect twice ----

#[test]
fn further_tries_are_ordered_only_where_a_repeat_is_harmless() {
    let keyed = |all| Repeat::Keyed {
        window_ms: 1200.0,
        all,
    };
    let mut set = settings();
    set.classes = vec![
        class(500.0, 1.0, Repeat::ReadLike),
        class(500.0, 1.0, keyed(true)),
        class(500.0, 1.0, keyed(false)),
        class(500.0, 1.0, Repeat::Never),
    ];
    let mut bed = Bed::running(set, 6, 2);
    for failed in [0, 5, 0, 20, 0] {
        for _ in 0..6 {
            bed.second(|_| (20, failed, 100.0));
            for bits in [4, 8] {
                let (_, retry) = bed.levels[&bits];
                assert!(matches!(retry, Retry::No | Retry::Proven), "{retry:?}");
            }
            // A third try would leave after the window.
            assert_ne!(bed.levels[&2].1, Retry::Twice);
        }
    }
}

fn sliced(single_owner: bool) -> Settings {
    Settings {
        slices: 8,
        single_owner,
        tenure_ms: 2500.0,
        write_life_ms: 3000.0,
        ..settings()
    }
}

fn charge(bed: &mut Bed, owner: WorkerId) {
    let mut events = Vec::new();
    for slice in 0..8 {
        events.push(Event::Charge { slice, given: true });
        events.push(Event::Stored(Stored {
            slice,
            worker: owner,
            weight: 1.0,
        }));
        let lines = bed.tables.entry(slice).or_default();
        lines.insert(owner, 1.0);
    }
    bed.step(10.0, &events);
}

#[test]
fn a_single_owners_slice_changes_hands_only_when_all_have_let_go() {
    let mut bed = Bed::new(sliced(true));
    bed.list(ListKind::Cached, vec![entry(1), entry(2)]);
    bed.step(0.0, &[joined(0), joined(1)]);
    charge(&mut bed, 1);
    bed.pass(1000.0);
    assert!(bed.tables.values().all(|lines| lines.contains_key(&1)));
    bed.list(ListKind::Delta, vec![listed(1, Condition::Draining)]);
    assert!(bed.tables.values().all(|lines| lines.is_empty()));
    let mark = bed.last.iter().find_map(|action| match action {
        Action::Mark { mark } => Some(*mark),
        _ => None,
    });
    let mark = mark.expect("the withdrawal is marked");
    bed.step(300.0, &[Event::Applied { mark, proxy: 0 }]);
    bed.pass(10_000.0);
    let empty = |bed: &Bed| bed.tables.values().all(|lines| lines.is_empty());
    assert!(empty(&bed), "proxy 1 has not let go");
    bed.step(0.0, &[Event::Applied { mark, proxy: 1 }]);
    bed.pass(2900.0);
    assert!(empty(&bed), "what proxy 1 had sent may still run");
    bed.pass(2000.0);
    assert!(bed.tables.values().all(|lines| lines.contains_key(&2)));
}

#[test]
fn a_single_owners_slice_does_not_wait_for_a_proxy_that_left() {
    let mut bed = Bed::new(sliced(true));
    bed.list(ListKind::Cached, vec![entry(1), entry(2)]);
    bed.step(0.0, &[joined(0)]);
    charge(&mut bed, 1);
    bed.list(ListKind::Delta, vec![listed(1, Condition::Gone)]);
    let left = bed.now;
    bed.step(0.0, &[Event::Left { proxy: 0 }]);
    while bed.tables[&0].is_empty() {
        bed.pass(100.0);
        assert!(bed.now - left < 10_000.0);
    }
    assert!(
        bed.now - left >= 5500.0,
        "its tenure, and what it then sent"
    );
}

/// The emulator's single-owners day: all slices that had lost their workers went to the one that held
/// least, a cold one, and pushed it over.
#[test]
fn slices_that_lose_their_worker_together_are_dealt_out() {
    for single_owner in [false, true] {
        let mut bed = Bed::new(sliced(single_owner));
        let known = (1..=4).map(entry).collect();
        bed.list(ListKind::Cached, known);
        bed.step(0.0, &[]);
        charge(&mut bed, 1);
        bed.list(ListKind::Delta, vec![listed(1, Condition::Gone)]);
        bed.pass(9000.0);
        let mut held: BTreeMap<WorkerId, usize> = BTreeMap::new();
        for lines in bed.tables.values() {
            let owners: Vec<WorkerId> = lines.keys().copied().collect();
            let [owner] = owners[..] else {
                panic!("a slice of {owners:?}");
            };
            *held.entry(owner).or_default() += 1;
        }
        assert_eq!(held.values().sum::<usize>(), 8);
        assert!(held.values().all(|count| *count <= 3), "{held:?}");
    }
}

// ---- Rule 3: drains kept ----

#[test]
fn a_draining_or_vanished_worker_leaves_the_table_at_once() {
    let mut bed = Bed::running(settings(), 6, 3);
    bed.list(ListKind::Delta, vec![listed(2, Condition::Draining)]);
    assert_eq!(bed.weight(2), 0.0);
    bed.list(ListKind::Delta, vec![listed(3, Condition::Gone)]);
    assert_eq!(bed.weight(3), 0.0);
    // A full list that lacks a worker says that it is gone.
    bed.list(ListKind::Full, vec![entry(1), entry(5)]);
    assert_eq!(bed.tables[&0].keys().copied().collect::<Vec<_>>(), [1, 5]);
}

fn assert_drains_within(bed: &mut Bed, worker: WorkerId, span_ms: f64) {
    bed.list(ListKind::Delta, vec![listed(worker, Condition::Draining)]);
    let told = bed.now;
    while bed.weight(worker) > 0.0 {
        bed.pass(100.0);
        assert!(bed.now - told <= span_ms);
    }
}

#[test]
fn a_drain_is_kept_while_the_channel_is_full() {
    let mut set = settings();
    (set.channel_rate, set.queue_cap) = (400.0, 400.0);
    let mut bed = Bed::running(set, 20, 8);
    for round in 0..6 {
        // Changes of every worker, each second, keep the channel busy.
        bed.second(|worker| (20, (worker + round) % 9, 100.0));
    }
    assert_drains_within(&mut bed, 2, 1000.0);
    assert!(bed.longest_queue <= 400.0, "{}", bed.longest_queue);
}

#[test]
fn a_slow_channel_keeps_the_queue_cap_and_the_drain() {
    let mut set = settings();
    (set.channel_rate, set.queue_cap) = (700.0, 700.0);
    let mut bed = Bed::new(set);
    bed.pace = 0.5;
    bed.list(ListKind::Cached, (1..=20).map(entry).collect());
    for proxy in 0..8 {
        bed.step(0.0, &[joined(proxy)]);
    }
    for round in 0..10 {
        bed.second(|worker| (20, (worker + round) % 9, 100.0));
    }
    assert_drains_within(&mut bed, 2, 2000.0);
    assert!(bed.longest_queue <= 700.0, "{}", bed.longest_queue);
}

/// A manager whose orders wait behind seconds of its own older ones steers by what was true then,
/// and goes on until the channel overflows: so it was on a day whose channel ran at a fifth.
#[test]
fn a_channel_at_a_fifth_of_its_rate_is_not_sent_more_than_it_carries() {
    for answers in [true, false] {
        let mut set = settings();
        (set.channel_rate, set.queue_cap) = (700.0, 5600.0);
        let mut bed = Bed::running(set, 20, 40);
        (bed.pace, bed.answers) = (0.2, answers);
        for round in 0..60 {
            bed.second(|worker| (20, (worker + round) % 9, 100.0));
        }
        // Where nobody answers, a tenth of the rate is trusted, and the queue drains.
        assert!(
            bed.queue <= 0.2 * 700.0 * 4.0,
            "{} after a minute",
            bed.queue
        );
        assert!(bed.longest_queue <= 5600.0, "{}", bed.longest_queue);
    }
}

#[test]
fn a_stall_in_which_a_drain_was_told_ends_with_the_drain() {
    // The host stood still: what came meanwhile arrives at once, the drain among much else.
    let mut bed = Bed::running(settings(), 6, 3);
    let mut events: Vec<Event> = (1..=6).map(|worker| heard(worker, 20, 0, 100.0)).collect();
    events.push(Event::Left { proxy: 1 });
    let entries = vec![listed(4, Condition::Draining)];
    let kind = ListKind::Delta;
    events.push(Event::List { kind, entries });
    events.extend((1..=6).map(|worker| heard(worker, 20, 0, 100.0)));
    events.push(joined(1));
    bed.step(1300.0, &events);
    assert_eq!(bed.weight(4), 0.0);
    assert!(bed.bound[&1].contains(&0));
}

#[test]
fn a_proxy_that_comes_from_another_manager_is_bound_at_once() {
    // It holds that manager's tables and withdrawals; only a binding ends them.
    let mut bed = Bed::running(settings(), 6, 3);
    bed.list(ListKind::Delta, vec![listed(2, Condition::Gone)]);
    for _ in 0..3 {
        let proxy = 9;
        let join = Event::Joined(Joined {
            proxy,
            zone: 0,
            rate: 1.0,
            fresh: false,
        });
        bed.step(50.0, &[join]);
        assert!(bed.bound[&9].contains(&0));
        assert!(!bed.tables[&0].contains_key(&2));
        bed.step(500.0, &[Event::Left { proxy }]);
    }
}

#[test]
fn a_drain_is_kept_when_nobody_else_is_ready() {
    let mut bed = Bed::running(settings(), 2, 1);
    let drained = vec![
        listed(1, Condition::Draining),
        listed(2, Condition::Draining),
    ];
    bed.list(ListKind::Delta, drained);
    assert!(bed.tables[&0].is_empty());
}

// ---- Rule 4: no cold worker pushed over ----

#[test]
fn a_restart_seen_only_in_the_list_is_cold() {
    let mut bed = Bed::running(settings(), 6, 3);
    let started = bed.now;
    bed.list(ListKind::Delta, vec![restarted(2, started)]);
    assert!(bed.weight(2) <= 0.2, "{}", bed.weight(2));
    let mut last = bed.weight(2);
    for _ in 0..12 {
        bed.second(|_| SOUND);
        let grown = 0.2 + 0.8 * (bed.now - started) / 10_000.0;
        assert!(bed.weight(2) >= last && bed.weight(2) <= grown.min(1.0));
        last = bed.weight(2);
    }
    assert_eq!(last, 1.0);
}

#[test]
fn a_worker_that_restarts_twice_is_cold_twice() {
    let mut bed = Bed::running(settings(), 6, 3);
    let first = bed.now;
    bed.list(ListKind::Delta, vec![restarted(2, first)]);
    bed.pass(7000.0);
    let second = bed.now;
    bed.list(ListKind::Delta, vec![restarted(2, second)]);
    assert!(bed.weight(2) <= 0.2, "{}", bed.weight(2));
}

#[test]
fn a_manager_that_dies_while_a_worker_is_cold_starts_over_with_it_cold() {
    let now = 100_000.0;
    let mut bed = Bed::new(settings());
    bed.now = now;
    let list = vec![entry(1), entry(2), restarted(3, now - 2000.0)];
    bed.list(ListKind::Cached, list);
    bed.step(100.0, &[joined(0)]);
    assert!(
        bed.weight(3) > 0.0 && bed.weight(3) <= 0.36,
        "{}",
        bed.weight(3)
    );
}

#[test]
fn a_cold_worker_gets_less_when_more_than_usual_comes() {
    let mut bed = Bed::running(settings(), 6, 3);
    for _ in 0..6 {
        bed.second(|_| SOUND);
    }
    bed.list(ListKind::Delta, vec![restarted(2, bed.now)]);
    for _ in 0..3 {
        // Clients ask again for what is turned away: three times the tries, no more answers.
        bed.second(|_| (60, 40, 400.0));
    }
    assert!(bed.weight(2) <= 0.25, "{}", bed.weight(2));
}

#[test]
fn a_cold_worker_leaves_the_table_in_a_jam_where_proxies_eject() {
    // A proxy that avoids one failing worker after another sends all it has to a new one.
    for (ejects, tip_multiple, stays) in [(5, 2.5, false), (0, 2.5, true), (5, 4.0, true)] {
        let mut set = settings();
        (set.ejects, set.tip_multiple) = (ejects, tip_multiple);
        let mut bed = Bed::running(set, 6, 3);
        bed.second(|_| SOUND);
        bed.list(ListKind::Delta, vec![restarted(2, bed.now)]);
        for _ in 0..3 {
            bed.second(|worker| {
                if worker == 2 {
                    (2, 0, 100.0)
                } else {
                    (60, 40, 900.0)
                }
            });
        }
        assert_eq!(bed.weight(2) > 0.0, stays, "ejects {ejects}");
        assert_eq!(bed.tables[&0].len(), if stays { 6 } else { 5 });
    }
}

#[test]
fn a_manager_that_starts_over_lets_no_cold_worker_in_before_it_knows_the_fleet() {
    // It may start over in the midst of a jam, with every other worker avoided by its proxies.
    let mut set = settings();
    (set.ejects, set.tip_multiple) = (5, 2.5);
    let mut bed = Bed::new(set);
    let started = bed.now - 2000.0;
    let list = vec![entry(1), entry(2), restarted(3, started)];
    bed.list(ListKind::Cached, list);
    bed.step(100.0, &[joined(0)]);
    bed.pass(1500.0);
    assert_eq!(bed.weight(3), 0.0);
    bed.second(|worker| if worker == 3 { (0, 0, 0.0) } else { SOUND });
    assert!(bed.weight(3) > 0.0);
}

#[test]
fn where_proxies_eject_a_cold_worker_waits_until_it_could_bear_its_share() {
    // Between two reports a jam can begin and send it all at once.
    let mut set = settings();
    (set.ejects, set.tip_multiple) = (5, 2.5);
    let mut bed = Bed::running(set, 6, 3);
    bed.second(|_| SOUND);
    let started = bed.now;
    bed.list(ListKind::Delta, vec![restarted(2, started)]);
    while bed.weight(2) == 0.0 {
        bed.second(|_| SOUND);
        assert!(bed.now - started < 6000.0);
    }
    let grown = 0.2 + 0.8 * (bed.now - started) / 10_000.0;
    assert!(grown * 2.5 >= 1.0, "{grown}");
}

#[test]
fn all_workers_cold_at_once_still_serve() {
    let mut bed = Bed::running(settings(), 4, 3);
    let started = bed.now;
    bed.list(
        ListKind::Full,
        (1..=4).map(|id| restarted(id, started)).collect(),
    );
    bed.pass(500.0);
    assert_eq!(bed.tables[&0].len(), 4);
}

// ---- Rule 5: the queue stays short ----

#[test]
fn a_mass_rejoin_after_a_crash_keeps_the_queue_cap() {
    let mut set = settings();
    (set.channel_rate, set.queue_cap) = (700.0, 700.0);
    let mut bed = Bed::new(set);
    bed.list(ListKind::Cached, (1..=24).map(entry).collect());
    let all: Vec<Event> = (0..40).map(joined).collect();
    bed.step(100.0, &all);
    let start = bed.now;
    while bed.bound.len() < 40 {
        bed.pass(100.0);
        assert!(bed.now - start < 5000.0, "{} bound", bed.bound.len());
    }
    assert!(bed.longest_queue <= 700.0, "{}", bed.longest_queue);
}

#[test]
fn the_message_cap_holds_when_everything_changes_all_the_time() {
    let mut set = settings();
    set.update_cap = 8;
    let mut bed = Bed::running(set, 10, 4);
    for round in 0..40 {
        bed.second(|worker| (20, (worker + round) % 15, 100.0));
        bed.list(ListKind::Delta, vec![restarted(1 + round % 10, bed.now)]);
    }
    for times in bed.messages.values() {
        for (index, first) in times.iter().enumerate() {
            let within = times[index..].iter().filter(|at| *at - first <= 10_000.0);
            assert!(within.count() <= 8);
        }
    }
}

#[test]
fn a_drain_is_kept_under_the_smallest_message_cap() {
    let mut set = settings();
    (set.update_cap, set.update_span_ms) = (2, 10_000.0);
    let mut bed = Bed::running(set, 4, 1);
    bed.pass(15_000.0);
    bed.list(ListKind::Delta, vec![listed(2, Condition::Draining)]);
    bed.list(ListKind::Delta, vec![listed(3, Condition::Draining)]);
    assert_eq!((bed.weight(2), bed.weight(3)), (0.0, 0.0));
}

#[test]
fn a_week_without_work_leaves_nothing_undefined() {
    let mut bed = Bed::running(settings(), 4, 1);
    for _ in 0..200_000 {
        bed.step(1000.0, &[]);
    }
    for _ in 0..3 {
        bed.second(|_| SOUND);
    }
    assert_eq!(bed.tables[&0].len(), 4);
    assert!(
        bed.levels.values().all(|(quota, _)| *quota == 1.0),
        "{:?}",
        bed.levels
    );
    assert!(
        bed.levels
            .values()
            .all(|(_, retry)| *retry == Retry::Proven),
        "{:?}",
        bed.levels
    );
}

// ---- Lists that have to be asked for ----

#[test]
fn a_subscription_is_asked_for_and_asked_for_again_when_it_fails() {
    let mut set = settings();
    (set.subscribe, set.ask_within_ms) = (true, 8000.0);
    let mut bed = Bed::new(set);
    bed.list(ListKind::Cached, vec![entry(1)]);
    assert!(bed.last.contains(&Action::Observe));
    bed.list(ListKind::Failed, Vec::new());
    let failed = bed.now;
    loop {
        bed.step(100.0, &[Event::Timer { token: 0 }]);
        if bed.last.contains(&Action::Observe) {
            break;
        }
        assert!(bed.now - failed < 8000.0);
    }
    bed.list(ListKind::Full, vec![entry(1)]);
    bed.pass(60_000.0);
    assert!(!bed.last.contains(&Action::Observe));
}

#[test]
fn nothing_is_asked_for_where_the_list_is_pushed() {
    let mut bed = Bed::running(settings(), 3, 1);
    bed.step(100.0, &[]);
    assert!(!bed.last.contains(&Action::Observe));
}
