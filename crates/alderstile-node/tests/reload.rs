//! Configuration reload, and the configuration of a successor.

use std::path::PathBuf;
use std::process::Stdio;

use alderstile_node::config::{Config, ReloadedConfig};
use alderstile_node::discovery::endpoint_list::server_id;
use alderstile_node::lifecycle::reload::reload;
use alderstile_node::lifecycle::upgrade_state::UpgradeState;
use proptest::prelude::*;
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::Command;

mod support;
use support::*;

/// Writes a configuration to a file with this name, which differs between tests that run concurrently.
fn write_config(name: &str, value: &Value) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
    std::fs::write(&path, value.to_string()).expect("written");
    path
}

fn address(discovery: &StubDiscovery) -> String {
    discovery.0.local_addr().expect("bound").to_string()
}

/// Answers a request for the complete endpoint list.
async fn serve_complete_list(discovery: &StubDiscovery, seq: u64, hosts: &[&StubHost]) {
    let (request_line, mut connection) = discovery.accept_call().await;
    // The first request must ask for the complete list: a watch from a version of the old discovery, or
    // without version, may return only changes.
    assert_eq!(request_line, "GET /catalog/members HTTP/1.1");
    let body = list_line(seq, true, &hosts.iter().map(|host| host.list_entry("up")).collect::<Vec<_>>());
    send_complete_list(&mut connection, &body).await;
}

#[test]
fn reloaded_discovery_address_is_used_at_once_and_connections_stay_open() {
    run(async {
        let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
        let (test_node, mut old) = start_ready_node(&[&hosts[0]]).await;
        send_chunk(&mut old, &list_line(90, false, &[])).await;
        let (mut client, mut server) = test_node.establish(1, &hosts[0]).await;
        let new = StubDiscovery::new().await;
        let path = write_config("moved", &node_config("127.0.0.1:0", &address(&new)));
        // The address in the environment applies only when the process starts.
        reload(&test_node.node, Some(&path), |name| {
            (name == "ROUTER_DISCOVERY").then(|| address(&test_node.discovery))
        });
        assert_eq!(old.read_line().await, None, "the old watch is dropped");
        // The new discovery has its own versions, which are lower.
        serve_complete_list(&new, 3, &[&hosts[1]]).await;
        let (request_line, mut watch) = new.accept_call().await;
        assert!(request_line.contains("stream=1&index=3"), "{request_line}");
        assert!(test_node.node.decisions.host(server_id("s-1")).is_none());
        test_node.establish(2, &hosts[1]).await;
        watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
        send_chunk(&mut watch, &list_line(4, false, &[hosts[0].list_entry("up")])).await;
        test_node.wait_until_listed("s-1").await;
        client.send("M 1\r\n").await;
        assert_eq!(server.read_line().await.as_deref(), Some("M 1"));
    });
}

#[test]
fn pending_discovery_request_is_dropped_on_reload() {
    run(async {
        let host = StubHost::new("s-1").await;
        let test_node = start_node(|_| {}).await;
        let (_, mut pending) = test_node.discovery.accept_call().await;
        let new = StubDiscovery::new().await;
        let path = write_config("pending", &node_config("127.0.0.1:0", &address(&new)));
        reload(&test_node.node, Some(&path), |_| None);
        assert_eq!(pending.read_line().await, None);
        serve_complete_list(&new, 1, &[&host]).await;
        test_node.wait_until_ready().await;
        test_node.establish(1, &host).await;
    });
}

#[test]
fn invalid_file_changes_nothing() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, mut watch) = start_ready_node(&[&host]).await;
        let before = test_node.node.decisions.discovery_address();
        let mut invalid = node_config("127.0.0.1:0", "127.0.0.1:1");
        invalid["limits"]["sockets"] = "many".into();
        for path in [
            write_config("faulty", &invalid),
            write_config("none", &Value::Null),
            PathBuf::from("/nonexistent"),
        ] {
            reload(&test_node.node, Some(&path), |_| None);
            assert_eq!(test_node.node.decisions.discovery_address(), before);
        }
        send_chunk(&mut watch, &list_line(2, false, &[])).await;
        test_node.establish(1, &host).await;
    });
}

