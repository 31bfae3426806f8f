//! One side of a connection: its socket and the bytes that came on it.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::proxy::line_buffer::{LineBuffer, MAX_LINE};

/// How long an answer may wait for a client to take it.
const ANSWER: Duration = Duration::from_millis(500);
/// How long the node waits for the other side to end once it has said all: ending with bytes unread resets, and that
/// can destroy what was said.
const LINGER: Duration = Duration::from_millis(500);
/// Bytes that are read and dropped meanwhile: who sends without end is cut off.
const DRAIN: usize = 1 << 18;
/// Bytes that one who has to wait may have said beyond what is held: eight lines of the longest. With far more the
/// system's own buffer fills up, and no end can be seen behind that.
const UNREAD: u64 = 8 * MAX_LINE as u64;
/// How often that is looked at: an end must be known within 0.3 s.
const UNREAD_EVERY: Duration = Duration::from_millis(100);

/// A connection and the bytes that came on it.
pub struct Side {
    /// The connection.
    pub stream: TcpStream,
    /// What came and has not gone on.
    pub buffer: LineBuffer,
}

/// Whether a connection could not be made for want of something on this machine: descriptors, memory, local ports.
pub fn is_own_want(error: &io::Error) -> bool {
    use rustix::io::Errno;
    let wants = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL];
    Errno::from_io_error(error).is_some_and(|error| wants.contains(&error))
}

/// What reading brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pulled {
    /// Bytes.
    Some,
    /// Nothing now.
    Nothing,
    /// The other side has ended its sending.
    Ended,
    /// The connection broke.
    Reset,
    /// A line is too long.
    Overlong,
}

impl Side {
    /// A connection on which nothing has come yet.
    pub fn new(stream: TcpStream) -> Self {
        // Lines are short and wanted at once. A connection that can't be set so is broken and will say so.
        stream.set_nodelay(true).unwrap_or_default();
        Side { stream, buffer: LineBuffer::default() }
    }

    /// Reads what is there; the lines that became whole go to `seen`.
    pub fn pull(&mut self, seen: impl FnOnce(&[u8])) -> Pulled {
        let room = match self.buffer.room() {
            Ok([]) => return Pulled::Nothing,
            Ok(room) => room,
            Err(_) => return Pulled::Overlong,
        };
        match self.stream.try_read(room) {
            Ok(0) => Pulled::Ended,
            Ok(count) => {
                seen(self.buffer.filled(count));
                Pulled::Some
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Pulled::Nothing,
            Err(_) => Pulled::Reset,
        }
    }

    /// Waits until a whole line is there.
    pub async fn line(&mut self) -> Result<(), Pulled> {
        while self.buffer.line().is_none() {
            self.more().await?;
        }
        Ok(())
    }

    /// Waits until more bytes have come.
    pub async fn more(&mut self) -> Result<(), Pulled> {
        loop {
            if self.stream.readable().await.is_err() {
                return Err(Pulled::Reset);
            }
            match self.pull(|_| {}) {
                Pulled::Some => return Ok(()),
                // Woken for nothing, or there is no room while the client must wait.
                Pulled::Nothing if self.buffer.has_room() => {}
                Pulled::Nothing => return Err(self.end().await),
                ended => return Err(ended),
            }
        }
    }

    /// Waits for the end of the other side's sending behind bytes that are not read. Guards against one that said much
    /// while it had to wait, and went; whoever says too much to see its end is taken to say no line at all.
    async fn end(&self) -> Pulled {
        loop {
            if rustix::io::ioctl_fionread(&self.stream).is_ok_and(|unread| unread > UNREAD) {
                return Pulled::Overlong;
            }
            // This wakes at the end, and for urgent bytes, which nobody asked for.
            match timeout(UNREAD_EVERY, self.stream.ready(Interest::PRIORITY)).await {
                Err(_) => {}
                Ok(Ok(ready)) if ready.is_read_closed() => return Pulled::Ended,
                Ok(Ok(_)) => {
                    let none = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
                    let _cleared = self.stream.try_io(Interest::PRIORITY, none);
                }
                Ok(Err(_)) => return Pulled::Reset,
            }
        }
    }

    /// Says a last line, ends the sending, and gives the other side a moment to end too.
    pub async fn close_with(mut self, line: &[u8]) {
        let said = timeout(ANSWER, async {
            self.stream.write_all(line).await?;
            self.stream.shutdown().await
        });
        if !matches!(said.await, Ok(Ok(()))) {
            return;
        }
        let mut sink = [0; MAX_LINE];
        let mut drained = 0;
        let _ended = timeout(LINGER, async {
            while drained < DRAIN && self.stream.readable().await.is_ok() {
                match self.stream.try_read(&mut sink) {
                    Ok(0) => break,
                    Ok(count) => drained += count,
                    Err(error) if error.kind() != io::ErrorKind::WouldBlock => break,
                    Err(_) => {}
                }
            }
        })
        .await;
    }

    /// Ends the connection as a broken one ends.
    pub fn reset(self) {
        // Where the option can't be set the connection is gone already.
        self.stream.set_zero_linger().unwrap_or_default();
    }
}
