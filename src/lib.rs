//! alderstile decides where long-lived connections go and when they move.
//!
//! The library does no input or output of its own: [`policy::Policy`] is handed one event at a time
//! with the time at which it happened, and answers with actions. [`types`] holds the words that
//! both sides use, [`maintenance`] overlays the servers in maintenance, [`load_signal`] tells loads from delays, [`settings`] reads what a node is told at its start,
//! [`balancer`] turns events and actions into plain calls for a program that serves connections, and [`shadow`] lets a
//! second instance watch it.

pub mod balancer;
pub mod load_signal;
pub mod maintenance;
pub mod policy;
pub mod settings;
pub mod shadow;
pub mod types;
