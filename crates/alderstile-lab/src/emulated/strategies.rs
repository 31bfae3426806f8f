//! Load-balancing strategies of emulated nodes: the balancer's own policy, and baselines to compare it with.

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

/// Maximum number of attempts that a baseline makes for a request.
const MAX_ATTEMPTS: usize = 3;
/// Number of hosts in a rendezvous subset.
const SUBSET_SIZE: usize = 20;
/// Longest delay after which a rejected client is told to retry.
const MAX_RETRY_AFTER: Micros = Micros::from_millis(1_000);

/// A load-balancing strategy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum Strategy {
    /// The balancer's own policy
    #[value(name = "module")]
    Alderstile,
    /// A random ready host
    Random,
    /// The ready host with the fewest of the node's own connections relative to its weight
    #[value(name = "least")]
    LeastConnections,
    /// The less loaded of two random hosts (Mitzenmacher 2001)
    #[value(name = "two")]
    TwoChoices,
    /// The least loaded of the node's twenty highest-ranked hosts (rendezvous hashing: Thaler and Ravishankar
    /// 1998)
    #[value(name = "subset")]
    RendezvousSubset,
    /// The host with the most free capacity: a bound for comparison, as no real node knows the hosts' load
    Oracle,
}

impl fmt::Display for Strategy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.to_possible_value().as_ref().map_or("", |value| value.get_name()))
    }
}

/// A strategy and the features it uses in addition to those of the schedule, written as `module+subsets`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StrategySpec {
    /// The strategy.
    pub strategy: Strategy,
    /// Additional features.
    pub features: Vec<Feature>,
}

impl FromStr for StrategySpec {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        let mut names = text.split('+');
        let strategy = Strategy::from_str(names.next().unwrap_or_default(), false)?;
        let features =
            names.map(|name| Feature::from_str(name, false)).collect::<Result<Vec<Feature>, String>>()?;
        if strategy != Strategy::Alderstile && !features.is_empty() {
            return Err("features are supported by the strategy `module` only".to_owned());
        }
        Ok(StrategySpec { strategy, features })
    }
}

impl From<Strategy> for StrategySpec {
    fn from(strategy: Strategy) -> Self {
        StrategySpec { strategy, features: Vec::new() }
    }
}

impl fmt::Display for StrategySpec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.strategy)?;
        let mut names = self.features.iter().filter_map(|feature| feature.to_possible_value());
        names.try_for_each(|feature| write!(f, "+{}", feature.get_name()))
    }
}

/// A function that returns the true load of a host relative to its capacity. Only the oracle uses it.
pub type TrueLoad<'a> = &'a dyn Fn(ServerId) -> f64;

/// The load balancer of one node.
pub enum NodeBalancer {
    /// The balancer's own policy.
    Policy(Box<Policy>),
    /// A baseline strategy.
    Baseline(Baseline),
}

impl NodeBalancer {
    /// Creates the balancer of a node that has just started, and adds its first actions to `actions`.
    pub fn new(
        strategy: Strategy,
        settings: &BalancerSettings,
        seed: u64,
        now: Micros,
        actions: &mut Vec<Action>,
    ) -> Self {
        if strategy == Strategy::Alderstile {
            let mut policy = Policy::new(settings.clone(), seed, now);
            policy.start(actions);
            return NodeBalancer::Policy(Box::new(policy));
        }
        actions.push(Action::WatchEndpoints);
        NodeBalancer::Baseline(Baseline {
            strategy,
            classes: settings.classes.clone(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            subset_seed: seed,
            hosts: BTreeMap::new(),
            requests: BTreeMap::new(),
        })
    }

    /// Returns the hosts that the node considers unreachable. Baselines do not track this.
    pub fn unreachable_hosts(&self) -> BTreeSet<ServerId> {
        match self {
            NodeBalancer::Policy(policy) => policy.unreachable_servers(),
            NodeBalancer::Baseline(_) => BTreeSet::new(),
        }
    }

    /// Handles an event and adds the resulting actions to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, true_load: TrueLoad, actions: &mut Vec<Action>) {
        match self {
            NodeBalancer::Policy(policy) => policy.handle(now, event, actions),
            NodeBalancer::Baseline(baseline) => baseline.handle(event, true_load, actions),
        }
    }
}

/// A request that a baseline has forwarded to a host.
struct ForwardedRequest {
    class: u16,
    host: ServerId,
    tried: Vec<ServerId>,
    /// Whether an attempt may have been executed.
    may_have_executed: bool,
}

/// A baseline's view of a host.
#[derive(Default)]
struct HostView {
    ready: bool,
    weight: f64,
    /// The node's own connections and attempts at the host.
    connections: u32,
}

