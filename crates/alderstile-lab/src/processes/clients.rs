//! Stub clients, and the selector that distributes them among the nodes like a front load balancer.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use super::hosts::write_line;
use crate::history::{Event, History};
use crate::schedule::ClientClass;

/// Interval of health checks of each node, and their timeout.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A node that has not answered a health check for this long receives no more clients.
const UNHEALTHY_AFTER: Duration = Duration::from_secs(2);
/// Interval at which a connected client sends a line, and at which each client is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of the answer to a line.
const LINE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a client waits for its answer beyond the deadline in its request.
const DEADLINE_GRACE: Duration = Duration::from_millis(1_500);

/// Selects a node for each request by health checks, like a load balancer in front of the nodes.
pub struct NodeSelector {
    nodes: Vec<SocketAddr>,
    /// Last successful health check of each node.
    answered: RefCell<Vec<Option<Instant>>>,
}

impl NodeSelector {
    /// Returns a selector for nodes at these addresses.
    pub fn new(nodes: Vec<SocketAddr>) -> Rc<Self> {
        let answered = RefCell::new(vec![None; nodes.len()]);
        Rc::new(NodeSelector { nodes, answered })
    }

    /// Checks the health of one node, until the future is dropped.
    pub async fn check_health(self: Rc<Self>, node: usize) {
        loop {
            let next = Instant::now() + HEALTH_CHECK_INTERVAL;
            if matches!(timeout(HEALTH_CHECK_INTERVAL, ping(self.nodes[node])).await, Ok(Ok(true))) {
                self.answered.borrow_mut()[node] = Some(Instant::now());
            }
            sleep_until(next).await;
        }
    }

    /// Returns whether a node answered a health check recently.
    fn is_healthy(&self, node: usize) -> bool {
        self.answered.borrow()[node].is_some_and(|at| at.elapsed() < UNHEALTHY_AFTER)
    }

    /// Selects a random healthy node; any node if none is healthy.
    fn select(&self, rng: &mut Pcg64Mcg) -> usize {
        let healthy: Vec<usize> = (0..self.nodes.len()).filter(|&node| self.is_healthy(node)).collect();
        match healthy.len() {
            0 => rng.random_range(0..self.nodes.len()),
            n => healthy[rng.random_range(0..n)],
        }
    }
}

/// Sends the health check of a front load balancer to a node; returns whether the node serves.
pub async fn ping(address: SocketAddr) -> io::Result<bool> {
    let mut stream = BufReader::new(TcpStream::connect(address).await?);
    write_line(&mut stream, "PING").await?;
    let mut line = String::new();
    stream.read_line(&mut line).await?;
    Ok(line.trim_end() == "PONG")
}

/// One stub client.
pub struct Client {
    /// Number of the client.
    pub number: usize,
    /// Class of the client.
    pub class: ClientClass,
    /// Selects a node for each request.
    pub selector: Rc<NodeSelector>,
    /// Receives the client's events.
    pub history: Rc<History>,
    /// End of the run: no request is sent after this time.
    pub until: Instant,
    /// State that is sampled.
    pub state: Rc<ClientState>,
}

/// Whether a client wants to be served, and when it was served last.
#[derive(Default)]
pub struct ClientState {
    wants: Cell<bool>,
    served: Cell<Option<Instant>>,
}

impl ClientState {
    fn set_served(&self) {
        self.served.set(Some(Instant::now()));
    }
}

/// Result of a request.
enum RequestResult {
    /// The client kept its connection as long as it wanted.
    Done,
    /// The client retries after this time.
    Retry(Duration),
}

impl Client {
    /// Opens connections, one after the other, until the end of the run.
    pub async fn run(self, seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let draw = |rng: &mut Pcg64Mcg, mean: f64| {
            // Exponential, limited to five times the mean, so that no pause outlasts a run.
            Duration::from_secs_f64(mean * (-(1.0 - rng.random::<f64>()).ln()).min(5.0))
        };
        let mut requests = 0u64;
        // Clients don't all start at the same time.
        sleep(draw(&mut rng, self.class.rest_s)).await;
        while Instant::now() < self.until {
            let till = (Instant::now() + draw(&mut rng, self.class.hold_s)).min(self.until);
            self.state.wants.set(true);
            let mut retry = false;
            while Instant::now() < till {
                requests += 1;
                let id = format!("{:08x}{requests:08x}", self.number + 1);
                let result = self.request(&id, retry, till, &mut rng).await;
                retry = true;
                match result {
                    RequestResult::Done => break,
                    RequestResult::Retry(wait) => {
                        sleep(wait.min(till.saturating_duration_since(Instant::now()))).await
                    }
                }
            }
            self.state.wants.set(false);
            sleep(draw(&mut rng, self.class.rest_s)).await;
        }
    }

