//! Keeps the endpoint list and its lease equal at both processes of a node during an upgrade.
//!
//! A process sends what has changed in its list since it last sent it, in parts that bound the size of a
//! message. The receiver applies an update whole, and only if it leads from the version that it has. If its own
//! watch has brought it to another version and brings nothing newer, it requests the complete list.

use std::collections::VecDeque;
use std::net::SocketAddr;

use alderstile::types::Micros;
use thiserror::Error;

use crate::clock::MachineTime;
use crate::decisions::Decisions;
use crate::discovery::endpoint_list::{EndpointList, EndpointRecord};
use crate::discovery::list_update::{ListComparison, ListUpdate};

/// The size of a part of an update, in bytes. A single record may be longer.
const PART_BYTES: usize = 256 << 10;
/// Maximum size of an update that is received in parts, in bytes: far above any real list.
const MAX_UPDATE_BYTES: usize = 64 << 20;

/// How long a process waits for its own watch to bring what it lacks, before it requests the complete list.
pub const CATCH_UP_TIME: Micros = Micros::from_millis(200);

/// The other process sends an endpoint list without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("endpoint list longer than {MAX_UPDATE_BYTES} bytes")]
pub struct UpdateTooLong;

/// A version of the list, which counts at one address of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ListVersion {
    source: SocketAddr,
    version: u64,
}

/// What the other process has of the endpoint list and its lease.
pub struct ListSync {
    /// The version that the other process has; `None` if it is unknown.
    known: Option<ListVersion>,
    /// Whether discovery began to count versions again: they don't tell any more which list is newer.
    is_renumbered: bool,
    /// The end of the lease that was sent last.
    sent_lease: Option<MachineTime>,
    /// The parts of an update that are not sent yet.
    parts: VecDeque<ListUpdate>,
    /// The endpoints of an update of which not all parts have been received, and their size in bytes.
    received: Vec<EndpointRecord>,
    received_bytes: usize,
    /// A version that the other process may have and this one lacks.
    missing: Option<MissingVersion>,
    catch_up_time: Micros,
}

/// A version that this process lacks.
#[derive(Clone, Copy, Debug)]
struct MissingVersion {
    version: ListVersion,
    /// Since when.
    since: Micros,
}

impl ListSync {
    /// Creates the record of a process that has this one's present list, and begins to record its changes.
    /// `catch_up_time` is usually [`CATCH_UP_TIME`].
    pub fn new(decisions: &Decisions, catch_up_time: Micros) -> Self {
        decisions.record_list_changes(true);
        ListSync {
            known: present_version(decisions),
            is_renumbered: false,
            sent_lease: None,
            parts: VecDeque::new(),
            received: Vec::new(),
            received_bytes: 0,
            missing: None,
            catch_up_time,
        }
    }

    /// Sends the complete list next time, as the other process has requested it.
    pub fn on_request(&mut self) {
        self.known = None;
    }

    /// Sends the complete list next time, and expects one if this process has none from its discovery. To be
    /// called when either process has reloaded its configuration: another address of discovery may have been
    /// in use at the other one or at this one, and what came from there or was passed over is missing.
    pub fn on_reload(&mut self, decisions: &Decisions) {
        self.known = None;
        if present_version(decisions).is_none() {
            self.expect(decisions, ListVersion { source: decisions.discovery_address(), version: 0 });
        }
    }

    fn expect(&mut self, decisions: &Decisions, version: ListVersion) {
        let since = self.missing.map_or_else(|| decisions.clock.now(), |missing| missing.since);
        self.missing = Some(MissingVersion { version, since });
    }

    /// Returns whether to request the complete list now.
    pub fn take_request(&mut self, decisions: &Decisions) -> bool {
        let Some(MissingVersion { version, since }) = self.missing else { return false };
        let is_relevant = version.source == decisions.discovery_address();
        let is_known = decisions.known_list_version().is_some_and(|known| known >= version.version);
        let is_due = decisions.clock.now() >= since + self.catch_up_time;
        if is_due || is_known || !is_relevant {
            self.missing = None;
        }
        is_due && is_relevant && !is_known
    }

