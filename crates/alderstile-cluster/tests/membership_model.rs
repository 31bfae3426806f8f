//! Membership against a model that knows who runs and who can reach whom: whatever happens, a while later all members that run
//! and reach each other see just each other alive.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use alderstile::types::Micros;
use alderstile_cluster::membership::{
    DatagramCodec, InstanceId, MemberRecord, Membership, MembershipConfig, MembershipEffect,
};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const NODES: usize = 5;
/// After this long without a change all views are to be right, as `docs/cluster.md` derives it for five members: until two that
/// can reach each other again have asked, a round at the worst health, a probe that waits as long, a suspicion and its check.
const SETTLED: Micros = Micros::from_millis(36_000);
/// Views are looked at each so often meanwhile.
const STEP: Micros = Micros::from_millis(500);
/// The longest time after which a view was still wrong.
static LONGEST_MS: AtomicU64 = AtomicU64::new(0);

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
    members: Vec<Option<Membership>>,
    now: Micros,
    instances: u64,
}

fn address(node: usize) -> SocketAddr {
    format!("127.0.0.{}:7946", node + 1).parse().expect("an address")
}

impl Cluster {
    fn start(&mut self, node: usize) {
        self.instances += 1;
        let me = MemberRecord {
            instance: InstanceId(self.instances * 7_919),
            incarnation: 1,
            name: format!("n{node}").into(),
            zone: "a".into(),
            address: address(node),
            config_digest: 1,
            metadata: [].into(),
        };
        let codec = DatagramCodec::new("model", &[b"a key that is long enough".to_vec()]).expect("a codec");
        let settings = MembershipConfig::with_period(Micros::from_millis(1_000));
        let seeds = (0..NODES).map(address).collect();
        self.members[node] = Some(Membership::new(settings, codec, me, seeds, self.instances, self.now));
    }

