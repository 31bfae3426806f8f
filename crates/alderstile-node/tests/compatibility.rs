//! Compatibility with cc53de7: keys of the configuration and the cluster file, the maintenance file, admin
//! responses, metric names and the output of the commands.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Duration;

use alderstile_node::admin::maintenance_store::{MaintenanceState, MaintenanceStore};
use alderstile_node::config::{ClusterConfig, Config, IsolationPolicy};
use serde_json::Value;
use tokio::io::AsyncReadExt;

mod support;
use support::*;

fn fixture(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests/fixtures/compatibility", name].iter().collect()
}

fn recorded(name: &str) -> String {
    std::fs::read_to_string(fixture(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

/// Checks that a text is the one recorded from the previous version.
fn assert_recorded(name: &str, text: &str) {
    assert_eq!(text, recorded(name), "{name}");
}

fn temp_dir(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("a directory");
    dir
}

// ---- the configuration file ----

/// Returns the recorded configuration file, which contains every key.
fn every_key() -> Value {
    serde_json::from_str(&recorded("config.json")).expect("JSON")
}

/// Collects the JSON pointers of all values that are neither objects nor arrays of objects.
fn leaves(pointer: &str, value: &Value, found: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(key, value)| leaves(&format!("{pointer}/{key}"), value, found));
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            items.iter().enumerate().for_each(|(i, item)| leaves(&format!("{pointer}/{i}"), item, found));
        }
        _ => found.push(pointer.to_owned()),
    }
}

/// Each key gets an invalid value in turn. A key that is no longer read would be accepted with it.
#[test]
fn each_configuration_key_is_read_under_its_name() {
    let mut pointers = Vec::new();
    leaves("", &every_key(), &mut pointers);
    let mut table = String::new();
    for pointer in pointers {
        let mut value = every_key();
        *value.pointer_mut(&pointer).expect("a key") = "no such value".into();
        let path = pointer.trim_start_matches('/').replace('/', ".");
        let outcome = match Config::parse(value) {
            Ok(_) => "taken",
            Err(error) if error.to_string().contains(&path) => "refused by its name",
            Err(_) => "refused",
        };
        table.push_str(&format!("{path}: {outcome}\n"));
    }
    assert_recorded("config_keys.txt", &table);
}

#[test]
fn configuration_with_every_key_has_its_values() {
    let config = Config::from_file_value(every_key(), |_| None).expect("a valid configuration");
    assert_eq!(config.name, "n/1");
    let address = |text: &str| text.parse::<SocketAddr>().expect("an address");
    assert_eq!(config.listen, address("127.0.0.1:9000"));
    assert_eq!(config.admin_addr, Some(address("127.0.0.1:9001")));
    assert_eq!(config.discovery, address("127.0.0.1:8500"));
    assert_eq!(config.peer_listen, Some(address("127.0.0.1:7946")));
    assert_eq!(config.peers, [address("127.0.0.1:7946"), address("127.0.0.1:7947")]);
    assert_eq!(config.peer_broadcast, Some(address("127.0.0.1:7940")));
    assert_eq!((config.seed, config.max_descriptors), (0x8c1f_30d2_7a5b_e964, 60));
    assert_eq!(config.classes, ["chat", "presence", "poll"]);
    assert_eq!(config.zones, ["a", "b"]);
    assert_eq!((config.connect_timeout.as_millis(), config.shutdown_timeout.as_millis()), (240, 1_900));
    assert_eq!(config.push_drain_grace.map(|grace| grace.0), Some(600_000));
    assert_eq!((config.settings.must_subscribe, config.settings.max_poll_interval.0), (true, 200_000));
    assert_eq!((config.settings.node_count, config.settings.group_load), (2, 2.5));
    let shadow = config.shadow.expect("on");
    assert_eq!((shadow.node_count, shadow.group_load), (50, 3.5));
    let mut expected = every_key();
    let known = expected.as_object_mut().and_then(|fields| fields.remove("known"));
    assert_eq!(config.source, expected);
    assert_eq!(serde_json::to_value(&config.cached_endpoints).ok(), known, "the endpoint list's keys");
}

