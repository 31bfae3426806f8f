//! The lease on the endpoint list: how long a node may act on a list that it cannot update.

use std::time::Duration;

use alderstile::balancer::Balancer;
use alderstile::types::{EndpointListKind, Micros, ServerId};
use alderstile_node::config::Config;
use alderstile_node::discovery::lease::Lease;
use alderstile_node::node::Node;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep_until, timeout};

mod support;
use support::*;

const A: ServerId = ServerId(1);
const B: ServerId = ServerId(2);

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn set_long_connect_timeout(value: &mut Value) {
    value["settings"]["allowed"]["connect_timeout"] = json!(20_000_000);
}

/// Configures pushed lists, with a drain grace of 0.5 s in which a host may still receive new requests.
fn set_pushed_lists(value: &mut Value) {
    value["settings"]["discovery"] = json!("automatic");
    value["settings"]["obligations"]["stop_sending_within"] = json!(500_000);
}

/// Asserts that a new client is served by the given host.
async fn assert_served(test_node: &TestNode, id: u64, host: &StubHost) {
    timeout(Duration::from_secs(5), test_node.establish(id, host)).await.expect("served");
}

/// Asserts that a new client is rejected at once, without an attempt at the given host.
async fn assert_rejected(test_node: &TestNode, id: u64, host: &StubHost) {
    let mut client = test_node.send_request(id, "d=20000").await;
    let answer = timeout(Duration::from_secs(5), client.read_line()).await.expect("an answer at once");
    assert!(answer.is_some_and(|line| line.starts_with("BUSY")), "rejected");
    assert!(timeout(Duration::from_millis(50), host.accept()).await.is_err(), "attempt made nevertheless");
}

/// Runs a test together with a stub of discovery, and returns the output of the test.
async fn run_alongside<T>(discovery: impl Future<Output = ()>, test: impl Future<Output = T>) -> T {
    tokio::select! {
        () = discovery => panic!("the stub of discovery ended"),
        output = test => output,
    }
}

// ---- the time bounds of the lease ----

#[test]
fn renewal_extends_the_lease_and_the_end_of_a_watch_does_not() {
    let mut lease = Lease::new(ms(0), None);
    assert!(lease.allows_new_work(ms(5_999), A) && !lease.allows_new_work(ms(6_000), A));
    lease.renew(ms(10_000));
    lease.on_watch_ended(ms(11_000));
    assert!(lease.allows_new_work(ms(15_999), A) && !lease.allows_new_work(ms(16_000), A));
    assert_eq!(lease.next_due(ms(11_000)), Some(ms(16_000)));
    lease.set_push_grace(None);
    assert!(!lease.allows_new_work(ms(16_000), A));
}

#[test]
fn host_that_accepted_a_request_is_allowed_until_its_own_bound() {
    let mut lease = Lease::new(ms(0), None);
    lease.on_request_accepted(B, ms(4_000));
    assert_eq!(lease.withhold_expired(ms(6_000), [A, B].into_iter()), [A]);
    assert_eq!(lease.withhold_expired(ms(6_000), [A, B].into_iter()), []);
    assert!(lease.allows_new_work(ms(9_999), B) && !lease.allows_new_work(ms(10_000), B));
    assert_eq!(lease.next_due(ms(6_000)), Some(ms(10_000)));
    assert_eq!(lease.withhold_expired(ms(10_000), [A, B].into_iter()), [B]);
    assert_eq!(lease.next_due(ms(10_000)), None);
    assert!(lease.release_withheld(ms(10_000)).is_empty());
    lease.renew(ms(11_000));
    assert_eq!(lease.release_withheld(ms(11_000)), [A, B].into());
    assert!(lease.release_withheld(ms(11_000)).is_empty());
}

#[test]
fn unreachable_discovery_extends_the_lease() {
    let mut lease = Lease::new(ms(0), None);
    lease.on_discovery_unreachable(ms(5_000));
    assert!(lease.allows_new_work(ms(10_999), A) && !lease.allows_new_work(ms(11_000), A));
    // A call that started earlier and fails later does not shorten the lease.
    lease.on_discovery_unreachable(ms(1_000));
    assert!(lease.allows_new_work(ms(10_999), A));
}

