//! Members driven by hand: their records, and the carrying of their datagrams in simulated time.

use std::net::SocketAddr;

use alderstile::types::Micros;
use alderstile_cluster::membership::{
    DatagramCodec, InstanceId, MemberRecord, MemberState, Membership, MembershipChange, MembershipConfig,
    MembershipEffect,
};

pub const KEY: &[u8] = b"sixteen bytes or more";

pub fn codec() -> DatagramCodec {
    DatagramCodec::new("test", &[KEY.to_vec()]).expect("a codec")
}

pub fn address(n: u64) -> SocketAddr {
    format!("127.0.0.{n}:7946").parse().expect("an address")
}

pub fn record(n: u64) -> MemberRecord {
    let (name, zone) = (format!("n{n}").into(), "a".into());
    let (instance, address) = (InstanceId(n * 1_000), address(n));
    MemberRecord { instance, incarnation: 1, name, zone, address, config_digest: 7, metadata: [].into() }
}

pub fn period() -> Micros {
    Micros::from_millis(1_000)
}

pub fn member_with(n: u64, codec: DatagramCodec, known: &[u64]) -> Membership {
    let set = MembershipConfig::with_period(period());
    let seeds = vec![address(1), address(2)];
    Membership::new(set, codec, record(n), seeds, n, Micros(0))
        .with_known_members(known.iter().map(|n| record(*n)))
}

pub fn member(n: u64, known: &[u64]) -> Membership {
    member_with(n, codec(), known)
}

/// One that knows nobody and has number 1 as its seed.
pub fn newcomer(record: MemberRecord, random_seed: u64, now: Micros) -> Membership {
    let config = MembershipConfig::with_period(period());
    Membership::new(config, codec(), record, vec![address(1)], random_seed, now)
}

/// The member that has something to do next, and when.
pub fn next_due(members: &[Membership]) -> (Micros, usize) {
    let due = members.iter().enumerate().map(|(i, member)| (member.next_timeout(), i));
    due.min().expect("members")
}

/// Carries all datagrams between these until nobody has anything to say; returns what changed, by whom.
pub fn carry(
    members: &mut [Membership],
    now: Micros,
    out: Vec<(usize, Vec<MembershipEffect>)>,
) -> Vec<(usize, MembershipChange)> {
    carry_watched(members, now, out, &mut |_, _| {})
}

/// The same; what is sent is shown too, with where it goes.
pub fn carry_watched(
    members: &mut [Membership],
    now: Micros,
    mut out: Vec<(usize, Vec<MembershipEffect>)>,
    watch: &mut dyn FnMut(SocketAddr, &[u8]),
) -> Vec<(usize, MembershipChange)> {
    let mut changes = Vec::new();
    while let Some((by, outs)) = out.pop() {
        for one in outs {
            match one {
                MembershipEffect::Changed(change) => changes.push((by, change)),
                MembershipEffect::Send { to, datagram: bytes } => {
                    watch(to, &bytes);
                    let from = members[by].local().address;
                    if let Some(i) = members.iter().position(|member| member.local().address == to) {
                        out.push((i, members[i].handle_datagram(now, from, &bytes)));
                    }
                }
            }
        }
    }
    changes
}

/// Lets time pass for all of them.
pub fn pass(members: &mut [Membership], now: &mut Micros, span: Micros) -> Vec<(usize, MembershipChange)> {
    let until = *now + span;
    let mut changes = Vec::new();
    loop {
        let (due, i) = next_due(members);
        if due > until {
            break;
        }
        *now = (*now).max(due);
        let out = members[i].handle_timeout(*now);
        changes.extend(carry(members, *now, vec![(i, out)]));
    }
    *now = until;
    changes
}

pub fn state(of: &Membership, instance: InstanceId) -> Option<MemberState> {
    of.peer(instance).map(|member| member.state)
}
