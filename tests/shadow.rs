//! The shadow instance has no effects and counts the decisions that would have differed.

use alderstile::balancer::{Balancer, ConnectionRequest, Verdict};
use alderstile::shadow::{Differences, Shadow};
use alderstile::types::*;
use proptest::prelude::*;

mod support;
use support::{entry, ms, request, settings};

/// Runs a script, each step of which is a kind of event, the connection or server that it concerns, and a
/// value such as a time or a load. Returns the verdicts and actions of the active instance, and the
/// differences of the shadow instance.
fn run_script(
    script: &[(u8, u8, u8)],
    active: &BalancerSettings,
    shadow: Option<BalancerSettings>,
) -> (Vec<String>, Option<Differences>) {
    let mut now = ms(1_000_000);
    let mut balancer = Balancer::with_shadow(active.clone(), shadow, 7, now);
    balancer.on_endpoint_list(now, EndpointListKind::Full, (1..=9).map(entry).collect());
    let (mut log, mut open) = (Vec::new(), Vec::<(RequestId, ServerId)>::new());
    for &(kind, which, value) in script {
        now = now + ms(u64::from(value));
        let chosen = (!open.is_empty()).then(|| usize::from(which) % open.len().max(1));
        match (kind % 8, chosen) {
            (0..=2, _) => {
                let group = Some(GroupId(1 + u64::from(which % 5)));
                let connection_request = ConnectionRequest {
                    class: 0,
                    group,
                    key: None,
                    expected_load: None,
                    time_remaining: ms(1_200),
                };
                let (id, mut verdict) = balancer.place(now, connection_request);
                log.push(format!("{verdict:?}"));
                if let (Verdict::Forward(server, _), 0) = (verdict, value % 4) {
                    verdict = balancer.on_attempt_failed(now, id, server, Outcome::Error);
                    log.push(format!("{verdict:?}"));
                }
                if let Verdict::Forward(server, _) = verdict {
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
                    open.retain(|(open_id, server)| {
                        let migrated = open_id == id;
                        if migrated {
                            balancer.on_connection_ended(now, *open_id, *server, Outcome::Cancelled);
                        }
                        !migrated
                    });
                }
                log.push(format!("{:?} {:?}", pending.migrations, pending.broadcasts));
            }
        }
    }
    (log, balancer.differences())
}

fn grouping_settings() -> BalancerSettings {
    BalancerSettings { node_count: 50, groups: true, ..settings() }
}

proptest! {
    #[test]
    fn active_instance_acts_alike_with_and_without_shadow(script in prop::collection::vec(any::<(u8, u8, u8)>(), 0..200)) {
        let active = settings();
        let (without_shadow, no_differences) = run_script(&script, &active, None);
        prop_assert_eq!(no_differences, None);
        let (with_shadow, differences) = run_script(&script, &active, Some(grouping_settings()));
        prop_assert_eq!(&without_shadow, &with_shadow);
        prop_assert!(differences.is_some_and(|differences| differences.total() <= differences.decisions));
    }

    #[test]
    fn equal_settings_lead_to_no_differences(script in prop::collection::vec(any::<(u8, u8, u8)>(), 0..200)) {
        for equal in [settings(), grouping_settings()] {
            let (_, differences) = run_script(&script, &equal, Some(equal.clone()));
            prop_assert_eq!(differences.map(|differences| differences.total()), Some(0));
        }
    }
}

#[test]
fn differences_are_counted_by_kind() {
    // Nine connections of one group: they spread with the active settings and join their group with
    // the shadow settings.
    let script: Vec<(u8, u8, u8)> = (0..9).map(|_| (0, 1, 1)).collect();
    let (_, differences) = run_script(&script, &settings(), Some(grouping_settings()));
    let differences = differences.expect("a shadow instance");
    assert_eq!(differences.decisions, 9);
    assert!((5..=9).contains(&differences.different_server), "{differences}");
    assert_eq!(differences.total(), differences.different_server, "{differences}");
    // Without allowed attempts, the shadow instance rejects everything.
    let active = settings();
    let mut balancer =
        Balancer::with_shadow(active, Some(BalancerSettings { max_attempts: 0, ..settings() }), 7, ms(0));
    balancer.on_endpoint_list(ms(0), EndpointListKind::Full, (1..=9).map(entry).collect());
    let connection_request = ConnectionRequest {
        class: 0,
        group: None,
        key: None,
        expected_load: None,
        time_remaining: ms(1_200),
    };
    for _ in 0..3 {
        assert!(matches!(balancer.place(ms(1), connection_request).1, Verdict::Forward(..)));
    }
    let differences = balancer.differences().expect("a shadow instance");
    assert_eq!((differences.rejected, differences.total()), (3, 3), "{differences}");
}

#[test]
fn shadow_instance_records_connections_where_they_really_are() {
    // The shadow instance rejects all requests and still knows which clients it would migrate from a draining
    // server.
    let mut now = ms(1_000);
    let mut balancer =
        Balancer::with_shadow(settings(), Some(BalancerSettings { max_attempts: 0, ..settings() }), 7, now);
    balancer.on_endpoint_list(now, EndpointListKind::Full, (1..=2).map(entry).collect());
    let connection_request = ConnectionRequest {
        class: 0,
        group: None,
        key: None,
        expected_load: None,
        time_remaining: ms(1_200),
    };
    for _ in 0..4 {
        let (id, verdict) = balancer.place(now, connection_request);
        assert!(matches!(verdict, Verdict::Forward(..)));
        balancer.on_established(now, id, ms(5));
    }
    let draining = Endpoint { state: EndpointState::Draining, ..entry(1) };
    balancer.on_endpoint_list(now, EndpointListKind::Delta, vec![draining]);
    now = now + ms(1_000);
    assert_eq!(balancer.handle_timeout(now).migrations.len(), 1, "half of two");
    let differences = balancer.differences().expect("a shadow instance");
    assert_eq!(
        (differences.rejected, differences.migrated, differences.not_migrated),
        (4, 0, 0),
        "{differences}"
    );
}

#[test]
fn client_that_only_the_shadow_instance_would_migrate_stays_and_counts_again() {
    let mut shadow = Shadow::new(settings(), 7, ms(0));
    shadow.compare(ms(0), Event::EndpointList(EndpointListKind::Full, (1..=2).map(entry).collect()), &[]);
    (1..=4).for_each(|id| shadow.compare(ms(0), Event::ExistingConnection(request(id), ServerId(1)), &[]));
    for (second, migrated) in [(1, 2), (2, 4)] {
        shadow.compare(ms(second * 1_000), Event::DelayReported(ServerId(1), 900.0), &[]);
        shadow.compare(ms(second * 1_000), Event::Timer(TimerToken(0)), &[]);
        assert_eq!(shadow.differences().migrated, migrated, "half of four, each time");
    }
}
