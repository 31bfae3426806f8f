//! The cluster's file, and the status of its members.

use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use alderstile_node::config::ClusterConfig;
use serde_json::Value;

mod support;
use support::*;

const FINE: &str = r#"
name = "edge"
listen = "127.0.0.1:17946"
seeds = ["127.0.0.1:17946", "127.0.0.2:17946"]
keys = ["00112233445566778899aabbccddeeff"]
"#;

#[test]
fn a_fine_file_is_taken_with_its_defaults() {
    let config = ClusterConfig::parse("c.toml", FINE).expect("fine");
    assert_eq!((config.advertise, config.settings.period.0), (config.listen, 1_000_000));
}

#[test]
fn a_faulty_file_is_turned_down_with_its_key() {
    let with = |from: &str, to: &str| FINE.replace(from, to);
    for (text, key) in [
        (with("name = \"edge\"", "name = \"\""), "the key name"),
        (with("00112233445566778899aabbccddeeff", "0011"), "the key keys[0]"),
        (with("00112233445566778899aabbccddeeff", "zz112233445566778899aabbccddeeff"), "the key keys[0]"),
        (with("keys = [\"00112233445566778899aabbccddeeff\"]", "keys = []"), "the key keys"),
        (with("listen = \"127.0.0.1:17946\"", "listen = \"127.0.0.1:0\""), "the key listen"),
        (with("listen = \"127.0.0.1:17946\"", "listen = \"0.0.0.0:17946\""), "the key advertise"),
        (format!("{FINE}period_ms = 1"), "the key period_ms"),
        (format!("{FINE}suspicion = nan"), "the key suspicion"),
        (format!("{FINE}[subsets]\nsize = 0"), "the key subsets.size"),
        (format!("{FINE}[subsets]\nusers = 100000"), "the key subsets.users"),
        (format!("{FINE}[subsets]\nhold_s = nan"), "the key subsets.hold_s"),
        (format!("{FINE}[subsets]\nsizes = 3"), "unknown field `sizes`"),
        (format!("{FINE}what = 1"), "unknown field `what`"),
        (with("name = \"edge\"", ""), "missing field `name`"),
        (with("\"127.0.0.2:17946\"", "\"nowhere\""), "invalid socket address"),
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
fn without_a_cluster_there_is_no_such_path_and_no_figure() {
    run(async {
        let setup = start_node(|_| {}).await;
        assert!(setup.node.admin.membership().is_none());
        assert!(!setup.node.admin.metrics_text().contains("members"));
    });
}

/// A node's process, ended with its owner.
struct Running(std::process::Child);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.kill().unwrap_or_default();
        let _ = self.0.wait();
    }
}

#[test]
fn the_command_shows_two_members_as_a_table_and_as_json_and_says_what_is_wrong() {
    let dir = std::env::temp_dir().join(format!("alderstile-members-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let program = || Command::new(env!("CARGO_BIN_EXE_alderstile"));
    let begin = |n: u8| {
        let mut file = node_config(&format!("127.0.77.{n}:19000"), "127.0.0.1:1");
        (file["name"], file["admin_addr"]) = (format!("n{n}").into(), format!("127.0.77.{n}:19001").into());
        let (path, cluster) = (dir.join(format!("{n}.json")), dir.join(format!("{n}.toml")));
        std::fs::write(&path, file.to_string()).expect("written");
        let text = FINE.replace("127.0.0.1:17946", "127.0.77.1:19946").replace("127.0.0.2", "127.0.77.2");
        let text = text.replacen("127.0.77.1:19946", &format!("127.0.77.{n}:19946"), 1) + "period_ms = 100\n";
        std::fs::write(&cluster, text).expect("written");
        let check =
            program().arg("check-config").arg("--config").arg(&path).arg("--cluster").arg(&cluster).output();
        let said = String::from_utf8_lossy(&check.expect("run").stdout).into_owned();
        assert!(said.contains("a member of edge at 127.0.77."), "{said}");
        let mut serve = program();
        serve.arg("serve").arg("--config").arg(&path).arg("--cluster").arg(&cluster).stderr(Stdio::null());
        Running(serve.spawn().expect("started"))
    };
    let (_one, _two) = (begin(1), begin(2));
    let ask = |more: &[&str]| {
        let out =
            program().args(["members", "--admin", "127.0.77.1:19001"]).args(more).output().expect("run");
        String::from_utf8_lossy(&out.stdout).into_owned()
    };
    let began = Instant::now();
    while ask(&[]).matches(" alive ").count() < 2 {
        assert!(began.elapsed() < Duration::from_secs(20), "{}", ask(&[]));
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(ask(&[]).contains("this one"));
    let view: Value = serde_json::from_str(&ask(&["--json"])).expect("JSON");
    assert_eq!((&view["members"][0]["name"], &view["members"][1]["name"]), (&"n1".into(), &"n2".into()));
    assert_eq!(view["members"][0]["settings"], view["members"][1]["settings"], "they go by the same");
    // A faulty file: nothing is begun.
    std::fs::write(dir.join("bad.toml"), FINE.replace("00112233", "")).expect("written");
    let mut bad = program();
    bad.args(["check-config", "--config"]).arg(dir.join("1.json")).arg("--cluster").arg(dir.join("bad.toml"));
    let bad = bad.output().expect("run");
    assert!(!bad.status.success() && String::from_utf8_lossy(&bad.stderr).contains("keys[0]"));
    std::fs::remove_dir_all(&dir).expect("taken away");
}
