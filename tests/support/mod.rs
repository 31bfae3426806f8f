//! Shared test support: settings, shorthand for events, and a checker of all actions. The rules that it
//! checks: requests are sent only to servers that the endpoint list allows; each request has at most one
//! attempt at a time and is answered exactly once; a request that may have been executed is retried only as
//! its class allows; the limits of attempts, retries and other settings are kept.
#![allow(dead_code, reason = "each test file uses only some of the items")]

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
struct RequestState {
    class: u16,
    attempts: u32,
    attempt_at: Option<ServerId>,
    /// First attempt that may have been executed.
    first_execution: Option<(ServerId, Micros)>,
    sent: Micros,
    open: bool,
}

/// A node under test with its requests. Checks the rules on each action.
pub struct Node {
    pub policy: Policy,
    pub now: Micros,
    pub settings: BalancerSettings,
    requests: BTreeMap<RequestId, RequestState>,
    ended: BTreeSet<RequestId>,
    listed: BTreeMap<ServerId, Endpoint>,
    sends_while_warming_up: BTreeMap<ServerId, Vec<Micros>>,
    pub timers: Vec<(Micros, TimerToken)>,
    /// Actions of the last event.
    pub last: Vec<Action>,
    /// Migrated connections whose end has not been reported yet.
    migrating: Vec<(RequestId, ServerId)>,
    /// Times of admitted requests and of retries.
    admitted_at: Vec<Micros>,
    retries_at: Vec<Micros>,
    /// Servers listed as draining and not as ready since.
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
            requests: BTreeMap::new(),
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

    /// Reports an endpoint list to the policy.
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

