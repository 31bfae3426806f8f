//! Slow start: attempts that one node sends to a warming-up server. `slow_start_fleet.rs` tests the
//! sum over all nodes.

use crate::support::{Node, connections_by_server, entry, ms, pass_periods, request, settings};
use alderstile::types::{BalancerSettings, Endpoint, EndpointListKind, GroupId, Micros, Outcome, Request};

#[test]
fn many_nodes_together_keep_the_slow_start_budget() {
    // Guards against an overload by many nodes that each send every cold server a connection soon:
    // with 35 nodes, 56 servers failed.
    let (nodes, warm, cold, connections) = (28, 20, 2, 100);
    let fleet_settings = BalancerSettings { node_count: nodes, ..settings() };
    let mut nodes: Vec<Node> =
        (0..nodes).map(|n| Node::with_seed(fleet_settings.clone(), warm, n.into())).collect();
    for node in &mut nodes {
        (0..connections).for_each(|id| node.open(10_000 + id, 1 + id % warm));
    }
    let start = nodes[0].now;
    for tick in 0..150u64 {
        for (n, node) in nodes.iter_mut().enumerate() {
            if tick == 0 {
                let started = Some(node.now);
                let entries = (warm + 1..=warm + cold).map(|id| Endpoint { started, ..entry(id) });
                node.list(EndpointListKind::Delta, entries.collect());
            }
            // Each node has thirty new connections per second and cannot reach any warm server, so
            // cold servers receive all of them.
            node.pass(ms(3 * n as u64));
            for id in 3 * tick + 1..=3 * tick + 3 {
                node.send_request(request(id));
                while node.server_of(id).is_some_and(|server| server <= warm) {
                    node.end(id, Outcome::ConnectFailed);
                }
                if node.has_request(id) {
                    node.establish(id);
                }
            }
            node.pass(ms(100 - 3 * n as u64));
        }
    }
    let connections_per_warm_server = (nodes.len() as u64 * connections / warm) as f64;
    for server in warm + 1..=warm + cold {
        let mut sent_at: Vec<Micros> =
            nodes.iter().flat_map(|node| node.sends_while_warming_up(server).to_vec()).collect();
        sent_at.sort();
        assert!(
            sent_at.len() as f64 > connections_per_warm_server,
            "it receives connections before it is warm: {}",
            sent_at.len()
        );
        // Warm servers can handle at least their current load. The attempts within two seconds must
        // stay below three times that.
        for (i, &from) in sent_at.iter().enumerate() {
            let share = 0.25 + 0.75 * ((from - start).as_secs_f64() / 10.0).min(1.0);
            let sent = sent_at[i..].iter().filter(|&&t| t < from + ms(2_000)).count();
            let budget = 3.0 * share * connections_per_warm_server;
            assert!(sent as f64 <= budget, "{sent} sent within two seconds of a budget of {budget:.1}");
        }
    }
}

#[test]
fn nodes_that_start_a_group_on_the_same_cold_server_keep_its_budget() {
    // Guards against an overload by groups: with 58 nodes, 21 connections of five groups were
    // placed on one cold server within 2 s, where its budget allowed nine, and it failed.
    let fleet_settings = BalancerSettings { node_count: 50, groups: true, ..settings() };
    let cold = Endpoint { started: Some(ms(1_012_000)), ..entry(50) };
    let mut sends = [0; 8];
    for seed in 1..=50 {
        let mut node = Node::with_seed(fleet_settings.clone(), 49, seed);
        let grouped = |id: u64| Request { group: Some(GroupId(1 + id % 30)), ..request(id) };
        (1..=20).for_each(|id| node.open_as(grouped(id), 1 + (seed + id) % 49));
        node.pass(ms(12_000));
        (1..=6).for_each(|id| node.end(id, Outcome::Ok));
        // Clients that are disconnected by a server reconnect. Their connections have not ended by
        // themselves, so the budget does not grow.
        for round in 0..6 {
            for id in 7..=20 {
                node.end(id + 100 * round, Outcome::Cancelled);
                node.open_as(grouped(id + 100 * (round + 1)), 1 + (seed + id) % 49);
            }
        }
        node.list(EndpointListKind::Delta, vec![cold]);
        for (second, sent) in sends.iter_mut().enumerate() {
            for i in 0..8 {
                // Groups that no node has yet, each on the same few servers at all nodes.
                let id = 1_000 + second as u64 * 8 + i;
                node.send_request(Request { group: Some(GroupId(id)), ..request(id) });
                *sent += u32::from(node.server_of(id) == Some(50));
                node.establish(id);
            }
            node.pass(ms(1_000));
        }
    }
    // Each server has 20 connections, each with its group, that last 40 s. The budget is three
    // times their rate at a quarter to nine tenths of the capacity.
    assert!(sends.windows(2).all(|two| two.iter().sum::<u32>() <= 12), "{sends:?}");
    assert!(sends.iter().sum::<u32>() > 0);
}

