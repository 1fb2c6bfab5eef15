//! The built program, as a small fleet on loopback: calm, with a hive lost in the middle, and with
//! every process told to end and started again under load.

use std::path::PathBuf;

use elderpond_rehearsal::{Options, Report, run};

fn rehearse(options: Options) -> Report {
    let options = Options {
        seconds: 4.0,
        rate: 100.0,
        seed: Some(1),
        program: Some(PathBuf::from(env!("CARGO_BIN_EXE_elderpond"))),
        ..options
    };
    run(options).expect("the fleet starts and is played to its end")
}

#[test]
fn a_calm_fleet_serves_and_keeps_the_rules() {
    let report = rehearse(Options {
        bad_configuration: true,
        ..Options::default()
    });
    assert!(report.held() && report.sent > 200, "{report}");
}

#[test]
fn a_lost_hive_is_not_noticed_by_clients() {
    let report = rehearse(Options {
        lose_control_node: true,
        ..Options::default()
    });
    assert!(report.held() && report.success() >= 0.95, "{report}");
}

#[test]
fn a_fleet_whose_every_process_is_told_to_end_under_load_serves_and_loses_nothing() {
    let report = rehearse(Options {
        roll: true,
        ..Options::default()
    });
    assert!(report.held() && report.success() >= 0.95, "{report}");
}
