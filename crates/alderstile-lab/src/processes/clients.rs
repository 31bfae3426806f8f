//! Stand-in clients, and the front that deals them out among the nodes.

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

use super::hosts::say;
use crate::history::{Event, History};
use crate::schedule::ClientClass;

/// The front asks each node this often, and waits this long for its answer.
const ASK_EVERY: Duration = Duration::from_millis(500);
/// A node that has not answered for this long is dealt no more clients.
const NOTICED: Duration = Duration::from_secs(2);
/// A client that wants to be served says something this often, and is asked this often whether it was.
const BEAT: Duration = Duration::from_millis(500);
/// A line has to be answered within this.
const LINE: Duration = Duration::from_secs(1);
/// What a client still waits for its answer after the time that it told the node.
const LATER: Duration = Duration::from_millis(1_500);

/// Deals clients out.
pub struct NodeSelector {
    nodes: Vec<SocketAddr>,
    heard: RefCell<Vec<Option<Instant>>>,
}

impl NodeSelector {
    /// A front for nodes at these addresses.
    pub fn new(nodes: Vec<SocketAddr>) -> Rc<Self> {
        let heard = RefCell::new(vec![None; nodes.len()]);
        Rc::new(NodeSelector { nodes, heard })
    }

    /// Asks one node, until it is dropped.
    pub async fn watch(self: Rc<Self>, node: usize) {
        loop {
            let next = Instant::now() + ASK_EVERY;
            if matches!(timeout(ASK_EVERY, ping(self.nodes[node])).await, Ok(Ok(true))) {
                self.heard.borrow_mut()[node] = Some(Instant::now());
            }
            sleep_until(next).await;
        }
    }

    /// Whether it answered of late.
    fn serves(&self, node: usize) -> bool {
        self.heard.borrow()[node].is_some_and(|at| at.elapsed() < NOTICED)
    }

    fn pick(&self, rng: &mut Pcg64Mcg) -> usize {
        let serving: Vec<usize> = (0..self.nodes.len()).filter(|&node| self.serves(node)).collect();
        match serving.len() {
            0 => rng.random_range(0..self.nodes.len()),
            n => serving[rng.random_range(0..n)],
        }
    }
}

/// Asks a node as a front does: whether it serves.
pub async fn ping(at: SocketAddr) -> io::Result<bool> {
    let mut stream = BufReader::new(TcpStream::connect(at).await?);
    say(&mut stream, "PING").await?;
    let mut line = String::new();
    stream.read_line(&mut line).await?;
    Ok(line.trim_end() == "PONG")
}

/// One client.
pub struct Client {
    /// Its number.
    pub number: usize,
    /// What kind of client.
    pub class: ClientClass,
    /// Who deals it out.
    pub selector: Rc<NodeSelector>,
    /// What happens to it.
    pub history: Rc<History>,
    /// No more is wanted from then on.
    pub until: Instant,
    /// Whether it wants to be served, and when it last was.
    pub state: Rc<ClientState>,
}

/// What a client wants and has.
#[derive(Default)]
pub struct ClientState {
    wants: Cell<bool>,
    served: Cell<Option<Instant>>,
}

impl ClientState {
    fn is_served(&self) {
        self.served.set(Some(Instant::now()));
    }
}

/// How a request ended.
enum End {
    /// It had all it wanted.
    Done,
    /// It is to come again after that time.
    Again(Duration),
}

impl Client {
    /// Comes and goes until the end of the run.
    pub async fn run(self, seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let drawn = |rng: &mut Pcg64Mcg, mean: f64| {
            // Exponential, cut off at five times the mean: the longest rest must not outlast a run.
            Duration::from_secs_f64(mean * (-(1.0 - rng.random::<f64>()).ln()).min(5.0))
        };
        let mut ids = 0u64;
        // Clients don't all come in one moment.
        sleep(drawn(&mut rng, self.class.rest_s)).await;
        while Instant::now() < self.until {
            let till = (Instant::now() + drawn(&mut rng, self.class.hold_s)).min(self.until);
            self.state.wants.set(true);
            let mut again = false;
            while Instant::now() < till {
                ids += 1;
                let id = format!("{:08x}{ids:08x}", self.number + 1);
                let end = self.request(&id, again, till, &mut rng).await;
                again = true;
                match end {
                    End::Done => break,
                    End::Again(wait) => sleep(wait.min(till.saturating_duration_since(Instant::now()))).await,
                }
            }
            self.state.wants.set(false);
            sleep(drawn(&mut rng, self.class.rest_s)).await;
        }
    }

