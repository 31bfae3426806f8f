//! What is still to be told, and how often it was.

use super::view::InstanceId;
use super::wire::MemberUpdate;

/// GossipQueue, one about each member at most, the least told first.
#[derive(Debug, Default)]
pub struct GossipQueue(Vec<(u32, MemberUpdate)>);

impl GossipQueue {
    /// Tells this from now on, in place of what was told of that member before. Two suspicions of one member by
    /// different members are told side by side: they confirm each other.
    pub fn add(&mut self, rumor: MemberUpdate) {
        let instance = rumor.instance();
        match &rumor {
            MemberUpdate::Suspect { reporter: by, incarnation, .. } => self.0.retain(|(_, old)| match old {
                MemberUpdate::Suspect { instance: of, reporter: other, incarnation: word } => {
                    *of != instance || (other != by && word == incarnation)
                }
                old => old.instance() != instance,
            }),
            _ => self.0.retain(|(_, old)| old.instance() != instance),
        }
        self.0.push((0, rumor));
    }

    /// The places of the rumors to tell now, by rising number of tellings; of equals the newest first.
    pub fn order(&self, most: usize) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.0.len()).collect();
        order.sort_by_key(|&i| (self.0[i].0, std::cmp::Reverse(i)));
        order.truncate(most);
        order
    }

    /// The rumors at these places of [`GossipQueue::order`].
    pub fn at<'a>(&'a self, order: &'a [usize]) -> impl Iterator<Item = &'a MemberUpdate> {
        order.iter().filter_map(|&i| self.0.get(i)).map(|(_, rumor)| rumor)
    }

    /// Those at these places were told; what was told `limit` times is told no more.
    pub fn told(&mut self, order: &[usize], limit: u32) {
        for &i in order {
            if let Some((told, _)) = self.0.get_mut(i) {
                *told += 1;
            }
        }
        self.0.retain(|(told, _)| *told < limit);
    }

    /// Nothing more of this member is told.
    pub fn forget(&mut self, instance: InstanceId) {
        self.0.retain(|(_, rumor)| rumor.instance() != instance);
    }
}
