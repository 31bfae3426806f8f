//! Connections without a request: those that have not sent their first line, and those that are being rejected.
//!
//! They have slots of their own, few enough to leave descriptors for clients and their hosts when hundreds connect and send
//! nothing. The oldest is evicted for the next.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// One descriptor in this many may be a pending connection's: a client that is served takes two.
const DESCRIPTORS_PER_SLOT: usize = 8;
/// How long a pending connection is safe from eviction: a usual client's first line comes with its connection or right after.
pub const MIN_PENDING_TIME: Duration = Duration::from_millis(20);

struct PendingEntry {
    since: Instant,
    evicted: Rc<Notify>,
}

/// The slots for pending connections.
pub struct PendingClients {
    capacity: usize,
    next_number: Cell<u64>,
    /// By their numbers, so the oldest first.
    entries: RefCell<BTreeMap<u64, PendingEntry>>,
}

impl PendingClients {
    /// As many slots as befits a node that may use so many descriptors.
    pub fn new(descriptors: usize) -> Rc<Self> {
        let capacity = (descriptors / DESCRIPTORS_PER_SLOT).max(1);
        Rc::new(PendingClients { capacity, next_number: Cell::default(), entries: RefCell::default() })
    }

    /// How many slots there are.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Makes room for one more where need be, by evicting the oldest; returns whether there is a free slot.
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

    /// Evicts the oldest after [`MIN_PENDING_TIME`]; returns whether one was evicted.
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

    /// Gives a new connection a slot.
    pub fn add(self: &Rc<Self>) -> PendingSlot {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let evicted = Rc::new(Notify::new());
        let entry = PendingEntry { since: Instant::now(), evicted: evicted.clone() };
        self.entries.borrow_mut().insert(number, entry);
        PendingSlot { clients: self.clone(), number, evicted }
    }
}

/// A pending connection's slot, freed when this is dropped.
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
