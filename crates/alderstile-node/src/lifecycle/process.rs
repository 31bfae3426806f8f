//! The state of this process within its node: its listener, the other process during an upgrade, and its
//! shutdown.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::sync::Notify;

use super::upgrade_channel::UpgradeChannel;

/// The state of this process, and the channel to the node's other process during an upgrade.
#[derive(Default)]
pub struct Process {
    /// Tells the accept loop to stop accepting clients.
    pub stop_accepting: Notify,
    /// Notified when the predecessor has ended.
    pub predecessor_ended: Notify,
    /// Tells this process to close the sockets that only one of the two processes may have open.
    pub release_sockets: Notify,
    shutting_down: Cell<bool>,
    cutoff_reached: Cell<bool>,
    cutoff: Notify,
    listener: RefCell<Option<Rc<TcpListener>>>,
    shared_listener: RefCell<Option<std::net::TcpListener>>,
    other: RefCell<Option<Rc<UpgradeChannel>>>,
}

impl Process {
    /// Sets the listener on which clients are accepted; `None` once it is closed.
    pub fn set_listener(&self, listener: Option<Rc<TcpListener>>) {
        self.listener.replace(listener);
    }

    /// Returns the listener on which clients are accepted.
    pub fn listener(&self) -> Option<Rc<TcpListener>> {
        self.listener.borrow().clone()
    }

    /// Stores the listener that the predecessor shares until it is taken.
    pub fn set_shared_listener(&self, listener: Option<std::net::TcpListener>) {
        self.shared_listener.replace(listener);
    }

    /// Takes the listener that the predecessor shares, if it has been received.
    pub fn take_shared_listener(&self) -> Option<std::net::TcpListener> {
        self.shared_listener.take()
    }

    /// Returns the channel to the node's other process, if there is one.
    pub fn other_process(&self) -> Option<Rc<UpgradeChannel>> {
        self.other.borrow().clone()
    }

    /// Sets the channel to the node's other process; `None` once that process has ended.
    pub fn set_other_process(&self, other: Option<Rc<UpgradeChannel>>) {
        self.other.replace(other);
    }

    /// Returns whether the node's other process accepts clients too, so that this one may end.
    pub fn other_process_serves(&self) -> bool {
        self.other_process().is_some_and(|other| other.serves())
    }

    /// Begins the shutdown: the process reports from now on that it is not ready, so that the load balancer
    /// in front of it sends no more clients.
    pub fn begin_shutdown(&self) {
        self.shutting_down.set(true);
    }

    /// Returns whether the process is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.get()
    }

    /// Ends all waiting for a host shortly before the shutdown's deadline, so that every pending client is
    /// answered.
    pub fn cut_off_pending(&self) {
        self.cutoff_reached.set(true);
        self.cutoff.notify_waiters();
    }

    /// Waits until pending clients are cut off by the shutdown.
    pub async fn pending_cutoff(&self) {
        // Created before the check, so that a cutoff right after the check is not missed.
        let reached = self.cutoff.notified();
        if !self.cutoff_reached.get() {
            reached.await;
        }
    }
}
