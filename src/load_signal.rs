//! Tells apart two kinds of figures that look the same on sockets: a connection's load, in microseconds of work a
//! second, told when it changes; and the milliseconds that messages take at its server, told about once a second on
//! one of its connections while they are late.
//!
//! Guards against a late server whose notes, taken for loads, leave it next to nothing in the record, so that it draws
//! all new work. A figure is suspected where it lies far below what its connection was told, or what connections
//! usually are. One alone may be a client gone idle. It is believed to be a delay when another followed within a
//! note's rhythm, on the same connection or both far below their own; and taken for a load when none did.

use std::collections::BTreeMap;

use crate::types::{Micros, RequestId, ServerId};

/// A figure is far below a load that is this much higher. Of 6,600 changes of a connection's load by the operators'
/// hosts 3.5% were to less than a twentieth, of 8,100 delays 77% were.
const FAR_BELOW: f64 = 20.0;
/// Notes of one server come once a second, give or take this much on the way: within 10 ms in the logs of two nodes. Where
/// a node holds many connections there, light loads follow one another by chance: the wider this, the oftener they pass
/// for notes. At 50 ms either way, seven did in 20 s of a crowd's day, and 26 to 65 clients were refused for it.
const RHYTHM: (Micros, Micros) = (Micros::from_millis(980), Micros::from_millis(1_020));
/// Loads above this are none and teach nothing.
const LOAD_LIMIT: f64 = 1e9;

/// What a figure is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// The load of this connection.
    Load(RequestId, f64),
    /// The milliseconds that messages take at this server.
    Delay(ServerId, f64),
}

/// A figure that may be either.
struct Suspect {
    id: RequestId,
    server: ServerId,
    figure: f64,
    at: Micros,
    /// It lies far below what its own connection was told.
    falls: bool,
}

/// What was told so far.
#[derive(Default)]
pub struct Notes {
    loads: BTreeMap<RequestId, f64>,
    /// The first loads of all connections, for the usual one.
    first_loads: (f64, f64),
    suspects: Vec<Suspect>,
    /// When each server that is late said so last.
    late: BTreeMap<ServerId, Micros>,
}

impl Notes {
    /// Takes in a figure told on a connection to this server. Nothing comes back while it may be either.
    pub fn told(&mut self, now: Micros, id: RequestId, server: ServerId, figure: f64) -> Option<Note> {
        let own = self.loads.get(&id);
        let falls = own.is_some_and(|load| figure * FAR_BELOW < *load);
        let (sum, count) = self.first_loads;
        let suspected = falls || (count > 0.0 && figure * FAR_BELOW < sum / count);
        // Loads are told again unchanged; what waits at a server never stays the same.
        if !suspected || own == Some(&figure) {
            return Some(self.load(id, figure));
        }
        let follows = |at: Micros| now >= at + RHYTHM.0 && now <= at + RHYTHM.1;
        let goes_on = self.late.get(&server).is_some_and(|at| follows(*at));
        let second = |s: &Suspect| s.server == server && follows(s.at) && (s.id == id || (s.falls && falls));
        if !goes_on && !self.suspects.iter().any(second) {
            self.suspects.push(Suspect { id, server, figure, at: now, falls });
            return None;
        }
        self.suspects.retain(|s| s.server != server || !follows(s.at));
        self.late.retain(|_, at| now <= *at + RHYTHM.1);
        self.late.insert(server, now);
        Some(Note::Delay(server, figure))
    }

    /// Figures that nothing followed: loads after all.
    pub fn settled(&mut self, now: Micros) -> Vec<Note> {
        let (old, open) = std::mem::take(&mut self.suspects).into_iter().partition(|s| now > s.at + RHYTHM.1);
        self.suspects = open;
        old.into_iter().map(|s: Suspect| self.load(s.id, s.figure)).collect()
    }

    /// When figures are settled next.
    pub fn next_due(&self) -> Option<Micros> {
        // They stand in the order in which they came.
        self.suspects.first().map(|s| s.at + RHYTHM.1 + Micros(1))
    }

    /// A connection is no more.
    pub fn forget(&mut self, id: RequestId) {
        self.loads.remove(&id);
        self.suspects.retain(|s| s.id != id);
    }

    fn load(&mut self, id: RequestId, load: f64) -> Note {
        if (0.0..=LOAD_LIMIT).contains(&load) && self.loads.insert(id, load).is_none() {
            self.first_loads.0 += load;
            self.first_loads.1 += 1.0;
        }
        Note::Load(id, load)
    }
}
