//! The checker of members' views.

use std::collections::BTreeMap;

use super::{Disturbed, Run, Views, Violation};
use crate::history::{Event, ProcessChange, Record};
use crate::schedule::Party;

/// A member that is well may be held dead by mistake for so many periods.
const FALSE: f64 = 1.0;
/// After what disturbed a member or its ways all see it again within so many periods at least; with many members within this
/// many times the logarithm to base 2 of their number. The same holds for all to know of a death.
const PERIODS: f64 = 15.0;
const LOGARITHMS: f64 = 3.0;
/// A time beyond that many times its bound breaks the rule: a single run may be unlucky.
const WIDE: f64 = 2.0;

/// Spans of time.
type Spans = Vec<(f64, f64)>;

/// The parts of a span that none of these covers.
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

/// No member that is well is held dead for long; all hear soon of a death.
pub fn check(run: &Run, records: &[Record], disturbed: &Disturbed, report: &mut Views) -> Vec<Violation> {
    let logarithm = (run.nodes as f64).log2();
    let soon = WIDE * PERIODS.max(LOGARITHMS * logarithm) * run.period_s + run.wide_s;
    let mut violations = Vec::new();
    let away = away(run, records);
    for (observer, of, from, to) in held_dead(run, records) {
        let actors = [Party::Node(observer), Party::Node(of)];
        let mut covers: Spans =
            actors.iter().filter_map(|actor| disturbed.parties.get(actor)).flatten().copied().collect();
        covers.extend([observer, of].iter().filter_map(|node| away.get(node)).flatten());
        covers.extend(
            disturbed
                .cuts
                .iter()
                .filter(|(_, _, a, b)| {
                    let [one, other] = &actors;
                    a.contains(one) && b.contains(other) || a.contains(other) && b.contains(one)
                })
                .map(|cut| (cut.0, cut.1)),
        );
        let free = uncovered(from, to, &mut covers);
        for (well_from, until) in free {
            let span = until - well_from;
            // Who was suspected while a disturbance lasted may be held dead right after it, and once a cut is over all hear what
            // the other side believed of those on their own.
            let left = |end: f64| end <= well_from && well_from < end + PERIODS * run.period_s;
            let mut ends = covers.iter().map(|cover| cover.1).chain(disturbed.cuts.iter().map(|cut| cut.1));
            let after = well_from > from || ends.any(left);
            let bound = if after { soon } else { FALSE * run.period_s + run.wide_s };
            if after {
                report.longest_recovery_s = report.longest_recovery_s.max(span);
            } else {
                report.false_positives += 1;
                report.longest_false_positive_s = report.longest_false_positive_s.max(span);
            }
            if span > bound {
                let what = format!(
                    "n{of} is well and n{observer} holds it dead for {span:.3} s, {bound:.3} s at most"
                );
                violations.push(Violation { t: well_from + bound, rule: "members", what });
            }
        }
    }
    let deaths = deaths(run, records, disturbed, &away, soon);
    for (t, node, suspected, known) in deaths {
        report.suspicion_delays_s.extend(suspected.map(|at| at - t));
        report.detection_delays_s.extend(known.map(|at| at - t));
        let late = known.map_or(t + soon < run.ended_at, |at| at - t > soon);
        if late {
            let when = known.map_or("never".to_owned(), |at| format!("after {:.3} s", at - t));
            let what =
                format!("n{node} was killed at {t:.3} s, and all know of it {when}, {soon:.3} s at most");
            violations.push(Violation { t: t + soon, rule: "members", what });
        }
    }
    violations
}

/// When no process of a node serves: from its end, or from when its only one is told to stop, until another is ready.
fn away(run: &Run, records: &[Record]) -> BTreeMap<usize, Spans> {
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

/// Who held whom dead, from when to when.
fn held_dead(run: &Run, records: &[Record]) -> Vec<(usize, usize, f64, f64)> {
    let mut open: BTreeMap<(usize, usize), f64> = BTreeMap::new();
    let mut found = Vec::new();
    for record in records {
        match &record.event {
            Event::MemberView { node, of, state } => {
                if state == "dead" {
                    open.entry((*node, *of)).or_insert(record.t);
                } else if let Some(from) = open.remove(&(*node, *of)) {
                    found.push((*node, *of, from, record.t));
                }
            }
            // What a process believed ends with it.
            Event::Process { node, change: ProcessChange::Killed | ProcessChange::Ended, .. } => {
                let its: Vec<(usize, usize)> =
                    open.range((*node, 0)..(*node + 1, 0)).map(|(key, _)| *key).collect();
                for key in its {
                    if let Some(from) = open.remove(&key) {
                        found.push((key.0, key.1, from, record.t));
                    }
                }
            }
            _ => {}
        }
    }
    found.extend(open.into_iter().map(|((node, of), from)| (node, of, from, run.ended_at)));
    found
}

/// Nodes that were killed, with when the first member suspected it and when the last of those that were well held it dead; only
/// those that stayed away until then.
fn deaths(
    run: &Run,
    records: &[Record],
    disturbed: &Disturbed,
    away: &BTreeMap<usize, Spans>,
    soon: f64,
) -> Vec<(f64, usize, Option<f64>, Option<f64>)> {
    let mut found = Vec::new();
    for (i, record) in records.iter().enumerate() {
        let Event::Process { node, change: ProcessChange::Killed, .. } = &record.event else { continue };
        let back = records[i..].iter().find(
            |later| matches!(&later.event, Event::Process { node: n, change: ProcessChange::Started, .. } if n == node),
        );
        let until = back.map_or(run.ended_at, |back| back.t);
        let mut suspected = None;
        let mut knows: BTreeMap<usize, f64> = BTreeMap::new();
        for later in records[i..].iter().take_while(|later| later.t < until) {
            if let Event::MemberView { node: observer, of, state } = &later.event
                && of == node
                && state != "alive"
            {
                suspected.get_or_insert(later.t);
                if state != "suspect" {
                    knows.entry(*observer).or_insert(later.t);
                }
            }
        }
        // What disturbed others before they knew excuses them; what came later does not matter.
        let until = until.min(record.t + soon);
        let over = |a: f64, b: f64, end: f64| a < end && b > record.t;
        let well = |n: &usize| {
            let mut spans = disturbed.parties.get(&Party::Node(*n)).into_iter().chain(away.get(n)).flatten();
            let end = knows.get(n).copied().unwrap_or(until);
            n != node && !spans.any(|&(a, b)| over(a, b, end))
        };
        let all: Vec<usize> = (0..run.nodes).filter(well).collect();
        let last = all.iter().map(|n| knows.get(n).copied()).try_fold(0.0f64, |last, at| Some(last.max(at?)));
        let end = last.unwrap_or(until);
        if all.is_empty() || disturbed.cuts.iter().any(|&(a, b, ..)| over(a, b, end)) {
            continue;
        }
        // One that came back before all knew tells nothing.
        if last.is_some() || back.is_none() {
            found.push((record.t, *node, suspected, last));
        }
    }
    found
}
