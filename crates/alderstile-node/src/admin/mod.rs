//! Administration: the admin HTTP server and its client, metrics, and host maintenance.

pub mod client;
pub mod maintenance_store;
pub mod metrics;
pub mod server;
pub mod service;
