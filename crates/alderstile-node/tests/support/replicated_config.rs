//! Test support for the replicated configuration: a node that is the only voter, and documents for it.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use alderstile_cluster::replicated_config::PersistedState;
use alderstile_node::config::ClusterConfig;
use alderstile_node::control::membership::ClusterMembership;
use alderstile_node::control::replicated_config::store::VoterStore;
use alderstile_node::control::replicated_config::{ConfigReplica, ProposalResult};
use serde_json::{Value, json};
use tokio::task::spawn_local;

use super::{LineConnection, StubHost, TestNode, node_config, start_ready_node};

/// The key that authenticates the members of a cluster to each other.
pub const CLUSTER_KEY: &str = "00112233445566778899aabbccddeeff";

pub fn create_test_directory(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("replicated-config-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("created directory");
    dir
}

/// Returns a document with the settings that all nodes of the tests share, modified by `change`.
pub fn document(change: impl FnOnce(&mut Value)) -> Value {
    let mut settings = node_config("127.0.0.1:1", "127.0.0.1:1")["settings"].take();
    settings.as_object_mut().expect("an object").remove("my_zone");
    let mut document = json!({ "settings": settings });
    change(&mut document);
    document
}

/// Starts a node in this process that is the only voter, at the address 127.0.`subnet`.1.
pub async fn single_voter_node(
    subnet: u8,
    hosts: &[&StubHost],
) -> (TestNode, LineConnection, Rc<ConfigReplica>, PathBuf) {
    let (test_node, watch) = start_ready_node(hosts).await;
    let dir = create_test_directory(&format!("alone-{subnet}"));
    let text = format!(
        "name = \"edge\"\nlisten = \"127.0.{subnet}.1:19002\"\nkeys = [\"{CLUSTER_KEY}\"]\n[control]\n\
         listen = \"127.0.{subnet}.1:19003\"\nvoters = [\"127.0.{subnet}.1:19003\"]\nstate_dir = \"{}\"\n\
         heartbeat_ms = 50\n",
        dir.display()
    );
    let cluster = ClusterConfig::parse("c.toml", &text).expect("valid cluster file");
    let replication = cluster.replication.as_ref().expect("table [control]");
    let path = VoterStore::path(&dir, &test_node.node.config().name);
    let (store, _) = VoterStore::open(&path, replication.settings.voters_digest()).expect("opened store");
    store.save(&PersistedState::genesis()).expect("saved state");
    drop(store);
    let membership =
        Rc::new(ClusterMembership::new(&test_node.node.config(), &cluster, None).expect("valid member"));
    test_node.node.admin.set_membership(membership.clone());
    let replica = Rc::new(ConfigReplica::new(replication, &test_node.node));
    test_node.node.admin.set_replicated_config(replica.clone());
    assert!(!test_node.node.admin.is_ready(), "not ready before the active version is known");
    spawn_local(replica.clone().run(membership));
    (test_node, watch, replica, dir)
}

/// Proposes a document until it is committed, and returns its version.
pub async fn propose_until_committed(replica: &ConfigReplica, document: &Value) -> u64 {
    loop {
        let expected_version = replica.status().committed_version;
        if let ProposalResult::Committed(version) =
            replica.propose(expected_version, document.to_string().as_bytes()).await
        {
            return version;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until this version or a later one is active.
pub async fn wait_until_active(replica: &ConfigReplica, version: u64) {
    while replica.status().active_version < version {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns a document with this maximum number of attempts.
pub fn with_attempts(max_attempts: u64) -> Value {
    document(|document| document["settings"]["allowed"]["max_attempts"] = max_attempts.into())
}
