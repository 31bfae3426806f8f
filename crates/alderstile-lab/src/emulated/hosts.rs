//! An emulated host: cores, a work queue, a connection limit, a cold start and failure from overload. No I/O,
//! no clock.
//!
//! The host is a fluid model. All work joins one queue in order of arrival, and the cores process it: a
//! connection setup adds its work at once, an open connection adds work continuously. The backlog delays
//! every setup and every message alike (the workload process of a single-server queue: Kleinrock, *Queueing
//! Systems* I, 1975). A process that has just started has only a fraction of its full capacity, which grows
//! linearly (warm-up of virtual machines: Barrett et al., OOPSLA 2017). A host that is overloaded while cold
//! fails, as retries and new connections would keep it overloaded (Bronson et al., "Metastable failures",
//! HotOS 2021). The model leaves out garbage collection, memory other than the connection limit, other load
//! on the same machine, and cores that are idle while others are busy.

use std::collections::{BTreeMap, VecDeque};

use crate::schedule::Hosts;

/// Interval between samples of a host's load, microseconds: the resolution of the overload check.
pub const SAMPLE_INTERVAL: u64 = 250_000;

/// Identifies a connection at a host: the client and the serial number of its request.
pub type ConnectionKey = (usize, u32);

/// An emulated host.
#[derive(Clone, Debug)]
pub struct Host {
    /// Capacity relative to other hosts.
    pub weight: f64,
    /// Whether the process is running.
    pub up: bool,
    /// Number of times that a process has ended.
    pub incarnation: u64,
    /// When the process started, microseconds; `None` if it started long before the run.
    pub started: Option<u64>,
    /// Delay that a fault adds to everything the host does, microseconds.
    pub added_delay: u64,
    /// Whether the host answers nothing.
    pub silent: bool,
    /// Whether the host rejects new connections.
    pub refusing: bool,
    /// Whether discovery lists the host as draining.
    pub draining: bool,
    /// Open connections: the node of each and its load, in microseconds of work per second.
    pub connections: BTreeMap<ConnectionKey, (usize, f64)>,
    /// Number of open connections of each node.
    pub connections_by_node: Vec<u32>,
    config: Hosts,
    /// Load of all open connections, microseconds of work per second.
    load: f64,
    /// Queued work, microseconds of one core.
    backlog: f64,
    /// When the backlog was last updated, microseconds.
    updated_at: u64,
    /// Setup work that arrived since the last sample, microseconds of one core.
    offered_work: f64,
    /// Offered work and the work at which the host fails, for each recent sample while cold.
    overload_window: VecDeque<(f64, f64)>,
}

impl Host {
    /// Creates a host that is running and warm.
    pub fn new(config: &Hosts, weight: f64, nodes: usize) -> Self {
        Host {
            weight,
            up: true,
            incarnation: 0,
            started: None,
            added_delay: 0,
            silent: false,
            refusing: false,
            draining: false,
            connections: BTreeMap::new(),
            connections_by_node: vec![0; nodes],
            config: config.clone(),
            load: 0.0,
            backlog: 0.0,
            updated_at: 0,
            offered_work: 0.0,
            overload_window: VecDeque::new(),
        }
    }

    /// Returns the fraction of its full capacity that the host has at `now`.
    pub fn warm_fraction(&self, now: u64) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let share = (now.saturating_sub(started) as f64 / (self.config.warm_up_s * 1e6)).min(1.0);
        self.config.warm_up_initial + (1.0 - self.config.warm_up_initial) * share
    }

    /// Returns the host's capacity at `now`, in microseconds of work per second.
    pub fn capacity(&self, now: u64) -> f64 {
        self.config.cores * self.weight * 1e6 * self.warm_fraction(now)
    }

    /// Updates the backlog to `now`.
    fn advance(&mut self, now: u64) {
        let span = now.saturating_sub(self.updated_at) as f64 / 1e6;
        // The capacity at the middle of the span is its mean, as it grows linearly.
        let capacity = self.capacity(self.updated_at + (now.saturating_sub(self.updated_at)) / 2);
        self.backlog = (self.backlog + (self.load - capacity) * span).max(0.0);
        self.updated_at = now;
    }

    /// Returns how long work that arrives at `now` waits, microseconds.
    pub fn delay(&mut self, now: u64) -> u64 {
        self.advance(now);
        (self.backlog / self.capacity(now) * 1e6) as u64 + self.added_delay
    }

    /// Returns the host's load relative to its capacity; the backlog counts as load of one second.
    ///
    /// Infinite if the host does not accept connections.
    pub fn load_ratio(&self, now: u64) -> f64 {
        if !self.up || self.silent || self.refusing || self.draining {
            return f64::INFINITY;
        }
        (self.load + self.backlog) / self.capacity(now)
    }

    /// Sets a connection up and returns how long that takes, microseconds; `None` if the host rejects it.
    pub fn accept(&mut self, now: u64, connection: ConnectionKey, node: usize, load: f64) -> Option<u64> {
        let delay = self.delay(now);
        let full = self.connections.len() as f64 >= self.config.max_connections * self.weight;
        if self.refusing || full || delay as f64 > self.config.max_queue_ms * 1e3 {
            return None;
        }
        let work = self.config.setup_ms * 1e3;
        self.backlog += work;
        self.offered_work += work;
        self.load += load;
        self.connections.insert(connection, (node, load));
        self.connections_by_node[node] += 1;
        // One core does all the work of a setup.
        Some(delay + (work / self.warm_fraction(now)) as u64)
    }

    /// Removes a connection that has ended.
    pub fn close(&mut self, now: u64, connection: ConnectionKey) {
        self.advance(now);
        if let Some((node, load)) = self.connections.remove(&connection) {
            self.connections_by_node[node] -= 1;
            self.load = if self.connections.is_empty() { 0.0 } else { (self.load - load).max(0.0) };
        }
    }

    /// Samples the load offered since the last call.
    ///
    /// Returns the load over the overload window relative to the load at which a cold host fails: above 1 the
    /// host must be stopped. Returns `None` if the host is down or warm, or the window is not full yet.
    pub fn sample_cold_load(&mut self, now: u64) -> Option<f64> {
        self.advance(now);
        let span = SAMPLE_INTERVAL as f64 / 1e6;
        let offered = std::mem::take(&mut self.offered_work) + self.load * span;
        if !self.up || self.warm_fraction(now) >= 1.0 {
            self.overload_window.clear();
            return None;
        }
        self.overload_window.push_back((offered, self.config.overload_multiple * self.capacity(now) * span));
        let samples = (self.config.overload_window_s * 1e6 / SAMPLE_INTERVAL as f64).ceil().max(1.0) as usize;
        if self.overload_window.len() < samples {
            return None;
        }
        if self.overload_window.len() > samples {
            self.overload_window.pop_front();
        }
        let (offered, limit) =
            self.overload_window.iter().fold((0.0, 0.0), |sum, sample| (sum.0 + sample.0, sum.1 + sample.1));
        Some(offered / limit)
    }

    /// Ends the process and returns the connections that were open.
    pub fn stop(&mut self) -> BTreeMap<ConnectionKey, (usize, f64)> {
        (self.up, self.draining, self.load, self.backlog, self.offered_work) = (false, false, 0.0, 0.0, 0.0);
        self.incarnation += 1;
        self.overload_window.clear();
        self.connections_by_node.fill(0);
        std::mem::take(&mut self.connections)
    }

    /// Starts a process, which is cold.
    pub fn start(&mut self, now: u64) {
        (self.up, self.started, self.updated_at) = (true, Some(now), now);
    }
}
