//! Transfer of documents in chunks: those held, by their digest, and those that are being fetched.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use alderstile::types::Micros;

use super::delta::{apply_delta, encode_delta};
use super::message::{Chunk, ChunkRequest, MAX_CHUNK, MAX_DOCUMENT};

/// Documents held, with those in use: the last ones serve as bases of deltas.
const MAX_HELD_DOCUMENTS: usize = 8;
/// Documents fetched at once: bounds the memory that announcements of many digests can take.
const MAX_FETCHES: usize = 4;
/// Chunks sent for one request, so that a document of some kilobytes needs one round trip.
const CHUNKS_PER_REQUEST: usize = 4;
/// An unanswered request is repeated after this; a round trip between regions fits.
const REQUEST_TIMEOUT: Micros = Micros::from_millis(300);
/// A fetch is given up after so many requests in a row without an answer: its sender may be gone.
const MAX_UNANSWERED_REQUESTS: u32 = 6;

/// A document on its way here.
struct Fetch {
    from: SocketAddr,
    base: u64,
    total: Option<u32>,
    /// What has arrived from the beginning on, without a gap.
    bytes: Vec<u8>,
    /// Chunks that arrived before those in front of them, by their offset.
    ahead: BTreeMap<u32, Vec<u8>>,
    repeat_at: Micros,
    unanswered: u32,
}

impl Fetch {
    fn new(from: SocketAddr, base: u64, repeat_at: Micros) -> Self {
        let (bytes, ahead) = (Vec::new(), BTreeMap::new());
        Fetch { from, base, total: None, bytes, ahead, repeat_at, unanswered: 0 }
    }

    /// Whether a chunk is of what is fetched. The first one decides: its sender may hold no such base, or no longer.
    fn accepts(&mut self, chunk: &Chunk) -> bool {
        if (self.base, self.total) == (chunk.base, Some(chunk.total)) {
            return true;
        }
        let begun = self.bytes.len() + self.ahead.len() > 0;
        if begun || (chunk.base != 0 && chunk.base != self.base) {
            return false;
        }
        (self.base, self.total) = (chunk.base, Some(chunk.total));
        true
    }

    /// Adds a chunk; whether the part without a gap has grown.
    fn add(&mut self, chunk: &Chunk) -> bool {
        let (offset, here) = (chunk.offset as usize, self.bytes.len());
        if offset > here {
            if self.ahead.len() < CHUNKS_PER_REQUEST {
                self.ahead.insert(chunk.offset, chunk.bytes.clone());
            }
            return false;
        }
        if offset < here || chunk.bytes.is_empty() {
            return false;
        }
        self.bytes.extend(&chunk.bytes);
        while let Some(next) = self.ahead.remove(&(self.bytes.len() as u32)) {
            self.bytes.extend(next);
        }
        true
    }

    /// The request for what is missing.
    fn request(&self, digest: u64) -> (SocketAddr, ChunkRequest) {
        (self.from, ChunkRequest { digest, base: self.base, offset: self.bytes.len() as u32 })
    }

    /// Whether all chunks of the last request are here.
    fn request_is_answered(&self) -> bool {
        let chunks = (self.bytes.len() as u32).div_ceil(MAX_CHUNK as u32);
        chunks.is_multiple_of(CHUNKS_PER_REQUEST as u32)
    }
}

/// What a chunk led to.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ChunkOutcome {
    /// The document, where the chunk completed it.
    pub document: Option<Vec<u8>>,
    /// The request for what follows, and whom to send it to.
    pub request: Option<(SocketAddr, ChunkRequest)>,
}

/// The documents that a node holds or fetches.
#[derive(Default)]
pub struct ChunkedTransfer {
    held: BTreeMap<u64, Vec<u8>>,
    /// Digests of those held, the oldest first.
    order: VecDeque<u64>,
    fetches: BTreeMap<u64, Fetch>,
}

impl ChunkedTransfer {
    /// A document that is held.
    pub fn get(&self, digest: u64) -> Option<&[u8]> {
        self.held.get(&digest).map(Vec::as_slice)
    }

    /// Whether a document is held.
    pub fn holds(&self, digest: u64) -> bool {
        self.held.contains_key(&digest)
    }