    /// Reports an event to the policy, and checks the resulting actions.
    pub fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        self.check(actions);
    }

    pub fn send_request(&mut self, request: Request) {
        self.requests.insert(request.id, RequestState { class: request.class, ..RequestState::default() });
        self.admitted_at.push(self.now);
        self.event(Event::Request(request));
    }

    /// Reports an existing connection at a server.
    pub fn open(&mut self, id: u64, server: u64) {
        self.open_as(request(id), server);
    }

    /// Reports an existing connection of this request at a server.
    pub fn open_as(&mut self, request: Request, server: u64) {
        let state =
            RequestState { attempt_at: Some(ServerId(server)), open: true, ..RequestState::default() };
        self.requests.insert(request.id, state);
        self.event(Event::ExistingConnection(request, ServerId(server)));
    }

    /// Reports that the attempt in flight was established, after 10 ms.
    pub fn establish(&mut self, id: u64) {
        self.establish_after(id, ms(10));
    }

    /// Reports that the attempt in flight was established after this time.
    pub fn establish_after(&mut self, id: u64, latency: Micros) {
        if let Some(state) = self.requests.get_mut(&RequestId(id))
            && let Some(server) = state.attempt_at
        {
            state.open = true;
            state.first_execution.get_or_insert((server, state.sent));
            self.event(Event::Established { id: RequestId(id), latency });
        }
    }

    /// Reports the end of the attempt in flight or of the connection.
    pub fn end(&mut self, id: u64, outcome: Outcome) {
        let id = RequestId(id);
        let Some(state) = self.requests.get_mut(&id) else { return };
        let Some(server) = state.attempt_at.take() else { return };
        if outcome.may_have_executed() {
            state.first_execution.get_or_insert((server, state.sent));
        }
        let closed = state.open || outcome == Outcome::Ok;
        if closed {
            self.requests.remove(&id);
            self.ended.insert(id);
        }
        self.event(Event::Ended { id, server, outcome, closed, report: Vec::new() });
    }

    pub fn disconnect_client(&mut self, id: u64) {
        if self.requests.remove(&RequestId(id)).is_some() {
            self.ended.insert(RequestId(id));
        }
        self.event(Event::ClientDisconnected(RequestId(id)));
    }

    /// Advances the time and handles each timer when it expires.
    pub fn pass(&mut self, span: Micros) {
        let until = self.now + span;
        while let Some(i) = (0..self.timers.len()).min_by_key(|&i| self.timers[i].0) {
            if self.timers[i].0 > until {
                break;
            }
            let (at, token) = self.timers.remove(i);
            self.now = self.now.max(at);
            self.event(Event::Timer(token));
            let last = self.last.clone();
            for (id, server) in std::mem::take(&mut self.migrating) {
                let (outcome, closed, report) = (Outcome::Cancelled, true, Vec::new());
                self.event(Event::Ended { id, server, outcome, closed, report });
            }
            self.last = last;
        }
        self.now = until;
    }

    /// Returns the server of the attempt in flight or of the connection.
    pub fn server_of(&self, id: u64) -> Option<u64> {
        self.requests.get(&RequestId(id)).and_then(|state| state.attempt_at).map(|server| server.0)
    }

    pub fn has_request(&self, id: u64) -> bool {
        self.requests.contains_key(&RequestId(id))
    }

    /// Returns the Retry-After time, if any, with which the last event rejected the request; the outer option
    /// is `None` if it did not.
    pub fn rejected(&self, id: u64) -> Option<Option<Micros>> {
        self.last.iter().find_map(|action| match action {
            Action::Reject(r, wait) if r.0 == id => Some(*wait),
            _ => None,
        })
    }

    /// Returns the connections that the last event migrated.
    pub fn migrations(&self) -> Vec<u64> {
        let migrated = |action: &Action| match action {
            Action::Migrate(id) => Some(id.0),
            _ => None,
        };
        self.last.iter().filter_map(migrated).collect()
    }

    /// Returns the times of the attempts at a server during its warm-up.
    pub fn sends_while_warming_up(&self, server: u64) -> &[Micros] {
        self.sends_while_warming_up.get(&ServerId(server)).map_or(&[], Vec::as_slice)
    }

    /// Places `n` connections with ids from `first` on, and establishes them.
    pub fn fill(&mut self, first: u64, n: u64) {
        for id in first..first + n {
            self.send_request(request(id));
            self.establish(id);
        }
    }

    fn check(&mut self, actions: Vec<Action>) {
        for action in &actions {
            match action {
                Action::Forward(id, server, timeout) => self.check_send(*id, *server, *timeout),
                Action::Reject(id, wait) => {
                    assert!(
                        self.settings.retry_after_allowed || wait.is_none(),
                        "a Retry-After time where none is allowed"
                    );
                    assert!(wait.is_none_or(|w| w <= self.settings.max_retry_after));
                    let state = self.answer(*id);
                    let class = &self.settings.classes[usize::from(state.class)];
                    let repeated_at = self.now + wait.unwrap_or_default();
                    let safe_to_retry = match (class.idempotency, state.first_execution) {
                        (_, None) | (Idempotency::Idempotent, _) => true,
                        (Idempotency::Deduplicated(DedupScope::All), Some((_, sent))) => {
                            repeated_at < sent + class.dedup_window
                        }
                        _ => false,
                    };
                    assert!(safe_to_retry, "rejected {id:?}, which may have been executed");
                }
                Action::Fail(id) => {
                    self.answer(*id);
                }
                Action::Migrate(id) => {
                    let state = self.requests.remove(id).expect("a known connection");
                    assert!(state.open, "migrated {id:?}, which is not open");
                    self.migrating.extend(state.attempt_at.map(|server| (*id, server)));
                    self.ended.insert(*id);
                }
                Action::SetTimer(after, token) => self.timers.push((self.now + *after, *token)),
                Action::Probe(_) => assert!(self.settings.probes_allowed),
                Action::Broadcast(data) => assert!(self.settings.gossip_allowed && data.len() <= 256),
                Action::WatchEndpoints => assert!(self.settings.must_subscribe),
                Action::Log(_, line) => assert!(line.len() < 200),
            }
        }
        for (id, state) in &self.requests {
            let waits_for_probe = || self.timers.iter().any(|(_, token)| token.0 == id.0 | 1 << 63);
            assert!(
                state.attempt_at.is_some() || waits_for_probe(),
                "{id:?} has neither an answer nor an attempt"
            );
            // After an event since the decision, an attempt may only be sent if the rules still
            // allow it.
            if let Some(server) =
                state.attempt_at.filter(|_| !state.open && self.policy.may_still_send(self.now, *id))
            {
                self.check_allowed(*id, server);
            }
        }
        self.last = actions;
    }

    /// Records that a request is answered or fails, which may happen once and not during an attempt.
    fn answer(&mut self, id: RequestId) -> RequestState {
        let state = self.requests.remove(&id).unwrap_or_else(|| panic!("{id:?} answered, but unknown"));
        assert!(state.attempt_at.is_none(), "{id:?} answered with an attempt in flight");
        assert!(self.ended.insert(id), "{id:?} answered twice");
        state
    }

    fn check_send(&mut self, id: RequestId, server: ServerId, timeout: Option<Micros>) {
        assert!(!self.ended.contains(&id), "sent {id:?} after its end");
        assert!(timeout.is_none_or(|t| t > Micros(0)));
        self.check_allowed(id, server);
        let entry = self.listed[&server];
        let state = self.requests.get_mut(&id).unwrap_or_else(|| panic!("{id:?} sent, but unknown"));
        assert!(state.attempt_at.is_none(), "two attempts of {id:?} at once");
        state.attempts += 1;
        if let Some(budget) = self.settings.retry_budget.filter(|_| state.attempts > 1) {
            // An independent count. An event exactly one window ago is excluded for requests and
            // included for retries.
            self.retries_at.push(self.now);
            let retries = self.retries_at.iter().filter(|&&at| at + budget.window >= self.now).count() as f64;
            let admitted =
                self.admitted_at.iter().filter(|&&at| at + budget.window > self.now).count() as f64;
            let allowed = budget.min_retries + budget.retry_ratio * admitted;
            assert!(retries <= allowed, "{retries} retries where {allowed} are allowed");
        }
        assert!(state.attempts <= self.settings.max_attempts);
        state.attempt_at = Some(server);
        state.sent = self.now;
        if entry.started.is_some_and(|started| self.now < started + self.settings.warm_up) {
            self.sends_while_warming_up.entry(server).or_default().push(self.now);
        }
    }

    /// Checks that the list and the effects of earlier attempts allow a request to be sent to a
    /// server.
    fn check_allowed(&self, id: RequestId, server: ServerId) {
        let entry = *self.listed.get(&server).expect("a listed server");
        let advisory = self.settings.removal_is_advisory && entry.state == EndpointState::Removed;
        let available = entry.state == EndpointState::Ready || (advisory && !self.draining.contains(&server));
        assert!(available, "sent to {server}, which is not ready");
        let state = self.requests.get(&id).unwrap_or_else(|| panic!("{id:?} sent, but unknown"));
        let class = &self.settings.classes[usize::from(state.class)];
        if let Some((first, sent)) = state.first_execution {
            let first = self.listed[&first];
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => panic!("{id:?} sent again though it may have been executed"),
                Idempotency::Deduplicated(scope) => {
                    assert!(
                        self.now < sent + class.dedup_window,
                        "{id:?} sent again after its deduplication window"
                    );
                    assert!(match scope {
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

/// Passes `n` periods and returns all migrated connections.
pub fn pass_periods(node: &mut Node, n: u64) -> Vec<u64> {
    let mut migrated = Vec::new();
    for _ in 0..n * 10 {
        node.last.clear();
        node.pass(ms(100));
        migrated.extend(node.migrations());
    }
    migrated
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
