//! Upgrade: a second process takes the node over while clients come and go.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use alderstile_node::config::NodeIdentity;
use alderstile_node::lifecycle::upgrade;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixDatagram, UnixListener, UnixStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

mod support;
use support::processes::*;
use support::*;

#[test]
fn two_processes_are_one_node_and_no_client_meets_a_closed_door() {
    run(async {
        let (dir, discovery) = (folder("one"), Discovery::new().await);
        let value = replaceable(&discovery).await;
        let hosts = [Host::new("s-1").await, Host::new("s-2").await, Host::new("s-3").await];
        serve_list(discovery, hosts.iter().map(|host| host.entry("up")).collect());
        let served: Vec<Rc<RefCell<BTreeMap<String, u32>>>> = (0..3).map(|_| Rc::default()).collect();
        hosts.into_iter().zip(&served).for_each(|(host, seen)| serve_host(host, seen.clone()));
        let mut old = Process::start(&value, &dir).await;
        old.until_ready().await;
        assert_eq!(old.call("POST", "/control/hosts/s-1/offline").await.expect("an answer").0, 200);
        let banned = served[0].borrow().len();
        let (seen, stop) = (Rc::<RefCell<Seen>>::default(), Rc::default());
        let address = listens_at(&value);
        for lane in 1..=20 {
            clients(address, seen.clone(), Rc::clone(&stop), lane);
        }
        sleep(Duration::from_millis(300)).await;
        let new = Process::start(&value, &dir).await;
        new.until_ready().await;
        // Hosts out by hand are out at both, whichever is told.
        assert_eq!(new.figure("hosts_down").await, 1);
        assert_eq!(new.call("POST", "/control/hosts/s-2/offline").await.expect("an answer").0, 200);
        assert_eq!(old.figure("hosts_down").await, 2);
        assert_eq!(old.call("POST", "/control/hosts/s-2/online").await.expect("an answer").0, 200);
        assert_eq!(new.figure("hosts_down").await, 1);
        // From one queue, which outlives the old process: with two, what is on its way to the old one's would
        // be reset.
        let port = format!(":{:04X}", address.port());
        let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the system's sockets");
        let listens = |line: &&str| {
            line.split_whitespace().nth(3) == Some("0A")
                && line.split_whitespace().nth(1).is_some_and(|local| local.ends_with(&port))
        };
        assert_eq!(sockets.lines().filter(listens).count(), 1);
        // Both take clients.
        while new.figure("success.chat").await < 20 {
            sleep(Duration::from_millis(5)).await;
        }
        old.signal("-TERM").await;
        let mut before = 0;
        while let Some(figure) = old.figure_while_there("success.chat").await {
            before = figure;
            sleep(Duration::from_millis(5)).await;
        }
        let status =
            timeout(Duration::from_secs(5), old.child.wait()).await.expect("ended in time").expect("ended");
        assert!(status.success());
        sleep(Duration::from_millis(200)).await;
        stop.set(true);
        sleep(Duration::from_millis(1_000)).await;
        let seen = seen.take();
        assert_eq!(seen.other, Vec::<String>::new(), "each client was brought up");
        assert_eq!(seen.moved, 0, "connections were passed on");
        assert_eq!(served[0].borrow().len(), banned, "the host that is out got nothing from either");
        let all: BTreeMap<_, _> = served.iter().flat_map(|seen| seen.borrow().clone()).collect();
        assert!(all.values().all(|times| *times == 1), "none was served twice");
        assert_eq!(all.len() as u64, seen.up, "each client came up at one host");
        assert_eq!(before + new.figure("success.chat").await, seen.up, "and was counted by one process");
        // The next one finds this one as this one found the first.
        let third = Process::start(&value, &dir).await;
        third.until_ready().await;
        assert_eq!(third.figure("hosts_down").await, 1);
    });
}

