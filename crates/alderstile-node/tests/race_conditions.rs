//! Race conditions: the stubs force an event to occur exactly between two given steps of the node.
//!
//! `docs/crossings.md` lists all pairs of steps.

use std::io::Write;
use std::pin::Pin;
use std::time::Duration;

use alderstile_node::config::Config;
use alderstile_node::lifecycle::shutdown;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

mod support;
use support::*;

/// How long a test waits for an event that must not happen. A slow machine can only make such a check miss a
/// fault.
const ABSENCE_WINDOW: Duration = Duration::from_millis(150);
/// Exceeds the time after which a connection to a full accept queue is established: the system retransmits
/// the SYN after one second.
const SYN_RETRY_WINDOW: Duration = Duration::from_millis(1_500);

/// Sets a connect timeout that exceeds the duration of these tests.
fn set_long_connect_timeout(value: &mut Value) {
    value["settings"]["allowed"]["connect_timeout"] = json!(20_000_000);
}

fn with_field(entry: Value, key: &str, value: Value) -> Value {
    let mut entry = entry;
    entry[key] = value;
    entry
}

/// Runs several cases of one test concurrently.
async fn run_concurrently(cases: Vec<Pin<Box<dyn Future<Output = ()>>>>) {
    let cases: Vec<_> = cases.into_iter().map(spawn_local).collect();
    for case in cases {
        case.await.expect("the case passes");
    }
}

// ---- while a connection to a host is being established ----

/// Applies a change to a host while the connection to it is being established. The request must be sent to
/// the other host instead.
async fn assert_redirected_after(
    change: &str,
    apply_change: impl AsyncFnOnce(&TestNode, &mut LineConnection, &StubHost),
) {
    let (blocked_host, other) = (StubHost::with_full_queue("s-1").await, StubHost::new("s-2").await);
    let (test_node, mut watch) = start_ready_node_with(&[&blocked_host], set_long_connect_timeout).await;
    let mut client = test_node.send_request(1, "d=20000").await;
    test_node.wait_until_in_flight().await;
    send_chunk(&mut watch, &list_line(2, false, &[other.list_entry("up")])).await;
    test_node.wait_until_listed("s-2").await;
    apply_change(&test_node, &mut watch, &blocked_host).await;
    blocked_host.free_queue().await;
    let mut late_connection = blocked_host.accept().await;
    tokio::select! {
        biased;
        line = late_connection.read_line() => assert_eq!(line, None, "{change}: request sent nevertheless"),
        // The node attempts the other host only after it has closed this attempt.
        _ = other.accept() => panic!("{change}: two attempts at the same time"),
    }
    let mut server = other.accept().await;
    server.read_line().await.expect("the first line");
    server.send("UP 02\r\n").await;
    assert_eq!(client.read_line().await.as_deref(), Some("UP 02"), "{change}");
}

/// Sends a list entry on the watch, and waits until the node has applied it.
async fn apply_entry(test_node: &TestNode, watch: &mut LineConnection, entry: Value) {
    send_chunk(
        watch,
        &list_line(3, false, &[entry, json!({"host": "s-3", "dial": "127.0.0.1:1", "health": "draining"})]),
    )
    .await;
    test_node.wait_until_listed("s-3").await;
}

#[test]
fn request_is_not_sent_to_a_host_that_changed_during_the_connect() {
    // Found in a short simulation of deploy/sites/short-waits.toml (zone+brink, seed 319956990080): with a
    // drain grace of 150 ms, a connection that was established late received its request 0.23 s after the
    // host was listed as draining.
    run(run_concurrently(vec![
        Box::pin(assert_redirected_after("draining", async |test_node, watch, host| {
            apply_entry(test_node, watch, host.list_entry("draining")).await;
        })),
        Box::pin(assert_redirected_after("removed", async |test_node, watch, host| {
            apply_entry(test_node, watch, host.list_entry("removed")).await;
        })),
        Box::pin(assert_redirected_after("restarted and cold", async |test_node, watch, host| {
            let now =
                std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after the epoch");
            let started_ms = json!(u64::try_from(now.as_millis()).expect("a time"));
            apply_entry(test_node, watch, with_field(host.list_entry("up"), "born_ms", started_ms)).await;
        })),
        Box::pin(assert_redirected_after("address changed", async |test_node, watch, host| {
            apply_entry(test_node, watch, with_field(host.list_entry("up"), "dial", json!("127.0.0.1:1")))
                .await;
        })),
        Box::pin(assert_redirected_after("taken out of service", async |test_node, _, host| {
            assert!(test_node.node.admin.set_host_online(&host.name, false).await.expect("done"));
        })),
    ]));
}

