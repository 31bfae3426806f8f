//! Reloading the configuration while the node runs, and the configuration of a successor.

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

/// A file of its own for each test.
fn file(name: &str, value: &Value) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
    std::fs::write(&path, value.to_string()).expect("written");
    path
}

fn address(discovery: &StubDiscovery) -> String {
    discovery.0.local_addr().expect("bound").to_string()
}

/// Answers a call for the whole list.
async fn whole(discovery: &StubDiscovery, seq: u64, hosts: &[&StubHost]) {
    let (first, mut call) = discovery.accept_call().await;
    // A watch from a version of the old discovery's, or from none, may begin with changes alone.
    assert_eq!(first, "GET /catalog/members HTTP/1.1");
    let body = list_line(seq, true, &hosts.iter().map(|host| host.list_entry("up")).collect::<Vec<_>>());
    call.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())).await;
}

#[test]
fn the_list_comes_from_the_new_discovery_at_once_and_connections_live_on() {
    run(async {
        let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
        let (setup, mut old) = start_ready_node(&[&hosts[0]]).await;
        send_chunk(&mut old, &list_line(90, false, &[])).await;
        let (mut client, mut server) = setup.establish(1, &hosts[0]).await;
        let new = StubDiscovery::new().await;
        let path = file("moved", &node_config("127.0.0.1:0", &address(&new)));
        // The environment's word is that of the start.
        reload(&setup.node, Some(&path), |name| {
            (name == "ROUTER_DISCOVERY").then(|| address(&setup.discovery))
        });
        assert_eq!(old.read_line().await, None, "the old watch is dropped");
        // Its versions are its own, and lower.
        whole(&new, 3, &[&hosts[1]]).await;
        let (first, mut watch) = new.accept_call().await;
        assert!(first.contains("stream=1&index=3"), "{first}");
        assert!(setup.node.decisions.host(server_id("s-1")).is_none());
        setup.establish(2, &hosts[1]).await;
        watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
        send_chunk(&mut watch, &list_line(4, false, &[hosts[0].list_entry("up")])).await;
        setup.wait_until_listed("s-1").await;
        client.send("M 1\r\n").await;
        assert_eq!(server.read_line().await.as_deref(), Some("M 1"));
    });
}

#[test]
fn a_call_that_is_out_is_dropped_too() {
    run(async {
        let host = StubHost::new("s-1").await;
        let setup = start_node(|_| {}).await;
        let (_, mut pending) = setup.discovery.accept_call().await;
        let new = StubDiscovery::new().await;
        let path = file("pending", &node_config("127.0.0.1:0", &address(&new)));
        reload(&setup.node, Some(&path), |_| None);
        assert_eq!(pending.read_line().await, None);
        whole(&new, 1, &[&host]).await;
        setup.wait_until_ready().await;
        setup.establish(1, &host).await;
    });
}

#[test]
fn a_faulty_file_changes_nothing() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, mut watch) = start_ready_node(&[&host]).await;
        let before = setup.node.decisions.discovery_address();
        let mut faulty = node_config("127.0.0.1:0", "127.0.0.1:1");
        faulty["limits"]["sockets"] = "many".into();
        for path in [file("faulty", &faulty), file("none", &Value::Null), PathBuf::from("/nonexistent")] {
            reload(&setup.node, Some(&path), |_| None);
            assert_eq!(setup.node.decisions.discovery_address(), before);
        }
        send_chunk(&mut watch, &list_line(2, false, &[])).await;
        setup.establish(1, &host).await;
    });
}

#[test]
fn sighup_reads_the_file_again_and_ends_nothing() {
    run(async {
        let (old, new) = (StubDiscovery::new().await, StubDiscovery::new().await);
        let mut value = node_config("127.0.0.1:0", &address(&old));
        value["settings"]["allowed"]["may_tell"] = false.into();
        let path = file("sighup", &value);
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
            let pid = node.id().expect("still there").to_string();
            assert!(Command::new("kill").args(["-HUP", &pid]).status().await.expect("sent").success());
        };
        value["listen"] = "nowhere".into();
        file("sighup", &value);
        hangup().await;
        loop {
            let line = log.next_line().await.expect("a log").expect("a line that names the faulty key");
            if line.contains("for key listen") {
                break;
            }
        }
        value["listen"] = "127.0.0.1:0".into();
        value["discovery"] = address(&new).into();
        file("sighup", &value);
        hangup().await;
        new.accept_call().await;
        assert_eq!(node.try_wait().expect("asked"), None, "it lives on");
    });
}

