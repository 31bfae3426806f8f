//! Linear regressions over the tables of [`crate::scale`] and [`crate::measure`], as a table of slopes and as
//! charts.

use std::fmt::Write as _;
use std::path::Path;

use crate::charts::{ChartError, Labels, Series, draw};
use crate::fit::Fit;
use crate::tables::{Row, format_value};

/// How a size maps to the x axis.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum XScale {
    /// The size itself.
    Size,
    /// Logarithm of the size to base 2.
    Log2,
}

impl XScale {
    fn apply(self, size: f64) -> f64 {
        match self {
            XScale::Size => size,
            XScale::Log2 => size.log2(),
        }
    }
}

/// A chart, with a line fitted to each of its series.
struct Plot {
    file: &'static str,
    title: &'static str,
    x_scale: XScale,
    x: &'static str,
    y: &'static str,
    /// Series as (name, phase, figure); a name that ends with [`WORST_SUFFIX`] selects the largest value of a
    /// row.
    lines: &'static [(&'static str, &'static str, &'static str)],
    limit: Option<f64>,
}

/// Suffix of series that show the largest value of a row and not the mean.
const WORST_SUFFIX: &str = ", worst";

const PLOTS: &[Plot] = &[
    Plot {
        file: "members-bytes",
        title: "Bytes that a member sends in a second (T = 1 s)",
        x_scale: XScale::Size,
        x: "members",
        y: "bytes/s",
        lines: &[
            ("quiet", "quiet", "bytes out a node and second"),
            ("quiet, worst", "quiet", "bytes out a node and second"),
            ("deaths", "death", "bytes out a node and second"),
            ("zone lost", "zone lost", "bytes out a node and second"),
            ("zone back", "zone back", "bytes out a node and second"),
            ("regions parted", "regions parted", "bytes out a node and second"),
            ("regions joined", "regions joined", "bytes out a node and second"),
        ],
        limit: Some(3_000.0),
    },
    Plot {
        file: "members-busiest",
        title: "Bytes that a member sends in its busiest second (T = 1 s), mean of members",
        x_scale: XScale::Size,
        x: "members",
        y: "bytes",
        lines: &[
            ("quiet", "quiet", "bytes out in the busiest second"),
            ("deaths", "death", "bytes out in the busiest second"),
            ("zone lost", "zone lost", "bytes out in the busiest second"),
            ("zone back", "zone back", "bytes out in the busiest second"),
        ],
        limit: Some(3_000.0),
    },
    Plot {
        file: "members-spread",
        title: "Time until all members know (T = 1 s)",
        x_scale: XScale::Log2,
        x: "log2 of members",
        y: "s",
        lines: &[
            ("news", "news", "all know after (s)"),
            ("news, worst", "news", "all know after (s)"),
            ("a start", "start", "all know after (s)"),
            ("a death", "death", "all know after (s)"),
            ("a zone lost", "zone lost", "all know after (s)"),
            ("a zone back", "zone back", "all know after (s)"),
        ],
        limit: Some(4.0),
    },
    Plot {
        file: "members-cpu",
        title: "Processor time of membership (T = 1 s, quiet)",
        x_scale: XScale::Size,
        x: "members",
        y: "us/s",
        lines: &[
            ("hollow node", "quiet", "processor time a hollow node (us/s)"),
            ("real node", "quiet", "processor time a real node (us/s)"),
        ],
        limit: None,
    },
    Plot {
        file: "members-memory",
        title: "Memory of membership",
        x_scale: XScale::Size,
        x: "members",
        y: "KB",
        lines: &[
            ("hollow node", "quiet", "memory a hollow node (KB)"),
            ("real node", "quiet", "memory a real node (KB)"),
        ],
        limit: None,
    },
    Plot {
        file: "operators-view",
        title: "All members as an operator fetches them from a real node",
        x_scale: XScale::Size,
        x: "members",
        y: "KB",
        lines: &[("the answer", "quiet", "view for operators (KB)")],
        limit: None,
    },
    Plot {
        file: "node-memory",
        title: "Memory of a node with idle connections",
        x_scale: XScale::Size,
        x: "connections",
        y: "KB",
        lines: &[("memory", "idle", "memory (KB)")],
        limit: None,
    },
    Plot {
        file: "node-descriptors",
        title: "Descriptors of a node with idle connections",
        x_scale: XScale::Size,
        x: "connections",
        y: "descriptors",
        lines: &[("descriptors", "idle", "descriptors")],
        limit: None,
    },
    Plot {
        file: "node-idle-cpu",
        title: "Processor time of idle connections",
        x_scale: XScale::Size,
        x: "connections",
        y: "us/s",
        lines: &[("idle", "idle", "processor time (us/s)")],
        limit: None,
    },
    Plot {
        file: "node-setup-cpu",
        title: "Processor time of set-ups",
        x_scale: XScale::Size,
        x: "connections",
        y: "ms",
        lines: &[("set-ups", "idle", "processor time of all set-ups (ms)")],
        limit: None,
    },
    Plot {
        file: "node-lines",
        title: "Processor time of one line to all listeners",
        x_scale: XScale::Size,
        x: "listeners",
        y: "us",
        lines: &[("a round", "lines", "processor time a round (us)")],
        limit: None,
    },
    Plot {
        file: "node-lines-after",
        title: "Time until all listeners have a line",
        x_scale: XScale::Size,
        x: "listeners",
        y: "ms",
        lines: &[
            ("last listener", "lines", "all listeners have it after (ms)"),
            ("last listener, worst", "lines", "all listeners have it after (ms)"),
        ],
        limit: Some(170.0),
    },
    Plot {
        file: "node-placement",
        title: "A placement, by the number of hosts",
        x_scale: XScale::Size,
        x: "hosts",
        y: "us",
        lines: &[
            ("processor time", "placement", "processor time each (us)"),
            ("answered after", "placement", "median answered after (us)"),
        ],
        limit: None,
    },
    Plot {
        file: "node-list",
        title: "A whole list, by the number of hosts",
        x_scale: XScale::Size,
        x: "hosts",
        y: "us",
        lines: &[("processor time", "list", "processor time a whole list (us)")],
        limit: None,
    },
    Plot {
        file: "node-list-after",
        title: "Time until a whole list is taken in",
        x_scale: XScale::Size,
        x: "hosts",
        y: "ms",
        lines: &[("taken in after", "list", "taken in after (ms)")],
        limit: None,
    },
    Plot {
        file: "node-return",
        title: "All clients come back to a node that was restarted",
        x_scale: XScale::Size,
        x: "clients",
        y: "s",
        lines: &[
            ("95% served after", "return of all", "95% served after (s)"),
            ("all served after", "return of all", "all served after (s)"),
        ],
        limit: None,
    },
];