    /// Holds a document, and lets go of the oldest ones that are not in use; returns its digest.
    pub fn hold(&mut self, document: Vec<u8>, in_use: &[u64]) -> u64 {
        let digest = crate::content_digest(&document);
        self.order.retain(|other| *other != digest);
        self.order.push_back(digest);
        self.held.insert(digest, document);
        while self.order.len() > MAX_HELD_DOCUMENTS
            && let Some(at) = self.order.iter().position(|other| !in_use.contains(other) && *other != digest)
        {
            self.order.remove(at).map(|old| self.held.remove(&old));
        }
        digest
    }

    /// Begins to fetch a document, as a delta to `base` where that is held; none if it is held or being fetched.
    pub fn fetch(
        &mut self,
        now: Micros,
        digest: u64,
        base: u64,
        from: SocketAddr,
    ) -> Option<(SocketAddr, ChunkRequest)> {
        if self.held.contains_key(&digest) || self.fetches.contains_key(&digest) {
            return None;
        }
        if self.fetches.len() >= MAX_FETCHES {
            self.fetches.pop_first();
        }
        let base = if self.held.contains_key(&base) { base } else { 0 };
        let fetch = Fetch::new(from, base, now + REQUEST_TIMEOUT);
        let request = fetch.request(digest);
        self.fetches.insert(digest, fetch);
        Some(request)
    }

    /// The requests that are due to be repeated.
    pub fn tick(&mut self, now: Micros) -> Vec<(SocketAddr, ChunkRequest)> {
        self.fetches.retain(|_, fetch| fetch.repeat_at > now || fetch.unanswered < MAX_UNANSWERED_REQUESTS);
        let due = self.fetches.iter_mut().filter(|(_, fetch)| fetch.repeat_at <= now);
        due.map(|(digest, fetch)| {
            (fetch.unanswered, fetch.repeat_at) = (fetch.unanswered + 1, now + REQUEST_TIMEOUT);
            fetch.request(*digest)
        })
        .collect()
    }

    /// When [`ChunkedTransfer::tick`] has something to do next.
    pub fn next_timeout(&self) -> Option<Micros> {
        self.fetches.values().map(|fetch| fetch.repeat_at).min()
    }

    /// The chunks that answer a request: of a delta, where that is shorter than the document.
    pub fn chunks(&self, request: ChunkRequest) -> Vec<Chunk> {
        let ChunkRequest { digest, base, offset } = request;
        let Some(new) = self.get(digest) else { return Vec::new() };
        let (base, bytes) = match self.get(base).map(|old| encode_delta(old, new)) {
            Some(delta) if delta.len() < new.len() => (base, delta),
            _ => (0, new.to_vec()),
        };
        let total = bytes.len() as u32;
        let rest = bytes.get(offset as usize..).unwrap_or_default();
        let chunk = |(i, chunk): (usize, &[u8])| Chunk {
            digest,
            base,
            total,
            offset: offset + (i * MAX_CHUNK) as u32,
            bytes: chunk.to_vec(),
        };
        rest.chunks(MAX_CHUNK).take(CHUNKS_PER_REQUEST).enumerate().map(chunk).collect()
    }

    /// Takes in a chunk.
    pub fn handle_chunk(&mut self, now: Micros, chunk: &Chunk) -> ChunkOutcome {
        let Some(fetch) = self.fetches.get_mut(&chunk.digest) else { return ChunkOutcome::default() };
        if !fetch.accepts(chunk) || !fetch.add(chunk) {
            return ChunkOutcome::default();
        }
        (fetch.unanswered, fetch.repeat_at) = (0, now + REQUEST_TIMEOUT);
        if fetch.bytes.len() < chunk.total as usize {
            let request = fetch.request_is_answered().then(|| fetch.request(chunk.digest));
            return ChunkOutcome { document: None, request };
        }
        ChunkOutcome { document: self.complete(chunk.digest), request: None }
    }

    /// Ends a fetch; its document, unless what arrived doesn't have the digest that was asked for.
    fn complete(&mut self, digest: u64) -> Option<Vec<u8>> {
        let fetch = self.fetches.remove(&digest)?;
        let document = match fetch.base {
            0 => Some(fetch.bytes),
            base => self.get(base).and_then(|old| apply_delta(old, &fetch.bytes)),
        };
        document
            .filter(|document| document.len() <= MAX_DOCUMENT && crate::content_digest(document) == digest)
    }
}
