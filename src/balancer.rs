//! The decisions in blocking style for a program that serves connections: ask where a client goes, report what
//! came of it, wake up when something is due.
//!
//! A [`Balancer`] keeps the timers and the numbers of requests, takes the time as an argument and decides nothing:
//! every answer is the policy's.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use crate::load_signal::{Note, Notes};
use crate::maintenance::Maintenance;
use crate::policy::Policy;
use crate::shadow::{Differences, Shadow};
use crate::types::*;

/// What a client asks for; its number is the facade's to give.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionRequest {
    /// Its class, by its number.
    pub class: u16,
    /// Its group, where connections share work.
    pub group: Option<GroupId>,
    /// What it is about; the same for all tries of one client.
    pub key: Option<u64>,
    /// Its expected load in microseconds of work a second.
    pub expected_load: Option<f64>,
    /// How long the node may take to answer.
    pub remaining: Micros,
}

/// What to do with a request that is owed an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Try this server, no longer than the time named or else until the client gives up.
    Forward(ServerId, Option<Micros>),
    /// Answer: declined, a further try does no harm; perhaps not before the time named.
    Reject(Option<Micros>),
    /// Answer: failed, nothing promised.
    Fail,
}

/// What is due, whatever was asked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PendingWork {
    /// Clients to be told to move.
    pub moves: Vec<RequestId>,
    /// Watch the server list from now on.
    pub watch: bool,
    /// Messages for all other nodes.
    pub tell: Vec<Vec<u8>>,
    /// Lines for people, and the server that each is about.
    pub lines: Vec<(Option<ServerId>, String)>,
}

/// On sockets there is no way to look at a server but to send it a client, and a client whose server stops may notice
/// late: it is told to move before that.
fn on_sockets(settings: BalancerSettings) -> BalancerSettings {
    BalancerSettings { probes_allowed: false, migrate_from_draining: true, ..settings }
}

/// The decisions of one node as plain calls.
pub struct Balancer {
    policy: Policy,
    /// Watches only.
    shadow: Option<Shadow>,
    /// Where servers tell delays too, what they tell is to be told apart.
    notes: Option<Notes>,
    maintenance: Maintenance,
    timers: BinaryHeap<Reverse<(Micros, TimerToken)>>,
    last_id: u64,
    actions: Vec<Action>,
    chores: PendingWork,
}

impl Balancer {
    /// A node that has just started and holds nothing.
    pub fn new(settings: BalancerSettings, seed: u64, now: Micros) -> Self {
        let settings = on_sockets(settings);
        let mut facade = Balancer {
            notes: settings.servers_report_delay.then(Notes::default),
            policy: Policy::new(settings, seed, now),
            shadow: None,
            maintenance: Maintenance::default(),
            timers: BinaryHeap::new(),
            last_id: 0,
            actions: Vec::new(),
            chores: PendingWork::default(),
        };
        facade.policy.start(&mut facade.actions);
        facade.settle(now);
        facade
    }

    /// A node that has just started, and a second instance with other settings that watches it.
    pub fn watched(
        settings: BalancerSettings,
        shadow: Option<BalancerSettings>,
        seed: u64,
        now: Micros,
    ) -> Self {
        let shadow = shadow.map(|settings| Shadow::new(on_sockets(settings), seed, now));
        Balancer { shadow, ..Self::new(settings, seed, now) }
    }

    /// Other settings from now on, and others for the instance that watches; without any it watches no more. One that
    /// did not watch so far has no record to begin with, and none is begun.
    pub fn renew(&mut self, now: Micros, settings: BalancerSettings, shadow: Option<BalancerSettings>) {
        let settings = on_sockets(settings);
        if settings.servers_report_delay != self.notes.is_some() {
            self.notes = settings.servers_report_delay.then(Notes::default);
        }
        self.policy.handle(now, Event::SettingsChanged(Box::new(settings)), &mut self.actions);
        self.settle(now);
        self.shadow = self.shadow.take().zip(shadow).map(|(mut watching, settings)| {
            watching.renew(now, on_sockets(settings));
            watching
        });
    }

