//! One client's connection, from its first line to its final answer and its end.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use alderstile::balancer::{ConnectionRequest, Verdict};
use alderstile::types::{GroupId, Micros, Outcome, RequestId, ServerId};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use tracing::{debug, info, warn};

use crate::admin::metrics::RequestOutcome;
use crate::discovery::endpoint_list::server_id;
use crate::discovery::endpoint_table::HostAddress;
use crate::lifecycle::connection_handover::{self, Handover};
use crate::lifecycle::upgrade_channel::{WORD, Word};
use crate::node::Node;
use crate::proxy::backlog::Pending;
use crate::proxy::clients::{Counted, OpenId};
use crate::proxy::line_buffer::LineBuffer;
use crate::proxy::line_stream::{self, Pulled, Side};
use crate::proxy::protocol::{ClientLine, HostLine, Open, client_line, host_line};
use crate::proxy::relay::{self, Carried, Ending};
use crate::proxy::termination_reason::Reason;

/// A client that has sent no whole first line after this long is none: it is owed a word or a close within 3 s.
const FIRST_LINE: Duration = Duration::from_secs(2);
/// The node stops waiting this long before the client does: its answer must still reach the client.
const MARGIN: Duration = Duration::from_millis(10);
/// The node itself waits no longer than this, whatever the client says.
const LONGEST_WAIT: Duration = Duration::from_secs(600);
/// A connection that stood before this node's start is tried again this often where its host cannot be reached.
const STANDING_RETRY: Duration = Duration::from_millis(250);
/// Bytes of a first line turned away that are logged.
const LOGGED: usize = 120;

/// Serves one connection.
pub async fn run(node: Rc<Node>, stream: TcpStream, pending: Pending) {
    let mut client = Side::new(stream);
    let greeted = tokio::select! {
        biased;
        greeted = timeout(FIRST_LINE, greet(&node, &mut client)) => greeted.unwrap_or(Err(Reason::ClientSilent)),
        () = async {
            pending.evicted().await;
            // Guards against showing out one whose line has come but was not looked for yet, as many come at once: the
            // runtime looks once more before this goes on.
            tokio::task::yield_now().await;
        } => Err(Reason::ClientShownOut),
        // It has asked for nothing, and the process can't wait for it.
        () = node.process.last_call() => Err(Reason::NodeLeaving),
    };
    let line = match greeted {
        Ok(line) => line,
        // The front asks many times a second.
        Err(Reason::Pinged) => return debug!("end code={}", Reason::Pinged),
        Err(reason @ Reason::ClientOverlong) => {
            info!("end code={reason}");
            return turn_away(client, pending).await;
        }
        Err(reason) => return info!("end code={reason}"),
    };
    let arrived = Instant::now();
    match admit(&node, &line) {
        Ok((open, class, _id)) => {
            drop(pending);
            Session { node, line: &line, open, class, arrived, attempts: 0, up_ms: 0 }.run(client).await;
        }
        Err(reason) => {
            // A part is enough to tell what it was meant to be, and a flood must not fill the log.
            let shown = String::from_utf8_lossy(&line[..line.len().min(LOGGED)]).into_owned();
            info!("end code={reason} line={shown:?}");
            turn_away(client, pending).await;
        }
    }
}

/// Answers the front until another line comes: that line, or why there is none.
async fn greet(node: &Node, client: &mut Side) -> Result<Vec<u8>, Reason> {
    let mut pinged = false;
    loop {
        match client.line().await {
            Ok(()) => {}
            Err(Pulled::Overlong) => return Err(Reason::ClientOverlong),
            Err(_) if pinged => return Err(Reason::Pinged),
            Err(Pulled::Reset) => return Err(Reason::ClientReset),
            Err(_) => return Err(Reason::ClientLeft),
        }
        let line = client.buffer.line().unwrap_or_default().to_vec();
        client.buffer.consume_line();
        if client_line(&line) != Some(ClientLine::Ping) {
            return Ok(line);
        }
        pinged = true;
        if !node.wanted() || client.stream.write_all(b"PONG\r\n").await.is_err() {
            return Err(Reason::Pinged);
        }
    }
}

/// What a first line asks for, its class, and its id while the request is open. Guards against what no host would
/// take: a host's refusal of it would be held against the host.
fn admit<'a>(node: &Node, line: &'a [u8]) -> Result<(Open<'a>, u16, OpenId), Reason> {
    let Some(ClientLine::Open(open)) = client_line(line) else { return Err(Reason::ClientMalformed) };
    let class = node.clients.class(open.class).ok_or(Reason::ClientUnknownClass)?;
    let Some(id) = node.clients.open_id(open.id) else {
        node.clients.count(|counters| counters.count_outcome(class, RequestOutcome::Failure));
        return Err(Reason::ClientDuplicateId);
    };
    Ok((open, class, id))
}

