//! Two processes of a node that hear of changes at different times: whatever the order, each has a list as
//! discovery had it, and both end with the same list and the same configuration.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use alderstile::types::Micros;
use alderstile_node::clock::MachineTime;
use alderstile_node::config::Config;
use alderstile_node::discovery::endpoint_list::{EndpointList, EndpointRecord, Health};
use alderstile_node::lifecycle::state_sync::StateSync;
use alderstile_node::lifecycle::state_update::StateUpdate;
use alderstile_node::node::Node;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::RngSeed;
use serde_json::json;

mod support;
use support::node_config;

const HOSTS: usize = 4;

/// The health of each host, by its number.
type Hosts = [Health; HOSTS];

/// An address of discovery with all versions that it has published. Each address counts for itself.
struct Discovery {
    address: SocketAddr,
    first_version: u64,
    history: Vec<Hosts>,
}

impl Discovery {
    fn new(port: u16, first_version: u64) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        Discovery { address, first_version, history: vec![[Health::Up; HOSTS]] }
    }

    fn hosts(&self, version: u64) -> Hosts {
        self.history[usize::try_from(version - self.first_version).expect("a version")]
    }

    fn last_version(&self) -> u64 {
        self.first_version + self.history.len() as u64 - 1
    }

    /// Publishes a version in which one host has another health.
    fn publish(&mut self, host: usize, health: Health) {
        let mut hosts = self.hosts(self.last_version());
        hosts[host] = health;
        self.history.push(hosts);
    }

    /// Returns what a watch brings that goes on from a version, or the complete list.
    fn list_after(&self, known: Option<u64>, version: u64) -> EndpointList {
        let hosts = self.hosts(version);
        let changed = |host: &usize| known.is_none_or(|known| self.hosts(known)[*host] != hosts[*host]);
        let endpoints = (0..HOSTS).filter(changed).map(|host| endpoint(host, hosts[host])).collect();
        EndpointList { version, complete: known.is_none(), endpoints }
    }
}

fn endpoint(host: usize, health: Health) -> EndpointRecord {
    let address = Some(SocketAddr::from(([127, 0, 0, 1], 1_000)));
    EndpointRecord { address, health, ..EndpointRecord::removed(format!("host-{host}")) }
}

/// An event at the two processes or at discovery.
#[derive(Clone, Debug)]
enum Event {
    /// An address of discovery publishes a change.
    Publish { discovery: usize, host: usize, health: Health },
    /// The watch of a process brings what it lacks, up to `behind` versions before the last.
    Watch { process: usize, behind: u64 },
    /// A process reloads a file that names an address of discovery.
    Reload { process: usize, discovery: usize },
    /// A process sends a message.
    Send { process: usize },
    /// A process receives a message.
    Receive { process: usize },
}

fn event() -> impl Strategy<Value = Event> {
    let health = select(vec![Health::Up, Health::Draining, Health::Removed]);
    prop_oneof![
        3 => (0..2_usize, 0..HOSTS, health)
            .prop_map(|(discovery, host, health)| Event::Publish { discovery, host, health }),
        3 => (0..2_usize, 0..3_u64).prop_map(|(process, behind)| Event::Watch { process, behind }),
        1 => (0..2_usize, 0..2_usize).prop_map(|(process, discovery)| Event::Reload { process, discovery }),
        3 => (0..2_usize).prop_map(|process| Event::Send { process }),
        3 => (0..2_usize).prop_map(|process| Event::Receive { process }),
    ]
}

struct Process {
    node: Node,
    sync: StateSync,
    inbox: VecDeque<StateUpdate>,
}

struct Model {
    discoveries: [Discovery; 2],
    processes: [Process; 2],
    reloads: u64,
}

