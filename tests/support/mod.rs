//! What the tests share: settings, shorthand for events, and a checker of the four rules on actions.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet};

use alderstile::policy::Policy;
use alderstile::types::*;

pub fn ms(ms: u64) -> Micros {
    Micros::from_millis(ms)
}

pub fn class(idempotency: Idempotency) -> ClassSettings {
    ClassSettings {
        latency_objective: ms(300),
        priority_weight: 1.0,
        idempotency,
        dedup_window: ms(1_000),
        message_latency_objective: Some(ms(100)),
    }
}

pub fn settings() -> BalancerSettings {
    BalancerSettings {
        node_count: 2,
        node_index: None,
        zone: 0,
        classes: vec![class(Idempotency::Idempotent)],
        must_subscribe: false,
        max_poll_interval: ms(10_000),
        max_attempts: 3,
        retry_after_allowed: true,
        max_retry_after: ms(1_000),
        probes_allowed: false,
        gossip_allowed: false,
        weight_meaning: WeightMeaning::Ignored,
        servers_report_delay: true,
        migrate_from_draining: false,
        groups: false,
        group_load: 3.0,
        report_fields: Vec::new(),
        warm_up: ms(10_000),
        warm_up_initial_capacity: 0.25,
        overload_multiple: 3.0,
        overload_window: ms(2_000),
        retry_budget: None,
        deadline_tolerance: ms(0),
        removal_is_advisory: false,
        start_time_tolerance: ms(0),
        drain_grace: ms(0),
        costs: Costs::default(),
        tenants: Vec::new(),
        cpu_us_per_s: None,
    }
}

pub fn entry(id: u64) -> Endpoint {
    Endpoint {
        id: ServerId(id),
        zone: (id % 2) as u16,
        cell: (id % 3) as u16,
        state: EndpointState::Ready,
        weight: 1.0,
        started: None,
        joined: None,
    }
}

pub fn request(id: u64) -> Request {
    Request {
        id: RequestId(id),
        class: 0,
        group: None,
        expected_load: None,
        time_remaining: ms(1_200),
        key: None,
        mid_flow: false,
    }
}

#[derive(Default, Debug)]
struct Held {
    class: u16,
    attempts: u32,
    attempt_at: Option<ServerId>,
    /// The first attempt that may have run.
    first_run: Option<(ServerId, Micros)>,
    sent: Micros,
    open: bool,
}

/// A node under test, the requests it owes, and the rules checked on each action.
pub struct Node {
    pub policy: Policy,
    pub now: Micros,
    pub settings: BalancerSettings,
    held: BTreeMap<RequestId, Held>,
    ended: BTreeSet<RequestId>,
    listed: BTreeMap<ServerId, Endpoint>,
    sends_while_warming_up: BTreeMap<ServerId, Vec<Micros>>,
    pub timers: Vec<(Micros, TimerToken)>,
    pub last: Vec<Action>,
    /// Connections that were moved and whose end is still to be told.
    migrating: Vec<(RequestId, ServerId)>,
    /// When requests were taken, and when attempts beyond their first were sent.
    admitted_at: Vec<Micros>,
    retries_at: Vec<Micros>,
    /// Servers that were told to drain and not to be ready since.
    draining: BTreeSet<ServerId>,
}

impl Node {
    pub fn new(settings: BalancerSettings, servers: u64) -> Self {
        Self::with_seed(settings, servers, 7)
    }

    pub fn with_seed(settings: BalancerSettings, servers: u64, seed: u64) -> Self {
        let now = ms(1_000_000);
        let mut actions = Vec::new();
        let mut policy = Policy::new(settings.clone(), seed, now);
        policy.start(&mut actions);
        let mut node = Node {
            policy,
            now,
            settings,
            held: BTreeMap::new(),
            ended: BTreeSet::new(),
            listed: BTreeMap::new(),
            sends_while_warming_up: BTreeMap::new(),
            timers: Vec::new(),
            last: Vec::new(),
            migrating: Vec::new(),
            admitted_at: Vec::new(),
            retries_at: Vec::new(),
            draining: BTreeSet::new(),
        };
        node.check(actions);
        node.list(EndpointListKind::Full, (1..=servers).map(entry).collect());
        node
    }

    pub fn list(&mut self, kind: EndpointListKind, entries: Vec<Endpoint>) {
        if matches!(kind, EndpointListKind::Full | EndpointListKind::Cached) {
            self.listed.values_mut().for_each(|e| e.state = EndpointState::Removed);
        }
        for entry in &entries {
            self.listed.insert(entry.id, *entry);
            match entry.state {
                EndpointState::Draining => self.draining.insert(entry.id),
                EndpointState::Ready => self.draining.remove(&entry.id),
                EndpointState::Removed | EndpointState::Cordoned => false,
            };
        }
        self.event(Event::EndpointList(kind, entries));
    }

