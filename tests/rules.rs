//! The rules for attempts and answers, which `support` checks for each action, hold under arbitrary valid
//! events.

mod support;

use alderstile::types::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::{Node, class, entry, ms, request, settings};

#[derive(Clone, Debug)]
enum Op {
    ConnectionRequest { class: u16, group: u64, load: Option<f64>, time_remaining: u64 },
    Establish(usize),
    End(usize, u8),
    ClientDisconnected(usize),
    LoadReport(usize, f64),
    DelayReport(u64, f64),
    Probed(u64, f64),
    PassTime(u64),
    EndpointChange { server: u64, state: u8, start_offset: Option<i64> },
    FullList(u64),
    ListFailed,
    UnknownRequest(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let load = prop_oneof![
        4 => 0.0..1e6,
        1 => prop_oneof![Just(f64::NAN), Just(f64::INFINITY), Just(-1.0), Just(1e30)],
    ];
    prop_oneof![
        8 => (0..6u16, 0..4u64, proptest::option::of(load.clone()), 0..3_000u64)
            .prop_map(|(class, group, load, time_remaining)| Op::ConnectionRequest { class, group, load, time_remaining }),
        8 => any::<usize>().prop_map(Op::Establish),
        6 => (any::<usize>(), 0..8u8).prop_map(|(i, how)| Op::End(i, how)),
        1 => any::<usize>().prop_map(Op::ClientDisconnected),
        4 => (any::<usize>(), load.clone()).prop_map(|(i, load)| Op::LoadReport(i, load)),
        3 => (0..9u64, load.clone()).prop_map(|(server, ms)| Op::DelayReport(server, ms / 500.0)),
        3 => (0..9u64, load).prop_map(|(server, ratio)| Op::Probed(server, ratio / 1e6)),
        6 => (0..1_500u64).prop_map(Op::PassTime),
        2 => (1..9u64, 0..3u8, proptest::option::of(-30_000..30_000i64))
            .prop_map(|(server, state, start_offset)| Op::EndpointChange { server, state, start_offset }),
        1 => (0..9u64).prop_map(Op::FullList),
        1 => Just(Op::ListFailed),
        1 => any::<u64>().prop_map(Op::UnknownRequest),
    ]
}

const OUTCOMES: [Outcome; 9] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NeverSent,
    Outcome::NotForwarded,
];

/// Differences between deployments and between embedding programs.
#[derive(Clone, Copy, Default)]
struct Deployment {
    must_subscribe: bool,
    probes: bool,
    /// As behind the balancer: servers report no delays, nodes use gossip, and clients migrate from
    /// draining servers.
    behind_balancer: bool,
    /// Retries are limited, clocks differ, and removals are advisory.
    limited_and_uncertain: bool,
}

fn deployment_settings(deployment: Deployment) -> BalancerSettings {
    let semantics = [
        Idempotency::Idempotent,
        Idempotency::Deduplicated(DedupScope::All),
        Idempotency::Deduplicated(DedupScope::Zone),
        Idempotency::Deduplicated(DedupScope::Cell),
        Idempotency::NotIdempotent,
    ];
    let mut combined = settings();
    combined.classes = semantics.into_iter().map(class).collect();
    combined.must_subscribe = deployment.must_subscribe;
    combined.groups = true;
    combined.probes_allowed = deployment.probes;
    combined.servers_report_delay = !deployment.behind_balancer;
    combined.gossip_allowed = deployment.behind_balancer;
    combined.migrate_from_draining = deployment.behind_balancer;
    combined.report_fields = vec![ReportField::LoadRatio];
    if deployment.limited_and_uncertain {
        combined.retry_budget = Some(RetryBudget { min_retries: 2.0, retry_ratio: 0.1, window: ms(1_700) });
        (combined.deadline_tolerance, combined.start_time_tolerance, combined.removal_is_advisory) =
            (ms(2_000), ms(5_000), true);
    }
    combined
}

