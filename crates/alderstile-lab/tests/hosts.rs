//! Emulated hosts: work queue, connection limit, cold start and failure from overload.

use alderstile_lab::emulated::{Host, SAMPLE_INTERVAL};
use alderstile_lab::schedule::Hosts;

fn host() -> Host {
    let config = Hosts { count: 1, cores: 1.0, setup_ms: 10.0, max_connections: 50.0, ..Hosts::default() };
    Host::new(&config, 1.0, 1)
}

#[test]
fn work_beyond_the_capacity_is_queued() {
    let mut host = host();
    for client in 0..20 {
        assert!(host.accept(0, (client, 1), 0, 0.0).is_some());
    }
    // Twenty setups of 10 ms each on one core.
    assert_eq!(host.delay(0), 200_000);
    assert_eq!(host.delay(150_000), 50_000);
    assert_eq!(host.delay(300_000), 0);
}

#[test]
fn host_at_its_connection_limit_rejects_clients_and_load_of_overloaded_cold_host_exceeds_1() {
    let mut host = host();
    host.start(0);
    for client in 0..50 {
        assert!(host.accept(0, (client, 1), 0, 100_000.0).is_some(), "{client}");
    }
    assert_eq!(host.accept(0, (50, 1), 0, 0.0), None, "above the connection limit");
    // Five times the capacity of a warm host.
    let load =
        (1..=8).filter_map(|i| host.sample_cold_load(i * SAMPLE_INTERVAL)).next_back().expect("full window");
    assert!(load > 1.0, "{load}");
    assert_eq!(host.stop().len(), 50);
    assert_eq!(host.load_ratio(0), f64::INFINITY);
}

#[test]
fn capacity_grows_linearly_during_warm_up() {
    let mut host = host();
    host.start(1_000_000);
    let config = Hosts::default();
    assert_eq!(host.warm_fraction(1_000_000), config.warm_up_initial);
    let half = host.warm_fraction(1_000_000 + (config.warm_up_s * 5e5) as u64);
    assert!((half - (1.0 + config.warm_up_initial) / 2.0).abs() < 1e-6, "{half}");
    assert_eq!(host.warm_fraction(u64::MAX), 1.0);
}
