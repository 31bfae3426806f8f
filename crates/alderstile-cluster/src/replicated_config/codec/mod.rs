//! Encoding of a datagram's payload: a message tag followed by the message's fields. Integers are
//! little-endian.
//!
//! The tags below are part of the wire format, which other versions of the program read and write.

mod decode;
mod encode;

pub(super) use decode::decode_message;
pub(super) use encode::encode_message;

/// First byte of each kind of message.
mod message_tag {
    pub const RAFT: u8 = 1;
    pub const SUBSCRIBE: u8 = 2;
    pub const ANNOUNCE: u8 = 3;
    pub const CHUNK_REQUEST: u8 = 4;
    pub const CHUNK: u8 = 5;
    pub const PROPOSE: u8 = 6;
    pub const PROPOSE_REPLY: u8 = 7;
}

/// First byte of a Raft payload, after the voter list digest, the term and the sender.
mod raft_tag {
    pub const PRE_VOTE: u8 = 0;
    pub const PRE_VOTE_REPLY: u8 = 1;
    pub const REQUEST_VOTE: u8 = 2;
    pub const VOTE_REPLY: u8 = 3;
    pub const APPEND_ENTRY: u8 = 4;
    pub const APPEND_REPLY: u8 = 5;
    pub const HARD_STATE_REQUEST: u8 = 6;
    pub const HARD_STATE_REPLY: u8 = 7;
}

/// First byte of a proposal outcome.
mod outcome_tag {
    pub const COMMITTED: u8 = 0;
    pub const REJECTED: u8 = 1;
    pub const NOT_LEADER: u8 = 2;
}
