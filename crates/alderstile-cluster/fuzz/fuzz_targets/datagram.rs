//! Fuzz target: arbitrary bytes, unsigned and signed with a valid key, are decoded or rejected without a
//! panic, and the member counts stay consistent.

#![no_main]

use alderstile::types::Micros;
use alderstile_cluster::membership::{DatagramCodec, InstanceId, MemberRecord, Membership, MembershipConfig};
use libfuzzer_sys::fuzz_target;

fuzz_target!(|bytes: &[u8]| {
    let codec = DatagramCodec::new("fuzz", &[b"a key that is long enough".to_vec()]).expect("a valid codec");
    let local = MemberRecord {
        instance: InstanceId(1),
        incarnation: 1,
        name: "n1".into(),
        zone: "a".into(),
        address: ([127, 0, 0, 1], 7_946).into(),
        config_digest: 0,
        metadata: [].into(),
    };
    let config = MembershipConfig::with_period(Micros::from_millis(1_000));
    let mut members = Membership::new(config, codec.clone(), local, Vec::new(), 1, Micros(0));
    let from = ([127, 0, 0, 2], 7_946).into();
    members.handle_datagram(Micros(1), from, bytes);
    members.handle_datagram(Micros(2), from, &codec.sign_payload(bytes));
    members.handle_timeout(Micros(10_000_000));
    assert_eq!(members.live_count(), members.peers().filter(|other| other.state.is_live()).count() + 1);
});
