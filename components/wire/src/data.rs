//! Between a front and a keeper.
//!
//! One link carries the requests of many callers. A request is one cycle of
//! the callers' protocol: the client messages up to and with one Query or
//! Sync, answered by server messages up to and with one ReadyForQuery. The
//! link's handshake names both processes and their incarnations, so a request
//! is named by its number alone; a number is never used twice on a link.

use crate::mark::Mark;

/// What a front sends.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ask {
    /// The message.
    #[prost(oneof = "ask::Body", tags = "1, 2, 3, 4, 5, 6")]
    pub body: Option<ask::Body>,
}

/// The kinds of [`Ask`].
pub mod ask {
    /// One of a front's messages.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// Run one cycle.
        #[prost(message, tag = "1")]
        Run(super::Run),
        /// More of the answer may be sent.
        #[prost(message, tag = "2")]
        Credit(super::Credit),
        /// Cancel a running request, as the caller asked.
        #[prost(message, tag = "3")]
        Cancel(super::Cancel),
        /// The caller has gone: roll back and forget it.
        #[prost(message, tag = "4")]
        Leave(super::Leave),
        /// The front is stopping and asks for nothing more.
        #[prost(message, tag = "5")]
        Shutdown(super::Shutdown),
        /// Asks whether the keeper lives.
        #[prost(message, tag = "6")]
        Ping(super::Ping),
    }
}

/// How a request may be run.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[repr(i32)]
pub enum Class {
    /// Not declared otherwise: it may write, and runs at most once.
    Write = 0,
    /// It may write, and may be run again once the first try is known to be over.
    Idempotent = 1,
    /// Declared to read only; replicas may serve it and it may be run again.
    Read = 2,
}

/// One cycle to run.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Run {
    /// Number of the request, unique on the link.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Number of the caller's session, unique for the front's incarnation.
    /// Requests of one session run in turn, and a transaction belongs to it.
    #[prost(uint64, tag = "2")]
    pub caller: u64,
    /// Service that the caller belongs to.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Database group to run on.
    #[prost(string, tag = "4")]
    pub group: String,
    /// How it may be run.
    #[prost(enumeration = "Class", tag = "5")]
    pub class: i32,
    /// Whether the session holds an open transaction at this keeper.
    #[prost(bool, tag = "6")]
    pub in_transaction: bool,
    /// What the session has written or seen; reads must show it.
    #[prost(message, optional, tag = "7")]
    pub floor: Option<Mark>,
    /// Whether reads must show all that was acknowledged before this request
    /// came: a session without a floor, or a read that accepts no age.
    #[prost(bool, tag = "8")]
    pub fresh: bool,
    /// Age in milliseconds that a read accepts, where `fresh` is not set.
    #[prost(uint64, tag = "9")]
    pub age_ms: u64,
    /// Time in milliseconds that a read may wait for a replica.
    #[prost(uint64, tag = "10")]
    pub patience_ms: u64,
    /// Time in milliseconds that is left before the caller's deadline.
    #[prost(uint64, tag = "11")]
    pub deadline_ms: u64,
    /// Client messages, as the backend server is to get them.
    #[prost(bytes = "bytes", tag = "12")]
    pub payload: bytes::Bytes,
    /// Bytes of answer that may be sent before a [`Credit`].
    #[prost(uint64, tag = "13")]
    pub window: u64,
    /// Version of the configuration that admitted the request.
    #[prost(uint64, tag = "14")]
    pub version: u64,
    /// The request's id in logs.
    #[prost(string, tag = "15")]
    pub trace: String,
    /// Whether the payload ends a transaction (COMMIT, END) or may do so.
    #[prost(bool, tag = "16")]
    pub commits: bool,
}

/// Allows more of an answer.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Credit {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Bytes more that may be sent.
    #[prost(uint64, tag = "2")]
    pub bytes: u64,
}

/// Cancels a running request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Cancel {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub request: u64,
}

/// Ends a caller's session.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Leave {
    /// Number of the session.
    #[prost(uint64, tag = "1")]
    pub caller: u64,
}

/// Ends a front's use of the link, but for open transactions. It answers a
/// [`Closing`] too: nothing new follows it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Shutdown {}

/// What a keeper sends.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Answer {
    /// The message.
    #[prost(oneof = "answer::Body", tags = "1, 2, 3, 4")]
    pub body: Option<answer::Body>,
}

/// The kinds of [`Answer`].
pub mod answer {
    /// One of a keeper's messages.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// A part of an answer.
        #[prost(message, tag = "1")]
        Part(super::Part),
        /// The end of an answer.
        #[prost(message, tag = "2")]
        End(super::End),
        /// The keeper is stopping: ask the other one for what is new.
        #[prost(message, tag = "3")]
        Closing(super::Closing),
        /// Answers a ping.
        #[prost(message, tag = "4")]
        Pong(super::Pong),
    }
}

/// A part of an answer: whole server messages.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Part {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Number of the part, from zero; a gap or repeat fails the request.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Server messages without the closing ReadyForQuery.
    #[prost(bytes = "bytes", tag = "3")]
    pub payload: bytes::Bytes,
}

/// How a request ended.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[repr(i32)]
pub enum Outcome {
    /// Never given; stands for a value that this release does not know.
    Missing = 0,
    /// It ran, and what it committed is acknowledged by a majority. A failed
    /// statement is done too: the server's own error is in the answer.
    Done = 1,
    /// It was not run, or all of its work is proved to be undone.
    NotRun = 2,
    /// It may have run.
    Unknown = 3,
}

/// Why a request was not run or its outcome is unknown.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[repr(i32)]
pub enum Reason {
    /// No reason is needed.
    None = 0,
    /// The queue of the service is full.
    QueueFull = 1,
    /// The deadline would pass before it could run.
    Deadline = 2,
    /// This entry does not keep the group.
    WrongKeeper = 3,
    /// The process is stopping.
    Closing = 4,
    /// The entry has lost touch with control.
    Lease = 5,
    /// No server of the group can be used.
    Unavailable = 6,
    /// The primary was replaced before the commit was acknowledged.
    Replaced = 7,
    /// The connection to the backend server broke.
    Broken = 8,
    /// The transaction that the request belongs to is gone.
    TransactionGone = 9,
    /// No selector lets the service reach the group.
    Refused = 10,
    /// The answer outgrew what may be held back.
    TooLarge = 11,
    /// The caller cancelled it.
    Cancelled = 12,
    /// The service spent its retries.
    RetryBudget = 13,
}

/// The end of an answer. Nothing of a request follows it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct End {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Number of parts that came before.
    #[prost(uint64, tag = "2")]
    pub parts: u64,
    /// How it ended.
    #[prost(enumeration = "Outcome", tag = "3")]
    pub outcome: i32,
    /// Why, when it was not done.
    #[prost(enumeration = "Reason", tag = "4")]
    pub reason: i32,
    /// Transaction status from ReadyForQuery, as its ASCII byte: I, T or E.
    #[prost(uint32, tag = "5")]
    pub status: u32,
    /// What the session has now written or seen in this group.
    #[prost(message, optional, tag = "6")]
    pub mark: Option<Mark>,
    /// Whether a replica served it.
    #[prost(bool, tag = "7")]
    pub replica: bool,
    /// Time in milliseconds after which it is worth asking again.
    #[prost(uint64, tag = "8")]
    pub retry_after_ms: u64,
    /// Server that ran it, if one did.
    #[prost(string, tag = "9")]
    pub server: String,
}

/// Asks whether a keeper lives, while it leaves requests without an answer.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Ping {}

/// A keeper that lives.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Pong {}

/// A keeper that is stopping.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Closing {}
