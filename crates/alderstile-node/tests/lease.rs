//! The lease on the endpoint list: how long a node may act on a list that it cannot bring up to date.

use std::time::Duration;

use alderstile::balancer::Balancer;
use alderstile::types::{EndpointListKind, Micros, ServerId};
use alderstile_node::config::Config;
use alderstile_node::discovery::lease::Lease;
use alderstile_node::node::Node;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout};

mod support;
use support::*;

const A: ServerId = ServerId(1);
const B: ServerId = ServerId(2);

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn patient(value: &mut Value) {
    value["settings"]["allowed"]["connect_timeout"] = json!(20_000_000);
}

/// Lists are pushed, and something new may go to a host for 0.5 s after its drain was told.
fn pushed(value: &mut Value) {
    value["settings"]["discovery"] = json!("automatic");
    value["settings"]["obligations"]["stop_sending_within"] = json!(500_000);
}

/// A client is served by this host.
async fn served(setup: &Setup, id: u64, host: &StubHost) {
    timeout(Duration::from_secs(5), setup.establish(id, host)).await.expect("served");
}

/// A client is refused at once, and nobody is asked to take it.
async fn refused(setup: &Setup, id: u64, host: &StubHost) {
    let mut client = setup.send_request(id, "d=20000").await;
    let answer = timeout(Duration::from_secs(5), client.read_line()).await.expect("an answer at once");
    assert!(answer.is_some_and(|line| line.starts_with("BUSY")), "refused");
    assert!(timeout(Duration::from_millis(50), host.accept()).await.is_err(), "asked all the same");
}

/// Answers each call with 503 after this long, as one that has too many callers does.
async fn turn_away(discovery: &StubDiscovery, after: Duration) {
    loop {
        let (_, mut call) = discovery.accept_call().await;
        spawn_local(async move {
            tokio::time::sleep(after).await;
            let answer = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
            call.0.get_mut().write_all(answer).await.unwrap_or_default();
        });
    }
}

/// Waits for something while discovery goes on doing something else.
async fn beside<T>(discovery: impl Future<Output = ()>, test: impl Future<Output = T>) -> T {
    tokio::select! {
        () = discovery => panic!("discovery never ends"),
        done = test => done,
    }
}

// ---- the arithmetic ----

