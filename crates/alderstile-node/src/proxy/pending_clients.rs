//! Pending connections: those that have not sent their first line, and those whose request is being rejected.
//!
//! They occupy a limited number of slots, so that descriptors remain for clients and their hosts when
//! hundreds connect and send nothing. When no slot is free, the oldest pending connection is evicted.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// The number of descriptors per slot: at most one descriptor in this many is used by a pending connection. A
/// client that is served uses two.
const DESCRIPTORS_PER_SLOT: usize = 8;
/// How long a pending connection is protected from eviction. A usual client sends its first line with its
/// connection or directly after it.
pub const MIN_PENDING_TIME: Duration = Duration::from_millis(20);

struct PendingEntry {
    since: Instant,
    evicted: Rc<Notify>,
}

/// The slots for pending connections.
pub struct PendingClients {
    capacity: usize,
    next_number: Cell<u64>,
    /// The entries by number, the oldest first.
    entries: RefCell<BTreeMap<u64, PendingEntry>>,
}

impl PendingClients {
    /// Creates the slots of a node whose connections may use the given number of descriptors.
    pub fn new(descriptors: usize) -> Rc<Self> {
        let capacity = (descriptors / DESCRIPTORS_PER_SLOT).max(1);
        Rc::new(PendingClients { capacity, next_number: Cell::default(), entries: RefCell::default() })
    }

    /// Returns the number of slots.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Evicts the oldest connection if no slot is free; returns whether a slot is free afterwards.
    pub fn ensure_free_slot(&self) -> bool {
        if self.has_free_slot() {
            return true;
        }
        self.evict_oldest();
        self.has_free_slot()
    }

    fn has_free_slot(&self) -> bool {
        self.entries.borrow().len() < self.capacity
    }

    /// Evicts the oldest connection if it has been pending for [`MIN_PENDING_TIME`]; returns whether one was
    /// evicted.
    pub fn evict_oldest(&self) -> bool {
        let mut entries = self.entries.borrow_mut();
        match entries.first_entry() {
            Some(oldest) if oldest.get().since.elapsed() >= MIN_PENDING_TIME => {
                oldest.remove().evicted.notify_one();
                true
            }
            _ => false,
        }
    }

    /// Assigns a slot to a new connection.
    pub fn add(self: &Rc<Self>) -> PendingSlot {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let evicted = Rc::new(Notify::new());
        let entry = PendingEntry { since: Instant::now(), evicted: evicted.clone() };
        self.entries.borrow_mut().insert(number, entry);
        PendingSlot { clients: self.clone(), number, evicted }
    }
}

/// The slot of a pending connection, freed when this is dropped.
pub struct PendingSlot {
    clients: Rc<PendingClients>,
    number: u64,
    evicted: Rc<Notify>,
}

impl PendingSlot {
    /// Waits until the connection is evicted.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for PendingSlot {
    fn drop(&mut self) {
        self.clients.entries.borrow_mut().remove(&self.number);
    }
}