#[test]
fn sighup_counts_during_a_stop_and_a_second_sigterm_changes_nothing() {
    run(async {
        let (old, new) = (StubDiscovery::new().await, StubDiscovery::new().await);
        let listen =
            tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port").local_addr().expect("bound");
        let mut value = node_config(&listen.to_string(), &address(&old));
        value["settings"]["allowed"]["may_tell"] = false.into();
        let path = file("stop", &value);
        let mut node = Command::new(env!("CARGO_BIN_EXE_alderstile"))
            .args(["serve", "--config"])
            .arg(&path)
            .env_remove("RUST_LOG")
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .expect("started");
        let signal = async |name: &str| {
            let pid = node.id().expect("still there").to_string();
            assert!(Command::new("kill").args([name, &pid]).status().await.expect("sent").success());
        };
        let host = StubHost::new("s-1").await;
        let mut watch = old.accept_watch(&[&list_line(1, true, &[host.list_entry("up")])]).await;
        let mut client = loop {
            let mut front = LineConnection::connect(listen).await;
            front.send("PING\r\n").await;
            if front.read_line().await.is_some() {
                break LineConnection::connect(listen).await;
            }
        };
        client.send("OPEN 1 1 c=chat,d=1000\r\n").await;
        let mut server = host.accept().await;
        server.read_line().await.expect("the first line");
        // The stop has begun once it is not ready any more.
        signal("-TERM").await;
        loop {
            let mut front = LineConnection::connect(listen).await;
            front.send("PING\r\n").await;
            if front.read_line().await.is_none() {
                break;
            }
        }
        signal("-TERM").await;
        value["discovery"] = address(&new).into();
        file("stop", &value);
        signal("-HUP").await;
        assert_eq!(watch.read_line().await, None, "the old watch is dropped");
        whole(&new, 1, &[&host]).await;
        server.send("UP 01\r\n").await;
        assert_eq!(client.read_line().await.as_deref(), Some("UP 01"));
        assert_eq!(client.read_line().await.as_deref(), Some("MOVE"));
        assert!(node.wait().await.expect("ended").success());
    });
}

/// What the figures say.
fn figure(setup: &Setup, name: &str) -> Option<String> {
    let (text, start) = (setup.node.admin.metrics_text(), format!("router.{name}:"));
    text.lines().find_map(|line| line.strip_prefix(&start)).map(str::to_owned)
}

/// The file that a node was started by, to be changed.
fn told(setup: &Setup) -> Value {
    setup.node.config().source.clone()
}

async fn answer(setup: &Setup, id: u64, class: &str) -> Option<String> {
    let mut client = setup.connect().await;
    client.send(&format!("OPEN {id:016x} {id:016x} c={class},d=20000\r\n")).await;
    client.read_line().await
}

#[test]
fn classes_come_and_go_and_connections_under_way_keep_theirs() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, _watch) = start_ready_node(&[&host]).await;
        let (mut client, mut server) = setup.establish(1, &host).await;
        let mut value = told(&setup);
        let mut class = value["settings"]["classes"][1].take();
        class["name"] = "video".into();
        let presence = std::mem::replace(&mut value["settings"]["classes"], serde_json::json!([class]));
        reload(&setup.node, Some(&file("classes", &value)), |_| None);
        assert_eq!(figure(&setup, "reconfig_ok").as_deref(), Some("1|c"));
        assert_eq!(setup.node.config().classes, ["chat", "presence", "video"], "numbers are kept");
        assert_eq!(figure(&setup, "success.video").as_deref(), Some("0|c"));
        assert_eq!(answer(&setup, 2, "chat").await.as_deref(), Some("ERR"), "it takes nothing new");
        client.send("M 1\r\n").await;
        assert_eq!(server.read_line().await.as_deref(), Some("M 1"), "and what is under way goes on");
        let mut new = setup.connect().await;
        new.send("OPEN 3 3 c=video,d=20000\r\n").await;
        let mut at = host.accept().await;
        at.read_line().await.expect("the first line");
        at.send("UP 00ff\r\n").await;
        assert_eq!(new.read_line().await.as_deref(), Some("UP 00ff"));
        assert_eq!(figure(&setup, "success.video").as_deref(), Some("1|c"));
        // And back, under its old number.
        value["settings"]["classes"] = presence;
        value["settings"]["classes"][1] = serde_json::json!({"name": "presence", "aim": 1, "worth": 1.0,
            "semantics": "fragile", "give_up": 9, "stream": true});
        reload(&setup.node, Some(&file("classes", &value)), |_| None);
        assert_eq!(setup.node.config().retired_classes.iter().collect::<Vec<_>>(), ["video"]);
        assert_eq!(setup.node.config().classes, ["chat", "presence", "video"]);
    });
}

