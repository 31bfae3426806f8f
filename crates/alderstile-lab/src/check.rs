//! Checkers: find violations of the rules in the history of a run. They share no code with what they check.
//!
//! Safety rules are strict: a second effect or answer is a violation whenever it occurs. Time limits are not
//! checked while the lab disturbed the parties involved (`Disturbances`), and they are generous, as the
//! machine has other work.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::history::{Event, ProcessChange, Record};
use crate::schedule::{FaultKind, FaultTarget, Idempotency, Party};

mod membership;

/// Tolerance for the delay of an answer, an end or a notification, in seconds: the slack of the rules (66 ms)
/// plus the delay that a busy machine adds.
const SLACK_S: f64 = 0.6;
/// How long after its deadline a client stops waiting, in seconds. A request that is still within this time
/// at the end of the run may yet be answered.
const GIVE_UP_S: f64 = 1.6;
/// Share of served clients from which a second counts as served.
const SERVED_SHARE: f64 = 0.95;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Time in seconds from the start of the run.
    pub t: f64,
    /// Name of the rule.
    pub rule: &'static str,
    /// What happened.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s: {}: {}", self.t, self.rule, self.description)
    }
}

/// Result of checking a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Title of the schedule.
    pub title: String,
    /// Seed of the run.
    pub seed: u64,
    /// Violations, ordered by time.
    pub violations: Vec<Violation>,
    /// Number of requests that reached a node.
    pub requests: usize,
    /// Number of answers by kind.
    pub answers: BTreeMap<String, usize>,
    /// Number of requests without an answer in time, whatever the reason.
    pub unanswered: usize,
    /// Share of half-second samples of clients that wanted to be served in which they were served.
    pub served: Option<f64>,
    /// The lowest such share in any second.
    pub worst_second: Option<f64>,
    /// Seconds from the beginning of the first fault to the end of the last second that was not served; none
    /// if all seconds were served.
    pub unserved_until_s: Option<f64>,
    /// Results for the membership, if the nodes formed a cluster.
    pub membership: Option<MembershipReport>,
}

/// Results for the views that members had of each other. Times are in seconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MembershipReport {
    /// Protocol period.
    pub period_s: f64,
    /// For each node that was killed and did not return before it was detected: the time until the first
    /// member suspected it.
    pub suspicion_delays_s: Vec<f64>,
    /// For the same nodes: the time until all members that were undisturbed throughout considered it dead.
    pub detection_delays_s: Vec<f64>,
    /// Number of times a member considered another dead while both were undisturbed.
    pub false_positives: usize,
    /// Longest duration of these.
    pub longest_false_positive_s: f64,
    /// Longest time that a member was considered dead after the disturbance of it or its links had ended.
    pub longest_recovery_s: f64,
}

impl Report {
    /// Returns whether no rule was violated.
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
    }
}

/// Runs all checkers on a history, which must be complete ([`crate::history::read`]).
pub fn check(records: &[Record]) -> Report {
    let Some(run) = Run::of(records) else { return Report::default() };
    let disturbances = Disturbances::of(records, run.nodes, run.hosts);
    let mut report = summarize(records);
    (report.title, report.seed) = (run.title.clone(), run.seed);
    let requests = Requests::of(records);
    report.requests = requests.0.len();
    let mut violations = check_crashes(records);
    violations.extend(check_overload(records));
    violations.extend(check_answers(&run, &requests, &disturbances, &mut report.unanswered));
    violations.extend(check_effects(&run, &requests, &disturbances));
    violations.extend(check_cut_off(&requests, &disturbances));
    violations.extend(check_draining(&run, records, &requests, &disturbances));
    if run.period_s > 0.0 {
        let membership = report
            .membership
            .insert(MembershipReport { period_s: run.period_s, ..MembershipReport::default() });
        violations.extend(membership::check(&run, records, &disturbances, membership));
    }
    violations.sort_by(|a, b| a.t.total_cmp(&b.t));
    report.violations = violations;
    report
}

