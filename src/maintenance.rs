//! Hosts that operators have taken out by hand, laid over every server list before the decisions see it.
//!
//! To the decisions a host that is out drains, whatever the list says; they have no other notion of it. It comes back
//! as the list has it by then, started no earlier than it was put back: operators restart a host meanwhile, and the
//! list may tell of that late.

use std::collections::{BTreeMap, BTreeSet};

use crate::types::*;

/// Which hosts are out, and what the list says of all of them.
#[derive(Debug, Default)]
pub struct Maintenance {
    listed: BTreeMap<ServerId, Endpoint>,
    out: BTreeSet<ServerId>,
    /// When hosts were put back, until the list tells of a later start.
    returned: BTreeMap<ServerId, Micros>,
}

impl Maintenance {
    /// Takes in a list as it came, and returns it as the decisions are to see it.
    pub fn lay_over(&mut self, kind: EndpointListKind, entries: Vec<Endpoint>) -> Vec<Endpoint> {
        if matches!(kind, EndpointListKind::Full | EndpointListKind::Cached) {
            self.listed.clear();
        }
        for entry in &entries {
            if entry.state == EndpointState::Gone {
                self.listed.remove(&entry.id);
            } else {
                self.listed.insert(entry.id, *entry);
            }
            if self.returned.get(&entry.id).is_some_and(|at| entry.started >= Some(*at)) {
                self.returned.remove(&entry.id);
            }
        }
        entries.into_iter().map(|entry| self.seen(entry)).collect()
    }

    /// A listed host as the decisions are to see it.
    fn seen(&self, mut entry: Endpoint) -> Endpoint {
        if self.is_out(entry.id) && entry.state != EndpointState::Gone {
            entry.state = EndpointState::Draining;
        }
        // None is long ago, and less than any time.
        entry.started = entry.started.max(self.returned.get(&entry.id).copied());
        entry
    }

    /// Takes a host out. Returns the change for the decisions; none where nothing changes for them.
    pub fn take_out(&mut self, id: ServerId) -> Option<Endpoint> {
        self.out.insert(id);
        self.listed.get(&id).map(|entry| self.seen(*entry))
    }

    /// Puts a host back that is out. Returns the change for the decisions; none where nothing changes for them.
    pub fn put_back(&mut self, now: Micros, id: ServerId) -> Option<Endpoint> {
        if !self.out.remove(&id) {
            return None;
        }
        self.returned.insert(id, now);
        self.listed.get(&id).map(|entry| self.seen(*entry))
    }

    /// Whether a host is out.
    pub fn is_out(&self, id: ServerId) -> bool {
        self.out.contains(&id)
    }

    /// Whether the list names a host, or it is out.
    pub fn knows(&self, id: ServerId) -> bool {
        self.listed.contains_key(&id) || self.is_out(id)
    }

    /// Hosts in the list.
    pub fn listed(&self) -> usize {
        self.listed.len()
    }
}
