//! This process among those of its node: its listener, the other process while there is one, and whether it shuts down.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::sync::Notify;

use super::upgrade_channel::UpgradeChannel;

/// This process of a node, and the other one while there is one.
#[derive(Default)]
pub struct Process {
    /// The listener is to accept no more clients.
    pub stop_accepting: Notify,
    /// The predecessor has ended.
    pub predecessor_ended: Notify,
    /// The other process has the sockets that only one of the two may have: this one is to close its own.
    pub release_sockets: Notify,
    shutting_down: Cell<bool>,
    cutoff_reached: Cell<bool>,
    cutoff: Notify,
    listener: RefCell<Option<Rc<TcpListener>>>,
    shared_listener: RefCell<Option<std::net::TcpListener>>,
    other: RefCell<Option<Rc<UpgradeChannel>>>,
}

impl Process {
    /// Sets the listener on which clients are accepted, or that there is none any more.
    pub fn set_listener(&self, listener: Option<Rc<TcpListener>>) {
        self.listener.replace(listener);
    }

    /// The listener on which clients are accepted.
    pub fn listener(&self) -> Option<Rc<TcpListener>> {
        self.listener.borrow().clone()
    }

    /// Keeps the listener that the predecessor shares until it is taken.
    pub fn set_shared_listener(&self, listener: Option<std::net::TcpListener>) {
        self.shared_listener.replace(listener);
    }

    /// Takes the listener that the predecessor shares, if it has come.
    pub fn take_shared_listener(&self) -> Option<std::net::TcpListener> {
        self.shared_listener.take()
    }

    /// The channel to the other process of this node, while there is one.
    pub fn other_process(&self) -> Option<Rc<UpgradeChannel>> {
        self.other.borrow().clone()
    }

    /// Sets the channel to the other process of this node, or that there is none any more.
    pub fn set_other_process(&self, other: Option<Rc<UpgradeChannel>>) {
        self.other.replace(other);
    }

    /// Whether another process of this node accepts clients too, so that this one may end.
    pub fn other_process_serves(&self) -> bool {
        self.other_process().is_some_and(|other| other.serves())
    }

    /// Begins the shutdown: from now on the process is not ready, so that the front sends no more clients.
    pub fn begin_shutdown(&self) {
        self.shutting_down.set(true);
    }

    /// Whether the process shuts down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.get()
    }

    /// Ends all waiting: the time for the shutdown is nearly over, and who still waits is to be answered now.
    pub fn cut_off_pending(&self) {
        self.cutoff_reached.set(true);
        self.cutoff.notify_waiters();
    }

    /// Waits until the time for the shutdown is nearly over.
    pub async fn pending_cutoff(&self) {
        // Created before the check, so that it is notified of a call made after it.
        let reached = self.cutoff.notified();
        if !self.cutoff_reached.get() {
            reached.await;
        }
    }
}
