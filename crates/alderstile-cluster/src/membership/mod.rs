//! Who is there: failure detection and dissemination after SWIM (Das, Gupta, Motivala 2002), with the local health of
//! Lifeguard (Dadgar, Phillips, Currey 2018).
//!
//! Every period a member pings one other, in an order that is random but names each once a round. Without an answer it
//! has others ping for it, and then suspects: whom everyone suspects for long enough, without hearing it say otherwise, is
//! dead. All of that travels on the pings and their answers. A member whose own probes fail, or who was suspected though
//! it lives, trusts itself less and waits longer.
//!
//! Bounds, with N members and the period T: a member sends at most [`Settings::most`] datagrams a period of at most
//! [`MAX_DATAGRAM`] bytes; a member that dies is suspected after e/(e-1) T in the mean, and is dead to all after
//! [`Settings::suspicion`] more.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use alderstile::types::Micros;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

mod replay;
mod rumors;
mod view;
mod wire;

pub use view::{Change, Counts, Figures, MAX_FACTS, MAX_NAME, MAX_ZONE, Record, Session, State, Unfit};
pub use wire::{Body, Datagram, DatagramCodec, Header, Rumor};

use crate::authentication::{DecodeError, MAX_DATAGRAM_BYTES};
use replay::Window;
use rumors::Rumors;

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
pub struct Settings {
    /// The protocol period. A round trip has to fit into a quarter of it.
    pub period: Micros,
    /// The least time that a suspicion lasts, in periods for each power of ten of the members' number (Lifeguard's alpha).
    pub suspicion: f64,
    /// Datagrams that this member sends in a period at most.
    pub most: u32,
    /// How long the dead and those that left are remembered, and the dead asked whether they are back.
    pub remembered: Micros,
    /// Whether a member trusts itself less when its probes fail. Without, this is plain SWIM.
    pub local_health: bool,
}

impl Settings {
    /// Usual settings with this period.
    pub fn with_period(period: Micros) -> Self {
        Settings { period, suspicion: 3.0, most: 64, remembered: Micros(3_600_000_000), local_health: true }
    }

    /// The least time that a suspicion lasts among so many members.
    pub fn least_suspicion(&self, members: usize) -> Micros {
        self.period.scale(self.suspicion * (members as f64).log10().max(1.0))
    }
}

/// What a call of the core wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Out {
    /// Send these bytes there.
    Send(SocketAddr, Vec<u8>),
    /// The view has changed.
    Tell(Change),
}

/// Another process of a member, as this one sees it.
#[derive(Clone, Debug)]
pub struct Member {
    /// What it told of itself last.
    pub record: Record,
    /// How it is seen.
    pub state: State,
    /// Since when.
    pub since: Micros,
    /// Who confirmed that it does not answer, while it is suspected.
    confirmed: Vec<Session>,
    /// Whether this process pings it once more before it holds it dead.
    check: Check,
    /// When this process asked it last whether it is back, while it is held dead.
    retried_at: Micros,
    taken: Window,
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
    target: Session,
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
    for_session: Session,
    their_nonce: u64,
    nack_at: Option<Micros>,
    until: Micros,
}

/// One member's view, and what it does to keep it.
pub struct Members {
    set: Settings,
    codec: DatagramCodec,
    me: Record,
    rng: Pcg64Mcg,
    now: Micros,
    others: BTreeMap<Session, Member>,
    suspects: BTreeSet<Session>,
    dead: BTreeSet<Session>,
    /// The living by their addresses.
    by_address: BTreeMap<SocketAddr, BTreeSet<Session>>,
    /// All processes of each name that are remembered.
    by_name: BTreeMap<Box<str>, Vec<Session>>,
    claimed: BTreeSet<Box<str>>,
    living: usize,
    /// The order of this round, and where it stands.
    round: Vec<Session>,
    at: usize,
    /// Suspected by another: to be pinged out of turn.
    next: Option<Session>,
    probes: Vec<Probe>,
    /// Periods until the next one begins.
    rest: u32,
    helped: Vec<Helped>,
    rumors: Rumors,
    health: u32,
    counter: u64,
    nonce: u64,
    periods: u64,
    period_at: Micros,
    sent_in_period: u32,
    pages_left: u32,
    /// Whose session came last in the page asked for next; whether all have been asked for once.
    page_after: Session,
    knows_all: bool,
    seeds: Vec<SocketAddr>,
    /// Which of the seeds is the next to be asked, and when one was, while one is missing.
    seed: usize,
    seed_retried_at: Option<Micros>,
    /// Periods without anybody, and which part of the time between two seeds passes now.
    periods_alone: u64,
    jitter: f64,
    leaving: bool,
    figures: Figures,
}

