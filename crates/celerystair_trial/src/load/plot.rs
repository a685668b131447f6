//! A plot of the time to the first byte: for each load and kind, the quantiles over all callers.

use std::path::Path;

use plotters::prelude::*;
use thiserror::Error;

use super::report::LoadReport;

const SIZE_PIXELS: (u32, u32) = (1000, 600);
/// Number of points of a curve; the last one shows the 99.9% quantile.
const POINTS: u32 = 100;

/// Error when a plot is drawn or written.
#[derive(Clone, Debug, Error)]
#[error("the plot could not be drawn: {detail}")]
pub struct PlotError {
    /// Message of the plotting library.
    pub detail: String,
}

#[allow(clippy::needless_pass_by_value)]
fn plot_error(error: impl std::error::Error) -> PlotError {
    PlotError {
        detail: error.to_string(),
    }
}

/// Plots all loads into an SVG file.
pub fn draw(reports: &[LoadReport], path: &Path) -> Result<(), PlotError> {
    let mut curves = Vec::new();
    for report in reports {
        for (kind, times) in &report.kinds {
            if times.first_byte.0.is_empty() {
                continue;
            }
            let points: Vec<(f64, f64)> = (0..=POINTS)
                .map(|point| f64::from(point) / f64::from(POINTS))
                .map(|share| {
                    (
                        share * 100.0,
                        times.first_byte.at_ms(share.min(0.999)).max(0.1),
                    )
                })
                .collect();
            curves.push((format!("{}: {kind}", report.name), points));
        }
    }
    let slowest_ms = curves
        .iter()
        .flat_map(|(_, points)| points.iter().map(|point| point.1))
        .fold(1.0, f64::max);
    let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE).map_err(plot_error)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..100.0, (0.1..slowest_ms * 1.2).log_scale())
        .map_err(plot_error)?;
    chart
        .configure_mesh()
        .x_desc("callers, %")
        .y_desc("first byte within, ms")
        .draw()
        .map_err(plot_error)?;
    for (number, (name, points)) in curves.into_iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))
            .map_err(plot_error)?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(plot_error)?;
    area.present().map_err(plot_error)
}