#[test]
fn sighup_reloads_the_file_and_the_process_continues() {
    run(async {
        let (old, new) = (StubDiscovery::new().await, StubDiscovery::new().await);
        let mut value = node_config("127.0.0.1:0", &address(&old));
        value["settings"]["allowed"]["may_tell"] = false.into();
        let path = write_config("sighup", &value);
        let mut node = Command::new(env!("CARGO_BIN_EXE_alderstile"))
            .args(["serve", "--config"])
            .arg(&path)
            .env("ROUTER_DISCOVERY", address(&old))
            .env_remove("RUST_LOG")
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("started");
        let mut log = BufReader::new(node.stderr.take().expect("a log")).lines();
        old.accept_call().await;
        let hangup = async || {
            let pid = node.id().expect("running").to_string();
            assert!(Command::new("kill").args(["-HUP", &pid]).status().await.expect("sent").success());
        };
        value["listen"] = "nowhere".into();
        write_config("sighup", &value);
        hangup().await;
        loop {
            let line = log.next_line().await.expect("a log").expect("a line that names the invalid key");
            if line.contains("for key listen") {
                break;
            }
        }
        value["listen"] = "127.0.0.1:0".into();
        value["discovery"] = address(&new).into();
        write_config("sighup", &value);
        hangup().await;
        new.accept_call().await;
        assert_eq!(node.try_wait().expect("the state of the process"), None, "the process still runs");
    });
}

#[test]
fn sighup_reloads_during_shutdown_and_second_sigterm_is_ignored() {
    run(async {
        let (old, new) = (StubDiscovery::new().await, StubDiscovery::new().await);
        let listen =
            tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port").local_addr().expect("bound");
        let mut value = node_config(&listen.to_string(), &address(&old));
        value["settings"]["allowed"]["may_tell"] = false.into();
        let path = write_config("stop", &value);
        let mut node = Command::new(env!("CARGO_BIN_EXE_alderstile"))
            .args(["serve", "--config"])
            .arg(&path)
            .env_remove("RUST_LOG")
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .expect("started");
        let signal = async |name: &str| {
            let pid = node.id().expect("running").to_string();
            assert!(Command::new("kill").args([name, &pid]).status().await.expect("sent").success());
        };
        let host = StubHost::new("s-1").await;
        let mut watch = old.accept_watch(&[&list_line(1, true, &[host.list_entry("up")])]).await;
        let mut client = loop {
            let mut health_check = LineConnection::connect(listen).await;
            health_check.send("PING\r\n").await;
            if health_check.read_line().await.is_some() {
                break LineConnection::connect(listen).await;
            }
        };
        client.send("OPEN 1 1 c=chat,d=1000\r\n").await;
        let mut server = host.accept().await;
        server.read_line().await.expect("the first line");
        // The shutdown has begun once the node no longer answers health checks.
        signal("-TERM").await;
        loop {
            let mut health_check = LineConnection::connect(listen).await;
            health_check.send("PING\r\n").await;
            if health_check.read_line().await.is_none() {
                break;
            }
        }
        signal("-TERM").await;
        value["discovery"] = address(&new).into();
        write_config("stop", &value);
        signal("-HUP").await;
        assert_eq!(watch.read_line().await, None, "the old watch is dropped");
        serve_complete_list(&new, 1, &[&host]).await;
        server.send("UP 01\r\n").await;
        assert_eq!(client.read_line().await.as_deref(), Some("UP 01"));
        assert_eq!(client.read_line().await.as_deref(), Some("MOVE"));
        assert!(node.wait().await.expect("ended").success());
    });
}

/// Returns the value and kind of a metric.
fn metric(test_node: &TestNode, name: &str) -> Option<String> {
    let (text, start) = (test_node.node.admin.metrics_text(), format!("router.{name}:"));
    text.lines().find_map(|line| line.strip_prefix(&start)).map(str::to_owned)
}

/// Returns the configuration file of a node, to be modified.
fn config_source(test_node: &TestNode) -> Value {
    test_node.node.config().source.clone()
}

