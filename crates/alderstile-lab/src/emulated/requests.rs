//! Clients and their requests, from the front to a host and back.

use alderstile::types::{Event, Micros, Outcome, Request, RequestId};
use rand::RngExt;

use super::hosts::Host;
use super::traffic::{Fleet, Part, SERIAL_BITS, Stage, Step, of, request_id, server_id};
use super::{World, micros};
use crate::history::Event as Line;
use crate::schedule::Party;

/// The front asks each node this often, and clients are asked this often whether they are served.
const BEAT: u64 = 500_000;
/// A node that has not answered for this long is dealt no more clients.
const NOTICED: u64 = 2_000_000;
/// What a client still waits for its answer after the time that it told the node.
const LATER: u64 = 1_500_000;
/// A line has to be answered within this.
const LINE: u64 = 1_000_000;
/// A host that brings nothing back for so many beats is left by the node, whose clients are told to move.
const SILENT: u32 = 9;
/// A node that brings nothing back for so many beats is left by the client.
const DEAF: u32 = 16;
/// What comes after an answer that is still on its way is looked at again after this.
const AFTER_ANSWER: u64 = 2_000;
/// The longest that a client rests after it was turned away.
const LONGEST_REST: u64 = 2_000_000;
/// The spread of connections over hosts is looked at from this second on: clients have to come first.
const SETTLED: u64 = 5_000_000;