/// A baseline strategy: it selects a ready host, retries on another host after a failure, and never migrates
/// a client.
pub struct Baseline {
    strategy: Strategy,
    classes: Vec<ClassSettings>,
    rng: Pcg64Mcg,
    subset_seed: u64,
    hosts: BTreeMap<ServerId, HostView>,
    requests: BTreeMap<RequestId, ForwardedRequest>,
}

impl Baseline {
    fn handle(&mut self, event: Event, true_load: TrueLoad, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList(EndpointListKind::Failed, _) => actions.push(Action::WatchEndpoints),
            Event::EndpointList(kind, entries) => {
                if kind != EndpointListKind::Delta {
                    self.hosts.values_mut().for_each(|host| host.ready = false);
                }
                for entry in entries {
                    let host = self.hosts.entry(entry.id).or_default();
                    (host.ready, host.weight) = (entry.ready(), entry.weight);
                }
            }
            Event::Request(request) => {
                self.forward(request.id, request.class, Vec::new(), false, true_load, actions)
            }
            Event::Ended { id, outcome, closed, .. } => {
                let Some(request) = self.remove_request(id) else { return };
                let may_have_executed = request.may_have_executed || outcome.may_have_executed();
                let idempotent = self.classes.get(usize::from(request.class));
                let idempotent = idempotent.is_some_and(|class| class.idempotency == Idempotency::Idempotent);
                if closed {
                } else if outcome == Outcome::Timeout || (may_have_executed && !idempotent) {
                    actions.push(Action::Fail(id));
                } else {
                    self.forward(id, request.class, request.tried, may_have_executed, true_load, actions);
                }
            }
            Event::ClientDisconnected(id) => drop(self.remove_request(id)),
            _ => {}
        }
    }

    fn remove_request(&mut self, id: RequestId) -> Option<ForwardedRequest> {
        let request = self.requests.remove(&id)?;
        if let Some(host) = self.hosts.get_mut(&request.host) {
            host.connections = host.connections.saturating_sub(1);
        }
        Some(request)
    }

    /// Forwards a request to a host that has not been tried, or rejects it.
    fn forward(
        &mut self,
        id: RequestId,
        class: u16,
        mut tried: Vec<ServerId>,
        may_have_executed: bool,
        true_load: TrueLoad,
        actions: &mut Vec<Action>,
    ) {
        let host = if tried.len() < MAX_ATTEMPTS { self.select(&tried, true_load) } else { None };
        let Some(host) = host else {
            let retry_after = MAX_RETRY_AFTER.scale(0.5 + 0.5 * self.rng.random::<f64>());
            return actions.push(Action::Reject(id, Some(retry_after)));
        };
        tried.push(host);
        if let Some(view) = self.hosts.get_mut(&host) {
            view.connections += 1;
        }
        self.requests.insert(id, ForwardedRequest { class, host, tried, may_have_executed });
        actions.push(Action::Forward(id, host, None));
    }

    /// Selects a ready host that has not been tried.
    fn select(&mut self, tried: &[ServerId], true_load: TrueLoad) -> Option<ServerId> {
        let candidates = self.hosts.iter().filter(|(id, host)| host.ready && !tried.contains(id));
        let mut candidates: Vec<(ServerId, f64)> = candidates
            .map(|(id, host)| (*id, f64::from(host.connections) / host.weight.max(f64::MIN_POSITIVE)))
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let rng = &mut self.rng;
        match self.strategy {
            Strategy::Random | Strategy::Alderstile => {
                return Some(candidates[rng.random_range(0..candidates.len())].0);
            }
            Strategy::TwoChoices => {
                candidates = [0, 0].map(|_| candidates[rng.random_range(0..candidates.len())]).to_vec()
            }
            Strategy::RendezvousSubset => {
                let rank = |id: ServerId| {
                    Pcg64Mcg::seed_from_u64(self.subset_seed ^ id.0.rotate_left(32)).random::<u64>()
                };
                candidates.sort_by_cached_key(|(id, _)| Reverse(rank(*id)));
                candidates.truncate(SUBSET_SIZE);
            }
            Strategy::Oracle => candidates.iter_mut().for_each(|host| host.1 = true_load(host.0)),
            Strategy::LeastConnections => {}
        }
        let least = candidates.iter().map(|(_, load)| *load).fold(f64::INFINITY, f64::min);
        // The load of a host that does not accept connections is infinite: if the oracle finds no other, it
        // rejects.
        let ties: Vec<ServerId> = candidates
            .iter()
            .filter(|(_, load)| *load == least && load.is_finite())
            .map(|(id, _)| *id)
            .collect();
        (!ties.is_empty()).then(|| ties[rng.random_range(0..ties.len())])
    }
}
