//! The configuration: parsing, defaults, and errors that name the invalid key.

use std::path::Path;

use alderstile_node::config::{Config, ConfigError};
use serde_json::{Value, json};

mod support;
use support::node_config;

/// Returns the error for an invalid configuration.
fn error(value: Value) -> String {
    Config::parse(value).expect_err("an invalid configuration").to_string()
}

#[test]
fn complete_configuration_is_parsed() {
    let mut value = node_config("127.0.0.1:1", "127.0.0.1:2");
    value["known"] = json!({"seq": 41, "whole": true, "hosts": [
        {"host": "s-1", "dial": "127.0.0.1:9000", "site": "b", "class": "m2", "block": 3, "health": "draining",
         "share": 1.0, "born_ms": 7}]});
    let config = Config::parse(value).expect("a valid configuration");
    assert_eq!((config.name.as_str(), config.max_descriptors), ("n1", 200));
    assert_eq!(config.classes, ["chat", "presence"]);
    assert_eq!(config.zones, ["a", "b"]);
    assert_eq!(config.settings.classes.len(), 2);
    assert_eq!(config.shutdown_timeout.as_millis(), 1_900, "the longest deadline plus the platform's margin");
    assert_eq!(
        config.settings.classes[1].message_latency_objective.map(|objective| objective.0),
        Some(150_000)
    );
    let entry = config.cached_endpoints.entries(&config.zones)[0];
    assert_eq!((entry.zone, entry.cell, entry.started.map(|at| at.0)), (1, 3, Some(7_000)));
}

#[test]
fn error_names_missing_or_invalid_key() {
    for key in ["name", "listen", "discovery"] {
        let mut value = node_config("127.0.0.1:1", "127.0.0.1:2");
        value.as_object_mut().and_then(|fields| fields.remove(key));
        assert_eq!(error(value), format!("missing key {key}"));
    }
    let faults = [
        ("/listen", json!("here"), "invalid value \"here\" for key listen: expected an address and a port"),
        ("/peers", json!(["127.0.0.1:1", "x"]), "invalid value \"x\" for key peers: expected"),
        ("/seed", json!("xyz"), "invalid value \"xyz\" for key seed: expected"),
        ("/limits/sockets", json!("many"), "invalid value \"many\" for key limits.sockets: expected"),
        ("/settings/balancers", json!(0), "invalid value \"0\" for key settings.balancers: expected"),
        (
            "/settings/classes/1/aim",
            json!("soon"),
            "invalid value \"soon\" for key settings.classes.1.aim: expected",
        ),
        ("/settings/classes/0/name", Value::Null, "missing key settings.classes.0.name"),
        ("/settings/allowed", Value::Null, "missing key settings.allowed."),
        ("/settings/classes/1/give_up", json!("late"), "for key settings.classes.1.give_up: expected"),
        ("/settings", Value::Null, "missing key settings.classes.count"),
        ("/known", json!({"seq": "x"}), "invalid value for key known: "),
    ];
    for (pointer, invalid, expected) in faults {
        let mut value = node_config("127.0.0.1:1", "127.0.0.1:2");
        *value.pointer_mut(pointer).expect("a key of the configuration") = invalid;
        let message = error(value);
        assert!(message.contains(expected), "{pointer}: {message}");
    }
}

#[test]
fn optional_keys_have_defaults() {
    let mut value = node_config("127.0.0.1:1", "127.0.0.1:2");
    for key in ["limits", "peers", "seed", "known"] {
        value.as_object_mut().and_then(|fields| fields.remove(key));
    }
    value["settings"]["obligations"].as_object_mut().and_then(|fields| fields.remove("must_ask_in"));
    // Discovery over sockets is always subscribed to. With pushed lists (`automatic`) the interval is short,
    // as a node counts as notified of a change as soon as the local agent has it.
    for (discovery, expected) in [("subscribe", 10_000_000), ("automatic", 200_000)] {
        value["settings"]["discovery"] = discovery.into();
        let config = Config::parse(value.clone()).expect("a valid configuration");
        assert!(
            config.settings.must_subscribe && config.settings.max_poll_interval.0 == expected,
            "{discovery}"
        );
    }
    let config = Config::parse(value).expect("a valid configuration");
    assert_eq!(
        (config.max_descriptors, config.peers.len(), config.cached_endpoints.endpoints.len()),
        (1_024, 0, 0)
    );
}

