//! Persistent storage of a voter's hard state and the document of its log entry.
//!
//! The store is a single value that is replaced atomically: written to a temporary file, synced and renamed,
//! after which the directory is synced. An embedded database would have no other use here.

use std::fs::{File, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use alderstile_cluster::replicated_config::{
    HardState, LogPosition, MAX_DOCUMENT, PersistedState, VersionHeader,
};
use thiserror::Error;
use tracing::warn;

use crate::state_file;

/// Version of the file format. Files of other versions are not read.
const FORMAT: u8 = 1;
/// Offsets of the fields, bytes. Integers are little-endian, and the document follows the last field.
const VOTERS_DIGEST_OFFSET: usize = 1;
const TERM_OFFSET: usize = 9;
const VOTE_OFFSET: usize = 17;
const ENTRY_TERM_OFFSET: usize = 18;
const VERSION_OFFSET: usize = 26;
const DIGEST_OFFSET: usize = 34;
const LENGTH_OFFSET: usize = 42;
const DOCUMENT_OFFSET: usize = 46;
/// Length of the digest of all preceding bytes, at the end of the file.
const CHECKSUM_BYTES: usize = 8;
/// Encodes that no vote was given.
const NO_VOTE: u8 = u8::MAX;

/// Reason why a store cannot be opened or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process of this node has the store.
    #[error("voter store is locked by another process")]
    Locked,
    /// The store belongs to a voter in a different voter list.
    #[error("{}: voter store belongs to a different voter list", .0.display())]
    VoterListMismatch(PathBuf),
    /// An I/O operation failed.
    #[error("{}: {source}", .path.display())]
    Io {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
}

/// Content of a store's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreFile {
    /// Digest of the voter list.
    pub voters_digest: u64,
    /// The voter's persisted state.
    pub state: PersistedState,
}

/// The store of one voter.
pub struct VoterStore {
    path: PathBuf,
    voters_digest: u64,
    /// Lock on the store, held for as long as the process has it.
    _lock: File,
}

impl VoterStore {
    /// Returns the path of the store of the voter with this name.
    pub fn path(dir: &Path, name: &str) -> PathBuf {
        state_file::path(dir, name, "voter")
    }

    /// Opens a voter's store and reads its state, which is `None` if the file is new or corrupted. A
    /// corrupted file is renamed.
    ///
    /// # Errors
    /// Returns an error if another process has the store, it belongs to a different voter list, or an I/O
    /// operation fails.
    pub fn open(path: &Path, voters_digest: u64) -> Result<(Self, Option<PersistedState>), StoreError> {
        let store = VoterStore { path: path.to_owned(), voters_digest, _lock: lock(path)? };
        let bytes = match std::fs::read(path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok((store, None)),
            Err(error) => return Err(io_error(path, error)),
        };
        match decode(&bytes) {
            Some(file) if file.voters_digest == voters_digest => Ok((store, Some(file.state))),
            Some(_) => Err(StoreError::VoterListMismatch(path.to_owned())),
            None => {
                let renamed_path = path.with_extension("damaged");
                warn!(
                    path = %path.display(),
                    renamed_to = %renamed_path.display(),
                    "voter store corrupted; file renamed"
                );
                std::fs::rename(path, &renamed_path).map_err(|error| io_error(path, error))?;
                Ok((store, None))
            }
        }
    }

    /// Writes a hard state to disk and waits until it is synced.
    ///
    /// # Errors
    /// Returns an error if an I/O operation fails. The previous state remains stored.
    pub fn save(&self, state: &PersistedState) -> Result<(), StoreError> {
        let bytes = encode(self.voters_digest, state);
        self.replace(&bytes).map_err(|error| io_error(&self.path, error))
    }

    fn replace(&self, bytes: &[u8]) -> io::Result<()> {
        let temporary_path = self.path.with_extension("voter-new");
        let mut file = File::create(&temporary_path)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        std::fs::rename(&temporary_path, &self.path)?;
        // The rename must also survive a power loss.
        self.path.parent().map_or(Ok(()), |dir| File::open(dir)?.sync_all())
    }
}

/// Locks the store, so that two processes of one node never both vote.
fn lock(path: &Path) -> Result<File, StoreError> {
    let lock_path = path.with_extension("voter-lock");
    let lock = File::create(&lock_path).map_err(|error| io_error(&lock_path, error))?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => Err(StoreError::Locked),
        Err(TryLockError::Error(error)) => Err(io_error(path, error)),
    }
}

fn io_error(path: &Path, source: io::Error) -> StoreError {
    StoreError::Io { path: path.to_owned(), source }
}

fn encode(voters_digest: u64, state: &PersistedState) -> Vec<u8> {
    let HardState { term, vote, entry } = &state.hard_state;
    let mut bytes = vec![FORMAT];
    bytes.extend(voters_digest.to_le_bytes());
    bytes.extend(term.to_le_bytes());
    bytes.push(vote.unwrap_or(NO_VOTE));
    for number in [entry.position.term, entry.position.version, entry.digest] {
        bytes.extend(number.to_le_bytes());
    }
    bytes.extend(entry.length.to_le_bytes());
    bytes.extend(&state.document);
    let checksum = alderstile_cluster::content_digest(&bytes);
    bytes.extend(checksum.to_le_bytes());
    bytes
}

/// Decodes a store's file. Returns `None` if it is truncated, corrupted or in another format.
pub fn decode(bytes: &[u8]) -> Option<StoreFile> {
    let min_length = DOCUMENT_OFFSET + CHECKSUM_BYTES;
    if bytes.len() < min_length || bytes.len() > min_length + MAX_DOCUMENT || bytes[0] != FORMAT {
        return None;
    }
    let (checked, checksum) = bytes.split_last_chunk::<CHECKSUM_BYTES>()?;
    if alderstile_cluster::content_digest(checked) != u64::from_le_bytes(*checksum) {
        return None;
    }
    let entry = VersionHeader {
        position: LogPosition {
            term: u64_at(checked, ENTRY_TERM_OFFSET)?,
            version: u64_at(checked, VERSION_OFFSET)?,
        },
        digest: u64_at(checked, DIGEST_OFFSET)?,
        length: u32::from_le_bytes(checked.get(LENGTH_OFFSET..DOCUMENT_OFFSET)?.try_into().ok()?),
    };
    let document = checked.get(DOCUMENT_OFFSET..)?.to_vec();
    if document.len() != entry.length as usize
        || alderstile_cluster::content_digest(&document) != entry.digest
    {
        return None;
    }
    let vote = Some(checked[VOTE_OFFSET]).filter(|vote| *vote != NO_VOTE);
    let hard_state = HardState { term: u64_at(checked, TERM_OFFSET)?, vote, entry };
    let state = PersistedState { hard_state, document };
    Some(StoreFile { voters_digest: u64_at(checked, VOTERS_DIGEST_OFFSET)?, state })
}

fn u64_at(bytes: &[u8], offset: usize) -> Option<u64> {
    let number = bytes.get(offset..)?.first_chunk::<8>()?;
    Some(u64::from_le_bytes(*number))
}
