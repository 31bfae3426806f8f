//! Test support: processes of several nodes with a replicated configuration, each on separate loopback
//! addresses.

use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use alderstile_node::control::replicated_config::ReplicationStatus;
use alderstile_node::control::replicated_config::store::VoterStore;
use serde_json::Value;

use super::node_config;
use super::replicated_config::{CLUSTER_KEY, create_test_directory};

/// The processes of several nodes, numbered from 1; the first `voters` of them are voters.
pub struct Fleet {
    pub dir: PathBuf,
    /// The nodes' addresses are 127.0.`subnet`.n, where n is the number of a node.
    pub subnet: u8,
    pub voters: u8,
    pub running: Vec<Option<Child>>,
}

impl Fleet {
    /// Creates the files of all nodes and the state of the voters, and starts the nodes.
    pub fn new(subnet: u8, count: u8, voters: u8) -> Self {
        let dir = create_test_directory(&format!("fleet-{subnet}"));
        let mut fleet = Fleet { dir, subnet, voters, running: (0..count).map(|_| None).collect() };
        for n in 1..=count {
            let mut file = node_config(&fleet.address(n, 19_000), "127.0.0.1:1");
            (file["name"], file["admin_addr"]) = (format!("n{n}").into(), fleet.address(n, 19_001).into());
            std::fs::write(fleet.file(n, "json"), file.to_string()).expect("written");
            fleet.write_cluster_file(n, CLUSTER_KEY);
            if n <= voters {
                let out = fleet.command(n, &["settings", "init"]);
                assert!(out.status.success(), "{out:?}");
                let second_init = fleet.command(n, &["settings", "init"]);
                assert_eq!(second_init.status.code(), Some(2), "existing voter state is not overwritten");
            }
            fleet.start(n);
        }
        fleet
    }

    /// Returns the address of a node at this port.
    pub fn address(&self, n: u8, port: u16) -> String {
        format!("127.0.{}.{n}:{port}", self.subnet)
    }

    /// Returns the path of the file of a node with this extension.
    pub fn file(&self, n: u8, kind: &str) -> PathBuf {
        self.dir.join(format!("{n}.{kind}"))
    }

    /// Returns the path of the voter store of a node.
    pub fn store(&self, n: u8) -> PathBuf {
        VoterStore::path(&self.dir, &format!("n{n}"))
    }

    /// Writes a node's cluster file with this key.
    pub fn write_cluster_file(&self, n: u8, key: &str) {
        let voters: Vec<String> =
            (1..=self.voters).map(|n| format!("\"{}\"", self.address(n, 19_003))).collect();
        let text = format!(
            "name = \"edge\"\nlisten = \"{}\"\nseeds = [\"{}\", \"{}\"]\nkeys = [\"{key}\"]\nperiod_ms = 200\n\
             [control]\nlisten = \"{}\"\nvoters = [{}]\nstate_dir = \"{}\"\nheartbeat_ms = 150\nlease_s = 0.9\n",
            self.address(n, 19_002),
            self.address(1, 19_002),
            self.address(2, 19_002),
            self.address(n, 19_003),
            voters.join(", "),
            self.dir.display()
        );
        std::fs::write(self.file(n, "toml"), text).expect("written");
    }

    /// Runs a command of the program with the files of a node, and returns its output.
    pub fn command(&self, n: u8, args: &[&str]) -> Output {
        let mut program = Command::new(env!("CARGO_BIN_EXE_alderstile"));
        program
            .args(args)
            .arg("--config")
            .arg(self.file(n, "json"))
            .arg("--cluster")
            .arg(self.file(n, "toml"));
        program.output().expect("run")
    }

    /// Starts the process of a node, which appends to the node's log file.
    pub fn start(&mut self, n: u8) {
        let log =
            std::fs::File::options().create(true).append(true).open(self.file(n, "log")).expect("a log");
        let mut program = Command::new(env!("CARGO_BIN_EXE_alderstile"));
        program
            .arg("serve")
            .arg("--config")
            .arg(self.file(n, "json"))
            .arg("--cluster")
            .arg(self.file(n, "toml"));
        let child =
            program.env_remove("RUST_LOG").stderr(log).stdout(Stdio::null()).spawn().expect("started");
        self.running[usize::from(n) - 1] = Some(child);
    }

