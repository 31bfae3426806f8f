//! The clients of this process: their ids, what they hold of its limits, and who is to be moved.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use alderstile::types::RequestId;
use tokio::net::UnixDatagram;
use tokio::sync::Notify;

use crate::admin::metrics::{Counters, Gauges};
use crate::config::Current;
use crate::lifecycle::process::Process;
use crate::proxy::backlog::Backlog;
use crate::proxy::termination_reason::Reason;

/// Ids of ended requests that are still known: a repeated one comes within moments. At most 4 MB, at 4 KiB a line.
const ENDED_IDS: usize = 1024;

/// Tells one relay that its client is to move.
#[derive(Default)]
pub struct Mover {
    /// Wakes the relay.
    pub notify: Notify,
    /// Why, if not that the decisions want it.
    why: Cell<Option<Reason>>,
}

impl Mover {
    fn leave(&self, why: Reason) {
        self.why.set(Some(why));
        self.notify.notify_one();
    }

    /// Why the client is to move.
    pub fn reason(&self) -> Reason {
        self.why.get().unwrap_or(Reason::Moved)
    }
}

/// Ids of requests: those that are open, and the last that have ended.
#[derive(Default)]
struct Ids {
    taken: BTreeSet<Rc<[u8]>>,
    ended: VecDeque<Rc<[u8]>>,
}

/// The id of an open request. It stays taken for a while when this ends.
pub struct OpenId(Rc<RefCell<Ids>>, Rc<[u8]>);

impl Ids {
    /// An id stays known for a while.
    fn end(&mut self, id: Rc<[u8]>) {
        self.ended.push_back(id);
        if self.ended.len() > ENDED_IDS
            && let Some(oldest) = self.ended.pop_front()
        {
            self.taken.remove(&oldest);
        }
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.0.borrow_mut().end(self.1.clone());
    }
}

/// One of something, counted while this lives.
pub struct Counted(Rc<Cell<usize>>);

