//! The shadow mode: a second instance of the decisions, with other settings, is given every event of the active one,
//! and counts where it would have active otherwise. It has no effects.
//!
//! Its record follows what was really done, so that each difference counts for itself and not for all that follows.
//! Both draw the same random numbers: with equal settings there is no difference.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::policy::Policy;
use crate::types::{Action, BalancerSettings, Event, Micros, Request, RequestId, ServerId};

/// How often the shadow instance would have active otherwise, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Differences {
    /// Verdicts and migrations that were compared.
    pub decisions: u64,
    /// It would have chosen another server.
    pub different_server: u64,
    /// It would have rejected, or failed, what was forwarded.
    pub rejected: u64,
    /// It would have forwarded what was rejected or failed.
    pub forwarded: u64,
    /// It would have migrated a connection that stayed.
    pub migrated: u64,
    /// It would have left a connection where it was that was migrated.
    pub not_migrated: u64,
}

impl Differences {
    /// All kinds together.
    pub fn total(&self) -> u64 {
        self.different_server + self.rejected + self.forwarded + self.migrated + self.not_migrated
    }
}

/// The form in the log, whose field names operators' tools know.
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

/// The shadow instance.
pub struct Shadow {
    policy: Policy,
    actions: Vec<Action>,
    differences: Differences,
}

/// The server to which each answered request was forwarded; none where it was rejected or failed.
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
    /// Creates an instance that holds nothing.
    pub fn new(settings: BalancerSettings, seed: u64, now: Micros) -> Self {
        Shadow {
            policy: Policy::new(settings, seed, now),
            actions: Vec::new(),
            differences: Differences::default(),
        }
    }

    /// What was counted so far.
    pub fn differences(&self) -> Differences {
        self.differences
    }

    /// Applies other settings to this instance.
    pub fn apply_settings(&mut self, now: Micros, settings: BalancerSettings) {
        self.policy.handle(now, Event::SettingsChanged(Box::new(settings)), &mut self.actions);
    }

    /// Takes over the random state of the active instance, before that one handles an event.
    pub fn copy_random_state(&mut self, active: &Policy) {
        self.policy.copy_random_state(active);
    }

    /// Handles the event and compares with what the active instance did about it.
    pub fn compare(&mut self, now: Micros, event: Event, active: &[Action]) {
        let request = self.request_of(&event);
        self.policy.handle(now, event, &mut self.actions);
        let shadow: Vec<Action> = self.actions.drain(..).collect();
        self.compare_verdicts(now, request, &verdicts(active), &verdicts(&shadow));
        self.compare_migrations(&migrations(active), &migrations(&shadow));
    }

    /// The request that an event may decide anew.
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
            let own_server = shadow.get(id).copied().flatten();
            match (server, own_server) {
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
