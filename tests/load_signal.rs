//! Loads and delays told in the same form are told apart.

use alderstile::load_signal::{LoadSignal, LoadSignalClassifier};
use alderstile::types::{Micros, RequestId, ServerId};
use proptest::prelude::*;

const A: RequestId = RequestId(1);
const B: RequestId = RequestId(2);
const HERE: ServerId = ServerId(7);

fn at(ms: u64) -> Micros {
    Micros::from_millis(1_000_000 + ms)
}

/// Connections that were told usual loads.
fn classifier() -> LoadSignalClassifier {
    let mut classifier = LoadSignalClassifier::default();
    for (id, load) in [(A, 60_000.0), (B, 80_000.0)] {
        assert_eq!(classifier.classify(at(0), id, HERE, load), Some(LoadSignal::Load(id, load)));
    }
    classifier
}

#[test]
fn a_second_figure_far_below_in_a_notes_rhythm_is_a_delay() {
    // Found with 100 nodes: a late server's notes were booked as loads, its record fell to nothing, and it drew all
    // new work.
    let mut classifier = classifier();
    assert_eq!(classifier.classify(at(500), A, HERE, 96.2), None, "it may be a client gone idle");
    assert_eq!(classifier.classify(at(1_500), B, HERE, 146.5), Some(LoadSignal::Delay(HERE, 146.5)));
    assert_eq!(
        classifier.classify(at(2_500), A, HERE, 12.0),
        Some(LoadSignal::Delay(HERE, 12.0)),
        "and so is what goes on"
    );
    assert!(classifier.take_expired(at(9_000)).is_empty() && classifier.next_expiry().is_none());
    assert_eq!(
        classifier.classify(at(9_000), A, HERE, 50_000.0),
        Some(LoadSignal::Load(A, 50_000.0)),
        "loads stay loads"
    );
}

#[test]
fn a_delay_is_told_from_a_light_load_by_its_rhythm_alone() {
    // Found with 100 nodes: where the connection that notes come on is light, each note took the last one's place.
    let mut classifier = classifier();
    classifier.classify(at(0), RequestId(3), HERE, 2_500.0);
    assert_eq!(classifier.classify(at(500), RequestId(3), HERE, 900.0), None);
    assert_eq!(
        classifier.classify(at(1_500), RequestId(3), HERE, 1_100.0),
        Some(LoadSignal::Delay(HERE, 1_100.0))
    );
}

#[test]
fn a_figure_that_nothing_follows_is_a_load() {
    for next in [500, 900, 1_700, 3_000] {
        let mut classifier = classifier();
        assert_eq!(classifier.classify(at(500), A, HERE, 96.2), None);
        // Another client's, of another server, or out of the rhythm.
        let other = if next == 900 { ServerId(8) } else { HERE };
        let due = classifier.next_expiry().expect("a time at which it is settled");
        let settled = classifier.take_expired(due.min(at(500 + next)));
        let later = classifier.classify(at(500 + next), B, other, 96.2);
        assert!(!matches!(later, Some(LoadSignal::Delay(..))), "{next}");
        let all = [settled, classifier.take_expired(at(9_000))].concat();
        assert!(all.contains(&LoadSignal::Load(A, 96.2)), "{next}: {all:?}");
    }
}

#[test]
fn a_light_client_of_its_own_tells_no_delay_of_another() {
    let mut classifier = classifier();
    classifier.classify(at(0), RequestId(3), HERE, 2_500.0);
    classifier.classify(at(0), RequestId(4), HERE, 2_500.0);
    assert_eq!(classifier.classify(at(500), RequestId(3), HERE, 900.0), None);
    assert_eq!(
        classifier.classify(at(1_500), RequestId(4), HERE, 900.0),
        None,
        "two light clients, neither fell far"
    );
}

#[test]
fn a_load_told_again_is_a_load() {
    // Found with three nodes: a light client's load, told twice a second apart, passed for a late server, which lost
    // half of its clients.
    let mut classifier = classifier();
    assert_eq!(classifier.classify(at(500), A, HERE, 2_000.0), None);
    assert_eq!(classifier.take_expired(at(1_551)), [LoadSignal::Load(A, 2_000.0)]);
    for second in 2..5 {
        assert_eq!(
            classifier.classify(at(1_000 * second), A, HERE, 2_000.0),
            Some(LoadSignal::Load(A, 2_000.0))
        );
    }
    assert_eq!(classifier.classify(at(5_000), B, HERE, 2_000.0), None);
    assert_eq!(
        classifier.classify(at(6_000), A, HERE, 2_000.0),
        Some(LoadSignal::Load(A, 2_000.0)),
        "no second of another's"
    );
}

#[test]
fn what_has_ended_is_forgotten() {
    let mut classifier = classifier();
    assert_eq!(classifier.classify(at(500), A, HERE, 96.2), None);
    classifier.forget(A);
    assert!(classifier.take_expired(at(9_000)).is_empty());
}

proptest! {
    #[test]
    fn no_figure_comes_back_twice_and_none_is_held_for_good(
        figures in proptest::collection::vec((0..3_000u64, 0..5u64, 0..3u64, prop_oneof![
            8 => 0.0..1e5, 1 => Just(f64::NAN), 1 => Just(-1.0), 1 => Just(f64::INFINITY)]), 0..60)
    ) {
        let (mut classifier, mut now, mut back) = (LoadSignalClassifier::default(), 0, 0);
        for &(gap, id, server, figure) in &figures {
            now += gap;
            back += classifier.take_expired(at(now)).len();
            back += usize::from(classifier.classify(at(now), RequestId(id), ServerId(server), figure).is_some());
        }
        back += classifier.take_expired(at(now + 10_000)).len();
        prop_assert!(back <= figures.len() && classifier.next_expiry().is_none());
    }
}

#[test]
fn light_loads_that_miss_a_notes_rhythm_by_more_than_the_way_does_are_loads() {
    // Found on a crowd's day: a host whose clients went idle 40 ms off the second was held to be 4.7 s late.
    for next in [1_460, 1_475, 1_525, 1_540] {
        let mut classifier = classifier();
        assert_eq!(classifier.classify(at(500), A, HERE, 2_084.0), None);
        assert_eq!(classifier.classify(at(next), B, HERE, 2_085.0), None, "after {} ms", next - 500);
        assert_eq!(
            classifier.take_expired(at(9_000)),
            [LoadSignal::Load(A, 2_084.0), LoadSignal::Load(B, 2_085.0)]
        );
    }
}
