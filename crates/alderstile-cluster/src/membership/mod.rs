//! Who is there: failure detection and dissemination after SWIM (Das, Gupta, Motivala 2002), with the local health of
//! Lifeguard (Dadgar, Phillips, Currey 2018).
//!
//! Every period a member pings one other, in an order that is random but names each once a round. Without an answer it
//! has others ping for it, and then suspects: whom everyone suspects for long enough, without hearing it say otherwise, is
//! dead. All of that travels on the pings and their answers. A member whose own probes fail, or who was suspected though
//! it lives, trusts itself less and waits longer.
//!
//! Bounds, with N members and the period T: a member sends at most [`MembershipConfig::max_datagrams_per_period`] datagrams a period of at most
//! [`MAX_DATAGRAM`] bytes; a member that dies is suspected after e/(e-1) T in the mean, and is dead to all after
//! [`MembershipConfig::suspicion_multiplier`] more.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use alderstile::types::Micros;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

mod replay;
mod rumors;
mod view;
mod wire;

pub use view::{
    InstanceId, MAX_METADATA_BYTES, MAX_NAME_BYTES, MAX_ZONE_BYTES, MemberRecord, MemberState,
    MembershipChange, MembershipCounters, MembershipStats, RecordError,
};
pub use wire::{Datagram, DatagramCodec, DatagramHeader, MemberUpdate, Message};

use crate::authentication::{DecodeError, MAX_DATAGRAM_BYTES};
use replay::ReplayWindow;
use rumors::GossipQueue;

/// Others that are asked to ping for a member (SWIM section 3.1; the paper's k).
const HELPERS: usize = 3;
/// An answer to a ping has this part of a period to come; after it others are asked.
const DIRECT: f64 = 0.25;
/// With them, a ping has this part of a period to be answered: e/(e-1) - 1, so that a dead member is suspected e/(e-1)
/// periods after its end in the mean, as in the paper, though the members' periods begin at moments of their own.
const INDIRECT: f64 = 0.58;
/// A helper that has heard nothing says so at this part of a period after it was asked (Lifeguard's nack).
const NACK: f64 = 0.2;
/// A rumor is told this many times the logarithm to base 2 of the members' number (SWIM section 4.1).
const RETRANSMISSIONS: u32 = 3;
/// Independent confirmations after which a suspicion lasts no longer than the least time (Lifeguard's K).
const CONFIRMATIONS: usize = 3;
/// How much longer an unconfirmed one lasts (Lifeguard's beta).
const UNCONFIRMED: f64 = 2.0;
/// The worst local health: probes take that many times longer, and one (Lifeguard's S).
const WORST: u32 = 8;
/// A member that does not trust itself begins a probe each so many periods at most: its probes wait longer, so that several
/// wait side by side, but who is behind a split with few others must not take a round of the worst health's periods to see it.
const SLOWEST: u32 = 3;
/// Calls to ping for others that are open at once.
const MOST_HELPED: usize = 64;
/// A page of another member's view is asked for each so many periods, so that what was lost is made up for.
const SYNC_EVERY: u64 = 10;
/// Pages that a member which does not know all yet asks for in a period.
const PAGES: u32 = 8;
/// Times that an address where nobody answers any more is asked in a period, by all members together: where one lived that
/// is held dead, and where a seed should be. Each member asks one of either kind a period at most.
const ASKED_TOGETHER: f64 = 3.0;
/// One that has been held dead for so many periods is asked a tenth as often.
const LONG_AWAY: f64 = 300.0;
/// How much less often that is.
const SELDOM: f64 = 10.0;
/// A member asks a seed that is missing after so many periods at most, however many members there are.
const SEED_RETRY_MAX: f64 = 10.0;
/// Of all members so many ping a suspect once more before they hold it dead; the others give them time for it.
const CHECKERS: f64 = 8.0;
/// That time, in periods.
const CHECKED: f64 = 2.0;
/// A member that knows nobody asks a seed ever less often, but after so many periods at most.
const MAX_BACKOFF: u64 = 8;

/// How a member goes about it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipConfig {
    /// The protocol period. A round trip has to fit into a quarter of it.
    pub period: Micros,
    /// The least time that a suspicion lasts, in periods for each power of ten of the members' number (Lifeguard's alpha).
    pub suspicion_multiplier: f64,
    /// Datagrams that this member sends in a period at most.
    pub max_datagrams_per_period: u32,
    /// How long the dead and those that left are remembered, and the dead asked whether they are back.
    pub dead_retention: Micros,
    /// Whether a member trusts itself less when its probes fail. Without, this is plain SWIM.
    pub local_health: bool,
}

impl MembershipConfig {
    /// Usual settings with this period.
    pub fn with_period(period: Micros) -> Self {
        MembershipConfig {
            period,
            suspicion_multiplier: 3.0,
            max_datagrams_per_period: 64,
            dead_retention: Micros(3_600_000_000),
            local_health: true,
        }
    }

    /// The least time that a suspicion lasts among so many members.
    pub fn min_suspicion_timeout(&self, members: usize) -> Micros {
        self.period.scale(self.suspicion_multiplier * (members as f64).log10().max(1.0))
    }
}

/// What a call of the core wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEffect {
    /// Send these bytes there.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The bytes.
        datagram: Vec<u8>,
    },
    /// The view has changed.
    Changed(MembershipChange),
}

/// Another process of a member, as this one sees it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// What it told of itself last.
    pub record: MemberRecord,
    /// How it is seen.
    pub state: MemberState,
    /// Since when.
    pub since: Micros,
    /// Who confirmed that it does not answer, while it is suspected.
    confirmed: Vec<InstanceId>,
    /// Whether this process pings it once more before it holds it dead.
    check: Check,
    /// When this process asked it last whether it is back, while it is held dead.
    retried_at: Micros,
    taken: ReplayWindow,
}

