//! Whole messages out of a stream of bytes.

use std::fmt;

use bytes::{Buf, Bytes, BytesMut};
use error_stack::Report;

/// Longest message of a caller in bytes, without its kind.
pub const MAX_BYTES: usize = 16 << 20;

/// Bytes of the kind and the length before a message's body.
pub const HEAD_BYTES: usize = 5;

/// A message of either side, not decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Kind of the message.
    pub kind: u8,
    /// All of its bytes, with kind and length.
    pub bytes: Bytes,
}

impl Frame {
    /// The body, without kind and length.
    pub fn body(&self) -> &[u8] {
        &self.bytes[HEAD_BYTES..]
    }
}

/// Bytes that are no message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The length is less than that of the length itself.
    Short,
    /// The length is over the limit.
    Oversized {
        /// The length in bytes.
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

/// Length of the first message in bytes, with its kind.
fn length(head: [u8; HEAD_BYTES], limit: usize) -> Result<usize, Report<Failure>> {
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

/// Takes the first message of a buffer, if it is whole.
///
/// # Errors
/// Each [`Failure`]; the stream is of no use after it.
pub fn take(buffer: &mut BytesMut) -> Result<Option<Frame>, Report<Failure>> {
    let Some(head) = buffer.first_chunk::<HEAD_BYTES>() else {
        return Ok(None);
    };
    let length = length(*head, MAX_BYTES)?;
    if buffer.len() < length {
        return Ok(None);
    }
    let bytes = buffer.split_to(length).freeze();
    Ok(Some(Frame { kind: bytes[0], bytes }))
}

/// Takes the first message of whole messages; `None` at their end.
///
/// # Errors
/// [`Failure::Short`] also when the last message is cut.
pub fn next(messages: &mut Bytes) -> Result<Option<Frame>, Report<Failure>> {
    if !messages.has_remaining() {
        return Ok(None);
    }
    let head = messages.first_chunk::<HEAD_BYTES>().ok_or(Failure::Short)?;
    let length = length(*head, i32::MAX as usize)?;
    if messages.len() < length {
        return Err(Report::new(Failure::Short));
    }
    let bytes = messages.split_to(length);
    Ok(Some(Frame { kind: bytes[0], bytes }))
}
