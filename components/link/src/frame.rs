//! Reading and writing of frames.

use std::time::Duration;

use bytes::{Buf, BytesMut};
use error_stack::{Report, ResultExt};
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use wire::Message;

use crate::peer::Failure;

/// Longest frame in bytes.
pub const MAX_BYTES: usize = 4 << 20;

/// Bytes of the length before a frame.
pub const LENGTH_BYTES: usize = 4;

/// Longest time that one write may take.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

const READ_BYTES: usize = 64 << 10;

/// The reading end of a link.
#[derive(Debug)]
pub struct Reader {
    io: ReadHalf<TcpStream>,
    buffer: BytesMut,
}

impl Reader {
    pub(crate) fn new(io: ReadHalf<TcpStream>) -> Self {
        Self { io, buffer: BytesMut::with_capacity(READ_BYTES) }
    }

    /// Bytes that came of a frame that is not whole yet.
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }

    /// The next message, or `None` when the other end closed between frames.
    ///
    /// Safe to drop while it waits: what has come is kept.
    ///
    /// # Errors
    /// [`Failure::Io`], [`Failure::Oversized`], [`Failure::UnexpectedEof`] within a
    /// frame, [`Failure::Malformed`] when a frame is no such message.
    pub async fn next<M: Message + Default>(&mut self) -> Result<Option<M>, Report<Failure>> {
        loop {
            if let Some(message) = self.take()? {
                return Ok(Some(message));
            }
            let read = self.io.read_buf(&mut self.buffer).await.change_context(Failure::Io)?;
            match (read, self.buffer.is_empty()) {
                (0, true) => return Ok(None),
                (0, false) => return Err(Report::new(Failure::UnexpectedEof)),
                _ => {}
            }
        }
    }

    fn take<M: Message + Default>(&mut self) -> Result<Option<M>, Report<Failure>> {
        let Some(head) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        if length > MAX_BYTES {
            return Err(Report::new(Failure::Oversized { bytes: length }));
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            self.buffer.reserve(LENGTH_BYTES + length - self.buffer.len());
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let frame = self.buffer.split_to(length).freeze();
        M::decode(frame).change_context(Failure::Malformed).map(Some)
    }
}

/// The writing end of a link.
#[derive(Debug)]
pub struct Writer {
    io: WriteHalf<TcpStream>,
    buffer: BytesMut,
}

impl Writer {
    pub(crate) fn new(io: WriteHalf<TcpStream>) -> Self {
        Self { io, buffer: BytesMut::new() }
    }

    /// Puts a message into the buffer; [`Writer::flush`] sends it.
    ///
    /// # Errors
    /// [`Failure::Oversized`]; the buffer stays as it was.
    pub fn put<M: Message>(&mut self, message: &M) -> Result<(), Report<Failure>> {
        let length = message.encoded_len();
        if length > MAX_BYTES {
            return Err(Report::new(Failure::Oversized { bytes: length }));
        }
        self.buffer.extend_from_slice(&(length as u32).to_be_bytes());
        message.encode(&mut self.buffer).change_context(Failure::Malformed)
    }

    /// Bytes that wait for [`Writer::flush`].
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }

    /// Sends all that waits.
    ///
    /// # Errors
    /// [`Failure::Io`], or [`Failure::Timeout`] after [`WRITE_TIMEOUT`]; the
    /// link is of no use after either.
    pub async fn flush(&mut self) -> Result<(), Report<Failure>> {
        let write = self.io.write_all_buf(&mut self.buffer);
        let written = tokio::time::timeout(WRITE_TIMEOUT, write).await;
        written.change_context(Failure::Timeout)?.change_context(Failure::Io)
    }

    /// Puts one message and sends it.
    ///
    /// # Errors
    /// As [`Writer::put`] and [`Writer::flush`].
    pub async fn send<M: Message>(&mut self, message: &M) -> Result<(), Report<Failure>> {
        self.put(message)?;
        self.flush().await
    }
}
