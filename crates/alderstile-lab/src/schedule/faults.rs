//! Faults of the time line: as written, and with their targets drawn.

use std::collections::BTreeSet;
use std::fmt;

use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use super::MAX_RUN_S;
use super::parties::{Parties, Party};

/// One fault of the time line.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins, seconds from the start.
    pub at_s: f64,
    /// How long it lasts; without, to the end of the run.
    pub for_s: Option<f64>,
    /// Again each so many seconds, to the end of the run; shares are drawn anew.
    pub every_s: Option<f64>,
    /// What it is.
    pub kind: FaultKind,
    /// Whom it hits: `n3`, `h2`, `zone:a`, `share:0.3`, `nodes`, `hosts`.
    #[serde(default)]
    pub on: Vec<String>,
    /// For ways: from whom; also `clients` and `discovery`. Without, from all.
    #[serde(default)]
    pub from: Vec<String>,
    /// For ways: to whom. Without, to all.
    #[serde(default)]
    pub to: Vec<String>,
    /// For loss, duplicates, reordering and damage: the share of datagrams.
    pub share: Option<f64>,
    /// For delay, jitter, slow hosts and late lists: milliseconds.
    pub ms: Option<f64>,
    /// For `list_leaves_out` and `list_lies`: which hosts.
    #[serde(default)]
    pub hosts: Vec<String>,
}

/// What kind of fault.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A process ends at once; it starts again after `for_s`, where given.
    Kill,
    /// A process is told to stop; it starts again `for_s` after it was told, where given.
    Stop,
    /// A second process of the same node takes over.
    Replace,
    /// The process reads another settings file.
    Reload,
    /// The process stands still.
    Pause,
    /// Nothing passes either way.
    Cut,
    /// Nothing passes from `from` to `to`.
    CutOneWay,
    /// A share of datagrams is lost; a piece of a stream comes 200 ms later instead.
    Loss,
    /// All comes later.
    Delay,
    /// Comes later by a drawn time.
    Jitter,
    /// A share of datagrams comes twice.
    Duplicate,
    /// A share of datagrams is overtaken by later ones.
    Reorder,
    /// A share of datagrams has a byte changed.
    Damage,
    /// All faults of ways end.
    Heal,
    /// Changes of the list come later.
    ListLate,
    /// The list leaves hosts out.
    ListLeavesOut,
    /// The list calls running hosts draining.
    ListLies,
    /// Discovery turns calls away.
    ListRefuses,
    /// A host ends at once; after `for_s` it runs again and is cold.
    HostKill,
    /// A host is listed as draining, ends after `for_s`, and runs again, cold, a second later.
    HostDrain,
    /// A host takes that much longer for everything.
    HostSlow,
    /// A host says nothing.
    HostSilent,
    /// A host turns new connections away.
    HostRefuse,
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // A unit variant's form is its name in quotes.
        let text = serde_json::to_string(self).map_err(|_| fmt::Error)?;
        f.write_str(text.trim_matches('"'))
    }
}

/// What a kind of fault is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultTarget {
    /// Processes of nodes.
    Process,
    /// LinkDefaults.
    Link,
    /// What nodes are listed.
    DiscoveryList,
    /// Hosts.
    Host,
}

impl FaultKind {
    /// What it is about.
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

    fn wants_share(self) -> bool {
        matches!(self, FaultKind::Loss | FaultKind::Duplicate | FaultKind::Reorder | FaultKind::Damage)
    }

    fn wants_ms(self) -> bool {
        matches!(self, FaultKind::Delay | FaultKind::Jitter | FaultKind::ListLate | FaultKind::HostSlow)
    }

    fn wants_span(self) -> bool {
        matches!(self, FaultKind::Pause | FaultKind::HostDrain)
    }
}

/// A fault with its targets drawn.
#[derive(Clone, Debug)]
pub struct PlannedFault {
    /// When it begins, seconds.
    pub at_s: f64,
    /// How long it lasts, seconds.
    pub for_s: Option<f64>,
    /// What it is.
    pub kind: FaultKind,
    /// Whom it hits.
    pub on: BTreeSet<Party>,
    /// For ways, from whom.
    pub from: BTreeSet<Party>,
    /// For ways, to whom.
    pub to: BTreeSet<Party>,
    /// See [`Fault::share`].
    pub share: f64,
    /// See [`Fault::ms`].
    pub ms: f64,
    /// See [`Fault::hosts`].
    pub hosts: BTreeSet<Party>,
}