async fn first_response(test_node: &TestNode, id: u64, class: &str) -> Option<String> {
    let mut client = test_node.connect().await;
    client.send(&format!("OPEN {id:016x} {id:016x} c={class},d=20000\r\n")).await;
    client.read_line().await
}

#[test]
fn classes_can_be_added_and_removed_and_open_connections_keep_theirs() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node(&[&host]).await;
        let (mut client, mut server) = test_node.establish(1, &host).await;
        let mut value = config_source(&test_node);
        let mut class = value["settings"]["classes"][1].take();
        class["name"] = "video".into();
        let presence = std::mem::replace(&mut value["settings"]["classes"], serde_json::json!([class]));
        reload(&test_node.node, Some(&write_config("classes", &value)), |_| None);
        assert_eq!(metric(&test_node, "reconfig_ok").as_deref(), Some("1|c"));
        assert_eq!(
            test_node.node.config().classes,
            ["chat", "presence", "video"],
            "classes keep their numbers"
        );
        assert_eq!(metric(&test_node, "success.video").as_deref(), Some("0|c"));
        assert_eq!(
            first_response(&test_node, 2, "chat").await.as_deref(),
            Some("ERR"),
            "a removed class admits no requests"
        );
        client.send("M 1\r\n").await;
        assert_eq!(
            server.read_line().await.as_deref(),
            Some("M 1"),
            "open connections of a removed class are served"
        );
        let mut new = test_node.connect().await;
        new.send("OPEN 3 3 c=video,d=20000\r\n").await;
        let mut new_server = host.accept().await;
        new_server.read_line().await.expect("the first line");
        new_server.send("UP 00ff\r\n").await;
        assert_eq!(new.read_line().await.as_deref(), Some("UP 00ff"));
        assert_eq!(metric(&test_node, "success.video").as_deref(), Some("1|c"));
        // The class is added again under its old number.
        value["settings"]["classes"] = presence;
        value["settings"]["classes"][1] = serde_json::json!({"name": "presence", "aim": 1, "worth": 1.0,
            "semantics": "fragile", "give_up": 9, "stream": true});
        reload(&test_node.node, Some(&write_config("classes", &value)), |_| None);
        assert_eq!(test_node.node.config().retired_classes.iter().collect::<Vec<_>>(), ["video"]);
        assert_eq!(test_node.node.config().classes, ["chat", "presence", "video"]);
    });
}

#[test]
fn reloaded_attempt_limit_and_semantics_apply_to_the_next_attempt() {
    run(async {
        let host = StubHost::new("s-1").await;
        let other = StubHost::new("s-2").await;
        let (test_node, _watch) = start_ready_node(&[&host, &other]).await;
        // The class becomes non-retryable while a request is at a host. The request then fails, and as it may
        // have been processed, it is not retried.
        let mut client = test_node.send_request(1, "d=20000").await;
        let mut first = tokio::select! { peer = host.accept() => peer, peer = other.accept() => peer };
        first.read_line().await.expect("the first line");
        let mut value = config_source(&test_node);
        value["settings"]["classes"][0]["semantics"] = "fragile".into();
        reload(&test_node.node, Some(&write_config("stricter", &value)), |_| None);
        drop(first);
        assert_eq!(client.read_line().await.as_deref(), Some("FAILED"));
        value["settings"]["allowed"]["max_attempts"] = 1.into();
        value["settings"]["classes"][0]["semantics"] = "retryable".into();
        reload(&test_node.node, Some(&write_config("stricter", &value)), |_| None);
        let mut client = test_node.send_request(2, "d=20000").await;
        let mut only = tokio::select! { peer = host.accept() => peer, peer = other.accept() => peer };
        only.read_line().await.expect("the first line");
        only.send("BUSY\r\n").await;
        assert!(
            client.read_line().await.is_some_and(|line| line.starts_with("BUSY ")),
            "one attempt, rejected with a retry delay"
        );
        assert_eq!(metric(&test_node, "backend_calls").as_deref(), Some("2|c"));
    });
}

