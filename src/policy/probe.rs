//! Probes of servers and the load reports that they bring.
//!
//! Acts only where probes are allowed. A request may wait for the load report of the server chosen; stalled
//! servers that hold nothing of this node's, and removed servers of which nothing is known, are probed once a
//! period.

use crate::types::{Action, Micros, Outcome, ReportField, RequestId, ServerId, TimerToken};

use super::Policy;
use super::connection::{Connection, ConnectionState};
use super::load_estimate::is_valid_load;
use super::server::ServerIndex;

/// Marks the timers of waits for a probe; the other bits are the request's number.
const PROBE_TIMER_FLAG: u64 = 1 << 63;
/// A reported load ratio counts this long.
const LOAD_REPORT_VALID_FOR: Micros = Micros::from_millis(2_000);
/// A server is crowded above this ratio of load to capacity: a heavy connection still fits below.
pub(super) const HIGH_LOAD_RATIO: f64 = 0.7;
/// Probes for which a request may wait before it lands.
const MAX_PROBE_ATTEMPTS: u32 = 3;
/// The longest wait for a probe: a small share of any latency objective.
const PROBE_WAIT: Micros = Micros::from_millis(50);
/// Probes of removed servers that may be saved; each admitted request earns one.
const MAX_REMOVAL_PROBES: f64 = 3.0;

/// What probes have shown of one server.
#[derive(Default)]
pub(super) struct ProbeState {
    /// When a probe was last answered, unless one has failed since.
    pub(super) answered_at: Option<Micros>,
    /// When a probe was last sent because a list removed it.
    sent_at: Micros,
    load_report: Option<LoadReport>,
    /// Requests that wait for its probe.
    waiters: Vec<RequestId>,
}

/// The load ratio of a server, as last reported.
#[derive(Clone, Copy)]
struct LoadReport {
    /// Load over capacity.
    ratio: f64,
    at: Micros,
}

/// Probes of removed servers that may be sent: no more than requests come in.
pub(super) struct RemovalProbes {
    tokens: f64,
}

impl Default for RemovalProbes {
    fn default() -> Self {
        RemovalProbes { tokens: MAX_REMOVAL_PROBES }
    }
}

impl RemovalProbes {
    pub(super) fn earn(&mut self) {
        self.tokens = (self.tokens + 1.0).min(MAX_REMOVAL_PROBES);
    }
}

impl Policy {
    /// Whether probes report the load ratio.
    fn probes_report_load(&self) -> bool {
        self.settings.probes_allowed && self.settings.report_fields.contains(&ReportField::LoadRatio)
    }

    /// Whether a request waits for a server's load ratio before it lands there: the record of one node of
    /// many says next to nothing of what the others hold. It waits for no more than the client's own clock
    /// allows.
    pub(super) fn needs_probe(&self, now: Micros, index: ServerIndex, connection: &Connection) -> bool {
        self.probes_report_load()
            && self.fresh_load_ratio(now, index).is_none()
            && connection.probe_attempts < MAX_PROBE_ATTEMPTS
            && now + PROBE_WAIT.scale(2.0) <= connection.deadline
    }

    /// Probes a server and keeps a request until the answer, or until the wait is over.
    pub(super) fn wait_for_probe(
        &mut self,
        index: ServerIndex,
        connection: Connection,
        actions: &mut Vec<Action>,
    ) {
        let id = connection.request.id;
        let server = &mut self.servers[index];
        actions.push(Action::Probe(server.endpoint.id));
        server.probes.waiters.push(id);
        actions.push(Action::SetTimer(PROBE_WAIT, TimerToken(id.0 | PROBE_TIMER_FLAG)));
        self.connections.insert(id, connection);
    }

    /// A probe has ended, with a load report if one came along.
    pub(super) fn on_probe_completed(
        &mut self,
        now: Micros,
        server: ServerId,
        outcome: Outcome,
        report: &[f64],
        actions: &mut Vec<Action>,
    ) {
        let Some(&index) = self.index_by_id.get(&server) else { return };
        self.servers[index].probes.answered_at = (outcome == Outcome::Ok).then_some(now);
        self.update_disproved_lists(now);
        if let Some(ratio) = self.load_ratio_of(report) {
            self.servers[index].probes.load_report = Some(LoadReport { ratio, at: now });
            // No connection is there that could show that the delay is over.
            if self.has_unobserved_high_delay(now, index) && ratio <= HIGH_LOAD_RATIO {
                self.servers[index].delay = None;
            }
        }
        for id in std::mem::take(&mut self.servers[index].probes.waiters) {
            self.resume(now, id, 1, actions);
        }
    }

    fn load_ratio_of(&self, report: &[f64]) -> Option<f64> {
        let fields = &self.settings.report_fields;
        let position = fields.iter().position(|field| *field == ReportField::LoadRatio)?;
        report.get(position).copied().filter(is_valid_load)
    }

    /// The wait for a probe is over without an answer: the request lands without one.
    pub(super) fn on_probe_timer(&mut self, now: Micros, token: TimerToken, actions: &mut Vec<Action>) {
        let id = RequestId(token.0 & !PROBE_TIMER_FLAG);
        self.resume(now, id, MAX_PROBE_ATTEMPTS, actions);
    }

    /// Goes on with a request that waited for a probe, if it still waits.
    fn resume(&mut self, now: Micros, id: RequestId, probes_spent: u32, actions: &mut Vec<Action>) {
        let waits = |connection: &Connection| connection.state == ConnectionState::Waiting;
        if self.connections.get(&id).is_some_and(waits)
            && let Some(mut connection) = self.connections.remove(&id)
        {
            connection.probe_attempts += probes_spent;
            self.attempt(now, connection, actions);
        }
    }

    /// The load ratio that a server has reported recently.
    pub(super) fn fresh_load_ratio(&self, now: Micros, index: ServerIndex) -> Option<f64> {
        let report = self.servers[index].probes.load_report;
        report.filter(|report| now < report.at + LOAD_REPORT_VALID_FOR).map(|report| report.ratio)
    }

    /// Probes stalled servers that hold nothing which could show that they go on. Acts once a period.
    pub(super) fn probe_stalled_servers(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.probes_report_load() {
            return;
        }
        let stalled = self.available_servers(now).filter(|&index| self.has_unobserved_high_delay(now, index));
        actions.extend(stalled.map(|index| Action::Probe(self.servers[index].endpoint.id)));
    }

    /// Probes servers that a list removed where nothing shows whether they run, those first that were not
    /// probed for longest. Acts once a period, where removals are advice.
    pub(super) fn probe_removed_servers(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.settings.probes_allowed {
            return;
        }
        let unknown =
            |&index: &ServerIndex| self.is_advisory_removal(index) && !self.is_available(now, index);
        let mut removed: Vec<ServerIndex> = (0..self.servers.len()).filter(unknown).collect();
        removed.sort_by_key(|&index| self.servers[index].probes.sent_at);
        for index in removed.into_iter().take(self.removal_probes.tokens as usize) {
            self.removal_probes.tokens -= 1.0;
            let server = &mut self.servers[index];
            // It may have been down in between: its first set-up is tried alone.
            server.outlier.connect_failed = true;
            server.probes.sent_at = now;
            actions.push(Action::Probe(server.endpoint.id));
        }
    }
}
