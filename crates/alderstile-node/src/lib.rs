//! The alderstile node: accepts client connections, places each on a host, and relays lines between the two.
//!
//! All placement decisions are made by the `alderstile` library; this crate does the I/O. Everything runs on
//! one thread, and [`node`] holds the state that the tasks share. Each folder covers one concern.
//!
//! In this crate a *host* is a server that clients are connected to, *discovery* is the service that
//! publishes the list of hosts, and the *front* distributes clients over the nodes and checks the nodes'
//! health.

pub mod admin;
pub mod clock;
pub mod commands;
pub mod config;
pub mod control;
pub mod decisions;
pub mod discovery;
pub mod lifecycle;
pub mod node;
pub mod proxy;
pub mod state_file;
