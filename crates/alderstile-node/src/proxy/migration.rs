//! Signals to the relays of established clients: each tells a relay to migrate its client or to hand over its
//! connection.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use alderstile::types::RequestId;
use tokio::sync::Notify;

use super::termination_reason::TerminationReason;

/// Signals one relay that its client is to migrate, or that its connection is to be handed over.
#[derive(Default)]
pub struct MigrationSignal {
    requested: Notify,
    /// The reason; `None` if the policy requested the migration, or while none is requested.
    reason: Cell<Option<TerminationReason>>,
}

impl MigrationSignal {
    fn request(&self, reason: TerminationReason) {
        self.reason.set(Some(reason));
        self.requested.notify_one();
    }

    /// Waits until the migration is requested.
    pub async fn requested(&self) {
        self.requested.notified().await;
    }

    /// Returns why the client is to migrate.
    pub fn reason(&self) -> TerminationReason {
        self.reason.get().unwrap_or(TerminationReason::Migrated)
    }
}

/// The established clients of this process, by request id.
#[derive(Default)]
pub struct EstablishedClients {
    signals: RefCell<BTreeMap<RequestId, Rc<MigrationSignal>>>,
    /// The reason why all clients migrate; `None` until [`EstablishedClients::migrate_all`] is called.
    all_reason: Cell<Option<TerminationReason>>,
}

impl EstablishedClients {
    /// Registers a client until the guard is dropped.
    pub fn add(self: &Rc<Self>, id: RequestId) -> EstablishedClient {
        let signal = Rc::new(MigrationSignal::default());
        self.all_reason.get().into_iter().for_each(|reason| signal.request(reason));
        self.signals.borrow_mut().insert(id, signal.clone());
        EstablishedClient { clients: self.clone(), id, signal }
    }

    /// Returns the number of established clients.
    pub fn count(&self) -> usize {
        self.signals.borrow().len()
    }

    /// Requests the migration of one client, which the policy has chosen.
    pub fn migrate(&self, id: RequestId) {
        if let Some(signal) = self.signals.borrow().get(&id) {
            signal.requested.notify_one();
        }
    }

    /// Requests the migration of up to `count` clients, not counting those already signalled with a reason. A
    /// client whose migration the policy requested gets this reason instead.
    pub fn migrate_some(&self, count: usize, reason: TerminationReason) {
        let signals = self.signals.borrow();
        let not_requested = signals.values().filter(|signal| signal.reason.get().is_none());
        not_requested.take(count).for_each(|signal| signal.request(reason));
    }

    /// Requests the migration of all clients, and of each that is added later.
    pub fn migrate_all(&self, reason: TerminationReason) {
        self.all_reason.set(Some(reason));
        self.migrate_some(usize::MAX, reason);
    }
}

/// The registration of an established client, which ends when this is dropped.
pub struct EstablishedClient {
    clients: Rc<EstablishedClients>,
    id: RequestId,
    /// The signal to the client's relay.
    pub signal: Rc<MigrationSignal>,
}

impl Drop for EstablishedClient {
    fn drop(&mut self) {
        self.clients.signals.borrow_mut().remove(&self.id);
    }
}
