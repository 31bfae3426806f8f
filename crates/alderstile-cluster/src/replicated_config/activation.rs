//! Activation of versions: the latest committed version, the activation delay after its commit, and the lease
//! on the active version.

use alderstile::types::Micros;

use super::ReplicatedConfig;
use super::effect::Effect;
use super::message::VersionHeader;

/// State of the lease on a node's active version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// No announcement has been received since the process started, so the latest version is unknown.
    Unknown,
    /// The lease is valid and the node acts on the version.
    Valid,
    /// No lease is valid, and a later version is committed but not active yet.
    Superseded,
    /// The lease has expired and no later version is known: the node is isolated from the voters.
    Expired,
}

/// Lower bound on the time since a version was committed, as of the time it was observed.
#[derive(Clone, Copy, Debug)]
pub(super) struct CommitAge {
    pub age: Micros,
    pub observed_at: Micros,
}

impl CommitAge {
    fn at(self, now: Micros) -> Micros {
        self.age + (now - self.observed_at)
    }
}

/// The latest version known to be committed.
#[derive(Clone, Copy, Debug)]
pub(super) struct CommittedVersion {
    pub header: VersionHeader,
    /// `None` for version 0, which is never proposed.
    pub age: Option<CommitAge>,
    /// The last time at which this version is known to have been the latest.
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
    /// Start of the lease; `None` until this version is known to have been the latest.
    pub latest_at: Option<Micros>,
}

impl ReplicatedConfig {
    /// Returns the active version, or 0 if none has become active.
    pub fn active_version(&self) -> u64 {
        self.active.header.position.version
    }

    /// Returns the active document. It is empty for version 0, which sets nothing.
    pub fn active_document(&self) -> &[u8] {
        self.documents.get(self.active.header.digest).unwrap_or_default()
    }

    /// Returns the latest version known to be committed.
    pub fn committed_version(&self) -> u64 {
        self.committed.header.position.version
    }

    /// Returns the remaining time until the latest version becomes active.
    pub fn activates_in(&self) -> Micros {
        self.commit_age().map_or(Micros(0), |age| self.settings.activation_delay() - age)
    }

    /// Returns the time since the latest version was last known to be the latest.
    pub fn staleness(&self, now: Micros) -> Option<Micros> {
        self.committed.latest_at.map(|latest_at| now - latest_at)
    }

    /// Returns the state of the lease on the active version.
    pub fn lease_state(&self, now: Micros) -> LeaseState {
        let Some(latest_at) = self.active.latest_at else {
            let received = self.committed.latest_at.is_some();
            return if received { LeaseState::Superseded } else { LeaseState::Unknown };
        };
        if now < latest_at + self.settings.lease {
            LeaseState::Valid
        } else if self.committed_version() > self.active_version() {
            LeaseState::Superseded
        } else {
            LeaseState::Expired
        }
    }

    /// Returns when the lease on the active version expires unless it is renewed, or `None` if none has
    /// started.
    pub fn lease_ends_at(&self) -> Option<Micros> {
        self.active.latest_at.map(|latest_at| latest_at + self.settings.lease)
    }

    /// Returns a lower bound on the time since the latest version was committed.
    pub(super) fn commit_age(&self) -> Option<Micros> {
        self.committed.age.map(|age| age.at(self.now))
    }

    /// Returns when the latest version becomes active. Returns `None` unless it is newer than the active
    /// version and its document is stored.
    pub(super) fn activates_at(&self) -> Option<Micros> {
        let newer = self.committed_version() > self.active_version();
        let document_stored = self.documents.contains(self.committed.header.digest);
        let age = self.committed.age.filter(|_| newer && document_stored)?;
        Some(age.observed_at + (self.settings.activation_delay() - age.age))
    }

    /// Reports the latest version once its document is stored, and activates it once the activation delay has
    /// elapsed.
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

    /// Records that a version is committed, the minimum time since its commit, and when it was the latest.
    pub(super) fn record_committed(
        &mut self,
        effects: &mut Vec<Effect>,
        header: VersionHeader,
        commit_age: Micros,
        latest_at: Option<Micros>,
    ) {
        let (version, known) = (header.position.version, self.committed_version());
        if version < known {
            return;
        }
        if version > known {
            self.committed = CommittedVersion::new(header);
        } else if header.digest != self.committed.header.digest {
            // A version is committed only once. If this node accepted a different document, nodes could
            // act on different documents of one version.
            self.traffic.conflicting += 1;
            return;
        } else {
            // The same document under a later leader's term.
            self.committed.header.position = self.committed.header.position.max(header.position);
        }
        self.raise_commit_age(commit_age);
        let renewed = self.renew_lease(latest_at);
        self.activate(effects);
        if (version > known || renewed) && self.documents.contains(self.committed.header.digest) {
            self.announce_to_subscribers(effects);
        }
    }

    fn raise_commit_age(&mut self, age: Micros) {
        let proposed = self.committed_version() > 0;
        if proposed && self.commit_age().is_none_or(|known| known < age) {
            self.committed.age = Some(CommitAge { age, observed_at: self.now });
        }
    }

    /// Renews the lease if the latest version is the active one. Returns whether `latest_at` is newer than
    /// the known time.
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
