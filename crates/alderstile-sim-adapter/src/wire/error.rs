//! Errors of malformed frames.

use thiserror::Error;
use winnow::error::ParserError;
use winnow::stream::Stream;

/// Why a frame cannot be read.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// The header states a length that no frame has.
    #[error("batch {batch}, offset 12: a frame length of {len} bytes is out of range")]
    BadLength {
        /// The batch.
        batch: u32,
        /// The stated length, in bytes.
        len: u32,
    },
    /// A record is cut off, unknown or out of range.
    #[error("batch {batch}, offset {offset}: {error}")]
    BadRecord {
        /// The batch.
        batch: u32,
        /// Where the record begins, in bytes from the start of the frame.
        offset: usize,
        /// What is wrong with it.
        error: RecordError,
    },
    /// Bytes are left after the stated number of records.
    #[error("batch {batch}, offset {offset}: {left} bytes left after the last record")]
    LeftOver {
        /// The batch.
        batch: u32,
        /// Where they begin, in bytes from the start of the frame.
        offset: usize,
        /// How many bytes.
        left: usize,
    },
}

/// What is wrong with a record.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RecordError {
    /// The frame ends inside it.
    #[error("the frame ends inside a record")]
    CutOff,
    /// No record has this code.
    #[error("unknown record code")]
    UnknownCode,
    /// The settings are not text.
    #[error("settings that are not UTF-8")]
    SettingsNotUtf8,
    /// No server has this state.
    #[error("unknown server state")]
    UnknownServerState,
    /// There is no such kind of endpoint list.
    #[error("unknown list kind")]
    UnknownListKind,
    /// There is no such kind of load signal.
    #[error("unknown note")]
    UnknownLoadSignal,
    /// There is no such outcome.
    #[error("unknown outcome")]
    UnknownOutcome,
}

/// All fields accept any bytes: where one cannot be parsed, the frame ends inside it.
impl<I: Stream> ParserError<I> for RecordError {
    type Inner = Self;

    fn from_input(_input: &I) -> Self {
        RecordError::CutOff
    }

    fn into_inner(self) -> Result<Self::Inner, Self> {
        Ok(self)
    }
}