    /// Carries what is sent, to those that run and are on the same side.
    fn carry(&mut self, world: &World, by: usize, out: Vec<MembershipEffect>) {
        let mut waiting: Vec<(usize, Vec<MembershipEffect>)> = vec![(by, out)];
        while let Some((by, out)) = waiting.pop() {
            for sent in out {
                let MembershipEffect::Send { to, datagram: bytes } = sent else { continue };
                let to = (0..NODES).find(|node| address(*node) == to).expect("a node");
                if let Some(member) = self.members[to].as_mut().filter(|_| world.apart[by] == world.apart[to])
                {
                    let answer = member.handle_datagram(self.now, address(by), &bytes);
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
            let due = running.filter_map(|(node, m)| Some((m.as_ref()?.next_timeout(), node))).min();
            let Some((at, node)) = due.filter(|(at, _)| *at <= until) else { break };
            self.now = self.now.max(at);
            let out =
                self.members[node].as_mut().map(|member| member.handle_timeout(self.now)).unwrap_or_default();
            self.carry(world, node, out);
        }
        self.now = until;
    }

    /// The views that are wrong: by whom, whom it sees, whom it should see.
    fn wrong(&self, world: &World) -> Vec<(usize, Vec<String>, Vec<String>)> {
        let mut wrong = Vec::new();
        for (node, member) in self.members.iter().enumerate() {
            let Some(member) = member else { continue };
            let living = member.peers().filter(|other| other.state.is_live());
            let mut seen: Vec<String> = living.map(|other| other.record.name.to_string()).collect();
            seen.sort();
            let reached = |other: &usize| {
                *other != node && world.runs[*other] && world.apart[*other] == world.apart[node]
            };
            let there: Vec<String> = (0..NODES).filter(reached).map(|n| format!("n{n}")).collect();
            if seen != there {
                wrong.push((node, seen, there));
            }
        }
        wrong
    }

    /// Lets the time pass that views have, and looks when they were wrong last.
    fn settle(&mut self, world: &World) {
        let begin = self.now;
        while self.now < begin + SETTLED {
            self.pass(world, STEP, None);
            if !self.wrong(world).is_empty() {
                LONGEST_MS.fetch_max((self.now - begin).0 / 1_000, Ordering::Relaxed);
            }
        }
        let wrong = self.wrong(world);
        assert!(wrong.is_empty(), "who, whom it sees, who is there: {wrong:?}");
    }
}

impl StateMachineTest for Cluster {
    type SystemUnderTest = Self;
    type Reference = Model;

    fn init_test(_: &World) -> Self {
        let mut cluster =
            Cluster { members: (0..NODES).map(|_| None).collect(), now: Micros(0), instances: 0 };
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
            Step::Settle => cluster.settle(world),
        }
        cluster
    }

    fn check_invariants(cluster: &Self, _: &World) {
        for member in cluster.members.iter().flatten() {
            let living = member.peers().filter(|other| other.state.is_live()).count();
            assert_eq!(member.live_count(), living + 1);
            assert_eq!(member.stats().alive + member.stats().suspect, living + 1);
            assert!(member.name_conflicts().is_empty(), "each name has one address here");
        }
    }
}

/// Plays these steps.
fn play(steps: &[Step]) {
    let mut world = World { runs: [true; NODES], apart: [false; NODES] };
    let mut cluster = Cluster::init_test(&world);
    for step in steps {
        assert!(Model::preconditions(&world, step), "{step:?} is not possible");
        world = Model::apply(world, step);
        cluster = Cluster::apply(cluster, &world, step.clone());
        Cluster::check_invariants(&cluster, &world);
    }
}

/// Members by their numbers.
fn these(members: &[usize]) -> [bool; NODES] {
    std::array::from_fn(|node| members.contains(&node))
}

#[test]
fn a_newcomer_and_another_member_find_each_other_in_a_partition() {
    // Neither knows the other: only their seeds tell them.
    play(&[Step::Kill(3), Step::Start(3), Step::Pass(5_361), Step::Split(these(&[1, 3])), Step::Settle]);
}

#[test]
fn two_newcomers_find_each_other_in_a_partition() {
    for two in [[0, 2], [0, 4], [1, 2], [1, 3], [3, 4]] {
        play(&[Step::Pass(1_225), Step::Split(these(&two)), Step::Settle]);
    }
}

#[test]
fn a_member_cut_off_alone_sees_it_though_two_others_die_too() {
    play(&[Step::Pass(1_225), Step::Kill(3), Step::Split(these(&[1])), Step::Kill(2), Step::Settle]);
}

#[test]
fn a_member_cut_off_again_sees_it_with_bad_local_health() {
    // Bad local health must not stretch its periods.
    let alone = Step::Split(these(&[3]));
    play(&[
        Step::Pass(40_000),
        alone.clone(),
        Step::Pass(1_932),
        Step::Heal,
        Step::Pass(3_199),
        alone,
        Step::Settle,
    ]);
}

#[test]
fn members_find_each_other_when_the_partition_moves() {
    // Both hold the other dead: each dead member has to be probed in turn.
    play(&[
        Step::Split(these(&[2, 4])),
        Step::Pass(5_964),
        Step::Split(these(&[0])),
        Step::Settle,
        Step::Pass(3_261),
        Step::Split(these(&[0, 2])),
        Step::Settle,
    ]);
}

/// So many cases by chance from this seed on.
fn search(cases: u32, seed: u64) {
    let config = ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        // A case that fails is written into this file by hand: what is played must not hang on what was found before.
        failure_persistence: None,
        max_global_rejects: 65_536,
        ..ProptestConfig::default()
    };
    let mut runner = TestRunner::new(config.clone());
    let steps = Model::sequential_strategy(1..40);
    let played = runner.run(&steps, |(world, steps, seen)| {
        Cluster::test_sequential(config.clone(), world, steps, seen);
        Ok(())
    });
    if let Err(failed) = played {
        panic!("seed {seed}: {failed}");
    }
}

#[test]
fn views_come_right_whatever_happened() {
    search(128, 48);
}

/// A longer search, by hand: `VIEWS_CASES=10000 VIEWS_SEED=1 cargo test --release -p alderstile-cluster --test membership_model --
/// --ignored --nocapture`; each of four threads plays a quarter of the cases with a seed of its own.
#[test]
#[ignore = "a search by chance, run by hand"]
fn search_views() {
    let number = |name: &str, or: u64| std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(or);
    let (cases, seed) = (number("VIEWS_CASES", 10_000), number("VIEWS_SEED", 1));
    let threads: Vec<_> =
        (0..4).map(|i| std::thread::spawn(move || search(cases.div_ceil(4) as u32, seed * 4 + i))).collect();
    let failed: Vec<_> = threads.into_iter().filter_map(|thread| thread.join().err()).collect();
    println!("{cases} cases from seed {seed}, {} of 4 threads found one that fails", failed.len());
    println!(
        "views right after {} ms at most of {} s",
        LONGEST_MS.load(Ordering::Relaxed),
        SETTLED.as_secs_f64()
    );
    assert!(failed.is_empty());
}