#[test]
fn new_discovery_address_shortens_the_lease_to_four_seconds() {
    let mut lease = Lease::new(ms(0), None);
    lease.renew(ms(1_000));
    lease.on_discovery_address_changed(ms(2_000));
    assert!(lease.allows_new_work(ms(5_999), A) && !lease.allows_new_work(ms(6_000), A));
    // The change of address does not renew an expired lease.
    let mut lease = Lease::new(ms(0), None);
    lease.on_discovery_address_changed(ms(7_000));
    assert!(!lease.allows_new_work(ms(7_000), A));
    lease.renew(ms(8_000));
    assert!(lease.allows_new_work(ms(13_999), A));
}

#[test]
fn pushed_lists_without_a_watch_are_valid_for_the_drain_grace_only() {
    let mut lease = Lease::new(ms(0), Some(ms(400)));
    assert!(lease.allows_new_work(ms(399), A) && !lease.allows_new_work(ms(400), A));
    lease.renew(ms(1_000));
    // The bound after silence is the same as without pushed lists.
    assert!(lease.allows_new_work(ms(6_999), A) && !lease.allows_new_work(ms(7_000), A));
    lease.on_watch_ended(ms(2_000));
    assert!(lease.allows_new_work(ms(2_399), A) && !lease.allows_new_work(ms(2_400), A));
    lease.on_discovery_unreachable(ms(2_300));
    assert!(lease.allows_new_work(ms(2_699), A) && !lease.allows_new_work(ms(2_700), A));
}

/// Guards against a process that acts on its list although neither process hears of changes, and against one
/// that withholds requests although the other one does.
#[test]
fn lease_lasts_as_long_as_that_of_either_process() {
    let mut lease = Lease::new(ms(0), None);
    lease.set_other_process(ms(9_000));
    assert!(lease.allows_new_work(ms(8_999), A) && !lease.allows_new_work(ms(9_000), A));
    // A later report may be shorter, and a shorter one of another list counts, too.
    lease.set_other_process(ms(8_000));
    lease.shorten_other_process(ms(8_500));
    assert_eq!(lease.next_due(ms(1)), Some(ms(8_000)));
    lease.shorten_other_process(ms(7_000));
    assert_eq!(lease.next_due(ms(1)), Some(ms(7_000)));
    // A changed address of discovery shortens both.
    lease.on_discovery_address_changed(ms(1_000));
    assert_eq!(lease.next_due(ms(1_000)), Some(ms(5_000)));
    assert_eq!(lease.own_expires(), ms(5_000));
    // With pushed lists, the end of the process whose watch was open shortens its lease to the drain grace.
    let mut pushed = Lease::new(ms(0), Some(ms(400)));
    pushed.set_other_process(ms(6_000));
    pushed.on_other_process_ended(ms(1_000));
    assert!(pushed.allows_new_work(ms(1_399), A) && !pushed.allows_new_work(ms(1_400), A));
}

#[test]
fn hosts_are_withheld_again_after_a_list_without_a_lease() {
    let mut lease = Lease::new(ms(0), None);
    assert_eq!(lease.withhold_expired(ms(6_000), [A, B].into_iter()), [A, B]);
    assert_eq!(lease.withhold_expired(ms(6_001), [A, B].into_iter()), []);
    lease.forget_withheld();
    assert_eq!(lease.withhold_expired(ms(6_002), [A, B].into_iter()), [A, B]);
}

#[test]
fn successor_inherits_at_most_the_remaining_lease() {
    let mut lease = Lease::new(ms(0), None);
    lease.renew(ms(1_000));
    assert_eq!(lease.remaining(ms(3_000)), ms(4_000));
    let mut successor = Lease::new(ms(3_000), None);
    successor.inherit(ms(3_000), ms(4_000));
    assert!(successor.allows_new_work(ms(6_999), A) && !successor.allows_new_work(ms(7_000), A));
    successor.inherit(ms(3_000), ms(60_000));
    assert!(!successor.allows_new_work(ms(7_000), A));
}

