//! Settings: every value in the start messages of three simulated deployments, as recorded, is parsed.

use alderstile::settings::{self, SettingValues, SettingsError};
use alderstile::types::*;

const DFA: &str = include_str!("first/dfa-photo-wire.txt");
const DOGU: &str = include_str!("first/dogu-feed.txt");
const EGE: &str = include_str!("first/ege-photo-feed.txt");

fn parsed(text: &str) -> BalancerSettings {
    settings::parse(&SettingValues::from_lines(text)).expect("valid settings")
}

/// Parses the settings as the node does: the same paths below `settings.`, with additional ones.
fn configured(text: &str, additional: &[(&str, &str)]) -> Result<BalancerSettings, SettingsError> {
    let lines = text.lines().filter_map(|line| line.split_once('='));
    let pairs =
        lines.chain(additional.iter().copied()).map(|(key, value)| (key.to_owned(), value.to_owned()));
    settings::parse(&SettingValues::new("settings.", pairs))
}

#[test]
fn all_settings_of_dfa_photo_wire_are_parsed() {
    let set = parsed(DFA);
    assert_eq!((set.node_count, set.node_index, set.zone), (5, Some(0), 2));
    assert!(set.removal_is_advisory, "only draining is binding");
    assert_eq!((set.warm_up, set.warm_up_initial_capacity), (Micros::from_millis(24_000), 0.15));
    assert_eq!((set.overload_multiple, set.overload_window), (3.0, Micros::from_millis(1_500)));
    assert_eq!((set.max_attempts, set.drain_grace), (3, Micros::from_millis(1_000)));
    assert!(set.probes_allowed && set.retry_after_allowed && !set.gossip_allowed && set.must_subscribe);
    assert_eq!(set.max_retry_after, Micros::from_millis(1_000));
    assert_eq!(set.max_poll_interval, Micros::from_millis(10_000));
    assert_eq!((set.groups, set.weight_meaning), (false, WeightMeaning::Ignored));
    let costs = Costs {
        cross_zone: 0.03,
        migrations: 0.0089,
        probe: 0.002,
        wasted_work: 0.016,
        connection_setup: 0.0,
        late_failures: 0.05,
    };
    assert_eq!(set.costs, costs);
    assert!(set.tenants.is_empty(), "no tenants");
    assert_eq!(set.cpu_us_per_s, Some(400_000.0));
    let classes: Vec<_> = set
        .classes
        .iter()
        .map(|c| (c.latency_objective.0, c.priority_weight, c.message_latency_objective.map(|aim| aim.0)))
        .collect();
    assert_eq!(classes, [(500_000, 1.0, Some(150_000)), (500_000, 2.0, Some(150_000))]);
}

#[test]
fn all_settings_of_dogu_feed_are_parsed() {
    let set = parsed(DOGU);
    assert_eq!((set.node_count, set.zone), (33, 2));
    assert!(set.removal_is_advisory, "only draining is binding");
    assert_eq!((set.warm_up, set.warm_up_initial_capacity), (Micros::from_millis(19_000), 0.12));
    assert_eq!((set.overload_multiple, set.overload_window), (1.5, Micros::from_millis(1_500)));
    assert_eq!((set.max_attempts, set.drain_grace), (5, Micros::from_millis(2_000)));
    assert!(set.groups && set.probes_allowed && !set.retry_after_allowed);
    let costs = Costs {
        cross_zone: 0.028,
        migrations: 0.042,
        probe: 0.0026,
        wasted_work: 0.15,
        connection_setup: 0.0,
        late_failures: 0.03,
    };
    assert_eq!(set.costs, costs);
    let shares: Vec<(u32, f64)> =
        set.tenants.iter().map(|t| ((t.quota_share * 100.0).round() as u32, t.quota_per_s)).collect();
    assert_eq!(shares, [(37, 3.0), (29, 3.0), (21, 2.0), (13, 1.0)]);
    assert_eq!(set.cpu_us_per_s, Some(500_000.0));
    let classes: Vec<_> = set
        .classes
        .iter()
        .map(|c| (c.latency_objective.0, c.priority_weight, c.message_latency_objective.map(|aim| aim.0)))
        .collect();
    let expected =
        [(800_000, 5.0, Some(50_000)), (800_000, 3.0, Some(50_000)), (500_000, 1.0, Some(150_000))];
    assert_eq!(classes, expected);
}

#[test]
fn all_settings_of_ege_photo_feed_are_parsed() {
    let set = parsed(EGE);
    assert_eq!((set.node_count, set.zone), (2, 0));
    assert!(!set.removal_is_advisory, "removal is binding, like draining");
    assert_eq!((set.warm_up, set.warm_up_initial_capacity), (Micros::from_millis(24_000), 0.14));
    assert_eq!((set.overload_multiple, set.overload_window), (3.0, Micros::from_millis(3_000)));
    assert_eq!((set.max_attempts, set.drain_grace), (4, Micros::from_millis(500)));
    assert!(set.groups && set.probes_allowed && !set.retry_after_allowed);
    assert_eq!(set.weight_meaning, WeightMeaning::NominalCapacity);
    let costs = Costs {
        cross_zone: 0.0,
        migrations: 0.013,
        probe: 0.002,
        wasted_work: 0.057,
        connection_setup: 0.02,
        late_failures: 0.045,
    };
    assert_eq!(set.costs, costs);
    let shares: Vec<u32> = set.tenants.iter().map(|t| (t.quota_share * 100.0).round() as u32).collect();
    assert_eq!(shares, [27, 21, 19, 17, 9, 7]);
    assert_eq!(set.cpu_us_per_s, Some(20_000.0));
}

#[test]
fn configuration_is_parsed_like_a_start_message() {
    for text in [DFA, DOGU, EGE] {
        let configured = configured(text, &[]).expect("the same settings");
        assert_eq!(format!("{configured:?}"), format!("{:?}", parsed(text)));
    }
    // The simulator's wire has no field for the load of a group; only a configuration can set it.
    let set = configured(DOGU, &[("extra.group_load", "2")]).expect("settings with a group's load");
    assert_eq!(set.group_load, 2.0);
}

#[test]
fn error_names_key_of_invalid_price_share_or_limit() {
    for (key, value) in [
        ("charges.cross_zone", "-0.1"),
        ("charges.probe", "dear"),
        ("tenants.count", "four"),
        ("tenants.2.share", "NaN"),
        ("allowed.cpu_us_per_s", "-1"),
    ] {
        match configured(DOGU, &[(key, value)]) {
            Err(SettingsError::InvalidValue { key: reported, .. }) => {
                assert_eq!(reported, format!("settings.{key}"))
            }
            other => panic!("{key}: {other:?}"),
        }
    }
}
