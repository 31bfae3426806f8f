//! What an emulated node chooses by: the module, or a plain way beside it that shows what the module earns.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

use alderstile::policy::Policy;
use alderstile::types::{
    Action, BalancerSettings, ClassSettings, EndpointListKind, Event, Idempotency, Micros, Outcome,
    RequestId, ServerId,
};
use clap::ValueEnum;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::schedule::Feature;

/// Attempts that a plain way makes for a request.
const ATTEMPTS: usize = 3;
/// Hosts of a rendezvous subset.
const SUBSET: usize = 20;
/// A request that is turned away comes again after this at most.
const AGAIN: Micros = Micros::from_millis(1_000);

/// By what a node chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum Strategy {
    /// The decisions themselves
    #[value(name = "module")]
    Alderstile,
    /// Any ready host
    Random,
    /// The ready host that holds the fewest of the node's own connections for its weight
    #[value(name = "least")]
    LeastConnections,
    /// The better of two drawn hosts (Mitzenmacher 2001)
    #[value(name = "two")]
    TwoChoices,
    /// The least of the twenty hosts that the node draws highest (rendezvous: Thaler and Ravishankar 1998)
    #[value(name = "subset")]
    RendezvousSubset,
    /// The host that truly has the most room: no real node can know it
    Oracle,
}

impl fmt::Display for Strategy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.to_possible_value().as_ref().map_or("", |value| value.get_name()))
    }
}

/// A way, and parts beside those that the schedule has on: `module+subsets`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StrategySpec {
    /// The way.
    pub strategy: Strategy,
    /// Further parts.
    pub features: Vec<Feature>,
}

impl FromStr for StrategySpec {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        let mut words = text.split('+');
        let way = Strategy::from_str(words.next().unwrap_or_default(), false)?;
        let parts =
            words.map(|word| Feature::from_str(word, false)).collect::<Result<Vec<Feature>, String>>()?;
        if way != Strategy::Alderstile && !parts.is_empty() {
            return Err("parts are for module".to_owned());
        }
        Ok(StrategySpec { strategy: way, features: parts })
    }
}

impl From<Strategy> for StrategySpec {
    fn from(way: Strategy) -> Self {
        StrategySpec { strategy: way, features: Vec::new() }
    }
}

impl fmt::Display for StrategySpec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.strategy)?;
        let mut names = self.features.iter().filter_map(|part| part.to_possible_value());
        names.try_for_each(|part| write!(f, "+{}", part.get_name()))
    }
}

/// What a host is asked over what it can do: known to an oracle alone.
pub type Truth<'a> = &'a dyn Fn(ServerId) -> f64;

/// One node's choices.
pub enum Chooser {
    /// The decisions.
    Module(Box<Policy>),
    /// A plain way.
    Plain(Plain),
}

