//! The datagrams of agreed versions, format 1.
//!
//! | bytes | what |
//! | --- | --- |
//! | 2 | `AC` |
//! | 1 | the format |
//! | 1, n | the cluster's name with its length |
//! | 1, ... | the kind, then what that kind holds |
//! | 16 | the first half of the HMAC-SHA-256 (RFC 2104, RFC 4868) of all before, by a key of the cluster |
//!
//! Numbers are little-endian. Nothing is believed before the MAC has been checked. A recorded datagram that is played again changes
//! nothing: terms and versions only rise, rounds and echoed clocks only count once, and blobs are named by their digest.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use winnow::Parser;
use winnow::binary::{le_u16, le_u32, le_u64, length_take, u8};
use winnow::combinator::eof;
use winnow::error::{ContextError, ErrMode};
use winnow::token::rest;

use crate::authentication::{DecodeError, MAX_CLUSTER_NAME_BYTES, MAX_DATAGRAM_BYTES, MIN_KEY_BYTES};

/// The longest document, bytes.
pub const MAX_DOCUMENT: usize = 32 << 10;
/// The longest reason that an answer to a proposal carries, bytes.
pub const MAX_REASON: usize = 400;
/// Bytes of a blob in one datagram: with everything else below [`MAX_DATAGRAM_BYTES`].
pub const MAX_CHUNK: usize = 1_000;

const MAGIC: &[u8] = b"AC";
/// What this program writes.
const FORMAT: u8 = 1;
const MAC: usize = 16;

/// Orders what voters hold: by term, then by version (Raft, section 5.4.1, with the version for the index).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPosition {
    /// The leader's term that put it there.
    pub term: u64,
    /// The document's version.
    pub version: u64,
}

/// Names a version of the document.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionHeader {
    /// Where it stands in the order.
    pub stamp: LogPosition,
    /// Of the document.
    pub digest: u64,
    /// Of the document, bytes.
    pub length: u32,
}

/// What voters say to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RaftPayload {
    /// Would you vote for the sender in this term? It holds this.
    PreVote(LogPosition),
    /// Whether.
    PreVoteReply(bool),
    /// Vote for the sender, which holds this.
    RequestVote(LogPosition),
    /// Whether.
    VoteReply(bool),
    /// The leader's word.
    AppendEntry {
        /// Counts the leader's rounds.
        round: u64,
        /// What the leader holds.
        head: VersionHeader,
        /// What is agreed, where that is another one.
        agreed: Option<VersionHeader>,
        /// That was agreed at least so long ago, microseconds.
        since: u64,
        /// It was the latest at this moment of the receiver's clock; 0 if the leader can't tell.
        fresh: u64,
    },
    /// The receiver of an append holds this.
    AppendReply {
        /// Of the append.
        round: u64,
        /// What is held.
        stored: LogPosition,
        /// The sender's clock.
        clock: u64,
    },
    /// A voter without a memory asks.
    HardStateRequest {
        /// Of this start.
        nonce: u64,
    },
    /// What another voter remembers.
    HardStateReply {
        /// Of the call.
        nonce: u64,
        /// What it holds.
        head: VersionHeader,
    },
}

