//! The header of a batch.

use alderstile::types::Micros;
use winnow::Parser;
use winnow::binary::{le_u32, le_u64};

use super::error::{RecordError, WireError};

/// The length of a batch's header, in bytes.
pub const HEADER_LEN: usize = 20;
/// The length of a reply's header, in bytes.
pub const REPLY_HEADER_LEN: usize = 12;
/// Maximum accepted length of a frame, in bytes: far above any real one, it bounds the memory that a wrong
/// length can use.
pub const MAX_FRAME: u32 = 1 << 30;

/// The header of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The number of the batch.
    pub batch: u32,
    /// The time of all events in the batch.
    pub now: Micros,
    /// The length of the frame including this header, in bytes.
    pub len: u32,
    /// The number of records that follow.
    pub records: u32,
}

impl Header {
    /// Parses a header.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::InvalidLength`] for a frame length below the header's or above [`MAX_FRAME`].
    pub fn parse(bytes: &[u8; HEADER_LEN]) -> Result<Self, WireError> {
        let mut input = bytes.as_slice();
        let fields: Result<_, RecordError> = (le_u32, le_u64, le_u32, le_u32).parse_next(&mut input);
        // Can't fail: the array has exactly the length of the fields.
        let (batch, now, len, records) = fields.unwrap_or_default();
        if (len as usize) < HEADER_LEN || len > MAX_FRAME {
            return Err(WireError::InvalidLength { batch, len });
        }
        Ok(Header { batch, now: Micros(now), len, records })
    }

    /// Returns the length of the frame without the header, in bytes.
    pub fn body_len(&self) -> u64 {
        u64::from(self.len).saturating_sub(HEADER_LEN as u64)
    }
}
