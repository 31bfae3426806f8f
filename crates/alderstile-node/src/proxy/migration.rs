//! Telling the relays of established clients that their client is to migrate.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use alderstile::types::RequestId;
use tokio::sync::Notify;

use super::termination_reason::TerminationReason;

/// Tells one relay that its client is to migrate, or that its connection is to be handed over.
#[derive(Default)]
pub struct MigrationSignal {
    requested: Notify,
    /// Why, if the policy did not request it.
    reason: Cell<Option<TerminationReason>>,
}

impl MigrationSignal {
    fn request(&self, reason: TerminationReason) {
        self.reason.set(Some(reason));
        self.requested.notify_one();
    }

    /// Waits until the client is to migrate.
    pub async fn requested(&self) {
        self.requested.notified().await;
    }

    /// Why the client is to migrate.
    pub fn reason(&self) -> TerminationReason {
        self.reason.get().unwrap_or(TerminationReason::Migrated)
    }
}

/// The established clients of this process, by their requests.
#[derive(Default)]
pub struct EstablishedClients {
    signals: RefCell<BTreeMap<RequestId, Rc<MigrationSignal>>>,
    /// Why all migrate, once they do.
    all: Cell<Option<TerminationReason>>,
}

impl EstablishedClients {
    /// Adds a client until the guard is dropped.
    pub fn add(self: &Rc<Self>, id: RequestId) -> EstablishedClient {
        let signal = Rc::new(MigrationSignal::default());
        self.all.get().into_iter().for_each(|reason| signal.request(reason));
        self.signals.borrow_mut().insert(id, signal.clone());
        EstablishedClient { clients: self.clone(), id, signal }
    }

    /// The number of established clients.
    pub fn count(&self) -> usize {
        self.signals.borrow().len()
    }

    /// Migrates one client: the policy wants it.
    pub fn migrate(&self, id: RequestId) {
        if let Some(signal) = self.signals.borrow().get(&id) {
            signal.requested.notify_one();
        }
    }

    /// Migrates up to this many clients that were not told to yet.
    pub fn migrate_some(&self, count: usize, reason: TerminationReason) {
        let signals = self.signals.borrow();
        let not_requested = signals.values().filter(|signal| signal.reason.get().is_none());
        not_requested.take(count).for_each(|signal| signal.request(reason));
    }

    /// Migrates all clients, and from now on each that is added.
    pub fn migrate_all(&self, reason: TerminationReason) {
        self.all.set(Some(reason));
        self.migrate_some(usize::MAX, reason);
    }
}

/// An established client, until this is dropped.
pub struct EstablishedClient {
    clients: Rc<EstablishedClients>,
    id: RequestId,
    /// What tells its relay to migrate it.
    pub signal: Rc<MigrationSignal>,
}

impl Drop for EstablishedClient {
    fn drop(&mut self) {
        self.clients.signals.borrow_mut().remove(&self.id);
    }
}
