//! The simulator's wire protocol: little-endian, unpadded frames of a header and records.
//!
//! A batch contains the events of one point in time for any number of instances; its reply contains their
//! actions. The simulator defines the record codes and the order of fields; the names here are those of
//! [`alderstile::types`].

mod decode;
mod error;
mod header;
mod reply;

pub use decode::{Record, RecordBody, Records};
pub use error::{RecordError, WireError};
pub use header::{HEADER_LEN, Header, MAX_FRAME, REPLY_HEADER_LEN};
pub use reply::Reply;
