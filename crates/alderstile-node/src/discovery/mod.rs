//! The endpoint list: watching discovery for it, its form, the endpoints known from it, and the lease on it.

pub mod endpoint_list;
pub mod endpoint_table;
pub mod json_framer;
pub mod lease;
pub mod watch;
