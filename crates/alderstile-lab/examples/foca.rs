//! Simulation of the membership library `foca` 2.0 under the conditions of
//! `examples/lab/emulated/lossy.toml`, for the comparison in `docs/cluster.md`: thirty members, 10% of
//! datagrams lost, two members at a time paused for 2 s. Not used by the program.
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
const SIMULATED_SECONDS: u64 = 30_000;
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Suspicion timeout of alderstile's own membership: three periods per power of ten of the number of members.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(4_431);

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

enum Event {
    Datagram(usize, Vec<u8>),
    Timer(usize, Timer<Id>),
    Pause,
    Resume(Vec<usize>),
}

type Member = Foca<Id, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>;

struct Simulation {
    now: u64,
    events_created: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: std::collections::BTreeMap<u64, Event>,
    rng: Pcg64Mcg,
    paused: [bool; MEMBERS],
    deferred: Vec<Vec<Event>>,
    /// By observer and subject: since when the observer considers the subject down, in microseconds, and
    /// whether both were running then.
    down: Vec<Vec<Option<(u64, bool)>>>,
    false_positives: usize,
    longest_us: u64,
    sent: u64,
}

impl Simulation {
    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.events_created += 1;
        self.queue.push(Reverse((self.now + delay_us, self.events_created)));
        self.events.insert(self.events_created, event);
    }

    fn is_running(&self, node: usize) -> bool {
        !self.paused[node]
    }

    fn process_output(&mut self, node: usize, runtime: &mut AccumulatingRuntime<Id>) {
        while let Some((to, data)) = runtime.to_send() {
            self.sent += data.len() as u64;
            if self.rng.random::<f64>() >= 0.1 {
                let delay_us = 500 + (self.rng.random::<f64>() * 1_000.0) as u64;
                self.schedule(delay_us, Event::Datagram(usize::from(to.node), data.to_vec()));
            }
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            self.schedule(after.as_micros() as u64, Event::Timer(node, timer));
        }
        while let Some(notification) = runtime.to_notify() {
            match notification {
                OwnedNotification::MemberDown(subject) => {
                    let subject = usize::from(subject.node);
                    let both_running = self.is_running(subject) && self.is_running(node);
                    self.down[node][subject] = Some((self.now, both_running));
                }
                OwnedNotification::MemberUp(subject) => {
                    if let Some((since, true)) = self.down[node][usize::from(subject.node)].take() {
                        self.false_positives += 1;
                        self.longest_us = self.longest_us.max(self.now - since);
                    }
                }
                _ => {}
            }
        }
    }
}

fn main() {
    for (name, gossip, announce_periods) in [
        ("probes only", false, 0),
        ("local-network settings", true, 30),
        ("local-network settings, announced every second", true, 1),
    ] {
        let mut config = Config::simple();
        config.probe_period = PROBE_PERIOD;
        config.probe_rtt = Duration::from_millis(250);
        config.num_indirect_probes = NonZeroUsize::new(3).expect("three");
        config.max_transmissions = NonZeroU8::new(15).expect("about 3 log2(30), as alderstile");
        config.suspect_to_down_after = SUSPICION_TIMEOUT;
        config.max_packet_size = NonZeroUsize::new(1_200).expect("the limit of alderstile");
        config.notify_down_members = true;
        if gossip {
            // The settings that foca provides for a local network, except for the intervals.
            let gossip_interval = Duration::from_millis(200);
            let periodic = |frequency, count| {
                let num_members = NonZeroUsize::new(count).expect("at least one");
                PeriodicParams { frequency, num_members }
            };
            config.periodic_gossip = Some(periodic(gossip_interval, 3));
            config.periodic_announce = Some(periodic(announce_periods * PROBE_PERIOD, 1));
            config.periodic_announce_to_down_members = Some(periodic(2 * announce_periods * PROBE_PERIOD, 2));
        }
        let mut simulation = Simulation {
            now: 0,
            events_created: 0,
            queue: BinaryHeap::new(),
            events: Default::default(),
            rng: Pcg64Mcg::seed_from_u64(1),
            paused: [false; MEMBERS],
            deferred: (0..MEMBERS).map(|_| Vec::new()).collect(),
            down: vec![vec![None; MEMBERS]; MEMBERS],
            false_positives: 0,
            longest_us: 0,
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
            simulation.process_output(node, &mut runtime);
        }
        simulation.schedule(30_000_000, Event::Pause);
        while let Some(Reverse((at, number))) = simulation.queue.pop() {
            if at > SIMULATED_SECONDS * 1_000_000 {
                break;
            }
            simulation.now = at;
            let Some(event) = simulation.events.remove(&number) else { continue };
            match event {
                Event::Pause => {
                    let mut paused_nodes = Vec::new();
                    while paused_nodes.len() < 2 {
                        let node = simulation.rng.random_range(0..MEMBERS);
                        if !paused_nodes.contains(&node) {
                            paused_nodes.push(node);
                            simulation.paused[node] = true;
                        }
                    }
                    simulation.schedule(2_000_000, Event::Resume(paused_nodes));
                    simulation.schedule(2_500_000, Event::Pause);
                }
                Event::Resume(nodes) => {
                    for node in nodes {
                        simulation.paused[node] = false;
                        for event in std::mem::take(&mut simulation.deferred[node]) {
                            simulation.schedule(1, event);
                        }
                    }
                }
                Event::Datagram(node, _) | Event::Timer(node, _) if simulation.paused[node] => {
                    simulation.deferred[node].push(event)
                }
                Event::Datagram(node, data) => {
                    let mut runtime = AccumulatingRuntime::new();
                    // A rejected datagram changes nothing.
                    let _ = members[node].handle_data(&data, &mut runtime);
                    simulation.process_output(node, &mut runtime);
                }
                Event::Timer(node, timer) => {
                    let mut runtime = AccumulatingRuntime::new();
                    let _ = members[node].handle_timer(timer, &mut runtime);
                    simulation.process_output(node, &mut runtime);
                }
            }
        }
        let bytes = simulation.sent as f64 / (SIMULATED_SECONDS as f64 * MEMBERS as f64);
        println!(
            "{name}: {} false positives (pairs) in {:.0} member-hours, the longest {:.1} s; {bytes:.0} bytes per second and member",
            simulation.false_positives,
            (SIMULATED_SECONDS * MEMBERS as u64) as f64 / 3_600.0,
            simulation.longest_us as f64 / 1e6,
        );
    }
}