#[test]
fn each_environment_variable_overrides_its_key() {
    let env = |name: &str| match name {
        "ROUTER_NAME" => Some("n2".to_owned()),
        "ROUTER_LISTEN" => Some("127.0.0.9:1".to_owned()),
        "ROUTER_DISCOVERY" => Some("127.0.0.9:2".to_owned()),
        "ROUTER_ADMIN_ADDR" => Some("127.0.0.9:3".to_owned()),
        "ROUTER_CONFIG" => Some(fixture("config.json").display().to_string()),
        "TMPDIR" => Some("/state".to_owned()),
        _ => None,
    };
    let config = Config::load(None, env).expect("a valid configuration");
    let ports = [Some(config.listen), Some(config.discovery), config.admin_addr];
    assert_eq!(config.name, "n2");
    assert_eq!(ports.map(|address| address.map(|address| address.port())), [Some(1), Some(2), Some(3)]);
    assert_eq!(config.state_dir.as_deref(), Some(Path::new("/state")));
}

// ---- the cluster file ----

#[test]
fn cluster_file_with_every_key_has_its_values() {
    let config = ClusterConfig::load(&fixture("cluster.toml")).expect("a valid configuration");
    assert_eq!((config.name.as_str(), config.listen.port(), config.advertise.port()), ("edge", 19946, 19947));
    assert_eq!(config.seeds.len(), 2);
    assert_eq!((config.settings.period.0, config.settings.suspicion_multiplier), (200_000, 3.5));
    let subsets = config.subsetting.expect("a table");
    assert_eq!((subsets.hosts_per_node, subsets.nodes_per_host), (12, 3));
    assert_eq!((subsets.prefer_own_zone, subsets.added_host_retention.0), (true, 12_500_000));
    let control = config.replication.expect("a table");
    assert_eq!((control.listen.port(), control.settings.voters.len()), (19950, 2));
    assert_eq!(control.settings.local_voter, Some(0));
    assert_eq!(control.state_dir.as_deref(), Some(Path::new("/var/lib/alderstile")));
    assert_eq!((control.settings.heartbeat.0, control.settings.lease.0), (40_000, 750_000));
    assert_eq!((control.settings.drift, control.settings.fanout), (0.02, 5));
    assert_eq!(control.when_isolated, IsolationPolicy::StopAdmitting);
    let other = recorded("cluster.toml").replace("\"refuse\"", "\"go-on\"");
    let other = ClusterConfig::parse("cluster.toml", &other)
        .expect("a valid configuration")
        .replication
        .expect("a table");
    assert_eq!(other.when_isolated, IsolationPolicy::KeepServing);
}

// ---- the maintenance file ----

#[test]
fn maintenance_file_keeps_its_bytes() {
    let dir = temp_dir("maintenance");
    let path = dir.join("alderstile-n%2F1.hosts.json");
    std::fs::copy(fixture("hosts.json"), &path).expect("copied");
    let store = MaintenanceStore::load(&dir, "n/1");
    let hosts: Vec<(&str, MaintenanceState)> = store.hosts().collect();
    let [("s-1", MaintenanceState::OutOfService), ("s-2", MaintenanceState::ReturnedAt(since))] = hosts[..]
    else {
        panic!("{hosts:?}")
    };
    assert!(since > 1_700_000_000_000_000, "microseconds of Unix time");
    std::fs::remove_file(&path).expect("removed");
    store.save(&dir, "n/1").expect("saved");
    assert_eq!(std::fs::read_to_string(&path).expect("the saved file"), recorded("hosts.json"));
    std::fs::remove_dir_all(&dir).expect("removed");
}

// ---- a process: admin interface, metrics, command line ----

