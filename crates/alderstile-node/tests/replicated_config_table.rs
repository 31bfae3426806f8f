//! Parsing of the table `[control]` of a cluster file.

use alderstile_node::config::ClusterConfig;

mod support;
use support::replicated_config::CLUSTER_KEY;

#[test]
fn an_invalid_table_is_rejected_and_the_error_names_the_key() {
    let valid = format!(
        "name = \"edge\"\nlisten = \"127.0.0.1:7946\"\nkeys = [\"{CLUSTER_KEY}\"]\n[control]\n\
         listen = \"127.0.0.1:7950\"\nvoters = [\"127.0.0.2:7950\", \"127.0.0.3:7950\"]\n"
    );
    let config = ClusterConfig::parse("c.toml", &valid)
        .expect("valid cluster file")
        .replication
        .expect("table [control]");
    assert_eq!((config.settings.local_voter, config.settings.lease.0), (None, 2_500_000));
    for (from, to, key) in [
        ("127.0.0.1:7950", "127.0.0.1:0", "control.listen"),
        ("127.0.0.1:7950", "127.0.0.2:7950", "control.state_dir"),
        ("voters = [\"127.0.0.2:7950\", \"127.0.0.3:7950\"]", "voters = []", "control.voters"),
        ("127.0.0.3:7950", "127.0.0.2:7950", "control.voters[1]"),
        ("127.0.0.3:7950", "0.0.0.0:7950", "control.voters[1]"),
        ("voters", "heartbeat_ms = 1\nvoters", "control.heartbeat_ms"),
        ("voters", "lease_s = 2.4\nvoters", "control.lease_s"),
        ("voters", "lease_s = nan\nvoters", "control.lease_s"),
        ("voters", "drift = 0.2\nvoters", "control.drift"),
        ("voters", "fanout = 1\nvoters", "control.fanout"),
        ("voters", "cut_off = \"stop\"\nvoters", "unknown variant `stop`"),
        ("voters", "what = 1\nvoters", "unknown field `what`"),
    ] {
        let error = ClusterConfig::parse("c.toml", &valid.replacen(from, to, 1)).err().map(|e| e.to_string());
        assert!(error.as_ref().is_some_and(|error| error.contains(key)), "{to}: {error:?}");
    }
}
