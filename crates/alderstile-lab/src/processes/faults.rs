//! Faults of a schedule on real processes: of links, nodes' processes, discovery lists and hosts.

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

/// A host that was drained is up again this long after it ended.
const DRAINED: Duration = Duration::from_secs(1);

impl Lab {
    /// Begins a fault; returns what sees to its end.
    pub(super) fn begin(&self, number: usize, fault: &PlannedFault) -> Vec<JoinHandle<()>> {
        info!("{}: {} {}", fault.kind, shown(&fault.on), shown_way(fault));
        self.history.add(Event::fault(fault, true));
        match fault.kind.target() {
            FaultTarget::Link => self.begin_link_fault(number, fault),
            FaultTarget::Process => self.begin_process_fault(fault),
            FaultTarget::DiscoveryList => self.begin_list_fault(fault),
            FaultTarget::Host => self.begin_host_fault(fault),
        }
    }

    /// Ends a fault after its span, if it has one: undoes it and adds its end to the history.
    fn end_after_span(&self, fault: &PlannedFault, undo: impl FnOnce() + 'static) -> Option<JoinHandle<()>> {
        let span = Duration::from_secs_f64(fault.for_s?);
        let (history, end) = (self.history.clone(), Event::fault(fault, false));
        Some(spawn_local(async move {
            sleep(span).await;
            undo();
            history.add(end);
        }))
    }

    fn begin_link_fault(&self, number: usize, fault: &PlannedFault) -> Vec<JoinHandle<()>> {
        self.links.change(|faults| faults.begin(number, fault));
        let links = self.links.clone();
        let end = self.end_after_span(fault, move || links.change(|faults| faults.end(number)));
        end.into_iter().collect()
    }

    fn begin_process_fault(&self, fault: &PlannedFault) -> Vec<JoinHandle<()>> {
        let span = fault.for_s.map(Duration::from_secs_f64);
        let mut tasks = Vec::new();
        for node in self.named_nodes(fault) {
            tasks.push(spawn_local(process_fault(node, fault.kind, span)));
        }
        tasks.extend(self.end_after_span(fault, || {}));
        tasks
    }

    fn begin_list_fault(&self, fault: &PlannedFault) -> Vec<JoinHandle<()>> {
        let nodes: Vec<usize> = self.named_nodes(fault).iter().map(|node| node.number).collect();
        let hosts: Vec<usize> = fault.hosts.iter().filter_map(host_of).collect();
        let (kind, late) = (fault.kind, Duration::from_secs_f64(fault.ms / 1e3));
        let discovery = self.discovery.clone();
        let set = move |begins: bool| {
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
        set(true);
        self.end_after_span(fault, move || set(false)).into_iter().collect()
    }

    fn begin_host_fault(&self, fault: &PlannedFault) -> Vec<JoinHandle<()>> {
        let span = fault.for_s.map(Duration::from_secs_f64);
        let mut tasks = Vec::new();
        for host in fault.on.iter().filter_map(host_of).filter_map(|h| self.hosts.get(h)) {
            let (host, discovery) = (host.clone(), self.discovery.clone());
            let slow = Duration::from_secs_f64(fault.ms / 1e3);
            tasks.push(spawn_local(host_fault(host, discovery, fault.kind, span, slow)));
        }
        tasks.extend(self.end_after_span(fault, || {}));
        tasks
    }

    fn named_nodes(&self, fault: &PlannedFault) -> Vec<Rc<Node>> {
        let number = |actor: &Party| if let Party::Node(n) = actor { Some(*n) } else { None };
        fault.on.iter().filter_map(number).filter_map(|n| self.nodes.get(n).cloned()).collect()
    }
}

fn host_of(actor: &Party) -> Option<usize> {
    if let Party::Host(h) = actor { Some(*h) } else { None }
}

fn shown(set: &BTreeSet<Party>) -> String {
    let names: Vec<String> = set.iter().map(Party::to_string).collect();
    names.join(" ")
}

fn shown_way(fault: &PlannedFault) -> String {
    if fault.kind.target() != FaultTarget::Link {
        return String::new();
    }
    format!("from {} to {}", shown(&fault.from), shown(&fault.to))
}

async fn process_fault(node: Rc<Node>, kind: FaultKind, span: Option<Duration>) {
    let began = Instant::now();
    let failed = |error: io::Error| warn!("{kind} of n{}: {error}", node.number);
    match kind {
        FaultKind::Kill => node.kill().await,
        FaultKind::Stop => node.stop().await,
        FaultKind::Replace => return node.replace().await.unwrap_or_else(failed),
        FaultKind::Reload => {
            // Another file than the one before: attempts change between two and three.
            let changed = node.reload(|config| {
                let attempts = &mut config["settings"]["allowed"]["max_attempts"];
                *attempts = json!(if *attempts == json!(3) { 2 } else { 3 });
            });
            return changed.unwrap_or_else(failed);
        }
        _ => node.pause(true),
    }
    let Some(span) = span else { return };
    sleep_until(began + span).await;
    if kind == FaultKind::Pause {
        node.pause(false);
    } else {
        node.start().await.unwrap_or_else(failed);
    }
}

async fn host_fault(
    host: Rc<Host>,
    discovery: Rc<Discovery>,
    kind: FaultKind,
    span: Option<Duration>,
    slow: Duration,
) {
    let number = host.number();
    let came_back = async || {
        if let Err(error) = host.start().await {
            warn!("h{number}: {error}");
        }
        discovery.set(number, "up", true);
    };
    match kind {
        FaultKind::HostKill => {
            host.kill();
            discovery.set(number, "removed", false);
            if let Some(span) = span {
                sleep(span).await;
                came_back().await;
            }
        }
        FaultKind::HostDrain => {
            discovery.set(number, "draining", false);
            sleep(span.unwrap_or_default()).await;
            host.kill();
            discovery.set(number, "removed", false);
            sleep(DRAINED).await;
            came_back().await;
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
            if let Some(span) = span {
                sleep(span).await;
                host.behavior.set(before);
            }
        }
    }
}
