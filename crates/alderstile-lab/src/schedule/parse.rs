//! Reads a schedule's file, checks each part of it and draws what a seed decides.

use std::path::Path;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use toml::Spanned;

use super::errors::{ScheduleError, SourceText};
use super::faults::{contradiction, plan};
use super::parties::Parties;
use super::plan::Plan;
use super::schema::Schedule;
use super::{LONGEST_S, MOST_EMULATED, MOST_TIMES};

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
        let at = SourceText { file, text };
        let schedule: Schedule = toml::from_str(text).map_err(|error| {
            let span = error.span().unwrap_or_default();
            let word = text.get(span.clone()).unwrap_or_default().lines().next().unwrap_or_default();
            at.error(span, word.trim(), error.message())
        })?;
        let seed = seed.unwrap_or(schedule.seed);
        let length_s = *schedule.length_s.get_ref();
        if !(length_s > 0.0 && length_s <= LONGEST_S) {
            return Err(at.error(
                schedule.length_s.span(),
                "length_s",
                "more than 0 and at most a day is wanted",
            ));
        }
        let count = *schedule.nodes.count.get_ref();
        if count == 0 || count > MOST_EMULATED {
            let what = format!("1 to {MOST_EMULATED} are wanted");
            return Err(at.error(schedule.nodes.count.span(), "nodes.count", what));
        }
        if schedule.nodes.zones.is_empty() {
            return Err(at.error(schedule.nodes.count.span(), "nodes.zones", "at least one zone is wanted"));
        }
        if !schedule.nodes.traffic.iter().all(|share| *share > 0.0 && *share <= 1e3)
            || schedule.nodes.traffic.is_empty()
        {
            let what = "shares above 0 and at most 1000 are wanted";
            return Err(at.error(schedule.nodes.count.span(), "nodes.traffic", what));
        }
        let (span, hosts) = (schedule.hosts.span(), schedule.hosts.into_inner());
        if let Some((key, wanted)) = hosts.fault() {
            return Err(at.error(span, &format!("hosts.{key}"), format!("{wanted} is wanted")));
        }
        if hosts.count > MOST_EMULATED {
            return Err(at.error(span, "hosts.count", format!("at most {MOST_EMULATED} are wanted")));
        }
        let choices = schedule.choices.map(|choices| (choices.span(), choices.into_inner()));
        if let Some((span, choices)) = &choices {
            let bad = |key: &str, what: &str| Err(at.error(span.clone(), &format!("choices.{key}"), what));
            if choices.size == 0 {
                return bad("size", "1 or more is wanted");
            }
            if !(choices.hold_s > 0.0 && choices.hold_s <= LONGEST_S) {
                return bad("hold_s", "seconds above 0 are wanted");
            }
        }
        for (i, clients) in schedule.clients.iter().enumerate() {
            let (span, clients) = (clients.span(), clients.get_ref());
            let key = |name: &str| format!("clients[{i}].{name}");
            let times = [("hold_s", clients.hold_s), ("rest_s", clients.rest_s)];
            if let Some((name, _)) = times.into_iter().find(|(_, s)| !(*s > 0.0 && *s <= LONGEST_S)) {
                return Err(at.error(span, &key(name), "seconds above 0 are wanted"));
            }
            if clients.wait_ms == 0 || clients.wait_ms > 60_000 {
                return Err(at.error(span, &key("wait_ms"), "1 to 60000 is wanted"));
            }
            if !(0.0..=1e9).contains(&clients.load_us) {
                return Err(at.error(span, &key("load_us"), "0 to 1000000000 is wanted"));
            }
        }
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let parties = Parties { nodes: count, hosts: hosts.count, zones: &schedule.nodes.zones };
        let mut faults = Vec::new();
        for (i, fault) in schedule.faults.iter().enumerate() {
            let span = fault.span();
            let bad = |key: &str, what: String| at.error(span.clone(), &format!("faults[{i}].{key}"), what);
            let mut fault = fault.get_ref().clone();
            if let Some(every) = fault.every_s
                && !(every > 0.0 && every >= fault.for_s.unwrap_or(every) && length_s / every <= MOST_TIMES)
            {
                let what = format!("at least for_s is wanted, and at most {MOST_TIMES} times in the run");
                return Err(bad("every_s", what));
            }
            let every = fault.every_s.unwrap_or(f64::INFINITY);
            loop {
                let planned = plan(&fault, &parties, length_s, &mut rng);
                faults.push((i, planned.map_err(|(key, what)| bad(key, what))?));
                fault.at_s += every;
                if fault.at_s > length_s {
                    break;
                }
            }
        }
        if let Some(members) = &schedule.members {
            let (span, members) = (members.span(), members.get_ref());
            let bad = |key: &str, what: &str| Err(at.error(span.clone(), &format!("members.{key}"), what));
            if !(20..=60_000).contains(&members.period_ms) {
                return bad("period_ms", "20 to 60000 is wanted");
            }
            if !(members.suspicion >= 1.0 && members.suspicion <= 100.0) {
                return bad("suspicion", "1 to 100 is wanted");
            }
            if !(0.0..0.5).contains(&members.clock_rate) {
                return bad("clock_rate", "a share from 0 to under 0.5 is wanted");
            }
        }
        if let Some((i, key, what)) = contradiction(&faults) {
            return Err(at.error(schedule.faults[i].span(), &format!("faults[{i}].{key}"), what));
        }
        faults.sort_by(|(_, a), (_, b)| a.at_s.total_cmp(&b.at_s));
        Ok(Plan {
            title: schedule.title,
            seed,
            length_s,
            nodes: count,
            zones: schedule.nodes.zones,
            traffic: schedule.nodes.traffic,
            members: schedule.members.map(Spanned::into_inner),
            choices: choices.map(|(_, choices)| choices).unwrap_or_default(),
            hosts,
            clients: schedule.clients.into_iter().map(Spanned::into_inner).collect(),
            ways: schedule.ways,
            faults: faults.into_iter().map(|(_, fault)| fault).collect(),
        })
    }
}
