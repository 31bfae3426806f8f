//! Stub hosts: they accept requests, answer each line, and apply host faults.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use crate::history::{Event, History};

/// Behavior of a host under faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct Behavior {
    /// Additional delay of every response.
    pub slow: Duration,
    /// Whether the host does not respond.
    pub silent: bool,
    /// Whether the host rejects new requests.
    pub refuses: bool,
}

/// One stub host.
pub struct Host {
    number: usize,
    address: SocketAddr,
    setup: Duration,
    history: Rc<History>,
    /// Current behavior.
    pub behavior: Cell<Behavior>,
    /// Address of the host; `None` while it is down.
    pub up: watch::Sender<Option<SocketAddr>>,
    /// Task that accepts connections; it represents the process of the host.
    process: RefCell<Option<JoinHandle<()>>>,
    /// Dropped when the process ends, which resets its connections.
    ended: RefCell<watch::Sender<()>>,
    receipts: Cell<u64>,
}

impl Host {
    /// Returns a host that is down.
    pub fn new(number: usize, address: SocketAddr, setup: Duration, history: Rc<History>) -> Rc<Self> {
        Rc::new(Host {
            number,
            address,
            setup,
            history,
            behavior: Cell::default(),
            up: watch::Sender::new(None),
            process: RefCell::default(),
            ended: RefCell::new(watch::Sender::new(())),
            receipts: Cell::default(),
        })
    }

    /// Returns the number of the host.
    pub fn number(&self) -> usize {
        self.number
    }

    /// Starts the host: listens and serves connections.
    pub async fn start(self: &Rc<Self>) -> io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        self.ended.replace(watch::Sender::new(()));
        let host = self.clone();
        self.process.replace(Some(spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let mut ended = host.ended.borrow().subscribe();
                let host = host.clone();
                spawn_local(async move {
                    let mut stream = BufReader::new(stream);
                    tokio::select! {
                        // When the other side ends the connection, the host ends it too.
                        _ = host.serve(&mut stream) => {}
                        // A process that is killed resets its connections.
                        _ = ended.changed() => stream.get_ref().set_zero_linger().unwrap_or_default(),
                    }
                });
            }
        })));
        self.up.send_replace(Some(self.address));
        Ok(())
    }

    /// Kills the host: connections are reset and new ones refused.
    pub fn kill(&self) {
        self.up.send_replace(None);
        if let Some(process) = self.process.take() {
            process.abort();
        }
        self.ended.replace(watch::Sender::new(()));
    }

    /// Serves one connection.
    async fn serve(&self, stream: &mut BufReader<TcpStream>) -> io::Result<()> {
        let mut line = String::new();
        if stream.read_line(&mut line).await? == 0 {
            return Ok(());
        }
        let id = match line.split(' ').collect::<Vec<_>>()[..] {
            ["OPEN", id, _, _] => id.to_owned(),
            _ => return write_line(stream, "SYNTAX").await,
        };
        let behavior = self.behavior.get();
        if behavior.silent {
            std::future::pending::<()>().await;
        }
        if behavior.refuses {
            return write_line(stream, "BUSY").await;
        }
        self.receipts.set(self.receipts.get() + 1);
        let receipt = format!("{:02x}{:010x}", self.number, self.receipts.get());
        // From here on the request may have an effect, whether or not the answer arrives.
        self.history.add(Event::Executed { host: self.number, id, receipt: receipt.clone() });
        sleep(self.setup + behavior.slow).await;
        write_line(stream, &format!("UP {receipt}")).await?;
        loop {
            line.clear();
            if stream.read_line(&mut line).await? == 0 {
                return Ok(());
            }
            let behavior = self.behavior.get();
            if !behavior.silent {
                sleep(behavior.slow).await;
                write_line(stream, "OK").await?;
            }
        }
    }
}

/// Writes a line.
pub async fn write_line(stream: &mut BufReader<TcpStream>, line: &str) -> io::Result<()> {
    stream.get_mut().write_all(format!("{line}\r\n").as_bytes()).await
}
