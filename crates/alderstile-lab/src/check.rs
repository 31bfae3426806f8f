//! Checkers: from a history alone, whether the rules were kept. They share no code with what they check.
//!
//! Safety is strict: a second effect or answer is a breach whenever it comes. Where a time is checked, what the lab did to the
//! parties is taken out (`Disturbed`) and the bound is wide, as the machine has other work.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::history::{Event, Life, Line};
use crate::schedule::{About, Actor, Kind, Semantics};

mod views;

/// What an answer, an end or a notice may be late by its nature: the rules' slack, 66 ms, and what a busy machine adds.
const SLACK_S: f64 = 0.6;
/// A client waits this long after its time before it gives up: what is not answered by the end of the run may yet be.
const GIVES_UP_S: f64 = 1.6;
/// A second counts as served from this share on.
const SERVED: f64 = 0.95;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// Seconds from the start.
    pub t: f64,
    /// The checker that found it.
    pub rule: &'static str,
    /// What happened.
    pub what: String,
}

impl fmt::Display for Breach {
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
    pub breaches: Vec<Breach>,
    /// Requests that reached a node.
    pub requests: usize,
    /// Answers by what they were.
    pub answers: BTreeMap<String, usize>,
    /// Requests without an answer in time, whatever the reason.
    pub lost: usize,
    /// The share of half seconds in which a client that wanted to be served was.
    pub served: Option<f64>,
    /// The lowest share in any second.
    pub worst_second: Option<f64>,
    /// Seconds from the first fault's beginning to the last second that was not served; none where all were.
    pub unserved_until_s: Option<f64>,
    /// What came of the members' views, where nodes knew of each other.
    pub views: Option<Views>,
}

/// What came of the members' views. Times are in seconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Views {
    /// The members' period.
    pub period_s: f64,
    /// For each node killed for good, or for long enough: until the first member suspected it.
    pub suspected_s: Vec<f64>,
    /// The same, until all members that were well all the time held it dead.
    pub known_s: Vec<f64>,
    /// Members held dead while they and those who held them so were well, by pair.
    pub false_deaths: usize,
    /// The longest of these.
    pub longest_false_s: f64,
    /// The longest that a member was held dead after what had disturbed it or its ways was over.
    pub longest_after_s: f64,
}

impl Report {
    /// Whether all rules were kept.
    pub fn kept(&self) -> bool {
        self.breaches.is_empty()
    }
}

/// Reads a history through all checkers. It must be whole ([`crate::history::read`]).
pub fn check(lines: &[Line]) -> Report {
    let Some(run) = Run::of(lines) else { return Report::default() };
    let disturbed = Disturbed::of(lines, run.nodes, run.hosts);
    let mut report = tally(lines);
    (report.title, report.seed) = (run.title.clone(), run.seed);
    let requests = Requests::of(lines);
    report.requests = requests.0.len();
    let mut breaches = crashes(lines);
    breaches.extend(pushed_over(lines));
    breaches.extend(answers(&run, &requests, &disturbed, &mut report.lost));
    breaches.extend(effects(&run, &requests, &disturbed));
    breaches.extend(cut_off(&requests, &disturbed));
    breaches.extend(drains(&run, lines, &requests, &disturbed));
    if run.period_s > 0.0 {
        let views = report.views.insert(Views { period_s: run.period_s, ..Views::default() });
        breaches.extend(views::check(&run, lines, &disturbed, views));
    }
    breaches.sort_by(|a, b| a.t.total_cmp(&b.t));
    report.breaches = breaches;
    report
}

/// What the first line tells.
struct Run {
    title: String,
    seed: u64,
    nodes: usize,
    hosts: usize,
    classes: BTreeMap<String, Semantics>,
    grace_s: f64,
    period_s: f64,
    /// What a busy machine may add; nothing in simulated time.
    wide_s: f64,
    ended_at: f64,
}

impl Run {
    fn of(lines: &[Line]) -> Option<Self> {
        let Event::Run { title, seed, on, nodes, hosts, classes, grace_s, period_s, .. } =
            &lines.first()?.what
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
            ended_at: lines.last()?.t,
        })
    }
}

/// When the lab did something to a party or a way: what was late then may be late for that reason.
struct Disturbed {
    parties: BTreeMap<Actor, Vec<(f64, f64)>>,
    ways: BTreeMap<(Actor, Actor), Vec<(f64, f64)>>,
    /// Cuts alone, as who is on which side: from when, until when.
    cuts: Vec<(f64, f64, BTreeSet<Actor>, BTreeSet<Actor>)>,
}

