//! The answer to a cycle as the caller is to get it.
//!
//! What the front added to a cycle is answered too; those answers are taken
//! out here, by their order. So are messages about the backend connection
//! itself, which is none of the caller's.

use std::fmt;

use bytes::Bytes;
use error_stack::Report;
use smallvec::SmallVec;

use crate::frame;

/// Answer to a Parse.
pub const PARSE_COMPLETE: u8 = b'1';

/// Answer to a Close.
pub const CLOSE_COMPLETE: u8 = b'3';

/// An answer that is due, in its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expected {
    /// [`PARSE_COMPLETE`] or [`CLOSE_COMPLETE`].
    pub kind: u8,
    /// Whether the caller asked for it.
    pub own: bool,
}

/// An answer that is not one to this cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mismatch;

impl fmt::Display for Mismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer does not belong to this cycle")
    }
}

impl std::error::Error for Mismatch {}

/// Pieces of an answer.
pub type Pieces = SmallVec<[Bytes; 2]>;

/// Filters the answer to one cycle.
#[derive(Debug)]
pub struct Filter<'a> {
    expected: &'a [Expected],
    own: usize,
    failed: bool,
}

impl<'a> Filter<'a> {
    /// Makes the filter of a cycle to which these answers are due.
    pub fn new(expected: &'a [Expected]) -> Self {
        Self { expected, own: 0, failed: false }
    }

    /// Takes whole messages and returns those that the caller is to get.
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
            if !self.keeps(frame.kind)? {
                push(&mut pieces, messages, start, offset);
                start = messages.len() - rest.len();
            }
        }
    }

    /// Number of own answers that were passed on, in order.
    pub fn own_answers(&self) -> usize {
        self.own
    }

    /// Whether an error was passed on.
    pub fn has_error(&self) -> bool {
        self.failed
    }

    fn keeps(&mut self, kind: u8) -> Result<bool, Report<Mismatch>> {
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
            // settings, notifications and the end of the cycle are the front's
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
