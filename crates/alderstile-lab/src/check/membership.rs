//! Checker of membership: members detect failures in time and report no healthy member dead.

use std::collections::BTreeMap;

use super::{Disturbances, MembershipReport, Run, Violation};
use crate::history::{Event, ProcessChange, Record};
use crate::schedule::Party;

/// Maximum duration of a false positive, in periods: how long a healthy member may be considered dead.
const MAX_FALSE_POSITIVE_PERIODS: f64 = 1.0;
/// After the disturbance of a member or its links has ended, all members report it alive again within this
/// many periods. With many members the limit is [`PERIODS_PER_LOG2`] times the base-2 logarithm of their
/// number, if that is more. The same limit applies to the detection of a death by all members.
const MIN_LIMIT_PERIODS: f64 = 15.0;
const PERIODS_PER_LOG2: f64 = 3.0;
/// Factor by which a time may exceed its limit before it is a violation: a single run may be unlucky.
const LIMIT_FACTOR: f64 = 2.0;

/// Time spans: beginning and end in seconds.
type Spans = Vec<(f64, f64)>;

/// Returns the parts of the span from `from` to `to` that none of `covers` covers.
fn uncovered(from: f64, to: f64, covers: &mut Spans) -> Spans {
    covers.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (mut at, mut free) = (from, Vec::new());
    for &(a, b) in covers.iter() {
        if a > at {
            free.push((at, a.min(to)));
        }
        at = at.max(b);
        if at >= to {
            break;
        }
    }
    if at < to {
        free.push((at, to));
    }
    free
}

/// Checks that no healthy member is considered dead for long, and that all members detect a death in time.
pub fn check(
    run: &Run,
    records: &[Record],
    disturbances: &Disturbances,
    report: &mut MembershipReport,
) -> Vec<Violation> {
    let logarithm = (run.nodes as f64).log2();
    let limit_s =
        LIMIT_FACTOR * MIN_LIMIT_PERIODS.max(PERIODS_PER_LOG2 * logarithm) * run.period_s + run.tolerance_s;
    let mut violations = Vec::new();
    let unavailable = unavailable_spans(run, records);
    for (observer, observed, from, to) in dead_views(run, records) {
        let parties = [Party::Node(observer), Party::Node(observed)];
        let mut covers: Spans =
            parties.iter().filter_map(|party| disturbances.parties.get(party)).flatten().copied().collect();
        covers.extend([observer, observed].iter().filter_map(|node| unavailable.get(node)).flatten());
        covers.extend(
            disturbances
                .cuts
                .iter()
                .filter(|(_, _, a, b)| {
                    let [one, other] = &parties;
                    a.contains(one) && b.contains(other) || a.contains(other) && b.contains(one)
                })
                .map(|cut| (cut.0, cut.1)),
        );
        let free = uncovered(from, to, &mut covers);
        for (healthy_from, until) in free {
            let span = until - healthy_from;
            // A member that was suspected during a disturbance may be declared dead right after it, and once
            // a cut has ended all members receive what the other side believed about members of their own
            // side.
            let ended_recently =
                |end: f64| end <= healthy_from && healthy_from < end + MIN_LIMIT_PERIODS * run.period_s;
            let mut ends =
                covers.iter().map(|cover| cover.1).chain(disturbances.cuts.iter().map(|cut| cut.1));
            let after_disturbance = healthy_from > from || ends.any(ended_recently);
            let bound = if after_disturbance {
                limit_s
            } else {
                MAX_FALSE_POSITIVE_PERIODS * run.period_s + run.tolerance_s
            };
            if after_disturbance {
                report.longest_recovery_s = report.longest_recovery_s.max(span);
            } else {
                report.false_positives += 1;
                report.longest_false_positive_s = report.longest_false_positive_s.max(span);
            }
            if span > bound {
                let description = format!(
                    "n{observer} reported healthy n{observed} dead for {span:.3} s, at most {bound:.3} s allowed"
                );
                violations.push(Violation { t: healthy_from + bound, rule: "members", description });
            }
        }
    }
    let detections = detections(run, records, disturbances, &unavailable, limit_s);
    for (t, node, suspected, detected) in detections {
        report.suspicion_delays_s.extend(suspected.map(|at| at - t));
        report.detection_delays_s.extend(detected.map(|at| at - t));
        let late = detected.map_or(t + limit_s < run.ended_at, |at| at - t > limit_s);
        if late {
            let when = detected.map_or("never".to_owned(), |at| format!("after {:.3} s", at - t));
            let description = format!(
                "n{node} was killed at {t:.3} s, detected by all {when}, at most {limit_s:.3} s allowed"
            );
            violations.push(Violation { t: t + limit_s, rule: "members", description });
        }
    }
    violations
}