fn run(deployment: Deployment, servers: u64, ops: &[Op]) -> Vec<Action> {
    let mut node = Node::new(deployment_settings(deployment), servers);
    let mut active: Vec<u64> = Vec::new();
    let mut all = Vec::new();
    let mut next_id = 1;
    for op in ops {
        active.retain(|&id| node.has_request(id));
        let pick = |i: usize| active.get(i % active.len().max(1)).copied();
        match *op {
            Op::ConnectionRequest { class, group, load, time_remaining } => {
                let class = class.min(4);
                let group = (group > 0).then_some(GroupId(group));
                let time_remaining = ms(time_remaining);
                node.send_request(Request {
                    class,
                    group,
                    expected_load: load,
                    time_remaining,
                    ..request(next_id)
                });
                active.push(next_id);
                next_id += 1;
            }
            Op::Establish(i) => {
                let latency = ms(i as u64 % 400);
                pick(i).into_iter().for_each(|id| node.establish_after(id, latency))
            }
            Op::End(i, how) => pick(i).into_iter().for_each(|id| node.end(id, OUTCOMES[usize::from(how)])),
            Op::ClientDisconnected(i) => pick(i).into_iter().for_each(|id| node.disconnect_client(id)),
            Op::LoadReport(i, load) => {
                pick(i).into_iter().for_each(|id| node.event(Event::LoadReported(RequestId(id), load)))
            }
            Op::DelayReport(server, ms) if deployment.behind_balancer => {
                node.event(Event::PeerMessage(1, [server.to_le_bytes(), ms.to_le_bytes()].concat()))
            }
            Op::DelayReport(server, ms) => node.event(Event::DelayReported(ServerId(server), ms)),
            Op::Probed(server, ratio) => {
                let (server, outcome, report) = (ServerId(server), Outcome::Ok, vec![ratio]);
                node.event(Event::ProbeCompleted { server, outcome, report });
            }
            Op::PassTime(span) => node.pass(ms(span)),
            Op::EndpointChange { server, state, start_offset } => {
                let state = [EndpointState::Removed, EndpointState::Ready, EndpointState::Draining]
                    [usize::from(state)];
                // Start times may be in the past or in the future.
                let started =
                    start_offset.map(|offset| Micros(node.now.0.saturating_add_signed(offset * 1_000)));
                node.list(EndpointListKind::Delta, vec![Endpoint { state, started, ..entry(server) }]);
            }
            Op::FullList(servers) => node.list(EndpointListKind::Full, (1..=servers).map(entry).collect()),
            Op::ListFailed => node.list(EndpointListKind::Failed, Vec::new()),
            Op::UnknownRequest(id) => {
                // Events about unknown or completed requests are ignored.
                let (id, server) = (RequestId(id | 1 << 51), ServerId(999));
                node.event(Event::Established { id, latency: ms(1) });
                let (outcome, report) = (Outcome::Error, vec![f64::NAN]);
                node.event(Event::Ended { id, server, outcome, closed: false, report });
                node.event(Event::LoadReported(id, 5.0));
                node.event(Event::ClientDisconnected(id));
                node.event(Event::DelayReported(server, 500.0));
                node.event(Event::Timer(TimerToken(id.0)));
                node.event(Event::ExistingConnection(request(id.0), server));
            }
        }
        all.append(&mut node.last.clone());
    }
    all
}

fn check(deployment: Deployment, servers: u64) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[17; 32]);
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ops = proptest::collection::vec(op(), 1..120);
    let result = runner.run(&ops, |ops| {
        // The same events must lead to the same actions.
        let actions = || run(deployment, servers, &ops);
        prop_assert_eq!(actions(), actions());
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn rules_hold_under_arbitrary_events_with_a_pushed_list() {
    check(Deployment::default(), 5);
}

#[test]
fn rules_hold_under_arbitrary_events_with_a_subscribed_list() {
    check(Deployment { must_subscribe: true, ..Deployment::default() }, 5);
}

#[test]
fn rules_hold_under_arbitrary_events_with_probes() {
    check(Deployment { probes: true, ..Deployment::default() }, 5);
}

#[test]
fn rules_hold_under_arbitrary_events_with_125_servers() {
    check(Deployment { must_subscribe: true, probes: true, ..Deployment::default() }, 125);
}

#[test]
fn rules_hold_under_arbitrary_events_with_a_retry_budget_and_uncertain_clocks() {
    check(
        Deployment {
            must_subscribe: true,
            probes: true,
            limited_and_uncertain: true,
            ..Deployment::default()
        },
        5,
    );
}

#[test]
fn rules_hold_under_arbitrary_events_behind_the_balancer() {
    check(Deployment { must_subscribe: true, behind_balancer: true, ..Deployment::default() }, 5);
}