/// Ends the connection of one that is never served; at once where its place is wanted.
async fn turn_away(client: Side, pending: Pending) {
    tokio::select! {
        () = client.close_with(b"ERR\r\n") => {}
        () = pending.evicted() => {}
    }
}

/// A client that waits for a host, and what it sent.
struct Session<'a> {
    node: Rc<Node>,
    line: &'a [u8],
    open: Open<'a>,
    class: u16,
    arrived: Instant,
    attempts: u32,
    /// How long the attempt took that came up.
    up_ms: u128,
}

/// A connection to a host that is up.
struct Up {
    id: RequestId,
    server: ServerId,
    name: Rc<str>,
    host: Side,
    _descriptor: Counted,
}

/// How a request was placed.
enum Placed {
    Up(Up),
    /// Final answer: this line.
    Answered(Reason, Vec<u8>),
    ClientGone,
}

impl Placed {
    /// Nobody waits any more. Who said what no host may be sent is still there, and owed an answer.
    fn unwanted(ended: Pulled) -> Self {
        match ended {
            Pulled::Overlong => Placed::Answered(Reason::ClientOverlong, b"ERR\r\n".to_vec()),
            _ => Placed::ClientGone,
        }
    }
}

impl Session<'_> {
    async fn run(mut self, mut client: Side) {
        let taken = self.node.clients.take();
        let wait = Duration::from_millis(self.open.wait_ms).min(LONGEST_WAIT);
        let deadline = self.arrived + wait.saturating_sub(MARGIN);
        let placed = match self.open.at {
            Some(at) => self.adopt(&mut client, server_id(&String::from_utf8_lossy(at)), deadline).await,
            None => self.place(&mut client, deadline).await,
        };
        match placed {
            Placed::Up(up) => {
                self.count(RequestOutcome::Success);
                self.serve(client, up, taken, None).await;
            }
            Placed::Answered(reason, line) => {
                self.log(reason, "-");
                let failed = matches!(reason, Reason::Failed | Reason::ClientOverlong);
                self.count(if failed { RequestOutcome::Failure } else { RequestOutcome::Rejected });
                drop(taken);
                client.close_with(&line).await;
            }
            Placed::ClientGone => self.log(Reason::ClientGaveUp, "-"),
        }
    }

    fn count(&self, how: RequestOutcome) {
        self.node.clients.count(|counters| counters.count_outcome(self.class, how));
    }

    fn log(&self, reason: Reason, host: &str) {
        let (id, attempts) = (String::from_utf8_lossy(self.open.id), self.attempts);
        let class = String::from_utf8_lossy(self.open.class);
        let ms = self.arrived.elapsed().as_millis();
        let up_ms = self.up_ms;
        info!(
            "end code={reason} id={id} class={class} host={host} attempts={attempts} up_ms={up_ms} ms={ms}"
        );
    }

    fn ask(&self, remaining: Duration) -> ConnectionRequest {
        let group = self.open.group.map(group_number);
        // Whether it counts as a group is the settings' to say, and a watching instance may have others.
        ConnectionRequest {
            class: self.class,
            group: group.map(GroupId),
            key: group,
            expected_load: self.open.hint,
            remaining: micros(remaining),
        }
    }

    /// Places a request where the decisions say, until it is up or answered.
    async fn place(&mut self, client: &mut Side, deadline: Instant) -> Placed {
        // The host's connection needs a descriptor too. Guards against clients that take all there are and stay: what is left
        // for those who come would be one, and a crowd that says nothing would have that by turns.
        let Some(descriptor) = self.node.clients.descriptor(self.node.clients.backlog.places()) else {
            return Placed::Answered(Reason::NodeFull, b"BUSY\r\n".to_vec());
        };
        let mut descriptor = Some(descriptor);
        let shown = String::from_utf8_lossy(self.open.id).into_owned();
        let ask = self.ask(deadline.saturating_duration_since(Instant::now()));
        let (id, mut answer) = self.node.decisions.decide(|balancer, now| balancer.place(now, ask));
        loop {
            let (server, within) = match answer {
                Verdict::Forward(server, within) => (server, within),
                Verdict::Reject(None) => return Placed::Answered(Reason::Refused, b"BUSY\r\n".to_vec()),
                Verdict::Reject(Some(wait)) => {
                    let line = format!("BUSY {}\r\n", wait.0.div_ceil(1_000)).into_bytes();
                    return Placed::Answered(Reason::Refused, line);
                }
                Verdict::Fail => return Placed::Answered(Reason::Failed, b"FAILED\r\n".to_vec()),
            };
            self.attempts += 1;
            let began = Instant::now();
            let until = within.map_or(deadline, |span| deadline.min(began + Duration::from_micros(span.0)));
            let (outcome, host) = match self.node.decisions.host(server) {
                None => (Outcome::ConnectFailed, None),
                Some(at) => {
                    let may_go = || self.node.decisions.may_send(id, server, at.address);
                    match self.attempt(client, &at, until, may_go).await {
                        Tried::Unwanted(ended) => {
                            self.node
                                .decisions
                                .decide(|balancer, now| balancer.on_client_disconnected(now, id));
                            return Placed::unwanted(ended);
                        }
                        Tried::Up(host) => (Outcome::Ok, Some((host, at.name))),
                        Tried::Failed(outcome) => (outcome, None),
                    }
                }
            };
            if let Some((host, name)) = host {
                let latency = began.elapsed();
                self.up_ms = latency.as_millis();
                self.node.decisions.decide(|balancer, now| balancer.on_established(now, id, micros(latency)));
                self.node.decisions.on_accepted(server, began);
                let Some(descriptor) = descriptor.take() else { return Placed::ClientGone };
                return Placed::Up(Up { id, server, name, host, _descriptor: descriptor });
            }
            let (name, ms) = (self.node.decisions.host_name(server), began.elapsed().as_millis());
            debug!("attempt id={shown} host={name} outcome={outcome:?} ms={ms}");
            answer = self
                .node
                .decisions
                .decide(|balancer, now| balancer.on_attempt_failed(now, id, server, outcome));
        }
    }

    /// Takes a connection back to the host where it stood before this node's start.
    async fn adopt(&mut self, client: &mut Side, server: ServerId, deadline: Instant) -> Placed {
        let Some(descriptor) = self.node.clients.descriptor(1) else {
            return Placed::Answered(Reason::NodeFull, b"BUSY\r\n".to_vec());
        };
        loop {
            self.attempts += 1;
            let tried = match self.node.decisions.host(server) {
                // Whatever the list says of it by now: the connection stood there before.
                Some(at) => (self.attempt(client, &at, deadline, || true).await, at.name),
                None => (Tried::Failed(Outcome::ConnectFailed), "".into()),
            };
            match tried {
                (Tried::Up(host), name) => {
                    let ask = self.ask(Duration::ZERO);
                    let id = self
                        .node
                        .decisions
                        .decide(|balancer, now| balancer.adopt_connection(now, ask, server));
                    return Placed::Up(Up { id, server, name, host, _descriptor: descriptor });
                }
                (Tried::Unwanted(ended), _) => return Placed::unwanted(ended),
                // What never ran may be tried again: the host may still be on its way up.
                (Tried::Failed(outcome), _) if !outcome.may_have_run() => {
                    let next = Instant::now() + STANDING_RETRY;
                    if next < deadline {
                        match self.while_wanted(client, sleep_until(next)).await {
                            Ok(()) => continue,
                            Err(CutShort::Client(ended)) => return Placed::unwanted(ended),
                            Err(CutShort::Stop) => {}
                        }
                    }
                }
                _ => {}
            }
            return Placed::Answered(Reason::Failed, b"FAILED\r\n".to_vec());
        }
    }

    /// Does a part of what a client waits for, until it leaves or the time of a stop is nearly over. The client is looked
    /// at first: what has come from it in the same moment counts.
    async fn while_wanted<T>(&self, client: &mut Side, work: impl Future<Output = T>) -> Result<T, CutShort> {
        tokio::pin!(work);
        loop {
            tokio::select! {
                biased;
                more = client.more() => more.map_err(CutShort::Client)?,
                () = self.node.process.last_call() => return Err(CutShort::Stop),
                done = &mut work => return Ok(done),
            }
        }
    }

    /// One attempt. `may_go` tells whether it may still be sent.
    async fn attempt(
        &self,
        client: &mut Side,
        at: &HostAddress,
        until: Instant,
        may_go: impl Fn() -> bool,
    ) -> Tried {
        let mut sent = false;
        match self.exchange(client, at, until, may_go, &mut sent).await {
            Ok(tried) => tried,
            Err(CutShort::Client(ended)) => Tried::Unwanted(ended),
            Err(CutShort::Stop) => Tried::Failed(if sent { Outcome::Timeout } else { Outcome::NotForwarded }),
        }
    }

    async fn exchange(
        &self,
        client: &mut Side,
        at: &HostAddress,
        until: Instant,
        may_go: impl Fn() -> bool,
        sent: &mut bool,
    ) -> Result<Tried, CutShort> {
        if !may_go() {
            // No connection is made for what would not be sent on it.
            return Ok(Tried::Failed(Outcome::NotForwarded));
        }
        let connect_until = until.min(Instant::now() + self.node.config().connect_timeout);
        let connected = timeout_at(connect_until, TcpStream::connect(at.address));
        let stream = match self.while_wanted(client, connected).await? {
            Ok(Ok(stream)) => stream,
            // Nothing was sent, and it says nothing of the host.
            Ok(Err(error)) if line_stream::is_own_want(&error) => {
                return Ok(Tried::Failed(Outcome::NotForwarded));
            }
            _ => return Ok(Tried::Failed(Outcome::ConnectFailed)),
        };
        let mut host = Side::new(stream);
        let mut line = Vec::new();
        let mut written = 0;
        while written == 0 || written < line.len() {
            if written == 0 {
                // Guards against what came while the connection did: the end of the client's time, a list, an operator's
                // word. It must be true at the first byte. The client itself was looked at in this very step.
                let left = until.saturating_duration_since(Instant::now()).as_millis();
                if left == 0 || !may_go() {
                    return Ok(Tried::Failed(Outcome::NotForwarded));
                }
                line = self.open.for_host(self.line, u64::try_from(left).unwrap_or(u64::MAX));
            }
            match host.stream.try_write(&line[written..]) {
                Ok(count) => written += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    let writable = timeout_at(until, host.stream.writable());
                    if !matches!(self.while_wanted(client, writable).await?, Ok(Ok(()))) {
                        return Ok(Tried::Failed(Outcome::ConnectFailed));
                    }
                }
                // Until the last byte is out nothing can have run.
                Err(_) => return Ok(Tried::Failed(Outcome::ConnectFailed)),
            }
        }
        *sent = true;
        self.node.clients.count(|counters| counters.attempts_sent += 1);
        let tried = match self.while_wanted(client, timeout_at(until, host.line())).await? {
            Err(_) => Tried::Failed(Outcome::Timeout),
            Ok(Err(Pulled::Overlong)) => Tried::Failed(Outcome::Error),
            Ok(Err(_)) => Tried::Failed(Outcome::Reset),
            Ok(Ok(())) => match host_line(host.buffer.line().unwrap_or_default()) {
                HostLine::Up => Tried::Up(host),
                HostLine::Busy => Tried::Failed(Outcome::Rejected),
                HostLine::Move => Tried::Failed(Outcome::Cancelled),
                _ => Tried::Failed(Outcome::Error),
            },
        };
        Ok(tried)
    }

    /// Passes `UP` and everything after it on, until one side ends.
    async fn serve(&self, mut client: Side, up: Up, taken: Counted, carried: Option<Carried>) {
        let Up { id, server, name, mut host, _descriptor } = up;
        let shown = String::from_utf8_lossy(self.open.id);
        debug!("up id={shown} number={} host={name} attempts={} up_ms={}", id.0, self.attempts, self.up_ms);
        let mover = self.node.clients.serve(id);
        let (mut reason, mut ending) =
            relay::run(&self.node.decisions, &mut client, &mut host, (id, server), &mover, carried).await;
        if let Ending::HandOver(carried) = ending
            && let Err(error) = self.hand_over(&client, &host, &name, carried).await
        {
            debug!("not passed on: id={shown}: {error}");
            (reason, ending) = relay::send_away(&mut host, &client, Reason::NodeLeaving).await;
        }
        self.node.clients.unserve(id);
        self.node.decisions.decide(|balancer, now| match reason {
            Reason::ClientLeft | Reason::ClientReset | Reason::ClientOverlong | Reason::ClientStuck => {
                balancer.on_client_disconnected(now, id)
            }
            Reason::Served => balancer.on_connection_ended(now, id, server, Outcome::Ok),
            Reason::Moved | Reason::NodeLeaving | Reason::HandedOver | Reason::HostMoved => {
                balancer.on_connection_ended(now, id, server, Outcome::Cancelled)
            }
            _ => balancer.on_connection_ended(now, id, server, Outcome::Reset),
        });
        self.log(reason, &name);
        drop(taken);
        match ending {
            Ending::Both(last) => {
                drop(host);
                client.close_with(last).await;
            }
            Ending::Reset => {
                host.reset();
                client.reset();
            }
            // The other process holds both: ending these here ends nothing.
            Ending::HandOver(_) => {}
        }
    }

    /// Passes the connection on to the process that takes over.
    async fn hand_over(&self, client: &Side, host: &Side, name: &str, carried: Carried) -> io::Result<()> {
        let to = self.node.clients.handover().ok_or(io::ErrorKind::NotConnected)?;
        let (number, taken) = self.node.process.linked().map(|link| link.owe()).unzip();
        let millis = |ms: u128| u64::try_from(ms).unwrap_or(u64::MAX);
        let passed = Handover {
            line: String::from_utf8_lossy(self.line).into_owned(),
            host: name.to_owned(),
            from_client: client.buffer.bytes().to_vec(),
            from_host: host.buffer.bytes().to_vec(),
            carried,
            attempts: self.attempts,
            up_ms: millis(self.up_ms),
            age_ms: millis(self.arrived.elapsed().as_millis()),
            number,
        };
        connection_handover::send(&to, passed, [&client.stream, &host.stream]).await?;
        // Guards against a successor that ends before it has read this: both sides are held until it says that it has them.
        // One of an older version never says so.
        let Some(taken) = taken else { return Ok(()) };
        match timeout(WORD, taken).await {
            Ok(Err(_)) => Err(io::ErrorKind::ConnectionAborted.into()),
            Ok(Ok(())) | Err(_) => Ok(()),
        }
    }
}

