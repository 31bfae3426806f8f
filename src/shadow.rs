//! Shadow mode: a second policy instance with other settings handles every event of the active
//! instance and counts the decisions that would have differed. It has no effects.
//!
//! The shadow instance's load record follows the active instance's decisions, so that each
//! difference is counted by itself and has no consequences for later decisions. Both instances use
//! the same random numbers: with equal settings, there are no differences.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::policy::Policy;
use crate::types::{Action, BalancerSettings, Event, Micros, Request, RequestId, ServerId};

/// Number of decisions of the shadow instance that differ from the active one, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Differences {
    /// Verdicts and migrations that were compared.
    pub decisions: u64,
    /// Requests forwarded by both instances, but to different servers.
    pub different_server: u64,
    /// Requests that only the shadow instance would have rejected or failed.
    pub rejected: u64,
    /// Requests that only the shadow instance would have forwarded.
    pub forwarded: u64,
    /// Connections that only the shadow instance would have migrated.
    pub migrated: u64,
    /// Connections that only the active instance migrated.
    pub not_migrated: u64,
}

impl Differences {
    /// Returns the number of differences of all kinds.
    pub fn total(&self) -> u64 {
        self.different_server + self.rejected + self.forwarded + self.migrated + self.not_migrated
    }
}

/// Formats the counts for the log. The field names are an external interface that operators' tools
/// parse.
impl fmt::Display for Differences {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Differences { decisions, different_server, rejected, forwarded, migrated, not_migrated } = self;
        let total = self.total();
        write!(
            f,
            "{decisions} decisions, {total} otherwise: elsewhere={different_server} turned_away={rejected} \
             sent={forwarded} moved={migrated} stayed={not_migrated}"
        )
    }
}

/// The shadow instance and its counts.
pub struct Shadow {
    policy: Policy,
    actions: Vec<Action>,
    differences: Differences,
}

/// Returns the server to which each answered request was forwarded; `None` if it was rejected or
/// failed.
fn verdicts(actions: &[Action]) -> BTreeMap<RequestId, Option<ServerId>> {
    let verdict = |action: &Action| match action {
        Action::Forward(id, server, _) => Some((*id, Some(*server))),
        Action::Reject(id, _) | Action::Fail(id) => Some((*id, None)),
        _ => None,
    };
    actions.iter().filter_map(verdict).collect()
}

fn migrations(actions: &[Action]) -> BTreeSet<RequestId> {
    let migrated = |action: &Action| if let Action::Migrate(id) = action { Some(*id) } else { None };
    actions.iter().filter_map(migrated).collect()
}

impl Shadow {
    /// Creates a shadow instance without connections.
    pub fn new(settings: BalancerSettings, seed: u64, now: Micros) -> Self {
        Shadow {
            policy: Policy::new(settings, seed, now),
            actions: Vec::new(),
            differences: Differences::default(),
        }
    }

    /// Returns the differences counted so far.
    pub fn differences(&self) -> Differences {
        self.differences
    }

    /// Applies new settings to the shadow instance.
    pub fn apply_settings(&mut self, now: Micros, settings: BalancerSettings) {
        self.policy.handle(now, Event::SettingsChanged(Box::new(settings)), &mut self.actions);
    }

    /// Copies the random state of the active instance. Must be called before the active instance
    /// handles an event.
    pub fn copy_random_state(&mut self, active: &Policy) {
        self.policy.copy_random_state(active);
    }

    /// Handles an event and compares the resulting actions with those of the active instance.
    pub fn compare(&mut self, now: Micros, event: Event, active: &[Action]) {
        let request = self.request_of(&event);
        self.policy.handle(now, event, &mut self.actions);
        let shadow: Vec<Action> = self.actions.drain(..).collect();
        self.compare_verdicts(now, request, &verdicts(active), &verdicts(&shadow));
        self.compare_migrations(&migrations(active), &migrations(&shadow));
    }

    /// Returns the request that an event may place again.
    fn request_of(&self, event: &Event) -> Option<Request> {
        match event {
            Event::Request(request) => Some(*request),
            Event::Ended { id, .. } => self.policy.request(*id),
            _ => None,
        }
    }

    fn compare_verdicts(
        &mut self,
        now: Micros,
        request: Option<Request>,
        active: &BTreeMap<RequestId, Option<ServerId>>,
        shadow: &BTreeMap<RequestId, Option<ServerId>>,
    ) {
        let counts = &mut self.differences;
        for (id, &server) in active {
            counts.decisions += 1;
            let shadow_server = shadow.get(id).copied().flatten();
            match (server, shadow_server) {
                (active, shadow) if active == shadow => continue,
                (Some(_), Some(_)) => counts.different_server += 1,
                (Some(_), None) => counts.rejected += 1,
                _ => counts.forwarded += 1,
            }
            if let Some(request) = request.filter(|request| request.id == *id) {
                self.policy.apply_forwarding(now, request, server);
            }
        }
    }

    fn compare_migrations(&mut self, active: &BTreeSet<RequestId>, shadow: &BTreeSet<RequestId>) {
        let counts = &mut self.differences;
        counts.decisions += active.union(shadow).count() as u64;
        counts.not_migrated += active.difference(shadow).count() as u64;
        for id in shadow.difference(active) {
            counts.migrated += 1;
            self.policy.cancel_migration(*id);
        }
    }
}
