//! Parsing of the cluster file, and the status of the cluster's members.

use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use alderstile_node::config::ClusterConfig;
use serde_json::Value;

mod support;
use support::*;

const VALID_FILE: &str = r#"
name = "edge"
listen = "127.0.0.1:17946"
seeds = ["127.0.0.1:17946", "127.0.0.2:17946"]
keys = ["00112233445566778899aabbccddeeff"]
"#;

#[test]
fn a_valid_file_is_parsed_with_its_defaults() {
    let config = ClusterConfig::parse("c.toml", VALID_FILE).expect("valid cluster file");
    assert_eq!((config.advertise, config.settings.period.0), (config.listen, 1_000_000));
}

#[test]
fn an_invalid_file_is_rejected_and_the_error_names_the_key() {
    let replaced = |from: &str, to: &str| VALID_FILE.replace(from, to);
    for (text, key) in [
        (replaced("name = \"edge\"", "name = \"\""), "for key name: expected"),
        (replaced("00112233445566778899aabbccddeeff", "0011"), "for key keys[0]: expected"),
        (
            replaced("00112233445566778899aabbccddeeff", "zz112233445566778899aabbccddeeff"),
            "for key keys[0]: expected",
        ),
        (replaced("keys = [\"00112233445566778899aabbccddeeff\"]", "keys = []"), "for key keys: expected"),
        (replaced("listen = \"127.0.0.1:17946\"", "listen = \"127.0.0.1:0\""), "for key listen: expected"),
        (
            replaced("listen = \"127.0.0.1:17946\"", "listen = \"0.0.0.0:17946\""),
            "for key advertise: expected",
        ),
        (format!("{VALID_FILE}period_ms = 1"), "for key period_ms: expected"),
        (format!("{VALID_FILE}suspicion = nan"), "for key suspicion: expected"),
        (format!("{VALID_FILE}[subsets]\nsize = 0"), "for key subsets.size: expected"),
        (format!("{VALID_FILE}[subsets]\nusers = 100000"), "for key subsets.users: expected"),
        (format!("{VALID_FILE}[subsets]\nhold_s = nan"), "for key subsets.hold_s: expected"),
        (format!("{VALID_FILE}[subsets]\nsizes = 3"), "unknown field `sizes`"),
        (format!("{VALID_FILE}what = 1"), "unknown field `what`"),
        (replaced("name = \"edge\"", ""), "missing field `name`"),
        (replaced("\"127.0.0.2:17946\"", "\"nowhere\""), "invalid socket address"),
        ("name = ".to_owned(), "c.toml"),
    ] {
        let error = ClusterConfig::parse("c.toml", &text).err().map(|error| error.to_string());
        assert!(error.as_ref().is_some_and(|error| error.contains(key)), "{text}: {error:?}");
    }
    assert!(
        ClusterConfig::load("/nowhere/c.toml".as_ref()).is_err_and(|e| e.to_string().contains("/nowhere"))
    );
}

#[test]
fn without_a_cluster_the_node_has_no_membership_and_no_membership_metrics() {
    run(async {
        let test_node = start_node(|_| {}).await;
        assert!(test_node.node.admin.membership().is_none());
        assert!(!test_node.node.admin.metrics_text().contains("members"));
    });
}

/// A node's process, killed when dropped.
struct KillOnDrop(std::process::Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        self.0.kill().unwrap_or_default();
        let _ = self.0.wait();
    }
}

#[test]
fn the_members_command_prints_two_members_as_a_table_and_as_json_and_an_invalid_file_is_reported() {
    let dir = std::env::temp_dir().join(format!("alderstile-members-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("created directory");
    let program = || Command::new(env!("CARGO_BIN_EXE_alderstile"));
    let start_node = |n: u8| {
        let mut file = node_config(&format!("127.0.77.{n}:19000"), "127.0.0.1:1");
        (file["name"], file["admin_addr"]) = (format!("n{n}").into(), format!("127.0.77.{n}:19001").into());
        let (path, cluster) = (dir.join(format!("{n}.json")), dir.join(format!("{n}.toml")));
        std::fs::write(&path, file.to_string()).expect("written file");
        let text =
            VALID_FILE.replace("127.0.0.1:17946", "127.0.77.1:19946").replace("127.0.0.2", "127.0.77.2");
        let text = text.replacen("127.0.77.1:19946", &format!("127.0.77.{n}:19946"), 1) + "period_ms = 100\n";
        std::fs::write(&cluster, text).expect("written file");
        let check_config =
            program().arg("check-config").arg("--config").arg(&path).arg("--cluster").arg(&cluster).output();
        let output = String::from_utf8_lossy(&check_config.expect("run").stdout).into_owned();
        assert!(output.contains("a member of edge at 127.0.77."), "{output}");
        let mut serve = program();
        serve.arg("serve").arg("--config").arg(&path).arg("--cluster").arg(&cluster).stderr(Stdio::null());
        KillOnDrop(serve.spawn().expect("started process"))
    };
    let (_one, _two) = (start_node(1), start_node(2));
    let members = |extra_args: &[&str]| {
        let out = program()
            .args(["members", "--admin", "127.0.77.1:19001"])
            .args(extra_args)
            .output()
            .expect("run");
        String::from_utf8_lossy(&out.stdout).into_owned()
    };
    let started_at = Instant::now();
    while members(&[]).matches(" alive ").count() < 2 {
        assert!(started_at.elapsed() < Duration::from_secs(20), "{}", members(&[]));
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(members(&[]).contains("this one"));
    let status: Value = serde_json::from_str(&members(&["--json"])).expect("JSON");
    assert_eq!((&status["members"][0]["name"], &status["members"][1]["name"]), (&"n1".into(), &"n2".into()));
    assert_eq!(
        status["members"][0]["settings"], status["members"][1]["settings"],
        "both members have the same settings digest"
    );
    // An invalid cluster file is rejected before anything is started.
    std::fs::write(dir.join("bad.toml"), VALID_FILE.replace("00112233", "")).expect("written file");
    let mut invalid = program();
    invalid
        .args(["check-config", "--config"])
        .arg(dir.join("1.json"))
        .arg("--cluster")
        .arg(dir.join("bad.toml"));
    let invalid = invalid.output().expect("run");
    assert!(!invalid.status.success() && String::from_utf8_lossy(&invalid.stderr).contains("keys[0]"));
    std::fs::remove_dir_all(&dir).expect("removed directory");
}
