//! How versions spread to the members that are no voters: a tree over their common order, subscribed to upwards and announced downwards.
//!
//! The first members subscribe to the voters in turn, the next ones to them, and so on. Who hears nothing new from its upstream takes
//! another one and comes back to the tree later.

use std::net::SocketAddr;

use alderstile::types::Micros;
use rand::RngExt;

use super::ReplicatedConfig;
use super::effect::Effect;
use super::message::{Announcement, Message};
use super::raft::Role;

/// Without news for so many heartbeats a node takes another upstream: one lost announcement is not yet a reason.
const UPSTREAM_TIMEOUT_HEARTBEATS: f64 = 2.5;
/// A subscription is renewed this often, in heartbeats.
const RENEWAL_HEARTBEATS: f64 = 2.0;
/// A subscription that was not renewed for so many intervals ends: its node may be gone.
const SUBSCRIPTION_RENEWALS: f64 = 3.0;
/// A renewal comes within this part of its interval around it, so that subscribers don't ask all together.
const RENEWAL_JITTER: f64 = 0.2;
/// No sooner than this, in heartbeats, after the one before.
const LEAST_RENEWAL_HEARTBEATS: f64 = 0.2;
/// After so many heartbeats a node goes back to the upstream that the tree names, which balances the load.
const RETURN_HEARTBEATS: f64 = 60.0;
/// Upstreams that are tried in turn: the tree's, one above in the order, the tree's again, a voter.
const ATTEMPT_CYCLE: u32 = 4;
/// Clocks of this program begin far below this.
const MAX_CLOCK_US: u64 = 1 << 63;

/// A node that is sent announcements.
pub(super) struct Subscriber {
    /// Its clock when it subscribed.
    clock_us: u64,
    received_at: Micros,
}

/// Whom this node subscribes to.
pub(super) struct Upstream {
    /// The members that are no voters, in the order that all of them share.
    members: Vec<SocketAddr>,
    /// This node's place in it.
    place: Option<usize>,
    current: Option<SocketAddr>,
    /// How often the upstream was changed since the tree's one was first taken.
    attempt: u32,
    attempt_at: Micros,
    /// When the current one last had news.
    news_at: Micros,
    subscribe_at: Micros,
}

impl Upstream {
    pub fn new(now: Micros, subscribe_at: Micros) -> Self {
        Upstream {
            members: Vec::new(),
            place: None,
            current: None,
            attempt: 0,
            attempt_at: now,
            news_at: now,
            subscribe_at,
        }
    }

    /// When the subscription is to be renewed.
    pub fn subscribe_at(&self) -> Micros {
        self.subscribe_at
    }
}

impl ReplicatedConfig {
    /// The members that are no voters, in the order that all nodes share, and this node's place among them.
    pub fn set_members(&mut self, members: Vec<SocketAddr>, place: Option<usize>) {
        if (&self.upstream.members, self.upstream.place) == (&members, place) {
            return;
        }
        (self.upstream.members, self.upstream.place) = (members, place);
        let current = self.upstream.current;
        if self.upstream.attempt == 0 && current.is_some() && current != self.tree_upstream() {
            self.upstream.current = None;
            self.upstream.subscribe_at = self.now;
        }
    }

    /// The upstream that the tree names.
    fn tree_upstream(&self) -> Option<SocketAddr> {
        let (place, voters) = (self.upstream.place?, self.settings.voters.len());
        let fanout = self.settings.fanout.max(1);
        if place < voters * fanout {
            self.settings.voters.get(place % voters).copied()
        } else {
            self.upstream.members.get((place - voters * fanout) / fanout).copied()
        }
    }

    fn draw_voter(&mut self) -> Option<SocketAddr> {
        let me = self.settings.local_voter.map(usize::from);
        let others: Vec<usize> = (0..self.settings.voters.len()).filter(|voter| Some(*voter) != me).collect();
        if others.is_empty() {
            return None;
        }
        let voter = others[self.rng.random_range(0..others.len())];
        self.settings.voters.get(voter).copied()
    }

    fn choose_upstream(&mut self) -> Option<SocketAddr> {
        match (self.upstream.attempt % ATTEMPT_CYCLE, self.upstream.place) {
            (0 | 2, Some(_)) => self.tree_upstream(),
            (1, Some(place)) if place > 0 => {
                let above = self.rng.random_range(0..place);
                self.upstream.members.get(above).copied()
            }
            _ => self.draw_voter(),
        }
    }