    async fn request(&self, id: &str, again: bool, till: Instant, rng: &mut Pcg64Mcg) -> End {
        let node = self.selector.pick(rng);
        let wait = Duration::from_millis(self.class.wait_ms);
        let soon = Duration::from_secs_f64(0.05 + 0.15 * rng.random::<f64>());
        let Ok(Ok(stream)) = timeout(wait, TcpStream::connect(self.selector.nodes[node])).await else {
            self.history.add(Event::ConnectFailed { client: self.number, node });
            return End::Again(soon);
        };
        stream.set_nodelay(true).unwrap_or_default();
        let mut stream = BufReader::new(stream);
        let (class, more) = (&self.class.class, if again { ",again=1" } else { "" });
        let line = format!("OPEN {id} {id} c={class},d={}{more}", self.class.wait_ms);
        // The checker's clock starts before the last byte is out, so that no host can run the request before.
        self.history.add(Event::Open {
            id: id.to_owned(),
            client: self.number,
            class: class.clone(),
            node,
            wait_s: wait.as_secs_f64(),
        });
        let closed = |how: &str| self.history.add(Event::Closed { id: id.to_owned(), how: how.to_owned() });
        let deadline = Instant::now() + wait + LATER;
        let mut answer = String::new();
        let answered = async {
            say(&mut stream, &line).await?;
            stream.read_line(&mut answer).await
        };
        match timeout_at(deadline, answered).await {
            Err(_) => {
                self.history.add(Event::GaveUp { id: id.to_owned() });
                return End::Again(soon);
            }
            Ok(Err(_)) => {
                closed("reset");
                return End::Again(soon);
            }
            Ok(Ok(0)) => {
                closed("end");
                return End::Again(soon);
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
            // A final answer is the last word: more would be against the rules.
            let mut more = String::new();
            if let Ok(Ok(1..)) = timeout(LINE, stream.read_line(&mut more)).await {
                let what = more.trim_end().to_owned();
                self.history.add(Event::Answer { id: id.to_owned(), what, receipt: None });
            }
            let asked = rest.parse().map_or(soon, Duration::from_millis);
            return End::Again(asked.max(soon).min(Duration::from_secs(2)));
        }
        self.state.is_served();
        let (how, end) = self.talk(&mut stream, till).await;
        closed(how);
        match end {
            End::Again(_) => End::Again(soon),
            done => done,
        }
    }

    /// Says a line now and then until it has had all it wanted, or the connection ends.
    async fn talk(&self, stream: &mut BufReader<TcpStream>, till: Instant) -> (&'static str, End) {
        let again = End::Again(Duration::ZERO);
        let mut unanswered: Option<Instant> = None;
        let mut next = Instant::now() + BEAT;
        // Kept over time-outs: a line may come in two pieces.
        let mut line = Vec::new();
        loop {
            let read = timeout_at(next.min(till), stream.read_until(b'\n', &mut line)).await;
            match read {
                Ok(Ok(0)) => return ("end", again),
                Ok(Err(_)) => return ("reset", again),
                Ok(Ok(_)) => match line.trim_ascii_end() {
                    b"MOVE" => return ("move", again),
                    b"BYE" => return ("bye", again),
                    said if said.starts_with(b"LOAD ") => {}
                    _ => {
                        unanswered = None;
                        self.state.is_served();
                    }
                },
                Err(_) if Instant::now() >= till => return ("left", End::Done),
                Err(_) => {
                    // What has not been answered for long is given up by the client as well.
                    if unanswered.is_some_and(|at| at.elapsed() > 8 * LINE) {
                        return ("silent", again);
                    }
                    if say(stream, "M").await.is_err() {
                        return ("reset", again);
                    }
                    unanswered.get_or_insert_with(Instant::now);
                    next = Instant::now() + BEAT;
                    continue;
                }
            }
            line.clear();
        }
    }
}

/// Writes down every half second whether a client that wants to be served was.
pub async fn beats(number: usize, state: Rc<ClientState>, history: Rc<History>, until: Instant) {
    let mut next = Instant::now();
    let mut wanted = false;
    while next < until {
        next += BEAT;
        sleep_until(next).await;
        let wants = state.wants.get();
        // One that has only just come is not waiting yet.
        if wants && wanted {
            let ok = state.served.get().is_some_and(|at| at.elapsed() < LINE);
            history.add(Event::ServedSample { client: number, ok });
        }
        wanted = wants;
    }
}
