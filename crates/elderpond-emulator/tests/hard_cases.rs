//! Hard cases of the world, each caused on purpose.

use std::collections::BTreeMap;

use elderpond::interface::{Action, Event};
use elderpond_emulator::policy::Kind;
use elderpond_emulator::{scenarios, virtually};
use elderpond_model::chronicle::Topic;
use elderpond_model::time::{SECOND, us};
use elderpond_model::{Report, Scenario, Step, World};

/// One class of 10 ms and some workers; `more` is put over it.
fn small(more: &str) -> Scenario {
    let base = "[scenario]\nduration = 10s\nzones = a, b\n[network]\nwithin = 0us\nacross = 0us\n\
        [workers w]\ncount = 1\n[class c]\nwork = fixed 10ms\naim = 500ms\ngive_up = 2s\nrepeat = never\n\
        [clients]\nrate = 20\n[proxies]\ncount = 1\nredial = 100ms\nnotice = 100ms\n\
        [managers]\nlist_late = 100ms\npush = 200ms\npush_max = 500ms\n[rules]\nstart_capacity = 20%\n";
    let text = format!("[scenario]\nbase = base\n{more}");
    Scenario::parse_over("small.ini", &text, |_| Ok(base.to_owned())).unwrap()
}

fn without_manager(scenario: Scenario) -> (Report, World) {
    let mut world = World::new(scenario, 1);
    (world.play(|_, _, _| {}), world)
}

fn by(kind: Kind, scenario: &Scenario, seed: u64) -> (Report, World) {
    virtually::play(scenario.clone(), seed, kind, &mut |_| {})
}

fn keeps_the_rules(report: &Report) {
    assert!(
        report.rules.values().all(|rule| rule.kept),
        "{:?}",
        report.rules
    );
}

#[test]
fn a_cold_worker_falls_over_only_because_several_proxies_together_push_it() {
    let fallen = |proxies: u32| {
        let rate = 20 * proxies;
        let scenario = small(&format!(
            "[clients]\nrate = {rate}\n[proxies]\ncount = {proxies}\n\
             [trouble crash]\nkind = crash\nat = 1s\nfor = 1s\n"
        ));
        without_manager(scenario).0.spent.fallen
    };
    // A fifth of a core, two and a half times that: half a core. Each proxy sends a fifth.
    assert_eq!(fallen(1), 0);
    assert_eq!(fallen(2), 0);
    assert!(fallen(4) > 0);
}

#[test]
fn failures_that_flap_faster_than_readings_lapse_break_no_rule_and_cost_no_more_than_doing_nothing()
{
    let base = include_str!("../../../scenarios/base.ini");
    let flap = "[scenario]\nbase = base\nduration = 45s\n[trouble flap]\nkind = fast-errors\nat = 5s\n\
        for = 35s\npart = 19%\nstrength = 0.9\nflap = 900ms 700ms\n";
    let scenario = Scenario::parse_over("flap.ini", flap, |_| Ok(base.to_owned())).unwrap();
    for seed in 1..4 {
        let (ours, _) = by(Kind::Elderpond, &scenario, seed);
        keeps_the_rules(&ours);
        let (listed, _) = by(Kind::Listed, &scenario, seed);
        let (ours, listed) = (ours.service.service, listed.service.service);
        assert!(ours > listed - 0.02, "seed {seed}: {ours} against {listed}");
    }
}

#[test]
fn a_cut_zone_goes_on_by_the_tables_it_holds_and_joins_again() {
    let base = include_str!("../../../scenarios/base.ini");
    let cut = "[scenario]\nbase = base\nduration = 40s\n[trouble cut]\nkind = cut\nzone = east\n\
        at = 10s\nfor = 12s\n";
    let scenario = Scenario::parse_over("cut.ini", cut, |_| Ok(base.to_owned())).unwrap();
    let (report, world) = by(Kind::Elderpond, &scenario, 2);
    keeps_the_rules(&report);
    // Proxies 2 and 6 stand in the third zone, the manager in the first.
    for proxy in [2, 6] {
        let notes = world.chronicle().notes().iter();
        let notes = notes.filter(|note| note.topic == Topic::Proxy && note.proxy == Some(proxy));
        let times: Vec<(bool, f64)> = notes
            .map(|note| (note.text.contains("joins"), note.at_ms / 1000.0))
            .collect();
        let [(true, first), (false, broke), (true, again)] = times[..] else {
            panic!("proxy {proxy}: {times:?}");
        };
        assert!(
            first < 1.0 && (broke - 10.0).abs() < 0.01 && again > 22.0,
            "{times:?}"
        );
    }
    // A fifth of the traffic stands there and finds a quarter of the fleet: it is not lost.
    let cut = &report.service.seconds[12..22];
    let served = cut.iter().sum::<f64>() / cut.len() as f64;
    assert!((0.6..0.999).contains(&served), "{served}");
}