    /// Sends one request and uses its connection.
    async fn request(&self, id: &str, retry: bool, till: Instant, rng: &mut Pcg64Mcg) -> RequestResult {
        let node = self.selector.select(rng);
        let wait = Duration::from_millis(self.class.wait_ms);
        let retry_delay = Duration::from_secs_f64(0.05 + 0.15 * rng.random::<f64>());
        let Ok(Ok(stream)) = timeout(wait, TcpStream::connect(self.selector.nodes[node])).await else {
            self.history.add(Event::ConnectFailed { client: self.number, node });
            return RequestResult::Retry(retry_delay);
        };
        stream.set_nodelay(true).unwrap_or_default();
        let mut stream = BufReader::new(stream);
        let (class, options) = (&self.class.class, if retry { ",again=1" } else { "" });
        let line = format!("OPEN {id} {id} c={class},d={}{options}", self.class.wait_ms);
        // Recorded before the last byte is sent, so that no host can execute the request before this event.
        self.history.add(Event::Open {
            id: id.to_owned(),
            client: self.number,
            class: class.clone(),
            node,
            wait_s: wait.as_secs_f64(),
        });
        let closed = |how: &str| self.history.add(Event::Closed { id: id.to_owned(), how: how.to_owned() });
        let deadline = Instant::now() + wait + DEADLINE_GRACE;
        let mut answer = String::new();
        let answered = async {
            write_line(&mut stream, &line).await?;
            stream.read_line(&mut answer).await
        };
        match timeout_at(deadline, answered).await {
            Err(_) => {
                self.history.add(Event::GaveUp { id: id.to_owned() });
                return RequestResult::Retry(retry_delay);
            }
            Ok(Err(_)) => {
                closed("reset");
                return RequestResult::Retry(retry_delay);
            }
            Ok(Ok(0)) => {
                closed("end");
                return RequestResult::Retry(retry_delay);
            }
            Ok(Ok(_)) => {}
        }
        let (word, rest) = answer.trim_end().split_once(' ').unwrap_or((answer.trim_end(), ""));
        let what = match word {
            "UP" => "up",
            "BUSY" => "busy",
            "FAILED" => "failed",
            "ERR" => "err",
            other => other,
        };
        let receipt = (what == "up").then(|| rest.to_owned());
        self.history.add(Event::Answer { id: id.to_owned(), what: what.to_owned(), receipt });
        if what != "up" {
            // Wait for a second answer, which would violate the rules, as this one is final.
            let mut second = String::new();
            if let Ok(Ok(1..)) = timeout(LINE_TIMEOUT, stream.read_line(&mut second)).await {
                let what = second.trim_end().to_owned();
                self.history.add(Event::Answer { id: id.to_owned(), what, receipt: None });
            }
            let requested_delay = rest.parse().map_or(retry_delay, Duration::from_millis);
            return RequestResult::Retry(requested_delay.max(retry_delay).min(Duration::from_secs(2)));
        }
        self.state.set_served();
        let (how, result) = self.use_connection(&mut stream, till).await;
        closed(how);
        match result {
            RequestResult::Retry(_) => RequestResult::Retry(retry_delay),
            done => done,
        }
    }

    /// Sends lines at an interval until the client leaves or the connection ends. Returns how it ended.
    async fn use_connection(
        &self,
        stream: &mut BufReader<TcpStream>,
        till: Instant,
    ) -> (&'static str, RequestResult) {
        let retry = RequestResult::Retry(Duration::ZERO);
        let mut unanswered: Option<Instant> = None;
        let mut next = Instant::now() + SAMPLE_INTERVAL;
        // Kept across timeouts, as a line may arrive in two parts.
        let mut line = Vec::new();
        loop {
            let read = timeout_at(next.min(till), stream.read_until(b'\n', &mut line)).await;
            match read {
                Ok(Ok(0)) => return ("end", retry),
                Ok(Err(_)) => return ("reset", retry),
                Ok(Ok(_)) => match line.trim_ascii_end() {
                    b"MOVE" => return ("move", retry),
                    b"BYE" => return ("bye", retry),
                    line if line.starts_with(b"LOAD ") => {}
                    _ => {
                        unanswered = None;
                        self.state.set_served();
                    }
                },
                Err(_) if Instant::now() >= till => return ("left", RequestResult::Done),
                Err(_) => {
                    // A client closes a connection on which a line was not answered for long.
                    if unanswered.is_some_and(|at| at.elapsed() > 8 * LINE_TIMEOUT) {
                        return ("silent", retry);
                    }
                    if write_line(stream, "M").await.is_err() {
                        return ("reset", retry);
                    }
                    unanswered.get_or_insert_with(Instant::now);
                    next = Instant::now() + SAMPLE_INTERVAL;
                    continue;
                }
            }
            line.clear();
        }
    }
}

/// Records every half second whether a client that wants to be served was served.
pub async fn sample_service(number: usize, state: Rc<ClientState>, history: Rc<History>, until: Instant) {
    let mut next = Instant::now();
    let mut wanted = false;
    while next < until {
        next += SAMPLE_INTERVAL;
        sleep_until(next).await;
        let wants = state.wants.get();
        // Only clients that also wanted to be served one interval ago count as waiting.
        if wants && wanted {
            let ok = state.served.get().is_some_and(|at| at.elapsed() < LINE_TIMEOUT);
            history.add(Event::ServedSample { client: number, ok });
        }
        wanted = wants;
    }
}
