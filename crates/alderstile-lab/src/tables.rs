//! Results as tables: one figure a row, in CSV and in Markdown.

use std::fmt::Write as _;
use std::io;
use std::path::Path;

use thiserror::Error;

/// One figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The size that it was measured at: members, connections, hosts, listeners.
    pub size: f64,
    /// What was going on.
    pub phase: String,
    /// What was measured, with its unit.
    pub figure: String,
    /// In the mean.
    pub mean: f64,
    /// The worst of them.
    pub worst: f64,
    /// Of so many.
    pub of: usize,
}

impl Row {
    /// The mean and the largest of some values; none of no values.
    pub fn of(size: f64, phase: &str, figure: &str, values: &[f64]) -> Option<Self> {
        if values.is_empty() {
            return None;
        }
        Some(Row {
            size,
            phase: phase.to_owned(),
            figure: figure.to_owned(),
            mean: values.iter().sum::<f64>() / values.len() as f64,
            worst: values.iter().copied().fold(f64::MIN, f64::max),
            of: values.len(),
        })
    }

    /// One value.
    pub fn one(size: f64, phase: &str, figure: &str, value: f64) -> Self {
        Row { size, phase: phase.to_owned(), figure: figure.to_owned(), mean: value, worst: value, of: 1 }
    }
}

/// The first line of a CSV file.
const HEAD: &str = "size,phase,figure,mean,worst,of";

/// The rows as CSV. A comma in a text becomes a semicolon: a row has as many commas as the first line.
pub fn csv(rows: &[Row]) -> String {
    let mut text = format!("{HEAD}\n");
    for row in rows {
        let Row { size, phase, figure, mean, worst, of } = row;
        let [phase, figure] = [phase, figure].map(|text| text.replace(',', ";"));
        // Writing to a String does not fail.
        let _ = writeln!(text, "{size},{phase},{figure},{},{},{of}", short(*mean), short(*worst));
    }
    text
}

/// Why a table can't be read.
#[derive(Debug, Error)]
pub enum TableError {
    /// The file can't be read.
    #[error("{file}: {error}")]
    File {
        /// Its path.
        file: String,
        /// Why.
        error: io::Error,
    },
    /// A line is not a row of a table.
    #[error("{file}:{line}: not a row of \"{HEAD}\"")]
    Row {
        /// The file's path.
        file: String,
        /// The line, from 1.
        line: usize,
    },
}

/// Reads a CSV file that [`write()`] wrote.
///
/// # Errors
///
/// If the file can't be read, or a line of it is not a row.
pub fn read(path: &Path) -> Result<Vec<Row>, TableError> {
    let file = path.display().to_string();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => return Err(TableError::File { file, error }),
    };
    parse(&text).map_err(|line| TableError::Row { file, line })
}

/// Reads the text of such a file.
///
/// # Errors
///
/// The number of the first line that is not a row, from 1.
pub fn parse(text: &str) -> Result<Vec<Row>, usize> {
    let mut lines = text.lines();
    if lines.next() != Some(HEAD) {
        return Err(1);
    }
    let row = |line: &str| {
        let [size, phase, figure, mean, worst, of] = line.split(',').collect::<Vec<_>>()[..] else {
            return None;
        };
        Some(Row {
            size: size.parse().ok()?,
            phase: phase.to_owned(),
            figure: figure.to_owned(),
            mean: mean.parse().ok()?,
            worst: worst.parse().ok()?,
            of: of.parse().ok()?,
        })
    };
    lines.enumerate().map(|(i, line)| row(line).ok_or(i + 2)).collect()
}

/// The rows as a Markdown table: a line a figure, a column a size, mean and worst in each.
pub fn markdown(rows: &[Row]) -> String {
    let mut sizes: Vec<f64> = rows.iter().map(|row| row.size).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    let mut kinds: Vec<(&str, &str)> = Vec::new();
    for row in rows {
        let kind = (row.phase.as_str(), row.figure.as_str());
        if !kinds.contains(&kind) {
            kinds.push(kind);
        }
    }
    let heads: Vec<String> = sizes.iter().map(|size| size.to_string()).collect();
    let mut text =
        format!("| phase | figure | {} |\n|{}\n", heads.join(" | "), " --- |".repeat(sizes.len() + 2));
    for (phase, figure) in kinds {
        let _ = write!(text, "| {phase} | {figure} |");
        for size in &sizes {
            let row = rows.iter().find(|row| row.size == *size && row.phase == phase && row.figure == figure);
            let _ = match row {
                None => write!(text, " - |"),
                Some(row) if row.of == 1 => write!(text, " {} |", short(row.mean)),
                Some(row) => write!(text, " {}, {} ({}) |", short(row.mean), short(row.worst), row.of),
            };
        }
        text.push('\n');
    }
    text
}

/// Four digits are more than any of these is sure of.
pub(crate) fn short(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return value.to_string();
    }
    let digits = (3 - value.abs().log10().floor() as i32).clamp(0, 9) as usize;
    let text = format!("{value:.digits$}");
    if text.contains('.') { text.trim_end_matches('0').trim_end_matches('.').to_owned() } else { text }
}

/// Writes rows beside each other as `NAME.csv` and `NAME.md`.
///
/// # Errors
///
/// If the directory can't be made or a file can't be written.
pub fn write(dir: &Path, name: &str, rows: &[Row]) -> io::Result<()> {
    std::fs::create_dir_all(dir)?;
    std::fs::write(dir.join(format!("{name}.csv")), csv(rows))?;
    std::fs::write(dir.join(format!("{name}.md")), markdown(rows))
}