impl Members {
    /// A member that knows its seeds at most. `me` must have been checked ([`Record::check`]).
    pub fn new(
        set: Settings,
        codec: DatagramCodec,
        me: Record,
        seeds: Vec<SocketAddr>,
        seed: u64,
        now: Micros,
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // Members that start together must not ping together.
        let period_at = now + set.period.scale(rng.random::<f64>());
        let seeds: Vec<SocketAddr> = seeds.into_iter().filter(|seed| *seed != me.address).collect();
        let seed = rng.random_range(0..seeds.len().max(1));
        Members {
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
            rumors: Rumors::default(),
            health: 0,
            counter: 0,
            nonce: 0,
            periods: 0,
            period_at,
            sent_in_period: 0,
            pages_left: PAGES,
            page_after: Session::default(),
            knows_all: false,
            seeds,
            seed,
            seed_retried_at: None,
            periods_alone: 0,
            jitter: 1.0,
            leaving: false,
            figures: Figures::default(),
            me,
        }
    }

    /// Begins with members already known.
    pub fn knowing(mut self, records: impl IntoIterator<Item = Record>) -> Self {
        let mut out = Vec::new();
        for record in records {
            self.alive(record, &mut out);
        }
        // All that is known was told by others: nothing of it is news.
        self.rumors = Rumors::default();
        self.knows_all = self.living > 0;
        self
    }

    /// Goes on in place of another process of the same member, whose next datagram had this number.
    pub fn taking_over(mut self, counter: u64) -> Self {
        self.counter = counter;
        self
    }

    // ---- what is known ----

    /// What this member tells of itself.
    pub fn me(&self) -> &Record {
        &self.me
    }

    /// The number of the last datagram sent.
    pub fn counter(&self) -> u64 {
        self.counter
    }