    /// What was counted of further attempts, as ages, for the process that takes this one's place; nothing where that is
    /// not known. This one makes no further attempts from now on.
    pub fn hand_over(&mut self, now: Micros) -> Option<Vec<RetryBudgetBucket>> {
        let told = self.policy.hand_over(now);
        let aged = |part: RetryBudgetBucket| RetryBudgetBucket {
            first_event: now - part.first_event,
            last_event: now - part.last_event,
            ..part
        };
        told.map(|parts| parts.into_iter().map(aged).collect())
    }

    /// Takes over what the process before has counted, as ages that were true `late` ago at most. Where it told nothing,
    /// or where this one serves on after it had handed over, no further attempts are made until the span has passed.
    pub fn inherit(&mut self, now: Micros, told: Option<Vec<RetryBudgetBucket>>, late: Micros) {
        // Requests count as earlier than they may have been, attempts as later.
        let dated = |part: RetryBudgetBucket| RetryBudgetBucket {
            first_event: now - part.first_event - late,
            last_event: now - part.last_event,
            ..part
        };
        self.policy.inherit(now, told.map(|parts| parts.into_iter().map(dated).collect()));
    }

    /// What the watching instance would have done otherwise so far; none where there is no such instance.
    pub fn differences(&self) -> Option<Differences> {
        self.shadow.as_ref().map(Shadow::differences)
    }

    /// A client asks to be served. Its number stands for it from now on.
    pub fn pick(&mut self, now: Micros, ask: ConnectionRequest) -> (RequestId, Verdict) {
        let request = self.number(ask);
        let answer = self.hand(now, Event::Request(request));
        // Every request is sent or answered at once where nothing is probed.
        (request.id, answer.unwrap_or(Verdict::Fail))
    }

    /// A connection that was open at a server before this node started, or that this node is to take there.
    pub fn adopt(&mut self, now: Micros, ask: ConnectionRequest, server: ServerId) -> RequestId {
        let request = self.number(ask);
        self.hand(now, Event::ExistingConnection(request, server));
        request.id
    }

    /// Whether the attempt that is out may still be sent, now that its connection is up.
    pub fn may_go(&self, now: Micros, id: RequestId) -> bool {
        self.policy.may_go(now, id)
    }

    /// The attempt that was out has become a connection.
    pub fn report_up(&mut self, now: Micros, id: RequestId, latency: Micros) {
        self.hand(now, Event::Established { id, latency });
    }

    /// The attempt that was out has failed: what next?
    pub fn report_failed(
        &mut self,
        now: Micros,
        id: RequestId,
        server: ServerId,
        outcome: Outcome,
    ) -> Verdict {
        let event = Event::Ended { id, server, outcome, closed: false, report: Vec::new() };
        self.hand(now, event).unwrap_or(Verdict::Fail)
    }

    /// A connection has ended at its server's side, or because it was told to move.
    pub fn report_ended(&mut self, now: Micros, id: RequestId, server: ServerId, outcome: Outcome) {
        self.forget(id);
        self.hand(now, Event::Ended { id, server, outcome, closed: true, report: Vec::new() });
    }

    /// The client has left; nothing is owed to it.
    pub fn report_left(&mut self, now: Micros, id: RequestId) {
        self.forget(id);
        self.hand(now, Event::ClientDisconnected(id));
    }

    /// A figure told on a connection to this server: its load now in microseconds of work a second or, where servers
    /// tell that too, the milliseconds that messages take there, which looks the same.
    pub fn report_load(&mut self, now: Micros, id: RequestId, server: ServerId, figure: f64) {
        let note = match &mut self.notes {
            Some(notes) => notes.told(now, id, server, figure),
            None => Some(Note::Load(id, figure)),
        };
        note.into_iter().for_each(|note| self.note(now, note));
    }

    fn note(&mut self, now: Micros, note: Note) {
        let event = match note {
            Note::Load(id, load) => Event::LoadReported(id, load),
            Note::Delay(server, ms) => Event::DelayReported(server, ms),
        };
        self.hand(now, event);
    }

    fn forget(&mut self, id: RequestId) {
        if let Some(notes) = &mut self.notes {
            notes.forget(id);
        }
    }

    /// A server list has come, or a call for it has failed.
    pub fn report_list(&mut self, now: Micros, kind: EndpointListKind, entries: Vec<Endpoint>) {
        let entries = self.maintenance.lay_over(kind, entries);
        self.hand(now, Event::EndpointList(kind, entries));
    }

