//! Probes of servers and the load reports that they bring.

use crate::types::{Action, Micros, Outcome, ReportField, RequestId, ServerId, TimerToken};

use super::Policy;
use super::connection::{Connection, ConnectionState};
use super::load_estimate::is_load;

/// A told load ratio counts this long.
const LOAD_REPORT_VALID_FOR: Micros = Micros::from_millis(2_000);

/// A server is passed over above this ratio of load to what it can do: a heavy connection still fits below.
pub(super) const CROWDED_LOAD_RATIO: f64 = 0.7;

/// Servers that a request may look at by a probe before it lands.
pub(super) const MAX_PROBE_ATTEMPTS: u32 = 3;

/// Probes of what is called gone that may be saved up; each request taken earns one.
pub(super) const MAX_REMOVAL_PROBES: f64 = 3.0;

/// The longest wait for a look: a small share of any set-up aim.
const PROBE_WAIT: Micros = Micros::from_millis(50);

/// Marks the tokens of looks; the rest is the request's number.
pub(super) const PROBE_TIMER_MARK: u64 = 1 << 63;

/// What probes have shown of one server.
#[derive(Default)]
pub(super) struct ProbeState {
    /// When a probe was last answered, unless one has failed since.
    pub(super) answered_at: Option<Micros>,
    /// When a probe was last sent because a list removed it.
    pub(super) sent_at: Micros,
    pub(super) load_report: Option<(f64, Micros)>,
    /// Requests that wait for its probe.
    pub(super) waiters: Vec<RequestId>,
}

/// Probes of removed servers that may be sent: no more than requests come in.
pub(super) struct RemovalProbes {
    pub(super) tokens: f64,
}

impl Default for RemovalProbes {
    fn default() -> Self {
        RemovalProbes { tokens: MAX_REMOVAL_PROBES }
    }
}

impl Policy {
    /// Probes of what is called gone where nothing tells whether it runs: one for each request taken and no
    /// more, those first that were not probed for longest.
    pub(super) fn probe_removed_servers(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let silent = |&index: &usize| self.removal_is_advice(index) && !self.is_available(now, index);
        let mut silent: Vec<usize> = (0..self.servers.len()).filter(silent).collect();
        silent.sort_by_key(|&index| self.servers[index].probes.sent_at);
        for index in silent.into_iter().take(self.removal_probes.tokens as usize) {
            self.removal_probes.tokens -= 1.0;
            // It went down or came back in the meantime: its first set-up is tried alone.
            let server = &mut self.servers[index];
            (server.outlier.connect_failed, server.probes.sent_at) = (true, now);
            actions.push(Action::Probe(server.endpoint.id));
        }
    }

    /// Whether probes tell the load ratio.
    pub(super) fn probes_report_load(&self) -> bool {
        self.settings.probes_allowed && self.settings.report_fields.contains(&ReportField::LoadRatio)
    }

    /// Whether a request waits for a probe's load ratio before it lands: the record of one node of many says
    /// next to nothing of what the others hold.
    pub(super) fn wait_for_probe(
        &mut self,
        now: Micros,
        index: usize,
        connection: &Connection,
        actions: &mut Vec<Action>,
    ) -> bool {
        let known = self.fresh_load_ratio(now, index).is_some();
        if !self.probes_report_load()
            || known
            || connection.probe_attempts >= MAX_PROBE_ATTEMPTS
            || now + PROBE_WAIT.scale(2.0) > connection.deadline
        {
            return false;
        }
        let server = &mut self.servers[index];
        actions.push(Action::Probe(server.endpoint.id));
        server.probes.waiters.push(connection.request.id);
        actions.push(Action::SetTimer(PROBE_WAIT, TimerToken(connection.request.id.0 | PROBE_TIMER_MARK)));
        true
    }

    /// Takes in a load report and lets those that waited for it choose again.
    pub(super) fn on_probe_completed(
        &mut self,
        now: Micros,
        id: ServerId,
        how: Outcome,
        report: &[f64],
        actions: &mut Vec<Action>,
    ) {
        let Some(&index) = self.index_by_id.get(&id) else { return };
        self.servers[index].probes.answered_at = (how == Outcome::Ok).then_some(now);
        self.find_disproved_lists(now);
        let ratio = self.settings.report_fields.iter().position(|field| *field == ReportField::LoadRatio);
        let ratio = ratio.and_then(|i| report.get(i)).filter(|ratio| is_load(ratio));
        self.servers[index].probes.load_report =
            ratio.map(|ratio| (*ratio, now)).or(self.servers[index].probes.load_report);
        // Where nothing is held no note tells that it is over: a report does.
        if self.is_late_unobserved(now, index) && ratio.is_some_and(|ratio| *ratio <= CROWDED_LOAD_RATIO) {
            self.servers[index].delay = None;
        }
        for id in std::mem::take(&mut self.servers[index].probes.waiters) {
            self.resume(now, id, 1, actions);
        }
    }

    /// A request that waited goes on, after the looks it has spent; all of them where no answer came in time.
    pub(super) fn resume(&mut self, now: Micros, id: RequestId, spent: u32, actions: &mut Vec<Action>) {
        if self.connections.get(&id).is_some_and(|connection| connection.state == ConnectionState::Waiting)
            && let Some(mut connection) = self.connections.remove(&id)
        {
            connection.probe_attempts += spent;
            self.attempt(now, connection, actions);
        }
    }

    /// The load ratio last told, while it counts.
    pub(super) fn fresh_load_ratio(&self, now: Micros, index: usize) -> Option<f64> {
        self.servers[index]
            .probes
            .load_report
            .filter(|(_, at)| now < *at + LOAD_REPORT_VALID_FOR)
            .map(|(ratio, _)| ratio)
    }
}