fn points(rows: &[Row], plot: &Plot, line: (&str, &str, &str)) -> Vec<(f64, f64)> {
    let (name, phase, figure) = line;
    let matching = rows.iter().filter(|row| row.phase == phase && row.figure == figure);
    let value = |row: &Row| if name.ends_with(WORST_SUFFIX) { row.worst } else { row.mean };
    let mut points: Vec<(f64, f64)> =
        matching.map(|row| (plot.x_scale.apply(row.size), value(row))).collect();
    points.sort_by(|a, b| a.0.total_cmp(&b.0));
    points
}

/// Formats the slopes of all series that can be fitted as a Markdown table.
pub fn table(rows: &[Row]) -> String {
    let mut text = String::from(
        "| what | unit | over | points | at 0 | slope | its standard error | about the line | explained |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for plot in PLOTS {
        for line in plot.lines {
            let points = points(rows, plot, *line);
            let Some(fit) = Fit::least_squares(&points) else { continue };
            let point_list: Vec<String> =
                points.iter().map(|(x, y)| format!("{}: {}", format_value(*x), format_value(*y))).collect();
            let or_dash = |value: Option<f64>| value.map_or("-".to_owned(), format_value);
            // Writing to a String does not fail.
            let _ = writeln!(
                text,
                "| {}: {} | {} | {} | {} | {} | {} | {} | {} | {} |",
                plot.title,
                line.0,
                plot.y,
                plot.x,
                point_list.join("; "),
                format_value(fit.intercept),
                format_value(fit.slope),
                or_dash(fit.slope_error),
                or_dash(fit.residual_deviation),
                or_dash(fit.r_squared)
            );
        }
    }
    text
}

/// Draws every chart that has points and returns the file names.
///
/// # Errors
///
/// If a chart can't be drawn or written.
pub fn charts(dir: &Path, rows: &[Row]) -> Result<Vec<String>, ChartError> {
    let mut files = Vec::new();
    for plot in PLOTS {
        let series: Vec<Series> = plot
            .lines
            .iter()
            .map(|line| Series { name: line.0.to_owned(), points: points(rows, plot, *line) })
            .filter(|series| !series.points.is_empty())
            .collect();
        if series.is_empty() {
            continue;
        }
        let file = format!("{}.svg", plot.file);
        let labels = Labels { title: plot.title, x: plot.x, y: plot.y };
        draw(&dir.join(&file), labels, &series, plot.limit)?;
        files.push(file);
    }
    Ok(files)
}
