//! Rejoining after a partition: the dead are probed now and then, as nothing else would find them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use alderstile::types::Micros;

use super::Membership;
use super::peer::Peer;
use super::record::InstanceId;

/// All members together probe an address where nobody answers so many times a period. Where each of 3,000 members probed on
/// its own, a process that came back would have no answers left for anyone else.
const CLUSTER_PROBES_PER_PERIOD: f64 = 3.0;
/// A member that has been dead for so many periods is probed less often.
const LONG_DEAD_PERIODS: f64 = 300.0;
/// How much less often.
const LONG_DEAD_INTERVAL_FACTOR: f64 = 10.0;

/// An address where a member is held dead and nobody is known to be alive.
pub(super) struct DeadAddress {
    /// When this process probed it last.
    probed_at: Micros,
    /// The instance that died there last.
    last_instance: InstanceId,
    died_at: Micros,
}

impl Membership {
    /// Periods between two probes of one address by this member.
    pub(super) fn address_probe_periods(&self) -> f64 {
        self.live_count() as f64 / CLUSTER_PROBES_PER_PERIOD
    }

    /// Time between two probes of one dead peer by this member.
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

    /// Probes one dead peer, if one is due. The one that has waited longest comes first, so that with few members left none
    /// waits for more than all others.
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
