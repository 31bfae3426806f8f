//! What is known of members, and what is told when that changes.

use std::fmt;
use std::net::SocketAddr;

use alderstile::types::Micros;
use thiserror::Error;

/// The longest name of a member, bytes.
pub const MAX_NAME: usize = 40;
/// The longest name of a zone, bytes.
pub const MAX_ZONE: usize = 24;
/// All facts of a member together, bytes: each with two bytes more for its tag and its length.
pub const MAX_FACTS: usize = 64;

/// One process of a member, from its start to its end: drawn at random, so that no two are alike.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Session(pub u64);

impl fmt::Display for Session {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What does not fit a member's record.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Unfit {
    /// The name.
    #[error("a name of 1 to {MAX_NAME} bytes is wanted")]
    Name,
    /// The zone.
    #[error("a zone of at most {MAX_ZONE} bytes is wanted")]
    Zone,
    /// A fact.
    #[error("facts of at most {MAX_FACTS} bytes in all are wanted")]
    Facts,
}

/// What a member tells of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its process.
    pub session: Session,
    /// Grows with each word of the member about itself: the higher one counts.
    pub incarnation: u64,
    /// Its name, the same after a restart.
    pub name: Box<str>,
    /// Its zone.
    pub zone: Box<str>,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Of the settings that it goes by.
    pub digest: u64,
    /// Small facts of other parts, each under a tag: tag, length, bytes, by rising tags.
    pub facts: Box<[u8]>,
}

impl Record {
    /// Whether it fits into a datagram with room for more.
    pub fn check(&self) -> Result<(), Unfit> {
        if self.name.is_empty() || self.name.len() > MAX_NAME {
            return Err(Unfit::Name);
        }
        if self.zone.len() > MAX_ZONE {
            return Err(Unfit::Zone);
        }
        if self.facts.len() > MAX_FACTS { Err(Unfit::Facts) } else { Ok(()) }
    }

    /// The fact under a tag.
    pub fn fact(&self, tag: u8) -> Option<&[u8]> {
        self.all_facts().find(|(of, _)| *of == tag).map(|(_, bytes)| bytes)
    }

    fn all_facts(&self) -> impl Iterator<Item = (u8, &[u8])> {
        let mut rest: &[u8] = &self.facts;
        std::iter::from_fn(move || {
            let [tag, length, after @ ..] = rest else { return None };
            let (bytes, after) = after.split_at_checked(usize::from(*length))?;
            rest = after;
            Some((*tag, bytes))
        })
    }

    /// Sets or, with nothing, takes away the fact under a tag; says whether that fits.
    pub fn set_fact(&mut self, tag: u8, bytes: &[u8]) -> Result<(), Unfit> {
        let mut facts: Vec<(u8, &[u8])> = self.all_facts().filter(|(of, _)| *of != tag).collect();
        if !bytes.is_empty() {
            facts.push((tag, bytes));
        }
        facts.sort_by_key(|(tag, _)| *tag);
        let mut all = Vec::new();
        for (tag, bytes) in facts {
            let length = u8::try_from(bytes.len()).map_err(|_| Unfit::Facts)?;
            all.extend([tag, length]);
            all.extend(bytes);
        }
        if all.len() > MAX_FACTS {
            return Err(Unfit::Facts);
        }
        self.facts = all.into();
        Ok(())
    }
}

/// How a member is seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It answers, or nobody has said otherwise.
    Alive,
    /// It did not answer somebody; it has time to say that it lives.
    Suspect,
    /// It did not say so in time.
    Dead,
    /// It said that it goes.
    Left,
}

impl State {
    /// Whether it counts as a member.
    pub fn lives(self) -> bool {
        self <= State::Suspect
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        })
    }
}

/// A change of the view, for logs and figures.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A process was not known before.
    Joined(Session),
    /// A member did not answer.
    Suspected(Session),
    /// One that was suspected or held dead lives.
    Lives(Session),
    /// A member is held dead.
    Died(Session),
    /// A member has gone by its own word.
    Left(Session),
    /// Another process answers at a member's address: the one before has ended.
    Replaced(Session),
    /// Two living processes at different addresses claim one name; neither is believed over the other.
    Claimed(Box<str>),
    /// One at most is left of them.
    Settled(Box<str>),
    /// This process was suspected or held dead by others, and says that it lives.
    Refuted,
    /// This process has stood still for that long.
    StoodStill(Micros),
}

/// What was sent and what came, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams that were taken in.
    pub taken: u64,
    /// Turned away: not of this cluster, or with no key that is in force.
    pub foreign: u64,
    /// Turned away: neither this format nor a newer one can be read in it.
    pub damaged: u64,
    /// Passed by: a newer format.
    pub newer: u64,
    /// Turned away: for an earlier process of this member, or by one that does not know this one yet.
    pub stale: u64,
    /// Turned away: taken in before, or too old to tell.
    pub replayed: u64,
    /// Not sent, as this period's number was reached.
    pub held_back: u64,
    /// Members that this process itself found not to answer.
    pub suspected: u64,
    /// Times that this process had to say that it lives.
    pub refuted: u64,
}

/// Members by state, and what was sent and came.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Living ones that nobody suspects, this one included.
    pub alive: usize,
    /// Suspects.
    pub suspect: usize,
    /// The dead that are remembered.
    pub dead: usize,
    /// Names claimed twice.
    pub claimed: usize,
    /// How far this member trusts itself: 0 wholly.
    pub health: u32,
    /// Datagrams.
    pub figures: Figures,
}
