//! Decoding of messages from untrusted bytes.

use winnow::Parser;
use winnow::binary::{le_u16, le_u32, le_u64, length_take, u8};
use winnow::combinator::eof;
use winnow::error::{ContextError, ErrMode};
use winnow::token::rest;

use super::{message_tag, outcome_tag, raft_tag};
use crate::replicated_config::message::{
    Announcement, AppendEntry, AppendReply, Chunk, ChunkRequest, LogPosition, MAX_CHUNK, MAX_DOCUMENT,
    MAX_REASON, Message, ProposalOutcome, ProposalRequest, RaftPayload, VersionHeader,
};

/// Length in bytes of a delta's header, which contains the lengths of the common prefix and suffix.
const DELTA_HEADER_BYTES: usize = 8;

type Decoded<T> = Result<T, ErrMode<ContextError>>;

/// Decodes a datagram's payload: exactly one message without trailing bytes.
pub fn decode_message(input: &mut &[u8]) -> Decoded<Message> {
    let message = match u8.parse_next(input)? {
        message_tag::RAFT => raft(input)?,
        message_tag::SUBSCRIBE => Message::Subscribe {
            clock_us: le_u64.parse_next(input)?,
            active_version: le_u64.parse_next(input)?,
        },
        message_tag::ANNOUNCE => Message::Announce(announcement(input)?),
        message_tag::CHUNK_REQUEST => Message::ChunkRequest(chunk_request(input)?),
        message_tag::CHUNK => Message::Chunk(chunk(input)?),
        message_tag::PROPOSE => Message::Propose(proposal(input)?),
        message_tag::PROPOSE_REPLY => {
            Message::ProposeReply { nonce: le_u64.parse_next(input)?, outcome: outcome(input)? }
        }
        _ => return malformed(),
    };
    eof.parse_next(input)?;
    Ok(message)
}

fn malformed<T>() -> Decoded<T> {
    Err(ErrMode::Cut(ContextError::new()))
}

fn flag(input: &mut &[u8]) -> Decoded<bool> {
    u8.verify(|byte| *byte <= 1).map(|byte| byte == 1).parse_next(input)
}

fn position(input: &mut &[u8]) -> Decoded<LogPosition> {
    Ok(LogPosition { term: le_u64.parse_next(input)?, version: le_u64.parse_next(input)? })
}

fn document_length(input: &mut &[u8]) -> Decoded<u32> {
    le_u32.verify(|length| *length as usize <= MAX_DOCUMENT).parse_next(input)
}

fn header(input: &mut &[u8]) -> Decoded<VersionHeader> {
    Ok(VersionHeader {
        position: position(input)?,
        digest: le_u64.parse_next(input)?,
        length: document_length(input)?,
    })
}

fn raft(input: &mut &[u8]) -> Decoded<Message> {
    let (voters_digest, term) = (le_u64.parse_next(input)?, le_u64.parse_next(input)?);
    let from = u8.parse_next(input)?;
    Ok(Message::Raft { voters_digest, from, term, payload: raft_payload(input)? })
}

fn raft_payload(input: &mut &[u8]) -> Decoded<RaftPayload> {
    Ok(match u8.parse_next(input)? {
        raft_tag::PRE_VOTE => RaftPayload::PreVote { last_entry: position(input)? },
        raft_tag::PRE_VOTE_REPLY => RaftPayload::PreVoteReply { granted: flag(input)? },
        raft_tag::REQUEST_VOTE => RaftPayload::RequestVote { last_entry: position(input)? },
        raft_tag::VOTE_REPLY => RaftPayload::VoteReply { granted: flag(input)? },
        raft_tag::APPEND_ENTRY => RaftPayload::AppendEntry(append(input)?),
        raft_tag::APPEND_REPLY => RaftPayload::AppendReply(AppendReply {
            round: le_u64.parse_next(input)?,
            stored: position(input)?,
            clock_us: le_u64.parse_next(input)?,
        }),
        raft_tag::HARD_STATE_REQUEST => RaftPayload::HardStateRequest { nonce: le_u64.parse_next(input)? },
        raft_tag::HARD_STATE_REPLY => {
            RaftPayload::HardStateReply { nonce: le_u64.parse_next(input)?, entry: header(input)? }
        }
        _ => return malformed(),
    })
}

fn append(input: &mut &[u8]) -> Decoded<AppendEntry> {
    let has_committed = flag(input)?;
    let (round, commit_age_us) = (le_u64.parse_next(input)?, le_u64.parse_next(input)?);
    let (latest_at_us, entry) = (le_u64.parse_next(input)?, header(input)?);
    let committed = if has_committed { Some(header(input)?) } else { None };
    Ok(AppendEntry { round, entry, committed, commit_age_us, latest_at_us })
}

fn announcement(input: &mut &[u8]) -> Decoded<Announcement> {
    Ok(Announcement {
        header: header(input)?,
        commit_age_us: le_u64.parse_next(input)?,
        latest_at_us: le_u64.parse_next(input)?,
    })
}

fn chunk_request(input: &mut &[u8]) -> Decoded<ChunkRequest> {
    Ok(ChunkRequest {
        digest: le_u64.parse_next(input)?,
        base: le_u64.parse_next(input)?,
        offset: le_u32.parse_next(input)?,
    })
}

fn chunk(input: &mut &[u8]) -> Decoded<Chunk> {
    let (digest, base) = (le_u64.parse_next(input)?, le_u64.parse_next(input)?);
    let (total, offset) = (le_u32.parse_next(input)?, le_u32.parse_next(input)?);
    let bytes: &[u8] = rest.parse_next(input)?;
    if bytes.len() > MAX_CHUNK || total as usize > MAX_DOCUMENT + DELTA_HEADER_BYTES {
        return malformed();
    }
    Ok(Chunk { digest, base, total, offset, bytes: bytes.to_vec() })
}

fn proposal(input: &mut &[u8]) -> Decoded<ProposalRequest> {
    Ok(ProposalRequest {
        nonce: le_u64.parse_next(input)?,
        expected_version: le_u64.parse_next(input)?,
        digest: le_u64.parse_next(input)?,
        length: document_length(input)?,
    })
}

fn outcome(input: &mut &[u8]) -> Decoded<ProposalOutcome> {
    Ok(match u8.parse_next(input)? {
        outcome_tag::COMMITTED => ProposalOutcome::Committed(le_u64.parse_next(input)?),
        outcome_tag::REJECTED => {
            let reason: &[u8] = length_take(le_u16).parse_next(input)?;
            match std::str::from_utf8(reason) {
                Ok(reason) if reason.len() <= MAX_REASON => ProposalOutcome::Rejected(reason.to_owned()),
                _ => return malformed(),
            }
        }
        outcome_tag::NOT_LEADER => ProposalOutcome::NotLeader(u8.parse_next(input)?),
        _ => return malformed(),
    })
}