#[test]
fn connections_are_passed_on_with_what_is_under_way() {
    run(async {
        let (dir, discovery) = (folder("pass"), Discovery::new().await);
        let value = replaceable(&discovery).await;
        let host = Host::new("s-1").await;
        serve_list(discovery, vec![host.entry("up")]);
        let mut old = Process::start(&value, &dir).await;
        old.until_ready().await;
        let address = listens_at(&value);
        let mut pairs = Vec::new();
        for id in 1..=30 {
            let mut client = Peer::connect(address).await;
            client.send(&format!("OPEN {id:016x} {id:016x} c=chat,d=5000\r\n")).await;
            let mut server = host.accept().await;
            server.line().await.expect("the first line");
            server.send("UP 00ff\r\nA 1\r\nA ").await;
            assert_eq!(client.line().await.as_deref(), Some("UP 00ff"));
            assert_eq!(client.line().await.as_deref(), Some("A 1"));
            client.send("M 1\r\nM ").await;
            assert_eq!(server.line().await.as_deref(), Some("M 1"));
            pairs.push((client, server));
        }
        // One whose attempt is out meanwhile.
        let mut late = Peer::connect(address).await;
        late.send("OPEN 99 99 c=chat,d=1500\r\n").await;
        let mut late_server = host.accept().await;
        late_server.line().await.expect("the first line");
        let new = Process::start(&value, &dir).await;
        new.until_ready().await;
        old.signal("-TERM").await;
        while new.figure("inflight").await < 30 {
            sleep(Duration::from_millis(5)).await;
        }
        // The old one has nothing left but this.
        sleep(Duration::from_millis(200)).await;
        late_server.send("UP 00aa\r\n").await;
        assert_eq!(late.line().await.as_deref(), Some("UP 00aa"));
        let status =
            timeout(Duration::from_secs(5), old.child.wait()).await.expect("in time").expect("ended");
        assert!(status.success());
        for (client, server) in &mut pairs {
            client.send("2\r\n").await;
            assert_eq!(server.line().await.as_deref(), Some("M 2"));
            server.send("2\r\nLOAD 3000\r\n").await;
            assert_eq!(client.line().await.as_deref(), Some("A 2"));
            assert_eq!(client.line().await.as_deref(), Some("LOAD 3000"));
        }
        late.send("M 1\r\n").await;
        assert_eq!(late_server.line().await.as_deref(), Some("M 1"));
        assert_eq!(
            (new.figure("inflight").await, new.figure("success.chat").await),
            (31, 0),
            "counted where it came up"
        );
        // An id that is open goes on being known.
        let mut twin = Peer::connect(address).await;
        twin.send("OPEN 99 99 c=chat,d=1500\r\n").await;
        assert_eq!(twin.line().await.as_deref(), Some("ERR"));
        let (mut client, mut server) = pairs.pop().expect("one");
        server.send("BYE\r\n").await;
        drop(server);
        assert_eq!(client.line().await.as_deref(), Some("BYE"));
        assert_eq!(client.line().await, None);
        // And the decisions know of them: a host that is taken out loses them.
        assert_eq!(new.call("POST", "/control/hosts/s-1/offline").await.expect("an answer").0, 200);
        for (client, _) in &mut pairs {
            assert_eq!(client.line().await.as_deref(), Some("MOVE"));
        }
    });
}

