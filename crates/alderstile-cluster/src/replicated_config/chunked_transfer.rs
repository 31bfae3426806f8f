//! Chunked transfer of documents: stored documents by digest, and fetches in progress.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use alderstile::types::Micros;

use super::delta::{apply_delta, encode_delta};
use super::message::{Chunk, ChunkRequest, MAX_CHUNK, MAX_DOCUMENT};

/// Number of stored documents above which the oldest ones that are not in use are evicted. The most recent
/// ones serve as bases for deltas.
const MAX_CACHED_DOCUMENTS: usize = 8;
/// Maximum number of concurrent fetches. Bounds the memory that announcements of many digests can consume.
const MAX_FETCHES: usize = 4;
/// Chunks sent per request, so that a document of a few kilobytes needs one round trip.
const CHUNKS_PER_REQUEST: usize = 4;
/// Time after which an unanswered request is retransmitted. Exceeds a round trip between regions.
const REQUEST_TIMEOUT: Micros = Micros::from_millis(300);
/// Number of consecutive unanswered requests after which a fetch is abandoned, as its sender may be gone.
const MAX_UNANSWERED_REQUESTS: u32 = 6;

/// A document that is being fetched.
struct Fetch {
    from: SocketAddr,
    /// Digest of the document that the received bytes are a delta against; 0 for the full document.
    base: u64,
    /// Number of bytes to receive; `None` before the first chunk.
    total: Option<u32>,
    /// The contiguous bytes received so far, from the start.
    bytes: Vec<u8>,
    /// Chunks received ahead of a gap, by offset.
    out_of_order: BTreeMap<u32, Vec<u8>>,
    retransmit_at: Micros,
    /// Number of consecutive requests without an answer.
    unanswered: u32,
}

impl Fetch {
    fn new(from: SocketAddr, base: u64, retransmit_at: Micros) -> Self {
        let (bytes, out_of_order) = (Vec::new(), BTreeMap::new());
        Fetch { from, base, total: None, bytes, out_of_order, retransmit_at, unanswered: 0 }
    }

    /// Returns whether a chunk belongs to this fetch. The first chunk determines the base, because the sender
    /// may not store the requested one.
    fn accepts(&mut self, chunk: &Chunk) -> bool {
        if (self.base, self.total) == (chunk.base, Some(chunk.total)) {
            return true;
        }
        let has_started = self.bytes.len() + self.out_of_order.len() > 0;
        if has_started || (chunk.base != 0 && chunk.base != self.base) {
            return false;
        }
        (self.base, self.total) = (chunk.base, Some(chunk.total));
        true
    }

    /// Adds a chunk. Returns whether the contiguous part has grown.
    fn add(&mut self, chunk: &Chunk) -> bool {
        let (offset, received) = (chunk.offset as usize, self.bytes.len());
        if offset > received {
            if self.out_of_order.len() < CHUNKS_PER_REQUEST {
                self.out_of_order.insert(chunk.offset, chunk.bytes.clone());
            }
            return false;
        }
        if offset < received || chunk.bytes.is_empty() {
            return false;
        }
        self.bytes.extend(&chunk.bytes);
        while let Some(next) = self.out_of_order.remove(&(self.bytes.len() as u32)) {
            self.bytes.extend(next);
        }
        true
    }

    /// Returns the request for the missing bytes.
    fn request(&self, digest: u64) -> (SocketAddr, ChunkRequest) {
        (self.from, ChunkRequest { digest, base: self.base, offset: self.bytes.len() as u32 })
    }

    /// Returns whether all chunks of the last request have been received.
    fn request_is_answered(&self) -> bool {
        let chunks = (self.bytes.len() as u32).div_ceil(MAX_CHUNK as u32);
        chunks.is_multiple_of(CHUNKS_PER_REQUEST as u32)
    }
}

/// Result of handling a chunk.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ChunkOutcome {
    /// The document, if the chunk completed it.
    pub document: Option<Vec<u8>>,
    /// The next request and its destination.
    pub request: Option<(SocketAddr, ChunkRequest)>,
}

/// The documents that a node stores or fetches.
#[derive(Default)]
pub struct ChunkedTransfer {
    documents: BTreeMap<u64, Vec<u8>>,
    /// Digests of the stored documents, oldest first.
    insertion_order: VecDeque<u64>,
    fetches: BTreeMap<u64, Fetch>,
}

