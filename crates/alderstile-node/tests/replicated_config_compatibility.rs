//! Compatibility of the replicated configuration with what commit cc53de7 wrote: a voter's store, and the
//! JSON and metric names of the admin interface.

use std::path::PathBuf;
use std::time::Duration;

use alderstile_cluster::replicated_config::{
    HardState, LeaseState, LogPosition, PersistedState, Role, VersionHeader,
};
use alderstile_node::admin::server;
use alderstile_node::control::replicated_config::ReplicationStatus;
use alderstile_node::control::replicated_config::document::ConfigDocument;
use alderstile_node::control::replicated_config::status::{lease_state_name, role_name};
use alderstile_node::control::replicated_config::store::VoterStore;
use alderstile_node::proxy::listener;
use serde_json::{Value, json};
use tokio::task::spawn_local;

mod support;
use support::replicated_config::{create_test_directory, document, single_voter_node, wait_until_active};
use support::{LineConnection, StubHost, run};

fn fixture(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests/fixtures/replicated_config", name].iter().collect()
}

/// Returns a document with hosts out of service, as voters store it.
fn stored_document() -> Vec<u8> {
    let document = document(|document| document["hosts_out"] = json!(["s-1", "s-2"]));
    let document = ConfigDocument::parse(document.to_string().as_bytes()).expect("a document");
    serde_json::to_vec(&document).expect("JSON")
}

fn stored_state(document: &[u8]) -> PersistedState {
    let position = LogPosition { term: 4, version: 9 };
    let entry = VersionHeader {
        position,
        digest: alderstile_cluster::content_digest(document),
        length: document.len() as u32,
    };
    let hard_state = HardState { term: 5, vote: Some(2), entry };
    PersistedState { hard_state, document: document.to_vec() }
}

const VOTERS_DIGEST: u64 = 0x0102_0304_0506_0708;

#[test]
fn a_store_of_the_previous_version_is_read_and_written_as_the_same_bytes() {
    let dir = create_test_directory("store-fixture");
    let path = VoterStore::path(&dir, "n/1");
    assert_eq!(path.file_name().and_then(|name| name.to_str()), Some("alderstile-n%2F1.voter"));
    std::fs::copy(fixture("voter_store.bin"), &path).expect("copied");
    let (store, restored) = VoterStore::open(&path, VOTERS_DIGEST).expect("opened");
    let document = stored_document();
    assert_eq!(restored, Some(stored_state(&document)));
    std::fs::remove_file(&path).expect("removed");
    store.save(&stored_state(&document)).expect("saved");
    let written = std::fs::read(&path).expect("read");
    assert!(written == std::fs::read(fixture("voter_store.bin")).expect("read"));
    std::fs::remove_dir_all(&dir).expect("removed");
}

/// Returns the status of a voter with a value in every field.
fn full_status() -> ReplicationStatus {
    ReplicationStatus {
        active_version: 8,
        lease_state: "cut off".to_owned(),
        committed_version: 9,
        activates_in_ms: 1_250,
        staleness_ms: Some(321),
        role: Some("follower".to_owned()),
        leader: Some("10.0.0.2:7950".parse().expect("an address")),
        rejection: Some("the key x: faulty".to_owned()),
        digest: "00112233445566ff".to_owned(),
        document: json!({"settings": {"a": 1}}),
    }
}

#[test]
fn json_of_the_admin_interface_keeps_its_keys() {
    for (name, status) in
        [("settings_full.json", full_status()), ("settings_empty.json", ReplicationStatus::default())]
    {
        let text = std::fs::read_to_string(fixture(name)).expect("read");
        assert_eq!(serde_json::to_string(&status).expect("JSON"), text, "{name}");
        let parsed: ReplicationStatus = serde_json::from_str(&text).expect("a valid status");
        assert_eq!(serde_json::to_string(&parsed).expect("JSON"), text, "{name}");
    }
}

#[test]
fn lease_states_and_roles_keep_their_names_in_the_admin_interface() {
    let states = [LeaseState::Unknown, LeaseState::Valid, LeaseState::Superseded, LeaseState::Expired];
    assert_eq!(states.map(lease_state_name), ["unheard", "counts", "between", "cut off"]);
    let roles = [Role::Learner, Role::Follower, Role::PreCandidate, Role::Candidate, Role::Leader];
    assert_eq!(roles.map(role_name), ["learner", "follower", "candidate", "candidate", "leader"]);
}

/// Sends an admin request; returns the status line without its reason phrase, and the body.
async fn request(to: std::net::SocketAddr, method: &str, path: &str, body: &str) -> (String, String) {
    let mut peer = LineConnection::connect(to).await;
    let length = body.len();
    peer.send(&format!("{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{body}"))
        .await;
    let mut status = peer.read_line().await.expect("a status line");
    while peer.read_line().await.is_some_and(|line| !line.is_empty()) {}
    let mut text = String::new();
    tokio::io::AsyncReadExt::read_to_string(&mut peer.0, &mut text).await.expect("a body");
    status.truncate(12);
    (status, text)
}

/// Parses a status and clears `age_ms`, which depends on the time of the request.
fn without_age(text: &str) -> Value {
    let mut status: Value = serde_json::from_str(text).expect("JSON");
    assert!(status["age_ms"].is_u64() || status["age_ms"].is_null(), "{status}");
    status["age_ms"] = Value::Null;
    status
}

/// Returns the names and kinds of the metrics in a text, without their values.
fn metric_names(text: &str) -> String {
    let names = text.lines().filter(|line| line.contains("agreed_")).map(|line| {
        let (name, value) = line.split_once(':').expect("a value");
        format!("{name}|{}\n", value.split_once('|').expect("a kind").1)
    });
    names.collect()
}

/// Returns the responses of a node that is the only voter, before and after a version, each with the name of
/// its fixture.
async fn responses() -> Vec<(&'static str, String)> {
    let host = StubHost::new("s-1").await;
    let (test_node, _watch, replica, dir) = single_voter_node(89, &[&host]).await;
    let before = serde_json::to_string(&replica.status()).expect("JSON");
    let listener = listener::bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let to = listener.local_addr().expect("bound");
    spawn_local(server::run(test_node.node.admin.clone(), listener));
    let document = document(|_| {}).to_string();
    let proposed = loop {
        let (status, text) = request(to, "POST", "/settings/after/0", &document).await;
        if status != "HTTP/1.1 409" {
            break format!("{status}\n{text}");
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    let (status, text) = request(to, "POST", "/settings/after/7", "{\"setings\": {}}").await;
    let rejected = format!("{status}\n{text}");
    wait_until_active(&replica, 1).await;
    let (status, after) = request(to, "GET", "/settings", "").await;
    assert_eq!(status, "HTTP/1.1 200");
    let (_, counters) = request(to, "GET", "/control/counters", "").await;
    std::fs::remove_dir_all(&dir).expect("removed");
    vec![
        ("settings_before.json", before),
        ("proposed.txt", proposed),
        ("rejected.txt", rejected),
        ("settings_after.json", after),
        ("metric_names.txt", metric_names(&counters)),
    ]
}

#[test]
fn a_node_responds_as_the_previous_version_did() {
    run(async {
        for (name, text) in responses().await {
            let expected = std::fs::read_to_string(fixture(name)).expect("read");
            if name.ends_with(".json") {
                assert_eq!(without_age(&text), without_age(&expected), "{name}");
            } else {
                assert_eq!(text, expected, "{name}");
            }
        }
    });
}