#[test]
fn fewer_attempts_and_a_stricter_effect_count_for_the_next_attempt() {
    run(async {
        let host = StubHost::new("s-1").await;
        let other = StubHost::new("s-2").await;
        let (setup, _watch) = start_ready_node(&[&host, &other]).await;
        // A request is out when the word comes that it may not be repeated: it broke, and may have run.
        let mut client = setup.send_request(1, "d=20000").await;
        let mut first = tokio::select! { peer = host.accept() => peer, peer = other.accept() => peer };
        first.read_line().await.expect("the first line");
        let mut value = told(&setup);
        value["settings"]["classes"][0]["semantics"] = "fragile".into();
        reload(&setup.node, Some(&file("stricter", &value)), |_| None);
        drop(first);
        assert_eq!(client.read_line().await.as_deref(), Some("FAILED"));
        value["settings"]["allowed"]["max_attempts"] = 1.into();
        value["settings"]["classes"][0]["semantics"] = "retryable".into();
        reload(&setup.node, Some(&file("stricter", &value)), |_| None);
        let mut client = setup.send_request(2, "d=20000").await;
        let mut only = tokio::select! { peer = host.accept() => peer, peer = other.accept() => peer };
        only.read_line().await.expect("the first line");
        only.send("BUSY\r\n").await;
        assert!(
            client.read_line().await.is_some_and(|line| line.starts_with("BUSY ")),
            "one attempt, and when to return"
        );
        assert_eq!(figure(&setup, "backend_calls").as_deref(), Some("2|c"));
    });
}

/// The paths of all values of an object, those of the classes' keys too.
fn paths(value: &Value, path: &str, all: &mut Vec<String>) {
    let fields: Vec<(String, &Value)> = match value {
        Value::Object(fields) => fields.iter().map(|(key, value)| (key.clone(), value)).collect(),
        Value::Array(items) if items.iter().all(Value::is_object) => {
            items.iter().enumerate().map(|(i, value)| (i.to_string(), value)).collect()
        }
        _ => Vec::new(),
    };
    for (key, value) in fields {
        let path = format!("{path}/{key}");
        paths(value, &path, all);
        all.push(path);
    }
}

#[test]
fn a_file_that_lacks_a_key_or_holds_a_bad_count_is_turned_down_whole() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, mut watch) = start_ready_node(&[&host]).await;
        let before = setup.node.decisions.discovery_address();
        let good = told(&setup);
        let mut bad: Vec<(String, String)> = Vec::new();
        let mut all = Vec::new();
        paths(&good, "", &mut all);
        for path in all {
            // A class may vanish.
            if ["/settings/classes/0", "/settings/classes/1"].contains(&path.as_str()) {
                continue;
            }
            let mut value = good.clone();
            let (at, key) = path.rsplit_once('/').expect("a path");
            let fields = value.pointer_mut(at).and_then(Value::as_object_mut).expect("an object");
            fields.remove(key).expect("a value");
            bad.push((format!("without {path}"), value.to_string()));
            value = good.clone();
            *value.pointer_mut(&path).expect("a value") = Value::Null;
            bad.push((format!("null at {path}"), value.to_string()));
        }
        let counts = [
            "/settings/allowed/max_attempts",
            "/settings/allowed/connect_timeout",
            "/settings/classes/0/give_up",
            "/settings/classes/1/aim",
        ];
        for path in counts {
            for count in
                ["0", "-1", "1.5", "\"3\"", "\"soon\"", "null", "1e400", "18446744073709551616", "[]", "true"]
            {
                let mut value = good.clone();
                *value.pointer_mut(path).expect("a value") = "HERE".into();
                bad.push((format!("{count} at {path}"), value.to_string().replace("\"HERE\"", count)));
            }
        }
        let whole = good.to_string();
        for cut in (0..whole.len()).step_by(7) {
            bad.push((format!("cut at {cut}"), whole[..cut].to_owned()));
        }
        for text in ["", "\n", "null", "[]", "3", "{}", "NaN", "\u{fffd}"] {
            bad.push((format!("{text:?}"), text.to_owned()));
        }
        // A new class without what all classes have.
        for key in ["aim", "worth", "give_up", "stream", "semantics"] {
            let mut value = good.clone();
            let mut class = value["settings"]["classes"][0].clone();
            class["name"] = "video".into();
            class.as_object_mut().and_then(|fields| fields.remove(key)).expect("a key of a class");
            value["settings"]["classes"][1] = class;
            bad.push((format!("a new class without {key}"), value.to_string()));
        }
        let path = file("bad", &Value::Null);
        for (number, (what, text)) in bad.iter().enumerate() {
            // What else is new in it must not count either.
            std::fs::write(&path, text.replace(&before.to_string(), "127.0.0.1:1")).expect("written");
            reload(&setup.node, Some(&path), |_| None);
            assert_eq!(setup.node.decisions.discovery_address(), before, "{what}");
            let failed = format!("{}|c", number + 1);
            assert_eq!(figure(&setup, "reconfig_failed"), Some(failed), "{what}");
        }
        std::fs::write(&path, b"\xff\xfe").expect("written");
        reload(&setup.node, Some(&path), |_| None);
        assert_eq!(figure(&setup, "reconfig_ok").as_deref(), Some("0|c"));
        assert_eq!(told(&setup), good);
        send_chunk(&mut watch, &list_line(2, false, &[])).await;
        setup.establish(1, &host).await;
    });
}