// ---- a fleet at the capacity limit of discovery ----

/// How the nodes lose their watches.
#[derive(Clone, Copy, Debug)]
enum WatchLoss {
    /// All watches end at the same time.
    Ended,
    /// All watches fall silent at the same time; the nodes detect this within a second of each other.
    Silent,
    /// All watches end, and discovery answers nothing for the given number of milliseconds.
    DiscoveryDown(u64),
}

/// Simulates the loss of all watches with a discovery that processes `calls_per_second` in order of arrival,
/// and answers 503 to a call that has waited for 2 s.
///
/// Returns the sorted times until each node had its list, in milliseconds from the last line of the watches,
/// or from the end of the outage if discovery was down.
fn simulate_watch_loss(nodes: u32, calls_per_second: u64, loss: WatchLoss) -> Vec<u64> {
    const CALL_QUEUE_TIMEOUT: u64 = 2_000;
    let mut value = node_config("127.0.0.1:1", "127.0.0.1:1");
    value["settings"]["balancers"] = json!(nodes);
    let config = Config::from_file_value(value, |_| None).expect("a valid configuration");
    let mut balancers: Vec<Balancer> =
        (0..nodes).map(|node| Balancer::new(config.settings.clone(), u64::from(node), ms(0))).collect();
    // The first calls of the nodes, which are spread over time, are not simulated: each node has a watch when
    // the simulation begins.
    let lost_at = 20_000;
    for node in &mut balancers {
        node.handle_timeout(ms(lost_at));
        node.on_endpoint_list(ms(lost_at), EndpointListKind::Delta, Vec::new());
    }
    let detected_at = |node: u64| match loss {
        WatchLoss::Silent => lost_at + 3_000 + node * 1_000 / u64::from(nodes),
        WatchLoss::Ended | WatchLoss::DiscoveryDown(_) => lost_at,
    };
    let recovered_at = lost_at + if let WatchLoss::DiscoveryDown(down) = loss { down } else { 0 };
    // Nodes that detect the silence later received their last line later.
    let measured_from =
        |node: u64| if let WatchLoss::Silent = loss { detected_at(node) - 3_000 } else { recovered_at };
    let mut list_delays: Vec<Option<u64>> = vec![None; balancers.len()];
    let mut queue: std::collections::VecDeque<(usize, u64)> = std::collections::VecDeque::new();
    let mut processed = 0;
    for now in lost_at.. {
        for (number, node) in balancers.iter_mut().enumerate() {
            if now == detected_at(number as u64) {
                node.on_endpoint_list(ms(now), EndpointListKind::Failed, Vec::new());
            }
            if node.poll_timeout().is_some_and(|due| due <= ms(now))
                && node.handle_timeout(ms(now)).watch_endpoints
            {
                queue.push_back((number, now));
            }
        }
        while queue.front().is_some_and(|(_, called_at)| now >= *called_at + CALL_QUEUE_TIMEOUT)
            && let Some((number, _)) = queue.pop_front()
        {
            balancers[number].on_endpoint_list(ms(now), EndpointListKind::Failed, Vec::new());
        }
        processed = processed.max((now - lost_at) * calls_per_second);
        while now >= recovered_at
            && processed < (now + 1 - lost_at) * calls_per_second
            && let Some((number, _)) = queue.pop_front()
        {
            processed += 1_000;
            balancers[number].on_endpoint_list(ms(now), EndpointListKind::Delta, Vec::new());
            list_delays[number] = Some(now - measured_from(number as u64));
        }
        if list_delays.iter().all(Option::is_some) {
            break;
        }
    }
    let mut list_delays: Vec<u64> = list_delays.into_iter().flatten().collect();
    list_delays.sort_unstable();
    let late = list_delays.iter().filter(|at| **at >= 6_000).count();
    let (median, last) = (list_delays[list_delays.len() / 2], list_delays.last());
    println!(
        "{loss:?}, {calls_per_second} calls per second: median {median} ms, last {last:?} ms, {late} after 6 s"
    );
    list_delays
}

