//! The server list as discovery tells it, and a server's number; pure.

use std::net::SocketAddr;

use alderstile::types::{Endpoint, EndpointState, Micros, ServerId};
use serde::{Deserialize, Serialize};

/// A list of servers, or the changes of one.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct List {
    /// Its version.
    pub seq: u64,
    /// It names all servers.
    pub whole: bool,
    /// The servers.
    pub hosts: Vec<Host>,
}

/// One server of a list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Host {
    /// Its name, the same at every node.
    pub host: String,
    /// Where this node reaches it; a removed one may have none.
    #[serde(default)]
    pub dial: Option<SocketAddr>,
    /// Its zone by its name.
    #[serde(default)]
    pub site: String,
    /// Its cell.
    #[serde(default)]
    pub block: u16,
    /// Whether it may be sent new work.
    pub health: Health,
    /// Its weight.
    #[serde(default)]
    pub share: f64,
    /// When it last started, Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub born_ms: u64,
}

/// A server's state.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// It may be sent new work.
    Up,
    /// It finishes what it has.
    Draining,
    /// It is no more.
    Removed,
}

impl List {
    /// Reads a list.
    pub fn from_value(value: serde_json::Value) -> Result<Self, serde_json::Error> {
        serde_json::from_value(value)
    }

    /// As the decisions want it. A zone that the settings do not name is none of theirs.
    pub fn entries(&self, zones: &[String]) -> Vec<Endpoint> {
        let zone =
            |site: &str| zones.iter().position(|zone| zone == site).and_then(|i| u16::try_from(i).ok());
        self.hosts
            .iter()
            .map(|host| Endpoint {
                id: server_id(&host.host),
                zone: zone(&host.site).unwrap_or(u16::MAX),
                cell: host.block,
                state: match host.health {
                    Health::Up => EndpointState::Ready,
                    Health::Draining => EndpointState::Draining,
                    Health::Removed => EndpointState::Gone,
                },
                weight: host.share,
                started: (host.born_ms > 0).then(|| Micros::from_millis(host.born_ms)),
                joined: None,
            })
            .collect()
    }
}

/// What has come of a watch's next list: one a line or, indented, on several.
#[derive(Debug, Default)]
pub struct Pieces {
    held: Vec<u8>,
    /// Objects and arrays that are open.
    depth: usize,
    /// Inside a text, and right behind its escape.
    text: bool,
    escape: bool,
}

impl Pieces {
    /// Adds bytes up to the end of a line at most; returns what that makes whole, which is nothing at all for an empty line.
    pub fn add(&mut self, piece: &[u8]) -> Option<Vec<u8>> {
        for byte in piece {
            match byte {
                _ if self.escape => self.escape = false,
                b'\\' if self.text => self.escape = true,
                b'"' => self.text = !self.text,
                b'{' | b'[' if !self.text => self.depth += 1,
                b'}' | b']' if !self.text => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
        }
        self.held.extend_from_slice(piece);
        // No text of JSON's holds an end of line: one that does is none, and is read to be told so.
        if !piece.ends_with(b"\n") || (self.depth > 0 && !self.text) {
            return None;
        }
        let whole = std::mem::take(self).held;
        Some(whole.trim_ascii().to_vec())
    }

    /// Bytes held.
    pub fn held(&self) -> usize {
        self.held.len()
    }
}

/// The number of a server: the same at all nodes and at every start, as groups begin alike by it.
pub fn server_id(host: &str) -> ServerId {
    ServerId(alderstile_cluster::hashed(host))
}
