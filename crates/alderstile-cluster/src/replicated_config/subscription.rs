//! Distribution of versions to the members that are not voters: a tree over a common order of the members,
//! with subscriptions sent up and announcements sent down.
//!
//! The first members subscribe to the voters in turn, the next ones to those members, and so on. A node that
//! receives nothing new from its upstream switches to another one, and later returns to the tree.

use std::net::SocketAddr;

use alderstile::types::Micros;
use rand::RngExt;

use super::ReplicatedConfig;
use super::effect::Effect;
use super::message::{Announcement, Message};
use super::raft::Role;

/// Time without a newer announcement, in heartbeats, after which a node switches upstreams. Tolerates one lost
/// announcement.
const UPSTREAM_TIMEOUT_HEARTBEATS: f64 = 2.5;
/// Interval between renewals of a subscription, in heartbeats.
const RENEWAL_HEARTBEATS: f64 = 2.0;
/// Number of renewal intervals after which a subscription that was not renewed expires, as its node may be
/// gone.
const SUBSCRIPTION_LIFETIME_RENEWALS: f64 = 3.0;
/// Width of the renewal jitter, as a fraction of the interval, so that subscribers do not renew
/// simultaneously.
const RENEWAL_JITTER: f64 = 0.2;
/// Minimum time between two renewals, in heartbeats.
const MIN_RENEWAL_HEARTBEATS: f64 = 0.2;
/// Time after which a node returns to its upstream in the tree, in heartbeats. This keeps the load balanced.
const TREE_RETURN_HEARTBEATS: f64 = 60.0;
/// Number of upstreams that are tried in turn: the one in the tree, a random earlier member, the one in the
/// tree again, a random voter.
const ATTEMPT_CYCLE: u32 = 4;
/// Upper bound on valid clock readings. This program's clocks start far below it.
const MAX_CLOCK_US: u64 = 1 << 63;

/// A node that receives announcements.
pub(super) struct Subscriber {
    /// Reading of its clock when it subscribed.
    clock_us: u64,
    received_at: Micros,
}

/// The upstream that this node subscribes to.
pub(super) struct Upstream {
    /// The members that are not voters, in the order that all nodes share.
    members: Vec<SocketAddr>,
    /// This node's position among the members.
    position: Option<usize>,
    current: Option<SocketAddr>,
    /// Number of upstream changes since the upstream in the tree was first chosen.
    attempt: u32,
    attempt_at: Micros,
    /// When the current upstream last sent a newer announcement.
    last_update_at: Micros,
    subscribe_at: Micros,
}

impl Upstream {
    pub fn new(now: Micros, subscribe_at: Micros) -> Self {
        Upstream {
            members: Vec::new(),
            position: None,
            current: None,
            attempt: 0,
            attempt_at: now,
            last_update_at: now,
            subscribe_at,
        }
    }

    /// Returns when the subscription is due for renewal.
    pub fn subscribe_at(&self) -> Micros {
        self.subscribe_at
    }
}

impl ReplicatedConfig {
    /// Sets the members that are not voters, in the order that all nodes share, and this node's position
    /// among them.
    pub fn set_members(&mut self, members: Vec<SocketAddr>, position: Option<usize>) {
        if (&self.upstream.members, self.upstream.position) == (&members, position) {
            return;
        }
        (self.upstream.members, self.upstream.position) = (members, position);
        let current = self.upstream.current;
        if self.upstream.attempt == 0 && current.is_some() && current != self.tree_upstream() {
            self.upstream.current = None;
            self.upstream.subscribe_at = self.now;
        }
    }

    /// Returns this node's upstream in the tree.
    fn tree_upstream(&self) -> Option<SocketAddr> {
        let (position, voters) = (self.upstream.position?, self.settings.voters.len());
        let fanout = self.settings.fanout.max(1);
        if position < voters * fanout {
            self.settings.voters.get(position % voters).copied()
        } else {
            self.upstream.members.get((position - voters * fanout) / fanout).copied()
        }
    }

    fn random_voter(&mut self) -> Option<SocketAddr> {
        let own_index = self.settings.local_voter.map(usize::from);
        let others: Vec<usize> =
            (0..self.settings.voters.len()).filter(|voter| Some(*voter) != own_index).collect();
        if others.is_empty() {
            return None;
        }
        let voter = others[self.rng.random_range(0..others.len())];
        self.settings.voters.get(voter).copied()
    }

    fn choose_upstream(&mut self) -> Option<SocketAddr> {
        match (self.upstream.attempt % ATTEMPT_CYCLE, self.upstream.position) {
            (0 | 2, Some(_)) => self.tree_upstream(),
            (1, Some(position)) if position > 0 => {
                let earlier = self.rng.random_range(0..position);
                self.upstream.members.get(earlier).copied()
            }
            _ => self.random_voter(),
        }
    }

