//! The lease on the endpoint list: how long this node may act on the list that it has. Does no I/O.
//!
//! The platform counts a node as notified of a change once a fixed time has passed since discovery had the
//! change and was reachable, even if the change did not arrive. The node therefore holds a lease on its list,
//! and renews it with each proof that no change was missed. After the lease has expired, hosts that may have
//! changed receive no new requests. These are all hosts except those that accepted a request recently, since
//! a draining host accepts none.

use std::collections::{BTreeMap, BTreeSet};

use alderstile::types::{Micros, ServerId};

/// How long this node may act on a list without proof that it is current: after this time a change counts as
/// notified. The grace period after a drain would be allowed in addition, and is kept as a margin.
const NOTIFICATION_BOUND: Micros = Micros::from_millis(6_000);
/// The same bound after discovery's address has changed, from the time at which the configuration names the
/// new address.
const NOTIFICATION_BOUND_NEW_ADDRESS: Micros = Micros::from_millis(4_000);

/// The lease on the endpoint list.
#[derive(Debug)]
pub struct Lease {
    /// The end of the lease by what this process has received: no change that was missed counts as notified
    /// before this time.
    own_expires: Micros,
    /// The same by what the node's other process has received, whose list this process has, too.
    other_process_expires: Option<Micros>,
    /// Where lists are pushed to a local agent: how long a host may receive new requests after its drain was
    /// announced. While no watch is open, a change counts as notified as soon as the agent has it.
    push_grace: Option<Micros>,
    /// Whether discovery's address has changed and no answer has come from the new one.
    discovery_address_changed: bool,
    /// When the last request that each host accepted was sent to it.
    last_accepted: BTreeMap<ServerId, Micros>,
    /// The hosts that receive no new requests because the lease has expired.
    withheld: BTreeSet<ServerId>,
}

impl Lease {
    /// Creates the lease of a process that has just started with a cached list. `push_grace` is the grace
    /// period after a drain where lists are pushed, and `None` where they are not.
    pub fn new(now: Micros, push_grace: Option<Micros>) -> Self {
        let mut lease = Lease {
            own_expires: now,
            other_process_expires: None,
            push_grace,
            discovery_address_changed: false,
            last_accepted: BTreeMap::new(),
            withheld: BTreeSet::new(),
        };
        lease.own_expires = now + lease.notification_bound();
        lease
    }

    /// Returns the end of the lease: that of the process that was the last to prove that no change was missed.
    fn expires(&self) -> Micros {
        self.other_process_expires.map_or(self.own_expires, |other| other.max(self.own_expires))
    }

    /// Returns how long after discovery had a change, and was reachable, a node without a watch counts as
    /// notified of it.
    fn notification_bound(&self) -> Micros {
        let pull_bound =
            if self.discovery_address_changed { NOTIFICATION_BOUND_NEW_ADDRESS } else { NOTIFICATION_BOUND };
        self.push_grace.unwrap_or(pull_bound)
    }

    /// Sets the grace period after a drain where lists are pushed; `None` where they are not.
    pub fn set_push_grace(&mut self, push_grace: Option<Micros>) {
        self.push_grace = push_grace;
    }

    /// Renews the lease after a complete line of a watch or a complete list was received: no change was
    /// missed until now.
    pub fn renew(&mut self, now: Micros) {
        self.discovery_address_changed = false;
        self.own_expires = now + NOTIFICATION_BOUND;
    }

    /// Shortens the lease after the watch has ended.
    pub fn on_watch_ended(&mut self, now: Micros) {
        self.own_expires = self.own_expires.min(now + self.notification_bound());
    }

    /// Shortens the lease after discovery's address has changed.
    pub fn on_discovery_address_changed(&mut self, now: Micros) {
        self.discovery_address_changed = true;
        self.on_watch_ended(now);
        self.on_other_process_ended(now);
    }

    /// Extends the lease after a call that started at `call_started` could not connect: discovery could not
    /// have notified this node before that time.
    pub fn on_discovery_unreachable(&mut self, call_started: Micros) {
        self.own_expires = self.own_expires.max(call_started + self.notification_bound());
    }

    /// Shortens the lease to the time that remained of the predecessor's.
    pub fn inherit(&mut self, now: Micros, remaining: Micros) {
        self.own_expires = self.own_expires.min(now + remaining);
    }

    /// Sets the end of the other process's lease. This process must have that process's list or a newer one.
    pub fn set_other_process(&mut self, expires: Micros) {
        self.other_process_expires = Some(expires);
    }

    /// Shortens the other process's lease: by what that process reports, it ends at `expires`.
    pub fn shorten_other_process(&mut self, expires: Micros) {
        self.other_process_expires = self.other_process_expires.map(|other| other.min(expires));
    }

    /// Shortens the other process's lease after that process, and its watch, has ended.
    pub fn on_other_process_ended(&mut self, now: Micros) {
        self.shorten_other_process(now + self.notification_bound());
    }

    /// Returns the end of the lease by what this process has received.
    pub fn own_expires(&self) -> Micros {
        self.own_expires
    }

    /// Returns whether the lease is valid.
    pub fn is_valid(&self, now: Micros) -> bool {
        now < self.expires()
    }

    /// Returns the remaining time of the lease, 0 after it has expired.
    pub fn remaining(&self, now: Micros) -> Micros {
        self.expires() - now
    }

    /// Records that a host accepted a request sent to it at the time `sent`, and so was not draining then.
    pub fn on_request_accepted(&mut self, host: ServerId, sent: Micros) {
        self.last_accepted.insert(host, sent);
    }

    /// Returns whether a host that is listed as up may receive new requests.
    pub fn allows_new_work(&self, now: Micros, host: ServerId) -> bool {
        let proof_expires = |sent: &Micros| *sent + self.notification_bound();
        self.is_valid(now) || self.last_accepted.get(&host).is_some_and(|sent| now < proof_expires(sent))
    }

    /// Withholds new requests from the listed hosts that [`Lease::allows_new_work`] no longer allows, and
    /// returns the hosts that were not withheld before.
    pub fn withhold_expired(&mut self, now: Micros, listed: impl Iterator<Item = ServerId>) -> Vec<ServerId> {
        let bound = self.notification_bound();
        self.last_accepted.retain(|_, sent| now < *sent + bound);
        let expired: Vec<_> =
            listed.filter(|id| !self.allows_new_work(now, *id) && !self.withheld.contains(id)).collect();
        self.withheld.extend(&expired);
        expired
    }

    /// Returns the withheld hosts and releases them if the lease is valid; returns none if it has expired.
    pub fn release_withheld(&mut self, now: Micros) -> BTreeSet<ServerId> {
        if self.is_valid(now) { std::mem::take(&mut self.withheld) } else { BTreeSet::new() }
    }

    /// Forgets which hosts are withheld, so that [`Lease::withhold_expired`] withholds them again: a list from
    /// the other process may have listed them as up.
    pub fn forget_withheld(&mut self) {
        self.withheld.clear();
    }

    /// Returns when [`Lease::withhold_expired`] is due next.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        if self.is_valid(now) {
            return Some(self.expires());
        }
        let bound = self.notification_bound();
        self.last_accepted.values().map(|sent| *sent + bound).filter(|due| *due > now).min()
    }
}
