//! Plays failures to several processes of alderstile and checks what came of it; see `docs/lab.md`.
//!
//! A schedule ([`schedule`]) is played on real processes ([`processes`]) or on emulated ones ([`emulated`]). All that was sent, answered and told goes to one
//! history ([`history`]), which is the only thing that the checkers ([`check`]) read.
//!
//! What things cost at a size is measured by [`scale`] (hollow nodes, [`hollow`], beside real ones) and [`measure`] (one real node with
//! its clients and hosts); [`tables`], [`slopes`], [`fit`] and [`charts`] keep what came of it.

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
