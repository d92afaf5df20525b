//! Connection of a PostgreSQL caller, with buffers for input and output.

use std::fmt;

use base::prelude::*;
use bytes::BytesMut;
use pg::answer::Writer;
use pg::frame::{self, Frame};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Time limit for one write to a caller.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which a closed connection is still read from.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);

/// Size of the buffered output, in bytes, at which it is sent at once.
pub const FLUSH_BYTES: usize = 64 << 10;

/// Capacity of the input buffer while it is empty, in bytes.
const IDLE_BYTES: usize = 512;

/// Capacity reserved for input once a part of a message has arrived, in bytes.
const BUSY_BYTES: usize = 16 << 10;

/// Why a caller was disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Disconnect {
    /// The caller closed the connection.
    Closed,
    /// Reading from or writing to the connection failed.
    Io,
    /// A write or the login timed out.
    Timeout,
    /// The caller violated the protocol.
    Protocol,
    /// The login was refused.
    Refused,
}

impl std::error::Error for Disconnect {}

/// A byte stream, with or without TLS.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + Send + Sync {}

impl<S: AsyncRead + AsyncWrite + Unpin + Send + Sync> Stream for S {}

/// Connection of a PostgreSQL caller.
pub struct Conn {
    io: Box<dyn Stream>,
    /// Bytes received and not decoded yet.
    pub input: BytesMut,
    /// Messages not sent yet.
    pub output: Writer,
}

impl fmt::Debug for Conn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Conn").field("input", &self.input.len()).finish_non_exhaustive()
    }
}

impl Conn {
    /// Wraps a byte stream, with empty buffers.
    pub fn new(io: impl Stream + 'static) -> Self {
        Self { io: Box::new(io), input: BytesMut::new(), output: Writer::new() }
    }

    /// Returns the byte stream and drops the buffers, which must be empty.
    pub fn into_io(self) -> Box<dyn Stream> {
        self.io
    }

    /// Reads available bytes into the input buffer, and waits until there are some.
    /// This method is cancel safe.
    ///
    /// # Errors
    /// [`Disconnect::Closed`] or [`Disconnect::Io`].
    pub async fn fill(&mut self) -> Result<(), Report<Disconnect>> {
        if self.input.is_empty() {
            // keeps the memory of idle callers small
            self.input = BytesMut::with_capacity(IDLE_BYTES);
        } else {
            self.input.reserve(BUSY_BYTES);
        }
        match self.io.read_buf(&mut self.input).await.change_context(Disconnect::Io)? {
            0 => Err(Report::new(Disconnect::Closed)),
            _ => Ok(()),
        }
    }

    /// Returns the next message, and reads until it is complete.
    ///
    /// # Errors
    /// As [`Conn::fill`], and [`Disconnect::Protocol`].
    pub async fn next(&mut self) -> Result<Frame, Report<Disconnect>> {
        loop {
            if let Some(frame) =
                frame::take(&mut self.input).change_context(Disconnect::Protocol)?
            {
                return Ok(frame);
            }
            self.fill().await?;
        }
    }

    /// Sends the buffered messages.
    ///
    /// # Errors
    /// [`Disconnect::Io`] or [`Disconnect::Timeout`].
    pub async fn flush(&mut self) -> Result<(), Report<Disconnect>> {
        if self.output.is_empty() {
            return Ok(());
        }
        let output = self.output.take();
        self.write(&output).await
    }

    /// Sends bytes directly. Buffered messages are not sent; call [`Conn::flush`]
    /// before if the order matters.
    ///
    /// # Errors
    /// As [`Conn::flush`].
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), Report<Disconnect>> {
        let write = async {
            self.io.write_all(bytes).await?;
            self.io.flush().await
        };
        let written = tokio::time::timeout(WRITE_TIMEOUT, write).await;
        written.change_context(Disconnect::Timeout)?.change_context(Disconnect::Io)
    }

    /// Sends the buffered messages and closes the connection.
    pub async fn close(mut self) {
        if self.flush().await.is_ok() {
            linger(&mut self.io).await;
        }
    }
}

/// Closes a connection. Input is read and discarded for a short time, since
/// unread bytes would make the kernel reset the connection, and the caller could
/// lose the last message.
pub async fn linger(io: &mut (impl AsyncRead + AsyncWrite + Unpin)) {
    let drain = async {
        // an error means that the caller has already disconnected
        drop(io.shutdown().await);
        let mut discarded = [0; IDLE_BYTES];
        while io.read(&mut discarded).await.is_ok_and(|read| read > 0) {}
    };
    drop(tokio::time::timeout(LINGER_TIMEOUT, drain).await);
}
