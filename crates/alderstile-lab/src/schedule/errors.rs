//! Errors of schedules, with their position in the file.

use std::ops::Range;

use thiserror::Error;

/// An invalid or unreadable schedule. The message names the file, the line and the key.
#[derive(Debug, Error)]
pub enum ScheduleError {
    /// The file can't be read.
    #[error("{file}: {error}")]
    File {
        /// Path of the file.
        file: String,
        /// Cause.
        error: std::io::Error,
    },
    /// A key is unknown or its value is invalid.
    #[error("{file}:{line}: {key}: {what}")]
    Key {
        /// Path of the file.
        file: String,
        /// Line number, starting at 1.
        line: usize,
        /// Path of the key, such as `faults[0].on`.
        key: String,
        /// What is wrong and which values are allowed.
        what: String,
    },
}

/// A word that selects no party of a run.
#[derive(Debug, Error)]
pub enum PartyError {
    /// The word is not the name of a party.
    #[error("unknown party {0:?}: expected a node (n0), a host (h0), discovery or clients")]
    Unknown(String),
    /// The zone is not defined by the schedule.
    #[error("unknown zone in {0:?}")]
    Zone(String),
    /// The share of the nodes is not a number from 0 to 1.
    #[error("invalid share in {0:?}: expected a number from 0 to 1")]
    Share(String),
    /// The prefix before the colon is unknown.
    #[error("unknown selector {0:?}: expected zone:NAME or share:NUMBER")]
    Selector(String),
    /// The node number is out of range.
    #[error("unknown node: expected n0 to n{last}")]
    Node {
        /// Number of the last node.
        last: usize,
    },
    /// The host number is out of range.
    #[error("unknown host: the schedule has {count} hosts, numbered from h0")]
    Host {
        /// Number of hosts.
        count: usize,
    },
}

/// The text of a schedule, used to report the position of an error.
pub(super) struct SourceText<'a> {
    pub(super) file: &'a str,
    pub(super) text: &'a str,
}

impl SourceText<'_> {
    /// Returns an error for `key` of the table at `span`. The reported line is that of the key if the table
    /// contains it, otherwise the first line of `span`.
    pub(super) fn error(&self, span: Range<usize>, key: &str, what: impl Into<String>) -> ScheduleError {
        let start = span.start.min(self.text.len());
        let word = key.rsplit('.').next().unwrap_or_default();
        // The span of a table covers only its header; its keys follow up to the next header.
        let lines = self.text.get(start..).unwrap_or_default().lines().enumerate();
        let mut table = lines.take_while(|(i, line)| *i == 0 || !line.starts_with('['));
        let within = table.find(|(_, line)| line.trim_start().starts_with(word)).map_or(0, |(i, _)| i);
        let line = self.text.get(..start).unwrap_or_default().matches('\n').count() + 1 + within;
        ScheduleError::Key { file: self.file.to_owned(), line, key: key.to_owned(), what: what.into() }
    }
}