#[test]
fn missing_configuration_file_is_reported() {
    let no_variables = |_: &str| None;
    assert!(matches!(Config::load(None, no_variables), Err(ConfigError::NoFile)));
    let missing = Config::load(Some(Path::new("/nowhere/config.json")), no_variables);
    assert!(missing.expect_err("no such file").to_string().contains("/nowhere/config.json"));
}

#[test]
fn environment_overrides_the_file() {
    let path = std::env::temp_dir().join(format!("alderstile-config-{}.json", std::process::id()));
    std::fs::write(&path, node_config("127.0.0.1:1", "127.0.0.1:2").to_string()).expect("written");
    let env = |name: &str| match name {
        "ROUTER_CONFIG" => Some(path.display().to_string()),
        "ROUTER_LISTEN" => Some("127.0.0.9:90".to_owned()),
        _ => None,
    };
    let read = Config::load(None, env);
    std::fs::remove_file(&path).expect("removed");
    let config = read.expect("a valid configuration");
    assert_eq!((config.listen.to_string(), config.name.as_str()), ("127.0.0.9:90".to_owned(), "n1"));
}

#[test]
fn shadow_is_off_by_default_and_inherits_missing_settings_from_the_active_instance() {
    let mut value = node_config("127.0.0.1:1", "127.0.0.1:2");
    assert!(Config::parse(value.clone()).expect("a valid configuration").shadow.is_none());
    value["shadow"] = json!({"settings": {"balancers": 50}});
    assert!(
        Config::parse(value.clone()).expect("a valid configuration").shadow.is_none(),
        "configured, but not on"
    );
    value["shadow"] =
        json!({"on": true, "settings": {"balancers": 50, "extra": {"groups": true, "group_load": 2.5}}});
    let config = Config::parse(value).expect("a valid configuration");
    let shadow = config.shadow.expect("on");
    assert_eq!((shadow.node_count, shadow.groups, shadow.group_load), (50, true, 2.5));
    assert_eq!(shadow.max_poll_interval, config.settings.max_poll_interval);
    assert_eq!(config.settings.group_load, 3.0, "a missing key has its default");
}

#[test]
fn invalid_shadow_or_group_load_settings_are_rejected_by_key() {
    let group_load = |value: Value| json!({"groups": true, "group_load": value});
    let faults = [
        (json!({"on": "perhaps"}), "invalid value \"perhaps\" for key shadow.on: expected"),
        (json!({"of": true}), "unknown key shadow.of"),
        (json!("yes"), "invalid value \"yes\" for key shadow: expected"),
        (json!({"settings": 3}), "invalid value \"3\" for key shadow.settings: expected"),
        (json!({"settings": {"balancer": 50}}), "unknown key shadow.settings.balancer"),
        (
            json!({"settings": {"balancers": 0}}),
            "invalid value \"0\" for key shadow.settings.balancers: expected",
        ),
        (
            json!({"on": true, "settings": {"extra": group_load(json!(-1))}}),
            "for key shadow.settings.extra.group_load: expected",
        ),
        (
            json!({"settings": {"extra": group_load(json!("NaN"))}}),
            "for key shadow.settings.extra.group_load: expected",
        ),
        (json!({"settings": {"extra": {"group_load": 3}}}), "no value unless the key extra.groups is true"),
        (
            json!({"settings": {"classes": [{"aim": 300000}]}}),
            "invalid value \"1\" for key shadow.settings.classes: expected",
        ),
    ];
    for (section, expected) in faults {
        let mut value = node_config("127.0.0.1:1", "127.0.0.1:2");
        value["shadow"] = section.clone();
        let message = error(value);
        assert!(message.contains(expected), "{section}: {message}");
    }
    for invalid in [json!(-1), json!("inf"), json!("three"), json!([1, 2])] {
        let mut value = node_config("127.0.0.1:1", "127.0.0.1:2");
        value["settings"]["extra"] = group_load(invalid.clone());
        let message = error(value);
        assert!(message.contains("for key settings.extra.group_load: expected"), "{invalid}: {message}");
    }
    let mut value = node_config("127.0.0.1:1", "127.0.0.1:2");
    value["settings"]["extra"]["unheard_of"] = json!(3);
    assert!(Config::parse(value).is_ok(), "unknown settings are ignored, as the platform sends many");
}

