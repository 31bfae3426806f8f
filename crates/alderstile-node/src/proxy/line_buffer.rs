//! The bytes of one connection that have come and not yet gone on, kept as whole lines and the start of one.

/// The longest line, its end included.
pub const MAX_LINE: usize = 4096;
/// What a connection holds at first, and again whenever it is empty.
const SMALL: usize = 256;

/// A line is longer than [`MAX_LINE`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overlong;

/// A buffer that grows by doubling up to one line and is compacted in place.
#[derive(Debug, Default)]
pub struct LineBuffer {
    data: Vec<u8>,
    /// What has gone on.
    start: usize,
    /// Where the last whole line ends.
    whole: usize,
    /// Where the bytes end that have come.
    end: usize,
}

impl LineBuffer {
    /// Room for bytes to come; empty while whole lines take all of it and must go on first.
    pub fn room(&mut self) -> Result<&mut [u8], Overlong> {
        if self.end == self.data.len() {
            if self.start > 0 {
                self.data.copy_within(self.start..self.end, 0);
                self.whole -= self.start;
                self.end -= self.start;
                self.start = 0;
            }
            if self.end == self.data.len() && self.data.len() < MAX_LINE {
                self.data.resize((self.data.len() * 2).clamp(SMALL, MAX_LINE), 0);
            }
            if self.end == MAX_LINE && self.whole == 0 {
                return Err(Overlong);
            }
        }
        Ok(&mut self.data[self.end..])
    }

    /// Whether to read on: there is room, or there is none for a line that reading on shows to be too long.
    pub fn has_room(&self) -> bool {
        self.held() < MAX_LINE || self.whole == self.start
    }

    /// Takes in what was written to the room, and returns the lines that this made whole.
    pub fn filled(&mut self, count: usize) -> &[u8] {
        let (old, from) = (self.end, self.whole);
        self.end = (self.end + count).min(self.data.len());
        // A line's end may lie across two arrivals: the last byte that was there is looked at again.
        let look = old.saturating_sub(1).max(from);
        if let Some(at) = self.data[look..self.end].windows(2).rposition(|pair| pair == b"\r\n") {
            self.whole = look + at + 2;
        }
        &self.data[from..self.whole]
    }

    /// The whole lines that have not gone on.
    pub fn whole(&self) -> &[u8] {
        &self.data[self.start..self.whole]
    }

    /// The first whole line, without its end.
    pub fn line(&self) -> Option<&[u8]> {
        let whole = self.whole();
        whole.windows(2).position(|pair| pair == b"\r\n").map(|at| &whole[..at])
    }

    /// Bytes of whole lines have gone on.
    pub fn consume(&mut self, count: usize) {
        self.start += count.min(self.whole - self.start);
        if self.start == self.end {
            (self.start, self.whole, self.end) = (0, 0, 0);
            if self.data.len() > SMALL {
                self.data.truncate(SMALL);
                self.data.shrink_to_fit();
            }
        }
    }

    /// The first whole line has gone on, or was taken.
    pub fn consume_line(&mut self) {
        if let Some(len) = self.line().map(<[u8]>::len) {
            self.consume(len + 2);
        }
    }

    /// All bytes held, whole lines or not.
    pub fn bytes(&self) -> &[u8] {
        &self.data[self.start..self.end]
    }

    /// A buffer that holds these bytes; none where they are more than one may hold.
    pub fn holding(bytes: &[u8]) -> Option<Self> {
        let mut buffer = LineBuffer::default();
        let mut rest = bytes;
        while !rest.is_empty() {
            let room = buffer.room().ok()?;
            let count = room.len().min(rest.len());
            room[..count].copy_from_slice(&rest[..count]);
            rest = &rest[count..];
            if count == 0 {
                return None;
            }
            buffer.filled(count);
        }
        Some(buffer)
    }

    /// Bytes held, whole lines or not.
    pub fn held(&self) -> usize {
        self.end - self.start
    }

    /// The memory it takes.
    pub fn size(&self) -> usize {
        self.data.capacity()
    }
}
