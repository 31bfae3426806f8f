//! The table of peers, with indexes by state, address and name.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use alderstile::types::Micros;

use super::peer::{FinalProbe, MemberState, Peer};
use super::record::{InstanceId, MemberRecord};

/// All remembered peers. Only the methods of this type change a peer's state, which keeps the indexes
/// consistent.
#[derive(Default)]
pub(super) struct PeerTable {
    peers: BTreeMap<InstanceId, Peer>,
    suspects: BTreeSet<InstanceId>,
    dead: BTreeSet<InstanceId>,
    live_by_address: BTreeMap<SocketAddr, BTreeSet<InstanceId>>,
    /// All remembered instances of each name.
    by_name: BTreeMap<Box<str>, Vec<InstanceId>>,
    live: usize,
}

impl PeerTable {
    pub fn get(&self, instance: InstanceId) -> Option<&Peer> {
        self.peers.get(&instance)
    }

    /// Returns a peer for changes of any field except state, name and address.
    pub fn get_mut(&mut self, instance: InstanceId) -> Option<&mut Peer> {
        self.peers.get_mut(&instance)
    }

    /// Returns all peers in instance order.
    pub fn iter(&self) -> impl Iterator<Item = (InstanceId, &Peer)> {
        self.peers.iter().map(|(instance, peer)| (*instance, peer))
    }

    /// Returns the peers from an instance on, in instance order.
    pub fn starting_at(&self, first: InstanceId) -> impl Iterator<Item = &Peer> {
        self.peers.range(first..).map(|(_, peer)| peer)
    }

    /// Returns the peers below an instance, in instance order.
    pub fn below(&self, end: InstanceId) -> impl Iterator<Item = &Peer> {
        self.peers.range(..end).map(|(_, peer)| peer)
    }

    pub fn is_live(&self, instance: InstanceId) -> bool {
        self.get(instance).is_some_and(|peer| peer.state.is_live())
    }

    /// Returns the number of alive and suspected peers.
    pub fn live_count(&self) -> usize {
        self.live
    }

    pub fn suspects(&self) -> &BTreeSet<InstanceId> {
        &self.suspects
    }

    pub fn dead(&self) -> &BTreeSet<InstanceId> {
        &self.dead
    }

    pub fn has_live_at(&self, address: SocketAddr) -> bool {
        self.live_by_address.contains_key(&address)
    }

    pub fn live_at(&self, address: SocketAddr) -> impl Iterator<Item = InstanceId> {
        self.live_by_address.get(&address).into_iter().flatten().copied()
    }

    pub fn with_name(&self, name: &str) -> impl Iterator<Item = &Peer> {
        self.by_name.get(name).into_iter().flatten().filter_map(|instance| self.peers.get(instance))
    }

    pub fn insert_alive(&mut self, record: MemberRecord, now: Micros) {
        let instance = record.instance;
        self.by_name.entry(record.name.clone()).or_default().push(instance);
        self.add_address(instance, record.address);
        self.peers.insert(instance, Peer::new(record, now));
        self.live += 1;
    }

    /// Marks a peer as alive with this record, and returns its previous state. The peer must not have left.
    pub fn mark_alive(&mut self, record: MemberRecord, now: Micros) -> Option<MemberState> {
        let (instance, new_address) = (record.instance, record.address);
        let peer = self.peers.get_mut(&instance)?;
        let old_address = std::mem::replace(&mut peer.record, record).address;
        let before = std::mem::replace(&mut peer.state, MemberState::Alive);
        peer.state_since = now;
        peer.reporters.clear();
        peer.final_probe = FinalProbe::ByOthers;
        self.live += usize::from(before == MemberState::Dead);
        self.suspects.remove(&instance);
        self.dead.remove(&instance);
        self.remove_address(instance, old_address);
        self.add_address(instance, new_address);
        Some(before)
    }

    pub fn mark_suspect(&mut self, instance: InstanceId, incarnation: u64, now: Micros) -> Option<&mut Peer> {
        let peer = self.peers.get_mut(&instance)?;
        (peer.state, peer.state_since) = (MemberState::Suspect, now);
        peer.record.incarnation = incarnation;
        self.suspects.insert(instance);
        Some(peer)
    }

    pub fn mark_dead(&mut self, instance: InstanceId, incarnation: u64, now: Micros) {
        self.mark_dead_or_left(instance, incarnation, MemberState::Dead, now);
        self.dead.insert(instance);
    }

    pub fn mark_left(&mut self, instance: InstanceId, incarnation: u64, now: Micros) {
        self.mark_dead_or_left(instance, incarnation, MemberState::Left, now);
        self.dead.remove(&instance);
    }

    fn mark_dead_or_left(&mut self, instance: InstanceId, incarnation: u64, state: MemberState, now: Micros) {
        let Some(peer) = self.peers.get_mut(&instance) else { return };
        self.live -= usize::from(peer.state.is_live());
        (peer.state, peer.state_since) = (state, now);
        peer.record.incarnation = incarnation;
        peer.reporters.clear();
        let address = peer.record.address;
        self.remove_address(instance, address);
        self.suspects.remove(&instance);
    }

    /// Returns the peers that died or left before `cutoff`.
    pub fn dead_or_left_before(&self, cutoff: Micros) -> Vec<InstanceId> {
        let expired = self.iter().filter(|(_, peer)| !peer.state.is_live() && peer.state_since < cutoff);
        expired.map(|(instance, _)| instance).collect()
    }

    /// Removes a peer that is dead or has left.
    pub fn remove(&mut self, instance: InstanceId) {
        self.dead.remove(&instance);
        let Some(peer) = self.peers.remove(&instance) else { return };
        let Some(instances) = self.by_name.get_mut(&peer.record.name) else { return };
        instances.retain(|other| *other != instance);
        if instances.is_empty() {
            self.by_name.remove(&peer.record.name);
        }
    }

    fn add_address(&mut self, instance: InstanceId, address: SocketAddr) {
        self.live_by_address.entry(address).or_default().insert(instance);
    }

    fn remove_address(&mut self, instance: InstanceId, address: SocketAddr) {
        let Some(instances) = self.live_by_address.get_mut(&address) else { return };
        instances.remove(&instance);
        if instances.is_empty() {
            self.live_by_address.remove(&address);
        }
    }
}
