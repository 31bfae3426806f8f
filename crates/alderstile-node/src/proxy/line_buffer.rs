//! The buffer of one connection: bytes that were received and not yet forwarded. Does no I/O.
//!
//! It contains complete lines, followed by the start of an incomplete one.

use thiserror::Error;

use super::memory_budget::{MemoryBudget, MemoryExhausted, Reservation};

/// The maximum length of a line in bytes, including its line ending.
pub const MAX_LINE: usize = 4096;
/// The first allocation of a buffer, in bytes, to which it shrinks whenever it is empty.
const INITIAL_CAPACITY: usize = 256;
/// The factor by which a full buffer grows. A line of the maximum length takes three reads.
const GROWTH_FACTOR: usize = 4;
const LINE_END: &[u8] = b"\r\n";

/// A line exceeds [`MAX_LINE`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("line too long: expected at most {MAX_LINE} bytes")]
pub struct LineTooLong;

/// Why a buffer has no space for the rest of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BufferError {
    /// The line exceeds [`MAX_LINE`].
    #[error(transparent)]
    LineTooLong(#[from] LineTooLong),
    /// The memory budget does not allow the buffer to grow.
    #[error(transparent)]
    MemoryExhausted(#[from] MemoryExhausted),
}

/// A buffer that grows up to [`MAX_LINE`] within a memory budget, and is compacted in place.
#[derive(Debug)]
pub struct LineBuffer {
    data: Vec<u8>,
    /// The offset of the first byte that has not been forwarded.
    start: usize,
    /// The offset of the end of the last complete line.
    complete_end: usize,
    /// The offset of the end of the received bytes.
    end: usize,
    /// The memory beyond [`INITIAL_CAPACITY`].
    memory: Reservation,
    /// Whether the budget did not allow the buffer to grow when it was last full.
    growth_refused: bool,
}

impl Default for LineBuffer {
    /// Creates an empty buffer without a limit of its memory below [`MAX_LINE`].
    fn default() -> Self {
        LineBuffer::new(&MemoryBudget::default())
    }
}

impl LineBuffer {
    /// Creates an empty buffer whose memory is reserved from a budget.
    pub fn new(budget: &MemoryBudget) -> Self {
        let (start, complete_end, end) = (0, 0, 0);
        let memory = budget.empty_reservation();
        LineBuffer { data: Vec::new(), start, complete_end, end, memory, growth_refused: false }
    }

    /// Returns the space for received bytes. It is empty while complete lines fill the buffer and must be
    /// forwarded first.
    ///
    /// # Errors
    ///
    /// Fails if one incomplete line fills the buffer.
    pub fn spare_capacity(&mut self) -> Result<&mut [u8], BufferError> {
        if self.end == self.data.len() {
            self.compact();
            let grown = if self.end == self.data.len() { self.grow() } else { Ok(()) };
            self.growth_refused = grown.is_err();
            // Complete lines are forwarded first, which may free enough space.
            if self.complete_end == 0 {
                grown?;
            }
        }
        Ok(&mut self.data[self.end..])
    }

    fn grow(&mut self) -> Result<(), BufferError> {
        if self.data.len() == MAX_LINE {
            return Err(LineTooLong.into());
        }
        let capacity = (self.data.len() * GROWTH_FACTOR).clamp(INITIAL_CAPACITY, MAX_LINE);
        self.memory.resize(capacity - INITIAL_CAPACITY)?;
        self.data.reserve_exact(capacity - self.data.len());
        self.data.resize(capacity, 0);
        Ok(())
    }

    fn compact(&mut self) {
        if self.start > 0 {
            self.data.copy_within(self.start..self.end, 0);
            self.complete_end -= self.start;
            self.end -= self.start;
            self.start = 0;
        }
    }

    /// Returns whether to continue reading: there is space, or one incomplete line fills the buffer, in which
    /// case the next read fails with a [`BufferError`].
    pub fn can_read(&self) -> bool {
        let max = if self.growth_refused { self.data.len() } else { MAX_LINE };
        self.buffered() < max || self.complete_end == self.start
    }

    /// Adds `count` bytes received into [`LineBuffer::spare_capacity`], and returns the lines that they
    /// complete.
    pub fn commit(&mut self, count: usize) -> &[u8] {
        let (old_end, old_complete) = (self.end, self.complete_end);
        self.end = (self.end + count).min(self.data.len());
        // A line ending may be split between two reads, so the search includes the last byte of the previous
        // read.
        let search_from = old_end.saturating_sub(1).max(old_complete);
        let received = &self.data[search_from..self.end];
        if let Some(at) = received.windows(LINE_END.len()).rposition(|pair| pair == LINE_END) {
            self.complete_end = search_from + at + LINE_END.len();
        }
        &self.data[old_complete..self.complete_end]
    }

    /// Returns the complete lines that have not been forwarded.
    pub fn complete_lines(&self) -> &[u8] {
        &self.data[self.start..self.complete_end]
    }

    /// Returns the first complete line without its line ending.
    pub fn first_line(&self) -> Option<&[u8]> {
        let lines = self.complete_lines();
        lines.windows(LINE_END.len()).position(|pair| pair == LINE_END).map(|at| &lines[..at])
    }

    /// Removes up to `count` bytes of complete lines, after they were forwarded.
    pub fn consume(&mut self, count: usize) {
        self.start += count.min(self.complete_end - self.start);
        if self.start == self.end {
            (self.start, self.complete_end, self.end) = (0, 0, 0);
            if self.data.len() > INITIAL_CAPACITY {
                self.data.truncate(INITIAL_CAPACITY);
                self.data.shrink_to_fit();
                self.memory.resize_above_limit(0);
            }
        }
    }

    /// Removes the first complete line.
    pub fn consume_first_line(&mut self) {
        if let Some(length) = self.first_line().map(<[u8]>::len) {
            self.consume(length + LINE_END.len());
        }
    }

    /// Returns all bytes that have not been forwarded, including those of an incomplete line.
    pub fn bytes(&self) -> &[u8] {
        &self.data[self.start..self.end]
    }

    /// Creates a buffer with bytes that the predecessor hands over, even above the limit of the budget;
    /// returns `None` if they exceed the capacity of a buffer.
    pub fn from_bytes(bytes: &[u8], budget: &MemoryBudget) -> Option<Self> {
        if bytes.len() > MAX_LINE {
            return None;
        }
        let mut buffer = LineBuffer::new(budget);
        let capacity = bytes.len().next_power_of_two().clamp(INITIAL_CAPACITY, MAX_LINE);
        buffer.memory.resize_above_limit(capacity - INITIAL_CAPACITY);
        buffer.data = vec![0; capacity];
        buffer.data[..bytes.len()].copy_from_slice(bytes);
        buffer.commit(bytes.len());
        Some(buffer)
    }

    /// Returns the number of bytes that have not been forwarded, including those of an incomplete line.
    pub fn buffered(&self) -> usize {
        self.end - self.start
    }

    /// Returns the allocated memory in bytes.
    pub fn allocated(&self) -> usize {
        self.data.capacity()
    }
}
