//! Load estimate: the load on each server as this node knows it.

use std::collections::BTreeMap;

use crate::types::{Micros, Request, RequestId};

use super::Policy;
use super::connection::Connection;

/// Loads above this are no loads: about a thousand cores' work.
pub(super) const MAX_LOAD: f64 = 1e9;

/// A load that is no number, negative or absurd would poison every sum that it enters.
pub(super) fn is_load(load: &f64) -> bool {
    (0.0..=MAX_LOAD).contains(load)
}

/// Takes one off a count; what is counted down to nothing is no longer held.
pub(super) fn decrement<K: Ord>(counts: &mut BTreeMap<K, u32>, key: K) {
    let Some(count) = counts.get_mut(&key) else { return };
    *count -= 1;
    if *count == 0 {
        counts.remove(&key);
    }
}

impl Policy {
    /// The load that this node has on a server: told loads, the usual load of its class where none was told,
    /// and the shared work of each group held, which is taken to be a usual connection's.
    pub(super) fn recorded_load(&self, index: usize) -> f64 {
        let server = &self.servers[index];
        let untold = |(&class, &n): (&u16, &u32)| f64::from(n) * self.typical_class_load(class);
        let untold: f64 = server.load.unreported.iter().map(untold).sum();
        server.load.reported + untold + self.group_load_share() * server.load.groups.len() as f64
    }

    /// What a group's shared work on a server is to one node: all of it to one alone, and less the more
    /// nodes hold the group there too.
    pub(super) fn group_load_share(&self) -> f64 {
        self.typical_load() * self.settings.group_load * (2.0 / f64::from(self.settings.node_count)).min(1.0)
    }

    /// The usual load of a connection; before any was told, each counts as one.
    pub(super) fn typical_load(&self) -> f64 {
        let (sum, n) = self.held_load.iter().fold((0.0, 0), |(sum, n), held| (sum + held.0, n + held.1));
        if n > 0 { sum / f64::from(n) } else { self.usual_load.0.unwrap_or(1.0) }
    }

    /// The usual load of a class.
    fn typical_class_load(&self, class: u16) -> f64 {
        let held = self.held_load.get(usize::from(class)).filter(|held| held.1 > 0);
        let usual = self.class_load.get(usize::from(class)).and_then(|mean| mean.0);
        held.map_or_else(|| usual.unwrap_or(self.typical_load()), |held| held.0 / f64::from(held.1))
    }

    pub(super) fn connection_load(&self, connection: &Connection) -> f64 {
        connection.reported_load.unwrap_or_else(|| self.typical_class_load(connection.request.class))
    }

    /// The ready servers that are warm.
    pub(super) fn warm_servers(&self, now: Micros) -> Vec<usize> {
        let warm =
            |&index: &usize| self.is_available(now, index) && self.warm_up_fraction_here(now, index) >= 1.0;
        (0..self.servers.len()).filter(warm).collect()
    }

    /// The mean load for each unit of power over ready servers that are warm.
    pub(super) fn mean_load(&self, now: Micros) -> f64 {
        let (load, power) = (self.warm_servers(now).into_iter()).fold((0.0, 0.0), |(load, power), index| {
            (load + self.recorded_load(index), power + self.effective_weight(index))
        });
        if power > 0.0 { load / power } else { 0.0 }
    }

    /// The connections, and groups, that this node holds on warm servers for each unit of size.
    pub(super) fn mean_connections(&self, now: Micros) -> f64 {
        let held = |index: usize| {
            (self.servers[index].load.connections.len() + self.servers[index].load.groups.len()) as f64
        };
        let (held, size) = (self.warm_servers(now).into_iter())
            .fold((0.0, 0.0), |(sum, size), index| (sum + held(index), size + self.weight(index)));
        if size > 0.0 { held / size } else { 0.0 }
    }

    /// Takes a connection, or one that is to become one, into the sums of its server.
    pub(super) fn add_to_load(&mut self, connection: &Connection) {
        let Some(index) = connection.state.server() else { return };
        let server = &mut self.servers[index];
        server.load.connections.insert(connection.request.id);
        self.setups.attempts_in_flight += u32::from(connection.state.is_attempting());
        match connection.reported_load {
            Some(load) => {
                server.load.reported += load;
                if let Some(held) = self.held_load.get_mut(usize::from(connection.request.class)) {
                    *held = (held.0 + load, held.1 + 1);
                }
            }
            None => *server.load.unreported.entry(connection.request.class).or_default() += 1,
        }
        if let Some(group) = connection.request.group {
            *server.load.groups.entry(group).or_insert(0) += 1;
        }
    }

    /// Takes it out again. An empty server's sum is nothing, whatever rounding has left of it.
    pub(super) fn remove_from_load(&mut self, connection: &Connection) {
        let Some(index) = connection.state.server() else { return };
        let server = &mut self.servers[index];
        server.load.connections.remove(&connection.request.id);
        self.setups.attempts_in_flight -= u32::from(connection.state.is_attempting());
        match connection.reported_load {
            Some(load) => {
                server.load.reported = (server.load.reported - load).max(0.0);
                if let Some(held) = self.held_load.get_mut(usize::from(connection.request.class)) {
                    *held = ((held.0 - load).max(0.0), held.1 - 1);
                }
            }
            None => decrement(&mut server.load.unreported, connection.request.class),
        }
        if server.load.connections.is_empty() {
            server.load.reported = 0.0;
        }
        if let Some(group) = connection.request.group {
            decrement(&mut server.load.groups, group);
        }
    }

    /// Takes a connection's first load, told or hinted, into the usual ones.
    pub(super) fn learn_typical_load(&mut self, request: &Request, load: Option<f64>) {
        let Some(load) = load.filter(is_load) else { return };
        self.usual_load.add(load);
        if let Some(mean) = self.class_load.get_mut(request.class as usize) {
            mean.add(load);
        }
    }

    pub(super) fn on_load_report(&mut self, id: RequestId, load: f64) {
        let connection = is_load(&load).then(|| self.connections.remove(&id));
        let Some(mut connection) = connection.flatten() else { return };
        if connection.reported_load.is_none() {
            self.learn_typical_load(&connection.request, Some(load));
        }
        self.remove_from_load(&connection);
        connection.reported_load = Some(load);
        self.add_to_load(&connection);
        self.connections.insert(id, connection);
    }
}
