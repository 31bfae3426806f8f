//! Encodes the reply to a batch.

use alderstile::types::{Action, Micros, RequestId, ServerId};
use bytes::{BufMut, BytesMut};

/// Record codes of a reply.
mod code {
    pub const MIGRATE: u8 = 2;
    pub const REJECT: u8 = 3;
    pub const WATCH_ENDPOINTS: u8 = 4;
    pub const FAIL: u8 = 7;
    pub const PEER_MESSAGE: u8 = 8;
    pub const LOG: u8 = 10;
    pub const PROBE: u8 = 11;
    pub const SET_TIMER: u8 = 12;
    pub const FORWARD: u8 = 13;
}

/// The recipient field of a peer message to all other nodes.
const ALL_PEERS: u32 = u32::MAX;
/// The field of an endpoint watch that enables it.
const WATCH_ON: u8 = 1;

/// Builds the reply to one batch.
#[derive(Default)]
pub struct Reply {
    bytes: BytesMut,
    records: u32,
}

impl Reply {
    /// Begins the reply to a batch.
    pub fn begin(&mut self, batch: u32) {
        self.bytes.clear();
        self.bytes.put_u32_le(batch);
        // The number of records and the length are filled in by `finish`.
        self.bytes.put_u64_le(0);
        self.records = 0;
    }

    /// Appends an instance's action.
    pub fn push(&mut self, instance: u16, action: &Action) {
        self.records += 1;
        match action {
            Action::Forward(id, server, timeout) => {
                self.put_request(code::FORWARD, instance, *id);
                self.put_server(*server);
                self.bytes.put_u32_le(timeout.map_or(0, to_wire_micros));
            }
            Action::Reject(id, retry_after) => {
                self.put_request(code::REJECT, instance, *id);
                self.bytes.put_u32_le(retry_after.map_or(0, to_wire_micros));
            }
            Action::Fail(id) => self.put_request(code::FAIL, instance, *id),
            Action::Migrate(id) => self.put_request(code::MIGRATE, instance, *id),
            Action::SetTimer(after, token) => {
                self.put_code(code::SET_TIMER, instance);
                self.bytes.put_u32_le(to_wire_micros(*after));
                self.bytes.put_u64_le(token.0);
            }
            Action::WatchEndpoints => {
                self.put_code(code::WATCH_ENDPOINTS, instance);
                self.bytes.put_u8(WATCH_ON);
            }
            Action::Probe(server) => {
                self.put_code(code::PROBE, instance);
                self.put_server(*server);
            }
            Action::Broadcast(data) => {
                self.put_code(code::PEER_MESSAGE, instance);
                self.bytes.put_u32_le(ALL_PEERS);
                self.put_length_prefixed(data);
            }
            Action::Log(server, line) => {
                let about = server.map_or_else(String::new, |server| format!("server {server}: "));
                self.put_code(code::LOG, instance);
                self.put_length_prefixed(format!("{about}{line}").as_bytes());
            }
        }
    }

    /// Completes the frame and returns it.
    pub fn finish(&mut self) -> &[u8] {
        let len = u32::try_from(self.bytes.len()).unwrap_or(u32::MAX);
        self.bytes[4..8].copy_from_slice(&self.records.to_le_bytes());
        self.bytes[8..12].copy_from_slice(&len.to_le_bytes());
        &self.bytes
    }

    fn put_code(&mut self, code: u8, instance: u16) {
        self.bytes.put_u8(code);
        self.bytes.put_u16_le(instance);
    }

    fn put_request(&mut self, code: u8, instance: u16, id: RequestId) {
        self.put_code(code, instance);
        self.bytes.put_u64_le(id.0);
    }

    fn put_server(&mut self, server: ServerId) {
        let address = u32::try_from(server.0 >> 16 & 0xffff_ffff).unwrap_or_default();
        self.bytes.put_u32(address);
        self.bytes.put_u16_le((server.0 & 0xffff) as u16);
    }

    /// Appends data after its 16-bit length; data beyond 65535 bytes is truncated.
    fn put_length_prefixed(&mut self, data: &[u8]) {
        let len = u16::try_from(data.len()).unwrap_or(u16::MAX);
        self.bytes.put_u16_le(len);
        self.bytes.put_slice(&data[..usize::from(len)]);
    }
}

/// Converts a time span to 32 bits of microseconds, saturating at the maximum.
fn to_wire_micros(span: Micros) -> u32 {
    u32::try_from(span.0).unwrap_or(u32::MAX)
}