#[test]
fn what_is_heard_renews_it_and_nothing_else_does() {
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
fn a_server_that_took_a_request_did_not_drain_when_it_was_asked() {
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
fn what_nobody_can_reach_tells_nobody() {
    let mut lease = Lease::new(ms(0), None);
    lease.on_discovery_unreachable(ms(5_000));
    assert!(lease.allows_new_work(ms(10_999), A) && !lease.allows_new_work(ms(11_000), A));
    // An earlier call that ends later takes nothing back.
    lease.on_discovery_unreachable(ms(1_000));
    assert!(lease.allows_new_work(ms(10_999), A));
}

#[test]
fn discovery_at_a_new_place_counts_four_seconds_later() {
    let mut lease = Lease::new(ms(0), None);
    lease.renew(ms(1_000));
    lease.on_discovery_address_changed(ms(2_000));
    assert!(lease.allows_new_work(ms(5_999), A) && !lease.allows_new_work(ms(6_000), A));
    // One that had run out is not made good by the move.
    let mut lease = Lease::new(ms(0), None);
    lease.on_discovery_address_changed(ms(7_000));
    assert!(!lease.allows_new_work(ms(7_000), A));
    lease.renew(ms(8_000));
    assert!(lease.allows_new_work(ms(13_999), A));
}

#[test]
fn where_lists_are_pushed_the_grace_at_drains_is_all_there_is_without_a_watch() {
    let mut lease = Lease::new(ms(0), Some(ms(400)));
    assert!(lease.allows_new_work(ms(399), A) && !lease.allows_new_work(ms(400), A));
    lease.renew(ms(1_000));
    // One clock for silence.
    assert!(lease.allows_new_work(ms(6_999), A) && !lease.allows_new_work(ms(7_000), A));
    lease.on_watch_ended(ms(2_000));
    assert!(lease.allows_new_work(ms(2_399), A) && !lease.allows_new_work(ms(2_400), A));
    lease.on_discovery_unreachable(ms(2_300));
    assert!(lease.allows_new_work(ms(2_699), A) && !lease.allows_new_work(ms(2_700), A));
}

#[test]
fn a_successor_has_what_was_left_and_no_more() {
    let mut lease = Lease::new(ms(0), None);
    lease.renew(ms(1_000));
    assert_eq!(lease.remaining(ms(3_000)), ms(4_000));
    let mut next = Lease::new(ms(3_000), None);
    next.inherit(ms(3_000), ms(4_000));
    assert!(next.allows_new_work(ms(6_999), A) && !next.allows_new_work(ms(7_000), A));
    next.inherit(ms(3_000), ms(60_000));
    assert!(!next.allows_new_work(ms(7_000), A));
}

// ---- a fleet at discovery's limit ----

/// How nodes lose their watches.
#[derive(Clone, Copy, Debug)]
enum Lost {
    /// All of them end in one moment.
    Ended,
    /// All fall silent in one moment; the nodes notice within a second of each other.
    Silent,
    /// All end, and discovery answers nothing for so many milliseconds.
    Down(u64),
}

/// Discovery works through so many calls a second in turn, and answers 503 to one that has waited for 2 s. Returns when each
/// node had its list, in milliseconds after the watches brought their last line or, where discovery was down, after that.
fn fleet(nodes: u32, calls_a_second: u64, lost: Lost) -> Vec<u64> {
    const GIVEN_UP: u64 = 2_000;
    let mut value = node_config("127.0.0.1:1", "127.0.0.1:1");
    value["settings"]["balancers"] = json!(nodes);
    let told = Config::from_file_value(value, |_| None).expect("a fine configuration");
    let mut fleet: Vec<Balancer> =
        (0..nodes).map(|node| Balancer::new(told.settings.clone(), u64::from(node), ms(0))).collect();
    // The first calls, spread over the start, are of no interest here: each has a watch by then.
    let began = 20_000;
    for node in &mut fleet {
        node.handle_timeout(ms(began));
        node.on_endpoint_list(ms(began), EndpointListKind::Delta, Vec::new());
    }
    let noticed = |node: u64| match lost {
        Lost::Silent => began + 3_000 + node * 1_000 / u64::from(nodes),
        Lost::Ended | Lost::Down(_) => began,
    };
    let back = began + if let Lost::Down(down) = lost { down } else { 0 };
    // Nodes that notice later had their last line later.
    let since = |node: u64| if let Lost::Silent = lost { noticed(node) - 3_000 } else { back };
    let mut heard: Vec<Option<u64>> = vec![None; fleet.len()];
    let mut queue: std::collections::VecDeque<(usize, u64)> = std::collections::VecDeque::new();
    let mut worked = 0;
    for now in began.. {
        for (number, node) in fleet.iter_mut().enumerate() {
            if now == noticed(number as u64) {
                node.on_endpoint_list(ms(now), EndpointListKind::Failed, Vec::new());
            }
            if node.poll_timeout().is_some_and(|due| due <= ms(now))
                && node.handle_timeout(ms(now)).watch_endpoints
            {
                queue.push_back((number, now));
            }
        }
        while queue.front().is_some_and(|(_, asked)| now >= *asked + GIVEN_UP)
            && let Some((number, _)) = queue.pop_front()
        {
            fleet[number].on_endpoint_list(ms(now), EndpointListKind::Failed, Vec::new());
        }
        worked = worked.max((now - began) * calls_a_second);
        while now >= back
            && worked < (now + 1 - began) * calls_a_second
            && let Some((number, _)) = queue.pop_front()
        {
            worked += 1_000;
            fleet[number].on_endpoint_list(ms(now), EndpointListKind::Delta, Vec::new());
            heard[number] = Some(now - since(number as u64));
        }
        if heard.iter().all(Option::is_some) {
            break;
        }
    }
    let mut heard: Vec<u64> = heard.into_iter().flatten().collect();
    heard.sort_unstable();
    let late = heard.iter().filter(|at| **at >= 6_000).count();
    let (median, last) = (heard[heard.len() / 2], heard.last());
    println!("{lost:?}, {calls_a_second} calls a second: median {median}, last {last:?}, {late} past 6 s");
    heard
}

#[test]
fn three_hundred_nodes_have_their_list_before_it_runs_out_from_60_calls_a_second_on() {
    // The longest wait before the first call is 0.75 s, and 300 calls take 300 / 60 = 5 s. Those that waited for 2 s and were
    // turned away are back within 1.5 s, and the queue never stands empty. Silence takes 3 s before that.
    for (calls, lost) in [(60, Lost::Ended), (300, Lost::Ended), (150, Lost::Silent), (300, Lost::Silent)] {
        let heard = fleet(300, calls, lost);
        assert!(heard.last().is_some_and(|last| *last < 6_000), "{calls} calls: {:?}", heard.last());
    }
}

#[test]
fn where_discovery_is_slower_than_that_the_rest_of_the_fleet_holds_back() {
    for (calls, some) in [(20, 100..290), (7, 200..300)] {
        let heard = fleet(300, calls, Lost::Ended);
        let late = heard.iter().filter(|at| **at >= 6_000).count();
        assert!(some.contains(&late), "{late}");
        // All come to their list in the end: calls that are turned away don't starve the others.
        assert!(heard.last().is_some_and(|last| *last < 3 * 300_000 / calls), "{:?}", heard.last());
    }
}

#[test]
fn after_an_outage_all_nodes_have_their_list_soon() {
    for (calls, down) in [(300, 4_000), (300, 8_000), (90, 8_000)] {
        let heard = fleet(300, calls, Lost::Down(down));
        // The longest wait is 5 s, and no more than a few calls come at once by then.
        assert!(heard.last().is_some_and(|last| *last < 8_000), "{:?}", heard.last());
    }
}

// ---- the node ----

#[test]
fn nothing_new_goes_to_what_may_have_changed_while_discovery_turns_calls_away() {
    run(async {
        let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
        let (setup, watch) = start_ready_node(&[&hosts[0]]).await;
        let heard = Instant::now();
        drop(watch);
        let _stays = beside(turn_away(&setup.discovery, Duration::from_millis(700)), async {
            sleep_until(heard + Duration::from_millis(5_000)).await;
            assert!(setup.node.decisions.lease_remaining() > Micros(0), "called it run out too early");
            sleep_until(heard + Duration::from_millis(6_100)).await;
            refused(&setup, 2, &hosts[0]).await;
            // Who is served stays, and who stood there before comes back.
            let mut old = setup.send_request(3, "d=20000,at=s-1").await;
            let mut server = hosts[0].accept().await;
            server.read_line().await.expect("the first line");
            server.send("UP 03\r\n").await;
            assert_eq!(old.read_line().await.as_deref(), Some("UP 03"));
            // A host that drops all it holds would rest when it is given back.
            (old, server)
        })
        .await;
        // Its list comes, and it serves again, the host of before included.
        let _watch =
            setup.discovery.accept_watch(&[&list_line(2, false, &[hosts[1].list_entry("up")])]).await;
        setup.wait_until_listed("s-2").await;
        let mut open = Vec::new();
        let mut asked = [false, false];
        for id in 10..18 {
            let client = setup.send_request(id, "d=20000").await;
            let (mut server, other) = accept_attempt(&hosts).await;
            server.send("UP 01\r\n").await;
            asked[1 - other] = true;
            open.push((client, server));
        }
        assert_eq!(asked, [true, true], "both are used");
    });
}

#[test]
fn a_host_that_takes_requests_gets_more_while_the_others_may_have_changed() {
    run(async {
        let hosts = [StubHost::new("s-1").await, StubHost::new("s-2").await];
        let (setup, mut watch) = start_ready_node(&[&hosts[0]]).await;
        send_chunk(&mut watch, "\n").await;
        let heard = Instant::now();
        beside(turn_away(&setup.discovery, Duration::from_millis(700)), async {
            // The watch falls silent, and stays open.
            sleep_until(heard + Duration::from_millis(1_000)).await;
            let mut open = Vec::new();
            open.push(setup.establish(1, &hosts[0]).await);
            send_chunk(&mut watch, &list_line(2, false, &[hosts[1].list_entry("up")])).await;
            setup.wait_until_listed("s-2").await;
            let heard = Instant::now();
            sleep_until(heard + Duration::from_millis(4_000)).await;
            let mut client = setup.send_request(2, "d=20000").await;
            // The empty one comes first.
            let mut server = hosts[1].accept().await;
            server.read_line().await.expect("the first line");
            server.send("UP 02\r\n").await;
            assert_eq!(client.read_line().await.as_deref(), Some("UP 02"));
            open.push((client, server));
            sleep_until(heard + Duration::from_millis(6_200)).await;
            for id in 3..9 {
                // By load half of these would go to the first one.
                open.push(setup.establish(id, &hosts[1]).await);
            }
            assert!(timeout(Duration::from_millis(50), hosts[0].accept()).await.is_err(), "may have changed");
        })
        .await;
    });
}

#[test]
fn while_nobody_can_reach_discovery_the_list_held_goes_on_and_no_longer() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, watch) = start_ready_node(&[&host]).await;
        let Setup { node, address, accepting, discovery } = setup;
        let place = discovery.0.local_addr().expect("bound");
        // Its machine refuses connections.
        drop((watch, discovery));
        let down = Instant::now();
        sleep_until(down + Duration::from_millis(8_000)).await;
        let back = StubDiscovery(tokio::net::TcpListener::bind(place).await.expect("its port again"));
        let setup = Setup { node, address, accepting, discovery: back };
        served(&setup, 1, &host).await;
        assert!(setup.node.decisions.lease_remaining() > Micros(0), "nothing can have been told");
        // It is back, and takes calls in that it never answers.
        let back = Instant::now();
        sleep_until(back + Duration::from_millis(7_000)).await;
        refused(&setup, 2, &host).await;
    });
}

