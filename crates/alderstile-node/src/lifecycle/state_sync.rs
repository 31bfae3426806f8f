//! Keeps the values that both processes of a node act on equal during an upgrade.
//!
//! Each process records what the other one has of each value, and sends the present value when it differs. A
//! value that changes several times before it is sent is therefore sent once, and nothing is queued. The
//! receiver applies a value only if it is newer than its own, so that both end with the same one.

use std::cell::{Cell, RefCell};

use alderstile::types::Micros;

use super::list_sync::{ListSync, UpdateTooLong};
use super::reload;
use super::state_update::{ConfigUpdate, StateUpdate};
use crate::clock::MachineTime;
use crate::node::Node;

/// What the other process has of the shared values.
pub struct StateSync {
    /// When the configuration was read that the other process has.
    config_read_at: Cell<MachineTime>,
    /// When the cluster file was read whose keys the other process has.
    keys_read_at: Cell<MachineTime>,
    list: RefCell<ListSync>,
}

impl StateSync {
    /// Creates the record of a process that has this one's present values.
    /// `catch_up_time` is how long this process waits for its own watch to bring what it lacks of the other
    /// one's endpoint list, usually [`CATCH_UP_TIME`](super::list_sync::CATCH_UP_TIME).
    pub fn new(node: &Node, catch_up_time: Micros) -> Self {
        StateSync {
            config_read_at: Cell::new(node.reload_times.config.get()),
            keys_read_at: Cell::new(node.reload_times.cluster_keys.get()),
            list: RefCell::new(ListSync::new(&node.decisions, catch_up_time)),
        }
    }

    /// Returns a change that the other process does not have yet, which counts as sent from then on; `None` if
    /// it has all.
    pub fn next_update(&self, node: &Node) -> Option<StateUpdate> {
        let mut list = self.list.borrow_mut();
        if list.is_sending() {
            return list.next_update(&node.decisions).map(StateUpdate::List);
        }
        let config_read_at = node.reload_times.config.get();
        if config_read_at > self.config_read_at.replace(config_read_at) {
            list.on_reload(&node.decisions);
            let file = node.config().source.clone();
            return Some(StateUpdate::Config(ConfigUpdate { read_at: config_read_at, file }));
        }
        let keys_read_at = node.reload_times.cluster_keys.get();
        if keys_read_at > self.keys_read_at.replace(keys_read_at) {
            return Some(StateUpdate::ClusterKeys(keys_read_at));
        }
        if list.take_request(&node.decisions) {
            return Some(StateUpdate::ListRequest);
        }
        list.next_update(&node.decisions).map(StateUpdate::List)
    }

    /// Applies a change that the other process reports.
    ///
    /// # Errors
    ///
    /// Fails if an endpoint list is longer than any real one.
    pub fn on_update(&self, node: &Node, update: StateUpdate) -> Result<(), UpdateTooLong> {
        match update {
            StateUpdate::Config(update) => {
                self.config_read_at.set(self.config_read_at.get().max(update.read_at));
                reload::apply_update(node, update);
                self.list.borrow_mut().on_reload(&node.decisions);
            }
            StateUpdate::ClusterKeys(read_at) => {
                self.keys_read_at.set(self.keys_read_at.get().max(read_at));
                node.reload_times.request_keys(read_at);
            }
            StateUpdate::List(update) => self.list.borrow_mut().on_update(&node.decisions, update)?,
            StateUpdate::ListRequest => self.list.borrow_mut().on_request(),
        }
        Ok(())
    }
}