/// Properties of the run, from its first and last record.
struct Run {
    title: String,
    seed: u64,
    nodes: usize,
    hosts: usize,
    classes: BTreeMap<String, Idempotency>,
    grace_s: f64,
    period_s: f64,
    /// Tolerance for the delay that a busy machine adds, in seconds; 0 in simulated time.
    tolerance_s: f64,
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
            tolerance_s: if on == "emulated" { 0.0 } else { 1.0 },
            ended_at: records.last()?.t,
        })
    }
}

/// Times during which the lab disturbed a party or a link, which excuse delays.
struct Disturbances {
    parties: BTreeMap<Party, Vec<(f64, f64)>>,
    links: BTreeMap<(Party, Party), Vec<(f64, f64)>>,
    /// Blocked links: beginning, end, and the parties on both sides.
    cuts: Vec<(f64, f64, BTreeSet<Party>, BTreeSet<Party>)>,
}

impl Disturbances {
    fn of(records: &[Record], nodes: usize, hosts: usize) -> Self {
        let mut found = Disturbances { parties: BTreeMap::new(), links: BTreeMap::new(), cuts: Vec::new() };
        let mut open: BTreeMap<Party, f64> = BTreeMap::new();
        let mut faults: Vec<(f64, &Event)> = Vec::new();
        let end = records.last().map_or(0.0, |record| record.t);
        let mut close = |open: &mut BTreeMap<Party, f64>, party: Party, t: f64| {
            if let Some(from) = open.remove(&party) {
                found.parties.entry(party).or_default().push((from, t));
            }
        };
        let mut spans: Vec<(f64, f64, &Event)> = Vec::new();
        for record in records {
            match &record.event {
                Event::Process { node, change, .. } => {
                    let party = Party::Node(*node);
                    match change {
                        ProcessChange::Killed | ProcessChange::Paused => {
                            open.entry(party).or_insert(record.t);
                        }
                        // A node that was started is unavailable until it serves.
                        ProcessChange::Ready | ProcessChange::Resumed => close(&mut open, party, record.t),
                        _ => {}
                    }
                }
                Event::HostState { host, failed } => {
                    let party = Party::Host(*host);
                    if *failed {
                        open.entry(party).or_insert(record.t);
                    } else {
                        close(&mut open, party, record.t);
                    }
                }
                // Healing disturbs nothing; it ends all link faults.
                Event::Fault { kind: FaultKind::Heal, begins: true, .. } => {
                    faults.retain(|&(from, event)| {
                        let is_link =
                            matches!(event, Event::Fault { kind, .. } if kind.target() == FaultTarget::Link);
                        if is_link {
                            spans.push((from, record.t, event));
                        }
                        !is_link
                    });
                }
                Event::Fault { begins: true, .. } => faults.push((record.t, &record.event)),
                Event::Fault { kind: FaultKind::Heal, .. } => {}
                event @ Event::Fault { kind, on, from, to, .. } => {
                    let same = |active: &(f64, &Event)| {
                        matches!(active.1, Event::Fault { kind: k, on: o, from: f, to: t, .. }
                            if (k, o, f, t) == (kind, on, from, to))
                    };
                    if let Some(i) = faults.iter().position(same) {
                        spans.push((faults.remove(i).0, record.t, event));
                    }
                }
                _ => {}
            }
        }
        open.keys().copied().collect::<Vec<_>>().into_iter().for_each(|party| close(&mut open, party, end));
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
                    // A drained host starts again one second after its end, which only the discovery list
                    // reports.
                    let until = if *kind == FaultKind::HostDrain { to_t + 1.5 } else { to_t };
                    on.iter().for_each(|host| found.parties.entry(*host).or_default().push((from_t, until)));
                }
                // Runs without hosts have many members: `cuts` is searched by side instead of listing every
                // pair.
                FaultTarget::Link if hosts == 0 => {}
                FaultTarget::Link => {
                    let (from, to): (BTreeSet<_>, BTreeSet<_>) = (from.iter().collect(), to.iter().collect());
                    for a in &all {
                        for b in &all {
                            if from.contains(a) && to.contains(b) || from.contains(b) && to.contains(a) {
                                found.links.entry((*a, *b)).or_default().push((from_t, to_t));
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
        // Messages that a fault delayed arrive some time after its end.
        spans.is_some_and(|spans| spans.iter().any(|&(a, b)| a <= to && from <= b + SLACK_S))
    }

    fn is_party_disturbed(&self, party: Party, from: f64, to: f64) -> bool {
        Self::overlaps(self.parties.get(&party), from, to)
    }

    fn is_link_disturbed(&self, one: Party, other: Party, from: f64, to: f64) -> bool {
        Self::overlaps(self.links.get(&(one, other)), from, to)
    }
}

/// All records of one request.
#[derive(Default)]
struct Request {
    /// Time, node, class, and how long the client waits for its answer, in seconds.
    open: Option<(f64, usize, String, f64)>,
    /// Time, answer, and receipt of each answer.
    answers: Vec<(f64, String, Option<String>)>,
    gave_up: Option<f64>,
    /// Time, and how the connection ended.
    closed: Option<(f64, String)>,
    /// Time, host and receipt of each execution.
    executions: Vec<(f64, usize, String)>,
}

/// Requests by their id.
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
                    requests.entry(id.clone()).or_default().executions.push((*t, *host, receipt.clone()));
                }
                _ => {}
            }
        }
        Requests(requests)
    }
}

