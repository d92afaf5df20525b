//! Filter for the answer of a backend server to a cycle.
//!
//! The backend server also answers the messages that the front added to a cycle.
//! The filter recognizes these answers by their position among all answers to Parse and
//! Close messages, and removes them. Messages about the state of the backend connection
//! are removed as well, because callers share the connection.

use std::fmt;

use bytes::Bytes;
use error_stack::Report;
use smallvec::SmallVec;

use crate::frame;

/// Kind byte of the answer to a Parse.
pub const PARSE_COMPLETE: u8 = b'1';

/// Kind byte of the answer to a Close.
pub const CLOSE_COMPLETE: u8 = b'3';

/// Answer to a Parse or Close that the backend server is expected to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expected {
    /// Kind byte of the answer: [`PARSE_COMPLETE`] or [`CLOSE_COMPLETE`].
    pub kind: u8,
    /// Whether the caller sent the answered message; false if the front added it.
    pub own: bool,
}

/// Error for an answer that does not match the expected answers of its cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mismatch;

impl fmt::Display for Mismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer does not belong to this cycle")
    }
}

impl std::error::Error for Mismatch {}

/// Slices of an answer that are forwarded to the caller, in order.
pub type Pieces = SmallVec<[Bytes; 2]>;

/// State of the filter during the answer to one cycle.
#[derive(Debug)]
pub struct Filter<'a> {
    /// Expected answers that the backend server has not sent yet, in order.
    expected: &'a [Expected],
    /// Number of answers to the caller's own Parse and Close messages that were forwarded.
    own: usize,
    /// Whether an error was forwarded.
    failed: bool,
}

impl<'a> Filter<'a> {
    /// Creates the filter for a cycle with these expected answers.
    pub fn new(expected: &'a [Expected]) -> Self {
        Self { expected, own: 0, failed: false }
    }

    /// Filters complete messages and returns those that are forwarded to the caller.
    ///
    /// # Errors
    /// [`Mismatch`] when the messages can't be the answer to this cycle.
    pub fn feed(&mut self, messages: &Bytes) -> Result<Pieces, Report<Mismatch>> {
        let mut pieces = Pieces::new();
        let mut rest = messages.clone();
        let mut start = 0;
        loop {
            let offset = messages.len() - rest.len();
            let next = frame::next(&mut rest).map_err(|report| report.change_context(Mismatch))?;
            let Some(frame) = next else {
                push(&mut pieces, messages, start, offset);
                return Ok(pieces);
            };
            if !self.is_forwarded(frame.kind)? {
                push(&mut pieces, messages, start, offset);
                start = messages.len() - rest.len();
            }
        }
    }

    /// Number of answers to the caller's own Parse and Close messages that were
    /// forwarded.
    pub fn own_answers(&self) -> usize {
        self.own
    }

    /// Whether an error was forwarded.
    pub fn has_error(&self) -> bool {
        self.failed
    }

    fn is_forwarded(&mut self, kind: u8) -> Result<bool, Report<Mismatch>> {
        match kind {
            PARSE_COMPLETE | CLOSE_COMPLETE => {
                let (expected, rest) = self.expected.split_first().ok_or(Mismatch)?;
                if expected.kind != kind {
                    return Err(Report::new(Mismatch));
                }
                self.expected = rest;
                self.own += usize::from(expected.own);
                Ok(expected.own)
            }
            b'E' => {
                self.failed = true;
                Ok(true)
            }
            // the front itself reports settings and ends the cycle; notifications
            // are not supported
            b'S' | b'A' | b'Z' => Ok(false),
            b'2' | b'C' | b'D' | b'I' | b'N' | b'T' | b'n' | b's' | b't' => Ok(true),
            _ => Err(Report::new(Mismatch)),
        }
    }
}

fn push(pieces: &mut Pieces, messages: &Bytes, start: usize, end: usize) {
    if start < end {
        pieces.push(messages.slice(start..end));
    }
}
