//! The endpoint list: its format, the watch that receives it from discovery, the table of known endpoints,
//! and the lease.

pub mod endpoint_list;
pub mod endpoint_table;
pub mod json_framer;
pub mod lease;
pub mod list_update;
pub mod watch;
