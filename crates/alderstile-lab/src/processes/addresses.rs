//! Loopback addresses of a run and of all who take part in it.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::net::TcpListener;

use super::RunError;

/// Loopback addresses that no other run uses.
pub(crate) struct LoopbackAddresses {
    second: u8,
    /// Held as long as the run, so that no other takes them.
    _lock: TcpListener,
}

/// What an address is for.
#[derive(Clone, Copy)]
pub(super) enum Role {
    Node = 1,
    Front = 2,
    Back = 3,
    Host = 4,
    Discovery = 5,
}

/// Runs of this process so far: each has addresses and a folder of its own.
pub(super) static RUNS: AtomicU32 = AtomicU32::new(0);

impl LoopbackAddresses {
    pub(crate) async fn reserve() -> Result<Self, RunError> {
        let first = std::process::id().wrapping_mul(31).wrapping_add(RUNS.fetch_add(1, Ordering::Relaxed));
        let mut last = None;
        for step in 0..100u32 {
            let second = 100 + ((first.wrapping_add(step)) % 100) as u8;
            match TcpListener::bind((Ipv4Addr::new(127, second, 0, 1), 7_000)).await {
                Ok(lock) => return Ok(LoopbackAddresses { second, _lock: lock }),
                Err(error) => last = Some(error),
            }
        }
        Err(RunError::Io("no addresses left".to_owned(), last.unwrap_or(io::ErrorKind::AddrInUse.into())))
    }

    /// Beyond those: for up to 40,000 parties of a run that has no others.
    pub(crate) fn extended(&self, number: usize, port: u16) -> SocketAddr {
        (Ipv4Addr::new(127, self.second, 16 + (number / 200) as u8, 1 + (number % 200) as u8), port).into()
    }

    pub(super) fn at(&self, kind: Role, number: usize, port: u16) -> SocketAddr {
        // At most a hundred parties of one kind.
        (Ipv4Addr::new(127, self.second, kind as u8, 10 + number as u8), port).into()
    }
}