#[test]
fn resumed_connection_is_sent_to_its_host_even_if_that_drains_during_the_connect() {
    run(async {
        let blocked_host = StubHost::with_full_queue("s-1").await;
        let (test_node, mut watch) = start_ready_node_with(&[&blocked_host], set_long_connect_timeout).await;
        let mut client = test_node.send_request(1, "d=20000,at=s-1").await;
        test_node.wait_until_in_flight().await;
        apply_entry(&test_node, &mut watch, blocked_host.list_entry("draining")).await;
        blocked_host.free_queue().await;
        let mut server = blocked_host.accept().await;
        server.read_line().await.expect("the first line");
        server.send("UP 01\r\n").await;
        assert_eq!(client.read_line().await.as_deref(), Some("UP 01"));
    });
}

#[test]
fn connection_established_after_the_clients_wait_is_not_used() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node_with(&[&host], set_long_connect_timeout).await;
        let mut client = test_node.send_request(1, "d=300").await;
        // The node has started to connect, and the system establishes the connection. Blocking the thread
        // keeps the node from running until the client's wait has expired.
        test_node.wait_until_in_flight().await;
        std::thread::sleep(Duration::from_millis(400));
        let mut server = host.accept().await;
        assert_eq!(server.read_line().await, None, "sent after the client's wait");
        assert!(client.read_line().await.expect("an answer").starts_with("BUSY"));
    });
}

#[test]
fn fragile_request_is_retried_if_its_connection_breaks_before_the_line_is_sent_but_not_after() {
    run(async {
        for (line_sent, expected) in [(false, "UP 02"), (true, "FAILED")] {
            let hosts = [StubHost::with_full_queue("s-1").await, StubHost::new("s-2").await];
            let (test_node, mut watch) = start_ready_node_with(&[&hosts[0]], |value| {
                set_long_connect_timeout(value);
                value["settings"]["classes"][0]["semantics"] = json!("fragile");
            })
            .await;
            let mut client = test_node.send_request(1, "d=20000").await;
            test_node.wait_until_in_flight().await;
            send_chunk(&mut watch, &list_line(2, false, &[hosts[1].list_entry("up")])).await;
            test_node.wait_until_listed("s-2").await;
            hosts[0].free_queue().await;
            if line_sent {
                let mut server = hosts[0].accept().await;
                server.read_line().await.expect("the first line");
                server.reset();
            } else {
                // Blocking the thread keeps the node from running, so that its first write fails because of
                // the reset.
                let server = loop {
                    match rustix::net::accept(&hosts[0].listener) {
                        Ok(server) => break server,
                        Err(_) => std::thread::sleep(Duration::from_millis(5)),
                    }
                };
                rustix::net::sockopt::set_socket_linger(&server, Some(Duration::ZERO)).expect("set");
                drop(server);
                let mut server = hosts[1].accept().await;
                server.read_line().await.expect("the first line");
                server.send("UP 02\r\n").await;
            }
            assert_eq!(client.read_line().await.as_deref(), Some(expected));
        }
    });
}

// ---- when the client disconnects ----

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Closes,
    Resets,
    /// The client sends more lines than the node buffers, and closes.
    SendsManyLinesAndCloses,
    /// The client sends more lines than the node buffers, and resets the connection.
    SendsManyLinesAndResets,
    /// The client shuts down its sending side only.
    ClosesSendingSide,
}

const DISCONNECTS: [Disconnect; 5] = [
    Disconnect::Closes,
    Disconnect::Resets,
    Disconnect::SendsManyLinesAndCloses,
    Disconnect::SendsManyLinesAndResets,
    Disconnect::ClosesSendingSide,
];

/// More lines than the node buffers for a waiting client.
fn many_lines() -> String {
    (0..300).map(|number| format!("M {number} {}\r\n", "z".repeat(90))).collect()
}

/// Disconnects a client; a returned connection must be kept open.
async fn disconnect(mut client: LineConnection, how: Disconnect) -> Option<LineConnection> {
    if matches!(how, Disconnect::SendsManyLinesAndCloses | Disconnect::SendsManyLinesAndResets) {
        client.send(&many_lines()).await;
    }
    match how {
        Disconnect::Closes | Disconnect::SendsManyLinesAndCloses => None,
        Disconnect::Resets | Disconnect::SendsManyLinesAndResets => {
            client.reset();
            None
        }
        Disconnect::ClosesSendingSide => {
            client.0.get_mut().shutdown().await.expect("ended");
            Some(client)
        }
    }
}

