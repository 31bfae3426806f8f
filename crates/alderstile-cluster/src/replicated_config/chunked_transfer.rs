//! Documents by their digests: those held, those on their way here, and differences between them.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use alderstile::types::Micros;

use super::wire::{MAX_CHUNK, MAX_DOCUMENT, Message};

/// Documents held beside those in use: the last ones, as bases of differences.
const KEPT: usize = 8;
/// Documents on their way here at once.
const FETCHES: usize = 4;
/// Parts sent at one call, so that a document of some kilobytes needs no more calls than one.
const PARTS: usize = 4;
/// A call that was not answered is made again after this; a round trip between regions fits.
const AGAIN: Micros = Micros::from_millis(300);
/// It is given up after so many calls in a row that brought nothing.
const TRIES: u32 = 6;

/// The difference between two documents: bytes kept at the front and at the end, and what is between.
pub fn difference(base: &[u8], new: &[u8]) -> Vec<u8> {
    let most = base.len().min(new.len());
    let front = base.iter().zip(new).take_while(|(a, b)| a == b).count();
    let back = base.iter().rev().zip(new.iter().rev()).take(most - front).take_while(|(a, b)| a == b).count();
    let mut bytes = [(front as u32).to_le_bytes(), (back as u32).to_le_bytes()].concat();
    bytes.extend(&new[front..new.len() - back]);
    bytes
}

/// The document that a difference makes of another one; none where it fits none.
pub fn patched(base: &[u8], difference: &[u8]) -> Option<Vec<u8>> {
    let (front, rest) = difference.split_first_chunk::<4>()?;
    let (back, between) = rest.split_first_chunk::<4>()?;
    let (front, back) = (u32::from_le_bytes(*front) as usize, u32::from_le_bytes(*back) as usize);
    let back = base.len().checked_sub(back).filter(|back| *back >= front)?;
    let new = [&base[..front], between, &base[back..]].concat();
    (new.len() <= MAX_DOCUMENT).then_some(new)
}

struct Fetch {
    from: SocketAddr,
    base: u64,
    total: Option<u32>,
    bytes: Vec<u8>,
    /// Parts that came before those in front of them.
    ahead: BTreeMap<u32, Vec<u8>>,
    again: Micros,
    tries: u32,
}

/// The documents that a node holds or fetches.
#[derive(Default)]
pub struct ChunkedTransfer {
    held: BTreeMap<u64, Vec<u8>>,
    order: VecDeque<u64>,
    fetches: BTreeMap<u64, Fetch>,
}

impl ChunkedTransfer {
    /// A document that is held.
    pub fn get(&self, digest: u64) -> Option<&[u8]> {
        self.held.get(&digest).map(Vec::as_slice)
    }

    /// Holds a document, and lets go of the oldest that are not among those in use.
    pub fn hold(&mut self, bytes: Vec<u8>, used: &[u64]) -> u64 {
        let digest = crate::digest(&bytes);
        self.order.retain(|other| *other != digest);
        self.order.push_back(digest);
        self.held.insert(digest, bytes);
        while self.order.len() > KEPT
            && let Some(at) = self.order.iter().position(|other| !used.contains(other) && *other != digest)
        {
            self.order.remove(at).map(|old| self.held.remove(&old));
        }
        digest
    }

    /// Asks for a document, unless it is held or on its way; as a difference to another one that is held.
    pub fn want(
        &mut self,
        now: Micros,
        digest: u64,
        base: u64,
        from: SocketAddr,
    ) -> Option<(SocketAddr, Message)> {
        if self.held.contains_key(&digest) || self.fetches.contains_key(&digest) {
            return None;
        }
        if self.fetches.len() >= FETCHES {
            self.fetches.pop_first();
        }
        let base = if self.held.contains_key(&base) { base } else { 0 };
        let again = now + AGAIN;
        let (bytes, ahead) = (Vec::new(), BTreeMap::new());
        self.fetches.insert(digest, Fetch { from, base, total: None, bytes, ahead, again, tries: 0 });
        Some((from, Message::ChunkRequest { digest, base, offset: 0 }))
    }

