//! Splits a byte stream into JSON values, each on one line or, if indented, on several. Does no I/O.

/// Buffers the bytes of the next JSON value until it is complete.
#[derive(Debug, Default)]
pub struct JsonFramer {
    bytes: Vec<u8>,
    /// The number of open objects and arrays.
    depth: usize,
    in_string: bool,
    after_escape: bool,
}

impl JsonFramer {
    /// Appends bytes that extend at most to the end of one line. Returns the value that they complete, or an
    /// empty one for an empty line.
    pub fn push(&mut self, piece: &[u8]) -> Option<Vec<u8>> {
        for byte in piece {
            self.track_nesting(*byte);
        }
        self.bytes.extend_from_slice(piece);
        // A JSON string contains no unescaped line break. A value with such a string is malformed, and is
        // returned so that the parser reports the error.
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

    /// Returns the number of buffered bytes.
    pub fn buffered(&self) -> usize {
        self.bytes.len()
    }
}
