//! Administration: the operators' HTTP server and its client, metrics, and hosts taken out for maintenance.

pub mod client;
pub mod maintenance_store;
pub mod metrics;
pub mod server;
pub mod service;
