//! Reading and writing of frames.

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use error_stack::{Report, ResultExt};
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use wire::Message;

use crate::peer::Failure;

/// Maximum length of the message in a frame, in bytes.
pub const MAX_BYTES: usize = 4 << 20;

/// Size of the length prefix of a frame, in bytes.
pub const LENGTH_BYTES: usize = 4;

/// Time limit for one flush of a [`Writer`].
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Initial capacity of the read buffer, in bytes. Every link comes to use all of it, since
/// messages are split off the front, and a host has up to 8,000 links.
const READ_BYTES: usize = 8 << 10;

/// Length in bytes from which on an encoded message is written from the memory that all its
/// writers share, and not copied into the buffer of each.
const SHARED_BYTES: usize = 8 << 10;

/// The read half of a link.
#[derive(Debug)]
pub struct Reader {
    io: ReadHalf<TcpStream>,
    buffer: BytesMut,
}

impl Reader {
    pub(crate) fn new(io: ReadHalf<TcpStream>) -> Self {
        Self { io, buffer: BytesMut::with_capacity(READ_BYTES) }
    }

    /// Returns the number of received bytes that are not decoded yet.
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }

    /// Reads the next message; `None` when the peer closed the link between frames.
    ///
    /// Cancel safe: bytes received before the future is dropped stay buffered.
    ///
    /// # Errors
    /// [`Failure::Io`], [`Failure::Oversized`], [`Failure::UnexpectedEof`] when the
    /// link closes within a frame, or [`Failure::Malformed`] when a frame does not
    /// decode as `M`.
    pub async fn next<M: Message + Default>(&mut self) -> Result<Option<M>, Report<Failure>> {
        loop {
            if let Some(message) = self.decode_frame()? {
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

    fn decode_frame<M: Message + Default>(&mut self) -> Result<Option<M>, Report<Failure>> {
        let Some(prefix) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
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

/// An encoded message, which several writers can share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame(Bytes);

impl Frame {
    /// Length in bytes, with its prefix.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the frame has no bytes; never the case.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Encodes a message.
    ///
    /// # Errors
    /// [`Failure::Oversized`].
    pub fn encode<M: Message>(message: &M) -> Result<Self, Report<Failure>> {
        let mut buffer = BytesMut::new();
        put(message, &mut buffer)?;
        Ok(Self(buffer.freeze()))
    }
}

fn put<M: Message>(message: &M, buffer: &mut BytesMut) -> Result<(), Report<Failure>> {
    let length = message.encoded_len();
    if length > MAX_BYTES {
        return Err(Report::new(Failure::Oversized { bytes: length }));
    }
    buffer.reserve(LENGTH_BYTES + length);
    buffer.extend_from_slice(&(length as u32).to_be_bytes());
    message.encode(buffer).change_context(Failure::Malformed)
}

/// The write half of a link.
#[derive(Debug)]
pub struct Writer {
    io: WriteHalf<TcpStream>,
    buffer: BytesMut,
}

impl Writer {
    pub(crate) fn new(io: WriteHalf<TcpStream>) -> Self {
        Self { io, buffer: BytesMut::new() }
    }

    /// Appends a message to the buffer; [`Writer::flush`] sends it.
    ///
    /// # Errors
    /// [`Failure::Oversized`]; the buffer is unchanged then.
    pub fn put<M: Message>(&mut self, message: &M) -> Result<(), Report<Failure>> {
        put(message, &mut self.buffer)
    }

    /// Appends an encoded message to the buffer; [`Writer::flush`] sends it.
    pub fn put_frame(&mut self, frame: &Frame) {
        self.buffer.extend_from_slice(&frame.0);
    }

    /// Sends encoded messages after all buffered ones. Long messages aren't copied.
    ///
    /// # Errors
    /// Those of [`Writer::flush`].
    pub async fn send_frames(&mut self, frames: &[Frame]) -> Result<(), Report<Failure>> {
        for frame in frames {
            if frame.0.len() < SHARED_BYTES {
                self.put_frame(frame);
                continue;
            }
            self.flush().await?;
            let written = tokio::time::timeout(WRITE_TIMEOUT, self.io.write_all(&frame.0)).await;
            written.change_context(Failure::Timeout)?.change_context(Failure::Io)?;
        }
        self.flush().await
    }

    /// Returns the number of buffered bytes that [`Writer::flush`] would send.
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }

    /// Sends all buffered messages.
    ///
    /// # Errors
    /// [`Failure::Io`], or [`Failure::Timeout`] after [`WRITE_TIMEOUT`]; the link
    /// can't be used after either.
    pub async fn flush(&mut self) -> Result<(), Report<Failure>> {
        let write = self.io.write_all_buf(&mut self.buffer);
        let written = tokio::time::timeout(WRITE_TIMEOUT, write).await;
        written.change_context(Failure::Timeout)?.change_context(Failure::Io)
    }

    /// Appends one message to the buffer and flushes it.
    ///
    /// # Errors
    /// Those of [`Writer::put`] and [`Writer::flush`].
    pub async fn send<M: Message>(&mut self, message: &M) -> Result<(), Report<Failure>> {
        self.put(message)?;
        self.flush().await
    }
}
