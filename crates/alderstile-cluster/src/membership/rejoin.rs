//! Rejoining after a partition: dead members are probed from time to time, because nothing else would detect
//! that they are reachable again.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use alderstile::types::Micros;

use super::Membership;
use super::peer::Peer;
use super::record::InstanceId;

/// The number of probes per period that all members together send to an address without a live member. If
/// each of 3,000 members probed independently, a process that recovers would spend its datagram limit on
/// replies to them.
const CLUSTER_PROBES_PER_PERIOD: f64 = 3.0;
/// The number of periods after which a dead member is probed less often.
const LONG_DEAD_PERIODS: f64 = 300.0;
/// The factor by which the interval between probes then grows.
const LONG_DEAD_INTERVAL_FACTOR: f64 = 10.0;

/// An address with dead members and without a live one.
pub(super) struct DeadAddress {
    /// When this process last probed the address.
    probed_at: Micros,
    /// The instance that died last at the address.
    last_instance: InstanceId,
    died_at: Micros,
}

impl Membership {
    /// Returns the number of periods between two probes of an address by this member.
    pub(super) fn address_probe_periods(&self) -> f64 {
        self.live_count() as f64 / CLUSTER_PROBES_PER_PERIOD
    }

    /// Returns the time between two probes of a dead peer by this member.
    pub(super) fn rejoin_probe_interval(&self) -> Micros {
        self.config.period.scale(self.address_probe_periods().max(1.0))
    }

    pub(super) fn dead_addresses(&self) -> BTreeMap<SocketAddr, DeadAddress> {
        let mut addresses: BTreeMap<SocketAddr, DeadAddress> = BTreeMap::new();
        let dead =
            self.peers.dead().iter().filter_map(|instance| Some((*instance, self.peers.get(*instance)?)));
        for (instance, peer) in dead {
            if self.peers.has_live_at(peer.record.address) {
                continue;
            }
            let entry = addresses.entry(peer.record.address);
            entry
                .and_modify(|address| address.merge(instance, peer))
                .or_insert_with(|| DeadAddress::new(instance, peer));
        }
        addresses
    }

    /// Probes one dead peer if a probe is due. The longest overdue one comes first, so that with few live
    /// members all dead peers are probed in turn.
    pub(super) fn probe_dead_peer(&mut self) {
        let due = self
            .dead_addresses()
            .into_values()
            .map(|address| (address.probed_at + self.dead_address_interval(&address), address.last_instance));
        let Some((_, target)) = due.min().filter(|(due, _)| *due <= self.now) else { return };
        if let Some(peer) = self.peers.get_mut(target) {
            peer.rejoin_probed_at = self.now;
        }
        let nonce = self.new_nonce();
        self.ping(target, nonce);
    }

    fn dead_address_interval(&self, address: &DeadAddress) -> Micros {
        let died_recently = address.died_at + self.config.period.scale(LONG_DEAD_PERIODS) > self.now;
        let factor = if died_recently { 1.0 } else { LONG_DEAD_INTERVAL_FACTOR };
        self.config.period.scale((self.address_probe_periods() * factor).max(1.0))
    }
}

impl DeadAddress {
    fn new(instance: InstanceId, peer: &Peer) -> Self {
        DeadAddress { probed_at: peer.rejoin_probed_at, last_instance: instance, died_at: peer.state_since }
    }

    fn merge(&mut self, instance: InstanceId, peer: &Peer) {
        self.probed_at = self.probed_at.max(peer.rejoin_probed_at);
        if self.died_at < peer.state_since {
            (self.last_instance, self.died_at) = (instance, peer.state_since);
        }
    }
}
