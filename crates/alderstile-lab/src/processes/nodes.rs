//! The processes of nodes: started, told, killed, and never left behind.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use super::clients::ping;
use crate::history::{Event, History, ProcessChange};

/// A process that answers no front after this long has failed to start.
const START: Duration = Duration::from_secs(10);
/// How often a process is asked how it sees the members.
const LOOK: Duration = Duration::from_millis(50);
/// How often a process that starts is asked.
const ASK: Duration = Duration::from_millis(10);

/// A node and where its things are.
pub struct Node {
    /// Its number.
    pub number: usize,
    /// The program.
    pub program: PathBuf,
    /// Where its file, its logs and its private folder are.
    pub dir: PathBuf,
    /// What stands in its file; SIGHUP makes it read the file as written last.
    pub config: RefCell<Value>,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where operators reach its processes, in turns.
    pub admin: [SocketAddr; 2],
    /// Further arguments of `serve`.
    pub args: Vec<String>,
    /// What happens to it.
    pub history: Rc<History>,
    /// The process that serves.
    pub process: RefCell<Option<Rc<Process>>>,
    /// Processes started so far.
    pub started: Cell<usize>,
    /// Where it is reached.
    pub up: watch::Sender<Option<SocketAddr>>,
}

/// One process.
pub struct Process {
    pid: Pid,
    ended: watch::Receiver<bool>,
    kill: Rc<Notify>,
    /// It is meant to end: its end is no crash.
    expected: Rc<Cell<bool>>,
    /// Where operators reach it.
    pub admin: SocketAddr,
}

impl Process {
    /// Sends a signal, unless the process has ended.
    pub fn signal(&self, signal: Signal) {
        if !*self.ended.borrow() {
            // A process that ends in this moment needs none.
            let _ = kill_process(self.pid, signal);
        }
    }

    /// Its number in the system.
    pub fn pid(&self) -> i32 {
        self.pid.as_raw_nonzero().get()
    }

    /// Ends it at once.
    pub async fn kill(&self) {
        self.expected.set(true);
        self.kill.notify_one();
        self.gone().await;
    }

    /// Waits until it has ended.
    pub async fn gone(&self) {
        let mut ended = self.ended.clone();
        // The task that holds the process ends with it.
        let _ = ended.wait_for(|ended| *ended).await;
    }
}

impl Node {
    /// Writes its file and starts a process; returns when it answers fronts.
    pub async fn start(self: &Rc<Self>) -> io::Result<()> {
        let process = self.spawn()?;
        self.process.replace(Some(process.clone()));
        self.history.add(Event::Process { node: self.number, change: ProcessChange::Started, status: None });
        self.up.send_replace(Some(self.listen));
        self.until_ready(&process, || ping(self.listen)).await
    }

    /// Starts a second process beside the first, tells the first to stop when the second serves, and waits for that.
    pub async fn replace(self: &Rc<Self>) -> io::Result<()> {
        let Some(before) = self.process.borrow().clone() else { return Ok(()) };
        let process = self.spawn()?;
        self.history.add(Event::Process {
            node: self.number,
            change: ProcessChange::ReplacementStarted,
            status: None,
        });
        self.until_ready(&process, || ready(process.admin)).await?;
        self.process.replace(Some(process));
        before.expected.set(true);
        self.history.add(Event::Process { node: self.number, change: ProcessChange::Stopping, status: None });
        before.signal(Signal::TERM);
        before.gone().await;
        Ok(())
    }

    /// Tells its process to stop and waits for that.
    pub async fn stop(&self) {
        let Some(process) = self.process.take() else { return };
        process.expected.set(true);
        self.history.add(Event::Process { node: self.number, change: ProcessChange::Stopping, status: None });
        process.signal(Signal::TERM);
        process.gone().await;
        self.up.send_replace(None);
    }

    /// Ends its process at once.
    pub async fn kill(&self) {
        let Some(process) = self.process.take() else { return };
        self.history.add(Event::Process { node: self.number, change: ProcessChange::Killed, status: None });
        self.up.send_replace(None);
        process.kill().await;
    }

    /// Stops it where it stands, or lets it go on.
    pub fn pause(&self, pause: bool) {
        let Some(process) = self.process.borrow().clone() else { return };
        let change = if pause { ProcessChange::Paused } else { ProcessChange::Resumed };
        self.history.add(Event::Process { node: self.number, change, status: None });
        process.signal(if pause { Signal::STOP } else { Signal::CONT });
    }

    /// Writes another file and makes its process read it.
    pub fn reload(&self, change: impl FnOnce(&mut Value)) -> io::Result<()> {
        change(&mut self.config.borrow_mut());
        self.write()?;
        self.history.add(Event::Process { node: self.number, change: ProcessChange::Reloaded, status: None });
        if let Some(process) = self.process.borrow().clone() {
            process.signal(Signal::HUP);
        }
        Ok(())
    }

