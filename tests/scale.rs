//! A thousand proxies and some hundreds of workers: what the channel cannot carry at once.

mod common;

use std::collections::BTreeMap;

use common::*;
use elderpond::interface::*;

const PROXIES: u16 = 1000;
const WORKERS: u32 = 300;
const SOUND: (u32, u32, f64) = (20, 0, 100.0);

/// A site whose whole table takes the channel twenty seconds for all proxies.
fn large() -> Settings {
    Settings {
        proxies: usize::from(PROXIES),
        standing_lines: 8,
        channel_rate: 16_000.0,
        queue_cap: 24_000.0,
        drain_grace_ms: 2800.0,
        ..settings()
    }
}

/// Workers in three zones; every proxy joins in one batch, those of high number the busiest.
fn joined_at_once(set: Settings) -> Bed {
    let mut bed = Bed::new(set);
    bed.list(ListKind::Cached, (1..=WORKERS).map(zoned).collect());
    let join = |proxy: ProxyId| joined_in(proxy % 3, proxy, f64::from(proxy));
    bed.step(100.0, &(0..PROXIES).map(join).collect::<Vec<_>>());
    bed
}

fn zoned(worker: WorkerId) -> Entry {
    entry_in((worker % 3) as ZoneId, worker)
}

fn gone(worker: WorkerId) -> Entry {
    Entry {
        condition: Condition::Gone,
        ..zoned(worker)
    }
}

/// All proxies on the shared table, and the channel idle.
fn settled() -> Bed {
    let mut bed = joined_at_once(large());
    bed.pass(90_000.0);
    assert_eq!(bed.in_use().into_iter().collect::<Vec<_>>(), [0]);
    bed
}

#[test]
fn joiners_are_dealt_hands_at_once_and_moved_on_the_busiest_first() {
    let mut bed = joined_at_once(large());
    let start = bed.now;
    while bed.bound.len() < usize::from(PROXIES) {
        bed.pass(100.0);
        assert!(bed.now - start < 1400.0, "{} bound", bed.bound.len());
    }
    // Few tables that many proxies use, as many each, of workers of the proxy's own zone.
    for table in bed.in_use().into_iter().filter(|table| *table != 0) {
        let users = bed.bound.values().filter(|on| on.contains(&table)).count();
        assert!((20..=40).contains(&users), "{users} on {table}");
    }
    assert!(bed.in_use().len() * 5 < usize::from(PROXIES));
    for (proxy, on) in bed.bound.iter().filter(|(_, on)| !on.contains(&0)) {
        for table in on {
            let zones = bed.tables[table].keys().map(|id| (id % 3) as ZoneId);
            assert!(zones.clone().count() > 0 && zones.clone().all(|zone| zone == proxy % 3));
        }
    }
    bed.pass(10_000.0);
    let moved = |bed: &Bed, proxy| bed.bound[&proxy].contains(&0);
    assert!(moved(&bed, PROXIES - 1) && !moved(&bed, 0));
    bed.pass(80_000.0);
    assert!((0..PROXIES).all(|proxy| moved(&bed, proxy)));
    assert!(bed.longest_queue <= 24_000.0, "{}", bed.longest_queue);
}

#[test]
fn a_small_site_deals_no_hands() {
    let bed = Bed::running(settings(), 12, 10);
    assert_eq!(bed.in_use().into_iter().collect::<Vec<_>>(), [0]);
}

/// From being told until no joined proxy can still send there, the channel's wait and the longest
/// way of a message included.
fn assert_all_told(bed: &mut Bed, workers: std::ops::RangeInclusive<WorkerId>) {
    let told = bed.now;
    while workers.clone().any(|id| bed.is_named(id)) {
        bed.pass(100.0);
        assert!(bed.now - told < 2800.0);
    }
    let set = &bed.settings;
    let waits = bed.queue / set.channel_rate * 1000.0 + set.push_delay_max_ms;
    assert!(
        bed.now - told + waits <= set.drain_grace_ms,
        "{waits} ms after {told}"
    );
    assert!(bed.longest_queue <= set.queue_cap, "{}", bed.longest_queue);
}

#[test]
fn a_mass_drain_that_the_channel_cannot_tell_deals_hands_again() {
    let mut bed = settled();
    // Sixty lines for each of a thousand proxies would take it four seconds.
    let drained = (1..=60).map(|id| Entry {
        condition: Condition::Draining,
        ..zoned(id)
    });
    bed.list(ListKind::Delta, drained.collect());
    assert_all_told(&mut bed, 1..=60);
    assert!(!bed.in_use().contains(&0), "they flee to hands");
    bed.pass(120_000.0);
    assert_eq!(bed.in_use().into_iter().collect::<Vec<_>>(), [0]);
}

