//! Load balancing decisions for long-lived connections: where a connection is placed and when it is
//! migrated.
//!
//! The library performs no input or output. [`policy::Policy`] receives one event at a time, with
//! the time at which it occurred, and returns actions. [`types`] defines the events, actions and
//! settings, [`settings`] parses a node's settings, and [`balancer`] offers the policy as plain
//! method calls to a program that serves connections. [`maintenance`] marks servers in maintenance
//! in each endpoint list, [`load_signal`] distinguishes loads from delays in load reports, and
//! [`shadow`] compares a second policy instance with the active one.

pub mod balancer;
pub mod load_signal;
pub mod maintenance;
pub mod policy;
pub mod settings;
pub mod shadow;
pub mod types;
