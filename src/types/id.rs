//! Identifiers of requests, servers, groups and timers.

use std::fmt;

/// A request, and the connection that it becomes. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A server. A process that restarts keeps it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub u64);

/// As an address and a port: 32 bits and 16 bits of the number.
impl fmt::Display for ServerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let part = |shift: u32| self.0 >> shift & 0xff;
        write!(f, "{}.{}.{}.{}:{}", part(40), part(32), part(24), part(16), self.0 & 0xffff)
    }
}

/// A group of connections that share work on each server that holds any of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupId(pub u64);

/// What the host program may choose for a timer; it comes back with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerToken(pub u64);
