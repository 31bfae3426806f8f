//! Bound on the log lines that decisions write.

use crate::types::{Action, ServerId};

use super::Policy;

/// Log lines in a period, at most: a storm must not drown its own causes.
pub(super) const LINES_PER_PERIOD: u32 = 4;

/// Log lines that the current period may still write.
pub(super) struct LogLimit {
    pub(super) lines_left: u32,
}

impl Default for LogLimit {
    fn default() -> Self {
        LogLimit { lines_left: LINES_PER_PERIOD }
    }
}

impl Policy {
    pub(super) fn log(&mut self, of: Option<ServerId>, line: String, actions: &mut Vec<Action>) {
        if self.log_limit.lines_left > 0 {
            self.log_limit.lines_left -= 1;
            actions.push(Action::Log(of, line));
        }
    }
}