#[test]
fn a_mass_drain_with_nothing_but_cold_workers_left_is_told_all_the_same() {
    // No hand can be dealt; the lines go out as fast as the channel allows.
    let mut bed = settled();
    let started = bed.now;
    let entries = (1..=WORKERS).map(|id| match id {
        1..=100 => gone(id),
        _ => Entry {
            started,
            ..zoned(id)
        },
    });
    bed.list(ListKind::Delta, entries.collect());
    bed.pass(30_000.0);
    assert!((1..=100).all(|id| !bed.is_named(id)));
    assert!(bed.longest_queue <= 24_000.0, "{}", bed.longest_queue);
}

#[test]
fn workers_that_go_a_few_at_a_time_are_told_in_time() {
    // Twelve more every 0.8 s: less than the channel carries, and more than half of that.
    let mut set = large();
    (set.proxies, set.standing_lines, set.drain_grace_ms) = (260, 6, 2300.0);
    (set.channel_rate, set.queue_cap) = (7300.0, 10_400.0);
    let mut bed = Bed::new(set);
    bed.list(ListKind::Cached, (1..=WORKERS).map(zoned).collect());
    let join: Vec<Event> = (0..260).map(joined).collect();
    bed.step(100.0, &join);
    bed.pass(90_000.0);
    let mut told: Vec<(WorkerId, f64)> = Vec::new();
    for look in 0..120 {
        if look % 8 == 0 && look < 80 {
            let first = look / 8 * 12;
            bed.list(
                ListKind::Delta,
                (first + 1..=first + 12).map(gone).collect(),
            );
            told.extend((first + 1..=first + 12).map(|id| (id, bed.now)));
        }
        bed.pass(100.0);
        let waits = bed.queue / 7300.0 * 1000.0;
        for (id, at) in &told {
            let late = bed.now - at + waits > 2300.0;
            assert!(!(late && bed.is_named(*id)), "worker {id} told at {at}");
        }
    }
    assert!(bed.longest_queue <= 10_400.0, "{}", bed.longest_queue);
}

#[test]
fn a_drain_of_a_few_takes_nobody_from_the_shared_table() {
    let mut bed = settled();
    bed.list(ListKind::Delta, (1..=5).map(gone).collect());
    assert_all_told(&mut bed, 1..=5);
    assert_eq!(bed.in_use().into_iter().collect::<Vec<_>>(), [0]);
}

#[test]
fn who_holds_a_hand_of_a_lost_zone_gets_another_at_once() {
    let mut bed = joined_at_once(large());
    bed.pass(1400.0);
    let lost: Vec<Entry> = (1..=WORKERS).filter(|id| id % 3 == 1).map(gone).collect();
    bed.list(ListKind::Delta, lost);
    bed.pass(1400.0);
    for on in bed.bound.values() {
        for table in on {
            assert!(bed.tables[table].keys().any(|id| id % 3 != 1));
            assert!(!bed.tables[table].keys().any(|id| id % 3 == 1));
        }
    }
}

fn restarted(worker: WorkerId, started: f64) -> Entry {
    Entry {
        started,
        ..zoned(worker)
    }
}

/// The hand that names a worker.
fn hand_of(bed: &Bed, worker: WorkerId) -> TableId {
    let hand = |(id, lines): &(&TableId, &BTreeMap<WorkerId, f64>)| {
        **id != 0 && lines.contains_key(&worker)
    };
    *bed.tables.iter().find(hand).expect("a hand names it").0
}

/// Left out, its share goes to the few warm ones beside it: where six in ten workers are new these
/// ran full, the new ones at a tenth.
#[test]
fn a_hand_names_cold_workers_beside_warm_ones_for_what_they_can_do() {
    let mut bed = joined_at_once(large());
    bed.pass(1400.0);
    let hand = hand_of(&bed, 7);
    bed.list(ListKind::Delta, vec![restarted(7, bed.now)]);
    bed.pass(1000.0);
    let line = bed.tables[&hand][&7];
    assert!(line > 0.0 && line <= 0.3, "{line}");
}