#[test]
fn three_hundred_nodes_renew_their_lease_in_time_from_60_calls_per_second_on() {
    // The longest wait before the first call is 0.75 s, and 300 calls take 300 / 60 = 5 s. Nodes that were
    // rejected after 2 s call again within 1.5 s, so that the queue is never empty. Silence is detected after
    // 3 s, which adds to these times.
    for (calls, loss) in
        [(60, WatchLoss::Ended), (300, WatchLoss::Ended), (150, WatchLoss::Silent), (300, WatchLoss::Silent)]
    {
        let delays = simulate_watch_loss(300, calls, loss);
        assert!(delays.last().is_some_and(|last| *last < 6_000), "{calls} calls: {:?}", delays.last());
    }
}

#[test]
fn slower_discovery_lets_some_leases_expire_and_starves_no_node() {
    for (calls, expected_late) in [(20, 100..290), (7, 200..300)] {
        let delays = simulate_watch_loss(300, calls, WatchLoss::Ended);
        let late = delays.iter().filter(|at| **at >= 6_000).count();
        assert!(expected_late.contains(&late), "{late}");
        // All nodes receive their list eventually: rejected calls do not starve the others.
        assert!(delays.last().is_some_and(|last| *last < 3 * 300_000 / calls), "{:?}", delays.last());
    }
}

#[test]
fn all_nodes_receive_their_list_within_8_s_after_an_outage() {
    for (calls, outage_ms) in [(300, 4_000), (300, 8_000), (90, 8_000)] {
        let delays = simulate_watch_loss(300, calls, WatchLoss::DiscoveryDown(outage_ms));
        // The longest wait is 5 s, and by then only a few calls arrive at the same time.
        assert!(delays.last().is_some_and(|last| *last < 8_000), "{:?}", delays.last());
    }
}

// ---- the lease of a running node ----

#[test]
fn hosts_receive_no_new_requests_after_the_lease_expires() {
    run(async {
        let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
        let (test_node, watch) = start_ready_node(&[&hosts[0]]).await;
        let last_line_at = Instant::now();
        drop(watch);
        let _established =
            run_alongside(test_node.discovery.reject_calls(Duration::from_millis(700)), async {
                sleep_until(last_line_at + Duration::from_millis(5_000)).await;
                assert!(
                    test_node.node.decisions.lease_remaining() > Micros(0),
                    "the lease expired too early"
                );
                sleep_until(last_line_at + Duration::from_millis(6_100)).await;
                assert_rejected(&test_node, 2, &hosts[0]).await;
                // Established connections stay, and connections open before the start can be resumed.
                let mut resumed = test_node.send_request(3, "d=20000,at=s-1").await;
                let mut server = hosts[0].accept().await;
                server.read_line().await.expect("the first line");
                server.send("UP 03\r\n").await;
                assert_eq!(resumed.read_line().await.as_deref(), Some("UP 03"));
                // Kept open: a host that closed all its connections would be ejected when it is used again.
                (resumed, server)
            })
            .await;
        // The list arrives, and both hosts receive requests again, including the one that was withheld.
        let _watch =
            test_node.discovery.accept_watch(&[&list_line(2, false, &[hosts[1].list_entry("up")])]).await;
        test_node.wait_until_listed("s-2").await;
        let mut open = Vec::new();
        let mut used = [false, false];
        for id in 10..18 {
            let client = test_node.send_request(id, "d=20000").await;
            let (mut server, other) = accept_attempt(&hosts).await;
            server.send("UP 01\r\n").await;
            used[1 - other] = true;
            open.push((client, server));
        }
        assert_eq!(used, [true, true], "both hosts receive requests");
    });
}

