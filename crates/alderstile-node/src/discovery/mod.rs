//! The endpoint list: watching discovery for it, its form, and the lease on it.

pub mod endpoint_list;
pub mod lease;
pub mod watch;
