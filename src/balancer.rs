//! Interface to the policy for a program that serves connections.
//!
//! The program asks where to place each request, reports the results and calls
//! [`Balancer::handle_timeout`] when a timer is due. A [`Balancer`] manages timers and request ids
//! and receives the current time as an argument. Every decision is made by the [`Policy`].

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use crate::load_signal::{LoadSignal, LoadSignalClassifier};
use crate::maintenance::MaintenanceOverlay;
use crate::policy::Policy;
use crate::shadow::{Differences, Shadow};
use crate::types::{
    Action, BalancerSettings, Endpoint, EndpointListKind, Event, GroupId, Micros, Outcome, Request,
    RequestId, RetryBudgetBucket, ServerId, TimerToken,
};

/// A client's request for a connection, without the id that the balancer assigns.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionRequest {
    /// Class of the request, as an index into [`BalancerSettings::classes`].
    pub class: u16,
    /// Group of the request, if its connections share work.
    pub group: Option<GroupId>,
    /// Idempotency key, which a client reuses when it repeats a request.
    pub key: Option<u64>,
    /// Expected load of the connection, in microseconds of CPU work per second.
    pub expected_load: Option<f64>,
    /// Time within which the node has to answer.
    pub time_remaining: Micros,
}

/// Decision on a request that has no final answer yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Forward the request to this server. The attempt ends after the given timeout or, without
    /// one, at the client's deadline.
    Forward(ServerId, Option<Micros>),
    /// Answer that the request was rejected without effect and is safe to retry, no earlier than
    /// the Retry-After time if one is given.
    Reject(Option<Micros>),
    /// Answer that the request failed and may have had an effect.
    Fail,
}

/// A log line written by the policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Server that the line is about, if any.
    pub server: Option<ServerId>,
    /// Text of the line.
    pub text: String,
}

/// Pending effects that are not the verdict on a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PendingWork {
    /// Connections whose clients are asked to reconnect.
    pub migrations: Vec<RequestId>,
    /// Whether the endpoint list has to be subscribed to.
    pub watch_endpoints: bool,
    /// Messages to send to all other nodes.
    pub broadcasts: Vec<Vec<u8>>,
    /// Log lines to write.
    pub log_lines: Vec<LogLine>,
}

/// Adapts the settings to a node that serves real connections. Probes are disabled, because probing
/// a real server would require a client's connection. Connections are migrated from draining
/// servers, because a client may notice late that its server has stopped.
fn node_settings(settings: BalancerSettings) -> BalancerSettings {
    BalancerSettings { probes_allowed: false, migrate_from_draining: true, ..settings }
}

/// Creates a classifier if servers report delays, because delay reports have the same form as load
/// reports.
fn classifier(settings: &BalancerSettings) -> Option<LoadSignalClassifier> {
    settings.servers_report_delay.then(LoadSignalClassifier::default)
}

/// The policy of one node with its timers, its maintenance overlay and an optional shadow instance.
pub struct Balancer {
    policy: Policy,
    shadow: Option<Shadow>,
    classifier: Option<LoadSignalClassifier>,
    maintenance: MaintenanceOverlay,
    timers: BinaryHeap<Reverse<(Micros, TimerToken)>>,
    last_id: u64,
    actions: Vec<Action>,
    pending: PendingWork,
}

impl Balancer {
    /// Creates a balancer without connections.
    pub fn new(settings: BalancerSettings, seed: u64, now: Micros) -> Self {
        let settings = node_settings(settings);
        let mut balancer = Balancer {
            classifier: classifier(&settings),
            policy: Policy::new(settings, seed, now),
            shadow: None,
            maintenance: MaintenanceOverlay::default(),
            timers: BinaryHeap::new(),
            last_id: 0,
            actions: Vec::new(),
            pending: PendingWork::default(),
        };
        balancer.policy.start(&mut balancer.actions);
        balancer.dispatch_actions(now);
        balancer
    }

    /// Creates a balancer without connections, and a shadow instance if settings for it are given.
    pub fn with_shadow(
        settings: BalancerSettings,
        shadow: Option<BalancerSettings>,
        seed: u64,
        now: Micros,
    ) -> Self {
        let shadow = shadow.map(|settings| Shadow::new(node_settings(settings), seed, now));
        Balancer { shadow, ..Self::new(settings, seed, now) }
    }

    /// Applies new settings to the policy and the shadow instance. Without shadow settings, a
    /// running shadow instance ends. No shadow instance is started: it would lack the load record
    /// of the connections so far, so a comparison would be meaningless.
    pub fn apply_settings(
        &mut self,
        now: Micros,
        settings: BalancerSettings,
        shadow: Option<BalancerSettings>,
    ) {
        let settings = node_settings(settings);
        if settings.servers_report_delay != self.classifier.is_some() {
            self.classifier = classifier(&settings);
        }
        self.policy.handle(now, Event::SettingsChanged(Box::new(settings)), &mut self.actions);
        self.dispatch_actions(now);
        self.shadow = self.shadow.take().zip(shadow).map(|(mut running, settings)| {
            running.apply_settings(now, node_settings(settings));
            running
        });
    }

