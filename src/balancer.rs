//! The decisions as plain calls for a program that serves connections: ask where a client goes, report what came of
//! it, and wake up when something is due.
//!
//! A [`Balancer`] keeps the timers and assigns request ids, takes the time as an argument and decides nothing: every
//! verdict is the [`Policy`]'s.

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

/// A client's request for a connection, before the balancer has assigned its id.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionRequest {
    /// Its class, as an index into [`BalancerSettings::classes`].
    pub class: u16,
    /// Its group, where connections share work.
    pub group: Option<GroupId>,
    /// The idempotency key: the same for all of one client's requests for the same thing.
    pub key: Option<u64>,
    /// Its expected load in microseconds of work a second.
    pub expected_load: Option<f64>,
    /// How long the node may take to answer.
    pub time_remaining: Micros,
}

/// What to do with a request that is owed an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Forward it to this server; the attempt lasts no longer than the time named, or else until the client gives up.
    Forward(ServerId, Option<Micros>),
    /// Answer that it is rejected without effect and safe to retry, not before the Retry-After time if one is named.
    Reject(Option<Micros>),
    /// Answer that it failed; whether it had an effect is unknown.
    Fail,
}

/// A log line of the decisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// The server that it is about.
    pub server: Option<ServerId>,
    /// The text.
    pub text: String,
}

/// Effects that are due, independent of any one call's verdict.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PendingWork {
    /// Connections whose clients are to be asked to reconnect.
    pub migrations: Vec<RequestId>,
    /// The endpoint list has to be watched from now on.
    pub watch_endpoints: bool,
    /// Messages to all other nodes.
    pub broadcasts: Vec<Vec<u8>>,
    /// Lines for the log.
    pub log_lines: Vec<LogLine>,
}

/// The settings as they apply on sockets. Probes are off, as the only probe there is to send a client. Connections are
/// migrated from draining servers: a client whose server stops may notice late.
fn node_settings(settings: BalancerSettings) -> BalancerSettings {
    BalancerSettings { probes_allowed: false, migrate_from_draining: true, ..settings }
}

/// Servers that report delays use the same form for them as for loads: a classifier tells the two apart.
fn classifier(settings: &BalancerSettings) -> Option<LoadSignalClassifier> {
    settings.servers_report_delay.then(LoadSignalClassifier::default)
}

