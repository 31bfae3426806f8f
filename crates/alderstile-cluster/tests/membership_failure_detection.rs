//! Failure detection: who is found, suspected, dead, and found again.

mod support;

use alderstile::types::Micros;
use alderstile_cluster::membership::{
    DatagramHeader, InstanceId, MemberState, MemberUpdate, Membership, MembershipChange, MembershipEffect,
    Message,
};

use support::members::{
    address, carry, carry_watched, codec, member, newcomer, next_due, pass, record, state,
};

#[test]
fn members_find_each_other_by_any_one_seed() {
    // The first seed does not exist.
    let mut members = vec![member(2, &[]), member(3, &[]), member(4, &[])];
    let mut now = Micros(0);
    pass(&mut members, &mut now, Micros::from_millis(30_000));
    assert!(members.iter().all(|member| member.live_count() == 3), "all know all");
    assert!(
        members.iter().all(|member| member.counters().unauthenticated + member.counters().malformed == 0)
    );
}

#[test]
fn a_death_is_suspected_first_and_leaving_is_no_death() {
    let mut members = vec![member(1, &[2, 3, 4]), member(2, &[1, 3, 4]), member(3, &[1, 2, 4])];
    let mut now = Micros(0);
    // Number 4 never was: it is silent from the start.
    let changes = pass(&mut members, &mut now, Micros::from_millis(15_000));
    let four = InstanceId(4_000);
    let suspected = changes.iter().position(|change| *change == (0, MembershipChange::Suspected(four)));
    let died = changes.iter().position(|change| *change == (0, MembershipChange::Died(four)));
    assert!(suspected.is_some() && suspected < died, "{changes:?}");
    let out = members[2].leave(now);
    carry(&mut members, now, vec![(2, out)]);
    assert_eq!(state(&members[0], InstanceId(3_000)), Some(MemberState::Left));
    assert_eq!(members[0].live_count(), 2);
}

/// Sends a member an update in the name of number 3, which never was.
fn send_update(member: &mut Membership, sequence: u64, update: &MemberUpdate) {
    let header = DatagramHeader { sender: InstanceId(3_000), receiver: member.local().instance, sequence };
    let (bytes, _) = codec().encode(header, &Message::Nack { nonce: 0 }, &[update]);
    member.handle_datagram(Micros(0), address(3), &bytes);
}

#[test]
fn two_members_that_hold_each_other_dead_recover_with_one_ping_and_its_ack() {
    // A member that hears in an ack that it is held dead refutes that to the sender at once.
    let mut members = vec![member(1, &[2, 3]), member(2, &[1, 3])];
    for (i, other) in [(0, 2_000), (1, 1_000)] {
        send_update(&mut members[i], 1, &MemberUpdate::Dead { instance: InstanceId(other), incarnation: 1 });
    }
    let mut now = Micros(0);
    let changes = loop {
        let (due, i) = next_due(&members);
        assert!(due < Micros::from_millis(4_000), "nobody asks");
        now = now.max(due);
        let out = members[i].handle_timeout(now);
        let changes = carry(&mut members, now, vec![(i, out)]);
        if changes.iter().any(|(_, change)| *change == MembershipChange::Refuted) {
            break changes;
        }
    };
    assert_eq!(state(&members[0], InstanceId(2_000)), Some(MemberState::Alive), "{changes:?}");
    assert_eq!(state(&members[1], InstanceId(1_000)), Some(MemberState::Alive), "{changes:?}");
}

#[test]
fn a_member_held_dead_that_identifies_itself_hears_of_it() {
    let mut one = member(1, &[2, 3]);
    send_update(&mut one, 1, &MemberUpdate::Dead { instance: InstanceId(2_000), incarnation: 1 });
    let header = DatagramHeader { sender: InstanceId(2_000), receiver: InstanceId(1_000), sequence: 1 };
    let here = codec().encode(header, &Message::Identify { record: record(2) }, &[]).0;
    let out = one.handle_datagram(Micros(0), address(2), &here);
    let [MembershipEffect::Send { to, datagram: bytes }] = &out[..] else { panic!("{out:?}") };
    let updates = codec().decode(bytes).expect("a datagram").updates;
    assert_eq!(*to, address(2));
    assert_eq!(updates, [MemberUpdate::Dead { instance: InstanceId(2_000), incarnation: 1 }]);
}

