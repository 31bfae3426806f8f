//! One side of a proxied connection: its socket, and the lines received on it.

use std::io;
use std::time::Duration;

use thiserror::Error;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::line_buffer::{LineBuffer, LineTooLong, MAX_LINE};

/// How long a peer may take to receive the last line.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the node waits for the peer's end after its own: closing with bytes unread sends a reset, and that can destroy
/// what was sent before.
const LINGER: Duration = Duration::from_millis(500);
/// How many bytes are read and dropped meanwhile, so that a peer that sends without end is cut off.
const LINGER_MAX_BYTES: usize = 1 << 18;
/// How many bytes a peer that has to wait may have sent beyond what is buffered: eight lines of the longest. With far more
/// the system's own buffer fills up, and no end can be seen behind that.
const MAX_UNREAD_BYTES: u64 = 8 * MAX_LINE as u64;
/// How often the unread bytes are counted: an end must be noticed within 0.3 s.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A connection and the bytes received on it.
pub struct LineStream {
    /// The connection.
    pub socket: TcpStream,
    /// What was received and not forwarded.
    pub buffer: LineBuffer,
}

/// What a read without an error brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadProgress {
    /// Bytes.
    Received,
    /// Nothing for now, or there is no space to receive.
    WouldBlock,
}

/// Why nothing more can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The peer has ended its sending.
    #[error("the connection was closed")]
    Closed,
    /// The connection broke.
    #[error("the connection was reset")]
    Reset,
    /// The peer sends a line that is too long.
    #[error(transparent)]
    LineTooLong(#[from] LineTooLong),
}

/// Whether a connection failed for want of a resource of this machine: descriptors, memory, local ports.
pub fn is_local_shortage(error: &io::Error) -> bool {
    use rustix::io::Errno;
    let shortages = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL];
    Errno::from_io_error(error).is_some_and(|error| shortages.contains(&error))
}

impl LineStream {
    /// A connection on which nothing was received yet.
    pub fn new(socket: TcpStream) -> Self {
        LineStream::with_buffer(socket, LineBuffer::default())
    }

    /// A connection on which these bytes were received.
    pub fn with_buffer(socket: TcpStream, buffer: LineBuffer) -> Self {
        // Lines are short and wanted at once. A connection that can't be set so is broken, and its first use reports that.
        socket.set_nodelay(true).unwrap_or_default();
        LineStream { socket, buffer }
    }

    /// Reads what is available, and calls `on_lines` with the lines that it completes.
    ///
    /// # Errors
    ///
    /// Nothing more can be read.
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
    /// None can come any more.
    pub async fn wait_for_line(&mut self) -> Result<(), ReadError> {
        while self.buffer.first_line().is_none() {
            self.wait_for_bytes().await?;
        }
        Ok(())
    }

    /// Waits until more bytes were received.
    ///
    /// # Errors
    ///
    /// None can come any more; also when the peer ends behind more bytes than there is space for.
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

    /// Waits for the end of the peer's sending behind bytes that are not read. Notices a client that sent much while it had
    /// to wait, and left; one that sends too much for its end to be seen counts as sending no line at all.
    async fn wait_for_end(&self) -> ReadError {
        loop {
            if rustix::io::ioctl_fionread(&self.socket).is_ok_and(|unread| unread > MAX_UNREAD_BYTES) {
                return LineTooLong.into();
            }
            // Wakes at the end, and for urgent bytes, which the protocol does not have.
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

    /// Sends a last line, ends the sending, and gives the peer a moment to end too.
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
        let mut sink = [0; MAX_LINE];
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
        // Where the option can't be set the connection is gone already.
        self.socket.set_zero_linger().unwrap_or_default();
    }
}
