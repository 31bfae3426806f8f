//! Why a schedule can't be played, with the place in its file.

use std::ops::Range;

use thiserror::Error;

/// Why a schedule can't be played. Its text is for a person: file, line and key.
#[derive(Debug, Error)]
pub enum ScheduleError {
    /// The file can't be read.
    #[error("{file}: {error}")]
    File {
        /// Its path.
        file: String,
        /// Why.
        error: std::io::Error,
    },
    /// A key is unknown or has a value that can't be used.
    #[error("{file}:{line}: {key}: {what}")]
    Key {
        /// The file's path.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The key's path.
        key: String,
        /// What is wrong, and what is wanted.
        what: String,
    },
}

/// Why a word names no party of a run.
#[derive(Debug, Error)]
pub enum PartyError {
    /// The word is no party's name.
    #[error("{0:?} names no party")]
    Unknown(String),
    /// The zone is not one of the schedule's.
    #[error("{0:?}: no such zone")]
    Zone(String),
    /// The share of the nodes is no number from 0 to 1.
    #[error("{0:?}: a share from 0 to 1 is wanted")]
    Share(String),
    /// The word before the colon is unknown.
    #[error("{0:?}: zone:NAME or share:0.3 is wanted")]
    Selector(String),
    /// The node's number is beyond the last.
    #[error("there are nodes n0 to n{last}")]
    Node {
        /// The last node's number.
        last: usize,
    },
    /// The host's number is beyond the last.
    #[error("there are {count} hosts, from h0 on")]
    Host {
        /// How many hosts there are.
        count: usize,
    },
}

/// A schedule's text, to say where an error is.
pub(super) struct SourceText<'a> {
    pub(super) file: &'a str,
    pub(super) text: &'a str,
}

impl SourceText<'_> {
    /// An error at a place of the text. The line named is that of `key` behind the place, where it stands there.
    pub(super) fn error(&self, span: Range<usize>, key: &str, what: impl Into<String>) -> ScheduleError {
        let start = span.start.min(self.text.len());
        let word = key.rsplit('.').next().unwrap_or_default();
        // A table's span is its head alone; it goes on to the next one.
        let lines = self.text.get(start..).unwrap_or_default().lines().enumerate();
        let mut table = lines.take_while(|(i, line)| *i == 0 || !line.starts_with('['));
        let within = table.find(|(_, line)| line.trim_start().starts_with(word)).map_or(0, |(i, _)| i);
        let line = self.text.get(..start).unwrap_or_default().matches('\n').count() + 1 + within;
        ScheduleError::Key { file: self.file.to_owned(), line, key: key.to_owned(), what: what.into() }
    }
}
