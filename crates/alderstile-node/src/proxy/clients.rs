//! The clients of this process, with their request ids, descriptors and counters.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use alderstile::types::RequestId;
use tokio::net::UnixDatagram;
use tokio::sync::{Semaphore, SemaphorePermit};

use super::count_guard::{CountGuard, UseCount};
use super::memory_budget::{CONNECTION_BYTES, MemoryBudget, MemoryExhausted, Reservation};
use super::migration::{EstablishedClient, EstablishedClients};
use super::pending_clients::PendingClients;
use super::request_ids::{OpenId, RequestIds};
use super::termination_reason::TerminationReason;
use crate::admin::metrics::{Counters, Gauges};
use crate::config::ActiveConfig;
use crate::lifecycle::process::Process;
use crate::lifecycle::upgrade_channel::ClaimError;

/// How often a request's first line is kept at most: the line, and its id.
const COPIES_OF_LINE: usize = 2;

/// How many connections are handed over at the same time. Each takes a message of up to 64 KiB.
pub const MAX_CONCURRENT_HANDOVERS: usize = 16;

/// What a client uses of the limits of the node, released when this is dropped.
pub struct ClientResources {
    _descriptor: CountGuard,
    _memory: Reservation,
}

/// The id of a request that is open at this process. When this is dropped, the other process of the node is
/// notified that the request has ended.
pub struct ClaimedId {
    open: OpenId,
    process: Rc<Process>,
}

impl Drop for ClaimedId {
    fn drop(&mut self) {
        self.process
            .other_process()
            .iter()
            .for_each(|channel| channel.send_request_ended(self.open.digest()));
    }
}

/// The clients of this process.
pub struct Clients {
    config: Rc<ActiveConfig>,
    process: Rc<Process>,
    /// The connections that have no request yet, or whose request is being rejected.
    pub pending: Rc<PendingClients>,
    ids: RequestIds,
    established: Rc<EstablishedClients>,
    handover_socket: RefCell<Option<Rc<UnixDatagram>>>,
    handovers: Semaphore,
    descriptors: UseCount,
    memory: MemoryBudget,
    in_flight: UseCount,
    counters: RefCell<Counters>,
}

impl Clients {
    /// Creates the state of a process without clients.
    pub fn new(config: Rc<ActiveConfig>, process: Rc<Process>) -> Self {
        let initial = config.get();
        let mut counters = Counters::default();
        counters.register_classes(&initial.classes);
        let descriptors = initial.max_descriptors.saturating_sub(initial.reserved_descriptors());
        let pending =
            PendingClients::new(descriptors.min(MemoryBudget::max_connections(initial.memory_limit)));
        Clients {
            memory: MemoryBudget::of_node(initial.memory_limit, pending.capacity()),
            pending,
            config,
            process,
            ids: RequestIds::of_node(initial.memory_limit),
            established: Rc::default(),
            handover_socket: RefCell::default(),
            handovers: Semaphore::new(MAX_CONCURRENT_HANDOVERS),
            descriptors: UseCount::default(),
            in_flight: UseCount::default(),
            counters: RefCell::new(counters),
        }
    }

    /// Returns the index of a class; `None` if it does not exist or has been retired.
    pub fn class_index(&self, name: &[u8]) -> Option<u16> {
        let config = self.config.get();
        let open = |class: &String| class.as_bytes() == name && !config.retired_classes.contains(class);
        config.classes.iter().position(open).and_then(|class| u16::try_from(class).ok())
    }

    /// Claims the id of a request, at both processes of the node. A successor waits for its predecessor's
    /// answer, for `max_wait` at most.
    ///
    /// # Errors
    ///
    /// Fails if the id is known, since each connection must have a new one. This also rejects a client that
    /// repeatedly sends this node a request which is open at another node, from its second try on: the hosts
    /// that reject the duplicates would count as failing. Fails, too, if the predecessor does not answer.
    pub async fn claim_request_id(&self, id: &[u8], max_wait: Duration) -> Result<ClaimedId, ClaimError> {
        let open = self.ids.claim(id).ok_or(ClaimError::Known)?;
        let claimed = ClaimedId { open, process: self.process.clone() };
        match self.process.other_process() {
            Some(channel) if channel.decides_claims() => {
                channel.claim(claimed.open.digest(), max_wait).await?;
            }
            Some(channel) => channel.send_claimed(id, claimed.open.digest()),
            None => {}
        }
        Ok(claimed)
    }

    /// Claims the id of a request whose connection the predecessor has handed over.
    pub fn claim_handed_over_request_id(&self, id: &[u8]) -> ClaimedId {
        ClaimedId { open: self.ids.claim_handed_over(id), process: self.process.clone() }
    }

