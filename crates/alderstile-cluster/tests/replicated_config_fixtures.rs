//! Datagrams of the replicated configuration as cc53de7 wrote them: each kind is read, and written as the same bytes.

use std::path::PathBuf;

use alderstile_cluster::replicated_config::{
    LogPosition, Message, ProposalOutcome, RaftPayload, Seal, VersionHeader,
};

/// One message of each kind, under the name of its fixture.
fn messages() -> Vec<(&'static str, Message)> {
    let stamp = LogPosition { term: 7, version: 41 };
    let head = VersionHeader { stamp, digest: 0x1122_3344_5566_7788, length: 3_000 };
    let earlier = VersionHeader {
        stamp: LogPosition { term: 6, version: 40 },
        digest: 0x8877_6655_4433_2211,
        length: 2_999,
    };
    let voter = |ballot| Message::Raft { voters: 0x0102_0304_0506_0708, from: 2, term: 8, ballot };
    let append = |agreed| {
        let (since, fresh) = (1_234_567, 0x2000_0000_0000_0001);
        voter(RaftPayload::AppendEntry { round: 99, head, agreed, since, fresh })
    };
    let answer = |outcome| Message::ProposeReply { nonce: 0xfeed, outcome };
    vec![
        ("pre_vote", voter(RaftPayload::PreVote(stamp))),
        ("pre_vote_reply", voter(RaftPayload::PreVoteReply(true))),
        ("vote", voter(RaftPayload::RequestVote(stamp))),
        ("vote_reply", voter(RaftPayload::VoteReply(false))),
        ("append", append(None)),
        ("append_with_committed", append(Some(earlier))),
        (
            "append_reply",
            voter(RaftPayload::AppendReply { round: 99, stored: stamp, clock: 0x2000_0000_0000_0002 }),
        ),
        ("hard_state_request", voter(RaftPayload::HardStateRequest { nonce: 0xabcd })),
        ("hard_state_reply", voter(RaftPayload::HardStateReply { nonce: 0xabcd, head })),
        ("subscribe", Message::Subscribe { clock: 0x2000_0000_0000_0003, in_force: 40 }),
        ("notify", Message::Announce { head, since: 2_345_678, fresh: 0x2000_0000_0000_0004 }),
        ("chunk_request", Message::ChunkRequest { digest: head.digest, base: earlier.digest, offset: 2_000 }),
        (
            "chunk",
            Message::Chunk {
                digest: head.digest,
                base: earlier.digest,
                total: 2_011,
                offset: 2_000,
                bytes: b"hello there".to_vec(),
            },
        ),
        ("propose", Message::Propose { nonce: 0xfeed, expect: 41, digest: 0x99, length: 17 }),
        ("propose_reply_committed", answer(ProposalOutcome::Committed(42))),
        ("propose_reply_rejected", answer(ProposalOutcome::Rejected("the key läuft".to_owned()))),
        ("propose_reply_not_leader", answer(ProposalOutcome::NotLeader(3))),
    ]
}

fn seal() -> Seal {
    Seal::new("edge", &[(0..16).collect()]).expect("a seal")
}

fn fixture(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests/fixtures/replicated_config", &format!("{name}.bin")].iter().collect()
}

#[test]
fn datagrams_of_the_version_before_are_read() {
    for (name, message) in messages() {
        let bytes = std::fs::read(fixture(name)).expect(name);
        assert_eq!(seal().read(&bytes), Ok(message), "{name}");
    }
}

#[test]
fn datagrams_are_written_as_the_version_before_wrote_them() {
    for (name, message) in messages() {
        let bytes = std::fs::read(fixture(name)).expect(name);
        assert_eq!(seal().write(&message), bytes, "{name}");
    }
}

#[test]
fn every_fixture_is_tested() {
    let dir = fixture("any").parent().expect("a folder").to_owned();
    let count = std::fs::read_dir(dir).expect("a folder").count();
    assert_eq!(count, messages().len());
}
