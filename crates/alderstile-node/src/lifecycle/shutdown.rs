//! A planned stop: every client is told to move, or passed on to the process that takes over, before this one ends.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};
use tracing::{info, warn};

use crate::lifecycle::connection_handover;
use crate::node::Node;

/// What is kept of the time that a stop may take: the last clients' lines and ends must pass before it is over.
const KEPT: Duration = Duration::from_millis(600);
/// New connections go on coming for 0.4 s at most after a stop began: the door stays open that long, also where the longest
/// request, and with it the stop, is short.
const COMING: Duration = Duration::from_millis(450);
/// Who still waits for a host this long before the stop's time is over is answered then, and who has said nothing whole is
/// closed. A request that came up to 0.4 s after the stop began has had all of its time by then: the stop's time is that of
/// the longest request and 0.7 s. Guards against hosts that hang, and requests that may wait longer than a stop.
const LAST_CALL: Duration = Duration::from_millis(250);
/// The process ends this long before the stop's time is over, whatever is held then.
const LAST_MOMENT: Duration = Duration::from_millis(50);
/// How often some are told to move, and is looked whether all have gone.
const LOOK: Duration = Duration::from_millis(20);

/// Answers and moves everyone; returns when nothing is held any more. Where another process of this node serves, the
/// clients' address is that one's at once: this one never says that it is not ready there.
///
/// Guards against sending all clients away in one moment, perhaps while the node that is stopped before this one has
/// not come back: they are served as ever for the first half of the time that the stop may take, then go one after
/// the other.
pub async fn run(node: Rc<Node>, accepting: JoinHandle<()>) {
    info!("leaving: {} clients are served", node.clients.served());
    let may_take = node.config().stop_within;
    let now = Instant::now();
    let (last, end) = (now + may_take.saturating_sub(KEPT), now + may_take);
    if !node.process.shared() {
        node.process.leave();
    }
    let process = node.process.clone();
    spawn_local(async move {
        sleep_until(now + may_take.saturating_sub(LAST_CALL)).await;
        process.call_last();
    });
    while !node.process.shared() && Instant::now() < last.min(now + may_take / 2) {
        sleep(LOOK).await;
    }
    if node.process.shared() {
        info!("leaving: another process serves here, clients are taken in no more");
        node.process.door.notify_one();
        // A successor that can't serve yet never comes to its door.
        while !accepting.is_finished() && Instant::now() < last {
            sleep(Duration::from_millis(1)).await;
        }
        node.process.leave();
        node.process.left.notify_one();
        node.admin.membership().iter().for_each(|cluster| cluster.let_go());
        node.process.linked().iter().for_each(|link| link.tell_closed());
        // A successor that is told to leave first has nobody to pass them on to: the one that serves takes none back.
        if node.process.linked().is_some_and(|link| link.successor) {
            match connection_handover::sender(&node.config()) {
                Ok(to) => node.clients.hand_over_all(to),
                Err(error) => warn!("leaving: connections can't be passed on: {error}"),
            }
        }
    }
    while node.clients.served() > 0 && Instant::now() < last {
        let steps = (last - Instant::now()).as_millis() / LOOK.as_millis() + 1;
        node.clients.move_some(node.clients.served().div_ceil(usize::try_from(steps).unwrap_or(usize::MAX)));
        sleep(LOOK).await;
    }
    // Those that come up from now on are moved, or passed on, by their own sessions.
    if node.clients.handover().is_none() {
        node.clients.move_all();
    }
    if !node.process.shared() {
        sleep_until(now + COMING).await;
    }
    // The door is closed by who keeps it, in the step in which nobody waits there: whom the system has taken in is a
    // client, and is owed an answer.
    node.process.door.notify_one();
    drop(accepting.await);
    while node.clients.descriptors() > 0 {
        if Instant::now() + LAST_MOMENT >= end {
            warn!("left: {} descriptors are held beyond the stop's time", node.clients.descriptors());
            break;
        }
        sleep(LOOK).await;
    }
    // Where another process goes on as the same member, nothing of it leaves.
    if !node.process.shared()
        && let Some(cluster) = node.admin.membership()
    {
        cluster.leave().await;
    }
    node.decisions.log_shadow_differences();
    info!("left");
}
