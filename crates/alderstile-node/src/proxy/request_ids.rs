//! The ids of open and recently ended requests, none of which a new request may use.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The share of the node's memory for the ids of ended requests.
const ENDED_SHARE_DIVISOR: usize = 16;
/// The number of generations in which ended ids are kept.
const GENERATIONS: usize = 2;
/// The memory of a slot of a generation's hash table, in bytes: a digest and a control byte.
const SLOT_BYTES: usize = size_of::<IdDigest>() + 1;
/// The largest part of a hash table's slots that are used, in eighths.
const MAX_LOAD_EIGHTHS: usize = 7;
/// The number of slots of a generation, at least and at most. A successor receives all ids while clients wait.
const SLOTS: std::ops::RangeInclusive<usize> = 1 << 14..=1 << 18;
/// The number of ended requests whose ids are kept as text, for a successor of an older version.
const MAX_ENDED_TEXTS: usize = 1024;
/// The maximum length of an id that is kept as text, in bytes. Usual ids have 16 characters.
const MAX_TEXT_BYTES: usize = 64;

/// The digest of an id, which stands for the id: ids may be as long as a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IdDigest(pub u64);

impl IdDigest {
    /// Returns the digest of an id, the same in all processes.
    pub fn of(id: &[u8]) -> Self {
        let digest = Sha256::digest(id);
        let bytes = std::array::from_fn(|index| digest[index]);
        IdDigest(u64::from_le_bytes(bytes))
    }
}

/// The known ids of requests.
#[derive(Clone)]
pub struct RequestIds(Rc<RefCell<Ids>>);

struct Ids {
    /// The ids of open requests. They are never forgotten.
    open: BTreeMap<IdDigest, OpenRequest>,
    ended: EndedIds,
    /// The ids of the last ended requests as text, the oldest first.
    ended_texts: VecDeque<Rc<[u8]>>,
}

/// An open request.
#[derive(Default)]
struct OpenRequest {
    /// The number of requests at this process that use the id.
    this_process: usize,
    /// Whether the node's other process has a request with the id.
    other_process: bool,
    /// The id as text, unless it is too long or claimed by the other process.
    text: Option<Rc<[u8]>>,
}

impl OpenRequest {
    fn is_open(&self) -> bool {
        self.this_process > 0 || self.other_process
    }
}

/// The ids of the last ended requests: at least one full generation, and the current one.
struct EndedIds {
    /// The number of ids of a generation.
    capacity: usize,
    current: HashSet<IdDigest>,
    previous: HashSet<IdDigest>,
}

impl EndedIds {
    fn contains(&self, id: IdDigest) -> bool {
        self.current.contains(&id) || self.previous.contains(&id)
    }

    /// Adds an id; forgets the older generation when the current one is full.
    fn insert(&mut self, id: IdDigest) {
        self.current.insert(id);
        if self.current.len() >= self.capacity {
            self.previous = std::mem::take(&mut self.current);
        }
    }
}

impl Ids {
    fn is_known(&self, id: IdDigest) -> bool {
        self.open.contains_key(&id) || self.ended.contains(id)
    }

    fn update_open(&mut self, id: IdDigest, update: impl FnOnce(&mut OpenRequest)) {
        let request = self.open.entry(id).or_default();
        update(request);
        if !request.is_open() {
            let text = self.open.remove(&id).and_then(|request| request.text);
            self.record_ended(id, text);
        }
    }

    fn record_ended(&mut self, id: IdDigest, text: Option<Rc<[u8]>>) {
        self.ended.insert(id);
        self.ended_texts.extend(text);
        if self.ended_texts.len() > MAX_ENDED_TEXTS {
            self.ended_texts.pop_front();
        }
    }
}

impl RequestIds {
    /// Creates the table of a process of a node with a memory limit, in bytes.
    pub fn of_node(memory_limit: usize) -> Self {
        let slots = memory_limit / ENDED_SHARE_DIVISOR / GENERATIONS / SLOT_BYTES;
        let slots = slots.clamp(*SLOTS.start(), *SLOTS.end());
        let slots = 1 << slots.ilog2();
        RequestIds::remembering(slots / 8 * MAX_LOAD_EIGHTHS)
    }

