//! A planned shutdown: who is answered, served on and migrated before the node ends.

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
fn clients_are_told_to_move_before_the_node_leaves_and_new_ones_are_still_answered() {
    run(async {
        let host = Host::new("s-1").await;
        let (setup, _watch) = serving(&[&host]).await;
        let (mut client, mut server) = setup.up(1, &host).await;
        let leaving = spawn_local(shutdown::run(setup.node.clone(), setup.accepting));
        while setup.node.admin.is_ready() {
            sleep(Duration::from_millis(1)).await;
        }
        // Only half a line has come: MOVE must not stand inside it.
        server.send("M 1\r\nhalf").await;
        assert_eq!(client.line().await.as_deref(), Some("M 1"));
        assert_eq!(client.line().await.as_deref(), Some("MOVE"));
        assert_eq!(client.line().await, None);
        drop(client);
        assert_eq!(server.line().await, None);
        leaving.await.expect("left");
        assert!(tokio::net::TcpStream::connect(setup.address).await.is_err());
    });
}

#[test]
fn who_waits_at_the_door_when_a_stop_ends_is_answered() {
    // Found in the lab (rolling, seed 4): a client whose connection the system had taken in during the last
    // millisecond of a stop was closed with no answer.
    run(async {
        let setup = start(|config| config["settings"]["classes"][0]["give_up"] = json!(1000)).await;
        // With nobody to be moved it ends half-way.
        let last = setup.node.config().shutdown_timeout / 2;
        let leaving = spawn_local(shutdown::run(setup.node.clone(), setup.accepting));
        sleep(last.saturating_sub(Duration::from_millis(30))).await;
        // Nothing else runs on this thread until the stop's time is over.
        let mut waiting = Vec::new();
        for id in 0..40 {
            let mut client = std::net::TcpStream::connect(setup.address).expect("the system takes it in");
            write!(client, "OPEN {id:016x} {id:016x} c=chat,d=200\r\n").expect("sent");
            client.set_nonblocking(true).expect("set");
            waiting.push(client);
        }
        std::thread::sleep(Duration::from_millis(60));
        for client in waiting {
            let client = tokio::net::TcpStream::from_std(client).expect("a stream");
            assert!(Peer(BufReader::new(client)).line().await.is_some(), "answered");
        }
        leaving.await.expect("left");
    });
}

#[test]
fn a_node_that_leaves_serves_on_those_that_it_has_not_told_to_move() {
    run(async {
        let host = Host::new("s-1").await;
        let (setup, _watch) = serving(&[&host]).await;
        let (mut first, _first) = setup.up(1, &host).await;
        let (mut last, mut server) = setup.up(2, &host).await;
        setup.node.process.begin_shutdown();
        setup.node.clients.migrate_some(1);
        assert_eq!(first.line().await.as_deref(), Some("MOVE"));
        last.send("M 1\r\n").await;
        assert_eq!(server.line().await.as_deref(), Some("M 1"));
        // One that has been told does not count again, whether or not it has gone.
        setup.node.clients.migrate_some(1);
        assert_eq!(last.line().await.as_deref(), Some("MOVE"));
    });
}

#[test]
fn a_client_that_comes_up_while_the_node_leaves_is_told_to_move() {
    run(async {
        let host = Host::new("s-1").await;
        let (setup, _watch) = serving(&[&host]).await;
        let mut client = setup.open(1, "d=20000").await;
        let mut server = host.accept().await;
        server.line().await.expect("the first line");
        setup.node.clients.migrate_all();
        server.send("UP 00ff\r\n").await;
        assert_eq!(client.line().await.as_deref(), Some("UP 00ff"));
        assert_eq!(client.line().await.as_deref(), Some("MOVE"));
    });
}
