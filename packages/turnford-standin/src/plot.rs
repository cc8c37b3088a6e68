//! Plots of load reports as SVG.

use std::path::Path;

use plotters::prelude::*;

use crate::LoadReport;

/// Size of the plot in pixels.
const SIZE: (u32, u32) = (900, 400);

/// Draws started (red) and attained (blue) requests by the second of their start. The vertical axis
/// ranges from 0 to one above the largest number of requests started in a second.
///
/// # Errors
///
/// Returns the drawing library's message, for example if the file can't be written.
pub fn draw_report(report: &LoadReport, file: &Path) -> Result<(), String> {
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|error| error.to_string())?;
    let top = report
        .by_second
        .iter()
        .map(|(_, sent)| *sent)
        .max()
        .unwrap_or(1);
    let seconds = report.by_second.len();
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0..seconds, 0..top + 1)
        .map_err(|error| error.to_string())?;
    // A plain frame instead of a mesh: labels need an installed font, and the layout of a mesh without
    // labels never terminates.
    chart
        .plotting_area()
        .draw(&Rectangle::new([(0, 0), (seconds, top + 1)], BLACK))
        .map_err(|error| error.to_string())?;
    let points = report.by_second.iter().enumerate();
    let sent = points.clone().map(|(second, (_, sent))| (second, *sent));
    let attained = points.map(|(second, (attained, _))| (second, *attained));
    for (line, color) in [
        (sent.collect::<Vec<_>>(), &RED),
        (attained.collect(), &BLUE),
    ] {
        let series = LineSeries::new(line, color);
        chart
            .draw_series(series)
            .map_err(|error| error.to_string())?;
    }
    root.present().map_err(|error| error.to_string())
}
