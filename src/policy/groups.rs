//! Placement of connections that share work in a group.

/// A connection joins its group while all nodes together would hold no more than this multiple of the mean.
pub(super) const GROUP_OVERLOAD_THRESHOLD: f64 = 1.25;

/// A group begins on the square root of the servers' number and so many more, alike at all nodes.
const GROUP_EXTRA_SERVERS: f64 = 2.0;

/// On how many of so many servers a group may begin, the same at all nodes.
pub(super) fn group_reach(servers: usize) -> usize {
    ((servers as f64).sqrt() + GROUP_EXTRA_SERVERS) as usize
}
