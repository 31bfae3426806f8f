//! Hosts under their faults, and the list that tells of them.

use std::collections::BTreeSet;

use super::hosts::TICK;
use super::traffic::{Part, Step, of, server_id};
use super::{World, micros};
use crate::history::{Event as Line, ProcessChange};
use crate::schedule::{FaultKind, Party};
use alderstile::types::{Endpoint, EndpointListKind, EndpointState, Event};

/// A call for the list that is not answered has failed after this, and one that would wait longer is turned away.
const LIST_WAIT: u64 = 2_000_000;

impl World<'_> {
    pub(super) fn calls(&mut self, node: usize, life: u64) {
        match self.way(Party::Node(node), Party::Discovery) {
            Some(late) => self.step(self.now + late, Step::Calls { node, life }),
            None => self.step(self.now + LIST_WAIT, Step::Lists { node, life, of: None }),
        }
    }

    pub(super) fn called(&mut self, node: usize, life: u64) {
        let gap = micros(1.0 / self.plan.hosts.list_requests_per_second);
        let at = self.fleet.list_free.max(self.now) + gap;
        let way = self.way(Party::Discovery, Party::Node(node));
        let telling = &self.fleet.sides[node].telling;
        let (turned, late) = (telling.refuses || at > self.now + LIST_WAIT, telling.late);
        let (at, of) = match way {
            Some(way) if turned => (self.now + way, None),
            Some(way) => {
                self.fleet.list_free = at;
                (at + way + late, Some(None))
            }
            None => (self.now + LIST_WAIT, None),
        };
        self.step(at, Step::Lists { node, life, of });
    }

    /// Discovery hears of a host a while later.
    fn tell_of(&mut self, host: usize, state: EndpointState) {
        let started = self.fleet.hosts[host].started;
        let after = micros(self.plan.hosts.notify_delay_ms / 1e3);
        self.step(self.now + after, Step::Heard { host, state, started });
    }

    pub(super) fn heard(&mut self, host: usize, state: EndpointState, started: Option<u64>) {
        self.fleet.listed[host] = (state, started);
        for node in 0..self.plan.nodes {
            let side = &self.fleet.sides[node];
            let (life, late) = (side.life, side.telling.late);
            if side.chooser.is_none() {
                continue;
            }
            let refuses = side.telling.refuses;
            let (at, of) = match self.way(Party::Discovery, Party::Node(node)) {
                Some(way) if !refuses => (self.now + way + late, Some(Some(host))),
                // The watch has broken.
                _ => (self.now + LIST_WAIT, None),
            };
            self.step(at, Step::Lists { node, life, of });
        }
    }

    pub(super) fn lists(&mut self, node: usize, of: Option<Option<usize>>) {
        let rate = self.nodes[node].rate;
        let Some(which) = of else {
            return self.decide(node, Event::EndpointList(EndpointListKind::Failed, Vec::new()));
        };
        let all = which.map_or(0..self.fleet.hosts.len(), |host| host..host + 1);
        let entries: Vec<Endpoint> =
            all.clone().filter_map(|host| self.fleet.entry(node, host, rate)).collect();
        for host in all {
            let named = entries.iter().find(|entry| entry.id == server_id(host));
            let state = named.map_or(EndpointState::Removed, |entry| entry.state);
            let told = std::mem::replace(&mut self.fleet.sides[node].told[host], state);
            if told != state {
                let health = match state {
                    EndpointState::Ready | EndpointState::Cordoned => "up",
                    EndpointState::Draining => "draining",
                    EndpointState::Removed => "removed",
                };
                self.write(Line::HostUpdate { node, host, health: health.to_owned() });
            }
        }
        let kind = if which.is_some() { EndpointListKind::Delta } else { EndpointListKind::Full };
        let entries = self.fleet.sides[node].choices.apply_list(kind, entries);
        self.decide(node, Event::EndpointList(kind, entries));
        if self.fleet.sides[node].choices.has_no_ready_host() {
            self.shares(node);
        }
        let side = &mut self.fleet.sides[node];
        if !std::mem::replace(&mut side.ready, true) {
            side.heard = Some(self.now);
            self.write(Line::Process { node, change: ProcessChange::Ready, status: None });
        }
    }

    /// The same list once more, to all that a fault about lists has hit.
    fn list_again(&mut self, node: usize) {
        let life = self.fleet.sides[node].life;
        if let Some(late) = self.way(Party::Discovery, Party::Node(node)) {
            self.step(self.now + late, Step::Lists { node, life, of: Some(None) });
        }
    }

    /// A fault about lists begins or ends.
    pub(super) fn list_fault(&mut self, number: usize, begins: bool) {
        let plan = self.plan;
        let fault = &plan.faults[number];
        let hosts =
            fault.hosts.iter().filter_map(|actor| if let Party::Host(h) = actor { Some(*h) } else { None });
        let hosts: BTreeSet<usize> = if begins { hosts.collect() } else { BTreeSet::new() };
        for node in Self::named(fault) {
            let telling = &mut self.fleet.sides[node].telling;
            match fault.kind {
                FaultKind::ListLate => telling.late = if begins { micros(fault.ms / 1e3) } else { 0 },
                FaultKind::ListRefuses => telling.refuses = begins,
                FaultKind::ListLeavesOut => telling.leaves_out = hosts.clone(),
                _ => telling.lies = hosts.clone(),
            }
            if matches!(fault.kind, FaultKind::ListLeavesOut | FaultKind::ListLies) {
                self.list_again(node);
            }
        }
    }

    /// A fault of hosts begins or ends.
    pub(super) fn host_fault(&mut self, number: usize, begins: bool) {
        let plan = self.plan;
        let fault = &plan.faults[number];
        for actor in &fault.on {
            let Party::Host(host) = *actor else { continue };
            let it = &mut self.fleet.hosts[host];
            match (fault.kind, begins) {
                (FaultKind::HostSlow, _) => it.slow = if begins { micros(fault.ms / 1e3) } else { 0 },
                (FaultKind::HostSilent, _) => it.silent = begins,
                (FaultKind::HostRefuse, _) => it.refuses = begins,
                (FaultKind::HostDrain, true) => {
                    it.drains = true;
                    self.tell_of(host, EndpointState::Draining);
                }
                (FaultKind::HostDrain, false) => {
                    self.host_down(host);
                    let life = self.fleet.hosts[host].life;
                    self.step(self.now + 1_000_000, Step::HostUp { host, life });
                }
                (_, true) => self.host_down(host),
                (_, false) => self.host_up(host, self.fleet.hosts[host].life),
            }
        }
    }

    pub(super) fn host_down(&mut self, host: usize) {
        for ((client, serial), (node, _)) in self.fleet.hosts[host].goes_down() {
            if let Some(late) = self.way(Party::Host(host), Party::Node(node)) {
                self.step(self.now + late, of(client, serial, Part::Broke));
            }
        }
        self.tell_of(host, EndpointState::Removed);
    }

    pub(super) fn host_up(&mut self, host: usize, life: u64) {
        let it = &mut self.fleet.hosts[host];
        if it.life == life && !it.up {
            it.comes_up(self.now);
            self.write(Line::HostState { host, failed: false });
            self.tell_of(host, EndpointState::Ready);
        }
    }

    pub(super) fn tick_hosts(&mut self) {
        self.step(self.now + TICK, Step::Tick);
        let second = (self.now / TICK).is_multiple_of(1_000_000 / TICK);
        for host in 0..self.fleet.hosts.len() {
            let it = &mut self.fleet.hosts[host];
            if let Some(over) = it.tick(self.now) {
                let traffic = &mut self.fleet.traffic;
                traffic.cold_load_peak = traffic.cold_load_peak.max(over);
                traffic.cold_load = (traffic.cold_load.0 + over, traffic.cold_load.1 + 1.0);
                if over > 1.0 {
                    traffic.cold_overloads += 1;
                    self.write(Line::HostState { host, failed: true });
                    self.host_down(host);
                    let (life, after) = (self.fleet.hosts[host].life, micros(self.plan.hosts.restart_s));
                    self.step(self.now + after, Step::HostUp { host, life });
                    continue;
                }
            }
            let it = &mut self.fleet.hosts[host];
            let late = it.delay(self.now);
            if second && it.up && !it.silent && late >= self.fleet.late_at {
                for node in 0..self.plan.nodes {
                    if self.fleet.hosts[host].by_node[node] > 0
                        && let Some(way) = self.way(Party::Host(host), Party::Node(node))
                    {
                        self.step(self.now + way, Step::Note { node, host, late });
                    }
                }
            }
        }
    }
}
