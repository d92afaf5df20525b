//! Trait of a protocol that encodes and decodes the types of this crate.

use std::fmt;

use base::prelude::*;
use bytes::BytesMut;

use crate::answer::Answer;
use crate::server::{Order, Reply};
use crate::statement::Request;

/// Error for bytes that can't be decoded; the connection must be closed after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the bytes are not a valid message of the protocol")
    }
}

impl std::error::Error for Malformed {}

/// Protocol that carries statements and their answers between callers, the proxy and
/// backend servers.
pub trait Dialect: Send + Sync + fmt::Debug {
    /// Takes the next message of a caller from `input`; `None` if it is incomplete.
    ///
    /// # Errors
    /// [`Malformed`], also for a message that is too long.
    fn decode_request(&self, input: &mut BytesMut) -> Result<Option<Request>, Report<Malformed>>;

    /// Appends an encoded message to a caller to `out`.
    fn encode_answer(&self, answer: &Answer, out: &mut BytesMut);

    /// Appends an encoded message to a backend server to `out`.
    fn encode_order(&self, order: &Order, out: &mut BytesMut);

    /// Takes the next message of a backend server from `input`; `None` if it is
    /// incomplete.
    ///
    /// # Errors
    /// [`Malformed`], also for a message that is too long.
    fn decode_reply(&self, input: &mut BytesMut) -> Result<Option<Reply>, Report<Malformed>>;
}
