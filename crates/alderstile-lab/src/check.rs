//! Checkers: from a history alone, whether the rules were kept. They share no code with what they check.
//!
//! Safety is strict: a second effect or answer is a breach whenever it comes. Where a time is checked, what the lab did to the
//! parties is taken out (`Disturbed`) and the bound is wide, as the machine has other work.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::history::{Event, ProcessChange, Record};
use crate::schedule::{FaultKind, FaultTarget, Idempotency, Party};

mod views;

/// What an answer, an end or a notice may be late by its nature: the rules' slack, 66 ms, and what a busy machine adds.
const SLACK_S: f64 = 0.6;
/// A client waits this long after its time before it gives up: what is not answered by the end of the run may yet be.
const GIVES_UP_S: f64 = 1.6;
/// A second counts as served from this share on.
const SERVED: f64 = 0.95;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Seconds from the start.
    pub t: f64,
    /// The checker that found it.
    pub rule: &'static str,
    /// What happened.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s: {}: {}", self.t, self.rule, self.what)
    }
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The schedule's title.
    pub title: String,
    /// The seed.
    pub seed: u64,
    /// Rules broken, by time.
    pub violations: Vec<Violation>,
    /// Requests that reached a node.
    pub requests: usize,
    /// Answers by what they were.
    pub answers: BTreeMap<String, usize>,
    /// Requests without an answer in time, whatever the reason.
    pub unanswered: usize,
    /// The share of half seconds in which a client that wanted to be served was.
    pub served: Option<f64>,
    /// The lowest share in any second.
    pub worst_second: Option<f64>,
    /// Seconds from the first fault's beginning to the last second that was not served; none where all were.
    pub unserved_until_s: Option<f64>,
    /// What came of the members' views, where nodes knew of each other.
    pub membership: Option<Views>,
}

/// What came of the members' views. Times are in seconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Views {
    /// The members' period.
    pub period_s: f64,
    /// For each node killed for good, or for long enough: until the first member suspected it.
    pub suspicion_delays_s: Vec<f64>,
    /// The same, until all members that were well all the time held it dead.
    pub detection_delays_s: Vec<f64>,
    /// Members held dead while they and those who held them so were well, by pair.
    pub false_positives: usize,
    /// The longest of these.
    pub longest_false_positive_s: f64,
    /// The longest that a member was held dead after what had disturbed it or its ways was over.
    pub longest_recovery_s: f64,
}

impl Report {
    /// Whether all rules were kept.
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
    }
}

/// Reads a history through all checkers. It must be whole ([`crate::history::read`]).
pub fn check(records: &[Record]) -> Report {
    let Some(run) = Run::of(records) else { return Report::default() };
    let disturbed = Disturbed::of(records, run.nodes, run.hosts);
    let mut report = tally(records);
    (report.title, report.seed) = (run.title.clone(), run.seed);
    let requests = Requests::of(records);
    report.requests = requests.0.len();
    let mut violations = crashes(records);
    violations.extend(pushed_over(records));
    violations.extend(answers(&run, &requests, &disturbed, &mut report.unanswered));
    violations.extend(effects(&run, &requests, &disturbed));
    violations.extend(cut_off(&requests, &disturbed));
    violations.extend(drains(&run, records, &requests, &disturbed));
    if run.period_s > 0.0 {
        let views = report.membership.insert(Views { period_s: run.period_s, ..Views::default() });
        violations.extend(views::check(&run, records, &disturbed, views));
    }
    violations.sort_by(|a, b| a.t.total_cmp(&b.t));
    report.violations = violations;
    report
}

/// What the first record tells.
struct Run {
    title: String,
    seed: u64,
    nodes: usize,
    hosts: usize,
    classes: BTreeMap<String, Idempotency>,
    grace_s: f64,
    period_s: f64,
    /// What a busy machine may add; nothing in simulated time.
    wide_s: f64,
    ended_at: f64,
}

impl Run {
    fn of(records: &[Record]) -> Option<Self> {
        let Event::Run { title, seed, on, nodes, hosts, classes, grace_s, period_s, .. } =
            &records.first()?.event
        else {
            return None;
        };
        Some(Run {
            title: title.clone(),
            seed: *seed,
            nodes: *nodes,
            hosts: *hosts,
            classes: classes.clone(),
            grace_s: *grace_s,
            period_s: *period_s,
            wide_s: if on == "emulated" { 0.0 } else { 1.0 },
            ended_at: records.last()?.t,
        })
    }
}

/// When the lab did something to a party or a way: what was late then may be late for that reason.
struct Disturbed {
    parties: BTreeMap<Party, Vec<(f64, f64)>>,
    ways: BTreeMap<(Party, Party), Vec<(f64, f64)>>,
    /// Cuts alone, as who is on which side: from when, until when.
    cuts: Vec<(f64, f64, BTreeSet<Party>, BTreeSet<Party>)>,
}

