//! The record that a member publishes about itself.

use std::fmt;
use std::net::SocketAddr;

use thiserror::Error;

/// The maximum length of a member's name.
pub const MAX_NAME_BYTES: usize = 40;
/// The maximum length of a zone's name.
pub const MAX_ZONE_BYTES: usize = 24;
/// The maximum length of a member's metadata in total. Each value takes two more bytes for its tag and its
/// length.
pub const MAX_METADATA_BYTES: usize = 64;

/// Identifies one process of a member from start to exit. The value is random, so that no two processes share
/// it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceId(pub u64);

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The reason why a member's record is invalid.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RecordError {
    /// The name is empty or longer than [`MAX_NAME_BYTES`].
    #[error("invalid member name: expected 1 to {MAX_NAME_BYTES} bytes")]
    NameLength,
    /// The zone is longer than [`MAX_ZONE_BYTES`].
    #[error("invalid zone: expected at most {MAX_ZONE_BYTES} bytes")]
    ZoneLength,
    /// The metadata is longer than [`MAX_METADATA_BYTES`].
    #[error("invalid metadata: expected at most {MAX_METADATA_BYTES} bytes in total")]
    MetadataLength,
}

/// The record that a member publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// The member's process.
    pub instance: InstanceId,
    /// Increases with each record that the member publishes; the highest one is valid (SWIM section 4.2).
    pub incarnation: u64,
    /// The member's name, which stays the same after a restart.
    pub name: Box<str>,
    /// The member's zone.
    pub zone: Box<str>,
    /// The address at which other members reach it.
    pub address: SocketAddr,
    /// The digest of the configuration that the member runs with.
    pub config_digest: u64,
    /// Small values of other modules. Each is encoded as tag, length and bytes, in order of tags.
    pub metadata: Box<[u8]>,
}

impl MemberRecord {
    /// Checks the lengths of the name, the zone and the metadata. Within these bounds, the record fits into a
    /// datagram and leaves space for updates about other members.
    ///
    /// # Errors
    /// Returns an error if the length of a field is out of bounds.
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

    /// Returns the metadata under a tag.
    pub fn metadata_value(&self, tag: u8) -> Option<&[u8]> {
        self.metadata_entries().find(|(other, _)| *other == tag).map(|(_, value)| value)
    }

    /// Sets the metadata under a tag, or removes it if `value` is empty.
    ///
    /// # Errors
    /// Returns an error if the metadata would be too long; the record is unchanged then.
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
