//! Which datagrams of a sender have been taken in: the window of RFC 4303, section 3.4.3.

/// Datagrams that may overtake one another.
const WINDOW: u64 = 64;

/// The highest number taken in, and which of the 63 below it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    highest: u64,
    seen: u64,
}

impl ReplayWindow {
    /// Takes a number in; false if it was taken in before, or is too old to tell.
    pub fn take(&mut self, number: u64) -> bool {
        if number > self.highest {
            let ahead = number - self.highest;
            self.seen = if ahead < WINDOW { self.seen << ahead } else { 0 } | 1;
            self.highest = number;
            return true;
        }
        let behind = self.highest - number;
        if behind >= WINDOW || self.seen >> behind & 1 == 1 {
            return false;
        }
        self.seen |= 1 << behind;
        true
    }
}
