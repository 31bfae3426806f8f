//! Members in simulated time: their records, and the delivery of their datagrams.

use std::net::SocketAddr;

use alderstile::types::Micros;
use alderstile_cluster::membership::{
    DatagramCodec, InstanceId, MemberRecord, MemberState, Membership, MembershipChange, MembershipConfig,
    MembershipEffect,
};

pub const KEY: &[u8] = b"sixteen bytes or more";

pub fn codec() -> DatagramCodec {
    DatagramCodec::new("test", &[KEY.to_vec()]).expect("a valid codec")
}

pub fn address(n: u64) -> SocketAddr {
    format!("127.0.0.{n}:7946").parse().expect("a valid address")
}

/// Returns the record of member `n`, whose instance is `n * 1000`.
pub fn record(n: u64) -> MemberRecord {
    let (name, zone) = (format!("n{n}").into(), "a".into());
    let (instance, address) = (InstanceId(n * 1_000), address(n));
    MemberRecord { instance, incarnation: 1, name, zone, address, config_digest: 7, metadata: [].into() }
}

/// Returns the protocol period of all members.
pub fn period() -> Micros {
    Micros::from_millis(1_000)
}

/// Returns member `n` with this codec, which knows the given members from the start.
pub fn member_with(n: u64, codec: DatagramCodec, known: &[u64]) -> Membership {
    let config = MembershipConfig::with_period(period());
    let seeds = vec![address(1), address(2)];
    Membership::new(config, codec, record(n), seeds, n, Micros(0))
        .with_known_members(known.iter().map(|n| record(*n)))
}

pub fn member(n: u64, known: &[u64]) -> Membership {
    member_with(n, codec(), known)
}

/// Returns a member that knows no other member and has member 1 as its seed.
pub fn joining_member(record: MemberRecord, random_seed: u64, now: Micros) -> Membership {
    let config = MembershipConfig::with_period(period());
    Membership::new(config, codec(), record, vec![address(1)], random_seed, now)
}

/// Returns the earliest deadline and the index of its member.
pub fn next_due(members: &[Membership]) -> (Micros, usize) {
    let due = members.iter().enumerate().map(|(i, member)| (member.next_timeout(), i));
    due.min().expect("members")
}

/// Delivers all datagrams between these members until none is left. Returns the changes and the index of the
/// member that reported each.
pub fn deliver(
    members: &mut [Membership],
    now: Micros,
    effects: Vec<(usize, Vec<MembershipEffect>)>,
) -> Vec<(usize, MembershipChange)> {
    deliver_observed(members, now, effects, &mut |_, _| {})
}

/// Does the same as [`deliver`], and passes each datagram with its destination to `observe`.
pub fn deliver_observed(
    members: &mut [Membership],
    now: Micros,
    mut effects: Vec<(usize, Vec<MembershipEffect>)>,
    observe: &mut dyn FnMut(SocketAddr, &[u8]),
) -> Vec<(usize, MembershipChange)> {
    let mut changes = Vec::new();
    while let Some((sender, member_effects)) = effects.pop() {
        for effect in member_effects {
            match effect {
                MembershipEffect::Changed(change) => changes.push((sender, change)),
                MembershipEffect::Send { to, datagram: bytes } => {
                    observe(to, &bytes);
                    let from = members[sender].local().address;
                    if let Some(i) = members.iter().position(|member| member.local().address == to) {
                        effects.push((i, members[i].handle_datagram(now, from, &bytes)));
                    }
                }
            }
        }
    }
    changes
}

/// Advances the time of all members by `span`. Returns the changes and the index of the member that reported
/// each.
pub fn advance(members: &mut [Membership], now: &mut Micros, span: Micros) -> Vec<(usize, MembershipChange)> {
    let until = *now + span;
    let mut changes = Vec::new();
    loop {
        let (due, i) = next_due(members);
        if due > until {
            break;
        }
        *now = (*now).max(due);
        let effects = members[i].handle_timeout(*now);
        changes.extend(deliver(members, *now, vec![(i, effects)]));
    }
    *now = until;
    changes
}

/// Returns the state of an instance in the view of `observer`.
pub fn state(observer: &Membership, instance: InstanceId) -> Option<MemberState> {
    observer.peer(instance).map(|member| member.state)
}