#[test]
fn host_that_accepted_recently_receives_requests_after_the_lease_expires() {
    run(async {
        let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
        let (test_node, mut watch) = start_ready_node(&[&hosts[0]]).await;
        send_chunk(&mut watch, "\n").await;
        let last_line_at = Instant::now();
        run_alongside(test_node.discovery.reject_calls(Duration::from_millis(700)), async {
            // The watch is silent but stays open.
            sleep_until(last_line_at + Duration::from_millis(1_000)).await;
            let mut open = Vec::new();
            open.push(test_node.establish(1, &hosts[0]).await);
            send_chunk(&mut watch, &list_line(2, false, &[hosts[1].list_entry("up")])).await;
            test_node.wait_until_listed("s-2").await;
            let last_line_at = Instant::now();
            sleep_until(last_line_at + Duration::from_millis(4_000)).await;
            let mut client = test_node.send_request(2, "d=20000").await;
            // The host without connections is chosen first.
            let mut server = hosts[1].accept().await;
            server.read_line().await.expect("the first line");
            server.send("UP 02\r\n").await;
            assert_eq!(client.read_line().await.as_deref(), Some("UP 02"));
            open.push((client, server));
            sleep_until(last_line_at + Duration::from_millis(6_200)).await;
            for id in 3..9 {
                // Without the lease, half of these would be placed on the first host by load.
                open.push(test_node.establish(id, &hosts[1]).await);
            }
            assert!(
                timeout(Duration::from_millis(50), hosts[0].accept()).await.is_err(),
                "attempt at a host that may have changed"
            );
        })
        .await;
    });
}

#[test]
fn lease_stays_valid_while_discovery_is_unreachable_and_no_longer() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, watch) = start_ready_node(&[&host]).await;
        let TestNode { node, address, listener_task, discovery } = test_node;
        let discovery_address = discovery.0.local_addr().expect("bound");
        // Discovery's machine refuses connections.
        drop((watch, discovery));
        let down_since = Instant::now();
        sleep_until(down_since + Duration::from_millis(8_000)).await;
        let restarted_discovery =
            StubDiscovery(tokio::net::TcpListener::bind(discovery_address).await.expect("the same port"));
        let test_node = TestNode { node, address, listener_task, discovery: restarted_discovery };
        assert_served(&test_node, 1, &host).await;
        assert!(
            test_node.node.decisions.lease_remaining() > Micros(0),
            "no change counts as notified while discovery is down"
        );
        // Discovery accepts calls again, and never answers them.
        let restarted_at = Instant::now();
        sleep_until(restarted_at + Duration::from_millis(7_000)).await;
        assert_rejected(&test_node, 2, &host).await;
    });
}

#[test]
fn pushed_list_expires_after_the_drain_grace_without_a_watch() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, watch) = start_ready_node_with(&[&host], set_pushed_lists).await;
        drop(watch);
        // Discovery accepts the call and does not answer.
        let (_, mut call) = test_node.discovery.accept_call().await;
        tokio::time::sleep(Duration::from_millis(450)).await;
        assert_rejected(&test_node, 1, &host).await;
        call.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
        send_chunk(&mut call, "\n").await;
        while test_node.node.decisions.lease_remaining() == Micros(0) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert_served(&test_node, 2, &host).await;
    });
}

#[test]
fn pushed_cached_list_expires_after_the_drain_grace() {
    run(async {
        let host = StubHost::new("s-1").await;
        let entry = host.list_entry("up");
        let test_node = start_node(|value| {
            set_pushed_lists(value);
            value["known"] = json!({"seq": 1, "whole": true, "hosts": [entry]});
        })
        .await;
        tokio::time::sleep(Duration::from_millis(450)).await;
        assert_rejected(&test_node, 1, &host).await;
        let _watch = test_node.discovery.accept_watch(&["\n"]).await;
        test_node.wait_until_ready().await;
        assert_served(&test_node, 2, &host).await;
    });
}