/// How a proposal ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// It is this version.
    Committed(u64),
    /// It changes nothing, for this reason.
    Rejected(String),
    /// The sender is no leader, this voter may be.
    NotLeader(u8),
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Among voters.
    Raft {
        /// Of the list of voters, which has to be the same at all.
        voters: u64,
        /// Which of them sends.
        from: u8,
        /// Its term, or the term that it would begin.
        term: u64,
        /// What it says.
        ballot: RaftPayload,
    },
    /// Tell me from now on what is agreed.
    Subscribe {
        /// The sender's clock.
        clock: u64,
        /// The version that it has in force.
        in_force: u64,
    },
    /// What is agreed.
    Announce {
        /// The version.
        head: VersionHeader,
        /// Agreed at least so long ago, microseconds.
        since: u64,
        /// It was the latest at this moment of the receiver's clock; 0 if the sender can't tell.
        fresh: u64,
    },
    /// Send a blob.
    ChunkRequest {
        /// Which.
        digest: u64,
        /// As a difference to this one, which the sender holds; 0 for the whole.
        base: u64,
        /// From there on.
        offset: u32,
    },
    /// A part of a blob.
    Chunk {
        /// Which.
        digest: u64,
        /// It is a difference to this one; 0 for the whole.
        base: u64,
        /// Bytes of the whole blob or difference.
        total: u32,
        /// Where this part stands.
        offset: u32,
        /// The part.
        bytes: Vec<u8>,
    },
    /// A document to be agreed; the sender hands it out.
    Propose {
        /// To be named by the answer.
        nonce: u64,
        /// The version that it is to follow.
        expect: u64,
        /// Of the document.
        digest: u64,
        /// Of the document, bytes.
        length: u32,
    },
    /// What became of a proposal.
    ProposeReply {
        /// Of the proposal.
        nonce: u64,
        /// What.
        outcome: ProposalOutcome,
    },
}

/// The cluster's name and its keys: the first one signs, each of them is believed.
#[derive(Clone)]
pub struct Seal {
    head: Vec<u8>,
    keys: Vec<Hmac<Sha256>>,
}

impl Seal {
    /// None where the name or a key is too short or too long, or there is no key.
    pub fn new(cluster: &str, keys: &[Vec<u8>]) -> Option<Self> {
        let length = u8::try_from(cluster.len())
            .ok()
            .filter(|n| *n > 0 && usize::from(*n) <= MAX_CLUSTER_NAME_BYTES)?;
        if keys.is_empty() || keys.iter().any(|key| key.len() < MIN_KEY_BYTES) {
            return None;
        }
        let head = [MAGIC, &[FORMAT, length], cluster.as_bytes()].concat();
        let keys = keys.iter().map(|key| Hmac::new_from_slice(key).ok()).collect::<Option<_>>()?;
        Some(Seal { head, keys })
    }

    /// Writes a datagram.
    pub fn write(&self, message: &Message) -> Vec<u8> {
        let mut bytes = self.head.clone();
        put_message(&mut bytes, message);
        self.closed(bytes)
    }

    /// Any bytes as the inside of a datagram, with head and MAC: what a broken member could send.
    pub fn sealed(&self, inside: &[u8]) -> Vec<u8> {
        self.closed([&*self.head, inside].concat())
    }

    fn closed(&self, mut bytes: Vec<u8>) -> Vec<u8> {
        if let Some(key) = self.keys.first() {
            let mut mac = key.clone();
            mac.update(&bytes);
            bytes.extend(&mac.finalize().into_bytes()[..MAC]);
        }
        bytes
    }

    /// Reads a datagram; what is wrong with it otherwise.
    pub fn read(&self, bytes: &[u8]) -> Result<Message, DecodeError> {
        match bytes {
            [b'A', b'C', format, ..] if *format > FORMAT => return Err(DecodeError::UnsupportedFormat),
            [b'A', b'C', FORMAT, ..] if bytes.len() <= MAX_DATAGRAM_BYTES => {}
            _ => return Err(DecodeError::Malformed),
        }
        let inside = bytes.strip_prefix(&*self.head).ok_or(DecodeError::Unauthenticated)?;
        let Some(length) = inside.len().checked_sub(MAC) else { return Err(DecodeError::Malformed) };
        let (signed, mac) = bytes.split_at(self.head.len() + length);
        let known = |key: &Hmac<Sha256>| {
            let mut check = key.clone();
            check.update(signed);
            check.verify_truncated_left(mac).is_ok()
        };
        if !self.keys.iter().any(known) {
            return Err(DecodeError::Unauthenticated);
        }
        message.parse(&inside[..length]).map_err(|_| DecodeError::Malformed)
    }
}

fn put(bytes: &mut Vec<u8>, numbers: &[u64]) {
    numbers.iter().for_each(|number| bytes.extend(number.to_le_bytes()));
}

