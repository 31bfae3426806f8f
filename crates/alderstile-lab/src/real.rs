//! Readings of one real node: processor time, memory and descriptors from `/proc`, and the counters that the
//! node itself reports.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::timeout;

use crate::processes::nodes::admin_get;

/// Timeout of a call to the admin address; if a node exceeds it, this reading of its counters is missing.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Resource usage of a process as the kernel reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Processor time of all threads since the process started.
    pub cpu: Duration,
    /// Resident anonymous memory, in bytes.
    pub resident: u64,
    /// Number of open file descriptors.
    pub descriptors: usize,
}

/// Reads the resource usage of a process from `/proc`. Processor time comes from `schedstat`, which counts
/// nanoseconds; `stat` counts ticks of 10 ms.
///
/// # Errors
///
/// If the process has exited or its files in `/proc` can't be read.
pub fn usage(pid: i32) -> io::Result<Usage> {
    let mut cpu = Duration::ZERO;
    for task in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
        cpu += Duration::from_nanos(first_number(&text));
    }
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let resident_anonymous =
        status.lines().find_map(|line| line.strip_prefix("RssAnon:")).unwrap_or_default();
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd"))?.count();
    Ok(Usage { cpu, resident: first_number(resident_anonymous) * 1_024, descriptors })
}

/// Returns the first word as a number; 0 if there is none.
fn first_number(text: &str) -> u64 {
    text.split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or_default()
}

/// Reads the counters of a node from its admin address, by their names without the first component
/// (`router.`).
///
/// Returns `None` if the call fails or exceeds its timeout.
pub async fn read_counters(admin: SocketAddr) -> Option<BTreeMap<String, u64>> {
    let response = timeout(ADMIN_TIMEOUT, admin_get(admin, "/control/counters")).await;
    let Ok(Ok((200, text))) = response else { return None };
    Some(parse_counters(&text))
}

/// Parses counters in the statsd line format, such as `router.members_alive:30|g`. Malformed lines are
/// skipped.
pub fn parse_counters(text: &str) -> BTreeMap<String, u64> {
    let parse_line = |line: &str| {
        let (name, rest) = line.split_once(':')?;
        let (value, _) = rest.split_once('|')?;
        Some((name.split_once('.')?.1.to_owned(), value.parse().ok()?))
    };
    text.lines().filter_map(parse_line).collect()
}