#[test]
fn request_is_not_sent_if_the_lease_expires_during_the_connect() {
    run(async {
        let blocked_host = StubHost::with_full_queue("s-1").await;
        let (test_node, watch) = start_ready_node_with(&[&blocked_host], |value| {
            set_pushed_lists(value);
            set_long_connect_timeout(value);
        })
        .await;
        let mut client = test_node.send_request(1, "d=20000").await;
        test_node.wait_until_in_flight().await;
        drop(watch);
        let (_, _call) = test_node.discovery.accept_call().await;
        tokio::time::sleep(Duration::from_millis(450)).await;
        blocked_host.free_queue().await;
        let mut late_connection = blocked_host.accept().await;
        assert_eq!(late_connection.read_line().await, None, "request sent nevertheless");
        assert!(client.read_line().await.is_some_and(|line| line.starts_with("BUSY")));
    });
}

#[test]
fn request_that_arrives_as_the_lease_expires_is_rejected() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, watch) = start_ready_node_with(&[&host], set_pushed_lists).await;
        let mut client = test_node.connect().await;
        drop(watch);
        let (_, _call) = test_node.discovery.accept_call().await;
        // Blocking the thread keeps the node from running: the line has arrived, and the hosts are not
        // withheld yet.
        client.0.get_ref().try_write(b"OPEN 01 01 c=chat,d=20000\r\n").expect("sent");
        std::thread::sleep(Duration::from_millis(450));
        assert!(client.read_line().await.is_some_and(|line| line.starts_with("BUSY")));
        assert!(
            timeout(Duration::from_millis(50), host.accept()).await.is_err(),
            "attempt made nevertheless"
        );
    });
}

#[test]
fn operators_can_change_host_maintenance_after_the_lease_expired() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, watch) = start_ready_node_with(&[&host], set_pushed_lists).await;
        drop(watch);
        let (_, mut call) = test_node.discovery.accept_call().await;
        tokio::time::sleep(Duration::from_millis(450)).await;
        assert_rejected(&test_node, 1, &host).await;
        let admin = &test_node.node.admin;
        assert!(admin.set_host_online("s-1", false).await.expect("done"), "the host is listed");
        call.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
        send_chunk(&mut call, "\n").await;
        while test_node.node.decisions.lease_remaining() == Micros(0) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert_rejected(&test_node, 2, &host).await;
        assert!(admin.set_host_online("s-1", true).await.expect("done"));
    });
}

#[test]
fn advisory_removal_allows_no_new_requests_after_the_lease_expired() {
    // With this setting the policy continues to use a removed host that has connections. After the lease has
    // expired, such a host may be draining.
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, watch) = start_ready_node_with(&[&host], |value| {
            set_pushed_lists(value);
            value["settings"]["obligations"]["gone_is_advice"] = json!(true);
        })
        .await;
        let _open = test_node.establish(1, &host).await;
        drop(watch);
        let (_, _call) = test_node.discovery.accept_call().await;
        tokio::time::sleep(Duration::from_millis(450)).await;
        assert_rejected(&test_node, 2, &host).await;
    });
}

#[test]
fn list_expires_four_seconds_after_a_change_of_the_discovery_address() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node(&[&host]).await;
        let other = StubDiscovery::new().await;
        let mut new_config = test_node.node.config().source.clone();
        new_config["discovery"] = json!(other.0.local_addr().expect("bound").to_string());
        let changed_at = Instant::now();
        test_node
            .node
            .apply_config(Config::from_file_value(new_config, |_| None).expect("a valid configuration"));
        sleep_until(changed_at + Duration::from_millis(3_500)).await;
        assert!(test_node.node.decisions.lease_remaining() > Micros(0));
        sleep_until(changed_at + Duration::from_millis(4_100)).await;
        assert_rejected(&test_node, 1, &host).await;
    });
}

#[test]
fn successor_process_inherits_the_lease() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (test_node, _watch) = start_ready_node(&[&host]).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        let state = test_node.node.hand_over_state(1);
        let remaining = test_node.node.decisions.lease_remaining();
        assert!(remaining < ms(5_750) && remaining > Micros(0), "{remaining:?}");
        let config = Config::from_file_value(test_node.node.config().source.clone(), |_| None)
            .expect("a valid configuration");
        let successor = Node::new(config);
        successor.take_over(&state);
        assert!(successor.decisions.lease_remaining() <= Micros(state.lease_remaining_us.expect("a lease")));
    });
}