/// Whether a process pings a suspect once more before it holds it dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Check {
    /// Others do.
    Others,
    /// It does.
    Due,
    /// It has, and waits for an answer until then.
    Until(Micros),
}

/// A ping that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct Probe {
    target: InstanceId,
    nonce: u64,
    /// Others are asked then, or it is given up then.
    due: Micros,
    asked: bool,
    /// Helpers that were asked, and how many of them said that they had heard nothing.
    helpers: u32,
    nacks: u32,
}

/// A ping for another member.
#[derive(Clone, Copy, Debug)]
struct Helped {
    nonce: u64,
    for_session: InstanceId,
    their_nonce: u64,
    nack_at: Option<Micros>,
    until: Micros,
}

/// One member's view, and what it does to keep it.
pub struct Membership {
    set: MembershipConfig,
    codec: DatagramCodec,
    me: MemberRecord,
    rng: Pcg64Mcg,
    now: Micros,
    others: BTreeMap<InstanceId, Peer>,
    suspects: BTreeSet<InstanceId>,
    dead: BTreeSet<InstanceId>,
    /// The living by their addresses.
    by_address: BTreeMap<SocketAddr, BTreeSet<InstanceId>>,
    /// All processes of each name that are remembered.
    by_name: BTreeMap<Box<str>, Vec<InstanceId>>,
    claimed: BTreeSet<Box<str>>,
    living: usize,
    /// The order of this round, and where it stands.
    round: Vec<InstanceId>,
    at: usize,
    /// Suspected by another: to be pinged out of turn.
    next: Option<InstanceId>,
    probes: Vec<Probe>,
    /// Periods until the next one begins.
    rest: u32,
    helped: Vec<Helped>,
    rumors: GossipQueue,
    health: u32,
    counter: u64,
    nonce: u64,
    periods: u64,
    period_at: Micros,
    sent_in_period: u32,
    pages_left: u32,
    /// Whose instance came last in the page asked for next; whether all have been asked for once.
    page_after: InstanceId,
    knows_all: bool,
    seeds: Vec<SocketAddr>,
    /// Which of the seeds is the next to be asked, and when one was, while one is missing.
    seed: usize,
    seed_retried_at: Option<Micros>,
    /// Periods without anybody, and which part of the time between two seeds passes now.
    periods_alone: u64,
    jitter: f64,
    leaving: bool,
    counters: MembershipCounters,
}

impl Membership {
    /// A member that knows its seeds at most. `me` must have been checked ([`MemberRecord::validate`]).
    pub fn new(
        set: MembershipConfig,
        codec: DatagramCodec,
        me: MemberRecord,
        seeds: Vec<SocketAddr>,
        seed: u64,
        now: Micros,
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // Membership that start together must not ping together.
        let period_at = now + set.period.scale(rng.random::<f64>());
        let seeds: Vec<SocketAddr> = seeds.into_iter().filter(|seed| *seed != me.address).collect();
        let seed = rng.random_range(0..seeds.len().max(1));
        Membership {
            set,
            codec,
            rng,
            now,
            others: BTreeMap::new(),
            suspects: BTreeSet::new(),
            dead: BTreeSet::new(),
            by_address: BTreeMap::new(),
            by_name: BTreeMap::new(),
            claimed: BTreeSet::new(),
            living: 0,
            round: Vec::new(),
            at: 0,
            next: None,
            probes: Vec::new(),
            rest: 0,
            helped: Vec::new(),
            rumors: GossipQueue::default(),
            health: 0,
            counter: 0,
            nonce: 0,
            periods: 0,
            period_at,
            sent_in_period: 0,
            pages_left: PAGES,
            page_after: InstanceId::default(),
            knows_all: false,
            seeds,
            seed,
            seed_retried_at: None,
            periods_alone: 0,
            jitter: 1.0,
            leaving: false,
            counters: MembershipCounters::default(),
            me,
        }
    }

    /// Begins with members already known.
    pub fn with_known_members(mut self, records: impl IntoIterator<Item = MemberRecord>) -> Self {
        let mut out = Vec::new();
        for record in records {
            self.alive(record, &mut out);
        }
        // All that is known was told by others: nothing of it is news.
        self.rumors = GossipQueue::default();
        self.knows_all = self.living > 0;
        self
    }

    /// Goes on in place of another process of the same member, whose next datagram had this number.
    pub fn resuming_after(mut self, counter: u64) -> Self {
        self.counter = counter;
        self
    }

    // ---- what is known ----

    /// What this member tells of itself.
    pub fn local(&self) -> &MemberRecord {
        &self.me
    }

    /// The number of the last datagram sent.
    pub fn last_sequence(&self) -> u64 {
        self.counter
    }

