//! Node processes: starts, signals, kills and observes them. A dropped process is killed, so none outlives a
//! run.

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

/// A process that accepts no clients after this long has failed to start; also the timeout of one request to
/// it.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which the membership view of a process is read.
const VIEW_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of readiness checks of a process that starts.
const READY_INTERVAL: Duration = Duration::from_millis(10);

/// A node: its files, its addresses and its process.
pub struct Node {
    /// Number of the node.
    pub number: usize,
    /// Program of the node.
    pub program: PathBuf,
    /// Directory of its configuration file, logs and temporary files.
    pub dir: PathBuf,
    /// Content of its configuration file; the process reloads the file on SIGHUP.
    pub config: RefCell<Value>,
    /// Address on which it accepts clients.
    pub listen: SocketAddr,
    /// Admin addresses; successive processes alternate between them.
    pub admin: [SocketAddr; 2],
    /// Additional arguments of `serve`.
    pub args: Vec<String>,
    /// Receives the node's events.
    pub history: Rc<History>,
    /// Process that serves; `None` while the node is down.
    pub process: RefCell<Option<Rc<Process>>>,
    /// Number of processes started so far.
    pub started: Cell<usize>,
    /// Address of the node; `None` while it is down.
    pub up: watch::Sender<Option<SocketAddr>>,
}

/// A process of a node.
pub struct Process {
    pid: Pid,
    ended: watch::Receiver<bool>,
    kill: Rc<Notify>,
    /// Whether the process is expected to exit; otherwise its exit is a crash.
    expected: Rc<Cell<bool>>,
    /// Admin address.
    pub admin: SocketAddr,
}

impl Process {
    /// Sends a signal, unless the process has exited.
    pub fn signal(&self, signal: Signal) {
        if !*self.ended.borrow() {
            // An error means that the process has just exited.
            let _ = kill_process(self.pid, signal);
        }
    }

    /// Returns its process id.
    pub fn pid(&self) -> i32 {
        self.pid.as_raw_nonzero().get()
    }

    /// Kills the process and waits until it has exited.
    pub async fn kill(&self) {
        self.expected.set(true);
        self.kill.notify_one();
        self.exited().await;
    }

    /// Waits until the process has exited.
    pub async fn exited(&self) {
        let mut ended = self.ended.clone();
        // An error means that the task that waits for the process has ended, and with it the process.
        let _ = ended.wait_for(|ended| *ended).await;
    }
}

impl Node {
    /// Writes the configuration file and starts a process; returns when it accepts clients.
    pub async fn start(self: &Rc<Self>) -> io::Result<()> {
        let process = self.spawn()?;
        self.process.replace(Some(process.clone()));
        self.history.add(Event::Process { node: self.number, change: ProcessChange::Started, status: None });
        self.up.send_replace(Some(self.listen));
        self.wait_until_ready(&process, || ping(self.listen)).await
    }

    /// Replaces the process: starts a second one, requests the first to stop when the second is ready, and waits
    /// until the first has exited.
    pub async fn replace(self: &Rc<Self>) -> io::Result<()> {
        let Some(before) = self.process.borrow().clone() else { return Ok(()) };
        let process = self.spawn()?;
        self.history.add(Event::Process {
            node: self.number,
            change: ProcessChange::ReplacementStarted,
            status: None,
        });
        self.wait_until_ready(&process, || is_ready(process.admin)).await?;
        self.process.replace(Some(process));
        before.expected.set(true);
        self.history.add(Event::Process { node: self.number, change: ProcessChange::Stopping, status: None });
        before.signal(Signal::TERM);
        before.exited().await;
        Ok(())
    }

    /// Requests the process to stop and waits until it has exited.
    pub async fn stop(&self) {
        let Some(process) = self.process.take() else { return };
        process.expected.set(true);
        self.history.add(Event::Process { node: self.number, change: ProcessChange::Stopping, status: None });
        process.signal(Signal::TERM);
        process.exited().await;
        self.up.send_replace(None);
    }

    /// Kills the process.
    pub async fn kill(&self) {
        let Some(process) = self.process.take() else { return };
        self.history.add(Event::Process { node: self.number, change: ProcessChange::Killed, status: None });
        self.up.send_replace(None);
        process.kill().await;
    }

    /// Suspends or resumes the process.
    pub fn pause(&self, pause: bool) {
        let Some(process) = self.process.borrow().clone() else { return };
        let change = if pause { ProcessChange::Paused } else { ProcessChange::Resumed };
        self.history.add(Event::Process { node: self.number, change, status: None });
        process.signal(if pause { Signal::STOP } else { Signal::CONT });
    }

    /// Changes the configuration file and makes the process reload it.
    pub fn reload(&self, change: impl FnOnce(&mut Value)) -> io::Result<()> {
        change(&mut self.config.borrow_mut());
        self.write_config()?;
        self.history.add(Event::Process { node: self.number, change: ProcessChange::Reloaded, status: None });
        if let Some(process) = self.process.borrow().clone() {
            process.signal(Signal::HUP);
        }
        Ok(())
    }

