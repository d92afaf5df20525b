//! A caller's messages, checked and decoded.
//!
//! The decoders of `pgwire` trust each count and read past a message's end, so
//! the shape of a message is checked before one is called.

use bytes::{Buf, Bytes, BytesMut};
use error_stack::Report;
use pgwire::messages::extendedquery::{Bind, Close, Describe, Execute, Parse};
use pgwire::messages::simplequery::Query;
use pgwire::messages::{DecodeContext, ProtocolVersion};

use crate::frame::{Frame, HEAD_BYTES};

/// What is wrong with a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Failure {
    /// No message has this kind.
    #[strum(to_string = "the kind of a message is unknown")]
    UnknownKind,
    /// Its body does not have the shape of its kind.
    #[strum(to_string = "a message is malformed")]
    Malformed,
    /// A text in it is not UTF-8.
    #[strum(to_string = "a text is not UTF-8")]
    Encoding,
}

impl std::error::Error for Failure {}

/// What a prepared object is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A statement.
    Statement,
    /// A portal.
    Portal,
}

/// A message after login.
#[derive(Debug, PartialEq)]
pub enum Message {
    /// Runs a text.
    Query(Query),
    /// Prepares a statement.
    Parse(Parse),
    /// Binds a statement's parameters to a portal.
    Bind(Bind),
    /// Describes a statement or portal.
    Describe(Target, String),
    /// Runs a portal.
    Execute(Execute),
    /// Closes a statement or portal.
    Close(Target, String),
    /// Ends a cycle.
    Sync,
    /// Asks for what was answered so far.
    Flush,
    /// Ends the session.
    Terminate,
    /// A password or a step of SASL.
    Password(Bytes),
    /// Data of a COPY, or a call of a function by number.
    Unsupported,
}

impl Message {
    /// Checks and decodes a message.
    ///
    /// # Errors
    /// Each [`Failure`].
    pub fn decode(frame: &Frame) -> Result<Self, Report<Failure>> {
        let mut body = Cursor { rest: frame.body() };
        let message = match frame.kind {
            b'Q' => {
                body.text()?;
                body.end()?;
                Self::Query(decoded(frame)?)
            }
            b'P' => {
                body.text()?;
                body.text()?;
                body.numbers(4)?;
                body.end()?;
                Self::Parse(decoded(frame)?)
            }
            b'B' => {
                body.bind()?;
                body.end()?;
                Self::Bind(decoded(frame)?)
            }
            b'D' => {
                let target = body.target()?;
                body.end()?;
                let describe: Describe = decoded(frame)?;
                Self::Describe(target, describe.name.unwrap_or_default())
            }
            b'C' => {
                let target = body.target()?;
                body.end()?;
                let close: Close = decoded(frame)?;
                Self::Close(target, close.name.unwrap_or_default())
            }
            b'E' => {
                body.text()?;
                body.skip(4)?;
                body.end()?;
                Self::Execute(decoded(frame)?)
            }
            b'S' => body.end().map(|()| Self::Sync)?,
            b'H' => body.end().map(|()| Self::Flush)?,
            b'X' => body.end().map(|()| Self::Terminate)?,
            b'p' => Self::Password(frame.bytes.slice(HEAD_BYTES..)),
            b'd' | b'c' | b'f' | b'F' => Self::Unsupported,
            _ => return Err(Report::new(Failure::UnknownKind)),
        };
        Ok(message)
    }
}

fn decoded<M: pgwire::messages::Message>(frame: &Frame) -> Result<M, Report<Failure>> {
    let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    let mut bytes = BytesMut::from(frame.bytes.as_ref());
    let message = M::decode(&mut bytes, &context).ok().flatten();
    message.ok_or_else(|| Report::new(Failure::Malformed))
}

struct Cursor<'a> {
    rest: &'a [u8],
}

impl Cursor<'_> {
    fn text(&mut self) -> Result<(), Report<Failure>> {
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

    fn count(&mut self) -> Result<usize, Report<Failure>> {
        let head = self.rest.first_chunk::<2>().ok_or(Failure::Malformed)?;
        let count = u16::from_be_bytes(*head);
        self.rest.advance(2);
        Ok(usize::from(count))
    }

    fn numbers(&mut self, width: usize) -> Result<(), Report<Failure>> {
        let count = self.count()?;
        self.skip(count * width)
    }

    fn value(&mut self) -> Result<(), Report<Failure>> {
        let head = self.rest.first_chunk::<4>().ok_or(Failure::Malformed)?;
        let length = i32::from_be_bytes(*head);
        self.rest.advance(4);
        match usize::try_from(length) {
            Ok(length) => self.skip(length),
            Err(_) if length == -1 => Ok(()),
            Err(_) => Err(Report::new(Failure::Malformed)),
        }
    }

    fn bind(&mut self) -> Result<(), Report<Failure>> {
        self.text()?;
        self.text()?;
        self.numbers(2)?;
        for _ in 0..self.count()? {
            self.value()?;
        }
        self.numbers(2)
    }

    fn target(&mut self) -> Result<Target, Report<Failure>> {
        let target = match self.rest.first() {
            Some(b'S') => Target::Statement,
            Some(b'P') => Target::Portal,
            _ => return Err(Report::new(Failure::Malformed)),
        };
        self.rest.advance(1);
        self.text()?;
        Ok(target)
    }

    fn end(&self) -> Result<(), Report<Failure>> {
        if self.rest.is_empty() { Ok(()) } else { Err(Report::new(Failure::Malformed)) }
    }
}
