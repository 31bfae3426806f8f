//! Helpers shared by the test files.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod members;
pub mod simulated_cluster;
pub mod subsets;