#[test]
fn each_dead_member_is_probed_in_turn_while_few_are_left() {
    let mut one = member(1, &[2, 3, 4, 5, 6]);
    for n in [2, 4, 5, 6, 3] {
        // The last word is the end of who says it.
        send_update(&mut one, n, &MemberUpdate::Dead { instance: InstanceId(n * 1_000), incarnation: 1 });
    }
    assert_eq!(one.live_count(), 1);
    let mut now = Micros(0);
    // A first turn in the order of chance, then each turn in five periods; later in ten thirds of one for each, more than five.
    for (wait, periods, turns) in [(0, 6, 1), (0, 30, 6), (300, 30, 5)] {
        now = now + Micros::from_millis(wait * 1_000);
        one.handle_timeout(now);
        let mut asked = std::collections::BTreeMap::new();
        for _ in 0..periods {
            now = now.max(one.next_timeout());
            for out in one.handle_timeout(now) {
                if let MembershipEffect::Send { to, .. } = out {
                    *asked.entry(to).or_insert(0) += 1;
                }
            }
        }
        assert!(asked.len() == 5 && asked.values().all(|n| *n >= turns), "{asked:?} in {periods} periods");
    }
}

#[test]
fn a_member_that_joins_at_the_end_of_a_round_is_pinged_evenly() {
    // If all put it into what is left of the round, nobody pings it in the other periods, round after round.
    let known: Vec<u64> = (1..=40).collect();
    let mut members: Vec<Membership> = known.iter().map(|n| member(*n, &known)).collect();
    let mut now = Micros(0);
    pass(&mut members, &mut now, Micros::from_millis(36_000));
    members.push(newcomer(record(99), 99, now));
    let (mut last, mut longest) = (now, Micros(0));
    while now < Micros::from_millis(160_000) {
        let (due, i) = next_due(&members);
        now = now.max(due);
        let out = members[i].handle_timeout(now);
        carry_watched(&mut members, now, vec![(i, out)], &mut |to, bytes| {
            let ping =
                codec().decode(bytes).is_ok_and(|datagram| matches!(datagram.message, Message::Ping { .. }));
            if ping && to == address(99) {
                longest = longest.max(now - last);
                last = now;
            }
        });
    }
    longest = longest.max(now - last);
    // Forty members, each at a period of its own: none in ten periods has a chance of e^-10.
    assert!(longest < Micros::from_millis(10_000), "{:.1} s without a ping", longest.as_secs_f64());
}

#[test]
fn a_stalled_process_declares_nobody_dead() {
    let mut members = vec![member(1, &[2, 3]), member(2, &[1, 3]), member(3, &[1, 2])];
    let mut now = Micros(0);
    pass(&mut members, &mut now, Micros::from_millis(3_000));
    // Number 1 alone: an hour later, as if its machine had slept.
    now = now + Micros(3_600_000_000);
    let out = members[0].handle_timeout(now);
    assert!(out.iter().any(|out| matches!(out, MembershipEffect::Changed(MembershipChange::Stalled(_)))));
    assert!(!out.iter().any(|out| matches!(
        out,
        MembershipEffect::Changed(MembershipChange::Died(_) | MembershipChange::Suspected(_))
    )));
}

#[test]
fn a_clock_that_goes_back_does_nothing_twice() {
    let mut one = member(1, &[2, 3]);
    let sent = |out: Vec<MembershipEffect>| {
        out.iter().filter(|out| matches!(out, MembershipEffect::Send { .. })).count()
    };
    assert!(sent(one.handle_timeout(Micros(5_000_000))) > 0);
    let due = one.next_timeout();
    assert_eq!(sent(one.handle_timeout(Micros(1))), 0);
    assert_eq!(one.next_timeout(), due);
}

#[test]
fn contacts_of_missing_seeds_back_off() {
    let mut lonely = vec![member(3, &[])];
    let mut now = Micros(0);
    pass(&mut lonely, &mut now, Micros::from_millis(60_000));
    let first = lonely[0].counters().sent;
    pass(&mut lonely, &mut now, Micros::from_millis(600_000));
    let later = lonely[0].counters().sent - first;
    assert!(first >= 4 && later >= 5, "{first} in the first minute, {later} in ten more");
    assert!(later < 10 * first, "{first} in the first minute, {later} in ten more");
    // And finds them when they come.
    lonely.push(member(1, &[]));
    pass(&mut lonely, &mut now, Micros::from_millis(240_000));
    assert_eq!(lonely[0].live_count(), 2);
}
