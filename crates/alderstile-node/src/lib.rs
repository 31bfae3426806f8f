//! The balancer on sockets: takes clients in, places them by the alderstile decisions, and relays their lines.
//!
//! One file for each job. [`node`] is what all tasks share, everything runs on one thread, and nothing here
//! decides where a client goes: that is the library's.

pub mod admin;
pub mod agreed;
pub mod agreed_client;
pub mod agreed_document;
pub mod agreed_store;
pub mod backlog;
pub mod buffer;
pub mod choices;
pub mod client;
pub mod clients;
pub mod clock;
pub mod cluster;
pub mod config;
pub mod counters;
pub mod decisions;
pub mod discovery;
pub mod handover;
pub mod handshake;
pub mod kept;
pub mod lease;
pub mod link;
pub mod list;
pub mod listener;
pub mod node;
pub mod operators;
pub mod peers;
pub mod process;
pub mod protocol;
pub mod reason;
pub mod relay;
pub mod reload;
pub mod session;
pub mod shutdown;
pub mod side;
pub mod upgrade;
