//! Hosts out by hand, laid over whatever lists say.

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
fn a_host_that_is_out_drains_whatever_the_lists_say() {
    let mut hosts = MaintenanceOverlay::default();
    hosts.overlay(
        EndpointListKind::Full,
        vec![entry(1, EndpointState::Ready, None), entry(2, EndpointState::Ready, None)],
    );
    let change = hosts.begin(ServerId(1)).expect("a change");
    assert_eq!(change.state, EndpointState::Draining);
    for kind in [EndpointListKind::Full, EndpointListKind::Delta, EndpointListKind::Cached] {
        let up = vec![entry(1, EndpointState::Ready, Some(Micros(7))), entry(2, EndpointState::Ready, None)];
        assert_eq!(states(&hosts.overlay(kind, up)), [EndpointState::Draining, EndpointState::Ready]);
    }
    let gone = hosts.overlay(EndpointListKind::Delta, vec![entry(1, EndpointState::Removed, None)]);
    assert_eq!(states(&gone), [EndpointState::Removed], "what is gone stays gone");
    assert!(hosts.is_known(ServerId(1)), "it can be put back");
    assert_eq!(hosts.listed_count(), 1);
    let again = hosts.overlay(EndpointListKind::Delta, vec![entry(1, EndpointState::Ready, None)]);
    assert_eq!(states(&again), [EndpointState::Draining]);
}

#[test]
fn it_comes_back_as_listed_and_cold_from_the_call_on() {
    let mut hosts = MaintenanceOverlay::default();
    hosts.overlay(EndpointListKind::Full, vec![entry(1, EndpointState::Ready, Some(Micros(7)))]);
    hosts.begin(ServerId(1));
    assert!(hosts.begin(ServerId(1)).is_some_and(|entry| !entry.ready()), "a second call changes nothing");
    let back = hosts.end(NOW, ServerId(1)).expect("a change");
    assert_eq!((back.state, back.started), (EndpointState::Ready, Some(NOW)));
    assert!(hosts.end(NOW + NOW, ServerId(1)).is_none(), "one call back undoes two");
    // The list tells late of the restart that the operators did meanwhile.
    let late =
        hosts.overlay(EndpointListKind::Delta, vec![entry(1, EndpointState::Ready, Some(NOW - Micros(9)))]);
    assert_eq!(late[0].started, Some(NOW));
    let later = hosts.overlay(EndpointListKind::Delta, vec![entry(1, EndpointState::Ready, Some(NOW + NOW))]);
    assert_eq!(later[0].started, Some(NOW + NOW), "a start after the return counts");
    let draining = hosts.overlay(EndpointListKind::Delta, vec![entry(1, EndpointState::Draining, None)]);
    assert_eq!(states(&draining), [EndpointState::Draining]);
}

#[test]
fn a_host_that_came_and_went_while_out_is_cold_when_listed_again() {
    let mut hosts = MaintenanceOverlay::default();
    hosts.overlay(EndpointListKind::Full, vec![entry(1, EndpointState::Ready, None)]);
    hosts.begin(ServerId(1));
    hosts.overlay(EndpointListKind::Full, vec![]);
    assert!(hosts.end(NOW, ServerId(1)).is_none(), "nothing to tell the decisions");
    assert!(!hosts.is_known(ServerId(1)));
    let listed = hosts.overlay(EndpointListKind::Delta, vec![entry(1, EndpointState::Ready, None)]);
    assert_eq!((listed[0].state, listed[0].started), (EndpointState::Ready, Some(NOW)));
}

#[derive(Clone, Debug)]
enum Step {
    List(bool, Vec<(u64, u8)>),
    Out(u64),
    Back(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (any::<bool>(), prop::collection::vec((0..5_u64, 0..3_u8), 0..5))
            .prop_map(|(whole, e)| Step::List(whole, e)),
        (0..5_u64).prop_map(Step::Out),
        (0..5_u64).prop_map(Step::Back),
    ];
    prop::collection::vec(step, 1..40)
}

proptest! {
    /// However lists and calls follow one another, the decisions never see a host ready that is out, and see every
    /// other one just as the list has it.
    #[test]
    fn what_the_decisions_see_is_the_list_under_the_hosts_out(steps in steps()) {
        let (mut hosts, mut now) = (MaintenanceOverlay::default(), Micros(0));
        let (mut seen, mut list) = (BTreeMap::new(), BTreeMap::new());
        let mut out = std::collections::BTreeSet::new();
        for step in steps {
            now = now + Micros(1);
            let changes = match step {
                Step::List(whole, entries) => {
                    let state = |n| [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed][usize::from(n)];
                    let entries: Vec<_> = entries.into_iter().map(|(id, n)| entry(id, state(n), None)).collect();
                    if whole {
                        (seen, list) = Default::default();
                    }
                    list.extend(entries.iter().map(|entry| (entry.id, entry.state)));
                    let kind = if whole { EndpointListKind::Full } else { EndpointListKind::Delta };
                    hosts.overlay(kind, entries)
                }
                Step::Out(id) => {
                    out.insert(ServerId(id));
                    hosts.begin(ServerId(id)).into_iter().collect()
                }
                Step::Back(id) => {
                    out.remove(&ServerId(id));
                    hosts.end(now, ServerId(id)).into_iter().collect()
                }
            };
            seen.extend(changes.iter().map(|entry| (entry.id, entry.state)));
            for (id, listed) in &list {
                let wanted = if *listed == EndpointState::Ready && out.contains(id) { EndpointState::Draining } else { *listed };
                prop_assert_eq!(seen.get(id), Some(&wanted));
                prop_assert_eq!(hosts.is_in_maintenance(*id), out.contains(id));
            }
        }
    }
}