impl Chooser {
    /// A node that has just started; what it begins with is added to `out`.
    pub fn new(
        way: Strategy,
        settings: &BalancerSettings,
        seed: u64,
        now: Micros,
        out: &mut Vec<Action>,
    ) -> Self {
        if way == Strategy::Alderstile {
            let mut policy = Policy::new(settings.clone(), seed, now);
            policy.start(out);
            return Chooser::Module(Box::new(policy));
        }
        out.push(Action::WatchEndpoints);
        Chooser::Plain(Plain {
            way,
            classes: settings.classes.clone(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            name: seed,
            hosts: BTreeMap::new(),
            out: BTreeMap::new(),
        })
    }

    /// Hosts that the node can't reach now.
    pub fn unreached(&self) -> BTreeSet<ServerId> {
        match self {
            Chooser::Module(policy) => policy.unreachable_servers(),
            Chooser::Plain(_) => BTreeSet::new(),
        }
    }

    /// Takes an event in.
    pub fn handle(&mut self, now: Micros, event: Event, truth: Truth, out: &mut Vec<Action>) {
        match self {
            Chooser::Module(policy) => policy.handle(now, event, out),
            Chooser::Plain(plain) => plain.handle(event, truth, out),
        }
    }
}

/// A request that a plain way has sent.
struct Sent {
    class: u16,
    to: ServerId,
    tried: Vec<ServerId>,
    ran: bool,
}

/// A host as a plain way knows it.
#[derive(Default)]
struct Known {
    ready: bool,
    weight: f64,
    held: u32,
}

/// A plain way: a ready host, another one where that failed, nothing ever moves.
pub struct Plain {
    way: Strategy,
    classes: Vec<ClassSettings>,
    rng: Pcg64Mcg,
    name: u64,
    hosts: BTreeMap<ServerId, Known>,
    out: BTreeMap<RequestId, Sent>,
}

impl Plain {
    fn handle(&mut self, event: Event, truth: Truth, out: &mut Vec<Action>) {
        match event {
            Event::EndpointList(EndpointListKind::Failed, _) => out.push(Action::WatchEndpoints),
            Event::EndpointList(kind, entries) => {
                if kind != EndpointListKind::Delta {
                    self.hosts.values_mut().for_each(|host| host.ready = false);
                }
                for entry in entries {
                    let host = self.hosts.entry(entry.id).or_default();
                    (host.ready, host.weight) = (entry.ready(), entry.weight);
                }
            }
            Event::Request(request) => self.send(request.id, request.class, Vec::new(), false, truth, out),
            Event::Ended { id, outcome, closed, .. } => {
                let Some(sent) = self.forget(id) else { return };
                let ran = sent.ran || outcome.may_have_executed();
                let again = self.classes.get(usize::from(sent.class));
                let again = again.is_some_and(|class| class.idempotency == Idempotency::Idempotent);
                if closed {
                } else if outcome == Outcome::Timeout || (ran && !again) {
                    out.push(Action::Fail(id));
                } else {
                    self.send(id, sent.class, sent.tried, ran, truth, out);
                }
            }
            Event::ClientDisconnected(id) => drop(self.forget(id)),
            _ => {}
        }
    }

    fn forget(&mut self, id: RequestId) -> Option<Sent> {
        let sent = self.out.remove(&id)?;
        if let Some(host) = self.hosts.get_mut(&sent.to) {
            host.held = host.held.saturating_sub(1);
        }
        Some(sent)
    }

    fn send(
        &mut self,
        id: RequestId,
        class: u16,
        mut tried: Vec<ServerId>,
        ran: bool,
        truth: Truth,
        out: &mut Vec<Action>,
    ) {
        let to = if tried.len() < ATTEMPTS { self.choose(&tried, truth) } else { None };
        let Some(to) = to else {
            let wait = AGAIN.scale(0.5 + 0.5 * self.rng.random::<f64>());
            return out.push(Action::Reject(id, Some(wait)));
        };
        tried.push(to);
        if let Some(host) = self.hosts.get_mut(&to) {
            host.held += 1;
        }
        self.out.insert(id, Sent { class, to, tried, ran });
        out.push(Action::Forward(id, to, None));
    }

    fn choose(&mut self, tried: &[ServerId], truth: Truth) -> Option<ServerId> {
        let ready = self.hosts.iter().filter(|(id, host)| host.ready && !tried.contains(id));
        let mut ready: Vec<(ServerId, f64)> = ready
            .map(|(id, host)| (*id, f64::from(host.held) / host.weight.max(f64::MIN_POSITIVE)))
            .collect();
        if ready.is_empty() {
            return None;
        }
        let rng = &mut self.rng;
        match self.way {
            Strategy::Random | Strategy::Alderstile => {
                return Some(ready[rng.random_range(0..ready.len())].0);
            }
            Strategy::TwoChoices => ready = [0, 0].map(|_| ready[rng.random_range(0..ready.len())]).to_vec(),
            Strategy::RendezvousSubset => {
                let drawn =
                    |id: ServerId| Pcg64Mcg::seed_from_u64(self.name ^ id.0.rotate_left(32)).random::<u64>();
                ready.sort_by_cached_key(|(id, _)| Reverse(drawn(*id)));
                ready.truncate(SUBSET);
            }
            Strategy::Oracle => ready.iter_mut().for_each(|host| host.1 = truth(host.0)),
            Strategy::LeastConnections => {}
        }
        let least = ready.iter().map(|(_, held)| *held).fold(f64::INFINITY, f64::min);
        // An oracle that sees none that serves sends nothing.
        let ties: Vec<ServerId> =
            ready.iter().filter(|(_, held)| *held == least && held.is_finite()).map(|(id, _)| *id).collect();
        (!ties.is_empty()).then(|| ties[rng.random_range(0..ties.len())])
    }
}
