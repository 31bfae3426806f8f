//! Control plane between nodes: cluster membership, gossip, host assignment and the replicated configuration.

pub mod configured_node;
pub mod host_assignment;
pub mod membership;
pub mod peer_gossip;
pub mod replicated_config;
