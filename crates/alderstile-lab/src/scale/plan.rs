//! The plan of scale runs: its TOML schema, the valid ranges, and the assignment of members to zones and
//! regions.

use std::io;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use thiserror::Error;

/// Maximum number of members of a run.
const MAX_MEMBERS: usize = 5_000;
/// Maximum number of real node processes among them.
const MAX_REAL: usize = 100;

/// Cluster size of one run.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Number of members, hollow and real.
    pub members: usize,
    /// Number of real node processes among them.
    pub real: usize,
}

/// Plan of scale runs, as read from a TOML file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ScalePlan {
    /// Title.
    pub title: String,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Sizes, one run each, in this order.
    pub sizes: Vec<Size>,
    /// Number of members reserved as control nodes, spread over all zones. They run the same protocol as the
    /// other members, but are always hollow, and only the loss of a zone kills them.
    #[serde(rename = "control")]
    pub control_nodes: usize,
    /// Number of zones; members are assigned to them in turn.
    pub zones: usize,
    /// Number of zones that form the first region, which contains all real nodes; the other zones form the
    /// second region.
    pub zones_of_first_region: usize,
    /// Protocol period of membership, in milliseconds.
    pub period_ms: u64,
    /// Suspicion multiplier, as in the cluster file.
    pub suspicion: f64,
    /// Number of threads that run the hollow nodes.
    pub threads: usize,
    /// Whether hollow nodes know all other hollow nodes when they start; otherwise every node starts with
    /// three seeds.
    #[serde(rename = "know_all", default)]
    pub start_joined: bool,
    /// Duration of the phase without changes in which the baseline costs are measured, in seconds.
    pub quiet_s: f64,
    /// Number of members that are killed, one after the other, and started again.
    pub deaths: usize,
    /// Number of members that announce a changed configuration digest, one after the other.
    #[serde(rename = "news")]
    pub config_changes: usize,
    /// Whether all members of the last zone are killed and started again.
    #[serde(rename = "zone")]
    pub lose_zone: bool,
    /// Duration of the partition between the two regions, in seconds; 0 for no partition.
    #[serde(rename = "parted_s")]
    pub partition_s: f64,
    /// Time limit of one size, in seconds; a size that exceeds it is aborted.
    #[serde(rename = "most_s")]
    pub time_limit_s: f64,
}

/// Errors of loading a plan.
#[derive(Debug, Error)]
pub enum ScalePlanError {
    /// The file can't be read.
    #[error("reading {} failed: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The text is not valid TOML, lacks a key, or has an unknown key.
    #[error("{file}: {source}")]
    Syntax {
        /// Name of the file.
        file: String,
        /// Error of the parser.
        source: Box<toml::de::Error>,
    },
    /// A value is out of range.
    #[error("{file}: invalid {key}: expected {expected}")]
    Value {
        /// Name of the file.
        file: String,
        /// Path of the key.
        key: String,
        /// Allowed values.
        expected: String,
    },
}

impl ScalePlan {
    /// Reads and validates a plan file.
    ///
    /// # Errors
    ///
    /// If the file can't be read, or for the reasons given at [`ScalePlan::parse`].
    pub fn load(path: &Path) -> Result<Self, ScalePlanError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ScalePlanError::Read { path: path.to_owned(), source })?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses and validates the text of a plan; `file_name` names the file in errors.
    ///
    /// # Errors
    ///
    /// If the text does not match the schema of [`ScalePlan`], or a value is out of range.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, ScalePlanError> {
        let plan: ScalePlan = toml::from_str(text).map_err(|error| ScalePlanError::Syntax {
            file: file_name.to_owned(),
            source: Box::new(error),
        })?;
        let invalid = |key: &str, expected: &str| {
            Err(ScalePlanError::Value {
                file: file_name.to_owned(),
                key: key.to_owned(),
                expected: expected.to_owned(),
            })
        };
        if plan.sizes.is_empty() {
            return invalid("sizes", "at least one size");
        }
        for (i, size) in plan.sizes.iter().enumerate() {
            if size.members < 2 || size.members > MAX_MEMBERS {
                return invalid(&format!("sizes[{i}].members"), &format!("2 to {MAX_MEMBERS}"));
            }
            let eligible_real = (0..size.members).filter(|&number| plan.may_be_real(number)).count();
            if size.real > MAX_REAL.min(eligible_real) {
                return invalid(
                    &format!("sizes[{i}].real"),
                    &format!(
                        "at most {}: real nodes are in the first region, not in the last zone, and not control \
                         nodes",
                        MAX_REAL.min(eligible_real)
                    ),
                );
            }
            // Members that are killed or change their configuration are hollow, are not control nodes, and
            // are outside the zone that is lost.
            let ordinary_hollow =
                (0..size.members).filter(|&number| plan.is_ordinary(number)).count() - size.real;
            let max = ordinary_hollow.min(size.members / 3);
            for (key, value) in [("deaths", plan.deaths), ("news", plan.config_changes)] {
                if value > max {
                    return invalid(key, &format!("at most {max} for {} members", size.members));
                }
            }
        }
        if plan.zones == 0 || plan.zones > 100 || plan.zones_of_first_region > plan.zones {
            return invalid("zones", "1 to 100, and at least zones_of_first_region");
        }
        if !(50..=60_000).contains(&plan.period_ms) {
            return invalid("period_ms", "50 to 60000");
        }
        if !(1.0..=100.0).contains(&plan.suspicion) {
            return invalid("suspicion", "1 to 100");
        }
        if !(1..=64).contains(&plan.threads) {
            return invalid("threads", "1 to 64");
        }
        for (key, value) in
            [("quiet_s", plan.quiet_s), ("parted_s", plan.partition_s), ("most_s", plan.time_limit_s)]
        {
            if !(0.0..=86_400.0).contains(&value) {
                return invalid(key, "0 to 86400");
            }
        }
        Ok(plan)
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

    /// Returns whether a member is neither a control node nor in the zone that is lost (the last one).
    pub(super) fn is_ordinary(&self, number: usize) -> bool {
        number >= self.control_nodes && (self.zones == 1 || self.zone_of(number) + 1 != self.zones)
    }

    pub(super) fn period_s(&self) -> f64 {
        self.period_ms as f64 / 1e3
    }
}
