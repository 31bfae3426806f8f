//! The disturbances of a scale run, one after the other: news, deaths, a lost zone, and regions that are parted.

use std::collections::BTreeMap;
use std::time::Duration;

use alderstile::types::Micros;
use tokio::time::sleep;
use tracing::info;

use super::{APART, Fleet, Meter};
use crate::hollow::ObservedChange;

impl Fleet<'_> {
    /// News of the members' own: another digest of the settings, as after a file was taken in.
    pub(super) async fn news(&mut self) {
        let phase = "news";
        info!("{} members: {} pieces of news", self.size.members, self.runs.news);
        self.hollows.take_observations().await;
        let (mut told, mut of) = (Vec::new(), BTreeMap::new());
        let from = self.meter().await;
        for node in self.ordinary(self.runs.news) {
            let digest = 1_000 + node as u64;
            told.push(node);
            of.insert(node, (ObservedChange::ConfigDigest(digest), self.network.now()));
            self.hollows.set_config_digest(node, digest).await;
            sleep(APART).await;
        }
        let by = self.hollow_alive.clone();
        let (learned, _) = self.until_learned(phase, &by, &of, None).await;
        let to = self.meter().await;
        self.spread(phase, &of, &learned);
        self.costs(phase, &from, &to);
    }

    pub(super) async fn deaths(&mut self) {
        info!("{} members: {} deaths", self.size.members, self.runs.deaths);
        self.hollows.take_observations().await;
        let mut of = BTreeMap::new();
        let from = self.meter().await;
        for node in self.ordinary(self.runs.deaths) {
            of.insert(node, (ObservedChange::Died, self.network.now()));
            self.hollows.kill(node);
            self.hollow_alive.remove(&node);
            sleep(APART).await;
        }
        self.lost_and_back("death", "start", of, from).await;
    }

    pub(super) async fn zone(&mut self) {
        let last = self.runs.zones - 1;
        let lost: Vec<usize> =
            self.hollow_alive.iter().filter(|n| self.runs.zone_of(**n) == last).copied().collect();
        info!("{} members: a zone of {} is lost", self.size.members, lost.len());
        self.hollows.take_observations().await;
        let from = self.meter().await;
        let at = self.network.now();
        let mut of = BTreeMap::new();
        for node in lost {
            of.insert(node, (ObservedChange::Died, at));
            self.hollows.kill(node);
            self.hollow_alive.remove(&node);
        }
        self.lost_and_back("zone lost", "zone back", of, from).await;
    }

    /// Until all know that these are gone, and then that they are back.
    async fn lost_and_back(
        &mut self,
        lost: &str,
        back: &str,
        of: BTreeMap<usize, (ObservedChange, Micros)>,
        from: Meter,
    ) {
        let (by, rest) = (self.hollow_alive.clone(), self.size.members - of.len());
        let began = of.values().map(|(_, at)| *at).fold(Micros(0), Micros::max);
        let (learned, real) = self.until_learned(lost, &by, &of, Some(rest)).await;
        let to = self.meter().await;
        self.spread(lost, &of, &learned);
        self.real_after(lost, "a real node counts right after (s)", began, &real);
        self.costs(lost, &from, &to);
        let at = self.network.now();
        let joined: BTreeMap<usize, (ObservedChange, Micros)> =
            of.keys().map(|node| (*node, (ObservedChange::Joined, at))).collect();
        for node in of.keys() {
            self.hollows.start(self.specs[*node].clone());
        }
        let (learned, real) = self.until_learned(back, &by, &joined, Some(self.size.members)).await;
        self.hollow_alive.extend(of.keys());
        self.spread(back, &joined, &learned);
        self.real_after(back, "a real node counts right after (s)", at, &real);
        let after = self.meter().await;
        self.costs(back, &to, &after);
        self.until_all_see(back, at, self.size.members).await;
    }

    pub(super) async fn parted(&mut self) {
        let phase = "regions parted";
        info!("{} members: regions parted for {} s", self.size.members, self.runs.parted_s);
        self.hollows.take_observations().await;
        let from = self.meter().await;
        let at = self.network.now();
        self.network.set_partitioned(true);
        sleep(Duration::from_secs_f64(self.runs.parted_s)).await;
        let seen = self.hollows.take_observations().await;
        let mut last: BTreeMap<(usize, usize), f64> = BTreeMap::new();
        for seen in seen.iter().filter(|seen| seen.change == ObservedChange::Died) {
            if self.runs.region_of(seen.observer) != self.runs.region_of(seen.subject) {
                last.insert((seen.observer, seen.subject), (seen.at - at).as_secs_f64());
            }
        }
        let own = |region| self.hollow_alive.iter().filter(|n| self.runs.region_of(**n) == region).count();
        let all = |region| (0..self.size.members).filter(|n| self.runs.region_of(*n) == region).count();
        let pairs = own(0) * all(1) + own(1) * all(0);
        let spans: Vec<f64> = last.values().copied().collect();
        let wrong = seen.iter().filter(|seen| seen.change == ObservedChange::Died);
        let wrong =
            wrong.filter(|s| self.runs.region_of(s.observer) == self.runs.region_of(s.subject)).count();
        self.values(phase, "one of the other side is held dead after (s)", &spans);
        self.one(phase, "pairs that still held each other alive", pairs.saturating_sub(spans.len()) as f64);
        self.one(phase, "held dead though well on the same side (pairs)", wrong as f64);
        let to = self.meter().await;
        self.costs(phase, &from, &to);
        let phase = "regions joined";
        let at = self.network.now();
        self.network.set_partitioned(false);
        self.until_all_see(phase, at, self.size.members).await;
        let after = self.meter().await;
        self.costs(phase, &to, &after);
    }
}