    /// Creates a table that remembers the ids of at least `capacity` ended requests, and of twice as many at
    /// most.
    pub fn remembering(capacity: usize) -> Self {
        let ended = EndedIds { capacity, current: HashSet::new(), previous: HashSet::new() };
        RequestIds(Rc::new(RefCell::new(Ids { open: BTreeMap::new(), ended, ended_texts: VecDeque::new() })))
    }

    /// Returns the number of ended requests whose ids are remembered at least.
    pub fn capacity(&self) -> usize {
        self.0.borrow().ended.capacity
    }

    /// Claims an id for a request; returns `None` if the id is known.
    pub fn claim(&self, id: &[u8]) -> Option<OpenId> {
        let digest = IdDigest::of(id);
        let known = self.0.borrow().is_known(digest);
        (!known).then(|| self.open(id, digest))
    }

    /// Claims the id of a request that the predecessor claimed before it handed the connection over.
    pub fn claim_handed_over(&self, id: &[u8]) -> OpenId {
        self.open(id, IdDigest::of(id))
    }

    fn open(&self, id: &[u8], digest: IdDigest) -> OpenId {
        self.0.borrow_mut().update_open(digest, |request| {
            request.this_process += 1;
            request.text = (id.len() <= MAX_TEXT_BYTES).then(|| id.into());
        });
        OpenId { ids: self.clone(), digest }
    }

    /// Claims an id for a request of the successor, which will report its end; returns whether the id was new.
    pub fn claim_for_other_process(&self, id: IdDigest) -> bool {
        let new = !self.0.borrow().is_known(id);
        if new {
            self.open_at_other_process(id);
        }
        new
    }

    /// Records that the node's other process has claimed an id, and will report the end of its request.
    pub fn open_at_other_process(&self, id: IdDigest) {
        self.0.borrow_mut().update_open(id, |request| request.other_process = true);
    }

    /// Records that a request has ended at the node's other process.
    pub fn end_at_other_process(&self, id: IdDigest) {
        let mut ids = self.0.borrow_mut();
        if ids.open.get(&id).is_some_and(|request| request.other_process) {
            ids.update_open(id, |request| request.other_process = false);
        }
    }

    /// Records that all requests of the node's other process have ended, as that process has ended.
    pub fn end_all_at_other_process(&self) {
        let mut ids = self.0.borrow_mut();
        let open = ids.open.iter().filter(|(_, request)| request.other_process);
        let ended: Vec<IdDigest> = open.map(|(id, _)| *id).collect();
        for id in ended {
            ids.update_open(id, |request| request.other_process = false);
        }
    }

    /// Remembers an id whose request has ended, or whose end will not be reported to this process.
    pub fn remember(&self, id: IdDigest) {
        let mut ids = self.0.borrow_mut();
        if !ids.is_known(id) {
            ids.record_ended(id, None);
        }
    }

    /// Returns the known ids that are kept as text.
    pub fn texts(&self) -> Vec<String> {
        let ids = self.0.borrow();
        let open = ids.open.values().filter_map(|request| request.text.as_ref());
        open.chain(&ids.ended_texts).map(|id| String::from_utf8_lossy(id).into_owned()).collect()
    }

    /// Returns the ids of the requests that are open at this process.
    pub fn open_at_this_process(&self) -> Vec<IdDigest> {
        let ids = self.0.borrow();
        let open = ids.open.iter().filter(|(_, request)| request.this_process > 0);
        open.map(|(id, _)| *id).collect()
    }

    /// Returns the ids of ended requests, those of the older generation first.
    pub fn ended(&self) -> Vec<IdDigest> {
        let ids = self.0.borrow();
        ids.ended.previous.iter().chain(&ids.ended.current).copied().collect()
    }
}

/// The id of an open request. When this is dropped the id counts as ended, and remains known for some time.
pub struct OpenId {
    ids: RequestIds,
    digest: IdDigest,
}

impl OpenId {
    /// Returns the digest of the id.
    pub fn digest(&self) -> IdDigest {
        self.digest
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().update_open(self.digest, |request| request.this_process -= 1);
    }
}
