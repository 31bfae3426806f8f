//! The simulator's wire: little-endian, unpadded frames of a header and records.
//!
//! A batch holds what happened at one moment, for any number of instances; its reply holds their actions. The
//! record codes and the order of fields are the wire's; the names here are the terms of
//! [`alderstile::types`].

mod decode;
mod error;
mod header;
mod reply;

pub use decode::{Record, RecordBody, Records};
pub use error::{RecordError, WireError};
pub use header::{HEADER_LEN, Header, MAX_FRAME, REPLY_HEADER_LEN};
pub use reply::Reply;