    /// Renews the subscription, switching upstreams if that is due.
    pub(super) fn subscribe(&mut self, effects: &mut Vec<Effect>) {
        self.drop_upstream_if_due();
        if self.upstream.current.is_none() {
            self.upstream.current = self.choose_upstream();
            self.upstream.last_update_at = self.now;
        }
        if let Some(to) = self.upstream.current {
            let (clock_us, active_version) = (self.clock_us(), self.active_version());
            self.send(effects, to, &Message::Subscribe { clock_us, active_version });
        }
        self.schedule_renewal();
    }

    fn drop_upstream_if_due(&mut self) {
        let timeout = self.heartbeats(UPSTREAM_TIMEOUT_HEARTBEATS);
        let return_after = self.heartbeats(TREE_RETURN_HEARTBEATS);
        let (now, upstream) = (self.now, &mut self.upstream);
        if upstream.current.is_some() && upstream.last_update_at + timeout <= now {
            upstream.attempt += 1;
            (upstream.current, upstream.attempt_at, upstream.last_update_at) = (None, now, now);
        } else if !upstream.attempt.is_multiple_of(ATTEMPT_CYCLE) && upstream.attempt_at + return_after <= now
        {
            (upstream.attempt, upstream.current, upstream.attempt_at) = (0, None, now);
        }
    }

    /// Schedules the next renewal early enough to receive an announcement from another upstream before the
    /// lease expires.
    fn schedule_renewal(&mut self) {
        let fraction = self.rng.random::<f64>();
        let jitter = (1.0 - RENEWAL_JITTER / 2.0) + RENEWAL_JITTER * fraction;
        let renewal = self.now + self.heartbeats(RENEWAL_HEARTBEATS * jitter);
        let timeout_at = self.upstream.last_update_at + self.heartbeats(UPSTREAM_TIMEOUT_HEARTBEATS);
        let earliest = self.now + self.heartbeats(MIN_RENEWAL_HEARTBEATS);
        self.upstream.subscribe_at = renewal.min(timeout_at).max(earliest);
    }

    pub(super) fn handle_subscribe(&mut self, from: SocketAddr, clock_us: u64, effects: &mut Vec<Effect>) {
        // Up to twice the tree's fanout, to serve nodes that lost their upstream. A leader also sends to the
        // voters and accepts only the fanout.
        let max_subscribers = if self.role() == Some(Role::Leader) { 1 } else { 2 } * self.settings.fanout;
        let has_capacity = self.subscribers.len() < max_subscribers || self.subscribers.contains_key(&from);
        if !has_capacity || clock_us >= MAX_CLOCK_US {
            return;
        }
        let subscriber = Subscriber { clock_us, received_at: self.now };
        if self.documents.contains(self.committed.header.digest) {
            let announcement = self.announcement_for(&subscriber);
            self.send(effects, from, &Message::Announce(announcement));
        }
        self.subscribers.insert(from, subscriber);
    }

    /// Announces the latest version to all subscribers.
    pub(super) fn announce_to_subscribers(&mut self, effects: &mut Vec<Effect>) {
        let (now, lifetime) =
            (self.now, self.heartbeats(SUBSCRIPTION_LIFETIME_RENEWALS * RENEWAL_HEARTBEATS));
        self.subscribers.retain(|_, subscriber| now < subscriber.received_at + lifetime);
        let announcements: Vec<(SocketAddr, Announcement)> = self
            .subscribers
            .iter()
            .map(|(to, subscriber)| (*to, self.announcement_for(subscriber)))
            .collect();
        for (to, announcement) in announcements {
            self.send(effects, to, &Message::Announce(announcement));
        }
    }

    fn announcement_for(&self, subscriber: &Subscriber) -> Announcement {
        // The subscriber read its clock before this node received the reading, so the result is never too
        // late.
        let latest_at_us = self.committed.latest_at.map_or(0, |latest_at| {
            subscriber.clock_us.saturating_add(latest_at.0).saturating_sub(subscriber.received_at.0)
        });
        let commit_age_us = self.commit_age().unwrap_or_default().0;
        Announcement { header: self.committed.header, commit_age_us, latest_at_us }
    }

    pub(super) fn handle_announcement(
        &mut self,
        from: SocketAddr,
        announcement: Announcement,
        effects: &mut Vec<Effect>,
    ) {
        let latest_at = self.echoed_time(announcement.latest_at_us);
        let announced = (announcement.header.position.version, latest_at);
        let known = (self.committed_version(), self.committed.latest_at);
        if Some(from) == self.upstream.current && announced > known {
            self.upstream.last_update_at = self.now;
        }
        self.record_announced(announcement, effects);
        self.fetch_committed(effects, from);
    }
}