    /// Returns the ids of the requests of both processes of the node.
    pub fn request_ids(&self) -> &RequestIds {
        &self.ids
    }

    /// Requests the migration of up to `count` further clients because the node shuts down.
    pub fn migrate_some(&self, count: usize) {
        self.established.migrate_some(count, TerminationReason::ShuttingDown);
    }

    /// Requests the migration of all established clients, and of each that is established later, because the
    /// node shuts down.
    pub fn migrate_all(&self) {
        self.established.migrate_all(TerminationReason::ShuttingDown);
    }

    /// Requests the migration of a client that the policy has chosen.
    pub fn migrate(&self, id: RequestId) {
        self.established.migrate(id);
    }

    /// Hands over all established connections, and each that is established later, through the given socket.
    pub fn hand_over_all(&self, to: UnixDatagram) {
        self.handover_socket.replace(Some(Rc::new(to)));
        self.established.migrate_all(TerminationReason::HandedOver);
    }

    /// Waits until fewer than [`MAX_CONCURRENT_HANDOVERS`] connections are being handed over; the returned
    /// permit counts one more. Returns `None` after [`Clients::stop_handovers`].
    pub async fn handover_permit(&self) -> Option<SemaphorePermit<'_>> {
        self.handovers.acquire().await.ok()
    }

    /// Stops handing connections over, as the successor does not receive them in time. The remaining clients
    /// are migrated.
    pub fn stop_handovers(&self) {
        self.handovers.close();
    }

    /// Returns the socket to the successor while connections are handed over.
    pub fn handover_socket(&self) -> Option<Rc<UnixDatagram>> {
        self.handover_socket.borrow().clone()
    }

    /// Registers an established client until the guard is dropped.
    pub fn add_established(&self, id: RequestId) -> EstablishedClient {
        self.established.add(id)
    }

    /// Returns the number of established clients.
    pub fn established_count(&self) -> usize {
        self.established.count()
    }

    /// Counts a descriptor that the predecessor handed over, even above the limit.
    pub fn count_handed_over_descriptor(&self) -> CountGuard {
        self.descriptors.acquire()
    }

    /// Counts a client that the predecessor handed over, with a first line of `line_length` bytes, even above
    /// the limits.
    pub fn count_handed_over_client(&self, line_length: usize) -> ClientResources {
        ClientResources {
            _descriptor: self.count_handed_over_descriptor(),
            _memory: self.memory.reserve_above_limit(CONNECTION_BYTES + COPIES_OF_LINE * line_length),
        }
    }

    /// Acquires what a new client uses; returns `None` if no descriptor or no memory is available.
    pub fn acquire_client(&self) -> Option<ClientResources> {
        let memory = self.memory.reserve_for_new_connection().ok()?;
        Some(ClientResources { _descriptor: self.acquire_descriptor(0)?, _memory: memory })
    }

    /// Reserves the memory of a request's first line.
    ///
    /// # Errors
    ///
    /// Fails if the memory budget is used up.
    pub fn reserve_line(&self, line_length: usize) -> Result<Reservation, MemoryExhausted> {
        let mut reservation = self.memory.empty_reservation();
        reservation.resize(COPIES_OF_LINE * line_length)?;
        Ok(reservation)
    }

    /// Returns the memory budget of connections.
    pub fn memory(&self) -> &MemoryBudget {
        &self.memory
    }

    /// Acquires a descriptor; returns `None` if fewer than `spare` descriptors would remain.
    pub fn acquire_descriptor(&self, spare: usize) -> Option<CountGuard> {
        // The two processes of a node share its limit.
        let others = self.process.other_process().map_or(0, |channel| channel.descriptors_in_use.get());
        let available = self.descriptors_in_use() + others + spare < self.config.get().max_descriptors;
        available.then(|| self.descriptors.acquire())
    }

    /// Returns the number of descriptors that connections use or that are reserved for the process itself.
    pub fn descriptors_in_use(&self) -> usize {
        self.descriptors.get() + self.config.get().reserved_descriptors()
    }

    /// Returns the number of descriptors that connections use.
    pub fn connection_descriptors(&self) -> usize {
        self.descriptors.get()
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn count_in_flight(&self) -> CountGuard {
        self.in_flight.acquire()
    }

    /// Returns the number of requests in flight: admitted and not ended.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight.get()
    }

    /// Calls `update` with the counters.
    pub fn update_counters(&self, update: impl FnOnce(&mut Counters)) {
        update(&mut self.counters.borrow_mut());
    }

    /// Renders the counters and gauges as text.
    pub fn render_metrics(&self, gauges: Gauges) -> String {
        self.counters.borrow().render(gauges)
    }
}
