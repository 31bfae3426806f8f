//! Encoding of messages.

use super::{message_tag, outcome_tag, raft_tag};
use crate::replicated_config::message::{
    AppendEntry, Chunk, LogPosition, MAX_REASON, Message, ProposalOutcome, RaftPayload, VersionHeader,
};

/// Appends the encoded message to `bytes`, which hold the datagram's prefix.
pub fn encode_message(bytes: &mut Vec<u8>, message: &Message) {
    match message {
        Message::Raft { voters_digest, from, term, payload } => {
            bytes.push(message_tag::RAFT);
            put_u64s(bytes, &[*voters_digest, *term]);
            bytes.push(*from);
            put_raft_payload(bytes, payload);
        }
        Message::Subscribe { clock_us, active_version } => {
            bytes.push(message_tag::SUBSCRIBE);
            put_u64s(bytes, &[*clock_us, *active_version]);
        }
        Message::Announce(announcement) => {
            bytes.push(message_tag::ANNOUNCE);
            put_header(bytes, &announcement.header);
            put_u64s(bytes, &[announcement.commit_age_us, announcement.latest_at_us]);
        }
        Message::ChunkRequest(request) => {
            bytes.push(message_tag::CHUNK_REQUEST);
            put_u64s(bytes, &[request.digest, request.base]);
            bytes.extend(request.offset.to_le_bytes());
        }
        Message::Chunk(chunk) => put_chunk(bytes, chunk),
        Message::Propose(request) => {
            bytes.push(message_tag::PROPOSE);
            put_u64s(bytes, &[request.nonce, request.expected_version, request.digest]);
            bytes.extend(request.length.to_le_bytes());
        }
        Message::ProposeReply { nonce, outcome } => {
            bytes.push(message_tag::PROPOSE_REPLY);
            put_u64s(bytes, &[*nonce]);
            put_outcome(bytes, outcome);
        }
    }
}

fn put_u64s(bytes: &mut Vec<u8>, numbers: &[u64]) {
    numbers.iter().for_each(|number| bytes.extend(number.to_le_bytes()));
}

fn put_position(bytes: &mut Vec<u8>, position: &LogPosition) {
    put_u64s(bytes, &[position.term, position.version]);
}

fn put_header(bytes: &mut Vec<u8>, header: &VersionHeader) {
    put_position(bytes, &header.position);
    put_u64s(bytes, &[header.digest]);
    bytes.extend(header.length.to_le_bytes());
}

fn put_chunk(bytes: &mut Vec<u8>, chunk: &Chunk) {
    bytes.push(message_tag::CHUNK);
    put_u64s(bytes, &[chunk.digest, chunk.base]);
    bytes.extend(chunk.total.to_le_bytes());
    bytes.extend(chunk.offset.to_le_bytes());
    bytes.extend(&chunk.bytes);
}

fn put_outcome(bytes: &mut Vec<u8>, outcome: &ProposalOutcome) {
    match outcome {
        ProposalOutcome::Committed(version) => {
            bytes.push(outcome_tag::COMMITTED);
            put_u64s(bytes, &[*version]);
        }
        ProposalOutcome::Rejected(reason) => {
            bytes.push(outcome_tag::REJECTED);
            let reason = truncated(reason);
            bytes.extend((reason.len() as u16).to_le_bytes());
            bytes.extend(reason.as_bytes());
        }
        ProposalOutcome::NotLeader(voter) => bytes.extend([outcome_tag::NOT_LEADER, *voter]),
    }
}

/// Truncates a reason to [`MAX_REASON`] bytes at a character boundary.
fn truncated(mut reason: &str) -> &str {
    while reason.len() > MAX_REASON {
        reason = &reason[..reason.char_indices().next_back().map_or(0, |(at, _)| at)];
    }
    reason
}

fn put_raft_payload(bytes: &mut Vec<u8>, payload: &RaftPayload) {
    match payload {
        RaftPayload::PreVote { last_entry } => {
            bytes.push(raft_tag::PRE_VOTE);
            put_position(bytes, last_entry);
        }
        RaftPayload::PreVoteReply { granted } => {
            bytes.extend([raft_tag::PRE_VOTE_REPLY, u8::from(*granted)]);
        }
        RaftPayload::RequestVote { last_entry } => {
            bytes.push(raft_tag::REQUEST_VOTE);
            put_position(bytes, last_entry);
        }
        RaftPayload::VoteReply { granted } => bytes.extend([raft_tag::VOTE_REPLY, u8::from(*granted)]),
        RaftPayload::AppendEntry(append) => put_append(bytes, append),
        RaftPayload::AppendReply(reply) => {
            bytes.push(raft_tag::APPEND_REPLY);
            put_u64s(bytes, &[reply.round, reply.stored.term, reply.stored.version, reply.clock_us]);
        }
        RaftPayload::HardStateRequest { nonce } => {
            bytes.push(raft_tag::HARD_STATE_REQUEST);
            put_u64s(bytes, &[*nonce]);
        }
        RaftPayload::HardStateReply { nonce, entry } => {
            bytes.push(raft_tag::HARD_STATE_REPLY);
            put_u64s(bytes, &[*nonce]);
            put_header(bytes, entry);
        }
    }
}

fn put_append(bytes: &mut Vec<u8>, append: &AppendEntry) {
    bytes.extend([raft_tag::APPEND_ENTRY, u8::from(append.committed.is_some())]);
    put_u64s(bytes, &[append.round, append.commit_age_us, append.latest_at_us]);
    put_header(bytes, &append.entry);
    append.committed.iter().for_each(|committed| put_header(bytes, committed));
}
