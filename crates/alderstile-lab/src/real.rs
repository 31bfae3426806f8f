//! One real node for measurements: its processor time, memory and descriptors as the system counts them, and its own figures.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::timeout;

use crate::processes::nodes::admin_get;

/// A node that answers its operators later than this is not read at this time.
const ANSWER: Duration = Duration::from_secs(2);

/// What the system counts of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Processor time of all its threads since its start.
    pub cpu: Duration,
    /// Memory that is its own and resident, bytes.
    pub resident: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Reads them. The system's own figures of processor time are in nanoseconds (`schedstat`), not in its ticks of 10 ms.
///
/// # Errors
///
/// If the process is gone or its figures can't be read.
pub fn usage(pid: i32) -> io::Result<Usage> {
    let mut cpu = Duration::ZERO;
    for task in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
        cpu += Duration::from_nanos(first_number(&text));
    }
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let anonymous = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).unwrap_or_default();
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd"))?.count();
    Ok(Usage { cpu, resident: first_number(anonymous) * 1_024, descriptors })
}

/// The first word as a number; 0 where it is none.
fn first_number(text: &str) -> u64 {
    text.split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or_default()
}

/// A node's own figures, by their names without the first part; none where it does not answer.
pub async fn counters(admin: SocketAddr) -> Option<BTreeMap<String, u64>> {
    let answer = timeout(ANSWER, admin_get(admin, "/control/counters")).await;
    let Ok(Ok((200, text))) = answer else { return None };
    Some(parse_counters(&text))
}

/// Reads the statsd lines of a node.
pub fn parse_counters(text: &str) -> BTreeMap<String, u64> {
    let line = |line: &str| {
        let (name, rest) = line.split_once(':')?;
        let (value, _) = rest.split_once('|')?;
        Some((name.split_once('.')?.1.to_owned(), value.parse().ok()?))
    };
    text.lines().filter_map(line).collect()
}
