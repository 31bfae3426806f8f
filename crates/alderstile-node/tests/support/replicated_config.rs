//! Nodes that go by a replicated configuration: one alone in this process, and documents for it.

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

use super::{LineConnection, Setup, StubHost, node_config, start_ready_node};

pub const KEY: &str = "00112233445566778899aabbccddeeff";

pub fn folder(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("replicated-config-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    dir
}

/// The settings that all nodes of the tests have alike, as a document.
pub fn document(change: impl FnOnce(&mut Value)) -> Value {
    let mut settings = node_config("127.0.0.1:1", "127.0.0.1:1")["settings"].take();
    settings.as_object_mut().expect("an object").remove("my_zone");
    let mut document = json!({ "settings": settings });
    change(&mut document);
    document
}

/// A node that is the only voter, in this process.
pub async fn single_voter_node(
    net: u8,
    hosts: &[&StubHost],
) -> (Setup, LineConnection, Rc<ConfigReplica>, PathBuf) {
    let (setup, watch) = start_ready_node(hosts).await;
    let dir = folder(&format!("alone-{net}"));
    let text = format!(
        "name = \"edge\"\nlisten = \"127.0.{net}.1:19002\"\nkeys = [\"{KEY}\"]\n[control]\n\
         listen = \"127.0.{net}.1:19003\"\nvoters = [\"127.0.{net}.1:19003\"]\nstate_dir = \"{}\"\n\
         heartbeat_ms = 50\n",
        dir.display()
    );
    let cluster = ClusterConfig::parse("c.toml", &text).expect("fine");
    let control = cluster.replication.as_ref().expect("a table");
    let store = VoterStore::path(&dir, &setup.node.config().name);
    let (begun, _) = VoterStore::open(&store, control.settings.voters_digest()).expect("opened");
    begun.save(&PersistedState::genesis()).expect("saved");
    drop(begun);
    let member = Rc::new(ClusterMembership::new(&setup.node.config(), &cluster, None).expect("a member"));
    setup.node.admin.set_membership(member.clone());
    let control = Rc::new(ConfigReplica::new(control, &setup.node));
    setup.node.admin.set_replicated_config(control.clone());
    assert!(!setup.node.admin.is_ready(), "not before it knows which version counts");
    spawn_local(control.clone().run(member));
    (setup, watch, control, dir)
}

pub async fn propose_until_committed(control: &ConfigReplica, document: &Value) -> u64 {
    loop {
        let expect = control.status().committed_version;
        if let ProposalResult::Committed(version) =
            control.propose(expect, document.to_string().as_bytes()).await
        {
            return version;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

pub async fn wait_until_active(control: &ConfigReplica, version: u64) {
    while control.status().active_version < version {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A document with this limit of attempts.
pub fn with_attempts(most: u64) -> Value {
    document(|document| document["settings"]["allowed"]["max_attempts"] = most.into())
}