    /// Asks its process again and again how it sees the other members, and writes down what changes.
    pub async fn watch_view(self: Rc<Self>) {
        let mut seen: BTreeMap<usize, String> = BTreeMap::new();
        let mut of = None;
        loop {
            sleep(LOOK).await;
            let Some(process) = self.process.borrow().clone() else {
                (seen, of) = (BTreeMap::new(), None);
                continue;
            };
            // Another process begins with a view of its own.
            if of != Some(process.pid) {
                (seen, of) = (BTreeMap::new(), Some(process.pid));
            }
            // One that stands still answers nobody: what it sees is not known meanwhile.
            let Ok(Ok((200, view))) = timeout(START, admin_get(process.admin, "/members")).await else {
                continue;
            };
            for (node, state) in states(&view) {
                if seen.get(&node) != Some(&state) {
                    seen.insert(node, state.clone());
                    self.history.add(Event::MemberView { node: self.number, of: node, state });
                }
            }
        }
    }

    fn file(&self) -> PathBuf {
        self.dir.join("config.json")
    }

    fn write(&self) -> io::Result<()> {
        let beside = self.dir.join("config.json.new");
        std::fs::write(&beside, self.config.borrow().to_string())?;
        std::fs::rename(beside, self.file())
    }

    fn spawn(self: &Rc<Self>) -> io::Result<Rc<Process>> {
        self.write()?;
        let number = self.started.get();
        self.started.set(number + 1);
        let admin = self.admin[number % 2];
        let log = std::fs::File::create(self.dir.join(format!("{number}.log")))?;
        let mut child = Command::new(&self.program)
            .args(["serve", "--config"])
            .arg(self.file())
            .args(&self.args)
            .env_clear()
            .env("TMPDIR", &self.dir)
            .env("ROUTER_ADMIN_ADDR", admin.to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        let pid = child.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| io::Error::other("the process has no number"))?;
        let (ended, end) = watch::channel(false);
        let (kill, expected) = (Rc::new(Notify::new()), Rc::new(Cell::new(false)));
        let process =
            Rc::new(Process { pid, ended: end, kill: kill.clone(), expected: expected.clone(), admin });
        let node = self.clone();
        spawn_local(async move {
            let how = wait(&mut child, &kill).await;
            let how = if expected.get() { how } else { format!("by itself: {how}") };
            node.history.add(Event::Process {
                node: node.number,
                change: ProcessChange::Ended,
                status: Some(how),
            });
            ended.send_replace(true);
        });
        Ok(process)
    }

    async fn until_ready<F: Future<Output = io::Result<bool>>>(
        &self,
        process: &Process,
        asks: impl Fn() -> F,
    ) -> io::Result<()> {
        let last = Instant::now() + START;
        loop {
            if matches!(timeout(START, asks()).await, Ok(Ok(true))) {
                self.history.add(Event::Process {
                    node: self.number,
                    change: ProcessChange::Ready,
                    status: None,
                });
                return Ok(());
            }
            if *process.ended.borrow() || Instant::now() > last {
                let what = if *process.ended.borrow() { "ended" } else { "did not get ready" };
                let log = self.dir.join(format!("{}.log", self.started.get() - 1));
                return Err(io::Error::other(format!("n{} {what}: see {}", self.number, log.display())));
            }
            sleep(ASK).await;
        }
    }
}

async fn wait(child: &mut Child, kill: &Notify) -> String {
    let status = tokio::select! {
        status = child.wait() => status,
        () = kill.notified() => {
            // It may have ended by itself in this moment.
            child.start_kill().unwrap_or_default();
            child.wait().await
        }
    };
    status.map_or_else(|error| error.to_string(), |status| status.to_string())
}

/// Asks a process at its operators' address whether it serves.
pub async fn ready(admin: SocketAddr) -> io::Result<bool> {
    Ok(admin_get(admin, "/control/ready").await?.0 == 200)
}

/// A GET at an operators' address: the status and the body.
pub async fn admin_get(admin: SocketAddr, path: &str) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect(admin).await?;
    stream
        .write_all(format!("GET {path} HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n").as_bytes())
        .await?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await?;
    let status = text.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or_default();
    Ok((status, text.split_once("\r\n\r\n").map(|(_, body)| body.to_owned()).unwrap_or_default()))
}

/// How each node is seen: the best of what is told of its processes.
fn states(view: &str) -> BTreeMap<usize, String> {
    let view: Value = serde_json::from_str(view).unwrap_or_default();
    let mut states: BTreeMap<usize, String> = BTreeMap::new();
    // `alive`, `dead`, `left`, `suspect`: the living ones first.
    let rank = |state: &str| ["alive", "suspect", "dead", "left"].iter().position(|known| *known == state);
    for member in view["members"].as_array().into_iter().flatten() {
        let name = member["name"].as_str().and_then(|name| name.strip_prefix('n')?.parse().ok());
        let (Some(node), Some(state)) = (name, member["state"].as_str()) else { continue };
        let best = states.entry(node).or_insert_with(|| state.to_owned());
        if rank(state) < rank(best) {
            state.clone_into(best);
        }
    }
    states
}

/// A node's file.
pub fn node_config(name: &str, listen: SocketAddr, discovery: SocketAddr, settings: Value) -> Value {
    json!({"name": name, "listen": listen, "discovery": discovery, "limits": {"sockets": 1024},
           "settings": settings})
}

/// A folder of a run; it goes with its owner.
pub struct RunDir(PathBuf);

impl RunDir {
    /// A new one.
    pub fn new(number: u32) -> io::Result<Self> {
        let dir = std::env::temp_dir().join(format!("alderstile-lab-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        Ok(RunDir(dir))
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for RunDir {
    fn drop(&mut self) {
        // What can't be taken away stays where temporary things go.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
