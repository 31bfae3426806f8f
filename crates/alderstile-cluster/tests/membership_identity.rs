//! The identity of members: names, addresses, metadata and incarnations.

mod support;

use alderstile::types::Micros;
use alderstile_cluster::membership::{
    DatagramHeader, InstanceId, MAX_METADATA_BYTES, MemberRecord, MemberState, MemberUpdate,
    MembershipChange, Message, RecordError,
};

use support::members::{address, advance, codec, joining_member, member, record, state};

#[test]
fn a_restarted_member_replaces_its_earlier_instance() {
    let mut members = vec![member(1, &[2, 3]), member(2, &[1, 3])];
    // Member 3 restarts as another process at the same address, while the others still consider the old one
    // alive.
    let restarted = MemberRecord { instance: InstanceId(33), ..record(3) };
    members.push(joining_member(restarted, 9, Micros(0)));
    let mut now = Micros(0);
    let changes = advance(&mut members, &mut now, Micros::from_millis(5_000));
    assert!(
        changes.iter().any(|(_, change)| *change == MembershipChange::Replaced(InstanceId(3_000))),
        "{changes:?}"
    );
    assert_eq!(state(&members[0], InstanceId(3_000)), Some(MemberState::Dead));
    assert_eq!(state(&members[0], InstanceId(33)), Some(MemberState::Alive));
    assert!(members[0].name_conflicts().is_empty() && members[0].live_count() == 3);
}

#[test]
fn a_name_conflict_is_reported_and_both_members_stay_alive() {
    let mut members = vec![member(1, &[2]), member(2, &[1])];
    let namesake = MemberRecord { name: "n2".into(), ..record(5) };
    members.push(joining_member(namesake, 5, Micros(0)));
    let mut now = Micros(0);
    let changes = advance(&mut members, &mut now, Micros::from_millis(5_000));
    for (i, member) in members.iter().enumerate() {
        assert!(
            changes.contains(&(i, MembershipChange::NameConflict("n2".into()))),
            "member {i}: {changes:?}"
        );
        assert!(member.name_conflicts().contains("n2"));
    }
    assert_eq!(state(&members[0], InstanceId(2_000)), Some(MemberState::Alive));
    assert_eq!(state(&members[0], InstanceId(5_000)), Some(MemberState::Alive));
    // After one of the two has gone, the conflict is resolved.
    members.pop();
    let changes = advance(&mut members, &mut now, Micros::from_millis(20_000));
    assert!(changes.contains(&(0, MembershipChange::NameConflictResolved("n2".into()))), "{changes:?}");
}

#[test]
fn metadata_within_its_bound_and_config_digests_reach_other_members() {
    let mut members = vec![member(1, &[2, 3]), member(2, &[1, 3]), member(3, &[1, 2])];
    members[0].set_metadata(4, b"cold").expect("metadata within the bound");
    members[0].set_config_digest(99);
    assert_eq!(members[0].set_metadata(5, &[0; MAX_METADATA_BYTES]), Err(RecordError::MetadataLength));
    let mut now = Micros(0);
    advance(&mut members, &mut now, Micros::from_millis(5_000));
    let received = &members[2].peer(InstanceId(1_000)).expect("known").record;
    assert_eq!(
        (received.metadata_value(4), received.metadata_value(5), received.config_digest),
        (Some(&b"cold"[..]), None, 99)
    );
    members[0].set_metadata(4, b"").expect("removed metadata");
    advance(&mut members, &mut now, Micros::from_millis(5_000));
    assert_eq!(members[2].peer(InstanceId(1_000)).expect("known").record.metadata_value(4), None);
}

#[test]
fn the_highest_incarnation_does_not_overflow() {
    // Raising the highest incarnation would overflow, and panic in builds with overflow checks.
    let mut receiver = member(1, &[2]);
    let header = DatagramHeader { sender: InstanceId(2_000), receiver: InstanceId(1_000), sequence: 1 };
    let highest = MemberUpdate::Suspect {
        instance: InstanceId(1_000),
        incarnation: u64::MAX,
        reporter: InstanceId(2_000),
    };
    let (bytes, _) = codec().encode(header, &Message::Nack { nonce: 0 }, &[&highest]);
    receiver.handle_datagram(Micros(0), address(2), &bytes);
    receiver.set_config_digest(8);
    receiver.leave(Micros(1));
    assert_eq!(receiver.local().incarnation, u64::MAX);
}
