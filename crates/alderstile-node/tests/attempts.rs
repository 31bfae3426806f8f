//! Attempts at hosts: which failures are retried at another host, and which requests are never sent.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

mod support;
use support::*;

/// How long a test waits for an event that must not happen. A slow machine can only make such a check miss a
/// fault.
const ABSENCE_WINDOW: Duration = Duration::from_millis(150);

#[test]
fn failed_attempt_is_followed_by_exactly_one_at_another_host() {
    run(async {
        for answer in ["ERR\r\n", "BUSY\r\n", "nonsense\r\n", "", "MOVE\r\n"] {
            let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
            let (test_node, _watch) = start_ready_node(&[&hosts[0], &hosts[1]]).await;
            let mut client = test_node.send_request(1, "d=20000").await;
            let (mut server, other) = accept_attempt(&hosts).await;
            let second_attempt = timeout(ABSENCE_WINDOW, hosts[other].accept()).await;
            assert!(second_attempt.is_err(), "two attempts at the same time");
            server.send(answer).await;
            drop(server);
            let mut server = hosts[other].accept().await;
            server.read_line().await.expect("the first line");
            server.send("UP 02\r\n").await;
            assert_eq!(client.read_line().await.as_deref(), Some("UP 02"), "after {answer:?}");
        }
    });
}

#[test]
fn requests_succeed_while_one_host_refuses_connections() {
    run(async {
        let (refusing, host) = (StubHost::new("s-1").await, StubHost::new("s-2").await);
        let (test_node, _watch) = start_ready_node(&[&refusing, &host]).await;
        drop(refusing.listener);
        let mut open = Vec::new();
        for id in 1..=4 {
            open.push(test_node.establish(id, &host).await);
        }
    });
}

#[test]
fn expired_request_is_answered_and_a_late_up_is_dropped() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node(&[&host]).await;
        let mut client = test_node.send_request(1, "d=300").await;
        let mut server = host.accept().await;
        server.read_line().await.expect("the first line");
        let answer = client.read_line().await.expect("an answer");
        assert!(answer.starts_with("BUSY"), "{answer}");
        // The attempt is closed at the host; its late response is dropped.
        assert_eq!(server.read_line().await, None);
        server.0.get_mut().write_all(b"UP 00ff\r\n").await.unwrap_or_default();
        assert_eq!(client.read_line().await, None);
    });
}

#[test]
fn client_disconnect_closes_its_attempt_or_connection() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node(&[&host]).await;
        let client = test_node.send_request(1, "d=20000").await;
        let mut server = host.accept().await;
        server.read_line().await.expect("the first line");
        drop(client);
        assert_eq!(server.read_line().await, None);
        let (client, mut server) = test_node.establish(2, &host).await;
        drop(client);
        assert_eq!(server.read_line().await, None);
    });
}

#[test]
fn connection_open_before_the_node_started_resumes_at_its_host() {
    run(async {
        let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
        let (test_node, _watch) = start_ready_node(&[&hosts[0], &hosts[1]]).await;
        for id in 1..=4 {
            let mut client = test_node.send_request(id, "d=20000,at=s-2").await;
            let mut server = hosts[1].accept().await;
            server.read_line().await.expect("the first line");
            server.send("UP 00ff\r\n").await;
            assert_eq!(client.read_line().await.as_deref(), Some("UP 00ff"));
            std::mem::forget((client, server));
        }
        // The policy has recorded these connections, so a new one is placed on the other host.
        test_node.establish(10, &hosts[0]).await;
    });
}

#[test]
fn draining_or_removed_host_receives_no_new_requests() {
    run(async {
        for health in ["draining", "removed"] {
            let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
            let (test_node, mut watch) = start_ready_node(&[&hosts[0]]).await;
            let (mut client, mut server) = test_node.establish(1, &hosts[0]).await;
            send_chunk(
                &mut watch,
                &list_line(2, false, &[hosts[0].list_entry(health), hosts[1].list_entry("up")]),
            )
            .await;
            test_node.wait_until_listed("s-2").await;
            let mut open = Vec::new();
            for id in 10..16 {
                open.push(test_node.establish(id, &hosts[1]).await);
            }
            // The established connection stays open.
            client.send("M 1\r\n").await;
            assert_eq!(server.read_line().await.as_deref(), Some("M 1"));
        }
    });
}
