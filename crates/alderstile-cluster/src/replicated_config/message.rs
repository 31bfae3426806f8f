//! Messages that the nodes of a cluster exchange to replicate the configuration.
//!
//! Clock readings are in microseconds of the named node's clock. Each process's clock starts at a random
//! offset.

/// Maximum length of a document, in bytes.
pub const MAX_DOCUMENT: usize = 32 << 10;
/// Maximum length of the reason in the reply to a proposal, in bytes.
pub const MAX_REASON: usize = 400;
/// Maximum bytes of a document or delta in one datagram. With its headers, the datagram stays below
/// [`crate::authentication::MAX_DATAGRAM_BYTES`].
pub const MAX_CHUNK: usize = 1_000;

/// Position of a log entry, ordered by term, then by version (Raft, section 5.4.1, with the version as the
/// index).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPosition {
    /// Term of the leader that wrote the entry.
    pub term: u64,
    /// Version of the document.
    pub version: u64,
}

/// A log entry: a version's metadata without its document.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionHeader {
    /// Position in the log.
    pub position: LogPosition,
    /// Digest of the document.
    pub digest: u64,
    /// Length of the document, in bytes.
    pub length: u32,
}

/// An append, which the leader sends to each other voter at every heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendEntry {
    /// Number of the heartbeat round, counted by the leader.
    pub round: u64,
    /// The leader's log entry.
    pub entry: VersionHeader,
    /// The committed version, if it differs from `entry`.
    pub committed: Option<VersionHeader>,
    /// Minimum time since the committed version was committed, in microseconds.
    pub commit_age_us: u64,
    /// Reading of the receiver's clock at which that version was the latest; 0 if unknown to the leader.
    pub latest_at_us: u64,
}

/// A voter's reply to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendReply {
    /// Round of the append; 0 if the append was of an older term.
    pub round: u64,
    /// Position of the entry that the voter has persisted.
    pub stored: LogPosition,
    /// Reading of the voter's clock.
    pub clock_us: u64,
}

/// Payload of a message between voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RaftPayload {
    /// Asks whether the receiver would vote for the sender in this term.
    PreVote {
        /// Position of the sender's log entry.
        last_entry: LogPosition,
    },
    /// Reply to a pre-vote.
    PreVoteReply {
        /// Whether the replying voter would grant its vote.
        granted: bool,
    },
    /// Requests a vote.
    RequestVote {
        /// Position of the sender's log entry.
        last_entry: LogPosition,
    },
    /// Reply to a vote request.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// The leader's heartbeat with its log entry.
    AppendEntry(AppendEntry),
    /// Reply to an append.
    AppendReply(AppendReply),
    /// Requests the hard states of the other voters, after the sender has lost its own.
    HardStateRequest {
        /// Drawn when the sender lost its hard state, so that replies to an earlier request are ignored.
        nonce: u64,
    },
    /// Reply with the sender's hard state. Its term is the term of the message.
    HardStateReply {
        /// Nonce of the request.
        nonce: u64,
        /// The sender's log entry.
        entry: VersionHeader,
    },
}

/// A message to or from another voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RaftMessage {
    /// Index of the other voter in the voter list.
    pub peer: u8,
    /// The sender's term, or the term that it would start.
    pub term: u64,
    /// Payload of the message.
    pub payload: RaftPayload,
}

/// Result of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// The document is committed as this version.
    Committed(u64),
    /// The proposal is rejected for this reason and has no effect.
    Rejected(String),
    /// The sender is not the leader. The leader may be the voter with this index.
    NotLeader(u8),
}

/// A proposal of a document. The proposer serves the document in chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProposalRequest {
    /// Identifies the proposal in its reply.
    pub nonce: u64,
    /// The version that the document is to follow.
    pub expected_version: u64,
    /// Digest of the document.
    pub digest: u64,
    /// Length of the document, in bytes.
    pub length: u32,
}

/// The latest committed version, as announced to a subscriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Header of the version.
    pub header: VersionHeader,
    /// Minimum time since the version was committed, in microseconds.
    pub commit_age_us: u64,
    /// Reading of the receiver's clock at which the version was the latest; 0 if unknown to the sender.
    pub latest_at_us: u64,
}

/// Request for the chunks of a document, starting at an offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkRequest {
    /// Digest of the document.
    pub digest: u64,
    /// Digest of a document stored by the sender, against which a delta may be sent; 0 for the full document.
    pub base: u64,
    /// Offset of the first chunk, in bytes.
    pub offset: u32,
}

/// A chunk of a document or of a delta that produces it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Digest of the document.
    pub digest: u64,
    /// Digest of the document that the delta applies to; 0 for the full document.
    pub base: u64,
    /// Length of the full document or delta, in bytes.
    pub total: u32,
    /// Offset of this chunk, in bytes.
    pub offset: u32,
    /// Content of the chunk.
    pub bytes: Vec<u8>,
}

/// The message in one datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// A message between voters.
    Raft {
        /// Digest of the sender's voter list, which must be the same at all nodes.
        voters_digest: u64,
        /// Index of the sender in that list.
        from: u8,
        /// The sender's term, or the term that it would start.
        term: u64,
        /// Payload of the message.
        payload: RaftPayload,
    },
    /// Subscribes to announcements.
    Subscribe {
        /// Reading of the sender's clock.
        clock_us: u64,
        /// The version that is active at the sender.
        active_version: u64,
    },
    /// Announces the latest committed version to a subscriber.
    Announce(Announcement),
    /// Requests a document.
    ChunkRequest(ChunkRequest),
    /// A chunk of a document.
    Chunk(Chunk),
    /// Proposes a document.
    Propose(ProposalRequest),
    /// Reply to a proposal.
    ProposeReply {
        /// Nonce of the proposal.
        nonce: u64,
        /// Result of the proposal.
        outcome: ProposalOutcome,
    },
}
