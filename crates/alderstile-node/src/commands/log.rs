//! The log on standard error. A thread of its own writes it, so that a slow reader does not delay the node.

use std::io;
use std::time::Duration;

use clap::ValueEnum;
use tokio::time::sleep;
use tracing::warn;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Maximum number of log lines that wait to be written; further ones are dropped.
const MAX_QUEUED_LINES: usize = 4096;
/// Interval at which dropped lines are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// The format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Text without timestamps, which the platform's log adds.
    Text,
    /// JSON.
    Json,
}

/// The running log. Writes the queued lines when it is dropped, for a limited time.
pub struct Log {
    _writer: WorkerGuard,
    dropped: ErrorCounter,
}

impl Log {
    /// Starts the log of the process. `RUST_LOG` sets its filter.
    pub fn start(format: LogFormat) -> Self {
        let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
        let queue = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
        let (writer, guard) = queue.finish(io::stderr());
        let dropped = writer.error_counter();
        let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer);
        match format {
            LogFormat::Text => log.with_ansi(false).without_time().init(),
            LogFormat::Json => log.json().init(),
        }
        Log { _writer: guard, dropped }
    }

    /// Reports dropped lines, as long as the process runs.
    pub(super) async fn report_dropped_lines(dropped: ErrorCounter) {
        let mut reported = 0;
        loop {
            sleep(REPORT_INTERVAL).await;
            let lines = dropped.dropped_lines();
            if lines > reported {
                warn!(lines = lines - reported, "log lines dropped: standard error not read in time");
                reported = lines;
            }
        }
    }

    /// Returns the counter of dropped lines.
    pub(super) fn dropped(&self) -> ErrorCounter {
        self.dropped.clone()
    }
}