/// Nobody warm beside them would take what they cannot.
#[test]
fn users_of_a_hand_whose_workers_are_all_new_are_dealt_another() {
    let mut bed = joined_at_once(large());
    bed.pass(1400.0);
    let hand = hand_of(&bed, 7);
    let own: Vec<WorkerId> = bed.tables[&hand].keys().copied().collect();
    let started = bed.now;
    let entries = own.iter().map(|id| restarted(*id, started)).collect();
    bed.list(ListKind::Delta, entries);
    bed.pass(1400.0);
    assert!(bed.bound.values().all(|on| !on.contains(&hand)));
    assert_eq!(bed.bound.len(), usize::from(PROXIES));
}

/// By turns a hand could get the busiest of all rounds; with sixteen users and six workers each,
/// some hands ran full while others idled.
#[test]
fn joiners_are_dealt_the_hand_that_carries_least() {
    let mut bed = Bed::new(large());
    bed.list(ListKind::Cached, (1..=WORKERS).map(zoned).collect());
    // One proxy is as busy as forty others.
    let join = |proxy: ProxyId| joined_in(0, proxy, if proxy == 5 { 40.0 } else { 1.0 });
    bed.step(100.0, &(0..200).map(join).collect::<Vec<_>>());
    bed.pass(1400.0);
    let busy = bed.bound[&5].clone();
    let beside = (0..200).filter(|proxy| *proxy != 5 && bed.bound.get(proxy) == Some(&busy));
    let hands = bed.in_use().into_iter().filter(|table| *table != 0).count();
    assert!(hands > 4, "{hands}");
    assert!(busy.contains(&0) || beside.count() == 0);
}

#[test]
fn falls_to_nothing_go_before_small_changes_whatever_their_number() {
    let mut bed = settled();
    // Two hundred slower workers of low number want a little less; the last ones answer nothing.
    let met = |worker: WorkerId| match worker {
        1..=200 => (20, 6 * (worker % 2), 100.0),
        290..=300 => (20, 20, 0.0),
        _ => SOUND,
    };
    for _ in 0..6 {
        bed.second(met);
    }
    for worker in 290..=300 {
        assert_eq!(bed.weight(worker), 0.0, "worker {worker}");
    }
}

#[test]
fn moves_to_the_shared_table_wait_while_falls_wait() {
    let mut bed = joined_at_once(large());
    bed.pass(30_000.0);
    let on_shared = |bed: &Bed| bed.bound.values().filter(|on| on.contains(&0)).count();
    let failing = 201..=WORKERS;
    let mut looks = 0;
    for _ in 0..6 {
        let met = |id| if id > 200 { (20, 20, 0.0) } else { SOUND };
        let report = (1..=WORKERS).map(|id| (id, met(id)));
        let report = report.map(|(id, met)| heard(id, met.0, met.1, met.2));
        bed.step(0.0, &report.collect::<Vec<_>>());
        for _ in 0..10 {
            let before = on_shared(&bed);
            bed.pass(100.0);
            let out = failing.clone().filter(|id| bed.weight(*id) == 0.0).count();
            if out > 0 && out < failing.clone().count() {
                looks += 1;
                assert_eq!(on_shared(&bed), before, "{out} are out");
            }
        }
    }
    assert!(looks > 5, "{looks}");
    bed.pass(30_000.0);
    assert_eq!(on_shared(&bed), usize::from(PROXIES));
}

#[test]
fn a_second_at_size_costs_orders_by_what_changes_and_not_by_all_that_there_is() {
    let mut bed = settled();
    let mut orders = 0;
    let mut most: f64 = 0.0;
    for _ in 0..10 {
        bed.second(|_| SOUND);
        orders += bed.last.len();
        most = most.max(bed.queue);
    }
    assert!(orders < 100, "{orders} orders while nothing changes");
    assert!(most < 1000.0, "{most} lines while nothing changes");
    let mut lines = 0.0;
    for round in 0..10 {
        // Everything changes all the time: the channel's trusted half is all that is used.
        let before = bed.queue;
        bed.second(|worker| (20, (worker + round) % 15, 100.0));
        lines += (bed.queue - before).max(0.0) + bed.settings.channel_rate;
    }
    assert!(lines / 10.0 <= 1.5 * bed.settings.channel_rate, "{lines}");
    assert!(bed.longest_queue <= 24_000.0, "{}", bed.longest_queue);
}

// ---- Reports that outgrow the intake ----

fn covering(worker: WorkerId, covers_ms: f64, failed: u32) -> Event {
    let load = Vec::new();
    let (zone, tries, took_ms) = (0, 20, 100.0);
    Event::Heard(Heard {
        zone,
        worker,
        tries,
        failed,
        took_ms,
        covers_ms,
        load,
    })
}

