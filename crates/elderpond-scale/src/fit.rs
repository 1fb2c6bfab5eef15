//! The table of what was measured, and slopes through it. No I/O.

use std::collections::BTreeMap;
use std::fmt;

/// The size at which something was measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size {
    /// Hives.
    pub hives: u32,
    /// Foragers, real and hollow.
    pub foragers: u32,
    /// Workers.
    pub workers: u32,
    /// Services.
    pub services: u32,
    /// Routes.
    pub routes: u32,
    /// Workers that a forager tells of in a report.
    pub lines: u32,
}

/// The names of the sizes, in the order of the table's columns.
pub const AXES: [&str; 6] = [
    "hives", "foragers", "workers", "services", "routes", "lines",
];

impl Size {
    /// By the axis's name.
    pub fn axis(&self, name: &str) -> Option<u32> {
        let at = AXES.iter().position(|axis| *axis == name)?;
        self.all().get(at).copied()
    }

    fn all(&self) -> [u32; 6] {
        [
            self.hives,
            self.foragers,
            self.workers,
            self.services,
            self.routes,
            self.lines,
        ]
    }
}

/// One figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Which sweep it belongs to.
    pub sweep: String,
    /// Where.
    pub size: Size,
    /// What, with its unit.
    pub measure: String,
    /// How much.
    pub value: f64,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}\t", self.sweep)?;
        for count in self.size.all() {
            write!(f, "{count}\t")?;
        }
        write!(f, "{}\t{}", self.measure, self.value)
    }
}

/// What is wrong with a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableError {
    /// The line, from 1.
    pub line: usize,
    /// The column.
    pub field: &'static str,
    /// What stands there.
    pub found: String,
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { line, field, found } = self;
        write!(
            f,
            "line {line}: {field}: {found:?} is no figure, or is missing"
        )
    }
}

impl std::error::Error for TableError {}

/// Reads a table: a row a line, columns apart by tabs; lines that begin with `#` say nothing.
///
/// # Errors
///
/// The first field that can't be read.
pub fn read(text: &str) -> Result<Vec<Row>, TableError> {
    let lines = text.lines().enumerate();
    let lines = lines.filter(|(_, line)| !line.trim().is_empty() && !line.starts_with('#'));
    lines.map(|(at, line)| row(at + 1, line)).collect()
}

fn row(line: usize, text: &str) -> Result<Row, TableError> {
    let mut fields = text.split('\t');
    let mut next = |field: &'static str| {
        let found = fields.next().unwrap_or_default().to_owned();
        (field, found)
    };
    let wrong = |(field, found): (&'static str, String)| TableError { line, field, found };
    let sweep = next("sweep").1;
    let mut counts = [0; 6];
    for (count, axis) in counts.iter_mut().zip(AXES) {
        let field = next(axis);
        *count = field.1.parse().map_err(|_| wrong(field))?;
    }
    let measure = next("measure");
    if measure.1.is_empty() {
        return Err(wrong(measure));
    }
    let value = next("value");
    let Some(figure) = value.1.parse().ok().filter(|it: &f64| it.is_finite()) else {
        return Err(wrong(value));
    };
    let [hives, foragers, workers, services, routes, lines] = counts;
    Ok(Row {
        sweep,
        size: Size {
            hives,
            foragers,
            workers,
            services,
            routes,
            lines,
        },
        measure: measure.1,
        value: figure,
    })
}

/// `value = constant * size ^ power`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slope {
    /// At size 1.
    pub constant: f64,
    /// By least squares on logarithms.
    pub power: f64,
    /// The smallest and the largest size that it rests on.
    pub range: (f64, f64),
    /// The largest factor by which a point lies off it.
    pub off: f64,
}

impl Slope {
    /// Through points of size and value, all above 0; at two sizes at least.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        if points
            .iter()
            .any(|(size, value)| *size <= 0.0 || *value <= 0.0)
        {
            return None;
        }
        let logs: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
        let line = Line::through(&logs)?;
        let sizes = points.iter().map(|point| point.0);
        let off = logs.iter().map(|(x, y)| (y - line.at(*x)).abs());
        Some(Self {
            constant: line.fixed.exp(),
            power: line.each,
            range: (
                sizes.clone().fold(f64::INFINITY, f64::min),
                sizes.fold(0.0, f64::max),
            ),
            off: off.fold(0.0, f64::max).exp(),
        })
    }

    /// Carried to a size.
    pub fn at(&self, size: f64) -> f64 {
        self.constant * size.powf(self.power)
    }
}

/// `value = fixed + each * size`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// At size 0.
    pub fixed: f64,
    /// For each.
    pub each: f64,
}

