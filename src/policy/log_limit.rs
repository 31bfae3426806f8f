//! Bound on the log lines that the decisions write: a storm must not hide its own cause.

use crate::types::{Action, ServerId};

use super::Policy;

/// Log lines in a period, at most.
const LINES_PER_PERIOD: u32 = 4;

/// Log lines that the current period may still write.
pub(super) struct LogLimit {
    remaining_lines: u32,
}

impl Default for LogLimit {
    fn default() -> Self {
        LogLimit { remaining_lines: LINES_PER_PERIOD }
    }
}

impl Policy {
    /// Logs a line about a server, or about none. Lines beyond the period's bound are dropped without a
    /// trace.
    pub(super) fn log(&mut self, server: Option<ServerId>, line: String, actions: &mut Vec<Action>) {
        if self.log_limit.remaining_lines > 0 {
            self.log_limit.remaining_lines -= 1;
            actions.push(Action::Log(server, line));
        }
    }
}