#[test]
fn request_is_not_sent_if_its_client_leaves_during_the_connect() {
    run(run_concurrently(
        DISCONNECTS
            .into_iter()
            .map(|how| -> Pin<Box<dyn Future<Output = ()>>> {
                Box::pin(async move {
                    let host = StubHost::with_full_queue("s-1").await;
                    let (test_node, _watch) = start_ready_node_with(&[&host], set_long_connect_timeout).await;
                    let client = test_node.send_request(1, "d=20000").await;
                    test_node.wait_until_in_flight().await;
                    let _kept = disconnect(client, how).await;
                    timeout(Duration::from_secs(5), test_node.wait_until_idle())
                        .await
                        .expect("aborted at once");
                    host.free_queue().await;
                    assert!(!host.receives_line_within(SYN_RETRY_WINDOW).await, "{how:?}");
                })
            })
            .collect(),
    ));
}

#[test]
fn attempt_ends_when_its_client_leaves() {
    run(async {
        for (id, how) in (1..).zip(DISCONNECTS) {
            let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
            let (test_node, _watch) = start_ready_node(&[&hosts[0], &hosts[1]]).await;
            let client = test_node.send_request(id, "d=20000").await;
            let (mut server, other) = accept_attempt(&hosts).await;
            let _kept = disconnect(client, how).await;
            let ended = timeout(Duration::from_secs(5), server.read_line()).await;
            assert_eq!(ended, Ok(None), "{how:?}");
            assert!(!hosts[other].receives_line_within(ABSENCE_WINDOW).await, "{how:?}");
        }
    });
}

#[test]
fn no_second_attempt_is_made_if_the_client_left_before_the_rejection() {
    run(async {
        let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
        let (test_node, _watch) = start_ready_node(&[&hosts[0], &hosts[1]]).await;
        // Repeated, because the order in which two simultaneous events are processed must not be left to
        // chance.
        for id in 0..20 {
            let client = test_node.send_request(id, "d=20000").await;
            let (server, other) = accept_attempt(&hosts).await;
            // The client's close and the host's response arrive at the same time, in this order.
            drop(client);
            server.0.get_ref().try_write(b"BUSY\r\n").expect("sent");
            test_node.wait_until_idle().await;
            assert!(
                timeout(Duration::from_millis(10), hosts[other].accept()).await.is_err(),
                "a second attempt was made"
            );
        }
    });
}

/// The time after a client's disconnect from which no attempt may start. An attempt more than 0.1 s after it
/// violates the limit; the difference is a margin for slow machines.
const DETECTION_WINDOW: Duration = Duration::from_millis(70);

#[test]
fn no_attempt_starts_shortly_after_its_client_left() {
    run(async {
        for (id, how) in (1..).zip(DISCONNECTS) {
            let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
            let (test_node, _watch) = start_ready_node(&[&hosts[0], &hosts[1]]).await;
            let client = test_node.send_request(id, "d=20000").await;
            let (server, other) = accept_attempt(&hosts).await;
            let _kept = disconnect(client, how).await;
            sleep(DETECTION_WINDOW).await;
            server.0.get_ref().try_write(b"BUSY\r\n").unwrap_or_default();
            assert!(timeout(ABSENCE_WINDOW, hosts[other].accept()).await.is_err(), "{how:?}");
        }
    });
}

#[test]
fn no_attempt_starts_shortly_after_a_client_overfilled_its_receive_buffer_and_left() {
    // The end of a connection cannot be detected behind a full receive buffer, so the node must check the
    // number of unread bytes often enough.
    run(async {
        for id in 1..6 {
            let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
            let (test_node, _watch) = start_ready_node(&[&hosts[0], &hosts[1]]).await;
            let mut client = test_node.send_request(id, "d=20000").await;
            let (server, other) = accept_attempt(&hosts).await;
            // The node buffers only a part of this, and has checked the number of unread bytes.
            client.send(&"M 1\r\n".repeat(2_000)).await;
            sleep(Duration::from_millis(10)).await;
            // Fills the socket buffers of both sides, so that the close is queued behind them.
            while client.0.get_ref().try_write(many_lines().as_bytes()).is_ok() {}
            drop(client);
            sleep(DETECTION_WINDOW).await;
            server.0.get_ref().try_write(b"BUSY\r\n").unwrap_or_default();
            assert!(
                timeout(ABSENCE_WINDOW, hosts[other].accept()).await.is_err(),
                "attempt made after the disconnect"
            );
        }
    });
}

