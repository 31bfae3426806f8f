//! The file of scale runs: its form, its bounds, and how members are dealt out over zones and regions.

use std::io;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use thiserror::Error;

/// Most members of a run, and most real processes among them.
const MOST_MEMBERS: usize = 5_000;
const MOST_REAL: usize = 100;

/// One size.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// All members.
    pub members: usize,
    /// Real processes among them.
    pub real: usize,
}

/// What a run is to do: the file's form.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Runs {
    /// What it is about.
    pub title: String,
    /// For all that is drawn.
    pub seed: u64,
    /// One run after the other.
    pub sizes: Vec<Size>,
    /// Members that are set aside for control, spread over all zones. So far they do what all members do.
    pub control: usize,
    /// Zones over which members are dealt out, one after the other.
    pub zones: usize,
    /// The first so many of them are one region, with all real nodes; the rest are the other.
    pub zones_of_first_region: usize,
    /// The protocol period.
    pub period_ms: u64,
    /// As in the cluster's file.
    pub suspicion: f64,
    /// Threads that share the hollow nodes.
    pub threads: usize,
    /// Whether hollow nodes know each other when they start; without, all know three seeds.
    #[serde(default)]
    pub know_all: bool,
    /// How long nothing happens while costs are measured.
    pub quiet_s: f64,
    /// Members that die and come back, one after the other.
    pub deaths: usize,
    /// Members that tell another digest of their settings, one after the other.
    pub news: usize,
    /// Whether the last zone dies and comes back.
    pub zone: bool,
    /// How long regions don't hear each other; 0 for not at all.
    pub parted_s: f64,
    /// A size that is not done by then is given up.
    pub most_s: f64,
}

/// Why a file of scale runs was refused.
#[derive(Debug, Error)]
pub enum RunsError {
    /// The file could not be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The text is no TOML, or lacks a key, or has one that is unknown.
    #[error("{file}: {source}")]
    Syntax {
        /// The file, as it is shown.
        file: String,
        /// What the parser said.
        source: Box<toml::de::Error>,
    },
    /// A key has a value out of its range.
    #[error("{file}: the key {key}: {expected}")]
    Value {
        /// The file, as it is shown.
        file: String,
        /// The key.
        key: String,
        /// What the key may be.
        expected: String,
    },
}

impl Runs {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// If the file can't be read, or as [`Runs::parse`].
    pub fn load(path: &Path) -> Result<Self, RunsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| RunsError::Read { path: path.to_owned(), source })?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Checks a text; `shown` names the file in errors.
    ///
    /// # Errors
    ///
    /// If the text has not the form of [`Runs`], or a value is out of its range.
    pub fn parse(shown: &str, text: &str) -> Result<Self, RunsError> {
        let runs: Runs = toml::from_str(text)
            .map_err(|error| RunsError::Syntax { file: shown.to_owned(), source: Box::new(error) })?;
        let bad = |key: &str, expected: &str| {
            Err(RunsError::Value {
                file: shown.to_owned(),
                key: key.to_owned(),
                expected: expected.to_owned(),
            })
        };
        if runs.sizes.is_empty() {
            return bad("sizes", "at least one is wanted");
        }
        for (i, size) in runs.sizes.iter().enumerate() {
            if size.members < 2 || size.members > MOST_MEMBERS {
                return bad(&format!("sizes[{i}].members"), &format!("2 to {MOST_MEMBERS} is wanted"));
            }
            let room = (0..size.members).filter(|&number| runs.may_be_real(number)).count();
            if size.real > MOST_REAL.min(room) {
                return bad(
                    &format!("sizes[{i}].real"),
                    &format!(
                        "at most {} is wanted: real nodes are in the first region and no control machines",
                        MOST_REAL.min(room)
                    ),
                );
            }
            // Those that die and tell are hollow, no control machines, and not of the zone that is lost.
            let able = (0..size.members).filter(|&number| runs.is_ordinary(number)).count() - size.real;
            let most = able.min(size.members / 3);
            for (key, value) in [("deaths", runs.deaths), ("news", runs.news)] {
                if value > most {
                    return bad(key, &format!("at most {most} is wanted for {} members", size.members));
                }
            }
        }
        if runs.zones == 0 || runs.zones > 100 || runs.zones_of_first_region > runs.zones {
            return bad("zones", "1 to 100 is wanted, with zones_of_first_region of them at most");
        }
        if !(50..=60_000).contains(&runs.period_ms) {
            return bad("period_ms", "50 to 60000 is wanted");
        }
        if !(1.0..=100.0).contains(&runs.suspicion) {
            return bad("suspicion", "1 to 100 is wanted");
        }
        if !(1..=64).contains(&runs.threads) {
            return bad("threads", "1 to 64 is wanted");
        }
        for (key, value) in [("quiet_s", runs.quiet_s), ("parted_s", runs.parted_s), ("most_s", runs.most_s)]
        {
            if !(0.0..=86_400.0).contains(&value) {
                return bad(key, "0 to 86400 is wanted");
            }
        }
        Ok(runs)
    }

    pub(super) fn zone_of(&self, number: usize) -> usize {
        number % self.zones.max(1)
    }

    pub(super) fn region_of(&self, number: usize) -> u8 {
        u8::from(self.zone_of(number) >= self.zones_of_first_region)
    }

    pub(super) fn may_be_real(&self, number: usize) -> bool {
        self.is_ordinary(number) && self.region_of(number) == 0
    }

    /// Neither a control machine nor of the zone that is lost.
    pub(super) fn is_ordinary(&self, number: usize) -> bool {
        number >= self.control && (self.zones == 1 || self.zone_of(number) + 1 != self.zones)
    }

    pub(super) fn period_s(&self) -> f64 {
        self.period_ms as f64 / 1e3
    }
}
