//! A caller's messages, grouped into cycles.
//!
//! A cycle is what one ReadyForQuery answers: one Query, or the messages of
//! the extended protocol up to a Sync. A cycle is passed on when it is whole, so
//! what comes before its end never left the front. A Flush asks for the answers
//! to what came so far; it splits the cycle where that changes nothing.

use bytes::Bytes;

use crate::client::{Failure, Message};
use crate::code::{Code, Problem};
use crate::frame::Frame;
use crate::scan::Feature;

/// Longest cycle in bytes; it fits into one frame between two processes.
pub const MAX_BYTES: usize = (4 << 20) - (64 << 10);

/// Most messages of one cycle.
pub const MAX_MESSAGES: usize = 65_536;

/// One cycle.
#[derive(Debug, PartialEq)]
pub enum Cycle {
    /// A text.
    Query {
        /// The text.
        text: String,
        /// The message as it came.
        bytes: Bytes,
    },
    /// Messages of the extended protocol, without the Sync that ended them.
    Extended(Vec<Message>),
}

/// What a message leads to.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// More messages are needed.
    Wait,
    /// A cycle is whole.
    Run(Cycle),
    /// The answers to these messages are asked for before their cycle ends.
    Flush(Vec<Message>),
    /// An error is due now; messages up to the next Sync are passed over.
    Error(Problem),
    /// An error is due now, and the cycle ends with it.
    ErrorReady(Problem),
    /// The Sync after an error: the cycle ends.
    Recover,
    /// The caller ends the session.
    Terminate,
    /// The protocol is broken: the session ends with an error.
    Fatal(Problem),
}

/// A caller's side of the protocol after login.
#[derive(Debug, Default)]
pub struct Caller {
    pending: Vec<Message>,
    bytes: usize,
    /// Whether a part of the cycle was flushed.
    flushed: bool,
    skipping: bool,
}

impl Caller {
    /// Makes the state of a caller that has logged in.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether the caller stands between two cycles.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && !self.skipping && !self.flushed
    }

    /// Passes over the messages up to the next Sync, after an error.
    pub fn skip_to_sync(&mut self) {
        drop(self.take());
        self.skipping = true;
    }

    /// Takes one message.
    pub fn on(&mut self, frame: &Frame) -> Step {
        if self.skipping && !matches!(frame.kind, b'S' | b'X') {
            return Step::Wait;
        }
        let message = match Message::decode(frame) {
            Ok(message) => message,
            Err(report) => return wrong(*report.current_context()),
        };
        match message {
            Message::Terminate => Step::Terminate,
            Message::Sync => self.sync(),
            // all that is due was sent
            Message::Flush if self.pending.is_empty() => Step::Wait,
            Message::Flush => {
                self.flushed = true;
                Step::Flush(self.take())
            }
            Message::Query(query) => self.query(query.query, frame.bytes.clone()),
            Message::Password(_) => {
                Step::Fatal(Problem::new(Code::Protocol, "a password is due at login only"))
            }
            Message::Unsupported if frame.kind == b'F' => Step::Fatal(Feature::FunctionCall.into()),
            // what is left of a COPY that was refused
            Message::Unsupported => Step::Wait,
            message => self.extend(message, frame.bytes.len()),
        }
    }

    fn sync(&mut self) -> Step {
        self.flushed = false;
        if std::mem::take(&mut self.skipping) {
            return Step::Recover;
        }
        Step::Run(Cycle::Extended(self.take()))
    }

    fn take(&mut self) -> Vec<Message> {
        self.bytes = 0;
        std::mem::take(&mut self.pending)
    }

    fn refuse(&mut self, problem: Problem) -> Step {
        self.skip_to_sync();
        Step::Error(problem)
    }

    fn query(&mut self, text: String, bytes: Bytes) -> Step {
        // what was flushed stands as if a Sync had come after it
        self.flushed = false;
        if !self.pending.is_empty() {
            let message = "a Query before the Sync of the messages before it is not carried";
            drop(self.take());
            // its sender waits for the end of a cycle, and may never send the Sync
            return Step::ErrorReady(Problem::new(Code::Feature, message));
        }
        if bytes.len() > MAX_BYTES {
            return Step::ErrorReady(too_long());
        }
        Step::Run(Cycle::Query { text, bytes })
    }

    fn extend(&mut self, message: Message, bytes: usize) -> Step {
        self.bytes += bytes;
        if self.bytes > MAX_BYTES || self.pending.len() >= MAX_MESSAGES {
            return self.refuse(too_long());
        }
        self.pending.push(message);
        Step::Wait
    }
}

fn wrong(failure: Failure) -> Step {
    let code = match failure {
        Failure::Encoding => Code::Encoding,
        Failure::UnknownKind | Failure::Malformed => Code::Protocol,
    };
    Step::Fatal(Problem::new(code, failure.to_string()))
}

fn too_long() -> Problem {
    Problem::new(Code::Limit, format!("a request may have {MAX_BYTES} bytes; it was not run"))
}
