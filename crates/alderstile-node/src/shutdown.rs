//! A planned stop: every client is told to move before the node leaves.

use std::rc::Rc;
use std::time::Duration;

use log::info;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::node::Node;

/// New connections go on coming for a moment after the signal.
const STILL_COMING: Duration = Duration::from_millis(500);
/// How often is looked whether all have gone.
const LOOK: Duration = Duration::from_millis(20);

/// Answers and moves everyone; returns when nothing is held any more.
pub async fn run(node: Rc<Node>, accepting: JoinHandle<()>) {
    info!("leaving: {} clients are told to move", node.served());
    node.leave();
    sleep(STILL_COMING).await;
    node.move_all();
    // Those that come up from now on are moved by their own sessions.
    accepting.abort();
    drop(accepting.await);
    while node.descriptors() > 0 {
        sleep(LOOK).await;
    }
    info!("left: nothing is held any more");
}
