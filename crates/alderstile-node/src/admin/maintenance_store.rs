//! The maintenance file: hosts that operators took out of service or returned, stored for the node's next
//! process.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

use alderstile::balancer::Balancer;
use alderstile::types::{Micros, ServerId};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tracing::{info, warn};

use crate::state_file;

/// The version of the file's format; files with another version are rejected.
const FORMAT_VERSION: u32 = 1;
/// How long the return of a host is remembered, far longer than any warm-up; its entry is removed afterwards.
const RETURN_RETENTION: Micros = Micros::from_millis(3_600_000);

/// The maintenance state that an operator set for a host. The file and the upgrade channel use the serialized
/// names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MaintenanceState {
    /// The host receives no new requests.
    #[serde(rename = "out")]
    OutOfService,
    /// The host was returned to service at this time, in microseconds of the node's clock, and warms up from
    /// then on.
    #[serde(rename = "back")]
    ReturnedAt(u64),
}

impl MaintenanceState {
    /// Applies the state to the balancer.
    pub fn apply(self, balancer: &mut Balancer, now: Micros, host: ServerId) {
        match self {
            MaintenanceState::OutOfService => balancer.begin_maintenance(now, host),
            MaintenanceState::ReturnedAt(since) => {
                balancer.begin_maintenance(now, host);
                balancer.end_maintenance(now, host, Micros(since));
            }
        }
    }

    /// Returns whether the host returned so long ago that its entry can be removed.
    fn is_obsolete(self, now: Micros) -> bool {
        matches!(self, MaintenanceState::ReturnedAt(since) if Micros(since) + RETURN_RETENTION < now)
    }
}

/// Why the file of an earlier process is rejected.
#[derive(Debug, Error)]
enum LoadError {
    #[error("invalid JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error("unsupported format version: expected {FORMAT_VERSION}, found {0}")]
    FormatVersion(u32),
}

/// The maintenance states that operators have set, by host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MaintenanceStore {
    #[serde(rename = "version")]
    format_version: u32,
    hosts: BTreeMap<String, MaintenanceState>,
}

impl MaintenanceStore {
    /// Iterates over the hosts by name, each with its state.
    pub fn hosts(&self) -> impl Iterator<Item = (&str, MaintenanceState)> {
        self.hosts.iter().map(|(host, state)| (host.as_str(), *state))
    }

    /// Sets a host's state and removes entries of hosts that returned long ago.
    pub fn set(&mut self, host: &str, state: MaintenanceState, now: Micros) {
        self.hosts.retain(|_, state| !state.is_obsolete(now));
        self.hosts.insert(host.to_owned(), state);
    }

    /// Loads the file that an earlier process of the node left; returns an empty store if there is none.
    ///
    /// A damaged file is logged and renamed, and all hosts are in service: without its content, keeping a host
    /// out of service would be as wrong as using it.
    pub fn load(dir: &Path, node_name: &str) -> Self {
        let path = file_path(dir, node_name);
        let bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return MaintenanceStore::default(),
            Err(error) => {
                warn!(path = %path.display(), %error, "maintenance file not read, all hosts in service");
                return MaintenanceStore::default();
            }
        };
        match MaintenanceStore::decode(&bytes) {
            Ok(store) => {
                let in_maintenance =
                    store.hosts.values().filter(|state| **state == MaintenanceState::OutOfService);
                info!(hosts_out = in_maintenance.count(), "maintenance file loaded");
                store
            }
            Err(error) => {
                warn!(path = %path.display(), %error, "maintenance file damaged, all hosts in service");
                rename_damaged(&path);
                MaintenanceStore::default()
            }
        }
    }

    fn decode(bytes: &[u8]) -> Result<Self, LoadError> {
        let store: MaintenanceStore = serde_json::from_slice(bytes)?;
        match store.format_version {
            FORMAT_VERSION => Ok(store),
            other => Err(LoadError::FormatVersion(other)),
        }
    }

    /// Writes the file for the next process. It is written under a temporary name and then renamed, so that
    /// no reader sees an incomplete file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn save(&self, dir: &Path, node_name: &str) -> io::Result<()> {
        let path = file_path(dir, node_name);
        let complete = MaintenanceStore { format_version: FORMAT_VERSION, ..self.clone() };
        // During an upgrade two processes of the node may write at the same time.
        let temporary = path.with_extension(format!("new-{}", std::process::id()));
        std::fs::write(&temporary, serde_json::to_vec(&complete)?)?;
        std::fs::rename(&temporary, &path)
    }
}

fn rename_damaged(path: &Path) {
    let renamed = path.with_extension("damaged");
    if let Err(error) = std::fs::rename(path, &renamed) {
        warn!(path = %renamed.display(), %error, "damaged maintenance file not renamed");
    }
}

fn file_path(dir: &Path, node_name: &str) -> PathBuf {
    state_file::path(dir, node_name, "hosts.json")
}
