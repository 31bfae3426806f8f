//! Attempts of all nodes together at a cold server: within any overload window, they stay within its budget
//! of N, plus a random excess of at most 2 * sqrt(N) + 2, for any number of nodes and any distribution of
//! requests.

mod support;

use alderstile::types::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{Node, entry, ms, request, settings};

/// Number of servers that are warm all the time, and of servers that start.
const WARM: u64 = 20;
const COLD: u64 = 4;
/// Mean duration of a connection in seconds, and the number of groups.
const MEAN_DURATION_S: f64 = 12.0;
const GROUPS: u64 = 12;
/// Time before and after the start of the cold servers; a warm-up takes 10 s.
const TIME_BEFORE_START: Micros = Micros::from_millis(12_000);
const TIME_AFTER_START: Micros = Micros::from_millis(11_000);
const TICK: Micros = Micros::from_millis(100);
/// Capacity of a server in multiples of its load, as in section 10 of `docs/design.md`.
const HEADROOM: f64 = 2.0;

#[derive(Clone, Copy, Debug)]
struct Fleet {
    nodes: u32,
    /// Connections of all nodes together.
    connections: u64,
    groups: bool,
    /// Time after the start of the cold servers at which all clients reconnect at once, if they do.
    burst: Option<Micros>,
    /// Whether every fourth node restarts and loses its connections, one node per second.
    restarts: bool,
}

/// A connection, by its node and request id.
struct Client {
    node: usize,
    id: u64,
}

/// Simulates a fleet. Returns the times of all attempts at each cold server, sorted and relative to
/// the server's start.
fn simulate(fleet: Fleet, seed: u64) -> Vec<Vec<Micros>> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let fleet_settings = BalancerSettings { node_count: fleet.nodes, groups: fleet.groups, ..settings() };
    let start = |n: usize, seed: u64| {
        let fleet_settings = BalancerSettings { node_index: Some(n as u32), ..fleet_settings.clone() };
        Node::with_seed(fleet_settings, WARM, seed)
    };
    let mut nodes: Vec<Node> = (0..fleet.nodes as usize).map(|n| start(n, seed * 1_000 + n as u64)).collect();
    // One node in five receives four times as many requests as the others.
    let node_by_weight: Vec<usize> =
        (0..nodes.len()).flat_map(|n| vec![n; if n % 5 == 0 { 4 } else { 1 }]).collect();
    let mut sent = vec![Vec::new(); COLD as usize];
    let mut next_id = 0;
    let mut clients: Vec<Client> = Vec::new();
    let grouped = |id: u64, draw: u64| Request { group: Some(GroupId(1 + draw % GROUPS)), ..request(id) };
    for _ in 0..fleet.connections {
        next_id += 1;
        let node = node_by_weight[rng.random_range(0..node_by_weight.len())];
        nodes[node].open_as(grouped(next_id, rng.random()), rng.random_range(1..=WARM));
        clients.push(Client { node, id: next_id });
    }
    let start_time = nodes[0].now;
    let (mut elapsed, mut reconnecting) = (Micros(0), 0);
    while elapsed < TIME_BEFORE_START + TIME_AFTER_START {
        if elapsed == TIME_BEFORE_START {
            let started = Some(start_time + elapsed);
            let new = (WARM + 1..=WARM + COLD).map(|id| Endpoint { started, ..entry(id) });
            let new: Vec<Endpoint> = new.collect();
            nodes.iter_mut().for_each(|node| node.list(EndpointListKind::Delta, new.clone()));
        }
        let cold_servers_started = elapsed >= TIME_BEFORE_START;
        // Connections that end are replaced by new ones. Clients that a burst disconnects, or whose node
        // restarts, reconnect.
        let burst = cold_servers_started && fleet.burst == Some(elapsed - TIME_BEFORE_START);
        let mut arriving = std::mem::take(&mut reconnecting);
        let is_full_second = elapsed.0 % 1_000_000 == 0;
        if fleet.restarts && cold_servers_started && is_full_second {
            let n = ((elapsed - TIME_BEFORE_START).0 / 1_000_000 * 4) as usize % nodes.len();
            let now = nodes[n].now;
            let times: Vec<Vec<Micros>> =
                (1..=COLD).map(|c| nodes[n].sends_while_warming_up(WARM + c).to_vec()).collect();
            (0..COLD as usize).for_each(|c| sent[c].extend(&times[c]));
            nodes[n] = start(n, rng.random());
            let behind = now - nodes[n].now;
            nodes[n].pass(behind);
            let started = Some(start_time + TIME_BEFORE_START);
            let new = (WARM + 1..=WARM + COLD).map(|id| Endpoint { started, ..entry(id) });
            nodes[n].list(EndpointListKind::Delta, new.collect());
            let before = clients.len();
            clients.retain(|client| client.node != n);
            arriving += before - clients.len();
        }
        let mut i = 0;
        while i < clients.len() {
            let ended = rng.random::<f64>() < TICK.as_secs_f64() / MEAN_DURATION_S;
            if !burst && !ended {
                i += 1;
                continue;
            }
            let client = clients.swap_remove(i);
            nodes[client.node].end(client.id, if ended { Outcome::Ok } else { Outcome::Cancelled });
            arriving += 1;
        }
        for _ in 0..arriving {
            next_id += 1;
            let node = node_by_weight[rng.random_range(0..node_by_weight.len())];
            nodes[node].send_request(grouped(next_id, rng.random()));
            nodes[node].establish(next_id);
            match nodes[node].server_of(next_id) {
                Some(_) => clients.push(Client { node, id: next_id }),
                None => reconnecting += 1,
            }
        }
        nodes.iter_mut().for_each(|node| node.pass(TICK));
        elapsed = elapsed + TICK;
        // Clients that are asked to migrate reconnect.
        let before = clients.len();
        clients.retain(|client| nodes[client.node].has_request(client.id));
        reconnecting += before - clients.len();
    }
    for node in &nodes {
        (0..COLD).for_each(|c| sent[c as usize].extend(node.sends_while_warming_up(WARM + 1 + c)));
    }
    for times in &mut sent {
        times.iter_mut().for_each(|at| *at = *at - (start_time + TIME_BEFORE_START));
        times.sort();
    }
    sent
}