/// Returns when no process of a node serves: from the end of its last process, or from the request to stop
/// it, until another one is ready.
fn unavailable_spans(run: &Run, records: &[Record]) -> BTreeMap<usize, Spans> {
    let mut processes: BTreeMap<usize, usize> = BTreeMap::new();
    let mut since: BTreeMap<usize, f64> = BTreeMap::new();
    let mut spans: BTreeMap<usize, Spans> = BTreeMap::new();
    for record in records {
        let Event::Process { node, change, .. } = &record.event else { continue };
        let count = processes.entry(*node).or_default();
        match change {
            ProcessChange::Started | ProcessChange::ReplacementStarted => *count += 1,
            ProcessChange::Ended => *count = count.saturating_sub(1),
            ProcessChange::Ready => {
                if let Some(from) = since.remove(node) {
                    spans.entry(*node).or_default().push((from, record.t));
                }
            }
            _ => {}
        }
        if *change == ProcessChange::Killed
            || *count == 0
            || (*change == ProcessChange::Stopping && *count == 1)
        {
            since.entry(*node).or_insert(record.t);
        }
    }
    for (node, from) in since {
        spans.entry(node).or_default().push((from, run.ended_at));
    }
    spans
}

/// Returns which member considered which member dead, and from when to when.
fn dead_views(run: &Run, records: &[Record]) -> Vec<(usize, usize, f64, f64)> {
    let mut open: BTreeMap<(usize, usize), f64> = BTreeMap::new();
    let mut found = Vec::new();
    for record in records {
        match &record.event {
            Event::MemberView { node, observed, state } => {
                if state == "dead" {
                    open.entry((*node, *observed)).or_insert(record.t);
                } else if let Some(from) = open.remove(&(*node, *observed)) {
                    found.push((*node, *observed, from, record.t));
                }
            }
            // A view ends with the process that held it.
            Event::Process { node, change: ProcessChange::Killed | ProcessChange::Ended, .. } => {
                let keys: Vec<(usize, usize)> =
                    open.range((*node, 0)..(*node + 1, 0)).map(|(key, _)| *key).collect();
                for key in keys {
                    if let Some(from) = open.remove(&key) {
                        found.push((key.0, key.1, from, record.t));
                    }
                }
            }
            _ => {}
        }
    }
    found.extend(open.into_iter().map(|((node, observed), from)| (node, observed, from, run.ended_at)));
    found
}

/// Returns the nodes that were killed, with the time at which the first member suspected them and the time at
/// which the last undisturbed member considered them dead. Nodes that returned before that are omitted.
fn detections(
    run: &Run,
    records: &[Record],
    disturbances: &Disturbances,
    unavailable: &BTreeMap<usize, Spans>,
    limit_s: f64,
) -> Vec<(f64, usize, Option<f64>, Option<f64>)> {
    let mut found = Vec::new();
    for (i, record) in records.iter().enumerate() {
        let Event::Process { node, change: ProcessChange::Killed, .. } = &record.event else { continue };
        let restart = records[i..].iter().find(
            |later| matches!(&later.event, Event::Process { node: n, change: ProcessChange::Started, .. } if n == node),
        );
        let until = restart.map_or(run.ended_at, |restart| restart.t);
        let mut suspected = None;
        let mut detected_at: BTreeMap<usize, f64> = BTreeMap::new();
        for later in records[i..].iter().take_while(|later| later.t < until) {
            if let Event::MemberView { node: observer, observed, state } = &later.event
                && observed == node
                && state != "alive"
            {
                suspected.get_or_insert(later.t);
                if state != "suspect" {
                    detected_at.entry(*observer).or_insert(later.t);
                }
            }
        }
        // A disturbance before a member detected the death excuses that member; later ones are irrelevant.
        let until = until.min(record.t + limit_s);
        let overlaps = |a: f64, b: f64, end: f64| a < end && b > record.t;
        let is_healthy = |n: &usize| {
            let mut spans =
                disturbances.parties.get(&Party::Node(*n)).into_iter().chain(unavailable.get(n)).flatten();
            let end = detected_at.get(n).copied().unwrap_or(until);
            n != node && !spans.any(|&(a, b)| overlaps(a, b, end))
        };
        let observers: Vec<usize> = (0..run.nodes).filter(is_healthy).collect();
        let last = observers
            .iter()
            .map(|n| detected_at.get(n).copied())
            .try_fold(0.0f64, |last, at| Some(last.max(at?)));
        let end = last.unwrap_or(until);
        if observers.is_empty() || disturbances.cuts.iter().any(|&(a, b, ..)| overlaps(a, b, end)) {
            continue;
        }
        // A node that returned before all members detected its death gives no result.
        if last.is_some() || restart.is_none() {
            found.push((record.t, *node, suspected, last));
        }
    }
    found
}