#[test]
fn a_successor_that_is_told_to_leave_first_moves_its_clients_and_the_old_one_serves_on() {
    run(async {
        let (dir, discovery) = (folder("first"), Discovery::new().await);
        let value = replaceable(&discovery).await;
        let host = Host::new("s-1").await;
        serve_list(discovery, vec![host.entry("up")]);
        serve_host(host, Rc::default());
        let old = Process::start(&value, &dir).await;
        old.until_ready().await;
        let mut new = Process::start(&value, &dir).await;
        new.until_ready().await;
        let address = listens_at(&value);
        let mut clients = Vec::new();
        while new.figure("success.chat").await < 5 {
            let mut client = Peer::connect(address).await;
            let id = clients.len();
            client.send(&format!("OPEN {id:016x} {id:016x} c=chat,d=5000\r\n")).await;
            assert_eq!(client.line().await.as_deref(), Some("UP 00ff"));
            clients.push(client);
        }
        let before = old.figure("inflight").await;
        new.signal("-TERM").await;
        for number in 0..20 {
            let mut front = Peer::connect(address).await;
            front.send("PING\r\n").await;
            assert_eq!(front.line().await.as_deref(), Some("PONG"), "the node goes on, at try {number}");
        }
        let status =
            timeout(Duration::from_secs(5), new.child.wait()).await.expect("in time").expect("ended");
        assert!(status.success());
        let mut moved = 0;
        for client in &mut clients {
            moved += u64::from(timeout(Duration::from_millis(20), client.line()).await.is_ok());
        }
        assert_eq!(moved, clients.len() as u64 - before, "those of the one that left were told to move");
        assert_eq!(old.figure("inflight").await, before);
    });
}

#[test]
fn a_successor_that_cannot_serve_yet_leaves_the_old_one_serving() {
    run(async {
        let (dir, discovery) = (folder("waits"), Discovery::new().await);
        let value = replaceable(&discovery).await;
        let host = Host::new("s-1").await;
        // The first call is answered, all others wait.
        let watch = async { discovery.watch(&[&list(1, true, &[host.entry("up")])]).await };
        let old = Process::start(&value, &dir).await;
        let _watch = watch.await;
        old.until_ready().await;
        let mut new = Process::start(&value, &dir).await;
        let _unanswered = discovery.call().await;
        assert_eq!(new.call("GET", "/control/ready").await.expect("an answer").0, 503);
        assert_eq!(old.call("GET", "/control/ready").await.expect("an answer").0, 200);
        new.signal("-TERM").await;
        let status =
            timeout(Duration::from_secs(5), new.child.wait()).await.expect("in time").expect("ended");
        assert!(status.success());
        serve_host(host, Rc::default());
        let address = listens_at(&value);
        let mut client = Peer::connect(address).await;
        client.send("OPEN 1 1 c=chat,d=5000\r\n").await;
        assert_eq!(client.line().await.as_deref(), Some("UP 00ff"));
    });
}

#[test]
fn a_successor_that_dies_and_a_third_process_do_no_harm() {
    run(async {
        let (dir, discovery) = (folder("dies"), Discovery::new().await);
        let value = replaceable(&discovery).await;
        let host = Host::new("s-1").await;
        serve_list(discovery, vec![host.entry("up")]);
        serve_host(host, Rc::default());
        let mut old = Process::start(&value, &dir).await;
        old.until_ready().await;
        let mut new = Process::start(&value, &dir).await;
        new.until_ready().await;
        let mut third = Process::start(&value, &dir).await;
        let status =
            timeout(Duration::from_secs(5), third.child.wait()).await.expect("in time").expect("ended");
        assert!(!status.success(), "a third one ends by itself");
        new.child.kill().await.expect("killed");
        let address = listens_at(&value);
        for id in 0..20 {
            let mut client = Peer::connect(address).await;
            client.send(&format!("OPEN {id:016x} {id:016x} c=chat,d=5000\r\n")).await;
            assert_eq!(client.line().await.as_deref(), Some("UP 00ff"));
        }
        // And another one may take over. Ids are known to both, whichever takes the request.
        let new = Process::start(&value, &dir).await;
        new.until_ready().await;
        for id in 100..110 {
            let line = format!("OPEN {id:016x} {id:016x} c=chat,d=5000\r\n");
            let mut client = Peer::connect(address).await;
            client.send(&line).await;
            assert_eq!(client.line().await.as_deref(), Some("UP 00ff"));
            // Told within a look.
            sleep(Duration::from_millis(50)).await;
            let mut twin = Peer::connect(address).await;
            twin.send(&line).await;
            assert_eq!(twin.line().await.as_deref(), Some("ERR"));
        }
        old.signal("-TERM").await;
        let status =
            timeout(Duration::from_secs(5), old.child.wait()).await.expect("in time").expect("ended");
        assert!(status.success());
        // A node of another name in the same folder is another node.
        let mut other = value.clone();
        other["name"] = "n2".into();
        other["listen"] = free_address().await.to_string().into();
        let other = Process::start(&other, &dir).await;
        other.until_ready().await;
        new.until_ready().await;
    });
}

