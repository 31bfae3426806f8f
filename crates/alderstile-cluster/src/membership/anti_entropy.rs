//! Anti-entropy: members copy one another's view page by page, to recover updates that gossip lost.

use super::Membership;
use super::codec::page_entry_bytes;
use super::datagram::{MemberUpdate, Message};
use super::peer::{MemberState, Peer};
use super::record::{InstanceId, MemberRecord};
use crate::authentication::MAX_DATAGRAM_BYTES;

/// The number of periods between two requests for a page of another member's view.
pub(super) const SYNC_INTERVAL_PERIODS: u64 = 10;
/// The maximum number of pages that a member requests per period until it has copied a complete view.
const MAX_REQUESTS_PER_PERIOD: u32 = 8;
/// An upper bound on the number of members that fit on a page, derived from the shortest record.
const MAX_PAGE_ENTRIES: usize = MAX_DATAGRAM_BYTES / 32;

/// The progress of copying other members' views.
pub(super) struct AntiEntropy {
    remaining_requests: u32,
    /// The last instance of the previous page; the next page starts after it.
    after: InstanceId,
    /// Whether the pages have reached the end of a view at least once.
    complete: bool,
}

impl AntiEntropy {
    pub fn new() -> Self {
        AntiEntropy {
            remaining_requests: MAX_REQUESTS_PER_PERIOD,
            after: InstanceId::default(),
            complete: false,
        }
    }

    pub fn begin_period(&mut self) {
        self.remaining_requests = MAX_REQUESTS_PER_PERIOD;
    }

    pub fn is_complete(&self) -> bool {
        self.complete
    }

    pub fn set_complete(&mut self, complete: bool) {
        self.complete = complete;
    }

    fn try_take_request(&mut self) -> bool {
        let is_allowed = self.remaining_requests > 0;
        self.remaining_requests -= u32::from(is_allowed);
        is_allowed
    }

    /// Starts again with the first page, after the end of the view was reached.
    fn finish_pass(&mut self) {
        (self.after, self.complete) = (InstanceId::default(), true);
    }
}

impl Membership {
    /// Requests the next page from a random alive peer.
    pub(super) fn request_sync_page(&mut self) {
        if !self.anti_entropy.try_take_request() {
            return;
        }
        if let Some(target) = self.random_alive_peers(1, InstanceId::default()).first() {
            let (after, record) = (self.anti_entropy.after, self.local.clone());
            self.send(*target, &Message::SyncRequest { after, record });
        }
    }

    /// Returns a page with as many members as fit, in instance order: those after the instance `after`, then
    /// those from the lowest instance on. The cost of a page does not depend on the number of members.
    pub(super) fn sync_page(&self, after: InstanceId) -> Message {
        let (following, preceding) = self.page_candidates(after);
        let following_count = following.len();
        let mut capacity = self.codec.page_capacity();
        let mut members = Vec::new();
        for (state, record) in following.into_iter().chain(preceding) {
            let bytes = page_entry_bytes(&record);
            if bytes > capacity || members.len() == usize::from(u8::MAX) {
                break;
            }
            capacity -= bytes;
            members.push((state, record));
        }
        Message::SyncPage { is_last: members.len() >= following_count, members }
    }

    /// Returns the members after an instance, and the members up to it; the local member is in one of the
    /// lists. Each list is complete, or longer than what fits on a page.
    fn page_candidates(&self, after: InstanceId) -> (Vec<PageEntry>, Vec<PageEntry>) {
        let next = InstanceId(after.0.saturating_add(1));
        let mut following: Vec<PageEntry> =
            self.peers.starting_at(next).take(MAX_PAGE_ENTRIES).map(page_entry).collect();
        let mut preceding: Vec<PageEntry> =
            self.peers.below(next).take(MAX_PAGE_ENTRIES).map(page_entry).collect();
        if !self.leaving {
            let entries = if self.local.instance > after { &mut following } else { &mut preceding };
            let index = entries.partition_point(|(_, record)| record.instance < self.local.instance);
            entries.insert(index, (MemberState::Alive, self.local.clone()));
        }
        (following, preceding)
    }

    pub(super) fn handle_sync_page(&mut self, sender: InstanceId, is_last: bool, members: Vec<PageEntry>) {
        let last_instance = members.last().map(|(_, record)| record.instance);
        members.into_iter().for_each(|(state, record)| self.apply_page_entry(sender, state, record));
        if is_last {
            self.anti_entropy.finish_pass();
        } else if let Some(last_instance) = last_instance {
            self.anti_entropy.after = last_instance;
            if !self.anti_entropy.is_complete() {
                self.request_sync_page();
            }
        }
    }

    fn apply_page_entry(&mut self, sender: InstanceId, state: MemberState, record: MemberRecord) {
        let (instance, incarnation) = (record.instance, record.incarnation);
        match state {
            MemberState::Alive => self.apply_update(MemberUpdate::Alive(record)),
            MemberState::Left => self.apply_update(MemberUpdate::Left { instance, incarnation }),
            // The state may be outdated, so the member is suspected and has time to refute it.
            MemberState::Suspect | MemberState::Dead if self.peers.get(instance).is_some() => {
                self.apply_update(MemberUpdate::Suspect { instance, incarnation, reporter: sender });
            }
            MemberState::Suspect => self.apply_update(MemberUpdate::Alive(record)),
            MemberState::Dead => {}
        }
    }
}

type PageEntry = (MemberState, MemberRecord);

fn page_entry(peer: &Peer) -> PageEntry {
    (peer.state, peer.record.clone())
}
