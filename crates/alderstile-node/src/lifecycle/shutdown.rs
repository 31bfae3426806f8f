//! A planned shutdown: every client is migrated, or handed over to the successor, before this process ends.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep, sleep_until};
use tracing::{info, warn};

use super::connection_handover;
use crate::node::Node;

/// The part of the shutdown's time that is left after the migrations: the last clients' lines and ends must pass in it.
const CLOSING_TIME: Duration = Duration::from_millis(600);
/// How long the listener stays open at least: new connections still come for up to 0.4 s after a shutdown began, also where
/// the longest request, and with it the shutdown, is short.
const LATE_ARRIVALS: Duration = Duration::from_millis(450);
/// How long before the shutdown's end those that still wait for a host are answered, and those without a first line closed.
/// A request that came up to 0.4 s after the shutdown began has had all of its time by then: the shutdown's time is that of
/// the longest request and 0.7 s. For hosts that hang, and requests that may wait longer than a shutdown.
const PENDING_CUTOFF_MARGIN: Duration = Duration::from_millis(250);
/// How long before the shutdown's end the process ends, whatever is still open.
const END_MARGIN: Duration = Duration::from_millis(50);
/// How often some clients are migrated, and it is checked whether all have gone.
const STEP: Duration = Duration::from_millis(20);
/// How often it is checked whether the listener is closed.
const LISTENER_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// The times of a shutdown.
#[derive(Clone, Copy)]
struct Schedule {
    start: Instant,
    /// Clients are served as usual until then.
    migrations_start: Instant,
    /// All clients are told to migrate by then.
    migrations_end: Instant,
    pending_cutoff: Instant,
    end: Instant,
}

impl Schedule {
    fn starting_now(duration: Duration) -> Self {
        let start = Instant::now();
        let migrations_end = start + duration.saturating_sub(CLOSING_TIME);
        Schedule {
            start,
            migrations_start: migrations_end.min(start + duration / 2),
            migrations_end,
            pending_cutoff: start + duration.saturating_sub(PENDING_CUTOFF_MARGIN),
            end: start + duration,
        }
    }
}

/// Answers and migrates every client; returns when no connection is open any more. Where another process of this node
/// serves, the clients' address is that one's at once: this one never says that it is not ready there.
///
/// The clients are served as usual for the first half of the time, then migrated one after the other: sent away in one
/// moment, they could all meet another node that was stopped before this one and has not come back.
pub async fn run(node: Rc<Node>, accepting: JoinHandle<()>) {
    let schedule = Schedule::starting_now(node.config().shutdown_timeout);
    info!(clients = node.clients.established_count(), "shutdown started");
    if !node.process.other_process_serves() {
        node.process.begin_shutdown();
    }
    let _cutoff_task = spawn_pending_cutoff(&node, schedule);
    while !node.process.other_process_serves() && Instant::now() < schedule.migrations_start {
        sleep(STEP).await;
    }
    if node.process.other_process_serves() {
        leave_to_other_process(&node, &accepting, schedule).await;
    }
    migrate_gradually(&node, schedule).await;
    // Each client that is established from now on is migrated, or handed over, by its own session.
    if node.clients.handover_socket().is_none() {
        node.clients.migrate_all();
    }
    if !node.process.other_process_serves() {
        sleep_until(schedule.start + LATE_ARRIVALS).await;
    }
    // The task that has the listener closes it, in the step in which nobody is queued: whom the system has accepted is a
    // client, and must be answered.
    node.process.stop_accepting.notify_one();
    drop(accepting.await);
    wait_for_connections(&node, schedule).await;
    leave_cluster(&node).await;
    node.decisions.log_shadow_differences();
    info!("shutdown complete");
}

/// Starts the task that makes the last call at its time; dropping the result cancels it.
fn spawn_pending_cutoff(node: &Node, schedule: Schedule) -> JoinSet<()> {
    let process = node.process.clone();
    let mut task = JoinSet::new();
    task.spawn_local(async move {
        sleep_until(schedule.pending_cutoff).await;
        process.cut_off_pending();
    });
    task
}

/// Leaves the cluster, unless another process continues as the same member.
async fn leave_cluster(node: &Node) {
    if !node.process.other_process_serves()
        && let Some(cluster) = node.admin.membership()
    {
        cluster.leave().await;
    }
}

/// Stops accepting, releases the sockets that only one process may have, and hands connections over to a successor.
async fn leave_to_other_process(node: &Node, accepting: &JoinHandle<()>, schedule: Schedule) {
    info!("shutdown leaves the clients' address to the other process");
    node.process.stop_accepting.notify_one();
    // A successor that can't serve yet never comes to its listener.
    while !accepting.is_finished() && Instant::now() < schedule.migrations_end {
        sleep(LISTENER_CHECK_INTERVAL).await;
    }
    node.process.begin_shutdown();
    node.process.release_sockets.notify_one();
    node.admin.membership().iter().for_each(|cluster| cluster.release_socket());
    let Some(other) = node.process.other_process() else { return };
    other.send_stopped_accepting();
    // A successor that is stopped first has nobody to hand connections over to: its predecessor takes none back.
    if other.is_successor {
        match connection_handover::connect(&node.config()) {
            Ok(socket) => node.clients.hand_over_all(socket),
            Err(error) => warn!(%error, "connections can't be handed over"),
        }
    }
}

async fn migrate_gradually(node: &Node, schedule: Schedule) {
    while node.clients.established_count() > 0 && Instant::now() < schedule.migrations_end {
        let steps_left = (schedule.migrations_end - Instant::now()).as_millis() / STEP.as_millis() + 1;
        let steps_left = usize::try_from(steps_left).unwrap_or(usize::MAX);
        node.clients.migrate_some(node.clients.established_count().div_ceil(steps_left));
        sleep(STEP).await;
    }
}

async fn wait_for_connections(node: &Node, schedule: Schedule) {
    while node.clients.connection_descriptors() > 0 {
        if Instant::now() + END_MARGIN >= schedule.end {
            let descriptors = node.clients.connection_descriptors();
            return warn!(descriptors, "shutdown time over with connections open");
        }
        sleep(STEP).await;
    }
}
