//! Faults of a schedule: as written in the file, and with their targets drawn.

use std::collections::BTreeSet;
use std::fmt;

use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use super::MAX_RUN_S;
use super::parties::{Parties, Party};

/// One fault as written in the schedule.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When the fault begins, in seconds from the start of the run.
    pub at_s: f64,
    /// How long the fault lasts, in seconds; if absent, until the end of the run.
    pub for_s: Option<f64>,
    /// Interval at which the fault repeats until the end of the run, in seconds. Targets given as a share are
    /// drawn again for each occurrence.
    pub every_s: Option<f64>,
    /// Kind of fault.
    pub kind: FaultKind,
    /// Targets: `n3`, `h2`, `zone:a`, `share:0.3`, `nodes`, `hosts`.
    #[serde(default)]
    pub on: Vec<String>,
    /// For link faults, the sending parties; also `clients` and `discovery`. If absent, all parties.
    #[serde(default)]
    pub from: Vec<String>,
    /// For link faults, the receiving parties. If absent, all parties.
    #[serde(default)]
    pub to: Vec<String>,
    /// For loss, duplication, reordering and damage, the share of datagrams affected.
    pub share: Option<f64>,
    /// For delay, jitter, slow hosts and late lists, the additional delay in milliseconds.
    pub ms: Option<f64>,
    /// For `list_leaves_out` and `list_lies`, the hosts that are listed wrongly.
    #[serde(default)]
    pub hosts: Vec<String>,
}

/// Kind of fault.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Kills a process; it starts again after `for_s`, if given.
    Kill,
    /// Requests a process to stop; it starts again `for_s` after the request, if given.
    Stop,
    /// Starts a second process of the same node, which takes over from the first.
    Replace,
    /// Makes the process reload changed settings.
    Reload,
    /// Suspends the process.
    Pause,
    /// Blocks a link in both directions.
    Cut,
    /// Blocks a link from `from` to `to` only.
    CutOneWay,
    /// Drops a share of datagrams; a chunk of a stream is delayed by 200 ms instead, like a retransmission.
    Loss,
    /// Delays everything by a fixed time.
    Delay,
    /// Delays everything by a random time.
    Jitter,
    /// Duplicates a share of datagrams.
    Duplicate,
    /// Reorders a share of datagrams: later ones overtake them.
    Reorder,
    /// Corrupts one byte in a share of datagrams.
    Damage,
    /// Ends all link faults.
    Heal,
    /// Delays changes of the discovery list.
    ListLate,
    /// Omits hosts from the discovery list.
    ListLeavesOut,
    /// Lists running hosts as draining.
    ListLies,
    /// Makes discovery reject requests.
    ListRefuses,
    /// Kills a host; after `for_s`, if given, it starts again, at the start of its warm-up.
    HostKill,
    /// Lists a host as draining, kills it after `for_s`, and starts it again one second later, at the start
    /// of its warm-up.
    HostDrain,
    /// Delays everything that a host does.
    HostSlow,
    /// Makes a host accept connections but not respond.
    HostSilent,
    /// Makes a host reject new requests.
    HostRefuse,
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Serde serializes a unit variant as its quoted name.
        let text = serde_json::to_string(self).map_err(|_| fmt::Error)?;
        f.write_str(text.trim_matches('"'))
    }
}

/// What a kind of fault acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultTarget {
    /// Node processes.
    Process,
    /// Links between parties.
    Link,
    /// The discovery lists that nodes receive.
    DiscoveryList,
    /// Hosts.
    Host,
}

impl FaultKind {
    /// Returns what faults of this kind act on.
    pub fn target(self) -> FaultTarget {
        use FaultKind::*;
        match self {
            Kill | Stop | Replace | Reload | Pause => FaultTarget::Process,
            Cut | CutOneWay | Loss | Delay | Jitter | Duplicate | Reorder | Damage | Heal => {
                FaultTarget::Link
            }
            ListLate | ListLeavesOut | ListLies | ListRefuses => FaultTarget::DiscoveryList,
            HostKill | HostDrain | HostSlow | HostSilent | HostRefuse => FaultTarget::Host,
        }
    }

    fn requires_share(self) -> bool {
        matches!(self, FaultKind::Loss | FaultKind::Duplicate | FaultKind::Reorder | FaultKind::Damage)
    }

    fn requires_ms(self) -> bool {
        matches!(self, FaultKind::Delay | FaultKind::Jitter | FaultKind::ListLate | FaultKind::HostSlow)
    }

    fn requires_duration(self) -> bool {
        matches!(self, FaultKind::Pause | FaultKind::HostDrain)
    }
}

/// One occurrence of a fault, with its targets drawn.
#[derive(Clone, Debug)]
pub struct PlannedFault {
    /// When it begins, in seconds from the start of the run.
    pub at_s: f64,
    /// How long it lasts, in seconds; if absent, until the end of the run.
    pub for_s: Option<f64>,
    /// Kind of fault.
    pub kind: FaultKind,
    /// Targets.
    pub on: BTreeSet<Party>,
    /// For link faults, the sending parties.
    pub from: BTreeSet<Party>,
    /// For link faults, the receiving parties.
    pub to: BTreeSet<Party>,
    /// See [`Fault::share`].
    pub share: f64,
    /// See [`Fault::ms`].
    pub ms: f64,
    /// See [`Fault::hosts`].
    pub hosts: BTreeSet<Party>,
}

