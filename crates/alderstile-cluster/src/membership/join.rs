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
const MAX_RETRY_PERIODS: f64 = 10.0;
/// A member that knows nobody backs off to so many periods.
const MAX_ALONE_BACKOFF_PERIODS: u64 = 8;
/// Its backoff grows by a period each so many periods.
const ALONE_BACKOFF_STEP_PERIODS: u64 = 4;

/// The seeds, and when one was contacted last.
pub(super) struct SeedContact {
    addresses: Vec<SocketAddr>,
    /// The place of the seed to contact next.
    next: usize,
    /// When a seed was contacted; none while no seed is missing.
    contacted_at: Option<Micros>,
    periods_alone: u64,
    /// The part of the backoff to wait this time, so that members that start together don't contact together.
    jitter: f64,
}

impl SeedContact {
    pub fn new(seeds: Vec<SocketAddr>, local: SocketAddr, rng: &mut Pcg64Mcg) -> Self {
        let addresses: Vec<SocketAddr> = seeds.into_iter().filter(|seed| *seed != local).collect();
        let next = rng.random_range(0..addresses.len().max(1));
        SeedContact { addresses, next, contacted_at: None, periods_alone: 0, jitter: 1.0 }
    }

    /// The place of the next seed, in turn, that is missing.
    fn next_missing(&self, is_missing: impl Fn(SocketAddr) -> bool) -> Option<usize> {
        let seeds = self.addresses.len();
        (0..seeds).map(|step| (self.next + step) % seeds).find(|&place| is_missing(self.addresses[place]))
    }
}

impl Membership {
    /// Contacts the next seed that is missing, once its time has come: seeds tell of members that this one doesn't know.
    pub(super) fn contact_seeds(&mut self) {
        let alone = self.peers.live_count() == 0;
        self.seeds.periods_alone = if alone { self.seeds.periods_alone + 1 } else { 0 };
        let Some(place) = self.next_missing_seed() else {
            self.seeds.contacted_at = None;
            return;
        };
        let interval = self.seed_contact_interval(alone);
        let contacted_at = self.seeds.contacted_at.unwrap_or_else(|| {
            // Those that miss it from the same moment on must not contact it together.
            let part = if alone { 1.0 } else { self.rng.random::<f64>() };
            self.now - interval.scale(part)
        });
        self.seeds.contacted_at = Some(contacted_at);
        // At the start no moment lies an interval back.
        let is_first = alone && self.seeds.periods_alone == 1;
        if is_first || contacted_at + interval <= self.now {
            self.contact_seed(place);
        }
    }

    fn next_missing_seed(&self) -> Option<usize> {
        // Where a member is held dead the probes of the dead contact it.
        let held_dead: BTreeSet<SocketAddr> = self.dead_addresses().into_keys().collect();
        self.seeds.next_missing(|seed| !self.peers.has_live_at(seed) && !held_dead.contains(&seed))
    }

    fn seed_contact_interval(&self, alone: bool) -> Micros {
        let periods = if alone {
            let backoff = self.seeds.periods_alone / ALONE_BACKOFF_STEP_PERIODS;
            backoff.clamp(1, MAX_ALONE_BACKOFF_PERIODS) as f64 * self.seeds.jitter
        } else {
            self.address_probe_periods().clamp(1.0, MAX_RETRY_PERIODS)
        };
        self.config.period.scale(periods)
    }

    fn contact_seed(&mut self, place: usize) {
        self.seeds.contacted_at = Some(self.now);
        self.seeds.next = place + 1;
        self.seeds.jitter = 1.0 - self.rng.random::<f64>() / 2.0;
        let nonce = self.new_nonce();
        let record = self.local.clone();
        self.send_to(self.seeds.addresses[place], InstanceId::default(), &Message::Ping { nonce, record });
    }
}
