//! Property tests of messages and deltas: encoding round-trips, and no datagram makes a node panic.

use alderstile::types::Micros;
use alderstile_cluster::replicated_config::{
    Announcement, AppendEntry, AppendReply, Chunk, ChunkRequest, DatagramCodec, LogPosition, MAX_CHUNK,
    MAX_DOCUMENT, Message, PersistedState, ProposalOutcome, ProposalRequest, RaftPayload, ReplicatedConfig,
    ReplicationSettings, VersionHeader, apply_delta, encode_delta,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

mod support;
use support::simulated_cluster::{KEY, address, codec, validate_document};

/// Generates arbitrary messages.
fn message() -> impl Strategy<Value = Message> {
    let number = any::<u64>;
    let length = || 0..=MAX_DOCUMENT as u32;
    let position = || (number(), number()).prop_map(|(term, version)| LogPosition { term, version });
    let header = move || {
        (position(), number(), length()).prop_map(|(position, digest, length)| VersionHeader {
            position,
            digest,
            length,
        })
    };
    let append = (number(), header(), proptest::option::of(header()), number(), number()).prop_map(
        |(round, entry, committed, commit_age_us, latest_at_us)| AppendEntry {
            round,
            entry,
            committed,
            commit_age_us,
            latest_at_us,
        },
    );
    let append_reply = (number(), position(), number()).prop_map(|(round, stored, clock_us)| AppendReply {
        round,
        stored,
        clock_us,
    });
    let payload = prop_oneof![
        position().prop_map(|last_entry| RaftPayload::PreVote { last_entry }),
        any::<bool>().prop_map(|granted| RaftPayload::PreVoteReply { granted }),
        position().prop_map(|last_entry| RaftPayload::RequestVote { last_entry }),
        any::<bool>().prop_map(|granted| RaftPayload::VoteReply { granted }),
        append.prop_map(RaftPayload::AppendEntry),
        append_reply.prop_map(RaftPayload::AppendReply),
        number().prop_map(|nonce| RaftPayload::HardStateRequest { nonce }),
        (number(), header()).prop_map(|(nonce, entry)| RaftPayload::HardStateReply { nonce, entry }),
    ];
    let outcome = prop_oneof![
        number().prop_map(ProposalOutcome::Committed),
        "[a-zé]{0,100}".prop_map(ProposalOutcome::Rejected),
        any::<u8>().prop_map(ProposalOutcome::NotLeader),
    ];
    let announcement = (header(), number(), number()).prop_map(|(header, commit_age_us, latest_at_us)| {
        Announcement { header, commit_age_us, latest_at_us }
    });
    let chunk_request = (number(), number(), any::<u32>()).prop_map(|(digest, base, offset)| ChunkRequest {
        digest,
        base,
        offset,
    });
    let bytes = proptest::collection::vec(any::<u8>(), 0..=MAX_CHUNK);
    let chunk = (number(), number(), length(), any::<u32>(), bytes)
        .prop_map(|(digest, base, total, offset, bytes)| Chunk { digest, base, total, offset, bytes });
    let proposal =
        (number(), number(), number(), length()).prop_map(|(nonce, expected_version, digest, length)| {
            ProposalRequest { nonce, expected_version, digest, length }
        });
    prop_oneof![
        (number(), any::<u8>(), number(), payload).prop_map(|(voters_digest, from, term, payload)| {
            Message::Raft { voters_digest, from, term, payload }
        }),
        (number(), number())
            .prop_map(|(clock_us, active_version)| Message::Subscribe { clock_us, active_version }),
        announcement.prop_map(Message::Announce),
        chunk_request.prop_map(Message::ChunkRequest),
        chunk.prop_map(Message::Chunk),
        proposal.prop_map(Message::Propose),
        (number(), outcome).prop_map(|(nonce, outcome)| Message::ProposeReply { nonce, outcome }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(46), ..ProptestConfig::default() })]

    #[test]
    fn every_message_is_decoded_as_it_was_encoded(message in message()) {
        let bytes = codec().encode(&message);
        prop_assert!(bytes.len() <= 1_200);
        prop_assert_eq!(codec().decode(&bytes), Ok(message));
    }

    /// Covers arbitrary, truncated and foreign datagrams, and arbitrary payloads signed with the cluster's
    /// key.
    #[test]
    fn no_message_and_no_bytes_make_a_node_panic(
        payloads in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..200), 1..20),
        messages in proptest::collection::vec(message(), 1..40),
        truncated_length in any::<u8>(),
    ) {
        for local_voter in [None, Some(1)] {
            let settings = ReplicationSettings::new((0..3).map(address).collect(), local_voter);
            let stored = local_voter.map(|_| PersistedState::genesis());
            let mut core = ReplicatedConfig::new(settings.clone(), codec(), stored, Box::new(validate_document), 5, Micros(0));
            let mut now = Micros(0);
            let mut deliver = |bytes: &[u8]| {
                now = now + Micros(40_000);
                let mut effects = core.tick(now);
                effects.extend(core.handle_datagram(now, address(2), bytes));
                effects
            };
            for payload in &payloads {
                deliver(payload);
                deliver(&codec().sign_payload(payload));
            }
            for message in &messages {
                let bytes = codec().encode(message);
                deliver(&bytes[..bytes.len().min(usize::from(truncated_length))]);
                deliver(&bytes);
                let foreign = DatagramCodec::new("other", &[KEY.to_vec()]).expect("valid codec parameters").encode(message);
                deliver(&foreign);
            }
            prop_assert!(core.traffic().foreign > 0);
        }
    }

    #[test]
    fn a_delta_applied_to_the_old_document_yields_the_new_one(
        old in proptest::collection::vec(0_u8..3, 0..60),
        new in proptest::collection::vec(0_u8..3, 0..60),
        other in proptest::collection::vec(any::<u8>(), 0..60),
    ) {
        prop_assert_eq!(apply_delta(&old, &encode_delta(&old, &new)), Some(new));
        // Arbitrary bytes as a delta yield some document or none, without a panic.
        let _ = apply_delta(&old, &other);
    }
}