impl World<'_> {
    /// The front and all clients look round.
    pub(super) fn beat(&mut self) {
        self.step(self.now + BEAT, Step::Beat);
        let (mut front, mut sum) = (Vec::new(), 0.0);
        for node in 0..self.plan.nodes {
            let cut = self.faults.link(Party::Clients, Party::Node(node)).cut;
            let side = &mut self.fleet.sides[node];
            if side.ready && !self.nodes[node].paused && !cut {
                side.heard = Some(self.now);
            }
            if side.heard.is_some_and(|at| at + NOTICED > self.now) {
                sum += self.plan.traffic[node % self.plan.traffic.len()];
                front.push((node, sum));
            }
        }
        self.fleet.front = front;
        let late: Vec<bool> = self.fleet.hosts.iter_mut().map(|host| host.delay(self.now) >= LINE).collect();
        let (mut wanted, mut served) = (0, 0);
        let mut deaf = Vec::new();
        for client in 0..self.fleet.clients.len() {
            let who = &mut self.fleet.clients[client];
            if !who.wants || !std::mem::replace(&mut who.wanted, who.wants) {
                continue;
            }
            wanted += 1;
            if let (Stage::Up(host), true) = (who.stage, who.told) {
                let (c, n, h) = (Party::Clients, Party::Node(who.node), Party::Host(host));
                let cut =
                    |a, b| self.faults.any() && (self.faults.link(a, b).cut || self.faults.link(b, a).cut);
                let node_silent = self.nodes[who.node].paused || cut(c, n);
                let silent = node_silent || self.fleet.hosts[host].silent || cut(n, h);
                who.deaf = if silent { who.deaf + 1 } else { 0 };
                if !silent && !late[host] {
                    who.served = self.now;
                }
                if who.deaf > if node_silent { DEAF } else { SILENT } {
                    deaf.push((client, who.serial, node_silent));
                }
            }
            served += u64::from(who.served + LINE > self.now);
        }
        let traffic = &mut self.fleet.traffic;
        (traffic.demand_samples, traffic.served_samples) =
            (traffic.demand_samples + wanted, traffic.served_samples + served);
        if wanted > 0 {
            self.write(Line::ServedTotal { served: served as usize, wanting: wanted as usize });
        }
        for (client, serial, by_client) in deaf {
            self.of_request(client, serial, Part::Silent { by_client });
        }
        if self.now.is_multiple_of(2 * BEAT) && self.now >= SETTLED {
            self.spread();
        }
    }

    /// How connections are spread over hosts now.
    fn spread(&mut self) {
        let Fleet { hosts, traffic, .. } = &mut self.fleet;
        let serves = |host: &&Host| host.up && !host.silent && !host.refuses && !host.drains;
        let able: f64 = hosts.iter().filter(serves).map(|host| host.capacity(self.now)).sum();
        let held: usize = hosts.iter().map(|host| host.held.len()).sum();
        let over =
            |host: &Host| host.held.len() as f64 * able / (host.capacity(self.now) * held.max(1) as f64);
        traffic.last_imbalance = hosts.iter().filter(serves).map(over).fold(0.0, f64::max);
        traffic.imbalance = (traffic.imbalance.0 + traffic.last_imbalance, traffic.imbalance.1 + 1);
        traffic.open_connections = held as u64;
        traffic.peak_open_connections = traffic.peak_open_connections.max(held as u64);
        let used = hosts.iter().map(|host| host.by_node.iter().filter(|n| **n > 0).count()).sum::<usize>();
        traffic.hosts_used =
            (traffic.hosts_used.0 + used as f64, traffic.hosts_used.1 + self.plan.nodes as u64);
    }

    pub(super) fn client_comes(&mut self, client: usize, fresh: bool) {
        if self.now >= micros(self.plan.length_s) || self.fleet.clients[client].stage != Stage::Idle {
            return;
        }
        let kind = &self.plan.clients[self.fleet.clients[client].class];
        if fresh {
            let hold = self.drawn(kind.hold_s);
            let load = kind.load_us * (0.5 + self.rng.random::<f64>());
            let who = &mut self.fleet.clients[client];
            (who.till, who.wants, who.wanted, who.load) = (self.now + hold, true, false, load);
        } else if self.now >= self.fleet.clients[client].till {
            return self.rests(client);
        }
        let sum = self.fleet.front.last().map_or(0.0, |(_, sum)| *sum);
        let draw = self.rng.random::<f64>() * sum;
        let at = self.fleet.front.partition_point(|(_, until)| *until <= draw);
        let any = self.rng.random_range(0..self.plan.nodes);
        let node = self.fleet.front.get(at).map_or(any, |(node, _)| *node);
        let wait = kind.wait_ms * 1_000;
        let soon = self.soon();
        let way = self.way(Party::Clients, Party::Node(node));
        let Some(late) = way.filter(|_| self.fleet.sides[node].ready) else {
            self.write(Line::ConnectFailed { client, node });
            let after = if way.is_none() { wait } else { soon };
            return self.step(self.now + after, Step::Comes { client, fresh: false });
        };
        let life = self.fleet.sides[node].life;
        let who = &mut self.fleet.clients[client];
        who.serial = (who.serial + 1) & ((1 << SERIAL_BITS) - 1);
        (who.stage, who.node, who.life, who.attempt, who.told) = (Stage::Asking, node, life, 0, false);
        (who.deaf, who.opened) = (0, self.now);
        let (serial, class) = (who.serial, kind.class.clone());
        self.write(Line::Open { id: name(client, serial), client, class, node, wait_s: wait as f64 / 1e6 });
        self.step(self.now + late, of(client, serial, Part::Asks));
        self.step(self.now + late + wait, of(client, serial, Part::Deadline));
        self.step(self.now + wait + LATER, of(client, serial, Part::GivesUp));
    }

    fn rests(&mut self, client: usize) {
        let class = self.fleet.clients[client].class;
        self.fleet.clients[client].wants = false;
        let rest = self.drawn(self.plan.clients[class].rest_s);
        self.step(self.now + rest, Step::Comes { client, fresh: true });
    }

    pub(super) fn closed(&mut self, client: usize, how: &str) {
        let id = name(client, self.fleet.clients[client].serial);
        self.write(Line::Closed { id, how: how.to_owned() });
    }

    pub(super) fn answered(&mut self, client: usize, what: &str, receipt: Option<String>) {
        let id = name(client, self.fleet.clients[client].serial);
        self.write(Line::Answer { id, what: what.to_owned(), receipt });
    }

    pub(super) fn off_host(&mut self, client: usize, serial: u32) {
        if let Stage::Trying(host) | Stage::Up(host) = self.fleet.clients[client].stage {
            self.fleet.hosts[host].ends(self.now, (client, serial));
        }
    }

    /// A request is over at all parties.
    pub(super) fn release(&mut self, client: usize, serial: u32) {
        self.off_host(client, serial);
        let who = &mut self.fleet.clients[client];
        who.stage = Stage::Idle;
        let node = who.node;
        self.fleet.sides[node].clients.remove(&client);
    }

    /// The same, and the node is told; the client comes again.
    fn over(&mut self, client: usize, serial: u32, event: Option<Event>, after: Option<u64>) {
        let node = self.fleet.clients[client].node;
        let there = self.fleet.sides[node].clients.contains(&client);
        self.release(client, serial);
        if let Some(event) = event.filter(|_| there) {
            self.decide(node, event);
        }
        match after {
            Some(after) => self.step(self.now + after, Step::Comes { client, fresh: false }),
            None => self.rests(client),
        }
    }

    /// What happens to a client's request; ignored where that request is over.
    pub(super) fn of_request(&mut self, client: usize, serial: u32, what: Part) {
        // Drawn whatever happens: the order of random draws is part of a run's history.
        let soon = self.soon();
        let who = &self.fleet.clients[client];
        if who.serial != serial || who.stage == Stage::Idle {
            return;
        }
        let request = OpenRequest { client, serial, node: who.node, soon };
        match what {
            Part::Asks => self.reaches_node(request),
            Part::Deadline => self.deadline_passes(request),
            Part::GivesUp => self.client_gives_up(request),
            Part::Reaches { attempt, host } => self.attempt_reaches_host(request, attempt, host),
            Part::Result { attempt, outcome, receipt } => {
                self.attempt_result(request, attempt, outcome, receipt);
            }
            Part::Final { up, word, wait } => self.final_answer(request, up, word, wait),
            // On one way nothing overtakes the answer.
            Part::Broke | Part::Moved if self.answer_is_on_its_way(request) => {
                self.step(self.now + AFTER_ANSWER, of(client, serial, what));
            }
            Part::Broke => self.host_broke(request),
            Part::Silent { by_client } => self.falls_silent(request, by_client),
            Part::Moved => self.client_migrates(request),
            Part::Leaves => {
                self.closed(client, "left");
                self.over(client, serial, Some(Event::ClientDisconnected(request.id())), None);
            }
        }
    }

    fn answer_is_on_its_way(&self, request: OpenRequest) -> bool {
        let who = &self.fleet.clients[request.client];
        matches!(who.stage, Stage::Up(_)) && !who.told
    }

    fn reaches_node(&mut self, request: OpenRequest) {
        let OpenRequest { client, serial, node, soon } = request;
        let who = &self.fleet.clients[client];
        let side = &mut self.fleet.sides[node];
        if side.life != who.life {
            // It went down in between; one that was told to stop still answers what knocks.
            if side.stopped {
                self.answered(client, "busy", None);
            } else {
                self.closed(client, "reset");
            }
            return self.over(client, serial, None, Some(soon));
        }
        side.clients.insert(client);
        let kind = &self.plan.clients[who.class];
        let event = Event::Request(Request {
            id: request.id(),
            class: who.class as u16,
            group: None,
            expected_load: None,
            time_remaining: Micros(kind.wait_ms * 1_000),
            key: None,
            mid_flow: false,
        });
        self.decide(node, event);
    }

    fn deadline_passes(&mut self, request: OpenRequest) {
        let OpenRequest { client, serial, node, .. } = request;
        let at_node = self.fleet.sides[node].clients.contains(&client);
        if let Stage::Trying(host) = self.fleet.clients[client].stage
            && at_node
        {
            self.off_host(client, serial);
            self.fleet.clients[client].stage = Stage::Asking;
            self.decide(node, request.ended(host, Outcome::Timeout, false));
        }
    }

    fn client_gives_up(&mut self, request: OpenRequest) {
        let OpenRequest { client, serial, soon, .. } = request;
        if !self.fleet.clients[client].told {
            self.write(Line::GaveUp { id: name(client, serial) });
            self.over(client, serial, Some(Event::ClientDisconnected(request.id())), Some(soon));
        }
    }

    fn attempt_reaches_host(&mut self, request: OpenRequest, attempt: u32, host: usize) {
        let OpenRequest { client, serial, node, .. } = request;
        let who = &self.fleet.clients[client];
        if who.stage != Stage::Trying(host) || who.attempt != attempt {
            return;
        }
        let (load, it) = (who.load, &mut self.fleet.hosts[host]);
        if it.up && it.silent {
            return;
        }
        let set_up = if it.up { it.takes(self.now, (client, serial), node, load) } else { None };
        let outcome = match set_up {
            Some(_) => Outcome::Ok,
            None if it.up => Outcome::Rejected,
            None => Outcome::ConnectFailed,
        };
        let receipt = set_up.map(|_| self.next_receipt(host));
        if let Some(receipt) = receipt.clone() {
            self.write(Line::Executed { host, id: name(client, serial), receipt });
        }
        if let Some(way) = self.way(Party::Host(host), Party::Node(node)) {
            let part = Part::Result { attempt, outcome, receipt };
            self.step(self.now + set_up.unwrap_or(0) + way, of(client, serial, part));
        }
    }

    fn next_receipt(&mut self, host: usize) -> String {
        self.fleet.receipts += 1;
        format!("{host:02x}{:010x}", self.fleet.receipts)
    }

    fn attempt_result(
        &mut self,
        request: OpenRequest,
        attempt: u32,
        outcome: Outcome,
        receipt: Option<String>,
    ) {
        let OpenRequest { client, serial, node, .. } = request;
        let who = &self.fleet.clients[client];
        let Stage::Trying(host) = who.stage else { return };
        if who.attempt != attempt || !self.fleet.sides[node].clients.contains(&client) {
            return;
        }
        if outcome != Outcome::Ok {
            self.fleet.clients[client].stage = Stage::Asking;
            return self.decide(node, request.ended(host, outcome, false));
        }
        let (load, latency) = (who.load, Micros(self.now - who.opened));
        self.fleet.clients[client].stage = Stage::Up(host);
        self.decide(node, Event::Established { id: request.id(), latency });
        if load > 0.0 {
            self.decide(node, Event::LoadReported(request.id(), load));
        }
        if let Some(way) = self.way(Party::Node(node), Party::Clients) {
            let part = Part::Final { up: receipt, word: "up", wait: 0 };
            self.step(self.now + way, of(client, serial, part));
        }
    }

    fn final_answer(&mut self, request: OpenRequest, up: Option<String>, word: &'static str, wait: u64) {
        let OpenRequest { client, serial, soon, .. } = request;
        self.answered(client, word, up.clone());
        if up.is_none() {
            let after = wait.max(soon).min(LONGEST_REST);
            return self.over(client, serial, None, Some(after));
        }
        let who = &mut self.fleet.clients[client];
        (who.told, who.served) = (true, self.now);
        let (till, took) = (who.till.max(self.now + 1), (self.now - who.opened) as f32 / 1e6);
        self.fleet.traffic.setup_latencies_s.push(took);
        self.step(till, of(client, serial, Part::Leaves));
    }

    fn host_broke(&mut self, request: OpenRequest) {
        let OpenRequest { client, serial, node, soon } = request;
        let who = &self.fleet.clients[client];
        match who.stage {
            Stage::Trying(host) if !who.told => {
                self.off_host(client, serial);
                self.fleet.clients[client].stage = Stage::Asking;
                self.decide(node, request.ended(host, Outcome::Reset, false));
            }
            Stage::Up(host) => {
                self.closed(client, "end");
                let event = request.ended(host, Outcome::Reset, true);
                self.over(client, serial, Some(event), Some(soon));
            }
            _ => {}
        }
    }

    fn falls_silent(&mut self, request: OpenRequest, by_client: bool) {
        let OpenRequest { client, serial, soon, .. } = request;
        if let Stage::Up(host) = self.fleet.clients[client].stage {
            self.closed(client, if by_client { "silent" } else { "move" });
            let left = Event::ClientDisconnected(request.id());
            let event = if by_client { left } else { request.ended(host, Outcome::Reset, true) };
            self.over(client, serial, Some(event), Some(soon));
        }
    }

    fn client_migrates(&mut self, request: OpenRequest) {
        let OpenRequest { client, serial, soon, .. } = request;
        if let Stage::Up(host) = self.fleet.clients[client].stage {
            self.closed(client, "move");
            let event = request.ended(host, Outcome::Cancelled, true);
            self.over(client, serial, Some(event), Some(soon));
        }
    }
}

/// A request that is not over.
#[derive(Clone, Copy)]
struct OpenRequest {
    client: usize,
    serial: u32,
    node: usize,
    /// After how long its client would come again, microseconds.
    soon: u64,
}

impl OpenRequest {
    fn id(self) -> RequestId {
        request_id(self.client, self.serial)
    }

    fn ended(self, host: usize, outcome: Outcome, closed: bool) -> Event {
        Event::Ended { id: self.id(), server: server_id(host), outcome, closed, report: Vec::new() }
    }
}

/// A request's name in the history.
fn name(client: usize, serial: u32) -> String {
    format!("{:08x}{serial:08x}", client + 1)
}