fn put_head(bytes: &mut Vec<u8>, head: &VersionHeader) {
    put(bytes, &[head.stamp.term, head.stamp.version, head.digest]);
    bytes.extend(head.length.to_le_bytes());
}

fn put_message(bytes: &mut Vec<u8>, message: &Message) {
    match message {
        Message::Raft { voters, from, term, ballot } => {
            bytes.push(1);
            put(bytes, &[*voters, *term]);
            bytes.push(*from);
            put_ballot(bytes, ballot);
        }
        Message::Subscribe { clock, in_force } => {
            bytes.push(2);
            put(bytes, &[*clock, *in_force]);
        }
        Message::Announce { head, since, fresh } => {
            bytes.push(3);
            put_head(bytes, head);
            put(bytes, &[*since, *fresh]);
        }
        Message::ChunkRequest { digest, base, offset } => {
            bytes.push(4);
            put(bytes, &[*digest, *base]);
            bytes.extend(offset.to_le_bytes());
        }
        Message::Chunk { digest, base, total, offset, bytes: part } => {
            bytes.push(5);
            put(bytes, &[*digest, *base]);
            bytes.extend(total.to_le_bytes());
            bytes.extend(offset.to_le_bytes());
            bytes.extend(part);
        }
        Message::Propose { nonce, expect, digest, length } => {
            bytes.push(6);
            put(bytes, &[*nonce, *expect, *digest]);
            bytes.extend(length.to_le_bytes());
        }
        Message::ProposeReply { nonce, outcome } => {
            bytes.push(7);
            put(bytes, &[*nonce]);
            match outcome {
                ProposalOutcome::Committed(version) => {
                    bytes.push(0);
                    put(bytes, &[*version]);
                }
                ProposalOutcome::Rejected(reason) => {
                    bytes.push(1);
                    let mut reason = reason.as_str();
                    while reason.len() > MAX_REASON {
                        reason = &reason[..reason.char_indices().next_back().map_or(0, |(at, _)| at)];
                    }
                    bytes.extend((reason.len() as u16).to_le_bytes());
                    bytes.extend(reason.as_bytes());
                }
                ProposalOutcome::NotLeader(voter) => bytes.extend([2, *voter]),
            }
        }
    }
}

fn put_ballot(bytes: &mut Vec<u8>, ballot: &RaftPayload) {
    match ballot {
        RaftPayload::PreVote(held) => {
            bytes.push(0);
            put(bytes, &[held.term, held.version]);
        }
        RaftPayload::PreVoteReply(yes) => bytes.extend([1, u8::from(*yes)]),
        RaftPayload::RequestVote(held) => {
            bytes.push(2);
            put(bytes, &[held.term, held.version]);
        }
        RaftPayload::VoteReply(yes) => bytes.extend([3, u8::from(*yes)]),
        RaftPayload::AppendEntry { round, head, agreed, since, fresh } => {
            bytes.extend([4, u8::from(agreed.is_some())]);
            put(bytes, &[*round, *since, *fresh]);
            put_head(bytes, head);
            agreed.iter().for_each(|agreed| put_head(bytes, agreed));
        }
        RaftPayload::AppendReply { round, stored, clock } => {
            bytes.push(5);
            put(bytes, &[*round, stored.term, stored.version, *clock]);
        }
        RaftPayload::HardStateRequest { nonce } => {
            bytes.push(6);
            put(bytes, &[*nonce]);
        }
        RaftPayload::HardStateReply { nonce, head } => {
            bytes.push(7);
            put(bytes, &[*nonce]);
            put_head(bytes, head);
        }
    }
}

type Read<T> = Result<T, ErrMode<ContextError>>;

fn no<T>() -> Read<T> {
    Err(ErrMode::Cut(ContextError::new()))
}

fn flag(input: &mut &[u8]) -> Read<bool> {
    u8.verify(|byte| *byte <= 1).map(|byte| byte == 1).parse_next(input)
}

