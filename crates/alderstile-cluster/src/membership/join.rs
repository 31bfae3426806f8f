//! Joining: a member contacts its seeds for as long as one of them is missing from its view.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use alderstile::types::Micros;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::Membership;
use super::datagram::Message;
use super::record::InstanceId;

/// The maximum interval between contacts of missing seeds, in periods, for clusters of any size.
const MAX_CONTACT_INTERVAL_PERIODS: f64 = 10.0;
/// The maximum interval between contacts of seeds by a member that knows no live peer, in periods.
const MAX_ALONE_BACKOFF_PERIODS: u64 = 8;
/// The number of periods without live peers after which that interval grows by one period.
const ALONE_BACKOFF_STEP_PERIODS: u64 = 4;

/// The seeds, and when one was last contacted.
pub(super) struct SeedContact {
    addresses: Vec<SocketAddr>,
    /// The index of the seed to contact next.
    next_index: usize,
    /// When a seed was last contacted, or `None` while no seed is missing.
    last_contact_at: Option<Micros>,
    periods_alone: u64,
    /// The fraction of the backoff to wait this time. It keeps members that start together from contacting a
    /// seed at the same time.
    jitter: f64,
}

impl SeedContact {
    pub fn new(seeds: Vec<SocketAddr>, local: SocketAddr, rng: &mut Pcg64Mcg) -> Self {
        let addresses: Vec<SocketAddr> = seeds.into_iter().filter(|seed| *seed != local).collect();
        let next_index = rng.random_range(0..addresses.len().max(1));
        SeedContact { addresses, next_index, last_contact_at: None, periods_alone: 0, jitter: 1.0 }
    }

    /// Returns the index of the next missing seed, in turn.
    fn next_missing(&self, is_missing: impl Fn(SocketAddr) -> bool) -> Option<usize> {
        let seed_count = self.addresses.len();
        (0..seed_count)
            .map(|step| (self.next_index + step) % seed_count)
            .find(|&index| is_missing(self.addresses[index]))
    }
}

impl Membership {
    /// Contacts the next missing seed if the interval has passed, to learn of members that this one does not
    /// know.
    pub(super) fn contact_seeds(&mut self) {
        let is_alone = self.peers.live_count() == 0;
        self.seeds.periods_alone = if is_alone { self.seeds.periods_alone + 1 } else { 0 };
        let Some(index) = self.next_missing_seed() else {
            self.seeds.last_contact_at = None;
            return;
        };
        let interval = self.seed_contact_interval(is_alone);
        let last_contact_at = self.seeds.last_contact_at.unwrap_or_else(|| {
            // Members that lose a seed at the same time must not contact it at the same time.
            let fraction = if is_alone { 1.0 } else { self.rng.random::<f64>() };
            self.now - interval.scale(fraction)
        });
        self.seeds.last_contact_at = Some(last_contact_at);
        // The clock starts near zero, so the last contact cannot be set one interval into the past.
        let is_first = is_alone && self.seeds.periods_alone == 1;
        if is_first || last_contact_at + interval <= self.now {
            self.contact_seed(index);
        }
    }

    fn next_missing_seed(&self) -> Option<usize> {
        // Addresses of dead members are contacted by the probes of dead peers instead.
        let dead: BTreeSet<SocketAddr> = self.dead_addresses().into_keys().collect();
        self.seeds.next_missing(|seed| !self.peers.has_live_at(seed) && !dead.contains(&seed))
    }

    fn seed_contact_interval(&self, is_alone: bool) -> Micros {
        let periods = if is_alone {
            let backoff = self.seeds.periods_alone / ALONE_BACKOFF_STEP_PERIODS;
            backoff.clamp(1, MAX_ALONE_BACKOFF_PERIODS) as f64 * self.seeds.jitter
        } else {
            self.address_probe_periods().clamp(1.0, MAX_CONTACT_INTERVAL_PERIODS)
        };
        self.config.period.scale(periods)
    }

    fn contact_seed(&mut self, index: usize) {
        self.seeds.last_contact_at = Some(self.now);
        self.seeds.next_index = index + 1;
        self.seeds.jitter = 1.0 - self.rng.random::<f64>() / 2.0;
        let nonce = self.new_nonce();
        let record = self.local.clone();
        self.send_to(self.seeds.addresses[index], InstanceId::default(), &Message::Ping { nonce, record });
    }
}
