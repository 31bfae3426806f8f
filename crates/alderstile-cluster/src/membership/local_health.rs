//! Local health: a member whose own probes fail slows them down, as the fault may be its own (Lifeguard section IV-A).

use alderstile::types::Micros;

/// The worst score: probes take that many times longer, and one (Lifeguard's S).
const MAX_SCORE: u32 = 8;

/// How far a member distrusts its own probes: 0 not at all.
#[derive(Clone, Copy, Debug)]
pub(super) struct LocalHealth {
    enabled: bool,
    score: u32,
}

impl LocalHealth {
    pub fn new(enabled: bool) -> Self {
        LocalHealth { enabled, score: 0 }
    }

    pub fn score(self) -> u32 {
        self.score
    }

    /// Evidence that this member itself is slow or cut off.
    pub fn degrade(&mut self, by: u32) {
        if self.enabled {
            self.score = (self.score + by).min(MAX_SCORE);
        }
    }

    /// Evidence that it is not: one of its probes was answered.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// A timeout, longer the worse the score.
    pub fn scaled_timeout(self, period: Micros, periods: f64) -> Micros {
        period.scale(periods * f64::from(self.score + 1))
    }
}