#[test]
fn no_attempt_starts_for_a_client_that_left_while_the_node_was_stalled() {
    // The node did not get CPU time: both the client's close and the host's rejection were queued long before
    // it runs.
    run(async {
        for round in 0..4 {
            for (id, how) in (1..).zip(DISCONNECTS) {
                let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
                let (test_node, _watch) = start_ready_node(&[&hosts[0], &hosts[1]]).await;
                let client = test_node.send_request(id, "d=20000").await;
                let (server, other) = accept_attempt(&hosts).await;
                let stream = client.0.get_ref();
                let mut kept = None;
                if matches!(how, Disconnect::SendsManyLinesAndCloses | Disconnect::SendsManyLinesAndResets) {
                    stream.try_write(many_lines().as_bytes()).expect("space in the socket buffer");
                }
                match how {
                    Disconnect::Closes | Disconnect::SendsManyLinesAndCloses => drop(client),
                    Disconnect::Resets | Disconnect::SendsManyLinesAndResets => client.reset(),
                    Disconnect::ClosesSendingSide => {
                        rustix::net::shutdown(stream, rustix::net::Shutdown::Write).expect("ended");
                        kept = Some(client);
                    }
                }
                std::thread::sleep(Duration::from_millis(110));
                server.0.get_ref().try_write(b"BUSY\r\n").expect("sent");
                if round % 2 == 0 {
                    std::thread::sleep(Duration::from_millis(20));
                }
                let second_attempt = timeout(Duration::from_millis(30), hosts[other].accept()).await;
                assert!(second_attempt.is_err(), "{how:?}");
                drop(kept);
            }
        }
    });
}

#[test]
fn request_is_not_sent_for_a_client_that_left_before_it_was_accepted() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node(&[&host]).await;
        for (id, how) in (1..).zip(DISCONNECTS) {
            // The node does not run until the client has left, as both share this thread.
            let mut client = std::net::TcpStream::connect(test_node.address).expect("queued by the system");
            let many_lines =
                matches!(how, Disconnect::SendsManyLinesAndCloses | Disconnect::SendsManyLinesAndResets)
                    .then(many_lines)
                    .unwrap_or_default();
            // Sent with one write, or the system would delay the last part until the first is acknowledged.
            let sent = format!("OPEN {id:016x} {id:016x} c=chat,d=20000\r\n{many_lines}");
            client.write_all(sent.as_bytes()).expect("sent");
            let kept = match how {
                Disconnect::Closes | Disconnect::SendsManyLinesAndCloses => {
                    drop(client);
                    None
                }
                Disconnect::Resets | Disconnect::SendsManyLinesAndResets => {
                    rustix::net::sockopt::set_socket_linger(&client, Some(Duration::ZERO)).expect("set");
                    drop(client);
                    None
                }
                Disconnect::ClosesSendingSide => {
                    client.shutdown(std::net::Shutdown::Write).expect("ended");
                    Some(client)
                }
            };
            if matches!(how, Disconnect::Closes | Disconnect::ClosesSendingSide) {
                // The close follows directly after the line, so the node does not even connect to a host.
                assert!(timeout(ABSENCE_WINDOW, host.accept()).await.is_err(), "{how:?}");
            }
            assert!(!host.receives_line_within(ABSENCE_WINDOW).await, "{how:?}");
            drop(kept);
            test_node.wait_until_idle().await;
        }
        test_node.establish(100, &host).await;
    });
}

#[test]
fn resumed_connection_is_not_retried_after_its_client_left() {
    run(run_concurrently(
        (0..8)
            .map(|_| -> Pin<Box<dyn Future<Output = ()>>> {
                Box::pin(async {
                    let host = StubHost::new("s-1").await;
                    let (test_node, _watch) = start_ready_node(&[&host]).await;
                    let client = test_node.send_request(1, "d=20000,at=s-1").await;
                    let mut server = host.accept().await;
                    server.read_line().await.expect("the first line");
                    server.send("BUSY\r\n").await;
                    // The node has closed the attempt and waits for the retry.
                    assert_eq!(server.read_line().await, None);
                    drop(client);
                    assert!(timeout(Duration::from_millis(600), host.accept()).await.is_err(), "retried");
                })
            })
            .collect(),
    ));
}

#[test]
fn resumed_connection_is_retried_at_its_host() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node(&[&host]).await;
        let mut client = test_node.send_request(1, "d=20000,at=s-1").await;
        let mut server = host.accept().await;
        server.read_line().await.expect("the first line");
        server.send("BUSY\r\n").await;
        client.send("M 1\r\n").await;
        let mut server = host.accept().await;
        server.read_line().await.expect("the first line");
        server.send("UP 01\r\n").await;
        assert_eq!(client.read_line().await.as_deref(), Some("UP 01"));
        assert_eq!(server.read_line().await.as_deref(), Some("M 1"));
    });
}

