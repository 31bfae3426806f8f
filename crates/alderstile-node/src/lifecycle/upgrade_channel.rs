//! The channel to the other process of this node during an upgrade: its messages, and the acknowledgements awaited.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tracing::warn;

use super::upgrade_state::UpgradeState;
use crate::admin::maintenance_store::MaintenanceState;

/// How long a message that is awaited may take: a process that sends none until then is taken to have none.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);

/// A message on the channel, one JSON line each. The names on the wire are those of its first version.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpgradeMessage {
    /// The successor's first message.
    Join {
        /// The version of the channel's messages.
        version: u32,
    },
    /// The predecessor's first message.
    #[serde(rename = "hello")]
    State(Box<UpgradeState>),
    /// The predecessor's first message to a third process, which then ends.
    #[serde(rename = "taken")]
    AlreadyJoined,
    /// The number of descriptors that the sender uses.
    #[serde(rename = "held")]
    DescriptorsInUse(usize),
    /// The sender accepts clients; acknowledged.
    Ready {
        /// The number of the acknowledgement.
        number: u64,
    },
    /// The successor can receive sockets, and requests the listener for clients; acknowledged.
    #[serde(rename = "door")]
    ShareListener {
        /// The number of the acknowledgement.
        number: u64,
    },
    /// The maintenance state of a host has changed; acknowledged.
    #[serde(rename = "host")]
    HostMaintenance {
        /// The number of the acknowledgement.
        number: u64,
        /// The host's name.
        host: String,
        /// Its maintenance state.
        #[serde(rename = "stand")]
        state: MaintenanceState,
    },
    /// An acknowledgement: what was requested is done.
    #[serde(rename = "done")]
    Ack {
        /// The number in the request.
        number: u64,
    },
    /// The id of a request that the sender has admitted.
    #[serde(rename = "id")]
    RequestId(String),
    /// The sender accepts no more clients.
    #[serde(rename = "closed")]
    StoppedAccepting,
}

/// The channel has ended, and with it the other process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the other process has ended")]
pub struct ChannelClosed;

/// The channel to the other process of this node.
pub struct UpgradeChannel {
    outgoing: mpsc::UnboundedSender<UpgradeMessage>,
    /// The number of descriptors that the other process uses.
    pub descriptors_in_use: Cell<usize>,
    serves: Cell<bool>,
    /// Whether the other process is the successor of this one, and not its predecessor.
    pub is_successor: bool,
    next_number: Cell<u64>,
    awaited: RefCell<BTreeMap<u64, oneshot::Sender<()>>>,
}

/// An acknowledgement that is awaited until this is dropped.
pub struct PendingAck {
    channel: Rc<UpgradeChannel>,
    /// Its number.
    pub number: u64,
    acknowledged: oneshot::Receiver<()>,
}

impl PendingAck {
    /// Waits for the acknowledgement.
    ///
    /// # Errors
    ///
    /// The other process has ended.
    pub async fn acknowledged(&mut self) -> Result<(), ChannelClosed> {
        (&mut self.acknowledged).await.map_err(|_| ChannelClosed)
    }
}

impl Drop for PendingAck {
    fn drop(&mut self) {
        self.channel.awaited.borrow_mut().remove(&self.number);
    }
}

impl UpgradeChannel {
    /// A channel to a successor that has just joined.
    pub fn to_successor(outgoing: mpsc::UnboundedSender<UpgradeMessage>) -> Rc<Self> {
        Self::new(outgoing, 0, true)
    }

    /// A channel to the predecessor, which uses so many descriptors, and serves until it says otherwise.
    pub fn to_predecessor(
        outgoing: mpsc::UnboundedSender<UpgradeMessage>,
        descriptors_in_use: usize,
    ) -> Rc<Self> {
        Self::new(outgoing, descriptors_in_use, false)
    }

    fn new(
        outgoing: mpsc::UnboundedSender<UpgradeMessage>,
        descriptors_in_use: usize,
        is_successor: bool,
    ) -> Rc<Self> {
        Rc::new(UpgradeChannel {
            outgoing,
            descriptors_in_use: Cell::new(descriptors_in_use),
            serves: Cell::new(!is_successor),
            is_successor,
            next_number: Cell::new(0),
            awaited: RefCell::default(),
        })
    }

    /// Whether the other process accepts clients, so that this one may end.
    pub fn serves(&self) -> bool {
        self.serves.get()
    }

    /// Records whether the other process accepts clients.
    pub fn set_serves(&self, serves: bool) {
        self.serves.set(serves);
    }

    /// Expects an acknowledgement under a new number.
    pub fn expect_ack(self: &Rc<Self>) -> PendingAck {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let (sender, acknowledged) = oneshot::channel();
        self.awaited.borrow_mut().insert(number, sender);
        PendingAck { channel: self.clone(), number, acknowledged }
    }

    /// Records an acknowledgement; nobody may await it any more.
    pub fn on_ack(&self, number: u64) {
        let awaited = self.awaited.borrow_mut().remove(&number);
        awaited.map(|awaited| awaited.send(()));
    }

    /// Ends the waiting for acknowledgements: the other process has ended.
    pub fn close(&self) {
        self.awaited.borrow_mut().clear();
    }

    /// Sends a message; it is lost where the other process has ended.
    pub fn send(&self, message: UpgradeMessage) {
        let _ended = self.outgoing.send(message);
    }

    /// Sends a message and waits for its acknowledgement, but no longer than [`MESSAGE_TIMEOUT`]: a call of operators must
    /// be answered.
    async fn request(self: &Rc<Self>, message: impl FnOnce(u64) -> UpgradeMessage) {
        let mut ack = self.expect_ack();
        // Where the channel is broken the other process has ended, and nothing will be acknowledged.
        let sent = self.outgoing.send(message(ack.number)).is_ok();
        if sent && timeout(MESSAGE_TIMEOUT, ack.acknowledged()).await.is_err() {
            let timeout_ms = MESSAGE_TIMEOUT.as_millis();
            warn!(timeout_ms, "upgrade message not acknowledged");
        }
    }

    /// Sends the maintenance state of a host; it is in force at the other process once this returns.
    pub async fn send_host_maintenance(self: &Rc<Self>, host: &str, state: MaintenanceState) {
        self.request(|number| UpgradeMessage::HostMaintenance { number, host: host.to_owned(), state }).await;
    }

    /// Sends the id of a request that this process has admitted.
    pub fn send_request_id(&self, id: &[u8]) {
        self.send(UpgradeMessage::RequestId(String::from_utf8_lossy(id).into_owned()));
    }

    /// Sends that this process accepts no more clients.
    pub fn send_stopped_accepting(&self) {
        self.send(UpgradeMessage::StoppedAccepting);
    }

    /// Requests the listener for clients. It has been sent once this returns, or will not be.
    pub async fn request_listener(self: &Rc<Self>) {
        self.request(|number| UpgradeMessage::ShareListener { number }).await;
    }

    /// Sends that this process accepts clients.
    pub async fn send_ready(self: &Rc<Self>) {
        self.request(|number| UpgradeMessage::Ready { number }).await;
    }
}
