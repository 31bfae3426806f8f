//! The watching instance changes nothing, and counts what it would have done otherwise.

use alderstile::balancer::{Balancer, ConnectionRequest, Verdict};
use alderstile::shadow::{Differences, Shadow};
use alderstile::types::*;
use proptest::prelude::*;

mod support;
use support::{entry, ms, request, settings};

/// Plays a script of small numbers: what the deciding instance answers and does, and what was counted.
fn play(
    script: &[(u8, u8, u8)],
    set: &BalancerSettings,
    shadow: Option<BalancerSettings>,
) -> (Vec<String>, Option<Differences>) {
    let mut now = ms(1_000_000);
    let mut balancer = Balancer::with_shadow(set.clone(), shadow, 7, now);
    balancer.on_endpoint_list(now, EndpointListKind::Full, (1..=9).map(entry).collect());
    let (mut told, mut open) = (Vec::new(), Vec::<(RequestId, ServerId)>::new());
    for &(what, which, value) in script {
        now = now + ms(u64::from(value));
        let chosen = (!open.is_empty()).then(|| usize::from(which) % open.len().max(1));
        match (what % 8, chosen) {
            (0..=2, _) => {
                let group = Some(GroupId(1 + u64::from(which % 5)));
                let ask = ConnectionRequest {
                    class: 0,
                    group,
                    key: None,
                    expected_load: None,
                    time_remaining: ms(1_200),
                };
                let (id, mut answer) = balancer.place(now, ask);
                told.push(format!("{answer:?}"));
                if let (Verdict::Forward(server, _), 0) = (answer, value % 4) {
                    answer = balancer.on_attempt_failed(now, id, server, Outcome::Error);
                    told.push(format!("{answer:?}"));
                }
                if let Verdict::Forward(server, _) = answer {
                    balancer.on_established(now, id, ms(u64::from(value)));
                    open.push((id, server));
                }
            }
            (3, Some(i)) => {
                let (id, server) = open.swap_remove(i);
                balancer.on_connection_ended(
                    now,
                    id,
                    server,
                    if value % 2 == 0 { Outcome::Ok } else { Outcome::Reset },
                );
            }
            (4, Some(i)) => balancer.on_client_disconnected(now, open.swap_remove(i).0),
            (5, Some(i)) => {
                let (id, server) = open[i];
                balancer.on_load_report(now, id, server, f64::from(value) * 400.0);
            }
            (6, _) => {
                let state = [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed]
                    [usize::from(value % 3)];
                let entries = vec![Endpoint { state, ..entry(1 + u64::from(which % 9)) }];
                balancer.on_endpoint_list(now, EndpointListKind::Delta, entries);
            }
            _ => {
                now = now + ms(1_000);
                let pending = balancer.handle_timeout(now);
                for id in &pending.migrations {
                    open.retain(|(held, server)| {
                        let moved = held == id;
                        if moved {
                            balancer.on_connection_ended(now, *held, *server, Outcome::Cancelled);
                        }
                        !moved
                    });
                }
                told.push(format!("{:?} {:?}", pending.migrations, pending.broadcasts));
            }
        }
    }
    (told, balancer.differences())
}

fn new_shape() -> BalancerSettings {
    BalancerSettings { node_count: 50, groups: true, ..settings() }
}

proptest! {
    #[test]
    fn the_deciding_instance_acts_alike_watched_or_not(script in prop::collection::vec(any::<(u8, u8, u8)>(), 0..200)) {
        let set = settings();
        let (alone, none) = play(&script, &set, None);
        prop_assert_eq!(none, None);
        let (watched, counted) = play(&script, &set, Some(new_shape()));
        prop_assert_eq!(&alone, &watched);
        prop_assert!(counted.is_some_and(|counted| counted.total() <= counted.decisions));
    }

    #[test]
    fn with_equal_settings_there_is_no_difference(script in prop::collection::vec(any::<(u8, u8, u8)>(), 0..200)) {
        for set in [settings(), new_shape()] {
            let (_, counted) = play(&script, &set, Some(set.clone()));
            prop_assert_eq!(counted.map(|counted| counted.total()), Some(0));
        }
    }
}

#[test]
fn what_the_new_shape_would_do_otherwise_is_counted_by_kind() {
    // Nine connections of one group: by the old settings they spread, by the new ones they join.
    let asks: Vec<(u8, u8, u8)> = (0..9).map(|_| (0, 1, 1)).collect();
    let (_, counted) = play(&asks, &settings(), Some(new_shape()));
    let counted = counted.expect("watched");
    assert_eq!(counted.decisions, 9);
    assert!((5..=9).contains(&counted.different_server), "{counted}");
    assert_eq!(counted.total(), counted.different_server, "{counted}");
    // With no attempt allowed everything is turned away.
    let set = settings();
    let mut balancer =
        Balancer::with_shadow(set, Some(BalancerSettings { max_attempts: 0, ..settings() }), 7, ms(0));
    balancer.on_endpoint_list(ms(0), EndpointListKind::Full, (1..=9).map(entry).collect());
    let ask = ConnectionRequest {
        class: 0,
        group: None,
        key: None,
        expected_load: None,
        time_remaining: ms(1_200),
    };
    for _ in 0..3 {
        assert!(matches!(balancer.place(ms(1), ask).1, Verdict::Forward(..)));
    }
    let counted = balancer.differences().expect("watched");
    assert_eq!((counted.rejected, counted.total()), (3, 3), "{counted}");
}

#[test]
fn the_second_instance_holds_clients_where_they_really_are() {
    // It turns all of them away, and still knows whom it would move from a server that drains.
    let mut now = ms(1_000);
    let mut balancer =
        Balancer::with_shadow(settings(), Some(BalancerSettings { max_attempts: 0, ..settings() }), 7, now);
    balancer.on_endpoint_list(now, EndpointListKind::Full, (1..=2).map(entry).collect());
    let ask = ConnectionRequest {
        class: 0,
        group: None,
        key: None,
        expected_load: None,
        time_remaining: ms(1_200),
    };
    for _ in 0..4 {
        let (id, answer) = balancer.place(now, ask);
        assert!(matches!(answer, Verdict::Forward(..)));
        balancer.on_established(now, id, ms(5));
    }
    let draining = Endpoint { state: EndpointState::Draining, ..entry(1) };
    balancer.on_endpoint_list(now, EndpointListKind::Delta, vec![draining]);
    now = now + ms(1_000);
    assert_eq!(balancer.handle_timeout(now).migrations.len(), 1, "half of two");
    let counted = balancer.differences().expect("watched");
    assert_eq!((counted.rejected, counted.migrated, counted.not_migrated), (4, 0, 0), "{counted}");
}

#[test]
fn a_client_that_only_the_second_instance_would_move_stays_and_counts_again() {
    let mut shadow = Shadow::new(settings(), 7, ms(0));
    shadow.compare(ms(0), Event::EndpointList(EndpointListKind::Full, (1..=2).map(entry).collect()), &[]);
    (1..=4).for_each(|id| shadow.compare(ms(0), Event::ExistingConnection(request(id), ServerId(1)), &[]));
    for (second, moved) in [(1, 2), (2, 4)] {
        shadow.compare(ms(second * 1_000), Event::DelayReported(ServerId(1), 900.0), &[]);
        shadow.compare(ms(second * 1_000), Event::Timer(TimerToken(0)), &[]);
        assert_eq!(shadow.differences().migrated, moved, "half of four, each time");
    }
}
