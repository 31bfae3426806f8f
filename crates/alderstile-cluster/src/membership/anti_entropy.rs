//! Anti-entropy: members copy one another's view page by page, which makes up for gossip that was lost.

use super::Membership;
use super::codec::page_entry_bytes;
use super::datagram::{MemberUpdate, Message};
use super::peer::{MemberState, Peer};
use super::record::{InstanceId, MemberRecord};
use crate::authentication::MAX_DATAGRAM_BYTES;

/// A page of another member's view is requested each so many periods.
pub(super) const SYNC_INTERVAL_PERIODS: u64 = 10;
/// Pages that a member requests in a period while it has not seen a whole view yet.
const MAX_REQUESTS_PER_PERIOD: u32 = 8;
/// More members than fit on a page, by the shortest record.
const MAX_PAGE_ENTRIES: usize = MAX_DATAGRAM_BYTES / 32;

/// How far this member has copied others' views.
pub(super) struct AntiEntropy {
    remaining_requests: u32,
    /// The next page to request begins behind this instance.
    after: InstanceId,
    /// The pages have reached the end of a view once.
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

    /// The view's end was reached: the next page is the first again.
    fn finish_pass(&mut self) {
        (self.after, self.complete) = (InstanceId::default(), true);
    }
}

impl Membership {
    /// Requests the next page from a random peer.
    pub(super) fn request_sync_page(&mut self) {
        if !self.anti_entropy.try_take_request() {
            return;
        }
        if let Some(target) = self.random_alive_peers(1, InstanceId::default()).first() {
            let (after, record) = (self.anti_entropy.after, self.local.clone());
            self.send(*target, &Message::SyncRequest { after, record });
        }
    }

    /// As many members as fit, by rising instances behind this one, then from the first on: a page costs the same however many
    /// members there are.
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

    /// Members behind an instance, and those up to it, this one among them; more than fit on a page of each.
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
            // An old statement: the member has time to refute it.
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