fn stamp(input: &mut &[u8]) -> Read<LogPosition> {
    Ok(LogPosition { term: le_u64.parse_next(input)?, version: le_u64.parse_next(input)? })
}

fn length(input: &mut &[u8]) -> Read<u32> {
    le_u32.verify(|length| *length as usize <= MAX_DOCUMENT).parse_next(input)
}

fn head(input: &mut &[u8]) -> Read<VersionHeader> {
    Ok(VersionHeader { stamp: stamp(input)?, digest: le_u64.parse_next(input)?, length: length(input)? })
}

fn ballot(input: &mut &[u8]) -> Read<RaftPayload> {
    Ok(match u8.parse_next(input)? {
        0 => RaftPayload::PreVote(stamp(input)?),
        1 => RaftPayload::PreVoteReply(flag(input)?),
        2 => RaftPayload::RequestVote(stamp(input)?),
        3 => RaftPayload::VoteReply(flag(input)?),
        4 => {
            let two = flag(input)?;
            let (round, since) = (le_u64.parse_next(input)?, le_u64.parse_next(input)?);
            let (fresh, head) = (le_u64.parse_next(input)?, head(input)?);
            let agreed = if two { Some(self::head(input)?) } else { None };
            RaftPayload::AppendEntry { round, head, agreed, since, fresh }
        }
        5 => RaftPayload::AppendReply {
            round: le_u64.parse_next(input)?,
            stored: stamp(input)?,
            clock: le_u64.parse_next(input)?,
        },
        6 => RaftPayload::HardStateRequest { nonce: le_u64.parse_next(input)? },
        7 => RaftPayload::HardStateReply { nonce: le_u64.parse_next(input)?, head: head(input)? },
        _ => return no(),
    })
}

fn message(input: &mut &[u8]) -> Read<Message> {
    let message = match u8.parse_next(input)? {
        1 => {
            let (voters, term) = (le_u64.parse_next(input)?, le_u64.parse_next(input)?);
            let from = u8.parse_next(input)?;
            Message::Raft { voters, from, term, ballot: ballot(input)? }
        }
        2 => Message::Subscribe { clock: le_u64.parse_next(input)?, in_force: le_u64.parse_next(input)? },
        3 => {
            let head = head(input)?;
            Message::Announce { head, since: le_u64.parse_next(input)?, fresh: le_u64.parse_next(input)? }
        }
        4 => {
            let (digest, base) = (le_u64.parse_next(input)?, le_u64.parse_next(input)?);
            Message::ChunkRequest { digest, base, offset: le_u32.parse_next(input)? }
        }
        5 => {
            let (digest, base) = (le_u64.parse_next(input)?, le_u64.parse_next(input)?);
            let (total, offset) = (le_u32.parse_next(input)?, le_u32.parse_next(input)?);
            let bytes: &[u8] = rest.parse_next(input)?;
            if bytes.len() > MAX_CHUNK || total as usize > MAX_DOCUMENT + 8 {
                return no();
            }
            Message::Chunk { digest, base, total, offset, bytes: bytes.to_vec() }
        }
        6 => {
            let (nonce, expect) = (le_u64.parse_next(input)?, le_u64.parse_next(input)?);
            let digest = le_u64.parse_next(input)?;
            Message::Propose { nonce, expect, digest, length: length(input)? }
        }
        7 => {
            let nonce = le_u64.parse_next(input)?;
            let outcome = match u8.parse_next(input)? {
                0 => ProposalOutcome::Committed(le_u64.parse_next(input)?),
                1 => {
                    let reason: &[u8] = length_take(le_u16).parse_next(input)?;
                    match std::str::from_utf8(reason) {
                        Ok(reason) if reason.len() <= MAX_REASON => {
                            ProposalOutcome::Rejected(reason.to_owned())
                        }
                        _ => return no(),
                    }
                }
                2 => ProposalOutcome::NotLeader(u8.parse_next(input)?),
                _ => return no(),
            };
            Message::ProposeReply { nonce, outcome }
        }
        _ => return no(),
    };
    eof.parse_next(input)?;
    Ok(message)
}
