//! Emulated hosts: their queue, their cap, their cold start and what pushes them over.

use alderstile_lab::emulated::{Host, TICK};
use alderstile_lab::schedule::Hosts;

fn host() -> Host {
    let set = Hosts { count: 1, cores: 1.0, setup_ms: 10.0, max_connections: 50.0, ..Hosts::default() };
    Host::new(&set, 1.0, 1)
}

#[test]
fn what_is_asked_beyond_the_cores_waits() {
    let mut host = host();
    for client in 0..20 {
        assert!(host.takes(0, (client, 1), 0, 0.0).is_some());
    }
    // Twenty set-ups of 10 ms at one core.
    assert_eq!(host.delay(0), 200_000);
    assert_eq!(host.delay(150_000), 50_000);
    assert_eq!(host.delay(300_000), 0);
}

#[test]
fn a_full_host_turns_away_and_a_cold_one_falls_when_asked_too_much() {
    let mut host = host();
    host.comes_up(0);
    for client in 0..50 {
        assert!(host.takes(0, (client, 1), 0, 100_000.0).is_some(), "{client}");
    }
    assert_eq!(host.takes(0, (50, 1), 0, 0.0), None, "above the cap");
    // Five times what it does when warm.
    let over = (1..=8).filter_map(|i| host.tick(i * TICK)).next_back().expect("a whole window");
    assert!(over > 1.0, "{over}");
    assert_eq!(host.goes_down().len(), 50);
    assert_eq!(host.ratio(0), f64::INFINITY);
}

#[test]
fn it_warms_up_evenly() {
    let mut host = host();
    host.comes_up(1_000_000);
    let set = Hosts::default();
    assert_eq!(host.warmth(1_000_000), set.warm_up_initial);
    let half = host.warmth(1_000_000 + (set.warm_up_s * 5e5) as u64);
    assert!((half - (1.0 + set.warm_up_initial) / 2.0).abs() < 1e-6, "{half}");
    assert_eq!(host.warmth(u64::MAX), 1.0);
}