#[test]
fn a_line_that_covers_long_speaks_alone_and_counts_longer() {
    // One line a worker every four seconds: no two of them fall within the nominal span.
    for (covers_ms, lowered) in [(8000.0, true), (1000.0, false)] {
        let mut bed = Bed::running(settings(), 8, 2);
        let mut low = false;
        for _ in 0..12 {
            for worker in 1..=8 {
                let failed = if worker == 3 { 14 } else { 0 };
                bed.step(500.0, &[covering(worker, covers_ms, failed)]);
            }
            bed.pass(1000.0);
            low |= bed.weight(3) < 1.0;
        }
        assert_eq!(low, lowered, "lines that cover {covers_ms} ms");
    }
}

// ---- Shortage and faults where load is not reported ----

#[test]
fn failures_beside_answers_in_time_refuse_nobody_where_load_is_not_told() {
    // Most of the fleet fails half of what this manager sends it: a fault, and no lack of capacity.
    let mut bed = Bed::running(settings(), 10, 3);
    for _ in 0..4 {
        bed.second(|_| SOUND);
    }
    for _ in 0..10 {
        let mut events: Vec<Event> = (0..3).map(|proxy| asked(proxy, 0, 60)).collect();
        events.push(asked(0, 1, 20));
        bed.step(0.0, &events);
        bed.second(|worker| if worker <= 7 { (20, 11, 100.0) } else { SOUND });
    }
    assert!(
        bed.levels.values().all(|(level, _)| *level >= 1.0),
        "{:?}",
        bed.levels
    );
    for _ in 0..6 {
        bed.step(0.0, &[asked(0, 0, 180), asked(0, 1, 20)]);
        bed.second(|_| (20, 4, 600.0));
    }
    assert!(
        bed.levels.values().any(|(level, _)| *level < 1.0),
        "late answers are a lack"
    );
}

fn asked(source: ProxyId, class: usize, came: u32) -> Event {
    Event::Demand {
        source,
        class,
        came,
        unanswered: 0,
        covers_ms: 1000.0,
    }
}

#[test]
fn a_slower_worker_is_eased_before_it_is_late_where_load_is_not_told() {
    let mut bed = Bed::running(settings(), 8, 2);
    for _ in 0..6 {
        bed.second(|worker| if worker == 4 { (20, 0, 320.0) } else { SOUND });
    }
    assert!((0.6..1.0).contains(&bed.weight(4)), "{}", bed.weight(4));
    assert_eq!(bed.weight(5), 1.0);
}

// ---- What is long gone ----

#[test]
fn reports_on_the_gone_and_the_never_listed_change_nothing() {
    let mut bed = Bed::running(settings(), 6, 2);
    bed.list(ListKind::Delta, vec![gone(6)]);
    bed.pass(3000.0);
    for _ in 0..6 {
        let strange: Vec<Event> = [6, 77, u32::MAX]
            .map(|id| heard(id, 20, 20, f64::NAN))
            .into();
        bed.step(100.0, &strange);
        assert!(
            !bed.last
                .iter()
                .any(|action| matches!(action, Action::SetWeight { .. }))
        );
        bed.pass(900.0);
    }
    assert!(!bed.probed.iter().any(|id| ![1, 2, 3, 4, 5].contains(id)));
    assert_eq!(bed.tables[&0].len(), 5);
}

/// The shared table came first each second, and its small changes took all that orders which can wait
/// may take: on a day when six in ten workers were replaced, hands did not name the new ones for ten
/// seconds, and nine in ten proxies were on hands.
#[test]
fn a_shared_table_in_unrest_leaves_the_hands_their_turn() {
    let mut set = large();
    set.channel_rate = 6000.0;
    let mut bed = joined_at_once(set);
    bed.pass(6000.0);
    let hands = |bed: &Bed| -> BTreeMap<TableId, BTreeMap<WorkerId, f64>> {
        let used = bed.in_use().into_iter().filter(|table| *table != 0);
        used.map(|table| (table, bed.tables[&table].clone()))
            .collect()
    };
    let before = hands(&bed);
    assert!(
        before.len() > 20 && bed.in_use().contains(&0),
        "{}",
        before.len()
    );
    for round in 0..12 {
        bed.second(|worker| (20, (7 * worker + 5 * round) % 12, 100.0));
    }
    let after = hands(&bed);
    let stands = |(id, lines): &(&TableId, &BTreeMap<WorkerId, f64>)| after.get(id) == Some(lines);
    let (same, all) = (before.iter().filter(stands).count(), before.len());
    assert!(same < all / 3, "{same} of {all} stand as they were");
}
