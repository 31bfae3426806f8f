//! Actions of a node when a version is committed and when it becomes active.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::{Rc, Weak};

use alderstile::types::Micros;
use serde_json::Value;
use tracing::{error, info, warn};

use super::document::{ConfigDocument, DocumentError};
use crate::config::Config;
use crate::control::configured_node::ConfiguredNode;

/// Applies versions of the replicated configuration to a node, and tracks what has been applied.
pub(super) struct AppliedConfig {
    node: Weak<dyn ConfiguredNode>,
    /// The applied version; 0 while the node uses its own file.
    version: Cell<u64>,
    document: RefCell<ConfigDocument>,
    /// Versions that are committed but not active yet.
    pending: RefCell<BTreeMap<u64, ConfigDocument>>,
    /// Hosts taken out of service by the active version or by one that is not active yet.
    hosts_out: RefCell<BTreeSet<String>>,
    /// Why the active version was not applied.
    rejection: RefCell<Option<DocumentError>>,
}

impl AppliedConfig {
    pub fn new(node: Weak<dyn ConfiguredNode>) -> Self {
        AppliedConfig {
            node,
            version: Cell::new(0),
            document: RefCell::default(),
            pending: RefCell::default(),
            hosts_out: RefCell::default(),
            rejection: RefCell::default(),
        }
    }

    /// Returns the version that the node has applied, or 0 if none.
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Returns why the active version was not applied.
    pub fn rejection(&self) -> Option<String> {
        self.rejection.borrow().as_ref().map(DocumentError::to_string)
    }

    /// Returns the node if the version is newer than the applied one.
    fn node_if_newer(&self, version: u64) -> Option<Rc<dyn ConfiguredNode>> {
        self.node.upgrade().filter(|_| version > self.version.get())
    }

    /// Prepares for a version that is committed but not active yet, and that other nodes may activate
    /// earlier. Until activation the hosts of both versions are out of service, and the lower of the two
    /// attempt limits applies.
    pub fn prepare(&self, version: u64, document: &[u8], activates_in: Micros) {
        let Some(node) = self.node_if_newer(version) else { return };
        let Ok(document) = ConfigDocument::parse(document) else { return };
        info!(version, activates_in_ms = activates_in.0 / 1_000, "configuration version committed");
        self.take_hosts_out_of_service(&*node, &document.hosts_out);
        if let Ok(Some(config)) = document.interim_config(&node.config()) {
            node.apply_config(config);
        }
        self.pending.borrow_mut().insert(version, document);
    }

    /// Applies a version that has become active. A version that fails the checks of a file read at SIGHUP is
    /// rejected completely.
    pub fn activate(&self, version: u64, document: &[u8]) {
        let Some(node) = self.node_if_newer(version) else { return };
        let parsed = ConfigDocument::parse(document).and_then(|document| {
            let config = document.config_for(&node.config())?;
            Ok((document, config))
        });
        match parsed {
            Ok((document, config)) => self.apply(&*node, version, document, config),
            Err(reason) => {
                error!(version, %reason, "configuration version rejected; the previous version remains in use");
                node.count_reconfiguration(false);
                self.rejection.replace(Some(reason));
            }
        }
    }

    fn apply(&self, node: &dyn ConfiguredNode, version: u64, document: ConfigDocument, config: Config) {
        info!(version, "configuration version activated");
        node.apply_config(config);
        node.count_reconfiguration(true);
        self.take_hosts_out_of_service(node, &document.hosts_out);
        self.return_hosts_to_service(node, &document.hosts_out);
        self.rejection.replace(None);
        self.version.set(version);
        self.pending.borrow_mut().retain(|pending, _| *pending > version);
        self.document.replace(document);
    }

    fn take_hosts_out_of_service(&self, node: &dyn ConfiguredNode, hosts: &BTreeSet<String>) {
        for host in hosts {
            if self.hosts_out.borrow_mut().insert(host.clone()) {
                info!(host = %host, "host taken out of service by the replicated configuration");
                node.take_host_out_of_service(host);
            }
        }
    }

    /// Resumes the service of the hosts that are not in `still_out`. The node keeps a host out of service if
    /// an operator took it out at this node.
    fn return_hosts_to_service(&self, node: &dyn ConfiguredNode, still_out: &BTreeSet<String>) {
        let returned: Vec<String> = self.hosts_out.borrow().difference(still_out).cloned().collect();
        for host in returned {
            self.hosts_out.borrow_mut().remove(&host);
            info!(host = %host, "host no longer out of service in the replicated configuration");
            node.return_host_to_service(&host);
        }
    }

    /// Returns the file read at SIGHUP, with the replicated settings in place of its own if a version is
    /// applied. The attempt limit of a version that is not active yet applies if it is lower.
    pub fn overlay_file(&self, file: Value) -> Value {
        let overlaid = self.overlay_applied(file);
        let lower_limit =
            |file: Value, document: &ConfigDocument| document.interim_file(&file).unwrap_or(file);
        self.pending.borrow().values().fold(overlaid, lower_limit)
    }

    fn overlay_applied(&self, file: Value) -> Value {
        let version = self.version.get();
        if version == 0 {
            return file;
        }
        let overlaid = self.document.borrow().overlay(&file);
        if overlaid != file {
            warn!(
                version,
                "file settings ignored: they differ from the replicated settings, which remain in use; \
                 change those with `alderstile settings propose`"
            );
        }
        overlaid
    }
}
