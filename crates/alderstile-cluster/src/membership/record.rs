//! What a member states of itself.

use std::fmt;
use std::net::SocketAddr;

use thiserror::Error;

/// The longest name of a member.
pub const MAX_NAME_BYTES: usize = 40;
/// The longest name of a zone.
pub const MAX_ZONE_BYTES: usize = 24;
/// All metadata of a member together: each value with two bytes more for its tag and its length.
pub const MAX_METADATA_BYTES: usize = 64;

/// One process of a member, from its start to its end: drawn at random, so that no two are alike.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceId(pub u64);

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Why a member's record is invalid.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RecordError {
    /// The name is empty or too long.
    #[error("a name of 1 to {MAX_NAME_BYTES} bytes is wanted")]
    NameLength,
    /// The zone is too long.
    #[error("a zone of at most {MAX_ZONE_BYTES} bytes is wanted")]
    ZoneLength,
    /// The metadata is too long.
    #[error("metadata of at most {MAX_METADATA_BYTES} bytes in all are wanted")]
    MetadataLength,
}

/// What a member states of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Its process.
    pub instance: InstanceId,
    /// Grows with each statement of the member about itself: the higher one counts (SWIM section 4.2).
    pub incarnation: u64,
    /// Its name, the same after a restart.
    pub name: Box<str>,
    /// Its zone.
    pub zone: Box<str>,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Of the configuration that it runs with.
    pub config_digest: u64,
    /// Small values of other modules, each under a tag: tag, length, bytes, by rising tags.
    pub metadata: Box<[u8]>,
}

impl MemberRecord {
    /// Whether it fits into a datagram with room for more.
    ///
    /// # Errors
    /// A part is out of its bounds.
    pub fn validate(&self) -> Result<(), RecordError> {
        if self.name.is_empty() || self.name.len() > MAX_NAME_BYTES {
            return Err(RecordError::NameLength);
        }
        if self.zone.len() > MAX_ZONE_BYTES {
            return Err(RecordError::ZoneLength);
        }
        if self.metadata.len() > MAX_METADATA_BYTES {
            return Err(RecordError::MetadataLength);
        }
        Ok(())
    }

    /// The metadata under a tag.
    pub fn metadata_value(&self, tag: u8) -> Option<&[u8]> {
        self.metadata_entries().find(|(other, _)| *other == tag).map(|(_, value)| value)
    }

    /// Sets the metadata under a tag or, with nothing, removes it.
    ///
    /// # Errors
    /// It would be too long; nothing has changed then.
    pub fn set_metadata(&mut self, tag: u8, value: &[u8]) -> Result<(), RecordError> {
        let mut entries: Vec<(u8, &[u8])> =
            self.metadata_entries().filter(|(other, _)| *other != tag).collect();
        if !value.is_empty() {
            entries.push((tag, value));
        }
        entries.sort_by_key(|(tag, _)| *tag);
        let mut metadata = Vec::new();
        for (tag, value) in entries {
            let length = u8::try_from(value.len()).map_err(|_| RecordError::MetadataLength)?;
            metadata.extend([tag, length]);
            metadata.extend(value);
        }
        if metadata.len() > MAX_METADATA_BYTES {
            return Err(RecordError::MetadataLength);
        }
        self.metadata = metadata.into();
        Ok(())
    }

    fn metadata_entries(&self) -> impl Iterator<Item = (u8, &[u8])> {
        let mut rest: &[u8] = &self.metadata;
        std::iter::from_fn(move || {
            let [tag, length, after @ ..] = rest else { return None };
            let (value, after) = after.split_at_checked(usize::from(*length))?;
            rest = after;
            Some((*tag, value))
        })
    }
}
