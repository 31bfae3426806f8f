//! A change of the endpoint list that one process of a node reports to the other. Does no I/O.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::endpoint_list::EndpointList;
use crate::clock::MachineTime;

/// The list of the sender, or what has changed in it, and how long it may be used. A long one is sent in parts
/// that differ in their endpoints only.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListUpdate {
    /// The address of discovery from which the list is.
    #[serde(rename = "from")]
    pub source: SocketAddr,
    /// The version to which a delta applies; 0 for a complete list. It applies to no other version: it lacks a
    /// host that has changed and changed back.
    #[serde(rename = "after")]
    pub base_version: u64,
    /// The complete list or a delta to it, or a part of either.
    pub list: EndpointList,
    /// Whether further parts follow.
    #[serde(rename = "more")]
    pub is_partial: bool,
    /// The end of the sender's lease on the list.
    #[serde(rename = "lease_until")]
    pub lease_expires: MachineTime,
}

/// How the other process's list compares to this one's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListComparison {
    /// The update brings this process's list to a newer version.
    Newer,
    /// Both processes have the same version.
    Same,
    /// This process has a newer version.
    Older,
    /// The lists are from different addresses of discovery, or changes between them are missing.
    Unrelated,
}

impl ListUpdate {
    /// Compares the update with the list of a process that uses discovery at `discovery` and has the version
    /// `known` from there, or no list from there.
    pub fn compare(&self, discovery: SocketAddr, known: Option<u64>) -> ListComparison {
        if self.source != discovery {
            return ListComparison::Unrelated;
        }
        match known {
            None if self.list.complete => ListComparison::Newer,
            None => ListComparison::Unrelated,
            Some(known) if self.list.version == known => ListComparison::Same,
            Some(known) if self.list.version < known => ListComparison::Older,
            Some(known) if self.list.complete || self.base_version == known => ListComparison::Newer,
            Some(_) => ListComparison::Unrelated,
        }
    }
}