impl Model {
    fn new() -> Self {
        let discoveries = [Discovery::new(8500, 100), Discovery::new(8501, 10)];
        let processes = [(); 2].map(|()| {
            let value = node_config("127.0.0.1:9000", &discoveries[0].address.to_string());
            let node = Node::new(Config::from_file_value(value, |_| None).expect("a valid configuration"));
            node.decisions.apply_list(&discoveries[0].list_after(None, 100));
            let sync = StateSync::new(&node, Micros(0));
            Process { node, sync, inbox: VecDeque::new() }
        });
        Model { discoveries, processes, reloads: 0 }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Publish { discovery, host, health } => self.discoveries[discovery].publish(host, health),
            Event::Watch { process, behind } => self.watch(process, behind),
            Event::Reload { process, discovery } => self.reload(process, discovery),
            Event::Send { process } => drop(self.send(process)),
            Event::Receive { process } => drop(self.receive(process)),
        }
    }

    fn discovery_of(&self, process: usize) -> &Discovery {
        let address = self.processes[process].node.decisions.discovery_address();
        self.discoveries.iter().find(|discovery| discovery.address == address).expect("an address in use")
    }

    fn watch(&mut self, process: usize, behind: u64) {
        let (discovery, decisions) = (self.discovery_of(process), &self.processes[process].node.decisions);
        let known = decisions.known_list_version();
        let oldest = known.unwrap_or(discovery.first_version);
        let version = discovery.last_version().saturating_sub(behind).max(oldest);
        decisions.apply_list(&discovery.list_after(known, version));
    }

    fn reload(&mut self, process: usize, discovery: usize) {
        self.reloads += 1;
        let node = &self.processes[process].node;
        let mut file = node.config().source.clone();
        file["discovery"] = json!(self.discoveries[discovery].address.to_string());
        node.apply_config(node.config().adopted(file).expect("a valid configuration").config);
        node.reload_times.config.set(MachineTime(self.reloads));
    }

    /// Sends the next message; returns whether there was one.
    fn send(&mut self, process: usize) -> bool {
        let sender = &self.processes[process];
        let update = sender.sync.next_update(&sender.node);
        let sent = update.is_some();
        self.processes[1 - process].inbox.extend(update);
        sent
    }

    /// Receives the next message; returns whether there was one.
    fn receive(&mut self, process: usize) -> bool {
        let receiver = &mut self.processes[process];
        let update = receiver.inbox.pop_front();
        let received = update.is_some();
        let applied = update.map(|update| receiver.sync.on_update(&receiver.node, update));
        applied.transpose().expect("short enough");
        received
    }

    /// Exchanges messages until neither process has any.
    fn exchange_all(&mut self) {
        while [0, 1].map(|process| self.send(process) | self.receive(process)).contains(&true) {}
    }

    /// Asserts that each process has the list as discovery published it under the version that it knows.
    fn assert_lists_are_as_published(&self) {
        for process in 0..2 {
            let decisions = &self.processes[process].node.decisions;
            let Some(version) = decisions.known_list_version() else { continue };
            let published = self.discovery_of(process).hosts(version);
            let expected: BTreeMap<String, Health> = (0..HOSTS)
                .filter(|host| published[*host] != Health::Removed)
                .map(|host| (format!("host-{host}"), published[host]))
                .collect();
            let list = decisions.complete_list().endpoints.into_iter();
            let actual: BTreeMap<_, _> = list.map(|endpoint| (endpoint.name, endpoint.health)).collect();
            assert_eq!(actual, expected, "process {process} at version {version}");
        }
    }
}

/// Returns the number of cases and the seed of the environment, `PROPTEST_CASES` and `PROPTEST_RNG_SEED`, or
/// those of a short run.
fn config() -> ProptestConfig {
    let default = ProptestConfig::default();
    let cases = std::env::var_os("PROPTEST_CASES").map_or(2_000, |_| default.cases);
    let rng_seed = match default.rng_seed {
        RngSeed::Random => RngSeed::Fixed(64),
        given => given,
    };
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..default }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn both_processes_end_with_one_list_and_one_configuration(
        events in prop::collection::vec(event(), 1..120)
    ) {
        let mut model = Model::new();
        for event in events {
            model.apply(event);
            model.assert_lists_are_as_published();
        }
        model.exchange_all();
        model.assert_lists_are_as_published();
        let [first, second] = model.processes.each_ref().map(|process| {
            (process.node.decisions.discovery_address(), process.node.decisions.known_list_version())
        });
        prop_assert_eq!(first, second);
    }
}
