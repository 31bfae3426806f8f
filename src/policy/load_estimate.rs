//! Load estimate: the load of each server, recorded from this node's own connections.
//!
//! Loads are in microseconds of CPU work per second. A connection counts with its last reported
//! load, or else with the typical load of its class. Until any load is known, each connection
//! counts as one.

use std::collections::BTreeMap;

use crate::types::{Micros, RequestId};

use super::Policy;
use super::connection::Connection;
use super::server::ServerIndex;

/// Maximum valid load, about the work of a thousand cores.
pub(super) const MAX_LOAD: f64 = 1e9;

/// Returns whether a value is a valid load. A NaN, negative or excessive value would corrupt every sum
/// that includes it.
pub(super) fn is_valid_load(load: &f64) -> bool {
    (0.0..=MAX_LOAD).contains(load)
}

/// Decrements a count and removes it at zero.
fn decrement<K: Ord>(counts: &mut BTreeMap<K, u32>, key: K) {
    let Some(count) = counts.get_mut(&key) else { return };
    *count -= 1;
    if *count == 0 {
        counts.remove(&key);
    }
}

impl Policy {
    /// Returns the recorded load of a server: the loads of this node's connections and this node's
    /// share of the work of each group there.
    pub(super) fn recorded_load(&self, index: ServerIndex) -> f64 {
        let load = &self.servers[index].load;
        let of_class = |(&class, &count): (&u16, &u32)| f64::from(count) * self.typical_class_load(class);
        let unreported: f64 = load.unreported.iter().map(of_class).sum();
        load.reported + unreported + self.group_load_share() * load.groups.len() as f64
    }

    /// Returns this node's share of the work that a group causes at a server. The share is smaller
    /// with more nodes, because more of them have connections of the group at the same server.
    pub(super) fn group_load_share(&self) -> f64 {
        let share = (2.0 / f64::from(self.settings.node_count)).min(1.0);
        self.typical_load() * self.settings.group_load * share
    }

    pub(super) fn connection_load(&self, connection: &Connection) -> f64 {
        connection.reported_load.unwrap_or_else(|| self.typical_class_load(connection.request.class))
    }

    /// Returns the available servers that have warmed up, both since their start and since they
    /// joined this node's subset.
    pub(super) fn warm_servers(&self, now: Micros) -> impl Iterator<Item = ServerIndex> {
        self.available_servers(now).filter(move |&index| self.local_warm_up_fraction(now, index) >= 1.0)
    }

    /// Returns the mean load of warm servers per unit of effective weight.
    pub(super) fn mean_load(&self, now: Micros) -> f64 {
        let (load, weight) = self.warm_servers(now).fold((0.0, 0.0), |(load, weight), index| {
            (load + self.recorded_load(index), weight + self.effective_weight(index))
        });
        if weight > 0.0 { load / weight } else { 0.0 }
    }

    /// Returns the mean number of this node's connections and groups on warm servers per unit of
    /// weight.
    pub(super) fn mean_connections(&self, now: Micros) -> f64 {
        let (connections, weight) =
            self.warm_servers(now).fold((0.0, 0.0), |(connections, weight), index| {
                let load = &self.servers[index].load;
                let here = (load.connections.len() + load.groups.len()) as f64;
                (connections + here, weight + self.weight(index))
            });
        if weight > 0.0 { connections / weight } else { 0.0 }
    }

    /// Adds an attempt or a connection to the load of its server.
    pub(super) fn add_to_load(&mut self, connection: &Connection) {
        let Some(index) = connection.state.server() else { return };
        let load = &mut self.servers[index].load;
        load.connections.insert(connection.request.id);
        self.setups.attempts_in_flight += u32::from(connection.state.is_attempting());
        match connection.reported_load {
            Some(reported) => {
                load.reported += reported;
                if let Some(class) = self.typical_loads.class_mut(connection.request.class) {
                    class.add_reported(reported);
                }
            }
            None => *load.unreported.entry(connection.request.class).or_default() += 1,
        }
        if let Some(group) = connection.request.group {
            *load.groups.entry(group).or_default() += 1;
        }
    }

    /// Removes an attempt or a connection from the load of its server.
    pub(super) fn remove_from_load(&mut self, connection: &Connection) {
        let Some(index) = connection.state.server() else { return };
        let load = &mut self.servers[index].load;
        load.connections.remove(&connection.request.id);
        self.setups.attempts_in_flight -= u32::from(connection.state.is_attempting());
        match connection.reported_load {
            Some(reported) => {
                load.reported = (load.reported - reported).max(0.0);
                if let Some(class) = self.typical_loads.class_mut(connection.request.class) {
                    class.remove_reported(reported);
                }
            }
            None => decrement(&mut load.unreported, connection.request.class),
        }
        if load.connections.is_empty() {
            // Removes a remainder due to rounding.
            load.reported = 0.0;
        }
        if let Some(group) = connection.request.group {
            decrement(&mut load.groups, group);
        }
    }

    /// Records a connection's reported load, in microseconds of CPU work per second.
    pub(super) fn on_load_report(&mut self, id: RequestId, load: f64) {
        if !is_valid_load(&load) {
            return;
        }
        let Some(mut connection) = self.connections.remove(&id) else { return };
        if connection.reported_load.is_none() {
            self.update_typical_load(&connection.request, Some(load));
        }
        self.remove_from_load(&connection);
        connection.reported_load = Some(load);
        self.add_to_load(&connection);
        self.connections.insert(id, connection);
    }
}
