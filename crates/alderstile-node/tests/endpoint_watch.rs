//! The endpoint list received from discovery's watch: readiness, and the version from which a watch
//! continues.

use std::rc::Rc;
use std::time::Duration;

use alderstile_node::config::Config;
use alderstile_node::discovery::endpoint_list::{Health, server_id};
use alderstile_node::discovery::list_update::ListComparison;
use alderstile_node::discovery::watch;
use alderstile_node::node::Node;
use tokio::task::spawn_local;
use tokio::time::sleep;

mod support;
use support::*;

#[test]
fn node_is_ready_only_after_a_list_received_in_any_number_of_pieces() {
    run(async {
        let host = StubHost::new("s-1").await;
        let test_node = start_node(|_| {}).await;
        let (request_line, mut watch) = test_node.discovery.accept_call().await;
        assert_eq!(request_line, "GET /catalog/members?stream=1&index=0 HTTP/1.1");
        assert_eq!(test_node.ping().await, None, "no list yet");
        watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
        let line = list_line(3, true, &[host.list_entry("up")]);
        let (head, tail) = line.split_at(25);
        for piece in ["\n", head, tail, "\n"] {
            send_chunk(&mut watch, piece).await;
        }
        test_node.wait_until_ready().await;
        test_node.establish(1, &host).await;
    });
}

#[test]
fn node_serves_from_the_cached_list_without_discovery() {
    run(async {
        let host = StubHost::new("s-1").await;
        let known = serde_json::json!({"seq": 5, "whole": true, "hosts": [host.list_entry("up")]});
        let test_node = start_node(|value| value["known"] = known).await;
        let (request_line, mut call) = test_node.discovery.accept_call().await;
        assert!(request_line.contains("index=5"), "{request_line}");
        call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").await;
        test_node.wait_until_ready().await;
        test_node.establish(1, &host).await;
        // The node calls discovery again by itself, without another request of a client.
        test_node.discovery.accept_call().await;
    });
}

#[test]
fn watch_resumes_at_the_known_version_and_ignores_older_changes() {
    run(async {
        let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
        let (test_node, mut watch) = start_ready_node(&[&hosts[0]]).await;
        send_chunk(&mut watch, &list_line(7, false, &[hosts[1].list_entry("up")])).await;
        send_chunk(&mut watch, &list_line(3, false, &[hosts[1].list_entry("removed")])).await;
        send_chunk(&mut watch, &list_line(8, false, &[hosts[0].list_entry("removed")])).await;
        while test_node.node.decisions.host(server_id("s-1")).is_some() {
            sleep(Duration::from_millis(1)).await;
        }
        test_node.establish(1, &hosts[1]).await;
        drop(watch);
        let (request_line, _call) = test_node.discovery.accept_call().await;
        assert!(request_line.contains("index=8"), "{request_line}");
    });
}

/// Guards against a successor that asks a new discovery for changes after a version of the one before, and
/// passes over all that it is told (issue 55, review/2).
#[test]
fn list_of_another_discovery_is_fetched_completely() {
    run(async {
        let (host, discovery) = (StubHost::new("s-1").await, StubDiscovery::new().await);
        let mut value = node_config("127.0.0.1:0", &discovery.0.local_addr().expect("bound").to_string());
        value["known"] = serde_json::json!({"seq": 500, "whole": true, "hosts": [host.list_entry("up")]});
        let mut config = Config::from_file_value(value, |_| None).expect("a valid configuration");
        config.cached_endpoints_source = "127.0.0.1:1".parse().expect("an address");
        let node = Rc::new(Node::new(config));
        assert_eq!(node.hand_over_state(1).endpoints_source, "127.0.0.1:1".parse().ok());
        spawn_local(watch::run(node.decisions.clone()));
        spawn_local(node.clone().run(|_| {}));
        let (request_line, mut call) = discovery.accept_call().await;
        assert_eq!(request_line, "GET /catalog/members HTTP/1.1");
        let list = list_line(20, true, &[host.list_entry("up")]);
        send_complete_list(&mut call, &list).await;
        let (request_line, _watch) = discovery.accept_call().await;
        assert!(request_line.contains("index=20"), "{request_line}");
        assert_eq!(node.hand_over_state(1).endpoints_source, None);
    });
}

/// Guards against a late answer that undoes a drain: the other process of the node sent a newer list while the
/// call was out (issue 64).
#[test]
fn answer_that_is_older_than_the_other_process_s_list_is_passed_over() {
    run(async {
        let (host, discovery) = (StubHost::new("s-1").await, StubDiscovery::new().await);
        let address = discovery.0.local_addr().expect("bound");
        let value = node_config("127.0.0.1:0", &address.to_string());
        let mut config = Config::from_file_value(value, |_| None).expect("a valid configuration");
        config.cached_endpoints_source = "127.0.0.1:1".parse().expect("an address");
        let node = Rc::new(Node::new(config));
        spawn_local(watch::run(node.decisions.clone()));
        spawn_local(node.clone().run(|_| {}));
        let (request_line, mut call) = discovery.accept_call().await;
        assert_eq!(request_line, "GET /catalog/members HTTP/1.1");
        let newer = serde_json::json!({
            "from": address, "after": 0, "more": false, "lease_until": 0,
            "list": {"seq": 43, "whole": true, "hosts": [host.list_entry("draining")]},
        });
        let newer = serde_json::from_value(newer).expect("an update");
        assert_eq!(node.decisions.apply_list_update(&newer), ListComparison::Newer);
        let older = list_line(42, true, &[host.list_entry("up")]);
        send_complete_list(&mut call, &older).await;
        let (request_line, _watch) = discovery.accept_call().await;
        assert!(request_line.contains("index=43"), "{request_line}");
        assert_eq!(node.decisions.complete_list().endpoints[0].health, Health::Draining);
        assert!(node.decisions.can_serve(), "discovery has answered");
    });
}

/// Guards against a watch that begins with a complete list, made before the other process of the node was told
/// of a drain, and undoes it (issue 64).
#[test]
fn first_line_that_is_older_than_the_other_process_s_list_is_passed_over() {
    run(async {
        let host = StubHost::new("s-1").await;
        let known = serde_json::json!({"seq": 41, "whole": true, "hosts": [host.list_entry("up")]});
        let test_node = start_node(|value| value["known"] = known).await;
        let (request_line, mut watch) = test_node.discovery.accept_call().await;
        assert!(request_line.contains("index=41"), "{request_line}");
        let newer = serde_json::json!({
            "from": test_node.discovery.0.local_addr().expect("bound"), "after": 41, "more": false,
            "lease_until": 0, "list": {"seq": 43, "whole": false, "hosts": [host.list_entry("draining")]},
        });
        let decisions = &test_node.node.decisions;
        let newer = serde_json::from_value(newer).expect("an update");
        assert_eq!(decisions.apply_list_update(&newer), ListComparison::Newer);
        watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
        send_chunk(&mut watch, &list_line(42, true, &[host.list_entry("up")])).await;
        test_node.wait_until_ready().await;
        assert_eq!(decisions.complete_list().endpoints[0].health, Health::Draining);
        // What comes after that is applied, and so is a list of a discovery that counts anew.
        send_chunk(&mut watch, &list_line(44, false, &[host.list_entry("up")])).await;
        while decisions.complete_list().endpoints[0].health != Health::Up {
            sleep(Duration::from_millis(1)).await;
        }
        drop(watch);
        let _watch = test_node.discovery.accept_watch(&[&list_line(2, true, &[host.list_entry("up")])]).await;
        while decisions.known_list_version() != Some(2) {
            sleep(Duration::from_millis(1)).await;
        }
    });
}
