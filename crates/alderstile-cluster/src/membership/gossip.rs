//! Dissemination: the queue of updates that are piggybacked on datagrams (SWIM section 4.1).

use std::cmp::Reverse;

use super::datagram::MemberUpdate;
use super::record::InstanceId;

/// An update is transmitted this many times the base-2 logarithm of the number of members (lambda in SWIM
/// section 4.1). With a smaller factor, some members never receive it.
const RETRANSMIT_MULTIPLIER: u32 = 3;

/// Returns how many times one member sends an update in a cluster with this number of members.
pub fn retransmit_limit(members: usize) -> u32 {
    RETRANSMIT_MULTIPLIER * (usize::BITS - members.leading_zeros())
}

/// The updates to send. The queue holds at most one update per member, except suspicions by different
/// reporters.
#[derive(Debug, Default)]
pub struct GossipQueue(Vec<QueuedUpdate>);

#[derive(Debug)]
struct QueuedUpdate {
    transmissions: u32,
    update: MemberUpdate,
}

impl GossipQueue {
    /// Queues an update and removes the updates about the same member that it supersedes. Suspicions by
    /// different reporters are kept, because they confirm each other (Lifeguard section IV-B).
    pub fn push(&mut self, update: MemberUpdate) {
        self.0.retain(|queued| !supersedes(&update, &queued.update));
        self.0.push(QueuedUpdate { transmissions: 0, update });
    }

    /// Returns the indices of the updates to send next: the least often sent first, the newest first among
    /// equals.
    pub fn select(&self, limit: usize) -> Vec<usize> {
        let mut indices: Vec<usize> = (0..self.0.len()).collect();
        indices.sort_by_key(|&index| (self.0[index].transmissions, Reverse(index)));
        indices.truncate(limit);
        indices
    }

    /// Returns the updates at indices returned by [`GossipQueue::select`].
    pub fn updates_at<'a>(&'a self, indices: &'a [usize]) -> impl Iterator<Item = &'a MemberUpdate> {
        indices.iter().filter_map(|&index| self.0.get(index)).map(|queued| &queued.update)
    }

    /// Counts a transmission of the updates at these indices, and removes all updates that have reached the
    /// limit.
    pub fn mark_sent(&mut self, indices: &[usize], limit: u32) {
        for &index in indices {
            if let Some(queued) = self.0.get_mut(index) {
                queued.transmissions += 1;
            }
        }
        self.0.retain(|queued| queued.transmissions < limit);
    }

    /// Removes all updates about a member.
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
