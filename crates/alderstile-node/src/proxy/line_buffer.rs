//! The bytes of one connection that were received and not yet forwarded: complete lines, and the start of one more.

use thiserror::Error;

/// The longest line, its end included.
pub const MAX_LINE: usize = 4096;
/// What a buffer allocates first, and shrinks to whenever it is empty.
const INITIAL_CAPACITY: usize = 256;
const LINE_END: &[u8] = b"\r\n";

/// A line is longer than [`MAX_LINE`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a line is longer than {MAX_LINE} bytes")]
pub struct LineTooLong;

/// A buffer that grows by doubling up to one line, and is compacted in place.
#[derive(Debug, Default)]
pub struct LineBuffer {
    data: Vec<u8>,
    /// Where the bytes begin that are not forwarded.
    start: usize,
    /// Where the last complete line ends.
    complete_end: usize,
    /// Where the received bytes end.
    end: usize,
}

impl LineBuffer {
    /// The space for bytes to receive; empty while complete lines take all of it and must be forwarded first.
    ///
    /// # Errors
    ///
    /// The buffer is full of one line that is not complete.
    pub fn spare_capacity(&mut self) -> Result<&mut [u8], LineTooLong> {
        if self.end == self.data.len() {
            self.compact();
            if self.end == self.data.len() && self.data.len() < MAX_LINE {
                self.data.resize((self.data.len() * 2).clamp(INITIAL_CAPACITY, MAX_LINE), 0);
            }
            if self.end == MAX_LINE && self.complete_end == 0 {
                return Err(LineTooLong);
            }
        }
        Ok(&mut self.data[self.end..])
    }

    fn compact(&mut self) {
        if self.start > 0 {
            self.data.copy_within(self.start..self.end, 0);
            self.complete_end -= self.start;
            self.end -= self.start;
            self.start = 0;
        }
    }

    /// Whether to read on: there is space, or none for a line that reading on shows to be too long.
    pub fn can_read(&self) -> bool {
        self.buffered() < MAX_LINE || self.complete_end == self.start
    }

    /// Adds the bytes received into [`LineBuffer::spare`], and returns the lines that they complete.
    pub fn commit(&mut self, count: usize) -> &[u8] {
        let (old_end, old_complete) = (self.end, self.complete_end);
        self.end = (self.end + count).min(self.data.len());
        // A line's end may be split between two reads: the last byte of the one before is searched again.
        let search_from = old_end.saturating_sub(1).max(old_complete);
        let received = &self.data[search_from..self.end];
        if let Some(at) = received.windows(LINE_END.len()).rposition(|pair| pair == LINE_END) {
            self.complete_end = search_from + at + LINE_END.len();
        }
        &self.data[old_complete..self.complete_end]
    }

    /// The complete lines that are not forwarded.
    pub fn complete_lines(&self) -> &[u8] {
        &self.data[self.start..self.complete_end]
    }

    /// The first complete line, without its end.
    pub fn first_line(&self) -> Option<&[u8]> {
        let lines = self.complete_lines();
        lines.windows(LINE_END.len()).position(|pair| pair == LINE_END).map(|at| &lines[..at])
    }

    /// Removes bytes of complete lines that were forwarded.
    pub fn consume(&mut self, count: usize) {
        self.start += count.min(self.complete_end - self.start);
        if self.start == self.end {
            (self.start, self.complete_end, self.end) = (0, 0, 0);
            if self.data.len() > INITIAL_CAPACITY {
                self.data.truncate(INITIAL_CAPACITY);
                self.data.shrink_to_fit();
            }
        }
    }

    /// Removes the first complete line.
    pub fn consume_first_line(&mut self) {
        if let Some(length) = self.first_line().map(<[u8]>::len) {
            self.consume(length + LINE_END.len());
        }
    }

    /// All bytes that are not forwarded, complete lines or not.
    pub fn bytes(&self) -> &[u8] {
        &self.data[self.start..self.end]
    }

    /// A buffer with these bytes; none where they are more than one may contain.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let mut buffer = LineBuffer::default();
        let mut rest = bytes;
        while !rest.is_empty() {
            let spare = buffer.spare_capacity().ok()?;
            let count = spare.len().min(rest.len());
            if count == 0 {
                return None;
            }
            spare[..count].copy_from_slice(&rest[..count]);
            rest = &rest[count..];
            buffer.commit(count);
        }
        Some(buffer)
    }

    /// The number of bytes that are not forwarded, complete lines or not.
    pub fn buffered(&self) -> usize {
        self.end - self.start
    }

    /// The memory allocated, in bytes.
    pub fn allocated(&self) -> usize {
        self.data.capacity()
    }
}