/// The decisions of one node as plain calls.
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
    /// Creates a node that holds nothing.
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
        balancer.sort_actions(now);
        balancer
    }

    /// Creates a node that holds nothing, and a shadow instance with other settings where these are given.
    pub fn with_shadow(
        settings: BalancerSettings,
        shadow: Option<BalancerSettings>,
        seed: u64,
        now: Micros,
    ) -> Self {
        let shadow = shadow.map(|settings| Shadow::new(node_settings(settings), seed, now));
        Balancer { shadow, ..Self::new(settings, seed, now) }
    }

    /// Applies other settings, and others for the shadow instance; without any it ends. None is begun: an instance that
    /// has not seen the traffic so far has no record to compare with.
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
        self.sort_actions(now);
        self.shadow = self.shadow.take().zip(shadow).map(|(mut running, settings)| {
            running.apply_settings(now, node_settings(settings));
            running
        });
    }

    /// Stops this process's retries where a budget is stated, and returns the budget's window for the process that takes
    /// over, with ages in place of times; none where it is not known. Two processes of one node share one budget.
    pub fn hand_over_retry_budget(&mut self, now: Micros) -> Option<Vec<RetryBudgetBucket>> {
        let buckets = self.policy.hand_over_retry_budget(now);
        let aged = |bucket: RetryBudgetBucket| RetryBudgetBucket {
            first_event: now - bucket.first_event,
            last_event: now - bucket.last_event,
            ..bucket
        };
        buckets.map(|buckets| buckets.into_iter().map(aged).collect())
    }

    /// Takes over the retry budget's window of the process before, whose ages were taken at most `transfer_time` ago.
    /// Without one, nothing is retried until a whole window has passed.
    pub fn take_over_retry_budget(
        &mut self,
        now: Micros,
        exported: Option<Vec<RetryBudgetBucket>>,
        transfer_time: Micros,
    ) {
        // Admitted requests expire by the first event, which may be dated too early, and retries by the last, which may
        // be dated too late: the count is never laxer than the budget.
        let dated = |bucket: RetryBudgetBucket| RetryBudgetBucket {
            first_event: now - bucket.first_event - transfer_time,
            last_event: now - bucket.last_event,
            ..bucket
        };
        let buckets = exported.map(|buckets| buckets.into_iter().map(dated).collect());
        self.policy.take_over_retry_budget(now, buckets);
    }

    /// What the shadow instance would have decided otherwise so far; none without one.
    pub fn differences(&self) -> Option<Differences> {
        self.shadow.as_ref().map(Shadow::differences)
    }

    /// Decides where a client's request goes. The id returned stands for the request from now on.
    pub fn place(&mut self, now: Micros, request: ConnectionRequest) -> (RequestId, Verdict) {
        let request = self.assign_id(request);
        let verdict = self.handle_event(now, Event::Request(request));
        // Without probes every request is forwarded or answered at once.
        (request.id, verdict.unwrap_or(Verdict::Fail))
    }

    /// Takes over a connection that is already open at a server.
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

    /// Whether the attempt in flight may still be forwarded, now that its connection to the server is up.
    pub fn may_forward(&self, now: Micros, id: RequestId) -> bool {
        self.policy.may_still_send(now, id)
    }

    /// The attempt in flight became a connection.
    pub fn on_established(&mut self, now: Micros, id: RequestId, latency: Micros) {
        self.handle_event(now, Event::Established { id, latency });
    }

    /// The attempt in flight failed. Returns what to do next with the request.
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

    /// A connection ended at its server's side, or because its client was asked to reconnect.
    pub fn on_connection_ended(&mut self, now: Micros, id: RequestId, server: ServerId, outcome: Outcome) {
        self.remove_from_classifier(id);
        self.handle_event(now, Event::Ended { id, server, outcome, closed: true, report: Vec::new() });
    }

    /// The client disconnected; nothing is owed to it.
    pub fn on_client_disconnected(&mut self, now: Micros, id: RequestId) {
        self.remove_from_classifier(id);
        self.handle_event(now, Event::ClientDisconnected(id));
    }

    /// A server sent a load report on a connection: the connection's load in microseconds of work a second or, where
    /// servers report that too, the milliseconds that messages take there, which has the same form.
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

    /// An endpoint list arrived, or a call for it failed.
    pub fn on_endpoint_list(&mut self, now: Micros, kind: EndpointListKind, endpoints: Vec<Endpoint>) {
        let endpoints = self.maintenance.overlay(kind, endpoints);
        self.handle_event(now, Event::EndpointList(kind, endpoints));
    }

    /// Operators put this server into maintenance: from now on it receives nothing new, whatever the list says.
    pub fn begin_maintenance(&mut self, now: Micros, server: ServerId) {
        let change = self.maintenance.begin(server);
        self.on_maintenance_change(now, change);
    }

    /// Operators took this server out of maintenance at `since`: it is as the list says, and warms up from then on.
    pub fn end_maintenance(&mut self, now: Micros, server: ServerId, since: Micros) {
        let change = self.maintenance.end(since, server);
        self.on_maintenance_change(now, change);
    }

    fn on_maintenance_change(&mut self, now: Micros, change: Option<Endpoint>) {
        if let Some(endpoint) = change {
            self.handle_event(now, Event::EndpointList(EndpointListKind::Delta, vec![endpoint]));
        }
    }

    /// The servers in maintenance, and the listed ones.
    pub fn maintenance(&self) -> &MaintenanceOverlay {
        &self.maintenance
    }

    /// How many listed servers are avoided now: draining, in maintenance, late or ejected.
    pub fn unavailable_server_count(&self, now: Micros) -> usize {
        self.policy.avoided_server_count(now)
    }

    /// Servers that this node could not reach, that rejected work or that dropped all connections, until a set-up
    /// succeeds.
    pub fn unreachable_servers(&self) -> BTreeSet<ServerId> {
        self.policy.unreachable_servers()
    }

    /// Another node sent a message.
    pub fn on_peer_message(&mut self, now: Micros, from: u32, data: Vec<u8>) {
        self.handle_event(now, Event::PeerMessage(from, data));
    }

    /// Handles all timers that are due, and returns the pending work.
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

    /// When [`Balancer::handle_timeout`] is due next. Any other call may bring that forward, at most to the present.
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
        self.sort_actions(now)
    }

    /// Sorts the actions into the verdict, the timers and the pending work.
    fn sort_actions(&mut self, now: Micros) -> Option<Verdict> {
        let mut verdict = None;
        for action in self.actions.drain(..) {
            match action {
                Action::Forward(_, server, time_out) => verdict = Some(Verdict::Forward(server, time_out)),
                Action::Reject(_, retry_after) => verdict = Some(Verdict::Reject(retry_after)),
                Action::Fail(_) => verdict = Some(Verdict::Fail),
                Action::Migrate(id) => self.pending.migrations.push(id),
                Action::SetTimer(after, token) => self.timers.push(Reverse((now + after, token))),
                Action::WatchEndpoints => self.pending.watch_endpoints = true,
                Action::Broadcast(data) => self.pending.broadcasts.push(data),
                Action::Log(server, text) => self.pending.log_lines.push(LogLine { server, text }),
                // Never requested: `node_settings` turns probes off.
                Action::Probe(_) => {}
            }
        }
        verdict
    }
}
