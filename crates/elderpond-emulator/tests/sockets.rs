//! The built manager on sockets: a short day with failures and a manager killed in the middle keeps
//! the rules, and goes as the same day does in simulated time.

use std::path::PathBuf;
use std::process::Command;

use elderpond_emulator::policy::Kind;
use elderpond_emulator::{sockets, virtually};
use elderpond_model::Scenario;

/// The built manager. Where tests of this package run alone nobody has built it yet.
fn manager() -> PathBuf {
    let status = Command::new(env!("CARGO"))
        .args([
            "build",
            "--quiet",
            "--locked",
            "--package",
            "elderpond-manager",
        ])
        .status();
    assert!(
        status.is_ok_and(|status| status.success()),
        "elderpond-manager does not build"
    );
    let own = std::env::current_exe().unwrap();
    // target/debug/deps/sockets-... beside target/debug/elderpond-manager.
    let folder = own.parent().and_then(|deps| deps.parent()).unwrap();
    folder.join("elderpond-manager")
}

fn folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn scenario(more: &str) -> Scenario {
    let base = include_str!("../../../scenarios/base.ini");
    let text = format!("[scenario]\nbase = base.ini\n{more}");
    Scenario::parse_over("short.ini", &text, |_| Ok(base.to_owned())).unwrap()
}

#[test]
fn a_short_day_on_sockets_goes_as_in_simulated_time() {
    let scenario = scenario(
        "duration = 10s\n[clients]\nrate = 120\n\
         [trouble errors]\nkind = fast-errors\nat = 2s\nfor = 5s\npart = 15%\nstrength = 0.8\nflap = 2s 1s\n\
         [trouble kill]\nkind = manager-kill\nat = 4s\nfor = 500ms\n",
    );
    let place = (manager(), folder("short-day"));
    let (real, _) = sockets::play(scenario.clone(), 1, place, &mut |_| {}).unwrap();
    assert!(
        real.rules.values().all(|rule| rule.kept),
        "{:?}",
        real.rules
    );
    assert!(
        real.requests.conserved() && real.requests.in_flight == 0,
        "{:?}",
        real.requests
    );
    let (simulated, _) = virtually::play(scenario, 1, Kind::Elderpond, &mut |_| {});
    assert_eq!(real.requests.asked, simulated.requests.asked);
    let (real, simulated) = (real.service.whole, simulated.service.whole);
    // A day this short moves by what a single report decides.
    assert!(
        (real - simulated).abs() < 0.08,
        "{real} on sockets, {simulated} simulated"
    );
}

#[test]
fn a_program_that_is_no_manager_is_said_to_be_none() {
    let scenario = scenario("duration = 2s\n");
    let place = (PathBuf::from("no/such/program"), folder("no-program"));
    let fault = sockets::play(scenario, 1, place, &mut |_| {})
        .err()
        .unwrap();
    assert!(fault.to_string().contains("no/such/program"), "{fault}");
}
