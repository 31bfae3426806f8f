//! A voter's memory on disk: on it before anything that rests on it is said.

//!
//! One value, replaced whole: written beside, synced, put in its place, and the folder synced. Of an embedded store nothing else would
//! be used.

use std::fs::{File, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use alderstile_cluster::replicated_config::{HardState, LogPosition, MAX_DOCUMENT, VersionHeader};
use thiserror::Error;
use tracing::warn;

use crate::admin::maintenance_store;

/// The form of the value; another one is not read.
const FORMAT: u8 = 1;
/// Its numbers, and the digest of all of them and the document.
const LENGTH: usize = 1 + 8 + 8 + 1 + 8 * 3 + 4 + 8;

/// Why a memory can't be had or kept.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process of this node has it.
    #[error("another process has it")]
    Taken,
    /// It is of a voter in another list of voters.
    #[error("{0}: it is of another list of voters")]
    OtherVoters(String),
    /// The disk.
    #[error("{0}: {1}")]
    Disk(String, String),
}

/// The store of one voter.
pub struct Store {
    path: PathBuf,
    voters: u64,
    /// Held for as long as the process has the store.
    _lock: File,
}

/// What was found on disk.
pub type Found = Option<(HardState, Vec<u8>)>;

impl Store {
    /// Where the voter of that name keeps its memory.
    pub fn path(dir: &Path, name: &str) -> PathBuf {
        maintenance_store::file(dir, name, "voter")
    }

    /// Opens a voter's store, and reads what it holds: nothing where it is new or was damaged. What is damaged is set aside, never
    /// believed.
    pub fn open(path: &Path, voters: u64) -> Result<(Self, Found), StoreError> {
        let lock = path.with_extension("voter-lock");
        let lock = File::create(&lock).map_err(|error| disk(&lock, error))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StoreError::Taken),
            Err(TryLockError::Error(error)) => return Err(disk(path, error)),
        }
        let store = Store { path: path.to_owned(), voters, _lock: lock };
        let bytes = match std::fs::read(path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok((store, None)),
            Err(error) => return Err(disk(path, error)),
        };
        match parse(&bytes) {
            Some((of, memory, document)) if of == voters => Ok((store, Some((memory, document)))),
            Some(_) => Err(StoreError::OtherVoters(path.display().to_string())),
            None => {
                let aside = path.with_extension("damaged");
                warn!("agreed: {}: damaged, not believed; set aside as {}", path.display(), aside.display());
                std::fs::rename(path, &aside).map_err(|error| disk(path, error))?;
                Ok((store, None))
            }
        }
    }

    /// Puts a memory on disk, and waits until it is there.
    pub fn save(&self, memory: &HardState, document: &[u8]) -> Result<(), StoreError> {
        let value = text(self.voters, memory, document);
        let new = self.path.with_extension("voter-new");
        let written = || {
            let mut file = File::create(&new)?;
            file.write_all(&value)?;
            file.sync_all()?;
            std::fs::rename(&new, &self.path)?;
            // The new name too has to be there after a loss of power.
            self.path.parent().map_or(Ok(()), |dir| File::open(dir)?.sync_all())
        };
        written().map_err(|error| disk(&self.path, error))
    }
}

fn disk(path: &Path, error: io::Error) -> StoreError {
    StoreError::Disk(path.display().to_string(), error.to_string())
}

fn text(voters: u64, memory: &HardState, document: &[u8]) -> Vec<u8> {
    let mut bytes = vec![FORMAT];
    let HardState { term, vote, entry } = memory;
    bytes.extend(voters.to_le_bytes());
    bytes.extend(term.to_le_bytes());
    bytes.push(vote.unwrap_or(u8::MAX));
    for number in [entry.position.term, entry.position.version, entry.digest] {
        bytes.extend(number.to_le_bytes());
    }
    bytes.extend(entry.length.to_le_bytes());
    bytes.extend(document);
    let digest = alderstile_cluster::digest(&bytes);
    bytes.extend(digest.to_le_bytes());
    bytes
}

/// Reads a value; none where it is cut short, damaged or of another form.
pub fn parse(bytes: &[u8]) -> Option<(u64, HardState, Vec<u8>)> {
    if bytes.len() < LENGTH || bytes.len() > LENGTH + MAX_DOCUMENT || bytes[0] != FORMAT {
        return None;
    }
    let (said, digest) = bytes.split_last_chunk::<8>()?;
    if alderstile_cluster::digest(said) != u64::from_le_bytes(*digest) {
        return None;
    }
    let number = |at: usize| {
        said.get(at..at + 8).and_then(|bytes| bytes.try_into().ok()).map(u64::from_le_bytes).unwrap_or(0)
    };
    let (voters, term, vote) = (number(1), number(9), said[17]);
    let position = LogPosition { term: number(18), version: number(26) };
    let length = u32::from_le_bytes(said.get(42..46)?.try_into().ok()?);
    let document = said.get(46..)?.to_vec();
    let entry = VersionHeader { position, digest: number(34), length };
    let whole = document.len() == length as usize && alderstile_cluster::digest(&document) == entry.digest;
    let vote = (vote != u8::MAX).then_some(vote);
    whole.then_some((voters, HardState { term, vote, entry }, document))
}