#[test]
fn lines_sent_while_waiting_are_all_forwarded() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node(&[&host]).await;
        let mut client = test_node.send_request(1, "d=20000").await;
        client.send(&many_lines()).await;
        let mut server = host.accept().await;
        server.read_line().await.expect("the first line");
        // Nothing is forwarded before `UP`.
        assert!(timeout(ABSENCE_WINDOW, server.read_line()).await.is_err());
        server.send("UP 01\r\n").await;
        assert_eq!(client.read_line().await.as_deref(), Some("UP 01"));
        for line in many_lines().lines() {
            assert_eq!(server.read_line().await.as_deref(), Some(line));
        }
    });
}

#[test]
fn waiting_client_that_overfills_its_receive_buffer_is_answered_without_an_attempt() {
    // The end of the connection could not be detected behind a full receive buffer.
    run(async {
        let blocked_host = StubHost::with_full_queue("s-1").await;
        let (test_node, _watch) = start_ready_node_with(&[&blocked_host], set_long_connect_timeout).await;
        let mut client = test_node.send_request(1, "d=20000").await;
        test_node.wait_until_in_flight().await;
        client.0.get_mut().write_all(many_lines().repeat(3).as_bytes()).await.expect("sent");
        assert_eq!(client.read_line().await.as_deref(), Some("ERR"));
        test_node.wait_until_idle().await;
        blocked_host.free_queue().await;
        assert!(!blocked_host.receives_line_within(SYN_RETRY_WINDOW).await);
    });
}

#[test]
fn waiting_client_that_sends_a_too_long_line_is_answered() {
    // The request was admitted: closing the connection without an answer would lose it.
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node(&[&host]).await;
        let mut client = test_node.send_request(1, "d=20000").await;
        let mut server = host.accept().await;
        server.read_line().await.expect("the first line");
        client.send(&"x".repeat(5_000)).await;
        assert_eq!(client.read_line().await.as_deref(), Some("ERR"));
        assert_eq!(client.read_line().await, None);
        assert_eq!(server.read_line().await, None, "the attempt is closed");
    });
}

#[test]
fn first_line_that_is_not_utf8_is_rejected() {
    // The first line is handed over to a successor as text, so any other line must be rejected.
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node(&[&host]).await;
        for bad in [&b"OPEN \xff\xfe 01 c=chat,d=20000\r\n"[..], b"OPEN 01 01 c=chat,d=20000,x=\xc3\x28\r\n"]
        {
            let mut client = test_node.connect().await;
            client.0.get_mut().write_all(bad).await.expect("sent");
            assert_eq!(client.read_line().await.as_deref(), Some("ERR"), "{bad:?}");
        }
        assert!(!host.receives_line_within(ABSENCE_WINDOW).await);
    });
}

// ---- the watch of discovery ----

#[test]
fn watch_without_a_complete_line_is_replaced_in_time() {
    run(async {
        for sends_parts in [false, true] {
            let host = StubHost::new("s-1").await;
            let (test_node, mut watch) = start_ready_node(&[&host]).await;
            send_chunk(&mut watch, "\n").await;
            let silent_since = Instant::now();
            let trickle = spawn_local(async move {
                // Parts of a list, one byte at a time, do not count as activity.
                while sends_parts && watch.0.get_mut().write_all(b"1\r\n{\r\n").await.is_ok() {
                    sleep(Duration::from_millis(300)).await;
                }
                watch
            });
            let (request_line, _call) = test_node.discovery.accept_call().await;
            assert!(request_line.contains("stream=1"), "{request_line}");
            // A node counts as notified of a missed change 6 s after the silence began, and the answer takes
            // time, too.
            assert!(silent_since.elapsed() < Duration::from_secs(5), "{:?}", silent_since.elapsed());
            trickle.abort();
        }
    });
}

#[test]
fn watch_with_a_line_every_two_seconds_stays_open() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, mut watch) = start_ready_node(&[&host]).await;
        for _ in 0..2 {
            assert!(
                timeout(Duration::from_secs(2), test_node.discovery.accept_call()).await.is_err(),
                "called again"
            );
            send_chunk(&mut watch, "\r\n").await;
        }
    });
}

#[test]
fn watch_request_made_while_a_watch_is_open_is_discarded() {
    // Otherwise nodes that lose their watches together would all call again at once.
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, watch) = start_ready_node(&[&host]).await;
        test_node.node.decisions.list_requested.notify_one();
        let ended_at = Instant::now();
        drop(watch);
        test_node.discovery.accept_call().await;
        // The wait is spread over 250 to 750 ms.
        assert!(ended_at.elapsed() >= Duration::from_millis(250), "{:?}", ended_at.elapsed());
    });
}

