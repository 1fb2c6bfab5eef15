//! `elderpond soak`: a short seeded run, and that bad input starts nothing.

use std::path::PathBuf;
use std::process::Command;

use elderpond_rehearsal::soak::{SoakOptions, soak};
use yare::parameterized;

fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_elderpond"))
}

/// One of the schedules beside these tests.
fn schedule(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/schedules");
    folder.join(format!("{name}.schedule"))
}

fn assert_all_rules_hold(options: &SoakOptions) {
    let report = soak(options).expect("the fleet starts and is played to its end");
    assert!(report.held() && report.sent > 200, "{report}");
    println!("{report}");
}

#[test]
fn a_short_soak_keeps_all_rules() {
    let options = SoakOptions {
        seed: Some(53),
        seconds: 40.0,
        proxies: 4,
        workers: 12,
        rate: 60.0,
        program: Some(program()),
        ..SoakOptions::default()
    };
    assert_all_rules_hold(&options);
}

/// Broke LOST on each of four seeds before the mends of the incident LOST
/// (`docs/incidents/read-and-dropped.md`).
#[test]
fn proxies_that_end_while_they_are_short_of_time_lose_no_request() {
    let options = SoakOptions {
        seed: Some(7),
        seconds: 30.0,
        proxies: 5,
        workers: 12,
        rate: 60.0,
        schedule: Some(schedule("proxies_end_short_of_time")),
        program: Some(program()),
        ..SoakOptions::default()
    };
    assert_all_rules_hold(&options);
}

/// Broke CONFIG when each version went whole to each proxy, and departures waited behind it
/// (`docs/incidents/told-whole.md`).
#[test]
fn changes_of_many_routes_are_in_force_in_time_over_slow_links() {
    let options = SoakOptions {
        seed: Some(5),
        seconds: 23.0,
        proxies: 4,
        workers: 12,
        rate: 60.0,
        idle_routes: 2_000,
        link_mbit: Some(0.4),
        schedule: Some(schedule("changes_of_many_routes")),
        program: Some(program()),
        ..SoakOptions::default()
    };
    assert_all_rules_hold(&options);
}

#[parameterized(
    too_short = { &["--seconds", "1"], "--seconds has to be from 10 to 3600" },
    no_rate = { &["--rate", "0"], "--rate has to be from 1 to 2000" },
    too_few_control_nodes = { &["--control-nodes", "2"], "--control-nodes has to be from 3 to 9" },
    too_many_proxies = { &["--proxies", "101"], "--proxies has to be from 1 to 100" },
    too_many_workers = { &["--workers", "151"], "--workers has to be from 6 to 150" },
    no_link = { &["--link-mbit", "0"], "--link-mbit has to be from 0.1 to 1000" },
    too_many_routes = { &["--idle-routes", "3001"], "--idle-routes has to be from 0 to 3000" },
    no_schedule = { &["--schedule", "/nowhere"], "--schedule /nowhere" },
)]
fn bad_input_is_named_and_starts_nothing(words: &[&str], named: &str) {
    let ended = Command::new(program()).arg("soak").args(words).output();
    let ended = ended.expect("the program runs");
    let said = String::from_utf8_lossy(&ended.stderr);
    assert!(!ended.status.success() && said.contains(named), "{said}");
    assert!(ended.stdout.is_empty(), "nothing was begun");
}
