//! Validation and decoding of the messages of a caller.
//!
//! The decoders of `pgwire` trust every count and read past the end of a message, so
//! the structure of a message is checked before its decoder is called.

use bytes::{Buf, Bytes, BytesMut};
use error_stack::Report;
use pgwire::messages::extendedquery::{Bind, Close, Describe, Execute, Parse};
use pgwire::messages::simplequery::Query;
use pgwire::messages::{DecodeContext, ProtocolVersion};

use crate::frame::{Frame, HEAD_BYTES};

/// Error in a message of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Failure {
    /// The kind byte belongs to no message of a caller.
    #[strum(to_string = "the kind of a message is unknown")]
    UnknownKind,
    /// The body does not have the structure that its kind requires.
    #[strum(to_string = "a message is malformed")]
    Malformed,
    /// A string of the message is not UTF-8.
    #[strum(to_string = "a text is not UTF-8")]
    Encoding,
}

impl std::error::Error for Failure {}

/// Kind of object that a Describe or Close refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// Prepared statement.
    Statement,
    /// Portal.
    Portal,
}

/// Message that a caller sends during or after login.
#[derive(Debug, PartialEq)]
pub enum Message {
    /// Runs SQL text with the simple protocol.
    Query(Query),
    /// Prepares a statement.
    Parse(Parse),
    /// Binds parameters to a statement, which makes a portal.
    Bind(Bind),
    /// Describes the statement or portal with this name.
    Describe(Target, String),
    /// Runs a portal.
    Execute(Execute),
    /// Closes the statement or portal with this name.
    Close(Target, String),
    /// Ends a cycle: the messages of the extended protocol that one ReadyForQuery answers.
    Sync,
    /// Requests the answers to all messages so far, without ending the cycle.
    Flush,
    /// Ends the session.
    Terminate,
    /// Password or SASL response.
    Password(Bytes),
    /// COPY data, or a function call by object id; neither is supported.
    Unsupported,
}

impl Message {
    /// Validates and decodes a message.
    ///
    /// # Errors
    /// Any [`Failure`].
    pub fn decode(frame: &Frame) -> Result<Self, Report<Failure>> {
        let mut body = Cursor { rest: frame.body() };
        let message = match frame.kind {
            b'Q' => {
                body.check_text()?;
                body.check_end()?;
                Self::Query(decode(frame)?)
            }
            b'P' => {
                body.check_text()?;
                body.check_text()?;
                body.skip_array(4)?;
                body.check_end()?;
                Self::Parse(decode(frame)?)
            }
            b'B' => {
                body.check_bind()?;
                body.check_end()?;
                Self::Bind(decode(frame)?)
            }
            b'D' => {
                let target = body.read_target()?;
                body.check_end()?;
                let describe: Describe = decode(frame)?;
                Self::Describe(target, describe.name.unwrap_or_default())
            }
            b'C' => {
                let target = body.read_target()?;
                body.check_end()?;
                let close: Close = decode(frame)?;
                Self::Close(target, close.name.unwrap_or_default())
            }
            b'E' => {
                body.check_text()?;
                body.skip(4)?;
                body.check_end()?;
                Self::Execute(decode(frame)?)
            }
            b'S' => body.check_end().map(|()| Self::Sync)?,
            b'H' => body.check_end().map(|()| Self::Flush)?,
            b'X' => body.check_end().map(|()| Self::Terminate)?,
            b'p' => Self::Password(frame.bytes.slice(HEAD_BYTES..)),
            b'd' | b'c' | b'f' | b'F' => Self::Unsupported,
            _ => return Err(Report::new(Failure::UnknownKind)),
        };
        Ok(message)
    }
}

fn decode<M: pgwire::messages::Message>(frame: &Frame) -> Result<M, Report<Failure>> {
    let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    let mut bytes = BytesMut::from(frame.bytes.as_ref());
    let message = M::decode(&mut bytes, &context).ok().flatten();
    message.ok_or_else(|| Report::new(Failure::Malformed))
}

/// Reader of a message body that checks its structure.
struct Cursor<'a> {
    rest: &'a [u8],
}

impl Cursor<'_> {
    fn check_text(&mut self) -> Result<(), Report<Failure>> {
        let end = self.rest.iter().position(|byte| *byte == 0).ok_or(Failure::Malformed)?;
        if std::str::from_utf8(&self.rest[..end]).is_err() {
            return Err(Report::new(Failure::Encoding));
        }
        self.rest.advance(end + 1);
        Ok(())
    }

    fn skip(&mut self, bytes: usize) -> Result<(), Report<Failure>> {
        if self.rest.len() < bytes {
            return Err(Report::new(Failure::Malformed));
        }
        self.rest.advance(bytes);
        Ok(())
    }

    fn read_count(&mut self) -> Result<usize, Report<Failure>> {
        let head = self.rest.first_chunk::<2>().ok_or(Failure::Malformed)?;
        let count = u16::from_be_bytes(*head);
        self.rest.advance(2);
        Ok(usize::from(count))
    }

    fn skip_array(&mut self, width: usize) -> Result<(), Report<Failure>> {
        let count = self.read_count()?;
        self.skip(count * width)
    }

    fn skip_value(&mut self) -> Result<(), Report<Failure>> {
        let head = self.rest.first_chunk::<4>().ok_or(Failure::Malformed)?;
        let length = i32::from_be_bytes(*head);
        self.rest.advance(4);
        match usize::try_from(length) {
            Ok(length) => self.skip(length),
            Err(_) if length == -1 => Ok(()),
            Err(_) => Err(Report::new(Failure::Malformed)),
        }
    }

    fn check_bind(&mut self) -> Result<(), Report<Failure>> {
        self.check_text()?;
        self.check_text()?;
        self.skip_array(2)?;
        for _ in 0..self.read_count()? {
            self.skip_value()?;
        }
        self.skip_array(2)
    }

    fn read_target(&mut self) -> Result<Target, Report<Failure>> {
        let target = match self.rest.first() {
            Some(b'S') => Target::Statement,
            Some(b'P') => Target::Portal,
            _ => return Err(Report::new(Failure::Malformed)),
        };
        self.rest.advance(1);
        self.check_text()?;
        Ok(target)
    }

    fn check_end(&self) -> Result<(), Report<Failure>> {
        if self.rest.is_empty() { Ok(()) } else { Err(Report::new(Failure::Malformed)) }
    }
}