#[test]
fn what_waits_for_the_next_start_is_named() {
    let value = node_config("127.0.0.1:9000", "127.0.0.1:8500");
    let config = Config::from_file_value(value.clone(), |_| None).expect("fine");
    let mut new = value;
    new["limits"]["sockets"] = 300.into();
    new["listen"] = "127.0.0.1:9009".into();
    new["settings"]["my_zone"] = 1.into();
    new["settings"]["balancers"] = 7.into();
    let ReloadedConfig { config, deferred_keys } = config.reloaded(new).expect("fine");
    assert_eq!(deferred_keys, ["listen", "limits", "settings.my_zone"]);
    assert_eq!((config.max_descriptors, config.settings.zone, config.settings.node_count), (200, 0, 7));
    assert_eq!(config.listen.port(), 9000);
}

#[test]
fn a_process_that_takes_over_goes_by_the_file_in_force_where_its_own_was_turned_down() {
    let value = node_config("127.0.0.1:9000", "127.0.0.1:8500");
    let handshake = UpgradeState {
        config: value.clone(),
        discovery: Some("127.0.0.1:8507".parse().expect("an address")),
        ..UpgradeState::default()
    };
    // The environment's word is of the start before.
    let env = |name: &str| (name == "ROUTER_DISCOVERY").then(|| "127.0.0.1:8500".to_owned());
    let take = |name: &str, value: &Value| {
        Config::for_successor(&handshake, Some(&file(name, value)), env).expect("a configuration")
    };
    let same = take("same", &value);
    assert_eq!(same.discovery.port(), 8507, "the one that serves knows better");
    let mut new = value.clone();
    new["settings"]["allowed"]["max_attempts"] = 2.into();
    assert_eq!(take("new", &new).settings.max_attempts, 2);
    new["discovery"] = "127.0.0.1:8509".into();
    assert_eq!(take("elsewhere", &new).discovery.port(), 8509);
    // A start would take the default for the lost key, and the other figure with it.
    new["settings"]["obligations"].as_object_mut().expect("an object").remove("must_ask_in");
    let kept = take("lacking", &new);
    assert_eq!((kept.settings.max_attempts, kept.discovery.port()), (3, 8507));
    assert_eq!(take("broken", &Value::Null).settings.max_attempts, 3);
}

proptest! {
    /// However classes come and go, each keeps its number, and exactly those named last take requests.
    #[test]
    fn classes_keep_their_numbers(files in prop::collection::vec(prop::collection::btree_set(0..6_u8, 1..5), 1..8)) {
        let of = |classes: &std::collections::BTreeSet<u8>| {
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
        let mut config = Config::from_file_value(of(&files[0]), |_| None).expect("fine");
        for classes in &files {
            let next = config.reloaded(of(classes)).expect("fine").config;
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
