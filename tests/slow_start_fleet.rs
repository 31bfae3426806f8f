//! What all nodes together send a cold server, added up: within its budget of N calls in any span that counts, and
//! no more than twice the root of N and two beyond it by chance, whatever the number of nodes and however uneven.

mod support;

use alderstile::types::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{Node, entry, ms, request, settings};

/// Ready servers that are warm all along, and those that start.
const WARM: u64 = 20;
const COLD: u64 = 4;
/// Seconds that a connection stands in the mean, and the groups where there are any.
const LIFE: f64 = 12.0;
const GROUPS: u64 = 12;
/// Until the cold servers start, and after that; a warm-up is 10 s.
const BEFORE: Micros = Micros::from_millis(12_000);
const AFTER: Micros = Micros::from_millis(11_000);
const TICK: Micros = Micros::from_millis(100);
/// A server can hold twice what it holds, as `docs/design.md` 10 takes it.
const ROOM: f64 = 2.0;

#[derive(Clone, Copy, Debug)]
struct Fleet {
    nodes: u32,
    /// Connections of all nodes together.
    held: u64,
    groups: bool,
    /// When after the start of the cold servers all clients come again at once, if they do.
    burst: Option<Micros>,
    /// Every fourth node ends with all that it holds and starts anew, one each second.
    restarts: bool,
}

/// A connection: its node and number.
struct Client {
    node: usize,
    id: u64,
}

/// What all nodes sent cold servers: for each its times, in order, from the start on.
fn play(fleet: Fleet, seed: u64) -> Vec<Vec<Micros>> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let set = BalancerSettings { node_count: fleet.nodes, groups: fleet.groups, ..settings() };
    let start = |n: usize, seed: u64| {
        let set = BalancerSettings { node_index: Some(n as u32), ..set.clone() };
        Node::with_seed(set, WARM, seed)
    };
    let mut nodes: Vec<Node> = (0..fleet.nodes as usize).map(|n| start(n, seed * 1_000 + n as u64)).collect();
    // One node in five sees four times what the others do.
    let busy: Vec<usize> = (0..nodes.len()).flat_map(|n| vec![n; if n % 5 == 0 { 4 } else { 1 }]).collect();
    let mut sent = vec![Vec::new(); COLD as usize];
    let mut next = 0;
    let mut clients: Vec<Client> = Vec::new();
    let grouped = |id: u64, draw: u64| Request { group: Some(GroupId(1 + draw % GROUPS)), ..request(id) };
    for _ in 0..fleet.held {
        next += 1;
        let node = busy[rng.random_range(0..busy.len())];
        nodes[node].open_as(grouped(next, rng.random()), rng.random_range(1..=WARM));
        clients.push(Client { node, id: next });
    }
    let began = nodes[0].now;
    let (mut elapsed, mut lost) = (Micros(0), 0);
    while elapsed < BEFORE + AFTER {
        if elapsed == BEFORE {
            let started = Some(began + elapsed);
            let new = (WARM + 1..=WARM + COLD).map(|id| Endpoint { started, ..entry(id) });
            let new: Vec<Endpoint> = new.collect();
            nodes.iter_mut().for_each(|node| node.list(EndpointListKind::Delta, new.clone()));
        }
        let cold = elapsed >= BEFORE;
        // Those that end are followed by as many; those that are sent away, or whose node ends, come again.
        let burst = cold && fleet.burst == Some(elapsed - BEFORE);
        let mut arrive = std::mem::take(&mut lost);
        let second = elapsed.0 % 1_000_000 == 0;
        if fleet.restarts && cold && second {
            let n = ((elapsed - BEFORE).0 / 1_000_000 * 4) as usize % nodes.len();
            let now = nodes[n].now;
            let times: Vec<Vec<Micros>> =
                (1..=COLD).map(|c| nodes[n].sends_while_warming_up(WARM + c).to_vec()).collect();
            (0..COLD as usize).for_each(|c| sent[c].extend(&times[c]));
            nodes[n] = start(n, rng.random());
            let behind = now - nodes[n].now;
            nodes[n].pass(behind);
            let started = Some(began + BEFORE);
            let new = (WARM + 1..=WARM + COLD).map(|id| Endpoint { started, ..entry(id) });
            nodes[n].list(EndpointListKind::Delta, new.collect());
            let before = clients.len();
            clients.retain(|client| client.node != n);
            arrive += before - clients.len();
        }
        let mut i = 0;
        while i < clients.len() {
            let over = rng.random::<f64>() < TICK.as_secs_f64() / LIFE;
            if !burst && !over {
                i += 1;
                continue;
            }
            let client = clients.swap_remove(i);
            nodes[client.node].end(client.id, if over { Outcome::Ok } else { Outcome::Cancelled });
            arrive += 1;
        }
        for _ in 0..arrive {
            next += 1;
            let node = busy[rng.random_range(0..busy.len())];
            nodes[node].send_request(grouped(next, rng.random()));
            nodes[node].establish(next);
            match nodes[node].server_of(next) {
                Some(_) => clients.push(Client { node, id: next }),
                None => lost += 1,
            }
        }
        nodes.iter_mut().for_each(|node| node.pass(TICK));
        elapsed = elapsed + TICK;
        // What a node asks its clients to move comes again too.
        let before = clients.len();
        clients.retain(|client| nodes[client.node].is_held(client.id));
        lost += before - clients.len();
    }
    for node in &nodes {
        (0..COLD).for_each(|c| sent[c as usize].extend(node.sends_while_warming_up(WARM + 1 + c)));
    }
    for times in &mut sent {
        times.iter_mut().for_each(|at| *at = *at - (began + BEFORE));
        times.sort();
    }
    sent
}

