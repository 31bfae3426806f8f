//! The disturbances of a scale run, one after the other: configuration changes, deaths, the loss of a zone,
//! and a partition between the regions.

use std::collections::BTreeMap;
use std::time::Duration;

use alderstile::types::Micros;
use tokio::time::sleep;
use tracing::info;

use super::{DISTURBANCE_INTERVAL, Snapshot, TestCluster};
use crate::hollow::ObservedChange;

impl TestCluster<'_> {
    /// Changes the configuration digest of some members, as happens when a node loads a changed file, and
    /// measures how long the changes take to reach all nodes.
    pub(super) async fn run_config_changes(&mut self) {
        let phase = "news";
        info!(
            members = self.size.members,
            changes = self.plan.config_changes,
            "configuration changes started"
        );
        self.hollows.take_observations().await;
        let (mut changed, mut changes) = (Vec::new(), BTreeMap::new());
        let from = self.snapshot().await;
        for node in self.ordinary_hollow_nodes(self.plan.config_changes) {
            let digest = 1_000 + node as u64;
            changed.push(node);
            changes.insert(node, (ObservedChange::ConfigDigest(digest), self.network.now()));
            self.hollows.set_config_digest(node, digest).await;
            sleep(DISTURBANCE_INTERVAL).await;
        }
        let observers = self.hollow_alive.clone();
        let (observations, _) = self.wait_until_learned(phase, &observers, &changes, None).await;
        let to = self.snapshot().await;
        self.record_propagation(phase, &changes, &observations);
        self.record_costs(phase, &from, &to);
    }

    /// Kills some members, one after the other, and starts them again.
    pub(super) async fn run_deaths(&mut self) {
        info!(members = self.size.members, deaths = self.plan.deaths, "member deaths started");
        self.hollows.take_observations().await;
        let mut changes = BTreeMap::new();
        let from = self.snapshot().await;
        for node in self.ordinary_hollow_nodes(self.plan.deaths) {
            changes.insert(node, (ObservedChange::Died, self.network.now()));
            self.hollows.kill(node);
            self.hollow_alive.remove(&node);
            sleep(DISTURBANCE_INTERVAL).await;
        }
        self.record_loss_and_return("death", "start", changes, from).await;
    }

    /// Kills all hollow members of the last zone at the same time, and starts them again.
    pub(super) async fn run_zone_loss(&mut self) {
        let last = self.plan.zones - 1;
        let lost: Vec<usize> =
            self.hollow_alive.iter().filter(|n| self.plan.zone_of(**n) == last).copied().collect();
        info!(members = self.size.members, lost = lost.len(), "zone loss started");
        self.hollows.take_observations().await;
        let from = self.snapshot().await;
        let at = self.network.now();
        let mut changes = BTreeMap::new();
        for node in lost {
            changes.insert(node, (ObservedChange::Died, at));
            self.hollows.kill(node);
            self.hollow_alive.remove(&node);
        }
        self.record_loss_and_return("zone lost", "zone back", changes, from).await;
    }

    /// Waits until all nodes have learned the deaths, starts the members again, and waits until all nodes
    /// list them.
    ///
    /// `lost` and `back` are the names of the two phases; `from` is the snapshot before the first death.
    async fn record_loss_and_return(
        &mut self,
        lost: &str,
        back: &str,
        changes: BTreeMap<usize, (ObservedChange, Micros)>,
        from: Snapshot,
    ) {
        let (observers, remaining) = (self.hollow_alive.clone(), self.size.members - changes.len());
        let start = changes.values().map(|(_, at)| *at).fold(Micros(0), Micros::max);
        let (observations, real) = self.wait_until_learned(lost, &observers, &changes, Some(remaining)).await;
        let to = self.snapshot().await;
        self.record_propagation(lost, &changes, &observations);
        self.record_real_delays(lost, "a real node counts right after (s)", start, &real);
        self.record_costs(lost, &from, &to);
        let at = self.network.now();
        let joined: BTreeMap<usize, (ObservedChange, Micros)> =
            changes.keys().map(|node| (*node, (ObservedChange::Joined, at))).collect();
        for node in changes.keys() {
            self.hollows.start(self.specs[*node].clone());
        }
        let (observations, real) =
            self.wait_until_learned(back, &observers, &joined, Some(self.size.members)).await;
        self.hollow_alive.extend(changes.keys());
        self.record_propagation(back, &joined, &observations);
        self.record_real_delays(back, "a real node counts right after (s)", at, &real);
        let after = self.snapshot().await;
        self.record_costs(back, &to, &after);
        self.wait_for_member_count(back, at, self.size.members).await;
    }

    /// Partitions the two regions, then heals the partition and waits until all nodes list each other.
    pub(super) async fn run_partition(&mut self) {
        let phase = "regions parted";
        info!(members = self.size.members, partition_s = self.plan.partition_s, "region partition started");
        self.hollows.take_observations().await;
        let from = self.snapshot().await;
        let at = self.network.now();
        self.network.set_partitioned(true);
        sleep(Duration::from_secs_f64(self.plan.partition_s)).await;
        let observations = self.hollows.take_observations().await;
        let mut death_delays: BTreeMap<(usize, usize), f64> = BTreeMap::new();
        for seen in observations.iter().filter(|seen| seen.change == ObservedChange::Died) {
            if self.plan.region_of(seen.observer) != self.plan.region_of(seen.subject) {
                death_delays.insert((seen.observer, seen.subject), (seen.at - at).as_secs_f64());
            }
        }
        let alive_in_region =
            |region| self.hollow_alive.iter().filter(|n| self.plan.region_of(**n) == region).count();
        let members_in_region =
            |region| (0..self.size.members).filter(|n| self.plan.region_of(*n) == region).count();
        let pairs = alive_in_region(0) * members_in_region(1) + alive_in_region(1) * members_in_region(0);
        let delays: Vec<f64> = death_delays.values().copied().collect();
        let false_deaths = observations.iter().filter(|seen| seen.change == ObservedChange::Died);
        let false_deaths = false_deaths
            .filter(|s| self.plan.region_of(s.observer) == self.plan.region_of(s.subject))
            .count();
        self.record_values(phase, "one of the other side is held dead after (s)", &delays);
        self.record(
            phase,
            "pairs that still held each other alive",
            pairs.saturating_sub(delays.len()) as f64,
        );
        self.record(phase, "held dead though well on the same side (pairs)", false_deaths as f64);
        let to = self.snapshot().await;
        self.record_costs(phase, &from, &to);
        let phase = "regions joined";
        let at = self.network.now();
        self.network.set_partitioned(false);
        self.wait_for_member_count(phase, at, self.size.members).await;
        let after = self.snapshot().await;
        self.record_costs(phase, &to, &after);
    }
}
