//! The links between processes: everything that one process sends another passes a forwarder of the lab, which is
//! where faults of links act.
//!
//! On streams a lost piece comes [`RETRANSMIT`] later, as the sender's system would send it again; nothing of a stream is
//! doubled, overtaken or damaged, as no system would hand that on. While a link is cut bytes wait, ends and resets too, and new
//! connections never come up: the forwarder's queue of connections is kept full, so that the system drops what knocks.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::links::{LinkFaults, LinkState};
use crate::schedule::{LinkDefaults, Party};

/// A lost piece of a stream comes this much later: the shortest retransmission time of common systems.
const RETRANSMIT: Duration = Duration::from_millis(200);
/// Pieces of a stream that wait while a link is late or cut.
const PIECES: usize = 64;
/// The longest piece of a stream, and the longest datagram.
const PIECE: usize = 16 << 10;
/// Connections that wait at a forwarder's door.
const BACKLOG: i32 = 128;
/// A connection that has not come up by then waits in vain: the door is full.
const FULL: Duration = Duration::from_millis(40);

/// The links of a run on processes.
pub struct Links {
    faults: RefCell<LinkFaults>,
    rng: RefCell<Pcg64Mcg>,
    changed: watch::Sender<()>,
}

impl Links {
    /// Links without faults.
    pub fn new(base: LinkDefaults, seed: u64) -> Rc<Self> {
        let rng = RefCell::new(Pcg64Mcg::seed_from_u64(seed));
        Rc::new(Links { faults: RefCell::new(LinkFaults::new(base)), rng, changed: watch::Sender::new(()) })
    }

    /// Changes the faults that hold.
    pub fn change(&self, change: impl FnOnce(&mut LinkFaults)) {
        change(&mut self.faults.borrow_mut());
        self.changed.send_replace(());
    }

    /// What a link does now.
    pub fn link(&self, from: Party, to: Party) -> LinkState {
        self.faults.borrow().link(from, to)
    }