/// The most by which a span's calls exceed what the settings allow it, chance included; below nothing if they never do.
fn excess(fleet: Fleet, times: &[Micros]) -> f64 {
    let set = settings();
    // With groups each connection brings up to one group's work along.
    let brings = if fleet.groups { 2.0 } else { 1.0 };
    let life = if fleet.groups { LIFE } else { LIFE.min(set.warm_up.as_secs_f64()) };
    let takes = ROOM * brings * fleet.held as f64 / WARM as f64 / life;
    let over = |(i, &from): (usize, &Micros)| {
        let to = from + set.overload_window;
        let calls = times[i..].iter().filter(|&&at| at < to).count() as f64;
        let middle = (from + set.overload_window.scale(0.5)).as_secs_f64() / set.warm_up.as_secs_f64();
        let share = set.warm_up_initial_capacity + (1.0 - set.warm_up_initial_capacity) * middle.min(1.0);
        let n = set.overload_multiple * share * takes * set.overload_window.as_secs_f64();
        calls - (n + 2.0 * n.sqrt() + 2.0)
    };
    times.iter().enumerate().map(over).fold(f64::NEG_INFINITY, f64::max)
}

fn fleets(nodes: u32) -> Vec<Fleet> {
    let mut fleets = Vec::new();
    for per_node in [2, 20] {
        for groups in [false, true] {
            for burst in [None, Some(ms(500)), Some(ms(4_000)), Some(ms(8_000))] {
                for restarts in [false, true] {
                    // What a few nodes hold would else be next to nothing a server.
                    let held = u64::from(nodes * per_node).clamp(100, 1_500);
                    fleets.push(Fleet { nodes, held, groups, burst, restarts: restarts && nodes > 1 });
                }
            }
        }
    }
    fleets
}

fn keeps(nodes: u32, seeds: std::ops::Range<u64>) {
    let mut over = Vec::new();
    let mut all = 0;
    let mut most = f64::NEG_INFINITY;
    for seed in seeds {
        for fleet in fleets(nodes) {
            let sent = play(fleet, seed);
            all += sent.iter().map(Vec::len).sum::<usize>();
            for times in &sent {
                let excess = excess(fleet, times);
                most = most.max(excess);
                if excess > 0.0 {
                    over.push((seed, fleet, excess));
                }
            }
        }
    }
    println!("{nodes} nodes: {all} calls to cold servers, {} over, at most {most:.1} beyond", over.len());
    assert!(over.is_empty(), "{over:#?}");
    assert!(all > 0, "cold servers get work");
}

#[test]
fn one_node_keeps_the_budget() {
    keeps(1, 1..3);
}

#[test]
fn five_nodes_keep_the_budget() {
    keeps(5, 1..3);
}

#[test]
fn twenty_nodes_keep_the_budget() {
    keeps(20, 1..3);
}

#[test]
fn thirty_nodes_keep_the_budget() {
    keeps(30, 1..3);
}

#[test]
fn three_hundred_nodes_keep_the_budget() {
    keeps(300, 1..2);
}

#[test]
#[ignore = "a longer search: COLD_SEEDS=100..140 cargo test --test slow_start_fleet -- --ignored --nocapture"]
fn the_budget_is_kept_on_more_seeds() {
    let seeds = std::env::var("COLD_SEEDS").unwrap_or("100..110".into());
    let (from, to) = seeds.split_once("..").expect("from..to");
    let seeds = from.parse().expect("a number")..to.parse().expect("a number");
    [1, 5, 20, 30, 300].into_iter().for_each(|nodes| keeps(nodes, seeds.clone()));
}

#[test]
fn nodes_with_few_requests_use_what_they_may_send_a_cold_server_where_groups_are() {
    // Found with 327 nodes (nairobi-signing, join+mass): 54 new servers got 57 of 1,400 connections, as a permit
    // was lost after a second and a node has a request every few seconds.
    let fleet = Fleet { nodes: 300, held: 1_500, groups: true, burst: None, restarts: false };
    let calls: usize = (1..=3).flat_map(|seed| play(fleet, seed)).map(|times| times.len()).sum();
    assert!(calls >= 100, "{calls} calls to four cold servers, three times");
}
