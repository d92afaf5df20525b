//! Groups the messages of a caller into cycles.
//!
//! A cycle is the unit that one ReadyForQuery answers: one Query, or the messages of
//! the extended protocol up to a Sync. A cycle is forwarded only when it is complete,
//! so no message leaves the front before the end of its cycle has arrived. A Flush
//! requests the answers to the messages so far; it splits the cycle where the split
//! has no effect on the result.

use bytes::Bytes;

use crate::client::{Failure, Message};
use crate::code::{Code, Problem};
use crate::frame::Frame;
use crate::scan::Feature;

/// Longest cycle in bytes. A cycle must fit, with the fields that are sent along with it,
/// into one frame between two processes, which is limited to 4 MiB.
pub const MAX_BYTES: usize = (4 << 20) - (64 << 10);

/// Largest number of messages in one cycle.
pub const MAX_MESSAGES: usize = 65_536;

/// Messages of a caller that are run together.
#[derive(Debug, PartialEq)]
pub enum Cycle {
    /// Simple query.
    Query {
        /// SQL text of the query.
        text: String,
        /// Encoded Query message as received.
        bytes: Bytes,
    },
    /// Messages of the extended protocol, without the Sync that ends the cycle.
    Extended(Vec<Message>),
}

/// Action that the front must take after a message.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// Wait for more messages.
    Wait,
    /// Run a complete cycle.
    Run(Cycle),
    /// Run these messages and send the answers before their cycle ends.
    Flush(Vec<Message>),
    /// Send an error; messages up to the next Sync are discarded.
    Error(Problem),
    /// Send an error followed by ReadyForQuery, which ends the cycle.
    ErrorReady(Problem),
    /// Send ReadyForQuery: the Sync after an error ended the cycle.
    Recover,
    /// End the session on request of the caller.
    Terminate,
    /// Send an error and end the session, because the caller violated the protocol, sent
    /// a string that is not UTF-8, or called a function by object id.
    Fatal(Problem),
}

/// State of the protocol with one caller after login.
#[derive(Debug, Default)]
pub struct Caller {
    /// Messages of the current cycle that have not been run.
    pending: Vec<Message>,
    /// Encoded size of the pending messages in bytes.
    bytes: usize,
    /// Whether part of the current cycle was flushed.
    flushed: bool,
    /// Whether messages are discarded up to the next Sync.
    skipping: bool,
}

impl Caller {
    /// Creates the state of a caller that has just logged in.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether no cycle is in progress.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && !self.skipping && !self.flushed
    }

    /// Discards messages up to the next Sync, as the protocol requires after an error.
    pub fn skip_to_sync(&mut self) {
        drop(self.take());
        self.skipping = true;
    }

    /// Processes one message.
    pub fn on(&mut self, frame: &Frame) -> Step {
        if self.skipping && !matches!(frame.kind, b'S' | b'X') {
            return Step::Wait;
        }
        let message = match Message::decode(frame) {
            Ok(message) => message,
            Err(report) => return invalid(*report.current_context()),
        };
        match message {
            Message::Terminate => Step::Terminate,
            Message::Sync => self.sync(),
            // all answers were sent already
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
            // remaining data of a COPY that was refused
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
        // the flushed part is final, as if a Sync had followed it
        self.flushed = false;
        if !self.pending.is_empty() {
            let message = "a Query before the Sync of the messages before it is not carried";
            drop(self.take());
            // a caller that sends Query waits for ReadyForQuery and may never send a Sync
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

fn invalid(failure: Failure) -> Step {
    let code = match failure {
        Failure::Encoding => Code::Encoding,
        Failure::UnknownKind | Failure::Malformed => Code::Protocol,
    };
    Step::Fatal(Problem::new(code, failure.to_string()))
}

fn too_long() -> Problem {
    Problem::new(Code::Limit, format!("a request may have {MAX_BYTES} bytes; it was not run"))
}
