//! Admission of clients: bad input, repeated ids, floods, silent connections and the limit of descriptors.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

mod support;
use support::*;

/// What must not come is looked for this long: a slow machine can only make such a check miss a fault.
const MOMENT: Duration = Duration::from_millis(150);

#[test]
fn bad_input_ends_its_own_connection_and_no_other() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, mut watch) = start_ready_node(&[&host]).await;
        let (mut client, mut server) = setup.establish(1, &host).await;
        for rubbish in
            ["GET / HTTP/1.1\r\n", "\r\n", "OPEN\r\n", "OPEN a b c=chat,d=x\r\n", "\u{0}\u{7f}\r\n"]
        {
            let mut bad = setup.connect().await;
            bad.send(rubbish).await;
            assert_eq!(bad.read_line().await.as_deref(), Some("ERR"), "{rubbish:?}");
        }
        let mut long = setup.connect().await;
        long.0.get_mut().write_all(&[b'x'; 5_000]).await.unwrap_or_default();
        assert_eq!(long.read_line().await.as_deref(), Some("ERR"));
        assert_eq!(long.read_line().await, None);
        // A client that is up, and one that waits, with a line that never ends.
        let (mut up, _server) = setup.establish(2, &host).await;
        up.0.get_mut().write_all(&[b'x'; 5_000]).await.unwrap_or_default();
        assert_eq!(up.read_line().await, None);
        let (mut up, mut mad) = setup.establish(3, &host).await;
        mad.0.get_mut().write_all(&[b'x'; 5_000]).await.unwrap_or_default();
        assert_eq!(up.read_line().await, None);
        send_chunk(&mut watch, "{\"seq\":\"none\"}\n").await;
        assert_eq!(watch.read_line().await, None, "that watch is given up");
        let (_, _call) = setup.discovery.accept_call().await;
        client.send("M 1\r\n").await;
        assert_eq!(server.read_line().await.as_deref(), Some("M 1"));
        server.send("M 1\r\n").await;
        assert_eq!(client.read_line().await.as_deref(), Some("M 1"));
    });
}

#[test]
fn what_no_host_would_take_is_answered_and_never_reaches_one() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, _watch) = start_ready_node(&[&host]).await;
        let (mut client, mut server) = setup.establish(1, &host).await;
        for bad in [
            "OPEN 000000000000000a 0a c=chats,d=20000",
            "OPEN 000000000000000a 0a c=,d=20000",
            "OPEN 000000000000000a 0a d=20000",
            "OPEN 000000000000000a 0a c=chat",
            "OPEN 000000000000000a 0a c=chat,d=",
            "OPEN 000000000000000a 0a c=chat,d=soon",
            "OPEN 000000000000000a 0a c=chat,d=-5",
            "OPEN 000000000000000a 0a c=chat,d=99999999999",
            "OPEN 000000000000000a 0a c=chat,d=99999999999999999999999",
            "OPEN 0a c=chat,d=20000",
            "OPEN  0a c=chat,d=20000",
            // This one is open: two connections of one id are no two requests.
            "OPEN 0000000000000001 0a c=chat,d=20000",
        ] {
            let mut client = setup.connect().await;
            client.send(&format!("{bad}\r\n")).await;
            assert_eq!(client.read_line().await.as_deref(), Some("ERR"), "{bad}");
            assert_eq!(client.read_line().await, None);
        }
        assert!(timeout(MOMENT, host.accept()).await.is_err(), "a host was asked");
        client.send("M 1\r\n").await;
        assert_eq!(server.read_line().await.as_deref(), Some("M 1"), "whose id it is stays open");
        drop(client);
        assert_eq!(server.read_line().await, None);
    });
}

#[test]
fn an_id_that_is_not_new_is_put_to_no_host_again() {
    run(async {
        let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
        let (setup, _watch) = start_ready_node(&[&hosts[0], &hosts[1]]).await;
        // It is open at another node: each host that is tried says so.
        let mut client = setup.send_request(7, "d=20000").await;
        let turn_away = async |host: &StubHost| loop {
            let mut server = host.accept().await;
            server.read_line().await.expect("the first line");
            server.send("ERR\r\n").await;
        };
        let answer = tokio::select! {
            answer = client.read_line() => answer.expect("an answer"),
            () = turn_away(&hosts[0]) => unreachable!("it goes on"),
            () = turn_away(&hosts[1]) => unreachable!("it goes on"),
        };
        assert!(answer.starts_with("BUSY"), "{answer}");
        assert_eq!(client.read_line().await, None);
        drop(client);
        let mut again = setup.send_request(7, "d=20000").await;
        assert_eq!(again.read_line().await.as_deref(), Some("ERR"));
        // What is remembered is bounded: the oldest ids are forgotten.
        for id in 0..2_000_u64 {
            assert!(setup.node.clients.claim_request_id(&id.to_le_bytes()).is_some());
        }
        assert!(setup.node.clients.claim_request_id(b"0000000000000007").is_some());
    });
}