#[test]
fn indented_list_on_a_watch_is_read_completely() {
    run(async {
        let hosts = [StubHost::new("s-1{").await, StubHost::new("s-2\"]").await];
        let test_node = start_node(|_| {}).await;
        let mut watch = test_node.discovery.accept_watch(&[]).await;
        let complete = json!({"seq": 1, "whole": true, "hosts": [hosts[0].list_entry("up")]});
        send_chunk(&mut watch, &format!("{}\n\r\n", serde_json::to_string_pretty(&complete).expect("JSON")))
            .await;
        test_node.wait_until_ready().await;
        test_node.establish(1, &hosts[0]).await;
        let change = json!({
            "seq": 2, "whole": false, "hosts": [hosts[0].list_entry("draining"), hosts[1].list_entry("up")]
        });
        for piece in serde_json::to_string_pretty(&change).expect("JSON").split_inclusive('\n') {
            send_chunk(&mut watch, piece).await;
        }
        send_chunk(&mut watch, "\n").await;
        test_node.wait_until_listed("s-2\"]").await;
        test_node.establish(2, &hosts[1]).await;
    });
}

#[test]
fn drain_received_after_a_broken_watch_applies_before_new_requests() {
    run(async {
        let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
        let (test_node, watch) = start_ready_node(&[&hosts[0], &hosts[1]]).await;
        watch.reset();
        // Discovery rejects the first call and answers the second: the drain applies from that answer on.
        let (_, mut call) = test_node.discovery.accept_call().await;
        call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").await;
        let drains = list_line(2, false, &[hosts[0].list_entry("draining")]);
        let _watch = test_node.discovery.accept_watch(&[&drains]).await;
        while test_node.node.decisions.complete_list().version < 2 {
            sleep(Duration::from_millis(1)).await;
        }
        let mut open = Vec::new();
        for id in 1..8 {
            open.push(test_node.establish(id, &hosts[1]).await);
        }
    });
}

#[test]
fn watch_of_pushed_lists_is_retried_at_once_however_often_it_fails() {
    // A node counts as notified of a change as soon as the local agent has it, whether or not a watch is
    // open.
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, watch) =
            start_ready_node_with(&[&host], |value| value["settings"]["discovery"] = json!("automatic"))
                .await;
        drop(watch);
        let mut last_answer_at = Instant::now();
        for _ in 0..8 {
            let (_, mut call) = test_node.discovery.accept_call().await;
            // The delay is at most 100 ms, plus that of a slow machine. With exponential backoff it would
            // grow to seconds.
            assert!(last_answer_at.elapsed() < Duration::from_secs(1), "{:?}", last_answer_at.elapsed());
            call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").await;
            last_answer_at = Instant::now();
        }
    });
}

#[test]
fn last_of_two_simultaneous_configurations_is_applied() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, mut watch) = start_ready_node(&[&host]).await;
        let (first, last) = (StubDiscovery::new().await, StubDiscovery::new().await);
        for discovery in [&first, &last] {
            let mut new_config = test_node.node.config().source.clone();
            new_config["discovery"] = json!(discovery.0.local_addr().expect("bound").to_string());
            // The policy requests a watch at the same time.
            test_node.node.decisions.list_requested.notify_one();
            test_node
                .node
                .apply_config(Config::from_file_value(new_config, |_| None).expect("a valid configuration"));
        }
        assert_eq!(watch.read_line().await, None, "the old watch is dropped");
        let (line, mut call) = last.accept_call().await;
        assert_eq!(line, "GET /catalog/members HTTP/1.1", "called with the old address's version");
        let body = list_line(9, true, &[host.list_entry("up")]);
        send_complete_list(&mut call, &body).await;
        let (line, _watch) = last.accept_call().await;
        assert!(line.contains("stream=1&index=9"), "{line}");
        assert!(timeout(ABSENCE_WINDOW, first.accept_call()).await.is_err(), "the first address was called");
    });
}

// ---- shutdown ----

/// Shortens the shutdown to about a second, with classes whose requests may take 300 ms.
fn set_short_shutdown(value: &mut Value) {
    for class in value["settings"]["classes"].as_array_mut().expect("classes") {
        class["give_up"] = json!(300_000);
    }
    set_long_connect_timeout(value);
}

