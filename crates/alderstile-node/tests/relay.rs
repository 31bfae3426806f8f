//! The relay between a client and its host: lines, close and reset, silent hosts and slow clients.

use std::time::Duration;

use alderstile_node::lifecycle::shutdown;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout_at};

mod support;
use support::*;

/// How long a test waits for an event that must not happen. A slow machine can only make such a check miss a
/// fault.
const ABSENCE_WINDOW: Duration = Duration::from_millis(150);

#[test]
fn lines_are_forwarded_unchanged_both_ways_until_bye() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node(&[&host]).await;
        let mut client = test_node.send_request(1, "d=20000,g=5c0f6e1a2b3d4c59,x=1").await;
        let mut server = host.accept().await;
        let line = server.read_line().await.expect("the first line");
        let wait = line.strip_prefix("OPEN 0000000000000001 0000000000000001 c=chat,d=").expect("unchanged");
        let wait = wait.strip_suffix(",g=5c0f6e1a2b3d4c59,x=1").expect("unchanged");
        assert!(wait.parse::<u64>().expect("a number") < 20_000, "the time that the node will wait");
        server.send("UP 00ff\r\nLOAD 12.5\r\nhello\r\n").await;
        for expected in ["UP 00ff", "LOAD 12.5", "hello"] {
            assert_eq!(client.read_line().await.as_deref(), Some(expected));
        }
        client.send("M 1\r\nM ").await;
        assert_eq!(server.read_line().await.as_deref(), Some("M 1"));
        client.send("2\r\n").await;
        assert_eq!(server.read_line().await.as_deref(), Some("M 2"));
        server.send("BYE\r\n").await;
        drop(server);
        assert_eq!(client.read_line().await.as_deref(), Some("BYE"));
        assert_eq!(client.read_line().await, None);
    });
}

#[test]
fn lines_sent_before_up_reach_the_host_afterwards() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node(&[&host]).await;
        let mut client = test_node.send_request(1, "d=20000").await;
        client.send("M 1\r\n").await;
        let mut server = host.accept().await;
        server.read_line().await.expect("the first line");
        server.send("UP 00ff\r\n").await;
        assert_eq!(server.read_line().await.as_deref(), Some("M 1"));
    });
}

#[test]
fn close_and_reset_are_propagated_as_such() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node(&[&host]).await;
        // A host that closes all connections of a node counts as failed, so one connection stays open.
        let _other = test_node.establish(9, &host).await;
        let (mut client, server) = test_node.establish(1, &host).await;
        drop(server);
        assert!(!client.is_reset().await);
        let (mut client, server) = test_node.establish(2, &host).await;
        server.reset();
        assert!(client.is_reset().await);
        // The reset ejects the host, which is used nevertheless because there is no other.
        let (client, mut server) = test_node.establish(3, &host).await;
        client.reset();
        assert!(server.is_reset().await);
    });
}

#[test]
fn client_that_shuts_down_its_sending_side_is_disconnected() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node(&[&host]).await;
        let (mut client, mut server) = test_node.establish(1, &host).await;
        client.send("M 1\r\n").await;
        client.0.get_mut().shutdown().await.expect("ended");
        assert_eq!(server.read_line().await.as_deref(), Some("M 1"), "the last line is forwarded");
        assert_eq!(server.read_line().await, None);
        assert_eq!(client.read_line().await, None);
    });
}

#[test]
fn client_whose_lines_are_not_answered_is_migrated() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node(&[&host]).await;
        let (mut client, mut server) = test_node.establish(1, &host).await;
        client.send("M 1\r\n").await;
        // A load report does not count as an answer.
        server.send("LOAD 3\r\n").await;
        assert_eq!(client.read_line().await.as_deref(), Some("LOAD 3"));
        assert_eq!(client.read_line().await.as_deref(), Some("MOVE"));
        assert_eq!(client.read_line().await, None);
    });
}

#[test]
fn client_of_a_host_that_stops_after_an_answer_is_migrated_within_seven_seconds() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node(&[&host]).await;
        let (mut client, mut server) = test_node.establish(1, &host).await;
        client.send("M 1\r\n").await;
        assert_eq!(server.read_line().await.as_deref(), Some("M 1"));
        server.send("M 1\r\n").await;
        assert_eq!(client.read_line().await.as_deref(), Some("M 1"));
        // The limit and the node's timeout run on the same clock, with almost a second between them.
        let limit = tokio::time::Instant::now() + Duration::from_secs(7);
        sleep(Duration::from_secs(2)).await;
        client.send("M 2\r\n").await;
        let received = timeout_at(limit, client.read_line()).await;
        assert_eq!(received.ok().flatten().as_deref(), Some("MOVE"));
    });
}

#[test]
fn slow_client_causes_backpressure_and_loses_no_lines() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node(&[&host]).await;
        let (mut client, mut server) = test_node.establish(1, &host).await;
        let line = "z".repeat(1_000);
        // Far more than the node and the system can buffer, so the writes of the host must block.
        let total = 30_000;
        let sending = spawn_local({
            let line = line.clone();
            async move {
                for _ in 0..total {
                    server.send(&format!("{line}\r\n")).await;
                }
                server.send("BYE\r\n").await;
            }
        });
        sleep(ABSENCE_WINDOW).await;
        assert!(!sending.is_finished(), "30 MB buffered for a client");
        for _ in 0..total {
            assert_eq!(client.read_line().await.as_deref(), Some(line.as_str()));
        }
        assert_eq!(client.read_line().await.as_deref(), Some("BYE"));
    });
}

#[test]
fn stalled_client_is_never_sent_move_inside_a_line() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node(&[&host]).await;
        let (mut client, mut server) = test_node.establish(1, &host).await;
        let line = "z".repeat(1_000);
        let flood = spawn_local({
            let line = format!("{line}\r\n");
            async move { while server.0.get_mut().write_all(line.as_bytes()).await.is_ok() {} }
        });
        sleep(ABSENCE_WINDOW).await;
        spawn_local(shutdown::run(test_node.node.clone(), test_node.listener_task));
        // The flood ends when the node closes the connection to the host.
        flood.await.expect("ended");
        let mut rest = Vec::new();
        let _reset = client.0.read_to_end(&mut rest).await;
        let text = String::from_utf8(rest).expect("text");
        let lines: Vec<&str> = text.split_inclusive("\r\n").collect();
        for (i, received) in lines.iter().enumerate() {
            let complete = *received == format!("{line}\r\n");
            let last = i + 1 == lines.len() && (line.starts_with(received) || *received == "MOVE\r\n");
            assert!(complete || last, "{received:?}");
        }
    });
}