    /// The others, by their instances; also the dead and those that left, while they are remembered.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.others.values()
    }

    /// One of the others.
    pub fn peer(&self, instance: InstanceId) -> Option<&Peer> {
        self.others.get(&instance)
    }

    /// Membership that live as far as is known, this one included.
    pub fn live_count(&self) -> usize {
        self.living + 1
    }

    /// Membership by state, and what was sent and came.
    pub fn stats(&self) -> MembershipStats {
        MembershipStats {
            alive: self.live_count() - self.suspects.len(),
            suspect: self.suspects.len(),
            dead: self.dead.len(),
            name_conflicts: self.claimed.len(),
            local_health: self.health,
            counters: self.counters,
        }
    }

    /// Names that two living processes claim.
    pub fn name_conflicts(&self) -> &BTreeSet<Box<str>> {
        &self.claimed
    }

    /// How far this member trusts itself: 0 wholly, [`WORST`] hardly.
    pub fn local_health(&self) -> u32 {
        self.health
    }

    /// What was sent and what came.
    pub fn counters(&self) -> MembershipCounters {
        self.counters
    }

    // ---- what is said from outside ----

    /// The settings that this member goes by have this digest from now on.
    pub fn set_digest(&mut self, digest: u64) {
        if self.me.config_digest != digest {
            self.me.config_digest = digest;
            self.say_again();
        }
    }

    /// Sets or, with nothing, takes away a fact of this member.
    pub fn set_metadata(&mut self, tag: u8, bytes: &[u8]) -> Result<(), RecordError> {
        if self.me.metadata_value(tag).unwrap_or_default() != bytes {
            self.me.set_metadata(tag, bytes)?;
            self.say_again();
        }
        Ok(())
    }

    /// Other keys from now on.
    pub fn set_codec(&mut self, codec: DatagramCodec) {
        self.codec = codec;
    }

    /// This member is about to go: tells some others at once, which tell the rest.
    pub fn leave(&mut self, now: Micros) -> Vec<MembershipEffect> {
        self.now = self.now.max(now);
        self.leaving = true;
        self.me.incarnation = self.me.incarnation.saturating_add(1);
        let (instance, incarnation) = (self.me.instance, self.me.incarnation);
        self.rumors.add(MemberUpdate::Left { instance, incarnation });
        let mut out = Vec::new();
        self.tell_some(&mut out);
        out
    }

    // ---- time ----

    /// When [`Membership::handle_timeout`] has something to do next.
    pub fn next_timeout(&self) -> Micros {
        let probes = self.probes.iter().map(|probe| probe.due);
        let helped = self.helped.iter().map(|helped| helped.nack_at.unwrap_or(helped.until));
        let suspects = self.suspects.iter().map(|instance| self.dies_at(*instance));
        probes.chain(helped).chain(suspects).fold(self.period_at, Micros::min)
    }

    /// Does what is due. A clock that goes back stands still until it is where it was.
    pub fn handle_timeout(&mut self, now: Micros) -> Vec<MembershipEffect> {
        let mut out = Vec::new();
        let late = now - self.next_timeout();
        self.now = self.now.max(now);
        if late > self.set.period.scale(0.5) {
            self.stood_still(late, &mut out);
        }
        self.give_helpers_word(&mut out);
        self.go_on_probing(&mut out);
        let overdue: Vec<InstanceId> =
            self.suspects.iter().copied().filter(|instance| self.dies_at(*instance) <= self.now).collect();
        for instance in overdue {
            let Some(member) = self.others.get_mut(&instance) else { continue };
            let incarnation = member.record.incarnation;
            // Also whom others were to ping: word of what came of that has not come here.
            if !matches!(member.check, Check::Until(_)) {
                member.check = Check::Until(self.now + self.set.period.scale(INDIRECT));
                let nonce = self.nonce();
                self.ping(instance, nonce, &mut out);
                // A datagram that is lost must not cost a member its life: some others ask it too.
                self.ask_helpers(HELPERS - 1, instance, nonce, &mut out);
            } else {
                self.dead(instance, incarnation, &mut out);
            }
        }
        if self.period_at <= self.now {
            self.begin_period(&mut out);
        }
        out
    }

    /// Guards against a process that was stopped, or whose machine slept: what it did not hear in that time tells
    /// nothing of others.
    fn stood_still(&mut self, late: Micros, out: &mut Vec<MembershipEffect>) {
        self.probes.clear();
        self.helped.clear();
        self.worse(1);
        for instance in &self.suspects {
            if let Some(member) = self.others.get_mut(instance) {
                member.since = member.since + late;
            }
        }
        out.push(MembershipEffect::Changed(MembershipChange::Stalled(late)));
    }

    fn worse(&mut self, by: u32) {
        if self.set.local_health {
            self.health = (self.health + by).min(WORST);
        }
    }

    /// A span, longer the less this member trusts itself.
    fn patient(&self, part: f64) -> Micros {
        self.set.period.scale(part * f64::from(self.health + 1))
    }

    fn dies_at(&self, instance: InstanceId) -> Micros {
        let Some(member) = self.others.get(&instance) else { return self.now };
        let least = self.set.min_suspicion_timeout(self.live_count());
        // From the longest time to the least as others confirm it (Lifeguard section IV-B).
        let confirmed = member.confirmed.len().saturating_sub(1).min(CONFIRMATIONS) as f64;
        let part = (confirmed + 1.0).ln() / (CONFIRMATIONS as f64 + 1.0).ln();
        let longest = if self.set.local_health { least.scale(UNCONFIRMED) } else { least };
        let dies = member.since + longest - (longest - least).scale(part);
        match member.check {
            // It is pinged once more, so that it can say that it lives where it did not hear of the suspicion.
            Check::Due => dies - self.set.period.scale(INDIRECT),
            Check::Until(answer) => answer,
            Check::Others => dies + self.set.period.scale(CHECKED),
        }
    }

    // ---- probing ----

    fn begin_period(&mut self, out: &mut Vec<MembershipEffect>) {
        self.periods += 1;
        self.sent_in_period = 0;
        self.pages_left = PAGES;
        self.period_at = self.now + self.set.period;
        self.forget();
        if self.leaving {
            return;
        }
        self.ask_seeds(out);
        self.ask_a_dead_one(out);
        if !self.knows_all || self.periods.is_multiple_of(SYNC_EVERY) {
            self.ask_page(out);
        }
        if self.rest > 0 {
            self.rest -= 1;
            return;
        }
        self.rest = self.health.min(SLOWEST - 1);
        let Some(target) =
            self.next.take().filter(|instance| self.may_probe(*instance)).or_else(|| self.next_in_round())
        else {
            return;
        };
        let nonce = self.nonce();
        let due = self.now + self.patient(DIRECT);
        self.probes.push(Probe { target, nonce, due, asked: false, helpers: 0, nacks: 0 });
        self.ping(target, nonce, out);
    }

    fn lives(&self, instance: InstanceId) -> bool {
        self.others.get(&instance).is_some_and(|member| member.state.is_live())
    }

    /// Whom a probe waits for is not probed a second time meanwhile.
    fn may_probe(&self, instance: InstanceId) -> bool {
        self.lives(instance) && self.probes.iter().all(|probe| probe.target != instance)
    }

    /// The next in an order that is random and names each once a round (SWIM section 4.3).
    fn next_in_round(&mut self) -> Option<InstanceId> {
        for _ in 0..2 {
            while let Some(instance) = self.round.get(self.at).copied() {
                self.at += 1;
                if self.may_probe(instance) {
                    return Some(instance);
                }
            }
            self.begin_round();
        }
        None
    }

    /// The order is kept from round to round, so that no two probes of one lie further apart than a round; who came back is
    /// put in somewhere.
    fn begin_round(&mut self) {
        let mut round = std::mem::take(&mut self.round);
        round.retain(|instance| self.lives(*instance));
        let in_it: BTreeSet<InstanceId> = round.iter().copied().collect();
        for (instance, member) in &self.others {
            if member.state.is_live() && !in_it.contains(instance) {
                round.insert(self.rng.random_range(0..=round.len()), *instance);
            }
        }
        (self.round, self.at) = (round, 0);
    }

    fn nonce(&mut self) -> u64 {
        self.nonce += 1;
        // Answers to another process's pings must not pass for answers to this one's.
        self.nonce ^ self.me.instance.0
    }

    fn ping(&mut self, target: InstanceId, nonce: u64, out: &mut Vec<MembershipEffect>) {
        let record = self.me.clone();
        self.send(target, &Message::Ping { nonce, record }, out);
    }

    fn go_on_probing(&mut self, out: &mut Vec<MembershipEffect>) {
        let now = self.now;
        let due: Vec<Probe> = self.probes.extract_if(.., |probe| probe.due <= now).collect();
        for mut probe in due {
            // Who is held dead or has left meanwhile was not probed in vain by a fault of this member.
            if !self.lives(probe.target) {
                continue;
            }
            if probe.asked {
                self.unanswered(probe, out);
                continue;
            }
            probe.helpers = self.ask_helpers(HELPERS, probe.target, probe.nonce, out);
            probe.asked = true;
            probe.due = self.now + self.patient(INDIRECT - DIRECT);
            self.probes.push(probe);
        }
    }

    /// Asks so many others to ping a member for this one; returns how many were asked.
    fn ask_helpers(
        &mut self,
        count: usize,
        target: InstanceId,
        nonce: u64,
        out: &mut Vec<MembershipEffect>,
    ) -> u32 {
        let Some(address) = self.others.get(&target).map(|member| member.record.address) else { return 0 };
        let helpers = self.some_living(count, target);
        for helper in &helpers {
            self.send(*helper, &Message::PingRequest { nonce, target, address }, out);
        }
        helpers.len() as u32
    }

    fn unanswered(&mut self, probe: Probe, out: &mut Vec<MembershipEffect>) {
        // Helpers that say nothing at all tell of this member's own way (Lifeguard section IV-A).
        self.worse(if probe.helpers > 0 { probe.helpers - probe.nacks.min(probe.helpers) } else { 1 });
        let Some(member) = self.others.get(&probe.target).filter(|member| member.state.is_live()) else {
            return;
        };
        let incarnation = member.record.incarnation;
        if member.state == MemberState::Alive {
            self.counters.suspicions_started += 1;
        }
        self.suspect(probe.target, incarnation, self.me.instance, out);
    }

    /// So many others that live, by chance.
    fn some_living(&mut self, count: usize, but: InstanceId) -> Vec<InstanceId> {
        let living: Vec<InstanceId> = self
            .others
            .iter()
            .filter(|(instance, member)| **instance != but && member.state == MemberState::Alive)
            .map(|(instance, _)| *instance)
            .collect();
        let mut some = BTreeSet::new();
        // Few of many: drawing again is cheaper than shuffling all.
        for _ in 0..4 * count {
            if some.len() < count.min(living.len()) {
                some.insert(living[self.rng.random_range(0..living.len())]);
            }
        }
        some.into_iter().collect()
    }

    fn give_helpers_word(&mut self, out: &mut Vec<MembershipEffect>) {
        let now = self.now;
        let mut silent = Vec::new();
        for helped in &mut self.helped {
            if helped.nack_at.is_some_and(|at| at <= now) {
                helped.nack_at = None;
                silent.push((helped.for_session, helped.their_nonce));
            }
        }
        self.helped.retain(|helped| helped.until > now);
        for (instance, nonce) in silent {
            self.send(instance, &Message::Nack { nonce }, out);
        }
    }

    /// The time between two asks of one address by this member, where all members together ask it [`ASKED_TOGETHER`] times a
    /// period: where 3,000 asked one address each, the process that had come back there had no answers left for anyone else.
    fn retry_interval(&self) -> f64 {
        self.live_count() as f64 / ASKED_TOGETHER
    }

    /// A member asks its seeds for those that it does not know, one after the other; alone ever less often.
    fn ask_seeds(&mut self, out: &mut Vec<MembershipEffect>) {
        let alone = self.living == 0;
        self.periods_alone = if alone { self.periods_alone + 1 } else { 0 };
        let held_dead: BTreeSet<SocketAddr> = self.dead_addresses().into_keys().collect();
        let missing = |seed: &SocketAddr| !self.by_address.contains_key(seed) && !held_dead.contains(seed);
        let Some(place) = (0..self.seeds.len())
            .map(|i| (self.seed + i) % self.seeds.len())
            .find(|&place| missing(&self.seeds[place]))
        else {
            self.seed_retried_at = None;
            return;
        };
        let each = if alone {
            (self.periods_alone / 4).clamp(1, MAX_BACKOFF) as f64 * self.jitter
        } else {
            self.retry_interval().clamp(1.0, SEED_RETRY_MAX)
        };
        let each = self.set.period.scale(each);
        let retried_at = self.seed_retried_at.unwrap_or_else(|| {
            // Those that miss it from the same moment on must not ask together.
            let part = if alone { 1.0 } else { self.rng.random::<f64>() };
            self.now - each.scale(part)
        });
        self.seed_retried_at = Some(retried_at);
        // At the start nothing lies so far back.
        if retried_at + each <= self.now || (alone && self.periods_alone == 1) {
            self.seed_retried_at = Some(self.now);
            self.seed = place + 1;
            self.jitter = 1.0 - self.rng.random::<f64>() / 2.0;
            let (nonce, record) = (self.nonce(), self.me.clone());
            self.send_to(self.seeds[place], InstanceId::default(), &Message::Ping { nonce, record }, out);
        }
    }

    /// The addresses where one lived that is held dead and nobody is known to live now: when it was asked last, and the one
    /// that died there last.
    fn dead_addresses(&self) -> BTreeMap<SocketAddr, (Micros, InstanceId)> {
        let mut addresses: BTreeMap<SocketAddr, (Micros, InstanceId)> = BTreeMap::new();
        for instance in &self.dead {
            let Some(member) = self.others.get(instance) else { continue };
            let address = member.record.address;
            if self.by_address.contains_key(&address) {
                continue;
            }
            let last = addresses.entry(address).or_insert((member.retried_at, *instance));
            last.0 = last.0.max(member.retried_at);
            if self.others.get(&last.1).is_some_and(|other| other.since < member.since) {
                last.1 = *instance;
            }
        }
        addresses
    }

    /// Those held dead may be back: after a split nobody else would ever look for them. Of those whose time has come, the
    /// one that has waited longest is asked, so that with few members left none waits for more than all others.
    fn ask_a_dead_one(&mut self, out: &mut Vec<MembershipEffect>) {
        let each = self.retry_interval();
        let due = self.dead_addresses().into_values().filter_map(|(retried_at, instance)| {
            let since = self.others.get(&instance)?.since;
            // Those that have long been away are asked less often.
            let lately = since + self.set.period.scale(LONG_AWAY) > self.now;
            let each = if lately { each } else { each * SELDOM };
            Some((retried_at + self.set.period.scale(each.max(1.0)), instance))
        });
        let Some((_, target)) = due.min().filter(|(due, _)| *due <= self.now) else { return };
        if let Some(member) = self.others.get_mut(&target) {
            member.retried_at = self.now;
        }
        let nonce = self.nonce();
        self.ping(target, nonce, out);
    }

    fn ask_page(&mut self, out: &mut Vec<MembershipEffect>) {
        if self.pages_left == 0 {
            return;
        }
        self.pages_left -= 1;
        if let Some(target) = self.some_living(1, InstanceId::default()).first() {
            let (after, record) = (self.page_after, self.me.clone());
            self.send(*target, &Message::SyncRequest { after, record }, out);
        }
    }

    fn forget(&mut self) {
        let (now, remembered) = (self.now, self.set.dead_retention);
        if !self.periods.is_multiple_of(SYNC_EVERY) {
            return;
        }
        let gone: Vec<InstanceId> = (self.others.iter())
            .filter(|(_, member)| !member.state.is_live() && member.since + remembered < now)
            .map(|(instance, _)| *instance)
            .collect();
        for instance in gone {
            if let Some(member) = self.others.remove(&instance) {
                let name = member.record.name;
                let left = self.by_name.get_mut(&name).is_some_and(|instances| {
                    instances.retain(|of| *of != instance);
                    instances.is_empty()
                });
                if left {
                    self.by_name.remove(&name);
                }
            }
            self.dead.remove(&instance);
            self.rumors.forget(instance);
        }
    }

    // ---- sending ----

    fn send(&mut self, to: InstanceId, body: &Message, out: &mut Vec<MembershipEffect>) {
        if let Some(address) = self.others.get(&to).map(|member| member.record.address) {
            self.send_to(address, to, body, out);
        }
    }

    fn send_to(
        &mut self,
        address: SocketAddr,
        to: InstanceId,
        body: &Message,
        out: &mut Vec<MembershipEffect>,
    ) {
        if self.sent_in_period >= self.set.max_datagrams_per_period {
            self.counters.rate_limited += 1;
            return;
        }
        self.counter += 1;
        let header = DatagramHeader { sender: self.me.instance, receiver: to, sequence: self.counter };
        // Who is suspected or held dead hears that first, so that it can say that it lives (Lifeguard's buddy system).
        let buddy = self.others.get(&to).and_then(|member| {
            let (instance, incarnation) = (to, member.record.incarnation);
            match member.state {
                MemberState::Suspect => {
                    Some(MemberUpdate::Suspect { instance, incarnation, reporter: self.me.instance })
                }
                MemberState::Dead => Some(MemberUpdate::Dead { instance, incarnation }),
                MemberState::Alive | MemberState::Left => None,
            }
        });
        // What is told where perhaps nobody is would count as told.
        let asks = to == InstanceId::default()
            || matches!(body, Message::Ping { .. }) && matches!(buddy, Some(MemberUpdate::Dead { .. }));
        let order = if asks { Vec::new() } else { self.rumors.order(MAX_DATAGRAM_BYTES / 16) };
        let all: Vec<&MemberUpdate> = buddy.iter().chain(self.rumors.at(&order)).collect();
        let (bytes, written) = self.codec.encode(header, body, &all);
        let written = written.saturating_sub(usize::from(buddy.is_some()));
        let limit = RETRANSMISSIONS * (usize::BITS - self.live_count().leading_zeros());
        self.rumors.told(&order[..written], limit);
        self.sent_in_period += 1;
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        out.push(MembershipEffect::Send { to: address, datagram: bytes });
    }

    // ---- what comes ----

    /// Takes a datagram in. Whatever it is, nothing is believed that was not sealed for this very process.
    pub fn handle_datagram(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) -> Vec<MembershipEffect> {
        self.now = self.now.max(now);
        let mut out = Vec::new();
        let datagram = match self.codec.decode(bytes) {
            Ok(datagram) => datagram,
            Err(error) => {
                let figure = match error {
                    DecodeError::Unauthenticated => &mut self.counters.unauthenticated,
                    DecodeError::Malformed => &mut self.counters.malformed,
                    DecodeError::UnsupportedFormat => &mut self.counters.unsupported_format,
                };
                *figure += 1;
                return out;
            }
        };
        let Datagram { header, body, rumors } = datagram;
        if header.sender == self.me.instance {
            // Its own, sent back by somebody.
            self.counters.wrong_instance += 1;
            return out;
        }
        if header.receiver != self.me.instance {
            // Made for an earlier process here, or before the sender had heard of this one: it may be a replay, so that
            // nothing of it counts. The sender is told who is here. A word of who is there is not answered by another one.
            self.counters.wrong_instance += 1;
            if !matches!(body, Message::Identify { .. }) && !self.leaving {
                let record = self.me.clone();
                self.send_to(from, header.sender, &Message::Identify { record }, &mut out);
            }
            return out;
        }
        if let Message::Ping { record, .. }
        | Message::Identify { record }
        | Message::SyncRequest { record, .. } = &body
        {
            if record.instance != header.sender {
                self.counters.malformed += 1;
                return out;
            }
            self.introduced(record, header.sequence, &mut out);
        }
        // Who has not said who it is, and is not known from others, says so when it is next pinged.
        let Some(sender) = self.others.get_mut(&header.sender) else {
            self.counters.wrong_instance += 1;
            return out;
        };
        if !sender.taken.take(header.sequence) {
            self.counters.replayed += 1;
            return out;
        }
        self.counters.accepted += 1;
        // Who holds this member dead hears otherwise now, where the answer to its datagram does not bring it.
        let held_dead = rumors.iter().find_map(|rumor| match rumor {
            MemberUpdate::Dead { instance, incarnation } if *instance == self.me.instance => {
                Some(*incarnation)
            }
            _ => None,
        });
        for rumor in rumors {
            self.hear(rumor, &mut out);
        }
        let answered = matches!(body, Message::Ping { .. } | Message::SyncRequest { .. });
        if !answered && !self.leaving && held_dead.is_some_and(|word| word < self.me.incarnation) {
            self.tell(header.sender, &mut out);
        }
        self.act(header.sender, body, &mut out);
        out
    }

    /// A member says who it is, in a datagram for this very process.
    fn introduced(&mut self, record: &MemberRecord, counter: u64, out: &mut Vec<MembershipEffect>) {
        let known = self.others.get(&record.instance);
        // A replay must not bring back an old word; the window tells below.
        if known.is_some_and(|member| !member.taken.clone().take(counter)) {
            return;
        }
        // Where another process answered before, that one has ended: two can't have one address.
        let there = self.by_address.get(&record.address).into_iter().flatten();
        let replaced: Vec<(InstanceId, u64)> = there
            .filter(|instance| **instance != record.instance)
            .filter_map(|instance| Some((*instance, self.others.get(instance)?.record.incarnation)))
            .collect();
        for (instance, incarnation) in replaced {
            out.push(MembershipEffect::Changed(MembershipChange::Replaced(instance)));
            self.dead(instance, incarnation, out);
        }
        self.alive(record.clone(), out);
    }

    fn act(&mut self, from: InstanceId, body: Message, out: &mut Vec<MembershipEffect>) {
        match body {
            Message::Ping { nonce, .. } => self.send(from, &Message::Ack { nonce }, out),
            Message::Ack { nonce } => {
                if let Some(i) = self.probes.iter().position(|probe| probe.nonce == nonce) {
                    self.probes.swap_remove(i);
                    self.health = self.health.saturating_sub(1);
                }
                if let Some(i) = self.helped.iter().position(|helped| helped.nonce == nonce) {
                    let helped = self.helped.swap_remove(i);
                    self.send(helped.for_session, &Message::Ack { nonce: helped.their_nonce }, out);
                }
            }
            Message::PingRequest { nonce: their_nonce, target, address } => {
                if self.helped.len() < MOST_HELPED && target != self.me.instance {
                    let nonce = self.nonce();
                    let nack_at = Some(self.now + self.set.period.scale(NACK));
                    let until = self.now + self.set.period;
                    self.helped.push(Helped { nonce, for_session: from, their_nonce, nack_at, until });
                    let record = self.me.clone();
                    self.send_to(address, target, &Message::Ping { nonce, record }, out);
                }
            }
            Message::Nack { nonce } => {
                if let Some(probe) = self.probes.iter_mut().find(|probe| probe.nonce == nonce) {
                    probe.nacks += 1;
                }
            }
            // Whom it was sent for is not there any more, or this one is new to somebody.
            Message::Identify { .. } => {
                // Nothing tells it so far that it is held dead.
                if self.others.get(&from).is_some_and(|member| member.state == MemberState::Dead) {
                    let nonce = self.nonce();
                    self.ping(from, nonce, out);
                }
                if !self.knows_all {
                    self.ask_page(out);
                }
            }
            Message::SyncRequest { after, .. } => {
                let page = self.page(after);
                self.send(from, &page, out);
            }
            Message::SyncPage { last, members } => self.take_page(from, last, members, out),
        }
    }

    /// As many members as fit, by rising instances after this one, then from the first on: a page costs the same however
    /// many there are.
    fn page(&self, after: InstanceId) -> Message {
        let next = InstanceId(after.0.saturating_add(1));
        let row = |(_, member): (_, &'_ Peer)| (member.state, member.record.clone());
        // More than fit, by the shortest record.
        let most = MAX_DATAGRAM_BYTES / 32;
        let mut later: Vec<(MemberState, MemberRecord)> =
            self.others.range(next..).take(most).map(row).collect();
        let mut earlier: Vec<(MemberState, MemberRecord)> =
            self.others.range(..next).take(most).map(row).collect();
        // This member stands among the others.
        if !self.leaving {
            let part = if self.me.instance > after { &mut later } else { &mut earlier };
            let at = part.partition_point(|(_, record)| record.instance < self.me.instance);
            part.insert(at, (MemberState::Alive, self.me.clone()));
        }
        let to_the_end = later.len();
        let mut room = self.codec.page_room();
        let mut members = Vec::new();
        for (state, record) in later.into_iter().chain(earlier) {
            let size = wire::on_page(&record);
            if size > room || members.len() == usize::from(u8::MAX) {
                break;
            }
            room -= size;
            members.push((state, record));
        }
        Message::SyncPage { last: members.len() >= to_the_end, members }
    }

    fn take_page(
        &mut self,
        from: InstanceId,
        last: bool,
        members: Vec<(MemberState, MemberRecord)>,
        out: &mut Vec<MembershipEffect>,
    ) {
        let Some(end) = members.last().map(|(_, record)| record.instance) else {
            if last {
                (self.page_after, self.knows_all) = (InstanceId::default(), true);
            }
            return;
        };
        for (state, record) in members {
            let (instance, incarnation) = (record.instance, record.incarnation);
            match state {
                MemberState::Alive => self.hear(MemberUpdate::Alive(record), out),
                MemberState::Left => self.hear(MemberUpdate::Left { instance, incarnation }, out),
                // An old word: who is meant has time to say that it lives.
                MemberState::Suspect | MemberState::Dead if self.others.contains_key(&instance) => {
                    self.hear(MemberUpdate::Suspect { instance, incarnation, reporter: from }, out);
                }
                MemberState::Suspect => self.hear(MemberUpdate::Alive(record), out),
                MemberState::Dead => {}
            }
        }
        if last {
            (self.page_after, self.knows_all) = (InstanceId::default(), true);
        } else {
            self.page_after = end;
            if !self.knows_all {
                self.ask_page(out);
            }
        }
    }

    fn hear(&mut self, rumor: MemberUpdate, out: &mut Vec<MembershipEffect>) {
        if rumor.instance() == self.me.instance {
            match rumor {
                MemberUpdate::Suspect { incarnation, .. } | MemberUpdate::Dead { incarnation, .. } => {
                    self.refute(incarnation, out);
                }
                // What an earlier datagram of its own said, or a process that wrongly has its instance.
                MemberUpdate::Alive(_) | MemberUpdate::Left { .. } => {}
            }
            return;
        }
        match rumor {
            MemberUpdate::Alive(record) => self.alive(record, out),
            MemberUpdate::Suspect { instance, incarnation, reporter: by } => {
                self.suspect(instance, incarnation, by, out)
            }
            MemberUpdate::Dead { instance, incarnation } => self.dead(instance, incarnation, out),
            MemberUpdate::Left { instance, incarnation } => self.left(instance, incarnation, out),
        }
    }

    /// Others say that this member does not answer: it says otherwise, to some at once.
    fn refute(&mut self, incarnation: u64, out: &mut Vec<MembershipEffect>) {
        if self.leaving {
            return;
        }
        if incarnation < self.me.incarnation {
            // Said already, but not heard by all: whoever says it in a ping has it in the answer.
            return self.rumors.add(MemberUpdate::Alive(self.me.clone()));
        }
        // A word above all others would leave nothing to say: only a broken member says it.
        self.me.incarnation = incarnation.saturating_add(1);
        self.counters.refutations += 1;
        self.worse(1);
        self.rumors.add(MemberUpdate::Alive(self.me.clone()));
        self.tell_some(out);
        out.push(MembershipEffect::Changed(MembershipChange::Refuted));
    }

    /// Tells some others what is new, without waiting for a ping.
    fn tell_some(&mut self, out: &mut Vec<MembershipEffect>) {
        for target in self.some_living(2 * HELPERS, InstanceId::default()) {
            self.tell(target, out);
        }
    }

    fn tell(&mut self, target: InstanceId, out: &mut Vec<MembershipEffect>) {
        // A page of nothing: the rumors are what it is sent for.
        self.send(target, &Message::SyncPage { last: false, members: Vec::new() }, out);
    }

    fn say_again(&mut self) {
        // A broken member may have taken it to the top.
        self.me.incarnation = self.me.incarnation.saturating_add(1);
        self.rumors.add(MemberUpdate::Alive(self.me.clone()));
    }

    // ---- what is believed ----

    fn alive(&mut self, record: MemberRecord, out: &mut Vec<MembershipEffect>) {
        let instance = record.instance;
        if instance == self.me.instance {
            return;
        }
        let Some(member) = self.others.get_mut(&instance) else {
            self.rumors.add(MemberUpdate::Alive(record.clone()));
            self.by_name.entry(record.name.clone()).or_default().push(instance);
            let since = self.now;
            let member = Peer {
                record,
                state: MemberState::Alive,
                since,
                confirmed: Vec::new(),
                check: Check::Others,
                retried_at: Micros(0),
                taken: ReplayWindow::default(),
            };
            self.others.insert(instance, member);
            self.living += 1;
            self.enter(instance);
            // Somewhere in the order, also where this round has passed (SWIM section 4.3): in the rest of a round that is
            // nearly over at all members they would all ping it in the same periods, and nobody in the others.
            let place = self.rng.random_range(0..=self.round.len());
            self.round.insert(place, instance);
            self.at += usize::from(place < self.at);
            out.push(MembershipEffect::Changed(MembershipChange::Joined(instance)));
            return self.settle(instance, out);
        };
        // Who has left does not come back as the same process.
        if record.incarnation <= member.record.incarnation || member.state == MemberState::Left {
            return;
        }
        let before = member.state;
        // A process has one name for its life: the table of names rests on it.
        let record = MemberRecord { name: member.record.name.clone(), ..record };
        let old = std::mem::replace(&mut member.record, record.clone()).address;
        (member.state, member.since) = (MemberState::Alive, self.now);
        member.confirmed.clear();
        member.check = Check::Others;
        self.suspects.remove(&instance);
        self.dead.remove(&instance);
        self.exit(instance, old);
        self.enter(instance);
        self.rumors.add(MemberUpdate::Alive(record));
        if before != MemberState::Alive {
            self.living += usize::from(before == MemberState::Dead);
            out.push(MembershipEffect::Changed(MembershipChange::Recovered(instance)));
        }
        self.settle(instance, out);
    }

    /// Whether an older word is said of a member than is known here. Who says it has not heard the newer one, and does with
    /// the answer.
    fn corrects(&mut self, instance: InstanceId, incarnation: u64) -> bool {
        let Some(member) = self.others.get(&instance) else { return false };
        let older = incarnation < member.record.incarnation;
        if older && member.state == MemberState::Alive {
            self.rumors.add(MemberUpdate::Alive(member.record.clone()));
        }
        older
    }

    fn suspect(
        &mut self,
        instance: InstanceId,
        incarnation: u64,
        by: InstanceId,
        out: &mut Vec<MembershipEffect>,
    ) {
        let now = self.now;
        if self.corrects(instance, incarnation) {
            return;
        }
        let Some(member) = self.others.get_mut(&instance) else { return };
        match member.state {
            MemberState::Alive => {
                (member.state, member.since) = (MemberState::Suspect, now);
                member.confirmed = vec![by];
                let checks = self.rng.random::<f64>() < CHECKERS / (self.living + 1) as f64;
                member.check = if checks { Check::Due } else { Check::Others };
                // It may have said more since than has come here.
                member.record.incarnation = incarnation;
                self.suspects.insert(instance);
                self.rumors.add(MemberUpdate::Suspect { instance, incarnation, reporter: by });
                out.push(MembershipEffect::Changed(MembershipChange::Suspected(instance)));
                // Some ping it out of turn: it hears of it soon, and others confirm it soon.
                let others = self.living.max(1) as f64;
                if by != self.me.instance && self.rng.random::<f64>() < (CONFIRMATIONS + 1) as f64 / others {
                    self.next = Some(instance);
                }
            }
            MemberState::Suspect
                if member.confirmed.len() <= CONFIRMATIONS && !member.confirmed.contains(&by) =>
            {
                member.confirmed.push(by);
                self.rumors.add(MemberUpdate::Suspect { instance, incarnation, reporter: by });
            }
            MemberState::Suspect | MemberState::Dead | MemberState::Left => {}
        }
    }

    fn dead(&mut self, instance: InstanceId, incarnation: u64, out: &mut Vec<MembershipEffect>) {
        let each = self.set.period.scale(self.retry_interval().max(1.0));
        if self.corrects(instance, incarnation) {
            return;
        }
        let Some(member) = self.others.get_mut(&instance).filter(|member| member.state.is_live()) else {
            return;
        };
        (member.state, member.since) = (MemberState::Dead, self.now);
        // Those that hear of it together must not ask together whether it is back.
        member.retried_at = self.now - each.scale(self.rng.random::<f64>());
        member.record.incarnation = incarnation;
        self.gone(
            instance,
            MemberUpdate::Dead { instance, incarnation },
            MembershipChange::Died(instance),
            out,
        );
    }

    fn left(&mut self, instance: InstanceId, incarnation: u64, out: &mut Vec<MembershipEffect>) {
        let Some(member) = self.others.get_mut(&instance) else { return };
        if incarnation < member.record.incarnation || member.state == MemberState::Left {
            return;
        }
        let lived = member.state.is_live();
        (member.state, member.since) = (MemberState::Left, self.now);
        member.record.incarnation = incarnation;
        self.living += usize::from(!lived);
        self.gone(
            instance,
            MemberUpdate::Left { instance, incarnation },
            MembershipChange::Left(instance),
            out,
        );
    }

    fn gone(
        &mut self,
        instance: InstanceId,
        rumor: MemberUpdate,
        change: MembershipChange,
        out: &mut Vec<MembershipEffect>,
    ) {
        if let Some(member) = self.others.get_mut(&instance) {
            member.confirmed.clear();
            let address = member.record.address;
            self.exit(instance, address);
        }
        self.living -= 1;
        self.suspects.remove(&instance);
        match change {
            MembershipChange::Died(_) => self.dead.insert(instance),
            _ => self.dead.remove(&instance),
        };
        self.rumors.add(rumor);
        out.push(MembershipEffect::Changed(change));
        self.settle(instance, out);
    }

    /// A process lives at its address.
    fn enter(&mut self, instance: InstanceId) {
        if let Some(member) = self.others.get(&instance) {
            self.by_address.entry(member.record.address).or_default().insert(instance);
        }
    }

    /// It lives there no more.
    fn exit(&mut self, instance: InstanceId, address: SocketAddr) {
        if let Some(there) = self.by_address.get_mut(&address) {
            there.remove(&instance);
            if there.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }

    /// Looks whether two living processes claim the name of this one.
    fn settle(&mut self, instance: InstanceId, out: &mut Vec<MembershipEffect>) {
        let Some(name) = self.others.get(&instance).map(|member| member.record.name.clone()) else { return };
        let of_name =
            self.by_name.get(&name).into_iter().flatten().filter_map(|instance| self.others.get(instance));
        let mut addresses: BTreeSet<SocketAddr> =
            of_name.filter(|member| member.state.is_live()).map(|member| member.record.address).collect();
        if name == self.me.name {
            addresses.insert(self.me.address);
        }
        if addresses.len() > 1 {
            if self.claimed.insert(name.clone()) {
                out.push(MembershipEffect::Changed(MembershipChange::NameConflict(name)));
            }
        } else if self.claimed.remove(&name) {
            out.push(MembershipEffect::Changed(MembershipChange::NameConflictResolved(name)));
        }
    }
}
