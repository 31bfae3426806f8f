//! Attempts at hosts: which failures are retried elsewhere, and what never goes out.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

mod support;
use support::*;

/// What must not come is looked for this long: a slow machine can only make such a check miss a fault.
const MOMENT: Duration = Duration::from_millis(150);

#[test]
fn an_attempt_that_fails_is_followed_by_one_at_another_host_and_never_by_two() {
    run(async {
        for answer in ["ERR\r\n", "BUSY\r\n", "nonsense\r\n", "", "MOVE\r\n"] {
            let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
            let (setup, _watch) = start_ready_node(&[&hosts[0], &hosts[1]]).await;
            let mut client = setup.send_request(1, "d=20000").await;
            let (mut server, other) = accept_attempt(&hosts).await;
            let both = timeout(MOMENT, hosts[other].accept()).await;
            assert!(both.is_err(), "two attempts are out");
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
fn a_host_that_refuses_connections_costs_the_client_nothing() {
    run(async {
        let (gone, host) = (StubHost::new("s-1").await, StubHost::new("s-2").await);
        let (setup, _watch) = start_ready_node(&[&gone, &host]).await;
        drop(gone.listener);
        let mut open = Vec::new();
        for id in 1..=4 {
            open.push(setup.establish(id, &host).await);
        }
    });
}

#[test]
fn a_request_given_up_on_is_answered_and_a_late_up_reaches_nobody() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, _watch) = start_ready_node(&[&host]).await;
        let mut client = setup.send_request(1, "d=300").await;
        let mut server = host.accept().await;
        server.read_line().await.expect("the first line");
        let answer = client.read_line().await.expect("an answer");
        assert!(answer.starts_with("BUSY"), "{answer}");
        // The host sees the end of the attempt; what it says now goes nowhere.
        assert_eq!(server.read_line().await, None);
        server.0.get_mut().write_all(b"UP 00ff\r\n").await.unwrap_or_default();
        assert_eq!(client.read_line().await, None);
    });
}

#[test]
fn a_client_that_leaves_takes_its_attempt_or_connection_along() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, _watch) = start_ready_node(&[&host]).await;
        let client = setup.send_request(1, "d=20000").await;
        let mut server = host.accept().await;
        server.read_line().await.expect("the first line");
        drop(client);
        assert_eq!(server.read_line().await, None);
        let (client, mut server) = setup.establish(2, &host).await;
        drop(client);
        assert_eq!(server.read_line().await, None);
    });
}

#[test]
fn a_connection_from_before_the_run_goes_back_to_its_host() {
    run(async {
        let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
        let (setup, _watch) = start_ready_node(&[&hosts[0], &hosts[1]]).await;
        for id in 1..=4 {
            let mut client = setup.send_request(id, "d=20000,at=s-2").await;
            let mut server = hosts[1].accept().await;
            server.read_line().await.expect("the first line");
            server.send("UP 00ff\r\n").await;
            assert_eq!(client.read_line().await.as_deref(), Some("UP 00ff"));
            std::mem::forget((client, server));
        }
        // They are in the record: new ones go to the other.
        setup.establish(10, &hosts[0]).await;
    });
}

#[test]
fn nothing_new_goes_to_a_host_that_drains_or_is_gone() {
    run(async {
        for health in ["draining", "removed"] {
            let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
            let (setup, mut watch) = start_ready_node(&[&hosts[0]]).await;
            let (mut client, mut server) = setup.establish(1, &hosts[0]).await;
            send_chunk(
                &mut watch,
                &list_line(2, false, &[hosts[0].list_entry(health), hosts[1].list_entry("up")]),
            )
            .await;
            setup.wait_until_listed("s-2").await;
            let mut open = Vec::new();
            for id in 10..16 {
                open.push(setup.establish(id, &hosts[1]).await);
            }
            // What is open stays open.
            client.send("M 1\r\n").await;
            assert_eq!(server.read_line().await.as_deref(), Some("M 1"));
        }
    });
}