    fn chance(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// How much later something comes.
    fn late(&self, link: &LinkState) -> Duration {
        Duration::from_secs_f64(link.delay_s + link.jitter_s * self.chance())
    }

    /// Waits until something holds of the faults.
    async fn until(&self, holds: impl Fn(&Self) -> bool) {
        let mut changed = self.changed.subscribe();
        while !holds(self) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    fn shut(&self, one: Party, other: Party) -> bool {
        self.link(one, other).cut || self.link(other, one).cut
    }
}

/// The door of one link for connections: who knocks at `at` is led to `target`, while there is one.
pub struct StreamProxy {
    /// Who knocks.
    pub from: Party,
    /// Who is behind it.
    pub to: Party,
    /// Where the door is.
    pub at: SocketAddr,
    /// Where it leads; nowhere while the process behind it is down: connections are refused.
    pub target: watch::Receiver<Option<SocketAddr>>,
}

impl StreamProxy {
    /// Opens the door and keeps it, until it is dropped.
    pub async fn serve(mut self, links: Rc<Links>) -> io::Result<()> {
        loop {
            let Some(target) = *self.target.borrow_and_update() else {
                if self.target.changed().await.is_err() {
                    return Ok(());
                }
                continue;
            };
            let listener = TcpListener::bind(self.at).await?;
            let led = async {
                loop {
                    if links.shut(self.from, self.to) {
                        let filled = jam(&listener, self.at).await?;
                        links.until(|links| !links.shut(self.from, self.to)).await;
                        open(&listener, filled).await?;
                    }
                    let cut = links.until(|links| links.shut(self.from, self.to));
                    let stream = tokio::select! {
                        accepted = listener.accept() => accepted?.0,
                        () = cut => continue,
                    };
                    spawn_local(carry(links.clone(), self.from, self.to, stream, target));
                }
            };
            let moved = async {
                while *self.target.borrow_and_update() == Some(target) {
                    if self.target.changed().await.is_err() {
                        // Nobody will ever move it.
                        std::future::pending::<()>().await;
                    }
                }
            };
            let failed: io::Result<()> = tokio::select! { done = led => done, () = moved => Ok(()) };
            failed?;
        }
    }
}

/// Fills the queue of a listener.
async fn jam(listener: &TcpListener, at: SocketAddr) -> io::Result<Vec<TcpStream>> {
    rustix::net::listen(listener, 0)?;
    let mut filled = Vec::new();
    while let Ok(Ok(stream)) = timeout(FULL, TcpStream::connect(at)).await {
        filled.push(stream);
    }
    Ok(filled)
}

/// Empties it again; what else came through meanwhile is lost with it.
async fn open(listener: &TcpListener, filled: Vec<TcpStream>) -> io::Result<()> {
    rustix::net::listen(listener, BACKLOG)?;
    let mut own: BTreeSet<SocketAddr> = filled.iter().filter_map(|stream| stream.local_addr().ok()).collect();
    while !own.is_empty() {
        match timeout(FULL, listener.accept()).await {
            Ok(accepted) => own.remove(&accepted?.1),
            Err(_) => break,
        };
    }
    Ok(())
}

/// Carries one connection.
async fn carry(links: Rc<Links>, from: Party, to: Party, inbound: TcpStream, target: SocketAddr) {
    let Ok(outbound) = TcpStream::connect(target).await else {
        // The process behind it went down in this moment.
        inbound.set_zero_linger().unwrap_or_default();
        return;
    };
    for stream in [&inbound, &outbound] {
        stream.set_nodelay(true).unwrap_or_default();
    }
    let ((in_read, in_write), (out_read, out_write)) = (inbound.into_split(), outbound.into_split());
    let broken = Cell::new(false);
    let there = pump(&links, from, to, in_read, out_write, &broken);
    let back = pump(&links, to, from, out_read, in_write, &broken);
    // An end passes on by itself; a reset ends both directions.
    tokio::pin!(there, back);
    let (mut there_done, mut back_done) = (false, false);
    while !(broken.get() || there_done && back_done) {
        tokio::select! {
            () = &mut there, if !there_done => there_done = true,
            () = &mut back, if !back_done => back_done = true,
        }
    }
}

/// What passes a pump.
enum Piece {
    Bytes(Vec<u8>),
    End,
    Reset,
}

/// Carries one direction until its end; marks the connection as broken where it was reset.
async fn pump(
    links: &Links,
    from: Party,
    to: Party,
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    broken: &Cell<bool>,
) {
    let (send, mut receive) = mpsc::channel(PIECES);
    let reading = async {
        let mut due = Instant::now();
        loop {
            let mut piece = vec![0; PIECE];
            let piece = match read.read(&mut piece).await {
                Ok(0) => Piece::End,
                Ok(n) => {
                    piece.truncate(n);
                    Piece::Bytes(piece)
                }
                Err(_) => Piece::Reset,
            };
            let link = links.link(from, to);
            let lost = if links.chance() < link.loss { RETRANSMIT } else { Duration::ZERO };
            // A stream keeps its order.
            due = due.max(Instant::now() + links.late(&link) + lost);
            let last = !matches!(piece, Piece::Bytes(_));
            if send.send((due, piece)).await.is_err() || last {
                break;
            }
        }
        drop(send);
    };
    let writing = async {
        while let Some((due, piece)) = receive.recv().await {
            sleep_until(due).await;
            links.until(|links| !links.link(from, to).cut).await;
            let done = match piece {
                Piece::Bytes(bytes) => write.write_all(&bytes).await,
                Piece::End => write.shutdown().await,
                Piece::Reset => Err(io::ErrorKind::ConnectionReset.into()),
            };
            if done.is_err() {
                broken.set(true);
                write.as_ref().set_zero_linger().unwrap_or_default();
                return;
            }
        }
    };
    tokio::join!(reading, writing);
    if broken.get() {
        read.as_ref().set_zero_linger().unwrap_or_default();
    }
}

/// The datagrams of all members. Each member is known to the others by an address of the lab's; what comes there
/// goes on to the member's own from the sender's known one.
pub struct DatagramProxy {
    /// Each member's socket of the lab's.
    known: Vec<Rc<UdpSocket>>,
    /// Each member's own address.
    own: Vec<SocketAddr>,
    links: Rc<Links>,
}

impl DatagramProxy {
    /// Opens the known addresses; `own` are the members' own ones.
    pub async fn open(links: Rc<Links>, known: &[SocketAddr], own: Vec<SocketAddr>) -> io::Result<Rc<Self>> {
        let mut sockets = Vec::new();
        for at in known {
            sockets.push(Rc::new(UdpSocket::bind(at).await?));
        }
        Ok(Rc::new(DatagramProxy { known: sockets, own, links }))
    }

    /// Carries what comes for one member, until it is dropped.
    pub async fn carry(self: Rc<Self>, to: usize) {
        let mut data = vec![0; PIECE];
        loop {
            let Ok((length, from)) = self.known[to].recv_from(&mut data).await else {
                // A member that is down refuses what was sent to it.
                sleep(Duration::from_millis(1)).await;
                continue;
            };
            let Some(sender) = self.own.iter().position(|own| *own == from) else { continue };
            let link = self.links.link(Party::Node(sender), Party::Node(to));
            if link.cut || self.links.chance() < link.loss {
                continue;
            }
            let mut bytes = data[..length].to_vec();
            if self.links.chance() < link.damage && !bytes.is_empty() {
                let at = (self.links.chance() * bytes.len() as f64) as usize;
                bytes[at] ^= 1 << ((self.links.chance() * 8.0) as u32);
            }
            let copies = 1 + usize::from(self.links.chance() < link.duplicate);
            for _ in 0..copies {
                let overtaken =
                    if self.links.chance() < link.reorder { 3.0 * link.delay_s + 0.01 } else { 0.0 };
                let late = self.links.late(&link) + Duration::from_secs_f64(overtaken);
                let (mail, bytes) = (self.clone(), bytes.clone());
                spawn_local(async move {
                    sleep(late).await;
                    // One that is lost on its last metre is lost.
                    let _ = mail.known[sender].send_to(&bytes, mail.own[to]).await;
                });
            }
        }
    }
}
