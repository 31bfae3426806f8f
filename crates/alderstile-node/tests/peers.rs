//! Gossip between nodes.

use std::net::UdpSocket;
use std::rc::Rc;

use alderstile_node::config::Config;
use alderstile_node::control::peer_gossip::{GossipSocket, MAX_MESSAGE};
use alderstile_node::node::Node;
use tokio::task::spawn_local;

mod support;
use support::{node_config, run};

#[test]
fn messages_go_to_all_nodes_and_rubbish_harms_nobody() {
    run(async {
        let all = UdpSocket::bind("127.0.0.1:0").expect("a port");
        all.set_nonblocking(true).expect("set");
        let all = tokio::net::UdpSocket::from_std(all).expect("a socket");
        let mut value = node_config("127.0.0.1:0", "127.0.0.1:2");
        value["peer_listen"] = "127.0.0.1:0".into();
        value["peers_all"] = all.local_addr().expect("bound").to_string().into();
        value["peers"] = serde_json::json!([all.local_addr().expect("bound").to_string()]);
        let node = Rc::new(Node::new(Config::parse(value).expect("fine")));
        let peers = GossipSocket::bind(&node).await.expect("bound").expect("nodes may talk");
        spawn_local(peers.clone().receive(node.clone()));
        peers.broadcast(&[7; MAX_MESSAGE + 1]);
        peers.broadcast(b"hello");
        let mut data = [0; 1_000];
        let (len, from) = all.recv_from(&mut data).await.expect("a message");
        assert_eq!(&data[..len], b"hello", "the one that is too long was not sent");
        for rubbish in [&b""[..], &[0; 16], &[0xff; 16], &[1; 300]] {
            all.send_to(rubbish, from).await.expect("sent");
        }
        // The node still sends, and its decisions still answer.
        peers.broadcast(b"again");
        let (len, _) = all.recv_from(&mut data).await.expect("a message");
        assert_eq!(&data[..len], b"again");
        assert!(node.decisions.with_balancer(|balancer, _| balancer.poll_timeout()).is_some());
    });
}

#[test]
fn nodes_that_may_not_talk_open_no_socket() {
    run(async {
        let mut value = node_config("127.0.0.1:0", "127.0.0.1:2");
        value["peer_listen"] = "127.0.0.1:0".into();
        value["peers_all"] = "127.0.0.1:9".into();
        value["settings"]["allowed"]["may_tell"] = false.into();
        let node = Node::new(Config::parse(value).expect("fine"));
        assert!(GossipSocket::bind(&node).await.expect("nothing to bind").is_none());
    });
}
