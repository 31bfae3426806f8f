//! Graceful shutdown: which clients are answered, served and migrated before the process exits.

use std::io::Write;
use std::time::Duration;

use alderstile_node::lifecycle::shutdown;
use serde_json::json;
use tokio::io::BufReader;
use tokio::task::spawn_local;
use tokio::time::sleep;

mod support;
use support::*;

#[test]
fn clients_are_migrated_between_complete_lines_before_the_shutdown_completes() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node(&[&host]).await;
        let (mut client, mut server) = test_node.establish(1, &host).await;
        let shutdown_task = spawn_local(shutdown::run(test_node.node.clone(), test_node.listener_task));
        while test_node.node.admin.is_ready() {
            sleep(Duration::from_millis(1)).await;
        }
        // MOVE must not be written inside a partial line.
        server.send("M 1\r\nhalf").await;
        assert_eq!(client.read_line().await.as_deref(), Some("M 1"));
        assert_eq!(client.read_line().await.as_deref(), Some("MOVE"));
        assert_eq!(client.read_line().await, None);
        drop(client);
        assert_eq!(server.read_line().await, None);
        shutdown_task.await.expect("shutdown completes");
        assert!(tokio::net::TcpStream::connect(test_node.address).await.is_err());
    });
}

#[test]
fn client_in_the_listen_queue_at_the_end_of_a_shutdown_is_answered() {
    // Found in the lab (scenario rolling, seed 4): a client whose connection the kernel had accepted during
    // the last millisecond of a shutdown was closed without an answer.
    run(async {
        let test_node = start_node(|config| config["settings"]["classes"][0]["give_up"] = json!(1000)).await;
        // Without clients to migrate, the shutdown ends after half of its time.
        let duration = test_node.node.config().shutdown_timeout / 2;
        let shutdown_task = spawn_local(shutdown::run(test_node.node.clone(), test_node.listener_task));
        sleep(duration.saturating_sub(Duration::from_millis(30))).await;
        // Blocks this thread, and with it the node, past the end of the shutdown.
        let mut waiting = Vec::new();
        for id in 0..40 {
            let mut client = std::net::TcpStream::connect(test_node.address).expect("accepted by the kernel");
            write!(client, "OPEN {id:016x} {id:016x} c=chat,d=200\r\n").expect("sent");
            client.set_nonblocking(true).expect("set");
            waiting.push(client);
        }
        std::thread::sleep(Duration::from_millis(60));
        for client in waiting {
            let client = tokio::net::TcpStream::from_std(client).expect("a stream");
            assert!(LineConnection(BufReader::new(client)).read_line().await.is_some(), "answered");
        }
        shutdown_task.await.expect("shutdown completes");
    });
}

#[test]
fn clients_that_are_not_yet_migrated_are_served_during_shutdown() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node(&[&host]).await;
        let (mut first, _first) = test_node.establish(1, &host).await;
        let (mut last, mut server) = test_node.establish(2, &host).await;
        test_node.node.process.begin_shutdown();
        test_node.node.clients.migrate_some(1);
        assert_eq!(first.read_line().await.as_deref(), Some("MOVE"));
        last.send("M 1\r\n").await;
        assert_eq!(server.read_line().await.as_deref(), Some("M 1"));
        // A client that has been asked to migrate is not selected again, whether or not it has left.
        test_node.node.clients.migrate_some(1);
        assert_eq!(last.read_line().await.as_deref(), Some("MOVE"));
    });
}

#[test]
fn client_established_during_shutdown_is_migrated() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node(&[&host]).await;
        let mut client = test_node.send_request(1, "d=20000").await;
        let mut server = host.accept().await;
        server.read_line().await.expect("the first line");
        test_node.node.clients.migrate_all();
        server.send("UP 00ff\r\n").await;
        assert_eq!(client.read_line().await.as_deref(), Some("UP 00ff"));
        assert_eq!(client.read_line().await.as_deref(), Some("MOVE"));
    });
}
