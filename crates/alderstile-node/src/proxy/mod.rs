//! The proxy: accepts client connections, reads their first line, connects them to a host and relays lines.

pub mod clients;
pub mod count_guard;
pub mod line_buffer;
pub mod line_stream;
pub mod listener;
pub mod memory_budget;
pub mod migration;
pub mod pending_clients;
pub mod protocol;
pub mod relay;
pub mod request_ids;
pub mod session;
pub mod termination_reason;
