//! Selection: the server on which a connection is placed.
//!
//! Runs for each attempt. The candidates are the servers to which the connection may go now, and
//! the one with the lowest [`Rank`] is selected. In the common case, this is the server with the
//! lowest load in this node's own record.

use rand::RngExt;

use crate::types::{GroupId, Micros};

use super::Policy;
use super::connection::Connection;
use super::group_placement::{min_initial_hash, rendezvous_hash};
use super::probe::HIGH_LOAD_RATIO;
use super::rebalance::OVERLOAD_THRESHOLD;
use super::server::ServerIndex;

/// Interval at which each server should receive a setup, from whichever node, if delays are derived
/// from setups.
const SETUP_INTERVAL: Micros = Micros::from_millis(2_000);

/// Returns a sort key for weighted random selection. Among servers with independent uniform hashes,
/// each has the lowest key with a probability proportional to its weight (exponential variates).
fn weighted_tie_breaker(hash: u64, weight: f64) -> f64 {
    -((hash as f64 + 1.0) / (u64::MAX as f64 + 2.0)).ln() / weight
}

/// Rank of a server for a connection; the lowest is best. Fields are compared in their order.
#[derive(PartialEq, PartialOrd)]
struct Rank {
    /// An earlier attempt of this request was sent to the server.
    already_attempted: bool,
    ejected: bool,
    /// The server recently reported a high ratio of load to capacity.
    has_high_load_ratio: bool,
    /// The connection's group is not on the server, or has no capacity to grow there.
    outside_group: bool,
    /// The server is not due for a setup that would show its delay.
    setup_not_due: bool,
    /// Load per unit of effective weight, see [`Selection::load_per_weight`].
    load_per_weight: f64,
    /// Among equals, a warming-up server is preferred: its tokens limit its load, while a warm
    /// server without connections of this node is filled by other nodes.
    warm: bool,
    /// The server has not reported its load ratio recently.
    unreported: bool,
    weighted_tie_breaker: f64,
}

/// Values shared by the ranks of one selection.
pub(super) struct Selection<'a> {
    pub(super) policy: &'a Policy,
    pub(super) now: Micros,
    pub(super) connection: &'a Connection,
    /// The connection's group or, without one, a random value. Its hashes break ties.
    pub(super) hash_key: GroupId,
    /// Minimum hash of the servers on which the group may start.
    pub(super) min_initial_hash: u64,
    pub(super) mean_load: f64,
    pub(super) mean_connections: f64,
    pub(super) typical_load: f64,
    pub(super) group_load_share: f64,
}

impl Policy {
    /// Returns the server on which a connection is placed; `None` if there is no candidate. Draws
    /// the random number that breaks ties for connections without a group.
    pub(super) fn select_server(&mut self, now: Micros, connection: &Connection) -> Option<ServerIndex> {
        let random_key = GroupId(self.rng.random());
        let selection = Selection::new(self, now, connection, random_key);
        let candidates = (0..self.servers.len()).filter(|&index| selection.is_candidate(index));
        let ranked = candidates.map(|index| (selection.rank(index), index));
        let lowest = ranked.reduce(|best, next| if next.0 < best.0 { next } else { best });
        lowest.map(|(_, index)| index)
    }

    /// Returns whether a request may be sent to a server now. Considers the state of the server and
    /// the possible effects of earlier attempts, but not the load.
    fn is_eligible(&self, now: Micros, index: ServerIndex, connection: &Connection) -> bool {
        let server = &self.servers[index];
        let awaits_trial_setup = server.outlier.connect_failed && !server.load.connections.is_empty();
        let awaits_token = !self.is_warm(now, index) && server.slow_start.is_empty();
        self.is_available(now, index)
            && !server.outlier.is_excluded(now)
            && !awaits_trial_setup
            && !awaits_token
            && self.may_retry_at(now, index, connection)
    }

