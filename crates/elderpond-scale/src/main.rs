//! `elderpond-scale run` measures at one size, `fit` lays slopes through what was measured.

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;

use anyhow::Context;
use argh::FromArgs;
use elderpond_scale::fit::{Slope, Spread, along, read, short};
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
    }
}

impl Fit {
    fn run(self) -> anyhow::Result<()> {
        let text = std::fs::read_to_string(&self.table)
            .with_context(|| self.table.display().to_string())?;
        let rows = read(&text)?;
        let all = along(&rows, &self.sweep, &self.axis);
        let sizes: Vec<u32> = (all.values().flat_map(|of| of.keys().copied()))
            .collect::<std::collections::BTreeSet<u32>>()
            .into_iter()
            .collect();
        let heads: Vec<String> = sizes.iter().map(u32::to_string).collect();
        let (axis, to) = (&self.axis, self.to);
        println!("| {axis} | {} | power | at {to} |", heads.join(" | "));
        println!("| --- |{} --- | --- |", " --- |".repeat(sizes.len()));
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
            println!(
                "| {measure} | {} | {power} | {carried} |",
                cells.join(" | ")
            );
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
