//! The built program, as a small fleet on loopback: calm, and with a hive lost in the middle.

use std::path::PathBuf;

use elderpond_rehearsal::{Options, Report, run};

fn rehearse(lose_hive: bool) -> Report {
    let options = Options {
        seconds: 4.0,
        rate: 100.0,
        lose_hive,
        bad_configuration: !lose_hive,
        seed: Some(1),
        program: Some(PathBuf::from(env!("CARGO_BIN_EXE_elderpond"))),
        ..Options::default()
    };
    run(options).expect("the fleet starts and is played to its end")
}

#[test]
fn a_calm_fleet_serves_and_keeps_the_rules() {
    let report = rehearse(false);
    assert!(report.held() && report.sent > 200, "{report}");
}

#[test]
fn a_lost_hive_is_not_noticed_by_clients() {
    let report = rehearse(true);
    assert!(report.held() && report.success() >= 0.95, "{report}");
}