#[test]
fn the_answer_to_a_flood_arrives() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, _watch) = start_ready_node(&[&host]).await;
        for size in [4_097, 200_000] {
            let mut flood = setup.connect().await;
            flood.0.get_mut().write_all(&vec![b'x'; size]).await.unwrap_or_default();
            assert_eq!(flood.read_line().await.as_deref(), Some("ERR"), "{size} bytes");
            // Closing with bytes unread would reset, and a reset can destroy the answer.
            assert!(!flood.is_reset().await, "{size} bytes");
        }
        let mut endless = setup.connect().await;
        let flood = vec![b'x'; 1 << 16];
        while endless.0.get_mut().write_all(&flood).await.is_ok() {}
    });
}

#[test]
fn hundreds_that_say_nothing_keep_no_client_out() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, _watch) = start_ready_node(&[&host]).await;
        let (mut silent, mut open) = (Vec::new(), Vec::new());
        for id in 0..200 {
            silent.push(setup.connect().await);
            if id % 40 == 39 {
                open.push(setup.establish(id, &host).await);
            }
        }
        // The oldest made way; the last still has its time.
        assert_eq!(silent[0].read_line().await, None);
        assert!(timeout(MOMENT, silent[199].read_line()).await.is_err(), "the last is still there");
    });
}

#[test]
fn a_client_that_says_nothing_is_closed_long_before_a_silent_host_is_given_up() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, _watch) = start_ready_node(&[&host]).await;
        let mut silent = setup.connect().await;
        let mut half = setup.connect().await;
        half.send("OPEN 00").await;
        let (mut client, _server) = setup.establish(1, &host).await;
        client.send("M 1\r\n").await;
        // Both wait by the same clock: which comes first does not hang on the machine.
        tokio::select! {
            _ = client.read_line() => panic!("moved before the silent were closed"),
            (silent, half) = async { (silent.read_line().await, half.read_line().await) } => {
                assert_eq!((silent, half), (None, None));
            }
        }
    });
}

#[test]
fn at_the_limit_of_descriptors_clients_are_refused_at_once() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, _watch) =
            start_ready_node_with(&[&host], |value| value["limits"]["sockets"] = 40.into()).await;
        let mut open = Vec::new();
        let answer = loop {
            let mut client = setup.send_request(open.len() as u64 + 1, "d=20000").await;
            tokio::select! {
                answer = client.read_line() => break answer,
                mut server = host.accept() => {
                    server.read_line().await.expect("the first line");
                    server.send("UP 00ff\r\n").await;
                    assert_eq!(client.read_line().await.as_deref(), Some("UP 00ff"));
                    open.push((client, server));
                }
            }
        };
        assert_eq!(answer.as_deref(), Some("BUSY"));
        assert!(open.len() >= 2);
        // There is room again when one has gone.
        open.pop();
        // One is held for the client that comes next.
        while setup.node.clients.connection_descriptors() > 2 * open.len() + 1 {
            sleep(Duration::from_millis(5)).await;
        }
        setup.establish(100, &host).await;
    });
}

#[test]
fn a_guest_whose_line_has_come_is_not_shown_out() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, _watch) = start_ready_node(&[&host]).await;
        let mut client = std::net::TcpStream::connect(setup.address).expect("connected");
        sleep(Duration::from_millis(50)).await;
        // Its place is needed in the moment in which its line comes: the runtime has not looked for that yet.
        std::io::Write::write_all(&mut client, b"OPEN 7 7 c=chat,d=20000\r\n").expect("sent");
        setup.node.clients.pending.evict_oldest();
        let mut server = timeout(Duration::from_secs(5), host.accept()).await.expect("it is served");
        assert!(server.read_line().await.is_some_and(|line| line.starts_with("OPEN 7 7 ")));
    });
}