#[test]
fn admin_server_is_off_by_default_and_environment_overrides_its_address() {
    let mut value = node_config("127.0.0.1:1", "127.0.0.1:2");
    let env = |name: &str| match name {
        "ROUTER_ADMIN_ADDR" => Some("127.0.0.1:7".to_owned()),
        "TMPDIR" => Some("/state".to_owned()),
        _ => None,
    };
    let off = Config::from_file_value(value.clone(), |name| env(name).filter(|_| name == "TMPDIR"))
        .expect("a valid configuration");
    assert_eq!((off.admin_addr, off.state_dir), (None, None));
    value["admin_addr"] = "127.0.0.1:3".into();
    let file = Config::from_file_value(value.clone(), |_| None).expect("a valid configuration");
    assert_eq!(file.admin_addr.map(|address| address.port()), Some(3));
    let both = Config::from_file_value(value.clone(), env).expect("a valid configuration");
    assert_eq!(both.admin_addr.map(|address| address.port()), Some(7));
    assert_eq!(both.state_dir.as_deref(), Some(Path::new("/state")));
    assert_eq!(
        both.source["admin_addr"], "127.0.0.1:3",
        "the file's value, with which a reloaded file is compared"
    );
    value["admin_addr"] = "here".into();
    assert!(error(value).contains("invalid value \"here\" for key admin_addr: expected"));
}

#[test]
fn invalid_retry_budget_or_clock_tolerance_is_rejected_by_key() {
    let with_obligations = |additional: Value| {
        let mut value = node_config("127.0.0.1:1", "127.0.0.1:2");
        let obligations = value.pointer_mut("/settings/obligations").and_then(Value::as_object_mut);
        obligations.expect("obligations").extend(additional.as_object().cloned().expect("an object"));
        value
    };
    let complete = json!({"free_resends": 10.0, "resend_ratio": 0.15, "counted_over": 10_000_000, "deadline_drift": 3_200_000,
        "gone_is_advice": true, "stamp_doubt": 0});
    let settings = Config::parse(with_obligations(complete)).expect("a valid configuration").settings;
    let budget = settings.retry_budget.expect("a budget");
    assert_eq!((budget.min_retries, budget.retry_ratio, budget.window.0), (10.0, 0.15, 10_000_000));
    assert_eq!((settings.deadline_tolerance.0, settings.removal_is_advisory), (3_200_000, true));
    let defaults = Config::parse(with_obligations(json!({}))).expect("a valid configuration").settings;
    assert_eq!(
        (defaults.retry_budget, defaults.removal_is_advisory, defaults.start_time_tolerance.0),
        (None, false, 0)
    );
    let budget = |key: &str, value: Value| {
        let mut budget = json!({"free_resends": 5, "resend_ratio": 0.03, "counted_over": 10_000_000});
        budget[key] = value;
        budget
    };
    let missing_key = "missing key";
    let faults = [
        (json!({"free_resends": 5}), "obligations.resend_ratio", missing_key),
        (json!({"resend_ratio": 0.1, "free_resends": 5}), "obligations.counted_over", missing_key),
        (json!({"counted_over": 5}), "obligations.free_resends", missing_key),
        (budget("free_resends", json!(2.5)), "obligations.free_resends", "a whole number"),
        (budget("free_resends", json!(-1)), "obligations.free_resends", "zero or more"),
        (budget("free_resends", json!("NaN")), "obligations.free_resends", "zero or more"),
        (budget("free_resends", json!(1e9)), "obligations.free_resends", "up to a million"),
        (budget("resend_ratio", json!(-0.1)), "obligations.resend_ratio", "zero or more"),
        (budget("resend_ratio", json!("inf")), "obligations.resend_ratio", "zero or more"),
        (budget("counted_over", json!(0)), "obligations.counted_over", "above 0"),
        (budget("counted_over", json!(1.5)), "obligations.counted_over", "whole number of microseconds"),
        (json!({"deadline_drift": -1}), "obligations.deadline_drift", "whole number of microseconds"),
        (json!({"stamp_doubt": "soon"}), "obligations.stamp_doubt", "whole number of microseconds"),
        (json!({"gone_is_advice": 1}), "obligations.gone_is_advice", "true or false"),
    ];
    for (additional, key, expected) in faults {
        let message = error(with_obligations(additional.clone()));
        assert!(
            message.contains(&format!("settings.{key}")) && message.contains(expected),
            "{additional}: {message}"
        );
    }
}