#[test]
fn a_client_s_retry_that_crosses_the_end_of_the_run_counts_in_its_first_try() {
    let scenario = small(
        "[clients]\nretries = 1\nbackoff = 600ms\n[class c]\npatience = 50%\ngive_up = 4s\n\
         [trouble hang]\nkind = hang\nat = 9s\nfor = 2500ms\n",
    );
    let (report, world) = without_manager(scenario);
    let counts = report.requests;
    assert!(
        report.simulated_ms > 11_500.0 && report.spent.client_retries >= 10,
        "{report:?}"
    );
    assert!(
        counts.conserved() && counts.in_flight == 0 && counts.timed_out == 0,
        "{counts:?}"
    );
    // Tries after the end add nothing to what was asked for.
    assert_eq!(
        report.spent.tries,
        counts.asked + report.spent.client_retries
    );
    assert_eq!(world.counts(), counts);
}

#[test]
fn a_repeat_is_dropped_within_its_window_and_at_its_edge_and_runs_past_it() {
    // Answers are lost; the client asks again a microsecond after it gave its try up.
    let repeats = |patience: &str| {
        let scenario = small(&format!(
            "[class c]\nrepeat = keyed all 300ms\ngive_up = 1s\n\
             patience = {patience}\n[clients]\nretries = 1\nrate = 5\n[workers w]\nqueue = 100\n\
             [trouble lost]\nkind = one-sided\nat = 0s\nfor = 20s\n"
        ));
        let spent = without_manager(scenario).0.spent;
        (
            spent.client_retries,
            spent.dropped_repeats,
            spent.doubled_by_clients,
        )
    };
    for inside in ["0.2", "0.299999"] {
        let (retried, dropped, doubled) = repeats(inside);
        assert!(
            retried > 5 && dropped == retried && doubled == 0,
            "{inside}: {retried} {dropped} {doubled}"
        );
    }
    let (retried, dropped, doubled) = repeats("0.3");
    assert!(
        retried > 5 && dropped == 0 && doubled == retried,
        "{retried} {dropped} {doubled}"
    );
}

#[test]
fn two_managers_that_know_different_lists_keep_the_rules() {
    let base = include_str!("../../../scenarios/base.ini");
    let text = "[scenario]\nbase = base\nduration = 45s\n[managers]\ncount = 2\nlist_late = 100ms..6s\n\
        [trouble release]\nkind = release\nat = 5s\nfor = 20s\npart = 30%\n";
    let scenario = Scenario::parse_over("two.ini", text, |_| Ok(base.to_owned())).unwrap();
    let (report, world) = by(Kind::Elderpond, &scenario, 4);
    keeps_the_rules(&report);
    let mut told: BTreeMap<(usize, bool), BTreeMap<usize, f64>> = BTreeMap::new();
    for note in world
        .chronicle()
        .notes()
        .iter()
        .filter(|note| note.topic == Topic::Told)
    {
        let (Some(manager), Some(worker)) = (note.manager, note.worker) else {
            continue;
        };
        let times = told
            .entry((worker, note.text.contains("draining")))
            .or_default();
        times.entry(manager).or_insert(note.at_ms);
    }
    let apart = |times: &BTreeMap<usize, f64>| Some((times.get(&0)? - times.get(&1)?).abs());
    let apart = told.values().filter_map(apart).fold(0.0, f64::max);
    assert!(apart > 1500.0, "they were at most {apart} ms apart");
}

#[test]
fn a_worker_is_replaced_under_the_same_address_with_a_new_id() {
    let scenario = scenarios::load("rolling-release").unwrap();
    let (report, world) = by(Kind::Elderpond, &scenario, 1);
    keeps_the_rules(&report);
    assert_eq!((scenario.workers(), world.workers()), (22, 35));
    for new in 22..35 {
        let old: Vec<usize> = (0..22)
            .filter(|old| world.address(*old) == world.address(new))
            .collect();
        assert_eq!(old.len(), 1);
        assert!(!world.truth(old[0]).ready && world.truth(new).zone == world.truth(old[0]).zone);
    }
}

