//! A chart of timeline events: one lane per process, time from left to right, and a line that
//! connects the events of each request.

use std::{collections::BTreeMap, path::Path};

use celerystair_core::hybrid::unix_ms_of;
use plotters::prelude::*;
use thiserror::Error;

use crate::{story::MergedTimeline, timeline::Event};

const WIDTH_PIXELS: u32 = 1600;
const LANE_PIXELS: u32 = 48;
const MARGIN_PIXELS: u32 = 120;
const LABEL_PIXELS: u32 = 140;
/// Each event is labelled with its kind up to this many events; beyond it, only the legend names
/// the kinds.
const LABELLED_EVENTS_MAX: usize = 60;
/// The events of each request are connected up to this many requests.
const CONNECTED_REQUESTS_MAX: usize = 200;

/// A failure to draw or write the chart.
#[derive(Clone, Debug, Error)]
#[error("failed to draw the chart: {detail}")]
pub struct ChartError {
    /// The text of the plotting library's error.
    pub detail: String,
}

#[allow(clippy::needless_pass_by_value)]
fn chart_error(error: impl std::error::Error) -> ChartError {
    ChartError {
        detail: error.to_string(),
    }
}

/// Draws a chart of `timeline` and writes it as SVG to `path`.
pub fn draw(timeline: &MergedTimeline, path: &Path) -> Result<(), ChartError> {
    let mut lanes: BTreeMap<&str, u32> = BTreeMap::new();
    for event in &timeline.events {
        lanes.insert(&event.process, 0);
    }
    for (index, lane) in lanes.values_mut().enumerate() {
        *lane = index as u32;
    }
    let start_unix_ms = timeline
        .events
        .first()
        .map_or(0, |e| unix_ms_of(e.hybrid_time));
    let position = |event: &Event| {
        let since_start_ms = (unix_ms_of(event.hybrid_time) - start_unix_ms) as f64;
        (since_start_ms, f64::from(lanes[event.process.as_str()]))
    };
    let end_ms = timeline
        .events
        .last()
        .map_or(1.0, |event| position(event).0.max(1.0));
    let height = MARGIN_PIXELS + LANE_PIXELS * (lanes.len() as u32 + 1);
    let area = SVGBackend::new(path, (WIDTH_PIXELS, height)).into_drawing_area();
    area.fill(&WHITE).map_err(chart_error)?;
    let names: Vec<&str> = lanes.keys().copied().collect();
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(LABEL_PIXELS)
        .build_cartesian_2d(0.0..end_ms * 1.02, names.len() as f64 - 0.5..-0.5)
        .map_err(chart_error)?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(names.len() * 2 + 1)
        .y_label_formatter(&|lane| lane_label(&names, *lane))
        .x_desc("milliseconds")
        .draw()
        .map_err(chart_error)?;
    let mut requests: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for event in timeline.events.iter().filter(|e| !e.request.is_empty()) {
        requests
            .entry(&event.request)
            .or_default()
            .push(position(event));
    }
    if requests.len() <= CONNECTED_REQUESTS_MAX {
        for points in requests.into_values() {
            let line = LineSeries::new(points, BLACK.mix(0.25));
            chart.draw_series(line).map_err(chart_error)?;
        }
    }
    let mut kinds: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for event in &timeline.events {
        kinds.entry(&event.kind).or_default().push(position(event));
    }
    let is_labelled = timeline.events.len() <= LABELLED_EVENTS_MAX;
    for (index, (kind, points)) in kinds.into_iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        chart
            .draw_series(
                points
                    .iter()
                    .map(|point| Circle::new(*point, 4, colour.filled())),
            )
            .map_err(chart_error)?
            .label(kind)
            .legend(move |(x, y)| Circle::new((x + 8, y), 4, colour.filled()));
        if is_labelled {
            let style = ("sans-serif", 11).into_font().color(&colour);
            let label = |point: &(f64, f64)| Text::new(kind.to_owned(), *point, style.clone());
            chart
                .draw_series(points.iter().map(label))
                .map_err(chart_error)?;
        }
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(chart_error)?;
    area.present().map_err(chart_error)
}

/// Returns the axis label at `lane`: the name of the process on its lane, empty between lanes.
fn lane_label(names: &[&str], lane: f64) -> String {
    let is_on_lane = lane >= 0.0 && (lane - lane.round()).abs() < 0.01;
    let name = names.get(lane.round() as usize).filter(|_| is_on_lane);
    name.map(|name| (*name).to_owned()).unwrap_or_default()
}