impl Disturbed {
    fn of(lines: &[Line], nodes: usize, hosts: usize) -> Self {
        let mut found = Disturbed { parties: BTreeMap::new(), ways: BTreeMap::new(), cuts: Vec::new() };
        let mut open: BTreeMap<Actor, f64> = BTreeMap::new();
        let mut faults: Vec<(f64, &Event)> = Vec::new();
        let end = lines.last().map_or(0.0, |line| line.t);
        let mut close = |open: &mut BTreeMap<Actor, f64>, actor: Actor, t: f64| {
            if let Some(from) = open.remove(&actor) {
                found.parties.entry(actor).or_default().push((from, t));
            }
        };
        let mut spans: Vec<(f64, f64, &Event)> = Vec::new();
        for line in lines {
            match &line.what {
                Event::Process { node, what, .. } => {
                    let actor = Actor::Node(*node);
                    match what {
                        Life::Killed | Life::Paused => {
                            open.entry(actor).or_insert(line.t);
                        }
                        // A node that has just started is down until it serves.
                        Life::Ready | Life::Resumed => close(&mut open, actor, line.t),
                        _ => {}
                    }
                }
                Event::Host { host, fell } => {
                    let actor = Actor::Host(*host);
                    if *fell {
                        open.entry(actor).or_insert(line.t);
                    } else {
                        close(&mut open, actor, line.t);
                    }
                }
                // It disturbs nothing, and ends what did.
                Event::Fault { kind: Kind::Heal, begins: true, .. } => {
                    faults.retain(|&(from, event)| {
                        let way = matches!(event, Event::Fault { kind, .. } if kind.about() == About::Way);
                        if way {
                            spans.push((from, line.t, event));
                        }
                        !way
                    });
                }
                Event::Fault { begins: true, .. } => faults.push((line.t, &line.what)),
                Event::Fault { kind: Kind::Heal, .. } => {}
                event @ Event::Fault { kind, on, from, to, .. } => {
                    let same = |begun: &(f64, &Event)| {
                        matches!(begun.1, Event::Fault { kind: k, on: o, from: f, to: t, .. }
                            if (k, o, f, t) == (kind, on, from, to))
                    };
                    if let Some(i) = faults.iter().position(same) {
                        spans.push((faults.remove(i).0, line.t, event));
                    }
                }
                _ => {}
            }
        }
        open.keys().copied().collect::<Vec<_>>().into_iter().for_each(|actor| close(&mut open, actor, end));
        spans.extend(faults.into_iter().map(|(from, event)| (from, end, event)));
        let all = (0..nodes).map(Actor::Node).chain((0..hosts).map(Actor::Host));
        let all: Vec<Actor> = all.chain([Actor::Discovery, Actor::Clients]).collect();
        for (from_t, to_t, event) in spans {
            let Event::Fault { kind, on, from, to, .. } = event else { continue };
            if matches!(kind, Kind::Cut | Kind::CutOneWay) {
                let (from, to) = (from.iter().copied().collect(), to.iter().copied().collect());
                found.cuts.push((from_t, to_t, from, to));
            }
            match kind.about() {
                About::Host => {
                    // A host that was drained is up again a second later, and tells nobody but the list.
                    let until = if *kind == Kind::HostDrain { to_t + 1.5 } else { to_t };
                    on.iter().for_each(|host| found.parties.entry(*host).or_default().push((from_t, until)));
                }
                // Members are many: whom a cut parts is looked up by side.
                About::Way if hosts == 0 => {}
                About::Way => {
                    let (from, to): (BTreeSet<_>, BTreeSet<_>) = (from.iter().collect(), to.iter().collect());
                    for a in &all {
                        for b in &all {
                            if from.contains(a) && to.contains(b) || from.contains(b) && to.contains(a) {
                                found.ways.entry((*a, *b)).or_default().push((from_t, to_t));
                            }
                        }
                    }
                }
                About::Process | About::List => {}
            }
        }
        found
    }

    fn overlaps(spans: Option<&Vec<(f64, f64)>>, from: f64, to: f64) -> bool {
        // What a fault has delayed comes a while after its end.
        spans.is_some_and(|spans| spans.iter().any(|&(a, b)| a <= to && from <= b + SLACK_S))
    }

    fn party(&self, actor: Actor, from: f64, to: f64) -> bool {
        Self::overlaps(self.parties.get(&actor), from, to)
    }

