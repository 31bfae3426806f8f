//! The relay between a client and its host: lines, ends, silence and slow readers.

use std::time::Duration;

use alderstile_node::lifecycle::shutdown;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout_at};

mod support;
use support::*;

/// What must not come is looked for this long: a slow machine can only make such a check miss a fault.
const MOMENT: Duration = Duration::from_millis(150);

#[test]
fn lines_pass_unchanged_both_ways_until_the_host_says_bye() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, _watch) = start_ready_node(&[&host]).await;
        let mut client = setup.send_request(1, "d=20000,g=5c0f6e1a2b3d4c59,x=1").await;
        let mut server = host.accept().await;
        let line = server.read_line().await.expect("the first line");
        let wait = line.strip_prefix("OPEN 0000000000000001 0000000000000001 c=chat,d=").expect("unchanged");
        let wait = wait.strip_suffix(",g=5c0f6e1a2b3d4c59,x=1").expect("unchanged");
        assert!(wait.parse::<u64>().expect("a number") < 20_000, "the time that the node will wait");
        server.send("UP 00ff\r\nLOAD 12.5\r\nhello\r\n").await;
        for wanted in ["UP 00ff", "LOAD 12.5", "hello"] {
            assert_eq!(client.read_line().await.as_deref(), Some(wanted));
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
fn what_a_client_says_before_it_is_up_reaches_the_host_after() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, _watch) = start_ready_node(&[&host]).await;
        let mut client = setup.send_request(1, "d=20000").await;
        client.send("M 1\r\n").await;
        let mut server = host.accept().await;
        server.read_line().await.expect("the first line");
        server.send("UP 00ff\r\n").await;
        assert_eq!(server.read_line().await.as_deref(), Some("M 1"));
    });
}

#[test]
fn an_end_passes_on_as_it_came() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, _watch) = start_ready_node(&[&host]).await;
        // A host that drops all of a node's connections is taken for lost; this one stays.
        let _other = setup.establish(9, &host).await;
        let (mut client, server) = setup.establish(1, &host).await;
        drop(server);
        assert!(!client.is_reset().await);
        let (mut client, server) = setup.establish(2, &host).await;
        server.reset();
        assert!(client.is_reset().await);
        // The reset pauses the host, but where no other is left it is tried all the same.
        let (client, mut server) = setup.establish(3, &host).await;
        client.reset();
        assert!(server.is_reset().await);
    });
}

#[test]
fn a_client_that_ends_its_sending_has_left() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, _watch) = start_ready_node(&[&host]).await;
        let (mut client, mut server) = setup.establish(1, &host).await;
        client.send("M 1\r\n").await;
        client.0.get_mut().shutdown().await.expect("ended");
        assert_eq!(server.read_line().await.as_deref(), Some("M 1"), "its last line goes on");
        assert_eq!(server.read_line().await, None);
        assert_eq!(client.read_line().await, None);
    });
}

#[test]
fn a_client_whose_lines_bring_nothing_back_is_told_to_move() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, _watch) = start_ready_node(&[&host]).await;
        let (mut client, mut server) = setup.establish(1, &host).await;
        client.send("M 1\r\n").await;
        // What the host says of itself is no return.
        server.send("LOAD 3\r\n").await;
        assert_eq!(client.read_line().await.as_deref(), Some("LOAD 3"));
        assert_eq!(client.read_line().await.as_deref(), Some("MOVE"));
        assert_eq!(client.read_line().await, None);
    });
}

#[test]
fn a_host_that_stops_right_after_an_answer_is_given_up_within_seven_seconds_of_it() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, _watch) = start_ready_node(&[&host]).await;
        let (mut client, mut server) = setup.establish(1, &host).await;
        client.send("M 1\r\n").await;
        assert_eq!(server.read_line().await.as_deref(), Some("M 1"));
        server.send("M 1\r\n").await;
        assert_eq!(client.read_line().await.as_deref(), Some("M 1"));
        // The limit and the node's wait run by one clock, with most of a second between them.
        let limit = tokio::time::Instant::now() + Duration::from_secs(7);
        sleep(Duration::from_secs(2)).await;
        client.send("M 2\r\n").await;
        let moved = timeout_at(limit, client.read_line()).await;
        assert_eq!(moved.ok().flatten().as_deref(), Some("MOVE"));
    });
}

#[test]
fn a_slow_reader_holds_its_host_back_and_loses_nothing() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, _watch) = start_ready_node(&[&host]).await;
        let (mut client, mut server) = setup.establish(1, &host).await;
        let line = "z".repeat(1_000);
        // Far more than the node and the system hold: the host must be made to wait.
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
        sleep(MOMENT).await;
        assert!(!sending.is_finished(), "nobody holds 30 MB for a client");
        for _ in 0..total {
            assert_eq!(client.read_line().await.as_deref(), Some(line.as_str()));
        }
        assert_eq!(client.read_line().await.as_deref(), Some("BYE"));
    });
}

#[test]
fn a_client_that_takes_nothing_is_never_sent_move_inside_a_line() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, _watch) = start_ready_node(&[&host]).await;
        let (mut client, mut server) = setup.establish(1, &host).await;
        let line = "z".repeat(1_000);
        let flood = spawn_local({
            let line = format!("{line}\r\n");
            async move { while server.0.get_mut().write_all(line.as_bytes()).await.is_ok() {} }
        });
        sleep(MOMENT).await;
        spawn_local(shutdown::run(setup.node.clone(), setup.accepting));
        // The flood ends when the node has closed the host's side.
        flood.await.expect("ended");
        let mut rest = Vec::new();
        let _reset = client.0.read_to_end(&mut rest).await;
        let text = String::from_utf8(rest).expect("text");
        let lines: Vec<&str> = text.split_inclusive("\r\n").collect();
        for (i, got) in lines.iter().enumerate() {
            let whole = *got == format!("{line}\r\n");
            let last = i + 1 == lines.len() && (line.starts_with(got) || *got == "MOVE\r\n");
            assert!(whole || last, "{got:?}");
        }
    });
}
