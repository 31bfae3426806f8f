//! What is still to be told, and how often it was.

use super::view::Session;
use super::wire::Rumor;

/// Rumors, one about each member at most, the least told first.
#[derive(Debug, Default)]
pub struct Rumors(Vec<(u32, Rumor)>);

impl Rumors {
    /// Tells this from now on, in place of what was told of that member before. Two suspicions of one member by
    /// different members are told side by side: they confirm each other.
    pub fn add(&mut self, rumor: Rumor) {
        let session = rumor.session();
        match &rumor {
            Rumor::Suspect { by, incarnation, .. } => self.0.retain(|(_, old)| match old {
                Rumor::Suspect { session: of, by: other, incarnation: word } => {
                    *of != session || (other != by && word == incarnation)
                }
                old => old.session() != session,
            }),
            _ => self.0.retain(|(_, old)| old.session() != session),
        }
        self.0.push((0, rumor));
    }

    /// The rumors to tell now, by rising number of tellings; of equals the newest first.
    pub fn next(&self, most: usize) -> Vec<&Rumor> {
        let mut order: Vec<usize> = (0..self.0.len()).collect();
        order.sort_by_key(|&i| (self.0[i].0, std::cmp::Reverse(i)));
        order.into_iter().take(most).map(|i| &self.0[i].1).collect()
    }

    /// The first so many of [`Rumors::next`] were told; those told `limit` times are told no more.
    pub fn told(&mut self, count: usize, limit: u32) {
        let mut order: Vec<usize> = (0..self.0.len()).collect();
        order.sort_by_key(|&i| (self.0[i].0, std::cmp::Reverse(i)));
        order.into_iter().take(count).for_each(|i| self.0[i].0 += 1);
        self.0.retain(|(told, _)| *told < limit);
    }

    /// Nothing more of this member is told.
    pub fn forget(&mut self, session: Session) {
        self.0.retain(|(_, rumor)| rumor.session() != session);
    }
}
