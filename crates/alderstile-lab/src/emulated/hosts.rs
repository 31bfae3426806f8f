//! An emulated host: cores, a queue, a cap, a cold start and what pushes it over. No I/O, no clock.
//!
//! A fluid model. All work that is asked, by set-ups at once and by open connections as it goes, joins one queue in order of
//! coming, and the cores work it off; what waits delays every set-up and every message alike (the workload process of a
//! single-server queue: Kleinrock, *Queueing Systems* I, 1975). A process that has just started does only a part of what it
//! will, growing evenly (warm-up of virtual machines: Barrett et al., OOPSLA 2017). One that is asked too much while cold goes
//! down, as retries and new connections keep it there (Bronson et al., "Metastable failures", HotOS 2021). Left out: garbage
//! collection, memory beside the cap, neighbours on the same machine, and cores that wait while others are busy.

use std::collections::{BTreeMap, VecDeque};

use crate::schedule::Hosts;

/// How finely what is asked of a cold host is added up, microseconds.
pub const TICK: u64 = 250_000;

/// A connection at a host: the client, and which of its requests.
pub type Held = (usize, u32);

/// One host.
#[derive(Clone, Debug)]
pub struct Host {
    /// Its size beside others.
    pub weight: f64,
    /// Its process runs.
    pub up: bool,
    /// Counts its processes.
    pub life: u64,
    /// When the process started, microseconds; none if long before the run.
    pub started: Option<u64>,
    /// It takes so much longer for everything, microseconds.
    pub slow: u64,
    /// It says nothing.
    pub silent: bool,
    /// It turns new connections away.
    pub refuses: bool,
    /// It is listed as draining.
    pub drains: bool,
    /// Connections and their load, in microseconds of work a second, and the node that each came by.
    pub held: BTreeMap<Held, (usize, f64)>,
    /// Connections by node.
    pub by_node: Vec<u32>,
    set: Hosts,
    load: f64,
    /// Work that waits, microseconds of one core.
    waits: f64,
    at: u64,
    /// Set-up work asked since the last tick.
    asked: f64,
    /// Work asked and work allowed in the last ticks, while cold.
    window: VecDeque<(f64, f64)>,
}

impl Host {
    /// A host that runs and is warm.
    pub fn new(set: &Hosts, weight: f64, nodes: usize) -> Self {
        Host {
            weight,
            up: true,
            life: 0,
            started: None,
            slow: 0,
            silent: false,
            refuses: false,
            drains: false,
            held: BTreeMap::new(),
            by_node: vec![0; nodes],
            set: set.clone(),
            load: 0.0,
            waits: 0.0,
            at: 0,
            asked: 0.0,
            window: VecDeque::new(),
        }
    }

    /// The share of its capacity that it has now.
    pub fn warmth(&self, now: u64) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let share = (now.saturating_sub(started) as f64 / (self.set.warm_up_s * 1e6)).min(1.0);
        self.set.warm_up_initial + (1.0 - self.set.warm_up_initial) * share
    }

    /// Work that it can do, in microseconds a second.
    pub fn capacity(&self, now: u64) -> f64 {
        self.set.cores * self.weight * 1e6 * self.warmth(now)
    }

    /// Brings the queue up to date.
    fn advance(&mut self, now: u64) {
        let span = now.saturating_sub(self.at) as f64 / 1e6;
        // The capacity in the middle of the span: it grows evenly.
        let able = self.capacity(self.at + (now.saturating_sub(self.at)) / 2);
        self.waits = (self.waits + (self.load - able) * span).max(0.0);
        self.at = now;
    }

    /// How long what comes now waits, microseconds.
    pub fn delay(&mut self, now: u64) -> u64 {
        self.advance(now);
        (self.waits / self.capacity(now) * 1e6) as u64 + self.slow
    }

    /// What it is asked over what it can do; what waits counts as asked for a second. Without bound where it is down.
    pub fn ratio(&self, now: u64) -> f64 {
        if !self.up || self.silent || self.refuses || self.drains {
            return f64::INFINITY;
        }
        (self.load + self.waits) / self.capacity(now)
    }

    /// A set-up comes: how long it takes, microseconds; none where it is turned away.
    pub fn takes(&mut self, now: u64, held: Held, node: usize, load: f64) -> Option<u64> {
        let waits = self.delay(now);
        let full = self.held.len() as f64 >= self.set.max_connections * self.weight;
        if self.refuses || full || waits as f64 > self.set.max_queue_ms * 1e3 {
            return None;
        }
        let work = self.set.setup_ms * 1e3;
        self.waits += work;
        self.asked += work;
        self.load += load;
        self.held.insert(held, (node, load));
        self.by_node[node] += 1;
        // One core does it.
        Some(waits + (work / self.warmth(now)) as u64)
    }

    /// A connection has ended.
    pub fn ends(&mut self, now: u64, held: Held) {
        self.advance(now);
        if let Some((node, load)) = self.held.remove(&held) {
            self.by_node[node] -= 1;
            self.load = if self.held.is_empty() { 0.0 } else { (self.load - load).max(0.0) };
        }
    }

    /// Adds up what was asked since the last tick: what was asked of a cold host over what it bears, in the last stated span.
    /// It falls where that is above one.
    pub fn tick(&mut self, now: u64) -> Option<f64> {
        self.advance(now);
        let span = TICK as f64 / 1e6;
        let asked = std::mem::take(&mut self.asked) + self.load * span;
        if !self.up || self.warmth(now) >= 1.0 {
            self.window.clear();
            return None;
        }
        self.window.push_back((asked, self.set.overload_multiple * self.capacity(now) * span));
        let whole = (self.set.overload_window_s * 1e6 / TICK as f64).ceil().max(1.0) as usize;
        if self.window.len() < whole {
            return None;
        }
        if self.window.len() > whole {
            self.window.pop_front();
        }
        let (asked, bears) =
            self.window.iter().fold((0.0, 0.0), |sum, part| (sum.0 + part.0, sum.1 + part.1));
        Some(asked / bears)
    }

    /// Its process ends; its connections are gone.
    pub fn goes_down(&mut self) -> BTreeMap<Held, (usize, f64)> {
        (self.up, self.drains, self.load, self.waits, self.asked) = (false, false, 0.0, 0.0, 0.0);
        self.life += 1;
        self.window.clear();
        self.by_node.fill(0);
        std::mem::take(&mut self.held)
    }

    /// Its process starts, cold.
    pub fn comes_up(&mut self, now: u64) {
        (self.up, self.started, self.at) = (true, Some(now), now);
    }
}
