//! Passes whole lines on between a client and its host, until one side ends or the client is moved.

use std::time::Duration;

use alderstile::types::{RequestId, ServerId};
use serde::{Deserialize, Serialize};
use tokio::io::Interest;
use tokio::time::Instant;
use tracing::debug;

use crate::decisions::{Decisions, sleep_until};
use crate::proxy::clients::Mover;
use crate::proxy::line_stream::{Pulled, Side};
use crate::proxy::protocol::{HostLine, host_line};
use crate::proxy::termination_reason::Reason;

/// A client whose lines have brought nothing back for this long is told to move: keep-alive does not see silence.
/// Guards also against a host that stops right after an answer: that shows with the client's next line only, up to 2 s
/// later, and 7 s after the last answer the client counts as lost.
const SILENT: Duration = Duration::from_millis(4_000);
/// How long the last lines may take to reach the other side: its end must be told within a second.
const LAST_LINES: Duration = Duration::from_millis(500);
/// A client that takes nothing for this long, while lines wait for it, is stuck.
const STUCK: Duration = Duration::from_secs(10);

/// How both sides are ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// In an orderly way, after this last line to the client.
    Both(&'static [u8]),
    /// As a broken connection ends.
    Reset,
    /// Not at all: another process goes on with both.
    HandOver(Carried),
}

/// What was seen of the lines that passed, for the process that goes on with them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Carried {
    /// For how many milliseconds a line of the client has brought nothing back.
    silent_ms: Option<u64>,
    /// The host's last word, if it was one of parting: whether that was `BYE` or `MOVE`.
    bye: Option<bool>,
    /// The figure told last.
    pub load: Option<f64>,
}

/// What is watched of the lines that pass.
struct Watch<'a> {
    decisions: &'a Decisions,
    id: RequestId,
    server: ServerId,
    /// Since when a line of the client has brought nothing at all back.
    silent_since: Option<Instant>,
    /// The host's last word, if it was one of parting.
    parting: Option<HostLine>,
    /// The figure told last.
    load: Option<f64>,
}

impl Watch<'_> {
    fn carried(&self) -> Carried {
        let millis = |since: Instant| u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
        Carried {
            silent_ms: self.silent_since.map(millis),
            bye: self.parting.map(|word| word == HostLine::Bye),
            load: self.load,
        }
    }

    fn client_lines(&mut self, lines: &[u8]) {
        if !lines.is_empty() {
            self.silent_since.get_or_insert_with(Instant::now);
        }
    }

    fn host_lines(&mut self, lines: &[u8]) {
        for line in lines.split_inclusive(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r\n").unwrap_or(line);
            self.parting = None;
            match host_line(line) {
                HostLine::Load(load) => {
                    self.load = Some(load);
                    debug!("load number={} load={load}", self.id.0);
                    self.decisions
                        .decide(|balancer, now| balancer.on_load_report(now, self.id, self.server, load))
                }
                parting @ (HostLine::Bye | HostLine::Move) => self.parting = Some(parting),
                HostLine::Up => {}
                _ => self.silent_since = None,
            }
        }
    }
}

/// Writes what waits on one side to the other; false if that connection is broken.
fn push(from: &mut Side, to: &Side) -> bool {
    while !from.buffer.whole().is_empty() {
        match to.stream.try_write(from.buffer.whole()) {
            Ok(count) => from.buffer.consume(count),
            Err(error) => return error.kind() == std::io::ErrorKind::WouldBlock,
        }
    }
    true
}

/// Writes all that waits for the client; false if it does not take that soon.
async fn push_last(host: &mut Side, client: &Side) -> bool {
    let _late = tokio::time::timeout(LAST_LINES, async {
        while push(host, client) && !host.buffer.whole().is_empty() {
            if client.stream.writable().await.is_err() {
                break;
            }
        }
    })
    .await;
    host.buffer.whole().is_empty()
}

/// Sends the client away, between two lines: `MOVE` must not stand inside one that it has not taken whole.
pub async fn send_away(host: &mut Side, client: &Side, reason: Reason) -> (Reason, Ending) {
    if push_last(host, client).await {
        (reason, Ending::Both(b"MOVE\r\n"))
    } else {
        (Reason::ClientStuck, Ending::Reset)
    }
}

