//! Tests of the gossip socket between nodes.

use std::net::UdpSocket;
use std::rc::Rc;

use alderstile_node::config::Config;
use alderstile_node::control::peer_gossip::{GossipSocket, MAX_MESSAGE};
use alderstile_node::node::Node;
use tokio::task::spawn_local;

mod support;
use support::{node_config, run};

#[test]
fn messages_reach_all_nodes_and_malformed_datagrams_are_ignored() {
    run(async {
        let all_nodes = UdpSocket::bind("127.0.0.1:0").expect("bound socket");
        all_nodes.set_nonblocking(true).expect("non-blocking mode");
        let all_nodes = tokio::net::UdpSocket::from_std(all_nodes).expect("socket");
        let mut value = node_config("127.0.0.1:0", "127.0.0.1:2");
        value["peer_listen"] = "127.0.0.1:0".into();
        value["peers_all"] = all_nodes.local_addr().expect("bound").to_string().into();
        value["peers"] = serde_json::json!([all_nodes.local_addr().expect("bound").to_string()]);
        let node = Rc::new(Node::new(Config::parse(value).expect("valid configuration")));
        let socket = GossipSocket::bind(&node).await.expect("bound").expect("gossip enabled");
        spawn_local(socket.clone().receive(node.clone()));
        socket.broadcast(&[7; MAX_MESSAGE + 1]);
        socket.broadcast(b"hello");
        let mut buffer = [0; 1_000];
        let (len, from) = all_nodes.recv_from(&mut buffer).await.expect("received message");
        assert_eq!(&buffer[..len], b"hello", "the oversized message was not sent");
        for datagram in [&b""[..], &[0; 16], &[0xff; 16], &[1; 300]] {
            all_nodes.send_to(datagram, from).await.expect("sent datagram");
        }
        // The node still sends, and its decisions still respond.
        socket.broadcast(b"again");
        let (len, _) = all_nodes.recv_from(&mut buffer).await.expect("received message");
        assert_eq!(&buffer[..len], b"again");
        assert!(node.decisions.with_balancer(|balancer, _| balancer.poll_timeout()).is_some());
    });
}

#[test]
fn node_with_gossip_disabled_binds_no_socket() {
    run(async {
        let mut value = node_config("127.0.0.1:0", "127.0.0.1:2");
        value["peer_listen"] = "127.0.0.1:0".into();
        value["peers_all"] = "127.0.0.1:9".into();
        value["settings"]["allowed"]["may_tell"] = false.into();
        let node = Node::new(Config::parse(value).expect("valid configuration"));
        assert!(GossipSocket::bind(&node).await.expect("no bind error").is_none());
    });
}
