//! A voter's hard state on disk, with the document of its entry.
//!
//! One value, replaced whole: written beside, synced, renamed into its place, and the folder synced. An embedded store would have no
//! other use here.

use std::fs::{File, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use alderstile_cluster::replicated_config::{
    HardState, LogPosition, MAX_DOCUMENT, PersistedState, VersionHeader,
};
use thiserror::Error;
use tracing::warn;

use crate::state_file;

/// The format of the file; another one is not read.
const FORMAT: u8 = 1;
/// Offsets of the fields, bytes: numbers are little-endian, the document follows the last one.
const VOTERS_AT: usize = 1;
const TERM_AT: usize = 9;
const VOTE_AT: usize = 17;
const ENTRY_TERM_AT: usize = 18;
const VERSION_AT: usize = 26;
const DIGEST_AT: usize = 34;
const LENGTH_AT: usize = 42;
const DOCUMENT_AT: usize = 46;
/// The digest of all bytes before it, at the end.
const CHECKSUM_BYTES: usize = 8;
/// Stands for a vote that was not given.
const NO_VOTE: u8 = u8::MAX;

/// Why a store can't be opened or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process of this node has it.
    #[error("another process has it")]
    Locked,
    /// It is of a voter in another list of voters.
    #[error("{}: it is of another list of voters", .0.display())]
    VoterListMismatch(PathBuf),
    /// The disk failed.
    #[error("{}: {source}", .path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// What happened.
        source: io::Error,
    },
}

/// What a store's file holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreFile {
    /// Digest of the list of voters.
    pub voters_digest: u64,
    /// The state.
    pub state: PersistedState,
}

/// The store of one voter.
pub struct VoterStore {
    path: PathBuf,
    voters_digest: u64,
    /// Locked for as long as the process has the store.
    _lock: File,
}

impl VoterStore {
    /// The file of the voter with that name.
    pub fn path(dir: &Path, name: &str) -> PathBuf {
        state_file::path(dir, name, "voter")
    }

    /// Opens a voter's store, and reads what it holds: nothing where it is new or damaged. A damaged file is set aside.
    ///
    /// # Errors
    /// Another process has it, it is of another list of voters, or the disk failed.
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
                let aside = path.with_extension("damaged");
                warn!(path = %path.display(), aside = %aside.display(), "voter store damaged; set aside");
                std::fs::rename(path, &aside).map_err(|error| io_error(path, error))?;
                Ok((store, None))
            }
        }
    }

    /// Puts a hard state on disk, and waits until it is synced.
    ///
    /// # Errors
    /// The disk failed; what was stored before stays.
    pub fn save(&self, state: &PersistedState) -> Result<(), StoreError> {
        let value = encode(self.voters_digest, state);
        self.replace(&value).map_err(|error| io_error(&self.path, error))
    }

    fn replace(&self, value: &[u8]) -> io::Result<()> {
        let new = self.path.with_extension("voter-new");
        let mut file = File::create(&new)?;
        file.write_all(value)?;
        file.sync_all()?;
        std::fs::rename(&new, &self.path)?;
        // The new name too has to be there after a loss of power.
        self.path.parent().map_or(Ok(()), |dir| File::open(dir)?.sync_all())
    }
}

/// Locks the store: two processes of one node must not both vote.
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

/// Reads a store's file; none where it is cut short, damaged or in another format.
pub fn decode(bytes: &[u8]) -> Option<StoreFile> {
    let least = DOCUMENT_AT + CHECKSUM_BYTES;
    if bytes.len() < least || bytes.len() > least + MAX_DOCUMENT || bytes[0] != FORMAT {
        return None;
    }
    let (checked, checksum) = bytes.split_last_chunk::<CHECKSUM_BYTES>()?;
    if alderstile_cluster::content_digest(checked) != u64::from_le_bytes(*checksum) {
        return None;
    }
    let entry = VersionHeader {
        position: LogPosition {
            term: u64_at(checked, ENTRY_TERM_AT)?,
            version: u64_at(checked, VERSION_AT)?,
        },
        digest: u64_at(checked, DIGEST_AT)?,
        length: u32::from_le_bytes(checked.get(LENGTH_AT..DOCUMENT_AT)?.try_into().ok()?),
    };
    let document = checked.get(DOCUMENT_AT..)?.to_vec();
    if document.len() != entry.length as usize
        || alderstile_cluster::content_digest(&document) != entry.digest
    {
        return None;
    }
    let vote = Some(checked[VOTE_AT]).filter(|vote| *vote != NO_VOTE);
    let hard_state = HardState { term: u64_at(checked, TERM_AT)?, vote, entry };
    let state = PersistedState { hard_state, document };
    Some(StoreFile { voters_digest: u64_at(checked, VOTERS_AT)?, state })
}

fn u64_at(bytes: &[u8], at: usize) -> Option<u64> {
    let number = bytes.get(at..)?.first_chunk::<8>()?;
    Some(u64::from_le_bytes(*number))
}
