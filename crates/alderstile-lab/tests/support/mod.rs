//! What the tests share: the programs, and a run in a folder of its own.
#![allow(dead_code, reason = "each test file uses a part")]

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

/// Builds what the tests start, as it may be older than the sources; returns the folder of the programs.
fn built() -> &'static Path {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| {
        let own = std::env::current_exe().expect("this test's program");
        let dir = own.ancestors().nth(2).expect("a folder of programs").to_owned();
        let profile: &[&str] = if dir.ends_with("release") { &["--release"] } else { &[] };
        let what =
            ["build", "--locked", "-p", "alderstile-node", "-p", "alderstile-lab", "--bins", "--examples"];
        let status = Command::new(env!("CARGO")).args(what).args(profile).status().expect("cargo");
        assert!(status.success(), "the programs build");
        dir
    })
}

/// The node's program.
pub fn node() -> PathBuf {
    built().join("alderstile")
}

/// The node that breaks rules.
pub fn broken() -> PathBuf {
    built().join("examples/broken_node")
}

/// The lab's program.
pub fn lab() -> PathBuf {
    built().join("alderstile-lab")
}

/// A folder that goes with its owner.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("lab-test-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        Folder(dir)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Emulates a schedule: the history's bytes, what came of it, and its sums.
pub fn emulate(schedule: &str, way: Strategy, seed: u64) -> (Vec<u8>, Report, RunMetrics) {
    let plan = Plan::parse("test", schedule, Some(seed)).expect("a fine schedule");
    let out = Folder::new();
    let path = out.0.join("history.jsonl");
    let history = History::create(&path).expect("a file");
    let sums = emulated::run(&plan, &way.into(), &history).expect("a run");
    history.written().expect("written");
    (std::fs::read(&path).expect("a file"), check(&read(&path).expect("whole")), sums)
}

/// Plays a schedule on processes and checks what came of it.
pub fn play(schedule: &str, program: PathBuf, args: &[&str]) -> Result<Report, RunError> {
    let plan = Plan::parse("test", schedule, None).expect("a fine schedule");
    let out = Folder::new();
    let path = out.0.join("history.jsonl");
    let history = Rc::new(History::create(&path).expect("a file"));
    let args = args.iter().map(|arg| (*arg).to_owned()).collect();
    processes::run(&plan, &Options { program, args, logs: None }, history.clone())?;
    history.finish().expect("written");
    Ok(check(&read(&path).expect("a whole history")))
}

/// Processes of nodes whose command line names this folder.
pub fn left_behind(named: &str) -> Vec<String> {
    let mut left = Vec::new();
    for entry in std::fs::read_dir("/proc").expect("processes").flatten() {
        let Ok(words) = std::fs::read(entry.path().join("cmdline")) else { continue };
        let words = String::from_utf8_lossy(&words).replace('\0', " ");
        if words.contains("serve --config") && words.contains(named) {
            left.push(words);
        }
    }
    left
}