    /// Renews the subscription, at another upstream where that is due.
    pub(super) fn subscribe(&mut self, effects: &mut Vec<Effect>) {
        self.leave_silent_upstream();
        if self.upstream.current.is_none() {
            self.upstream.current = self.choose_upstream();
            self.upstream.news_at = self.now;
        }
        if let Some(to) = self.upstream.current {
            let (clock_us, active_version) = (self.clock_us(), self.active_version());
            self.send(effects, to, &Message::Subscribe { clock_us, active_version });
        }
        self.schedule_renewal();
    }

    fn leave_silent_upstream(&mut self) {
        let timeout = self.heartbeats(UPSTREAM_TIMEOUT_HEARTBEATS);
        let return_after = self.heartbeats(RETURN_HEARTBEATS);
        let (now, upstream) = (self.now, &mut self.upstream);
        if upstream.current.is_some() && upstream.news_at + timeout <= now {
            upstream.attempt += 1;
            (upstream.current, upstream.attempt_at, upstream.news_at) = (None, now, now);
        } else if !upstream.attempt.is_multiple_of(ATTEMPT_CYCLE) && upstream.attempt_at + return_after <= now
        {
            (upstream.attempt, upstream.current, upstream.attempt_at) = (0, None, now);
        }
    }

    /// Soon enough to be told by another upstream before the lease runs out.
    fn schedule_renewal(&mut self) {
        let drawn = self.rng.random::<f64>();
        let jitter = (1.0 - RENEWAL_JITTER / 2.0) + RENEWAL_JITTER * drawn;
        let renewal = self.now + self.heartbeats(RENEWAL_HEARTBEATS * jitter);
        let silent = self.upstream.news_at + self.heartbeats(UPSTREAM_TIMEOUT_HEARTBEATS);
        let least = self.now + self.heartbeats(LEAST_RENEWAL_HEARTBEATS);
        self.upstream.subscribe_at = renewal.min(silent).max(least);
    }

    pub(super) fn handle_subscribe(&mut self, from: SocketAddr, clock_us: u64, effects: &mut Vec<Effect>) {
        // Twice the tree's share, for those whose upstream is gone; a leader has the voters to tell besides.
        let most = if self.role() == Some(Role::Leader) { 1 } else { 2 } * self.settings.fanout;
        let room = self.subscribers.len() < most || self.subscribers.contains_key(&from);
        if !room || clock_us >= MAX_CLOCK_US {
            return;
        }
        let subscriber = Subscriber { clock_us, received_at: self.now };
        if self.documents.holds(self.committed.header.digest) {
            let announcement = self.announcement_for(&subscriber);
            self.send(effects, from, &Message::Announce(announcement));
        }
        self.subscribers.insert(from, subscriber);
    }

    /// Announces the latest version to those that have subscribed.
    pub(super) fn announce_to_subscribers(&mut self, effects: &mut Vec<Effect>) {
        let (now, lasts) = (self.now, self.heartbeats(SUBSCRIPTION_RENEWALS * RENEWAL_HEARTBEATS));
        self.subscribers.retain(|_, subscriber| now < subscriber.received_at + lasts);
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
        // The subscriber read its clock before it was heard here, so this is never too late.
        let latest_at_us = self.committed.latest_at.map_or(0, |latest_at| {
            subscriber.clock_us.saturating_add(latest_at.0).saturating_sub(subscriber.received_at.0)
        });
        let committed_for_us = self.committed_for().unwrap_or_default().0;
        Announcement { header: self.committed.header, committed_for_us, latest_at_us }
    }

    pub(super) fn handle_announcement(
        &mut self,
        from: SocketAddr,
        announcement: Announcement,
        effects: &mut Vec<Effect>,
    ) {
        let latest_at = self.echoed_time(announcement.latest_at_us);
        let told = (announcement.header.position.version, latest_at);
        let known = (self.committed_version(), self.committed.latest_at);
        if Some(from) == self.upstream.current && told > known {
            self.upstream.news_at = self.now;
        }
        self.learn_announced(announcement, effects);
        self.fetch_committed(effects, from);
    }
}