impl Disturbed {
    fn of(records: &[Record], nodes: usize, hosts: usize) -> Self {
        let mut found = Disturbed { parties: BTreeMap::new(), ways: BTreeMap::new(), cuts: Vec::new() };
        let mut open: BTreeMap<Party, f64> = BTreeMap::new();
        let mut faults: Vec<(f64, &Event)> = Vec::new();
        let end = records.last().map_or(0.0, |record| record.t);
        let mut close = |open: &mut BTreeMap<Party, f64>, actor: Party, t: f64| {
            if let Some(from) = open.remove(&actor) {
                found.parties.entry(actor).or_default().push((from, t));
            }
        };
        let mut spans: Vec<(f64, f64, &Event)> = Vec::new();
        for record in records {
            match &record.event {
                Event::Process { node, change, .. } => {
                    let actor = Party::Node(*node);
                    match change {
                        ProcessChange::Killed | ProcessChange::Paused => {
                            open.entry(actor).or_insert(record.t);
                        }
                        // A node that has just started is down until it serves.
                        ProcessChange::Ready | ProcessChange::Resumed => close(&mut open, actor, record.t),
                        _ => {}
                    }
                }
                Event::HostState { host, failed } => {
                    let actor = Party::Host(*host);
                    if *failed {
                        open.entry(actor).or_insert(record.t);
                    } else {
                        close(&mut open, actor, record.t);
                    }
                }
                // It disturbs nothing, and ends what did.
                Event::Fault { kind: FaultKind::Heal, begins: true, .. } => {
                    faults.retain(|&(from, event)| {
                        let way =
                            matches!(event, Event::Fault { kind, .. } if kind.target() == FaultTarget::Link);
                        if way {
                            spans.push((from, record.t, event));
                        }
                        !way
                    });
                }
                Event::Fault { begins: true, .. } => faults.push((record.t, &record.event)),
                Event::Fault { kind: FaultKind::Heal, .. } => {}
                event @ Event::Fault { kind, on, from, to, .. } => {
                    let same = |begun: &(f64, &Event)| {
                        matches!(begun.1, Event::Fault { kind: k, on: o, from: f, to: t, .. }
                            if (k, o, f, t) == (kind, on, from, to))
                    };
                    if let Some(i) = faults.iter().position(same) {
                        spans.push((faults.remove(i).0, record.t, event));
                    }
                }
                _ => {}
            }
        }
        open.keys().copied().collect::<Vec<_>>().into_iter().for_each(|actor| close(&mut open, actor, end));
        spans.extend(faults.into_iter().map(|(from, event)| (from, end, event)));
        let all = (0..nodes).map(Party::Node).chain((0..hosts).map(Party::Host));
        let all: Vec<Party> = all.chain([Party::Discovery, Party::Clients]).collect();
        for (from_t, to_t, event) in spans {
            let Event::Fault { kind, on, from, to, .. } = event else { continue };
            if matches!(kind, FaultKind::Cut | FaultKind::CutOneWay) {
                let (from, to) = (from.iter().copied().collect(), to.iter().copied().collect());
                found.cuts.push((from_t, to_t, from, to));
            }
            match kind.target() {
                FaultTarget::Host => {
                    // A host that was drained is up again a second later, and tells nobody but the list.
                    let until = if *kind == FaultKind::HostDrain { to_t + 1.5 } else { to_t };
                    on.iter().for_each(|host| found.parties.entry(*host).or_default().push((from_t, until)));
                }
                // Members are many: whom a cut parts is looked up by side.
                FaultTarget::Link if hosts == 0 => {}
                FaultTarget::Link => {
                    let (from, to): (BTreeSet<_>, BTreeSet<_>) = (from.iter().collect(), to.iter().collect());
                    for a in &all {
                        for b in &all {
                            if from.contains(a) && to.contains(b) || from.contains(b) && to.contains(a) {
                                found.ways.entry((*a, *b)).or_default().push((from_t, to_t));
                            }
                        }
                    }
                }
                FaultTarget::Process | FaultTarget::DiscoveryList => {}
            }
        }
        found
    }

    fn overlaps(spans: Option<&Vec<(f64, f64)>>, from: f64, to: f64) -> bool {
        // What a fault has delayed comes a while after its end.
        spans.is_some_and(|spans| spans.iter().any(|&(a, b)| a <= to && from <= b + SLACK_S))
    }

    fn party(&self, actor: Party, from: f64, to: f64) -> bool {
        Self::overlaps(self.parties.get(&actor), from, to)
    }

