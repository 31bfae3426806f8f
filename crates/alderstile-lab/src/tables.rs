//! Tables of measurement results, one figure per row, in CSV and in Markdown.

use std::fmt::Write as _;
use std::io;
use std::path::Path;

use thiserror::Error;

/// One figure at one size: the mean and the largest of its samples.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Size of the setup: number of members, connections, hosts or listeners.
    pub size: f64,
    /// Phase of the measurement.
    pub phase: String,
    /// Name of the figure, with its unit.
    pub figure: String,
    /// Mean of the samples.
    pub mean: f64,
    /// Largest sample.
    pub worst: f64,
    /// Number of samples; the column `of`.
    pub samples: usize,
}

impl Row {
    /// Creates a row with the mean and the largest of the values; `None` without values.
    pub fn from_values(size: f64, phase: &str, figure: &str, values: &[f64]) -> Option<Self> {
        if values.is_empty() {
            return None;
        }
        Some(Row {
            size,
            phase: phase.to_owned(),
            figure: figure.to_owned(),
            mean: values.iter().sum::<f64>() / values.len() as f64,
            worst: values.iter().copied().fold(f64::MIN, f64::max),
            samples: values.len(),
        })
    }

    /// Creates a row from a single value.
    pub fn single(size: f64, phase: &str, figure: &str, value: f64) -> Self {
        Row {
            size,
            phase: phase.to_owned(),
            figure: figure.to_owned(),
            mean: value,
            worst: value,
            samples: 1,
        }
    }
}

/// Header line of a CSV file.
const HEADER: &str = "size,phase,figure,mean,worst,of";

/// Formats the rows as CSV. A comma in a text becomes a semicolon, so that every row has as many columns as
/// the header.
pub fn csv(rows: &[Row]) -> String {
    let mut text = format!("{HEADER}\n");
    for row in rows {
        let Row { size, phase, figure, mean, worst, samples } = row;
        let [phase, figure] = [phase, figure].map(|text| text.replace(',', ";"));
        // Writing to a String does not fail.
        let _ = writeln!(
            text,
            "{size},{phase},{figure},{},{},{samples}",
            format_value(*mean),
            format_value(*worst)
        );
    }
    text
}

/// Errors of reading a table.
#[derive(Debug, Error)]
pub enum TableError {
    /// The file can't be read.
    #[error("reading {file} failed: {error}")]
    File {
        /// Path of the file.
        file: String,
        /// Cause.
        error: io::Error,
    },
    /// A line is not a valid row.
    #[error("{file}:{line}: invalid row: expected the columns \"{HEADER}\"")]
    Row {
        /// Path of the file.
        file: String,
        /// Line number, from 1.
        line: usize,
    },
}

/// Reads a CSV file written by [`write()`].
///
/// # Errors
///
/// If the file can't be read, or a line is not a valid row.
pub fn read(path: &Path) -> Result<Vec<Row>, TableError> {
    let file = path.display().to_string();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => return Err(TableError::File { file, error }),
    };
    parse(&text).map_err(|line| TableError::Row { file, line })
}

/// Parses the text of a CSV file.
///
/// # Errors
///
/// The number of the first invalid line, from 1.
pub fn parse(text: &str) -> Result<Vec<Row>, usize> {
    let mut lines = text.lines();
    if lines.next() != Some(HEADER) {
        return Err(1);
    }
    let parse_row = |line: &str| {
        let [size, phase, figure, mean, worst, samples] = line.split(',').collect::<Vec<_>>()[..] else {
            return None;
        };
        Some(Row {
            size: size.parse().ok()?,
            phase: phase.to_owned(),
            figure: figure.to_owned(),
            mean: mean.parse().ok()?,
            worst: worst.parse().ok()?,
            samples: samples.parse().ok()?,
        })
    };
    lines.enumerate().map(|(i, line)| parse_row(line).ok_or(i + 2)).collect()
}

/// Formats the rows as a Markdown table: one line per figure, one column per size, with the mean, the largest
/// value and the number of samples in each cell.
pub fn markdown(rows: &[Row]) -> String {
    let mut sizes: Vec<f64> = rows.iter().map(|row| row.size).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    let mut keys: Vec<(&str, &str)> = Vec::new();
    for row in rows {
        let key = (row.phase.as_str(), row.figure.as_str());
        if !keys.contains(&key) {
            keys.push(key);
        }
    }
    let size_headers: Vec<String> = sizes.iter().map(|size| size.to_string()).collect();
    let mut text =
        format!("| phase | figure | {} |\n|{}\n", size_headers.join(" | "), " --- |".repeat(sizes.len() + 2));
    for (phase, figure) in keys {
        let _ = write!(text, "| {phase} | {figure} |");
        for size in &sizes {
            let row = rows.iter().find(|row| row.size == *size && row.phase == phase && row.figure == figure);
            let _ = match row {
                None => write!(text, " - |"),
                Some(row) if row.samples == 1 => write!(text, " {} |", format_value(row.mean)),
                Some(row) => write!(
                    text,
                    " {}, {} ({}) |",
                    format_value(row.mean),
                    format_value(row.worst),
                    row.samples
                ),
            };
        }
        text.push('\n');
    }
    text
}

/// Formats a value with four significant digits, more than the precision of any measurement here.
pub(crate) fn format_value(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return value.to_string();
    }
    let digits = (3 - value.abs().log10().floor() as i32).clamp(0, 9) as usize;
    let text = format!("{value:.digits$}");
    if text.contains('.') { text.trim_end_matches('0').trim_end_matches('.').to_owned() } else { text }
}

/// Writes the rows as `NAME.csv` and as `NAME.md`.
///
/// # Errors
///
/// If the directory can't be created or a file can't be written.
pub fn write(dir: &Path, name: &str, rows: &[Row]) -> io::Result<()> {
    std::fs::create_dir_all(dir)?;
    std::fs::write(dir.join(format!("{name}.csv")), csv(rows))?;
    std::fs::write(dir.join(format!("{name}.md")), markdown(rows))
}
