//! What each role's cost is made of.

use elderpond_scale::fit::{Row, Size, runs};
use elderpond_scale::model::COSTS;

/// Rows of a run whose figures are sums of known parts.
fn rows(hives: u32, foragers: u32, workers: u32, routes: u32, lines: u32, beat_s: f64) -> Vec<Row> {
    let services = workers / 29;
    let size = Size {
        hives,
        foragers,
        workers,
        services,
        routes,
        lines,
    };
    let (of, routes) = (f64::from(hives), f64::from(routes));
    let (beats, follow) = (f64::from(workers) / beat_s, f64::from(foragers) / of);
    let (own, told, workers) = (beats / of, beats - beats / of, f64::from(workers));
    let reports = follow * f64::from(lines);
    let hive =
        1.0 + 0.007 * own + 0.001 * told + 0.0005 * workers + 0.004 * follow + 0.0002 * reports;
    let forager = 7.0 + 0.0009 * workers + 0.0007 * routes;
    let figures = [
        ("calm: beats a second, all", beats),
        ("calls of workers that failed until then", 0.0),
        ("calm: a hive, % of a core", hive),
        ("calm: a hive's memory, MB", forager + 0.03 * follow),
        ("calm: a real forager's memory, MB", forager),
        ("a forager's memory at its peak, MB", 2.0 * forager),
        (
            "a change: processor time of a real forager, ms",
            1.0 + 0.003 * routes,
        ),
        (
            "a change: processor time of all hives, ms",
            of * (1.0 + 0.01 * routes + 1e-5 * routes * f64::from(services))
                + 0.02 * f64::from(foragers),
        ),
    ];
    let row = |(measure, value): (&str, f64)| Row {
        sweep: "all".to_owned(),
        size,
        measure: measure.to_owned(),
        value,
    };
    figures.into_iter().map(row).collect()
}

#[test]
fn given_runs_made_of_known_parts_when_parted_then_each_part_comes_out() {
    let mut table = Vec::new();
    for (hives, foragers, workers, routes, lines, beat_s) in [
        (3, 30, 300, 100, 20, 1.5),
        (3, 100, 300, 1000, 20, 6.0),
        (5, 100, 5000, 600, 1, 1.5),
        (9, 300, 3000, 600, 200, 1.5),
        (3, 300, 3000, 9000, 50, 6.0),
        (5, 900, 1000, 600, 20, 3.0),
        (3, 900, 9000, 700, 0, 1.5),
    ] {
        table.extend(rows(hives, foragers, workers, routes, lines, beat_s));
    }
    let runs = runs(&table);
    let expected: [&[f64]; 6] = [
        &[1.0, 0.007, 0.001, 0.0005, 0.004, 0.0002],
        &[7.0, 0.0009, 0.03, 0.0007],
        &[7.0, 0.0009, 0.0007],
        &[14.0, 0.0018, 0.0014],
        &[1.0, 0.003],
        &[1.0, 0.01, 1e-5, 0.02],
    ];
    for (cost, expected) in COSTS.iter().zip(expected) {
        let parted = cost.part(&runs).expect("parts");
        assert_eq!((parted.runs, parted.parts.len()), (7, cost.with.len()));
        for (part, expected) in parted.parts.iter().zip(expected) {
            let error = (part / expected - 1.0).abs();
            assert!(error < 1e-6, "{}: {:?}", cost.measure, parted.parts);
        }
    }
}

#[test]
fn given_a_trial_or_beats_that_failed_when_parted_then_the_run_is_left_out() {
    let mut table = rows(3, 30, 300, 100, 20, 1.5);
    table
        .iter_mut()
        .for_each(|row| row.sweep = "trial: all".to_owned());
    let mut failed = rows(3, 60, 600, 100, 20, 1.5);
    failed[1].value = 9.0;
    table.extend(failed);
    assert!(COSTS[2].part(&runs(&table)).is_none());
}