impl ChunkedTransfer {
    /// Returns a stored document.
    pub fn get(&self, digest: u64) -> Option<&[u8]> {
        self.documents.get(&digest).map(Vec::as_slice)
    }

    /// Returns whether a document is stored.
    pub fn contains(&self, digest: u64) -> bool {
        self.documents.contains_key(&digest)
    }

    /// Stores a document and returns its digest. Above the limit, the oldest documents not in use are
    /// evicted.
    pub fn insert(&mut self, document: Vec<u8>, in_use: &[u64]) -> u64 {
        let digest = crate::content_digest(&document);
        self.insertion_order.retain(|other| *other != digest);
        self.insertion_order.push_back(digest);
        self.documents.insert(digest, document);
        while self.insertion_order.len() > MAX_CACHED_DOCUMENTS
            && let Some(at) =
                self.insertion_order.iter().position(|other| !in_use.contains(other) && *other != digest)
        {
            self.insertion_order.remove(at).map(|old| self.documents.remove(&old));
        }
        digest
    }

    /// Starts fetching a document, as a delta against `base` if that is stored. Returns `None` if the
    /// document is already stored or being fetched.
    pub fn fetch(
        &mut self,
        now: Micros,
        digest: u64,
        base: u64,
        from: SocketAddr,
    ) -> Option<(SocketAddr, ChunkRequest)> {
        if self.documents.contains_key(&digest) || self.fetches.contains_key(&digest) {
            return None;
        }
        if self.fetches.len() >= MAX_FETCHES {
            self.fetches.pop_first();
        }
        let base = if self.documents.contains_key(&base) { base } else { 0 };
        let fetch = Fetch::new(from, base, now + REQUEST_TIMEOUT);
        let request = fetch.request(digest);
        self.fetches.insert(digest, fetch);
        Some(request)
    }

    /// Returns the requests that are due for retransmission.
    pub fn tick(&mut self, now: Micros) -> Vec<(SocketAddr, ChunkRequest)> {
        self.fetches
            .retain(|_, fetch| fetch.retransmit_at > now || fetch.unanswered < MAX_UNANSWERED_REQUESTS);
        let due = self.fetches.iter_mut().filter(|(_, fetch)| fetch.retransmit_at <= now);
        due.map(|(digest, fetch)| {
            (fetch.unanswered, fetch.retransmit_at) = (fetch.unanswered + 1, now + REQUEST_TIMEOUT);
            fetch.request(*digest)
        })
        .collect()
    }

    /// Returns when [`ChunkedTransfer::tick`] is next due.
    pub fn next_timeout(&self) -> Option<Micros> {
        self.fetches.values().map(|fetch| fetch.retransmit_at).min()
    }

    /// Returns the chunks that answer a request. They carry a delta if that is shorter than the document.
    pub fn chunks(&self, request: ChunkRequest) -> Vec<Chunk> {
        let ChunkRequest { digest, base, offset } = request;
        let Some(new) = self.get(digest) else { return Vec::new() };
        let (base, bytes) = match self.get(base).map(|old| encode_delta(old, new)) {
            Some(delta) if delta.len() < new.len() => (base, delta),
            _ => (0, new.to_vec()),
        };
        let total = bytes.len() as u32;
        let remaining = bytes.get(offset as usize..).unwrap_or_default();
        let chunk = |(i, chunk): (usize, &[u8])| Chunk {
            digest,
            base,
            total,
            offset: offset + (i * MAX_CHUNK) as u32,
            bytes: chunk.to_vec(),
        };
        remaining.chunks(MAX_CHUNK).take(CHUNKS_PER_REQUEST).enumerate().map(chunk).collect()
    }

    /// Handles a received chunk.
    pub fn handle_chunk(&mut self, now: Micros, chunk: &Chunk) -> ChunkOutcome {
        let Some(fetch) = self.fetches.get_mut(&chunk.digest) else { return ChunkOutcome::default() };
        if !fetch.accepts(chunk) || !fetch.add(chunk) {
            return ChunkOutcome::default();
        }
        (fetch.unanswered, fetch.retransmit_at) = (0, now + REQUEST_TIMEOUT);
        if fetch.bytes.len() < chunk.total as usize {
            let request = fetch.request_is_answered().then(|| fetch.request(chunk.digest));
            return ChunkOutcome { document: None, request };
        }
        ChunkOutcome { document: self.complete(chunk.digest), request: None }
    }

    /// Completes a fetch and returns its document, or `None` if its digest or length is invalid.
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
