//! Splits a stream of bytes into JSON values, each on one line or, indented, on several; pure.

/// The bytes of the next JSON value, as far as they have come.
#[derive(Debug, Default)]
pub struct JsonFramer {
    bytes: Vec<u8>,
    /// Objects and arrays that are open.
    depth: usize,
    in_string: bool,
    after_escape: bool,
}

impl JsonFramer {
    /// Adds bytes up to the end of one line at most. Returns the value that this completes, or an empty one for an empty
    /// line.
    pub fn push(&mut self, piece: &[u8]) -> Option<Vec<u8>> {
        for byte in piece {
            self.track_nesting(*byte);
        }
        self.bytes.extend_from_slice(piece);
        // No JSON string contains a line end: with one it is malformed, and is returned so that its parser says so.
        if !piece.ends_with(b"\n") || (self.depth > 0 && !self.in_string) {
            return None;
        }
        let complete = std::mem::take(self).bytes;
        Some(complete.trim_ascii().to_vec())
    }

    fn track_nesting(&mut self, byte: u8) {
        match byte {
            _ if self.after_escape => self.after_escape = false,
            b'\\' if self.in_string => self.after_escape = true,
            b'"' => self.in_string = !self.in_string,
            b'{' | b'[' if !self.in_string => self.depth += 1,
            b'}' | b']' if !self.in_string => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }

    /// The number of bytes buffered.
    pub fn buffered(&self) -> usize {
        self.bytes.len()
    }
}