#[test]
fn where_lists_are_pushed_nothing_new_goes_out_once_the_agent_may_have_more() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, watch) = start_ready_node_with(&[&host], pushed).await;
        drop(watch);
        // It takes the call in and says nothing.
        let (_, mut call) = setup.discovery.accept_call().await;
        tokio::time::sleep(Duration::from_millis(450)).await;
        refused(&setup, 1, &host).await;
        call.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
        send_chunk(&mut call, "\n").await;
        while setup.node.decisions.lease_remaining() == Micros(0) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        served(&setup, 2, &host).await;
    });
}

#[test]
fn where_lists_are_pushed_a_new_process_sends_nothing_by_the_list_of_before() {
    run(async {
        let host = StubHost::new("s-1").await;
        let entry = host.list_entry("up");
        let setup = start_node(|value| {
            pushed(value);
            value["known"] = json!({"seq": 1, "whole": true, "hosts": [entry]});
        })
        .await;
        tokio::time::sleep(Duration::from_millis(450)).await;
        refused(&setup, 1, &host).await;
        let _watch = setup.discovery.accept_watch(&["\n"]).await;
        setup.wait_until_ready().await;
        served(&setup, 2, &host).await;
    });
}

#[test]
fn a_line_is_not_sent_where_the_lease_ran_out_while_the_connection_came_up() {
    run(async {
        let held = StubHost::with_full_queue("s-1").await;
        let (setup, watch) = start_ready_node_with(&[&held], |value| {
            pushed(value);
            patient(value);
        })
        .await;
        let mut client = setup.send_request(1, "d=20000").await;
        setup.wait_until_in_flight().await;
        drop(watch);
        let (_, _call) = setup.discovery.accept_call().await;
        tokio::time::sleep(Duration::from_millis(450)).await;
        held.free_queue().await;
        let mut late = held.accept().await;
        assert_eq!(late.read_line().await, None, "sent all the same");
        assert!(client.read_line().await.is_some_and(|line| line.starts_with("BUSY")));
    });
}

