//! Configuration files of the nodes: the cluster file and the settings.

use serde_json::{Value, json};

use super::MEMBERS;
use super::addresses::{LoopbackAddresses, Role};
use crate::schedule::{Feature, Idempotency, Members, Plan, Subsetting};

/// Returns the cluster file of a member; it advertises the address of its proxy.
pub(super) fn cluster(
    members: &Members,
    subsetting: &Subsetting,
    addresses: &LoopbackAddresses,
    number: usize,
    nodes: usize,
) -> String {
    let (listen, advertise) =
        (addresses.at(Role::Node, number, MEMBERS), addresses.at(Role::Back, number, MEMBERS));
    let seeds: Vec<String> =
        (0..nodes.min(3)).map(|node| format!("\"{}\"", addresses.at(Role::Back, node, MEMBERS))).collect();
    let subsets = match subsetting.enabled.contains(&Feature::Subsets) {
        true => format!(
            "[subsets]\nsize = {}\nusers = {}\nzones_first = {}\nhold_s = {:?}\n",
            subsetting.hosts_per_node,
            subsetting.nodes_per_host,
            subsetting.prefer_own_zone,
            subsetting.added_host_retention_s
        ),
        false => String::new(),
    };
    format!(
        "name = \"lab\"\nlisten = \"{listen}\"\nadvertise = \"{advertise}\"\nseeds = [{}]\n\
         keys = [\"{}\"]\nperiod_ms = {}\nsuspicion = {:?}\n{subsets}",
        seeds.join(", "),
        "1ab".repeat(12) + "00",
        members.period_ms,
        members.suspicion,
    )
}

/// Returns the settings that all nodes share, as in the configuration file of a node.
pub(crate) fn settings(plan: &Plan) -> Value {
    let classes: Vec<Value> = plan
        .clients
        .iter()
        .map(|clients| {
            let idempotency = match clients.idempotency {
                Idempotency::Idempotent => "retryable",
                Idempotency::NotIdempotent => "fragile",
            };
            json!({"name": clients.class, "aim": 300_000, "give_up": clients.wait_ms * 1_000,
                   "worth": 1.0, "semantics": idempotency, "window": 5_000_000})
        })
        .collect();
    json!({
        "balancers": plan.nodes, "my_zone": 0, "zones": plan.zones, "weights": "silent",
        "discovery": "subscribe", "classes": classes, "extra": {"groups": false, "message_aim": [100_000]},
        "allowed": {"connect_timeout": 250_000, "max_attempts": 3, "retry_after": true,
                    "max_retry_after": 1_000_000, "probes": false, "may_tell": false},
        "obligations": {"must_ask_in": 10_000_000, "cold": 8_000_000, "cold_from": 0.4, "fall_multiple": 4.0,
                        "overload_for": 1_500_000},
    })
}
