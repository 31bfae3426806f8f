//! Replay protection: which datagrams of a sender were accepted (RFC 4303, section 3.4.3).

/// Datagrams that may overtake one another.
const WINDOW_SIZE: u64 = 64;

/// The highest sequence number accepted, and which of the 63 below it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    highest: u64,
    /// Bit n: whether `highest - n` was accepted.
    accepted: u64,
}

impl ReplayWindow {
    /// Whether a number was not accepted before and is not too old to tell.
    pub fn is_new(&self, sequence: u64) -> bool {
        let behind = self.highest - sequence.min(self.highest);
        sequence > self.highest || (behind < WINDOW_SIZE && self.accepted >> behind & 1 == 0)
    }

    /// Accepts a number; false where it is not new.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if !self.is_new(sequence) {
            return false;
        }
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.accepted = if ahead < WINDOW_SIZE { self.accepted << ahead } else { 0 };
            self.highest = sequence;
        }
        self.accepted |= 1 << (self.highest - sequence);
        true
    }
}