/// Goes on with a connection that the process before has passed on.
pub async fn resume(node: Rc<Node>, passed: Handover, sockets: Vec<std::net::TcpStream>) {
    let line = passed.line.as_bytes();
    let Some(ClientLine::Open(open)) = client_line(line) else {
        return warn!("a connection passed on with a line that is none");
    };
    let sockets: io::Result<Vec<_>> = sockets.into_iter().map(TcpStream::from_std).collect();
    let [client, host] = match sockets.map(<[TcpStream; 2]>::try_from) {
        Ok(Ok(both)) => both,
        Ok(Err(sockets)) => return warn!("a connection passed on with {} sockets", sockets.len()),
        Err(error) => return warn!("a connection passed on: {error}"),
    };
    let buffers = (LineBuffer::holding(&passed.from_client), LineBuffer::holding(&passed.from_host));
    let (Some(from_client), Some(from_host)) = buffers else {
        return warn!("a connection passed on with more than its buffers hold");
    };
    let _descriptor = node.clients.passed_descriptor();
    let _id = node.clients.passed_id(open.id);
    // Its class may have gone: it keeps a number that no class has.
    let class = node.clients.class(open.class).unwrap_or(u16::MAX);
    let now = Instant::now();
    let arrived = now.checked_sub(Duration::from_millis(passed.age_ms)).unwrap_or(now);
    let (attempts, up_ms) = (passed.attempts, u128::from(passed.up_ms));
    let session = Session { node: node.clone(), line, open, class, arrived, attempts, up_ms };
    let (ask, server) = (session.ask(Duration::ZERO), server_id(&passed.host));
    let id = node.decisions.decide(|balancer, now| {
        let id = balancer.adopt_connection(now, ask, server);
        passed.carried.load.iter().for_each(|load| balancer.on_load_report(now, id, server, *load));
        id
    });
    if let Some((link, number)) = node.process.linked().zip(passed.number) {
        link.say(Word::Done { number });
    }
    let host = Side { buffer: from_host, ..Side::new(host) };
    let client = Side { buffer: from_client, ..Side::new(client) };
    let up = Up {
        id,
        server,
        name: passed.host.as_str().into(),
        host,
        _descriptor: node.clients.passed_descriptor(),
    };
    session.serve(client, up, node.clients.take(), Some(passed.carried)).await;
}

/// What came of one attempt.
enum Tried {
    Up(Side),
    Failed(Outcome),
    /// The client's side ended so.
    Unwanted(Pulled),
}

/// Why nobody waits for a part of an attempt any more.
enum CutShort {
    /// The client's side ended so.
    Client(Pulled),
    /// The time of a stop is nearly over.
    Stop,
}

fn micros(span: Duration) -> Micros {
    Micros(u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
}

/// A client's or group's number: ids are 16 hexadecimal digits; others are mixed to a number.
fn group_number(group: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(group);
    u64::from_str_radix(&text, 16).unwrap_or_else(|_| server_id(&text).0)
}