/// Returns the maximum by which the attempts in a window exceed the allowed number, including the
/// random excess; negative if they never do.
fn excess(fleet: Fleet, times: &[Micros]) -> f64 {
    let fleet_settings = settings();
    // With groups, each connection adds the work of up to one group.
    let work_factor = if fleet.groups { 2.0 } else { 1.0 };
    let duration = if fleet.groups {
        MEAN_DURATION_S
    } else {
        MEAN_DURATION_S.min(fleet_settings.warm_up.as_secs_f64())
    };
    let arrival_rate = HEADROOM * work_factor * fleet.connections as f64 / WARM as f64 / duration;
    let over = |(i, &from): (usize, &Micros)| {
        let to = from + fleet_settings.overload_window;
        let attempts = times[i..].iter().filter(|&&at| at < to).count() as f64;
        let progress = (from + fleet_settings.overload_window.scale(0.5)).as_secs_f64()
            / fleet_settings.warm_up.as_secs_f64();
        let share = fleet_settings.warm_up_initial_capacity
            + (1.0 - fleet_settings.warm_up_initial_capacity) * progress.min(1.0);
        let n = fleet_settings.overload_multiple
            * share
            * arrival_rate
            * fleet_settings.overload_window.as_secs_f64();
        attempts - (n + 2.0 * n.sqrt() + 2.0)
    };
    times.iter().enumerate().map(over).fold(f64::NEG_INFINITY, f64::max)
}

fn fleets(nodes: u32) -> Vec<Fleet> {
    let mut fleets = Vec::new();
    for per_node in [2, 20] {
        for groups in [false, true] {
            for burst in [None, Some(ms(500)), Some(ms(4_000)), Some(ms(8_000))] {
                for restarts in [false, true] {
                    // A small number of nodes would otherwise have almost no connections per
                    // server.
                    let connections = u64::from(nodes * per_node).clamp(100, 1_500);
                    fleets.push(Fleet { nodes, connections, groups, burst, restarts: restarts && nodes > 1 });
                }
            }
        }
    }
    fleets
}

fn assert_budget_is_kept(nodes: u32, seeds: std::ops::Range<u64>) {
    let mut over = Vec::new();
    let mut all = 0;
    let mut max_excess = f64::NEG_INFINITY;
    for seed in seeds {
        for fleet in fleets(nodes) {
            let sent = simulate(fleet, seed);
            all += sent.iter().map(Vec::len).sum::<usize>();
            for times in &sent {
                let excess = excess(fleet, times);
                max_excess = max_excess.max(excess);
                if excess > 0.0 {
                    over.push((seed, fleet, excess));
                }
            }
        }
    }
    println!(
        "{nodes} nodes: {all} attempts at cold servers, {} cold servers over their budget, at most \
         {max_excess:.1} attempts beyond it",
        over.len()
    );
    assert!(over.is_empty(), "{over:#?}");
    assert!(all > 0, "cold servers receive connections");
}

#[test]
fn one_node_keeps_the_budget() {
    assert_budget_is_kept(1, 1..3);
}

#[test]
fn five_nodes_keep_the_budget() {
    assert_budget_is_kept(5, 1..3);
}

#[test]
fn twenty_nodes_keep_the_budget() {
    assert_budget_is_kept(20, 1..3);
}

#[test]
fn thirty_nodes_keep_the_budget() {
    assert_budget_is_kept(30, 1..3);
}

#[test]
fn three_hundred_nodes_keep_the_budget() {
    assert_budget_is_kept(300, 1..2);
}

#[test]
#[ignore = "a longer search: COLD_SEEDS=100..140 cargo test --test slow_start_fleet -- --ignored --nocapture"]
fn budget_is_kept_with_more_seeds() {
    let seeds = std::env::var("COLD_SEEDS").unwrap_or("100..110".into());
    let (from, to) = seeds.split_once("..").expect("from..to");
    let seeds = from.parse().expect("a number")..to.parse().expect("a number");
    [1, 5, 20, 30, 300].into_iter().for_each(|nodes| assert_budget_is_kept(nodes, seeds.clone()));
}

#[test]
fn nodes_with_few_requests_use_their_slow_start_tokens_with_groups() {
    // Guards against unused tokens: with 327 nodes, 54 new servers got 57 of 1,400 connections,
    // because a token expired after a second and a node has one request every few seconds.
    let fleet = Fleet { nodes: 300, connections: 1_500, groups: true, burst: None, restarts: false };
    let attempts: usize = (1..=3).flat_map(|seed| simulate(fleet, seed)).map(|times| times.len()).sum();
    assert!(attempts >= 100, "{attempts} attempts at four cold servers, three times");
}