#[test]
fn a_successor_that_dies_with_connections_unread_costs_them_no_more_than_a_move() {
    // The system closes what lies unread at a process that ends: the one before holds both sides until it is
    // told that they have been taken.
    run(async {
        let (dir, discovery) = (folder("unread"), Discovery::new().await);
        let value = replaceable(&discovery).await;
        let host = Host::new("s-1").await;
        serve_list(discovery, vec![host.entry("up")]);
        serve_host(host, Rc::default());
        let old = Process::start(&value, &dir).await;
        old.until_ready().await;
        let mut clients = Vec::new();
        for id in 0..5 {
            let mut client = Peer::connect(listens_at(&value)).await;
            client.send(&format!("OPEN {id:016x} {id:016x} c=chat,d=5000\r\n")).await;
            assert_eq!(client.line().await.as_deref(), Some("UP 00ff"));
            clients.push(client);
        }
        // A successor that says that it serves, and then takes nothing.
        let place =
            format!("alderstile-{:016x}", alderstile_node::discovery::endpoint_list::server_id("n1").0);
        let mut stream =
            BufReader::new(UnixStream::connect(dir.join(format!("{place}.sock"))).await.expect("there"));
        let passed = UnixDatagram::bind(dir.join(format!("{place}.pass"))).expect("bound");
        stream
            .get_mut()
            .write_all(b"{\"join\":{\"version\":1}}\n{\"ready\":{\"number\":7}}\n")
            .await
            .expect("sent");
        let mut line = String::new();
        while !line.contains("\"done\"") {
            line.clear();
            stream.read_line(&mut line).await.expect("a word");
        }
        old.signal("-TERM").await;
        passed.readable().await.expect("passed on");
        drop((passed, stream));
        for client in &mut clients {
            assert_eq!(client.line().await.as_deref(), Some("MOVE"));
            assert_eq!(client.line().await, None);
        }
    });
}

#[test]
fn what_is_no_predecessor_is_passed_by() {
    run(async {
        let dir = folder("none");
        let config = NodeIdentity { name: "n1".to_owned(), dir: dir.clone() };
        assert!(upgrade::join(&config).await.expect("alone").is_none(), "nobody there");
        let name =
            format!("alderstile-{:016x}.sock", alderstile_node::discovery::endpoint_list::server_id("n1").0);
        let path = dir.join(name);
        drop(UnixListener::bind(&path).expect("bound"));
        assert!(upgrade::join(&config).await.expect("alone").is_none(), "a socket that was left");
        let said: [&[u8]; 6] = [
            b"",
            b"{\"hello\":{\"version\":1",
            b"no line of the protocol's\n",
            b"\xff\xfe\n",
            b"{\"done\":{\"number\":1}}\n",
            b"{\"hello\":{\"version\":9,\"name\":\"n1\",\"config\":null,\"discovery\":null,\"list\":{\"seq\":1,\"whole\":true,\"hosts\":[]},\
              \"hosts\":{},\"ids\":[],\"held\":3}}\n",
        ];
        for said in said {
            std::fs::remove_file(&path).expect("there");
            let listener = UnixListener::bind(&path).expect("bound");
            let serving = spawn_local(async move {
                let (mut stream, _) = listener.accept().await.expect("a process");
                // Byte by byte, and then silence.
                for byte in said {
                    stream.write_all(&[*byte]).await.expect("sent");
                    tokio::task::yield_now().await;
                }
                std::future::pending::<()>().await;
            });
            let joined = timeout(Duration::from_secs(3), upgrade::join(&config)).await.expect("in time");
            assert!(joined.expect("alone").is_none(), "{}", String::from_utf8_lossy(said));
            serving.abort();
        }
    });
}