#[test]
fn waiting_clients_are_answered_before_the_shutdown_completes() {
    // Requests may wait longer than a shutdown takes, and hosts may hang meanwhile.
    run(async {
        let (blocked_host, hanging) = (StubHost::with_full_queue("s-1").await, StubHost::new("s-2").await);
        let (test_node, mut watch) = start_ready_node_with(&[&blocked_host], |value| {
            set_short_shutdown(value);
            value["settings"]["classes"][1]["semantics"] = json!("fragile");
        })
        .await;
        // The connection to its host is not established: a request that has not run may be retried.
        let mut connecting = test_node.send_request(1, "d=20000").await;
        test_node.wait_until_in_flight().await;
        send_chunk(
            &mut watch,
            &list_line(2, false, &[blocked_host.list_entry("draining"), hanging.list_entry("up")]),
        )
        .await;
        test_node.wait_until_listed("s-2").await;
        // These requests have been sent, so they may have run.
        let mut sent = test_node.send_request(2, "d=20000").await;
        let mut fragile = test_node.connect().await;
        fragile.send("OPEN 0000000000000003 03 c=presence,d=20000\r\n").await;
        let mut servers = Vec::new();
        for _ in 0..2 {
            let mut server = hanging.accept().await;
            server.read_line().await.expect("the first line");
            servers.push(server);
        }
        // A resumed connection that waits for a retry, and a client that has sent no complete first line.
        let mut resumed = test_node.send_request(4, "d=20000,at=s-9").await;
        let mut partial = test_node.connect().await;
        partial.send("OPEN 00").await;
        while test_node.node.clients.in_flight_count() < 4 {
            sleep(Duration::from_millis(1)).await;
        }
        let (shutdown_timeout, started_at) = (test_node.node.config().shutdown_timeout, Instant::now());
        let shutdown_task = spawn_local(shutdown::run(test_node.node.clone(), test_node.listener_task));
        assert!(connecting.read_line().await.expect("an answer").starts_with("BUSY"));
        assert!(sent.read_line().await.expect("an answer").starts_with("BUSY"));
        assert_eq!(fragile.read_line().await.as_deref(), Some("FAILED"));
        assert_eq!(resumed.read_line().await.as_deref(), Some("FAILED"));
        assert_eq!(partial.read_line().await, None);
        // The clients were not cut off early: the shutdown timeout is that of the longest request plus 0.7 s.
        assert!(started_at.elapsed() > Duration::from_millis(600), "{:?}", started_at.elapsed());
        shutdown_task.await.expect("shutdown completes");
        assert!(
            started_at.elapsed() < shutdown_timeout,
            "{:?} of {shutdown_timeout:?}",
            started_at.elapsed()
        );
        assert!(!blocked_host.receives_line_within(ABSENCE_WINDOW).await);
    });
}

#[test]
fn shutdown_completes_in_time_with_clients_that_stay_connected() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node_with(&[&host], set_short_shutdown).await;
        let (mut client, _server) = test_node.establish(1, &host).await;
        let (shutdown_timeout, started_at) = (test_node.node.config().shutdown_timeout, Instant::now());
        let shutdown_task = spawn_local(shutdown::run(test_node.node.clone(), test_node.listener_task));
        assert_eq!(client.read_line().await.as_deref(), Some("MOVE"));
        shutdown_task.await.expect("shutdown completes");
        assert!(
            started_at.elapsed() < shutdown_timeout,
            "{:?} of {shutdown_timeout:?}",
            started_at.elapsed()
        );
    });
}

#[test]
fn client_whose_first_line_arrives_in_pieces_during_shutdown_is_served() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node_with(&[&host], set_short_shutdown).await;
        let mut client = test_node.connect().await;
        client.send("OPEN 0000000000000001 01 c=ch").await;
        let shutdown_task = spawn_local(shutdown::run(test_node.node.clone(), test_node.listener_task));
        while test_node.node.admin.is_ready() {
            sleep(Duration::from_millis(1)).await;
        }
        client.send("at,d=300\r").await;
        tokio::task::yield_now().await;
        client.send("\n").await;
        let mut server = host.accept().await;
        server.read_line().await.expect("the first line");
        // A migration requested between the host's `UP` and the client's `UP` must not be lost.
        test_node.node.clients.migrate_all();
        server.send("UP 01\r\n").await;
        assert_eq!(client.read_line().await.as_deref(), Some("UP 01"));
        assert_eq!(client.read_line().await.as_deref(), Some("MOVE"));
        shutdown_task.await.expect("shutdown completes");
    });
}

