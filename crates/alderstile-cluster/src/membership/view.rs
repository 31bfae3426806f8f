//! What is known of members, and what is told when that changes.

use std::fmt;
use std::net::SocketAddr;

use alderstile::types::Micros;
use thiserror::Error;

/// The longest name of a member, bytes.
pub const MAX_NAME_BYTES: usize = 40;
/// The longest name of a zone, bytes.
pub const MAX_ZONE_BYTES: usize = 24;
/// All metadata of a member together, bytes: each with two bytes more for its tag and its length.
pub const MAX_METADATA_BYTES: usize = 64;

/// One process of a member, from its start to its end: drawn at random, so that no two are alike.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceId(pub u64);

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What does not fit a member's record.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RecordError {
    /// The name.
    #[error("a name of 1 to {MAX_NAME_BYTES} bytes is wanted")]
    NameLength,
    /// The zone.
    #[error("a zone of at most {MAX_ZONE_BYTES} bytes is wanted")]
    ZoneLength,
    /// A fact.
    #[error("metadata of at most {MAX_METADATA_BYTES} bytes in all are wanted")]
    MetadataLength,
}

/// What a member tells of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Its process.
    pub instance: InstanceId,
    /// Grows with each word of the member about itself: the higher one counts.
    pub incarnation: u64,
    /// Its name, the same after a restart.
    pub name: Box<str>,
    /// Its zone.
    pub zone: Box<str>,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Of the settings that it goes by.
    pub config_digest: u64,
    /// Small metadata of other parts, each under a tag: tag, length, bytes, by rising tags.
    pub metadata: Box<[u8]>,
}

impl MemberRecord {
    /// Whether it fits into a datagram with room for more.
    pub fn validate(&self) -> Result<(), RecordError> {
        if self.name.is_empty() || self.name.len() > MAX_NAME_BYTES {
            return Err(RecordError::NameLength);
        }
        if self.zone.len() > MAX_ZONE_BYTES {
            return Err(RecordError::ZoneLength);
        }
        if self.metadata.len() > MAX_METADATA_BYTES { Err(RecordError::MetadataLength) } else { Ok(()) }
    }

    /// The fact under a tag.
    pub fn metadata_value(&self, tag: u8) -> Option<&[u8]> {
        self.all_facts().find(|(of, _)| *of == tag).map(|(_, bytes)| bytes)
    }

    fn all_facts(&self) -> impl Iterator<Item = (u8, &[u8])> {
        let mut rest: &[u8] = &self.metadata;
        std::iter::from_fn(move || {
            let [tag, length, after @ ..] = rest else { return None };
            let (bytes, after) = after.split_at_checked(usize::from(*length))?;
            rest = after;
            Some((*tag, bytes))
        })
    }

    /// Sets or, with nothing, takes away the fact under a tag; says whether that fits.
    pub fn set_metadata(&mut self, tag: u8, bytes: &[u8]) -> Result<(), RecordError> {
        let mut metadata: Vec<(u8, &[u8])> = self.all_facts().filter(|(of, _)| *of != tag).collect();
        if !bytes.is_empty() {
            metadata.push((tag, bytes));
        }
        metadata.sort_by_key(|(tag, _)| *tag);
        let mut all = Vec::new();
        for (tag, bytes) in metadata {
            let length = u8::try_from(bytes.len()).map_err(|_| RecordError::MetadataLength)?;
            all.extend([tag, length]);
            all.extend(bytes);
        }
        if all.len() > MAX_METADATA_BYTES {
            return Err(RecordError::MetadataLength);
        }
        self.metadata = all.into();
        Ok(())
    }
}

/// How a member is seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers, or nobody has said otherwise.
    Alive,
    /// It did not answer somebody; it has time to say that it lives.
    Suspect,
    /// It did not say so in time.
    Dead,
    /// It said that it goes.
    Left,
}

impl MemberState {
    /// Whether it counts as a member.
    pub fn is_live(self) -> bool {
        self <= MemberState::Suspect
    }
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        })
    }
}

/// A change of the view, for logs and figures.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A process was not known before.
    Joined(InstanceId),
    /// A member did not answer.
    Suspected(InstanceId),
    /// One that was suspected or held dead lives.
    Recovered(InstanceId),
    /// A member is held dead.
    Died(InstanceId),
    /// A member has gone by its own word.
    Left(InstanceId),
    /// Another process answers at a member's address: the one before has ended.
    Replaced(InstanceId),
    /// Two living processes at different addresses claim one name; neither is believed over the other.
    NameConflict(Box<str>),
    /// One at most is left of them.
    NameConflictResolved(Box<str>),
    /// This process was suspected or held dead by others, and says that it lives.
    Refuted,
    /// This process has stood still for that long.
    Stalled(Micros),
}

/// What was sent and what came, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams that were taken in.
    pub accepted: u64,
    /// Turned away: not of this cluster, or with no key that is in force.
    pub unauthenticated: u64,
    /// Turned away: neither this format nor a newer one can be read in it.
    pub malformed: u64,
    /// Passed by: a newer format.
    pub unsupported_format: u64,
    /// Turned away: for an earlier process of this member, or by one that does not know this one yet.
    pub wrong_instance: u64,
    /// Turned away: taken in before, or too old to tell.
    pub replayed: u64,
    /// Not sent, as this period's number was reached.
    pub rate_limited: u64,
    /// Membership that this process itself found not to answer.
    pub suspicions_started: u64,
    /// Times that this process had to say that it lives.
    pub refutations: u64,
}

/// Membership by state, and what was sent and came.
#[derive(Clone, Copy, Debug, Default)]
pub struct MembershipStats {
    /// Living ones that nobody suspects, this one included.
    pub alive: usize,
    /// Suspects.
    pub suspect: usize,
    /// The dead that are remembered.
    pub dead: usize,
    /// Names claimed twice.
    pub name_conflicts: usize,
    /// How far this member trusts itself: 0 wholly.
    pub local_health: u32,
    /// Datagrams.
    pub counters: MembershipCounters,
}