/// A node's process, killed on drop.
struct RunningNode(std::process::Child);

impl Drop for RunningNode {
    fn drop(&mut self) {
        self.0.kill().unwrap_or_default();
        let _ = self.0.wait();
    }
}

const LISTEN: &str = "127.0.91.1:19000";
const ADMIN: &str = "127.0.91.1:19001";

/// Writes the files of a node that is the only member and voter of its cluster.
fn write_files(dir: &Path) {
    let mut file = node_config(LISTEN, "127.0.0.1:1");
    (file["name"], file["admin_addr"]) = ("n/1".into(), ADMIN.into());
    file["settings"]["classes"][1]["name"] = "a:b|c d".into();
    std::fs::write(dir.join("config.json"), file.to_string()).expect("written");
    let cluster = recorded("cluster.toml")
        .replace(", \"127.0.91.2:19950\"", "")
        .replace("127.0.91.1:19947", "127.0.91.1:19946")
        .replace("/var/lib/alderstile", &dir.display().to_string());
    std::fs::write(dir.join("cluster.toml"), cluster).expect("written");
    std::fs::write(dir.join("bad.json"), "{\"setings\": {}}").expect("written");
}

fn program(dir: &Path, discovery: SocketAddr, args: &[&str]) -> Command {
    let mut program = Command::new(env!("CARGO_BIN_EXE_alderstile"));
    program.args(args).arg("--config").arg(dir.join("config.json"));
    program.arg("--cluster").arg(dir.join("cluster.toml"));
    program.env("TMPDIR", dir).env("ROUTER_DISCOVERY", discovery.to_string());
    program.stderr(Stdio::null());
    program
}

/// Runs a command; returns its command line, output and exit code.
fn printed(dir: &Path, discovery: SocketAddr, args: &[&str]) -> String {
    let output = program(dir, discovery, args).output().expect("run");
    let text = String::from_utf8(output.stdout).expect("text").replace(&dir.display().to_string(), "DIR");
    format!("$ alderstile {}\n{text}exit {}\n", args.join(" "), output.status.code().unwrap_or(-1))
}

/// Sends an admin request; returns the full response with its date masked, and its length where that varies.
async fn request(method: &str, path: &str, body: &str) -> String {
    let mut peer = LineConnection::connect(ADMIN.parse().expect("an address")).await;
    let length = body.len();
    peer.send(&format!("{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{body}"))
        .await;
    let mut response = String::new();
    peer.0.read_to_string(&mut response).await.expect("a response");
    let lines = response.lines().map(|line| match line.split_once(": ") {
        Some(("date", _)) => "date: DATE",
        Some(("content-length", _)) if path == "/members" => "content-length: LENGTH",
        _ => line,
    });
    lines.map(|line| format!("{line}\n")).collect()
}

/// Returns the name and kind of each metric, without its value.
fn metric_names(text: &str) -> String {
    let metrics = text.lines().filter_map(|line| {
        let (rest, kind) = line.rsplit_once('|')?;
        Some(format!("{}|{kind}\n", rest.rsplit_once(':')?.0))
    });
    metrics.collect()
}

/// Returns the maintenance file with the time of a host's return masked.
fn without_time(text: &str) -> String {
    let (head, tail) = text.split_once("\"back\":").expect("a host that is back");
    format!("{head}\"back\":TIME{}", tail.trim_start_matches(|c: char| c.is_ascii_digit()))
}

/// Returns a text that contains the members as JSON, with the values masked that vary between runs.
fn masked_members(text: &str) -> String {
    let (Some(start), Some(end)) = (text.find('{'), text.rfind('}')) else { return text.to_owned() };
    let mut members: Value = serde_json::from_str(&text[start..=end]).expect("JSON");
    for member in members["members"].as_array_mut().into_iter().flatten() {
        assert!(member["session"].is_string(), "{member}");
        member["session"] = "SESSION".into();
        for number in ["for_ms", "incarnation"] {
            assert!(member[number].is_u64(), "{member}");
            member[number] = "NUMBER".into();
        }
    }
    format!("{}{members}{}", &text[..start], &text[end + 1..])
}