    /// Returns the interval after which this node is due to make another attempt at a server. It is
    /// longer with more nodes, because any node's attempt counts.
    pub(super) fn setup_interval(&self) -> Micros {
        SETUP_INTERVAL.scale(f64::from(self.settings.node_count))
    }

    /// Returns whether a warm server is due for a setup that shows whether it is slow. Applies
    /// where servers do not report delays, and only up to the overload threshold.
    fn is_setup_due(&self, now: Micros, index: ServerIndex, mean_load: f64) -> bool {
        let server = &self.servers[index];
        let unconfirmed = server.delay.is_some_and(|delay| delay.unconfirmed);
        let due = unconfirmed || now > server.last_attempt_at + self.setup_interval();
        let fair_load = OVERLOAD_THRESHOLD * mean_load * self.effective_weight(index);
        !self.settings.servers_report_delay
            && due
            && self.is_warm(now, index)
            && self.recorded_load(index) <= fair_load
    }
}

impl<'a> Selection<'a> {
    fn new(policy: &'a Policy, now: Micros, connection: &'a Connection, random_key: GroupId) -> Self {
        let hash_key = connection.request.group.unwrap_or(random_key);
        Selection {
            policy,
            now,
            connection,
            hash_key,
            min_initial_hash: min_initial_hash(policy, now, hash_key),
            mean_load: policy.mean_load(now),
            mean_connections: policy.mean_connections(now),
            typical_load: policy.typical_load(),
            group_load_share: policy.group_load_share(),
        }
    }

    /// Returns whether a server is a candidate. A server with a high delay is not: new connections
    /// would also be delayed and would keep the delay high.
    fn is_candidate(&self, index: ServerIndex) -> bool {
        self.policy.is_eligible(self.now, index, self.connection)
            && !self.policy.has_high_delay(self.now, index)
            && self.policy.has_capacity(index, self.connection)
            && self.allows_group(index)
    }

    fn rank(&self, index: ServerIndex) -> Rank {
        let (policy, now) = (self.policy, self.now);
        let load_ratio = policy.fresh_load_ratio(now, index);
        Rank {
            already_attempted: self.connection.attempted_servers.contains(&index),
            ejected: policy.servers[index].outlier.is_ejected(now),
            has_high_load_ratio: load_ratio.is_some_and(|ratio| ratio > HIGH_LOAD_RATIO),
            outside_group: !self.may_join_group(index),
            setup_not_due: !policy.is_setup_due(now, index, self.mean_load),
            load_per_weight: self.load_per_weight(index),
            warm: policy.is_warm(now, index),
            unreported: self.connection.request.group.is_none() && load_ratio.is_none(),
            weighted_tie_breaker: weighted_tie_breaker(self.hash(index), policy.weight(index)),
        }
    }

    pub(super) fn hash(&self, index: ServerIndex) -> u64 {
        rendezvous_hash(self.hash_key, self.policy.servers[index].endpoint.id)
    }

    /// Returns the load of a server per unit of effective weight, including the group's work if the
    /// group would start there.
    ///
    /// A load is added to that of a warming-up server. The added load decreases from the mean load
    /// at the start to zero at the end of the warm-up. It is rounded at random to whole connections,
    /// because recorded loads consist of whole connections. A fraction of a connection would rank
    /// the server behind every server without connections, and with many nodes nearly all servers
    /// have none.
    fn load_per_weight(&self, index: ServerIndex) -> f64 {
        let begins_group = self.connection.request.group.is_some() && !self.has_group(index);
        let group_load = if begins_group { self.group_load_share } else { 0.0 };
        let load = self.policy.recorded_load(index) + group_load;
        let missing_warm_up = 1.0 - self.policy.local_warm_up_fraction(self.now, index);
        let missing_connections = self.mean_connections * missing_warm_up;
        let chance = f64::from(self.hash(index) as u32) / f64::from(u32::MAX);
        load / self.policy.effective_weight(index)
            + self.typical_load * (missing_connections + chance).floor()
    }
}