impl Counted {
    fn one_of(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Counted(count.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// All clients of this process.
pub struct Clients {
    config: Rc<Current>,
    process: Rc<Process>,
    /// Connections that hold no request.
    pub backlog: Rc<Backlog>,
    ids: Rc<RefCell<Ids>>,
    movers: RefCell<BTreeMap<RequestId, Rc<Mover>>>,
    all_moved: Cell<Option<Reason>>,
    handover: RefCell<Option<Rc<UnixDatagram>>>,
    descriptors: Rc<Cell<usize>>,
    inflight: Rc<Cell<usize>>,
    counters: RefCell<Counters>,
}

impl Clients {
    /// No clients yet.
    pub fn new(config: Rc<Current>, process: Rc<Process>) -> Self {
        let told = config.get();
        let mut counters = Counters::default();
        counters.register_classes(&told.classes);
        Clients {
            backlog: Backlog::new(told.sockets.saturating_sub(told.own_descriptors())),
            config,
            process,
            ids: Rc::default(),
            movers: RefCell::default(),
            all_moved: Cell::default(),
            handover: RefCell::default(),
            descriptors: Rc::default(),
            inflight: Rc::default(),
            counters: RefCell::new(counters),
        }
    }

    /// The number of a class that takes requests.
    pub fn class(&self, name: &[u8]) -> Option<u16> {
        let config = self.config.get();
        let taken = |class: &String| class.as_bytes() == name && !config.gone.contains(class);
        config.classes.iter().position(taken).and_then(|class| u16::try_from(class).ok())
    }

    /// Takes a request's id; none where it is not new, as an id is with every connection. Guards also against one
    /// that is open at another node: hosts turn it away, and once they have it is not put to them again and again.
    pub fn open_id(&self, id: &[u8]) -> Option<OpenId> {
        let id: Rc<[u8]> = id.into();
        let new = self.ids.borrow_mut().taken.insert(id.clone());
        new.then(|| {
            self.process.linked().iter().for_each(|link| link.tell_id(&id));
            OpenId(self.ids.clone(), id)
        })
    }

    /// The other process has taken a request with this id.
    pub fn know_id(&self, id: &[u8]) {
        let id: Rc<[u8]> = id.into();
        let mut ids = self.ids.borrow_mut();
        if ids.taken.insert(id.clone()) {
            ids.end(id);
        }
    }

    /// The id of a request that was taken by the process before.
    pub fn passed_id(&self, id: &[u8]) -> OpenId {
        let id: Rc<[u8]> = id.into();
        self.ids.borrow_mut().taken.insert(id.clone());
        OpenId(self.ids.clone(), id)
    }

    /// The node is about to stop: tells this many clients to move that have not been told.
    pub fn move_some(&self, count: usize) {
        self.leave_some(count, Reason::NodeLeaving);
    }

    fn leave_some(&self, count: usize, why: Reason) {
        let movers = self.movers.borrow();
        movers
            .values()
            .filter(|mover| mover.why.get().is_none())
            .take(count)
            .for_each(|mover| mover.leave(why));
    }

    /// Tells all clients that are served to move, and from now on everyone who comes up.
    pub fn move_all(&self) {
        self.all_moved.set(Some(Reason::NodeLeaving));
        self.move_some(usize::MAX);
    }

    /// Passes all connections on, and from now on each that comes up.
    pub fn hand_over_all(&self, to: UnixDatagram) {
        self.handover.replace(Some(Rc::new(to)));
        self.all_moved.set(Some(Reason::HandedOver));
        self.leave_some(usize::MAX, Reason::HandedOver);
    }

    /// The way to the process that goes on with connections.
    pub fn handover(&self) -> Option<Rc<UnixDatagram>> {
        self.handover.borrow().clone()
    }

    /// A client is served from now on and can be moved.
    pub fn serve(&self, id: RequestId) -> Rc<Mover> {
        let mover = Rc::new(Mover::default());
        self.all_moved.get().into_iter().for_each(|why| mover.leave(why));
        self.movers.borrow_mut().insert(id, mover.clone());
        mover
    }

    /// A client is no longer served.
    pub fn unserve(&self, id: RequestId) {
        self.movers.borrow_mut().remove(&id);
    }

    /// Clients served now.
    pub fn served(&self) -> usize {
        self.movers.borrow().len()
    }

    /// One more descriptor that is there already, passed on by the process before.
    pub fn passed_descriptor(&self) -> Counted {
        Counted::one_of(&self.descriptors)
    }

    /// One more descriptor, unless fewer than `spare` more are left.
    pub fn descriptor(&self, spare: usize) -> Option<Counted> {
        // Two processes of one node share its limit.
        let others = self.process.linked().map_or(0, |link| link.held.get());
        (self.held() + others + spare < self.config.get().sockets).then(|| Counted::one_of(&self.descriptors))
    }

    /// Descriptors held by this process, or kept for it.
    pub fn held(&self) -> usize {
        self.descriptors.get() + self.config.get().own_descriptors()
    }

    /// A request is taken from now on, until what is returned is dropped.
    pub fn take(&self) -> Counted {
        Counted::one_of(&self.inflight)
    }

    /// Counts something.
    pub fn count(&self, what: impl FnOnce(&mut Counters)) {
        what(&mut self.counters.borrow_mut());
    }

    /// Descriptors that connections hold now.
    pub fn descriptors(&self) -> usize {
        self.descriptors.get()
    }

    /// The decisions want a client to move.
    pub fn move_one(&self, id: RequestId) {
        if let Some(mover) = self.movers.borrow().get(&id) {
            mover.notify.notify_one();
        }
    }

    /// Ids that are open, or have ended not long ago.
    pub fn known_ids(&self) -> Vec<String> {
        self.ids.borrow().taken.iter().map(|id| String::from_utf8_lossy(id).into_owned()).collect()
    }

    /// Connections taken and not ended.
    pub fn inflight(&self) -> usize {
        self.inflight.get()
    }

    /// What was counted, as text, beside what holds now.
    pub fn figures(&self, gauges: Gauges) -> String {
        self.counters.borrow().render(gauges)
    }
}