/// Plays with a manager that, at 5 s, puts every proxy on a table of this worker alone and asks for
/// an answer. Who has answered, and how busy that worker was, in milliseconds.
fn ordered_at_5s(scenario: Scenario, worker: usize) -> (Vec<u16>, f64) {
    let mut world = World::new(scenario, 1);
    let (mut joined, mut answered, mut ordered) = (Vec::new(), Vec::new(), false);
    loop {
        let step = world.next(5 * SECOND);
        match step {
            Step::Over => break,
            Step::Reached if !ordered => {
                ordered = true;
                let mut orders = vec![Action::set_weight(3, worker as u32, 1.0)];
                orders.extend(joined.iter().map(|proxy| Action::bind(0, 3, *proxy)));
                orders.push(Action::Mark { mark: 9 });
                world.obey(0, &orders);
            }
            Step::Reached => break,
            Step::Batch { events, .. } => {
                for event in events {
                    match event {
                        Event::Joined(proxy) => joined.push(proxy.proxy),
                        Event::Applied { mark: 9, proxy } => answered.push(proxy),
                        _ => {}
                    }
                }
            }
            _ => {}
        }
        if ordered {
            break;
        }
    }
    loop {
        match world.next(u64::MAX) {
            Step::Over => break,
            Step::Batch { events, .. } => {
                for event in events {
                    if let Event::Applied { mark: 9, proxy } = event {
                        answered.push(proxy);
                    }
                }
            }
            _ => {}
        }
    }
    answered.sort_unstable();
    (answered, world.busy_ms(worker))
}

/// Two workers; each proxy starts with a table of one of them.
const PAIR: &str = "[workers w]\ncount = 2\n[proxies]\nstanding = 1\n";

/// The worker that no proxy starts with.
fn unused(scenario: &Scenario) -> usize {
    let (_, mut world) = without_manager(scenario.clone());
    let idle = (0..2).find(|worker| world.busy_ms(*worker) == 0.0);
    idle.expect("one proxy, one line")
}

#[test]
fn an_order_reaches_its_proxies_when_nothing_breaks() {
    let scenario = small(PAIR);
    let worker = unused(&scenario);
    let (answered, busy) = ordered_at_5s(scenario, worker);
    assert_eq!(answered, [0]);
    assert!(busy > 500.0, "{busy}");
}

#[test]
fn a_manager_restarted_in_the_middle_of_an_order_leaves_the_tables_as_they_were() {
    let scenario = small(PAIR);
    let worker = unused(&scenario);
    let killed = "[trouble kill]\nkind = manager-kill\nat = 5050ms\nfor = 500ms\n";
    let (answered, busy) = ordered_at_5s(
        small(&format!("{PAIR}[managers]\npush = 400ms\n{killed}")),
        worker,
    );
    assert_eq!((answered, busy), (vec![], 0.0));
}

#[test]
fn a_stream_broken_in_the_middle_of_a_batch_costs_that_proxy_its_message_only() {
    // The channel carries 20 lines a second and a message has five: they leave 0.25 s apart, and the
    // second proxy's stream breaks while its message waits.
    let text = "[workers w]\ncount = 2\n[proxies]\ncount = 3\n[managers]\nchannel_rate = 20\n\
        queue_cap = 1000\npush = 1ms\npush_max = 1ms\n\
        [trouble cut]\nkind = proxy-cut\nzone = b\nat = 5320ms\nfor = 1s\n";
    let scenario = small(text);
    let (answered, _) = ordered_at_5s(scenario.clone(), 0);
    assert_eq!(answered, [0, 2]);
    let whole = small(&text.replace("at = 5320ms", "at = 9s"));
    assert_eq!(ordered_at_5s(whole, 0).0, [0, 1, 2]);
}

#[test]
fn the_same_run_makes_the_same_report_whatever_runs_beside_it() {
    let scenario = scenarios::load("wednesday").unwrap();
    let report =
        |seed: u64| serde_json::to_string(&by(Kind::Elderpond, &scenario, seed).0).unwrap();
    let alone: Vec<String> = (1..5).map(report).collect();
    let beside: Vec<String> = std::thread::scope(|scope| {
        let threads: Vec<_> = (1..5)
            .map(|seed| scope.spawn(move || report(seed)))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("no run panics"))
            .collect()
    });
    assert_eq!(alone, beside);
    assert_ne!(alone[0], alone[1]);
}

#[test]
fn the_same_requests_come_whoever_decides() {
    let scenario = scenarios::load("wednesday").unwrap();
    let asked = Kind::NAMES.map(|(_, kind)| by(kind, &scenario, 5).0.requests.asked);
    assert!(asked.iter().all(|count| *count == asked[0]), "{asked:?}");
    assert!(asked[0] > 15_000 && us(1.0) == 1000);
}