    /// Stops retries in this process if there is a retry budget, and returns the budget's window
    /// for the process that takes over, with the age of each event in place of its time. Returns
    /// `None` if the window is not completely known. The two processes of one node share one
    /// budget.
    pub fn hand_over_retry_budget(&mut self, now: Micros) -> Option<Vec<RetryBudgetBucket>> {
        let buckets = self.policy.hand_over_retry_budget(now);
        let aged = |bucket: RetryBudgetBucket| RetryBudgetBucket {
            first_event: now - bucket.first_event,
            last_event: now - bucket.last_event,
            ..bucket
        };
        buckets.map(|buckets| buckets.into_iter().map(aged).collect())
    }

    /// Takes over the retry budget's window of the previous process, whose ages were computed at
    /// most `transfer_time` ago. Without a window, retries are suspended until a complete window
    /// has passed.
    pub fn take_over_retry_budget(
        &mut self,
        now: Micros,
        reported: Option<Vec<RetryBudgetBucket>>,
        transfer_time: Micros,
    ) {
        // Admitted requests expire by the first event, which may be dated too early, and retries by
        // the last event, which may be dated too late, so the count never allows more than the
        // budget.
        let dated = |bucket: RetryBudgetBucket| RetryBudgetBucket {
            first_event: now - bucket.first_event - transfer_time,
            last_event: now - bucket.last_event,
            ..bucket
        };
        let buckets = reported.map(|buckets| buckets.into_iter().map(dated).collect());
        self.policy.take_over_retry_budget(now, buckets);
    }

    /// Returns the differences counted by the shadow instance; `None` without one.
    pub fn differences(&self) -> Option<Differences> {
        self.shadow.as_ref().map(Shadow::differences)
    }

    /// Decides where to place a client's request. The returned id identifies the request in later
    /// calls.
    pub fn place(&mut self, now: Micros, request: ConnectionRequest) -> (RequestId, Verdict) {
        let request = self.assign_id(request);
        let verdict = self.handle_event(now, Event::Request(request));
        // Without probes, every request is forwarded or answered at once.
        (request.id, verdict.unwrap_or(Verdict::Fail))
    }

    /// Records a connection that is already open at a server.
    pub fn adopt_connection(
        &mut self,
        now: Micros,
        request: ConnectionRequest,
        server: ServerId,
    ) -> RequestId {
        let request = self.assign_id(request);
        self.handle_event(now, Event::ExistingConnection(request, server));
        request.id
    }

    /// Returns whether the attempt in flight may still be forwarded after its connection to the
    /// server was established.
    pub fn may_forward(&self, now: Micros, id: RequestId) -> bool {
        self.policy.may_still_send(now, id)
    }

    /// Reports that the attempt in flight became a connection.
    pub fn on_established(&mut self, now: Micros, id: RequestId, latency: Micros) {
        self.handle_event(now, Event::Established { id, latency });
    }

    /// Reports that the attempt in flight failed, and returns what to do next with the request.
    pub fn on_attempt_failed(
        &mut self,
        now: Micros,
        id: RequestId,
        server: ServerId,
        outcome: Outcome,
    ) -> Verdict {
        let event = Event::Ended { id, server, outcome, closed: false, report: Vec::new() };
        self.handle_event(now, event).unwrap_or(Verdict::Fail)
    }

    /// Reports that a connection was ended by its server, or because its client was asked to
    /// reconnect.
    pub fn on_connection_ended(&mut self, now: Micros, id: RequestId, server: ServerId, outcome: Outcome) {
        self.remove_from_classifier(id);
        self.handle_event(now, Event::Ended { id, server, outcome, closed: true, report: Vec::new() });
    }

    /// Reports that the client disconnected. No answer is needed any more.
    pub fn on_client_disconnected(&mut self, now: Micros, id: RequestId) {
        self.remove_from_classifier(id);
        self.handle_event(now, Event::ClientDisconnected(id));
    }

    /// Reports a value that a server sent on a connection. It is the connection's load in
    /// microseconds of CPU work per second or, where servers report delays, possibly the server's
    /// message delay in milliseconds, which has the same form.
    pub fn on_load_report(&mut self, now: Micros, id: RequestId, server: ServerId, value: f64) {
        let signal = match &mut self.classifier {
            Some(classifier) => classifier.classify(now, id, server, value),
            None => Some(LoadSignal::Load(id, value)),
        };
        if let Some(signal) = signal {
            self.handle_signal(now, signal);
        }
    }

    fn handle_signal(&mut self, now: Micros, signal: LoadSignal) {
        let event = match signal {
            LoadSignal::Load(id, load) => Event::LoadReported(id, load),
            LoadSignal::Delay(server, ms) => Event::DelayReported(server, ms),
        };
        self.handle_event(now, event);
    }

