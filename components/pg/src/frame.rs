//! Splits a stream of bytes into messages.

use std::fmt;

use bytes::{Buf, Bytes, BytesMut};
use error_stack::Report;

/// Longest message of a caller in bytes, without the kind byte.
pub const MAX_BYTES: usize = 16 << 20;

/// Bytes before the body of a message: its kind and its length.
pub const HEAD_BYTES: usize = 5;

/// Encoded message of a caller or a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Kind byte of the message.
    pub kind: u8,
    /// Complete message, including kind and length.
    pub bytes: Bytes,
}

impl Frame {
    /// Body of the message, without kind and length.
    pub fn body(&self) -> &[u8] {
        &self.bytes[HEAD_BYTES..]
    }
}

/// Error in the length of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The length field is smaller than the field itself, or the message is truncated.
    Short,
    /// The length exceeds the limit.
    Oversized {
        /// Value of the length field, in bytes.
        bytes: usize,
    },
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Short => f.write_str("the length of a message is too small"),
            Self::Oversized { bytes } => write!(f, "a message of {bytes} bytes is too long"),
        }
    }
}

impl std::error::Error for Failure {}

/// Returns the length of a message in bytes, including its kind byte.
fn read_length(head: [u8; HEAD_BYTES], limit: usize) -> Result<usize, Report<Failure>> {
    let [_, a, b, c, d] = head;
    let length = u32::from_be_bytes([a, b, c, d]) as usize;
    if length < 4 {
        return Err(Report::new(Failure::Short));
    }
    if length > limit {
        return Err(Report::new(Failure::Oversized { bytes: length }));
    }
    Ok(length + 1)
}

/// Takes the first message from a buffer; `None` if it is incomplete.
///
/// # Errors
/// Any [`Failure`]; the stream can't be read any further.
pub fn take(buffer: &mut BytesMut) -> Result<Option<Frame>, Report<Failure>> {
    let Some(head) = buffer.first_chunk::<HEAD_BYTES>() else {
        return Ok(None);
    };
    let length = read_length(*head, MAX_BYTES)?;
    if buffer.len() < length {
        return Ok(None);
    }
    let bytes = buffer.split_to(length).freeze();
    Ok(Some(Frame { kind: bytes[0], bytes }))
}

/// Takes the first message from a sequence of complete messages; `None` if none is left.
///
/// # Errors
/// [`Failure::Oversized`] if the length exceeds the range of an `i32`, and
/// [`Failure::Short`] if the length is too small or the last message is truncated.
pub fn next(messages: &mut Bytes) -> Result<Option<Frame>, Report<Failure>> {
    if !messages.has_remaining() {
        return Ok(None);
    }
    let head = messages.first_chunk::<HEAD_BYTES>().ok_or(Failure::Short)?;
    let length = read_length(*head, i32::MAX as usize)?;
    if messages.len() < length {
        return Err(Report::new(Failure::Short));
    }
    let bytes = messages.split_to(length);
    Ok(Some(Frame { kind: bytes[0], bytes }))
}
