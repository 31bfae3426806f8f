//! The maintenance overlay changes every endpoint list, whatever it contains.

use std::collections::BTreeMap;

use alderstile::maintenance::MaintenanceOverlay;
use alderstile::types::*;
use proptest::prelude::*;

const NOW: Micros = Micros(5_000_000);

fn entry(id: u64, state: EndpointState, started: Option<Micros>) -> Endpoint {
    Endpoint { id: ServerId(id), state, started, ..Endpoint::default() }
}

fn states(entries: &[Endpoint]) -> Vec<EndpointState> {
    entries.iter().map(|entry| entry.state).collect()
}

#[test]
fn server_in_maintenance_is_draining_whatever_the_lists_say() {
    let mut overlay = MaintenanceOverlay::default();
    overlay.overlay(
        EndpointListKind::Full,
        vec![entry(1, EndpointState::Ready, None), entry(2, EndpointState::Ready, None)],
    );
    let change = overlay.begin(ServerId(1)).expect("a change");
    assert_eq!(change.state, EndpointState::Draining);
    for kind in [EndpointListKind::Full, EndpointListKind::Delta, EndpointListKind::Cached] {
        let ready =
            vec![entry(1, EndpointState::Ready, Some(Micros(7))), entry(2, EndpointState::Ready, None)];
        assert_eq!(states(&overlay.overlay(kind, ready)), [EndpointState::Draining, EndpointState::Ready]);
    }
    let removed = overlay.overlay(EndpointListKind::Delta, vec![entry(1, EndpointState::Removed, None)]);
    assert_eq!(states(&removed), [EndpointState::Removed], "a removed server stays removed");
    assert!(overlay.is_known(ServerId(1)), "its maintenance can be ended");
    assert_eq!(overlay.listed_count(), 1);
    let again = overlay.overlay(EndpointListKind::Delta, vec![entry(1, EndpointState::Ready, None)]);
    assert_eq!(states(&again), [EndpointState::Draining]);
}

#[test]
fn server_after_maintenance_is_as_listed_and_warms_up_from_then_on() {
    let mut overlay = MaintenanceOverlay::default();
    overlay.overlay(EndpointListKind::Full, vec![entry(1, EndpointState::Ready, Some(Micros(7)))]);
    overlay.begin(ServerId(1));
    assert!(overlay.begin(ServerId(1)).is_some_and(|entry| !entry.ready()), "a second call changes nothing");
    let returned = overlay.end(NOW, ServerId(1)).expect("a change");
    assert_eq!((returned.state, returned.started), (EndpointState::Ready, Some(NOW)));
    assert!(
        overlay.end(NOW + NOW, ServerId(1)).is_none(),
        "one call ends maintenance after two calls to begin it"
    );
    // The list shows the operators' restart during maintenance late.
    let late =
        overlay.overlay(EndpointListKind::Delta, vec![entry(1, EndpointState::Ready, Some(NOW - Micros(9)))]);
    assert_eq!(late[0].started, Some(NOW));
    let later =
        overlay.overlay(EndpointListKind::Delta, vec![entry(1, EndpointState::Ready, Some(NOW + NOW))]);
    assert_eq!(later[0].started, Some(NOW + NOW), "a later start is kept");
    let draining = overlay.overlay(EndpointListKind::Delta, vec![entry(1, EndpointState::Draining, None)]);
    assert_eq!(states(&draining), [EndpointState::Draining]);
}

#[test]
fn server_removed_and_listed_during_maintenance_warms_up_when_listed_again() {
    let mut overlay = MaintenanceOverlay::default();
    overlay.overlay(EndpointListKind::Full, vec![entry(1, EndpointState::Ready, None)]);
    overlay.begin(ServerId(1));
    overlay.overlay(EndpointListKind::Full, vec![]);
    assert!(overlay.end(NOW, ServerId(1)).is_none(), "no change for the policy");
    assert!(!overlay.is_known(ServerId(1)));
    let listed = overlay.overlay(EndpointListKind::Delta, vec![entry(1, EndpointState::Ready, None)]);
    assert_eq!((listed[0].state, listed[0].started), (EndpointState::Ready, Some(NOW)));
}

#[derive(Clone, Debug)]
enum Step {
    List(bool, Vec<(u64, u8)>),
    Begin(u64),
    End(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (any::<bool>(), prop::collection::vec((0..5_u64, 0..3_u8), 0..5))
            .prop_map(|(full, e)| Step::List(full, e)),
        (0..5_u64).prop_map(Step::Begin),
        (0..5_u64).prop_map(Step::End),
    ];
    prop::collection::vec(step, 1..40)
}

proptest! {
    /// For any sequence of lists and calls, the policy never sees a server in maintenance as ready,
    /// and sees every other server as listed.
    #[test]
    fn policy_sees_the_list_with_the_maintenance_overlay(steps in steps()) {
        let (mut overlay, mut now) = (MaintenanceOverlay::default(), Micros(0));
        let (mut seen, mut list) = (BTreeMap::new(), BTreeMap::new());
        let mut in_maintenance = std::collections::BTreeSet::new();
        for step in steps {
            now = now + Micros(1);
            let changes = match step {
                Step::List(full, entries) => {
                    let state = |n| [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed][usize::from(n)];
                    let entries: Vec<_> = entries.into_iter().map(|(id, n)| entry(id, state(n), None)).collect();
                    if full {
                        (seen, list) = Default::default();
                    }
                    list.extend(entries.iter().map(|entry| (entry.id, entry.state)));
                    let kind = if full { EndpointListKind::Full } else { EndpointListKind::Delta };
                    overlay.overlay(kind, entries)
                }
                Step::Begin(id) => {
                    in_maintenance.insert(ServerId(id));
                    overlay.begin(ServerId(id)).into_iter().collect()
                }
                Step::End(id) => {
                    in_maintenance.remove(&ServerId(id));
                    overlay.end(now, ServerId(id)).into_iter().collect()
                }
            };
            seen.extend(changes.iter().map(|entry| (entry.id, entry.state)));
            for (id, listed) in &list {
                let expected = if *listed == EndpointState::Ready && in_maintenance.contains(id) { EndpointState::Draining } else { *listed };
                prop_assert_eq!(seen.get(id), Some(&expected));
                prop_assert_eq!(overlay.is_in_maintenance(*id), in_maintenance.contains(id));
            }
        }
    }
}