    /// From now on nothing new goes to this server, whatever the list says: operators took it out.
    pub fn take_out(&mut self, now: Micros, server: ServerId) {
        let change = self.maintenance.take_out(server);
        self.relist(now, change);
    }

    /// Operators put this server back at `since`: from now on it is as the list says, but cold from then on at least.
    pub fn put_back(&mut self, now: Micros, server: ServerId, since: Micros) {
        let change = self.maintenance.put_back(since, server);
        self.relist(now, change);
    }

    fn relist(&mut self, now: Micros, change: Option<Endpoint>) {
        if let Some(entry) = change {
            self.hand(now, Event::EndpointList(EndpointListKind::Delta, vec![entry]));
        }
    }

    /// Which servers operators took out, and how many are listed.
    pub fn maintenance(&self) -> &Maintenance {
        &self.maintenance
    }

    /// Listed servers that nothing new is sent to now: they drain, are out by hand, pause or are late.
    pub fn avoided(&self, now: Micros) -> usize {
        self.policy.avoided(now)
    }

    /// Servers that this node could not reach, or that dropped all it held there or turned work away, until a set-up succeeds.
    pub fn unreached(&self) -> BTreeSet<ServerId> {
        self.policy.unreached()
    }

    /// Another node has sent a message.
    pub fn report_peer(&mut self, now: Micros, from: u32, data: Vec<u8>) {
        self.hand(now, Event::PeerMessage(from, data));
    }

    /// Lets everything happen that is due, and hands over what is to be done.
    pub fn tick(&mut self, now: Micros) -> PendingWork {
        while let Some(&Reverse((due, token))) = self.timers.peek()
            && due <= now
        {
            self.timers.pop();
            self.hand(now, Event::Timer(token));
        }
        let settled = self.notes.as_mut().map(|notes| notes.settled(now));
        settled.into_iter().flatten().for_each(|note| self.note(now, note));
        std::mem::take(&mut self.chores)
    }

    /// When [`Balancer::tick`] is due next; any report may bring that forward, at most to the present.
    pub fn next_due(&self) -> Option<Micros> {
        if self.chores != PendingWork::default() {
            return Some(Micros(0));
        }
        let timer = self.timers.peek().map(|Reverse((due, _))| *due);
        let settles = self.notes.as_ref().and_then(Notes::next_due);
        timer.into_iter().chain(settles).min()
    }

    fn number(&mut self, ask: ConnectionRequest) -> Request {
        self.last_id += 1;
        Request {
            id: RequestId(self.last_id),
            class: ask.class,
            group: ask.group,
            expected_load: ask.expected_load,
            remaining: ask.remaining,
            key: ask.key,
            mid_flow: false,
        }
    }

    fn hand(&mut self, now: Micros, event: Event) -> Option<Verdict> {
        let copy = self.shadow.as_mut().map(|shadow| {
            shadow.align(&self.policy);
            event.clone()
        });
        self.policy.handle(now, event, &mut self.actions);
        if let (Some(shadow), Some(event)) = (&mut self.shadow, copy) {
            shadow.watch(now, event, &self.actions);
        }
        self.settle(now)
    }

    /// Sorts the actions into the answer, the timers and the chores.
    fn settle(&mut self, now: Micros) -> Option<Verdict> {
        let mut answer = None;
        for action in self.actions.drain(..) {
            match action {
                Action::Forward(_, server, time_out) => answer = Some(Verdict::Forward(server, time_out)),
                Action::Reject(_, wait) => answer = Some(Verdict::Reject(wait)),
                Action::Fail(_) => answer = Some(Verdict::Fail),
                Action::Migrate(id) => self.chores.moves.push(id),
                Action::SetTimer(after, token) => self.timers.push(Reverse((now + after, token))),
                Action::WatchEndpoints => self.chores.watch = true,
                Action::Broadcast(data) => self.chores.tell.push(data),
                Action::Log(server, line) => self.chores.lines.push((server, line)),
                // Never asked for: `new` says that nothing can be probed.
                Action::Probe(_) => {}
            }
        }
        answer
    }
}