/// Key with an invalid value, and a message that says what is allowed.
pub(super) type InvalidKey = (&'static str, String);

/// Validates a fault and draws the targets of one occurrence.
pub(super) fn plan(
    fault: &Fault,
    parties: &Parties,
    length_s: f64,
    rng: &mut Pcg64Mcg,
) -> Result<PlannedFault, InvalidKey> {
    let kind = fault.kind;
    let target = kind.target();
    if !(0.0..=length_s).contains(&fault.at_s) {
        return Err(("at_s", format!("expected 0 to length_s ({length_s})")));
    }
    if fault.for_s.is_some_and(|s| !(s > 0.0 && s <= MAX_RUN_S)) {
        return Err(("for_s", "expected seconds above 0, at most 86400".to_owned()));
    }
    if kind.requires_duration() && fault.for_s.is_none() {
        return Err(("for_s", format!("required for {kind}")));
    }
    if kind.requires_share() != fault.share.is_some() {
        return Err((
            "share",
            if fault.share.is_none() {
                format!("required for {kind}")
            } else {
                format!("not allowed for {kind}")
            },
        ));
    }
    if fault.share.is_some_and(|share| !(0.0..=1.0).contains(&share)) {
        return Err(("share", "expected a share from 0 to 1".to_owned()));
    }
    if kind.requires_ms() != fault.ms.is_some() {
        return Err((
            "ms",
            if fault.ms.is_none() {
                format!("required for {kind}")
            } else {
                format!("not allowed for {kind}")
            },
        ));
    }
    if fault.ms.is_some_and(|ms| !(0.0..=600_000.0).contains(&ms)) {
        return Err(("ms", "expected 0 to 600000".to_owned()));
    }
    let mut select =
        |key, words: &[String]| parties.select_all(words, rng).map_err(|error| (key, error.to_string()));
    let (on, from, to) = (select("on", &fault.on)?, select("from", &fault.from)?, select("to", &fault.to)?);
    let hosts = select("hosts", &fault.hosts)?;
    let is_target = |party: &Party| match target {
        FaultTarget::Process | FaultTarget::DiscoveryList => matches!(party, Party::Node(_)),
        FaultTarget::Host => matches!(party, Party::Host(_)),
        FaultTarget::Link => false,
    };
    if target == FaultTarget::Link {
        if !on.is_empty() {
            return Err(("on", format!("{kind} acts on links: use from and to")));
        }
    } else {
        if !from.is_empty() || !to.is_empty() {
            return Err((
                if from.is_empty() { "to" } else { "from" },
                format!("{kind} does not act on links: use on"),
            ));
        }
        if on.is_empty() {
            return Err(("on", format!("{kind} has no target")));
        }
    }
    // A zone selects nodes and hosts: a fault takes only those that its kind acts on.
    let (selected, on): (usize, BTreeSet<Party>) = (on.len(), on.into_iter().filter(is_target).collect());
    if selected > 0 && on.is_empty() {
        let what = if target == FaultTarget::Host { "hosts" } else { "nodes" };
        return Err(("on", format!("{kind} acts on {what}, but none is selected")));
    }
    let lists = matches!(kind, FaultKind::ListLeavesOut | FaultKind::ListLies);
    if lists == hosts.is_empty() {
        return Err((
            "hosts",
            if lists { format!("required for {kind}") } else { format!("not allowed for {kind}") },
        ));
    }
    if hosts.iter().any(|party| !matches!(party, Party::Host(_))) {
        return Err(("hosts", "expected hosts, such as h0 or hosts".to_owned()));
    }
    let or_all = |set: BTreeSet<Party>| if set.is_empty() { parties.all() } else { set };
    let (from, to) = if target == FaultTarget::Link { (or_all(from), or_all(to)) } else { (from, to) };
    let (share, ms) = (fault.share.unwrap_or(0.0), fault.ms.unwrap_or(0.0));
    Ok(PlannedFault { at_s: fault.at_s, for_s: fault.for_s, kind, on, from, to, share, ms, hosts })
}

/// Finds a fault that makes a party unavailable while an earlier fault still does so. Each fault is given
/// with its index in the file.
pub(super) fn find_contradiction(faults: &[(usize, PlannedFault)]) -> Option<(usize, &'static str, String)> {
    let makes_unavailable = |fault: &PlannedFault| {
        matches!(
            fault.kind,
            FaultKind::Kill
                | FaultKind::Stop
                | FaultKind::Pause
                | FaultKind::Replace
                | FaultKind::HostKill
                | FaultKind::HostDrain
        )
    };
    let mut by_time: Vec<&(usize, PlannedFault)> =
        faults.iter().filter(|(_, fault)| makes_unavailable(fault)).collect();
    by_time.sort_by(|(_, a), (_, b)| a.at_s.total_cmp(&b.at_s));
    let mut until: std::collections::BTreeMap<Party, (f64, FaultKind)> = std::collections::BTreeMap::new();
    for (i, fault) in by_time {
        // The duration of a replacement is not part of the schedule.
        let default_s = if fault.kind == FaultKind::Replace { 0.0 } else { f64::INFINITY };
        for party in &fault.on {
            if let Some((_, kind)) = until.get(party).filter(|(until, _)| *until > fault.at_s) {
                return Some((*i, "on", format!("{party} is still affected by {kind} at that time")));
            }
            until.insert(*party, (fault.at_s + fault.for_s.unwrap_or(default_s), fault.kind));
        }
    }
    None
}
