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
            let hosts = [Host::new("s-1").await, Host::new("s-2").await];
            let (setup, _watch) = serving(&[&hosts[0], &hosts[1]]).await;
            let mut client = setup.open(1, "d=20000").await;
            let (mut server, other) = attempt_at(&hosts).await;
            let both = timeout(MOMENT, hosts[other].accept()).await;
            assert!(both.is_err(), "two attempts are out");
            server.send(answer).await;
            drop(server);
            let mut server = hosts[other].accept().await;
            server.line().await.expect("the first line");
            server.send("UP 02\r\n").await;
            assert_eq!(client.line().await.as_deref(), Some("UP 02"), "after {answer:?}");
        }
    });
}

#[test]
fn a_host_that_refuses_connections_costs_the_client_nothing() {
    run(async {
        let (gone, host) = (Host::new("s-1").await, Host::new("s-2").await);
        let (setup, _watch) = serving(&[&gone, &host]).await;
        drop(gone.listener);
        let mut open = Vec::new();
        for id in 1..=4 {
            open.push(setup.up(id, &host).await);
        }
    });
}

#[test]
fn a_request_given_up_on_is_answered_and_a_late_up_reaches_nobody() {
    run(async {
        let host = Host::new("s-1").await;
        let (setup, _watch) = serving(&[&host]).await;
        let mut client = setup.open(1, "d=300").await;
        let mut server = host.accept().await;
        server.line().await.expect("the first line");
        let answer = client.line().await.expect("an answer");
        assert!(answer.starts_with("BUSY"), "{answer}");
        // The host sees the end of the attempt; what it says now goes nowhere.
        assert_eq!(server.line().await, None);
        server.0.get_mut().write_all(b"UP 00ff\r\n").await.unwrap_or_default();
        assert_eq!(client.line().await, None);
    });
}

#[test]
fn a_client_that_leaves_takes_its_attempt_or_connection_along() {
    run(async {
        let host = Host::new("s-1").await;
        let (setup, _watch) = serving(&[&host]).await;
        let client = setup.open(1, "d=20000").await;
        let mut server = host.accept().await;
        server.line().await.expect("the first line");
        drop(client);
        assert_eq!(server.line().await, None);
        let (client, mut server) = setup.up(2, &host).await;
        drop(client);
        assert_eq!(server.line().await, None);
    });
}

#[test]
fn a_connection_from_before_the_run_goes_back_to_its_host() {
    run(async {
        let hosts = [Host::new("s-1").await, Host::new("s-2").await];
        let (setup, _watch) = serving(&[&hosts[0], &hosts[1]]).await;
        for id in 1..=4 {
            let mut client = setup.open(id, "d=20000,at=s-2").await;
            let mut server = hosts[1].accept().await;
            server.line().await.expect("the first line");
            server.send("UP 00ff\r\n").await;
            assert_eq!(client.line().await.as_deref(), Some("UP 00ff"));
            std::mem::forget((client, server));
        }
        // They are in the record: new ones go to the other.
        setup.up(10, &hosts[0]).await;
    });
}

#[test]
fn nothing_new_goes_to_a_host_that_drains_or_is_gone() {
    run(async {
        for health in ["draining", "removed"] {
            let hosts = [Host::new("s-1").await, Host::new("s-2").await];
            let (setup, mut watch) = serving(&[&hosts[0]]).await;
            let (mut client, mut server) = setup.up(1, &hosts[0]).await;
            chunk(&mut watch, &list(2, false, &[hosts[0].entry(health), hosts[1].entry("up")])).await;
            setup.until_listed("s-2").await;
            let mut open = Vec::new();
            for id in 10..16 {
                open.push(setup.up(id, &hosts[1]).await);
            }
            // What is open stays open.
            client.send("M 1\r\n").await;
            assert_eq!(server.line().await.as_deref(), Some("M 1"));
        }
    });
}