    fn way(&self, one: Party, other: Party, from: f64, to: f64) -> bool {
        Self::overlaps(self.ways.get(&(one, other)), from, to)
    }
}

/// One request, from all that was written of it.
#[derive(Default)]
struct Request {
    open: Option<(f64, usize, String, f64)>,
    answers: Vec<(f64, String, Option<String>)>,
    gave_up: Option<f64>,
    closed: Option<(f64, String)>,
    ran: Vec<(f64, usize, String)>,
}

struct Requests(BTreeMap<String, Request>);

impl Requests {
    fn of(records: &[Record]) -> Self {
        let mut requests: BTreeMap<String, Request> = BTreeMap::new();
        for Record { t, event } in records {
            match event {
                Event::Open { id, class, node, wait_s, .. } => {
                    requests.entry(id.clone()).or_default().open = Some((*t, *node, class.clone(), *wait_s));
                }
                Event::Answer { id, what, receipt } => {
                    let answers = &mut requests.entry(id.clone()).or_default().answers;
                    answers.push((*t, what.clone(), receipt.clone()));
                }
                Event::GaveUp { id } => requests.entry(id.clone()).or_default().gave_up = Some(*t),
                Event::Closed { id, how } => {
                    requests.entry(id.clone()).or_default().closed = Some((*t, how.clone()));
                }
                Event::Executed { host, id, receipt } => {
                    requests.entry(id.clone()).or_default().ran.push((*t, *host, receipt.clone()));
                }
                _ => {}
            }
        }
        Requests(requests)
    }
}

fn tally(records: &[Record]) -> Report {
    let mut report = Report::default();
    let mut seconds: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
    let mut first_fault = None;
    for record in records {
        match &record.event {
            Event::Answer { what, .. } => *report.answers.entry(what.clone()).or_default() += 1,
            Event::ServedSample { ok, .. } => {
                let second = seconds.entry(record.t as u64).or_default();
                *second = (second.0 + usize::from(*ok), second.1 + 1);
            }
            Event::ServedTotal { served, wanting } => {
                let second = seconds.entry(record.t as u64).or_default();
                *second = (second.0 + served, second.1 + wanting);
            }
            Event::Fault { begins: true, .. } => {
                first_fault.get_or_insert(record.t);
            }
            _ => {}
        }
    }
    let share = |(ok, all): (usize, usize)| ok as f64 / all as f64;
    let sum = seconds.values().fold((0, 0), |sum, second| (sum.0 + second.0, sum.1 + second.1));
    report.served = (sum.1 > 0).then(|| share(sum));
    report.worst_second = seconds.values().map(|&second| share(second)).min_by(f64::total_cmp);
    if let Some(first) = first_fault {
        let mut after =
            seconds.iter().filter(|(t, second)| **t as f64 >= first.floor() && share(**second) < SERVED);
        report.unserved_until_s = after.next_back().map(|(t, _)| (*t as f64 + 1.0 - first).max(0.0));
    }
    report
}

/// A process that ends though nobody told it to.
fn crashes(records: &[Record]) -> Vec<Violation> {
    let by_itself = |record: &Record| match &record.event {
        Event::Process { node, change: ProcessChange::Ended, status: Some(how) }
            if how.starts_with("by itself") =>
        {
            Some(Violation { t: record.t, rule: "process", what: format!("n{node} ended {how}") })
        }
        _ => None,
    };
    records.iter().filter_map(by_itself).collect()
}

/// A cold host that all nodes together push over.
fn pushed_over(records: &[Record]) -> Vec<Violation> {
    let fell = |record: &Record| match &record.event {
        Event::HostState { host, failed: true } => {
            Some(Violation { t: record.t, rule: "cold hosts", what: format!("h{host} was pushed over") })
        }
        _ => None,
    };
    records.iter().filter_map(fell).collect()
}

/// Every request that a node took has exactly one final answer, in time.
fn answers(run: &Run, requests: &Requests, disturbed: &Disturbed, lost: &mut usize) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (id, request) in &requests.0 {
        let Some((t, node, _, wait)) = &request.open else { continue };
        let (t, node) = (*t, *node);
        let mut breach = |t, what: String| violations.push(Violation { t, rule: "one answer", what });
        if let Some((again, what, _)) = request.answers.get(1) {
            breach(*again, format!("{id} at n{node}: a second answer, {what:?}"));
        }
        let due = t + wait + SLACK_S;
        let (end, what) = match (request.answers.first(), request.gave_up, &request.closed) {
            (Some((at, ..)), ..) if *at <= due => continue,
            (Some((at, ..)), ..) => (*at, format!("answered {:.3} s after its time", at - t - wait)),
            (None, Some(at), _) => (at, "never answered".to_owned()),
            (None, None, Some((at, how))) => (*at, format!("closed ({how}) with no answer")),
            (None, None, None) if t + wait + GIVES_UP_S < run.ended_at => {
                (run.ended_at, "no answer".to_owned())
            }
            _ => continue,
        };
        *lost += 1;
        let way = disturbed.way(Party::Clients, Party::Node(node), t, end);
        if !way && !disturbed.party(Party::Node(node), t, end) {
            breach(end, format!("{id} at n{node}: {what}"));
        }
    }
    violations
}

