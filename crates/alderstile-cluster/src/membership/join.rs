//! Joining: a member contacts its seeds while one of them is unknown.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use alderstile::types::Micros;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::Membership;
use super::datagram::Message;
use super::record::InstanceId;

/// A member contacts a seed that is missing after so many periods at most, however many members there are.
const MAX_CONTACT_INTERVAL_PERIODS: f64 = 10.0;
/// A member that knows nobody backs off to so many periods.
const MAX_ALONE_BACKOFF_PERIODS: u64 = 8;
/// Its backoff grows by a period each so many periods.
const ALONE_BACKOFF_STEP_PERIODS: u64 = 4;

/// The seeds, and when one was contacted last.
pub(super) struct SeedContact {
    addresses: Vec<SocketAddr>,
    /// The place of the seed to contact next.
    next_index: usize,
    /// When a seed was contacted; none while no seed is missing.
    last_contact_at: Option<Micros>,
    periods_alone: u64,
    /// The part of the backoff to wait this time, so that members that start together don't contact together.
    jitter: f64,
}

impl SeedContact {
    pub fn new(seeds: Vec<SocketAddr>, local: SocketAddr, rng: &mut Pcg64Mcg) -> Self {
        let addresses: Vec<SocketAddr> = seeds.into_iter().filter(|seed| *seed != local).collect();
        let next_index = rng.random_range(0..addresses.len().max(1));
        SeedContact { addresses, next_index, last_contact_at: None, periods_alone: 0, jitter: 1.0 }
    }

    /// The place of the next seed, in turn, that is missing.
    fn next_missing(&self, is_missing: impl Fn(SocketAddr) -> bool) -> Option<usize> {
        let seed_count = self.addresses.len();
        (0..seed_count)
            .map(|step| (self.next_index + step) % seed_count)
            .find(|&index| is_missing(self.addresses[index]))
    }
}

impl Membership {
    /// Contacts the next seed that is missing, once its time has come: seeds tell of members that this one doesn't know.
    pub(super) fn contact_seeds(&mut self) {
        let is_alone = self.peers.live_count() == 0;
        self.seeds.periods_alone = if is_alone { self.seeds.periods_alone + 1 } else { 0 };
        let Some(index) = self.next_missing_seed() else {
            self.seeds.last_contact_at = None;
            return;
        };
        let interval = self.seed_contact_interval(is_alone);
        let last_contact_at = self.seeds.last_contact_at.unwrap_or_else(|| {
            // Those that miss it from the same moment on must not contact it together.
            let fraction = if is_alone { 1.0 } else { self.rng.random::<f64>() };
            self.now - interval.scale(fraction)
        });
        self.seeds.last_contact_at = Some(last_contact_at);
        // At the start no moment lies an interval back.
        let is_first = is_alone && self.seeds.periods_alone == 1;
        if is_first || last_contact_at + interval <= self.now {
            self.contact_seed(index);
        }
    }

    fn next_missing_seed(&self) -> Option<usize> {
        // Where a member is held dead the probes of the dead contact it.
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
