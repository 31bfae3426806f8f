//! Identifiers of requests, servers, groups and timers.

use std::fmt;

/// A request and the connection that it becomes. Identifiers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A server. The identifier survives a restart of the server's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub u64);

/// Formats the server as an IPv4 address (bits 16 to 47) and a port (bits 0 to 15).
impl fmt::Display for ServerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let part = |shift: u32| self.0 >> shift & 0xff;
        write!(f, "{}.{}.{}.{}:{}", part(40), part(32), part(24), part(16), self.0 & 0xffff)
    }
}

/// A group of connections that share work on each server with at least one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupId(pub u64);

/// A value chosen by the creator of a timer and returned when the timer expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerToken(pub u64);
