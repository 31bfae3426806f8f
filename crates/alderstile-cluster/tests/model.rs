//! Members against a model that knows who runs and who can reach whom: whatever happens, a while later all who run and reach
//! each other see just each other alive.

use std::net::SocketAddr;

use alderstile::interface::Micros;
use alderstile_cluster::members::*;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const NODES: usize = 5;
/// After this long without a change all views are to be right: a suspicion and its check, then what is told of it; for
/// those that were apart, until one asks another that it holds dead.
const SETTLED: Micros = Micros::from_millis(40_000);

/// Who runs, and who is on the other side of a split.
#[derive(Clone, Debug)]
struct World {
    runs: [bool; NODES],
    apart: [bool; NODES],
}

#[derive(Clone, Debug)]
enum Step {
    Kill(usize),
    Leave(usize),
    Start(usize),
    Split([bool; NODES]),
    Heal,
    /// A process stands still for that long.
    Pause(usize, u64),
    Pass(u64),
    Settle,
}

struct Model;

impl ReferenceStateMachine for Model {
    type State = World;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<World> {
        Just(World { runs: [true; NODES], apart: [false; NODES] }).boxed()
    }

    fn transitions(_: &World) -> BoxedStrategy<Step> {
        prop_oneof![
            1 => (0..NODES).prop_map(Step::Kill),
            1 => (0..NODES).prop_map(Step::Leave),
            2 => (0..NODES).prop_map(Step::Start),
            1 => any::<[bool; NODES]>().prop_map(Step::Split),
            2 => Just(Step::Heal),
            1 => (0..NODES, 1..30_000u64).prop_map(|(node, ms)| Step::Pause(node, ms)),
            3 => (1..8_000u64).prop_map(Step::Pass),
            2 => Just(Step::Settle),
        ]
        .boxed()
    }

    fn apply(mut world: World, step: &Step) -> World {
        match step {
            Step::Kill(node) | Step::Leave(node) => world.runs[*node] = false,
            Step::Start(node) => world.runs[*node] = true,
            Step::Split(apart) => world.apart = *apart,
            Step::Heal => world.apart = [false; NODES],
            Step::Pause(..) | Step::Pass(_) | Step::Settle => {}
        }
        world
    }

    /// A member that is the last one cannot be asked by anyone; the rest is allowed at any time.
    fn preconditions(world: &World, step: &Step) -> bool {
        match step {
            Step::Kill(node) | Step::Leave(node) | Step::Pause(node, _) => world.runs[*node],
            Step::Start(node) => !world.runs[*node],
            _ => true,
        }
    }
}

struct Cluster {
    members: Vec<Option<Members>>,
    now: Micros,
    sessions: u64,
}

fn address(node: usize) -> SocketAddr {
    format!("127.0.0.{}:7946", node + 1).parse().expect("an address")
}

impl Cluster {
    fn start(&mut self, node: usize) {
        self.sessions += 1;
        let me = Record {
            session: Session(self.sessions * 7_919),
            incarnation: 1,
            name: format!("n{node}").into(),
            zone: "a".into(),
            address: address(node),
            digest: 1,
            facts: [].into(),
        };
        let seal = Seal::new("model", &[b"a key that is long enough".to_vec()]).expect("a seal");
        let settings = Settings::with_period(Micros::from_millis(1_000));
        let seeds = (0..NODES).map(address).collect();
        self.members[node] = Some(Members::new(settings, seal, me, seeds, self.sessions, self.now));
    }

    /// Carries what is sent, to those that run and are on the same side.
    fn carry(&mut self, world: &World, by: usize, out: Vec<Out>) {
        let mut waiting: Vec<(usize, Vec<Out>)> = vec![(by, out)];
        while let Some((by, out)) = waiting.pop() {
            for sent in out {
                let Out::Send(to, bytes) = sent else { continue };
                let to = (0..NODES).find(|node| address(*node) == to).expect("a node");
                if let Some(member) = self.members[to].as_mut().filter(|_| world.apart[by] == world.apart[to])
                {
                    let answer = member.received(self.now, address(by), &bytes);
                    waiting.push((to, answer));
                }
            }
        }
    }

    /// Lets time pass for all but one that stands still.
    fn pass(&mut self, world: &World, span: Micros, still: Option<usize>) {
        let until = self.now + span;
        loop {
            let running = self.members.iter().enumerate().filter(|(node, _)| Some(*node) != still);
            let due = running.filter_map(|(node, m)| Some((m.as_ref()?.due(), node))).min();
            let Some((at, node)) = due.filter(|(at, _)| *at <= until) else { break };
            self.now = self.now.max(at);
            let out = self.members[node].as_mut().map(|member| member.tick(self.now)).unwrap_or_default();
            self.carry(world, node, out);
        }
        self.now = until;
    }
}

impl StateMachineTest for Cluster {
    type SystemUnderTest = Self;
    type Reference = Model;

    fn init_test(_: &World) -> Self {
        let mut cluster =
            Cluster { members: (0..NODES).map(|_| None).collect(), now: Micros(0), sessions: 0 };
        (0..NODES).for_each(|node| cluster.start(node));
        cluster
    }

    fn apply(mut cluster: Self, world: &World, step: Step) -> Self {
        match step {
            Step::Kill(node) => cluster.members[node] = None,
            Step::Leave(node) => {
                let out = cluster.members[node]
                    .as_mut()
                    .map(|member| member.leave(cluster.now))
                    .unwrap_or_default();
                cluster.carry(world, node, out);
                cluster.members[node] = None;
            }
            Step::Start(node) => cluster.start(node),
            Step::Split(_) | Step::Heal => {}
            Step::Pause(node, ms) => {
                let stopped = cluster.members[node].take();
                cluster.pass(world, Micros::from_millis(ms), Some(node));
                cluster.members[node] = stopped;
            }
            Step::Pass(ms) => cluster.pass(world, Micros::from_millis(ms), None),
            Step::Settle => {
                cluster.pass(world, SETTLED, None);
                for (node, member) in cluster.members.iter().enumerate() {
                    let Some(member) = member else { continue };
                    let seen: Vec<String> = member
                        .others()
                        .filter(|m| m.state.lives())
                        .map(|m| m.record.name.to_string())
                        .collect();
                    let reached = |other: &usize| {
                        *other != node && world.runs[*other] && world.apart[*other] == world.apart[node]
                    };
                    let mut there: Vec<String> =
                        (0..NODES).filter(reached).map(|n| format!("n{n}")).collect();
                    let mut seen = seen;
                    seen.sort();
                    there.sort();
                    assert_eq!(seen, there, "as n{node} sees it");
                }
            }
        }
        cluster
    }

    fn check_invariants(cluster: &Self, _: &World) {
        for member in cluster.members.iter().flatten() {
            let living = member.others().filter(|other| other.state.lives()).count();
            assert_eq!(member.count(), living + 1);
            assert_eq!(member.counts().alive + member.counts().suspect, living + 1);
            assert!(member.claimed().is_empty(), "each name has one address here");
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]
    #[test]
    fn views_come_right_whatever_happened(sequential 1..40 => Cluster);
}