    pub fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        self.check(actions);
    }

    pub fn send_request(&mut self, request: Request) {
        self.held.insert(request.id, Held { class: request.class, ..Held::default() });
        self.admitted_at.push(self.now);
        self.event(Event::Request(request));
    }

    pub fn open(&mut self, id: u64, server: u64) {
        self.open_as(request(id), server);
    }

    pub fn open_as(&mut self, request: Request, server: u64) {
        let held = Held { attempt_at: Some(ServerId(server)), open: true, ..Held::default() };
        self.held.insert(request.id, held);
        self.event(Event::ExistingConnection(request, ServerId(server)));
    }

    pub fn establish(&mut self, id: u64) {
        self.establish_after(id, ms(10));
    }

    pub fn establish_after(&mut self, id: u64, latency: Micros) {
        if let Some(held) = self.held.get_mut(&RequestId(id))
            && let Some(server) = held.attempt_at
        {
            held.open = true;
            held.first_run.get_or_insert((server, held.sent));
            self.event(Event::Established { id: RequestId(id), latency });
        }
    }

    /// The end of the attempt that is out, as a server would report it.
    pub fn end(&mut self, id: u64, outcome: Outcome) {
        let id = RequestId(id);
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(server) = held.attempt_at.take() else { return };
        if outcome.may_have_executed() {
            held.first_run.get_or_insert((server, held.sent));
        }
        let closed = held.open || outcome == Outcome::Ok;
        if closed {
            self.held.remove(&id);
            self.ended.insert(id);
        }
        self.event(Event::Ended { id, server, outcome, closed, report: Vec::new() });
    }

    pub fn client_gone(&mut self, id: u64) {
        if self.held.remove(&RequestId(id)).is_some() {
            self.ended.insert(RequestId(id));
        }
        self.event(Event::ClientDisconnected(RequestId(id)));
    }

    /// Lets time pass and wakes each timer in its turn.
    pub fn pass(&mut self, span: Micros) {
        let until = self.now + span;
        while let Some(i) = (0..self.timers.len()).min_by_key(|&i| self.timers[i].0) {
            if self.timers[i].0 > until {
                break;
            }
            let (at, token) = self.timers.remove(i);
            self.now = self.now.max(at);
            self.event(Event::Timer(token));
            let told = self.last.clone();
            for (id, server) in std::mem::take(&mut self.migrating) {
                let (outcome, closed, report) = (Outcome::Cancelled, true, Vec::new());
                self.event(Event::Ended { id, server, outcome, closed, report });
            }
            self.last = told;
        }
        self.now = until;
    }

    pub fn server_of(&self, id: u64) -> Option<u64> {
        self.held.get(&RequestId(id)).and_then(|held| held.attempt_at).map(|server| server.0)
    }

    pub fn is_held(&self, id: u64) -> bool {
        self.held.contains_key(&RequestId(id))
    }

    pub fn rejected(&self, id: u64) -> Option<Option<Micros>> {
        self.last.iter().find_map(|action| match action {
            Action::Reject(r, wait) if r.0 == id => Some(*wait),
            _ => None,
        })
    }

    pub fn migrations(&self) -> Vec<u64> {
        let moved = |action: &Action| match action {
            Action::Migrate(id) => Some(id.0),
            _ => None,
        };
        self.last.iter().filter_map(moved).collect()
    }

    pub fn sends_while_warming_up(&self, server: u64) -> &[Micros] {
        self.sends_while_warming_up.get(&ServerId(server)).map_or(&[], Vec::as_slice)
    }

    /// Lands `n` connections from id `first` on and establishes them.
    pub fn fill(&mut self, first: u64, n: u64) {
        for id in first..first + n {
            self.send_request(request(id));
            self.establish(id);
        }
    }

    fn check(&mut self, actions: Vec<Action>) {
        for action in &actions {
            match action {
                Action::Forward(id, server, time_out) => self.check_send(*id, *server, *time_out),
                Action::Reject(id, wait) => {
                    assert!(
                        self.settings.retry_after_allowed || wait.is_none(),
                        "a retry-after where none is allowed"
                    );
                    assert!(wait.is_none_or(|w| w <= self.settings.max_retry_after));
                    let held = self.answer(*id);
                    let class = &self.settings.classes[usize::from(held.class)];
                    let harmless = match class.idempotency {
                        Idempotency::Idempotent | Idempotency::Deduplicated(DedupScope::All) => true,
                        _ => held.first_run.is_none(),
                    };
                    assert!(harmless, "refused {id:?}, which may have run");
                }
                Action::Fail(id) => {
                    self.answer(*id);
                }
                Action::Migrate(id) => {
                    let held = self.held.remove(id).expect("a connection that is held");
                    assert!(held.open, "moved {id:?}, which is not open");
                    self.migrating.extend(held.attempt_at.map(|server| (*id, server)));
                    self.ended.insert(*id);
                }
                Action::SetTimer(after, token) => self.timers.push((self.now + *after, *token)),
                Action::Probe(_) => assert!(self.settings.probes_allowed),
                Action::Broadcast(data) => assert!(self.settings.gossip_allowed && data.len() <= 256),
                Action::WatchEndpoints => assert!(self.settings.must_subscribe),
                Action::Log(_, line) => assert!(line.len() < 200),
            }
        }
        for (id, held) in &self.held {
            let looks = || self.timers.iter().any(|(_, token)| token.0 == id.0 | 1 << 63);
            assert!(held.attempt_at.is_some() || looks(), "{id:?} is neither answered nor out");
            // What came since it was decided must not go out any more, once its connection is up.
            if let Some(server) =
                held.attempt_at.filter(|_| !held.open && self.policy.may_still_send(self.now, *id))
            {
                self.check_allowed(*id, server);
            }
        }
        self.last = actions;
    }

    fn answer(&mut self, id: RequestId) -> Held {
        let held = self.held.remove(&id).unwrap_or_else(|| panic!("{id:?} answered though not held"));
        assert!(held.attempt_at.is_none(), "{id:?} answered with an attempt out");
        assert!(self.ended.insert(id), "{id:?} answered twice");
        held
    }

    fn check_send(&mut self, id: RequestId, server: ServerId, time_out: Option<Micros>) {
        assert!(!self.ended.contains(&id), "sent {id:?} after its end");
        assert!(time_out.is_none_or(|t| t > Micros(0)));
        self.check_allowed(id, server);
        let entry = self.listed[&server];
        let held = self.held.get_mut(&id).unwrap_or_else(|| panic!("{id:?} sent though not held"));
        assert!(held.attempt_at.is_none(), "two attempts of {id:?} at once");
        held.attempts += 1;
        if let Some(budget) = self.settings.retry_budget.filter(|_| held.attempts > 1) {
            // A plain recount: what lies exactly one span back is out for requests and in for attempts.
            self.retries_at.push(self.now);
            let further = self.retries_at.iter().filter(|&&at| at + budget.window >= self.now).count() as f64;
            let taken = self.admitted_at.iter().filter(|&&at| at + budget.window > self.now).count() as f64;
            let allowed = budget.min_retries + budget.retry_ratio * taken;
            assert!(further <= allowed, "{further} further attempts where {allowed} are allowed");
        }
        assert!(held.attempts <= self.settings.max_attempts);
        held.attempt_at = Some(server);
        held.sent = self.now;
        if entry.started.is_some_and(|started| self.now < started + self.settings.warm_up) {
            self.sends_while_warming_up.entry(server).or_default().push(self.now);
        }
    }

    /// Whether the list, and what an attempt may have done before, let a request go to a server now.
    fn check_allowed(&self, id: RequestId, server: ServerId) {
        let entry = *self.listed.get(&server).expect("a server of the list");
        let advice = self.settings.removal_is_advisory && entry.state == EndpointState::Removed;
        let free = entry.state == EndpointState::Ready || (advice && !self.draining.contains(&server));
        assert!(free, "sent to {server}, which is not ready");
        let held = self.held.get(&id).unwrap_or_else(|| panic!("{id:?} sent though not held"));
        let class = &self.settings.classes[usize::from(held.class)];
        if let Some((first, sent)) = held.first_run {
            let first = self.listed[&first];
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => panic!("{id:?} sent again though it may have run"),
                Idempotency::Deduplicated(group) => {
                    assert!(self.now < sent + class.dedup_window, "{id:?} sent again after its window");
                    assert!(match group {
                        DedupScope::All => true,
                        DedupScope::Zone => first.zone == entry.zone,
                        DedupScope::Cell => first.cell == entry.cell,
                    });
                }
            }
        }
    }
}

pub fn report_load(node: &mut Node, id: u64, load: f64) {
    node.event(Event::LoadReported(RequestId(id), load));
}

pub fn report_delay(node: &mut Node, server: u64, span_ms: f64) {
    node.event(Event::DelayReported(ServerId(server), span_ms));
}

/// Passes `n` periods and returns all connections moved.
pub fn pass_periods(node: &mut Node, n: u64) -> Vec<u64> {
    let mut moved = Vec::new();
    for _ in 0..n * 10 {
        node.last.clear();
        node.pass(ms(100));
        moved.extend(node.migrations());
    }
    moved
}

pub fn connections_by_server(node: &Node, ids: std::ops::Range<u64>) -> BTreeMap<u64, usize> {
    let mut counts = BTreeMap::new();
    for server in ids.filter_map(|id| node.server_of(id)) {
        *counts.entry(server).or_insert(0) += 1;
    }
    counts
}

pub fn probed_servers(node: &Node) -> Vec<u64> {
    let probed = |action: &Action| match action {
        Action::Probe(server) => Some(server.0),
        _ => None,
    };
    node.last.iter().filter_map(probed).collect()
}