pub(super) type Bad = (&'static str, String);

pub(super) fn plan(
    fault: &Fault,
    parties: &Parties,
    length_s: f64,
    rng: &mut Pcg64Mcg,
) -> Result<PlannedFault, Bad> {
    let kind = fault.kind;
    let about = kind.target();
    if !(0.0..=length_s).contains(&fault.at_s) {
        return Err(("at_s", format!("0 to length_s ({length_s}) is wanted")));
    }
    if fault.for_s.is_some_and(|s| !(s > 0.0 && s <= MAX_RUN_S)) {
        return Err(("for_s", "seconds above 0 are wanted".to_owned()));
    }
    if kind.wants_span() && fault.for_s.is_none() {
        return Err(("for_s", format!("{kind} needs it")));
    }
    if kind.wants_share() != fault.share.is_some() {
        return Err((
            "share",
            if fault.share.is_none() { format!("{kind} needs it") } else { format!("not for {kind}") },
        ));
    }
    if fault.share.is_some_and(|share| !(0.0..=1.0).contains(&share)) {
        return Err(("share", "a share from 0 to 1 is wanted".to_owned()));
    }
    if kind.wants_ms() != fault.ms.is_some() {
        return Err((
            "ms",
            if fault.ms.is_none() { format!("{kind} needs it") } else { format!("not for {kind}") },
        ));
    }
    if fault.ms.is_some_and(|ms| !(0.0..=600_000.0).contains(&ms)) {
        return Err(("ms", "0 to 600000 is wanted".to_owned()));
    }
    let mut named =
        |key, words: &[String]| parties.all_named(words, rng).map_err(|error| (key, error.to_string()));
    let (on, from, to) = (named("on", &fault.on)?, named("from", &fault.from)?, named("to", &fault.to)?);
    let hosts = named("hosts", &fault.hosts)?;
    let wanted = |actor: &Party| match about {
        FaultTarget::Process | FaultTarget::DiscoveryList => matches!(actor, Party::Node(_)),
        FaultTarget::Host => matches!(actor, Party::Host(_)),
        FaultTarget::Link => false,
    };
    if about == FaultTarget::Link {
        if !on.is_empty() {
            return Err(("on", format!("{kind} is about ways: from and to are wanted")));
        }
    } else {
        if !from.is_empty() || !to.is_empty() {
            return Err((
                if from.is_empty() { "to" } else { "from" },
                format!("{kind} is not about ways: on is wanted"),
            ));
        }
        if on.is_empty() {
            return Err(("on", format!("{kind} hits nobody")));
        }
    }
    // A zone names nodes and hosts: a fault takes those that it is about.
    let (named, on): (usize, BTreeSet<Party>) = (on.len(), on.into_iter().filter(wanted).collect());
    if named > 0 && on.is_empty() {
        let what = if about == FaultTarget::Host { "hosts" } else { "nodes" };
        return Err(("on", format!("{kind} is about {what}, and none is named")));
    }
    let lists = matches!(kind, FaultKind::ListLeavesOut | FaultKind::ListLies);
    if lists == hosts.is_empty() {
        return Err(("hosts", if lists { format!("{kind} needs them") } else { format!("not for {kind}") }));
    }
    if hosts.iter().any(|actor| !matches!(actor, Party::Host(_))) {
        return Err(("hosts", "hosts are wanted: h0, hosts".to_owned()));
    }
    let or_all = |set: BTreeSet<Party>| if set.is_empty() { parties.everyone() } else { set };
    let (from, to) = if about == FaultTarget::Link { (or_all(from), or_all(to)) } else { (from, to) };
    let (share, ms) = (fault.share.unwrap_or(0.0), fault.ms.unwrap_or(0.0));
    Ok(PlannedFault { at_s: fault.at_s, for_s: fault.for_s, kind, on, from, to, share, ms, hosts })
}

/// Faults that can't both be: a party that is away is told to do something else. Each fault with its place in the file.
pub(super) fn contradiction(faults: &[(usize, PlannedFault)]) -> Option<(usize, &'static str, String)> {
    let away = |fault: &PlannedFault| {
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
    let mut by_time: Vec<&(usize, PlannedFault)> = faults.iter().filter(|(_, fault)| away(fault)).collect();
    by_time.sort_by(|(_, a), (_, b)| a.at_s.total_cmp(&b.at_s));
    let mut until: std::collections::BTreeMap<Party, (f64, FaultKind)> = std::collections::BTreeMap::new();
    for (i, fault) in by_time {
        // A replacement takes no time that the schedule knows.
        let longest = if fault.kind == FaultKind::Replace { 0.0 } else { f64::INFINITY };
        for actor in &fault.on {
            if let Some((_, kind)) = until.get(actor).filter(|(until, _)| *until > fault.at_s) {
                return Some((*i, "on", format!("{actor} is already under {kind} then")));
            }
            until.insert(*actor, (fault.at_s + fault.for_s.unwrap_or(longest), fault.kind));
        }
    }
    None
}
