//! The upgrade channel to the node's other process: the queue of messages and the replies that are awaited.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::timeout;
use tracing::warn;

use super::upgrade_message::UpgradeMessage;
use crate::admin::maintenance_store::MaintenanceState;
use crate::proxy::request_ids::IdDigest;

/// Timeout for a message or an acknowledgement; after it, none is expected any more.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of the messages that are queued for the other process, in bytes. It is not reached while that
/// process reads: a write that takes longer than [`MESSAGE_TIMEOUT`] closes the channel.
pub const MAX_QUEUED_BYTES: usize = 2 << 20;

/// Why a process may not admit a request with an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ClaimError {
    /// The id is or was used by another request.
    #[error("the id is known")]
    Known,
    /// The predecessor has not answered in time, or has ended before it answered.
    #[error("the predecessor has not confirmed that the id is new")]
    Unconfirmed,
}

/// The channel is closed, as the other process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the other process has ended")]
pub struct ChannelClosed;

/// The sending side of the channel to the node's other process, and what is known of that process.
pub struct UpgradeChannel {
    outgoing: mpsc::UnboundedSender<UpgradeMessage>,
    /// The number of descriptors that the other process has open.
    pub descriptors_in_use: Cell<usize>,
    serves: Cell<bool>,
    /// Whether the other process is about to end and admits no more requests.
    is_leaving: Cell<bool>,
    /// Whether the other process is this one's successor; otherwise it is the predecessor.
    pub is_successor: bool,
    /// The other process's [`MINOR_VERSION`](super::upgrade_message::MINOR_VERSION).
    minor_version: u32,
    next_number: Cell<u64>,
    pending_acks: PendingReplies<()>,
    /// The questions to the predecessor whether an id is new. Each belongs to a client, so that descriptors
    /// limit their number.
    pending_claims: PendingReplies<bool>,
    queued_bytes: Cell<usize>,
    /// Those who wait until everything has been written.
    pending_flushes: RefCell<Vec<oneshot::Sender<()>>>,
    /// Notified when more than [`MAX_QUEUED_BYTES`] would be queued.
    pub queue_full: Notify,
}

/// The replies of one kind that are awaited, by the numbers that they will carry.
struct PendingReplies<T>(Rc<RefCell<BTreeMap<u64, oneshot::Sender<T>>>>);

impl<T> Default for PendingReplies<T> {
    fn default() -> Self {
        PendingReplies(Rc::default())
    }
}

impl<T> PendingReplies<T> {
    fn expect(&self, number: u64) -> PendingReply<T> {
        let (sender, reply) = oneshot::channel();
        self.0.borrow_mut().insert(number, sender);
        PendingReply { pending: PendingReplies(self.0.clone()), number, reply }
    }

    fn complete(&self, number: u64, reply: T) {
        let pending = self.0.borrow_mut().remove(&number);
        pending.map(|pending| pending.send(reply));
    }

    fn close(&self) {
        self.0.borrow_mut().clear();
    }
}

/// A pending reply; dropping it stops waiting for it.
pub struct PendingReply<T> {
    pending: PendingReplies<T>,
    /// The number that the reply will carry.
    pub number: u64,
    reply: oneshot::Receiver<T>,
}

impl<T> PendingReply<T> {
    /// Waits for the reply.
    ///
    /// # Errors
    ///
    /// Fails if the other process ends first.
    pub async fn received(&mut self) -> Result<T, ChannelClosed> {
        (&mut self.reply).await.map_err(|_| ChannelClosed)
    }
}

impl<T> Drop for PendingReply<T> {
    fn drop(&mut self) {
        self.pending.0.borrow_mut().remove(&self.number);
    }
}

impl UpgradeChannel {
    /// Creates the channel to a successor that has just joined and does not accept clients yet.
    pub fn to_successor(outgoing: mpsc::UnboundedSender<UpgradeMessage>, minor_version: u32) -> Rc<Self> {
        Self::new(outgoing, 0, true, minor_version)
    }

    /// Creates the channel to the predecessor, which has `descriptors_in_use` descriptors open and accepts
    /// clients until it reports otherwise.
    pub fn to_predecessor(
        outgoing: mpsc::UnboundedSender<UpgradeMessage>,
        descriptors_in_use: usize,
        minor_version: u32,
    ) -> Rc<Self> {
        Self::new(outgoing, descriptors_in_use, false, minor_version)
    }

    fn new(
        outgoing: mpsc::UnboundedSender<UpgradeMessage>,
        descriptors_in_use: usize,
        is_successor: bool,
        minor_version: u32,
    ) -> Rc<Self> {
        Rc::new(UpgradeChannel {
            outgoing,
            descriptors_in_use: Cell::new(descriptors_in_use),
            serves: Cell::new(!is_successor),
            is_leaving: Cell::new(false),
            is_successor,
            minor_version,
            next_number: Cell::new(0),
            pending_acks: PendingReplies::default(),
            pending_claims: PendingReplies::default(),
            queued_bytes: Cell::new(0),
            pending_flushes: RefCell::default(),
            queue_full: Notify::new(),
        })
    }

    /// Returns whether both processes report the ends of their requests and their memory in use.
    pub fn reports_request_ends(&self) -> bool {
        self.minor_version >= 1
    }

    /// Returns whether the other process accepts changes of the values that both share.
    pub fn accepts_updates(&self) -> bool {
        self.minor_version >= 2
    }

    /// Returns whether the other process accepts clients, so that this one may end.
    pub fn serves(&self) -> bool {
        self.serves.get()
    }

    /// Records whether the other process accepts clients.
    pub fn set_serves(&self, serves: bool) {
        self.serves.set(serves);
    }