#[test]
fn what_is_asked_in_the_moment_the_lease_runs_out_is_not_sent() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, watch) = start_ready_node_with(&[&host], pushed).await;
        let mut client = setup.connect().await;
        drop(watch);
        let (_, _call) = setup.discovery.accept_call().await;
        // Nothing else runs on this thread meanwhile: the line has come, and the hosts are not set aside yet.
        client.0.get_ref().try_write(b"OPEN 01 01 c=chat,d=20000\r\n").expect("sent");
        std::thread::sleep(Duration::from_millis(450));
        assert!(client.read_line().await.is_some_and(|line| line.starts_with("BUSY")));
        assert!(timeout(Duration::from_millis(50), host.accept()).await.is_err(), "asked all the same");
    });
}

#[test]
fn operators_take_hosts_out_and_back_while_the_lease_is_over() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, watch) = start_ready_node_with(&[&host], pushed).await;
        drop(watch);
        let (_, mut call) = setup.discovery.accept_call().await;
        tokio::time::sleep(Duration::from_millis(450)).await;
        refused(&setup, 1, &host).await;
        let admin = &setup.node.admin;
        assert!(admin.set_host_online("s-1", false).await.expect("done"), "the list names it");
        call.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
        send_chunk(&mut call, "\n").await;
        while setup.node.decisions.lease_remaining() == Micros(0) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        refused(&setup, 2, &host).await;
        assert!(admin.set_host_online("s-1", true).await.expect("done"));
    });
}