fn interest(read: bool, write: bool) -> Option<Interest> {
    match (read, write) {
        (true, true) => Some(Interest::READABLE | Interest::WRITABLE),
        (true, false) => Some(Interest::READABLE),
        (false, true) => Some(Interest::WRITABLE),
        (false, false) => None,
    }
}

async fn ready(side: &Side, interest: Option<Interest>) {
    match interest {
        // A broken connection is ready too, and says so when it is read.
        Some(interest) => drop(side.stream.ready(interest).await),
        None => std::future::pending().await,
    }
}

/// Relays until one side ends; says why, and how the other is to be ended.
pub async fn run(
    decisions: &Decisions,
    client: &mut Side,
    host: &mut Side,
    (id, server): (RequestId, ServerId),
    mover: &Mover,
    carried: Option<Carried>,
) -> (Reason, Ending) {
    let mut watch = Watch { decisions, id, server, silent_since: None, parting: None, load: None };
    match carried {
        None => {
            watch.host_lines(host.buffer.whole());
            watch.client_lines(client.buffer.whole());
        }
        // The lines in the buffers were seen by the process before.
        Some(Carried { silent_ms, bye, load }) => {
            let now = Instant::now();
            let since = |ms| now.checked_sub(Duration::from_millis(ms)).unwrap_or(now);
            watch.silent_since = silent_ms.map(since);
            watch.parting = bye.map(|bye| if bye { HostLine::Bye } else { HostLine::Move });
            watch.load = load;
        }
    }
    let mut stuck_since: Option<Instant> = None;
    loop {
        let held = host.buffer.held();
        let from_client = client.pull(|lines| watch.client_lines(lines));
        let from_host = host.pull(|lines| watch.host_lines(lines));
        let (host_takes, client_takes) = (push(client, host), push(host, client));
        if host.buffer.whole().is_empty() || host.buffer.held() < held {
            stuck_since = None;
        } else {
            stuck_since.get_or_insert_with(Instant::now);
        }
        match from_host {
            Pulled::Some | Pulled::Nothing => {}
            Pulled::Overlong => return (Reason::HostOverlong, Ending::Both(b"")),
            ended => {
                push_last(host, client).await;
                return match (watch.parting, ended) {
                    (Some(HostLine::Bye), _) => (Reason::Served, Ending::Both(b"")),
                    (Some(HostLine::Move), _) => (Reason::HostMoved, Ending::Both(b"")),
                    (_, Pulled::Ended) => (Reason::HostEnded, Ending::Both(b"")),
                    _ => (Reason::HostReset, Ending::Reset),
                };
            }
        }
        match from_client {
            Pulled::Some | Pulled::Nothing => {}
            Pulled::Overlong => return (Reason::ClientOverlong, Ending::Both(b"")),
            Pulled::Reset => return (Reason::ClientReset, Ending::Reset),
            _ => return (Reason::ClientLeft, Ending::Both(b"")),
        }
        if !host_takes {
            return (Reason::HostReset, Ending::Reset);
        }
        if !client_takes {
            return (Reason::ClientReset, Ending::Reset);
        }
        // Also after bytes came: waiting gives the other tasks their turn, or one flood would take the core.
        let client_interest = interest(client.buffer.has_room(), !host.buffer.whole().is_empty());
        let host_interest = interest(host.buffer.has_room(), !client.buffer.whole().is_empty());
        let silent_at = watch.silent_since.map(|since| since + SILENT);
        let stuck_at = stuck_since.map(|since| since + STUCK);
        let wake = [silent_at, stuck_at].into_iter().flatten().min();
        tokio::select! {
            () = ready(client, client_interest) => {}
            () = ready(host, host_interest) => {}
            () = mover.notify.notified() => {
                if mover.reason() == Reason::HandedOver {
                    return (Reason::HandedOver, Ending::HandOver(watch.carried()));
                }
                return send_away(host, client, mover.reason()).await;
            }
            () = sleep_until(wake) => {
                if silent_at.is_some_and(|at| at <= Instant::now()) {
                    return send_away(host, client, Reason::HostSilent).await;
                }
                if stuck_at.is_some_and(|at| at <= Instant::now()) {
                    return (Reason::ClientStuck, Ending::Reset);
                }
            }
        }
    }
}
