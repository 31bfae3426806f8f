//! SVG charts of measured points and the lines fitted to them.

use std::io;
use std::path::Path;

use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::{
    ChartBuilder, Circle, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, RED,
    SVGBackend, SeriesLabelPosition, WHITE,
};
use thiserror::Error;

use crate::fit::Fit;

/// Errors of drawing a chart.
#[derive(Debug, Error)]
pub enum ChartError {
    /// No x value is above 0, or no y value and no limit is, so an axis would have no range.
    #[error("drawing {file} failed: no values above 0 on an axis")]
    NoPoints {
        /// Path of the chart.
        file: String,
    },
    /// The chart can't be drawn, or its file can't be written.
    #[error("drawing {file} failed: {error}")]
    Drawing {
        /// Path of the chart.
        file: String,
        /// Cause.
        error: DrawingAreaErrorKind<io::Error>,
    },
}

/// A named set of points.
#[derive(Clone, Debug)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points as (x, y).
    pub points: Vec<(f64, f64)>,
}

/// Title and axis labels of a chart.
#[derive(Clone, Copy, Debug)]
pub struct Labels<'a> {
    /// Title above the chart.
    pub title: &'a str,
    /// Label of the x axis, with the unit.
    pub x: &'a str,
    /// Label of the y axis, with the unit.
    pub y: &'a str,
}

/// Draws the points of each series, the line fitted to them where there is one, and `limit` as a horizontal
/// line.
///
/// # Errors
///
/// If an axis has no values above 0, the chart can't be drawn, or its file can't be written.
pub fn draw(
    path: &Path,
    labels: Labels<'_>,
    series: &[Series],
    limit: Option<f64>,
) -> Result<(), ChartError> {
    let file = || path.display().to_string();
    let all_points = || series.iter().flat_map(|series| series.points.iter());
    let max_x = all_points().map(|(x, _)| *x).fold(0.0, f64::max);
    let max_y = all_points().map(|(_, y)| *y).chain(limit).fold(0.0, f64::max);
    if max_x <= 0.0 || max_y <= 0.0 {
        return Err(ChartError::NoPoints { file: file() });
    }
    let failed = |error| ChartError::Drawing { file: file(), error };
    let area = SVGBackend::new(path, (720, 420)).into_drawing_area();
    area.fill(&WHITE).map_err(failed)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(labels.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..max_x * 1.05, 0.0..max_y * 1.1)
        .map_err(failed)?;
    chart
        .configure_mesh()
        .x_desc(labels.x)
        .y_desc(labels.y)
        .light_line_style(WHITE)
        .draw()
        .map_err(failed)?;
    for (i, set) in series.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let points = set.points.iter().map(|point| Circle::new(*point, 4, color.filled()));
        chart
            .draw_series(points)
            .map_err(failed)?
            .label(&set.name)
            .legend(move |position| Circle::new(position, 4, color.filled()));
        if let Some(fit) = Fit::least_squares(&set.points) {
            let ends = [(0.0, fit.value_at(0.0).max(0.0)), (max_x, fit.value_at(max_x).max(0.0))];
            chart.draw_series(LineSeries::new(ends, color.mix(0.5))).map_err(failed)?;
        }
    }
    if let Some(limit) = limit {
        let ends = [(0.0, limit), (max_x * 1.05, limit)];
        chart
            .draw_series(LineSeries::new(ends, RED.stroke_width(2)))
            .map_err(failed)?
            .label("budget")
            .legend(|(x, y)| PathElement::new([(x - 6, y), (x + 6, y)], RED.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(failed)?;
    area.present().map_err(failed)
}
