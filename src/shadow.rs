//! The watch mode: a second instance of the decisions with other settings is handed every event that the deciding one
//! is handed, and what it would have done otherwise is counted. It does nothing and decides nothing.
//!
//! Its record follows what was really done, so that each difference counts for itself and not for all that follows.
//! Chance falls alike for both: with equal settings there is no difference.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::policy::Policy;
use crate::types::*;

/// How often the watching instance would have decided otherwise, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Differences {
    /// Answers and moves that were compared.
    pub decisions: u64,
    /// It would have taken another server.
    pub elsewhere: u64,
    /// It would have turned away, or failed, what was sent to a server.
    pub turned_away: u64,
    /// It would have sent to a server what was turned away or failed.
    pub sent: u64,
    /// It would have moved a client that stayed.
    pub moved: u64,
    /// It would have left a client where it was that was told to move.
    pub stayed: u64,
}

impl Differences {
    /// All kinds together.
    pub fn total(&self) -> u64 {
        self.elsewhere + self.turned_away + self.sent + self.moved + self.stayed
    }
}

impl fmt::Display for Differences {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Differences { decisions, elsewhere, turned_away, sent, moved, stayed } = self;
        let total = self.total();
        write!(
            f,
            "{decisions} decisions, {total} otherwise: elsewhere={elsewhere} turned_away={turned_away} \
             sent={sent} moved={moved} stayed={stayed}"
        )
    }
}

/// The watching instance.
pub struct Shadow {
    policy: Policy,
    actions: Vec<Action>,
    differences: Differences,
}

/// What a list of actions does about each request.
fn answers(actions: &[Action]) -> BTreeMap<RequestId, Option<ServerId>> {
    let answer = |action: &Action| match action {
        Action::Forward(id, server, _) => Some((*id, Some(*server))),
        Action::Reject(id, _) | Action::Fail(id) => Some((*id, None)),
        _ => None,
    };
    actions.iter().filter_map(answer).collect()
}

fn moves(actions: &[Action]) -> BTreeSet<RequestId> {
    let moved = |action: &Action| if let Action::Migrate(id) = action { Some(*id) } else { None };
    actions.iter().filter_map(moved).collect()
}

impl Shadow {
    /// An instance that has just started, as the deciding one has.
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

    /// Other settings for this instance from now on.
    pub fn renew(&mut self, now: Micros, settings: BalancerSettings) {
        self.policy.handle(now, Event::SettingsChanged(Box::new(settings)), &mut self.actions);
    }

    /// Before the deciding instance takes in an event: chance is to fall alike.
    pub fn align(&mut self, deciding: &Policy) {
        self.policy.share_chance(deciding);
    }

    /// Takes in the event and compares with what the deciding instance has done about it.
    pub fn watch(&mut self, now: Micros, event: Event, decided: &[Action]) {
        let held = match &event {
            Event::Request(request) => Some(*request),
            Event::Ended { id, .. } => self.policy.request(*id),
            _ => None,
        };
        self.policy.handle(now, event, &mut self.actions);
        let mine: Vec<Action> = self.actions.drain(..).collect();
        let (told, counts) = (answers(decided), &mut self.differences);
        let answers = answers(&mine);
        for (id, &server) in &told {
            counts.decisions += 1;
            let other = answers.get(id).copied().flatten();
            match (server, other) {
                (a, b) if a == b => continue,
                (Some(_), Some(_)) => counts.elsewhere += 1,
                (Some(_), None) => counts.turned_away += 1,
                _ => counts.sent += 1,
            }
            if let Some(request) = held.filter(|request| request.id == *id) {
                self.policy.follow(now, request, server);
            }
        }
        let (told, mine) = (moves(decided), moves(&mine));
        counts.decisions += told.union(&mine).count() as u64;
        counts.stayed += told.difference(&mine).count() as u64;
        for id in mine.difference(&told) {
            counts.moved += 1;
            self.policy.stays(*id);
        }
    }
}
