//! The ids of requests, each of which may be used once: those that are open, and those that ended recently.

use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

/// How many ids of ended requests are remembered: a repeated one comes within moments. 4 MB at most, at 4 KiB a line.
const MAX_ENDED: usize = 1024;

/// The ids of requests.
#[derive(Clone, Default)]
pub struct RequestIds(Rc<RefCell<Ids>>);

#[derive(Default)]
struct Ids {
    known: BTreeSet<Rc<[u8]>>,
    /// Those of the known ones that have ended, the oldest first.
    ended: VecDeque<Rc<[u8]>>,
}

impl Ids {
    fn end(&mut self, id: Rc<[u8]>) {
        self.ended.push_back(id);
        if self.ended.len() > MAX_ENDED
            && let Some(oldest) = self.ended.pop_front()
        {
            self.known.remove(&oldest);
        }
    }
}

impl RequestIds {
    /// Claims an id for a request; none where it is known already.
    pub fn claim(&self, id: &[u8]) -> Option<OpenId> {
        let id: Rc<[u8]> = id.into();
        let new = self.0.borrow_mut().known.insert(id.clone());
        new.then(|| OpenId { ids: self.clone(), id })
    }

    /// Claims the id of a request that the other process had claimed before it handed it over.
    pub fn claim_handed_over(&self, id: &[u8]) -> OpenId {
        let id: Rc<[u8]> = id.into();
        self.0.borrow_mut().known.insert(id.clone());
        OpenId { ids: self.clone(), id }
    }

    /// Remembers an id that the other process has claimed.
    pub fn remember(&self, id: &[u8]) {
        let id: Rc<[u8]> = id.into();
        let mut ids = self.0.borrow_mut();
        if ids.known.insert(id.clone()) {
            ids.end(id);
        }
    }

    /// All known ids, as text.
    pub fn known(&self) -> Vec<String> {
        self.0.borrow().known.iter().map(|id| String::from_utf8_lossy(id).into_owned()).collect()
    }
}

/// The id of an open request. It stays known for a while after this is dropped.
pub struct OpenId {
    ids: RequestIds,
    id: Rc<[u8]>,
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().end(self.id.clone());
    }
}
