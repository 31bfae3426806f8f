//! Replay protection: records which datagrams of a sender were accepted (RFC 4303, section 3.4.3).

/// The size of the window, which limits how far datagrams may be reordered.
const WINDOW_SIZE: u64 = 64;

/// The highest accepted sequence number, and which of the 63 below it were accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    highest: u64,
    /// Bit n states whether `highest - n` was accepted.
    accepted: u64,
}

impl ReplayWindow {
    /// Whether a sequence number has not been accepted before and is not below the window.
    pub fn is_new(&self, sequence: u64) -> bool {
        let behind = self.highest - sequence.min(self.highest);
        sequence > self.highest || (behind < WINDOW_SIZE && self.accepted >> behind & 1 == 0)
    }

    /// Accepts a sequence number; returns `false` if it is not new.
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