#[test]
fn where_gone_is_advice_nothing_new_goes_to_what_may_drain_either() {
    // The decisions go on with hosts that are called gone where connections stand: here these may drain.
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, watch) = start_ready_node_with(&[&host], |value| {
            pushed(value);
            value["settings"]["obligations"]["gone_is_advice"] = json!(true);
        })
        .await;
        let _open = setup.establish(1, &host).await;
        drop(watch);
        let (_, _call) = setup.discovery.accept_call().await;
        tokio::time::sleep(Duration::from_millis(450)).await;
        refused(&setup, 2, &host).await;
    });
}

#[test]
fn after_a_move_of_discovery_the_list_of_before_holds_for_four_seconds() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, _watch) = start_ready_node(&[&host]).await;
        let other = StubDiscovery::new().await;
        let mut told = setup.node.config().source.clone();
        told["discovery"] = json!(other.0.local_addr().expect("bound").to_string());
        let moved = Instant::now();
        setup.node.apply_config(Config::from_file_value(told, |_| None).expect("a fine configuration"));
        sleep_until(moved + Duration::from_millis(3_500)).await;
        assert!(setup.node.decisions.lease_remaining() > Micros(0));
        sleep_until(moved + Duration::from_millis(4_100)).await;
        refused(&setup, 1, &host).await;
    });
}

#[test]
fn the_lease_goes_over_to_the_process_that_takes_over() {
    run(async {
        let host = StubHost::new("s-1").await;
        let (setup, _watch) = start_ready_node(&[&host]).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        let handshake = setup.node.hand_over_state(1);
        let left = setup.node.decisions.lease_remaining();
        assert!(left < ms(5_750) && left > Micros(0), "{left:?}");
        let config = Config::from_file_value(setup.node.config().source.clone(), |_| None).expect("fine");
        let next = Node::new(config);
        next.take_over(&handshake);
        assert!(next.decisions.lease_remaining() <= Micros(handshake.lease_remaining_us.expect("told")));
    });
}