/// Returns the table of members with the seconds masked.
fn masked_table(text: &str) -> String {
    let seconds = |line: &str| match line.rsplit_once("  this one") {
        Some((rest, _)) => {
            format!("{} SECONDS  this one\n", rest.trim_end_matches(|c: char| c != ' ').trim_end())
        }
        None => format!("{line}\n"),
    };
    text.lines().map(seconds).collect()
}

async fn responses() -> String {
    let requests = [
        ("GET", "/control/ready", ""),
        ("POST", "/control/ready", ""),
        ("GET", "/control/hosts/s-1/offline", ""),
        ("POST", "/control/hosts/s-1/offline", ""),
        ("POST", "/control/hosts/s-2/offline", ""),
        ("POST", "/control/hosts/s-2/online", ""),
        ("POST", "/control/hosts/s-3/offline", ""),
        ("POST", "/control/hosts/s-1/sideways", ""),
        ("PUT", "/control/counters", ""),
        ("POST", "/members", ""),
        ("POST", "/settings", ""),
        ("GET", "/settings/after/1", ""),
        ("POST", "/settings/after/x", ""),
        ("GET", "/nowhere", ""),
    ];
    let mut all = String::new();
    for (method, path, body) in requests {
        all.push_str(&format!("> {method} {path}\n{}\n", request(method, path, body).await));
    }
    let body = "x".repeat(9 << 10);
    all.push_str(&format!("> 9 KiB\n{}", request("POST", "/control/hosts/s-1/online", &body).await));
    all
}

async fn wait_until_status(status: &str) {
    while !request("GET", "/control/ready", "").await.starts_with(&format!("HTTP/1.1 {status}")) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn wait_until_reachable() {
    while tokio::net::TcpStream::connect(ADMIN).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[test]
fn process_responds_and_prints_as_the_previous_version_did() {
    run(async {
        let dir = temp_dir("compatibility");
        write_files(&dir);
        let discovery = StubDiscovery::new().await;
        let at = discovery.0.local_addr().expect("bound");
        let print = |args: &[&str]| printed(&dir, at, args);
        let mut commands = print(&["check-config"]);
        commands.push_str(&print(&["settings", "init"]));
        commands.push_str(&print(&["settings", "init"]));
        commands.push_str(&print(&["settings", "show"]));
        let _node = RunningNode(program(&dir, at, &["serve"]).spawn().expect("started"));
        wait_until_reachable().await;
        let not_ready = request("GET", "/control/ready", "").await;
        assert_recorded("not_ready.txt", &not_ready);
        let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
        let entries: Vec<Value> = hosts.iter().map(|host| host.list_entry("up")).collect();
        let _watch = discovery.accept_watch(&[&list_line(1, true, &entries)]).await;
        wait_until_status("200").await;
        assert_recorded("admin.txt", &responses().await);
        assert_recorded("metric_names.txt", &metric_names(&request("GET", "/control/counters", "").await));
        assert_recorded("members.txt", &masked_members(&request("GET", "/members", "").await));
        let written =
            std::fs::read_to_string(dir.join("alderstile-n%2F1.hosts.json")).expect("the saved file");
        assert_eq!(without_time(&written), without_time(&recorded("hosts.json")));
        commands.push_str(&masked_table(&print(&["members"])));
        commands.push_str(&masked_members(&print(&["members", "--json"])));
        let bad = dir.join("bad.json").display().to_string();
        commands.push_str(&print(&["settings", "propose", &bad]).replace(&dir.display().to_string(), "DIR"));
        commands.push_str(&print(&["version"]));
        assert_recorded("commands.txt", &commands);
        std::fs::remove_dir_all(&dir).expect("removed");
    });
}