/// Collects the JSON pointers of all values of an object, including those of the classes.
fn pointers(value: &Value, path: &str, all: &mut Vec<String>) {
    let fields: Vec<(String, &Value)> = match value {
        Value::Object(fields) => fields.iter().map(|(key, value)| (key.clone(), value)).collect(),
        Value::Array(items) if items.iter().all(Value::is_object) => {
            items.iter().enumerate().map(|(i, value)| (i.to_string(), value)).collect()
        }
        _ => Vec::new(),
    };
    for (key, value) in fields {
        let path = format!("{path}/{key}");
        pointers(value, &path, all);
        all.push(path);
    }
}

#[test]
fn file_with_a_missing_key_or_an_invalid_number_is_rejected_completely() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, mut watch) = start_ready_node(&[&host]).await;
        let before = test_node.node.decisions.discovery_address();
        let valid = config_source(&test_node);
        let mut invalid: Vec<(String, String)> = Vec::new();
        let mut all = Vec::new();
        pointers(&valid, "", &mut all);
        for path in all {
            // A class may be removed.
            if ["/settings/classes/0", "/settings/classes/1"].contains(&path.as_str()) {
                continue;
            }
            let mut value = valid.clone();
            let (parent, key) = path.rsplit_once('/').expect("a path");
            let fields = value.pointer_mut(parent).and_then(Value::as_object_mut).expect("an object");
            fields.remove(key).expect("a value");
            invalid.push((format!("without {path}"), value.to_string()));
            value = valid.clone();
            *value.pointer_mut(&path).expect("a value") = Value::Null;
            invalid.push((format!("null at {path}"), value.to_string()));
        }
        let numbers = [
            "/settings/allowed/max_attempts",
            "/settings/allowed/connect_timeout",
            "/settings/classes/0/give_up",
            "/settings/classes/1/aim",
        ];
        for path in numbers {
            for number in
                ["0", "-1", "1.5", "\"3\"", "\"soon\"", "null", "1e400", "18446744073709551616", "[]", "true"]
            {
                let mut value = valid.clone();
                *value.pointer_mut(path).expect("a value") = "HERE".into();
                invalid.push((format!("{number} at {path}"), value.to_string().replace("\"HERE\"", number)));
            }
        }
        let text = valid.to_string();
        for cut in (0..text.len()).step_by(7) {
            invalid.push((format!("cut at {cut}"), text[..cut].to_owned()));
        }
        for text in ["", "\n", "null", "[]", "3", "{}", "NaN", "\u{fffd}"] {
            invalid.push((format!("{text:?}"), text.to_owned()));
        }
        // A new class without a key that all classes have.
        for key in ["aim", "worth", "give_up", "stream", "semantics"] {
            let mut value = valid.clone();
            let mut class = value["settings"]["classes"][0].clone();
            class["name"] = "video".into();
            class.as_object_mut().and_then(|fields| fields.remove(key)).expect("a key of a class");
            value["settings"]["classes"][1] = class;
            invalid.push((format!("a new class without {key}"), value.to_string()));
        }
        let path = write_config("bad", &Value::Null);
        for (number, (description, text)) in invalid.iter().enumerate() {
            // Other changes in the same file must not apply either.
            std::fs::write(&path, text.replace(&before.to_string(), "127.0.0.1:1")).expect("written");
            reload(&test_node.node, Some(&path), |_| None);
            assert_eq!(test_node.node.decisions.discovery_address(), before, "{description}");
            let failed = format!("{}|c", number + 1);
            assert_eq!(metric(&test_node, "reconfig_failed"), Some(failed), "{description}");
        }
        std::fs::write(&path, b"\xff\xfe").expect("written");
        reload(&test_node.node, Some(&path), |_| None);
        assert_eq!(metric(&test_node, "reconfig_ok").as_deref(), Some("0|c"));
        assert_eq!(config_source(&test_node), valid);
        send_chunk(&mut watch, &list_line(2, false, &[])).await;
        test_node.establish(1, &host).await;
    });
}