/// Counts answers and computes the shares of served clients.
fn summarize(records: &[Record]) -> Report {
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
        let mut after = seconds
            .iter()
            .filter(|(t, second)| **t as f64 >= first.floor() && share(**second) < SERVED_SHARE);
        report.unserved_until_s = after.next_back().map(|(t, _)| (*t as f64 + 1.0 - first).max(0.0));
    }
    report
}

/// Finds processes that exited without a request to stop.
fn check_crashes(records: &[Record]) -> Vec<Violation> {
    let crash = |record: &Record| match &record.event {
        Event::Process { node, change: ProcessChange::Ended, status: Some(status) }
            if status.starts_with("by itself") =>
        {
            Some(Violation { t: record.t, rule: "process", description: format!("n{node} ended {status}") })
        }
        _ => None,
    };
    records.iter().filter_map(crash).collect()
}

/// Finds hosts that crashed because the nodes together overloaded them during their warm-up.
fn check_overload(records: &[Record]) -> Vec<Violation> {
    let crash = |record: &Record| match &record.event {
        Event::HostState { host, failed: true } => Some(Violation {
            t: record.t,
            rule: "cold hosts",
            description: format!("h{host} crashed from overload during its warm-up"),
        }),
        _ => None,
    };
    records.iter().filter_map(crash).collect()
}

/// Checks that every request that reached a node has exactly one final answer, in time.
fn check_answers(
    run: &Run,
    requests: &Requests,
    disturbances: &Disturbances,
    unanswered: &mut usize,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (id, request) in &requests.0 {
        let Some((t, node, _, wait)) = &request.open else { continue };
        let (t, node) = (*t, *node);
        let mut report =
            |t, description: String| violations.push(Violation { t, rule: "one answer", description });
        if let Some((again, answer, _)) = request.answers.get(1) {
            report(*again, format!("request {id} at n{node} received a second answer {answer:?}"));
        }
        let due = t + wait + SLACK_S;
        let (end, problem) = match (request.answers.first(), request.gave_up, &request.closed) {
            (Some((at, ..)), ..) if *at <= due => continue,
            (Some((at, ..)), ..) => (*at, format!("was answered {:.3} s after its deadline", at - t - wait)),
            (None, Some(at), _) => (at, "was never answered".to_owned()),
            (None, None, Some((at, how))) => (*at, format!("was closed ({how}) without an answer")),
            (None, None, None) if t + wait + GIVE_UP_S < run.ended_at => {
                (run.ended_at, "has no answer at the end of the run".to_owned())
            }
            _ => continue,
        };
        *unanswered += 1;
        let link_disturbed = disturbances.is_link_disturbed(Party::Clients, Party::Node(node), t, end);
        if !link_disturbed && !disturbances.is_party_disturbed(Party::Node(node), t, end) {
            report(end, format!("request {id} at n{node} {problem}"));
        }
    }
    violations
}

