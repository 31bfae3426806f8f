//! Connections that hold no request: those that have not said what they want, and those that are being turned away.
//!
//! Guards against hundreds that connect and say nothing: they have places of their own, few enough to leave room for
//! clients and their hosts, and the oldest makes way for the next.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// One descriptor of this many may be held by pending connections: clients take theirs twice, once more for the host.
const SHARE: usize = 8;
/// A pending connection has this long at least: a usual client's line comes with its connection or right after it.
pub const WELCOME: Duration = Duration::from_millis(20);

/// The places for pending connections.
pub struct Backlog {
    places: usize,
    next: Cell<u64>,
    pending: RefCell<BTreeMap<u64, (Instant, Rc<Notify>)>>,
}

impl Backlog {
    /// Places by the descriptors that the node may hold.
    pub fn new(descriptors: usize) -> Rc<Self> {
        let places = (descriptors / SHARE).max(1);
        Rc::new(Backlog { places, next: Cell::default(), pending: RefCell::default() })
    }

    /// How many there are.
    pub fn places(&self) -> usize {
        self.places
    }

    /// Whether there is a place for one more; the oldest is evicted for that once it has had its time.
    pub fn has_place(&self) -> bool {
        if self.pending.borrow().len() < self.places {
            return true;
        }
        self.evict_oldest();
        self.pending.borrow().len() < self.places
    }

    /// Evicts the oldest, if it has had its time; false if none has.
    pub fn evict_oldest(&self) -> bool {
        let mut pending = self.pending.borrow_mut();
        match pending.first_entry() {
            Some(oldest) if oldest.get().0.elapsed() >= WELCOME => {
                oldest.remove().1.notify_one();
                true
            }
            _ => false,
        }
    }

    /// Takes a connection in.
    pub fn enter(self: &Rc<Self>) -> Pending {
        let number = self.next.replace(self.next.get() + 1);
        let out = Rc::new(Notify::new());
        self.pending.borrow_mut().insert(number, (Instant::now(), out.clone()));
        Pending { backlog: self.clone(), number, out }
    }
}

/// A place, held while this lives.
pub struct Pending {
    backlog: Rc<Backlog>,
    number: u64,
    out: Rc<Notify>,
}

impl Pending {
    /// Waits until the place is wanted for another.
    pub async fn evicted(&self) {
        self.out.notified().await;
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        self.backlog.pending.borrow_mut().remove(&self.number);
    }
}
