//! The chart: each measure against size, on logarithms, the smallest size as 1.

use std::path::Path;

use plotters::prelude::*;

/// Draws measures that are above 0 everywhere and seen at three sizes or more.
///
/// # Errors
///
/// The file can't be written.
pub fn draw(file: &Path, axis: &str, measures: &[(&str, Vec<(f64, f64)>)]) -> anyhow::Result<()> {
    let drawn: Vec<(&str, Vec<(f64, f64)>)> = (measures.iter())
        .filter(|(_, points)| points.len() > 2 && points.iter().all(|(_, value)| *value > 0.0))
        .map(|(name, points)| {
            let first = points[0].1;
            let ratios = points.iter().map(|(size, value)| (*size, value / first));
            (*name, ratios.collect())
        })
        .collect();
    let all = || drawn.iter().flat_map(|(_, points)| points.iter());
    let range = |of: fn(&(f64, f64)) -> f64| {
        let least = all().map(of).fold(f64::INFINITY, f64::min);
        let most = all().map(of).fold(0.0, f64::max);
        (least * 0.9)..(most * 1.2).max(least * 2.0)
    };
    anyhow::ensure!(!drawn.is_empty(), "nothing was measured at three sizes");
    let area = SVGBackend::new(file, (1100, 680)).into_drawing_area();
    area.fill(&WHITE)?;
    let (left, right) = area.split_horizontally(640);
    let mut chart = ChartBuilder::on(&left)
        .caption("Against size, the smallest = 1", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(range(|it| it.0).log_scale(), range(|it| it.1).log_scale())?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .bold_line_style(BLACK.mix(0.12))
        .x_desc(axis)
        .y_desc("ratio")
        .draw()?;
    for (at, (name, points)) in drawn.iter().enumerate() {
        let color = HSLColor(at as f64 / drawn.len() as f64, 0.8, 0.42).to_rgba();
        chart.draw_series(LineSeries::new(points.clone(), color.stroke_width(2)))?;
        let y = 30 + 17 * at as i32;
        right.draw(&PathElement::new(
            [(4, y + 6), (24, y + 6)],
            color.stroke_width(3),
        ))?;
        right.draw(&Text::new(*name, (30, y), ("sans-serif", 12)))?;
    }
    area.present()?;
    Ok(())
}
