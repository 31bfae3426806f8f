//! Dissemination: the queue of updates that are piggybacked on datagrams (SWIM section 4.1).

use std::cmp::Reverse;

use super::datagram::MemberUpdate;
use super::record::InstanceId;

/// An update is sent this many times the logarithm to base 2 of the members' number (SWIM section 4.1's lambda): fewer, and
/// some members never hear of it.
const RETRANSMIT_MULTIPLIER: u32 = 3;

/// How often one member sends an update among so many members.
pub fn retransmit_limit(members: usize) -> u32 {
    RETRANSMIT_MULTIPLIER * (usize::BITS - members.leading_zeros())
}

/// Updates to send, one about each member at most, but for suspicions by different reporters.
#[derive(Debug, Default)]
pub struct GossipQueue(Vec<QueuedUpdate>);

#[derive(Debug)]
struct QueuedUpdate {
    transmissions: u32,
    update: MemberUpdate,
}

impl GossipQueue {
    /// Queues an update in place of those about the same member that it supersedes. Suspicions by different reporters stand
    /// side by side: they confirm each other (Lifeguard section IV-B).
    pub fn push(&mut self, update: MemberUpdate) {
        self.0.retain(|queued| !supersedes(&update, &queued.update));
        self.0.push(QueuedUpdate { transmissions: 0, update });
    }

    /// The places of the updates to send now: the least sent first, of equals the newest.
    pub fn select(&self, limit: usize) -> Vec<usize> {
        let mut indices: Vec<usize> = (0..self.0.len()).collect();
        indices.sort_by_key(|&index| (self.0[index].transmissions, Reverse(index)));
        indices.truncate(limit);
        indices
    }

    /// The updates at places that [`GossipQueue::select`] gave.
    pub fn updates_at<'a>(&'a self, indices: &'a [usize]) -> impl Iterator<Item = &'a MemberUpdate> {
        indices.iter().filter_map(|&index| self.0.get(index)).map(|queued| &queued.update)
    }

    /// Counts a transmission of the updates at these places, and drops those that have reached the limit.
    pub fn mark_sent(&mut self, indices: &[usize], limit: u32) {
        for &index in indices {
            if let Some(queued) = self.0.get_mut(index) {
                queued.transmissions += 1;
            }
        }
        self.0.retain(|queued| queued.transmissions < limit);
    }

    /// Drops all updates about a member.
    pub fn remove(&mut self, instance: InstanceId) {
        self.0.retain(|queued| queued.update.instance() != instance);
    }
}

fn supersedes(new: &MemberUpdate, old: &MemberUpdate) -> bool {
    if new.instance() != old.instance() {
        return false;
    }
    match (new, old) {
        (
            MemberUpdate::Suspect { reporter, incarnation, .. },
            MemberUpdate::Suspect { reporter: other, incarnation: other_incarnation, .. },
        ) => reporter == other || incarnation != other_incarnation,
        _ => true,
    }
}
