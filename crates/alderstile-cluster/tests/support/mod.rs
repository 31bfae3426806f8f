//! Helpers that the test files share.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod members;
pub mod simulated_cluster;
pub mod subsets;
