//! The scale run at its smallest: real hives and a real forager beside hollow ones.

use std::collections::BTreeMap;
use std::path::PathBuf;

use argh::FromArgs;
use elderpond_scale::play::{Options, run};

fn options(more: &[&str]) -> Options {
    let program = ["--program", env!("CARGO_BIN_EXE_elderpond")];
    let all = [&program, more].concat();
    Options::from_args(&["scale"], &all).expect("options")
}

#[test]
fn given_a_small_fleet_when_it_is_measured_then_every_part_has_its_figure() {
    let small = [
        "--foragers",
        "12",
        "--real",
        "1",
        "--workers",
        "48",
        "--routes",
        "30",
        "--beat",
        "0.5",
        "--calm",
        "1",
        "--changes",
        "2",
        "--joins",
        "4",
        "--replaces",
        "3",
        "--requests",
        "40",
        "--span",
        "0.6",
    ];
    let rows = run(&options(&small)).expect("a run");
    let figures: BTreeMap<&str, f64> = rows
        .iter()
        .map(|row| (row.measure.as_str(), row.value))
        .collect();
    let exactly = [
        ("workers that a hive lists", 48.0),
        ("lines of a whole table", 48.0),
        ("workers replaced, of those asked for, %", 100.0),
        ("requests without a good answer, %", 0.0),
    ];
    for (measure, value) in exactly {
        assert_eq!(figures.get(measure), Some(&value), "{measure}");
    }
    let above_nothing = [
        "calm: beats a second, all",
        "calm: a forager's pulses, B/s",
        "calm: a forager's reports, B/s",
        "calm: a hive's memory, MB",
        "calm: a real forager's memory, MB",
        "a change: acknowledged, ms, middle",
        "a change: bytes to a forager",
        "a forager starts: bytes to it",
        "a worker replaced: bytes to a forager",
        "a request: through a forager, p99, ms",
        "a hive killed: the next acknowledgement, ms",
        "a hive starts again: settled, a voter, knows all, ms",
    ];
    for measure in above_nothing {
        assert!(figures.get(measure) > Some(&0.0), "{measure}: {figures:?}");
    }
    assert!(
        rows.iter()
            .all(|row| row.size.foragers == 13 && row.size.routes == 30)
    );
}

#[test]
fn given_an_option_out_of_bounds_when_run_then_it_is_named_with_its_bounds() {
    let error = run(&options(&["--workers", "50000"])).expect_err("it ran");
    assert_eq!(
        error.to_string(),
        "--workers 50000: has to be from 8 to 40000"
    );
}

#[test]
fn given_no_program_when_run_then_it_says_so() {
    let mut none = options(&[]);
    none.program = PathBuf::from("/no/such/program");
    let error = run(&none).expect_err("it ran");
    assert!(error.to_string().contains("/no/such/program"), "{error:#}");
}
