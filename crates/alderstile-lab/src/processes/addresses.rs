//! Loopback addresses of a run and of its parties.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::net::TcpListener;

use super::RunError;

/// A range of loopback addresses that no other run uses.
pub(crate) struct LoopbackAddresses {
    /// Second octet of the addresses, which identifies the run.
    octet: u8,
    /// Bound for the duration of the run, so that no other run reserves the range.
    _lock: TcpListener,
}

/// Purpose of an address; the value is the third octet.
#[derive(Clone, Copy)]
pub(super) enum Role {
    /// Listeners of nodes.
    Node = 1,
    /// Proxies in front of the nodes, to which clients connect.
    Front = 2,
    /// Proxies behind the nodes, through which they reach hosts, discovery and other members.
    Back = 3,
    /// Stub hosts.
    Host = 4,
    /// Stub discovery.
    Discovery = 5,
}

/// Counter from which each run of this process takes a separate address range and directory.
pub(super) static RUNS: AtomicU32 = AtomicU32::new(0);

impl LoopbackAddresses {
    /// Reserves a range.
    ///
    /// # Errors
    ///
    /// If all 100 ranges are in use.
    pub(crate) async fn reserve() -> Result<Self, RunError> {
        let start = std::process::id().wrapping_mul(31).wrapping_add(RUNS.fetch_add(1, Ordering::Relaxed));
        let mut last_error = None;
        for step in 0..100u32 {
            let octet = 100 + ((start.wrapping_add(step)) % 100) as u8;
            match TcpListener::bind((Ipv4Addr::new(127, octet, 0, 1), 7_000)).await {
                Ok(lock) => return Ok(LoopbackAddresses { octet, _lock: lock }),
                Err(error) => last_error = Some(error),
            }
        }
        Err(RunError::Io(
            "no loopback addresses available".to_owned(),
            last_error.unwrap_or(io::ErrorKind::AddrInUse.into()),
        ))
    }

    /// Returns an address for one of up to 40,000 parties, in runs that do not use [`Self::at`].
    pub(crate) fn extended(&self, number: usize, port: u16) -> SocketAddr {
        (Ipv4Addr::new(127, self.octet, 16 + (number / 200) as u8, 1 + (number % 200) as u8), port).into()
    }

    /// Returns the address of a party and port for a purpose.
    pub(super) fn at(&self, role: Role, number: usize, port: u16) -> SocketAddr {
        // There are at most 100 parties of one kind.
        (Ipv4Addr::new(127, self.octet, role as u8, 10 + number as u8), port).into()
    }
}
