//! Probes of servers and the load reports that they return.
//!
//! Applies only if probes are allowed. A request may wait for the load report of the selected
//! server. Once per period, stalled servers without connections of this node and removed servers in
//! an unknown state are probed.

use crate::types::{Action, Micros, Outcome, ReportField, RequestId, ServerId, TimerToken};

use super::Policy;
use super::connection::{Connection, ConnectionState};
use super::load_estimate::is_valid_load;
use super::server::ServerIndex;

/// Flag of timers that limit the wait for a probe; the other bits are the request's identifier.
const PROBE_TIMER_FLAG: u64 = 1 << 63;
/// How long a reported load ratio is valid.
const LOAD_REPORT_VALID_FOR: Micros = Micros::from_millis(2_000);
/// Ratio of load to capacity above which a server is considered highly loaded. Below it, a heavy
/// connection still fits.
pub(super) const HIGH_LOAD_RATIO: f64 = 0.7;
/// Maximum number of probes for which a request waits before it is placed.
const MAX_PROBE_WAITS: u32 = 3;
/// Maximum wait for a probe, which is a small share of any latency objective.
const PROBE_WAIT: Micros = Micros::from_millis(50);
/// Maximum number of saved probes of removed servers. Each admitted request adds one.
const MAX_REMOVAL_PROBES: f64 = 3.0;

/// Probe state of one server.
#[derive(Default)]
pub(super) struct ProbeState {
    /// Time of the last answered probe, unless one has failed since.
    pub(super) answered_at: Option<Micros>,
    /// Time of the last probe sent because a list removed the server.
    sent_at: Micros,
    load_report: Option<LoadReport>,
    /// Requests that wait for the server's probe.
    waiters: Vec<RequestId>,
}

/// Last reported load ratio of a server.
#[derive(Clone, Copy)]
struct LoadReport {
    /// Ratio of load to capacity.
    ratio: f64,
    at: Micros,
}

/// Limits probes of removed servers to the number of admitted requests.
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
    /// Returns whether probes report the load ratio.
    fn probes_report_load(&self) -> bool {
        self.settings.probes_allowed && self.settings.report_fields.contains(&ReportField::LoadRatio)
    }

    /// Returns whether a request has to wait for a server's load ratio before it is placed there.
    /// With many nodes, the record of one node says little about the connections of the others. The
    /// wait must fit into the client's own deadline, without the tolerance for clock differences.
    pub(super) fn needs_probe(&self, now: Micros, index: ServerIndex, connection: &Connection) -> bool {
        self.probes_report_load()
            && self.fresh_load_ratio(now, index).is_none()
            && connection.probe_waits < MAX_PROBE_WAITS
            && now + PROBE_WAIT.scale(2.0) <= connection.deadline
    }

    /// Probes a server and keeps a request until the answer arrives or the wait expires.
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

    /// Handles the end of a probe, with its load report if there was one.
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
            // No connection of this node could show that the delay has ended.
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

    /// Places a request whose wait for a probe expired without an answer.
    pub(super) fn on_probe_timer(&mut self, now: Micros, token: TimerToken, actions: &mut Vec<Action>) {
        let id = RequestId(token.0 & !PROBE_TIMER_FLAG);
        self.resume(now, id, MAX_PROBE_WAITS, actions);
    }

    /// Resumes a request if it still waits for a probe.
    fn resume(&mut self, now: Micros, id: RequestId, waits_used: u32, actions: &mut Vec<Action>) {
        let waits = |connection: &Connection| connection.state == ConnectionState::Waiting;
        if self.connections.get(&id).is_some_and(waits)
            && let Some(mut connection) = self.connections.remove(&id)
        {
            connection.probe_waits += waits_used;
            self.attempt(now, connection, actions);
        }
    }

    /// Returns the load ratio of a server if it was reported recently.
    pub(super) fn fresh_load_ratio(&self, now: Micros, index: ServerIndex) -> Option<f64> {
        let report = self.servers[index].probes.load_report;
        report.filter(|report| now < report.at + LOAD_REPORT_VALID_FOR).map(|report| report.ratio)
    }

    /// Probes stalled servers without a connection that could show that they have resumed. Runs
    /// once per period.
    pub(super) fn probe_stalled_servers(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.probes_report_load() {
            return;
        }
        let stalled = self.available_servers(now).filter(|&index| self.has_unobserved_high_delay(now, index));
        actions.extend(stalled.map(|index| Action::Probe(self.servers[index].endpoint.id)));
    }

    /// Probes removed servers in an unknown state, starting with those whose last probe is longest
    /// ago. Runs once per period; such servers exist only if removals are advisory.
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
            // The server may have been down in the meantime, so its first setup is a single trial.
            server.outlier.connect_failed = true;
            server.probes.sent_at = now;
            actions.push(Action::Probe(server.endpoint.id));
        }
    }
}