#[test]
fn clients_that_arrive_before_the_front_notices_a_shutdown_are_answered() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node_with(&[&host], |value| {
            for class in value["settings"]["classes"].as_array_mut().expect("classes") {
                class["give_up"] = json!(30_000);
            }
        })
        .await;
        let (shutdown_timeout, started_at) = (test_node.node.config().shutdown_timeout, Instant::now());
        let shutdown_task = spawn_local(shutdown::run(test_node.node.clone(), test_node.listener_task));
        // The front sends clients for another 0.4 s. On a slow machine this loop ends early and checks less.
        while started_at.elapsed() < Duration::from_millis(390) {
            let mut client = LineConnection::connect(test_node.address).await;
            client.send(&format!("OPEN {0:x} {0:x} c=chat,d=30\r\n", started_at.elapsed().as_nanos())).await;
            assert!(client.read_line().await.is_some(), "after {:?}", started_at.elapsed());
            sleep(Duration::from_millis(20)).await;
        }
        shutdown_task.await.expect("shutdown completes");
        assert!(
            started_at.elapsed() < shutdown_timeout,
            "{:?} of {shutdown_timeout:?}",
            started_at.elapsed()
        );
    });
}

#[test]
fn shutdown_before_the_first_list_answers_clients_and_completes() {
    run(async {
        let test_node = start_node(set_short_shutdown).await;
        let shutdown_task = spawn_local(shutdown::run(test_node.node.clone(), test_node.listener_task));
        let mut client = LineConnection::connect(test_node.address).await;
        client.send("OPEN 0000000000000001 01 c=chat,d=300\r\n").await;
        assert!(client.read_line().await.expect("an answer").starts_with("BUSY"));
        shutdown_task.await.expect("shutdown completes");
    });
}

// ---- simultaneous lines and closes of hosts ----

#[test]
fn lines_received_together_with_up_reach_the_client() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node(&[&host]).await;
        // A host that closes all connections of a node counts as failed, so one connection stays open.
        let _other = test_node.establish(9, &host).await;
        for (id, lines) in (10..).zip([vec!["BYE"], vec!["MOVE"], vec!["hello", "BYE"], vec![]]) {
            let mut client = test_node.send_request(id, "d=20000").await;
            let mut server = host.accept().await;
            server.read_line().await.expect("the first line");
            let lines_after_up: String = lines.iter().map(|line| format!("{line}\r\n")).collect();
            server.0.get_ref().try_write(format!("UP 01\r\n{lines_after_up}").as_bytes()).expect("sent");
            drop(server);
            assert_eq!(client.read_line().await.as_deref(), Some("UP 01"));
            for line in lines {
                assert_eq!(client.read_line().await.as_deref(), Some(line));
            }
            assert_eq!(client.read_line().await, None);
        }
    });
}

#[test]
fn second_response_to_a_rejected_attempt_is_dropped() {
    run(async {
        for after_close in [false, true] {
            let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
            let (test_node, _watch) = start_ready_node(&[&hosts[0], &hosts[1]]).await;
            let mut client = test_node.send_request(1, "d=20000").await;
            let (mut server, other) = accept_attempt(&hosts).await;
            if after_close {
                server.send("BUSY\r\n").await;
                assert_eq!(server.read_line().await, None, "the attempt is closed");
                server.0.get_mut().write_all(b"UP 99\r\n").await.unwrap_or_default();
            } else {
                server.send("BUSY\r\nUP 99\r\n").await;
            }
            let mut server = hosts[other].accept().await;
            server.read_line().await.expect("the first line");
            server.send("UP 02\r\n").await;
            assert_eq!(client.read_line().await.as_deref(), Some("UP 02"));
            assert!(timeout(ABSENCE_WINDOW, client.read_line()).await.is_err(), "line received after `UP`");
        }
    });
}

#[test]
fn response_in_single_bytes_is_accepted_and_an_endless_one_is_not() {
    run(async {
        let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
        let (test_node, _watch) = start_ready_node(&[&hosts[0], &hosts[1]]).await;
        let mut client = test_node.send_request(1, "d=20000").await;
        let (mut server, other) = accept_attempt(&hosts).await;
        server.0.get_mut().write_all(&[b'U'; 5_000]).await.unwrap_or_default();
        let mut server = hosts[other].accept().await;
        server.read_line().await.expect("the first line");
        for byte in "UP 02\r\nhello\r\n".chars() {
            server.send(&byte.to_string()).await;
            tokio::task::yield_now().await;
        }
        for expected in ["UP 02", "hello"] {
            assert_eq!(client.read_line().await.as_deref(), Some(expected));
        }
    });
}

#[test]
fn simultaneous_close_of_both_sides_ends_the_request() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node(&[&host]).await;
        let (client, server) = test_node.establish(1, &host).await;
        server.0.get_ref().try_write(b"BYE\r\n").expect("sent");
        drop((client, server));
        test_node.wait_until_idle().await;
        // An idle connection that the host closes while the client sends a line.
        let (mut client, server) = test_node.establish(2, &host).await;
        client.0.get_ref().try_write(b"M 1\r\n").expect("sent");
        drop(server);
        assert_eq!(client.read_line().await, None);
        test_node.wait_until_idle().await;
    });
}
