//! What a node does when a version is committed, and when it becomes active.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::{Rc, Weak};

use alderstile::types::Micros;
use serde_json::Value;
use tracing::{error, info, warn};

use super::document::{ConfigDocument, DocumentError};
use crate::config::Config;
use crate::control::configured_node::ConfiguredNode;

/// What the node has applied of the replicated configuration.
pub(super) struct AppliedConfig {
    node: Weak<dyn ConfiguredNode>,
    /// 0 while the node follows its own file.
    version: Cell<u64>,
    document: RefCell<ConfigDocument>,
    /// Hosts taken out, for the active version or one that waits.
    hosts_out: RefCell<BTreeSet<String>>,
    /// Why the node doesn't follow the active version.
    rejection: RefCell<Option<DocumentError>>,
}

impl AppliedConfig {
    pub fn new(node: Weak<dyn ConfiguredNode>) -> Self {
        AppliedConfig {
            node,
            version: Cell::new(0),
            document: RefCell::default(),
            hosts_out: RefCell::default(),
            rejection: RefCell::default(),
        }
    }

    /// The version that the node follows; 0 if none.
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Why the node doesn't follow the active version.
    pub fn rejection(&self) -> Option<String> {
        self.rejection.borrow().as_ref().map(DocumentError::to_string)
    }

    /// The node, unless the version is not newer than what it follows.
    fn node_for(&self, version: u64) -> Option<Rc<dyn ConfiguredNode>> {
        self.node.upgrade().filter(|_| version > self.version.get())
    }

    /// A version was committed and is not active yet: until then the stricter of both applies, whichever version another node follows.
    pub fn prepare(&self, version: u64, document: &[u8], activates_in: Micros) {
        let Some(node) = self.node_for(version) else { return };
        let Ok(document) = ConfigDocument::parse(document) else { return };
        info!(version, activates_in_ms = activates_in.0 / 1_000, "configuration version committed");
        self.take_hosts_out(&*node, &document.hosts_out);
        if let Ok(Some(config)) = document.interim_config(&node.config()) {
            node.apply_config(config);
        }
    }

    /// A version has become active: it is applied or rejected as a whole, by the same checks as a file at SIGHUP.
    pub fn activate(&self, version: u64, document: &[u8]) {
        let Some(node) = self.node_for(version) else { return };
        let parsed = ConfigDocument::parse(document).and_then(|document| {
            let config = document.config_for(&node.config())?;
            Ok((document, config))
        });
        match parsed {
            Ok((document, config)) => self.apply(&*node, version, document, config),
            Err(reason) => {
                error!(version, %reason, "configuration version rejected; the one before stays in force");
                node.count_reconfiguration(false);
                self.rejection.replace(Some(reason));
            }
        }
    }

    fn apply(&self, node: &dyn ConfiguredNode, version: u64, document: ConfigDocument, config: Config) {
        info!(version, "configuration version active");
        node.apply_config(config);
        node.count_reconfiguration(true);
        self.take_hosts_out(node, &document.hosts_out);
        self.put_hosts_back(node, &document.hosts_out);
        self.rejection.replace(None);
        self.version.set(version);
        self.document.replace(document);
    }

    fn take_hosts_out(&self, node: &dyn ConfiguredNode, hosts: &BTreeSet<String>) {
        for host in hosts {
            if self.hosts_out.borrow_mut().insert(host.clone()) {
                info!(host = %host, "host taken out by the replicated configuration");
                node.take_host_out_of_service(host);
            }
        }
    }

    /// Puts back the hosts that are not among `still_out`, but for those that an operator took out at this node.
    fn put_hosts_back(&self, node: &dyn ConfiguredNode, still_out: &BTreeSet<String>) {
        let back: Vec<String> = self.hosts_out.borrow().difference(still_out).cloned().collect();
        for host in back {
            self.hosts_out.borrow_mut().remove(&host);
            info!(host = %host, "host put back by the replicated configuration");
            node.return_host_to_service(&host);
        }
    }

    /// A file at SIGHUP with the replicated settings in place of its own, once a version is followed.
    pub fn overlay_file(&self, file: Value) -> Value {
        let version = self.version.get();
        if version == 0 {
            return file;
        }
        let overlaid = self.document.borrow().overlay(&file);
        if overlaid != file {
            warn!(
                version,
                "settings of the file differ from the replicated ones, which stay in force; \
                 `alderstile settings propose` changes them at all nodes"
            );
        }
        overlaid
    }
}
