//! Proxies between processes: all traffic from one process to another passes a proxy of the lab, which
//! applies the link faults.
//!
//! On streams, a lost chunk is delayed by [`RETRANSMIT_DELAY`], like a retransmission by the sender's system.
//! Chunks of a stream are never duplicated, reordered or damaged, as no TCP implementation delivers such
//! data. While a link is cut, bytes wait, as do the ends and resets of streams, and new connections are never
//! established: the accept queue of the proxy's listener is kept full, so that the system drops connection
//! requests.

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

/// Additional delay of a lost chunk of a stream: the shortest retransmission timeout of common systems.
const RETRANSMIT_DELAY: Duration = Duration::from_millis(200);
/// Number of chunks of a stream that are buffered while a link is delayed or cut.
const MAX_BUFFERED_CHUNKS: usize = 64;
/// Maximum size of a chunk of a stream, and of a datagram, in bytes.
const MAX_CHUNK_BYTES: usize = 16 << 10;
/// Backlog of a proxy's listener, in connections.
const BACKLOG: i32 = 128;
/// Timeout of connecting to a listener whose accept queue is being filled: a connection that is not
/// established by then shows that the queue is full.
const QUEUE_FULL_TIMEOUT: Duration = Duration::from_millis(40);

/// Links of a run on processes, with their active faults.
pub struct Links {
    faults: RefCell<LinkFaults>,
    rng: RefCell<Pcg64Mcg>,
    changed: watch::Sender<()>,
}

impl Links {
    /// Returns links without faults; `base` applies to all of them.
    pub fn new(base: LinkDefaults, seed: u64) -> Rc<Self> {
        let rng = RefCell::new(Pcg64Mcg::seed_from_u64(seed));
        Rc::new(Links { faults: RefCell::new(LinkFaults::new(base)), rng, changed: watch::Sender::new(()) })
    }

    /// Changes the active faults and notifies the proxies.
    pub fn change(&self, change: impl FnOnce(&mut LinkFaults)) {
        change(&mut self.faults.borrow_mut());
        self.changed.send_replace(());
    }

    /// Returns the current properties of the link from `from` to `to`.
    pub fn link(&self, from: Party, to: Party) -> LinkState {
        self.faults.borrow().link(from, to)
    }

