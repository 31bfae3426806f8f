//! Compatibility of the replicated configuration's datagrams: each message kind decodes from, and encodes to,
//! the bytes that commit cc53de7 wrote.

use std::path::PathBuf;

use alderstile_cluster::replicated_config::{
    Announcement, AppendEntry, AppendReply, Chunk, ChunkRequest, DatagramCodec, LogPosition, Message,
    ProposalOutcome, ProposalRequest, RaftPayload, VersionHeader,
};

/// Returns one message of each kind with the name of its fixture.
fn messages() -> Vec<(&'static str, Message)> {
    let position = LogPosition { term: 7, version: 41 };
    let header = VersionHeader { position, digest: 0x1122_3344_5566_7788, length: 3_000 };
    let earlier = VersionHeader {
        position: LogPosition { term: 6, version: 40 },
        digest: 0x8877_6655_4433_2211,
        length: 2_999,
    };
    let voter = |payload| Message::Raft { voters_digest: 0x0102_0304_0506_0708, from: 2, term: 8, payload };
    let append = |committed| {
        let (commit_age_us, latest_at_us) = (1_234_567, 0x2000_0000_0000_0001);
        let append = AppendEntry { round: 99, entry: header, committed, commit_age_us, latest_at_us };
        voter(RaftPayload::AppendEntry(append))
    };
    let propose_reply = |outcome| Message::ProposeReply { nonce: 0xfeed, outcome };
    vec![
        ("pre_vote", voter(RaftPayload::PreVote { last_entry: position })),
        ("pre_vote_reply", voter(RaftPayload::PreVoteReply { granted: true })),
        ("vote", voter(RaftPayload::RequestVote { last_entry: position })),
        ("vote_reply", voter(RaftPayload::VoteReply { granted: false })),
        ("append", append(None)),
        ("append_with_committed", append(Some(earlier))),
        (
            "append_reply",
            voter(RaftPayload::AppendReply(AppendReply {
                round: 99,
                stored: position,
                clock_us: 0x2000_0000_0000_0002,
            })),
        ),
        ("hard_state_request", voter(RaftPayload::HardStateRequest { nonce: 0xabcd })),
        ("hard_state_reply", voter(RaftPayload::HardStateReply { nonce: 0xabcd, entry: header })),
        ("subscribe", Message::Subscribe { clock_us: 0x2000_0000_0000_0003, active_version: 40 }),
        (
            "announce",
            Message::Announce(Announcement {
                header,
                commit_age_us: 2_345_678,
                latest_at_us: 0x2000_0000_0000_0004,
            }),
        ),
        (
            "chunk_request",
            Message::ChunkRequest(ChunkRequest {
                digest: header.digest,
                base: earlier.digest,
                offset: 2_000,
            }),
        ),
        (
            "chunk",
            Message::Chunk(Chunk {
                digest: header.digest,
                base: earlier.digest,
                total: 2_011,
                offset: 2_000,
                bytes: b"hello there".to_vec(),
            }),
        ),
        (
            "propose",
            Message::Propose(ProposalRequest {
                nonce: 0xfeed,
                expected_version: 41,
                digest: 0x99,
                length: 17,
            }),
        ),
        ("propose_reply_committed", propose_reply(ProposalOutcome::Committed(42))),
        ("propose_reply_rejected", propose_reply(ProposalOutcome::Rejected("the key läuft".to_owned()))),
        ("propose_reply_not_leader", propose_reply(ProposalOutcome::NotLeader(3))),
    ]
}

fn codec() -> DatagramCodec {
    DatagramCodec::new("edge", &[(0..16).collect()]).expect("valid codec parameters")
}

fn fixture(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests/fixtures/replicated_config", &format!("{name}.bin")].iter().collect()
}

#[test]
fn datagrams_of_the_previous_version_are_decoded() {
    for (name, message) in messages() {
        let bytes = std::fs::read(fixture(name)).expect(name);
        assert_eq!(codec().decode(&bytes), Ok(message), "{name}");
    }
}

#[test]
fn datagrams_are_encoded_as_the_previous_version_encoded_them() {
    for (name, message) in messages() {
        let bytes = std::fs::read(fixture(name)).expect(name);
        assert_eq!(codec().encode(&message), bytes, "{name}");
    }
}

#[test]
fn every_fixture_has_a_test_message() {
    let dir = fixture("any").parent().expect("fixture directory").to_owned();
    let count = std::fs::read_dir(dir).expect("fixture directory").count();
    assert_eq!(count, messages().len());
}