    fn remove_from_classifier(&mut self, id: RequestId) {
        if let Some(classifier) = &mut self.classifier {
            classifier.forget(id);
        }
    }

    /// Reports a received endpoint list, or that a call for it failed.
    pub fn on_endpoint_list(&mut self, now: Micros, kind: EndpointListKind, endpoints: Vec<Endpoint>) {
        let endpoints = self.maintenance.overlay(kind, endpoints);
        self.handle_event(now, Event::EndpointList(kind, endpoints));
    }

    /// Puts a server into maintenance. It receives no new connections from then on, whatever its
    /// listed state.
    pub fn begin_maintenance(&mut self, now: Micros, server: ServerId) {
        let change = self.maintenance.begin(server);
        self.on_maintenance_change(now, change);
    }

    /// Takes a server out of maintenance as of `since`. It returns to its listed state and warms up
    /// from that time on.
    pub fn end_maintenance(&mut self, now: Micros, server: ServerId, since: Micros) {
        let change = self.maintenance.end(since, server);
        self.on_maintenance_change(now, change);
    }

    fn on_maintenance_change(&mut self, now: Micros, change: Option<Endpoint>) {
        if let Some(endpoint) = change {
            self.handle_event(now, Event::EndpointList(EndpointListKind::Delta, vec![endpoint]));
        }
    }

    /// Returns the servers in maintenance and the listed servers.
    pub fn maintenance(&self) -> &MaintenanceOverlay {
        &self.maintenance
    }

    /// Returns the number of listed servers that are draining, in maintenance, ejected or have a
    /// high message delay.
    pub fn unavailable_server_count(&self, now: Micros) -> usize {
        self.policy.avoided_server_count(now)
    }

    /// Returns the servers that this node could not reach, that rejected requests or that dropped
    /// all connections, and with which no setup has succeeded since.
    pub fn unreachable_servers(&self) -> BTreeSet<ServerId> {
        self.policy.unreachable_servers()
    }

    /// Reports a message from another node.
    pub fn on_peer_message(&mut self, now: Micros, from: u32, data: Vec<u8>) {
        self.handle_event(now, Event::PeerMessage(from, data));
    }

    /// Handles all timers that are due and returns the pending work.
    pub fn handle_timeout(&mut self, now: Micros) -> PendingWork {
        while let Some(&Reverse((due, token))) = self.timers.peek()
            && due <= now
        {
            self.timers.pop();
            self.handle_event(now, Event::Timer(token));
        }
        let expired = self.classifier.as_mut().map(|classifier| classifier.take_expired(now));
        for signal in expired.into_iter().flatten() {
            self.handle_signal(now, signal);
        }
        std::mem::take(&mut self.pending)
    }

    /// Returns when [`Balancer::handle_timeout`] is due next. Any other call can make it due
    /// earlier, even immediately.
    pub fn poll_timeout(&self) -> Option<Micros> {
        if self.pending != PendingWork::default() {
            return Some(Micros(0));
        }
        let timer = self.timers.peek().map(|Reverse((due, _))| *due);
        let expiry = self.classifier.as_ref().and_then(LoadSignalClassifier::next_expiry);
        timer.into_iter().chain(expiry).min()
    }

    fn assign_id(&mut self, request: ConnectionRequest) -> Request {
        self.last_id += 1;
        Request {
            id: RequestId(self.last_id),
            class: request.class,
            group: request.group,
            expected_load: request.expected_load,
            time_remaining: request.time_remaining,
            key: request.key,
            mid_flow: false,
        }
    }

    fn handle_event(&mut self, now: Micros, event: Event) -> Option<Verdict> {
        let shadow_event = self.shadow.as_mut().map(|shadow| {
            shadow.copy_random_state(&self.policy);
            event.clone()
        });
        self.policy.handle(now, event, &mut self.actions);
        if let (Some(shadow), Some(event)) = (&mut self.shadow, shadow_event) {
            shadow.compare(now, event, &self.actions);
        }
        self.dispatch_actions(now)
    }

    /// Dispatches the actions to the verdict, the timers and the pending work.
    fn dispatch_actions(&mut self, now: Micros) -> Option<Verdict> {
        let mut verdict = None;
        for action in self.actions.drain(..) {
            match action {
                Action::Forward(_, server, timeout) => verdict = Some(Verdict::Forward(server, timeout)),
                Action::Reject(_, retry_after) => verdict = Some(Verdict::Reject(retry_after)),
                Action::Fail(_) => verdict = Some(Verdict::Fail),
                Action::Migrate(id) => self.pending.migrations.push(id),
                Action::SetTimer(after, token) => self.timers.push(Reverse((now + after, token))),
                Action::WatchEndpoints => self.pending.watch_endpoints = true,
                Action::Broadcast(data) => self.pending.broadcasts.push(data),
                Action::Log(server, text) => self.pending.log_lines.push(LogLine { server, text }),
                // Never requested, because `node_settings` disables probes.
                Action::Probe(_) => {}
            }
        }
        verdict
    }
}
