//! One side of a proxied connection: its socket and the buffer of its received lines.

use std::io;
use std::time::Duration;

use thiserror::Error;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::line_buffer::{BufferError, LineBuffer, LineTooLong, MAX_LINE};
use super::memory_budget::{MemoryBudget, MemoryExhausted};

/// The timeout for writing the last line to a peer.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the node waits for the peer to close after it has shut down its own sending side. Closing a
/// socket with unread bytes sends a reset, which can destroy data that the peer has not read.
const LINGER: Duration = Duration::from_millis(500);
/// The number of bytes read and discarded during [`LINGER`]. Bounds the cost of a peer that sends without
/// end.
const LINGER_MAX_BYTES: usize = 1 << 18;
/// The number of bytes that a waiting peer may send beyond those buffered: eight lines of the maximum length.
/// With many more the receive buffer of the system fills up, and the end of the connection can no longer be
/// detected.
const MAX_UNREAD_BYTES: u64 = 8 * MAX_LINE as u64;
/// The interval at which unread bytes are counted. The end of a connection must be detected within 0.3 s.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A connection and the buffer of the bytes received on it.
pub struct LineStream {
    /// The connection.
    pub socket: TcpStream,
    /// The bytes that were received and not forwarded.
    pub buffer: LineBuffer,
}

/// The result of a read that did not fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadProgress {
    /// Bytes were received.
    Received,
    /// No bytes are available, or there is no space to receive them.
    WouldBlock,
}

/// Why no more bytes can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The peer has shut down its sending side.
    #[error("connection closed by peer")]
    Closed,
    /// The connection failed.
    #[error("connection reset")]
    Reset,
    /// The peer has sent a line that is too long.
    #[error(transparent)]
    LineTooLong(#[from] LineTooLong),
    /// The node has no memory for the peer's line.
    #[error(transparent)]
    MemoryExhausted(#[from] MemoryExhausted),
}

impl From<BufferError> for ReadError {
    fn from(error: BufferError) -> Self {
        match error {
            BufferError::LineTooLong(error) => error.into(),
            BufferError::MemoryExhausted(error) => error.into(),
        }
    }
}

/// Returns whether a connect failed because this machine lacks a resource: descriptors, memory or local
/// ports.
pub fn is_local_shortage(error: &io::Error) -> bool {
    use rustix::io::Errno;
    let shortages = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL];
    Errno::from_io_error(error).is_some_and(|error| shortages.contains(&error))
}

impl LineStream {
    /// Creates the stream of a connection on which nothing was received yet.
    pub fn new(socket: TcpStream, budget: &MemoryBudget) -> Self {
        LineStream::with_buffer(socket, LineBuffer::new(budget))
    }

    /// Creates the stream of a connection with the bytes received on it.
    pub fn with_buffer(socket: TcpStream, buffer: LineBuffer) -> Self {
        // Lines are short and must not be delayed. The option fails only on a broken connection, which its
        // first use reports.
        socket.set_nodelay(true).unwrap_or_default();
        LineStream { socket, buffer }
    }

    /// Reads the available bytes, and calls `on_lines` with the lines that they complete.
    ///
    /// # Errors
    ///
    /// Fails if no more bytes can be read.
    pub fn read_available(&mut self, on_lines: impl FnOnce(&[u8])) -> Result<ReadProgress, ReadError> {
        let spare = self.buffer.spare_capacity()?;
        if spare.is_empty() {
            return Ok(ReadProgress::WouldBlock);
        }
        match self.socket.try_read(spare) {
            Ok(0) => Err(ReadError::Closed),
            Ok(count) => {
                on_lines(self.buffer.commit(count));
                Ok(ReadProgress::Received)
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(ReadProgress::WouldBlock),
            Err(_) => Err(ReadError::Reset),
        }
    }

    /// Waits until a complete line is buffered.
    ///
    /// # Errors
    ///
    /// Fails if no more bytes can be read.
    pub async fn wait_for_line(&mut self) -> Result<(), ReadError> {
        while self.buffer.first_line().is_none() {
            self.wait_for_bytes().await?;
        }
        Ok(())
    }

    /// Waits until more bytes are received.
    ///
    /// # Errors
    ///
    /// Fails if no more bytes can be read, also when the peer closes after it has sent more bytes than the
    /// buffer has space for.
    pub async fn wait_for_bytes(&mut self) -> Result<(), ReadError> {
        loop {
            if self.socket.readable().await.is_err() {
                return Err(ReadError::Reset);
            }
            match self.read_available(|_| {})? {
                ReadProgress::Received => return Ok(()),
                // A spurious wake-up.
                ReadProgress::WouldBlock if self.buffer.can_read() => {}
                ReadProgress::WouldBlock => return Err(self.wait_for_end().await),
            }
        }
    }

    /// Waits until the peer closes, without reading the bytes that it has sent. Detects a client that sent
    /// many lines while it waited, and left. A client that sends so much that its end could not be detected
    /// fails with [`LineTooLong`].
    async fn wait_for_end(&self) -> ReadError {
        loop {
            if rustix::io::ioctl_fionread(&self.socket).is_ok_and(|unread| unread > MAX_UNREAD_BYTES) {
                return LineTooLong.into();
            }
            // Wakes when the peer closes, and for urgent data, which the protocol does not use.
            match timeout(UNREAD_CHECK_INTERVAL, self.socket.ready(Interest::PRIORITY)).await {
                Err(_) => {}
                Ok(Ok(ready)) if ready.is_read_closed() => return ReadError::Closed,
                Ok(Ok(_)) => {
                    let clear = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
                    let _cleared = self.socket.try_io(Interest::PRIORITY, clear);
                }
                Ok(Err(_)) => return ReadError::Reset,
            }
        }
    }

    /// Sends a last line, shuts down the sending side, and waits briefly for the peer to close.
    pub async fn close_after(mut self, line: &[u8]) {
        let sent = timeout(LAST_WRITE_TIMEOUT, async {
            self.socket.write_all(line).await?;
            self.socket.shutdown().await
        });
        if matches!(sent.await, Ok(Ok(()))) {
            let _ended = timeout(LINGER, self.discard_until_end()).await;
        }
    }

    async fn discard_until_end(&self) {
        let mut sink = vec![0; MAX_LINE];
        let mut discarded = 0;
        while discarded < LINGER_MAX_BYTES && self.socket.readable().await.is_ok() {
            match self.socket.try_read(&mut sink) {
                Ok(0) => break,
                Ok(count) => discarded += count,
                Err(error) if error.kind() != io::ErrorKind::WouldBlock => break,
                Err(_) => {}
            }
        }
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        // The option fails only on a connection that is already closed.
        self.socket.set_zero_linger().unwrap_or_default();
    }
}
