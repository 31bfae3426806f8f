//! Rate limit for the policy's log lines, so that a burst of them does not hide its own cause.

use crate::types::{Action, ServerId};

use super::Policy;

/// Maximum number of log lines per period.
const LINES_PER_PERIOD: u32 = 4;

/// Number of log lines that may still be written in the current period.
pub(super) struct LogLimit {
    remaining_lines: u32,
}

impl Default for LogLimit {
    fn default() -> Self {
        LogLimit { remaining_lines: LINES_PER_PERIOD }
    }
}

impl Policy {
    /// Logs a line, which is about `server` if there is one. Lines beyond the limit of the period
    /// are dropped silently.
    pub(super) fn log(&mut self, server: Option<ServerId>, line: String, actions: &mut Vec<Action>) {
        if self.log_limit.remaining_lines > 0 {
            self.log_limit.remaining_lines -= 1;
            actions.push(Action::Log(server, line));
        }
    }
}
