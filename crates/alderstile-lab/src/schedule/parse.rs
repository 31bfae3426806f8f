//! Reads a schedule's file, checks each part of it and draws what a seed decides.

use std::path::Path;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use thiserror::Error;
use toml::Spanned;

use super::errors::{ScheduleError, SourceText};
use super::faults::{Fault, PlannedFault, contradiction, plan};
use super::parties::Parties;
use super::plan::Plan;
use super::schema::{ClientClass, Hosts, Members, Nodes, Schedule, Subsetting};
use super::{MAX_EMULATED_NODES, MAX_REPETITIONS, MAX_RUN_S};

/// The largest share of the clients that a node can be given beside others.
const MOST_TRAFFIC_SHARE: f64 = 1e3;
/// The longest that a client waits for its answer, milliseconds.
const LONGEST_WAIT_MS: u64 = 60_000;
/// The largest load of a connection, microseconds of work a second.
const MOST_LOAD_US: f64 = 1e9;

impl Plan {
    /// Reads and checks a file. `seed` stands above the file's.
    ///
    /// # Errors
    ///
    /// If the file can't be read, or a key of it is unknown or has a value that can't be used.
    pub fn load(path: &Path, seed: Option<u64>) -> Result<Self, ScheduleError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| ScheduleError::File { file: file.clone(), error })?;
        Self::parse(&file, &text, seed)
    }

    /// Checks a text; `file` is its name in errors.
    ///
    /// # Errors
    ///
    /// If a key is unknown or has a value that can't be used.
    pub fn parse(file: &str, text: &str, seed: Option<u64>) -> Result<Self, ScheduleError> {
        let source = SourceText { file, text };
        let schedule = read_schedule(&source)?;
        let seed = seed.unwrap_or(schedule.seed);
        check_length(&source, &schedule.length_s)?;
        check_nodes(&source, &schedule.nodes)?;
        check_hosts(&source, &schedule.hosts)?;
        if let Some(subsetting) = &schedule.subsetting {
            check_subsetting(&source, subsetting)?;
        }
        for (i, clients) in schedule.clients.iter().enumerate() {
            check_clients(&source, i, clients)?;
        }
        let faults = draw_faults(&source, &schedule, seed)?;
        if let Some(members) = &schedule.members {
            check_members(&source, members)?;
        }
        check_contradictions(&source, &schedule, &faults)?;
        Ok(into_plan(schedule, seed, faults))
    }
}

/// The text as tables and keys, none of them unknown.
fn read_schedule(source: &SourceText) -> Result<Schedule, ScheduleError> {
    toml::from_str(source.text).map_err(|error| {
        let span = error.span().unwrap_or_default();
        let word = source.text.get(span.clone()).unwrap_or_default().lines().next().unwrap_or_default();
        source.error(span, word.trim(), error.message())
    })
}

fn check_length(source: &SourceText, length_s: &Spanned<f64>) -> Result<(), ScheduleError> {
    let seconds = *length_s.get_ref();
    if seconds > 0.0 && seconds <= MAX_RUN_S {
        return Ok(());
    }
    Err(source.error(length_s.span(), "length_s", "more than 0 and at most a day is wanted"))
}

fn check_nodes(source: &SourceText, nodes: &Nodes) -> Result<(), ScheduleError> {
    let bad = |key: &str, what: &str| Err(source.error(nodes.count.span(), &format!("nodes.{key}"), what));
    let count = *nodes.count.get_ref();
    if count == 0 || count > MAX_EMULATED_NODES {
        return bad("count", &format!("1 to {MAX_EMULATED_NODES} are wanted"));
    }
    if nodes.zones.is_empty() {
        return bad("zones", "at least one zone is wanted");
    }
    let usable = |share: &f64| *share > 0.0 && *share <= MOST_TRAFFIC_SHARE;
    if nodes.traffic.is_empty() || !nodes.traffic.iter().all(usable) {
        return bad("traffic", "shares above 0 and at most 1000 are wanted");
    }
    Ok(())
}

fn check_hosts(source: &SourceText, hosts: &Spanned<Hosts>) -> Result<(), ScheduleError> {
    let (span, hosts) = (hosts.span(), hosts.get_ref());
    if let Some((key, wanted)) = hosts.first_invalid_key() {
        return Err(source.error(span, &format!("hosts.{key}"), format!("{wanted} is wanted")));
    }
    if hosts.count > MAX_EMULATED_NODES {
        return Err(source.error(span, "hosts.count", format!("at most {MAX_EMULATED_NODES} are wanted")));
    }
    Ok(())
}

fn check_subsetting(source: &SourceText, subsetting: &Spanned<Subsetting>) -> Result<(), ScheduleError> {
    let bad = |key: &str, what: &str| Err(source.error(subsetting.span(), &format!("choices.{key}"), what));
    let subsetting = subsetting.get_ref();
    if subsetting.hosts_per_node == 0 {
        return bad("size", "1 or more is wanted");
    }
    if !(subsetting.added_host_retention_s > 0.0 && subsetting.added_host_retention_s <= MAX_RUN_S) {
        return bad("hold_s", "seconds above 0 are wanted");
    }
    Ok(())
}