    pub fn kill(&mut self, n: u8) {
        if let Some(mut child) = self.running[usize::from(n) - 1].take() {
            child.kill().expect("killed");
            child.wait().expect("ended");
        }
    }

    pub fn signal(&self, n: u8, signal: &str) {
        let pid = self.running[usize::from(n) - 1].as_ref().expect("running").id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().expect("sent").success());
    }

    /// Returns the status that a node reports; `None` if it does not respond.
    pub fn status(&self, n: u8) -> Option<ReplicationStatus> {
        let out = self.command(n, &["settings", "show"]);
        serde_json::from_slice(&out.stdout).ok()
    }

    /// Proposes a document at a node; returns the command's exit code and output.
    pub fn propose(&self, n: u8, document: &Value, expect: Option<u64>) -> (Option<i32>, String) {
        let path = self.dir.join("proposal.json");
        std::fs::write(&path, document.to_string()).expect("written");
        let mut args = vec!["settings".to_owned(), "propose".to_owned(), path.display().to_string()];
        if let Some(expect) = expect {
            args.extend(["--expect".to_owned(), expect.to_string()]);
        }
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let out = self.command(n, &args);
        let text = String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr);
        (out.status.code(), text)
    }

    /// Proposes a document until it is committed, and returns its version. A leader may have to be elected
    /// first, or the previous version to become active.
    pub fn commit(&self, n: u8, document: &Value) -> u64 {
        let start = Instant::now();
        loop {
            let (code, output) = self.propose(n, document, None);
            if code == Some(0) {
                return output
                    .trim()
                    .strip_prefix("version ")
                    .and_then(|text| text.parse().ok())
                    .expect("a version");
            }
            assert!(start.elapsed() < Duration::from_secs(60), "{output}");
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Waits until the status of all these nodes satisfies `condition`.
    pub fn wait_until(
        &self,
        nodes: &[u8],
        description: &str,
        condition: impl Fn(&ReplicationStatus) -> bool,
    ) {
        let start = Instant::now();
        while !nodes.iter().all(|n| self.status(*n).is_some_and(|status| condition(&status))) {
            let statuses: Vec<Option<ReplicationStatus>> = nodes.iter().map(|n| self.status(*n)).collect();
            assert!(start.elapsed() < Duration::from_secs(60), "{description}: {statuses:#?}");
            std::thread::sleep(Duration::from_millis(30));
        }
    }

    /// Waits until all these nodes have a valid lease on this version and none has rejected a version.
    pub fn wait_active(&self, nodes: &[u8], version: u64) {
        self.wait_until(nodes, &format!("version {version} is active"), |status| {
            status.active_version == version && status.lease_state == "counts" && status.rejection.is_none()
        });
    }

    /// Waits until a voter is the leader, and returns its number.
    pub fn leader(&self) -> u8 {
        let start = Instant::now();
        loop {
            let is_leader =
                |n: &u8| self.status(*n).is_some_and(|status| status.role.as_deref() == Some("leader"));
            if let Some(leader) = (1..=self.voters).find(is_leader) {
                return leader;
            }
            assert!(start.elapsed() < Duration::from_secs(60), "no leader was elected");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn log(&self, n: u8) -> String {
        std::fs::read_to_string(self.file(n, "log")).unwrap_or_default()
    }
}

/// A process that is killed on drop.
pub struct KillOnDrop(pub Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        self.0.kill().unwrap_or_default();
        let _ = self.0.wait();
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.running.iter_mut().flatten() {
            child.kill().unwrap_or_default();
            let _ = child.wait();
        }
        if !std::thread::panicking() {
            std::fs::remove_dir_all(&self.dir).unwrap_or_default();
        }
    }
}