#[test]
fn warming_up_server_gets_this_nodes_share_in_every_window() {
    // Guards against a burst of resets that increases the number of attempts at a cold server.
    let mut node = Node::new(settings(), 4);
    node.fill(1, 40);
    let mut id = 100;
    let mut reset_burst = |node: &mut Node| {
        for _ in 0..200 {
            node.send_request(request(id));
            node.establish(id);
            node.end(id, Outcome::Reset);
            id += 1;
        }
        node.pass(ms(1_000));
    };
    (0..3).for_each(|_| reset_burst(&mut node));
    let started = node.now;
    node.list(EndpointListKind::Delta, vec![Endpoint { started: Some(started), ..entry(5) }]);
    (0..10).for_each(|_| reset_burst(&mut node));
    let sends = node.sends_while_warming_up(5);
    assert!(!sends.is_empty(), "it receives connections during its warm-up");
    for (i, &first) in sends.iter().enumerate() {
        let within = sends[i..].iter().take_while(|&&at| at < first + ms(2_000)).count();
        // Three times the ten connections of a warm server, at the current share of capacity. The
        // share is higher at the end of the window.
        let share = 0.25 + 0.75 * ((first - started).as_secs_f64() / 10.0 + 0.2).min(1.0);
        assert!(within as f64 <= 30.0 * share, "{within} sends in two seconds");
    }
}

#[test]
fn warming_up_server_gets_its_share_if_records_are_a_few_connections() {
    // Guards against ranking a cold server behind all empty ones until it is warm: with 100 nodes,
    // the mean load with which it counts is a fraction of a connection.
    let placed = |seed: u64| {
        let mut node =
            Node::with_seed(BalancerSettings { warm_up_initial_capacity: 0.9, ..settings() }, 6, seed);
        // Half a connection per server.
        (1..=3).for_each(|id| node.open(id, id));
        let started = Some(node.now);
        node.list(EndpointListKind::Delta, vec![Endpoint { started, ..entry(7) }]);
        node.pass(ms(1_500));
        node.send_request(request(200));
        node.server_of(200) == Some(7)
    };
    let count = (0..400).filter(|&seed| placed(seed)).count();
    // 0.18 of the nodes have a token per period. With a mean of half a connection, the server is
    // ranked first for half of them.
    assert!(
        (36..=80).contains(&count),
        "{count} of 400: about 72 to 108 have a token, and half of them use it"
    );
}

#[test]
fn migrated_connections_use_servers_with_slow_start_tokens_if_records_tie() {
    // Guards against unused tokens: with 300 nodes, each had no connections on 30 of 36 warm
    // servers and a token for two of 27 new ones, but only 84 of 1,166 connections that migrated
    // within two seconds went to new servers.
    let placed = |seed: u64| {
        let mut node = Node::with_seed(BalancerSettings { node_count: 60, ..settings() }, 30, seed);
        (1..=15).for_each(|id| node.open(id, id));
        node.pass(ms(10_000));
        let started = Some(node.now);
        let new = (31..=50).map(|id| Endpoint { started, ..entry(id) });
        node.list(EndpointListKind::Delta, new.collect());
        node.pass(ms(1_000));
        node.send_request(request(200));
        node.server_of(200).is_some_and(|server| server > 30)
    };
    let count = (0..60).filter(|&seed| placed(seed)).count();
    assert!(
        count >= 15,
        "{count} of 60 at 20 cold servers, with 15 warm ones that are also empty in the node's record"
    );
}