impl Line {
    /// By least squares; at two sizes at least.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (x, y) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
        let both: f64 = points
            .iter()
            .map(|point| (point.0 - x) * (point.1 - y))
            .sum();
        let each = both / spread;
        let fixed = y - each * x;
        (spread > 0.0 && each.is_finite()).then_some(Self { fixed, each })
    }

    /// Carried to a size.
    pub fn at(&self, size: f64) -> f64 {
        self.fixed + self.each * size
    }
}

/// The figures of several runs at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// The smallest.
    pub least: f64,
    /// The middle one; of two the lower.
    pub middle: f64,
    /// The largest.
    pub most: f64,
    /// How many.
    pub runs: usize,
}

/// By measure and by size along an axis, what a sweep's runs gave.
pub fn along(rows: &[Row], sweep: &str, axis: &str) -> BTreeMap<String, BTreeMap<u32, Spread>> {
    let mut all: BTreeMap<String, BTreeMap<u32, Vec<f64>>> = BTreeMap::new();
    for row in rows.iter().filter(|row| row.sweep == sweep) {
        if let Some(size) = row.size.axis(axis) {
            let measure = all.entry(row.measure.clone()).or_default();
            measure.entry(size).or_default().push(row.value);
        }
    }
    let spread = |mut runs: Vec<f64>| {
        runs.sort_by(f64::total_cmp);
        Spread {
            least: runs[0],
            middle: runs[(runs.len() - 1) / 2],
            most: runs[runs.len() - 1],
            runs: runs.len(),
        }
    };
    let sizes = |sizes: BTreeMap<u32, Vec<f64>>| {
        let spreads = sizes.into_iter().map(|(size, runs)| (size, spread(runs)));
        spreads.collect()
    };
    all.into_iter()
        .map(|(name, of)| (name, sizes(of)))
        .collect()
}

/// A figure with three digits that matter.
pub fn short(value: f64) -> String {
    let digits = match value.abs() {
        100.0.. => 0,
        10.0.. => 1,
        1.0.. => 2,
        0.1.. => 3,
        0.0 => 0,
        _ => 5,
    };
    format!("{value:.digits$}")
}

/// The figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Run<'a> {
    /// The sweep that it belongs to.
    pub sweep: &'a str,
    /// Where.
    pub size: Size,
    figures: BTreeMap<&'a str, f64>,
}

impl Run<'_> {
    /// What it measured; NaN where it did not.
    pub fn figure(&self, measure: &str) -> f64 {
        self.figures.get(measure).copied().unwrap_or(f64::NAN)
    }
}

/// The table by runs: rows that follow each other, of one sweep and size, each measure once.
pub fn runs(rows: &[Row]) -> Vec<Run<'_>> {
    let mut runs: Vec<Run<'_>> = Vec::new();
    for row in rows {
        let same = |run: &Run<'_>| run.sweep == row.sweep && run.size == row.size;
        let fits =
            |run: &&mut Run<'_>| same(run) && !run.figures.contains_key(row.measure.as_str());
        let at = match runs.last_mut().filter(fits) {
            Some(run) => run,
            None => {
                let (sweep, size) = (row.sweep.as_str(), row.size);
                runs.push(Run {
                    sweep,
                    size,
                    ..Run::default()
                });
                let last = runs.len() - 1;
                &mut runs[last]
            }
        };
        at.figures.insert(row.measure.as_str(), row.value);
    }
    runs
}

/// What each unit of several sizes takes, by least squares of relative errors: `value` is about the sum of
/// `sizes` times what comes back. Nothing where the points do not tell them apart.
pub fn parts(points: &[(Vec<f64>, f64)]) -> Option<Vec<f64>> {
    let count = points.first()?.0.len();
    let mut sums = vec![vec![0.0; count + 1]; count];
    for (sizes, value) in points.iter().filter(|point| point.1 > 0.0) {
        for (at, row) in sums.iter_mut().enumerate() {
            for (with, sum) in row.iter_mut().enumerate() {
                let other = sizes.get(with).copied().unwrap_or(*value);
                *sum += sizes[at] * other / (value * value);
            }
        }
    }
    for at in 0..count {
        let size = |row: usize| sums[row][at].abs();
        let largest = (at..count).max_by(|a, b| size(*a).total_cmp(&size(*b)))?;
        if size(largest) < 1e-12 {
            return None;
        }
        sums.swap(at, largest);
        let pivot = sums[at].clone();
        for row in (0..count).filter(|row| *row != at) {
            let by = sums[row][at] / pivot[at];
            for (sum, with) in sums[row].iter_mut().zip(&pivot) {
                *sum -= by * with;
            }
        }
    }
    let parts = sums
        .iter()
        .enumerate()
        .map(|(at, row)| row[count] / row[at]);
    Some(parts.collect())
}
