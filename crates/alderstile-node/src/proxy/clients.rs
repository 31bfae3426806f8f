//! The clients of this process, and what they use of its limits.

use std::cell::RefCell;
use std::rc::Rc;

use alderstile::types::RequestId;
use tokio::net::UnixDatagram;

use super::count_guard::{CountGuard, UseCount};
use super::migration::{EstablishedClient, EstablishedClients};
use super::pending_clients::PendingClients;
use super::request_ids::{OpenId, RequestIds};
use super::termination_reason::TerminationReason;
use crate::admin::metrics::{Counters, Gauges};
use crate::config::ActiveConfig;
use crate::lifecycle::process::Process;

/// All clients of this process.
pub struct Clients {
    config: Rc<ActiveConfig>,
    process: Rc<Process>,
    /// Connections without a request.
    pub pending: Rc<PendingClients>,
    ids: RequestIds,
    established: Rc<EstablishedClients>,
    handover_socket: RefCell<Option<Rc<UnixDatagram>>>,
    descriptors: UseCount,
    in_flight: UseCount,
    counters: RefCell<Counters>,
}

impl Clients {
    /// A process without clients.
    pub fn new(config: Rc<ActiveConfig>, process: Rc<Process>) -> Self {
        let initial = config.get();
        let mut counters = Counters::default();
        counters.register_classes(&initial.classes);
        Clients {
            pending: PendingClients::new(
                initial.max_descriptors.saturating_sub(initial.reserved_descriptors()),
            ),
            config,
            process,
            ids: RequestIds::default(),
            established: Rc::default(),
            handover_socket: RefCell::default(),
            descriptors: UseCount::default(),
            in_flight: UseCount::default(),
            counters: RefCell::new(counters),
        }
    }

    /// The number of a class that accepts requests.
    pub fn class_index(&self, name: &[u8]) -> Option<u16> {
        let config = self.config.get();
        let open = |class: &String| class.as_bytes() == name && !config.retired_classes.contains(class);
        config.classes.iter().position(open).and_then(|class| u16::try_from(class).ok())
    }

    /// Claims a request's id; none where it is not new, as it is with every connection. Rejects also a request that is open
    /// at another node and comes again and again: hosts that have it would count as failing.
    pub fn claim_request_id(&self, id: &[u8]) -> Option<OpenId> {
        let claimed = self.ids.claim(id)?;
        self.process.other_process().iter().for_each(|channel| channel.send_request_id(id));
        Some(claimed)
    }

    /// Remembers an id that the other process has claimed.
    pub fn remember_request_id(&self, id: &[u8]) {
        self.ids.remember(id);
    }

    /// Claims the id of a request that the predecessor has handed over.
    pub fn claim_handed_over_request_id(&self, id: &[u8]) -> OpenId {
        self.ids.claim_handed_over(id)
    }

    /// Ids of requests that are open, or ended recently.
    pub fn known_request_ids(&self) -> Vec<String> {
        self.ids.known()
    }

    /// Migrates up to this many clients that were not told to yet: the node shuts down.
    pub fn migrate_some(&self, count: usize) {
        self.established.migrate_some(count, TerminationReason::ShuttingDown);
    }

    /// Migrates all established clients, and from now on each that is established: the node shuts down.
    pub fn migrate_all(&self) {
        self.established.migrate_all(TerminationReason::ShuttingDown);
    }

    /// Migrates a client as the policy wants.
    pub fn migrate(&self, id: RequestId) {
        self.established.migrate(id);
    }

    /// Hands all established connections over through this socket, and from now on each that is established.
    pub fn hand_over_all(&self, to: UnixDatagram) {
        self.handover_socket.replace(Some(Rc::new(to)));
        self.established.migrate_all(TerminationReason::HandedOver);
    }

    /// The socket to the successor, while connections are handed over.
    pub fn handover_socket(&self) -> Option<Rc<UnixDatagram>> {
        self.handover_socket.borrow().clone()
    }

    /// Adds an established client until the guard is dropped.
    pub fn add_established(&self, id: RequestId) -> EstablishedClient {
        self.established.add(id)
    }

    /// The number of established clients.
    pub fn established_count(&self) -> usize {
        self.established.count()
    }

    /// Counts a descriptor that was handed over by the predecessor, whatever the limit.
    pub fn count_handed_over_descriptor(&self) -> CountGuard {
        self.descriptors.acquire()
    }

    /// Acquires a descriptor, unless fewer than `spare` more would be left.
    pub fn acquire_descriptor(&self, spare: usize) -> Option<CountGuard> {
        // Two processes of one node share its limit.
        let others = self.process.other_process().map_or(0, |channel| channel.descriptors_in_use.get());
        let available = self.descriptors_in_use() + others + spare < self.config.get().max_descriptors;
        available.then(|| self.descriptors.acquire())
    }

    /// Descriptors that this process uses, or that are reserved for it.
    pub fn descriptors_in_use(&self) -> usize {
        self.descriptors.get() + self.config.get().reserved_descriptors()
    }

    /// Descriptors of connections.
    pub fn connection_descriptors(&self) -> usize {
        self.descriptors.get()
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn count_in_flight(&self) -> CountGuard {
        self.in_flight.acquire()
    }

    /// Requests in flight: accepted and not ended.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight.get()
    }

    /// Changes the counters.
    pub fn update_counters(&self, update: impl FnOnce(&mut Counters)) {
        update(&mut self.counters.borrow_mut());
    }

    /// The counters and gauges, as text.
    pub fn render_metrics(&self, gauges: Gauges) -> String {
        self.counters.borrow().render(gauges)
    }
}
