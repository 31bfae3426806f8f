//! Local health: a member whose probes fail slows them down, because the fault may be its own (Lifeguard
//! section IV-A).

use alderstile::types::Micros;

/// The maximum score S of Lifeguard. Timeouts are scaled by the score plus one.
const MAX_SCORE: u32 = 8;

/// How little a member trusts its own probes, from 0 (fully) to [`MAX_SCORE`].
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

    /// Raises the score, on evidence that this member is slow or cut off from the network.
    pub fn degrade(&mut self, by: u32) {
        if self.enabled {
            self.score = (self.score + by).min(MAX_SCORE);
        }
    }

    /// Lowers the score, because one of this member's probes was answered.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Returns a timeout of `periods` periods, scaled by the score.
    pub fn scaled_timeout(self, period: Micros, periods: f64) -> Micros {
        period.scale(periods * f64::from(self.score + 1))
    }
}