#[test]
fn changed_fixed_keys_are_deferred_to_the_next_start() {
    let value = node_config("127.0.0.1:9000", "127.0.0.1:8500");
    let config = Config::from_file_value(value.clone(), |_| None).expect("a valid configuration");
    let mut new = value;
    new["limits"]["sockets"] = 300.into();
    new["listen"] = "127.0.0.1:9009".into();
    new["settings"]["my_zone"] = 1.into();
    new["settings"]["balancers"] = 7.into();
    let ReloadedConfig { config, deferred_keys } = config.reloaded(new).expect("a valid configuration");
    assert_eq!(deferred_keys, ["listen", "limits", "settings.my_zone"]);
    assert_eq!((config.max_descriptors, config.settings.zone, config.settings.node_count), (200, 0, 7));
    assert_eq!(config.listen.port(), 9000);
}

#[test]
fn successor_uses_the_predecessors_configuration_if_its_own_file_is_rejected() {
    let value = node_config("127.0.0.1:9000", "127.0.0.1:8500");
    let predecessor = UpgradeState {
        config: value.clone(),
        discovery: Some("127.0.0.1:8507".parse().expect("an address")),
        ..UpgradeState::default()
    };
    // The environment's address dates from the predecessor's start.
    let env = |name: &str| (name == "ROUTER_DISCOVERY").then(|| "127.0.0.1:8500".to_owned());
    let successor_config = |name: &str, value: &Value| {
        Config::for_successor(&predecessor, Some(&write_config(name, value)), env).expect("a configuration")
    };
    let unchanged = successor_config("same", &value);
    assert_eq!(unchanged.discovery.port(), 8507, "the predecessor's address is more recent");
    assert_eq!(unchanged.cached_endpoints_source, unchanged.discovery);
    let mut new = value.clone();
    new["settings"]["allowed"]["max_attempts"] = 2.into();
    assert_eq!(successor_config("new", &new).settings.max_attempts, 2);
    new["discovery"] = "127.0.0.1:8509".into();
    let elsewhere = successor_config("elsewhere", &new);
    assert_eq!((elsewhere.discovery.port(), elsewhere.cached_endpoints_source.port()), (8509, 8507));
    // A process without a predecessor would use the default of the missing key and apply the changed value.
    new["settings"]["obligations"].as_object_mut().expect("an object").remove("must_ask_in");
    let lacking = successor_config("lacking", &new);
    assert_eq!((lacking.settings.max_attempts, lacking.discovery.port()), (3, 8507));
    assert_eq!(successor_config("broken", &Value::Null).settings.max_attempts, 3);
}

proptest! {
    /// For any sequence of reloads, each class keeps its number, and exactly the classes of the last file
    /// admit requests.
    #[test]
    fn classes_keep_their_numbers(files in prop::collection::vec(prop::collection::btree_set(0..6_u8, 1..5), 1..8)) {
        let config_with = |classes: &std::collections::BTreeSet<u8>| {
            let mut value = node_config("127.0.0.1:9000", "127.0.0.1:8500");
            let class = value["settings"]["classes"][0].clone();
            value["settings"]["extra"]["message_aim"] = serde_json::json!(vec![1e5; classes.len()]);
            value["settings"]["classes"] = classes.iter().rev().map(|number| {
                let mut class = class.clone();
                class["name"] = format!("c{number}").into();
                class["aim"] = (1_000 + u64::from(*number)).into();
                class
            }).collect();
            value
        };
        let mut config = Config::from_file_value(config_with(&files[0]), |_| None).expect("valid");
        for classes in &files {
            let next = config.reloaded(config_with(classes)).expect("a valid configuration").config;
            prop_assert_eq!(&next.classes[..config.classes.len()], &config.classes[..]);
            prop_assert_eq!(next.settings.classes.len(), next.classes.len());
            for (name, class) in next.classes.iter().zip(&next.settings.classes) {
                let number: u8 = name[1..].parse().expect("a number");
                prop_assert_eq!(class.latency_objective.0, 1_000 + u64::from(number));
                prop_assert_eq!(next.retired_classes.contains(name), !classes.contains(&number));
            }
            config = next;
        }
    }
}
