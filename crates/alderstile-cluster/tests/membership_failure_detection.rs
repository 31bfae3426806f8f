//! Failure detection: how members join, become suspect and dead, and recover.

mod support;

use alderstile::types::Micros;
use alderstile_cluster::membership::{
    DatagramHeader, InstanceId, MemberState, MemberUpdate, Membership, MembershipChange, MembershipEffect,
    Message,
};

use support::members::{
    address, advance, codec, deliver, deliver_observed, joining_member, member, next_due, record, state,
};

#[test]
fn members_find_each_other_through_the_one_reachable_seed() {
    // There is no member at the address of the first seed.
    let mut members = vec![member(2, &[]), member(3, &[]), member(4, &[])];
    let mut now = Micros(0);
    advance(&mut members, &mut now, Micros::from_millis(30_000));
    assert!(members.iter().all(|member| member.live_count() == 3), "each member knows all others");
    assert!(
        members.iter().all(|member| member.counters().unauthenticated + member.counters().malformed == 0)
    );
}

#[test]
fn a_silent_member_is_suspected_before_it_is_dead_and_a_leaving_member_has_left() {
    let mut members = vec![member(1, &[2, 3, 4]), member(2, &[1, 3, 4]), member(3, &[1, 2, 4])];
    let mut now = Micros(0);
    // Member 4 is known to the others but does not exist, so it never answers.
    let changes = advance(&mut members, &mut now, Micros::from_millis(15_000));
    let silent = InstanceId(4_000);
    let suspected = changes.iter().position(|change| *change == (0, MembershipChange::Suspected(silent)));
    let died = changes.iter().position(|change| *change == (0, MembershipChange::Died(silent)));
    assert!(suspected.is_some() && suspected < died, "{changes:?}");
    let effects = members[2].leave(now);
    deliver(&mut members, now, vec![(2, effects)]);
    assert_eq!(state(&members[0], InstanceId(3_000)), Some(MemberState::Left));
    assert_eq!(members[0].live_count(), 2);
}

/// Sends a member an update in the name of member 3, which does not exist.
fn send_update(member: &mut Membership, sequence: u64, update: &MemberUpdate) {
    let header = DatagramHeader { sender: InstanceId(3_000), receiver: member.local().instance, sequence };
    let (bytes, _) = codec().encode(header, &Message::Nack { nonce: 0 }, &[update]);
    member.handle_datagram(Micros(0), address(3), &bytes);
}

#[test]
fn two_members_that_consider_each_other_dead_recover_with_one_ping_and_its_ack() {
    // A member that receives its own death with an ack refutes it to the sender at once.
    let mut members = vec![member(1, &[2, 3]), member(2, &[1, 3])];
    for (i, other) in [(0, 2_000), (1, 1_000)] {
        send_update(&mut members[i], 1, &MemberUpdate::Dead { instance: InstanceId(other), incarnation: 1 });
    }
    let mut now = Micros(0);
    let changes = loop {
        let (due, i) = next_due(&members);
        assert!(due < Micros::from_millis(4_000), "no member probed a dead peer within 4 s");
        now = now.max(due);
        let effects = members[i].handle_timeout(now);
        let changes = deliver(&mut members, now, vec![(i, effects)]);
        if changes.iter().any(|(_, change)| *change == MembershipChange::Refuted) {
            break changes;
        }
    };
    assert_eq!(state(&members[0], InstanceId(2_000)), Some(MemberState::Alive), "{changes:?}");
    assert_eq!(state(&members[1], InstanceId(1_000)), Some(MemberState::Alive), "{changes:?}");
}

#[test]
fn a_member_considered_dead_that_identifies_itself_is_notified() {
    let mut observer = member(1, &[2, 3]);
    send_update(&mut observer, 1, &MemberUpdate::Dead { instance: InstanceId(2_000), incarnation: 1 });
    let header = DatagramHeader { sender: InstanceId(2_000), receiver: InstanceId(1_000), sequence: 1 };
    let identify = codec().encode(header, &Message::Identify { record: record(2) }, &[]).0;
    let effects = observer.handle_datagram(Micros(0), address(2), &identify);
    let [MembershipEffect::Send { to, datagram: bytes }] = &effects[..] else { panic!("{effects:?}") };
    let updates = codec().decode(bytes).expect("a datagram").updates;
    assert_eq!(*to, address(2));
    assert_eq!(updates, [MemberUpdate::Dead { instance: InstanceId(2_000), incarnation: 1 }]);
}

