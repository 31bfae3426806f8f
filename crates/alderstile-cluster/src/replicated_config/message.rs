//! The messages that nodes of a cluster send each other to replicate the configuration.
//!
//! Clock readings are microseconds of the clock of whoever is named; each process's clock starts at a random offset.

/// The longest document, bytes.
pub const MAX_DOCUMENT: usize = 32 << 10;
/// The longest reason that the answer to a proposal carries, bytes.
pub const MAX_REASON: usize = 400;
/// Bytes of a document or delta in one datagram: with everything else below [`crate::authentication::MAX_DATAGRAM_BYTES`].
pub const MAX_CHUNK: usize = 1_000;

/// The position of a log entry: ordered by term, then by version (Raft, section 5.4.1, with the version for the index).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPosition {
    /// Term of the leader that wrote the entry.
    pub term: u64,
    /// Version of the document.
    pub version: u64,
}

/// A version of the document without its text: a log entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionHeader {
    /// Its position in the log.
    pub position: LogPosition,
    /// Digest of the document.
    pub digest: u64,
    /// Length of the document, bytes.
    pub length: u32,
}

/// What a leader sends to each other voter at every heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendEntry {
    /// Number of the heartbeat round, counted by the leader.
    pub round: u64,
    /// The leader's log entry.
    pub entry: VersionHeader,
    /// The committed version, where that is another one than `entry`.
    pub committed: Option<VersionHeader>,
    /// That version was committed at least this long ago, microseconds.
    pub committed_for_us: u64,
    /// It was the latest at this reading of the receiver's clock; 0 if the leader can't tell.
    pub latest_at_us: u64,
}

/// What a voter answers to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendReply {
    /// Round of the append; 0 if it was of an older term.
    pub round: u64,
    /// Position of the entry that the voter has on disk.
    pub stored: LogPosition,
    /// The voter's clock.
    pub clock_us: u64,
}

/// What voters send each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RaftPayload {
    /// Would the receiver vote for the sender in this term?
    PreVote {
        /// The sender's log entry.
        last_entry: LogPosition,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// Whether the sender would vote so.
        granted: bool,
    },
    /// Asks for a vote.
    RequestVote {
        /// The sender's log entry.
        last_entry: LogPosition,
    },
    /// Answers a request for a vote.
    VoteReply {
        /// Whether the sender has voted so.
        granted: bool,
    },
    /// The leader's heartbeat, with its log entry.
    AppendEntry(AppendEntry),
    /// Answers an append.
    AppendReply(AppendReply),
    /// A voter that has lost its hard state asks for the others'.
    HardStateRequest {
        /// Drawn when the sender lost its hard state: replies to an earlier request don't count.
        nonce: u64,
    },
    /// Answers with the sender's hard state; its term is the message's.
    HardStateReply {
        /// Of the request.
        nonce: u64,
        /// The sender's log entry.
        entry: VersionHeader,
    },
}

/// A message to or from another voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RaftMessage {
    /// The other voter: its place in the list of voters.
    pub peer: u8,
    /// The sender's term, or the term that it would begin.
    pub term: u64,
    /// What is said.
    pub payload: RaftPayload,
}

/// How a proposal ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// It was committed as this version.
    Committed(u64),
    /// It changes nothing, for this reason.
    Rejected(String),
    /// The sender is not the leader, this voter may be.
    NotLeader(u8),
}

/// A document that is proposed; who proposes it hands it out in chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProposalRequest {
    /// Names the proposal in the answer to it.
    pub nonce: u64,
    /// The version that the document is to follow.
    pub expected_version: u64,
    /// Digest of the document.
    pub digest: u64,
    /// Length of the document, bytes.
    pub length: u32,
}

/// The latest committed version, as told to a subscriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The version.
    pub header: VersionHeader,
    /// It was committed at least this long ago, microseconds.
    pub committed_for_us: u64,
    /// It was the latest at this reading of the receiver's clock; 0 if the sender can't tell.
    pub latest_at_us: u64,
}

/// Asks for the chunks of a document from an offset on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkRequest {
    /// Digest of the document.
    pub digest: u64,
    /// A document that the sender holds, to be sent a delta to; 0 for the whole document.
    pub base: u64,
    /// Where the first chunk is to begin, bytes.
    pub offset: u32,
}

/// A chunk of a document, or of a delta that makes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Digest of the document.
    pub digest: u64,
    /// The document that the delta is to; 0 for the whole document.
    pub base: u64,
    /// Length of the whole document or delta, bytes.
    pub total: u32,
    /// Where this chunk begins, bytes.
    pub offset: u32,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Between voters.
    Raft {
        /// Digest of the sender's list of voters, which has to be the same at all nodes.
        voters_digest: u64,
        /// The sender's place in that list.
        from: u8,
        /// The sender's term, or the term that it would begin.
        term: u64,
        /// What is said.
        payload: RaftPayload,
    },
    /// Asks for announcements from now on.
    Subscribe {
        /// The sender's clock.
        clock_us: u64,
        /// The version that is active at the sender.
        active_version: u64,
    },
    /// Announces the latest committed version to a subscriber.
    Announce(Announcement),
    /// Asks for a document.
    ChunkRequest(ChunkRequest),
    /// A part of a document.
    Chunk(Chunk),
    /// Proposes a document.
    Propose(ProposalRequest),
    /// Answers a proposal.
    ProposeReply {
        /// Of the proposal.
        nonce: u64,
        /// How it ended.
        outcome: ProposalOutcome,
    },
}
