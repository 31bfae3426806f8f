//! Process lifecycle: shutdown, configuration reload, and upgrade to another process of the same node.

pub mod connection_handover;
pub mod list_sync;
pub mod process;
pub mod reload;
pub mod shutdown;
pub mod state_sync;
pub mod state_update;
pub mod upgrade;
pub mod upgrade_channel;
pub mod upgrade_message;
pub mod upgrade_state;
