//! Errors for malformed frames.

use thiserror::Error;
use winnow::error::ParserError;
use winnow::stream::Stream;

/// Why a frame is rejected.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// The header states an invalid frame length.
    #[error("batch {batch}, offset 12: frame length of {len} bytes out of range")]
    InvalidLength {
        /// The number of the batch.
        batch: u32,
        /// The stated length, in bytes.
        len: u32,
    },
    /// A record is truncated, unknown or has a field out of range.
    #[error("batch {batch}, offset {offset}: {error}")]
    InvalidRecord {
        /// The number of the batch.
        batch: u32,
        /// The position of the record, in bytes from the start of the frame.
        offset: usize,
        /// Why the record is rejected.
        error: RecordError,
    },
    /// Bytes follow the stated number of records.
    #[error("batch {batch}, offset {offset}: {trailing} trailing bytes after the last record")]
    TrailingBytes {
        /// The number of the batch.
        batch: u32,
        /// The position of the first trailing byte, in bytes from the start of the frame.
        offset: usize,
        /// The number of trailing bytes.
        trailing: usize,
    },
}

/// Why a record is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RecordError {
    /// The frame ends inside the record.
    #[error("frame ends inside the record")]
    Truncated,
    /// The record code is unknown.
    #[error("unknown record code")]
    UnknownCode,
    /// The settings are not valid UTF-8.
    #[error("settings are not valid UTF-8")]
    SettingsNotUtf8,
    /// The server state is unknown.
    #[error("unknown server state")]
    UnknownServerState,
    /// The kind of endpoint list is unknown.
    #[error("unknown list kind")]
    UnknownListKind,
    /// The kind of load signal is unknown.
    #[error("unknown load signal")]
    UnknownLoadSignal,
    /// The outcome is unknown.
    #[error("unknown outcome")]
    UnknownOutcome,
}

/// The parsers of all fields accept any bytes, so a failure always means that the frame ends inside the
/// field.
impl<I: Stream> ParserError<I> for RecordError {
    type Inner = Self;

    fn from_input(_input: &I) -> Self {
        RecordError::Truncated
    }

    fn into_inner(self) -> Result<Self::Inner, Self> {
        Ok(self)
    }
}