#[test]
fn start_time_that_may_be_too_early_warms_up_from_the_latest_possible_start() {
    let sent_to_cold = |tolerance, listed_after| {
        let mut node = Node::new(BalancerSettings { start_time_tolerance: tolerance, ..settings() }, 3);
        node.fill(1, 30);
        let started = Some(node.now - ms(23_000));
        node.pass(listed_after);
        node.list(EndpointListKind::Delta, vec![Endpoint { started, ..entry(4) }]);
        node.fill(100, 12);
        connections_by_server(&node, 100..112).get(&4).copied().unwrap_or(0)
    };
    assert!(
        sent_to_cold(ms(0), ms(0)) > 6,
        "the start time is valid, so the server is warm and has the lowest load"
    );
    assert!(sent_to_cold(ms(23_000), ms(0)) < 6, "it may have started just now");
    assert!(sent_to_cold(ms(23_000), ms(11_000)) > 6, "warm whatever its start time");
}

#[test]
fn nodes_whose_clients_reconnect_together_stagger_their_attempts_at_a_warming_up_server() {
    // Guards against an overload after a batch of hosts stopped: 14 of 19 nodes sent a connection
    // each to the same cold server within 0.17 s, six times its capacity.
    let fleet_settings = BalancerSettings {
        node_count: 19,
        warm_up: ms(20_000),
        warm_up_initial_capacity: 0.15,
        overload_multiple: 2.0,
        overload_window: ms(1_000),
        ..settings()
    };
    let mut sent_at: Vec<Micros> = Vec::new();
    for index in 0..19u32 {
        let with_index = BalancerSettings { node_index: Some(index), ..fleet_settings.clone() };
        let mut node = Node::with_seed(with_index, 16, u64::from(index) + 1);
        (1..=16).for_each(|id| node.open(id, id));
        let started = Some(node.now);
        node.list(EndpointListKind::Delta, vec![Endpoint { started, ..entry(20) }]);
        for second in 0..19 {
            for id in second * 100 + 100..second * 100 + 130 {
                node.send_request(request(id));
                while node.server_of(id).is_some_and(|server| server != 20) {
                    node.end(id, Outcome::ConnectFailed);
                }
                node.establish(id);
            }
            node.pass(ms(1_000));
        }
        sent_at.extend(node.sends_while_warming_up(20));
    }
    sent_at.sort();
    let start = sent_at[0];
    assert!(sent_at.len() >= 10, "it receives connections before it is warm: {}", sent_at.len());
    for (i, &from) in sent_at.iter().enumerate() {
        // A half-utilized warm server could have 38 connections and fill up within 20 s. The
        // warming-up server withstands twice its share of that rate.
        let share = 0.15 + 0.85 * ((from - start).as_secs_f64() / 20.0 + 0.05).min(1.0);
        let within = sent_at[i..].iter().filter(|&&t| t < from + ms(1_000)).count();
        let allowed = 2.0 * share * 38.0 / 20.0;
        assert!(within as f64 <= allowed + 1.0, "{within} in a second where {allowed} are allowed");
    }
}

#[test]
fn server_that_joined_the_subset_recently_is_filled_gradually() {
    // Guards against placing all new connections on servers that recently joined a node's subset:
    // their load record is empty and lowers the mean, so that the others shed load.
    let mut node = Node::new(settings(), 3);
    for id in 1..=40 {
        node.open(id, 1 + id % 2);
    }
    let joined = Some(node.now);
    node.list(EndpointListKind::Delta, vec![Endpoint { joined, ..entry(3) }]);
    let placed = |node: &mut Node, ids: std::ops::Range<u64>| {
        ids.filter(|&id| {
            node.send_request(request(id));
            node.establish(id);
            node.server_of(id) == Some(3)
        })
        .count()
    };
    let few = placed(&mut node, 41..51);
    assert!((1..=6).contains(&few), "its share, but not all at once: {few}");
    assert_eq!(pass_periods(&mut node, 5), [] as [u64; 0], "the others shed no load for it");
    node.pass(node.settings.warm_up);
    assert!(placed(&mut node, 51..61) >= 8, "finally it has the lowest load record");
}