    fn way(&self, one: Actor, other: Actor, from: f64, to: f64) -> bool {
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
    fn of(lines: &[Line]) -> Self {
        let mut requests: BTreeMap<String, Request> = BTreeMap::new();
        for Line { t, what } in lines {
            match what {
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
                Event::Ran { host, id, receipt } => {
                    requests.entry(id.clone()).or_default().ran.push((*t, *host, receipt.clone()));
                }
                _ => {}
            }
        }
        Requests(requests)
    }
}

fn tally(lines: &[Line]) -> Report {
    let mut report = Report::default();
    let mut seconds: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
    let mut first_fault = None;
    for line in lines {
        match &line.what {
            Event::Answer { what, .. } => *report.answers.entry(what.clone()).or_default() += 1,
            Event::Beat { ok, .. } => {
                let second = seconds.entry(line.t as u64).or_default();
                *second = (second.0 + usize::from(*ok), second.1 + 1);
            }
            Event::Served { ok, of } => {
                let second = seconds.entry(line.t as u64).or_default();
                *second = (second.0 + ok, second.1 + of);
            }
            Event::Fault { begins: true, .. } => {
                first_fault.get_or_insert(line.t);
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
fn crashes(lines: &[Line]) -> Vec<Breach> {
    let by_itself = |line: &Line| match &line.what {
        Event::Process { node, what: Life::Ended, how: Some(how) } if how.starts_with("by itself") => {
            Some(Breach { t: line.t, rule: "process", what: format!("n{node} ended {how}") })
        }
        _ => None,
    };
    lines.iter().filter_map(by_itself).collect()
}

/// A cold host that all nodes together push over.
fn pushed_over(lines: &[Line]) -> Vec<Breach> {
    let fell = |line: &Line| match &line.what {
        Event::Host { host, fell: true } => {
            Some(Breach { t: line.t, rule: "cold hosts", what: format!("h{host} was pushed over") })
        }
        _ => None,
    };
    lines.iter().filter_map(fell).collect()
}

/// Every request that a node took has exactly one final answer, in time.
fn answers(run: &Run, requests: &Requests, disturbed: &Disturbed, lost: &mut usize) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for (id, request) in &requests.0 {
        let Some((t, node, _, wait)) = &request.open else { continue };
        let (t, node) = (*t, *node);
        let mut breach = |t, what: String| breaches.push(Breach { t, rule: "one answer", what });
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
        let way = disturbed.way(Actor::Clients, Actor::Node(node), t, end);
        if !way && !disturbed.party(Actor::Node(node), t, end) {
            breach(end, format!("{id} at n{node}: {what}"));
        }
    }
    breaches
}

/// No effect twice, no receipt that no host gave, nothing sent after the final answer.
fn effects(run: &Run, requests: &Requests, disturbed: &Disturbed) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for (id, request) in &requests.0 {
        let mut breach = |t, what: String| breaches.push(Breach { t, rule: "no effect twice", what });
        let class = request.open.as_ref().and_then(|(_, _, class, _)| run.classes.get(class));
        if let (Some(Semantics::Fragile), Some((t, host, _))) = (class, request.ran.get(1)) {
            let first = request.ran[0].1;
            breach(*t, format!("{id} may run once and ran at h{first} and h{host}"));
        }
        let Some((answered, _, receipt)) = request.answers.first() else { continue };
        if let Some(receipt) = receipt
            && !request.ran.iter().any(|(t, _, given)| given == receipt && t <= answered)
        {
            breach(*answered, format!("{id} is up with {receipt}, which no host gave for it"));
        }
        let node = request.open.as_ref().map(|(_, node, ..)| Actor::Node(*node));
        for (t, host, _) in request.ran.iter().filter(|(t, ..)| *t > answered + SLACK_S) {
            let late = node.is_none_or(|node| {
                disturbed.way(node, Actor::Host(*host), *answered, *t)
                    || disturbed.way(Actor::Clients, node, *answered, *t)
                    || disturbed.party(node, *answered, *t)
            });
            if !late {
                breach(*t, format!("{id} ran at h{host} after its final answer"));
            }
        }
    }
    breaches
}

/// A connection whose host still serves is not cut off: it goes on, or its client is told to move.
fn cut_off(requests: &Requests, disturbed: &Disturbed) -> Vec<Breach> {
    let mut breaches = Vec::new();
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
        let (node, host) = (Actor::Node(*node), Actor::Host(*host));
        let excused = disturbed.party(node, *up, *t)
            || disturbed.party(host, *up, *t)
            || disturbed.way(Actor::Clients, node, *up, *t)
            || disturbed.way(node, host, *up, *t);
        if !excused {
            let what = format!("{id} at {node}, up at {host}: {how} without a word");
            breaches.push(Breach { t: *t, rule: "not cut off", what });
        }
    }
    breaches
}

/// Nothing new to a host that drains, or is gone, once the node was told and the grace is over.
fn drains(run: &Run, lines: &[Line], requests: &Requests, disturbed: &Disturbed) -> Vec<Breach> {
    let mut told: BTreeMap<(usize, usize), (f64, &str)> = BTreeMap::new();
    let mut breaches = Vec::new();
    for line in lines {
        match &line.what {
            Event::Told { node, host, health } => {
                let now = told.entry((*node, *host)).or_insert((line.t, health));
                // What was told before and is told again holds since then.
                if (now.1 == "up") != (health == "up") {
                    *now = (line.t, health);
                }
            }
            Event::Process { node, what: Life::Killed, .. } => told.retain(|(n, _), _| n != node),
            Event::Ran { host, id, .. } => {
                let node = requests.0.get(id).and_then(|request| request.open.as_ref()).map(|open| open.1);
                let Some(node) = node else { continue };
                let Some((since, health)) = told.get(&(node, *host)).filter(|(_, health)| *health != "up")
                else {
                    continue;
                };
                let (n, h) = (Actor::Node(node), Actor::Host(*host));
                let late = disturbed.way(n, Actor::Discovery, *since, line.t)
                    || disturbed.way(n, h, *since, line.t)
                    || disturbed.party(n, *since, line.t);
                if line.t > since + run.grace_s + SLACK_S && !late {
                    let ago = line.t - since;
                    let what = format!("{id}: {n} sent it to {h}, called {health} {ago:.3} s before");
                    breaches.push(Breach { t: line.t, rule: "draining", what });
                }
            }
            _ => {}
        }
    }
    breaches
}
