//! Charts of measured points and the lines through them, as SVG.

use std::io;
use std::path::Path;

use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::{
    ChartBuilder, Circle, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, RED,
    SVGBackend, SeriesLabelPosition, WHITE,
};
use thiserror::Error;

use crate::fit::Fit;

/// Why a chart can't be drawn.
#[derive(Debug, Error)]
pub enum ChartError {
    /// No point lies above 0 on both axes.
    #[error("{file}: nothing to draw")]
    NoPoints {
        /// The chart's path.
        file: String,
    },
    /// The file can't be drawn to or written.
    #[error("{file}: {error}")]
    Drawing {
        /// The chart's path.
        file: String,
        /// Why.
        error: DrawingAreaErrorKind<io::Error>,
    },
}

/// One set of points.
#[derive(Clone, Debug)]
pub struct Series {
    /// What they are.
    pub name: String,
    /// x and y.
    pub points: Vec<(f64, f64)>,
}

/// What a chart says beside its points.
#[derive(Clone, Copy, Debug)]
pub struct Labels<'a> {
    /// Above it.
    pub title: &'a str,
    /// Along x, with the unit.
    pub x: &'a str,
    /// Along y, with the unit.
    pub y: &'a str,
}

/// Draws points, and the line through those of each set that have one; `limit` is drawn across.
///
/// # Errors
///
/// If there is nothing to draw, or the file can't be drawn or written.
pub fn draw(
    path: &Path,
    labels: Labels<'_>,
    series: &[Series],
    limit: Option<f64>,
) -> Result<(), ChartError> {
    let file = || path.display().to_string();
    let all = || series.iter().flat_map(|series| series.points.iter());
    let most_x = all().map(|(x, _)| *x).fold(0.0, f64::max);
    let most_y = all().map(|(_, y)| *y).chain(limit).fold(0.0, f64::max);
    if most_x <= 0.0 || most_y <= 0.0 {
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
        .build_cartesian_2d(0.0..most_x * 1.05, 0.0..most_y * 1.1)
        .map_err(failed)?;
    chart
        .configure_mesh()
        .x_desc(labels.x)
        .y_desc(labels.y)
        .light_line_style(WHITE)
        .draw()
        .map_err(failed)?;
    for (i, one) in series.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let points = one.points.iter().map(|point| Circle::new(*point, 4, color.filled()));
        chart
            .draw_series(points)
            .map_err(failed)?
            .label(&one.name)
            .legend(move |at| Circle::new(at, 4, color.filled()));
        if let Some(fit) = Fit::line(&one.points) {
            let ends = [(0.0, fit.at(0.0).max(0.0)), (most_x, fit.at(most_x).max(0.0))];
            chart.draw_series(LineSeries::new(ends, color.mix(0.5))).map_err(failed)?;
        }
    }
    if let Some(limit) = limit {
        let ends = [(0.0, limit), (most_x * 1.05, limit)];
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
