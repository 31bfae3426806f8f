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

/// One descriptor of this many may be held by guests: clients take theirs twice, once more for the host.
const SHARE: usize = 8;
/// A guest has this long at least: a usual client's line comes with its connection or right after it.
pub const WELCOME: Duration = Duration::from_millis(20);

/// The places for guests.
pub struct Lobby {
    places: usize,
    next: Cell<u64>,
    guests: RefCell<BTreeMap<u64, (Instant, Rc<Notify>)>>,
}

impl Lobby {
    /// Places by the descriptors that the node may hold.
    pub fn new(descriptors: usize) -> Rc<Self> {
        let places = (descriptors / SHARE).max(1);
        Rc::new(Lobby { places, next: Cell::default(), guests: RefCell::default() })
    }

    /// How many there are.
    pub fn places(&self) -> usize {
        self.places
    }

    /// Whether there is a place for one more; the oldest guest is shown out for that once it has had its time.
    pub fn has_place(&self) -> bool {
        if self.guests.borrow().len() < self.places {
            return true;
        }
        self.show_out_oldest();
        self.guests.borrow().len() < self.places
    }

    /// Shows the oldest guest out, if it has had its time; false if nobody has.
    pub fn show_out_oldest(&self) -> bool {
        let mut guests = self.guests.borrow_mut();
        match guests.first_entry() {
            Some(oldest) if oldest.get().0.elapsed() >= WELCOME => {
                oldest.remove().1.notify_one();
                true
            }
            _ => false,
        }
    }

    /// Takes a guest in.
    pub fn enter(self: &Rc<Self>) -> Guest {
        let number = self.next.replace(self.next.get() + 1);
        let out = Rc::new(Notify::new());
        self.guests.borrow_mut().insert(number, (Instant::now(), out.clone()));
        Guest { lobby: self.clone(), number, out }
    }
}

/// A place, held while this lives.
pub struct Guest {
    lobby: Rc<Lobby>,
    number: u64,
    out: Rc<Notify>,
}

impl Guest {
    /// Waits until the place is wanted for another.
    pub async fn shown_out(&self) {
        self.out.notified().await;
    }
}

impl Drop for Guest {
    fn drop(&mut self) {
        self.lobby.guests.borrow_mut().remove(&self.number);
    }
}
