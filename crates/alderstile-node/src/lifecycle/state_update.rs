//! Changes of the values that both processes of a node share during an upgrade, as they report them to each
//! other. No I/O.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::clock::MachineTime;
use crate::discovery::list_update::ListUpdate;

/// A change of a shared value.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StateUpdate {
    /// A configuration file was applied at a reload.
    Config(ConfigUpdate),
    /// The cluster file was read again at this time, and its keys are in use. Only the time is sent: the other
    /// process reads the same file.
    ClusterKeys(MachineTime),
    /// The endpoint list or its lease has changed.
    List(ListUpdate),
    /// The sender lacks changes of the list, and needs the complete one.
    ListRequest,
}

/// A configuration file that the sender has applied at a reload.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// When the sender read the file.
    pub read_at: MachineTime,
    /// The file, without the cached endpoint list.
    pub file: Value,
}
