//! A new configuration while the node runs.

use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use alderstile_node::discovery::server_id;
use alderstile_node::reload::reload;
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::Command;
use tokio::time::sleep;

mod support;
use support::*;

/// A file of its own for each test.
fn file(name: &str, value: &Value) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
    std::fs::write(&path, value.to_string()).expect("written");
    path
}

fn address(discovery: &Discovery) -> String {
    discovery.0.local_addr().expect("bound").to_string()
}

/// Answers a call for the whole list.
async fn whole(discovery: &Discovery, seq: u64, hosts: &[&Host]) {
    let (first, mut call) = discovery.call().await;
    // A watch from a version of the old discovery's, or from none, may begin with changes alone.
    assert_eq!(first, "GET /catalog/members HTTP/1.1");
    let body = list(seq, true, &hosts.iter().map(|host| host.entry("up")).collect::<Vec<_>>());
    call.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())).await;
}

#[test]
fn the_list_comes_from_the_new_discovery_at_once_and_connections_live_on() {
    run(async {
        let hosts = [Host::new("s-1").await, Host::new("s-2").await];
        let (setup, mut old) = serving(&[&hosts[0]]).await;
        chunk(&mut old, &list(90, false, &[])).await;
        let (mut client, mut server) = setup.up(1, &hosts[0]).await;
        let new = Discovery::new().await;
        let path = file("moved", &config("127.0.0.1:0", &address(&new)));
        // The environment's word is that of the start.
        reload(&setup.node, Some(&path), |name| {
            (name == "ROUTER_DISCOVERY").then(|| address(&setup.discovery))
        });
        assert_eq!(old.line().await, None, "the old watch is dropped");
        // Its versions are its own, and lower.
        whole(&new, 3, &[&hosts[1]]).await;
        let (first, mut watch) = new.call().await;
        assert!(first.contains("stream=1&index=3"), "{first}");
        assert!(setup.node.host(server_id("s-1")).is_none());
        setup.up(2, &hosts[1]).await;
        watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
        chunk(&mut watch, &list(4, false, &[hosts[0].entry("up")])).await;
        while setup.node.host(server_id("s-1")).is_none() {
            sleep(Duration::from_millis(1)).await;
        }
        client.send("M 1\r\n").await;
        assert_eq!(server.line().await.as_deref(), Some("M 1"));
    });
}

#[test]
fn a_call_that_is_out_is_dropped_too() {
    run(async {
        let host = Host::new("s-1").await;
        let setup = start(|_| {}).await;
        let (_, mut pending) = setup.discovery.call().await;
        let new = Discovery::new().await;
        let path = file("pending", &config("127.0.0.1:0", &address(&new)));
        reload(&setup.node, Some(&path), |_| None);
        assert_eq!(pending.line().await, None);
        whole(&new, 1, &[&host]).await;
        setup.until_ready().await;
        setup.up(1, &host).await;
    });
}

#[test]
fn a_faulty_file_changes_nothing() {
    run(async {
        let host = Host::new("s-1").await;
        let (setup, mut watch) = serving(&[&host]).await;
        let before = setup.node.discovery();
        let mut faulty = config("127.0.0.1:0", "127.0.0.1:1");
        faulty["limits"]["sockets"] = "many".into();
        for path in [file("faulty", &faulty), file("none", &Value::Null), PathBuf::from("/nonexistent")] {
            reload(&setup.node, Some(&path), |_| None);
            assert_eq!(setup.node.discovery(), before);
        }
        chunk(&mut watch, &list(2, false, &[])).await;
        setup.up(1, &host).await;
    });
}

#[test]
fn sighup_reads_the_file_again_and_ends_nothing() {
    run(async {
        let (old, new) = (Discovery::new().await, Discovery::new().await);
        let mut value = config("127.0.0.1:0", &address(&old));
        value["settings"]["allowed"]["may_tell"] = false.into();
        let path = file("sighup", &value);
        let mut node = Command::new(env!("CARGO_BIN_EXE_alderstile"))
            .args(["serve", "--config"])
            .arg(&path)
            .env("ROUTER_DISCOVERY", address(&old))
            .env_remove("RUST_LOG")
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("started");
        let mut log = BufReader::new(node.stderr.take().expect("a log")).lines();
        old.call().await;
        let hangup = async || {
            let pid = node.id().expect("still there").to_string();
            assert!(Command::new("kill").args(["-HUP", &pid]).status().await.expect("sent").success());
        };
        value["listen"] = "nowhere".into();
        file("sighup", &value);
        hangup().await;
        loop {
            let line = log.next_line().await.expect("a log").expect("a line that names the faulty key");
            if line.contains("the key listen") {
                break;
            }
        }
        value["listen"] = "127.0.0.1:0".into();
        value["discovery"] = address(&new).into();
        file("sighup", &value);
        hangup().await;
        new.call().await;
        assert_eq!(node.try_wait().expect("asked"), None, "it lives on");
    });
}