    /// Returns the next part to send; `None` if the other process has everything.
    pub fn next_update(&mut self, decisions: &Decisions) -> Option<ListUpdate> {
        if self.parts.is_empty() {
            self.prepare(decisions);
        }
        self.parts.pop_front()
    }

    /// Returns whether an update has been begun and not been sent to its end.
    pub fn is_sending(&self) -> bool {
        !self.parts.is_empty()
    }

    fn prepare(&mut self, decisions: &Decisions) {
        let lease_expires = decisions.own_lease_expires();
        // A list of another address of discovery says nothing that the other process lacks.
        let Some(present) = present_version(decisions) else { return };
        let known = self.known.filter(|known| known.source == present.source);
        self.is_renumbered |= known.is_some_and(|known| present.version < known.version);
        let is_sent = known == Some(present) && self.sent_lease == Some(lease_expires);
        if is_sent || self.is_renumbered {
            return;
        }
        let endpoints = if known.is_some() {
            decisions.take_list_changes()
        } else {
            decisions.record_list_changes(true);
            decisions.complete_list().endpoints
        };
        let ListVersion { source, version } = present;
        let part = |endpoints| ListUpdate {
            source,
            base_version: known.map_or(0, |known| known.version),
            list: EndpointList { version, complete: known.is_none(), endpoints },
            is_partial: true,
            lease_expires,
        };
        self.parts = split(endpoints).into_iter().map(part).collect();
        self.parts.back_mut().into_iter().for_each(|last| last.is_partial = false);
        (self.known, self.sent_lease) = (Some(present), Some(lease_expires));
    }

    /// Applies an update when its last part is received.
    ///
    /// # Errors
    ///
    /// Fails if the update is longer than any real list.
    pub fn on_update(&mut self, decisions: &Decisions, mut update: ListUpdate) -> Result<(), UpdateTooLong> {
        self.received_bytes += update.list.endpoints.iter().map(record_bytes).sum::<usize>();
        if self.received_bytes > MAX_UPDATE_BYTES {
            return Err(UpdateTooLong);
        }
        self.received.append(&mut update.list.endpoints);
        if update.is_partial {
            return Ok(());
        }
        self.received_bytes = 0;
        update.list.endpoints = std::mem::take(&mut self.received);
        let comparison = decisions.apply_list_update(&update);
        if matches!(comparison, ListComparison::Newer | ListComparison::Same) {
            // The other process has all that has changed here.
            decisions.record_list_changes(true);
            self.known = present_version(decisions);
        }
        if comparison == ListComparison::Unrelated {
            self.expect(decisions, ListVersion { source: update.source, version: update.list.version });
        }
        Ok(())
    }
}

/// Returns the version of the known list, unless that is from another address of discovery.
fn present_version(decisions: &Decisions) -> Option<ListVersion> {
    let version = decisions.known_list_version()?;
    Some(ListVersion { source: decisions.discovery_address(), version })
}

/// Splits endpoints into parts of [`PART_BYTES`] each; returns at least one part.
fn split(endpoints: Vec<EndpointRecord>) -> Vec<Vec<EndpointRecord>> {
    let (mut parts, mut part, mut part_bytes) = (Vec::new(), Vec::new(), 0);
    for endpoint in endpoints {
        part_bytes += record_bytes(&endpoint);
        part.push(endpoint);
        if part_bytes >= PART_BYTES {
            parts.push(std::mem::take(&mut part));
            part_bytes = 0;
        }
    }
    if !part.is_empty() || parts.is_empty() {
        parts.push(part);
    }
    parts
}

/// Returns the approximate size of a record in a message, in bytes.
fn record_bytes(endpoint: &EndpointRecord) -> usize {
    size_of::<EndpointRecord>() + endpoint.name.len() + endpoint.zone.len()
}