fn check_clients(source: &SourceText, i: usize, clients: &Spanned<ClientClass>) -> Result<(), ScheduleError> {
    let bad = |key: &str, what: &str| Err(source.error(clients.span(), &format!("clients[{i}].{key}"), what));
    let clients = clients.get_ref();
    let times = [("hold_s", clients.hold_s), ("rest_s", clients.rest_s)];
    if let Some((key, _)) = times.into_iter().find(|(_, s)| !(*s > 0.0 && *s <= MAX_RUN_S)) {
        return bad(key, "seconds above 0 are wanted");
    }
    if clients.wait_ms == 0 || clients.wait_ms > LONGEST_WAIT_MS {
        return bad("wait_ms", "1 to 60000 is wanted");
    }
    if !(0.0..=MOST_LOAD_US).contains(&clients.load_us) {
        return bad("load_us", "0 to 1000000000 is wanted");
    }
    Ok(())
}

fn check_members(source: &SourceText, members: &Spanned<Members>) -> Result<(), ScheduleError> {
    let bad = |key: &str, what: &str| Err(source.error(members.span(), &format!("members.{key}"), what));
    let members = members.get_ref();
    if !(20..=60_000).contains(&members.period_ms) {
        return bad("period_ms", "20 to 60000 is wanted");
    }
    if !(members.suspicion >= 1.0 && members.suspicion <= 100.0) {
        return bad("suspicion", "1 to 100 is wanted");
    }
    if !(0.0..0.5).contains(&members.clock_rate) {
        return bad("clock_rate", "a share from 0 to under 0.5 is wanted");
    }
    Ok(())
}

/// Every occurrence of every fault with its targets drawn, in the file's order; each with its fault's place in the file.
fn draw_faults(
    source: &SourceText,
    schedule: &Schedule,
    seed: u64,
) -> Result<Vec<(usize, PlannedFault)>, ScheduleError> {
    let length_s = *schedule.length_s.get_ref();
    let nodes = *schedule.nodes.count.get_ref();
    let hosts = schedule.hosts.get_ref().count;
    let parties = Parties { nodes, hosts, zones: &schedule.nodes.zones };
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut faults = Vec::new();
    for (i, fault) in schedule.faults.iter().enumerate() {
        let bad = |key: &str, what: String| source.error(fault.span(), &format!("faults[{i}].{key}"), what);
        let mut fault = fault.get_ref().clone();
        let every_s = repetition_s(&fault, length_s).map_err(|error| bad("every_s", error.to_string()))?;
        loop {
            let planned = plan(&fault, &parties, length_s, &mut rng);
            faults.push((i, planned.map_err(|(key, what)| bad(key, what))?));
            fault.at_s += every_s;
            if fault.at_s > length_s {
                break;
            }
        }
    }
    Ok(faults)
}

/// A fault's `every_s` is too short: occurrences would overlap, or be too many.
#[derive(Debug, Error)]
#[error("at least for_s is wanted, and at most {MAX_REPETITIONS} times in the run")]
struct RepetitionError;

/// Seconds from one occurrence of a fault to the next; infinite where it comes once.
fn repetition_s(fault: &Fault, length_s: f64) -> Result<f64, RepetitionError> {
    let Some(every_s) = fault.every_s else { return Ok(f64::INFINITY) };
    let fits =
        every_s > 0.0 && every_s >= fault.for_s.unwrap_or(every_s) && length_s / every_s <= MAX_REPETITIONS;
    if fits { Ok(every_s) } else { Err(RepetitionError) }
}

fn check_contradictions(
    source: &SourceText,
    schedule: &Schedule,
    faults: &[(usize, PlannedFault)],
) -> Result<(), ScheduleError> {
    match contradiction(faults) {
        Some((i, key, what)) => {
            Err(source.error(schedule.faults[i].span(), &format!("faults[{i}].{key}"), what))
        }
        None => Ok(()),
    }
}

/// The plan of a schedule that has been checked, its faults by time.
fn into_plan(schedule: Schedule, seed: u64, mut faults: Vec<(usize, PlannedFault)>) -> Plan {
    faults.sort_by(|(_, a), (_, b)| a.at_s.total_cmp(&b.at_s));
    Plan {
        title: schedule.title,
        seed,
        length_s: schedule.length_s.into_inner(),
        nodes: schedule.nodes.count.into_inner(),
        zones: schedule.nodes.zones,
        traffic: schedule.nodes.traffic,
        members: schedule.members.map(Spanned::into_inner),
        subsetting: schedule.subsetting.map(Spanned::into_inner).unwrap_or_default(),
        hosts: schedule.hosts.into_inner(),
        clients: schedule.clients.into_iter().map(Spanned::into_inner).collect(),
        links: schedule.links,
        faults: faults.into_iter().map(|(_, fault)| fault).collect(),
    }
}