    /// What is asked for a second time by now.
    pub fn tick(&mut self, now: Micros) -> Vec<(SocketAddr, Message)> {
        self.fetches.retain(|_, fetch| fetch.again > now || fetch.tries < TRIES);
        let late = self.fetches.iter_mut().filter(|(_, fetch)| fetch.again <= now);
        late.map(|(digest, fetch)| {
            (fetch.tries, fetch.again) = (fetch.tries + 1, now + AGAIN);
            let offset = fetch.bytes.len() as u32;
            (fetch.from, Message::ChunkRequest { digest: *digest, base: fetch.base, offset })
        })
        .collect()
    }

    /// When [`ChunkedTransfer::tick`] has something to do next.
    pub fn due(&self) -> Option<Micros> {
        self.fetches.values().map(|fetch| fetch.again).min()
    }

    /// What another node is sent that wants a document.
    pub fn parts(&self, digest: u64, base: u64, offset: u32) -> Vec<Message> {
        let Some(new) = self.get(digest) else { return Vec::new() };
        let (base, bytes) = match self.get(base).map(|old| difference(old, new)) {
            Some(bytes) if bytes.len() < new.len() => (base, bytes),
            _ => (0, new.to_vec()),
        };
        let total = bytes.len() as u32;
        let rest = bytes.get(offset as usize..).unwrap_or_default();
        let part = |(i, part): (usize, &[u8])| Message::Chunk {
            digest,
            base,
            total,
            offset: offset + (i * MAX_CHUNK) as u32,
            bytes: part.to_vec(),
        };
        rest.chunks(MAX_CHUNK).take(PARTS).enumerate().map(part).collect()
    }

    /// Takes in a part; returns the document where it is whole now, and what to ask for next.
    pub fn part(
        &mut self,
        now: Micros,
        digest: u64,
        base: u64,
        total: u32,
        offset: u32,
        bytes: &[u8],
    ) -> (Option<Vec<u8>>, Option<(SocketAddr, Message)>) {
        let Some(fetch) = self.fetches.get_mut(&digest) else { return (None, None) };
        if (fetch.base, fetch.total) != (base, Some(total)) {
            // The other one may hold no such base, or another one by now.
            if (base != 0 && base != fetch.base) || fetch.bytes.len() + fetch.ahead.len() > 0 {
                return (None, None);
            }
            (fetch.base, fetch.total) = (base, Some(total));
        }
        let here = fetch.bytes.len();
        if offset as usize > here {
            if fetch.ahead.len() < PARTS {
                fetch.ahead.insert(offset, bytes.to_vec());
            }
            return (None, None);
        }
        if (offset as usize) < here || bytes.is_empty() {
            return (None, None);
        }
        fetch.bytes.extend(bytes);
        while let Some(part) = fetch.ahead.remove(&(fetch.bytes.len() as u32)) {
            fetch.bytes.extend(part);
        }
        (fetch.tries, fetch.again) = (0, now + AGAIN);
        if fetch.bytes.len() < total as usize {
            let next = fetch.bytes.len() as u32;
            let last_of_call = next.div_ceil(MAX_CHUNK as u32).is_multiple_of(PARTS as u32);
            let want = Message::ChunkRequest { digest, base, offset: next };
            return (None, last_of_call.then_some((fetch.from, want)));
        }
        let Some(fetch) = self.fetches.remove(&digest) else { return (None, None) };
        let whole = match base {
            0 => Some(fetch.bytes),
            _ => self.get(base).and_then(|old| patched(old, &fetch.bytes)),
        };
        (whole.filter(|whole| whole.len() <= MAX_DOCUMENT && crate::digest(whole) == digest), None)
    }
}