    /// Reads the membership view of the process at an interval, and records its changes.
    pub async fn watch_view(self: Rc<Self>) {
        let mut reported: BTreeMap<usize, String> = BTreeMap::new();
        let mut pid = None;
        loop {
            sleep(VIEW_INTERVAL).await;
            let Some(process) = self.process.borrow().clone() else {
                (reported, pid) = (BTreeMap::new(), None);
                continue;
            };
            // A new process starts with an empty view.
            if pid != Some(process.pid) {
                (reported, pid) = (BTreeMap::new(), Some(process.pid));
            }
            // A suspended process does not answer: its view is unknown meanwhile.
            let Ok(Ok((200, view))) = timeout(START_TIMEOUT, admin_get(process.admin, "/members")).await
            else {
                continue;
            };
            for (node, state) in node_states(&view) {
                if reported.get(&node) != Some(&state) {
                    reported.insert(node, state.clone());
                    self.history.add(Event::MemberView { node: self.number, observed: node, state });
                }
            }
        }
    }

    fn config_path(&self) -> PathBuf {
        self.dir.join("config.json")
    }

    /// Replaces the configuration file atomically.
    fn write_config(&self) -> io::Result<()> {
        let temporary = self.dir.join("config.json.new");
        std::fs::write(&temporary, self.config.borrow().to_string())?;
        std::fs::rename(temporary, self.config_path())
    }

    /// Starts a process, and a task that records its exit.
    fn spawn(self: &Rc<Self>) -> io::Result<Rc<Process>> {
        self.write_config()?;
        let number = self.started.get();
        self.started.set(number + 1);
        let admin = self.admin[number % 2];
        let log = std::fs::File::create(self.dir.join(format!("{number}.log")))?;
        let mut child = Command::new(&self.program)
            .args(["serve", "--config"])
            .arg(self.config_path())
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
        let pid = pid.ok_or_else(|| io::Error::other("the process has no id"))?;
        let (ended_sender, ended) = watch::channel(false);
        let (kill, expected) = (Rc::new(Notify::new()), Rc::new(Cell::new(false)));
        let process = Rc::new(Process { pid, ended, kill: kill.clone(), expected: expected.clone(), admin });
        let node = self.clone();
        spawn_local(async move {
            let status = wait(&mut child, &kill).await;
            let status = if expected.get() { status } else { format!("by itself: {status}") };
            node.history.add(Event::Process {
                node: node.number,
                change: ProcessChange::Ended,
                status: Some(status),
            });
            ended_sender.send_replace(true);
        });
        Ok(process)
    }

    /// Waits until a process is ready, which `check` asks for.
    ///
    /// # Errors
    ///
    /// If the process exits, or is not ready within its start timeout.
    async fn wait_until_ready<F: Future<Output = io::Result<bool>>>(
        &self,
        process: &Process,
        check: impl Fn() -> F,
    ) -> io::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            if matches!(timeout(START_TIMEOUT, check()).await, Ok(Ok(true))) {
                self.history.add(Event::Process {
                    node: self.number,
                    change: ProcessChange::Ready,
                    status: None,
                });
                return Ok(());
            }
            if *process.ended.borrow() || Instant::now() > deadline {
                let problem = if *process.ended.borrow() {
                    "ended before it was ready"
                } else {
                    "was not ready in time"
                };
                let log = self.dir.join(format!("{}.log", self.started.get() - 1));
                return Err(io::Error::other(format!(
                    "process of n{} {problem}, see {}",
                    self.number,
                    log.display()
                )));
            }
            sleep(READY_INTERVAL).await;
        }
    }
}

/// Waits until a process exits, and kills it when notified; returns its exit status.
async fn wait(child: &mut Child, kill: &Notify) -> String {
    let status = tokio::select! {
        status = child.wait() => status,
        () = kill.notified() => {
            // An error means that the process has just exited by itself.
            child.start_kill().unwrap_or_default();
            child.wait().await
        }
    };
    status.map_or_else(|error| error.to_string(), |status| status.to_string())
}

/// Returns whether the process with this admin address is ready.
pub async fn is_ready(admin: SocketAddr) -> io::Result<bool> {
    Ok(admin_get(admin, "/control/ready").await?.0 == 200)
}

/// Sends a GET request to an admin address; returns the status and the body.
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

/// Returns the state of each node in a membership view: the best state of its processes.
fn node_states(view: &str) -> BTreeMap<usize, String> {
    let view: Value = serde_json::from_str(view).unwrap_or_default();
    let mut states: BTreeMap<usize, String> = BTreeMap::new();
    // From best to worst.
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

/// Returns the configuration file of a node.
pub fn node_config(name: &str, listen: SocketAddr, discovery: SocketAddr, settings: Value) -> Value {
    json!({"name": name, "listen": listen, "discovery": discovery, "limits": {"sockets": 1024},
           "settings": settings})
}

/// Temporary directory of a run, removed when dropped.
pub struct RunDir(PathBuf);

impl RunDir {
    /// Creates a directory; `number` makes its name unique within this process.
    pub fn new(number: u32) -> io::Result<Self> {
        let dir = std::env::temp_dir().join(format!("alderstile-lab-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        Ok(RunDir(dir))
    }

    /// Returns its path.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for RunDir {
    fn drop(&mut self) {
        // What can't be removed stays in the system's temporary directory.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