    /// The others, by their sessions; also the dead and those that left, while they are remembered.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.others.values()
    }

    /// One of the others.
    pub fn other(&self, session: Session) -> Option<&Member> {
        self.others.get(&session)
    }

    /// Members that live as far as is known, this one included.
    pub fn count(&self) -> usize {
        self.living + 1
    }

    /// Members by state, and what was sent and came.
    pub fn counts(&self) -> Counts {
        Counts {
            alive: self.count() - self.suspects.len(),
            suspect: self.suspects.len(),
            dead: self.dead.len(),
            claimed: self.claimed.len(),
            health: self.health,
            figures: self.figures,
        }
    }

    /// Names that two living processes claim.
    pub fn claimed(&self) -> &BTreeSet<Box<str>> {
        &self.claimed
    }

    /// How far this member trusts itself: 0 wholly, [`WORST`] hardly.
    pub fn health(&self) -> u32 {
        self.health
    }

    /// What was sent and what came.
    pub fn figures(&self) -> Figures {
        self.figures
    }

    // ---- what is said from outside ----

    /// The settings that this member goes by have this digest from now on.
    pub fn set_digest(&mut self, digest: u64) {
        if self.me.digest != digest {
            self.me.digest = digest;
            self.say_again();
        }
    }

    /// Sets or, with nothing, takes away a fact of this member.
    pub fn set_fact(&mut self, tag: u8, bytes: &[u8]) -> Result<(), Unfit> {
        if self.me.fact(tag).unwrap_or_default() != bytes {
            self.me.set_fact(tag, bytes)?;
            self.say_again();
        }
        Ok(())
    }

    /// Other keys from now on.
    pub fn set_codec(&mut self, codec: DatagramCodec) {
        self.codec = codec;
    }

    /// This member is about to go: tells some others at once, which tell the rest.
    pub fn leave(&mut self, now: Micros) -> Vec<Out> {
        self.now = self.now.max(now);
        self.leaving = true;
        self.me.incarnation = self.me.incarnation.saturating_add(1);
        let (session, incarnation) = (self.me.session, self.me.incarnation);
        self.rumors.add(Rumor::Left { session, incarnation });
        let mut out = Vec::new();
        self.tell_some(&mut out);
        out
    }

    // ---- time ----

    /// When [`Members::tick`] has something to do next.
    pub fn due(&self) -> Micros {
        let probes = self.probes.iter().map(|probe| probe.due);
        let helped = self.helped.iter().map(|helped| helped.nack_at.unwrap_or(helped.until));
        let suspects = self.suspects.iter().map(|session| self.dies_at(*session));
        probes.chain(helped).chain(suspects).fold(self.period_at, Micros::min)
    }

    /// Does what is due. A clock that goes back stands still until it is where it was.
    pub fn tick(&mut self, now: Micros) -> Vec<Out> {
        let mut out = Vec::new();
        let late = now - self.due();
        self.now = self.now.max(now);
        if late > self.set.period.scale(0.5) {
            self.stood_still(late, &mut out);
        }
        self.give_helpers_word(&mut out);
        self.go_on_probing(&mut out);
        let overdue: Vec<Session> =
            self.suspects.iter().copied().filter(|session| self.dies_at(*session) <= self.now).collect();
        for session in overdue {
            let Some(member) = self.others.get_mut(&session) else { continue };
            let incarnation = member.record.incarnation;
            // Also whom others were to ping: word of what came of that has not come here.
            if !matches!(member.check, Check::Until(_)) {
                member.check = Check::Until(self.now + self.set.period.scale(INDIRECT));
                let nonce = self.nonce();
                self.ping(session, nonce, &mut out);
                // A datagram that is lost must not cost a member its life: some others ask it too.
                self.ask_helpers(HELPERS - 1, session, nonce, &mut out);
            } else {
                self.dead(session, incarnation, &mut out);
            }
        }
        if self.period_at <= self.now {
            self.begin_period(&mut out);
        }
        out
    }

    /// Guards against a process that was stopped, or whose machine slept: what it did not hear in that time tells
    /// nothing of others.
    fn stood_still(&mut self, late: Micros, out: &mut Vec<Out>) {
        self.probes.clear();
        self.helped.clear();
        self.worse(1);
        for session in &self.suspects {
            if let Some(member) = self.others.get_mut(session) {
                member.since = member.since + late;
            }
        }
        out.push(Out::Tell(Change::StoodStill(late)));
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

    fn dies_at(&self, session: Session) -> Micros {
        let Some(member) = self.others.get(&session) else { return self.now };
        let least = self.set.least_suspicion(self.count());
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

    fn begin_period(&mut self, out: &mut Vec<Out>) {
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
            self.next.take().filter(|session| self.may_probe(*session)).or_else(|| self.next_in_round())
        else {
            return;
        };
        let nonce = self.nonce();
        let due = self.now + self.patient(DIRECT);
        self.probes.push(Probe { target, nonce, due, asked: false, helpers: 0, nacks: 0 });
        self.ping(target, nonce, out);
    }

    fn lives(&self, session: Session) -> bool {
        self.others.get(&session).is_some_and(|member| member.state.lives())
    }

    /// Whom a probe waits for is not probed a second time meanwhile.
    fn may_probe(&self, session: Session) -> bool {
        self.lives(session) && self.probes.iter().all(|probe| probe.target != session)
    }

    /// The next in an order that is random and names each once a round (SWIM section 4.3).
    fn next_in_round(&mut self) -> Option<Session> {
        for _ in 0..2 {
            while let Some(session) = self.round.get(self.at).copied() {
                self.at += 1;
                if self.may_probe(session) {
                    return Some(session);
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
        round.retain(|session| self.lives(*session));
        let in_it: BTreeSet<Session> = round.iter().copied().collect();
        for (session, member) in &self.others {
            if member.state.lives() && !in_it.contains(session) {
                round.insert(self.rng.random_range(0..=round.len()), *session);
            }
        }
        (self.round, self.at) = (round, 0);
    }

    fn nonce(&mut self) -> u64 {
        self.nonce += 1;
        // Answers to another process's pings must not pass for answers to this one's.
        self.nonce ^ self.me.session.0
    }

    fn ping(&mut self, target: Session, nonce: u64, out: &mut Vec<Out>) {
        let record = self.me.clone();
        self.send(target, &Body::Ping { nonce, record }, out);
    }

    fn go_on_probing(&mut self, out: &mut Vec<Out>) {
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
    fn ask_helpers(&mut self, count: usize, target: Session, nonce: u64, out: &mut Vec<Out>) -> u32 {
        let Some(address) = self.others.get(&target).map(|member| member.record.address) else { return 0 };
        let helpers = self.some_living(count, target);
        for helper in &helpers {
            self.send(*helper, &Body::PingFor { nonce, target, address }, out);
        }
        helpers.len() as u32
    }

    fn unanswered(&mut self, probe: Probe, out: &mut Vec<Out>) {
        // Helpers that say nothing at all tell of this member's own way (Lifeguard section IV-A).
        self.worse(if probe.helpers > 0 { probe.helpers - probe.nacks.min(probe.helpers) } else { 1 });
        let Some(member) = self.others.get(&probe.target).filter(|member| member.state.lives()) else {
            return;
        };
        let incarnation = member.record.incarnation;
        if member.state == State::Alive {
            self.figures.suspected += 1;
        }
        self.suspect(probe.target, incarnation, self.me.session, out);
    }

    /// So many others that live, by chance.
    fn some_living(&mut self, count: usize, but: Session) -> Vec<Session> {
        let living: Vec<Session> = self
            .others
            .iter()
            .filter(|(session, member)| **session != but && member.state == State::Alive)
            .map(|(session, _)| *session)
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

    fn give_helpers_word(&mut self, out: &mut Vec<Out>) {
        let now = self.now;
        let mut silent = Vec::new();
        for helped in &mut self.helped {
            if helped.nack_at.is_some_and(|at| at <= now) {
                helped.nack_at = None;
                silent.push((helped.for_session, helped.their_nonce));
            }
        }
        self.helped.retain(|helped| helped.until > now);
        for (session, nonce) in silent {
            self.send(session, &Body::Nack { nonce }, out);
        }
    }

    /// The time between two asks of one address by this member, where all members together ask it [`ASKED_TOGETHER`] times a
    /// period: where 3,000 asked one address each, the process that had come back there had no answers left for anyone else.
    fn retry_interval(&self) -> f64 {
        self.count() as f64 / ASKED_TOGETHER
    }

    /// A member asks its seeds for those that it does not know, one after the other; alone ever less often.
    fn ask_seeds(&mut self, out: &mut Vec<Out>) {
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
            self.send_to(self.seeds[place], Session::default(), &Body::Ping { nonce, record }, out);
        }
    }

    /// The addresses where one lived that is held dead and nobody is known to live now: when it was asked last, and the one
    /// that died there last.
    fn dead_addresses(&self) -> BTreeMap<SocketAddr, (Micros, Session)> {
        let mut addresses: BTreeMap<SocketAddr, (Micros, Session)> = BTreeMap::new();
        for session in &self.dead {
            let Some(member) = self.others.get(session) else { continue };
            let address = member.record.address;
            if self.by_address.contains_key(&address) {
                continue;
            }
            let last = addresses.entry(address).or_insert((member.retried_at, *session));
            last.0 = last.0.max(member.retried_at);
            if self.others.get(&last.1).is_some_and(|other| other.since < member.since) {
                last.1 = *session;
            }
        }
        addresses
    }

    /// Those held dead may be back: after a split nobody else would ever look for them. Of those whose time has come, the
    /// one that has waited longest is asked, so that with few members left none waits for more than all others.
    fn ask_a_dead_one(&mut self, out: &mut Vec<Out>) {
        let each = self.retry_interval();
        let due = self.dead_addresses().into_values().filter_map(|(retried_at, session)| {
            let since = self.others.get(&session)?.since;
            // Those that have long been away are asked less often.
            let lately = since + self.set.period.scale(LONG_AWAY) > self.now;
            let each = if lately { each } else { each * SELDOM };
            Some((retried_at + self.set.period.scale(each.max(1.0)), session))
        });
        let Some((_, target)) = due.min().filter(|(due, _)| *due <= self.now) else { return };
        if let Some(member) = self.others.get_mut(&target) {
            member.retried_at = self.now;
        }
        let nonce = self.nonce();
        self.ping(target, nonce, out);
    }

    fn ask_page(&mut self, out: &mut Vec<Out>) {
        if self.pages_left == 0 {
            return;
        }
        self.pages_left -= 1;
        if let Some(target) = self.some_living(1, Session::default()).first() {
            let (after, record) = (self.page_after, self.me.clone());
            self.send(*target, &Body::Sync { after, record }, out);
        }
    }

    fn forget(&mut self) {
        let (now, remembered) = (self.now, self.set.remembered);
        if !self.periods.is_multiple_of(SYNC_EVERY) {
            return;
        }
        let gone: Vec<Session> = (self.others.iter())
            .filter(|(_, member)| !member.state.lives() && member.since + remembered < now)
            .map(|(session, _)| *session)
            .collect();
        for session in gone {
            if let Some(member) = self.others.remove(&session) {
                let name = member.record.name;
                let left = self.by_name.get_mut(&name).is_some_and(|sessions| {
                    sessions.retain(|of| *of != session);
                    sessions.is_empty()
                });
                if left {
                    self.by_name.remove(&name);
                }
            }
            self.dead.remove(&session);
            self.rumors.forget(session);
        }
    }

    // ---- sending ----

    fn send(&mut self, to: Session, body: &Body, out: &mut Vec<Out>) {
        if let Some(address) = self.others.get(&to).map(|member| member.record.address) {
            self.send_to(address, to, body, out);
        }
    }

    fn send_to(&mut self, address: SocketAddr, to: Session, body: &Body, out: &mut Vec<Out>) {
        if self.sent_in_period >= self.set.most {
            self.figures.held_back += 1;
            return;
        }
        self.counter += 1;
        let header = Header { from: self.me.session, to, counter: self.counter };
        // Who is suspected or held dead hears that first, so that it can say that it lives (Lifeguard's buddy system).
        let buddy = self.others.get(&to).and_then(|member| {
            let (session, incarnation) = (to, member.record.incarnation);
            match member.state {
                State::Suspect => Some(Rumor::Suspect { session, incarnation, by: self.me.session }),
                State::Dead => Some(Rumor::Dead { session, incarnation }),
                State::Alive | State::Left => None,
            }
        });
        // What is told where perhaps nobody is would count as told.
        let asks = to == Session::default()
            || matches!(body, Body::Ping { .. }) && matches!(buddy, Some(Rumor::Dead { .. }));
        let order = if asks { Vec::new() } else { self.rumors.order(MAX_DATAGRAM_BYTES / 16) };
        let all: Vec<&Rumor> = buddy.iter().chain(self.rumors.at(&order)).collect();
        let (bytes, written) = self.codec.encode(header, body, &all);
        let written = written.saturating_sub(usize::from(buddy.is_some()));
        let limit = RETRANSMISSIONS * (usize::BITS - self.count().leading_zeros());
        self.rumors.told(&order[..written], limit);
        self.sent_in_period += 1;
        self.figures.sent += 1;
        self.figures.sent_bytes += bytes.len() as u64;
        out.push(Out::Send(address, bytes));
    }

    // ---- what comes ----

    /// Takes a datagram in. Whatever it is, nothing is believed that was not sealed for this very process.
    pub fn received(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) -> Vec<Out> {
        self.now = self.now.max(now);
        let mut out = Vec::new();
        let datagram = match self.codec.decode(bytes) {
            Ok(datagram) => datagram,
            Err(error) => {
                let figure = match error {
                    DecodeError::Unauthenticated => &mut self.figures.foreign,
                    DecodeError::Malformed => &mut self.figures.damaged,
                    DecodeError::UnsupportedFormat => &mut self.figures.newer,
                };
                *figure += 1;
                return out;
            }
        };
        let Datagram { header, body, rumors } = datagram;
        if header.from == self.me.session {
            // Its own, sent back by somebody.
            self.figures.stale += 1;
            return out;
        }
        if header.to != self.me.session {
            // Made for an earlier process here, or before the sender had heard of this one: it may be a replay, so that
            // nothing of it counts. The sender is told who is here. A word of who is there is not answered by another one.
            self.figures.stale += 1;
            if !matches!(body, Body::Handshake { .. }) && !self.leaving {
                let record = self.me.clone();
                self.send_to(from, header.from, &Body::Handshake { record }, &mut out);
            }
            return out;
        }
        if let Body::Ping { record, .. } | Body::Handshake { record } | Body::Sync { record, .. } = &body {
            if record.session != header.from {
                self.figures.damaged += 1;
                return out;
            }
            self.introduced(record, header.counter, &mut out);
        }
        // Who has not said who it is, and is not known from others, says so when it is next pinged.
        let Some(sender) = self.others.get_mut(&header.from) else {
            self.figures.stale += 1;
            return out;
        };
        if !sender.taken.take(header.counter) {
            self.figures.replayed += 1;
            return out;
        }
        self.figures.taken += 1;
        // Who holds this member dead hears otherwise now, where the answer to its datagram does not bring it.
        let held_dead = rumors.iter().find_map(|rumor| match rumor {
            Rumor::Dead { session, incarnation } if *session == self.me.session => Some(*incarnation),
            _ => None,
        });
        for rumor in rumors {
            self.hear(rumor, &mut out);
        }
        let answered = matches!(body, Body::Ping { .. } | Body::Sync { .. });
        if !answered && !self.leaving && held_dead.is_some_and(|word| word < self.me.incarnation) {
            self.tell(header.from, &mut out);
        }
        self.act(header.from, body, &mut out);
        out
    }

    /// A member says who it is, in a datagram for this very process.
    fn introduced(&mut self, record: &Record, counter: u64, out: &mut Vec<Out>) {
        let known = self.others.get(&record.session);
        // A replay must not bring back an old word; the window tells below.
        if known.is_some_and(|member| !member.taken.clone().take(counter)) {
            return;
        }
        // Where another process answered before, that one has ended: two can't have one address.
        let there = self.by_address.get(&record.address).into_iter().flatten();
        let replaced: Vec<(Session, u64)> = there
            .filter(|session| **session != record.session)
            .filter_map(|session| Some((*session, self.others.get(session)?.record.incarnation)))
            .collect();
        for (session, incarnation) in replaced {
            out.push(Out::Tell(Change::Replaced(session)));
            self.dead(session, incarnation, out);
        }
        self.alive(record.clone(), out);
    }

    fn act(&mut self, from: Session, body: Body, out: &mut Vec<Out>) {
        match body {
            Body::Ping { nonce, .. } => self.send(from, &Body::Ack { nonce }, out),
            Body::Ack { nonce } => {
                if let Some(i) = self.probes.iter().position(|probe| probe.nonce == nonce) {
                    self.probes.swap_remove(i);
                    self.health = self.health.saturating_sub(1);
                }
                if let Some(i) = self.helped.iter().position(|helped| helped.nonce == nonce) {
                    let helped = self.helped.swap_remove(i);
                    self.send(helped.for_session, &Body::Ack { nonce: helped.their_nonce }, out);
                }
            }
            Body::PingFor { nonce: their_nonce, target, address } => {
                if self.helped.len() < MOST_HELPED && target != self.me.session {
                    let nonce = self.nonce();
                    let nack_at = Some(self.now + self.set.period.scale(NACK));
                    let until = self.now + self.set.period;
                    self.helped.push(Helped { nonce, for_session: from, their_nonce, nack_at, until });
                    let record = self.me.clone();
                    self.send_to(address, target, &Body::Ping { nonce, record }, out);
                }
            }
            Body::Nack { nonce } => {
                if let Some(probe) = self.probes.iter_mut().find(|probe| probe.nonce == nonce) {
                    probe.nacks += 1;
                }
            }
            // Whom it was sent for is not there any more, or this one is new to somebody.
            Body::Handshake { .. } => {
                // Nothing tells it so far that it is held dead.
                if self.others.get(&from).is_some_and(|member| member.state == State::Dead) {
                    let nonce = self.nonce();
                    self.ping(from, nonce, out);
                }
                if !self.knows_all {
                    self.ask_page(out);
                }
            }
            Body::Sync { after, .. } => {
                let page = self.page(after);
                self.send(from, &page, out);
            }
            Body::Page { last, members } => self.take_page(from, last, members, out),
        }
    }

    /// As many members as fit, by rising sessions after this one, then from the first on: a page costs the same however
    /// many there are.
    fn page(&self, after: Session) -> Body {
        let next = Session(after.0.saturating_add(1));
        let row = |(_, member): (_, &'_ Member)| (member.state, member.record.clone());
        // More than fit, by the shortest record.
        let most = MAX_DATAGRAM_BYTES / 32;
        let mut later: Vec<(State, Record)> = self.others.range(next..).take(most).map(row).collect();
        let mut earlier: Vec<(State, Record)> = self.others.range(..next).take(most).map(row).collect();
        // This member stands among the others.
        if !self.leaving {
            let part = if self.me.session > after { &mut later } else { &mut earlier };
            let at = part.partition_point(|(_, record)| record.session < self.me.session);
            part.insert(at, (State::Alive, self.me.clone()));
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
        Body::Page { last: members.len() >= to_the_end, members }
    }

    fn take_page(&mut self, from: Session, last: bool, members: Vec<(State, Record)>, out: &mut Vec<Out>) {
        let Some(end) = members.last().map(|(_, record)| record.session) else {
            if last {
                (self.page_after, self.knows_all) = (Session::default(), true);
            }
            return;
        };
        for (state, record) in members {
            let (session, incarnation) = (record.session, record.incarnation);
            match state {
                State::Alive => self.hear(Rumor::Alive(record), out),
                State::Left => self.hear(Rumor::Left { session, incarnation }, out),
                // An old word: who is meant has time to say that it lives.
                State::Suspect | State::Dead if self.others.contains_key(&session) => {
                    self.hear(Rumor::Suspect { session, incarnation, by: from }, out);
                }
                State::Suspect => self.hear(Rumor::Alive(record), out),
                State::Dead => {}
            }
        }
        if last {
            (self.page_after, self.knows_all) = (Session::default(), true);
        } else {
            self.page_after = end;
            if !self.knows_all {
                self.ask_page(out);
            }
        }
    }

    fn hear(&mut self, rumor: Rumor, out: &mut Vec<Out>) {
        if rumor.session() == self.me.session {
            match rumor {
                Rumor::Suspect { incarnation, .. } | Rumor::Dead { incarnation, .. } => {
                    self.refute(incarnation, out);
                }
                // What an earlier datagram of its own said, or a process that wrongly has its session.
                Rumor::Alive(_) | Rumor::Left { .. } => {}
            }
            return;
        }
        match rumor {
            Rumor::Alive(record) => self.alive(record, out),
            Rumor::Suspect { session, incarnation, by } => self.suspect(session, incarnation, by, out),
            Rumor::Dead { session, incarnation } => self.dead(session, incarnation, out),
            Rumor::Left { session, incarnation } => self.left(session, incarnation, out),
        }
    }

    /// Others say that this member does not answer: it says otherwise, to some at once.
    fn refute(&mut self, incarnation: u64, out: &mut Vec<Out>) {
        if self.leaving {
            return;
        }
        if incarnation < self.me.incarnation {
            // Said already, but not heard by all: whoever says it in a ping has it in the answer.
            return self.rumors.add(Rumor::Alive(self.me.clone()));
        }
        // A word above all others would leave nothing to say: only a broken member says it.
        self.me.incarnation = incarnation.saturating_add(1);
        self.figures.refuted += 1;
        self.worse(1);
        self.rumors.add(Rumor::Alive(self.me.clone()));
        self.tell_some(out);
        out.push(Out::Tell(Change::Refuted));
    }

    /// Tells some others what is new, without waiting for a ping.
    fn tell_some(&mut self, out: &mut Vec<Out>) {
        for target in self.some_living(2 * HELPERS, Session::default()) {
            self.tell(target, out);
        }
    }

    fn tell(&mut self, target: Session, out: &mut Vec<Out>) {
        // A page of nothing: the rumors are what it is sent for.
        self.send(target, &Body::Page { last: false, members: Vec::new() }, out);
    }

    fn say_again(&mut self) {
        // A broken member may have taken it to the top.
        self.me.incarnation = self.me.incarnation.saturating_add(1);
        self.rumors.add(Rumor::Alive(self.me.clone()));
    }

    // ---- what is believed ----

    fn alive(&mut self, record: Record, out: &mut Vec<Out>) {
        let session = record.session;
        if session == self.me.session {
            return;
        }
        let Some(member) = self.others.get_mut(&session) else {
            self.rumors.add(Rumor::Alive(record.clone()));
            self.by_name.entry(record.name.clone()).or_default().push(session);
            let since = self.now;
            let member = Member {
                record,
                state: State::Alive,
                since,
                confirmed: Vec::new(),
                check: Check::Others,
                retried_at: Micros(0),
                taken: Window::default(),
            };
            self.others.insert(session, member);
            self.living += 1;
            self.enter(session);
            // Somewhere in the order, also where this round has passed (SWIM section 4.3): in the rest of a round that is
            // nearly over at all members they would all ping it in the same periods, and nobody in the others.
            let place = self.rng.random_range(0..=self.round.len());
            self.round.insert(place, session);
            self.at += usize::from(place < self.at);
            out.push(Out::Tell(Change::Joined(session)));
            return self.settle(session, out);
        };
        // Who has left does not come back as the same process.
        if record.incarnation <= member.record.incarnation || member.state == State::Left {
            return;
        }
        let before = member.state;
        // A process has one name for its life: the table of names rests on it.
        let record = Record { name: member.record.name.clone(), ..record };
        let old = std::mem::replace(&mut member.record, record.clone()).address;
        (member.state, member.since) = (State::Alive, self.now);
        member.confirmed.clear();
        member.check = Check::Others;
        self.suspects.remove(&session);
        self.dead.remove(&session);
        self.exit(session, old);
        self.enter(session);
        self.rumors.add(Rumor::Alive(record));
        if before != State::Alive {
            self.living += usize::from(before == State::Dead);
            out.push(Out::Tell(Change::Lives(session)));
        }
        self.settle(session, out);
    }

    /// Whether an older word is said of a member than is known here. Who says it has not heard the newer one, and does with
    /// the answer.
    fn corrects(&mut self, session: Session, incarnation: u64) -> bool {
        let Some(member) = self.others.get(&session) else { return false };
        let older = incarnation < member.record.incarnation;
        if older && member.state == State::Alive {
            self.rumors.add(Rumor::Alive(member.record.clone()));
        }
        older
    }

    fn suspect(&mut self, session: Session, incarnation: u64, by: Session, out: &mut Vec<Out>) {
        let now = self.now;
        if self.corrects(session, incarnation) {
            return;
        }
        let Some(member) = self.others.get_mut(&session) else { return };
        match member.state {
            State::Alive => {
                (member.state, member.since) = (State::Suspect, now);
                member.confirmed = vec![by];
                let checks = self.rng.random::<f64>() < CHECKERS / (self.living + 1) as f64;
                member.check = if checks { Check::Due } else { Check::Others };
                // It may have said more since than has come here.
                member.record.incarnation = incarnation;
                self.suspects.insert(session);
                self.rumors.add(Rumor::Suspect { session, incarnation, by });
                out.push(Out::Tell(Change::Suspected(session)));
                // Some ping it out of turn: it hears of it soon, and others confirm it soon.
                let others = self.living.max(1) as f64;
                if by != self.me.session && self.rng.random::<f64>() < (CONFIRMATIONS + 1) as f64 / others {
                    self.next = Some(session);
                }
            }
            State::Suspect if member.confirmed.len() <= CONFIRMATIONS && !member.confirmed.contains(&by) => {
                member.confirmed.push(by);
                self.rumors.add(Rumor::Suspect { session, incarnation, by });
            }
            State::Suspect | State::Dead | State::Left => {}
        }
    }

    fn dead(&mut self, session: Session, incarnation: u64, out: &mut Vec<Out>) {
        let each = self.set.period.scale(self.retry_interval().max(1.0));
        if self.corrects(session, incarnation) {
            return;
        }
        let Some(member) = self.others.get_mut(&session).filter(|member| member.state.lives()) else {
            return;
        };
        (member.state, member.since) = (State::Dead, self.now);
        // Those that hear of it together must not ask together whether it is back.
        member.retried_at = self.now - each.scale(self.rng.random::<f64>());
        member.record.incarnation = incarnation;
        self.gone(session, Rumor::Dead { session, incarnation }, Change::Died(session), out);
    }

    fn left(&mut self, session: Session, incarnation: u64, out: &mut Vec<Out>) {
        let Some(member) = self.others.get_mut(&session) else { return };
        if incarnation < member.record.incarnation || member.state == State::Left {
            return;
        }
        let lived = member.state.lives();
        (member.state, member.since) = (State::Left, self.now);
        member.record.incarnation = incarnation;
        self.living += usize::from(!lived);
        self.gone(session, Rumor::Left { session, incarnation }, Change::Left(session), out);
    }

    fn gone(&mut self, session: Session, rumor: Rumor, change: Change, out: &mut Vec<Out>) {
        if let Some(member) = self.others.get_mut(&session) {
            member.confirmed.clear();
            let address = member.record.address;
            self.exit(session, address);
        }
        self.living -= 1;
        self.suspects.remove(&session);
        match change {
            Change::Died(_) => self.dead.insert(session),
            _ => self.dead.remove(&session),
        };
        self.rumors.add(rumor);
        out.push(Out::Tell(change));
        self.settle(session, out);
    }

    /// A process lives at its address.
    fn enter(&mut self, session: Session) {
        if let Some(member) = self.others.get(&session) {
            self.by_address.entry(member.record.address).or_default().insert(session);
        }
    }

    /// It lives there no more.
    fn exit(&mut self, session: Session, address: SocketAddr) {
        if let Some(there) = self.by_address.get_mut(&address) {
            there.remove(&session);
            if there.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }

    /// Looks whether two living processes claim the name of this one.
    fn settle(&mut self, session: Session, out: &mut Vec<Out>) {
        let Some(name) = self.others.get(&session).map(|member| member.record.name.clone()) else { return };
        let of_name =
            self.by_name.get(&name).into_iter().flatten().filter_map(|session| self.others.get(session));
        let mut addresses: BTreeSet<SocketAddr> =
            of_name.filter(|member| member.state.lives()).map(|member| member.record.address).collect();
        if name == self.me.name {
            addresses.insert(self.me.address);
        }
        if addresses.len() > 1 {
            if self.claimed.insert(name.clone()) {
                out.push(Out::Tell(Change::Claimed(name)));
            }
        } else if self.claimed.remove(&name) {
            out.push(Out::Tell(Change::Settled(name)));
        }
    }
}