#[test]
fn each_dead_member_is_probed_in_turn_when_few_members_are_live() {
    let mut observer = member(1, &[2, 3, 4, 5, 6]);
    for n in [2, 4, 5, 6, 3] {
        // The updates come from member 3, so its own death is the last of them.
        send_update(
            &mut observer,
            n,
            &MemberUpdate::Dead { instance: InstanceId(n * 1_000), incarnation: 1 },
        );
    }
    assert_eq!(observer.live_count(), 1);
    let mut now = Micros(0);
    // The first round is in random order within 6 periods; then each round takes five periods. After 300 s,
    // the interval for each address is 10/3 periods, less than the five periods of a round, so rounds still
    // take about as long.
    for (wait, periods, rounds) in [(0, 6, 1), (0, 30, 6), (300, 30, 5)] {
        now = now + Micros::from_millis(wait * 1_000);
        observer.handle_timeout(now);
        let mut probe_counts = std::collections::BTreeMap::new();
        for _ in 0..periods {
            now = now.max(observer.next_timeout());
            for effect in observer.handle_timeout(now) {
                if let MembershipEffect::Send { to, .. } = effect {
                    *probe_counts.entry(to).or_insert(0) += 1;
                }
            }
        }
        assert!(
            probe_counts.len() == 5 && probe_counts.values().all(|n| *n >= rounds),
            "{probe_counts:?} in {periods} periods"
        );
    }
}

#[test]
fn a_member_that_joins_at_the_end_of_a_round_is_pinged_evenly() {
    // If all members inserted the new one into the rest of their current round, they would ping it in the
    // same few periods of each round, and no member would ping it in the others.
    let known: Vec<u64> = (1..=40).collect();
    let mut members: Vec<Membership> = known.iter().map(|n| member(*n, &known)).collect();
    let mut now = Micros(0);
    advance(&mut members, &mut now, Micros::from_millis(36_000));
    members.push(joining_member(record(99), 99, now));
    let (mut last_ping_at, mut longest_gap) = (now, Micros(0));
    while now < Micros::from_millis(160_000) {
        let (due, i) = next_due(&members);
        now = now.max(due);
        let effects = members[i].handle_timeout(now);
        deliver_observed(&mut members, now, vec![(i, effects)], &mut |to, bytes| {
            let is_ping =
                codec().decode(bytes).is_ok_and(|datagram| matches!(datagram.message, Message::Ping { .. }));
            if is_ping && to == address(99) {
                longest_gap = longest_gap.max(now - last_ping_at);
                last_ping_at = now;
            }
        });
    }
    longest_gap = longest_gap.max(now - last_ping_at);
    // Forty members ping it once per round of forty periods, at independent times: the probability of ten
    // periods without a ping is e^-10.
    assert!(longest_gap < Micros::from_millis(10_000), "{:.1} s without a ping", longest_gap.as_secs_f64());
}

#[test]
fn a_stalled_process_suspects_no_member() {
    let mut members = vec![member(1, &[2, 3]), member(2, &[1, 3]), member(3, &[1, 2])];
    let mut now = Micros(0);
    advance(&mut members, &mut now, Micros::from_millis(3_000));
    // Only the clock of member 1 advances by an hour, as if its machine had been suspended.
    now = now + Micros(3_600_000_000);
    let effects = members[0].handle_timeout(now);
    assert!(
        effects
            .iter()
            .any(|effect| matches!(effect, MembershipEffect::Changed(MembershipChange::Stalled(_))))
    );
    assert!(!effects.iter().any(|effect| matches!(
        effect,
        MembershipEffect::Changed(MembershipChange::Died(_) | MembershipChange::Suspected(_))
    )));
}

#[test]
fn a_clock_that_goes_back_triggers_no_timeout_again() {
    let mut observer = member(1, &[2, 3]);
    let sent_count = |effects: Vec<MembershipEffect>| {
        effects.iter().filter(|effect| matches!(effect, MembershipEffect::Send { .. })).count()
    };
    assert!(sent_count(observer.handle_timeout(Micros(5_000_000))) > 0);
    let due = observer.next_timeout();
    assert_eq!(sent_count(observer.handle_timeout(Micros(1))), 0);
    assert_eq!(observer.next_timeout(), due);
}

#[test]
fn contacts_of_missing_seeds_back_off_and_still_find_a_seed_that_starts() {
    let mut members = vec![member(3, &[])];
    let mut now = Micros(0);
    advance(&mut members, &mut now, Micros::from_millis(60_000));
    let first_minute = members[0].counters().sent;
    advance(&mut members, &mut now, Micros::from_millis(600_000));
    let next_ten_minutes = members[0].counters().sent - first_minute;
    assert!(
        first_minute >= 4 && next_ten_minutes >= 5,
        "{first_minute} datagrams in the first minute, {next_ten_minutes} in the next ten"
    );
    assert!(
        next_ten_minutes < 10 * first_minute,
        "{first_minute} datagrams in the first minute, {next_ten_minutes} in the next ten"
    );
    // The seed is found once it starts.
    members.push(member(1, &[]));
    advance(&mut members, &mut now, Micros::from_millis(240_000));
    assert_eq!(members[0].live_count(), 2);
}
