//! Which lines are drawn through the tables of [`crate::scale`] and [`crate::measure`], as a table of slopes and as charts.

use std::fmt::Write as _;
use std::path::Path;

use crate::charts::{ChartError, Labels, Series, draw};
use crate::fit::Fit;
use crate::tables::{Row, short};

/// What x is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Over {
    /// The size.
    Size,
    /// Its logarithm to base 2.
    Log2,
}

impl Over {
    fn of(self, size: f64) -> f64 {
        match self {
            Over::Size => size,
            Over::Log2 => size.log2(),
        }
    }
}

/// One chart, with a line through each of its sets of points.
struct Plot {
    file: &'static str,
    title: &'static str,
    over: Over,
    x: &'static str,
    y: &'static str,
    /// A name, and the phase and figure of the table; the worst where the name ends so.
    lines: &'static [(&'static str, &'static str, &'static str)],
    limit: Option<f64>,
}

/// A name that ends so stands for the worst of all nodes and not for the mean.
const WORST: &str = ", worst";

const PLOTS: &[Plot] = &[
    Plot {
        file: "members-bytes",
        title: "Bytes that a member sends in a second (T = 1 s)",
        over: Over::Size,
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
        over: Over::Size,
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
        over: Over::Log2,
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
        over: Over::Size,
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
        over: Over::Size,
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
        over: Over::Size,
        x: "members",
        y: "KB",
        lines: &[("the answer", "quiet", "view for operators (KB)")],
        limit: None,
    },
    Plot {
        file: "node-memory",
        title: "Memory of a node with idle connections",
        over: Over::Size,
        x: "connections",
        y: "KB",
        lines: &[("memory", "idle", "memory (KB)")],
        limit: None,
    },
    Plot {
        file: "node-descriptors",
        title: "Descriptors of a node with idle connections",
        over: Over::Size,
        x: "connections",
        y: "descriptors",
        lines: &[("descriptors", "idle", "descriptors")],
        limit: None,
    },
    Plot {
        file: "node-idle-cpu",
        title: "Processor time of idle connections",
        over: Over::Size,
        x: "connections",
        y: "us/s",
        lines: &[("idle", "idle", "processor time (us/s)")],
        limit: None,
    },
    Plot {
        file: "node-setup-cpu",
        title: "Processor time of set-ups",
        over: Over::Size,
        x: "connections",
        y: "ms",
        lines: &[("set-ups", "idle", "processor time of all set-ups (ms)")],
        limit: None,
    },
    Plot {
        file: "node-lines",
        title: "Processor time of one line to all listeners",
        over: Over::Size,
        x: "listeners",
        y: "us",
        lines: &[("a round", "lines", "processor time a round (us)")],
        limit: None,
    },
    Plot {
        file: "node-lines-after",
        title: "Time until all listeners have a line",
        over: Over::Size,
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
        over: Over::Size,
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
        over: Over::Size,
        x: "hosts",
        y: "us",
        lines: &[("processor time", "list", "processor time a whole list (us)")],
        limit: None,
    },
    Plot {
        file: "node-list-after",
        title: "Time until a whole list is taken in",
        over: Over::Size,
        x: "hosts",
        y: "ms",
        lines: &[("taken in after", "list", "taken in after (ms)")],
        limit: None,
    },
    Plot {
        file: "node-return",
        title: "All clients come back to a node that was restarted",
        over: Over::Size,
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
    let of = rows.iter().filter(|row| row.phase == phase && row.figure == figure);
    let value = |row: &Row| if name.ends_with(WORST) { row.worst } else { row.mean };
    let mut points: Vec<(f64, f64)> = of.map(|row| (plot.over.of(row.size), value(row))).collect();
    points.sort_by(|a, b| a.0.total_cmp(&b.0));
    points
}

/// The slopes of all lines that have points, as a Markdown table.
pub fn table(rows: &[Row]) -> String {
    let mut text = String::from(
        "| what | unit | over | points | at 0 | slope | its standard error | about the line | explained |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for plot in PLOTS {
        for line in plot.lines {
            let points = points(rows, plot, *line);
            let Some(fit) = Fit::line(&points) else { continue };
            let shown: Vec<String> =
                points.iter().map(|(x, y)| format!("{}: {}", short(*x), short(*y))).collect();
            let or = |value: Option<f64>| value.map_or("-".to_owned(), short);
            // Writing to a String does not fail.
            let _ = writeln!(
                text,
                "| {}: {} | {} | {} | {} | {} | {} | {} | {} | {} |",
                plot.title,
                line.0,
                plot.y,
                plot.x,
                shown.join("; "),
                short(fit.at_zero),
                short(fit.slope),
                or(fit.error),
                or(fit.about),
                or(fit.explained)
            );
        }
    }
    text
}

/// Draws all charts that have points; returns their files.
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
