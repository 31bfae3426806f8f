//! What the replicated configuration needs of the node that follows it.

use std::rc::Rc;

use crate::config::Config;

/// A node whose configuration is replicated: it is told what to put in force.
pub trait ConfiguredNode {
    /// The configuration in force.
    fn config(&self) -> Rc<Config>;

    /// Puts another configuration in force.
    fn apply_config(&self, config: Config);

    /// Counts a version that was applied, or rejected.
    fn count_reconfiguration(&self, applied: bool);

    /// Sends nothing new to a host.
    fn take_host_out_of_service(&self, host: &str);

    /// Sends new work to a host again, unless an operator took it out at this node.
    fn return_host_to_service(&self, host: &str);
}
