//! Any bytes, as they come and signed with the right key: read or refused, never more.

#![no_main]

use alderstile::types::Micros;
use alderstile_cluster::membership::{Members, Record, DatagramCodec, Session, Settings};
use libfuzzer_sys::fuzz_target;

fuzz_target!(|bytes: &[u8]| {
    let codec = DatagramCodec::new("fuzz", &[b"a key that is long enough".to_vec()]).expect("a codec");
    let me = Record {
        session: Session(1),
        incarnation: 1,
        name: "n1".into(),
        zone: "a".into(),
        address: ([127, 0, 0, 1], 7_946).into(),
        digest: 0,
        facts: [].into(),
    };
    let settings = Settings::with_period(Micros::from_millis(1_000));
    let mut members = Members::new(settings, codec.clone(), me, Vec::new(), 1, Micros(0));
    let from = ([127, 0, 0, 2], 7_946).into();
    members.received(Micros(1), from, bytes);
    members.received(Micros(2), from, &codec.sign_payload(bytes));
    members.tick(Micros(10_000_000));
    assert_eq!(members.count(), members.others().filter(|other| other.state.lives()).count() + 1);
});
