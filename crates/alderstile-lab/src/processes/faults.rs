//! Injection of scheduled faults into a run on processes: links, node processes, discovery lists and hosts.

use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};
use tracing::{info, warn};

use super::Lab;
use super::discovery::Discovery;
use super::hosts::Host;
use super::nodes::Node;
use crate::history::Event;
use crate::schedule::{FaultKind, FaultTarget, Party, PlannedFault};

/// Delay until a drained host starts again after its end.
const RESTART_AFTER_DRAIN: Duration = Duration::from_secs(1);

impl Lab {
    /// Begins a fault; returns the tasks that end it.
    pub(super) fn begin(&self, number: usize, fault: &PlannedFault) -> Vec<JoinHandle<()>> {
        info!(kind = %fault.kind, on = %names(&fault.on), link = %link_names(fault), "fault begun");
        self.history.add(Event::fault(fault, true));
        match fault.kind.target() {
            FaultTarget::Link => self.begin_link_fault(number, fault),
            FaultTarget::Process => self.begin_process_fault(fault),
            FaultTarget::DiscoveryList => self.begin_list_fault(fault),
            FaultTarget::Host => self.begin_host_fault(fault),
        }
    }

    /// Ends a fault after its duration, if it has one: undoes it and records its end.
    fn end_after_duration(
        &self,
        fault: &PlannedFault,
        undo: impl FnOnce() + 'static,
    ) -> Option<JoinHandle<()>> {
        let duration = Duration::from_secs_f64(fault.for_s?);
        let (history, end) = (self.history.clone(), Event::fault(fault, false));
        Some(spawn_local(async move {
            sleep(duration).await;
            undo();
            history.add(end);
        }))
    }

    fn begin_link_fault(&self, number: usize, fault: &PlannedFault) -> Vec<JoinHandle<()>> {
        self.links.change(|faults| faults.begin(number, fault));
        let links = self.links.clone();
        let end = self.end_after_duration(fault, move || links.change(|faults| faults.end(number)));
        end.into_iter().collect()
    }

    fn begin_process_fault(&self, fault: &PlannedFault) -> Vec<JoinHandle<()>> {
        let duration = fault.for_s.map(Duration::from_secs_f64);
        let mut tasks = Vec::new();
        for node in self.target_nodes(fault) {
            tasks.push(spawn_local(process_fault(node, fault.kind, duration)));
        }
        tasks.extend(self.end_after_duration(fault, || {}));
        tasks
    }

    fn begin_list_fault(&self, fault: &PlannedFault) -> Vec<JoinHandle<()>> {
        let nodes: Vec<usize> = self.target_nodes(fault).iter().map(|node| node.number).collect();
        let hosts: Vec<usize> = fault.hosts.iter().filter_map(host_number).collect();
        let (kind, late) = (fault.kind, Duration::from_secs_f64(fault.ms / 1e3));
        let discovery = self.discovery.clone();
        let apply = move |begins: bool| {
            for &node in &nodes {
                discovery.set_faults(node, |faults| match kind {
                    FaultKind::ListLate => faults.extra_delay = if begins { late } else { Duration::ZERO },
                    FaultKind::ListLeavesOut => {
                        faults.omitted = if begins { hosts.clone() } else { Vec::new() }
                    }
                    FaultKind::ListLies => {
                        faults.marked_draining = if begins { hosts.clone() } else { Vec::new() }
                    }
                    _ => faults.refuses = begins,
                });
            }
        };
        apply(true);
        self.end_after_duration(fault, move || apply(false)).into_iter().collect()
    }

    fn begin_host_fault(&self, fault: &PlannedFault) -> Vec<JoinHandle<()>> {
        let duration = fault.for_s.map(Duration::from_secs_f64);
        let mut tasks = Vec::new();
        for host in fault.on.iter().filter_map(host_number).filter_map(|h| self.hosts.get(h)) {
            let (host, discovery) = (host.clone(), self.discovery.clone());
            let slow = Duration::from_secs_f64(fault.ms / 1e3);
            tasks.push(spawn_local(host_fault(host, discovery, fault.kind, duration, slow)));
        }
        tasks.extend(self.end_after_duration(fault, || {}));
        tasks
    }

    /// Returns the nodes that a fault targets.
    fn target_nodes(&self, fault: &PlannedFault) -> Vec<Rc<Node>> {
        let number = |party: &Party| if let Party::Node(n) = party { Some(*n) } else { None };
        fault.on.iter().filter_map(number).filter_map(|n| self.nodes.get(n).cloned()).collect()
    }
}

/// Returns the number of a host; `None` for other parties.
fn host_number(party: &Party) -> Option<usize> {
    if let Party::Host(h) = party { Some(*h) } else { None }
}

/// Returns the names of the parties, separated by spaces.
fn names(set: &BTreeSet<Party>) -> String {
    let list: Vec<String> = set.iter().map(Party::to_string).collect();
    list.join(" ")
}

/// Returns both ends of the links that a link fault acts on; empty for other faults.
fn link_names(fault: &PlannedFault) -> String {
    if fault.kind.target() != FaultTarget::Link {
        return String::new();
    }
    format!("from {} to {}", names(&fault.from), names(&fault.to))
}

/// Applies a fault to the process of a node, and undoes it after its duration.
async fn process_fault(node: Rc<Node>, kind: FaultKind, duration: Option<Duration>) {
    let started = Instant::now();
    let failed = |error: io::Error| warn!(%kind, node = node.number, %error, "fault not applied");
    match kind {
        FaultKind::Kill => node.kill().await,
        FaultKind::Stop => node.stop().await,
        FaultKind::Replace => return node.replace().await.unwrap_or_else(failed),
        FaultKind::Reload => {
            // The file must differ from the previous one: the number of attempts alternates between 2 and 3.
            let changed = node.reload(|config| {
                let attempts = &mut config["settings"]["allowed"]["max_attempts"];
                *attempts = json!(if *attempts == json!(3) { 2 } else { 3 });
            });
            return changed.unwrap_or_else(failed);
        }
        _ => node.pause(true),
    }
    let Some(duration) = duration else { return };
    sleep_until(started + duration).await;
    if kind == FaultKind::Pause {
        node.pause(false);
    } else {
        node.start().await.unwrap_or_else(failed);
    }
}

/// Applies a fault to a host, and undoes it after its duration.
async fn host_fault(
    host: Rc<Host>,
    discovery: Rc<Discovery>,
    kind: FaultKind,
    duration: Option<Duration>,
    slow: Duration,
) {
    let number = host.number();
    let restart = async || {
        if let Err(error) = host.start().await {
            warn!(host = number, %error, "host not restarted");
        }
        discovery.set(number, "up", true);
    };
    match kind {
        FaultKind::HostKill => {
            host.kill();
            discovery.set(number, "removed", false);
            if let Some(duration) = duration {
                sleep(duration).await;
                restart().await;
            }
        }
        FaultKind::HostDrain => {
            discovery.set(number, "draining", false);
            sleep(duration.unwrap_or_default()).await;
            host.kill();
            discovery.set(number, "removed", false);
            sleep(RESTART_AFTER_DRAIN).await;
            restart().await;
        }
        _ => {
            let before = host.behavior.get();
            let mut behavior = before;
            match kind {
                FaultKind::HostSlow => behavior.slow = slow,
                FaultKind::HostSilent => behavior.silent = true,
                _ => behavior.refuses = true,
            }
            host.behavior.set(behavior);
            if let Some(duration) = duration {
                sleep(duration).await;
                host.behavior.set(before);
            }
        }
    }
}
