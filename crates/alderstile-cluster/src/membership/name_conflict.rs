//! Name conflicts: two live instances at different addresses use the same name.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::Membership;
use super::effect::MembershipChange;
use super::record::InstanceId;

impl Membership {
    /// Reports whether a conflict about this peer's name has begun or ended. Neither instance takes
    /// precedence.
    pub(super) fn check_name_conflict(&mut self, instance: InstanceId) {
        let Some(name) = self.peers.get(instance).map(|peer| peer.record.name.clone()) else { return };
        if self.live_addresses_of(&name).len() > 1 {
            if self.name_conflicts.insert(name.clone()) {
                self.report(MembershipChange::NameConflict(name));
            }
        } else if self.name_conflicts.remove(&name) {
            self.report(MembershipChange::NameConflictResolved(name));
        }
    }

    fn live_addresses_of(&self, name: &str) -> BTreeSet<SocketAddr> {
        let live = self.peers.with_name(name).filter(|peer| peer.state.is_live());
        let mut addresses: BTreeSet<SocketAddr> = live.map(|peer| peer.record.address).collect();
        if name == &*self.local.name {
            addresses.insert(self.local.address);
        }
        addresses
    }
}
