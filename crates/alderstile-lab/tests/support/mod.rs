//! Support for the tests: building the programs, and runs in temporary directories.
#![allow(dead_code, reason = "each test file uses a subset")]

use std::path::{Path, PathBuf};
use std::process::Command;
use std::rc::Rc;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, Ordering};

use alderstile_lab::check::{Report, check};
use alderstile_lab::emulated::{self, RunMetrics, Strategy};
use alderstile_lab::history::{History, read};
use alderstile_lab::processes::{self, Options, RunError};
use alderstile_lab::schedule::Plan;

/// Builds the programs that the tests start, as they may be older than the sources; returns their directory.
fn build_programs() -> &'static Path {
    static PROGRAMS: OnceLock<PathBuf> = OnceLock::new();
    PROGRAMS.get_or_init(|| {
        let test_program = std::env::current_exe().expect("the path of this test");
        let dir = test_program.ancestors().nth(2).expect("the directory of the programs").to_owned();
        let profile: &[&str] = if dir.ends_with("release") { &["--release"] } else { &[] };
        let what =
            ["build", "--locked", "-p", "alderstile-node", "-p", "alderstile-lab", "--bins", "--examples"];
        let status = Command::new(env!("CARGO")).args(what).args(profile).status().expect("cargo");
        assert!(status.success(), "the programs build");
        dir
    })
}

/// Returns the program of the node.
pub fn node() -> PathBuf {
    build_programs().join("alderstile")
}

/// Returns the program of the node that breaks rules.
pub fn broken_node() -> PathBuf {
    build_programs().join("examples/broken_node")
}

/// Returns the program of the lab.
pub fn lab() -> PathBuf {
    build_programs().join("alderstile-lab")
}

/// A temporary directory, removed when dropped.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("lab-test-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a directory");
        TempDir(dir)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Emulates a schedule; returns the bytes of its history, its report and its totals.
pub fn emulate(schedule: &str, strategy: Strategy, seed: u64) -> (Vec<u8>, Report, RunMetrics) {
    let plan = Plan::parse("test", schedule, Some(seed)).expect("a valid schedule");
    let out = TempDir::new();
    let path = out.0.join("history.jsonl");
    let history = History::create(&path).expect("a file");
    let metrics = emulated::run(&plan, &strategy.into(), &history).expect("a run");
    history.flush().expect("written");
    (std::fs::read(&path).expect("a file"), check(&read(&path).expect("a complete history")), metrics)
}

/// Runs a schedule on processes and checks its history.
pub fn run_schedule(schedule: &str, program: PathBuf, args: &[&str]) -> Result<Report, RunError> {
    let plan = Plan::parse("test", schedule, None).expect("a valid schedule");
    let out = TempDir::new();
    let path = out.0.join("history.jsonl");
    let history = Rc::new(History::create(&path).expect("a file"));
    let args = args.iter().map(|arg| (*arg).to_owned()).collect();
    processes::run(&plan, &Options { program, args, logs: None }, history.clone())?;
    history.finish().expect("written");
    Ok(check(&read(&path).expect("a complete history")))
}

/// Returns the command lines of the node processes that contain this directory name.
pub fn remaining_processes(dir_name: &str) -> Vec<String> {
    let mut remaining = Vec::new();
    for entry in std::fs::read_dir("/proc").expect("processes").flatten() {
        let Ok(words) = std::fs::read(entry.path().join("cmdline")) else { continue };
        let words = String::from_utf8_lossy(&words).replace('\0', " ");
        if words.contains("serve --config") && words.contains(dir_name) {
            remaining.push(words);
        }
    }
    remaining
}
