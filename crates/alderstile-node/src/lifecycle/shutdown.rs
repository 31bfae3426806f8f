//! Graceful shutdown: migrates every client, or hands it over to the successor, before the process ends.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};
use tracing::{info, warn};

use super::connection_handover;
use super::upgrade_channel::MESSAGE_TIMEOUT;
use crate::node::Node;

/// Time reserved after the migrations, in which the lines of the last clients are forwarded and their
/// connections are closed.
const CLOSING_TIME: Duration = Duration::from_millis(600);
/// Minimum time for which the listener stays open after the shutdown began. New connections still arrive for
/// up to 0.4 s, even if the longest request deadline, and with it the shutdown, is short.
const MIN_LISTENING_TIME: Duration = Duration::from_millis(450);
/// How long before the shutdown's deadline clients that still wait for a host are answered, and those that
/// have sent no first line are closed.
///
/// The shutdown takes the longest request deadline plus 0.7 s, so the deadline of a request that arrives up
/// to 0.4 s after the shutdown began has passed by then. The cutoff covers hosts that hang and requests whose
/// deadline exceeds the shutdown's.
const PENDING_CUTOFF_MARGIN: Duration = Duration::from_millis(250);
/// How long before the shutdown's deadline the process ends, even if connections are still open.
const END_MARGIN: Duration = Duration::from_millis(50);
/// Interval at which a batch of clients is migrated and the remaining connections are checked.
const STEP: Duration = Duration::from_millis(20);
/// Interval at which it is checked whether the listener is closed.
const LISTENER_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// The points in time of a shutdown's phases.
#[derive(Clone, Copy)]
struct Schedule {
    start: Instant,
    /// Clients are served as usual until then, and migrated afterwards.
    migrations_start: Instant,
    /// By then the migration of all clients has been requested.
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

/// Answers and migrates every client; returns once no connection is open.
///
/// If the node's other process serves, it takes over the clients' address at once, and this process never
/// reports on that address that it is not ready.
///
/// Clients are served as usual for the first half of the time and then migrated gradually: if all were
/// migrated at once, they could all connect to another node that was stopped before this one and has not
/// restarted yet.
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
        hand_over_to_other_process(&node, &accepting, schedule).await;
    }
    migrate_gradually(&node, schedule).await;
    // A connection that is established from now on is migrated, or handed over, by its own session.
    if node.clients.handover_socket().is_none() {
        node.clients.migrate_all();
    }
    if !node.process.other_process_serves() {
        sleep_until(schedule.start + MIN_LISTENING_TIME).await;
    }
    // The accept task closes the listener only when its queue is empty: connections that the kernel has
    // already accepted belong to clients, which must be answered.
    node.process.stop_accepting.notify_one();
    drop(accepting.await);
    wait_for_connections(&node, schedule).await;
    flush_upgrade_channel(&node, schedule).await;
    leave_cluster(&node).await;
    node.decisions.log_shadow_differences();
    info!("shutdown complete");
}

/// Starts the task that cuts off pending clients at the scheduled time; dropping the result cancels it.
fn spawn_pending_cutoff(node: &Node, schedule: Schedule) -> JoinSet<()> {
    let process = node.process.clone();
    let mut task = JoinSet::new();
    task.spawn_local(async move {
        sleep_until(schedule.pending_cutoff).await;
        process.cut_off_pending();
    });
    task
}

/// Answers the last questions of the other process, which continues as the node, and sends it what it does not
/// have yet.
async fn flush_upgrade_channel(node: &Node, schedule: Schedule) {
    if let Some(other) = node.process.other_process() {
        let _timed_out = timeout_at(schedule.end, other.send_leaving()).await;
        other.flush(MESSAGE_TIMEOUT.min(schedule.end.saturating_duration_since(Instant::now()))).await;
    }
}

/// Leaves the cluster, unless the other process continues as the same member.
async fn leave_cluster(node: &Node) {
    if !node.process.other_process_serves()
        && let Some(cluster) = node.admin.membership()
    {
        cluster.leave().await;
    }
}

/// Stops accepting, releases the sockets that only one process may have open, and hands connections over to a
/// successor.
async fn hand_over_to_other_process(node: &Node, accepting: &JoinHandle<()>, schedule: Schedule) {
    info!("client address left to the other process");
    node.process.stop_accepting.notify_one();
    // The task does not finish in a successor that can't serve yet: it has not opened its listener.
    while !accepting.is_finished() && Instant::now() < schedule.migrations_end {
        sleep(LISTENER_CHECK_INTERVAL).await;
    }
    node.process.begin_shutdown();
    node.process.release_sockets.notify_one();
    node.admin.membership().iter().for_each(|cluster| cluster.release_socket());
    let Some(other) = node.process.other_process() else { return };
    other.send_stopped_accepting();
    // A successor that is stopped before its predecessor migrates its clients: a predecessor takes no
    // connections over.
    if other.is_successor {
        match connection_handover::connect(&node.config()) {
            Ok(socket) => node.clients.hand_over_all(socket),
            Err(error) => warn!(%error, "handover socket not connected, clients migrated instead"),
        }
    }
}

async fn migrate_gradually(node: &Node, schedule: Schedule) {
    while node.clients.established_count() > 0 && Instant::now() < schedule.migrations_end {
        let remaining_steps = (schedule.migrations_end - Instant::now()).as_millis() / STEP.as_millis() + 1;
        let remaining_steps = usize::try_from(remaining_steps).unwrap_or(usize::MAX);
        node.clients.migrate_some(node.clients.established_count().div_ceil(remaining_steps));
        sleep(STEP).await;
    }
}

async fn wait_for_connections(node: &Node, schedule: Schedule) {
    while node.clients.connection_descriptors() > 0 {
        if Instant::now() + END_MARGIN >= schedule.end {
            let descriptors = node.clients.connection_descriptors();
            return warn!(descriptors, "shutdown deadline reached with open connections");
        }
        sleep(STEP).await;
    }
}
