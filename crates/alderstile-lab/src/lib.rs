//! A fault-injection test bench for clusters of alderstile nodes; see `docs/lab.md`.
//!
//! A schedule of faults ([`schedule`]) runs on real processes ([`processes`]) or on emulated nodes in
//! simulated time ([`emulated`]). Requests, answers and the observed state are recorded in one history
//! ([`history`]), which is the only input of the checkers ([`check`]).
//!
//! Costs are measured by [`scale`] (clusters of several sizes, with hollow nodes from [`hollow`] and real
//! ones) and by [`measure`] (one real node with stub clients and hosts). [`tables`] stores the results;
//! [`slopes`], [`fit`] and [`charts`] evaluate them. [`compare`] compares load-balancing strategies on
//! emulated schedules.

pub mod charts;
pub mod check;
pub mod compare;
pub mod emulated;
pub mod fit;
pub mod history;
pub mod hollow;
pub mod links;
pub mod measure;
pub mod processes;
pub mod real;
pub mod scale;
pub mod schedule;
pub mod slopes;
pub mod tables;
