//! Cost against size: plays the fleet at sizes from 9 foragers to 700, counts what crosses between its
//! machines, and prints the table of docs/results.md. `--chart FILE` draws it. `--probe` counts nothing by
//! itself: it does a piece of a forager's work so many times, for `valgrind --tool=callgrind` to count its
//! instructions; the table runs it so where there is a valgrind.

use std::path::Path;
use std::process::Command;

use anyhow::Context;
use elderpond_forage::{Chance, End, Met, Want};
use elderpond_simulator::size::{Row, Size, patches, rows};
use plotters::prelude::*;

/// Foragers, workers, hives: a small site, a grown one, ten times them, and points between.
const SIZES: [(usize, usize, usize); 6] = [
    (9, 29, 3),
    (30, 85, 3),
    (74, 212, 5),
    (160, 500, 5),
    (350, 1_100, 7),
    (700, 2_300, 9),
];

/// Cost of a change and of a request against size.
#[derive(argh::FromArgs)]
struct Arguments {
    /// only so many of the sizes, the smallest first
    #[argh(option, default = "SIZES.len()")]
    sizes: usize,
    /// draw the chart (SVG) there
    #[argh(option)]
    chart: Option<String>,
    /// a piece of work: pick, report, or memory
    #[argh(option)]
    probe: Option<String>,
    /// workers known, for a probe
    #[argh(option, default = "212")]
    workers: usize,
    /// how often, for a probe
    #[argh(option, default = "1000")]
    times: u64,
}

fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    if let Some(probe) = &arguments.probe {
        if probe == "memory" {
            let before = resident();
            let all = patches(arguments.workers, 100);
            println!("{}", resident().saturating_sub(before) / all.len() as u64);
            return Ok(());
        }
        work(probe, arguments.workers, arguments.times);
        return Ok(());
    }
    let sizes = &SIZES[..arguments.sizes.clamp(1, SIZES.len())];
    let mut table: Vec<Vec<Row>> = Vec::new();
    for &(foragers, workers, hives) in sizes {
        table.push(rows(Size {
            foragers,
            workers,
            hives,
        }));
    }
    let heads: Vec<String> = sizes
        .iter()
        .map(|(f, w, h)| format!("{f} / {w} / {h}"))
        .collect();
    println!("| foragers / workers / hives | {} |", heads.join(" | "));
    println!("| --- |{}", " --- |".repeat(sizes.len()));
    for case in 0..table[0].len() {
        let cells: Vec<String> = (table.iter().map(|rows| rows[case].cost))
            .map(|cost| match cost.bytes {
                0 => cost.messages.to_string(),
                _ => format!(
                    "{}; {} ({})",
                    cost.messages,
                    short(cost.bytes),
                    short(cost.made)
                ),
            })
            .collect();
        println!("| {} | {} |", table[0][case].case, cells.join(" | "));
    }
    for (name, probe) in [
        ("a pick and its answer, instructions", "pick"),
        ("a report, instructions", "report"),
    ] {
        let cells: Vec<String> = sizes
            .iter()
            .map(|size| instructions(probe, size.1))
            .collect();
        println!("| {name} | {} |", cells.join(" | "));
    }
    let cells: Vec<String> = sizes.iter().map(|size| memory(size.1)).collect();
    println!(
        "| memory of a forager's view of the workers | {} |",
        cells.join(" | ")
    );
    if let Some(file) = &arguments.chart {
        draw(Path::new(file), sizes, &table).context("the chart")?;
    }
    Ok(())
}

fn short(bytes: u64) -> String {
    match bytes {
        0..10_000 => format!("{bytes} B"),
        10_000..10_000_000 => format!("{} kB", bytes / 1_000),
        _ => format!("{} MB", bytes / 1_000_000),
    }
}

// ---- A forager's work ----

fn work(probe: &str, workers: usize, times: u64) {
    let mut patch = patches(workers, 1).remove(0);
    let mut chance = Chance::new(7);
    for time in 0..times {
        let now = 1_000 + time * 40;
        let want = Want {
            service: ["s0", "s1", "s2"][time as usize % 3],
            but: &[],
            away_ms: 50.0,
            left_ms: 1000.0,
            free: false,
            safe: true,
        };
        if let Some(number) = patch.pick(now, &want, &mut chance) {
            patch.sent(now, number);
            let met = Met {
                end: End::Good,
                took_ms: 160.0,
                load: Some((1, 0, 4)),
                bytes: 2_000,
            };
            patch.ended(now + 1, number, met);
        }
        if probe == "report" {
            std::hint::black_box(patch.report(now));
        }
    }
}

/// Instructions of one time, as valgrind counts them; the start is counted twice and taken off.
fn instructions(probe: &str, workers: usize) -> String {
    let count = |times: u64| -> Option<u64> {
        let me = std::env::current_exe().ok()?;
        let run = Command::new("valgrind")
            .args(["--tool=callgrind", "--callgrind-out-file=/dev/null"])
            .arg(me)
            .args(["--probe", probe, "--workers", &workers.to_string()])
            .args(["--times", &times.to_string()])
            .output()
            .ok()?;
        let said = String::from_utf8_lossy(&run.stderr).into_owned();
        let line = said
            .lines()
            .find_map(|line| line.split("Collected : ").nth(1))?;
        line.trim().parse().ok()
    };
    match (count(300), count(1_300)) {
        (Some(few), Some(more)) => (more.saturating_sub(few) / 1_000).to_string(),
        _ => "no valgrind".into(),
    }
}

/// Resident bytes of this process.
fn resident() -> u64 {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = pages
        .split(' ')
        .nth(1)
        .and_then(|it| it.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}

/// Of one forager's view, in a process of its own.
fn memory(workers: usize) -> String {
    let probe = || -> Option<u64> {
        let mut me = Command::new(std::env::current_exe().ok()?);
        me.args(["--probe", "memory", "--workers", &workers.to_string()]);
        let run = me.output().ok()?;
        String::from_utf8_lossy(&run.stdout).trim().parse().ok()
    };
    probe().map_or_else(|| "not seen".into(), short)
}

// ---- Chart ----

/// Bytes that a case needs for each thing that it has to touch, against the smallest size: level or
/// falling is linear.
fn draw(file: &Path, sizes: &[(usize, usize, usize)], table: &[Vec<Row>]) -> anyhow::Result<()> {
    let area = SVGBackend::new(file, (960, 560)).into_drawing_area();
    area.fill(&WHITE)?;
    let last = sizes.last().map_or(1.0, |size| size.0 as f64);
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "Bytes for each thing touched, 9 foragers = 1",
            ("sans-serif", 20),
        )
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d((9.0..last).log_scale(), 0.0..3.2)?;
    chart
        .configure_mesh()
        .x_desc("foragers")
        .y_desc("ratio")
        .draw()?;
    for case in 0..table[0].len() {
        let each = |rows: &Vec<Row>| rows[case].each();
        let first = each(&table[0]);
        let points: Vec<(f64, f64)> = (sizes.iter().zip(table))
            .map(|(size, rows)| (size.0 as f64, each(rows) / first))
            .collect();
        let color = Palette99::pick(case).to_rgba();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(table[0][case].case)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .label_font(("sans-serif", 11))
        .background_style(WHITE.mix(0.85))
        .draw()?;
    area.present()?;
    Ok(())
}
