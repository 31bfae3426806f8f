//! Membership datagrams: which ones are accepted, and that arbitrary input does no harm.

mod support;

use alderstile::types::Micros;
use alderstile_cluster::authentication::{AuthenticatorError, MAX_DATAGRAM_BYTES, MIN_KEY_BYTES};
use alderstile_cluster::membership::{
    DatagramCodec, DatagramHeader, InstanceId, MemberRecord, MemberState, MemberUpdate, Membership,
    MembershipConfig, MembershipEffect, Message,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use support::members::{KEY, address, advance, codec, member, member_with, period, record, state};

#[test]
fn rejected_datagrams_change_nothing_and_are_counted() {
    let mut receiver = member(1, &[2]);
    let ping = |to: u64, sequence, codec: &DatagramCodec| {
        let header = DatagramHeader { sender: InstanceId(2_000), receiver: InstanceId(to), sequence };
        // If accepted, this update would add an unknown member.
        let update = MemberUpdate::Alive(record(9));
        codec.encode(header, &Message::Ping { nonce: 1, record: record(2) }, &[&update]).0
    };
    let receive =
        |receiver: &mut Membership, bytes: &[u8]| receiver.handle_datagram(Micros(0), address(2), bytes);
    let other_key =
        DatagramCodec::new("test", &[b"another key of a length".to_vec()]).expect("a valid codec");
    let other_name = DatagramCodec::new("other", &[KEY.to_vec()]).expect("a valid codec");
    for codec in [&other_key, &other_name] {
        assert_eq!(receive(&mut receiver, &ping(1_000, 1, codec)), []);
    }
    assert_eq!(receiver.counters().unauthenticated, 2);
    let valid = ping(1_000, 1, &codec());
    let mut newer = valid.clone();
    newer[2] = 9;
    assert_eq!(receive(&mut receiver, &newer), []);
    assert_eq!(receiver.counters().unsupported_format, 1);
    for i in 0..valid.len() {
        let mut corrupted = valid.clone();
        corrupted[i] ^= 1;
        assert_eq!(receive(&mut receiver, &corrupted), [], "byte {i}");
        assert_eq!(receive(&mut receiver, &valid[..i]), [], "truncated to {i} bytes");
    }
    // A datagram for another instance at this address is answered with this instance, and otherwise ignored.
    let reply = receive(&mut receiver, &ping(77, 1, &codec()));
    assert!(matches!(reply[..], [MembershipEffect::Send { .. }]), "{reply:?}");
    assert_eq!((receiver.counters().wrong_instance, receiver.counters().accepted), (1, 0));
    assert_eq!(state(&receiver, InstanceId(9_000)), None, "no rejected update was applied");
    receive(&mut receiver, &valid);
    assert_eq!(state(&receiver, InstanceId(9_000)), Some(MemberState::Alive));
    assert_eq!(receive(&mut receiver, &valid), [], "the same datagram again");
    assert_eq!((receiver.counters().replayed, receiver.counters().accepted), (1, 1));
}

#[test]
fn each_sequence_number_is_accepted_once_in_any_order() {
    let mut receiver = member(1, &[2]);
    // Returns whether a datagram with this sequence number is accepted.
    let mut receive = |sequence: u64| {
        let header = DatagramHeader { sender: InstanceId(2_000), receiver: InstanceId(1_000), sequence };
        let (bytes, _) = codec().encode(header, &Message::Nack { nonce: 0 }, &[]);
        let before = receiver.counters();
        receiver.handle_datagram(Micros(0), address(2), &bytes);
        let (accepted, replayed) =
            (receiver.counters().accepted - before.accepted, receiver.counters().replayed - before.replayed);
        assert_eq!(accepted + replayed, 1, "sequence number {sequence}");
        accepted == 1
    };
    let order = [5, 3, 9, 4, 60, 70, 69, 10, 200, 140, 137];
    assert!(order.iter().all(|&n| receive(n)));
    assert!(order.iter().all(|&n| !receive(n)));
    assert!(!receive(136), "below the replay window");
    assert!(receive(u64::MAX) && !receive(u64::MAX) && !receive(200));
}

#[test]
fn two_keys_are_accepted_while_one_replaces_the_other() {
    let (old, new) = (KEY.to_vec(), b"the key that comes next".to_vec());
    let codecs = [vec![old.clone()], vec![old.clone(), new.clone()], vec![new.clone(), old], vec![new]];
    for pair in codecs.windows(2) {
        let codec = |keys| DatagramCodec::new("test", keys).expect("a valid codec");
        let mut members = vec![member_with(1, codec(&pair[0]), &[2]), member_with(2, codec(&pair[1]), &[1])];
        advance(&mut members, &mut Micros(0), Micros::from_millis(5_000));
        assert!(members.iter().all(|m| m.counters().unauthenticated == 0 && m.counters().accepted > 3));
    }
    let error = |cluster, keys: &[Vec<u8>]| DatagramCodec::new(cluster, keys).err();
    assert_eq!(error("test", &[vec![1; MIN_KEY_BYTES - 1]]), Some(AuthenticatorError::KeyTooShort));
    assert_eq!(error("test", &[]), Some(AuthenticatorError::NoKeys));
    assert_eq!(error("", &[KEY.to_vec()]), Some(AuthenticatorError::ClusterNameLength));
}

#[test]
fn datagrams_sent_in_a_period_are_bounded_for_any_input() {
    let mut receiver = member(1, &[2]);
    let mut sent = 0;
    for sequence in 1..5_000 {
        let header = DatagramHeader { sender: InstanceId(2_000), receiver: InstanceId(1_000), sequence };
        let ping = codec().encode(header, &Message::Ping { nonce: sequence, record: record(2) }, &[]).0;
        let effects = receiver.handle_datagram(Micros(10), address(2), &ping);
        for effect in &effects {
            let MembershipEffect::Send { datagram: bytes, .. } = effect else { continue };
            sent += 1;
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        }
    }
    assert_eq!(sent, MembershipConfig::with_period(period()).max_datagrams_per_period);
    assert!(receiver.counters().rate_limited > 0);
}

fn any_record() -> impl Strategy<Value = MemberRecord> {
    (
        1..=u64::MAX,
        any::<u64>(),
        "[a-z0-9]{1,40}",
        "[a-z]{0,24}",
        any::<[u8; 4]>(),
        any::<u16>(),
        any::<u64>(),
    )
        .prop_map(|(instance, incarnation, name, zone, ip, port, digest)| MemberRecord {
            instance: InstanceId(instance),
            incarnation,
            name: name.into(),
            zone: zone.into(),
            address: (ip, port).into(),
            config_digest: digest,
            metadata: [].into(),
        })
}

fn any_update() -> impl Strategy<Value = MemberUpdate> {
    let member = || 1..6u64;
    prop_oneof![
        any_record().prop_map(MemberUpdate::Alive),
        (member(), any::<u64>(), member()).prop_map(|(instance, incarnation, reporter)| {
            MemberUpdate::Suspect {
                instance: InstanceId(instance * 1_000),
                incarnation,
                reporter: InstanceId(reporter * 1_000),
            }
        }),
        (member(), 0..4u64).prop_map(|(instance, incarnation)| MemberUpdate::Dead {
            instance: InstanceId(instance * 1_000),
            incarnation
        }),
        (member(), any::<u64>()).prop_map(|(instance, incarnation)| MemberUpdate::Left {
            instance: InstanceId(instance * 1_000),
            incarnation
        }),
    ]
}

proptest! {
    // The fixed seed generates the same cases in each run.
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(46),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn each_datagram_decodes_to_what_was_encoded(record in any_record(), updates in prop::collection::vec(any_update(), 0..6)) {
        let header = DatagramHeader { sender: record.instance, receiver: InstanceId(5), sequence: 3 };
        for message in [
            Message::Ping { nonce: 1, record: record.clone() },
            Message::Ack { nonce: 2 },
            Message::PingRequest { nonce: 3, target: InstanceId(9), address: record.address },
            Message::Nack { nonce: 4 },
            Message::Identify { record: record.clone() },
            Message::SyncRequest { after: InstanceId(8), record: record.clone() },
            Message::SyncPage { is_last: true, members: vec![(MemberState::Suspect, record.clone())] },
        ] {
            let update_refs: Vec<&MemberUpdate> = updates.iter().collect();
            let (bytes, written) = codec().encode(header, &message, &update_refs);
            prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
            let decoded = codec().decode(&bytes).expect("a valid datagram");
            prop_assert_eq!((decoded.header, &decoded.message, &decoded.updates[..]), (header, &message, &updates[..written]));
        }
    }

    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..1_400)) {
        let mut receiver = member(1, &[2]);
        prop_assert_eq!(receiver.handle_datagram(Micros(0), address(2), &bytes), []);
        // The same bytes, sent by a faulty member that has the key.
        receiver.handle_datagram(Micros(0), address(2), &codec().sign_payload(&bytes));
        prop_assert_eq!(receiver.live_count(), receiver.peers().filter(|other| other.state.is_live()).count() + 1);
    }

    /// Arbitrary updates from members with the key cause no panic, keep the member counts consistent, and
    /// leave no deadline in the past.
    #[test]
    fn no_update_breaks_the_member_counts(
        steps in prop::collection::vec((any_update(), any::<u64>(), 0..3_000u64), 1..60),
    ) {
        let mut receiver = member(1, &[2, 3, 4]);
        let mut now = Micros(0);
        for (sequence, (update, nonce, elapsed_ms)) in steps.into_iter().enumerate() {
            now = now + Micros::from_millis(elapsed_ms);
            let header = DatagramHeader { sender: InstanceId(2_000), receiver: InstanceId(1_000), sequence: sequence as u64 + 1 };
            let (bytes, _) = codec().encode(header, &Message::Nack { nonce }, &[&update]);
            receiver.handle_datagram(now, address(2), &bytes);
            receiver.handle_timeout(now);
            let live_members = receiver.peers().filter(|member| member.state.is_live()).count();
            prop_assert_eq!(receiver.live_count(), live_members + 1);
            prop_assert!(receiver.next_timeout() > now, "no deadline is left in the past");
        }
    }
}