    /// Draws a number from 0 to 1.
    fn chance(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// Draws the delay of one chunk or datagram.
    fn delay(&self, link: &LinkState) -> Duration {
        Duration::from_secs_f64(link.delay_s + link.jitter_s * self.chance())
    }

    /// Waits until the faults satisfy a condition.
    async fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        let mut changed = self.changed.subscribe();
        while !condition(self) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns whether a link is cut in any direction.
    fn is_cut(&self, one: Party, other: Party) -> bool {
        self.link(one, other).cut || self.link(other, one).cut
    }
}

/// Proxy for the connections of one link: forwards connections to `listen` to `target`, while there is one.
pub struct StreamProxy {
    /// Connecting party.
    pub from: Party,
    /// Party behind the proxy.
    pub to: Party,
    /// Address on which the proxy listens.
    pub listen: SocketAddr,
    /// Address of the process behind the proxy; `None` while it is down: connections are refused.
    pub target: watch::Receiver<Option<SocketAddr>>,
}

impl StreamProxy {
    /// Listens and forwards connections, until the future is dropped.
    pub async fn serve(mut self, links: Rc<Links>) -> io::Result<()> {
        loop {
            let Some(target) = *self.target.borrow_and_update() else {
                if self.target.changed().await.is_err() {
                    return Ok(());
                }
                continue;
            };
            let listener = TcpListener::bind(self.listen).await?;
            let forwarded = async {
                loop {
                    if links.is_cut(self.from, self.to) {
                        let filled = fill_accept_queue(&listener, self.listen).await?;
                        links.wait_until(|links| !links.is_cut(self.from, self.to)).await;
                        empty_accept_queue(&listener, filled).await?;
                    }
                    let cut = links.wait_until(|links| links.is_cut(self.from, self.to));
                    let stream = tokio::select! {
                        accepted = listener.accept() => accepted?.0,
                        () = cut => continue,
                    };
                    spawn_local(forward_connection(links.clone(), self.from, self.to, stream, target));
                }
            };
            let target_changed = async {
                while *self.target.borrow_and_update() == Some(target) {
                    if self.target.changed().await.is_err() {
                        // The target can't change any more.
                        std::future::pending::<()>().await;
                    }
                }
            };
            let result: io::Result<()> =
                tokio::select! { done = forwarded => done, () = target_changed => Ok(()) };
            result?;
        }
    }
}

/// Fills the accept queue of a listener, so that the system drops further connection requests. Returns the
/// connections that fill it.
async fn fill_accept_queue(listener: &TcpListener, listen: SocketAddr) -> io::Result<Vec<TcpStream>> {
    rustix::net::listen(listener, 0)?;
    let mut filled = Vec::new();
    while let Ok(Ok(stream)) = timeout(QUEUE_FULL_TIMEOUT, TcpStream::connect(listen)).await {
        filled.push(stream);
    }
    Ok(filled)
}

/// Empties the accept queue again; connections of others that entered the queue meanwhile are dropped as
/// well.
async fn empty_accept_queue(listener: &TcpListener, filled: Vec<TcpStream>) -> io::Result<()> {
    rustix::net::listen(listener, BACKLOG)?;
    let mut own: BTreeSet<SocketAddr> = filled.iter().filter_map(|stream| stream.local_addr().ok()).collect();
    while !own.is_empty() {
        match timeout(QUEUE_FULL_TIMEOUT, listener.accept()).await {
            Ok(accepted) => own.remove(&accepted?.1),
            Err(_) => break,
        };
    }
    Ok(())
}

/// Forwards one connection in both directions.
async fn forward_connection(
    links: Rc<Links>,
    from: Party,
    to: Party,
    inbound: TcpStream,
    target: SocketAddr,
) {
    let Ok(outbound) = TcpStream::connect(target).await else {
        // The process behind the proxy has just exited.
        inbound.set_zero_linger().unwrap_or_default();
        return;
    };
    for stream in [&inbound, &outbound] {
        stream.set_nodelay(true).unwrap_or_default();
    }
    let ((in_read, in_write), (out_read, out_write)) = (inbound.into_split(), outbound.into_split());
    let broken = Cell::new(false);
    let forward = forward_stream(&links, from, to, in_read, out_write, &broken);
    let reverse = forward_stream(&links, to, from, out_read, in_write, &broken);
    // The end of a stream is forwarded in its own direction; a reset ends both directions.
    tokio::pin!(forward, reverse);
    let (mut forward_done, mut reverse_done) = (false, false);
    while !(broken.get() || forward_done && reverse_done) {
        tokio::select! {
            () = &mut forward, if !forward_done => forward_done = true,
            () = &mut reverse, if !reverse_done => reverse_done = true,
        }
    }
}

/// A part of a stream.
enum Chunk {
    Bytes(Vec<u8>),
    End,
    Reset,
}

/// Forwards one direction of a connection until its end; marks the connection as broken if it was reset.
async fn forward_stream(
    links: &Links,
    from: Party,
    to: Party,
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    broken: &Cell<bool>,
) {
    let (send, mut receive) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let reading = async {
        let mut due = Instant::now();
        loop {
            let mut chunk = vec![0; MAX_CHUNK_BYTES];
            let chunk = match read.read(&mut chunk).await {
                Ok(0) => Chunk::End,
                Ok(n) => {
                    chunk.truncate(n);
                    Chunk::Bytes(chunk)
                }
                Err(_) => Chunk::Reset,
            };
            let link = links.link(from, to);
            let retransmission = if links.chance() < link.loss { RETRANSMIT_DELAY } else { Duration::ZERO };
            // Chunks of a stream stay in order.
            due = due.max(Instant::now() + links.delay(&link) + retransmission);
            let last = !matches!(chunk, Chunk::Bytes(_));
            if send.send((due, chunk)).await.is_err() || last {
                break;
            }
        }
        drop(send);
    };
    let writing = async {
        while let Some((due, chunk)) = receive.recv().await {
            sleep_until(due).await;
            links.wait_until(|links| !links.link(from, to).cut).await;
            let result = match chunk {
                Chunk::Bytes(bytes) => write.write_all(&bytes).await,
                Chunk::End => write.shutdown().await,
                Chunk::Reset => Err(io::ErrorKind::ConnectionReset.into()),
            };
            if result.is_err() {
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

/// Proxy for the datagrams of all members. Each member advertises an address of the proxy; datagrams to it
/// are sent on to the member's own address, from the advertised address of the sender.
pub struct DatagramProxy {
    /// Sockets on the advertised addresses, by member.
    advertised: Vec<Rc<UdpSocket>>,
    /// Addresses on which the members listen.
    members: Vec<SocketAddr>,
    links: Rc<Links>,
}

impl DatagramProxy {
    /// Binds the advertised addresses; `members` are the addresses on which the members listen.
    pub async fn open(
        links: Rc<Links>,
        advertised: &[SocketAddr],
        members: Vec<SocketAddr>,
    ) -> io::Result<Rc<Self>> {
        let mut sockets = Vec::new();
        for address in advertised {
            sockets.push(Rc::new(UdpSocket::bind(address).await?));
        }
        Ok(Rc::new(DatagramProxy { advertised: sockets, members, links }))
    }

    /// Forwards the datagrams to one member, until the future is dropped.
    pub async fn forward(self: Rc<Self>, to: usize) {
        let mut data = vec![0; MAX_CHUNK_BYTES];
        loop {
            let Ok((length, from)) = self.advertised[to].recv_from(&mut data).await else {
                // Sending to a member that is down makes the socket report that the datagram was refused.
                sleep(Duration::from_millis(1)).await;
                continue;
            };
            let Some(sender) = self.members.iter().position(|member| *member == from) else { continue };
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
                let reorder_delay =
                    if self.links.chance() < link.reorder { 3.0 * link.delay_s + 0.01 } else { 0.0 };
                let delay = self.links.delay(&link) + Duration::from_secs_f64(reorder_delay);
                let (proxy, bytes) = (self.clone(), bytes.clone());
                spawn_local(async move {
                    sleep(delay).await;
                    // Datagrams may get lost: a failure to send one is ignored.
                    let _ = proxy.advertised[sender].send_to(&bytes, proxy.members[to]).await;
                });
            }
        }
    }
}
