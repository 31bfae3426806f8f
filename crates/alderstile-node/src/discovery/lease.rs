//! The lease on the endpoint list: how long this node may act on the list that it has; pure.
//!
//! The platform counts a change as notified a fixed time after discovery had it and could be reached, whether or not it
//! arrived here. The list is therefore under a lease, which each proof that nothing was missed renews. Once it has expired,
//! no new work goes to hosts that may have changed: all but those that accepted a request recently, since a draining host
//! accepts none.

use std::collections::{BTreeMap, BTreeSet};

use alderstile::types::{Micros, ServerId};

/// How long this node may act on a list without proof that it is current: after this a change counts as notified. The grace
/// at drains is allowed in addition, and kept as margin.
const NOTIFICATION_BOUND: Micros = Micros::from_millis(6_000);
/// The same for what discovery at a new address has, from the configuration that names the address.
const NOTIFICATION_BOUND_NEW_ADDRESS: Micros = Micros::from_millis(4_000);

/// The lease on the endpoint list.
#[derive(Debug)]
pub struct Lease {
    /// Nothing that may have changed counts as notified before this.
    expires: Micros,
    /// Where lists are pushed: how long new work may go to a host after its drain was notified. What the local agent has
    /// counts as notified at once while no watch is open.
    push_grace: Option<Micros>,
    /// Discovery has a new address, and has answered nothing there yet.
    discovery_address_changed: bool,
    /// When each host was last sent a request that it accepted.
    last_accepted: BTreeMap<ServerId, Micros>,
    /// Hosts that no new work goes to.
    withheld: BTreeSet<ServerId>,
}

impl Lease {
    /// The lease of a process that has just started with a cached list. `push_grace` is the grace at drains where lists are
    /// pushed.
    pub fn new(now: Micros, push_grace: Option<Micros>) -> Self {
        let mut lease = Lease {
            expires: now,
            push_grace,
            discovery_address_changed: false,
            last_accepted: BTreeMap::new(),
            withheld: BTreeSet::new(),
        };
        lease.expires = now + lease.notification_bound();
        lease
    }

    /// How long after discovery had it, and could be reached, a change counts as notified to a node without a watch.
    fn notification_bound(&self) -> Micros {
        let pull_bound =
            if self.discovery_address_changed { NOTIFICATION_BOUND_NEW_ADDRESS } else { NOTIFICATION_BOUND };
        self.push_grace.unwrap_or(pull_bound)
    }

    /// Changes whether lists are pushed.
    pub fn set_push_grace(&mut self, push_grace: Option<Micros>) {
        self.push_grace = push_grace;
    }

    /// Renews the lease: a complete line of a watch or a complete list has come, so nothing was missed until now.
    pub fn renew(&mut self, now: Micros) {
        self.discovery_address_changed = false;
        self.expires = now + NOTIFICATION_BOUND;
    }

    /// Shortens the lease: the watch has ended.
    pub fn on_watch_ended(&mut self, now: Micros) {
        self.expires = self.expires.min(now + self.notification_bound());
    }

    /// Shortens the lease: discovery has a new address.
    pub fn on_discovery_address_changed(&mut self, now: Micros) {
        self.discovery_address_changed = true;
        self.expires = self.expires.min(now + self.notification_bound());
    }

    /// Extends the lease: a call begun at `call_began` got no connection, so discovery could notify nobody here until then.
    pub fn on_discovery_unreachable(&mut self, call_began: Micros) {
        self.expires = self.expires.max(call_began + self.notification_bound());
    }

    /// Shortens the lease to what the predecessor had left of it.
    pub fn inherit(&mut self, now: Micros, remaining: Micros) {
        self.expires = self.expires.min(now + remaining);
    }

    /// What remains of the lease.
    pub fn remaining(&self, now: Micros) -> Micros {
        self.expires - now
    }

    /// Records that a host accepted a request sent to it at `sent`: it was not draining then.
    pub fn on_request_accepted(&mut self, host: ServerId, sent: Micros) {
        self.last_accepted.insert(host, sent);
    }

    /// Whether new work may go to a host by the list that this node has.
    pub fn allows_new_work(&self, now: Micros, host: ServerId) -> bool {
        let proof_expires = |sent: &Micros| *sent + self.notification_bound();
        now < self.expires || self.last_accepted.get(&host).is_some_and(|sent| now < proof_expires(sent))
    }

    /// Withholds new work from the listed hosts that the lease no longer allows, and returns those newly withheld.
    pub fn withhold_expired(&mut self, now: Micros, listed: impl Iterator<Item = ServerId>) -> Vec<ServerId> {
        let bound = self.notification_bound();
        self.last_accepted.retain(|_, sent| now < *sent + bound);
        let expired: Vec<_> =
            listed.filter(|id| !self.allows_new_work(now, *id) && !self.withheld.contains(id)).collect();
        self.withheld.extend(&expired);
        expired
    }

    /// Ends the withholding while the lease is valid, and returns the hosts that may get new work again.
    pub fn release_withheld(&mut self, now: Micros) -> BTreeSet<ServerId> {
        if now < self.expires { std::mem::take(&mut self.withheld) } else { BTreeSet::new() }
    }

    /// When [`Lease::withhold_expired`] is due next.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        if now < self.expires {
            return Some(self.expires);
        }
        let bound = self.notification_bound();
        self.last_accepted.values().map(|sent| *sent + bound).filter(|due| *due > now).min()
    }
}