/// No effect twice, no receipt that no host gave, nothing sent after the final answer.
fn effects(run: &Run, requests: &Requests, disturbed: &Disturbed) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (id, request) in &requests.0 {
        let mut breach = |t, what: String| violations.push(Violation { t, rule: "no effect twice", what });
        let class = request.open.as_ref().and_then(|(_, _, class, _)| run.classes.get(class));
        if let (Some(Idempotency::NotIdempotent), Some((t, host, _))) = (class, request.ran.get(1)) {
            let first = request.ran[0].1;
            breach(*t, format!("{id} may run once and ran at h{first} and h{host}"));
        }
        let Some((answered, _, receipt)) = request.answers.first() else { continue };
        if let Some(receipt) = receipt
            && !request.ran.iter().any(|(t, _, given)| given == receipt && t <= answered)
        {
            breach(*answered, format!("{id} is up with {receipt}, which no host gave for it"));
        }
        let node = request.open.as_ref().map(|(_, node, ..)| Party::Node(*node));
        for (t, host, _) in request.ran.iter().filter(|(t, ..)| *t > answered + SLACK_S) {
            let late = node.is_none_or(|node| {
                disturbed.way(node, Party::Host(*host), *answered, *t)
                    || disturbed.way(Party::Clients, node, *answered, *t)
                    || disturbed.party(node, *answered, *t)
            });
            if !late {
                breach(*t, format!("{id} ran at h{host} after its final answer"));
            }
        }
    }
    violations
}

/// A connection whose host still serves is not cut off: it goes on, or its client is told to move.
fn cut_off(requests: &Requests, disturbed: &Disturbed) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (id, request) in &requests.0 {
        let (Some((_, node, ..)), Some((up, _, Some(receipt)))) = (&request.open, request.answers.first())
        else {
            continue;
        };
        let Some((t, how)) = &request.closed else { continue };
        if !matches!(how.as_str(), "end" | "reset" | "silent") {
            continue;
        }
        let Some((_, host, _)) = request.ran.iter().find(|(_, _, given)| given == receipt) else { continue };
        let (node, host) = (Party::Node(*node), Party::Host(*host));
        let excused = disturbed.party(node, *up, *t)
            || disturbed.party(host, *up, *t)
            || disturbed.way(Party::Clients, node, *up, *t)
            || disturbed.way(node, host, *up, *t);
        if !excused {
            let what = format!("{id} at {node}, up at {host}: {how} without a word");
            violations.push(Violation { t: *t, rule: "not cut off", what });
        }
    }
    violations
}

/// Nothing new to a host that drains, or is gone, once the node was told and the grace is over.
fn drains(run: &Run, records: &[Record], requests: &Requests, disturbed: &Disturbed) -> Vec<Violation> {
    let mut told: BTreeMap<(usize, usize), (f64, &str)> = BTreeMap::new();
    let mut violations = Vec::new();
    for record in records {
        match &record.event {
            Event::HostUpdate { node, host, health } => {
                let now = told.entry((*node, *host)).or_insert((record.t, health));
                // What was told before and is told again holds since then.
                if (now.1 == "up") != (health == "up") {
                    *now = (record.t, health);
                }
            }
            Event::Process { node, change: ProcessChange::Killed, .. } => told.retain(|(n, _), _| n != node),
            Event::Executed { host, id, .. } => {
                let node = requests.0.get(id).and_then(|request| request.open.as_ref()).map(|open| open.1);
                let Some(node) = node else { continue };
                let Some((since, health)) = told.get(&(node, *host)).filter(|(_, health)| *health != "up")
                else {
                    continue;
                };
                let (n, h) = (Party::Node(node), Party::Host(*host));
                let late = disturbed.way(n, Party::Discovery, *since, record.t)
                    || disturbed.way(n, h, *since, record.t)
                    || disturbed.party(n, *since, record.t);
                if record.t > since + run.grace_s + SLACK_S && !late {
                    let ago = record.t - since;
                    let what = format!("{id}: {n} sent it to {h}, called {health} {ago:.3} s before");
                    violations.push(Violation { t: record.t, rule: "draining", what });
                }
            }
            _ => {}
        }
    }
    violations
}
