//! Interface between the replicated configuration and the node that applies it.

use std::rc::Rc;

use crate::config::Config;

/// A node whose configuration is replicated.
pub trait ConfiguredNode {
    /// Returns the current configuration.
    fn config(&self) -> Rc<Config>;

    /// Replaces the current configuration.
    fn apply_config(&self, config: Config);

    /// Counts a version that was applied or rejected.
    fn count_reconfiguration(&self, applied: bool);

    /// Stops sending new work to a host.
    fn take_host_out_of_service(&self, host: &str);

    /// Resumes sending new work to a host, unless an operator took it out of service at this node.
    fn return_host_to_service(&self, host: &str);
}
