//! Stand-in hosts: they set connections up, answer each line, and do what faults say.

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

/// How a host behaves.
#[derive(Clone, Copy, Debug, Default)]
pub struct Behavior {
    /// It takes that much longer for everything.
    pub slow: Duration,
    /// It says nothing.
    pub silent: bool,
    /// It turns new connections away.
    pub refuses: bool,
}

/// One stand-in host.
pub struct Host {
    number: usize,
    at: SocketAddr,
    setup: Duration,
    history: Rc<History>,
    /// How it behaves.
    pub behavior: Cell<Behavior>,
    /// Where it is reached; nowhere while it is down.
    pub up: watch::Sender<Option<SocketAddr>>,
    /// Ends with the process that it stands for.
    process: RefCell<Option<JoinHandle<()>>>,
    ended: RefCell<watch::Sender<()>>,
    receipts: Cell<u64>,
}

impl Host {
    /// A host that is down.
    pub fn new(number: usize, at: SocketAddr, setup: Duration, history: Rc<History>) -> Rc<Self> {
        Rc::new(Host {
            number,
            at,
            setup,
            history,
            behavior: Cell::default(),
            up: watch::Sender::new(None),
            process: RefCell::default(),
            ended: RefCell::new(watch::Sender::new(())),
            receipts: Cell::default(),
        })
    }

    /// Its number.
    pub fn number(&self) -> usize {
        self.number
    }

    /// Starts its process.
    pub async fn start(self: &Rc<Self>) -> io::Result<()> {
        let listener = TcpListener::bind(self.at).await?;
        self.ended.replace(watch::Sender::new(()));
        let host = self.clone();
        self.process.replace(Some(spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let mut ended = host.ended.borrow().subscribe();
                let host = host.clone();
                spawn_local(async move {
                    let mut stream = BufReader::new(stream);
                    tokio::select! {
                        // An end of the other side is the end here too.
                        _ = host.serve(&mut stream) => {}
                        // A process that dies resets its connections.
                        _ = ended.changed() => stream.get_ref().set_zero_linger().unwrap_or_default(),
                    }
                });
            }
        })));
        self.up.send_replace(Some(self.at));
        Ok(())
    }

    /// Ends its process: connections are reset, new ones refused.
    pub fn kill(&self) {
        self.up.send_replace(None);
        if let Some(process) = self.process.take() {
            process.abort();
        }
        self.ended.replace(watch::Sender::new(()));
    }

    async fn serve(&self, stream: &mut BufReader<TcpStream>) -> io::Result<()> {
        let mut line = String::new();
        if stream.read_line(&mut line).await? == 0 {
            return Ok(());
        }
        let id = match line.split(' ').collect::<Vec<_>>()[..] {
            ["OPEN", id, _, _] => id.to_owned(),
            _ => return say(stream, "SYNTAX").await,
        };
        let behavior = self.behavior.get();
        if behavior.silent {
            std::future::pending::<()>().await;
        }
        if behavior.refuses {
            return say(stream, "BUSY").await;
        }
        self.receipts.set(self.receipts.get() + 1);
        let receipt = format!("{:02x}{:010x}", self.number, self.receipts.get());
        // From here on it may have an effect, whatever becomes of the answer.
        self.history.add(Event::Executed { host: self.number, id, receipt: receipt.clone() });
        sleep(self.setup + behavior.slow).await;
        say(stream, &format!("UP {receipt}")).await?;
        loop {
            line.clear();
            if stream.read_line(&mut line).await? == 0 {
                return Ok(());
            }
            let behavior = self.behavior.get();
            if !behavior.silent {
                sleep(behavior.slow).await;
                say(stream, "OK").await?;
            }
        }
    }
}

/// Writes a line.
pub async fn say(stream: &mut BufReader<TcpStream>, line: &str) -> io::Result<()> {
    stream.get_mut().write_all(format!("{line}\r\n").as_bytes()).await
}