/// Checks that no request that may run at most once ran twice, that every receipt was given by a host, and
/// that no attempt was sent after the final answer.
fn check_effects(run: &Run, requests: &Requests, disturbances: &Disturbances) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (id, request) in &requests.0 {
        let mut report =
            |t, description: String| violations.push(Violation { t, rule: "no effect twice", description });
        let class = request.open.as_ref().and_then(|(_, _, class, _)| run.classes.get(class));
        if let (Some(Idempotency::NotIdempotent), Some((t, host, _))) = (class, request.executions.get(1)) {
            let first = request.executions[0].1;
            report(*t, format!("request {id} may run at most once but ran at h{first} and h{host}"));
        }
        let Some((answered, _, receipt)) = request.answers.first() else { continue };
        if let Some(receipt) = receipt
            && !request.executions.iter().any(|(t, _, given)| given == receipt && t <= answered)
        {
            report(
                *answered,
                format!("request {id} was answered with receipt {receipt}, which no host gave for it"),
            );
        }
        let node = request.open.as_ref().map(|(_, node, ..)| Party::Node(*node));
        for (t, host, _) in request.executions.iter().filter(|(t, ..)| *t > answered + SLACK_S) {
            let excused = node.is_none_or(|node| {
                disturbances.is_link_disturbed(node, Party::Host(*host), *answered, *t)
                    || disturbances.is_link_disturbed(Party::Clients, node, *answered, *t)
                    || disturbances.is_party_disturbed(node, *answered, *t)
            });
            if !excused {
                report(*t, format!("request {id} ran at h{host} after its final answer"));
            }
        }
    }
    violations
}

/// Checks that no connection ends while its host still serves, unless its client is asked to reconnect.
fn check_cut_off(requests: &Requests, disturbances: &Disturbances) -> Vec<Violation> {
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
        let Some((_, host, _)) = request.executions.iter().find(|(_, _, given)| given == receipt) else {
            continue;
        };
        let (node, host) = (Party::Node(*node), Party::Host(*host));
        let excused = disturbances.is_party_disturbed(node, *up, *t)
            || disturbances.is_party_disturbed(host, *up, *t)
            || disturbances.is_link_disturbed(Party::Clients, node, *up, *t)
            || disturbances.is_link_disturbed(node, host, *up, *t);
        if !excused {
            let description = format!(
                "connection of {id} from {node} to {host} ended ({how}) without a request to reconnect"
            );
            violations.push(Violation { t: *t, rule: "not cut off", description });
        }
    }
    violations
}

/// Checks that a node sends no new request to a draining or removed host after it was notified and the grace
/// period has ended.
fn check_draining(
    run: &Run,
    records: &[Record],
    requests: &Requests,
    disturbances: &Disturbances,
) -> Vec<Violation> {
    let mut notified: BTreeMap<(usize, usize), (f64, &str)> = BTreeMap::new();
    let mut violations = Vec::new();
    for record in records {
        match &record.event {
            Event::HostUpdate { node, host, health } => {
                let now = notified.entry((*node, *host)).or_insert((record.t, health));
                // Only a change between `up` and the other states counts: a repeated notification keeps the
                // time of the first one.
                if (now.1 == "up") != (health == "up") {
                    *now = (record.t, health);
                }
            }
            Event::Process { node, change: ProcessChange::Killed, .. } => {
                notified.retain(|(n, _), _| n != node)
            }
            Event::Executed { host, id, .. } => {
                let node = requests.0.get(id).and_then(|request| request.open.as_ref()).map(|open| open.1);
                let Some(node) = node else { continue };
                let Some((since, health)) =
                    notified.get(&(node, *host)).filter(|(_, health)| *health != "up")
                else {
                    continue;
                };
                let (n, h) = (Party::Node(node), Party::Host(*host));
                let excused = disturbances.is_link_disturbed(n, Party::Discovery, *since, record.t)
                    || disturbances.is_link_disturbed(n, h, *since, record.t)
                    || disturbances.is_party_disturbed(n, *since, record.t);
                if record.t > since + run.grace_s + SLACK_S && !excused {
                    let ago = record.t - since;
                    let description =
                        format!("{n} sent request {id} to {h} {ago:.3} s after it was listed as {health}");
                    violations.push(Violation { t: record.t, rule: "draining", description });
                }
            }
            _ => {}
        }
    }
    violations
}
