//! `foca` 2.0 under the conditions of `examples/lab/emulated/lossy.toml`, to weigh it (`docs/cluster.md`): thirty members, 10% of
//! datagrams lost, two at a time paused for 2 s. Not used by the program.
//!
//!     cargo run --release -p alderstile-lab --example foca

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{
    AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, OwnedNotification, PeriodicParams,
    PostcardCodec, Timer,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

const MEMBERS: usize = 30;
const SECONDS: u64 = 30_000;
const PERIOD: Duration = Duration::from_secs(1);
/// As the core of our own: three periods for each power of ten.
const SUSPICION: Duration = Duration::from_millis(4_431);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Id {
    node: u16,
    generation: u32,
}

impl Identity for Id {
    type Addr = u16;

    fn renew(&self) -> Option<Self> {
        Some(Id { generation: self.generation + 1, ..self.clone() })
    }

    fn addr(&self) -> u16 {
        self.node
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.generation > other.generation
    }
}

enum What {
    Comes(usize, Vec<u8>),
    Due(usize, Timer<Id>),
    Pause,
    Resume(Vec<usize>),
}

type Member = Foca<Id, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>;

struct World {
    now: u64,
    made: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    whats: std::collections::BTreeMap<u64, What>,
    rng: Pcg64Mcg,
    paused: [bool; MEMBERS],
    waiting: Vec<Vec<What>>,
    /// Since when a member holds another down, and whether both were well then.
    down: Vec<Vec<Option<(u64, bool)>>>,
    falsely: usize,
    longest: u64,
    sent: u64,
}

impl World {
    fn add(&mut self, after: u64, what: What) {
        self.made += 1;
        self.queue.push(Reverse((self.now + after, self.made)));
        self.whats.insert(self.made, what);
    }

    fn well(&self, node: usize) -> bool {
        !self.paused[node]
    }

    fn drain(&mut self, node: usize, runtime: &mut AccumulatingRuntime<Id>) {
        while let Some((to, data)) = runtime.to_send() {
            self.sent += data.len() as u64;
            if self.rng.random::<f64>() >= 0.1 {
                let late = 500 + (self.rng.random::<f64>() * 1_000.0) as u64;
                self.add(late, What::Comes(usize::from(to.node), data.to_vec()));
            }
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            self.add(after.as_micros() as u64, What::Due(node, timer));
        }
        while let Some(told) = runtime.to_notify() {
            match told {
                OwnedNotification::MemberDown(of) => {
                    let of = usize::from(of.node);
                    let well = self.well(of) && self.well(node);
                    self.down[node][of] = Some((self.now, well));
                }
                OwnedNotification::MemberUp(of) => {
                    if let Some((since, true)) = self.down[node][usize::from(of.node)].take() {
                        self.falsely += 1;
                        self.longest = self.longest.max(self.now - since);
                    }
                }
                _ => {}
            }
        }
    }
}

fn main() {
    for (name, gossip, announced) in [
        ("probes alone", false, 0),
        ("its settings for a local network", true, 30),
        ("the same, announced each second", true, 1),
    ] {
        let mut config = Config::simple();
        config.probe_period = PERIOD;
        config.probe_rtt = Duration::from_millis(250);
        config.num_indirect_probes = NonZeroUsize::new(3).expect("three");
        config.max_transmissions = NonZeroU8::new(15).expect("as many as 3 log2(30)");
        config.suspect_to_down_after = SUSPICION;
        config.max_packet_size = NonZeroUsize::new(1_200).expect("as ours");
        config.notify_down_members = true;
        if gossip {
            // Its own settings for a local network, but for the times.
            let often = Duration::from_millis(200);
            let each = |frequency, n| {
                let num_members = NonZeroUsize::new(n).expect("some");
                PeriodicParams { frequency, num_members }
            };
            config.periodic_gossip = Some(each(often, 3));
            config.periodic_announce = Some(each(announced * PERIOD, 1));
            config.periodic_announce_to_down_members = Some(each(2 * announced * PERIOD, 2));
        }
        let mut world = World {
            now: 0,
            made: 0,
            queue: BinaryHeap::new(),
            whats: Default::default(),
            rng: Pcg64Mcg::seed_from_u64(1),
            paused: [false; MEMBERS],
            waiting: (0..MEMBERS).map(|_| Vec::new()).collect(),
            down: vec![vec![None; MEMBERS]; MEMBERS],
            falsely: 0,
            longest: 0,
            sent: 0,
        };
        let id = |node: usize| Id { node: node as u16, generation: 0 };
        let mut members: Vec<Member> = Vec::new();
        for node in 0..MEMBERS {
            let rng = Pcg64Mcg::seed_from_u64(node as u64 + 1);
            members.push(Foca::new(id(node), config.clone(), rng, PostcardCodec));
        }
        for (node, member) in members.iter_mut().enumerate().skip(1) {
            let mut runtime = AccumulatingRuntime::new();
            member.announce(id(0), &mut runtime).expect("announced");
            world.drain(node, &mut runtime);
        }
        world.add(30_000_000, What::Pause);
        while let Some(Reverse((at, number))) = world.queue.pop() {
            if at > SECONDS * 1_000_000 {
                break;
            }
            world.now = at;
            let Some(what) = world.whats.remove(&number) else { continue };
            match what {
                What::Pause => {
                    let mut still = Vec::new();
                    while still.len() < 2 {
                        let node = world.rng.random_range(0..MEMBERS);
                        if !still.contains(&node) {
                            still.push(node);
                            world.paused[node] = true;
                        }
                    }
                    world.add(2_000_000, What::Resume(still));
                    world.add(2_500_000, What::Pause);
                }
                What::Resume(nodes) => {
                    for node in nodes {
                        world.paused[node] = false;
                        for what in std::mem::take(&mut world.waiting[node]) {
                            world.add(1, what);
                        }
                    }
                }
                What::Comes(node, _) | What::Due(node, _) if world.paused[node] => {
                    world.waiting[node].push(what)
                }
                What::Comes(node, data) => {
                    let mut runtime = AccumulatingRuntime::new();
                    // What it turns down changes nothing.
                    let _ = members[node].handle_data(&data, &mut runtime);
                    world.drain(node, &mut runtime);
                }
                What::Due(node, timer) => {
                    let mut runtime = AccumulatingRuntime::new();
                    let _ = members[node].handle_timer(timer, &mut runtime);
                    world.drain(node, &mut runtime);
                }
            }
        }
        let bytes = world.sent as f64 / (SECONDS as f64 * MEMBERS as f64);
        println!(
            "{name}: {} pairs held down though well in {:.0} member-hours, the longest for {:.1} s; {bytes:.0} bytes a second a member",
            world.falsely,
            (SECONDS * MEMBERS as u64) as f64 / 3_600.0,
            world.longest as f64 / 1e6,
        );
    }
}