    fn allocate_number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }

    /// Allocates a number and registers a pending acknowledgement for it.
    pub fn expect_ack(&self) -> PendingReply<()> {
        self.pending_acks.expect(self.allocate_number())
    }

    /// Completes a pending acknowledgement; does nothing if it is no longer awaited.
    pub fn on_ack(&self, number: u64) {
        self.pending_acks.complete(number, ());
    }

    /// Fails all pending replies after the other process has ended.
    pub fn close(&self) {
        self.pending_acks.close();
        self.pending_claims.close();
        self.pending_flushes.take();
    }

    /// Waits until the messages that are queued and the changes that the other process lacks are written, or
    /// the channel is closed; for `max_wait` at most. The other process receives what is written, even if this
    /// one ends.
    pub async fn flush(&self, max_wait: Duration) {
        let (sender, flushed) = oneshot::channel();
        self.pending_flushes.borrow_mut().push(sender);
        if timeout(max_wait, flushed).await.is_err() {
            warn!("upgrade messages not written before the end of this process");
        }
    }

    /// Reports that everything has been written.
    pub fn on_flushed(&self) {
        for pending in self.pending_flushes.take() {
            let _ended = pending.send(());
        }
    }

    /// Queues a message; it is lost if the other process has ended. The channel is closed if the other process
    /// does not read and the queue is full.
    pub fn send(&self, message: UpgradeMessage) {
        let _ended = self.try_send(message);
    }

    /// Queues a message; returns whether the other process may receive it.
    fn try_send(&self, message: UpgradeMessage) -> bool {
        let queued = self.queued_bytes.get() + message.queued_bytes();
        if queued > MAX_QUEUED_BYTES {
            self.queue_full.notify_one();
            return false;
        }
        self.queued_bytes.set(queued);
        self.outgoing.send(message).is_ok()
    }

    /// Records that a queued message was taken from the queue.
    pub fn on_dequeued(&self, message: &UpgradeMessage) {
        self.queued_bytes.set(self.queued_bytes.get().saturating_sub(message.queued_bytes()));
    }

    /// Sends a message and waits for its acknowledgement, for [`MESSAGE_TIMEOUT`] at most: the admin request
    /// that caused it must be answered.
    async fn request(self: &Rc<Self>, message: impl FnOnce(u64) -> UpgradeMessage) {
        let mut ack = self.expect_ack();
        // A failed send means that the other process has ended and will not acknowledge.
        let sent = self.try_send(message(ack.number));
        if sent && timeout(MESSAGE_TIMEOUT, ack.received()).await.is_err() {
            let timeout_ms = MESSAGE_TIMEOUT.as_millis();
            warn!(timeout_ms, "upgrade message not acknowledged");
        }
    }

    /// Sends a host's maintenance state; the other process has applied it when this returns, unless it timed
    /// out or ended.
    pub async fn send_host_maintenance(self: &Rc<Self>, host: &str, state: MaintenanceState) {
        self.request(|number| UpgradeMessage::HostMaintenance { number, host: host.to_owned(), state }).await;
    }

    /// Returns whether the other process decides which requests may be admitted: of two processes that know
    /// each other's ids, the predecessor does, so that one id is admitted once.
    pub fn decides_claims(&self) -> bool {
        !self.is_successor && self.reports_request_ends() && !self.is_leaving.get()
    }

    /// Records that the other process is about to end: it is asked no more questions.
    pub fn set_leaving(&self) {
        self.is_leaving.set(true);
    }

    /// Reports that this process is about to end and admits no more requests. When this returns, the other
    /// process asks no more questions, and those that it asked before have been received.
    pub async fn send_leaving(self: &Rc<Self>) {
        if self.accepts_updates() {
            self.request(|number| UpgradeMessage::Leaving { number }).await;
        }
    }

    /// Asks the predecessor to confirm that an id is new.
    ///
    /// # Errors
    ///
    /// Fails if the id is known, or if the predecessor does not answer within the given time.
    pub async fn claim(&self, id: IdDigest, max_wait: Duration) -> Result<(), ClaimError> {
        let mut answer = self.pending_claims.expect(self.allocate_number());
        self.send(UpgradeMessage::ClaimRequest { number: answer.number, id });
        match timeout(max_wait.min(MESSAGE_TIMEOUT), answer.received()).await {
            Ok(Ok(true)) => Ok(()),
            Ok(Ok(false)) => Err(ClaimError::Known),
            Ok(Err(_)) | Err(_) => Err(ClaimError::Unconfirmed),
        }
    }

    /// Completes a question to the predecessor; does nothing if the answer is no longer awaited.
    pub fn on_claim_answer(&self, number: u64, granted: bool) {
        self.pending_claims.complete(number, granted);
    }

    /// Sends the id of a request that this process has admitted.
    pub fn send_claimed(&self, id: &[u8], digest: IdDigest) {
        self.send(if self.reports_request_ends() {
            UpgradeMessage::RequestClaimed(digest)
        } else {
            UpgradeMessage::RequestId(String::from_utf8_lossy(id).into_owned())
        });
    }

    /// Sends the id of a request that has ended at this process, if the other process accepts that.
    pub fn send_request_ended(&self, id: IdDigest) {
        if self.reports_request_ends() {
            self.send(UpgradeMessage::RequestEnded(id));
        }
    }

    /// Reports that this process accepts no more clients.
    pub fn send_stopped_accepting(&self) {
        self.send(UpgradeMessage::StoppedAccepting);
    }

    /// Requests the listener for clients. When this returns, it has been sent or will not be sent.
    pub async fn request_listener(self: &Rc<Self>) {
        self.request(|number| UpgradeMessage::ShareListener { number }).await;
    }

    /// Reports that this process accepts clients.
    pub async fn send_ready(self: &Rc<Self>) {
        self.request(|number| UpgradeMessage::Ready { number }).await;
    }
}
