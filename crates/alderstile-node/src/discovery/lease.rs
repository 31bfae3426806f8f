//! How long the server list that is held may be gone by; pure.
//!
//! A change counts as told a fixed time after discovery had it and could be reached, whether or not it arrived. The list held
//! therefore is under a lease, which each sign that nothing was missed renews. When it has run out, nothing new goes to
//! servers that may have changed: all but those that took a request of late, since a server that drains takes none.

use std::collections::{BTreeMap, BTreeSet};

use alderstile::types::{Micros, ServerId};

/// What discovery had, and what a silent watch missed, counts as told this long after. The grace at drains comes on top and
/// is the margin of this.
const TOLD: Micros = Micros::from_millis(6_000);
/// What discovery at a new place has counts as told this long after the configuration that names it.
const TOLD_MOVED: Micros = Micros::from_millis(4_000);

/// The lease on the server list.
#[derive(Debug)]
pub struct Lease {
    /// Until then nothing that may have changed counts as told.
    until: Micros,
    /// Where lists are pushed: how long something new may still go to a server after its drain was told. What the agent has
    /// counts as told at once while no watch is open.
    pushed: Option<Micros>,
    /// Discovery is elsewhere, and has told nothing yet.
    moved: bool,
    /// When servers that took a request last were asked to.
    took: BTreeMap<ServerId, Micros>,
    /// Nothing new goes there now.
    withheld: BTreeSet<ServerId>,
}

impl Lease {
    /// A process that has just started, with the list that it knows from before. `pushed` is the grace at drains in
    /// microseconds where lists are pushed.
    pub fn new(now: Micros, pushed: Option<Micros>) -> Self {
        let mut lease =
            Lease { until: now, pushed, moved: false, took: BTreeMap::new(), withheld: BTreeSet::new() };
        lease.until = now + lease.told();
        lease
    }

    /// How long after discovery had it, and could be reached, a change counts as told to a node without a watch.
    fn told(&self) -> Micros {
        let told = if self.moved { TOLD_MOVED } else { TOLD };
        self.pushed.unwrap_or(told)
    }

    /// Other settings: whether lists are pushed.
    pub fn renew(&mut self, pushed: Option<Micros>) {
        self.pushed = pushed;
    }

    /// A whole line has come on a watch, or a whole list: nothing was missed until now.
    pub fn heard(&mut self, now: Micros) {
        self.moved = false;
        self.until = now + TOLD;
    }

    /// The watch has ended.
    pub fn ended(&mut self, now: Micros) {
        self.until = self.until.min(now + self.told());
    }

    /// Discovery is elsewhere from now on.
    pub fn moved(&mut self, now: Micros) {
        self.moved = true;
        self.until = self.until.min(now + self.told());
    }

    /// A call that began then got no connection: what discovery had it could not tell anybody here until then.
    pub fn unreachable(&mut self, began: Micros) {
        self.until = self.until.max(began + self.told());
    }

    /// The process before this one had so long left.
    pub fn inherit(&mut self, now: Micros, left: Micros) {
        self.until = self.until.min(now + left);
    }

    /// What is left of it.
    pub fn left(&self, now: Micros) -> Micros {
        self.until - now
    }

    /// A server took a request that it was asked to take then: it did not drain.
    pub fn took(&mut self, server: ServerId, asked: Micros) {
        self.took.insert(server, asked);
    }

    /// Whether something new may go to a server by the list held.
    pub fn holds(&self, now: Micros, server: ServerId) -> bool {
        now < self.until || self.took.get(&server).is_some_and(|asked| now < *asked + self.told())
    }

    /// The servers of those listed to which nothing new goes from now on.
    pub fn withhold(&mut self, now: Micros, listed: impl Iterator<Item = ServerId>) -> Vec<ServerId> {
        let told = self.told();
        self.took.retain(|_, asked| now < *asked + told);
        let out: Vec<_> = listed.filter(|id| !self.holds(now, *id) && !self.withheld.contains(id)).collect();
        self.withheld.extend(&out);
        out
    }

    /// The servers to which something new may go again.
    pub fn restore(&mut self, now: Micros) -> BTreeSet<ServerId> {
        if now < self.until { std::mem::take(&mut self.withheld) } else { BTreeSet::new() }
    }

    /// When to look again what is to be withheld.
    pub fn due(&self, now: Micros) -> Option<Micros> {
        if now < self.until {
            return Some(self.until);
        }
        self.took.values().map(|asked| *asked + self.told()).filter(|due| *due > now).min()
    }
}
