//! The edge where plain types become bytes and bytes become plain types.

use std::fmt;

use base::prelude::*;
use bytes::BytesMut;

use crate::answer::Answer;
use crate::server::{Order, Reply};
use crate::statement::Request;

/// Bytes that can't be read; the connection is of no use after them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the bytes are no message of the protocol")
    }
}

impl std::error::Error for Malformed {}

/// A protocol that carries plain statements, towards callers and towards
/// backend servers.
pub trait Dialect: Send + Sync + fmt::Debug {
    /// Takes the next whole message of a caller out of its bytes.
    ///
    /// # Errors
    /// [`Malformed`], also for a message that is too long.
    fn decode_request(&self, input: &mut BytesMut) -> Result<Option<Request>, Report<Malformed>>;

    /// Puts a message to a caller into bytes.
    fn encode_answer(&self, answer: &Answer, out: &mut BytesMut);

    /// Puts a message to a server into bytes.
    fn encode_order(&self, order: &Order, out: &mut BytesMut);

    /// Takes the next whole message of a server out of its bytes.
    ///
    /// # Errors
    /// [`Malformed`], also for a message that is too long.
    fn decode_reply(&self, input: &mut BytesMut) -> Result<Option<Reply>, Report<Malformed>>;
}
