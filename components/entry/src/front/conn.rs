//! A caller's connection: bytes in, messages out.

use std::fmt;

use base::prelude::*;
use bytes::BytesMut;
use pg::answer::Writer;
use pg::frame::{self, Frame};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Longest time that a caller may take to accept an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time in which what still comes is read after the end.
const LINGER: Duration = Duration::from_millis(200);

/// Bytes of output that are sent without waiting for more.
pub const FLUSH_BYTES: usize = 64 << 10;

/// Room for input while the caller is idle, in bytes.
const IDLE_BYTES: usize = 512;

/// Room for input within a message, in bytes.
const BUSY_BYTES: usize = 16 << 10;

/// Why a caller is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Disconnect {
    /// It closed the connection.
    Closed,
    /// Reading or writing failed.
    Io,
    /// It took too long.
    Timeout,
    /// It broke the protocol.
    Protocol,
    /// Its login was refused.
    Refused,
}

impl std::error::Error for Disconnect {}

/// A connection of either kind.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + Send + Sync {}

impl<S: AsyncRead + AsyncWrite + Unpin + Send + Sync> Stream for S {}

/// A caller's connection.
pub struct Conn {
    io: Box<dyn Stream>,
    /// Bytes that came and are not taken yet.
    pub input: BytesMut,
    /// Messages that wait to be sent.
    pub output: Writer,
}

impl fmt::Debug for Conn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Conn").field("input", &self.input.len()).finish_non_exhaustive()
    }
}

impl Conn {
    /// Takes a connection.
    pub fn new(io: impl Stream + 'static) -> Self {
        Self { io: Box::new(io), input: BytesMut::new(), output: Writer::new() }
    }

    /// The connection below, when nothing waits on either side.
    pub fn into_io(self) -> Box<dyn Stream> {
        self.io
    }

    /// Reads what has come. Safe to drop while it waits.
    ///
    /// # Errors
    /// [`Disconnect::Closed`] or [`Disconnect::Io`].
    pub async fn fill(&mut self) -> Result<(), Report<Disconnect>> {
        if self.input.is_empty() {
            // an idle caller keeps no large buffer
            self.input = BytesMut::with_capacity(IDLE_BYTES);
        } else {
            self.input.reserve(BUSY_BYTES);
        }
        match self.io.read_buf(&mut self.input).await.change_context(Disconnect::Io)? {
            0 => Err(Report::new(Disconnect::Closed)),
            _ => Ok(()),
        }
    }

    /// The next message; reads until one is whole.
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

    /// Sends all that waits.
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

    /// Sends bytes that are no message, and the messages before them.
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

    /// Sends what waits and closes.
    pub async fn close(mut self) {
        if self.flush().await.is_ok() {
            linger(&mut self.io).await;
        }
    }
}

/// Closes a connection. What still comes is read for a moment, since unread bytes
/// would reset the connection, and the caller would lose the last message.
pub async fn linger(io: &mut (impl AsyncRead + AsyncWrite + Unpin)) {
    let rest = async {
        // whoever is gone already needs no farewell
        drop(io.shutdown().await);
        let mut scrap = [0; IDLE_BYTES];
        while io.read(&mut scrap).await.is_ok_and(|read| read > 0) {}
    };
    drop(tokio::time::timeout(LINGER, rest).await);
}
