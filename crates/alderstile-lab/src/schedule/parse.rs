//! Parses and validates schedules, and makes their random choices from the seed.

use std::path::Path;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use thiserror::Error;
use toml::Spanned;

use super::errors::{ScheduleError, SourceText};
use super::faults::{Fault, PlannedFault, find_contradiction, plan};
use super::parties::Parties;
use super::plan::Plan;
use super::schema::{ClientClass, Hosts, Members, Nodes, Schedule, Subsetting};
use super::{MAX_EMULATED_NODES, MAX_REPETITIONS, MAX_RUN_S};

/// Maximum traffic share of a node relative to other nodes.
const MAX_TRAFFIC_SHARE: f64 = 1e3;
/// Maximum time that a client waits for its answer, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;
/// Maximum load of a connection, in microseconds of work per second.
const MAX_LOAD_US: f64 = 1e9;

impl Plan {
    /// Reads and validates a file. `seed` overrides the seed in the file.
    ///
    /// # Errors
    ///
    /// If the file can't be read, a key is unknown, or a value is invalid.
    pub fn load(path: &Path, seed: Option<u64>) -> Result<Self, ScheduleError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| ScheduleError::File { file: file.clone(), error })?;
        Self::parse(&file, &text, seed)
    }

    /// Parses and validates a text; `file` is its name in error messages.
    ///
    /// # Errors
    ///
    /// If a key is unknown or a value is invalid.
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

/// Parses the text; rejects unknown keys.
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
    Err(source.error(length_s.span(), "length_s", "expected seconds above 0, at most 86400"))
}

fn check_nodes(source: &SourceText, nodes: &Nodes) -> Result<(), ScheduleError> {
    let invalid =
        |key: &str, what: &str| Err(source.error(nodes.count.span(), &format!("nodes.{key}"), what));
    let count = *nodes.count.get_ref();
    if count == 0 || count > MAX_EMULATED_NODES {
        return invalid("count", &format!("expected 1 to {MAX_EMULATED_NODES}, found {count}"));
    }
    if nodes.zones.is_empty() {
        return invalid("zones", "expected at least one zone");
    }
    let valid = |share: &f64| *share > 0.0 && *share <= MAX_TRAFFIC_SHARE;
    if nodes.traffic.is_empty() || !nodes.traffic.iter().all(valid) {
        return invalid("traffic", "expected shares above 0, at most 1000");
    }
    Ok(())
}

fn check_hosts(source: &SourceText, hosts: &Spanned<Hosts>) -> Result<(), ScheduleError> {
    let (span, hosts) = (hosts.span(), hosts.get_ref());
    if let Some((key, allowed)) = hosts.first_invalid_key() {
        return Err(source.error(span, &format!("hosts.{key}"), format!("expected {allowed}")));
    }
    if hosts.count > MAX_EMULATED_NODES {
        return Err(source.error(span, "hosts.count", format!("expected at most {MAX_EMULATED_NODES}")));
    }
    Ok(())
}

fn check_subsetting(source: &SourceText, subsetting: &Spanned<Subsetting>) -> Result<(), ScheduleError> {
    let invalid =
        |key: &str, what: &str| Err(source.error(subsetting.span(), &format!("choices.{key}"), what));
    let subsetting = subsetting.get_ref();
    if subsetting.hosts_per_node == 0 {
        return invalid("size", "expected 1 or more");
    }
    if !(subsetting.added_host_retention_s > 0.0 && subsetting.added_host_retention_s <= MAX_RUN_S) {
        return invalid("hold_s", "expected seconds above 0, at most 86400");
    }
    Ok(())
}

fn check_clients(source: &SourceText, i: usize, clients: &Spanned<ClientClass>) -> Result<(), ScheduleError> {
    let invalid =
        |key: &str, what: &str| Err(source.error(clients.span(), &format!("clients[{i}].{key}"), what));
    let clients = clients.get_ref();
    let times = [("hold_s", clients.hold_s), ("rest_s", clients.rest_s)];
    if let Some((key, _)) = times.into_iter().find(|(_, s)| !(*s > 0.0 && *s <= MAX_RUN_S)) {
        return invalid(key, "expected seconds above 0, at most 86400");
    }
    if clients.wait_ms == 0 || clients.wait_ms > MAX_WAIT_MS {
        return invalid("wait_ms", "expected 1 to 60000");
    }
    if !(0.0..=MAX_LOAD_US).contains(&clients.load_us) {
        return invalid("load_us", "expected 0 to 1000000000");
    }
    Ok(())
}

fn check_members(source: &SourceText, members: &Spanned<Members>) -> Result<(), ScheduleError> {
    let invalid = |key: &str, what: &str| Err(source.error(members.span(), &format!("members.{key}"), what));
    let members = members.get_ref();
    if !(20..=60_000).contains(&members.period_ms) {
        return invalid("period_ms", "expected 20 to 60000");
    }
    if !(members.suspicion >= 1.0 && members.suspicion <= 100.0) {
        return invalid("suspicion", "expected 1 to 100");
    }
    if !(0.0..0.5).contains(&members.clock_rate) {
        return invalid("clock_rate", "expected a share from 0 up to, but not including, 0.5");
    }
    Ok(())
}

/// Returns every occurrence of every fault with its targets drawn, in file order, each with the index of its
/// fault in the file.
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
        let invalid =
            |key: &str, what: String| source.error(fault.span(), &format!("faults[{i}].{key}"), what);
        let mut fault = fault.get_ref().clone();
        let every_s =
            repetition_interval_s(&fault, length_s).map_err(|error| invalid("every_s", error.to_string()))?;
        loop {
            let planned = plan(&fault, &parties, length_s, &mut rng);
            faults.push((i, planned.map_err(|(key, what)| invalid(key, what))?));
            fault.at_s += every_s;
            if fault.at_s > length_s {
                break;
            }
        }
    }
    Ok(faults)
}

/// `every_s` of a fault is too short: its occurrences would overlap or be too many.
#[derive(Debug, Error)]
#[error("expected at least for_s, and at most {MAX_REPETITIONS} occurrences in the run")]
struct RepetitionError;

/// Returns the seconds between two occurrences of a fault; infinite for a fault that occurs once.
fn repetition_interval_s(fault: &Fault, length_s: f64) -> Result<f64, RepetitionError> {
    let Some(every_s) = fault.every_s else { return Ok(f64::INFINITY) };
    let valid =
        every_s > 0.0 && every_s >= fault.for_s.unwrap_or(every_s) && length_s / every_s <= MAX_REPETITIONS;
    if valid { Ok(every_s) } else { Err(RepetitionError) }
}

fn check_contradictions(
    source: &SourceText,
    schedule: &Schedule,
    faults: &[(usize, PlannedFault)],
) -> Result<(), ScheduleError> {
    match find_contradiction(faults) {
        Some((i, key, what)) => {
            Err(source.error(schedule.faults[i].span(), &format!("faults[{i}].{key}"), what))
        }
        None => Ok(()),
    }
}

/// Converts a validated schedule into a plan, with its faults ordered by time.
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
