//! `elderpond-scale run` measures at one size, `fit` and `parts` lay slopes through what was measured.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};

use anyhow::Context;
use argh::FromArgs;
use elderpond_scale::fit::{Line, Row, Slope, Spread, along, read, runs, short};
use elderpond_scale::model::COSTS;
use elderpond_scale::{chart, play};

/// What each role costs against size.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Verb {
    Run(play::Options),
    Fit(Fit),
    Parts(Parts),
}

/// what each cost is made of, for a unit of each size that it grows with
#[derive(FromArgs)]
#[argh(subcommand, name = "parts")]
struct Parts {
    /// the table
    #[argh(option)]
    table: PathBuf,
}

/// slopes through a table, and where they lead
#[derive(FromArgs)]
#[argh(subcommand, name = "fit")]
struct Fit {
    /// the table
    #[argh(option)]
    table: PathBuf,
    /// the sweep
    #[argh(option)]
    sweep: String,
    /// along which column
    #[argh(option, default = "\"foragers\".to_owned()")]
    axis: String,
    /// the size that they are carried to; 7300 if not given
    #[argh(option, default = "7300.0")]
    to: f64,
    /// only measures whose names hold this; may be given again
    #[argh(option)]
    only: Vec<String>,
    /// draw a chart (SVG) there
    #[argh(option)]
    chart: Option<PathBuf>,
}

fn main() -> anyhow::Result<()> {
    match argh::from_env::<Arguments>().verb {
        Verb::Run(options) => {
            let rows = play::run(&options)?;
            let text: String = rows.iter().map(|row| format!("{row}\n")).collect();
            match &options.table {
                Some(table) => File::options()
                    .append(true)
                    .create(true)
                    .open(table)?
                    .write_all(text.as_bytes())?,
                None => print!("{text}"),
            }
            Ok(())
        }
        Verb::Fit(fit) => fit.run(),
        Verb::Parts(Parts { table }) => {
            let rows = load(&table)?;
            let runs = runs(&rows);
            println!("| cost | runs; off by | grows with | for each | seen up to |");
            println!("| --- | --- | --- | --- | --- |");
            for cost in &COSTS {
                let parted = cost.part(&runs).context(cost.measure)?;
                let (middle, most) = parted.off;
                let (middle, most) = (middle * 100.0, most * 100.0);
                let head = format!(
                    "| {} | {}; {middle:.0} %, {most:.0} % at most |",
                    cost.measure, parted.runs
                );
                for (at, with) in cost.with.iter().enumerate() {
                    let head = if at == 0 { head.as_str() } else { "| | |" };
                    let (part, most) = (parted.parts[at], short(parted.most[at]));
                    println!("{head} {with} | {part:.3e} | {most} |");
                }
            }
            Ok(())
        }
    }
}

fn load(table: &Path) -> anyhow::Result<Vec<Row>> {
    let text = std::fs::read_to_string(table).with_context(|| table.display().to_string())?;
    Ok(read(&text)?)
}

impl Fit {
    fn run(self) -> anyhow::Result<()> {
        let rows = load(&self.table)?;
        let mut all = along(&rows, &self.sweep, &self.axis);
        if !self.only.is_empty() {
            all.retain(|measure, _| self.only.iter().any(|word| measure.contains(word.as_str())));
        }
        let sizes: Vec<u32> = (all.values().flat_map(|of| of.keys().copied()))
            .collect::<std::collections::BTreeSet<u32>>()
            .into_iter()
            .collect();
        let heads: Vec<String> = sizes.iter().map(u32::to_string).collect();
        let (axis, to) = (&self.axis, self.to);
        let more = "power | by it at | fixed | each | by these at";
        println!("| {axis} | {} | {more} {to} |", heads.join(" | "));
        println!("| --- |{}", " --- |".repeat(sizes.len() + 5));
        let mut drawn = Vec::new();
        for (measure, of) in &all {
            let points: Vec<(f64, f64)> = (of.iter())
                .map(|(size, spread)| (f64::from(*size), spread.middle))
                .collect();
            let cells: Vec<String> = sizes
                .iter()
                .map(|size| of.get(size).map_or_else(String::new, cell))
                .collect();
            let slope = Slope::through(&points);
            let (power, carried) = slope.map_or_else(Default::default, |slope| {
                let power = format!("{:.2} (x{:.2})", slope.power, slope.off);
                (power, short(slope.at(to)))
            });
            let line = Line::through(&points).map_or_else(
                || " |  | ".to_owned(),
                |line| {
                    let carried = short(line.at(to));
                    format!("{} | {:.2e} | {carried}", short(line.fixed), line.each)
                },
            );
            let cells = cells.join(" | ");
            println!("| {measure} | {cells} | {power} | {carried} | {line} |");
            drawn.push((measure.as_str(), points));
        }
        if let Some(file) = &self.chart {
            chart::draw(file, &self.axis, &drawn).context("the chart")?;
        }
        Ok(())
    }
}

/// The middle one, and the others where they differ.
fn cell(spread: &Spread) -> String {
    let Spread {
        least,
        middle,
        most,
        runs,
    } = *spread;
    match runs {
        1 => short(middle),
        _ => format!("{} ({} to {})", short(middle), short(least), short(most)),
    }
}
