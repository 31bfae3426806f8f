//! When a version is active: the latest committed one, the delay after its commit, and the lease on the one that is active.

use alderstile::types::Micros;

use super::ReplicatedConfig;
use super::effect::Effect;
use super::message::VersionHeader;

/// The lease on a node's active version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// No version was heard of since the start.
    Unknown,
    /// The node acts on the version.
    Valid,
    /// It has run out, and a later version is committed but not active yet.
    Superseded,
    /// It has run out, and no later version was heard of: the node is cut off.
    Expired,
}

/// For how long a version had been committed, at least, when that was learnt.
#[derive(Clone, Copy, Debug)]
pub(super) struct CommitAge {
    pub age: Micros,
    pub learnt_at: Micros,
}

impl CommitAge {
    fn at(self, now: Micros) -> Micros {
        self.age + (now - self.learnt_at)
    }
}

/// The latest version that is known to be committed.
#[derive(Clone, Copy, Debug)]
pub(super) struct CommittedVersion {
    pub header: VersionHeader,
    /// None for version 0, which was never proposed.
    pub age: Option<CommitAge>,
    /// The last time at which it is known to have been the latest.
    pub latest_at: Option<Micros>,
}

impl CommittedVersion {
    pub fn new(header: VersionHeader) -> Self {
        CommittedVersion { header, age: None, latest_at: None }
    }
}

/// The version that is active at this node.
#[derive(Clone, Copy, Debug)]
pub(super) struct ActiveVersion {
    pub header: VersionHeader,
    /// The lease runs from here; none before any version was heard of.
    pub latest_at: Option<Micros>,
}

impl ReplicatedConfig {
    /// The active version; 0 before any.
    pub fn active_version(&self) -> u64 {
        self.active.header.position.version
    }

    /// The active document: empty for version 0, which sets nothing.
    pub fn active_document(&self) -> &[u8] {
        self.documents.get(self.active.header.digest).unwrap_or_default()
    }

    /// The latest version that is known to be committed.
    pub fn committed_version(&self) -> u64 {
        self.committed.header.position.version
    }

    /// How long the latest version has yet to wait until it is active.
    pub fn activates_in(&self) -> Micros {
        self.committed_for().map_or(Micros(0), |age| self.settings.activation_delay() - age)
    }

    /// How long ago the latest version is known to have been the latest.
    pub fn staleness(&self, now: Micros) -> Option<Micros> {
        self.committed.latest_at.map(|latest_at| now - latest_at)
    }

    /// The lease on the active version.
    pub fn lease_state(&self, now: Micros) -> LeaseState {
        let Some(latest_at) = self.active.latest_at else {
            let heard = self.committed.latest_at.is_some();
            return if heard { LeaseState::Superseded } else { LeaseState::Unknown };
        };
        if now < latest_at + self.settings.lease {
            LeaseState::Valid
        } else if self.committed_version() > self.active_version() {
            LeaseState::Superseded
        } else {
            LeaseState::Expired
        }
    }

    /// When the lease on the active version ends, if nothing more is heard; none before any version was heard of.
    pub fn lease_ends_at(&self) -> Option<Micros> {
        self.active.latest_at.map(|latest_at| latest_at + self.settings.lease)
    }

    /// How long the latest version has been committed, at least.
    pub(super) fn committed_for(&self) -> Option<Micros> {
        self.committed.age.map(|age| age.at(self.now))
    }

    /// When the latest version becomes active; none unless it is newer than the active one and its document is held.
    pub(super) fn activates_at(&self) -> Option<Micros> {
        let newer = self.committed_version() > self.active_version();
        let held = self.documents.holds(self.committed.header.digest);
        let age = self.committed.age.filter(|_| newer && held)?;
        Some(age.learnt_at + (self.settings.activation_delay() - age.age))
    }

    /// Reports the latest version once its document is held, and makes it active when its time has come.
    pub(super) fn activate(&mut self, effects: &mut Vec<Effect>) {
        let header = self.committed.header;
        let version = header.position.version;
        if version > self.reported_version
            && let Some(document) = self.documents.get(header.digest)
        {
            effects.push(Effect::VersionCommitted { version, document: document.to_vec() });
            self.reported_version = version;
        }
        if self.activates_at().is_some_and(|at| at <= self.now) {
            self.active = ActiveVersion { header, latest_at: self.committed.latest_at };
            let document = self.active_document().to_vec();
            effects.push(Effect::VersionActive { version, document });
        }
    }

    /// Takes in that a version is committed, for how long at least, and when it was the latest.
    pub(super) fn learn_committed(
        &mut self,
        effects: &mut Vec<Effect>,
        header: VersionHeader,
        committed_for: Micros,
        latest_at: Option<Micros>,
    ) {
        let (version, known) = (header.position.version, self.committed_version());
        if version < known {
            return;
        }
        if version > known {
            self.committed = CommittedVersion::new(header);
        } else if header.digest != self.committed.header.digest {
            // A version is committed once; believed, another document would split the fleet.
            self.traffic.conflicting += 1;
            return;
        } else {
            // The same document under a later leader's term.
            self.committed.header.position = self.committed.header.position.max(header.position);
        }
        self.raise_commit_age(committed_for);
        let renewed = self.renew_lease(latest_at);
        self.activate(effects);
        if (version > known || renewed) && self.documents.holds(self.committed.header.digest) {
            self.announce_to_subscribers(effects);
        }
    }

    fn raise_commit_age(&mut self, age: Micros) {
        let proposed = self.committed_version() > 0;
        if proposed && self.committed_for().is_none_or(|known| known < age) {
            self.committed.age = Some(CommitAge { age, learnt_at: self.now });
        }
    }

    /// Renews the lease if the latest version is the active one; whether this was news.
    fn renew_lease(&mut self, latest_at: Option<Micros>) -> bool {
        if latest_at <= self.committed.latest_at {
            return false;
        }
        self.committed.latest_at = latest_at;
        if self.active_version() == self.committed_version() {
            self.active.latest_at = latest_at;
        }
        true
    }
}
