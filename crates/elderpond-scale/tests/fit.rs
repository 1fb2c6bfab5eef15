//! The table, and slopes through it.

use elderpond_scale::fit::{Line, Row, Size, Slope, along, parts, read, runs};

fn row(sweep: &str, foragers: u32, measure: &str, value: f64) -> Row {
    let size = Size {
        hives: 3,
        foragers,
        workers: 10 * foragers,
        services: 4,
        routes: 20,
        lines: 5,
    };
    let (sweep, measure) = (sweep.to_owned(), measure.to_owned());
    Row {
        sweep,
        size,
        measure,
        value,
    }
}

#[test]
fn given_rows_when_written_and_read_then_they_are_the_same() {
    let rows = vec![
        row("all", 30, "a hive, MB", 4.25),
        row("all", 100, "a hive, MB", 1e-4),
    ];
    let text: String = rows.iter().map(|row| format!("{row}\n")).collect();
    assert_eq!(read(&format!("# what it is\n\n{text}")), Ok(rows));
}

#[test]
fn given_a_bad_line_when_read_then_line_and_column_are_named() {
    for (text, line, field) in [
        ("all\t3\tmany\t1\t1\t1\t1\tx\t1", 1, "foragers"),
        ("# a\nall\t3\t1\t1\t1\t1\t1\tx\tNaN", 2, "value"),
        ("all\t3\t1\t1\t1\t1\t1\t\t1", 1, "measure"),
        ("all\t3\t1\t1\t1\t1", 1, "lines"),
        ("all\t3\t1\t1\t1\t1\t1\tx", 1, "value"),
    ] {
        let error = read(text).expect_err("it was read");
        assert_eq!((error.line, error.field), (line, field), "{error}");
    }
}

#[test]
fn given_a_power_when_fitted_then_power_and_constant_come_out() {
    let points: Vec<(f64, f64)> = [30.0, 100.0, 300.0, 1000.0]
        .map(|x: f64| (x, 0.5 * x.powf(1.5)))
        .to_vec();
    let slope = Slope::through(&points).expect("a slope");
    assert!((slope.power - 1.5).abs() < 1e-9 && (slope.constant - 0.5).abs() < 1e-9);
    assert!((slope.at(7300.0) / (0.5 * 7300f64.powf(1.5)) - 1.0).abs() < 1e-9);
    assert_eq!(slope.range, (30.0, 1000.0));
    assert!((slope.off - 1.0).abs() < 1e-9);
}

#[test]
fn given_a_point_off_the_slope_when_fitted_then_it_says_by_how_much() {
    let slope = Slope::through(&[(1.0, 1.0), (10.0, 20.0), (100.0, 100.0)]).expect("a slope");
    assert!((slope.power - 1.0).abs() < 1e-9);
    assert!(
        (slope.off - 2f64.powf(2.0 / 3.0)).abs() < 1e-9,
        "{}",
        slope.off
    );
}

#[test]
fn given_nothing_to_fit_when_fitted_then_there_is_no_slope() {
    assert_eq!(Slope::through(&[]), None);
    assert_eq!(Slope::through(&[(5.0, 1.0), (5.0, 2.0)]), None);
    assert_eq!(Slope::through(&[(5.0, 1.0), (6.0, 0.0)]), None);
    assert_eq!(Line::through(&[(5.0, 1.0)]), None);
}

#[test]
fn given_a_fixed_part_when_a_line_is_fitted_then_both_parts_come_out() {
    let line = Line::through(&[(0.0, 3.0), (10.0, 23.0), (20.0, 43.0)]).expect("a line");
    assert!((line.fixed - 3.0).abs() < 1e-9 && (line.each - 2.0).abs() < 1e-9);
    assert!((line.at(100.0) - 203.0).abs() < 1e-9);
}

#[test]
fn given_runs_of_two_sweeps_when_laid_along_an_axis_then_each_size_has_its_spread() {
    let rows = [
        row("all", 30, "ms", 3.0),
        row("all", 30, "ms", 1.0),
        row("all", 30, "ms", 2.0),
        row("all", 100, "ms", 7.0),
        row("other", 30, "ms", 99.0),
    ];
    let ms = &along(&rows, "all", "workers")["ms"];
    assert_eq!(ms.keys().copied().collect::<Vec<_>>(), [300, 1000]);
    let spread = ms[&300];
    assert_eq!(
        (spread.least, spread.middle, spread.most, spread.runs),
        (1.0, 2.0, 3.0, 3)
    );
    assert!(along(&rows, "all", "no such axis").is_empty());
    assert!(along(&rows, "no such sweep", "workers").is_empty());
}

#[test]
fn given_rows_of_runs_one_after_the_other_when_parted_then_each_run_has_its_figures() {
    let rows = [
        row("all", 30, "a", 1.0),
        row("all", 30, "b", 2.0),
        row("all", 30, "a", 3.0),
        row("all", 100, "b", 4.0),
        row("one", 100, "a", 5.0),
    ];
    let runs = runs(&rows);
    let all: Vec<(&str, u32, f64)> = runs
        .iter()
        .map(|run| (run.sweep, run.size.foragers, run.figure("a")))
        .collect();
    assert_eq!(all[..2], [("all", 30, 1.0), ("all", 30, 3.0)]);
    assert!(all[2].2.is_nan() && runs[2].figure("b") == 4.0);
    assert_eq!(all[3], ("one", 100, 5.0));
}

#[test]
fn given_sums_of_parts_when_fitted_then_each_part_comes_out() {
    let value = |a: f64, b: f64| (vec![1.0, a, b], 4.0 + 0.5 * a + 2.0 * b);
    let points = [
        value(0.0, 1.0),
        value(10.0, 0.0),
        value(3.0, 7.0),
        value(100.0, 2.0),
    ];
    let found = parts(&points).expect("parts");
    for (part, expected) in found.iter().zip([4.0, 0.5, 2.0]) {
        assert!((part - expected).abs() < 1e-9, "{found:?}");
    }
}

#[test]
fn given_sizes_that_grow_together_when_fitted_then_they_are_not_told_apart() {
    let points: Vec<(Vec<f64>, f64)> = (1..9)
        .map(|at| (vec![f64::from(at), 2.0 * f64::from(at)], f64::from(at)))
        .collect();
    assert_eq!(parts(&points), None);
    assert_eq!(parts(&[]), None);
}
