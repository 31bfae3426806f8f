//! The memory budget of connections: bounds what clients can make the node allocate, however many connect and
//! whatever they send. Does no I/O.
//!
//! Each connection reserves [`CONNECTION_BYTES`] when it is accepted, and more for each buffer that grows
//! beyond its initial size. At the limit, the connection whose buffer would grow is answered or closed, and no
//! further client is accepted until memory is released.

use std::cell::Cell;
use std::rc::Rc;

use thiserror::Error;

/// The memory of one client's connection and of the connection to its host without long lines, in bytes: the
/// task, two sockets, two buffers of the initial size, and the records of the policy.
pub const CONNECTION_BYTES: usize = 6 << 10;
/// The share of the node's memory that connections may use. During an upgrade a connection takes memory in
/// both processes, as a process does not return to the system all that it has released. The other half is left
/// to the programs of both, their endpoint lists, ids of ended requests and admin requests.
const CONNECTION_SHARE_DIVISOR: usize = 4;

/// The memory budget of connections is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("memory limit of connections reached")]
pub struct MemoryExhausted;

/// A budget of bytes, which the two processes of a node share.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Rc<Budget>);

#[derive(Debug)]
struct Budget {
    limit: usize,
    /// The part of the limit that only [`MemoryBudget::reserve_for_new_connection`] uses, so that clients can
    /// be answered while all other memory is in use.
    reserved_for_new: usize,
    used: Cell<usize>,
    used_by_other_process: Cell<usize>,
}

impl MemoryBudget {
    /// Creates the budget of the connections of a node with a memory limit, in bytes, that has slots for at most
    /// `max_new_connections` connections without a request.
    pub fn of_node(memory_limit: usize, max_new_connections: usize) -> Self {
        let limit = memory_limit / CONNECTION_SHARE_DIVISOR;
        MemoryBudget::new(limit, max_new_connections.saturating_mul(CONNECTION_BYTES))
    }

    /// Creates a budget of `limit` bytes, of which a part is reserved for new connections.
    pub fn new(limit: usize, reserved_for_new: usize) -> Self {
        let (used, used_by_other_process) = (Cell::new(0), Cell::new(0));
        MemoryBudget(Rc::new(Budget { limit, reserved_for_new, used, used_by_other_process }))
    }

    /// Returns how many connections a node with a memory limit, in bytes, can have at most.
    pub fn max_connections(memory_limit: usize) -> usize {
        memory_limit / CONNECTION_SHARE_DIVISOR / CONNECTION_BYTES
    }

    /// Returns the number of bytes that this process uses.
    pub fn used(&self) -> usize {
        self.0.used.get()
    }

    /// Sets the number of bytes that the node's other process uses.
    pub fn set_used_by_other_process(&self, bytes: usize) {
        self.0.used_by_other_process.set(bytes);
    }

    fn has_available(&self, bytes: usize, spare: usize) -> bool {
        let used = self.used().saturating_add(self.0.used_by_other_process.get());
        used.saturating_add(bytes).saturating_add(spare) <= self.0.limit
    }

    /// Returns whether memory is available for more than the reserved new connections.
    pub fn is_available(&self) -> bool {
        self.has_available(0, self.0.reserved_for_new)
    }

    /// Reserves [`CONNECTION_BYTES`] for a new connection.
    ///
    /// # Errors
    ///
    /// Fails if the budget is used up.
    pub fn reserve_for_new_connection(&self) -> Result<Reservation, MemoryExhausted> {
        if self.has_available(CONNECTION_BYTES, 0) {
            Ok(self.reserve_above_limit(CONNECTION_BYTES))
        } else {
            Err(MemoryExhausted)
        }
    }

    /// Reserves memory even above the limit, for a connection that the predecessor hands over.
    pub fn reserve_above_limit(&self, bytes: usize) -> Reservation {
        self.0.used.set(self.used() + bytes);
        Reservation { budget: self.clone(), bytes }
    }

    /// Creates a reservation of no bytes, which can grow.
    pub fn empty_reservation(&self) -> Reservation {
        self.reserve_above_limit(0)
    }
}

impl Default for MemoryBudget {
    /// Creates a budget without a limit.
    fn default() -> Self {
        MemoryBudget::new(usize::MAX, 0)
    }
}

/// Reserved bytes, which are released when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl Reservation {
    /// Grows or shrinks the reservation. It always can shrink.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, if the budget does not allow it to grow.
    pub fn resize(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        let growth = bytes.saturating_sub(self.bytes);
        if growth > 0 && !self.budget.has_available(growth, self.budget.0.reserved_for_new) {
            return Err(MemoryExhausted);
        }
        self.resize_above_limit(bytes);
        Ok(())
    }

    /// Resizes the reservation even above the limit.
    pub fn resize_above_limit(&mut self, bytes: usize) {
        self.budget.0.used.set(self.budget.used() - self.bytes + bytes);
        self.bytes = bytes;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.resize_above_limit(0);
    }
}
